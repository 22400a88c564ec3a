//! Ownership: what the majority assigns, and how a term begins and ends here.

use super::*;

impl PartitionReplica {
    /// The majority's word on this partition.
    pub fn handle_assignment(&mut self, p: &Partition, now: u64, out: &mut Vec<Effect>) {
        if p.changed < self.assignment_version {
            // It came by another way than a newer one: an in-sync set that went back
            // would have commits that a member does not hold.
            telemetry::count("assignments_outdated");
            return;
        }
        self.assignment_version = p.changed;
        self.replicas.clone_from(&p.replicas);
        if p.term > self.term {
            if p.owner == self.node {
                if !p.in_sync.contains(&self.node) || p.joined_incarnation(&self.node) != self.incarnation {
                    // Said of a former incarnation, whose disk this one may not have.
                    self.become_follower(p.term, "", out);
                    return;
                }
                self.become_owner(p.term, p.in_sync.clone(), p.seized, now, out);
                self.ownership_confirmed = true;
            } else {
                self.become_follower(p.term, &p.owner, out);
            }
        } else if p.term == self.term {
            if self.role == ReplicaRole::Owner && p.owner == self.node {
                self.ownership_confirmed = true;
                if self.in_sync != p.in_sync {
                    self.in_sync.clone_from(&p.in_sync);
                    self.joining.retain(|n, _| !p.in_sync.contains(n));
                    self.advance_commit(now, out);
                }
                match &p.grant {
                    Some(g) => {
                        let stopping = Phase::Stopping { term: g.term, in_sync: g.in_sync.clone() };
                        match &mut self.planned_move {
                            Some(m) if m.candidate == g.candidate => {
                                if !matches!(m.phase, Phase::StopWritten { .. }) {
                                    m.phase = stopping;
                                }
                            }
                            _ => {
                                let candidate = g.candidate.clone();
                                self.planned_move =
                                    Some(PlannedMove { candidate, leaving: false, started_at: now, phase: stopping });
                            }
                        }
                        self.advance_move(now, out);
                    }
                    None => {
                        if matches!(&self.planned_move, Some(m) if matches!(m.phase, Phase::Stopping { .. })) {
                            // Granted by an answer that was ahead of this news.
                        }
                    }
                }
            } else if self.role == ReplicaRole::Follower && p.owner != self.node {
                self.owner.clone_from(&p.owner);
            }
        }
    }

    pub(super) fn become_owner(
        &mut self,
        term: u64,
        in_sync: Vec<String>,
        seized: bool,
        now: u64,
        out: &mut Vec<Effect>,
    ) {
        self.term = term;
        self.role = ReplicaRole::Owner;
        self.owner = self.node.clone();
        self.in_sync = in_sync;
        self.joining.clear();
        self.peers.clear();
        self.planned_move = None;
        self.epoch_times.clear();
        self.snapshot_chunks.clear();
        self.read_uncommitted_times(now);
        // Followers say themselves where they are.
        let end = self.end();
        self.takeover_end = end;
        for n in self.replicas.iter().chain(&self.in_sync).filter(|n| **n != self.node) {
            self.peers.insert(n.clone(), Peer { sent: end, last_heard: now, ..Peer::default() });
        }
        out.push(Effect::Persist { del: None, put: Vec::new(), meta: self.meta(), snapshot: None, term, end });
        out.push(Effect::BecameOwner { seized });
        let names: Vec<String> = self.peers.keys().cloned().collect();
        for n in names {
            self.send_to(&n, now, true, out);
        }
        self.advance_commit(now, out);
    }

    /// What the log holds behind the committed part may have been written in its time too.
    fn read_uncommitted_times(&mut self, now: u64) {
        for pos in self.state.position + 1..=self.end() {
            let record = self.entry(pos).and_then(|e| Record::decode(e.record.clone()).ok());
            if let Some(record) = record {
                self.clock.observe_record(record.at_ms, now);
            }
        }
    }

    pub(super) fn become_follower(&mut self, term: u64, owner: &str, out: &mut Vec<Effect>) {
        if self.role == ReplicaRole::Owner {
            out.push(Effect::SteppedDown(owner.to_owned()));
        }
        self.role = ReplicaRole::Follower;
        self.term = term;
        self.matched = self.commit;
        self.owner = owner.to_owned();
        self.planned_move = None;
        self.joining.clear();
        self.verified = 0;
        self.verified_from = 0;
    }

    /// This process goes on in another incarnation: what it owned was another's word.
    pub fn set_incarnation(&mut self, incarnation: u64, out: &mut Vec<Effect>) {
        self.incarnation = incarnation;
        if self.role == ReplicaRole::Owner {
            self.become_follower(self.term, "", out);
        }
    }

    /// The candidate saw the committed stop marker that names it.
    pub(super) fn take_over_at_stop(&mut self, now: u64, s: Stop, out: &mut Vec<Effect>) {
        telemetry::count("splices_resumed");
        telemetry::change!("partition {} spliced at {}: owner at term {}", self.id, s.splice, s.term);
        self.become_owner(s.term, s.in_sync, false, now, out);
        self.ownership_confirmed = false;
        self.request_ownership(now, out);
    }

    pub(super) fn request_ownership(&mut self, now: u64, out: &mut Vec<Effect>) {
        self.ownership_requested_at = now;
        out.push(Effect::SubmitOrder(Order {
            partition: self.id,
            term: self.term,
            node: self.node.clone(),
            kind: OrderKind::Own as i32,
            incarnation: self.incarnation,
            ..Order::default()
        }));
    }

    /// The majority's answer to something asked.
    pub fn handle_order_ack(&mut self, order: &Order, ack: &OrderAck, now: u64, out: &mut Vec<Effect>) {
        if let Some(p) = &ack.partition {
            self.handle_assignment(p, now, out);
        }
        let join = order.kind == OrderKind::Join as i32;
        if join
            && !ack.ok
            && !ack.refused
            && order.seen != self.assignment_version
            && self.joining.contains_key(&order.node)
        {
            // Asked by an older word on this partition: at once by the newer one.
            self.joining.insert(order.node.clone(), now);
            self.request_join(&order.node, out);
        }
        if ack.refused && order.term == self.term {
            match OrderKind::try_from(order.kind) {
                Ok(OrderKind::Grant) => self.planned_move = None,
                Ok(OrderKind::Join) => {
                    self.joining.remove(&order.node);
                    if let Some(p) = self.peers.get_mut(&order.node) {
                        p.join_refused_at = now;
                    }
                    self.advance_commit(now, out);
                }
                _ => {}
            }
        }
    }
}
