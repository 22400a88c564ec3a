//! Slots and processors of functions.

use super::*;

/// A front's request for a slot to the slot owner of a function.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SlotRequest {
    #[prost(string, tag = "1")]
    pub service: String,
    #[prost(string, tag = "2")]
    pub front: String,
    /// Identifies the slot from now on among those of this front.
    #[prost(uint64, tag = "3")]
    pub slot_id: u64,
    /// The maximum time to wait for a slot.
    #[prost(uint32, tag = "4")]
    pub max_wait_ms: u32,
    /// The maximum time for which the slot may be held.
    #[prost(uint32, tag = "5")]
    pub hold_ms: u32,
    /// The target latency of the request.
    #[prost(uint32, tag = "6")]
    pub target_start_ms: u32,
    /// Fronts that precede the receiver as slot owner and do not answer the requester.
    #[prost(string, repeated, tag = "7")]
    pub unresponsive_fronts: Vec<String>,
    /// The rank of the request's route; 0 is the most urgent.
    #[prost(uint32, tag = "8")]
    pub rank: u32,
    /// The zones in which the request may run; empty if any.
    #[prost(string, repeated, tag = "9")]
    pub zones: Vec<String>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct SlotGrant {
    #[prost(enumeration = "SlotOutcome", tag = "1")]
    pub outcome: i32,
    #[prost(string, tag = "2")]
    pub processor: String,
    #[prost(string, tag = "3")]
    pub address: String,
    /// The processor has not answered anyone yet: retry connecting until it does, and report that.
    #[prost(bool, tag = "4")]
    pub starting: bool,
    /// With `None`: time after which a retry may succeed.
    #[prost(uint32, tag = "5")]
    pub retry_ms: u32,
    /// The processor's zone; empty if unknown.
    #[prost(string, tag = "6")]
    pub zone: String,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum SlotOutcome {
    None = 0,
    Granted = 1,
    /// As far as the receiver knows, another front owns the slots of this function.
    Elsewhere = 2,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum SlotEnd {
    /// Released after use.
    Done = 0,
    /// Released: the processor answered that it was full.
    Full = 1,
    /// Released: the address refuses connections, or another processor answers there.
    Gone = 2,
    /// Released: the connection or the request timed out.
    Unresponsive = 3,
    /// Not released yet: the processor has started.
    Started = 4,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct SlotRelease {
    #[prost(string, tag = "1")]
    pub service: String,
    #[prost(string, tag = "2")]
    pub front: String,
    #[prost(uint64, tag = "3")]
    pub slot_id: u64,
    #[prost(string, tag = "4")]
    pub processor: String,
    #[prost(enumeration = "SlotEnd", tag = "5")]
    pub end: i32,
    /// Duration of the request at the processor; 0 if it did not run.
    #[prost(uint32, tag = "6")]
    pub took_ms: u32,
}

/// A front's report to a new slot owner of the slots that it holds for the owner's functions.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SlotsHeld {
    #[prost(string, tag = "1")]
    pub front: String,
    #[prost(message, repeated, tag = "2")]
    pub held: Vec<SlotHeld>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct SlotHeld {
    #[prost(string, tag = "1")]
    pub service: String,
    #[prost(uint64, tag = "2")]
    pub slot_id: u64,
    #[prost(string, tag = "3")]
    pub processor: String,
    #[prost(string, tag = "4")]
    pub address: String,
    /// Remaining maximum time for which the slot may be held.
    #[prost(uint32, tag = "5")]
    pub hold_ms: u32,
    /// The processor's zone; empty if unknown.
    #[prost(string, tag = "6")]
    pub zone: String,
}

/// A slot owner's request to the leader to start a processor of a function.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Start {
    #[prost(string, tag = "1")]
    pub service: String,
    /// Idempotency key: the same in every retry of one start, so that it is carried out once.
    #[prost(string, tag = "2")]
    pub nonce: String,
    /// The preferred zone, if it has room.
    #[prost(string, tag = "3")]
    pub zone: String,
    /// The zones in which it may be started; empty if any.
    #[prost(string, repeated, tag = "4")]
    pub zones: Vec<String>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct StartAck {
    /// Empty if no processor can be started now.
    #[prost(string, tag = "1")]
    pub processor: String,
    #[prost(string, tag = "2")]
    pub address: String,
    /// The address to ask instead.
    #[prost(string, tag = "3")]
    pub leader: String,
    /// No worker has room, so an immediate retry is useless.
    #[prost(bool, tag = "4")]
    pub full: bool,
    #[prost(string, tag = "5")]
    pub zone: String,
}

/// A front's request for the processors of the functions whose slots it owns.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ProcessorsRequest {
    #[prost(string, tag = "1")]
    pub front: String,
    /// Digest of the last answer that it received.
    #[prost(fixed64, tag = "2")]
    pub digest: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct Processors {
    /// False if the processors are not known here (yet); the previous answer stays valid.
    #[prost(bool, tag = "1")]
    pub known: bool,
    /// Empty if the digest equals that of the request.
    #[prost(message, repeated, tag = "2")]
    pub processors: Vec<Processor>,
    #[prost(fixed64, tag = "3")]
    pub digest: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct StopProcessor {
    #[prost(string, tag = "1")]
    pub processor: String,
}
