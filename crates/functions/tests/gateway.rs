//! The answers that clients of functions get, and the number of processors that one request runs
//! on, with a gateway, a simulated leader and simulated processors on the loopback interface.

use config::Settings;
use functions::FunctionGateway;
use http1::{Reply, Request};
use rpc::Body;
use rpc::messages::*;
use std::collections::{BTreeSet, HashMap};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const QUIET_MS: f64 = 4000.0;

/// What a simulated processor does with one request.
#[derive(Clone, Copy, Debug)]
enum Behavior {
    /// Answers with `status` and a seal after `after_ms`.
    Answer { status: u16, after_ms: u64 },
    /// Runs the request for `after_ms` and closes the connection.
    Lose { after_ms: u64 },
    /// Answers that it did not run the request.
    Refuse { status: u16 },
    /// Runs the request and does not answer.
    Silent,
}

/// The processors that ran a request, by request id.
type Runs = Arc<Mutex<HashMap<String, BTreeSet<String>>>>;
type Script = Arc<dyn Fn(&str, usize) -> Behavior + Send + Sync>;

fn header(head: &str, name: &str) -> String {
    let lines = head.lines().filter_map(|l| l.split_once(':'));
    lines.filter(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.trim().to_owned()).next().unwrap_or_default()
}

async fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut all = Vec::new();
    while !all.ends_with(b"\r\n\r\n") {
        all.push(stream.read_u8().await.ok()?);
    }
    Some(String::from_utf8_lossy(&all).into_owned())
}

/// Runs one processor. `script` returns its behavior for the path of a request and the number of
/// earlier sends of that request.
async fn run_processor(
    listener: TcpListener,
    id: String,
    runs: Runs,
    sends: Arc<Mutex<HashMap<String, usize>>>,
    script: Script,
) {
    while let Ok((mut stream, _)) = listener.accept().await {
        let (id, runs, sends, script) = (id.clone(), runs.clone(), sends.clone(), script.clone());
        tokio::spawn(async move {
            while let Some(head) = read_head(&mut stream).await {
                let request = header(&head, "x-attempt-id");
                let sends_before = {
                    let mut sends = sends.lock().unwrap();
                    let sent = sends.entry(request.clone()).or_default();
                    *sent += 1;
                    *sent - 1
                };
                let behavior = script(head.split(' ').nth(1).unwrap_or(""), sends_before);
                if !matches!(behavior, Behavior::Refuse { .. }) {
                    runs.lock().unwrap().entry(request.clone()).or_default().insert(id.clone());
                }
                let (status, own) = match behavior {
                    Behavior::Answer { status, after_ms } => {
                        tokio::time::sleep(Duration::from_millis(after_ms)).await;
                        (status, format!("X-Seal: {status}-of-{id}\r\n"))
                    }
                    Behavior::Lose { after_ms } => {
                        tokio::time::sleep(Duration::from_millis(after_ms)).await;
                        return;
                    }
                    Behavior::Refuse { status } => (status, format!("X-Not-Run: 1\r\nX-Seal: {status}-of-{id}\r\n")),
                    Behavior::Silent => {
                        // Records when the caller closes the connection.
                        let _ = stream.read(&mut [0; 1]).await;
                        runs.lock().unwrap().entry(format!("{request} dropped")).or_default().insert(id.clone());
                        return;
                    }
                };
                let answer =
                    format!("HTTP/1.1 {status} Said\r\nX-Attempt-Id: {request}\r\n{own}Content-Length: 2\r\n\r\nok");
                if stream.write_all(answer.as_bytes()).await.is_err() {
                    return;
                }
            }
        });
    }
}

struct Fixture {
    gateway: Arc<FunctionGateway>,
    runs: Runs,
    /// The services of which the leader was asked to start a processor.
    starts: Arc<Mutex<Vec<String>>>,
}

