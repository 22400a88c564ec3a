//! Maintains a process's session with the control plane and receives updates of the configuration,
//! the assignments and the membership. Used by the `agent` role on front machines and by the store
//! role on store machines.

mod cold;
mod feed;
mod follower;
mod identity;
mod placement;
mod session;
pub use cold::ask_cold_lease;
pub use feed::*;
pub use follower::Follower;
pub use identity::NodeIdentity;
pub use placement::*;
pub use session::*;
