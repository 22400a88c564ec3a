//! Which store machines hold which partitions: the first layout, new replicas for
//! what a node leaves, and the moves towards added machines.

use rpc::messages::Partition;

/// A store machine, and where it stands.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreMachine {
    pub name: String,
    pub zone: String,
    pub region: String,
}

/// Over how many places a partition is to be spread because all of one place
/// may be lost at once.
#[derive(Clone, Copy, Default)]
pub struct Spread {
    pub zones: usize,
    pub regions: usize,
}

/// Partitions for each store machine at the first layout: when one is lost, what
/// it owned is spread over as many others.
const EACH: usize = 2;

pub fn partition_count(nodes: usize) -> u32 {
    (nodes * EACH) as u32
}

/// How well a node fits beside those that hold a partition already: lower is
/// better. Bytes between regions cost most, then those between zones; but where
/// a region has several zones, the holders do not all stand in one.
fn fit(n: &StoreMachine, held: &[&StoreMachine], replica_count: usize, spread: Spread) -> (usize, usize) {
    let Some(owner) = held.first() else { return (0, 0) };
    let regions: Vec<&str> = held.iter().map(|h| h.region.as_str()).collect();
    let zones: Vec<&str> = held.iter().map(|h| h.zone.as_str()).collect();
    let new_region = !regions.contains(&n.region.as_str());
    let new_zone = !zones.contains(&n.zone.as_str());
    let places = |all: &[&str]| {
        let mut a = all.to_vec();
        a.sort_unstable();
        a.dedup();
        a.len()
    };
    if places(&regions) <= spread.regions {
        return (usize::from(!new_region), 0);
    }
    if places(&zones) <= spread.zones {
        return (usize::from(!new_zone), usize::from(new_region));
    }
    let last = held.len() + 1 == replica_count;
    let zone = if last && places(&zones) == 1 { !new_zone } else { n.zone != owner.zone };
    (usize::from(n.region != owner.region), usize::from(zone))
}

/// The first layout: every node owns as many as any other and follows about as many.
pub fn layout(nodes: &[StoreMachine], replica_count: usize, spread: Spread) -> Vec<Partition> {
    let mut load = vec![0usize; nodes.len()];
    let mut heirs = std::collections::HashSet::new();
    (0..partition_count(nodes.len()))
        .map(|id| {
            let at = id as usize % nodes.len();
            load[at] += 1;
            let mut held = vec![at];
            while held.len() < replica_count.min(nodes.len()) {
                let beside: Vec<&StoreMachine> = held.iter().map(|h| &nodes[*h]).collect();
                let rest = (0..nodes.len()).filter(|n| !held.contains(n));
                // From the owner on, so that equals take turns; and another heir for
                // each partition of one owner.
                let turn = |n: usize| (n + nodes.len() - at) % nodes.len();
                let again = |n: usize| held.len() == 1 && heirs.contains(&(at, n));
                let Some(next) = rest
                    .min_by_key(|n| (fit(&nodes[*n], &beside, replica_count, spread), again(*n), load[*n], turn(*n)))
                else {
                    break;
                };
                if held.len() == 1 {
                    heirs.insert((at, next));
                }
                load[next] += 1;
                held.push(next);
            }
            let replicas: Vec<String> = held.iter().map(|h| nodes[*h].name.clone()).collect();
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
/// machines, with all copies there. Their numbers begin at `first`.
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

/// The store machines that may hold a partition.
pub fn eligible_machines<'a>(p: &'a Partition, live: &'a [StoreMachine]) -> impl Iterator<Item = &'a StoreMachine> {
    live.iter().filter(|node| p.home.is_empty() || node.region == p.home)
}

fn load(all: &[Partition], node: &str) -> usize {
    all.iter().filter(|q| q.replicas.iter().any(|h| h == node)).count()
}

fn owned(all: &[Partition], node: &str) -> usize {
    all.iter().filter(|q| q.replicas.first().is_some_and(|h| h == node)).count()
}

/// The node that is to hold a partition as well.
pub fn new_replica(
    p: &Partition,
    all: &[Partition],
    live: &[StoreMachine],
    replica_count: usize,
    spread: Spread,
) -> Option<String> {
    let held: Vec<&StoreMachine> = p.replicas.iter().filter_map(|h| live.iter().find(|n| n.name == *h)).collect();
    let spread = if p.home.is_empty() { spread } else { Spread { regions: 0, ..spread } };
    eligible_machines(p, live)
        .filter(|n| !p.replicas.contains(&n.name))
        .min_by_key(|n| (fit(n, &held, replica_count, spread), load(all, &n.name)))
        .map(|n| n.name.clone())
}

/// New replicas for a partition when `gone` is to hold nothing any more.
pub fn replace_replica(
    p: &Partition,
    gone: &str,
    all: &[Partition],
    live: &[StoreMachine],
    replica_count: usize,
    spread: Spread,
) -> Option<Partition> {
    let at = p.replicas.iter().position(|h| h == gone)?;
    let mut now = p.clone();
    now.replicas.remove(at);
    let live: Vec<StoreMachine> = live.iter().filter(|n| n.name != gone).cloned().collect();
    if let Some(n) = new_replica(&now, all, &live, replica_count, spread) {
        // Last, so that the move goes to one that follows already.
        now.replicas.push(n);
    }
    (now != *p).then_some(now)
}

/// One move towards even loads, as after machines were added: a partition gets
/// the least loaded node of a region as a home instead of the most loaded one.
/// Only when every partition is where it is to be, so that one move is over
/// before the next.
pub fn rebalance(all: &[Partition], live: &[StoreMachine]) -> Option<Partition> {
    let settled = |p: &Partition| {
        p.grant.is_none()
            && p.replicas.first() == Some(&p.owner)
            && p.in_sync.len() == p.replicas.len()
            && p.replicas.iter().all(|h| p.in_sync.contains(h) && live.iter().any(|n| n.name == *h))
    };
    if !all.iter().all(settled) {
        return None;
    }
    let least = live.iter().min_by_key(|n| (load(all, &n.name), owned(all, &n.name)))?;
    let near = || live.iter().filter(|n| n.region == least.region && n.name != least.name);
    let most = near().max_by_key(|n| (load(all, &n.name), owned(all, &n.name)))?;
    if load(all, &most.name) < load(all, &least.name) + 2 {
        // Even, but one may own more than its part.
        return None;
    }
    // Owners move where the least loaded one owns less than the others.
    let wants = owned(all, &least.name) + 1 < owned(all, &most.name) || owned(all, &least.name) == 0;
    let mut fits: Vec<&Partition> =
        all.iter().filter(|p| p.replicas.contains(&most.name) && !p.replicas.contains(&least.name)).collect();
    fits.sort_by_key(|p| ((p.replicas[0] == most.name) != wants, p.id));
    let mut now = (*fits.first()?).clone();
    let at = now.replicas.iter().position(|h| *h == most.name)?;
    now.replicas[at] = least.name.clone();
    Some(now)
}
