//! A client's request on its way: its route, its time and its tries.

use crate::attempts::Attempts;
use crate::failure::{Failure, fault, reply_of};
use config::{ConfigurationIndex, Route, Settings};
use http1::{Answer, Reply, Request};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// The longest id of a request, in bytes.
const ID_LIMIT: usize = 128;
/// The longest time that a client may give, in milliseconds.
const DEADLINE_LIMIT_MS: f64 = 1e9;
/// Connections to one processor where the configuration bounds them by nothing.
const USUAL_CONNECTIONS: u32 = 8;

/// A request that is to be passed on.
pub struct ClientRequest<'a> {
    /// As it came.
    pub request: &'a Request,
    /// Its route.
    pub route: &'a Route,
    /// The service that runs it, of those that share the route.
    pub service: String,
    /// The zones in which it may run; empty for anywhere.
    pub zones: Vec<String>,
    /// Its id, which its answer carries.
    pub id: &'a str,
    /// When the client is to have its answer: by its own deadline and the route's timeout.
    pub deadline: Instant,
    /// Whether it may run more than once.
    pub is_safe: bool,
    /// Connections to one processor at the most.
    pub connection_limit: usize,
    attempts: Mutex<Attempts>,
}

impl<'a> ClientRequest<'a> {
    /// Finds a request's route and time; the error is the client's answer.
    pub fn read(
        request: &'a Request,
        configuration: &'a ConfigurationIndex,
        settings: &Settings,
        begun: Instant,
    ) -> Result<ClientRequest<'a>, Reply> {
        let host = request.header("host").unwrap_or("");
        let path = request.path.split('?').next().unwrap_or("");
        let route = configuration.route(host, path).ok_or_else(|| fault(404, "no such route"))?;
        let id = request.header("x-attempt-id").filter(|id| !id.is_empty() && id.len() <= ID_LIMIT);
        let id = id.ok_or_else(|| fault(400, "X-Attempt-Id is missing"))?;
        let given_ms = match request.header("x-deadline-ms") {
            Some(text) => {
                http1::milliseconds(text, DEADLINE_LIMIT_MS).ok_or_else(|| fault(400, "X-Deadline-Ms is not a time"))?
            }
            None => route.timeout_ms,
        };
        let homes = configuration.homes(route, "");
        let zones = settings.zones_within(&homes);
        if homes.is_bound() && zones.is_empty() {
            return Err(fault(403, "none of the regions that it may run in is known"));
        }
        let service = route.service_for(rpc::fingerprint(id.as_bytes())).to_owned();
        let limit = configuration.service(&service).map_or(USUAL_CONNECTIONS, |service| service.conn_limit.max(1));
        Ok(ClientRequest {
            request,
            route,
            service,
            zones,
            id,
            // Nothing is held for longer than its route wants it held.
            deadline: begun + Duration::from_micros((given_ms.min(route.timeout_ms) * 1000.0) as u64),
            is_safe: route.mode == "safe",
            connection_limit: limit as usize,
            attempts: Mutex::new(Attempts::new(route.tries)),
        })
    }

    /// Which processors had it.
    pub fn attempts(&self) -> MutexGuard<'_, Attempts> {
        self.attempts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// How much of its time is left.
    pub fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// The shortest deadline of a send: with less, no run is to be expected.
    pub fn min_run_time(&self) -> Duration {
        Duration::from_micros((self.route.target_latency_ms * 100.0) as u64).max(Duration::from_millis(2))
    }

    /// What its client is told in the end. That it has not run is said only if no processor
    /// may have run it in any of its sends.
    pub fn reply(&self, outcome: Result<Answer, Failure>) -> Reply {
        match outcome {
            Ok(answer) => reply_of(answer),
            Err(Failure::NotRun { .. }) if self.attempts().may_have_run() => Failure::MayHaveRun.reply(),
            Err(failure) => failure.reply(),
        }
    }

    /// Whether its client has closed its connection.
    pub fn client_has_left(&self) -> bool {
        self.request.departure.has_left()
    }
}
