//! The shell of a store node: carries out the effects of its partitions' state
//! machines, keeps the lease, and gives deliveries to the delivery nodes.

use crate::clock::PartitionClock;
use crate::record::*;
use crate::replica::*;
use crate::scheduler::*;
use crate::state::{Change, MessageState};
use agent::Session;
use bytes::Bytes;
use config::{Role, Settings};
use prost::Message;
use rpc::messages::*;
use rpc::{Body, DeliveryFailure, ExecutionOutcome, Responder, RetryOwner, RetrySafety, RpcClients};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::sync::{Notify as Notifier, mpsc, watch};
use wal::{Op, Wal, key};

enum Waiter {
    Accept(Responder),
    Report(Responder),
}

struct StoreState {
    replicas: BTreeMap<u32, PartitionReplica>,
    scheduler: DeliveryScheduler,
    /// Who waits for a position to be committed.
    waiters: HashMap<Key, Vec<Waiter>>,
    /// Positions of accepts that are not committed yet, by request id.
    fresh_ids: HashMap<String, Key>,
    /// Reports that are written and not committed yet: the attempt, and where.
    answering: HashMap<Key, (u64, u64)>,
    /// Partitions taken over whose delivery nodes have not all answered, and where
    /// their logs ended then: what came after that nobody else can have given out.
    asking: HashMap<u32, u64>,
    lease_until: u64,
    notified: HashMap<u32, Vec<u64>>,
    leaving: bool,
    /// Store machines whose disks do not keep up, as the control nodes know them.
    lagging: Vec<String>,
    memory_limit: usize,
}

pub struct StoreService {
    settings: Settings,
    session: Arc<Session>,
    rpc_clients: Arc<RpcClients>,
    wal: Wal,
    shared: Mutex<StoreState>,
    wake: Notifier,
    synced: mpsc::UnboundedSender<(u32, u64, u64)>,
    start: Instant,
    /// A lock of its own: it is looked at while the other one is held.
    partition_clock: Mutex<PartitionClock>,
}

