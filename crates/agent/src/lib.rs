//! Keeps a process's session with the control plane and gathers the news: the
//! configuration, the assignments and the membership. Used by the `agent` program
//! on the front machines and by the store machines for themselves.

mod feed;
mod placement;
mod session;
pub use feed::*;
pub use placement::*;
pub use session::*;
