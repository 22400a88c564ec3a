//! Clocks that step: the cluster's time, and incarnations that began by a wrong clock.

use control::{ClockOff, ClusterClock};
use rpc::{CLUSTER_SLEW_PPM, after, new_incarnation, possible};

const TRUE: u64 = 1_790_000_000_000;
const TOLERANCE_MS: u64 = 50;

fn new_clock() -> ClusterClock {
    ClusterClock::new(TOLERANCE_MS, 2_000)
}

/// A cluster whose steady clock starts at 0 when the time is `TRUE`.
fn hear(c: &mut ClusterClock, now: u64, clocks: usize, off: usize, by: i64) {
    for n in 0..clocks {
        let step = if n < off { by } else { 0 };
        // Clocks differ a little in any case.
        let skew = n as i64 % 7 - 3;
        c.record_reading(&format!("store-{n:02}"), (TRUE as i64 + now as i64 + step + skew) as u64, now);
    }
}

fn off(c: &ClusterClock, now: u64) -> i64 {
    c.time(now).expect("a time") as i64 - (TRUE + now) as i64
}

#[test]
fn no_step_of_any_share_of_the_clocks_moves_the_time_by_more_than_the_slew() {
    for by in [-86_400_000, -2_400, 2_400, 90_000, 86_400_000] {
        for share in [20, 31, 60] {
            let mut c = new_clock();
            hear(&mut c, 1_000, 60, 0, 0);
            c.start_from_logs(0, 31, 1_000);
            assert!(off(&c, 1_000).abs() <= 10);
            let before = off(&c, 1_000);
            for now in (1_100..11_000).step_by(100) {
                hear(&mut c, now, 60, share, by);
                c.correct(31, now);
            }
            let bound = (10_000 * CLUSTER_SLEW_PPM / 1_000_000) as i64;
            assert!((off(&c, 11_000) - before).abs() <= bound, "{share} by {by}: {}", off(&c, 11_000));
        }
    }
}

#[test]
fn a_minority_of_the_clocks_does_not_move_the_time_at_all() {
    for by in [-86_400_000, -2_400, 2_400, 86_400_000] {
        let mut c = new_clock();
        hear(&mut c, 1_000, 60, 20, by);
        c.start_from_logs(0, 31, 1_000);
        assert!(off(&c, 1_000).abs() <= 10, "step of {by}: {}", off(&c, 1_000));
        let before = off(&c, 1_000);
        hear(&mut c, 1_500, 60, 20, by);
        c.correct(31, 1_500);
        assert_eq!((before, 0), (off(&c, 1_500), c.correction_ms(1_500)));
    }
}

#[test]
fn too_few_clocks_make_no_time_however_long_they_are_waited_for() {
    let mut c = new_clock();
    for now in (100..100_000).step_by(500) {
        hear(&mut c, now, 3, 3, 5_000);
        c.start_from_logs(0, 31, now);
        c.correct(31, now);
        assert_eq!(c.time(now), None, "three that came first do not decide for sixty");
    }
    hear(&mut c, 100_000, 40, 3, 5_000);
    c.start_from_logs(0, 31, 100_000);
    assert!(off(&c, 100_000).abs() <= 10);
    assert!(off(&c, 900_000).abs() <= 10, "goes on by the steady clock when nobody tells any more");
}

#[test]
fn after_all_power_was_lost_the_time_starts_where_the_logs_end_whatever_the_clocks_say() {
    for by in [-90_000, 0, 90_000] {
        let mut c = new_clock();
        hear(&mut c, 1_000, 6, 6, by);
        c.record_logged(TRUE - 3_000);
        c.start_from_logs(TRUE - 4_000, 4, 1_000);
        assert_eq!(c.time(1_000), Some(TRUE - 3_000));
        let mut c = new_clock();
        c.record_logged(TRUE - 5_000);
        c.start_from_logs(TRUE - 4_000, 4, 1_000);
        assert_eq!(c.time(1_000), Some(TRUE - 4_000), "nor below what the control log says");
    }
}

#[test]
fn a_new_leader_goes_on_with_the_time_that_is_carried() {
    let mut c = new_clock();
    c.adopt_carried(0, 900);
    c.adopt_carried(u64::MAX, 900);
    assert_eq!(c.time(900), None);
    c.adopt_carried(TRUE, 1_000);
    // What others carry, and what logs say, moves it no more.
    c.adopt_carried(TRUE + 90_000, 1_000);
    c.start_from_logs(TRUE + 90_000, 1, 1_000);
    c.begin_term();
    assert_eq!(c.time(4_000), Some(TRUE + 3_000));
    // While it follows, it takes the time of whoever leads.
    c.follow(TRUE + 10_000, 5_000, 5_010);
    assert_eq!(c.time(5_010), Some(TRUE + 10_000));
    c.follow(TRUE + 10_995, 6_000, 6_010);
    assert_eq!(c.time(6_010), Some(TRUE + 11_000), "what fits the way of the answer changes nothing");
}

#[test]
fn the_machines_whose_clocks_are_off_are_named() {
    let mut c = new_clock();
    hear(&mut c, 1_000, 5, 1, 2_403);
    c.start_from_logs(0, 3, 1_000);
    let time_off = off(&c, 1_000);
    assert_eq!(c.clocks_off(1_000), [ClockOff { node: "store-00".into(), ahead_ms: 2_400 - time_off }]);
    assert_eq!(c.clocks_off(9_000), [], "what was not heard for long says nothing");
}

#[test]
fn a_incarnation_orders_rightly_whatever_the_clock_did() {
    let (a, b) = (new_incarnation(), new_incarnation());
    assert!(possible(a) && possible(b));
    assert_ne!(a, b, "two starts in one millisecond are two incarnations");
    // One that began while the clock was ahead is followed by one that is told so.
    let ahead = a + (86_400_000 << 20);
    assert!(after(ahead) > ahead && possible(after(ahead)));
    assert!(!possible(u64::MAX), "an incarnation that cannot be is none");
}
