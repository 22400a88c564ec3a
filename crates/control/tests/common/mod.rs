//! Deterministic simulation of control nodes with their disks, links, clocks and operators.
//! It drives the real `RaftNode` and `ControlState` and checks the invariants at each step.

#![allow(dead_code)] // No test file uses all of it.

use bytes::Bytes;
use control::*;
use prost::Message;
use rpc::messages::{RaftEntry, RaftMessage};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};

/// Model of the code that drives the state machines in a control node (`turn`, `run` and
/// `put`). If their contract changes, only this module has to follow.
pub mod driver {
    use super::*;

    pub const QUIET_MS: u64 = 3600;
    pub const TIMING: Timing = Timing { heartbeat: QUIET_MS / 26, election: QUIET_MS / 9 };
    pub const TICK: u64 = QUIET_MS / 100;
    pub const DUTY_INTERVAL: u64 = QUIET_MS / 60;
    /// Time from the shutdown request to the end of the process.
    pub const SHUTDOWN_TIME: u64 = QUIET_MS / 16;
    pub const SETTLE: u64 = 4000;
    /// Silence after which a voter is replaced.
    pub const VOTER_TIMEOUT: u64 = SETTLE / 2;
    /// A leader steps down if a save takes longer than this.
    pub const SAVE_TIMEOUT: u64 = QUIET_MS / 32;
    /// Initial clock reading of each process.
    pub const CLOCK_START: u64 = 1_000_000;
    /// Whether the snapshot is taken before the effects of the current step are carried out.
    pub const SNAPSHOT_FIRST: bool = false;

    /// A shutdown request.
    pub fn leave() -> Event {
        Event::Leave
    }

    /// The disk does not respond: leadership is handed over.
    pub fn step_down() -> Event {
        Event::StepDown
    }

    /// An empty disk. `first` lists the voters at the first start of the cluster and is empty
    /// at any later start.
    pub fn empty_disk(first: &[String]) -> Disk {
        let hard = HardState { voters: first.to_vec(), may_vote: !first.is_empty(), ..HardState::default() };
        Disk { hard, ..Disk::default() }
    }

    pub fn start(me: &str, d: &Disk, seed: u64, started_at: u64) -> Process {
        let log = d.log.values().cloned().collect();
        let kept =
            StoredState::check(d.hard.clone(), d.state.clone(), log, false).expect("a disk that agrees with itself");
        let raft = RaftNode::new(me, kept.hard, kept.state, kept.log, TIMING, seed, CLOCK_START);
        Process {
            applied_index: d.hard.base,
            raft,
            control_state: kept.control_state,
            started_at,
            ..Process::empty(me)
        }
    }

    /// Whether a process may answer requests as the leader.
    pub fn has_lease(p: &Process, now: u64) -> bool {
        p.is_leader && now < p.serves_until
    }

    /// A save is atomic.
    pub fn save(d: &mut Disk, s: Save) {
        if let Some((a, b)) = s.del {
            d.log.retain(|i, _| *i < a || *i > b);
        }
        d.log.extend(s.put.into_iter().map(|e| (e.index, e)));
        d.hard = s.hard.unwrap_or_else(|| d.hard.clone());
        d.state = s.state.unwrap_or_else(|| d.state.clone());
    }
}
use driver::*;

#[derive(Clone, Default)]
pub struct Disk {
    pub hard: HardState,
    pub state: Bytes,
    pub log: BTreeMap<u64, RaftEntry>,
}

#[derive(Clone)]
pub struct Process {
    pub raft: RaftNode,
    pub control_state: ControlState,
    /// Index of the last entry applied to the control state.
    pub applied_index: u64,
    pub is_leader: bool,
    pub serves_until: u64,
    started_at: u64,
    tick_at: u64,
    duty_at: u64,
    exits_at: u64,
    pending: BTreeMap<u64, (u64, usize)>,
}

impl Process {
    fn empty(me: &str) -> Process {
        let raft = RaftNode::new(me, HardState::default(), Bytes::new(), Vec::new(), TIMING, 1, CLOCK_START);
        Process {
            raft,
            control_state: ControlState::default(),
            applied_index: 0,
            is_leader: false,
            serves_until: 0,
            started_at: 0,
            tick_at: 0,
            duty_at: 0,
            exits_at: u64::MAX,
            pending: BTreeMap::new(),
        }
    }
}

#[derive(Clone)]
pub struct Packet {
    pub to: usize,
    pub from: usize,
    pub due: u64,
    pub message: RaftMessage,
}

#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Response {
    Pending,
    Accepted,
    Rejected,
}

