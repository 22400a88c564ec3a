//! What the one in the chair decides: owners, homes, verdicts.

use dovetail::msg::*;
use foreman::*;

fn names(n: &[&str]) -> Vec<String> {
    n.iter().map(|s| s.to_string()).collect()
}

fn partition(owner: &str, insync: &[&str]) -> Partition {
    Partition {
        id: 1,
        term: 4,
        owner: owner.into(),
        insync: names(insync),
        homes: names(&["a", "b"]),
        ..Partition::default()
    }
}

fn order(kind: OrderKind, term: u64, node: &str) -> Order {
    Order { partition: 1, term, node: node.into(), kind: kind as i32, leaving: String::new() }
}

#[test]
fn a_dead_owner_is_succeeded_only_by_one_in_sync() {
    let p = partition("a", &["a", "b"]);
    assert_eq!(seize(&p, |_| true), None);
    let s = seize(&p, |n| n != "a").expect("b takes over");
    assert_eq!((s.owner.as_str(), s.term, s.seized, s.insync), ("b", 5, true, names(&["b"])));
    assert_eq!(seize(&partition("a", &["a"]), |n| n != "a"), None, "nobody else holds everything");
    let s = seize(&p, |n| n != "b").expect("b is dropped");
    assert_eq!((s.owner.as_str(), s.term, s.insync), ("a", 4, names(&["a"])));
}

#[test]
fn with_a_grant_out_only_those_of_both_terms_are_eligible() {
    let mut p = partition("a", &["a", "b"]);
    p.grant = Some(Grant { term: 5, candidate: "b".into(), insync: names(&["b"]) });
    let s = seize(&p, |n| n == "b").expect("the candidate");
    assert_eq!((s.owner.as_str(), s.term), ("b", 6));
    assert_eq!(seize(&p, |n| n == "a"), None, "the candidate may have taken messages alone");
    p.grant = Some(Grant { term: 5, candidate: "b".into(), insync: names(&["a", "b"]) });
    let s = seize(&p, |n| n == "a").expect("the incumbent goes on");
    assert_eq!((s.owner.as_str(), s.term, s.grant), ("a", 6, None));
}

#[test]
fn orders_are_ruled_by_term() {
    let p = partition("a", &["a", "b"]);
    assert_eq!(rule(&p, &order(OrderKind::Grant, 3, "b")), Ruling::Refused);
    assert_eq!(rule(&p, &order(OrderKind::Grant, 4, "c")), Ruling::Refused, "not in sync");
    let Ruling::Put(g) = rule(&p, &order(OrderKind::Grant, 4, "b")) else { panic!("granted") };
    assert_eq!(rule(&g, &order(OrderKind::Grant, 4, "b")), Ruling::Stands);
    assert_eq!(rule(&g, &order(OrderKind::Join, 4, "c")), Ruling::Refused, "not while a grant is out");
    let Ruling::Put(o) = rule(&g, &order(OrderKind::Own, 5, "b")) else { panic!("owned") };
    assert_eq!((o.owner.as_str(), o.term, o.grant.is_none()), ("b", 5, true));
    assert_eq!(rule(&p, &order(OrderKind::Own, 5, "b")), Ruling::Refused, "nothing was granted");
    assert_eq!(rule(&p, &order(OrderKind::Drop, 0, "a")), Ruling::Refused, "an owner does not just leave");
    let Ruling::Put(d) = rule(&p, &order(OrderKind::Drop, 0, "b")) else { panic!("dropped") };
    assert_eq!(d.insync, names(&["a"]));
}

#[test]
fn partitions_are_spread_over_nodes_and_zones() {
    let nodes: Vec<(String, String)> =
        [("s1", "x"), ("s2", "x"), ("s3", "y")].iter().map(|(a, b)| (a.to_string(), b.to_string())).collect();
    let l = layout(&nodes, 6, 2);
    for n in ["s1", "s2", "s3"] {
        assert_eq!(l.iter().filter(|p| p.owner == n).count(), 2);
    }
    for p in &l {
        assert_eq!(p.insync.len(), 2);
        assert_ne!(p.insync[0], p.insync[1]);
    }
    let live = nodes.clone();
    let moved = rehome(&l[0], "s1", &live, |_| 0).expect("a new home");
    assert!(!moved.homes.contains(&"s1".to_string()) && moved.homes.len() == 2);
}

