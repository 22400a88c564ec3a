//! Repeats of all nodes together against the budget that they share.

use proxy::RetryBudget;

#[test]
fn repeats_of_all_fronts_together_stay_within_the_retry_budget() {
    use std::time::{Duration, Instant};
    let (ratio, window, slack, fronts) = (0.2, Duration::from_secs(10), 194.0, 77);
    let start = Instant::now();
    let mut all: Vec<RetryBudget> = (0..fronts).map(|_| RetryBudget::new(ratio, window, start)).collect();
    let (mut first, mut again) = (Vec::new(), Vec::new());
    for tick in 0..300u64 {
        let now = start + Duration::from_millis(tick * 100);
        // Busy, then quiet, then busy; every send wants to be repeated.
        if (tick / 70).is_multiple_of(2) {
            for r in &mut all {
                r.record_request(now);
                first.push(tick);
            }
        }
        for r in &mut all {
            if r.take_retry(slack / f64::from(fronts), now) {
                again.push(tick);
            }
        }
    }
    assert!(again.len() > 500, "{} were let through", again.len());
    for from in 0..200u64 {
        let within = |all: &[u64]| all.iter().filter(|t| (from..from + 100).contains(*t)).count() as f64;
        assert!(
            within(&again) <= ratio * within(&first) + slack + 1.0,
            "from {from}: {} of {}",
            within(&again),
            within(&first)
        );
    }
}
