//! Runs one soak test: a cluster, its clients and the faults of a seed.

use crate::clients::{HOST, Message, PersistentClient, Sent, is_settled, send};
use crate::cluster::{Cluster, ClusterError, ClusterOptions, REGIONS};
use crate::faults::{Fault, FaultKind, Schedule};
use crate::processor::Processor;
use crate::verdict::{Verdict, Violation, check_rate_limit, check_runs};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};
use std::collections::VecDeque;
use std::path::Path;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// The keys of the tenant with a rate limit and of the one without.
const LIMITED_KEY: &str = "key-limited";
const UNLIMITED_KEY: &str = "key-free";
// The rate limit of the limited tenant, and the tolerance of its enforcement.
const FLOW_PER_S: f64 = 20.0;
const SURGE: f64 = 20.0;
const QUOTA_OVERSHOOT: f64 = 0.1;
const QUOTA_SLACK: f64 = 5.0;
const QUOTA_WINDOW: Duration = Duration::from_secs(2);
/// The number of order keys; small, so that messages with the same key follow one another.
const ORDER_KEYS: usize = 8;
/// `keyWindowS`: longer than any soak test, so that no operation key expires during one.
const KEY_WINDOW_S: u32 = 600;
/// The fraction of sends that repeat a recent message under a new message id.
const REPEAT_PROBABILITY: f64 = 0.2;
/// How many recent messages a client keeps for repeats.
const MAX_RECENT_MESSAGES: usize = 200;
/// During a response fault, one in this many responses is dropped, duplicated or corrupted.
const FAULTY_RESPONSE_INTERVAL: u32 = 5;
/// How long after the last fault all accepted messages may take to settle.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(40);
/// How long after the last fault it may take until a new message is accepted.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(15);
/// How often the schedule and awaited conditions are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The parameters of a soak test.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The seed from which faults and traffic are drawn.
    pub seed: u64,
    /// How long traffic is sent while faults occur.
    pub length: Duration,
    /// The time between two messages of a client. The client of the limited tenant waits only a
    /// quarter of it.
    pub pause: Duration,
    /// The first three octets of the cluster's loopback addresses.
    pub network: String,
    /// Whether to keep the cluster's directory.
    pub keep_dir: bool,
}

/// A fault in progress.
struct ActiveFault {
    fault: Fault,
    until: Instant,
}

/// The parts of a soak test that faults act on.
struct Harness {
    cluster: Cluster,
    services: [Processor; 2],
    revision: u64,
    target: Value,
    /// Whether the configuration has a route below the prefix of the plain one.
    has_nested_route: bool,
}

/// Runs one soak test with the `willowslip` binary at this path.
///
/// # Errors
/// The cluster cannot be started, or a process cannot be signalled.
pub fn run(program: &Path, plan: &Plan) -> Result<Verdict, ClusterError> {
    let mut harness = Harness::start(program, plan)?;
    let front = harness.cluster.fronts()[0].clone();
    let schedule = Schedule::draw(plan.seed, plan.length);
    let (sent, is_over, numbers) = (Mutex::new(Vec::new()), AtomicBool::new(false), AtomicUsize::new(0));
    let (schedule_result, has_recovered) = std::thread::scope(|scope| {
        for client in 0..4 {
            let (front, sent, is_over, numbers) = (&front, &sent, &is_over, &numbers);
            scope.spawn(move || send_until_over(client, front, plan, numbers, is_over, sent));
        }
        let schedule_result = harness.run_schedule(&schedule, plan.length);
        let has_recovered = wait_for_recovery(&sent);
        is_over.store(true, Ordering::Relaxed);
        (schedule_result, has_recovered)
    });
    schedule_result?;
    let mut sent: Vec<Sent> = sent.into_inner().unwrap_or_default();
    sent.sort_by_key(|sent| sent.sent);
    let mut verdict = harness.check(&front, &sent);
    if !has_recovered {
        verdict.violations.push(Violation::NotRecovered);
    }
    Ok(verdict)
}

