//! Replication: what is sent to the other replicas, what they hold, and what is
//! committed by it.

use super::*;

impl PartitionReplica {
    /// Sends followers what they lack. Called once after a batch of appends.
    pub fn flush(&mut self, now: u64, out: &mut Vec<Effect>) {
        if self.role != ReplicaRole::Owner {
            return;
        }
        let names: Vec<String> = self.replicas.iter().chain(&self.in_sync).cloned().collect();
        let mut seen = HashSet::new();
        for n in names {
            if n != self.node && seen.insert(n.clone()) {
                self.send_to(&n, now, false, out);
            }
        }
    }

    pub(super) fn send_to(&mut self, node: &str, now: u64, notice: bool, out: &mut Vec<Effect>) {
        let end = self.end();
        let p = self.peers.entry(node.to_owned()).or_insert_with(|| Peer::new(now));
        if p.snapshot_position > 0 {
            return;
        }
        if p.sent >= end && !notice {
            return;
        }
        // One that lacks much is sent the state instead of all that led to it, when
        // that is less: bodies of what has ended are not in it.
        let lacks = self.state.position.saturating_sub(p.sent) as usize;
        let behind = lacks > 256 && {
            let from = (p.sent + 1).saturating_sub(self.first_position) as usize;
            let bytes: usize = self.log.iter().skip(from).take(lacks).map(|e| e.record.len()).sum();
            bytes > 2 * self.state.snapshot_bytes()
        };
        if p.sent + 1 < self.first_position || behind {
            self.send_snapshot(node, now, out);
            return;
        }
        let (mut entries, mut bytes) = (Vec::new(), 0);
        let prev = p.sent;
        let mut at = prev + 1;
        while at <= end && bytes < 512 << 10 {
            let e = &self.log[(at - self.first_position) as usize];
            bytes += e.record.len();
            entries.push(e.clone());
            at += 1;
        }
        let prev_term = if prev + 1 == self.first_position {
            self.base_term
        } else {
            self.log[(prev - self.first_position) as usize].term
        };
        p.sent = at - 1;
        p.sent_commit = self.commit;
        let m = Entries {
            partition: self.id,
            term: self.term,
            owner: self.node.clone(),
            prev,
            prev_term,
            entries,
            commit: self.commit,
            time_ms: self.clock.running_time(now).unwrap_or(0),
        };
        out.push(Effect::Send(node.to_owned(), Body::Entries(m)));
        if at <= end {
            self.send_to(node, now, false, out);
        }
    }

    pub(super) fn send_snapshot(&mut self, node: &str, now: u64, out: &mut Vec<Effect>) {
        let position = self.state.position;
        let data: Bytes = self.state.snapshot().encode_to_vec().into();
        let position_term = self.term_at(position).unwrap_or(self.base_term);
        let size = 256 << 10;
        let parts = data.len().div_ceil(size).max(1);
        for i in 0..parts {
            let c = Chunk {
                partition: self.id,
                term: self.term,
                owner: self.node.clone(),
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
            p.snapshot_position = position;
            p.sent = position;
            p.last_resent = now;
        }
    }

    pub(super) fn advance_commit(&mut self, now: u64, out: &mut Vec<Effect>) {
        if self.role != ReplicaRole::Owner {
            return;
        }
        let acked = |n: &String| self.peers.get(n).map_or(0, |p| p.acked);
        let held = self
            .in_sync
            .iter()
            .chain(self.joining.keys())
            .filter(|n| **n != self.node)
            .map(acked)
            .fold(self.durable, u64::min);
        if held > self.commit {
            self.commit = held;
            if let Err(e) = self.apply_committed(now, true, out) {
                telemetry::error!("{e}");
            }
            self.advance_move(now, out);
        }
    }

    /// The disk holds all up to `end` as it was at `term`.
    pub fn handle_synced(&mut self, term: u64, end: u64, now: u64, out: &mut Vec<Effect>) {
        if term != self.term && self.role == ReplicaRole::Follower && end > self.commit {
            // Written before the term changed: it may have been cut away since.
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

    pub fn handle_entries_ack(&mut self, a: EntriesAck, now: u64, out: &mut Vec<Effect>) {
        if a.term > self.term && self.role == ReplicaRole::Owner {
            // Somebody knows a higher term: the assignments will say who.
            telemetry::count("owners_fenced");
            let term = a.term;
            self.become_follower(term - 1, "", out);
            return;
        }
        if self.role != ReplicaRole::Owner || a.term != self.term {
            return;
        }
        let (commit, first, end, takeover_end) = (self.commit, self.first_position, self.end(), self.takeover_end);
        let Some(p) = self.peers.get_mut(&a.node) else { return };
        (p.last_heard, p.silent_since) = (now, now);
        if p.incarnation != a.incarnation {
            // Another process: what the former one had on disk may be gone.
            p.incarnation = a.incarnation;
            p.acked = 0;
            p.snapshot_position = 0;
            p.join_refused_at = 0;
        }
        let refused = now < p.join_refused_at + 4 * self.timing.resend_ms;
        p.verified = a.verified;
        p.verified_from = a.verified_from;
        if a.mismatch && !p.mismatch {
            telemetry::error!("partition {}: the shadow state of {} differs; no cutover to it", self.id, a.node);
        }
        p.mismatch = a.mismatch;
        if a.gap {
            p.snapshot_position = 0;
            // Its log may end behind this one's, with what was never committed.
            p.sent = a.durable.min(end);
            // It may have lost its disk: what it once held does not count.
            p.acked = p.acked.min(a.durable);
            let behind = p.sent + 1 < first;
            if behind && now < p.last_resent + self.timing.resend_ms {
                return;
            }
            self.send_to(&a.node, now, true, out);
            return;
        }
        if p.snapshot_position > 0 && a.durable >= p.snapshot_position {
            p.snapshot_position = 0;
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
            && acked >= commit.max(takeover_end)
            && !refused
        {
            self.joining.insert(a.node.clone(), now);
            self.request_join(&a.node, out);
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
