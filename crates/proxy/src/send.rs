//! One send of a request to a processor, and what came of it.

use crate::headers::is_hop_by_hop;
use crate::request::ClientRequest;
use http1::{Answer, Call, ConnectionPool, SendError};
use std::time::Duration;

/// A processor that a request is sent to.
#[derive(Clone, Debug)]
pub struct Target {
    /// Its id, which it is told: any other one at that address refuses.
    pub processor: String,
    /// Where it listens.
    pub address: String,
}

/// Which connections a send may use.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionRules {
    /// For requests that must not run twice: only a connection that was used within this
    /// time, as one that rested longer may be forgotten by the other side.
    pub max_idle: Duration,
    /// How long a new connection may take; `None`: a quarter of the time of the send.
    pub connect_timeout: Option<Duration>,
    /// How long to ask whether anybody listens, where no connection came up.
    pub probe_timeout: Duration,
}

/// What came of a send.
#[derive(Debug)]
pub enum SendOutcome {
    /// The processor's answer, whole.
    Answered(Answer),
    /// Another processor has the address: it did not run.
    OtherProcessor,
    /// The processor says that it did not run it.
    Refused,
    /// Nothing was sent.
    NotSent {
        /// Nobody listens at the address.
        is_gone: bool,
    },
    /// It may have run, and there is no answer that can be given to the client.
    Lost,
    /// It may have run, and nothing was heard until its time was over.
    TimedOut,
}

impl SendOutcome {
    /// Whether the processor certainly did not run the request.
    pub fn has_not_run(&self) -> bool {
        matches!(self, SendOutcome::OtherProcessor | SendOutcome::Refused | SendOutcome::NotSent { .. })
    }
}

/// Whether a status tells a client that its request has not run and never will.
fn promises_not_run(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

/// The headers that are passed on, with those that are written anew.
fn passed_headers<'a>(ask: &ClientRequest<'a>, target: &'a Target, deadline_ms: &'a str) -> Vec<(&'a str, &'a str)> {
    const WRITTEN_ANEW: [&str; 3] = ["host", "x-deadline-ms", "x-target-instance"];
    let connection = ask.request.header("connection").unwrap_or("");
    let is_passed = |name: &str| {
        !is_hop_by_hop(name, connection) && !WRITTEN_ANEW.iter().any(|anew| name.eq_ignore_ascii_case(anew))
    };
    let given = ask.request.headers.iter().filter(|(name, _)| is_passed(name));
    let mut headers: Vec<(&str, &str)> = given.map(|(name, value)| (name.as_str(), value.as_str())).collect();
    headers.push(("X-Deadline-Ms", deadline_ms));
    headers.push(("X-Target-Instance", &target.processor));
    headers
}

/// Sends a request to a processor, which has `within` to answer.
pub async fn send(
    pool: &ConnectionPool,
    ask: &ClientRequest<'_>,
    target: &Target,
    within: Duration,
    rules: ConnectionRules,
) -> SendOutcome {
    let deadline_ms = within.as_millis().to_string();
    let headers = passed_headers(ask, target, &deadline_ms);
    let call = Call {
        method: &ask.request.method,
        path: &ask.request.path,
        host: ask.request.header("host").unwrap_or(""),
        headers: &headers,
        body: &ask.request.body,
        id: ask.id,
        newest: (!ask.is_safe).then_some(rules.max_idle),
        connect: rules.connect_timeout,
    };
    match pool.call(&target.address, call, ask.connection_limit, within).await {
        Ok(answer) => read(answer),
        // Only who refuses is gone: packets of one that is well are lost at times.
        Err(SendError::NotSent) => {
            SendOutcome::NotSent { is_gone: rpc::refuses(&target.address, rules.probe_timeout).await }
        }
        Err(SendError::Lost) => SendOutcome::Lost,
        Err(SendError::Silent) => SendOutcome::TimedOut,
    }
}

/// What an answer means.
fn read(answer: Answer) -> SendOutcome {
    match answer.status {
        421 => SendOutcome::OtherProcessor,
        status if status >= 400 && answer.header("x-not-run").is_some() => SendOutcome::Refused,
        200..=299 => {
            let is_sealed = answer.header("x-seal").is_some_and(|seal| !seal.is_empty());
            if is_sealed && answer.header("content-encoding").is_none() && answer.whole {
                return SendOutcome::Answered(answer);
            }
            telemetry::count("answers_not_whole");
            SendOutcome::Lost
        }
        504 => SendOutcome::TimedOut,
        // It is not said that it did not run, which is what the client would read.
        status if promises_not_run(status) => {
            telemetry::count("promises_of_nobody");
            SendOutcome::Lost
        }
        _ if answer.whole => SendOutcome::Answered(answer),
        _ => SendOutcome::Lost,
    }
}
