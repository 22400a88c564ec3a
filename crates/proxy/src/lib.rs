//! Request forwarding that is shared by all tiers which forward client requests to processors: the
//! request with its route and deadline, the bounds on retries, a single send with its outcome, and
//! the replies to clients.
//!
//! The selection of processors is not part of this crate.

#![warn(missing_docs)]

mod attempts;
mod failure;
mod headers;
mod hedge;
mod request;
mod retry_budget;
mod send;
pub use attempts::Attempts;
pub use failure::{Failure, unavailable};
pub use headers::is_hop_by_hop;
pub use hedge::hedged;
pub use request::ClientRequest;
pub use retry_budget::RetryBudget;
pub use send::{ConnectionRules, SendOutcome, Target, send};
