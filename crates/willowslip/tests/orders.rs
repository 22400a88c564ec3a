//! Orders over HTTP against three control nodes and three store machines on loopback:
//! sent at the same moment, sent again, to the next leader, and too large.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::process::Command;
use std::time::{Duration, Instant};

mod common;
use common::Programs;

struct Fleet {
    programs: Programs,
    base: u16,
}

/// One request on a connection of its own; None without a whole answer.
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

fn until<T>(what: &str, mut f: impl FnMut() -> Option<T>) -> T {
    let end = Instant::now() + Duration::from_secs(60);
    loop {
        if let Some(t) = f() {
            return t;
        }
        assert!(Instant::now() < end, "not in time: {what}");
        std::thread::sleep(Duration::from_millis(50));
    }
}

impl Fleet {
    fn new(name: &str, machines: std::ops::Range<u8>) -> Fleet {
        // Tests of one process begin their search apart.
        let apart = match name {
            "large" => 20,
            "evacuate" => 10,
            "seeds" => 30,
            _ => 0,
        };
        let from = 42_000 + (std::process::id() % 400) as u16 * 40 + apart;
        let free = |b: &u16| {
            (machines.clone()).all(|m| (*b..*b + 7).all(|p| TcpListener::bind((format!("127.0.1.{m}"), p)).is_ok()))
        };
        let base = (from..65_000).step_by(40).find(free).expect("free ports");
        Fleet { programs: Programs::new(&format!("orders-{name}")), base }
    }

    fn control(&self, machine: u8) -> String {
        format!("127.0.1.{machine}:{}", self.base + 4)
    }

    fn start(&mut self, role: &str, machine: u8, first: bool, control_nodes: std::ops::Range<u8>) {
        let (b, ip) = (self.base, format!("127.0.1.{machine}"));
        let name = format!("{role}-{machine}");
        let data = self.programs.data(&name);
        let control = if role == "control" { self.control(machine) } else { String::new() };
        let seeds: Vec<String> = control_nodes.map(|m| format!("\"{}\"", self.control(m))).collect();
        let settings = format!(
            "node = \"{name}\"\nip = \"{ip}\"\nzone = \"z{}\"\nportRange = [{b}, {}]\nseeds = [{}]\ninitialStart = {first}\n\
             dataDir = \"{}\"\n[listen]\ncontrol = \"{control}\"\n[limits]\nmemoryMb = 256\ndiskMb = 200\n\
             [tolerance]\nmachines = 1\n[constraints]\nquietMs = 3000\nackMs = 60000\ngraceS = 6\nsettleS = 3\n\
             drainMs = 3000\nconvergeMs = 3000\nrollbackMs = 5000\nstatusS = 60\nnotifyS = 5\npeakWindowS = 5\nexposure = 0.1\n\
             [zones]\nz0 = \"r\"\nz1 = \"r\"\nz2 = \"r\"\n",
            machine % 3,
            b + 3,
            seeds.join(","),
            data.display()
        );
        self.programs.start(role, &name, settings);
    }

    fn kill(&mut self, name: &str) {
        self.programs.end(name, "-KILL");
    }

    fn leads(&self, machine: u8) -> bool {
        call(&self.control(machine), "GET", "/status", None, b"").is_some_and(|a| a.2.contains("\"isLeader\":true"))
    }

    fn leader(&self) -> u8 {
        until("a leader", || {
            (2..7).filter(|m| self.programs.running.contains_key(&format!("control-{m}"))).find(|m| self.leads(*m))
        })
    }

    /// As the operator sends: to one node after the other until there is a clear answer.
    fn send(&self, method: &str, path: &str, base: Option<u64>, body: &str) -> (u16, String) {
        until(path, || {
            let all = (2..5).filter_map(|m| call(&self.control(m), method, path, base, body.as_bytes()));
            all.map(|a| (a.0, a.2)).find(|a| a.0 < 500 && a.0 != 307)
        })
    }

    /// Sends all at the same moment, again and again until each has a clear answer.
    fn at_once(&self, orders: &[(String, String)]) -> Vec<u16> {
        std::thread::scope(|s| {
            let all: Vec<_> = orders.iter().map(|(p, b)| s.spawn(move || self.send("POST", p, None, b).0)).collect();
            all.into_iter().map(|h| h.join().expect("no panic")).collect()
        })
    }
}

