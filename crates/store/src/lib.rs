//! The store machines' program: partitions of messages, their logs and folds,
//! who is to run what and when.

mod clock;
mod record;
mod replica;
mod scheduler;
mod service;
mod state;
pub use clock::PartitionClock;
pub use record::*;
pub use replica::{Effect, Meta, PartitionReplica, ReplicaRole, Timing};
pub use scheduler::*;
pub use service::run;
pub use state::*;
