//! Soak test: runs the system as real processes on loopback, with stub processors and clients,
//! under overlapping faults that are drawn from a seed.
//!
//! [`Cluster`] runs the processes, [`Processor`] is the stub of a service, [`clients`] send
//! messages, [`Schedule`] draws the faults of a seed, and [`Verdict`] lists the violated rules.
//! [`run()`] combines them for one seed. [`run_durability`] accepts delayed messages under faults and
//! afterwards checks that those still pending can be read back.

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
