//! Runs the programs of a cluster as processes on loopback.
#![allow(dead_code)] // Each test uses only some of the helpers.

use std::collections::HashMap;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

pub const BIN: &str = env!("CARGO_BIN_EXE_willowslip");

/// Running processes with their settings, data and logs in one directory. Dropping it kills the processes and
/// removes the directory.
pub struct Processes {
    pub dir: PathBuf,
    pub running: HashMap<String, Child>,
}

impl Drop for Processes {
    fn drop(&mut self) {
        for c in self.running.values_mut() {
            let _ = c.kill();
            let _ = c.wait();
        }
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

impl Processes {
    pub fn new(name: &str) -> Processes {
        let dir = std::env::temp_dir().join(format!("willowslip-{name}-{}", std::process::id()));
        Processes { dir, running: HashMap::new() }
    }

    /// Creates and returns the data directory of a process.
    pub fn data_dir(&self, name: &str) -> PathBuf {
        let data = self.dir.join(name);
        std::fs::create_dir_all(&data).expect("data directory");
        data
    }

    pub fn start(&mut self, role: &str, name: &str, settings: String) {
        let path = self.dir.join(format!("{name}.toml"));
        std::fs::write(&path, settings).expect("settings written");
        let log = std::fs::File::options().create(true).append(true).open(self.dir.join(format!("{name}.log")));
        let child = Command::new(BIN)
            .arg(role)
            .env("WILLOWSLIP_SETTINGS", &path)
            .stderr(Stdio::from(log.expect("log file")))
            .spawn()
            .expect("process starts");
        self.running.insert(name.to_owned(), child);
    }

    pub fn pid(&self, name: &str) -> u32 {
        self.running[name].id()
    }

    pub fn signal(&self, name: &str, signal: &str) {
        let pid = self.pid(name).to_string();
        assert!(Command::new("kill").args([signal, &pid]).status().is_ok_and(|s| s.success()));
    }

    /// Sends a signal and waits for the process to exit, which must be successful unless the signal is `-KILL`.
    pub fn stop(&mut self, name: &str, signal: &str) {
        self.signal(name, signal);
        let status = self.running.remove(name).expect("process is running").wait().expect("process exits");
        assert!(signal == "-KILL" || status.success(), "{name}: {status}");
    }

    pub fn log(&self, name: &str) -> String {
        std::fs::read_to_string(self.dir.join(format!("{name}.log"))).unwrap_or_default()
    }
}

pub struct TestCluster {
    pub processes: Processes,
    pub base: u16,
}

impl TestCluster {
    pub fn new() -> TestCluster {
        // The machines 127.0.0.2 to .8 use the same port numbers.
        let from = 40_000 + (std::process::id() % 500) as u16 * 20;
        let free =
            |b: &u16| (2..9).all(|m| (*b..*b + 7).all(|p| TcpListener::bind((format!("127.0.0.{m}"), p)).is_ok()));
        let base = (from..65_000).step_by(20).find(free).expect("free ports");
        TestCluster { processes: Processes::new("whole"), base }
    }

    /// Starts a process on a machine; `is_initial` marks the first start of the whole cluster.
    pub fn start(&mut self, role: &str, machine: u8, is_initial: bool) {
        let (b, ip) = (self.base, format!("127.0.0.{machine}"));
        let name = format!("{role}-{machine}");
        let data = self.processes.data_dir(&name);
        let node = if role == "agent" { format!("front-{machine}") } else { name.clone() };
        let listen = match role {
            "control" => format!("control = \"{ip}:{}\"", b + 4),
            "front" => format!("front = \"{ip}:{}\"\nready = \"{ip}:{}\"", b + 5, b + 6),
            _ => String::new(),
        };
        let seeds: Vec<String> = (2..5).map(|m| format!("\"127.0.0.{m}:{}\"", b + 4)).collect();
        let settings = format!(
            "node = \"{node}\"\nip = \"{ip}\"\nzone = \"z{}\"\nportRange = [{b}, {}]\nseeds = [{}]\ninitialStart = {is_initial}\n\
             dataDir = \"{}\"\n[listen]\n{listen}\n[limits]\nmemoryMb = 200\ndiskMb = 200\n[tolerance]\nmachines = 1\n\
             [constraints]\nquietMs = 4000\nackMs = 5000\ngraceS = 6\nsettleS = 4\ndrainMs = 3000\nconvergeMs = 3000\n\
             rollbackMs = 5000\nstatusS = 60\nnotifyS = 5\npeakWindowS = 5\nexposure = 0.1\n",
            machine % 3,
            b + 3,
            seeds.join(","),
            data.display()
        );
        self.processes.start(role, &name, settings);
    }

    pub fn stop(&mut self, name: &str, signal: &str) {
        self.processes.stop(name, signal);
    }

    pub fn signal(&self, name: &str, signal: &str) {
        self.processes.signal(name, signal);
    }

    pub fn is_leader(&self, machine: u8) -> bool {
        let at = format!("127.0.0.{machine}:{}", self.base + 4);
        let o = Command::new(BIN).args(["ctl", "--json", "--within", "1", "--at", &at, "status"]).output();
        o.is_ok_and(|o| String::from_utf8_lossy(&o.stdout).contains("\"isLeader\":true"))
    }

    pub fn any_control_log_contains(&self, line: &str) -> bool {
        (2..5).any(|m| self.log(&format!("control-{m}")).contains(line))
    }

    pub fn log(&self, name: &str) -> String {
        self.processes.log(name)
    }

    pub fn front_address(&self) -> String {
        format!("127.0.0.8:{}", self.base + 5)
    }

    pub fn ctl(&self, args: &[&str]) -> Option<serde_json::Value> {
        let at = format!("127.0.0.2:{},127.0.0.3:{}", self.base + 4, self.base + 4);
        let o = Command::new(BIN).args(["ctl", "--json", "--at", &at]).args(args).output().expect("ctl runs");
        o.status.success().then(|| serde_json::from_slice(&o.stdout).ok()).flatten()
    }

    /// Whether each partition has its two replicas in sync and its first replica as owner.
    pub fn is_fully_replicated(&self) -> bool {
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

pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + Duration::from_secs(60);
    while !condition() {
        assert!(Instant::now() < deadline, "timed out waiting for: {what}");
        std::thread::sleep(Duration::from_millis(50));
    }
}
