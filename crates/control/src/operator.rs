//! The operator HTTP API.

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

fn error_reply(status: u16, why: &str) -> Reply {
    Reply::json(status, serde_json::json!({ "fault": why }).to_string())
}

/// The maximum size of a configuration, in bytes of JSON, on a machine with this much
/// memory: it is kept as text, as a tree, with its indexes, in the log and in the
/// snapshot, each of them twice while it changes. It must also fit a frame together with
/// the change that produced it, which is at most half as long.
pub fn configuration_limit(memory_mb: u64) -> usize {
    ((memory_mb << 20) / 128).min(rpc::FRAME_LIMIT as u64 / 2) as usize
}

fn too_large(limit: usize) -> Reply {
    let why = format!("larger than {limit} bytes");
    Reply::json(413, serde_json::json!({ "fault": why, "limitBytes": limit }).to_string())
}

/// Serves the operator API until `closing`.
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
            async move { handle(&control, r).await }
        },
    )
    .await;
}

/// Redirects to the leader, if another control node is known to lead; otherwise 503.
fn redirect_to_leader(control: &ControlService, r: &Request) -> Reply {
    match control.leader_control() {
        Some(addr) => Reply::new(307).with("Location", format!("http://{addr}{}", r.path)),
        None => error_reply(503, "no control node leads").with("Retry-After", "1"),
    }
}

async fn handle(control: &Arc<ControlService>, r: Request) -> Reply {
    let path = r.path.split('?').next().unwrap_or("").to_owned();
    let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
    if parts[..] == ["status"] {
        return Reply::json(200, control.status());
    }
    let Some(term) = control.authority() else { return redirect_to_leader(control, &r) };
    let reply = route(control, &r, &parts).await;
    // A success reply to an order stays true under any leader, and a 5xx reply claims nothing.
    if reply.status >= 500 || (reply.status == 200 && r.method == "POST") {
        return reply;
    }
    // Any other reply was read from the state, which was current if this process still leads
    // in the same term afterwards. Parsing a large configuration keeps this process from reading
    // the heartbeat replies of the other nodes, so the check is repeated over two heartbeats.
    for _ in 0..4 {
        if control.authority() == Some(term) {
            return reply;
        }
        tokio::time::sleep(Duration::from_millis(control.ratio(52.0))).await;
    }
    redirect_to_leader(control, &r)
}

async fn route(control: &Arc<ControlService>, r: &Request, parts: &[&str]) -> Reply {
    match (r.method.as_str(), parts) {
        ("POST", ["config", "replace"]) => put_configuration(control, r, false).await,
        ("POST", ["config", "adjust"]) => put_configuration(control, r, true).await,
        ("GET", ["config", "read"]) => {
            let (revision, json) = control.with(|f| (f.control_state.revision, f.control_state.configuration.clone()));
            if revision == 0 { error_reply(404, "there is no configuration yet") } else { Reply::json(200, json) }
        }
        ("POST", ["rollouts", "start"]) => start_rollout(control, r).await,
        ("GET", ["rollouts", service, "read"]) => {
            match control.with(|f| f.control_state.assignments.rollouts.iter().find(|x| x.service == *service).cloned())
            {
                Some(x) => Reply::json(200, serde_json::json!({"state": x.state, "target": x.target}).to_string()),
                None => error_reply(404, "there is no roll-out of that service"),
            }
        }
        ("POST", ["retire", node, "start"]) => start_retire(control, node, r).await,
        ("GET", ["retire", node, "read"]) => {
            match control.with(|f| f.control_state.assignments.retires.iter().find(|x| x.node == *node).cloned()) {
                Some(x) => {
                    let state = if x.done { "settled" } else { "running" };
                    Reply::json(200, serde_json::json!({ "state": state }).to_string())
                }
                None => error_reply(404, "that node is not being retired"),
            }
        }
        ("POST", ["evacuate", zone, "start"]) => evacuate(control, zone, false).await,
        ("POST", ["evacuate", zone, "finish"]) => evacuate(control, zone, true).await,
        ("GET", ["evacuate", "read"]) => Reply::json(200, control.with(|f| evacuations_json(f)).to_string()),
        _ => error_reply(404, "unknown path or method"),
    }
}

