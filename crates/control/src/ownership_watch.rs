//! For how long partitions have had no owner, as their leader sees it.
//!
//! Pure: the leader says at each look which partitions somebody claims. What it finds stands in
//! the counters and in the status, and raises an alarm past a bound.

use std::collections::HashMap;

/// The looks between two alarms on the same matter.
const ALARM_LOOKS: u64 = 64;

/// Since when each partition is without an owner.
#[derive(Default)]
pub struct OwnershipWatch {
    since: HashMap<u32, u64>,
    looks: u64,
}

impl OwnershipWatch {
    /// Notes whether a node claims a partition at a time in milliseconds.
    pub fn record(&mut self, partition: u32, is_claimed: bool, now: u64) {
        if is_claimed {
            self.since.remove(&partition);
        } else {
            self.since.entry(partition).or_insert(now);
        }
    }

    /// For how many milliseconds a partition has had no owner.
    pub fn unowned_ms(&self, partition: u32, now: u64) -> u64 {
        self.since.get(&partition).map_or(0, |since| now.saturating_sub(*since))
    }

    /// The partitions that have had no owner for longer than that.
    pub fn unowned_for(&self, bound_ms: u64, now: u64) -> Vec<u32> {
        let mut found: Vec<u32> = self.since.keys().copied().filter(|p| self.unowned_ms(*p, now) > bound_ms).collect();
        found.sort_unstable();
        found
    }

    /// The longest of these times, in milliseconds.
    pub fn longest_ms(&self, now: u64) -> u64 {
        self.since.values().map(|since| now.saturating_sub(*since)).max().unwrap_or(0)
    }

    /// Whether an alarm is due with this look.
    pub fn is_alarm_due(&mut self) -> bool {
        self.looks += 1;
        self.looks.is_multiple_of(ALARM_LOOKS)
    }

    /// Another leader begins: it has seen nothing yet.
    pub fn clear(&mut self) {
        self.since.clear();
    }
}
