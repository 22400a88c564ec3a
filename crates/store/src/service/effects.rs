//! Executes the effects of the partition state machines: writes to disk, messages to other nodes
//! and answers to waiting requests.

use super::*;

impl StoreService {
    /// Runs a step of one partition's state machine and executes its effects.
    pub(super) fn step(
        self: &Arc<Self>,
        state: &mut StoreState,
        partition: u32,
        step: impl FnOnce(&mut PartitionReplica, u64, &mut Vec<Effect>),
    ) {
        let now = self.now();
        let mut effects = Vec::new();
        if let Some(replica) = state.replicas.get_mut(&partition) {
            step(replica, now, &mut effects);
        }
        self.execute_effects(state, partition, effects);
    }

    /// Appends a record to a partition's log. It is sent to the replicas when the effects are
    /// executed. Returns its position, or `None` if the partition accepts no records.
    pub(super) fn append(
        &self,
        state: &mut StoreState,
        partition: u32,
        record: &Record,
        effects: &mut Vec<Effect>,
    ) -> Option<u64> {
        let now = self.now();
        let replica = state.replicas.get_mut(&partition)?;
        let position = replica.append(record, now, effects);
        replica.flush(now, effects);
        position
    }

    pub(super) fn execute_effects(self: &Arc<Self>, state: &mut StoreState, partition: u32, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Persist { del, put, meta, snapshot, term, end } => {
                    let mut ops = Vec::with_capacity(put.len() + 1);
                    if let Some((start, end)) = del {
                        ops.push(Op::DelRange(key(b'l', partition, start), key(b'l', partition, end)));
                    }
                    ops.extend(put.into_iter().map(|(position, entry)| {
                        Op::Put(key(b'l', partition, position), entry.encode_to_vec().into())
                    }));
                    let snapshots = Arc::clone(&self.snapshots_in_progress);
                    let snapshot_count = usize::from(snapshot.is_some());
                    snapshots.fetch_add(snapshot_count, Ordering::Relaxed);
                    if let Some(snapshot) = snapshot {
                        ops.push(Op::PutParts(key(b's', partition, 0), snapshot.parts));
                    }
                    ops.push(Op::Put(key(b'm', partition, 0), meta.encode_to_vec().into()));
                    let synced = self.synced.clone();
                    self.wal.write(ops, move || {
                        snapshots.fetch_sub(snapshot_count, Ordering::Relaxed);
                        let _ = synced.send((partition, term, end));
                    });
                }
                Effect::Send(node, body) => {
                    let address = self.session.with_known(|known| known.node(&node, "store").map(|n| n.inner.clone()));
                    if let Some(address) = address {
                        self.rpc_clients.to(&address).send(body);
                    }
                }
                Effect::Applied(changes) => self.handle_changes(state, partition, changes),
                Effect::BecameOwner { seized } => {
                    telemetry::count(if seized { "partitions_seized" } else { "partitions_taken" });
                    // Also when this node was the owner at an earlier term: what was uncommitted
                    // then may be missing from the log now.
                    self.drop_partition_state(state, partition, "");
                    let replica = &state.replicas[&partition];
                    let term = replica.term;
                    state.recovering.insert(partition, replica.end());
                    telemetry::change!(
                        "owner of partition {partition} at term {term}{}",
                        if seized { ", seized" } else { "" }
                    );
                    tokio::spawn(self.clone().recover_attempts(partition, term, seized));
                }
                Effect::SteppedDown(owner) => {
                    telemetry::change!("partition {partition} is owned by {owner:?} now");
                    self.drop_partition_state(state, partition, &owner);
                }
                Effect::SubmitOrder(order) => {
                    let this = self.clone();
                    tokio::spawn(async move { this.send_order(partition, order).await });
                }
                Effect::DigestMismatch(at) => {
                    telemetry::error!("ALARM partition {partition}: the shadow state differs from the owner's at {at}");
                }
            }
        }
    }

    /// Drops the in-memory state of a partition that this node owned until now, and answers
    /// waiting requests that their outcome is unclear.
    fn drop_partition_state(&self, state: &mut StoreState, partition: u32, owner: &str) {
        state.scheduler.remove_partition(partition);
        state.recovering.remove(&partition);
        state.uncommitted_reports.retain(|key, _| key.0 != partition);
        state.uncommitted_accepts.remove_partition(partition);
        state.called_back.remove(&partition);
        let waited_for: Vec<MessageKey> = state.waiters.keys().filter(|key| key.0 == partition).copied().collect();
        for key in waited_for {
            for waiter in state.waiters.remove(&key).into_iter().flatten() {
                match waiter {
                    Waiter::Accept(responder) => responder.send(accepted(AcceptOutcome::Unclear, 0, owner)),
                    Waiter::Report(responder) => responder.send(Body::ReportAck(ReportAck { kept: false })),
                }
            }
        }
    }

    /// Sends an order to the leader and passes the answer to the partition's state machine.
    pub(super) async fn send_order(self: Arc<Self>, partition: u32, order: Order) {
        let leader = self.session.with_known(|known| known.leader.clone());
        if leader.is_empty() {
            return;
        }
        let wait = Duration::from_millis(self.quiet_fraction_ms(4.0));
        if let Ok(Body::OrderAck(ack)) = self.rpc_clients.to(&leader).call(Body::Order(order.clone()), wait).await {
            if !ack.leader.is_empty() {
                self.session.take(&ViewUpdate { leader: ack.leader.clone(), ..ViewUpdate::default() });
            }
            let mut state = self.shared.lock().unwrap();
            self.step(&mut state, partition, |replica, now, effects| {
                replica.handle_order_ack(&order, &ack, now, effects)
            });
            self.wake.notify_one();
        }
    }

    /// Handles newly applied records: answers waiting requests and schedules messages.
    pub(super) fn handle_changes(self: &Arc<Self>, state: &mut StoreState, partition: u32, changes: Vec<Change>) {
        let now = self.now();
        for change in changes {
            match change {
                Change::Accepted(pos) => {
                    telemetry::count("accepted");
                    state.uncommitted_accepts.remove((partition, pos));
                    self.answer_waiters(state, (partition, pos), &accepted(AcceptOutcome::Taken, pos, ""));
                    self.schedule(state, (partition, pos), now);
                }
                Change::Duplicate { at, original } => {
                    telemetry::count("accepts_repeated");
                    state.uncommitted_accepts.remove((partition, at));
                    self.answer_waiters(state, (partition, at), &accepted(AcceptOutcome::Taken, original, ""));
                }
                Change::PlacedElsewhere { at, placement } => {
                    state.uncommitted_accepts.remove((partition, at));
                    self.answer_waiters(state, (partition, at), &placed_elsewhere(&placement));
                }
                Change::OrderPlacedElsewhere { at } => {
                    state.uncommitted_accepts.remove((partition, at));
                    let answer = accepted(AcceptOutcome::OrderPlacedElsewhere, 0, "");
                    self.answer_waiters(state, (partition, at), &answer);
                }
                Change::StaysHere { at } => {
                    self.answer_waiters(state, (partition, at), &accepted(AcceptOutcome::StaysHere, 0, ""));
                }
                Change::Failed(pos) => {
                    state.uncommitted_reports.remove(&(partition, pos));
                    let backoff = state.scheduler.next_backoff((partition, pos));
                    state.scheduler.delay_until((partition, pos), now + backoff);
                }
                Change::Ended(pos) => {
                    let key = (partition, pos);
                    state.uncommitted_reports.remove(&key);
                    state.scheduler.remove(key);
                    if let Some(message) = state.replicas[&partition].state.messages.get(&pos) {
                        telemetry::count(if message.state == MessageState::Settled { "settled" } else { "dead" });
                        if message.needs_notification() {
                            state.scheduler.callbacks.push_back((now, key));
                        }
                    }
                }
                Change::Unblocked(pos) => self.schedule(state, (partition, pos), now),
                _ => {}
            }
        }
        // A report waits until the position of its own record is committed.
        let commit = state.replicas[&partition].commit;
        let done: Vec<MessageKey> =
            state.waiters.keys().filter(|key| key.0 == partition && key.1 <= commit).copied().collect();
        for key in done {
            for waiter in state.waiters.remove(&key).into_iter().flatten() {
                match waiter {
                    Waiter::Report(responder) => responder.send(Body::ReportAck(ReportAck { kept: true })),
                    // Accepts with a decided outcome were answered above.
                    Waiter::Accept(responder) => responder.send(accepted(AcceptOutcome::Unclear, 0, "")),
                }
            }
        }
        self.wake.notify_one();
    }

    /// Answers the requests that wait for the accept or the placement recorded at `key`.
    fn answer_waiters(&self, state: &mut StoreState, key: MessageKey, answer: &Body) {
        for waiter in state.waiters.remove(&key).into_iter().flatten() {
            if let Waiter::Accept(responder) = waiter {
                responder.send(answer.clone());
            }
        }
    }

    /// Creates the replica of a partition if this node has none yet.
    pub(super) fn ensure_replica(&self, state: &mut StoreState, id: u32) {
        let timing = self.timing();
        let incarnation = self.session.me().incarnation;
        state.replicas.entry(id).or_insert_with(|| {
            let mut replica = PartitionReplica::new(id, &self.settings.node, timing);
            replica.incarnation = incarnation;
            replica.max_record_bytes = self.max_record_bytes();
            replica
        });
    }
}
