//! A delivery node on loopback, between a stand-in owner and a processor in trouble:
//! the count of runs is the processor's.

use config::Settings;
use rpc::messages::*;
use rpc::{Body, RpcClient};
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const WAIT: Duration = Duration::from_secs(3);

#[derive(Default)]
struct Seen {
    connections: usize,
    /// By id, or by the body of a call-back.
    runs: HashMap<String, usize>,
    reports: Vec<Report>,
}

type Shared = Arc<Mutex<Seen>>;

async fn bound() -> (TcpListener, String) {
    let l = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = l.local_addr().expect("an address").to_string();
    (l, addr)
}

/// A processor, and a receiver of call-backs, that sends each answer a second time when
/// the next request on the connection is read. Ids say what else it does.
async fn processor(seen: Shared) -> String {
    let (l, addr) = bound().await;
    tokio::spawn(async move {
        while let Ok((mut s, _)) = l.accept().await {
            seen.lock().unwrap().connections += 1;
            let seen = seen.clone();
            tokio::spawn(async move {
                let (mut buf, mut late) = (Vec::new(), Vec::new());
                while let Ok(n) = s.read_buf(&mut buf).await {
                    let text = String::from_utf8_lossy(&buf).into_owned();
                    if n == 0 {
                        return;
                    }
                    let whole = |t: &(&str, &str)| {
                        let length = t.0.lines().find_map(|l| l.strip_prefix("Content-Length: "));
                        t.1.len() >= length.map_or(0, |l| l.parse().expect("a length"))
                    };
                    let Some((head, body)) = text.split_once("\r\n\r\n").filter(whole) else { continue };
                    let id = head.lines().find_map(|l| l.strip_prefix("X-Attempt-Id: "));
                    *seen.lock().unwrap().runs.entry(id.unwrap_or(body).to_owned()).or_default() += 1;
                    let status = if body.contains("refused") { "500 No" } else { "200 OK" };
                    let name = id.map_or(String::new(), |i| format!("X-Attempt-Id: {i}\r\nX-Seal: s-{i}\r\n"));
                    let own = format!("HTTP/1.1 {status}\r\n{name}Content-Length: 2\r\n\r\nok").into_bytes();
                    let unnamed = b"HTTP/1.1 200 OK\r\nX-Seal: wrong\r\nContent-Length: 2\r\n\r\nok".to_vec();
                    let mut out = std::mem::replace(&mut late, own.clone());
                    if id.is_some_and(|i| i.contains("unnamed")) {
                        out.extend(unnamed);
                    }
                    if id.is_some_and(|i| i.contains("slow")) {
                        tokio::time::sleep(Duration::from_millis(200)).await;
                    }
                    out.extend(own);
                    if s.write_all(&out).await.is_err() {
                        return;
                    }
                    buf.clear();
                }
            });
        }
    });
    addr
}

struct World {
    seen: Shared,
    processor: String,
    front: Arc<RpcClient>,
    _stop: tokio::sync::watch::Sender<bool>,
}

