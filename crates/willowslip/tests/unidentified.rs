//! An endpoint whose responses do not repeat `X-Attempt-Id`: its runs cannot end. The operator sees this in a log
//! line, a counter and the `ctl status` of every control node.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

mod common;
use common::*;

const LOG_TEXT: &str = "answers do not repeat X-Attempt-Id, none of";

/// An endpoint that omits the request's id from its responses unless `repeats_ids` is set.
#[derive(Default)]
struct Endpoint {
    repeats_ids: AtomicBool,
    runs: AtomicUsize,
}

impl Endpoint {
    fn start() -> (Arc<Endpoint>, String) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("free port");
        let address = listener.local_addr().expect("local address").to_string();
        let endpoint = Arc::new(Endpoint::default());
        let shared = endpoint.clone();
        std::thread::spawn(move || {
            for connection in listener.incoming().flatten() {
                let endpoint = shared.clone();
                std::thread::spawn(move || while endpoint.answer_one(&connection).is_some() {});
            }
        });
        (endpoint, address)
    }

    /// Reads and answers one request; `None` at the end of the connection.
    fn answer_one(&self, mut connection: &TcpStream) -> Option<()> {
        let mut reader = BufReader::new(connection);
        let (mut length, mut id) = (0, String::new());
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).ok()? == 0 {
                return None;
            }
            let Some((name, value)) = line.trim().split_once(": ") else {
                if line.trim().is_empty() {
                    break;
                }
                continue;
            };
            match name.to_ascii_lowercase().as_str() {
                "content-length" => length = value.parse().ok()?,
                "x-attempt-id" => id = value.to_owned(),
                _ => {}
            }
        }
        reader.read_exact(&mut vec![0; length]).ok()?;
        self.runs.fetch_add(1, Ordering::Relaxed);
        let id_header = match self.repeats_ids.load(Ordering::Relaxed) {
            true => format!("X-Attempt-Id: {id}\r\n"),
            false => String::new(),
        };
        let answer = format!("HTTP/1.1 200 OK\r\n{id_header}X-Seal: s-{id}\r\nContent-Length: 0\r\n\r\n");
        connection.write_all(answer.as_bytes()).ok()
    }

    fn runs(&self) -> usize {
        self.runs.load(Ordering::Relaxed)
    }
}

fn request(address: &str, head: &str) -> Option<String> {
    let mut connection = TcpStream::connect(address).ok()?;
    let text = format!("{head}\r\nHost: h\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
    connection.write_all(text.as_bytes()).ok()?;
    let mut answer = String::new();
    connection.read_to_string(&mut answer).ok()?;
    Some(answer)
}

/// The output of `ctl status` for one control node.
fn status(cluster: &TestCluster, machine: u8) -> String {
    let at = format!("127.0.0.{machine}:{}", cluster.base + 4);
    let output = Command::new(BIN).args(["ctl", "--within", "1", "--at", &at, "status"]).output().expect("ctl runs");
    String::from_utf8_lossy(&output.stdout).into_owned()
}

#[test]
fn endpoint_that_does_not_repeat_request_ids_is_reported() {
    let (endpoint, address) = Endpoint::start();
    let mut cluster = TestCluster::new();
    for machine in 2..5 {
        cluster.start("control", machine, true);
    }
    for machine in 5..8 {
        cluster.start("store", machine, true);
    }
    cluster.start("front", 8, true);
    cluster.start("agent", 8, true);
    let config = format!(
        r#"{{"revision": 1, "channels": [{{"name": "r", "host": "h", "prefix": "/m/", "mode": "deferred", "cutoffMs": 300,
        "setpointMs": 1000, "plant": "e", "tries": 100, "retainS": 600, "startSetpointMs": 1000}}],
        "plants": [{{"name": "e", "connLimit": 10, "endpoint": "{address}"}}], "limits": {{}}}}"#
    );
    let file = cluster.processes.dir.join("config.json");
    std::fs::write(&file, config).expect("written");
    wait_until("configuration accepted", || cluster.ctl(&["config", "replace", &file.display().to_string()]).is_some());

    let send = |id: &str| request(&cluster.front_address(), &format!("POST /m/x HTTP/1.1\r\nX-Attempt-Id: {id}"));
    wait_until("message accepted", || send("first").is_some_and(|answer| answer.starts_with("HTTP/1.1 202")));
    let listed = |machine: u8| status(&cluster, machine).lines().any(|l| l.contains(LOG_TEXT) && l.contains(&address));
    wait_until("each control node lists the endpoint", || (2..5).all(listed));

    // The log line is written once per endpoint, not once per response.
    let before = endpoint.runs();
    wait_until("more runs", || endpoint.runs() >= before + 3);
    let log = cluster.log("front-8");
    let lines: Vec<&str> = log.lines().filter(|line| line.contains(LOG_TEXT)).collect();
    assert!(lines.len() == 1 && lines[0].contains(&format!("processor={address} host=h")), "{log}");

    endpoint.repeats_ids.store(true, Ordering::Relaxed);
    wait_until("the next message is settled", || {
        let answer = send("second").unwrap_or_default();
        let name = answer.lines().find_map(|line| line.strip_prefix("X-Message-Name: ")).unwrap_or_default();
        request(&cluster.front_address(), &format!("GET /message/{name} HTTP/1.1"))
            .is_some_and(|a| a.contains("\"settled\""))
    });
    wait_until("no control node lists the endpoint", || !(2..5).any(listed));
    cluster.stop("front-8", "-TERM");
    assert!(cluster.log("front-8").contains("processors_without_id=1"));
}
