//! What a delivery node holds, and which runs it takes: a state machine without I/O.
//! Its clock is in milliseconds.

use rpc::messages::{Held, Holding, Run};
use std::collections::HashMap;

/// What becomes of a run that was asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunDecision {
    /// It is to be sent.
    Send,
    /// It is under way, or its report is.
    Held,
    /// It will never be sent from here by this ask.
    Refused,
}

pub struct Outbox {
    /// The highest term that spoke for a partition; older ones are refused.
    terms: HashMap<u32, u64>,
    /// Deliveries under way, and those whose report nobody has taken yet: term and
    /// attempt, by partition and position.
    held: HashMap<(u32, u64), (u64, u64)>,
    /// Attempts that were given up before they came: partition, term, attempt, and
    /// until when they are remembered.
    revoked: HashMap<(u32, u64, u64), u64>,
    quiet: u64,
    remember: u64,
    beat: u64,
    /// Frames that are read before that may have lain here while this process stood still.
    wary: u64,
}

impl Outbox {
    /// `quiet` is `quietMs`; what was given up is remembered for `remember`.
    pub fn new(quiet: u64, remember: u64) -> Outbox {
        let (terms, held, revoked) = Default::default();
        Outbox { terms, held, revoked, quiet, remember, beat: 0, wary: 0 }
    }

    pub fn under_way(&self) -> usize {
        self.held.len()
    }

    /// Wants to be called every fortieth of `quietMs`: a longer gap means that the
    /// process stood still. Whoever asked for a run gives it up after an eighth of it.
    pub fn beat(&mut self, now: u64) {
        if now > self.beat + self.quiet / 40 + self.quiet / 12 {
            telemetry::count("stood_still");
            self.wary = now + self.quiet / 100;
        }
        self.beat = now;
        if !self.revoked.is_empty() {
            self.revoked.retain(|_, until| *until > now);
        }
    }

    /// A run is asked for, or given up. `assignments` is the partition's term as far as
    /// this node knows; a process that has just begun was told none by an owner.
    pub fn run(&mut self, r: &Run, assignments: Option<u64>, leaving: bool, now: u64) -> RunDecision {
        if now > self.beat + self.quiet / 40 + self.quiet / 12 {
            self.beat(now);
        }
        let known = self.terms.get(&r.partition).copied().max(assignments);
        if known.is_none_or(|t| r.term < t) {
            telemetry::count("runs_fenced");
            return RunDecision::Refused;
        }
        self.terms.insert(r.partition, r.term);
        match self.held.get(&(r.partition, r.position)) {
            Some(held) if *held == (r.term, r.attempt) => return RunDecision::Held,
            // One message is never sent twice at once from here.
            Some(_) if !r.revoked => {
                telemetry::count("runs_refused");
                return RunDecision::Refused;
            }
            _ => {}
        }
        let name = (r.partition, r.term, r.attempt);
        if r.revoked {
            self.revoked.insert(name, now + self.remember);
            return RunDecision::Refused;
        }
        if leaving || now < self.wary || self.revoked.contains_key(&name) {
            telemetry::count("runs_refused");
            return RunDecision::Refused;
        }
        self.held.insert((r.partition, r.position), (r.term, r.attempt));
        RunDecision::Send
    }

    /// A new owner asks what is held here.
    pub fn holding(&mut self, q: &Holding) -> Held {
        let term = self.terms.entry(q.partition).or_insert(0);
        *term = (*term).max(q.term);
        let mut held = Held::default();
        for ((partition, position), (term, attempt)) in &self.held {
            if *partition == q.partition {
                held.positions.push(*position);
                held.attempts.push(*attempt);
                held.terms.push(*term);
            }
        }
        held
    }

    /// The report of a delivery was taken.
    pub fn over(&mut self, partition: u32, position: u64) {
        self.held.remove(&(partition, position));
    }
}
