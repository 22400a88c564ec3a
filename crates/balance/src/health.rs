//! Passive health checks of one processor by one node: its latency, its recent failures, and
//! whether it is ejected from load balancing for a while.

/// The result of a send to a processor, as far as it matters for load balancing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendResult {
    /// The processor answered without a failure.
    Success {
        /// Milliseconds from the send to the complete answer.
        latency_ms: u64,
    },
    /// The processor answered with a failure, broke off the answer, or did not answer.
    Failed,
    /// The processor refused the request because it is at capacity, and did not run it.
    Full,
    /// No connection could be established.
    Unreachable,
    /// Nothing listens at the address, or another processor has it.
    Gone,
    /// The send was cancelled because its answer is not needed any more.
    Abandoned,
}

/// How long a processor is ejected.
#[derive(Clone, Copy, Debug)]
pub struct EjectionBackoff {
    /// The duration after a refusal, and of the first ejection after failures; doubled with each
    /// further ejection.
    pub initial_ms: u64,
    /// The longest duration.
    pub max_ms: u64,
}

/// The weight of the newest sample in the moving average of a processor's latency.
const LATENCY_WEIGHT: f64 = 0.1;
/// The failure score is multiplied by this after each successful answer.
const FAILURE_DECAY: f64 = 0.5;
/// The failure score at which a processor is ejected. More than one failure is needed, since a
/// single one may be caused by the request itself.
const FAILURES_TO_EJECT: f64 = 1.5;

/// The health of one processor as one node sees it. Times are in milliseconds.
#[derive(Clone, Debug, Default)]
pub struct Health {
    /// Requests of this node that are in flight to it.
    pub in_flight: u32,
    /// The moving average of its latency; 0 before the first success.
    pub mean_latency_ms: f64,
    /// The number of failures, decayed by successes.
    failure_score: f64,
    /// Ejections since the last success.
    consecutive_ejections: u32,
    ejected_until_ms: u64,
}

impl Health {
    /// Whether it is ejected at this time.
    pub fn is_ejected(&self, now_ms: u64) -> bool {
        now_ms < self.ejected_until_ms
    }

    /// Whether it has not answered successfully since its last ejection. It then gets one request
    /// at a time.
    pub fn is_on_probation(&self) -> bool {
        self.consecutive_ejections > 0
    }

    /// The decayed number of failures; a higher one makes its selection less likely.
    pub fn failure_score(&self) -> f64 {
        self.failure_score
    }

    /// Records that a request is sent to it.
    pub fn begin(&mut self) {
        self.in_flight += 1;
    }

    /// Records the result of a request that was sent to it.
    pub fn end(&mut self, result: SendResult, now_ms: u64, backoff: EjectionBackoff) {
        self.in_flight = self.in_flight.saturating_sub(1);
        match result {
            SendResult::Success { latency_ms } => self.record_success(latency_ms as f64),
            SendResult::Failed => {
                self.failure_score += 1.0;
                if self.failure_score >= FAILURES_TO_EJECT || self.is_on_probation() {
                    self.eject(now_ms, backoff);
                }
            }
            SendResult::Full => self.ejected_until_ms = self.ejected_until_ms.max(now_ms + backoff.initial_ms),
            SendResult::Unreachable => self.eject(now_ms, backoff),
            SendResult::Gone => self.ejected_until_ms = now_ms + backoff.max_ms,
            SendResult::Abandoned => {}
        }
    }

    fn record_success(&mut self, latency_ms: f64) {
        self.mean_latency_ms = match self.mean_latency_ms {
            0.0 => latency_ms,
            mean => mean + (latency_ms - mean) * LATENCY_WEIGHT,
        };
        self.failure_score *= FAILURE_DECAY;
        self.consecutive_ejections = 0;
    }

    fn eject(&mut self, now_ms: u64, backoff: EjectionBackoff) {
        let duration_ms = backoff.initial_ms << self.consecutive_ejections.min(8);
        self.ejected_until_ms = now_ms + duration_ms.min(backoff.max_ms);
        self.consecutive_ejections += 1;
    }
}
