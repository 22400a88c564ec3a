//! Tests that partition time is monotonic and advances evenly, whatever other clocks do.

use partition::{PartitionClock, with_slew_margin};
use rpc::PARTITION_SLEW_PPM;

const TRUE: u64 = 1_790_000_000_000;

fn stopped(reached_ms: u64) -> PartitionClock {
    PartitionClock::Stopped { reached_ms }
}

#[test]
fn a_restarted_replica_steps_to_cluster_time_once() {
    let mut clock = stopped(TRUE);
    assert_eq!(clock.running_time(1_000), None, "the time since the last record is unknown");
    assert_eq!(clock.owner_time(Some(TRUE + 5_000), 1_000), TRUE + 5_000);
    // From then on it follows cluster time by slewing only.
    assert_eq!(clock.owner_time(Some(TRUE + 95_000), 1_000), TRUE + 5_000);
    let bound = 10_000 * PARTITION_SLEW_PPM / 1_000_000;
    assert_eq!(clock.owner_time(Some(TRUE + 105_000), 11_000), TRUE + 15_000 + bound);
}

#[test]
fn the_time_is_never_behind_the_last_record() {
    let mut clock = stopped(TRUE);
    assert_eq!(clock.owner_time(Some(TRUE - 90_000), 1_000), TRUE);
    assert_eq!(clock.owner_time(Some(TRUE - 90_000), 1_000), TRUE);
    // It slows down until cluster time has caught up, and never goes back.
    let bound = 10_000 * PARTITION_SLEW_PPM / 1_000_000;
    assert_eq!(clock.owner_time(Some(TRUE - 80_000), 11_000), TRUE + 10_000 - bound);
    clock.observe_record(TRUE + 60_000, 11_000);
    assert_eq!(clock.owner_time(Some(TRUE - 80_000), 11_000), TRUE + 60_000);
    clock.observe_record(TRUE, 11_000);
    // While cluster time is unknown, the remaining correction is still applied.
    let bound = 1_000 * PARTITION_SLEW_PPM / 1_000_000;
    assert_eq!(clock.owner_time(None, 12_000), TRUE + 61_000 - bound);
}

#[test]
fn without_cluster_time_a_partition_continues_from_the_end_of_its_log() {
    let mut clock = stopped(TRUE);
    assert_eq!(clock.owner_time(None, 1_000), TRUE);
    // Cluster time that becomes known later causes no step: messages were accepted in the running time.
    assert_eq!(clock.owner_time(Some(TRUE + 90_000), 1_000), TRUE);
}

#[test]
fn a_follower_continues_from_the_owners_time() {
    let mut clock = stopped(TRUE);
    clock.observe_owner_time(0, 1_000);
    assert_eq!(clock.running_time(1_000), None, "an owner of an earlier release sends no time");
    clock.observe_owner_time(TRUE + 2_000, 1_000);
    // Takes over 3 s later, while cluster time differs.
    assert_eq!(clock.owner_time(Some(TRUE + 90_000), 4_000), TRUE + 5_000);
    // A delayed message has no effect.
    clock.observe_owner_time(TRUE, 4_000);
    assert_eq!(clock.running_time(4_000), Some(TRUE + 5_000));
}

#[test]
fn the_slew_margin_covers_the_greatest_slew() {
    for span in [0, 1, 1_500, 90_000, 86_400_000] {
        assert!(with_slew_margin(span) > span + span * PARTITION_SLEW_PPM / 1_000_000);
        assert!(with_slew_margin(span) <= span + span / 500 + 1);
    }
}
