//! Decisions of the leader: owners and replicas of partitions, and the evaluation of roll-outs.

use control::*;
use rpc::messages::*;

fn names(n: &[&str]) -> Vec<String> {
    n.iter().map(|s| s.to_string()).collect()
}

/// The health of nodes: sound if `is_live` holds for them, else gone.
fn sound_if(is_live: impl Fn(&str) -> bool) -> impl Fn(&str) -> CopyHealth {
    move |node| if is_live(node) { CopyHealth::Sound } else { CopyHealth::Gone }
}

fn partition(owner: &str, in_sync: &[&str]) -> Partition {
    Partition {
        id: 1,
        term: 4,
        owner: owner.into(),
        in_sync: names(in_sync),
        replicas: names(&["a", "b"]),
        ..Partition::default()
    }
}

fn order(kind: OrderKind, term: u64, node: &str) -> Order {
    Order { partition: 1, term, node: node.into(), kind: kind as i32, ..Order::default() }
}

#[test]
fn a_dead_owner_is_succeeded_only_by_one_in_sync() {
    let p = partition("a", &["a", "b"]);
    assert_eq!(seize(&p, sound_if(|_| true), |_| Some(0)), None);
    let s = seize(&p, sound_if(|n| n != "a"), |_| Some(0)).expect("b takes over");
    assert_eq!((s.owner.as_str(), s.term, s.seized, s.in_sync), ("b", 5, true, names(&["b"])));
    assert_eq!(
        seize(&partition("a", &["a"]), sound_if(|n| n != "a"), |_| Some(0)),
        None,
        "no other node holds every record"
    );
    let s = seize(&p, sound_if(|n| n != "b"), |_| Some(0)).expect("b is dropped");
    assert_eq!((s.owner.as_str(), s.term, s.in_sync), ("a", 4, names(&["a"])));
}

/// Guards against lost messages (LOST): a disk that did not answer for a moment was dropped from the
/// in-sync sets, which left partitions with one copy.
#[test]
fn a_node_whose_disk_does_not_answer_owns_nothing_and_keeps_its_copy() {
    let p = partition("a", &["a", "b"]);
    let impaired =
        |name: &'static str| move |node: &str| if node == name { CopyHealth::Impaired } else { CopyHealth::Sound };
    assert_eq!(seize(&p, impaired("b"), |_| Some(0)), None, "the follower stays in sync");
    let s = seize(&p, impaired("a"), |_| Some(0)).expect("b takes over");
    assert_eq!((s.owner.as_str(), s.term, s.in_sync), ("b", 5, names(&["a", "b"])));
    assert_eq!(seize(&p, |_| CopyHealth::Impaired, |_| Some(0)), None, "no node can write");
    assert_eq!(restore_owner(&p, |_| CopyHealth::Impaired, |_| Some(0)), None);
    let r = restore_owner(&p, impaired("a"), |_| Some(0)).expect("b becomes the owner");
    assert_eq!((r.owner.as_str(), r.in_sync), ("b", names(&["a", "b"])));
}

#[test]
fn the_time_without_an_owner_is_counted_until_somebody_claims_the_partition() {
    let mut watch = OwnershipWatch::default();
    for now in [1000, 1500, 2000] {
        watch.record(1, false, now);
        watch.record(2, now < 2000, now);
    }
    assert_eq!((watch.unowned_ms(1, 3000), watch.unowned_ms(2, 3000), watch.unowned_ms(3, 3000)), (2000, 1000, 0));
    assert_eq!((watch.unowned_for(1000, 3000), watch.longest_ms(3000)), (vec![1], 2000));
    watch.record(1, true, 3000);
    assert_eq!((watch.unowned_ms(1, 4000), watch.unowned_for(1000, 4000)), (0, vec![2]));
}

