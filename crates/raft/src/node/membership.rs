//! Membership: quorums, changes of one voter at a time, and readmission of a voter that
//! lost its disk.

use super::*;

impl RaftNode {
    /// Sets the voters from the latest configuration entry, or else from the snapshot.
    pub(super) fn load_voters(&mut self) {
        let found = self.log.iter().rev().find(|e| !e.voters.is_empty());
        (self.voters, self.voters_index) =
            found.map_or_else(|| (self.hard.voters.clone(), self.hard.base), |e| (e.voters.clone(), e.index));
    }

    pub fn voters(&self) -> &[String] {
        &self.voters
    }

    /// Whether the current configuration is committed.
    pub fn voters_committed(&self) -> bool {
        self.voters_index <= self.commit
    }

    /// Sets the control nodes that are shutting down. They are replaced as voters if a
    /// replacement is available.
    pub fn set_departing(&mut self, control_nodes: HashSet<String>) {
        self.departing = control_nodes;
    }

    /// Whether a learner can become a voter: it has all committed entries, has answered
    /// within an election timeout, and is not awaiting readmission after the loss of its disk.
    pub fn can_become_voter(&self, control: &str, now: u64) -> bool {
        self.match_index.get(control).is_some_and(|m| *m >= self.commit)
            && !self.awaiting_readmission.contains_key(control)
            && self.lease_acked_at(control) + self.timing.election > now
    }

    /// The next change of voters, if one is needed because there are fewer or more than
    /// `wanted`, or because one has been silent for `away` or is shutting down.
    /// `control_nodes` lists those with a live session and their zones. A replacement is
    /// added before the lost voter is removed, and only if it can vote at once. Call this
    /// again as soon as the addition is committed: four voters of which one is lost tolerate
    /// no further failure.
    pub fn next_voters(
        &self,
        control_nodes: &[(String, String)],
        wanted: usize,
        away: u64,
        now: u64,
    ) -> Option<Vec<String>> {
        if !self.may_change_voters() {
            return None;
        }
        let unavailable =
            |v: &String| *v != self.id && (self.lease_acked_at(v) + away < now || self.departing.contains(v));
        let longest_silent = self.voters.iter().filter(|v| unavailable(v)).min_by_key(|v| self.lease_acked_at(v));
        if self.voters.len() > wanted {
            // Remove a voter that is shutting down first: it is available only until it exits.
            let departing = self.voters.iter().find(|v| **v != self.id && self.departing.contains(*v));
            let longest_silent = departing.or(longest_silent);
            let out = longest_silent.or(self.voters.iter().rfind(|v| **v != self.id))?;
            return Some(self.voters.iter().filter(|v| *v != out).cloned().collect());
        }
        if self.voters.len() == wanted && longest_silent.is_none() {
            return None;
        }
        let zone = |addr: &str| control_nodes.iter().find(|f| f.0 == addr).map(|f| f.1.as_str());
        let voters_in_zone = |z: &str| self.voters.iter().filter(|v| !unavailable(v) && zone(v) == Some(z)).count();
        let candidates = control_nodes.iter().filter(|f| {
            !self.voters.contains(&f.0) && !self.departing.contains(&f.0) && self.can_become_voter(&f.0, now)
        });
        let replacement = candidates.min_by_key(|f| voters_in_zone(&f.1))?;
        Some(self.voters.iter().cloned().chain([replacement.0.clone()]).collect())
    }

    /// Whether the voters can be changed: this node is the leader, the previous change is
    /// committed, and so is an entry of the current term.
    pub fn may_change_voters(&self) -> bool {
        self.role == StateRole::Leader
            && self.voters_index <= self.commit
            && self.term_at(self.commit) == Some(self.hard.term)
    }

    pub(super) fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    pub(super) fn is_voter(&self) -> bool {
        self.voters.contains(&self.id)
    }

    /// Whether a voter's responses count towards a quorum. A voter that lost its disk may
    /// have forgotten a newer leader, so it replicates the log but is not counted.
    pub(super) fn counts_toward_quorum(&self, voter: &str) -> bool {
        !self.awaiting_readmission.contains_key(voter)
    }

    /// Readmits a voter that lost its disk once it has all committed entries and the other
    /// voters that form a majority have acknowledged this leader since its request. No vote
    /// or entry that it forgot can affect the quorum from then on.
    pub(super) fn readmit_voter(&mut self, now: u64, m: &RaftMessage, out: &mut Vec<Effect>) {
        let since = self.awaiting_readmission.get(&m.from).copied().unwrap_or(now);
        let follows = |v: &&String| {
            **v == self.id || (self.counts_toward_quorum(v) && self.lease_acked_at.get(*v).is_some_and(|a| *a > since))
        };
        let followers = self.voters.iter().filter(follows).count();
        // At most once per round: the node may be unable to act on it until three election
        // timeouts after its start, while every response would trigger another.
        let already_sent = self.readmission_sent_in_round.get(&m.from).is_some_and(|r| m.round <= *r);
        if m.index >= self.commit && followers >= self.majority() && !already_sent {
            self.readmission_sent_in_round.insert(m.from.clone(), self.round);
            let mut r = self.new_message(RaftMessageKind::Append);
            r.readmit = true;
            // Valid only for the incarnation that sent the request.
            r.offset = m.offset;
            r.round = self.round;
            r.probe = self.probing;
            r.index = m.index;
            r.log_term = self.term_at(m.index).unwrap_or(0);
            r.commit = self.commit;
            out.push(Effect::Send(m.from.clone(), r));
        }
    }
}
