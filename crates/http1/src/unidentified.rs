//! Detects servers whose responses do not repeat the request id.
//!
//! A response to a request with an id is accepted only if it repeats that id; one that does not may
//! belong to any request. A server that never repeats it can complete no request, which to callers
//! looks like a time-out. Such servers are detected here, so that they can be reported.

use std::collections::HashMap;
use std::time::{Duration, Instant};

/// How many calls in a row must have received responses without an id and none with their own.
/// Fewer may be stray responses on broken connections.
const CONSECUTIVE_CALLS: u32 = 3;

struct Server {
    /// Calls with unidentified responses since the last response that repeated its id.
    consecutive_calls: u32,
    last_call: Instant,
    is_reported: bool,
}

/// The servers of a pool that leave out the id, by address.
pub(crate) struct UnidentifiedAnswers {
    servers: HashMap<String, Server>,
    /// How long a server is remembered after its last call.
    retention: Duration,
}

impl UnidentifiedAnswers {
    pub(crate) fn new(retention: Duration) -> UnidentifiedAnswers {
        UnidentifiedAnswers { servers: HashMap::new(), retention }
    }

    /// Records a call that received responses without an id and none of its own. Returns true if the
    /// server is to be reported, which is once for each server.
    pub(crate) fn missing(&mut self, address: &str, now: Instant) -> bool {
        let server = self.servers.entry(address.to_owned()).or_insert(Server {
            consecutive_calls: 0,
            last_call: now,
            is_reported: false,
        });
        server.consecutive_calls = server.consecutive_calls.saturating_add(1);
        server.last_call = now;
        server.consecutive_calls >= CONSECUTIVE_CALLS && !std::mem::replace(&mut server.is_reported, true)
    }

    /// Records a call that received its own response.
    pub(crate) fn identified(&mut self, address: &str) {
        if let Some(server) = self.servers.get_mut(address) {
            server.consecutive_calls = 0;
        }
    }

    /// The addresses of the servers that currently leave out the id, sorted.
    pub(crate) fn servers(&self) -> Vec<String> {
        let missing = self.servers.iter().filter(|(_, server)| server.consecutive_calls >= CONSECUTIVE_CALLS);
        let mut addresses: Vec<String> = missing.map(|(address, _)| address.clone()).collect();
        addresses.sort_unstable();
        addresses
    }

    /// Forgets servers that were not called within the retention time.
    pub(crate) fn sweep(&mut self, now: Instant) {
        let retention = self.retention;
        self.servers.retain(|_, server| now.duration_since(server.last_call) < retention);
    }
}