fn route_json(name: &str, prefix: &str, mode: &str, service: &str, tries: u32, cutoff_ms: u64) -> String {
    format!(
        r#"{{"name":"{name}","host":"h","prefix":"{prefix}","mode":"{mode}","cutoffMs":{cutoff_ms},"setpointMs":40,"tries":{tries},"plant":"{service}"}}"#
    )
}

fn service_json(name: &str, max_inflight: u32) -> String {
    format!(r#"{{"name":"{name}","connLimit":50,"memoryMb":100,"bootMs":50,"maxInflight":{max_inflight}}}"#)
}

fn configuration_json(revision: u64, routes: &[String], services: &[String]) -> String {
    format!(
        r#"{{"revision":{revision},"channels":[{}],"plants":[{}],"limits":{{}}}}"#,
        routes.join(","),
        services.join(",")
    )
}

/// What the simulated leader does when it is asked to start a processor.
#[derive(Clone, Copy, PartialEq)]
enum LeaderBehavior {
    StartsProcessors,
    DoesNotAnswer,
}

impl Fixture {
    async fn new(
        leader: LeaderBehavior,
        config: &str,
        script: impl Fn(&str, usize) -> Behavior + Send + Sync + 'static,
    ) -> Fixture {
        let (runs, starts) = (Runs::default(), Arc::new(Mutex::new(Vec::new())));
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address").to_string();
        let sends: Arc<Mutex<HashMap<String, usize>>> = Arc::default();
        let script: Script = Arc::new(script);
        let (leader_runs, asked) = (runs.clone(), starts.clone());
        tokio::spawn(rpc::serve(listener, Duration::from_secs(1), move |body, responder| {
            let Body::Start(start) = body else { return };
            if leader == LeaderBehavior::DoesNotAnswer {
                return std::mem::forget(responder);
            }
            let id = {
                let mut asked = asked.lock().unwrap();
                asked.push(start.service.clone());
                format!("i-{}", asked.len())
            };
            let (runs, sends, script) = (leader_runs.clone(), sends.clone(), script.clone());
            tokio::spawn(async move {
                let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
                let address = listener.local_addr().expect("an address").to_string();
                responder.send(Body::StartAck(StartAck { processor: id.clone(), address, ..StartAck::default() }));
                run_processor(listener, id, runs, sends, script).await;
            });
        }));
        let mut settings = Settings { node: "front-1".into(), zone: "z".into(), ..Settings::default() };
        settings.constraints.quiet_ms = QUIET_MS;
        settings.constraints.retry_ratio = 1.0;
        settings.constraints.retry_slack = 10_000.0;
        settings.constraints.retry_window_s = 10.0;
        let gateway = FunctionGateway::new(settings);
        tokio::spawn(gateway.clone().run_timers());
        let node = Node { name: "front-1".into(), role: "functions".into(), ..Node::default() };
        let fixture = Fixture { gateway, runs, starts };
        fixture.gateway.apply_update(&ViewUpdate {
            configuration: Some(config.to_owned().into()),
            membership: Some(Membership { version: 1, nodes: vec![node], ..Membership::default() }),
            leader: address,
            ..ViewUpdate::default()
        });
        fixture
    }

    async fn call(&self, method: &str, path: &str, id: &str, deadline_ms: u64) -> Reply {
        let header = |n: &str, v: &str| (n.to_owned(), v.to_owned());
        let deadline = deadline_ms.to_string();
        let request = Request {
            method: method.into(),
            path: path.into(),
            headers: vec![header("Host", "h"), header("X-Attempt-Id", id), header("X-Deadline-Ms", &deadline)],
            ..Request::default()
        };
        self.gateway.clone().handle_request(request).await
    }

    /// Sends requests until the function is up and the mean duration of its runs is known.
    async fn warm_up(&self, path: &str) {
        for n in 0..40 {
            if self.call("GET", path, &format!("warm-up-{n}"), 4000).await.status == 200 && n > 3 {
                return;
            }
        }
        panic!("the function behind {path} does not come up");
    }

    fn processor_count(&self, id: &str) -> usize {
        self.runs.lock().unwrap().get(id).map_or(0, BTreeSet::len)
    }
}

fn forwarded_header<'a>(reply: &'a Reply, name: &str) -> Option<&'a str> {
    reply.forwarded_headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
}

