//! Which front keeps which function: the same everywhere where the same fronts are
//! known, and when one comes or goes only its own part moves.

use crate::messages::Membership;

/// A front by its name's hash, its name, and its inner address.
pub type Front = (u64, String, String);

/// A short print of some bytes (FNV-1a).
pub fn fingerprint(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf29ce484222325, |h, b| (h ^ *b as u64).wrapping_mul(0x100000001b3))
}

fn mix(h: u64) -> u64 {
    let h = (h ^ (h >> 32)).wrapping_mul(0x9e3779b97f4a7c15);
    h ^ (h >> 29)
}

/// The fronts of a membership that may keep functions.
pub fn fronts(r: &Membership) -> Vec<Front> {
    let mine = r.nodes.iter().filter(|n| n.role == "functions" && !n.leaving);
    mine.map(|n| (mix(fingerprint(n.name.as_bytes())), n.name.clone(), n.inner.clone())).collect()
}

/// The slot owner of a function: the front whose hash with it is highest.
pub fn slot_owner<'a>(fronts: &'a [Front], service: &str) -> Option<&'a Front> {
    slot_owner_but(fronts, service, |_| false)
}

/// The slot owner as long as some do not answer.
pub fn slot_owner_but<'a>(fronts: &'a [Front], service: &str, dark: impl Fn(&str) -> bool) -> Option<&'a Front> {
    let p = mix(fingerprint(service.as_bytes()));
    fronts.iter().filter(|f| !dark(&f.1)).max_by_key(|f| mix(f.0 ^ p))
}
