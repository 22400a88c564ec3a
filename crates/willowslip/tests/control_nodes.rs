//! Control nodes alone on loopback: one is replaced as planned, and another is lost right after.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::process::Command;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

mod common;
use common::*;

struct ControlNodes {
    programs: Programs,
    base: u16,
}

impl ControlNodes {
    /// Those of 127.0.0.12, .13 and .14 are the first voters.
    fn new(name: &str) -> ControlNodes {
        // Tests run side by side: each looks for ports of its own.
        static TESTS: AtomicU16 = AtomicU16::new(0);
        let from = 33_000 + TESTS.fetch_add(1, Ordering::Relaxed) * 9000 + (std::process::id() % 500) as u16 * 16;
        let free =
            |b: &u16| (12..17).all(|m| (*b..*b + 6).all(|p| TcpListener::bind((format!("127.0.0.{m}"), p)).is_ok()));
        let base = (from..60_000).step_by(16).find(free).expect("free ports");
        let mut f = ControlNodes { programs: Programs::new(name), base };
        (12..15).for_each(|m| f.start(m, true));
        f
    }

    fn start(&mut self, m: u8, first: bool) {
        let b = self.base;
        let dir = self.programs.data(&m.to_string());
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
        self.programs.start("control", &m.to_string(), settings);
    }

    fn end(&mut self, m: u8, signal: &str) {
        self.programs.end(&m.to_string(), signal);
    }

    /// The machines whose control nodes run.
    fn up(&self) -> Vec<u8> {
        self.programs.running.keys().filter_map(|m| m.parse().ok()).collect()
    }

    fn ctl(&self, at: &str, args: &[&str]) -> Option<serde_json::Value> {
        let o = Command::new(BIN).args(["ctl", "--json", "--within", "2", "--at", at]).args(args).output().ok()?;
        o.status.success().then(|| serde_json::from_slice(&o.stdout).ok()).flatten()
    }

    fn status(&self, m: u8) -> Option<serde_json::Value> {
        self.ctl(&format!("127.0.0.{m}:{}", self.base + 4), &["status"])
    }

    fn leader(&self) -> Option<u8> {
        let leads = |m: &u8| self.status(*m).is_some_and(|s| s["isLeader"] == true);
        self.up().into_iter().find(leads)
    }

    fn inner(&self, m: u8) -> String {
        format!("127.0.0.{m}:{}", self.base)
    }

    fn log(&self, m: u8) -> String {
        self.programs.log(&m.to_string())
    }

    /// One call to the operators' interface, without the client.
    fn call(&self, m: u8, path: &str, base: u64, body: &str) -> Option<(u16, String)> {
        let mut s = TcpStream::connect((format!("127.0.0.{m}"), self.base + 4)).ok()?;
        s.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
        let head = format!("POST {path} HTTP/1.1\r\nHost: c\r\nX-Base-Revision: {base}\r\nConnection: close\r\n");
        write!(s, "{head}Content-Length: {}\r\n\r\n{body}", body.len()).ok()?;
        let mut said = String::new();
        s.read_to_string(&mut said).ok()?;
        Some((said.get(9..12)?.parse().ok()?, said.split_once("\r\n\r\n")?.1.to_owned()))
    }

    /// Sends a change until it is acknowledged, to whoever leads.
    fn change(&self, path: &str, base: u64, body: &str) {
        let end = Instant::now() + Duration::from_secs(20);
        loop {
            let all = self.up().into_iter().filter_map(|m| self.call(m, path, base, body));
            for (status, said) in all {
                match status {
                    200 => return,
                    307 | 500.. => {}
                    _ => panic!("{status} on {base}: {said}"),
                }
            }
            assert!(Instant::now() < end, "no clear answer on {base}");
        }
    }

    /// Bytes on a member's disk, and bytes of memory that its process has had at most.
    fn weight(&self, m: u8) -> (u64, u64) {
        let files = std::fs::read_dir(self.programs.data(&m.to_string())).expect("a folder");
        let disk = files.filter_map(|f| f.ok()?.metadata().ok()).map(|f| f.len()).sum();
        let status =
            std::fs::read_to_string(format!("/proc/{}/status", self.programs.id(&m.to_string()))).unwrap_or_default();
        let peak = status.lines().find_map(|l| l.strip_prefix("VmHWM:")).and_then(|l| l.split_whitespace().next());
        (disk, peak.and_then(|k| k.parse::<u64>().ok()).unwrap_or(0) << 10)
    }

