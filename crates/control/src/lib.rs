//! The control plane: the replicated log, sessions, leases, the leader's duties, and the
//! operator HTTP API.

mod assignment;
mod cluster_clock;
mod cold;
mod copies;
mod duties;
mod evacuation;
mod instance_launcher;
mod leadership;
mod operator;
mod orders;
mod ownership_watch;
mod quota;
mod rollout;
mod scaler;
mod service;
mod sessions;
mod state;
mod storage;
mod unidentified;
pub use assignment::*;
pub use cluster_clock::*;
pub use evacuation::*;
pub use instance_launcher::*;
pub use operator::serve as serve_operator;
pub use ownership_watch::OwnershipWatch;
pub use raft::*;
pub use rollout::*;
pub use service::*;
pub use state::*;
pub use storage::StoredState;
