//! The shell of a foreman: runs the log, keeps sessions and leases, and does
//! the duties of the leader.

use crate::bellows::Bellows;
use crate::governor::Governor;
use crate::layout::*;
use crate::plumb::{Advice, Plumb};
use crate::rack::*;
use crate::vise::*;
use bytes::Bytes;
use dovetail::msg::*;
use dovetail::{Bench, Peg, after, new_life, possible};
use drawer::{Drawer, Op};
use gauge::{Caliper, Pattern, Role, Template};
use prost::Message;
use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::sync::{Notify as Bell, mpsc, oneshot, watch};

pub type Answered = oneshot::Sender<Option<Applied>>;

enum Input {
    Vise(ViseMsg),
    Propose(Bytes, Answered),
    StepDown,
    /// The foremen whose sessions stand, with their zones.
    Foremen(Vec<(String, String)>),
}

struct Session {
    node: Node,
    seen: u64,
}

struct Leased {
    life: u64,
    /// When it was last renewed.
    at: u64,
    /// The life in which its disk was empty: what it was in sync with before that
    /// does not count.
    born: u64,
    claims: Vec<Holding>,
    connection: u64,
    /// How its disk does: 0 well, 1 slow, 2 it does not answer.
    lag: u32,
}

/// State shared by the tasks of a foreman, behind a short lock.
pub struct Floor {
    pub rack: Rack,
    pub roster: Roster,
    sessions: BTreeMap<String, Session>,
    leases: HashMap<String, Leased>,
    /// Lives that were seen to end.
    ended: HashMap<String, u64>,
    pub leader: String,
    pub is_leader: bool,
    /// Until when this foreman may act for the majority; 0 when it may not.
    serves_until: u64,
    leader_since: u64,
    /// From when the roster of this leader is news: one that remembers none waits
    /// until the nodes have told it their sessions.
    publish_from: u64,
    voters: Vec<String>,
    /// How far the other foremen are behind, as the leader knows it.
    behind: Vec<(String, u64)>,
    term: u64,
    roster_seq: u64,
    units: Vec<Unit>,
    listed: bool,
    plumbs: HashMap<String, Plumb>,
    first_lathe_at: u64,
    /// How many lathes there are, and since when.
    steady: (usize, u64),
    /// Since when nobody acts as a partition's owner.
    unclaimed: HashMap<u32, u64>,
    governor: Governor,
    /// A platform for functions.
    functions: bool,
    /// Since when the processors are as this leader itself listed them; 0: not yet.
    listed_at: u64,
    pub(crate) bellows: Bellows,
    /// The configuration in force, read once for a version.
    pattern: Arc<Pattern>,
    /// The same as a tree, for changes.
    pub(crate) tree: gauge::Tree,
    /// The processors that each front is told, made once for a listing and a roster.
    pub(crate) shares: (u64, u64, HashMap<String, Units>),
}

impl Floor {
    pub(crate) fn units(&self) -> &[Unit] {
        &self.units
    }

    pub(crate) fn listed_at(&self) -> u64 {
        self.listed_at
    }

    /// Whether this foreman knows what the platform lists now.
    pub(crate) fn tells_units(&self, now: u64) -> bool {
        self.holds(now) && self.listed_at > 0
    }

    /// The leader's term: fences what its holder has the platform do.
    pub(crate) fn term(&self) -> u64 {
        self.term
    }

    /// The life of a node, if one is known that comes after this one.
    fn later_life(&self, node: &Node) -> u64 {
        let lease = self.leases.get(&node.name).map_or(0, |l| l.life);
        let session = self.sessions.get(&node.name).map_or(0, |s| s.node.life);
        let told = self.roster.nodes.binary_search_by(|n| n.name.as_str().cmp(&node.name));
        let told = told.map_or(0, |at| self.roster.nodes[at].life);
        let known = lease.max(session).max(told);
        if known > node.life { known } else { 0 }
    }

    /// Checked whenever authority is used: it runs out by the clock alone.
    fn holds(&self, now: u64) -> bool {
        self.is_leader && now < self.serves_until
    }

    /// Takes what a node says of itself, from whoever brings it: a later life
    /// replaces an earlier one, and leaving is not undone within a life. Tells
    /// whether it was news.
    fn tell(&mut self, node: &Node, now: u64) -> bool {
        let order = |n: &Node| (n.life, n.leaving);
        match self.sessions.get_mut(&node.name) {
            Some(s) if order(node) < order(&s.node) => {
                tally::count("sessions_outdated");
                false
            }
            Some(s) => {
                s.seen = s.seen.max(now);
                let moved = s.node != *node;
                s.node = node.clone();
                moved
            }
            None => {
                self.sessions.insert(node.name.clone(), Session { node: node.clone(), seen: now });
                true
            }
        }
    }
}

pub struct Shop {
    pub caliper: Caliper,
    pub me: String,
    floor: Mutex<Floor>,
    news: Bell,
    /// What nodes told has changed what is to be published.
    stale: Bell,
    inputs: mpsc::UnboundedSender<Input>,
    bench: Arc<Bench>,
    start: Instant,
    life: AtomicU64,
    assigning: AtomicBool,
    settings: watch::Receiver<Caliper>,
    /// Connections for what the platform is to do.
    pub(crate) hose: Arc<spindle::Chuck>,
}

fn key(kind: u8, index: u64) -> drawer::Key {
    drawer::key(kind, 0, index)
}

impl Shop {
    pub fn now(&self) -> u64 {
        // Starts above 0, so that "never" lies in the past.
        self.start.elapsed().as_millis() as u64 + 1_000_000
    }

    pub fn with<T>(&self, f: impl FnOnce(&mut Floor) -> T) -> T {
        f(&mut self.floor.lock().unwrap())
    }

    pub(crate) fn ratio(&self, part: f64) -> u64 {
        (self.caliper.constraints.quiet_ms / part) as u64
    }

