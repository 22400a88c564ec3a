//! Sessions and leases: what nodes tell of themselves, the roster made of it, and
//! the news that is told back.

use crate::shop::*;
use dovetail::msg::*;
use dovetail::{after, possible};
use gauge::Caliper;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::sync::watch;

impl Floor {
    /// The life of a node, if one is known that comes after this one.
    pub(crate) fn later_life(&self, node: &Node) -> u64 {
        let lease = self.leases.get(&node.name).map_or(0, |l| l.life);
        let session = self.sessions.get(&node.name).map_or(0, |s| s.node.life);
        let told = self.roster.nodes.binary_search_by(|n| n.name.as_str().cmp(&node.name));
        let told = told.map_or(0, |at| self.roster.nodes[at].life);
        let known = lease.max(session).max(told);
        if known > node.life { known } else { 0 }
    }

    /// Takes what a node says of itself, from whoever brings it: a later life
    /// replaces an earlier one, and leaving is not undone within a life. Tells
    /// whether it was news.
    pub(crate) fn tell(&mut self, node: &Node, now: u64) -> bool {
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

impl Shop {
    /// A lathe's connection has ended. If its address refuses another one, the
    /// process that had it open has ended too, and its lease need not be waited for.
    pub(crate) async fn connection_ended(self: &Arc<Self>, connection: u64) {
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

    pub(crate) fn lease(&self, l: Lease, connection: u64) -> LeaseAck {
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
                granted: l.lag < 2 && !f.seizing.contains(&name),
                ttl_ms: self.caliper.lease_ms() as u32,
                leader,
                outdated: l.claims.iter().filter_map(term).cloned().collect(),
                lagging: f.leases.iter().filter(|(_, l)| l.lag > 0).map(|(n, _)| n.clone()).collect(),
                lived: 0,
                time_ms: f.governor.time(now).unwrap_or(0),
            }
        })
    }

    pub(crate) fn refresh_roster(f: &mut Floor, now: u64) {
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
    pub(crate) async fn publish(self: Arc<Self>) {
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

    pub(crate) async fn watch(&self, w: Watch) -> News {
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
            if f.is_leader && w.node.as_ref().is_some_and(|n| n.role == "foreman" && n.leaving) {
                self.tell_foremen(f);
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

    /// A foreman that does not lead keeps a session with it, tells it its own
    /// sessions, and takes the soft state from it.
    pub(crate) async fn follow(self: Arc<Self>, settings: watch::Receiver<Caliper>) {
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

    pub(crate) fn node(&self) -> Node {
        Node {
            name: self.caliper.node.clone(),
            role: "foreman".into(),
            zone: self.caliper.zone.clone(),
            region: self.caliper.region.clone(),
            inner: self.me.clone(),
            life: self.life.load(Ordering::Relaxed),
            leaving: self.leaving.load(Ordering::Relaxed),
            ..Node::default()
        }
    }
}
