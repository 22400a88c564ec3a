//! The inner protocol: what the processes of the system say to one another,
//! and the framed connections it travels on.

mod delta;
mod homes;
mod keeper;
mod life;
mod link;
pub mod msg;
pub use homes::*;
pub use keeper::*;
pub use life::*;
pub use link::*;
pub use msg::Body;

/// Whether a request that came to no clear end may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It never left, or the other side said that it did nothing.
    NotRun,
    /// It left, and nobody said what came of it.
    MayHaveRun,
    /// The other side did it.
    Ran,
}
