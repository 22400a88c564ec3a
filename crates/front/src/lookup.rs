//! Client queries for the state and the body of a message.
//!
//! Only the owner of a partition answers for the state of a message. The body of a message never
//! changes once it is committed, so any replica that holds it may return it when the owner cannot be
//! reached (docs/design/durability.md).

use crate::ingest::{FrontService, fault, stale};
use crate::owner_calls::OwnerAddress;
use crate::tenancy::{Refusal, optional_tenant};
use agent::ClusterView;
use config::ConfigurationIndex;
use http1::{Closing, Reply, Request};
use rpc::Body;
use rpc::messages::{Found, Lookup};
use std::fmt;
use std::time::{Duration, Instant};
use telemetry::Throttle;

/// The part of `notifyS` within which a query is answered. Clients wait for about half of the callback
/// bound.
const ANSWER_FRACTION: f64 = 0.35;
/// A call to an owner times out after the time for the answer divided by this.
const OWNER_TIMEOUT_DIVISOR: u32 = 4;
/// A call to another replica times out after the time for the answer divided by this.
const REPLICA_TIMEOUT_DIVISOR: u32 = 8;
/// Minimum time between two log lines about unanswered queries.
const LOG_PERIOD: Duration = Duration::from_secs(1);

static MISS_LOG: Throttle = Throttle::new();

/// Why the owner of a partition did not answer a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LookupMiss {
    /// The owner or its address is unknown to this front.
    NoOwner,
    /// The node assigned as the owner answered that it does not own the partition.
    NotOwner,
    /// No answer arrived in time.
    TimedOut,
}

impl LookupMiss {
    fn counter(self) -> &'static str {
        match self {
            LookupMiss::NoOwner => "lookups_without_owner",
            LookupMiss::NotOwner => "lookups_refused_by_owner",
            LookupMiss::TimedOut => "lookups_not_answered",
        }
    }
}

impl fmt::Display for LookupMiss {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            LookupMiss::NoOwner => "owner unknown",
            LookupMiss::NotOwner => "node does not own the partition",
            LookupMiss::TimedOut => "owner did not answer",
        })
    }
}

/// A client's query.
struct Query<'a> {
    /// The name or the id of the message.
    name: &'a str,
    /// Partition and position, if `name` is a message name.
    position: Option<(u32, u64)>,
    host: &'a str,
    tenant: &'a str,
    wants_body: bool,
}

impl Query<'_> {
    /// Partitions that may hold the message.
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

    /// Whether the client may see the message that was found.
    fn is_visible(&self, found: &Found) -> bool {
        let same = |host: &str| host.split(':').next().unwrap_or("").to_ascii_lowercase();
        (found.tenant.is_empty() || found.tenant == self.tenant) && same(&found.host) == same(self.host)
    }

    /// The reply for a message that the client may see.
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

/// The name of the tenant that sends a query; empty without a key.
fn querying_tenant<'a>(configuration: &'a ConfigurationIndex, request: &Request) -> Result<&'a str, Refusal> {
    if !configuration.has_tenants() {
        return Ok("");
    }
    Ok(optional_tenant(configuration, request)?.map_or("", |tenant| &tenant.name))
}

/// Parses the name of a message into partition and position. `None` for any other spelling, such as
/// one with a sign or leading zeros, as no message has such a name.
fn position_of(name: &str) -> Option<(u32, u64)> {
    let (partition, position) = name.split_once('-')?;
    let (partition, position) = (partition.parse().ok()?, position.parse().ok()?);
    (format!("{partition}-{position}") == name).then_some((partition, position))
}

/// Addresses of the store nodes, other than the owner, that hold or held a replica of a partition.
fn replica_addresses(view: &ClusterView, partition: u32) -> Vec<String> {
    let Some(partition) = view.assignments.partitions.iter().find(|p| p.id == partition) else { return Vec::new() };
    let mut names: Vec<&String> = partition.in_sync.iter().chain(&partition.replicas).collect();
    names.sort_unstable();
    names.dedup();
    names.retain(|name| **name != partition.owner);
    names.into_iter().filter_map(|name| view.node(name, "store").map(|node| node.inner.clone())).collect()
}

