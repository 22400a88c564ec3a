//! The control nodes' log, held by a majority. A state machine without I/O: the
//! shell carries out its effects in the order given.

use bytes::Bytes;
use rpc::messages::{RaftEntry, RaftMessage, RaftMessageKind};
use std::collections::{HashMap, HashSet};

/// Bytes of entries that go in one message, unless one alone is larger; also those
/// of one piece of a snapshot.
const APPEND_BYTES: usize = rpc::FRAME_LIMIT / 4;
/// No message is further than that many terms ahead of what is known here.
const TERM_LEAP: u64 = 1 << 32;
/// More voters than any settings ask for.
const MOST_VOTERS: usize = 63;

pub enum Event {
    Tick,
    Message(RaftMessage),
    /// Adds an entry; only while leading.
    Propose(Bytes),
    /// Name a successor and stop leading, as when the disk does not answer.
    StepDown,
    /// This process is told to end: it names a successor, and does not campaign again
    /// in this incarnation. It votes as long as it runs; nothing of it goes to the disk.
    Leave,
    /// The control nodes whose sessions stand: those without a vote are kept up to date.
    ControlNodes(Vec<String>),
    /// Add or remove one voter; only while leading, and one change at a time.
    SetVoters(Vec<String>),
    /// The shell's state as of `index`, to cut the log with.
    Snapshot {
        index: u64,
        state: Bytes,
    },
}

#[derive(Clone, Debug)]
pub enum Effect {
    /// Must be durable before any later effect is carried out.
    Save(Save),
    Send(String, RaftMessage),
    Apply(RaftEntry),
    /// Replace the whole state.
    Restore(Bytes),
    /// The proposal just made has this index and term.
    Proposed(u64, u64),
    BecameLeader,
    SteppedDown,
}

/// What the disk keeps about votes.
#[derive(Clone, PartialEq, prost::Message)]
pub struct HardState {
    #[prost(uint64, tag = "1")]
    pub term: u64,
    #[prost(string, tag = "2")]
    pub voted_for: String,
    #[prost(bool, tag = "3")]
    pub may_vote: bool,
    /// The voters as of `base`; later entries of the log may change them.
    #[prost(string, repeated, tag = "4")]
    pub voters: Vec<String>,
    #[prost(uint64, tag = "5")]
    pub base: u64,
    #[prost(uint64, tag = "6")]
    pub base_term: u64,
}

#[derive(Clone, Debug, Default)]
pub struct Save {
    pub hard: Option<HardState>,
    /// The whole state as of `hard.base`.
    pub state: Option<Bytes>,
    pub put: Vec<RaftEntry>,
    /// Remove all entries from here to there.
    pub del: Option<(u64, u64)>,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum StateRole {
    Follower,
    PreCandidate,
    Candidate,
    Leader,
}

/// Bounds of the state machine's clock, in milliseconds.
#[derive(Clone, Copy)]
pub struct Timing {
    pub beat: u64,
    pub election: u64,
}

/// A snapshot on its way to one that lacks it. It is the one with which the sending
/// began, also when the leader has a newer one by now.
#[derive(Clone)]
struct Outgoing {
    index: u64,
    term: u64,
    voters: Vec<String>,
    state: Bytes,
    digest: Bytes,
    /// How many bytes the other side said that it holds.
    held: u64,
    /// The round in which the piece from there was sent; 0: not yet.
    sent: u64,
}

/// A snapshot of which some pieces have come. It changes nothing before it is whole.
#[derive(Clone)]
struct Incoming {
    index: u64,
    term: u64,
    digest: Bytes,
    total: u64,
    state: Vec<u8>,
}

/// SHA-256 of a snapshot.
fn digest_of(state: &[u8]) -> Bytes {
    use sha2::Digest;
    Bytes::copy_from_slice(&sha2::Sha256::digest(state))
}

#[derive(Clone)]
pub struct RaftNode {
    me: String,
    pub hard: HardState,
    state: Bytes,
    /// Of the snapshot, once somebody wanted it.
    digest: Option<Bytes>,
    outgoing: HashMap<String, Outgoing>,
    incoming: Option<Incoming>,
    /// The largest snapshot that is taken, in bytes.
    snapshot_limit: u64,
    /// Told to end: does not campaign any more.
    leaving: bool,
    /// Control nodes that said that they are about to end.
    departing: HashSet<String>,
    log: Vec<RaftEntry>,
    /// The voters that the newest entry about them names, committed or not, and
    /// that entry's index.
    voters: Vec<String>,
    voters_at: u64,
    /// Control nodes without a vote that are kept up to date.
    learners: Vec<String>,
    /// The round in which another one's log was last gone back for: refusals of what
    /// was sent before then are answered already.
    gone_back: HashMap<String, u64>,
    pub commit: u64,
    applied: u64,
    pub role: StateRole,
    pub leader: String,
    heard: u64,
    election_at: u64,
    beat_at: u64,
    votes: HashSet<String>,
    /// Has heard of no leader since this process began.
    blank: bool,
    blank_at: u64,
    /// Voters that said the same in answer to a pre_vote, and whether they would
    /// elect this one.
    blanks: HashMap<String, bool>,
    next: HashMap<String, u64>,
    matched: HashMap<String, u64>,
    /// When the round was sent that a voter has answered last.
    answered: HashMap<String, u64>,
    sent: HashMap<u64, u64>,
    round: u64,
    /// When this process began.
    born: u64,
    /// Names this incarnation where it asks to be readmitted.
    asks_as: u64,
    /// Tells the answers to one campaign from those to another.
    ballot: u64,
    /// Who waits to be readmitted, and when that was first heard.
    waiting: HashMap<String, u64>,
    /// The round in which each was last told that it is readmitted.
    granted: HashMap<String, u64>,
    timing: Timing,
    dice: u64,
}

impl RaftNode {
    pub fn new(
        me: &str,
        hard: HardState,
        state: Bytes,
        log: Vec<RaftEntry>,
        timing: Timing,
        seed: u64,
        now: u64,
    ) -> RaftNode {
        let base = hard.base;
        let mut v = RaftNode {
            me: me.into(),
            hard,
            state,
            digest: None,
            outgoing: HashMap::new(),
            incoming: None,
            snapshot_limit: 64 << 20,
            leaving: false,
            departing: HashSet::new(),
            log,
            voters: Vec::new(),
            voters_at: 0,
            learners: Vec::new(),
            gone_back: HashMap::new(),
            commit: base,
            applied: base,
            role: StateRole::Follower,
            leader: String::new(),
            // It may have heard a leader just before it ended: that one may still
            // count on this voter for an election time.
            heard: now,
            election_at: 0,
            beat_at: 0,
            votes: HashSet::new(),
            blank: true,
            blank_at: now,
            blanks: HashMap::new(),
            next: HashMap::new(),
            matched: HashMap::new(),
            answered: HashMap::new(),
            sent: HashMap::new(),
            round: 0,
            born: now,
            asks_as: (seed ^ now).max(1),
            ballot: seed ^ now,
            waiting: HashMap::new(),
            granted: HashMap::new(),
            timing,
            dice: seed | 1,
        };
        v.count_voters();
        v.wait_again(now);
        v
    }

