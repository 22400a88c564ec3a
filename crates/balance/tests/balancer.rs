//! Processor selection on simulated request traces: windows, load, and failures of one processor,
//! of a zone or of all.

use balance::{Balancer, EjectionBackoff, Processor, SendResult};
use std::collections::{BTreeMap, BTreeSet, HashMap};

const BACKOFF: EjectionBackoff = EjectionBackoff { initial_ms: 500, max_ms: 3000 };
const SERVICE: &str = "s";

fn processor(id: &str, zone: &str) -> Processor {
    Processor { id: id.into(), address: format!("{id}:80"), zone: zone.into(), capacity: 2, is_cold: false }
}

/// `each` processors in each of the zones x and y, named by zone and number.
fn two_zones(each: usize) -> Vec<Processor> {
    let in_zone = |zone: &'static str| (0..each).map(move |n| processor(&format!("{zone}{n}"), zone));
    in_zone("x").chain(in_zone("y")).collect()
}

/// The balancer of the first of `nodes` nodes in zone x.
fn balancer(processors: Vec<Processor>, nodes: usize) -> Balancer {
    let mut balancer = Balancer::new("x", BACKOFF);
    balancer.set_position(0, nodes);
    balancer.set_processors(HashMap::from([(SERVICE.to_owned(), processors)]));
    balancer
}

fn choose(balancer: &Balancer, now: u64) -> Option<String> {
    balancer.choose(SERVICE, now, |_| true).map(|processor| processor.id.clone())
}

/// Runs requests one after the other, each with the result that `outcome` returns. Returns the
/// number of requests that each processor got.
fn run_requests(
    balancer: &mut Balancer,
    requests: u64,
    every_ms: u64,
    outcome: impl Fn(&str, u64) -> SendResult,
) -> BTreeMap<String, u64> {
    let mut sent_to = BTreeMap::new();
    for n in 0..requests {
        let now = 10_000 + n * every_ms;
        if let Some(id) = choose(balancer, now) {
            balancer.begin(SERVICE, &id);
            balancer.end(SERVICE, &id, outcome(&id, now), now);
            *sent_to.entry(id).or_default() += 1;
        }
    }
    sent_to
}

const SUCCESS: SendResult = SendResult::Success { latency_ms: 100 };

#[test]
fn windows_of_a_zones_nodes_cover_its_processors_evenly() {
    let (nodes, each) = (20, 90);
    let mut selected = BTreeMap::new();
    for index in 0..nodes {
        let mut balancer = balancer(two_zones(each), nodes);
        balancer.set_position(index, nodes);
        // Requests in flight widen the window, so the node uses one processor after the other.
        for _ in 0..12 {
            let id = choose(&balancer, 0).expect("a processor with a free slot");
            assert!(id.starts_with('x'), "the own zone is preferred");
            balancer.begin(SERVICE, &id);
            *selected.entry(id).or_insert(0usize) += 1;
        }
    }
    let most = selected.values().max().copied().unwrap_or(0);
    assert!(
        selected.len() > each * 8 / 10 && most <= 2 * nodes * 12 / each,
        "{} processors used, at most {most} times each",
        selected.len()
    );
}

#[test]
fn a_node_with_low_load_uses_few_processors() {
    let mut balancer = balancer(two_zones(90), 20);
    let sent_to = run_requests(&mut balancer, 200, 30, |_, _| SUCCESS);
    assert!(sent_to.len() <= 5, "{sent_to:?}");
}

#[test]
fn the_faster_processor_gets_more_requests() {
    let mut balancer = balancer(vec![processor("slow", "x"), processor("fast", "x")], 1);
    let latency_of = |id: &str| if id == "slow" { 400 } else { 100 };
    let mut running: Vec<(u64, String)> = Vec::new();
    let mut sent_to: BTreeMap<String, u64> = BTreeMap::new();
    for now in 0..20_000u64 {
        let ended: Vec<_> = running.iter().filter(|(end, _)| *end <= now).cloned().collect();
        running.retain(|(end, _)| *end > now);
        for (_, id) in ended {
            balancer.end(SERVICE, &id, SendResult::Success { latency_ms: latency_of(&id) }, now);
        }
        if now % 100 == 0
            && let Some(id) = choose(&balancer, now)
        {
            balancer.begin(SERVICE, &id);
            running.push((now + latency_of(&id), id.clone()));
            *sent_to.entry(id).or_default() += 1;
        }
    }
    assert!(sent_to["fast"] > 2 * sent_to.get("slow").copied().unwrap_or(0), "{sent_to:?}");
}

