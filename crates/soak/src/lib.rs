//! Soak test: the programs of the system as real processes on loopback, with stand-in processors
//! and clients, under seeded troubles that overlap in time.
//!
//! [`Cluster`] runs the processes, [`Processor`] stands in for a service, [`clients`] send
//! messages, [`Schedule`] draws the troubles of a seed, and [`Verdict`] says which rule was
//! broken. [`run()`] puts them together for one seed. [`run_durability`] plays a day with an end, after
//! which all that still waits is asked for.

#![warn(missing_docs)]

pub mod clients;
mod cluster;
mod durability;
mod faults;
mod http;
mod load;
mod processor;
mod run;
mod verdict;

pub use cluster::{Cluster, ClusterError, ClusterOptions, REGIONS};
pub use durability::{
    ClosingFault, DurabilityPlan, DurabilityVerdict, DurabilityViolation, ProcessFault, run_durability,
};
pub use faults::{Fault, FaultKind, Schedule};
pub use http::{PersistentConnection, Response, exchange};
pub use processor::{Processor, Run};
pub use run::{Plan, run};
pub use verdict::{Verdict, Violation};
