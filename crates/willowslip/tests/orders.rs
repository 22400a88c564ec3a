//! Operator requests over HTTP to control and store nodes on loopback: concurrent, repeated, sent to the next leader,
//! and too large.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::process::Command;
use std::time::{Duration, Instant};

mod common;
use common::Processes;

struct TestCluster {
    processes: Processes,
    base: u16,
}

/// Sends one request on a new connection; `None` without a complete response. Returns status, head and body.
fn call(at: &str, method: &str, path: &str, base: Option<u64>, body: &[u8]) -> Option<(u16, String, String)> {
    let mut s = TcpStream::connect(at).ok()?;
    s.set_read_timeout(Some(Duration::from_secs(20))).ok()?;
    let base = base.map_or(String::new(), |b| format!("X-Base-Revision: {b}\r\n"));
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: c\r\nConnection: close\r\n{base}Content-Length: {}\r\n\r\n",
        body.len()
    );
    s.write_all(head.as_bytes()).ok()?;
    s.write_all(body).ok()?;
    let mut all = String::new();
    s.read_to_string(&mut all).ok()?;
    let (head, body) = all.split_once("\r\n\r\n")?;
    Some((head.split(' ').nth(1)?.parse().ok()?, head.to_owned(), body.to_owned()))
}

fn wait_until<T>(what: &str, mut poll: impl FnMut() -> Option<T>) -> T {
    let deadline = Instant::now() + Duration::from_secs(60);
    loop {
        if let Some(t) = poll() {
            return t;
        }
        assert!(Instant::now() < deadline, "timed out waiting for: {what}");
        std::thread::sleep(Duration::from_millis(50));
    }
}

impl TestCluster {
    fn new(name: &str, machines: std::ops::Range<u8>) -> TestCluster {
        // Tests run in parallel, so each searches from a different port.
        let offset = match name {
            "large" => 20,
            "evacuate" => 10,
            "seeds" => 30,
            _ => 0,
        };
        let from = 42_000 + (std::process::id() % 400) as u16 * 40 + offset;
        let free = |b: &u16| {
            (machines.clone()).all(|m| (*b..*b + 7).all(|p| TcpListener::bind((format!("127.0.1.{m}"), p)).is_ok()))
        };
        let base = (from..65_000).step_by(40).find(free).expect("free ports");
        TestCluster { processes: Processes::new(&format!("orders-{name}")), base }
    }

    fn control(&self, machine: u8) -> String {
        format!("127.0.1.{machine}:{}", self.base + 4)
    }

    fn start(&mut self, role: &str, machine: u8, is_initial: bool, control_nodes: std::ops::Range<u8>) {
        let (b, ip) = (self.base, format!("127.0.1.{machine}"));
        let name = format!("{role}-{machine}");
        let data = self.processes.data_dir(&name);
        let control = if role == "control" { self.control(machine) } else { String::new() };
        let seeds: Vec<String> = control_nodes.map(|m| format!("\"{}\"", self.control(m))).collect();
        let settings = format!(
            "node = \"{name}\"\nip = \"{ip}\"\nzone = \"z{}\"\nportRange = [{b}, {}]\nseeds = [{}]\ninitialStart = {is_initial}\n\
             dataDir = \"{}\"\n[listen]\ncontrol = \"{control}\"\n[limits]\nmemoryMb = 256\ndiskMb = 200\n\
             [tolerance]\nmachines = 1\n[constraints]\nquietMs = 3000\nackMs = 60000\ngraceS = 6\nsettleS = 3\n\
             drainMs = 3000\nconvergeMs = 3000\nrollbackMs = 5000\nstatusS = 60\nnotifyS = 5\npeakWindowS = 5\nexposure = 0.1\n\
             [zones]\nz0 = \"r\"\nz1 = \"r\"\nz2 = \"r\"\n",
            machine % 3,
            b + 3,
            seeds.join(","),
            data.display()
        );
        self.processes.start(role, &name, settings);
    }

    fn kill(&mut self, name: &str) {
        self.processes.stop(name, "-KILL");
    }

