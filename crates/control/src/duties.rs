//! The duties of the leader: it assigns partitions to store machines, evaluates roll-outs, and
//! keeps the platform's list of processors.

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
    /// Records since when this leader has known of zones whose evacuation has finished but whose
    /// cold processors are not marked yet.
    fn record_returning_zones(&mut self, now: u64) {
        let evacuations = &self.control_state.assignments.evacuations;
        let returning = || evacuations.iter().filter(|e| e.finished && e.cold_known_from == 0);
        self.returning_since.retain(|ordered, _| returning().any(|e| e.ordered == *ordered));
        for evacuation in returning() {
            self.returning_since.entry(evacuation.ordered).or_insert(now);
        }
    }

    /// The zones returned to service whose cold processors are marked in the membership, which is
    /// from a listing as of `listed`; none while this node may not publish its listing.
    fn returned_zones_listed(&self, listed: u64, now: u64) -> Vec<ColdKnown> {
        if !self.publishes(now) {
            return Vec::new();
        }
        let evacuations = self.control_state.assignments.evacuations.iter();
        let is_listed = |e: &&Evacuation| self.returning_since.get(&e.ordered).is_some_and(|since| *since < listed);
        let known = evacuations.filter(is_listed).map(|e| ColdKnown {
            zone: e.zone.clone(),
            ordered: e.ordered,
            membership: self.membership.version,
        });
        known.collect()
    }
}

impl ControlService {
    /// Whether a store node's process is running and renews its lease.
    pub(crate) fn is_session_live(shared: &ControlShared, now: u64, lease: u64, name: &str) -> bool {
        // The node counts its lease from when it sent the request; a quarter is added for the rate
        // of its clock and for queueing. Nodes without a lease from this leader get a grace period.
        let grace_end = shared.leader_since + lease * 2;
        shared.leases.get(name).map_or(now < grace_end, |l| {
            let heard_from = l.at.max(shared.leader_since).max(shared.resumed_at);
            shared.ended.get(name) != Some(&l.incarnation) && now < heard_from + lease * 5 / 4
        })
    }

    /// Whether a store node's session is live and its disk answers.
    pub(crate) fn is_alive(shared: &ControlShared, now: u64, lease: u64, name: &str) -> bool {
        let answers = shared.leases.get(name).is_none_or(|l| l.lag < DISK_UNRESPONSIVE);
        answers && Self::is_session_live(shared, now, lease, name)
    }

    /// Store machines that must hold no replicas: those being retired, and those that were, until a
    /// machine of that name registers with another disk. A machine whose retirement is complete may
    /// be taken away at any moment, including its disk.
    pub(crate) fn retiring(shared: &ControlShared) -> Vec<String> {
        let same_disk = |r: &Retire| shared.leases.get(&r.node).is_none_or(|l| l.born <= r.born);
        let retires = shared.control_state.assignments.retires.iter();
        retires.filter(|r| !r.done || same_disk(r)).map(|r| r.node.clone()).collect()
    }

    /// The store machines that are alive and not leaving.
    fn live_machines(&self, shared: &ControlShared, now: u64) -> Vec<StoreMachine> {
        let lease = self.settings.lease_ms();
        let is_live =
            |node: &&Node| node.role == "store" && !node.leaving && Self::is_alive(shared, now, lease, &node.name);
        let nodes = shared.sessions.values().map(|session| &session.node).filter(is_live);
        let machine = |node: &Node| StoreMachine {
            name: node.name.clone(),
            zone: node.zone.clone(),
            region: node.region.clone(),
        };
        nodes.map(machine).collect()
    }

    /// The live store machines that may be given partitions.
    pub(crate) fn available_machines(&self, shared: &ControlShared, now: u64) -> Vec<StoreMachine> {
        let retiring = Self::retiring(shared);
        self.live_machines(shared, now).into_iter().filter(|machine| !retiring.contains(&machine.name)).collect()
    }

    /// Over how many zones and regions the copies of a partition must be spread.
    pub(crate) fn spread(&self) -> Spread {
        let tolerance = &self.settings.tolerance;
        Spread { zones: tolerance.zones as usize, regions: tolerance.regions as usize }
    }

