//! The whole system on loopback: three control nodes, three store nodes, a front machine and
//! a stand-in endpoint; store machines are stopped, killed, frozen and retired.

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

/// An endpoint that notes what it ran, in order, and the call-backs it got.
fn endpoint(ran: Arc<Mutex<Vec<String>>>, told: Arc<Mutex<Vec<String>>>) -> String {
    let l = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = l.local_addr().expect("an address").to_string();
    std::thread::spawn(move || {
        for s in l.incoming().flatten() {
            let (ran, told) = (ran.clone(), told.clone());
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
                        told.lock().expect("no panic").push(String::from_utf8_lossy(&body).into_owned());
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
fn messages_survive_stops_losses_freezes_and_a_retired_machine() {
    let (ran, told) = (Arc::new(Mutex::new(vec![])), Arc::new(Mutex::new(vec![])));
    let server = endpoint(ran.clone(), told.clone());
    let mut s = System::new();
    for m in 2..5 {
        s.start("control", m, true);
    }
    for m in 5..8 {
        s.start("store", m, true);
    }
    s.start("front", 8, true);
    s.start("agent", 8, true);
    let config = format!(
        r#"{{"revision": 1, "channels": [{{"name": "r", "host": "h", "prefix": "/m/", "mode": "deferred", "cutoffMs": 1000,
        "setpointMs": 1000, "plant": "e", "tries": 3, "sequenced": true, "retainS": 60, "notify": true, "startSetpointMs": 1000}}],
        "plants": [{{"name": "e", "connLimit": 10, "endpoint": "{server}"}}], "limits": {{}}}}"#
    );
    let file = s.programs.dir.join("config.json");
    std::fs::write(&file, config).expect("written");
    until("configuration", || s.ctl(&["config", "replace", &file.display().to_string()]).is_some());
    until("ready", || {
        call(&format!("127.0.0.8:{}", s.base + 6), "GET /ready HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n")
            .is_some_and(|r| r.0 == 200)
    });
    until("whole", || s.whole());

    let mut names: Vec<(String, String)> = vec![];
    let front = s.front();
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
    // Stopped in order: everything passes by splice, and nobody notices.
    s.end("store-5", "-TERM");
    for n in 100..200 {
        assert_eq!(send(n), 202, "message {n}");
    }
    let log = s.log("store-5");
    assert!(log.contains("stopped at") && log.contains("left after"), "{log}");
    assert!(["store-6", "store-7"].iter().any(|l| s.log(l).contains("spliced at")));
    s.start("store", 5, false);
    until("whole again", || s.whole());
    // Killed: seized by those in sync.
    s.end("store-6", "-KILL");
    let taken = (200..300).filter(|n| send(*n) == 202).count();
    assert!(taken > 50, "{taken} of 100 taken around the loss");
    until("seized", || ["store-5", "store-7"].iter().any(|l| s.log(l).contains("seized")));
    s.start("store", 6, false);
    until("whole after the loss", || s.whole());

    // Frozen until another one owns what it had; when it wakes, nothing of its own counts.
    s.signal("store-7", "-STOP");
    let taken = (300..400).filter(|n| send(*n) == 202).count();
    assert!(taken > 50, "{taken} of 100 taken around the freeze");
    until("seized", || s.any_control("seized from store-7"));
    s.signal("store-7", "-CONT");
    until("whole after the freeze", || s.whole());
    // The leader is lost, and then a machine is emptied.
    let leader = (2..5).find(|m| s.is_leader(*m)).expect("a leader");
    s.end(&format!("control-{leader}"), "-KILL");
    until("another leader", || (2..5).any(|m| m != leader && s.is_leader(m)));
    assert_eq!(send(400), 202);
    s.start("control", leader, false);
    assert!(s.ctl(&["retire", "start", "nowhere"]).is_none());
    until("retire", || s.ctl(&["retire", "start", "store-5"]).is_some());
    until("retired", || s.ctl(&["retire", "read", "store-5"]).is_some_and(|r| r["state"] == "settled"));
    s.end("store-5", "-KILL");
    assert!(s.ctl(&["retire", "start", "store-6"]).is_none(), "too few would be left");
    for n in 401..500 {
        assert_eq!(send(n), 202, "message {n}");
    }

    // A core machine is replaced by an empty one at another address.
    s.end("control-4", "-KILL");
    s.start("control", 8, false);
    let (new, old) = (format!("127.0.0.8:{}", s.base), format!("127.0.0.4:{}", s.base));
    until("the newcomer votes", || {
        let Some(status) = s.ctl(&["status"]) else { return false };
        let votes = |a: &String| status["voters"].as_array().is_some_and(|v| v.iter().any(|x| x == a.as_str()));
        votes(&new) && !votes(&old)
    });
    // Everything that keeps something ends at once, and comes back with its disks.
    let kept = ["control-2", "control-3", "control-8", "store-6", "store-7"];
    for k in kept {
        s.end(k, "-KILL");
    }
    for k in kept {
        let (role, machine) = k.split_once('-').expect("role and machine");
        s.start(role, machine.parse().expect("a number"), false);
    }
    until("back", || s.ctl(&["config", "read"]).is_some_and(|c| c["revision"] == 1));
    let mut again = 500;
    until("taken again", || {
        again += 1;
        send(again) == 202
    });

    until("all are settled", || {
        names.iter().all(|(_, name)| {
            let r = format!("GET /message/{name} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
            call(&front, &r).is_some_and(|(_, t)| t.contains("\"settled\""))
        })
    });
    let ran = ran.lock().expect("no panic").clone();
    for k in 0..7 {
        let of_key = |id: &str| id[1..].parse::<usize>().is_ok_and(|n| n % 7 == k);
        let mut firsts: Vec<&String> = vec![];
        for id in ran.iter().filter(|id| of_key(id)) {
            if !firsts.contains(&id) {
                firsts.push(id);
            }
        }
        assert!(firsts.is_sorted(), "out of order for key {k}: {firsts:?}");
    }
    for (id, _) in &names {
        assert!(ran.contains(id), "{id} was taken and never ran");
    }
    until("all call-backs", || {
        let told = told.lock().expect("no panic");
        names.iter().all(|(id, _)| told.iter().any(|t| t.contains(id) && t.contains("settled")))
    });
    for l in ["store-5", "store-6", "store-7"] {
        assert!(!s.log(l).contains("ALARM"), "{l}");
    }
}
