//! Leases on cold processors, granted by a control node on loopback with a fake platform.

#[path = "common/loopback.rs"]
mod loopback;

use config::Settings;
use http1::Reply;
use loopback::WAIT;
use rpc::messages::*;
use rpc::{Body, RpcClient};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

const CONFIG: &str = r#"{"revision":1,"channels":[{"name":"r","host":"h","prefix":"/a/","mode":"safe","cutoffMs":900,"plant":"metered"}],
  "plants":[{"name":"metered","coldS":3,"coldPerS":4},{"name":"free"}],"limits":{}}"#;

/// The platform's listing: id, service, zone and whether the processor is cold.
const LISTED: [(&str, &str, &str, bool); 5] = [
    ("cold-x", "metered", "x", true),
    ("cold-y", "metered", "y", true),
    ("warm-x", "metered", "x", false),
    ("cold-free", "free", "x", true),
    ("cold-leaving", "metered", "x", true),
];

struct Fixture {
    settings: Settings,
    control: Arc<RpcClient>,
    /// Whether the platform answers.
    is_up: Arc<AtomicBool>,
}

impl Fixture {
    async fn new() -> Fixture {
        let is_up = Arc::new(AtomicBool::new(true));
        let up = is_up.clone();
        let address = loopback::platform(move |_| {
            if !up.load(Ordering::Relaxed) {
                return Reply::new(503);
            }
            let item = |(id, service, zone, cold): &(&str, &str, &str, bool)| {
                let state = if *id == "cold-leaving" { "draining" } else { "ready" };
                serde_json::json!({"id": id, "plant": service, "address": "127.0.0.1:9", "zone": zone, "revision": "v1",
                    "capacity": 2, "state": state, "coldLeftMs": if *cold { 60_000 } else { 0 }})
            };
            let units: Vec<serde_json::Value> = LISTED.iter().map(item).collect();
            Reply::json(200, serde_json::json!({"units": units, "nextToken": null}).to_string())
        })
        .await;
        let mut settings = loopback::settings("api", &address, 31_000);
        settings.constraints.retry_window_s = 10.0;
        settings.zones = BTreeMap::from([("x".into(), "r1".into()), ("y".into(), "r1".into())]);
        let control = RpcClient::new(&format!("127.0.0.1:{}", settings.port_range[0]), WAIT);
        Fixture { settings, control, is_up }
    }

    fn gateway(&self, name: &str, zone: &str, incarnation: u64) -> Node {
        Node {
            name: name.into(),
            role: "gateway".into(),
            zone: zone.into(),
            region: "r1".into(),
            incarnation,
            ..Node::default()
        }
    }

    /// Renews a gateway's session, as its agent does.
    async fn renew_session(&self, node: &Node) {
        let watch = WatchRequest { node: Some(node.clone()), wait_ms: 1, ..WatchRequest::default() };
        let _ = self.control.call(Body::WatchRequest(watch), WAIT).await;
    }

    async fn lease(&self, node: &Node) -> Vec<String> {
        self.renew_session(node).await;
        match self.control.call(Body::ColdLease(ColdLease { node: node.clone() }), WAIT).await {
            Ok(Body::ColdLeaseAck(mut ack)) => {
                ack.processors.sort();
                ack.processors
            }
            other => panic!("{other:?}"),
        }
    }

    /// Requests a lease until the granted processors satisfy a condition; returns how long that took.
    async fn wait_for_grant(&self, node: &Node, step: &str, is_expected: impl Fn(&[String]) -> bool) -> Duration {
        let begun = Instant::now();
        loop {
            let granted = self.lease(node).await;
            if is_expected(&granted) {
                break;
            }
            assert!(begun.elapsed() < 2 * WAIT, "{step}: {} is granted {granted:?}", node.name);
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        begun.elapsed()
    }
}

#[tokio::test(flavor = "current_thread")]
async fn a_cold_processor_is_granted_to_one_node_at_a_time_and_to_a_near_one_first() {
    let fixture = Fixture::new().await;
    let (stop, running) = loopback::run(&fixture.settings);
    loopback::order(&fixture.settings, "/config/replace", CONFIG).await;
    let start = rpc::new_incarnation();
    let (in_x, in_y) = (fixture.gateway("g-x", "x", start), fixture.gateway("g-y", "y", start));
    fixture.renew_session(&in_y).await;
    fixture.wait_for_grant(&in_x, "the processor of its zone", |granted| granted == ["cold-x"]).await;
    fixture.wait_for_grant(&in_y, "the processor of its zone", |granted| granted == ["cold-y"]).await;
    for _ in 0..10 {
        assert_eq!(fixture.lease(&in_x).await, ["cold-x"], "its lease is renewed, and it gets no other");
        assert_eq!(fixture.lease(&in_y).await, ["cold-y"]);
    }
    // A new incarnation waits until the lease of the former one is over.
    let restarted = fixture.gateway("g-x", "x", start + 1);
    let lease = Duration::from_millis(fixture.settings.lease_ms());
    let has = |granted: &[String], id: &str| granted.iter().any(|one| one == id);
    let waited = fixture.wait_for_grant(&restarted, "restarted", |granted| has(granted, "cold-x")).await;
    assert!(waited >= lease, "after {waited:?} of {lease:?}");
    assert!(fixture.lease(&in_x).await.is_empty(), "the former incarnation is granted nothing");
    // After an evacuation has finished, all processors of the zone may be cold until a listing marks
    // the cold ones.
    loopback::order(&fixture.settings, "/evacuate/x/start", "").await;
    fixture.is_up.store(false, Ordering::Relaxed);
    loopback::order(&fixture.settings, "/evacuate/x/finish", "").await;
    fixture
        .wait_for_grant(&restarted, "evacuation finished", |granted| has(granted, "cold-x") && has(granted, "warm-x"))
        .await;
    fixture.is_up.store(true, Ordering::Relaxed);
    fixture.wait_for_grant(&restarted, "listed", |granted| has(granted, "cold-x") && !has(granted, "warm-x")).await;
    // A processor whose holder stopped renewing passes to another node.
    fixture.wait_for_grant(&restarted, "passed on", |granted| granted == ["cold-x", "cold-y"]).await;
    stop.send_replace(true);
    let _ = running.await;
    let _ = std::fs::remove_dir_all(&fixture.settings.data_dir);
}
