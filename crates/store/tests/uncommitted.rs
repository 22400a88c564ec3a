//! Tests of the index of accepts that are appended but not committed yet.

use rpc::messages::{Item, OperationId};
use store::{AcceptIdentity, UncommittedAccepts};

fn item(tenant: &str, id: &str, operation: u64) -> Item {
    let operation = (operation > 0).then_some(OperationId { high: operation, low: 1 });
    Item { tenant: tenant.into(), id: id.into(), operation, ..Item::default() }
}

fn one_accept() -> UncommittedAccepts {
    let mut accepts = UncommittedAccepts::default();
    accepts.insert((3, 9), AcceptIdentity::of(&item("clinic", "m1", 5)));
    accepts
}

#[test]
fn a_retry_is_found_by_its_id_or_its_operation() {
    let accepts = one_accept();
    assert_eq!(accepts.find(3, &item("clinic", "m1", 0)), Some((3, 9)));
    assert_eq!(accepts.find(3, &item("clinic", "m2", 5)), Some((3, 9)));
    assert_eq!(accepts.find(3, &item("clinic", "m2", 6)), None);
    let operation = OperationId { high: 5, low: 1 };
    assert_eq!((accepts.find_operation(3, operation), accepts.find_operation(4, operation)), (Some((3, 9)), None));
    assert_eq!(accepts.find(3, &item("shop", "m1", 0)), None, "another tenant");
    assert_eq!(accepts.find(4, &item("clinic", "m1", 5)), None, "another partition");
}

#[test]
fn committed_accepts_and_those_of_moved_partitions_are_not_found() {
    let mut committed = one_accept();
    committed.remove((3, 9));
    assert_eq!(committed.find(3, &item("clinic", "m1", 5)), None);
    let mut moved = one_accept();
    moved.insert((4, 2), AcceptIdentity::of(&item("clinic", "m3", 7)));
    moved.remove_partition(3);
    assert_eq!(moved.find(3, &item("clinic", "m1", 5)), None);
    assert_eq!(moved.find(4, &item("clinic", "m4", 7)), Some((4, 2)));
}
