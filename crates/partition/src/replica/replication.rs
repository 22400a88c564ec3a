//! The owner's side of replication: sending entries and snapshots, tracking acknowledgements, and
//! advancing the commit position.

use super::*;

/// Entries are sent in batches of at most this many bytes of records; a longer record is sent alone.
const MAX_BATCH_BYTES: usize = 512 << 10;
/// The longest chunk of a snapshot, in bytes.
const SNAPSHOT_CHUNK_BYTES: usize = 256 << 10;

impl PartitionReplica {
    /// Sends missing entries to the followers. Called once after a batch of appends.
    pub fn flush(&mut self, now: u64, out: &mut Vec<Effect>) {
        if self.role != ReplicaRole::Owner {
            return;
        }
        let names: Vec<String> = self.replicas.iter().chain(&self.in_sync).cloned().collect();
        let mut seen = HashSet::new();
        for node in names {
            if node != self.node && seen.insert(node.clone()) {
                self.send_to(&node, now, false, out);
            }
        }
    }

    pub(super) fn send_to(&mut self, node: &str, now: u64, force: bool, out: &mut Vec<Effect>) {
        let end = self.end();
        let peer = self.peers.entry(node.to_owned()).or_insert_with(|| Peer::new(now));
        if peer.snapshot_position > 0 {
            return;
        }
        if peer.sent >= end && !force {
            return;
        }
        // A replica that is far behind is sent a snapshot if that is smaller than the missing entries;
        // snapshots do not contain the bodies of settled messages.
        let missing = self.state.position.saturating_sub(peer.sent) as usize;
        let prefer_snapshot = missing > 256 && {
            let from = (peer.sent + 1).saturating_sub(self.first_position) as usize;
            let bytes: usize = self.log.iter().skip(from).take(missing).map(|e| e.record.len()).sum();
            bytes > 2 * self.state.snapshot_bytes()
        };
        if peer.sent + 1 < self.first_position || prefer_snapshot {
            self.send_snapshot(node, now, out);
            return;
        }
        let (mut entries, mut bytes) = (Vec::new(), 0);
        let prev = peer.sent;
        let mut position = prev + 1;
        let record_limit = peer.record_limit.bytes();
        peer.refused_record = None;
        while position <= end {
            let e = &self.log[(position - self.first_position) as usize];
            let record_bytes = e.record.len();
            if record_bytes > record_limit {
                peer.refused_record = Some(RefusedRecord { position, bytes: record_bytes });
                break;
            }
            if !entries.is_empty() && bytes + record_bytes > MAX_BATCH_BYTES {
                break;
            }
            bytes += record_bytes;
            entries.push(e.clone());
            position += 1;
        }
        if entries.is_empty() && peer.refused_record.is_some() {
            // Chunks of a snapshot are short. Uncommitted records are in no snapshot.
            if position <= self.state.position && peer.record_limit != PeerRecordLimit::Unknown {
                self.send_snapshot(node, now, out);
                return;
            }
            if !force {
                return;
            }
        }
        let prev_term = if prev + 1 == self.first_position {
            self.base_term
        } else {
            self.log[(prev - self.first_position) as usize].term
        };
        peer.sent = position - 1;
        peer.sent_commit = self.commit;
        let message = Entries {
            partition: self.id,
            term: self.term,
            owner: self.node.clone(),
            prev,
            prev_term,
            entries,
            commit: self.commit,
            time_ms: self.clock.running_time(now).unwrap_or(0),
        };
        let is_refused = peer.refused_record.is_some();
        out.push(Effect::Send(node.to_owned(), Body::Entries(message)));
        if position <= end && !is_refused {
            self.send_to(node, now, false, out);
        }
    }

    pub(super) fn send_snapshot(&mut self, node: &str, now: u64, out: &mut Vec<Effect>) {
        let position = self.state.position;
        let chunks = self.state.encode_snapshot().into_chunks(SNAPSHOT_CHUNK_BYTES);
        let position_term = self.term_at(position).unwrap_or(self.base_term);
        let parts = chunks.len();
        for (i, data) in chunks.into_iter().enumerate() {
            let chunk = Chunk {
                partition: self.id,
                term: self.term,
                owner: self.node.clone(),
                position,
                position_term,
                part: i as u32,
                last: i + 1 == parts,
                data,
            };
            out.push(Effect::Send(node.to_owned(), Body::Chunk(chunk)));
        }
        telemetry::count("snapshots_sent");
        if let Some(peer) = self.peers.get_mut(node) {
            peer.snapshot_position = position;
            peer.sent = position;
            peer.last_resent = now;
        }
    }

