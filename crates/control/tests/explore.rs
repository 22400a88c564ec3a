//! Bounded model checker: explores all runs of a small cluster with at most a given number
//! of faults. A fault affects a node or a link, or a single message that is delayed, lost,
//! reordered, duplicated, or whose receiver crashes while it carries out the effects.
//! `CONTROL_ROUNDS`, `CONTROL_DEPARTURES` (the number of faults) and `CONTROL_STATES` raise
//! the bounds.

mod common;

use common::*;
use std::collections::HashSet;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::time::Instant;

/// Slightly longer than a heartbeat interval, so followers receive one heartbeat per round.
const ROUND: u64 = 140;

#[derive(Clone, Copy, Debug, Hash, PartialEq)]
enum Fault {
    /// Down for this many rounds; with 0, restarted immediately.
    Crash(usize, u64),
    CrashAll,
    Wipe(usize),
    WipeAndCrashAll(usize),
    Freeze(usize, u64),
    Isolate(usize, u64),
    /// From the first node to the second.
    CutLink(usize, usize, u64),
    StepDown(usize),
    Leave(usize),
    Snapshot(usize),
    /// Faults of the next message:
    DropMessage,
    DelayMessage(u64),
    ReorderMessage,
    DuplicateMessage(u64),
    CrashDuringEffects(u32),
}

#[derive(Clone)]
struct Run {
    sim: Simulation,
    round: u64,
    /// Whether the current round has begun: its node and link faults are chosen, and its
    /// messages are being delivered.
    in_round: bool,
    pending_recoveries: Vec<(u64, Fault)>,
    trace: Vec<(u64, Fault)>,
}

struct Search {
    rounds: u64,
    state_limit: usize,
    /// Whether more than one fault of a run may be a message fault.
    all_message_faults: bool,
    states: usize,
    visited: HashSet<u64>,
    runs: u64,
    truncated: bool,
    violation: Option<(String, Run)>,
}

impl Run {
    fn inject(&self, fault: Fault) -> Option<Run> {
        let mut r = self.clone();
        r.trace.push((r.round, fault));
        let w = &mut r.sim;
        let all = 0..w.nodes.len();
        let until = |rounds: u64| self.round + rounds;
        match fault {
            Fault::Crash(n, t) => {
                if !w.is_up(n) {
                    return None;
                }
                w.crash(n);
                if t == 0 {
                    w.start(n);
                    w.step(n, control::Event::Tick, None);
                } else {
                    r.pending_recoveries.push((until(t), fault));
                }
            }
            Fault::CrashAll => {
                all.clone().for_each(|n| w.crash(n));
                all.for_each(|n| w.start(n));
            }
            Fault::Wipe(n) => {
                if !w.wipe(n) {
                    return None;
                }
                w.start(n);
            }
            Fault::WipeAndCrashAll(n) => {
                if !w.wipe(n) {
                    return None;
                }
                all.clone().for_each(|n| w.crash(n));
                all.for_each(|n| w.start(n));
            }
            Fault::Freeze(n, t) => {
                if !w.is_up(n) || w.nodes[n].frozen {
                    return None;
                }
                w.freeze(n);
                r.pending_recoveries.push((until(t), fault));
            }
            Fault::Isolate(n, t) => {
                w.cut_links.extend(all.filter(|o| *o != n).flat_map(|o| [(n, o), (o, n)]));
                r.pending_recoveries.push((until(t), fault));
            }
            Fault::CutLink(a, b, t) => {
                w.cut_links.insert((a, b));
                r.pending_recoveries.push((until(t), fault));
            }
            Fault::StepDown(n) => {
                if !w.nodes[n].proc.as_ref().is_some_and(|p| p.is_leader) {
                    return None;
                }
                w.step(n, driver::step_down(), None);
            }
            Fault::Leave(n) => {
                if !w.is_up(n) {
                    return None;
                }
                w.leave(n);
                // Exits two rounds later and is restarted at once.
                r.pending_recoveries.push((until(2), fault));
            }
            Fault::Snapshot(n) => w.snapshot(n),
            _ => {
                let at = r.next_message()?;
                let w = &mut r.sim;
                match fault {
                    Fault::DropMessage => {
                        w.in_flight.remove(at);
                    }
                    Fault::DelayMessage(t) => w.in_flight[at].due = w.now + t * ROUND,
                    Fault::ReorderMessage => {
                        let p = w.in_flight.remove(at);
                        if w.in_flight.iter().all(|x| x.due > w.now) {
                            return None;
                        }
                        w.in_flight.push(p);
                    }
                    Fault::DuplicateMessage(t) => {
                        let again = Packet { due: w.now + t * ROUND, ..w.in_flight[at].clone() };
                        w.in_flight.push(again);
                        let p = w.in_flight.remove(at);
                        w.deliver(p);
                    }
                    Fault::CrashDuringEffects(k) => {
                        let p = w.in_flight.remove(at);
                        let to = p.to;
                        if !w.is_up(to) || w.nodes[to].frozen {
                            return None;
                        }
                        w.nodes[to].effects_until_crash = Some(k);
                        w.deliver(p);
                        if w.is_up(to) {
                            return None; // The step has fewer effects.
                        }
                        w.start(to);
                    }
                    _ => {}
                }
            }
        }
        r.sim.check();
        Some(r)
    }

