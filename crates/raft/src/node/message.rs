//! Messages: how they are begun, and which of those received cannot be.

use super::*;

impl RaftNode {
    pub(super) fn new_message(&self, kind: RaftMessageKind) -> RaftMessage {
        RaftMessage { from: self.id.clone(), term: self.hard.term, kind: kind as i32, ..RaftMessage::default() }
    }

    /// Whether a message can be one of a control node that works as this one does. What is
    /// not changes nothing here, whatever it says.
    pub(super) fn is_valid(&self, kind: RaftMessageKind, m: &RaftMessage) -> bool {
        let known = |index: u64| index < u64::MAX / 2;
        let voters = |v: &[String]| {
            let different: HashSet<&String> = v.iter().collect();
            v.len() <= MAX_VOTERS && different.len() == v.len() && v.iter().all(|n| !n.is_empty())
        };
        let entries = || {
            let (mut index, mut term) = (m.index, m.log_term);
            m.entries.iter().all(|e| {
                let follows = e.index == index + 1 && e.term >= term && e.term <= m.term && voters(&e.voters);
                (index, term) = (e.index, e.term);
                // What is committed here is never another one.
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
        if !known(m.index) || !known(m.commit) || (m.log_term > m.term && kind != RaftMessageKind::Vote) {
            return false;
        }
        match kind {
            RaftMessageKind::None => false,
            RaftMessageKind::RequestVote
            | RaftMessageKind::Vote
            | RaftMessageKind::TimeoutNow
            | RaftMessageKind::SnapshotAck => true,
            RaftMessageKind::Append | RaftMessageKind::InstallSnapshot => {
                // A term has one leader.
                let another = m.term == self.hard.term
                    && (self.role == StateRole::Leader || (!self.leader.is_empty() && self.leader != m.from));
                let whole =
                    kind == RaftMessageKind::Append || (!m.voters.is_empty() && voters(&m.voters) && m.index > 0);
                !another && whole && entries()
            }
            RaftMessageKind::AppendAck => {
                m.term != self.hard.term || self.role != StateRole::Leader || m.index <= self.last_index_and_term().0
            }
        }
    }
}
