//! Which requests of tenants a front accepts, and how it answers them, tested against a mock owner on
//! loopback.

mod common;

use agent::ClusterView;
use common::view;
use config::{Configuration, ConfigurationIndex, Settings};
use front::tenancy::operation_id;
use front::{FrontService, PlacementKeys, delivery_headers, partition_of};
use http1::{Reply, Request};
use prost::Message;
use rpc::Body;
use rpc::messages::*;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const CONFIG: &str = r#"{"revision": 3, "channels": [
  {"name": "r1", "host": "h", "prefix": "/a/", "mode": "deferred", "cutoffMs": 100, "setpointMs": 300, "plant": "p", "tries": 3, "retainS": 9},
  {"name": "r2", "host": "h", "prefix": "/s/", "mode": "deferred", "cutoffMs": 100, "setpointMs": 300, "plant": "p", "sequenced": true, "tries": 3, "retainS": 9},
  {"name": "r3", "host": "h", "prefix": "/open/", "mode": "deferred", "cutoffMs": 100, "setpointMs": 300, "plant": "p", "unkeyed": true, "tries": 3, "retainS": 9},
  {"name": "r4", "host": "h", "prefix": "/e/", "mode": "deferred", "cutoffMs": 100, "setpointMs": 300, "plant": "e", "tries": 3, "retainS": 9}],
  "plants": [{"name": "p"}, {"name": "e", "flowPerS": 9, "endpoint": "10.0.0.1:80"}, {"name": "f", "flowPerS": 9, "endpoint": "10.0.0.2:80"}],
  "limits": {}, "tenants": [{"name": "clinic", "keys": ["key-of-clinic"]}, {"name": "shop", "keys": ["key-of-shop"]}]}"#;

/// A front, and the calls that its mock owner has received.
struct Fixture {
    front: Arc<FrontService>,
    /// Messages that the owner was asked to accept.
    accepts: Arc<Mutex<Vec<Item>>>,
    /// Positions that were looked up; 0 for a lookup by id.
    looked_up_positions: Arc<Mutex<Vec<u64>>>,
}

/// Starts a front whose owner holds one message of the tenant `clinic`, accepted at the host of the
/// routes.
async fn fixture(closed: bool, key_window_s: f64) -> Fixture {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    let accepts = Arc::new(Mutex::new(Vec::new()));
    let accepted = accepts.clone();
    let looked_up_positions = Arc::new(Mutex::new(Vec::new()));
    let looked_up = looked_up_positions.clone();
    tokio::spawn(rpc::serve(listener, Duration::from_secs(1), move |body, responder| match body {
        Body::Accept(accept) => {
            accepted.lock().expect("not poisoned").push(accept.item);
            let outcome = AcceptOutcome::Taken as i32;
            responder.send(Body::Accepted(Accepted { outcome, position: 7, ..Accepted::default() }));
        }
        Body::Lookup(lookup) => {
            looked_up.lock().expect("not poisoned").push(lookup.position);
            responder.send(Body::Found(Found {
                owner: true,
                known: true,
                state: "pending".into(),
                body: b"secret".to_vec().into(),
                host: "h".into(),
                tenant: "clinic".into(),
                ..Found::default()
            }))
        }
        _ => {}
    }));
    let mut settings = Settings { zone: "x".into(), ..Settings::default() };
    settings.constraints.quiet_ms = 4000.0;
    settings.constraints.notify_s = 5.0;
    settings.constraints.closed = closed;
    settings.constraints.revoke_ms = 4000.0;
    settings.constraints.key_window_s = key_window_s;
    let front = FrontService::new(settings);
    front.view.send_replace(view(&address, CONFIG));
    Fixture { front, accepts, looked_up_positions }
}

fn request(method: &str, path: &str, headers: &[(&str, &str)]) -> Request {
    let fixed = [("Host", "h"), ("X-Attempt-Id", "m1")];
    let headers = fixed.iter().chain(headers).map(|(n, v)| (n.to_string(), v.to_string())).collect();
    Request { method: method.into(), path: path.into(), headers, ..Request::default() }
}

impl Fixture {
    async fn post(&self, path: &str, headers: &[(&str, &str)]) -> Reply {
        self.front.clone().answer(request("POST", path, headers)).await
    }

    async fn get(&self, path: &str, headers: &[(&str, &str)]) -> Reply {
        self.front.clone().answer(request("GET", path, headers)).await
    }

    /// Returns and clears the messages that the owner was asked to accept.
    fn take_accepted(&self) -> Vec<Item> {
        std::mem::take(&mut *self.accepts.lock().expect("not poisoned"))
    }
}

const CLINIC: (&str, &str) = ("aUTHORIZATION", "Bearer key-of-clinic");
const SHOP: (&str, &str) = ("Authorization", "bearer key-of-shop");
const OPERATION: (&str, &str) = ("X-Operation-Key", "k-5512");

