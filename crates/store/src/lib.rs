//! Store node: executes the effects of the partition state machines and schedules the delivery of
//! messages to processors.

mod queue;
mod scheduler;
mod service;
mod takeover;
mod uncommitted;
pub use queue::QueueId;
pub use scheduler::*;
pub use service::run;
pub use takeover::{delivery_nodes_to_query, stored_form, unresponsive_nodes};
pub use uncommitted::{AcceptIdentity, UncommittedAccepts};
