//! The fold: a partition's state as a function of its log alone.

mod placing;
mod snapshot;
pub use placing::{PlacementRefusal, SubjectLocation};
pub use snapshot::{Snapshot, SnapshotMessage};

use crate::digest::{fingerprint, mix};
use crate::placements::{Placement, Placements};
use crate::record::*;
use rpc::messages::{Item, OperationId, Outcome, PlacementSubject};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum MessageState {
    Pending,
    Settled,
    Dead,
}

impl MessageState {
    pub fn as_str(self) -> &'static str {
        match self {
            MessageState::Pending => "pending",
            MessageState::Settled => "settled",
            MessageState::Dead => "dead_letter",
        }
    }
}

/// One message.
#[derive(Clone, Debug, PartialEq)]
pub struct Message {
    pub item: Item,
    pub at_ms: u64,
    pub due_ms: u64,
    pub state: MessageState,
    /// The attempts that failed.
    pub failed: Vec<u64>,
    pub result_tag: String,
    pub ended_ms: u64,
    pub notified: bool,
    /// The last dispatch: when, to which unit, through which node.
    pub sent_ms: u64,
    pub processor: String,
    pub node: String,
    /// Of the unchanging part, for the digest.
    fingerprint: u64,
}

impl Message {
    pub fn needs_notification(&self) -> bool {
        self.state != MessageState::Pending && !self.notified && !self.item.notify_url.is_empty()
    }
}

/// What a record changed, for whoever schedules by it.
#[derive(Debug, PartialEq, Clone)]
pub enum Change {
    Accepted(u64),
    /// The record at `at` repeats a message known as `old`.
    Duplicate {
        at: u64,
        original: u64,
    },
    /// The record at `at` is of an operation or order key that is placed in another partition.
    PlacedElsewhere {
        at: u64,
        placement: Placement,
    },
    /// The accept at `at` is of an order key that is placed in another partition.
    OrderPlacedElsewhere {
        at: u64,
    },
    /// The record at `at` would place an order key of which messages are under way here, or which
    /// has come back.
    StaysHere {
        at: u64,
    },
    /// A failed attempt; more are allowed.
    Failed(u64),
    Ended(u64),
    /// The head of an order key may run.
    Unblocked(u64),
    Notified(u64),
    Epoch {
        at: u64,
        digest: u64,
    },
    Staged(String),
    Stopped(Stop),
}

/// How long a partition remembers, in milliseconds of its records' times; a quarter longer in
/// fact, for whoever is late and for owners whose times differ.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Retention {
    /// A message that has ended.
    pub status_ms: u64,
    /// The key of an operation, since its first try was accepted; 0 where there are no keys.
    pub operations_ms: u64,
}

impl From<u64> for Retention {
    fn from(status: u64) -> Retention {
        Retention { status_ms: status, operations_ms: 0 }
    }
}

impl Retention {
    /// When a message may be forgotten: nobody asks for its state any more, and its
    /// operation's key is not remembered any more.
    fn end(self, message: &Message) -> u64 {
        let status_end = message.ended_ms + self.status_ms * 5 / 4;
        match message.item.operation {
            Some(_) => status_end.max(self.operation_end(message)),
            None => status_end,
        }
    }

    /// Until when a try at a message's operation repeats it.
    fn operation_end(self, message: &Message) -> u64 {
        message.at_ms + self.operations_ms * 5 / 4
    }

    /// How long a placement holds: as long as the operation is remembered, or messages of the
    /// order key may be under way, and a quarter.
    fn placement_time(self, subject: &PlacementSubject, hold_ms: u64) -> u64 {
        match subject {
            PlacementSubject::Operation(_) => self.operations_ms * 5 / 4,
            PlacementSubject::Order(_) => hold_ms + hold_ms / 4,
        }
    }
}

#[derive(Clone, Default)]
pub struct PartitionState {
    /// All up to here is folded.
    pub position: u64,
    pub messages: BTreeMap<u64, Message>,
    /// By request id, within a tenant.
    ids: HashMap<String, u64>,
    /// The last message of each operation.
    operations: HashMap<OperationId, u64>,
    /// Operations and order keys that other partitions keep.
    placements: Placements,
    /// Messages that have not ended, by order key within a tenant, in order.
    orders: HashMap<String, VecDeque<u64>>,
    pub revision: u64,
    routes: HashMap<String, RouteFacts>,
    digest: u64,
    pub body_bytes: usize,
    /// Messages that have not ended.
    pub pending: BTreeSet<u64>,
    retention: Retention,
    /// What has ended, by when it may be forgotten.
    ended: BTreeSet<(u64, u64)>,
    /// The latest time that a folded record has.
    reached_ms: u64,
}

