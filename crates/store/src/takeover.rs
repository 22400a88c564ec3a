//! What a store node relies on between its own restart and the moment when the leader
//! tells it the cluster's membership: the membership that it stored in its former
//! incarnation. Pure; the service reads, stores and asks.
//!
//! Keeps the rule that a new owner asks every delivery node that may hold an attempt, and
//! that a node which was not heard does not count as one that holds nothing.

use rpc::messages::{Membership, Node};
use std::collections::HashSet;

/// The role of delivery nodes in a membership.
const DELIVERY_ROLE: &str = "front";

/// The form in which a membership is stored: whole, without the history of removals.
pub fn stored_form(membership: &Membership) -> Membership {
    Membership {
        version: membership.version,
        nodes: membership.nodes.clone(),
        processors: membership.processors.clone(),
        listed: membership.listed,
        ..Membership::default()
    }
}

/// The delivery nodes that a new owner asks for the attempts they hold: those of the
/// current membership, and those of the former one that it does not name. `None` while
/// no leader has told the membership to this incarnation: a node that is not known cannot
/// be asked, so the owner waits.
pub fn delivery_nodes_to_ask(current: &Membership, former: &[Node]) -> Option<Vec<Node>> {
    if current.version == 0 {
        return None;
    }
    let deliveries =
        |nodes: &[Node]| -> Vec<Node> { nodes.iter().filter(|n| n.role == DELIVERY_ROLE).cloned().collect() };
    let mut all = deliveries(&current.nodes);
    let named: HashSet<String> = all.iter().map(|n| n.name.clone()).collect();
    all.extend(deliveries(former).into_iter().filter(|n| !named.contains(&n.name)));
    Some(all)
}

/// The delivery nodes that may hold an attempt unknown to the new owner: those that were
/// asked and did not answer, and those that were given an attempt, by the log, and were
/// not asked.
pub fn silent_nodes<'a>(
    answered: &HashSet<String>,
    asked: impl IntoIterator<Item = &'a str>,
    given: impl IntoIterator<Item = &'a str>,
) -> HashSet<String> {
    let all = asked.into_iter().chain(given);
    all.filter(|n| !n.is_empty() && !answered.contains(*n)).map(str::to_owned).collect()
}