#[test]
fn an_owner_in_another_incarnation_needs_a_new_term() {
    let mut p = partition("a", &["a", "b"]);
    p.set_joined("a", 7);
    p.set_joined("b", 7);
    assert_eq!(seize(&p, sound_if(|_| true), |_| Some(7)), None);
    // The owner restarted with its disk: the other node takes over, and both stay in sync.
    let s = seize(&p, sound_if(|_| true), |n| Some(if n == "a" { 9 } else { 7 })).expect("a new term");
    assert_eq!((s.owner.as_str(), s.term, s.in_sync.len(), s.joined_incarnation("b")), ("b", 5, 2, 7));
    // If it is the only live node, it becomes the owner again, in its new incarnation.
    let s = seize(&p, sound_if(|n| n == "a"), |_| Some(9)).expect("a new term");
    assert_eq!((s.owner.as_str(), s.term, s.joined_incarnation("a")), ("a", 5, 9));
    // A new leader gives a node nothing before the node has reported its incarnation.
    let reported = |n: &str| (n != "b").then_some(9);
    assert_eq!(seize(&p, sound_if(|_| true), reported).map(|s| s.owner), Some("a".into()));
    assert_eq!(seize(&p, sound_if(|n| n == "b"), |_| None), None);
    // A follower that came back with an empty disk does not count until it joins again.
    let s = seize(&p, sound_if(|n| n != "b"), |n| Some(if n == "b" { 9 } else { 7 })).expect("b is dropped");
    assert_eq!((s.owner.as_str(), s.term, s.in_sync), ("a", 4, names(&["a"])));
    let mut join = order(OrderKind::Join, 4, "b");
    join.incarnation = 9;
    let OrderVerdict::Put(j) = evaluate_order(&partition("a", &["a"]), &join) else { panic!("joined") };
    assert_eq!(j.joined_incarnation("b"), 9);
}

#[test]
fn with_a_pending_grant_only_nodes_in_sync_in_both_terms_are_eligible() {
    let mut p = partition("a", &["a", "b"]);
    p.grant = Some(Grant { term: 5, candidate: "b".into(), in_sync: names(&["b"]) });
    let s = seize(&p, sound_if(|n| n == "b"), |_| Some(0)).expect("the candidate");
    assert_eq!((s.owner.as_str(), s.term), ("b", 6));
    assert_eq!(seize(&p, sound_if(|n| n == "a"), |_| Some(0)), None, "the candidate may have accepted messages alone");
    p.grant = Some(Grant { term: 5, candidate: "b".into(), in_sync: names(&["a", "b"]) });
    let s = seize(&p, sound_if(|n| n == "a"), |_| Some(0)).expect("the owner of the earlier term continues");
    assert_eq!((s.owner.as_str(), s.term, s.grant), ("a", 6, None));
}

#[test]
fn orders_are_granted_or_refused_by_term() {
    let p = partition("a", &["a", "b"]);
    assert_eq!(evaluate_order(&p, &order(OrderKind::Grant, 3, "b")), OrderVerdict::Refused);
    assert_eq!(evaluate_order(&p, &order(OrderKind::Grant, 4, "c")), OrderVerdict::Refused, "not in sync");
    let OrderVerdict::Put(g) = evaluate_order(&p, &order(OrderKind::Grant, 4, "b")) else { panic!("granted") };
    assert_eq!(evaluate_order(&g, &order(OrderKind::Grant, 4, "b")), OrderVerdict::AlreadyInForce);
    assert_eq!(
        evaluate_order(&g, &order(OrderKind::Join, 4, "c")),
        OrderVerdict::Refused,
        "not while a grant is pending"
    );
    let OrderVerdict::Put(o) = evaluate_order(&g, &order(OrderKind::Own, 5, "b")) else { panic!("owned") };
    assert_eq!((o.owner.as_str(), o.term, o.grant.is_none()), ("b", 5, true));
    assert_eq!(evaluate_order(&p, &order(OrderKind::Own, 5, "b")), OrderVerdict::Refused, "nothing was granted");
    assert_eq!(
        evaluate_order(&p, &order(OrderKind::Drop, 0, "a")),
        OrderVerdict::Refused,
        "an owner cannot be dropped"
    );
    let OrderVerdict::Put(d) = evaluate_order(&p, &order(OrderKind::Drop, 0, "b")) else { panic!("dropped") };
    assert_eq!(d.in_sync, names(&["a"]));
}

fn machines(zones: &[(&str, &str, usize)]) -> Vec<StoreMachine> {
    let each = |(z, r, n): &(&str, &str, usize)| {
        let (z, r) = (z.to_string(), r.to_string());
        (0..*n)
            .map(|i| StoreMachine { name: format!("{z}{i}"), zone: z.clone(), region: r.clone() })
            .collect::<Vec<_>>()
    };
    zones.iter().flat_map(each).collect()
}