    /// Ends expired sessions, publishes the membership, and proposes changes of partition
    /// assignments: the initial layout, successors of lost owners, and replacement of replicas.
    pub(crate) async fn assign_partitions(self: &Arc<Self>) {
        if self.assigning.swap(true, Ordering::Relaxed) {
            return;
        }
        let mut proposals = Vec::new();
        let now = self.now();
        let lease = self.settings.lease_ms();
        let mut commands: Vec<(String, CommandPayload)> = Vec::new();
        self.with(|shared| {
            self.update_cluster_clock(shared, now);
            shared.record_returning_zones(now);
            // Expire sessions.
            let limit = self.ratio(3.0);
            let before = shared.sessions.len();
            let me = self.me.clone();
            shared.sessions.retain(|_, s| s.node.inner == me || now < s.seen + limit);
            let published = shared.membership.version;
            if shared.sessions.len() == before || now > shared.leader_since + limit {
                // Includes changes that could not be published when they were received.
                Self::refresh_membership(shared, now);
            }
            if shared.membership.version != published {
                self.view_changed.notify_waiters();
            }
            self.update_vote_candidates(shared);
            let live = self.live_machines(shared, now);
            let replica_count = self.settings.tolerance.machines as usize + 1;
            let spread = self.spread();
            if shared.store_count_since.0 != live.len() {
                shared.store_count_since = (live.len(), now);
            }
            if shared.control_state.assignments.partitions.is_empty() {
                let zones = self.settings.zones.len().max(1);
                let has_waited = shared.first_store_at != 0 && now > shared.first_store_at + self.ratio(2.0);
                // The initial layout fixes the number of partitions, so wait until no more machines
                // have arrived for a while.
                let is_steady = now > shared.store_count_since.1 + self.ratio(8.0);
                if is_steady && (live.len() >= zones.max(replica_count) || (has_waited && live.len() >= replica_count))
                {
                    let mut partitions = layout(&live, replica_count, spread);
                    for p in &mut partitions {
                        for h in p.replicas.clone() {
                            p.set_joined(&h, shared.leases.get(&h).map_or(0, |l| l.incarnation));
                        }
                    }
                    telemetry::change!(
                        "initial layout: {} partitions on {} store machines",
                        partitions.len(),
                        live.len()
                    );
                    commands.push(("layout".into(), CommandPayload::Layout(Layout { partitions })));
                }
                return;
            }
            let retiring: Vec<String> = Self::retiring(shared);
            if let Some(layout) = self.missing_home_layout(shared, &live, &retiring, spread) {
                commands.push(("home layout".into(), CommandPayload::HomeLayout(layout)));
                return;
            }
            let partitions = shared.control_state.assignments.partitions.clone();
            let leaving: Vec<String> = shared
                .sessions
                .values()
                .filter(|s| s.node.role == "store" && s.node.leaving)
                .map(|s| s.node.name.clone())
                .collect();
            let available = self.available_machines(shared, now);
            // Nodes that lose their replicas: retiring nodes, nodes that have been away for twice
            // the settling time, and nodes away for a quarter of it if another one can take their
            // place, as after a machine was replaced by one at another address. With such a
            // replacement, a node that is leaving is replaced before it ends.
            let settle = self.settings.constraints.settle_s;
            let is_away = |h: &str, ms_per_settle_s: f64| {
                let away_ms = (settle * ms_per_settle_s) as u64;
                now > shared.leader_since + away_ms && shared.leases.get(h).is_none_or(|l| now > l.at + away_ms)
            };
            let mut departing: Vec<&str> = partitions.iter().flat_map(|p| &p.replicas).map(String::as_str).collect();
            departing.sort_unstable();
            departing.dedup();
            departing.retain(|h| {
                let has_replacement =
                    || rpc::has_replacement(&partitions, h, available.iter().map(|n| n.name.as_str()));
                let may_be_replaced_early = leaving.iter().any(|e| e == h) || is_away(h, 250.0);
                retiring.iter().any(|r| r == h) || is_away(h, 2000.0) || (may_be_replaced_early && has_replacement())
            });
            let departing: HashSet<&str> = departing.into_iter().collect();
            self.check_ownership(shared, &partitions, now);
            let healthy = shared.with_healthy_disks(&available);
            for p in &partitions {
                let incarnation = |n: &str| shared.leases.get(n).map(|l| l.incarnation);
                let assessor = self.copy_assessor(shared, now, &retiring);
                let mut updated = seize(p, |n| assessor.health(p, n), incarnation);
                let revived_partition = || {
                    let has_lease = |n: &str| shared.leases.contains_key(n);
                    let health = |n: &str| if has_lease(n) { assessor.health(p, n) } else { CopyHealth::Gone };
                    restore_owner(p, health, incarnation)
                };
                let is_claimed = shared.leases.iter().any(|(n, l)| {
                    Self::is_alive(shared, now, lease, n)
                        && l.claims.iter().any(|c| c.partition == p.id && c.term >= p.term)
                });
                let unclaimed_since = shared.unclaimed_since.get(&p.id).copied().unwrap_or(now);
                let is_abandoned = !is_claimed && now > unclaimed_since + 3 * lease && updated.is_none();
                if is_abandoned {
                    updated = revived_partition();
                }
                if updated.is_none() {
                    updated = assessor.replace_slow_replica(p, &partitions, &healthy, spread);
                }
                if is_claimed || is_abandoned {
                    shared.unclaimed_since.remove(&p.id);
                } else {
                    shared.unclaimed_since.entry(p.id).or_insert(now);
                }
                if let Some(updated) = updated {
                    if updated.term != p.term {
                        if updated.owner != p.owner {
                            shared.seizing.insert(p.owner.clone());
                        }
                        telemetry::change!(
                            "partition {} seized from {} for {} at term {}",
                            p.id,
                            p.owner,
                            updated.owner,
                            updated.term
                        );
                    } else if updated.in_sync != p.in_sync {
                        telemetry::change!("partition {} in sync: {:?}", p.id, updated.in_sync);
                    }
                    commands.push((
                        format!("p{}", p.id),
                        CommandPayload::Partition(PutPartition { was: p.clone(), now: updated }),
                    ));
                    continue;
                }
                let departing_replica = p.replicas.iter().find(|h| departing.contains(h.as_str()));
                let remaining = eligible_machines(p, &available)
                    .filter(|n| departing_replica.is_none_or(|name| n.name != *name))
                    .count();
                // The replicas of a bound partition stay in its region, so fewer may be left when one of the
                // region's machines is retired.
                let is_retired = || departing_replica.is_some_and(|name| retiring.contains(name));
                let has_enough = match p.home.is_empty() {
                    true => available.len() >= replica_count,
                    false => remaining >= p.replicas.len() || (remaining > 0 && is_retired()),
                };
                if let Some(departing_replica) = departing_replica
                    && has_enough
                    && let Some(updated) =
                        replace_replica(p, departing_replica, &partitions, &available, replica_count, spread)
                {
                    telemetry::change!("partition {} replicas {:?}", p.id, updated.replicas);
                    commands.push((
                        format!("p{}", p.id),
                        CommandPayload::Partition(PutPartition { was: p.clone(), now: updated }),
                    ));
                    continue;
                }
                if p.replicas.len() < replica_count
                    && let Some(n) = new_replica(p, &partitions, &available, replica_count, spread)
                {
                    let mut updated = p.clone();
                    updated.replicas.push(n);
                    commands.push((
                        format!("p{}", p.id),
                        CommandPayload::Partition(PutPartition { was: p.clone(), now: updated }),
                    ));
                }
            }
            // A machine that has just arrived may be the replacement of one that is about to leave,
            // so it receives no partitions for balance until the settling time is over.
            let reserved_ms = (self.settings.constraints.settle_s * 1000.0) as u64;
            if commands.is_empty()
                && now > shared.store_count_since.1 + reserved_ms
                && let Some(updated) = rebalance(&partitions, &healthy)
            {
                telemetry::change!("partition {} replicas {:?}, for balance", updated.id, updated.replicas);
                let was = partitions.iter().find(|p| p.id == updated.id).cloned();
                commands.extend(
                    was.map(|was| ("balance".into(), CommandPayload::Partition(PutPartition { was, now: updated }))),
                );
            }
            for r in shared.control_state.assignments.retires.iter().filter(|r| !r.done) {
                if is_drained(&partitions, &r.node, replica_count) {
                    telemetry::change!("retired {}: it holds no replicas any more", r.node);
                    let born = shared.leases.get(&r.node).map_or(0, |l| l.born);
                    let finish = FinishRetire {
                        node: r.node.clone(),
                        began: r.began,
                        replica_count: replica_count as u32,
                        born,
                    };
                    commands.push((r.node.clone(), CommandPayload::FinishRetire(finish)));
                }
            }
        });
        for (_, command) in commands {
            // Proposed concurrently: each command changes another partition, and only if it is still
            // as it was read here.
            let control = self.clone();
            proposals.push(tokio::spawn(async move {
                control.propose(command).await;
            }));
        }
        for proposal in proposals {
            let _ = proposal.await;
        }
        self.with(|shared| shared.seizing.clear());
        self.assigning.store(false, Ordering::Relaxed);
    }