#[tokio::test(flavor = "current_thread")]
async fn a_message_carries_the_tenant_of_its_key_and_never_the_key() {
    let fixture = fixture(false, 60.0).await;
    let spoofed =
        [CLINIC, OPERATION, ("X-Tenant", "shop"), ("x-tenant", "shop"), ("Proxy-Authorization", "key-of-clinic")];
    let reply = fixture.post("/a/1", &spoofed).await;
    assert_eq!(reply.status, 202);
    let items = fixture.take_accepted();
    assert_eq!((items.len(), items[0].tenant.as_str()), (1, "clinic"));
    assert_eq!(items[0].operation, Some(operation_id("clinic", "k-5512")));
    let bytes = items[0].encode_to_vec();
    assert!(!String::from_utf8_lossy(&bytes).contains("key-of-clinic"), "the key does not leave the front");
    let run = Run { item: items[0].clone(), ..Run::default() };
    let headers = delivery_headers(&run, "100");
    let tenant_headers: Vec<_> = headers.iter().filter(|(name, _)| name.eq_ignore_ascii_case("x-tenant")).collect();
    assert_eq!(tenant_headers, [&("X-Tenant", "clinic")]);
    assert!(headers.iter().all(|(name, value)| *name != "Authorization" && !value.contains("key-of")));
}

#[tokio::test(flavor = "current_thread")]
async fn a_request_without_valid_keys_is_rejected() {
    let fixture = fixture(false, 60.0).await;
    let long = "k".repeat(129);
    for (headers, status) in [
        (vec![OPERATION], 401),
        (vec![OPERATION, ("Authorization", "Bearer nobody")], 401),
        (vec![OPERATION, ("Authorization", "key-of-clinic")], 401),
        (vec![OPERATION, CLINIC, SHOP], 400),
        (vec![CLINIC], 400),
        (vec![CLINIC, ("X-Operation-Key", "")], 400),
        (vec![CLINIC, ("X-Operation-Key", long.as_str())], 400),
        (vec![CLINIC, OPERATION, OPERATION], 400),
    ] {
        let reply = fixture.post("/a/1", &headers).await;
        assert_eq!(reply.status, status, "{headers:?}");
        assert_eq!(reply.headers.iter().any(|h| h.0 == "WWW-Authenticate"), status == 401);
    }
    assert!(fixture.take_accepted().is_empty());
    assert_eq!(fixture.post("/nowhere/1", &[OPERATION]).await.status, 404, "without a route no key is required");
    assert_eq!(fixture.post("/open/1", &[OPERATION]).await.status, 202, "an unkeyed route requires none either");
    assert_eq!(fixture.take_accepted()[0].tenant, "");
}

#[tokio::test(flavor = "current_thread")]
async fn without_tenants_and_a_key_window_a_message_has_neither_tenant_nor_operation() {
    let fixture = fixture(false, 0.0).await;
    let without_tenants = CONFIG.split(", \"tenants\"").next().expect("a part").to_owned() + "}";
    fixture.front.view.send_modify(|view| {
        let address = view.membership.nodes[0].inner.clone();
        *view = self::view(&address, &without_tenants);
    });
    assert_eq!(fixture.post("/a/1", &[CLINIC, OPERATION, ("X-Tenant", "shop")]).await.status, 202);
    let item = fixture.take_accepted().remove(0);
    assert_eq!((item.tenant.as_str(), item.operation), ("", None));
    assert_eq!(item.encode_to_vec().len(), Item { tenant: String::new(), operation: None, ..item }.encoded_len());
}

#[tokio::test(flavor = "current_thread")]
async fn state_and_body_are_visible_only_to_the_tenant_that_sent_the_message() {
    let fixture = fixture(false, 60.0).await;
    for path in ["/message/2-7", "/message-body/2-7", "/message/m1"] {
        assert_eq!(fixture.get(path, &[CLINIC]).await.status, 200, "{path}");
        for (headers, status) in [
            (vec![SHOP], 404),
            (vec![], 401),
            (vec![("Authorization", "Bearer nobody")], 401),
            (vec![("Authorization", "nonsense")], 401),
            (vec![CLINIC, CLINIC], 400),
        ] {
            let reply = fixture.get(path, &headers).await;
            assert_eq!(reply.status, status, "{path} {headers:?}");
            assert!(!String::from_utf8_lossy(&reply.body).contains("secret"));
        }
    }
}

