//! Leased budgets: what all machines together may send to one receiver in a second.
//!
//! One node keeps the [`BudgetLedger`] and is the only one that grants; whoever wants to send
//! holds a [`LeasedBucket`] for as long as its lease lasts and sends nothing without one. A
//! lease ends by itself by the clock of its holder, which counts from before it asked; the
//! ledger counts from when it granted, and a quarter longer, for clocks that run unevenly. So a
//! budget is free only once nobody can spend from it any more, whatever messages were lost,
//! delayed or repeated.

use std::collections::HashMap;

/// By how much longer the ledger takes a lease to last than its holder does.
const MARGIN: f64 = 1.25;

struct Grant {
    /// A node and its incarnation.
    holder: (String, u64),
    until_ms: u64,
}

/// Who holds which budget: one holder each at a time. Times are in milliseconds of the steady
/// clock of the node that keeps it.
pub struct BudgetLedger {
    lease_ms: u64,
    /// Before that nothing is granted: what a former ledger granted may be held still.
    opens_at_ms: u64,
    grants: HashMap<String, Grant>,
}

impl BudgetLedger {
    /// A ledger whose leases last `lease_ms` at their holders, that grants nothing before
    /// `opens_at_ms`.
    pub fn new(lease_ms: u64, opens_at_ms: u64) -> BudgetLedger {
        BudgetLedger { lease_ms, opens_at_ms, grants: HashMap::new() }
    }

    /// How long the leases of a ledger may be spent from after it granted the last one, in
    /// milliseconds: its successor opens no sooner.
    pub fn fence_ms(lease_ms: u64) -> u64 {
        (lease_ms as f64 * MARGIN).ceil() as u64
    }

    /// Who may be spending from a budget now: a node and its incarnation.
    pub fn holder(&self, budget: &str, now_ms: u64) -> Option<&(String, u64)> {
        self.grants.get(budget).filter(|grant| grant.until_ms > now_ms).map(|grant| &grant.holder)
    }

    /// Grants a budget to a node, or renews what it holds; false while anybody else may be
    /// spending from it, a former incarnation of the same node included.
    pub fn grant(&mut self, budget: &str, node: &str, incarnation: u64, now_ms: u64) -> bool {
        if now_ms < self.opens_at_ms {
            return false;
        }
        let is_other = |holder: &(String, u64)| holder.0 != node || holder.1 != incarnation;
        if self.holder(budget, now_ms).is_some_and(is_other) {
            return false;
        }
        let until_ms = now_ms + BudgetLedger::fence_ms(self.lease_ms);
        self.grants.insert(budget.to_owned(), Grant { holder: (node.to_owned(), incarnation), until_ms });
        true
    }

    /// Forgets leases that are over.
    pub fn sweep(&mut self, now_ms: u64) {
        self.grants.retain(|_, grant| grant.until_ms > now_ms);
    }
}

/// The part of a second's budget that may be saved up, where that is more than one request.
const SAVED_PART: f64 = 0.1;

/// What a holder may spend of a budget while its lease lasts. Times are in milliseconds of the
/// holder's steady clock.
#[derive(Clone, Debug)]
pub struct LeasedBucket {
    tokens: f64,
    filled_at_ms: u64,
    until_ms: u64,
}

impl LeasedBucket {
    /// A bucket for a lease that was granted now and lasts until `until_ms`. It begins empty,
    /// as the former holder may just have spent what there was.
    pub fn new(now_ms: u64, until_ms: u64) -> LeasedBucket {
        LeasedBucket { tokens: 0.0, filled_at_ms: now_ms, until_ms }
    }

    /// The lease was renewed. One that was over meanwhile is a new one.
    pub fn renew(&mut self, now_ms: u64, until_ms: u64) {
        if self.until_ms <= now_ms {
            *self = LeasedBucket::new(now_ms, until_ms);
        }
        self.until_ms = self.until_ms.max(until_ms);
    }

    /// Whether the lease is over.
    pub fn is_over(&self, now_ms: u64) -> bool {
        self.until_ms <= now_ms
    }

    fn tokens_at(&self, per_s: f64, now_ms: u64) -> f64 {
        let earned = now_ms.saturating_sub(self.filled_at_ms) as f64 * per_s / 1000.0;
        (self.tokens + earned).min((per_s * SAVED_PART).max(1.0))
    }

    /// Whether one request may be sent now, at `per_s` requests a second.
    pub fn has_token(&self, per_s: f64, now_ms: u64) -> bool {
        !self.is_over(now_ms) && self.tokens_at(per_s, now_ms) >= 1.0
    }

    /// Takes what one request costs; false if it must not be sent now.
    pub fn take(&mut self, per_s: f64, now_ms: u64) -> bool {
        if !self.has_token(per_s, now_ms) {
            return false;
        }
        self.tokens = self.tokens_at(per_s, now_ms) - 1.0;
        self.filled_at_ms = now_ms;
        true
    }
}

/// The leased buckets of one holder, by receiver: without one it sends nothing.
#[derive(Clone, Debug, Default)]
pub struct LeasedBuckets {
    buckets: HashMap<String, LeasedBucket>,
}

impl LeasedBuckets {
    /// The ledger grants these receivers until then. Leases that are over are forgotten.
    pub fn grant(&mut self, receivers: &[String], now_ms: u64, until_ms: u64) {
        self.buckets.retain(|_, bucket| !bucket.is_over(now_ms));
        for receiver in receivers {
            let new = || LeasedBucket::new(now_ms, until_ms);
            self.buckets.entry(receiver.clone()).or_insert_with(new).renew(now_ms, until_ms);
        }
    }

    /// Whether one request may be sent to a receiver now, at `per_s` requests a second.
    pub fn has_token(&self, receiver: &str, per_s: f64, now_ms: u64) -> bool {
        self.buckets.get(receiver).is_some_and(|bucket| bucket.has_token(per_s, now_ms))
    }

    /// Takes what one request costs; false if it must not be sent now.
    pub fn take(&mut self, receiver: &str, per_s: f64, now_ms: u64) -> bool {
        self.buckets.get_mut(receiver).is_some_and(|bucket| bucket.take(per_s, now_ms))
    }
}
