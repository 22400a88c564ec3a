//! Sessions, and the propagated view of the cluster: nodes, processors, versions.

use super::*;

/// A node of the cluster, as it describes itself.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Node {
    #[prost(string, tag = "1")]
    pub name: String,
    /// `front`, `store` or `control`.
    #[prost(string, tag = "2")]
    pub role: String,
    #[prost(string, tag = "3")]
    pub zone: String,
    #[prost(string, tag = "4")]
    pub region: String,
    /// Address on which it accepts internal connections.
    #[prost(string, tag = "5")]
    pub inner: String,
    /// Changes with every start of the process.
    #[prost(uint64, tag = "6")]
    pub incarnation: u64,
    #[prost(bool, tag = "7")]
    pub leaving: bool,
    /// In a membership: the version in which this node last changed.
    #[prost(uint64, tag = "9")]
    pub changed: u64,
    /// The incarnation in which its disk was empty; 0 if that was the system's first start. It does
    /// not hold the data of partitions that it joined before.
    #[prost(uint64, tag = "10")]
    pub born: u64,
}

/// The versions of the three parts of the propagated view.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct ViewVersions {
    #[prost(uint64, tag = "1")]
    pub configuration: u64,
    #[prost(uint64, tag = "2")]
    pub assignments: u64,
    #[prost(uint64, tag = "3")]
    pub membership: u64,
}

/// Renews a session and long-polls for changes; answered when there are any, or after `wait_ms`.
#[derive(Clone, PartialEq, prost::Message)]
pub struct WatchRequest {
    #[prost(message, optional, tag = "1")]
    pub node: Option<Node>,
    #[prost(message, required, tag = "2")]
    pub have: ViewVersions,
    #[prost(uint32, tag = "3")]
    pub wait_ms: u32,
    /// Sessions held by a control node, reported to the leader.
    #[prost(message, repeated, tag = "4")]
    pub sessions: Vec<Node>,
    /// From a control node: its wall-clock time.
    #[prost(uint64, tag = "5")]
    pub clock_ms: u64,
    /// The cluster's time as the requester carries it; 0 if it has received none.
    #[prost(uint64, tag = "15")]
    pub time_ms: u64,
    /// Addresses of processors whose answers do not name their request. From a front, those that it
    /// detected; from a control node, those that the fronts reported to it.
    #[prost(string, repeated, tag = "12")]
    pub unidentified: Vec<String>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct ViewUpdate {
    #[prost(message, required, tag = "1")]
    pub have: ViewVersions,
    #[prost(bytes = "bytes", optional, tag = "2")]
    pub configuration: Option<Bytes>,
    #[prost(message, optional, tag = "3")]
    pub assignments: Option<Assignments>,
    #[prost(message, optional, tag = "4")]
    pub membership: Option<Membership>,
    /// Internal address of the leader, if known.
    #[prost(string, tag = "5")]
    pub leader: String,
    /// Internal addresses of the control nodes.
    #[prost(string, repeated, tag = "6")]
    pub control_nodes: Vec<String>,
    /// A known incarnation of the requester that is greater than the one it sent; the requester
    /// must switch to one after that.
    #[prost(uint64, tag = "7")]
    pub newer_incarnation: u64,
    /// The whole configuration, compressed; a large one would otherwise occupy a slow link for
    /// seconds.
    #[prost(bytes = "bytes", tag = "9")]
    pub packed_configuration: Bytes,
    /// The membership, compressed, instead of `membership`: transferring a large one over a slow
    /// link takes longer than the caller waits for an answer.
    #[prost(bytes = "bytes", tag = "11")]
    pub packed_membership: Bytes,
    /// Instead of the whole configuration: the changes since the requester's, in order.
    #[prost(message, repeated, tag = "8")]
    pub steps: Vec<ConfigurationStep>,
    /// The cluster's time; 0 if unknown.
    #[prost(uint64, tag = "15")]
    pub time_ms: u64,
    /// To a control node: processors whose answers do not name their request, as reported by all
    /// fronts.
    #[prost(string, repeated, tag = "14")]
    pub unidentified: Vec<String>,
    /// How long before the request the revision in `have` was confirmed as the newest, in
    /// milliseconds; set only if machines have to confirm that.
    #[prost(uint64, optional, tag = "10")]
    pub configuration_age_ms: Option<u64>,
}

/// The change from one configuration to the next.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ConfigurationStep {
    #[prost(uint64, tag = "1")]
    pub since: u64,
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// The change as written by the operator.
    #[prost(bytes = "bytes", tag = "3")]
    pub change: Bytes,
    /// Fingerprint of the resulting configuration; on a mismatch the whole one is fetched.
    #[prost(fixed64, tag = "4")]
    pub fingerprint: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct Gossip {
    #[prost(message, required, tag = "1")]
    pub have: ViewVersions,
    #[prost(bool, tag = "2")]
    pub pull: bool,
}

/// Soft state: the current nodes and processors.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Membership {
    #[prost(uint64, tag = "1")]
    pub version: u64,
    #[prost(message, repeated, tag = "2")]
    pub nodes: Vec<Node>,
    #[prost(message, repeated, tag = "3")]
    pub processors: Vec<Processor>,
    #[prost(bool, tag = "4")]
    pub listed: bool,
    /// If not 0, the message is a delta: it holds only what changed after this version.
    #[prost(uint64, tag = "5")]
    pub since: u64,
    /// Nodes and processors that were removed.
    #[prost(message, repeated, tag = "6")]
    pub removals: Vec<Removal>,
    /// The version from which on `removals` is complete.
    #[prost(uint64, tag = "7")]
    pub removals_from: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct Removal {
    /// A node's name, or a processor's id.
    #[prost(string, tag = "1")]
    pub name: String,
    #[prost(bool, tag = "2")]
    pub processor: bool,
    #[prost(uint64, tag = "3")]
    pub version: u64,
}

/// A processor as listed by the platform.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Processor {
    #[prost(string, tag = "1")]
    pub id: String,
    #[prost(string, tag = "2")]
    pub service: String,
    #[prost(string, tag = "3")]
    pub address: String,
    #[prost(string, tag = "4")]
    pub zone: String,
    #[prost(string, tag = "5")]
    pub revision: String,
    #[prost(uint32, tag = "6")]
    pub capacity: u32,
    #[prost(bool, tag = "7")]
    pub draining: bool,
    #[prost(bool, tag = "8")]
    pub cold: bool,
    /// In a membership: the version in which this processor last changed.
    #[prost(uint64, tag = "9")]
    pub changed: u64,
}
