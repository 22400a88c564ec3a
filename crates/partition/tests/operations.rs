//! Operation keys in the fold: which accept repeats another, for how long, and for whom.

use partition::*;
use rpc::messages::{Item, OperationId, OrderKey, Outcome, PlacementGenerations, PlacementSubject};

const WINDOW: u64 = 4000;
/// How long a message of an order key may be under way.
const HOLD: u64 = 8000;
const RETENTION: Retention = Retention { status_ms: 1000, operations_ms: WINDOW };

fn record(at_ms: u64, entry: Entry) -> Record {
    Record { at_ms, entry: Some(entry) }
}

fn operation(low: u64) -> Option<OperationId> {
    Some(OperationId { high: 7, low })
}

fn item(id: &str, tenant: &str, operation: Option<OperationId>) -> Item {
    Item {
        id: id.into(),
        route: "r-a".into(),
        tenant: tenant.into(),
        operation,
        body: b"body".to_vec().into(),
        ..Item::default()
    }
}

fn accept(item: Item) -> Entry {
    Entry::Accept(AcceptRecord { item, delay_ms: 0, generations: None })
}

fn answer(position: u64, outcome: Outcome) -> Entry {
    let result_tag = if outcome == Outcome::Done { "tag" } else { "" };
    Entry::Answer(AnswerRecord {
        position,
        outcome: outcome as i32,
        result_tag: result_tag.into(),
        attempt: position + 100,
    })
}

fn with_route() -> PartitionState {
    let routes = vec![RouteFacts { route: "r-a".into(), tries: 1, retain_ms: 60_000 }];
    let mut state = PartitionState::new(RETENTION);
    state.apply(1, &record(1, Entry::Routes(Routes { revision: 1, routes, ..Routes::default() })));
    state
}

#[test]
fn a_repeat_inside_the_window_is_the_first_message_whatever_its_id() {
    let mut state = with_route();
    state.apply(2, &record(10, accept(item("m1", "clinic", operation(1)))));
    let again = state.apply(3, &record(20, accept(item("m2", "clinic", operation(1)))));
    assert_eq!(again, vec![Change::Duplicate { at: 3, original: 2 }]);
    assert_eq!(state.find_duplicate(&item("m3", "clinic", operation(1)), 30), Some(2));
    assert_eq!(state.find_duplicate(&item("m3", "clinic", operation(2)), 30), None);
    assert_eq!(state.messages.len(), 1);
}

#[test]
fn a_message_that_has_ended_well_or_not_is_known_by_its_key_until_the_window_is_over() {
    for outcome in [Outcome::Done, Outcome::Never] {
        let mut state = with_route();
        state.apply(2, &record(10, accept(item("m1", "clinic", operation(1)))));
        state.apply(3, &record(20, answer(2, outcome)));
        // What is said of its state alone is over long before that.
        let last = 10 + WINDOW * 5 / 4;
        state.apply(4, &record(last, accept(item("other", "clinic", operation(2)))));
        assert_eq!(state.find_duplicate(&item("m2", "clinic", operation(1)), last), Some(2));
        state.apply(5, &record(last + 1, accept(item("m2", "clinic", operation(1)))));
        assert_eq!(state.find_duplicate(&item("m3", "clinic", operation(1)), last + 2), Some(5), "a new one by then");
        assert_eq!(state.digest(), state.recompute_digest());
    }
}

#[test]
fn a_message_that_outlives_its_key_does_not_answer_for_it() {
    let mut state = with_route();
    state.apply(2, &record(10, accept(item("m1", "clinic", operation(1)))));
    let later = 11 + WINDOW * 5 / 4;
    assert_eq!(state.apply(3, &record(later, accept(item("m2", "clinic", operation(1))))), vec![Change::Accepted(3)]);
    state.apply(4, &record(later + 1, answer(2, Outcome::Done)));
    state.apply(5, &record(later + 2000, accept(item("m3", "clinic", operation(3)))));
    assert!(!state.messages.contains_key(&2), "the first one is forgotten");
    assert_eq!(
        state.find_duplicate(&item("m4", "clinic", operation(1)), later + 2000),
        Some(3),
        "its successor is not"
    );
}

#[test]
fn keys_are_forgotten_with_their_messages_so_that_their_number_is_bounded() {
    let mut state = with_route();
    for n in 0..500u64 {
        let at = 10 + n * 100;
        state.apply(2 + 2 * n, &record(at, accept(item(&format!("m{n}"), "clinic", operation(n)))));
        state.apply(3 + 2 * n, &record(at + 1, answer(2 + 2 * n, Outcome::Done)));
        assert_eq!(state.operation_count(), state.messages.len());
        assert!(state.messages.len() <= 52, "one window and a quarter of them");
    }
    let without = PartitionState::new(RETENTION).memory_bytes();
    assert!(state.memory_bytes() > without + state.messages.len() * 1024, "keys count in what a store may hold");
}

