//! Tests of applying log records to a partition's state.

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

/// A trace with ordered messages, retries, dead-lettered messages and notifications.
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

fn apply_all(state: &mut PartitionState, trace: &[Record], from: usize) {
    for (i, r) in trace.iter().enumerate().skip(from) {
        state.apply(i as u64 + 1, r);
        assert_eq!(state.digest(), state.recompute_digest(), "after record {}", i + 1);
    }
}

#[test]
fn replay_is_deterministic_and_reapplied_records_have_no_effect() {
    let trace = trace();
    let (mut a, mut b) = (PartitionState::new(1000), PartitionState::new(1000));
    apply_all(&mut a, &trace, 0);
    for cut in 0..trace.len() {
        // Interrupts at every record, resumes from a snapshot and replays some records again.
        let mut c = PartitionState::new(1000);
        apply_all(&mut c, &trace[..cut], 0);
        let mut c = PartitionState::restore(&c.snapshot(), 1000).expect("a valid snapshot");
        apply_all(&mut c, &trace, cut.saturating_sub(3));
        assert_eq!(c.digest(), a.digest(), "cut at {cut}");
    }
    apply_all(&mut b, &trace, 0);
    for (i, r) in trace.iter().enumerate() {
        assert!(b.apply(i as u64 + 1, r).is_empty());
    }
    assert_eq!(a.digest(), b.digest());
    assert_eq!(a.messages[&2].state, MessageState::Settled);
    assert_eq!(a.messages[&2].result_tag, "seal");
    assert_eq!(a.messages[&3].state, MessageState::Dead, "its route allows two attempts");
    assert_eq!(a.messages[&4].state, MessageState::Dead, "Never (a response of 422) ends a message without a retry");
    assert_eq!(&a.messages[&4].item.body[..], b"body", "the body of a dead-lettered message is kept");
    assert!(a.messages[&2].notified && !a.messages[&3].notified);
}

#[test]
fn messages_of_an_order_key_are_processed_one_at_a_time() {
    let mut state = PartitionState::new(1000);
    state.apply(1, &record(1, routes(1, &["r-a"], 6)));
    state.apply(2, &record(1, accept("m1", "k")));
    state.apply(3, &record(1, accept("m2", "k")));
    state.apply(4, &record(1, accept("m3", "other")));
    let head = |state: &PartitionState, p: u64| state.is_head(p, &state.messages[&p]);
    assert!(head(&state, 2) && !head(&state, 3) && head(&state, 4));
    assert_eq!(state.apply(5, &record(2, answer(2, Outcome::Failed, 106))), vec![Change::Failed(2)]);
    assert!(!head(&state, 3), "a failed attempt does not end the message");
    assert_eq!(state.apply(6, &record(3, answer(2, Outcome::Done, 107))), vec![Change::Ended(2), Change::Unblocked(3)]);
    assert!(head(&state, 3));
    assert!(state.apply(7, &record(4, answer(2, Outcome::Done, 108))).is_empty(), "the message has already ended");
}

#[test]
fn an_attempt_is_counted_once_however_often_it_is_reported() {
    let mut state = PartitionState::new(1000);
    state.apply(1, &record(1, routes(1, &["r-a"], 3)));
    state.apply(2, &record(1, accept("m1", "")));
    for at in 3..9 {
        let again = state.apply(at, &record(at, answer(2, Outcome::Failed, 7)));
        assert_eq!(again.is_empty(), at > 3);
    }
    assert_eq!((state.messages[&2].state, state.messages[&2].failed.len()), (MessageState::Pending, 1));
    state.apply(9, &record(9, answer(2, Outcome::Failed, 8)));
    state.apply(10, &record(10, answer(2, Outcome::Failed, 9)));
    assert_eq!(state.messages[&2].state, MessageState::Dead);
}

#[test]
fn a_message_id_is_accepted_once() {
    let mut state = PartitionState::new(1000);
    state.apply(1, &record(1, routes(1, &["r-a"], 1)));
    state.apply(2, &record(1, accept("m1", "")));
    assert_eq!(state.apply(3, &record(2, accept("m1", ""))), vec![Change::Duplicate { at: 3, original: 2 }]);
    assert_eq!(state.messages.len(), 1);
}

#[test]
fn expiry_and_removal_of_the_route_end_messages() {
    let mut state = PartitionState::new(1000);
    state.apply(1, &record(1, routes(1, &["r-a"], 1)));
    state.apply(2, &record(1, accept("m1", "")));
    state.apply(3, &record(1, accept("m2", "")));
    state.apply(4, &record(2, Entry::Expire(Positions { positions: vec![2] })));
    assert_eq!(state.messages[&2].state, MessageState::Dead);
    state.apply(5, &record(3, routes(2, &["r-b"], 1)));
    assert_eq!(state.messages[&3].state, MessageState::Dead);
    assert!(!state.has_route("r-a") && state.pending.is_empty());
    state.apply(6, &record(4, routes(1, &["r-a"], 1)));
    assert!(!state.has_route("r-a"), "an older configuration is ignored");
}

