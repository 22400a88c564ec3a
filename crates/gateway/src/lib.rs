//! Front machines of an API gateway: clients' requests are passed on to processors that the
//! platform runs, and their answers back unchanged.
//!
//! The shell around `proxy` (what every forwarding tier needs) and `balance` (which processor
//! is chosen). It keeps nothing on disk, and needs no other gateway for any request.

#![warn(missing_docs)]

mod cold;
mod forward;
mod service;
mod state;
pub use service::{GatewayService, run};
