//! The short form of the soak: a few seeds, with the invariants on. Before the faults of the review
//! were mended, each of these broke a rule: TWICE, ORDER, LOST by a header, LOST by a restart.

use soak::{DurabilityPlan, Plan, Schedule, run, run_durability};
use std::path::Path;
use std::time::Duration;

const LENGTH: Duration = Duration::from_secs(12);

fn is_clean(seed: u64, network: &str) {
    is_clean_for(LENGTH, seed, network);
}

fn is_clean_for(length: Duration, seed: u64, network: &str) {
    let pause = Duration::from_millis(15);
    let plan = Plan { seed, length, pause, network: network.into(), keep_dir: false };
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

/// Guards against QUOTA: a store that had just begun owned a partition before it knew any
/// configuration, and took messages without their tenant's limit.
#[test]
fn no_rule_is_broken_as_a_store_comes_back_in_the_midst_of_changes() {
    is_clean_for(Duration::from_secs(25), 123, "127.0.14");
}

fn all_that_waits_comes_back(seed: u64, network: &str, front_count: usize, writers: usize) {
    let length = Duration::from_secs(10);
    let plan = DurabilityPlan {
        seed,
        length,
        network: network.into(),
        front_count,
        writers,
        spinners: writers,
        keep_dir: false,
    };
    let verdict = run_durability(Path::new(env!("CARGO_BIN_EXE_willowslip")), &plan).expect("it runs");
    assert!(verdict.violations.is_empty() && verdict.checked > 0, "seed {seed}: {verdict}");
}

#[test]
fn all_that_waits_comes_back_at_six_fronts() {
    all_that_waits_comes_back(2, "127.0.15", 6, 0);
}

/// Guards against LOST: partitions were left with one copy as a disk was slow for a moment, and that
/// one was lost.
#[test]
fn all_that_waits_comes_back_beside_writers_of_files() {
    all_that_waits_comes_back(3, "127.0.16", 1, 2);
}

#[test]
fn troubles_overlap_and_a_seed_draws_the_same_ones_again() {
    let length = Duration::from_secs(60);
    let schedules: Vec<Schedule> = (0..20).map(|seed| Schedule::draw(seed, length)).collect();
    assert!(schedules.iter().all(|schedule| (2..=5).contains(&schedule.max_concurrent())));
    assert_eq!(schedules[3].faults, Schedule::draw(3, length).faults);
    assert_ne!(schedules[3].faults, schedules[4].faults);
}
