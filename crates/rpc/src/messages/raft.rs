//! Messages of the control nodes' Raft log.

use super::*;

#[derive(Clone, PartialEq, prost::Message)]
pub struct RaftEntry {
    #[prost(uint64, tag = "1")]
    pub index: u64,
    #[prost(uint64, tag = "2")]
    pub term: u64,
    #[prost(bytes = "bytes", tag = "3")]
    pub data: Bytes,
    /// The voters from this entry on; empty if unchanged.
    #[prost(string, repeated, tag = "4")]
    pub voters: Vec<String>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct RaftMessage {
    #[prost(string, tag = "1")]
    pub from: String,
    #[prost(uint64, tag = "2")]
    pub term: u64,
    #[prost(enumeration = "RaftMessageKind", tag = "3")]
    pub kind: i32,
    /// `RequestVote`: the candidate's last entry. `Append`: the entry that precedes the first one
    /// sent.
    #[prost(uint64, tag = "4")]
    pub index: u64,
    /// Term of the entry at `index`; in the reply to a pre-vote, the voter's own term.
    #[prost(uint64, tag = "5")]
    pub log_term: u64,
    #[prost(message, repeated, tag = "6")]
    pub entries: Vec<RaftEntry>,
    #[prost(uint64, tag = "7")]
    pub commit: u64,
    #[prost(bool, tag = "8")]
    pub ok: bool,
    /// With `InstallSnapshot`: the chunk of the snapshot that starts at `offset`.
    #[prost(bytes = "bytes", tag = "9")]
    pub state: Bytes,
    /// From a node without a vote: a request to be readmitted. To such a node: it is readmitted.
    #[prost(bool, tag = "10")]
    pub readmit: bool,
    /// A pre-vote: only asks whether the sender would be elected.
    #[prost(bool, tag = "11")]
    pub pre_vote: bool,
    /// With `InstallSnapshot`: the voters as of that snapshot.
    #[prost(string, repeated, tag = "12")]
    pub voters: Vec<String>,
    /// Number of the append round, or of the election campaign; distinguishes it from others.
    #[prost(uint64, tag = "13")]
    pub round: u64,
    /// Reply to a pre-vote: the voter has not heard of any leader since its process started.
    #[prost(bool, tag = "14")]
    pub leaderless_since_start: bool,
    /// With `InstallSnapshot`: offset of this chunk in bytes; in its reply: number of bytes held.
    /// With `readmit`: identifies the incarnation that asks.
    #[prost(uint64, tag = "15")]
    pub offset: u64,
    /// Size of the whole snapshot in bytes.
    #[prost(uint64, tag = "16")]
    pub total: u64,
    /// SHA-256 of the whole snapshot.
    #[prost(bytes = "bytes", tag = "17")]
    pub digest: Bytes,
    /// With `Append` and `InstallSnapshot`: sent by a leader that gets no answers from a majority.
    /// Receivers reply and accept entries, but it does not keep them from electing another leader.
    #[prost(bool, tag = "18")]
    pub probe: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum RaftMessageKind {
    None = 0,
    RequestVote = 1,
    Vote = 2,
    Append = 3,
    AppendAck = 4,
    InstallSnapshot = 5,
    /// The leader asks its chosen successor to start an election.
    TimeoutNow = 6,
    /// Acknowledges the part of a snapshot that is held.
    SnapshotAck = 7,
}
