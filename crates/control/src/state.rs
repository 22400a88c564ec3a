//! The replicated state machine of the control plane: the operator's configuration and orders,
//! and which node owns each partition in which term.

use crate::evacuation::{ColdKnown, EvacuateZone};
use bytes::Bytes;
use config::ConfigurationDocument;
use prost::Message;
use rpc::messages::{Assignments, ConfigurationStep, Grant, Order, OrderKind, Partition, Retire, Rollout};
use sha2::{Digest as _, Sha256};

/// Repeats are recognised for this many of the newest configurations.
const MAX_KNOWN_CONFIGURATIONS: usize = 1024;
/// Repeats are recognised for at most this many other orders, until they expire.
const MAX_KNOWN_ORDERS: usize = 256;

#[derive(Clone, PartialEq, prost::Message)]
pub struct ControlState {
    #[prost(message, required, tag = "1")]
    pub assignments: Assignments,
    /// The configuration in force, as JSON.
    #[prost(bytes = "bytes", tag = "2")]
    pub configuration: Bytes,
    #[prost(uint64, tag = "3")]
    pub revision: u64,
    /// The newest accepted configurations, by which repeats are recognised.
    #[prost(message, repeated, tag = "4")]
    pub accepted: Vec<KnownConfiguration>,
    /// The latest changes of the configuration, for nodes that lack only these.
    #[prost(message, repeated, tag = "5")]
    pub steps: Vec<ConfigurationStep>,
    /// The index of the last applied entry, so that a snapshot records its own position.
    #[prost(uint64, tag = "6")]
    pub applied: u64,
    /// Accepted roll-outs and retires, for as long as they may be sent again.
    #[prost(message, repeated, tag = "7")]
    pub orders: Vec<OrderId>,
    /// The latest cluster time of a command, in ms; the time of a new leader does not start below it.
    #[prost(uint64, tag = "15")]
    pub reached_ms: u64,
}

/// Identifies an accepted configuration.
#[derive(Clone, PartialEq, prost::Message)]
pub struct KnownConfiguration {
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    #[prost(uint64, tag = "2")]
    pub base: u64,
    /// Computed by `digest`.
    #[prost(bytes = "bytes", tag = "4")]
    pub digest: Bytes,
}

/// The identity of an order other than a configuration, and how long it is valid.
#[derive(Clone, PartialEq, prost::Message)]
pub struct OrderId {
    /// Computed by `digest`.
    #[prost(bytes = "bytes", tag = "1")]
    pub digest: Bytes,
    /// The cluster time when it was proposed, in ms.
    #[prost(uint64, tag = "2")]
    pub at_ms: u64,
    /// Until this cluster time, in ms, the same bytes are a repeat of this order.
    #[prost(uint64, tag = "3")]
    pub until_ms: u64,
}

