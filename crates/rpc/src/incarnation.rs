//! Incarnation numbers: they order the successive processes of one node name.

use std::hash::{BuildHasher, Hasher};

/// Upper bound, exclusive. No real clock yields an incarnation this large, so one at or above it is
/// an error of its sender.
const INCARNATION_LIMIT: u64 = 1 << 62;

/// Returns an incarnation for a process that starts now. The wall-clock time in the upper bits
/// makes later incarnations usually greater; the random low 20 bits distinguish processes started
/// in the same millisecond. If the clock was wrong, a peer that knows a greater incarnation reports
/// it and the process takes `next_incarnation` of that one.
pub fn new_incarnation() -> u64 {
    let random = std::collections::hash_map::RandomState::new().build_hasher().finish();
    (telemetry::wall_ms() << 20) | (random & 0xf_ffff)
}

/// Returns the smallest valid incarnation greater than `known`.
pub fn next_incarnation(known: u64) -> u64 {
    known.max(1) + 1
}

/// Returns whether `incarnation` is in the valid range; counts the ones that are not.
pub fn is_valid_incarnation(incarnation: u64) -> bool {
    if incarnation >= INCARNATION_LIMIT {
        telemetry::count("incarnations_impossible");
    }
    incarnation < INCARNATION_LIMIT
}
