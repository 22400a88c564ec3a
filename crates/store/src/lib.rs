//! The store machines' program: carries out what the partitions' state machines ask for,
//! and chooses who is to run what and when.

mod scheduler;
mod service;
mod uncommitted;
pub use scheduler::*;
pub use service::run;
pub use uncommitted::{AcceptNames, UncommittedAccepts};