impl World {
    /// A node whose assignments says that partition 0 is at term 3.
    async fn new() -> World {
        let seen = Shared::default();
        let processor = processor(seen.clone()).await;
        let from = 52_000 + (std::process::id() % 300) as u16 * 20;
        let free = |b: &u16| (*b..*b + 7).all(|p| std::net::TcpListener::bind(("127.0.0.1", p)).is_ok());
        let base = (from..60_000).step_by(20).find(free).expect("free ports") as u32;
        let mut c = Settings {
            node: "front-1".into(),
            ip: "127.0.0.1".into(),
            zone: "z".into(),
            port_range: vec![base, base + 3],
            ..Settings::default()
        };
        (c.listen.front, c.listen.ready) = (format!("127.0.0.1:{}", base + 5), format!("127.0.0.1:{}", base + 6));
        (c.constraints.quiet_ms, c.constraints.status_s, c.constraints.notify_s) = (20_000.0, 60.0, 5.0);
        // The owner takes every report.
        let (l, owner) = bound().await;
        let all = seen.clone();
        tokio::spawn(rpc::serve(l, WAIT, move |body, responder| {
            if let Body::Report(r) = body {
                all.lock().unwrap().reports.push(r);
                responder.send(Body::ReportAck(ReportAck { kept: true }));
            }
        }));
        // The agent beside it tells the news once.
        let l = TcpListener::bind(agent::loopback(&c)).await.expect("its port");
        let node = Node { name: "s1".into(), role: "store".into(), inner: owner, ..Node::default() };
        let partition = Partition { term: 3, owner: "s1".into(), ..Partition::default() };
        let news = ViewUpdate {
            assignments: Some(Assignments { version: 1, partitions: vec![partition], ..Assignments::default() }),
            membership: Some(Membership { version: 1, nodes: vec![node], ..Membership::default() }),
            ..ViewUpdate::default()
        };
        tokio::spawn(rpc::serve(l, WAIT, move |body, responder| match body {
            Body::WatchRequest(w) if w.have.assignments == 0 => responder.send(Body::ViewUpdate(news.clone())),
            _ => std::mem::forget(responder),
        }));
        let (stop, stopped) = tokio::sync::watch::channel(false);
        let front = RpcClient::new(&c.inner_addr(config::Role::Front), WAIT);
        tokio::spawn(front::run(c, stopped));
        let w = World { seen, processor, front, _stop: stop };
        // Up, with its assignments known.
        for _ in 0..200 {
            if w.run(&Run { revoked: true, ..w.of(3, 1, "none") }).await.is_some() {
                tokio::time::sleep(Duration::from_millis(100)).await;
                return w;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        panic!("it does not begin");
    }

    fn of(&self, term: u64, attempt: u64, id: &str) -> Run {
        let item = Item { id: id.into(), method: "POST".into(), path: "/".into(), host: "h".into(), ..Item::default() };
        let address = self.processor.clone();
        Run { term, position: attempt, attempt, address, timeout_ms: 5000, conn_limit: 4, item, ..Run::default() }
    }

    async fn run(&self, run: &Run) -> Option<bool> {
        match self.front.call(Body::Run(run.clone()), WAIT).await {
            Ok(Body::RunAck(a)) => Some(a.taken),
            _ => None,
        }
    }

    async fn reported(&self, n: usize) -> Vec<(u64, i32, String)> {
        for _ in 0..300 {
            let all = self.seen.lock().unwrap().reports.clone();
            if all.len() >= n {
                return all.into_iter().map(|r| (r.attempt, r.outcome, r.result_tag)).collect();
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        panic!("{n} reports do not come");
    }

    fn ran(&self, id: &str) -> usize {
        self.seen.lock().unwrap().runs.get(id).copied().unwrap_or(0)
    }
}

#[tokio::test(flavor = "current_thread")]
async fn between_an_owner_and_a_processor_in_trouble_each_run_has_its_own_answer_or_none() {
    let w = World::new().await;
    // One after the other over one kept connection: the last one's answer comes first.
    for (n, id) in ["a", "b-unnamed", "c", "d"].into_iter().enumerate() {
        assert_eq!(w.run(&w.of(3, 10 + n as u64, id)).await, Some(true));
        let got = w.reported(n + 1).await.pop().expect("one");
        assert_eq!(got, (10 + n as u64, Outcome::Done as i32, format!("s-{id}")));
        assert_eq!(w.ran(id), 1);
    }
    // Of a former owner, in a node that heard of no owner but by the assignments.
    assert_eq!(w.run(&w.of(2, 30, "old")).await, Some(false));
    // Given up before it came; asked for twice; another attempt beside it.
    assert_eq!(w.run(&Run { revoked: true, ..w.of(3, 31, "late") }).await, Some(false));
    assert_eq!(w.run(&w.of(3, 31, "late")).await, Some(false));
    let slow = w.of(3, 32, "slow");
    assert_eq!((w.run(&slow).await, w.run(&slow).await), (Some(true), Some(true)));
    assert_eq!(w.run(&Run { attempt: 33, ..slow.clone() }).await, Some(false));
    assert_eq!(w.reported(5).await.len(), 5);
    assert_eq!((w.ran("old"), w.ran("late"), w.ran("slow")), (0, 0, 1));
    // Call-backs: an earlier one's acceptance says nothing of the next.
    let before = w.seen.lock().unwrap().connections;
    for (id, status) in [("one", 200), ("refused", 500), ("three", 200)] {
        let n = Notify { url: format!("http://{}/done", w.processor), id: id.into(), ..Notify::default() };
        let got = w.front.call(Body::Notify(n), WAIT).await;
        assert_eq!(got, Ok(Body::NotifyAck(NotifyAck { status })), "{id}");
    }
    assert_eq!(w.seen.lock().unwrap().connections, before + 3);
}
