//! Questions of clients for the state and the body of a message.

use crate::ingest::{FrontService, fault, stale};
use crate::tenancy::{Refusal, tenant_if_any};
use config::ConfigurationIndex;
use http1::{Closing, Reply, Request};
use rpc::messages::Lookup;
use rpc::{Body, ExecutionOutcome};
use std::time::{Duration, Instant};

/// The tenant that asks for a message; empty for whoever shows no key.
fn asking_tenant<'a>(configuration: &'a ConfigurationIndex, r: &Request) -> Result<&'a str, Refusal> {
    if !configuration.has_tenants() {
        return Ok("");
    }
    Ok(tenant_if_any(configuration, r)?.map_or("", |tenant| &tenant.name))
}

/// The partition and position that a message's name stands for; `None` if no message has it, as
/// with a sign or leading zeros.
fn position_of(name: &str) -> Option<(u32, u64)> {
    let (partition, position) = name.split_once('-')?;
    let place = (partition.parse().ok()?, position.parse().ok()?);
    (format!("{}-{}", place.0, place.1) == name).then_some(place)
}

impl FrontService {
    /// Answers with the state of a message, or with its body.
    pub(crate) async fn look_up(&self, name: &str, r: &Request, body: bool) -> Reply {
        let begun = Instant::now();
        let known = self.known.borrow().clone();
        if !self.is_fresh(&known) {
            return stale();
        }
        let host = r.header("host").unwrap_or("");
        let asker = match asking_tenant(&known.configuration, r) {
            Ok(name) => name,
            Err(refusal) => return refusal.reply(),
        };
        // Whoever shows no key learns nothing of what tenants have sent.
        let unknown = || match known.configuration.has_tenants() && asker.is_empty() {
            true => Refusal::KeyMissing.reply(),
            false => fault(404, "no such message"),
        };
        let parsed = position_of(name);
        // Askers wait about as long as half the call-back bound; answer inside that.
        let limit = Duration::from_millis((self.settings.constraints.notify_s * 350.0) as u64);
        let mut wanted: Vec<u32> = match parsed {
            Some((p, _)) => vec![p],
            None => self.known.borrow().assignments.partitions.iter().map(|p| p.id).collect(),
        };
        while begun.elapsed() < limit && *self.closing.borrow() != Closing::Ending {
            let mut open = Vec::new();
            for p in wanted {
                let lookup = Lookup {
                    partition: p,
                    position: parsed.map_or(0, |n| n.1),
                    body,
                    id: if parsed.is_some() { String::new() } else { name.to_owned() },
                    tenant: asker.to_owned(),
                    region: self.settings.region.clone(),
                };
                let addr = self.owner(p);
                let found = match addr {
                    Some(a) => self.rpc_clients.to(&a).call(Body::Lookup(lookup), limit / 4).await,
                    None => Err(ExecutionOutcome::NotRun),
                };
                match found {
                    Ok(Body::Found(f)) if f.owner && f.known => {
                        let same = |h: &str| h.split(':').next().unwrap_or("").to_ascii_lowercase();
                        let visible = f.tenant.is_empty() || f.tenant == asker;
                        if !visible || same(&f.host) != same(host) {
                            return unknown();
                        }
                        if f.withheld {
                            telemetry::count("bodies_withheld");
                            return fault(503, "its body does not leave its regions: ask a front there")
                                .with("Retry-After", "1");
                        }
                        if body {
                            return if f.state == "settled" {
                                fault(404, "the message is settled")
                            } else {
                                Reply { body: f.body, content_type: "application/octet-stream", ..Reply::new(200) }
                            };
                        }
                        let text = if f.result_tag.is_empty() {
                            serde_json::json!({ "state": f.state })
                        } else {
                            serde_json::json!({ "state": f.state, "seal": f.result_tag })
                        };
                        return Reply::json(200, text.to_string());
                    }
                    Ok(Body::Found(f)) if f.owner => {}
                    _ => open.push(p),
                }
            }
            if open.is_empty() {
                return unknown();
            }
            wanted = open;
            tokio::time::sleep(self.ratio(200.0)).await;
        }
        fault(503, "its owner is not known now").with("Retry-After", "1")
    }
}