impl StoreService {
    fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64 + 1_000_000
    }

    /// The fleet's time. Before the leader has told it nothing is owned here, and
    /// the machine's own clock serves for what is only written down.
    fn wall(&self) -> u64 {
        let told = self.partition_clock.lock().unwrap().time(self.now());
        told.unwrap_or_else(telemetry::wall_ms)
    }

    fn ratio(&self, part: f64) -> u64 {
        (self.settings.constraints.quiet_ms / part) as u64
    }

    /// Steps one partition and carries out what comes of it.
    fn step(
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
        self.carry_out(i, partition, out);
    }

    fn carry_out(self: &Arc<Self>, i: &mut StoreState, partition: u32, effects: Vec<Effect>) {
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
                Effect::Folded(changes) => self.folded(i, partition, changes),
                Effect::TookOver { seized } => {
                    telemetry::count(if seized { "partitions_seized" } else { "partitions_taken" });
                    i.scheduler.drop_partition(partition);
                    let m = &i.replicas[&partition];
                    let term = m.term;
                    i.asking.insert(partition, m.end());
                    telemetry::change!(
                        "owner of partition {partition} at term {term}{}",
                        if seized { ", seized" } else { "" }
                    );
                    tokio::spawn(self.clone().ask_fronts(partition, term, seized));
                }
                Effect::StoodDown(owner) => {
                    telemetry::change!("partition {partition} is owned by {owner:?} now");
                    i.scheduler.drop_partition(partition);
                    i.asking.remove(&partition);
                    i.answering.retain(|k, _| k.0 != partition);
                    i.fresh_ids.retain(|_, k| k.0 != partition);
                    i.notified.remove(&partition);
                    let gone: Vec<Key> = i.waiters.keys().filter(|k| k.0 == partition).copied().collect();
                    for k in gone {
                        for w in i.waiters.remove(&k).into_iter().flatten() {
                            match w {
                                Waiter::Accept(p) => {
                                    p.send(accepted(AcceptOutcome::Unclear, 0, &owner));
                                }
                                Waiter::Report(p) => p.send(Body::ReportAck(ReportAck { kept: false })),
                            }
                        }
                    }
                }
                Effect::Ask(order) => {
                    let post = self.clone();
                    tokio::spawn(async move { post.order(partition, order).await });
                }
                Effect::Mismatch(at) => {
                    telemetry::error!("ALARM partition {partition}: the shadow state differs from the owner's at {at}");
                }
            }
        }
    }

    async fn order(self: Arc<Self>, partition: u32, order: Order) {
        let leader = self.session.with_known(|k| k.leader.clone());
        if leader.is_empty() {
            return;
        }
        let wait = Duration::from_millis(self.ratio(4.0));
        if let Ok(Body::OrderAck(ack)) = self.rpc_clients.to(&leader).call(Body::Order(order.clone()), wait).await {
            if !ack.leader.is_empty() {
                self.session.take(&ViewUpdate { leader: ack.leader.clone(), ..ViewUpdate::default() });
            }
            let mut i = self.shared.lock().unwrap();
            self.step(&mut i, partition, |m, now, out| m.ordered(&order, &ack, now, out));
            self.wake.notify_one();
        }
    }

    /// The fold moved: answer who waited, and schedule.
    fn folded(self: &Arc<Self>, i: &mut StoreState, partition: u32, changes: Vec<Change>) {
        let wall = self.wall();
        for c in changes {
            match c {
                Change::Accepted(pos) => {
                    telemetry::count("accepted");
                    if let Some(w) = i.replicas[&partition].state.pieces.get(&pos) {
                        i.fresh_ids.remove(&w.item.id);
                    }
                    self.answer_waiters(i, (partition, pos), pos);
                    self.schedule(i, (partition, pos), wall);
                }
                Change::Repeated { at, old } => self.answer_waiters(i, (partition, at), old),
                Change::Failed(pos) => {
                    i.answering.remove(&(partition, pos));
                    let pause = i.scheduler.pause((partition, pos));
                    i.scheduler.later((partition, pos), wall + pause);
                }
                Change::Ended(pos) => {
                    let k = (partition, pos);
                    i.answering.remove(&k);
                    i.scheduler.forget(k);
                    if let Some(w) = i.replicas[&partition].state.pieces.get(&pos) {
                        telemetry::count(if w.state == MessageState::Settled { "settled" } else { "dead" });
                        if w.owes_notice() {
                            i.scheduler.notices.push_back((wall, k));
                        }
                    }
                }
                Change::Freed(pos) => self.schedule(i, (partition, pos), wall),
                _ => {}
            }
        }
        // Reports wait for the position of their own record.
        let commit = i.replicas[&partition].commit;
        let done: Vec<Key> = i.waiters.keys().filter(|k| k.0 == partition && k.1 <= commit).copied().collect();
        for k in done {
            for w in i.waiters.remove(&k).into_iter().flatten() {
                match w {
                    Waiter::Report(p) => p.send(Body::ReportAck(ReportAck { kept: true })),
                    Waiter::Accept(p) => p.send(accepted(AcceptOutcome::Taken, k.1, "")),
                }
            }
        }
        self.wake.notify_one();
    }

    fn answer_waiters(&self, i: &mut StoreState, k: Key, pos: u64) {
        for w in i.waiters.remove(&k).into_iter().flatten() {
            if let Waiter::Accept(p) = w {
                p.send(accepted(AcceptOutcome::Taken, pos, ""));
            }
        }
    }

    /// Queues a message if it may run: now, when it is due, or when its turn comes.
    fn schedule(&self, i: &mut StoreState, k: Key, wall: u64) {
        let Some(m) = i.replicas.get(&k.0) else { return };
        let Some(w) = m.state.pieces.get(&k.1) else { return };
        if m.role != ReplicaRole::Owner
            || w.state != MessageState::Pending
            || !m.state.is_head(k.1, w)
            || i.answering.contains_key(&k)
        {
            return;
        }
        if w.due_ms > wall {
            let due = w.due_ms;
            i.scheduler.later(k, due);
            return;
        }
        let age = w.due_ms;
        let service =
            self.session.with_known(|s| s.configuration.route_named(&w.item.route).map(|c| c.service.clone()));
        if let Some(service) = service {
            i.scheduler.ready(k, &service, age);
        }
    }

    /// After a take-over: what do the delivery nodes hold? From then on they
    /// refuse older terms.
    async fn ask_fronts(self: Arc<Self>, partition: u32, term: u64, seized: bool) {
        let fronts: Vec<Node> =
            self.session.with_known(|k| k.membership.nodes.iter().filter(|n| n.role == "front").cloned().collect());
        let wait = Duration::from_millis(self.ratio(16.0));
        let taken = self.wall();
        let mut asked = Vec::new();
        for h in fronts {
            let end = self.rpc_clients.to(&h.inner);
            asked.push((
                h.name,
                tokio::spawn(async move {
                    for _ in 0..2 {
                        match end.call(Body::Holding(Holding { partition, term }), wait).await {
                            Ok(Body::Held(h)) => {
                                let named = |n: usize, of: &[u64]| of.get(n).copied().unwrap_or(0);
                                let held = h.positions.iter().enumerate();
                                return Some(
                                    held.map(|(n, p)| (*p, named(n, &h.terms), named(n, &h.attempts))).collect(),
                                );
                            }
                            Err(ExecutionOutcome::MayHaveRun) => return None,
                            _ => tokio::time::sleep(wait / 8).await,
                        }
                    }
                    // What it held ended with its process only where its machine says
                    // that nobody listens; one that is cut off says nothing.
                    rpc::refuses(&h.inner, wait).await.then(Vec::new)
                }),
            ));
        }
        let (mut held, mut silent) = (Vec::new(), HashSet::new());
        for (name, a) in asked {
            match a.await.ok().flatten() {
                Some(all) => held.extend(all.into_iter().map(|p: (u64, u64, u64)| (p, name.clone()))),
                None => {
                    silent.insert(name);
                }
            }
        }
        // What is held is known by its position in the fold: it waits for that.
        loop {
            {
                let i = self.shared.lock().unwrap();
                match i.replicas.get(&partition).filter(|m| m.term == term && m.role == ReplicaRole::Owner) {
                    Some(m) if m.caught_up() => break,
                    Some(_) => {}
                    None => return,
                }
            }
            tokio::time::sleep(Duration::from_millis(self.ratio(250.0))).await;
        }
        let mut i = self.shared.lock().unwrap();
        let i = &mut *i;
        if i.replicas.get(&partition).is_none_or(|m| m.term != term || m.role != ReplicaRole::Owner) {
            return;
        }
        i.asking.remove(&partition);
        let now = self.now();
        let known = self.session.known();
        let m = &i.replicas[&partition];
        for ((pos, of_term, attempt), front) in held {
            if let Some(w) = m.state.pieces.get(&pos)
                && w.state == MessageState::Pending
                && let Some(c) = known.configuration.route_named(&w.item.route)
            {
                let until = now + c.timeout_ms as u64 * 21 / 20 + self.ratio(8.0);
                i.scheduler.adopt((partition, pos), c, &w.processor, &front, until);
                i.scheduler.name((partition, pos), of_term, attempt);
            }
        }
        let wall = self.wall();
        let pending: Vec<u64> = m.state.pending.iter().copied().collect();
        let owed: Vec<u64> = m.state.pieces.iter().filter(|(_, w)| w.owes_notice()).map(|(p, _)| *p).collect();
        for pos in pending {
            // Silence is not "nothing": what was last given to a node that did not
            // answer waits until that attempt cannot be running any more.
            let w = &i.replicas[&partition].state.pieces[&pos];
            let timeout = known.configuration.route_named(&w.item.route).map_or(0, |c| c.timeout_ms as u64);
            let silence = Silence { any: seized && !silent.is_empty(), last: silent.contains(&w.node) };
            let over = silence.until(!w.item.order_key.is_empty(), w.sent_ms, taken, timeout + self.ratio(16.0));
            if over > wall {
                telemetry::count("runs_maybe_held");
                i.scheduler.later((partition, pos), over);
                continue;
            }
            self.schedule(i, (partition, pos), wall);
        }
        for pos in owed {
            if !i.scheduler.notices.iter().any(|(_, k)| *k == (partition, pos)) {
                i.scheduler.notices.push_back((wall, (partition, pos)));
            }
        }
        self.wake.notify_one();
    }

    // ---- calls from other nodes ----

    fn handle(self: &Arc<Self>, body: Body, responder: Responder) {
        let mut guard = self.shared.lock().unwrap();
        let i = &mut *guard;
        match body {
            Body::Accept(a) => self.accept(i, a, responder),
            Body::Report(r) => self.report(i, r, responder),
            Body::Lookup(l) => {
                let found = self.lookup(i, &l);
                responder.send(Body::Found(found));
            }
            Body::Entries(e) => {
                self.known_partition(i, e.partition);
                self.step(i, e.partition, |m, now, out| m.entries(e, now, out));
            }
            Body::EntriesAck(a) => self.step(i, a.partition, |m, now, out| m.acked(a, now, out)),
            Body::Chunk(c) => {
                self.known_partition(i, c.partition);
                self.step(i, c.partition, |m, now, out| m.chunk(c, now, out));
            }
            Body::Status(_) => responder.send(Body::StatusAck(StatusAck { json: self.status(i) })),
            _ => {}
        }
    }

    fn known_partition(&self, i: &mut StoreState, id: u32) {
        let timing = self.timing();
        let incarnation = self.session.me().incarnation;
        i.replicas.entry(id).or_insert_with(|| {
            let mut m = PartitionReplica::new(id, &self.settings.node, timing);
            m.incarnation = incarnation;
            m
        });
    }

    fn timing(&self) -> Timing {
        timing(&self.settings)
    }

    fn leased(&self, i: &StoreState) -> bool {
        self.now() < i.lease_until
    }

    fn accept(self: &Arc<Self>, i: &mut StoreState, a: Accept, responder: Responder) {
        let p = a.partition;
        let owner = match i.replicas.get(&p) {
            Some(m) if m.open() && self.leased(i) => None,
            Some(m) => Some(if m.owner == self.settings.node { String::new() } else { m.owner.clone() }),
            None => Some(String::new()),
        };
        if let Some(owner) = owner {
            responder.send(accepted(AcceptOutcome::Elsewhere, 0, &owner));
            return;
        }
        if let Some(k) = i.fresh_ids.get(&a.item.id).copied()
            && k.0 == p
        {
            i.waiters.entry(k).or_default().push(Waiter::Accept(responder));
            return;
        }
        let m = &i.replicas[&p];
        if let Some(pos) = m.state.find(&a.item.id) {
            responder.send(accepted(AcceptOutcome::Taken, pos, ""));
            return;
        }
        if !m.state.has_route(&a.item.route) {
            // Older news than the front has, or newer.
            let outcome =
                if m.state.revision >= a.revision { AcceptOutcome::NoRoute } else { AcceptOutcome::Elsewhere };
            responder.send(accepted(outcome, 0, ""));
            return;
        }
        let held: usize = i.replicas.values().map(|m| m.state.weight()).sum();
        let rank = self.session.with_known(|k| k.configuration.route_named(&a.item.route).map_or(0, |c| c.rank));
        let disk = (self.settings.limits.disk_mb << 20) as usize;
        let room = Capacity { memory: i.memory_limit, disk: disk * 9 / 10 };
        if !room.admits(rank, held + a.item.body.len(), self.wal.used_bytes() as usize) {
            telemetry::count("refused_full");
            responder.send(accepted(AcceptOutcome::Full, 0, ""));
            return;
        }
        let id = a.item.id.clone();
        let record = Record {
            at_ms: self.wall(),
            entry: Some(Entry::Accept(AcceptRecord { item: a.item, delay_ms: a.delay_ms })),
        };
        let mut position = None;
        let now = self.now();
        let mut out = Vec::new();
        if let Some(m) = i.replicas.get_mut(&p) {
            position = m.append(&record, now, &mut out);
            m.flush(now, &mut out);
        }
        match position {
            Some(pos) => {
                i.fresh_ids.insert(id, (p, pos));
                i.waiters.entry((p, pos)).or_default().push(Waiter::Accept(responder));
            }
            None => responder.send(accepted(AcceptOutcome::Elsewhere, 0, "")),
        }
        self.carry_out(i, p, out);
    }

    fn report(self: &Arc<Self>, i: &mut StoreState, r: Report, responder: Responder) {
        let k = (r.partition, r.position);
        let now = self.now();
        let wall = self.wall();
        if i.replicas.get(&k.0).is_none_or(|m| !m.takes_reports()) {
            responder.send(Body::ReportAck(ReportAck { kept: false }));
            return;
        }
        // Of an attempt that was given up: it says what became of that one, and another
        // is out still.
        let outdated = i.scheduler.outdated(k, r.term, r.attempt);
        if outdated {
            telemetry::count("reports_outdated");
        } else if let Some(f) = i.scheduler.land(k) {
            i.scheduler.learn(&f, &r, now);
        }
        let m = &i.replicas[&k.0];
        let piece = m.state.pieces.get(&k.1);
        let pending = piece.is_some_and(|w| w.state == MessageState::Pending);
        if r.outcome == Outcome::Done as i32
            && piece.is_some_and(|w| w.state == MessageState::Settled && w.result_tag != r.result_tag)
        {
            telemetry::count("repeats_after_success");
        }
        let outcome = Outcome::try_from(r.outcome).unwrap_or(Outcome::Unknown);
        telemetry::count(match outcome {
            Outcome::Done => "runs_done",
            Outcome::Failed => "runs_failed",
            Outcome::Never => "runs_never",
            Outcome::NotRun => "runs_not_run",
            _ => "runs_unknown",
        });
        if !pending {
            responder.send(Body::ReportAck(ReportAck { kept: true }));
            self.wake.notify_one();
            return;
        }
        match outcome {
            Outcome::Done | Outcome::Failed | Outcome::Never => {
                if let Some((attempt, at)) = i.answering.get(&k).copied()
                    && attempt == r.attempt
                {
                    // Reported again while it is on its way to the disks.
                    i.waiters.entry((k.0, at)).or_default().push(Waiter::Report(responder));
                    return;
                }
                let answer =
                    AnswerRecord { position: k.1, outcome: r.outcome, result_tag: r.result_tag, attempt: r.attempt };
                let record = Record { at_ms: wall, entry: Some(Entry::Answer(answer)) };
                let mut out = Vec::new();
                if let Some(m) = i.replicas.get_mut(&k.0)
                    && let Some(pos) = m.append(&record, now, &mut out)
                {
                    m.flush(now, &mut out);
                    i.answering.insert(k, (r.attempt, pos));
                    i.waiters.entry((k.0, pos)).or_default().push(Waiter::Report(responder));
                }
                self.carry_out(i, k.0, out);
            }
            _ if outdated => responder.send(Body::ReportAck(ReportAck { kept: true })),
            _ => {
                responder.send(Body::ReportAck(ReportAck { kept: true }));
                match gap(outcome, r.status).again(self.class(i, k)) {
                    RetryOwner::Owner => self.schedule(i, k, wall),
                    _ => {
                        let pause = i.scheduler.pause(k);
                        i.scheduler.later(k, wall + pause);
                    }
                }
            }
        }
        self.wake.notify_one();
    }

    /// What a message is, as far as sending it again goes.
    fn class(&self, i: &StoreState, k: Key) -> RetrySafety {
        let Some(w) = i.replicas.get(&k.0).and_then(|m| m.state.pieces.get(&k.1)) else { return RetrySafety::Message };
        let dedupes = self.session.with_known(|s| {
            let service = s.configuration.route_named(&w.item.route).and_then(|c| s.configuration.service(&c.service));
            service.is_some_and(|p| p.dedupes)
        });
        match (dedupes, w.item.order_key.is_empty()) {
            (true, _) => RetrySafety::Dedupes,
            (false, false) => RetrySafety::Sequenced,
            (false, true) => RetrySafety::Message,
        }
    }

    fn lookup(&self, i: &StoreState, l: &Lookup) -> Found {
        let Some(m) = i.replicas.get(&l.partition).filter(|m| m.role == ReplicaRole::Owner && self.leased(i)) else {
            return Found::default();
        };
        let pos = if l.id.is_empty() { Some(l.position) } else { m.state.find(&l.id) };
        match pos.and_then(|p| m.state.pieces.get(&p)) {
            None if !m.caught_up() => Found::default(),
            Some(w) => Found {
                owner: true,
                known: true,
                state: w.state.word().into(),
                result_tag: w.result_tag.clone(),
                body: if l.body { w.item.body.clone() } else { Bytes::new() },
                host: w.item.host.clone(),
            },
            None => Found { owner: true, ..Found::default() },
        }
    }

    fn status(&self, i: &StoreState) -> String {
        use std::fmt::Write;
        let mut s = String::from("{\"partitions\":[");
        for (n, m) in i.replicas.values().enumerate() {
            let _ = write!(
                s,
                "{}{{\"id\":{},\"seat\":\"{}\",\"term\":{},\"end\":{},\"commit\":{},\"durable\":{},\"verified\":{},\"mismatch\":{},\"digest\":\"{:016x}\",\"pending\":{},\"kept\":{},\"moving\":{}}}",
                if n > 0 { "," } else { "" },
                m.id,
                if m.role == ReplicaRole::Owner { "owner" } else { "follower" },
                m.term,
                m.end(),
                m.commit,
                m.durable,
                m.verified,
                m.mismatch,
                m.state.digest(),
                m.state.pending.len(),
                m.state.pieces.len(),
                m.is_moving()
            );
        }
        let _ = write!(
            s,
            "],\"node\":\"{}\",\"leased\":{},\"queued\":{},\"underWay\":{},\"counters\":\"{}\"}}",
            self.settings.node,
            self.leased(i),
            i.scheduler.queued(),
            i.scheduler.in_flight.len(),
            telemetry::render()
        );
        s
    }

    // ---- work that comes with time ----

    /// Gives out what can be given out.
    fn pump(self: &Arc<Self>) -> u64 {
        let now = self.now();
        let wall = self.wall();
        let known = self.session.known();
        let mut guard = self.shared.lock().unwrap();
        let i = &mut *guard;
        let mut wake = now + self.ratio(20.0);
        if !self.leased(i) {
            return wake;
        }
        i.scheduler.news(&known.membership, &known.assignments);
        while let Some(k) = i.scheduler.take_due(wall) {
            self.schedule(i, k, wall);
        }
        for k in i.scheduler.overdue(now) {
            // The delivery node was to report by now: silence, no attempt.
            telemetry::count("runs_overdue");
            i.scheduler.land(k);
            let pause = i.scheduler.pause(k);
            i.scheduler.later(k, wall + pause);
        }
        let mut touched = HashSet::new();
        for name in i.scheduler.services_ready() {
            let Some(service) = known.configuration.service(&name) else { continue };
            let target_start = known.configuration.target_start_ms(&name) as u64;
            while let Some(k) = i.scheduler.first_ready(&name, wall, target_start) {
                let asked = i.asking.get(&k.0).is_some_and(|end| k.1 <= *end);
                if asked || i.replicas.get(&k.0).is_none_or(|m| !m.open()) {
                    // Taken over or moving: another look comes with the next step.
                    i.scheduler.unqueue(k);
                    i.scheduler.later(k, wall + self.ratio(100.0));
                    continue;
                }
                let Some(choice) = i.scheduler.choose(service, now) else { break };
                if let Err(at) = i.scheduler.token(service, now) {
                    wake = wake.min(at);
                    break;
                }
                if !self.dispatch(i, &known, k, service, choice, now, wall) {
                    i.scheduler.unqueue(k);
                }
                touched.insert(k.0);
            }
        }
        for p in touched {
            self.step(i, p, |m, now, out| m.flush(now, out));
        }
        self.notices(i, wall);
        if let Some(due) = i.scheduler.next_due() {
            wake = wake.min(now + due.saturating_sub(wall).max(1));
        }
        wake
    }

    #[allow(clippy::too_many_arguments)]
    fn dispatch(
        self: &Arc<Self>,
        i: &mut StoreState,
        known: &agent::ClusterView,
        k: Key,
        service: &config::Service,
        choice: Target,
        now: u64,
        wall: u64,
    ) -> bool {
        let Some(m) = i.replicas.get_mut(&k.0) else { return false };
        let Some(w) = m.state.pieces.get(&k.1).filter(|w| w.state == MessageState::Pending) else { return false };
        let Some(route) = known.configuration.route_named(&w.item.route) else { return false };
        let timeout = route.timeout_ms as u64;
        let mut item = w.item.clone();
        item.notify_url.clear();
        let dispatch =
            DispatchRecord { position: k.1, processor: choice.processor.clone(), node: choice.front.clone() };
        let record = Record { at_ms: wall, entry: Some(Entry::Dispatch(dispatch)) };
        let mut out = Vec::new();
        let Some(attempt) = m.append(&record, now, &mut out) else { return false };
        let run = Run {
            partition: k.0,
            attempt,
            term: m.term,
            position: k.1,
            address: choice.address.clone(),
            processor: choice.target.clone(),
            timeout_ms: timeout as u32,
            item,
            conn_limit: service.conn_limit,
            revoked: false,
        };
        // A delivery node waits a twentieth longer than the processor may take.
        i.scheduler.launch(k, &choice, route, now + timeout * 21 / 20 + self.ratio(8.0));
        i.scheduler.name(k, run.term, attempt);
        self.carry_out(i, k.0, out);
        telemetry::count("dispatched");
        let post = self.clone();
        tokio::spawn(async move { post.run(run, choice).await });
        true
    }

    /// Sees one delivery into the delivery node's hands.
    async fn run(self: Arc<Self>, run: Run, choice: Target) {
        let k = (run.partition, run.position);
        let (term, attempt) = (run.term, run.attempt);
        let wait = Duration::from_millis(self.ratio(8.0));
        let end = self.rpc_clients.to(&choice.front_inner);
        let (item, address, processor) = (Item::default(), String::new(), String::new());
        let revoke = Run { revoked: true, item, address, processor, ..run };
        match end.call(Body::Run(run), wait).await {
            Ok(Body::RunAck(a)) if a.taken => return,
            Ok(_) | Err(ExecutionOutcome::NotRun) => {}
            Err(_) => {
                // It may have it, or get it yet, by a connection that was replaced: it
                // is told that this attempt is given up, and says whether it was taken.
                let mut clear = false;
                for _ in 0..3 {
                    match end.call(Body::Run(revoke.clone()), wait).await {
                        Ok(Body::RunAck(a)) if a.taken => return,
                        Ok(_) => {
                            clear = true;
                            break;
                        }
                        Err(ExecutionOutcome::NotRun) => tokio::time::sleep(wait / 8).await,
                        Err(_) => {}
                    }
                }
                if !clear && !rpc::refuses(&choice.front_inner, wait).await {
                    // Silent still: given up once such a run must be over.
                    return;
                }
            }
        }
        telemetry::count("runs_not_given");
        let mut i = self.shared.lock().unwrap();
        let i = &mut *i;
        if i.scheduler.in_flight.get(&k).is_some_and(|f| f.attempt == (term, attempt)) {
            i.scheduler.land(k);
            i.scheduler.later(k, self.wall() + self.ratio(200.0));
            self.wake.notify_one();
        }
    }

    /// Call-backs that are owed.
    fn notices(self: &Arc<Self>, i: &mut StoreState, wall: u64) {
        let mut left = std::collections::VecDeque::new();
        while let Some((at, k)) = i.scheduler.notices.pop_front() {
            let piece =
                i.replicas.get(&k.0).filter(|m| m.role == ReplicaRole::Owner).and_then(|m| m.state.pieces.get(&k.1));
            let Some(w) = piece.filter(|w| w.owes_notice()) else { continue };
            let host = w.item.notify_url.trim_start_matches("http://").split('/').next().unwrap_or("").to_owned();
            let busy = i.scheduler.notices_in_flight.get(&host).copied().unwrap_or(0);
            let front = i.scheduler.any_front(&host);
            let (Some((_, inner)), true, true) = (front, at <= wall, busy < 8) else {
                left.push_back((at, k));
                continue;
            };
            let notice = Notify {
                url: w.item.notify_url.clone(),
                id: w.item.id.clone(),
                state: w.state.word().into(),
                result_tag: w.result_tag.clone(),
            };
            *i.scheduler.notices_in_flight.entry(host.clone()).or_insert(0) += 1;
            let post = self.clone();
            tokio::spawn(async move {
                let wait = Duration::from_millis((post.settings.constraints.notify_s * 400.0) as u64);
                let status = match post.rpc_clients.to(&inner).call(Body::Notify(notice), wait).await {
                    Ok(Body::NotifyAck(a)) => a.status,
                    _ => 0,
                };
                let mut i = post.shared.lock().unwrap();
                let i = &mut *i;
                if let Some(n) = i.scheduler.notices_in_flight.get_mut(&host) {
                    *n = n.saturating_sub(1);
                }
                if status == 200 {
                    telemetry::count("call_backs_taken");
                    i.notified.entry(k.0).or_default().push(k.1);
                    if let Some(m) = i.replicas.get_mut(&k.0)
                        && m.role != ReplicaRole::Owner
                    {
                        i.notified.remove(&k.0);
                    }
                } else {
                    telemetry::count("call_backs_missed");
                    let pause = i.scheduler.pause(k);
                    i.scheduler.notices.push_back((post.wall() + pause, k));
                }
                post.wake.notify_one();
            });
        }
        i.scheduler.notices = left;
    }

    fn tick(self: &Arc<Self>, rounds: u64) {
        let wall = self.wall();
        let known = self.session.known();
        let mut guard = self.shared.lock().unwrap();
        let i = &mut *guard;
        let compact = (self.settings.limits.disk_mb as usize) << 20;
        let parts = i.replicas.len().max(1);
        let lag = self.lag();
        for p in i.replicas.keys().copied().collect::<Vec<_>>() {
            let m = &i.replicas[&p];
            if m.open() {
                let mut records = Vec::new();
                if known.configuration.revision > m.state.revision {
                    records.push(Entry::Routes(m.state.since_known(routes(&known.configuration))));
                }
                if let Some(n) = i.notified.remove(&p).filter(|n| !n.is_empty()) {
                    records.push(Entry::Notified(Positions { positions: n }));
                }
                if rounds.is_multiple_of(10) {
                    let over: Vec<u64> = m
                        .state
                        .pending
                        .iter()
                        .filter(|pos| {
                            let w = &m.state.pieces[pos];
                            let keep = m.state.retain_ms(&w.item.route);
                            keep > 0 && wall > w.at_ms + keep
                        })
                        .copied()
                        .collect();
                    if !over.is_empty() {
                        records.push(Entry::Expire(Positions { positions: over }));
                    }
                }
                let now = self.now();
                let mut out = Vec::new();
                if let Some(m) = i.replicas.get_mut(&p) {
                    for e in records {
                        m.append(&Record { at_ms: wall, entry: Some(e) }, now, &mut out);
                    }
                }
                self.carry_out(i, p, out);
            }
            self.step(i, p, |m, now, out| {
                m.tick(now, wall, out);
                m.compact(compact / 6 / parts, out);
            });
            // Back to the preferred owner, by a planned move like any other.
            let m = &i.replicas[&p];
            if m.role == ReplicaRole::Owner && !m.is_moving() && !i.leaving && rounds.is_multiple_of(10) {
                let replica = m.replicas.first().cloned().unwrap_or_default();
                if lag == 1 {
                    // Slow here: over to one that keeps up, until this one does again.
                    let well =
                        |c: &String| !i.lagging.contains(c) && known.node(c, "store").is_some_and(|n| !n.leaving);
                    if let Some(to) = m.candidates().into_iter().find(well) {
                        self.step(i, p, |m, now, out| m.start_move(&to, true, wall, now, out));
                    }
                } else if !replica.is_empty() && replica != self.settings.node && m.in_sync().contains(&replica) {
                    let ready = known.node(&replica, "store").is_some_and(|n| !n.leaving);
                    if ready {
                        self.step(i, p, |m, now, out| m.start_move(&replica, false, wall, now, out));
                    }
                }
            }
        }
        if rounds.is_multiple_of(300) {
            telemetry::report(&self.settings.node, &rpc::sent());
        }
    }

    fn extend_lease(&self, until: u64) {
        let mut i = self.shared.lock().unwrap();
        i.lease_until = i.lease_until.max(until);
        self.wake.notify_one();
    }

    async fn keep_lease(self: Arc<Self>) {
        let period = Duration::from_millis(self.settings.lease_ms() / 3);
        let mut turn = 0usize;
        loop {
            let asked = self.now();
            let lag = self.lag();
            let (samples, claims) = {
                let mut i = self.shared.lock().unwrap();
                if lag == 2 {
                    // It could commit nothing: stop before another one takes over.
                    if i.lease_until > 0 {
                        telemetry::change!("the disk does not answer: no owner until it does");
                    }
                    i.lease_until = 0;
                }
                let owned = i.replicas.values().filter(|m| m.role == ReplicaRole::Owner);
                let claims = owned.map(|m| Holding { partition: m.id, term: m.term }).collect::<Vec<_>>();
                (i.scheduler.take_samples(), claims)
            };
            let leader = self.session.with_known(|k| k.leader.clone());
            let seeds = self.session.order_control_nodes();
            let addr = if leader.is_empty() { seeds[turn % seeds.len()].clone() } else { leader.clone() };
            turn += 1;
            let clock_ms = telemetry::wall_ms();
            let l = Lease { node: self.session.me(), samples, claims: claims.clone(), lag, clock_ms };
            match self.rpc_clients.to(&addr).call(Body::Lease(l), period * 2).await {
                Ok(Body::LeaseAck(a)) if a.granted => {
                    self.session.take(&ViewUpdate { leader: addr, ..ViewUpdate::default() });
                    {
                        let mut guard = self.shared.lock().unwrap();
                        // What passed on while this node was not looking is given up
                        // before the lease counts.
                        for c in &a.outdated {
                            self.step(&mut guard, c.id, |m, now, out| m.assignments(c, now, out));
                        }
                        guard.lagging = a.lagging;
                    }
                    let timed = {
                        let mut f = self.partition_clock.lock().unwrap();
                        f.told(a.time_ms, asked, self.now());
                        f.known()
                    };
                    if !timed {
                        // Soon known: an owner without the time would have everything
                        // due at the wrong moment.
                        tokio::time::sleep(period / 6).await;
                        continue;
                    }
                    self.extend_lease(asked + a.ttl_ms as u64);
                    self.sleep_while(lag, period).await;
                }
                Ok(Body::LeaseAck(a)) if a.newer_incarnation > 0 => {
                    self.relive(a.newer_incarnation);
                    tokio::time::sleep(period / 60).await;
                }
                Ok(Body::LeaseAck(a)) => {
                    if !a.leader.is_empty() {
                        self.session.take(&ViewUpdate { leader: a.leader, ..ViewUpdate::default() });
                    } else {
                        // It knows no leader: the others may.
                        self.ask_leader(&seeds, &claims, period).await;
                    }
                    tokio::time::sleep(period / 6).await;
                }
                _ => {
                    telemetry::count("lease_misses");
                    // The leader may have passed on: ask the others who leads.
                    self.ask_leader(&seeds, &claims, period).await;
                    tokio::time::sleep(period / 6).await;
                }
            }
        }
    }

    /// How this machine's disk does: 1 when the last writes were all slow, 2 when
    /// one is not answered.
    fn lag(&self) -> u32 {
        if self.wal.busy_for() > Duration::from_millis(self.ratio(16.0)) {
            2
        } else {
            u32::from(self.wal.is_slow(Duration::from_millis(self.ratio(60.0))))
        }
    }

    /// Sleeps, but no longer than until the disk does otherwise than was told.
    async fn sleep_while(&self, lag: u32, period: Duration) {
        let end = Instant::now() + period;
        while Instant::now() < end && self.lag() == lag {
            tokio::time::sleep(period / 4).await;
        }
    }

    /// An incarnation of this node that comes after its own is known to the leader, as when
    /// this process began by a clock that is behind.
    fn relive(self: &Arc<Self>, newer_incarnation: u64) {
        let Some(incarnation) = self.session.relive(newer_incarnation) else { return };
        telemetry::count("incarnations_begun_again");
        // An incarnation that this disk does not know was lived on another one.
        let birth = DiskIdentity { born: incarnation, top: incarnation, empty: false };
        self.session.reborn(incarnation);
        self.wal.write(vec![Op::Put(key(b'd', 0, 0), birth.encode_to_vec().into())], || ());
        let mut guard = self.shared.lock().unwrap();
        guard.lease_until = 0;
        for p in guard.replicas.keys().copied().collect::<Vec<_>>() {
            self.step(&mut guard, p, |m, _, out| m.relive(incarnation, out));
        }
    }

    /// Learns from the control nodes who leads: all are asked at once, as some may be gone for
    /// good, and a lease is over before they could be asked one by one.
    async fn ask_leader(&self, control_nodes: &[String], claims: &[Holding], wait: Duration) {
        let (tx, mut rx) = tokio::sync::mpsc::channel(control_nodes.len().max(1));
        for f in control_nodes {
            let (node, claims, clock_ms) = (self.session.me(), claims.to_vec(), telemetry::wall_ms());
            let ask = Lease { node, claims, lag: self.lag(), clock_ms, ..Lease::default() };
            let (end, name, tx) = (self.rpc_clients.to(f), f.clone(), tx.clone());
            tokio::spawn(async move {
                if let Ok(Body::LeaseAck(a)) = end.call(Body::Lease(ask), wait).await {
                    let leader = if a.granted { name } else { a.leader };
                    if !leader.is_empty() {
                        let _ = tx.send(leader).await;
                    }
                }
            });
        }
        drop(tx);
        if let Some(leader) = rx.recv().await {
            self.session.take(&ViewUpdate { leader, ..ViewUpdate::default() });
        }
    }

    /// Whether this node's copy of a partition is still to be taken by another one: it has
    /// a new home that is not in sync yet, or there is a store machine to take its place,
    /// which the leader is about to give it to.
    fn copy_due(&self, known: &agent::ClusterView, partition: u32) -> bool {
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

    /// On SIGTERM: hand everything over by planned moves, then leave the in-sync sets.
    async fn leave(self: Arc<Self>) {
        let limit = Duration::from_millis((self.settings.constraints.grace_s * 800.0) as u64);
        let begun = Instant::now();
        self.session.set_leaving();
        self.shared.lock().unwrap().leaving = true;
        let wall = self.wall();
        while begun.elapsed() < limit {
            let mut owned = 0;
            {
                let mut guard = self.shared.lock().unwrap();
                let i = &mut *guard;
                let known = self.session.known();
                for p in i.replicas.keys().copied().collect::<Vec<_>>() {
                    let m = &i.replicas[&p];
                    if m.role != ReplicaRole::Owner {
                        continue;
                    }
                    let to = m.candidates().into_iter().find(|c| known.node(c, "store").is_some_and(|n| !n.leaving));
                    if to.is_some() || m.is_moving() || self.copy_due(&known, p) {
                        owned += 1;
                    }
                    if let (Some(to), false) = (to, m.is_moving()) {
                        self.step(i, p, |m, now, out| m.start_move(&to, true, wall, now, out));
                    }
                }
            }
            if owned == 0 {
                break;
            }
            tokio::time::sleep(Duration::from_millis(self.ratio(200.0))).await;
        }
        // What it follows stays with it until it stands elsewhere, where somebody is there
        // to take it.
        let due = || {
            let known = self.session.known();
            let i = self.shared.lock().unwrap();
            i.replicas.keys().filter(|p| self.copy_due(&known, **p)).count()
        };
        while due() > 0 && begun.elapsed() < limit {
            tokio::time::sleep(Duration::from_millis(self.ratio(200.0))).await;
        }
        let left = due();
        if left > 0 {
            telemetry::add("copies_left", left as u64);
            telemetry::change!("ends with {left} copies that stand nowhere else yet");
        }
        let followed: Vec<u32> = {
            let i = self.shared.lock().unwrap();
            i.replicas.values().filter(|m| m.role == ReplicaRole::Follower).map(|m| m.id).collect()
        };
        let mut asks = Vec::new();
        for p in followed {
            let o = Order {
                partition: p,
                term: 0,
                node: self.settings.node.clone(),
                kind: OrderKind::Drop as i32,
                ..Order::default()
            };
            asks.push(tokio::spawn(self.clone().order(p, o)));
        }
        for a in asks {
            let _ = a.await;
        }
        // What the others are still to be told travels now.
        tokio::time::sleep(Duration::from_millis(self.ratio(40.0))).await;
        telemetry::change!("left after {} ms", begun.elapsed().as_millis());
    }
}

