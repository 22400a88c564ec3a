//! Partitions that are bound to a region: their layout, replacement of replicas, and the addition of
//! further regions.

use control::*;
use proptest::prelude::*;
use rpc::messages::Partition;
use std::collections::BTreeSet;

const TOLERATED: usize = 2;
const REPLICA_COUNT: usize = TOLERATED + 1;
const SPREAD: Spread = Spread { zones: 1, regions: 1 };

/// `counts` store machines in each zone; two zones to a region.
fn machines(counts: &[usize]) -> Vec<StoreMachine> {
    let in_zone = |(zone, count): (usize, &usize)| {
        let machine = move |n| StoreMachine {
            name: format!("store-{zone}-{n}"),
            zone: format!("z{zone}"),
            region: format!("r{}", zone / 2),
        };
        (0..*count).map(machine)
    };
    counts.iter().enumerate().flat_map(in_zone).collect()
}

fn region_of<'a>(all: &'a [StoreMachine], name: &str) -> &'a str {
    all.iter().find(|m| m.name == name).map_or("", |m| &m.region)
}

fn zones_of(all: &[StoreMachine], p: &Partition) -> BTreeSet<String> {
    all.iter().filter(|m| p.replicas.contains(&m.name)).map(|m| m.zone.clone()).collect()
}

#[test]
fn a_region_gets_one_partition_for_each_of_its_machines_with_all_copies_there() {
    let all = machines(&[3, 3, 3, 3, 2, 2]);
    let partitions = home_layout("r2", &all, 32, REPLICA_COUNT, SPREAD);
    assert_eq!(partitions.iter().map(|p| p.id).collect::<Vec<_>>(), [32, 33, 34, 35]);
    let owners: BTreeSet<&String> = partitions.iter().map(|p| &p.owner).collect();
    assert_eq!(owners.len(), 4, "each machine owns one");
    for p in &partitions {
        assert_eq!((p.home.as_str(), p.replicas.len()), ("r2", REPLICA_COUNT));
        assert!(p.replicas.iter().all(|r| region_of(&all, r) == "r2"), "{p:?}");
        assert_eq!(zones_of(&all, p).len(), 2, "the loss of one zone leaves a copy: {p:?}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, ..ProptestConfig::default() })]

    /// After any sequence of permanent losses of machines, a bound partition has no replica outside
    /// its region, and as many inside as the region's machines allow.
    #[test]
    fn no_loss_moves_a_copy_out_of_its_home(
        counts in prop::collection::vec(1usize..4, 6),
        lost in prop::collection::vec(0usize..18, 0..6),
    ) {
        let all = machines(&counts);
        let mut live = all.clone();
        let mut partitions = layout(&live, REPLICA_COUNT, SPREAD);
        let first = partitions.len() as u32;
        partitions.extend(home_layout("r1", &live, first, REPLICA_COUNT, SPREAD));
        for at in lost {
            if live.len() <= REPLICA_COUNT {
                break;
            }
            let removed = live.remove(at % live.len());
            for n in 0..partitions.len() {
                let updated =
                    replace_replica(&partitions[n], &removed.name, &partitions, &live, REPLICA_COUNT, SPREAD);
                if let Some(updated) = updated {
                    partitions[n] = updated;
                }
            }
        }
        for p in partitions.iter().filter(|p| !p.home.is_empty()) {
            prop_assert!(p.replicas.iter().all(|r| region_of(&all, r) == p.home), "{:?}", p);
            let eligible = eligible_machines(p, &live).count();
            prop_assert_eq!(p.replicas.len(), REPLICA_COUNT.min(eligible), "{:?}", p);
        }
        for p in partitions.iter().filter(|p| p.home.is_empty()) {
            prop_assert_eq!(p.replicas.len(), REPLICA_COUNT);
        }
    }
}

#[test]
fn an_added_machine_takes_partitions_of_its_own_region_only() {
    let mut all = machines(&[2, 2, 2, 2, 2, 2]);
    let mut partitions = layout(&all, REPLICA_COUNT, SPREAD);
    partitions.extend(home_layout("r0", &all, 24, REPLICA_COUNT, SPREAD));
    let added = StoreMachine { name: "store-new".into(), zone: "z0".into(), region: "r0".into() };
    all.push(added);
    let mut moves = 0;
    while let Some(updated) = rebalance(&partitions, &all) {
        let slot = partitions.iter_mut().find(|p| p.id == updated.id).expect("one of them");
        *slot = Partition { owner: updated.replicas[0].clone(), in_sync: updated.replicas.clone(), ..updated };
        moves += 1;
        assert!(moves < 100, "rebalancing does not terminate");
    }
    assert!(moves > 0);
    for p in partitions.iter().filter(|p| !p.home.is_empty()) {
        assert!(p.replicas.iter().all(|r| region_of(&all, r) == p.home), "{p:?}");
    }
}

#[test]
fn the_partitions_of_a_region_are_added_once_and_with_ids_above_all_others() {
    let all = machines(&[2, 2, 2, 2, 2, 2]);
    let mut state = ControlState::default();
    let mut index = 0;
    let mut apply = |state: &mut ControlState, payload| {
        use prost::Message;
        index += 1;
        state.apply(index, &Command { payload: Some(payload), at_ms: 0 }.encode_to_vec().into())
    };
    let home_command = |region, first| {
        CommandPayload::HomeLayout(Layout { partitions: home_layout(region, &all, first, REPLICA_COUNT, SPREAD) })
    };
    assert_eq!(apply(&mut state, home_command("r0", 0)), ApplyResult::Conflict, "not before the first layout");
    let partitions = layout(&all, REPLICA_COUNT, SPREAD);
    let unbound = partitions.len() as u32;
    assert_eq!(apply(&mut state, CommandPayload::Layout(Layout { partitions })), ApplyResult::Done);
    assert_eq!(apply(&mut state, home_command("r0", unbound)), ApplyResult::Done);
    assert_eq!(
        apply(&mut state, home_command("r0", unbound + 4)),
        ApplyResult::Conflict,
        "a second layout of the region"
    );
    assert_eq!(apply(&mut state, home_command("r1", unbound + 1)), ApplyResult::Conflict, "ids in use");
    assert_eq!(apply(&mut state, home_command("r1", unbound + 4)), ApplyResult::Done);
    for hash in 0..1000 {
        assert!(
            state.assignments.partition_for(hash).expect("one") < unbound,
            "an unbound message in a bound partition"
        );
    }
}
