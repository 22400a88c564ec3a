//! One partition on one node: its log, its fold, and how ownership passes.
//! A state machine without I/O; the shell carries out its effects in order.

mod follower;
mod log;
mod ownership;
mod replication;
mod transfer;

use crate::clock::PartitionClock;
use crate::record::*;
use crate::state::*;
use bytes::Bytes;
use prost::Message;
use rpc::Body;
use rpc::messages::{Chunk, Entries, EntriesAck, LogEntry, Order, OrderAck, OrderKind, Partition};
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ReplicaRole {
    Owner,
    Follower,
}

#[derive(Debug)]
#[allow(clippy::large_enum_variant)] // They live for one step.
pub enum Effect {
    /// Write; then report `Synced` with the term and the end given here.
    Persist {
        del: Option<(u64, u64)>,
        put: Vec<(u64, LogEntry)>,
        meta: Meta,
        snapshot: Option<Bytes>,
        term: u64,
        end: u64,
    },
    Send(String, Body),
    /// The owner's fold has moved.
    Applied(Vec<Change>),
    BecameOwner {
        seized: bool,
    },
    /// Not the owner any more; who is, if known.
    SteppedDown(String),
    SubmitOrder(Order),
    /// The shadow state differs from what the owner's epoch record says.
    DigestMismatch(u64),
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct Meta {
    #[prost(uint64, tag = "1")]
    pub term: u64,
    #[prost(uint64, tag = "2")]
    pub commit: u64,
    /// The snapshot on disk is the fold of all up to here.
    #[prost(uint64, tag = "3")]
    pub base: u64,
    #[prost(uint64, tag = "4")]
    pub base_term: u64,
}

#[derive(Default, Debug)]
struct Peer {
    sent: u64,
    acked: u64,
    sent_commit: u64,
    last_heard: u64,
    last_resent: u64,
    verified: u64,
    verified_from: u64,
    mismatch: bool,
    /// A snapshot is under way up to this position.
    snapshot_position: u64,
    incarnation: u64,
    /// When the majority last refused to count it in.
    join_refused_at: u64,
    /// When it was last heard, or held all there was.
    silent_since: u64,
    /// When another node was last asked for in its place.
    replace_requested_at: u64,
}

impl Peer {
    /// One that is presumed to be level now.
    fn new(now: u64) -> Peer {
        Peer { last_heard: now, silent_since: now, ..Peer::default() }
    }
}

/// A follower in sync that has owed an acknowledgement for so many times `again`, with nothing
/// heard from it, is to be replaced, if it was heard before: one that never was may be starting. A process that has ended is known to the leader much
/// sooner, by its lease; what is left are links that are cut between this pair of nodes.
const REPLACE_AFTER_RESENDS: u64 = 3;

#[derive(Clone, Debug, PartialEq)]
enum Phase {
    Verifying,
    RequestingGrant { requested_at: u64 },
    Stopping { term: u64, in_sync: Vec<String> },
    StopWritten { position: u64 },
}

#[derive(Clone, Debug)]
struct PlannedMove {
    candidate: String,
    leaving: bool,
    started_at: u64,
    phase: Phase,
}

/// An owner with messages that have not ended writes an epoch record at least once in so
/// many times `epoch`, so that its log says how much time has passed.
const TIME_RECORD_EPOCHS: u64 = 8;

/// Bounds of the state machine's clock, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Between epoch records.
    pub epoch_interval_ms: u64,
    /// Over which a match must have held before a cutover.
    pub match_window_ms: u64,
    /// Silence after which a follower is sent the rest again.
    pub resend_ms: u64,
    pub status_ms: u64,
    /// For how long operations' keys are remembered; 0 where there are none.
    pub operations_ms: u64,
    /// Bytes of records kept in memory for followers that are behind.
    pub log_cache_bytes: usize,
}

impl Timing {
    fn retention(&self) -> Retention {
        Retention { status_ms: self.status_ms, operations_ms: self.operations_ms }
    }
}

