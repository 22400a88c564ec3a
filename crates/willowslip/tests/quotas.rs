//! Tenant quotas, enforced over all nodes together.

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

/// Counts the messages sent, which makes their ids unique.
static SENT: AtomicUsize = AtomicUsize::new(0);

fn message(tenant_key: &str) -> Message {
    let id = format!("{tenant_key}-{}", SENT.fetch_add(1, Ordering::Relaxed));
    Message { id, path: "/m/x".into(), tenant_key: tenant_key.into(), ..Message::default() }
}

/// Sends messages at a fixed interval to the fronts in turn.
fn send_at_interval(fronts: &[String], tenant_key: &str, interval: Duration, duration: Duration) -> Vec<Sent> {
    let end = Instant::now() + duration;
    let mut all = Vec::new();
    for number in 0.. {
        if Instant::now() >= end {
            break;
        }
        all.push(send(&fronts[number % fronts.len()], message(tenant_key)));
        std::thread::sleep(interval);
    }
    all
}

/// The largest number of messages sent and accepted within one window.
fn max_accepted_in_a_window(all: &[Sent]) -> usize {
    let accepted: Vec<&Sent> = all.iter().filter(|sent| sent.status == 202).collect();
    let within = |from: Instant| accepted.iter().filter(|s| s.sent >= from && s.answered <= from + WINDOW).count();
    accepted.iter().map(|sent| within(sent.sent)).max().unwrap_or(0)
}

#[test]
fn tenant_quota_is_enforced_over_all_nodes() {
    let processor = Processor::start().expect("free port");
    let constraints = format!(
        "quotaWindowS = {}\nquotaOvershoot = {OVERSHOOT}\nquotaSlack = {SLACK}\nkeyWindowS = 0",
        WINDOW.as_secs()
    );
    let options = ClusterOptions { network: "127.0.6".into(), constraints, ..ClusterOptions::default() };
    let mut cluster = Cluster::new(Path::new(env!("CARGO_BIN_EXE_willowslip")), options).expect("free ports");
    cluster.start(&configuration(&processor)).expect("cluster starts");
    let fronts = cluster.fronts();

    // Messages are refused until the owners of all partitions have reported to the leader what they accepted before.
    let started = Instant::now();
    while send(&fronts[0], message("key-limited")).status != 202 {
        assert!(started.elapsed() < Duration::from_secs(20), "no message is accepted");
    }
    let below = send_at_interval(&fronts, "key-limited", Duration::from_millis(150), Duration::from_secs(4));
    let refused = below.iter().filter(|sent| sent.status == 429).count();
    assert_eq!(refused, 0, "of {} messages at two thirds of the limit", below.len());

    let excess = send_at_interval(&fronts, "key-limited", Duration::from_millis(1), Duration::from_secs(6));
    let allowed = ((FLOW_PER_S * WINDOW.as_secs_f64() + SURGE) * (1.0 + OVERSHOOT) + SLACK) as usize;
    let max_accepted = max_accepted_in_a_window(&excess);
    assert!(
        max_accepted <= allowed,
        "{max_accepted} accepted in a window, allowed {allowed}, of {} sent",
        excess.len()
    );
    assert!(max_accepted >= allowed / 2, "{max_accepted} accepted in a window, allowed {allowed}");
    let refusals: Vec<&Sent> = excess.iter().filter(|sent| sent.status == 429).collect();
    assert!(!refusals.is_empty() && refusals.iter().all(|sent| sent.retry_after), "refusals carry Retry-After");

    let free = send_at_interval(&fronts, "key-free", Duration::from_millis(2), Duration::from_secs(2));
    assert!(free.iter().all(|sent| sent.status == 202), "a tenant without a limit is not refused");
}
