//! The follower: records and snapshots that come from the owner.

use super::*;

impl PartitionReplica {
    pub fn handle_entries(&mut self, m: Entries, now: u64, out: &mut Vec<Effect>) {
        if m.term < self.term || (m.term == self.term && self.role == ReplicaRole::Owner) {
            out.push(Effect::Send(m.owner.clone(), Body::EntriesAck(self.ack(false))));
            return;
        }
        if m.term > self.term {
            self.become_follower(m.term, &m.owner, out);
        }
        self.owner.clone_from(&m.owner);
        self.clock.observe_owner_time(m.time_ms, now);
        let end = self.end();
        let joins = m.prev <= end && (m.prev + 1 < self.first_position || self.term_at(m.prev) == Some(m.prev_term));
        if !joins {
            if m.prev <= end {
                // What is behind the committed part may be another term's.
                self.truncate_after(self.commit.max(self.first_position - 1), out);
            }
            // Told once: whatever else is under way joins on no better.
            let (term, end, at) = self.last_gap_report;
            if (term, end) != (self.term, self.end()) || now > at + self.timing.resend_ms / 2 {
                self.last_gap_report = (self.term, self.end(), now);
                out.push(Effect::Send(m.owner.clone(), Body::EntriesAck(self.ack(true))));
            }
            return;
        }
        let mut put = Vec::new();
        let mut pos = m.prev;
        for e in m.entries {
            pos += 1;
            if pos < self.first_position {
                continue;
            }
            match self.term_at(pos) {
                Some(t) if t == e.term => continue,
                Some(_) => self.truncate_after(pos - 1, out),
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
        if let Err(e) = self.apply_committed(now, true, out) {
            telemetry::error!("{e}");
        }
        if !fresh && self.role == ReplicaRole::Follower {
            out.push(Effect::Send(self.owner.clone(), Body::EntriesAck(self.ack(false))));
        }
    }

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
        }
    }

    pub fn handle_chunk(&mut self, c: Chunk, now: u64, out: &mut Vec<Effect>) {
        if c.term < self.term || (c.term == self.term && self.role == ReplicaRole::Owner) {
            return;
        }
        if c.term > self.term {
            self.become_follower(c.term, &c.owner, out);
        }
        self.owner.clone_from(&c.owner);
        if c.position <= self.commit || self.term_at(c.position) == Some(c.position_term) {
            // Nothing new, and what is held behind it counts for the owner already.
            if c.last {
                self.matched = self.matched.max(c.position);
                self.commit = self.commit.max(c.position);
                if let Err(e) = self.apply_committed(now, true, out) {
                    telemetry::error!("{e}");
                }
                let ack = self.ack(false);
                out.push(Effect::Send(self.owner.clone(), Body::EntriesAck(ack)));
            }
            return;
        }
        if c.part == 0 {
            self.snapshot_chunks.clear();
            self.incoming_snapshot = (c.term, c.position);
        }
        if self.incoming_snapshot != (c.term, c.position) || self.snapshot_chunks.len() != c.part as usize {
            return;
        }
        self.snapshot_chunks.push(c.data);
        if !c.last {
            // So that the owner sees it coming and does not begin again.
            let ack = self.ack(false);
            out.push(Effect::Send(self.owner.clone(), Body::EntriesAck(ack)));
            return;
        }
        let data: Bytes = self.snapshot_chunks.concat().into();
        self.snapshot_chunks.clear();
        let restored = Snapshot::decode(data.clone())
            .map_err(|e| e.to_string())
            .and_then(|s| PartitionState::restore(&s, self.timing.retention()));
        let state = match restored {
            Ok(j) => j,
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
        self.since_snapshot = 0;
        self.first_position = c.position + 1;
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
}
