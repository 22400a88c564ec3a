//! Executes the effects of the partition state machines: writes to disk, messages to other nodes
//! and answers to waiting requests.

use super::*;

impl StoreService {
    /// Runs a step of one partition's state machine and executes its effects.
    pub(super) fn step(
        self: &Arc<Self>,
        i: &mut StoreState,
        partition: u32,
        f: impl FnOnce(&mut PartitionReplica, u64, &mut Vec<Effect>),
    ) {
        let now = self.now();
        let mut out = Vec::new();
        if let Some(m) = i.replicas.get_mut(&partition) {
            f(m, now, &mut out);
        }
        self.execute_effects(i, partition, out);
    }

    /// Appends a record to a partition's log. It is sent to the replicas when the effects are
    /// executed. Returns its position, or `None` if the partition accepts no records.
    pub(super) fn append(
        &self,
        i: &mut StoreState,
        partition: u32,
        record: &Record,
        effects: &mut Vec<Effect>,
    ) -> Option<u64> {
        let now = self.now();
        let replica = i.replicas.get_mut(&partition)?;
        let position = replica.append(record, now, effects);
        replica.flush(now, effects);
        position
    }

    pub(super) fn execute_effects(self: &Arc<Self>, i: &mut StoreState, partition: u32, effects: Vec<Effect>) {
        for e in effects {
            match e {
                Effect::Persist { del, put, meta, snapshot, term, end } => {
                    let mut ops = Vec::with_capacity(put.len() + 1);
                    if let Some((a, b)) = del {
                        ops.push(Op::DelRange(key(b'l', partition, a), key(b'l', partition, b)));
                    }
                    ops.extend(
                        put.into_iter().map(|(n, e)| Op::Put(key(b'l', partition, n), e.encode_to_vec().into())),
                    );
                    if let Some(s) = snapshot {
                        ops.push(Op::Put(key(b's', partition, 0), s));
                    }
                    ops.push(Op::Put(key(b'm', partition, 0), meta.encode_to_vec().into()));
                    let synced = self.synced.clone();
                    self.wal.write(ops, move || {
                        let _ = synced.send((partition, term, end));
                    });
                }
                Effect::Send(node, body) => {
                    let addr = self.session.with_known(|k| k.node(&node, "store").map(|n| n.inner.clone()));
                    if let Some(a) = addr {
                        self.rpc_clients.to(&a).send(body);
                    }
                }
                Effect::Folded(changes) => self.handle_changes(i, partition, changes),
                Effect::TookOver { seized } => {
                    telemetry::count(if seized { "partitions_seized" } else { "partitions_taken" });
                    // Also when this node was the owner at an earlier term: what was uncommitted
                    // then may be missing from the log now.
                    self.drop_partition_state(i, partition, "");
                    let m = &i.replicas[&partition];
                    let term = m.term;
                    i.recovering.insert(partition, m.end());
                    telemetry::change!(
                        "owner of partition {partition} at term {term}{}",
                        if seized { ", seized" } else { "" }
                    );
                    tokio::spawn(self.clone().recover_attempts(partition, term, seized));
                }
                Effect::StoodDown(owner) => {
                    telemetry::change!("partition {partition} is owned by {owner:?} now");
                    self.drop_partition_state(i, partition, &owner);
                }
                Effect::Ask(order) => {
                    let post = self.clone();
                    tokio::spawn(async move { post.send_order(partition, order).await });
                }
                Effect::Mismatch(at) => {
                    telemetry::error!("ALARM partition {partition}: the shadow state differs from the owner's at {at}");
                }
            }
        }
    }

    /// Drops the in-memory state of a partition that this node owned until now, and answers
    /// waiting requests that their outcome is unclear.
    fn drop_partition_state(&self, i: &mut StoreState, partition: u32, owner: &str) {
        i.scheduler.remove_partition(partition);
        i.recovering.remove(&partition);
        i.uncommitted_reports.retain(|key, _| key.0 != partition);
        i.uncommitted_accepts.remove_partition(partition);
        i.called_back.remove(&partition);
        let waited_for: Vec<Key> = i.waiters.keys().filter(|key| key.0 == partition).copied().collect();
        for key in waited_for {
            for waiter in i.waiters.remove(&key).into_iter().flatten() {
                match waiter {
                    Waiter::Accept(responder) => responder.send(accepted(AcceptOutcome::Unclear, 0, owner)),
                    Waiter::Report(responder) => responder.send(Body::ReportAck(ReportAck { kept: false })),
                }
            }
        }
    }

