//! What a partition's log holds.

use rpc::messages::{Item, PlacementGenerations, PlacementSubject};

#[derive(Clone, PartialEq, prost::Message)]
pub struct Record {
    /// The owner's time of day when it wrote this; the fold knows no other clock.
    #[prost(uint64, tag = "1")]
    pub at_ms: u64,
    #[prost(oneof = "Entry", tags = "2, 3, 4, 5, 6, 7, 8, 9, 10, 11")]
    pub entry: Option<Entry>,
}

#[derive(Clone, PartialEq, prost::Oneof)]
#[allow(clippy::large_enum_variant)] // Each lives until it is encoded or folded.
pub enum Entry {
    #[prost(message, tag = "2")]
    Accept(AcceptRecord),
    #[prost(message, tag = "3")]
    Dispatch(DispatchRecord),
    #[prost(message, tag = "4")]
    Answer(AnswerRecord),
    #[prost(message, tag = "5")]
    Notified(Positions),
    /// Messages whose time is over.
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

/// What a store machine's disk knows of itself.
#[derive(Clone, PartialEq, prost::Message)]
pub struct DiskIdentity {
    /// The incarnation in which it was empty; 0 at the system's first start.
    #[prost(uint64, tag = "1")]
    pub first_incarnation: u64,
    /// The last incarnation that was lived on it.
    #[prost(uint64, tag = "2")]
    pub last_incarnation: u64,
    /// Found empty, and no incarnation lived on it yet.
    #[prost(bool, tag = "3")]
    pub empty: bool,
}

impl DiskIdentity {
    /// A process begins on this disk: its incarnation, after all that were lived here.
    pub fn begin_incarnation(&mut self, incarnation: u64) -> u64 {
        let incarnation =
            if incarnation > self.last_incarnation { incarnation } else { rpc::after(self.last_incarnation) };
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
    /// By which placements it came here; absent where none was needed.
    #[prost(message, optional, tag = "3")]
    pub generations: Option<PlacementGenerations>,
}

/// Places a subject in another partition, unless this one keeps it or has placed it before.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PlaceRecord {
    /// The partition that is to keep it.
    #[prost(uint32, tag = "1")]
    pub partition: u32,
    #[prost(oneof = "PlacementSubject", tags = "2, 3")]
    pub subject: Option<PlacementSubject>,
    /// That of the placement by which the subject came here; 0 at the directory.
    #[prost(uint64, tag = "4")]
    pub generation: u64,
    /// For an order key: how long its message may be under way, in milliseconds.
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
    /// As in the inner protocol; only `Done`, `Failed` and `Never` are written.
    #[prost(int32, tag = "2")]
    pub outcome: i32,
    #[prost(string, tag = "3")]
    pub result_tag: String,
    /// Position of the dispatch record that this answers. An attempt counts once,
    /// however often it is reported.
    #[prost(uint64, tag = "4")]
    pub attempt: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct Positions {
    #[prost(uint64, repeated, tag = "1")]
    pub positions: Vec<u64>,
}

/// What the fold needs of a configuration.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Routes {
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    #[prost(message, repeated, tag = "2")]
    pub routes: Vec<RouteFacts>,
    /// Not 0: only what has changed since that revision, and which are gone.
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

/// The digest of the state that the fold of all up to `position` makes.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Epoch {
    #[prost(uint64, tag = "1")]
    pub position: u64,
    #[prost(fixed64, tag = "2")]
    pub digest: u64,
}

/// A planned move begins: `candidate` folds into its shadow state beside the owner.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Stage {
    #[prost(string, tag = "1")]
    pub candidate: String,
}

/// The stop marker: the incumbent consumes nothing from `splice` on, which is
/// this record's own position; the candidate resumes behind it at `term`.
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
