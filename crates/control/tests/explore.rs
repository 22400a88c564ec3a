//! Every run of a small world that departs from the calm one in at most so many
//! places. A departure is a fault of a node or link, or a message that is late, lost,
//! out of turn, repeated, or ends its receiver amid what it makes it do.
//! `CONTROL_ROUNDS`, `CONTROL_DEPARTURES` and `CONTROL_STATES` raise the bounds.

mod common;

use common::*;
use std::collections::HashSet;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::time::Instant;

/// A beat and a little: followers hear of the leader once a round.
const ROUND: u64 = 140;

#[derive(Clone, Copy, Debug, Hash, PartialEq)]
enum Departure {
    /// Down for so many rounds; none: back, and at work, before the next one.
    Crash(usize, u64),
    CrashAll,
    Wipe(usize),
    WipeAndCrashAll(usize),
    Freeze(usize, u64),
    Cut(usize, u64),
    /// From one to another.
    CutLink(usize, usize, u64),
    StepDown(usize),
    Leave(usize),
    Snapshot(usize),
    /// Of the next message:
    Lose,
    Late(u64),
    Last,
    Twice(u64),
    CrashAmid(u32),
}

#[derive(Clone)]
struct Run {
    world: World,
    round: u64,
    /// Within a round: its faults are chosen, and messages are on their way.
    under_way: bool,
    ends: Vec<(u64, Departure)>,
    trace: Vec<(u64, Departure)>,
}

struct Search {
    rounds: u64,
    limit: usize,
    /// More than one departure may be of a message.
    every: bool,
    states: usize,
    seen: HashSet<u64>,
    runs: u64,
    cut_short: bool,
    fault: Option<(String, Run)>,
}

impl Run {
    fn depart(&self, d: Departure) -> Option<Run> {
        let mut r = self.clone();
        r.trace.push((r.round, d));
        let w = &mut r.world;
        let all = 0..w.nodes.len();
        let until = |rounds: u64| self.round + rounds;
        match d {
            Departure::Crash(n, t) => {
                if !w.up(n) {
                    return None;
                }
                w.crash(n);
                if t == 0 {
                    w.start(n);
                    w.step(n, control::Event::Tick, None);
                } else {
                    r.ends.push((until(t), d));
                }
            }
            Departure::CrashAll => {
                all.clone().for_each(|n| w.crash(n));
                all.for_each(|n| w.start(n));
            }
            Departure::Wipe(n) => {
                if !w.wipe(n) {
                    return None;
                }
                w.start(n);
            }
            Departure::WipeAndCrashAll(n) => {
                if !w.wipe(n) {
                    return None;
                }
                all.clone().for_each(|n| w.crash(n));
                all.for_each(|n| w.start(n));
            }
            Departure::Freeze(n, t) => {
                if !w.up(n) || w.nodes[n].frozen {
                    return None;
                }
                w.freeze(n);
                r.ends.push((until(t), d));
            }
            Departure::Cut(n, t) => {
                w.cut.extend(all.filter(|o| *o != n).flat_map(|o| [(n, o), (o, n)]));
                r.ends.push((until(t), d));
            }
            Departure::CutLink(a, b, t) => {
                w.cut.insert((a, b));
                r.ends.push((until(t), d));
            }
            Departure::StepDown(n) => {
                if !w.nodes[n].proc.as_ref().is_some_and(|p| p.is_leader) {
                    return None;
                }
                w.step(n, shell::step_down(), None);
            }
            Departure::Leave(n) => {
                if !w.up(n) {
                    return None;
                }
                w.leave(n);
                // Ends with the next round but one, and is back at once.
                r.ends.push((until(2), d));
            }
            Departure::Snapshot(n) => w.snapshot(n),
            _ => {
                let at = r.next()?;
                let w = &mut r.world;
                match d {
                    Departure::Lose => {
                        w.net.remove(at);
                    }
                    Departure::Late(t) => w.net[at].due = w.now + t * ROUND,
                    Departure::Last => {
                        let p = w.net.remove(at);
                        if w.net.iter().all(|x| x.due > w.now) {
                            return None;
                        }
                        w.net.push(p);
                    }
                    Departure::Twice(t) => {
                        let again = Packet { due: w.now + t * ROUND, ..w.net[at].clone() };
                        w.net.push(again);
                        let p = w.net.remove(at);
                        w.deliver(p);
                    }
                    Departure::CrashAmid(k) => {
                        let p = w.net.remove(at);
                        let to = p.to;
                        if !w.up(to) || w.nodes[to].frozen {
                            return None;
                        }
                        w.nodes[to].fuse = Some(k);
                        w.deliver(p);
                        if w.up(to) {
                            return None; // There are fewer effects.
                        }
                        w.start(to);
                    }
                    _ => {}
                }
            }
        }
        r.world.check();
        Some(r)
    }

    fn digest(&self, left: usize) -> u64 {
        let mut h = DefaultHasher::new();
        (self.world.digest(), self.round, self.under_way, &self.ends, left).hash(&mut h);
        h.finish()
    }

