//! Ownership: assignments by the control nodes, and the start and end of a term on this node.

use super::*;

impl PartitionReplica {
    /// Handles the assignment of this partition, as committed by the control nodes.
    pub fn handle_assignment(&mut self, partition: &Partition, now: u64, out: &mut Vec<Effect>) {
        if partition.changed < self.assignment_version {
            // Overtaken by a newer assignment on another path. Reverting to an older in-sync set would
            // allow commits that a member does not hold.
            telemetry::count("assignments_outdated");
            return;
        }
        self.assignment_version = partition.changed;
        self.replicas.clone_from(&partition.replicas);
        if partition.term > self.term {
            if partition.owner == self.node {
                if !partition.in_sync.contains(&self.node)
                    || partition.joined_incarnation(&self.node) != self.incarnation
                {
                    // Concerns an earlier incarnation, whose disk contents may have been lost.
                    self.become_follower(partition.term, "", out);
                    return;
                }
                self.become_owner(partition.term, partition.in_sync.clone(), partition.seized, now, out);
                self.ownership_confirmed = true;
            } else {
                self.become_follower(partition.term, &partition.owner, out);
            }
        } else if partition.term == self.term {
            if self.role == ReplicaRole::Owner && partition.owner == self.node {
                self.ownership_confirmed = true;
                if self.in_sync != partition.in_sync {
                    self.in_sync.clone_from(&partition.in_sync);
                    self.joining.retain(|n, _| !partition.in_sync.contains(n));
                    self.advance_commit(now, out);
                }
                match &partition.grant {
                    Some(grant) => {
                        let stopping = Phase::Stopping { term: grant.term, in_sync: grant.in_sync.clone() };
                        match &mut self.planned_move {
                            Some(planned) if planned.candidate == grant.candidate => {
                                if !matches!(planned.phase, Phase::StopWritten { .. }) {
                                    planned.phase = stopping;
                                }
                            }
                            _ => {
                                let candidate = grant.candidate.clone();
                                self.planned_move =
                                    Some(PlannedMove { candidate, leaving: false, started_at: now, phase: stopping });
                            }
                        }
                        self.advance_move(now, out);
                    }
                    None => {
                        if matches!(
                            &self.planned_move,
                            Some(planned) if matches!(planned.phase, Phase::Stopping { .. })
                        ) {
                            // Without a grant the phase is kept: a grant received earlier, in an `OrderAck`, may be
                            // newer than this assignment.
                        }
                    }
                }
            } else if self.role == ReplicaRole::Follower && partition.owner != self.node {
                self.owner.clone_from(&partition.owner);
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
        // Followers report their own log positions.
        let end = self.end();
        self.takeover_end = end;
        for n in self.replicas.iter().chain(&self.in_sync).filter(|n| **n != self.node) {
            self.peers.insert(n.clone(), Peer { sent: end, ..Peer::new(now) });
        }
        out.push(Effect::Persist { del: None, put: Vec::new(), meta: self.meta(), snapshot: None, term, end });
        out.push(Effect::BecameOwner { seized });
        let names: Vec<String> = self.peers.keys().cloned().collect();
        for n in names {
            self.send_to(&n, now, true, out);
        }
        self.advance_commit(now, out);
    }

    /// Raises the partition time to the timestamps of uncommitted entries, which may have been
    /// committed before this node became owner.
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

    /// Sets a new incarnation of this process. Ownership ends, since it was assigned to the former
    /// incarnation.
    pub fn set_incarnation(&mut self, incarnation: u64, out: &mut Vec<Effect>) {
        self.incarnation = incarnation;
        if self.role == ReplicaRole::Owner {
            self.become_follower(self.term, "", out);
        }
    }

    /// Takes over at a committed stop marker that names this node as the candidate.
    pub(super) fn take_over_at_stop(&mut self, now: u64, stop: Stop, out: &mut Vec<Effect>) {
        telemetry::count("splices_resumed");
        telemetry::change!("partition {} spliced at {}: owner at term {}", self.id, stop.splice, stop.term);
        self.become_owner(stop.term, stop.in_sync, false, now, out);
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

    /// Handles the control nodes' answer to an order.
    pub fn handle_order_ack(&mut self, order: &Order, ack: &OrderAck, now: u64, out: &mut Vec<Effect>) {
        if let Some(partition) = &ack.partition {
            self.handle_assignment(partition, now, out);
        }
        let is_join = order.kind == OrderKind::Join as i32;
        if is_join
            && !ack.ok
            && !ack.refused
            && order.seen != self.assignment_version
            && self.joining.contains_key(&order.node)
        {
            // The order was based on an outdated assignment: retry at once with the newer one.
            self.joining.insert(order.node.clone(), now);
            self.request_join(&order.node, out);
        }
        if ack.refused && order.term == self.term {
            match OrderKind::try_from(order.kind) {
                Ok(OrderKind::Grant) => self.planned_move = None,
                Ok(OrderKind::Join) => {
                    self.joining.remove(&order.node);
                    if let Some(peer) = self.peers.get_mut(&order.node) {
                        peer.join_refused_at = now;
                    }
                    self.advance_commit(now, out);
                }
                _ => {}
            }
        }
    }
}
