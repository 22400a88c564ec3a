//! Long random schedules of faults against the real state machines, made smaller when
//! one of them fails. `CONTROL_SCHEDULES=N` plays N of each instead.

mod common;

use common::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

#[derive(Clone, Debug)]
enum Op {
    Pass(u64),
    Order(usize, usize),
    /// An acknowledged one, sent again.
    RetryOwner(usize),
    Crash(usize),
    CrashAmid(usize, u32),
    CrashAll,
    Start(usize),
    Wipe(usize),
    WipeAndCrashAll(usize),
    Freeze(usize),
    Stall(usize),
    Thaw(usize),
    Cut(usize),
    CutLink(usize, usize),
    Heal,
    Late(usize, usize, u64),
    Repeat(usize),
    StepDown(usize),
    Leave(usize),
    Snapshot(usize),
    /// The leader and one other are cut off and write entries that the next leader
    /// overwrites; then the first one is to lead again.
    LeadAgain(usize),
}

#[derive(Clone, Debug)]
struct Plan {
    rates: Vec<u64>,
    late: Vec<u64>,
    latency: Vec<u64>,
    /// Every message is repeated, so much later.
    twice: Option<u64>,
    long: usize,
    /// From the first start to the first fault.
    calm: u64,
    ops: Vec<Op>,
}

fn op(n: usize) -> impl Strategy<Value = Op> {
    let f = 0..n;
    prop_oneof![
        10 => (1..12u64).prop_map(|t| Op::Pass(t * 48)),
        2 => (4..12u64).prop_map(|t| Op::Pass(t * 400)),
        6 => (0..2usize, f.clone()).prop_map(|(o, n)| Op::Order(o, n)),
        1 => (0..8usize).prop_map(Op::RetryOwner),
        1 => f.clone().prop_map(Op::Crash),
        2 => (f.clone(), 0..6u32).prop_map(|(n, k)| Op::CrashAmid(n, k)),
        1 => Just(Op::CrashAll),
        4 => f.clone().prop_map(Op::Start),
        2 => f.clone().prop_map(Op::Wipe),
        1 => f.clone().prop_map(Op::WipeAndCrashAll),
        1 => f.clone().prop_map(Op::Freeze),
        1 => f.clone().prop_map(Op::Stall),
        3 => f.clone().prop_map(Op::Thaw),
        1 => f.clone().prop_map(Op::Cut),
        2 => (f.clone(), f.clone()).prop_map(|(a, b)| Op::CutLink(a, b)),
        2 => Just(Op::Heal),
        3 => (f.clone(), f.clone(), 1..40u64).prop_map(|(a, b, t)| Op::Late(a, b, t * 24)),
        2 => (0..64usize).prop_map(Op::Repeat),
        1 => f.clone().prop_map(Op::StepDown),
        1 => f.clone().prop_map(Op::Leave),
        2 => f.prop_map(Op::Snapshot),
    ]
}

/// Many elections at once, with little time between the faults.
fn close_op(n: usize) -> impl Strategy<Value = Op> {
    let f = 0..n;
    prop_oneof![
        12 => (1..8u64).prop_map(|t| Op::Pass(t * 4)),
        2 => (1..6u64).prop_map(|t| Op::Pass(t * 96)),
        1 => Just(Op::CrashAll),
        3 => f.clone().prop_map(Op::Start),
        2 => f.clone().prop_map(Op::Crash),
        2 => (f.clone(), 0..6u32).prop_map(|(n, k)| Op::CrashAmid(n, k)),
        1 => f.clone().prop_map(Op::Wipe),
        1 => f.clone().prop_map(Op::StepDown),
        2 => (f.clone(), f.clone()).prop_map(|(a, b)| Op::CutLink(a, b)),
        1 => Just(Op::Heal),
        4 => (f.clone(), f.clone(), 1..12u64).prop_map(|(a, b, t)| Op::Late(a, b, t * 8)),
        5 => (0..64usize).prop_map(Op::Repeat),
        2 => (0..2usize, f).prop_map(|(o, n)| Op::Order(o, n)),
    ]
}

/// Which faults a search draws.
#[derive(Clone, Copy, PartialEq)]
enum Faults {
    Mixed,
    Close,
    Returns,
}

fn plan(n: usize, length: usize, faults: Faults) -> impl Strategy<Value = Plan> {
    let rates = prop::collection::vec(950..=1050u64, n);
    let late = prop::collection::vec(0..60u64, n);
    let latency = prop::collection::vec(1..24u64, n * n);
    let op = match faults {
        Faults::Mixed => op(n).boxed(),
        Faults::Close => close_op(n).boxed(),
        Faults::Returns => return_op(n).boxed(),
    };
    let ops = prop::collection::vec(op, 1..length);
    let calm = if faults == Faults::Close { 0 } else { 1600 };
    let twice = prop_oneof![3 => Just(None), 1 => (0..24u64).prop_map(Some)];
    (rates, late, latency, twice, 6..60usize, ops).prop_map(move |(rates, late, latency, twice, long, ops)| Plan {
        rates,
        late,
        latency,
        twice,
        long,
        calm,
        ops,
    })
}

