//! Replication of partition logs.

use super::*;

#[derive(Clone, PartialEq, prost::Message)]
pub struct LogEntry {
    #[prost(uint64, tag = "1")]
    pub term: u64,
    #[prost(bytes = "bytes", tag = "2")]
    pub record: Bytes,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct Entries {
    #[prost(uint32, tag = "1")]
    pub partition: u32,
    #[prost(uint64, tag = "2")]
    pub term: u64,
    #[prost(string, tag = "3")]
    pub owner: String,
    /// Position and term of the entry that precedes the first one sent.
    #[prost(uint64, tag = "4")]
    pub prev: u64,
    #[prost(uint64, tag = "5")]
    pub prev_term: u64,
    #[prost(message, repeated, tag = "6")]
    pub entries: Vec<LogEntry>,
    #[prost(uint64, tag = "7")]
    pub commit: u64,
    /// The partition's time at the owner when this was sent; 0 if that clock has not started yet.
    #[prost(uint64, tag = "15")]
    pub time_ms: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct EntriesAck {
    #[prost(uint32, tag = "1")]
    pub partition: u32,
    #[prost(uint64, tag = "2")]
    pub term: u64,
    #[prost(string, tag = "3")]
    pub node: String,
    /// Everything up to this position is durable on this node.
    #[prost(uint64, tag = "4")]
    pub durable: u64,
    /// The entries did not connect to the node's log: send again from after `durable`.
    #[prost(bool, tag = "5")]
    pub gap: bool,
    /// Position of the last epoch record whose digest matched the shadow state.
    #[prost(uint64, tag = "6")]
    pub verified: u64,
    /// The digest of an epoch record did not match.
    #[prost(bool, tag = "7")]
    pub mismatch: bool,
    /// Position of the first epoch record in the current run of consecutive matches.
    #[prost(uint64, tag = "8")]
    pub verified_from: u64,
    /// The node's incarnation; in a different one it may have lost its disk.
    #[prost(uint64, tag = "9")]
    pub incarnation: u64,
    /// The longest record, in bytes, that the node receives; 0 if it states no limit and so receives
    /// what fits a frame of `FRAME_LIMIT` bytes.
    #[prost(uint64, tag = "10")]
    pub max_record_bytes: u64,
    /// The node has no room for more messages, in memory or on disk.
    #[prost(bool, tag = "11")]
    pub is_full: bool,
}

/// A chunk of a snapshot of a partition's state.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Chunk {
    #[prost(uint32, tag = "1")]
    pub partition: u32,
    #[prost(uint64, tag = "2")]
    pub term: u64,
    #[prost(string, tag = "3")]
    pub owner: String,
    /// The snapshot covers all entries up to this position.
    #[prost(uint64, tag = "4")]
    pub position: u64,
    #[prost(uint64, tag = "5")]
    pub position_term: u64,
    #[prost(uint32, tag = "6")]
    pub part: u32,
    #[prost(bool, tag = "7")]
    pub last: bool,
    #[prost(bytes = "bytes", tag = "8")]
    pub data: Bytes,
}
