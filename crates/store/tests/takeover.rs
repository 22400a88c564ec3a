//! Tests of a take-over between a restart and the first membership from the leader.

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
fn a_new_owner_without_a_membership_waits_for_one() {
    let previous = [node("f1", "front", "a:1")];
    // The stored membership of the previous incarnation does not say who is there now.
    let restored = Membership { version: 0, nodes: previous.to_vec(), ..Membership::default() };
    assert_eq!(delivery_nodes_to_query(&Membership::default(), &[]), None);
    assert_eq!(delivery_nodes_to_query(&restored, &previous), None);
}

#[test]
fn delivery_nodes_of_the_previous_membership_are_queried_too() {
    let previous = [node("f1", "front", "old:1"), node("f2", "front", "b:1"), node("s1", "store", "c:1")];
    let nodes = vec![node("f1", "front", "new:1"), node("f3", "front", "d:1"), node("s1", "store", "c:1")];
    let current = Membership { version: 7, nodes, ..Membership::default() };
    let queried = delivery_nodes_to_query(&current, &previous).expect("a membership is known");
    assert_eq!(names(&queried), ["f1", "f3", "f2"]);
    assert_eq!(queried[0].inner, "new:1", "the current address is used");
}

#[test]
fn a_delivery_node_with_a_dispatch_that_was_not_queried_is_unresponsive() {
    let answered = set(&["f1", "f2"]);
    assert!(unresponsive_nodes(&answered, ["f1", "f2"], ["f1", ""]).is_empty());
    assert_eq!(unresponsive_nodes(&answered, ["f1", "f2", "f3"], ["f1"]), set(&["f3"]), "queried without an answer");
    assert_eq!(unresponsive_nodes(&answered, ["f1", "f2"], ["f2", "f9"]), set(&["f9"]), "unknown, so not queried");
}

#[test]
fn a_membership_is_stored_without_its_removal_history() {
    let nodes = vec![node("f1", "front", "a:1")];
    let current = Membership { version: 7, since: 5, removals_from: 3, nodes, listed: true, ..Membership::default() };
    let stored = stored_form(&current);
    assert_eq!((stored.version, stored.since, stored.removals_from, stored.listed), (7, 0, 0, true));
    assert_eq!(stored.nodes, current.nodes);
}
