//! Quotas: how many messages of a tenant all nodes together accept in any window.
//!
//! One node keeps the [`QuotaLedger`] and is the only one that grants tokens. A holder keeps
//! what it was granted in a [`LocalQuota`] and spends one for each message; it reports what it
//! spent and what it still holds. The ledger counts each token for as long as it may fall into
//! the window: from the grant until a whole window after it was reported as spent, or after its
//! lease is surely over. So the sum holds in every window, whatever messages are lost, delayed
//! or repeated, and whatever becomes of holders.

mod ledger;
mod stock;
pub use ledger::{PartitionSpending, QuotaAnswer, QuotaLedger, QuotaReport};
pub use stock::{LocalQuota, QuotaTake};

/// In how many parts a holder tells what it spent in the last window, by age.
pub const WINDOW_SLICES: u64 = 10;

/// What a tenant may have accepted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaLimit {
    /// Messages a second, over all nodes.
    pub flow_per_s: f64,
    /// Messages above that at once.
    pub surge: f64,
}

/// How quotas are counted in a deployment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaParameters {
    /// The window over which a limit is counted, in milliseconds.
    pub window_ms: u64,
    /// How long a holder may spend what it holds after it asked, in milliseconds.
    pub lease_ms: u64,
    /// The part by which a tenant may exceed its limit in a window.
    pub overshoot: f64,
    /// By how many messages it may exceed it besides.
    pub slack: f64,
}

/// The part of what may be exceeded that the ledger uses, so that tokens which lie unspent at
/// some holders do not make others refuse below the limit. The rest is for what is judged by
/// other clocks than the ledger's.
const USED_PART: f64 = 0.6;

impl QuotaParameters {
    /// Tokens that may be out or spent at any time.
    pub fn capacity(&self, limit: QuotaLimit) -> u64 {
        self.within(limit, self.overshoot * USED_PART, self.slack * USED_PART)
    }

    /// What must never be spent in a window.
    pub fn bound(&self, limit: QuotaLimit) -> u64 {
        self.within(limit, self.overshoot, self.slack)
    }

    fn within(&self, limit: QuotaLimit, overshoot: f64, slack: f64) -> u64 {
        let window_s = self.window_ms as f64 / 1000.0;
        ((limit.flow_per_s * window_s + limit.surge) * (1.0 + overshoot) + slack) as u64
    }

    /// The length of a part of the window, in milliseconds.
    pub fn part_ms(&self) -> u64 {
        (self.window_ms / WINDOW_SLICES).max(1)
    }
}