    /// Sends an order to the leader and passes the answer to the partition's state machine.
    pub(super) async fn send_order(self: Arc<Self>, partition: u32, order: Order) {
        let leader = self.session.with_known(|k| k.leader.clone());
        if leader.is_empty() {
            return;
        }
        let wait = Duration::from_millis(self.quiet_fraction_ms(4.0));
        if let Ok(Body::OrderAck(ack)) = self.rpc_clients.to(&leader).call(Body::Order(order.clone()), wait).await {
            if !ack.leader.is_empty() {
                self.session.take(&ViewUpdate { leader: ack.leader.clone(), ..ViewUpdate::default() });
            }
            let mut i = self.shared.lock().unwrap();
            self.step(&mut i, partition, |m, now, out| m.ordered(&order, &ack, now, out));
            self.wake.notify_one();
        }
    }

    /// Handles newly applied records: answers waiting requests and schedules messages.
    pub(super) fn handle_changes(self: &Arc<Self>, i: &mut StoreState, partition: u32, changes: Vec<Change>) {
        let now = self.now();
        for c in changes {
            match c {
                Change::Accepted(pos) => {
                    telemetry::count("accepted");
                    i.uncommitted_accepts.remove((partition, pos));
                    self.answer_waiters(i, (partition, pos), &accepted(AcceptOutcome::Taken, pos, ""));
                    self.schedule(i, (partition, pos), now);
                }
                Change::Repeated { at, old } => {
                    telemetry::count("accepts_repeated");
                    i.uncommitted_accepts.remove((partition, at));
                    self.answer_waiters(i, (partition, at), &accepted(AcceptOutcome::Taken, old, ""));
                }
                Change::PlacedElsewhere { at, placement } => {
                    i.uncommitted_accepts.remove((partition, at));
                    self.answer_waiters(i, (partition, at), &placed_elsewhere(&placement));
                }
                Change::OrderPlacedElsewhere { at } => {
                    i.uncommitted_accepts.remove((partition, at));
                    let answer = accepted(AcceptOutcome::OrderPlacedElsewhere, 0, "");
                    self.answer_waiters(i, (partition, at), &answer);
                }
                Change::StaysHere { at } => {
                    self.answer_waiters(i, (partition, at), &accepted(AcceptOutcome::StaysHere, 0, ""));
                }
                Change::Failed(pos) => {
                    i.uncommitted_reports.remove(&(partition, pos));
                    let backoff = i.scheduler.next_backoff((partition, pos));
                    i.scheduler.delay_until((partition, pos), now + backoff);
                }
                Change::Ended(pos) => {
                    let k = (partition, pos);
                    i.uncommitted_reports.remove(&k);
                    i.scheduler.remove(k);
                    if let Some(w) = i.replicas[&partition].state.pieces.get(&pos) {
                        telemetry::count(if w.state == MessageState::Settled { "settled" } else { "dead" });
                        if w.owes_notice() {
                            i.scheduler.callbacks.push_back((now, k));
                        }
                    }
                }
                Change::Freed(pos) => self.schedule(i, (partition, pos), now),
                _ => {}
            }
        }
        // A report waits until the position of its own record is committed.
        let commit = i.replicas[&partition].commit;
        let done: Vec<Key> = i.waiters.keys().filter(|k| k.0 == partition && k.1 <= commit).copied().collect();
        for k in done {
            for w in i.waiters.remove(&k).into_iter().flatten() {
                match w {
                    Waiter::Report(p) => p.send(Body::ReportAck(ReportAck { kept: true })),
                    // Accepts with a decided outcome were answered above.
                    Waiter::Accept(p) => p.send(accepted(AcceptOutcome::Unclear, 0, "")),
                }
            }
        }
        self.wake.notify_one();
    }

    /// Answers the requests that wait for the accept or the placement recorded at `key`.
    fn answer_waiters(&self, i: &mut StoreState, key: Key, answer: &Body) {
        for waiter in i.waiters.remove(&key).into_iter().flatten() {
            if let Waiter::Accept(responder) = waiter {
                responder.send(answer.clone());
            }
        }
    }

    /// Creates the replica of a partition if this node has none yet.
    pub(super) fn ensure_replica(&self, i: &mut StoreState, id: u32) {
        let timing = self.timing();
        let incarnation = self.session.me().incarnation;
        i.replicas.entry(id).or_insert_with(|| {
            let mut m = PartitionReplica::new(id, &self.settings.node, timing);
            m.incarnation = incarnation;
            m
        });
    }
}
