//! Front machines of a platform for functions: requests are passed on to
//! processors that are started only when they are called. Each function has one
//! slot owner among the fronts, which grants the slots of its processors.

mod gateway;
mod slots;
pub use gateway::{FunctionGateway, run};
pub use slots::*;
