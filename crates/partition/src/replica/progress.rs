//! Progress of the in-sync followers: when one is to be replaced, and what holds up commits.

use super::*;

/// Resend intervals without anything received from a follower that has unacknowledged entries, after
/// which the owner requests its replacement. The control leader detects ended processes much sooner,
/// through their leases; this covers broken links between two nodes.
const REPLACE_SILENT_AFTER_RESENDS: u64 = 3;

/// Resend intervals in which a follower acknowledges none of its entries, after which the owner
/// requests its replacement, whatever the reason. Applies also to followers that were not heard from
/// in this term, which may still be starting. Slow disks are reported by their own node sooner.
const REPLACE_STALLED_AFTER_RESENDS: u64 = 16;

/// Why a follower acknowledges no entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StallReason {
    /// Nothing was received from it.
    Silent,
    /// It answers, but its log does not grow.
    NoProgress,
    /// The next record is longer than it receives.
    RecordTooLong {
        /// Length of the record.
        bytes: usize,
        /// The longest record that it receives.
        limit: usize,
    },
}

impl std::fmt::Display for StallReason {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            StallReason::Silent => f.write_str("nothing is received from it"),
            StallReason::NoProgress => f.write_str("it answers and its log does not grow"),
            StallReason::RecordTooLong { bytes, limit } => {
                write!(f, "the next record of {bytes} bytes is longer than the {limit} bytes that it receives")
            }
        }
    }
}

/// An in-sync follower that holds up commits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StalledReplica {
    /// The node.
    pub node: String,
    /// Position of the first entry that it has not acknowledged.
    pub position: u64,
    /// How long it has acknowledged nothing, in milliseconds.
    pub stalled_ms: u64,
    /// Why.
    pub reason: StallReason,
}

impl Peer {
    /// Whether its replacement is to be requested now. It has unacknowledged entries.
    pub(super) fn is_replacement_due(&self, timing: &Timing, now: u64) -> bool {
        let silent_ms = REPLACE_SILENT_AFTER_RESENDS * timing.resend_ms;
        let stalled_ms = REPLACE_STALLED_AFTER_RESENDS * timing.resend_ms;
        let was_heard = self.incarnation != 0;
        let silent_since = self.last_heard.max(self.progressed_at);
        let is_silent = was_heard && now > silent_since + silent_ms;
        let is_stalled = now > self.progressed_at + stalled_ms;
        (is_silent || is_stalled) && now > self.replace_requested_at + silent_ms
    }

    fn stall_reason(&self, timing: &Timing, now: u64) -> StallReason {
        match self.refused_record {
            Some(record) => StallReason::RecordTooLong { bytes: record.bytes, limit: self.record_limit.bytes() },
            None if now > self.last_heard + REPLACE_SILENT_AFTER_RESENDS * timing.resend_ms => StallReason::Silent,
            None => StallReason::NoProgress,
        }
    }
}

impl PartitionReplica {
    /// The in-sync followers that have acknowledged no entry for so long that the owner requests their
    /// replacement. They hold up commits until another node is in sync in their place.
    pub fn stalled_replicas(&self, now: u64) -> Vec<StalledReplica> {
        if self.role != ReplicaRole::Owner {
            return Vec::new();
        }
        let stalled_ms = REPLACE_STALLED_AFTER_RESENDS * self.timing.resend_ms;
        let others = self.in_sync.iter().filter(|node| **node != self.node);
        let peers = others.filter_map(|node| Some((node, self.peers.get(node)?)));
        peers
            .filter(|(_, peer)| peer.acked < self.end() && now > peer.progressed_at + stalled_ms)
            .map(|(node, peer)| StalledReplica {
                node: node.clone(),
                position: peer.acked + 1,
                stalled_ms: now - peer.progressed_at,
                reason: peer.stall_reason(&self.timing, now),
            })
            .collect()
    }
}
