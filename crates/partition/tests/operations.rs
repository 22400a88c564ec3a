//! Tests of operation keys and placements in the partition state: duplicate detection, retention, and
//! separation of tenants.

use partition::*;
use rpc::messages::{Item, OperationId, OrderKey, Outcome, PlacementGenerations, PlacementSubject};

const WINDOW: u64 = 4000;
/// How long a message of an order key may be in flight.
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

fn state_with_route() -> PartitionState {
    let routes = vec![RouteFacts { route: "r-a".into(), tries: 1, retain_ms: 60_000 }];
    let mut state = PartitionState::new(RETENTION);
    state.apply(1, &record(1, Entry::Routes(Routes { revision: 1, routes, ..Routes::default() })));
    state
}

#[test]
fn a_request_with_a_known_operation_key_is_a_duplicate_whatever_its_id() {
    let mut state = state_with_route();
    state.apply(2, &record(10, accept(item("m1", "clinic", operation(1)))));
    let again = state.apply(3, &record(20, accept(item("m2", "clinic", operation(1)))));
    assert_eq!(again, vec![Change::Duplicate { at: 3, original: 2 }]);
    assert_eq!(state.find_duplicate(&item("m3", "clinic", operation(1)), 30), Some(2));
    assert_eq!(state.find_duplicate(&item("m3", "clinic", operation(2)), 30), None);
    assert_eq!(state.messages.len(), 1);
}

#[test]
fn an_ended_message_is_found_by_its_operation_key_until_the_key_expires() {
    for outcome in [Outcome::Done, Outcome::Never] {
        let mut state = state_with_route();
        state.apply(2, &record(10, accept(item("m1", "clinic", operation(1)))));
        state.apply(3, &record(20, answer(2, outcome)));
        // The retention time of its state ends long before that.
        let last = 10 + WINDOW * 5 / 4;
        state.apply(4, &record(last, accept(item("other", "clinic", operation(2)))));
        assert_eq!(state.find_duplicate(&item("m2", "clinic", operation(1)), last), Some(2));
        state.apply(5, &record(last + 1, accept(item("m2", "clinic", operation(1)))));
        assert_eq!(
            state.find_duplicate(&item("m3", "clinic", operation(1)), last + 2),
            Some(5),
            "it is a new message by then"
        );
        assert_eq!(state.digest(), state.recompute_digest());
    }
}

#[test]
fn a_message_that_outlives_its_operation_key_is_not_found_by_it() {
    let mut state = state_with_route();
    state.apply(2, &record(10, accept(item("m1", "clinic", operation(1)))));
    let later = 11 + WINDOW * 5 / 4;
    assert_eq!(state.apply(3, &record(later, accept(item("m2", "clinic", operation(1))))), vec![Change::Accepted(3)]);
    state.apply(4, &record(later + 1, answer(2, Outcome::Done)));
    state.apply(5, &record(later + 2000, accept(item("m3", "clinic", operation(3)))));
    assert!(!state.messages.contains_key(&2), "the first message is removed");
    assert_eq!(
        state.find_duplicate(&item("m4", "clinic", operation(1)), later + 2000),
        Some(3),
        "its successor is still found"
    );
}

#[test]
fn operation_keys_are_removed_with_their_messages_so_that_their_number_is_bounded() {
    let mut state = state_with_route();
    for n in 0..500u64 {
        let at = 10 + n * 100;
        state.apply(2 + 2 * n, &record(at, accept(item(&format!("m{n}"), "clinic", operation(n)))));
        state.apply(3 + 2 * n, &record(at + 1, answer(2 + 2 * n, Outcome::Done)));
        assert_eq!(state.operation_count(), state.messages.len());
        assert!(state.messages.len() <= 52, "at most one retention window plus a quarter");
    }
    let without = PartitionState::new(RETENTION).memory_bytes();
    assert!(
        state.memory_bytes() > without + state.messages.len() * 1024,
        "operation keys count towards the store's memory use"
    );
}

#[test]
fn a_snapshot_preserves_operation_keys_and_duplicate_detection() {
    let mut state = state_with_route();
    state.apply(2, &record(10, accept(item("m1", "clinic", operation(1)))));
    state.apply(3, &record(20, accept(item("m2", "shop", operation(2)))));
    state.apply(4, &record(30, answer(2, Outcome::Done)));
    let mut restored = PartitionState::restore(&state.snapshot(), RETENTION).expect("a valid snapshot");
    for low in [1, 2] {
        let again = item("m9", "clinic", operation(low));
        assert_eq!(restored.find_duplicate(&again, 40), state.find_duplicate(&again, 40));
        assert!(restored.find_duplicate(&again, 40).is_some());
    }
    // Both remove expired entries at the same record.
    let late = 31 + WINDOW * 5 / 4;
    for s in [&mut state, &mut restored] {
        s.apply(5, &record(late, accept(item("m3", "clinic", operation(3)))));
    }
    assert_eq!(state.digest(), restored.digest());
    assert_eq!(state.operation_count(), restored.operation_count());
}

#[test]
fn the_digest_depends_on_the_operation_key() {
    let digest_with = |operation| {
        let mut state = state_with_route();
        state.apply(2, &record(10, accept(item("m1", "clinic", operation))));
        state.digest()
    };
    assert_ne!(digest_with(operation(1)), digest_with(operation(2)));
    assert_ne!(digest_with(operation(1)), digest_with(None));
}

