//! What operators ask over HTTP.

use crate::plumb::Plumb;
use crate::rack::*;
use crate::shop::Shop;
use bytes::Bytes;
use dovetail::msg::Rollout;
use gauge::Template;
use spindle::{Bounds, Closing, Reply, Request};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

fn fault(status: u16, why: &str) -> Reply {
    Reply::json(status, serde_json::json!({ "fault": why }).to_string())
}

/// How large a configuration may be, in bytes of JSON, on a machine with so much
/// memory: it lies there as text, as a tree, with its indexes, in the log and in the
/// snapshot, each of them twice while it changes. And it fits a frame together with
/// the change that made it, which is at most half as long.
pub fn configuration_limit(memory_mb: u64) -> usize {
    ((memory_mb << 20) / 128).min(dovetail::FRAME_LIMIT as u64 / 2) as usize
}

fn too_large(limit: usize) -> Reply {
    let why = format!("larger than {limit} bytes");
    Reply::json(413, serde_json::json!({ "fault": why, "limitBytes": limit }).to_string())
}

pub async fn serve(shop: Arc<Shop>, closing: watch::Receiver<Closing>) {
    let addr = shop.caliper.listen.control.clone();
    if addr.is_empty() {
        return;
    }
    let listener = match tokio::net::TcpListener::bind(&addr).await {
        Ok(l) => l,
        Err(e) => {
            tally::error!("{addr}: {e}");
            std::process::exit(2);
        }
    };
    let bounds = Bounds { body_bytes: configuration_limit(shop.caliper.limits.memory_mb), ..Bounds::default() };
    spindle::listen(
        listener,
        move || bounds,
        closing,
        move |r| {
            let shop = shop.clone();
            async move { answer(&shop, r).await }
        },
    )
    .await;
}

/// To where the leader is, as far as that is known; never to this process.
fn elsewhere(shop: &Shop, r: &Request) -> Reply {
    match shop.leader_control() {
        Some(addr) => Reply::new(307).with("Location", format!("http://{addr}{}", r.path)),
        None => fault(503, "no foreman leads").with("Retry-After", "1"),
    }
}

async fn answer(shop: &Arc<Shop>, r: Request) -> Reply {
    let path = r.path.split('?').next().unwrap_or("").to_owned();
    let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
    if parts[..] == ["status"] {
        return Reply::json(200, shop.status());
    }
    let Some(term) = shop.authority() else { return elsewhere(shop, &r) };
    let reply = decide(shop, &r, &parts).await;
    // That an order was taken stays true whoever leads, and 5xx says nothing.
    if reply.status >= 500 || (reply.status == 200 && r.method == "POST") {
        return reply;
    }
    // All else was read from the state: it was the last word if this process leads at
    // the same term behind that. Reading a large configuration keeps it from hearing
    // the others: it does in a beat or two.
    for _ in 0..4 {
        if shop.authority() == Some(term) {
            return reply;
        }
        tokio::time::sleep(Duration::from_millis(shop.ratio(52.0))).await;
    }
    elsewhere(shop, &r)
}

async fn decide(shop: &Arc<Shop>, r: &Request, parts: &[&str]) -> Reply {
    match (r.method.as_str(), parts) {
        ("POST", ["config", "replace"]) => put(shop, r, false).await,
        ("POST", ["config", "adjust"]) => put(shop, r, true).await,
        ("GET", ["config", "read"]) => {
            let (revision, json) = shop.with(|f| (f.rack.revision, f.rack.template.clone()));
            if revision == 0 { fault(404, "there is no configuration yet") } else { Reply::json(200, json) }
        }
        ("POST", ["rollouts", "start"]) => start_rollout(shop, r).await,
        ("GET", ["rollouts", plant, "read"]) => {
            match shop.with(|f| f.rack.charter.rollouts.iter().find(|x| x.plant == *plant).cloned()) {
                Some(x) => Reply::json(200, serde_json::json!({"state": x.state, "target": x.target}).to_string()),
                None => fault(404, "no roll-out of that plant"),
            }
        }
        ("POST", ["retire", node, "start"]) => start_retire(shop, node, r).await,
        ("GET", ["retire", node, "read"]) => {
            match shop.with(|f| f.rack.charter.retires.iter().find(|x| x.node == *node).cloned()) {
                Some(x) => {
                    let state = if x.done { "settled" } else { "running" };
                    Reply::json(200, serde_json::json!({ "state": state }).to_string())
                }
                None => fault(404, "that node is not being retired"),
            }
        }
        _ => fault(404, "no such call"),
    }
}

