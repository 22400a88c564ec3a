//! A partition replica on one node: its log, its state, replication and ownership transfer.
//! A state machine without I/O; the caller executes its effects in order.

mod follower;
mod log;
mod ownership;
mod progress;
mod replication;
mod transfer;

use crate::clock::PartitionClock;
use crate::record::*;
use crate::state::*;
use bytes::Bytes;
pub use progress::{StallReason, StalledReplica};
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
#[allow(clippy::large_enum_variant)] // Short-lived: dropped at the end of the step.
pub enum Effect {
    /// Delete, write and sync; then call `handle_synced` with the `term` and `end` given here.
    Persist {
        del: Option<(u64, u64)>,
        put: Vec<(u64, LogEntry)>,
        meta: Meta,
        snapshot: Option<EncodedSnapshot>,
        term: u64,
        end: u64,
    },
    Send(String, Body),
    /// The owner applied committed records.
    Applied(Vec<Change>),
    BecameOwner {
        seized: bool,
    },
    /// This node is no longer the owner; holds the new owner, or an empty string if unknown.
    SteppedDown(String),
    /// Submit an order to the control nodes.
    SubmitOrder(Order),
    /// The follower's digest differs from the one in the owner's epoch record for this position.
    DigestMismatch(u64),
}

/// Replication metadata of a partition, stored with its log.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Meta {
    #[prost(uint64, tag = "1")]
    pub term: u64,
    #[prost(uint64, tag = "2")]
    pub commit: u64,
    /// Position of the snapshot on disk; the stored log starts after it.
    #[prost(uint64, tag = "3")]
    pub base: u64,
    #[prost(uint64, tag = "4")]
    pub base_term: u64,
}

/// The owner's view of another replica.
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
    /// Position of the snapshot that is being sent; 0 if there is none.
    snapshot_position: u64,
    incarnation: u64,
    /// When the control nodes last refused to add it to the in-sync set.
    join_refused_at: u64,
    /// When its acknowledged position last advanced or it last had no entries left to acknowledge.
    progressed_at: u64,
    /// The longest record that it receives.
    record_limit: PeerRecordLimit,
    /// It has no room for more messages.
    is_full: bool,
    /// The record that it does not receive because of its length, if there is one.
    refused_record: Option<RefusedRecord>,
    /// When a replacement for it was last requested.
    replace_requested_at: u64,
}

impl Peer {
    /// A peer that is assumed to be up to date.
    fn new(now: u64) -> Peer {
        Peer { last_heard: now, progressed_at: now, ..Peer::default() }
    }
}

/// The longest record that another replica receives, in bytes.
#[derive(Clone, Copy, Default, Debug, PartialEq, Eq)]
enum PeerRecordLimit {
    /// Nothing was heard from it in this term.
    #[default]
    Unknown,
    /// It states no limit: what fits a frame of `FRAME_LIMIT` bytes.
    Unstated,
    Stated(usize),
}

impl PeerRecordLimit {
    fn of(ack: &EntriesAck) -> PeerRecordLimit {
        match ack.max_record_bytes {
            0 => PeerRecordLimit::Unstated,
            bytes => PeerRecordLimit::Stated(bytes as usize),
        }
    }

    /// The longest record that may be sent to it.
    fn bytes(self) -> usize {
        match self {
            PeerRecordLimit::Unknown | PeerRecordLimit::Unstated => UNSTATED_RECORD_LIMIT,
            PeerRecordLimit::Stated(bytes) => bytes,
        }
    }
}

/// Resend intervals for which a follower's statement that it has no room is valid.
const FULL_VALID_RESENDS: u64 = 4;

/// The longest record that every replica receives, also one that states no limit.
const UNSTATED_RECORD_LIMIT: usize = rpc::max_record_bytes(rpc::FRAME_LIMIT);

/// An entry that is too long for a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct RefusedRecord {
    position: u64,
    bytes: usize,
}

