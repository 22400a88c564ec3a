//! Which partition a message belongs to, and which one knows where an operation or an order key is
//! kept. The same at every front that knows the same.

use crate::ClusterView;
use config::{ConfigurationIndex, Homes, Route, placement_hash};
use rpc::messages::{Assignments, Node, OperationId, OrderKey, Partition};
use std::collections::BTreeSet;

/// What of a message decides which partition keeps it.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlacementKeys<'a> {
    /// The tenant that sends it; empty without tenants.
    pub tenant: &'a str,
    /// Empty without one, or where the route keeps no order.
    pub order_key: &'a str,
    /// Where operations have keys.
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
/// meters it; others go to an owner near the client, or, where operations have keys, by
/// these. A message that is bound to regions is kept by a partition whose copies all stand in one of them; `None` while there
/// is none.
pub fn partition_of(
    known: &ClusterView,
    configuration: &ConfigurationIndex,
    route: &Route,
    keys: &PlacementKeys<'_>,
    zone: &str,
) -> Option<u32> {
    let service = service_of(route, keys.id);
    partition_for_service(known, configuration, route, service, keys, zone)
}

/// The partition whose log says where an operation is kept: it keeps it itself, or has placed it
/// in another one. It follows from the operation alone, as whatever else decides where a message
/// belongs (its route, service, order key, homes) may change between two tries; `None` before
/// there are partitions.
pub fn operation_directory(assignments: &Assignments, operation: &OperationId) -> Option<u32> {
    assignments.partition_for(operation.high)
}

/// The partition whose log says where the messages of an order key are kept, as
/// [`operation_directory`] does for an operation: where they are bound to no region, it keeps them.
pub fn order_directory(assignments: &Assignments, order: &OrderKey) -> Option<u32> {
    let keys = PlacementKeys { tenant: &order.tenant, order_key: &order.key, ..PlacementKeys::default() };
    assignments.partition_for(keys.order_hash())
}

/// Whether messages with these homes may be kept by a partition, wherever they would be placed.
pub fn may_be_kept_in(assignments: &Assignments, homes: &Homes, partition: u32) -> bool {
    let found = assignments.partitions.iter().find(|p| p.id == partition);
    found.is_some_and(|p| !homes.is_bound() || !p.home.is_empty() && homes.allows(&p.home))
}

/// The service that a message goes to: of services that share its route by weights, the one
/// that its id chooses, the same at every node that knows the same weights.
pub fn service_of<'a>(route: &'a Route, id: &str) -> &'a str {
    match route.mix.is_empty() {
        true => &route.service,
        false => route.service_for(rpc::fingerprint(id.as_bytes())),
    }
}

/// As `partition_of`, of a message that goes to this service of its route.
fn partition_for_service(
    known: &ClusterView,
    configuration: &ConfigurationIndex,
    route: &Route,
    service: &str,
    keys: &PlacementKeys<'_>,
    zone: &str,
) -> Option<u32> {
    let ordered = !keys.order_key.is_empty();
    let homes = configuration.homes(route, keys.tenant);
    let hash = match keys.operation {
        _ if route.sequenced && ordered => keys.order_hash(),
        // Tries at one operation have ids of their own, by which their services may differ.
        Some(_) if configuration.has_metered_service(route) => route.place_hash(),
        Some(operation) => operation.high,
        None if configuration.is_metered(service) => placement_hash(service),
        None => return near_partition(known, &homes, placement_hash(keys.id), zone),
    };
    partition_within(&known.assignments, &homes, hash)
}

/// The partition of whatever has this hash and these homes; `None` while no partition is bound
/// to any of them. It changes when one of these regions gets its partitions.
fn partition_within(assignments: &Assignments, homes: &Homes, hash: u64) -> Option<u32> {
    if !homes.is_bound() {
        return assignments.partition_for(hash);
    }
    // By rendezvous: a region that is added to the others takes its part only.
    let weight = |region: &&str| placement_hash(&format!("{region} {hash}"));
    let has_partitions = |region: &&str| assignments.partitions.iter().any(|p| p.home == *region);
    let region = homes.regions().filter(has_partitions).max_by_key(weight)?;
    let bound: Vec<u32> = assignments.partitions.iter().filter(|p| p.home == region).map(|p| p.id).collect();
    let at = hash.checked_rem(bound.len() as u64)?;
    Some(bound[at as usize])
}

/// Whether a partition may keep messages with these homes.
fn may_keep(partition: &Partition, homes: &Homes) -> bool {
    homes.is_bound() != partition.home.is_empty() && homes.allows(&partition.home)
}

/// A partition whose owner is in this zone, or any where there is none.
fn near_partition(known: &ClusterView, homes: &Homes, hash: u64, zone: &str) -> Option<u32> {
    let is_near = |owner: &Node| owner.zone == zone && !owner.leaving;
    let here: Vec<u32> = known
        .assignments
        .partitions
        .iter()
        .filter(|p| may_keep(p, homes) && known.node(&p.owner, "store").is_some_and(is_near))
        .map(|p| p.id)
        .collect();
    match hash.checked_rem(here.len() as u64) {
        Some(at) => Some(here[at as usize]),
        None => partition_within(&known.assignments, homes, hash),
    }
}

/// The partitions that may keep messages for a metered service, which is sent no more than so
/// many a second by all their owners together.
pub fn metered_partitions(
    known: &ClusterView,
    configuration: &ConfigurationIndex,
    service: &str,
    has_operations: bool,
) -> BTreeSet<u32> {
    let routes = configuration.message_routes(service);
    if routes.clone().any(|route| route.sequenced) {
        // By their order keys they are kept by any.
        return known.assignments.partitions.iter().map(|partition| partition.id).collect();
    }
    let bound_tenants = configuration.tenants().iter().filter(|tenant| !tenant.domains.is_empty());
    let tenants: Vec<&str> = std::iter::once("").chain(bound_tenants.map(|tenant| tenant.name.as_str())).collect();
    let mut partitions = BTreeSet::new();
    for route in routes {
        let operation = has_operations.then(OperationId::default);
        for tenant in &tenants {
            let keys = PlacementKeys { tenant, operation, ..PlacementKeys::default() };
            partitions.extend(partition_for_service(known, configuration, route, service, &keys, ""));
        }
    }
    partitions
}