impl FrontService {
    /// Returns the state or the body of a message.
    pub(crate) async fn look_up(&self, name: &str, request: &Request, wants_body: bool) -> Reply {
        let started = Instant::now();
        let view = self.view.borrow().clone();
        if !self.is_fresh(&view) {
            return stale();
        }
        let tenant = match querying_tenant(&view.configuration, request) {
            Ok(name) => name,
            Err(refusal) => return refusal.reply(),
        };
        let host = request.header("host").unwrap_or("");
        let query = Query { name, position: position_of(name), host, tenant, wants_body };
        // Without a key, a client cannot tell whether a tenant has sent the message.
        let not_found = || match view.configuration.has_tenants() && tenant.is_empty() {
            true => Refusal::KeyMissing.reply(),
            false => fault(404, "no such message"),
        };
        let limit = Duration::from_secs_f64(self.settings.constraints.notify_s * ANSWER_FRACTION);
        let mut unanswered = query.partitions(&view);
        while started.elapsed() < limit && *self.closing.borrow() != Closing::Ending {
            let mut missed = Vec::new();
            for partition in unanswered {
                match self.find(&query, partition, limit).await {
                    Ok(Some(found)) if query.is_visible(&found) => return query.reply(found),
                    Ok(Some(_)) => return not_found(),
                    Ok(None) => {}
                    Err(_) => missed.push(partition),
                }
            }
            if missed.is_empty() {
                return not_found();
            }
            unanswered = missed;
            tokio::time::sleep(self.quiet_fraction(200.0)).await;
        }
        telemetry::count("lookups_given_up");
        fault(503, "its owner is not known now").with("Retry-After", "1")
    }

    /// Queries a partition: its owner or, for a body that the owner does not return, any replica that
    /// holds it. `None`: the owner knows of no such message.
    async fn find(&self, query: &Query<'_>, partition: u32, limit: Duration) -> Result<Option<Found>, LookupMiss> {
        let miss = match self.ask_owner(query, partition, limit / OWNER_TIMEOUT_DIVISOR).await {
            Err(miss) => miss,
            answer => return answer,
        };
        self.record_miss(query, partition, miss);
        if !query.wants_body {
            return Err(miss);
        }
        let replicas = replica_addresses(&self.view.borrow(), partition);
        for address in replicas {
            let call = Body::Lookup(query.lookup(partition, &self.settings.region));
            let answer = self.rpc_clients.to(&address).call(call, limit / REPLICA_TIMEOUT_DIVISOR).await;
            if let Ok(Body::Found(found)) = answer
                && found.known
            {
                telemetry::count("bodies_from_copies");
                return Ok(Some(found));
            }
        }
        Err(miss)
    }

    async fn ask_owner(&self, query: &Query<'_>, partition: u32, limit: Duration) -> Result<Option<Found>, LookupMiss> {
        let address = self.owner_address(partition).ok_or(LookupMiss::NoOwner)?;
        let call = Body::Lookup(query.lookup(partition, &self.settings.region));
        match self.rpc_clients.to(&address).call(call, limit).await {
            Ok(Body::Found(found)) if found.owner => Ok(Some(found).filter(|found| found.known)),
            Ok(_) => Err(LookupMiss::NotOwner),
            Err(_) => Err(LookupMiss::TimedOut),
        }
    }

    /// Counts a query that the owner of a partition did not answer, and logs it at a limited rate.
    fn record_miss(&self, query: &Query<'_>, partition: u32, miss: LookupMiss) {
        telemetry::count(miss.counter());
        if !MISS_LOG.allows(LOG_PERIOD) {
            return;
        }
        let owner = OwnerAddress::of(&self.view.borrow(), partition);
        let (owner, term) = owner.map_or((String::new(), 0), |owner| (owner.name, owner.term));
        let what = if query.wants_body { "body" } else { "state" };
        telemetry::change!(
            "{what} of message {} not answered: {miss}; partition {partition}, owner {owner:?}, term {term}",
            query.name
        );
    }
}
