//! Replication of a partition's log.

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
    /// Position and term of the entry before the first one sent.
    #[prost(uint64, tag = "4")]
    pub prev: u64,
    #[prost(uint64, tag = "5")]
    pub prev_term: u64,
    #[prost(message, repeated, tag = "6")]
    pub entries: Vec<LogEntry>,
    #[prost(uint64, tag = "7")]
    pub commit: u64,
    /// The partition's time as the owner sent this; 0 if it does not run there yet.
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
    /// All up to here is on this node's disk.
    #[prost(uint64, tag = "4")]
    pub durable: u64,
    /// Does not join on: send from behind `durable`.
    #[prost(bool, tag = "5")]
    pub gap: bool,
    /// Position of the last epoch record whose digest the shadow state matched.
    #[prost(uint64, tag = "6")]
    pub verified: u64,
    /// A digest differed.
    #[prost(bool, tag = "7")]
    pub mismatch: bool,
    /// Position of the first epoch record of the unbroken run of matches.
    #[prost(uint64, tag = "8")]
    pub verified_from: u64,
    /// The node's incarnation: in another one it may have lost its disk.
    #[prost(uint64, tag = "9")]
    pub incarnation: u64,
}

/// A piece of a snapshot of a partition's state.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Chunk {
    #[prost(uint32, tag = "1")]
    pub partition: u32,
    #[prost(uint64, tag = "2")]
    pub term: u64,
    #[prost(string, tag = "3")]
    pub owner: String,
    /// The state is the fold of all up to here.
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
