//! What one node has seen of one processor: how fast it answers, how it fails, and whether it
//! is left out for a while.

/// How a send to a processor ended, as far as choosing goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendResult {
    /// It answered in so many milliseconds, and not with a failure.
    Success {
        /// From the send to the whole answer.
        latency_ms: u64,
    },
    /// It answered with a failure, broke off, or said nothing.
    Failed,
    /// It said that it did not run it, as it is full.
    Full,
    /// No connection came up.
    Unreachable,
    /// Nobody, or another processor, has the address.
    Gone,
    /// Nobody waited for it any more.
    Abandoned,
}

/// How long a processor is left out.
#[derive(Clone, Copy, Debug)]
pub struct EjectionBackoff {
    /// After a refusal, and first after failures; doubled with each further one.
    pub initial_ms: u64,
    /// At the most.
    pub max_ms: u64,
}

/// The weight of the newest run in the usual time of a processor.
const SMOOTHING: f64 = 0.1;
/// What is left of a processor's failures after a good answer.
const FORGIVENESS: f64 = 0.5;
/// So many failures, less those forgiven since, leave a processor out: one may be the
/// request's own.
const FAILURES_TO_EJECT: f64 = 1.5;

/// The state of one processor at one node. Times are in milliseconds.
#[derive(Clone, Debug, Default)]
pub struct Health {
    /// Requests of this node that it has now.
    pub in_flight: u32,
    /// How long its runs usually take; 0 before the first.
    pub mean_latency_ms: f64,
    failures: f64,
    /// EjectionBackoff in a row, without a good answer between them.
    pauses: u32,
    shut_until_ms: u64,
}

impl Health {
    /// Whether it is left out now.
    pub fn is_ejected(&self, now_ms: u64) -> bool {
        now_ms < self.shut_until_ms
    }

    /// Whether it has been left out and has not answered well since: it is given one request
    /// at a time.
    pub fn is_on_probation(&self) -> bool {
        self.pauses > 0
    }

    /// Failures that count still: more make it less likely to be chosen.
    pub fn failure_score(&self) -> f64 {
        self.failures
    }

    /// A request is sent to it.
    pub fn begin(&mut self) {
        self.in_flight += 1;
    }

    /// A request that was sent to it has ended.
    pub fn end(&mut self, end: SendResult, now_ms: u64, backoff: EjectionBackoff) {
        self.in_flight = self.in_flight.saturating_sub(1);
        match end {
            SendResult::Success { latency_ms } => self.answered(latency_ms as f64),
            SendResult::Failed => {
                self.failures += 1.0;
                if self.failures >= FAILURES_TO_EJECT || self.is_on_probation() {
                    self.pause(now_ms, backoff);
                }
            }
            SendResult::Full => self.shut_until_ms = self.shut_until_ms.max(now_ms + backoff.initial_ms),
            SendResult::Unreachable => self.pause(now_ms, backoff),
            SendResult::Gone => self.shut_until_ms = now_ms + backoff.max_ms,
            SendResult::Abandoned => {}
        }
    }

    fn answered(&mut self, latency_ms: f64) {
        self.mean_latency_ms = match self.mean_latency_ms {
            0.0 => latency_ms,
            usual => usual + (latency_ms - usual) * SMOOTHING,
        };
        self.failures *= FORGIVENESS;
        self.pauses = 0;
    }

    fn pause(&mut self, now_ms: u64, backoff: EjectionBackoff) {
        let longer = backoff.initial_ms << self.pauses.min(8);
        self.shut_until_ms = now_ms + longer.min(backoff.max_ms);
        self.pauses += 1;
    }
}
