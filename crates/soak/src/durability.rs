//! A day with an end: messages that wait for a time far off are taken in at all fronts beside
//! troubles; a closing fault comes; then their bodies and states are asked for at every front.
//!
//! What the deployment is to bear is kept: of the machines with a disk one is in trouble at a
//! time, and for `settleS` after it. Writers of files and busy threads beside it are no trouble by
//! that count: any machine may be busy.

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

/// How long messages are delayed: none is due before the end.
const DELAY: Duration = Duration::from_secs(400);
/// The pause between two messages of a client.
const PAUSE: Duration = Duration::from_millis(40);
/// `settleS` of the settings: a machine in trouble counts as lost until so long after it, and the time
/// that starting its process takes.
const SETTLE: Duration = Duration::from_millis(4600);
/// How long a process is away.
const AWAY_MS: std::ops::Range<u64> = 200..2500;
/// The pause between the ends and beginnings of troubles of front machines.
const FRONT_GAP_MS: std::ops::Range<u64> = 500..3000;
/// How many waiting messages are asked for.
const ASKED: usize = 300;
/// How long after the closing fault they are asked for, again and again.
const PATIENCE: Duration = Duration::from_secs(20);
/// How long one question may take.
const ANSWER: Duration = Duration::from_secs(2);
/// How many threads ask.
const ASKERS: usize = 8;

/// What to play.
#[derive(Clone, Debug)]
pub struct DurabilityPlan {
    /// Draws the troubles.
    pub seed: u64,
    /// How long messages are sent.
    pub length: Duration,
    /// The first three parts of the cluster's loopback addresses.
    pub network: String,
    /// How many front machines there are.
    pub front_count: usize,
    /// How many threads write files beside the cluster.
    pub writers: usize,
    /// How many threads are busy beside it.
    pub spinners: usize,
    /// Whether the cluster's folder is kept.
    pub keep_dir: bool,
}

/// What happens to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessFault {
    /// It is killed, and started again.
    Kill,
    /// It is told to end, and started again.
    Terminate,
    /// It stands still for a while.
    Pause,
    /// It is killed, and its disk is empty when it is started again.
    DiskLost,
}

/// What comes at the end of the traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClosingFault {
    /// Nothing.
    None,
    /// One store node loses its disk.
    DiskLost,
    /// All store and control nodes are killed at once.
    AllKilled,
    /// The same, and one store node loses its disk.
    AllKilledAndDiskLost,
}

/// What became of a day that should not have.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DurabilityViolation {
    /// The body of a waiting message did not come back: its name, and the last status.
    BodyLost(String, u16),
    /// Another body came back.
    BodyMismatch(String),
    /// The state of a waiting message did not come back as pending: its name, and the last answer.
    StateLost(String, String),
    /// A process raised an alarm.
    Alarm(String),
    /// A process ended by itself.
    Exited(String),
}

/// What came of a day.
#[derive(Clone, Debug)]
pub struct DurabilityVerdict {
    /// What should not have been.
    pub violations: Vec<DurabilityViolation>,
    /// Waiting messages that were accepted.
    pub accepted: usize,
    /// Waiting messages that were asked for.
    pub checked: usize,
    /// The troubles, as they came.
    pub troubles: Vec<String>,
    /// What came at the end.
    pub closing: ClosingFault,
}

impl fmt::Display for DurabilityVerdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} waiting, {} asked for, closing fault {:?}", self.accepted, self.checked, self.closing)?;
        if self.violations.is_empty() {
            return Ok(());
        }
        write!(f, ", {} violations", self.violations.len())?;
        self.violations.iter().take(8).try_for_each(|violation| write!(f, "\n  {violation:?}"))?;
        self.troubles.iter().try_for_each(|trouble| write!(f, "\n  {trouble}"))
    }
}

/// A message that waits, and how it was answered.
struct Waiting {
    name: String,
    body: String,
}

