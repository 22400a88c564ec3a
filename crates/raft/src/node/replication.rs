//! Replication of the log: appends, their answers, and how one that is behind catches up.

use super::*;

impl RaftNode {
    pub(super) fn broadcast_append(&mut self, now: u64, out: &mut Vec<Effect>) {
        self.heartbeat_at = now + self.timing.beat;
        self.round += 1;
        // Followers are kept from electing only as long as a majority answers.
        self.probing = !self.reaches_majority(now);
        self.sent_rounds.insert(self.round, SentRound { at: now, probe: self.probing });
        self.sent_rounds.remove(&self.round.saturating_sub(256));
        for v in self.voters.iter().chain(&self.learners).cloned().collect::<Vec<_>>() {
            if v != self.id {
                self.send_append(&v, out);
            }
        }
    }

    pub(super) fn send_append(&mut self, to: &str, out: &mut Vec<Effect>) {
        let next = self.next_index.get(to).copied().unwrap_or(1);
        let mut m = self.new_message(RaftMessageKind::Append);
        m.round = self.round;
        m.probe = self.probing;
        m.commit = self.commit;
        if next <= self.hard.base || self.outgoing.contains_key(to) {
            self.send_snapshot_chunk(to, m, out);
            return;
        }
        m.index = next - 1;
        m.log_term = self.term_at(next - 1).unwrap_or(0);
        let from = (next - self.hard.base - 1) as usize;
        // Bounded by bytes too: an entry may hold a whole configuration.
        let mut bytes = 0;
        let lacks = &self.log[from.min(self.log.len())..];
        let fits = lacks.iter().take(64).take_while(|e| {
            let first = bytes == 0;
            bytes += e.data.len() + 64;
            first || bytes <= MAX_APPEND_BYTES
        });
        m.entries = fits.cloned().collect();
        // Sent once; a refusal or a lost answer brings it back.
        self.next_index.insert(to.into(), next + m.entries.len() as u64);
        out.push(Effect::Send(to.into(), m));
    }

    /// When the round was sent that this answers.
    pub(super) fn record_response(&mut self, now: u64, m: &RaftMessage) {
        let Some(sent) = self.sent_rounds.get(&m.round).copied() else { return };
        let reached = self.reached_at.entry(m.from.clone()).or_insert(0);
        *reached = (*reached).max(sent.at);
        if !sent.probe {
            let answered = self.lease_acked_at.entry(m.from.clone()).or_insert(0);
            *answered = (*answered).max(sent.at);
        }
        if self.probing && self.reaches_majority(now) {
            // The next tick sends a round that extends the lease.
            self.heartbeat_at = 0;
        }
    }

