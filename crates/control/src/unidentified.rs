//! Processors whose responses do not carry the id of their request, as the fronts report them
//! with their sessions. Soft state that is shown by `ctl status`; no decision depends on it.

use crate::service::Session;
use std::collections::{BTreeMap, BTreeSet};

/// The most addresses that are passed on.
const MAX_ADDRESSES: usize = 64;

/// The addresses that were reported to this control node.
#[derive(Default)]
pub(crate) struct UnidentifiedProcessors {
    /// Keyed by the front, or by the control node that forwards the reports of its fronts.
    reported_by: BTreeMap<String, Vec<String>>,
    /// For the whole system, as last received from the leader.
    leader_list: Vec<String>,
}

impl UnidentifiedProcessors {
    /// Replaces the previous report of a node.
    pub(crate) fn report(&mut self, node: &str, addresses: &[String]) {
        if addresses.is_empty() {
            self.reported_by.remove(node);
        } else {
            self.reported_by.insert(node.to_owned(), addresses.to_vec());
        }
    }

    /// Replaces the list of the whole system with that of the leader.
    pub(crate) fn set_leader_list(&mut self, addresses: Vec<String>) {
        self.leader_list = addresses;
    }

    /// The list last received from the leader.
    pub(crate) fn leader_list(&self) -> &[String] {
        &self.leader_list
    }

    /// The addresses reported by nodes that have a session, sorted.
    pub(crate) fn reported(&self, sessions: &BTreeMap<String, Session>) -> Vec<String> {
        let present = self.reported_by.iter().filter(|(node, _)| sessions.contains_key(*node));
        let addresses: BTreeSet<&String> = present.flat_map(|(_, addresses)| addresses).collect();
        addresses.into_iter().take(MAX_ADDRESSES).cloned().collect()
    }
}