async fn put(shop: &Arc<Shop>, r: &Request, adjust: bool) -> Reply {
    let Some(base) = r.header("x-base-revision").and_then(|v| v.parse::<u64>().ok()) else {
        return fault(400, "X-Base-Revision: missing or not a number");
    };
    #[derive(serde::Deserialize)]
    struct Numbered {
        revision: Option<u64>,
    }
    // A list would pass for the fields in their order.
    if r.body.trim_ascii_start().first() != Some(&b'{') {
        return fault(400, "cannot be read in full: wants an object");
    }
    let revision = match serde_json::from_slice::<Numbered>(&r.body) {
        Ok(Numbered { revision: Some(n) }) => n,
        Ok(_) => return fault(400, "revision: missing"),
        Err(e) => return fault(400, &format!("cannot be read in full: {e}")),
    };
    let digest = digest(if adjust { "adjust" } else { "replace" }, "", base, revision, &r.body);
    let (current, stored, took) = shop.with(|f| (f.rack.revision, f.rack.template.clone(), f.rack.took(&digest)));
    let again = || Reply::json(200, serde_json::json!({ "revision": revision, "again": true }).to_string());
    if took {
        return again();
    }
    if base != current {
        return fault(412, &format!("revision {current} is in place"));
    }
    // A change is tried on a copy of what is in force, and logged as it came.
    let made = if adjust {
        let tree = shop.with(|f| (f.tree.revision == f.rack.revision).then(|| f.tree.clone()));
        let tree = tree.map_or_else(|| gauge::Tree::read(current, &stored), Ok);
        tree.and_then(|mut t| {
            t.adjust(&r.body)?;
            t.text()
        })
    } else {
        gauge::canonical(&r.body)
    };
    let json: Bytes = match made {
        Ok(j) => j.into(),
        Err(e) => return fault(400, &e),
    };
    let limit = configuration_limit(shop.caliper.limits.memory_mb);
    if json.len() > limit {
        return too_large(limit);
    }
    if let Err(e) = Template::read(&json) {
        return fault(400, &e);
    }
    if revision <= current {
        return fault(400, &format!("revision: must be above {current}"));
    }
    let (json, change): (Bytes, Bytes) = if adjust && !stored.is_empty() {
        (Bytes::new(), r.body.clone())
    } else {
        let change = gauge::difference(&stored, &json).unwrap_or_default().into();
        (json, change)
    };
    match shop.propose(Word::Template(PutTemplate { base, revision, json, digest, change })).await {
        Some(Applied::Done) => {
            tally::change!("configuration {revision} taken");
            Reply::json(200, serde_json::json!({ "revision": revision }).to_string())
        }
        Some(Applied::Repeated) => again(),
        Some(Applied::Beaten) => fault(412, "another configuration came first"),
        Some(Applied::Refused) => fault(400, "the change does not apply"),
        Some(Applied::Undecoded) | None => fault(504, "it may or may not be in force: send it again unchanged"),
    }
}

/// Marks an order other than a configuration. Operators send one again for `ackMs` at
/// most; a quarter more is for what the time of two leaders may differ. After that the
/// same bytes are a new order: one begins the same roll-out anew after a revert.
/// None while the fleet's time is not known.
fn stamp(shop: &Shop, digest: Bytes) -> Option<Stamp> {
    let at_ms = shop.time()?;
    Some(Stamp { digest, at_ms, until_ms: at_ms + (shop.caliper.constraints.ack_ms * 1.25) as u64 })
}

