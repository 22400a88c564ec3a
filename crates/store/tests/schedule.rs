//! Tests of the delivery scheduler: the choice of processors, rate limits and rollout shares.

use config::{Homes, Route, Service};
use rpc::messages::*;
use std::sync::Arc;
use store::*;

fn processor(id: &str, zone: &str, revision: &str) -> Processor {
    let (id, zone, revision) = (id.into(), zone.into(), revision.into());
    Processor {
        id,
        service: "p".into(),
        address: "10.0.0.1:80".into(),
        zone,
        revision,
        capacity: 2,
        ..Processor::default()
    }
}

fn new_scheduler(processors: Vec<Processor>, rollouts: Vec<Rollout>) -> DeliveryScheduler {
    let front = |n: &str, z: &str| Node {
        name: n.into(),
        role: "front".into(),
        zone: z.into(),
        inner: n.into(),
        ..Node::default()
    };
    let nodes = vec![front("h1", "x"), front("h2", "x"), front("h3", "y")];
    let mut scheduler = DeliveryScheduler::new(
        "me",
        "x",
        "r",
        SchedulerTiming { load_report_ttl_ms: 250, initial_backoff_ms: 60, max_backoff_ms: 1000 },
    );
    let membership = Membership { version: 1, nodes, processors, listed: true, ..Membership::default() };
    scheduler.update_view(&Arc::new(membership), &Arc::new(Assignments { rollouts, ..Assignments::default() }));
    scheduler
}

fn service() -> Service {
    Service { name: "p".into(), conn_limit: 10, ..Service::default() }
}

fn route() -> Route {
    Route { name: "r".into(), service: "p".into(), ..Route::default() }
}

fn start_attempt(scheduler: &mut DeliveryScheduler, pos: u64) -> Option<Target> {
    let c = scheduler.choose(&service(), &Homes::default(), 1000)?;
    scheduler.start_attempt((0, pos), &c, &route(), 9999);
    Some(c)
}

fn report(outcome: Outcome, status: u32, running: u32) -> Report {
    Report { outcome: outcome as i32, status, running, loaded: running > 0, ..Report::default() }
}

#[test]
fn prefers_processors_of_the_own_zone_up_to_their_capacity() {
    let mut draining = processor("u3", "x", "v1");
    draining.draining = true;
    let mut scheduler = new_scheduler(vec![processor("u1", "x", "v1"), processor("u2", "y", "v1"), draining], vec![]);
    let got: Vec<String> = (0..5).filter_map(|i| start_attempt(&mut scheduler, i)).map(|c| c.processor).collect();
    assert_eq!(got, ["u1", "u1", "u2", "u2"]);
    assert_eq!(scheduler.choose(&service(), &Homes::default(), 1000), None);
    scheduler.end_attempt((0, 0));
    assert_eq!(start_attempt(&mut scheduler, 9).map(|c| (c.processor, c.target)), Some(("u1".into(), "u1".into())));
}

#[test]
fn the_answered_request_does_not_count_as_load_of_others() {
    let mut scheduler = new_scheduler(vec![processor("u1", "x", "v1")], vec![]);
    start_attempt(&mut scheduler, 1);
    let f = scheduler.end_attempt((0, 1)).expect("in flight");
    scheduler.record_report(&f, &report(Outcome::Done, 200, 1), 1000);
    assert!(
        start_attempt(&mut scheduler, 2).is_some() && start_attempt(&mut scheduler, 3).is_some(),
        "both slots are free"
    );
    let f = scheduler.end_attempt((0, 2)).expect("in flight");
    scheduler.record_report(&f, &report(Outcome::Done, 200, 3), 1000);
    assert!(scheduler.choose(&service(), &Homes::default(), 1100).is_none(), "another sender uses a slot");
    assert!(scheduler.choose(&service(), &Homes::default(), 1300).is_some(), "the load report has expired");
}