    pub(super) fn advance_commit(&mut self, now: u64, out: &mut Vec<Effect>) {
        if self.role != ReplicaRole::Owner {
            return;
        }
        let acked = |n: &String| self.peers.get(n).map_or(0, |p| p.acked);
        let replicated = self
            .in_sync
            .iter()
            .chain(self.joining.keys())
            .filter(|n| **n != self.node)
            .map(acked)
            .fold(self.durable, u64::min);
        if replicated > self.commit {
            self.commit = replicated;
            if let Err(e) = self.apply_committed(now, true, out) {
                telemetry::error!("{e}");
            }
            self.advance_move(now, out);
        }
    }

    /// Handles the completion of a write that synced the log up to `end`, issued at `term`.
    pub fn handle_synced(&mut self, term: u64, end: u64, now: u64, out: &mut Vec<Effect>) {
        if term != self.term && self.role == ReplicaRole::Follower && end > self.commit {
            // Written before the term changed: the entries may have been truncated since.
            if self.term_at(end) != Some(term) {
                return;
            }
        }
        self.durable = self.durable.max(end.min(self.end()));
        match self.role {
            ReplicaRole::Owner => self.advance_commit(now, out),
            ReplicaRole::Follower => {
                if !self.owner.is_empty() && self.owner != self.node {
                    let ack = self.ack(false);
                    out.push(Effect::Send(self.owner.clone(), Body::EntriesAck(ack)));
                }
            }
        }
    }

    /// Handles an acknowledgement from a follower, and requests its addition to the in-sync set once it
    /// holds everything that may have been committed.
    pub fn handle_entries_ack(&mut self, ack: EntriesAck, now: u64, out: &mut Vec<Effect>) {
        if ack.term > self.term && self.role == ReplicaRole::Owner {
            // A higher term exists; the assignments will name its owner.
            telemetry::count("owners_fenced");
            let term = ack.term;
            self.become_follower(term - 1, "", out);
            return;
        }
        if self.role != ReplicaRole::Owner || ack.term != self.term {
            return;
        }
        let (commit, first, end, takeover_end) = (self.commit, self.first_position, self.end(), self.takeover_end);
        let Some(peer) = self.peers.get_mut(&ack.node) else { return };
        peer.last_heard = now;
        peer.record_limit = PeerRecordLimit::of(&ack);
        peer.is_full = ack.is_full;
        if peer.snapshot_position > 0 || ack.durable > peer.acked || peer.incarnation != ack.incarnation {
            // Chunks of a snapshot are acknowledged before their entries are durable.
            peer.progressed_at = now;
        }
        if peer.incarnation != ack.incarnation {
            // A new process: the disk contents of the previous one may be lost.
            peer.incarnation = ack.incarnation;
            peer.acked = 0;
            peer.snapshot_position = 0;
            peer.join_refused_at = 0;
        }
        let refused = now < peer.join_refused_at + 4 * self.timing.resend_ms;
        peer.verified = ack.verified;
        peer.verified_from = ack.verified_from;
        if ack.mismatch && !peer.mismatch {
            telemetry::error!(
                "partition {}: the state digest of {} does not match; it is excluded from planned moves",
                self.id,
                ack.node
            );
        }
        peer.mismatch = ack.mismatch;
        if ack.gap {
            peer.snapshot_position = 0;
            // Its log may extend past the end of this one, with entries that were never committed.
            peer.sent = ack.durable.min(end);
            // It may have lost its disk, so earlier acknowledgements do not count.
            peer.acked = peer.acked.min(ack.durable);
            let behind = peer.sent + 1 < first;
            if behind && now < peer.last_resent + self.timing.resend_ms {
                return;
            }
            self.send_to(&ack.node, now, true, out);
            return;
        }
        if peer.snapshot_position > 0 && ack.durable >= peer.snapshot_position {
            peer.snapshot_position = 0;
        }
        if ack.durable > peer.acked {
            peer.acked = ack.durable.min(peer.sent);
        }
        let acked = peer.acked;
        if peer.refused_record.is_some_and(|record| record.position <= acked) {
            peer.refused_record = None;
        }
        let receives_all = peer.refused_record.is_none();
        let wanted = self.replicas.contains(&ack.node);
        if wanted
            && !self.in_sync.contains(&ack.node)
            && !self.joining.contains_key(&ack.node)
            // Includes entries found at takeover, which a former owner may have committed.
            && acked >= commit.max(takeover_end)
            && !refused
            && receives_all
        {
            self.joining.insert(ack.node.clone(), now);
            self.request_join(&ack.node, out);
        }
        self.advance_commit(now, out);
        self.flush(now, out);
        if matches!(&self.planned_move, Some(m) if m.phase == Phase::Verifying) {
            self.advance_move(now, out);
        }
    }

    pub(super) fn request_join(&self, node: &str, out: &mut Vec<Effect>) {
        out.push(Effect::SubmitOrder(Order {
            partition: self.id,
            term: self.term,
            node: node.to_owned(),
            kind: OrderKind::Join as i32,
            incarnation: self.peers.get(node).map_or(0, |p| p.incarnation),
            seen: self.assignment_version,
            ..Order::default()
        }));
    }
}