    /// The configuration in force, with its indexes.
    pub fn pattern(&self) -> Arc<Pattern> {
        self.with(|f| {
            if f.pattern.revision != f.rack.revision
                && let Ok(t) = Template::read(&f.rack.template)
            {
                f.pattern = Arc::new(t.into());
            }
            f.pattern.clone()
        })
    }

    /// The time wants its own clock and more than half of the store machines', or
    /// all that come soon.
    fn settle_time(&self, f: &mut Floor, now: u64) {
        let mut homes: Vec<&String> = f.rack.charter.partitions.iter().flat_map(|p| &p.homes).collect();
        homes.sort_unstable();
        homes.dedup();
        let wanted = if now > f.leader_since + self.ratio(16.0) { 1 } else { homes.len() / 2 + 2 };
        f.governor.hear(&self.caliper.node, tally::wall_ms(), now);
        f.governor.settle(wanted, now);
    }

    /// The fleet's time; None while the leader does not know it.
    pub fn time(&self) -> Option<u64> {
        let now = self.now();
        self.with(|f| f.governor.time(now))
    }

    /// Whether this foreman leads and a majority still follows it.
    pub fn holds_leadership(&self) -> bool {
        let now = self.now();
        self.with(|f| f.holds(now))
    }

    /// Puts a command into the log; None when it is unclear whether it is in.
    pub async fn propose(&self, word: Word) -> Option<Applied> {
        let (tx, rx) = oneshot::channel();
        let data = Command { word: Some(word) }.encode_to_vec();
        self.inputs.send(Input::Propose(data.into(), tx)).ok()?;
        let wait = Duration::from_millis((self.caliper.constraints.ack_ms * 0.8) as u64);
        tokio::time::timeout(wait, rx).await.ok()?.ok()?
    }

    /// Who leads, as far as is known: nobody, once this foreman's own
    /// authority has run out.
    pub(crate) fn leader(&self) -> String {
        let now = self.now();
        self.with(|f| if f.leader == self.me && !f.holds(now) { String::new() } else { f.leader.clone() })
    }

    /// The control address of the leader, if it is another one.
    pub fn leader_control(&self) -> Option<String> {
        let leader = self.leader();
        if leader.is_empty() || leader == self.me {
            return None;
        }
        let ip = leader.rsplit_once(':')?.0.to_owned();
        let port = self.caliper.listen.control.rsplit_once(':')?.1;
        Some(format!("{ip}:{port}"))
    }

    fn have(f: &Floor) -> Have {
        Have { template: f.rack.revision, charter: f.rack.charter.version, roster: f.roster.version }
    }

    fn handle(self: &Arc<Self>, body: Body, peg: Peg) {
        match body {
            Body::Vise(m) => {
                let _ = self.inputs.send(Input::Vise(m));
            }
            Body::Lease(l) => {
                let ack = self.lease(l, peg.connection());
                peg.send(Body::LeaseAck(ack));
            }
            Body::Watch(w) => {
                let shop = self.clone();
                tokio::spawn(async move {
                    let news = shop.watch(w).await;
                    peg.send(Body::News(news));
                });
            }
            Body::Order(o) => {
                let shop = self.clone();
                tokio::spawn(async move {
                    let ack = shop.order(o).await;
                    peg.send(Body::OrderAck(ack));
                });
            }
            Body::UnitsAsk(a) => peg.send(Body::Units(self.units_of(&a))),
            Body::Start(s) => {
                let shop = self.clone();
                tokio::spawn(async move {
                    let platform = shop.settings.borrow().platform.address.clone();
                    let ack = shop.start_unit(s, &platform).await;
                    peg.send(Body::StartAck(ack));
                });
            }
            Body::Stop(s) => {
                let shop = self.clone();
                tokio::spawn(async move {
                    let platform = shop.settings.borrow().platform.address.clone();
                    if shop.stop_unit(&s.unit, &platform).await {
                        peg.send(Body::Ack(Ack {}));
                    }
                });
            }
            Body::Status(_) => peg.send(Body::StatusAck(StatusAck { json: self.status() })),
            _ => {}
        }
    }

    /// A lathe's connection has ended. If its address refuses another one, the
    /// process that had it open has ended too, and its lease need not be waited for.
    async fn connection_ended(self: &Arc<Self>, connection: u64) {
        let found = self.with(|f| {
            let (name, l) = f.leases.iter().find(|(_, l)| l.connection == connection)?;
            Some((name.clone(), l.life, f.sessions.get(name)?.node.inner.clone()))
        });
        let Some((name, life, inner)) = found else { return };
        let wait = Duration::from_millis(self.caliper.lease_ms());
        if dovetail::refuses(&inner, wait).await {
            let now = self.now();
            let known = self.with(|f| {
                let same = f.leases.get(&name).is_some_and(|l| l.life == life);
                if same {
                    f.ended.insert(name.clone(), life);
                }
                same && f.holds(now)
            });
            if known {
                tally::change!("the process of lathe {name} has ended");
                self.assign().await;
            }
        }
    }

