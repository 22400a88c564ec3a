//! A clock that is corrected by slewing only, and the cluster's time as it is carried.

use proptest::prelude::*;
use rpc::{CarriedTime, SlewedClock};

const TRUE: u64 = 1_790_000_000_000;
const PPM: u64 = 1_000;

#[test]
fn a_correction_is_slewed_at_the_stated_ratio_and_then_ends() {
    let mut c = SlewedClock::start(TRUE, 1_000, PPM);
    assert_eq!(c.time(61_000), TRUE + 60_000);
    c.correct(TRUE + 60_100, TRUE + 60_200, 61_000);
    assert_eq!(c.time(61_000), TRUE + 60_000, "nothing steps");
    assert_eq!(c.correction_ms(61_000), 100);
    assert_eq!(c.time(111_000), TRUE + 110_050);
    assert_eq!(c.correction_ms(111_000), 50);
    assert_eq!(c.time(1_061_000), TRUE + 1_060_100, "no further than it was to be corrected");
    // Back: it runs slow, and never goes back.
    c.correct(0, 0, 1_061_000);
    assert_eq!(c.time(1_161_000), TRUE + 1_160_000);
}

#[test]
fn slewing_is_the_same_however_often_it_is_asked_for() {
    let mut c = SlewedClock::start(TRUE, 0, PPM / 2);
    for now in 0..=10_000 {
        c.correct(TRUE * 2, TRUE * 2, now);
    }
    assert_eq!(c.time(10_000), TRUE + 10_005);
}

#[test]
fn the_carried_time_is_late_by_the_way_at_most_and_goes_on_by_the_steady_clock() {
    let mut c = CarriedTime::default();
    assert_eq!(c.time(5), None);
    c.told(0, 0, 10);
    assert_eq!(c.time(10), None, "a leader without the time tells none");
    c.told(TRUE + 1_005, 1_000, 1_010);
    assert_eq!(c.time(1_010), Some(TRUE + 1_005));
    // What fits the way that it took changes nothing.
    c.told(TRUE + 5_000, 5_000, 5_010);
    c.told(TRUE + 6_100, 6_000, 6_400);
    assert_eq!(c.time(7_010), Some(TRUE + 7_005));
    // The timeline of another leader is taken as it stands.
    c.told(TRUE + 9_500, 8_000, 8_010);
    assert_eq!(c.time(8_010), Some(TRUE + 9_500));
    // What no clock can say, or was not asked for, changes nothing.
    c.told(u64::MAX, 9_000, 9_000);
    c.told(TRUE, 9_000, 8_900);
    assert_eq!(c.time(9_010), Some(TRUE + 10_500));
}

proptest! {
    #[test]
    fn whatever_it_is_corrected_to_the_time_goes_on_within_its_ratio(
        corrections in proptest::collection::vec((0..50_000u64, 0..2 * TRUE), 1..50),
    ) {
        let mut c = SlewedClock::start(TRUE, 0, PPM);
        let mut now = 0;
        for (wait, to) in corrections {
            now += wait;
            c.correct(to, to, now);
            let passed = c.time(now) - TRUE;
            prop_assert!(passed.abs_diff(now) <= now * PPM / 1_000_000 + 1, "{} in {}", passed, now);
        }
    }
}
