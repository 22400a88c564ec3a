//! Sessions, and the view of the cluster that is passed on: nodes, processors, versions.

use super::*;

/// A node of the system, as it tells of itself.
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
    /// Where it takes inner connections.
    #[prost(string, tag = "5")]
    pub inner: String,
    /// Changes with every start of the process.
    #[prost(uint64, tag = "6")]
    pub incarnation: u64,
    #[prost(bool, tag = "7")]
    pub leaving: bool,
    /// In a membership: the version in which this was news.
    #[prost(uint64, tag = "9")]
    pub changed: u64,
    /// The incarnation in which its disk was empty; 0: at the system's first start. What it
    /// joined before that it does not hold.
    #[prost(uint64, tag = "10")]
    pub born: u64,
}

/// The versions of the three things that are passed on.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct ViewVersions {
    #[prost(uint64, tag = "1")]
    pub configuration: u64,
    #[prost(uint64, tag = "2")]
    pub assignments: u64,
    #[prost(uint64, tag = "3")]
    pub membership: u64,
}

/// Keeps a session and asks for news; answered when there is some, or after `wait_ms`.
#[derive(Clone, PartialEq, prost::Message)]
pub struct WatchRequest {
    #[prost(message, optional, tag = "1")]
    pub node: Option<Node>,
    #[prost(message, required, tag = "2")]
    pub have: ViewVersions,
    #[prost(uint32, tag = "3")]
    pub wait_ms: u32,
    /// Sessions that a control node holds, told to the leader.
    #[prost(message, repeated, tag = "4")]
    pub sessions: Vec<Node>,
    /// From a control node: its time of day.
    #[prost(uint64, tag = "5")]
    pub clock_ms: u64,
    /// The cluster's time as the asker carries it on; 0 if it was told none.
    #[prost(uint64, tag = "15")]
    pub time_ms: u64,
    /// Addresses of processors whose answers do not name their request. From a front: those
    /// that it found; from a control node: those that the fronts told it.
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
    /// Inner address of the leader, if known.
    #[prost(string, tag = "5")]
    pub leader: String,
    /// Inner addresses of control nodes.
    #[prost(string, repeated, tag = "6")]
    pub control_nodes: Vec<String>,
    /// An incarnation of the asker's that is known and comes after the one it told: it is
    /// to begin another after that.
    #[prost(uint64, tag = "7")]
    pub newer_incarnation: u64,
    /// The whole configuration, packed; a large one takes a slow link for seconds else.
    #[prost(bytes = "bytes", tag = "9")]
    pub packed: Bytes,
    /// Instead of `membership`, packed: a large one takes a slow link for longer than an answer
    /// is waited for.
    #[prost(bytes = "bytes", tag = "11")]
    pub packed_membership: Bytes,
    /// Instead of the whole configuration: the changes since the asker's, in order.
    #[prost(message, repeated, tag = "8")]
    pub steps: Vec<ConfigurationStep>,
    /// The cluster's time; 0 if it is not known.
    #[prost(uint64, tag = "15")]
    pub time_ms: u64,
    /// To a control node: processors whose answers do not name their request, as all fronts
    /// told them.
    #[prost(string, repeated, tag = "14")]
    pub unidentified: Vec<String>,
    /// How long before this was asked for the revision in `have` was shown to be the newest,
    /// in milliseconds; told where machines have to show that.
    #[prost(uint64, optional, tag = "10")]
    pub configuration_age_ms: Option<u64>,
}

/// What changed from one configuration to the next.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ConfigurationStep {
    #[prost(uint64, tag = "1")]
    pub since: u64,
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// As operators write it.
    #[prost(bytes = "bytes", tag = "3")]
    pub change: Bytes,
    /// Of the whole that comes of it: one that differs is fetched whole.
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

/// Soft state: who is a member, and which processors there are.
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
    /// Not 0: only what has changed since that version.
    #[prost(uint64, tag = "5")]
    pub since: u64,
    /// What is no longer there.
    #[prost(message, repeated, tag = "6")]
    pub gone: Vec<Gone>,
    /// From which version on `gone` is complete.
    #[prost(uint64, tag = "7")]
    pub from: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct Gone {
    /// A node's name, or a processor's id.
    #[prost(string, tag = "1")]
    pub name: String,
    #[prost(bool, tag = "2")]
    pub processor: bool,
    #[prost(uint64, tag = "3")]
    pub version: u64,
}

/// A processor as the platform lists it.
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
    /// In a membership: the version in which this was news.
    #[prost(uint64, tag = "9")]
    pub changed: u64,
}
