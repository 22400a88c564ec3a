//! Consensus of the control nodes: elections, replication of the log, snapshots and
//! changes of the voters.
//!
//! A state machine alone: it does no I/O, reads no clock and takes no lock. `step` takes
//! an event and the time, and returns effects that the caller carries out in their order.
//! Its model checks, which drive it together with the control state, are in
//! crates/control/tests.

mod node;
pub use node::*;