/// An operator's request to set the configuration, sent again unchanged until it is answered.
#[derive(Clone, Debug)]
pub struct Request {
    pub operator: usize,
    pub base: u64,
    pub revision: u64,
    /// Distinguishes two configurations with the same revision.
    pub body: u64,
    /// Identity of the request, the same at each node.
    pub digest: Bytes,
    pub response: Response,
}

#[derive(Clone)]
pub struct Node {
    pub name: String,
    pub disk: Disk,
    pub proc: Option<Process>,
    pub frozen: bool,
    /// Messages received while the process was frozen.
    inbox: VecDeque<RaftMessage>,
    /// Remaining effects of the current step while the disk does not respond.
    pending_effects: VecDeque<Effect>,
    stalled_at: u64,
    /// The disk stops responding before the next save.
    pub disk_stalled: bool,
    /// Number of effects to carry out before the process crashes.
    pub effects_until_crash: Option<u32>,
    pub wiped_at: Option<u64>,
    /// Clock rate, in thousandths of simulated time.
    pub clock_rate: u64,
    /// Largest delay of its timers, in milliseconds.
    pub max_timer_delay: u64,
    incarnations: u64,
    /// Hash of all inputs, which determine the state of the node.
    input_hash: u64,
}

/// Event counts, which show that a passing search exercised the system.
#[derive(Clone, Copy, Default, Debug)]
pub struct Stats {
    pub elections: u64,
    pub accepted: u64,
    pub rejected: u64,
    pub crashes: u64,
    pub wipes: u64,
    pub restores: u64,
    pub voter_changes: u64,
}

impl Stats {
    pub fn add(&mut self, o: &Stats) {
        self.elections += o.elections;
        self.accepted += o.accepted;
        self.rejected += o.rejected;
        self.crashes += o.crashes;
        self.wipes += o.wipes;
        self.restores += o.restores;
        self.voter_changes += o.voter_changes;
    }
}

#[derive(Clone)]
pub struct Simulation {
    pub now: u64,
    pub nodes: Vec<Node>,
    pub in_flight: Vec<Packet>,
    /// Recently delivered messages, which can be delivered again.
    pub delivered: VecDeque<Packet>,
    /// Directed links that lose all messages.
    pub cut_links: BTreeSet<(usize, usize)>,
    /// Additional delay of the next message on a link.
    pub extra_delay: BTreeMap<(usize, usize), u64>,
    pub latency: Vec<u64>,
    /// If set, each message is delivered a second time after this additional delay.
    pub duplicate_after: Option<u64>,
    pub requests: Vec<Request>,
    pub target_voters: usize,
    pub tolerated_losses: usize,
    pub duties_enabled: bool,
    /// Silence after which a voter is replaced.
    pub voter_timeout: u64,
    /// The log is compacted if it is longer than this.
    pub max_log_len: usize,
    pub stats: Stats,
    /// The first violated invariant.
    pub violation: Option<String>,
    /// Trace of the run; recorded unless it is None.
    pub trace: Option<Vec<String>>,
    leader_by_term: BTreeMap<u64, usize>,
    /// Committed entries by index, as applied by the first node.
    committed: BTreeMap<u64, RaftEntry>,
    /// The control state after each index.
    states_by_index: BTreeMap<u64, ControlState>,
    rng_state: u64,
}

impl Simulation {
    /// A cluster of `voters` initial voters and `spare` further control nodes.
    pub fn new(voters: usize, spare: usize) -> Simulation {
        let names: Vec<String> = (0..voters + spare).map(|i| ((b'a' + i as u8) as char).to_string()).collect();
        let node = |i: usize| Node {
            name: names[i].clone(),
            disk: empty_disk(if i < voters { &names[..voters] } else { &[] }),
            proc: None,
            frozen: false,
            inbox: VecDeque::new(),
            pending_effects: VecDeque::new(),
            stalled_at: 0,
            disk_stalled: false,
            effects_until_crash: None,
            wiped_at: None,
            clock_rate: 1000,
            max_timer_delay: 0,
            incarnations: 0,
            input_hash: 0,
        };
        let mut w = Simulation {
            now: 10_000,
            nodes: (0..voters + spare).map(node).collect(),
            in_flight: Vec::new(),
            delivered: VecDeque::new(),
            cut_links: BTreeSet::new(),
            extra_delay: BTreeMap::new(),
            latency: vec![4; (voters + spare) * (voters + spare)],
            duplicate_after: None,
            requests: Vec::new(),
            target_voters: voters,
            tolerated_losses: voters / 2,
            duties_enabled: true,
            voter_timeout: VOTER_TIMEOUT,
            max_log_len: usize::MAX,
            stats: Stats::default(),
            violation: None,
            trace: None,
            leader_by_term: BTreeMap::new(),
            committed: BTreeMap::new(),
            states_by_index: BTreeMap::from([(0, ControlState::default())]),
            rng_state: 88172645463325252,
        };
        for i in 0..w.nodes.len() {
            w.start(i);
        }
        w
    }

