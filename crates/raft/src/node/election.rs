//! Elections: pre-votes, votes, election timeouts and leadership transfer.

use super::*;
use rand::RngExt;

impl RaftNode {
    pub(super) fn reset_election_timeout(&mut self, now: u64) {
        self.election_deadline = now + self.timing.election + self.rng.random_range(0..self.timing.election.max(1));
    }

    /// Draws the time of the next pre-vote of a node that has known no leader since it
    /// started, at the earliest at `from`.
    pub(super) fn schedule_startup_campaign(&mut self, from: u64) {
        self.startup_campaign_at = from + self.rng.random_range(0..(self.timing.election / 2).max(1));
    }

    /// Breaks ties between nodes that start together and request pre-votes at the same time:
    /// the greatest by log position and name continues. In that phase a candidate needs a
    /// response from every voter, and links preserve order, so it sees a rival's request
    /// before the rival's response, and two of them do not campaign at once. Pre-votes are
    /// not binding, so this affects the duration of an election and not safety.
    fn defer_to_rival(&mut self, now: u64, m: &RaftMessage, log_up_to_date: bool) {
        // After the first election timeout a majority suffices, and the random timeouts
        // separate candidates.
        let all_are_asked = self.leaderless_since_start && now < self.leader_heard_at + self.timing.election;
        let undecided = matches!(self.role, StateRole::Follower | StateRole::PreCandidate);
        if !all_are_asked || !log_up_to_date || !undecided {
            return;
        }
        let (index, term) = self.last_index_and_term();
        let own = (term, index, self.id.as_str());
        let rival = (m.log_term, m.index, m.from.as_str());
        if self.role == StateRole::PreCandidate && own > rival {
            return;
        }
        self.role = StateRole::Follower;
        self.schedule_startup_campaign(now + self.timing.election / 2);
    }

    pub(super) fn campaign(&mut self, now: u64, pre_vote: bool, transferred: bool, out: &mut Vec<Effect>) {
        self.votes.clear();
        self.votes.insert(self.id.clone());
        self.campaign_id = self.campaign_id.wrapping_add(1).max(1);
        let mut m = self.new_message(RaftMessageKind::RequestVote);
        m.round = self.campaign_id;
        if pre_vote {
            self.startup_responses.clear();
            self.role = StateRole::PreCandidate;
            m.term = self.hard.term + 1;
        } else {
            self.role = StateRole::Candidate;
            // Votes are counted until this deadline only. A voter that loses its disk and
            // with it its vote does not vote again before the deadline has passed.
            self.reset_election_timeout(now);
            self.schedule_startup_campaign(now + self.timing.election / 2);
            self.hard.term += 1;
            self.hard.voted_for = self.id.clone();
            self.leader.clear();
            out.push(Effect::Save(Save { hard: Some(self.hard.clone()), ..Save::default() }));
            m.term = self.hard.term;
        }
        (m.index, m.log_term) = self.last_index_and_term();
        m.pre_vote = pre_vote;
        m.ok = transferred;
        for v in self.voters.iter().filter(|v| **v != self.id) {
            out.push(Effect::Send(v.clone(), m.clone()));
        }
        self.tally_votes(now, out);
    }

    pub(super) fn tally_votes(&mut self, now: u64, out: &mut Vec<Effect>) {
        if self.votes.len() < self.majority() {
            return;
        }
        match self.role {
            // A node that just restarted may have acknowledged a leader right before it
            // ended. While that leader's lease may last, it votes for nobody, itself
            // included.
            StateRole::PreCandidate if now < self.leader_heard_at + self.timing.election => {}
            StateRole::PreCandidate => self.campaign(now, false, false, out),
            StateRole::Candidate => {
                self.role = StateRole::Leader;
                self.leaderless_since_start = false;
                self.leader = self.id.clone();
                let next = self.last_index_and_term().0 + 1;
                self.rewound_in_round.clear();
                self.next_index = self.voters.iter().chain(&self.learners).map(|v| (v.clone(), next)).collect();
                self.match_index.clear();
                self.outgoing.clear();
                self.sent_rounds.clear();
                self.awaiting_readmission.clear();
                self.readmission_sent_in_round.clear();
                self.lease_acked_at = self.voters.iter().map(|v| (v.clone(), now)).collect();
                self.reached_at = self.lease_acked_at.clone();
                out.push(Effect::BecameLeader);
                // An entry of the new term, with which entries of earlier terms are
                // committed. It repeats the voters for nodes that have no earlier
                // configuration entry.
                let voters = self.voters.clone();
                self.append_entry(now, Bytes::new(), voters, out);
            }
            _ => {}
        }
    }