pub struct PartitionReplica {
    pub id: u32,
    node: String,
    /// This process's incarnation.
    pub incarnation: u64,
    pub term: u64,
    pub role: ReplicaRole,
    first_position: u64,
    base_term: u64,
    disk_base: u64,
    disk_base_term: u64,
    log: VecDeque<LogEntry>,
    log_bytes: usize,
    pub durable: u64,
    pub commit: u64,
    pub state: PartitionState,
    pub owner: String,
    pub replicas: Vec<String>,
    in_sync: Vec<String>,
    joining: HashMap<String, u64>,
    peers: HashMap<String, Peer>,
    planned_move: Option<PlannedMove>,
    epoch_times: BTreeMap<u64, u64>,
    last_epoch: u64,
    digests: VecDeque<(u64, u64)>,
    pub verified: u64,
    verified_from: u64,
    pub mismatch: bool,
    /// Up to here the log is known to be the owner's, at this term.
    matched: u64,
    /// The gap that was told last: term, end, and when.
    last_gap_report: (u64, u64, u64),
    snapshot_chunks: Vec<Bytes>,
    incoming_snapshot: (u64, u64),
    ownership_requested_at: u64,
    ownership_confirmed: bool,
    /// The majority's entry that its last word came from: older ones say nothing.
    assignment_version: u64,
    /// Where the log ended when this node became owner.
    takeover_end: u64,
    timing: Timing,
    since_snapshot: usize,
    clock: PartitionClock,
}

impl PartitionReplica {
    pub fn new(id: u32, me: &str, timing: Timing) -> PartitionReplica {
        PartitionReplica {
            id,
            node: me.into(),
            incarnation: 0,
            term: 0,
            role: ReplicaRole::Follower,
            first_position: 1,
            base_term: 0,
            disk_base: 0,
            disk_base_term: 0,
            log: VecDeque::new(),
            log_bytes: 0,
            durable: 0,
            commit: 0,
            state: PartitionState::new(timing.retention()),
            owner: String::new(),
            replicas: Vec::new(),
            in_sync: Vec::new(),
            joining: HashMap::new(),
            peers: HashMap::new(),
            planned_move: None,
            epoch_times: BTreeMap::new(),
            last_epoch: 0,
            digests: VecDeque::new(),
            verified: 0,
            verified_from: 0,
            mismatch: false,
            matched: 0,
            last_gap_report: (0, 0, 0),
            snapshot_chunks: Vec::new(),
            incoming_snapshot: (0, 0),
            ownership_requested_at: 0,
            ownership_confirmed: false,
            assignment_version: 0,
            takeover_end: 0,
            timing,
            since_snapshot: 0,
            clock: PartitionClock::default(),
        }
    }

    /// What the disk held: a snapshot, the entries behind it, and the meta record.
    pub fn reload(
        id: u32,
        me: &str,
        timing: Timing,
        meta: &Meta,
        snapshot: Option<Bytes>,
        entries: Vec<(u64, LogEntry)>,
    ) -> Result<PartitionReplica, String> {
        let mut m = PartitionReplica::new(id, me, timing);
        m.term = meta.term;
        if let Some(s) = snapshot {
            let s = Snapshot::decode(s).map_err(|e| format!("partition {id}: snapshot: {e}"))?;
            if s.position != meta.base {
                return Err(format!("partition {id}: snapshot is of {}, not of {}", s.position, meta.base));
            }
            m.state = PartitionState::restore(&s, timing.retention()).map_err(|e| format!("partition {id}: {e}"))?;
            m.clock.observe_record(m.state.reached_ms(), 0);
        } else if meta.base != 0 {
            return Err(format!("partition {id}: the snapshot of {} is missing", meta.base));
        }
        m.first_position = meta.base + 1;
        m.base_term = meta.base_term;
        m.disk_base = meta.base;
        m.disk_base_term = meta.base_term;
        for (pos, e) in entries {
            if pos < m.first_position {
                continue;
            }
            if pos != m.end() + 1 {
                return Err(format!("partition {id}: entry {} is missing, {pos} is there", m.end() + 1));
            }
            m.log_bytes += e.record.len();
            m.log.push_back(e);
        }
        m.since_snapshot = m.log_bytes;
        m.durable = m.end();
        m.commit = meta.commit.clamp(meta.base, m.end());
        m.apply_committed(0, false, &mut Vec::new())?;
        Ok(m)
    }

