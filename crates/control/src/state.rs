//! The state that the majority log folds into: the operator's word, and who
//! owns which partition at which term.

use crate::evacuation::{ColdKnown, EvacuateZone};
use bytes::Bytes;
use config::ConfigurationDocument;
use prost::Message;
use rpc::messages::{Assignments, ConfigurationStep, Grant, Order, OrderKind, Partition, Retire, Rollout};
use sha2::{Digest as _, Sha256};

/// So many configurations are known again, the newest ones.
const CONFIGURATIONS: usize = 1024;
/// So many other orders are known again, within their time.
const ORDERS: usize = 256;

#[derive(Clone, PartialEq, prost::Message)]
pub struct ControlState {
    #[prost(message, required, tag = "1")]
    pub assignments: Assignments,
    /// The configuration in force, as JSON.
    #[prost(bytes = "bytes", tag = "2")]
    pub configuration: Bytes,
    #[prost(uint64, tag = "3")]
    pub revision: u64,
    /// Every configuration that was taken, to know a repeat of it.
    #[prost(message, repeated, tag = "4")]
    pub accepted: Vec<KnownConfiguration>,
    /// The last changes of the configuration, for those that are a little behind.
    #[prost(message, repeated, tag = "5")]
    pub steps: Vec<ConfigurationStep>,
    /// The last entry of the log that is in this state: a snapshot says itself as of
    /// when it is.
    #[prost(uint64, tag = "6")]
    pub applied: u64,
    /// Roll-outs and retires that were taken, while they may be sent again.
    #[prost(message, repeated, tag = "7")]
    pub orders: Vec<OrderId>,
    /// The latest cluster time of a command, ms: a new leader's time does not begin below.
    #[prost(uint64, tag = "15")]
    pub reached_ms: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct KnownConfiguration {
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    #[prost(uint64, tag = "2")]
    pub base: u64,
    /// As `digest` makes it.
    #[prost(bytes = "bytes", tag = "4")]
    pub digest: Bytes,
}

/// The identity of an order other than a configuration, and for how long it is one.
#[derive(Clone, PartialEq, prost::Message)]
pub struct OrderId {
    /// As `digest` makes it.
    #[prost(bytes = "bytes", tag = "1")]
    pub digest: Bytes,
    /// The fleet's time when it was proposed, ms.
    #[prost(uint64, tag = "2")]
    pub at_ms: u64,
    /// Until then the same bytes are the same order, sent again; ms.
    #[prost(uint64, tag = "3")]
    pub until_ms: u64,
}

/// The identity of an order: SHA-256 over all that tells it from others, each part
/// behind its length. `name` is of the service or node; empty for a configuration.
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
    /// The cluster's time when it was proposed, ms; 0 if it was not known.
    #[prost(uint64, tag = "15")]
    pub at_ms: u64,
}

#[derive(Clone, PartialEq, prost::Oneof)]
#[allow(clippy::large_enum_variant)] // They live for one step.
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
    /// Partitions of one region, for messages that are bound to it.
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
    /// Of the operator's call, to know it again; as `digest` makes it.
    #[prost(bytes = "bytes", tag = "6")]
    pub digest: Bytes,
    /// What changed, as operators write it; empty: too much for that. With it and
    /// without `json` it is all that is logged.
    #[prost(bytes = "bytes", tag = "5")]
    pub change: Bytes,
}

/// Changes one partition if it still is what the proposer saw.
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

/// Begins a roll-out, unless one of that service is running.
#[derive(Clone, PartialEq, prost::Message)]
pub struct StartRollout {
    #[prost(message, required, tag = "1")]
    pub rollout: Rollout,
    #[prost(message, required, tag = "2")]
    pub order_id: OrderId,
}

/// Changes a roll-out if it still is what the judge saw.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PutRollout {
    #[prost(message, required, tag = "1")]
    pub was: Rollout,
    #[prost(message, required, tag = "2")]
    pub now: Rollout,
}

/// Begins to empty a store machine, if enough others stay.
#[derive(Clone, PartialEq, prost::Message)]
pub struct StartRetire {
    #[prost(string, tag = "1")]
    pub node: String,
    /// The store machines that stand and aren't leaving, as the proposer saw them.
    #[prost(string, repeated, tag = "2")]
    pub stores: Vec<String>,
    /// So many of them must stay.
    #[prost(uint32, tag = "3")]
    pub min_remaining: u32,
    #[prost(message, required, tag = "4")]
    pub order_id: OrderId,
}

/// The end of the retire that began at an index, if the node is empty.
#[derive(Clone, PartialEq, prost::Message)]
pub struct FinishRetire {
    #[prost(string, tag = "1")]
    pub node: String,
    #[prost(uint64, tag = "2")]
    pub began: u64,
    /// So many copies each partition is to have.
    #[prost(uint32, tag = "3")]
    pub replica_count: u32,
    #[prost(uint64, tag = "4")]
    pub born: u64,
}