    fn record(&mut self, text: impl FnOnce(&Simulation) -> String) {
        if self.trace.is_some() {
            let t = text(self);
            let now = self.now;
            if let Some(all) = &mut self.trace {
                all.push(format!("{now:>6} {t}"));
            }
        }
    }

    pub fn fail(&mut self, why: String) {
        self.record(|_| format!("VIOLATION {why}"));
        self.violation.get_or_insert(why);
    }

    fn random(&mut self, below: u64) -> u64 {
        self.rng_state ^= self.rng_state << 13;
        self.rng_state ^= self.rng_state >> 7;
        self.rng_state ^= self.rng_state << 17;
        self.rng_state % below.max(1)
    }

    pub fn clock(&self, n: usize) -> u64 {
        let node = &self.nodes[n];
        node.proc.as_ref().map_or(0, |p| CLOCK_START + (self.now - p.started_at) * node.clock_rate / 1000)
    }

    pub fn is_up(&self, n: usize) -> bool {
        self.nodes[n].proc.is_some()
    }

    fn is_running(&self, n: usize) -> bool {
        let node = &self.nodes[n];
        node.proc.is_some() && !node.frozen && node.pending_effects.is_empty()
    }

    pub fn start(&mut self, n: usize) {
        if self.is_up(n) {
            return;
        }
        let now = self.now;
        let node = &mut self.nodes[n];
        node.incarnations += 1;
        let seed = (n as u64 + 1) * 7919 + node.incarnations * 104_729;
        let mut p = driver::start(&node.name, &node.disk, seed, now);
        (p.tick_at, p.duty_at) = (now, now);
        node.proc = Some(p);
        (node.frozen, node.disk_stalled, node.effects_until_crash) = (false, false, None);
        if let Some(at) = &mut node.wiped_at {
            *at = now;
        }
        self.hash_input(n, |h| (now, "start").hash(h));
        let node = &self.nodes[n];
        let (applied_index, hard) = (node.disk.hard.base, node.disk.hard.clone());
        self.record(|w| format!("start {} {hard:?}", w.nodes[n].name));
        self.check_state(n, applied_index, "read from its disk");
    }

    /// Process crash or power loss: the disk keeps what was saved.
    pub fn crash(&mut self, n: usize) {
        if self.is_up(n) {
            self.record(|w| format!("crash {}", w.nodes[n].name));
            self.stats.crashes += 1;
            self.hash_input(n, |h| "crash".hash(h));
        }
        let node = &mut self.nodes[n];
        node.proc = None;
        node.inbox.clear();
        node.pending_effects.clear();
        (node.frozen, node.disk_stalled, node.effects_until_crash) = (false, false, None);
    }

    /// Number of nodes that lost their disk and have not recovered yet.
    fn unrecovered(&self) -> usize {
        let recently_wiped = |n: &Node| n.wiped_at.is_some_and(|at| n.proc.is_none() || at + SETTLE > self.now);
        self.nodes.iter().filter(|n| recently_wiped(n) || (n.wiped_at.is_some() && !n.disk.hard.may_vote)).count()
    }

    /// Crashes a node and empties its disk, unless that exceeds the tolerated losses.
    pub fn wipe(&mut self, n: usize) -> bool {
        let again = self.nodes[n].wiped_at.is_some() && !self.nodes[n].disk.hard.may_vote;
        if !again && self.unrecovered() >= self.tolerated_losses {
            return false;
        }
        self.crash(n);
        self.record(|w| format!("wipe {}", w.nodes[n].name));
        self.stats.wipes += 1;
        self.hash_input(n, |h| "wipe".hash(h));
        self.nodes[n].disk = empty_disk(&[]);
        self.nodes[n].wiped_at = Some(self.now);
        true
    }

    pub fn freeze(&mut self, n: usize) {
        if self.is_up(n) && !self.nodes[n].frozen {
            self.nodes[n].frozen = true;
            self.record(|w| format!("freeze {}", w.nodes[n].name));
        }
    }

    /// Resumes a frozen process or a stalled disk.
    pub fn resume(&mut self, n: usize) {
        if !self.is_up(n) {
            return;
        }
        self.record(|w| format!("resume {}", w.nodes[n].name));
        self.nodes[n].frozen = false;
        self.nodes[n].disk_stalled = false;
        let effects = std::mem::take(&mut self.nodes[n].pending_effects);
        self.carry_out(n, effects);
        while self.is_running(n)
            && let Some(m) = self.nodes[n].inbox.pop_front()
        {
            self.step(n, Event::Message(m), None);
        }
    }

