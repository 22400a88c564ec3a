//! The service process of a front machine is started again on its own, on loopback.

use serde_json::json;
use soak::clients::{HOST, Message, Sent, is_settled, send};
use soak::{Cluster, ClusterOptions, Processor};
use std::path::Path;
use std::time::{Duration, Instant};

const MESSAGES: usize = 5;
const PATIENCE: Duration = Duration::from_secs(20);
/// By then all nodes know what a node has said of itself.
const NEWS: Duration = Duration::from_secs(1);
/// Less than what an agent that is told to end stays for, so that the front may drain.
const AGENT_LINGERS: Duration = Duration::from_millis(2500);

/// Messages that are accepted, and settled in time.
fn all_settle(front: &str, label: &str) {
    let end = Instant::now() + PATIENCE;
    let accepted = |number: usize| -> Sent {
        for again in 0.. {
            let id = format!("{label}-{number}-{again}");
            let sent = send(front, Message { id, path: "/m/x".into(), ..Message::default() });
            if sent.status == 202 {
                return sent;
            }
            assert!(Instant::now() < end, "{label}: not accepted in time");
            std::thread::sleep(Duration::from_millis(50));
        }
        unreachable!("it returns or fails")
    };
    for sent in (0..MESSAGES).map(accepted).collect::<Vec<_>>() {
        while !is_settled(front, &sent) {
            assert!(Instant::now() < end, "{label}: {} is left lying", sent.message.id);
            std::thread::sleep(Duration::from_millis(50));
        }
    }
}

/// Guards against LOST: a front that was started again beside its agent was given no delivery, nor
/// was one whose agent was told to end.
#[test]
fn a_front_that_is_started_again_alone_is_given_deliveries() {
    let processor = Processor::start().expect("a port");
    let options = ClusterOptions { network: "127.0.11".into(), ..ClusterOptions::default() };
    let mut cluster = Cluster::new(Path::new(env!("CARGO_BIN_EXE_willowslip")), options).expect("ports");
    let route = json!({"name": "r", "host": HOST, "prefix": "/m/", "mode": "deferred", "cutoffMs": 1000,
        "setpointMs": 1000, "tries": 3, "sequenced": false, "retainS": 60, "startSetpointMs": 1000, "plant": "p"});
    let service = json!({"name": "p", "connLimit": 50, "endpoint": processor.address()});
    let configuration = json!({"revision": 1, "channels": [route], "plants": [service], "limits": {}});
    cluster.start(&configuration).expect("it starts");
    let front = cluster.fronts()[0].clone();
    all_settle(&front, "before");
    // The agent alone is told to end: the front goes on, so the node takes deliveries as before.
    cluster.signal("agent-8", "-TERM").expect("a signal");
    let told = Instant::now();
    std::thread::sleep(NEWS);
    all_settle(&front, "while the agent ends");
    assert!(told.elapsed() < AGENT_LINGERS, "the deliveries waited for another agent");
    cluster.terminate("agent-8").expect("it ends in time");
    cluster.spawn("agent-8").expect("it starts");
    cluster.wait_ready().expect("ready");
    for (process, label) in [("front-8", "stopped"), ("front-8", "stopped again"), ("agent-8", "agent")] {
        cluster.terminate(process).expect("it ends in time");
        cluster.spawn(process).expect("it starts");
        cluster.wait_ready().expect("ready");
        all_settle(&front, label);
    }
    cluster.kill("front-8");
    cluster.spawn("front-8").expect("it starts");
    cluster.wait_ready().expect("ready");
    all_settle(&front, "killed");
}
