//! Sessions and leases: what nodes report of themselves, the membership derived from it, and
//! the view updates that are sent back.

use crate::service::*;
use config::Settings;
use rpc::messages::*;
use rpc::{is_valid_incarnation, next_incarnation};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// Checks per lease duration for whether this process was paused for at least a lease.
const PAUSE_CHECKS_PER_LEASE: u64 = 4;
/// A pause extends leases at most once in this many lease durations, so that nodes that have
/// ended are still detected.
const PAUSE_EXTENSION_INTERVAL: u64 = 4;

impl ControlShared {
    /// The latest known incarnation of a node if it is later than this one; otherwise 0.
    pub(crate) fn later_incarnation(&self, node: &Node) -> u64 {
        let lease = self.leases.get(&node.name).map_or(0, |l| l.incarnation);
        let session = self.sessions.get(&node.name).map_or(0, |s| s.node.incarnation);
        let listed = self.membership.nodes.binary_search_by(|n| n.name.as_str().cmp(&node.name));
        let listed = listed.map_or(0, |at| self.membership.nodes[at].incarnation);
        let known = lease.max(session).max(listed);
        if known > node.incarnation { known } else { 0 }
    }

    /// Whether this node publishes the membership: it leads, and either knows the former membership
    /// or has given the nodes time to report.
    pub(crate) fn publishes(&self, now: u64) -> bool {
        self.has_authority(now) && now >= self.publish_from
    }

    /// Records a node's description of itself, received from the node or through another one: a
    /// later incarnation replaces an earlier one, and `leaving` is not undone within an
    /// incarnation. Returns whether anything changed.
    pub(crate) fn update_session(&mut self, node: &Node, now: u64) -> bool {
        let order = |n: &Node| (n.incarnation, n.leaving);
        match self.sessions.get_mut(&node.name) {
            Some(s) if order(node) < order(&s.node) => {
                telemetry::count("sessions_outdated");
                false
            }
            Some(s) => {
                s.seen = s.seen.max(now);
                let changed = s.node != *node;
                s.node = node.clone();
                changed
            }
            None => {
                self.sessions.insert(node.name.clone(), Session { node: node.clone(), seen: now });
                true
            }
        }
    }
}

impl ControlService {
    /// Handles the end of a store node's connection. If its address refuses a new connection, the
    /// process has ended as well, and the expiry of its lease need not be awaited.
    pub(crate) async fn connection_ended(self: &Arc<Self>, connection: u64) {
        let found = self.with(|f| {
            let (name, l) = f.leases.iter().find(|(_, l)| l.connection == connection)?;
            Some((name.clone(), l.incarnation, f.sessions.get(name)?.node.inner.clone()))
        });
        let Some((name, incarnation, inner)) = found else { return };
        let wait = Duration::from_millis(self.settings.lease_ms());
        if rpc::refuses_connections(&inner, wait).await {
            let now = self.now();
            let must_reassign = self.with(|f| {
                let same = f.leases.get(&name).is_some_and(|l| l.incarnation == incarnation);
                if same {
                    f.ended.insert(name.clone(), incarnation);
                }
                same && f.has_authority(now)
            });
            if must_reassign {
                telemetry::change!("the process of store node {name} has ended");
                self.assign_partitions().await;
            }
        }
    }