/// What a message takes besides its body, about.
const PIECE_BYTES: usize = 1024;
/// What the key of its operation takes besides, about: in the message, and in the index.
const OPERATION_BYTES: usize = 128;
/// What that takes of a snapshot, with the tenant's name, about.
const OPERATION_SNAPSHOT_BYTES: usize = 64;

/// A client's name for something, as it is told apart from other tenants' names.
fn scoped(tenant: &str, name: &str) -> String {
    if tenant.is_empty() { name.to_owned() } else { format!("{tenant}\n{name}") }
}

/// One message's part of the digest. The parts are added up, so that a change
/// costs no more than the message it concerns.
fn part(pos: u64, w: &Message) -> u64 {
    let mut h = mix(w.fingerprint, pos);
    h = mix(h, w.state as u64);
    h = w.failed.iter().fold(h, |h, a| mix(h, *a));
    h = mix(h, w.ended_ms);
    h = mix(h, w.notified as u64);
    h = mix(h, w.sent_ms);
    h = fingerprint(h, w.result_tag.as_bytes());
    fingerprint(h, w.processor.as_bytes())
}

impl PartitionState {
    pub fn new(retention: impl Into<Retention>) -> PartitionState {
        PartitionState { retention: retention.into(), ..PartitionState::default() }
    }

    /// The latest time that a folded record has.
    pub fn reached_ms(&self) -> u64 {
        self.reached_ms
    }

    pub fn digest(&self) -> u64 {
        let sum = self.digest.wrapping_add(self.placements.digest());
        mix(mix(sum, self.revision), self.messages.len() as u64)
    }

    /// The digest from scratch: what the running one must equal.
    pub fn recompute_digest(&self) -> u64 {
        let sum = self.messages.iter().fold(0u64, |a, (p, w)| a.wrapping_add(part(*p, w)));
        let sum = sum.wrapping_add(self.placements.recompute_digest());
        mix(mix(sum, self.revision), self.messages.len() as u64)
    }

    /// Bytes of memory that the messages take, about.
    pub fn memory_bytes(&self) -> usize {
        let operations = self.operations.len() + self.placements.len();
        self.body_bytes + self.messages.len() * PIECE_BYTES + operations * OPERATION_BYTES
    }

    /// Bytes of a snapshot, about.
    pub fn snapshot_bytes(&self) -> usize {
        let operations = self.operations.len() + self.placements.len();
        self.body_bytes + self.messages.len() * (PIECE_BYTES / 4) + operations * OPERATION_SNAPSHOT_BYTES
    }

    /// A tenant's message by its request id.
    pub fn find(&self, tenant: &str, id: &str) -> Option<u64> {
        self.ids.get(&scoped(tenant, id)).copied()
    }

    /// The message that an accept at `at_ms` would repeat: by its id, or as a try at the same
    /// operation inside the window.
    pub fn find_duplicate(&self, item: &Item, at_ms: u64) -> Option<u64> {
        self.find(&item.tenant, &item.id).or_else(|| self.find_operation(item.operation.as_ref()?, at_ms))
    }

    /// The message that keeps an operation, inside the window.
    pub fn find_operation(&self, operation: &OperationId, at_ms: u64) -> Option<u64> {
        let position = *self.operations.get(operation)?;
        let message = self.messages.get(&position)?;
        (at_ms <= self.retention.operation_end(message)).then_some(position)
    }

    /// Whether an attempt at a message is counted as one that failed.
    pub fn is_failure_counted(&self, position: u64, attempt: u64) -> bool {
        self.messages.get(&position).is_some_and(|message| message.failed.contains(&attempt))
    }

    /// How many operations' keys are kept.
    pub fn operation_count(&self) -> usize {
        self.operations.len()
    }

    pub fn has_route(&self, route: &str) -> bool {
        self.routes.contains_key(route)
    }

    /// What has changed against the routes that are known here: with many routes
    /// and partitions, whole lists would be most of what the logs carry.
    pub fn routes_delta(&self, whole: Routes) -> Routes {
        if self.revision == 0 {
            return whole;
        }
        let names: HashSet<&str> = whole.routes.iter().map(|r| r.route.as_str()).collect();
        let mut gone: Vec<String> = self.routes.keys().filter(|n| !names.contains(n.as_str())).cloned().collect();
        gone.sort();
        let routes = whole.routes.iter().filter(|r| self.routes.get(&r.route) != Some(r)).cloned().collect();
        Routes { revision: whole.revision, routes, base_revision: self.revision, removed: gone }
    }

