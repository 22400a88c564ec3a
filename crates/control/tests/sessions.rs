//! A control node on loopback with simulated store nodes: leases, and owners that end.

use config::Settings;
use rpc::messages::*;
use rpc::{Body, RpcClient};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

const WAIT: Duration = Duration::from_secs(5);

fn free_base(from: u16) -> u16 {
    let from = from + (std::process::id() % 500) as u16 * 20;
    (from..60_000)
        .step_by(20)
        .find(|b| (*b..*b + 5).all(|p| std::net::TcpListener::bind(("127.0.0.1", p)).is_ok()))
        .expect("free ports")
}

/// A simulated store node, which only renews its lease and claims the partitions that it owns.
struct FakeStore {
    node: Node,
    client: Arc<RpcClient>,
    listening: JoinHandle<()>,
}

impl FakeStore {
    async fn new(name: &str, control: &str) -> FakeStore {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let inner = listener.local_addr().expect("an address").to_string();
        let listening = tokio::spawn(rpc::serve(listener, WAIT, |_, _| ()));
        let node = Node {
            name: name.into(),
            role: "store".into(),
            zone: name.into(),
            inner,
            incarnation: 1,
            ..Node::default()
        };
        FakeStore { node, client: RpcClient::new(control, WAIT), listening }
    }

    async fn renew_lease(&self, assignments: &Assignments) -> bool {
        self.report_disk(assignments, 0).await.granted
    }

    /// Renews the lease and reports the state of the disk.
    async fn report_disk(&self, assignments: &Assignments, lag: u32) -> LeaseAck {
        let owned = assignments.partitions.iter().filter(|p| p.owner == self.node.name);
        let claims = owned.map(|p| Holding { partition: p.id, term: p.term }).collect();
        let l = Lease { node: self.node.clone(), claims, lag, clock_ms: telemetry::wall_ms(), ..Lease::default() };
        match self.client.call(Body::Lease(l), WAIT).await {
            Ok(Body::LeaseAck(a)) => a,
            _ => LeaseAck::default(),
        }
    }

    async fn join(&self, partition: &Partition, node: &FakeStore) -> OrderAck {
        let (name, incarnation, kind) = (node.node.name.clone(), node.node.incarnation, OrderKind::Join as i32);
        let (id, term, seen) = (partition.id, partition.term, partition.changed);
        let o = Order { partition: id, term, node: name, kind, incarnation, seen, ..Order::default() };
        match self.client.call(Body::Order(o), WAIT).await {
            Ok(Body::OrderAck(a)) => a,
            _ => OrderAck::default(),
        }
    }
}

async fn assignments(control: &Arc<RpcClient>) -> Assignments {
    let w = WatchRequest { wait_ms: 1, ..WatchRequest::default() };
    match control.call(Body::WatchRequest(w), WAIT).await {
        Ok(Body::ViewUpdate(n)) => n.assignments.unwrap_or_default(),
        _ => Assignments::default(),
    }
}

struct Cluster {
    dir: std::path::PathBuf,
    lease: Duration,
    stop: tokio::sync::watch::Sender<bool>,
    running: JoinHandle<Result<(), String>>,
    watcher: Arc<RpcClient>,
}

impl Cluster {
    async fn end(self) {
        let _ = self.stop.send(true);
        let _ = self.running.await;
        let _ = std::fs::remove_dir_all(self.dir);
    }
}

/// Starts a control node and two store nodes, and waits for the initial partition layout.
async fn start_with_two_stores(from: u16) -> (Cluster, FakeStore, FakeStore, Assignments) {
    let (cluster, mut stores, now) = start_with_stores(from, &["a", "b"]).await;
    let b = stores.pop().expect("two");
    (cluster, stores.pop().expect("two"), b, now)
}

