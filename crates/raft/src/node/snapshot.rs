//! Snapshots: log compaction, and transfer of the state in chunks to followers that lag.

use super::*;

impl RaftNode {
    /// Sets the largest snapshot accepted from a leader.
    pub fn set_snapshot_limit(&mut self, bytes: u64) {
        self.snapshot_limit = bytes;
    }

    /// Whether a snapshot transfer is in progress. If the log is compacted meanwhile, the
    /// follower needs the newer snapshot as well before the first one is of use.
    pub fn is_sending_snapshot(&self) -> bool {
        !self.outgoing.is_empty()
    }

    /// Sends the next chunk of a snapshot. While that chunk is unacknowledged, sends an empty
    /// one as a heartbeat, which the follower answers with the number of bytes it has.
    pub(super) fn send_snapshot_chunk(&mut self, to: &str, mut m: RaftMessage, out: &mut Vec<Effect>) {
        if !self.outgoing.contains_key(to) {
            let digest = self.digest.get_or_insert_with(|| sha256(&self.state)).clone();
            let (index, term) = (self.hard.base, self.hard.base_term);
            let (voters, state) = (self.hard.voters.clone(), self.state.clone());
            telemetry::count("raft_snapshots_sent");
            self.outgoing.insert(
                to.into(),
                OutgoingSnapshot { index, term, voters, state, digest, acked_bytes: 0, sent_in_round: 0 },
            );
        }
        let round = self.round;
        let Some(o) = self.outgoing.get_mut(to) else { return };
        m.kind = RaftMessageKind::InstallSnapshot as i32;
        (m.index, m.log_term) = (o.index, o.term);
        m.voters.clone_from(&o.voters);
        m.digest = o.digest.clone();
        (m.offset, m.total) = (o.acked_bytes, o.state.len() as u64);
        if o.sent_in_round == 0 {
            let from = o.acked_bytes as usize;
            m.state = o.state.slice(from..(from + MAX_APPEND_BYTES).min(o.state.len()));
            o.sent_in_round = round;
        }
        out.push(Effect::Send(to.into(), m));
    }

    /// Handles a follower's progress in a snapshot transfer.
    pub(super) fn handle_snapshot_response(&mut self, now: u64, m: RaftMessage, out: &mut Vec<Effect>) {
        if self.role != StateRole::Leader || m.term != self.hard.term {
            return;
        }
        if m.readmit {
            self.awaiting_readmission.entry(m.from.clone()).or_insert(now);
        }
        self.record_response(now, &m);
        let Some(o) = self.outgoing.get_mut(&m.from).filter(|o| o.index == m.index) else { return };
        if m.offset > o.state.len() as u64 {
            telemetry::count("raft_refused");
            return;
        }
        // Frames of one connection arrive in order. If the response to a round later than the
        // chunk's does not include the chunk, the chunk was lost.
        if m.offset > o.acked_bytes || (o.sent_in_round > 0 && m.round > o.sent_in_round) {
            o.acked_bytes = m.offset;
            o.sent_in_round = 0;
            let mut next = self.new_message(RaftMessageKind::InstallSnapshot);
            next.round = self.round;
            next.probe = self.probing;
            next.commit = self.commit;
            self.send_snapshot_chunk(&m.from, next, out);
        }
    }

    /// Adds a chunk to the incoming snapshot. Returns the complete snapshot with the last one.
    pub(super) fn receive_snapshot_chunk(&mut self, m: &RaftMessage) -> Option<Bytes> {
        let end = m.offset.checked_add(m.state.len() as u64);
        if m.total > self.snapshot_limit || m.digest.len() != 32 || end.is_none_or(|e| e > m.total) {
            telemetry::count("raft_refused");
            return None;
        }
        let same_snapshot = |i: &IncomingSnapshot| {
            i.index == m.index && i.term == m.log_term && i.total == m.total && i.digest == m.digest
        };
        if !self.incoming.as_ref().is_some_and(same_snapshot) {
            let (index, term, digest, total) = (m.index, m.log_term, m.digest.clone(), m.total);
            self.incoming = Some(IncomingSnapshot { index, term, digest, total, state: Vec::new() });
        }
        let i = self.incoming.as_mut()?;
        if m.offset == i.state.len() as u64 {
            i.state.extend_from_slice(&m.state);
        }
        if (i.state.len() as u64) < i.total {
            return None;
        }
        let complete = self.incoming.take()?;
        if sha256(&complete.state) != complete.digest {
            telemetry::count("raft_snapshots_refused");
            return None;
        }
        Some(complete.state.into())
    }

    pub(super) fn compact(&mut self, index: u64, state: Bytes, out: &mut Vec<Effect>) {
        if index <= self.hard.base || index > self.applied {
            return;
        }
        let Some(term) = self.term_at(index) else { return };
        let from = self.hard.base + 1;
        let compacted = self.log.drain(..(index - self.hard.base) as usize);
        if let Some(e) = compacted.rev().find(|e| !e.voters.is_empty()) {
            self.hard.voters = e.voters;
        }
        self.hard.base = index;
        self.hard.base_term = term;
        self.state = state.clone();
        self.digest = None;
        let (hard, state) = (Some(self.hard.clone()), Some(state));
        out.push(Effect::Save(Save { hard, state, put: Vec::new(), del: Some((from, index)) }));
    }
}