    pub fn retain_ms(&self, route: &str) -> u64 {
        self.routes.get(route).map_or(0, |r| r.retain_ms)
    }

    /// Whether nothing of its order key is before it.
    pub fn is_head(&self, pos: u64, w: &Message) -> bool {
        w.item.order_key.is_empty()
            || self
                .orders
                .get(&scoped(&w.item.tenant, &w.item.order_key))
                .and_then(|q| q.front())
                .is_none_or(|h| *h == pos)
    }

    fn change<T>(&mut self, pos: u64, f: impl FnOnce(&mut Message) -> T) -> Option<T> {
        let w = self.messages.get_mut(&pos)?;
        self.digest = self.digest.wrapping_sub(part(pos, w));
        let t = f(w);
        self.digest = self.digest.wrapping_add(part(pos, w));
        Some(t)
    }

    fn end(&mut self, pos: u64, state: MessageState, result_tag: &str, at: u64, out: &mut Vec<Change>) {
        let Some(w) = self.messages.get(&pos) else { return };
        if w.state != MessageState::Pending {
            return;
        }
        let key = match w.item.order_key.as_str() {
            "" => String::new(),
            order_key => scoped(&w.item.tenant, order_key),
        };
        self.change(pos, |w| {
            w.state = state;
            w.result_tag = result_tag.to_owned();
            w.ended_ms = at;
        });
        self.pending.remove(&pos);
        if state == MessageState::Settled {
            // A body is owed back only for what has not ended well.
            if let Some(w) = self.messages.get_mut(&pos) {
                self.body_bytes -= w.item.body.len();
                // What is still asked for: whose it is, by which names, and where to call back.
                let Item { id, route, host, notify_url, tenant, operation, .. } = std::mem::take(&mut w.item);
                w.item = Item { id, route, host, notify_url, tenant, operation, ..Item::default() };
            }
        }
        if let Some(w) = self.messages.get(&pos) {
            self.ended.insert((self.retention.end(w), pos));
        }
        out.push(Change::Ended(pos));
        if !key.is_empty()
            && let Some(q) = self.orders.get_mut(&key)
        {
            let was_head = q.front() == Some(&pos);
            q.retain(|p| *p != pos);
            if q.is_empty() {
                self.orders.remove(&key);
            } else if was_head && let Some(h) = q.front() {
                out.push(Change::Unblocked(*h));
            }
        }
    }

