//! Which processor of a service gets the next request of one node.
//!
//! Each node uses a window of the processors of its own zone, which stand in a ring by the
//! hashes of their ids: the windows of a zone's nodes begin at equal distances, so that all
//! processors stand in about as many windows, and a node's connections stay few and warm. The
//! window grows with what the node has in flight. In it the processor is chosen that is likely
//! to answer first, by its own flights and its usual time. Where the zone has none that can
//! take it, another zone's is.

use crate::health::{EjectionBackoff, Health, SendResult};
use std::collections::HashMap;

/// A processor that may be sent requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Processor {
    /// Its id; another start of it has another one.
    pub id: String,
    /// Where it listens.
    pub address: String,
    /// Its zone.
    pub zone: String,
    /// Requests that it works on at a time.
    pub capacity: u32,
    /// It is slow for a while.
    pub is_cold: bool,
}

/// The smallest window.
const SMALLEST_WINDOW: usize = 4;
/// By how much a cold processor counts as slower than it seems.
const COLD_FACTOR: f64 = 2.0;
/// A processor's usual time is not taken to be shorter, in milliseconds.
const SHORTEST_MS: f64 = 1.0;

#[derive(Default)]
struct Pool {
    /// The processors of the own zone, then all others, each in the order of their hashes.
    near: Vec<Processor>,
    far: Vec<Processor>,
    /// Requests of this node that any of them has.
    in_flight: u32,
    /// How long runs of the service usually take; 0 before the first.
    usual_ms: f64,
}

/// The choice of processors at one node. Times are in milliseconds of its steady clock.
pub struct Balancer {
    zone: String,
    backoff: EjectionBackoff,
    /// Where this node stands among those of its zone, and how many they are.
    position: (usize, usize),
    pools: HashMap<String, Pool>,
    health: HashMap<String, Health>,
}

fn hash(id: &str) -> u64 {
    let hash = id.bytes().fold(0xcbf29ce484222325u64, |h, b| (h ^ u64::from(b)).wrapping_mul(0x100000001b3));
    (hash ^ (hash >> 32)).wrapping_mul(0x9e3779b97f4a7c15)
}

impl Balancer {
    /// A balancer of a node in a zone that knows of no processor yet.
    pub fn new(zone: &str, backoff: EjectionBackoff) -> Balancer {
        Balancer { zone: zone.to_owned(), backoff, position: (0, 1), pools: HashMap::new(), health: HashMap::new() }
    }

    /// This node is the one at `index` of `count` in its zone.
    pub fn set_position(&mut self, index: usize, count: usize) {
        self.position = (index, count.max(1));
    }

    /// The processors that there are now, by service.
    pub fn set_processors(&mut self, processors: HashMap<String, Vec<Processor>>) {
        let mut former = std::mem::take(&mut self.pools);
        for (service, mut all) in processors {
            all.sort_by_cached_key(|processor| hash(&processor.id));
            let (near, far) = all.into_iter().partition(|processor| processor.zone == self.zone);
            let pool = former.remove(&service).unwrap_or_default();
            self.pools.insert(service, Pool { near, far, ..pool });
        }
        let listed = self.pools.values().flat_map(|pool| pool.near.iter().chain(&pool.far));
        let listed: std::collections::HashSet<&str> = listed.map(|processor| processor.id.as_str()).collect();
        self.health.retain(|id, health| health.in_flight > 0 || listed.contains(id.as_str()));
    }

    /// How long runs of a service usually take, in milliseconds; `None` before the first.
    pub fn mean_latency_ms(&self, service: &str) -> Option<f64> {
        self.pools.get(service).map(|pool| pool.usual_ms).filter(|usual| *usual > 0.0)
    }

    /// The processor for the next request, of those that `is_allowed`. Where each of them is
    /// left out, as when trouble strikes all, the one whose pause ends first.
    pub fn choose(&self, service: &str, now_ms: u64, is_allowed: impl Fn(&Processor) -> bool) -> Option<&Processor> {
        let pool = self.pools.get(service)?;
        let window = SMALLEST_WINDOW + pool.in_flight as usize;
        let can_take = |processor: &&Processor| self.can_take(processor, now_ms) && is_allowed(processor);
        let best = |ring: &'_ [Processor]| -> Option<usize> {
            let usable = self.places_from_own_position(ring).filter(|at| can_take(&&ring[*at])).take(window);
            usable.min_by(|a, b| self.cost(pool, &ring[*a]).total_cmp(&self.cost(pool, &ring[*b])))
        };
        if let Some(at) = best(&pool.near) {
            return Some(&pool.near[at]);
        }
        if let Some(at) = best(&pool.far) {
            return Some(&pool.far[at]);
        }
        let all = pool.near.iter().chain(&pool.far).filter(|processor| is_allowed(processor));
        all.filter(|processor| self.has_slot(processor))
            .min_by(|a, b| self.cost(pool, a).total_cmp(&self.cost(pool, b)))
    }

    /// The places of a ring from where this node's window begins.
    fn places_from_own_position(&self, ring: &[Processor]) -> impl Iterator<Item = usize> {
        let (index, count) = self.position;
        let (len, begin) = (ring.len(), index * ring.len() / count);
        (0..len).map(move |step| (begin + step) % len)
    }

    fn has_slot(&self, processor: &Processor) -> bool {
        self.health.get(&processor.id).is_none_or(|health| health.in_flight < processor.capacity.max(1))
    }

    fn can_take(&self, processor: &Processor, now_ms: u64) -> bool {
        let Some(health) = self.health.get(&processor.id) else { return true };
        !health.is_ejected(now_ms) && self.has_slot(processor) && !(health.is_on_probation() && health.in_flight > 0)
    }

    /// How long a request would wait there, about: what this node has there, at the pace that it
    /// has shown, made worse by failures.
    fn cost(&self, pool: &Pool, processor: &Processor) -> f64 {
        let unknown = Health::default();
        let health = self.health.get(&processor.id).unwrap_or(&unknown);
        let usual = if health.mean_latency_ms > 0.0 { health.mean_latency_ms } else { pool.usual_ms };
        let cold = if processor.is_cold { COLD_FACTOR } else { 1.0 };
        f64::from(health.in_flight + 1) * usual.max(SHORTEST_MS) * cold * (1.0 + health.failure_score())
    }

    /// A request is sent to a processor of a service.
    pub fn begin(&mut self, service: &str, id: &str) {
        self.health.entry(id.to_owned()).or_default().begin();
        if let Some(pool) = self.pools.get_mut(service) {
            pool.in_flight += 1;
        }
    }

    /// A request that was sent to a processor of a service has ended.
    pub fn end(&mut self, service: &str, id: &str, end: SendResult, now_ms: u64) {
        if let Some(health) = self.health.get_mut(id) {
            health.end(end, now_ms, self.backoff);
        }
        let Some(pool) = self.pools.get_mut(service) else { return };
        pool.in_flight = pool.in_flight.saturating_sub(1);
        if let SendResult::Success { latency_ms } = end {
            let took = latency_ms as f64;
            pool.usual_ms = if pool.usual_ms == 0.0 { took } else { pool.usual_ms + (took - pool.usual_ms) / 50.0 };
        }
    }
}
