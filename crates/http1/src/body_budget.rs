//! The memory that the bodies of all requests of a process may take together.

use std::sync::atomic::{AtomicUsize, Ordering};

/// Bytes reserved by all requests of this process.
static RESERVED_BYTES: AtomicUsize = AtomicUsize::new(0);

/// Bytes of the budget that a request has reserved; returned when it is dropped.
#[derive(Debug, Default)]
pub(crate) struct BodyReservation {
    bytes: usize,
}

impl BodyReservation {
    /// Raises the reservation to `bytes`. Returns whether the requests stay within the budget; if not,
    /// the reservation is unchanged.
    pub(crate) fn grow_to(&mut self, bytes: usize, budget_bytes: usize) -> bool {
        let more = bytes.saturating_sub(self.bytes);
        let reserved = RESERVED_BYTES.fetch_add(more, Ordering::Relaxed);
        if more > 0 && reserved + more > budget_bytes {
            RESERVED_BYTES.fetch_sub(more, Ordering::Relaxed);
            return false;
        }
        self.bytes += more;
        true
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        RESERVED_BYTES.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
