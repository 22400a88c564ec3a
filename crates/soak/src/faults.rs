//! The fault schedule of a seed: which fault hits which process or service, and when.

use crate::cluster::Cluster;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

/// The kind of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// A process is killed, and started again when the fault ends.
    Kill,
    /// A process is stopped (SIGSTOP) until the fault ends. Its peers get no answers and no resets.
    Pause,
    /// The processors of a service do not respond, as behind a network partition.
    ServiceUnresponsive,
    /// The processors of a service run requests, but drop some of the responses.
    ResponsesLost,
    /// A process gets SIGTERM, and is started again once it has exited. The other processes of its
    /// machine keep running.
    Terminate,
    /// A process gets SIGHUP to reload its settings.
    Hangup,
    /// The processors of a service send some responses twice.
    ResponsesDuplicated,
    /// The processors of a service send some responses with an invalid header.
    HeadersCorrupted,
    /// The operator changes the services or weights of the routes.
    RouteChange,
    /// The operator adds a route below the prefix of another one. It is not removed when the fault
    /// ends, as messages on a removed route are dead.
    NestedRouteAdded,
    /// A store node is added to the region that has too few. It is not removed when the fault ends.
    StoreAdded,
}

/// A scheduled fault.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// The kind of the fault.
    pub kind: FaultKind,
    /// The name of the process, or the index of the service.
    pub target: String,
    /// When it starts, relative to the start of the traffic.
    pub at: Duration,
    /// How long it lasts.
    pub length: Duration,
}

/// How many processes of one role may be down at the same time.
const MAX_DOWN_PER_ROLE: usize = 1;
/// The mean time between the starts of two faults. It is less than their mean length, so that two
/// or three overlap.
const MEAN_INTERVAL_MS: u64 = 900;
const FAULT_LENGTH_MS: std::ops::Range<u64> = 600..3000;

/// The faults of a seed, in the order in which they start.
#[derive(Clone, Debug)]
pub struct Schedule {
    /// The faults, by start time.
    pub faults: Vec<Fault>,
}

impl Schedule {
    /// Draws the faults of a seed for traffic of this length; all faults end before the traffic does.
    pub fn draw(seed: u64, length: Duration) -> Schedule {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut faults: Vec<Fault> = Vec::new();
        let mut at_ms = 500;
        let last_ms = (length.as_millis() as u64).saturating_sub(FAULT_LENGTH_MS.end);
        while at_ms < last_ms {
            let fault = draw_fault(&mut rng, at_ms);
            if is_tolerated(&faults, &fault) {
                faults.push(fault);
            }
            at_ms += rng.random_range(MEAN_INTERVAL_MS / 2..MEAN_INTERVAL_MS * 3 / 2);
        }
        Schedule { faults }
    }

    /// The largest number of faults that are active at the same time.
    pub fn max_concurrent(&self) -> usize {
        let active_at = |at: Duration| self.faults.iter().filter(|f| f.at <= at && at < f.at + f.length).count();
        self.faults.iter().map(|fault| active_at(fault.at)).max().unwrap_or(0)
    }
}

fn draw_fault(rng: &mut StdRng, at_ms: u64) -> Fault {
    let kind = match rng.random_range(0..20) {
        0..3 => FaultKind::Kill,
        3..6 => FaultKind::Pause,
        6..9 => FaultKind::Terminate,
        9 => FaultKind::Hangup,
        10 => FaultKind::ServiceUnresponsive,
        11 => FaultKind::ResponsesLost,
        12 => FaultKind::ResponsesDuplicated,
        13 => FaultKind::HeadersCorrupted,
        14 | 15 => FaultKind::NestedRouteAdded,
        16 | 17 => FaultKind::StoreAdded,
        _ => FaultKind::RouteChange,
    };
    let target = match kind {
        FaultKind::Kill | FaultKind::Pause | FaultKind::Terminate | FaultKind::Hangup => {
            let processes = Cluster::processes();
            processes[rng.random_range(0..processes.len())].clone()
        }
        _ => rng.random_range(0..2).to_string(),
    };
    let length = Duration::from_millis(rng.random_range(FAULT_LENGTH_MS));
    Fault { kind, target, at: Duration::from_millis(at_ms), length }
}

/// Whether the cluster must tolerate this fault together with those scheduled before it: at most
/// one process of each role may be down or recovering at a time.
fn is_tolerated(faults: &[Fault], fault: &Fault) -> bool {
    let is_process = |f: &Fault| matches!(f.kind, FaultKind::Kill | FaultKind::Pause | FaultKind::Terminate);
    if !is_process(fault) {
        return true;
    }
    let role = |f: &Fault| f.target.split('-').next().map(str::to_owned);
    // A store node that was down needs time to get in sync again.
    let recovery = Duration::from_millis(FAULT_LENGTH_MS.end);
    let overlaps = |other: &&Fault| is_process(other) && fault.at < other.at + other.length + recovery;
    let same_role = |other: &&Fault| role(other) == role(fault);
    faults.iter().filter(overlaps).filter(same_role).count() < MAX_DOWN_PER_ROLE
}
