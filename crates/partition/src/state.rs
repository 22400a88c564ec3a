//! Partition state: a deterministic function of the records in the log.

mod placing;
mod snapshot;
pub use placing::{PlacementRefusal, SubjectLocation};
pub use snapshot::{EncodedSnapshot, Snapshot, SnapshotMessage};

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

#[derive(Clone, Debug, PartialEq)]
pub struct Message {
    pub item: Item,
    pub at_ms: u64,
    pub due_ms: u64,
    pub state: MessageState,
    /// Attempts that failed.
    pub failed: Vec<u64>,
    pub result_tag: String,
    pub ended_ms: u64,
    pub notified: bool,
    /// The last dispatch: its time, its processor, and the node that it went through.
    pub sent_ms: u64,
    pub processor: String,
    pub node: String,
    /// Digest of the immutable fields, an input of `message_digest`.
    fingerprint: u64,
}

impl Message {
    pub fn needs_notification(&self) -> bool {
        self.state != MessageState::Pending && !self.notified && !self.item.notify_url.is_empty()
    }
}

/// The effect of applying a record, for the delivery scheduler and for callers that wait for it.
#[derive(Debug, PartialEq, Clone)]
pub enum Change {
    Accepted(u64),
    /// The record at `at` duplicates the message at position `original`.
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
    /// The record at `at` would place an order key that has messages in flight here, also one that
    /// has returned to this partition.
    StaysHere {
        at: u64,
    },
    /// An attempt failed and the message may be retried.
    Failed(u64),
    Ended(u64),
    /// The message is now the head of its order key's queue and may be dispatched.
    Unblocked(u64),
    Notified(u64),
    Epoch {
        at: u64,
        digest: u64,
    },
    Staged(String),
    Stopped(Stop),
}

/// Retention times, in milliseconds of record time. Entries are kept a quarter longer, to allow for
/// late requests and for differences between the clocks of successive owners.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Retention {
    /// For the state of a message that has ended.
    pub status_ms: u64,
    /// For an operation key, from the time its first attempt was accepted; 0 if operation keys are
    /// not used.
    pub operations_ms: u64,
}

impl From<u64> for Retention {
    fn from(status: u64) -> Retention {
        Retention { status_ms: status, operations_ms: 0 }
    }
}

impl Retention {
    /// When an ended message may be removed: both its state and its operation key have expired.
    fn removal_time(self, message: &Message) -> u64 {
        let status_expiry = message.ended_ms + self.status_ms * 5 / 4;
        match message.item.operation {
            Some(_) => status_expiry.max(self.operation_expiry(message)),
            None => status_expiry,
        }
    }

    /// The time until which further requests for a message's operation count as duplicates.
    fn operation_expiry(self, message: &Message) -> u64 {
        message.at_ms + self.operations_ms * 5 / 4
    }

    /// How long a placement is valid: the retention time of the operation key, or the time that
    /// messages of the order key may be in flight, plus a quarter.
    fn placement_validity(self, subject: &PlacementSubject, hold_ms: u64) -> u64 {
        match subject {
            PlacementSubject::Operation(_) => self.operations_ms * 5 / 4,
            PlacementSubject::Order(_) => hold_ms + hold_ms / 4,
        }
    }
}

#[derive(Clone, Default)]
pub struct PartitionState {
    /// Position of the last applied record.
    pub position: u64,
    pub messages: BTreeMap<u64, Message>,
    /// Positions by request id, scoped by tenant.
    ids: HashMap<String, u64>,
    /// The latest message of each operation.
    operations: HashMap<OperationId, u64>,
    /// Operations and order keys stored in other partitions.
    placements: Placements,
    /// Messages that have not ended, in log order, by order key scoped by tenant.
    orders: HashMap<String, VecDeque<u64>>,
    pub revision: u64,
    routes: HashMap<String, RouteFacts>,
    digest: u64,
    pub body_bytes: usize,
    /// Messages that have not ended.
    pub pending: BTreeSet<u64>,
    retention: Retention,
    /// Ended messages as (earliest removal time, position).
    ended: BTreeSet<(u64, u64)>,
    /// The latest timestamp of an applied record.
    reached_ms: u64,
}

/// Approximate memory use of a message, excluding its body.
const MESSAGE_OVERHEAD_BYTES: usize = 1024;
/// Approximate additional memory use of an operation key, in the message and in the index.
const OPERATION_KEY_BYTES: usize = 128;
/// Approximate size of an operation key and its tenant name in a snapshot.
const OPERATION_KEY_SNAPSHOT_BYTES: usize = 64;

/// Scopes a name chosen by a client to its tenant.
fn tenant_key(tenant: &str, name: &str) -> String {
    if tenant.is_empty() { name.to_owned() } else { format!("{tenant}\n{name}") }
}

