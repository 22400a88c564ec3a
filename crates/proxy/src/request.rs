//! A client request with its route, deadline and attempts.

use crate::attempts::Attempts;
use crate::failure::{Failure, fault_reply, reply_from_answer};
use config::{ConfigurationIndex, Route, Settings};
use http1::{Answer, Reply, Request};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// The maximum length of a request id.
const MAX_ID_BYTES: usize = 128;
/// The maximum deadline that a client may set.
const MAX_DEADLINE_MS: f64 = 1e9;
/// The connection limit per processor if the service is not in the configuration.
const DEFAULT_CONNECTION_LIMIT: u32 = 8;

/// A request to be forwarded.
pub struct ClientRequest<'a> {
    /// The request as received.
    pub request: &'a Request,
    /// Its route.
    pub route: &'a Route,
    /// The service that runs it, selected among those of the route.
    pub service: String,
    /// The zones in which it may run; empty if it may run anywhere.
    pub zones: Vec<String>,
    /// Its id, which its answer carries as well.
    pub id: &'a str,
    /// The time by which the client must have its reply: the earlier of the client's deadline and
    /// the route's timeout.
    pub deadline: Instant,
    /// Whether it may run more than once.
    pub is_safe: bool,
    /// The maximum number of connections to one processor.
    pub connection_limit: usize,
    attempts: Mutex<Attempts>,
}

impl<'a> ClientRequest<'a> {
    /// Resolves a request's route and deadline. The error is the reply to the client.
    pub fn read(
        request: &'a Request,
        configuration: &'a ConfigurationIndex,
        settings: &Settings,
        received_at: Instant,
    ) -> Result<ClientRequest<'a>, Reply> {
        let host = request.header("host").unwrap_or("");
        let path = request.path.split('?').next().unwrap_or("");
        let route = configuration.route(host, path).ok_or_else(|| fault_reply(404, "no such route"))?;
        let id = request.header("x-attempt-id").filter(|id| !id.is_empty() && id.len() <= MAX_ID_BYTES);
        let id = id.ok_or_else(|| fault_reply(400, "X-Attempt-Id is missing"))?;
        let given_ms = match request.header("x-deadline-ms") {
            Some(text) => http1::milliseconds(text, MAX_DEADLINE_MS)
                .ok_or_else(|| fault_reply(400, "X-Deadline-Ms is not a time"))?,
            None => route.timeout_ms,
        };
        let homes = configuration.homes(route, "");
        let zones = settings.zones_within(&homes);
        if homes.is_bound() && zones.is_empty() {
            return Err(fault_reply(403, "none of the regions that it may run in is known"));
        }
        let service = route.service_for(rpc::fingerprint(id.as_bytes())).to_owned();
        let limit =
            configuration.service(&service).map_or(DEFAULT_CONNECTION_LIMIT, |service| service.conn_limit.max(1));
        Ok(ClientRequest {
            request,
            route,
            service,
            zones,
            id,
            // The route's timeout bounds how long a request is held.
            deadline: received_at + Duration::from_micros((given_ms.min(route.timeout_ms) * 1000.0) as u64),
            is_safe: route.mode == "safe",
            connection_limit: limit as usize,
            attempts: Mutex::new(Attempts::new(route.tries)),
        })
    }

    /// The processors to which it was sent.
    pub fn attempts(&self) -> MutexGuard<'_, Attempts> {
        self.attempts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The time until its deadline.
    pub fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// The minimum time that must remain for a send; with less, the request cannot be expected to
    /// run in time.
    pub fn min_run_time(&self) -> Duration {
        Duration::from_micros((self.route.target_latency_ms * 100.0) as u64).max(Duration::from_millis(2))
    }

    /// The final reply to the client. It states that the request has not run only if no processor
    /// may have run it in any of its sends.
    pub fn reply(&self, outcome: Result<Answer, Failure>) -> Reply {
        match outcome {
            Ok(answer) => reply_from_answer(answer),
            Err(Failure::NotRun { .. }) if self.attempts().may_have_run() => Failure::MayHaveRun.reply(),
            Err(failure) => failure.reply(),
        }
    }

    /// Whether the client has closed its connection.
    pub fn client_has_left(&self) -> bool {
        self.request.client_connection.is_closed()
    }
}
