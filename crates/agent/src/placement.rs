//! Selects the partition of a message, and the partition that records where an operation or an order
//! key is stored. Deterministic: fronts with the same view select the same partitions.

use crate::ClusterView;
use config::{ConfigurationIndex, Homes, Route, placement_hash};
use rpc::messages::{Assignments, Node, OperationId, OrderKey, Partition};
use std::collections::BTreeSet;

/// The properties of a message that determine its partition.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlacementKeys<'a> {
    /// The tenant that sends the message; empty without tenants.
    pub tenant: &'a str,
    /// Empty if there is none or if the route is not ordered.
    pub order_key: &'a str,
    /// Set if operations have keys.
    pub operation: Option<OperationId>,
    /// The message id.
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

/// The partition of a message. Messages with the same order key share a partition, whatever their
/// service. Messages for the same endpoint share one, so that a single owner enforces its rate.
/// Others are placed by operation key if operations have keys, else at an owner near the client.
/// A message restricted to regions is stored by a partition whose replicas are all in one of them;
/// `None` while there is no such partition.
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

/// The partition whose log records where an operation is stored: in that partition or in another
/// one. It depends on the operation alone, because the other inputs of placement (route, service,
/// order key, homes) may change between two attempts. `None` before there are partitions.
pub fn operation_directory(assignments: &Assignments, operation: &OperationId) -> Option<u32> {
    assignments.partition_for(operation.high)
}

/// The partition whose log records where the messages of an order key are stored, as
/// [`operation_directory`] for an operation. It stores them itself if they are not restricted to
/// regions.
pub fn order_directory(assignments: &Assignments, order: &OrderKey) -> Option<u32> {
    let keys = PlacementKeys { tenant: &order.tenant, order_key: &order.key, ..PlacementKeys::default() };
    assignments.partition_for(keys.order_hash())
}

/// Whether a partition may store messages with these homes, wherever they would be placed.
pub fn may_be_kept_in(assignments: &Assignments, homes: &Homes, partition: u32) -> bool {
    let found = assignments.partitions.iter().find(|p| p.id == partition);
    found.is_some_and(|p| !homes.is_bound() || !p.home.is_empty() && homes.allows(&p.home))
}

/// The service of a message. If services share the route by weights, the message id selects one, the
/// same on every node with the same weights.
pub fn service_of<'a>(route: &'a Route, id: &str) -> &'a str {
    match route.mix.is_empty() {
        true => &route.service,
        false => route.service_for(rpc::fingerprint(id.as_bytes())),
    }
}

/// As `partition_of`, for a message to the given service of its route.
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
        // Attempts at one operation have different message ids and may select different services.
        Some(_) if configuration.has_metered_service(route) => route.place_hash(),
        Some(operation) => operation.high,
        None if configuration.is_metered(service) => placement_hash(service),
        None => return near_partition(known, &homes, placement_hash(keys.id), zone),
    };
    partition_within(&known.assignments, &homes, hash)
}

/// The partition for a hash within the given homes; `None` while no partition is in any of them.
/// The result changes when another of these regions gets its first partitions.
fn partition_within(assignments: &Assignments, homes: &Homes, hash: u64) -> Option<u32> {
    if !homes.is_bound() {
        return assignments.partition_for(hash);
    }
    // Rendezvous hashing: an added region takes over only its share of the hashes.
    let weight = |region: &&str| placement_hash(&format!("{region} {hash}"));
    let has_partitions = |region: &&str| assignments.partitions.iter().any(|p| p.home == *region);
    let region = homes.regions().filter(has_partitions).max_by_key(weight)?;
    let bound: Vec<u32> = assignments.partitions.iter().filter(|p| p.home == region).map(|p| p.id).collect();
    let at = hash.checked_rem(bound.len() as u64)?;
    Some(bound[at as usize])
}

/// Whether messages with these homes are placed in a partition: unrestricted ones only in a partition
/// without a home region, restricted ones only in a partition of an allowed region.
fn may_keep(partition: &Partition, homes: &Homes) -> bool {
    homes.is_bound() != partition.home.is_empty() && homes.allows(&partition.home)
}

/// A partition whose owner is in this zone, or any permitted one if there is none.
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

/// The partitions that may store messages for a metered service; their owners share its rate limit.
pub fn metered_partitions(
    known: &ClusterView,
    configuration: &ConfigurationIndex,
    service: &str,
    has_operations: bool,
) -> BTreeSet<u32> {
    let routes = configuration.message_routes(service);
    if routes.clone().any(|route| route.sequenced) {
        // Placement by order key may select any partition.
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
