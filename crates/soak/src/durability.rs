//! Durability test: all fronts accept messages with a long delay while faults occur; after a closing
//! fault, the bodies and states of these messages are read back from the fronts.
//!
//! The faults stay within what the deployment must tolerate: only one of the machines with a disk
//! has a fault at a time, and none starts within `settleS` after it. Background load (file writers
//! and spinning threads) does not count as a fault, as any machine may be busy.

use crate::clients::{HOST, Message, Sent, send};
use crate::cluster::{Cluster, ClusterError, ClusterOptions};
use crate::http::exchange;
use crate::load::Load;
use crate::processor::Processor;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;
use std::fmt;
use std::path::Path;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// The delay of messages; long enough that none is due before the test ends.
const MESSAGE_DELAY: Duration = Duration::from_secs(400);
/// The time between two messages of a client, and between two attempts to read one back.
const SEND_INTERVAL: Duration = Duration::from_millis(40);
/// `settleS` of the settings (4 s), for which a machine counts as lost after its fault, and the time
/// that its process takes to start.
const SETTLE: Duration = Duration::from_millis(4600);
/// How long a process is down or stopped.
const FAULT_LENGTH_MS: std::ops::Range<u64> = 200..2500;
/// The time between the end of a fault on a front machine and the start of the next one.
const FRONT_GAP_MS: std::ops::Range<u64> = 500..3000;
/// How many of the pending messages are read back.
const MAX_CHECKED_MESSAGES: usize = 300;
/// How long reading them back is retried after the closing fault.
const READ_BACK_TIMEOUT: Duration = Duration::from_secs(20);
/// The timeout of one query.
const QUERY_TIMEOUT: Duration = Duration::from_secs(2);
/// The number of threads that read messages back.
const READ_BACK_THREADS: usize = 8;

/// The parameters of a durability test.
#[derive(Clone, Debug)]
pub struct DurabilityPlan {
    /// The seed from which faults are drawn.
    pub seed: u64,
    /// How long messages are sent while faults occur.
    pub length: Duration,
    /// The first three octets of the cluster's loopback addresses.
    pub network: String,
    /// The number of front machines.
    pub front_count: usize,
    /// The number of background threads that write files.
    pub writers: usize,
    /// The number of background threads that spin.
    pub spinners: usize,
    /// Whether to keep the cluster's directory.
    pub keep_dir: bool,
}

/// A fault of one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessFault {
    /// The process is killed, and started again.
    Kill,
    /// The process gets SIGTERM, and is started again.
    Terminate,
    /// The process is stopped (SIGSTOP) for a while.
    Pause,
    /// The process is killed, and started again with an empty disk.
    DiskLost,
}

/// The fault after the end of the traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClosingFault {
    /// No fault.
    None,
    /// One store node loses its disk.
    DiskLost,
    /// All store and control nodes are killed at once.
    AllKilled,
    /// All store and control nodes are killed at once, and one store node loses its disk.
    AllKilledAndDiskLost,
}

/// A violation that the durability test found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DurabilityViolation {
    /// The body of a pending message could not be read back; its name and the last status.
    BodyLost(String, u16),
    /// The body of a pending message differs from the one that was sent; its name.
    BodyMismatch(String),
    /// A message was not reported as pending; its name and the last response body.
    StateLost(String, String),
    /// A process logged an alarm.
    Alarm(String),
    /// A process exited by itself.
    Exited(String),
}

/// The result of a durability test.
#[derive(Clone, Debug)]
pub struct DurabilityVerdict {
    /// The violations that were found.
    pub violations: Vec<DurabilityViolation>,
    /// The number of delayed messages that were accepted.
    pub accepted: usize,
    /// The number of messages that were read back.
    pub checked: usize,
    /// The faults in the order in which they started, with their times.
    pub faults: Vec<String>,
    /// The fault after the end of the traffic.
    pub closing: ClosingFault,
}

impl fmt::Display for DurabilityVerdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} pending, {} read back, closing fault {:?}", self.accepted, self.checked, self.closing)?;
        if self.violations.is_empty() {
            return Ok(());
        }
        write!(f, ", {} violations", self.violations.len())?;
        self.violations.iter().take(8).try_for_each(|violation| write!(f, "\n  {violation:?}"))?;
        self.faults.iter().try_for_each(|fault| write!(f, "\n  {fault}"))
    }
}

/// A delayed message that was accepted, with the name from the response.
struct PendingMessage {
    name: String,
    body: String,
}

