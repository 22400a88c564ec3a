//! Messages of the control nodes' majority log.

use super::*;

#[derive(Clone, PartialEq, prost::Message)]
pub struct RaftEntry {
    #[prost(uint64, tag = "1")]
    pub index: u64,
    #[prost(uint64, tag = "2")]
    pub term: u64,
    #[prost(bytes = "bytes", tag = "3")]
    pub data: Bytes,
    /// Who votes from this entry on; empty: as before.
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
    /// Ask: last entry of the asker. Append: entry before the first one sent.
    #[prost(uint64, tag = "4")]
    pub index: u64,
    /// Of the entry at `index`; in the answer to a pre-vote: the voter's own term.
    #[prost(uint64, tag = "5")]
    pub log_term: u64,
    #[prost(message, repeated, tag = "6")]
    pub entries: Vec<RaftEntry>,
    #[prost(uint64, tag = "7")]
    pub commit: u64,
    #[prost(bool, tag = "8")]
    pub ok: bool,
    /// With `InstallSnapshot`: the piece of the state from `offset` on.
    #[prost(bytes = "bytes", tag = "9")]
    pub state: Bytes,
    /// From one without a vote: wants to be readmitted. To it: it is.
    #[prost(bool, tag = "10")]
    pub readmit: bool,
    /// Only asks whether it would be elected.
    #[prost(bool, tag = "11")]
    pub pre_vote: bool,
    /// With `InstallSnapshot`: who voted as of that state.
    #[prost(string, repeated, tag = "12")]
    pub voters: Vec<String>,
    /// Numbers appends, to tell rounds apart; of a campaign: tells it from others.
    #[prost(uint64, tag = "13")]
    pub round: u64,
    /// Answer to a pre-vote: has heard of no leader since its process began.
    #[prost(bool, tag = "14")]
    pub blank: bool,
    /// With `InstallSnapshot`: bytes before this piece; with its answer: bytes held.
    /// With `readmit`: names the incarnation that asks.
    #[prost(uint64, tag = "15")]
    pub offset: u64,
    /// Bytes of the whole snapshot.
    #[prost(uint64, tag = "16")]
    pub total: u64,
    /// SHA-256 of the whole snapshot.
    #[prost(bytes = "bytes", tag = "17")]
    pub digest: Bytes,
    /// With `Append` and `InstallSnapshot`: of a leader that no majority answers. It is
    /// answered and may bring entries, but keeps nobody from electing another leader.
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
    /// The leader names its successor.
    TimeoutNow = 6,
    /// How much of a snapshot is held.
    SnapshotAck = 7,
}
