//! Sessions and leases: what nodes tell of themselves, the membership made of it, and
//! the news that is told back.

use crate::service::*;
use config::Settings;
use rpc::messages::*;
use rpc::{after, possible};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// How often in the time of a lease a process looks whether it has stood still for as long.
const PAUSE_LOOKS: u64 = 4;
/// Leases are prolonged for that once in so many times their length at most: nodes that have ended
/// are found all the same.
const PAUSE_SPACING: u64 = 4;

impl ControlShared {
    /// The incarnation of a node, if one is known that comes after this one.
    pub(crate) fn later_incarnation(&self, node: &Node) -> u64 {
        let lease = self.leases.get(&node.name).map_or(0, |l| l.incarnation);
        let session = self.sessions.get(&node.name).map_or(0, |s| s.node.incarnation);
        let told = self.membership.nodes.binary_search_by(|n| n.name.as_str().cmp(&node.name));
        let told = told.map_or(0, |at| self.membership.nodes[at].incarnation);
        let known = lease.max(session).max(told);
        if known > node.incarnation { known } else { 0 }
    }

    /// Whether this node publishes the membership: it leads, and remembers what was told.
    pub(crate) fn publishes(&self, now: u64) -> bool {
        self.has_authority(now) && now >= self.publish_from
    }

