//! How fresh a process can show its configuration to be.
//!
//! The leader of the control plane, while it has authority, knows every configuration that
//! was acknowledged. What it says of the newest one is passed on together with the time at
//! which it was true, counted on the steady clock of whoever holds it. Whoever is at least
//! at that revision holds all that was acknowledged by then. No time of day enters.

use std::time::{Duration, Instant};

/// What is known of the newest configuration, on the steady clock of this process.
#[derive(Clone, Copy, Debug, Default)]
pub struct Freshness {
    /// The last moment by which the own configuration held all that was acknowledged.
    shown_at: Option<Instant>,
    /// A later moment, which counts once the own configuration is at that revision.
    pending: Option<(u64, Instant)>,
}

impl Freshness {
    /// Takes in that nothing newer than `newest` was acknowledged by `at`. `own` is the
    /// revision of the own configuration.
    pub fn shown(&mut self, newest: u64, at: Instant, own: u64) {
        if newest <= own {
            self.shown_at = self.shown_at.max(Some(at));
        } else if self.pending.is_none() {
            // The first one stays until it counts: with a change every moment, a later one
            // in its place would never do so.
            self.pending = Some((newest, at));
        }
        self.moved_to(own);
    }

    /// Takes in that the own configuration is at revision `own` now.
    pub fn moved_to(&mut self, own: u64) {
        if let Some((newest, at)) = self.pending
            && newest <= own
        {
            self.shown_at = self.shown_at.max(Some(at));
            self.pending = None;
        }
    }

    /// How long before `now` the configuration is known to have been the newest; `None`
    /// where that was never shown.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.shown_at.map(|at| now.saturating_duration_since(at))
    }

    /// As `age`, in whole milliseconds, and never less than it is: to be told to others.
    pub fn age_ms(&self, now: Instant) -> Option<u64> {
        self.age(now).map(|age| age.as_micros().div_ceil(1000) as u64)
    }

    /// Whether the configuration is shown to have been the newest less than `bound` ago.
    pub fn is_within(&self, bound: Duration, now: Instant) -> bool {
        self.age(now).is_some_and(|age| age < bound)
    }
}
