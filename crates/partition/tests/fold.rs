//! The fold, played from recorded traces.

use partition::*;
use rpc::messages::{Item, Outcome};

fn record(at_ms: u64, entry: Entry) -> Record {
    Record { at_ms, entry: Some(entry) }
}

fn accept(id: &str, key: &str) -> Entry {
    let item = Item {
        id: id.into(),
        route: "r-a".into(),
        method: "POST".into(),
        path: "/a/1".into(),
        order_key: key.into(),
        notify_url: "http://10.0.0.1:80/done".into(),
        body: b"body".to_vec().into(),
        ..Item::default()
    };
    Entry::Accept(AcceptRecord { item, delay_ms: 0, generations: None })
}

fn answer(position: u64, outcome: Outcome, attempt: u64) -> Entry {
    let result_tag = if outcome == Outcome::Done { "seal" } else { "" };
    Entry::Answer(AnswerRecord { position, outcome: outcome as i32, result_tag: result_tag.into(), attempt })
}

fn routes(revision: u64, names: &[&str], tries: u32) -> Entry {
    let routes =
        names.iter().map(|n| RouteFacts { route: n.to_string(), tries, retain_ms: 60_000 }).collect::<Vec<_>>();
    Entry::Routes(Routes { revision, routes, ..Routes::default() })
}

/// A trace with everything in it: two in order, retries, a dead one, call-backs.
fn trace() -> Vec<Record> {
    vec![
        record(1, routes(3, &["r-a"], 2)),
        record(2, accept("m1", "k")),
        record(3, accept("m2", "k")),
        record(4, accept("m3", "")),
        record(5, Entry::Dispatch(DispatchRecord { position: 2, processor: "u1".into(), node: "h1".into() })),
        record(6, answer(2, Outcome::Failed, 101)),
        record(7, answer(2, Outcome::Done, 102)),
        record(8, answer(4, Outcome::Never, 103)),
        record(9, Entry::Notified(Positions { positions: vec![2] })),
        record(10, answer(3, Outcome::Failed, 104)),
        record(11, answer(3, Outcome::Failed, 105)),
        record(12, Entry::Epoch(Epoch { position: 11, digest: 7 })),
    ]
}

fn play(state: &mut PartitionState, trace: &[Record], from: usize) {
    for (i, r) in trace.iter().enumerate().skip(from) {
        state.apply(i as u64 + 1, r);
        assert_eq!(state.digest(), state.recompute_digest(), "after record {}", i + 1);
    }
}

#[test]
fn replay_gives_the_same_state_and_repeats_change_nothing() {
    let trace = trace();
    let (mut a, mut b) = (PartitionState::new(1000), PartitionState::new(1000));
    play(&mut a, &trace, 0);
    for cut in 0..trace.len() {
        // Stops anywhere, goes on from a snapshot, and sees some records again.
        let mut c = PartitionState::new(1000);
        play(&mut c, &trace[..cut], 0);
        let mut c = PartitionState::restore(&c.snapshot(), 1000).expect("a good snapshot");
        play(&mut c, &trace, cut.saturating_sub(3));
        assert_eq!(c.digest(), a.digest(), "cut at {cut}");
    }
    play(&mut b, &trace, 0);
    for (i, r) in trace.iter().enumerate() {
        assert!(b.apply(i as u64 + 1, r).is_empty());
    }
    assert_eq!(a.digest(), b.digest());
    assert_eq!(a.messages[&2].state, MessageState::Settled);
    assert_eq!(a.messages[&2].result_tag, "seal");
    assert_eq!(a.messages[&3].state, MessageState::Dead, "two failures are all its tries");
    assert_eq!(a.messages[&4].state, MessageState::Dead, "422 ends it at once");
    assert_eq!(&a.messages[&4].item.body[..], b"body", "a dead message's body is kept");
    assert!(a.messages[&2].notified && !a.messages[&3].notified);
}

