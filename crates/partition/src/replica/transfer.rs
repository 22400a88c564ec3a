//! The planned move, by stage and splice: candidate, epoch records and their
//! comparison, grant, stop marker.

use super::*;

impl PartitionReplica {
    /// Begins a planned move.
    pub fn start_move(&mut self, candidate: &str, leaving: bool, at_ms: u64, now: u64, out: &mut Vec<Effect>) {
        if self.role != ReplicaRole::Owner
            || self.planned_move.is_some()
            || !self.in_sync.iter().any(|n| n == candidate)
        {
            return;
        }
        self.planned_move =
            Some(PlannedMove { candidate: candidate.into(), leaving, started_at: now, phase: Phase::Verifying });
        let stage = Entry::Stage(Stage { candidate: candidate.into() });
        self.append(&Record { at_ms, entry: Some(stage) }, now, out);
        self.write_epoch(at_ms, now, out);
        self.flush(now, out);
        self.advance_move(now, out);
    }

    pub(super) fn write_epoch(&mut self, at_ms: u64, now: u64, out: &mut Vec<Effect>) {
        let epoch = Entry::Epoch(Epoch { position: self.state.position, digest: self.state.digest() });
        if let Some(pos) = self.append(&Record { at_ms, entry: Some(epoch) }, now, out) {
            self.epoch_times.insert(pos, now);
            while self.epoch_times.len() > 64 {
                self.epoch_times.pop_first();
            }
        }
        self.last_epoch = self.end();
    }

    /// A match is fresh when its epoch was written within two windows, and real
    /// when matches have been unbroken over at least one.
    pub(super) fn is_verified(&self, candidate: &str, now: u64) -> bool {
        let Some(p) = self.peers.get(candidate) else { return false };
        if p.mismatch || p.verified == 0 {
            return false;
        }
        // Of the unbroken run, what this owner itself wrote counts.
        let first = self.epoch_times.range(p.verified_from..=p.verified).next().map(|(_, t)| t);
        let (Some(last), Some(first)) = (self.epoch_times.get(&p.verified), first) else {
            return false;
        };
        now.saturating_sub(*last) <= 2 * self.timing.match_window_ms.max(self.timing.epoch_interval_ms)
            && last.saturating_sub(*first) >= self.timing.match_window_ms
    }

    pub(super) fn advance_move(&mut self, now: u64, out: &mut Vec<Effect>) {
        let Some(m) = self.planned_move.clone() else { return };
        if self.role != ReplicaRole::Owner {
            return;
        }
        match m.phase {
            Phase::Verifying => {
                if !self.in_sync.contains(&m.candidate) {
                    self.planned_move = None;
                } else if self.is_verified(&m.candidate, now) {
                    self.set_phase(Phase::RequestingGrant { requested_at: now });
                    self.request_grant(&m, out);
                }
            }
            Phase::RequestingGrant { requested_at } => {
                if now > requested_at + self.timing.resend_ms {
                    self.set_phase(Phase::RequestingGrant { requested_at: now });
                    self.request_grant(&m, out);
                }
            }
            Phase::Stopping { term, in_sync } => {
                // All that was taken is committed; nothing is taken any more.
                if self.commit == self.end() {
                    let splice = self.end() + 1;
                    let stop = Entry::Stop(Stop { splice, term, candidate: m.candidate, in_sync });
                    // The seam itself has no time: what is folded has it from records before.
                    self.append_to_log(&Record { at_ms: 0, entry: Some(stop) }, now, out);
                    self.set_phase(Phase::StopWritten { position: splice });
                    self.flush(now, out);
                    self.advance_commit(now, out);
                }
            }
            Phase::StopWritten { position } => {
                if self.commit >= position {
                    telemetry::count("splices_marked");
                    telemetry::change!("partition {} stopped at {position} for {}", self.id, m.candidate);
                    let names: Vec<String> = self.peers.keys().cloned().collect();
                    for n in names {
                        self.send_to(&n, now, true, out);
                    }
                    self.role = ReplicaRole::Follower;
                    self.owner = m.candidate.clone();
                    self.planned_move = None;
                    self.joining.clear();
                    out.push(Effect::SteppedDown(m.candidate));
                }
            }
        }
    }

    pub(super) fn set_phase(&mut self, phase: Phase) {
        if let Some(m) = &mut self.planned_move {
            m.phase = phase;
        }
    }

    pub(super) fn request_grant(&self, m: &PlannedMove, out: &mut Vec<Effect>) {
        out.push(Effect::SubmitOrder(Order {
            partition: self.id,
            term: self.term,
            node: m.candidate.clone(),
            kind: OrderKind::Grant as i32,
            leaving: if m.leaving { self.node.clone() } else { String::new() },
            ..Order::default()
        }));
    }

    pub(super) fn compare_digest(&mut self, pos: u64, at: u64, digest: u64, out: &mut Vec<Effect>) {
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
