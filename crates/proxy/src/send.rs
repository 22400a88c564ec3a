//! A single send of a request to a processor, and its outcome.

use crate::headers::is_hop_by_hop;
use crate::request::ClientRequest;
use http1::{Answer, Call, ConnectionPool, SendError};
use std::time::Duration;

/// A processor to which a request is sent.
#[derive(Clone, Debug)]
pub struct Target {
    /// Its id, which is sent along: a different processor at that address refuses the request.
    pub processor: String,
    /// The address on which it listens.
    pub address: String,
}

/// The rules for the connection of a send.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionRules {
    /// For requests that must not run twice: a pooled connection is used only if it has been idle
    /// for at most this time, as the peer may have dropped one that was idle for longer.
    pub max_idle: Duration,
    /// The timeout for a new connection; `None` for a quarter of the send's timeout.
    pub connect_timeout: Option<Duration>,
    /// The timeout of the check whether the address refuses connections, which is made if no
    /// connection could be established.
    pub probe_timeout: Duration,
}

/// The outcome of a send.
#[derive(Debug)]
pub enum SendOutcome {
    /// The processor's complete answer.
    Answered(Answer),
    /// Another processor has the address; the request did not run.
    OtherProcessor,
    /// The processor reported that it did not run the request.
    Refused,
    /// Nothing was sent.
    NotSent {
        /// Whether the address refuses connections.
        is_gone: bool,
    },
    /// The request may have run, and there is no answer that can be forwarded to the client.
    Lost,
    /// The request may have run, and no answer came before the timeout.
    TimedOut,
}

impl SendOutcome {
    /// Whether the processor certainly did not run the request.
    pub fn has_not_run(&self) -> bool {
        matches!(self, SendOutcome::OtherProcessor | SendOutcome::Refused | SendOutcome::NotSent { .. })
    }
}

/// Whether a status implies to the client that its request has not run and never will.
fn implies_not_run(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

/// The headers that are forwarded, and those that are rewritten for the processor.
fn forwarded_headers<'a>(
    client_request: &ClientRequest<'a>,
    target: &'a Target,
    deadline_ms: &'a str,
) -> Vec<(&'a str, &'a str)> {
    const REWRITTEN: [&str; 3] = ["host", "x-deadline-ms", "x-target-instance"];
    let connection = client_request.request.header("connection").unwrap_or("");
    let is_forwarded = |name: &str| {
        !is_hop_by_hop(name, connection) && !REWRITTEN.iter().any(|rewritten| name.eq_ignore_ascii_case(rewritten))
    };
    let given = client_request.request.headers.iter().filter(|(name, _)| is_forwarded(name));
    let mut headers: Vec<(&str, &str)> = given.map(|(name, value)| (name.as_str(), value.as_str())).collect();
    headers.push(("X-Deadline-Ms", deadline_ms));
    headers.push(("X-Target-Instance", &target.processor));
    headers
}

/// Sends a request to a processor and waits up to `timeout` for its answer.
pub async fn send(
    pool: &ConnectionPool,
    client_request: &ClientRequest<'_>,
    target: &Target,
    timeout: Duration,
    rules: ConnectionRules,
) -> SendOutcome {
    let deadline_ms = timeout.as_millis().to_string();
    let headers = forwarded_headers(client_request, target, &deadline_ms);
    let call = Call {
        method: &client_request.request.method,
        path: &client_request.request.path,
        host: client_request.request.header("host").unwrap_or(""),
        headers: &headers,
        body: &client_request.request.body,
        id: client_request.id,
        newest: (!client_request.is_safe).then_some(rules.max_idle),
        connect: rules.connect_timeout,
    };
    match pool.call(&target.address, call, client_request.connection_limit, timeout).await {
        Ok(answer) => classify(answer),
        // Only a refused connection shows that the processor is gone, as packets of a healthy one
        // can be lost.
        Err(SendError::NotSent) => {
            SendOutcome::NotSent { is_gone: rpc::refuses_connections(&target.address, rules.probe_timeout).await }
        }
        Err(SendError::Lost) => SendOutcome::Lost,
        Err(SendError::Silent) => SendOutcome::TimedOut,
    }
}

/// Classifies an answer.
fn classify(answer: Answer) -> SendOutcome {
    match answer.status {
        421 => SendOutcome::OtherProcessor,
        status if status >= 400 && answer.header("x-not-run").is_some() => SendOutcome::Refused,
        200..=299 => {
            let is_sealed = answer.header("x-seal").is_some_and(|seal| !seal.is_empty());
            if is_sealed && answer.header("content-encoding").is_none() && answer.is_complete {
                return SendOutcome::Answered(answer);
            }
            telemetry::count("answers_not_whole");
            SendOutcome::Lost
        }
        504 => SendOutcome::TimedOut,
        // The client would conclude that the request did not run, which the processor has not
        // reported.
        status if implies_not_run(status) => {
            telemetry::count("promises_of_nobody");
            SendOutcome::Lost
        }
        _ if answer.is_complete => SendOutcome::Answered(answer),
        _ => SendOutcome::Lost,
    }
}
