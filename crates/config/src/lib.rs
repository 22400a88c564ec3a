//! Settings of a process and the operator's configuration: reading and checking.

mod configuration;
mod index;
mod settings;
pub use configuration::*;
pub use index::*;
pub use settings::*;
