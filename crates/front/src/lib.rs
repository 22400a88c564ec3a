//! The front machines' program: takes messages from clients, answers for their
//! state, and carries out deliveries and call-backs.

mod delivery;
mod ingest;
mod outbox;
pub use delivery::read_answer;
pub use ingest::{FrontService, partition_of, run};
pub use outbox::{Outbox, OutboxEntry};
