//! Lets something happen once in a while: log lines that many requests would write.

use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Allows one of what comes within a period.
pub struct Throttle {
    last: Mutex<Option<Instant>>,
}

impl Throttle {
    /// One that allows the first.
    pub const fn new() -> Throttle {
        Throttle { last: Mutex::new(None) }
    }

    /// Whether it is this one's turn: the last that was allowed is `period` ago.
    pub fn allows(&self, period: Duration) -> bool {
        self.allows_at(Instant::now(), period)
    }

    /// As `allows`, at a given moment.
    pub fn allows_at(&self, now: Instant, period: Duration) -> bool {
        let mut last = self.last.lock().unwrap();
        let is_due = last.is_none_or(|last| now.saturating_duration_since(last) >= period);
        if is_due {
            *last = Some(now);
        }
        is_due
    }
}

impl Default for Throttle {
    fn default() -> Throttle {
        Throttle::new()
    }
}
