//! API gateway: forwards client requests to processors that the platform runs, and their answers
//! back unchanged.
//!
//! Combines `proxy` (request forwarding) and `balance` (load balancing). A gateway keeps nothing
//! on disk and depends on no other gateway for any request.

#![warn(missing_docs)]

mod cold;
mod forward;
mod service;
mod state;
pub use service::{GatewayService, run};