/// Whether a record may be appended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordFit {
    Fits,
    /// Longer than this node or an in-sync replica receives.
    TooLong {
        limit: usize,
    },
    /// An in-sync replica has not stated yet that it receives a record of this length.
    Unknown,
}

/// The phases of a planned move, in order.
#[derive(Clone, Debug, PartialEq)]
enum Phase {
    /// Waiting until the candidate's digests have matched for long enough.
    Verifying,
    RequestingGrant {
        requested_at: u64,
    },
    /// The grant was received. No new records are accepted; waiting for the log to be committed.
    Stopping {
        term: u64,
        in_sync: Vec<String>,
    },
    /// The stop marker was appended at `position`; waiting for it to be committed.
    StopWritten {
        position: u64,
    },
}

#[derive(Clone, Debug)]
struct PlannedMove {
    candidate: String,
    /// This node leaves the in-sync set with the move.
    leaving: bool,
    started_at: u64,
    phase: Phase,
}

/// An owner with pending messages writes an epoch record at least once per this many epoch
/// intervals, so that its log records how much time has passed.
const TIME_RECORD_EPOCHS: u64 = 8;

/// Intervals and limits of a replica; times are in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Interval between epoch records.
    pub epoch_interval_ms: u64,
    /// How long a candidate's digests must have matched before ownership may be transferred.
    pub match_window_ms: u64,
    /// Time without an acknowledgement after which entries are sent again.
    pub resend_ms: u64,
    /// Retention time of the state of an ended message.
    pub status_ms: u64,
    /// Retention time of operation keys; 0 if they are not used.
    pub operations_ms: u64,
    /// Bytes of records kept in memory for lagging followers.
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
    /// Bytes of the records that are not applied to the state yet.
    unapplied_bytes: usize,
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
    /// The log up to this position is known to match the owner's log at this term.
    matched: u64,
    /// The last gap reported to the owner: term, end of the log, and time of the report.
    last_gap_report: (u64, u64, u64),
    snapshot_chunks: Vec<Bytes>,
    /// Position of the last snapshot that was received. It is on disk once `durable` has reached it.
    received_snapshot: u64,
    /// Term and position of the snapshot that `snapshot_chunks` belongs to.
    incoming_snapshot: (u64, u64),
    ownership_requested_at: u64,
    ownership_confirmed: bool,
    /// Version of the last assignment received; older ones are ignored.
    assignment_version: u64,
    /// End of the log when this node became owner.
    takeover_end: u64,
    /// The longest record that this node receives, in bytes.
    pub max_record_bytes: usize,
    /// This node has no room for more messages. Owners learn it with the next acknowledgement.
    pub is_node_full: bool,
    timing: Timing,
    since_snapshot: usize,
    clock: PartitionClock,
}

impl PartitionReplica {
    pub fn new(id: u32, node: &str, timing: Timing) -> PartitionReplica {
        PartitionReplica {
            id,
            node: node.into(),
            incarnation: 0,
            term: 0,
            role: ReplicaRole::Follower,
            first_position: 1,
            base_term: 0,
            disk_base: 0,
            disk_base_term: 0,
            log: VecDeque::new(),
            log_bytes: 0,
            unapplied_bytes: 0,
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
            received_snapshot: 0,
            incoming_snapshot: (0, 0),
            ownership_requested_at: 0,
            ownership_confirmed: false,
            assignment_version: 0,
            takeover_end: 0,
            max_record_bytes: UNSTATED_RECORD_LIMIT,
            is_node_full: false,
            timing,
            since_snapshot: 0,
            clock: PartitionClock::default(),
        }
    }

