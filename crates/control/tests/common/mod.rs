//! Control nodes, their disks, links, clocks and operators in a test's hands, and what must
//! hold at each step. The real `RaftNode` and `ControlState` are driven.

#![allow(dead_code)] // Each test file takes its part.

use bytes::Bytes;
use control::*;
use prost::Message;
use rpc::messages::{RaftEntry, RaftMessage};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};

/// What the shell (`turn`, `run` and `put`) does around the state machines. A change
/// of their contract is followed here and nowhere else.
pub mod shell {
    use super::*;

    pub const QUIET: u64 = 3600;
    pub const TIMING: Timing = Timing { heartbeat: QUIET / 26, election: QUIET / 9 };
    pub const TICK: u64 = QUIET / 100;
    pub const DUTY: u64 = QUIET / 60;
    /// From being told to end to the end.
    pub const LEAVING: u64 = QUIET / 16;
    pub const SETTLE: u64 = 4000;
    /// Silence after which a voter is replaced.
    pub const AWAY: u64 = SETTLE / 2;
    /// A disk that takes longer than this is a reason to step down.
    pub const PATIENCE: u64 = QUIET / 32;
    /// A process's clock starts here.
    pub const START: u64 = 1_000_000;
    /// Whether the snapshot is taken before the step's own effects are carried out.
    pub const SNAPSHOT_FIRST: bool = false;

    /// A process is told to end.
    pub fn leave() -> Event {
        Event::Leave
    }

    /// The disk does not answer: another one leads.
    pub fn step_down() -> Event {
        Event::StepDown
    }

    /// A disk as it is made at the first start of all, and at any later one.
    pub fn empty_disk(first: &[String]) -> Disk {
        let hard = HardState { voters: first.to_vec(), may_vote: !first.is_empty(), ..HardState::default() };
        Disk { hard, ..Disk::default() }
    }

    pub fn start(me: &str, d: &Disk, seed: u64, born: u64) -> Proc {
        let log = d.log.values().cloned().collect();
        let kept =
            StoredState::check(d.hard.clone(), d.state.clone(), log, false).expect("a disk that agrees with itself");
        let raft = RaftNode::new(me, kept.hard, kept.state, kept.log, TIMING, seed, START);
        Proc { through: d.hard.base, raft, control_state: kept.control_state, born, ..Proc::blank(me) }
    }

    /// Whether a process may answer for the majority.
    pub fn holds(p: &Proc, now: u64) -> bool {
        p.is_leader && now < p.serves_until
    }

    /// The batch of a save is whole or not at all.
    pub fn save(d: &mut Disk, s: Save) {
        if let Some((a, b)) = s.del {
            d.log.retain(|i, _| *i < a || *i > b);
        }
        d.log.extend(s.put.into_iter().map(|e| (e.index, e)));
        d.hard = s.hard.unwrap_or_else(|| d.hard.clone());
        d.state = s.state.unwrap_or_else(|| d.state.clone());
    }
}
use shell::*;

#[derive(Clone, Default)]
pub struct Disk {
    pub hard: HardState,
    pub state: Bytes,
    pub log: BTreeMap<u64, RaftEntry>,
}

#[derive(Clone)]
pub struct Proc {
    pub raft: RaftNode,
    pub control_state: ControlState,
    /// The entry that the control state was applied through.
    pub through: u64,
    pub is_leader: bool,
    pub serves_until: u64,
    born: u64,
    tick_at: u64,
    duty_at: u64,
    ends_at: u64,
    waiting: BTreeMap<u64, (u64, usize)>,
}

