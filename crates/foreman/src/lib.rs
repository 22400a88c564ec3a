//! The control plane: the majority log, sessions, leases, duties, and the
//! operator's interface.

mod actuate;
mod authority;
mod bellows;
mod disk;
mod duties;
mod governor;
mod layout;
mod operator;
mod orders;
mod plumb;
mod rack;
mod sessions;
mod shop;
mod vise;
pub use bellows::*;
pub use disk::Kept;
pub use governor::*;
pub use layout::*;
pub use operator::serve as serve_operator;
pub use plumb::*;
pub use rack::*;
pub use shop::*;
pub use vise::*;
