//! Keeps a process's session with the control plane and gathers the news: the
//! configuration, the charter and the roster. Used by the `apprentice` program
//! on the front machines and by the store machines for themselves.

mod feed;
mod session;
pub use feed::*;
pub use session::*;
