//! Periodic work of the node: partition ticks, planned moves, and the graceful shutdown.

use super::*;

/// A record names at most this many messages, so that its length stays far below what every replica
/// receives.
const MAX_POSITIONS_PER_RECORD: usize = 65_536;

/// Splits a list of messages into parts that each fit one record.
fn split_positions(positions: &[u64]) -> impl Iterator<Item = Positions> {
    positions.chunks(MAX_POSITIONS_PER_RECORD).map(|part| Positions { positions: part.to_vec() })
}

impl StoreService {
    /// Runs the periodic work of all partitions. `rounds` counts the calls.
    pub(super) fn tick(self: &Arc<Self>, rounds: u64) {
        let known = self.session.known();
        let mut guard = self.shared.lock().unwrap();
        let state = &mut *guard;
        let snapshot_interval = self.snapshot_interval_bytes(state);
        self.update_room(state);
        let lag = self.disk_lag();
        for partition in state.replicas.keys().copied().collect::<Vec<_>>() {
            let owns = state.replicas[&partition].role == ReplicaRole::Owner;
            if owns && !self.has_owner_time(state, partition) {
                continue;
            }
            let time = if owns { self.owner_time(state, partition) } else { 0 };
            let replica = &state.replicas[&partition];
            if replica.is_writable() {
                let mut records = Vec::new();
                if known.configuration.revision > replica.state.revision {
                    records.push(Entry::Routes(replica.state.routes_delta(routes(&known.configuration))));
                }
                if let Some(positions) = state.called_back.remove(&partition).filter(|positions| !positions.is_empty())
                {
                    records.extend(split_positions(&positions).map(Entry::Notified));
                }
                if rounds.is_multiple_of(10) {
                    let ended = self.ended_messages(replica, &known.configuration, time);
                    records.extend(split_positions(&ended).map(Entry::Expire));
                }
                let now = self.now();
                let mut effects = Vec::new();
                if let Some(replica) = state.replicas.get_mut(&partition) {
                    for entry in records {
                        replica.append(&Record { at_ms: time, entry: Some(entry) }, now, &mut effects);
                    }
                }
                self.execute_effects(state, partition, effects);
            }
            self.step(state, partition, |replica, now, effects| {
                replica.tick(now, time, effects);
                // One at a time: each holds a copy of its partition until it is written.
                if self.snapshots_in_progress.load(Ordering::Relaxed) == 0 {
                    replica.compact(snapshot_interval, effects);
                }
            });
            // Return to the preferred owner, by an ordinary planned move.
            let replica = &state.replicas[&partition];
            if replica.role == ReplicaRole::Owner && !replica.is_moving() && !state.leaving && rounds.is_multiple_of(10)
            {
                let preferred = replica.replicas.first().cloned().unwrap_or_default();
                let keeps_up = |node: &String| {
                    !state.lagging_nodes.contains(node) && known.node(node, "store").is_some_and(|n| !n.leaving)
                };
                // With a slow disk here, move to a node whose disk keeps up until this one
                // recovers. This node's copy counts until another one has replaced it.
                let successor = match lag {
                    1 => replica.candidates().into_iter().find(keeps_up),
                    _ => Some(preferred).filter(|node| {
                        *node != self.settings.node && replica.in_sync().contains(node) && keeps_up(node)
                    }),
                };
                if let Some(successor) = successor {
                    self.step(state, partition, |replica, now, effects| {
                        replica.start_move(&successor, false, time, now, effects)
                    });
                }
            }
        }
        self.audit(state, rounds);
        let now = self.now();
        let corrections = state.replicas.values().map(|replica| replica.correction_ms(now).unsigned_abs());
        telemetry::set("partition_time_correction_ms", corrections.max().unwrap_or(0));
        if rounds.is_multiple_of(300) {
            telemetry::report(&self.settings.node, &rpc::sent_frame_stats());
        }
    }