    /// Whether the owner takes new records now.
    pub fn is_writable(&self) -> bool {
        self.role == ReplicaRole::Owner
            && !matches!(&self.planned_move, Some(m) if matches!(m.phase, Phase::Stopping { .. } | Phase::StopWritten { .. }))
    }

    /// Whether the fold holds all that may have been committed before this node
    /// became owner: until then it cannot say that a message is not known.
    pub fn is_caught_up(&self) -> bool {
        self.state.position >= self.takeover_end
    }

    /// Whether the owner can say what becomes of a run: what the log may hold of it is
    /// folded. Before that a message that is not there need not be one that has ended.
    pub fn accepts_reports(&self) -> bool {
        self.is_writable() && self.is_caught_up()
    }

    pub fn is_moving(&self) -> bool {
        self.planned_move.is_some()
    }

    /// The followers that a planned move could go to, best first.
    pub fn candidates(&self) -> Vec<String> {
        let mut all: Vec<String> = self
            .in_sync
            .iter()
            .filter(|n| **n != self.node && self.peers.get(*n).is_some_and(|p| !p.mismatch))
            .cloned()
            .collect();
        all.sort_by_key(|n| self.replicas.iter().position(|h| h == n).unwrap_or(usize::MAX));
        all
    }

    /// The nodes in sync that have not acknowledged all of the log, which holds up its commit.
    pub fn unacknowledged_replicas(&self) -> Vec<&str> {
        let has_all = |node: &str| self.peers.get(node).is_some_and(|peer| peer.acked >= self.end());
        self.in_sync.iter().map(String::as_str).filter(|node| *node != self.node && !has_all(node)).collect()
    }

    pub fn in_sync(&self) -> &[String] {
        &self.in_sync
    }

    // ---- the owner's side ----

    fn apply_committed(&mut self, now: u64, live: bool, out: &mut Vec<Effect>) -> Result<(), String> {
        let mut changes = Vec::new();
        while self.state.position < self.commit {
            let pos = self.state.position + 1;
            let Some(e) = self.entry(pos) else {
                return Err(format!("partition {}: entry {pos} is committed and not there", self.id));
            };
            let record =
                Record::decode(e.record.clone()).map_err(|e| format!("partition {}: entry {pos}: {e}", self.id))?;
            let found = self.state.apply(pos, &record);
            self.clock.observe_record(record.at_ms, now);
            self.digests.push_back((pos, self.state.digest()));
            if self.digests.len() > 8192 {
                self.digests.pop_front();
            }
            for c in found {
                match &c {
                    Change::Epoch { at, digest } if self.role == ReplicaRole::Follower => {
                        self.compare_digest(pos, *at, *digest, out)
                    }
                    Change::Stopped(s)
                        if live
                            && self.role == ReplicaRole::Follower
                            && s.candidate == self.node
                            && s.term > self.term
                            && s.splice == pos =>
                    {
                        changes.clear();
                        self.take_over_at_stop(now, s.clone(), out);
                    }
                    _ => {}
                }
                if self.role == ReplicaRole::Owner {
                    changes.push(c);
                }
            }
        }
        if live && !changes.is_empty() {
            out.push(Effect::Applied(changes));
        }
        self.trim();
        Ok(())
    }

    // ---- ownership ----

    // ---- the follower's side ----

    // ---- both ----

    /// The partition's time, for what its owner writes now. `cluster_ms` is the cluster's
    /// time, if it is known here: the first call after a start of the process may take it
    /// over as it stands, so it comes with the lease.
    pub fn owner_time(&mut self, cluster_ms: Option<u64>, now: u64) -> u64 {
        self.clock.owner_time(cluster_ms, now)
    }