    fn hash_input(&mut self, n: usize, what: impl FnOnce(&mut DefaultHasher)) {
        let mut h = DefaultHasher::new();
        self.nodes[n].input_hash.hash(&mut h);
        what(&mut h);
        self.nodes[n].input_hash = h.finish();
    }

    /// Two simulations with equal digests behave alike: their nodes had the same inputs in
    /// the same order, and the same messages are in flight.
    pub fn digest(&self) -> u64 {
        let mut h = DefaultHasher::new();
        self.now.hash(&mut h);
        for n in &self.nodes {
            let flags = (
                n.frozen,
                n.disk_stalled,
                n.effects_until_crash,
                n.proc.is_some(),
                n.pending_effects.len(),
                n.wiped_at,
            );
            (n.input_hash, flags).hash(&mut h);
            n.inbox.iter().for_each(|m| m.encode_to_vec().hash(&mut h));
        }
        self.cut_links.hash(&mut h);
        for c in &self.requests {
            (c.operator, c.base, c.revision, c.response as u8).hash(&mut h);
        }
        for p in &self.in_flight {
            (p.to, p.from, p.due, p.message.encode_to_vec()).hash(&mut h);
        }
        h.finish()
    }

    /// Steps a leader down whose save takes too long, as the control node does.
    fn check_save_timeout(&mut self, n: usize) {
        let now = self.clock(n);
        let node = &self.nodes[n];
        let timed_out =
            !node.frozen && !node.pending_effects.is_empty() && self.now >= self.nodes[n].stalled_at + SAVE_TIMEOUT;
        let Some(p) = &mut self.nodes[n].proc else { return };
        if !timed_out || p.raft.role != StateRole::Leader || p.raft.voters().len() == 1 {
            return;
        }
        self.hash_input(n, |h| (now, "save timeout").hash(h));
        let Some(p) = &mut self.nodes[n].proc else { return };
        (p.is_leader, p.serves_until) = (false, 0);
        p.pending.clear();
        for e in p.raft.step(now, driver::step_down()) {
            if let Effect::Send(to, m) = e {
                self.send(n, &to, m);
            }
        }
    }

    pub fn step(&mut self, n: usize, event: Event, request: Option<usize>) {
        if !self.is_running(n) {
            return;
        }
        let now = self.clock(n);
        self.hash_input(n, |h| {
            now.hash(h);
            hash_event(&event, h);
        });
        let Some(p) = &mut self.nodes[n].proc else { return };
        let mut effects: VecDeque<Effect> = p.raft.step(now, event).into();
        if let Some(c) = request
            && let Some(Effect::Proposed(index, term)) = effects.iter().find(|e| matches!(e, Effect::Proposed(..)))
        {
            p.pending.insert(*index, (*term, c));
        }
        if SNAPSHOT_FIRST && p.raft.log_len() > self.max_log_len {
            let (index, state) = (p.raft.applied(), p.control_state.encode_to_vec());
            effects.extend(p.raft.step(now, Event::Snapshot { index, state: state.into() }));
        }
        self.carry_out(n, effects);
        if !SNAPSHOT_FIRST && self.nodes[n].proc.as_ref().is_some_and(|p| p.raft.log_len() > self.max_log_len) {
            self.snapshot(n);
        }
    }

    /// Carries out effects in order; a crash can occur between any two.
    fn carry_out(&mut self, n: usize, mut effects: VecDeque<Effect>) {
        while let Some(e) = effects.pop_front() {
            if let Some(effects_until_crash) = &mut self.nodes[n].effects_until_crash {
                if *effects_until_crash == 0 {
                    self.crash(n);
                    return;
                }
                *effects_until_crash -= 1;
            }
            if self.nodes[n].disk_stalled && matches!(e, Effect::Save(_)) {
                effects.push_front(e);
                self.nodes[n].stalled_at = self.now;
                self.nodes[n].pending_effects = effects;
                self.record(|w| format!("the disk of {} does not respond", w.nodes[n].name));
                return;
            }
            self.carry_out_one(n, e);
        }
        let now = self.clock(n);
        if let Some(p) = &mut self.nodes[n].proc {
            p.serves_until = p.raft.serves_until(now);
        }
    }

