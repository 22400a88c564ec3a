//! Between a restart and the leader's first word on the membership.

use rpc::messages::{Membership, Node};
use std::collections::HashSet;
use store::{delivery_nodes_to_query, stored_form, unresponsive_nodes};

fn node(name: &str, role: &str, inner: &str) -> Node {
    Node { name: name.into(), role: role.into(), inner: inner.into(), ..Node::default() }
}

fn names(nodes: &[Node]) -> Vec<&str> {
    nodes.iter().map(|n| n.name.as_str()).collect()
}

fn set(names: &[&str]) -> HashSet<String> {
    names.iter().map(|n| n.to_string()).collect()
}

#[test]
fn a_new_owner_that_was_told_no_membership_waits_for_it() {
    let former = [node("f1", "front", "a:1")];
    // What it knows from its former incarnation is no answer to who is there now.
    let begun = Membership { version: 0, nodes: former.to_vec(), ..Membership::default() };
    assert_eq!(delivery_nodes_to_query(&Membership::default(), &[]), None);
    assert_eq!(delivery_nodes_to_query(&begun, &former), None);
}

#[test]
fn delivery_nodes_of_the_former_membership_are_asked_as_well() {
    let former = [node("f1", "front", "old:1"), node("f2", "front", "b:1"), node("s1", "store", "c:1")];
    let nodes = vec![node("f1", "front", "new:1"), node("f3", "front", "d:1"), node("s1", "store", "c:1")];
    let told = Membership { version: 7, nodes, ..Membership::default() };
    let asked = delivery_nodes_to_query(&told, &former).expect("it was told");
    assert_eq!(names(&asked), ["f1", "f3", "f2"]);
    assert_eq!(asked[0].inner, "new:1", "at the address that is told now");
}

#[test]
fn a_delivery_node_that_was_given_a_message_and_not_asked_is_silent() {
    let answered = set(&["f1", "f2"]);
    assert!(unresponsive_nodes(&answered, ["f1", "f2"], ["f1", ""]).is_empty());
    assert_eq!(unresponsive_nodes(&answered, ["f1", "f2", "f3"], ["f1"]), set(&["f3"]), "asked in vain");
    assert_eq!(unresponsive_nodes(&answered, ["f1", "f2"], ["f2", "f9"]), set(&["f9"]), "not known, so not asked");
}

#[test]
fn a_membership_is_stored_whole() {
    let nodes = vec![node("f1", "front", "a:1")];
    let told = Membership { version: 7, since: 5, from: 3, nodes, listed: true, ..Membership::default() };
    let stored = stored_form(&told);
    assert_eq!((stored.version, stored.since, stored.from, stored.listed), (7, 0, 0, true));
    assert_eq!(stored.nodes, told.nodes);
}
