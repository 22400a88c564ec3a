//! Steps of wall clocks: the cluster time, and incarnations that started with a wrong clock.

use control::{ClockOff, ClusterClock};
use rpc::{CLUSTER_SLEW_PPM, is_valid_incarnation, new_incarnation, next_incarnation};

const TRUE_TIME_MS: u64 = 1_790_000_000_000;
const TOLERANCE_MS: u64 = 50;

fn new_clock() -> ClusterClock {
    ClusterClock::new(TOLERANCE_MS, 2_000)
}

/// Records one reading per machine, `off` of which are wrong by `by` milliseconds. The monotonic
/// clock reads 0 when the true time is `TRUE_TIME_MS`.
fn record_readings(c: &mut ClusterClock, now: u64, clocks: usize, off: usize, by: i64) {
    for n in 0..clocks {
        let step = if n < off { by } else { 0 };
        // Correct clocks differ by a few milliseconds too.
        let skew = n as i64 % 7 - 3;
        c.record_reading(&format!("store-{n:02}"), (TRUE_TIME_MS as i64 + now as i64 + step + skew) as u64, now);
    }
}

/// The difference of the cluster time from the true time.
fn error_ms(c: &ClusterClock, now: u64) -> i64 {
    c.time(now).expect("a time") as i64 - (TRUE_TIME_MS + now) as i64
}

#[test]
fn no_step_of_any_share_of_the_clocks_moves_the_time_by_more_than_the_slew() {
    for by in [-86_400_000, -2_400, 2_400, 90_000, 86_400_000] {
        for share in [20, 31, 60] {
            let mut c = new_clock();
            record_readings(&mut c, 1_000, 60, 0, 0);
            c.start_from_logs(0, 31, 1_000);
            assert!(error_ms(&c, 1_000).abs() <= 10);
            let before = error_ms(&c, 1_000);
            for now in (1_100..11_000).step_by(100) {
                record_readings(&mut c, now, 60, share, by);
                c.correct(31, now);
            }
            let bound = (10_000 * CLUSTER_SLEW_PPM / 1_000_000) as i64;
            assert!((error_ms(&c, 11_000) - before).abs() <= bound, "{share} by {by}: {}", error_ms(&c, 11_000));
        }
    }
}

#[test]
fn a_minority_of_the_clocks_does_not_move_the_time_at_all() {
    for by in [-86_400_000, -2_400, 2_400, 86_400_000] {
        let mut c = new_clock();
        record_readings(&mut c, 1_000, 60, 20, by);
        c.start_from_logs(0, 31, 1_000);
        assert!(error_ms(&c, 1_000).abs() <= 10, "step of {by}: {}", error_ms(&c, 1_000));
        let before = error_ms(&c, 1_000);
        record_readings(&mut c, 1_500, 60, 20, by);
        c.correct(31, 1_500);
        assert_eq!((before, 0), (error_ms(&c, 1_500), c.correction_ms(1_500)));
    }
}

#[test]
fn too_few_clocks_make_no_time_however_long_they_are_waited_for() {
    let mut c = new_clock();
    for now in (100..100_000).step_by(500) {
        record_readings(&mut c, now, 3, 3, 5_000);
        c.start_from_logs(0, 31, now);
        c.correct(31, now);
        assert_eq!(c.time(now), None, "the first three clocks do not decide for sixty");
    }
    record_readings(&mut c, 100_000, 40, 3, 5_000);
    c.start_from_logs(0, 31, 100_000);
    assert!(error_ms(&c, 100_000).abs() <= 10);
    assert!(error_ms(&c, 900_000).abs() <= 10, "without readings it advances by the monotonic clock");
}

#[test]
fn after_all_power_was_lost_the_time_starts_where_the_logs_end_whatever_the_clocks_say() {
    for by in [-90_000, 0, 90_000] {
        let mut c = new_clock();
        record_readings(&mut c, 1_000, 6, 6, by);
        c.record_logged(TRUE_TIME_MS - 3_000);
        c.start_from_logs(TRUE_TIME_MS - 4_000, 4, 1_000);
        assert_eq!(c.time(1_000), Some(TRUE_TIME_MS - 3_000));
        let mut c = new_clock();
        c.record_logged(TRUE_TIME_MS - 5_000);
        c.start_from_logs(TRUE_TIME_MS - 4_000, 4, 1_000);
        assert_eq!(c.time(1_000), Some(TRUE_TIME_MS - 4_000), "not below the time in the control log");
    }
}

#[test]
fn a_new_leader_continues_the_carried_time() {
    let mut c = new_clock();
    c.adopt_carried(0, 900);
    c.adopt_carried(u64::MAX, 900);
    assert_eq!(c.time(900), None);
    c.adopt_carried(TRUE_TIME_MS, 1_000);
    // Neither another carried time nor the logs change it once it is known.
    c.adopt_carried(TRUE_TIME_MS + 90_000, 1_000);
    c.start_from_logs(TRUE_TIME_MS + 90_000, 1, 1_000);
    c.begin_term();
    assert_eq!(c.time(4_000), Some(TRUE_TIME_MS + 3_000));
    // A follower adopts the time of the leader.
    c.follow(TRUE_TIME_MS + 10_000, 5_000, 5_010);
    assert_eq!(c.time(5_010), Some(TRUE_TIME_MS + 10_000));
    c.follow(TRUE_TIME_MS + 10_995, 6_000, 6_010);
    assert_eq!(c.time(6_010), Some(TRUE_TIME_MS + 11_000), "a time within the round trip changes nothing");
}

#[test]
fn machines_with_wrong_clocks_are_named() {
    let mut c = new_clock();
    record_readings(&mut c, 1_000, 5, 1, 2_403);
    c.start_from_logs(0, 3, 1_000);
    let error = error_ms(&c, 1_000);
    assert_eq!(c.clocks_off(1_000), [ClockOff { node: "store-00".into(), ahead_ms: 2_400 - error }]);
    assert_eq!(c.clocks_off(9_000), [], "old readings are ignored");
}

#[test]
fn incarnations_are_ordered_whatever_the_clock_did() {
    let (a, b) = (new_incarnation(), new_incarnation());
    assert!(is_valid_incarnation(a) && is_valid_incarnation(b));
    assert_ne!(a, b, "two starts in one millisecond are two incarnations");
    // A process that learns of an incarnation from a fast clock chooses a later one.
    let ahead = a + (86_400_000 << 20);
    assert!(next_incarnation(ahead) > ahead && is_valid_incarnation(next_incarnation(ahead)));
    assert!(!is_valid_incarnation(u64::MAX), "an implausible incarnation is not accepted");
}
