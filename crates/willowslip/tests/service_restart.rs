//! The front process of a front machine is restarted independently of its agent.

use serde_json::json;
use soak::clients::{HOST, Message, Sent, is_settled, send};
use soak::{Cluster, ClusterOptions, Processor};
use std::path::Path;
use std::time::{Duration, Instant};

const MESSAGES: usize = 5;
const TIMEOUT: Duration = Duration::from_secs(20);
/// Time within which all nodes learn a node's report about itself.
const REPORT_PROPAGATION: Duration = Duration::from_secs(1);
/// Less than the time for which a terminated agent keeps running so that the front can drain.
const BEFORE_AGENT_EXIT: Duration = Duration::from_millis(2500);

/// Sends messages and checks that all are accepted and settled in time.
fn send_and_settle(front: &str, label: &str) {
    let deadline = Instant::now() + TIMEOUT;
    let accepted = |number: usize| -> Sent {
        for retry in 0.. {
            let id = format!("{label}-{number}-{retry}");
            let sent = send(front, Message { id, path: "/m/x".into(), ..Message::default() });
            if sent.status == 202 {
                return sent;
            }
            assert!(Instant::now() < deadline, "{label}: not accepted in time");
            std::thread::sleep(Duration::from_millis(50));
        }
        unreachable!("the loop returns or panics")
    };
    for sent in (0..MESSAGES).map(accepted).collect::<Vec<_>>() {
        while !is_settled(front, &sent) {
            assert!(Instant::now() < deadline, "{label}: {} did not settle", sent.message.id);
            std::thread::sleep(Duration::from_millis(50));
        }
    }
}

/// Regression test: a front received no deliveries after it was restarted beside a running agent, or while its agent
/// was being terminated.
#[test]
fn front_receives_deliveries_after_a_restart_without_its_agent() {
    let processor = Processor::start().expect("free port");
    let options = ClusterOptions { network: "127.0.11".into(), ..ClusterOptions::default() };
    let mut cluster = Cluster::new(Path::new(env!("CARGO_BIN_EXE_willowslip")), options).expect("free ports");
    let route = json!({"name": "r", "host": HOST, "prefix": "/m/", "mode": "deferred", "cutoffMs": 1000,
        "setpointMs": 1000, "tries": 3, "sequenced": false, "retainS": 60, "startSetpointMs": 1000, "plant": "p"});
    let service = json!({"name": "p", "connLimit": 50, "endpoint": processor.address()});
    let configuration = json!({"revision": 1, "channels": [route], "plants": [service], "limits": {}});
    cluster.start(&configuration).expect("cluster starts");
    let front = cluster.fronts()[0].clone();
    send_and_settle(&front, "before");
    // Only the agent is terminated: the front keeps running, so the node still accepts deliveries.
    cluster.signal("agent-8", "-TERM").expect("a signal");
    let signalled_at = Instant::now();
    std::thread::sleep(REPORT_PROPAGATION);
    send_and_settle(&front, "while the agent ends");
    assert!(
        signalled_at.elapsed() < BEFORE_AGENT_EXIT,
        "the deliveries settled only after the agent could have exited"
    );
    cluster.terminate("agent-8").expect("process exits in time");
    cluster.spawn("agent-8").expect("process starts");
    cluster.wait_ready().expect("ready");
    for (process, label) in [("front-8", "stopped"), ("front-8", "stopped again"), ("agent-8", "agent")] {
        cluster.terminate(process).expect("process exits in time");
        cluster.spawn(process).expect("process starts");
        cluster.wait_ready().expect("ready");
        send_and_settle(&front, label);
    }
    cluster.kill("front-8");
    cluster.spawn("front-8").expect("process starts");
    cluster.wait_ready().expect("ready");
    send_and_settle(&front, "killed");
}
