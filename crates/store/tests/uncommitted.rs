//! Which accepts wait for one that is written and not committed yet.

use rpc::messages::{Item, OperationId};
use store::{AcceptIdentity, UncommittedAccepts};

fn item(tenant: &str, id: &str, operation: u64) -> Item {
    let operation = (operation > 0).then_some(OperationId { high: operation, low: 1 });
    Item { tenant: tenant.into(), id: id.into(), operation, ..Item::default() }
}

fn with_one() -> UncommittedAccepts {
    let mut accepts = UncommittedAccepts::default();
    accepts.insert((3, 9), AcceptIdentity::of(&item("clinic", "m1", 5)));
    accepts
}

#[test]
fn another_try_waits_for_the_first_by_its_id_or_its_operation() {
    let accepts = with_one();
    assert_eq!(accepts.find(3, &item("clinic", "m1", 0)), Some((3, 9)));
    assert_eq!(accepts.find(3, &item("clinic", "m2", 5)), Some((3, 9)));
    assert_eq!(accepts.find(3, &item("clinic", "m2", 6)), None);
    let operation = OperationId { high: 5, low: 1 };
    assert_eq!((accepts.find_operation(3, operation), accepts.find_operation(4, operation)), (Some((3, 9)), None));
    assert_eq!(accepts.find(3, &item("shop", "m1", 0)), None, "another tenant's");
    assert_eq!(accepts.find(4, &item("clinic", "m1", 5)), None, "another partition's");
}

#[test]
fn nothing_waits_for_what_is_committed_or_owned_elsewhere() {
    let mut committed = with_one();
    committed.remove((3, 9));
    assert_eq!(committed.find(3, &item("clinic", "m1", 5)), None);
    let mut moved = with_one();
    moved.insert((4, 2), AcceptIdentity::of(&item("clinic", "m3", 7)));
    moved.remove_partition(3);
    assert_eq!(moved.find(3, &item("clinic", "m1", 5)), None);
    assert_eq!(moved.find(4, &item("clinic", "m4", 7)), Some((4, 2)));
}