#[test]
fn a_failed_processor_is_retried_with_one_attempt_after_its_backoff() {
    let mut scheduler = new_scheduler(vec![processor("u1", "x", "v1")], vec![]);
    start_attempt(&mut scheduler, 1);
    let f = scheduler.end_attempt((0, 1)).expect("in flight");
    scheduler.record_report(&f, &report(Outcome::NotRun, 0, 0), 1000);
    assert!(scheduler.choose(&service(), &Homes::default(), 1050).is_none());
    let c = scheduler.choose(&service(), &Homes::default(), 1500).expect("retried");
    scheduler.start_attempt((0, 2), &c, &route(), 9999);
    assert!(scheduler.choose(&service(), &Homes::default(), 1500).is_none(), "one at a time until an attempt succeeds");
    let f = scheduler.end_attempt((0, 2)).expect("in flight");
    scheduler.record_report(&f, &report(Outcome::Done, 200, 1), 1500);
    assert!(scheduler.choose(&service(), &Homes::default(), 1500).is_some());
}

#[test]
fn a_new_revision_gets_its_rollout_share_and_no_more() {
    let rollout = |state: &str, share| Rollout {
        service: "p".into(),
        target: "v2".into(),
        state: state.into(),
        share,
        ..Rollout::default()
    };
    let processors = || vec![processor("old", "x", "v1"), processor("new", "x", "v2")];
    let mut scheduler = new_scheduler(processors(), vec![rollout("running", 100)]);
    let mut new = 0;
    for i in 0..200 {
        if start_attempt(&mut scheduler, i).is_some_and(|c| c.revision == "v2") {
            new += 1;
        }
        scheduler.end_attempt((0, i));
    }
    assert!((19..=21).contains(&new), "{new} of 200");
    for (state, only) in [("settled", "v2"), ("reverted", "v1")] {
        let mut scheduler = new_scheduler(processors(), vec![rollout(state, 0)]);
        let got: Vec<String> = (0..4).filter_map(|i| start_attempt(&mut scheduler, i)).map(|c| c.revision).collect();
        assert_eq!(got, [only, only], "{state}");
    }
}

/// Regression test: processors of a revision that was reverted got messages again once the next roll-out began.
#[test]
fn processors_of_a_rejected_revision_get_nothing() {
    let processors = || vec![processor("good", "x", "v1"), processor("bad", "x", "v2"), processor("new", "x", "v3")];
    for (state, share, allowed) in [
        ("running", 100, &["v1", "v3"][..]),
        ("running", 1000, &["v3"]),
        ("reverted", 0, &["v1"]),
        ("settled", 1000, &["v3"]),
    ] {
        let rollout = Rollout {
            service: "p".into(),
            target: "v3".into(),
            state: state.into(),
            share,
            rejected: vec!["v2".into()],
            ..Rollout::default()
        };
        let mut scheduler = new_scheduler(processors(), vec![rollout]);
        let mut got = std::collections::BTreeSet::new();
        for position in 0..100 {
            got.extend(start_attempt(&mut scheduler, position).map(|target| target.revision));
            if position % 3 == 0 {
                scheduler.end_attempt((0, position));
            }
        }
        assert!(!got.is_empty() && got.iter().all(|revision| allowed.contains(&revision.as_str())), "{state}: {got:?}");
    }
}

#[test]
fn a_rate_limit_holds_in_every_window_and_after_a_take_over() {
    let p = Service { flow_per_s: 40.0, endpoint: Some("10.0.0.1:80".into()), ..service() };
    let mut scheduler = new_scheduler(vec![], vec![]);
    assert!(scheduler.take_token(&p, 1000).is_err(), "a new owner starts with an empty bucket");
    let mut sent = vec![];
    for now in 1000..21_000 {
        // The idle period must not build up more than the burst allowance.
        if !(5000..12_000).contains(&now) && scheduler.take_token(&p, now).is_ok() {
            sent.push(now);
        }
    }
    for start in (1000..16_000).step_by(50) {
        let n = sent.iter().filter(|s| (start..start + 5000).contains(*s)).count();
        assert!(n as f64 <= 40.0 * 5.0 * 1.1 + 5.0, "{n} in the window from {start}");
    }
    assert!(sent.len() >= 500);
}