fn has_retry_after(reply: &Reply) -> bool {
    reply.headers.iter().any(|(n, _)| *n == "Retry-After")
}

#[tokio::test]
async fn request_runs_on_no_more_processors_than_its_route_has_tries() {
    let routes = [1, 2, 3].map(|n| route_json(&format!("r{n}"), &format!("/{n}/"), "safe", "f", n, 3000));
    let config = configuration_json(1, &routes, &[service_json("f", 1)]);
    // Slow answers that are then lost: a request is hedged, and both sends are retried.
    let fixture =
        Fixture::new(LeaderBehavior::StartsProcessors, &config, |path, sends_before| match path.rsplit('/').next() {
            Some("up") => Behavior::Answer { status: 200, after_ms: 2 },
            Some("lost") => Behavior::Lose { after_ms: 60 + 10 * sends_before as u64 },
            Some("late") if sends_before == 0 => Behavior::Lose { after_ms: 90 },
            _ => Behavior::Lose { after_ms: 30 },
        })
        .await;
    let fixture = Arc::new(fixture);
    fixture.warm_up("/3/up").await;
    let mut calls = Vec::new();
    for tries in 1..=3usize {
        for kind in ["lost", "late", "soon"] {
            for n in 0..4 {
                let (fixture, id) = (fixture.clone(), format!("{kind}-{tries}-{n}"));
                calls.push(tokio::spawn(async move {
                    let reply = fixture.call("GET", &format!("/{tries}/{kind}"), &id, 3000).await;
                    (id, tries, reply.status)
                }));
            }
        }
    }
    let mut most = [0; 4];
    for call in calls {
        let (id, tries, status) = call.await.expect("the request ends");
        let ran = fixture.processor_count(&id);
        assert!(ran <= tries, "{id} ran on {ran} processors");
        assert!(status == 502 || (status == 503 && ran == 0), "{id}: {status} after {ran} runs");
        most[tries] = most[tries].max(ran);
    }
    assert_eq!(most[1..], [1, 2, 3], "each route uses all of its tries");
}

#[tokio::test]
async fn processors_that_did_not_run_a_request_use_no_tries() {
    let config = configuration_json(1, &[route_json("r", "/f/", "unsafe", "f", 1, 3000)], &[service_json("f", 1)]);
    let fixture = Fixture::new(LeaderBehavior::StartsProcessors, &config, |path, sends_before| match sends_before {
        0..=2 if path.ends_with("full") => Behavior::Refuse { status: 503 },
        _ => Behavior::Answer { status: 200, after_ms: 2 },
    })
    .await;
    fixture.warm_up("/f/up").await;
    let reply = fixture.call("POST", "/f/full", "full", 3000).await;
    assert_eq!((reply.status, fixture.processor_count("full")), (200, 1));
}

#[tokio::test]
async fn status_that_implies_not_run_without_the_processors_word_becomes_502() {
    let routes = [route_json("u", "/u/", "unsafe", "f", 1, 3000), route_json("s", "/s/", "safe", "f", 2, 3000)];
    let config = configuration_json(1, &routes, &[service_json("f", 8)]);
    let fixture = Fixture::new(LeaderBehavior::StartsProcessors, &config, |path, _| {
        let status = path.rsplit('/').next().and_then(|s| s.parse().ok()).unwrap_or(200);
        Behavior::Answer { status, after_ms: 2 }
    })
    .await;
    fixture.warm_up("/u/200").await;
    for status in [408, 429, 503] {
        for route in ["u", "s"] {
            // The request ran: the processor does not say that it did not.
            let id = format!("{route}-{status}");
            let reply = fixture.call("POST", &format!("/{route}/{status}"), &id, 3000).await;
            assert_eq!((reply.status, forwarded_header(&reply, "x-seal")), (502, None), "{id}");
        }
    }
}

