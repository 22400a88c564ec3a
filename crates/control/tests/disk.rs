//! Records of a control node's disk that contradict each other: none is made the best of.

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
fn a_disk_that_agrees_with_itself_is_taken() {
    // Entries come in any order, and those that the snapshot holds may still be there.
    let log = vec![entry(7, 3), entry(5, 2), entry(6, 2)];
    let k = StoredState::check(hard(3, 5, 2), state(5), log, false).expect("they agree");
    assert_eq!((k.log.len(), k.control_state.revision, k.control_state.applied), (2, 3, 5));
    // A state of an earlier release does not say through which entry it is.
    let k = StoredState::check(hard(3, 5, 2), state(0), vec![], false).expect("taken by its record");
    assert_eq!(k.control_state.applied, 5);
    assert!(StoredState::check(HardState::default(), Bytes::new(), vec![], true).is_ok());
}

#[test]
fn a_disk_that_contradicts_itself_is_refused_with_a_reason() {
    let refused = |h, s, l: Vec<RaftEntry>| match StoredState::check(h, s, l, false) {
        Err(e) => e,
        Ok(_) => panic!("taken"),
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