#[test]
fn an_owner_uses_only_its_share_of_a_rate_limit() {
    let p = Service { flow_per_s: 40.0, endpoint: Some("10.0.0.1:80".into()), ..service() };
    let sent_in_ten_seconds = |share: f64| {
        let mut scheduler = new_scheduler(vec![], vec![]);
        scheduler.set_share(&p.name, share);
        (1000..11_000).filter(|now| scheduler.take_token(&p, *now).is_ok()).count()
    };
    assert!((195..=200).contains(&sent_in_ten_seconds(0.5)));
    assert!((395..=400).contains(&sent_in_ten_seconds(1.0)), "the full rate");
}

#[test]
fn deliveries_to_a_processor_use_one_delivery_node_of_its_zone() {
    let mut scheduler = new_scheduler(vec![processor("u1", "x", "v1"), processor("u2", "y", "v1")], vec![]);
    let got: Vec<(String, String)> =
        (0..4).filter_map(|i| start_attempt(&mut scheduler, i)).map(|c| (c.processor, c.front)).collect();
    assert_eq!(got[0], got[1]);
    assert_eq!(got[2].1, "h3");
}

#[test]
fn a_revision_in_rollout_fills_one_processor_after_the_other() {
    let r =
        Rollout { service: "p".into(), target: "v2".into(), state: "running".into(), share: 500, ..Rollout::default() };
    let processors = vec![
        processor("n1", "y", "v2"),
        processor("n2", "x", "v2"),
        processor("o1", "x", "v1"),
        processor("o2", "y", "v1"),
    ];
    let mut scheduler = new_scheduler(processors, vec![r]);
    let got: Vec<String> = (0..6)
        .filter_map(|i| start_attempt(&mut scheduler, i))
        .map(|c| c.processor)
        .filter(|u| u.starts_with('n'))
        .collect();
    assert_eq!(got[..2], ["n1", "n1"], "the first one is filled before the next gets any");
    let r =
        Rollout { service: "p".into(), target: "v2".into(), state: "running".into(), share: 900, ..Rollout::default() };
    let cold = Processor { cold: true, ..processor("n1", "x", "v2") };
    let mut scheduler = new_scheduler(vec![cold, processor("o1", "x", "v1")], vec![r]);
    let got: Vec<String> = (0..4).filter_map(|i| start_attempt(&mut scheduler, i)).map(|c| c.processor).collect();
    assert_eq!(got, ["o1", "o1"], "a cold processor gets no attempts of the rollout");
}

#[test]
fn lower_priorities_are_refused_first() {
    let room = Capacity { memory: 1000, disk: 2000 };
    assert!(room.admits(0, 1000, 2000) && !room.admits(0, 1001, 0) && !room.admits(0, 0, 2001));
    assert!(room.admits(2, 800, 1920) && !room.admits(2, 850, 0) && !room.admits(2, 0, 1930));
    assert!(room.admits(9, 500, 0) && !room.admits(9, 501, 0), "half of the memory is for every rank");
}

#[test]
fn messages_that_can_start_in_time_precede_late_ones() {
    let mut scheduler = new_scheduler(vec![processor("u1", "x", "v1")], vec![]);
    for (pos, age) in [(1, 1000), (2, 1100), (3, 5000), (4, 5100)] {
        scheduler.enqueue((0, pos), QueueId::unbound("p"), age);
    }
    let mut order = vec![];
    while let Some(k) = scheduler.next_ready(&QueueId::unbound("p"), 5500, 1000) {
        let c = scheduler.choose(&service(), &Homes::default(), 1000).expect("capacity");
        scheduler.start_attempt(k, &c, &route(), 9999);
        scheduler.end_attempt(k);
        order.push(k.1);
    }
    assert_eq!(order, [3, 4, 1, 2]);
    // With a constant flow of messages in time, every fourth attempt still goes to the oldest.
    scheduler.enqueue((0, 9), QueueId::unbound("p"), 1000);
    let mut turns = 0;
    for pos in 10..20 {
        scheduler.enqueue((0, pos), QueueId::unbound("p"), 5400);
        let k = scheduler.next_ready(&QueueId::unbound("p"), 5500, 1000).expect("a ready message");
        if k.1 == 9 {
            break;
        }
        turns += 1;
        let c = scheduler.choose(&service(), &Homes::default(), 1000).expect("capacity");
        scheduler.start_attempt(k, &c, &route(), 9999);
        scheduler.end_attempt(k);
    }
    assert!(turns < 4);
}