    pub(super) fn become_follower(&mut self, now: u64, out: &mut Vec<Effect>) {
        if self.role == StateRole::Leader {
            out.push(Effect::SteppedDown);
        }
        self.role = StateRole::Follower;
        self.leader.clear();
        self.outgoing.clear();
        self.reset_election_timeout(now);
    }

    pub(super) fn step_down(&mut self, now: u64, out: &mut Vec<Effect>) {
        if self.role != StateRole::Leader {
            return;
        }
        let best = self
            .voters
            .iter()
            .filter(|v| **v != self.id && !self.awaiting_readmission.contains_key(*v))
            .max_by_key(|v| {
                let held =
                    (self.match_index.get(*v).copied().unwrap_or(0), self.lease_acked_at.get(*v).copied().unwrap_or(0));
                (!self.departing.contains(*v), held)
            });
        if let Some(to) = best.cloned() {
            let m = self.new_message(RaftMessageKind::TimeoutNow);
            out.push(Effect::Send(to, m));
        }
        self.become_follower(now, out);
        self.election_deadline = now + 8 * self.timing.election;
    }

    pub(super) fn handle_vote_request(&mut self, now: u64, m: RaftMessage, out: &mut Vec<Effect>) {
        let leader_active = self.role == StateRole::Leader || now < self.leader_heard_at + self.timing.election;
        let mut r = self.new_message(RaftMessageKind::Vote);
        r.pre_vote = m.pre_vote;
        r.round = m.round;
        let log_up_to_date = (m.log_term, m.index) >= (self.last_index_and_term().1, self.last_index_and_term().0);
        let known = self.voters.contains(&m.from);
        if !known && (m.log_term, m.index) <= (self.last_index_and_term().1, self.last_index_and_term().0) {
            telemetry::count("raft_strangers");
            return;
        }
        // An unknown candidate with a newer log may be a voter by an entry that this node
        // lacks. It can get a vote, but a leadership transfer to it is not honoured.
        if m.pre_vote {
            self.defer_to_rival(now, &m, log_up_to_date);
            r.term = m.term;
            r.ok = !leader_active && log_up_to_date && m.term > self.hard.term && self.hard.may_vote;
            r.leaderless_since_start = self.leaderless_since_start && self.role != StateRole::Leader;
            r.index = u64::from(log_up_to_date && self.hard.may_vote);
            r.log_term = self.hard.term;
            out.push(Effect::Send(m.from, r));
            return;
        }
        if leader_active && !(m.ok && known) {
            return;
        }
        if m.term > self.hard.term {
            self.hard.term = m.term;
            self.hard.voted_for.clear();
            self.become_follower(now, out);
        }
        r.term = self.hard.term;
        let vote_available = self.hard.voted_for.is_empty() || self.hard.voted_for == m.from;
        r.ok = m.term == self.hard.term && vote_available && log_up_to_date && self.hard.may_vote;
        if r.ok {
            self.hard.voted_for = m.from.clone();
            self.reset_election_timeout(now);
            self.schedule_startup_campaign(now + self.timing.election / 2);
        }
        out.push(Effect::Save(Save { hard: Some(self.hard.clone()), ..Save::default() }));
        out.push(Effect::Send(m.from, r));
    }
}
