//! The follower's side of replication: entries and snapshots received from the owner.

use super::*;

/// Joins the chunks of a snapshot, and frees each one once it is copied.
fn join_chunks(chunks: Vec<Bytes>) -> Bytes {
    let mut data = Vec::with_capacity(chunks.iter().map(Bytes::len).sum());
    for chunk in chunks {
        data.extend_from_slice(&chunk);
    }
    data.into()
}

impl PartitionReplica {
    pub fn handle_entries(&mut self, message: Entries, now: u64, out: &mut Vec<Effect>) {
        if message.term < self.term || (message.term == self.term && self.role == ReplicaRole::Owner) {
            out.push(Effect::Send(message.owner.clone(), Body::EntriesAck(self.ack(false))));
            return;
        }
        if message.term > self.term {
            self.become_follower(message.term, &message.owner, out);
        }
        self.owner.clone_from(&message.owner);
        self.clock.observe_owner_time(message.time_ms, now);
        let end = self.end();
        let is_contiguous = message.prev <= end
            && (message.prev + 1 < self.first_position || self.term_at(message.prev) == Some(message.prev_term));
        if !is_contiguous {
            if message.prev <= end {
                // Uncommitted entries may be from another term.
                self.truncate_after(self.commit.max(self.first_position - 1), out);
            }
            // Reported once: entries that are still in flight do not close the gap either.
            let (term, end, at) = self.last_gap_report;
            if (term, end) != (self.term, self.end()) || now > at + self.timing.resend_ms / 2 {
                self.last_gap_report = (self.term, self.end(), now);
                out.push(Effect::Send(message.owner.clone(), Body::EntriesAck(self.ack(true))));
            }
            return;
        }
        let mut put = Vec::new();
        let mut position = message.prev;
        for received in message.entries {
            position += 1;
            if position < self.first_position {
                continue;
            }
            match self.term_at(position) {
                Some(t) if t == received.term => continue,
                Some(_) => self.truncate_after(position - 1, out),
                None => {}
            }
            // A record that shared the memory of its frame would keep all of it.
            let e = LogEntry { term: received.term, record: Bytes::copy_from_slice(&received.record) };
            self.log_bytes += e.record.len();
            self.unapplied_bytes += e.record.len();
            self.since_snapshot += e.record.len();
            self.log.push_back(e.clone());
            put.push((position, e));
        }
        let has_new_entries = !put.is_empty();
        self.matched = self.matched.max(position);
        self.commit = self.commit.max(message.commit.min(position));
        if has_new_entries {
            let end = self.end();
            out.push(Effect::Persist { del: None, put, meta: self.meta(), snapshot: None, term: self.term, end });
        }
        if let Err(e) = self.apply_committed(now, true, out) {
            telemetry::error!("{e}");
        }
        if !has_new_entries && self.role == ReplicaRole::Follower {
            out.push(Effect::Send(self.owner.clone(), Body::EntriesAck(self.ack(false))));
        }
    }

    /// An acknowledgement. With `gap`, its position is the end of the log, after which the owner is to
    /// resend.
    pub(super) fn ack(&mut self, gap: bool) -> EntriesAck {
        EntriesAck {
            partition: self.id,
            term: self.term,
            node: self.node.clone(),
            durable: if gap { self.end() } else { self.durable.min(self.matched) },
            gap,
            verified: self.verified,
            verified_from: self.verified_from,
            mismatch: self.mismatch,
            incarnation: self.incarnation,
            max_record_bytes: self.max_record_bytes as u64,
            is_full: self.is_node_full,
        }
    }

    pub fn handle_chunk(&mut self, chunk: Chunk, now: u64, out: &mut Vec<Effect>) {
        if chunk.term < self.term || (chunk.term == self.term && self.role == ReplicaRole::Owner) {
            return;
        }
        if chunk.term > self.term {
            self.become_follower(chunk.term, &chunk.owner, out);
        }
        self.owner.clone_from(&chunk.owner);
        if chunk.position <= self.commit || self.term_at(chunk.position) == Some(chunk.position_term) {
            // The snapshot contains nothing new, and the owner already counts on the entries after it.
            if chunk.last {
                self.matched = self.matched.max(chunk.position);
                self.commit = self.commit.max(chunk.position);
                if let Err(e) = self.apply_committed(now, true, out) {
                    telemetry::error!("{e}");
                }
                let ack = self.ack(false);
                out.push(Effect::Send(self.owner.clone(), Body::EntriesAck(ack)));
            }
            return;
        }
        if self.received_snapshot > self.durable {
            // A snapshot waits for the disk. Its owner sends newer ones while it hears nothing; each of
            // them would hold one more copy of the partition until it is written.
            telemetry::count("snapshots_ignored");
            return;
        }
        if chunk.part == 0 {
            self.snapshot_chunks.clear();
            self.incoming_snapshot = (chunk.term, chunk.position);
        }
        if self.incoming_snapshot != (chunk.term, chunk.position) || self.snapshot_chunks.len() != chunk.part as usize {
            return;
        }
        self.snapshot_chunks.push(chunk.data);
        if !chunk.last {
            // Tells the owner that the transfer is in progress, so that it does not restart it.
            let ack = self.ack(false);
            out.push(Effect::Send(self.owner.clone(), Body::EntriesAck(ack)));
            return;
        }
        let data = join_chunks(std::mem::take(&mut self.snapshot_chunks));
        let restored = Snapshot::decode(data)
            .map_err(|e| e.to_string())
            .and_then(|s| PartitionState::restore(&s, self.timing.retention()));
        let state = match restored {
            Ok(state) => state,
            Err(e) => {
                telemetry::error!("partition {}: {e}", self.id);
                return;
            }
        };
        let (from, end) = (self.disk_base + 1, self.end());
        self.state = state;
        self.clock.observe_record(self.state.reached_ms(), now);
        self.log.clear();
        self.log_bytes = 0;
        self.unapplied_bytes = 0;
        self.since_snapshot = 0;
        self.first_position = chunk.position + 1;
        self.base_term = chunk.position_term;
        self.disk_base = chunk.position;
        self.disk_base_term = chunk.position_term;
        self.commit = chunk.position;
        self.matched = chunk.position;
        self.durable = 0;
        self.received_snapshot = chunk.position;
        self.digests.clear();
        self.verified = 0;
        self.verified_from = 0;
        self.mismatch = false;
        let _ = now;
        out.push(Effect::Persist {
            del: (end >= from).then_some((from, end)),
            put: Vec::new(),
            meta: self.meta(),
            // Encoded anew: it shares the bodies with the state, and what was received is freed.
            snapshot: Some(self.state.encode_snapshot()),
            term: self.term,
            end: chunk.position,
        });
    }
}
