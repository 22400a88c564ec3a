//! The log of a partition: appending, compaction, and truncation of uncommitted entries.

use super::*;

impl PartitionReplica {
    /// Position of the last entry.
    pub fn end(&self) -> u64 {
        self.first_position + self.log.len() as u64 - 1
    }

    pub(super) fn entry(&self, pos: u64) -> Option<&LogEntry> {
        pos.checked_sub(self.first_position).and_then(|i| self.log.get(i as usize))
    }

    pub(super) fn term_at(&self, pos: u64) -> Option<u64> {
        if pos + 1 == self.first_position { Some(self.base_term) } else { self.entry(pos).map(|e| e.term) }
    }

    pub(super) fn meta(&self) -> Meta {
        Meta { term: self.term, commit: self.commit, base: self.disk_base, base_term: self.disk_base_term }
    }

    /// Appends a record, which takes effect once it is committed. `None` if the replica is not
    /// writable or the record is longer than the replicas receive.
    pub fn append(&mut self, record: &Record, now: u64, out: &mut Vec<Effect>) -> Option<u64> {
        if !self.is_writable() {
            return None;
        }
        let bytes = record.encoded_len();
        if self.fit(bytes) != RecordFit::Fits {
            telemetry::count("records_too_long");
            telemetry::error!("partition {}: a record of {bytes} bytes is too long and is not appended", self.id);
            return None;
        }
        Some(self.append_to_log(record, now, out))
    }

    /// Whether a record of this length may be appended: this node and every replica whose
    /// acknowledgement its commit needs must be able to receive it.
    pub fn fit(&self, bytes: usize) -> RecordFit {
        if bytes > self.max_record_bytes {
            return RecordFit::TooLong { limit: self.max_record_bytes };
        }
        if bytes <= UNSTATED_RECORD_LIMIT {
            return RecordFit::Fits;
        }
        let others = self.in_sync.iter().chain(self.joining.keys()).filter(|node| **node != self.node);
        let limits = others.map(|node| self.peers.get(node).map_or(PeerRecordLimit::Unknown, |peer| peer.record_limit));
        let mut fit = RecordFit::Fits;
        for limit in limits {
            match limit {
                PeerRecordLimit::Stated(limit) if limit < bytes => return RecordFit::TooLong { limit },
                PeerRecordLimit::Stated(_) => {}
                PeerRecordLimit::Unknown | PeerRecordLimit::Unstated => fit = RecordFit::Unknown,
            }
        }
        fit
    }

    pub(super) fn append_to_log(&mut self, record: &Record, now: u64, out: &mut Vec<Effect>) -> u64 {
        let e = LogEntry { term: self.term, record: record.encode_to_vec().into() };
        let pos = self.end() + 1;
        self.log_bytes += e.record.len();
        self.unapplied_bytes += e.record.len();
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

    /// Drops applied entries that all in-sync followers hold from memory.
    pub(super) fn trim(&mut self) {
        if self.log_bytes <= self.timing.log_cache_bytes {
            return;
        }
        let mut upto = self.state.position;
        if self.role == ReplicaRole::Owner {
            for n in self.in_sync.iter().filter(|n| **n != self.node) {
                upto = upto.min(self.peers.get(n).map_or(0, |p| p.acked));
            }
        }
        upto = upto.min(self.durable);
        while self.first_position <= upto && self.log_bytes > self.timing.log_cache_bytes / 2 {
            if let Some(e) = self.log.pop_front() {
                self.log_bytes -= e.record.len();
                self.base_term = e.term;
                self.first_position += 1;
            }
        }
    }

    /// Writes a snapshot and deletes the log up to it from disk, once the log has grown by more than
    /// `limit` bytes since the last snapshot.
    pub fn compact(&mut self, limit: usize, out: &mut Vec<Effect>) {
        let position = self.state.position;
        if self.since_snapshot <= limit || position <= self.disk_base || position > self.durable {
            return;
        }
        let Some(term) = self.term_at(position) else { return };
        let data = self.state.encode_snapshot();
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

    pub(super) fn truncate_after(&mut self, pos: u64, out: &mut Vec<Effect>) {
        let end = self.end();
        if pos >= end || pos < self.commit {
            return;
        }
        while self.end() > pos {
            if let Some(e) = self.log.pop_back() {
                self.log_bytes -= e.record.len();
                self.unapplied_bytes = self.unapplied_bytes.saturating_sub(e.record.len());
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
}
