//! A foreman on loopback with stand-in lathes: leases, and owners that end.

use dovetail::msg::*;
use dovetail::{Body, Tenon};
use gauge::Caliper;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

const WAIT: Duration = Duration::from_secs(5);

fn free_base() -> u16 {
    let from = 30_000 + (std::process::id() % 500) as u16 * 20;
    (from..60_000)
        .step_by(20)
        .find(|b| (*b..*b + 5).all(|p| std::net::TcpListener::bind(("127.0.0.1", p)).is_ok()))
        .expect("free ports")
}

/// A lathe that only keeps its lease and claims what it owns.
struct StandIn {
    node: Node,
    end: Arc<Tenon>,
    listening: JoinHandle<()>,
}

impl StandIn {
    async fn new(name: &str, foreman: &str) -> StandIn {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let inner = listener.local_addr().expect("an address").to_string();
        let listening = tokio::spawn(dovetail::serve(listener, WAIT, |_, _| ()));
        let node =
            Node { name: name.into(), role: "lathe".into(), zone: name.into(), inner, life: 1, ..Node::default() };
        StandIn { node, end: Tenon::new(foreman, WAIT), listening }
    }

    async fn beat(&self, charter: &Charter) -> bool {
        let mine = charter.partitions.iter().filter(|p| p.owner == self.node.name);
        let claims = mine.map(|p| Holding { partition: p.id, term: p.term }).collect();
        let l = Lease { node: self.node.clone(), samples: vec![], claims, lag: 0 };
        matches!(self.end.call(Body::Lease(l), WAIT).await, Ok(Body::LeaseAck(a)) if a.granted)
    }
}

async fn charter(foreman: &Arc<Tenon>) -> Charter {
    let w = Watch { node: None, have: Have::default(), wait_ms: 1, sessions: vec![] };
    match foreman.call(Body::Watch(w), WAIT).await {
        Ok(Body::News(n)) => n.charter.unwrap_or_default(),
        _ => Charter::default(),
    }
}

#[tokio::test(flavor = "current_thread")]
async fn an_owner_whose_process_ended_is_succeeded_before_its_lease_is_over() {
    let base = free_base();
    let dir = std::env::temp_dir().join(format!("willowslip-sessions-{}", std::process::id()));
    let mut c = Caliper {
        node: "core-1".into(),
        ip: "127.0.0.1".into(),
        zone: "z".into(),
        port_range: vec![base as u32, base as u32 + 3],
        seeds: vec![format!("127.0.0.1:{}", base + 4)],
        initial_start: true,
        data_dir: dir.display().to_string(),
        ..Caliper::default()
    };
    (c.limits.memory_mb, c.limits.disk_mb, c.tolerance.machines) = (128, 128, 1);
    // A lease of four seconds.
    (c.constraints.quiet_ms, c.constraints.ack_ms, c.constraints.settle_s) = (32_000.0, 5000.0, 60.0);
    let lease = Duration::from_millis(c.lease_ms());
    let foreman = format!("127.0.0.1:{base}");
    let (stop, stopped) = tokio::sync::watch::channel(false);
    let running = tokio::spawn(foreman::run(c.clone(), stopped, tokio::sync::watch::channel(c).1));
    let watcher = Tenon::new(&foreman, WAIT);
    let (a, b) = (StandIn::new("a", &foreman).await, StandIn::new("b", &foreman).await);
    let begun = Instant::now();
    let mut now = Charter::default();
    while now.partitions.is_empty() {
        assert!(begun.elapsed() < Duration::from_secs(60), "no layout");
        a.beat(&now).await;
        b.beat(&now).await;
        tokio::time::sleep(Duration::from_millis(100)).await;
        now = charter(&watcher).await;
    }
    let of = |c: &Charter, n: &str| c.partitions.iter().filter(|p| p.owner == n).count();
    assert_eq!((of(&now, "a"), of(&now, "b")), (2, 2));
    assert!(a.beat(&now).await && b.beat(&now).await);

    // b's connection breaks, but its process stands: nothing happens to it.
    drop(b.end);
    tokio::time::sleep(lease / 8).await;
    assert_eq!(of(&charter(&watcher).await, "b"), 2);
    let b = StandIn { end: Tenon::new(&foreman, WAIT), ..b };
    assert!(b.beat(&now).await);

    // a's process ends: its address refuses.
    a.listening.abort();
    let _ = a.listening.await;
    let ended = Instant::now();
    drop(a.end);
    loop {
        let c = charter(&watcher).await;
        if of(&c, "b") == 4 {
            assert!(c.partitions.iter().filter(|p| p.seized).all(|p| p.term == 2 && p.insync == ["b"]));
            assert_eq!(c.partitions.iter().filter(|p| p.seized).count(), 2);
            break;
        }
        assert!(ended.elapsed() < lease, "the lease had to be waited for");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let _ = stop.send(true);
    let _ = running.await;
    let _ = std::fs::remove_dir_all(dir);
}