/// Runs one durability test with the `willowslip` binary at this path.
///
/// # Errors
/// The cluster cannot be started, or a process cannot be signalled.
pub fn run_durability(program: &Path, plan: &DurabilityPlan) -> Result<DurabilityVerdict, ClusterError> {
    let processor = Processor::start().map_err(|source| ClusterError::Process { name: "processor".into(), source })?;
    let options = ClusterOptions {
        network: plan.network.clone(),
        front_count: plan.front_count,
        keep_dir: plan.keep_dir,
        ..ClusterOptions::default()
    };
    let mut cluster = Cluster::new(program, options)?;
    cluster.start(&configuration(&processor))?;
    let fronts = cluster.fronts();
    let load = Load::start(cluster.dir(), plan.writers, plan.spinners);
    let (accepted, is_over) = (Mutex::new(Vec::new()), AtomicBool::new(false));
    let mut rng = StdRng::seed_from_u64(plan.seed);
    let faults = std::thread::scope(|scope| {
        for (number, front) in fronts.iter().enumerate() {
            let (accepted, is_over) = (&accepted, &is_over);
            scope.spawn(move || send_until_over(number, front, is_over, accepted));
        }
        let faults = inject_faults(&mut cluster, &mut rng, plan.length);
        is_over.store(true, Ordering::Relaxed);
        faults
    });
    let faults = faults?;
    let closing = inject_closing_fault(&mut cluster, &mut rng)?;
    load.stop();
    let mut pending: Vec<PendingMessage> = accepted.into_inner().unwrap_or_default();
    let accepted = pending.len();
    while pending.len() > MAX_CHECKED_MESSAGES {
        let at = rng.random_range(0..pending.len());
        pending.swap_remove(at);
    }
    let mut violations = check_all(&fronts, &pending);
    violations.extend(cluster.exited_processes().into_iter().map(DurabilityViolation::Exited));
    for name in cluster.all_processes() {
        let log = cluster.log(&name);
        let alarms = log.lines().filter(|line| line.contains("ALARM"));
        violations.extend(alarms.map(|line| DurabilityViolation::Alarm(format!("{name}: {line}"))));
    }
    Ok(DurabilityVerdict { violations, accepted, checked: pending.len(), faults, closing })
}

fn configuration(processor: &Processor) -> serde_json::Value {
    let route = |name: &str, prefix: &str, sequenced: bool| {
        json!({"name": name, "host": HOST, "prefix": prefix, "mode": "deferred", "cutoffMs": 500, "setpointMs": 500,
            "tries": 1000, "sequenced": sequenced, "retainS": 900, "startSetpointMs": 1000, "plant": "service"})
    };
    json!({"revision": 1, "limits": {},
        "channels": [route("plain", "/plain/", false), route("ordered", "/ordered/", true)],
        "plants": [{"name": "service", "connLimit": 50, "endpoint": processor.address()}]})
}

/// One client: sends messages until `is_over` is set. Every fourth one is due at once, the others are
/// delayed. Half of them have a unique order key, so that the messages spread over all partitions.
fn send_until_over(client: usize, front: &str, is_over: &AtomicBool, accepted: &Mutex<Vec<PendingMessage>>) {
    for number in 0.. {
        if is_over.load(Ordering::Relaxed) {
            return;
        }
        let id = format!("d{client}-{number}");
        let (is_delayed, is_ordered) = (number % 4 != 0, number % 2 == 0);
        let body = format!("{id} ").repeat(1 + number % 60);
        let message = Message {
            path: if is_ordered { "/ordered/x" } else { "/plain/x" }.into(),
            order_key: if is_ordered { format!("k{id}") } else { String::new() },
            delay: if is_delayed { MESSAGE_DELAY } else { Duration::ZERO },
            body: body.clone(),
            id,
            ..Message::default()
        };
        let Sent { status, name, .. } = send(front, message);
        if status == 202
            && is_delayed
            && let Ok(mut all) = accepted.lock()
        {
            all.push(PendingMessage { name, body });
        }
        std::thread::sleep(SEND_INTERVAL);
    }
}