#[tokio::test]
async fn answer_has_a_processors_seal_only_with_that_processors_status() {
    let routes = [route_json("u", "/u/", "unsafe", "f", 1, 400), route_json("s", "/s/", "safe", "f", 2, 400)];
    let config = configuration_json(1, &routes, &[service_json("f", 8)]);
    let fixture = Fixture::new(LeaderBehavior::StartsProcessors, &config, |path, _| {
        let last = path.rsplit('/').next().unwrap_or("");
        match last.split_once('-') {
            Some(("refuse", status)) => Behavior::Refuse { status: status.parse().expect("a status code") },
            Some((_, status)) => Behavior::Answer { status: status.parse().expect("a status code"), after_ms: 2 },
            None if last == "silent" => Behavior::Silent,
            None if last == "lose" => Behavior::Lose { after_ms: 2 },
            None => Behavior::Answer { status: 200, after_ms: 2 },
        }
    })
    .await;
    fixture.warm_up("/u/up").await;
    let statuses = [200, 204, 301, 304, 400, 401, 404, 408, 409, 413, 421, 422, 429, 500, 501, 502, 503, 504];
    let answers = statuses.iter().flat_map(|s| [format!("answer-{s}"), format!("refuse-{s}")]);
    let fixture = Arc::new(fixture);
    let mut calls = Vec::new();
    for path in answers.chain(["silent".into(), "lose".into()]) {
        for route in ["u", "s"] {
            let (fixture, id) = (fixture.clone(), format!("{route}-{path}"));
            let path = format!("/{route}/{path}");
            calls.push(tokio::spawn(async move { (fixture.call("POST", &path, &id, 4000).await, id) }));
        }
    }
    for call in calls {
        let (reply, id) = call.await.expect("the request ends");
        let Some(seal) = forwarded_header(&reply, "x-seal") else { continue };
        assert!(seal.starts_with(&format!("{}-of-", reply.status)), "{id}: {} with {seal}", reply.status);
    }
    // A processor's own answer is returned unchanged, with its seal.
    for status in [200, 301, 404, 409, 422, 500] {
        let reply = fixture.call("POST", &format!("/u/answer-{status}"), &format!("own-{status}"), 4000).await;
        assert_eq!((reply.status, forwarded_header(&reply, "x-seal").is_some()), (status, true));
    }
}

#[tokio::test]
async fn every_request_is_answered_by_its_routes_cutoff() {
    let routes = [
        route_json("u", "/u/", "unsafe", "f", 1, 500),
        route_json("s", "/s/", "safe", "f", 3, 500),
        route_json("w", "/w/", "safe", "g", 2, 500),
    ];
    let config = configuration_json(1, &routes, &[service_json("f", 1), service_json("g", 1)]);
    let fixture =
        Fixture::new(LeaderBehavior::StartsProcessors, &config, |path, sends_before| match path.rsplit('/').next() {
            Some("silent") => Behavior::Silent,
            Some("lose") => Behavior::Lose { after_ms: 450 },
            Some("full") => Behavior::Refuse { status: 503 },
            Some("slow") => Behavior::Answer { status: 200, after_ms: if sends_before == 0 { 3000 } else { 400 } },
            _ => Behavior::Answer { status: 200, after_ms: 2 },
        })
        .await;
    fixture.warm_up("/u/up").await;
    let fixture = Arc::new(fixture);
    let mut calls = Vec::new();
    for path in
        ["/u/silent", "/s/silent", "/u/lose", "/s/lose", "/u/full", "/s/full", "/u/slow", "/s/slow", "/w/silent"]
    {
        for n in 0..3 {
            let fixture = fixture.clone();
            calls.push(tokio::spawn(async move {
                let started_at = Instant::now();
                let reply = fixture.call("POST", path, &format!("{path}-{n}"), 4000).await;
                (path, reply.status, started_at.elapsed())
            }));
        }
    }
    for call in calls {
        let (path, status, held) = call.await.expect("the request ends");
        assert!(held < Duration::from_millis(750), "{path}: {status} after {held:?}");
    }
}

