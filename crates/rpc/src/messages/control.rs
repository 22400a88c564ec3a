//! Assignments made by the control plane, store leases, and the requests of partitions.

use super::*;
use std::collections::HashSet;

/// Results of runs on one revision of a service since the last report.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Sample {
    #[prost(string, tag = "1")]
    pub service: String,
    #[prost(string, tag = "2")]
    pub revision: String,
    #[prost(string, tag = "3")]
    pub route: String,
    #[prost(uint32, tag = "4")]
    pub good: u32,
    #[prost(uint32, tag = "5")]
    pub bad: u32,
    /// Sum of the durations of the good runs, in milliseconds.
    #[prost(double, tag = "6")]
    pub ms_sum: f64,
    #[prost(uint32, tag = "7")]
    pub sent: u32,
}

/// The part of the control nodes' replicated state that the data plane needs.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Assignments {
    #[prost(uint64, tag = "1")]
    pub version: u64,
    #[prost(message, repeated, tag = "2")]
    pub partitions: Vec<Partition>,
    #[prost(message, repeated, tag = "3")]
    pub rollouts: Vec<Rollout>,
    #[prost(message, repeated, tag = "4")]
    pub retires: Vec<Retire>,
    /// If not 0, the message is a delta: it holds only what changed after this version.
    #[prost(uint64, tag = "5")]
    pub since: u64,
    /// Zones that the operator has evacuated or returned to use; at most one entry per zone.
    #[prost(message, repeated, tag = "6")]
    pub evacuations: Vec<Evacuation>,
}

/// An operator's order to send nothing to the processors of a zone, or the end of such an order.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Evacuation {
    /// The zone's name as in the settings.
    #[prost(string, tag = "1")]
    pub zone: String,
    /// The operator has ended the evacuation.
    #[prost(bool, tag = "2")]
    pub finished: bool,
    /// Log index of the last order for this zone.
    #[prost(uint64, tag = "3")]
    pub ordered: u64,
    /// Of a finished evacuation: the first membership version in which the listing says which
    /// of the zone's processors are cold; 0 if there is none yet.
    #[prost(uint64, tag = "4")]
    pub cold_known_from: u64,
}