/// The identity of an order: SHA-256 over everything that distinguishes it from others, each
/// part preceded by its length. `name` is that of the service or node; empty for a configuration.
pub fn digest(kind: &str, name: &str, base: u64, number: u64, body: &[u8]) -> Bytes {
    let mut h = Sha256::new();
    for part in [kind.as_bytes(), name.as_bytes(), &base.to_be_bytes(), &number.to_be_bytes(), body] {
        h.update((part.len() as u64).to_be_bytes());
        h.update(part);
    }
    Bytes::copy_from_slice(&h.finalize())
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct Command {
    #[prost(oneof = "CommandPayload", tags = "1, 2, 5, 6, 7, 8, 9, 10, 11, 12")]
    pub payload: Option<CommandPayload>,
    /// The cluster time when it was proposed, in ms; 0 if it was not known.
    #[prost(uint64, tag = "15")]
    pub at_ms: u64,
}

#[derive(Clone, PartialEq, prost::Oneof)]
#[allow(clippy::large_enum_variant)] // Commands are short-lived.
pub enum CommandPayload {
    #[prost(message, tag = "1")]
    Configuration(PutConfiguration),
    #[prost(message, tag = "2")]
    Partition(PutPartition),
    #[prost(message, tag = "5")]
    Layout(Layout),
    #[prost(message, tag = "6")]
    StartRollout(StartRollout),
    #[prost(message, tag = "7")]
    PutRollout(PutRollout),
    #[prost(message, tag = "8")]
    StartRetire(StartRetire),
    #[prost(message, tag = "9")]
    FinishRetire(FinishRetire),
    #[prost(message, tag = "10")]
    Evacuate(EvacuateZone),
    #[prost(message, tag = "11")]
    ColdKnown(ColdKnown),
    /// The partitions of one region, for messages bound to that region.
    #[prost(message, tag = "12")]
    HomeLayout(Layout),
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct PutConfiguration {
    #[prost(uint64, tag = "1")]
    pub base: u64,
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    #[prost(bytes = "bytes", tag = "3")]
    pub json: Bytes,
    /// Identifies the operator's request, to recognise repeats; computed by `digest`.
    #[prost(bytes = "bytes", tag = "6")]
    pub digest: Bytes,
    /// The change in the operators' format; empty if it would be too large. If `json` is empty, only
    /// the change is logged.
    #[prost(bytes = "bytes", tag = "5")]
    pub change: Bytes,
}

/// Changes one partition if it is still as the proposer saw it.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PutPartition {
    #[prost(message, required, tag = "1")]
    pub was: Partition,
    #[prost(message, required, tag = "2")]
    pub now: Partition,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct Layout {
    #[prost(message, repeated, tag = "1")]
    pub partitions: Vec<Partition>,
}

/// Starts a roll-out, unless one of the same service is running.
#[derive(Clone, PartialEq, prost::Message)]
pub struct StartRollout {
    #[prost(message, required, tag = "1")]
    pub rollout: Rollout,
    #[prost(message, required, tag = "2")]
    pub order_id: OrderId,
}

/// Changes a roll-out if it is still as the judge saw it.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PutRollout {
    #[prost(message, required, tag = "1")]
    pub was: Rollout,
    #[prost(message, required, tag = "2")]
    pub now: Rollout,
}

/// Starts to drain a store machine, if enough others remain.
#[derive(Clone, PartialEq, prost::Message)]
pub struct StartRetire {
    #[prost(string, tag = "1")]
    pub node: String,
    /// The live store machines that are not shutting down, as the proposer saw them.
    #[prost(string, repeated, tag = "2")]
    pub stores: Vec<String>,
    /// The number of them that must remain.
    #[prost(uint32, tag = "3")]
    pub min_remaining: u32,
    #[prost(message, required, tag = "4")]
    pub order_id: OrderId,
}

/// Finishes the retire that was started by the entry `began`, if the node has been drained.
#[derive(Clone, PartialEq, prost::Message)]
pub struct FinishRetire {
    #[prost(string, tag = "1")]
    pub node: String,
    #[prost(uint64, tag = "2")]
    pub began: u64,
    /// The target number of copies of each partition.
    #[prost(uint32, tag = "3")]
    pub replica_count: u32,
    #[prost(uint64, tag = "4")]
    pub born: u64,
}

/// The result of applying a command; it is the same on every control node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyResult {
    Done,
    /// A repeat of an accepted order; changes nothing.
    Repeated,
    /// Another command was applied first, or another order is in progress.
    Conflict,
    /// The current state does not permit it.
    Refused,
    /// The command cannot be decoded; changes nothing.
    Undecoded,
}

/// The target number of copies of a partition. It is lower for a region that has fewer store
/// machines than `replica_count`.
pub(crate) fn copies_of(p: &Partition, replica_count: usize) -> usize {
    if p.home.is_empty() { replica_count } else { replica_count.min(p.replicas.len()) }
}

/// Whether a node holds nothing any more, and every partition has its copies on other nodes.
pub fn is_drained(partitions: &[Partition], node: &str, replica_count: usize) -> bool {
    !partitions.iter().any(|p| {
        p.owner == node
            || p.replicas.iter().any(|h| h == node)
            || p.in_sync.iter().any(|n| n == node)
            || p.in_sync.len() < copies_of(p, replica_count)
            || p.grant.is_some()
    })
}

pub use rpc::fingerprint;

/// Appends the partitions of a region, if it has none yet and their ids are free; returns whether
/// it did.
fn add_home_partitions(all: &mut Vec<Partition>, new: Vec<Partition>, index: u64) -> bool {
    let is_taken = |p: &Partition| p.home.is_empty() || all.iter().any(|q| q.home == p.home || q.id == p.id);
    if all.is_empty() || new.is_empty() || new.iter().any(is_taken) {
        return false;
    }
    all.extend(new.into_iter().map(|p| Partition { changed: index, ..p }));
    true
}

impl ControlState {
    /// Applies the command of a log entry.
    pub fn apply(&mut self, index: u64, data: &Bytes) -> ApplyResult {
        self.apply_with(&mut ConfigurationDocument::default(), index, data)
    }