#[test]
fn ids_and_order_keys_are_scoped_by_tenant() {
    let mut state = state_with_route();
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
    assert_eq!(state.find("clinic", "m1"), Some(2), "a settled message is found by its tenant");
}

fn subject(low: u64) -> PlacementSubject {
    PlacementSubject::Operation(operation(low).expect("an operation"))
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
fn the_first_record_that_places_an_operation_decides_its_partition() {
    let mut state = state_with_route();
    let place_of = |changes: Vec<Change>| match changes[..] {
        [Change::PlacedElsewhere { placement, .. }] => (placement.partition, placement.generation),
        ref other => panic!("{other:?}"),
    };
    assert_eq!(place_of(state.apply(2, &record(10, place(1, 5)))), (5, 1));
    assert_eq!(place_of(state.apply(3, &record(11, place(1, 6)))), (5, 1));
    assert_eq!(place_of(state.apply(4, &record(12, accept(item("m1", "clinic", operation(1)))))), (5, 1));
    assert!(state.messages.is_empty(), "an operation placed elsewhere is not stored here");
    assert_eq!(state.apply(5, &record(13, accept(item("m2", "clinic", operation(2))))), vec![Change::Accepted(5)]);
    assert_eq!(state.apply(6, &record(14, place(2, 5))), vec![Change::Duplicate { at: 6, original: 5 }]);
    assert_eq!(state.digest(), state.recompute_digest());
}

#[test]
fn an_accept_removes_an_older_placement_and_is_refused_by_a_newer_one() {
    let mut state = state_with_route();
    state.apply(2, &record(10, place(1, 5)));
    let changes = state.apply(3, &record(11, place_from(subject(1), 6, 2)));
    assert!(matches!(changes[..], [Change::PlacedElsewhere { placement, .. }] if placement.generation == 3));
    let late = state.apply(4, &record(12, accept_from(item("m1", "clinic", operation(1)), 2, 0)));
    assert!(matches!(late[..], [Change::PlacedElsewhere { .. }]), "the chain has been extended since: {late:?}");
    assert_eq!(
        state.apply(5, &record(13, accept_from(item("m1", "clinic", operation(1)), 3, 0))),
        vec![Change::Accepted(5)]
    );
    assert_eq!(state.placement_count(), 0);
    assert_eq!(state.digest(), state.recompute_digest());
}

#[test]
fn an_order_key_with_messages_in_flight_is_not_placed_and_a_placed_one_is_refused() {
    let mut state = state_with_route();
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
        "keys of different tenants are distinct"
    );
    assert_eq!(
        state.apply(8, &record(16, accept_from(ordered("m4"), 0, 1))),
        vec![Change::Accepted(8)],
        "the key has returned"
    );
    assert_eq!(state.digest(), state.recompute_digest());
}

#[test]
fn a_placement_is_valid_for_a_window_and_a_quarter_after_the_last_request() {
    let mut state = state_with_route();
    state.apply(2, &record(10, place(1, 5)));
    let asked = 10 + WINDOW;
    state.apply(3, &record(asked, place(1, 6)));
    let last = asked + WINDOW * 5 / 4;
    let placement = state.placement_of(&subject(1), 0, last).expect("a valid placement");
    assert_eq!((placement.partition, placement.until_ms), (5, last));
    assert_eq!(state.placement_of(&subject(1), 0, last + 1), None);
    state.apply(4, &record(last + 1, accept(item("m1", "clinic", operation(1)))));
    assert_eq!((state.placement_count(), state.operation_count()), (0, 1), "the number of placements is bounded");
    assert_eq!(state.digest(), state.recompute_digest());
}

#[test]
fn a_placement_is_renewed_once_a_tenth_of_its_validity_has_passed() {
    let mut state = state_with_route();
    state.apply(2, &record(10, place(1, 5)));
    let placement = state.placement_of(&subject(1), 0, 10).expect("a valid placement");
    // An eighth of the window is a tenth of the validity, which is the window plus a quarter.
    assert!(!state.is_placement_due(&placement, &subject(1), 0, 10 + WINDOW / 8));
    assert!(state.is_placement_due(&placement, &subject(1), 0, 11 + WINDOW / 8));
}

#[test]
fn a_snapshot_preserves_the_placements() {
    let mut state = state_with_route();
    let order = PlacementSubject::Order(OrderKey { tenant: "clinic".into(), key: "k".into() });
    state.apply(2, &record(10, place(1, 5)));
    state.apply(3, &record(20, place_from(order.clone(), 6, 4)));
    let mut restored = PartitionState::restore(&state.snapshot(), RETENTION).expect("a valid snapshot");
    for subject in [subject(1), order] {
        assert_eq!(restored.placement_of(&subject, 0, 30), state.placement_of(&subject, 0, 30));
        assert!(restored.placement_of(&subject, 0, 30).is_some());
    }
    let late = 11 + WINDOW * 5 / 4;
    for state in [&mut state, &mut restored] {
        state.apply(4, &record(late, place(3, 7)));
        assert_eq!(state.placement_count(), 2, "the first placement is removed");
    }
    assert_eq!(state.digest(), restored.digest());
    let mut other = state_with_route();
    other.apply(2, &record(10, place(1, 5)));
    assert_ne!(other.digest(), state.digest(), "a missing placement changes the digest");
}
