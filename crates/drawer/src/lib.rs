//! Keys and values on disk, written by a thread of its own with group commit:
//! whatever waits is written as one batch with one sync.

use bytes::Bytes;
use fjall::{Database, Keyspace, KeyspaceCreateOptions, PersistMode};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc;

pub enum Op {
    Put(Vec<u8>, Bytes),
    Del(Vec<u8>),
}

type Done = Box<dyn FnOnce() + Send>;

struct Job {
    ops: Vec<Op>,
    done: Option<Done>,
}

/// A handle to the disk thread.
#[derive(Clone)]
pub struct Drawer {
    tx: mpsc::Sender<Job>,
    used: Arc<AtomicU64>,
}

impl Drawer {
    /// Opens the folder, hands every stored pair to `read` in key order, and
    /// starts the thread. Sized by the machine's disk and memory.
    pub fn open(dir: &str, disk_mb: u64, memory_mb: u64, mut read: impl FnMut(&[u8], &[u8])) -> Result<Drawer, String> {
        let memtable = (disk_mb.min(memory_mb) << 20) / 16;
        let db = Database::builder(dir)
            .cache_size((memory_mb << 20) / 64)
            .max_journaling_size(((disk_mb << 20) / 2).max(64 << 20))
            .worker_threads(1)
            .manual_journal_persist(true)
            .open()
            .map_err(|e| format!("{dir}: {e}"))?;
        let space = db
            .keyspace("log", move || KeyspaceCreateOptions::default().max_memtable_size(memtable))
            .map_err(|e| format!("{dir}: {e}"))?;
        for item in space.iter() {
            let (k, v) = item.into_inner().map_err(|e| format!("{dir}: {e}"))?;
            read(&k, &v);
        }
        let (tx, rx) = mpsc::channel();
        let used = Arc::new(AtomicU64::new(0));
        let u = used.clone();
        std::thread::Builder::new()
            .name("drawer".into())
            .spawn(move || write_all(db, space, rx, u))
            .map_err(|e| e.to_string())?;
        Ok(Drawer { tx, used })
    }

    /// Writes all of it or nothing; `done` runs on the disk thread once it is durable.
    pub fn write(&self, ops: Vec<Op>, done: impl FnOnce() + Send + 'static) {
        let _ = self.tx.send(Job { ops, done: Some(Box::new(done)) });
    }

    /// Writes without asking for durability of its own: the next sync covers it.
    pub fn write_later(&self, ops: Vec<Op>) {
        let _ = self.tx.send(Job { ops, done: None });
    }

    /// Bytes on disk, as of some moments ago.
    pub fn used_bytes(&self) -> u64 {
        self.used.load(Ordering::Relaxed)
    }
}

fn write_all(db: Database, space: Keyspace, rx: mpsc::Receiver<Job>, used: Arc<AtomicU64>) {
    let mut rounds = 0u64;
    while let Ok(first) = rx.recv() {
        let mut batch = db.batch();
        let mut dones = Vec::new();
        let mut size = 0;
        let mut next = Some(first);
        while let Some(job) = next {
            for op in job.ops {
                match op {
                    Op::Put(k, v) => {
                        size += v.len();
                        batch.insert(&space, k, &v[..]);
                    }
                    Op::Del(k) => batch.remove(&space, k),
                }
            }
            dones.extend(job.done);
            next = if size < 1 << 20 { rx.try_recv().ok() } else { None };
        }
        let mode = if dones.is_empty() { None } else { Some(PersistMode::SyncData) };
        let written = if batch.is_empty() { Ok(()) } else { batch.durability(mode).commit() };
        if let Err(e) = written {
            // What is not durable must not be acknowledged, now or later.
            tally::error!("disk write failed, ending: {e}");
            std::process::exit(3);
        }
        tally::count("disk_syncs");
        for d in dones {
            d();
        }
        rounds += 1;
        if rounds % 256 == 1 {
            let now = db.disk_space().unwrap_or(0);
            used.store(now, Ordering::Relaxed);
            tally::set("disk_used_mb", now >> 20);
        }
    }
}
