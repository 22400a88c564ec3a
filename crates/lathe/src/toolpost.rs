//! The shell of a lathe: carries out the effects of its partitions' state
//! machines, keeps the lease, and gives deliveries to the delivery nodes.

use crate::flywheel::Flywheel;
use crate::jig::{Change, Stand};
use crate::mandrel::*;
use crate::record::*;
use crate::turret::*;
use apprentice::Session;
use bytes::Bytes;
use dovetail::msg::*;
use dovetail::{Again, Bench, Body, Class, Gap, Peg, Verdict};
use drawer::{Drawer, Op, key};
use gauge::{Caliper, Role};
use prost::Message;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::sync::{Notify as Bell, mpsc, watch};

enum Waiter {
    Accept(Peg),
    Report(Peg),
}

struct Inside {
    mandrels: BTreeMap<u32, Mandrel>,
    turret: Turret,
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
    /// Store machines whose disks do not keep up, as the foremen know them.
    lagging: Vec<String>,
    memory_limit: usize,
}

pub struct Toolpost {
    caliper: Caliper,
    session: Arc<Session>,
    bench: Arc<Bench>,
    drawer: Drawer,
    inside: Mutex<Inside>,
    bell: Bell,
    synced: mpsc::UnboundedSender<(u32, u64, u64)>,
    start: Instant,
    /// A lock of its own: it is looked at while the other one is held.
    flywheel: Mutex<Flywheel>,
}

