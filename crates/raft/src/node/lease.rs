//! The leader lease: until when this node may answer requests as the leader.

use super::*;

impl RaftNode {
    /// How long a round that a majority acknowledged prevents another election. Voters wait
    /// for an election timeout after they received it, by their own clocks, which may run
    /// up to an eighth faster than this one.
    pub(super) fn lease_duration(&self) -> u64 {
        self.timing.election * 7 / 8
    }

    /// Whether this node is the leader and its lease is valid, so that no other leader can
    /// have been elected.
    pub fn holds_leadership(&self, now: u64) -> bool {
        self.role == StateRole::Leader && self.majority_contact(now) + self.lease_duration() > now
    }

    /// End of the lease if this node is the leader and has applied every entry that was
    /// acknowledged before its term; 0 otherwise. Compare it with the clock at each use.
    pub fn serves_until(&self, now: u64) -> u64 {
        // Also holds right after log compaction: `term_at` then returns the snapshot's term.
        let applied = self.term_at(self.applied) == Some(self.hard.term);
        if self.role == StateRole::Leader && applied { self.majority_contact(now) + self.lease_duration() } else { 0 }
    }

    /// The leader, or an empty string if none was heard of for three election timeouts.
    pub fn known_leader(&self, now: u64) -> &str {
        let heard = self.role == StateRole::Leader || now < self.leader_heard_at + 3 * self.timing.election;
        if heard { &self.leader } else { "" }
    }

    /// The latest time as of which a majority has acknowledged this leader.
    pub(super) fn majority_contact(&self, now: u64) -> u64 {
        self.majority_time(&self.lease_acked_at, now)
    }

    /// Whether a majority has answered rounds, probes included, that were sent within
    /// the duration of a lease. Otherwise rounds are sent as probes.
    pub(super) fn reaches_majority(&self, now: u64) -> bool {
        self.majority_time(&self.reached_at, now) + self.lease_duration() > now
    }

    /// The latest time that a majority of voters has reached in `times`.
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

    /// When the latest round, without probes, that a control node answered was sent.
    pub fn lease_acked_at(&self, control: &str) -> u64 {
        self.lease_acked_at.get(control).copied().unwrap_or(0)
    }
}