#[test]
fn a_message_within_the_last_quarter_of_its_target_counts_as_late() {
    let mut scheduler = new_scheduler(vec![processor("u1", "x", "v1")], vec![]);
    scheduler.enqueue((0, 1), QueueId::unbound("p"), 4550);
    scheduler.enqueue((0, 2), QueueId::unbound("p"), 4800);
    assert_eq!(
        scheduler.next_ready(&QueueId::unbound("p"), 5500, 1000),
        Some((0, 2)),
        "the first has used 950 of 1,000 ms"
    );
}

#[test]
fn independent_owners_spread_over_processors() {
    // Ten owners of a zone each start five attempts at the same time, for 26 processors with two
    // slots each. Guards against all owners choosing the same processors.
    let processors: Vec<Processor> = (0..26).map(|n| processor(&format!("u{n:02}"), "x", "v1")).collect();
    let mut given = std::collections::HashMap::new();
    for owner in 0..10 {
        let nodes = vec![Node { name: "h".into(), role: "front".into(), zone: "x".into(), ..Node::default() }];
        let timing = SchedulerTiming { load_report_ttl_ms: 250, initial_backoff_ms: 60, max_backoff_ms: 1000 };
        let mut scheduler = DeliveryScheduler::new(&format!("store-x-{owner}"), "x", "r", timing);
        let membership =
            Membership { version: 1, nodes, processors: processors.clone(), listed: true, ..Membership::default() };
        scheduler.update_view(&Arc::new(membership), &Arc::default());
        for pos in 0..5 {
            let c = start_attempt(&mut scheduler, pos).expect("capacity");
            *given.entry(c.processor).or_insert(0) += 1;
        }
    }
    let over = given.values().filter(|n| **n > 4).count();
    assert!(given.len() >= 18 && over <= 2, "{} processors used, {over} with more than four attempts", given.len());
}

#[test]
fn sixty_independent_owners_stay_within_the_rollout_exposure() {
    // Each owner accumulates the rollout share on its own. The processors of the new revision may
    // appear long after the rollout started, when all owners have credit for an attempt.
    for late in [0u64, 9, 25, 60] {
        let old: Vec<Processor> =
            (0..8).map(|n| Processor { capacity: 99, ..processor(&format!("o{n}"), "x", "v1") }).collect();
        let new: Vec<Processor> =
            (0..8).map(|n| Processor { capacity: 99, ..processor(&format!("n{n}"), "x", "v2") }).collect();
        let running = Rollout {
            service: "p".into(),
            target: "v2".into(),
            state: "running".into(),
            share: initial_share(),
            ..Rollout::default()
        };
        let mut owners: Vec<DeliveryScheduler> =
            (0..60).map(|_| new_scheduler(old.clone(), vec![running.clone()])).collect();
        let (mut all, mut fresh) = (0.0, 0.0);
        for round in 0..200u64 {
            if round == late {
                owners =
                    owners.into_iter().map(|scheduler| with_new_processors(scheduler, &old, &new, &running)).collect();
            }
            for scheduler in &mut owners {
                let c = start_attempt(scheduler, round).expect("capacity");
                scheduler.end_attempt((0, round));
                all += 1.0;
                fresh += f64::from(c.revision == "v2");
                assert!(fresh <= 0.1 * all + 50.0, "{fresh} of {all}, processors from round {late}");
            }
        }
        assert!(fresh > 0.04 * all, "{fresh} of {all}: too few for a judgement");
    }
}

