//! Slots and processors of functions.

use super::*;

/// A front asks a function's slot owner for a slot.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SlotRequest {
    #[prost(string, tag = "1")]
    pub service: String,
    #[prost(string, tag = "2")]
    pub front: String,
    /// Names the slot from now on, among those of this front.
    #[prost(uint64, tag = "3")]
    pub slot_id: u64,
    /// How long it is worth waiting for one.
    #[prost(uint32, tag = "4")]
    pub patience_ms: u32,
    /// How long it may be held, at the most.
    #[prost(uint32, tag = "5")]
    pub hold_ms: u32,
    /// The aim of the request.
    #[prost(uint32, tag = "6")]
    pub target_start_ms: u32,
    /// Fronts that come before the asked one and do not answer the asker.
    #[prost(string, repeated, tag = "7")]
    pub dark: Vec<String>,
    /// The rank of the request's route; 0 is the most urgent.
    #[prost(uint32, tag = "8")]
    pub rank: u32,
    /// The zones in which the request may run; empty: anywhere.
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
    /// It has not answered anybody yet: connect until it does, and say so.
    #[prost(bool, tag = "4")]
    pub starting: bool,
    /// With `None`: after how long another try may do better.
    #[prost(uint32, tag = "5")]
    pub retry_ms: u32,
    /// The processor's zone; empty if it is not known.
    #[prost(string, tag = "6")]
    pub zone: String,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum SlotOutcome {
    None = 0,
    Granted = 1,
    /// Another front keeps this function, as far as is known here.
    Elsewhere = 2,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum SlotEnd {
    /// Given back.
    Done = 0,
    /// Given back: the processor said that it was full.
    Full = 1,
    /// Given back: nobody listens there, or another processor does.
    Gone = 2,
    /// Given back: no answer to a connection, or none in time.
    Dark = 3,
    /// Still held: the processor has started.
    Up = 4,
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
    /// How long the request took at the processor; 0 if it did not run.
    #[prost(uint32, tag = "6")]
    pub took_ms: u32,
}

/// A front tells a new slot owner what it holds of its functions.
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
    /// For how much longer, at the most.
    #[prost(uint32, tag = "5")]
    pub hold_ms: u32,
    /// The processor's zone; empty if it is not known.
    #[prost(string, tag = "6")]
    pub zone: String,
}

/// A slot owner wants a processor of a function: asked of the leader.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Start {
    #[prost(string, tag = "1")]
    pub service: String,
    /// The same for every ask of one start, so that it is carried out once.
    #[prost(string, tag = "2")]
    pub nonce: String,
    /// Where it is wanted, if there is room.
    #[prost(string, tag = "3")]
    pub zone: String,
    /// The zones in which it may be started; empty: anywhere.
    #[prost(string, repeated, tag = "4")]
    pub zones: Vec<String>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct StartAck {
    /// Empty: not now.
    #[prost(string, tag = "1")]
    pub processor: String,
    #[prost(string, tag = "2")]
    pub address: String,
    /// Where to ask instead.
    #[prost(string, tag = "3")]
    pub leader: String,
    /// No worker has room: asking again at once is of no use.
    #[prost(bool, tag = "4")]
    pub full: bool,
    /// The processor's zone.
    #[prost(string, tag = "5")]
    pub zone: String,
}

/// A front asks for the processors of the functions that it keeps.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ProcessorsRequest {
    #[prost(string, tag = "1")]
    pub front: String,
    /// Of what it was told last.
    #[prost(fixed64, tag = "2")]
    pub digest: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct Processors {
    /// False: not known here, or not yet; what was told before stands.
    #[prost(bool, tag = "1")]
    pub known: bool,
    /// Empty if the digest is that of the ask.
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