    /// Who votes, by the newest entry that says so.
    fn count_voters(&mut self) {
        let found = self.log.iter().rev().find(|e| !e.voters.is_empty());
        (self.voters, self.voters_at) =
            found.map_or_else(|| (self.hard.voters.clone(), self.hard.base), |e| (e.voters.clone(), e.index));
    }

    pub fn voters(&self) -> &[String] {
        &self.voters
    }

    /// Whether the voters that are in force are committed.
    pub fn voters_settled(&self) -> bool {
        self.voters_at <= self.commit
    }

    /// The control nodes that are about to end: their votes pass on where a replacement
    /// stands ready.
    pub fn set_departing(&mut self, control_nodes: HashSet<String>) {
        self.departing = control_nodes;
    }

    /// Takes no snapshot of more bytes than that.
    pub fn limit_snapshots(&mut self, bytes: u64) {
        self.snapshot_limit = bytes;
    }

    /// Whether a snapshot is on its way to somebody: a newer one would be the next to
    /// send before that one is used.
    pub fn sends_snapshot(&self) -> bool {
        !self.outgoing.is_empty()
    }

    /// How many committed entries each other control node is not known to hold.
    pub fn behind(&self) -> Vec<(String, u64)> {
        if self.role != StateRole::Leader {
            return Vec::new();
        }
        let others = self.voters.iter().chain(&self.learners).filter(|f| **f != self.me);
        let held = |f: &String| self.matched.get(f).copied().unwrap_or(0);
        others.map(|f| (f.clone(), self.commit.saturating_sub(held(f)))).collect()
    }

    /// When the round was sent that a control node has answered last.
    pub fn last_answer(&self, control: &str) -> u64 {
        self.answered.get(control).copied().unwrap_or(0)
    }

    /// Whether a control node without a vote could have one: it holds what is
    /// committed, and has not forgotten what it voted_for before.
    pub fn could_vote(&self, control: &str, now: u64) -> bool {
        self.matched.get(control).is_some_and(|m| *m >= self.commit)
            && !self.waiting.contains_key(control)
            && self.last_answer(control) + self.timing.election > now
    }

    /// The next change of voters, if one is called for: there are fewer than
    /// `wanted`, or one has been silent for `away` or is about to end. `control_nodes` are
    /// those whose sessions stand, with their zones. A replacement comes in before the
    /// lost one goes, and only when it could vote at once; to be asked again as soon as
    /// that is committed, as one voter too many with one lost bears no further loss.
    pub fn next_voters(
        &self,
        control_nodes: &[(String, String)],
        wanted: usize,
        away: u64,
        now: u64,
    ) -> Option<Vec<String>> {
        if !self.may_change_voters() {
            return None;
        }
        let lost = |v: &String| *v != self.me && (self.last_answer(v) + away < now || self.departing.contains(v));
        let longest = self.voters.iter().filter(|v| lost(v)).min_by_key(|v| self.last_answer(v));
        if self.voters.len() > wanted {
            // Whoever is about to end goes first: it is there only until then.
            let ending = self.voters.iter().find(|v| **v != self.me && self.departing.contains(*v));
            let longest = ending.or(longest);
            let out = longest.or(self.voters.iter().rfind(|v| **v != self.me))?;
            return Some(self.voters.iter().filter(|v| *v != out).cloned().collect());
        }
        if self.voters.len() == wanted && longest.is_none() {
            return None;
        }
        let zone = |addr: &str| control_nodes.iter().find(|f| f.0 == addr).map(|f| f.1.as_str());
        let taken = |z: &str| self.voters.iter().filter(|v| !lost(v) && zone(v) == Some(z)).count();
        let fit = control_nodes
            .iter()
            .filter(|f| !self.voters.contains(&f.0) && !self.departing.contains(&f.0) && self.could_vote(&f.0, now));
        let new = fit.min_by_key(|f| taken(&f.1))?;
        Some(self.voters.iter().cloned().chain([new.0.clone()]).collect())
    }