    /// As `apply`; `document` is the parsed configuration in force, or an empty one.
    pub fn apply_with(&mut self, document: &mut ConfigurationDocument, index: u64, data: &Bytes) -> ApplyResult {
        self.applied = index;
        if data.is_empty() {
            return ApplyResult::Done; // An entry of Raft itself.
        }
        let Ok(Command { payload: Some(payload), at_ms }) = Command::decode(data.clone()) else {
            telemetry::count("commands_undecoded");
            return ApplyResult::Undecoded;
        };
        self.reached_ms = self.reached_ms.max(at_ms);
        match payload {
            CommandPayload::Configuration(t) => {
                if self.knows_configuration(&t.digest) {
                    return ApplyResult::Repeated;
                }
                if t.base != self.revision || t.revision <= self.revision {
                    return ApplyResult::Conflict;
                }
                // Changes of named items are logged as changes; applying them gives the same
                // configuration on every node.
                let json = if t.json.is_empty() {
                    match self.apply_change(document, &t.change) {
                        Ok(j) => j,
                        Err(_) => return ApplyResult::Refused,
                    }
                } else {
                    *document = ConfigurationDocument::default(); // Outdated, and many times the size of the text.
                    t.json
                };
                if t.change.is_empty() {
                    self.steps.clear();
                } else {
                    let (since, revision) = (self.revision, t.revision);
                    self.steps.push(ConfigurationStep {
                        since,
                        revision,
                        change: t.change,
                        fingerprint: fingerprint(&json),
                    });
                    let limit = json.len() / 2;
                    while self.steps.iter().map(|s| s.change.len()).sum::<usize>() > limit {
                        self.steps.remove(0);
                    }
                }
                self.configuration = json;
                self.revision = t.revision;
                self.accepted.push(KnownConfiguration { revision: t.revision, base: t.base, digest: t.digest });
                if self.accepted.len() > MAX_KNOWN_CONFIGURATIONS {
                    self.accepted.remove(0);
                }
                return ApplyResult::Done;
            }
            CommandPayload::Partition(p) => {
                let Some(slot) = self.assignments.partitions.iter_mut().find(|x| x.id == p.was.id) else {
                    return ApplyResult::Conflict;
                };
                if *slot != p.was {
                    return ApplyResult::Conflict;
                }
                *slot = p.now;
                slot.changed = index;
            }
            CommandPayload::StartRollout(StartRollout { rollout, order_id }) => {
                let slot = self.assignments.rollouts.iter().position(|x| x.service == rollout.service);
                let running = slot.is_some_and(|i| self.assignments.rollouts[i].state == "running");
                if self.knows_order(&order_id, running) {
                    return ApplyResult::Repeated;
                }
                if running {
                    return ApplyResult::Conflict;
                }
                let former = slot.map(|i| self.assignments.rollouts.remove(i));
                let rejected = former.map_or_else(Vec::new, |former| former.rejected_before(&rollout.target));
                self.assignments.rollouts.push(Rollout { began: index, rejected, ..rollout });
                self.record_order(order_id);
            }
            CommandPayload::PutRollout(PutRollout { was, now }) => {
                let slot = self.assignments.rollouts.iter_mut().find(|x| x.is_same_step(&was));
                let Some(slot) = slot.filter(|x| x.state == "running") else {
                    return ApplyResult::Conflict;
                };
                let rejected = std::mem::take(&mut slot.rejected);
                *slot = Rollout { service: was.service, began: was.began, rejected, ..now };
            }
            CommandPayload::StartRetire(r) => {
                let running = self.assignments.retires.iter().any(|x| x.node == r.node && !x.done);
                if self.knows_order(&r.order_id, running) {
                    return ApplyResult::Repeated;
                }
                if running {
                    return ApplyResult::Conflict;
                }
                let stays = |n: &&String| **n != r.node && !self.is_retired(n);
                if r.stores.iter().filter(stays).count() < r.min_remaining as usize {
                    return ApplyResult::Refused;
                }
                self.assignments.retires.retain(|x| x.node != r.node);
                self.assignments.retires.push(Retire { node: r.node, done: false, began: index, born: 0 });
                self.record_order(r.order_id);
            }
            CommandPayload::FinishRetire(r) => {
                let empty = is_drained(&self.assignments.partitions, &r.node, r.replica_count as usize);
                let slot =
                    self.assignments.retires.iter_mut().find(|x| x.node == r.node && x.began == r.began && !x.done);
                let Some(slot) = slot.filter(|_| empty) else {
                    return ApplyResult::Conflict;
                };
                slot.done = true;
                slot.born = r.born;
            }
            CommandPayload::Evacuate(order) => {
                if !order.apply(&mut self.assignments.evacuations, index) {
                    return ApplyResult::Repeated;
                }
            }
            CommandPayload::ColdKnown(known) => {
                if !known.apply(&mut self.assignments.evacuations) {
                    return ApplyResult::Conflict;
                }
            }
            CommandPayload::HomeLayout(layout) => {
                if !add_home_partitions(&mut self.assignments.partitions, layout.partitions, index) {
                    return ApplyResult::Conflict;
                }
            }
            CommandPayload::Layout(l) => {
                if !self.assignments.partitions.is_empty() {
                    return ApplyResult::Conflict;
                }
                self.assignments.partitions = l.partitions;
                for p in &mut self.assignments.partitions {
                    p.changed = index;
                }
            }
        }
        self.assignments.version = index;
        ApplyResult::Done
    }

