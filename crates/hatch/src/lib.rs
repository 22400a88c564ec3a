//! The front machines' program: takes messages from clients, answers for their
//! state, and carries out deliveries and call-backs.

mod deliver;
mod front;
mod spool;
pub use deliver::read_answer;
pub use front::{Hatch, partition_of, run};
pub use spool::{Spool, Word};
