//! Client-side load balancing: selects the processor for a node's next request to a service.
//!
//! Processors of the node's own zone form a ring, ordered by the hash of their id, and each node
//! uses a window (subset) of it. The windows of a zone's nodes begin at equal distances, so that
//! every processor is in about the same number of windows and each node reuses a small set of
//! connections. The window grows with the number of requests that the node has in flight. Within
//! the window, the processor with the lowest expected latency is selected, estimated from its
//! requests in flight and its mean latency. If no processor of the own zone can accept the
//! request, one of another zone is selected.

use crate::health::{EjectionBackoff, Health, SendResult};
use std::collections::HashMap;

/// A processor that can be sent requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Processor {
    /// Its id, which changes with each start of the processor.
    pub id: String,
    /// The address on which it listens.
    pub address: String,
    /// The zone in which it runs.
    pub zone: String,
    /// The number of requests that it can run concurrently.
    pub capacity: u32,
    /// Whether it is cold: slower for a while, as after its start.
    pub is_cold: bool,
}

/// The window size of a node without requests in flight.
const MIN_WINDOW: usize = 4;
/// The cost of a cold processor is multiplied by this.
const COLD_COST_FACTOR: f64 = 2.0;
/// The lower bound on the latency used in the cost, in milliseconds.
const MIN_LATENCY_MS: f64 = 1.0;

#[derive(Default)]
struct Pool {
    /// The processors of the own zone, in the order of their hashes.
    local: Vec<Processor>,
    /// The processors of all other zones, in the order of their hashes.
    remote: Vec<Processor>,
    /// Requests of this node that are in flight to the service.
    in_flight: u32,
    /// The moving average of successful requests' latency; 0 before the first.
    mean_latency_ms: f64,
}

/// The load balancer of one node. Times are in milliseconds of its monotonic clock.
pub struct Balancer {
    zone: String,
    backoff: EjectionBackoff,
    /// The index of this node among the nodes of its zone, and their number.
    position: (usize, usize),
    pools: HashMap<String, Pool>,
    health: HashMap<String, Health>,
}

fn hash(id: &str) -> u64 {
    let hash = id.bytes().fold(0xcbf29ce484222325u64, |h, b| (h ^ u64::from(b)).wrapping_mul(0x100000001b3));
    (hash ^ (hash >> 32)).wrapping_mul(0x9e3779b97f4a7c15)
}

impl Balancer {
    /// A balancer for a node in a zone, without processors.
    pub fn new(zone: &str, backoff: EjectionBackoff) -> Balancer {
        Balancer { zone: zone.to_owned(), backoff, position: (0, 1), pools: HashMap::new(), health: HashMap::new() }
    }

    /// Sets the index of this node among the `count` nodes of its zone.
    pub fn set_position(&mut self, index: usize, count: usize) {
        self.position = (index, count.max(1));
    }

    /// Replaces the known processors, which are given by service. Latencies and failures of
    /// processors that stay are kept.
    pub fn set_processors(&mut self, processors: HashMap<String, Vec<Processor>>) {
        let mut previous = std::mem::take(&mut self.pools);
        for (service, mut all) in processors {
            all.sort_by_cached_key(|processor| hash(&processor.id));
            let (local, remote) = all.into_iter().partition(|processor| processor.zone == self.zone);
            let pool = previous.remove(&service).unwrap_or_default();
            self.pools.insert(service, Pool { local, remote, ..pool });
        }
        let listed = self.pools.values().flat_map(|pool| pool.local.iter().chain(&pool.remote));
        let listed: std::collections::HashSet<&str> = listed.map(|processor| processor.id.as_str()).collect();
        self.health.retain(|id, health| health.in_flight > 0 || listed.contains(id.as_str()));
    }

    /// The moving average of the latency of a service's successful requests, in milliseconds;
    /// `None` before the first.
    pub fn mean_latency_ms(&self, service: &str) -> Option<f64> {
        self.pools.get(service).map(|pool| pool.mean_latency_ms).filter(|latency_ms| *latency_ms > 0.0)
    }

