//! The replies of a gateway to its clients, and the number of processors on which a request runs:
//! a gateway on loopback with fake processors.

use config::Settings;
use gateway::GatewayService;
use http1::{Reply, Request};
use rpc::messages::*;
use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const QUIET_MS: f64 = 4000.0;

/// What a fake processor does with a request.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Behavior {
    /// Runs the request and answers with this status and a seal.
    Answer { status: u16, after_ms: u64 },
    /// Runs the request and closes the connection without an answer.
    CloseAfterRun,
    /// Reports that it did not run the request.
    Refuse,
    /// Runs the request and closes the connection before the end of the answer.
    TruncateAnswer,
    /// Runs the request and never answers.
    NeverAnswer,
}

#[derive(Default)]
struct Recorded {
    /// By request id, the processors that ran the request, in order.
    runs: HashMap<String, Vec<String>>,
    /// Requests whose connection the gateway closed before the answer.
    closed_early: Vec<String>,
    /// By request id, the longest deadline that was forwarded, in milliseconds.
    deadlines: HashMap<String, u64>,
}

type Script = Arc<dyn Fn(&str, &str) -> Behavior + Send + Sync>;

fn header(head: &str, name: &str) -> String {
    let lines = head.lines().filter_map(|line| line.split_once(':'));
    let mut found = lines.filter(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, value)| value.trim().to_owned());
    found.next().unwrap_or_default()
}

async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut all = Vec::new();
    while !all.ends_with(b"\r\n\r\n") {
        all.push(stream.read_u8().await.ok()?);
    }
    let head = String::from_utf8_lossy(&all).into_owned();
    let mut body = vec![0; header(&head, "content-length").parse().unwrap_or(0)];
    stream.read_exact(&mut body).await.ok()?;
    Some(head)
}

async fn serve(mut stream: TcpStream, id: String, recorded: Arc<Mutex<Recorded>>, script: Script) {
    while let Some(head) = read_request(&mut stream).await {
        let (request, target) = (header(&head, "x-attempt-id"), header(&head, "x-target-instance"));
        let behavior = script(&id, head.split(' ').nth(1).unwrap_or(""));
        if target != id {
            let refusal = format!("HTTP/1.1 421 No\r\nX-Attempt-Id: {request}\r\nContent-Length: 0\r\n\r\n");
            let _ = stream.write_all(refusal.as_bytes()).await;
            continue;
        }
        if behavior != Behavior::Refuse {
            let mut recorded = recorded.lock().unwrap();
            recorded.runs.entry(request.clone()).or_default().push(id.clone());
            let deadline: u64 = header(&head, "x-deadline-ms").parse().expect("a deadline");
            let longest = recorded.deadlines.entry(request.clone()).or_default();
            *longest = deadline.max(*longest);
        }
        let answer = |status: u16, own: &str| {
            format!("HTTP/1.1 {status} Said\r\nX-Attempt-Id: {request}\r\n{own}Content-Length: 4\r\n\r\nwell")
        };
        let seal = format!("X-Seal: by-{id}\r\n");
        match behavior {
            Behavior::Answer { status, after_ms } => {
                tokio::time::sleep(Duration::from_millis(after_ms)).await;
                let _ = stream.write_all(answer(status, &seal).as_bytes()).await;
            }
            Behavior::Refuse => {
                let _ = stream.write_all(answer(503, "X-Not-Run: 1\r\n").as_bytes()).await;
            }
            Behavior::CloseAfterRun => return,
            Behavior::TruncateAnswer => {
                let whole = answer(200, &seal);
                let _ = stream.write_all(&whole.as_bytes()[..whole.len() - 2]).await;
                return;
            }
            Behavior::NeverAnswer => {
                let _ = stream.read(&mut [0; 1]).await;
                recorded.lock().unwrap().closed_early.push(request);
                return;
            }
        }
    }
}

struct TestGateway {
    gateway: Arc<GatewayService>,
    recorded: Arc<Mutex<Recorded>>,
    membership: Membership,
    assignments: Assignments,
}

