//! Selection of the workers on which processors of functions are started: a duty of the leader.
//! The platform's listings are authoritative; this state adds only what they do not show yet.

use std::collections::HashMap;

#[derive(Clone, Debug, PartialEq)]
pub struct Worker {
    pub name: String,
    pub zone: String,
    pub headroom_mb: f64,
    pub ready: bool,
}

#[derive(Default)]
pub struct InstanceLauncher {
    workers: Vec<Worker>,
    /// Reservations that a listing may not show yet, by worker: when they were made, and their
    /// size in MB.
    reserved: HashMap<String, Vec<(u64, f64)>>,
    /// Workers that refused a start, and until when they are left out.
    excluded_until: HashMap<String, u64>,
    /// How far the platform's listings lag behind, in milliseconds.
    listing_lag_ms: u64,
    /// A token bucket for calls to the platform.
    tokens: f64,
    refilled_at: u64,
    calls_per_s: f64,
}

impl InstanceLauncher {
    pub fn new(listing_lag_ms: u64, calls_per_s: f64) -> InstanceLauncher {
        InstanceLauncher { listing_lag_ms, calls_per_s, ..InstanceLauncher::default() }
    }

    /// Takes in a listing of workers and drops the reservations that it must show by now.
    pub fn update_workers(&mut self, workers: Vec<Worker>, now: u64) {
        let lag = self.listing_lag_ms;
        for reservations in self.reserved.values_mut() {
            reservations.retain(|(at, _)| now < at + lag);
        }
        self.reserved.retain(|_, reservations| !reservations.is_empty());
        self.excluded_until.retain(|_, until| *until > now);
        self.workers = workers;
    }

    pub fn has_workers(&self) -> bool {
        !self.workers.is_empty()
    }

    /// Chooses the worker with the most headroom in the allowed zones and reserves memory there.
    /// Prefers the given zone where headroom is about equal. Processors are spread over workers so
    /// that the loss of a worker ends few of them.
    pub fn choose_worker(
        &mut self,
        memory_mb: f64,
        zone: &str,
        is_allowed: impl Fn(&str) -> bool,
        now: u64,
    ) -> Option<Worker> {
        let headroom = |w: &Worker| {
            let reserved: f64 = self.reserved.get(&w.name).map_or(0.0, |r| r.iter().map(|x| x.1).sum());
            w.headroom_mb - reserved
        };
        let is_excluded = |w: &Worker| self.excluded_until.get(&w.name).is_some_and(|until| *until > now);
        let candidates = self
            .workers
            .iter()
            .filter(|w| w.ready && is_allowed(&w.zone) && headroom(w) >= memory_mb && !is_excluded(w));
        let score = |w: &Worker| headroom(w) + if w.zone == zone { memory_mb } else { 0.0 };
        let worker = candidates.max_by(|a, b| score(a).total_cmp(&score(b)).then_with(|| b.name.cmp(&a.name)))?.clone();
        self.reserved.entry(worker.name.clone()).or_default().push((now, memory_mb));
        Some(worker)
    }

    /// Leaves out a worker on which the platform refused a start, for as long as listings lag behind.
    pub fn exclude(&mut self, worker: &str, now: u64) {
        self.excluded_until.insert(worker.to_owned(), now + self.listing_lag_ms.max(1));
    }

    /// Takes a token for one call to the platform, which bounds calls per second; else returns how
    /// many milliseconds to wait.
    pub fn take_token(&mut self, now: u64) -> Result<(), u64> {
        let burst = (self.calls_per_s / 10.0).max(1.0);
        let refill = (now - self.refilled_at.min(now)) as f64 * self.calls_per_s / 1000.0;
        self.tokens = (self.tokens + refill).min(burst);
        self.refilled_at = now;
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        Err(((1.0 - self.tokens) * 1000.0 / self.calls_per_s.max(0.001)).ceil() as u64)
    }
}