    fn is_leader(&self, machine: u8) -> bool {
        call(&self.control(machine), "GET", "/status", None, b"").is_some_and(|a| a.2.contains("\"isLeader\":true"))
    }

    fn leader(&self) -> u8 {
        wait_until("a leader", || {
            (2..7).filter(|m| self.processes.running.contains_key(&format!("control-{m}"))).find(|m| self.is_leader(*m))
        })
    }

    /// Sends a request to one node after the other until one responds conclusively, as `ctl` does.
    fn send(&self, method: &str, path: &str, base: Option<u64>, body: &str) -> (u16, String) {
        wait_until(path, || {
            let all = (2..5).filter_map(|m| call(&self.control(m), method, path, base, body.as_bytes()));
            all.map(|a| (a.0, a.2)).find(|a| a.0 < 500 && a.0 != 307)
        })
    }

    /// Sends all requests concurrently, repeating each until it gets a conclusive response.
    fn send_concurrently(&self, orders: &[(String, String)]) -> Vec<u16> {
        std::thread::scope(|s| {
            let all: Vec<_> = orders.iter().map(|(p, b)| s.spawn(move || self.send("POST", p, None, b).0)).collect();
            all.into_iter().map(|h| h.join().expect("no panic")).collect()
        })
    }
}

const CONFIG: &str = r#"{"revision": 3, "channels": [], "plants": [{"name": "p"}, {"name": "q"}], "limits": {}}"#;

