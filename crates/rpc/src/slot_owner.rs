//! Assigns functions to fronts by rendezvous hashing: processes that know the same fronts compute
//! the same owners, and when a front joins or leaves only its own functions move.

use crate::messages::Membership;

/// A front: the hash of its name, its name, and its internal address.
pub type Front = (u64, String, String);

/// Returns the 64-bit FNV-1a hash.
pub fn fingerprint(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf29ce484222325, |h, b| (h ^ *b as u64).wrapping_mul(0x100000001b3))
}

fn mix(h: u64) -> u64 {
    let h = (h ^ (h >> 32)).wrapping_mul(0x9e3779b97f4a7c15);
    h ^ (h >> 29)
}

/// Returns the fronts of a membership that may own functions.
pub fn fronts(membership: &Membership) -> Vec<Front> {
    let eligible = membership.nodes.iter().filter(|n| n.role == "functions" && !n.leaving);
    eligible.map(|n| (mix(fingerprint(n.name.as_bytes())), n.name.clone(), n.inner.clone())).collect()
}

/// Returns the slot owner of a function: the front with the highest combined hash.
pub fn slot_owner<'a>(fronts: &'a [Front], service: &str) -> Option<&'a Front> {
    slot_owner_excluding(fronts, service, |_| false)
}

/// Returns the slot owner among the fronts that `unresponsive` does not exclude as unresponsive.
pub fn slot_owner_excluding<'a>(
    fronts: &'a [Front],
    service: &str,
    unresponsive: impl Fn(&str) -> bool,
) -> Option<&'a Front> {
    let service_hash = mix(fingerprint(service.as_bytes()));
    fronts.iter().filter(|f| !unresponsive(&f.1)).max_by_key(|f| mix(f.0 ^ service_hash))
}