/// Starts a control node and store nodes of these names, and waits for the initial partition layout.
async fn start_with_stores(from: u16, names: &[&str]) -> (Cluster, Vec<FakeStore>, Assignments) {
    let base = free_base(from);
    let dir = std::env::temp_dir().join(format!("willowslip-sessions-{from}-{}", std::process::id()));
    let mut c = Settings {
        node: "core-1".into(),
        ip: "127.0.0.1".into(),
        zone: "z".into(),
        port_range: vec![base as u32, base as u32 + 3],
        seeds: vec![format!("127.0.0.1:{}", base + 4)],
        initial_start: true,
        data_dir: dir.display().to_string(),
        ..Settings::default()
    };
    (c.limits.memory_mb, c.limits.disk_mb, c.tolerance.machines) = (128, 128, 1);
    // A lease of more than two seconds.
    (c.constraints.quiet_ms, c.constraints.ack_ms, c.constraints.settle_s) = (32_000.0, 5000.0, 60.0);
    let lease = Duration::from_millis(c.lease_ms());
    let control = format!("127.0.0.1:{base}");
    let (stop, stopped) = tokio::sync::watch::channel(false);
    let running = tokio::spawn(control::run(c.clone(), stopped, tokio::sync::watch::channel(c).1));
    let watcher = RpcClient::new(&control, WAIT);
    let mut stores = Vec::new();
    for name in names {
        stores.push(FakeStore::new(name, &control).await);
    }
    let started = Instant::now();
    let mut now = Assignments::default();
    while now.partitions.is_empty() {
        assert!(started.elapsed() < Duration::from_secs(60), "no partition layout in time");
        for store in &stores {
            store.renew_lease(&now).await;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
        now = assignments(&watcher).await;
    }
    (Cluster { dir, lease, stop, running, watcher }, stores, now)
}

/// Guards against LOST: while a disk was slow or did not respond, its partitions had only one copy,
/// although a third machine could have held another.
#[tokio::test(flavor = "current_thread")]
async fn a_disk_that_does_not_keep_up_costs_no_copy_where_another_machine_can_hold_it() {
    for lag in [1, 2] {
        let (w, stores, first) = start_with_stores(46_000 + 200 * lag as u16, &["a", "b", "c"]).await;
        let (a, b, c) = (&stores[0], &stores[1], &stores[2]);
        let all_whole = |now: &Assignments| now.partitions.iter().all(|p| p.in_sync.len() >= 2);
        let has_copy = |p: &Partition| p.in_sync.iter().any(|node| node == "c");
        assert!(all_whole(&first) && first.partitions.iter().any(has_copy));
        let mut now = first;
        let started = Instant::now();
        let follows = |p: &&Partition| p.owner != "c" && p.replicas.iter().any(|node| node == "c");
        while now.partitions.iter().any(|p| follows(&p)) {
            assert!(started.elapsed() < w.lease, "no other machine replaces the replica");
            assert!(a.renew_lease(&now).await && b.renew_lease(&now).await);
            assert_eq!(c.report_disk(&now, lag).await.granted, lag < 2);
            assert!(all_whole(&now), "{:?}", now.partitions);
            tokio::time::sleep(Duration::from_millis(20)).await;
            now = assignments(&w.watcher).await;
        }
        assert!(
            all_whole(&now) && now.partitions.iter().filter(|p| p.owner != "c").any(has_copy),
            "the copy on a slow disk counts until another machine holds one"
        );
        w.end().await;
    }
}

#[tokio::test(flavor = "current_thread")]
async fn a_slow_disk_leaves_the_in_sync_sets_and_an_unresponsive_one_is_replaced() {
    let (w, a, b, first) = start_with_two_stores(45_000).await;
    let owned = |c: &Assignments, n: &str| c.partitions.iter().filter(|p| p.owner == n).cloned().collect::<Vec<_>>();
    let mut now = first;
    // b's disk is slow: b leaves the in-sync sets of a's partitions, but keeps its own until a handover.
    while owned(&now, "a").iter().any(|p| p.in_sync.len() > 1) {
        assert!(a.renew_lease(&now).await && b.report_disk(&now, 1).await.granted);
        tokio::time::sleep(Duration::from_millis(50)).await;
        now = assignments(&w.watcher).await;
    }
    assert_eq!(a.report_disk(&now, 0).await.lagging, ["b"]);
    assert!(owned(&now, "b").iter().all(|p| p.in_sync.len() == 2 && p.term == 1));
    let p = owned(&now, "a")[0].clone();
    let ack = a.join(&p, &b).await;
    assert!(ack.refused, "no join while the disk is slow");
    // The refusal was logged and changed the partition: the next request has to refer to that.
    let p = ack.partition.expect("the current version");
    b.renew_lease(&now).await;
    assert!(a.join(&p, &b).await.ok);
    // b's disk does not respond: b has stopped acting as owner, so its lease is not awaited.
    let started = Instant::now();
    assert!(!b.report_disk(&now, 2).await.granted);
    while !owned(&now, "b").is_empty() {
        assert!(started.elapsed() < w.lease, "replaced only after the lease expired");
        a.renew_lease(&now).await;
        tokio::time::sleep(Duration::from_millis(20)).await;
        now = assignments(&w.watcher).await;
    }
    assert!(now.partitions.iter().filter(|p| p.seized).all(|p| p.owner == "a" && p.term == 2));
    // It claims its former partitions: the reply names those it has lost before the lease counts again.
    let claims = vec![Holding { partition: now.partitions.iter().find(|p| p.seized).expect("one").id, term: 1 }];
    let l = Lease { node: b.node.clone(), claims, ..Lease::default() };
    let Ok(Body::LeaseAck(ack)) = b.client.call(Body::Lease(l), WAIT).await else { panic!("answered") };
    assert!(ack.granted && ack.outdated.len() == 1 && ack.outdated[0].owner == "a");
    w.end().await;
}

#[tokio::test(flavor = "current_thread")]
async fn a_process_started_with_a_clock_behind_learns_its_later_incarnation_and_gets_a_lease() {
    let (w, a, mut b, now) = start_with_two_stores(40_000).await;
    b.node.incarnation = 50;
    assert!(a.renew_lease(&now).await && b.renew_lease(&now).await);
    // It restarts while its clock is behind, so its incarnation appears to be an earlier one.
    b.node.incarnation = 20;
    let ack = b.report_disk(&now, 0).await;
    assert!(!ack.granted && ack.newer_incarnation == 50, "no lease, but the known incarnation");
    b.node.incarnation = rpc::next_incarnation(ack.newer_incarnation);
    assert!(b.renew_lease(&now).await);
    // Neither a delayed message of the earlier incarnation nor an implausible one is accepted.
    b.node.incarnation = 20;
    assert!(!b.renew_lease(&now).await);
    b.node.incarnation = u64::MAX;
    let ack = b.report_disk(&now, 0).await;
    assert!(!ack.granted && ack.newer_incarnation == 0);
    b.node.incarnation = 51;
    let ack = b.report_disk(&now, 0).await;
    assert!(ack.granted && ack.time_ms > 0, "with the cluster time");
    // The same holds for sessions.
    let behind = Node { incarnation: 7, leaving: true, ..b.node.clone() };
    let watch = WatchRequest { node: Some(behind), wait_ms: 1000, ..WatchRequest::default() };
    let Ok(Body::ViewUpdate(n)) = w.watcher.call(Body::WatchRequest(watch), WAIT).await else { panic!("answered") };
    assert_eq!(n.newer_incarnation, 51);
    assert!(!n.membership.expect("whole").nodes.iter().any(|n| n.name == "b" && n.leaving));
    w.end().await;
}

#[tokio::test(flavor = "current_thread")]
async fn an_owner_whose_process_ended_is_replaced_before_its_lease_expires() {
    let (w, a, b, now) = start_with_two_stores(30_000).await;
    let (watcher, lease) = (w.watcher.clone(), w.lease);
    let control = watcher.addr().to_owned();
    let of = |c: &Assignments, n: &str| c.partitions.iter().filter(|p| p.owner == n).count();
    assert_eq!((of(&now, "a"), of(&now, "b")), (2, 2));
    assert!(a.renew_lease(&now).await && b.renew_lease(&now).await);

    // b's connection breaks, but its process still listens: its ownership is unchanged.
    drop(b.client);
    tokio::time::sleep(lease / 8).await;
    assert_eq!(of(&assignments(&watcher).await, "b"), 2);
    let b = FakeStore { client: RpcClient::new(&control, WAIT), ..b };
    assert!(b.renew_lease(&now).await);

    // a's process ends: its address refuses connections.
    a.listening.abort();
    let _ = a.listening.await;
    let ended = Instant::now();
    drop(a.client);
    loop {
        let c = assignments(&watcher).await;
        if of(&c, "b") == 4 {
            assert!(c.partitions.iter().filter(|p| p.seized).all(|p| p.term == 2 && p.in_sync == ["b"]));
            assert_eq!(c.partitions.iter().filter(|p| p.seized).count(), 2);
            break;
        }
        assert!(ended.elapsed() < lease, "replaced only after the lease expired");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    w.end().await;
}

#[tokio::test(flavor = "current_thread")]
async fn an_emptied_disk_holds_nothing_however_often_its_process_restarted_since() {
    let (w, a, mut b, now) = start_with_two_stores(34_000).await;
    assert!(a.renew_lease(&now).await && b.renew_lease(&now).await);
    // b lost its disk, started in incarnation 5, ended before the leader heard of it, and restarted
    // in incarnation 6 with the little that was written in between.
    (b.node.incarnation, b.node.born) = (6, 5);
    assert!(b.renew_lease(&now).await);
    tokio::time::sleep(w.lease / 4).await;
    let c = assignments(&w.watcher).await;
    assert!(c.partitions.iter().all(|p| p.owner == "a" && p.in_sync == ["a"]), "{:?}", c.partitions);
    // After it has been filled again it joins; a later restart does not remove it.
    let p = &c.partitions[0];
    assert!(a.join(p, &b).await.ok);
    b.node.incarnation = 7;
    assert!(a.renew_lease(&c).await && b.renew_lease(&c).await);
    tokio::time::sleep(w.lease / 4).await;
    let c = assignments(&w.watcher).await;
    assert!(c.partitions.iter().any(|q| q.id == p.id && q.in_sync.contains(&"b".to_owned())));
    w.end().await;
}

#[tokio::test(flavor = "current_thread")]
async fn no_earlier_request_is_granted_after_a_refusal() {
    let (w, a, b, now) = start_with_two_stores(36_000).await;
    assert!(a.renew_lease(&now).await && b.renew_lease(&now).await);
    let p = now.partitions.iter().find(|p| p.owner == "a").expect("one");
    // b's disk is slow: b is removed from the in-sync set, and a request to join is refused.
    let mut out = p.clone();
    while out.in_sync.len() > 1 {
        assert!(a.renew_lease(&now).await && b.report_disk(&now, 1).await.granted);
        tokio::time::sleep(Duration::from_millis(50)).await;
        out = assignments(&w.watcher).await.partitions.iter().find(|q| q.id == p.id).cloned().expect("it");
    }
    let ack = a.join(&out, &b).await;
    assert!(ack.refused && !ack.ok);
    // The disk is healthy again; a request sent before the refusal arrives late.
    assert!(b.renew_lease(&now).await);
    let late = a.join(&out, &b).await;
    assert!(!late.ok && !late.refused, "neither granted nor refused: it refers to an older version of the partition");
    let newest = late.partition.expect("the newest version");
    assert!(newest.changed > out.changed);
    assert!(a.join(&newest, &b).await.ok);
    w.end().await;
}
