//! Retry budget: bounds the number of retries, so that they do not amplify an overload.

use std::time::{Duration, Instant};

/// The retry budget of one node: within a window, retries are limited to a ratio of the first
/// sends plus this node's share of a constant slack.
pub struct RetryBudget {
    ratio: f64,
    window: Duration,
    window_start: Instant,
    /// First sends in the current and the previous window.
    requests: [f64; 2],
    /// Retries in the current and the previous window.
    retries: [f64; 2],
}

impl RetryBudget {
    /// A budget that allows retries up to `ratio` of the first sends within a `window`.
    pub fn new(ratio: f64, window: Duration, now: Instant) -> RetryBudget {
        RetryBudget { ratio, window, window_start: now, requests: [0.0; 2], retries: [0.0; 2] }
    }

    fn advance(&mut self, now: Instant) {
        while now.duration_since(self.window_start) >= self.window {
            self.window_start += self.window;
            self.requests = [0.0, self.requests[0]];
            self.retries = [0.0, self.retries[0]];
            if now.duration_since(self.window_start) > 2 * self.window {
                self.window_start = now;
                (self.requests, self.retries) = ([0.0; 2], [0.0; 2]);
            }
        }
    }

    /// Records the first send of a request.
    pub fn record_request(&mut self, now: Instant) {
        self.advance(now);
        self.requests[0] += 1.0;
    }

    /// Takes one retry from the budget; returns false if none is left. The retries of both windows
    /// are compared with the lower of their first sends, where the previous window counts for at
    /// least half of the current one, so that the bound holds over any span of one window.
    pub fn take_retry(&mut self, slack: f64, now: Instant) -> bool {
        self.advance(now);
        let allowed = self.ratio * self.requests[0].min(self.requests[1].max(self.requests[0] / 2.0)) + slack;
        if self.retries[0] + self.retries[1] + 1.0 > allowed {
            telemetry::count("repeats_over_retry_budget");
            return false;
        }
        self.retries[0] += 1.0;
        true
    }
}