    /// Whether the voters can be changed: the last change is over, and this
    /// leader has committed an entry of its own.
    pub fn may_change_voters(&self) -> bool {
        self.role == StateRole::Leader
            && self.voters_at <= self.commit
            && self.term_at(self.commit) == Some(self.hard.term)
    }

    fn wait_again(&mut self, now: u64) {
        self.dice ^= self.dice << 13;
        self.dice ^= self.dice >> 7;
        self.dice ^= self.dice << 17;
        self.election_at = now + self.timing.election + self.dice % self.timing.election;
    }

    fn last(&self) -> (u64, u64) {
        self.log.last().map_or((self.hard.base, self.hard.base_term), |e| (e.index, e.term))
    }

    fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.hard.base {
            return Some(self.hard.base_term);
        }
        self.entry(index).map(|e| e.term)
    }

    fn entry(&self, index: u64) -> Option<&RaftEntry> {
        index.checked_sub(self.hard.base + 1).and_then(|i| self.log.get(i as usize))
    }

    fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    fn is_voter(&self) -> bool {
        self.voters.contains(&self.me)
    }

    fn message(&self, kind: RaftMessageKind) -> RaftMessage {
        RaftMessage { from: self.me.clone(), term: self.hard.term, kind: kind as i32, ..RaftMessage::default() }
    }

    /// How long a round that a majority has answered keeps others from being elected:
    /// they wait an election time from when they heard it, by their own clocks, which
    /// may run an eighth faster than this one.
    fn authority(&self) -> u64 {
        self.timing.election * 7 / 8
    }

    /// Leads, and a majority has answered rounds sent within the time that its
    /// authority lasts: nobody else can have been elected yet.
    pub fn holds_leadership(&self, now: u64) -> bool {
        self.role == StateRole::Leader && self.contact(now) + self.authority() > now
    }

    /// Until when it may act for the majority: it leads until then, and
    /// has applied all that was acknowledged before its term, so that it knows what
    /// to answer. To be compared with the clock whenever authority is used.
    pub fn serves_until(&self, now: u64) -> u64 {
        // Also right behind a cut: the snapshot's term is then its own.
        let applied = self.term_at(self.applied) == Some(self.hard.term);
        if self.role == StateRole::Leader && applied { self.contact(now) + self.authority() } else { 0 }
    }

    /// Who leads, while it is heard of.
    pub fn leader_at(&self, now: u64) -> &str {
        let heard = self.role == StateRole::Leader || now < self.heard + 3 * self.timing.election;
        if heard { &self.leader } else { "" }
    }

    /// Whether what a voter says counts towards a majority. One that lost its disk may
    /// have forgotten a newer leader: it follows, but stands for nothing.
    fn counts(&self, voter: &str) -> bool {
        !self.waiting.contains_key(voter)
    }

    /// The latest moment at which a majority is known to have followed.
    fn contact(&self, now: u64) -> u64 {
        let mut times: Vec<u64> = self
            .voters
            .iter()
            .filter(|v| self.counts(v))
            .map(|v| if *v == self.me { now } else { self.answered.get(v).copied().unwrap_or(0) })
            .collect();
        times.sort_unstable_by(|a, b| b.cmp(a));
        times.get(self.majority() - 1).copied().unwrap_or(0)
    }

    pub fn step(&mut self, now: u64, event: Event) -> Vec<Effect> {
        let mut out = Vec::new();
        match event {
            Event::Tick => self.tick(now, &mut out),
            Event::Message(m) => self.receive(now, m, &mut out),
            Event::Propose(data) => {
                if self.role == StateRole::Leader {
                    self.append(now, data, &mut out);
                }
            }
            Event::StepDown => self.step_down(now, &mut out),
            Event::Leave => {
                self.leaving = true;
                self.step_down(now, &mut out);
            }
            Event::ControlNodes(all) => {
                let voters = &self.voters;
                self.learners = all.into_iter().filter(|f| *f != self.me && !voters.contains(f)).collect();
                let next = self.last().0 + 1;
                for l in &self.learners {
                    self.next.entry(l.clone()).or_insert(next);
                }
                let (voters, learners) = (&self.voters, &self.learners);
                self.outgoing.retain(|f, _| voters.contains(f) || learners.contains(f));
            }
            Event::SetVoters(voters) => {
                let added = voters.iter().filter(|v| !self.voters.contains(v)).count();
                let removed = self.voters.iter().filter(|v| !voters.contains(v)).count();
                if self.may_change_voters() && added + removed == 1 && voters.contains(&self.me) {
                    self.append_with(now, Bytes::new(), voters, &mut out);
                }
            }
            Event::Snapshot { index, state } => self.cut(index, state, &mut out),
        }
        out
    }

