//! How often requests may be sent again, so that repeats do not multiply a load that is too
//! high already.

use std::time::{Duration, Instant};

/// How often requests may be sent again: a share of those sent for the first time
/// within a window, and this front's part of what is allowed on top of that.
pub struct RetryBudget {
    ratio: f64,
    window: Duration,
    began: Instant,
    /// First sends and repeats, in this window and the one before.
    first: [f64; 2],
    again: [f64; 2],
}

impl RetryBudget {
    /// A budget that begins now: repeats up to `ratio` of first sends within a `window`.
    pub fn new(ratio: f64, window: Duration, now: Instant) -> RetryBudget {
        RetryBudget { ratio, window, began: now, first: [0.0; 2], again: [0.0; 2] }
    }

    fn turn(&mut self, now: Instant) {
        while now.duration_since(self.began) >= self.window {
            self.began += self.window;
            self.first = [0.0, self.first[0]];
            self.again = [0.0, self.again[0]];
            if now.duration_since(self.began) > 2 * self.window {
                self.began = now;
                (self.first, self.again) = ([0.0; 2], [0.0; 2]);
            }
        }
    }

    /// A request was sent for the first time.
    pub fn record_request(&mut self, now: Instant) {
        self.turn(now);
        self.first[0] += 1.0;
    }

    /// Takes one repeat, if one is left. Counted against the lesser of two windows'
    /// first sends and the greater of their repeats, so that any span of a window
    /// holds.
    pub fn take_retry(&mut self, slack: f64, now: Instant) -> bool {
        self.turn(now);
        let allowed = self.ratio * self.first[0].min(self.first[1].max(self.first[0] / 2.0)) + slack;
        if self.again[0] + self.again[1] + 1.0 > allowed {
            telemetry::count("repeats_over_retry_budget");
            return false;
        }
        self.again[0] += 1.0;
        true
    }
}
