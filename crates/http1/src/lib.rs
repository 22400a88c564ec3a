//! HTTP/1.1: reading requests strictly, and calling processors over kept connections.

#![warn(missing_docs)]

mod client;
mod departure;
mod parse;
mod server;
mod unidentified;
pub use client::*;
pub use departure::Departure;
pub use parse::*;
pub use server::*;
