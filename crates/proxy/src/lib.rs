//! What every tier that passes clients' requests on to processors needs: the request with its
//! route and time, the bounds on its tries, one send with its outcome, and the answers that a
//! client is given.
//!
//! Which processor gets a request is not decided here.

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
