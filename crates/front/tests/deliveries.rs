//! A delivery node on loopback, between a mock owner and a faulty mock processor. Runs are counted by the
//! processor.

use config::Settings;
use rpc::messages::*;
use rpc::{Body, RpcClient};
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const WAIT: Duration = Duration::from_secs(3);

/// What the processor and the owner have received.
#[derive(Default)]
struct Received {
    connections: usize,
    /// Number of runs by id, or by body for a callback.
    runs: HashMap<String, usize>,
    reports: Vec<Report>,
}

type SharedReceived = Arc<Mutex<Received>>;

async fn bind() -> (TcpListener, String) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address").to_string();
    (listener, addr)
}

/// Starts a processor, which also receives callbacks. It sends each answer a second time when it reads
/// the next request of the connection. Ids that contain `unnamed` get an additional answer without an
/// id, and those that contain `slow` a delayed one; callbacks whose body contains `refused` get a 500.
async fn processor(received: SharedReceived) -> String {
    let (listener, addr) = bind().await;
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            received.lock().unwrap().connections += 1;
            let received = received.clone();
            tokio::spawn(async move {
                let (mut buf, mut repeated) = (Vec::new(), Vec::new());
                while let Ok(n) = stream.read_buf(&mut buf).await {
                    let text = String::from_utf8_lossy(&buf).into_owned();
                    if n == 0 {
                        return;
                    }
                    let is_complete = |(head, body): &(&str, &str)| {
                        let length = head.lines().find_map(|line| line.strip_prefix("Content-Length: "));
                        body.len() >= length.map_or(0, |length| length.parse().expect("a length"))
                    };
                    let Some((head, body)) = text.split_once("\r\n\r\n").filter(is_complete) else { continue };
                    let id = head.lines().find_map(|line| line.strip_prefix("X-Attempt-Id: "));
                    *received.lock().unwrap().runs.entry(id.unwrap_or(body).to_owned()).or_default() += 1;
                    let status = if body.contains("refused") { "500 No" } else { "200 OK" };
                    let headers = id.map_or(String::new(), |id| format!("X-Attempt-Id: {id}\r\nX-Seal: s-{id}\r\n"));
                    let answer = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: 2\r\n\r\nok").into_bytes();
                    let unnamed = b"HTTP/1.1 200 OK\r\nX-Seal: wrong\r\nContent-Length: 2\r\n\r\nok".to_vec();
                    let mut out = std::mem::replace(&mut repeated, answer.clone());
                    if id.is_some_and(|id| id.contains("unnamed")) {
                        out.extend(unnamed);
                    }
                    if id.is_some_and(|id| id.contains("slow")) {
                        tokio::time::sleep(Duration::from_millis(200)).await;
                    }
                    out.extend(answer);
                    if stream.write_all(&out).await.is_err() {
                        return;
                    }
                    buf.clear();
                }
            });
        }
    });
    addr
}

/// A delivery node with its mock owner and processor.
struct Harness {
    received: SharedReceived,
    processor: String,
    front: Arc<RpcClient>,
    _stop: tokio::sync::watch::Sender<bool>,
}