    /// The next message that is due.
    fn next(&self) -> Option<usize> {
        self.world.net.iter().position(|p| p.due <= self.world.now)
    }

    fn recover(&mut self) {
        let (now, later): (Vec<_>, Vec<_>) = self.ends.iter().partition(|(r, _)| *r <= self.round);
        self.ends = later;
        for (_, d) in now {
            let w = &mut self.world;
            match d {
                Departure::Crash(n, _) => w.start(n),
                Departure::Freeze(n, _) => w.thaw(n),
                Departure::Cut(n, _) => w.cut.retain(|(a, b)| *a != n && *b != n),
                Departure::CutLink(a, b, _) => {
                    w.cut.remove(&(a, b));
                }
                Departure::Leave(n) => {
                    w.crash(n);
                    w.start(n);
                }
                _ => {}
            }
        }
    }

    /// The calm next step: a message, or the next round.
    fn go_on(&mut self) {
        if let Some(at) = self.next() {
            let p = self.world.net.remove(at);
            self.world.deliver(p);
            self.world.check();
            return;
        }
        if !self.under_way {
            self.under_way = true;
            self.world.now += ROUND;
            self.recover();
            for n in 0..self.world.nodes.len() {
                self.world.step(n, control::Event::Tick, None);
                if self.world.duties {
                    self.world.duty(n);
                }
            }
            if let Some(n) = self.world.holder() {
                self.world.order(0, n);
                if self.round.is_multiple_of(2) {
                    self.world.order(1, n);
                }
            }
            self.world.check();
            return;
        }
        self.under_way = false;
        self.round += 1;
    }
}

impl Search {
    fn departures(&self, r: &Run) -> Vec<Departure> {
        if r.next().is_some() {
            let messages = |d: &Departure| matches!(d, Departure::Lose | Departure::Late(_) | Departure::CrashAmid(_));
            if !self.every && r.trace.iter().any(|(_, d)| messages(d)) {
                return Vec::new();
            }
            let crashes = (0..6).map(Departure::CrashAmid);
            let mut all = vec![Departure::Lose, Departure::Late(4)];
            if self.every {
                all.extend([Departure::Last, Departure::Late(1), Departure::Twice(4)]);
            }
            all.extend(crashes);
            return all;
        }
        if r.under_way {
            return Vec::new();
        }
        let nodes = r.world.nodes.len();
        let mut all = vec![Departure::CrashAll];
        for n in 0..nodes {
            use Departure::*;
            all.extend([Crash(n, 0), Crash(n, 5), Wipe(n), WipeAndCrashAll(n), Freeze(n, 4), Cut(n, 5)]);
            all.extend([StepDown(n), Leave(n), Snapshot(n)]);
            all.extend((0..nodes).filter(|o| *o != n).map(|o| CutLink(n, o, 5)));
        }
        all
    }

    /// All that begin with one departure from the calm run.
    fn firsts(&self, mut r: Run, left: usize) -> Vec<Run> {
        let mut all = Vec::new();
        if left == 0 {
            all.push(r);
            return all;
        }
        while r.round < self.rounds {
            for d in self.departures(&r) {
                if let Some(next) = r.depart(d) {
                    all.push(next);
                } else if matches!(d, Departure::CrashAmid(_)) {
                    break;
                }
            }
            r.go_on();
        }
        all
    }

    fn follow(&mut self, mut r: Run, left: usize) {
        let mut fresh = true;
        loop {
            if self.fault.is_some() || self.cut_short {
                return;
            }
            if r.world.fault.is_some() {
                self.fault = Some((r.world.fault.clone().unwrap_or_default(), r));
                return;
            }
            if r.round == self.rounds {
                break;
            }
            // Within a round, after the departure, nothing but its messages differs.
            if (fresh || !r.under_way) && !self.seen.insert(r.digest(left)) {
                return;
            }
            fresh = false;
            self.states += 1;
            if self.states >= self.limit {
                self.cut_short = true;
                return;
            }
            if left > 0 {
                for d in self.departures(&r) {
                    if let Some(next) = r.depart(d) {
                        self.follow(next, left - 1);
                    } else if matches!(d, Departure::CrashAmid(_)) {
                        break;
                    }
                }
            }
            r.go_on();
        }
        if left == 0 {
            self.runs += 1;
            r.world.settle();
            if r.world.fault.is_some() {
                self.fault = Some((r.world.fault.clone().unwrap_or_default(), r));
            }
        }
    }
}

fn number(name: &str, or: usize) -> usize {
    std::env::var(name).ok().and_then(|n| n.parse().ok()).unwrap_or(or)
}

