//! Shares of tenants' limits: what owners of partitions spent, and what the leader grants.

use super::*;

/// What an owner tells of one tenant.
#[derive(Clone, PartialEq, prost::Message)]
pub struct TenantUsage {
    /// The tenant's name.
    #[prost(string, tag = "1")]
    pub tenant: String,
    /// Tokens that it holds.
    #[prost(uint32, tag = "2")]
    pub held: u32,
    /// Tokens that it would like to have besides.
    #[prost(uint32, tag = "3")]
    pub wanted: u32,
    /// What was spent, a partition each.
    #[prost(message, repeated, tag = "4")]
    pub spendings: Vec<PartitionUsage>,
}

/// Tokens of a tenant that were spent on messages of one partition.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PartitionUsage {
    /// The partition's number.
    #[prost(uint32, tag = "1")]
    pub partition: u32,
    /// The owner's term.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Tokens that this owner has spent since it began with that term.
    #[prost(uint64, tag = "3")]
    pub spent_total: u64,
    /// Not empty: all that was spent in the last window, in parts by age.
    #[prost(uint32, repeated, tag = "4")]
    pub recent: Vec<u32>,
}

/// An owner of partitions asks the leader for shares of tenants' limits.
#[derive(Clone, PartialEq, prost::Message)]
pub struct QuotaRequest {
    /// The asker; its incarnation tells it from a former one.
    #[prost(message, required, tag = "1")]
    pub node: Node,
    /// Greater with each request of an incarnation.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
    /// It tells of every tenant, and all that was spent in the last window.
    #[prost(bool, tag = "3")]
    pub introduces: bool,
    /// What it tells, a tenant each.
    #[prost(message, repeated, tag = "4")]
    pub usages: Vec<TenantUsage>,
    /// The partitions whose accepted messages are counted in what it spent.
    #[prost(message, repeated, tag = "5")]
    pub counted: Vec<Holding>,
}

/// What the leader grants of one tenant's limit.
#[derive(Clone, PartialEq, prost::Message)]
pub struct TenantGrant {
    /// Tokens besides those that are held.
    #[prost(uint32, tag = "1")]
    pub granted: u32,
    /// How many of those that are held may be kept.
    #[prost(uint32, tag = "2")]
    pub keep: u32,
    /// With fewer than were wanted: after how many milliseconds there may be more.
    #[prost(uint32, tag = "3")]
    pub retry_ms: u32,
}

/// What the leader answers.
#[derive(Clone, PartialEq, prost::Message)]
pub struct QuotaResponse {
    /// Whether whoever answers leads, and has taken what it was told.
    #[prost(bool, tag = "1")]
    pub taken: bool,
    /// It leads, and does not know the asker.
    #[prost(bool, tag = "2")]
    pub introduce: bool,
    /// As the usages in the request.
    #[prost(message, repeated, tag = "3")]
    pub grants: Vec<TenantGrant>,
}
