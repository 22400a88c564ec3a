//! Tests of the slewed clock and of the cluster's time carried between updates.

use proptest::prelude::*;
use rpc::{CarriedTime, SlewedClock};

const START_MS: u64 = 1_790_000_000_000;
const PPM: u64 = 1_000;

#[test]
fn a_correction_is_slewed_at_the_stated_ratio_and_then_ends() {
    let mut clock = SlewedClock::start(START_MS, 1_000, PPM);
    assert_eq!(clock.time(61_000), START_MS + 60_000);
    clock.correct(START_MS + 60_100, START_MS + 60_200, 61_000);
    assert_eq!(clock.time(61_000), START_MS + 60_000, "a correction must not step the time");
    assert_eq!(clock.correction_ms(61_000), 100);
    assert_eq!(clock.time(111_000), START_MS + 110_050);
    assert_eq!(clock.correction_ms(111_000), 50);
    assert_eq!(clock.time(1_061_000), START_MS + 1_060_100, "the slew ends when the correction is complete");
    // A negative correction slows the clock, but it never runs backwards.
    clock.correct(0, 0, 1_061_000);
    assert_eq!(clock.time(1_161_000), START_MS + 1_160_000);
}

#[test]
fn slewing_is_the_same_however_often_it_is_asked_for() {
    let mut clock = SlewedClock::start(START_MS, 0, PPM / 2);
    for now in 0..=10_000 {
        clock.correct(START_MS * 2, START_MS * 2, now);
    }
    assert_eq!(clock.time(10_000), START_MS + 10_005);
}

#[test]
fn the_carried_time_is_late_by_the_way_at_most_and_goes_on_by_the_steady_clock() {
    let mut clock = CarriedTime::default();
    assert_eq!(clock.time(5), None);
    clock.update(0, 0, 10);
    assert_eq!(clock.time(10), None, "0 means that the leader has no time");
    clock.update(START_MS + 1_005, 1_000, 1_010);
    assert_eq!(clock.time(1_010), Some(START_MS + 1_005));
    // An update that is consistent within its round trip changes nothing.
    clock.update(START_MS + 5_000, 5_000, 5_010);
    clock.update(START_MS + 6_100, 6_000, 6_400);
    assert_eq!(clock.time(7_010), Some(START_MS + 7_005));
    // The time of another leader is adopted without slewing.
    clock.update(START_MS + 9_500, 8_000, 8_010);
    assert_eq!(clock.time(8_010), Some(START_MS + 9_500));
    // Implausible times, and answers that precede their request, are ignored.
    clock.update(u64::MAX, 9_000, 9_000);
    clock.update(START_MS, 9_000, 8_900);
    assert_eq!(clock.time(9_010), Some(START_MS + 10_500));
}

proptest! {
    #[test]
    fn whatever_it_is_corrected_to_the_time_goes_on_within_its_ratio(
        corrections in proptest::collection::vec((0..50_000u64, 0..2 * START_MS), 1..50),
    ) {
        let mut clock = SlewedClock::start(START_MS, 0, PPM);
        let mut now = 0;
        for (wait, target) in corrections {
            now += wait;
            clock.correct(target, target, now);
            let advanced = clock.time(now) - START_MS;
            prop_assert!(
                advanced.abs_diff(now) <= now * PPM / 1_000_000 + 1,
                "clock advanced {} ms in {} ms",
                advanced,
                now
            );
        }
    }
}
