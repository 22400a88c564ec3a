//! What operators ask over HTTP.

use crate::plumb::Plumb;
use crate::rack::*;
use crate::shop::Shop;
use bytes::Bytes;
use dovetail::msg::{Retire, Rollout};
use gauge::Template;
use spindle::{Bounds, Closing, Reply, Request};
use std::sync::Arc;
use tokio::sync::watch;

fn fault(status: u16, why: &str) -> Reply {
    Reply::json(status, serde_json::json!({ "fault": why }).to_string())
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
    let bounds = Bounds { body_bytes: 2 << 20, ..Bounds::default() };
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

async fn answer(shop: &Arc<Shop>, r: Request) -> Reply {
    let path = r.path.split('?').next().unwrap_or("").to_owned();
    let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
    if parts[..] == ["status"] {
        return Reply::json(200, shop.status());
    }
    if !shop.holds_leadership() {
        return match shop.leader_control() {
            Some(addr) => Reply::new(307).with("Location", format!("http://{addr}{}", r.path)),
            None => fault(503, "no foreman leads").with("Retry-After", "1"),
        };
    }
    match (r.method.as_str(), &parts[..]) {
        ("POST", ["config", "replace"]) => put(shop, &r, false).await,
        ("POST", ["config", "adjust"]) => put(shop, &r, true).await,
        ("GET", ["config", "read"]) => {
            let (revision, json) = shop.with(|f| (f.rack.revision, f.rack.template.clone()));
            if revision == 0 { fault(404, "there is no configuration yet") } else { Reply::json(200, json) }
        }
        ("POST", ["rollouts", "start"]) => start_rollout(shop, &r).await,
        ("GET", ["rollouts", plant, "read"]) => {
            match shop.with(|f| f.rack.charter.rollouts.iter().find(|x| x.plant == *plant).cloned()) {
                Some(x) => Reply::json(200, serde_json::json!({"state": x.state, "target": x.target}).to_string()),
                None => fault(404, "no roll-out of that plant"),
            }
        }
        ("POST", ["retire", node, "start"]) => start_retire(shop, node).await,
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
    let sent: serde_json::Value = match serde_json::from_slice(&r.body) {
        Ok(v) => v,
        Err(e) => return fault(400, &format!("cannot be read in full: {e}")),
    };
    let Some(revision) = sent.get("revision").and_then(serde_json::Value::as_u64) else {
        return fault(400, "revision: missing");
    };
    let print = print(&r.body);
    let (current, stored, took) =
        shop.with(|f| (f.rack.revision, f.rack.template.clone(), f.rack.took(revision, base, print)));
    if took {
        return Reply::json(200, serde_json::json!({ "revision": revision }).to_string());
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
    let template = match Template::read(&json) {
        Ok(t) => t,
        Err(e) => return fault(400, &e),
    };
    if template.revision <= current {
        return fault(400, &format!("revision: must be above {current}"));
    }
    let (json, change): (Bytes, Bytes) = if adjust && !stored.is_empty() {
        (Bytes::new(), r.body.clone())
    } else {
        let change = gauge::difference(&stored, &json).unwrap_or_default().into();
        (json, change)
    };
    match shop.propose(Word::Template(PutTemplate { base, revision, json, print, change })).await {
        Some(Applied::Done) => {
            tally::change!("configuration {revision} taken");
            Reply::json(200, serde_json::json!({ "revision": revision }).to_string())
        }
        Some(Applied::Beaten) => {
            if shop.with(|f| f.rack.took(revision, base, print)) {
                return Reply::json(200, serde_json::json!({ "revision": revision }).to_string());
            }
            fault(412, "another configuration came first")
        }
        None => fault(504, "it may or may not be in force: send it again unchanged"),
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
    let (known, running, old) = shop.with(|f| {
        let known = Template::read(&f.rack.template).is_ok_and(|t| t.plant(&s.plant).is_some());
        let running = f.rack.charter.rollouts.iter().find(|x| x.plant == s.plant && x.state == "running").cloned();
        let mut old: Vec<String> = f
            .roster
            .units
            .iter()
            .filter(|u| u.plant == s.plant && u.revision != s.target)
            .map(|u| u.revision.clone())
            .collect();
        old.sort();
        old.dedup();
        (known, running, old)
    });
    if !known {
        return fault(404, "unknown plant");
    }
    if running.is_some() {
        return fault(409, "a roll-out of that plant is under way");
    }
    let Some(began_ms) = shop.time() else {
        return fault(503, "the time is not known yet").with("Retry-After", "1");
    };
    let now = Rollout {
        plant: s.plant.clone(),
        target: s.target,
        state: "running".into(),
        share: Plumb::first_share(shop.caliper.constraints.exposure),
        within_ms: (s.within_s * 1000.0) as u64,
        old,
        spent: 0,
        began_ms,
    };
    shop.forget_plumb(&s.plant);
    match shop.propose(Word::Rollout(now)).await {
        Some(_) => Reply::json(200, r#"{"state":"running"}"#),
        None => fault(504, "it may or may not have been started"),
    }
}

async fn start_retire(shop: &Arc<Shop>, node: &str) -> Reply {
    let left = shop.caliper.tolerance.machines as usize + 1;
    let state = shop.with(|f| {
        let under = f.rack.charter.retires.iter().any(|x| x.node == node);
        let lathes: Vec<&str> =
            f.roster.nodes.iter().filter(|n| n.role == "lathe" && !n.leaving).map(|n| n.name.as_str()).collect();
        let holds = f.rack.charter.partitions.iter().any(|p| p.homes.iter().any(|h| h == node));
        let staying =
            lathes.iter().filter(|n| **n != node && !f.rack.charter.retires.iter().any(|x| x.node == **n)).count();
        (under, lathes.contains(&node) || holds, staying)
    });
    match state {
        (true, _, _) => fault(409, "it is being retired"),
        (_, false, _) => fault(404, "no such node"),
        (_, _, staying) if staying < left => fault(409, "too few would be left"),
        _ => match shop.propose(Word::Retire(Retire { node: node.into(), done: false })).await {
            Some(_) => Reply::json(200, r#"{"state":"running"}"#),
            None => fault(504, "it may or may not have been started"),
        },
    }
}
