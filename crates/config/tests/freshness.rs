//! How long a process may use its configuration without a new confirmation.

use config::Freshness;
use std::time::{Duration, Instant};

const BOUND: Duration = Duration::from_millis(5000);

fn after(start: Instant, ms: u64) -> Instant {
    start + Duration::from_millis(ms)
}

#[test]
fn a_configuration_that_was_never_confirmed_is_not_fresh() {
    let start = Instant::now();
    assert!(!Freshness::default().is_within(BOUND, start));
    assert_eq!(Freshness::default().age(start), None);
}

#[test]
fn freshness_expires_with_time_alone() {
    let start = Instant::now();
    let mut freshness = Freshness::default();
    freshness.shown(7, start, 7);
    assert!(freshness.is_within(BOUND, after(start, 4999)));
    assert!(!freshness.is_within(BOUND, after(start, 5000)));
}

#[test]
fn an_outdated_configuration_is_fresh_only_after_it_has_caught_up() {
    let start = Instant::now();
    let mut freshness = Freshness::default();
    freshness.shown(7, start, 7);
    // Revision 8, which removes a key, has not been received yet.
    freshness.shown(8, after(start, 3000), 7);
    assert!(!freshness.is_within(BOUND, after(start, 5000)), "by revision 7 alone");
    freshness.moved_to(8);
    assert!(freshness.is_within(BOUND, after(start, 7999)));
    assert!(!freshness.is_within(BOUND, after(start, 8000)));
}

#[test]
fn a_configuration_that_is_always_slightly_behind_stays_fresh() {
    let start = Instant::now();
    let mut freshness = Freshness::default();
    freshness.shown(1, start, 1);
    // The configuration changes every 500 ms; each change is received one second later.
    for step in 1..40 {
        let now = after(start, step * 500);
        freshness.shown(step + 1, now, step.saturating_sub(1).max(1));
        assert!(freshness.is_within(BOUND, now), "at step {step}");
    }
}

#[test]
fn an_older_confirmation_does_not_replace_a_newer_one() {
    let start = Instant::now();
    let mut freshness = Freshness::default();
    freshness.shown(8, after(start, 3000), 8);
    freshness.shown(7, start, 8);
    assert_eq!(freshness.age(after(start, 4000)), Some(Duration::from_millis(1000)));
}