#[test]
fn ended_messages_are_removed_after_their_retention_time() {
    let mut state = PartitionState::new(1000);
    state.apply(1, &record(1, routes(1, &["r-a"], 1)));
    state.apply(2, &record(10, accept("m1", "")));
    state.apply(3, &record(20, answer(2, Outcome::Done, 109)));
    state.apply(4, &record(1269, accept("m2", "")));
    assert!(state.messages.contains_key(&2));
    state.apply(5, &record(1271, accept("m3", "")));
    assert!(!state.messages.contains_key(&2) && state.find("", "m1").is_none());
    assert_eq!(state.digest(), state.recompute_digest());
}

#[test]
fn a_corrupted_snapshot_is_rejected() {
    let mut state = PartitionState::new(1000);
    apply_all(&mut state, &trace(), 0);
    let mut s = state.snapshot();
    s.messages[0].failed.push(9);
    assert!(PartitionState::restore(&s, 1000).is_err());
}

#[test]
fn a_delta_of_routes_is_equivalent_to_the_complete_list() {
    let facts = |names: &[&str], tries| match routes(0, names, tries) {
        Entry::Routes(r) => r.routes,
        _ => unreachable!(),
    };
    let whole = |revision, routes| Routes { revision, routes, ..Routes::default() };
    let mut state = PartitionState::new(1000);
    state.apply(1, &record(1, routes(3, &["r-a", "r-b"], 2)));
    state.apply(2, &record(2, accept("m1", "k")));
    // Nothing changed in the fields that the state uses, for example only a time-out: the delta is empty.
    let empty = state.routes_delta(whole(5, facts(&["r-a", "r-b"], 2)));
    assert!(empty.base_revision == 3 && empty.routes.is_empty() && empty.removed.is_empty());
    // A delta against a revision that is no longer current is ignored.
    let outdated = state.routes_delta(whole(9, facts(&["r-c"], 2)));
    state.apply(3, &record(3, Entry::Routes(empty)));
    assert_eq!((state.revision, state.apply(4, &record(4, Entry::Routes(outdated))).len()), (5, 0));
    assert_eq!(state.revision, 5);
    // One route is removed, one added and one changed; the message of the removed route ends.
    let mut next = facts(&["r-b"], 7);
    next.extend(facts(&["r-c"], 2));
    let change = state.routes_delta(whole(9, next.clone()));
    assert_eq!((change.routes.len(), change.removed.clone()), (2, vec!["r-a".to_string()]));
    assert_eq!(state.apply(5, &record(5, Entry::Routes(change))), vec![Change::Ended(2)]);
    assert!(state.has_route("r-b") && state.has_route("r-c") && !state.has_route("r-a"));
    assert!(state.routes_delta(whole(10, next)).routes.is_empty());
    assert_eq!(state.digest(), state.recompute_digest());
}

#[test]
fn an_encoded_snapshot_is_read_as_the_snapshot_and_shares_only_long_bodies() {
    let mut state = PartitionState::new(1000);
    let routes = vec![RouteFacts { route: "r".into(), tries: 3, retain_ms: 60_000 }];
    state.apply(1, &record(1, Entry::Routes(Routes { revision: 1, routes, ..Routes::default() })));
    let lengths = [0, 1, 16 << 10, 5, (16 << 10) - 1, 300_000, 40_000];
    for (n, length) in lengths.into_iter().enumerate() {
        let body = vec![n as u8; length].into();
        let item = Item { id: format!("m{n}"), route: "r".into(), body, order_key: "k".into(), ..Item::default() };
        let accept = Entry::Accept(AcceptRecord { item, delay_ms: 0, generations: None });
        state.apply(n as u64 + 2, &record(n as u64 + 2, accept));
    }
    let encoded = state.encode_snapshot();
    let decoded = <Snapshot as prost::Message>::decode(encoded.concat()).expect("a snapshot");
    assert_eq!(decoded, state.snapshot());
    let shared: usize = encoded.parts.iter().map(|part| part.len()).filter(|len| lengths.contains(len)).sum();
    assert_eq!(shared, (16 << 10) + 300_000 + 40_000);
    // A restored body does not keep the memory of the whole snapshot.
    let restored = PartitionState::restore(&decoded, 1000).expect("a valid snapshot");
    let whole = encoded.concat().as_ptr_range();
    let is_inside = |message: &partition::Message| whole.contains(&message.item.body.as_ptr());
    assert!(!restored.messages.values().any(is_inside));
    assert_eq!(restored.snapshot(), decoded);
}

#[test]
fn the_digest_of_messages_without_keys_and_tenants_is_that_of_earlier_versions() {
    let mut state = PartitionState::new(1000);
    apply_all(&mut state, &trace(), 0);
    assert_eq!(state.digest(), 0x6501_7ce4_6c11_76eb);
    let mut snapshot = state.snapshot();
    // Since then only the field `reached_ms` has been added.
    assert_eq!(prost::Message::encoded_len(&snapshot), 261 + 2);
    snapshot.reached_ms = 0;
    assert_eq!(prost::Message::encoded_len(&snapshot), 261, "no other bytes are added");
}

/// Guards against lost messages: a failure that was reported again after a change of owner was
/// written to the log a second time.
#[test]
fn a_recorded_failure_is_identified_by_its_attempt() {
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
    assert_eq!(
        state.apply(4, &Record { at_ms: 4, entry: Some(Entry::Answer(answer)) }),
        vec![],
        "an attempt is counted once"
    );
}
