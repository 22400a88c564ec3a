//! What operators ask over HTTP.

use crate::evacuation::EvacuateZone;
use crate::rollout::RolloutMonitor;
use crate::service::{ControlService, ControlShared};
use crate::state::*;
use bytes::Bytes;
use config::Configuration;
use http1::{Bounds, Closing, Reply, Request};
use rpc::messages::{Rollout, ZoneUse};
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
    ((memory_mb << 20) / 128).min(rpc::FRAME_LIMIT as u64 / 2) as usize
}

fn too_large(limit: usize) -> Reply {
    let why = format!("larger than {limit} bytes");
    Reply::json(413, serde_json::json!({ "fault": why, "limitBytes": limit }).to_string())
}

pub async fn serve(control: Arc<ControlService>, closing: watch::Receiver<Closing>) {
    let addr = control.settings.listen.control.clone();
    if addr.is_empty() {
        return;
    }
    let listener = match tokio::net::TcpListener::bind(&addr).await {
        Ok(l) => l,
        Err(e) => {
            telemetry::error!("{addr}: {e}");
            std::process::exit(2);
        }
    };
    let bounds = Bounds { body_bytes: configuration_limit(control.settings.limits.memory_mb), ..Bounds::default() };
    http1::listen(
        listener,
        move || bounds,
        closing,
        http1::ClientWatch::Off,
        move |r| {
            let control = control.clone();
            async move { answer(&control, r).await }
        },
    )
    .await;
}

/// To where the leader is, as far as that is known; never to this process.
fn elsewhere(control: &ControlService, r: &Request) -> Reply {
    match control.leader_control() {
        Some(addr) => Reply::new(307).with("Location", format!("http://{addr}{}", r.path)),
        None => fault(503, "no control node leads").with("Retry-After", "1"),
    }
}

async fn answer(control: &Arc<ControlService>, r: Request) -> Reply {
    let path = r.path.split('?').next().unwrap_or("").to_owned();
    let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
    if parts[..] == ["status"] {
        return Reply::json(200, control.status());
    }
    let Some(term) = control.authority() else { return elsewhere(control, &r) };
    let reply = decide(control, &r, &parts).await;
    // That an order was taken stays true whoever leads, and 5xx says nothing.
    if reply.status >= 500 || (reply.status == 200 && r.method == "POST") {
        return reply;
    }
    // All else was read from the state: it was the last word if this process leads at
    // the same term behind that. Reading a large configuration keeps it from hearing
    // the others: it does in a beat or two.
    for _ in 0..4 {
        if control.authority() == Some(term) {
            return reply;
        }
        tokio::time::sleep(Duration::from_millis(control.ratio(52.0))).await;
    }
    elsewhere(control, &r)
}

async fn decide(control: &Arc<ControlService>, r: &Request, parts: &[&str]) -> Reply {
    match (r.method.as_str(), parts) {
        ("POST", ["config", "replace"]) => put(control, r, false).await,
        ("POST", ["config", "adjust"]) => put(control, r, true).await,
        ("GET", ["config", "read"]) => {
            let (revision, json) = control.with(|f| (f.control_state.revision, f.control_state.configuration.clone()));
            if revision == 0 { fault(404, "there is no configuration yet") } else { Reply::json(200, json) }
        }
        ("POST", ["rollouts", "start"]) => start_rollout(control, r).await,
        ("GET", ["rollouts", service, "read"]) => {
            match control.with(|f| f.control_state.assignments.rollouts.iter().find(|x| x.service == *service).cloned())
            {
                Some(x) => Reply::json(200, serde_json::json!({"state": x.state, "target": x.target}).to_string()),
                None => fault(404, "no roll-out of that service"),
            }
        }
        ("POST", ["retire", node, "start"]) => start_retire(control, node, r).await,
        ("GET", ["retire", node, "read"]) => {
            match control.with(|f| f.control_state.assignments.retires.iter().find(|x| x.node == *node).cloned()) {
                Some(x) => {
                    let state = if x.done { "settled" } else { "running" };
                    Reply::json(200, serde_json::json!({ "state": state }).to_string())
                }
                None => fault(404, "that node is not being retired"),
            }
        }
        ("POST", ["evacuate", zone, "start"]) => evacuate(control, zone, false).await,
        ("POST", ["evacuate", zone, "finish"]) => evacuate(control, zone, true).await,
        ("GET", ["evacuate", "read"]) => Reply::json(200, control.with(|f| evacuations(f)).to_string()),
        _ => fault(404, "no such call"),
    }
}

