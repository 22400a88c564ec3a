//! What clients of a gateway are told, and on how many processors one try of theirs runs: a
//! gateway on loopback with stand-in processors.

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

/// What a stand-in processor does with one request.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Act {
    /// Runs it and answers with that status, sealed.
    Answer { status: u16, after_ms: u64 },
    /// Runs it and closes the connection.
    Lose,
    /// Says that it did not run it.
    Refuse,
    /// Runs it, answers in halves and resets the connection between them.
    Break,
    /// Runs it and never answers.
    Silent,
}

#[derive(Default)]
struct Seen {
    /// By request id, the processors that ran it, in their order.
    runs: HashMap<String, Vec<String>>,
    /// Requests whose connection the gateway closed before their answer.
    dropped: Vec<String>,
    /// The longest deadline that each request was handed, in milliseconds.
    deadlines: HashMap<String, u64>,
}

type Script = Arc<dyn Fn(&str, &str) -> Act + Send + Sync>;

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

async fn serve(mut stream: TcpStream, id: String, seen: Arc<Mutex<Seen>>, script: Script) {
    while let Some(head) = read_request(&mut stream).await {
        let (request, target) = (header(&head, "x-attempt-id"), header(&head, "x-target-instance"));
        let act = script(&id, head.split(' ').nth(1).unwrap_or(""));
        if target != id {
            let refusal = format!("HTTP/1.1 421 No\r\nX-Attempt-Id: {request}\r\nContent-Length: 0\r\n\r\n");
            let _ = stream.write_all(refusal.as_bytes()).await;
            continue;
        }
        if act != Act::Refuse {
            let mut seen = seen.lock().unwrap();
            seen.runs.entry(request.clone()).or_default().push(id.clone());
            let deadline: u64 = header(&head, "x-deadline-ms").parse().expect("a deadline");
            let longest = seen.deadlines.entry(request.clone()).or_default();
            *longest = deadline.max(*longest);
        }
        let answer = |status: u16, own: &str| {
            format!("HTTP/1.1 {status} Said\r\nX-Attempt-Id: {request}\r\n{own}Content-Length: 4\r\n\r\nwell")
        };
        let seal = format!("X-Seal: by-{id}\r\n");
        match act {
            Act::Answer { status, after_ms } => {
                tokio::time::sleep(Duration::from_millis(after_ms)).await;
                let _ = stream.write_all(answer(status, &seal).as_bytes()).await;
            }
            Act::Refuse => {
                let _ = stream.write_all(answer(503, "X-Not-Run: 1\r\n").as_bytes()).await;
            }
            Act::Lose => return,
            Act::Break => {
                let whole = answer(200, &seal);
                let _ = stream.write_all(&whole.as_bytes()[..whole.len() - 2]).await;
                return;
            }
            Act::Silent => {
                let _ = stream.read(&mut [0; 1]).await;
                seen.lock().unwrap().dropped.push(request);
                return;
            }
        }
    }
}

