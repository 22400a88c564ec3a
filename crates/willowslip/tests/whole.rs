//! A complete cluster on loopback: three control nodes, three store nodes, a front machine and a fake endpoint. Store
//! machines are stopped, killed, frozen and retired.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

mod common;
use common::*;

fn call(addr: &str, request: &str) -> Option<(u16, String)> {
    let mut s = TcpStream::connect(addr).ok()?;
    s.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
    s.write_all(request.as_bytes()).ok()?;
    let mut all = String::new();
    s.read_to_string(&mut all).ok()?;
    let status = all.split(' ').nth(1)?.parse().ok()?;
    Some((status, all))
}

/// Starts an endpoint that records the ids of the messages it ran, in order, and the callbacks it received.
fn start_endpoint(ran: Arc<Mutex<Vec<String>>>, callbacks: Arc<Mutex<Vec<String>>>) -> String {
    let l = TcpListener::bind("127.0.0.1:0").expect("free port");
    let addr = l.local_addr().expect("local address").to_string();
    std::thread::spawn(move || {
        for s in l.incoming().flatten() {
            let (ran, callbacks) = (ran.clone(), callbacks.clone());
            std::thread::spawn(move || {
                let mut r = BufReader::new(s);
                loop {
                    let (mut head, mut length, mut id) = (String::new(), 0, String::new());
                    let mut line = String::new();
                    while r.read_line(&mut line).unwrap_or(0) > 2 {
                        let (n, v) = line.trim().split_once(": ").unwrap_or((line.trim(), ""));
                        match n.to_ascii_lowercase().as_str() {
                            "content-length" => length = v.parse().unwrap_or(0),
                            "x-attempt-id" => id = v.to_owned(),
                            _ if head.is_empty() => head = line.clone(),
                            _ => {}
                        }
                        line.clear();
                    }
                    let mut body = vec![0; length];
                    if head.is_empty() || r.read_exact(&mut body).is_err() {
                        return;
                    }
                    if head.starts_with("POST /done") {
                        callbacks.lock().expect("no panic").push(String::from_utf8_lossy(&body).into_owned());
                    } else {
                        ran.lock().expect("no panic").push(id.clone());
                    }
                    let answer = format!(
                        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Seal: s-{id}\r\nContent-Length: 2\r\n\r\nok"
                    );
                    if r.get_mut().write_all(answer.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    addr
}

#[test]
fn messages_survive_stops_kills_freezes_and_a_retirement() {
    let (ran, callbacks) = (Arc::new(Mutex::new(vec![])), Arc::new(Mutex::new(vec![])));
    let server = start_endpoint(ran.clone(), callbacks.clone());
    let mut cluster = TestCluster::new();
    for m in 2..5 {
        cluster.start("control", m, true);
    }
    for m in 5..8 {
        cluster.start("store", m, true);
    }
    cluster.start("front", 8, true);
    cluster.start("agent", 8, true);
    let config = format!(
        r#"{{"revision": 1, "channels": [{{"name": "r", "host": "h", "prefix": "/m/", "mode": "deferred", "cutoffMs": 1000,
        "setpointMs": 1000, "plant": "e", "tries": 3, "sequenced": true, "retainS": 60, "notify": true, "startSetpointMs": 1000}}],
        "plants": [{{"name": "e", "connLimit": 10, "endpoint": "{server}"}}], "limits": {{}}}}"#
    );
    let file = cluster.processes.dir.join("config.json");
    std::fs::write(&file, config).expect("written");
    wait_until("configuration accepted", || cluster.ctl(&["config", "replace", &file.display().to_string()]).is_some());
    wait_until("front ready", || {
        call(&format!("127.0.0.8:{}", cluster.base + 6), "GET /ready HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n")
            .is_some_and(|r| r.0 == 200)
    });
    wait_until("full replication", || cluster.is_fully_replicated());

    let mut names: Vec<(String, String)> = vec![];
    let front = cluster.front_address();
    let mut send = |n: usize| {
        let id = format!("m{n:04}");
        let request = format!(
            "POST /m/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: {id}\r\nX-Order-Key: k{}\r\nX-Notify-Url: http://{server}/done\r\n\
             Content-Length: 4\r\nConnection: close\r\n\r\nbody",
            n % 7
        );
        let got = call(&front, &request);
        if let Some((202, text)) = &got {
            let name = text.lines().find_map(|l| l.strip_prefix("X-Message-Name: ")).expect("named");
            names.push((id, name.to_owned()));
        }
        got.map_or(0, |g| g.0)
    };
    for n in 0..100 {
        assert_eq!(send(n), 202, "message {n}");
    }
    // A graceful stop hands all partitions over by splice, without a refused message.
    cluster.stop("store-5", "-TERM");
    for n in 100..200 {
        assert_eq!(send(n), 202, "message {n}");
    }
    let log = cluster.log("store-5");
    assert!(log.contains("stopped at") && log.contains("left after"), "{log}");
    assert!(["store-6", "store-7"].iter().any(|l| cluster.log(l).contains("spliced at")));
    cluster.start("store", 5, false);
    wait_until("full replication after the stop", || cluster.is_fully_replicated());
    // After a kill, in-sync replicas seize the partitions.
    cluster.stop("store-6", "-KILL");
    let accepted = (200..300).filter(|n| send(*n) == 202).count();
    assert!(accepted > 50, "{accepted} of 100 accepted around the kill");
    wait_until("seized", || ["store-5", "store-7"].iter().any(|l| cluster.log(l).contains("seized")));
    cluster.start("store", 6, false);
    wait_until("full replication after the kill", || cluster.is_fully_replicated());

    // A store is frozen until its partitions are seized; when it resumes, its former ownership has no effect.
    cluster.signal("store-7", "-STOP");
    let accepted = (300..400).filter(|n| send(*n) == 202).count();
    assert!(accepted > 50, "{accepted} of 100 accepted around the freeze");
    wait_until("seized", || cluster.any_control_log_contains("seized from store-7"));
    cluster.signal("store-7", "-CONT");
    wait_until("full replication after the freeze", || cluster.is_fully_replicated());
    // The leader is killed, and then a store is retired.
    let leader = (2..5).find(|m| cluster.is_leader(*m)).expect("a leader");
    cluster.stop(&format!("control-{leader}"), "-KILL");
    wait_until("another leader", || (2..5).any(|m| m != leader && cluster.is_leader(m)));
    assert_eq!(send(400), 202);
    cluster.start("control", leader, false);
    assert!(cluster.ctl(&["retire", "start", "nowhere"]).is_none());
    wait_until("retirement accepted", || cluster.ctl(&["retire", "start", "store-5"]).is_some());
    wait_until("store retired", || {
        cluster.ctl(&["retire", "read", "store-5"]).is_some_and(|r| r["state"] == "settled")
    });
    cluster.stop("store-5", "-KILL");
    assert!(cluster.ctl(&["retire", "start", "store-6"]).is_none(), "too few stores would remain");
    for n in 401..500 {
        assert_eq!(send(n), 202, "message {n}");
    }

    // A control machine is replaced by an empty one at another address.
    cluster.stop("control-4", "-KILL");
    cluster.start("control", 8, false);
    let (new, old) = (format!("127.0.0.8:{}", cluster.base), format!("127.0.0.4:{}", cluster.base));
    wait_until("the new control node votes", || {
        let Some(status) = cluster.ctl(&["status"]) else { return false };
        let votes = |a: &String| status["voters"].as_array().is_some_and(|v| v.iter().any(|x| x == a.as_str()));
        votes(&new) && !votes(&old)
    });
    // All running control and store nodes are killed, and restarted with their data.
    let with_data = ["control-2", "control-3", "control-8", "store-6", "store-7"];
    for k in with_data {
        cluster.stop(k, "-KILL");
    }
    for k in with_data {
        let (role, machine) = k.split_once('-').expect("role and machine");
        cluster.start(role, machine.parse().expect("a number"), false);
    }
    wait_until("configuration readable", || cluster.ctl(&["config", "read"]).is_some_and(|c| c["revision"] == 1));
    let mut next = 500;
    wait_until("messages accepted", || {
        next += 1;
        send(next) == 202
    });

    wait_until("all messages settled", || {
        names.iter().all(|(_, name)| {
            let r = format!("GET /message/{name} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
            call(&front, &r).is_some_and(|(_, t)| t.contains("\"settled\""))
        })
    });
    let ran = ran.lock().expect("no panic").clone();
    for k in 0..7 {
        let of_key = |id: &str| id[1..].parse::<usize>().is_ok_and(|n| n % 7 == k);
        let mut first_runs: Vec<&String> = vec![];
        for id in ran.iter().filter(|id| of_key(id)) {
            if !first_runs.contains(&id) {
                first_runs.push(id);
            }
        }
        assert!(first_runs.is_sorted(), "out of order for key {k}: {first_runs:?}");
    }
    for (id, _) in &names {
        assert!(ran.contains(id), "{id} was accepted but never ran");
    }
    wait_until("all callbacks", || {
        let callbacks = callbacks.lock().expect("no panic");
        names.iter().all(|(id, _)| callbacks.iter().any(|t| t.contains(id) && t.contains("settled")))
    });
    for l in ["store-5", "store-6", "store-7"] {
        assert!(!cluster.log(l).contains("ALARM"), "{l}");
    }
}
