//! Processors whose answers do not name their request, as the fronts report them with their
//! sessions. Soft state for `ctl status` alone: nothing is decided by it.

use crate::service::Session;
use std::collections::{BTreeMap, BTreeSet};

/// How many addresses are passed on at the most.
const MOST: usize = 64;

/// The addresses that were reported to this control node.
#[derive(Default)]
pub(crate) struct UnidentifiedProcessors {
    /// By the front, or by the control node that passes on what its fronts reported.
    reported_by: BTreeMap<String, Vec<String>>,
    /// Of the whole system, as the leader told it last.
    told_by_leader: Vec<String>,
}

impl UnidentifiedProcessors {
    /// Takes what a node reports, in the place of what it reported before.
    pub(crate) fn report(&mut self, node: &str, addresses: &[String]) {
        if addresses.is_empty() {
            self.reported_by.remove(node);
        } else {
            self.reported_by.insert(node.to_owned(), addresses.to_vec());
        }
    }

    /// Takes what the leader knows of the whole system.
    pub(crate) fn told(&mut self, addresses: Vec<String>) {
        self.told_by_leader = addresses;
    }

    /// What the leader told last.
    pub(crate) fn told_by_leader(&self) -> &[String] {
        &self.told_by_leader
    }

    /// All that nodes with a session report, in order.
    pub(crate) fn reported(&self, sessions: &BTreeMap<String, Session>) -> Vec<String> {
        let present = self.reported_by.iter().filter(|(node, _)| sessions.contains_key(*node));
        let addresses: BTreeSet<&String> = present.flat_map(|(_, addresses)| addresses).collect();
        addresses.into_iter().take(MOST).cloned().collect()
    }
}
