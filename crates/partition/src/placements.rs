//! Operations and order keys that this partition has placed in other partitions. Part of the
//! replicated state; depends only on the log's records and their timestamps.
//!
//! Invariant (docs/design/tenants.md): the placements of a subject form a chain that starts at its
//! directory partition. Each link is decided by one log and its generation is one higher than that
//! of the previous link. If the chain returns to a partition, the older link there is therefore no
//! longer valid.

use crate::digest::{fingerprint, mix};
use rpc::messages::PlacementSubject;
use std::collections::{BTreeSet, HashMap};

/// The placement of a subject in another partition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Placement {
    /// The partition that stores the subject.
    pub partition: u32,
    /// One higher than the generation of the placement that routed the subject to this partition.
    pub generation: u64,
    /// Expiry, in milliseconds of record time.
    pub until_ms: u64,
}

/// The placements of a partition that have not expired.
#[derive(Clone, Debug, Default)]
pub struct Placements {
    by_subject: HashMap<PlacementSubject, Placement>,
    expiry: BTreeSet<(u64, PlacementSubject)>,
    digest: u64,
}

/// A placement as encoded in a snapshot.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SnapshotPlacement {
    #[prost(uint32, tag = "1")]
    pub partition: u32,
    #[prost(oneof = "PlacementSubject", tags = "2, 3")]
    pub subject: Option<PlacementSubject>,
    #[prost(uint64, tag = "4")]
    pub generation: u64,
    #[prost(uint64, tag = "5")]
    pub until_ms: u64,
}

/// Digest of one placement. The digests are summed, so an update costs only the placements changed.
fn placement_digest(subject: &PlacementSubject, placement: &Placement) -> u64 {
    let seed = match subject {
        PlacementSubject::Operation(operation) => mix(operation.high, operation.low),
        PlacementSubject::Order(order) => fingerprint(fingerprint(1, order.tenant.as_bytes()), order.key.as_bytes()),
    };
    let words = [u64::from(placement.partition), placement.generation, placement.until_ms];
    words.into_iter().fold(seed, mix)
}

impl Placements {
    /// The placement of a subject that is valid at `at_ms`, if newer than `generation`, the
    /// generation of the placement that routed the subject to this partition.
    pub fn get(&self, subject: &PlacementSubject, generation: u64, at_ms: u64) -> Option<Placement> {
        let is_valid = |placement: &&Placement| placement.generation > generation && at_ms <= placement.until_ms;
        self.by_subject.get(subject).filter(is_valid).copied()
    }

    /// Places a subject that was routed here by a placement of `generation` and returns the
    /// placement. If a valid placement exists, its partition is kept and its expiry extended.
    pub fn place(
        &mut self,
        subject: PlacementSubject,
        wanted: u32,
        generation: u64,
        at_ms: u64,
        until_ms: u64,
    ) -> Placement {
        let new = Placement { partition: wanted, generation: generation + 1, until_ms };
        let placement = match self.get(&subject, generation, at_ms) {
            Some(existing) => Placement { until_ms: until_ms.max(existing.until_ms), ..existing },
            None => new,
        };
        self.insert(subject, placement);
        placement
    }

    /// Removes placements that expired before `at_ms`.
    pub fn remove_expired(&mut self, at_ms: u64) {
        while let Some((until_ms, subject)) = self.expiry.first().cloned() {
            if until_ms >= at_ms {
                break;
            }
            self.remove(&subject);
        }
    }

    pub fn len(&self) -> usize {
        self.by_subject.len()
    }

    pub fn is_empty(&self) -> bool {
        self.by_subject.is_empty()
    }

    /// The contribution of the placements to the partition's digest; 0 if there are none.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Recomputes the digest from all placements. The incrementally maintained digest must equal it.
    pub fn recompute_digest(&self) -> u64 {
        self.by_subject
            .iter()
            .fold(0, |sum, (subject, placement)| sum.wrapping_add(placement_digest(subject, placement)))
    }

    /// All placements in order of expiry.
    pub fn snapshot(&self) -> Vec<SnapshotPlacement> {
        let entry = |(_, subject): &(u64, PlacementSubject)| {
            let Placement { partition, generation, until_ms } = *self.by_subject.get(subject)?;
            Some(SnapshotPlacement { partition, subject: Some(subject.clone()), generation, until_ms })
        };
        self.expiry.iter().filter_map(entry).collect()
    }

    /// Restores the placements of a snapshot.
    pub fn restore(entries: &[SnapshotPlacement]) -> Placements {
        let mut placements = Placements::default();
        for SnapshotPlacement { partition, subject, generation, until_ms } in entries.iter().cloned() {
            if let Some(subject) = subject {
                placements.insert(subject, Placement { partition, generation, until_ms });
            }
        }
        placements
    }

    /// Removes the placement of a subject, for example because it has returned to this partition.
    pub fn remove(&mut self, subject: &PlacementSubject) {
        let Some(removed) = self.by_subject.remove(subject) else { return };
        self.digest = self.digest.wrapping_sub(placement_digest(subject, &removed));
        self.expiry.remove(&(removed.until_ms, subject.clone()));
    }

    fn insert(&mut self, subject: PlacementSubject, placement: Placement) {
        self.remove(&subject);
        self.digest = self.digest.wrapping_add(placement_digest(&subject, &placement));
        self.expiry.insert((placement.until_ms, subject.clone()));
        self.by_subject.insert(subject, placement);
    }
}