impl Toolpost {
    fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64 + 1_000_000
    }

    /// The fleet's time. Before the leader has told it nothing is owned here, and
    /// the machine's own clock serves for what is only written down.
    fn wall(&self) -> u64 {
        let told = self.flywheel.lock().unwrap().time(self.now());
        told.unwrap_or_else(tally::wall_ms)
    }

    fn ratio(&self, part: f64) -> u64 {
        (self.caliper.constraints.quiet_ms / part) as u64
    }

    /// Steps one partition and carries out what comes of it.
    fn step(self: &Arc<Self>, i: &mut Inside, partition: u32, f: impl FnOnce(&mut Mandrel, u64, &mut Vec<Effect>)) {
        let now = self.now();
        let mut out = Vec::new();
        if let Some(m) = i.mandrels.get_mut(&partition) {
            f(m, now, &mut out);
        }
        self.carry_out(i, partition, out);
    }

    fn carry_out(self: &Arc<Self>, i: &mut Inside, partition: u32, effects: Vec<Effect>) {
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
                    self.drawer.write(ops, move || {
                        let _ = synced.send((partition, term, end));
                    });
                }
                Effect::Send(node, body) => {
                    let addr = self.session.with_known(|k| k.node(&node, "lathe").map(|n| n.inner.clone()));
                    if let Some(a) = addr {
                        self.bench.to(&a).send(body);
                    }
                }
                Effect::Folded(changes) => self.folded(i, partition, changes),
                Effect::TookOver { seized } => {
                    tally::count(if seized { "partitions_seized" } else { "partitions_taken" });
                    i.turret.drop_partition(partition);
                    let m = &i.mandrels[&partition];
                    let term = m.term;
                    i.asking.insert(partition, m.end());
                    tally::change!(
                        "owner of partition {partition} at term {term}{}",
                        if seized { ", seized" } else { "" }
                    );
                    tokio::spawn(self.clone().ask_hatches(partition, term, seized));
                }
                Effect::StoodDown(owner) => {
                    tally::change!("partition {partition} is owned by {owner:?} now");
                    i.turret.drop_partition(partition);
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
                    tally::error!("ALARM partition {partition}: the shadow state differs from the owner's at {at}");
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
        if let Ok(Body::OrderAck(ack)) = self.bench.to(&leader).call(Body::Order(order.clone()), wait).await {
            if !ack.leader.is_empty() {
                self.session.take(&News { leader: ack.leader.clone(), ..News::default() });
            }
            let mut i = self.inside.lock().unwrap();
            self.step(&mut i, partition, |m, now, out| m.ordered(&order, &ack, now, out));
            self.bell.notify_one();
        }
    }

    /// The fold moved: answer who waited, and schedule.
    fn folded(self: &Arc<Self>, i: &mut Inside, partition: u32, changes: Vec<Change>) {
        let wall = self.wall();
        for c in changes {
            match c {
                Change::Accepted(pos) => {
                    tally::count("accepted");
                    if let Some(w) = i.mandrels[&partition].jig.pieces.get(&pos) {
                        i.fresh_ids.remove(&w.item.id);
                    }
                    self.answer_waiters(i, (partition, pos), pos);
                    self.schedule(i, (partition, pos), wall);
                }
                Change::Repeated { at, old } => self.answer_waiters(i, (partition, at), old),
                Change::Failed(pos) => {
                    i.answering.remove(&(partition, pos));
                    let pause = i.turret.pause((partition, pos));
                    i.turret.later((partition, pos), wall + pause);
                }
                Change::Ended(pos) => {
                    let k = (partition, pos);
                    i.answering.remove(&k);
                    i.turret.forget(k);
                    if let Some(w) = i.mandrels[&partition].jig.pieces.get(&pos) {
                        tally::count(if w.stand == Stand::Settled { "settled" } else { "dead" });
                        if w.owes_notice() {
                            i.turret.notices.push_back((wall, k));
                        }
                    }
                }
                Change::Freed(pos) => self.schedule(i, (partition, pos), wall),
                _ => {}
            }
        }
        // Reports wait for the position of their own record.
        let commit = i.mandrels[&partition].commit;
        let done: Vec<Key> = i.waiters.keys().filter(|k| k.0 == partition && k.1 <= commit).copied().collect();
        for k in done {
            for w in i.waiters.remove(&k).into_iter().flatten() {
                match w {
                    Waiter::Report(p) => p.send(Body::ReportAck(ReportAck { kept: true })),
                    Waiter::Accept(p) => p.send(accepted(AcceptOutcome::Taken, k.1, "")),
                }
            }
        }
        self.bell.notify_one();
    }

    fn answer_waiters(&self, i: &mut Inside, k: Key, pos: u64) {
        for w in i.waiters.remove(&k).into_iter().flatten() {
            if let Waiter::Accept(p) = w {
                p.send(accepted(AcceptOutcome::Taken, pos, ""));
            }
        }
    }

    /// Queues a message if it may run: now, when it is due, or when its turn comes.
    fn schedule(&self, i: &mut Inside, k: Key, wall: u64) {
        let Some(m) = i.mandrels.get(&k.0) else { return };
        let Some(w) = m.jig.pieces.get(&k.1) else { return };
        if m.seat != Seat::Owner || w.stand != Stand::Pending || !m.jig.is_head(k.1, w) || i.answering.contains_key(&k)
        {
            return;
        }
        if w.due_ms > wall {
            let due = w.due_ms;
            i.turret.later(k, due);
            return;
        }
        let age = w.due_ms;
        let plant = self.session.with_known(|s| s.template.channel(&w.item.channel).map(|c| c.plant.clone()));
        if let Some(plant) = plant {
            i.turret.ready(k, &plant, age);
        }
    }

    /// After a take-over: what do the delivery nodes hold? From then on they
    /// refuse older terms.
    async fn ask_hatches(self: Arc<Self>, partition: u32, term: u64, seized: bool) {
        let hatches: Vec<Node> =
            self.session.with_known(|k| k.roster.nodes.iter().filter(|n| n.role == "hatch").cloned().collect());
        let wait = Duration::from_millis(self.ratio(16.0));
        let taken = self.wall();
        let mut asked = Vec::new();
        for h in hatches {
            let end = self.bench.to(&h.inner);
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
                            Err(Verdict::MayHaveRun) => return None,
                            _ => tokio::time::sleep(wait / 8).await,
                        }
                    }
                    // What it held ended with its process only where its machine says
                    // that nobody listens; one that is cut off says nothing.
                    dovetail::refuses(&h.inner, wait).await.then(Vec::new)
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
                let i = self.inside.lock().unwrap();
                match i.mandrels.get(&partition).filter(|m| m.term == term && m.seat == Seat::Owner) {
                    Some(m) if m.caught_up() => break,
                    Some(_) => {}
                    None => return,
                }
            }
            tokio::time::sleep(Duration::from_millis(self.ratio(250.0))).await;
        }
        let mut i = self.inside.lock().unwrap();
        let i = &mut *i;
        if i.mandrels.get(&partition).is_none_or(|m| m.term != term || m.seat != Seat::Owner) {
            return;
        }
        i.asking.remove(&partition);
        let now = self.now();
        let known = self.session.known();
        let m = &i.mandrels[&partition];
        for ((pos, of_term, attempt), hatch) in held {
            if let Some(w) = m.jig.pieces.get(&pos)
                && w.stand == Stand::Pending
                && let Some(c) = known.template.channel(&w.item.channel)
            {
                let until = now + c.cutoff_ms as u64 * 21 / 20 + self.ratio(8.0);
                i.turret.adopt((partition, pos), c, &w.unit, &hatch, until);
                i.turret.name((partition, pos), of_term, attempt);
            }
        }
        let wall = self.wall();
        let pending: Vec<u64> = m.jig.pending.iter().copied().collect();
        let owed: Vec<u64> = m.jig.pieces.iter().filter(|(_, w)| w.owes_notice()).map(|(p, _)| *p).collect();
        for pos in pending {
            // Silence is not "nothing": what was last given to a node that did not
            // answer waits until that attempt cannot be running any more.
            let w = &i.mandrels[&partition].jig.pieces[&pos];
            let cutoff = known.template.channel(&w.item.channel).map_or(0, |c| c.cutoff_ms as u64);
            let silence = Silence { any: seized && !silent.is_empty(), last: silent.contains(&w.node) };
            let over = silence.until(!w.item.order_key.is_empty(), w.sent_ms, taken, cutoff + self.ratio(16.0));
            if over > wall {
                tally::count("runs_maybe_held");
                i.turret.later((partition, pos), over);
                continue;
            }
            self.schedule(i, (partition, pos), wall);
        }
        for pos in owed {
            if !i.turret.notices.iter().any(|(_, k)| *k == (partition, pos)) {
                i.turret.notices.push_back((wall, (partition, pos)));
            }
        }
        self.bell.notify_one();
    }

    // ---- calls from other nodes ----

    fn handle(self: &Arc<Self>, body: Body, peg: Peg) {
        let mut guard = self.inside.lock().unwrap();
        let i = &mut *guard;
        match body {
            Body::Accept(a) => self.accept(i, a, peg),
            Body::Report(r) => self.report(i, r, peg),
            Body::Lookup(l) => {
                let found = self.lookup(i, &l);
                peg.send(Body::Found(found));
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
            Body::Status(_) => peg.send(Body::StatusAck(StatusAck { json: self.status(i) })),
            _ => {}
        }
    }

    fn known_partition(&self, i: &mut Inside, id: u32) {
        let pace = self.pace();
        let life = self.session.me().life;
        i.mandrels.entry(id).or_insert_with(|| {
            let mut m = Mandrel::new(id, &self.caliper.node, pace);
            m.life = life;
            m
        });
    }

    fn pace(&self) -> Pace {
        pace(&self.caliper)
    }

    fn leased(&self, i: &Inside) -> bool {
        self.now() < i.lease_until
    }

    fn accept(self: &Arc<Self>, i: &mut Inside, a: Accept, peg: Peg) {
        let p = a.partition;
        let owner = match i.mandrels.get(&p) {
            Some(m) if m.open() && self.leased(i) => None,
            Some(m) => Some(if m.owner == self.caliper.node { String::new() } else { m.owner.clone() }),
            None => Some(String::new()),
        };
        if let Some(owner) = owner {
            peg.send(accepted(AcceptOutcome::Elsewhere, 0, &owner));
            return;
        }
        if let Some(k) = i.fresh_ids.get(&a.item.id).copied()
            && k.0 == p
        {
            i.waiters.entry(k).or_default().push(Waiter::Accept(peg));
            return;
        }
        let m = &i.mandrels[&p];
        if let Some(pos) = m.jig.find(&a.item.id) {
            peg.send(accepted(AcceptOutcome::Taken, pos, ""));
            return;
        }
        if !m.jig.has_route(&a.item.channel) {
            // Older news than the hatch has, or newer.
            let outcome = if m.jig.revision >= a.revision { AcceptOutcome::NoRoute } else { AcceptOutcome::Elsewhere };
            peg.send(accepted(outcome, 0, ""));
            return;
        }
        let held: usize = i.mandrels.values().map(|m| m.jig.weight()).sum();
        let rank = self.session.with_known(|k| k.template.channel(&a.item.channel).map_or(0, |c| c.rank));
        let disk = (self.caliper.limits.disk_mb << 20) as usize;
        let room = Room { memory: i.memory_limit, disk: disk * 9 / 10 };
        if !room.admits(rank, held + a.item.body.len(), self.drawer.used_bytes() as usize) {
            tally::count("refused_full");
            peg.send(accepted(AcceptOutcome::Full, 0, ""));
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
        if let Some(m) = i.mandrels.get_mut(&p) {
            position = m.append(&record, now, &mut out);
            m.flush(now, &mut out);
        }
        match position {
            Some(pos) => {
                i.fresh_ids.insert(id, (p, pos));
                i.waiters.entry((p, pos)).or_default().push(Waiter::Accept(peg));
            }
            None => peg.send(accepted(AcceptOutcome::Elsewhere, 0, "")),
        }
        self.carry_out(i, p, out);
    }

    fn report(self: &Arc<Self>, i: &mut Inside, r: Report, peg: Peg) {
        let k = (r.partition, r.position);
        let now = self.now();
        let wall = self.wall();
        if i.mandrels.get(&k.0).is_none_or(|m| !m.takes_reports()) {
            peg.send(Body::ReportAck(ReportAck { kept: false }));
            return;
        }
        // Of an attempt that was given up: it says what became of that one, and another
        // is out still.
        let outdated = i.turret.outdated(k, r.term, r.attempt);
        if outdated {
            tally::count("reports_outdated");
        } else if let Some(f) = i.turret.land(k) {
            i.turret.learn(&f, &r, now);
        }
        let m = &i.mandrels[&k.0];
        let piece = m.jig.pieces.get(&k.1);
        let pending = piece.is_some_and(|w| w.stand == Stand::Pending);
        if r.outcome == Outcome::Done as i32 && piece.is_some_and(|w| w.stand == Stand::Settled && w.seal != r.seal) {
            tally::count("repeats_after_success");
        }
        let outcome = Outcome::try_from(r.outcome).unwrap_or(Outcome::Unknown);
        tally::count(match outcome {
            Outcome::Done => "runs_done",
            Outcome::Failed => "runs_failed",
            Outcome::Never => "runs_never",
            Outcome::NotRun => "runs_not_run",
            _ => "runs_unknown",
        });
        if !pending {
            peg.send(Body::ReportAck(ReportAck { kept: true }));
            self.bell.notify_one();
            return;
        }
        match outcome {
            Outcome::Done | Outcome::Failed | Outcome::Never => {
                if let Some((attempt, at)) = i.answering.get(&k).copied()
                    && attempt == r.attempt
                {
                    // Reported again while it is on its way to the disks.
                    i.waiters.entry((k.0, at)).or_default().push(Waiter::Report(peg));
                    return;
                }
                let answer = AnswerRecord { position: k.1, outcome: r.outcome, seal: r.seal, attempt: r.attempt };
                let record = Record { at_ms: wall, entry: Some(Entry::Answer(answer)) };
                let mut out = Vec::new();
                if let Some(m) = i.mandrels.get_mut(&k.0)
                    && let Some(pos) = m.append(&record, now, &mut out)
                {
                    m.flush(now, &mut out);
                    i.answering.insert(k, (r.attempt, pos));
                    i.waiters.entry((k.0, pos)).or_default().push(Waiter::Report(peg));
                }
                self.carry_out(i, k.0, out);
            }
            _ if outdated => peg.send(Body::ReportAck(ReportAck { kept: true })),
            _ => {
                peg.send(Body::ReportAck(ReportAck { kept: true }));
                match gap(outcome, r.status).again(self.class(i, k)) {
                    Again::Owner => self.schedule(i, k, wall),
                    _ => {
                        let pause = i.turret.pause(k);
                        i.turret.later(k, wall + pause);
                    }
                }
            }
        }
        self.bell.notify_one();
    }

    /// What a message is, as far as sending it again goes.
    fn class(&self, i: &Inside, k: Key) -> Class {
        let Some(w) = i.mandrels.get(&k.0).and_then(|m| m.jig.pieces.get(&k.1)) else { return Class::Message };
        let dedupes = self.session.with_known(|s| {
            let plant = s.template.channel(&w.item.channel).and_then(|c| s.template.plant(&c.plant));
            plant.is_some_and(|p| p.dedupes)
        });
        match (dedupes, w.item.order_key.is_empty()) {
            (true, _) => Class::Dedupes,
            (false, false) => Class::Sequenced,
            (false, true) => Class::Message,
        }
    }

    fn lookup(&self, i: &Inside, l: &Lookup) -> Found {
        let Some(m) = i.mandrels.get(&l.partition).filter(|m| m.seat == Seat::Owner && self.leased(i)) else {
            return Found::default();
        };
        let pos = if l.id.is_empty() { Some(l.position) } else { m.jig.find(&l.id) };
        match pos.and_then(|p| m.jig.pieces.get(&p)) {
            None if !m.caught_up() => Found::default(),
            Some(w) => Found {
                owner: true,
                known: true,
                state: w.stand.word().into(),
                seal: w.seal.clone(),
                body: if l.body { w.item.body.clone() } else { Bytes::new() },
                host: w.item.host.clone(),
            },
            None => Found { owner: true, ..Found::default() },
        }
    }

    fn status(&self, i: &Inside) -> String {
        use std::fmt::Write;
        let mut s = String::from("{\"partitions\":[");
        for (n, m) in i.mandrels.values().enumerate() {
            let _ = write!(
                s,
                "{}{{\"id\":{},\"seat\":\"{}\",\"term\":{},\"end\":{},\"commit\":{},\"durable\":{},\"verified\":{},\"mismatch\":{},\"digest\":\"{:016x}\",\"pending\":{},\"kept\":{},\"moving\":{}}}",
                if n > 0 { "," } else { "" },
                m.id,
                if m.seat == Seat::Owner { "owner" } else { "follower" },
                m.term,
                m.end(),
                m.commit,
                m.durable,
                m.verified,
                m.mismatch,
                m.jig.digest(),
                m.jig.pending.len(),
                m.jig.pieces.len(),
                m.is_moving()
            );
        }
        let _ = write!(
            s,
            "],\"node\":\"{}\",\"leased\":{},\"queued\":{},\"underWay\":{},\"counters\":\"{}\"}}",
            self.caliper.node,
            self.leased(i),
            i.turret.queued(),
            i.turret.flights.len(),
            tally::render()
        );
        s
    }

    // ---- work that comes with time ----

    /// Gives out what can be given out.
    fn pump(self: &Arc<Self>) -> u64 {
        let now = self.now();
        let wall = self.wall();
        let known = self.session.known();
        let mut guard = self.inside.lock().unwrap();
        let i = &mut *guard;
        let mut wake = now + self.ratio(20.0);
        if !self.leased(i) {
            return wake;
        }
        i.turret.news(&known.roster, &known.charter);
        while let Some(k) = i.turret.take_due(wall) {
            self.schedule(i, k, wall);
        }
        for k in i.turret.overdue(now) {
            // The delivery node was to report by now: silence, no attempt.
            tally::count("runs_overdue");
            i.turret.land(k);
            let pause = i.turret.pause(k);
            i.turret.later(k, wall + pause);
        }
        let mut touched = HashSet::new();
        for name in i.turret.plants_ready() {
            let Some(plant) = known.template.plant(&name) else { continue };
            let aim = known.template.aim_ms(&name) as u64;
            while let Some(k) = i.turret.first_ready(&name, wall, aim) {
                let asked = i.asking.get(&k.0).is_some_and(|end| k.1 <= *end);
                if asked || i.mandrels.get(&k.0).is_none_or(|m| !m.open()) {
                    // Taken over or moving: another look comes with the next step.
                    i.turret.unqueue(k);
                    i.turret.later(k, wall + self.ratio(100.0));
                    continue;
                }
                let Some(choice) = i.turret.choose(plant, now) else { break };
                if let Err(at) = i.turret.token(plant, now) {
                    wake = wake.min(at);
                    break;
                }
                if !self.dispatch(i, &known, k, plant, choice, now, wall) {
                    i.turret.unqueue(k);
                }
                touched.insert(k.0);
            }
        }
        for p in touched {
            self.step(i, p, |m, now, out| m.flush(now, out));
        }
        self.notices(i, wall);
        if let Some(due) = i.turret.next_due() {
            wake = wake.min(now + due.saturating_sub(wall).max(1));
        }
        wake
    }

    #[allow(clippy::too_many_arguments)]
    fn dispatch(
        self: &Arc<Self>,
        i: &mut Inside,
        known: &apprentice::Known,
        k: Key,
        plant: &gauge::Plant,
        choice: Choice,
        now: u64,
        wall: u64,
    ) -> bool {
        let Some(m) = i.mandrels.get_mut(&k.0) else { return false };
        let Some(w) = m.jig.pieces.get(&k.1).filter(|w| w.stand == Stand::Pending) else { return false };
        let Some(channel) = known.template.channel(&w.item.channel) else { return false };
        let cutoff = channel.cutoff_ms as u64;
        let mut item = w.item.clone();
        item.notify_url.clear();
        let dispatch = DispatchRecord { position: k.1, unit: choice.unit.clone(), node: choice.hatch.clone() };
        let record = Record { at_ms: wall, entry: Some(Entry::Dispatch(dispatch)) };
        let mut out = Vec::new();
        let Some(attempt) = m.append(&record, now, &mut out) else { return false };
        let run = Run {
            partition: k.0,
            attempt,
            term: m.term,
            position: k.1,
            address: choice.address.clone(),
            unit: choice.target.clone(),
            cutoff_ms: cutoff as u32,
            item,
            conn_limit: plant.conn_limit,
            revoked: false,
        };
        // A delivery node waits a twentieth longer than the processor may take.
        i.turret.launch(k, &choice, channel, now + cutoff * 21 / 20 + self.ratio(8.0));
        i.turret.name(k, run.term, attempt);
        self.carry_out(i, k.0, out);
        tally::count("dispatched");
        let post = self.clone();
        tokio::spawn(async move { post.run(run, choice).await });
        true
    }

    /// Sees one delivery into the delivery node's hands.
    async fn run(self: Arc<Self>, run: Run, choice: Choice) {
        let k = (run.partition, run.position);
        let (term, attempt) = (run.term, run.attempt);
        let wait = Duration::from_millis(self.ratio(8.0));
        let end = self.bench.to(&choice.hatch_inner);
        let (item, address, unit) = (Item::default(), String::new(), String::new());
        let revoke = Run { revoked: true, item, address, unit, ..run };
        match end.call(Body::Run(run), wait).await {
            Ok(Body::RunAck(a)) if a.taken => return,
            Ok(_) | Err(Verdict::NotRun) => {}
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
                        Err(Verdict::NotRun) => tokio::time::sleep(wait / 8).await,
                        Err(_) => {}
                    }
                }
                if !clear && !dovetail::refuses(&choice.hatch_inner, wait).await {
                    // Silent still: given up once such a run must be over.
                    return;
                }
            }
        }
        tally::count("runs_not_given");
        let mut i = self.inside.lock().unwrap();
        let i = &mut *i;
        if i.turret.flights.get(&k).is_some_and(|f| f.attempt == (term, attempt)) {
            i.turret.land(k);
            i.turret.later(k, self.wall() + self.ratio(200.0));
            self.bell.notify_one();
        }
    }

    /// Call-backs that are owed.
    fn notices(self: &Arc<Self>, i: &mut Inside, wall: u64) {
        let mut left = std::collections::VecDeque::new();
        while let Some((at, k)) = i.turret.notices.pop_front() {
            let piece = i.mandrels.get(&k.0).filter(|m| m.seat == Seat::Owner).and_then(|m| m.jig.pieces.get(&k.1));
            let Some(w) = piece.filter(|w| w.owes_notice()) else { continue };
            let host = w.item.notify_url.trim_start_matches("http://").split('/').next().unwrap_or("").to_owned();
            let busy = i.turret.notice_flights.get(&host).copied().unwrap_or(0);
            let hatch = i.turret.any_hatch(&host);
            let (Some((_, inner)), true, true) = (hatch, at <= wall, busy < 8) else {
                left.push_back((at, k));
                continue;
            };
            let notice = Notify {
                url: w.item.notify_url.clone(),
                id: w.item.id.clone(),
                state: w.stand.word().into(),
                seal: w.seal.clone(),
            };
            *i.turret.notice_flights.entry(host.clone()).or_insert(0) += 1;
            let post = self.clone();
            tokio::spawn(async move {
                let wait = Duration::from_millis((post.caliper.constraints.notify_s * 400.0) as u64);
                let status = match post.bench.to(&inner).call(Body::Notify(notice), wait).await {
                    Ok(Body::NotifyAck(a)) => a.status,
                    _ => 0,
                };
                let mut i = post.inside.lock().unwrap();
                let i = &mut *i;
                if let Some(n) = i.turret.notice_flights.get_mut(&host) {
                    *n = n.saturating_sub(1);
                }
                if status == 200 {
                    tally::count("call_backs_taken");
                    i.notified.entry(k.0).or_default().push(k.1);
                    if let Some(m) = i.mandrels.get_mut(&k.0)
                        && m.seat != Seat::Owner
                    {
                        i.notified.remove(&k.0);
                    }
                } else {
                    tally::count("call_backs_missed");
                    let pause = i.turret.pause(k);
                    i.turret.notices.push_back((post.wall() + pause, k));
                }
                post.bell.notify_one();
            });
        }
        i.turret.notices = left;
    }

    fn tick(self: &Arc<Self>, rounds: u64) {
        let wall = self.wall();
        let known = self.session.known();
        let mut guard = self.inside.lock().unwrap();
        let i = &mut *guard;
        let compact = (self.caliper.limits.disk_mb as usize) << 20;
        let parts = i.mandrels.len().max(1);
        let lag = self.lag();
        for p in i.mandrels.keys().copied().collect::<Vec<_>>() {
            let m = &i.mandrels[&p];
            if m.open() {
                let mut records = Vec::new();
                if known.template.revision > m.jig.revision {
                    records.push(Entry::Routes(m.jig.since_known(routes(&known.template))));
                }
                if let Some(n) = i.notified.remove(&p).filter(|n| !n.is_empty()) {
                    records.push(Entry::Notified(Positions { positions: n }));
                }
                if rounds.is_multiple_of(10) {
                    let over: Vec<u64> = m
                        .jig
                        .pending
                        .iter()
                        .filter(|pos| {
                            let w = &m.jig.pieces[pos];
                            let keep = m.jig.retain_ms(&w.item.channel);
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
                if let Some(m) = i.mandrels.get_mut(&p) {
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
            let m = &i.mandrels[&p];
            if m.seat == Seat::Owner && !m.is_moving() && !i.leaving && rounds.is_multiple_of(10) {
                let home = m.homes.first().cloned().unwrap_or_default();
                if lag == 1 {
                    // Slow here: over to one that keeps up, until this one does again.
                    let well =
                        |c: &String| !i.lagging.contains(c) && known.node(c, "lathe").is_some_and(|n| !n.leaving);
                    if let Some(to) = m.candidates().into_iter().find(well) {
                        self.step(i, p, |m, now, out| m.start_move(&to, true, wall, now, out));
                    }
                } else if !home.is_empty() && home != self.caliper.node && m.in_sync().contains(&home) {
                    let ready = known.node(&home, "lathe").is_some_and(|n| !n.leaving);
                    if ready {
                        self.step(i, p, |m, now, out| m.start_move(&home, false, wall, now, out));
                    }
                }
            }
        }
        if rounds.is_multiple_of(300) {
            tally::report(&self.caliper.node, &dovetail::sent());
        }
    }

    fn extend_lease(&self, until: u64) {
        let mut i = self.inside.lock().unwrap();
        i.lease_until = i.lease_until.max(until);
        self.bell.notify_one();
    }

    async fn keep_lease(self: Arc<Self>) {
        let period = Duration::from_millis(self.caliper.lease_ms() / 3);
        let mut turn = 0usize;
        loop {
            let asked = self.now();
            let lag = self.lag();
            let (samples, claims) = {
                let mut i = self.inside.lock().unwrap();
                if lag == 2 {
                    // It could commit nothing: stop before another one takes over.
                    if i.lease_until > 0 {
                        tally::change!("the disk does not answer: no owner until it does");
                    }
                    i.lease_until = 0;
                }
                let owned = i.mandrels.values().filter(|m| m.seat == Seat::Owner);
                let claims = owned.map(|m| Holding { partition: m.id, term: m.term }).collect::<Vec<_>>();
                (i.turret.take_samples(), claims)
            };
            let leader = self.session.with_known(|k| k.leader.clone());
            let seeds = self.session.order_foremen();
            let addr = if leader.is_empty() { seeds[turn % seeds.len()].clone() } else { leader.clone() };
            turn += 1;
            let clock_ms = tally::wall_ms();
            let l = Lease { node: self.session.me(), samples, claims: claims.clone(), lag, clock_ms };
            match self.bench.to(&addr).call(Body::Lease(l), period * 2).await {
                Ok(Body::LeaseAck(a)) if a.granted => {
                    self.session.take(&News { leader: addr, ..News::default() });
                    {
                        let mut guard = self.inside.lock().unwrap();
                        // What passed on while this node was not looking is given up
                        // before the lease counts.
                        for c in &a.outdated {
                            self.step(&mut guard, c.id, |m, now, out| m.charter(c, now, out));
                        }
                        guard.lagging = a.lagging;
                    }
                    let timed = {
                        let mut f = self.flywheel.lock().unwrap();
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
                Ok(Body::LeaseAck(a)) if a.lived > 0 => {
                    self.relive(a.lived);
                    tokio::time::sleep(period / 60).await;
                }
                Ok(Body::LeaseAck(a)) => {
                    if !a.leader.is_empty() {
                        self.session.take(&News { leader: a.leader, ..News::default() });
                    } else {
                        // It knows no leader: the others may.
                        self.ask_leader(&seeds, &claims, period).await;
                    }
                    tokio::time::sleep(period / 6).await;
                }
                _ => {
                    tally::count("lease_misses");
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
        if self.drawer.busy_for() > Duration::from_millis(self.ratio(16.0)) {
            2
        } else {
            u32::from(self.drawer.is_slow(Duration::from_millis(self.ratio(60.0))))
        }
    }

    /// Sleeps, but no longer than until the disk does otherwise than was told.
    async fn sleep_while(&self, lag: u32, period: Duration) {
        let end = Instant::now() + period;
        while Instant::now() < end && self.lag() == lag {
            tokio::time::sleep(period / 4).await;
        }
    }

    /// A life of this node that comes after its own is known to the leader, as when
    /// this process began by a clock that is behind.
    fn relive(self: &Arc<Self>, lived: u64) {
        let Some(life) = self.session.relive(lived) else { return };
        tally::count("lives_begun_again");
        // A life that this disk does not know was lived on another one.
        let birth = Birth { born: life, top: life, empty: false };
        self.session.reborn(life);
        self.drawer.write(vec![Op::Put(key(b'd', 0, 0), birth.encode_to_vec().into())], || ());
        let mut guard = self.inside.lock().unwrap();
        guard.lease_until = 0;
        for p in guard.mandrels.keys().copied().collect::<Vec<_>>() {
            self.step(&mut guard, p, |m, _, out| m.relive(life, out));
        }
    }

    /// Learns from the foremen who leads: all are asked at once, as some may be gone for
    /// good, and a lease is over before they could be asked one by one.
    async fn ask_leader(&self, foremen: &[String], claims: &[Holding], wait: Duration) {
        let (tx, mut rx) = tokio::sync::mpsc::channel(foremen.len().max(1));
        for f in foremen {
            let (node, claims, clock_ms) = (self.session.me(), claims.to_vec(), tally::wall_ms());
            let ask = Lease { node, claims, lag: self.lag(), clock_ms, ..Lease::default() };
            let (end, name, tx) = (self.bench.to(f), f.clone(), tx.clone());
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
            self.session.take(&News { leader, ..News::default() });
        }
    }

    /// Whether this node's copy of a partition is still to be taken by another one: it has
    /// a new home that is not in sync yet, or there is a store machine to take its place,
    /// which the leader is about to give it to.
    fn copy_due(&self, known: &apprentice::Known, partition: u32) -> bool {
        let me = &self.caliper.node;
        let all = &known.charter.partitions;
        let Some(p) = all.iter().find(|p| p.id == partition) else { return false };
        if !p.homes.contains(me) {
            let replicas = self.caliper.tolerance.machines as usize + 1;
            return p.insync.iter().filter(|n| *n != me).count() < replicas;
        }
        let others = known.roster.nodes.iter().filter(|n| n.role == "lathe" && !n.leaving);
        dovetail::has_replacement(all, me, others.map(|n| n.name.as_str()))
    }

    /// On SIGTERM: hand everything over by planned moves, then leave the in-sync sets.
    async fn leave(self: Arc<Self>) {
        let limit = Duration::from_millis((self.caliper.constraints.grace_s * 800.0) as u64);
        let begun = Instant::now();
        self.session.set_leaving();
        self.inside.lock().unwrap().leaving = true;
        let wall = self.wall();
        while begun.elapsed() < limit {
            let mut owned = 0;
            {
                let mut guard = self.inside.lock().unwrap();
                let i = &mut *guard;
                let known = self.session.known();
                for p in i.mandrels.keys().copied().collect::<Vec<_>>() {
                    let m = &i.mandrels[&p];
                    if m.seat != Seat::Owner {
                        continue;
                    }
                    let to = m.candidates().into_iter().find(|c| known.node(c, "lathe").is_some_and(|n| !n.leaving));
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
            let i = self.inside.lock().unwrap();
            i.mandrels.keys().filter(|p| self.copy_due(&known, **p)).count()
        };
        while due() > 0 && begun.elapsed() < limit {
            tokio::time::sleep(Duration::from_millis(self.ratio(200.0))).await;
        }
        let left = due();
        if left > 0 {
            tally::add("copies_left", left as u64);
            tally::change!("ends with {left} copies that stand nowhere else yet");
        }
        let followed: Vec<u32> = {
            let i = self.inside.lock().unwrap();
            i.mandrels.values().filter(|m| m.seat == Seat::Follower).map(|m| m.id).collect()
        };
        let mut asks = Vec::new();
        for p in followed {
            let o = Order {
                partition: p,
                term: 0,
                node: self.caliper.node.clone(),
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
        tally::change!("left after {} ms", begun.elapsed().as_millis());
    }
}

fn accepted(outcome: AcceptOutcome, position: u64, owner: &str) -> Body {
    Body::Accepted(Accepted { outcome: outcome as i32, position, owner: owner.into(), retry_ms: 0 })
}

fn pace(c: &Caliper) -> Pace {
    Pace {
        epoch: (c.constraints.quiet_ms / 8.0) as u64,
        window: (c.constraints.grace_s * 1000.0 / 20.0) as u64,
        again: (c.constraints.quiet_ms / 16.0) as u64,
        status: (c.constraints.status_s * 1000.0) as u64,
        keep_bytes: (c.limits.memory_mb << 20) as usize / 128,
    }
}

fn routes(t: &gauge::Template) -> Routes {
    let mut routes: Vec<RouteFacts> = t
        .channels
        .iter()
        .filter(|c| c.mode == "deferred")
        .map(|c| RouteFacts { channel: c.name.clone(), tries: c.tries, retain_ms: (c.retain_s * 1000.0) as u64 })
        .collect();
    routes.sort_by(|a, b| a.channel.cmp(&b.channel));
    Routes { revision: t.revision, routes, ..Routes::default() }
}

/// Runs a lathe until it is told to stop.
pub async fn run(
    caliper: Caliper,
    mut stop: watch::Receiver<bool>,
    settings: watch::Receiver<Caliper>,
) -> Result<(), String> {
    let quiet = caliper.constraints.quiet_ms;
    let silence = Duration::from_millis((quiet / 4.0) as u64);
    let mut metas: BTreeMap<u32, Meta> = BTreeMap::new();
    let mut snaps: HashMap<u32, Bytes> = HashMap::new();
    let mut logs: HashMap<u32, Vec<(u64, LogEntry)>> = HashMap::new();
    let (mut broken, mut birth) = (None, None);
    let drawer = Drawer::open(&caliper.data_dir, caliper.limits.disk_mb, caliper.limits.memory_mb, |k, v| {
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
            b'd' => match Birth::decode(v) {
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
    let mut birth = birth.unwrap_or(Birth { empty: metas.is_empty() && !caliper.initial_start, ..Birth::default() });
    let life = birth.live(dovetail::new_life());
    // Before anything else: a disk that was emptied must not pass for a full one
    // because something was written to it since.
    drawer.write(vec![Op::Put(key(b'd', 0, 0), birth.encode_to_vec().into())], || ());
    let mut mandrels = BTreeMap::new();
    for (p, meta) in metas {
        let mut entries = logs.remove(&p).unwrap_or_default();
        entries.sort_by_key(|e| e.0);
        let mut m = Mandrel::reload(p, &caliper.node, pace(&caliper), &meta, snaps.remove(&p), entries)?;
        m.life = life;
        mandrels.insert(p, m);
    }
    let node = Node {
        name: caliper.node.clone(),
        role: "lathe".into(),
        zone: caliper.zone.clone(),
        region: caliper.region.clone(),
        inner: caliper.inner_addr(Role::Lathe),
        life,
        leaving: false,
        born: birth.born,
        changed: 0,
    };
    let bench = Bench::new(silence);
    let session = Session::new(caliper.clone(), node, bench.clone());
    let (synced, mut synced_rx) = mpsc::unbounded_channel();
    let turret_pace = TurretPace {
        load_ms: (quiet / 16.0) as u64,
        pause_ms: (quiet / 64.0) as u64,
        longest_ms: (quiet / 4.0) as u64,
    };
    let post = Arc::new(Toolpost {
        inside: Mutex::new(Inside {
            mandrels,
            turret: Turret::new(&caliper.node, &caliper.zone, &caliper.region, turret_pace),
            waiters: HashMap::new(),
            fresh_ids: HashMap::new(),
            answering: HashMap::new(),
            asking: HashMap::new(),
            lease_until: 0,
            notified: HashMap::new(),
            leaving: false,
            lagging: Vec::new(),
            // Messages may fill half of the memory.
            memory_limit: (caliper.limits.memory_mb << 20) as usize / 2,
        }),
        bell: Bell::new(),
        synced,
        start: Instant::now(),
        flywheel: Mutex::new(Flywheel::new((caliper.constraints.lead_ms / 2.0) as u64)),
        session: session.clone(),
        bench,
        drawer,
        caliper: caliper.clone(),
    });
    let addr = caliper.inner_addr(Role::Lathe);
    let listener = tokio::net::TcpListener::bind(&addr).await.map_err(|e| format!("{addr}: {e}"))?;
    let p = post.clone();
    tokio::spawn(dovetail::serve(listener, silence, move |b, peg| p.handle(b, peg)));
    tokio::spawn(session.clone().keep());
    tokio::spawn(session.clone().heed(settings));
    tokio::spawn(post.clone().keep_lease());
    let p = post.clone();
    tokio::spawn(async move {
        while let Some((partition, term, end)) = synced_rx.recv().await {
            let mut i = p.inside.lock().unwrap();
            p.step(&mut i, partition, |m, now, out| m.synced(term, end, now, out));
            // Several may have become durable by one sync.
            while let Ok((partition, term, end)) = synced_rx.try_recv() {
                p.step(&mut i, partition, |m, now, out| m.synced(term, end, now, out));
            }
        }
    });
    let p = post.clone();
    let mut charter_rx = session.subscribe();
    tokio::spawn(async move {
        let mut seen = 0;
        while charter_rx.changed().await.is_ok() {
            let charter = charter_rx.borrow_and_update().charter.clone();
            if charter.version > seen {
                seen = charter.version;
                let mut i = p.inside.lock().unwrap();
                for c in &charter.partitions {
                    let mine = c.homes.contains(&p.caliper.node) || c.insync.contains(&p.caliper.node);
                    if mine {
                        p.known_partition(&mut i, c.id);
                    }
                    p.step(&mut i, c.id, |m, now, out| m.charter(c, now, out));
                }
            }
            p.bell.notify_one();
        }
    });
    let p = post.clone();
    tokio::spawn(async move {
        loop {
            let wake = p.pump();
            let pause = wake.saturating_sub(p.now()).max(1);
            tokio::select! {
                _ = p.bell.notified() => {}
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
    tally::report(&caliper.node, &dovetail::sent());
    Ok(())
}

/// How a delivery missed its answer, by its report.
fn gap(outcome: Outcome, status: u32) -> Gap {
    match (outcome, status) {
        (Outcome::NotRun, 0) => Gap::NotSent,
        (Outcome::NotRun, 409 | 429) => Gap::Busy,
        (Outcome::NotRun, _) => Gap::Refused,
        _ => Gap::Lost,
    }
}
