//! Leases on cold processors, granted by a control node on loopback beside a stand-in platform.

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

/// What the platform lists: id, service, zone and whether it is cold.
const LISTED: [(&str, &str, &str, bool); 5] = [
    ("cold-x", "metered", "x", true),
    ("cold-y", "metered", "y", true),
    ("warm-x", "metered", "x", false),
    ("cold-free", "free", "x", true),
    ("cold-leaving", "metered", "x", true),
];

struct World {
    settings: Settings,
    control: Arc<RpcClient>,
    /// The platform answers.
    is_up: Arc<AtomicBool>,
}

impl World {
    async fn new() -> World {
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
        World { settings, control, is_up }
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

    /// A gateway keeps its session, as its agent does.
    async fn tell(&self, node: &Node) {
        let watch = WatchRequest { node: Some(node.clone()), wait_ms: 1, ..WatchRequest::default() };
        let _ = self.control.call(Body::WatchRequest(watch), WAIT).await;
    }

    async fn lease(&self, node: &Node) -> Vec<String> {
        self.tell(node).await;
        match self.control.call(Body::ColdLease(ColdLease { node: node.clone() }), WAIT).await {
            Ok(Body::ColdLeaseAck(mut ack)) => {
                ack.processors.sort();
                ack.processors
            }
            other => panic!("{other:?}"),
        }
    }

    /// Asks until what the node is granted is as it is wanted; how long that took.
    async fn until(&self, node: &Node, what: &str, is_wanted: impl Fn(&[String]) -> bool) -> Duration {
        let begun = Instant::now();
        loop {
            let granted = self.lease(node).await;
            if is_wanted(&granted) {
                break;
            }
            assert!(begun.elapsed() < 2 * WAIT, "{what}: {} is granted {granted:?}", node.name);
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        begun.elapsed()
    }
}

#[tokio::test(flavor = "current_thread")]
async fn a_cold_processor_is_granted_to_one_node_at_a_time_and_one_near_it_first() {
    let world = World::new().await;
    let (stop, running) = loopback::run(&world.settings);
    loopback::order(&world.settings, "/config/replace", CONFIG).await;
    let start = rpc::new_incarnation();
    let (in_x, in_y) = (world.gateway("g-x", "x", start), world.gateway("g-y", "y", start));
    world.tell(&in_y).await;
    world.until(&in_x, "the near one", |granted| granted == ["cold-x"]).await;
    world.until(&in_y, "the near one", |granted| granted == ["cold-y"]).await;
    for _ in 0..10 {
        assert_eq!(world.lease(&in_x).await, ["cold-x"], "its own, renewed, and no other");
        assert_eq!(world.lease(&in_y).await, ["cold-y"]);
    }
    // A new incarnation waits for what the former one may still spend.
    let again = world.gateway("g-x", "x", start + 1);
    let lease = Duration::from_millis(world.settings.lease_ms());
    let has = |granted: &[String], id: &str| granted.iter().any(|one| one == id);
    let waited = world.until(&again, "begun again", |granted| has(granted, "cold-x")).await;
    assert!(waited >= lease, "after {waited:?} of {lease:?}");
    assert!(world.lease(&in_x).await.is_empty(), "the former incarnation is told nothing");
    // A zone that was taken back: all of its processors may be cold until a listing tells.
    loopback::order(&world.settings, "/evacuate/x/start", "").await;
    world.is_up.store(false, Ordering::Relaxed);
    loopback::order(&world.settings, "/evacuate/x/finish", "").await;
    world.until(&again, "taken back", |granted| has(granted, "cold-x") && has(granted, "warm-x")).await;
    world.is_up.store(true, Ordering::Relaxed);
    world.until(&again, "listed", |granted| has(granted, "cold-x") && !has(granted, "warm-x")).await;
    // What nobody asks for any more passes on.
    world.until(&again, "left by the other", |granted| granted == ["cold-x", "cold-y"]).await;
    stop.send_replace(true);
    let _ = running.await;
    let _ = std::fs::remove_dir_all(&world.settings.data_dir);
}
