//! Deliveries held by a delivery node, and the rules by which it accepts runs. A state machine
//! without I/O; all times are in milliseconds.

use rpc::messages::{Held, Holding, Run};
use std::collections::HashMap;

/// Decision on a requested run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunDecision {
    /// The run is to be sent to its processor.
    Send,
    /// This attempt is in progress already, or its report is.
    Held,
    /// This node will never send the run because of this request.
    Refused,
}

/// Deliveries held by this node.
pub struct Outbox {
    /// Highest term seen for each partition; requests of older terms are refused.
    terms: HashMap<u32, u64>,
    /// Deliveries in progress, and those whose report no owner has acknowledged yet: term and attempt,
    /// by partition and position.
    held: HashMap<(u32, u64), (u64, u64)>,
    /// Attempts that were revoked before their run arrived, by partition, term and attempt, with the
    /// time at which the entry expires.
    revoked: HashMap<(u32, u64, u64), u64>,
    quiet_ms: u64,
    revocation_ttl_ms: u64,
    last_tick: u64,
    /// Runs received before this time are refused: their frames may have been queued while the process
    /// was stalled.
    refuse_until: u64,
}

impl Outbox {
    /// `quiet_ms` is the constraint `quietMs`; revocations are kept for `revocation_ttl_ms`.
    pub fn new(quiet_ms: u64, revocation_ttl_ms: u64) -> Outbox {
        let (terms, held, revoked) = Default::default();
        Outbox { terms, held, revoked, quiet_ms, revocation_ttl_ms, last_tick: 0, refuse_until: 0 }
    }

    /// Number of deliveries held.
    pub fn held_count(&self) -> usize {
        self.held.len()
    }

    /// To be called every `quietMs` / 40. A gap that is longer by more than `quietMs` / 12 means that
    /// the process was stalled. Owners give up an unanswered run request after `quietMs` / 8, so runs
    /// received right after a stall are refused.
    pub fn tick(&mut self, now: u64) {
        if now > self.last_tick + self.quiet_ms / 40 + self.quiet_ms / 12 {
            telemetry::count("stood_still");
            self.refuse_until = now + self.quiet_ms / 100;
        }
        self.last_tick = now;
        if !self.revoked.is_empty() {
            self.revoked.retain(|_, until| *until > now);
        }
    }

    /// Handles a request to run an attempt, or its revocation if `request.revoked` is set.
    /// `assigned_term` is the partition's term in the assignments known to this node; a process that
    /// has just started has not learned of any term from an owner.
    pub fn request_run(&mut self, request: &Run, assigned_term: Option<u64>, leaving: bool, now: u64) -> RunDecision {
        if now > self.last_tick + self.quiet_ms / 40 + self.quiet_ms / 12 {
            self.tick(now);
        }
        let newest_term = self.terms.get(&request.partition).copied().max(assigned_term);
        if newest_term.is_none_or(|term| request.term < term) {
            telemetry::count("runs_fenced");
            return RunDecision::Refused;
        }
        self.terms.insert(request.partition, request.term);
        match self.held.get(&(request.partition, request.position)) {
            Some(held) if *held == (request.term, request.attempt) => return RunDecision::Held,
            // This node never runs two deliveries of one message concurrently.
            Some(_) if !request.revoked => {
                telemetry::count("runs_refused");
                return RunDecision::Refused;
            }
            _ => {}
        }
        let attempt = (request.partition, request.term, request.attempt);
        if request.revoked {
            self.revoked.insert(attempt, now + self.revocation_ttl_ms);
            return RunDecision::Refused;
        }
        if leaving || now < self.refuse_until || self.revoked.contains_key(&attempt) {
            telemetry::count("runs_refused");
            return RunDecision::Refused;
        }
        self.held.insert((request.partition, request.position), (request.term, request.attempt));
        RunDecision::Send
    }

    /// Returns the deliveries of a partition that are held here, as requested by a new owner. Requests
    /// of older terms are refused from then on.
    pub fn held_deliveries(&mut self, query: &Holding) -> Held {
        let term = self.terms.entry(query.partition).or_insert(0);
        *term = (*term).max(query.term);
        let mut held = Held::default();
        for ((partition, position), (term, attempt)) in &self.held {
            if *partition == query.partition {
                held.positions.push(*position);
                held.attempts.push(*attempt);
                held.terms.push(*term);
            }
        }
        held
    }

    /// Releases a delivery, once its report was acknowledged or dropped.
    pub fn release(&mut self, partition: u32, position: u64) {
        self.held.remove(&(partition, position));
    }
}
