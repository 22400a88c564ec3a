//! What this process holds of messages in memory and on disk, and whether there is room for more.
//!
//! Invariant (docs/design/durability.md): a message is accepted only if the process stays below
//! `memoryMb` and `diskMb` with it, also while it compacts its logs or starts again.

use super::*;

/// The share of `memoryMb` that messages may take. The rest is for the program itself, views, records
/// kept for followers, frames, and what the allocator does not return.
const MEMORY_SHARE: f64 = 0.75;
/// The share of `diskMb` that messages may take.
const DISK_SHARE: f64 = 0.9;
/// The log on disk is compacted when it takes twice its live bytes and two segments.
const DISK_GARBAGE_FACTOR: usize = 2;
/// `diskMb` divided by the length of a segment.
const SEGMENTS_PER_DISK: usize = 24;
/// A log that has grown by this part of the disk or of the memory since its last snapshot gets a new
/// one, over all partitions. A process that starts reads such logs into memory.
const LOG_DISK_DIVISOR: usize = 6;
const LOG_MEMORY_DIVISOR: usize = 8;

/// Bytes of messages in memory and on disk, by what holds them.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct MemoryUse {
    /// The states of the partitions.
    committed: usize,
    /// The state of the largest partition.
    largest_partition: usize,
    /// Records that are not applied yet.
    unapplied: usize,
    /// Values that wait for the disk.
    disk_queue: usize,
    /// Snapshots and logs on disk, without what compaction is to remove.
    live_on_disk: usize,
}

impl MemoryUse {
    /// The most memory that the messages take. A compaction of the log on disk, a transfer to another
    /// node, and a start each hold up to two copies of one partition's snapshot for a while.
    fn peak_memory(&self) -> usize {
        self.committed + self.unapplied + self.disk_queue + 2 * self.largest_partition
    }

    /// The most that the messages take on disk, as the log holds what is outdated for a while, and a new
    /// snapshot beside the one that it replaces.
    fn peak_disk(&self, disk_bytes: usize) -> usize {
        let segments = DISK_GARBAGE_FACTOR * (disk_bytes / SEGMENTS_PER_DISK);
        DISK_GARBAGE_FACTOR * (self.live_on_disk + self.unapplied) + self.largest_partition + segments
    }
}

impl StoreService {
    fn memory_use(&self, state: &StoreState) -> MemoryUse {
        let mut sum = MemoryUse { disk_queue: self.wal.queued_bytes() as usize, ..MemoryUse::default() };
        for replica in state.replicas.values() {
            let committed = replica.state.memory_bytes();
            sum.committed += committed;
            sum.largest_partition = sum.largest_partition.max(committed);
            sum.unapplied += replica.unapplied_bytes();
            sum.live_on_disk += replica.disk_bytes();
        }
        sum
    }

    /// Whether there is room for `bytes` more of messages of the given rank.
    pub(super) fn has_room(&self, state: &StoreState, rank: u32, bytes: usize) -> bool {
        self.has_room_beside(self.memory_use(state), rank, bytes)
    }

    fn has_room_beside(&self, held: MemoryUse, rank: u32, bytes: usize) -> bool {
        let limits = &self.settings.limits;
        let disk = (limits.disk_mb << 20) as usize;
        let share = |mb: u64, share: f64| ((mb << 20) as f64 * share) as usize;
        let room = Capacity { memory: share(limits.memory_mb, MEMORY_SHARE), disk: share(limits.disk_mb, DISK_SHARE) };
        let on_disk = held.peak_disk(disk).max(self.wal.used_bytes() as usize);
        room.admits(rank, held.peak_memory() + bytes, on_disk + bytes)
    }

    /// Tells the owners of the partitions that this node follows whether it has room, and sets the
    /// gauges of what it holds.
    pub(super) fn update_room(&self, state: &mut StoreState) {
        let held = self.memory_use(state);
        let is_full = !self.has_room_beside(held, 0, 0);
        for replica in state.replicas.values_mut() {
            replica.is_node_full = is_full;
        }
        telemetry::set("memory_committed_kb", held.committed as u64 >> 10);
        telemetry::set("memory_unapplied_kb", held.unapplied as u64 >> 10);
        telemetry::set("memory_disk_queue_kb", held.disk_queue as u64 >> 10);
        telemetry::set("memory_peak_kb", held.peak_memory() as u64 >> 10);
        telemetry::set("disk_live_kb", held.live_on_disk as u64 >> 10);
        telemetry::set("full", u64::from(is_full));
    }

    /// The bytes by which the log of one partition may grow before it gets a new snapshot.
    pub(super) fn snapshot_interval_bytes(&self, state: &StoreState) -> usize {
        let limits = &self.settings.limits;
        let of_disk = (limits.disk_mb << 20) as usize / LOG_DISK_DIVISOR;
        let of_memory = (limits.memory_mb << 20) as usize / LOG_MEMORY_DIVISOR;
        of_disk.min(of_memory) / state.replicas.len().max(1)
    }
}