fn play(voters: usize, spare: usize, plan: &Plan, trace: bool) -> World {
    let mut w = World::new(voters, spare);
    w.trace = trace.then(Vec::new);
    for (n, node) in w.nodes.iter_mut().enumerate() {
        (node.rate, node.late) = (plan.rates[n], plan.late[n]);
    }
    w.latency.clone_from(&plan.latency);
    (w.long, w.twice) = (plan.long, plan.twice);
    w.pass(plan.calm);
    for op in &plan.ops {
        if w.fault.is_some() {
            return w;
        }
        perform(&mut w, op);
        w.check();
    }
    w.settle();
    w
}

fn perform(w: &mut World, op: &Op) {
    let all = 0..w.nodes.len();
    match op {
        Op::Pass(ms) => w.pass(*ms),
        // An operator goes on until a node answers.
        Op::Order(o, n) => {
            let n = w.holder().unwrap_or(*n);
            w.order(*o, n);
        }
        Op::RetryOwner(k) => {
            let taken: Vec<usize> = (0..w.calls.len()).filter(|c| w.calls[*c].answer == Answer::KnownOrder).collect();
            if let (false, Some(n)) = (taken.is_empty(), w.holder()) {
                w.put(taken[k % taken.len()], n);
            }
        }
        Op::Crash(n) => w.crash(*n),
        Op::CrashAmid(n, k) => w.nodes[*n].fuse = w.up(*n).then_some(*k),
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
        Op::Stall(n) => w.nodes[*n].stalls = w.up(*n),
        Op::Thaw(n) => w.thaw(*n),
        Op::Cut(n) => w.cut.extend(all.filter(|o| o != n).flat_map(|o| [(*n, o), (o, *n)])),
        Op::CutLink(a, b) => {
            w.cut.insert((*a, *b));
        }
        Op::Heal => w.cut.clear(),
        Op::Late(a, b, ms) => {
            w.slow.insert((*a, *b), *ms);
        }
        Op::Repeat(k) => {
            if let Some(p) = w.past.get(*k).cloned() {
                w.deliver(p);
            }
        }
        // Only a leader's disk is a reason for it.
        Op::StepDown(n) => {
            if w.nodes[*n].proc.as_ref().is_some_and(|p| p.is_leader) {
                w.step(*n, shell::step_down(), None);
            }
        }
        Op::Leave(n) => w.leave(*n),
        Op::Snapshot(n) => w.snapshot(*n),
        Op::LeadAgain(n) => lead_again(w, *n),
    }
}

/// Entries of the leader that only `follower` takes are overwritten under another
/// leader; then leadership is handed on until the first one has it again, at most once
/// to each other node.
fn lead_again(w: &mut World, follower: usize) {
    let Some(first) = w.holder().filter(|l| *l != follower) else { return };
    let nodes = 0..w.nodes.len();
    for other in nodes.clone().filter(|n| ![first, follower].contains(n)) {
        w.cut.extend([first, follower].into_iter().flat_map(|n| [(n, other), (other, n)]));
    }
    for operator in 0..8 {
        w.order(operator, first);
    }
    for _ in 0..40 {
        w.pass(48);
        if w.holder().is_some_and(|l| l != first) {
            break;
        }
    }
    w.cut.clear();
    w.pass(200);
    // What it sends as a leader again does not reach the one that held its entries.
    w.cut.insert((first, follower));
    for _ in nodes {
        match w.holder() {
            Some(leader) if leader != first => w.step(leader, shell::step_down(), None),
            _ => return,
        }
        w.pass(48);
    }
}

/// Leaders that lead again, with faults of all kinds between.
fn return_op(n: usize) -> impl Strategy<Value = Op> {
    prop_oneof![2 => (0..n).prop_map(Op::LeadAgain), 3 => op(n)]
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
    let seen = std::cell::RefCell::new(Seen::default());
    let found = TestRunner::new_with_rng(config, rng).run(&plan(voters + spare, length, faults), |p| {
        let w = play(voters, spare, &p, false);
        played.set(played.get() + 1);
        passed.set(passed.get() + w.now - 10_000);
        seen.borrow_mut().add(&w.seen);
        w.fault.map_or(Ok(()), |f| Err(TestCaseError::fail(f)))
    });
    let (played, passed) = (played.get_mut(), passed.get_mut());
    println!(
        "{voters} voters, {spare} spare, seed {seed}: {played} schedules of up to {length} steps, {} s of the clocks, {:?}, in {:?}",
        *passed / 1000,
        seen.borrow(),
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
    search(3, 1, 3, 3000, 60, Faults::Close);
}

#[test]
fn elections_of_five() {
    search(5, 0, 4, 3000, 60, Faults::Close);
}

#[test]
fn leaders_of_five_that_lead_again() {
    search(5, 0, 5, 600, 12, Faults::Returns);
}
