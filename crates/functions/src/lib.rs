//! The front role of a functions platform: forwards requests to processors that are started on
//! demand. Each function has one slot owner among the fronts, which grants the slots of its
//! processors.

mod gateway;
mod slots;
pub use gateway::{FunctionGateway, run};
pub use slots::*;