    fn digest(&self, faults_left: usize) -> u64 {
        let mut h = DefaultHasher::new();
        (self.sim.digest(), self.round, self.in_round, &self.pending_recoveries, faults_left).hash(&mut h);
        h.finish()
    }

    /// Position of the next message that is due.
    fn next_message(&self) -> Option<usize> {
        self.sim.in_flight.iter().position(|p| p.due <= self.sim.now)
    }

    fn recover(&mut self) {
        let (due, later): (Vec<_>, Vec<_>) = self.pending_recoveries.iter().partition(|(r, _)| *r <= self.round);
        self.pending_recoveries = later;
        for (_, d) in due {
            let w = &mut self.sim;
            match d {
                Fault::Crash(n, _) => w.start(n),
                Fault::Freeze(n, _) => w.resume(n),
                Fault::Isolate(n, _) => w.cut_links.retain(|(a, b)| *a != n && *b != n),
                Fault::CutLink(a, b, _) => {
                    w.cut_links.remove(&(a, b));
                }
                Fault::Leave(n) => {
                    w.crash(n);
                    w.start(n);
                }
                _ => {}
            }
        }
    }

    /// The next step without a fault: delivers a message or moves to the next round.
    fn step(&mut self) {
        if let Some(at) = self.next_message() {
            let p = self.sim.in_flight.remove(at);
            self.sim.deliver(p);
            self.sim.check();
            return;
        }
        if !self.in_round {
            self.in_round = true;
            self.sim.now += ROUND;
            self.recover();
            for n in 0..self.sim.nodes.len() {
                self.sim.step(n, control::Event::Tick, None);
                if self.sim.duties_enabled {
                    self.sim.run_duties(n);
                }
            }
            if let Some(n) = self.sim.lease_holder() {
                self.sim.send_request(0, n);
                if self.round.is_multiple_of(2) {
                    self.sim.send_request(1, n);
                }
            }
            self.sim.check();
            return;
        }
        self.in_round = false;
        self.round += 1;
    }
}

impl Search {
    fn possible_faults(&self, r: &Run) -> Vec<Fault> {
        if r.next_message().is_some() {
            let messages =
                |d: &Fault| matches!(d, Fault::DropMessage | Fault::DelayMessage(_) | Fault::CrashDuringEffects(_));
            if !self.all_message_faults && r.trace.iter().any(|(_, d)| messages(d)) {
                return Vec::new();
            }
            let crashes = (0..6).map(Fault::CrashDuringEffects);
            let mut all = vec![Fault::DropMessage, Fault::DelayMessage(4)];
            if self.all_message_faults {
                all.extend([Fault::ReorderMessage, Fault::DelayMessage(1), Fault::DuplicateMessage(4)]);
            }
            all.extend(crashes);
            return all;
        }
        if r.in_round {
            return Vec::new();
        }
        let nodes = r.sim.nodes.len();
        let mut all = vec![Fault::CrashAll];
        for n in 0..nodes {
            use Fault::*;
            all.extend([Crash(n, 0), Crash(n, 5), Wipe(n), WipeAndCrashAll(n), Freeze(n, 4), Isolate(n, 5)]);
            all.extend([StepDown(n), Leave(n), Snapshot(n)]);
            all.extend((0..nodes).filter(|o| *o != n).map(|o| CutLink(n, o, 5)));
        }
        all
    }

