//! The inner protocol: what the processes of the system say to one another,
//! and the framed connections it travels on.

mod delta;
mod homes;
mod keeper;
mod life;
mod link;
pub mod msg;
mod verdict;
pub use homes::*;
pub use keeper::*;
pub use life::*;
pub use link::*;
pub use msg::Body;
pub use verdict::*;
