//! Planned moves of ownership: candidate, epoch records and their comparison, grant, stop marker.

use super::*;

impl PartitionReplica {
    /// Starts a planned move of ownership to an in-sync follower. `leaving`: this node leaves the
    /// in-sync set with it.
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

    /// Whether the candidate's last digest match is recent (its epoch record is no older than twice the
    /// match window or the epoch interval, whichever is longer) and matches have been unbroken for at
    /// least the match window.
    pub(super) fn is_verified(&self, candidate: &str, now: u64) -> bool {
        let Some(peer) = self.peers.get(candidate) else { return false };
        if peer.mismatch || peer.verified == 0 {
            return false;
        }
        // Only epoch records written by this owner count.
        let first = self.epoch_times.range(peer.verified_from..=peer.verified).next().map(|(_, t)| t);
        let (Some(last), Some(first)) = (self.epoch_times.get(&peer.verified), first) else {
            return false;
        };
        now.saturating_sub(*last) <= 2 * self.timing.match_window_ms.max(self.timing.epoch_interval_ms)
            && last.saturating_sub(*first) >= self.timing.match_window_ms
    }

    pub(super) fn advance_move(&mut self, now: u64, out: &mut Vec<Effect>) {
        let Some(planned) = self.planned_move.clone() else { return };
        if self.role != ReplicaRole::Owner {
            return;
        }
        match planned.phase {
            Phase::Verifying => {
                if !self.in_sync.contains(&planned.candidate) {
                    self.planned_move = None;
                } else if self.is_verified(&planned.candidate, now) {
                    self.set_phase(Phase::RequestingGrant { requested_at: now });
                    self.request_grant(&planned, out);
                }
            }
            Phase::RequestingGrant { requested_at } => {
                if now > requested_at + self.timing.resend_ms {
                    self.set_phase(Phase::RequestingGrant { requested_at: now });
                    self.request_grant(&planned, out);
                }
            }
            Phase::Stopping { term, in_sync } => {
                // All accepted records are committed, and no new ones are accepted.
                if self.commit == self.end() {
                    let splice = self.end() + 1;
                    let stop = Entry::Stop(Stop { splice, term, candidate: planned.candidate, in_sync });
                    // The marker carries no timestamp; the state has the time of earlier records.
                    self.append_to_log(&Record { at_ms: 0, entry: Some(stop) }, now, out);
                    self.set_phase(Phase::StopWritten { position: splice });
                    self.flush(now, out);
                    self.advance_commit(now, out);
                }
            }
            Phase::StopWritten { position } => {
                if self.commit >= position {
                    telemetry::count("splices_marked");
                    telemetry::change!("partition {} stopped at {position} for {}", self.id, planned.candidate);
                    let names: Vec<String> = self.peers.keys().cloned().collect();
                    for node in names {
                        self.send_to(&node, now, true, out);
                    }
                    self.role = ReplicaRole::Follower;
                    self.owner = planned.candidate.clone();
                    self.planned_move = None;
                    self.joining.clear();
                    out.push(Effect::SteppedDown(planned.candidate));
                }
            }
        }
    }

    pub(super) fn set_phase(&mut self, phase: Phase) {
        if let Some(planned) = &mut self.planned_move {
            planned.phase = phase;
        }
    }

    pub(super) fn request_grant(&self, planned: &PlannedMove, out: &mut Vec<Effect>) {
        out.push(Effect::SubmitOrder(Order {
            partition: self.id,
            term: self.term,
            node: planned.candidate.clone(),
            kind: OrderKind::Grant as i32,
            leaving: if planned.leaving { self.node.clone() } else { String::new() },
            ..Order::default()
        }));
    }

    pub(super) fn compare_digest(&mut self, record_position: u64, position: u64, digest: u64, out: &mut Vec<Effect>) {
        let Some((_, own_digest)) = self.digests.iter().rev().find(|(p, _)| *p == position) else { return };
        if *own_digest == digest {
            if self.verified == 0 {
                self.verified_from = record_position;
            }
            self.verified = record_position;
            telemetry::count("epochs_matched");
        } else {
            self.verified = 0;
            self.verified_from = 0;
            self.mismatch = true;
            telemetry::count("epochs_mismatched");
            out.push(Effect::DigestMismatch(position));
        }
    }
}
