//! Messages for accepting, placing, looking up, delivering and reporting clients' messages, and for
//! call-backs.

use super::*;

#[derive(Clone, PartialEq, prost::Message)]
pub struct Accept {
    #[prost(uint32, tag = "1")]
    pub partition: u32,
    #[prost(message, required, tag = "2")]
    pub item: Item,
    #[prost(uint64, tag = "3")]
    pub revision: u64,
    /// Time until the message is due.
    #[prost(uint64, tag = "4")]
    pub delay_ms: u64,
    /// The generations of the placements by which it was routed here; 0 at the directory.
    #[prost(message, required, tag = "5")]
    pub generations: PlacementGenerations,
}

/// The generations of the placements by which a message was routed to its partition.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct PlacementGenerations {
    /// Generation of its operation's placement.
    #[prost(uint64, tag = "1")]
    pub operation: u64,
    /// Generation of its order key's placement.
    #[prost(uint64, tag = "2")]
    pub order: u64,
}

/// A message as received from the client.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Item {
    #[prost(string, tag = "1")]
    pub id: String,
    #[prost(string, tag = "2")]
    pub route: String,
    #[prost(string, tag = "3")]
    pub method: String,
    #[prost(string, tag = "4")]
    pub host: String,
    #[prost(string, tag = "5")]
    pub path: String,
    #[prost(string, tag = "6")]
    pub order_key: String,
    #[prost(string, tag = "7")]
    pub notify_url: String,
    #[prost(string, tag = "8")]
    pub content_type: String,
    #[prost(bytes = "bytes", tag = "9")]
    pub body: Bytes,
    /// The tenant that sent it; empty if the configuration has no tenants or the route is
    /// `unkeyed`.
    #[prost(string, tag = "10")]
    pub tenant: String,
    /// The operation that this message attempts, if operations have keys.
    #[prost(message, optional, tag = "11")]
    pub operation: Option<OperationId>,
}

impl Item {
    /// Returns its order key, if it has one.
    pub fn order(&self) -> Option<OrderKey> {
        let order = || OrderKey { tenant: self.tenant.clone(), key: self.order_key.clone() };
        (!self.order_key.is_empty()).then(order)
    }
}