    fn tick(&mut self, now: u64, out: &mut Vec<Effect>) {
        if self.role == StateRole::Leader {
            if self.contact(now) + 3 * self.timing.election < now {
                self.become_follower(now, out);
            } else if now >= self.beat_at {
                self.broadcast(now, out);
            }
        } else if now >= self.election_at && self.is_voter() {
            self.wait_again(now);
            if self.hard.may_vote && !self.leaving {
                self.campaign(now, true, false, out);
            }
        } else if self.blank && now >= self.blank_at && self.is_voter() && self.hard.may_vote && !self.leaving {
            // All may have ended at once: then nobody counts on a leader, and there is
            // nothing to wait for.
            self.blank_at = now + self.timing.election / 8 + self.dice % (self.timing.election / 8).max(1);
            self.campaign(now, true, false, out);
        }
    }

    fn campaign(&mut self, now: u64, pre_vote: bool, named: bool, out: &mut Vec<Effect>) {
        self.votes.clear();
        self.votes.insert(self.me.clone());
        self.ballot = self.ballot.wrapping_add(1).max(1);
        let mut m = self.message(RaftMessageKind::RequestVote);
        m.round = self.ballot;
        if pre_vote {
            self.blanks.clear();
            self.role = StateRole::PreCandidate;
            m.term = self.hard.term + 1;
        } else {
            self.role = StateRole::Candidate;
            // Votes count until then and no longer: a voter that loses its disk may
            // forget its vote, and does not vote again before that.
            self.wait_again(now);
            self.hard.term += 1;
            self.hard.voted_for = self.me.clone();
            self.leader.clear();
            out.push(Effect::Save(Save { hard: Some(self.hard.clone()), ..Save::default() }));
            m.term = self.hard.term;
        }
        (m.index, m.log_term) = self.last();
        m.pre_vote = pre_vote;
        m.ok = named;
        for v in self.voters.iter().filter(|v| **v != self.me) {
            out.push(Effect::Send(v.clone(), m.clone()));
        }
        self.count_votes(now, out);
    }

    fn count_votes(&mut self, now: u64, out: &mut Vec<Effect>) {
        if self.votes.len() < self.majority() {
            return;
        }
        match self.role {
            // One that just came back may have answered a leader right before it ended:
            // for as long as that counts, its own vote is no more to be had than for
            // others.
            StateRole::PreCandidate if now < self.heard + self.timing.election => {}
            StateRole::PreCandidate => self.campaign(now, false, false, out),
            StateRole::Candidate => {
                self.role = StateRole::Leader;
                self.blank = false;
                self.leader = self.me.clone();
                let next = self.last().0 + 1;
                self.gone_back.clear();
                self.next = self.voters.iter().chain(&self.learners).map(|v| (v.clone(), next)).collect();
                self.matched.clear();
                self.outgoing.clear();
                self.sent.clear();
                self.waiting.clear();
                self.granted.clear();
                self.answered = self.voters.iter().map(|v| (v.clone(), now)).collect();
                out.push(Effect::BecameLeader);
                // An entry of its own term, so that older ones can count as held.
                // It names the voters anew, for those who hold no earlier entry.
                let voters = self.voters.clone();
                self.append_with(now, Bytes::new(), voters, out);
            }
            _ => {}
        }
    }

    fn become_follower(&mut self, now: u64, out: &mut Vec<Effect>) {
        if self.role == StateRole::Leader {
            out.push(Effect::SteppedDown);
        }
        self.role = StateRole::Follower;
        self.leader.clear();
        self.outgoing.clear();
        self.wait_again(now);
    }

    fn step_down(&mut self, now: u64, out: &mut Vec<Effect>) {
        if self.role != StateRole::Leader {
            return;
        }
        let best = self.voters.iter().filter(|v| **v != self.me && !self.waiting.contains_key(*v)).max_by_key(|v| {
            let held = (self.matched.get(*v).copied().unwrap_or(0), self.answered.get(*v).copied().unwrap_or(0));
            (!self.departing.contains(*v), held)
        });
        if let Some(to) = best.cloned() {
            let m = self.message(RaftMessageKind::TimeoutNow);
            out.push(Effect::Send(to, m));
        }
        self.become_follower(now, out);
        self.election_at = now + 8 * self.timing.election;
    }

    fn append(&mut self, now: u64, data: Bytes, out: &mut Vec<Effect>) {
        self.append_with(now, data, Vec::new(), out);
    }

    fn append_with(&mut self, now: u64, data: Bytes, voters: Vec<String>, out: &mut Vec<Effect>) {
        let e = RaftEntry { index: self.last().0 + 1, term: self.hard.term, data, voters };
        out.push(Effect::Proposed(e.index, e.term));
        if !e.voters.is_empty() {
            // In force from here on, committed or not.
            self.learners.retain(|l| !e.voters.contains(l));
            (self.voters, self.voters_at) = (e.voters.clone(), e.index);
        }
        self.log.push(e.clone());
        // Others are told first: their disks work while this one does.
        self.broadcast(now, out);
        out.push(Effect::Save(Save { put: vec![e], ..Save::default() }));
        self.advance(out);
    }

