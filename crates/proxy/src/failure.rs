//! Replies to clients: forwarded answers of processors, and error replies of this system.

use crate::headers::is_hop_by_hop;
use http1::{Answer, Reply};

/// The reason why a request ends without a processor's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No processor has run the request, and none will.
    NotRun {
        /// The delay after which the client should retry, in milliseconds.
        retry_ms: u64,
    },
    /// A processor may have run the request, and its answer was lost.
    MayHaveRun,
    /// A processor was sent the request and did not answer before the deadline.
    TimedOut,
}

/// The default retry delay for clients, in milliseconds.
const DEFAULT_RETRY_MS: u64 = 100;

/// An error reply of this system.
pub fn fault_reply(status: u16, why: &str) -> Reply {
    Reply::json(status, serde_json::json!({ "fault": why }).to_string())
}

/// A 503 reply with `Retry-After`, which guarantees that the request has not run.
pub fn unavailable(retry_ms: u64) -> Reply {
    let secs = (retry_ms as f64 / 1000.0).clamp(0.02, 5.0);
    fault_reply(503, "no processor can take it now").with("Retry-After", format!("{secs:.2}"))
}

impl Failure {
    /// [`Failure::NotRun`] with the default retry delay.
    pub fn not_run() -> Failure {
        Failure::NotRun { retry_ms: DEFAULT_RETRY_MS }
    }

    /// The combined result of two failed sends of one request: `NotRun` only if neither may have
    /// run.
    pub fn combine(self, other: Failure) -> Failure {
        match (self, other) {
            (Failure::NotRun { retry_ms: a }, Failure::NotRun { retry_ms: b }) => {
                Failure::NotRun { retry_ms: a.min(b) }
            }
            (Failure::NotRun { .. }, unclear) | (unclear, _) => unclear,
        }
    }

    /// The reply to the client.
    pub fn reply(self) -> Reply {
        match self {
            Failure::NotRun { retry_ms } => {
                telemetry::count("answers_503");
                unavailable(retry_ms)
            }
            Failure::MayHaveRun => {
                telemetry::count("answers_502");
                fault_reply(502, "it may have run")
            }
            Failure::TimedOut => {
                telemetry::count("answers_504");
                fault_reply(504, "no answer in time")
            }
        }
    }
}

/// The reply that forwards a processor's answer, without its hop-by-hop headers.
pub fn reply_from_answer(answer: Answer) -> Reply {
    let connection = answer.header("connection").unwrap_or("").to_owned();
    let forwarded_headers = answer.headers.into_iter().filter(|(name, _)| !is_hop_by_hop(name, &connection)).collect();
    Reply { body: answer.body, forwarded_headers, ..Reply::new(answer.status) }
}
