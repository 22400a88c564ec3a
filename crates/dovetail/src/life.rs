//! Lives: which of two processes of one name came later.

use std::hash::{BuildHasher, Hasher};

/// No clock gets this far: a life above it is somebody's mistake.
const LAST: u64 = 1 << 62;

/// A life for a process that begins now. The time of day makes later ones mostly
/// greater; the low bits keep two that begin in one millisecond apart. Where the
/// clock was wrong, whoever knows a greater one says so, and `after` is taken.
pub fn new_life() -> u64 {
    let chance = std::collections::hash_map::RandomState::new().build_hasher().finish();
    (tally::wall_ms() << 20) | (chance & 0xf_ffff)
}

/// The next life after one that is known.
pub fn after(known: u64) -> u64 {
    known.max(1) + 1
}

/// Whether a life can be one at all.
pub fn possible(life: u64) -> bool {
    if life >= LAST {
        tally::count("lives_impossible");
    }
    life < LAST
}
