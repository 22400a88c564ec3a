//! A persistent key-value store in a segmented, checksummed log. A dedicated
//! thread writes with group commit: all pending writes become one batch with one
//! sync.
//!
//! Guarantees after a power failure:
//! - A batch is durable once a sync after its write has succeeded, and `done` is
//!   called only then. Later batches may be missing or torn: recovery stops at
//!   the first incomplete batch, truncates the segment there and syncs it before
//!   anything is passed to the caller.
//! - A segment is synced before the next one is created, so all batches before an
//!   existing one exist as well. A gap in the batch numbers is corruption, and
//!   the directory is refused.
//! - Segments are removed oldest first, and the directory is synced after each
//!   removal. If a removal is lost, the segment that reappears holds only what
//!   later segments override.

#![warn(missing_docs)]

mod segments;
use bytes::Bytes;
pub use segments::SegmentLog;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc;
use std::time::{Duration, Instant};

/// How long the latest write times describe the state of the disk, as a multiple of the bound
/// of a slow write.
const SLOW_VALIDITY_FACTOR: u32 = 32;

/// Length of a key in bytes.
pub const KEY_LEN: usize = 13;
/// A stored key, as built by [`key`].
pub type Key = [u8; KEY_LEN];

/// Builds a key from a kind, a partition (or 0) and a number.
pub fn key(kind: u8, partition: u32, n: u64) -> Key {
    let mut k = [0; KEY_LEN];
    k[0] = kind;
    k[1..5].copy_from_slice(&partition.to_be_bytes());
    k[5..].copy_from_slice(&n.to_be_bytes());
    k
}

/// A change of the stored data.
#[derive(Clone, Debug)]
pub enum Op {
    /// Stores a value, replacing that of the same key.
    Put(Key, Bytes),
    /// Stores the concatenation of these parts as a value, replacing that of the same key.
    PutParts(Key, Vec<Bytes>),
    /// Removes a key.
    Del(Key),
    /// Removes all keys from the first to the last, both included.
    DelRange(Key, Key),
}

impl Op {
    /// The parts of the value that the operation stores; none if it removes keys.
    fn value_parts(&self) -> &[Bytes] {
        match self {
            Op::Put(_, value) => std::slice::from_ref(value),
            Op::PutParts(_, parts) => parts,
            Op::Del(_) | Op::DelRange(..) => &[],
        }
    }
}

/// Called once a write is durable.
type OnDurable = Box<dyn FnOnce() + Send>;

struct WriteRequest {
    ops: Vec<Op>,
    on_durable: OnDurable,
}

/// What the disk thread reports to the handles. Times are in milliseconds since `start`.
struct DiskState {
    used_bytes: AtomicU64,
    /// Bytes of values that wait to be durable.
    queued_bytes: AtomicU64,
    start: Instant,
    /// Start of the write in progress, plus 1; 0 if there is none.
    write_started_ms: AtomicU64,
    /// Durations of the last four writes in milliseconds, 16 bits each, the newest in the lowest bits.
    write_times_ms: AtomicU64,
    /// End of the last write.
    write_ended_ms: AtomicU64,
}

/// A handle to the disk thread.
#[derive(Clone)]
pub struct Wal {
    tx: mpsc::Sender<WriteRequest>,
    state: Arc<DiskState>,
}

impl Wal {
    /// Opens the directory, passes every stored pair to `read` in no particular order, and starts
    /// the disk thread. Segment size and read buffer follow from the disk and memory of the machine.
    pub fn open(dir: &str, disk_mb: u64, memory_mb: u64, mut read: impl FnMut(&[u8], &[u8])) -> Result<Wal, String> {
        let segments = SegmentLog::open(dir, (disk_mb << 20) / 24, (memory_mb << 20) as usize / 8, &mut read)
            .map_err(|e| format!("{dir}: {e}"))?;
        let (tx, rx) = mpsc::channel();
        let state = Arc::new(DiskState {
            used_bytes: AtomicU64::new(segments.used_bytes()),
            queued_bytes: AtomicU64::new(0),
            start: Instant::now(),
            write_started_ms: AtomicU64::new(0),
            write_times_ms: AtomicU64::new(0),
            write_ended_ms: AtomicU64::new(0),
        });
        let thread_state = state.clone();
        std::thread::Builder::new()
            .name("wal".into())
            .spawn(move || run_writer(segments, rx, thread_state))
            .map_err(|e| e.to_string())?;
        Ok(Wal { tx, state })
    }

