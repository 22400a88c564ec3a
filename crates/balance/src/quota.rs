//! Distributed quotas: bounds the messages of a tenant that all nodes together accept in any
//! sliding window.
//!
//! A single node keeps the [`QuotaLedger`] and grants tokens. A holder keeps its granted tokens
//! in a [`LocalQuota`], spends one for each message, and reports the tokens that it spent and
//! still holds. The ledger counts each token while it can fall into the window: from the grant
//! until one window after it was reported as spent, or after the lease of its holder has surely
//! expired. The bound therefore holds in every window, even if messages are lost, delayed or
//! duplicated, or holders crash.

mod ledger;
mod local;
pub use ledger::{PartitionSpending, QuotaAnswer, QuotaLedger, QuotaReport};
pub use local::{LocalQuota, QuotaTake};

/// The number of slices by age in which a holder reports what it spent in the last window.
pub const WINDOW_SLICES: u64 = 10;

/// The limit of a tenant.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaLimit {
    /// The rate in messages per second, over all nodes.
    pub flow_per_s: f64,
    /// The number of messages that may exceed the rate total_allowed a window.
    pub surge: f64,
}

/// The quota parameters of a deployment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaParameters {
    /// The window over which a limit is counted, in milliseconds.
    pub window_ms: u64,
    /// How long after its request a holder may spend its tokens, in milliseconds.
    pub lease_ms: u64,
    /// The fraction by which a tenant may exceed its limit in a window.
    pub overshoot: f64,
    /// The number of messages by which a tenant may exceed its limit in addition.
    pub slack: f64,
}

/// The fraction of the permitted overshoot that the ledger grants, so that unspent tokens at some
/// holders do not make others refuse below the limit. The rest allows for what is measured by
/// clocks other than the ledger's.
const GRANTABLE_FRACTION: f64 = 0.6;

impl QuotaParameters {
    /// The number of tokens that may be held or counted as spent at any time.
    pub fn capacity(&self, limit: QuotaLimit) -> u64 {
        self.total_allowed(limit, self.overshoot * GRANTABLE_FRACTION, self.slack * GRANTABLE_FRACTION)
    }

    /// The number of tokens that may be spent in a window at most.
    pub fn bound(&self, limit: QuotaLimit) -> u64 {
        self.total_allowed(limit, self.overshoot, self.slack)
    }

    fn total_allowed(&self, limit: QuotaLimit, overshoot: f64, slack: f64) -> u64 {
        let window_s = self.window_ms as f64 / 1000.0;
        ((limit.flow_per_s * window_s + limit.surge) * (1.0 + overshoot) + slack) as u64
    }

    /// The length of one slice of the window, in milliseconds.
    pub fn slice_ms(&self) -> u64 {
        (self.window_ms / WINDOW_SLICES).max(1)
    }
}
