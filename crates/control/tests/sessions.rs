//! A control node on loopback with stand-in store nodes: leases, and owners that end.

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

/// A store node that only keeps its lease and claims what it owns.
struct StandIn {
    node: Node,
    end: Arc<RpcClient>,
    listening: JoinHandle<()>,
}

impl StandIn {
    async fn new(name: &str, control: &str) -> StandIn {
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
        StandIn { node, end: RpcClient::new(control, WAIT), listening }
    }

    async fn beat(&self, assignments: &Assignments) -> bool {
        self.tell(assignments, 0).await.granted
    }

    /// Asks for the lease and says how the disk does.
    async fn tell(&self, assignments: &Assignments, lag: u32) -> LeaseAck {
        let mine = assignments.partitions.iter().filter(|p| p.owner == self.node.name);
        let claims = mine.map(|p| Holding { partition: p.id, term: p.term }).collect();
        let l = Lease { node: self.node.clone(), claims, lag, clock_ms: telemetry::wall_ms(), ..Lease::default() };
        match self.end.call(Body::Lease(l), WAIT).await {
            Ok(Body::LeaseAck(a)) => a,
            _ => LeaseAck::default(),
        }
    }

    async fn join(&self, partition: &Partition, node: &StandIn) -> OrderAck {
        let (name, incarnation, kind) = (node.node.name.clone(), node.node.incarnation, OrderKind::Join as i32);
        let (id, term, seen) = (partition.id, partition.term, partition.changed);
        let o = Order { partition: id, term, node: name, kind, incarnation, seen, ..Order::default() };
        match self.end.call(Body::Order(o), WAIT).await {
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

struct World {
    dir: std::path::PathBuf,
    lease: Duration,
    stop: tokio::sync::watch::Sender<bool>,
    running: JoinHandle<Result<(), String>>,
    watcher: Arc<RpcClient>,
}

impl World {
    async fn end(self) {
        let _ = self.stop.send(true);
        let _ = self.running.await;
        let _ = std::fs::remove_dir_all(self.dir);
    }
}

/// One control node, two store nodes, and the partitions laid out.
async fn laid_out(from: u16) -> (World, StandIn, StandIn, Assignments) {
    let (world, mut stores, now) = laid_out_on(from, &["a", "b"]).await;
    let b = stores.pop().expect("two");
    (world, stores.pop().expect("two"), b, now)
}

/// One control node, store nodes of these names, and the partitions laid out.
async fn laid_out_on(from: u16, names: &[&str]) -> (World, Vec<StandIn>, Assignments) {
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
        stores.push(StandIn::new(name, &control).await);
    }
    let begun = Instant::now();
    let mut now = Assignments::default();
    while now.partitions.is_empty() {
        assert!(begun.elapsed() < Duration::from_secs(60), "no layout");
        for store in &stores {
            store.beat(&now).await;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
        now = assignments(&watcher).await;
    }
    (World { dir, lease, stop, running, watcher }, stores, now)
}

/// Guards against LOST: while a disk did not answer, or was slow, its partitions had one copy though
/// a third machine could have held another.
#[tokio::test(flavor = "current_thread")]
async fn a_disk_that_does_not_keep_up_costs_no_copy_where_another_machine_can_hold_it() {
    for lag in [1, 2] {
        let (w, stores, first) = laid_out_on(46_000 + 200 * lag as u16, &["a", "b", "c"]).await;
        let (a, b, c) = (&stores[0], &stores[1], &stores[2]);
        let all_whole = |now: &Assignments| now.partitions.iter().all(|p| p.in_sync.len() >= 2);
        let has_copy = |p: &Partition| p.in_sync.iter().any(|node| node == "c");
        assert!(all_whole(&first) && first.partitions.iter().any(has_copy));
        let mut now = first;
        let begun = Instant::now();
        let follows = |p: &&Partition| p.owner != "c" && p.replicas.iter().any(|node| node == "c");
        while now.partitions.iter().any(|p| follows(&p)) {
            assert!(begun.elapsed() < w.lease, "no other machine takes its place");
            assert!(a.beat(&now).await && b.beat(&now).await);
            assert_eq!(c.tell(&now, lag).await.granted, lag < 2);
            assert!(all_whole(&now), "{:?}", now.partitions);
            tokio::time::sleep(Duration::from_millis(20)).await;
            now = assignments(&w.watcher).await;
        }
        assert!(
            all_whole(&now) && now.partitions.iter().filter(|p| p.owner != "c").any(has_copy),
            "until that holds it"
        );
        w.end().await;
    }
}

#[tokio::test(flavor = "current_thread")]
async fn a_slow_disk_leaves_the_in_sync_sets_and_a_silent_one_is_succeeded() {
    let (w, a, b, first) = laid_out(45_000).await;
    let owned = |c: &Assignments, n: &str| c.partitions.iter().filter(|p| p.owner == n).cloned().collect::<Vec<_>>();
    let mut now = first;
    // Slow at b: it holds up nothing of a's, and keeps what it owns until it hands over.
    while owned(&now, "a").iter().any(|p| p.in_sync.len() > 1) {
        assert!(a.beat(&now).await && b.tell(&now, 1).await.granted);
        tokio::time::sleep(Duration::from_millis(50)).await;
        now = assignments(&w.watcher).await;
    }
    assert_eq!(a.tell(&now, 0).await.lagging, ["b"]);
    assert!(owned(&now, "b").iter().all(|p| p.in_sync.len() == 2 && p.term == 1));
    let p = owned(&now, "a")[0].clone();
    let ack = a.join(&p, &b).await;
    assert!(ack.refused, "not while it is slow");
    // The refusal is a word of its own: it is asked again by that one.
    let p = ack.partition.expect("as it stands");
    b.beat(&now).await;
    assert!(a.join(&p, &b).await.ok);
    // b's disk does not answer: it has stopped, and is not waited for.
    let begun = Instant::now();
    assert!(!b.tell(&now, 2).await.granted);
    while !owned(&now, "b").is_empty() {
        assert!(begun.elapsed() < w.lease, "the lease had to be waited for");
        a.beat(&now).await;
        tokio::time::sleep(Duration::from_millis(20)).await;
        now = assignments(&w.watcher).await;
    }
    assert!(now.partitions.iter().filter(|p| p.seized).all(|p| p.owner == "a" && p.term == 2));
    // It claims what it had: it is told before its lease counts again.
    let claims = vec![Holding { partition: now.partitions.iter().find(|p| p.seized).expect("one").id, term: 1 }];
    let l = Lease { node: b.node.clone(), claims, ..Lease::default() };
    let Ok(Body::LeaseAck(ack)) = b.end.call(Body::Lease(l), WAIT).await else { panic!("answered") };
    assert!(ack.granted && ack.outdated.len() == 1 && ack.outdated[0].owner == "a");
    w.end().await;
}

#[tokio::test(flavor = "current_thread")]
async fn a_process_that_began_by_a_clock_behind_is_told_and_gets_its_lease() {
    let (w, a, mut b, now) = laid_out(40_000).await;
    b.node.incarnation = 50;
    assert!(a.beat(&now).await && b.beat(&now).await);
    // It comes back while its clock is behind: its incarnation seems an older one.
    b.node.incarnation = 20;
    let ack = b.tell(&now, 0).await;
    assert!(!ack.granted && ack.newer_incarnation == 50, "not shut out, but told what is known");
    b.node.incarnation = rpc::after(ack.newer_incarnation);
    assert!(b.beat(&now).await);
    // The copy that is still on its way does not win any more, nor does nonsense.
    b.node.incarnation = 20;
    assert!(!b.beat(&now).await);
    b.node.incarnation = u64::MAX;
    let ack = b.tell(&now, 0).await;
    assert!(!ack.granted && ack.newer_incarnation == 0);
    b.node.incarnation = 51;
    let ack = b.tell(&now, 0).await;
    assert!(ack.granted && ack.time_ms > 0, "with the fleet's time");
    // The same holds for sessions.
    let behind = Node { incarnation: 7, leaving: true, ..b.node.clone() };
    let watch = WatchRequest { node: Some(behind), wait_ms: 1000, ..WatchRequest::default() };
    let Ok(Body::ViewUpdate(n)) = w.watcher.call(Body::WatchRequest(watch), WAIT).await else { panic!("answered") };
    assert_eq!(n.newer_incarnation, 51);
    assert!(!n.membership.expect("whole").nodes.iter().any(|n| n.name == "b" && n.leaving));
    w.end().await;
}

#[tokio::test(flavor = "current_thread")]
async fn an_owner_whose_process_ended_is_succeeded_before_its_lease_is_over() {
    let (w, a, b, now) = laid_out(30_000).await;
    let (watcher, lease) = (w.watcher.clone(), w.lease);
    let control = watcher.addr().to_owned();
    let of = |c: &Assignments, n: &str| c.partitions.iter().filter(|p| p.owner == n).count();
    assert_eq!((of(&now, "a"), of(&now, "b")), (2, 2));
    assert!(a.beat(&now).await && b.beat(&now).await);

    // b's connection breaks, but its process stands: nothing happens to it.
    drop(b.end);
    tokio::time::sleep(lease / 8).await;
    assert_eq!(of(&assignments(&watcher).await, "b"), 2);
    let b = StandIn { end: RpcClient::new(&control, WAIT), ..b };
    assert!(b.beat(&now).await);

    // a's process ends: its address refuses.
    a.listening.abort();
    let _ = a.listening.await;
    let ended = Instant::now();
    drop(a.end);
    loop {
        let c = assignments(&watcher).await;
        if of(&c, "b") == 4 {
            assert!(c.partitions.iter().filter(|p| p.seized).all(|p| p.term == 2 && p.in_sync == ["b"]));
            assert_eq!(c.partitions.iter().filter(|p| p.seized).count(), 2);
            break;
        }
        assert!(ended.elapsed() < lease, "the lease had to be waited for");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    w.end().await;
}

#[tokio::test(flavor = "current_thread")]
async fn an_emptied_disk_holds_nothing_however_often_its_process_began_since() {
    let (w, a, mut b, now) = laid_out(34_000).await;
    assert!(a.beat(&now).await && b.beat(&now).await);
    // b lost its disk, began in incarnation 5, ended before the leader heard of it, and began
    // in incarnation 6 with what little was written in between.
    (b.node.incarnation, b.node.born) = (6, 5);
    assert!(b.beat(&now).await);
    tokio::time::sleep(w.lease / 4).await;
    let c = assignments(&w.watcher).await;
    assert!(c.partitions.iter().all(|p| p.owner == "a" && p.in_sync == ["a"]), "{:?}", c.partitions);
    // Filled again, it joins; after that a restart costs it nothing.
    let p = &c.partitions[0];
    assert!(a.join(p, &b).await.ok);
    b.node.incarnation = 7;
    assert!(a.beat(&c).await && b.beat(&c).await);
    tokio::time::sleep(w.lease / 4).await;
    let c = assignments(&w.watcher).await;
    assert!(c.partitions.iter().any(|q| q.id == p.id && q.in_sync.contains(&"b".to_owned())));
    w.end().await;
}

#[tokio::test(flavor = "current_thread")]
async fn no_earlier_ask_is_granted_behind_a_refusal() {
    let (w, a, b, now) = laid_out(36_000).await;
    assert!(a.beat(&now).await && b.beat(&now).await);
    let p = now.partitions.iter().find(|p| p.owner == "a").expect("one");
    // b's disk is slow: it is taken out, and an ask for it is refused.
    let mut out = p.clone();
    while out.in_sync.len() > 1 {
        assert!(a.beat(&now).await && b.tell(&now, 1).await.granted);
        tokio::time::sleep(Duration::from_millis(50)).await;
        out = assignments(&w.watcher).await.partitions.iter().find(|q| q.id == p.id).cloned().expect("it");
    }
    let ack = a.join(&out, &b).await;
    assert!(ack.refused && !ack.ok);
    // It is well again; an ask that was under way before the refusal comes late.
    assert!(b.beat(&now).await);
    let late = a.join(&out, &b).await;
    assert!(!late.ok && !late.refused, "neither granted nor refused: by an older word");
    let word = late.partition.expect("the newer word");
    assert!(word.changed > out.changed);
    assert!(a.join(&word, &b).await.ok);
    w.end().await;
}