    fn broadcast(&mut self, now: u64, out: &mut Vec<Effect>) {
        self.beat_at = now + self.timing.beat;
        self.round += 1;
        self.sent.insert(self.round, now);
        self.sent.remove(&self.round.saturating_sub(256));
        for v in self.voters.iter().chain(&self.learners).cloned().collect::<Vec<_>>() {
            if v != self.me {
                self.send_log(&v, out);
            }
        }
    }

    fn send_log(&mut self, to: &str, out: &mut Vec<Effect>) {
        let next = self.next.get(to).copied().unwrap_or(1);
        let mut m = self.message(RaftMessageKind::Append);
        m.round = self.round;
        m.commit = self.commit;
        if next <= self.hard.base || self.outgoing.contains_key(to) {
            self.send_piece(to, m, out);
            return;
        }
        m.index = next - 1;
        m.log_term = self.term_at(next - 1).unwrap_or(0);
        let from = (next - self.hard.base - 1) as usize;
        // Bounded by bytes too: an entry may hold a whole configuration.
        let mut bytes = 0;
        let lacks = &self.log[from.min(self.log.len())..];
        let fits = lacks.iter().take(64).take_while(|e| {
            let first = bytes == 0;
            bytes += e.data.len() + 64;
            first || bytes <= APPEND_BYTES
        });
        m.entries = fits.cloned().collect();
        // Sent once; a refusal or a lost answer brings it back.
        self.next.insert(to.into(), next + m.entries.len() as u64);
        out.push(Effect::Send(to.into(), m));
    }

    /// One piece of a snapshot; once that is sent, an empty one as a beat, which the
    /// other side answers with what it holds.
    fn send_piece(&mut self, to: &str, mut m: RaftMessage, out: &mut Vec<Effect>) {
        if !self.outgoing.contains_key(to) {
            let digest = self.digest.get_or_insert_with(|| digest_of(&self.state)).clone();
            let (index, term) = (self.hard.base, self.hard.base_term);
            let (voters, state) = (self.hard.voters.clone(), self.state.clone());
            telemetry::count("raft_snapshots_sent");
            self.outgoing.insert(to.into(), Outgoing { index, term, voters, state, digest, held: 0, sent: 0 });
        }
        let round = self.round;
        let Some(o) = self.outgoing.get_mut(to) else { return };
        m.kind = RaftMessageKind::InstallSnapshot as i32;
        (m.index, m.log_term) = (o.index, o.term);
        m.voters.clone_from(&o.voters);
        m.digest = o.digest.clone();
        (m.offset, m.total) = (o.held, o.state.len() as u64);
        if o.sent == 0 {
            let from = o.held as usize;
            m.state = o.state.slice(from..(from + APPEND_BYTES).min(o.state.len()));
            o.sent = round;
        }
        out.push(Effect::Send(to.into(), m));
    }

    /// What the other side holds of the snapshot on its way to it.
    fn snapshot_acked(&mut self, now: u64, m: RaftMessage, out: &mut Vec<Effect>) {
        if self.role != StateRole::Leader || m.term != self.hard.term {
            return;
        }
        if m.readmit {
            self.waiting.entry(m.from.clone()).or_insert(now);
        }
        self.hear_answer(&m);
        let Some(o) = self.outgoing.get_mut(&m.from).filter(|o| o.index == m.index) else { return };
        if m.offset > o.state.len() as u64 {
            telemetry::count("raft_refused");
            return;
        }
        // Frames of one connection come in order: what was asked later than the piece
        // was sent, and is answered without it, was answered by one that lost it.
        if m.offset > o.held || (o.sent > 0 && m.round > o.sent) {
            o.held = m.offset;
            o.sent = 0;
            let mut next = self.message(RaftMessageKind::InstallSnapshot);
            next.round = self.round;
            next.commit = self.commit;
            self.send_piece(&m.from, next, out);
        }
    }

    /// When the round was sent that this answers.
    fn hear_answer(&mut self, m: &RaftMessage) {
        if let Some(at) = self.sent.get(&m.round) {
            let a = self.answered.entry(m.from.clone()).or_insert(0);
            *a = (*a).max(*at);
        }
    }

    fn advance(&mut self, out: &mut Vec<Effect>) {
        if self.role == StateRole::Leader {
            let last = self.last().0;
            let mut held: Vec<u64> = self
                .voters
                .iter()
                .filter(|v| self.counts(v))
                .map(|v| if *v == self.me { last } else { self.matched.get(v).copied().unwrap_or(0) })
                .collect();
            held.sort_unstable_by(|a, b| b.cmp(a));
            let n = held.get(self.majority() - 1).copied().unwrap_or(0);
            if n > self.commit && self.term_at(n) == Some(self.hard.term) {
                self.commit = n;
                // The others are told with the next tick and not the next beat: what
                // is committed may be a new owner, and its own control node tells it.
                self.beat_at = 0;
            }
        }
        while self.applied < self.commit {
            let Some(e) = self.entry(self.applied + 1).cloned() else { break };
            self.applied += 1;
            out.push(Effect::Apply(e));
        }
    }