/// What the fold made of a command: the same on every control node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyResult {
    Done,
    /// This very order was taken before; it changes nothing.
    Repeated,
    /// Something else came first, or is under way.
    Conflict,
    /// It cannot be granted as things stand.
    Refused,
    /// A command that cannot be decoded; it changes nothing.
    Undecoded,
}

/// How many copies a partition is to have: a region may have fewer store machines than copies
/// are wanted.
pub(crate) fn copies_of(p: &Partition, replica_count: usize) -> usize {
    if p.home.is_empty() { replica_count } else { replica_count.min(p.replicas.len()) }
}

/// Whether nothing is held by a node any more, and all of it stands elsewhere.
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

/// Adds the partitions of a region behind all others, if it has none yet and their numbers are
/// free; tells whether it did.
fn add_home_partitions(all: &mut Vec<Partition>, new: Vec<Partition>, index: u64) -> bool {
    let is_taken = |p: &Partition| p.home.is_empty() || all.iter().any(|q| q.home == p.home || q.id == p.id);
    if all.is_empty() || new.is_empty() || new.iter().any(is_taken) {
        return false;
    }
    all.extend(new.into_iter().map(|p| Partition { changed: index, ..p }));
    true
}

impl ControlState {
    pub fn apply(&mut self, index: u64, data: &Bytes) -> ApplyResult {
        self.apply_with(&mut ConfigurationDocument::default(), index, data)
    }