#[test]
fn one_at_a_time_for_an_order_key() {
    let mut j = PartitionState::new(1000);
    j.apply(1, &record(1, routes(1, &["r-a"], 6)));
    j.apply(2, &record(1, accept("m1", "k")));
    j.apply(3, &record(1, accept("m2", "k")));
    j.apply(4, &record(1, accept("m3", "other")));
    let head = |j: &PartitionState, p: u64| j.is_head(p, &j.messages[&p]);
    assert!(head(&j, 2) && !head(&j, 3) && head(&j, 4));
    assert_eq!(j.apply(5, &record(2, answer(2, Outcome::Failed, 106))), vec![Change::Failed(2)]);
    assert!(!head(&j, 3), "a failed attempt does not end it");
    assert_eq!(j.apply(6, &record(3, answer(2, Outcome::Done, 107))), vec![Change::Ended(2), Change::Unblocked(3)]);
    assert!(head(&j, 3));
    assert!(j.apply(7, &record(4, answer(2, Outcome::Done, 108))).is_empty(), "it has ended already");
}

#[test]
fn an_attempt_counts_once_however_often_it_is_reported() {
    let mut j = PartitionState::new(1000);
    j.apply(1, &record(1, routes(1, &["r-a"], 3)));
    j.apply(2, &record(1, accept("m1", "")));
    for at in 3..9 {
        let again = j.apply(at, &record(at, answer(2, Outcome::Failed, 7)));
        assert_eq!(again.is_empty(), at > 3);
    }
    assert_eq!((j.messages[&2].state, j.messages[&2].failed.len()), (MessageState::Pending, 1));
    j.apply(9, &record(9, answer(2, Outcome::Failed, 8)));
    j.apply(10, &record(10, answer(2, Outcome::Failed, 9)));
    assert_eq!(j.messages[&2].state, MessageState::Dead);
}

#[test]
fn an_id_is_accepted_once() {
    let mut j = PartitionState::new(1000);
    j.apply(1, &record(1, routes(1, &["r-a"], 1)));
    j.apply(2, &record(1, accept("m1", "")));
    assert_eq!(j.apply(3, &record(2, accept("m1", ""))), vec![Change::Duplicate { at: 3, original: 2 }]);
    assert_eq!(j.messages.len(), 1);
}

#[test]
fn a_dropped_route_and_the_retention_end_messages() {
    let mut j = PartitionState::new(1000);
    j.apply(1, &record(1, routes(1, &["r-a"], 1)));
    j.apply(2, &record(1, accept("m1", "")));
    j.apply(3, &record(1, accept("m2", "")));
    j.apply(4, &record(2, Entry::Expire(Positions { positions: vec![2] })));
    assert_eq!(j.messages[&2].state, MessageState::Dead);
    j.apply(5, &record(3, routes(2, &["r-b"], 1)));
    assert_eq!(j.messages[&3].state, MessageState::Dead);
    assert!(!j.has_route("r-a") && j.pending.is_empty());
    j.apply(6, &record(4, routes(1, &["r-a"], 1)));
    assert!(!j.has_route("r-a"), "a configuration is never gone back on");
}

#[test]
fn what_ended_is_forgotten_once_it_may_not_be_asked_for() {
    let mut j = PartitionState::new(1000);
    j.apply(1, &record(1, routes(1, &["r-a"], 1)));
    j.apply(2, &record(10, accept("m1", "")));
    j.apply(3, &record(20, answer(2, Outcome::Done, 109)));
    j.apply(4, &record(1269, accept("m2", "")));
    assert!(j.messages.contains_key(&2));
    j.apply(5, &record(1271, accept("m3", "")));
    assert!(!j.messages.contains_key(&2) && j.find("", "m1").is_none());
    assert_eq!(j.digest(), j.recompute_digest());
}