/// The minimum and maximum over nodes of the partitions that they own, and that they hold.
fn loads(all: &[Partition], live: &[StoreMachine]) -> ((usize, usize), (usize, usize)) {
    let range = |f: &dyn Fn(&Partition, &str) -> bool| {
        let n: Vec<usize> = live.iter().map(|s| all.iter().filter(|p| f(p, &s.name)).count()).collect();
        (*n.iter().min().expect("nodes"), *n.iter().max().expect("nodes"))
    };
    (range(&|p, n| p.replicas[0] == n), range(&|p, n| p.replicas.iter().any(|h| h == n)))
}

#[test]
fn partitions_follow_the_store_machines_at_3_16_and_60() {
    let three = machines(&[("x", "r", 1), ("y", "s", 1), ("z", "t", 1)]);
    let sixteen = machines(&[("a", "r", 3), ("b", "r", 3), ("c", "s", 3), ("d", "s", 2), ("e", "t", 3), ("f", "t", 2)]);
    let sixty = machines(&[("a", "r", 20), ("b", "r", 10), ("c", "s", 20), ("d", "s", 10)]);
    for (live, replica_count) in [(three, 2), (sixteen, 3), (sixty, 3)] {
        let all = layout(&live, replica_count, Spread::default());
        assert_eq!(all.len(), 2 * live.len());
        let (owned, held) = loads(&all, &live);
        assert_eq!(owned, (2, 2), "every node owns two partitions");
        assert!(held.1 - held.0 <= 3, "{held:?}");
        for p in &all {
            let mut replicas = p.replicas.clone();
            replicas.sort();
            replicas.dedup();
            assert_eq!(replicas.len(), replica_count, "on distinct nodes, so one copy survives the tolerated losses");
            let place = |n: &String| live.iter().find(|s| s.name == *n).expect("a node");
            let regions = p.replicas.iter().filter(|h| place(h).region != place(&p.replicas[0]).region).count();
            assert!(live.len() == 3 || regions == 0, "bodies are not copied between regions");
            let zones = p.replicas.iter().filter(|h| place(h).zone != place(&p.replicas[0]).zone).count();
            assert!(zones > 0, "not all in one zone");
        }
        // The partitions of one lost owner pass to more than one other node.
        let successors: std::collections::HashSet<&String> =
            all.iter().filter(|p| p.replicas[0] == live[0].name).map(|p| &p.replicas[1]).collect();
        assert!(successors.len() > 1, "{successors:?}");
    }
    let wide = layout(&machines(&[("a", "r", 2), ("b", "s", 2)]), 2, Spread { zones: 1, regions: 1 });
    assert!(wide.iter().all(|p| p.replicas[0].starts_with('a') != p.replicas[1].starts_with('a')));
}

#[test]
fn added_nodes_receive_replicas_one_move_at_a_time_and_a_retiring_node_is_emptied() {
    let old = machines(&[("a", "r", 3), ("b", "r", 3), ("c", "s", 3), ("d", "s", 3)]);
    let mut all = layout(&old, 3, Spread::default());
    let mut live = old.clone();
    live.extend(machines(&[("e", "r", 1), ("f", "s", 1)]));
    let mut moves = 0;
    while let Some(updated) = rebalance(&all, &live) {
        moves += 1;
        assert!(moves < 40, "rebalancing terminates");
        let at = all.iter().position(|p| p.id == updated.id).expect("that partition");
        all[at] = updated.clone();
        assert_eq!(rebalance(&all, &live), None, "no second move before the first one is complete");
        all[at].owner = updated.replicas[0].clone();
        all[at].in_sync = updated.replicas;
    }
    let ((least, most), held) = loads(&all, &live);
    assert!(least >= 1 && most <= 2 && held.1 - held.0 <= 1, "{least} {most} {held:?}");
    let removed = live.remove(0);
    for p in all.clone().iter().filter(|p| p.replicas.contains(&removed.name)) {
        let updated = replace_replica(p, &removed.name, &all, &live, 3, Spread::default()).expect("another node");
        assert!(!updated.replicas.contains(&removed.name) && updated.replicas.len() == 3);
        assert!(p.in_sync.contains(&updated.replicas[0]), "the preferred owner is in sync already");
        all[p.id as usize] = updated;
    }
    assert!(loads(&all, &live).1.1 <= 8);
}

fn sample(revision: &str, route: &str, good: u32, bad: u32, ms: f64) -> Sample {
    let sent = good + bad;
    let ms_sum = ms * f64::from(good);
    Sample { service: "p".into(), revision: revision.into(), route: route.into(), good, bad, ms_sum, sent }
}