    /// Writes all operations atomically; `done` runs on the disk thread once they are durable.
    pub fn write(&self, ops: Vec<Op>, done: impl FnOnce() + Send + 'static) {
        self.state.queued_bytes.fetch_add(value_bytes(&ops), Ordering::Relaxed);
        let _ = self.tx.send(WriteRequest { ops, on_durable: Box::new(done) });
    }

    /// Bytes used on disk.
    pub fn used_bytes(&self) -> u64 {
        self.state.used_bytes.load(Ordering::Relaxed)
    }

    /// Bytes of values that were passed to `write` and are not durable yet.
    pub fn queued_bytes(&self) -> u64 {
        self.state.queued_bytes.load(Ordering::Relaxed)
    }

    /// Whether each of the last four writes took longer than `bound`, unless they are too old to
    /// describe the current state of the disk.
    pub fn is_slow(&self, bound: Duration) -> bool {
        let times = self.state.write_times_ms.load(Ordering::Relaxed);
        let ended = Duration::from_millis(self.state.write_ended_ms.load(Ordering::Relaxed));
        let is_recent = self.state.start.elapsed().saturating_sub(ended) < bound * SLOW_VALIDITY_FACTOR;
        is_recent && (0..4).all(|n| Duration::from_millis(times >> (16 * n) & 0xffff) > bound)
    }

    /// How long the write in progress has taken so far; zero if there is none.
    pub fn busy_for(&self) -> Duration {
        let started_ms = self.state.write_started_ms.load(Ordering::Relaxed);
        if started_ms == 0 {
            return Duration::ZERO;
        }
        self.state.start.elapsed().saturating_sub(Duration::from_millis(started_ms))
    }
}

/// Bytes of the values that operations store.
fn value_bytes(ops: &[Op]) -> u64 {
    ops.iter().flat_map(Op::value_parts).map(|part| part.len() as u64).sum()
}

/// The disk thread: writes pending requests in batches until all handles are dropped.
fn run_writer(mut segments: SegmentLog, rx: mpsc::Receiver<WriteRequest>, state: Arc<DiskState>) {
    while let Ok(first) = rx.recv() {
        state.write_started_ms.store(state.start.elapsed().as_millis() as u64 + 1, Ordering::Relaxed);
        let (mut ops, mut callbacks, mut size) = (Vec::new(), Vec::new(), 0u64);
        let mut next = Some(first);
        while let Some(request) = next {
            size += value_bytes(&request.ops);
            ops.extend(request.ops);
            callbacks.push(request.on_durable);
            next = if size < 1 << 20 { rx.try_recv().ok() } else { None };
        }
        let (mut failed, mut pause) = (false, Duration::from_millis(5));
        // Nothing is acknowledged before it is durable. A write that fails is retried until it
        // succeeds; the stored data remains available in the meantime.
        while let Err(e) = segments.commit(&ops) {
            if !failed {
                telemetry::error!("disk write failed, retrying: {e}");
                telemetry::count("disk_refusals");
                failed = true;
            }
            std::thread::sleep(pause);
            pause = (pause * 2).min(Duration::from_millis(80));
        }
        if failed {
            telemetry::change!("disk writes succeed again");
        }
        telemetry::count("disk_syncs");
        let started_ms = state.write_started_ms.load(Ordering::Relaxed);
        let time_ms = (state.start.elapsed().as_millis() as u64 + 1).saturating_sub(started_ms).min(0xffff);
        state.write_times_ms.store(state.write_times_ms.load(Ordering::Relaxed) << 16 | time_ms, Ordering::Relaxed);
        state.write_ended_ms.store(state.start.elapsed().as_millis() as u64, Ordering::Relaxed);
        state.write_started_ms.store(0, Ordering::Relaxed);
        drop(ops);
        state.queued_bytes.fetch_sub(size, Ordering::Relaxed);
        for on_durable in callbacks {
            on_durable();
        }
        if let Err(e) = segments.compact() {
            telemetry::debug!("cannot compact segments yet: {e}");
        }
        let used = segments.used_bytes();
        state.used_bytes.store(used, Ordering::Relaxed);
        telemetry::set("disk_used_mb", used >> 20);
    }
}