#[tokio::test(flavor = "current_thread")]
async fn a_front_without_a_fresh_configuration_accepts_nothing_and_answers_no_query() {
    let fixture = fixture(true, 60.0).await;
    let confirm = |ms_ago: u64, revision: u64| {
        let update = ViewUpdate {
            have: ViewVersions { configuration: revision, ..ViewVersions::default() },
            configuration_age_ms: Some(ms_ago),
            ..ViewUpdate::default()
        };
        fixture.front.view.send_modify(|view| {
            view.take_answer(&update, Instant::now());
        });
    };
    let refused = async || {
        let submitted = fixture.post("/a/1", &[CLINIC, OPERATION]).await;
        let queried = fixture.get("/message/2-7", &[CLINIC]).await;
        let refuses = submitted.status == 503;
        assert_eq!((submitted.status, queried.status), if refuses { (503, 503) } else { (202, 200) });
        assert_eq!(submitted.headers.iter().any(|h| h.0 == "Retry-After"), refuses);
        assert_eq!(fixture.front.is_ready(), !refuses);
        refuses
    };
    assert!(refused().await, "the configuration was never confirmed");
    confirm(3600, 3);
    assert!(refused().await, "seven eighths of revokeMs have elapsed");
    confirm(0, 4);
    assert!(refused().await, "a newer revision exists, which may have revoked the key");
    assert!(fixture.take_accepted().is_empty());
    confirm(0, 3);
    assert!(!refused().await);
    assert_eq!(fixture.take_accepted().len(), 1);
}

/// Guards against mixed-up messages (MIXED): a name that no message has was parsed as that of another
/// message.
#[tokio::test(flavor = "current_thread")]
async fn a_message_name_is_recognized_only_in_its_canonical_form() {
    let fixture = fixture(false, 0.0).await;
    let headers = [("Authorization", "Bearer key-of-clinic")];
    assert_eq!(fixture.get("/message/2-3", &headers).await.status, 200);
    for name in ["2-+3", "02-3", "2-03", "+2-3", "2--3", "2-3-"] {
        fixture.looked_up_positions.lock().expect("not poisoned").clear();
        fixture.get(&format!("/message/{name}"), &headers).await;
        let positions = fixture.looked_up_positions.lock().expect("not poisoned").clone();
        assert!(positions.iter().all(|position| *position == 0), "{name} must be looked up as an id: {positions:?}");
    }
}

fn index(config: &str) -> ConfigurationIndex {
    Configuration::read(config.as_bytes()).expect("valid").into()
}

#[test]
fn retries_of_an_operation_go_to_one_partition_from_any_zone_and_view_of_owners() {
    let config = index(CONFIG);
    let with_owners = view("10.0.0.1:1", CONFIG);
    let mut without_owners = view("10.0.0.1:1", CONFIG);
    for partition in &mut Arc::make_mut(&mut without_owners.assignments).partitions {
        partition.owner = "unknown".into();
    }
    let place = |view: &ClusterView, route: &str, order_key: &str, operation: &str, id: &str, zone: &str| {
        let operation = Some(operation_id("clinic", operation));
        let keys = PlacementKeys { tenant: "clinic", order_key, operation, id };
        partition_of(view, &config, config.route_named(route).expect("there"), &keys, zone).expect("one")
    };
    for (route, order_key) in [("r1", ""), ("r1", "o"), ("r2", ""), ("r2", "o"), ("r4", "")] {
        for n in 0..20 {
            let operation = format!("k{n}");
            let first = place(&with_owners, route, order_key, &operation, "m1", "x");
            assert_eq!(place(&without_owners, route, order_key, &operation, "m2", "y"), first, "{route} {order_key}");
        }
    }
    // The order key takes precedence over the operation key, so that one partition decides both order and
    // repeats.
    let partition = place(&with_owners, "r2", "o", "k", "m", "x");
    assert!((0..20).all(|n| place(&with_owners, "r2", "o", &format!("k{n}"), "m", "y") == partition));
    // Operations without an order key are distributed over all partitions.
    let partitions: std::collections::HashSet<u32> =
        (0..60).map(|n| place(&with_owners, "r1", "", &format!("k{n}"), "m", "x")).collect();
    assert_eq!(partitions.len(), 6);
}

#[test]
fn a_route_with_a_new_endpoint_keeps_its_partition() {
    let before = index(CONFIG);
    let after =
        index(&CONFIG.replace("\"setpointMs\": 300, \"plant\": \"e\"", "\"setpointMs\": 300, \"plant\": \"f\""));
    assert_eq!(after.route_named("r4").map(|r| r.service.as_str()), Some("f"));
    let view = view("10.0.0.1:1", CONFIG);
    let place = |config: &ConfigurationIndex, operation: &str| {
        let operation = Some(operation_id("clinic", operation));
        let keys = PlacementKeys { tenant: "clinic", operation, ..PlacementKeys::default() };
        partition_of(&view, config, config.route_named("r4").expect("there"), &keys, "x").expect("one")
    };
    assert_eq!(place(&before, "k1"), place(&after, "k1"));
    assert_eq!(place(&before, "k1"), place(&before, "k2"), "one owner meters the endpoint");
}

#[test]
fn order_keys_of_two_tenants_are_distinct() {
    let config = index(CONFIG);
    let view = view("10.0.0.1:1", CONFIG);
    let place = |tenant: &str, order_key: &str| {
        let keys = PlacementKeys { tenant, order_key, ..PlacementKeys::default() };
        partition_of(&view, &config, config.route_named("r2").expect("there"), &keys, "x").expect("one")
    };
    assert!((0..20).any(|n| place("clinic", &format!("o{n}")) != place("shop", &format!("o{n}"))));
}
