//! Messages of the internal RPC protocol. Field numbers of removed fields are never reused.

use bytes::Bytes;

mod cold;
mod control;
mod delivery;
mod hello;
mod membership;
mod partition;
mod quota;
mod raft;
mod slots;
mod status;
pub use cold::*;
pub use control::*;
pub use delivery::*;
pub use hello::*;
pub use membership::*;
pub use partition::*;
pub use quota::*;
pub use raft::*;
pub use slots::*;
pub use status::*;

#[derive(Clone, PartialEq, prost::Message)]
pub struct Envelope {
    /// Identifies the call on its connection; 0 if no reply is expected.
    #[prost(uint64, tag = "1")]
    pub call: u64,
    #[prost(bool, tag = "2")]
    pub reply: bool,
    #[prost(
        oneof = "Body",
        tags = "10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24, 25, 26, 27, 28, 29, 30, 31, 32, 33, 34, 35, 36, 37, 38, 39, 40, 41, 42, 43, 44, 45, 46, 47, 48, 49, 50"
    )]
    pub body: Option<Body>,
}

#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    #[prost(message, tag = "10")]
    WatchRequest(WatchRequest),
    #[prost(message, tag = "11")]
    ViewUpdate(ViewUpdate),
    #[prost(message, tag = "12")]
    Lease(Lease),
    #[prost(message, tag = "13")]
    LeaseAck(LeaseAck),
    #[prost(message, tag = "14")]
    Order(Order),
    #[prost(message, tag = "15")]
    OrderAck(OrderAck),
    #[prost(message, tag = "16")]
    RaftNode(RaftMessage),
    #[prost(message, tag = "17")]
    Accept(Accept),
    #[prost(message, tag = "18")]
    Accepted(Accepted),
    #[prost(message, tag = "19")]
    Lookup(Lookup),
    #[prost(message, tag = "20")]
    Found(Found),
    #[prost(message, tag = "21")]
    Run(Run),
    #[prost(message, tag = "22")]
    RunAck(RunAck),
    #[prost(message, tag = "23")]
    Report(Report),
    #[prost(message, tag = "24")]
    ReportAck(ReportAck),
    #[prost(message, tag = "25")]
    Holding(Holding),
    #[prost(message, tag = "26")]
    Held(Held),
    #[prost(message, tag = "27")]
    Notify(Notify),
    #[prost(message, tag = "28")]
    NotifyAck(NotifyAck),
    #[prost(message, tag = "29")]
    Entries(Entries),
    #[prost(message, tag = "30")]
    EntriesAck(EntriesAck),
    #[prost(message, tag = "31")]
    Chunk(Chunk),
    #[prost(message, tag = "32")]
    Status(Status),
    #[prost(message, tag = "33")]
    StatusAck(StatusAck),
    #[prost(message, tag = "34")]
    Gossip(Gossip),
    #[prost(message, tag = "35")]
    Ack(Ack),
    #[prost(message, tag = "36")]
    SlotRequest(SlotRequest),
    #[prost(message, tag = "37")]
    SlotGrant(SlotGrant),
    #[prost(message, tag = "38")]
    SlotRelease(SlotRelease),
    #[prost(message, tag = "39")]
    SlotsHeld(SlotsHeld),
    #[prost(message, tag = "40")]
    Start(Start),
    #[prost(message, tag = "41")]
    StartAck(StartAck),
    #[prost(message, tag = "42")]
    Stop(StopProcessor),
    #[prost(message, tag = "43")]
    ProcessorsRequest(ProcessorsRequest),
    #[prost(message, tag = "44")]
    Processors(Processors),
    #[prost(message, tag = "45")]
    ColdLease(ColdLease),
    #[prost(message, tag = "46")]
    ColdLeaseAck(ColdLeaseAck),
    #[prost(message, tag = "47")]
    QuotaRequest(QuotaRequest),
    #[prost(message, tag = "48")]
    QuotaResponse(QuotaResponse),
    #[prost(message, tag = "49")]
    Place(Place),
    #[prost(message, tag = "50")]
    Hello(Hello),
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct Ack {}