    fn lease(&self, l: Lease, connection: u64) -> LeaseAck {
        let now = self.now();
        let leader = self.leader();
        self.with(|f| {
            if !f.holds(now) || !possible(l.node.life) {
                return LeaseAck { leader, ..LeaseAck::default() };
            }
            f.governor.hear(&l.node.name, l.clock_ms, now);
            if f.governor.time(now).is_none() {
                self.settle_time(f, now);
            }
            let lived = f.later_life(&l.node);
            if lived > 0 {
                // A former life of that node, on its way for long; or one that began by
                // a clock that is behind, and is to begin another.
                tally::count("sessions_outdated");
                return LeaseAck { leader, lived, ..LeaseAck::default() };
            }
            let name = l.node.name.clone();
            if f.ended.get(&name) == Some(&l.node.life) {
                // This life was given up; its partitions may be others' by now. It may
                // go on as a follower, so the lease is new, not renewed.
                f.ended.remove(&name);
            }
            if let Some(old) = f.leases.get(&name)
                && old.life != l.node.life
            {
                tally::change!("lathe {name} came back in a new life");
                f.ended.insert(name.clone(), old.life);
            }
            if f.first_lathe_at == 0 {
                f.first_lathe_at = now;
            }
            f.leases.insert(
                name.clone(),
                Leased {
                    life: l.node.life,
                    at: now,
                    born: l.node.born,
                    claims: l.claims.clone(),
                    connection,
                    lag: l.lag,
                },
            );
            if f.tell(&l.node, now) {
                self.stale.notify_one();
            }
            for s in &l.samples {
                if let Some(r) = f.rack.charter.rollouts.iter().find(|r| r.plant == s.plant && r.state == "running") {
                    let target = r.target.clone();
                    f.plumbs.entry(s.plant.clone()).or_default().add(&target, s);
                }
            }
            let term = |c: &Holding| f.rack.charter.partitions.iter().find(|p| p.id == c.partition && p.term > c.term);
            LeaseAck {
                granted: l.lag < 2,
                ttl_ms: self.caliper.lease_ms() as u32,
                leader,
                outdated: l.claims.iter().filter_map(term).cloned().collect(),
                lagging: f.leases.iter().filter(|(_, l)| l.lag > 0).map(|(n, _)| n.clone()).collect(),
                lived: 0,
                time_ms: f.governor.time(now).unwrap_or(0),
            }
        })
    }

    fn refresh_roster(f: &mut Floor, now: u64) {
        if !f.holds(now) || now < f.publish_from {
            return;
        }
        let nodes: Vec<&Node> = f.sessions.values().map(|s| &s.node).collect();
        // Processors of functions are told to their keepers only.
        let units: &[Unit] = if f.functions { &[] } else { &f.units };
        if f.roster.differs(&nodes, units, f.listed) {
            f.roster_seq += 1;
            f.roster.publish((f.term << 24) + f.roster_seq, &nodes, units, f.listed);
        }
    }

    /// Publishes what nodes told, a moment after the first of them: when many begin
    /// at once, each version would else be sent to all that are there already.
    async fn publish(self: Arc<Self>) {
        loop {
            self.stale.notified().await;
            tokio::time::sleep(Duration::from_millis(self.ratio(400.0))).await;
            let now = self.now();
            let moved = self.with(|f| {
                let told = f.roster.version;
                Self::refresh_roster(f, now);
                f.roster.version != told
            });
            if moved {
                tally::count("rosters_published");
                self.news.notify_waiters();
            }
        }
    }

    async fn watch(&self, w: Watch) -> News {
        let now = self.now();
        let mut lived = 0;
        self.with(|f| {
            let mut changed = false;
            if let Some(n) = &w.node {
                lived = f.later_life(n);
                f.governor.hear(&n.name, w.clock_ms, now);
            }
            if f.is_leader
                && f.roster.version == 0
                && w.have.roster > 0
                && w.node.as_ref().is_some_and(|n| n.role == "foreman")
            {
                // Others remember more than this leader: it must not forget them aloud.
                f.publish_from = f.leader_since + self.ratio(4.0);
            }
            for n in w.node.iter().chain(&w.sessions).filter(|n| possible(n.life)) {
                changed |= f.tell(n, now);
            }
            if changed {
                self.stale.notify_one();
            }
        });
        let wait = tokio::time::sleep(Duration::from_millis(w.wait_ms.min(self.ratio(4.0) as u32) as u64));
        tokio::pin!(wait);
        loop {
            let bell = self.news.notified();
            let newer = self.with(|f| {
                let h = Self::have(f);
                h.template > w.have.template || h.charter > w.have.charter || h.roster > w.have.roster
            });
            if newer || lived > 0 {
                break;
            }
            tokio::select! { _ = bell => {}, _ = &mut wait => break }
        }
        self.with(|f| {
            let have = Self::have(f);
            let (template, steps) = f.rack.since(w.have.template);
            let mut news = News {
                have,
                steps,
                charter: (have.charter > w.have.charter).then(|| f.rack.charter.since(w.have.charter)),
                roster: (have.roster > w.have.roster).then(|| f.roster.since(w.have.roster)),
                leader: if f.leader == self.me && !f.holds(self.now()) { String::new() } else { f.leader.clone() },
                foremen: f
                    .sessions
                    .values()
                    .filter(|s| s.node.role == "foreman")
                    .map(|s| s.node.inner.clone())
                    .collect(),
                lived,
                ..News::default()
            };
            if let Some(json) = template {
                news.put_template(json);
            }
            news
        })
    }

    fn partition(&self, id: u32) -> Option<Partition> {
        self.with(|f| f.rack.charter.partitions.iter().find(|p| p.id == id).cloned())
    }

    async fn order(&self, o: Order) -> OrderAck {
        let mut ack = OrderAck { leader: self.leader(), ..OrderAck::default() };
        if !self.holds_leadership() {
            return ack;
        }
        let Some(was) = self.partition(o.partition) else {
            ack.refused = true;
            return ack;
        };
        // One comes into sync only in the life that holds a lease, and with a disk
        // that keeps up.
        let fit = self.with(|f| f.leases.get(&o.node).is_some_and(|l| l.life == o.life && l.lag == 0));
        if o.kind == OrderKind::Join as i32 && o.seen != was.changed {
            // Asked before the last word on this partition: with that, it may ask anew.
            ack.partition = Some(was);
            return ack;
        }
        if o.kind == OrderKind::Join as i32 && !fit {
            // A refusal is logged as well: whoever hears it counts that node no longer,
            // so no earlier ask may be granted behind it.
            let put = Word::Partition(PutPartition { was: was.clone(), now: was });
            ack.refused = self.propose(put).await == Some(Applied::Done);
            ack.partition = self.partition(o.partition);
            return ack;
        }
        match rule(&was, &o) {
            Ruling::Refused => {
                ack.refused = true;
                ack.partition = Some(was);
            }
            Ruling::Stands => {
                ack.ok = true;
                ack.partition = Some(was);
            }
            Ruling::Put(now) => {
                let put = Word::Partition(PutPartition { was, now });
                if self.propose(put).await == Some(Applied::Done) {
                    tally::count("partition_orders");
                    ack.ok = true;
                    ack.partition = self.partition(o.partition);
                }
            }
        }
        ack
    }

