//! Decisions of the tiers that send requests to processors: how much a processor may be sent,
//! and a tenant may have accepted, by all machines together, and which processor gets the next
//! request.
//!
//! Pure: time is given to every call, and nothing here does I/O. Depends on nothing else of
//! this project.

#![warn(missing_docs)]

mod balancer;
mod budget;
mod health;
mod quota;
pub use balancer::{Balancer, Processor};
pub use budget::{BudgetLedger, LeasedBucket, LeasedBuckets};
pub use health::{EjectionBackoff, Health, SendResult};
pub use quota::{
    LocalQuota, PartitionSpending, QuotaAnswer, QuotaLedger, QuotaLimit, QuotaParameters, QuotaReport, QuotaTake,
    WINDOW_SLICES,
};
