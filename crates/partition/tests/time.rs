//! A partition's time goes on evenly, whatever any clock does.

use partition::{PartitionClock, with_slew_margin};
use rpc::PARTITION_SLEW_PPM;

const TRUE: u64 = 1_790_000_000_000;

fn stopped(reached_ms: u64) -> PartitionClock {
    PartitionClock::Stopped { reached_ms }
}

#[test]
fn a_replica_that_began_anew_takes_the_clusters_time_over_once() {
    let mut c = stopped(TRUE);
    assert_eq!(c.running_time(1_000), None, "how long ago the last record was is not known here");
    assert_eq!(c.owner_time(Some(TRUE + 5_000), 1_000), TRUE + 5_000);
    // From then on it is followed by slewing only.
    assert_eq!(c.owner_time(Some(TRUE + 95_000), 1_000), TRUE + 5_000);
    let bound = 10_000 * PARTITION_SLEW_PPM / 1_000_000;
    assert_eq!(c.owner_time(Some(TRUE + 105_000), 11_000), TRUE + 15_000 + bound);
}

#[test]
fn the_time_is_never_behind_the_last_record() {
    let mut c = stopped(TRUE);
    assert_eq!(c.owner_time(Some(TRUE - 90_000), 1_000), TRUE);
    assert_eq!(c.owner_time(Some(TRUE - 90_000), 1_000), TRUE);
    // It slows down until the cluster's time has come up, and never goes back.
    let bound = 10_000 * PARTITION_SLEW_PPM / 1_000_000;
    assert_eq!(c.owner_time(Some(TRUE - 80_000), 11_000), TRUE + 10_000 - bound);
    c.observe_record(TRUE + 60_000, 11_000);
    assert_eq!(c.owner_time(Some(TRUE - 80_000), 11_000), TRUE + 60_000);
    c.observe_record(TRUE, 11_000);
    // While the cluster's time is not known, what was to be corrected still is.
    let bound = 1_000 * PARTITION_SLEW_PPM / 1_000_000;
    assert_eq!(c.owner_time(None, 12_000), TRUE + 61_000 - bound);
}

#[test]
fn without_the_clusters_time_a_partition_goes_on_where_its_log_ends() {
    let mut c = stopped(TRUE);
    assert_eq!(c.owner_time(None, 1_000), TRUE);
    // What comes later does not make it step: messages were taken by the time that ran.
    assert_eq!(c.owner_time(Some(TRUE + 90_000), 1_000), TRUE);
}

#[test]
fn a_follower_goes_on_where_the_owner_was() {
    let mut c = stopped(TRUE);
    c.observe_owner_time(0, 1_000);
    assert_eq!(c.running_time(1_000), None, "an owner of an earlier release says none");
    c.observe_owner_time(TRUE + 2_000, 1_000);
    // Taken over 3 s later, while the cluster's time is another one.
    assert_eq!(c.owner_time(Some(TRUE + 90_000), 4_000), TRUE + 5_000);
    // A word that comes late moves nothing.
    c.observe_owner_time(TRUE, 4_000);
    assert_eq!(c.running_time(4_000), Some(TRUE + 5_000));
}

#[test]
fn what_is_surely_over_is_longer_than_any_slewing_makes_of_it() {
    for span in [0, 1, 1_500, 90_000, 86_400_000] {
        assert!(with_slew_margin(span) > span + span * PARTITION_SLEW_PPM / 1_000_000);
        assert!(with_slew_margin(span) <= span + span / 500 + 1);
    }
}
