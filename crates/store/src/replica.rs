//! One partition on one node: its log, its fold, and how ownership passes.
//! A state machine without I/O; the shell carries out its effects in order.

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
    Folded(Vec<Change>),
    TookOver {
        seized: bool,
    },
    /// Not the owner any more; who is, if known.
    StoodDown(String),
    Ask(Order),
    /// The shadow state differs from what the owner's epoch record says.
    Mismatch(u64),
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
    told_commit: u64,
    heard: u64,
    resent: u64,
    verified: u64,
    verified_from: u64,
    mismatch: bool,
    /// A snapshot is under way up to this position.
    snapshot: u64,
    incarnation: u64,
    /// When the majority last refused to count it in.
    refused: u64,
}

#[derive(Clone, Debug, PartialEq)]
enum Phase {
    Verify,
    Granting { asked: u64 },
    Stopping { term: u64, in_sync: Vec<String> },
    Marked { at: u64 },
}

#[derive(Clone, Debug)]
struct Move {
    candidate: String,
    leaving: bool,
    began: u64,
    phase: Phase,
}

/// Bounds of the state machine's clock, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Between epoch records.
    pub epoch: u64,
    /// Over which a match must have held before a cutover.
    pub window: u64,
    /// Silence after which a follower is sent the rest again.
    pub again: u64,
    pub status: u64,
    /// Bytes of records kept in memory for followers that are behind.
    pub keep_bytes: usize,
}

pub struct PartitionReplica {
    pub id: u32,
    me: String,
    /// This process's incarnation.
    pub incarnation: u64,
    pub term: u64,
    pub role: ReplicaRole,
    first: u64,
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
    moving: Option<Move>,
    epochs: BTreeMap<u64, u64>,
    last_epoch: u64,
    digests: VecDeque<(u64, u64)>,
    pub verified: u64,
    verified_from: u64,
    pub mismatch: bool,
    /// Up to here the log is known to be the owner's, at this term.
    matched: u64,
    /// The gap that was told last: term, end, and when.
    gap_told: (u64, u64, u64),
    chunks: Vec<Bytes>,
    chunk_from: (u64, u64),
    own_asked: u64,
    own_known: bool,
    /// The majority's entry that its last word came from: older ones say nothing.
    told: u64,
    /// Where the log ended when this node became owner.
    took_at: u64,
    timing: Timing,
    since_snapshot: usize,
}