/// The share, in thousandths, that the leader starts a rollout with: slightly more than half of
/// what a bad revision may receive.
fn initial_share() -> u32 {
    60
}

fn with_new_processors(
    mut scheduler: DeliveryScheduler,
    old: &[Processor],
    new: &[Processor],
    rollout: &Rollout,
) -> DeliveryScheduler {
    let front = Node { name: "h1".into(), role: "front".into(), zone: "x".into(), ..Node::default() };
    let mut processors = [new, old].concat();
    processors.sort_by(|a, b| a.id.cmp(&b.id));
    let membership = Membership { version: 2, nodes: vec![front], processors, listed: true, ..Membership::default() };
    scheduler.update_view(
        &Arc::new(membership),
        &Arc::new(Assignments { rollouts: vec![rollout.clone()], ..Assignments::default() }),
    );
    scheduler
}

#[test]
fn a_late_report_of_an_attempt_that_was_given_up_says_nothing_of_the_next() {
    let mut scheduler = new_scheduler(vec![processor("u1", "x", "v1")], vec![]);
    start_attempt(&mut scheduler, 1);
    scheduler.set_attempt_number((0, 1), 4, 70);
    assert!(
        !scheduler.is_outdated((0, 1), 4, 70)
            && !scheduler.is_outdated((0, 1), 0, 70)
            && !scheduler.is_outdated((0, 2), 4, 9)
    );
    // Given up and started again: with another number, or with the same one at a new term.
    assert!(
        scheduler.is_outdated((0, 1), 4, 60)
            && scheduler.is_outdated((0, 1), 3, 70)
            && scheduler.is_outdated((0, 1), 3, 80)
    );
    assert!(scheduler.is_outdated((0, 1), 4, 80));
    // Adopted without a known attempt number: any report ends it.
    scheduler.end_attempt((0, 1));
    scheduler.adopt_attempt((0, 1), &route(), "p", "u1", "h1", 9999);
    assert!(!scheduler.is_outdated((0, 1), 3, 60));
}

#[test]
fn what_a_silent_node_may_have_waits_until_it_must_be_over() {
    let (none, other) = (UnresponsiveNodes::default(), UnresponsiveNodes { any: true, last_recipient: false });
    let last = UnresponsiveNodes { any: true, last_recipient: true };
    for sequenced in [false, true] {
        assert_eq!(none.hold_until(sequenced, 500, 900, 1600), 0, "all nodes answered");
    }
    assert_eq!(last.hold_until(false, 500, 900, 1600), 2100);
    // The former owner may have dispatched it again without any surviving record. A sequenced
    // message waits for such an attempt, others do not.
    assert_eq!(other.hold_until(false, 500, 900, 1600), 0);
    assert_eq!((other.hold_until(true, 0, 900, 1600), last.hold_until(true, 500, 900, 1600)), (2500, 2500));
}

/// Gives the scheduler new evacuations with an unchanged membership.
fn evacuations(scheduler: &mut DeliveryScheduler, evacuations: Vec<Evacuation>) {
    let assignments = Assignments { evacuations, ..(*scheduler.assignments).clone() };
    let membership = scheduler.membership.clone();
    scheduler.update_view(&membership, &Arc::new(assignments));
}

#[test]
fn an_evacuated_zone_gets_nothing_and_a_returning_one_only_overflow() {
    let mut scheduler = new_scheduler(vec![processor("u1", "x", "v1"), processor("u2", "y", "v1")], vec![]);
    let zone = |finished| Evacuation { zone: "x".into(), finished, ordered: 1, cold_known_from: 0 };
    evacuations(&mut scheduler, vec![zone(false)]);
    let got: Vec<String> = (0..5).filter_map(|i| start_attempt(&mut scheduler, i)).map(|c| c.processor).collect();
    assert_eq!(got, ["u2", "u2"], "the own zone is evacuated");
    evacuations(&mut scheduler, vec![zone(true)]);
    assert_eq!(start_attempt(&mut scheduler, 9).map(|c| c.processor).as_deref(), Some("u1"));
}