/// Whether evacuations restrict the use of a zone's processors.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZoneUse {
    /// No restriction.
    Open,
    /// The evacuation ended recently: any processor of the zone may be cold although the listing
    /// does not say so yet.
    Returning,
    /// Nothing is sent to the zone's processors.
    Evacuated,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct Partition {
    #[prost(uint32, tag = "1")]
    pub id: u32,
    #[prost(uint64, tag = "2")]
    pub term: u64,
    #[prost(string, tag = "3")]
    pub owner: String,
    #[prost(string, repeated, tag = "4")]
    pub in_sync: Vec<String>,
    /// The nodes that should hold a replica, the preferred owner first.
    #[prost(string, repeated, tag = "5")]
    pub replicas: Vec<String>,
    #[prost(message, optional, tag = "6")]
    pub grant: Option<Grant>,
    /// The term began without a stop marker of the previous owner, so the new owner must ask the
    /// delivery nodes first which deliveries they hold.
    #[prost(bool, tag = "7")]
    pub seized: bool,
    /// The incarnation in which each node last became owner or joined the in-sync set.
    #[prost(message, repeated, tag = "8")]
    pub joined: Vec<Joined>,
    /// The version of the assignments in which this partition last changed.
    #[prost(uint64, tag = "9")]
    pub changed: u64,
    /// The region that holds all replicas, for messages bound to that region; empty if the
    /// partition keeps messages of any region.
    #[prost(string, tag = "10")]
    pub home: String,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct Joined {
    #[prost(string, tag = "1")]
    pub node: String,
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
}

impl Assignments {
    /// Returns the partition for a hash of something that is bound to no region; `None` before
    /// there are partitions. The number of partitions never changes, so neither does the result.
    pub fn partition_for(&self, hash: u64) -> Option<u32> {
        // Partitions bound to a region come after all others.
        let unbound = self.partitions.partition_point(|p| p.home.is_empty());
        let at = hash.checked_rem(unbound as u64)?;
        Some(self.partitions[at as usize].id)
    }

    /// Returns the zones whose processors must be sent nothing.
    pub fn evacuated_zones(&self, membership_version: u64) -> HashSet<String> {
        let zones = self.evacuations.iter().map(|e| &e.zone);
        zones.filter(|zone| self.zone_use(zone, membership_version) == ZoneUse::Evacuated).cloned().collect()
    }

    /// Returns how a process that has the given membership version may use the zone's processors.
    pub fn zone_use(&self, zone: &str, membership_version: u64) -> ZoneUse {
        match self.evacuations.iter().find(|evacuation| evacuation.zone == zone) {
            None => ZoneUse::Open,
            Some(evacuation) if !evacuation.finished => ZoneUse::Evacuated,
            Some(evacuation) if evacuation.is_cold_known(membership_version) => ZoneUse::Open,
            Some(_) => ZoneUse::Returning,
        }
    }
}

impl Evacuation {
    /// Returns whether that membership version says which processors of the zone are cold.
    fn is_cold_known(&self, membership_version: u64) -> bool {
        self.cold_known_from > 0 && membership_version >= self.cold_known_from
    }
}

impl Partition {
    /// Returns the incarnation in which a node last became owner or joined; 0 if unknown.
    pub fn joined_incarnation(&self, node: &str) -> u64 {
        self.joined.iter().find(|j| j.node == node).map_or(0, |j| j.incarnation)
    }

    pub fn set_joined(&mut self, node: &str, incarnation: u64) {
        self.joined.retain(|j| j.node != node && (self.replicas.contains(&j.node) || self.in_sync.contains(&j.node)));
        self.joined.push(Joined { node: node.into(), incarnation });
    }
}

/// The next term, promised to a candidate before the current owner stops.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Grant {
    #[prost(uint64, tag = "1")]
    pub term: u64,
    #[prost(string, tag = "2")]
    pub candidate: String,
    #[prost(string, repeated, tag = "3")]
    pub in_sync: Vec<String>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct Rollout {
    #[prost(string, tag = "1")]
    pub service: String,
    #[prost(string, tag = "2")]
    pub target: String,
    /// `running`, `settled` or `reverted`.
    #[prost(string, tag = "3")]
    pub state: String,
    /// Share of the traffic that goes to the target, in thousandths.
    #[prost(uint32, tag = "4")]
    pub share: u32,
    #[prost(uint64, tag = "5")]
    pub within_ms: u64,
    /// Revisions in use before the rollout.
    #[prost(string, repeated, tag = "6")]
    pub old: Vec<String>,
    /// Number of runs sent to the target so far, as counted by the rollout's judge.
    #[prost(uint64, tag = "7")]
    pub spent: u64,
    #[prost(uint64, tag = "8")]
    pub began_ms: u64,
    /// Log index at which it began; identifies the rollout.
    #[prost(uint64, tag = "9")]
    pub began: u64,
    /// Revisions of the service whose rollouts were reverted, the newest last, without the target.
    #[prost(string, repeated, tag = "10")]
    pub rejected: Vec<String>,
}

/// A service keeps at most this many rejected revisions.
const MAX_REJECTED_REVISIONS: usize = 64;

impl Rollout {
    /// Whether a revision is one that was in use before this rollout and was not rejected itself.
    /// Processors of a rejected revision may be listed for a while after their rollout was reverted.
    pub fn is_previous(&self, revision: &str) -> bool {
        revision != self.target && !self.is_rejected(revision)
    }

    /// Whether the rollout of a revision was reverted, and it was not ordered again.
    pub fn is_rejected(&self, revision: &str) -> bool {
        self.rejected.iter().any(|rejected| rejected == revision)
    }

    /// The rejected revisions to keep for a rollout that follows this one.
    pub fn rejected_before(&self, next_target: &str) -> Vec<String> {
        let own = (self.state == "reverted").then_some(&self.target);
        let earlier = self.rejected.iter().filter(|revision| **revision != self.target);
        let kept: Vec<String> = earlier.chain(own).filter(|revision| *revision != next_target).cloned().collect();
        kept[kept.len().saturating_sub(MAX_REJECTED_REVISIONS)..].to_vec()
    }

    /// Whether two values describe the same step of the same rollout. `rejected` follows from the
    /// rollouts before it, and builds that do not know it leave it out.
    pub fn is_same_step(&self, other: &Rollout) -> bool {
        let without_rejected = |rollout: &Rollout| Rollout { rejected: Vec::new(), ..rollout.clone() };
        without_rejected(self) == without_rejected(other)
    }
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct Retire {
    #[prost(string, tag = "1")]
    pub node: String,
    #[prost(bool, tag = "2")]
    pub done: bool,
    /// Log index at which it began.
    #[prost(uint64, tag = "3")]
    pub began: u64,
    /// Once done: the `born` value of the disk that was emptied. A machine of the same name with
    /// a later value is a different one.
    #[prost(uint64, tag = "4")]
    pub born: u64,
}

/// A store node's request to the leader to renew the lease on its incarnation.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Lease {
    #[prost(message, required, tag = "1")]
    pub node: Node,
    #[prost(message, repeated, tag = "2")]
    pub samples: Vec<Sample>,
    /// The partitions that the node acts as owner of.
    #[prost(message, repeated, tag = "3")]
    pub claims: Vec<Holding>,
    /// State of the node's disk: 0 healthy, 1 slow, 2 not responding. A node stops acting as owner
    /// before it reports 2.
    #[prost(uint32, tag = "4")]
    pub lag: u32,
    /// The node's wall-clock time.
    #[prost(uint64, tag = "5")]
    pub clock_ms: u64,
    /// The cluster's time as this node carries it; 0 if it has received none.
    #[prost(uint64, tag = "15")]
    pub time_ms: u64,
    /// The latest time that the logs of its partitions record as passed.
    #[prost(uint64, tag = "14")]
    pub reached_ms: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct LeaseAck {
    #[prost(bool, tag = "1")]
    pub granted: bool,
    /// Duration of the lease, counted from when the request was sent.
    #[prost(uint32, tag = "2")]
    pub ttl_ms: u32,
    /// The address to ask instead.
    #[prost(string, tag = "3")]
    pub leader: String,
    /// Claimed partitions that have a higher term by now.
    #[prost(message, repeated, tag = "4")]
    pub outdated: Vec<Partition>,
    /// Store machines whose disks are slow or not responding.
    #[prost(string, repeated, tag = "5")]
    pub lagging: Vec<String>,
    /// See `ViewUpdate::newer_incarnation`.
    #[prost(uint64, tag = "6")]
    pub newer_incarnation: u64,
    /// The leader's cluster time; 0 if it does not know enough clocks.
    #[prost(uint64, tag = "7")]
    pub time_ms: u64,
}

/// A request of a partition owner or replica to change the partition's assignment.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Order {
    #[prost(uint32, tag = "1")]
    pub partition: u32,
    #[prost(uint64, tag = "2")]
    pub term: u64,
    #[prost(string, tag = "3")]
    pub node: String,
    #[prost(enumeration = "OrderKind", tag = "4")]
    pub kind: i32,
    /// With `Grant`: the leaving node, if that is the reason for the move.
    #[prost(string, tag = "5")]
    pub leaving: String,
    /// With `Own` and `Join`: the node's incarnation.
    #[prost(uint64, tag = "6")]
    pub incarnation: u64,
    /// With `Join`: the index of the control log's entry that the request is based on. A request
    /// is not granted if a later entry concerns the partition.
    #[prost(uint64, tag = "7")]
    pub seen: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum OrderKind {
    None = 0,
    /// Promise the next term to `node`.
    Grant = 1,
    /// `node` has resumed after the stop marker.
    Own = 2,
    /// `node` holds all committed entries: add it to the in-sync set.
    Join = 3,
    /// `node` leaves the in-sync set.
    Drop = 4,
    /// The owner gets no answer from `node`, which blocks all commits: replace it by another node.
    Replace = 5,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct OrderAck {
    #[prost(bool, tag = "1")]
    pub ok: bool,
    /// Permanently refused at this term; if false, the request may be retried.
    #[prost(bool, tag = "2")]
    pub refused: bool,
    #[prost(string, tag = "3")]
    pub leader: String,
    #[prost(message, optional, tag = "4")]
    pub partition: Option<Partition>,
}
