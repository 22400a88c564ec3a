//! Rate limit for events such as log lines that many requests would cause.

use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Allows at most one event per period.
pub struct Throttle {
    last_allowed: Mutex<Option<Instant>>,
}

impl Throttle {
    /// Creates a throttle that allows the first event.
    pub const fn new() -> Throttle {
        Throttle { last_allowed: Mutex::new(None) }
    }

    /// Whether an event is allowed now: none was allowed within the last `period`.
    pub fn allows(&self, period: Duration) -> bool {
        self.allows_at(Instant::now(), period)
    }

    /// Like [`Throttle::allows`], at a given time.
    pub fn allows_at(&self, now: Instant, period: Duration) -> bool {
        let mut last_allowed = self.last_allowed.lock().unwrap();
        let is_due = last_allowed.is_none_or(|last| now.saturating_duration_since(last) >= period);
        if is_due {
            *last_allowed = Some(now);
        }
        is_due
    }
}

impl Default for Throttle {
    fn default() -> Throttle {
        Throttle::new()
    }
}
