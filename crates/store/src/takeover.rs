//! Decides which delivery nodes a new owner queries and which count as unresponsive. Between a
//! restart and the first membership from the leader, a store node relies on the membership that it
//! stored in its previous incarnation. Pure functions; `service` does the I/O.
//!
//! Invariant: a new owner queries every delivery node that may hold an attempt, and a missing
//! answer never counts as "holds nothing".

use rpc::messages::{Membership, Node};
use std::collections::HashSet;

/// The role of delivery nodes in a membership.
const DELIVERY_ROLE: &str = "front";

/// The form in which a membership is stored: complete, without the removal history that serves
/// incremental updates.
pub fn stored_form(membership: &Membership) -> Membership {
    Membership {
        version: membership.version,
        nodes: membership.nodes.clone(),
        processors: membership.processors.clone(),
        listed: membership.listed,
        ..Membership::default()
    }
}

/// The delivery nodes that a new owner queries for the attempts they hold: those of the current
/// membership, and those of the previous incarnation's membership that it does not list. `None`
/// until this incarnation has received a membership from a leader: an unknown node cannot be
/// queried, so the owner waits.
pub fn delivery_nodes_to_query(current: &Membership, previous: &[Node]) -> Option<Vec<Node>> {
    if current.version == 0 {
        return None;
    }
    let delivery_nodes =
        |nodes: &[Node]| -> Vec<Node> { nodes.iter().filter(|n| n.role == DELIVERY_ROLE).cloned().collect() };
    let mut all = delivery_nodes(&current.nodes);
    let listed: HashSet<String> = all.iter().map(|n| n.name.clone()).collect();
    all.extend(delivery_nodes(previous).into_iter().filter(|n| !listed.contains(&n.name)));
    Some(all)
}

/// The delivery nodes that may hold an attempt unknown to the new owner: those that were queried
/// and did not answer, and those to which the log has a dispatch and which were not queried.
pub fn unresponsive_nodes<'a>(
    answered: &HashSet<String>,
    queried: impl IntoIterator<Item = &'a str>,
    dispatched_to: impl IntoIterator<Item = &'a str>,
) -> HashSet<String> {
    let all = queried.into_iter().chain(dispatched_to);
    all.filter(|n| !n.is_empty() && !answered.contains(*n)).map(str::to_owned).collect()
}
