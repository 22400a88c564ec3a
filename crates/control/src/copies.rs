//! Which copies of a partition count as in sync, and which machine replaces one whose disk does
//! not keep up.
//!
//! Invariant (docs/design/durability.md): a node with a live session is removed from an in-sync
//! set because of its disk only when enough other copies are in sync, or when no other machine
//! could hold a copy in its place. So a disk that is slow for a moment, as any disk may be, leaves
//! no message with fewer copies than the settings ask for. The exception is a disk that has been
//! in trouble for `settleS`: its copy is given up.

use crate::assignment::{Spread, StoreMachine, eligible_machines, replace_replica};
use crate::service::{ControlService, ControlShared, StoreLease};
use crate::state::{CopyHealth, copies_of};
use rpc::messages::Partition;

/// The state of its disk that a store node reports with its lease: the disk keeps up.
pub(crate) const DISK_HEALTHY: u32 = 0;
/// The disk does not answer at all.
pub(crate) const DISK_UNRESPONSIVE: u32 = 2;

/// Rates the copies of partitions by the sessions and disks of store nodes at one moment.
pub(crate) struct CopyAssessor<'a> {
    shared: &'a ControlShared,
    /// The leader's clock, in milliseconds.
    now: u64,
    /// The duration of a lease, in milliseconds.
    lease_ms: u64,
    /// After how many milliseconds a copy on a disk that does not keep up is given up even though
    /// no other copy has replaced it.
    give_up_after_ms: u64,
    /// How many copies the settings ask for.
    replica_count: usize,
    /// Store machines that are being emptied or stay empty.
    retiring: &'a [String],
}

impl ControlShared {
    /// The machines among these whose disks keep up.
    pub(crate) fn with_healthy_disks(&self, machines: &[StoreMachine]) -> Vec<StoreMachine> {
        let keeps_up = |machine: &&StoreMachine| self.leases.get(&machine.name).is_none_or(|l| l.lag == DISK_HEALTHY);
        machines.iter().filter(keeps_up).cloned().collect()
    }
}

impl ControlService {
    /// An assessor of the current state of store nodes.
    pub(crate) fn copy_assessor<'a>(
        &self,
        shared: &'a ControlShared,
        now: u64,
        retiring: &'a [String],
    ) -> CopyAssessor<'a> {
        CopyAssessor {
            shared,
            now,
            lease_ms: self.settings.lease_ms(),
            give_up_after_ms: (self.settings.constraints.settle_s * 1000.0) as u64,
            replica_count: self.settings.tolerance.machines as usize + 1,
            retiring,
        }
    }
}

impl CopyAssessor<'_> {
    fn lease(&self, node: &str) -> Option<&StoreLease> {
        self.shared.leases.get(node)
    }

    fn disk_state(&self, node: &str) -> u32 {
        self.lease(node).map_or(DISK_HEALTHY, |lease| lease.lag)
    }

    /// Whether a node's session is live and its disk still holds what was in sync.
    fn holds_synced_copy(&self, p: &Partition, node: &str) -> bool {
        // A disk that was emptied holds only what was written since then.
        let is_whole = self.lease(node).is_none_or(|lease| p.joined_incarnation(node) >= lease.born);
        is_whole && ControlService::is_session_live(self.shared, self.now, self.lease_ms, node)
    }

    /// Whether a node's disk delays commits. A slow disk does not count as a delay if the owner's
    /// disk is slow too.
    fn delays_commits(&self, p: &Partition, node: &str) -> bool {
        let is_candidate = p.grant.as_ref().is_some_and(|grant| grant.candidate == node);
        match self.disk_state(node) {
            DISK_HEALTHY => false,
            DISK_UNRESPONSIVE => true,
            _ => node != p.owner && !is_candidate && self.disk_state(&p.owner) == DISK_HEALTHY,
        }
    }

    /// Whether the copy of a node that delays commits may be given up.
    fn may_drop(&self, p: &Partition, node: &str) -> bool {
        let is_sound = |n: &&String| **n != node && self.holds_synced_copy(p, n) && self.disk_state(n) == DISK_HEALTHY;
        if p.in_sync.iter().filter(is_sound).count() >= copies_of(p, self.replica_count) {
            return true;
        }
        let is_overdue = self.lease(node).is_some_and(|lease| self.now > lease.lagging_since + self.give_up_after_ms);
        is_overdue || !self.has_other_machine(p)
    }

    /// Whether there is a store machine that holds no copy of a partition and could.
    fn has_other_machine(&self, p: &Partition) -> bool {
        self.shared.sessions.values().map(|session| &session.node).any(|node| {
            let may_hold = node.role == "store" && (p.home.is_empty() || node.region == p.home);
            may_hold && !node.leaving && !p.replicas.contains(&node.name) && !self.retiring.contains(&node.name)
        })
    }

    /// Whether a copy may join the in-sync set: on a disk that keeps up, or on a slow one where
    /// too few other copies are in sync.
    pub(crate) fn may_join(&self, p: &Partition, node: &str) -> bool {
        match self.disk_state(node) {
            DISK_HEALTHY => true,
            DISK_UNRESPONSIVE => false,
            _ => !self.may_drop(p, node),
        }
    }

    /// The health of a node's copy of a partition.
    pub(crate) fn health(&self, p: &Partition, node: &str) -> CopyHealth {
        if !self.holds_synced_copy(p, node) || (self.delays_commits(p, node) && self.may_drop(p, node)) {
            return CopyHealth::Gone;
        }
        match self.disk_state(node) {
            DISK_UNRESPONSIVE => CopyHealth::Impaired,
            _ => CopyHealth::Sound,
        }
    }

    /// The partition with a replica on one of the `healthy` machines in place of one whose disk
    /// does not keep up. The old copy stays in sync until the new one is; a partition has one
    /// such replacement at a time.
    pub(crate) fn replace_slow_replica(
        &self,
        p: &Partition,
        all: &[Partition],
        healthy: &[StoreMachine],
        spread: Spread,
    ) -> Option<Partition> {
        let impaired = p.replicas.iter().find(|node| **node != p.owner && self.delays_commits(p, node))?;
        let is_settled = p.grant.is_none()
            && p.in_sync.iter().all(|node| p.replicas.contains(node))
            && p.replicas.iter().all(|node| node == impaired || p.in_sync.contains(node));
        if !is_settled {
            return None;
        }
        eligible_machines(p, healthy).find(|machine| !p.replicas.contains(&machine.name))?;
        let updated = replace_replica(p, impaired, all, healthy, self.replica_count, spread)?;
        telemetry::count("copies_moved_from_slow_disks");
        telemetry::change!(
            "partition {}: the disk of {impaired} does not keep up, replicas {:?}",
            p.id,
            updated.replicas
        );
        Some(updated)
    }
}
