//! The internal RPC protocol between the processes of a cluster: its messages and the framed
//! TCP connections that carry them.

mod connection;
mod delta;
mod frame;
mod frame_stats;
mod incarnation;
pub mod messages;
mod outcome;
mod preferred;
mod slewed_clock;
mod slot_owner;
pub use connection::*;
pub use delta::MembershipUpdates;
pub use frame::*;
pub use frame_stats::sent_frame_stats;
pub use incarnation::*;
pub use messages::Body;
pub use outcome::*;
pub use preferred::*;
pub use slewed_clock::*;
pub use slot_owner::*;