/// Injects faults for `length`: one at a time on the machines with a disk, and concurrently with
/// these on the processes of front machines. Returns the descriptions of the faults.
fn inject_faults(cluster: &mut Cluster, rng: &mut StdRng, length: Duration) -> Result<Vec<String>, ClusterError> {
    let start = Instant::now();
    let disk_processes: Vec<String> = Cluster::control_nodes().into_iter().chain(Cluster::stores()).collect();
    let others: Vec<String> =
        cluster.all_processes().into_iter().filter(|name| !disk_processes.contains(name)).collect();
    let mut faults = Vec::new();
    let (mut next_disk_fault, mut next_front_fault) = (start + SETTLE / 4, start + SETTLE / 4);
    let mut active: Vec<(Instant, ProcessFault, String)> = Vec::new();
    while start.elapsed() < length || !active.is_empty() {
        let now = Instant::now();
        let (ended, remaining) = active.into_iter().partition(|(until, ..)| now >= *until);
        active = remaining;
        for (_, fault, name) in ended {
            end_fault(cluster, fault, &name)?;
        }
        let until = now + Duration::from_millis(rng.random_range(FAULT_LENGTH_MS));
        for (next, names) in [(&mut next_disk_fault, &disk_processes), (&mut next_front_fault, &others)] {
            let name = &names[rng.random_range(0..names.len())];
            if now < *next || start.elapsed() >= length || active.iter().any(|(.., busy)| busy == name) {
                continue;
            }
            let has_disk = disk_processes.contains(name);
            let fault = match rng.random_range(0..if has_disk { 4 } else { 3 }) {
                0 => ProcessFault::Kill,
                1 => ProcessFault::Terminate,
                2 => ProcessFault::Pause,
                _ => ProcessFault::DiskLost,
            };
            start_fault(cluster, fault, name)?;
            faults.push(format!("{:.2} s: {fault:?} {name}", start.elapsed().as_secs_f64()));
            active.push((until, fault, name.clone()));
            let gap = Duration::from_millis(rng.random_range(FRONT_GAP_MS));
            *next = until + if has_disk { SETTLE } else { gap };
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    let remaining_settle_time = next_disk_fault.saturating_duration_since(Instant::now());
    std::thread::sleep(remaining_settle_time.min(SETTLE));
    Ok(faults)
}

fn start_fault(cluster: &mut Cluster, fault: ProcessFault, name: &str) -> Result<(), ClusterError> {
    match fault {
        ProcessFault::Kill => cluster.kill(name),
        ProcessFault::Terminate => cluster.signal(name, "-TERM")?,
        ProcessFault::Pause => cluster.signal(name, "-STOP")?,
        ProcessFault::DiskLost => cluster.kill_and_wipe_disk(name),
    }
    Ok(())
}

fn end_fault(cluster: &mut Cluster, fault: ProcessFault, name: &str) -> Result<(), ClusterError> {
    match fault {
        ProcessFault::Pause => cluster.signal(name, "-CONT"),
        ProcessFault::Kill | ProcessFault::DiskLost => cluster.spawn(name),
        ProcessFault::Terminate => {
            let _ = cluster.terminate(name);
            cluster.spawn(name)
        }
    }
}

/// Draws the closing fault and injects it.
fn inject_closing_fault(cluster: &mut Cluster, rng: &mut StdRng) -> Result<ClosingFault, ClusterError> {
    let stores = Cluster::stores();
    let wiped_store = stores[rng.random_range(0..stores.len())].clone();
    let closing = match rng.random_range(0..8) {
        0 => ClosingFault::None,
        1..4 => ClosingFault::DiskLost,
        4 | 5 => ClosingFault::AllKilled,
        _ => ClosingFault::AllKilledAndDiskLost,
    };
    let killed: Vec<String> = match closing {
        ClosingFault::None => Vec::new(),
        ClosingFault::DiskLost => vec![wiped_store.clone()],
        _ => Cluster::control_nodes().into_iter().chain(stores).collect(),
    };
    for name in &killed {
        cluster.kill(name);
    }
    if matches!(closing, ClosingFault::DiskLost | ClosingFault::AllKilledAndDiskLost) {
        cluster.kill_and_wipe_disk(&wiped_store);
    }
    for name in &killed {
        cluster.spawn(name)?;
    }
    Ok(closing)
}

fn get(front: &str, path: &str) -> (u16, String) {
    let request = format!("GET {path} HTTP/1.1\r\nHost: {HOST}\r\nConnection: close\r\n\r\n");
    exchange(front, &request, QUERY_TIMEOUT).map_or((0, String::new()), |response| (response.status, response.body))
}

/// Reads back the bodies and states of messages, and retries at each front in turn until they are found.
fn check_all(fronts: &[String], pending: &[PendingMessage]) -> Vec<DurabilityViolation> {
    let deadline = Instant::now() + READ_BACK_TIMEOUT;
    let violations = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for chunk in pending.chunks(pending.len().div_ceil(READ_BACK_THREADS).max(1)) {
            let violations = &violations;
            scope.spawn(move || {
                for message in chunk {
                    let violation = check_message(fronts, message, deadline);
                    if let (Some(violation), Ok(mut all)) = (violation, violations.lock()) {
                        all.push(violation);
                    }
                }
            });
        }
    });
    violations.into_inner().unwrap_or_default()
}

fn check_message(fronts: &[String], message: &PendingMessage, deadline: Instant) -> Option<DurabilityViolation> {
    let get_with_retries = |path: &str| {
        let mut response = (0, String::new());
        for front in fronts.iter().cycle() {
            response = get(front, path);
            if response.0 == 200 || Instant::now() >= deadline {
                break;
            }
            std::thread::sleep(SEND_INTERVAL);
        }
        response
    };
    let (status, body) = get_with_retries(&format!("/message-body/{}", message.name));
    if status != 200 {
        return Some(DurabilityViolation::BodyLost(message.name.clone(), status));
    }
    if body != message.body {
        return Some(DurabilityViolation::BodyMismatch(message.name.clone()));
    }
    let (_, state) = get_with_retries(&format!("/message/{}", message.name));
    (!state.contains("\"pending\"")).then(|| DurabilityViolation::StateLost(message.name.clone(), state))
}