/// The zones that are emptied or on their way back, as JSON.
pub(crate) fn evacuations(f: &ControlShared) -> serde_json::Value {
    let known = f.membership.version;
    let assignments = &f.control_state.assignments;
    let states = assignments.evacuations.iter().map(|e| {
        let state = match assignments.zone_use(&e.zone, known) {
            ZoneUse::Evacuated => "evacuated",
            ZoneUse::Returning => "returning",
            ZoneUse::Open => "open",
        };
        serde_json::json!({ "zone": e.zone, "state": state })
    });
    serde_json::json!({ "evacuations": states.collect::<Vec<_>>() })
}

async fn evacuate(control: &Arc<ControlService>, zone: &str, finished: bool) -> Reply {
    if !control.settings.zones.contains_key(zone) {
        return fault(404, &format!("no zone {zone:?}"));
    }
    let word = CommandPayload::Evacuate(EvacuateZone { zone: zone.to_owned(), finished });
    match control.propose(word).await {
        Some(ApplyResult::Done) => {
            telemetry::count("evacuation_orders");
            telemetry::change!("zone {zone} is {}", if finished { "taken back" } else { "evacuated" });
            let state = if finished { "finished" } else { "started" };
            Reply::json(200, serde_json::json!({ "zone": zone, "state": state }).to_string())
        }
        Some(ApplyResult::Repeated) => Reply::json(200, r#"{"again":true}"#),
        _ => fault(504, "it may or may not be in force: send it again unchanged"),
    }
}

async fn put(control: &Arc<ControlService>, r: &Request, adjust: bool) -> Reply {
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
    let (current, stored, took) = control
        .with(|f| (f.control_state.revision, f.control_state.configuration.clone(), f.control_state.took(&digest)));
    let again = || Reply::json(200, serde_json::json!({ "revision": revision, "again": true }).to_string());
    if took {
        return again();
    }
    if base != current {
        return fault(412, &format!("revision {current} is in place"));
    }
    // A change is tried on a copy of what is in force, and logged as it came.
    let made = if adjust {
        let document = control.with(|f| (f.document.revision == f.control_state.revision).then(|| f.document.clone()));
        let document = document.map_or_else(|| config::ConfigurationDocument::read(current, &stored), Ok);
        document.and_then(|mut t| {
            t.adjust(&r.body)?;
            t.text()
        })
    } else {
        config::canonical(&r.body)
    };
    let json: Bytes = match made {
        Ok(j) => j.into(),
        Err(e) => return fault(400, &e),
    };
    let limit = configuration_limit(control.settings.limits.memory_mb);
    if json.len() > limit {
        return too_large(limit);
    }
    if let Err(e) = Configuration::read(&json) {
        return fault(400, &e);
    }
    if revision <= current {
        return fault(400, &format!("revision: must be above {current}"));
    }
    let (json, change): (Bytes, Bytes) = if adjust && !stored.is_empty() {
        (Bytes::new(), r.body.clone())
    } else {
        let change = config::difference(&stored, &json).unwrap_or_default().into();
        (json, change)
    };
    match control
        .propose(CommandPayload::Configuration(PutConfiguration { base, revision, json, digest, change }))
        .await
    {
        Some(ApplyResult::Done) => {
            telemetry::change!("configuration {revision} taken");
            Reply::json(200, serde_json::json!({ "revision": revision }).to_string())
        }
        Some(ApplyResult::Repeated) => again(),
        Some(ApplyResult::Conflict) => fault(412, "another configuration came first"),
        Some(ApplyResult::Refused) => fault(400, "the change does not apply"),
        Some(ApplyResult::Undecoded) | None => fault(504, "it may or may not be in force: send it again unchanged"),
    }
}

/// Marks an order other than a configuration. Operators send one again for `ackMs` at
/// most; a quarter more is for what the time of two leaders may differ. After that the
/// same bytes are a new order: one begins the same roll-out anew after a revert.
/// None while the fleet's time is not known.
fn order_id(control: &ControlService, digest: Bytes) -> Option<OrderId> {
    let at_ms = control.time()?;
    Some(OrderId { digest, at_ms, until_ms: at_ms + (control.settings.constraints.ack_ms * 1.25) as u64 })
}

fn no_time() -> Reply {
    fault(503, "the time is not known yet").with("Retry-After", "1")
}

/// What the fold made of an order other than a configuration.
fn started(applied: Option<ApplyResult>, beaten: &str, refused: impl FnOnce() -> Reply) -> Reply {
    match applied {
        Some(ApplyResult::Done) => Reply::json(200, r#"{"state":"running"}"#),
        Some(ApplyResult::Repeated) => Reply::json(200, r#"{"again":true}"#),
        Some(ApplyResult::Conflict) => fault(409, beaten),
        Some(ApplyResult::Refused) => refused(),
        Some(ApplyResult::Undecoded) | None => {
            fault(504, "it may or may not have been started: send it again unchanged")
        }
    }
}

async fn start_rollout(control: &Arc<ControlService>, r: &Request) -> Reply {
    #[derive(serde::Deserialize)]
    #[serde(rename_all = "camelCase")]
    struct Start {
        #[serde(rename = "plant")]
        service: String,
        target: String,
        within_s: f64,
    }
    let Ok(s) = serde_json::from_slice::<Start>(&r.body) else {
        return fault(400, "wants plant, target and withinS");
    };
    let Some(order_id) = order_id(control, digest("rollout", &s.service, 0, 0, &r.body)) else { return no_time() };
    let configuration_index = control.configuration_index();
    let (running, took, old) = control.with(|f| {
        let running =
            f.control_state.assignments.rollouts.iter().any(|x| x.service == s.service && x.state == "running");
        let mut old: Vec<String> = f
            .membership
            .processors
            .iter()
            .filter(|u| u.service == s.service && u.revision != s.target)
            .map(|u| u.revision.clone())
            .collect();
        old.sort();
        old.dedup();
        (running, f.control_state.took_order(&order_id, running), old)
    });
    if took {
        return started(Some(ApplyResult::Repeated), "", no_time);
    }
    if configuration_index.service(&s.service).is_none() {
        return fault(404, "unknown service");
    }
    let beaten = "a roll-out of that service is under way";
    if running {
        return fault(409, beaten);
    }
    let rollout = Rollout {
        service: s.service,
        target: s.target,
        state: "running".into(),
        share: RolloutMonitor::first_share(control.settings.constraints.exposure),
        within_ms: (s.within_s * 1000.0) as u64,
        old,
        spent: 0,
        began_ms: order_id.at_ms,
        began: 0,
    };
    started(control.propose(CommandPayload::StartRollout(StartRollout { rollout, order_id })).await, beaten, no_time)
}

async fn start_retire(control: &Arc<ControlService>, node: &str, r: &Request) -> Reply {
    let Some(order_id) = order_id(control, digest("retire", node, 0, 0, &r.body)) else { return no_time() };
    let least = control.settings.tolerance.machines + 1;
    let now = control.now();
    let (took, running, known, told, stores) = control.with(|f| {
        let running = f.control_state.assignments.retires.iter().any(|x| x.node == node && !x.done);
        let retired = ControlService::retiring(f);
        let stands = |n: &&rpc::messages::Node| n.role == "store" && !n.leaving && !retired.contains(&n.name);
        let stores: Vec<String> = f.membership.nodes.iter().filter(stands).map(|n| n.name.clone()).collect();
        let holds = f.control_state.assignments.partitions.iter().any(|p| p.replicas.iter().any(|h| h == node));
        // A new leader may not have heard of all that stand.
        let told = f.membership.version != 0 && now > f.leader_since + control.ratio(3.0);
        (
            f.control_state.took_order(&order_id, running),
            running,
            holds || stores.iter().any(|n| n == node),
            told,
            stores,
        )
    });
    if took {
        return started(Some(ApplyResult::Repeated), "", no_time);
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
    let word = StartRetire { node: node.into(), stores, least, order_id };
    started(control.propose(CommandPayload::StartRetire(word)).await, beaten, refused)
}
