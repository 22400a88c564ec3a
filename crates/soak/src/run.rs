//! One soak: a cluster, its clients and the troubles of a seed.

use crate::clients::{HOST, Message, PersistentClient, Sent, is_settled, send};
use crate::cluster::{Cluster, ClusterError, ClusterOptions, REGIONS};
use crate::faults::{Fault, FaultKind, Schedule};
use crate::processor::Processor;
use crate::verdict::{Verdict, Violation, judge_limit, judge_runs};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};
use std::collections::VecDeque;
use std::path::Path;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// The key of the tenant with a limit, and of the one without.
const LIMITED_KEY: &str = "key-limited";
const FREE_KEY: &str = "key-free";
const FLOW_PER_S: f64 = 20.0;
const SURGE: f64 = 20.0;
const OVERSHOOT: f64 = 0.1;
const SLACK: f64 = 5.0;
const WINDOW: Duration = Duration::from_secs(2);
/// Order keys in use: so few that messages of one follow each other.
const ORDER_KEYS: usize = 8;
/// The window of operation keys, longer than any soak.
const KEY_WINDOW_S: u32 = 600;
/// The share of sends that are another try at a recent message.
const REPEATED_SHARE: f64 = 0.2;
/// How many messages a client remembers to send again.
const RECENT_MESSAGES: usize = 200;
/// One in so many answers is lost, doubled or spoilt while processors are in that trouble.
const TROUBLED_ANSWERS: u32 = 5;
/// How long after the end of the troubles everything that was accepted may take to settle.
const SETTLING: Duration = Duration::from_secs(40);
/// How long after the end of the troubles it may take until a message is accepted.
const RECOVERY: Duration = Duration::from_secs(15);
/// How often troubles are looked at.
const STEP: Duration = Duration::from_millis(20);

/// What to run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Draws the troubles.
    pub seed: u64,
    /// How long messages are sent.
    pub length: Duration,
    /// The pause between two messages of a client.
    pub pause: Duration,
    /// The first three parts of the cluster's loopback addresses.
    pub network: String,
    /// Whether the cluster's folder is kept.
    pub keep_dir: bool,
}

/// A trouble that is under way.
struct Active {
    fault: Fault,
    until: Instant,
}

/// The parts of a soak that troubles act on.
struct World {
    cluster: Cluster,
    services: [Processor; 2],
    revision: u64,
    target: Value,
    /// Whether there is a route inside the plain one.
    has_inside_route: bool,
}

/// Runs one soak with the `willowslip` binary at this path.
///
/// # Errors
/// The cluster cannot be started, or a process cannot be signalled.
pub fn run(program: &Path, plan: &Plan) -> Result<Verdict, ClusterError> {
    let mut world = World::start(program, plan)?;
    let front = world.cluster.fronts()[0].clone();
    let schedule = Schedule::draw(plan.seed, plan.length);
    let (sent, is_over, numbers) = (Mutex::new(Vec::new()), AtomicBool::new(false), AtomicUsize::new(0));
    let (played, is_back) = std::thread::scope(|scope| {
        for client in 0..4 {
            let (front, sent, is_over, numbers) = (&front, &sent, &is_over, &numbers);
            scope.spawn(move || send_until_over(client, front, plan, numbers, is_over, sent));
        }
        let played = world.play(&schedule, plan.length);
        let is_back = is_accepted_again(&sent);
        is_over.store(true, Ordering::Relaxed);
        (played, is_back)
    });
    played?;
    let mut sent: Vec<Sent> = sent.into_inner().unwrap_or_default();
    sent.sort_by_key(|sent| sent.sent);
    let mut verdict = world.judge(&front, &sent);
    if !is_back {
        verdict.violations.push(Violation::NotRecovered);
    }
    Ok(verdict)
}

/// Waits until a message that is sent from now on is accepted; false if none is in time.
fn is_accepted_again(all: &Mutex<Vec<Sent>>) -> bool {
    let begun = Instant::now();
    let is_new = |sent: &Sent| sent.status == 202 && sent.sent >= begun;
    while begun.elapsed() < RECOVERY {
        if all.lock().is_ok_and(|all| all.iter().any(is_new)) {
            return true;
        }
        std::thread::sleep(STEP);
    }
    false
}

/// One client: sends message after message, of one tenant and partly in order, and some of them
/// again with the same operation key.
fn send_until_over(
    client: usize,
    front: &str,
    plan: &Plan,
    numbers: &AtomicUsize,
    is_over: &AtomicBool,
    all: &Mutex<Vec<Sent>>,
) {
    let mut rng = StdRng::seed_from_u64(plan.seed ^ ((client as u64 + 1) << 32));
    let mut keeping = (client >= 2).then(|| PersistentClient::new(front));
    let mut recent: VecDeque<Message> = VecDeque::new();
    while !is_over.load(Ordering::Relaxed) {
        let number = numbers.fetch_add(1, Ordering::Relaxed);
        // A repeat takes nothing of a limit, so the client of that tenant sends none.
        let again = (client > 0 && !recent.is_empty() && rng.random_bool(REPEATED_SHARE))
            .then(|| recent[rng.random_range(0..recent.len())].clone());
        let message = match again {
            Some(former) => Message { id: format!("m-{number}"), ..former },
            None => new_message(client, number),
        };
        recent.push_back(message.clone());
        if recent.len() > RECENT_MESSAGES {
            recent.pop_front();
        }
        let sent = match &mut keeping {
            Some(client) => client.send(message),
            None => send(front, message),
        };
        if let Ok(mut all) = all.lock() {
            all.push(sent);
        }
        // The client of the tenant with a limit presses beyond it.
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
        tenant_key: if client == 0 { LIMITED_KEY } else { FREE_KEY }.into(),
        operation_key: format!("op-{number}"),
        ..Message::default()
    }
}