#[test]
fn a_snapshot_carries_the_keys_and_says_the_same_of_every_repeat() {
    let mut state = with_route();
    state.apply(2, &record(10, accept(item("m1", "clinic", operation(1)))));
    state.apply(3, &record(20, accept(item("m2", "shop", operation(2)))));
    state.apply(4, &record(30, answer(2, Outcome::Done)));
    let mut restored = PartitionState::restore(&state.snapshot(), RETENTION).expect("a good snapshot");
    for low in [1, 2] {
        let again = item("m9", "clinic", operation(low));
        assert_eq!(restored.find_duplicate(&again, 40), state.find_duplicate(&again, 40));
        assert!(restored.find_duplicate(&again, 40).is_some());
    }
    // Both forget at the same record.
    let late = 31 + WINDOW * 5 / 4;
    for s in [&mut state, &mut restored] {
        s.apply(5, &record(late, accept(item("m3", "clinic", operation(3)))));
    }
    assert_eq!(state.digest(), restored.digest());
    assert_eq!(state.operation_count(), restored.operation_count());
}

#[test]
fn a_key_that_differs_shows_in_the_digest() {
    let of = |operation| {
        let mut state = with_route();
        state.apply(2, &record(10, accept(item("m1", "clinic", operation))));
        state.digest()
    };
    assert_ne!(of(operation(1)), of(operation(2)));
    assert_ne!(of(operation(1)), of(None));
}

#[test]
fn tenants_do_not_meet_in_ids_and_order_keys() {
    let mut state = with_route();
    let ordered = |id: &str, tenant: &str| Item { order_key: "k".into(), ..item(id, tenant, None) };
    state.apply(2, &record(10, accept(ordered("m1", "clinic"))));
    assert_eq!(state.apply(3, &record(11, accept(ordered("m1", "shop")))), vec![Change::Accepted(3)]);
    assert_eq!(
        state.apply(4, &record(12, accept(ordered("m1", "clinic")))),
        vec![Change::Duplicate { at: 4, original: 2 }]
    );
    assert_eq!((state.find("clinic", "m1"), state.find("shop", "m1"), state.find("", "m1")), (Some(2), Some(3), None));
    assert!(state.is_head(2, &state.messages[&2]) && state.is_head(3, &state.messages[&3]));
    state.apply(5, &record(13, accept(ordered("m2", "clinic"))));
    assert!(!state.is_head(5, &state.messages[&5]));
    assert_eq!(state.apply(6, &record(14, answer(2, Outcome::Done))), vec![Change::Ended(2), Change::Unblocked(5)]);
    assert_eq!(state.find("clinic", "m1"), Some(2), "a settled one is found by its tenant");
}

fn subject(low: u64) -> PlacementSubject {
    PlacementSubject::Operation(operation(low).expect("one"))
}

fn place_from(subject: PlacementSubject, partition: u32, generation: u64) -> Entry {
    Entry::Place(PlaceRecord { partition, subject: Some(subject), generation, hold_ms: HOLD })
}

fn place(low: u64, partition: u32) -> Entry {
    place_from(subject(low), partition, 0)
}

fn accept_from(item: Item, operation: u64, order: u64) -> Entry {
    let generations = Some(PlacementGenerations { operation, order });
    Entry::Accept(AcceptRecord { item, delay_ms: 0, generations })
}

#[test]
fn the_first_record_that_places_an_operation_decides_where_it_is_kept() {
    let mut state = with_route();
    let place_of = |changes: Vec<Change>| match changes[..] {
        [Change::PlacedElsewhere { placement, .. }] => (placement.partition, placement.generation),
        ref other => panic!("{other:?}"),
    };
    assert_eq!(place_of(state.apply(2, &record(10, place(1, 5)))), (5, 1));
    assert_eq!(place_of(state.apply(3, &record(11, place(1, 6)))), (5, 1));
    assert_eq!(place_of(state.apply(4, &record(12, accept(item("m1", "clinic", operation(1)))))), (5, 1));
    assert!(state.messages.is_empty(), "what is placed elsewhere is not kept here");
    assert_eq!(state.apply(5, &record(13, accept(item("m2", "clinic", operation(2))))), vec![Change::Accepted(5)]);
    assert_eq!(state.apply(6, &record(14, place(2, 5))), vec![Change::Duplicate { at: 6, original: 5 }]);
    assert_eq!(state.digest(), state.recompute_digest());
}