    /// Selects a processor for the next request, among those that `is_allowed` accepts. If each
    /// of them is ejected, as in an outage of all, returns the cheapest one with a free slot.
    pub fn choose(&self, service: &str, now_ms: u64, is_allowed: impl Fn(&Processor) -> bool) -> Option<&Processor> {
        let pool = self.pools.get(service)?;
        let window = MIN_WINDOW + pool.in_flight as usize;
        let can_accept = |processor: &&Processor| self.can_accept(processor, now_ms) && is_allowed(processor);
        let best = |ring: &'_ [Processor]| -> Option<usize> {
            let usable = self.ring_from_own_position(ring).filter(|at| can_accept(&&ring[*at])).take(window);
            usable.min_by(|a, b| self.cost(pool, &ring[*a]).total_cmp(&self.cost(pool, &ring[*b])))
        };
        if let Some(at) = best(&pool.local) {
            return Some(&pool.local[at]);
        }
        if let Some(at) = best(&pool.remote) {
            return Some(&pool.remote[at]);
        }
        let all = pool.local.iter().chain(&pool.remote).filter(|processor| is_allowed(processor));
        all.filter(|processor| self.has_slot(processor))
            .min_by(|a, b| self.cost(pool, a).total_cmp(&self.cost(pool, b)))
    }

    /// The indices of a ring, beginning at the start of this node's window.
    fn ring_from_own_position(&self, ring: &[Processor]) -> impl Iterator<Item = usize> {
        let (index, count) = self.position;
        let (len, begin) = (ring.len(), index * ring.len() / count);
        (0..len).map(move |step| (begin + step) % len)
    }

    fn has_slot(&self, processor: &Processor) -> bool {
        self.health.get(&processor.id).is_none_or(|health| health.in_flight < processor.capacity.max(1))
    }

    fn can_accept(&self, processor: &Processor, now_ms: u64) -> bool {
        let Some(health) = self.health.get(&processor.id) else { return true };
        !health.is_ejected(now_ms) && self.has_slot(processor) && !(health.is_on_probation() && health.in_flight > 0)
    }

    /// The expected latency of a request to the processor: this node's requests in flight there
    /// times the mean latency, increased for cold processors and by recent failures.
    fn cost(&self, pool: &Pool, processor: &Processor) -> f64 {
        let unknown = Health::default();
        let health = self.health.get(&processor.id).unwrap_or(&unknown);
        let latency_ms = if health.mean_latency_ms > 0.0 { health.mean_latency_ms } else { pool.mean_latency_ms };
        let cold = if processor.is_cold { COLD_COST_FACTOR } else { 1.0 };
        f64::from(health.in_flight + 1) * latency_ms.max(MIN_LATENCY_MS) * cold * (1.0 + health.failure_score())
    }

    /// Records that a request is sent to a processor of a service.
    pub fn begin(&mut self, service: &str, id: &str) {
        self.health.entry(id.to_owned()).or_default().begin();
        if let Some(pool) = self.pools.get_mut(service) {
            pool.in_flight += 1;
        }
    }

    /// Records the result of a request that was sent to a processor of a service.
    pub fn end(&mut self, service: &str, id: &str, end: SendResult, now_ms: u64) {
        if let Some(health) = self.health.get_mut(id) {
            health.end(end, now_ms, self.backoff);
        }
        let Some(pool) = self.pools.get_mut(service) else { return };
        pool.in_flight = pool.in_flight.saturating_sub(1);
        if let SendResult::Success { latency_ms } = end {
            let took = latency_ms as f64;
            pool.mean_latency_ms = if pool.mean_latency_ms == 0.0 {
                took
            } else {
                pool.mean_latency_ms + (took - pool.mean_latency_ms) / 50.0
            };
        }
    }
}