const CONFIGURATION: &str = r#"{"revision": 1, "channels": [
  {"name": "s", "host": "h", "prefix": "/s/", "mode": "safe", "cutoffMs": 1500, "setpointMs": 400, "tries": 2, "plant": "p"},
  {"name": "u", "host": "h", "prefix": "/u/", "mode": "unsafe", "cutoffMs": 1500, "setpointMs": 400, "tries": 2, "plant": "p"},
  {"name": "b", "host": "h", "prefix": "/b/", "mode": "safe", "cutoffMs": 1500, "setpointMs": 400, "tries": 2, "plant": "p", "domains": ["r2"]},
  {"name": "m", "host": "h", "prefix": "/m/", "mode": "safe", "cutoffMs": 1500, "setpointMs": 400, "tries": 2,
   "mix": [{"plant": "p", "gain": 3}, {"plant": "q", "gain": 1}]}],
  "plants": [{"name": "p", "connLimit": 50}, {"name": "q", "connLimit": 50}], "limits": {}}"#;

impl TestGateway {
    /// A gateway in zone z1 of region r1 with these processors, given as id, zone and service.
    async fn new(
        processors: &[(&str, &str, &str)],
        script: impl Fn(&str, &str) -> Behavior + Send + Sync + 'static,
    ) -> TestGateway {
        let recorded: Arc<Mutex<Recorded>> = Arc::default();
        let script: Script = Arc::new(script);
        let mut registered = Vec::new();
        for (id, zone, service) in processors {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let address = listener.local_addr().expect("an address").to_string();
            registered.push(Processor {
                id: id.to_string(),
                service: service.to_string(),
                address,
                zone: zone.to_string(),
                capacity: 8,
                ..Processor::default()
            });
            let (id, recorded, script) = (id.to_string(), recorded.clone(), script.clone());
            tokio::spawn(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    tokio::spawn(serve(stream, id.clone(), recorded.clone(), script.clone()));
                }
            });
        }
        let mut settings =
            Settings { node: "front-1".into(), zone: "z1".into(), region: "r1".into(), ..Settings::default() };
        settings.rollout = "api".into();
        settings.zones = BTreeMap::from([("z1".into(), "r1".into()), ("z2".into(), "r2".into())]);
        settings.constraints.quiet_ms = QUIET_MS;
        settings.constraints.retry_ratio = 1.0;
        settings.constraints.retry_slack = 10_000.0;
        settings.constraints.retry_window_s = 10.0;
        let node = Node { name: "front-1".into(), role: "gateway".into(), zone: "z1".into(), ..Node::default() };
        let membership =
            Membership { version: 1, nodes: vec![node], processors: registered, listed: true, ..Membership::default() };
        let gateway = TestGateway {
            gateway: GatewayService::new(settings),
            recorded,
            membership,
            assignments: Assignments::default(),
        };
        gateway.send_update(Some(CONFIGURATION));
        gateway
    }

    fn send_update(&self, configuration: Option<&str>) {
        let update = ViewUpdate {
            configuration: configuration.map(|text| text.to_owned().into()),
            membership: Some(self.membership.clone()),
            assignments: Some(self.assignments.clone()),
            ..ViewUpdate::default()
        };
        self.gateway.apply_update(&update, Instant::now());
    }

    async fn call(&self, path: &str, id: &str, deadline_ms: u64) -> Reply {
        let header = |name: &str, value: &str| (name.to_owned(), value.to_owned());
        let headers =
            vec![header("Host", "h"), header("X-Attempt-Id", id), header("X-Deadline-Ms", &deadline_ms.to_string())];
        let request = Request { method: "POST".into(), path: path.into(), headers, ..Request::default() };
        self.gateway.clone().answer(request).await
    }

    fn runs(&self, id: &str) -> Vec<String> {
        self.recorded.lock().unwrap().runs.get(id).cloned().unwrap_or_default()
    }
}

const SUCCESS: Behavior = Behavior::Answer { status: 200, after_ms: 5 };

fn is_sealed(reply: &Reply) -> bool {
    reply.forwarded_headers.iter().any(|(name, _)| name.eq_ignore_ascii_case("x-seal"))
}

fn has_retry_after(reply: &Reply) -> bool {
    reply.headers.iter().any(|(name, _)| *name == "Retry-After")
}

