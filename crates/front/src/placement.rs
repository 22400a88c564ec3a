//! Which partition keeps a message. The same at every front: where tries at one operation have
//! to meet, nothing counts but the request and its route.

use agent::ClusterView;
use config::{ConfigurationIndex, Route, placement_hash};
use rpc::messages::OperationId;

/// What of a message decides which partition keeps it.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlacementKeys<'a> {
    /// The tenant that sends it; empty without tenants.
    pub tenant: &'a str,
    /// As the request carries it, whatever its route says of order.
    pub order_key: &'a str,
    /// Where operations have keys: all tries at one come to one partition.
    pub operation: Option<OperationId>,
    /// The message's own id.
    pub id: &'a str,
}

impl PlacementKeys<'_> {
    fn order_hash(&self) -> u64 {
        if self.tenant.is_empty() {
            return placement_hash(self.order_key);
        }
        placement_hash(&format!("{}\n{}", self.tenant, self.order_key))
    }
}

/// The partition that a message belongs to. All with one order key share one,
/// whatever their service; all for one endpoint share one, so that one owner
/// meters it; others go to an owner near the client. Tries at one operation share one
/// whatever the front, its zone and what it knows of owners.
pub fn partition_of(
    known: &ClusterView,
    configuration: &ConfigurationIndex,
    route: &Route,
    keys: &PlacementKeys<'_>,
    zone: &str,
) -> Option<u32> {
    let metered = configuration.is_metered(&route.service);
    let ordered = !keys.order_key.is_empty();
    let hash = match keys.operation {
        _ if route.sequenced && ordered => keys.order_hash(),
        Some(_) if metered => route.place_hash(),
        Some(_) if ordered => keys.order_hash(),
        Some(operation) => operation.high,
        None if metered => placement_hash(&route.service),
        None => return near_partition(known, placement_hash(keys.id), zone),
    };
    known.assignments.partition_for(hash)
}

/// A partition whose owner is in this zone, or any where there is none.
fn near_partition(known: &ClusterView, hash: u64, zone: &str) -> Option<u32> {
    let here: Vec<u32> = known
        .assignments
        .partitions
        .iter()
        .filter(|p| known.node(&p.owner, "store").is_some_and(|n| n.zone == zone && !n.leaving))
        .map(|p| p.id)
        .collect();
    match hash.checked_rem(here.len() as u64) {
        Some(at) => Some(here[at as usize]),
        None => known.assignments.partition_for(hash),
    }
}
