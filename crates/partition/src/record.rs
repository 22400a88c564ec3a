//! The records of a partition's log.

use rpc::messages::{Item, PlacementGenerations, PlacementSubject};

#[derive(Clone, PartialEq, prost::Message)]
pub struct Record {
    /// Partition time at which the owner wrote the record. Applying records uses no other clock.
    #[prost(uint64, tag = "1")]
    pub at_ms: u64,
    #[prost(oneof = "Entry", tags = "2, 3, 4, 5, 6, 7, 8, 9, 10, 11")]
    pub entry: Option<Entry>,
}

#[derive(Clone, PartialEq, prost::Oneof)]
#[allow(clippy::large_enum_variant)] // Short-lived: dropped once encoded or applied.
pub enum Entry {
    #[prost(message, tag = "2")]
    Accept(AcceptRecord),
    #[prost(message, tag = "3")]
    Dispatch(DispatchRecord),
    #[prost(message, tag = "4")]
    Answer(AnswerRecord),
    #[prost(message, tag = "5")]
    Notified(Positions),
    /// Messages that exceeded their retention time or whose route was replaced.
    #[prost(message, tag = "6")]
    Expire(Positions),
    #[prost(message, tag = "7")]
    Routes(Routes),
    #[prost(message, tag = "8")]
    Epoch(Epoch),
    #[prost(message, tag = "9")]
    Stage(Stage),
    #[prost(message, tag = "10")]
    Stop(Stop),
    #[prost(message, tag = "11")]
    Place(PlaceRecord),
}

/// Incarnations recorded on a store node's disk.
#[derive(Clone, PartialEq, prost::Message)]
pub struct DiskIdentity {
    /// The incarnation that found the disk empty; 0 at the system's initial start.
    #[prost(uint64, tag = "1")]
    pub first_incarnation: u64,
    /// The latest incarnation that ran on this disk.
    #[prost(uint64, tag = "2")]
    pub last_incarnation: u64,
    /// The disk was found empty and no incarnation has run on it yet.
    #[prost(bool, tag = "3")]
    pub empty: bool,
}

impl DiskIdentity {
    /// Records a process start and returns its incarnation, which is greater than every earlier
    /// incarnation on this disk.
    pub fn begin_incarnation(&mut self, incarnation: u64) -> u64 {
        let incarnation = if incarnation > self.last_incarnation {
            incarnation
        } else {
            rpc::next_incarnation(self.last_incarnation)
        };
        if self.empty {
            self.first_incarnation = incarnation;
        }
        (self.last_incarnation, self.empty) = (incarnation, false);
        incarnation
    }
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct AcceptRecord {
    #[prost(message, required, tag = "1")]
    pub item: Item,
    #[prost(uint64, tag = "2")]
    pub delay_ms: u64,
    /// Generations of the placements that routed the message here; absent if there were none.
    #[prost(message, optional, tag = "3")]
    pub generations: Option<PlacementGenerations>,
}

/// Places a subject in another partition, unless this one stores it or has already placed it.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PlaceRecord {
    /// The partition that is to store the subject.
    #[prost(uint32, tag = "1")]
    pub partition: u32,
    #[prost(oneof = "PlacementSubject", tags = "2, 3")]
    pub subject: Option<PlacementSubject>,
    /// Generation of the placement that routed the subject here; 0 at the directory partition.
    #[prost(uint64, tag = "4")]
    pub generation: u64,
    /// For an order key: how long its message may be in flight, in milliseconds.
    #[prost(uint64, tag = "5")]
    pub hold_ms: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct DispatchRecord {
    #[prost(uint64, tag = "1")]
    pub position: u64,
    #[prost(string, tag = "2")]
    pub processor: String,
    #[prost(string, tag = "3")]
    pub node: String,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct AnswerRecord {
    #[prost(uint64, tag = "1")]
    pub position: u64,
    /// An `Outcome` of the internal protocol; only `Done`, `Failed` and `Never` are written.
    #[prost(int32, tag = "2")]
    pub outcome: i32,
    #[prost(string, tag = "3")]
    pub result_tag: String,
    /// Position of the dispatch record that this answers. An attempt is counted once, however
    /// often it is reported.
    #[prost(uint64, tag = "4")]
    pub attempt: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct Positions {
    #[prost(uint64, repeated, tag = "1")]
    pub positions: Vec<u64>,
}

/// The subset of a configuration that affects the partition state.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Routes {
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    #[prost(message, repeated, tag = "2")]
    pub routes: Vec<RouteFacts>,
    /// If not 0, `routes` and `removed` are a delta relative to this revision.
    #[prost(uint64, tag = "3")]
    pub base_revision: u64,
    #[prost(string, repeated, tag = "4")]
    pub removed: Vec<String>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct RouteFacts {
    #[prost(string, tag = "1")]
    pub route: String,
    #[prost(uint32, tag = "2")]
    pub tries: u32,
    #[prost(uint64, tag = "3")]
    pub retain_ms: u64,
}

/// The digest of the state after applying all records up to `position`, for comparison with the
/// followers' states.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Epoch {
    #[prost(uint64, tag = "1")]
    pub position: u64,
    #[prost(fixed64, tag = "2")]
    pub digest: u64,
}

/// A planned move starts: `candidate` keeps its standby state in step with the owner's.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Stage {
    #[prost(string, tag = "1")]
    pub candidate: String,
}

/// The stop marker of a planned move. The current owner processes nothing from `splice` on, which
/// is the position of this record; the candidate takes over after it at `term`.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Stop {
    #[prost(uint64, tag = "1")]
    pub splice: u64,
    #[prost(uint64, tag = "2")]
    pub term: u64,
    #[prost(string, tag = "3")]
    pub candidate: String,
    #[prost(string, repeated, tag = "4")]
    pub in_sync: Vec<String>,
}
