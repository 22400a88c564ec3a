//! The ids of the requests that a connection has carried.
//!
//! A response is matched to its request by id, and a retry of a request has the same id. Invariant
//! (docs/design.md, 17): a connection carries an id at most once, so a response with that id belongs
//! to that one send, however late or often it arrives.

/// Maximum number of requests on a connection; it is not reused after that.
const CAPACITY: usize = 1024;

/// Hashes of the ids that one connection has carried.
#[derive(Debug, Default)]
pub(crate) struct SentIds {
    hashes: Vec<u64>,
}

impl SentIds {
    /// Whether a request whose id has this hash may have been sent; hashes may collide.
    pub(crate) fn may_contain(&self, id_hash: u64) -> bool {
        self.hashes.contains(&id_hash)
    }

    /// Records that a request whose id has this hash is sent.
    pub(crate) fn insert(&mut self, id_hash: u64) {
        self.hashes.push(id_hash);
    }

    /// Whether the maximum number of requests is reached.
    pub(crate) fn is_full(&self) -> bool {
        self.hashes.len() >= CAPACITY
    }
}
