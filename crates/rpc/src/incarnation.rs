//! Incarnations: which of two processes of one name came later.

use std::hash::{BuildHasher, Hasher};

/// No clock gets this far: an incarnation above it is somebody's mistake.
const LAST: u64 = 1 << 62;

/// An incarnation for a process that begins now. The time of day makes later ones mostly
/// greater; the low bits keep two that begin in one millisecond apart. Where the
/// clock was wrong, whoever knows a greater one says so, and `after` is taken.
pub fn new_incarnation() -> u64 {
    let chance = std::collections::hash_map::RandomState::new().build_hasher().finish();
    (telemetry::wall_ms() << 20) | (chance & 0xf_ffff)
}

/// The next incarnation after one that is known.
pub fn after(known: u64) -> u64 {
    known.max(1) + 1
}

/// Whether an incarnation can be one at all.
pub fn possible(incarnation: u64) -> bool {
    if incarnation >= LAST {
        telemetry::count("incarnations_impossible");
    }
    incarnation < LAST
}