/// Two threads share the first departures; each one's states are its own, so that
/// their number is the same in each run.
fn explore(name: &str, start: World, ends: &[(u64, Departure)], rounds: u64, departures: usize) {
    let rounds = number("CONTROL_ROUNDS", rounds as usize) as u64;
    let departures = number("CONTROL_DEPARTURES", departures);
    let limit = number("CONTROL_STATES", 3_000_000);
    let mut world = start;
    world.trace = None;
    world.latency.fill(0);
    // Replaced within what is looked at.
    world.away = 3 * ROUND;
    let start = Run { world, round: 0, under_way: false, ends: ends.to_vec(), trace: Vec::new() };
    let search = |every| Search {
        rounds,
        limit,
        every,
        seen: HashSet::new(),
        states: 0,
        runs: 0,
        cut_short: false,
        fault: None,
    };
    // Fewer departures first: what is found is the shortest.
    for (d, every) in [(0, true), (1, true)].into_iter().chain((2..=departures).map(|d| (d, departures > 2))) {
        let began = Instant::now();
        let (mut states, mut runs, mut cut_short, mut faults) = (0, 0, false, Vec::new());
        let first = search(every).firsts(start.clone(), d);
        let next = AtomicUsize::new(0);
        std::thread::scope(|scope| {
            let work = || {
                let mut s = search(every);
                while s.fault.is_none()
                    && !s.cut_short
                    && let Some(r) = first.get(next.fetch_add(1, Relaxed))
                {
                    s.seen.clear();
                    s.follow(r.clone(), d.saturating_sub(1));
                }
                s
            };
            for s in [scope.spawn(work), scope.spawn(work)] {
                let s = s.join().expect("a search that ends");
                states += s.states;
                runs += s.runs;
                cut_short |= s.cut_short;
                faults.extend(s.fault);
            }
        });
        println!(
            "{name}, {rounds} rounds, {d} departures{}: {states} states, {runs} runs to the end{}, in {:?}",
            if every { "" } else { ", one of a message at most" },
            if cut_short { ", cut short by the number of states" } else { "" },
            began.elapsed()
        );
        if let Some((why, run)) = faults.into_iter().min_by_key(|f| f.1.trace.len()) {
            panic!("{why}\n{:?}", run.trace);
        }
    }
}

fn calm(spare: usize) -> World {
    let mut w = World::new(3, spare);
    w.pass(1600);
    w
}

/// With a leader, and who else votes.
fn led(spare: usize) -> (World, usize, usize) {
    let mut w = calm(spare);
    let leader = w.holder().expect("a leader");
    let other = (0..3).find(|n| *n != leader).expect("another");
    w.order(0, leader);
    w.pass(200);
    (w, leader, other)
}

#[test]
fn three_voters() {
    explore("three voters", calm(0), &[], 6, 2);
}

#[test]
fn three_voters_and_a_spare() {
    explore("three voters and a spare", calm(1), &[], 4, 2);
}

#[test]
fn one_is_behind_a_log_that_was_cut() {
    let (mut w, leader, other) = led(0);
    w.crash(other);
    for _ in 0..3 {
        w.order(0, leader);
        w.pass(200);
    }
    w.snapshot(leader);
    w.start(other);
    explore("one behind a cut log", w, &[], 5, 2);
}

#[test]
fn one_has_lost_its_disk() {
    let (mut w, _, other) = led(0);
    w.wipe(other);
    w.start(other);
    explore("one without its disk", w, &[], 5, 2);
}

#[test]
fn an_old_leader_is_cut_off() {
    let (mut w, leader, _) = led(0);
    w.cut.extend((0..3).filter(|n| *n != leader).flat_map(|n| [(leader, n), (n, leader)]));
    // Held by nobody else.
    w.order(1, leader);
    w.pass(300);
    explore("an old leader cut off", w, &[(5, Departure::Cut(leader, 5))], 6, 2);
}

#[test]
fn one_does_not_hear_the_leader() {
    let (mut w, leader, other) = led(0);
    w.cut.insert((leader, other));
    w.pass(shell::TIMING.election + 40);
    explore("one that does not hear the leader", w, &[(4, Departure::CutLink(leader, other, 4))], 4, 2);
}

/// No small world has a message that ends with an older term's entry: the answer to
/// one is made by hand.
#[test]
fn an_older_terms_entry_is_not_committed_by_count() {
    use control::*;
    use rpc::messages::{RaftEntry, RaftMessage, RaftMessageKind};
    let voters: Vec<String> = ["a", "b", "c"].map(String::from).to_vec();
    let hard = HardState { term: 3, voters, may_vote: true, ..HardState::default() };
    let entry = |index, term| RaftEntry { index, term, ..RaftEntry::default() };
    let log = vec![entry(1, 1), entry(2, 2)];
    let mut v = RaftNode::new("a", hard, Default::default(), log, shell::TIMING, 1, shell::START);
    let mut now = shell::START;
    let mut led = false;
    while !led {
        now += 2 * shell::TIMING.election;
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
    assert_eq!(v.commit, 0, "another one may still be elected without it");
    v.step(now, Event::Message(own));
    assert_eq!(v.commit, 3);
}
