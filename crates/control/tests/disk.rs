//! Checks of the records on a control node's disk: contradictory ones are refused, never repaired.

use bytes::Bytes;
use control::*;
use prost::Message;
use rpc::messages::RaftEntry;

fn hard(term: u64, base: u64, base_term: u64) -> HardState {
    HardState { term, base, base_term, voters: vec!["a".into()], may_vote: true, ..HardState::default() }
}

fn entry(index: u64, term: u64) -> RaftEntry {
    RaftEntry { index, term, ..RaftEntry::default() }
}

fn state(applied: u64) -> Bytes {
    ControlState { applied, revision: 3, ..ControlState::default() }.encode_to_vec().into()
}

#[test]
fn consistent_records_are_accepted() {
    // Entries may be in any order, and may include some that the snapshot covers.
    let log = vec![entry(7, 3), entry(5, 2), entry(6, 2)];
    let stored = StoredState::check(hard(3, 5, 2), state(5), log, false).expect("consistent");
    assert_eq!((stored.log.len(), stored.control_state.revision, stored.control_state.applied), (2, 3, 5));
    // Earlier releases wrote snapshots without the index of the last applied entry.
    let stored = StoredState::check(hard(3, 5, 2), state(0), vec![], false).expect("accepted by the vote record");
    assert_eq!(stored.control_state.applied, 5);
    assert!(StoredState::check(HardState::default(), Bytes::new(), vec![], true).is_ok());
}

#[test]
fn contradictory_records_are_refused_with_a_reason() {
    let refused = |h, s, l: Vec<RaftEntry>| match StoredState::check(h, s, l, false) {
        Err(e) => e,
        Ok(_) => panic!("accepted"),
    };
    assert!(refused(hard(3, 5, 2), state(4), vec![]).contains("as of entry 4"));
    assert!(refused(hard(3, 5, 2), state(6), vec![]).contains("as of entry 6"));
    assert!(refused(hard(3, 5, 2), Bytes::new(), vec![]).contains("cannot be read"));
    assert!(refused(hard(3, 5, 2), Bytes::from_static(b"\xff\xff"), vec![]).contains("cannot be read"));
    assert!(refused(hard(3, 5, 2), state(5), vec![entry(7, 3)]).contains("entry 6 is missing"));
    assert!(refused(hard(3, 5, 2), state(5), vec![entry(6, 3), entry(7, 2)]).contains("entry 7 is of term 2"));
    assert!(refused(hard(3, 5, 2), state(5), vec![entry(6, 4)]).contains("term 4"));
    assert!(refused(HardState { voters: vec![], ..hard(3, 5, 2) }, state(5), vec![]).contains("no voters"));
}
