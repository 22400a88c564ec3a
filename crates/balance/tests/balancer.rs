//! The choice of processors on traces: windows, loads, failures that strike one, a zone or all.

use balance::{Balancer, EjectionBackoff, Processor, SendResult};
use std::collections::{BTreeMap, BTreeSet, HashMap};

const BACKOFF: EjectionBackoff = EjectionBackoff { initial_ms: 500, max_ms: 3000 };
const SERVICE: &str = "s";

fn processor(id: &str, zone: &str) -> Processor {
    Processor { id: id.into(), address: format!("{id}:80"), zone: zone.into(), capacity: 2, is_cold: false }
}

/// So many processors in each of two zones, named by zone and number.
fn listed(each: usize) -> Vec<Processor> {
    let in_zone = |zone: &'static str| (0..each).map(move |n| processor(&format!("{zone}{n}"), zone));
    in_zone("x").chain(in_zone("y")).collect()
}

/// A node of zone x, the first of so many there.
fn balancer(processors: Vec<Processor>, nodes: usize) -> Balancer {
    let mut balancer = Balancer::new("x", BACKOFF);
    balancer.set_position(0, nodes);
    balancer.set_processors(HashMap::from([(SERVICE.to_owned(), processors)]));
    balancer
}

fn choose(balancer: &Balancer, now: u64) -> Option<String> {
    balancer.choose(SERVICE, now, |_| true).map(|processor| processor.id.clone())
}

/// One request after the other, each ended as `outcome` says; how many each processor got.
fn play(
    balancer: &mut Balancer,
    requests: u64,
    every_ms: u64,
    outcome: impl Fn(&str, u64) -> SendResult,
) -> BTreeMap<String, u64> {
    let mut got = BTreeMap::new();
    for n in 0..requests {
        let now = 10_000 + n * every_ms;
        if let Some(id) = choose(balancer, now) {
            balancer.begin(SERVICE, &id);
            balancer.end(SERVICE, &id, outcome(&id, now), now);
            *got.entry(id).or_default() += 1;
        }
    }
    got
}

const GOOD: SendResult = SendResult::Success { latency_ms: 100 };

#[test]
fn the_windows_of_a_zones_nodes_cover_its_processors_evenly() {
    let (nodes, each) = (20, 90);
    let mut stands_in = BTreeMap::new();
    for index in 0..nodes {
        let mut balancer = balancer(listed(each), nodes);
        balancer.set_position(index, nodes);
        // What a node has in flight widens its window: it fills one after the other.
        for _ in 0..12 {
            let id = choose(&balancer, 0).expect("room");
            assert!(id.starts_with('x'), "near ones first");
            balancer.begin(SERVICE, &id);
            *stands_in.entry(id).or_insert(0usize) += 1;
        }
    }
    let most = stands_in.values().max().copied().unwrap_or(0);
    assert!(
        stands_in.len() > each * 8 / 10 && most <= 2 * nodes * 12 / each,
        "{} used, {most} at most",
        stands_in.len()
    );
}

#[test]
fn a_node_keeps_to_few_processors_while_it_has_little_to_send() {
    let mut balancer = balancer(listed(90), 20);
    let got = play(&mut balancer, 200, 30, |_, _| GOOD);
    assert!(got.len() <= 5, "{got:?}");
}

#[test]
fn the_faster_of_two_gets_more() {
    let mut balancer = balancer(vec![processor("slow", "x"), processor("fast", "x")], 1);
    let took = |id: &str| if id == "slow" { 400 } else { 100 };
    let mut running: Vec<(u64, String)> = Vec::new();
    let mut got: BTreeMap<String, u64> = BTreeMap::new();
    for now in 0..20_000u64 {
        let ended: Vec<_> = running.iter().filter(|(end, _)| *end <= now).cloned().collect();
        running.retain(|(end, _)| *end > now);
        for (_, id) in ended {
            balancer.end(SERVICE, &id, SendResult::Success { latency_ms: took(&id) }, now);
        }
        if now % 100 == 0
            && let Some(id) = choose(&balancer, now)
        {
            balancer.begin(SERVICE, &id);
            running.push((now + took(&id), id.clone()));
            *got.entry(id).or_default() += 1;
        }
    }
    assert!(got["fast"] > 2 * got.get("slow").copied().unwrap_or(0), "{got:?}");
}

