//! Long random schedules of faults against the real state machines. A failing schedule is
//! shrunk. `CONTROL_SCHEDULES=N` sets the number of schedules per test.

mod common;

use common::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

#[derive(Clone, Debug)]
enum Op {
    RunFor(u64),
    SendRequest(usize, usize),
    /// Sends a request again that was accepted.
    RepeatAccepted(usize),
    Crash(usize),
    CrashDuringEffects(usize, u32),
    CrashAll,
    Start(usize),
    Wipe(usize),
    WipeAndCrashAll(usize),
    Freeze(usize),
    StallDisk(usize),
    Resume(usize),
    Isolate(usize),
    CutLink(usize, usize),
    Heal,
    DelayLink(usize, usize, u64),
    RedeliverMessage(usize),
    StepDown(usize),
    Leave(usize),
    Snapshot(usize),
    /// Isolates the leader and one follower, which append entries that the next leader
    /// overwrites, and then hands leadership back to the first leader.
    RegainLeadership(usize),
}

#[derive(Clone, Debug)]
struct Plan {
    clock_rates: Vec<u64>,
    max_timer_delays: Vec<u64>,
    latency: Vec<u64>,
    /// If set, every message is delivered a second time after this delay.
    duplicate_after: Option<u64>,
    max_log_len: usize,
    /// Time from the first start to the first fault.
    fault_free_time: u64,
    ops: Vec<Op>,
}

fn op(n: usize) -> impl Strategy<Value = Op> {
    let f = 0..n;
    prop_oneof![
        10 => (1..12u64).prop_map(|t| Op::RunFor(t * 48)),
        2 => (4..12u64).prop_map(|t| Op::RunFor(t * 400)),
        6 => (0..2usize, f.clone()).prop_map(|(o, n)| Op::SendRequest(o, n)),
        1 => (0..8usize).prop_map(Op::RepeatAccepted),
        1 => f.clone().prop_map(Op::Crash),
        2 => (f.clone(), 0..6u32).prop_map(|(n, k)| Op::CrashDuringEffects(n, k)),
        1 => Just(Op::CrashAll),
        4 => f.clone().prop_map(Op::Start),
        2 => f.clone().prop_map(Op::Wipe),
        1 => f.clone().prop_map(Op::WipeAndCrashAll),
        1 => f.clone().prop_map(Op::Freeze),
        1 => f.clone().prop_map(Op::StallDisk),
        3 => f.clone().prop_map(Op::Resume),
        1 => f.clone().prop_map(Op::Isolate),
        2 => (f.clone(), f.clone()).prop_map(|(a, b)| Op::CutLink(a, b)),
        2 => Just(Op::Heal),
        3 => (f.clone(), f.clone(), 1..40u64).prop_map(|(a, b, t)| Op::DelayLink(a, b, t * 24)),
        2 => (0..64usize).prop_map(Op::RedeliverMessage),
        1 => f.clone().prop_map(Op::StepDown),
        1 => f.clone().prop_map(Op::Leave),
        2 => f.prop_map(Op::Snapshot),
    ]
}

/// Faults in quick succession, which cause many overlapping elections.
fn election_op(n: usize) -> impl Strategy<Value = Op> {
    let f = 0..n;
    prop_oneof![
        12 => (1..8u64).prop_map(|t| Op::RunFor(t * 4)),
        2 => (1..6u64).prop_map(|t| Op::RunFor(t * 96)),
        1 => Just(Op::CrashAll),
        3 => f.clone().prop_map(Op::Start),
        2 => f.clone().prop_map(Op::Crash),
        2 => (f.clone(), 0..6u32).prop_map(|(n, k)| Op::CrashDuringEffects(n, k)),
        1 => f.clone().prop_map(Op::Wipe),
        1 => f.clone().prop_map(Op::StepDown),
        2 => (f.clone(), f.clone()).prop_map(|(a, b)| Op::CutLink(a, b)),
        1 => Just(Op::Heal),
        4 => (f.clone(), f.clone(), 1..12u64).prop_map(|(a, b, t)| Op::DelayLink(a, b, t * 8)),
        5 => (0..64usize).prop_map(Op::RedeliverMessage),
        2 => (0..2usize, f).prop_map(|(o, n)| Op::SendRequest(o, n)),
    ]
}

