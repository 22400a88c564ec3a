//! The duties of the leader: who owns which partition, which new versions stand,
//! and the platform's list of processors.

use crate::assignment::*;
use crate::copies::DISK_UNRESPONSIVE;
use crate::evacuation::ColdKnown;
use crate::rollout::RolloutDecision;
use crate::service::*;
use crate::state::*;
use config::Settings;
use rpc::messages::*;
use std::collections::HashSet;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::sync::watch;

impl ControlShared {
    /// Notes from when on this leader knows of zones that were taken back.
    fn note_returning_zones(&mut self, now: u64) {
        let evacuations = &self.control_state.assignments.evacuations;
        let returning = || evacuations.iter().filter(|e| e.finished && e.cold_known_from == 0);
        self.returning_since.retain(|ordered, _| returning().any(|e| e.ordered == *ordered));
        for evacuation in returning() {
            self.returning_since.entry(evacuation.ordered).or_insert(now);
        }
    }

    /// The zones taken back whose cold processors the membership shows, which is that of a
    /// listing as of `listed`; none while this node may not publish what it lists.
    fn cold_known_by(&self, listed: u64, now: u64) -> Vec<ColdKnown> {
        if !self.publishes(now) {
            return Vec::new();
        }
        let evacuations = self.control_state.assignments.evacuations.iter();
        let is_shown = |e: &&Evacuation| self.returning_since.get(&e.ordered).is_some_and(|since| *since < listed);
        let known = evacuations.filter(is_shown).map(|e| ColdKnown {
            zone: e.zone.clone(),
            ordered: e.ordered,
            membership: self.membership.version,
        });
        known.collect()
    }
}

impl ControlService {
    /// Whether a store node's process runs and is in touch.
    pub(crate) fn is_session_live(f: &ControlShared, now: u64, lease: u64, name: &str) -> bool {
        // A lease runs from when the node sent its request; a quarter is added
        // for what clocks and queues may differ.
        let grace = f.leader_since + lease * 2;
        f.leases.get(name).map_or(now < grace, |l| {
            let heard_from = l.at.max(f.leader_since).max(f.resumed_at);
            f.ended.get(name) != Some(&l.incarnation) && now < heard_from + lease * 5 / 4
        })
    }

    /// Whether its disk answers besides.
    pub(crate) fn is_alive(f: &ControlShared, now: u64, lease: u64, name: &str) -> bool {
        let answers = f.leases.get(name).is_none_or(|l| l.lag < DISK_UNRESPONSIVE);
        answers && Self::is_session_live(f, now, lease, name)
    }

    /// Store machines that are to hold nothing: those being emptied, and those that
    /// were, until a machine of that name comes with another disk. Once it is
    /// settled such a machine is taken away at any moment, disk included.
    pub(crate) fn retiring(f: &ControlShared) -> Vec<String> {
        let same_disk = |r: &Retire| f.leases.get(&r.node).is_none_or(|l| l.born <= r.born);
        let retires = f.control_state.assignments.retires.iter();
        retires.filter(|r| !r.done || same_disk(r)).map(|r| r.node.clone()).collect()
    }

    /// The store machines that stand and are not leaving.
    fn live_machines(&self, f: &ControlShared, now: u64) -> Vec<StoreMachine> {
        let lease = self.settings.lease_ms();
        let stands = |node: &&Node| node.role == "store" && !node.leaving && Self::is_alive(f, now, lease, &node.name);
        let nodes = f.sessions.values().map(|session| &session.node).filter(stands);
        let machine = |node: &Node| StoreMachine {
            name: node.name.clone(),
            zone: node.zone.clone(),
            region: node.region.clone(),
        };
        nodes.map(machine).collect()
    }

    /// Those of them that may be given partitions.
    pub(crate) fn available_machines(&self, f: &ControlShared, now: u64) -> Vec<StoreMachine> {
        let retiring = Self::retiring(f);
        self.live_machines(f, now).into_iter().filter(|machine| !retiring.contains(&machine.name)).collect()
    }

    /// Over how many places the copies of a partition are to be spread.
    pub(crate) fn spread(&self) -> Spread {
        let tolerance = &self.settings.tolerance;
        Spread { zones: tolerance.zones as usize, regions: tolerance.regions as usize }
    }

