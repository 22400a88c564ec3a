//! HTTP/1.1: reading requests strictly, and calling processors over kept connections.

mod call;
mod parse;
mod serve;
pub use call::*;
pub use parse::*;
pub use serve::*;