#[test]
fn one_that_fails_most_of_its_requests_is_left_out_and_tried_one_at_a_time() {
    let mut balancer = balancer(listed(4), 1);
    let got = play(&mut balancer, 1000, 10, |id, _| if id == "x1" { SendResult::Failed } else { GOOD });
    assert!(got.get("x1").copied().unwrap_or(0) < 20, "{got:?}");
    assert!(got.keys().all(|id| id.starts_with('x')), "the others of the zone bear its part: {got:?}");
}

#[test]
fn one_failure_in_a_hundred_leaves_nobody_out() {
    let mut balancer = balancer(listed(2), 1);
    let count = std::cell::Cell::new(0u64);
    let got = play(&mut balancer, 2000, 10, |_, _| {
        count.set(count.get() + 1);
        if count.get().is_multiple_of(100) { SendResult::Failed } else { GOOD }
    });
    assert!(got.keys().all(|id| id.starts_with('x')), "{got:?}");
}

#[test]
fn one_that_is_well_by_turns_is_used_while_it_is() {
    let mut balancer = balancer(vec![processor("flaps", "x"), processor("well", "x")], 1);
    // The other one has a long request: this one is the better choice while it is up, by turns
    // of two seconds.
    balancer.begin(SERVICE, "well");
    let is_up = |now: u64| (now / 2000).is_multiple_of(2);
    let got = play(&mut balancer, 4000, 10, |id, now| match id {
        "flaps" if is_up(now) => SendResult::Success { latency_ms: 20 },
        "flaps" => SendResult::Unreachable,
        _ => GOOD,
    });
    let lost = (0..4000u64).filter(|n| !is_up(10_000 + n * 10)).count();
    assert!(got["flaps"] > 100, "it is given up for good: {got:?}");
    assert!((got["flaps"] as usize) < lost, "{got:?}");
}

#[test]
fn a_zone_whose_processors_all_fail_is_left_for_the_other() {
    let mut balancer = balancer(listed(4), 1);
    let got = play(&mut balancer, 1000, 10, |id, _| if id.starts_with('x') { SendResult::Failed } else { GOOD });
    let away: u64 = got.iter().filter(|(id, _)| id.starts_with('y')).map(|(_, n)| n).sum();
    assert!(away > 900, "{got:?}");
}

#[test]
fn where_all_fail_requests_go_on_to_be_tried() {
    let mut balancer = balancer(listed(4), 1);
    let got = play(&mut balancer, 400, 10, |_, _| SendResult::Failed);
    assert_eq!(got.values().sum::<u64>(), 400, "a wave that strikes all refuses nothing");
    assert!(got.len() > 4, "{got:?}");
}

#[test]
fn a_full_one_is_spared_for_a_moment_and_counts_as_well() {
    let mut balancer = balancer(vec![processor("full", "x"), processor("other", "x")], 1);
    let got = play(&mut balancer, 100, 10, |id, _| if id == "full" { SendResult::Full } else { GOOD });
    assert!(got["other"] > 90, "{got:?}");
    let now = 10_000 + 100 * 10 + BACKOFF.initial_ms;
    let back: BTreeSet<String> = (0..2)
        .filter_map(|_| {
            let id = choose(&balancer, now)?;
            balancer.begin(SERVICE, &id);
            Some(id)
        })
        .collect();
    assert!(back.contains("full"), "it is taken for ill: {back:?}");
}

#[test]
fn no_more_are_sent_to_a_processor_at_once_than_it_has_slots() {
    let mut balancer = balancer(listed(2), 1);
    let mut in_flight: BTreeMap<String, u32> = BTreeMap::new();
    while let Some(id) = choose(&balancer, 0) {
        balancer.begin(SERVICE, &id);
        *in_flight.entry(id).or_default() += 1;
    }
    assert_eq!(in_flight.values().copied().collect::<Vec<_>>(), [2; 4], "all slots of both zones, and no more");
}

#[test]
fn only_what_is_allowed_is_chosen_though_all_of_it_is_left_out() {
    let mut balancer = balancer(listed(2), 1);
    balancer.begin(SERVICE, "y1");
    balancer.end(SERVICE, "y1", SendResult::Unreachable, 10);
    let chosen = balancer.choose(SERVICE, 20, |processor| processor.id == "y1").map(|processor| processor.id.clone());
    assert_eq!(chosen.as_deref(), Some("y1"));
    assert!(balancer.choose(SERVICE, 20, |_| false).is_none());
    assert!(balancer.choose("unknown", 20, |_| true).is_none());
}
