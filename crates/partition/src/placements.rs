//! Operations that this partition has placed in others. Owned by the fold; decides by the log's
//! records and their times alone.
//!
//! Invariant (docs/design/tenants.md): an operation is placed in one partition at a time, and the
//! first record that places it decides until it is forgotten.

use crate::digest::mix;
use rpc::messages::OperationId;
use std::collections::{BTreeSet, HashMap};

/// Where an operation was placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Placement {
    /// The partition that is to keep it.
    pub partition: u32,
    /// Until when this holds, in milliseconds of the records' times.
    pub until_ms: u64,
}

/// All placements that hold.
#[derive(Clone, Debug, Default)]
pub struct Placements {
    by_operation: HashMap<OperationId, Placement>,
    expiry: BTreeSet<(u64, OperationId)>,
    digest: u64,
}

/// One placement, as a snapshot holds it.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct SnapshotPlacement {
    #[prost(message, required, tag = "1")]
    pub operation: OperationId,
    #[prost(uint32, tag = "2")]
    pub partition: u32,
    #[prost(uint64, tag = "3")]
    pub until_ms: u64,
}

fn part(operation: &OperationId, placement: &Placement) -> u64 {
    let words = [operation.low, u64::from(placement.partition), placement.until_ms];
    words.into_iter().fold(operation.high, mix)
}

impl Placements {
    /// Where an operation is placed at a time.
    pub fn get(&self, operation: &OperationId, at_ms: u64) -> Option<Placement> {
        self.by_operation.get(operation).filter(|placement| at_ms <= placement.until_ms).copied()
    }

    /// Places an operation, or keeps it longer where it was placed before, and returns where.
    pub fn place(&mut self, operation: OperationId, wanted: u32, at_ms: u64, until_ms: u64) -> u32 {
        let partition = self.get(&operation, at_ms).map_or(wanted, |former| former.partition);
        self.insert(operation, Placement { partition, until_ms });
        partition
    }

    /// Forgets what does not hold any more.
    pub fn forget_before(&mut self, at_ms: u64) {
        while let Some((until_ms, operation)) = self.expiry.first().copied() {
            if until_ms >= at_ms {
                break;
            }
            self.remove(&operation);
        }
    }

    /// How many operations are placed.
    pub fn len(&self) -> usize {
        self.by_operation.len()
    }

    /// Whether none is placed.
    pub fn is_empty(&self) -> bool {
        self.by_operation.is_empty()
    }

    /// The part of the partition's digest that these have; 0 where there are none.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// The digest from scratch: what the running one must equal.
    pub fn digest_anew(&self) -> u64 {
        self.by_operation.iter().fold(0, |sum, (operation, placement)| sum.wrapping_add(part(operation, placement)))
    }

    /// All of them, in the order in which they end.
    pub fn snapshot(&self) -> Vec<SnapshotPlacement> {
        let entry = |(until_ms, operation): &(u64, OperationId)| {
            let partition = self.by_operation.get(operation)?.partition;
            Some(SnapshotPlacement { operation: *operation, partition, until_ms: *until_ms })
        };
        self.expiry.iter().filter_map(entry).collect()
    }

    /// Those that a snapshot holds.
    pub fn restore(entries: &[SnapshotPlacement]) -> Placements {
        let mut placements = Placements::default();
        for entry in entries {
            let placement = Placement { partition: entry.partition, until_ms: entry.until_ms };
            placements.insert(entry.operation, placement);
        }
        placements
    }

    fn insert(&mut self, operation: OperationId, placement: Placement) {
        self.remove(&operation);
        self.digest = self.digest.wrapping_add(part(&operation, &placement));
        self.expiry.insert((placement.until_ms, operation));
        self.by_operation.insert(operation, placement);
    }

    fn remove(&mut self, operation: &OperationId) {
        let Some(former) = self.by_operation.remove(operation) else { return };
        self.digest = self.digest.wrapping_sub(part(operation, &former));
        self.expiry.remove(&(former.until_ms, *operation));
    }
}
