//! Programs of the system as processes on loopback, machine by machine.
#![allow(dead_code)] // Each test uses its part.

use std::collections::HashMap;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

pub const BIN: &str = env!("CARGO_BIN_EXE_willowslip");

/// Programs that run as processes, each with its settings, its data and its log in one
/// folder; they end with it.
pub struct Programs {
    pub dir: PathBuf,
    pub running: HashMap<String, Child>,
}

impl Drop for Programs {
    fn drop(&mut self) {
        for c in self.running.values_mut() {
            let _ = c.kill();
            let _ = c.wait();
        }
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

impl Programs {
    pub fn new(name: &str) -> Programs {
        let dir = std::env::temp_dir().join(format!("willowslip-{name}-{}", std::process::id()));
        Programs { dir, running: HashMap::new() }
    }

    /// The folder for a program's data.
    pub fn data(&self, name: &str) -> PathBuf {
        let data = self.dir.join(name);
        std::fs::create_dir_all(&data).expect("a folder");
        data
    }

    pub fn start(&mut self, role: &str, name: &str, settings: String) {
        let path = self.dir.join(format!("{name}.toml"));
        std::fs::write(&path, settings).expect("settings written");
        let log = std::fs::File::options().create(true).append(true).open(self.dir.join(format!("{name}.log")));
        let child = Command::new(BIN)
            .arg(role)
            .env("WILLOWSLIP_SETTINGS", &path)
            .stderr(Stdio::from(log.expect("a log file")))
            .spawn()
            .expect("it starts");
        self.running.insert(name.to_owned(), child);
    }

    pub fn id(&self, name: &str) -> u32 {
        self.running[name].id()
    }

    pub fn signal(&self, name: &str, signal: &str) {
        let id = self.id(name).to_string();
        assert!(Command::new("kill").args([signal, &id]).status().is_ok_and(|s| s.success()));
    }

    /// Signals it to end, and sees that it does, and well if it was asked to.
    pub fn end(&mut self, name: &str, signal: &str) {
        self.signal(name, signal);
        let ended = self.running.remove(name).expect("it runs").wait().expect("it ends");
        assert!(signal == "-KILL" || ended.success(), "{name}: {ended}");
    }

    pub fn log(&self, name: &str) -> String {
        std::fs::read_to_string(self.dir.join(format!("{name}.log"))).unwrap_or_default()
    }
}

pub struct System {
    pub programs: Programs,
    pub base: u16,
}

impl System {
    pub fn new() -> System {
        // Machines are 127.0.0.2 to .8, all with the same ports.
        let from = 40_000 + (std::process::id() % 500) as u16 * 20;
        let free =
            |b: &u16| (2..9).all(|m| (*b..*b + 7).all(|p| TcpListener::bind((format!("127.0.0.{m}"), p)).is_ok()));
        let base = (from..65_000).step_by(20).find(free).expect("free ports");
        System { programs: Programs::new("whole"), base }
    }

    /// Starts a program on a machine; `first` is the system's very first start.
    pub fn start(&mut self, role: &str, machine: u8, first: bool) {
        let (b, ip) = (self.base, format!("127.0.0.{machine}"));
        let name = format!("{role}-{machine}");
        let data = self.programs.data(&name);
        let node = if role == "agent" { format!("front-{machine}") } else { name.clone() };
        let listen = match role {
            "control" => format!("control = \"{ip}:{}\"", b + 4),
            "front" => format!("front = \"{ip}:{}\"\nready = \"{ip}:{}\"", b + 5, b + 6),
            _ => String::new(),
        };
        let seeds: Vec<String> = (2..5).map(|m| format!("\"127.0.0.{m}:{}\"", b + 4)).collect();
        let settings = format!(
            "node = \"{node}\"\nip = \"{ip}\"\nzone = \"z{}\"\nportRange = [{b}, {}]\nseeds = [{}]\ninitialStart = {first}\n\
             dataDir = \"{}\"\n[listen]\n{listen}\n[limits]\nmemoryMb = 200\ndiskMb = 200\n[tolerance]\nmachines = 1\n\
             [constraints]\nquietMs = 4000\nackMs = 5000\ngraceS = 6\nsettleS = 4\ndrainMs = 3000\nconvergeMs = 3000\n\
             rollbackMs = 5000\nstatusS = 60\nnotifyS = 5\npeakWindowS = 5\nexposure = 0.1\n",
            machine % 3,
            b + 3,
            seeds.join(","),
            data.display()
        );
        self.programs.start(role, &name, settings);
    }

    pub fn end(&mut self, name: &str, signal: &str) {
        self.programs.end(name, signal);
    }

    pub fn signal(&self, name: &str, signal: &str) {
        self.programs.signal(name, signal);
    }

    pub fn is_leader(&self, machine: u8) -> bool {
        let at = format!("127.0.0.{machine}:{}", self.base + 4);
        let o = Command::new(BIN).args(["ctl", "--json", "--within", "1", "--at", &at, "status"]).output();
        o.is_ok_and(|o| String::from_utf8_lossy(&o.stdout).contains("\"isLeader\":true"))
    }

    pub fn any_control(&self, line: &str) -> bool {
        (2..5).any(|m| self.log(&format!("control-{m}")).contains(line))
    }

    pub fn log(&self, name: &str) -> String {
        self.programs.log(name)
    }

    pub fn front(&self) -> String {
        format!("127.0.0.8:{}", self.base + 5)
    }

    pub fn ctl(&self, args: &[&str]) -> Option<serde_json::Value> {
        let at = format!("127.0.0.2:{},127.0.0.3:{}", self.base + 4, self.base + 4);
        let o = Command::new(BIN).args(["ctl", "--json", "--at", &at]).args(args).output().expect("it runs");
        o.status.success().then(|| serde_json::from_slice(&o.stdout).ok()).flatten()
    }

    /// All partitions are held by the store nodes that are to hold them.
    pub fn whole(&self) -> bool {
        let Some(s) = self.ctl(&["status"]) else { return false };
        s["partitions"].as_array().is_some_and(|ps| {
            !ps.is_empty()
                && ps.iter().all(|p| {
                    p["replicas"].as_array().is_some_and(|h| {
                        h.len() == 2 && h.iter().all(|n| p["inSync"].as_array().is_some_and(|i| i.contains(n)))
                    }) && p["owner"] == p["replicas"][0]
                })
        })
    }
}

pub fn until(what: &str, mut f: impl FnMut() -> bool) {
    let end = Instant::now() + Duration::from_secs(60);
    while !f() {
        assert!(Instant::now() < end, "not in time: {what}");
        std::thread::sleep(Duration::from_millis(50));
    }
}