    /// As `apply`; the tree is of the configuration in force, or of none.
    pub fn apply_with(&mut self, document: &mut ConfigurationDocument, index: u64, data: &Bytes) -> ApplyResult {
        self.applied = index;
        if data.is_empty() {
            return ApplyResult::Done; // The log's own.
        }
        let Ok(Command { payload: Some(word), at_ms }) = Command::decode(data.clone()) else {
            telemetry::count("commands_undecoded");
            return ApplyResult::Undecoded;
        };
        self.reached_ms = self.reached_ms.max(at_ms);
        match word {
            CommandPayload::Configuration(t) => {
                if self.knows_configuration(&t.digest) {
                    return ApplyResult::Repeated;
                }
                if t.base != self.revision || t.revision <= self.revision {
                    return ApplyResult::Conflict;
                }
                // A change of named items is logged as such, and comes to the same whole
                // everywhere.
                let json = if t.json.is_empty() {
                    match self.adjusted(document, &t.change) {
                        Ok(j) => j,
                        Err(_) => return ApplyResult::Refused,
                    }
                } else {
                    *document = ConfigurationDocument::default(); // Of no use any more, and many times as large.
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
                if self.accepted.len() > CONFIGURATIONS {
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
                if let Some(i) = slot {
                    self.assignments.rollouts.remove(i);
                }
                self.assignments.rollouts.push(Rollout { began: index, ..rollout });
                self.remember(order_id);
            }
            CommandPayload::PutRollout(PutRollout { was, now }) => {
                let slot = self.assignments.rollouts.iter_mut().find(|x| **x == was);
                let Some(slot) = slot.filter(|x| x.state == "running") else {
                    return ApplyResult::Conflict;
                };
                *slot = Rollout { service: was.service, began: was.began, ..now };
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
                self.remember(r.order_id);
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

    /// The whole that a change makes of the configuration in force.
    fn adjusted(&self, document: &mut ConfigurationDocument, change: &[u8]) -> Result<Bytes, String> {
        if document.revision != self.revision {
            *document = ConfigurationDocument::read(self.revision, &self.configuration)?;
        }
        let made = document.adjust(change).and_then(|()| document.text());
        if made.is_err() {
            *document = ConfigurationDocument::default();
        }
        made.map(Bytes::from)
    }

    /// The configuration for one that has revision `have`: what changed since, or
    /// the whole.
    pub fn since(&self, have: u64) -> (Option<Bytes>, Vec<ConfigurationStep>) {
        if self.revision <= have {
            return (None, Vec::new());
        }
        match self.steps.iter().position(|s| s.since == have) {
            Some(at) => (None, self.steps[at..].to_vec()),
            None => (Some(self.configuration.clone()), Vec::new()),
        }
    }

    /// Whether this very call has been taken before.
    pub fn knows_configuration(&self, digest: &[u8]) -> bool {
        !digest.is_empty() && self.accepted.iter().any(|t| t.digest == digest)
    }

    /// Whether an order is one that was taken, sent again. `running`: what it asks for
    /// is under way, so that its time is not looked at.
    pub fn knows_order(&self, order: &OrderId, running: bool) -> bool {
        let same = |t: &&OrderId| !order.digest.is_empty() && t.digest == order.digest;
        self.orders.iter().find(same).is_some_and(|t| running || order.at_ms <= t.until_ms)
    }

    fn remember(&mut self, order: OrderId) {
        self.orders.retain(|t| t.digest != order.digest && order.at_ms <= t.until_ms);
        if self.orders.len() >= ORDERS {
            self.orders.remove(0);
        }
        self.orders.push(order);
    }

    /// Whether a store machine is being emptied, or was and holds nothing again.
    fn is_retired(&self, node: &str) -> bool {
        let holds = || self.assignments.partitions.iter().any(|p| p.replicas.iter().any(|h| h == node));
        self.assignments.retires.iter().any(|r| r.node == node && (!r.done || !holds()))
    }
}

/// What an order asks for, if it can be granted as things stand.
#[derive(Debug, PartialEq)]
pub enum OrderVerdict {
    Put(Partition),
    /// It is so already.
    AlreadyInForce,
    Refused,
}

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
        // Ruled on by whoever knows which machines stand.
        OrderKind::Replace | OrderKind::None => return OrderVerdict::Refused,
    }
    OrderVerdict::Put(now)
}

/// How far a store node counts for the partitions that it holds a copy of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CopyHealth {
    /// Its session stands, its disk keeps up, and it holds what it held when it took part last.
    Sound,
    /// Its session stands and its disk does not keep up: it owns nothing, and its copy counts
    /// until another node holds one in its place.
    Impaired,
    /// Its copy does not count.
    Gone,
}

impl CopyHealth {
    fn counts(self) -> bool {
        self != CopyHealth::Gone
    }
}

/// What becomes of a partition when some of its nodes' incarnations have ended, or may own
/// nothing. `incarnation` is the incarnation that a node is in, if it has told that already: who
/// has not is presumed to be as it was, but is given nothing.
pub fn seize(
    p: &Partition,
    health: impl Fn(&str) -> CopyHealth,
    incarnation: impl Fn(&str) -> Option<u64>,
) -> Option<Partition> {
    let mut now = p.clone();
    let is_sound = |n: &str| health(n) == CopyHealth::Sound;
    // An owner in another incarnation remembers nothing of its term: a new one is needed.
    let owner = is_sound(&p.owner) && incarnation(&p.owner).is_none_or(|l| l == p.joined_incarnation(&p.owner));
    if owner && p.grant.as_ref().is_none_or(|g| is_sound(&g.candidate)) {
        // Only followers can be missing: they stop holding up the owner.
        now.in_sync.retain(|n| *n == p.owner || health(n).counts());
        if let Some(g) = &mut now.grant {
            g.in_sync.retain(|n| *n == g.candidate || health(n).counts());
        }
        return (now != *p).then_some(now);
    }
    // With a grant out, the candidate may have resumed behind the marker: only
    // nodes that both terms write to hold everything.
    let eligible: Vec<&String> = p
        .in_sync
        .iter()
        .filter(|n| p.grant.as_ref().is_none_or(|g| g.in_sync.contains(n)))
        .filter(|n| health(n).counts())
        .collect();
    let told = || eligible.iter().filter(|n| is_sound(n) && incarnation(n).is_some());
    let next = told()
        .find(|n| **n != &p.owner && p.replicas.first() == Some(**n))
        .or(told().find(|n| **n != &p.owner))
        .or(told().next())?;
    now.owner = next.to_string();
    now.term = p.grant.as_ref().map_or(p.term, |g| g.term) + 1;
    now.in_sync = eligible.iter().map(|n| n.to_string()).collect();
    now.grant = None;
    now.seized = true;
    now.set_joined(next, incarnation(next)?);
    Some(now)
}

/// Nobody acts as a partition's owner, though nodes that hold all of it are
/// there: as after the end of all processes at once. One of them begins anew.
pub fn restore_owner(
    p: &Partition,
    health: impl Fn(&str) -> CopyHealth,
    incarnation: impl Fn(&str) -> Option<u64>,
) -> Option<Partition> {
    let all = || {
        let holders = p.in_sync.iter().filter(|n| p.grant.as_ref().is_none_or(|g| g.in_sync.contains(n)));
        holders.filter(|n| health(n).counts())
    };
    let sound = || all().filter(|n| health(n) == CopyHealth::Sound);
    let next = sound().find(|n| **n == p.owner).or_else(|| sound().next())?;
    let mut now = Partition {
        owner: next.clone(),
        term: p.grant.as_ref().map_or(p.term, |g| g.term) + 1,
        in_sync: all().cloned().collect(),
        grant: None,
        seized: true,
        ..p.clone()
    };
    now.set_joined(next, incarnation(next)?);
    Some(now)
}