#[tokio::test]
async fn request_is_refused_by_its_cutoff_if_the_leader_does_not_answer() {
    let config = configuration_json(1, &[route_json("r", "/f/", "unsafe", "f", 1, 400)], &[service_json("f", 1)]);
    let fixture = Fixture::new(LeaderBehavior::DoesNotAnswer, &config, |_, _| Behavior::Silent).await;
    let started_at = Instant::now();
    let reply = fixture.call("POST", "/f/x", "x", 4000).await;
    assert_eq!((reply.status, has_retry_after(&reply)), (503, true));
    assert!(started_at.elapsed() < Duration::from_millis(650), "{:?}", started_at.elapsed());
}

#[tokio::test]
async fn request_without_time_for_a_run_is_not_sent_and_answered_as_not_run() {
    let config = configuration_json(1, &[route_json("r", "/f/", "unsafe", "f", 1, 3000)], &[service_json("f", 8)]);
    let fixture =
        Fixture::new(LeaderBehavior::StartsProcessors, &config, |_, _| Behavior::Answer { status: 200, after_ms: 1 })
            .await;
    fixture.warm_up("/f/up").await;
    // A tenth of the target latency is 4 ms.
    for n in 0..10 {
        let reply = fixture.call("POST", "/f/x", &format!("short-{n}"), n % 4).await;
        let ran = fixture.processor_count(&format!("short-{n}"));
        assert_eq!((reply.status, has_retry_after(&reply), ran), (503, true, 0), "with {} ms", n % 4);
    }
}

#[tokio::test]
async fn every_received_request_is_answered_on_shutdown() {
    let routes = [route_json("f", "/f/", "unsafe", "f", 1, 9000), route_json("g", "/g/", "unsafe", "g", 1, 9000)];
    let config = configuration_json(1, &routes, &[service_json("f", 8), service_json("g", 1)]);
    let fixture = Fixture::new(LeaderBehavior::StartsProcessors, &config, |path, _| match path.rsplit('/').next() {
        Some("silent") => Behavior::Silent,
        Some("run") => Behavior::Answer { status: 200, after_ms: 300 },
        _ => Behavior::Answer { status: 200, after_ms: 2 },
    })
    .await;
    fixture.warm_up("/f/up").await;
    fixture.warm_up("/g/up").await;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address").to_string();
    let gateway = fixture.gateway.clone();
    let closing = gateway.closing.subscribe();
    let serving = gateway.clone();
    tokio::spawn(http1::listen(listener, http1::Bounds::default, closing, http1::ClientWatch::On, move |r| {
        serving.clone().handle_request(r)
    }));
    // The last request waits for the only slot of `g`, which never becomes free.
    let (mut clients, paths) = (Vec::new(), ["/f/run", "/f/silent", "/g/silent", "/g/wait"]);
    for path in paths {
        let mut stream = TcpStream::connect(&address).await.expect("connected");
        let request = format!(
            "POST {path} HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: {path}\r\nX-Deadline-Ms: 9000\r\nContent-Length: 0\r\n\r\n"
        );
        stream.write_all(request.as_bytes()).await.expect("sent");
        tokio::time::sleep(Duration::from_millis(30)).await;
        clients.push(stream);
    }
    let started_at = Instant::now();
    let grace = Duration::from_millis(2000);
    http1::shut_down_gracefully(&gateway.closing, grace, Duration::from_millis(10), || true).await;
    assert!(started_at.elapsed() < grace, "{:?}", started_at.elapsed());
    let mut statuses = Vec::new();
    for mut stream in clients {
        let mut text = String::new();
        stream.read_to_string(&mut text).await.expect("no reset");
        let (head, body) = text.split_once("\r\n\r\n").expect("a complete head");
        assert_eq!(header(head, "content-length"), body.len().to_string(), "a complete body");
        statuses.push(text.split(' ').nth(1).unwrap_or("").to_owned());
    }
    let statuses: Vec<&str> = statuses.iter().map(String::as_str).collect();
    assert_eq!(
        statuses,
        ["200", "502", "502", "503"],
        "only the request that was not forwarded is answered as not run"
    );
}

