//! The log: access to entries, appending, committing and applying.

use super::*;

impl RaftNode {
    pub(super) fn last_index_and_term(&self) -> (u64, u64) {
        self.log.last().map_or((self.hard.base, self.hard.base_term), |e| (e.index, e.term))
    }

    pub(super) fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.hard.base {
            return Some(self.hard.base_term);
        }
        self.entry(index).map(|e| e.term)
    }

    pub(super) fn entry(&self, index: u64) -> Option<&RaftEntry> {
        index.checked_sub(self.hard.base + 1).and_then(|i| self.log.get(i as usize))
    }

    /// Number of entries since the last snapshot.
    pub fn log_len(&self) -> usize {
        self.log.len()
    }

    /// Payload bytes of the applied entries, which the next snapshot can replace.
    pub fn applied_log_bytes(&self) -> usize {
        self.log.iter().take_while(|e| e.index <= self.applied).map(|e| e.data.len()).sum()
    }

    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// Number of committed entries that each other control node has not acknowledged. Empty
    /// unless this node is the leader.
    pub fn replication_lag(&self) -> Vec<(String, u64)> {
        if self.role != StateRole::Leader {
            return Vec::new();
        }
        let others = self.voters.iter().chain(&self.learners).filter(|f| **f != self.id);
        let held = |f: &String| self.match_index.get(f).copied().unwrap_or(0);
        others.map(|f| (f.clone(), self.commit.saturating_sub(held(f)))).collect()
    }

    pub(super) fn append(&mut self, now: u64, data: Bytes, out: &mut Vec<Effect>) {
        self.append_entry(now, data, Vec::new(), out);
    }

    pub(super) fn append_entry(&mut self, now: u64, data: Bytes, voters: Vec<String>, out: &mut Vec<Effect>) {
        let e = RaftEntry { index: self.last_index_and_term().0 + 1, term: self.hard.term, data, voters };
        out.push(Effect::Proposed(e.index, e.term));
        if !e.voters.is_empty() {
            // A new configuration takes effect when it is appended, not when it is committed.
            self.learners.retain(|l| !e.voters.contains(l));
            (self.voters, self.voters_index) = (e.voters.clone(), e.index);
        }
        self.log.push(e.clone());
        // Send before saving, so that the followers write to disk in parallel.
        self.broadcast_append(now, out);
        out.push(Effect::Save(Save { put: vec![e], ..Save::default() }));
        self.advance_commit(out);
    }

    pub(super) fn advance_commit(&mut self, out: &mut Vec<Effect>) {
        if self.role == StateRole::Leader {
            let last = self.last_index_and_term().0;
            let mut held: Vec<u64> = self
                .voters
                .iter()
                .filter(|v| self.counts_toward_quorum(v))
                .map(|v| if *v == self.id { last } else { self.match_index.get(v).copied().unwrap_or(0) })
                .collect();
            held.sort_unstable_by(|a, b| b.cmp(a));
            let n = held.get(self.majority() - 1).copied().unwrap_or(0);
            if n > self.commit && self.term_at(n) == Some(self.hard.term) {
                self.commit = n;
                // Send the new commit index with the next tick instead of the next
                // heartbeat: the entry may assign a new owner, which learns of it from the
                // control node that holds its session.
                self.heartbeat_at = 0;
            }
        }
        while self.applied < self.commit {
            let Some(e) = self.entry(self.applied + 1).cloned() else { break };
            self.applied += 1;
            out.push(Effect::Apply(e));
        }
    }
}