fn rollout(share: u32) -> Rollout {
    Rollout {
        service: "p".into(),
        target: "v2".into(),
        state: "running".into(),
        share,
        within_ms: 10_000,
        began_ms: 0,
        ..Rollout::default()
    }
}

#[test]
fn failures_and_slowness_are_measured_against_the_old_version() {
    let mut monitor = RolloutMonitor::default();
    monitor.add("v2", &sample("v1", "r", 200, 4, 50.0));
    monitor.add("v2", &sample("v2", "r", 20, 1, 70.0));
    assert_eq!(monitor.decide(&rollout(60), 1000, 500, 25.0), RolloutDecision::Wait);
    monitor.add("v2", &sample("v2", "r", 3, 5, 70.0));
    assert!(matches!(monitor.decide(&rollout(60), 1000, 500, 25.0), RolloutDecision::Revert(_)));
    let mut quick = RolloutMonitor::default();
    quick.add("v2", &sample("v1", "r", 200, 0, 1.0));
    quick.add("v2", &sample("v2", "r", 20, 0, 3.0));
    assert_eq!(
        quick.decide(&rollout(60), 1000, 500, 25.0),
        RolloutDecision::Wait,
        "a difference that the network may cause"
    );
    let mut slow = RolloutMonitor::default();
    slow.add("v2", &sample("v1", "r", 200, 0, 50.0));
    slow.add("v2", &sample("v2", "r", 12, 0, 300.0));
    assert!(matches!(slow.decide(&rollout(60), 1000, 500, 25.0), RolloutDecision::Revert(_)));
}

#[test]
fn one_bad_route_among_good_ones_reverts_the_rollout() {
    let mut monitor = RolloutMonitor::default();
    for c in ["r1", "r2", "r3"] {
        monitor.add("v2", &sample("v1", c, 200, 2, 50.0));
        monitor.add("v2", &sample("v2", c, 40, 0, 50.0));
    }
    assert_eq!(monitor.decide(&rollout(60), 1000, 500, 25.0), RolloutDecision::Wait);
    monitor.add("v2", &sample("v2", "r4", 3, 5, 50.0));
    assert!(matches!(monitor.decide(&rollout(60), 1000, 500, 25.0), RolloutDecision::Revert(_)));
}

#[test]
fn a_good_version_is_raised_in_steps_and_settles_in_time() {
    let mut monitor = RolloutMonitor::default();
    let (mut r, mut settled) = (rollout(RolloutMonitor::first_share(0.1)), 0);
    for t in (0..10_000).step_by(100) {
        monitor.add("v2", &sample("v1", "r", 10, 0, 50.0));
        monitor.add("v2", &sample("v2", "r", (r.share / 100 + 1).min(10), 0, 55.0));
        match monitor.decide(&r, t, 500, 25.0) {
            RolloutDecision::Share(s) => {
                assert!(s > r.share && t >= 4000, "exposure stays small: no raise in the first 40% of the time");
                r.share = s;
            }
            RolloutDecision::Settle => {
                settled = t;
                break;
            }
            RolloutDecision::Wait => {}
            RolloutDecision::Revert(why) => panic!("{why}"),
        }
    }
    assert_eq!(r.share, 1000);
    assert!(settled > 0 && settled < 9000, "settled at {settled}");
}

#[test]
fn when_no_node_acts_as_owner_a_node_in_sync_is_given_a_new_term() {
    let mut p = partition("a", &["a", "b"]);
    let r = restore_owner(&p, sound_if(|_| true), |_| Some(0)).expect("the same owner");
    assert_eq!((r.owner.as_str(), r.term, r.seized, r.in_sync), ("a", 5, true, names(&["a", "b"])));
    assert_eq!(restore_owner(&p, sound_if(|n| n == "b"), |_| Some(0)).map(|r| r.owner), Some("b".into()));
    p.grant = Some(Grant { term: 5, candidate: "b".into(), in_sync: names(&["b"]) });
    let r = restore_owner(&p, sound_if(|_| true), |_| Some(0)).expect("the candidate, which may hold more records");
    assert_eq!((r.owner.as_str(), r.term), ("b", 6));
    assert_eq!(restore_owner(&p, sound_if(|n| n == "a"), |_| Some(0)), None);
}
