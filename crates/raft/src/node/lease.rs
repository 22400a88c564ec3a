//! The leader lease: until when this node may answer for the majority.

use super::*;

impl RaftNode {
    /// How long a round that a majority has answered keeps others from being elected:
    /// they wait an election time from when they heard it, by their own clocks, which
    /// may run an eighth faster than this one.
    pub(super) fn lease_duration(&self) -> u64 {
        self.timing.election * 7 / 8
    }

    /// Leads, and a majority has answered rounds sent within the time that its
    /// authority lasts: nobody else can have been elected yet.
    pub fn holds_leadership(&self, now: u64) -> bool {
        self.role == StateRole::Leader && self.majority_contact(now) + self.lease_duration() > now
    }

    /// Until when it may act for the majority: it leads until then, and
    /// has applied all that was acknowledged before its term, so that it knows what
    /// to answer. To be compared with the clock whenever authority is used.
    pub fn serves_until(&self, now: u64) -> u64 {
        // Also right behind a cut: the snapshot's term is then its own.
        let applied = self.term_at(self.applied) == Some(self.hard.term);
        if self.role == StateRole::Leader && applied { self.majority_contact(now) + self.lease_duration() } else { 0 }
    }

    /// Who leads, while it is heard of.
    pub fn leader_at(&self, now: u64) -> &str {
        let heard = self.role == StateRole::Leader || now < self.leader_heard_at + 3 * self.timing.election;
        if heard { &self.leader } else { "" }
    }

    /// The latest moment at which a majority is known to have followed.
    pub(super) fn majority_contact(&self, now: u64) -> u64 {
        self.majority_time(&self.lease_acked_at, now)
    }

    /// Whether a majority has answered rounds, probes included, that were sent within
    /// the time that a lease lasts. While it has not, rounds are probes.
    pub(super) fn reaches_majority(&self, now: u64) -> bool {
        self.majority_time(&self.reached_at, now) + self.lease_duration() > now
    }

    /// The latest of `times` that a majority of voters has reached.
    fn majority_time(&self, times: &HashMap<String, u64>, now: u64) -> u64 {
        let mut times: Vec<u64> = self
            .voters
            .iter()
            .filter(|v| self.counts_toward_quorum(v))
            .map(|v| if *v == self.id { now } else { times.get(v).copied().unwrap_or(0) })
            .collect();
        times.sort_unstable_by(|a, b| b.cmp(a));
        times.get(self.majority() - 1).copied().unwrap_or(0)
    }

    /// When the round was sent that a control node has answered last.
    pub fn last_answer(&self, control: &str) -> u64 {
        self.lease_acked_at.get(control).copied().unwrap_or(0)
    }
}
