//! What a front takes of tenants' requests and what it tells them, against a stand-in owner on
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

/// A front, and what its stand-in owner was asked to take.
struct Played {
    front: Arc<FrontService>,
    accepts: Arc<Mutex<Vec<Item>>>,
    /// The positions of messages that were asked for; 0 by their ids.
    asked_positions: Arc<Mutex<Vec<u64>>>,
}

/// The owner holds one message of the clinic, which was accepted at the host of the routes.
async fn played(closed: bool, key_window_s: f64) -> Played {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    let accepts = Arc::new(Mutex::new(Vec::new()));
    let taken = accepts.clone();
    let asked_positions = Arc::new(Mutex::new(Vec::new()));
    let asked = asked_positions.clone();
    tokio::spawn(rpc::serve(listener, Duration::from_secs(1), move |body, responder| match body {
        Body::Accept(accept) => {
            taken.lock().expect("not poisoned").push(accept.item);
            let outcome = AcceptOutcome::Taken as i32;
            responder.send(Body::Accepted(Accepted { outcome, position: 7, ..Accepted::default() }));
        }
        Body::Lookup(lookup) => {
            asked.lock().expect("not poisoned").push(lookup.position);
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
    Played { front, accepts, asked_positions }
}

fn request(method: &str, path: &str, headers: &[(&str, &str)]) -> Request {
    let fixed = [("Host", "h"), ("X-Attempt-Id", "m1")];
    let headers = fixed.iter().chain(headers).map(|(n, v)| (n.to_string(), v.to_string())).collect();
    Request { method: method.into(), path: path.into(), headers, ..Request::default() }
}

impl Played {
    async fn post(&self, path: &str, headers: &[(&str, &str)]) -> Reply {
        self.front.clone().answer(request("POST", path, headers)).await
    }

    async fn get(&self, path: &str, headers: &[(&str, &str)]) -> Reply {
        self.front.clone().answer(request("GET", path, headers)).await
    }

    fn accepted(&self) -> Vec<Item> {
        std::mem::take(&mut *self.accepts.lock().expect("not poisoned"))
    }
}

const CLINIC: (&str, &str) = ("aUTHORIZATION", "Bearer key-of-clinic");
const SHOP: (&str, &str) = ("Authorization", "bearer key-of-shop");
const OPERATION: (&str, &str) = ("X-Operation-Key", "k-5512");

#[tokio::test(flavor = "current_thread")]
async fn a_message_goes_with_the_tenant_of_its_key_and_never_with_the_key() {
    let played = played(false, 60.0).await;
    let spoofed =
        [CLINIC, OPERATION, ("X-Tenant", "shop"), ("x-tenant", "shop"), ("Proxy-Authorization", "key-of-clinic")];
    let reply = played.post("/a/1", &spoofed).await;
    assert_eq!(reply.status, 202);
    let items = played.accepted();
    assert_eq!((items.len(), items[0].tenant.as_str()), (1, "clinic"));
    assert_eq!(items[0].operation, Some(operation_id("clinic", "k-5512")));
    let bytes = items[0].encode_to_vec();
    assert!(!String::from_utf8_lossy(&bytes).contains("key-of-clinic"), "the key stays at the front");
    let run = Run { item: items[0].clone(), ..Run::default() };
    let headers = delivery_headers(&run, "100");
    let named: Vec<_> = headers.iter().filter(|(name, _)| name.eq_ignore_ascii_case("x-tenant")).collect();
    assert_eq!(named, [&("X-Tenant", "clinic")]);
    assert!(headers.iter().all(|(name, value)| *name != "Authorization" && !value.contains("key-of")));
}

#[tokio::test(flavor = "current_thread")]
async fn nothing_is_taken_of_a_request_without_its_keys() {
    let played = played(false, 60.0).await;
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
        let reply = played.post("/a/1", &headers).await;
        assert_eq!(reply.status, status, "{headers:?}");
        assert_eq!(reply.headers.iter().any(|h| h.0 == "WWW-Authenticate"), status == 401);
    }
    assert!(played.accepted().is_empty());
    assert_eq!(played.post("/nowhere/1", &[OPERATION]).await.status, 404, "no route asks for no key");
    assert_eq!(played.post("/open/1", &[OPERATION]).await.status, 202, "an unkeyed route does not either");
    assert_eq!(played.accepted()[0].tenant, "");
}

#[tokio::test(flavor = "current_thread")]
async fn without_tenants_and_a_key_window_a_message_is_what_it_was() {
    let played = played(false, 0.0).await;
    let without = CONFIG.split(", \"tenants\"").next().expect("a part").to_owned() + "}";
    played.front.view.send_modify(|view| {
        let address = view.membership.nodes[0].inner.clone();
        *view = self::view(&address, &without);
    });
    assert_eq!(played.post("/a/1", &[CLINIC, OPERATION, ("X-Tenant", "shop")]).await.status, 202);
    let item = played.accepted().remove(0);
    assert_eq!((item.tenant.as_str(), item.operation), ("", None));
    assert_eq!(item.encode_to_vec().len(), Item { tenant: String::new(), operation: None, ..item }.encoded_len());
}

#[tokio::test(flavor = "current_thread")]
async fn state_and_body_are_for_the_tenant_that_sent_the_message() {
    let played = played(false, 60.0).await;
    for path in ["/message/2-7", "/message-body/2-7", "/message/m1"] {
        assert_eq!(played.get(path, &[CLINIC]).await.status, 200, "{path}");
        for (headers, status) in [
            (vec![SHOP], 404),
            (vec![], 401),
            (vec![("Authorization", "Bearer nobody")], 401),
            (vec![("Authorization", "nonsense")], 401),
            (vec![CLINIC, CLINIC], 400),
        ] {
            let reply = played.get(path, &headers).await;
            assert_eq!(reply.status, status, "{path} {headers:?}");
            assert!(!String::from_utf8_lossy(&reply.body).contains("secret"));
        }
    }
}

#[tokio::test(flavor = "current_thread")]
async fn a_front_that_cannot_show_a_fresh_configuration_takes_and_tells_nothing() {
    let played = played(true, 60.0).await;
    let shown = |ms_ago: u64, revision: u64| {
        let update = ViewUpdate {
            have: ViewVersions { configuration: revision, ..ViewVersions::default() },
            configuration_age_ms: Some(ms_ago),
            ..ViewUpdate::default()
        };
        played.front.view.send_modify(|view| {
            view.take_answer(&update, Instant::now());
        });
    };
    let refused = async || {
        let taken = played.post("/a/1", &[CLINIC, OPERATION]).await;
        let told = played.get("/message/2-7", &[CLINIC]).await;
        let refuses = taken.status == 503;
        assert_eq!((taken.status, told.status), if refuses { (503, 503) } else { (202, 200) });
        assert_eq!(taken.headers.iter().any(|h| h.0 == "Retry-After"), refuses);
        assert_eq!(played.front.is_ready(), !refuses);
        refuses
    };
    assert!(refused().await, "nobody has shown anything");
    shown(3600, 3);
    assert!(refused().await, "seven eighths of revokeMs are over");
    shown(0, 4);
    assert!(refused().await, "there is a newer one, which may have taken the key away");
    assert!(played.accepted().is_empty());
    shown(0, 3);
    assert!(!refused().await);
    assert_eq!(played.accepted().len(), 1);
}

/// Guards against MIXED: a name that no message has was read as that of another.
#[tokio::test(flavor = "current_thread")]
async fn a_name_is_that_of_a_message_only_as_it_was_told() {
    let played = played(false, 0.0).await;
    let headers = [("Authorization", "Bearer key-of-clinic")];
    assert_eq!(played.get("/message/2-3", &headers).await.status, 200);
    for name in ["2-+3", "02-3", "2-03", "+2-3", "2--3", "2-3-"] {
        played.asked_positions.lock().expect("not poisoned").clear();
        played.get(&format!("/message/{name}"), &headers).await;
        let asked = played.asked_positions.lock().expect("not poisoned").clone();
        assert!(asked.iter().all(|position| *position == 0), "{name} is asked for as an id: {asked:?}");
    }
}

fn index(config: &str) -> ConfigurationIndex {
    Configuration::read(config.as_bytes()).expect("valid").into()
}

#[test]
fn tries_at_one_operation_meet_at_any_front_in_any_zone_whatever_it_knows_of_owners() {
    let config = index(CONFIG);
    let here = view("10.0.0.1:1", CONFIG);
    let mut elsewhere = view("10.0.0.1:1", CONFIG);
    for partition in &mut Arc::make_mut(&mut elsewhere.assignments).partitions {
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
            let first = place(&here, route, order_key, &operation, "m1", "x");
            assert_eq!(place(&elsewhere, route, order_key, &operation, "m2", "y"), first, "{route} {order_key}");
        }
    }
    // Order and repeats have one home: whatever its operation, a message goes where its order key is.
    let home = place(&here, "r2", "o", "k", "m", "x");
    assert!((0..20).all(|n| place(&here, "r2", "o", &format!("k{n}"), "m", "y") == home));
    // Operations without order are spread.
    let homes: std::collections::HashSet<u32> =
        (0..60).map(|n| place(&here, "r1", "", &format!("k{n}"), "m", "x")).collect();
    assert_eq!(homes.len(), 6);
}

#[test]
fn a_route_that_is_given_another_endpoint_keeps_its_partition() {
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
fn order_keys_of_two_tenants_are_two() {
    let config = index(CONFIG);
    let view = view("10.0.0.1:1", CONFIG);
    let place = |tenant: &str, order_key: &str| {
        let keys = PlacementKeys { tenant, order_key, ..PlacementKeys::default() };
        partition_of(&view, &config, config.route_named("r2").expect("there"), &keys, "x").expect("one")
    };
    assert!((0..20).any(|n| place("clinic", &format!("o{n}")) != place("shop", &format!("o{n}"))));
}