/// Digest of one message. The state's digest is the sum of these, so that updating it costs only
/// the changed message.
fn message_digest(pos: u64, message: &Message) -> u64 {
    let mut h = mix(message.fingerprint, pos);
    h = mix(h, message.state as u64);
    h = message.failed.iter().fold(h, |h, a| mix(h, *a));
    h = mix(h, message.ended_ms);
    h = mix(h, message.notified as u64);
    h = mix(h, message.sent_ms);
    h = fingerprint(h, message.result_tag.as_bytes());
    fingerprint(h, message.processor.as_bytes())
}

impl PartitionState {
    pub fn new(retention: impl Into<Retention>) -> PartitionState {
        PartitionState { retention: retention.into(), ..PartitionState::default() }
    }

    /// The latest timestamp of an applied record.
    pub fn reached_ms(&self) -> u64 {
        self.reached_ms
    }

    pub fn digest(&self) -> u64 {
        let sum = self.digest.wrapping_add(self.placements.digest());
        mix(mix(sum, self.revision), self.messages.len() as u64)
    }

    /// Recomputes the digest from the whole state. The incrementally maintained digest must equal it.
    pub fn recompute_digest(&self) -> u64 {
        let sum = self.messages.iter().fold(0u64, |a, (p, message)| a.wrapping_add(message_digest(*p, message)));
        let sum = sum.wrapping_add(self.placements.recompute_digest());
        mix(mix(sum, self.revision), self.messages.len() as u64)
    }

    /// Approximate memory use of the messages, in bytes.
    pub fn memory_bytes(&self) -> usize {
        let operations = self.operations.len() + self.placements.len();
        self.body_bytes + self.messages.len() * MESSAGE_OVERHEAD_BYTES + operations * OPERATION_KEY_BYTES
    }

    /// Approximate size of a snapshot, in bytes.
    pub fn snapshot_bytes(&self) -> usize {
        let operations = self.operations.len() + self.placements.len();
        self.body_bytes + self.messages.len() * (MESSAGE_OVERHEAD_BYTES / 4) + operations * OPERATION_KEY_SNAPSHOT_BYTES
    }

    /// Finds a tenant's message by its request id.
    pub fn find(&self, tenant: &str, id: &str) -> Option<u64> {
        self.ids.get(&tenant_key(tenant, id)).copied()
    }

    /// Finds the message that an accept at `at_ms` would duplicate: one with the same id, or one of
    /// the same operation within the retention time of its key.
    pub fn find_duplicate(&self, item: &Item, at_ms: u64) -> Option<u64> {
        self.find(&item.tenant, &item.id).or_else(|| self.find_operation(item.operation.as_ref()?, at_ms))
    }

    /// Finds the message of an operation whose key has not expired at `at_ms`.
    pub fn find_operation(&self, operation: &OperationId, at_ms: u64) -> Option<u64> {
        let position = *self.operations.get(operation)?;
        let message = self.messages.get(&position)?;
        (at_ms <= self.retention.operation_expiry(message)).then_some(position)
    }

    /// Whether an attempt has been recorded as failed.
    pub fn is_failure_counted(&self, position: u64, attempt: u64) -> bool {
        self.messages.get(&position).is_some_and(|message| message.failed.contains(&attempt))
    }

    /// Number of operation keys stored.
    pub fn operation_count(&self) -> usize {
        self.operations.len()
    }

    pub fn has_route(&self, route: &str) -> bool {
        self.routes.contains_key(route)
    }

    /// The difference between the applied routes and `whole`. With many routes and partitions,
    /// complete lists would make up most of the log volume.
    pub fn routes_delta(&self, whole: Routes) -> Routes {
        if self.revision == 0 {
            return whole;
        }
        let names: HashSet<&str> = whole.routes.iter().map(|r| r.route.as_str()).collect();
        let mut removed: Vec<String> = self.routes.keys().filter(|n| !names.contains(n.as_str())).cloned().collect();
        removed.sort();
        let routes = whole.routes.iter().filter(|r| self.routes.get(&r.route) != Some(r)).cloned().collect();
        Routes { revision: whole.revision, routes, base_revision: self.revision, removed }
    }

    pub fn retain_ms(&self, route: &str) -> u64 {
        self.routes.get(route).map_or(0, |r| r.retain_ms)
    }

    /// Whether no earlier message of its order key is pending.
    pub fn is_head(&self, pos: u64, message: &Message) -> bool {
        message.item.order_key.is_empty()
            || self
                .orders
                .get(&tenant_key(&message.item.tenant, &message.item.order_key))
                .and_then(|q| q.front())
                .is_none_or(|h| *h == pos)
    }

    fn update<T>(&mut self, pos: u64, f: impl FnOnce(&mut Message) -> T) -> Option<T> {
        let message = self.messages.get_mut(&pos)?;
        self.digest = self.digest.wrapping_sub(message_digest(pos, message));
        let t = f(message);
        self.digest = self.digest.wrapping_add(message_digest(pos, message));
        Some(t)
    }

