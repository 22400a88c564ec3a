//! Short soak runs with a few seeds and the invariant checks on. Each seed reproduced a fault that has been fixed: a
//! message that ran twice, a broken order, and messages lost because of a header and because of a restart.

use soak::{DurabilityPlan, Plan, Schedule, run, run_durability};
use std::path::Path;
use std::time::Duration;

const LENGTH: Duration = Duration::from_secs(12);

fn assert_no_violations(seed: u64, network: &str) {
    assert_no_violations_for(LENGTH, seed, network);
}

fn assert_no_violations_for(length: Duration, seed: u64, network: &str) {
    let pause = Duration::from_millis(15);
    let plan = Plan { seed, length, pause, network: network.into(), keep_dir: false };
    let verdict = run(Path::new(env!("CARGO_BIN_EXE_willowslip")), &plan).expect("soak runs");
    assert!(verdict.violations.is_empty(), "seed {seed}: {verdict}");
    assert!(verdict.accepted > 0, "seed {seed}: {verdict}");
}

#[test]
fn invariants_hold_with_seed_1() {
    assert_no_violations(1, "127.0.7");
}

#[test]
fn invariants_hold_with_seed_2() {
    assert_no_violations(2, "127.0.9");
}

#[test]
fn invariants_hold_with_seed_4() {
    assert_no_violations(4, "127.0.12");
}

#[test]
fn invariants_hold_with_seed_6() {
    assert_no_violations(6, "127.0.13");
}

/// Regression test: a store that had just started owned a partition before it had received a configuration, and
/// accepted messages without enforcing their tenant's quota.
#[test]
fn invariants_hold_when_a_store_restarts_during_configuration_changes() {
    assert_no_violations_for(Duration::from_secs(25), 123, "127.0.14");
}

fn assert_delayed_messages_stay_readable(seed: u64, network: &str, front_count: usize, writers: usize) {
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
    let verdict = run_durability(Path::new(env!("CARGO_BIN_EXE_willowslip")), &plan).expect("soak runs");
    assert!(verdict.violations.is_empty() && verdict.checked > 0, "seed {seed}: {verdict}");
}

#[test]
fn delayed_messages_stay_readable_with_six_fronts() {
    assert_delayed_messages_stay_readable(2, "127.0.15", 6, 0);
}

/// Regression test: a briefly slow disk left partitions with a single replica, and data was lost with that replica.
#[test]
fn delayed_messages_stay_readable_under_disk_and_cpu_load() {
    assert_delayed_messages_stay_readable(3, "127.0.16", 1, 2);
}

#[test]
fn faults_overlap_and_are_reproducible_from_the_seed() {
    let length = Duration::from_secs(60);
    let schedules: Vec<Schedule> = (0..20).map(|seed| Schedule::draw(seed, length)).collect();
    assert!(schedules.iter().all(|schedule| (2..=5).contains(&schedule.max_concurrent())));
    assert_eq!(schedules[3].faults, Schedule::draw(3, length).faults);
    assert_ne!(schedules[3].faults, schedules[4].faults);
}
