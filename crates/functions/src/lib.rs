//! Front machines of a platform for functions: requests are passed on to
//! processors that are started only when they are called. Each function has one
//! slot owner among the fronts, which grants the slots of its processors.

mod attempts;
mod gateway;
mod retry_budget;
mod slots;
pub use attempts::Attempts;
pub use gateway::{FunctionGateway, hop_by_hop, run};
pub use retry_budget::RetryBudget;
pub use slots::*;