    /// Records which partitions have an owner, and raises an alarm for those that have had none for
    /// longer than it takes to assign one: twice the time after which a machine that is away is
    /// replaced.
    fn check_ownership(&self, shared: &mut ControlShared, partitions: &[Partition], now: u64) {
        let lease = self.settings.lease_ms();
        for p in partitions {
            let claims_it = |l: &StoreLease| l.claims.iter().any(|c| c.partition == p.id && c.term >= p.term);
            let is_claimed = shared.leases.iter().any(|(n, l)| Self::is_alive(shared, now, lease, n) && claims_it(l));
            shared.ownership_watch.record(p.id, is_claimed, now);
        }
        telemetry::set("partition_unowned_ms", shared.ownership_watch.longest_ms(now));
        if !shared.ownership_watch.is_alarm_due() {
            return;
        }
        let bound = (self.settings.constraints.settle_s * 4000.0) as u64;
        let unowned = shared.ownership_watch.unowned_for(bound, now);
        let first = unowned.first().and_then(|id| partitions.iter().find(|p| p.id == *id));
        let state_of = |node: &String| {
            let is_live = Self::is_session_live(shared, now, lease, node);
            let born = shared.leases.get(node).map_or(0, |l| l.born);
            let is_emptied = first.is_some_and(|p| p.joined_incarnation(node) < born);
            let lag = shared.leases.get(node).map_or(0, |l| l.lag);
            format!("{node}: session live {is_live}, disk emptied {is_emptied}, disk lag {lag}")
        };
        let in_sync: Vec<String> = first.iter().flat_map(|p| &p.in_sync).map(state_of).collect();
        telemetry::check_invariant(
            "invariant_partition_unowned",
            unowned.len() as u64,
            format_args!("partitions without an owner: {unowned:?}; in sync for the first of them: {in_sync:?}"),
        );
    }

