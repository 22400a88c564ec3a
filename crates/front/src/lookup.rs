//! Questions of clients for the state and the body of a message.
//!
//! A state is the owner's word alone. The bytes of a message never change once they are
//! committed, so where the owner cannot be asked any copy that holds them answers for a body
//! (docs/design/durability.md).

use crate::ingest::{FrontService, fault, stale};
use crate::owner_calls::OwnerAddress;
use crate::tenancy::{Refusal, tenant_if_any};
use agent::ClusterView;
use config::ConfigurationIndex;
use http1::{Closing, Reply, Request};
use rpc::Body;
use rpc::messages::{Found, Lookup};
use std::fmt;
use std::time::{Duration, Instant};
use telemetry::Throttle;

/// Askers wait about as long as half the call-back bound: the part of `notifyS` within which they
/// are answered.
const ANSWER_PART: f64 = 0.35;
/// How many calls to owners fit into that time.
const OWNER_CALLS: u32 = 4;
/// How many calls to other copies fit into it.
const COPY_CALLS: u32 = 8;
/// The least time between two log lines on questions that are not answered.
const LOG_PERIOD: Duration = Duration::from_secs(1);

static UNANSWERED_LOG: Throttle = Throttle::new();

/// Why the owner of a partition does not say what it knows of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LookupMiss {
    /// The owner, or its address, is not known here.
    NoOwner,
    /// The node that is known as the owner says that it cannot speak for the partition.
    NotOwner,
    /// Nothing came back in time.
    Silent,
}

impl LookupMiss {
    fn counter(self) -> &'static str {
        match self {
            LookupMiss::NoOwner => "lookups_without_owner",
            LookupMiss::NotOwner => "lookups_refused_by_owner",
            LookupMiss::Silent => "lookups_not_answered",
        }
    }
}

impl fmt::Display for LookupMiss {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            LookupMiss::NoOwner => "no owner is known",
            LookupMiss::NotOwner => "the owner does not speak for it",
            LookupMiss::Silent => "the owner does not answer",
        })
    }
}

/// What a client asks for.
struct Question<'a> {
    /// The message's name, or its id.
    name: &'a str,
    position: Option<(u32, u64)>,
    host: &'a str,
    tenant: &'a str,
    wants_body: bool,
}

impl Question<'_> {
    /// The partitions that may know the message.
    fn partitions(&self, view: &ClusterView) -> Vec<u32> {
        match self.position {
            Some((partition, _)) => vec![partition],
            None => view.assignments.partitions.iter().map(|p| p.id).collect(),
        }
    }

    fn lookup(&self, partition: u32, region: &str) -> Lookup {
        Lookup {
            partition,
            position: self.position.map_or(0, |(_, position)| position),
            body: self.wants_body,
            id: if self.position.is_some() { String::new() } else { self.name.to_owned() },
            tenant: self.tenant.to_owned(),
            region: region.to_owned(),
        }
    }

    /// Whether whoever asks may learn of a message that was found.
    fn is_visible(&self, found: &Found) -> bool {
        let same = |host: &str| host.split(':').next().unwrap_or("").to_ascii_lowercase();
        (found.tenant.is_empty() || found.tenant == self.tenant) && same(&found.host) == same(self.host)
    }

    /// The answer by what was found of a message that the asker may learn of.
    fn reply(&self, found: Found) -> Reply {
        if found.withheld {
            telemetry::count("bodies_withheld");
            return fault(503, "its body does not leave its regions: ask a front there").with("Retry-After", "1");
        }
        if self.wants_body {
            return match found.state.as_str() {
                "settled" => fault(404, "the message is settled"),
                _ => Reply { body: found.body, content_type: "application/octet-stream", ..Reply::new(200) },
            };
        }
        let text = match found.result_tag.is_empty() {
            true => serde_json::json!({ "state": found.state }),
            false => serde_json::json!({ "state": found.state, "seal": found.result_tag }),
        };
        Reply::json(200, text.to_string())
    }
}

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