const TWO_PROCESSORS: [(&str, &str, &str); 2] = [("p1", "z1", "p"), ("p2", "z1", "p")];

#[tokio::test]
async fn answers_are_forwarded_unchanged_and_error_replies_of_the_gateway_have_no_seal() {
    let gateway = TestGateway::new(&TWO_PROCESSORS, |_, path| match path {
        "/u/teapot" => Behavior::Answer { status: 418, after_ms: 1 },
        "/u/lost" => Behavior::CloseAfterRun,
        _ => SUCCESS,
    })
    .await;
    let reply = gateway.call("/u/well", "a", 1000).await;
    assert_eq!((reply.status, reply.body.as_ref(), is_sealed(&reply)), (200, b"well".as_ref(), true));
    let reply = gateway.call("/u/teapot", "b", 1000).await;
    assert_eq!((reply.status, is_sealed(&reply)), (418, true));
    let reply = gateway.call("/u/lost", "c", 1000).await;
    assert_eq!((reply.status, is_sealed(&reply)), (502, false));
    assert_eq!(gateway.call("/nowhere/", "d", 1000).await.status, 404);
}

#[tokio::test]
async fn an_unsafe_request_is_retried_only_if_it_has_certainly_not_run() {
    for (behavior, status, runs) in [
        (Behavior::CloseAfterRun, 502, 1),
        (Behavior::TruncateAnswer, 502, 1),
        (Behavior::NeverAnswer, 504, 1),
        (Behavior::Refuse, 200, 1),
    ] {
        let first = Arc::new(Mutex::new(true));
        let gateway = TestGateway::new(&TWO_PROCESSORS, move |_, _| {
            if std::mem::take(&mut *first.lock().unwrap()) { behavior } else { SUCCESS }
        })
        .await;
        let reply = gateway.call("/u/x", "a", 500).await;
        assert_eq!((reply.status, gateway.runs("a").len()), (status, runs), "{behavior:?}");
    }
}

#[tokio::test]
async fn a_safe_request_is_retried_on_another_processor_within_the_tries_of_its_route() {
    for behavior in [Behavior::CloseAfterRun, Behavior::TruncateAnswer, Behavior::Answer { status: 500, after_ms: 1 }] {
        let first = Arc::new(Mutex::new(true));
        let gateway = TestGateway::new(&TWO_PROCESSORS, move |_, _| {
            if std::mem::take(&mut *first.lock().unwrap()) { behavior } else { SUCCESS }
        })
        .await;
        let reply = gateway.call("/s/x", "a", 1000).await;
        let runs = gateway.runs("a");
        assert_eq!((reply.status, runs.len()), (200, 2), "{behavior:?}");
        assert_ne!(runs[0], runs[1], "the retry went to the same processor");
    }
    let three = [("p1", "z1", "p"), ("p2", "z1", "p"), ("p3", "z1", "p")];
    let gateway = TestGateway::new(&three, |_, _| Behavior::Answer { status: 500, after_ms: 1 }).await;
    let reply = gateway.call("/s/x", "a", 1000).await;
    assert_eq!((reply.status, is_sealed(&reply), gateway.runs("a").len()), (500, true, 2));
}

#[tokio::test]
async fn not_run_is_replied_only_if_no_processor_has_run_the_request() {
    let gateway = TestGateway::new(&TWO_PROCESSORS, |_, _| Behavior::Refuse).await;
    let reply = gateway.call("/u/x", "a", 1000).await;
    assert_eq!((reply.status, has_retry_after(&reply), gateway.runs("a").len()), (503, true, 0));
    // One processor has run the request, the other refuses it.
    let gateway =
        TestGateway::new(&TWO_PROCESSORS, |id, _| if id == "p1" { Behavior::CloseAfterRun } else { Behavior::Refuse })
            .await;
    for n in 0..4 {
        let (id, path) = (format!("a{n}"), "/s/x");
        let reply = gateway.call(path, &id, 1000).await;
        assert!(reply.status == 502 || gateway.runs(&id).is_empty(), "{} after {:?}", reply.status, gateway.runs(&id));
    }
}

