//! Limits of tenants, counted over all nodes, on loopback.

use serde_json::json;
use soak::clients::{HOST, Message, Sent, send};
use soak::{Cluster, ClusterOptions, Processor};
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

const WINDOW: Duration = Duration::from_secs(2);
const FLOW_PER_S: f64 = 10.0;
const SURGE: f64 = 10.0;
const OVERSHOOT: f64 = 0.1;
const SLACK: f64 = 5.0;

fn configuration(processor: &Processor) -> serde_json::Value {
    json!({"revision": 1, "limits": {},
        "channels": [{"name": "r", "host": HOST, "prefix": "/m/", "mode": "deferred", "cutoffMs": 1000,
            "setpointMs": 1000, "tries": 3, "sequenced": false, "retainS": 60, "startSetpointMs": 1000,
            "plant": "first"}],
        "plants": [{"name": "first", "connLimit": 50, "endpoint": processor.address()}],
        "tenants": [{"name": "limited", "keys": ["key-limited"], "flowPerS": FLOW_PER_S, "surge": SURGE},
            {"name": "free", "keys": ["key-free"], "flowPerS": 0, "surge": 0}]})
}

/// How many messages were sent so far: no two have the same id.
static SENT: AtomicUsize = AtomicUsize::new(0);

fn message(tenant_key: &str) -> Message {
    let id = format!("{tenant_key}-{}", SENT.fetch_add(1, Ordering::Relaxed));
    Message { id, path: "/m/x".into(), tenant_key: tenant_key.into(), ..Message::default() }
}

/// Sends a message every so often for a while, at the fronts in turn.
fn send_steadily(fronts: &[String], tenant_key: &str, pause: Duration, length: Duration) -> Vec<Sent> {
    let end = Instant::now() + length;
    let mut all = Vec::new();
    for number in 0.. {
        if Instant::now() >= end {
            break;
        }
        all.push(send(&fronts[number % fronts.len()], message(tenant_key)));
        std::thread::sleep(pause);
    }
    all
}

/// The most messages that were sent and accepted within one window.
fn most_in_a_window(all: &[Sent]) -> usize {
    let accepted: Vec<&Sent> = all.iter().filter(|sent| sent.status == 202).collect();
    let within = |from: Instant| accepted.iter().filter(|s| s.sent >= from && s.answered <= from + WINDOW).count();
    accepted.iter().map(|sent| within(sent.sent)).max().unwrap_or(0)
}

#[test]
fn a_tenant_gets_its_limit_over_all_nodes_and_no_more() {
    let processor = Processor::start().expect("a port");
    let constraints = format!(
        "quotaWindowS = {}\nquotaOvershoot = {OVERSHOOT}\nquotaSlack = {SLACK}\nkeyWindowS = 0",
        WINDOW.as_secs()
    );
    let options = ClusterOptions { network: "127.0.6".into(), constraints, ..ClusterOptions::default() };
    let mut cluster = Cluster::new(Path::new(env!("CARGO_BIN_EXE_willowslip")), options).expect("ports");
    cluster.start(&configuration(&processor)).expect("it starts");
    let fronts = cluster.fronts();

    // Until the owners of all partitions have told the leader what they accepted before.
    let begun = Instant::now();
    while send(&fronts[0], message("key-limited")).status != 202 {
        assert!(begun.elapsed() < Duration::from_secs(20), "nothing is accepted");
    }
    let below = send_steadily(&fronts, "key-limited", Duration::from_millis(150), Duration::from_secs(4));
    let refused = below.iter().filter(|sent| sent.status == 429).count();
    assert_eq!(refused, 0, "of {} messages at two thirds of the limit", below.len());

    let pressing = send_steadily(&fronts, "key-limited", Duration::from_millis(1), Duration::from_secs(6));
    let allowed = ((FLOW_PER_S * WINDOW.as_secs_f64() + SURGE) * (1.0 + OVERSHOOT) + SLACK) as usize;
    let most = most_in_a_window(&pressing);
    assert!(most <= allowed, "{most} accepted in a window, allowed {allowed}, of {} sent", pressing.len());
    assert!(most >= allowed / 2, "{most} accepted in a window, allowed {allowed}");
    let refusals: Vec<&Sent> = pressing.iter().filter(|sent| sent.status == 429).collect();
    assert!(!refusals.is_empty() && refusals.iter().all(|sent| sent.retry_after), "refused with Retry-After");

    let free = send_steadily(&fronts, "key-free", Duration::from_millis(2), Duration::from_secs(2));
    assert!(free.iter().all(|sent| sent.status == 202), "a tenant without a limit is not refused");
}