    fn receive(&mut self, now: u64, m: RaftMessage, out: &mut Vec<Effect>) {
        let kind = RaftMessageKind::try_from(m.kind).unwrap_or(RaftMessageKind::None);
        if !self.plausible(kind, &m) {
            telemetry::count("raft_refused");
            return;
        }
        if kind == RaftMessageKind::RequestVote {
            self.asked(now, m, out);
            return;
        }
        if kind == RaftMessageKind::Vote && m.round != self.ballot {
            // To an earlier campaign, perhaps of a former incarnation.
            telemetry::count("raft_late_votes");
            if m.term <= self.hard.term || m.pre_vote {
                return;
            }
        }
        if m.pre_vote {
            if self.role == StateRole::PreCandidate && m.term == self.hard.term + 1 {
                if !m.ok && m.log_term > self.hard.term {
                    // With the lower one it would be refused by this voter for ever, and
                    // may be the only one whose log a majority can follow.
                    self.hard.term = m.log_term;
                    self.hard.voted_for.clear();
                    out.push(Effect::Save(Save { hard: Some(self.hard.clone()), ..Save::default() }));
                    self.become_follower(now, out);
                    return;
                }
                if m.blank {
                    self.blanks.insert(m.from.clone(), m.index > 0);
                }
                if m.ok {
                    self.votes.insert(m.from);
                    self.count_votes(now, out);
                }
                let others: Vec<&String> = self.voters.iter().filter(|v| **v != self.me).collect();
                let willing = others.iter().filter(|v| self.blanks.get(**v) == Some(&true)).count();
                if self.role == StateRole::PreCandidate
                    && self.blank
                    && others.iter().all(|v| self.blanks.contains_key(*v))
                    && willing + 1 >= self.majority()
                {
                    // Every voter is in a new incarnation, the last leader among them.
                    self.campaign(now, false, true, out);
                }
            }
            return;
        }
        if m.term > self.hard.term {
            self.hard.term = m.term;
            self.hard.voted_for.clear();
            out.push(Effect::Save(Save { hard: Some(self.hard.clone()), ..Save::default() }));
            self.become_follower(now, out);
        }
        match kind {
            RaftMessageKind::Vote
                if m.ok
                    && m.term == self.hard.term
                    && m.round == self.ballot
                    && now < self.election_at
                    && self.role == StateRole::Candidate =>
            {
                self.votes.insert(m.from);
                self.count_votes(now, out);
            }
            RaftMessageKind::Append | RaftMessageKind::InstallSnapshot => self.appended(now, m, kind, out),
            RaftMessageKind::AppendAck => self.acked(now, m, out),
            RaftMessageKind::SnapshotAck => self.snapshot_acked(now, m, out),
            RaftMessageKind::TimeoutNow
                if m.term == self.hard.term && self.hard.may_vote && self.is_voter() && !self.leaving =>
            {
                self.campaign(now, false, true, out);
            }
            _ => {}
        }
    }

    fn asked(&mut self, now: u64, m: RaftMessage, out: &mut Vec<Effect>) {
        let followed = self.role == StateRole::Leader || now < self.heard + self.timing.election;
        let mut r = self.message(RaftMessageKind::Vote);
        r.pre_vote = m.pre_vote;
        r.round = m.round;
        let newer = (m.log_term, m.index) >= (self.last().1, self.last().0);
        let known = self.voters.contains(&m.from);
        if !known && (m.log_term, m.index) <= (self.last().1, self.last().0) {
            telemetry::count("raft_strangers");
            return;
        }
        // One with a newer log may be a voter by an entry that is not here yet. It is
        // given a vote like any other, but nobody named it a successor.
        if m.pre_vote {
            r.term = m.term;
            r.ok = !followed && newer && m.term > self.hard.term && self.hard.may_vote;
            r.blank = self.blank && self.role != StateRole::Leader;
            r.index = u64::from(newer && self.hard.may_vote);
            r.log_term = self.hard.term;
            out.push(Effect::Send(m.from, r));
            return;
        }
        if followed && !(m.ok && known) {
            return;
        }
        if m.term > self.hard.term {
            self.hard.term = m.term;
            self.hard.voted_for.clear();
            self.become_follower(now, out);
        }
        r.term = self.hard.term;
        let free = self.hard.voted_for.is_empty() || self.hard.voted_for == m.from;
        r.ok = m.term == self.hard.term && free && newer && self.hard.may_vote;
        if r.ok {
            self.hard.voted_for = m.from.clone();
            self.wait_again(now);
        }
        out.push(Effect::Save(Save { hard: Some(self.hard.clone()), ..Save::default() }));
        out.push(Effect::Send(m.from, r));
    }

