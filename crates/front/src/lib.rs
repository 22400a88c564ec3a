//! The front machines' program: takes messages from clients, answers for their
//! state, and carries out deliveries and call-backs.

mod callback;
mod delivery;
mod ingest;
mod outbox;
pub mod tenancy;
pub use agent::{PlacementKeys, partition_of};
pub use callback::{CallbackError, CallbackUrl};
pub use delivery::{delivery_headers, read_answer};
pub use ingest::{FrontService, run};
pub use outbox::{Outbox, OutboxEntry};
