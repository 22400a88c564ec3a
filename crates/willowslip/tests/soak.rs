//! The short form of the soak: a few seeds, with the invariants on. Before the faults of the review
//! were mended, each of these broke a rule: TWICE, ORDER, LOST by a header, LOST by a restart.

use soak::{Plan, Schedule, run};
use std::path::Path;
use std::time::Duration;

const LENGTH: Duration = Duration::from_secs(12);

fn is_clean(seed: u64, network: &str) {
    let plan = Plan { seed, length: LENGTH, pause: Duration::from_millis(15), network: network.into() };
    let verdict = run(Path::new(env!("CARGO_BIN_EXE_willowslip")), &plan).expect("it runs");
    assert!(verdict.violations.is_empty(), "seed {seed}: {verdict}");
    assert!(verdict.accepted > 0, "seed {seed}: {verdict}");
}

#[test]
fn no_rule_is_broken_at_a_first_seed() {
    is_clean(1, "127.0.7");
}

#[test]
fn no_rule_is_broken_at_a_second_seed() {
    is_clean(2, "127.0.9");
}

#[test]
fn no_rule_is_broken_at_a_fourth_seed() {
    is_clean(4, "127.0.12");
}

#[test]
fn no_rule_is_broken_at_a_sixth_seed() {
    is_clean(6, "127.0.13");
}

#[test]
fn troubles_overlap_and_a_seed_draws_the_same_ones_again() {
    let length = Duration::from_secs(60);
    let schedules: Vec<Schedule> = (0..20).map(|seed| Schedule::draw(seed, length)).collect();
    assert!(schedules.iter().all(|schedule| (2..=5).contains(&schedule.most_at_once())));
    assert_eq!(schedules[3].faults, Schedule::draw(3, length).faults);
    assert_ne!(schedules[3].faults, schedules[4].faults);
}