/// The state of zones that are evacuated or returning, as JSON.
pub(crate) fn evacuations_json(f: &ControlShared) -> serde_json::Value {
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
        return error_reply(404, &format!("no zone {zone:?}"));
    }
    let command = CommandPayload::Evacuate(EvacuateZone { zone: zone.to_owned(), finished });
    match control.propose(command).await {
        Some(ApplyResult::Done) => {
            telemetry::count("evacuation_orders");
            telemetry::change!("zone {zone} is {}", if finished { "back in use" } else { "evacuated" });
            let state = if finished { "finished" } else { "started" };
            Reply::json(200, serde_json::json!({ "zone": zone, "state": state }).to_string())
        }
        Some(ApplyResult::Repeated) => Reply::json(200, r#"{"again":true}"#),
        _ => error_reply(504, "unknown whether it is in force: send it again unchanged"),
    }
}

async fn put_configuration(control: &Arc<ControlService>, r: &Request, adjust: bool) -> Reply {
    let Some(base) = r.header("x-base-revision").and_then(|v| v.parse::<u64>().ok()) else {
        return error_reply(400, "X-Base-Revision: missing or not a number");
    };
    #[derive(serde::Deserialize)]
    struct Numbered {
        revision: Option<u64>,
    }
    // serde would accept an array as the fields in their order.
    if r.body.trim_ascii_start().first() != Some(&b'{') {
        return error_reply(400, "cannot be read in full: expected a JSON object");
    }
    let revision = match serde_json::from_slice::<Numbered>(&r.body) {
        Ok(Numbered { revision: Some(n) }) => n,
        Ok(_) => return error_reply(400, "revision: missing"),
        Err(e) => return error_reply(400, &format!("cannot be read in full: {e}")),
    };
    let digest = digest(if adjust { "adjust" } else { "replace" }, "", base, revision, &r.body);
    let (current, stored, is_repeat) = control.with(|f| {
        (f.control_state.revision, f.control_state.configuration.clone(), f.control_state.knows_configuration(&digest))
    });
    let repeated = || Reply::json(200, serde_json::json!({ "revision": revision, "again": true }).to_string());
    if is_repeat {
        return repeated();
    }
    if base != current {
        return error_reply(412, &format!("X-Base-Revision: revision {current} is in force"));
    }
    // A change is validated against a copy of the configuration in force, and logged as received.
    let resulting = if adjust {
        let document = control.with(|f| (f.document.revision == f.control_state.revision).then(|| f.document.clone()));
        let document = document.map_or_else(|| config::ConfigurationDocument::read(current, &stored), Ok);
        document.and_then(|mut document| {
            document.adjust(&r.body)?;
            document.text()
        })
    } else {
        config::canonical(&r.body)
    };
    let json: Bytes = match resulting {
        Ok(j) => j.into(),
        Err(e) => return error_reply(400, &e),
    };
    let limit = configuration_limit(control.settings.limits.memory_mb);
    if json.len() > limit {
        return too_large(limit);
    }
    if let Err(e) = Configuration::read(&json) {
        return error_reply(400, &e);
    }
    if revision <= current {
        return error_reply(400, &format!("revision: must be above {current}"));
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
            telemetry::change!("configuration {revision} accepted");
            Reply::json(200, serde_json::json!({ "revision": revision }).to_string())
        }
        Some(ApplyResult::Repeated) => repeated(),
        Some(ApplyResult::Conflict) => error_reply(412, "another configuration was accepted first"),
        Some(ApplyResult::Refused) => error_reply(400, "the change does not apply"),
        Some(ApplyResult::Undecoded) | None => {
            error_reply(504, "unknown whether it is in force: send it again unchanged")
        }
    }
}

