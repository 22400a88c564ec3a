//! Leases on cold processors: which of them a node may send to.

use super::*;

/// A node that chooses processors asks the leader for the cold ones that it may send to.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ColdLease {
    /// The asker; its incarnation tells it from a former one.
    #[prost(message, required, tag = "1")]
    pub node: Node,
}

/// What the leader grants.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ColdLeaseAck {
    /// Ids of cold processors that the asker, and nobody else, may send to.
    #[prost(string, repeated, tag = "1")]
    pub processors: Vec<String>,
    /// For how long, in milliseconds from when the asker asked.
    #[prost(uint32, tag = "2")]
    pub ttl_ms: u32,
}