    /// All runs up to their first fault.
    fn after_first_fault(&self, mut r: Run, faults_left: usize) -> Vec<Run> {
        let mut all = Vec::new();
        if faults_left == 0 {
            all.push(r);
            return all;
        }
        while r.round < self.rounds {
            for d in self.possible_faults(&r) {
                if let Some(next) = r.inject(d) {
                    all.push(next);
                } else if matches!(d, Fault::CrashDuringEffects(_)) {
                    break;
                }
            }
            r.step();
        }
        all
    }

    fn explore_from(&mut self, mut r: Run, faults_left: usize) {
        let mut after_fault = true;
        loop {
            if self.violation.is_some() || self.truncated {
                return;
            }
            if r.sim.violation.is_some() {
                self.violation = Some((r.sim.violation.clone().unwrap_or_default(), r));
                return;
            }
            if r.round == self.rounds {
                break;
            }
            // Within a round, states differ only in the messages delivered, so it is enough to
            // compare them right after a fault and between rounds.
            if (after_fault || !r.in_round) && !self.visited.insert(r.digest(faults_left)) {
                return;
            }
            after_fault = false;
            self.states += 1;
            if self.states >= self.state_limit {
                self.truncated = true;
                return;
            }
            if faults_left > 0 {
                for d in self.possible_faults(&r) {
                    if let Some(next) = r.inject(d) {
                        self.explore_from(next, faults_left - 1);
                    } else if matches!(d, Fault::CrashDuringEffects(_)) {
                        break;
                    }
                }
            }
            r.step();
        }
        if faults_left == 0 {
            self.runs += 1;
            r.sim.check_recovery();
            if r.sim.violation.is_some() {
                self.violation = Some((r.sim.violation.clone().unwrap_or_default(), r));
            }
        }
    }
}

fn env_or(name: &str, or: usize) -> usize {
    std::env::var(name).ok().and_then(|n| n.parse().ok()).unwrap_or(or)
}

/// Two threads share the runs by their first fault. Each run has its own set of visited
/// states, so the number of states is deterministic.
fn explore(name: &str, start: Simulation, pending_recoveries: &[(u64, Fault)], rounds: u64, max_faults: usize) {
    let rounds = env_or("CONTROL_ROUNDS", rounds as usize) as u64;
    let max_faults = env_or("CONTROL_DEPARTURES", max_faults);
    let limit = env_or("CONTROL_STATES", 3_000_000);
    let mut sim = start;
    sim.trace = None;
    sim.latency.fill(0);
    // Short enough that voters are replaced within the rounds explored.
    sim.voter_timeout = 3 * ROUND;
    let start =
        Run { sim, round: 0, in_round: false, pending_recoveries: pending_recoveries.to_vec(), trace: Vec::new() };
    let search = |all_message_faults| Search {
        rounds,
        state_limit: limit,
        all_message_faults,
        visited: HashSet::new(),
        states: 0,
        runs: 0,
        truncated: false,
        violation: None,
    };
    // Fewer faults first, so that the counterexample found is a shortest one.
    for (faults, all_message_faults) in
        [(0, true), (1, true)].into_iter().chain((2..=max_faults).map(|n| (n, max_faults > 2)))
    {
        let began = Instant::now();
        let (mut states, mut runs, mut truncated, mut violations) = (0, 0, false, Vec::new());
        let starts = search(all_message_faults).after_first_fault(start.clone(), faults);
        let next = AtomicUsize::new(0);
        std::thread::scope(|scope| {
            let work = || {
                let mut s = search(all_message_faults);
                while s.violation.is_none()
                    && !s.truncated
                    && let Some(r) = starts.get(next.fetch_add(1, Relaxed))
                {
                    s.visited.clear();
                    s.explore_from(r.clone(), faults.saturating_sub(1));
                }
                s
            };
            for s in [scope.spawn(work), scope.spawn(work)] {
                let s = s.join().expect("search thread panicked");
                states += s.states;
                runs += s.runs;
                truncated |= s.truncated;
                violations.extend(s.violation);
            }
        });
        println!(
            "{name}: {rounds} rounds, {faults} faults{}: {states} states, {runs} complete runs{}, in {:?}",
            if all_message_faults { "" } else { ", at most one of them a message fault" },
            if truncated { ", truncated at the state limit" } else { "" },
            began.elapsed()
        );
        if let Some((why, run)) = violations.into_iter().min_by_key(|f| f.1.trace.len()) {
            panic!("{why}\n{:?}", run.trace);
        }
    }
}

