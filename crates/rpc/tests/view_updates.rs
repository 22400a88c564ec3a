//! Deltas of membership and assignments: with gaps, out of order, and after a change of leader.

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

/// The compared contents: nodes by name and incarnation, processors by id and draining flag.
type View = (Vec<(String, u64)>, Vec<(String, bool)>);

fn view(r: &Membership) -> View {
    let n = r.nodes.iter().map(|n| (n.name.clone(), n.incarnation)).collect();
    (n, r.processors.iter().map(|u| (u.id.clone(), u.draining)).collect())
}

const TERM_1: u64 = 1 << 24;
const TERM_2: u64 = 2 << 24;

#[test]
fn a_membership_by_changes_is_the_whole_membership() {
    let mut leader = Membership::default();
    publish(&mut leader, TERM_1 + 1, &[node("a", 1), node("b", 1)], &[processor("u1", false), processor("u2", false)]);
    let mut receiver = Membership::default();
    assert!(receiver.apply(&leader.delta_since(0)));
    let mut late_receiver = receiver.clone();
    publish(&mut leader, TERM_1 + 2, &[node("a", 1), node("b", 2)], &[processor("u1", true), processor("u2", false)]);
    let first = leader.delta_since(receiver.version);
    assert_eq!(
        (first.nodes.len(), first.processors.len(), first.since),
        (1, 1, TERM_1 + 1),
        "the delta holds only what changed"
    );
    publish(&mut leader, TERM_1 + 3, &[node("b", 2), node("c", 1)], &[processor("u2", false), processor("u3", false)]);
    let second = leader.delta_since(first.version);
    // Out of order: the second delta would leave a gap and is rejected.
    assert!(!late_receiver.apply(&second));
    assert!(
        receiver.apply(&first) && receiver.apply(&second) && !receiver.apply(&first),
        "an older delta changes nothing"
    );
    assert_eq!(view(&receiver), view(&leader));
    // A receiver that missed both gets them as one delta, also from a peer that is not the leader.
    assert!(late_receiver.apply(&receiver.delta_since(late_receiver.version)));
    assert_eq!(view(&late_receiver), view(&leader));
}

#[test]
fn a_leader_that_began_anew_sends_the_whole() {
    let mut old = Membership::default();
    publish(&mut old, TERM_1 + 1, &[node("a", 1), node("b", 1)], &[processor("u1", false)]);
    // The next leader starts from this copy, while the old one still sends a later change to others.
    let mut next = Membership::default();
    next.apply(&old.delta_since(0));
    publish(&mut old, TERM_1 + 2, &[node("a", 1)], &[processor("u1", true)]);
    let mut receiver = Membership::default();
    receiver.apply(&old.delta_since(0));
    publish(&mut next, TERM_2 + 1, &[node("a", 1), node("b", 1), node("c", 1)], &[processor("u1", false)]);
    let update = next.delta_since(receiver.version);
    assert_eq!(update.since, 0, "the new leader has no delta against a version that it never had");
    assert!(receiver.apply(&update));
    assert_eq!(view(&receiver), view(&next));
    assert!(!receiver.apply(&old.delta_since(TERM_1 + 1)), "updates of the old leader are rejected");
}

#[test]
fn a_leader_that_has_not_listed_leaves_the_processors_alone() {
    let mut receiver = Membership::default();
    publish(&mut receiver, TERM_1 + 1, &[node("a", 1)], &[processor("u1", true)]);
    let mut blank = Membership::default();
    let b = node("b", 1);
    blank.publish(TERM_2 + 1, &[&b], &[], false);
    assert!(receiver.apply(&blank.delta_since(receiver.version)));
    assert_eq!(view(&receiver), (vec![("b".into(), 1)], vec![("u1".into(), true)]));
    assert!(receiver.listed);
    // Once the leader has listed them, its list is adopted.
    blank.publish(TERM_2 + 2, &[&b], &[processor("u2", false)], true);
    assert!(receiver.apply(&blank.delta_since(0)));
    assert_eq!(view(&receiver).1, vec![("u2".into(), false)]);
}