#[test]
fn a_damaged_snapshot_is_not_taken() {
    let mut j = PartitionState::new(1000);
    play(&mut j, &trace(), 0);
    let mut s = j.snapshot();
    s.messages[0].failed.push(9);
    assert!(PartitionState::restore(&s, 1000).is_err());
}

#[test]
fn changes_of_routes_give_what_the_whole_list_gives() {
    let facts = |names: &[&str], tries| match routes(0, names, tries) {
        Entry::Routes(r) => r.routes,
        _ => unreachable!(),
    };
    let whole = |revision, routes| Routes { revision, routes, ..Routes::default() };
    let mut j = PartitionState::new(1000);
    j.apply(1, &record(1, routes(3, &["r-a", "r-b"], 2)));
    j.apply(2, &record(2, accept("m1", "k")));
    // A time-out changes nothing that the fold knows: the record is all but empty.
    let small = j.routes_delta(whole(5, facts(&["r-a", "r-b"], 2)));
    assert!(small.base_revision == 3 && small.routes.is_empty() && small.removed.is_empty());
    // Written against a revision that is not there any more: nothing comes of it.
    let late = j.routes_delta(whole(9, facts(&["r-c"], 2)));
    j.apply(3, &record(3, Entry::Routes(small)));
    assert_eq!((j.revision, j.apply(4, &record(4, Entry::Routes(late))).len()), (5, 0));
    assert_eq!(j.revision, 5);
    // One goes, one comes, one changes; a message of the one that goes has ended.
    let mut next = facts(&["r-b"], 7);
    next.extend(facts(&["r-c"], 2));
    let change = j.routes_delta(whole(9, next.clone()));
    assert_eq!((change.routes.len(), change.removed.clone()), (2, vec!["r-a".to_string()]));
    assert_eq!(j.apply(5, &record(5, Entry::Routes(change))), vec![Change::Ended(2)]);
    assert!(j.has_route("r-b") && j.has_route("r-c") && !j.has_route("r-a"));
    assert!(j.routes_delta(whole(10, next)).routes.is_empty());
    assert_eq!(j.digest(), j.recompute_digest());
}

#[test]
fn the_digest_of_messages_without_keys_and_tenants_is_that_of_earlier_versions() {
    let mut state = PartitionState::new(1000);
    play(&mut state, &trace(), 0);
    assert_eq!(state.digest(), 0x6501_7ce4_6c11_76eb);
    let mut snapshot = state.snapshot();
    // The time that the log has reached is a field of its own since; nothing else is added.
    assert_eq!(prost::Message::encoded_len(&snapshot), 261 + 2);
    snapshot.reached_ms = 0;
    assert_eq!(prost::Message::encoded_len(&snapshot), 261, "nor is a byte added");
}

/// Guards against LOST: a failure that was told again after a change of owner was written again.
#[test]
fn a_failure_that_is_counted_is_known_by_its_attempt() {
    let mut state = PartitionState::new(1000);
    let routes = vec![RouteFacts { route: "r".into(), tries: 3, retain_ms: 60_000 }];
    let item = Item { id: "m".into(), route: "r".into(), ..Item::default() };
    let answer = AnswerRecord { position: 2, outcome: Outcome::Failed as i32, result_tag: String::new(), attempt: 7 };
    let entries = [
        Entry::Routes(Routes { revision: 1, routes, ..Routes::default() }),
        Entry::Accept(AcceptRecord { item, delay_ms: 0, generations: None }),
        Entry::Answer(answer.clone()),
    ];
    for (position, entry) in (1..).zip(entries) {
        state.apply(position, &Record { at_ms: position, entry: Some(entry) });
    }
    assert!(state.is_failure_counted(2, 7) && !state.is_failure_counted(2, 8) && !state.is_failure_counted(1, 7));
    assert_eq!(state.apply(4, &Record { at_ms: 4, entry: Some(Entry::Answer(answer)) }), vec![], "it counts once");
}
