//! A message partition: log records, the state derived from them, replication, and ownership
//! transfer between replicas.
//!
//! Contains only state machines: they perform no I/O, read no clock and take no locks. The store
//! service executes their effects in the order given.

mod clock;
mod digest;
mod placements;
mod record;
mod replica;
mod state;
pub use clock::{PartitionClock, with_slew_margin};
pub use placements::{Placement, Placements, SnapshotPlacement};
pub use record::*;
pub use replica::{Effect, Meta, PartitionReplica, RecordFit, ReplicaRole, StallReason, StalledReplica, Timing};
pub use state::*;
