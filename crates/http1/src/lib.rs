//! HTTP/1.1: reading requests strictly, and calling processors over kept connections.

#![warn(missing_docs)]

mod client;
mod parse;
mod server;
pub use client::*;
pub use parse::*;
pub use server::*;