impl PartitionReplica {
    pub fn new(id: u32, me: &str, timing: Timing) -> PartitionReplica {
        PartitionReplica {
            id,
            me: me.into(),
            incarnation: 0,
            term: 0,
            role: ReplicaRole::Follower,
            first: 1,
            base_term: 0,
            disk_base: 0,
            disk_base_term: 0,
            log: VecDeque::new(),
            log_bytes: 0,
            durable: 0,
            commit: 0,
            state: PartitionState::new(timing.status),
            owner: String::new(),
            replicas: Vec::new(),
            in_sync: Vec::new(),
            joining: HashMap::new(),
            peers: HashMap::new(),
            moving: None,
            epochs: BTreeMap::new(),
            last_epoch: 0,
            digests: VecDeque::new(),
            verified: 0,
            verified_from: 0,
            mismatch: false,
            matched: 0,
            gap_told: (0, 0, 0),
            chunks: Vec::new(),
            chunk_from: (0, 0),
            own_asked: 0,
            own_known: false,
            told: 0,
            took_at: 0,
            timing,
            since_snapshot: 0,
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
            m.state = PartitionState::restore(&s, timing.status).map_err(|e| format!("partition {id}: {e}"))?;
        } else if meta.base != 0 {
            return Err(format!("partition {id}: the snapshot of {} is missing", meta.base));
        }
        m.first = meta.base + 1;
        m.base_term = meta.base_term;
        m.disk_base = meta.base;
        m.disk_base_term = meta.base_term;
        for (pos, e) in entries {
            if pos < m.first {
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
        m.fold_on(0, false, &mut Vec::new())?;
        Ok(m)
    }

    pub fn end(&self) -> u64 {
        self.first + self.log.len() as u64 - 1
    }

    fn entry(&self, pos: u64) -> Option<&LogEntry> {
        pos.checked_sub(self.first).and_then(|i| self.log.get(i as usize))
    }

    fn term_at(&self, pos: u64) -> Option<u64> {
        if pos + 1 == self.first { Some(self.base_term) } else { self.entry(pos).map(|e| e.term) }
    }

    fn meta(&self) -> Meta {
        Meta { term: self.term, commit: self.commit, base: self.disk_base, base_term: self.disk_base_term }
    }

    /// Whether the owner takes new records now.
    pub fn open(&self) -> bool {
        self.role == ReplicaRole::Owner
            && !matches!(&self.moving, Some(m) if matches!(m.phase, Phase::Stopping { .. } | Phase::Marked { .. }))
    }

    /// Whether the fold holds all that may have been committed before this node
    /// became owner: until then it cannot say that a message is not known.
    pub fn caught_up(&self) -> bool {
        self.state.position >= self.took_at
    }

    /// Whether the owner can say what becomes of a run: what the log may hold of it is
    /// folded. Before that a message that is not there need not be one that has ended.
    pub fn takes_reports(&self) -> bool {
        self.open() && self.caught_up()
    }

    pub fn is_moving(&self) -> bool {
        self.moving.is_some()
    }

    /// The followers that a planned move could go to, best first.
    pub fn candidates(&self) -> Vec<String> {
        let mut all: Vec<String> = self
            .in_sync
            .iter()
            .filter(|n| **n != self.me && self.peers.get(*n).is_some_and(|p| !p.mismatch))
            .cloned()
            .collect();
        all.sort_by_key(|n| self.replicas.iter().position(|h| h == n).unwrap_or(usize::MAX));
        all
    }

    pub fn in_sync(&self) -> &[String] {
        &self.in_sync
    }

    // ---- the owner's side ----

    /// Adds a record; it counts once it is committed. None when closed.
    pub fn append(&mut self, record: &Record, now: u64, out: &mut Vec<Effect>) -> Option<u64> {
        if !self.open() {
            return None;
        }
        Some(self.put(record, now, out))
    }

    fn put(&mut self, record: &Record, now: u64, out: &mut Vec<Effect>) -> u64 {
        let e = LogEntry { term: self.term, record: record.encode_to_vec().into() };
        let pos = self.end() + 1;
        self.log_bytes += e.record.len();
        self.since_snapshot += e.record.len();
        self.log.push_back(e.clone());
        out.push(Effect::Persist {
            del: None,
            put: vec![(pos, e)],
            meta: self.meta(),
            snapshot: None,
            term: self.term,
            end: pos,
        });
        let _ = now;
        pos
    }

    /// Sends followers what they lack. Called once after a batch of appends.
    pub fn flush(&mut self, now: u64, out: &mut Vec<Effect>) {
        if self.role != ReplicaRole::Owner {
            return;
        }
        let names: Vec<String> = self.replicas.iter().chain(&self.in_sync).cloned().collect();
        let mut seen = HashSet::new();
        for n in names {
            if n != self.me && seen.insert(n.clone()) {
                self.send_to(&n, now, false, out);
            }
        }
    }

    fn send_to(&mut self, node: &str, now: u64, notice: bool, out: &mut Vec<Effect>) {
        let end = self.end();
        let p = self.peers.entry(node.to_owned()).or_insert_with(|| Peer { heard: now, ..Peer::default() });
        if p.snapshot > 0 {
            return;
        }
        if p.sent >= end && !notice {
            return;
        }
        // One that lacks much is sent the state instead of all that led to it, when
        // that is less: bodies of what has ended are not in it.
        let lacks = self.state.position.saturating_sub(p.sent) as usize;
        let behind = lacks > 256 && {
            let from = (p.sent + 1).saturating_sub(self.first) as usize;
            let bytes: usize = self.log.iter().skip(from).take(lacks).map(|e| e.record.len()).sum();
            bytes > 2 * self.state.snapshot_bytes()
        };
        if p.sent + 1 < self.first || behind {
            self.send_snapshot(node, now, out);
            return;
        }
        let (mut entries, mut bytes) = (Vec::new(), 0);
        let prev = p.sent;
        let mut at = prev + 1;
        while at <= end && bytes < 512 << 10 {
            let e = &self.log[(at - self.first) as usize];
            bytes += e.record.len();
            entries.push(e.clone());
            at += 1;
        }
        let prev_term =
            if prev + 1 == self.first { self.base_term } else { self.log[(prev - self.first) as usize].term };
        p.sent = at - 1;
        p.told_commit = self.commit;
        let m = Entries {
            partition: self.id,
            term: self.term,
            owner: self.me.clone(),
            prev,
            prev_term,
            entries,
            commit: self.commit,
        };
        out.push(Effect::Send(node.to_owned(), Body::Entries(m)));
        if at <= end {
            self.send_to(node, now, false, out);
        }
    }

    fn send_snapshot(&mut self, node: &str, now: u64, out: &mut Vec<Effect>) {
        let position = self.state.position;
        let data: Bytes = self.state.snapshot().encode_to_vec().into();
        let position_term = self.term_at(position).unwrap_or(self.base_term);
        let size = 256 << 10;
        let parts = data.len().div_ceil(size).max(1);
        for i in 0..parts {
            let c = Chunk {
                partition: self.id,
                term: self.term,
                owner: self.me.clone(),
                position,
                position_term,
                part: i as u32,
                last: i + 1 == parts,
                data: data.slice(i * size..data.len().min((i + 1) * size)),
            };
            out.push(Effect::Send(node.to_owned(), Body::Chunk(c)));
        }
        telemetry::count("snapshots_sent");
        if let Some(p) = self.peers.get_mut(node) {
            p.snapshot = position;
            p.sent = position;
            p.resent = now;
        }
    }

    fn advance(&mut self, now: u64, out: &mut Vec<Effect>) {
        if self.role != ReplicaRole::Owner {
            return;
        }
        let acked = |n: &String| self.peers.get(n).map_or(0, |p| p.acked);
        let held = self
            .in_sync
            .iter()
            .chain(self.joining.keys())
            .filter(|n| **n != self.me)
            .map(acked)
            .fold(self.durable, u64::min);
        if held > self.commit {
            self.commit = held;
            if let Err(e) = self.fold_on(now, true, out) {
                telemetry::error!("{e}");
            }
            self.step_move(now, out);
        }
    }

    fn fold_on(&mut self, now: u64, live: bool, out: &mut Vec<Effect>) -> Result<(), String> {
        let mut changes = Vec::new();
        while self.state.position < self.commit {
            let pos = self.state.position + 1;
            let Some(e) = self.entry(pos) else {
                return Err(format!("partition {}: entry {pos} is committed and not there", self.id));
            };
            let record =
                Record::decode(e.record.clone()).map_err(|e| format!("partition {}: entry {pos}: {e}", self.id))?;
            let found = self.state.fold(pos, &record);
            self.digests.push_back((pos, self.state.digest()));
            if self.digests.len() > 8192 {
                self.digests.pop_front();
            }
            for c in found {
                match &c {
                    Change::Epoch { at, digest } if self.role == ReplicaRole::Follower => {
                        self.compare(pos, *at, *digest, out)
                    }
                    Change::Stopped(s)
                        if live
                            && self.role == ReplicaRole::Follower
                            && s.candidate == self.me
                            && s.term > self.term
                            && s.splice == pos =>
                    {
                        changes.clear();
                        self.resume(now, s.clone(), out);
                    }
                    _ => {}
                }
                if self.role == ReplicaRole::Owner {
                    changes.push(c);
                }
            }
        }
        if live && !changes.is_empty() {
            out.push(Effect::Folded(changes));
        }
        self.trim();
        Ok(())
    }

    /// Drops from memory what every follower has and the fold is past.
    fn trim(&mut self) {
        if self.log_bytes <= self.timing.keep_bytes {
            return;
        }
        let mut upto = self.state.position;
        if self.role == ReplicaRole::Owner {
            for n in self.in_sync.iter().filter(|n| **n != self.me) {
                upto = upto.min(self.peers.get(n).map_or(0, |p| p.acked));
            }
        }
        upto = upto.min(self.durable);
        while self.first <= upto && self.log_bytes > self.timing.keep_bytes / 2 {
            if let Some(e) = self.log.pop_front() {
                self.log_bytes -= e.record.len();
                self.base_term = e.term;
                self.first += 1;
            }
        }
    }

    /// Cuts the log on disk behind a snapshot once it has grown by so much.
    pub fn compact(&mut self, limit: usize, out: &mut Vec<Effect>) {
        let position = self.state.position;
        if self.since_snapshot <= limit || position <= self.disk_base || position > self.durable {
            return;
        }
        let Some(term) = self.term_at(position) else { return };
        let data: Bytes = self.state.snapshot().encode_to_vec().into();
        let from = self.disk_base + 1;
        self.disk_base = position;
        self.disk_base_term = term;
        self.since_snapshot = 0;
        telemetry::count("compactions");
        out.push(Effect::Persist {
            del: Some((from, position)),
            put: Vec::new(),
            meta: self.meta(),
            snapshot: Some(data),
            term: self.term,
            end: 0,
        });
    }

    fn compare(&mut self, pos: u64, at: u64, digest: u64, out: &mut Vec<Effect>) {
        let Some((_, mine)) = self.digests.iter().rev().find(|(p, _)| *p == at) else { return };
        if *mine == digest {
            if self.verified == 0 {
                self.verified_from = pos;
            }
            self.verified = pos;
            telemetry::count("epochs_matched");
        } else {
            self.verified = 0;
            self.verified_from = 0;
            self.mismatch = true;
            telemetry::count("epochs_mismatched");
            out.push(Effect::Mismatch(at));
        }
    }

    // ---- ownership ----

    /// The majority's word on this partition.
    pub fn assignments(&mut self, p: &Partition, now: u64, out: &mut Vec<Effect>) {
        if p.changed < self.told {
            // It came by another way than a newer one: an in-sync set that went back
            // would have commits that a member does not hold.
            telemetry::count("assignments_outdated");
            return;
        }
        self.told = p.changed;
        self.replicas.clone_from(&p.replicas);
        if p.term > self.term {
            if p.owner == self.me {
                if !p.in_sync.contains(&self.me) || p.joined_incarnation(&self.me) != self.incarnation {
                    // Said of a former incarnation, whose disk this one may not have.
                    self.follow(p.term, "", out);
                    return;
                }
                self.own(p.term, p.in_sync.clone(), p.seized, now, out);
                self.own_known = true;
            } else {
                self.follow(p.term, &p.owner, out);
            }
        } else if p.term == self.term {
            if self.role == ReplicaRole::Owner && p.owner == self.me {
                self.own_known = true;
                if self.in_sync != p.in_sync {
                    self.in_sync.clone_from(&p.in_sync);
                    self.joining.retain(|n, _| !p.in_sync.contains(n));
                    self.advance(now, out);
                }
                match &p.grant {
                    Some(g) => {
                        let stopping = Phase::Stopping { term: g.term, in_sync: g.in_sync.clone() };
                        match &mut self.moving {
                            Some(m) if m.candidate == g.candidate => {
                                if !matches!(m.phase, Phase::Marked { .. }) {
                                    m.phase = stopping;
                                }
                            }
                            _ => {
                                let candidate = g.candidate.clone();
                                self.moving = Some(Move { candidate, leaving: false, began: now, phase: stopping });
                            }
                        }
                        self.step_move(now, out);
                    }
                    None => {
                        if matches!(&self.moving, Some(m) if matches!(m.phase, Phase::Stopping { .. })) {
                            // Granted by an answer that was ahead of this news.
                        }
                    }
                }
            } else if self.role == ReplicaRole::Follower && p.owner != self.me {
                self.owner.clone_from(&p.owner);
            }
        }
    }

    fn own(&mut self, term: u64, in_sync: Vec<String>, seized: bool, now: u64, out: &mut Vec<Effect>) {
        self.term = term;
        self.role = ReplicaRole::Owner;
        self.owner = self.me.clone();
        self.in_sync = in_sync;
        self.joining.clear();
        self.peers.clear();
        self.moving = None;
        self.epochs.clear();
        self.chunks.clear();
        // Followers say themselves where they are.
        let end = self.end();
        self.took_at = end;
        for n in self.replicas.iter().chain(&self.in_sync).filter(|n| **n != self.me) {
            self.peers.insert(n.clone(), Peer { sent: end, heard: now, ..Peer::default() });
        }
        out.push(Effect::Persist { del: None, put: Vec::new(), meta: self.meta(), snapshot: None, term, end });
        out.push(Effect::TookOver { seized });
        let names: Vec<String> = self.peers.keys().cloned().collect();
        for n in names {
            self.send_to(&n, now, true, out);
        }
        self.advance(now, out);
    }

    fn follow(&mut self, term: u64, owner: &str, out: &mut Vec<Effect>) {
        if self.role == ReplicaRole::Owner {
            out.push(Effect::StoodDown(owner.to_owned()));
        }
        self.role = ReplicaRole::Follower;
        self.term = term;
        self.matched = self.commit;
        self.owner = owner.to_owned();
        self.moving = None;
        self.joining.clear();
        self.verified = 0;
        self.verified_from = 0;
    }

    /// This process goes on in another incarnation: what it owned was another's word.
    pub fn relive(&mut self, incarnation: u64, out: &mut Vec<Effect>) {
        self.incarnation = incarnation;
        if self.role == ReplicaRole::Owner {
            self.follow(self.term, "", out);
        }
    }

    /// The candidate saw the committed stop marker that names it.
    fn resume(&mut self, now: u64, s: Stop, out: &mut Vec<Effect>) {
        telemetry::count("splices_resumed");
        telemetry::change!("partition {} spliced at {}: owner at term {}", self.id, s.splice, s.term);
        self.own(s.term, s.in_sync, false, now, out);
        self.own_known = false;
        self.ask_own(now, out);
    }

    fn ask_own(&mut self, now: u64, out: &mut Vec<Effect>) {
        self.own_asked = now;
        out.push(Effect::Ask(Order {
            partition: self.id,
            term: self.term,
            node: self.me.clone(),
            kind: OrderKind::Own as i32,
            incarnation: self.incarnation,
            ..Order::default()
        }));
    }

    /// Begins a planned move.
    pub fn start_move(&mut self, candidate: &str, leaving: bool, at_ms: u64, now: u64, out: &mut Vec<Effect>) {
        if self.role != ReplicaRole::Owner || self.moving.is_some() || !self.in_sync.iter().any(|n| n == candidate) {
            return;
        }
        self.moving = Some(Move { candidate: candidate.into(), leaving, began: now, phase: Phase::Verify });
        let stage = Entry::Stage(Stage { candidate: candidate.into() });
        self.append(&Record { at_ms, entry: Some(stage) }, now, out);
        self.write_epoch(at_ms, now, out);
        self.flush(now, out);
        self.step_move(now, out);
    }

    fn write_epoch(&mut self, at_ms: u64, now: u64, out: &mut Vec<Effect>) {
        let epoch = Entry::Epoch(Epoch { position: self.state.position, digest: self.state.digest() });
        if let Some(pos) = self.append(&Record { at_ms, entry: Some(epoch) }, now, out) {
            self.epochs.insert(pos, now);
            while self.epochs.len() > 64 {
                self.epochs.pop_first();
            }
        }
        self.last_epoch = self.end();
    }

    /// A match is fresh when its epoch was written within two windows, and real
    /// when matches have been unbroken over at least one.
    fn proven(&self, candidate: &str, now: u64) -> bool {
        let Some(p) = self.peers.get(candidate) else { return false };
        if p.mismatch || p.verified == 0 {
            return false;
        }
        // Of the unbroken run, what this owner itself wrote counts.
        let first = self.epochs.range(p.verified_from..=p.verified).next().map(|(_, t)| t);
        let (Some(last), Some(first)) = (self.epochs.get(&p.verified), first) else {
            return false;
        };
        now.saturating_sub(*last) <= 2 * self.timing.window.max(self.timing.epoch)
            && last.saturating_sub(*first) >= self.timing.window
    }

    fn step_move(&mut self, now: u64, out: &mut Vec<Effect>) {
        let Some(m) = self.moving.clone() else { return };
        if self.role != ReplicaRole::Owner {
            return;
        }
        match m.phase {
            Phase::Verify => {
                if !self.in_sync.contains(&m.candidate) {
                    self.moving = None;
                } else if self.proven(&m.candidate, now) {
                    self.set_phase(Phase::Granting { asked: now });
                    self.ask_grant(&m, out);
                }
            }
            Phase::Granting { asked } => {
                if now > asked + self.timing.again {
                    self.set_phase(Phase::Granting { asked: now });
                    self.ask_grant(&m, out);
                }
            }
            Phase::Stopping { term, in_sync } => {
                // All that was taken is committed; nothing is taken any more.
                if self.commit == self.end() {
                    let splice = self.end() + 1;
                    let stop = Entry::Stop(Stop { splice, term, candidate: m.candidate, in_sync });
                    // The seam itself has no time: what is folded has it from records before.
                    self.put(&Record { at_ms: 0, entry: Some(stop) }, now, out);
                    self.set_phase(Phase::Marked { at: splice });
                    self.flush(now, out);
                    self.advance(now, out);
                }
            }
            Phase::Marked { at } => {
                if self.commit >= at {
                    telemetry::count("splices_marked");
                    telemetry::change!("partition {} stopped at {at} for {}", self.id, m.candidate);
                    let names: Vec<String> = self.peers.keys().cloned().collect();
                    for n in names {
                        self.send_to(&n, now, true, out);
                    }
                    self.role = ReplicaRole::Follower;
                    self.owner = m.candidate.clone();
                    self.moving = None;
                    self.joining.clear();
                    out.push(Effect::StoodDown(m.candidate));
                }
            }
        }
    }

    fn set_phase(&mut self, phase: Phase) {
        if let Some(m) = &mut self.moving {
            m.phase = phase;
        }
    }

    fn ask_grant(&self, m: &Move, out: &mut Vec<Effect>) {
        out.push(Effect::Ask(Order {
            partition: self.id,
            term: self.term,
            node: m.candidate.clone(),
            kind: OrderKind::Grant as i32,
            leaving: if m.leaving { self.me.clone() } else { String::new() },
            ..Order::default()
        }));
    }

    /// The majority's answer to something asked.
    pub fn ordered(&mut self, order: &Order, ack: &OrderAck, now: u64, out: &mut Vec<Effect>) {
        if let Some(p) = &ack.partition {
            self.assignments(p, now, out);
        }
        let join = order.kind == OrderKind::Join as i32;
        if join && !ack.ok && !ack.refused && order.seen != self.told && self.joining.contains_key(&order.node) {
            // Asked by an older word on this partition: at once by the newer one.
            self.joining.insert(order.node.clone(), now);
            self.ask_join(&order.node, out);
        }
        if ack.refused && order.term == self.term {
            match OrderKind::try_from(order.kind) {
                Ok(OrderKind::Grant) => self.moving = None,
                Ok(OrderKind::Join) => {
                    self.joining.remove(&order.node);
                    if let Some(p) = self.peers.get_mut(&order.node) {
                        p.refused = now;
                    }
                    self.advance(now, out);
                }
                _ => {}
            }
        }
    }

    // ---- the follower's side ----

    pub fn entries(&mut self, m: Entries, now: u64, out: &mut Vec<Effect>) {
        if m.term < self.term || (m.term == self.term && self.role == ReplicaRole::Owner) {
            out.push(Effect::Send(m.owner.clone(), Body::EntriesAck(self.ack(false))));
            return;
        }
        if m.term > self.term {
            self.follow(m.term, &m.owner, out);
        }
        self.owner.clone_from(&m.owner);
        let end = self.end();
        let joins = m.prev <= end && (m.prev + 1 < self.first || self.term_at(m.prev) == Some(m.prev_term));
        if !joins {
            if m.prev <= end {
                // What is behind the committed part may be another term's.
                self.cut_to(self.commit.max(self.first - 1), out);
            }
            // Told once: whatever else is under way joins on no better.
            let (term, end, at) = self.gap_told;
            if (term, end) != (self.term, self.end()) || now > at + self.timing.again / 2 {
                self.gap_told = (self.term, self.end(), now);
                out.push(Effect::Send(m.owner.clone(), Body::EntriesAck(self.ack(true))));
            }
            return;
        }
        let mut put = Vec::new();
        let mut pos = m.prev;
        for e in m.entries {
            pos += 1;
            if pos < self.first {
                continue;
            }
            match self.term_at(pos) {
                Some(t) if t == e.term => continue,
                Some(_) => self.cut_to(pos - 1, out),
                None => {}
            }
            self.log_bytes += e.record.len();
            self.since_snapshot += e.record.len();
            self.log.push_back(e.clone());
            put.push((pos, e));
        }
        let fresh = !put.is_empty();
        self.matched = self.matched.max(pos);
        self.commit = self.commit.max(m.commit.min(pos));
        if fresh {
            let end = self.end();
            out.push(Effect::Persist { del: None, put, meta: self.meta(), snapshot: None, term: self.term, end });
        }
        if let Err(e) = self.fold_on(now, true, out) {
            telemetry::error!("{e}");
        }
        if !fresh && self.role == ReplicaRole::Follower {
            out.push(Effect::Send(self.owner.clone(), Body::EntriesAck(self.ack(false))));
        }
    }

    fn cut_to(&mut self, pos: u64, out: &mut Vec<Effect>) {
        let end = self.end();
        if pos >= end || pos < self.commit {
            return;
        }
        while self.end() > pos {
            if let Some(e) = self.log.pop_back() {
                self.log_bytes -= e.record.len();
            }
        }
        self.durable = self.durable.min(pos);
        out.push(Effect::Persist {
            del: Some((pos + 1, end)),
            put: Vec::new(),
            meta: self.meta(),
            snapshot: None,
            term: self.term,
            end: 0,
        });
    }

    fn ack(&mut self, gap: bool) -> EntriesAck {
        EntriesAck {
            partition: self.id,
            term: self.term,
            node: self.me.clone(),
            durable: if gap { self.end() } else { self.durable.min(self.matched) },
            gap,
            verified: self.verified,
            verified_from: self.verified_from,
            mismatch: self.mismatch,
            incarnation: self.incarnation,
        }
    }

    pub fn chunk(&mut self, c: Chunk, now: u64, out: &mut Vec<Effect>) {
        if c.term < self.term || (c.term == self.term && self.role == ReplicaRole::Owner) {
            return;
        }
        if c.term > self.term {
            self.follow(c.term, &c.owner, out);
        }
        self.owner.clone_from(&c.owner);
        if c.position <= self.commit || self.term_at(c.position) == Some(c.position_term) {
            // Nothing new, and what is held behind it counts for the owner already.
            if c.last {
                self.matched = self.matched.max(c.position);
                self.commit = self.commit.max(c.position);
                if let Err(e) = self.fold_on(now, true, out) {
                    telemetry::error!("{e}");
                }
                let ack = self.ack(false);
                out.push(Effect::Send(self.owner.clone(), Body::EntriesAck(ack)));
            }
            return;
        }
        if c.part == 0 {
            self.chunks.clear();
            self.chunk_from = (c.term, c.position);
        }
        if self.chunk_from != (c.term, c.position) || self.chunks.len() != c.part as usize {
            return;
        }
        self.chunks.push(c.data);
        if !c.last {
            // So that the owner sees it coming and does not begin again.
            let ack = self.ack(false);
            out.push(Effect::Send(self.owner.clone(), Body::EntriesAck(ack)));
            return;
        }
        let data: Bytes = self.chunks.concat().into();
        self.chunks.clear();
        let restored = Snapshot::decode(data.clone())
            .map_err(|e| e.to_string())
            .and_then(|s| PartitionState::restore(&s, self.timing.status));
        let state = match restored {
            Ok(j) => j,
            Err(e) => {
                telemetry::error!("partition {}: {e}", self.id);
                return;
            }
        };
        let (from, end) = (self.disk_base + 1, self.end());
        self.state = state;
        self.log.clear();
        self.log_bytes = 0;
        self.since_snapshot = 0;
        self.first = c.position + 1;
        self.base_term = c.position_term;
        self.disk_base = c.position;
        self.disk_base_term = c.position_term;
        self.commit = c.position;
        self.matched = c.position;
        self.durable = 0;
        self.digests.clear();
        self.verified = 0;
        self.verified_from = 0;
        self.mismatch = false;
        let _ = now;
        out.push(Effect::Persist {
            del: (end >= from).then_some((from, end)),
            put: Vec::new(),
            meta: self.meta(),
            snapshot: Some(data),
            term: self.term,
            end: c.position,
        });
    }

    // ---- both ----

    /// The disk holds all up to `end` as it was at `term`.
    pub fn synced(&mut self, term: u64, end: u64, now: u64, out: &mut Vec<Effect>) {
        if term != self.term && self.role == ReplicaRole::Follower && end > self.commit {
            // Written before the term changed: it may have been cut away since.
            if self.term_at(end) != Some(term) {
                return;
            }
        }
        self.durable = self.durable.max(end.min(self.end()));
        match self.role {
            ReplicaRole::Owner => self.advance(now, out),
            ReplicaRole::Follower => {
                if !self.owner.is_empty() && self.owner != self.me {
                    let ack = self.ack(false);
                    out.push(Effect::Send(self.owner.clone(), Body::EntriesAck(ack)));
                }
            }
        }
    }

    pub fn acked(&mut self, a: EntriesAck, now: u64, out: &mut Vec<Effect>) {
        if a.term > self.term && self.role == ReplicaRole::Owner {
            // Somebody knows a higher term: the assignments will say who.
            telemetry::count("owners_fenced");
            let term = a.term;
            self.follow(term - 1, "", out);
            return;
        }
        if self.role != ReplicaRole::Owner || a.term != self.term {
            return;
        }
        let (commit, first, end, took_at) = (self.commit, self.first, self.end(), self.took_at);
        let Some(p) = self.peers.get_mut(&a.node) else { return };
        p.heard = now;
        if p.incarnation != a.incarnation {
            // Another process: what the former one had on disk may be gone.
            p.incarnation = a.incarnation;
            p.acked = 0;
            p.snapshot = 0;
            p.refused = 0;
        }
        let refused = now < p.refused + 4 * self.timing.again;
        p.verified = a.verified;
        p.verified_from = a.verified_from;
        if a.mismatch && !p.mismatch {
            telemetry::error!("partition {}: the shadow state of {} differs; no cutover to it", self.id, a.node);
        }
        p.mismatch = a.mismatch;
        if a.gap {
            p.snapshot = 0;
            // Its log may end behind this one's, with what was never committed.
            p.sent = a.durable.min(end);
            // It may have lost its disk: what it once held does not count.
            p.acked = p.acked.min(a.durable);
            let behind = p.sent + 1 < first;
            if behind && now < p.resent + self.timing.again {
                return;
            }
            self.send_to(&a.node, now, true, out);
            return;
        }
        if p.snapshot > 0 && a.durable >= p.snapshot {
            p.snapshot = 0;
        }
        if a.durable > p.acked {
            p.acked = a.durable.min(p.sent);
        }
        let acked = p.acked;
        let wanted = self.replicas.contains(&a.node);
        if wanted
            && !self.in_sync.contains(&a.node)
            && !self.joining.contains_key(&a.node)
            // Also what its owner found when it took over, and may have been committed.
            && acked >= commit.max(took_at)
            && !refused
        {
            self.joining.insert(a.node.clone(), now);
            self.ask_join(&a.node, out);
        }
        self.advance(now, out);
        self.flush(now, out);
        if matches!(&self.moving, Some(m) if m.phase == Phase::Verify) {
            self.step_move(now, out);
        }
    }

    fn ask_join(&self, node: &str, out: &mut Vec<Effect>) {
        out.push(Effect::Ask(Order {
            partition: self.id,
            term: self.term,
            node: node.to_owned(),
            kind: OrderKind::Join as i32,
            incarnation: self.peers.get(node).map_or(0, |p| p.incarnation),
            seen: self.told,
            ..Order::default()
        }));
    }

    pub fn tick(&mut self, now: u64, at_ms: u64, out: &mut Vec<Effect>) {
        if self.role != ReplicaRole::Owner {
            return;
        }
        let moving_verify = matches!(&self.moving, Some(m) if m.phase == Phase::Verify);
        let last = self.epochs.last_key_value().map_or(0, |(_, t)| *t);
        let due = if moving_verify { self.timing.window } else { self.timing.epoch };
        if now >= last + due && (self.end() > self.last_epoch || moving_verify) {
            self.write_epoch(at_ms, now, out);
        }
        if let Some(m) = &self.moving
            && m.phase == Phase::Verify
            && now > m.began + 40 * self.timing.window
        {
            telemetry::error!("partition {}: no match with {} in time, move given up", self.id, m.candidate);
            self.moving = None;
        }
        let again: Vec<String> = self
            .joining
            .iter_mut()
            .filter(|(_, asked)| now > **asked + self.timing.again)
            .map(|(n, asked)| {
                *asked = now;
                n.clone()
            })
            .collect();
        for n in again {
            self.ask_join(&n, out);
        }
        if !self.own_known && now > self.own_asked + self.timing.again {
            self.ask_own(now, out);
        }
        let end = self.end();
        let names: Vec<String> =
            self.replicas.iter().chain(&self.in_sync).filter(|n| **n != self.me).cloned().collect();
        for n in names {
            let commit = self.commit;
            let again = self.timing.again;
            // One that is to be in sync and is not is asked where it is, even
            // when there is nothing to send.
            let out_of_sync = !self.in_sync.contains(&n) && !self.joining.contains_key(&n);
            let p = self.peers.entry(n.clone()).or_insert_with(|| Peer { heard: now, ..Peer::default() });
            if (p.acked < end || out_of_sync) && now > p.heard.max(p.resent) + again {
                // Lost on the way, or the node is new here: say where we are.
                p.resent = now;
                p.snapshot = 0;
                p.sent = p.acked.max(self.first - 1).min(end);
                self.send_to(&n, now, true, out);
            } else if p.told_commit < commit && p.sent >= end {
                self.send_to(&n, now, true, out);
            }
        }
        // Nodes that are to hold nothing any more.
        if self.moving.is_none() && self.replicas.iter().all(|h| self.in_sync.contains(h)) {
            for n in self.in_sync.clone() {
                if !self.replicas.contains(&n) && n != self.me {
                    out.push(Effect::Ask(Order {
                        partition: self.id,
                        term: self.term,
                        node: n,
                        kind: OrderKind::Drop as i32,
                        ..Order::default()
                    }));
                }
            }
        }
        self.step_move(now, out);
        self.flush(now, out);
    }
}