    /// The layout for one region that a route or tenant is bound to and that has no partitions yet,
    /// once enough of its store machines are live for the number of copies in the settings.
    fn missing_home_layout(
        &self,
        shared: &mut ControlShared,
        live: &[StoreMachine],
        retiring: &[String],
        spread: Spread,
    ) -> Option<Layout> {
        let configuration = shared.read_configuration_with_homes()?;
        let replica_count = self.settings.tolerance.machines as usize + 1;
        let existing = &shared.control_state.assignments.partitions;
        let nodes: Vec<StoreMachine> = live.iter().filter(|node| !retiring.contains(&node.name)).cloned().collect();
        let is_known = |region: &&str| self.settings.zones.values().any(|known| known == region);
        let is_missing = |region: &&str| !existing.iter().any(|p| p.home == *region);
        let has_enough_machines =
            |region: &&str| nodes.iter().filter(|node| node.region == *region).count() >= replica_count;
        let regions = configuration.home_regions();
        let region =
            *regions.iter().find(|region| is_known(region) && is_missing(region) && has_enough_machines(region))?;
        let first = existing.iter().map(|p| p.id + 1).max()?;
        let mut partitions = home_layout(region, &nodes, first, replica_count, spread);
        for partition in &mut partitions {
            for replica in partition.replicas.clone() {
                partition.set_joined(&replica, shared.leases.get(&replica).map_or(0, |lease| lease.incarnation));
            }
        }
        telemetry::change!("layout of region {region}: {} partitions for messages bound to it", partitions.len());
        Some(Layout { partitions })
    }