    pub(crate) async fn assign_partitions(self: &Arc<Self>) {
        if self.assigning.swap(true, Ordering::Relaxed) {
            return;
        }
        let mut proposed = Vec::new();
        let now = self.now();
        let lease = self.settings.lease_ms();
        let mut words: Vec<(String, CommandPayload)> = Vec::new();
        self.with(|f| {
            self.update_cluster_clock(f, now);
            f.note_returning_zones(now);
            // Sessions that ended.
            let limit = self.ratio(3.0);
            let before = f.sessions.len();
            let me = self.me.clone();
            f.sessions.retain(|_, s| s.node.inner == me || now < s.seen + limit);
            let told = f.membership.version;
            if f.sessions.len() == before || now > f.leader_since + limit {
                // Also what could not be published when it was heard.
                Self::refresh_membership(f, now);
            }
            if f.membership.version != told {
                self.news.notify_waiters();
            }
            self.tell_control_nodes(f);
            let live = self.live_machines(f, now);
            let replica_count = self.settings.tolerance.machines as usize + 1;
            let spread = self.spread();
            if f.steady.0 != live.len() {
                f.steady = (live.len(), now);
            }
            if f.control_state.assignments.partitions.is_empty() {
                let zones = self.settings.zones.len().max(1);
                let waited = f.first_store_at != 0 && now > f.first_store_at + self.ratio(2.0);
                // Fixed from then on: not before no more have come for a while.
                let steady = now > f.steady.1 + self.ratio(8.0);
                if steady && (live.len() >= zones.max(replica_count) || (waited && live.len() >= replica_count)) {
                    let mut partitions = layout(&live, replica_count, spread);
                    for p in &mut partitions {
                        for h in p.replicas.clone() {
                            p.set_joined(&h, f.leases.get(&h).map_or(0, |l| l.incarnation));
                        }
                    }
                    telemetry::change!("{} partitions on {} store machines", partitions.len(), live.len());
                    words.push(("layout".into(), CommandPayload::Layout(Layout { partitions })));
                }
                return;
            }
            let retiring: Vec<String> = Self::retiring(f);
            if let Some(layout) = self.missing_home_layout(f, &live, &retiring, spread) {
                words.push(("home layout".into(), CommandPayload::HomeLayout(layout)));
                return;
            }
            let partitions = f.control_state.assignments.partitions.clone();
            let ending: Vec<String> = f
                .sessions
                .values()
                .filter(|s| s.node.role == "store" && s.node.leaving)
                .map(|s| s.node.name.clone())
                .collect();
            let spare = self.available_machines(f, now);
            // Who is to be no home any more: retiring nodes, and nodes that are away for
            // twice the settling time, or a quarter of it where another one is there to
            // take its place, as after a machine was replaced by one at another address.
            // Where that is so, one that is about to end is replaced before it goes.
            let settle = self.settings.constraints.settle_s;
            let silent = |h: &str, patience: f64| {
                let away = (settle * patience) as u64;
                now > f.leader_since + away && f.leases.get(h).is_none_or(|l| now > l.at + away)
            };
            let mut replicas: Vec<&str> = partitions.iter().flat_map(|p| &p.replicas).map(String::as_str).collect();
            replicas.sort_unstable();
            replicas.dedup();
            replicas.retain(|h| {
                let replaced = || rpc::has_replacement(&partitions, h, spare.iter().map(|n| n.name.as_str()));
                let ends = ending.iter().any(|e| e == h) || silent(h, 250.0);
                retiring.iter().any(|r| r == h) || silent(h, 2000.0) || (ends && replaced())
            });
            let gone: HashSet<&str> = replicas.into_iter().collect();
            self.check_ownership(f, &partitions, now);
            let well = f.with_healthy_disks(&spare);
            for p in &partitions {
                let incarnation = |n: &str| f.leases.get(n).map(|l| l.incarnation);
                let judge = self.copy_assessor(f, now, &retiring);
                let mut put = seize(p, |n| judge.health(p, n), incarnation);
                let revived = || {
                    let is_told = |n: &str| f.leases.contains_key(n);
                    let health = |n: &str| if is_told(n) { judge.health(p, n) } else { CopyHealth::Gone };
                    revive(p, health, incarnation)
                };
                let claimed = f.leases.iter().any(|(n, l)| {
                    Self::is_alive(f, now, lease, n) && l.claims.iter().any(|c| c.partition == p.id && c.term >= p.term)
                });
                let unclaimed_since = f.unclaimed.get(&p.id).copied().unwrap_or(now);
                let is_left = !claimed && now > unclaimed_since + 3 * lease && put.is_none();
                if is_left {
                    put = revived();
                }
                if put.is_none() {
                    put = judge.replace_slow_replica(p, &partitions, &well, spread);
                }
                if claimed || is_left {
                    f.unclaimed.remove(&p.id);
                } else {
                    f.unclaimed.entry(p.id).or_insert(now);
                }
                if let Some(put) = put {
                    if put.term != p.term {
                        if put.owner != p.owner {
                            f.seizing.insert(p.owner.clone());
                        }
                        telemetry::change!(
                            "partition {} seized from {} for {} at term {}",
                            p.id,
                            p.owner,
                            put.owner,
                            put.term
                        );
                    } else if put.in_sync != p.in_sync {
                        telemetry::change!("partition {} in sync: {:?}", p.id, put.in_sync);
                    }
                    words.push((
                        format!("p{}", p.id),
                        CommandPayload::Partition(PutPartition { was: p.clone(), now: put }),
                    ));
                    continue;
                }
                let gone = p.replicas.iter().find(|h| gone.contains(h.as_str()));
                let stay = eligible_machines(p, &spare).filter(|n| gone.is_none_or(|gone| n.name != *gone)).count();
                // A region has what store machines it has: one that is retired leaves fewer.
                let is_retired = || gone.is_some_and(|gone| retiring.contains(gone));
                let enough = match p.home.is_empty() {
                    true => spare.len() >= replica_count,
                    false => stay >= p.replicas.len() || (stay > 0 && is_retired()),
                };
                if let Some(gone) = gone
                    && enough
                    && let Some(now) = replace_replica(p, gone, &partitions, &spare, replica_count, spread)
                {
                    telemetry::change!("partition {} replicas {:?}", p.id, now.replicas);
                    words.push((format!("p{}", p.id), CommandPayload::Partition(PutPartition { was: p.clone(), now })));
                    continue;
                }
                if p.replicas.len() < replica_count
                    && let Some(n) = new_replica(p, &partitions, &spare, replica_count, spread)
                {
                    let mut now = p.clone();
                    now.replicas.push(n);
                    words.push((format!("p{}", p.id), CommandPayload::Partition(PutPartition { was: p.clone(), now })));
                }
            }
            // A machine that has just come may be there to replace one that is about to go:
            // it is kept free for that until it would count as settled.
            let kept_free = (self.settings.constraints.settle_s * 1000.0) as u64;
            if words.is_empty()
                && now > f.steady.1 + kept_free
                && let Some(now) = rebalance(&partitions, &well)
            {
                telemetry::change!("partition {} replicas {:?}, for balance", now.id, now.replicas);
                let was = partitions.iter().find(|p| p.id == now.id).cloned();
                words.extend(was.map(|was| ("balance".into(), CommandPayload::Partition(PutPartition { was, now }))));
            }
            for r in f.control_state.assignments.retires.iter().filter(|r| !r.done) {
                if emptied(&partitions, &r.node, replica_count) {
                    telemetry::change!("retired {}", r.node);
                    let born = f.leases.get(&r.node).map_or(0, |l| l.born);
                    let finish = FinishRetire {
                        node: r.node.clone(),
                        began: r.began,
                        replica_count: replica_count as u32,
                        born,
                    };
                    words.push((r.node.clone(), CommandPayload::FinishRetire(finish)));
                }
            }
        });
        for (_, w) in words {
            // Together: each changes another partition, and only as it was seen here.
            let control = self.clone();
            proposed.push(tokio::spawn(async move {
                control.propose(w).await;
            }));
        }
        for p in proposed {
            let _ = p.await;
        }
        self.with(|f| f.seizing.clear());
        self.assigning.store(false, Ordering::Relaxed);
    }