    /// Grants or renews the lease of a store node.
    pub(crate) fn lease(&self, l: Lease, connection: u64) -> LeaseAck {
        let now = self.now();
        let leader = self.leader();
        self.with(|f| {
            if !f.has_authority(now) || !is_valid_incarnation(l.node.incarnation) {
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
                // A delayed message of a former incarnation; or a process that started while its
                // clock was behind and has to choose a later incarnation.
                telemetry::count("sessions_outdated");
                return LeaseAck { leader, newer_incarnation, ..LeaseAck::default() };
            }
            let name = l.node.name.clone();
            if f.ended.get(&name) == Some(&l.node.incarnation) {
                // This incarnation was taken for ended, so its partitions may have other owners by
                // now. It may continue as a follower: the lease is a new one, not a renewal.
                f.ended.remove(&name);
            }
            if let Some(old) = f.leases.get(&name)
                && old.incarnation != l.node.incarnation
            {
                telemetry::change!("store node {name} is back in a new incarnation");
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
            if f.update_session(&l.node, now) {
                self.membership_stale.notify_one();
            }
            for s in &l.samples {
                let rollouts = &f.control_state.assignments.rollouts;
                let running = rollouts.iter().find(|r| r.service == s.service && r.state == "running");
                if let Some(rollout) = running.cloned() {
                    f.rollout_monitors.entry(s.service.clone()).or_default().add_sample(&rollout, s);
                }
            }
            let newer_partition = |c: &Holding| {
                f.control_state.assignments.partitions.iter().find(|p| p.id == c.partition && p.term > c.term)
            };
            LeaseAck {
                granted: l.lag < 2 && !f.seizing.contains(&name),
                ttl_ms: self.settings.lease_ms() as u32,
                leader,
                outdated: l.claims.iter().filter_map(newer_partition).cloned().collect(),
                lagging: f.leases.iter().filter(|(_, l)| l.lag > 0).map(|(n, _)| n.clone()).collect(),
                newer_incarnation: 0,
                time_ms: f.cluster_clock.time(now).unwrap_or(0),
            }
        })
    }

    /// Publishes a new version of the membership if sessions or processors have changed.
    pub(crate) fn refresh_membership(f: &mut ControlShared, now: u64) {
        if !f.publishes(now) {
            return;
        }
        let nodes: Vec<&Node> = f.sessions.values().map(|s| &s.node).collect();
        // Processors of a functions platform are sent only to their slot owners.
        let processors: &[Processor] = if f.functions { &[] } else { &f.processors };
        if f.membership.differs(&nodes, processors, f.listed) {
            f.membership_seq += 1;
            f.membership.publish((f.term << 24) + f.membership_seq, &nodes, processors, f.listed);
        }
    }

    /// Records when this process resumes after a pause, as on an overloaded machine.
    pub(crate) async fn watch_for_pauses(self: Arc<Self>) {
        let lease = self.settings.lease_ms();
        loop {
            let started = Instant::now();
            tokio::time::sleep(Duration::from_millis(lease / PAUSE_CHECKS_PER_LEASE)).await;
            if started.elapsed() < Duration::from_millis(lease) {
                continue;
            }
            telemetry::count("pauses");
            let now = self.now();
            self.with(|f| {
                if now > f.resumed_at + lease * PAUSE_EXTENSION_INTERVAL {
                    f.resumed_at = now;
                }
            });
        }
    }

    /// Publishes changed sessions after a short delay: if many nodes start at once, every
    /// change would otherwise send a version of its own to all nodes that are already there.
    pub(crate) async fn publish(self: Arc<Self>) {
        loop {
            self.membership_stale.notified().await;
            tokio::time::sleep(Duration::from_millis(self.ratio(400.0))).await;
            let now = self.now();
            let changed = self.with(|f| {
                let published = f.membership.version;
                Self::refresh_membership(f, now);
                f.membership.version != published
            });
            if changed {
                telemetry::count("memberships_published");
                self.view_changed.notify_waiters();
            }
        }
    }

    /// How long before `asked_at` the configuration here was last confirmed to be the newest. A
    /// leader with authority holds every acknowledged one; the others rely on its replies.
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

    /// Answers a watch: records what the node reports, and waits until there is something newer
    /// than the versions that it has.
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
                // Other nodes know a membership that this leader does not: it must not publish one
                // without them.
                f.publish_from = f.leader_since + self.ratio(4.0);
            }
            for n in w.node.iter().chain(&w.sessions).filter(|n| is_valid_incarnation(n.incarnation)) {
                changed |= f.update_session(n, now);
            }
            if changed {
                self.membership_stale.notify_one();
            }
            if f.is_leader && w.node.as_ref().is_some_and(|n| n.role == "control" && n.leaving) {
                self.update_vote_candidates(f);
            }
        });
        let wait = tokio::time::sleep(Duration::from_millis(w.wait_ms.min(self.ratio(4.0) as u32) as u64));
        tokio::pin!(wait);
        loop {
            let changed = self.view_changed.notified();
            let is_newer = self.with(|f| {
                let versions = Self::view_versions(f);
                versions.configuration > w.have.configuration
                    || versions.assignments > w.have.assignments
                    || versions.membership > w.have.membership
            });
            if is_newer || newer_incarnation > 0 {
                break;
            }
            tokio::select! { _ = changed => {}, _ = &mut wait => break }
        }
        self.with(|f| {
            let have = Self::view_versions(f);
            let (configuration, steps) = f.control_state.since(w.have.configuration);
            let mut update = ViewUpdate {
                have,
                steps,
                assignments: (have.assignments > w.have.assignments)
                    .then(|| f.control_state.assignments.delta_since(w.have.assignments)),
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
                update.unidentified = f.unidentified.reported(&f.sessions);
            }
            // A configuration is sent without a membership, so that nothing delays it: a node that
            // lacks both asks again at once.
            let has_configuration = configuration.is_some() || !update.steps.is_empty();
            if have.membership > w.have.membership && !has_configuration {
                f.membership_updates.put(&mut update, &f.membership, w.have.membership);
            }
            if let Some(json) = configuration {
                update.put_configuration(json);
            }
            update
        })
    }

    /// While this control node does not lead: keeps a session with the leader, forwards its own
    /// sessions to it, and copies the leader's soft state.
    pub(crate) async fn follow(self: Arc<Self>, settings_updates: watch::Receiver<Settings>) {
        let wait = self.settings.constraints.news_wait().as_millis() as u64;
        // No node contacts a newly started control node, so it asks the others in turn who leads.
        let (mut hint, mut next) = (String::new(), 0usize);
        loop {
            let (leader, is_leader, have, sessions, unidentified) = self.with(|f| {
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
                (f.leader.clone(), is_leader, Self::view_versions(f), list, f.unidentified.reported(&f.sessions))
            });
            if is_leader || leader == self.me {
                tokio::time::sleep(Duration::from_millis(wait / 4)).await;
                continue;
            }
            let leader = if !leader.is_empty() { leader } else { std::mem::take(&mut hint) };
            let leader = if leader.is_empty() || leader == self.me {
                tokio::time::sleep(Duration::from_millis(wait / 8)).await;
                let candidates = self.leader_hint_sources(&settings_updates.borrow());
                next += 1;
                let Some(address) = candidates.get(next % candidates.len().max(1)) else { continue };
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
                    if n.newer_incarnation >= self.incarnation.load(Ordering::Relaxed)
                        && is_valid_incarnation(n.newer_incarnation)
                    {
                        self.incarnation.store(next_incarnation(n.newer_incarnation), Ordering::Relaxed);
                        let own = self.node();
                        f.sessions.insert(own.name.clone(), Session { node: own, seen: u64::MAX / 2 });
                    }
                    f.unidentified.set_leader_list(n.unidentified.clone());
                    if let Some(r) = n.decoded_membership()
                        && f.membership.apply(&r)
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

    /// The control nodes that are asked who leads: the voters in the log of this node, one of which
    /// leads or follows the leader, and the seeds of the settings. The seeds alone may all be
    /// without a vote, and then know only each other after a loss of power of all of them.
    fn leader_hint_sources(&self, settings: &Settings) -> Vec<String> {
        let mut addresses = self.with(|f| f.voters.clone());
        addresses.extend(settings.seed_control_nodes());
        addresses.retain(|address| *address != self.me);
        addresses.sort_unstable();
        addresses.dedup();
        addresses
    }

    /// The description of this control node for its sessions.
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