/// The distribution from which a search draws its faults.
#[derive(Clone, Copy, PartialEq)]
enum Faults {
    Mixed,
    Elections,
    Regaining,
}

fn plan(n: usize, length: usize, faults: Faults) -> impl Strategy<Value = Plan> {
    let clock_rates = prop::collection::vec(950..=1050u64, n);
    let max_timer_delays = prop::collection::vec(0..60u64, n);
    let latency = prop::collection::vec(1..24u64, n * n);
    let op = match faults {
        Faults::Mixed => op(n).boxed(),
        Faults::Elections => election_op(n).boxed(),
        Faults::Regaining => regaining_op(n).boxed(),
    };
    let ops = prop::collection::vec(op, 1..length);
    let fault_free_time = if faults == Faults::Elections { 0 } else { 1600 };
    let duplicate_after = prop_oneof![3 => Just(None), 1 => (0..24u64).prop_map(Some)];
    (clock_rates, max_timer_delays, latency, duplicate_after, 6..60usize, ops).prop_map(
        move |(clock_rates, max_timer_delays, latency, duplicate_after, max_log_len, ops)| Plan {
            clock_rates,
            max_timer_delays,
            latency,
            duplicate_after,
            max_log_len,
            fault_free_time,
            ops,
        },
    )
}

fn play(voters: usize, spare: usize, plan: &Plan, trace: bool) -> Simulation {
    let mut w = Simulation::new(voters, spare);
    w.trace = trace.then(Vec::new);
    for (n, node) in w.nodes.iter_mut().enumerate() {
        (node.clock_rate, node.max_timer_delay) = (plan.clock_rates[n], plan.max_timer_delays[n]);
    }
    w.latency.clone_from(&plan.latency);
    (w.max_log_len, w.duplicate_after) = (plan.max_log_len, plan.duplicate_after);
    w.run_for(plan.fault_free_time);
    for op in &plan.ops {
        if w.violation.is_some() {
            return w;
        }
        perform(&mut w, op);
        w.check();
    }
    w.check_recovery();
    w
}

fn perform(w: &mut Simulation, op: &Op) {
    let all = 0..w.nodes.len();
    match op {
        Op::RunFor(ms) => w.run_for(*ms),
        // An operator tries the nodes until one answers.
        Op::SendRequest(o, n) => {
            let n = w.lease_holder().unwrap_or(*n);
            w.send_request(*o, n);
        }
        Op::RepeatAccepted(k) => {
            let accepted: Vec<usize> =
                (0..w.requests.len()).filter(|c| w.requests[*c].response == Response::Accepted).collect();
            if let (false, Some(n)) = (accepted.is_empty(), w.lease_holder()) {
                w.put(accepted[k % accepted.len()], n);
            }
        }
        Op::Crash(n) => w.crash(*n),
        Op::CrashDuringEffects(n, k) => w.nodes[*n].effects_until_crash = w.is_up(*n).then_some(*k),
        Op::CrashAll => all.for_each(|n| w.crash(n)),
        Op::Start(n) => w.start(*n),
        Op::Wipe(n) => {
            w.wipe(*n);
        }
        Op::WipeAndCrashAll(n) => {
            if w.wipe(*n) {
                all.clone().for_each(|n| w.crash(n));
                all.for_each(|n| w.start(n));
            }
        }
        Op::Freeze(n) => w.freeze(*n),
        Op::StallDisk(n) => w.nodes[*n].disk_stalled = w.is_up(*n),
        Op::Resume(n) => w.resume(*n),
        Op::Isolate(n) => w.cut_links.extend(all.filter(|o| o != n).flat_map(|o| [(*n, o), (o, *n)])),
        Op::CutLink(a, b) => {
            w.cut_links.insert((*a, *b));
        }
        Op::Heal => w.cut_links.clear(),
        Op::DelayLink(a, b, ms) => {
            w.extra_delay.insert((*a, *b), *ms);
        }
        Op::RedeliverMessage(k) => {
            if let Some(p) = w.delivered.get(*k).cloned() {
                w.deliver(p);
            }
        }
        // Only a leader steps down because of its disk.
        Op::StepDown(n) => {
            if w.nodes[*n].proc.as_ref().is_some_and(|p| p.is_leader) {
                w.step(*n, driver::step_down(), None);
            }
        }
        Op::Leave(n) => w.leave(*n),
        Op::Snapshot(n) => w.snapshot(*n),
        Op::RegainLeadership(n) => regain_leadership(w, *n),
    }
}