/// The addresses of the store nodes that hold or held a copy of a partition, but for its owner's.
fn copy_addresses(view: &ClusterView, partition: u32) -> Vec<String> {
    let Some(partition) = view.assignments.partitions.iter().find(|p| p.id == partition) else { return Vec::new() };
    let mut names: Vec<&String> = partition.in_sync.iter().chain(&partition.replicas).collect();
    names.sort_unstable();
    names.dedup();
    names.retain(|name| **name != partition.owner);
    names.into_iter().filter_map(|name| view.node(name, "store").map(|node| node.inner.clone())).collect()
}

impl FrontService {
    /// Answers with the state of a message, or with its body.
    pub(crate) async fn look_up(&self, name: &str, r: &Request, wants_body: bool) -> Reply {
        let begun = Instant::now();
        let known = self.view.borrow().clone();
        if !self.is_fresh(&known) {
            return stale();
        }
        let tenant = match asking_tenant(&known.configuration, r) {
            Ok(name) => name,
            Err(refusal) => return refusal.reply(),
        };
        let host = r.header("host").unwrap_or("");
        let question = Question { name, position: position_of(name), host, tenant, wants_body };
        // Whoever shows no key learns nothing of what tenants have sent.
        let unknown = || match known.configuration.has_tenants() && tenant.is_empty() {
            true => Refusal::KeyMissing.reply(),
            false => fault(404, "no such message"),
        };
        let limit = Duration::from_secs_f64(self.settings.constraints.notify_s * ANSWER_PART);
        let mut wanted = question.partitions(&known);
        while begun.elapsed() < limit && *self.closing.borrow() != Closing::Ending {
            let mut open = Vec::new();
            for partition in wanted {
                match self.find(&question, partition, limit).await {
                    Ok(Some(found)) if question.is_visible(&found) => return question.reply(found),
                    Ok(Some(_)) => return unknown(),
                    Ok(None) => {}
                    Err(_) => open.push(partition),
                }
            }
            if open.is_empty() {
                return unknown();
            }
            wanted = open;
            tokio::time::sleep(self.quiet_fraction(200.0)).await;
        }
        telemetry::count("lookups_given_up");
        fault(503, "its owner is not known now").with("Retry-After", "1")
    }

    /// What a partition knows of a message: by its owner's word or, for a body, by that of any
    /// copy that has it. `None`: its owner knows of no such message.
    async fn find(
        &self,
        question: &Question<'_>,
        partition: u32,
        limit: Duration,
    ) -> Result<Option<Found>, LookupMiss> {
        let miss = match self.ask_owner(question, partition, limit / OWNER_CALLS).await {
            Err(miss) => miss,
            answer => return answer,
        };
        self.note_miss(question, partition, miss);
        if !question.wants_body {
            return Err(miss);
        }
        let copies = copy_addresses(&self.view.borrow(), partition);
        for address in copies {
            let call = Body::Lookup(question.lookup(partition, &self.settings.region));
            let answer = self.rpc_clients.to(&address).call(call, limit / COPY_CALLS).await;
            if let Ok(Body::Found(found)) = answer
                && found.known
            {
                telemetry::count("bodies_from_copies");
                return Ok(Some(found));
            }
        }
        Err(miss)
    }

    async fn ask_owner(
        &self,
        question: &Question<'_>,
        partition: u32,
        limit: Duration,
    ) -> Result<Option<Found>, LookupMiss> {
        let address = self.owner_address(partition).ok_or(LookupMiss::NoOwner)?;
        let call = Body::Lookup(question.lookup(partition, &self.settings.region));
        match self.rpc_clients.to(&address).call(call, limit).await {
            Ok(Body::Found(found)) if found.owner => Ok(Some(found).filter(|found| found.known)),
            Ok(_) => Err(LookupMiss::NotOwner),
            Err(_) => Err(LookupMiss::Silent),
        }
    }

    /// Counts a question that the owner of a partition did not answer, and logs some of them.
    fn note_miss(&self, question: &Question<'_>, partition: u32, miss: LookupMiss) {
        telemetry::count(miss.counter());
        if !UNANSWERED_LOG.allows(LOG_PERIOD) {
            return;
        }
        let owner = OwnerAddress::of(&self.view.borrow(), partition);
        let (owner, term) = owner.map_or((String::new(), 0), |owner| (owner.name, owner.term));
        let what = if question.wants_body { "body" } else { "state" };
        telemetry::change!("{what} of {}: {miss}: partition {partition}, owner {owner:?}, term {term}", question.name);
    }
}
