//! Throttling of frequent events.

use std::time::{Duration, Instant};
use telemetry::Throttle;

#[test]
fn one_event_per_period_is_allowed() {
    let (throttle, start, period) = (Throttle::new(), Instant::now(), Duration::from_secs(1));
    let allowed: Vec<bool> =
        [0, 10, 999, 1000, 1001, 5000].map(|ms| throttle.allows_at(start + Duration::from_millis(ms), period)).to_vec();
    assert_eq!(allowed, [true, false, false, true, false, true]);
}