impl Proc {
    fn blank(me: &str) -> Proc {
        let raft = RaftNode::new(me, HardState::default(), Bytes::new(), Vec::new(), TIMING, 1, START);
        Proc {
            raft,
            control_state: ControlState::default(),
            through: 0,
            is_leader: false,
            serves_until: 0,
            born: 0,
            tick_at: 0,
            duty_at: 0,
            ends_at: u64::MAX,
            waiting: BTreeMap::new(),
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
pub enum Answer {
    None,
    KnownOrder,
    Refused,
}

/// An operator's configuration, sent again unchanged until it is answered.
#[derive(Clone, Debug)]
pub struct Call {
    pub operator: usize,
    pub base: u64,
    pub revision: u64,
    /// Tells two bodies under one number apart.
    pub body: u64,
    /// Which order it is, whoever is told of it.
    pub digest: Bytes,
    pub answer: Answer,
}

#[derive(Clone)]
pub struct Node {
    pub name: String,
    pub disk: Disk,
    pub proc: Option<Proc>,
    pub frozen: bool,
    /// What came while it was frozen.
    inbox: VecDeque<RaftMessage>,
    /// Effects of the step under way, while the disk does not answer.
    held: VecDeque<Effect2>,
    held_at: u64,
    /// Its disk stops before the next save.
    pub stalls: bool,
    /// Ends before this many more effects.
    pub fuse: Option<u32>,
    pub wiped_at: Option<u64>,
    /// Of its clock, in a thousand of true time.
    pub rate: u64,
    /// How late its timers are at most, in milliseconds.
    pub late: u64,
    incarnations: u64,
    /// Digest of all that it was given: what it is follows from that.
    history: u64,
}

/// `Effect` is no `Clone`.
struct Effect2(Effect);
impl Clone for Effect2 {
    fn clone(&self) -> Effect2 {
        Effect2(match &self.0 {
            Effect::Save(s) => {
                Effect::Save(Save { hard: s.hard.clone(), state: s.state.clone(), put: s.put.clone(), del: s.del })
            }
            Effect::Send(to, m) => Effect::Send(to.clone(), m.clone()),
            Effect::Apply(e) => Effect::Apply(e.clone()),
            Effect::Restore(s) => Effect::Restore(s.clone()),
            Effect::Proposed(i, t) => Effect::Proposed(*i, *t),
            Effect::BecameLeader => Effect::BecameLeader,
            Effect::SteppedDown => Effect::SteppedDown,
        })
    }
}

/// How much came about, so that a search that passes can be seen to be one.
#[derive(Clone, Copy, Default, Debug)]
pub struct Seen {
    pub elections: u64,
    pub taken: u64,
    pub refused: u64,
    pub crashes: u64,
    pub wipes: u64,
    pub restores: u64,
    pub voter_changes: u64,
}

impl Seen {
    pub fn add(&mut self, o: &Seen) {
        self.elections += o.elections;
        self.taken += o.taken;
        self.refused += o.refused;
        self.crashes += o.crashes;
        self.wipes += o.wipes;
        self.restores += o.restores;
        self.voter_changes += o.voter_changes;
    }
}

#[derive(Clone)]
pub struct World {
    pub now: u64,
    pub nodes: Vec<Node>,
    pub net: Vec<Packet>,
    /// Delivered lately, to be delivered again.
    pub past: VecDeque<Packet>,
    /// Links that lose everything, one way each.
    pub cut: BTreeSet<(usize, usize)>,
    /// Links whose next message takes this much longer.
    pub slow: BTreeMap<(usize, usize), u64>,
    pub latency: Vec<u64>,
    /// Each message comes once more, so much later.
    pub twice: Option<u64>,
    pub calls: Vec<Call>,
    pub wanted: usize,
    pub tolerance: usize,
    pub duties: bool,
    /// Silence after which a voter is replaced.
    pub away: u64,
    /// A longer log is cut.
    pub long: usize,
    pub seen: Seen,
    /// The first thing that must not be.
    pub fault: Option<String>,
    /// Written while it is not None.
    pub trace: Option<Vec<String>>,
    leaders: BTreeMap<u64, usize>,
    /// What was committed, by index, as the first node to apply it had it.
    committed: BTreeMap<u64, RaftEntry>,
    /// The state after each index.
    folds: BTreeMap<u64, ControlState>,
    dice: u64,
}

impl World {
    /// `voters` control nodes from the first start on, and `spare` that come later.
    pub fn new(voters: usize, spare: usize) -> World {
        let names: Vec<String> = (0..voters + spare).map(|i| ((b'a' + i as u8) as char).to_string()).collect();
        let node = |i: usize| Node {
            name: names[i].clone(),
            disk: empty_disk(if i < voters { &names[..voters] } else { &[] }),
            proc: None,
            frozen: false,
            inbox: VecDeque::new(),
            held: VecDeque::new(),
            held_at: 0,
            stalls: false,
            fuse: None,
            wiped_at: None,
            rate: 1000,
            late: 0,
            incarnations: 0,
            history: 0,
        };
        let mut w = World {
            now: 10_000,
            nodes: (0..voters + spare).map(node).collect(),
            net: Vec::new(),
            past: VecDeque::new(),
            cut: BTreeSet::new(),
            slow: BTreeMap::new(),
            latency: vec![4; (voters + spare) * (voters + spare)],
            twice: None,
            calls: Vec::new(),
            wanted: voters,
            tolerance: voters / 2,
            duties: true,
            away: AWAY,
            long: usize::MAX,
            seen: Seen::default(),
            fault: None,
            trace: None,
            leaders: BTreeMap::new(),
            committed: BTreeMap::new(),
            folds: BTreeMap::from([(0, ControlState::default())]),
            dice: 88172645463325252,
        };
        for i in 0..w.nodes.len() {
            w.start(i);
        }
        w
    }

    fn note(&mut self, text: impl FnOnce(&World) -> String) {
        if self.trace.is_some() {
            let t = text(self);
            let now = self.now;
            if let Some(all) = &mut self.trace {
                all.push(format!("{now:>6} {t}"));
            }
        }
    }

    pub fn fail(&mut self, why: String) {
        self.note(|_| format!("FAULT {why}"));
        self.fault.get_or_insert(why);
    }

    fn roll(&mut self, below: u64) -> u64 {
        self.dice ^= self.dice << 13;
        self.dice ^= self.dice >> 7;
        self.dice ^= self.dice << 17;
        self.dice % below.max(1)
    }

    pub fn clock(&self, n: usize) -> u64 {
        let node = &self.nodes[n];
        node.proc.as_ref().map_or(0, |p| START + (self.now - p.born) * node.rate / 1000)
    }

    pub fn up(&self, n: usize) -> bool {
        self.nodes[n].proc.is_some()
    }

    fn runs(&self, n: usize) -> bool {
        let node = &self.nodes[n];
        node.proc.is_some() && !node.frozen && node.held.is_empty()
    }

    pub fn start(&mut self, n: usize) {
        if self.up(n) {
            return;
        }
        let now = self.now;
        let node = &mut self.nodes[n];
        node.incarnations += 1;
        let seed = (n as u64 + 1) * 7919 + node.incarnations * 104_729;
        let mut p = shell::start(&node.name, &node.disk, seed, now);
        (p.tick_at, p.duty_at) = (now, now);
        node.proc = Some(p);
        (node.frozen, node.stalls, node.fuse) = (false, false, None);
        if let Some(at) = &mut node.wiped_at {
            *at = now;
        }
        self.remember(n, |h| (now, "start").hash(h));
        let node = &self.nodes[n];
        let (through, hard) = (node.disk.hard.base, node.disk.hard.clone());
        self.note(|w| format!("start {} {hard:?}", w.nodes[n].name));
        self.check_fold(n, through, "read from its disk");
    }

    /// The end of a process, or of the power: the disk keeps what was saved.
    pub fn crash(&mut self, n: usize) {
        if self.up(n) {
            self.note(|w| format!("crash {}", w.nodes[n].name));
            self.seen.crashes += 1;
            self.remember(n, |h| "crash".hash(h));
        }
        let node = &mut self.nodes[n];
        node.proc = None;
        node.inbox.clear();
        node.held.clear();
        (node.frozen, node.stalls, node.fuse) = (false, false, None);
    }

    /// How many forgot what they held, and have not had the time to make up for it.
    fn forgetful(&self) -> usize {
        let young = |n: &Node| n.wiped_at.is_some_and(|at| n.proc.is_none() || at + SETTLE > self.now);
        self.nodes.iter().filter(|n| young(n) || (n.wiped_at.is_some() && !n.disk.hard.may_vote)).count()
    }

    /// Ends a process and empties its disk, if the tolerance bears it.
    pub fn wipe(&mut self, n: usize) -> bool {
        let again = self.nodes[n].wiped_at.is_some() && !self.nodes[n].disk.hard.may_vote;
        if !again && self.forgetful() >= self.tolerance {
            return false;
        }
        self.crash(n);
        self.note(|w| format!("wipe {}", w.nodes[n].name));
        self.seen.wipes += 1;
        self.remember(n, |h| "wipe".hash(h));
        self.nodes[n].disk = empty_disk(&[]);
        self.nodes[n].wiped_at = Some(self.now);
        true
    }

    pub fn freeze(&mut self, n: usize) {
        if self.up(n) && !self.nodes[n].frozen {
            self.nodes[n].frozen = true;
            self.note(|w| format!("freeze {}", w.nodes[n].name));
        }
    }

    /// A frozen process goes on, and a disk that did not answer does.
    pub fn thaw(&mut self, n: usize) {
        if !self.up(n) {
            return;
        }
        self.note(|w| format!("thaw {}", w.nodes[n].name));
        self.nodes[n].frozen = false;
        self.nodes[n].stalls = false;
        let held = std::mem::take(&mut self.nodes[n].held);
        self.carry(n, held.into_iter().map(|e| e.0).collect());
        while self.runs(n)
            && let Some(m) = self.nodes[n].inbox.pop_front()
        {
            self.step(n, Event::Message(m), None);
        }
    }

    fn remember(&mut self, n: usize, what: impl FnOnce(&mut DefaultHasher)) {
        let mut h = DefaultHasher::new();
        self.nodes[n].history.hash(&mut h);
        what(&mut h);
        self.nodes[n].history = h.finish();
    }

    /// Two worlds with one digest go on alike: nodes were given the same, each in
    /// its order, and the same is under way.
    pub fn digest(&self) -> u64 {
        let mut h = DefaultHasher::new();
        self.now.hash(&mut h);
        for n in &self.nodes {
            let flags = (n.frozen, n.stalls, n.fuse, n.proc.is_some(), n.held.len(), n.wiped_at);
            (n.history, flags).hash(&mut h);
            n.inbox.iter().for_each(|m| m.encode_to_vec().hash(&mut h));
        }
        self.cut.hash(&mut h);
        for c in &self.calls {
            (c.operator, c.base, c.revision, c.answer as u8).hash(&mut h);
        }
        for p in &self.net {
            (p.to, p.from, p.due, p.message.encode_to_vec()).hash(&mut h);
        }
        h.finish()
    }

    /// As the shell does while a save takes too long.
    fn impatient(&mut self, n: usize) {
        let now = self.clock(n);
        let node = &self.nodes[n];
        let held = !node.frozen && !node.held.is_empty() && self.now >= self.nodes[n].held_at + PATIENCE;
        let Some(p) = &mut self.nodes[n].proc else { return };
        if !held || p.raft.role != StateRole::Leader || p.raft.voters().len() == 1 {
            return;
        }
        self.remember(n, |h| (now, "impatient").hash(h));
        let Some(p) = &mut self.nodes[n].proc else { return };
        (p.is_leader, p.serves_until) = (false, 0);
        p.waiting.clear();
        for e in p.raft.step(now, shell::step_down()) {
            if let Effect::Send(to, m) = e {
                self.send(n, &to, m);
            }
        }
    }

    pub fn step(&mut self, n: usize, event: Event, call: Option<usize>) {
        if !self.runs(n) {
            return;
        }
        let now = self.clock(n);
        self.remember(n, |h| {
            now.hash(h);
            digest(&event, h);
        });
        let Some(p) = &mut self.nodes[n].proc else { return };
        let mut effects: VecDeque<Effect> = p.raft.step(now, event).into();
        if let Some(c) = call
            && let Some(Effect::Proposed(index, term)) = effects.iter().find(|e| matches!(e, Effect::Proposed(..)))
        {
            p.waiting.insert(*index, (*term, c));
        }
        if SNAPSHOT_FIRST && p.raft.log_len() > self.long {
            let (index, state) = (p.raft.applied(), p.control_state.encode_to_vec());
            effects.extend(p.raft.step(now, Event::Snapshot { index, state: state.into() }));
        }
        self.carry(n, effects);
        if !SNAPSHOT_FIRST && self.nodes[n].proc.as_ref().is_some_and(|p| p.raft.log_len() > self.long) {
            self.snapshot(n);
        }
    }

    /// Carries out effects in order; a crash may fall between any two.
    fn carry(&mut self, n: usize, mut effects: VecDeque<Effect>) {
        while let Some(e) = effects.pop_front() {
            if let Some(fuse) = &mut self.nodes[n].fuse {
                if *fuse == 0 {
                    self.crash(n);
                    return;
                }
                *fuse -= 1;
            }
            if self.nodes[n].stalls && matches!(e, Effect::Save(_)) {
                effects.push_front(e);
                self.nodes[n].held_at = self.now;
                self.nodes[n].held = effects.into_iter().map(Effect2).collect();
                self.note(|w| format!("the disk of {} does not answer", w.nodes[n].name));
                return;
            }
            self.effect(n, e);
        }
        let now = self.clock(n);
        if let Some(p) = &mut self.nodes[n].proc {
            p.serves_until = p.raft.serves_until(now);
        }
    }

    fn effect(&mut self, n: usize, e: Effect) {
        match e {
            Effect::Save(s) => {
                if s.hard.is_some() || s.del.is_some() {
                    self.note(|w| format!("{} saves {:?} del {:?}", w.nodes[n].name, s.hard, s.del));
                }
                shell::save(&mut self.nodes[n].disk, s);
            }
            Effect::Send(to, m) => self.send(n, &to, m),
            Effect::Apply(e) => self.apply(n, e),
            Effect::Restore(s) => {
                let through = self.nodes[n].proc.as_ref().map_or(0, |p| p.raft.applied());
                // Later entries of the same step are told one by one.
                let control_state = ControlState::decode(s).unwrap_or_default();
                let at = self.folds.iter().rev().find(|(i, r)| **i <= through && **r == control_state).map(|(i, _)| *i);
                self.seen.restores += 1;
                self.note(|w| format!("{} restores the state as of {at:?}", w.nodes[n].name));
                if let Some(p) = &mut self.nodes[n].proc {
                    p.control_state = control_state;
                    p.through = at.unwrap_or(0);
                }
                if at.is_none() {
                    self.fail(format!("{} was sent a state that never was", self.nodes[n].name));
                }
            }
            Effect::Proposed(..) => {}
            Effect::BecameLeader => {
                if let Some(p) = &mut self.nodes[n].proc {
                    p.is_leader = true;
                    self.seen.elections += 1;
                    let term = p.raft.hard.term;
                    self.note(|w| format!("{} leads at term {term}", w.nodes[n].name));
                    let first = *self.leaders.entry(term).or_insert(n);
                    if first != n {
                        self.fail(format!("two leaders at term {term}"));
                    }
                }
            }
            Effect::SteppedDown => {
                self.note(|w| format!("{} leads no longer", w.nodes[n].name));
                if let Some(p) = &mut self.nodes[n].proc {
                    p.is_leader = false;
                    p.waiting.clear();
                }
            }
        }
    }

    fn send(&mut self, n: usize, to: &str, m: RaftMessage) {
        assert!(m.encoded_len() < rpc::FRAME_LIMIT, "{} bytes in one message", m.encoded_len());
        let Some(to) = self.nodes.iter().position(|x| x.name == to) else { return };
        let lost = self.cut.contains(&(n, to));
        let late = self.slow.remove(&(n, to)).unwrap_or(0);
        self.note(|w| {
            let how = if lost {
                " (lost)".into()
            } else if late > 0 {
                format!(" (late {late})")
            } else {
                String::new()
            };
            format!("{} to {}: {}{how}", w.nodes[n].name, w.nodes[to].name, told(&m))
        });
        if !lost {
            let due = self.now + self.latency[n * self.nodes.len() + to] + late;
            if let Some(later) = self.twice {
                self.net.push(Packet { to, from: n, due: due + later, message: m.clone() });
            }
            self.net.push(Packet { to, from: n, due, message: m });
        }
    }

    fn apply(&mut self, n: usize, e: RaftEntry) {
        let Some(p) = &mut self.nodes[n].proc else { return };
        let applied = p.control_state.apply(e.index, &e.data);
        let gap = e.index != p.through + 1;
        p.through = e.index;
        let call = p.waiting.remove(&e.index).filter(|(term, _)| *term == e.term).map(|(_, c)| c);
        if gap {
            self.fail(format!("{} applies entry {} out of turn", self.nodes[n].name, e.index));
        }
        let first = self.committed.entry(e.index).or_insert_with(|| e.clone()).clone();
        if first != e {
            self.fail(format!("{} applies another entry {} than was committed", self.nodes[n].name, e.index));
        }
        let control_state = self.nodes[n].proc.as_ref().map(|p| p.control_state.clone()).unwrap_or_default();
        if !self.folds.contains_key(&e.index) {
            if let Some(call) = self.named(&e)
                && applied == ApplyResult::Done
                && self.calls[call].answer == Answer::Refused
            {
                self.fail(format!("{:?} was refused and taken", self.calls[call]));
            }
            self.folds.insert(e.index, control_state);
        }
        self.check_fold(n, e.index, "applied");
        if !e.voters.is_empty() {
            let before =
                self.committed.range(..e.index).rev().find(|x| !x.1.voters.is_empty()).map(|x| x.1.voters.clone());
            if let Some(b) = before
                && !meet(&b, &e.voters)
            {
                self.fail(format!("voters {b:?}, then {:?}", e.voters));
            }
        }
        if let Some(c) = call {
            let took = self.nodes[n].proc.as_ref().is_some_and(|p| took(&p.control_state, &self.calls[c]));
            self.answer(c, if applied == ApplyResult::Done || took { Answer::KnownOrder } else { Answer::Refused });
        }
    }

    /// The state that a node has must be what the committed entries come to.
    fn check_fold(&mut self, n: usize, index: u64, how: &str) {
        let Some(p) = &self.nodes[n].proc else { return };
        if self.folds.get(&index) != Some(&p.control_state) {
            self.fail(format!(
                "the state of {} as of entry {index}, {how}, is not what was committed",
                self.nodes[n].name
            ));
        }
    }

    fn named(&self, e: &RaftEntry) -> Option<usize> {
        let Some(CommandPayload::Configuration(t)) = Command::decode(e.data.clone()).ok()?.word else { return None };
        self.calls.iter().position(|c| c.digest == t.digest)
    }

    fn answer(&mut self, call: usize, answer: Answer) {
        self.note(|w| format!("{:?} is answered {answer:?}", w.calls[call]));
        self.seen.taken += u64::from(answer == Answer::KnownOrder);
        self.seen.refused += u64::from(answer == Answer::Refused);
        let taken = self.folds.values().next_back().is_some_and(|r| took(r, &self.calls[call]));
        match answer {
            Answer::Refused if self.calls[call].answer == Answer::KnownOrder || taken => {
                self.fail(format!("{:?} was taken and is refused", self.calls[call]));
            }
            Answer::KnownOrder => {
                let base = self.calls[call].base;
                let twice = |(i, c): (usize, &Call)| i != call && c.base == base && c.answer == Answer::KnownOrder;
                if self.calls.iter().enumerate().any(twice) {
                    self.fail(format!("two orders were taken on base {base}"));
                }
            }
            _ => {}
        }
        self.calls[call].answer = answer;
    }

    pub fn holds(&self, n: usize) -> bool {
        self.nodes[n].proc.as_ref().is_some_and(|p| shell::holds(p, self.clock(n)))
    }

    pub fn holder(&self) -> Option<usize> {
        (0..self.nodes.len()).find(|n| self.holds(*n))
    }

    /// An operator sends what it has not had an answer to, or something new on top
    /// of what the node says is current.
    pub fn order(&mut self, operator: usize, n: usize) {
        if !self.holds(n) || self.nodes[n].frozen {
            return;
        }
        let open = self.calls.iter().position(|c| c.operator == operator && c.answer == Answer::None);
        let call = open.unwrap_or_else(|| {
            let base = self.nodes[n].proc.as_ref().map_or(0, |p| p.control_state.revision);
            let body = self.calls.len() as u64 + 1;
            // Two operators pick the same number for different bodies.
            let revision = base + 1;
            let digest = control::digest("replace", "", base, revision, format!("{body}").as_bytes());
            self.calls.push(Call { operator, base, revision, body, digest, answer: Answer::None });
            self.calls.len() - 1
        });
        self.put(call, n);
    }

    /// As `put` of the operator's interface.
    pub fn put(&mut self, call: usize, n: usize) {
        if !self.holds(n) || self.nodes[n].frozen {
            return;
        }
        let c = self.calls[call].clone();
        self.note(|w| format!("{c:?} reaches {}", w.nodes[n].name));
        let Some(p) = &self.nodes[n].proc else { return };
        if took(&p.control_state, &c) {
            return self.answer(call, Answer::KnownOrder);
        }
        if c.base != p.control_state.revision {
            return self.answer(call, Answer::Refused);
        }
        let json = Bytes::from(format!("{}", c.body));
        let t = PutConfiguration {
            base: c.base,
            revision: c.revision,
            json,
            digest: c.digest.clone(),
            change: Bytes::new(),
        };
        let data = Command { word: Some(CommandPayload::Configuration(t)), at_ms: 0 }.encode_to_vec();
        self.step(n, Event::Propose(data.into()), Some(call));
    }

    /// The state as of the last entry that it was applied through, with no effect of
    /// an earlier step left to be carried out.
    pub fn snapshot(&mut self, n: usize) {
        if !self.runs(n) {
            return;
        }
        let now = self.clock(n);
        self.remember(n, |h| (now, "snapshot").hash(h));
        let Some(p) = &mut self.nodes[n].proc else { return };
        let (index, state) = (p.through, p.control_state.encode_to_vec());
        let effects = p.raft.step(now, Event::Snapshot { index, state: state.into() });
        if !effects.is_empty() {
            self.note(|w| format!("{} cuts its log at {index}", w.nodes[n].name));
            self.carry(n, effects.into());
        }
    }

    pub fn leave(&mut self, n: usize) {
        if self.runs(n) {
            self.note(|w| format!("{} is told to end", w.nodes[n].name));
            self.step(n, shell::leave(), None);
            let at = self.now + LEAVING;
            if let Some(p) = &mut self.nodes[n].proc {
                p.ends_at = at;
            }
        }
    }

    /// What the leader does from time to time.
    pub fn duty(&mut self, n: usize) {
        if !self.holds(n) {
            return;
        }
        let now = self.clock(n);
        let seen = |i: &usize| self.runs(*i) && !self.cut.contains(&(*i, n)) && !self.cut.contains(&(n, *i));
        let all: Vec<String> = (0..self.nodes.len()).filter(seen).map(|i| self.nodes[i].name.clone()).collect();
        let zones: Vec<(String, String)> = all.iter().map(|n| (n.clone(), format!("zone-{n}"))).collect();
        let next = self.nodes[n].proc.as_ref().and_then(|p| p.raft.next_voters(&zones, self.wanted, self.away, now));
        match next {
            Some(v) => {
                self.seen.voter_changes += 1;
                self.note(|w| format!("{} sets the voters {v:?}", w.nodes[n].name));
                self.step(n, Event::SetVoters(v), None);
            }
            None => self.step(n, Event::ControlNodes(all), None),
        }
    }

    pub fn deliver(&mut self, p: Packet) {
        let to = p.to;
        if !self.up(to) || self.fault.is_some() {
            return;
        }
        self.past.push_back(p.clone());
        if self.past.len() > 64 {
            self.past.pop_front();
        }
        if self.runs(to) {
            self.step(to, Event::Message(p.message), None);
        } else {
            self.nodes[to].inbox.push_back(p.message);
        }
    }

    /// True time goes on; ticks and messages come as they are due.
    pub fn pass(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end && self.fault.is_none() {
            self.now += 4;
            for n in 0..self.nodes.len() {
                if self.nodes[n].proc.as_ref().is_some_and(|p| self.now >= p.ends_at) {
                    self.crash(n);
                }
                self.impatient(n);
                if !self.runs(n) {
                    continue;
                }
                let late = self.nodes[n].late;
                if self.nodes[n].proc.as_ref().is_some_and(|p| self.now >= p.tick_at) {
                    let at = self.now + TICK + self.roll(late + 1);
                    if let Some(p) = &mut self.nodes[n].proc {
                        p.tick_at = at;
                    }
                    self.step(n, Event::Tick, None);
                }
                if self.duties && self.nodes[n].proc.as_ref().is_some_and(|p| self.now >= p.duty_at) {
                    if let Some(p) = &mut self.nodes[n].proc {
                        p.duty_at = self.now + DUTY;
                    }
                    self.duty(n);
                }
            }
            let mut due: Vec<Packet> = Vec::new();
            let now = self.now;
            self.net.retain(|p| {
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

    /// What must hold at each step.
    pub fn check(&mut self) {
        self.check_commit_is_held();
        let holders: Vec<usize> = (0..self.nodes.len()).filter(|n| self.holds(*n)).collect();
        if holders.len() > 1 {
            let names: Vec<&str> = holders.iter().map(|n| self.nodes[*n].name.as_str()).collect();
            self.fail(format!("{names:?} may answer at one time"));
        }
        for n in holders {
            let Some(p) = &self.nodes[n].proc else { continue };
            let lacks =
                self.calls.iter().find(|c| c.answer == Answer::KnownOrder && !took(&p.control_state, c)).cloned();
            let newest =
                self.calls.iter().filter(|c| c.answer == Answer::KnownOrder).map(|c| c.revision).max().unwrap_or(0);
            let (read, voters) = (p.control_state.revision, p.raft.voters().to_vec());
            if let Some(c) = lacks {
                self.fail(format!("{} may answer and lacks {c:?}", self.nodes[n].name));
            }
            if read < newest {
                self.fail(format!("{} reads {read} after {newest} was acknowledged", self.nodes[n].name));
            }
            let told = self.committed.values().rev().find(|e| !e.voters.is_empty()).map(|e| e.voters.clone());
            if let Some(t) = told
                && !meet(&t, &voters)
            {
                self.fail(format!("{} goes by {voters:?} while {t:?} are in force", self.nodes[n].name));
            }
        }
    }

    /// The voters that lack the newest committed entry on their disks and may vote are no
    /// majority: else they could elect a leader without it.
    fn check_commit_is_held(&mut self) {
        let Some((index, entry)) = self.committed.last_key_value() else { return };
        let Some(voters) = self.committed.values().rev().find(|e| !e.voters.is_empty()).map(|e| &e.voters) else {
            return;
        };
        let holds = |d: &Disk| d.hard.base >= *index || d.log.get(index).is_some_and(|e| e.term == entry.term);
        let lacks = |n: &&Node| voters.contains(&n.name) && n.disk.hard.may_vote && !holds(&n.disk);
        let lacking: Vec<&str> = self.nodes.iter().filter(lacks).map(|n| n.name.as_str()).collect();
        if lacking.len() > voters.len() / 2 {
            let why = format!("{lacking:?} lack entry {index}, which is committed, and could elect a leader");
            self.fail(why);
        }
    }

    /// Ends all faults, and looks for a leader and all level within a bounded time.
    pub fn settle(&mut self) {
        if self.fault.is_some() {
            return;
        }
        self.note(|_| "all faults are over".into());
        self.cut.clear();
        self.slow.clear();
        for n in 0..self.nodes.len() {
            self.nodes[n].fuse = None;
            self.thaw(n);
            if let Some(p) = &mut self.nodes[n].proc {
                // Whoever was told to end has ended by then, and is started again.
                if p.ends_at < u64::MAX {
                    self.crash(n);
                }
            }
            self.start(n);
        }
        let end = self.now + 5 * SETTLE;
        let mut why = Err(String::new());
        while self.now < end && self.fault.is_none() {
            why = self.level();
            if why.is_ok() {
                return;
            }
            self.pass(200);
        }
        if let Err(why) = why {
            self.fail(format!("long after all faults were over, {why}"));
        }
    }

    pub fn level(&self) -> Result<(), String> {
        let l = self.holder().ok_or("nobody leads")?;
        let Some(lead) = &self.nodes[l].proc else { return Err("nobody leads".into()) };
        if lead.raft.voters().len() != self.wanted {
            return Err(format!("there are {} voters", lead.raft.voters().len()));
        }
        for n in &self.nodes {
            let Some(p) = &n.proc else { return Err(format!("{} is down", n.name)) };
            if p.control_state != lead.control_state {
                return Err(format!("{} is not level", n.name));
            }
            if lead.raft.voters().contains(&n.name) && !n.disk.hard.may_vote {
                return Err(format!("{} has no vote", n.name));
            }
        }
        Ok(())
    }
}

fn digest(e: &Event, h: &mut DefaultHasher) {
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

pub fn took(r: &ControlState, c: &Call) -> bool {
    r.took(&c.digest)
}

/// Whether every majority of one set meets every majority of the other.
pub fn meet(a: &[String], b: &[String]) -> bool {
    let all: BTreeSet<&String> = a.iter().chain(b).collect();
    (a.len() / 2 + 1) + (b.len() / 2 + 1) > all.len()
}

fn told(m: &RaftMessage) -> String {
    let kind = rpc::messages::RaftMessageKind::try_from(m.kind).unwrap_or(rpc::messages::RaftMessageKind::None);
    let entries: Vec<u64> = m.entries.iter().map(|e| e.index).collect();
    format!(
        "{kind:?} term {} index {} log_term {} entries {entries:?} commit {} ok {} pre {} readmit {} round {}",
        m.term, m.index, m.log_term, m.commit, m.ok, m.pre_vote, m.readmit, m.round
    )
}
