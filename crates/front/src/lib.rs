//! The front program: accepts messages from clients, answers queries for their state and body, and
//! carries out deliveries and callbacks.

mod accept;
mod callback;
mod delivery;
mod ingest;
mod lookup;
mod outbox;
mod owner_calls;
mod submission;
pub mod tenancy;
pub use agent::{PlacementKeys, partition_of};
pub use callback::{CallbackError, CallbackUrl};
pub use delivery::{classify_answer, delivery_headers};
pub use ingest::{FrontService, run};
pub use outbox::{Outbox, RunDecision};