    /// Evaluates running roll-outs and proposes their next step.
    pub(crate) async fn evaluate_rollouts(&self) {
        // Cluster time, as the leader's own clock may step in the middle of a roll-out.
        let Some(cluster_time) = self.time() else { return };
        if self.with(|shared| shared.control_state.assignments.rollouts.iter().all(|r| r.state != "running")) {
            return;
        }
        let configuration_index = self.configuration_index();
        let mut commands = Vec::new();
        self.with(|shared| {
            if shared.control_state.assignments.rollouts.iter().all(|r| r.state != "running") {
                return;
            }
            let timeout = configuration_index.routes.iter().map(|c| c.timeout_ms).fold(0.0, f64::max);
            let full_share_ms = timeout as u64 + self.settings.constraints.revert_slack_ms as u64;
            for r in shared.control_state.assignments.rollouts.iter().filter(|r| r.state == "running") {
                let monitor = shared.rollout_monitors.entry(r.service.clone()).or_default();
                monitor.track_rollout(r.began);
                let mut updated = r.clone();
                updated.spent = updated.spent.max(monitor.sent_new);
                match monitor.decide(r, cluster_time, full_share_ms, self.settings.constraints.revert_slack_ms / 10.0) {
                    RolloutDecision::Wait => continue,
                    RolloutDecision::Share(s) => updated.share = s,
                    RolloutDecision::Settle => updated.state = "settled".into(),
                    RolloutDecision::Revert(why) => {
                        telemetry::change!("roll-out of {} reverted: {why}", r.service);
                        updated.state = "reverted".into();
                        updated.share = 0;
                    }
                }
                telemetry::change!(
                    "roll-out of {} to {}: {} at {} thousandths",
                    updated.service,
                    updated.target,
                    updated.state,
                    updated.share
                );
                commands.push(CommandPayload::PutRollout(PutRollout { was: r.clone(), now: updated }));
            }
        });
        for command in commands {
            self.propose(command).await;
        }
    }

    /// Keeps the list of processors from the platform up to date while this control node leads.
    pub(crate) async fn list_processors(&self, settings_updates: watch::Receiver<Settings>) {
        #[derive(serde::Deserialize)]
        #[serde(rename_all = "camelCase", default)]
        #[derive(Default)]
        struct ListedProcessor {
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
            processors: Vec<ListedProcessor>,
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
            let (mut processors, mut token, mut is_complete) = (Vec::new(), None::<String>, false);
            let listing_began = self.now();
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
                let Ok(response) = pool.call(&addr, call, 2, Duration::from_millis(1000)).await else { break };
                if response.status != 200 {
                    break;
                }
                let Ok(page) = serde_json::from_slice::<Page>(&response.body) else { break };
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
                    is_complete = true;
                    break;
                }
            }
            if is_complete {
                processors.sort_by(|a, b| a.id.cmp(&b.id));
                let now = self.now();
                let lag = self.listing_lag_ms();
                let cold_known = self.with(|shared| {
                    shared.processors = processors;
                    shared.listed = true;
                    shared.listed_at = now;
                    Self::refresh_membership(shared, now);
                    shared.returned_zones_listed(listing_began.saturating_sub(lag), now)
                });
                self.view_changed.notify_waiters();
                for known in cold_known {
                    self.propose(CommandPayload::ColdKnown(known)).await;
                }
            }
            tokio::time::sleep(period).await;
        }
    }

    /// How far the platform's list may lag behind, in milliseconds.
    fn listing_lag_ms(&self) -> u64 {
        let margin = self.settings.constraints.converge_ms / 4.0;
        (self.settings.platform.lag_ms + margin) as u64
    }

    /// Updates the cluster's time. A leader to which no node has reported a running cluster time
    /// starts it from the logs, after the nodes that may know it have had time to report it.
    pub(crate) fn update_cluster_clock(&self, shared: &mut ControlShared, now: u64) {
        shared.cluster_clock.record_reading(&self.settings.node, telemetry::wall_ms(), now);
        let quorum = Self::clock_quorum(shared);
        if now > shared.leader_since + self.ratio(16.0) {
            shared.cluster_clock.start_from_logs(shared.control_state.reached_ms, quorum, now);
        }
        shared.cluster_clock.correct(quorum, now);
        let off = shared.cluster_clock.clocks_off(now);
        let largest_offset = off.iter().map(|c| c.ahead_ms.unsigned_abs()).max().unwrap_or(0);
        telemetry::set("clocks_off", off.len() as u64);
        telemetry::set("clock_off_ms", largest_offset);
        telemetry::set("time_correction_ms", shared.cluster_clock.correction_ms(now).unsigned_abs());
    }

    /// The number of clocks that is more than half of the store and control machines.
    fn clock_quorum(shared: &ControlShared) -> usize {
        let stores: HashSet<&String> =
            shared.control_state.assignments.partitions.iter().flat_map(|p| &p.replicas).collect();
        (stores.len() + shared.voters.len()) / 2 + 1
    }
}