    /// The partition's time; None where none runs since the start of this process.
    pub fn time(&self, now: u64) -> Option<u64> {
        self.clock.running_time(now)
    }

    /// The latest time that is known to have passed here.
    pub fn reached_ms(&self, now: u64) -> u64 {
        self.clock.latest_time(now)
    }

    /// How far the partition's time is from the cluster's, which it slews to.
    pub fn correction_ms(&self, now: u64) -> i64 {
        self.clock.correction_ms(now)
    }

    pub fn tick(&mut self, now: u64, at_ms: u64, out: &mut Vec<Effect>) {
        if self.role != ReplicaRole::Owner {
            return;
        }
        let moving_verify = matches!(&self.planned_move, Some(m) if m.phase == Phase::Verifying);
        let last = self.epoch_times.last_key_value().map_or(0, |(_, t)| *t);
        let due = if moving_verify { self.timing.match_window_ms } else { self.timing.epoch_interval_ms };
        // What has not ended measures time: the log says now and then how much has passed.
        let timed = !self.state.pending.is_empty() && now >= last + TIME_RECORD_EPOCHS * self.timing.epoch_interval_ms;
        if now >= last + due && (self.end() > self.last_epoch || moving_verify || timed) {
            self.write_epoch(at_ms, now, out);
        }
        if let Some(m) = &self.planned_move
            && m.phase == Phase::Verifying
            && now > m.started_at + 40 * self.timing.match_window_ms
        {
            telemetry::error!("partition {}: no match with {} in time, move given up", self.id, m.candidate);
            self.planned_move = None;
        }
        let again: Vec<String> = self
            .joining
            .iter_mut()
            .filter(|(_, asked)| now > **asked + self.timing.resend_ms)
            .map(|(n, asked)| {
                *asked = now;
                n.clone()
            })
            .collect();
        for n in again {
            self.request_join(&n, out);
        }
        if !self.ownership_confirmed && now > self.ownership_requested_at + self.timing.resend_ms {
            self.request_ownership(now, out);
        }
        let end = self.end();
        let names: Vec<String> =
            self.replicas.iter().chain(&self.in_sync).filter(|n| **n != self.node).cloned().collect();
        for n in names {
            let commit = self.commit;
            let again = self.timing.resend_ms;
            // One that is to be in sync and is not is asked where it is, even
            // when there is nothing to send.
            let out_of_sync = !self.in_sync.contains(&n) && !self.joining.contains_key(&n);
            let p = self.peers.entry(n.clone()).or_insert_with(|| Peer::new(now));
            if p.acked >= end {
                p.silent_since = now;
            } else if !out_of_sync
                && self.replicas.contains(&n)
                && p.incarnation != 0
                && now > p.silent_since.max(p.replace_requested_at) + REPLACE_AFTER_RESENDS * again
            {
                p.replace_requested_at = now;
                telemetry::count("followers_unheard");
                out.push(Effect::SubmitOrder(Order {
                    partition: self.id,
                    term: self.term,
                    node: n.clone(),
                    kind: OrderKind::Replace as i32,
                    ..Order::default()
                }));
            }
            if (p.acked < end || out_of_sync) && now > p.last_heard.max(p.last_resent) + again {
                // Lost on the way, or the node is new here: say where we are.
                p.last_resent = now;
                p.snapshot_position = 0;
                p.sent = p.acked.max(self.first_position - 1).min(end);
                self.send_to(&n, now, true, out);
            } else if p.sent_commit < commit && p.sent >= end {
                self.send_to(&n, now, true, out);
            }
        }
        // Nodes that are to hold nothing any more.
        if self.planned_move.is_none() && self.replicas.iter().all(|h| self.in_sync.contains(h)) {
            for n in self.in_sync.clone() {
                if !self.replicas.contains(&n) && n != self.node {
                    out.push(Effect::SubmitOrder(Order {
                        partition: self.id,
                        term: self.term,
                        node: n,
                        kind: OrderKind::Drop as i32,
                        ..Order::default()
                    }));
                }
            }
        }
        self.advance_move(now, out);
        self.flush(now, out);
    }
}