#[test]
fn concurrent_and_repeated_orders_are_consistent_across_leaders() {
    let mut cluster = TestCluster::new("once", 2..8);
    for m in 2..5 {
        cluster.start("control", m, true, 2..5);
    }
    for m in 5..8 {
        cluster.start("store", m, true, 2..5);
    }
    assert_eq!(cluster.send("POST", "/config/replace", Some(0), CONFIG).0, 200);
    let status = |cluster: &TestCluster| -> serde_json::Value {
        let at = cluster.control(cluster.leader());
        call(&at, "GET", "/status", None, b"").and_then(|a| serde_json::from_str(&a.2).ok()).unwrap_or_default()
    };
    wait_until("partitions replicated", || {
        let s = status(&cluster);
        let whole = |p: &serde_json::Value| p["inSync"].as_array().is_some_and(|i| i.len() == 2);
        s["partitions"].as_array().filter(|p| !p.is_empty() && p.iter().all(whole)).map(|_| ())
    });

    // Of concurrent rollouts of one service, exactly one is accepted.
    let start =
        |t: &str| ("/rollouts/start".to_owned(), format!(r#"{{"plant": "p", "target": "{t}", "withinS": 3600}}"#));
    let rollouts = [start("v2"), start("v3"), start("v4"), start("v5")];
    let got = cluster.send_concurrently(&rollouts);
    assert_eq!(got.iter().filter(|s| **s == 200).count(), 1, "{got:?}");
    assert!(got.iter().all(|s| [200, 409].contains(s)), "{got:?}");
    let accepted = got.iter().position(|s| *s == 200).expect("one");
    let read = cluster.send("GET", "/rollouts/p/read", None, "").1;
    assert!(read.contains(&format!("\"v{}\"", accepted + 2)), "{read}");
    let (path, body) = rollouts[accepted].clone();
    assert_eq!(cluster.send("POST", &path, None, &body).0, 200, "a repeat is acknowledged");

    // Of concurrent retirements of all three stores, one is accepted: two machines must stay.
    let retire = |m: u8| (format!("/retire/store-{m}/start"), r#"{"withinS": 60}"#.to_owned());
    let retirements = [retire(5), retire(6), retire(7)];
    let got = cluster.send_concurrently(&retirements);
    assert_eq!(got.iter().filter(|s| **s == 200).count(), 1, "{got:?}");
    let retired = got.iter().position(|s| *s == 200).expect("one");
    let (retire_path, retire_body) = retirements[retired].clone();
    assert_eq!(cluster.send("POST", &retire_path, None, &retire_body).0, 200, "a repeat is acknowledged");
    let read = retire_path.replace("start", "read");
    wait_until("retirement settled", || cluster.send("GET", &read, None, "").1.contains("settled").then_some(()));
    // A settled store may be removed at any time, so it must not be assigned partitions again.
    let is_assigned = || status(&cluster)["partitions"].to_string().contains(&format!("\"store-{}\"", retired + 5));
    for _ in 0..20 {
        assert!(!is_assigned(), "{}", status(&cluster)["partitions"]);
        std::thread::sleep(Duration::from_millis(100));
    }
    cluster.kill(&format!("store-{}", retired + 5));

    // The next leader knows all accepted orders, and so do all nodes after a restart of the whole group.
    let assert_repeats = |cluster: &TestCluster| {
        assert_eq!(cluster.send("POST", "/config/replace", Some(0), CONFIG).0, 200);
        assert_eq!(cluster.send("POST", &path, None, &body).0, 200);
        assert_eq!(cluster.send("POST", &start("v9").0, None, &start("v9").1).0, 409);
        assert_eq!(
            cluster.send("POST", &retire_path, None, &retire_body).0,
            200,
            "a repeat is acknowledged after the node is gone"
        );
        assert_eq!(cluster.send("POST", "/retire/store-99/start", None, &retire_body).0, 404);
        assert_eq!(cluster.send("POST", "/config/replace", Some(0), &CONFIG.replace('q', "r")).0, 412, "another body");
        assert_eq!(cluster.send("POST", "/config/adjust", Some(0), CONFIG).0, 412, "another kind of order");
    };
    assert_repeats(&cluster);
    let old = cluster.leader();
    cluster.kill(&format!("control-{old}"));
    assert_repeats(&cluster);
    cluster.start("control", old, false, 2..5);
    for m in 2..5 {
        cluster.kill(&format!("control-{m}"));
    }
    for m in 2..5 {
        cluster.start("control", m, false, 2..5);
    }
    assert_repeats(&cluster);

    // A leader that was frozen does not answer from its old state; its redirects name another machine and keep path and
    // query.
    let old = cluster.leader();
    let signal = |s: &str| {
        let pid = cluster.processes.pid(&format!("control-{old}")).to_string();
        assert!(Command::new("kill").args([s, &pid]).status().is_ok_and(|s| s.success()));
    };
    let at = cluster.control(old);
    std::thread::scope(|s| {
        signal("-STOP");
        let requests: Vec<_> = (0..8)
            .map(|n| {
                let at = &at;
                s.spawn(move || match n % 4 {
                    0 => call(at, "GET", "/config/read?n=1", None, b""),
                    1 => call(at, "GET", "/rollouts/q/read?n=1", None, b""),
                    2 => call(at, "POST", "/config/replace?n=1", Some(2), CONFIG.as_bytes()),
                    _ => call(at, "POST", "/retire/store-99/start?n=1", None, b"{}"),
                })
            })
            .collect();
        let next = r#"{"revision": 9, "upsert": {"plants": [{"name": "z"}]}}"#;
        let change = wait_until("change accepted by another leader", || {
            let others = (2..5).filter(|m| *m != old);
            others
                .filter_map(|m| call(&cluster.control(m), "POST", "/config/adjust", Some(3), next.as_bytes()))
                .find(|a| a.0 == 200)
        });
        assert_eq!(change.0, 200);
        signal("-CONT");
        for request in requests {
            let (status, head, _) = request.join().expect("no panic").expect("response");
            assert!(status == 503 || status == 307, "{head}");
            if status == 307 {
                assert!(!head.contains(&at) && head.contains("?n=1\r\n"), "{head}");
            }
        }
    });
}

/// Peak and current resident memory of a process, in kB.
fn memory(pid: u32) -> (u64, u64) {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).expect("a status");
    let line = |name: &str| text.lines().find_map(|l| l.strip_prefix(name)).expect("a line");
    let kb = |l: &str| l.trim().trim_end_matches(" kB").parse().expect("a number");
    (kb(line("VmHWM:")), kb(line("VmRSS:")))
}

/// A configuration with `count` routes of typical size.
fn config_with_routes(revision: u64, count: usize) -> String {
    let one = |n: usize| {
        format!(
            r#"{{"name":"r-x5wa{n:05}","host":"boye61.example","prefix":"/bose230/zi{n:05}/","mode":"deferred","cutoffMs":1500,"setpointMs":200,"rank":2,"plant":"p","tries":3,"sequenced":false,"retainS":90.0,"notify":true,"startSetpointMs":1200}}"#
        )
    };
    let all: Vec<String> = (0..count).map(one).collect();
    format!(r#"{{"revision":{revision},"channels":[{}],"plants":[{{"name":"p"}}],"limits":{{}}}}"#, all.join(","))
}

#[test]
fn configuration_size_is_limited_and_memory_stays_bounded_at_the_limit() {
    let mut cluster = TestCluster::new("large", 2..3);
    cluster.start("control", 2, true, 2..3);
    let at = cluster.control(2);
    wait_until("a leader", || cluster.is_leader(2).then_some(()));
    // Repeats a request until the response is conclusive, as `ctl` does.
    let post = |path: &str, base: u64, body: &str| {
        let is_conclusive = |a: &(u16, String, String)| a.0 < 500;
        wait_until(path, || call(&at, "POST", path, Some(base), body.as_bytes()).filter(is_conclusive))
    };
    let small = config_with_routes(1, 1700);
    assert_eq!(post("/config/replace", 0, &small).0, 200);
    let pid = cluster.processes.pid("control-2");
    println!("with 1700 routes, {} bytes: {:?} kB", small.len(), memory(pid));
    // A configuration far above the limit, slightly above it, or grown above it by changes is refused with the limit.
    let limit = |a: (u16, String, String)| {
        assert_eq!(a.0, 413, "{}", a.2);
        serde_json::from_str::<serde_json::Value>(&a.2).expect("json")["limitBytes"].as_u64().expect("a limit") as usize
    };
    let limit_bytes = limit(post("/config/replace", 1, &config_with_routes(2, 60_000)));
    assert!(limit_bytes > 3 * small.len(), "{limit_bytes} for routes of {}", small.len());
    let each = small.len() / 1700;
    assert_eq!(limit(post("/config/replace", 1, &config_with_routes(2, limit_bytes / each + 50))), limit_bytes);
    let count = limit_bytes / each - 400;
    assert_eq!(post("/config/replace", 1, &config_with_routes(2, count)).0, 200);
    let more = |revision: u64, from: usize, count: usize| {
        let all: serde_json::Value = serde_json::from_str(&config_with_routes(1, from + count)).expect("json");
        let new = &all["channels"].as_array().expect("a list")[from..];
        serde_json::json!({"revision": revision, "upsert": {"channels": new}}).to_string()
    };
    let mut revision = 2;
    for n in 0..10 {
        assert_eq!(post("/config/adjust", revision, &more(revision + 1, count + n * 30, 30)).0, 200);
        revision += 1;
    }
    assert_eq!(limit(post("/config/adjust", revision, &more(revision + 1, count + 300, 1000))), limit_bytes);
    assert_eq!(
        post("/config/adjust", revision, &more(revision + 1, count + 300, 30)).0,
        200,
        "changes below the limit are still accepted"
    );
    println!("after changes at the limit: {:?} kB", memory(pid));
    // Full replacements at the limit, more than the log retains.
    revision += 1;
    for _ in 0..12 {
        assert_eq!(post("/config/replace", revision, &config_with_routes(revision + 1, count)).0, 200);
        revision += 1;
    }
    let (peak, now) = memory(pid);
    println!("limit {limit_bytes} bytes, {count} routes: peak {peak} kB, then {now} kB, of 256 MB");
    assert!(peak < 128 << 10, "{peak} kB");
}

#[test]
fn evacuations_survive_leader_changes_and_restarts_and_repeats_are_acknowledged() {
    let mut cluster = TestCluster::new("evacuate", 2..5);
    for m in 2..5 {
        cluster.start("control", m, true, 2..5);
    }
    cluster.leader();
    let state = |cluster: &TestCluster, zone: &str| -> String {
        let (status, body) = cluster.send("GET", "/evacuate/read", None, "");
        assert_eq!(status, 200);
        let read: serde_json::Value = serde_json::from_str(&body).expect("JSON");
        let all = read["evacuations"].as_array().expect("a list");
        let found = all.iter().find(|e| e["zone"] == zone).and_then(|e| e["state"].as_str());
        found.unwrap_or("none").to_owned()
    };
    let (status, body) = cluster.send("POST", "/evacuate/nowhere/start", None, "");
    assert!(status == 404 && body.contains("nowhere"), "{status} {body}");
    // Each row: zone, order, the state afterwards, and whether the order repeats one already accepted.
    let table = [
        ("z1", "start", "evacuated", false),
        ("z1", "start", "evacuated", true),
        ("z2", "start", "evacuated", false),
        ("z1", "finish", "returning", false),
        ("z1", "finish", "returning", true),
        ("z1", "start", "evacuated", false),
        ("z2", "finish", "returning", false),
        ("z0", "finish", "none", true),
    ];
    for (n, (zone, order, read, repeated)) in table.into_iter().enumerate() {
        if n % 3 == 1 {
            // Sent to the next leader; the former one is restarted afterwards.
            let leader = cluster.leader();
            cluster.kill(&format!("control-{leader}"));
            let (status, _) = cluster.send("POST", &format!("/evacuate/{zone}/{order}"), None, "");
            cluster.start("control", leader, false, 2..5);
            assert_eq!(status, 200, "row {n}");
        } else {
            let (status, body) = cluster.send("POST", &format!("/evacuate/{zone}/{order}"), None, "");
            assert_eq!((status, body.contains("again")), (200, repeated), "row {n}: {body}");
        }
        assert_eq!(state(&cluster, zone), read, "row {n}");
    }
    for m in 2..5 {
        cluster.kill(&format!("control-{m}"));
    }
    for m in 2..5 {
        cluster.start("control", m, false, 2..5);
    }
    assert_eq!((state(&cluster, "z1"), state(&cluster, "z2")), ("evacuated".to_owned(), "returning".to_owned()));
}

#[test]
fn leader_is_found_after_a_full_restart_with_only_non_voters_as_seeds() {
    let mut cluster = TestCluster::new("seeds", 2..7);
    for m in 2..7 {
        cluster.start("control", m, true, 2..5);
    }
    assert_eq!(cluster.send("POST", "/config/replace", Some(0), CONFIG).0, 200);
    let leader = cluster.leader();
    // Three of the five nodes are voters; the others replicate the log as well.
    let voters = |cluster: &TestCluster| -> Option<Vec<String>> {
        let (_, _, body) = call(&cluster.control(leader), "GET", "/status", None, b"")?;
        let status: serde_json::Value = serde_json::from_str(&body).ok()?;
        let voters = status["voters"].as_array()?.iter().filter_map(|v| v.as_str().map(str::to_owned)).collect();
        Some(voters)
    };
    let all = wait_until("three voters", || voters(&cluster).filter(|v| v.len() == 3));
    let is_voter = |m: &u8| all.iter().any(|v| v.starts_with(&format!("127.0.1.{m}:")));
    let non_voters: Vec<u8> = (2..7).filter(|m| !is_voter(m)).collect();
    let has_log_and_leader = |cluster: &TestCluster, m: u8| {
        let (_, _, body) = call(&cluster.control(m), "GET", "/status", None, b"")?;
        let status: serde_json::Value = serde_json::from_str(&body).ok()?;
        (status["revision"] == 3 && status["leader"].as_str().is_some_and(|l| !l.is_empty())).then_some(())
    };
    for m in &non_voters {
        wait_until("log replicated to a non-voter", || has_log_and_leader(&cluster, *m));
    }
    for m in 2..7 {
        cluster.kill(&format!("control-{m}"));
    }
    for m in 2..7 {
        cluster.start("control", m, false, non_voters[0]..non_voters[0] + 1);
    }
    for m in non_voters {
        wait_until("leader known to a non-voter", || has_log_and_leader(&cluster, m));
    }
}
