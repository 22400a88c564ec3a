//! The voters: who counts, how they change one at a time, and how a node whose disk
//! was emptied gets its vote back.

use super::*;

impl RaftNode {
    /// Who votes, by the newest entry that says so.
    pub(super) fn load_voters(&mut self) {
        let found = self.log.iter().rev().find(|e| !e.voters.is_empty());
        (self.voters, self.voters_index) =
            found.map_or_else(|| (self.hard.voters.clone(), self.hard.base), |e| (e.voters.clone(), e.index));
    }

    pub fn voters(&self) -> &[String] {
        &self.voters
    }

    /// Whether the voters that are in force are committed.
    pub fn voters_settled(&self) -> bool {
        self.voters_index <= self.commit
    }

    /// The control nodes that are about to end: their votes pass on where a replacement
    /// stands ready.
    pub fn set_departing(&mut self, control_nodes: HashSet<String>) {
        self.departing = control_nodes;
    }

    /// Whether a control node without a vote could have one: it holds what is
    /// committed, and has not forgotten what it voted_for before.
    pub fn could_vote(&self, control: &str, now: u64) -> bool {
        self.match_index.get(control).is_some_and(|m| *m >= self.commit)
            && !self.awaiting_readmission.contains_key(control)
            && self.last_answer(control) + self.timing.election > now
    }

    /// The next change of voters, if one is called for: there are fewer than
    /// `wanted`, or one has been silent for `away` or is about to end. `control_nodes` are
    /// those whose sessions stand, with their zones. A replacement comes in before the
    /// lost one goes, and only when it could vote at once; to be asked again as soon as
    /// that is committed, as one voter too many with one lost bears no further loss.
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
        let lost = |v: &String| *v != self.id && (self.last_answer(v) + away < now || self.departing.contains(v));
        let longest = self.voters.iter().filter(|v| lost(v)).min_by_key(|v| self.last_answer(v));
        if self.voters.len() > wanted {
            // Whoever is about to end goes first: it is there only until then.
            let ending = self.voters.iter().find(|v| **v != self.id && self.departing.contains(*v));
            let longest = ending.or(longest);
            let out = longest.or(self.voters.iter().rfind(|v| **v != self.id))?;
            return Some(self.voters.iter().filter(|v| *v != out).cloned().collect());
        }
        if self.voters.len() == wanted && longest.is_none() {
            return None;
        }
        let zone = |addr: &str| control_nodes.iter().find(|f| f.0 == addr).map(|f| f.1.as_str());
        let taken = |z: &str| self.voters.iter().filter(|v| !lost(v) && zone(v) == Some(z)).count();
        let fit = control_nodes
            .iter()
            .filter(|f| !self.voters.contains(&f.0) && !self.departing.contains(&f.0) && self.could_vote(&f.0, now));
        let new = fit.min_by_key(|f| taken(&f.1))?;
        Some(self.voters.iter().cloned().chain([new.0.clone()]).collect())
    }

    /// Whether the voters can be changed: the last change is over, and this
    /// leader has committed an entry of its own.
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

    /// Whether what a voter says counts towards a majority. One that lost its disk may
    /// have forgotten a newer leader: it follows, but stands for nothing.
    pub(super) fn counts_toward_quorum(&self, voter: &str) -> bool {
        !self.awaiting_readmission.contains_key(voter)
    }

    /// One that lost its disk votes again once it holds the whole log, and every
    /// other voter that a majority needs has followed this leader since it asked:
    /// no vote or entry that it forgot can matter then.
    pub(super) fn readmit_voter(&mut self, now: u64, m: &RaftMessage, out: &mut Vec<Effect>) {
        let since = self.awaiting_readmission.get(&m.from).copied().unwrap_or(now);
        let vouches = |v: &&String| {
            **v == self.id || (self.counts_toward_quorum(v) && self.lease_acked_at.get(*v).is_some_and(|a| *a > since))
        };
        let others = self.voters.iter().filter(vouches).count();
        // Once a round: it may have to wait for longer than an answer takes.
        let told = self.readmission_sent_in_round.get(&m.from).is_some_and(|r| m.round <= *r);
        if m.index >= self.commit && others >= self.majority() && !told {
            self.readmission_sent_in_round.insert(m.from.clone(), self.round);
            let mut r = self.new_message(RaftMessageKind::Append);
            r.readmit = true;
            // To the incarnation that asked, and to no later one of the same disk.
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