    pub(super) fn handle_append(&mut self, now: u64, m: RaftMessage, kind: RaftMessageKind, out: &mut Vec<Effect>) {
        let mut r = self.new_message(RaftMessageKind::AppendAck);
        r.round = m.round;
        if m.term < self.hard.term {
            telemetry::count("raft_stale");
            out.push(Effect::Send(m.from, r));
            return;
        }
        // A probe keeps nobody from electing.
        if self.role != StateRole::Follower && !(m.probe && self.role == StateRole::PreCandidate) {
            self.become_follower(now, out);
        }
        self.leader = m.from.clone();
        self.leaderless_since_start = false;
        if !m.probe {
            self.leader_heard_at = now;
            self.reset_election_timeout(now);
        }
        let mut save = Save::default();
        if self.incoming.as_ref().is_some_and(|i| i.index <= self.commit) {
            self.incoming = None;
        }
        if kind == RaftMessageKind::InstallSnapshot && m.index > self.commit {
            let Some(state) = self.receive_snapshot_chunk(&m) else {
                r.kind = RaftMessageKind::SnapshotAck as i32;
                r.index = m.index;
                r.offset = self.incoming.as_ref().map_or(0, |i| i.state.len() as u64);
                r.readmit = !self.hard.may_vote;
                out.push(Effect::Send(m.from, r));
                return;
            };
            let last = self.last_index_and_term().0;
            // What it holds behind the snapshot's last entry stands, if that entry is its
            // own: others may count on it.
            let keeps = self.term_at(m.index) == Some(m.log_term);
            save.del = Some((self.hard.base + 1, if keeps { m.index } else { last }));
            if keeps {
                self.log.drain(..(m.index - self.hard.base) as usize);
            } else {
                self.log.clear();
            }
            self.hard.base = m.index;
            self.hard.base_term = m.log_term;
            self.hard.voters = m.voters.clone();
            self.state = state.clone();
            self.digest = Some(m.digest.clone());
            self.commit = m.index;
            self.applied = m.index;
            save.hard = Some(self.hard.clone());
            save.state = Some(state.clone());
            telemetry::count("raft_snapshots_taken");
            out.push(Effect::Restore(state));
        }
        let joins = m.index < self.hard.base || self.term_at(m.index) == Some(m.log_term);
        r.ok = joins;
        // Whoever was given a vote that this disk lost counts votes for two election
        // times at the most; a third is for what clocks differ.
        let over = now >= self.started_at + 3 * self.timing.election;
        if m.readmit && joins && m.offset == self.readmission_id && over && !self.hard.may_vote {
            self.hard.may_vote = true;
            save.hard = Some(self.hard.clone());
        }
        if joins {
            let mut held = m.index.max(self.hard.base);
            for e in m.entries {
                if e.index <= self.hard.base {
                    continue;
                }
                match self.term_at(e.index) {
                    Some(t) if t == e.term => {}
                    Some(_) => {
                        let last = self.last_index_and_term().0;
                        save.del = Some((e.index, last));
                        self.log.truncate((e.index - self.hard.base - 1) as usize);
                        self.log.push(e.clone());
                        save.put.push(e.clone());
                    }
                    None => {
                        self.log.push(e.clone());
                        save.put.push(e.clone());
                    }
                }
                held = held.max(e.index);
            }
            if save.del.is_some() || save.put.iter().any(|e| !e.voters.is_empty()) {
                self.load_voters();
            }
            r.index = held;
            self.commit = self.commit.max(m.commit.min(held));
        } else {
            r.index = self.commit;
        }
        r.readmit = !self.hard.may_vote;
        r.offset = if r.readmit { self.readmission_id } else { 0 };
        if save.hard.is_some() || !save.put.is_empty() || save.del.is_some() {
            out.push(Effect::Save(save));
        }
        out.push(Effect::Send(m.from, r));
        self.advance_commit(out);
    }

    pub(super) fn handle_append_response(&mut self, now: u64, m: RaftMessage, out: &mut Vec<Effect>) {
        if self.role != StateRole::Leader || m.term != self.hard.term {
            return;
        }
        if !self.voters.contains(&m.from) && !self.learners.contains(&m.from) {
            telemetry::count("raft_strangers");
            return;
        }
        if m.readmit {
            self.awaiting_readmission.entry(m.from.clone()).or_insert(now);
        }
        self.record_response(now, &m);
        if self.outgoing.get(&m.from).is_some_and(|o| m.index >= o.index) {
            // It holds the snapshot, or more than that.
            self.outgoing.remove(&m.from);
            self.next_index.insert(m.from.clone(), m.index + 1);
        }
        if !m.ok && m.readmit {
            // An empty disk: what it held before does not count.
            self.match_index.insert(m.from.clone(), m.index);
        }
        if !m.ok {
            // Many may be under way when the first is refused. Each would else bring
            // back the whole of what is lacking, and the next refusal with it.
            if self.rewound_in_round.get(&m.from).is_some_and(|r| m.round <= *r) {
                telemetry::count("raft_refusals_known");
                return;
            }
            self.rewound_in_round.insert(m.from.clone(), self.round);
            if !self.outgoing.contains_key(&m.from) {
                self.next_index.insert(m.from.clone(), m.index + 1);
                self.send_append(&m.from, out);
            }
            return;
        }
        let old = self.match_index.insert(m.from.clone(), m.index).unwrap_or(0);
        let last = self.last_index_and_term().0;
        if m.index < last
            && m.index >= old
            && self.next_index.get(&m.from).is_none_or(|n| *n <= m.index || *n > last + 1)
        {
            self.next_index.insert(m.from.clone(), m.index + 1);
        }
        if m.index < last && self.next_index.get(&m.from) == Some(&(m.index + 1)) {
            // It holds all that it was sent: the next piece without waiting for a beat.
            self.send_append(&m.from, out);
        }
        if m.readmit {
            self.readmit_voter(now, &m, out);
        } else {
            self.awaiting_readmission.remove(&m.from);
        }
        self.advance_commit(out);
    }
}
