//! Real processes of the system on loopback, with stand-in processors and clients.
//!
//! [`Cluster`] runs the processes, [`Processor`] stands in for a service, and [`clients`] send
//! messages.

#![warn(missing_docs)]

pub mod clients;
mod cluster;
mod http;
mod processor;

pub use cluster::{Cluster, ClusterError, ClusterOptions};
pub use http::{Response, exchange};
pub use processor::{Processor, Run};
