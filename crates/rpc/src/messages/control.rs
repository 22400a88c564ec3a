//! What the majority assigns, leases, and what partitions ask of it.

use super::*;
use std::collections::HashSet;

/// What came of the runs on one version of a service since the last report.
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
    /// Sum of the good runs' milliseconds, and of their squares.
    #[prost(double, tag = "6")]
    pub ms_sum: f64,
    #[prost(uint32, tag = "7")]
    pub sent: u32,
}

/// What a majority of the control nodes has agreed on and the data plane needs.
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
    /// Not 0: only what has changed since that version.
    #[prost(uint64, tag = "5")]
    pub since: u64,
    /// Zones that the operator has emptied, or has taken back; one item a zone at the most.
    #[prost(message, repeated, tag = "6")]
    pub evacuations: Vec<Evacuation>,
}

/// A zone whose processors the operator wants to be sent nothing, or that was taken back.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Evacuation {
    /// The zone's name, as in the settings.
    #[prost(string, tag = "1")]
    pub zone: String,
    /// The operator has taken it back.
    #[prost(bool, tag = "2")]
    pub finished: bool,
    /// The index of the log at which the last order for this zone stands.
    #[prost(uint64, tag = "3")]
    pub ordered: u64,
    /// Of a finished one: the membership version from which on the listing says which of
    /// the zone's processors are cold; 0: none says it yet.
    #[prost(uint64, tag = "4")]
    pub cold_known_from: u64,
}

/// How processors of a zone may be used, as far as evacuations go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZoneUse {
    /// As any other.
    Open,
    /// Taken back a short while ago: each of its processors may be cold without the listing
    /// saying so.
    Returning,
    /// They are sent nothing.
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
    /// The nodes that are to hold it, the preferred owner first.
    #[prost(string, repeated, tag = "5")]
    pub replicas: Vec<String>,
    #[prost(message, optional, tag = "6")]
    pub grant: Option<Grant>,
    /// The term began without a stop marker: ask the delivery nodes first.
    #[prost(bool, tag = "7")]
    pub seized: bool,
    /// The incarnations in which nodes took part last: as owner, or when they joined.
    #[prost(message, repeated, tag = "8")]
    pub joined: Vec<Joined>,
    /// The assignments's version in which this was news.
    #[prost(uint64, tag = "9")]
    pub changed: u64,
    /// The region in which all its copies stand, for messages that are bound to it; empty for
    /// one that keeps messages of any region.
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
    /// The partition of whatever has this hash and is bound to no region; `None` before there
    /// are partitions. Their number stays, so this does.
    pub fn partition_for(&self, hash: u64) -> Option<u32> {
        // Those that are bound to a region come behind all others.
        let unbound = self.partitions.partition_point(|p| p.home.is_empty());
        let at = hash.checked_rem(unbound as u64)?;
        Some(self.partitions[at as usize].id)
    }

    /// The zones whose processors are sent nothing.
    pub fn evacuated_zones(&self, membership_version: u64) -> HashSet<String> {
        let zones = self.evacuations.iter().map(|e| &e.zone);
        zones.filter(|zone| self.zone_use(zone, membership_version) == ZoneUse::Evacuated).cloned().collect()
    }

    /// How the processors of a zone may be used by one that knows the membership of a version.
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
    /// Whether the membership of a version says which processors of the zone are cold.
    fn is_cold_known(&self, membership_version: u64) -> bool {
        self.cold_known_from > 0 && membership_version >= self.cold_known_from
    }
}

impl Partition {
    /// The incarnation in which a node took part last; 0 if that is not known.
    pub fn joined_incarnation(&self, node: &str) -> u64 {
        self.joined.iter().find(|j| j.node == node).map_or(0, |j| j.incarnation)
    }

    pub fn set_joined(&mut self, node: &str, incarnation: u64) {
        self.joined.retain(|j| j.node != node && (self.replicas.contains(&j.node) || self.in_sync.contains(&j.node)));
        self.joined.push(Joined { node: node.into(), incarnation });
    }
}

