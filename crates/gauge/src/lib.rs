//! Settings of a process and the operator's configuration: reading and checking.

mod pattern;
mod settings;
mod template;
pub use pattern::*;
pub use settings::*;
pub use template::*;
