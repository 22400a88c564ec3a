//! Control nodes without other roles: planned replacement followed by a loss, and catching up after a long absence.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::process::Command;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

mod common;
use common::*;

struct ControlGroup {
    processes: Processes,
    base: u16,
}

impl ControlGroup {
    /// Starts nodes on 127.0.0.12, .13 and .14, which are the initial voters.
    fn new(name: &str) -> ControlGroup {
        // Tests run in parallel, so each searches a port range of its own.
        static TESTS: AtomicU16 = AtomicU16::new(0);
        let from = 33_000 + TESTS.fetch_add(1, Ordering::Relaxed) * 9000 + (std::process::id() % 500) as u16 * 16;
        let free =
            |b: &u16| (12..17).all(|m| (*b..*b + 6).all(|p| TcpListener::bind((format!("127.0.0.{m}"), p)).is_ok()));
        let base = (from..60_000).step_by(16).find(free).expect("free ports");
        let mut group = ControlGroup { processes: Processes::new(name), base };
        (12..15).for_each(|m| group.start(m, true));
        group
    }

    fn start(&mut self, m: u8, is_initial: bool) {
        let b = self.base;
        let dir = self.processes.data_dir(&m.to_string());
        let seeds: Vec<String> = (12..15).map(|m| format!("\"127.0.0.{m}:{}\"", b + 4)).collect();
        let settings = format!(
            "node = \"core-{m}\"\nip = \"127.0.0.{m}\"\nzone = \"z{m}\"\nportRange = [{b}, {}]\nseeds = [{}]\n\
             initialStart = {is_initial}\ndataDir = \"{}\"\n[listen]\ncontrol = \"127.0.0.{m}:{}\"\n[limits]\nmemoryMb = 100\n\
             diskMb = 100\n[tolerance]\nmachines = 1\n[constraints]\nquietMs = 4000\nackMs = 5000\ngraceS = 6\n\
             settleS = 4\ndrainMs = 3000\nconvergeMs = 3000\nrollbackMs = 5000\nstatusS = 60\nnotifyS = 5\n\
             peakWindowS = 5\nexposure = 0.1\n",
            b + 3,
            seeds.join(","),
            dir.display(),
            b + 4
        );
        self.processes.start("control", &m.to_string(), settings);
    }

    fn stop(&mut self, m: u8, signal: &str) {
        self.processes.stop(&m.to_string(), signal);
    }

    /// The machines whose control nodes are running.
    fn running(&self) -> Vec<u8> {
        self.processes.running.keys().filter_map(|m| m.parse().ok()).collect()
    }

    fn ctl(&self, at: &str, args: &[&str]) -> Option<serde_json::Value> {
        let output = Command::new(BIN).args(["ctl", "--json", "--within", "2", "--at", at]).args(args).output().ok()?;
        output.status.success().then(|| serde_json::from_slice(&output.stdout).ok()).flatten()
    }

    fn status(&self, m: u8) -> Option<serde_json::Value> {
        self.ctl(&format!("127.0.0.{m}:{}", self.base + 4), &["status"])
    }

    fn leader(&self) -> Option<u8> {
        let leads = |m: &u8| self.status(*m).is_some_and(|s| s["isLeader"] == true);
        self.running().into_iter().find(leads)
    }

    fn inner(&self, m: u8) -> String {
        format!("127.0.0.{m}:{}", self.base)
    }

    fn log(&self, m: u8) -> String {
        self.processes.log(&m.to_string())
    }

    /// Sends one request to the operator API without `ctl`.
    fn call(&self, m: u8, path: &str, base: u64, body: &str) -> Option<(u16, String)> {
        let mut s = TcpStream::connect((format!("127.0.0.{m}"), self.base + 4)).ok()?;
        s.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
        let head = format!("POST {path} HTTP/1.1\r\nHost: c\r\nX-Base-Revision: {base}\r\nConnection: close\r\n");
        write!(s, "{head}Content-Length: {}\r\n\r\n{body}", body.len()).ok()?;
        let mut response = String::new();
        s.read_to_string(&mut response).ok()?;
        Some((response.get(9..12)?.parse().ok()?, response.split_once("\r\n\r\n")?.1.to_owned()))
    }

    /// Repeats a change on all running nodes until the leader acknowledges it.
    fn change(&self, path: &str, base: u64, body: &str) {
        let deadline = Instant::now() + Duration::from_secs(20);
        loop {
            let all = self.running().into_iter().filter_map(|m| self.call(m, path, base, body));
            for (status, response) in all {
                match status {
                    200 => return,
                    307 | 500.. => {}
                    _ => panic!("status {status} on base {base}: {response}"),
                }
            }
            assert!(Instant::now() < deadline, "change on base {base} was not acknowledged");
        }
    }

    /// Bytes on a node's disk, and the peak memory of its process in bytes.
    fn disk_and_peak_memory(&self, m: u8) -> (u64, u64) {
        let files = std::fs::read_dir(self.processes.data_dir(&m.to_string())).expect("data directory");
        let disk = files.filter_map(|f| f.ok()?.metadata().ok()).map(|f| f.len()).sum();
        let status =
            std::fs::read_to_string(format!("/proc/{}/status", self.processes.pid(&m.to_string()))).unwrap_or_default();
        let peak = status.lines().find_map(|l| l.strip_prefix("VmHWM:")).and_then(|l| l.split_whitespace().next());
        (disk, peak.and_then(|k| k.parse::<u64>().ok()).unwrap_or(0) << 10)
    }