/// Lets another leader overwrite entries that only the first leader and `follower` have. Then
/// hands leadership over until the first leader has it again, with one transfer per node at
/// most.
fn regain_leadership(w: &mut Simulation, follower: usize) {
    let Some(first) = w.lease_holder().filter(|l| *l != follower) else { return };
    let nodes = 0..w.nodes.len();
    for other in nodes.clone().filter(|n| ![first, follower].contains(n)) {
        w.cut_links.extend([first, follower].into_iter().flat_map(|n| [(n, other), (other, n)]));
    }
    for operator in 0..8 {
        w.send_request(operator, first);
    }
    for _ in 0..40 {
        w.run_for(48);
        if w.lease_holder().is_some_and(|l| l != first) {
            break;
        }
    }
    w.cut_links.clear();
    w.run_for(200);
    // The messages of its second leadership must not reach the follower that had its entries.
    w.cut_links.insert((first, follower));
    for _ in nodes {
        match w.lease_holder() {
            Some(leader) if leader != first => w.step(leader, driver::step_down(), None),
            _ => return,
        }
        w.run_for(48);
    }
}

/// Leaders that regain leadership, mixed with faults of all kinds.
fn regaining_op(n: usize) -> impl Strategy<Value = Op> {
    prop_oneof![2 => (0..n).prop_map(Op::RegainLeadership), 3 => op(n)]
}

fn search(voters: usize, spare: usize, seed: u8, cases: u32, length: usize, faults: Faults) {
    let cases = std::env::var("CONTROL_SCHEDULES").ok().and_then(|n| n.parse().ok()).unwrap_or(cases);
    let began = std::time::Instant::now();
    let config = Config {
        cases,
        max_shrink_time: 20_000,
        max_shrink_iters: 20_000,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
    let (mut played, mut passed) = (std::cell::Cell::new(0u32), std::cell::Cell::new(0u64));
    let stats = std::cell::RefCell::new(Stats::default());
    let found = TestRunner::new_with_rng(config, rng).run(&plan(voters + spare, length, faults), |p| {
        let w = play(voters, spare, &p, false);
        played.set(played.get() + 1);
        passed.set(passed.get() + w.now - 10_000);
        stats.borrow_mut().add(&w.stats);
        w.violation.map_or(Ok(()), |f| Err(TestCaseError::fail(f)))
    });
    let (played, passed) = (played.get_mut(), passed.get_mut());
    println!(
        "{voters} voters, {spare} spare, seed {seed}: {played} schedules of up to {length} steps, {} s of simulated time, {:?}, in {:?}",
        *passed / 1000,
        stats.borrow(),
        began.elapsed()
    );
    if let Err(proptest::test_runner::TestError::Fail(why, least)) = found {
        let w = play(voters, spare, &least, true);
        println!("{}", w.trace.unwrap_or_default().join("\n"));
        panic!("{why}\n{least:?}");
    }
}

#[test]
fn three_voters_and_a_spare() {
    search(3, 1, 1, 3000, 60, Faults::Mixed);
}

#[test]
fn five_voters_and_a_spare() {
    search(5, 1, 2, 2000, 60, Faults::Mixed);
}

#[test]
fn elections_of_three() {
    search(3, 1, 3, 3000, 60, Faults::Elections);
}

#[test]
fn elections_of_five() {
    search(5, 0, 4, 3000, 60, Faults::Elections);
}

#[test]
fn leaders_of_five_that_lead_again() {
    search(5, 0, 5, 600, 12, Faults::Regaining);
}
