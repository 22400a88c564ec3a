//! Load balancing, leased rate budgets and tenant quotas.
//!
//! The logic is pure: callers pass the time to each call, and nothing here does I/O. The crate
//! depends on no other crate of this workspace.

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