#[test]
fn a_failing_processor_is_ejected_and_probed_rarely() {
    let mut balancer = balancer(two_zones(4), 1);
    let sent_to = run_requests(&mut balancer, 1000, 10, |id, _| if id == "x1" { SendResult::Failed } else { SUCCESS });
    assert!(sent_to.get("x1").copied().unwrap_or(0) < 20, "{sent_to:?}");
    assert!(
        sent_to.keys().all(|id| id.starts_with('x')),
        "the other processors of the zone take over its requests: {sent_to:?}"
    );
}

#[test]
fn a_failure_rate_of_one_percent_ejects_no_processor() {
    let mut balancer = balancer(two_zones(2), 1);
    let count = std::cell::Cell::new(0u64);
    let sent_to = run_requests(&mut balancer, 2000, 10, |_, _| {
        count.set(count.get() + 1);
        if count.get().is_multiple_of(100) { SendResult::Failed } else { SUCCESS }
    });
    assert!(sent_to.keys().all(|id| id.starts_with('x')), "{sent_to:?}");
}

#[test]
fn a_flapping_processor_is_used_while_it_is_up() {
    let mut balancer = balancer(vec![processor("flapping", "x"), processor("healthy", "x")], 1);
    // The healthy processor has a request in flight, so the flapping one has the lower cost while
    // it is up. It alternates every two seconds.
    balancer.begin(SERVICE, "healthy");
    let is_up = |now: u64| (now / 2000).is_multiple_of(2);
    let sent_to = run_requests(&mut balancer, 4000, 10, |id, now| match id {
        "flapping" if is_up(now) => SendResult::Success { latency_ms: 20 },
        "flapping" => SendResult::Unreachable,
        _ => SUCCESS,
    });
    let requests_while_down = (0..4000u64).filter(|n| !is_up(10_000 + n * 10)).count();
    assert!(sent_to["flapping"] > 100, "the flapping processor is not used again: {sent_to:?}");
    assert!((sent_to["flapping"] as usize) < requests_while_down, "{sent_to:?}");
}

#[test]
fn traffic_moves_to_another_zone_if_all_processors_of_the_own_zone_fail() {
    let mut balancer = balancer(two_zones(4), 1);
    let sent_to =
        run_requests(&mut balancer, 1000, 10, |id, _| if id.starts_with('x') { SendResult::Failed } else { SUCCESS });
    let sent_to_other_zone: u64 = sent_to.iter().filter(|(id, _)| id.starts_with('y')).map(|(_, n)| n).sum();
    assert!(sent_to_other_zone > 900, "{sent_to:?}");
}

#[test]
fn requests_are_still_sent_if_all_processors_fail() {
    let mut balancer = balancer(two_zones(4), 1);
    let sent_to = run_requests(&mut balancer, 400, 10, |_, _| SendResult::Failed);
    assert_eq!(sent_to.values().sum::<u64>(), 400, "no request is refused if all processors fail");
    assert!(sent_to.len() > 4, "{sent_to:?}");
}

#[test]
fn a_processor_at_capacity_is_avoided_briefly_and_stays_healthy() {
    let mut balancer = balancer(vec![processor("full", "x"), processor("other", "x")], 1);
    let sent_to = run_requests(&mut balancer, 100, 10, |id, _| if id == "full" { SendResult::Full } else { SUCCESS });
    assert!(sent_to["other"] > 90, "{sent_to:?}");
    let now = 10_000 + 100 * 10 + BACKOFF.initial_ms;
    let selected: BTreeSet<String> = (0..2)
        .filter_map(|_| {
            let id = choose(&balancer, now)?;
            balancer.begin(SERVICE, &id);
            Some(id)
        })
        .collect();
    assert!(selected.contains("full"), "the processor at capacity is still ejected: {selected:?}");
}

#[test]
fn requests_in_flight_do_not_exceed_a_processors_capacity() {
    let mut balancer = balancer(two_zones(2), 1);
    let mut in_flight: BTreeMap<String, u32> = BTreeMap::new();
    while let Some(id) = choose(&balancer, 0) {
        balancer.begin(SERVICE, &id);
        *in_flight.entry(id).or_default() += 1;
    }
    assert_eq!(
        in_flight.values().copied().collect::<Vec<_>>(),
        [2; 4],
        "all slots of both zones are used, and no more"
    );
}

#[test]
fn only_allowed_processors_are_selected_even_if_all_are_ejected() {
    let mut balancer = balancer(two_zones(2), 1);
    balancer.begin(SERVICE, "y1");
    balancer.end(SERVICE, "y1", SendResult::Unreachable, 10);
    let chosen = balancer.choose(SERVICE, 20, |processor| processor.id == "y1").map(|processor| processor.id.clone());
    assert_eq!(chosen.as_deref(), Some("y1"));
    assert!(balancer.choose(SERVICE, 20, |_| false).is_none());
    assert!(balancer.choose("unknown", 20, |_| true).is_none());
}