/// The identity of an order other than a configuration, by which a repeat is recognised. Operators
/// resend an order for at most `ackMs`; a quarter is added because the times of two leaders may
/// differ. After that the same bytes are a new order, so that the same roll-out can be started
/// again after a revert. None while the cluster time is not known.
fn order_id(control: &ControlService, digest: Bytes) -> Option<OrderId> {
    let at_ms = control.time()?;
    Some(OrderId { digest, at_ms, until_ms: at_ms + (control.settings.constraints.ack_ms * 1.25) as u64 })
}

fn time_unknown() -> Reply {
    error_reply(503, "the cluster time is not known yet").with("Retry-After", "1")
}

/// The reply to an order other than a configuration, by the result of its command.
fn order_reply(applied: Option<ApplyResult>, conflict: &str, refused: impl FnOnce() -> Reply) -> Reply {
    match applied {
        Some(ApplyResult::Done) => Reply::json(200, r#"{"state":"running"}"#),
        Some(ApplyResult::Repeated) => Reply::json(200, r#"{"again":true}"#),
        Some(ApplyResult::Conflict) => error_reply(409, conflict),
        Some(ApplyResult::Refused) => refused(),
        Some(ApplyResult::Undecoded) | None => {
            error_reply(504, "unknown whether it was started: send it again unchanged")
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
        return error_reply(400, "expected plant, target and withinS");
    };
    let Some(order_id) = order_id(control, digest("rollout", &s.service, 0, 0, &r.body)) else { return time_unknown() };
    let configuration_index = control.configuration_index();
    let (running, repeated, old) = control.with(|f| {
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
        (running, f.control_state.knows_order(&order_id, running), old)
    });
    if repeated {
        return order_reply(Some(ApplyResult::Repeated), "", time_unknown);
    }
    if configuration_index.service(&s.service).is_none() {
        return error_reply(404, "unknown service");
    }
    let conflict = "a roll-out of that service is in progress";
    if running {
        return error_reply(409, conflict);
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
        rejected: Vec::new(),
    };
    order_reply(
        control.propose(CommandPayload::StartRollout(StartRollout { rollout, order_id })).await,
        conflict,
        time_unknown,
    )
}

async fn start_retire(control: &Arc<ControlService>, node: &str, r: &Request) -> Reply {
    let Some(order_id) = order_id(control, digest("retire", node, 0, 0, &r.body)) else { return time_unknown() };
    let min_remaining = control.settings.tolerance.machines + 1;
    let now = control.now();
    let (repeated, running, known, sessions_complete, stores) = control.with(|f| {
        let running = f.control_state.assignments.retires.iter().any(|x| x.node == node && !x.done);
        let retired = ControlService::retiring(f);
        let stays = |n: &&rpc::messages::Node| n.role == "store" && !n.leaving && !retired.contains(&n.name);
        let stores: Vec<String> = f.membership.nodes.iter().filter(stays).map(|n| n.name.clone()).collect();
        let holds = f.control_state.assignments.partitions.iter().any(|p| p.replicas.iter().any(|h| h == node));
        // A new leader may not know every live session yet.
        let sessions_complete = f.membership.version != 0 && now > f.leader_since + control.ratio(3.0);
        (
            f.control_state.knows_order(&order_id, running),
            running,
            holds || stores.iter().any(|n| n == node),
            sessions_complete,
            stores,
        )
    });
    if repeated {
        return order_reply(Some(ApplyResult::Repeated), "", time_unknown);
    }
    let too_early = || {
        error_reply(503, "a new leader is still collecting the sessions of the store machines").with("Retry-After", "1")
    };
    let conflict = "that node is already being retired";
    if running {
        return error_reply(409, conflict);
    }
    if !known {
        return if sessions_complete { error_reply(404, "no such node") } else { too_early() };
    }
    let refused =
        || if sessions_complete { error_reply(409, "too few store machines would remain") } else { too_early() };
    let command = StartRetire { node: node.into(), stores, min_remaining, order_id };
    order_reply(control.propose(CommandPayload::StartRetire(command)).await, conflict, refused)
}
