//! A configuration gives a route's name to another route, on loopback.

use serde_json::{Value, json};
use soak::clients::HOST;
use soak::{Cluster, ClusterOptions, Processor, exchange};
use std::path::Path;
use std::time::{Duration, Instant};

const MESSAGES: usize = 6;
const DELAY: Duration = Duration::from_secs(4);
const PATIENCE: Duration = Duration::from_secs(30);

fn configuration(revision: u64, prefix: &str, service: &str, processors: [&Processor; 2]) -> Value {
    let route = json!({"name": "r", "host": HOST, "prefix": prefix, "mode": "deferred", "cutoffMs": 1000,
        "setpointMs": 1000, "tries": 3, "sequenced": false, "retainS": 60, "startSetpointMs": 1000, "plant": service});
    let services = ["first", "second"].into_iter().zip(processors);
    let services = services.map(|(name, at)| json!({"name": name, "connLimit": 50, "endpoint": at.address()}));
    json!({"revision": revision, "channels": [route], "plants": services.collect::<Vec<_>>(), "limits": {}})
}

/// A message that is accepted, and not due before `DELAY` is over; its name.
fn accepted(front: &str, number: usize) -> String {
    let end = Instant::now() + PATIENCE;
    for again in 0.. {
        let request = format!(
            "POST /former/x HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: m{number}-{again}\r\nX-Delay-Ms: {}\r\nContent-Length: 4\r\nConnection: close\r\n\r\nbody",
            DELAY.as_millis()
        );
        if let Some(answer) = exchange(front, &request, Duration::from_secs(3)).filter(|answer| answer.status == 202) {
            return answer.header("X-Message-Name").expect("a name").trim().to_owned();
        }
        assert!(Instant::now() < end, "not accepted in time");
        std::thread::sleep(Duration::from_millis(50));
    }
    unreachable!("it returns or fails")
}

fn state_of(front: &str, name: &str) -> String {
    let request = format!("GET /message/{name} HTTP/1.1\r\nHost: {HOST}\r\nConnection: close\r\n\r\n");
    exchange(front, &request, Duration::from_secs(3)).map_or(String::new(), |answer| answer.body)
}

/// Guards against ROUTE: messages of a route went to the service of another one that was given its
/// name.
#[test]
fn messages_of_a_route_do_not_follow_its_name_to_another_one() {
    let (first, second) = (Processor::start().expect("a port"), Processor::start().expect("a port"));
    let options = ClusterOptions { network: "127.0.17".into(), ..ClusterOptions::default() };
    let mut cluster = Cluster::new(Path::new(env!("CARGO_BIN_EXE_willowslip")), options).expect("ports");
    cluster.start(&configuration(1, "/former/", "first", [&first, &second])).expect("it starts");
    let front = cluster.fronts()[0].clone();
    let names: Vec<String> = (0..MESSAGES).map(|number| accepted(&front, number)).collect();
    cluster.configure(&configuration(2, "/latter/", "second", [&first, &second])).expect("acknowledged");
    let end = Instant::now() + DELAY + PATIENCE;
    while !names.iter().all(|name| state_of(&front, name).contains("dead_letter")) {
        assert!(Instant::now() < end, "they ended with their route");
        std::thread::sleep(Duration::from_millis(100));
    }
    std::thread::sleep(DELAY);
    assert!(second.runs().is_empty(), "no configuration sends them there: {:?}", second.runs());
    assert!(first.runs().is_empty(), "that configuration is not in force any more");
}
