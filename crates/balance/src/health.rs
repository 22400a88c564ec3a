//! What one node has seen of one processor: how fast it answers, how it fails, and whether it
//! is left out for a while.

/// How a send to a processor ended, as far as choosing goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendEnd {
    /// It answered in so many milliseconds, and not with a failure.
    Good {
        /// From the send to the whole answer.
        took_ms: u64,
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
pub struct Pauses {
    /// After a refusal, and first after failures; doubled with each further one.
    pub first_ms: u64,
    /// At the most.
    pub longest_ms: u64,
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
    pub usual_ms: f64,
    failures: f64,
    /// Pauses in a row, without a good answer between them.
    pauses: u32,
    shut_until_ms: u64,
}

impl Health {
    /// Whether it is left out now.
    pub fn is_shut(&self, now_ms: u64) -> bool {
        now_ms < self.shut_until_ms
    }

    /// Whether it has been left out and has not answered well since: it is given one request
    /// at a time.
    pub fn is_on_trial(&self) -> bool {
        self.pauses > 0
    }

    /// Failures that count still: more make it less likely to be chosen.
    pub fn failures(&self) -> f64 {
        self.failures
    }

    /// A request is sent to it.
    pub fn begin(&mut self) {
        self.in_flight += 1;
    }

    /// A request that was sent to it has ended.
    pub fn end(&mut self, end: SendEnd, now_ms: u64, pauses: Pauses) {
        self.in_flight = self.in_flight.saturating_sub(1);
        match end {
            SendEnd::Good { took_ms } => self.answered(took_ms as f64),
            SendEnd::Failed => {
                self.failures += 1.0;
                if self.failures >= FAILURES_TO_EJECT || self.is_on_trial() {
                    self.pause(now_ms, pauses);
                }
            }
            SendEnd::Full => self.shut_until_ms = self.shut_until_ms.max(now_ms + pauses.first_ms),
            SendEnd::Unreachable => self.pause(now_ms, pauses),
            SendEnd::Gone => self.shut_until_ms = now_ms + pauses.longest_ms,
            SendEnd::Abandoned => {}
        }
    }

    fn answered(&mut self, took_ms: f64) {
        self.usual_ms = match self.usual_ms {
            0.0 => took_ms,
            usual => usual + (took_ms - usual) * SMOOTHING,
        };
        self.failures *= FORGIVENESS;
        self.pauses = 0;
    }

    fn pause(&mut self, now_ms: u64, pauses: Pauses) {
        let longer = pauses.first_ms << self.pauses.min(8);
        self.shut_until_ms = now_ms + longer.min(pauses.longest_ms);
        self.pauses += 1;
    }
}