    /// Notes which partitions have an owner, and tells of those that have had none for longer than
    /// it takes to give them one: twice the time after which a machine that is away is replaced.
    fn check_ownership(&self, f: &mut ControlShared, partitions: &[Partition], now: u64) {
        let lease = self.settings.lease_ms();
        for p in partitions {
            let claims_it = |l: &Leased| l.claims.iter().any(|c| c.partition == p.id && c.term >= p.term);
            let is_claimed = f.leases.iter().any(|(n, l)| Self::is_alive(f, now, lease, n) && claims_it(l));
            f.ownership_watch.record(p.id, is_claimed, now);
        }
        telemetry::set("partition_unowned_ms", f.ownership_watch.longest_ms(now));
        if !f.ownership_watch.is_alarm_due() {
            return;
        }
        let bound = (self.settings.constraints.settle_s * 4000.0) as u64;
        let unowned = f.ownership_watch.unowned_for(bound, now);
        let first = unowned.first().and_then(|id| partitions.iter().find(|p| p.id == *id));
        let state_of = |node: &String| {
            let stands = Self::is_session_live(f, now, lease, node);
            let born = f.leases.get(node).map_or(0, |l| l.born);
            let is_emptied = first.is_some_and(|p| p.joined_incarnation(node) < born);
            let lag = f.leases.get(node).map_or(0, |l| l.lag);
            format!("{node}: stands {stands}, emptied {is_emptied}, lag {lag}")
        };
        let waits_for: Vec<String> = first.iter().flat_map(|p| &p.in_sync).map(state_of).collect();
        telemetry::check_invariant(
            "invariant_partition_unowned",
            unowned.len() as u64,
            format_args!("partitions without an owner {unowned:?}; of the first these are in sync: {waits_for:?}"),
        );
    }