fn accepted(outcome: AcceptOutcome, position: u64, owner: &str) -> Body {
    Body::Accepted(Accepted { outcome: outcome as i32, position, owner: owner.into(), retry_ms: 0 })
}

fn timing(c: &Settings) -> Timing {
    Timing {
        epoch: (c.constraints.quiet_ms / 8.0) as u64,
        window: (c.constraints.grace_s * 1000.0 / 20.0) as u64,
        again: (c.constraints.quiet_ms / 16.0) as u64,
        status: (c.constraints.status_s * 1000.0) as u64,
        keep_bytes: (c.limits.memory_mb << 20) as usize / 128,
    }
}

fn routes(t: &config::Configuration) -> Routes {
    let mut routes: Vec<RouteFacts> = t
        .routes
        .iter()
        .filter(|c| c.mode == "deferred")
        .map(|c| RouteFacts { route: c.name.clone(), tries: c.tries, retain_ms: (c.retain_s * 1000.0) as u64 })
        .collect();
    routes.sort_by(|a, b| a.route.cmp(&b.route));
    Routes { revision: t.revision, routes, ..Routes::default() }
}

/// Runs a store node until it is told to stop.
pub async fn run(
    settings: Settings,
    mut stop: watch::Receiver<bool>,
    settings_updates: watch::Receiver<Settings>,
) -> Result<(), String> {
    let quiet = settings.constraints.quiet_ms;
    let silence = Duration::from_millis((quiet / 4.0) as u64);
    let mut metas: BTreeMap<u32, Meta> = BTreeMap::new();
    let mut snaps: HashMap<u32, Bytes> = HashMap::new();
    let mut logs: HashMap<u32, Vec<(u64, LogEntry)>> = HashMap::new();
    let (mut broken, mut birth) = (None, None);
    let wal = Wal::open(&settings.data_dir, settings.limits.disk_mb, settings.limits.memory_mb, |k, v| {
        if k.len() != 13 {
            return;
        }
        let p = u32::from_be_bytes([k[1], k[2], k[3], k[4]]);
        let n = u64::from_be_bytes(k[5..13].try_into().unwrap_or_default());
        match k[0] {
            b'm' => match Meta::decode(v) {
                Ok(m) => {
                    metas.insert(p, m);
                }
                Err(e) => broken = Some(format!("partition {p}: {e}")),
            },
            b'd' => match DiskIdentity::decode(v) {
                Ok(b) => birth = Some(b),
                Err(e) => broken = Some(format!("the disk's own record: {e}")),
            },
            b's' => {
                snaps.insert(p, Bytes::copy_from_slice(v));
            }
            b'l' => match LogEntry::decode(Bytes::copy_from_slice(v)) {
                Ok(e) => logs.entry(p).or_default().push((n, e)),
                Err(e) => broken = Some(format!("partition {p}: entry {n}: {e}")),
            },
            _ => {}
        }
    })?;
    if let Some(b) = broken {
        return Err(b);
    }
    let mut birth =
        birth.unwrap_or(DiskIdentity { empty: metas.is_empty() && !settings.initial_start, ..DiskIdentity::default() });
    let incarnation = birth.live(rpc::new_incarnation());
    // Before anything else: a disk that was emptied must not pass for a full one
    // because something was written to it since.
    wal.write(vec![Op::Put(key(b'd', 0, 0), birth.encode_to_vec().into())], || ());
    let mut replicas = BTreeMap::new();
    for (p, meta) in metas {
        let mut entries = logs.remove(&p).unwrap_or_default();
        entries.sort_by_key(|e| e.0);
        let mut m = PartitionReplica::reload(p, &settings.node, timing(&settings), &meta, snaps.remove(&p), entries)?;
        m.incarnation = incarnation;
        replicas.insert(p, m);
    }
    let node = Node {
        name: settings.node.clone(),
        role: "store".into(),
        zone: settings.zone.clone(),
        region: settings.region.clone(),
        inner: settings.inner_addr(Role::Store),
        incarnation,
        leaving: false,
        born: birth.born,
        changed: 0,
    };
    let rpc_clients = RpcClients::new(silence);
    let session = Session::new(settings.clone(), node, rpc_clients.clone());
    let (synced, mut synced_rx) = mpsc::unbounded_channel();
    let scheduler_pace = SchedulerTiming {
        load_ms: (quiet / 16.0) as u64,
        pause_ms: (quiet / 64.0) as u64,
        longest_ms: (quiet / 4.0) as u64,
    };
    let post = Arc::new(StoreService {
        shared: Mutex::new(StoreState {
            replicas,
            scheduler: DeliveryScheduler::new(&settings.node, &settings.zone, &settings.region, scheduler_pace),
            waiters: HashMap::new(),
            fresh_ids: HashMap::new(),
            answering: HashMap::new(),
            asking: HashMap::new(),
            lease_until: 0,
            notified: HashMap::new(),
            leaving: false,
            lagging: Vec::new(),
            // Messages may fill half of the memory.
            memory_limit: (settings.limits.memory_mb << 20) as usize / 2,
        }),
        wake: Notifier::new(),
        synced,
        start: Instant::now(),
        partition_clock: Mutex::new(PartitionClock::new((settings.constraints.lead_ms / 2.0) as u64)),
        session: session.clone(),
        rpc_clients,
        wal,
        settings: settings.clone(),
    });
    let addr = settings.inner_addr(Role::Store);
    let listener = tokio::net::TcpListener::bind(&addr).await.map_err(|e| format!("{addr}: {e}"))?;
    let p = post.clone();
    tokio::spawn(rpc::serve(listener, silence, move |b, responder| p.handle(b, responder)));
    tokio::spawn(session.clone().keep());
    tokio::spawn(session.clone().heed(settings_updates));
    tokio::spawn(post.clone().keep_lease());
    let p = post.clone();
    tokio::spawn(async move {
        while let Some((partition, term, end)) = synced_rx.recv().await {
            let mut i = p.shared.lock().unwrap();
            p.step(&mut i, partition, |m, now, out| m.synced(term, end, now, out));
            // Several may have become durable by one sync.
            while let Ok((partition, term, end)) = synced_rx.try_recv() {
                p.step(&mut i, partition, |m, now, out| m.synced(term, end, now, out));
            }
        }
    });
    let p = post.clone();
    let mut assignments_rx = session.subscribe();
    tokio::spawn(async move {
        let mut seen = 0;
        while assignments_rx.changed().await.is_ok() {
            let assignments = assignments_rx.borrow_and_update().assignments.clone();
            if assignments.version > seen {
                seen = assignments.version;
                let mut i = p.shared.lock().unwrap();
                for c in &assignments.partitions {
                    let mine = c.replicas.contains(&p.settings.node) || c.in_sync.contains(&p.settings.node);
                    if mine {
                        p.known_partition(&mut i, c.id);
                    }
                    p.step(&mut i, c.id, |m, now, out| m.assignments(c, now, out));
                }
            }
            p.wake.notify_one();
        }
    });
    let p = post.clone();
    tokio::spawn(async move {
        loop {
            let wake = p.pump();
            let pause = wake.saturating_sub(p.now()).max(1);
            tokio::select! {
                _ = p.wake.notified() => {}
                _ = tokio::time::sleep(Duration::from_millis(pause)) => {}
            }
        }
    });
    let p = post.clone();
    tokio::spawn(async move {
        let mut rounds = 0;
        loop {
            tokio::time::sleep(Duration::from_millis(p.ratio(64.0))).await;
            rounds += 1;
            p.tick(rounds);
        }
    });
    let _ = stop.wait_for(|s| *s).await;
    post.clone().leave().await;
    telemetry::report(&settings.node, &rpc::sent());
    Ok(())
}

/// How a delivery missed its answer, by its report.
fn gap(outcome: Outcome, status: u32) -> DeliveryFailure {
    match (outcome, status) {
        (Outcome::NotRun, 0) => DeliveryFailure::NotSent,
        (Outcome::NotRun, 409 | 429) => DeliveryFailure::Busy,
        (Outcome::NotRun, _) => DeliveryFailure::Refused,
        _ => DeliveryFailure::Lost,
    }
}