    fn appended(&mut self, now: u64, m: RaftMessage, kind: RaftMessageKind, out: &mut Vec<Effect>) {
        let mut r = self.message(RaftMessageKind::AppendAck);
        r.round = m.round;
        if m.term < self.hard.term {
            telemetry::count("raft_stale");
            out.push(Effect::Send(m.from, r));
            return;
        }
        if self.role != StateRole::Follower {
            self.become_follower(now, out);
        }
        self.leader = m.from.clone();
        self.blank = false;
        self.heard = now;
        self.wait_again(now);
        let mut save = Save::default();
        if self.incoming.as_ref().is_some_and(|i| i.index <= self.commit) {
            self.incoming = None;
        }
        if kind == RaftMessageKind::InstallSnapshot && m.index > self.commit {
            let Some(state) = self.take_piece(&m) else {
                r.kind = RaftMessageKind::SnapshotAck as i32;
                r.index = m.index;
                r.offset = self.incoming.as_ref().map_or(0, |i| i.state.len() as u64);
                r.readmit = !self.hard.may_vote;
                out.push(Effect::Send(m.from, r));
                return;
            };
            let last = self.last().0;
            // What it holds behind the snapshot's last entry stands, if that entry is its
            // own: others may count on it.
            let keeps = self.term_at(m.index) == Some(m.log_term);
            save.del = Some((self.hard.base + 1, if keeps { m.index } else { last }));
            if keeps {
                self.log.drain(..(m.index - self.hard.base) as usize);
            } else {
                self.log.clear();
            }
            self.hard.base = m.index;
            self.hard.base_term = m.log_term;
            self.hard.voters = m.voters.clone();
            self.state = state.clone();
            self.digest = Some(m.digest.clone());
            self.commit = m.index;
            self.applied = m.index;
            save.hard = Some(self.hard.clone());
            save.state = Some(state.clone());
            telemetry::count("raft_snapshots_taken");
            out.push(Effect::Restore(state));
        }
        let joins = m.index < self.hard.base || self.term_at(m.index) == Some(m.log_term);
        r.ok = joins;
        // Whoever was given a vote that this disk lost counts votes for two election
        // times at the most; a third is for what clocks differ.
        let over = now >= self.born + 3 * self.timing.election;
        if m.readmit && joins && m.offset == self.asks_as && over && !self.hard.may_vote {
            self.hard.may_vote = true;
            save.hard = Some(self.hard.clone());
        }
        if joins {
            let mut held = m.index.max(self.hard.base);
            for e in m.entries {
                if e.index <= self.hard.base {
                    continue;
                }
                match self.term_at(e.index) {
                    Some(t) if t == e.term => {}
                    Some(_) => {
                        let last = self.last().0;
                        save.del = Some((e.index, last));
                        self.log.truncate((e.index - self.hard.base - 1) as usize);
                        self.log.push(e.clone());
                        save.put.push(e.clone());
                    }
                    None => {
                        self.log.push(e.clone());
                        save.put.push(e.clone());
                    }
                }
                held = held.max(e.index);
            }
            if save.del.is_some() || save.put.iter().any(|e| !e.voters.is_empty()) {
                self.count_voters();
            }
            r.index = held;
            self.commit = self.commit.max(m.commit.min(held));
        } else {
            r.index = self.commit;
        }
        r.readmit = !self.hard.may_vote;
        r.offset = if r.readmit { self.asks_as } else { 0 };
        if save.hard.is_some() || !save.put.is_empty() || save.del.is_some() {
            out.push(Effect::Save(save));
        }
        out.push(Effect::Send(m.from, r));
        self.advance(out);
    }

    /// Takes one piece of a snapshot; the whole, if this was the last one.
    fn take_piece(&mut self, m: &RaftMessage) -> Option<Bytes> {
        let end = m.offset.checked_add(m.state.len() as u64);
        if m.total > self.snapshot_limit || m.digest.len() != 32 || end.is_none_or(|e| e > m.total) {
            telemetry::count("raft_refused");
            return None;
        }
        let same =
            |i: &Incoming| i.index == m.index && i.term == m.log_term && i.total == m.total && i.digest == m.digest;
        if !self.incoming.as_ref().is_some_and(same) {
            let (index, term, digest, total) = (m.index, m.log_term, m.digest.clone(), m.total);
            self.incoming = Some(Incoming { index, term, digest, total, state: Vec::new() });
        }
        let i = self.incoming.as_mut()?;
        if m.offset == i.state.len() as u64 {
            i.state.extend_from_slice(&m.state);
        }
        if (i.state.len() as u64) < i.total {
            return None;
        }
        let whole = self.incoming.take()?;
        if digest_of(&whole.state) != whole.digest {
            telemetry::count("raft_snapshots_refused");
            return None;
        }
        Some(whole.state.into())
    }

    /// Whether a message can be one of a control node that works as this one does. What is
    /// not changes nothing here, whatever it says.
    fn plausible(&self, kind: RaftMessageKind, m: &RaftMessage) -> bool {
        let known = |index: u64| index < u64::MAX / 2;
        let voters = |v: &[String]| {
            let different: HashSet<&String> = v.iter().collect();
            v.len() <= MOST_VOTERS && different.len() == v.len() && v.iter().all(|n| !n.is_empty())
        };
        let entries = || {
            let (mut index, mut term) = (m.index, m.log_term);
            m.entries.iter().all(|e| {
                let follows = e.index == index + 1 && e.term >= term && e.term <= m.term && voters(&e.voters);
                (index, term) = (e.index, e.term);
                // What is committed here is never another one.
                follows && (e.index > self.commit || e.index <= self.hard.base || self.term_at(e.index) == Some(e.term))
            })
        };
        if m.from.is_empty() || m.from == self.me || m.term == 0 || m.term.max(m.log_term) > self.hard.term + TERM_LEAP
        {
            return false;
        }
        if !known(m.index) || !known(m.commit) || (m.log_term > m.term && kind != RaftMessageKind::Vote) {
            return false;
        }
        match kind {
            RaftMessageKind::None => false,
            RaftMessageKind::RequestVote
            | RaftMessageKind::Vote
            | RaftMessageKind::TimeoutNow
            | RaftMessageKind::SnapshotAck => true,
            RaftMessageKind::Append | RaftMessageKind::InstallSnapshot => {
                // A term has one leader.
                let another = m.term == self.hard.term
                    && (self.role == StateRole::Leader || (!self.leader.is_empty() && self.leader != m.from));
                let whole =
                    kind == RaftMessageKind::Append || (!m.voters.is_empty() && voters(&m.voters) && m.index > 0);
                !another && whole && entries()
            }
            RaftMessageKind::AppendAck => {
                m.term != self.hard.term || self.role != StateRole::Leader || m.index <= self.last().0
            }
        }
    }