    fn put(&self, revision: u64) -> bool {
        let path = self.programs.dir.join("config.json");
        std::fs::write(&path, format!(r#"{{"revision":{revision},"channels":[],"plants":[],"limits":{{}}}}"#))
            .expect("written");
        let all: Vec<String> = self.up().iter().map(|m| format!("127.0.0.{m}:{}", self.base + 4)).collect();
        let o = Command::new(BIN)
            .args(["ctl", "--within", "10", "--at", &all.join(","), "config", "replace"])
            .arg(&path)
            .output()
            .expect("it runs");
        o.status.success()
    }
}

fn soon(what: &str, mut done: impl FnMut() -> bool) {
    let end = Instant::now() + Duration::from_secs(20);
    while !done() {
        assert!(Instant::now() < end, "not in time: {what}");
        std::thread::sleep(Duration::from_millis(50));
    }
}

#[test]
fn a_second_loss_right_after_a_planned_replacement_is_borne() {
    let mut f = ControlNodes::new("control-nodes");
    soon("a leader", || f.leader().is_some());
    assert!(f.put(1));
    // The new one comes first; then one that votes is told to end - the leader itself.
    f.start(15, false);
    let new = f.inner(15);
    soon("the new one is level", || f.leader().and_then(|m| f.status(m)).is_some_and(|s| s["behind"][&new] == 0));
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
    soon("all are level", || f.up().into_iter().all(|m| f.status(m).is_some_and(|s| s["revision"] == 2)));
}

fn route(i: u64, timeout: u64) -> serde_json::Value {
    serde_json::json!({"name": format!("r{i}"), "host": "h", "prefix": format!("/p{i}/"), "mode": "deferred",
        "cutoffMs": timeout, "setpointMs": 200, "rank": 1, "plant": "s", "tries": 3, "sequenced": false,
        "retainS": 60.0, "notify": false, "startSetpointMs": 1000})
}

/// `WILLOWSLIP_CHANGES` and `WILLOWSLIP_ROUTES` make it a longer run.
fn size(name: &str, usual: u64) -> u64 {
    std::env::var(name).ok().and_then(|v| v.parse().ok()).unwrap_or(usual)
}

#[test]
fn one_that_was_down_for_many_changes_is_level_soon_and_never_leads_before() {
    let (changes, count) = (size("WILLOWSLIP_CHANGES", 600), size("WILLOWSLIP_ROUTES", 60));
    let mut f = ControlNodes::new("behind");
    soon("a leader", || f.leader().is_some());
    let documents: Vec<serde_json::Value> = (0..count).map(|i| route(i, 900)).collect();
    let service = serde_json::json!({"name": "s", "probe": "/probe", "connLimit": 10, "protocol": "h1", "tls": false,
        "flowPerS": 0.0, "dedupes": false, "pull": false, "endpoint": null});
    let whole =
        serde_json::json!({"revision": 1, "channels": documents, "plants": [service], "limits": {}}).to_string();
    f.change("/config/replace", 0, &whole);
    let away = (12..15).find(|m| Some(*m) != f.leader()).expect("a follower");
    f.end(away, "-KILL");
    for n in 1..=changes {
        let change = serde_json::json!({"revision": n + 1, "upsert": {"channels": [route(n % count, 900 + n)]}});
        f.change("/config/adjust", n, &change.to_string());
    }
    let newest = changes + 1;
    f.start(away, false);
    let begun = Instant::now();
    // Whenever it is asked it says nothing older as current, and it is level soon.
    soon("it is level", || {
        let s = f.status(away);
        assert!(s.as_ref().is_none_or(|s| s["isLeader"] == false || s["revision"] == newest), "it leads with less");
        s.is_some_and(|s| s["revision"] == newest)
    });
    println!("level {:?} after its start, {changes} changes of {count} routes behind", begun.elapsed());
    assert!(begun.elapsed() < Duration::from_secs(4), "settleS is 4: {:?}", begun.elapsed());
    // The others go, and it leads with all of it.
    for m in (12..15).filter(|m| *m != away) {
        let (disk, peak) = f.weight(m);
        println!("core-{m}: {disk} bytes of disk, at most {peak} of memory");
        // A segment is a twenty-fourth of the disk, and what is cut goes with its segment.
        assert!(disk < 40 << 20 && peak < 100 << 20, "{disk} {peak}");
    }
    let leader = f.leader().expect("a leader");
    f.end(leader, "-KILL");
    f.change("/config/adjust", newest, &serde_json::json!({"revision": newest + 1, "remove": {}}).to_string());
}
