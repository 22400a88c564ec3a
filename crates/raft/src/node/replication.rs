//! Log replication: appends, their responses, and catching up of followers.

use super::*;

impl RaftNode {
    pub(super) fn broadcast_append(&mut self, now: u64, out: &mut Vec<Effect>) {
        self.heartbeat_at = now + self.timing.heartbeat;
        self.round += 1;
        // Without responses from a majority, send probes, so that followers can elect
        // another leader.
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
        // Limited by bytes as well, since an entry may contain a whole configuration.
        let mut bytes = 0;
        let missing = &self.log[from.min(self.log.len())..];
        let fits = missing.iter().take(64).take_while(|e| {
            let first = bytes == 0;
            bytes += e.data.len() + 64;
            first || bytes <= MAX_APPEND_BYTES
        });
        m.entries = fits.cloned().collect();
        // Optimistic: the entries count as delivered. A rejection, or a later response that
        // acknowledges less, moves `next_index` back.
        self.next_index.insert(to.into(), next + m.entries.len() as u64);
        out.push(Effect::Send(to.into(), m));
    }

    /// Records that a follower answered the round of this response, as of when that round
    /// was sent.
    pub(super) fn record_response(&mut self, now: u64, m: &RaftMessage) {
        let Some(sent) = self.sent_rounds.get(&m.round).copied() else { return };
        let reached = self.reached_at.entry(m.from.clone()).or_insert(0);
        *reached = (*reached).max(sent.at);
        if !sent.probe {
            let answered = self.lease_acked_at.entry(m.from.clone()).or_insert(0);
            *answered = (*answered).max(sent.at);
        }
        if self.probing && self.reaches_majority(now) {
            // Send an ordinary round, which extends the lease, with the next tick.
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
        // A probe does not interrupt a pre-vote.
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
            // If the log contains the last entry of the snapshot, keep the entries after it:
            // this node may have acknowledged them, and the leader may have counted that
            // towards a commit.
            let keeps_suffix = self.term_at(m.index) == Some(m.log_term);
            save.del = Some((self.hard.base + 1, if keeps_suffix { m.index } else { last }));
            if keeps_suffix {
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
        let log_matches = m.index < self.hard.base || self.term_at(m.index) == Some(m.log_term);
        r.ok = log_matches;
        // A candidate that got a vote that this disk lost counts votes for at most two
        // election timeouts; the third one allows for differing clock rates.
        let votes_expired = now >= self.started_at + 3 * self.timing.election;
        if m.readmit && log_matches && m.offset == self.readmission_id && votes_expired && !self.hard.may_vote {
            self.hard.may_vote = true;
            save.hard = Some(self.hard.clone());
        }
        if log_matches {
            let mut last_held = m.index.max(self.hard.base);
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
                last_held = last_held.max(e.index);
            }
            if save.del.is_some() || save.put.iter().any(|e| !e.voters.is_empty()) {
                self.load_voters();
            }
            r.index = last_held;
            self.commit = self.commit.max(m.commit.min(last_held));
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
            // The follower has the snapshot.
            self.outgoing.remove(&m.from);
            self.next_index.insert(m.from.clone(), m.index + 1);
        }
        if !m.ok && m.readmit {
            // The disk was emptied: earlier acknowledgements are void.
            self.match_index.insert(m.from.clone(), m.index);
        }
        if !m.ok {
            // Many appends may be in flight when the first one is rejected. Without this
            // check, each rejection would cause all missing entries to be sent again, and
            // that in turn further rejections.
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
            // All entries sent so far are acknowledged: send the next ones without waiting
            // for a heartbeat.
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
