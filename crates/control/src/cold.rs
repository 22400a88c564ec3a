//! Leases on cold processors: a duty of the leader.
//!
//! What all machines together send to a cold processor in a second is bounded (`coldPerS` of
//! its service). The leader grants each such processor to one node at a time, which alone
//! counts what it is sent; the ledger fences a holder that is lost, and a leader that is
//! succeeded.

use crate::service::{ControlService, ControlShared};
use balance::BudgetLedger;
use rpc::messages::{ColdLeaseAck, Node, Processor, ZoneUse};

/// The ledger of one leader's term.
#[derive(Default)]
pub(crate) struct ColdLeases {
    term: u64,
    ledger: Option<BudgetLedger>,
}

impl ColdLeases {
    /// The ledger of a term that began at `began_ms`. A former leader may have granted until
    /// its authority ended, which is before that.
    fn ledger(&mut self, term: u64, began_ms: u64, lease_ms: u64) -> &mut BudgetLedger {
        if self.term != term {
            self.term = term;
            self.ledger = None;
        }
        let opens_at_ms = began_ms + BudgetLedger::fence_ms(lease_ms);
        self.ledger.get_or_insert_with(|| BudgetLedger::new(lease_ms, opens_at_ms))
    }
}

/// How well a node fits to be the one that sends to a processor: near ones first, and of
/// equals each processor has another.
fn fit(node: &Node, zone: &str, region: Option<&String>, processor: &str) -> (bool, bool, u64) {
    let key = format!("{processor} {}", node.name);
    (node.zone == zone, Some(&node.region) == region, rpc::fingerprint(key.as_bytes()))
}

impl ControlService {
    /// The cold processors that a node may send to, and nobody else until its lease is over.
    pub(crate) fn lease_cold(&self, asker: &Node) -> ColdLeaseAck {
        let now = self.now();
        let lease_ms = self.settings.lease_ms();
        self.with(|f| {
            if !f.holds(now) || f.later_incarnation(asker) > 0 {
                return ColdLeaseAck::default();
            }
            let cold = f.metered_cold();
            let wanted: Vec<String> =
                cold.into_iter().filter(|p| self.is_sender(f, asker, p, now)).map(|p| p.id).collect();
            let (term, began_ms) = (f.term(), f.leader_since);
            let ledger = f.cold_leases.ledger(term, began_ms, lease_ms);
            ledger.sweep(now);
            let processors =
                wanted.into_iter().filter(|id| ledger.grant(id, &asker.name, asker.incarnation, now)).collect();
            ColdLeaseAck { processors, ttl_ms: lease_ms as u32 }
        })
    }

    /// Whether a node is to be the one that sends to a processor: whoever is, for as long as it
    /// asks; else the one that fits best of those that stand.
    fn is_sender(&self, f: &mut ControlShared, asker: &Node, processor: &Processor, now: u64) -> bool {
        let (term, began_ms) = (f.term(), f.leader_since);
        let ledger = f.cold_leases.ledger(term, began_ms, self.settings.lease_ms());
        if let Some((node, incarnation)) = ledger.holder(&processor.id, now) {
            return *node == asker.name && *incarnation == asker.incarnation;
        }
        let lease = self.settings.lease_ms();
        let stands = |node: &&Node| {
            node.role == asker.role
                && !node.leaving
                && (node.role != "store" || ControlService::is_alive(f, now, lease, &node.name))
        };
        let region = self.settings.zones.get(&processor.zone);
        let nodes = f.sessions.values().map(|session| &session.node).filter(stands);
        let best = nodes.max_by_key(|node| fit(node, &processor.zone, region, &processor.id));
        best.is_some_and(|node| node.name == asker.name)
    }
}

impl ControlShared {
    /// The processors that may be cold and whose service bounds what such ones are sent.
    fn metered_cold(&mut self) -> Vec<Processor> {
        let configuration = self.read_configuration();
        let (assignments, version) = (&self.control_state.assignments, self.membership.version);
        let may_be_cold = |p: &&Processor| p.cold || assignments.zone_use(&p.zone, version) == ZoneUse::Returning;
        let is_metered = |p: &&Processor| configuration.service(&p.service).is_some_and(|s| s.cold_per_s > 0.0);
        let cold = self.processors().iter().filter(|p| !p.draining).filter(may_be_cold).filter(is_metered);
        cold.cloned().collect()
    }
}