const CONFIG: &str = r#"{"revision": 3, "channels": [], "plants": [{"name": "p"}, {"name": "q"}], "limits": {}}"#;

#[test]
fn orders_sent_at_once_sent_again_and_to_the_next_leader() {
    let mut f = Fleet::new("once", 2..8);
    for m in 2..5 {
        f.start("control", m, true, 2..5);
    }
    for m in 5..8 {
        f.start("store", m, true, 2..5);
    }
    assert_eq!(f.send("POST", "/config/replace", Some(0), CONFIG).0, 200);
    let status = |f: &Fleet| -> serde_json::Value {
        let at = f.control(f.leader());
        call(&at, "GET", "/status", None, b"").and_then(|a| serde_json::from_str(&a.2).ok()).unwrap_or_default()
    };
    until("partitions", || {
        let s = status(&f);
        let whole = |p: &serde_json::Value| p["inSync"].as_array().is_some_and(|i| i.len() == 2);
        s["partitions"].as_array().filter(|p| !p.is_empty() && p.iter().all(whole)).map(|_| ())
    });

    // Two roll-outs of one service at the same moment: one of them.
    let start =
        |t: &str| ("/rollouts/start".to_owned(), format!(r#"{{"plant": "p", "target": "{t}", "withinS": 3600}}"#));
    let both = [start("v2"), start("v3"), start("v4"), start("v5")];
    let got = f.at_once(&both);
    assert_eq!(got.iter().filter(|s| **s == 200).count(), 1, "{got:?}");
    assert!(got.iter().all(|s| [200, 409].contains(s)), "{got:?}");
    let taken = got.iter().position(|s| *s == 200).expect("one");
    let read = f.send("GET", "/rollouts/p/read", None, "").1;
    assert!(read.contains(&format!("\"v{}\"", taken + 2)), "{read}");
    let (path, body) = both[taken].clone();
    assert_eq!(f.send("POST", &path, None, &body).0, 200, "a repeat is acknowledged");

    // Three retires at the same moment: two machines must stay.
    let retire = |m: u8| (format!("/retire/store-{m}/start"), r#"{"withinS": 60}"#.to_owned());
    let all = [retire(5), retire(6), retire(7)];
    let got = f.at_once(&all);
    assert_eq!(got.iter().filter(|s| **s == 200).count(), 1, "{got:?}");
    let gone = got.iter().position(|s| *s == 200).expect("one");
    let (retire_path, retire_body) = all[gone].clone();
    assert_eq!(f.send("POST", &retire_path, None, &retire_body).0, 200, "a repeat is acknowledged");
    let read = retire_path.replace("start", "read");
    until("settled", || f.send("GET", &read, None, "").1.contains("settled").then_some(()));
    // Settled, it may be taken away at any moment: it is given nothing any more.
    let given = || status(&f)["partitions"].to_string().contains(&format!("\"store-{}\"", gone + 5));
    for _ in 0..20 {
        assert!(!given(), "{}", status(&f)["partitions"]);
        std::thread::sleep(Duration::from_millis(100));
    }
    f.kill(&format!("store-{}", gone + 5));

    // The next leader knows all of it, and so do all after an end of every one.
    let again = |f: &Fleet| {
        assert_eq!(f.send("POST", "/config/replace", Some(0), CONFIG).0, 200);
        assert_eq!(f.send("POST", &path, None, &body).0, 200);
        assert_eq!(f.send("POST", &start("v9").0, None, &start("v9").1).0, 409);
        assert_eq!(f.send("POST", &retire_path, None, &retire_body).0, 200, "though the node is gone");
        assert_eq!(f.send("POST", "/retire/store-99/start", None, &retire_body).0, 404);
        assert_eq!(f.send("POST", "/config/replace", Some(0), &CONFIG.replace('q', "r")).0, 412, "another body");
        assert_eq!(f.send("POST", "/config/adjust", Some(0), CONFIG).0, 412, "another kind of order");
    };
    again(&f);
    let old = f.leader();
    f.kill(&format!("control-{old}"));
    again(&f);
    f.start("control", old, false, 2..5);
    for m in 2..5 {
        f.kill(&format!("control-{m}"));
    }
    for m in 2..5 {
        f.start("control", m, false, 2..5);
    }
    again(&f);

    // A leader that was frozen answers nothing by what it knew; redirects name
    // another machine, and keep path and query.
    let old = f.leader();
    let signal = |s: &str| {
        let id = f.programs.id(&format!("control-{old}")).to_string();
        assert!(Command::new("kill").args([s, &id]).status().is_ok_and(|s| s.success()));
    };
    let at = f.control(old);
    std::thread::scope(|s| {
        signal("-STOP");
        let asks: Vec<_> = (0..8)
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
        let taken = until("another leader's change", || {
            let others = (2..5).filter(|m| *m != old);
            others
                .filter_map(|m| call(&f.control(m), "POST", "/config/adjust", Some(3), next.as_bytes()))
                .find(|a| a.0 == 200)
        });
        assert_eq!(taken.0, 200);
        signal("-CONT");
        for a in asks {
            let (status, head, _) = a.join().expect("no panic").expect("an answer");
            assert!(status == 503 || status == 307, "{head}");
            if status == 307 {
                assert!(!head.contains(&at) && head.contains("?n=1\r\n"), "{head}");
            }
        }
    });
}

/// Peak and present memory of a process, in kB.
fn memory(id: u32) -> (u64, u64) {
    let text = std::fs::read_to_string(format!("/proc/{id}/status")).expect("a status");
    let line = |name: &str| text.lines().find_map(|l| l.strip_prefix(name)).expect("a line");
    let kb = |l: &str| l.trim().trim_end_matches(" kB").parse().expect("a number");
    (kb(line("VmHWM:")), kb(line("VmRSS:")))
}

/// So many routes of usual size.
fn routes(revision: u64, count: usize) -> String {
    let one = |n: usize| {
        format!(
            r#"{{"name":"r-x5wa{n:05}","host":"boye61.example","prefix":"/bose230/zi{n:05}/","mode":"deferred","cutoffMs":1500,"setpointMs":200,"rank":2,"plant":"p","tries":3,"sequenced":false,"retainS":90.0,"notify":true,"startSetpointMs":1200}}"#
        )
    };
    let all: Vec<String> = (0..count).map(one).collect();
    format!(r#"{{"revision":{revision},"channels":[{}],"plants":[{{"name":"p"}}],"limits":{{}}}}"#, all.join(","))
}

#[test]
fn a_configuration_has_a_stated_limit_and_a_member_bears_it() {
    let mut f = Fleet::new("large", 2..3);
    f.start("control", 2, true, 2..3);
    let at = f.control(2);
    until("a leader", || f.leads(2).then_some(()));
    // As the operator sends: again while there is no clear answer.
    let post = |path: &str, base: u64, body: &str| {
        let clear = |a: &(u16, String, String)| a.0 < 500;
        until(path, || call(&at, "POST", path, Some(base), body.as_bytes()).filter(clear))
    };
    let few = routes(1, 1700);
    assert_eq!(post("/config/replace", 0, &few).0, 200);
    let id = f.programs.id("control-2");
    println!("with 1700 routes, {} bytes: {:?} kB", few.len(), memory(id));
    // Far beyond, a little beyond, and grown beyond by changes: each is told the limit.
    let limit = |a: (u16, String, String)| {
        assert_eq!(a.0, 413, "{}", a.2);
        serde_json::from_str::<serde_json::Value>(&a.2).expect("json")["limitBytes"].as_u64().expect("a limit") as usize
    };
    let most = limit(post("/config/replace", 1, &routes(2, 60_000)));
    assert!(most > 3 * few.len(), "{most} for routes of {}", few.len());
    let each = few.len() / 1700;
    assert_eq!(limit(post("/config/replace", 1, &routes(2, most / each + 50))), most);
    let count = most / each - 400;
    assert_eq!(post("/config/replace", 1, &routes(2, count)).0, 200);
    let more = |revision: u64, from: usize, count: usize| {
        let all: serde_json::Value = serde_json::from_str(&routes(1, from + count)).expect("json");
        let new = &all["channels"].as_array().expect("a list")[from..];
        serde_json::json!({"revision": revision, "upsert": {"channels": new}}).to_string()
    };
    let mut revision = 2;
    for n in 0..10 {
        assert_eq!(post("/config/adjust", revision, &more(revision + 1, count + n * 30, 30)).0, 200);
        revision += 1;
    }
    assert_eq!(limit(post("/config/adjust", revision, &more(revision + 1, count + 300, 1000))), most);
    assert_eq!(post("/config/adjust", revision, &more(revision + 1, count + 300, 30)).0, 200, "below it all goes on");
    println!("changed at the limit: {:?} kB", memory(id));
    // Whole ones at the limit, more of them than the log keeps.
    revision += 1;
    for _ in 0..12 {
        assert_eq!(post("/config/replace", revision, &routes(revision + 1, count)).0, 200);
        revision += 1;
    }
    let (peak, now) = memory(id);
    println!("limit {most} bytes, {count} routes: peak {peak} kB, then {now} kB, of 256 MB");
    assert!(peak < 128 << 10, "{peak} kB");
}

#[test]
fn evacuations_hold_through_leaders_and_the_end_of_all_and_a_repeat_is_acknowledged() {
    let mut f = Fleet::new("evacuate", 2..5);
    for m in 2..5 {
        f.start("control", m, true, 2..5);
    }
    f.leader();
    let state = |f: &Fleet, zone: &str| -> String {
        let (status, body) = f.send("GET", "/evacuate/read", None, "");
        assert_eq!(status, 200);
        let read: serde_json::Value = serde_json::from_str(&body).expect("JSON");
        let all = read["evacuations"].as_array().expect("a list");
        let found = all.iter().find(|e| e["zone"] == zone).and_then(|e| e["state"].as_str());
        found.unwrap_or("none").to_owned()
    };
    let (status, body) = f.send("POST", "/evacuate/nowhere/start", None, "");
    assert!(status == 404 && body.contains("nowhere"), "{status} {body}");
    // Each row: the order, what is read then, and whether it is one that had been taken.
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
            // By the next leader, and with the former one back.
            let leader = f.leader();
            f.kill(&format!("control-{leader}"));
            let (status, _) = f.send("POST", &format!("/evacuate/{zone}/{order}"), None, "");
            f.start("control", leader, false, 2..5);
            assert_eq!(status, 200, "row {n}");
        } else {
            let (status, body) = f.send("POST", &format!("/evacuate/{zone}/{order}"), None, "");
            assert_eq!((status, body.contains("again")), (200, repeated), "row {n}: {body}");
        }
        assert_eq!(state(&f, zone), read, "row {n}");
    }
    for m in 2..5 {
        f.kill(&format!("control-{m}"));
    }
    for m in 2..5 {
        f.start("control", m, false, 2..5);
    }
    assert_eq!((state(&f, "z1"), state(&f, "z2")), ("evacuated".to_owned(), "returning".to_owned()));
}

#[test]
fn after_the_end_of_all_the_leader_is_found_by_settings_that_name_only_nodes_without_a_vote() {
    let mut f = Fleet::new("seeds", 2..7);
    for m in 2..7 {
        f.start("control", m, true, 2..5);
    }
    assert_eq!(f.send("POST", "/config/replace", Some(0), CONFIG).0, 200);
    let leader = f.leader();
    // Three votes for five nodes; those without one hold the log as well.
    let voters = |f: &Fleet| -> Option<Vec<String>> {
        let (_, _, body) = call(&f.control(leader), "GET", "/status", None, b"")?;
        let status: serde_json::Value = serde_json::from_str(&body).ok()?;
        let voters = status["voters"].as_array()?.iter().filter_map(|v| v.as_str().map(str::to_owned)).collect();
        Some(voters)
    };
    let all = until("three voters", || voters(&f).filter(|v| v.len() == 3));
    let has_vote = |m: &u8| all.iter().any(|v| v.starts_with(&format!("127.0.1.{m}:")));
    let without: Vec<u8> = (2..7).filter(|m| !has_vote(m)).collect();
    let knows = |f: &Fleet, m: u8| {
        let (_, _, body) = call(&f.control(m), "GET", "/status", None, b"")?;
        let status: serde_json::Value = serde_json::from_str(&body).ok()?;
        (status["revision"] == 3 && status["leader"].as_str().is_some_and(|l| !l.is_empty())).then_some(())
    };
    for m in &without {
        until("the log", || knows(&f, *m));
    }
    for m in 2..7 {
        f.kill(&format!("control-{m}"));
    }
    for m in 2..7 {
        f.start("control", m, false, without[0]..without[0] + 1);
    }
    for m in without {
        until("a leader, told to one without a vote", || knows(&f, m));
    }
}
