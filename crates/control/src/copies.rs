//! Which copies of a partition count, and which machine takes the place of one whose disk does
//! not keep up.
//!
//! Invariant (docs/design/durability.md): a node whose session stands leaves an in-sync set for its
//! disk's sake only when enough other copies are in sync, or when no machine is there to hold one
//! in its place. A disk that is slow for a moment, as any disk may be, leaves no message with
//! fewer copies than the settings ask for.

use crate::assignment::{Spread, StoreMachine, eligible_machines, replace_replica};
use crate::service::{ControlService, ControlShared, Leased};
use crate::state::{CopyHealth, copies_of};
use rpc::messages::Partition;

/// What a store node tells of its disk with its lease.
pub(crate) const DISK_HEALTHY: u32 = 0;
/// Its disk does not answer at all.
pub(crate) const DISK_UNRESPONSIVE: u32 = 2;

/// The state of store nodes at one moment, as far as their copies go.
pub(crate) struct CopyAssessor<'a> {
    shared: &'a ControlShared,
    /// The leader's clock, in milliseconds.
    now: u64,
    /// How long a lease lasts, in milliseconds.
    lease_ms: u64,
    /// After how many milliseconds a copy on a disk that does not keep up is given up though no
    /// other one has come in its place.
    patience_ms: u64,
    /// How many copies the settings ask for.
    replica_count: usize,
    /// Store machines that are to hold nothing.
    retiring: &'a [String],
}

impl ControlShared {
    /// Those of the machines whose disks keep up.
    pub(crate) fn with_healthy_disks(&self, machines: &[StoreMachine]) -> Vec<StoreMachine> {
        let keeps_up = |machine: &&StoreMachine| self.leases.get(&machine.name).is_none_or(|l| l.lag == DISK_HEALTHY);
        machines.iter().filter(keeps_up).cloned().collect()
    }
}

impl ControlService {
    /// The state of store nodes as it is now.
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
            patience_ms: (self.settings.constraints.settle_s * 1000.0) as u64,
            replica_count: self.settings.tolerance.machines as usize + 1,
            retiring,
        }
    }
}

impl CopyAssessor<'_> {
    fn lease(&self, node: &str) -> Option<&Leased> {
        self.shared.leases.get(node)
    }

    fn lag(&self, node: &str) -> u32 {
        self.lease(node).map_or(DISK_HEALTHY, |lease| lease.lag)
    }

    /// Whether a node's session stands, and its disk holds what was in sync.
    fn holds(&self, p: &Partition, node: &str) -> bool {
        // An emptied disk holds what it was filled with since then only.
        let is_whole = self.lease(node).is_none_or(|lease| p.joined_incarnation(node) >= lease.born);
        is_whole && ControlService::is_session_live(self.shared, self.now, self.lease_ms, node)
    }

    /// Whether a node's disk holds up the others. A slow one does not hold up an owner whose own
    /// is slow too.
    fn is_hindrance(&self, p: &Partition, node: &str) -> bool {
        let is_candidate = p.grant.as_ref().is_some_and(|grant| grant.candidate == node);
        match self.lag(node) {
            DISK_HEALTHY => false,
            DISK_UNRESPONSIVE => true,
            _ => node != p.owner && !is_candidate && self.lag(&p.owner) == DISK_HEALTHY,
        }
    }

    /// Whether the copy of a node that hinders the others may be given up.
    fn is_dispensable(&self, p: &Partition, node: &str) -> bool {
        let is_sound = |n: &&String| **n != node && self.holds(p, n) && self.lag(n) == DISK_HEALTHY;
        if p.in_sync.iter().filter(is_sound).count() >= copies_of(p, self.replica_count) {
            return true;
        }
        let is_over = self.lease(node).is_some_and(|lease| self.now > lease.lagging_since + self.patience_ms);
        is_over || !self.has_other_machine(p)
    }

    /// Whether there is a store machine that holds no copy and could.
    fn has_other_machine(&self, p: &Partition) -> bool {
        self.shared.sessions.values().map(|session| &session.node).any(|node| {
            let may_hold = node.role == "store" && (p.home.is_empty() || node.region == p.home);
            may_hold && !node.leaving && !p.replicas.contains(&node.name) && !self.retiring.contains(&node.name)
        })
    }

    /// Whether a copy may come into sync: on a disk that keeps up, or on a slow one where there are
    /// too few others.
    pub(crate) fn may_join(&self, p: &Partition, node: &str) -> bool {
        match self.lag(node) {
            DISK_HEALTHY => true,
            DISK_UNRESPONSIVE => false,
            _ => !self.is_dispensable(p, node),
        }
    }

    /// How far a node's copy of a partition counts.
    pub(crate) fn health(&self, p: &Partition, node: &str) -> CopyHealth {
        if !self.holds(p, node) || (self.is_hindrance(p, node) && self.is_dispensable(p, node)) {
            return CopyHealth::Gone;
        }
        match self.lag(node) {
            DISK_UNRESPONSIVE => CopyHealth::Impaired,
            _ => CopyHealth::Sound,
        }
    }

    /// The partition with another machine, of those whose disks do well, in the place of a replica
    /// whose disk does not keep up.
    /// That one stays in sync until the other one is. One at a time for each partition.
    pub(crate) fn replace_slow_replica(
        &self,
        p: &Partition,
        all: &[Partition],
        well: &[StoreMachine],
        spread: Spread,
    ) -> Option<Partition> {
        let impaired = p.replicas.iter().find(|node| **node != p.owner && self.is_hindrance(p, node))?;
        let is_settled = p.grant.is_none()
            && p.in_sync.iter().all(|node| p.replicas.contains(node))
            && p.replicas.iter().all(|node| node == impaired || p.in_sync.contains(node));
        if !is_settled {
            return None;
        }
        eligible_machines(p, well).find(|machine| !p.replicas.contains(&machine.name))?;
        let put = replace_replica(p, impaired, all, well, self.replica_count, spread)?;
        telemetry::count("copies_moved_from_slow_disks");
        telemetry::change!("partition {}: the disk of {impaired} does not keep up, replicas {:?}", p.id, put.replicas);
        Some(put)
    }
}
