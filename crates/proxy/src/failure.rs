//! Answers to clients: those of processors, unchanged, and those of this system.

use crate::headers::is_hop_by_hop;
use http1::{Answer, Reply};

/// Why a request ends without a processor's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No processor has run it, and none will.
    NotRun {
        /// After how many milliseconds another try may do better.
        retry_ms: u64,
    },
    /// A processor may have run it, and its answer was lost.
    MayHaveRun,
    /// A processor had it and was silent until its time was over.
    TimedOut,
}

/// After how long a client may try again where nothing better is known, in milliseconds.
const USUAL_RETRY_MS: u64 = 100;

/// A refusal of this system's own.
pub fn fault(status: u16, why: &str) -> Reply {
    Reply::json(status, serde_json::json!({ "fault": why }).to_string())
}

/// The promise that a request has not run, and when to try again.
pub fn unavailable(retry_ms: u64) -> Reply {
    let secs = (retry_ms as f64 / 1000.0).clamp(0.02, 5.0);
    fault(503, "no processor can take it now").with("Retry-After", format!("{secs:.2}"))
}

impl Failure {
    /// It has not run, and another try may do better soon.
    pub fn not_run() -> Failure {
        Failure::NotRun { retry_ms: USUAL_RETRY_MS }
    }

    /// What two sends of one request say together.
    pub fn and(self, other: Failure) -> Failure {
        match (self, other) {
            (Failure::NotRun { retry_ms: a }, Failure::NotRun { retry_ms: b }) => {
                Failure::NotRun { retry_ms: a.min(b) }
            }
            (Failure::NotRun { .. }, unclear) | (unclear, _) => unclear,
        }
    }

    /// The client's answer.
    pub fn reply(self) -> Reply {
        match self {
            Failure::NotRun { retry_ms } => {
                telemetry::count("answers_503");
                unavailable(retry_ms)
            }
            Failure::MayHaveRun => {
                telemetry::count("answers_502");
                fault(502, "it may have run")
            }
            Failure::TimedOut => {
                telemetry::count("answers_504");
                fault(504, "no answer in time")
            }
        }
    }
}

/// A processor's answer as the client gets it.
pub fn reply_of(answer: Answer) -> Reply {
    let connection = answer.header("connection").unwrap_or("").to_owned();
    let passed = answer.headers.into_iter().filter(|(name, _)| !is_hop_by_hop(name, &connection)).collect();
    Reply { body: answer.body, passed, ..Reply::new(answer.status) }
}