    fn carry_out_one(&mut self, n: usize, e: Effect) {
        match e {
            Effect::Save(s) => {
                if s.hard.is_some() || s.del.is_some() {
                    self.record(|w| format!("{} saves {:?} del {:?}", w.nodes[n].name, s.hard, s.del));
                }
                driver::save(&mut self.nodes[n].disk, s);
            }
            Effect::Send(to, m) => self.send(n, &to, m),
            Effect::Apply(e) => self.apply(n, e),
            Effect::Restore(s) => {
                let applied_index = self.nodes[n].proc.as_ref().map_or(0, |p| p.raft.applied());
                // Later entries of the same step are applied one by one.
                let control_state = ControlState::decode(s).unwrap_or_default();
                let at = self
                    .states_by_index
                    .iter()
                    .rev()
                    .find(|(i, r)| **i <= applied_index && **r == control_state)
                    .map(|(i, _)| *i);
                self.stats.restores += 1;
                self.record(|w| format!("{} restores the state as of {at:?}", w.nodes[n].name));
                if let Some(p) = &mut self.nodes[n].proc {
                    p.control_state = control_state;
                    p.applied_index = at.unwrap_or(0);
                }
                if at.is_none() {
                    self.fail(format!("{} was sent a state that no entry produced", self.nodes[n].name));
                }
            }
            Effect::Proposed(..) => {}
            Effect::BecameLeader => {
                if let Some(p) = &mut self.nodes[n].proc {
                    p.is_leader = true;
                    self.stats.elections += 1;
                    let term = p.raft.hard.term;
                    self.record(|w| format!("{} becomes leader at term {term}", w.nodes[n].name));
                    let first = *self.leader_by_term.entry(term).or_insert(n);
                    if first != n {
                        self.fail(format!("two leaders at term {term}"));
                    }
                }
            }
            Effect::SteppedDown => {
                self.record(|w| format!("{} steps down", w.nodes[n].name));
                if let Some(p) = &mut self.nodes[n].proc {
                    p.is_leader = false;
                    p.pending.clear();
                }
            }
        }
    }

    fn send(&mut self, n: usize, to: &str, m: RaftMessage) {
        assert!(m.encoded_len() < rpc::FRAME_LIMIT, "{} bytes in one message", m.encoded_len());
        let Some(to) = self.nodes.iter().position(|x| x.name == to) else { return };
        let lost = self.cut_links.contains(&(n, to));
        let delay = self.extra_delay.remove(&(n, to)).unwrap_or(0);
        self.record(|w| {
            let how = if lost {
                " (lost)".into()
            } else if delay > 0 {
                format!(" (delayed by {delay} ms)")
            } else {
                String::new()
            };
            format!("{} to {}: {}{how}", w.nodes[n].name, w.nodes[to].name, describe_message(&m))
        });
        if !lost {
            let due = self.now + self.latency[n * self.nodes.len() + to] + delay;
            if let Some(later) = self.duplicate_after {
                self.in_flight.push(Packet { to, from: n, due: due + later, message: m.clone() });
            }
            self.in_flight.push(Packet { to, from: n, due, message: m });
        }
    }

    fn apply(&mut self, n: usize, e: RaftEntry) {
        let Some(p) = &mut self.nodes[n].proc else { return };
        let applied = p.control_state.apply(e.index, &e.data);
        let gap = e.index != p.applied_index + 1;
        p.applied_index = e.index;
        let request = p.pending.remove(&e.index).filter(|(term, _)| *term == e.term).map(|(_, c)| c);
        if gap {
            self.fail(format!("{} applies entry {} out of order", self.nodes[n].name, e.index));
        }
        let first = self.committed.entry(e.index).or_insert_with(|| e.clone()).clone();
        if first != e {
            self.fail(format!(
                "{} applies an entry {} that differs from the committed one",
                self.nodes[n].name, e.index
            ));
        }
        let control_state = self.nodes[n].proc.as_ref().map(|p| p.control_state.clone()).unwrap_or_default();
        if !self.states_by_index.contains_key(&e.index) {
            if let Some(request) = self.find_request(&e)
                && applied == ApplyResult::Done
                && self.requests[request].response == Response::Rejected
            {
                self.fail(format!("{:?} was rejected and then applied", self.requests[request]));
            }
            self.states_by_index.insert(e.index, control_state);
        }
        self.check_state(n, e.index, "applied");
        if !e.voters.is_empty() {
            let before =
                self.committed.range(..e.index).rev().find(|x| !x.1.voters.is_empty()).map(|x| x.1.voters.clone());
            if let Some(b) = before
                && !majorities_intersect(&b, &e.voters)
            {
                self.fail(format!("majorities of the voters {b:?} and {:?} do not intersect", e.voters));
            }
        }
        if let Some(c) = request {
            let already_applied =
                self.nodes[n].proc.as_ref().is_some_and(|p| has_applied(&p.control_state, &self.requests[c]));
            self.respond(
                c,
                if applied == ApplyResult::Done || already_applied { Response::Accepted } else { Response::Rejected },
            );
        }
    }

