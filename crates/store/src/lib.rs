//! The store machines' program: carries out what the partitions' state machines ask for,
//! and chooses who is to run what and when.

mod queue;
mod scheduler;
mod service;
mod takeover;
mod uncommitted;
pub use queue::QueueId;
pub use scheduler::*;
pub use service::run;
pub use takeover::{delivery_nodes_to_ask, silent_nodes, stored_form};
pub use uncommitted::{AcceptNames, UncommittedAccepts};
