//! A store machine's time goes on evenly, whatever its own clock does.

use partition::PartitionClock;

const TRUE: u64 = 1_790_000_000_000;

#[test]
fn the_time_is_the_leaders_and_goes_on_by_the_steady_clock() {
    let mut f = PartitionClock::new(50);
    assert!(!f.known() && f.time(5).is_none());
    f.told(0, 0, 10);
    assert!(!f.known(), "a leader without the time tells none");
    f.told(TRUE + 1005, 1000, 1010);
    assert_eq!(f.time(1010), Some(TRUE + 1010));
    assert_eq!(f.time(4010), Some(TRUE + 4010));
    // Another leader, a little off; an answer that took long: nothing moves.
    f.told(TRUE + 5040, 5000, 5010);
    f.told(TRUE + 6000, 6000, 6400);
    assert_eq!(f.time(7000), Some(TRUE + 7000));
    // Far off: it was wrong here.
    f.told(TRUE + 9000, 8000, 8010);
    assert_eq!(f.time(8010), Some(TRUE + 9005));
    // An answer from before it was asked changes nothing.
    f.told(TRUE, 9000, 8900);
    assert_eq!(f.time(8010), Some(TRUE + 9005));
}
