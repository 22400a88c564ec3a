//! A configuration change reuses the name of a route for a different route.

use serde_json::{Value, json};
use soak::clients::HOST;
use soak::{Cluster, ClusterOptions, Processor, exchange};
use std::path::Path;
use std::time::{Duration, Instant};

const MESSAGES: usize = 6;
const DELAY: Duration = Duration::from_secs(4);
const TIMEOUT: Duration = Duration::from_secs(30);

fn configuration(revision: u64, prefix: &str, service: &str, processors: [&Processor; 2]) -> Value {
    let route = json!({"name": "r", "host": HOST, "prefix": prefix, "mode": "deferred", "cutoffMs": 1000,
        "setpointMs": 1000, "tries": 3, "sequenced": false, "retainS": 60, "startSetpointMs": 1000, "plant": service});
    let services = ["first", "second"].into_iter().zip(processors);
    let services = services.map(|(name, at)| json!({"name": name, "connLimit": 50, "endpoint": at.address()}));
    json!({"revision": revision, "channels": [route], "plants": services.collect::<Vec<_>>(), "limits": {}})
}

/// Sends a message that is due after `DELAY` until it is accepted; returns its name.
fn send_delayed(front: &str, number: usize) -> String {
    let deadline = Instant::now() + TIMEOUT;
    for retry in 0.. {
        let request = format!(
            "POST /former/x HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: m{number}-{retry}\r\nX-Delay-Ms: {}\r\nContent-Length: 4\r\nConnection: close\r\n\r\nbody",
            DELAY.as_millis()
        );
        if let Some(answer) = exchange(front, &request, Duration::from_secs(3)).filter(|answer| answer.status == 202) {
            return answer.header("X-Message-Name").expect("message name").trim().to_owned();
        }
        assert!(Instant::now() < deadline, "not accepted in time");
        std::thread::sleep(Duration::from_millis(50));
    }
    unreachable!("the loop returns or panics")
}

fn state_of(front: &str, name: &str) -> String {
    let request = format!("GET /message/{name} HTTP/1.1\r\nHost: {HOST}\r\nConnection: close\r\n\r\n");
    exchange(front, &request, Duration::from_secs(3)).map_or(String::new(), |answer| answer.body)
}

/// Regression test: messages of a removed route were delivered to the service of another route that had been given the
/// same name.
#[test]
fn messages_are_not_delivered_to_a_new_route_of_the_same_name() {
    let (first, second) = (Processor::start().expect("free port"), Processor::start().expect("free port"));
    let options = ClusterOptions { network: "127.0.17".into(), ..ClusterOptions::default() };
    let mut cluster = Cluster::new(Path::new(env!("CARGO_BIN_EXE_willowslip")), options).expect("free ports");
    cluster.start(&configuration(1, "/former/", "first", [&first, &second])).expect("cluster starts");
    let front = cluster.fronts()[0].clone();
    let names: Vec<String> = (0..MESSAGES).map(|number| send_delayed(&front, number)).collect();
    cluster.configure(&configuration(2, "/latter/", "second", [&first, &second])).expect("acknowledged");
    let deadline = Instant::now() + DELAY + TIMEOUT;
    while !names.iter().all(|name| state_of(&front, name).contains("dead_letter")) {
        assert!(Instant::now() < deadline, "messages are dead-lettered when their route is removed");
        std::thread::sleep(Duration::from_millis(100));
    }
    std::thread::sleep(DELAY);
    assert!(second.runs().is_empty(), "messages were never routed to the second service: {:?}", second.runs());
    assert!(first.runs().is_empty(), "the route to the first service was removed");
}
