//! Retries of all nodes against the retry budget that they share.

use proxy::RetryBudget;

#[test]
fn retries_of_all_nodes_stay_within_the_shared_retry_budget() {
    use std::time::{Duration, Instant};
    let (ratio, window, slack, nodes) = (0.2, Duration::from_secs(10), 194.0, 77);
    let start = Instant::now();
    let mut budgets: Vec<RetryBudget> = (0..nodes).map(|_| RetryBudget::new(ratio, window, start)).collect();
    let (mut sends, mut retries) = (Vec::new(), Vec::new());
    for tick in 0..300u64 {
        let now = start + Duration::from_millis(tick * 100);
        // Load is on and off in turns of 7 s. Each node tries one retry per tick, also without load.
        if (tick / 70).is_multiple_of(2) {
            for budget in &mut budgets {
                budget.record_request(now);
                sends.push(tick);
            }
        }
        for budget in &mut budgets {
            if budget.take_retry(slack / f64::from(nodes), now) {
                retries.push(tick);
            }
        }
    }
    assert!(retries.len() > 500, "{} retries were allowed", retries.len());
    for from in 0..200u64 {
        let within = |times: &[u64]| times.iter().filter(|t| (from..from + 100).contains(*t)).count() as f64;
        assert!(
            within(&retries) <= ratio * within(&sends) + slack + 1.0,
            "window from tick {from}: {} retries for {} sends",
            within(&retries),
            within(&sends)
        );
    }
}
