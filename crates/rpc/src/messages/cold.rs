//! Leases on cold processors, which give one node the exclusive right to send to them.

use super::*;

/// A node that selects processors requests from the leader the cold ones that it may send to.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ColdLease {
    /// The requesting node; its incarnation distinguishes it from an earlier process of that name.
    #[prost(message, required, tag = "1")]
    pub node: Node,
}

/// The leader's grant.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ColdLeaseAck {
    /// Ids of the cold processors that only the requesting node may send to.
    #[prost(string, repeated, tag = "1")]
    pub processors: Vec<String>,
    /// Duration of the lease in milliseconds, counted from when the request was sent.
    #[prost(uint32, tag = "2")]
    pub ttl_ms: u32,
}
