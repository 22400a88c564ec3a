//! The ids of the requests that a connection has carried.
//!
//! An answer is told from others by the id of its request, which is the same each time that a
//! request is sent again. Invariant (docs/design.md, 17): a connection carries an id once, so an
//! answer that bears it belongs to that one send, however late or often it comes.

/// How many requests a connection carries; it is not kept beyond that.
const CAPACITY: usize = 1024;

/// The ids that one connection has carried.
#[derive(Debug, Default)]
pub(crate) struct SentIds {
    hashes: Vec<u64>,
}

impl SentIds {
    /// Whether a request whose id has this hash may have been sent: two ids may have one hash.
    pub(crate) fn may_contain(&self, id_hash: u64) -> bool {
        self.hashes.contains(&id_hash)
    }

    /// A request whose id has this hash is sent.
    pub(crate) fn insert(&mut self, id_hash: u64) {
        self.hashes.push(id_hash);
    }

    /// Whether no more are remembered.
    pub(crate) fn is_full(&self) -> bool {
        self.hashes.len() >= CAPACITY
    }
}
