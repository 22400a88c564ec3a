//! Which processor gets the next message, and how fast.

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

fn scheduler(processors: Vec<Processor>, rollouts: Vec<Rollout>) -> DeliveryScheduler {
    let front = |n: &str, z: &str| Node {
        name: n.into(),
        role: "front".into(),
        zone: z.into(),
        inner: n.into(),
        ..Node::default()
    };
    let nodes = vec![front("h1", "x"), front("h2", "x"), front("h3", "y")];
    let mut t = DeliveryScheduler::new(
        "me",
        "x",
        "r",
        SchedulerTiming { load_report_ttl_ms: 250, initial_backoff_ms: 60, max_backoff_ms: 1000 },
    );
    let membership = Membership { version: 1, nodes, processors, listed: true, ..Membership::default() };
    t.update_view(&Arc::new(membership), &Arc::new(Assignments { rollouts, ..Assignments::default() }));
    t
}

fn service() -> Service {
    Service { name: "p".into(), conn_limit: 10, ..Service::default() }
}

fn route() -> Route {
    Route { name: "r".into(), service: "p".into(), ..Route::default() }
}

fn launch(t: &mut DeliveryScheduler, pos: u64) -> Option<Target> {
    let c = t.choose(&service(), &Homes::default(), 1000)?;
    t.start_attempt((0, pos), &c, &route(), 9999);
    Some(c)
}

fn report(outcome: Outcome, status: u32, running: u32) -> Report {
    Report { outcome: outcome as i32, status, running, loaded: running > 0, ..Report::default() }
}

#[test]
fn near_ones_first_and_no_more_than_they_have_slots() {
    let mut draining = processor("u3", "x", "v1");
    draining.draining = true;
    let mut t = scheduler(vec![processor("u1", "x", "v1"), processor("u2", "y", "v1"), draining], vec![]);
    let got: Vec<String> = (0..5).filter_map(|i| launch(&mut t, i)).map(|c| c.processor).collect();
    assert_eq!(got, ["u1", "u1", "u2", "u2"]);
    assert_eq!(t.choose(&service(), &Homes::default(), 1000), None);
    t.end_attempt((0, 0));
    assert_eq!(launch(&mut t, 9).map(|c| (c.processor, c.target)), Some(("u1".into(), "u1".into())));
}

#[test]
fn the_answered_run_is_not_taken_for_anothers() {
    let mut t = scheduler(vec![processor("u1", "x", "v1")], vec![]);
    launch(&mut t, 1);
    let f = t.end_attempt((0, 1)).expect("under way");
    t.record_report(&f, &report(Outcome::Done, 200, 1), 1000);
    assert!(launch(&mut t, 2).is_some() && launch(&mut t, 3).is_some(), "both slots are free");
    let f = t.end_attempt((0, 2)).expect("under way");
    t.record_report(&f, &report(Outcome::Done, 200, 3), 1000);
    assert!(t.choose(&service(), &Homes::default(), 1100).is_none(), "somebody else holds a slot");
    assert!(t.choose(&service(), &Homes::default(), 1300).is_some(), "what was told is old");
}

#[test]
fn one_that_fails_is_left_alone_and_tried_with_one() {
    let mut t = scheduler(vec![processor("u1", "x", "v1")], vec![]);
    launch(&mut t, 1);
    let f = t.end_attempt((0, 1)).expect("under way");
    t.record_report(&f, &report(Outcome::NotRun, 0, 0), 1000);
    assert!(t.choose(&service(), &Homes::default(), 1050).is_none());
    let c = t.choose(&service(), &Homes::default(), 1500).expect("tried again");
    t.start_attempt((0, 2), &c, &route(), 9999);
    assert!(t.choose(&service(), &Homes::default(), 1500).is_none(), "one at a time until it does well");
    let f = t.end_attempt((0, 2)).expect("under way");
    t.record_report(&f, &report(Outcome::Done, 200, 1), 1500);
    assert!(t.choose(&service(), &Homes::default(), 1500).is_some());
}