fn stable_cluster(spare: usize) -> Simulation {
    let mut w = Simulation::new(3, spare);
    w.run_for(1600);
    w
}

/// A cluster that has accepted a request, with its leader and one of the other voters.
fn cluster_with_leader(spare: usize) -> (Simulation, usize, usize) {
    let mut w = stable_cluster(spare);
    let leader = w.lease_holder().expect("a leader");
    let other = (0..3).find(|n| *n != leader).expect("another");
    w.send_request(0, leader);
    w.run_for(200);
    (w, leader, other)
}

#[test]
fn three_voters() {
    explore("three voters", stable_cluster(0), &[], 6, 2);
}

#[test]
fn three_voters_and_a_spare() {
    explore("three voters and a spare", stable_cluster(1), &[], 4, 2);
}

#[test]
fn one_is_behind_a_log_that_was_cut() {
    let (mut w, leader, other) = cluster_with_leader(0);
    w.crash(other);
    for _ in 0..3 {
        w.send_request(0, leader);
        w.run_for(200);
    }
    w.snapshot(leader);
    w.start(other);
    explore("one behind a compacted log", w, &[], 5, 2);
}

#[test]
fn one_has_lost_its_disk() {
    let (mut w, _, other) = cluster_with_leader(0);
    w.wipe(other);
    w.start(other);
    explore("one voter lost its disk", w, &[], 5, 2);
}

#[test]
fn an_old_leader_is_cut_off() {
    let (mut w, leader, _) = cluster_with_leader(0);
    w.cut_links.extend((0..3).filter(|n| *n != leader).flat_map(|n| [(leader, n), (n, leader)]));
    // No other node has this entry.
    w.send_request(1, leader);
    w.run_for(300);
    explore("an isolated old leader", w, &[(5, Fault::Isolate(leader, 5))], 6, 2);
}

#[test]
fn one_does_not_hear_the_leader() {
    let (mut w, leader, other) = cluster_with_leader(0);
    w.cut_links.insert((leader, other));
    w.run_for(driver::TIMING.election + 40);
    explore("one follower does not receive from the leader", w, &[(4, Fault::CutLink(leader, other, 4))], 4, 2);
}

/// Guards against committing an entry of an earlier term by counting its replicas. No run of
/// the small clusters above has an append that ends with such an entry, so the response to
/// one is built by hand.
#[test]
fn an_older_terms_entry_is_not_committed_by_count() {
    use control::*;
    use rpc::messages::{RaftEntry, RaftMessage, RaftMessageKind};
    let voters: Vec<String> = ["a", "b", "c"].map(String::from).to_vec();
    let hard = HardState { term: 3, voters, may_vote: true, ..HardState::default() };
    let entry = |index, term| RaftEntry { index, term, ..RaftEntry::default() };
    let log = vec![entry(1, 1), entry(2, 2)];
    let mut v = RaftNode::new("a", hard, Default::default(), log, driver::TIMING, 1, driver::CLOCK_START);
    let mut now = driver::CLOCK_START;
    let mut led = false;
    while !led {
        now += 2 * driver::TIMING.election;
        let mut effects = v.step(now, Event::Tick);
        while let Some(e) = effects.pop() {
            if let Effect::Send(to, m) = e
                && m.kind == RaftMessageKind::RequestVote as i32
            {
                let vote = RaftMessage { from: to, kind: RaftMessageKind::Vote as i32, ok: true, ..m };
                let more = v.step(now, Event::Message(vote));
                led |= more.iter().any(|e| matches!(e, Effect::BecameLeader));
                effects.extend(more);
            }
        }
    }
    assert_eq!(v.role, StateRole::Leader);
    let ack = |index| RaftMessage {
        from: "b".into(),
        term: v.hard.term,
        kind: RaftMessageKind::AppendAck as i32,
        ok: true,
        index,
        round: 1,
        ..RaftMessage::default()
    };
    let (older, own) = (ack(2), ack(3));
    v.step(now, Event::Message(older));
    assert_eq!(v.commit, 0, "another node could still be elected without it");
    v.step(now, Event::Message(own));
    assert_eq!(v.commit, 3);
}