    /// Restores a replica from disk: a snapshot, the entries after it, and the meta record.
    pub fn reload(
        id: u32,
        node: &str,
        timing: Timing,
        meta: &Meta,
        snapshot: Option<Bytes>,
        entries: Vec<(u64, LogEntry)>,
    ) -> Result<PartitionReplica, String> {
        let mut replica = PartitionReplica::new(id, node, timing);
        replica.term = meta.term;
        if let Some(data) = snapshot {
            let snapshot = Snapshot::decode(data).map_err(|e| format!("partition {id}: snapshot: {e}"))?;
            if snapshot.position != meta.base {
                return Err(format!(
                    "partition {id}: snapshot is at position {}, expected {}",
                    snapshot.position, meta.base
                ));
            }
            replica.state =
                PartitionState::restore(&snapshot, timing.retention()).map_err(|e| format!("partition {id}: {e}"))?;
            replica.clock.observe_record(replica.state.reached_ms(), 0);
        } else if meta.base != 0 {
            return Err(format!("partition {id}: snapshot at position {} is missing", meta.base));
        }
        replica.first_position = meta.base + 1;
        replica.base_term = meta.base_term;
        replica.disk_base = meta.base;
        replica.disk_base_term = meta.base_term;
        for (position, entry) in entries {
            if position < replica.first_position {
                continue;
            }
            if position != replica.end() + 1 {
                return Err(format!("partition {id}: entry {} is missing, found entry {position}", replica.end() + 1));
            }
            replica.log_bytes += entry.record.len();
            replica.unapplied_bytes += entry.record.len();
            replica.log.push_back(entry);
        }
        replica.since_snapshot = replica.log_bytes;
        replica.durable = replica.end();
        replica.commit = meta.commit.clamp(meta.base, replica.end());
        replica.apply_committed(0, false, &mut Vec::new())?;
        Ok(replica)
    }

    /// Whether this node is the owner and accepts new records.
    pub fn is_writable(&self) -> bool {
        self.role == ReplicaRole::Owner
            && !matches!(
                &self.planned_move,
                Some(planned) if matches!(planned.phase, Phase::Stopping { .. } | Phase::StopWritten { .. })
            )
    }

    /// Whether all records that may have been committed before this node became owner have been
    /// applied. Until then it cannot report that a message is unknown.
    pub fn is_caught_up(&self) -> bool {
        self.state.position >= self.takeover_end
    }

    /// Whether this node is the owner and can process reports of runs, that is, all records that may
    /// concern a run have been applied. Before that, a missing message has not necessarily ended.
    pub fn accepts_reports(&self) -> bool {
        self.is_writable() && self.is_caught_up()
    }

    pub fn is_moving(&self) -> bool {
        self.planned_move.is_some()
    }

    /// The followers that are eligible for a planned move, in order of preference.
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

    /// The in-sync nodes that have not acknowledged the whole log and therefore delay its commit.
    pub fn unacknowledged_replicas(&self) -> Vec<&str> {
        let has_all = |node: &str| self.peers.get(node).is_some_and(|peer| peer.acked >= self.end());
        self.in_sync.iter().map(String::as_str).filter(|node| *node != self.node && !has_all(node)).collect()
    }

    /// Bytes of the records in the log that are not applied yet: of those that are, the state holds what
    /// is kept.
    pub fn unapplied_bytes(&self) -> usize {
        self.unapplied_bytes
    }

    /// The in-sync followers that have said lately that they have no room for more messages. An idle
    /// partition hears nothing of them, so an old statement must not refuse its messages for good.
    pub fn full_replicas(&self, now: u64) -> impl Iterator<Item = &str> {
        let validity_ms = FULL_VALID_RESENDS * self.timing.resend_ms;
        let is_full = move |peer: &Peer| peer.is_full && now <= peer.last_heard + validity_ms;
        let is_full = move |node: &&String| self.peers.get(*node).is_some_and(is_full);
        self.in_sync.iter().filter(is_full).map(String::as_str)
    }

    /// Approximate bytes that the partition takes on disk: a snapshot and the records since the last
    /// one.
    pub fn disk_bytes(&self) -> usize {
        self.state.snapshot_bytes() + self.since_snapshot
    }

    /// Bytes of records in memory.
    pub fn log_bytes(&self) -> usize {
        self.log_bytes
    }

    pub fn in_sync(&self) -> &[String] {
        &self.in_sync
    }