#[tokio::test]
async fn the_forwarded_deadline_and_the_reply_are_bounded_by_the_route_timeout() {
    let gateway = TestGateway::new(&TWO_PROCESSORS, |_, _| Behavior::NeverAnswer).await;
    let started = Instant::now();
    let reply = gateway.call("/u/x", "a", 60_000).await;
    let took = started.elapsed();
    assert_eq!(reply.status, 504);
    assert!(
        took >= Duration::from_millis(1400) && took < Duration::from_millis(2000),
        "{took:?}, and the timeout of the route is 1500 ms"
    );
    assert!(gateway.recorded.lock().unwrap().deadlines["a"] <= 1500);
}

#[tokio::test]
async fn a_safe_request_that_is_much_slower_than_average_is_hedged() {
    let gateway =
        TestGateway::new(&TWO_PROCESSORS, |_, path| if path == "/s/slow" { Behavior::NeverAnswer } else { SUCCESS })
            .await;
    for n in 0..4 {
        assert_eq!(gateway.call("/s/x", &format!("warm-{n}"), 1000).await.status, 200);
    }
    let reply = gateway.call("/s/slow", "slow", 1400).await;
    assert_eq!((reply.status, gateway.runs("slow").len()), (504, 2));
}

#[tokio::test]
async fn processors_in_an_evacuated_zone_or_draining_get_no_requests() {
    let mut gateway =
        TestGateway::new(&[("p1", "z1", "p"), ("p2", "z2", "p"), ("p3", "z2", "p")], |_, _| SUCCESS).await;
    let evacuation = Evacuation { zone: "z1".into(), ordered: 1, ..Evacuation::default() };
    gateway.assignments = Assignments { version: 1, evacuations: vec![evacuation], ..Assignments::default() };
    gateway.membership.version = 2;
    gateway.membership.processors[2].draining = true;
    gateway.send_update(None);
    for n in 0..10 {
        let id = format!("a{n}");
        assert_eq!(gateway.call("/u/x", &id, 1000).await.status, 200);
        assert_eq!(gateway.runs(&id), ["p2"]);
    }
}

#[tokio::test]
async fn a_request_bound_to_a_region_runs_only_there() {
    let gateway = TestGateway::new(&[("p1", "z1", "p"), ("p2", "z2", "p")], |_, _| SUCCESS).await;
    for n in 0..6 {
        let id = format!("a{n}");
        assert_eq!(gateway.call("/b/x", &id, 1000).await.status, 200);
        assert_eq!(gateway.runs(&id), ["p2"], "the processor in the zone of the gateway is not in the region");
    }
    let gateway = TestGateway::new(&[("p1", "z1", "p")], |_, _| SUCCESS).await;
    let reply = gateway.call("/b/x", "b", 1000).await;
    assert_eq!((reply.status, has_retry_after(&reply), gateway.runs("b").len()), (503, true, 0));
}

#[tokio::test]
async fn services_that_share_a_route_get_requests_by_their_weights() {
    let gateway = TestGateway::new(&[("p1", "z1", "p"), ("q1", "z1", "q")], |_, _| SUCCESS).await;
    let mut by_service = BTreeMap::new();
    for n in 0..400 {
        let id = format!("request-{n}");
        assert_eq!(gateway.call("/m/x", &id, 1000).await.status, 200);
        *by_service.entry(gateway.runs(&id)[0].clone()).or_insert(0) += 1;
    }
    assert!((50..150).contains(&by_service["q1"]), "its weight is a quarter: {by_service:?}");
}

#[tokio::test]
async fn a_processor_that_reuses_an_address_does_not_run_requests_for_another() {
    let mut gateway = TestGateway::new(&[("p1", "z1", "p"), ("p2", "z1", "p")], |_, _| SUCCESS).await;
    gateway.membership.version = 2;
    gateway.membership.processors[0].id = "p0-gone".into();
    gateway.send_update(None);
    for n in 0..8 {
        let id = format!("a{n}");
        assert_eq!(gateway.call("/u/x", &id, 1000).await.status, 200);
        assert_eq!(gateway.runs(&id), ["p2"]);
    }
}