/// Waits until a message sent after this call is accepted; false on a timeout.
fn wait_for_recovery(all: &Mutex<Vec<Sent>>) -> bool {
    let start = Instant::now();
    let is_new = |sent: &Sent| sent.status == 202 && sent.sent >= start;
    while start.elapsed() < RECOVERY_TIMEOUT {
        if all.lock().is_ok_and(|all| all.iter().any(is_new)) {
            return true;
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    false
}

/// One client: sends messages of one tenant until `is_over` is set, and repeats some of them with the
/// same operation key. Clients with an odd number use order keys.
fn send_until_over(
    client: usize,
    front: &str,
    plan: &Plan,
    numbers: &AtomicUsize,
    is_over: &AtomicBool,
    all: &Mutex<Vec<Sent>>,
) {
    let mut rng = StdRng::seed_from_u64(plan.seed ^ ((client as u64 + 1) << 32));
    let mut persistent = (client >= 2).then(|| PersistentClient::new(front));
    let mut recent: VecDeque<Message> = VecDeque::new();
    while !is_over.load(Ordering::Relaxed) {
        let number = numbers.fetch_add(1, Ordering::Relaxed);
        // Repeats do not count against the rate limit, so the client of the limited tenant sends none.
        let repeated = (client > 0 && !recent.is_empty() && rng.random_bool(REPEAT_PROBABILITY))
            .then(|| recent[rng.random_range(0..recent.len())].clone());
        let message = match repeated {
            Some(original) => Message { id: format!("m-{number}"), ..original },
            None => new_message(client, number),
        };
        recent.push_back(message.clone());
        if recent.len() > MAX_RECENT_MESSAGES {
            recent.pop_front();
        }
        let sent = match &mut persistent {
            Some(client) => client.send(message),
            None => send(front, message),
        };
        if let Ok(mut all) = all.lock() {
            all.push(sent);
        }
        // The client of the limited tenant sends faster than its rate limit.
        std::thread::sleep(if client == 0 { plan.pause / 4 } else { plan.pause });
    }
}

fn new_message(client: usize, number: usize) -> Message {
    let is_ordered = client % 2 == 1;
    let path = match (is_ordered, number % 4) {
        (true, _) => "/ordered/x",
        (false, 0) => "/plain/inside/x",
        (false, _) => "/plain/x",
    };
    Message {
        id: format!("m-{number}"),
        path: path.into(),
        order_key: if is_ordered { format!("k{}", number % ORDER_KEYS) } else { String::new() },
        tenant_key: if client == 0 { LIMITED_KEY } else { UNLIMITED_KEY }.into(),
        operation_key: format!("op-{number}"),
        ..Message::default()
    }
}

impl Harness {
    fn start(program: &Path, plan: &Plan) -> Result<Harness, ClusterError> {
        let constraints = format!(
            "quotaWindowS = {}\nquotaOvershoot = {QUOTA_OVERSHOOT}\n\
             quotaSlack = {QUOTA_SLACK}\nkeyWindowS = {KEY_WINDOW_S}",
            QUOTA_WINDOW.as_secs()
        );
        let options = ClusterOptions {
            network: plan.network.clone(),
            constraints,
            keep_dir: plan.keep_dir,
            ..ClusterOptions::default()
        };
        let processor =
            || Processor::start().map_err(|source| ClusterError::Process { name: "processor".into(), source });
        let services = [processor()?, processor()?];
        let cluster = Cluster::new(program, options)?;
        let target = json!({"plant": "service-0"});
        let mut harness = Harness { cluster, services, revision: 1, target, has_nested_route: false };
        let first = harness.configuration();
        harness.cluster.start(&first)?;
        Ok(harness)
    }

    /// The configuration that the operator wants at this point of the schedule.
    fn configuration(&self) -> Value {
        let service = |number: usize| json!({"name": format!("service-{number}"), "connLimit": 50, "endpoint": self.services[number].address()});
        let route = |name: &str, prefix: &str, sequenced: bool| {
            let mut route = json!({"name": name, "host": HOST, "prefix": prefix, "mode": "deferred",
                "cutoffMs": 500, "setpointMs": 500, "tries": 1000, "sequenced": sequenced, "retainS": 600,
                "startSetpointMs": 1000, "domains": if sequenced { REGIONS.to_vec() } else { Vec::new() }});
            if let (Some(route), Some(target)) = (route.as_object_mut(), self.target.as_object()) {
                route.extend(target.clone());
            }
            route
        };
        let mut routes = vec![route("plain", "/plain/", false), route("ordered", "/ordered/", true)];
        if self.has_nested_route {
            routes.push(route("inside", "/plain/inside/", false));
        }
        json!({"revision": self.revision, "limits": {},
            "channels": routes,
            "plants": [service(0), service(1)],
            "tenants": [{"name": "limited", "keys": [LIMITED_KEY], "flowPerS": FLOW_PER_S, "surge": SURGE},
                {"name": "free", "keys": [UNLIMITED_KEY], "flowPerS": 0, "surge": 0}]})
    }

    /// Starts and ends the faults of the schedule; returns when `length` has passed and all
    /// faults have ended.
    fn run_schedule(&mut self, schedule: &Schedule, length: Duration) -> Result<(), ClusterError> {
        let start = Instant::now();
        let mut upcoming = schedule.faults.iter().cloned().peekable();
        let mut active: Vec<ActiveFault> = Vec::new();
        while start.elapsed() < length || !active.is_empty() {
            while let Some(fault) = upcoming.next_if(|fault| start.elapsed() >= fault.at) {
                self.start_fault(&fault)?;
                active.push(ActiveFault { until: Instant::now() + fault.length, fault });
            }
            let (ended, remaining) = active.into_iter().partition(|a: &ActiveFault| Instant::now() >= a.until);
            active = remaining;
            for ActiveFault { fault, .. } in ended {
                self.end_fault(&fault)?;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        Ok(())
    }

    fn start_fault(&mut self, fault: &Fault) -> Result<(), ClusterError> {
        let service = fault.target.parse::<usize>().unwrap_or(0);
        match fault.kind {
            FaultKind::Kill => self.cluster.kill(&fault.target),
            FaultKind::Pause => self.cluster.signal(&fault.target, "-STOP")?,
            FaultKind::Terminate => self.cluster.signal(&fault.target, "-TERM")?,
            FaultKind::Hangup => self.cluster.signal(&fault.target, "-HUP")?,
            FaultKind::ServiceUnresponsive => self.services[service].set_silent(true),
            FaultKind::ResponsesLost => self.services[service].drop_one_in(FAULTY_RESPONSE_INTERVAL),
            FaultKind::ResponsesDuplicated => self.services[service].duplicate_one_in(FAULTY_RESPONSE_INTERVAL),
            FaultKind::HeadersCorrupted => self.services[service].corrupt_one_in(FAULTY_RESPONSE_INTERVAL),
            FaultKind::RouteChange => {
                self.target = json!({"mix": [{"plant": "service-0", "gain": 1}, {"plant": "service-1", "gain": 1}]});
                self.configure();
            }
            FaultKind::NestedRouteAdded => {
                self.has_nested_route = true;
                self.configure();
            }
            FaultKind::StoreAdded => {
                if !self.cluster.is_running(&Cluster::spare_store()) {
                    self.cluster.spawn(&Cluster::spare_store())?;
                }
            }
        }
        Ok(())
    }

    fn end_fault(&mut self, fault: &Fault) -> Result<(), ClusterError> {
        let service = fault.target.parse::<usize>().unwrap_or(0);
        match fault.kind {
            FaultKind::Kill => self.cluster.spawn(&fault.target)?,
            FaultKind::Pause => self.cluster.signal(&fault.target, "-CONT")?,
            FaultKind::Terminate => {
                // If an earlier fault still has the process stopped, it does not exit in time and is killed.
                let _ = self.cluster.terminate(&fault.target);
                self.cluster.spawn(&fault.target)?;
            }
            FaultKind::ServiceUnresponsive => self.services[service].set_silent(false),
            FaultKind::ResponsesLost => self.services[service].drop_one_in(0),
            FaultKind::ResponsesDuplicated => self.services[service].duplicate_one_in(0),
            FaultKind::HeadersCorrupted => self.services[service].corrupt_one_in(0),
            FaultKind::RouteChange => {
                self.target = json!({"plant": format!("service-{service}")});
                self.configure();
            }
            FaultKind::Hangup | FaultKind::NestedRouteAdded | FaultKind::StoreAdded => {}
        }
        Ok(())
    }

    /// Submits the wanted configuration once. Errors are ignored: it may be refused during faults.
    fn configure(&mut self) {
        self.revision += 1;
        let configuration = self.configuration();
        let _ = self.cluster.configure_once(&configuration);
    }

    fn check(&mut self, front: &str, sent: &[Sent]) -> Verdict {
        let mut violations: Vec<Violation> = Vec::new();
        let deadline = Instant::now() + SETTLE_TIMEOUT;
        for accepted in sent.iter().filter(|sent| sent.status == 202) {
            while !is_settled(front, accepted) {
                if Instant::now() >= deadline {
                    violations.push(Violation::NotSettled(accepted.message.id.clone()));
                    break;
                }
                std::thread::sleep(POLL_INTERVAL);
            }
        }
        let mut runs = self.services[0].runs();
        runs.extend(self.services[1].runs());
        runs.sort_by_key(|run| run.started);
        check_runs(sent, &runs, &mut violations);
        let is_limited = |sent: &&Sent| sent.message.tenant_key == LIMITED_KEY;
        let limited: Vec<Sent> = sent.iter().filter(is_limited).cloned().collect();
        let allowed =
            ((FLOW_PER_S * QUOTA_WINDOW.as_secs_f64() + SURGE) * (1.0 + QUOTA_OVERSHOOT) + QUOTA_SLACK) as usize;
        check_rate_limit(&limited, QUOTA_WINDOW, allowed, &mut violations);
        violations.extend(self.cluster.exited_processes().into_iter().map(Violation::Exited));
        for name in Cluster::processes() {
            let log = self.cluster.log(&name);
            let alarms = log.lines().filter(|line| line.contains("ALARM"));
            violations.extend(alarms.map(|line| Violation::Alarm(format!("{name}: {line}"))));
        }
        let accepted = sent.iter().filter(|sent| sent.status == 202).count();
        let refused = limited.iter().filter(|sent| sent.status == 429).count();
        Verdict { violations, accepted, sent: sent.len(), refused }
    }
}