/// Identifies a tenant's operation key: the first half of a SHA-256 over both.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Message)]
pub struct OperationId {
    /// The first eight bytes.
    #[prost(fixed64, tag = "1")]
    pub high: u64,
    /// The next eight bytes.
    #[prost(fixed64, tag = "2")]
    pub low: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum AcceptOutcome {
    None = 0,
    /// Durable on every in-sync replica.
    Taken = 1,
    /// This node is not the owner; `owner` may name it. Nothing was written.
    Elsewhere = 2,
    /// No capacity at the moment; nothing was written.
    Full = 3,
    /// The route no longer exists here; nothing was written.
    NoRoute = 4,
    /// The message may have been written.
    Unclear = 5,
    /// The tenant's limit is exhausted at the moment; nothing was written.
    OverQuota = 6,
    /// Its operation was placed in another partition, named by `partition`, and is not kept here.
    PlacedElsewhere = 7,
    /// Only for a lookup (`Place` without `wanted`): the operation is neither kept here nor placed
    /// elsewhere.
    NotKnown = 8,
    /// Only for a placement: messages of the order key are in progress here, so it stays.
    StaysHere = 9,
    /// Its order key was placed in another partition; nothing was written.
    OrderPlacedElsewhere = 10,
    /// The message is longer than its replicas can receive; nothing was written.
    TooLong = 11,
}

/// A tenant's order key.
#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Message)]
pub struct OrderKey {
    /// Empty without tenants.
    #[prost(string, tag = "1")]
    pub tenant: String,
    #[prost(string, tag = "2")]
    pub key: String,
}

/// Something that is placed in one partition at a time.
#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Oneof)]
pub enum PlacementSubject {
    /// All attempts at an operation.
    #[prost(message, tag = "2")]
    Operation(OperationId),
    /// All messages of an order key.
    #[prost(message, tag = "3")]
    Order(OrderKey),
}

/// Asks the owner of a partition where a subject is kept. A subject that is neither kept there nor
/// placed elsewhere is placed in the `wanted` partition. The reply is `Accepted` with `Taken` and the
/// position of an operation's message, `StaysHere`, `PlacedElsewhere` with partition and generation,
/// or an outcome which says that nothing was decided.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Place {
    /// The partition whose owner is asked.
    #[prost(uint32, tag = "1")]
    pub partition: u32,
    #[prost(oneof = "PlacementSubject", tags = "2, 3")]
    pub subject: Option<PlacementSubject>,
    /// Where to place the subject; absent for a lookup, which places nothing.
    #[prost(uint32, optional, tag = "4")]
    pub wanted: Option<u32>,
    /// The rank of the message's route, which decides how capacity is allotted.
    #[prost(uint32, tag = "5")]
    pub rank: u32,
    /// Generation of the placement by which the request was routed here; 0 at the directory.
    #[prost(uint64, tag = "6")]
    pub generation: u64,
    /// For an order key: how long its message may be in progress, in milliseconds.
    #[prost(uint64, tag = "7")]
    pub hold_ms: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct Accepted {
    #[prost(enumeration = "AcceptOutcome", tag = "1")]
    pub outcome: i32,
    #[prost(uint64, tag = "2")]
    pub position: u64,
    #[prost(string, tag = "3")]
    pub owner: String,
    #[prost(uint32, tag = "4")]
    pub retry_ms: u32,
    /// With `PlacedElsewhere`: the partition that the subject was placed in.
    #[prost(uint32, tag = "5")]
    pub partition: u32,
    /// With `PlacedElsewhere`: the placement's generation.
    #[prost(uint64, tag = "6")]
    pub generation: u64,
    /// With `TooLong`: the longest body that is accepted, in bytes.
    #[prost(uint64, tag = "7")]
    pub limit_bytes: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct Lookup {
    #[prost(uint32, tag = "1")]
    pub partition: u32,
    #[prost(uint64, tag = "2")]
    pub position: u64,
    #[prost(bool, tag = "3")]
    pub body: bool,
    /// The request's id, to look up by id instead of by position.
    #[prost(string, tag = "4")]
    pub id: String,
    /// For a lookup by id: the tenant whose messages are searched.
    #[prost(string, tag = "5")]
    pub tenant: String,
    /// The region of the requesting front; the body may be barred from it.
    #[prost(string, tag = "6")]
    pub region: String,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct Found {
    /// False if this node does not own the partition; the caller asks again.
    #[prost(bool, tag = "1")]
    pub owner: bool,
    #[prost(bool, tag = "2")]
    pub known: bool,
    #[prost(string, tag = "3")]
    pub state: String,
    #[prost(string, tag = "4")]
    pub result_tag: String,
    #[prost(bytes = "bytes", tag = "5")]
    pub body: Bytes,
    #[prost(string, tag = "6")]
    pub host: String,
    /// The tenant that the message belongs to.
    #[prost(string, tag = "7")]
    pub tenant: String,
    /// There is a body, but it may not leave the regions that the message is bound to.
    #[prost(bool, tag = "8")]
    pub withheld: bool,
}

/// Dispatches one delivery to a delivery node.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Run {
    #[prost(uint32, tag = "1")]
    pub partition: u32,
    #[prost(uint64, tag = "2")]
    pub term: u64,
    #[prost(uint64, tag = "3")]
    pub position: u64,
    #[prost(string, tag = "4")]
    pub address: String,
    /// Empty for single endpoints.
    #[prost(string, tag = "5")]
    pub processor: String,
    #[prost(uint32, tag = "6")]
    pub timeout_ms: u32,
    #[prost(message, required, tag = "7")]
    pub item: Item,
    #[prost(uint32, tag = "8")]
    pub conn_limit: u32,
    /// Position of the dispatch record; together with the term it identifies the attempt.
    #[prost(uint64, tag = "9")]
    pub attempt: u64,
    /// Revokes the attempt instead of running it: the node refuses it from then on, unless it has
    /// already taken it.
    #[prost(bool, tag = "10")]
    pub revoked: bool,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct RunAck {
    /// False if the delivery will not run here.
    #[prost(bool, tag = "1")]
    pub taken: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum Outcome {
    None = 0,
    /// A complete 2xx answer with a seal.
    Done = 1,
    /// 500: this attempt failed.
    Failed = 2,
    /// 422: the message can never be processed.
    Never = 3,
    /// The processor or the sender states that it did not run.
    NotRun = 4,
    /// Time-out, reset or malformed answer: it may have run.
    Unknown = 5,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct Report {
    #[prost(uint32, tag = "1")]
    pub partition: u32,
    #[prost(uint64, tag = "2")]
    pub position: u64,
    #[prost(enumeration = "Outcome", tag = "3")]
    pub outcome: i32,
    #[prost(string, tag = "4")]
    pub result_tag: String,
    #[prost(uint32, tag = "5")]
    pub status: u32,
    /// Requests running and waiting at the processor as it reported; only valid if `loaded` is set.
    #[prost(uint32, tag = "6")]
    pub running: u32,
    #[prost(uint32, tag = "7")]
    pub waiting: u32,
    #[prost(bool, tag = "8")]
    pub loaded: bool,
    #[prost(uint32, tag = "9")]
    pub took_ms: u32,
    #[prost(uint64, tag = "10")]
    pub attempt: u64,
    /// Term in which the attempt was dispatched; 0 if unknown.
    #[prost(uint64, tag = "11")]
    pub term: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct ReportAck {
    /// False if this node does not own the partition; the sender has to find the owner.
    #[prost(bool, tag = "1")]
    pub kept: bool,
}

/// A new owner's query for the deliveries that a node holds; the node refuses older terms from then
/// on.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Holding {
    #[prost(uint32, tag = "1")]
    pub partition: u32,
    #[prost(uint64, tag = "2")]
    pub term: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct Held {
    #[prost(uint64, repeated, tag = "1")]
    pub positions: Vec<u64>,
    /// The attempt and the term of each position, in the same order.
    #[prost(uint64, repeated, tag = "2")]
    pub attempts: Vec<u64>,
    #[prost(uint64, repeated, tag = "3")]
    pub terms: Vec<u64>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct Notify {
    #[prost(string, tag = "1")]
    pub url: String,
    #[prost(string, tag = "2")]
    pub id: String,
    #[prost(string, tag = "3")]
    pub state: String,
    #[prost(string, tag = "4")]
    pub result_tag: String,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct NotifyAck {
    #[prost(uint32, tag = "1")]
    pub status: u32,
}
