//! Bounds the staleness of a process's configuration.
//!
//! While the leader of the control plane has authority, it knows every acknowledged
//! configuration. Its statement of the latest revision is forwarded with the time at which it
//! held, measured on the monotonic clock of each process that stores it. A process at that
//! revision or a later one has every configuration acknowledged by that time. Wall-clock time
//! is not used.

use std::time::{Duration, Instant};

/// What is known about the latest configuration, on the monotonic clock of this process.
#[derive(Clone, Copy, Debug, Default)]
pub struct Freshness {
    /// The latest time at which the local configuration is known to have been up to date.
    shown_at: Option<Instant>,
    /// A later time that takes effect once the local configuration reaches this revision.
    pending: Option<(u64, Instant)>,
}

impl Freshness {
    /// Records that no revision above `newest` was acknowledged by `at`. `own` is the
    /// revision of the local configuration.
    pub fn shown(&mut self, newest: u64, at: Instant, own: u64) {
        if newest <= own {
            self.shown_at = self.shown_at.max(Some(at));
        } else if self.pending.is_none() {
            // The first pending entry is kept until it takes effect: if each later one replaced
            // it, none would ever take effect under frequent configuration changes.
            self.pending = Some((newest, at));
        }
        self.moved_to(own);
    }

    /// Records that the local configuration is now at revision `own`.
    pub fn moved_to(&mut self, own: u64) {
        if let Some((newest, at)) = self.pending
            && newest <= own
        {
            self.shown_at = self.shown_at.max(Some(at));
            self.pending = None;
        }
    }

    /// The time since the configuration was last known to be the latest; `None` if that was
    /// never confirmed.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.shown_at.map(|at| now.saturating_duration_since(at))
    }

    /// As `age`, in whole milliseconds rounded up, for sending to other processes.
    pub fn age_ms(&self, now: Instant) -> Option<u64> {
        self.age(now).map(|age| age.as_micros().div_ceil(1000) as u64)
    }

    /// Whether the configuration was confirmed to be the latest less than `bound` ago.
    pub fn is_within(&self, bound: Duration, now: Instant) -> bool {
        self.age(now).is_some_and(|age| age < bound)
    }
}