    fn acked(&mut self, now: u64, m: RaftMessage, out: &mut Vec<Effect>) {
        if self.role != StateRole::Leader || m.term != self.hard.term {
            return;
        }
        if !self.voters.contains(&m.from) && !self.learners.contains(&m.from) {
            telemetry::count("raft_strangers");
            return;
        }
        if m.readmit {
            self.waiting.entry(m.from.clone()).or_insert(now);
        }
        self.hear_answer(&m);
        if self.outgoing.get(&m.from).is_some_and(|o| m.index >= o.index) {
            // It holds the snapshot, or more than that.
            self.outgoing.remove(&m.from);
            self.next.insert(m.from.clone(), m.index + 1);
        }
        if !m.ok && m.readmit {
            // An empty disk: what it held before does not count.
            self.matched.insert(m.from.clone(), m.index);
        }
        if !m.ok {
            // Many may be under way when the first is refused. Each would else bring
            // back the whole of what is lacking, and the next refusal with it.
            if self.gone_back.get(&m.from).is_some_and(|r| m.round <= *r) {
                telemetry::count("raft_refusals_known");
                return;
            }
            self.gone_back.insert(m.from.clone(), self.round);
            if !self.outgoing.contains_key(&m.from) {
                self.next.insert(m.from.clone(), m.index + 1);
                self.send_log(&m.from, out);
            }
            return;
        }
        let old = self.matched.insert(m.from.clone(), m.index).unwrap_or(0);
        let last = self.last().0;
        if m.index < last && m.index >= old && self.next.get(&m.from).is_none_or(|n| *n <= m.index || *n > last + 1) {
            self.next.insert(m.from.clone(), m.index + 1);
        }
        if m.index < last && self.next.get(&m.from) == Some(&(m.index + 1)) {
            // It holds all that it was sent: the next piece without waiting for a beat.
            self.send_log(&m.from, out);
        }
        if m.readmit {
            self.readmit(now, &m, out);
        } else {
            self.waiting.remove(&m.from);
        }
        self.advance(out);
    }

    /// One that lost its disk votes again once it holds the whole log, and every
    /// other voter that a majority needs has followed this leader since it asked:
    /// no vote or entry that it forgot can matter then.
    fn readmit(&mut self, now: u64, m: &RaftMessage, out: &mut Vec<Effect>) {
        let since = self.waiting.get(&m.from).copied().unwrap_or(now);
        let vouches =
            |v: &&String| **v == self.me || (self.counts(v) && self.answered.get(*v).is_some_and(|a| *a > since));
        let others = self.voters.iter().filter(vouches).count();
        // Once a round: it may have to wait for longer than an answer takes.
        let told = self.granted.get(&m.from).is_some_and(|r| m.round <= *r);
        if m.index >= self.commit && others >= self.majority() && !told {
            self.granted.insert(m.from.clone(), self.round);
            let mut r = self.message(RaftMessageKind::Append);
            r.readmit = true;
            // To the incarnation that asked, and to no later one of the same disk.
            r.offset = m.offset;
            r.round = self.round;
            r.index = m.index;
            r.log_term = self.term_at(m.index).unwrap_or(0);
            r.commit = self.commit;
            out.push(Effect::Send(m.from.clone(), r));
        }
    }

    fn cut(&mut self, index: u64, state: Bytes, out: &mut Vec<Effect>) {
        if index <= self.hard.base || index > self.applied {
            return;
        }
        let Some(term) = self.term_at(index) else { return };
        let from = self.hard.base + 1;
        let cut = self.log.drain(..(index - self.hard.base) as usize);
        if let Some(e) = cut.rev().find(|e| !e.voters.is_empty()) {
            self.hard.voters = e.voters;
        }
        self.hard.base = index;
        self.hard.base_term = term;
        self.state = state.clone();
        self.digest = None;
        let (hard, state) = (Some(self.hard.clone()), Some(state));
        out.push(Effect::Save(Save { hard, state, put: Vec::new(), del: Some((from, index)) }));
    }

    /// Entries that could be cut away.
    pub fn length(&self) -> usize {
        self.log.len()
    }

    /// Bytes of the entries that could be cut away.
    pub fn weight(&self) -> usize {
        self.log.iter().take_while(|e| e.index <= self.applied).map(|e| e.data.len()).sum()
    }

    pub fn applied(&self) -> u64 {
        self.applied
    }
}