/// Plays one day with the `willowslip` binary at this path.
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
    let played = std::thread::scope(|scope| {
        for (number, front) in fronts.iter().enumerate() {
            let (accepted, is_over) = (&accepted, &is_over);
            scope.spawn(move || send_until_over(number, front, is_over, accepted));
        }
        let played = play(&mut cluster, &mut rng, plan.length);
        is_over.store(true, Ordering::Relaxed);
        played
    });
    let troubles = played?;
    let closing = close(&mut cluster, &mut rng)?;
    load.stop();
    let mut waiting: Vec<Waiting> = accepted.into_inner().unwrap_or_default();
    let accepted = waiting.len();
    while waiting.len() > ASKED {
        let at = rng.random_range(0..waiting.len());
        waiting.swap_remove(at);
    }
    let mut violations = ask_for_all(&fronts, &waiting);
    violations.extend(cluster.exited_processes().into_iter().map(DurabilityViolation::Exited));
    for name in cluster.all_processes() {
        let log = cluster.log(&name);
        let alarms = log.lines().filter(|line| line.contains("ALARM"));
        violations.extend(alarms.map(|line| DurabilityViolation::Alarm(format!("{name}: {line}"))));
    }
    Ok(DurabilityVerdict { violations, accepted, checked: waiting.len(), troubles, closing })
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

/// One client: every message waits but each fourth, which is due at once. Half have order keys of
/// their own, so that all partitions hold some.
fn send_until_over(client: usize, front: &str, is_over: &AtomicBool, accepted: &Mutex<Vec<Waiting>>) {
    for number in 0.. {
        if is_over.load(Ordering::Relaxed) {
            return;
        }
        let id = format!("d{client}-{number}");
        let (waits, is_ordered) = (number % 4 != 0, number % 2 == 0);
        let body = format!("{id} ").repeat(1 + number % 60);
        let message = Message {
            path: if is_ordered { "/ordered/x" } else { "/plain/x" }.into(),
            order_key: if is_ordered { format!("k{id}") } else { String::new() },
            delay: if waits { DELAY } else { Duration::ZERO },
            body: body.clone(),
            id,
            ..Message::default()
        };
        let Sent { status, name, .. } = send(front, message);
        if status == 202
            && waits
            && let Ok(mut all) = accepted.lock()
        {
            all.push(Waiting { name, body });
        }
        std::thread::sleep(PAUSE);
    }
}

