//! Memory and disk of the stores while messages with long bodies cannot be delivered.

use serde_json::json;
use soak::clients::{HOST, Message, PersistentClient, Sent, is_settled};
use soak::{Cluster, ClusterOptions, Processor};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The limits in the settings of the cluster.
const MEMORY_MB: u64 = 200;
const DISK_MB: u64 = 200;
const BODY_BYTES: usize = 200_000;
const CLIENTS: usize = 12;
/// The clients send for at least this long, and until the stores have refused messages.
const FLOOD: Duration = Duration::from_secs(8);
/// The least backlog for which the test says something.
const MIN_ACCEPTED: usize = 100;
const MAX_FLOOD: Duration = Duration::from_secs(40);
/// A store is killed and started again this long after the start of the flood.
const RESTART_AFTER: Duration = Duration::from_secs(4);
const DRAIN_TIMEOUT: Duration = Duration::from_secs(60);

/// Memory of a process without mapped files, in MB; 0 if it does not run.
fn anonymous_mb(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"));
    let kilobytes = line.and_then(|line| line.trim().trim_end_matches(" kB").parse::<u64>().ok());
    kilobytes.unwrap_or(0) / 1024
}

fn folder_mb(folder: &Path) -> u64 {
    let files = std::fs::read_dir(folder).into_iter().flatten().flatten();
    files.filter_map(|file| file.metadata().ok()).map(|metadata| metadata.len()).sum::<u64>() >> 20
}

/// The highest memory and disk use of the stores.
#[derive(Debug, Default)]
struct Peaks {
    memory_mb: u64,
    /// The store with that memory.
    store: String,
    disk_mb: u64,
}

impl Peaks {
    fn sample(&mut self, cluster: &Cluster) {
        for store in Cluster::stores() {
            self.disk_mb = self.disk_mb.max(folder_mb(&cluster.dir().join(&store)));
            let memory_mb = cluster.pid(&store).map_or(0, anonymous_mb);
            if memory_mb > self.memory_mb {
                (self.memory_mb, self.store) = (memory_mb, store);
            }
        }
    }
}

/// Regression test: only committed bodies were counted against the memory, while snapshots, queues to the disk and the
/// frames that bodies came in took several times as much. Stores exceeded their memory and, after each restart, again.
#[test]
fn stores_stay_within_memory_and_disk_while_an_endpoint_is_down() {
    let options = ClusterOptions { network: "127.0.22".into(), ..ClusterOptions::default() };
    let mut cluster = Cluster::new(Path::new(env!("CARGO_BIN_EXE_willowslip")), options).expect("free ports");
    let processor = Processor::start().expect("a free port");
    processor.set_silent(true);
    let route = json!({"name": "r", "host": HOST, "prefix": "/m/", "mode": "deferred", "cutoffMs": 1000,
        "setpointMs": 400, "tries": 30, "retainS": 600, "startSetpointMs": 1000, "plant": "p"});
    let service = json!({"name": "p", "connLimit": 20, "endpoint": processor.address()});
    let limits = json!({"bodyBytes": 262_144});
    cluster
        .start(&json!({"revision": 1, "channels": [route], "plants": [service], "limits": limits}))
        .expect("cluster starts");
    let front = cluster.fronts()[0].clone();
    let (accepted, is_over, next) = (Arc::new(Mutex::new(Vec::new())), AtomicBool::new(false), AtomicUsize::new(0));
    let mut peaks = Peaks::default();
    let refused = AtomicUsize::new(0);
    std::thread::scope(|scope| {
        for _ in 0..CLIENTS {
            scope.spawn(|| {
                let mut client = PersistentClient::new(&front);
                while !is_over.load(Ordering::Relaxed) {
                    let id = format!("m{}", next.fetch_add(1, Ordering::Relaxed));
                    let body = "x".repeat(BODY_BYTES);
                    let sent = client.send(Message { id, path: "/m/x".into(), body, ..Message::default() });
                    match sent.status {
                        202 => accepted
                            .lock()
                            .unwrap()
                            .push(Sent { message: Message { body: String::new(), ..sent.message.clone() }, ..sent }),
                        _ => {
                            refused.fetch_add(1, Ordering::Relaxed);
                            std::thread::sleep(Duration::from_millis(50));
                        }
                    }
                }
            });
        }
        let started = Instant::now();
        let mut is_restarted = false;
        let is_flooded = || refused.load(Ordering::Relaxed) > CLIENTS && accepted.lock().unwrap().len() > MIN_ACCEPTED;
        while started.elapsed() < FLOOD || !is_flooded() && started.elapsed() < MAX_FLOOD {
            peaks.sample(&cluster);
            if !is_restarted && started.elapsed() > RESTART_AFTER {
                is_restarted = true;
                cluster.kill("store-5");
                cluster.spawn("store-5").expect("process starts");
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        is_over.store(true, Ordering::Relaxed);
    });
    processor.set_silent(false);
    let accepted = accepted.lock().unwrap();
    eprintln!("{} accepted, {} refused, {peaks:?}", accepted.len(), refused.load(Ordering::Relaxed));
    assert!(accepted.len() > MIN_ACCEPTED, "{} messages accepted", accepted.len());
    assert!(peaks.memory_mb < MEMORY_MB && peaks.disk_mb < DISK_MB, "{peaks:?}");
    assert!(refused.load(Ordering::Relaxed) > 0, "the flood exceeds what the stores hold");
    let deadline = Instant::now() + DRAIN_TIMEOUT;
    for sent in accepted.iter() {
        while !is_settled(&front, sent) {
            assert!(Instant::now() < deadline, "{} of {} has not settled", sent.message.id, accepted.len());
            peaks.sample(&cluster);
            std::thread::sleep(Duration::from_millis(50));
        }
    }
    assert!(peaks.memory_mb < MEMORY_MB && peaks.disk_mb < DISK_MB, "while the backlog ended: {peaks:?}");
    assert!(cluster.exited_processes().is_empty());
}
