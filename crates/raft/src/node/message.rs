//! Construction and validation of messages.

use super::*;

impl RaftNode {
    pub(super) fn new_message(&self, kind: RaftMessageKind) -> RaftMessage {
        RaftMessage { from: self.id.clone(), term: self.hard.term, kind: kind as i32, ..RaftMessage::default() }
    }

    /// Whether a correct control node could have sent this message. Other messages are
    /// dropped without any effect.
    pub(super) fn is_valid(&self, kind: RaftMessageKind, m: &RaftMessage) -> bool {
        let in_range = |index: u64| index < u64::MAX / 2;
        let valid_voters = |v: &[String]| {
            let distinct: HashSet<&String> = v.iter().collect();
            v.len() <= MAX_VOTERS && distinct.len() == v.len() && v.iter().all(|n| !n.is_empty())
        };
        let valid_entries = || {
            let (mut index, mut term) = (m.index, m.log_term);
            m.entries.iter().all(|e| {
                let follows = e.index == index + 1 && e.term >= term && e.term <= m.term && valid_voters(&e.voters);
                (index, term) = (e.index, e.term);
                // A committed entry must not be replaced by a different one.
                follows && (e.index > self.commit || e.index <= self.hard.base || self.term_at(e.index) == Some(e.term))
            })
        };
        if m.from.is_empty()
            || m.from == self.id
            || m.term == 0
            || m.term.max(m.log_term) > self.hard.term + MAX_TERM_JUMP
        {
            return false;
        }
        if !in_range(m.index) || !in_range(m.commit) || (m.log_term > m.term && kind != RaftMessageKind::Vote) {
            return false;
        }
        match kind {
            RaftMessageKind::None => false,
            RaftMessageKind::RequestVote
            | RaftMessageKind::Vote
            | RaftMessageKind::TimeoutNow
            | RaftMessageKind::SnapshotAck => true,
            RaftMessageKind::Append | RaftMessageKind::InstallSnapshot => {
                // At most one leader per term.
                let second_leader = m.term == self.hard.term
                    && (self.role == StateRole::Leader || (!self.leader.is_empty() && self.leader != m.from));
                let complete =
                    kind == RaftMessageKind::Append || (!m.voters.is_empty() && valid_voters(&m.voters) && m.index > 0);
                !second_leader && complete && valid_entries()
            }
            RaftMessageKind::AppendAck => {
                m.term != self.hard.term || self.role != StateRole::Leader || m.index <= self.last_index_and_term().0
            }
        }
    }
}
