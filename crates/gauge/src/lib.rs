//! Settings of a process and the operator's configuration: reading and checking.

mod settings;
mod template;
pub use settings::*;
pub use template::*;
