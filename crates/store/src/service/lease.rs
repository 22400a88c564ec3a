//! The lease: how it is renewed with the leader and when the node may act by it.

use super::*;

impl StoreService {
    pub(super) fn leased(&self, i: &StoreState) -> bool {
        self.now() < i.lease_until
    }

    /// The latest time that the partitions here say has passed.
    fn reached_ms(&self) -> u64 {
        let now = self.now();
        self.shared.lock().unwrap().replicas.values().map(|m| m.reached_ms(now)).max().unwrap_or(0)
    }

    pub(super) fn extend_lease(&self, until: u64) {
        let mut i = self.shared.lock().unwrap();
        i.lease_until = i.lease_until.max(until);
        self.wake.notify_one();
    }

    pub(super) async fn keep_lease(self: Arc<Self>) {
        let period = Duration::from_millis(self.settings.lease_ms() / 3);
        let mut turn = 0usize;
        let mut granted_first = None;
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
            let l = Lease {
                node: self.session.me(),
                samples,
                claims: claims.clone(),
                lag,
                clock_ms: telemetry::wall_ms(),
                time_ms: self.cluster_time().unwrap_or(0),
                reached_ms: self.reached_ms(),
            };
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
                        let mut carried = self.cluster_time.lock().unwrap();
                        carried.told(a.time_ms, asked, self.now());
                        carried.time(asked).is_some()
                    };
                    let granted_first = *granted_first.get_or_insert(asked);
                    if !timed && asked < granted_first + self.ratio(8.0) {
                        // Soon known; without it the time since the last record is not
                        // counted here.
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
    pub(super) fn lag(&self) -> u32 {
        if self.wal.busy_for() > Duration::from_millis(self.ratio(16.0)) {
            2
        } else {
            u32::from(self.wal.is_slow(Duration::from_millis(self.ratio(60.0))))
        }
    }

    /// Sleeps, but no longer than until the disk does otherwise than was told.
    pub(super) async fn sleep_while(&self, lag: u32, period: Duration) {
        let end = Instant::now() + period;
        while Instant::now() < end && self.lag() == lag {
            tokio::time::sleep(period / 4).await;
        }
    }

    /// An incarnation of this node that comes after its own is known to the leader, as when
    /// this process began by a clock that is behind.
    pub(super) fn relive(self: &Arc<Self>, newer_incarnation: u64) {
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
    pub(super) async fn ask_leader(&self, control_nodes: &[String], claims: &[Holding], wait: Duration) {
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
}
