//! Where processors of functions are started: a duty of the leader. The
//! platform's lists are the truth; what is remembered here is only what they do not
//! show yet.

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
    /// What was started since, by worker: when, and how much.
    taken: HashMap<String, Vec<(u64, f64)>>,
    /// Workers that refused, and until when they are left out.
    refused: HashMap<String, u64>,
    /// How long the platform's lists are behind.
    lag: u64,
    tokens: f64,
    filled: u64,
    per_s: f64,
}

impl InstanceLauncher {
    pub fn new(lag: u64, per_s: f64) -> InstanceLauncher {
        InstanceLauncher { lag, per_s, ..InstanceLauncher::default() }
    }

    pub fn update_workers(&mut self, workers: Vec<Worker>, now: u64) {
        let lag = self.lag;
        for t in self.taken.values_mut() {
            t.retain(|(at, _)| now < at + lag);
        }
        self.taken.retain(|_, t| !t.is_empty());
        self.refused.retain(|_, until| *until > now);
        self.workers = workers;
    }

    pub fn has_workers(&self) -> bool {
        !self.workers.is_empty()
    }

    /// The worker with the most room in the zones that are allowed, in that zone if there is
    /// one about as good: processors are spread, so that the end of a worker takes few of them.
    pub fn choose_worker(
        &mut self,
        memory_mb: f64,
        zone: &str,
        is_allowed: impl Fn(&str) -> bool,
        now: u64,
    ) -> Option<Worker> {
        let room = |w: &Worker| {
            let taken: f64 = self.taken.get(&w.name).map_or(0.0, |t| t.iter().map(|x| x.1).sum());
            w.headroom_mb - taken
        };
        let is_refusing = |w: &Worker| self.refused.get(&w.name).is_some_and(|until| *until > now);
        let fits =
            self.workers.iter().filter(|w| w.ready && is_allowed(&w.zone) && room(w) >= memory_mb && !is_refusing(w));
        let weigh = |w: &Worker| room(w) + if w.zone == zone { memory_mb } else { 0.0 };
        let host = fits.max_by(|a, b| weigh(a).total_cmp(&weigh(b)).then_with(|| b.name.cmp(&a.name)))?.clone();
        self.taken.entry(host.name.clone()).or_default().push((now, memory_mb));
        Some(host)
    }

    /// The platform would not start anything there.
    pub fn exclude(&mut self, worker: &str, now: u64) {
        self.refused.insert(worker.to_owned(), now + self.lag.max(1));
    }

    /// One call of those that the platform takes in a second; else how long to wait.
    pub fn take_token(&mut self, now: u64) -> Result<(), u64> {
        let most = (self.per_s / 10.0).max(1.0);
        self.tokens = (self.tokens + (now - self.filled.min(now)) as f64 * self.per_s / 1000.0).min(most);
        self.filled = now;
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        Err(((1.0 - self.tokens) * 1000.0 / self.per_s.max(0.001)).ceil() as u64)
    }
}
