//! The state that the majority log folds into: the operator's word, and who
//! owns which partition at which term.

use bytes::Bytes;
use dovetail::msg::{Charter, Grant, Order, OrderKind, Partition, Retire, Rollout, TemplateStep};
use gauge::Tree;
use prost::Message;
use sha2::{Digest as _, Sha256};

/// So many configurations are known again, the newest ones.
const CONFIGURATIONS: usize = 1024;
/// So many other orders are known again, within their time.
const ORDERS: usize = 256;

#[derive(Clone, PartialEq, prost::Message)]
pub struct Rack {
    #[prost(message, required, tag = "1")]
    pub charter: Charter,
    /// The configuration in force, as JSON.
    #[prost(bytes = "bytes", tag = "2")]
    pub template: Bytes,
    #[prost(uint64, tag = "3")]
    pub revision: u64,
    /// Every configuration that was taken, to know a repeat of it.
    #[prost(message, repeated, tag = "4")]
    pub taken: Vec<Taken>,
    /// The last changes of the configuration, for those that are a little behind.
    #[prost(message, repeated, tag = "5")]
    pub steps: Vec<TemplateStep>,
    /// The last entry of the log that is in this state: a snapshot says itself as of
    /// when it is.
    #[prost(uint64, tag = "6")]
    pub applied: u64,
    /// Roll-outs and retires that were taken, while they may be sent again.
    #[prost(message, repeated, tag = "7")]
    pub orders: Vec<Stamp>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct Taken {
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
pub struct Stamp {
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
/// behind its length. `name` is of the plant or node; empty for a configuration.
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
    #[prost(oneof = "Word", tags = "1, 2, 5, 6, 7, 8, 9")]
    pub word: Option<Word>,
}

#[derive(Clone, PartialEq, prost::Oneof)]
#[allow(clippy::large_enum_variant)] // They live for one step.
pub enum Word {
    #[prost(message, tag = "1")]
    Template(PutTemplate),
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
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct PutTemplate {
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

/// Begins a roll-out, unless one of that plant is running.
#[derive(Clone, PartialEq, prost::Message)]
pub struct StartRollout {
    #[prost(message, required, tag = "1")]
    pub rollout: Rollout,
    #[prost(message, required, tag = "2")]
    pub stamp: Stamp,
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
    pub least: u32,
    #[prost(message, required, tag = "4")]
    pub stamp: Stamp,
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
    pub replicas: u32,
    #[prost(uint64, tag = "4")]
    pub born: u64,
}

/// What the fold made of a command: the same on every foreman.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Applied {
    Done,
    /// This very order was taken before; it changes nothing.
    Repeated,
    /// Something else came first, or is under way.
    Beaten,
    /// It cannot be granted as things stand.
    Refused,
    /// A command that cannot be decoded; it changes nothing.
    Undecoded,
}

/// Whether nothing is held by a node any more, and all of it stands elsewhere.
pub fn emptied(partitions: &[Partition], node: &str, replicas: usize) -> bool {
    !partitions.iter().any(|p| {
        p.owner == node
            || p.homes.iter().any(|h| h == node)
            || p.insync.iter().any(|n| n == node)
            || p.insync.len() < replicas
            || p.grant.is_some()
    })
}

pub use dovetail::print;

impl Rack {
    pub fn apply(&mut self, index: u64, data: &Bytes) -> Applied {
        self.apply_with(&mut Tree::default(), index, data)
    }

    /// As `apply`; the tree is of the configuration in force, or of none.
    pub fn apply_with(&mut self, tree: &mut Tree, index: u64, data: &Bytes) -> Applied {
        self.applied = index;
        if data.is_empty() {
            return Applied::Done; // The log's own.
        }
        let Ok(Command { word: Some(word) }) = Command::decode(data.clone()) else {
            tally::count("commands_undecoded");
            return Applied::Undecoded;
        };
        match word {
            Word::Template(t) => {
                if self.took(&t.digest) {
                    return Applied::Repeated;
                }
                if t.base != self.revision || t.revision <= self.revision {
                    return Applied::Beaten;
                }
                // A change of named items is logged as such, and comes to the same whole
                // everywhere.
                let json = if t.json.is_empty() {
                    match self.adjusted(tree, &t.change) {
                        Ok(j) => j,
                        Err(_) => return Applied::Refused,
                    }
                } else {
                    *tree = Tree::default(); // Of no use any more, and many times as large.
                    t.json
                };
                if t.change.is_empty() {
                    self.steps.clear();
                } else {
                    let (since, revision) = (self.revision, t.revision);
                    self.steps.push(TemplateStep { since, revision, change: t.change, print: print(&json) });
                    let limit = json.len() / 2;
                    while self.steps.iter().map(|s| s.change.len()).sum::<usize>() > limit {
                        self.steps.remove(0);
                    }
                }
                self.template = json;
                self.revision = t.revision;
                self.taken.push(Taken { revision: t.revision, base: t.base, digest: t.digest });
                if self.taken.len() > CONFIGURATIONS {
                    self.taken.remove(0);
                }
                return Applied::Done;
            }
            Word::Partition(p) => {
                let Some(slot) = self.charter.partitions.iter_mut().find(|x| x.id == p.was.id) else {
                    return Applied::Beaten;
                };
                if *slot != p.was {
                    return Applied::Beaten;
                }
                *slot = p.now;
                slot.changed = index;
            }
            Word::StartRollout(StartRollout { rollout, stamp }) => {
                let slot = self.charter.rollouts.iter().position(|x| x.plant == rollout.plant);
                let running = slot.is_some_and(|i| self.charter.rollouts[i].state == "running");
                if self.took_order(&stamp, running) {
                    return Applied::Repeated;
                }
                if running {
                    return Applied::Beaten;
                }
                if let Some(i) = slot {
                    self.charter.rollouts.remove(i);
                }
                self.charter.rollouts.push(Rollout { began: index, ..rollout });
                self.remember(stamp);
            }
            Word::PutRollout(PutRollout { was, now }) => {
                let slot = self.charter.rollouts.iter_mut().find(|x| **x == was);
                let Some(slot) = slot.filter(|x| x.state == "running") else {
                    return Applied::Beaten;
                };
                *slot = Rollout { plant: was.plant, began: was.began, ..now };
            }
            Word::StartRetire(r) => {
                let running = self.charter.retires.iter().any(|x| x.node == r.node && !x.done);
                if self.took_order(&r.stamp, running) {
                    return Applied::Repeated;
                }
                if running {
                    return Applied::Beaten;
                }
                let stays = |n: &&String| **n != r.node && !self.is_retired(n);
                if r.stores.iter().filter(stays).count() < r.least as usize {
                    return Applied::Refused;
                }
                self.charter.retires.retain(|x| x.node != r.node);
                self.charter.retires.push(Retire { node: r.node, done: false, began: index, born: 0 });
                self.remember(r.stamp);
            }
            Word::FinishRetire(r) => {
                let empty = emptied(&self.charter.partitions, &r.node, r.replicas as usize);
                let slot = self.charter.retires.iter_mut().find(|x| x.node == r.node && x.began == r.began && !x.done);
                let Some(slot) = slot.filter(|_| empty) else {
                    return Applied::Beaten;
                };
                slot.done = true;
                slot.born = r.born;
            }
            Word::Layout(l) => {
                if !self.charter.partitions.is_empty() {
                    return Applied::Beaten;
                }
                self.charter.partitions = l.partitions;
                for p in &mut self.charter.partitions {
                    p.changed = index;
                }
            }
        }
        self.charter.version = index;
        Applied::Done
    }

    /// The whole that a change makes of the configuration in force.
    fn adjusted(&self, tree: &mut Tree, change: &[u8]) -> Result<Bytes, String> {
        if tree.revision != self.revision {
            *tree = Tree::read(self.revision, &self.template)?;
        }
        let made = tree.adjust(change).and_then(|()| tree.text());
        if made.is_err() {
            *tree = Tree::default();
        }
        made.map(Bytes::from)
    }

    /// The configuration for one that has revision `have`: what changed since, or
    /// the whole.
    pub fn since(&self, have: u64) -> (Option<Bytes>, Vec<TemplateStep>) {
        if self.revision <= have {
            return (None, Vec::new());
        }
        match self.steps.iter().position(|s| s.since == have) {
            Some(at) => (None, self.steps[at..].to_vec()),
            None => (Some(self.template.clone()), Vec::new()),
        }
    }

    /// Whether this very call has been taken before.
    pub fn took(&self, digest: &[u8]) -> bool {
        !digest.is_empty() && self.taken.iter().any(|t| t.digest == digest)
    }

    /// Whether an order is one that was taken, sent again. `running`: what it asks for
    /// is under way, so that its time is not looked at.
    pub fn took_order(&self, order: &Stamp, running: bool) -> bool {
        let same = |t: &&Stamp| !order.digest.is_empty() && t.digest == order.digest;
        self.orders.iter().find(same).is_some_and(|t| running || order.at_ms <= t.until_ms)
    }

    fn remember(&mut self, order: Stamp) {
        self.orders.retain(|t| t.digest != order.digest && order.at_ms <= t.until_ms);
        if self.orders.len() >= ORDERS {
            self.orders.remove(0);
        }
        self.orders.push(order);
    }

    /// Whether a store machine is being emptied, or was and holds nothing again.
    fn is_retired(&self, node: &str) -> bool {
        let holds = || self.charter.partitions.iter().any(|p| p.homes.iter().any(|h| h == node));
        self.charter.retires.iter().any(|r| r.node == node && (!r.done || !holds()))
    }
}

/// What an order asks for, if it can be granted as things stand.
#[derive(Debug, PartialEq)]
pub enum Ruling {
    Put(Partition),
    /// It is so already.
    Stands,
    Refused,
}

pub fn rule(p: &Partition, order: &Order) -> Ruling {
    let kind = OrderKind::try_from(order.kind).unwrap_or(OrderKind::None);
    let mut now = p.clone();
    match kind {
        OrderKind::Grant => {
            if order.term != p.term || order.node == p.owner || !p.insync.contains(&order.node) {
                return Ruling::Refused;
            }
            let insync: Vec<String> = p.insync.iter().filter(|n| **n != order.leaving).cloned().collect();
            if let Some(g) = &p.grant {
                return if g.candidate == order.node { Ruling::Stands } else { Ruling::Refused };
            }
            now.grant = Some(Grant { term: p.term + 1, candidate: order.node.clone(), insync });
        }
        OrderKind::Own => {
            if p.owner == order.node && p.term == order.term {
                return Ruling::Stands;
            }
            match &p.grant {
                Some(g) if g.term == order.term && g.candidate == order.node => {
                    now.owner = g.candidate.clone();
                    now.term = g.term;
                    now.insync = g.insync.clone();
                    now.grant = None;
                    now.seized = false;
                    now.set_joined(&order.node, order.life);
                }
                _ => return Ruling::Refused,
            }
        }
        OrderKind::Join => {
            if order.term != p.term || p.grant.is_some() {
                return Ruling::Refused;
            }
            if p.insync.contains(&order.node) && p.joined_life(&order.node) == order.life {
                return Ruling::Stands;
            }
            now.insync.retain(|n| *n != order.node);
            now.insync.push(order.node.clone());
            now.set_joined(&order.node, order.life);
        }
        OrderKind::Drop => {
            if order.node == p.owner || p.grant.as_ref().is_some_and(|g| g.candidate == order.node) {
                return Ruling::Refused;
            }
            if order.term != 0 && order.term != p.term {
                return Ruling::Refused;
            }
            if !p.insync.contains(&order.node) {
                return Ruling::Stands;
            }
            now.insync.retain(|n| *n != order.node);
            if let Some(g) = &mut now.grant {
                g.insync.retain(|n| *n != order.node);
            }
        }
        OrderKind::None => return Ruling::Refused,
    }
    Ruling::Put(now)
}

/// What becomes of a partition when some of its nodes' lives have ended.
/// `stands` tells whether a node's session stands and its disk holds what it
/// held when it took part last; `life` is the life that it is in, if it has told
/// that already: who has not is presumed to be as it was, but is given nothing.
pub fn seize(p: &Partition, stands: impl Fn(&str) -> bool, life: impl Fn(&str) -> Option<u64>) -> Option<Partition> {
    let mut now = p.clone();
    // An owner in another life remembers nothing of its term: a new one is needed.
    let owner = stands(&p.owner) && life(&p.owner).is_none_or(|l| l == p.joined_life(&p.owner));
    if owner && p.grant.as_ref().is_none_or(|g| stands(&g.candidate)) {
        // Only followers can be missing: they stop holding up the owner.
        now.insync.retain(|n| *n == p.owner || stands(n));
        if let Some(g) = &mut now.grant {
            g.insync.retain(|n| *n == g.candidate || stands(n));
        }
        return (now != *p).then_some(now);
    }
    // With a grant out, the candidate may have resumed behind the marker: only
    // nodes that both terms write to hold everything.
    let eligible: Vec<&String> = p
        .insync
        .iter()
        .filter(|n| p.grant.as_ref().is_none_or(|g| g.insync.contains(n)))
        .filter(|n| stands(n))
        .collect();
    let told = || eligible.iter().filter(|n| life(n).is_some());
    let next = told()
        .find(|n| **n != &p.owner && p.homes.first() == Some(**n))
        .or(told().find(|n| **n != &p.owner))
        .or(told().next())?;
    now.owner = next.to_string();
    now.term = p.grant.as_ref().map_or(p.term, |g| g.term) + 1;
    now.insync = eligible.iter().map(|n| n.to_string()).collect();
    now.grant = None;
    now.seized = true;
    now.set_joined(next, life(next)?);
    Some(now)
}

/// Nobody acts as a partition's owner, though nodes that hold all of it are
/// there: as after the end of all processes at once. One of them begins anew.
pub fn revive(p: &Partition, stands: impl Fn(&str) -> bool, life: impl Fn(&str) -> Option<u64>) -> Option<Partition> {
    let all =
        || p.insync.iter().filter(|n| p.grant.as_ref().is_none_or(|g| g.insync.contains(n))).filter(|n| stands(n));
    let next = all().find(|n| **n == p.owner).or_else(|| all().next())?;
    let mut now = Partition {
        owner: next.clone(),
        term: p.grant.as_ref().map_or(p.term, |g| g.term) + 1,
        insync: all().cloned().collect(),
        grant: None,
        seized: true,
        ..p.clone()
    };
    now.set_joined(next, life(next)?);
    Some(now)
}
