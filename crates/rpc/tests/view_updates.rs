//! Changes instead of the whole: with gaps, out of order, and from a source that
//! began anew.

use rpc::messages::*;

fn node(name: &str, incarnation: u64) -> Node {
    Node { name: name.into(), role: "front".into(), incarnation, ..Node::default() }
}

fn processor(id: &str, draining: bool) -> Processor {
    Processor { id: id.into(), draining, ..Processor::default() }
}

fn publish(r: &mut Membership, version: u64, nodes: &[Node], processors: &[Processor]) {
    assert!(r.differs(&nodes.iter().collect::<Vec<_>>(), processors, true));
    r.publish(version, &nodes.iter().collect::<Vec<_>>(), processors, true);
    assert!(!r.differs(&nodes.iter().collect::<Vec<_>>(), processors, true));
}

/// Names, incarnations, ids and what drains: all that counts.
type View = (Vec<(String, u64)>, Vec<(String, bool)>);

fn view(r: &Membership) -> View {
    let n = r.nodes.iter().map(|n| (n.name.clone(), n.incarnation)).collect();
    (n, r.processors.iter().map(|u| (u.id.clone(), u.draining)).collect())
}

const T1: u64 = 1 << 24;
const T2: u64 = 2 << 24;

#[test]
fn a_membership_by_changes_is_the_whole_membership() {
    let mut leader = Membership::default();
    publish(&mut leader, T1 + 1, &[node("a", 1), node("b", 1)], &[processor("u1", false), processor("u2", false)]);
    let mut far = Membership::default();
    assert!(far.take(&leader.since(0)));
    let mut late = far.clone();
    publish(&mut leader, T1 + 2, &[node("a", 1), node("b", 2)], &[processor("u1", true), processor("u2", false)]);
    let first = leader.since(far.version);
    assert_eq!((first.nodes.len(), first.processors.len(), first.since), (1, 1, T1 + 1), "only what changed");
    publish(&mut leader, T1 + 3, &[node("b", 2), node("c", 1)], &[processor("u2", false), processor("u3", false)]);
    let second = leader.since(first.version);
    // Out of order: the second leaves a gap, and is not taken.
    assert!(!late.take(&second));
    assert!(far.take(&first) && far.take(&second) && !far.take(&first), "an older one changes nothing");
    assert_eq!(view(&far), view(&leader));
    // One that missed both gets them in one, from a neighbour as well.
    assert!(late.take(&far.since(late.version)));
    assert_eq!(view(&late), view(&leader));
}

#[test]
fn a_leader_that_began_anew_sends_the_whole() {
    let mut old = Membership::default();
    publish(&mut old, T1 + 1, &[node("a", 1), node("b", 1)], &[processor("u1", false)]);
    // The next leader has this copy; the old one still tells some of another change.
    let mut next = Membership::default();
    next.take(&old.since(0));
    publish(&mut old, T1 + 2, &[node("a", 1)], &[processor("u1", true)]);
    let mut far = Membership::default();
    far.take(&old.since(0));
    publish(&mut next, T2 + 1, &[node("a", 1), node("b", 1), node("c", 1)], &[processor("u1", false)]);
    let news = next.since(far.version);
    assert_eq!(news.since, 0, "what it did not know of cannot be told by changes");
    assert!(far.take(&news));
    assert_eq!(view(&far), view(&next));
    assert!(!far.take(&old.since(T1 + 1)), "the old leader is not heard any more");
}

#[test]
fn a_leader_that_has_not_listed_leaves_the_processors_alone() {
    let mut far = Membership::default();
    publish(&mut far, T1 + 1, &[node("a", 1)], &[processor("u1", true)]);
    let mut blank = Membership::default();
    let b = node("b", 1);
    blank.publish(T2 + 1, &[&b], &[], false);
    assert!(far.take(&blank.since(far.version)));
    assert_eq!(view(&far), (vec![("b".into(), 1)], vec![("u1".into(), true)]));
    assert!(far.listed);
    // Once it has, its list counts.
    blank.publish(T2 + 2, &[&b], &[processor("u2", false)], true);
    assert!(far.take(&blank.since(0)));
    assert_eq!(view(&far).1, vec![("u2".into(), false)]);
}

