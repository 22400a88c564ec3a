//! The owner lease: its renewal with the leader, and what depends on it.

use super::*;

impl StoreService {
    /// Whether this node holds the lease now and may act as owner.
    pub(super) fn has_lease(&self, state: &StoreState) -> bool {
        self.now() < state.lease_until
    }

    /// The latest time that is known to have passed in any partition here.
    fn reached_ms(&self) -> u64 {
        let now = self.now();
        self.shared.lock().unwrap().replicas.values().map(|replica| replica.reached_ms(now)).max().unwrap_or(0)
    }

    pub(super) fn extend_lease(&self, until: u64) {
        let mut state = self.shared.lock().unwrap();
        state.lease_until = state.lease_until.max(until);
        self.wake.notify_one();
    }

    /// Renews the lease with the leader for as long as the process runs.
    pub(super) async fn keep_lease(self: Arc<Self>) {
        let period = Duration::from_millis(self.settings.lease_ms() / 3);
        let mut attempt = 0usize;
        let mut first_granted_at = None;
        loop {
            let asked_at = self.now();
            let lag = self.disk_lag();
            let (samples, claims) = {
                let mut state = self.shared.lock().unwrap();
                if lag == 2 {
                    // The node could not commit anything: it gives up the lease before another
                    // node takes over.
                    if state.lease_until > 0 {
                        telemetry::change!("the disk does not answer: no owner until it does");
                    }
                    state.lease_until = 0;
                }
                let owned = state.replicas.values().filter(|replica| replica.role == ReplicaRole::Owner);
                let claims =
                    owned.map(|replica| Holding { partition: replica.id, term: replica.term }).collect::<Vec<_>>();
                (state.scheduler.take_samples(), claims)
            };
            let leader = self.session.with_known(|known| known.leader.clone());
            let seeds = self.session.order_control_nodes();
            let address = if leader.is_empty() { seeds[attempt % seeds.len()].clone() } else { leader.clone() };
            attempt += 1;
            let request = Lease {
                node: self.session.me(),
                samples,
                claims: claims.clone(),
                lag,
                clock_ms: telemetry::wall_ms(),
                time_ms: self.cluster_time().unwrap_or(0),
                reached_ms: self.reached_ms(),
            };
            match self.rpc_clients.to(&address).call(Body::Lease(request), period * 2).await {
                Ok(Body::LeaseAck(ack)) if ack.granted => {
                    self.session.take(&ViewUpdate { leader: address, ..ViewUpdate::default() });
                    {
                        let mut guard = self.shared.lock().unwrap();
                        // Partitions that have a newer owner are given up before the lease takes
                        // effect.
                        for partition in &ack.outdated {
                            self.step(&mut guard, partition.id, |replica, now, effects| {
                                replica.handle_assignment(partition, now, effects)
                            });
                        }
                        guard.lagging_nodes = ack.lagging;
                    }
                    let has_time = {
                        let mut carried = self.cluster_time.lock().unwrap();
                        carried.update(ack.time_ms, asked_at, self.now());
                        carried.time(asked_at).is_some()
                    };
                    let first_granted_at = *first_granted_at.get_or_insert(asked_at);
                    if !has_time && asked_at < first_granted_at + self.quiet_fraction_ms(8.0) {
                        // The cluster time is known soon. Acting as owner without it would leave
                        // the time since a partition's last record uncounted.
                        tokio::time::sleep(period / 6).await;
                        continue;
                    }
                    self.extend_lease(asked_at + ack.ttl_ms as u64);
                    self.sleep_while_disk_lag(lag, period).await;
                }
                Ok(Body::LeaseAck(ack)) if ack.newer_incarnation > 0 => {
                    self.begin_incarnation(ack.newer_incarnation);
                    tokio::time::sleep(period / 60).await;
                }
                Ok(Body::LeaseAck(ack)) => {
                    if !ack.leader.is_empty() {
                        self.session.take(&ViewUpdate { leader: ack.leader, ..ViewUpdate::default() });
                    } else {
                        // This node knows no leader; the other control nodes may.
                        self.ask_leader(&seeds, &claims, period).await;
                    }
                    tokio::time::sleep(period / 6).await;
                }
                _ => {
                    telemetry::count("lease_misses");
                    // The leader may have changed: ask the other control nodes.
                    self.ask_leader(&seeds, &claims, period).await;
                    tokio::time::sleep(period / 6).await;
                }
            }
        }
    }

    /// The state of this machine's disk, as reported in `Lease::lag`: 0 if it keeps up, 1 if the
    /// last writes were all slow, 2 if a write is not answered.
    pub(super) fn disk_lag(&self) -> u32 {
        if self.wal.busy_for() > Duration::from_millis(self.quiet_fraction_ms(16.0)) {
            2
        } else {
            u32::from(self.wal.is_slow(Duration::from_millis(self.quiet_fraction_ms(60.0))))
        }
    }

    /// Sleeps for `period`, or until the disk state differs from the reported one.
    pub(super) async fn sleep_while_disk_lag(&self, lag: u32, period: Duration) {
        let end = Instant::now() + period;
        while Instant::now() < end && self.disk_lag() == lag {
            tokio::time::sleep(period / 4).await;
        }
    }

    /// Begins a new incarnation above `newer_incarnation`, which the leader knows and which is
    /// above this process's own, as after a start with a clock that is behind.
    pub(super) fn begin_incarnation(self: &Arc<Self>, newer_incarnation: u64) {
        let Some(incarnation) = self.session.relive(newer_incarnation) else { return };
        telemetry::count("incarnations_begun_again");
        // An incarnation that is not recorded on this disk ran on another disk.
        let identity = DiskIdentity { first_incarnation: incarnation, last_incarnation: incarnation, empty: false };
        self.session.reborn(incarnation);
        self.wal.write(vec![Op::Put(key(b'd', 0, 0), identity.encode_to_vec().into())], || ());
        let mut guard = self.shared.lock().unwrap();
        guard.lease_until = 0;
        for partition in guard.replicas.keys().copied().collect::<Vec<_>>() {
            self.step(&mut guard, partition, |replica, _, effects| replica.set_incarnation(incarnation, effects));
        }
    }

    /// Asks all control nodes for the leader. They are asked in parallel: some may be down for
    /// good, and the lease would expire while they are asked one after the other.
    pub(super) async fn ask_leader(&self, control_nodes: &[String], claims: &[Holding], wait: Duration) {
        let (tx, mut rx) = tokio::sync::mpsc::channel(control_nodes.len().max(1));
        for address in control_nodes {
            let (node, claims, clock_ms) = (self.session.me(), claims.to_vec(), telemetry::wall_ms());
            let request = Lease { node, claims, lag: self.disk_lag(), clock_ms, ..Lease::default() };
            let (client, asked, tx) = (self.rpc_clients.to(address), address.clone(), tx.clone());
            tokio::spawn(async move {
                if let Ok(Body::LeaseAck(ack)) = client.call(Body::Lease(request), wait).await {
                    let leader = if ack.granted { asked } else { ack.leader };
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
}