    /// The complete configuration that results from a change of the one in force.
    fn apply_change(&self, document: &mut ConfigurationDocument, change: &[u8]) -> Result<Bytes, String> {
        if document.revision != self.revision {
            *document = ConfigurationDocument::read(self.revision, &self.configuration)?;
        }
        let resulting = document.adjust(change).and_then(|()| document.text());
        if resulting.is_err() {
            *document = ConfigurationDocument::default();
        }
        resulting.map(Bytes::from)
    }

    /// The update for a node that has revision `have`: the changes since, or else the complete
    /// configuration.
    pub fn since(&self, have: u64) -> (Option<Bytes>, Vec<ConfigurationStep>) {
        if self.revision <= have {
            return (None, Vec::new());
        }
        match self.steps.iter().position(|s| s.since == have) {
            Some(at) => (None, self.steps[at..].to_vec()),
            None => (Some(self.configuration.clone()), Vec::new()),
        }
    }

    /// Whether a configuration request is a repeat of an accepted one.
    pub fn knows_configuration(&self, digest: &[u8]) -> bool {
        !digest.is_empty() && self.accepted.iter().any(|t| t.digest == digest)
    }

    /// Whether an order is a repeat of an accepted one. While what it asks for is `running`, its
    /// expiry is ignored.
    pub fn knows_order(&self, order: &OrderId, running: bool) -> bool {
        let same = |t: &&OrderId| !order.digest.is_empty() && t.digest == order.digest;
        self.orders.iter().find(same).is_some_and(|t| running || order.at_ms <= t.until_ms)
    }

    fn record_order(&mut self, order: OrderId) {
        self.orders.retain(|t| t.digest != order.digest && order.at_ms <= t.until_ms);
        if self.orders.len() >= MAX_KNOWN_ORDERS {
            self.orders.remove(0);
        }
        self.orders.push(order);
    }

    /// Whether a store machine is being drained, or has been drained and still holds nothing.
    fn is_retired(&self, node: &str) -> bool {
        let holds = || self.assignments.partitions.iter().any(|p| p.replicas.iter().any(|h| h == node));
        self.assignments.retires.iter().any(|r| r.node == node && (!r.done || !holds()))
    }
}

/// The decision on a partition order.
#[derive(Debug, PartialEq)]
pub enum OrderVerdict {
    /// Granted: the partition is to be changed to this.
    Put(Partition),
    /// The partition is already as the order asks.
    AlreadyInForce,
    Refused,
}

/// Decides on an order by the current state of its partition.
pub fn evaluate_order(p: &Partition, order: &Order) -> OrderVerdict {
    let kind = OrderKind::try_from(order.kind).unwrap_or(OrderKind::None);
    let mut now = p.clone();
    match kind {
        OrderKind::Grant => {
            if order.term != p.term || order.node == p.owner || !p.in_sync.contains(&order.node) {
                return OrderVerdict::Refused;
            }
            let in_sync: Vec<String> = p.in_sync.iter().filter(|n| **n != order.leaving).cloned().collect();
            if let Some(g) = &p.grant {
                return if g.candidate == order.node { OrderVerdict::AlreadyInForce } else { OrderVerdict::Refused };
            }
            now.grant = Some(Grant { term: p.term + 1, candidate: order.node.clone(), in_sync });
        }
        OrderKind::Own => {
            if p.owner == order.node && p.term == order.term {
                return OrderVerdict::AlreadyInForce;
            }
            match &p.grant {
                Some(g) if g.term == order.term && g.candidate == order.node => {
                    now.owner = g.candidate.clone();
                    now.term = g.term;
                    now.in_sync = g.in_sync.clone();
                    now.grant = None;
                    now.seized = false;
                    now.set_joined(&order.node, order.incarnation);
                }
                _ => return OrderVerdict::Refused,
            }
        }
        OrderKind::Join => {
            if order.term != p.term || p.grant.is_some() {
                return OrderVerdict::Refused;
            }
            if p.in_sync.contains(&order.node) && p.joined_incarnation(&order.node) == order.incarnation {
                return OrderVerdict::AlreadyInForce;
            }
            now.in_sync.retain(|n| *n != order.node);
            now.in_sync.push(order.node.clone());
            now.set_joined(&order.node, order.incarnation);
        }
        OrderKind::Drop => {
            if order.node == p.owner || p.grant.as_ref().is_some_and(|g| g.candidate == order.node) {
                return OrderVerdict::Refused;
            }
            if order.term != 0 && order.term != p.term {
                return OrderVerdict::Refused;
            }
            if !p.in_sync.contains(&order.node) {
                return OrderVerdict::AlreadyInForce;
            }
            now.in_sync.retain(|n| *n != order.node);
            if let Some(g) = &mut now.grant {
                g.in_sync.retain(|n| *n != order.node);
            }
        }
        // `Replace` is decided by the leader, which knows the live machines.
        OrderKind::Replace | OrderKind::None => return OrderVerdict::Refused,
    }
    OrderVerdict::Put(now)
}