    // ---- duties of the leader ----

    fn alive(f: &Floor, now: u64, lease: u64, name: &str) -> bool {
        // A lease runs from when the node sent its request; a quarter is added
        // for what clocks and queues may differ.
        let grace = f.leader_since + lease * 2;
        f.leases.get(name).map_or(now < grace, |l| {
            l.lag < 2 && f.ended.get(name) != Some(&l.life) && now < l.at.max(f.leader_since) + lease * 5 / 4
        })
    }

    async fn assign(self: &Arc<Self>) {
        if self.assigning.swap(true, Ordering::Relaxed) {
            return;
        }
        let mut proposed = Vec::new();
        let now = self.now();
        let lease = self.caliper.lease_ms();
        let mut words: Vec<(String, Word)> = Vec::new();
        self.with(|f| {
            self.settle_time(f, now);
            // Sessions that ended.
            let limit = self.ratio(3.0);
            let before = f.sessions.len();
            let me = self.me.clone();
            f.sessions.retain(|_, s| s.node.inner == me || now < s.seen + limit);
            let told = f.roster.version;
            if f.sessions.len() == before || now > f.leader_since + limit {
                // Also what could not be published when it was heard.
                Self::refresh_roster(f, now);
            }
            if f.roster.version != told {
                self.news.notify_waiters();
            }
            let foremen = f.sessions.values().filter(|s| s.node.role == "foreman");
            let _ = self
                .inputs
                .send(Input::Foremen(foremen.map(|s| (s.node.inner.clone(), s.node.zone.clone())).collect()));
            let live: Vec<Stand> = f
                .sessions
                .values()
                .filter(|s| s.node.role == "lathe" && !s.node.leaving && Self::alive(f, now, lease, &s.node.name))
                .map(|s| Stand { name: s.node.name.clone(), zone: s.node.zone.clone(), region: s.node.region.clone() })
                .collect();
            let tolerance = &self.caliper.tolerance;
            let replicas = tolerance.machines as usize + 1;
            let spread = Spread { zones: tolerance.zones as usize, regions: tolerance.regions as usize };
            if f.steady.0 != live.len() {
                f.steady = (live.len(), now);
            }
            if f.rack.charter.partitions.is_empty() {
                let zones = self.caliper.zones.len().max(1);
                let waited = f.first_lathe_at != 0 && now > f.first_lathe_at + self.ratio(2.0);
                // Fixed from then on: not before no more have come for a while.
                let steady = now > f.steady.1 + self.ratio(8.0);
                if steady && (live.len() >= zones.max(replicas) || (waited && live.len() >= replicas)) {
                    let mut partitions = layout(&live, replicas, spread);
                    for p in &mut partitions {
                        for h in p.homes.clone() {
                            p.set_joined(&h, f.leases.get(&h).map_or(0, |l| l.life));
                        }
                    }
                    tally::change!("{} partitions on {} store machines", partitions.len(), live.len());
                    words.push(("layout".into(), Word::Layout(Layout { partitions })));
                }
                return;
            }
            let partitions = f.rack.charter.partitions.clone();
            let retiring: Vec<String> =
                f.rack.charter.retires.iter().filter(|r| !r.done).map(|r| r.node.clone()).collect();
            let spare: Vec<Stand> = live.iter().filter(|n| !retiring.contains(&n.name)).cloned().collect();
            for p in &partitions {
                let life = |n: &str| f.leases.get(n).map(|l| l.life);
                // An emptied disk holds what it was filled with since then only.
                let holds = |n: &str| f.leases.get(n).is_none_or(|l| p.joined_life(n) >= l.born);
                let lag = |n: &str| f.leases.get(n).map_or(0, |l| l.lag);
                // A slow disk does not hold up an owner whose own is well.
                let slows = |n: &str| {
                    let candidate = p.grant.as_ref().is_some_and(|g| g.candidate == n);
                    n != p.owner && !candidate && lag(n) > 0 && lag(&p.owner) == 0
                };
                let stands = |n: &str| Self::alive(f, now, lease, n) && holds(n) && !slows(n);
                let mut put = seize(p, stands, life);
                let claimed = f.leases.iter().any(|(n, l)| {
                    Self::alive(f, now, lease, n) && l.claims.iter().any(|c| c.partition == p.id && c.term >= p.term)
                });
                if claimed {
                    f.unclaimed.remove(&p.id);
                } else if now > *f.unclaimed.entry(p.id).or_insert(now) + 3 * lease && put.is_none() {
                    let stands = |n: &str| f.leases.contains_key(n) && Self::alive(f, now, lease, n) && holds(n);
                    put = revive(p, stands, life);
                    f.unclaimed.remove(&p.id);
                }
                if let Some(put) = put {
                    if put.term != p.term {
                        tally::change!(
                            "partition {} seized from {} for {} at term {}",
                            p.id,
                            p.owner,
                            put.owner,
                            put.term
                        );
                    } else {
                        tally::change!("partition {} in sync: {:?}", p.id, put.insync);
                    }
                    words.push((format!("p{}", p.id), Word::Partition(PutPartition { was: p.clone(), now: put })));
                    continue;
                }
                // Homes: of retiring nodes, and of nodes that are away: for twice the
                // settling time, or a quarter of it where a node without any work is
                // there, as after a machine was replaced by one at another address.
                let idle = |n: &Stand| !partitions.iter().any(|q| q.homes.contains(&n.name));
                let patience = if spare.iter().any(idle) { 250.0 } else { 2000.0 };
                let away = (self.caliper.constraints.settle_s * patience) as u64;
                let gone = p.homes.iter().find(|h| {
                    retiring.contains(h)
                        || (now > f.leader_since + away && f.leases.get(*h).is_none_or(|l| now > l.at + away))
                });
                if let Some(gone) = gone
                    && spare.len() >= replicas
                    && let Some(now) = rehome(p, gone, &partitions, &spare, replicas, spread)
                {
                    tally::change!("partition {} homes {:?}", p.id, now.homes);
                    words.push((format!("p{}", p.id), Word::Partition(PutPartition { was: p.clone(), now })));
                    continue;
                }
                if p.homes.len() < replicas
                    && let Some(n) = new_home(p, &partitions, &spare, replicas, spread)
                {
                    let mut now = p.clone();
                    now.homes.push(n);
                    words.push((format!("p{}", p.id), Word::Partition(PutPartition { was: p.clone(), now })));
                }
            }
            if words.is_empty()
                && let Some(now) = rebalance(&partitions, &spare)
            {
                tally::change!("partition {} homes {:?}, for balance", now.id, now.homes);
                let was = partitions.iter().find(|p| p.id == now.id).cloned();
                words.extend(was.map(|was| ("balance".into(), Word::Partition(PutPartition { was, now }))));
            }
            for r in f.rack.charter.retires.iter().filter(|r| !r.done) {
                let holds = partitions.iter().any(|p| {
                    p.owner == r.node
                        || p.homes.contains(&r.node)
                        || p.insync.contains(&r.node)
                        || p.insync.len() < replicas
                        || p.grant.is_some()
                });
                if !holds {
                    tally::change!("retired {}", r.node);
                    words.push((r.node.clone(), Word::Retire(Retire { node: r.node.clone(), done: true })));
                }
            }
        });
        for (_, w) in words {
            // Together: each changes another partition, and only as it was seen here.
            let shop = self.clone();
            proposed.push(tokio::spawn(async move {
                shop.propose(w).await;
            }));
        }
        for p in proposed {
            let _ = p.await;
        }
        self.assigning.store(false, Ordering::Relaxed);
    }