    /// A node's control state must equal the one that results from the committed entries.
    fn check_state(&mut self, n: usize, index: u64, how: &str) {
        let Some(p) = &self.nodes[n].proc else { return };
        if self.states_by_index.get(&index) != Some(&p.control_state) {
            self.fail(format!(
                "the state of {} as of entry {index}, {how}, differs from the committed entries",
                self.nodes[n].name
            ));
        }
    }

    fn find_request(&self, e: &RaftEntry) -> Option<usize> {
        let Some(CommandPayload::Configuration(t)) = Command::decode(e.data.clone()).ok()?.payload else { return None };
        self.requests.iter().position(|c| c.digest == t.digest)
    }

    fn respond(&mut self, request: usize, response: Response) {
        self.record(|w| format!("{:?}: response {response:?}", w.requests[request]));
        self.stats.accepted += u64::from(response == Response::Accepted);
        self.stats.rejected += u64::from(response == Response::Rejected);
        let applied =
            self.states_by_index.values().next_back().is_some_and(|r| has_applied(r, &self.requests[request]));
        match response {
            Response::Rejected if self.requests[request].response == Response::Accepted || applied => {
                self.fail(format!("{:?} was accepted and is now rejected", self.requests[request]));
            }
            Response::Accepted => {
                let base = self.requests[request].base;
                let same_base =
                    |(i, c): (usize, &Request)| i != request && c.base == base && c.response == Response::Accepted;
                if self.requests.iter().enumerate().any(same_base) {
                    self.fail(format!("two requests were accepted on base {base}"));
                }
            }
            _ => {}
        }
        self.requests[request].response = response;
    }

    pub fn has_lease(&self, n: usize) -> bool {
        self.nodes[n].proc.as_ref().is_some_and(|p| driver::has_lease(p, self.clock(n)))
    }

    pub fn lease_holder(&self) -> Option<usize> {
        (0..self.nodes.len()).find(|n| self.has_lease(*n))
    }

    /// An operator repeats its unanswered request, or sends a new one based on the node's
    /// current revision.
    pub fn send_request(&mut self, operator: usize, n: usize) {
        if !self.has_lease(n) || self.nodes[n].frozen {
            return;
        }
        let unanswered = self.requests.iter().position(|c| c.operator == operator && c.response == Response::Pending);
        let request = unanswered.unwrap_or_else(|| {
            let base = self.nodes[n].proc.as_ref().map_or(0, |p| p.control_state.revision);
            let body = self.requests.len() as u64 + 1;
            // Two operators may choose the same revision for different configurations.
            let revision = base + 1;
            let digest = control::digest("replace", "", base, revision, format!("{body}").as_bytes());
            self.requests.push(Request { operator, base, revision, body, digest, response: Response::Pending });
            self.requests.len() - 1
        });
        self.put(request, n);
    }

    /// Models `put` of the operator API.
    pub fn put(&mut self, request: usize, n: usize) {
        if !self.has_lease(n) || self.nodes[n].frozen {
            return;
        }
        let c = self.requests[request].clone();
        self.record(|w| format!("{c:?} reaches {}", w.nodes[n].name));
        let Some(p) = &self.nodes[n].proc else { return };
        if has_applied(&p.control_state, &c) {
            return self.respond(request, Response::Accepted);
        }
        if c.base != p.control_state.revision {
            return self.respond(request, Response::Rejected);
        }
        let json = Bytes::from(format!("{}", c.body));
        let t = PutConfiguration {
            base: c.base,
            revision: c.revision,
            json,
            digest: c.digest.clone(),
            change: Bytes::new(),
        };
        let data = Command { payload: Some(CommandPayload::Configuration(t)), at_ms: 0 }.encode_to_vec();
        self.step(n, Event::Propose(data.into()), Some(request));
    }

    /// Takes a snapshot as of the last applied entry. No effects of an earlier step are
    /// pending then.
    pub fn snapshot(&mut self, n: usize) {
        if !self.is_running(n) {
            return;
        }
        let now = self.clock(n);
        self.hash_input(n, |h| (now, "snapshot").hash(h));
        let Some(p) = &mut self.nodes[n].proc else { return };
        let (index, state) = (p.applied_index, p.control_state.encode_to_vec());
        let effects = p.raft.step(now, Event::Snapshot { index, state: state.into() });
        if !effects.is_empty() {
            self.record(|w| format!("{} compacts its log at {index}", w.nodes[n].name));
            self.carry_out(n, effects.into());
        }
    }