    /// Applies committed records. `live` is false while the replica is restored from disk.
    fn apply_committed(&mut self, now: u64, live: bool, out: &mut Vec<Effect>) -> Result<(), String> {
        let mut changes = Vec::new();
        while self.state.position < self.commit {
            let pos = self.state.position + 1;
            let Some(e) = self.entry(pos) else {
                return Err(format!("partition {}: committed entry {pos} is missing", self.id));
            };
            let record_bytes = e.record.len();
            let record =
                Record::decode(e.record.clone()).map_err(|e| format!("partition {}: entry {pos}: {e}", self.id))?;
            self.unapplied_bytes = self.unapplied_bytes.saturating_sub(record_bytes);
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

    /// Timestamp for a record that the owner writes now. `cluster_ms` is the cluster time, if known;
    /// it comes with the lease, because the first call after a process start may step to it.
    pub fn owner_time(&mut self, cluster_ms: Option<u64>, now: u64) -> u64 {
        self.clock.owner_time(cluster_ms, now)
    }

    /// The partition time; `None` if its clock has not been started since the process started.
    pub fn time(&self, now: u64) -> Option<u64> {
        self.clock.running_time(now)
    }

    /// The latest partition time known here.
    pub fn reached_ms(&self, now: u64) -> u64 {
        self.clock.latest_time(now)
    }

    /// The remaining correction of the partition time towards cluster time, applied by slewing.
    pub fn correction_ms(&self, now: u64) -> i64 {
        self.clock.correction_ms(now)
    }

    /// Performs the owner's periodic work: epoch records, retries, resends and planned moves.
    pub fn tick(&mut self, now: u64, at_ms: u64, out: &mut Vec<Effect>) {
        if self.role != ReplicaRole::Owner {
            return;
        }
        let is_verifying = matches!(&self.planned_move, Some(m) if m.phase == Phase::Verifying);
        let last = self.epoch_times.last_key_value().map_or(0, |(_, t)| *t);
        let due = if is_verifying { self.timing.match_window_ms } else { self.timing.epoch_interval_ms };
        // Pending messages depend on elapsed time, so the log has to record it regularly.
        let time_record_due =
            !self.state.pending.is_empty() && now >= last + TIME_RECORD_EPOCHS * self.timing.epoch_interval_ms;
        if now >= last + due && (self.end() > self.last_epoch || is_verifying || time_record_due) {
            self.write_epoch(at_ms, now, out);
        }
        if let Some(m) = &self.planned_move
            && m.phase == Phase::Verifying
            && now > m.started_at + 40 * self.timing.match_window_ms
        {
            telemetry::error!(
                "partition {}: planned move to {} abandoned: its digests were not verified in time",
                self.id,
                m.candidate
            );
            self.planned_move = None;
        }
        let pending_joins: Vec<String> = self
            .joining
            .iter_mut()
            .filter(|(_, asked)| now > **asked + self.timing.resend_ms)
            .map(|(n, asked)| {
                *asked = now;
                n.clone()
            })
            .collect();
        for n in pending_joins {
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
            let timing = self.timing;
            let resend_ms = timing.resend_ms;
            // A replica that is not in the in-sync set yet is probed for its log position even if
            // there is nothing to send.
            let out_of_sync = !self.in_sync.contains(&n) && !self.joining.contains_key(&n);
            let p = self.peers.entry(n.clone()).or_insert_with(|| Peer::new(now));
            if p.acked >= end {
                p.progressed_at = now;
            } else if !out_of_sync && self.replicas.contains(&n) && p.is_replacement_due(&timing, now) {
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
            if (p.acked < end || out_of_sync) && now > p.last_heard.max(p.last_resent) + resend_ms {
                // Messages were lost, or the node is new: send again from the last acknowledged entry.
                p.last_resent = now;
                p.snapshot_position = 0;
                p.sent = p.acked.max(self.first_position - 1).min(end);
                self.send_to(&n, now, true, out);
            } else if p.sent_commit < commit && p.sent >= end {
                self.send_to(&n, now, true, out);
            }
        }
        // Removes former replicas from the in-sync set once all current replicas are in it.
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