    async fn judge(&self) {
        // The leader's own clock may step in the middle of a trial.
        let Some(wall) = self.time() else { return };
        if self.with(|f| f.rack.charter.rollouts.iter().all(|r| r.state != "running")) {
            return;
        }
        let pattern = self.pattern();
        let mut words = Vec::new();
        self.with(|f| {
            if f.rack.charter.rollouts.iter().all(|r| r.state != "running") {
                return;
            }
            let cutoff = pattern.channels.iter().map(|c| c.cutoff_ms).fold(0.0, f64::max);
            let linger = cutoff as u64 + self.caliper.constraints.revert_slack_ms as u64;
            for r in f.rack.charter.rollouts.iter().filter(|r| r.state == "running") {
                let p = f.plumbs.entry(r.plant.clone()).or_default();
                let mut now = r.clone();
                now.spent = now.spent.max(p.sent_new);
                match p.advise(r, wall, linger, self.caliper.constraints.revert_slack_ms / 10.0) {
                    Advice::Wait => continue,
                    Advice::Share(s) => now.share = s,
                    Advice::Settle => now.state = "settled".into(),
                    Advice::Revert(why) => {
                        tally::change!("roll-out of {} reverted: {why}", r.plant);
                        now.state = "reverted".into();
                        now.share = 0;
                    }
                }
                tally::change!(
                    "roll-out of {} to {}: {} at {} thousandths",
                    now.plant,
                    now.target,
                    now.state,
                    now.share
                );
                words.push(Word::Rollout(now));
            }
        });
        for w in words {
            self.propose(w).await;
        }
    }

    async fn list(&self, settings: watch::Receiver<Caliper>) {
        #[derive(serde::Deserialize)]
        #[serde(rename_all = "camelCase", default)]
        #[derive(Default)]
        struct Listed {
            id: String,
            plant: String,
            address: String,
            zone: String,
            revision: String,
            capacity: u32,
            state: String,
            cold_left_ms: f64,
        }
        #[derive(serde::Deserialize)]
        #[serde(rename_all = "camelCase")]
        struct Page {
            units: Vec<Listed>,
            next_token: Option<String>,
        }
        let chuck = spindle::Chuck::new(Duration::from_millis(self.caliper.constraints.quiet_ms as u64));
        let period = Duration::from_millis((self.caliper.constraints.converge_ms / 5.0) as u64);
        loop {
            let addr = settings.borrow().platform.address.clone();
            if addr.is_empty() || !self.holds_leadership() {
                tokio::time::sleep(period / 4).await;
                continue;
            }
            let (mut units, mut token, mut whole) = (Vec::new(), None::<String>, false);
            loop {
                let path = token.as_ref().map_or("/units".into(), |t| format!("/units?pageToken={t}"));
                let call = spindle::Call {
                    method: "GET",
                    path: &path,
                    host: &addr,
                    headers: &[],
                    body: &[],
                    id: "",
                    newest: None,
                };
                tally::count("platform_calls");
                let Ok(a) = chuck.call(&addr, call, 2, Duration::from_millis(1000)).await else { break };
                if a.status != 200 {
                    break;
                }
                let Ok(page) = serde_json::from_slice::<Page>(&a.body) else { break };
                units.extend(page.units.into_iter().map(|u| Unit {
                    id: u.id,
                    plant: u.plant,
                    address: u.address,
                    zone: u.zone,
                    revision: u.revision,
                    capacity: u.capacity,
                    draining: u.state != "ready",
                    cold: u.cold_left_ms > 0.0,
                    changed: 0,
                }));
                token = page.next_token.filter(|t| !t.is_empty());
                if token.is_none() {
                    whole = true;
                    break;
                }
            }
            if whole {
                units.sort_by(|a, b| a.id.cmp(&b.id));
                let now = self.now();
                self.with(|f| {
                    f.units = units;
                    f.listed = true;
                    f.listed_at = now;
                    Self::refresh_roster(f, now);
                });
                self.news.notify_waiters();
            }
            tokio::time::sleep(period).await;
        }
    }

