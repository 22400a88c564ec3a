//! Keys and values on disk, in a checksummed log of segments, written by a
//! thread of its own with group commit: whatever waits becomes one batch and
//! one sync.
//!
//! What holds after a loss of power:
//! - A batch counts once a sync that came after it has succeeded, and `done` is
//!   called only then. What a power loss leaves of later batches is missing or
//!   torn; the reader stops at the first batch that is not whole, cuts the rest
//!   off and syncs, before anything is read to the caller.
//! - A segment is synced before the next one is begun, so a batch that is there
//!   has all before it. A gap in the numbers of the batches is damage, and the
//!   folder is refused.
//! - Segments are removed oldest first, each with a sync of the folder before the
//!   next, so that a removal which is lost brings nothing back that a later
//!   segment does not overrule.

#![warn(missing_docs)]

mod segments;
use bytes::Bytes;
pub use segments::SegmentLog;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc;
use std::time::{Duration, Instant};

/// For how many times the bound of a slow write the last ones say how the disk does.
const SLOW_MEMORY: u32 = 32;

/// All keys are this long.
pub const KEY_LEN: usize = 13;
/// A key on disk, as [`key`] makes it.
pub type Key = [u8; KEY_LEN];

/// A kind, a partition (or 0), and a number.
pub fn key(kind: u8, partition: u32, n: u64) -> Key {
    let mut k = [0; KEY_LEN];
    k[0] = kind;
    k[1..5].copy_from_slice(&partition.to_be_bytes());
    k[5..].copy_from_slice(&n.to_be_bytes());
    k
}

/// One change of what is stored.
#[derive(Clone, Debug)]
pub enum Op {
    /// Stores a value, in place of one of the same key.
    Put(Key, Bytes),
    /// Removes one key.
    Del(Key),
    /// All keys from the first to the last.
    DelRange(Key, Key),
}

type Done = Box<dyn FnOnce() + Send>;

struct Job {
    ops: Vec<Op>,
    done: Option<Done>,
}

struct Shared {
    used: AtomicU64,
    start: Instant,
    /// When the oldest write that has not come back began, in milliseconds; 0: none.
    since: AtomicU64,
    /// How long the last writes took, in milliseconds, newest first: 16 bits each.
    took: AtomicU64,
    /// When the last write came back, in milliseconds.
    ended: AtomicU64,
}

/// A handle to the disk thread.
#[derive(Clone)]
pub struct Wal {
    tx: mpsc::Sender<Job>,
    shared: Arc<Shared>,
}

impl Wal {
    /// Opens the folder, hands every stored pair to `read` (in no order), and
    /// starts the thread. Sized by the machine's disk and memory.
    pub fn open(dir: &str, disk_mb: u64, memory_mb: u64, mut read: impl FnMut(&[u8], &[u8])) -> Result<Wal, String> {
        let segments = SegmentLog::open(dir, (disk_mb << 20) / 24, (memory_mb << 20) as usize / 8, &mut read)
            .map_err(|e| format!("{dir}: {e}"))?;
        let (tx, rx) = mpsc::channel();
        let shared = Arc::new(Shared {
            used: AtomicU64::new(segments.used_bytes()),
            start: Instant::now(),
            since: AtomicU64::new(0),
            took: AtomicU64::new(0),
            ended: AtomicU64::new(0),
        });
        let s = shared.clone();
        std::thread::Builder::new()
            .name("wal".into())
            .spawn(move || write_all(segments, rx, s))
            .map_err(|e| e.to_string())?;
        Ok(Wal { tx, shared })
    }

    /// Writes all of it or nothing; `done` runs on the disk thread once it is durable.
    pub fn write(&self, ops: Vec<Op>, done: impl FnOnce() + Send + 'static) {
        let _ = self.tx.send(Job { ops, done: Some(Box::new(done)) });
    }

    /// Bytes on disk.
    pub fn used_bytes(&self) -> u64 {
        self.shared.used.load(Ordering::Relaxed)
    }

    /// Whether the last four writes all took longer than that, and not so long ago that they say
    /// nothing of the disk as it is now.
    pub fn is_slow(&self, bound: Duration) -> bool {
        let took = self.shared.took.load(Ordering::Relaxed);
        let ended = Duration::from_millis(self.shared.ended.load(Ordering::Relaxed));
        let is_recent = self.shared.start.elapsed().saturating_sub(ended) < bound * SLOW_MEMORY;
        is_recent && (0..4).all(|n| Duration::from_millis(took >> (16 * n) & 0xffff) > bound)
    }

    /// For how long the disk has not answered a write.
    pub fn busy_for(&self) -> Duration {
        let since = self.shared.since.load(Ordering::Relaxed);
        if since == 0 {
            return Duration::ZERO;
        }
        self.shared.start.elapsed().saturating_sub(Duration::from_millis(since))
    }
}

fn write_all(mut segments: SegmentLog, rx: mpsc::Receiver<Job>, shared: Arc<Shared>) {
    while let Ok(first) = rx.recv() {
        shared.since.store(shared.start.elapsed().as_millis() as u64 + 1, Ordering::Relaxed);
        let (mut ops, mut dones, mut size) = (Vec::new(), Vec::new(), 0);
        let mut next = Some(first);
        while let Some(job) = next {
            size += job.ops.iter().map(|o| if let Op::Put(_, v) = o { v.len() } else { 0 }).sum::<usize>();
            ops.extend(job.ops);
            dones.extend(job.done);
            next = if size < 1 << 20 { rx.try_recv().ok() } else { None };
        }
        let (mut failed, mut pause) = (false, Duration::from_millis(5));
        // What is not durable is not acknowledged. A disk that refuses is tried
        // again until it takes it: what is on it stays in service meanwhile.
        while let Err(e) = segments.commit(&ops) {
            if !failed {
                telemetry::error!("disk write refused, trying again: {e}");
                telemetry::count("disk_refusals");
                failed = true;
            }
            std::thread::sleep(pause);
            pause = (pause * 2).min(Duration::from_millis(80));
        }
        if failed {
            telemetry::change!("the disk takes writes again");
        }
        telemetry::count("disk_syncs");
        let began = shared.since.load(Ordering::Relaxed);
        let took = (shared.start.elapsed().as_millis() as u64 + 1).saturating_sub(began).min(0xffff);
        shared.took.store(shared.took.load(Ordering::Relaxed) << 16 | took, Ordering::Relaxed);
        shared.ended.store(shared.start.elapsed().as_millis() as u64, Ordering::Relaxed);
        shared.since.store(0, Ordering::Relaxed);
        for d in dones {
            d();
        }
        if let Err(e) = segments.compact() {
            telemetry::debug!("cannot clean up yet: {e}");
        }
        let used = segments.used_bytes();
        shared.used.store(used, Ordering::Relaxed);
        telemetry::set("disk_used_mb", used >> 20);
    }
}