/// To what extent a store node's copies of partitions count.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CopyHealth {
    /// Its session is live, its disk is healthy, and it still holds what it had when it was last in sync.
    Sound,
    /// Its session is live, but its disk does not keep up: it may own nothing, and its copy counts
    /// only until another node holds one in its place.
    Impaired,
    /// Its copy does not count.
    Gone,
}

impl CopyHealth {
    fn counts(self) -> bool {
        self != CopyHealth::Gone
    }
}

/// The change that a partition needs after incarnations of its nodes have ended, or if nodes may
/// not own anything; None if it needs none or none is possible. `incarnation` gives the current
/// incarnation of a node if it has reported one: a node that has not is presumed to be unchanged,
/// but does not become the owner.
pub fn seize(
    p: &Partition,
    health: impl Fn(&str) -> CopyHealth,
    incarnation: impl Fn(&str) -> Option<u64>,
) -> Option<Partition> {
    let mut now = p.clone();
    let is_sound = |n: &str| health(n) == CopyHealth::Sound;
    // An owner in another incarnation has lost the state of its term, so a new term is needed.
    let owner_continues =
        is_sound(&p.owner) && incarnation(&p.owner).is_none_or(|l| l == p.joined_incarnation(&p.owner));
    if owner_continues && p.grant.as_ref().is_none_or(|g| is_sound(&g.candidate)) {
        // Only followers can be gone: they are removed, so that the owner need not wait for them.
        now.in_sync.retain(|n| *n == p.owner || health(n).counts());
        if let Some(g) = &mut now.grant {
            g.in_sync.retain(|n| *n == g.candidate || health(n).counts());
        }
        return (now != *p).then_some(now);
    }
    // While a grant is pending, the candidate may already have resumed after the stop marker:
    // only the nodes that both terms write to hold everything.
    let eligible: Vec<&String> = p
        .in_sync
        .iter()
        .filter(|n| p.grant.as_ref().is_none_or(|g| g.in_sync.contains(n)))
        .filter(|n| health(n).counts())
        .collect();
    let candidates = || eligible.iter().filter(|n| is_sound(n) && incarnation(n).is_some());
    let next = candidates()
        .find(|n| **n != &p.owner && p.replicas.first() == Some(**n))
        .or(candidates().find(|n| **n != &p.owner))
        .or(candidates().next())?;
    now.owner = next.to_string();
    now.term = p.grant.as_ref().map_or(p.term, |g| g.term) + 1;
    now.in_sync = eligible.iter().map(|n| n.to_string()).collect();
    now.grant = None;
    now.seized = true;
    now.set_joined(next, incarnation(next)?);
    Some(now)
}

/// Gives a partition an owner in a new term if none acts as its owner, although nodes that hold all
/// of it are live, as after all processes ended at once. The former owner is preferred.
pub fn restore_owner(
    p: &Partition,
    health: impl Fn(&str) -> CopyHealth,
    incarnation: impl Fn(&str) -> Option<u64>,
) -> Option<Partition> {
    let holders = || {
        let eligible = p.in_sync.iter().filter(|n| p.grant.as_ref().is_none_or(|g| g.in_sync.contains(n)));
        eligible.filter(|n| health(n).counts())
    };
    let sound = || holders().filter(|n| health(n) == CopyHealth::Sound);
    let next = sound().find(|n| **n == p.owner).or_else(|| sound().next())?;
    let mut now = Partition {
        owner: next.clone(),
        term: p.grant.as_ref().map_or(p.term, |g| g.term) + 1,
        in_sync: holders().cloned().collect(),
        grant: None,
        seized: true,
        ..p.clone()
    };
    now.set_joined(next, incarnation(next)?);
    Some(now)
}