    /// The partitions of one region that a route or tenant is bound to and that has none yet,
    /// once enough of its store machines stand for the copies that the settings ask for.
    fn missing_home_layout(
        &self,
        f: &mut ControlShared,
        live: &[StoreMachine],
        retiring: &[String],
        spread: Spread,
    ) -> Option<Layout> {
        let configuration = f.read_configuration_with_homes()?;
        let replica_count = self.settings.tolerance.machines as usize + 1;
        let existing = &f.control_state.assignments.partitions;
        let nodes: Vec<StoreMachine> = live.iter().filter(|node| !retiring.contains(&node.name)).cloned().collect();
        let is_known = |region: &&str| self.settings.zones.values().any(|known| known == region);
        let is_missing = |region: &&str| !existing.iter().any(|p| p.home == *region);
        let stands = |region: &&str| nodes.iter().filter(|node| node.region == *region).count() >= replica_count;
        let regions = configuration.home_regions();
        let region = *regions.iter().find(|region| is_known(region) && is_missing(region) && stands(region))?;
        let first = existing.iter().map(|p| p.id + 1).max()?;
        let mut partitions = home_layout(region, &nodes, first, replica_count, spread);
        for partition in &mut partitions {
            for replica in partition.replicas.clone() {
                partition.set_joined(&replica, f.leases.get(&replica).map_or(0, |lease| lease.incarnation));
            }
        }
        telemetry::change!("{} partitions for messages that are bound to {region}", partitions.len());
        Some(Layout { partitions })
    }

    pub(crate) async fn evaluate_rollouts(&self) {
        // The leader's own clock may step in the middle of a trial.
        let Some(wall) = self.time() else { return };
        if self.with(|f| f.control_state.assignments.rollouts.iter().all(|r| r.state != "running")) {
            return;
        }
        let configuration_index = self.configuration_index();
        let mut words = Vec::new();
        self.with(|f| {
            if f.control_state.assignments.rollouts.iter().all(|r| r.state != "running") {
                return;
            }
            let timeout = configuration_index.routes.iter().map(|c| c.timeout_ms).fold(0.0, f64::max);
            let linger = timeout as u64 + self.settings.constraints.revert_slack_ms as u64;
            for r in f.control_state.assignments.rollouts.iter().filter(|r| r.state == "running") {
                let p = f.rollout_monitors.entry(r.service.clone()).or_default();
                p.track_rollout(r.began);
                let mut now = r.clone();
                now.spent = now.spent.max(p.sent_new);
                match p.decide(r, wall, linger, self.settings.constraints.revert_slack_ms / 10.0) {
                    RolloutDecision::Wait => continue,
                    RolloutDecision::Share(s) => now.share = s,
                    RolloutDecision::Settle => now.state = "settled".into(),
                    RolloutDecision::Revert(why) => {
                        telemetry::change!("roll-out of {} reverted: {why}", r.service);
                        now.state = "reverted".into();
                        now.share = 0;
                    }
                }
                telemetry::change!(
                    "roll-out of {} to {}: {} at {} thousandths",
                    now.service,
                    now.target,
                    now.state,
                    now.share
                );
                words.push(CommandPayload::PutRollout(PutRollout { was: r.clone(), now }));
            }
        });
        for w in words {
            self.propose(w).await;
        }
    }