#[tokio::test]
async fn routes_and_services_that_are_added_later_are_served() {
    let first = [route_json("a", "/a/", "safe", "f", 2, 3000)];
    let config = configuration_json(1, &first, &[service_json("f", 8)]);
    let fixture =
        Fixture::new(LeaderBehavior::StartsProcessors, &config, |_, _| Behavior::Answer { status: 200, after_ms: 2 })
            .await;
    fixture.warm_up("/a/x").await;
    assert_eq!(fixture.call("GET", "/b/x", "early", 3000).await.status, 404);
    let all = [
        route_json("a", "/a/", "safe", "f", 2, 3000),
        route_json("b", "/b/", "unsafe", "f", 1, 3000),
        route_json("c", "/c/", "safe", "g", 2, 3000),
        route_json("d", "/a/deep/", "safe", "g", 2, 3000),
    ];
    let whole = configuration_json(2, &all, &[service_json("f", 8), service_json("g", 8)]);
    // A front receives the changes, and the fingerprint of the whole configuration.
    let old = config::canonical(config.as_bytes()).expect("JSON");
    let new = config::canonical(whole.as_bytes()).expect("JSON");
    let change = config::difference(&old, &new);
    match change {
        Some(change) => {
            let fingerprint = rpc::fingerprint(&new);
            let step = ConfigurationStep { revision: 2, since: 1, change: change.into(), fingerprint };
            fixture.gateway.apply_update(&ViewUpdate { steps: vec![step], ..ViewUpdate::default() });
        }
        None => {
            fixture.gateway.apply_update(&ViewUpdate { configuration: Some(whole.into()), ..ViewUpdate::default() })
        }
    }
    for path in ["/a/x", "/b/x", "/c/x", "/a/deep/x"] {
        let mut served = 0;
        for n in 0..25 {
            served += usize::from(fixture.call("POST", path, &format!("{path}-{n}"), 3000).await.status == 200);
        }
        assert_eq!(served, 25, "{path}");
    }
    assert!(fixture.starts.lock().unwrap().contains(&"g".to_owned()));
}

#[tokio::test]
async fn closed_client_connection_cancels_only_requests_that_are_safe_to_repeat() {
    let routes = [route_json("s", "/s/", "safe", "f", 2, 9000), route_json("u", "/u/", "unsafe", "f", 1, 9000)];
    let config = configuration_json(1, &routes, &[service_json("f", 8)]);
    let fixture = Fixture::new(LeaderBehavior::StartsProcessors, &config, |path, _| match path.rsplit('/').next() {
        Some("silent") => Behavior::Silent,
        _ => Behavior::Answer { status: 200, after_ms: 2 },
    })
    .await;
    fixture.warm_up("/s/up").await;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address").to_string();
    let (serving, closing) = (fixture.gateway.clone(), fixture.gateway.closing.subscribe());
    tokio::spawn(http1::listen(listener, http1::Bounds::default, closing, http1::ClientWatch::On, move |r| {
        serving.clone().handle_request(r)
    }));
    for path in ["/s/silent", "/u/silent"] {
        let mut stream = TcpStream::connect(&address).await.expect("connected");
        let request = format!("POST {path} HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: {path}\r\nContent-Length: 0\r\n\r\n");
        stream.write_all(request.as_bytes()).await.expect("sent");
        while fixture.processor_count(path) == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        drop(stream);
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    assert_eq!(
        fixture.processor_count("/s/silent dropped"),
        1,
        "the processor's connection is closed when the client leaves"
    );
    assert_eq!(fixture.processor_count("/u/silent dropped"), 0, "a request that may not be repeated is not cancelled");
}
