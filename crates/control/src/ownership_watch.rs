//! Tracks for how long partitions have had no owner, as the leader sees it.
//!
//! Pure: at each check the leader says which partitions a node claims. The result is shown in the
//! metrics and in the status, and raises an alarm above a bound.

use std::collections::HashMap;

/// The checks between two alarms about the same condition.
const CHECKS_PER_ALARM: u64 = 64;

/// Since when each partition has had no owner.
#[derive(Default)]
pub struct OwnershipWatch {
    unowned_since: HashMap<u32, u64>,
    checks: u64,
}

impl OwnershipWatch {
    /// Records whether a node claims a partition at a time in milliseconds.
    pub fn record(&mut self, partition: u32, is_claimed: bool, now: u64) {
        if is_claimed {
            self.unowned_since.remove(&partition);
        } else {
            self.unowned_since.entry(partition).or_insert(now);
        }
    }

    /// For how many milliseconds a partition has had no owner.
    pub fn unowned_ms(&self, partition: u32, now: u64) -> u64 {
        self.unowned_since.get(&partition).map_or(0, |since| now.saturating_sub(*since))
    }

    /// The partitions that have had no owner for longer than `bound_ms`.
    pub fn unowned_for(&self, bound_ms: u64, now: u64) -> Vec<u32> {
        let is_over = |p: &u32| self.unowned_ms(*p, now) > bound_ms;
        let mut found: Vec<u32> = self.unowned_since.keys().copied().filter(is_over).collect();
        found.sort_unstable();
        found
    }

    /// The longest time for which a partition has had no owner, in milliseconds.
    pub fn longest_ms(&self, now: u64) -> u64 {
        self.unowned_since.values().map(|since| now.saturating_sub(*since)).max().unwrap_or(0)
    }

    /// Counts a check and returns whether an alarm is due with it.
    pub fn is_alarm_due(&mut self) -> bool {
        self.checks += 1;
        self.checks.is_multiple_of(CHECKS_PER_ALARM)
    }

    /// Forgets all times: a new leader has observed nothing yet.
    pub fn clear(&mut self) {
        self.unowned_since.clear();
    }
}
