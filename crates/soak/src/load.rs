//! Other work on the machine: threads that write files and sync them, and threads that are busy.

use std::fs::File;
use std::hint::spin_loop;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;

/// How much a writer writes before it syncs.
const BLOCK_BYTES: usize = 1 << 20;
const BLOCKS: usize = 200;
/// How often a busy thread turns before it looks whether it is to end.
const TURNS: usize = 10_000;

/// Threads that run until they are stopped.
pub struct Load {
    is_over: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Load {
    /// Starts so many writers, with files in a folder, and so many busy threads.
    pub fn start(folder: &Path, writers: usize, spinners: usize) -> Load {
        let is_over = Arc::new(AtomicBool::new(false));
        let mut threads = Vec::new();
        for number in 0..writers {
            let (path, is_over) = (folder.join(format!("load-{number}")), is_over.clone());
            threads.push(std::thread::spawn(move || write_until(&path, &is_over)));
        }
        for _ in 0..spinners {
            let is_over = is_over.clone();
            threads.push(std::thread::spawn(move || spin_until(&is_over)));
        }
        Load { is_over, threads }
    }

    /// Ends the threads and waits for them.
    pub fn stop(self) {
        self.is_over.store(true, Ordering::Relaxed);
        for thread in self.threads {
            let _ = thread.join();
        }
    }
}

fn write_until(path: &PathBuf, is_over: &AtomicBool) {
    let block = vec![0_u8; BLOCK_BYTES];
    while !is_over.load(Ordering::Relaxed) {
        let Ok(mut file) = File::create(path) else { return };
        for _ in 0..BLOCKS {
            if is_over.load(Ordering::Relaxed) || file.write_all(&block).is_err() {
                break;
            }
        }
        let _ = file.sync_all();
    }
    let _ = std::fs::remove_file(path);
}

fn spin_until(is_over: &AtomicBool) {
    while !is_over.load(Ordering::Relaxed) {
        for _ in 0..TURNS {
            spin_loop();
        }
    }
}