    /// A foreman that does not lead keeps a session with it, tells it its own
    /// sessions, and takes the soft state from it.
    async fn follow(self: Arc<Self>, settings: watch::Receiver<Caliper>) {
        let wait = self.ratio(8.0);
        // A newcomer is known to nobody: whoever runs is asked who leads.
        let (mut hint, mut turn) = (String::new(), 0usize);
        loop {
            let (leader, mine, have, sessions) = self.with(|f| {
                let now = self.now();
                let limit = self.ratio(3.0);
                let is_leader = f.is_leader;
                let me = self.me.clone();
                if !is_leader {
                    f.sessions.retain(|_, s| s.node.inner == me || now < s.seen + limit);
                }
                let list: Vec<Node> = f
                    .sessions
                    .values()
                    .filter(|s| s.node.inner != me && s.node.role != "foreman" && s.node.role != "lathe")
                    .map(|s| s.node.clone())
                    .collect();
                (f.leader.clone(), is_leader, Self::have(f), list)
            });
            if mine || leader == self.me {
                tokio::time::sleep(Duration::from_millis(wait / 4)).await;
                continue;
            }
            let known = !leader.is_empty();
            let leader = if known { leader } else { std::mem::take(&mut hint) };
            let leader = if leader.is_empty() || leader == self.me {
                tokio::time::sleep(Duration::from_millis(wait / 8)).await;
                let seeds: Vec<String> =
                    settings.borrow().seed_foremen().into_iter().filter(|s| *s != self.me).collect();
                turn += 1;
                let Some(seed) = seeds.get(turn % seeds.len().max(1)) else { continue };
                let w = Watch {
                    have: Have { template: u64::MAX, charter: u64::MAX, roster: u64::MAX },
                    wait_ms: 1,
                    ..Watch::default()
                };
                if let Ok(Body::News(n)) = self.bench.to(seed).call(Body::Watch(w), Duration::from_millis(wait)).await {
                    hint = n.leader;
                }
                continue;
            } else {
                leader
            };
            let w = Watch {
                node: Some(self.node()),
                have: Have { template: u64::MAX, charter: u64::MAX, ..have },
                wait_ms: wait as u32,
                sessions,
                clock_ms: tally::wall_ms(),
            };
            match self.bench.to(&leader).call(Body::Watch(w), Duration::from_millis(wait * 2)).await {
                Ok(Body::News(n)) => self.with(|f| {
                    if f.is_leader {
                        return;
                    }
                    if n.lived >= self.life.load(Ordering::Relaxed) && possible(n.lived) {
                        self.life.store(after(n.lived), Ordering::Relaxed);
                        let own = self.node();
                        f.sessions.insert(own.name.clone(), Session { node: own, seen: u64::MAX / 2 });
                    }
                    if let Some(r) = n.roster
                        && f.roster.take(&r)
                    {
                        if !f.functions {
                            f.units.clone_from(&f.roster.units);
                        }
                        f.listed = f.roster.listed;
                        self.news.notify_waiters();
                    }
                }),
                _ => {
                    hint.clear();
                    tokio::time::sleep(Duration::from_millis(wait / 4)).await;
                }
            }
        }
    }

    /// Starts judging a plant's roll-out afresh.
    pub fn forget_plumb(&self, plant: &str) {
        self.with(|f| f.plumbs.remove(plant));
    }

    fn node(&self) -> Node {
        Node {
            name: self.caliper.node.clone(),
            role: "foreman".into(),
            zone: self.caliper.zone.clone(),
            region: self.caliper.region.clone(),
            inner: self.me.clone(),
            life: self.life.load(Ordering::Relaxed),
            ..Node::default()
        }
    }

    pub fn status(&self) -> String {
        self.with(|f| {
            let parts: Vec<serde_json::Value> = f
                .rack
                .charter
                .partitions
                .iter()
                .map(|p| {
                    serde_json::json!({"id": p.id, "term": p.term, "owner": p.owner, "insync": p.insync,
                        "homes": p.homes, "candidate": p.grant.as_ref().map(|g| g.candidate.clone())})
                })
                .collect();
            let nodes: Vec<serde_json::Value> = f
                .roster
                .nodes
                .iter()
                .map(|n| serde_json::json!({"name": n.name, "role": n.role, "zone": n.zone, "inner": n.inner, "leaving": n.leaving}))
                .collect();
            let behind: BTreeMap<&String, u64> = f.behind.iter().map(|(n, b)| (n, *b)).collect();
            // Store machines whose disks do not keep up.
            let disks: BTreeMap<&String, &str> = f
                .leases
                .iter()
                .filter(|(_, l)| l.lag > 0)
                .map(|(n, l)| (n, if l.lag == 1 { "slow" } else { "does not answer" }))
                .collect();
            serde_json::json!({"node": self.caliper.node, "leader": f.leader, "isLeader": f.is_leader,
                "duties": if f.is_leader { vec!["lister", "judge", "assigner"] } else { vec![] },
                "voters": f.voters, "behind": behind, "disks": disks, "revision": f.rack.revision, "charter": f.rack.charter.version, "roster": f.roster.version,
                "units": f.roster.units.len(), "partitions": parts, "nodes": nodes, "counters": tally::render()})
            .to_string()
        })
    }
}