    /// Takes what a node says of itself, from whoever brings it: a later incarnation
    /// replaces an earlier one, and leaving is not undone within an incarnation. Tells
    /// whether it was news.
    pub(crate) fn tell(&mut self, node: &Node, now: u64) -> bool {
        let order = |n: &Node| (n.incarnation, n.leaving);
        match self.sessions.get_mut(&node.name) {
            Some(s) if order(node) < order(&s.node) => {
                telemetry::count("sessions_outdated");
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

impl ControlService {
    /// A store node's connection has ended. If its address refuses another one, the
    /// process that had it open has ended too, and its lease need not be waited for.
    pub(crate) async fn connection_ended(self: &Arc<Self>, connection: u64) {
        let found = self.with(|f| {
            let (name, l) = f.leases.iter().find(|(_, l)| l.connection == connection)?;
            Some((name.clone(), l.incarnation, f.sessions.get(name)?.node.inner.clone()))
        });
        let Some((name, incarnation, inner)) = found else { return };
        let wait = Duration::from_millis(self.settings.lease_ms());
        if rpc::refuses(&inner, wait).await {
            let now = self.now();
            let known = self.with(|f| {
                let same = f.leases.get(&name).is_some_and(|l| l.incarnation == incarnation);
                if same {
                    f.ended.insert(name.clone(), incarnation);
                }
                same && f.has_authority(now)
            });
            if known {
                telemetry::change!("the process of store node {name} has ended");
                self.assign_partitions().await;
            }
        }
    }

    pub(crate) fn lease(&self, l: Lease, connection: u64) -> LeaseAck {
        let now = self.now();
        let leader = self.leader();
        self.with(|f| {
            if !f.has_authority(now) || !possible(l.node.incarnation) {
                return LeaseAck { leader, ..LeaseAck::default() };
            }
            f.cluster_clock.record_reading(&l.node.name, l.clock_ms, now);
            f.cluster_clock.adopt_carried(l.time_ms, now);
            f.cluster_clock.record_logged(l.reached_ms);
            if f.cluster_clock.time(now).is_none() {
                self.update_cluster_clock(f, now);
            }
            let newer_incarnation = f.later_incarnation(&l.node);
            if newer_incarnation > 0 {
                // A former incarnation of that node, on its way for long; or one that began by
                // a clock that is behind, and is to begin another.
                telemetry::count("sessions_outdated");
                return LeaseAck { leader, newer_incarnation, ..LeaseAck::default() };
            }
            let name = l.node.name.clone();
            if f.ended.get(&name) == Some(&l.node.incarnation) {
                // This incarnation was given up; its partitions may be others' by now. It may
                // go on as a follower, so the lease is new, not renewed.
                f.ended.remove(&name);
            }
            if let Some(old) = f.leases.get(&name)
                && old.incarnation != l.node.incarnation
            {
                telemetry::change!("store node {name} came back in a new incarnation");
                f.ended.insert(name.clone(), old.incarnation);
            }
            if f.leases.get(&name).is_none_or(|old| old.incarnation != l.node.incarnation) {
                self.assign_soon.notify_one();
            }
            if f.first_store_at == 0 {
                f.first_store_at = now;
            }
            let former = f.leases.get(&name).filter(|old| old.lag > 0);
            let lagging_since = former.map_or(now, |old| old.lagging_since);
            f.leases.insert(
                name.clone(),
                StoreLease {
                    incarnation: l.node.incarnation,
                    at: now,
                    born: l.node.born,
                    claims: l.claims.clone(),
                    connection,
                    lag: l.lag,
                    lagging_since,
                },
            );
            if f.tell(&l.node, now) {
                self.stale.notify_one();
            }
            for s in &l.samples {
                if let Some(r) =
                    f.control_state.assignments.rollouts.iter().find(|r| r.service == s.service && r.state == "running")
                {
                    let target = r.target.clone();
                    f.rollout_monitors.entry(s.service.clone()).or_default().add(&target, s);
                }
            }
            let term = |c: &Holding| {
                f.control_state.assignments.partitions.iter().find(|p| p.id == c.partition && p.term > c.term)
            };
            LeaseAck {
                granted: l.lag < 2 && !f.seizing.contains(&name),
                ttl_ms: self.settings.lease_ms() as u32,
                leader,
                outdated: l.claims.iter().filter_map(term).cloned().collect(),
                lagging: f.leases.iter().filter(|(_, l)| l.lag > 0).map(|(n, _)| n.clone()).collect(),
                newer_incarnation: 0,
                time_ms: f.cluster_clock.time(now).unwrap_or(0),
            }
        })
    }

    pub(crate) fn refresh_membership(f: &mut ControlShared, now: u64) {
        if !f.publishes(now) {
            return;
        }
        let nodes: Vec<&Node> = f.sessions.values().map(|s| &s.node).collect();
        // Processors of functions are told to their slot owners only.
        let processors: &[Processor] = if f.functions { &[] } else { &f.processors };
        if f.membership.differs(&nodes, processors, f.listed) {
            f.membership_seq += 1;
            f.membership.publish((f.term << 24) + f.membership_seq, &nodes, processors, f.listed);
        }
    }

    /// Notes when this process has stood still, as on a machine without processor time for it.
    pub(crate) async fn watch_for_pauses(self: Arc<Self>) {
        let lease = self.settings.lease_ms();
        loop {
            let begun = Instant::now();
            tokio::time::sleep(Duration::from_millis(lease / PAUSE_LOOKS)).await;
            if begun.elapsed() < Duration::from_millis(lease) {
                continue;
            }
            telemetry::count("pauses");
            let now = self.now();
            self.with(|f| {
                if now > f.resumed_at + lease * PAUSE_SPACING {
                    f.resumed_at = now;
                }
            });
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
                let told = f.membership.version;
                Self::refresh_membership(f, now);
                f.membership.version != told
            });
            if moved {
                telemetry::count("memberships_published");
                self.view_changed.notify_waiters();
            }
        }
    }

    /// How long before `asked_at` the configuration here was shown to be the newest. A leader
    /// with authority holds all that was acknowledged; the others go by what it told them.
    fn configuration_age_ms(&self, f: &mut ControlShared, asked_at: Instant) -> Option<u64> {
        if !self.settings.constraints.closed {
            return None;
        }
        if f.has_authority(self.now()) {
            return Some(0);
        }
        f.freshness.moved_to(f.control_state.revision);
        f.freshness.age_ms(asked_at)
    }

    pub(crate) async fn watch(&self, w: WatchRequest) -> ViewUpdate {
        let (now, asked_at) = (self.now(), Instant::now());
        let mut newer_incarnation = 0;
        self.with(|f| {
            let mut changed = false;
            if let Some(n) = &w.node {
                newer_incarnation = f.later_incarnation(n);
                f.cluster_clock.record_reading(&n.name, w.clock_ms, now);
                f.unidentified.report(&n.name, &w.unidentified);
            }
            f.cluster_clock.adopt_carried(w.time_ms, now);
            if f.is_leader
                && f.membership.version == 0
                && w.have.membership > 0
                && w.node.as_ref().is_some_and(|n| n.role == "control")
            {
                // Others remember more than this leader: it must not forget them aloud.
                f.publish_from = f.leader_since + self.ratio(4.0);
            }
            for n in w.node.iter().chain(&w.sessions).filter(|n| possible(n.incarnation)) {
                changed |= f.tell(n, now);
            }
            if changed {
                self.stale.notify_one();
            }
            if f.is_leader && w.node.as_ref().is_some_and(|n| n.role == "control" && n.leaving) {
                self.update_vote_candidates(f);
            }
        });
        let wait = tokio::time::sleep(Duration::from_millis(w.wait_ms.min(self.ratio(4.0) as u32) as u64));
        tokio::pin!(wait);
        loop {
            let wake = self.view_changed.notified();
            let newer = self.with(|f| {
                let h = Self::have(f);
                h.configuration > w.have.configuration
                    || h.assignments > w.have.assignments
                    || h.membership > w.have.membership
            });
            if newer || newer_incarnation > 0 {
                break;
            }
            tokio::select! { _ = wake => {}, _ = &mut wait => break }
        }
        self.with(|f| {
            let have = Self::have(f);
            let (configuration, steps) = f.control_state.since(w.have.configuration);
            let mut news = ViewUpdate {
                have,
                steps,
                assignments: (have.assignments > w.have.assignments)
                    .then(|| f.control_state.assignments.since(w.have.assignments)),
                leader: if f.leader == self.me && !f.has_authority(self.now()) {
                    String::new()
                } else {
                    f.leader.clone()
                },
                control_nodes: f
                    .sessions
                    .values()
                    .filter(|s| s.node.role == "control")
                    .map(|s| s.node.inner.clone())
                    .collect(),
                newer_incarnation,
                time_ms: f.cluster_clock.time(self.now()).unwrap_or(0),
                configuration_age_ms: self.configuration_age_ms(f, asked_at),
                ..ViewUpdate::default()
            };
            if w.node.as_ref().is_some_and(|n| n.role == "control") {
                news.unidentified = f.unidentified.reported(&f.sessions);
            }
            // A configuration waits behind nothing on its way: whoever lacks both asks again at once.
            let has_configuration = configuration.is_some() || !news.steps.is_empty();
            if have.membership > w.have.membership && !has_configuration {
                f.membership_updates.put(&mut news, &f.membership, w.have.membership);
            }
            if let Some(json) = configuration {
                news.put_configuration(json);
            }
            news
        })
    }

    /// A control node that does not lead keeps a session with it, tells it its own
    /// sessions, and takes the soft state from it.
    pub(crate) async fn follow(self: Arc<Self>, settings_updates: watch::Receiver<Settings>) {
        let wait = self.settings.constraints.news_wait().as_millis() as u64;
        // A newcomer is known to nobody: whoever runs is asked who leads.
        let (mut hint, mut turn) = (String::new(), 0usize);
        loop {
            let (leader, mine, have, sessions, unidentified) = self.with(|f| {
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
                    .filter(|s| s.node.inner != me && s.node.role != "control" && s.node.role != "store")
                    .map(|s| s.node.clone())
                    .collect();
                (f.leader.clone(), is_leader, Self::have(f), list, f.unidentified.reported(&f.sessions))
            });
            if mine || leader == self.me {
                tokio::time::sleep(Duration::from_millis(wait / 4)).await;
                continue;
            }
            let known = !leader.is_empty();
            let leader = if known { leader } else { std::mem::take(&mut hint) };
            let leader = if leader.is_empty() || leader == self.me {
                tokio::time::sleep(Duration::from_millis(wait / 8)).await;
                let asked = self.may_know_leader(&settings_updates.borrow());
                turn += 1;
                let Some(address) = asked.get(turn % asked.len().max(1)) else { continue };
                let w = WatchRequest {
                    have: ViewVersions { configuration: u64::MAX, assignments: u64::MAX, membership: u64::MAX },
                    wait_ms: 1,
                    ..WatchRequest::default()
                };
                if let Ok(Body::ViewUpdate(n)) =
                    self.rpc_clients.to(address).call(Body::WatchRequest(w), Duration::from_millis(wait)).await
                {
                    hint = n.leader;
                }
                continue;
            } else {
                leader
            };
            let w = WatchRequest {
                node: Some(self.node()),
                have: ViewVersions { configuration: u64::MAX, assignments: u64::MAX, ..have },
                wait_ms: wait as u32,
                sessions,
                clock_ms: telemetry::wall_ms(),
                time_ms: self.time().unwrap_or(0),
                unidentified,
            };
            let asked_ms = self.now();
            let asked_at = Instant::now();
            match self.rpc_clients.to(&leader).call(Body::WatchRequest(w), Duration::from_millis(wait * 2)).await {
                Ok(Body::ViewUpdate(n)) => self.with(|f| {
                    if f.is_leader {
                        return;
                    }
                    f.cluster_clock.follow(n.time_ms, asked_ms, self.now());
                    let age = n.configuration_age_ms.map(Duration::from_millis);
                    if let Some(shown_at) = age.and_then(|age| asked_at.checked_sub(age)) {
                        f.freshness.shown(n.have.configuration, shown_at, f.control_state.revision);
                    }
                    if n.newer_incarnation >= self.incarnation.load(Ordering::Relaxed) && possible(n.newer_incarnation)
                    {
                        self.incarnation.store(after(n.newer_incarnation), Ordering::Relaxed);
                        let own = self.node();
                        f.sessions.insert(own.name.clone(), Session { node: own, seen: u64::MAX / 2 });
                    }
                    f.unidentified.set_from_leader(n.unidentified.clone());
                    if let Some(r) = n.told_membership()
                        && f.membership.take(&r)
                    {
                        if !f.functions {
                            f.processors.clone_from(&f.membership.processors);
                        }
                        f.listed = f.membership.listed;
                        self.view_changed.notify_waiters();
                    }
                }),
                _ => {
                    hint.clear();
                    tokio::time::sleep(Duration::from_millis(wait / 4)).await;
                }
            }
        }
    }

    /// The control nodes that are asked who leads: the voters of the log here, one of which does
    /// or hears of it, and those that the settings name. The latter alone may all be without a
    /// vote, and know of nobody but each other after all of them have lost power.
    fn may_know_leader(&self, settings: &Settings) -> Vec<String> {
        let mut addresses = self.with(|f| f.voters.clone());
        addresses.extend(settings.seed_control_nodes());
        addresses.retain(|address| *address != self.me);
        addresses.sort_unstable();
        addresses.dedup();
        addresses
    }

    pub(crate) fn node(&self) -> Node {
        Node {
            name: self.settings.node.clone(),
            role: "control".into(),
            zone: self.settings.zone.clone(),
            region: self.settings.region.clone(),
            inner: self.me.clone(),
            incarnation: self.incarnation.load(Ordering::Relaxed),
            leaving: self.leaving.load(Ordering::Relaxed),
            ..Node::default()
        }
    }
}