#[test]
fn removals_too_old_to_remember_are_told_by_the_whole() {
    let mut leader = Membership::default();
    let ids: Vec<Processor> = (0..600).map(|n| processor(&format!("u{n:04}"), false)).collect();
    publish(&mut leader, TERM_1 + 1, &[], &ids);
    let mut receiver = Membership::default();
    receiver.apply(&leader.delta_since(0));
    for n in 1..=500u64 {
        publish(&mut leader, TERM_1 + 1 + n, &[], &ids[n as usize..]);
    }
    let update = leader.delta_since(receiver.version);
    assert_eq!(update.since, 0);
    assert!(receiver.apply(&update));
    assert_eq!(view(&receiver), view(&leader));
    assert!(
        leader.delta_since(TERM_1 + 499).processors.is_empty() && leader.delta_since(TERM_1 + 499).removals.len() == 2
    );
}

#[test]
fn a_assignments_by_changes_is_the_whole_assignments() {
    let partition = |id: u32, term: u64, changed: u64| Partition { id, term, changed, ..Partition::default() };
    let mut leader =
        Assignments { version: 5, partitions: (0..8).map(|i| partition(i, 1, 5)).collect(), ..Assignments::default() };
    let mut receiver = Assignments::default();
    assert!(receiver.apply(&leader.delta_since(0)));
    leader.partitions[3] = partition(3, 2, 7);
    leader.version = 7;
    let first = leader.delta_since(receiver.version);
    assert_eq!(first.partitions.len(), 1);
    leader.partitions[3] = partition(3, 3, 9);
    leader.partitions[4] = partition(4, 2, 8);
    leader.version = 9;
    let second = leader.delta_since(7);
    assert!(!receiver.clone().apply(&second), "a delta with a gap is rejected");
    assert!(receiver.apply(&first) && receiver.apply(&second) && !receiver.apply(&first));
    assert_eq!(receiver, leader);
}

#[test]
fn a_large_membership_is_told_packed_and_a_small_one_as_it_is() {
    let membership_with = |count: usize| {
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
    let (small, large) = (membership_with(300), membership_with(3000));
    let mut update = ViewUpdate::default();
    update.put_membership(small.clone());
    assert!(update.packed_membership.is_empty() && update.decoded_membership().as_deref() == Some(&small));
    let mut update = ViewUpdate::default();
    update.put_membership(large.clone());
    let packed = update.packed_membership.len();
    assert!(
        update.membership.is_none() && packed * 2 < prost::Message::encoded_len(&large),
        "packed size {packed} bytes"
    );
    assert_eq!(update.decoded_membership().as_deref(), Some(&large));
    update.packed_membership.truncate(packed / 2);
    assert!(update.decoded_membership().is_none(), "truncated data is rejected");
    assert!(ViewUpdate::default().decoded_membership().is_none());
}

#[test]
fn what_others_lack_is_prepared_once_for_a_version_and_is_the_same_as_made_anew() {
    let node = |name: &str, changed: u64| Node { name: name.into(), changed, ..Node::default() };
    let mut membership = Membership {
        version: TERM_1 + 2,
        removals_from: TERM_1,
        nodes: vec![node("a", TERM_1 + 1), node("b", TERM_1 + 2)],
        ..Membership::default()
    };
    let mut cache = rpc::MembershipUpdates::default();
    for round in 0..2 {
        for have in (0..30).chain([TERM_1, TERM_1 + 1, TERM_1 + 2, TERM_1]) {
            let mut update = ViewUpdate::default();
            cache.put(&mut update, &membership, have);
            assert_eq!(
                update.decoded_membership().as_deref(),
                Some(&membership.delta_since(have)),
                "round {round}, have {have}"
            );
        }
        membership.version = TERM_1 + 3;
        membership.nodes[0] = node("a", TERM_1 + 3);
    }
}