    /// Folds the record at `pos`. One that is folded already changes nothing.
    pub fn apply(&mut self, pos: u64, record: &Record) -> Vec<Change> {
        let mut out = Vec::new();
        if pos <= self.position {
            return out;
        }
        self.position = pos;
        let at = record.at_ms;
        self.reached_ms = self.reached_ms.max(at);
        match &record.entry {
            Some(Entry::Accept(a)) => {
                if let Some(old) = self.find_duplicate(&a.item, at) {
                    out.push(Change::Duplicate { at: pos, original: old });
                    return out;
                }
                let generations = a.generations.unwrap_or_default();
                if let Some(refusal) = self.placement_refusal(&a.item, generations, at) {
                    out.push(match refusal {
                        PlacementRefusal::Operation(placement) => Change::PlacedElsewhere { at: pos, placement },
                        PlacementRefusal::Order => Change::OrderPlacedElsewhere { at: pos },
                    });
                    return out;
                }
                self.end_placements(&a.item);
                let mut h = fingerprint(pos, a.item.id.as_bytes());
                h = fingerprint(h, &a.item.body);
                for s in [&a.item.route, &a.item.path, &a.item.order_key, &a.item.notify_url] {
                    h = fingerprint(h, s.as_bytes());
                }
                if !a.item.tenant.is_empty() {
                    h = fingerprint(h, a.item.tenant.as_bytes());
                }
                if let Some(operation) = a.item.operation {
                    h = mix(mix(h, operation.high), operation.low);
                }
                let w = Message {
                    item: a.item.clone(),
                    at_ms: at,
                    due_ms: at + a.delay_ms,
                    state: MessageState::Pending,
                    failed: Vec::new(),
                    result_tag: String::new(),
                    ended_ms: 0,
                    notified: false,
                    sent_ms: 0,
                    processor: String::new(),
                    node: String::new(),
                    fingerprint: mix(h, at + a.delay_ms),
                };
                self.insert(pos, w);
                out.push(Change::Accepted(pos));
            }
            Some(Entry::Place(place)) => out.extend(self.place(pos, place, at)),
            Some(Entry::Dispatch(d)) => {
                self.change(d.position, |w| {
                    w.sent_ms = at;
                    w.processor.clone_from(&d.processor);
                    w.node.clone_from(&d.node);
                });
            }
            Some(Entry::Answer(a)) => match Outcome::try_from(a.outcome) {
                Ok(Outcome::Done) => self.end(a.position, MessageState::Settled, &a.result_tag, at, &mut out),
                Ok(Outcome::Never) => self.end(a.position, MessageState::Dead, "", at, &mut out),
                Ok(Outcome::Failed) => {
                    let counts = |w: &Message| w.state == MessageState::Pending && !w.failed.contains(&a.attempt);
                    if self.messages.get(&a.position).is_some_and(counts) {
                        let n = self.change(a.position, |w| {
                            w.failed.push(a.attempt);
                            w.failed.len()
                        });
                        let route = &self.messages[&a.position].item.route;
                        let tries = self.routes.get(route).map_or(1, |r| r.tries.max(1));
                        if n.unwrap_or(0) >= tries as usize {
                            self.end(a.position, MessageState::Dead, "", at, &mut out);
                        } else {
                            out.push(Change::Failed(a.position));
                        }
                    }
                }
                _ => {}
            },
            Some(Entry::Notified(n)) => {
                for p in &n.positions {
                    if self.change(*p, |w| w.notified = true).is_some() {
                        out.push(Change::Notified(*p));
                    }
                }
            }
            Some(Entry::Expire(e)) => {
                for p in &e.positions {
                    self.end(*p, MessageState::Dead, "", at, &mut out);
                }
            }
            // Changes since another revision are of no use; their writer sees that
            // nothing came of them and writes them anew.
            Some(Entry::Routes(r)) if r.revision > self.revision && [0, self.revision].contains(&r.base_revision) => {
                self.revision = r.revision;
                if r.base_revision == 0 {
                    self.routes.clear();
                }
                for name in &r.removed {
                    self.routes.remove(name);
                }
                self.routes.extend(r.routes.iter().map(|f| (f.route.clone(), f.clone())));
                let dropped: Vec<u64> = self
                    .messages
                    .iter()
                    .filter(|(_, w)| w.state == MessageState::Pending && !self.routes.contains_key(&w.item.route))
                    .map(|(p, _)| *p)
                    .collect();
                for p in dropped {
                    self.end(p, MessageState::Dead, "", at, &mut out);
                }
            }
            Some(Entry::Epoch(e)) => out.push(Change::Epoch { at: e.position, digest: e.digest }),
            Some(Entry::Stage(s)) => out.push(Change::Staged(s.candidate.clone())),
            Some(Entry::Stop(s)) => out.push(Change::Stopped(s.clone())),
            Some(Entry::Routes(_)) | None => {}
        }
        self.placements.remove_expired(at);
        // What ended long enough ago is forgotten: the time that it may be asked for, and a quarter.
        while let Some((end, p)) = self.ended.first().copied() {
            if end >= at {
                break;
            }
            self.ended.pop_first();
            if let Some(w) = self.messages.remove(&p) {
                self.digest = self.digest.wrapping_sub(part(p, &w));
                self.body_bytes -= w.item.body.len();
                self.ids.remove(&scoped(&w.item.tenant, &w.item.id));
                if let Some(operation) = &w.item.operation
                    && self.operations.get(operation) == Some(&p)
                {
                    self.operations.remove(operation);
                }
            }
        }
        out
    }

    fn insert(&mut self, pos: u64, w: Message) {
        self.ids.insert(scoped(&w.item.tenant, &w.item.id), pos);
        if let Some(operation) = w.item.operation {
            self.operations.insert(operation, pos);
        }
        if w.state == MessageState::Pending {
            self.pending.insert(pos);
            if !w.item.order_key.is_empty() {
                self.orders.entry(scoped(&w.item.tenant, &w.item.order_key)).or_default().push_back(pos);
            }
        }
        self.body_bytes += w.item.body.len();
        self.digest = self.digest.wrapping_add(part(pos, &w));
        self.messages.insert(pos, w);
    }
}
