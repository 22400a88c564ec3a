//! Assignment of partitions to store machines: the initial layout, replacement of replicas, and
//! rebalancing after machines were added.

use rpc::messages::Partition;

/// A store machine and its location.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreMachine {
    pub name: String,
    pub zone: String,
    pub region: String,
}

/// How many whole zones and whole regions may be lost at once: the replicas of a partition are
/// spread over more than that many.
#[derive(Clone, Copy, Default)]
pub struct Spread {
    pub zones: usize,
    pub regions: usize,
}

/// Partitions per store machine in the initial layout. With two, the partitions of a lost owner
/// pass to two other machines instead of one.
const PARTITIONS_PER_MACHINE: usize = 2;

pub fn partition_count(nodes: usize) -> u32 {
    (nodes * PARTITIONS_PER_MACHINE) as u32
}

/// The cost of adding a machine to the current holders of a partition; lower is better. Traffic
/// between regions costs most, then traffic between zones; but where a region has several zones,
/// the holders must not all be in one of them.
fn placement_cost(
    candidate: &StoreMachine,
    holders: &[&StoreMachine],
    replica_count: usize,
    spread: Spread,
) -> (usize, usize) {
    let Some(owner) = holders.first() else { return (0, 0) };
    let regions: Vec<&str> = holders.iter().map(|h| h.region.as_str()).collect();
    let zones: Vec<&str> = holders.iter().map(|h| h.zone.as_str()).collect();
    let is_new_region = !regions.contains(&candidate.region.as_str());
    let is_new_zone = !zones.contains(&candidate.zone.as_str());
    let distinct = |all: &[&str]| {
        let mut names = all.to_vec();
        names.sort_unstable();
        names.dedup();
        names.len()
    };
    if distinct(&regions) <= spread.regions {
        return (usize::from(!is_new_region), 0);
    }
    if distinct(&zones) <= spread.zones {
        return (usize::from(!is_new_zone), usize::from(is_new_region));
    }
    let is_last = holders.len() + 1 == replica_count;
    let zone_cost = if is_last && distinct(&zones) == 1 { !is_new_zone } else { candidate.zone != owner.zone };
    (usize::from(candidate.region != owner.region), usize::from(zone_cost))
}

/// The initial layout: all nodes own the same number of partitions and follow about the same number.
pub fn layout(nodes: &[StoreMachine], replica_count: usize, spread: Spread) -> Vec<Partition> {
    let mut replica_load = vec![0usize; nodes.len()];
    // Pairs of an owner and the first follower of one of its partitions.
    let mut first_followers = std::collections::HashSet::new();
    (0..partition_count(nodes.len()))
        .map(|id| {
            let owner = id as usize % nodes.len();
            replica_load[owner] += 1;
            let mut holders = vec![owner];
            while holders.len() < replica_count.min(nodes.len()) {
                let chosen: Vec<&StoreMachine> = holders.iter().map(|h| &nodes[*h]).collect();
                let rest = (0..nodes.len()).filter(|n| !holders.contains(n));
                // Ties go to the next machine after the owner, so that equal machines take turns. Each
                // partition of one owner gets another first follower, which succeeds the owner.
                let distance = |n: usize| (n + nodes.len() - owner) % nodes.len();
                let is_repeated = |n: usize| holders.len() == 1 && first_followers.contains(&(owner, n));
                let Some(next) = rest.min_by_key(|n| {
                    let cost = placement_cost(&nodes[*n], &chosen, replica_count, spread);
                    (cost, is_repeated(*n), replica_load[*n], distance(*n))
                }) else {
                    break;
                };
                if holders.len() == 1 {
                    first_followers.insert((owner, next));
                }
                replica_load[next] += 1;
                holders.push(next);
            }
            let replicas: Vec<String> = holders.iter().map(|h| nodes[*h].name.clone()).collect();
            Partition {
                id,
                term: 1,
                owner: replicas[0].clone(),
                in_sync: replicas.clone(),
                replicas,
                ..Partition::default()
            }
        })
        .collect()
}