impl World {
    fn start(program: &Path, plan: &Plan) -> Result<World, ClusterError> {
        let constraints = format!(
            "quotaWindowS = {}\nquotaOvershoot = {OVERSHOOT}\nquotaSlack = {SLACK}\nkeyWindowS = {KEY_WINDOW_S}",
            WINDOW.as_secs()
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
        let mut world = World { cluster, services, revision: 1, target, has_inside_route: false };
        let first = world.configuration();
        world.cluster.start(&first)?;
        Ok(world)
    }

    /// The configuration that the operator wants now.
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
        if self.has_inside_route {
            routes.push(route("inside", "/plain/inside/", false));
        }
        json!({"revision": self.revision, "limits": {},
            "channels": routes,
            "plants": [service(0), service(1)],
            "tenants": [{"name": "limited", "keys": [LIMITED_KEY], "flowPerS": FLOW_PER_S, "surge": SURGE},
                {"name": "free", "keys": [FREE_KEY], "flowPerS": 0, "surge": 0}]})
    }

    /// Plays the troubles, and ends those that are under way at the end.
    fn play(&mut self, schedule: &Schedule, length: Duration) -> Result<(), ClusterError> {
        let begun = Instant::now();
        let mut ahead = schedule.faults.iter().cloned().peekable();
        let mut active: Vec<Active> = Vec::new();
        while begun.elapsed() < length || !active.is_empty() {
            while let Some(fault) = ahead.next_if(|fault| begun.elapsed() >= fault.at) {
                self.begin(&fault)?;
                active.push(Active { until: Instant::now() + fault.length, fault });
            }
            let (over, left) = active.into_iter().partition(|a: &Active| Instant::now() >= a.until);
            active = left;
            for Active { fault, .. } in over {
                self.end(&fault)?;
            }
            std::thread::sleep(STEP);
        }
        Ok(())
    }

    fn begin(&mut self, fault: &Fault) -> Result<(), ClusterError> {
        let service = fault.target.parse::<usize>().unwrap_or(0);
        match fault.kind {
            FaultKind::Kill => self.cluster.kill(&fault.target),
            FaultKind::Pause => self.cluster.signal(&fault.target, "-STOP")?,
            FaultKind::Terminate => self.cluster.signal(&fault.target, "-TERM")?,
            FaultKind::Hangup => self.cluster.signal(&fault.target, "-HUP")?,
            FaultKind::ServiceUnresponsive => self.services[service].set_silent(true),
            FaultKind::ResponsesLost => self.services[service].drop_one_in(TROUBLED_ANSWERS),
            FaultKind::ResponsesDuplicated => self.services[service].duplicate_one_in(TROUBLED_ANSWERS),
            FaultKind::HeadersCorrupted => self.services[service].corrupt_one_in(TROUBLED_ANSWERS),
            FaultKind::RouteChange => {
                self.target = json!({"mix": [{"plant": "service-0", "gain": 1}, {"plant": "service-1", "gain": 1}]});
                self.configure();
            }
            FaultKind::NestedRouteAdded => {
                self.has_inside_route = true;
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

    fn end(&mut self, fault: &Fault) -> Result<(), ClusterError> {
        let service = fault.target.parse::<usize>().unwrap_or(0);
        match fault.kind {
            FaultKind::Kill => self.cluster.spawn(&fault.target)?,
            FaultKind::Pause => self.cluster.signal(&fault.target, "-CONT")?,
            FaultKind::Terminate => {
                // It may be frozen still by an earlier trouble, and is killed then.
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

    /// Gives the wanted configuration once: during troubles it may not be taken.
    fn configure(&mut self) {
        self.revision += 1;
        let configuration = self.configuration();
        let _ = self.cluster.configure_once(&configuration);
    }

    fn judge(&mut self, front: &str, sent: &[Sent]) -> Verdict {
        let mut violations: Vec<Violation> = Vec::new();
        let end = Instant::now() + SETTLING;
        for accepted in sent.iter().filter(|sent| sent.status == 202) {
            while !is_settled(front, accepted) {
                if Instant::now() >= end {
                    violations.push(Violation::NotSettled(accepted.message.id.clone()));
                    break;
                }
                std::thread::sleep(STEP);
            }
        }
        let mut runs = self.services[0].runs();
        runs.extend(self.services[1].runs());
        runs.sort_by_key(|run| run.started);
        judge_runs(sent, &runs, &mut violations);
        let of_limited = |sent: &&Sent| sent.message.tenant_key == LIMITED_KEY;
        let limited: Vec<Sent> = sent.iter().filter(of_limited).cloned().collect();
        let allowed = ((FLOW_PER_S * WINDOW.as_secs_f64() + SURGE) * (1.0 + OVERSHOOT) + SLACK) as usize;
        judge_limit(&limited, WINDOW, allowed, &mut violations);
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