#[test]
fn a_region_bound_message_uses_only_processors_and_delivery_nodes_of_its_regions() {
    let regions = [("x".to_owned(), "r".to_owned()), ("y".to_owned(), "s".to_owned())];
    let mut scheduler = new_scheduler(vec![processor("u1", "x", "v1"), processor("u2", "y", "v1")], vec![]);
    scheduler.set_regions(&regions.into());
    let nodes = scheduler
        .membership
        .nodes
        .iter()
        .map(|n| Node { region: if n.zone == "x" { "r" } else { "s" }.into(), ..n.clone() });
    let membership = Membership { version: 2, nodes: nodes.collect(), ..(*scheduler.membership).clone() };
    let assignments = scheduler.assignments.clone();
    scheduler.update_view(&Arc::new(membership), &assignments);
    let homes = Homes::of(&["s".to_owned()]);
    for position in 0..2 {
        let target = scheduler.choose(&service(), &homes, 1000).expect("capacity in the region");
        assert_eq!((target.processor.as_str(), target.front.as_str()), ("u2", "h3"));
        scheduler.start_attempt((0, position), &target, &route(), 9999);
    }
    assert_eq!(scheduler.choose(&service(), &homes, 1000), None, "capacity elsewhere does not count");
    let endpoint = Service { endpoint: Some("10.0.0.9:80".into()), ..service() };
    assert_eq!(scheduler.choose(&endpoint, &homes, 1000).expect("an endpoint has no region").front, "h3");
    assert_eq!(scheduler.choose(&endpoint, &Homes::of(&["q".to_owned()]), 1000), None, "no delivery node there");
}

#[test]
fn a_cold_processor_gets_only_what_its_lease_allows() {
    let cold = Processor { cold: true, ..processor("u1", "x", "v1") };
    let mut scheduler = new_scheduler(vec![cold], vec![]);
    let metered = Service { cold_per_s: 4.0, ..service() };
    let sent = |scheduler: &mut DeliveryScheduler, from: u64, to: u64| {
        let mut count = 0;
        for now in from..to {
            if let Some(target) = scheduler.choose(&metered, &Homes::default(), now) {
                scheduler.start_attempt((0, now), &target, &route(), now + 10);
                scheduler.end_attempt((0, now));
                count += 1;
            }
        }
        count
    };
    assert_eq!(sent(&mut scheduler, 1000, 2000), 0, "without a lease");
    scheduler.grant_cold(&["u1".to_owned()], 2000, 3500);
    assert_eq!(sent(&mut scheduler, 2000, 3000), 3, "the bucket starts empty");
    assert_eq!(sent(&mut scheduler, 3000, 3500), 2);
    assert_eq!(sent(&mut scheduler, 3500, 5000), 0, "the lease has expired");
    // A service without such a limit uses cold processors like any other.
    assert!(scheduler.choose(&service(), &Homes::default(), 5000).is_some());
}

#[test]
fn a_returned_zone_counts_as_cold_until_the_membership_lists_it() {
    let mut scheduler = new_scheduler(vec![processor("u1", "x", "v1")], vec![]);
    let metered = Service { cold_per_s: 4.0, ..service() };
    let returned = |cold_known_from| Evacuation { zone: "x".into(), finished: true, ordered: 1, cold_known_from };
    evacuations(&mut scheduler, vec![returned(0)]);
    assert!(scheduler.has_metered_cold(|_| true) && !scheduler.has_metered_cold(|_| false));
    assert_eq!(scheduler.choose(&metered, &Homes::default(), 1000), None);
    evacuations(&mut scheduler, vec![returned(2)]);
    assert_eq!(scheduler.choose(&metered, &Homes::default(), 1000), None, "the known membership is older");
    evacuations(&mut scheduler, vec![returned(1)]);
    assert!(scheduler.choose(&metered, &Homes::default(), 1000).is_some());
}