/// Plays troubles for a time: one after the other on the machines with a disk, and beside them on
/// those of fronts.
fn play(cluster: &mut Cluster, rng: &mut StdRng, length: Duration) -> Result<Vec<String>, ClusterError> {
    let begun = Instant::now();
    let counted: Vec<String> = Cluster::control_nodes().into_iter().chain(Cluster::stores()).collect();
    let others: Vec<String> = cluster.all_processes().into_iter().filter(|name| !counted.contains(name)).collect();
    let mut troubles = Vec::new();
    let (mut next_counted, mut next_front) = (begun + SETTLE / 4, begun + SETTLE / 4);
    let mut away: Vec<(Instant, ProcessFault, String)> = Vec::new();
    while begun.elapsed() < length || !away.is_empty() {
        let now = Instant::now();
        let (over, left) = away.into_iter().partition(|(until, ..)| now >= *until);
        away = left;
        for (_, trouble, name) in over {
            end(cluster, trouble, &name)?;
        }
        let until = now + Duration::from_millis(rng.random_range(AWAY_MS));
        for (next, names) in [(&mut next_counted, &counted), (&mut next_front, &others)] {
            let name = &names[rng.random_range(0..names.len())];
            if now < *next || begun.elapsed() >= length || away.iter().any(|(.., busy)| busy == name) {
                continue;
            }
            let has_disk = counted.contains(name);
            let trouble = match rng.random_range(0..if has_disk { 4 } else { 3 }) {
                0 => ProcessFault::Kill,
                1 => ProcessFault::Terminate,
                2 => ProcessFault::Pause,
                _ => ProcessFault::DiskLost,
            };
            begin(cluster, trouble, name)?;
            troubles.push(format!("{:.2} s: {trouble:?} {name}", begun.elapsed().as_secs_f64()));
            away.push((until, trouble, name.clone()));
            let gap = Duration::from_millis(rng.random_range(FRONT_GAP_MS));
            *next = until + if has_disk { SETTLE } else { gap };
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    let settled = next_counted.saturating_duration_since(Instant::now());
    std::thread::sleep(settled.min(SETTLE));
    Ok(troubles)
}

fn begin(cluster: &mut Cluster, trouble: ProcessFault, name: &str) -> Result<(), ClusterError> {
    match trouble {
        ProcessFault::Kill => cluster.kill(name),
        ProcessFault::Terminate => cluster.signal(name, "-TERM")?,
        ProcessFault::Pause => cluster.signal(name, "-STOP")?,
        ProcessFault::DiskLost => cluster.kill_and_wipe_disk(name),
    }
    Ok(())
}

fn end(cluster: &mut Cluster, trouble: ProcessFault, name: &str) -> Result<(), ClusterError> {
    match trouble {
        ProcessFault::Pause => cluster.signal(name, "-CONT"),
        ProcessFault::Kill | ProcessFault::DiskLost => cluster.spawn(name),
        ProcessFault::Terminate => {
            let _ = cluster.terminate(name);
            cluster.spawn(name)
        }
    }
}

/// The closing fault that a seed draws.
fn close(cluster: &mut Cluster, rng: &mut StdRng) -> Result<ClosingFault, ClusterError> {
    let stores = Cluster::stores();
    let emptied = stores[rng.random_range(0..stores.len())].clone();
    let closing = match rng.random_range(0..8) {
        0 => ClosingFault::None,
        1..4 => ClosingFault::DiskLost,
        4 | 5 => ClosingFault::AllKilled,
        _ => ClosingFault::AllKilledAndDiskLost,
    };
    let counted: Vec<String> = match closing {
        ClosingFault::None => Vec::new(),
        ClosingFault::DiskLost => vec![emptied.clone()],
        _ => Cluster::control_nodes().into_iter().chain(stores).collect(),
    };
    for name in &counted {
        cluster.kill(name);
    }
    if matches!(closing, ClosingFault::DiskLost | ClosingFault::AllKilledAndDiskLost) {
        cluster.kill_and_wipe_disk(&emptied);
    }
    for name in &counted {
        cluster.spawn(name)?;
    }
    Ok(closing)
}

fn get(front: &str, path: &str) -> (u16, String) {
    let request = format!("GET {path} HTTP/1.1\r\nHost: {HOST}\r\nConnection: close\r\n\r\n");
    exchange(front, &request, ANSWER).map_or((0, String::new()), |answer| (answer.status, answer.body))
}

/// Asks for the bodies and states of messages, at one front after the other, until they come back.
fn ask_for_all(fronts: &[String], waiting: &[Waiting]) -> Vec<DurabilityViolation> {
    let end = Instant::now() + PATIENCE;
    let violations = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for part in waiting.chunks(waiting.len().div_ceil(ASKERS).max(1)) {
            let violations = &violations;
            scope.spawn(move || {
                for message in part {
                    let found = ask_for(fronts, message, end);
                    if let (Some(found), Ok(mut all)) = (found, violations.lock()) {
                        all.push(found);
                    }
                }
            });
        }
    });
    violations.into_inner().unwrap_or_default()
}

fn ask_for(fronts: &[String], message: &Waiting, end: Instant) -> Option<DurabilityViolation> {
    let again = |path: &str| {
        let mut answer = (0, String::new());
        for front in fronts.iter().cycle() {
            answer = get(front, path);
            if answer.0 == 200 || Instant::now() >= end {
                break;
            }
            std::thread::sleep(PAUSE);
        }
        answer
    };
    let (status, body) = again(&format!("/message-body/{}", message.name));
    if status != 200 {
        return Some(DurabilityViolation::BodyLost(message.name.clone(), status));
    }
    if body != message.body {
        return Some(DurabilityViolation::BodyMismatch(message.name.clone()));
    }
    let (_, state) = again(&format!("/message/{}", message.name));
    (!state.contains("\"pending\"")).then(|| DurabilityViolation::StateLost(message.name.clone(), state))
}
