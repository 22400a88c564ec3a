//! One control node on loopback whose log is cut again and again: what it acknowledged is
//! there whenever it is killed and begins anew.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

const BIN: &str = env!("CARGO_BIN_EXE_willowslip");

struct Control {
    dir: PathBuf,
    port: u16,
    child: Child,
}

fn begin(dir: &Path) -> Child {
    let log = std::fs::File::options().create(true).append(true).open(dir.join("log")).expect("a log file");
    Command::new(BIN)
        .arg("control")
        .env("WILLOWSLIP_SETTINGS", dir.join("settings.toml"))
        .stderr(Stdio::from(log))
        .spawn()
        .expect("it starts")
}

impl Control {
    /// With so little memory that a few configurations fill its log.
    fn new(name: &str, memory_mb: u32) -> Control {
        let from = 30_000 + (std::process::id() % 500) as u16 * 16;
        let free = |b: &u16| (*b..*b + 6).all(|p| TcpListener::bind(("127.0.0.1", p)).is_ok());
        let b = (from..60_000).step_by(16).find(free).expect("free ports");
        let dir = std::env::temp_dir().join(format!("willowslip-{name}-{}", std::process::id()));
        std::fs::create_dir_all(dir.join("data")).expect("a folder");
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
        let child = begin(&dir);
        Control { dir, port: b + 4, child }
    }

    fn kill_and_begin(&mut self) {
        self.child.kill().expect("it runs");
        self.child.wait().expect("it ends");
        self.child = begin(&self.dir);
    }

    fn once(&self, method: &str, path: &str, base: u64, body: &str) -> Option<(u16, String)> {
        let mut s = TcpStream::connect(("127.0.0.1", self.port)).ok()?;
        s.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
        write!(
            s,
            "{method} {path} HTTP/1.1\r\nHost: c\r\nX-Base-Revision: {base}\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )
        .ok()?;
        let mut said = String::new();
        s.read_to_string(&mut said).ok()?;
        let status = said.get(9..12)?.parse().ok()?;
        Some((status, said.split_once("\r\n\r\n")?.1.to_owned()))
    }

    /// Asks until the answer is a clear one.
    fn ask(&self, method: &str, path: &str, base: u64, body: &str) -> (u16, String) {
        let end = Instant::now() + Duration::from_secs(20);
        loop {
            match self.once(method, path, base, body) {
                Some(a) if a.0 < 500 => return a,
                a if Instant::now() > end => panic!("no clear answer to {method} {path}: {a:?}"),
                _ => std::thread::sleep(Duration::from_millis(20)),
            }
        }
    }
}

impl Drop for Control {
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
fn whenever_it_is_killed_what_it_acknowledged_is_there() {
    let mut f = Control::new("restart", 8);
    let mut cut = 0;
    for n in 1..=16u64 {
        let (status, said) = f.ask("POST", "/config/replace", n - 1, &config(n, 100));
        assert_eq!(status, 200, "configuration {n}: {said}");
        cut += usize::from(f.ask("GET", "/status", 0, "").1.contains("log_cuts"));
        f.kill_and_begin();
        let (status, said) = f.ask("GET", "/config/read", 0, "");
        let read: serde_json::Value = serde_json::from_str(&said).expect("a configuration");
        assert_eq!((status, read["revision"].as_u64()), (200, Some(n)), "read back after the end of the process");
    }
    assert!(cut >= 2, "the log was cut in {cut} incarnations only");
}