    fn end_message(&mut self, pos: u64, state: MessageState, result_tag: &str, at: u64, out: &mut Vec<Change>) {
        let Some(message) = self.messages.get(&pos) else { return };
        if message.state != MessageState::Pending {
            return;
        }
        let key = match message.item.order_key.as_str() {
            "" => String::new(),
            order_key => tenant_key(&message.item.tenant, order_key),
        };
        self.update(pos, |message| {
            message.state = state;
            message.result_tag = result_tag.to_owned();
            message.ended_ms = at;
        });
        self.pending.remove(&pos);
        if state == MessageState::Settled {
            // Bodies are returned only for messages that did not succeed.
            if let Some(message) = self.messages.get_mut(&pos) {
                self.body_bytes -= message.item.body.len();
                // Keeps only the fields needed for lookups and notifications.
                let Item { id, route, host, notify_url, tenant, operation, .. } = std::mem::take(&mut message.item);
                message.item = Item { id, route, host, notify_url, tenant, operation, ..Item::default() };
            }
        }
        if let Some(message) = self.messages.get(&pos) {
            self.ended.insert((self.retention.removal_time(message), pos));
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

    /// Applies the record at `pos`. Has no effect if the record has already been applied.
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
                if let Some(original) = self.find_duplicate(&a.item, at) {
                    out.push(Change::Duplicate { at: pos, original });
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
                self.remove_placements(&a.item);
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
                let message = Message {
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
                self.insert(pos, message);
                out.push(Change::Accepted(pos));
            }
            Some(Entry::Place(place)) => out.extend(self.place(pos, place, at)),
            Some(Entry::Dispatch(d)) => {
                self.update(d.position, |message| {
                    message.sent_ms = at;
                    message.processor.clone_from(&d.processor);
                    message.node.clone_from(&d.node);
                });
            }
            Some(Entry::Answer(a)) => match Outcome::try_from(a.outcome) {
                Ok(Outcome::Done) => self.end_message(a.position, MessageState::Settled, &a.result_tag, at, &mut out),
                Ok(Outcome::Never) => self.end_message(a.position, MessageState::Dead, "", at, &mut out),
                Ok(Outcome::Failed) => {
                    let counts = |message: &Message| {
                        message.state == MessageState::Pending && !message.failed.contains(&a.attempt)
                    };
                    if self.messages.get(&a.position).is_some_and(counts) {
                        let n = self.update(a.position, |message| {
                            message.failed.push(a.attempt);
                            message.failed.len()
                        });
                        let route = &self.messages[&a.position].item.route;
                        let tries = self.routes.get(route).map_or(1, |r| r.tries.max(1));
                        if n.unwrap_or(0) >= tries as usize {
                            self.end_message(a.position, MessageState::Dead, "", at, &mut out);
                        } else {
                            out.push(Change::Failed(a.position));
                        }
                    }
                }
                _ => {}
            },
            Some(Entry::Notified(n)) => {
                for p in &n.positions {
                    if self.update(*p, |message| message.notified = true).is_some() {
                        out.push(Change::Notified(*p));
                    }
                }
            }
            Some(Entry::Expire(e)) => {
                for p in &e.positions {
                    self.end_message(*p, MessageState::Dead, "", at, &mut out);
                }
            }
            // A delta against another revision is ignored; its writer sees that the revision did not
            // change and writes a new delta.
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
                    .filter(|(_, message)| {
                        message.state == MessageState::Pending && !self.routes.contains_key(&message.item.route)
                    })
                    .map(|(p, _)| *p)
                    .collect();
                for p in dropped {
                    self.end_message(p, MessageState::Dead, "", at, &mut out);
                }
            }
            Some(Entry::Epoch(e)) => out.push(Change::Epoch { at: e.position, digest: e.digest }),
            Some(Entry::Stage(s)) => out.push(Change::Staged(s.candidate.clone())),
            Some(Entry::Stop(s)) => out.push(Change::Stopped(s.clone())),
            Some(Entry::Routes(_)) | None => {}
        }
        self.placements.remove_expired(at);
        // Removes ended messages whose retention time plus a quarter has passed.
        while let Some((end, p)) = self.ended.first().copied() {
            if end >= at {
                break;
            }
            self.ended.pop_first();
            if let Some(message) = self.messages.remove(&p) {
                self.digest = self.digest.wrapping_sub(message_digest(p, &message));
                self.body_bytes -= message.item.body.len();
                self.ids.remove(&tenant_key(&message.item.tenant, &message.item.id));
                if let Some(operation) = &message.item.operation
                    && self.operations.get(operation) == Some(&p)
                {
                    self.operations.remove(operation);
                }
            }
        }
        out
    }

    fn insert(&mut self, pos: u64, message: Message) {
        self.ids.insert(tenant_key(&message.item.tenant, &message.item.id), pos);
        if let Some(operation) = message.item.operation {
            self.operations.insert(operation, pos);
        }
        if message.state == MessageState::Pending {
            self.pending.insert(pos);
            if !message.item.order_key.is_empty() {
                self.orders
                    .entry(tenant_key(&message.item.tenant, &message.item.order_key))
                    .or_default()
                    .push_back(pos);
            }
        }
        self.body_bytes += message.item.body.len();
        self.digest = self.digest.wrapping_add(message_digest(pos, &message));
        self.messages.insert(pos, message);
    }
}