#[test]
fn a_new_version_gets_its_share_and_no_more() {
    let rollout = |state: &str, share| Rollout {
        service: "p".into(),
        target: "v2".into(),
        state: state.into(),
        share,
        ..Rollout::default()
    };
    let processors = || vec![processor("old", "x", "v1"), processor("new", "x", "v2")];
    let mut t = scheduler(processors(), vec![rollout("running", 100)]);
    let mut new = 0;
    for i in 0..200 {
        if launch(&mut t, i).is_some_and(|c| c.revision == "v2") {
            new += 1;
        }
        t.end_attempt((0, i));
    }
    assert!((19..=21).contains(&new), "{new} of 200");
    for (state, only) in [("settled", "v2"), ("reverted", "v1")] {
        let mut t = scheduler(processors(), vec![rollout(state, 0)]);
        let got: Vec<String> = (0..4).filter_map(|i| launch(&mut t, i)).map(|c| c.revision).collect();
        assert_eq!(got, [only, only], "{state}");
    }
}

#[test]
fn a_ceiling_holds_over_any_window_and_after_a_take_over() {
    let p = Service { flow_per_s: 40.0, endpoint: Some("10.0.0.1:80".into()), ..service() };
    let mut t = scheduler(vec![], vec![]);
    assert!(t.take_token(&p, 1000).is_err(), "a new owner begins with nothing saved up");
    let mut sent = vec![];
    for now in 1000..21_000 {
        // Nothing is asked for in between: what is saved up must stay small.
        if !(5000..12_000).contains(&now) && t.take_token(&p, now).is_ok() {
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
fn an_owner_with_a_part_of_a_metered_service_uses_no_more_than_that() {
    let p = Service { flow_per_s: 40.0, endpoint: Some("10.0.0.1:80".into()), ..service() };
    let sent_in_ten_seconds = |share: f64| {
        let mut t = scheduler(vec![], vec![]);
        t.set_share(&p.name, share);
        (1000..11_000).filter(|now| t.take_token(&p, *now).is_ok()).count()
    };
    assert!((195..=200).contains(&sent_in_ten_seconds(0.5)));
    assert!((395..=400).contains(&sent_in_ten_seconds(1.0)), "the whole is the whole");
}

#[test]
fn all_deliveries_to_a_processor_go_through_one_node_of_its_zone() {
    let mut t = scheduler(vec![processor("u1", "x", "v1"), processor("u2", "y", "v1")], vec![]);
    let got: Vec<(String, String)> = (0..4).filter_map(|i| launch(&mut t, i)).map(|c| (c.processor, c.front)).collect();
    assert_eq!(got[0], got[1]);
    assert_eq!(got[2].1, "h3");
}

#[test]
fn a_version_on_trial_is_put_under_load() {
    let r =
        Rollout { service: "p".into(), target: "v2".into(), state: "running".into(), share: 500, ..Rollout::default() };
    let processors = vec![
        processor("n1", "y", "v2"),
        processor("n2", "x", "v2"),
        processor("o1", "x", "v1"),
        processor("o2", "y", "v1"),
    ];
    let mut t = scheduler(processors, vec![r]);
    let got: Vec<String> =
        (0..6).filter_map(|i| launch(&mut t, i)).map(|c| c.processor).filter(|u| u.starts_with('n')).collect();
    assert_eq!(got[..2], ["n1", "n1"], "full before the next one gets any");
    let r =
        Rollout { service: "p".into(), target: "v2".into(), state: "running".into(), share: 900, ..Rollout::default() };
    let cold = Processor { cold: true, ..processor("n1", "x", "v2") };
    let mut t = scheduler(vec![cold, processor("o1", "x", "v1")], vec![r]);
    let got: Vec<String> = (0..4).filter_map(|i| launch(&mut t, i)).map(|c| c.processor).collect();
    assert_eq!(got, ["o1", "o1"], "nothing is tried on what is still cold");
}

#[test]
fn low_ranks_are_turned_away_first() {
    let room = Capacity { memory: 1000, disk: 2000 };
    assert!(room.admits(0, 1000, 2000) && !room.admits(0, 1001, 0) && !room.admits(0, 0, 2001));
    assert!(room.admits(2, 800, 1920) && !room.admits(2, 850, 0) && !room.admits(2, 0, 1930));
    assert!(room.admits(9, 500, 0) && !room.admits(9, 501, 0), "half is for all");
}

#[test]
fn what_can_still_begin_in_time_goes_before_what_is_late() {
    let mut t = scheduler(vec![processor("u1", "x", "v1")], vec![]);
    for (pos, age) in [(1, 1000), (2, 1100), (3, 5000), (4, 5100)] {
        t.enqueue((0, pos), QueueId::unbound("p"), age);
    }
    let mut order = vec![];
    while let Some(k) = t.next_ready(&QueueId::unbound("p"), 5500, 1000) {
        let c = t.choose(&service(), &Homes::default(), 1000).expect("room");
        t.start_attempt(k, &c, &route(), 9999);
        t.end_attempt(k);
        order.push(k.1);
    }
    assert_eq!(order, [3, 4, 1, 2]);
    // Fresh ones keep coming: every fourth turn still goes to the oldest.
    t.enqueue((0, 9), QueueId::unbound("p"), 1000);
    let mut turns = 0;
    for pos in 10..20 {
        t.enqueue((0, pos), QueueId::unbound("p"), 5400);
        let k = t.next_ready(&QueueId::unbound("p"), 5500, 1000).expect("some");
        if k.1 == 9 {
            break;
        }
        turns += 1;
        let c = t.choose(&service(), &Homes::default(), 1000).expect("room");
        t.start_attempt(k, &c, &route(), 9999);
        t.end_attempt(k);
    }
    assert!(turns < 4);
}

#[test]
fn one_that_is_only_just_in_time_is_late() {
    let mut t = scheduler(vec![processor("u1", "x", "v1")], vec![]);
    t.enqueue((0, 1), QueueId::unbound("p"), 4550);
    t.enqueue((0, 2), QueueId::unbound("p"), 4800);
    assert_eq!(
        t.next_ready(&QueueId::unbound("p"), 5500, 1000),
        Some((0, 2)),
        "950 ms of 1,000 are over for the first"
    );
}

#[test]
fn owners_that_know_nothing_of_each_other_do_not_meet_at_one_processor() {
    // Ten owners of a zone, each of which gives out five at the same moment to the
    // zone's twenty-six processors of two slots.
    let processors: Vec<Processor> = (0..26).map(|n| processor(&format!("u{n:02}"), "x", "v1")).collect();
    let mut given = std::collections::HashMap::new();
    for owner in 0..10 {
        let nodes = vec![Node { name: "h".into(), role: "front".into(), zone: "x".into(), ..Node::default() }];
        let timing = SchedulerTiming { load_report_ttl_ms: 250, initial_backoff_ms: 60, max_backoff_ms: 1000 };
        let mut t = DeliveryScheduler::new(&format!("store-x-{owner}"), "x", "r", timing);
        let membership =
            Membership { version: 1, nodes, processors: processors.clone(), listed: true, ..Membership::default() };
        t.update_view(&Arc::new(membership), &Arc::default());
        for pos in 0..5 {
            let c = launch(&mut t, pos).expect("room");
            *given.entry(c.processor).or_insert(0) += 1;
        }
    }
    let over = given.values().filter(|n| **n > 4).count();
    assert!(given.len() >= 18 && over <= 2, "{} processors used, {over} with over four", given.len());
}

#[test]
fn sixty_owners_together_stay_inside_the_exposure() {
    // Each tosses its own coin and knows nothing of the others; the new version's
    // processors may come long after the order, when all of them want one.
    for late in [0u64, 9, 25, 60] {
        let old: Vec<Processor> =
            (0..8).map(|n| Processor { capacity: 99, ..processor(&format!("o{n}"), "x", "v1") }).collect();
        let new: Vec<Processor> =
            (0..8).map(|n| Processor { capacity: 99, ..processor(&format!("n{n}"), "x", "v2") }).collect();
        let running = Rollout {
            service: "p".into(),
            target: "v2".into(),
            state: "running".into(),
            share: control_first_share(),
            ..Rollout::default()
        };
        let mut owners: Vec<DeliveryScheduler> =
            (0..60).map(|_| scheduler(old.clone(), vec![running.clone()])).collect();
        let (mut all, mut fresh) = (0.0, 0.0);
        for round in 0..200u64 {
            if round == late {
                owners = owners.into_iter().map(|t| with_processors(t, &old, &new, &running)).collect();
            }
            for t in &mut owners {
                let c = launch(t, round).expect("room");
                t.end_attempt((0, round));
                all += 1.0;
                fresh += f64::from(c.revision == "v2");
                assert!(fresh <= 0.1 * all + 50.0, "{fresh} of {all}, processors from round {late}");
            }
        }
        assert!(fresh > 0.04 * all, "{fresh} of {all}: too few to judge by");
    }
}

/// Half of what a bad version may receive, and a little: as the leader begins.
fn control_first_share() -> u32 {
    60
}

fn with_processors(
    mut t: DeliveryScheduler,
    old: &[Processor],
    new: &[Processor],
    rollout: &Rollout,
) -> DeliveryScheduler {
    let front = Node { name: "h1".into(), role: "front".into(), zone: "x".into(), ..Node::default() };
    let mut processors = [new, old].concat();
    processors.sort_by(|a, b| a.id.cmp(&b.id));
    let membership = Membership { version: 2, nodes: vec![front], processors, listed: true, ..Membership::default() };
    t.update_view(
        &Arc::new(membership),
        &Arc::new(Assignments { rollouts: vec![rollout.clone()], ..Assignments::default() }),
    );
    t
}

#[test]
fn a_late_report_of_an_attempt_that_was_given_up_says_nothing_of_the_next() {
    let mut t = scheduler(vec![processor("u1", "x", "v1")], vec![]);
    launch(&mut t, 1);
    t.set_attempt_number((0, 1), 4, 70);
    assert!(!t.is_outdated((0, 1), 4, 70) && !t.is_outdated((0, 1), 0, 70) && !t.is_outdated((0, 2), 4, 9));
    // Given up, and out again: by another number, or by the same one at a new term.
    assert!(t.is_outdated((0, 1), 4, 60) && t.is_outdated((0, 1), 3, 70) && t.is_outdated((0, 1), 3, 80));
    assert!(t.is_outdated((0, 1), 4, 80));
    // Taken over without a name: any report ends it.
    t.end_attempt((0, 1));
    t.adopt_attempt((0, 1), &route(), "p", "u1", "h1", 9999);
    assert!(!t.is_outdated((0, 1), 3, 60));
}

#[test]
fn what_a_silent_node_may_have_waits_until_it_must_be_over() {
    let (none, other) = (UnresponsiveNodes::default(), UnresponsiveNodes { any: true, last_recipient: false });
    let last = UnresponsiveNodes { any: true, last_recipient: true };
    for sequenced in [false, true] {
        assert_eq!(none.hold_until(sequenced, 500, 900, 1600), 0, "all said what they hold");
    }
    assert_eq!(last.hold_until(false, 500, 900, 1600), 2100);
    // The former owner may have given it out again, with nobody left who knows: a
    // message whose order counts waits for that, others need not.
    assert_eq!(other.hold_until(false, 500, 900, 1600), 0);
    assert_eq!((other.hold_until(true, 0, 900, 1600), last.hold_until(true, 500, 900, 1600)), (2500, 2500));
}

/// The scheduler's news of evacuations, with the processors as they are.
fn evacuations(t: &mut DeliveryScheduler, evacuations: Vec<Evacuation>) {
    let assignments = Assignments { evacuations, ..(*t.assignments).clone() };
    let membership = t.membership.clone();
    t.update_view(&membership, &Arc::new(assignments));
}

#[test]
fn an_evacuated_zone_is_given_nothing_and_one_on_its_way_back_only_what_others_cannot_take() {
    let mut t = scheduler(vec![processor("u1", "x", "v1"), processor("u2", "y", "v1")], vec![]);
    let zone = |finished| Evacuation { zone: "x".into(), finished, ordered: 1, cold_known_from: 0 };
    evacuations(&mut t, vec![zone(false)]);
    let got: Vec<String> = (0..5).filter_map(|i| launch(&mut t, i)).map(|c| c.processor).collect();
    assert_eq!(got, ["u2", "u2"], "the near ones are evacuated");
    evacuations(&mut t, vec![zone(true)]);
    assert_eq!(launch(&mut t, 9).map(|c| c.processor).as_deref(), Some("u1"));
}

#[test]
fn a_message_that_is_bound_to_regions_goes_to_processors_and_delivery_nodes_there_only() {
    let regions = [("x".to_owned(), "r".to_owned()), ("y".to_owned(), "s".to_owned())];
    let mut t = scheduler(vec![processor("u1", "x", "v1"), processor("u2", "y", "v1")], vec![]);
    t.set_regions(&regions.into());
    let nodes =
        t.membership.nodes.iter().map(|n| Node { region: if n.zone == "x" { "r" } else { "s" }.into(), ..n.clone() });
    let membership = Membership { version: 2, nodes: nodes.collect(), ..(*t.membership).clone() };
    let assignments = t.assignments.clone();
    t.update_view(&Arc::new(membership), &assignments);
    let homes = Homes::of(&["s".to_owned()]);
    for position in 0..2 {
        let target = t.choose(&service(), &homes, 1000).expect("room there");
        assert_eq!((target.processor.as_str(), target.front.as_str()), ("u2", "h3"));
        t.start_attempt((0, position), &target, &route(), 9999);
    }
    assert_eq!(t.choose(&service(), &homes, 1000), None, "room elsewhere is none");
    let endpoint = Service { endpoint: Some("10.0.0.9:80".into()), ..service() };
    assert_eq!(t.choose(&endpoint, &homes, 1000).expect("an endpoint is anywhere").front, "h3");
    assert_eq!(t.choose(&endpoint, &Homes::of(&["q".to_owned()]), 1000), None, "no delivery node there");
}

#[test]
fn a_cold_processor_is_sent_only_what_its_lease_allows_and_nothing_without_one() {
    let cold = Processor { cold: true, ..processor("u1", "x", "v1") };
    let mut t = scheduler(vec![cold], vec![]);
    let metered = Service { cold_per_s: 4.0, ..service() };
    let sent = |t: &mut DeliveryScheduler, from: u64, to: u64| {
        let mut count = 0;
        for now in from..to {
            if let Some(target) = t.choose(&metered, &Homes::default(), now) {
                t.start_attempt((0, now), &target, &route(), now + 10);
                t.end_attempt((0, now));
                count += 1;
            }
        }
        count
    };
    assert_eq!(sent(&mut t, 1000, 2000), 0, "without a lease");
    t.grant_cold(&["u1".to_owned()], 2000, 3500);
    assert_eq!(sent(&mut t, 2000, 3000), 3, "it begins empty");
    assert_eq!(sent(&mut t, 3000, 3500), 2);
    assert_eq!(sent(&mut t, 3500, 5000), 0, "the lease is over");
    // One that bounds nothing is used as before, cold or not.
    assert!(t.choose(&service(), &Homes::default(), 5000).is_some());
}

#[test]
fn a_zone_that_was_taken_back_is_metered_as_cold_until_the_listing_says_what_is() {
    let mut t = scheduler(vec![processor("u1", "x", "v1")], vec![]);
    let metered = Service { cold_per_s: 4.0, ..service() };
    let returned = |cold_known_from| Evacuation { zone: "x".into(), finished: true, ordered: 1, cold_known_from };
    evacuations(&mut t, vec![returned(0)]);
    assert!(t.has_metered_cold(|_| true) && !t.has_metered_cold(|_| false));
    assert_eq!(t.choose(&metered, &Homes::default(), 1000), None);
    evacuations(&mut t, vec![returned(2)]);
    assert_eq!(t.choose(&metered, &Homes::default(), 1000), None, "the membership here is older");
    evacuations(&mut t, vec![returned(1)]);
    assert!(t.choose(&metered, &Homes::default(), 1000).is_some());
}