/// Runs a foreman until it is told to stop.
pub async fn run(
    caliper: Caliper,
    mut stop: watch::Receiver<bool>,
    settings: watch::Receiver<Caliper>,
) -> Result<(), String> {
    let me = caliper.inner_addr(Role::Foreman);
    let quiet = caliper.constraints.quiet_ms;
    let (mut hard, mut state, mut log) = (None::<HardState>, Bytes::new(), Vec::new());
    let mut broken = None;
    let drawer =
        Drawer::open(&caliper.data_dir, caliper.limits.disk_mb, caliper.limits.memory_mb, |k, v| match k[0] {
            b'h' => match HardState::decode(v) {
                Ok(h) => hard = Some(h),
                Err(e) => broken = Some(format!("the vote record: {e}")),
            },
            b'b' => state = Bytes::copy_from_slice(v),
            b'e' => match ViseEntry::decode(v) {
                Ok(e) => log.push(e),
                Err(e) => broken = Some(format!("a log entry: {e}")),
            },
            _ => {}
        })?;
    if let Some(b) = broken {
        return Err(format!("{}: {b}; empty this disk and the others will fill it", caliper.data_dir));
    }
    let fresh = hard.is_none();
    if fresh && (!log.is_empty() || !state.is_empty()) {
        return Err(format!("{}: the vote record is missing; empty this disk", caliper.data_dir));
    }
    // Only the first start of all takes the voters from the seeds; any later
    // newcomer is told them by the log.
    let hard = hard.unwrap_or_else(|| HardState {
        voters: if caliper.initial_start { caliper.seed_foremen() } else { Vec::new() },
        may_vote: caliper.initial_start,
        ..HardState::default()
    });
    log.retain(|e: &ViseEntry| e.index > hard.base);
    log.sort_by_key(|e| e.index);
    for (i, e) in log.iter().enumerate() {
        if e.index != hard.base + 1 + i as u64 {
            return Err(format!("{}: entry {} is missing from the log", caliper.data_dir, hard.base + 1 + i as u64));
        }
    }
    if fresh && !caliper.initial_start {
        tally::change!("the disk is empty: no vote until readmitted");
    }
    let pace = Pace { beat: (quiet / 26.0) as u64, election: (quiet / 9.0) as u64 };
    let start = Instant::now();
    let seed = print(me.as_bytes()) ^ tally::wall_ms();
    let rack = match (hard.base, Rack::decode(state.clone())) {
        (0, _) => Rack::default(),
        (_, Ok(r)) if !state.is_empty() => r,
        (at, _) => return Err(format!("{}: the state as of entry {at} cannot be read", caliper.data_dir)),
    };
    let vise = Vise::new(&me, hard.clone(), state, log, pace, seed, 1_000_000);
    let (inputs, rx) = mpsc::unbounded_channel();
    let shop = Arc::new(Shop {
        me: me.clone(),
        floor: Mutex::new(Floor {
            rack,
            roster: Roster::default(),
            sessions: BTreeMap::new(),
            leases: HashMap::new(),
            ended: HashMap::new(),
            leader: String::new(),
            is_leader: false,
            serves_until: 0,
            leader_since: 0,
            publish_from: 0,
            voters: Vec::new(),
            behind: Vec::new(),
            term: 0,
            roster_seq: 0,
            units: Vec::new(),
            listed: false,
            plumbs: HashMap::new(),
            first_lathe_at: 0,
            steady: (0, 0),
            unclaimed: HashMap::new(),
            governor: Governor::new(
                (caliper.constraints.lead_ms / 2.0).max(quiet / 100.0) as u64,
                (quiet / 4.0) as u64,
            ),
            functions: caliper.runs_functions(),
            listed_at: 0,
            bellows: Bellows::new(
                caliper.platform.lag_ms as u64 + (caliper.constraints.converge_ms / 4.0) as u64,
                caliper.platform.duty_per_s,
            ),
            pattern: Arc::default(),
            tree: gauge::Tree::default(),
            shares: (0, 0, HashMap::new()),
        }),
        news: Bell::new(),
        stale: Bell::new(),
        inputs,
        bench: Bench::new(Duration::from_millis((quiet / 4.0) as u64)),
        start,
        life: AtomicU64::new(new_life()),
        assigning: AtomicBool::new(false),
        settings: settings.clone(),
        hose: spindle::Chuck::new(Duration::from_millis(quiet as u64)),
        caliper: caliper.clone(),
    });
    let own = shop.node();
    shop.with(|f| f.sessions.insert(own.name.clone(), Session { node: own, seen: u64::MAX / 2 }));
    if fresh {
        save(&drawer, Save { hard: Some(hard), ..Save::default() }).await;
    }
    let silence = Duration::from_millis((quiet / 4.0) as u64);
    let listener = tokio::net::TcpListener::bind(&me).await.map_err(|e| format!("{me}: {e}"))?;
    let s = shop.clone();
    let e = shop.clone();
    let ended = move |connection| {
        let shop = e.clone();
        tokio::spawn(async move { shop.connection_ended(connection).await });
    };
    tokio::spawn(dovetail::serve_and_tell(listener, silence, move |b, p| s.handle(b, p), ended));
    tokio::spawn(shop.clone().publish());
    tokio::spawn(shop.clone().follow(settings.clone()));
    if caliper.runs_functions() {
        tokio::spawn(shop.clone().list_workers(settings.clone()));
    }
    let s = shop.clone();
    tokio::spawn(async move { s.list(settings).await });
    tokio::spawn(turn(shop.clone(), vise, drawer, rx));
    let s = shop.clone();
    let (close, closing) = watch::channel(spindle::Closing::Open);
    tokio::spawn(crate::operator::serve(s, closing));
    let s = shop.clone();
    tokio::spawn(async move {
        let period = Duration::from_millis(s.ratio(60.0));
        let mut rounds = 0u64;
        loop {
            tokio::time::sleep(period).await;
            rounds += 1;
            if s.holds_leadership() {
                s.assign().await;
                if rounds.is_multiple_of(3) {
                    s.judge().await;
                }
            }
            if rounds.is_multiple_of(300) {
                tally::report(&s.caliper.node, &dovetail::sent());
            }
        }
    });
    let _ = stop.wait_for(|s| *s).await;
    let _ = shop.inputs.send(Input::StepDown);
    let _ = close.send(spindle::Closing::Draining);
    tokio::time::sleep(Duration::from_millis(shop.ratio(16.0))).await;
    tally::report(&caliper.node, &dovetail::sent());
    Ok(())
}

