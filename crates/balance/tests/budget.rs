//! Budgets over several holders: the requests sent in any second stay within the budget, even if
//! messages are lost or delayed, ledgers are replaced, or clocks run at different rates.

use balance::{BudgetLedger, LeasedBucket};
use proptest::prelude::*;
use std::collections::VecDeque;

const LEASE_MS: u64 = 400;

#[test]
fn a_budget_has_one_holder_until_its_lease_has_surely_expired() {
    let mut ledger = BudgetLedger::new(LEASE_MS, 0);
    assert!(ledger.grant("cold-1", "a", 1, 100));
    assert!(ledger.grant("cold-1", "a", 1, 300), "renewed");
    assert!(!ledger.grant("cold-1", "b", 1, 300 + LEASE_MS), "the holder's clock may be slow");
    assert!(!ledger.grant("cold-1", "a", 2, 300 + LEASE_MS), "the previous incarnation may still run");
    assert!(ledger.grant("cold-2", "b", 1, 300), "budgets are independent");
    assert!(ledger.grant("cold-1", "b", 1, 300 + BudgetLedger::fence_ms(LEASE_MS)));
}

#[test]
fn a_new_ledger_grants_nothing_while_leases_of_its_predecessor_may_be_valid() {
    let mut ledger = BudgetLedger::new(LEASE_MS, 1000);
    assert!(!ledger.grant("cold-1", "a", 1, 999));
    assert!(ledger.grant("cold-1", "a", 1, 1000));
}

#[test]
fn a_bucket_begins_empty_and_has_a_small_burst() {
    let mut bucket = LeasedBucket::new(1000, 100_000);
    assert!(!bucket.take(4.0, 1000));
    assert!(bucket.take(4.0, 1250));
    assert!(!bucket.take(4.0, 1250));
    assert!(bucket.take(4.0, 60_000) && !bucket.take(4.0, 60_000), "a minute without requests saves only one token");
    let fast = LeasedBucket::new(0, 100_000);
    let sent = std::iter::repeat_n((), 100).scan(fast, |b, ()| b.take(50.0, 60_000).then_some(())).count();
    assert_eq!(sent, 5, "the burst is a tenth of a second of the rate");
}

/// A holder whose clock runs at `clock_rate` relative to the simulated time.
struct Holder {
    clock_rate: f64,
    incarnation: u64,
    bucket: Option<LeasedBucket>,
}

impl Holder {
    fn clock(&self, now: u64) -> u64 {
        (now as f64 * self.clock_rate) as u64
    }
}

/// A message in transit.
enum Message {
    Ask { holder: usize, incarnation: u64, asked: u64 },
    Granted { holder: usize, incarnation: u64, asked: u64 },
}

#[derive(Clone, Debug)]
enum Event {
    /// A holder sends a request, which arrives after `delay` or is lost if that is `None`.
    Ask { holder: usize, delay: Option<u64> },
    /// A holder restarts without its state.
    Restart { holder: usize },
    /// Another node takes over the ledger.
    NewLedger,
}

fn events() -> impl Strategy<Value = Vec<(u64, Event)>> {
    let delay = prop::option::weighted(0.8, 0u64..900);
    let event = prop_oneof![
        20 => (0usize..3, delay).prop_map(|(holder, delay)| Event::Ask { holder, delay }),
        1 => (0usize..3).prop_map(|holder| Event::Restart { holder }),
        1 => Just(Event::NewLedger),
    ];
    prop::collection::vec((1u64..60, event), 50..300)
}

/// Simulates the events with holders that spend every token. Returns the times of all requests.
fn simulate(events: Vec<(u64, Event)>, clock_rates: [f64; 3], per_s: f64) -> Vec<u64> {
    let mut holders: Vec<Holder> =
        clock_rates.iter().map(|clock_rate| Holder { clock_rate: *clock_rate, incarnation: 1, bucket: None }).collect();
    let mut ledger = BudgetLedger::new(LEASE_MS, 0);
    let mut in_transit: VecDeque<(u64, Message)> = VecDeque::new();
    let mut sent = Vec::new();
    let mut now = 1000u64;
    for (gap, event) in events {
        for _ in 0..gap {
            now += 1;
            let (due, later) = in_transit.drain(..).partition(|(at, _)| *at <= now);
            in_transit = later;
            for (_, message) in Vec::from(due) {
                match message {
                    Message::Ask { holder, incarnation, asked } => {
                        if ledger.grant("one", &holder.to_string(), incarnation, now) {
                            in_transit.push_back((now + gap, Message::Granted { holder, incarnation, asked }));
                        }
                    }
                    Message::Granted { holder, incarnation, asked } => {
                        let h = &mut holders[holder];
                        let (clock, until) = (h.clock(now), asked + LEASE_MS);
                        if h.incarnation == incarnation && until > clock {
                            let bucket = h.bucket.get_or_insert_with(|| LeasedBucket::new(clock, until));
                            bucket.renew(clock, until);
                        }
                    }
                }
            }
            for h in &mut holders {
                let clock = h.clock(now);
                while h.bucket.as_mut().is_some_and(|bucket| bucket.take(per_s, clock)) {
                    sent.push(now);
                }
            }
        }
        match event {
            Event::Ask { holder, delay } => {
                let (incarnation, asked) = (holders[holder].incarnation, holders[holder].clock(now));
                if let Some(delay) = delay {
                    in_transit.push_back((now + delay, Message::Ask { holder, incarnation, asked }));
                }
            }
            Event::Restart { holder } => {
                holders[holder].incarnation += 1;
                holders[holder].bucket = None;
            }
            // Requests in transit to the previous ledger stay unanswered, as it has lost its authority.
            Event::NewLedger => {
                in_transit.retain(|(_, message)| matches!(message, Message::Granted { .. }));
                ledger = BudgetLedger::new(LEASE_MS, now + BudgetLedger::fence_ms(LEASE_MS));
            }
        }
    }
    sent
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]

    #[test]
    fn the_budget_holds_over_all_holders_in_every_second(
        events in events(),
        clock_rates in [0.92f64..1.08, 0.92f64..1.08, 0.92f64..1.08],
        per_s in 1.0f64..40.0,
    ) {
        let sent = simulate(events, clock_rates, per_s);
        // A fast clock accrues more tokens, and bursts add to the rate.
        let max_allowed = per_s * 1.08 + 2.0 * (per_s * 0.1).max(1.0);
        for (at, begin) in sent.iter().enumerate() {
            let in_second = sent[at..].iter().take_while(|end| **end < begin + 1000).count();
            prop_assert!(
                in_second as f64 <= max_allowed,
                "{in_second} requests in the second from {begin}, {max_allowed} allowed"
            );
        }
    }
}
