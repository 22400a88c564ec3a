//! Raft consensus of the control nodes: elections, log replication, snapshots and
//! membership changes.
//!
//! A pure state machine that does no I/O, reads no clock and takes no lock. `step` takes
//! an event and the time, and returns effects that the caller carries out in order. The
//! model checks, which drive it together with the control state, are in
//! crates/control/tests.

mod node;
pub use node::*;