/// The partitions of one region, for messages that are bound to it: one for each of its store
/// machines, with all replicas in the region. Their ids begin at `first`.
pub fn home_layout(
    region: &str,
    nodes: &[StoreMachine],
    first: u32,
    replica_count: usize,
    spread: Spread,
) -> Vec<Partition> {
    let within: Vec<StoreMachine> = nodes.iter().filter(|node| node.region == region).cloned().collect();
    let spread = Spread { regions: 0, ..spread };
    let mut partitions = layout(&within, replica_count, spread);
    partitions.truncate(within.len());
    for partition in &mut partitions {
        partition.id += first;
        partition.home = region.to_owned();
    }
    partitions
}

/// The store machines that may hold a partition: for one that is bound to a region, those of that region.
pub fn eligible_machines<'a>(p: &'a Partition, live: &'a [StoreMachine]) -> impl Iterator<Item = &'a StoreMachine> {
    live.iter().filter(|node| p.home.is_empty() || node.region == p.home)
}

fn held_count(all: &[Partition], node: &str) -> usize {
    all.iter().filter(|q| q.replicas.iter().any(|h| h == node)).count()
}

/// How many partitions have a node as their preferred owner.
fn owned_count(all: &[Partition], node: &str) -> usize {
    all.iter().filter(|q| q.replicas.first().is_some_and(|h| h == node)).count()
}

/// Chooses the node for one more replica of a partition.
pub fn new_replica(
    p: &Partition,
    all: &[Partition],
    live: &[StoreMachine],
    replica_count: usize,
    spread: Spread,
) -> Option<String> {
    let holders: Vec<&StoreMachine> = p.replicas.iter().filter_map(|h| live.iter().find(|n| n.name == *h)).collect();
    let spread = if p.home.is_empty() { spread } else { Spread { regions: 0, ..spread } };
    eligible_machines(p, live)
        .filter(|n| !p.replicas.contains(&n.name))
        .min_by_key(|n| (placement_cost(n, &holders, replica_count, spread), held_count(all, &n.name)))
        .map(|n| n.name.clone())
}

/// The partition without its replica on `removed`, and with one on another node where there is one
/// for it.
pub fn replace_replica(
    p: &Partition,
    removed: &str,
    all: &[Partition],
    live: &[StoreMachine],
    replica_count: usize,
    spread: Spread,
) -> Option<Partition> {
    let at = p.replicas.iter().position(|h| h == removed)?;
    let mut updated = p.clone();
    updated.replicas.remove(at);
    let live: Vec<StoreMachine> = live.iter().filter(|n| n.name != removed).cloned().collect();
    if let Some(n) = new_replica(&updated, all, &live, replica_count, spread) {
        // Appended: the first replica is the preferred owner, which must be one that follows already.
        updated.replicas.push(n);
    }
    (updated != *p).then_some(updated)
}

/// One move towards equal loads, as after machines were added: one replica moves from the most
/// loaded node of a region to its least loaded node. `None` unless every partition has reached
/// its assignment, so that moves run one at a time.
pub fn rebalance(all: &[Partition], live: &[StoreMachine]) -> Option<Partition> {
    let is_settled = |p: &Partition| {
        p.grant.is_none()
            && p.replicas.first() == Some(&p.owner)
            && p.in_sync.len() == p.replicas.len()
            && p.replicas.iter().all(|h| p.in_sync.contains(h) && live.iter().any(|n| n.name == *h))
    };
    if !all.iter().all(is_settled) {
        return None;
    }
    let least = live.iter().min_by_key(|n| (held_count(all, &n.name), owned_count(all, &n.name)))?;
    let same_region = live.iter().filter(|n| n.region == least.region && n.name != least.name);
    let most = same_region.max_by_key(|n| (held_count(all, &n.name), owned_count(all, &n.name)))?;
    if held_count(all, &most.name) < held_count(all, &least.name) + 2 {
        // The numbers of replicas are equal enough; the numbers of owned partitions may still differ.
        return None;
    }
    // Ownership moves as well if the least loaded node owns fewer partitions than the most loaded one.
    let moves_ownership =
        owned_count(all, &least.name) + 1 < owned_count(all, &most.name) || owned_count(all, &least.name) == 0;
    let mut movable: Vec<&Partition> =
        all.iter().filter(|p| p.replicas.contains(&most.name) && !p.replicas.contains(&least.name)).collect();
    movable.sort_by_key(|p| ((p.replicas[0] == most.name) != moves_ownership, p.id));
    let mut updated = (*movable.first()?).clone();
    let at = updated.replicas.iter().position(|h| *h == most.name)?;
    updated.replicas[at] = least.name.clone();
    Some(updated)
}
