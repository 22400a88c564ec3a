//! Front machines of a platform for functions: requests are passed on to
//! processors that are started only when they are called. Each function has one
//! keeper among the fronts, which grants the slots of its processors.

mod creel;
mod proxy;
mod ration;
pub use creel::*;
pub use proxy::{hop_by_hop, run};
pub use ration::Ration;