struct World {
    gateway: Arc<GatewayService>,
    seen: Arc<Mutex<Seen>>,
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

impl World {
    /// A gateway in zone z1 of region r1 with processors named by their zones and numbers.
    async fn new(
        processors: &[(&str, &str, &str)],
        script: impl Fn(&str, &str) -> Act + Send + Sync + 'static,
    ) -> World {
        let seen: Arc<Mutex<Seen>> = Arc::default();
        let script: Script = Arc::new(script);
        let mut listed = Vec::new();
        for (id, zone, service) in processors {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let address = listener.local_addr().expect("an address").to_string();
            listed.push(Processor {
                id: id.to_string(),
                service: service.to_string(),
                address,
                zone: zone.to_string(),
                capacity: 8,
                ..Processor::default()
            });
            let (id, seen, script) = (id.to_string(), seen.clone(), script.clone());
            tokio::spawn(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    tokio::spawn(serve(stream, id.clone(), seen.clone(), script.clone()));
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
            Membership { version: 1, nodes: vec![node], processors: listed, listed: true, ..Membership::default() };
        let world =
            World { gateway: GatewayService::new(settings), seen, membership, assignments: Assignments::default() };
        world.tell(Some(CONFIGURATION));
        world
    }

    fn tell(&self, configuration: Option<&str>) {
        let news = ViewUpdate {
            configuration: configuration.map(|text| text.to_owned().into()),
            membership: Some(self.membership.clone()),
            assignments: Some(self.assignments.clone()),
            ..ViewUpdate::default()
        };
        self.gateway.apply_update(&news, Instant::now());
    }

    async fn call(&self, path: &str, id: &str, deadline_ms: u64) -> Reply {
        let header = |name: &str, value: &str| (name.to_owned(), value.to_owned());
        let headers =
            vec![header("Host", "h"), header("X-Attempt-Id", id), header("X-Deadline-Ms", &deadline_ms.to_string())];
        let request = Request { method: "POST".into(), path: path.into(), headers, ..Request::default() };
        self.gateway.clone().answer(request).await
    }

    fn runs(&self, id: &str) -> Vec<String> {
        self.seen.lock().unwrap().runs.get(id).cloned().unwrap_or_default()
    }
}

const GOOD: Act = Act::Answer { status: 200, after_ms: 5 };

fn is_sealed(reply: &Reply) -> bool {
    reply.passed.iter().any(|(name, _)| name.eq_ignore_ascii_case("x-seal"))
}

fn tells_when(reply: &Reply) -> bool {
    reply.headers.iter().any(|(name, _)| *name == "Retry-After")
}

const TWO: [(&str, &str, &str); 2] = [("p1", "z1", "p"), ("p2", "z1", "p")];

#[tokio::test]
async fn a_processors_answer_comes_back_unchanged_and_a_failure_of_ours_bears_no_seal() {
    let world = World::new(&TWO, |_, path| match path {
        "/u/teapot" => Act::Answer { status: 418, after_ms: 1 },
        "/u/lost" => Act::Lose,
        _ => GOOD,
    })
    .await;
    let reply = world.call("/u/well", "a", 1000).await;
    assert_eq!((reply.status, reply.body.as_ref(), is_sealed(&reply)), (200, b"well".as_ref(), true));
    let reply = world.call("/u/teapot", "b", 1000).await;
    assert_eq!((reply.status, is_sealed(&reply)), (418, true));
    let reply = world.call("/u/lost", "c", 1000).await;
    assert_eq!((reply.status, is_sealed(&reply)), (502, false));
    assert_eq!(world.call("/nowhere/", "d", 1000).await.status, 404);
}

#[tokio::test]
async fn what_may_not_be_repeated_is_sent_again_only_if_it_has_certainly_not_run() {
    for (act, status, runs) in [(Act::Lose, 502, 1), (Act::Break, 502, 1), (Act::Silent, 504, 1), (Act::Refuse, 200, 1)]
    {
        let first = Arc::new(Mutex::new(true));
        let world =
            World::new(&TWO, move |_, _| if std::mem::take(&mut *first.lock().unwrap()) { act } else { GOOD }).await;
        let reply = world.call("/u/x", "a", 500).await;
        assert_eq!((reply.status, world.runs("a").len()), (status, runs), "{act:?}");
    }
}

#[tokio::test]
async fn what_may_be_repeated_is_sent_to_another_and_to_no_more_than_its_route_has_tries() {
    for act in [Act::Lose, Act::Break, Act::Answer { status: 500, after_ms: 1 }] {
        let first = Arc::new(Mutex::new(true));
        let world =
            World::new(&TWO, move |_, _| if std::mem::take(&mut *first.lock().unwrap()) { act } else { GOOD }).await;
        let reply = world.call("/s/x", "a", 1000).await;
        let runs = world.runs("a");
        assert_eq!((reply.status, runs.len()), (200, 2), "{act:?}");
        assert_ne!(runs[0], runs[1], "the same one again");
    }
    let three = [("p1", "z1", "p"), ("p2", "z1", "p"), ("p3", "z1", "p")];
    let world = World::new(&three, |_, _| Act::Answer { status: 500, after_ms: 1 }).await;
    let reply = world.call("/s/x", "a", 1000).await;
    assert_eq!((reply.status, is_sealed(&reply), world.runs("a").len()), (500, true, 2));
}

#[tokio::test]
async fn a_promise_is_given_only_for_what_no_processor_has_run() {
    let world = World::new(&TWO, |_, _| Act::Refuse).await;
    let reply = world.call("/u/x", "a", 1000).await;
    assert_eq!((reply.status, tells_when(&reply), world.runs("a").len()), (503, true, 0));
    // One has run it, the other would not.
    let world = World::new(&TWO, |id, _| if id == "p1" { Act::Lose } else { Act::Refuse }).await;
    for n in 0..4 {
        let (id, path) = (format!("a{n}"), "/s/x");
        let reply = world.call(path, &id, 1000).await;
        assert!(reply.status == 502 || world.runs(&id).is_empty(), "{} after {:?}", reply.status, world.runs(&id));
    }
}

#[tokio::test]
async fn the_time_that_is_handed_on_shrinks_and_the_client_has_its_answer_when_it_is_over() {
    let world = World::new(&TWO, |_, _| Act::Silent).await;
    let begun = Instant::now();
    let reply = world.call("/u/x", "a", 60_000).await;
    let took = begun.elapsed();
    assert_eq!(reply.status, 504);
    assert!(
        took >= Duration::from_millis(1400) && took < Duration::from_millis(2000),
        "{took:?}, and 1,500 is the route's"
    );
    assert!(world.seen.lock().unwrap().deadlines["a"] <= 1500);
}

#[tokio::test]
async fn a_safe_request_that_takes_far_longer_than_usual_is_asked_of_another_as_well() {
    let world = World::new(&TWO, |_, path| if path == "/s/slow" { Act::Silent } else { GOOD }).await;
    for n in 0..4 {
        assert_eq!(world.call("/s/x", &format!("warm-{n}"), 1000).await.status, 200);
    }
    let reply = world.call("/s/slow", "slow", 1400).await;
    assert_eq!((reply.status, world.runs("slow").len()), (504, 2));
}

#[tokio::test]
async fn processors_of_an_evacuated_zone_get_nothing_and_those_that_drain_neither() {
    let mut world = World::new(&[("p1", "z1", "p"), ("p2", "z2", "p"), ("p3", "z2", "p")], |_, _| GOOD).await;
    let evacuation = Evacuation { zone: "z1".into(), ordered: 1, ..Evacuation::default() };
    world.assignments = Assignments { version: 1, evacuations: vec![evacuation], ..Assignments::default() };
    world.membership.version = 2;
    world.membership.processors[2].draining = true;
    world.tell(None);
    for n in 0..10 {
        let id = format!("a{n}");
        assert_eq!(world.call("/u/x", &id, 1000).await.status, 200);
        assert_eq!(world.runs(&id), ["p2"]);
    }
}

#[tokio::test]
async fn a_request_that_is_bound_to_a_region_runs_there_or_not_at_all() {
    let world = World::new(&[("p1", "z1", "p"), ("p2", "z2", "p")], |_, _| GOOD).await;
    for n in 0..6 {
        let id = format!("a{n}");
        assert_eq!(world.call("/b/x", &id, 1000).await.status, 200);
        assert_eq!(world.runs(&id), ["p2"], "the near one is not in its region");
    }
    let world = World::new(&[("p1", "z1", "p")], |_, _| GOOD).await;
    let reply = world.call("/b/x", "b", 1000).await;
    assert_eq!((reply.status, tells_when(&reply), world.runs("b").len()), (503, true, 0));
}

#[tokio::test]
async fn services_that_share_a_route_get_their_parts_of_it() {
    let world = World::new(&[("p1", "z1", "p"), ("q1", "z1", "q")], |_, _| GOOD).await;
    let mut by_service = BTreeMap::new();
    for n in 0..400 {
        let id = format!("request-{n}");
        assert_eq!(world.call("/m/x", &id, 1000).await.status, 200);
        *by_service.entry(world.runs(&id)[0].clone()).or_insert(0) += 1;
    }
    assert!((50..150).contains(&by_service["q1"]), "a quarter is its part: {by_service:?}");
}

#[tokio::test]
async fn an_address_that_another_processor_has_by_now_runs_nothing() {
    let mut world = World::new(&[("p1", "z1", "p"), ("p2", "z1", "p")], |_, _| GOOD).await;
    world.membership.version = 2;
    world.membership.processors[0].id = "p0-gone".into();
    world.tell(None);
    for n in 0..8 {
        let id = format!("a{n}");
        assert_eq!(world.call("/u/x", &id, 1000).await.status, 200);
        assert_eq!(world.runs(&id), ["p2"]);
    }
}