fn sample(revision: &str, channel: &str, good: u32, bad: u32, ms: f64) -> Sample {
    let sent = good + bad;
    let ms_sum = ms * f64::from(good);
    Sample { plant: "p".into(), revision: revision.into(), channel: channel.into(), good, bad, ms_sum, sent }
}

fn rollout(share: u32) -> Rollout {
    Rollout {
        plant: "p".into(),
        target: "v2".into(),
        state: "running".into(),
        share,
        within_ms: 10_000,
        began_ms: 0,
        ..Rollout::default()
    }
}

#[test]
fn failures_and_slowness_are_told_from_what_the_old_version_does() {
    let mut p = Plumb::default();
    p.add("v2", &sample("v1", "r", 200, 4, 50.0));
    p.add("v2", &sample("v2", "r", 20, 1, 70.0));
    assert_eq!(p.advise(&rollout(60), 1000, 500, 25.0), Advice::Wait);
    p.add("v2", &sample("v2", "r", 3, 5, 70.0));
    assert!(matches!(p.advise(&rollout(60), 1000, 500, 25.0), Advice::Revert(_)));
    let mut quick = Plumb::default();
    quick.add("v2", &sample("v1", "r", 200, 0, 1.0));
    quick.add("v2", &sample("v2", "r", 20, 0, 3.0));
    assert_eq!(quick.advise(&rollout(60), 1000, 500, 25.0), Advice::Wait, "the way there takes that long");
    let mut slow = Plumb::default();
    slow.add("v2", &sample("v1", "r", 200, 0, 50.0));
    slow.add("v2", &sample("v2", "r", 12, 0, 300.0));
    assert!(matches!(slow.advise(&rollout(60), 1000, 500, 25.0), Advice::Revert(_)));
}

#[test]
fn one_bad_route_among_good_ones_is_found() {
    let mut p = Plumb::default();
    for c in ["r1", "r2", "r3"] {
        p.add("v2", &sample("v1", c, 200, 2, 50.0));
        p.add("v2", &sample("v2", c, 40, 0, 50.0));
    }
    assert_eq!(p.advise(&rollout(60), 1000, 500, 25.0), Advice::Wait);
    p.add("v2", &sample("v2", "r4", 3, 5, 50.0));
    assert!(matches!(p.advise(&rollout(60), 1000, 500, 25.0), Advice::Revert(_)));
}

#[test]
fn a_good_version_is_raised_in_steps_and_settles_in_time() {
    let mut p = Plumb::default();
    let (mut r, mut settled) = (rollout(Plumb::first_share(0.1)), 0);
    for t in (0..10_000).step_by(100) {
        p.add("v2", &sample("v1", "r", 10, 0, 50.0));
        p.add("v2", &sample("v2", "r", (r.share / 100 + 1).min(10), 0, 55.0));
        match p.advise(&r, t, 500, 25.0) {
            Advice::Share(s) => {
                assert!(s > r.share && t >= 4000, "exposure stays small at first");
                r.share = s;
            }
            Advice::Settle => {
                settled = t;
                break;
            }
            Advice::Wait => {}
            Advice::Revert(why) => panic!("{why}"),
        }
    }
    assert_eq!(r.share, 1000);
    assert!(settled > 0 && settled < 9000, "settled at {settled}");
}

#[test]
fn when_nobody_acts_as_owner_one_that_holds_everything_begins_anew() {
    let mut p = partition("a", &["a", "b"]);
    let r = revive(&p, |_| true).expect("the same owner");
    assert_eq!((r.owner.as_str(), r.term, r.seized, r.insync), ("a", 5, true, names(&["a", "b"])));
    assert_eq!(revive(&p, |n| n == "b").map(|r| r.owner), Some("b".into()));
    p.grant = Some(Grant { term: 5, candidate: "b".into(), insync: names(&["b"]) });
    let r = revive(&p, |_| true).expect("the candidate may have more");
    assert_eq!((r.owner.as_str(), r.term), ("b", 6));
    assert_eq!(revive(&p, |n| n == "a"), None);
}