#[test]
fn a_chain_that_comes_back_ends_an_older_placement_and_no_newer_one() {
    let mut state = with_route();
    state.apply(2, &record(10, place(1, 5)));
    let changes = state.apply(3, &record(11, place_from(subject(1), 6, 2)));
    assert!(matches!(changes[..], [Change::PlacedElsewhere { placement, .. }] if placement.generation == 3));
    let late = state.apply(4, &record(12, accept_from(item("m1", "clinic", operation(1)), 2, 0)));
    assert!(matches!(late[..], [Change::PlacedElsewhere { .. }]), "the chain has gone on since: {late:?}");
    assert_eq!(
        state.apply(5, &record(13, accept_from(item("m1", "clinic", operation(1)), 3, 0))),
        vec![Change::Accepted(5)]
    );
    assert_eq!(state.placement_count(), 0);
    assert_eq!(state.digest(), state.recompute_digest());
}

#[test]
fn an_order_key_stays_while_its_messages_are_under_way_and_is_refused_once_it_is_placed_elsewhere() {
    let mut state = with_route();
    let ordered = |id: &str| Item { order_key: "k".into(), ..item(id, "clinic", None) };
    let order = || PlacementSubject::Order(OrderKey { tenant: "clinic".into(), key: "k".into() });
    state.apply(2, &record(10, accept(ordered("m1"))));
    assert_eq!(state.apply(3, &record(11, place_from(order(), 5, 0))), vec![Change::StaysHere { at: 3 }]);
    state.apply(4, &record(12, answer(2, Outcome::Done)));
    let changes = state.apply(5, &record(13, place_from(order(), 5, 0)));
    let until = 13 + HOLD * 5 / 4;
    assert!(matches!(changes[..], [Change::PlacedElsewhere { placement, .. }] if placement.until_ms == until));
    assert_eq!(state.apply(6, &record(14, accept(ordered("m2")))), vec![Change::OrderPlacedElsewhere { at: 6 }]);
    let other = Item { tenant: "shop".into(), ..ordered("m3") };
    assert_eq!(
        state.apply(7, &record(15, accept(other))),
        vec![Change::Accepted(7)],
        "another tenant's key is another"
    );
    assert_eq!(state.apply(8, &record(16, accept_from(ordered("m4"), 0, 1))), vec![Change::Accepted(8)], "it is back");
    assert_eq!(state.digest(), state.recompute_digest());
}

#[test]
fn a_placement_holds_for_a_window_and_a_quarter_after_it_was_last_asked_for() {
    let mut state = with_route();
    state.apply(2, &record(10, place(1, 5)));
    let asked = 10 + WINDOW;
    state.apply(3, &record(asked, place(1, 6)));
    let last = asked + WINDOW * 5 / 4;
    let placement = state.placement_of(&subject(1), 0, last).expect("it holds");
    assert_eq!((placement.partition, placement.until_ms), (5, last));
    assert_eq!(state.placement_of(&subject(1), 0, last + 1), None);
    state.apply(4, &record(last + 1, accept(item("m1", "clinic", operation(1)))));
    assert_eq!((state.placement_count(), state.operation_count()), (0, 1), "its number is bounded");
    assert_eq!(state.digest(), state.recompute_digest());
}

#[test]
fn a_placement_is_written_anew_once_a_tenth_of_its_time_has_passed() {
    let mut state = with_route();
    state.apply(2, &record(10, place(1, 5)));
    let placement = state.placement_of(&subject(1), 0, 10).expect("it holds");
    assert!(!state.is_placement_due(&placement, &subject(1), 0, 10 + WINDOW / 8));
    assert!(state.is_placement_due(&placement, &subject(1), 0, 11 + WINDOW / 8));
}

#[test]
fn a_snapshot_carries_the_placements() {
    let mut state = with_route();
    let order = PlacementSubject::Order(OrderKey { tenant: "clinic".into(), key: "k".into() });
    state.apply(2, &record(10, place(1, 5)));
    state.apply(3, &record(20, place_from(order.clone(), 6, 4)));
    let mut restored = PartitionState::restore(&state.snapshot(), RETENTION).expect("a good snapshot");
    for subject in [subject(1), order] {
        assert_eq!(restored.placement_of(&subject, 0, 30), state.placement_of(&subject, 0, 30));
        assert!(restored.placement_of(&subject, 0, 30).is_some());
    }
    let late = 11 + WINDOW * 5 / 4;
    for state in [&mut state, &mut restored] {
        state.apply(4, &record(late, place(3, 7)));
        assert_eq!(state.placement_count(), 2, "the first one is forgotten");
    }
    assert_eq!(state.digest(), restored.digest());
    let mut other = with_route();
    other.apply(2, &record(10, place(1, 5)));
    assert_ne!(other.digest(), state.digest(), "a placement that is missing shows");
}