/// The next term, promised to a candidate before the incumbent stops.
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
    /// Thousandths of the traffic that the target gets.
    #[prost(uint32, tag = "4")]
    pub share: u32,
    #[prost(uint64, tag = "5")]
    pub within_ms: u64,
    /// Versions that were in use before.
    #[prost(string, repeated, tag = "6")]
    pub old: Vec<String>,
    /// Runs sent to the target so far, as the judge has seen them.
    #[prost(uint64, tag = "7")]
    pub spent: u64,
    #[prost(uint64, tag = "8")]
    pub began_ms: u64,
    /// The index of the log at which it began: tells it from any other one.
    #[prost(uint64, tag = "9")]
    pub began: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct Retire {
    #[prost(string, tag = "1")]
    pub node: String,
    #[prost(bool, tag = "2")]
    pub done: bool,
    /// The index of the log at which it began.
    #[prost(uint64, tag = "3")]
    pub began: u64,
    /// Once done: the birth of the disk that was emptied. A machine of that name
    /// whose disk began later is another one.
    #[prost(uint64, tag = "4")]
    pub born: u64,
}

/// An owner's lease on its incarnation: renewed with the leader.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Lease {
    #[prost(message, required, tag = "1")]
    pub node: Node,
    #[prost(message, repeated, tag = "2")]
    pub samples: Vec<Sample>,
    /// The partitions that it acts as owner of.
    #[prost(message, repeated, tag = "3")]
    pub claims: Vec<Holding>,
    /// How the node's disk does: 0 well, 1 slow, 2 it does not answer. With 2 the
    /// node has stopped acting as owner before it says so.
    #[prost(uint32, tag = "4")]
    pub lag: u32,
    /// The node's time of day.
    #[prost(uint64, tag = "5")]
    pub clock_ms: u64,
    /// The cluster's time as this node carries it on; 0 if it was told none.
    #[prost(uint64, tag = "15")]
    pub time_ms: u64,
    /// The latest time that the logs of its partitions say has passed.
    #[prost(uint64, tag = "14")]
    pub reached_ms: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct LeaseAck {
    #[prost(bool, tag = "1")]
    pub granted: bool,
    /// Counted from the moment the request was sent.
    #[prost(uint32, tag = "2")]
    pub ttl_ms: u32,
    /// Where to ask instead.
    #[prost(string, tag = "3")]
    pub leader: String,
    /// Claimed partitions that are at a higher term by now.
    #[prost(message, repeated, tag = "4")]
    pub outdated: Vec<Partition>,
    /// Store machines whose disks are slow or do not answer.
    #[prost(string, repeated, tag = "5")]
    pub lagging: Vec<String>,
    /// As in `ViewUpdate`.
    #[prost(uint64, tag = "6")]
    pub newer_incarnation: u64,
    /// The fleet's time as the leader has it; 0 when it does not know enough clocks.
    #[prost(uint64, tag = "7")]
    pub time_ms: u64,
}

/// What a partition owner or replica asks of the majority.
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
    /// With `Grant`: the node that is leaving, if the move is for that.
    #[prost(string, tag = "5")]
    pub leaving: String,
    /// With `Own` and `Join`: the node's incarnation.
    #[prost(uint64, tag = "6")]
    pub incarnation: u64,
    /// With `Join`: the entry of the majority's log that the asker goes by. What was
    /// asked before another entry concerned the partition is not granted behind it.
    #[prost(uint64, tag = "7")]
    pub seen: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum OrderKind {
    None = 0,
    /// Promise the next term to `node`.
    Grant = 1,
    /// `node` has resumed behind the stop marker.
    Own = 2,
    /// `node` holds all that is committed: count it in.
    Join = 3,
    /// `node` leaves the in-sync set.
    Drop = 4,
    /// The owner does not hear `node`, which holds up all commits: another node is to hold
    /// the partition in its place.
    Replace = 5,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct OrderAck {
    #[prost(bool, tag = "1")]
    pub ok: bool,
    /// Refused for good at this term (otherwise: try again).
    #[prost(bool, tag = "2")]
    pub refused: bool,
    #[prost(string, tag = "3")]
    pub leader: String,
    #[prost(message, optional, tag = "4")]
    pub partition: Option<Partition>,
}