async fn save(drawer: &Drawer, s: Save) {
    let mut ops = Vec::new();
    if let Some((a, b)) = s.del {
        ops.push(Op::DelRange(key(b'e', a), key(b'e', b)));
    }
    if let Some(h) = &s.hard {
        ops.push(Op::Put(key(b'h', 0), h.encode_to_vec().into()));
    }
    if let Some(b) = s.state {
        ops.push(Op::Put(key(b'b', 0), b));
    }
    ops.extend(s.put.iter().map(|e| Op::Put(key(b'e', e.index), e.encode_to_vec().into())));
    let (tx, rx) = oneshot::channel();
    drawer.write(ops, move || {
        let _ = tx.send(());
    });
    let _ = rx.await;
}

/// The one task that steps the log.
async fn turn(shop: Arc<Shop>, mut vise: Vise, drawer: Drawer, mut rx: mpsc::UnboundedReceiver<Input>) {
    let mut waiting: HashMap<u64, (u64, Answered)> = HashMap::new();
    let mut ticks = tokio::time::interval(Duration::from_millis(shop.ratio(100.0)));
    let wanted = (2 * shop.caliper.tolerance.machines as usize + 1).max(3);
    // Large configurations fill the log long before it is long.
    let heavy = (shop.caliper.limits.memory_mb as usize) << 20 >> 6;
    let away = (shop.caliper.constraints.settle_s * 500.0) as u64;
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        let mut answer = None;
        let event = tokio::select! {
            i = rx.recv() => match i {
                Some(Input::Vise(m)) => Event::Message(m),
                Some(Input::Propose(d, a)) => { answer = Some(a); Event::Propose(d) }
                Some(Input::StepDown) => Event::StepDown,
                Some(Input::Foremen(all)) => {
                    let now = shop.now();
                    match vise.next_voters(&all, wanted, away, now) {
                        Some(v) => {
                            tally::change!("voters {:?}", v);
                            Event::SetVoters(v)
                        }
                        None => Event::Foremen(all.into_iter().map(|f| f.0).collect()),
                    }
                }
                None => return,
            },
            _ = ticks.tick() => Event::Tick,
        };
        let now = shop.now();
        let ticked = matches!(event, Event::Tick);
        let mut effects = vise.step(now, event);
        if vise.length() > 512 || vise.weight() > heavy {
            let index = vise.applied();
            let state = shop.with(|f| f.rack.encode_to_vec());
            effects.extend(vise.step(now, Event::Snapshot { index, state: state.into() }));
        }
        for e in effects {
            match e {
                Effect::Save(s) => {
                    let saving = save(&drawer, s);
                    tokio::pin!(saving);
                    let patience = Duration::from_millis(shop.ratio(32.0));
                    if tokio::time::timeout(patience, &mut saving).await.is_err() {
                        if vise.role == StateRole::Leader && vise.voters().len() > 1 {
                            // It cannot write, so it cannot lead: another one can at once.
                            tally::change!("the disk does not answer: naming a successor");
                            for e in vise.step(shop.now(), Event::StepDown) {
                                if let Effect::Send(to, m) = e {
                                    shop.bench.to(&to).send(Body::Vise(m));
                                }
                            }
                            shop.with(|f| {
                                f.is_leader = false;
                                f.serves_until = 0;
                                f.leader.clear();
                            });
                            waiting.clear();
                        }
                        saving.await;
                    }
                }
                Effect::Send(to, m) => shop.bench.to(&to).send(Body::Vise(m)),
                Effect::Proposed(index, term) => {
                    if let Some(a) = answer.take() {
                        waiting.insert(index, (term, a));
                    }
                }
                Effect::Apply(e) => {
                    let applied = shop.with(|f| f.rack.apply_with(&mut f.tree, e.index, &e.data));
                    if let Some((term, a)) = waiting.remove(&e.index) {
                        let _ = a.send((term == e.term).then_some(applied));
                    }
                    shop.news.notify_waiters();
                }
                Effect::Restore(state) => {
                    match Rack::decode(state) {
                        Ok(rack) => shop.with(|f| {
                            f.rack = rack;
                            f.tree = gauge::Tree::default();
                        }),
                        Err(e) => {
                            // Never go on with a blank one.
                            tally::error!("the state that the leader sent cannot be read, ending: {e}");
                            std::process::exit(3);
                        }
                    }
                    shop.news.notify_waiters();
                }
                Effect::BecameLeader => {
                    tally::change!("leader at term {}", vise.hard.term);
                    let now = shop.now();
                    shop.with(|f| {
                        f.is_leader = true;
                        f.leader_since = now;
                        f.listed_at = 0;
                        f.term = vise.hard.term;
                        f.roster_seq = 0;
                        f.publish_from = if f.roster.version > 0 { 0 } else { now + shop.ratio(16.0) };
                        f.plumbs.clear();
                        f.leases.clear();
                        f.governor.forget();
                        f.unclaimed.clear();
                        // Who told another foreman is taken over, and must tell again.
                        for n in f.roster.nodes.clone() {
                            let node = Node { changed: 0, ..n };
                            f.sessions.entry(node.name.clone()).or_insert(Session { node, seen: now });
                        }
                    });
                }
                Effect::SteppedDown => {
                    tally::change!("no longer the leader");
                    shop.with(|f| f.is_leader = false);
                    waiting.clear();
                }
            }
        }
        let until = vise.serves_until(shop.now());
        shop.with(|f| {
            f.serves_until = until;
            vise.leader_at(shop.now()).clone_into(&mut f.leader);
            if ticked {
                f.behind = vise.behind();
            }
            if f.voters != vise.voters() {
                f.voters = vise.voters().to_vec();
            }
        });
    }
}
