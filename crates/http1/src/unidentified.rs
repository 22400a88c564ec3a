//! Servers whose answers do not name their request.
//!
//! An answer to a request with an id counts only if it repeats that id: one that does not
//! may belong to any request. A server that never repeats it can complete nothing, and from
//! outside this looks like silence. Here such servers are found, so that they are reported.

use std::collections::HashMap;
use std::time::{Duration, Instant};

/// How many calls in a row must have brought answers without an id and none with their
/// own. Fewer may be strays on connections in trouble.
const CALLS_IN_A_ROW: u32 = 3;

struct Server {
    /// Calls since the last answer that named its request.
    calls: u32,
    last_call: Instant,
    is_reported: bool,
}

/// The servers of one pool that leave the id out, by address.
pub(crate) struct UnidentifiedAnswers {
    servers: HashMap<String, Server>,
    /// A server that is not called any more is forgotten after this time.
    forget_after: Duration,
}

impl UnidentifiedAnswers {
    pub(crate) fn new(forget_after: Duration) -> UnidentifiedAnswers {
        UnidentifiedAnswers { servers: HashMap::new(), forget_after }
    }

    /// A call brought answers without an id, and none of its own. True where that is to be
    /// reported: once for each server.
    pub(crate) fn missing(&mut self, address: &str, now: Instant) -> bool {
        let server =
            self.servers.entry(address.to_owned()).or_insert(Server { calls: 0, last_call: now, is_reported: false });
        server.calls = server.calls.saturating_add(1);
        server.last_call = now;
        server.calls >= CALLS_IN_A_ROW && !std::mem::replace(&mut server.is_reported, true)
    }

    /// A call brought its own answer.
    pub(crate) fn identified(&mut self, address: &str) {
        if let Some(server) = self.servers.get_mut(address) {
            server.calls = 0;
        }
    }

    /// The servers that do not name requests now, in order of their addresses.
    pub(crate) fn servers(&self) -> Vec<String> {
        let missing = self.servers.iter().filter(|(_, server)| server.calls >= CALLS_IN_A_ROW);
        let mut addresses: Vec<String> = missing.map(|(address, _)| address.clone()).collect();
        addresses.sort_unstable();
        addresses
    }

    /// Forgets servers that were not called for long.
    pub(crate) fn sweep(&mut self, now: Instant) {
        let forget_after = self.forget_after;
        self.servers.retain(|_, server| now.duration_since(server.last_call) < forget_after);
    }
}
