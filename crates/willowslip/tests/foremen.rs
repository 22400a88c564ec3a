//! Foremen alone on loopback: one is replaced as planned, and another is lost right after.

use std::collections::HashMap;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

const BIN: &str = env!("CARGO_BIN_EXE_willowslip");

struct Foremen {
    dir: PathBuf,
    base: u16,
    children: HashMap<u8, Child>,
}

impl Drop for Foremen {
    fn drop(&mut self) {
        for c in self.children.values_mut() {
            let _ = c.kill();
            let _ = c.wait();
        }
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

impl Foremen {
    /// Those of 127.0.0.12, .13 and .14 are the first voters.
    fn new(name: &str) -> Foremen {
        let from = 33_000 + (std::process::id() % 500) as u16 * 16;
        let free =
            |b: &u16| (12..17).all(|m| (*b..*b + 6).all(|p| TcpListener::bind((format!("127.0.0.{m}"), p)).is_ok()));
        let base = (from..60_000).step_by(16).find(free).expect("free ports");
        let dir = std::env::temp_dir().join(format!("willowslip-{name}-{}", std::process::id()));
        let mut f = Foremen { dir, base, children: HashMap::new() };
        (12..15).for_each(|m| f.start(m, true));
        f
    }

    fn start(&mut self, m: u8, first: bool) {
        let b = self.base;
        let dir = self.dir.join(m.to_string());
        std::fs::create_dir_all(&dir).expect("a folder");
        let seeds: Vec<String> = (12..15).map(|m| format!("\"127.0.0.{m}:{}\"", b + 4)).collect();
        let settings = format!(
            "node = \"core-{m}\"\nip = \"127.0.0.{m}\"\nzone = \"z{m}\"\nportRange = [{b}, {}]\nseeds = [{}]\n\
             initialStart = {first}\ndataDir = \"{}\"\n[listen]\ncontrol = \"127.0.0.{m}:{}\"\n[limits]\nmemoryMb = 100\n\
             diskMb = 100\n[tolerance]\nmachines = 1\n[constraints]\nquietMs = 4000\nackMs = 5000\ngraceS = 6\n\
             settleS = 4\ndrainMs = 3000\nconvergeMs = 3000\nrollbackMs = 5000\nstatusS = 60\nnotifyS = 5\n\
             peakWindowS = 5\nexposure = 0.1\n",
            b + 3,
            seeds.join(","),
            dir.display(),
            b + 4
        );
        let path = self.dir.join(format!("{m}.toml"));
        std::fs::write(&path, settings).expect("settings written");
        let log = std::fs::File::options().create(true).append(true).open(self.dir.join(format!("{m}.log")));
        let child = Command::new(BIN)
            .arg("foreman")
            .env("WILLOWSLIP_SETTINGS", &path)
            .stderr(Stdio::from(log.expect("a log file")))
            .spawn()
            .expect("it starts");
        self.children.insert(m, child);
    }

    fn end(&mut self, m: u8, signal: &str) {
        let mut c = self.children.remove(&m).expect("it runs");
        let done = Command::new("kill").args([signal, &c.id().to_string()]).status().expect("kill runs");
        assert!(done.success());
        let ended = c.wait().expect("it ends");
        assert!(signal == "-KILL" || ended.success(), "core-{m}: {ended}");
    }

    fn ctl(&self, at: &str, args: &[&str]) -> Option<serde_json::Value> {
        let o = Command::new(BIN).args(["ctl", "--json", "--within", "2", "--at", at]).args(args).output().ok()?;
        o.status.success().then(|| serde_json::from_slice(&o.stdout).ok()).flatten()
    }

    fn status(&self, m: u8) -> Option<serde_json::Value> {
        self.ctl(&format!("127.0.0.{m}:{}", self.base + 4), &["status"])
    }

    fn leader(&self) -> Option<u8> {
        let leads = |m: &&u8| self.status(**m).is_some_and(|s| s["isLeader"] == true);
        self.children.keys().find(leads).copied()
    }

    fn inner(&self, m: u8) -> String {
        format!("127.0.0.{m}:{}", self.base)
    }

    fn log(&self, m: u8) -> String {
        std::fs::read_to_string(self.dir.join(format!("{m}.log"))).unwrap_or_default()
    }

    fn put(&self, revision: u64) -> bool {
        let path = self.dir.join("config.json");
        std::fs::write(&path, format!(r#"{{"revision":{revision},"channels":[],"plants":[],"limits":{{}}}}"#))
            .expect("written");
        let all: Vec<String> = self.children.keys().map(|m| format!("127.0.0.{m}:{}", self.base + 4)).collect();
        let o = Command::new(BIN)
            .args(["ctl", "--within", "10", "--at", &all.join(","), "config", "replace"])
            .arg(&path)
            .output()
            .expect("it runs");
        o.status.success()
    }
}

fn until(what: &str, mut done: impl FnMut() -> bool) {
    let end = Instant::now() + Duration::from_secs(20);
    while !done() {
        assert!(Instant::now() < end, "not in time: {what}");
        std::thread::sleep(Duration::from_millis(50));
    }
}

#[test]
fn a_second_loss_right_after_a_planned_replacement_is_borne() {
    let mut f = Foremen::new("foremen");
    until("a leader", || f.leader().is_some());
    assert!(f.put(1));
    // The new one comes first; then one that votes is told to end - the leader itself.
    f.start(15, false);
    let new = f.inner(15);
    until("the new one is level", || f.leader().and_then(|m| f.status(m)).is_some_and(|s| s["behind"][&new] == 0));
    let old = f.leader().expect("a leader");
    f.end(old, "-TERM");
    assert!(f.log(old).contains("the vote has passed on"), "{}", f.log(old));
    // It is gone for good, and a second one with it.
    let second = (12..15).find(|m| *m != old).expect("another");
    f.end(second, "-KILL");
    let begun = Instant::now();
    assert!(f.put(2), "two of three are a majority");
    assert!(begun.elapsed() < Duration::from_secs(4), "after {:?}", begun.elapsed());
    // Both come back: neither leads with what it has, and both are level soon.
    f.start(old, false);
    f.start(second, false);
    until("all are level", || f.children.keys().all(|m| f.status(*m).is_some_and(|s| s["revision"] == 2)));
}
