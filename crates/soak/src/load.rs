//! Background load on the machine: threads that write and sync files, and threads that spin.

use std::fs::File;
use std::hint::spin_loop;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;

const BLOCK_BYTES: usize = 1 << 20;
/// How many blocks a writer writes between two syncs.
const BLOCKS_PER_SYNC: usize = 200;
/// How many times a spinning thread spins between two checks of the stop flag.
const SPINS_PER_CHECK: usize = 10_000;

/// Load threads that run until they are stopped.
pub struct Load {
    stop_flag: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Load {
    /// Starts the threads; the writers put their files into `dir`.
    pub fn start(dir: &Path, writers: usize, spinners: usize) -> Load {
        let stop_flag = Arc::new(AtomicBool::new(false));
        let mut threads = Vec::new();
        for number in 0..writers {
            let (path, stop_flag) = (dir.join(format!("load-{number}")), stop_flag.clone());
            threads.push(std::thread::spawn(move || write_until_stopped(&path, &stop_flag)));
        }
        for _ in 0..spinners {
            let stop_flag = stop_flag.clone();
            threads.push(std::thread::spawn(move || spin_until_stopped(&stop_flag)));
        }
        Load { stop_flag, threads }
    }

    /// Stops the threads and waits for them.
    pub fn stop(self) {
        self.stop_flag.store(true, Ordering::Relaxed);
        for thread in self.threads {
            let _ = thread.join();
        }
    }
}

fn write_until_stopped(path: &PathBuf, stop_flag: &AtomicBool) {
    let block = vec![0_u8; BLOCK_BYTES];
    while !stop_flag.load(Ordering::Relaxed) {
        let Ok(mut file) = File::create(path) else { return };
        for _ in 0..BLOCKS_PER_SYNC {
            if stop_flag.load(Ordering::Relaxed) || file.write_all(&block).is_err() {
                break;
            }
        }
        let _ = file.sync_all();
    }
    let _ = std::fs::remove_file(path);
}

fn spin_until_stopped(stop_flag: &AtomicBool) {
    while !stop_flag.load(Ordering::Relaxed) {
        for _ in 0..SPINS_PER_CHECK {
            spin_loop();
        }
    }
}
