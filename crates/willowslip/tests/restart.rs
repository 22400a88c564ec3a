//! A single control node whose log is truncated repeatedly: acknowledged changes survive each kill and restart.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

const BIN: &str = env!("CARGO_BIN_EXE_willowslip");

struct ControlNode {
    dir: PathBuf,
    port: u16,
    child: Child,
}

fn spawn(dir: &Path) -> Child {
    let log = std::fs::File::options().create(true).append(true).open(dir.join("log")).expect("log file");
    Command::new(BIN)
        .arg("control")
        .env("WILLOWSLIP_SETTINGS", dir.join("settings.toml"))
        .stderr(Stdio::from(log))
        .spawn()
        .expect("process starts")
}

impl ControlNode {
    /// Starts a node; with little memory, a few configurations fill its log.
    fn new(name: &str, memory_mb: u32) -> ControlNode {
        let from = 30_000 + (std::process::id() % 500) as u16 * 16;
        let free = |b: &u16| (*b..*b + 6).all(|p| TcpListener::bind(("127.0.0.1", p)).is_ok());
        let b = (from..60_000).step_by(16).find(free).expect("free ports");
        let dir = std::env::temp_dir().join(format!("willowslip-{name}-{}", std::process::id()));
        std::fs::create_dir_all(dir.join("data")).expect("data directory");
        let settings = format!(
            "node = \"core-1\"\nip = \"127.0.0.1\"\nzone = \"z\"\nportRange = [{b}, {}]\nseeds = [\"127.0.0.1:{port}\"]\n\
             initialStart = true\ndataDir = \"{}\"\n[listen]\ncontrol = \"127.0.0.1:{port}\"\n[limits]\n\
             memoryMb = {memory_mb}\ndiskMb = 200\n[constraints]\nquietMs = 2000\nackMs = 5000\ngraceS = 2\nsettleS = 2\n\
             drainMs = 3000\nconvergeMs = 3000\nrollbackMs = 5000\nstatusS = 60\nnotifyS = 5\npeakWindowS = 5\nexposure = 0.1\n",
            b + 3,
            dir.join("data").display(),
            port = b + 4
        );
        std::fs::write(dir.join("settings.toml"), settings).expect("settings written");
        let child = spawn(&dir);
        ControlNode { dir, port: b + 4, child }
    }

    fn kill_and_restart(&mut self) {
        self.child.kill().expect("process is running");
        self.child.wait().expect("process exits");
        self.child = spawn(&self.dir);
    }

    fn try_request(&self, method: &str, path: &str, base: u64, body: &str) -> Option<(u16, String)> {
        let mut s = TcpStream::connect(("127.0.0.1", self.port)).ok()?;
        s.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
        write!(
            s,
            "{method} {path} HTTP/1.1\r\nHost: c\r\nX-Base-Revision: {base}\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )
        .ok()?;
        let mut response = String::new();
        s.read_to_string(&mut response).ok()?;
        let status = response.get(9..12)?.parse().ok()?;
        Some((status, response.split_once("\r\n\r\n")?.1.to_owned()))
    }

    /// Repeats a request until it is answered with a status below 500.
    fn request(&self, method: &str, path: &str, base: u64, body: &str) -> (u16, String) {
        let deadline = Instant::now() + Duration::from_secs(20);
        loop {
            match self.try_request(method, path, base, body) {
                Some(a) if a.0 < 500 => return a,
                a if Instant::now() > deadline => panic!("no conclusive response to {method} {path}: {a:?}"),
                _ => std::thread::sleep(Duration::from_millis(20)),
            }
        }
    }
}

impl Drop for ControlNode {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}

fn config(revision: u64, routes: usize) -> String {
    let routes: Vec<serde_json::Value> = (0..routes)
        .map(|i| {
            serde_json::json!({"name": format!("r{i}"), "host": "h", "prefix": format!("/p{i}/"), "mode": "deferred",
                "cutoffMs": 900 + revision, "setpointMs": 200, "rank": 1, "plant": "s", "tries": 3, "sequenced": false,
                "retainS": 60.0, "notify": false, "startSetpointMs": 1000})
        })
        .collect();
    serde_json::json!({"revision": revision, "channels": routes, "limits": {},
        "plants": [{"name": "s", "probe": "/probe", "connLimit": 10, "protocol": "h1", "tls": false, "flowPerS": 0.0,
            "dedupes": false, "pull": false, "endpoint": null}]})
    .to_string()
}

#[test]
fn acknowledged_configurations_survive_kills() {
    let mut node = ControlNode::new("restart", 8);
    let mut incarnations_with_cuts = 0;
    for n in 1..=16u64 {
        let (status, response) = node.request("POST", "/config/replace", n - 1, &config(n, 100));
        assert_eq!(status, 200, "configuration {n}: {response}");
        incarnations_with_cuts += usize::from(node.request("GET", "/status", 0, "").1.contains("log_cuts"));
        node.kill_and_restart();
        let (status, response) = node.request("GET", "/config/read", 0, "");
        let read: serde_json::Value = serde_json::from_str(&response).expect("valid JSON");
        assert_eq!((status, read["revision"].as_u64()), (200, Some(n)), "read back after a kill");
    }
    assert!(incarnations_with_cuts >= 2, "the log was truncated in only {incarnations_with_cuts} incarnations");
}
