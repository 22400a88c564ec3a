//! The store machines' program: partitions of messages, their logs and folds,
//! who is to run what and when.

mod flywheel;
mod jig;
mod mandrel;
mod record;
mod toolpost;
mod turret;
pub use flywheel::Flywheel;
pub use jig::*;
pub use mandrel::{Effect, Mandrel, Meta, Pace, Seat};
pub use record::*;
pub use toolpost::run;
pub use turret::*;