impl Harness {
    /// Starts a node whose assignments have partition 0 at term 3.
    async fn new() -> Harness {
        let received = SharedReceived::default();
        let processor = processor(received.clone()).await;
        let from = 52_000 + (std::process::id() % 300) as u16 * 20;
        let free = |base: &u16| (*base..*base + 7).all(|port| std::net::TcpListener::bind(("127.0.0.1", port)).is_ok());
        let base = (from..60_000).step_by(20).find(free).expect("free ports") as u32;
        let mut settings = Settings {
            node: "front-1".into(),
            ip: "127.0.0.1".into(),
            zone: "z".into(),
            port_range: vec![base, base + 3],
            ..Settings::default()
        };
        (settings.listen.front, settings.listen.ready) =
            (format!("127.0.0.1:{}", base + 5), format!("127.0.0.1:{}", base + 6));
        let constraints = &mut settings.constraints;
        (constraints.quiet_ms, constraints.status_s, constraints.notify_s) = (20_000.0, 60.0, 5.0);
        // The owner acknowledges every report.
        let (listener, owner) = bind().await;
        let reported = received.clone();
        tokio::spawn(rpc::serve(listener, WAIT, move |body, responder| {
            if let Body::Report(report) = body {
                reported.lock().unwrap().reports.push(report);
                responder.send(Body::ReportAck(ReportAck { kept: true }));
            }
        }));
        // The local agent sends the view once.
        let listener = TcpListener::bind(agent::loopback(&settings)).await.expect("the agent's port");
        let node = Node { name: "s1".into(), role: "store".into(), inner: owner, ..Node::default() };
        let partition = Partition { term: 3, owner: "s1".into(), ..Partition::default() };
        let update = ViewUpdate {
            assignments: Some(Assignments { version: 1, partitions: vec![partition], ..Assignments::default() }),
            membership: Some(Membership { version: 1, nodes: vec![node], ..Membership::default() }),
            ..ViewUpdate::default()
        };
        tokio::spawn(rpc::serve(listener, WAIT, move |body, responder| match body {
            Body::WatchRequest(watch) if watch.have.assignments == 0 => {
                responder.send(Body::ViewUpdate(update.clone()));
            }
            _ => std::mem::forget(responder),
        }));
        let (stop, stopped) = tokio::sync::watch::channel(false);
        let front = RpcClient::new(&settings.inner_addr(config::Role::Front), WAIT);
        tokio::spawn(front::run(settings, stopped));
        let harness = Harness { received, processor, front, _stop: stop };
        // Waits until the node answers, then until it has the assignments.
        for _ in 0..200 {
            if harness.run(&Run { revoked: true, ..harness.request(3, 1, "none") }).await.is_some() {
                tokio::time::sleep(Duration::from_millis(100)).await;
                return harness;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        panic!("the node did not start");
    }

    /// A request to run an attempt of the message `id`.
    fn request(&self, term: u64, attempt: u64, id: &str) -> Run {
        let item = Item { id: id.into(), method: "POST".into(), path: "/".into(), host: "h".into(), ..Item::default() };
        let address = self.processor.clone();
        Run { term, position: attempt, attempt, address, timeout_ms: 5000, conn_limit: 4, item, ..Run::default() }
    }

    /// Sends a request to the node; whether it accepted the run, or `None` without an answer.
    async fn run(&self, run: &Run) -> Option<bool> {
        match self.front.call(Body::Run(run.clone()), WAIT).await {
            Ok(Body::RunAck(ack)) => Some(ack.taken),
            _ => None,
        }
    }

    /// Waits for `n` reports; attempt, outcome and result tag of each.
    async fn reports(&self, n: usize) -> Vec<(u64, i32, String)> {
        for _ in 0..300 {
            let reports = self.received.lock().unwrap().reports.clone();
            if reports.len() >= n {
                return reports.into_iter().map(|r| (r.attempt, r.outcome, r.result_tag)).collect();
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        panic!("fewer than {n} reports arrived");
    }

    /// How often the processor has run a message.
    fn run_count(&self, id: &str) -> usize {
        self.received.lock().unwrap().runs.get(id).copied().unwrap_or(0)
    }
}

#[tokio::test(flavor = "current_thread")]
async fn each_run_gets_its_own_answer_or_none_from_a_faulty_processor() {
    let harness = Harness::new().await;
    // Sequential runs over one pooled connection: the answer to the previous run arrives first.
    for (n, id) in ["a", "b-unnamed", "c", "d"].into_iter().enumerate() {
        assert_eq!(harness.run(&harness.request(3, 10 + n as u64, id)).await, Some(true));
        let report = harness.reports(n + 1).await.pop().expect("a report");
        assert_eq!(report, (10 + n as u64, Outcome::Done as i32, format!("s-{id}")));
        assert_eq!(harness.run_count(id), 1);
    }
    // A request of a former owner: the node knows a newer term.
    assert_eq!(harness.run(&harness.request(2, 30, "old")).await, Some(false));
    // Revoked before it arrives; requested twice; another attempt of the same message.
    assert_eq!(harness.run(&Run { revoked: true, ..harness.request(3, 31, "late") }).await, Some(false));
    assert_eq!(harness.run(&harness.request(3, 31, "late")).await, Some(false));
    let slow = harness.request(3, 32, "slow");
    assert_eq!((harness.run(&slow).await, harness.run(&slow).await), (Some(true), Some(true)));
    assert_eq!(harness.run(&Run { attempt: 33, ..slow.clone() }).await, Some(false));
    assert_eq!(harness.reports(5).await.len(), 5);
    assert_eq!((harness.run_count("old"), harness.run_count("late"), harness.run_count("slow")), (0, 0, 1));
    // Callbacks: the answer to one is not taken for the answer to the next.
    let before = harness.received.lock().unwrap().connections;
    for (id, status) in [("one", 200), ("refused", 500), ("three", 200)] {
        let notification =
            Notify { url: format!("http://{}/done", harness.processor), id: id.into(), ..Notify::default() };
        let answer = harness.front.call(Body::Notify(notification), WAIT).await;
        assert_eq!(answer, Ok(Body::NotifyAck(NotifyAck { status })), "{id}");
    }
    assert_eq!(harness.received.lock().unwrap().connections, before + 3);
}
