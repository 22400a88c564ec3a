//! Operations and order keys that this partition has placed in others. Owned by the fold; decides
//! by the log's records and their times alone.
//!
//! Invariant (docs/design/tenants.md): the places of a subject form a chain that begins at its
//! directory. Each link is decided by one log and has the generation that follows that of the link
//! before it, so where the chain comes back to a partition, its older link there holds no more.

use crate::digest::{fingerprint, mix};
use rpc::messages::PlacementSubject;
use std::collections::{BTreeSet, HashMap};

/// Where a subject was placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Placement {
    /// The partition that is to keep it.
    pub partition: u32,
    /// One more than that of the placement by which the subject had come here.
    pub generation: u64,
    /// Until when this holds, in milliseconds of the records' times.
    pub until_ms: u64,
}

/// All placements that hold.
#[derive(Clone, Debug, Default)]
pub struct Placements {
    by_subject: HashMap<PlacementSubject, Placement>,
    expiry: BTreeSet<(u64, PlacementSubject)>,
    digest: u64,
}

/// One placement, as a snapshot holds it.
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

fn part(subject: &PlacementSubject, placement: &Placement) -> u64 {
    let begun = match subject {
        PlacementSubject::Operation(operation) => mix(operation.high, operation.low),
        PlacementSubject::Order(order) => fingerprint(fingerprint(1, order.tenant.as_bytes()), order.key.as_bytes()),
    };
    let words = [u64::from(placement.partition), placement.generation, placement.until_ms];
    words.into_iter().fold(begun, mix)
}

impl Placements {
    /// Where a subject is placed at a time, for one that came here by a placement of that
    /// generation.
    pub fn get(&self, subject: &PlacementSubject, generation: u64, at_ms: u64) -> Option<Placement> {
        let holds = |placement: &&Placement| placement.generation > generation && at_ms <= placement.until_ms;
        self.by_subject.get(subject).filter(holds).copied()
    }

    /// Places a subject that came here by a placement of that generation, or keeps it longer where
    /// it was placed before, and returns its placement.
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
            Some(former) => Placement { until_ms: until_ms.max(former.until_ms), ..former },
            None => new,
        };
        self.insert(subject, placement);
        placement
    }

    /// Forgets what does not hold any more.
    pub fn remove_expired(&mut self, at_ms: u64) {
        while let Some((until_ms, subject)) = self.expiry.first().cloned() {
            if until_ms >= at_ms {
                break;
            }
            self.remove(&subject);
        }
    }

    /// How many subjects are placed.
    pub fn len(&self) -> usize {
        self.by_subject.len()
    }

    /// Whether none is placed.
    pub fn is_empty(&self) -> bool {
        self.by_subject.is_empty()
    }

    /// The part of the partition's digest that these have; 0 where there are none.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// The digest from scratch: what the running one must equal.
    pub fn recompute_digest(&self) -> u64 {
        self.by_subject.iter().fold(0, |sum, (subject, placement)| sum.wrapping_add(part(subject, placement)))
    }

    /// All of them, in the order in which they end.
    pub fn snapshot(&self) -> Vec<SnapshotPlacement> {
        let entry = |(_, subject): &(u64, PlacementSubject)| {
            let Placement { partition, generation, until_ms } = *self.by_subject.get(subject)?;
            Some(SnapshotPlacement { partition, subject: Some(subject.clone()), generation, until_ms })
        };
        self.expiry.iter().filter_map(entry).collect()
    }

    /// Those that a snapshot holds.
    pub fn restore(entries: &[SnapshotPlacement]) -> Placements {
        let mut placements = Placements::default();
        for SnapshotPlacement { partition, subject, generation, until_ms } in entries.iter().cloned() {
            if let Some(subject) = subject {
                placements.insert(subject, Placement { partition, generation, until_ms });
            }
        }
        placements
    }

    /// A subject has come back here, so it is placed elsewhere no more.
    pub fn remove(&mut self, subject: &PlacementSubject) {
        let Some(former) = self.by_subject.remove(subject) else { return };
        self.digest = self.digest.wrapping_sub(part(subject, &former));
        self.expiry.remove(&(former.until_ms, subject.clone()));
    }

    fn insert(&mut self, subject: PlacementSubject, placement: Placement) {
        self.remove(&subject);
        self.digest = self.digest.wrapping_add(part(&subject, &placement));
        self.expiry.insert((placement.until_ms, subject.clone()));
        self.by_subject.insert(subject, placement);
    }
}