    pub fn leave(&mut self, n: usize) {
        if self.is_running(n) {
            self.record(|w| format!("{} is asked to shut down", w.nodes[n].name));
            self.step(n, driver::leave(), None);
            let at = self.now + SHUTDOWN_TIME;
            if let Some(p) = &mut self.nodes[n].proc {
                p.exits_at = at;
            }
        }
    }

    /// Periodic work of the leader: membership changes and the list of control nodes.
    pub fn run_duties(&mut self, n: usize) {
        if !self.has_lease(n) {
            return;
        }
        let now = self.clock(n);
        let reachable =
            |i: &usize| self.is_running(*i) && !self.cut_links.contains(&(*i, n)) && !self.cut_links.contains(&(n, *i));
        let all: Vec<String> = (0..self.nodes.len()).filter(reachable).map(|i| self.nodes[i].name.clone()).collect();
        let zones: Vec<(String, String)> = all.iter().map(|n| (n.clone(), format!("zone-{n}"))).collect();
        let next = self.nodes[n]
            .proc
            .as_ref()
            .and_then(|p| p.raft.next_voters(&zones, self.target_voters, self.voter_timeout, now));
        match next {
            Some(v) => {
                self.stats.voter_changes += 1;
                self.record(|w| format!("{} sets the voters {v:?}", w.nodes[n].name));
                self.step(n, Event::SetVoters(v), None);
            }
            None => self.step(n, Event::ControlNodes(all), None),
        }
    }

    pub fn deliver(&mut self, p: Packet) {
        let to = p.to;
        if !self.is_up(to) || self.violation.is_some() {
            return;
        }
        self.delivered.push_back(p.clone());
        if self.delivered.len() > 64 {
            self.delivered.pop_front();
        }
        if self.is_running(to) {
            self.step(to, Event::Message(p.message), None);
        } else {
            self.nodes[to].inbox.push_back(p.message);
        }
    }

    /// Advances simulated time, with ticks and messages as they are due.
    pub fn run_for(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end && self.violation.is_none() {
            self.now += 4;
            for n in 0..self.nodes.len() {
                if self.nodes[n].proc.as_ref().is_some_and(|p| self.now >= p.exits_at) {
                    self.crash(n);
                }
                self.check_save_timeout(n);
                if !self.is_running(n) {
                    continue;
                }
                let max_delay = self.nodes[n].max_timer_delay;
                if self.nodes[n].proc.as_ref().is_some_and(|p| self.now >= p.tick_at) {
                    let at = self.now + TICK + self.random(max_delay + 1);
                    if let Some(p) = &mut self.nodes[n].proc {
                        p.tick_at = at;
                    }
                    self.step(n, Event::Tick, None);
                }
                if self.duties_enabled && self.nodes[n].proc.as_ref().is_some_and(|p| self.now >= p.duty_at) {
                    if let Some(p) = &mut self.nodes[n].proc {
                        p.duty_at = self.now + DUTY_INTERVAL;
                    }
                    self.run_duties(n);
                }
            }
            let mut due: Vec<Packet> = Vec::new();
            let now = self.now;
            self.in_flight.retain(|p| {
                if p.due <= now {
                    due.push(p.clone());
                }
                p.due > now
            });
            due.sort_by_key(|p| p.due);
            for p in due {
                self.deliver(p);
            }
            self.check();
        }
    }

    /// Checks the invariants that hold at each step.
    pub fn check(&mut self) {
        self.check_commit_is_replicated();
        let holders: Vec<usize> = (0..self.nodes.len()).filter(|n| self.has_lease(*n)).collect();
        if holders.len() > 1 {
            let names: Vec<&str> = holders.iter().map(|n| self.nodes[*n].name.as_str()).collect();
            self.fail(format!("{names:?} hold valid leases at the same time"));
        }
        for n in holders {
            let Some(p) = &self.nodes[n].proc else { continue };
            let lacks = self
                .requests
                .iter()
                .find(|c| c.response == Response::Accepted && !has_applied(&p.control_state, c))
                .cloned();
            let newest = self
                .requests
                .iter()
                .filter(|c| c.response == Response::Accepted)
                .map(|c| c.revision)
                .max()
                .unwrap_or(0);
            let (read, voters) = (p.control_state.revision, p.raft.voters().to_vec());
            if let Some(c) = lacks {
                self.fail(format!("{} holds a valid lease and lacks {c:?}", self.nodes[n].name));
            }
            if read < newest {
                self.fail(format!("{} reads revision {read} after {newest} was acknowledged", self.nodes[n].name));
            }
            let committed_voters =
                self.committed.values().rev().find(|e| !e.voters.is_empty()).map(|e| e.voters.clone());
            if let Some(t) = committed_voters
                && !majorities_intersect(&t, &voters)
            {
                self.fail(format!("{} uses the voters {voters:?} while {t:?} are committed", self.nodes[n].name));
            }
        }
    }

