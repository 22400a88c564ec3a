//! Shares of tenants' limits: usage reports of partition owners and grants of the leader.

use super::*;

/// An owner's report on one tenant.
#[derive(Clone, PartialEq, prost::Message)]
pub struct TenantUsage {
    #[prost(string, tag = "1")]
    pub tenant: String,
    /// Tokens that the owner holds.
    #[prost(uint32, tag = "2")]
    pub held: u32,
    /// Tokens that it requests in addition.
    #[prost(uint32, tag = "3")]
    pub wanted: u32,
    /// Tokens spent, one entry per partition.
    #[prost(message, repeated, tag = "4")]
    pub spendings: Vec<PartitionUsage>,
}

/// Tokens of a tenant spent on messages of one partition.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PartitionUsage {
    #[prost(uint32, tag = "1")]
    pub partition: u32,
    /// The owner's term.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Tokens that this owner has spent since the start of that term.
    #[prost(uint64, tag = "3")]
    pub spent_total: u64,
    /// If not empty, everything spent in the last window, divided by age.
    #[prost(uint32, repeated, tag = "4")]
    pub recent: Vec<u32>,
}

/// A partition owner's request to the leader for shares of tenants' limits.
#[derive(Clone, PartialEq, prost::Message)]
pub struct QuotaRequest {
    /// The requesting node; its incarnation distinguishes it from an earlier process of that name.
    #[prost(message, required, tag = "1")]
    pub node: Node,
    /// Increases with each request of an incarnation.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
    /// The request is a full report: every tenant, and everything spent in the last window.
    #[prost(bool, tag = "3")]
    pub is_full_report: bool,
    /// The reports, one per tenant.
    #[prost(message, repeated, tag = "4")]
    pub usages: Vec<TenantUsage>,
    /// The partitions whose accepted messages are included in the spent tokens.
    #[prost(message, repeated, tag = "5")]
    pub counted: Vec<Holding>,
}

/// The leader's grant from one tenant's limit.
#[derive(Clone, PartialEq, prost::Message)]
pub struct TenantGrant {
    /// Tokens granted in addition to those held.
    #[prost(uint32, tag = "1")]
    pub granted: u32,
    /// How many of the held tokens the owner may keep.
    #[prost(uint32, tag = "2")]
    pub keep: u32,
    /// If fewer were granted than requested: milliseconds after which more may be available.
    #[prost(uint32, tag = "3")]
    pub retry_ms: u32,
}

/// The reply to a `QuotaRequest`.
#[derive(Clone, PartialEq, prost::Message)]
pub struct QuotaResponse {
    /// The responder is the leader and has recorded the report.
    #[prost(bool, tag = "1")]
    pub taken: bool,
    /// The responder is the leader and does not know the requester, which must send a full report.
    #[prost(bool, tag = "2")]
    pub needs_full_report: bool,
    /// One grant per usage in the request, in the same order.
    #[prost(message, repeated, tag = "3")]
    pub grants: Vec<TenantGrant>,
}
