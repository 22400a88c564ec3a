//! HTTP/1.1: a server with strict request parsing, and a client with persistent connections.

#![warn(missing_docs)]

mod body_budget;
mod client;
mod client_connection;
mod header_time;
mod parse;
mod sent_ids;
mod server;
mod unidentified;
pub use client::*;
pub use client_connection::ClientConnection;
pub use header_time::{keep_alive_timeout, milliseconds, whole_seconds};
pub use parse::*;
pub use server::*;