    /// Checks that the voters that lack the newest committed entry on their disks and may vote
    /// are not a majority, as they could elect a leader without it.
    fn check_commit_is_replicated(&mut self) {
        let Some((index, entry)) = self.committed.last_key_value() else { return };
        let Some(voters) = self.committed.values().rev().find(|e| !e.voters.is_empty()).map(|e| &e.voters) else {
            return;
        };
        let has_entry = |d: &Disk| d.hard.base >= *index || d.log.get(index).is_some_and(|e| e.term == entry.term);
        let lacks = |n: &&Node| voters.contains(&n.name) && n.disk.hard.may_vote && !has_entry(&n.disk);
        let lacking: Vec<&str> = self.nodes.iter().filter(lacks).map(|n| n.name.as_str()).collect();
        if lacking.len() > voters.len() / 2 {
            let why = format!("{lacking:?} lack the committed entry {index} and could elect a leader");
            self.fail(why);
        }
    }

    /// Ends all faults, and checks that within a bounded time there is a leader and all nodes
    /// have caught up.
    pub fn check_recovery(&mut self) {
        if self.violation.is_some() {
            return;
        }
        self.record(|_| "end of all faults".into());
        self.cut_links.clear();
        self.extra_delay.clear();
        for n in 0..self.nodes.len() {
            self.nodes[n].effects_until_crash = None;
            self.resume(n);
            if let Some(p) = &mut self.nodes[n].proc {
                // Processes that were shutting down have ended by then and are started again.
                if p.exits_at < u64::MAX {
                    self.crash(n);
                }
            }
            self.start(n);
        }
        let end = self.now + 5 * SETTLE;
        let mut why = Err(String::new());
        while self.now < end && self.violation.is_none() {
            why = self.check_caught_up();
            if why.is_ok() {
                return;
            }
            self.run_for(200);
        }
        if let Err(why) = why {
            self.fail(format!("no recovery within {} ms of the last fault: {why}", 5 * SETTLE));
        }
    }

    pub fn check_caught_up(&self) -> Result<(), String> {
        let l = self.lease_holder().ok_or("there is no leader")?;
        let Some(lead) = &self.nodes[l].proc else { return Err("the leader is down".into()) };
        if lead.raft.voters().len() != self.target_voters {
            return Err(format!("there are {} voters", lead.raft.voters().len()));
        }
        for n in &self.nodes {
            let Some(p) = &n.proc else { return Err(format!("{} is down", n.name)) };
            if p.control_state != lead.control_state {
                return Err(format!("{} has not caught up", n.name));
            }
            if lead.raft.voters().contains(&n.name) && !n.disk.hard.may_vote {
                return Err(format!("{} is not readmitted as a voter", n.name));
            }
        }
        Ok(())
    }
}

fn hash_event(e: &Event, h: &mut DefaultHasher) {
    match e {
        Event::Tick => "tick".hash(h),
        Event::Message(m) => m.encode_to_vec().hash(h),
        Event::Propose(d) => ("propose", d).hash(h),
        Event::ControlNodes(f) => ("control nodes", f).hash(h),
        Event::SetVoters(v) => ("voters", v).hash(h),
        Event::Snapshot { index, .. } => ("snapshot", index).hash(h),
        _ => "step down or leave".hash(h),
    }
}

pub fn has_applied(r: &ControlState, c: &Request) -> bool {
    r.knows_configuration(&c.digest)
}

/// Whether every majority of one set intersects every majority of the other.
pub fn majorities_intersect(a: &[String], b: &[String]) -> bool {
    let all: BTreeSet<&String> = a.iter().chain(b).collect();
    (a.len() / 2 + 1) + (b.len() / 2 + 1) > all.len()
}

fn describe_message(m: &RaftMessage) -> String {
    let kind = rpc::messages::RaftMessageKind::try_from(m.kind).unwrap_or(rpc::messages::RaftMessageKind::None);
    let entries: Vec<u64> = m.entries.iter().map(|e| e.index).collect();
    format!(
        "{kind:?} term {} index {} log_term {} entries {entries:?} commit {} ok {} pre {} readmit {} round {}",
        m.term, m.index, m.log_term, m.commit, m.ok, m.pre_vote, m.readmit, m.round
    )
}