fn no_time() -> Reply {
    fault(503, "the time is not known yet").with("Retry-After", "1")
}

/// What the fold made of an order other than a configuration.
fn started(applied: Option<Applied>, beaten: &str, refused: impl FnOnce() -> Reply) -> Reply {
    match applied {
        Some(Applied::Done) => Reply::json(200, r#"{"state":"running"}"#),
        Some(Applied::Repeated) => Reply::json(200, r#"{"again":true}"#),
        Some(Applied::Beaten) => fault(409, beaten),
        Some(Applied::Refused) => refused(),
        Some(Applied::Undecoded) | None => fault(504, "it may or may not have been started: send it again unchanged"),
    }
}

async fn start_rollout(shop: &Arc<Shop>, r: &Request) -> Reply {
    #[derive(serde::Deserialize)]
    #[serde(rename_all = "camelCase")]
    struct Start {
        plant: String,
        target: String,
        within_s: f64,
    }
    let Ok(s) = serde_json::from_slice::<Start>(&r.body) else {
        return fault(400, "wants plant, target and withinS");
    };
    let Some(stamp) = stamp(shop, digest("rollout", &s.plant, 0, 0, &r.body)) else { return no_time() };
    let pattern = shop.pattern();
    let (running, took, old) = shop.with(|f| {
        let running = f.rack.charter.rollouts.iter().any(|x| x.plant == s.plant && x.state == "running");
        let mut old: Vec<String> = f
            .roster
            .units
            .iter()
            .filter(|u| u.plant == s.plant && u.revision != s.target)
            .map(|u| u.revision.clone())
            .collect();
        old.sort();
        old.dedup();
        (running, f.rack.took_order(&stamp, running), old)
    });
    if took {
        return started(Some(Applied::Repeated), "", no_time);
    }
    if pattern.plant(&s.plant).is_none() {
        return fault(404, "unknown plant");
    }
    let beaten = "a roll-out of that plant is under way";
    if running {
        return fault(409, beaten);
    }
    let rollout = Rollout {
        plant: s.plant,
        target: s.target,
        state: "running".into(),
        share: Plumb::first_share(shop.caliper.constraints.exposure),
        within_ms: (s.within_s * 1000.0) as u64,
        old,
        spent: 0,
        began_ms: stamp.at_ms,
        began: 0,
    };
    started(shop.propose(Word::StartRollout(StartRollout { rollout, stamp })).await, beaten, no_time)
}

async fn start_retire(shop: &Arc<Shop>, node: &str, r: &Request) -> Reply {
    let Some(stamp) = stamp(shop, digest("retire", node, 0, 0, &r.body)) else { return no_time() };
    let least = shop.caliper.tolerance.machines + 1;
    let now = shop.now();
    let (took, running, known, told, stores) = shop.with(|f| {
        let running = f.rack.charter.retires.iter().any(|x| x.node == node && !x.done);
        let retired = Shop::retiring(f);
        let stands = |n: &&dovetail::msg::Node| n.role == "lathe" && !n.leaving && !retired.contains(&n.name);
        let stores: Vec<String> = f.roster.nodes.iter().filter(stands).map(|n| n.name.clone()).collect();
        let holds = f.rack.charter.partitions.iter().any(|p| p.homes.iter().any(|h| h == node));
        // A new leader may not have heard of all that stand.
        let told = f.roster.version != 0 && now > f.leader_since + shop.ratio(3.0);
        (f.rack.took_order(&stamp, running), running, holds || stores.iter().any(|n| n == node), told, stores)
    });
    if took {
        return started(Some(Applied::Repeated), "", no_time);
    }
    let early = || fault(503, "the store machines are still telling themselves").with("Retry-After", "1");
    let beaten = "it is being retired";
    if running {
        return fault(409, beaten);
    }
    if !known {
        return if told { fault(404, "no such node") } else { early() };
    }
    let refused = || if told { fault(409, "too few would be left") } else { early() };
    let word = StartRetire { node: node.into(), stores, least, stamp };
    started(shop.propose(Word::StartRetire(word)).await, beaten, refused)
}