    /// The pending messages to end without an attempt: those whose retention is over, and those
    /// whose route was replaced by another one of the same name. The latter are ended only once
    /// they are older than the time in which a configuration reaches all nodes, and only by a
    /// configuration that is at least as new as the partition's.
    fn ended_messages(
        &self,
        replica: &PartitionReplica,
        configuration: &config::ConfigurationIndex,
        time: u64,
    ) -> Vec<u64> {
        let state = &replica.state;
        let is_current = configuration.revision >= state.revision;
        let settled_ms = self.settings.constraints.quiet_ms as u64;
        let is_over = |message: &partition::Message| {
            let retain_ms = state.retain_ms(&message.item.route);
            retain_ms > 0 && time > message.at_ms + with_slew_margin(retain_ms)
        };
        let is_replaced = |message: &partition::Message| {
            let item = &message.item;
            is_current
                && time > message.at_ms + settled_ms
                && configuration.route_named(&item.route).is_some()
                && configuration.route_covering(&item.route, &item.host, &item.path).is_none()
        };
        let mut ended = Vec::new();
        for position in &state.pending {
            let message = &state.messages[position];
            let replaced = is_replaced(message);
            telemetry::add("messages_of_replaced_routes", u64::from(replaced));
            if replaced || is_over(message) {
                ended.push(*position);
            }
        }
        ended
    }

    /// Whether another node is still to take over this node's copy of a partition: its
    /// replacement is not in sync yet, or there is a store node that the leader is about to
    /// assign it to.
    pub(super) fn is_copy_due(&self, known: &agent::ClusterView, partition: u32) -> bool {
        let me = &self.settings.node;
        let all = &known.assignments.partitions;
        let Some(p) = all.iter().find(|p| p.id == partition) else { return false };
        if !p.replicas.contains(me) {
            let replica_count = self.settings.tolerance.machines as usize + 1;
            return p.in_sync.iter().filter(|n| *n != me).count() < replica_count;
        }
        let others = known.membership.nodes.iter().filter(|n| n.role == "store" && !n.leaving);
        rpc::has_replacement(all, me, others.map(|n| n.name.as_str()))
    }

    /// Graceful shutdown on SIGTERM: hands over all owned partitions by planned moves, then leaves
    /// the in-sync sets.
    pub(super) async fn shut_down(self: Arc<Self>) {
        let limit = Duration::from_millis((self.settings.constraints.grace_s * 800.0) as u64);
        let started_at = Instant::now();
        self.session.set_leaving();
        self.shared.lock().unwrap().leaving = true;
        while started_at.elapsed() < limit {
            let mut owned = 0;
            {
                let mut guard = self.shared.lock().unwrap();
                let state = &mut *guard;
                let known = self.session.known();
                for partition in state.replicas.keys().copied().collect::<Vec<_>>() {
                    let replica = &state.replicas[&partition];
                    if replica.role != ReplicaRole::Owner {
                        continue;
                    }
                    let successor =
                        replica.candidates().into_iter().find(|c| known.node(c, "store").is_some_and(|n| !n.leaving));
                    if successor.is_some() || replica.is_moving() || self.is_copy_due(&known, partition) {
                        owned += 1;
                    }
                    if let (Some(successor), false) = (successor, replica.is_moving())
                        && self.has_owner_time(state, partition)
                    {
                        let time = self.owner_time(state, partition);
                        self.step(state, partition, |replica, now, effects| {
                            replica.start_move(&successor, true, time, now, effects)
                        });
                    }
                }
            }
            if owned == 0 {
                break;
            }
            tokio::time::sleep(Duration::from_millis(self.quiet_fraction_ms(200.0))).await;
        }
        // Copies of followed partitions stay until they are replaced, if there is a node to take
        // them.
        let due = || {
            let known = self.session.known();
            let state = self.shared.lock().unwrap();
            state.replicas.keys().filter(|p| self.is_copy_due(&known, **p)).count()
        };
        while due() > 0 && started_at.elapsed() < limit {
            tokio::time::sleep(Duration::from_millis(self.quiet_fraction_ms(200.0))).await;
        }
        let left = due();
        if left > 0 {
            telemetry::add("copies_left", left as u64);
            telemetry::change!("ends with {left} copies that stand nowhere else yet");
        }
        let followed: Vec<u32> = {
            let state = self.shared.lock().unwrap();
            state
                .replicas
                .values()
                .filter(|replica| replica.role == ReplicaRole::Follower)
                .map(|replica| replica.id)
                .collect()
        };
        let mut orders = Vec::new();
        for partition in followed {
            let order = Order {
                partition,
                term: 0,
                node: self.settings.node.clone(),
                kind: OrderKind::Drop as i32,
                ..Order::default()
            };
            orders.push(tokio::spawn(self.clone().send_order(partition, order)));
        }
        for order in orders {
            let _ = order.await;
        }
        // Leaves time for the last messages to other nodes to be sent.
        tokio::time::sleep(Duration::from_millis(self.quiet_fraction_ms(40.0))).await;
        telemetry::change!("left after {} ms", started_at.elapsed().as_millis());
    }
}
