//! One partition of messages: the records of its log, the state that they fold into, its
//! replicas, and how ownership passes from one to the next.
//!
//! State machines alone: they do no I/O, read no clock and take no lock. The store service
//! carries out their effects in the order given.

mod clock;
mod digest;
mod placements;
mod record;
mod replica;
mod state;
pub use clock::{PartitionClock, with_slew_margin};
pub use placements::{Placement, Placements, SnapshotPlacement};
pub use record::*;
pub use replica::{Effect, Meta, PartitionReplica, ReplicaRole, Timing};
pub use state::*;
