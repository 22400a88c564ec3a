//! The planned move, by stage and splice: candidate, epoch records and their
//! comparison, grant, stop marker.

use super::*;

impl PartitionReplica {
    /// Begins a planned move.
    pub fn start_move(&mut self, candidate: &str, leaving: bool, at_ms: u64, now: u64, out: &mut Vec<Effect>) {
        if self.role != ReplicaRole::Owner || self.moving.is_some() || !self.in_sync.iter().any(|n| n == candidate) {
            return;
        }
        self.moving = Some(Move { candidate: candidate.into(), leaving, began: now, phase: Phase::Verify });
        let stage = Entry::Stage(Stage { candidate: candidate.into() });
        self.append(&Record { at_ms, entry: Some(stage) }, now, out);
        self.write_epoch(at_ms, now, out);
        self.flush(now, out);
        self.step_move(now, out);
    }

    pub(super) fn write_epoch(&mut self, at_ms: u64, now: u64, out: &mut Vec<Effect>) {
        let epoch = Entry::Epoch(Epoch { position: self.state.position, digest: self.state.digest() });
        if let Some(pos) = self.append(&Record { at_ms, entry: Some(epoch) }, now, out) {
            self.epochs.insert(pos, now);
            while self.epochs.len() > 64 {
                self.epochs.pop_first();
            }
        }
        self.last_epoch = self.end();
    }

    /// A match is fresh when its epoch was written within two windows, and real
    /// when matches have been unbroken over at least one.
    pub(super) fn proven(&self, candidate: &str, now: u64) -> bool {
        let Some(p) = self.peers.get(candidate) else { return false };
        if p.mismatch || p.verified == 0 {
            return false;
        }
        // Of the unbroken run, what this owner itself wrote counts.
        let first = self.epochs.range(p.verified_from..=p.verified).next().map(|(_, t)| t);
        let (Some(last), Some(first)) = (self.epochs.get(&p.verified), first) else {
            return false;
        };
        now.saturating_sub(*last) <= 2 * self.timing.match_window_ms.max(self.timing.epoch_interval_ms)
            && last.saturating_sub(*first) >= self.timing.match_window_ms
    }

    pub(super) fn step_move(&mut self, now: u64, out: &mut Vec<Effect>) {
        let Some(m) = self.moving.clone() else { return };
        if self.role != ReplicaRole::Owner {
            return;
        }
        match m.phase {
            Phase::Verify => {
                if !self.in_sync.contains(&m.candidate) {
                    self.moving = None;
                } else if self.proven(&m.candidate, now) {
                    self.set_phase(Phase::Granting { asked: now });
                    self.ask_grant(&m, out);
                }
            }
            Phase::Granting { asked } => {
                if now > asked + self.timing.resend_ms {
                    self.set_phase(Phase::Granting { asked: now });
                    self.ask_grant(&m, out);
                }
            }
            Phase::Stopping { term, in_sync } => {
                // All that was taken is committed; nothing is taken any more.
                if self.commit == self.end() {
                    let splice = self.end() + 1;
                    let stop = Entry::Stop(Stop { splice, term, candidate: m.candidate, in_sync });
                    // The seam itself has no time: what is folded has it from records before.
                    self.put(&Record { at_ms: 0, entry: Some(stop) }, now, out);
                    self.set_phase(Phase::Marked { at: splice });
                    self.flush(now, out);
                    self.advance(now, out);
                }
            }
            Phase::Marked { at } => {
                if self.commit >= at {
                    telemetry::count("splices_marked");
                    telemetry::change!("partition {} stopped at {at} for {}", self.id, m.candidate);
                    let names: Vec<String> = self.peers.keys().cloned().collect();
                    for n in names {
                        self.send_to(&n, now, true, out);
                    }
                    self.role = ReplicaRole::Follower;
                    self.owner = m.candidate.clone();
                    self.moving = None;
                    self.joining.clear();
                    out.push(Effect::SteppedDown(m.candidate));
                }
            }
        }
    }

    pub(super) fn set_phase(&mut self, phase: Phase) {
        if let Some(m) = &mut self.moving {
            m.phase = phase;
        }
    }

    pub(super) fn ask_grant(&self, m: &Move, out: &mut Vec<Effect>) {
        out.push(Effect::SubmitOrder(Order {
            partition: self.id,
            term: self.term,
            node: m.candidate.clone(),
            kind: OrderKind::Grant as i32,
            leaving: if m.leaving { self.me.clone() } else { String::new() },
            ..Order::default()
        }));
    }

    pub(super) fn compare(&mut self, pos: u64, at: u64, digest: u64, out: &mut Vec<Effect>) {
        let Some((_, mine)) = self.digests.iter().rev().find(|(p, _)| *p == at) else { return };
        if *mine == digest {
            if self.verified == 0 {
                self.verified_from = pos;
            }
            self.verified = pos;
            telemetry::count("epochs_matched");
        } else {
            self.verified = 0;
            self.verified_from = 0;
            self.mismatch = true;
            telemetry::count("epochs_mismatched");
            out.push(Effect::DigestMismatch(at));
        }
    }
}