    pub(crate) async fn list_processors(&self, settings_updates: watch::Receiver<Settings>) {
        #[derive(serde::Deserialize)]
        #[serde(rename_all = "camelCase", default)]
        #[derive(Default)]
        struct Listed {
            id: String,
            #[serde(rename = "plant")]
            service: String,
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
            #[serde(rename = "units")]
            processors: Vec<Listed>,
            next_token: Option<String>,
        }
        let pool = http1::ConnectionPool::new(Duration::from_millis(self.settings.constraints.quiet_ms as u64));
        let period = Duration::from_millis((self.settings.constraints.converge_ms / 5.0) as u64);
        loop {
            let addr = settings_updates.borrow().platform.address.clone();
            if addr.is_empty() || !self.holds_leadership() {
                tokio::time::sleep(period / 4).await;
                continue;
            }
            let (mut processors, mut token, mut whole) = (Vec::new(), None::<String>, false);
            let began = self.now();
            loop {
                let path = token.as_ref().map_or("/units".into(), |t| format!("/units?pageToken={t}"));
                let call = http1::Call {
                    method: "GET",
                    path: &path,
                    host: &addr,
                    headers: &[],
                    body: &[],
                    id: "",
                    newest: None,
                    connect: None,
                };
                telemetry::count("platform_calls");
                let Ok(a) = pool.call(&addr, call, 2, Duration::from_millis(1000)).await else { break };
                if a.status != 200 {
                    break;
                }
                let Ok(page) = serde_json::from_slice::<Page>(&a.body) else { break };
                processors.extend(page.processors.into_iter().map(|u| Processor {
                    id: u.id,
                    service: u.service,
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
                processors.sort_by(|a, b| a.id.cmp(&b.id));
                let now = self.now();
                let lag = self.listing_lag_ms();
                let cold_known = self.with(|f| {
                    f.processors = processors;
                    f.listed = true;
                    f.listed_at = now;
                    Self::refresh_membership(f, now);
                    f.cold_known_by(began.saturating_sub(lag), now)
                });
                self.news.notify_waiters();
                for known in cold_known {
                    self.propose(CommandPayload::ColdKnown(known)).await;
                }
            }
            tokio::time::sleep(period).await;
        }
    }

    /// How far the platform's list may be behind, in milliseconds.
    fn listing_lag_ms(&self) -> u64 {
        let margin = self.settings.constraints.converge_ms / 4.0;
        (self.settings.platform.lag_ms + margin) as u64
    }

    /// Keeps the cluster's time. A leader that nobody told what time is carried on starts
    /// it from the logs, once those who may carry it had the time to say so.
    pub(crate) fn update_cluster_clock(&self, f: &mut ControlShared, now: u64) {
        f.cluster_clock.hear(&self.settings.node, telemetry::wall_ms(), now);
        let quorum = Self::clock_quorum(f);
        if now > f.leader_since + self.ratio(16.0) {
            f.cluster_clock.start_from_logs(f.control_state.reached_ms, quorum, now);
        }
        f.cluster_clock.correct(quorum, now);
        let off = f.cluster_clock.clocks_off(now);
        let farthest = off.iter().map(|c| c.ahead_ms.unsigned_abs()).max().unwrap_or(0);
        telemetry::set("clocks_off", off.len() as u64);
        telemetry::set("clock_off_ms", farthest);
        telemetry::set("time_correction_ms", f.cluster_clock.correction_ms(now).unsigned_abs());
    }

    /// More than half of the store and control machines.
    fn clock_quorum(f: &ControlShared) -> usize {
        let stores: HashSet<&String> =
            f.control_state.assignments.partitions.iter().flat_map(|p| &p.replicas).collect();
        (stores.len() + f.voters.len()) / 2 + 1
    }
}
