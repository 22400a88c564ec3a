//! Leased rate budgets: bounds the requests per second that all machines together send to one
//! receiver.
//!
//! A single node keeps the [`BudgetLedger`] and grants leases. A sender holds a [`LeasedBucket`]
//! while its lease is valid and sends nothing without one. The holder measures its lease by its
//! own clock from before it sent the request. The ledger measures from the grant, and adds a
//! quarter to tolerate clocks that run at different rates. A budget is therefore granted to
//! another holder only when the previous one can no longer spend from it, even if messages were
//! lost, delayed or duplicated.

use std::collections::HashMap;

/// The ratio of the lease duration at the ledger to that at the holder, so that a holder whose
/// clock is slow has stopped before the ledger grants to another.
const LEASE_MARGIN: f64 = 1.25;

struct Grant {
    /// The node and its incarnation.
    holder: (String, u64),
    expires_at_ms: u64,
}

/// The leases on budgets, each of which has one holder at a time. Times are in milliseconds of
/// the monotonic clock of the node that keeps the ledger.
pub struct BudgetLedger {
    lease_ms: u64,
    /// Nothing is granted before this time, as leases of a previous ledger may still be valid.
    grants_from_ms: u64,
    grants: HashMap<String, Grant>,
}

impl BudgetLedger {
    /// A ledger whose leases last `lease_ms` at their holders, and which grants nothing before
    /// `grants_from_ms`.
    pub fn new(lease_ms: u64, grants_from_ms: u64) -> BudgetLedger {
        BudgetLedger { lease_ms, grants_from_ms, grants: HashMap::new() }
    }

    /// How long a lease may be in use after the ledger granted it, in milliseconds. A new ledger
    /// must not grant before this time has passed since the last grant of its predecessor.
    pub fn fence_ms(lease_ms: u64) -> u64 {
        (lease_ms as f64 * LEASE_MARGIN).ceil() as u64
    }

    /// The node, with its incarnation, that may be spending from a budget at this time.
    pub fn holder(&self, budget: &str, now_ms: u64) -> Option<&(String, u64)> {
        self.grants.get(budget).filter(|grant| grant.expires_at_ms > now_ms).map(|grant| &grant.holder)
    }

    /// Grants a budget to a node, or renews its lease. Returns false while another holder may be
    /// spending from it, which includes a previous incarnation of the same node.
    pub fn grant(&mut self, budget: &str, node: &str, incarnation: u64, now_ms: u64) -> bool {
        if now_ms < self.grants_from_ms {
            return false;
        }
        let is_other = |holder: &(String, u64)| holder.0 != node || holder.1 != incarnation;
        if self.holder(budget, now_ms).is_some_and(is_other) {
            return false;
        }
        let expires_at_ms = now_ms + BudgetLedger::fence_ms(self.lease_ms);
        self.grants.insert(budget.to_owned(), Grant { holder: (node.to_owned(), incarnation), expires_at_ms });
        true
    }

    /// Removes expired leases.
    pub fn sweep(&mut self, now_ms: u64) {
        self.grants.retain(|_, grant| grant.expires_at_ms > now_ms);
    }
}

/// The burst size as a fraction of one second's budget, where that is more than one request.
const BURST_FRACTION: f64 = 0.1;

/// The token bucket of a holder, which it may spend from while its lease is valid. Times are in
/// milliseconds of the holder's monotonic clock.
#[derive(Clone, Debug)]
pub struct LeasedBucket {
    tokens: f64,
    updated_at_ms: u64,
    expires_at_ms: u64,
}

impl LeasedBucket {
    /// A bucket for a new lease that is valid until `expires_at_ms`. It begins empty, as the
    /// previous holder may just have spent its tokens.
    pub fn new(now_ms: u64, expires_at_ms: u64) -> LeasedBucket {
        LeasedBucket { tokens: 0.0, updated_at_ms: now_ms, expires_at_ms }
    }

    /// Renews the lease. If it has expired meanwhile, the bucket begins empty again.
    pub fn renew(&mut self, now_ms: u64, expires_at_ms: u64) {
        if self.expires_at_ms <= now_ms {
            *self = LeasedBucket::new(now_ms, expires_at_ms);
        }
        self.expires_at_ms = self.expires_at_ms.max(expires_at_ms);
    }

    /// Whether the lease has expired.
    pub fn is_expired(&self, now_ms: u64) -> bool {
        self.expires_at_ms <= now_ms
    }

    fn tokens_at(&self, per_s: f64, now_ms: u64) -> f64 {
        let refilled = now_ms.saturating_sub(self.updated_at_ms) as f64 * per_s / 1000.0;
        (self.tokens + refilled).min((per_s * BURST_FRACTION).max(1.0))
    }

    /// Whether a request may be sent at this time, at a rate of `per_s` requests per second.
    pub fn has_token(&self, per_s: f64, now_ms: u64) -> bool {
        !self.is_expired(now_ms) && self.tokens_at(per_s, now_ms) >= 1.0
    }

    /// Takes the token of one request. Returns false if it must not be sent at this time.
    pub fn take(&mut self, per_s: f64, now_ms: u64) -> bool {
        if !self.has_token(per_s, now_ms) {
            return false;
        }
        self.tokens = self.tokens_at(per_s, now_ms) - 1.0;
        self.updated_at_ms = now_ms;
        true
    }
}

/// The leased buckets of one holder, by receiver. It sends nothing to a receiver without one.
#[derive(Clone, Debug, Default)]
pub struct LeasedBuckets {
    buckets: HashMap<String, LeasedBucket>,
}

impl LeasedBuckets {
    /// Records that the ledger granted leases on these receivers, and removes expired leases.
    pub fn grant(&mut self, receivers: &[String], now_ms: u64, expires_at_ms: u64) {
        self.buckets.retain(|_, bucket| !bucket.is_expired(now_ms));
        for receiver in receivers {
            let new = || LeasedBucket::new(now_ms, expires_at_ms);
            self.buckets.entry(receiver.clone()).or_insert_with(new).renew(now_ms, expires_at_ms);
        }
    }

    /// Whether a request may be sent to a receiver at this time, at a rate of `per_s` requests per
    /// second.
    pub fn has_token(&self, receiver: &str, per_s: f64, now_ms: u64) -> bool {
        self.buckets.get(receiver).is_some_and(|bucket| bucket.has_token(per_s, now_ms))
    }

    /// Takes the token of one request. Returns false if it must not be sent at this time.
    pub fn take(&mut self, receiver: &str, per_s: f64, now_ms: u64) -> bool {
        self.buckets.get_mut(receiver).is_some_and(|bucket| bucket.take(per_s, now_ms))
    }
}
