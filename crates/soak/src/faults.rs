//! Troubles of a seed: what happens to which process or processor, and when.

use crate::cluster::Cluster;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

/// What happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// A process is killed, and started again at the end.
    Kill,
    /// A process is stopped, and goes on at the end: to others it is cut off silently.
    Pause,
    /// The processors of a service answer nothing, as behind a cut.
    ServiceUnresponsive,
    /// The processors of a service lose some answers of runs.
    ResponsesLost,
    /// A process is told to end, and started again once it has: it alone of its machine.
    Terminate,
    /// A process is told to read its settings again.
    Hangup,
    /// The processors of a service give some answers twice.
    ResponsesDuplicated,
    /// The processors of a service spoil some headers.
    HeadersCorrupted,
    /// The operator gives the route other services or weights.
    RouteChange,
    /// The operator adds a route inside another one; it stays, as messages on a route that is
    /// removed are dead.
    NestedRouteAdded,
    /// A store machine is added to the region that has too few; it stays.
    StoreAdded,
}

/// One trouble.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// What happens.
    pub kind: FaultKind,
    /// The process, or the number of the service.
    pub target: String,
    /// When it begins, from the start of the traffic.
    pub at: Duration,
    /// How long it lasts.
    pub length: Duration,
}

/// How many processes that keep something may be down at once.
const TOLERATED: usize = 1;
/// The mean pause between the beginnings of two troubles; as they last longer, two or three
/// overlap.
const MEAN_GAP_MS: u64 = 900;
/// How long a trouble lasts.
const LENGTHS_MS: std::ops::Range<u64> = 600..3000;

/// The troubles of one seed, in the order in which they begin.
#[derive(Clone, Debug)]
pub struct Schedule {
    /// The troubles.
    pub faults: Vec<Fault>,
}

impl Schedule {
    /// The troubles that a seed draws for a time of traffic; all are over at its end.
    pub fn draw(seed: u64, length: Duration) -> Schedule {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut faults: Vec<Fault> = Vec::new();
        let mut at_ms = 500;
        let last_ms = (length.as_millis() as u64).saturating_sub(LENGTHS_MS.end);
        while at_ms < last_ms {
            let fault = draw_fault(&mut rng, at_ms);
            if is_tolerated(&faults, &fault) {
                faults.push(fault);
            }
            at_ms += rng.random_range(MEAN_GAP_MS / 2..MEAN_GAP_MS * 3 / 2);
        }
        Schedule { faults }
    }

    /// How many troubles are under way at most at once.
    pub fn max_concurrent(&self) -> usize {
        let during = |at: Duration| self.faults.iter().filter(|f| f.at <= at && at < f.at + f.length).count();
        self.faults.iter().map(|fault| during(fault.at)).max().unwrap_or(0)
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
    let length = Duration::from_millis(rng.random_range(LENGTHS_MS));
    Fault { kind, target, at: Duration::from_millis(at_ms), length }
}

/// Whether a trouble is inside what the cluster is to bear, with those before it: of control
/// nodes and of store nodes one each at a time, and no process twice at once.
fn is_tolerated(faults: &[Fault], fault: &Fault) -> bool {
    let is_process = |f: &Fault| matches!(f.kind, FaultKind::Kill | FaultKind::Pause | FaultKind::Terminate);
    if !is_process(fault) {
        return true;
    }
    let role = |f: &Fault| f.target.split('-').next().map(str::to_owned);
    // A store that was down needs a while until it is in sync again.
    let recovery = Duration::from_millis(LENGTHS_MS.end);
    let overlaps = |other: &&Fault| is_process(other) && fault.at < other.at + other.length + recovery;
    let same_role = |other: &&Fault| role(other) == role(fault);
    faults.iter().filter(overlaps).filter(same_role).count() < TOLERATED
}