    fn replace_config(&self, revision: u64) -> bool {
        let path = self.processes.dir.join("config.json");
        std::fs::write(&path, format!(r#"{{"revision":{revision},"channels":[],"plants":[],"limits":{{}}}}"#))
            .expect("written");
        let all: Vec<String> = self.running().iter().map(|m| format!("127.0.0.{m}:{}", self.base + 4)).collect();
        let output = Command::new(BIN)
            .args(["ctl", "--within", "10", "--at", &all.join(","), "config", "replace"])
            .arg(&path)
            .output()
            .expect("ctl runs");
        output.status.success()
    }
}

/// Like `wait_until`, with a shorter time-out.
fn wait_up_to_20_s(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + Duration::from_secs(20);
    while !condition() {
        assert!(Instant::now() < deadline, "timed out waiting for: {what}");
        std::thread::sleep(Duration::from_millis(50));
    }
}

#[test]
fn majority_survives_a_loss_right_after_a_planned_replacement() {
    let mut group = ControlGroup::new("control-nodes");
    wait_up_to_20_s("a leader", || group.leader().is_some());
    assert!(group.replace_config(1));
    // The new node is started first; then a voter, the leader itself, is terminated.
    group.start(15, false);
    let new = group.inner(15);
    wait_up_to_20_s("the new node has caught up", || {
        group.leader().and_then(|m| group.status(m)).is_some_and(|s| s["behind"][&new] == 0)
    });
    let old = group.leader().expect("a leader");
    group.stop(old, "-TERM");
    assert!(group.log(old).contains("the vote has passed on"), "{}", group.log(old));
    // A second voter is killed while the replaced one is down.
    let second = (12..15).find(|m| *m != old).expect("another");
    group.stop(second, "-KILL");
    let started = Instant::now();
    assert!(group.replace_config(2), "two of three are a majority");
    assert!(started.elapsed() < Duration::from_secs(4), "after {:?}", started.elapsed());
    // Both return: neither leads with an outdated log, and both catch up quickly.
    group.start(old, false);
    group.start(second, false);
    wait_up_to_20_s("all nodes have caught up", || {
        group.running().into_iter().all(|m| group.status(m).is_some_and(|s| s["revision"] == 2))
    });
}

fn route(i: u64, timeout: u64) -> serde_json::Value {
    serde_json::json!({"name": format!("r{i}"), "host": "h", "prefix": format!("/p{i}/"), "mode": "deferred",
        "cutoffMs": timeout, "setpointMs": 200, "rank": 1, "plant": "s", "tries": 3, "sequenced": false,
        "retainS": 60.0, "notify": false, "startSetpointMs": 1000})
}

/// A size of the test, which `WILLOWSLIP_CHANGES` and `WILLOWSLIP_ROUTES` override for a longer run.
fn size(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|v| v.parse().ok()).unwrap_or(default)
}

#[test]
fn node_that_missed_many_changes_catches_up_and_does_not_lead_before() {
    let (changes, count) = (size("WILLOWSLIP_CHANGES", 600), size("WILLOWSLIP_ROUTES", 60));
    let mut group = ControlGroup::new("behind");
    wait_up_to_20_s("a leader", || group.leader().is_some());
    let documents: Vec<serde_json::Value> = (0..count).map(|i| route(i, 900)).collect();
    let service = serde_json::json!({"name": "s", "probe": "/probe", "connLimit": 10, "protocol": "h1", "tls": false,
        "flowPerS": 0.0, "dedupes": false, "pull": false, "endpoint": null});
    let configuration =
        serde_json::json!({"revision": 1, "channels": documents, "plants": [service], "limits": {}}).to_string();
    group.change("/config/replace", 0, &configuration);
    let lagging = (12..15).find(|m| Some(*m) != group.leader()).expect("a follower");
    group.stop(lagging, "-KILL");
    for n in 1..=changes {
        let change = serde_json::json!({"revision": n + 1, "upsert": {"channels": [route(n % count, 900 + n)]}});
        group.change("/config/adjust", n, &change.to_string());
    }
    let newest = changes + 1;
    group.start(lagging, false);
    let started = Instant::now();
    // It never leads with an older revision, and it catches up quickly.
    wait_up_to_20_s("the restarted node has caught up", || {
        let s = group.status(lagging);
        assert!(
            s.as_ref().is_none_or(|s| s["isLeader"] == false || s["revision"] == newest),
            "it leads with an older revision"
        );
        s.is_some_and(|s| s["revision"] == newest)
    });
    println!("caught up {:?} after its start, {changes} changes of {count} routes behind", started.elapsed());
    assert!(started.elapsed() < Duration::from_secs(4), "settleS is 4: {:?}", started.elapsed());
    // Disk and memory of the other nodes stay bounded; then the leader is lost and changes are still accepted.
    for m in (12..15).filter(|m| *m != lagging) {
        let (disk, peak) = group.disk_and_peak_memory(m);
        println!("core-{m}: {disk} bytes on disk, peak memory {peak} bytes");
        // A segment is 1/24 of the disk limit, and truncated entries are removed a whole segment at a time.
        assert!(disk < 40 << 20 && peak < 100 << 20, "{disk} {peak}");
    }
    let leader = group.leader().expect("a leader");
    group.stop(leader, "-KILL");
    group.change("/config/adjust", newest, &serde_json::json!({"revision": newest + 1, "remove": {}}).to_string());
}
