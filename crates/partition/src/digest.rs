//! Non-cryptographic mixing functions for the partition's digests.

pub(crate) fn mix(mut digest: u64, word: u64) -> u64 {
    digest ^= word;
    digest = digest.wrapping_mul(0x9e3779b97f4a7c15);
    digest ^ (digest >> 29)
}

/// Mixes bytes, preceded by their length, into a digest.
pub(crate) fn fingerprint(mut digest: u64, bytes: &[u8]) -> u64 {
    digest = mix(digest, bytes.len() as u64);
    for chunk in bytes.chunks(8) {
        let mut word = [0u8; 8];
        word[..chunk.len()].copy_from_slice(chunk);
        digest = mix(digest, u64::from_le_bytes(word));
    }
    digest
}
