//! Leases on cold processors: a duty of the leader.
//!
//! What all machines together send to a cold processor in a second is bounded (`coldPerS` of
//! its service). The leader grants each such processor to one node at a time, and that node alone
//! meters what it sends there. The ledger fences off a holder that is lost, and a former
//! leader.

use crate::service::{ControlService, ControlShared};
use balance::BudgetLedger;
use rpc::messages::{ColdLeaseAck, Node, Processor, ZoneUse};

/// The ledger of one leadership term.
#[derive(Default)]
pub(crate) struct ColdLeases {
    term: u64,
    ledger: Option<BudgetLedger>,
}

impl ColdLeases {
    /// The ledger of a term that began at `began_ms`. A former leader may have granted leases
    /// until its authority ended, which is before `began_ms`; so the ledger opens only when those
    /// leases are over.
    fn ledger(&mut self, term: u64, began_ms: u64, lease_ms: u64) -> &mut BudgetLedger {
        if self.term != term {
            self.term = term;
            self.ledger = None;
        }
        let opens_at_ms = began_ms + BudgetLedger::fence_ms(lease_ms);
        self.ledger.get_or_insert_with(|| BudgetLedger::new(lease_ms, opens_at_ms))
    }
}

/// Ranks a node as the sender to a processor; higher is better. Nodes of the processor's zone come
/// first, then those of its region; a hash spreads processors over nodes that are equally near.
fn sender_rank(node: &Node, zone: &str, region: Option<&String>, processor: &str) -> (bool, bool, u64) {
    let key = format!("{processor} {}", node.name);
    (node.zone == zone, Some(&node.region) == region, rpc::fingerprint(key.as_bytes()))
}

impl ControlService {
    /// Grants a node the cold processors that it alone may send to until its lease is over.
    pub(crate) fn lease_cold(&self, requester: &Node) -> ColdLeaseAck {
        let now = self.now();
        let lease_ms = self.settings.lease_ms();
        self.with(|shared| {
            if !shared.has_authority(now) || shared.later_incarnation(requester) > 0 {
                return ColdLeaseAck::default();
            }
            let cold = shared.rate_limited_cold_processors();
            let wanted: Vec<String> =
                cold.into_iter().filter(|p| self.is_sender(shared, requester, p, now)).map(|p| p.id).collect();
            let (term, began_ms) = (shared.term(), shared.leader_since);
            let ledger = shared.cold_leases.ledger(term, began_ms, lease_ms);
            ledger.sweep(now);
            let processors =
                wanted.into_iter().filter(|id| ledger.grant(id, &requester.name, requester.incarnation, now)).collect();
            ColdLeaseAck { processors, ttl_ms: lease_ms as u32 }
        })
    }

    /// Whether a node is to be the one that sends to a processor: the current holder for as long
    /// as it renews its lease, else the live node with the highest rank.
    fn is_sender(&self, shared: &mut ControlShared, requester: &Node, processor: &Processor, now: u64) -> bool {
        let (term, began_ms) = (shared.term(), shared.leader_since);
        let ledger = shared.cold_leases.ledger(term, began_ms, self.settings.lease_ms());
        if let Some((node, incarnation)) = ledger.holder(&processor.id, now) {
            return *node == requester.name && *incarnation == requester.incarnation;
        }
        let lease = self.settings.lease_ms();
        let is_candidate = |node: &&Node| {
            node.role == requester.role
                && !node.leaving
                && (node.role != "store" || ControlService::is_alive(shared, now, lease, &node.name))
        };
        let region = self.settings.zones.get(&processor.zone);
        let candidates = shared.sessions.values().map(|session| &session.node).filter(is_candidate);
        let best = candidates.max_by_key(|node| sender_rank(node, &processor.zone, region, &processor.id));
        best.is_some_and(|node| node.name == requester.name)
    }
}

impl ControlShared {
    /// The processors that may be cold and whose service limits requests to cold processors.
    fn rate_limited_cold_processors(&mut self) -> Vec<Processor> {
        let configuration = self.read_configuration();
        let (assignments, version) = (&self.control_state.assignments, self.membership.version);
        let may_be_cold = |p: &&Processor| p.cold || assignments.zone_use(&p.zone, version) == ZoneUse::Returning;
        let has_limit = |p: &&Processor| configuration.service(&p.service).is_some_and(|s| s.cold_per_s > 0.0);
        let cold = self.processors().iter().filter(|p| !p.draining).filter(may_be_cold).filter(has_limit);
        cold.cloned().collect()
    }
}