#[test]
fn removals_too_old_to_remember_are_told_by_the_whole() {
    let mut leader = Membership::default();
    let ids: Vec<Processor> = (0..600).map(|n| processor(&format!("u{n:04}"), false)).collect();
    publish(&mut leader, T1 + 1, &[], &ids);
    let mut far = Membership::default();
    far.take(&leader.since(0));
    for n in 1..=500u64 {
        publish(&mut leader, T1 + 1 + n, &[], &ids[n as usize..]);
    }
    let news = leader.since(far.version);
    assert_eq!(news.since, 0);
    assert!(far.take(&news));
    assert_eq!(view(&far), view(&leader));
    assert!(leader.since(T1 + 499).processors.is_empty() && leader.since(T1 + 499).gone.len() == 2);
}

#[test]
fn a_assignments_by_changes_is_the_whole_assignments() {
    let part = |id: u32, term: u64, changed: u64| Partition { id, term, changed, ..Partition::default() };
    let mut leader =
        Assignments { version: 5, partitions: (0..8).map(|i| part(i, 1, 5)).collect(), ..Assignments::default() };
    let mut far = Assignments::default();
    assert!(far.take(&leader.since(0)));
    leader.partitions[3] = part(3, 2, 7);
    leader.version = 7;
    let first = leader.since(far.version);
    assert_eq!(first.partitions.len(), 1);
    leader.partitions[3] = part(3, 3, 9);
    leader.partitions[4] = part(4, 2, 8);
    leader.version = 9;
    let second = leader.since(7);
    assert!(!far.clone().take(&second), "a gap is not taken");
    assert!(far.take(&first) && far.take(&second) && !far.take(&first));
    assert_eq!(far, leader);
}

#[test]
fn a_large_membership_is_told_packed_and_a_small_one_as_it_is() {
    let of = |count: usize| {
        let processor = |n: usize| Processor {
            id: format!("i-{:08x}", n.wrapping_mul(0x9e37_79b9)),
            service: "a-service".into(),
            address: format!("10.{}.{}.9:8080", n / 250, n % 250),
            zone: "a-zone".into(),
            revision: "v1".into(),
            capacity: 6,
            changed: 1 << 24,
            ..Processor::default()
        };
        Membership {
            version: 1 << 24,
            processors: (0..count).map(processor).collect(),
            listed: true,
            ..Membership::default()
        }
    };
    let (small, large) = (of(300), of(3000));
    let mut news = ViewUpdate::default();
    news.put_membership(small.clone());
    assert!(news.packed_membership.is_empty() && news.told_membership().as_deref() == Some(&small));
    let mut news = ViewUpdate::default();
    news.put_membership(large.clone());
    let packed = news.packed_membership.len();
    assert!(news.membership.is_none() && packed * 2 < prost::Message::encoded_len(&large), "{packed} bytes");
    assert_eq!(news.told_membership().as_deref(), Some(&large));
    news.packed_membership.truncate(packed / 2);
    assert!(news.told_membership().is_none(), "what is not whole is not taken");
    assert!(ViewUpdate::default().told_membership().is_none());
}

#[test]
fn what_others_lack_is_prepared_once_for_a_version_and_is_the_same_as_made_anew() {
    let node = |name: &str, changed: u64| Node { name: name.into(), changed, ..Node::default() };
    let mut membership = Membership {
        version: T1 + 2,
        from: T1,
        nodes: vec![node("a", T1 + 1), node("b", T1 + 2)],
        ..Membership::default()
    };
    let mut updates = rpc::MembershipUpdates::default();
    for round in 0..2 {
        for have in (0..30).chain([T1, T1 + 1, T1 + 2, T1]) {
            let mut news = ViewUpdate::default();
            updates.put(&mut news, &membership, have);
            assert_eq!(news.told_membership().as_deref(), Some(&membership.since(have)), "{round}: {have}");
        }
        membership.version = T1 + 3;
        membership.nodes[0] = node("a", T1 + 3);
    }
}
