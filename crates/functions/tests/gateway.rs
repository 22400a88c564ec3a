//! What clients of functions are told, and how many processors one try of theirs runs on:
//! a gateway on loopback with a stand-in leader and stand-in processors.

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

/// What a stand-in processor does with one request.
#[derive(Clone, Copy, Debug)]
enum Act {
    /// Answers after some milliseconds with that status; sealed if it is its own.
    Answer { status: u16, after_ms: u64 },
    /// Runs it for some milliseconds and closes the connection.
    Lose { after_ms: u64 },
    /// Says that it did not run it.
    Refuse { status: u16 },
    /// Runs it, and never answers.
    Silent,
}

/// By request id, which processors ran it.
type Runs = Arc<Mutex<HashMap<String, BTreeSet<String>>>>;
type Script = Arc<dyn Fn(&str, usize) -> Act + Send + Sync>;

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

/// One processor: runs what it is given by the script, which is asked with the path and
/// how many sends of that request there were before.
async fn processor(
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
                let before = {
                    let mut sends = sends.lock().unwrap();
                    let sent = sends.entry(request.clone()).or_default();
                    *sent += 1;
                    *sent - 1
                };
                let act = script(head.split(' ').nth(1).unwrap_or(""), before);
                if !matches!(act, Act::Refuse { .. }) {
                    runs.lock().unwrap().entry(request.clone()).or_default().insert(id.clone());
                }
                let (status, own) = match act {
                    Act::Answer { status, after_ms } => {
                        tokio::time::sleep(Duration::from_millis(after_ms)).await;
                        (status, format!("X-Seal: {status}-of-{id}\r\n"))
                    }
                    Act::Lose { after_ms } => {
                        tokio::time::sleep(Duration::from_millis(after_ms)).await;
                        return;
                    }
                    Act::Refuse { status } => (status, format!("X-Not-Run: 1\r\nX-Seal: {status}-of-{id}\r\n")),
                    Act::Silent => {
                        // The caller's end is noted.
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

struct World {
    gateway: Arc<FunctionGateway>,
    runs: Runs,
    /// Starts that the leader was asked for, by service.
    starts: Arc<Mutex<Vec<String>>>,
}

fn route(name: &str, prefix: &str, mode: &str, service: &str, tries: u32, cutoff_ms: u64) -> String {
    format!(
        r#"{{"name":"{name}","host":"h","prefix":"{prefix}","mode":"{mode}","cutoffMs":{cutoff_ms},"setpointMs":40,"tries":{tries},"plant":"{service}"}}"#
    )
}

fn service(name: &str, max_inflight: u32) -> String {
    format!(r#"{{"name":"{name}","connLimit":50,"memoryMb":100,"bootMs":50,"maxInflight":{max_inflight}}}"#)
}

fn configuration(revision: u64, routes: &[String], services: &[String]) -> String {
    format!(
        r#"{{"revision":{revision},"channels":[{}],"plants":[{}],"limits":{{}}}}"#,
        routes.join(","),
        services.join(",")
    )
}

/// What a leader does that is asked for a processor.
#[derive(Clone, Copy, PartialEq)]
enum Leader {
    Starts,
    SaysNothing,
}

impl World {
    async fn new(leader: Leader, config: &str, script: impl Fn(&str, usize) -> Act + Send + Sync + 'static) -> World {
        let (runs, starts) = (Runs::default(), Arc::new(Mutex::new(Vec::new())));
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address").to_string();
        let sends: Arc<Mutex<HashMap<String, usize>>> = Arc::default();
        let script: Script = Arc::new(script);
        let (runs_seen, asked) = (runs.clone(), starts.clone());
        tokio::spawn(rpc::serve(listener, Duration::from_secs(1), move |body, responder| {
            let Body::Start(start) = body else { return };
            if leader == Leader::SaysNothing {
                return std::mem::forget(responder);
            }
            let id = {
                let mut asked = asked.lock().unwrap();
                asked.push(start.service.clone());
                format!("i-{}", asked.len())
            };
            let (runs, sends, script) = (runs_seen.clone(), sends.clone(), script.clone());
            tokio::spawn(async move {
                let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
                let address = listener.local_addr().expect("an address").to_string();
                responder.send(Body::StartAck(StartAck { processor: id.clone(), address, ..StartAck::default() }));
                processor(listener, id, runs, sends, script).await;
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
        let world = World { gateway, runs, starts };
        world.gateway.apply_update(&ViewUpdate {
            configuration: Some(config.to_owned().into()),
            membership: Some(Membership { version: 1, nodes: vec![node], ..Membership::default() }),
            leader: address,
            ..ViewUpdate::default()
        });
        world
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

    /// Calls until the function is up and its usual run is known.
    async fn warm(&self, path: &str) {
        for n in 0..40 {
            if self.call("GET", path, &format!("warm-{n}"), 4000).await.status == 200 && n > 3 {
                return;
            }
        }
        panic!("{path} does not come up");
    }

    fn processors_of(&self, id: &str) -> usize {
        self.runs.lock().unwrap().get(id).map_or(0, BTreeSet::len)
    }
}

fn passed<'a>(reply: &'a Reply, name: &str) -> Option<&'a str> {
    reply.passed.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
}

fn retry_after(reply: &Reply) -> bool {
    reply.headers.iter().any(|(n, _)| *n == "Retry-After")
}

#[tokio::test]
async fn one_try_runs_on_no_more_processors_than_its_route_has_tries() {
    let routes = [1, 2, 3].map(|n| route(&format!("r{n}"), &format!("/{n}/"), "safe", "f", n, 3000));
    let config = configuration(1, &routes, &[service("f", 1)]);
    // Slow, and then lost: another one is asked beside the first, and both are sent again.
    let world = World::new(Leader::Starts, &config, |path, before| match path.rsplit('/').next() {
        Some("up") => Act::Answer { status: 200, after_ms: 2 },
        Some("lost") => Act::Lose { after_ms: 60 + 10 * before as u64 },
        Some("late") if before == 0 => Act::Lose { after_ms: 90 },
        _ => Act::Lose { after_ms: 30 },
    })
    .await;
    let world = Arc::new(world);
    world.warm("/3/up").await;
    let mut calls = Vec::new();
    for tries in 1..=3usize {
        for kind in ["lost", "late", "soon"] {
            for n in 0..4 {
                let (world, id) = (world.clone(), format!("{kind}-{tries}-{n}"));
                calls.push(tokio::spawn(async move {
                    let reply = world.call("GET", &format!("/{tries}/{kind}"), &id, 3000).await;
                    (id, tries, reply.status)
                }));
            }
        }
    }
    let mut most = [0; 4];
    for call in calls {
        let (id, tries, status) = call.await.expect("it ends");
        let ran = world.processors_of(&id);
        assert!(ran <= tries, "{id} ran on {ran} processors");
        assert!(status == 502 || (status == 503 && ran == 0), "{id}: {status} after {ran} runs");
        most[tries] = most[tries].max(ran);
    }
    assert_eq!(most[1..], [1, 2, 3], "all tries are used");
}

#[tokio::test]
async fn processors_that_did_not_run_it_use_up_no_tries() {
    let config = configuration(1, &[route("r", "/f/", "unsafe", "f", 1, 3000)], &[service("f", 1)]);
    let world = World::new(Leader::Starts, &config, |path, before| match before {
        0..=2 if path.ends_with("full") => Act::Refuse { status: 503 },
        _ => Act::Answer { status: 200, after_ms: 2 },
    })
    .await;
    world.warm("/f/up").await;
    let reply = world.call("POST", "/f/full", "full", 3000).await;
    assert_eq!((reply.status, world.processors_of("full")), (200, 1));
}

#[tokio::test]
async fn a_promise_that_no_processor_gave_reaches_no_client() {
    let routes = [route("u", "/u/", "unsafe", "f", 1, 3000), route("s", "/s/", "safe", "f", 2, 3000)];
    let config = configuration(1, &routes, &[service("f", 8)]);
    let world = World::new(Leader::Starts, &config, |path, _| {
        let status = path.rsplit('/').next().and_then(|s| s.parse().ok()).unwrap_or(200);
        Act::Answer { status, after_ms: 2 }
    })
    .await;
    world.warm("/u/200").await;
    for status in [408, 429, 503] {
        for route in ["u", "s"] {
            // It ran, and its processor says neither that it did not nor anything else.
            let id = format!("{route}-{status}");
            let reply = world.call("POST", &format!("/{route}/{status}"), &id, 3000).await;
            assert_eq!((reply.status, passed(&reply, "x-seal")), (502, None), "{id}");
        }
    }
}

#[tokio::test]
async fn an_answer_bears_a_processors_seal_only_with_the_status_that_it_gave() {
    let routes = [route("u", "/u/", "unsafe", "f", 1, 400), route("s", "/s/", "safe", "f", 2, 400)];
    let config = configuration(1, &routes, &[service("f", 8)]);
    let world = World::new(Leader::Starts, &config, |path, _| {
        let last = path.rsplit('/').next().unwrap_or("");
        match last.split_once('-') {
            Some(("refuse", status)) => Act::Refuse { status: status.parse().expect("a status") },
            Some((_, status)) => Act::Answer { status: status.parse().expect("a status"), after_ms: 2 },
            None if last == "silent" => Act::Silent,
            None if last == "lose" => Act::Lose { after_ms: 2 },
            None => Act::Answer { status: 200, after_ms: 2 },
        }
    })
    .await;
    world.warm("/u/up").await;
    let statuses = [200, 204, 301, 304, 400, 401, 404, 408, 409, 413, 421, 422, 429, 500, 501, 502, 503, 504];
    let answers = statuses.iter().flat_map(|s| [format!("answer-{s}"), format!("refuse-{s}")]);
    let world = Arc::new(world);
    let mut calls = Vec::new();
    for path in answers.chain(["silent".into(), "lose".into()]) {
        for route in ["u", "s"] {
            let (world, id) = (world.clone(), format!("{route}-{path}"));
            let path = format!("/{route}/{path}");
            calls.push(tokio::spawn(async move { (world.call("POST", &path, &id, 4000).await, id) }));
        }
    }
    for call in calls {
        let (reply, id) = call.await.expect("it ends");
        let Some(seal) = passed(&reply, "x-seal") else { continue };
        assert!(seal.starts_with(&format!("{}-of-", reply.status)), "{id}: {} with {seal}", reply.status);
    }
    // What a processor answers for itself comes back as it is, with its seal.
    for status in [200, 301, 404, 409, 422, 500] {
        let reply = world.call("POST", &format!("/u/answer-{status}"), &format!("own-{status}"), 4000).await;
        assert_eq!((reply.status, passed(&reply, "x-seal").is_some()), (status, true));
    }
}

#[tokio::test]
async fn nothing_is_held_past_its_routes_cutoff() {
    let routes = [
        route("u", "/u/", "unsafe", "f", 1, 500),
        route("s", "/s/", "safe", "f", 3, 500),
        route("w", "/w/", "safe", "g", 2, 500),
    ];
    let config = configuration(1, &routes, &[service("f", 1), service("g", 1)]);
    let world = World::new(Leader::Starts, &config, |path, before| match path.rsplit('/').next() {
        Some("silent") => Act::Silent,
        Some("lose") => Act::Lose { after_ms: 450 },
        Some("full") => Act::Refuse { status: 503 },
        Some("slow") => Act::Answer { status: 200, after_ms: if before == 0 { 3000 } else { 400 } },
        _ => Act::Answer { status: 200, after_ms: 2 },
    })
    .await;
    world.warm("/u/up").await;
    let world = Arc::new(world);
    let mut calls = Vec::new();
    for path in
        ["/u/silent", "/s/silent", "/u/lose", "/s/lose", "/u/full", "/s/full", "/u/slow", "/s/slow", "/w/silent"]
    {
        for n in 0..3 {
            let world = world.clone();
            calls.push(tokio::spawn(async move {
                let begun = Instant::now();
                let reply = world.call("POST", path, &format!("{path}-{n}"), 4000).await;
                (path, reply.status, begun.elapsed())
            }));
        }
    }
    for call in calls {
        let (path, status, held) = call.await.expect("it ends");
        assert!(held < Duration::from_millis(750), "{path}: {status} after {held:?}");
    }
}

#[tokio::test]
async fn what_no_leader_starts_is_refused_before_its_cutoff() {
    let config = configuration(1, &[route("r", "/f/", "unsafe", "f", 1, 400)], &[service("f", 1)]);
    let world = World::new(Leader::SaysNothing, &config, |_, _| Act::Silent).await;
    let begun = Instant::now();
    let reply = world.call("POST", "/f/x", "x", 4000).await;
    assert_eq!((reply.status, retry_after(&reply)), (503, true));
    assert!(begun.elapsed() < Duration::from_millis(650), "{:?}", begun.elapsed());
}

#[tokio::test]
async fn what_has_no_time_left_for_a_run_is_not_sent_and_told_that_it_did_not_run() {
    let config = configuration(1, &[route("r", "/f/", "unsafe", "f", 1, 3000)], &[service("f", 8)]);
    let world = World::new(Leader::Starts, &config, |_, _| Act::Answer { status: 200, after_ms: 1 }).await;
    world.warm("/f/up").await;
    // A tenth of the target latency is 4 ms.
    for n in 0..10 {
        let reply = world.call("POST", "/f/x", &format!("short-{n}"), n % 4).await;
        let ran = world.processors_of(&format!("short-{n}"));
        assert_eq!((reply.status, retry_after(&reply), ran), (503, true, 0), "with {} ms", n % 4);
    }
}

#[tokio::test]
async fn a_process_that_ends_answers_all_that_it_has_read() {
    let routes = [route("f", "/f/", "unsafe", "f", 1, 9000), route("g", "/g/", "unsafe", "g", 1, 9000)];
    let config = configuration(1, &routes, &[service("f", 8), service("g", 1)]);
    let world = World::new(Leader::Starts, &config, |path, _| match path.rsplit('/').next() {
        Some("silent") => Act::Silent,
        Some("run") => Act::Answer { status: 200, after_ms: 300 },
        _ => Act::Answer { status: 200, after_ms: 2 },
    })
    .await;
    world.warm("/f/up").await;
    world.warm("/g/up").await;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    let gateway = world.gateway.clone();
    let closing = gateway.closing.subscribe();
    let serving = gateway.clone();
    tokio::spawn(http1::listen(listener, http1::Bounds::default, closing, http1::ClientWatch::On, move |r| {
        serving.clone().handle_request(r)
    }));
    // The last one waits for the one slot of `g`, which is never free.
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
    let begun = Instant::now();
    let grace = Duration::from_millis(2000);
    http1::end_in_order(&gateway.closing, grace, Duration::from_millis(10), || true).await;
    assert!(begun.elapsed() < grace, "{:?}", begun.elapsed());
    let mut said = Vec::new();
    for mut stream in clients {
        let mut text = String::new();
        stream.read_to_string(&mut text).await.expect("no reset");
        let (head, body) = text.split_once("\r\n\r\n").expect("a whole head");
        assert_eq!(header(head, "content-length"), body.len().to_string(), "a whole body");
        said.push(text.split(' ').nth(1).unwrap_or("").to_owned());
    }
    let statuses: Vec<&str> = said.iter().map(String::as_str).collect();
    assert_eq!(statuses, ["200", "502", "502", "503"], "only what was not passed on is told that it did not run");
}

#[tokio::test]
async fn routes_and_services_that_were_added_later_serve_as_the_first() {
    let first = [route("a", "/a/", "safe", "f", 2, 3000)];
    let config = configuration(1, &first, &[service("f", 8)]);
    let world = World::new(Leader::Starts, &config, |_, _| Act::Answer { status: 200, after_ms: 2 }).await;
    world.warm("/a/x").await;
    assert_eq!(world.call("GET", "/b/x", "early", 3000).await.status, 404);
    let all = [
        route("a", "/a/", "safe", "f", 2, 3000),
        route("b", "/b/", "unsafe", "f", 1, 3000),
        route("c", "/c/", "safe", "g", 2, 3000),
        route("d", "/a/deep/", "safe", "g", 2, 3000),
    ];
    let whole = configuration(2, &all, &[service("f", 8), service("g", 8)]);
    // As it reaches a front: what has changed, and the print of the whole.
    let old = config::canonical(config.as_bytes()).expect("JSON");
    let new = config::canonical(whole.as_bytes()).expect("JSON");
    let change = config::difference(&old, &new);
    match change {
        Some(change) => {
            let fingerprint = rpc::fingerprint(&new);
            let step = ConfigurationStep { revision: 2, since: 1, change: change.into(), fingerprint };
            world.gateway.apply_update(&ViewUpdate { steps: vec![step], ..ViewUpdate::default() });
        }
        None => world.gateway.apply_update(&ViewUpdate { configuration: Some(whole.into()), ..ViewUpdate::default() }),
    }
    for path in ["/a/x", "/b/x", "/c/x", "/a/deep/x"] {
        let mut served = 0;
        for n in 0..25 {
            served += usize::from(world.call("POST", path, &format!("{path}-{n}"), 3000).await.status == 200);
        }
        assert_eq!(served, 25, "{path}");
    }
    assert!(world.starts.lock().unwrap().contains(&"g".to_owned()));
}

#[tokio::test]
async fn a_client_that_leaves_frees_the_processor_of_what_may_be_repeated_and_only_that() {
    let routes = [route("s", "/s/", "safe", "f", 2, 9000), route("u", "/u/", "unsafe", "f", 1, 9000)];
    let config = configuration(1, &routes, &[service("f", 8)]);
    let world = World::new(Leader::Starts, &config, |path, _| match path.rsplit('/').next() {
        Some("silent") => Act::Silent,
        _ => Act::Answer { status: 200, after_ms: 2 },
    })
    .await;
    world.warm("/s/up").await;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    let (serving, closing) = (world.gateway.clone(), world.gateway.closing.subscribe());
    tokio::spawn(http1::listen(listener, http1::Bounds::default, closing, http1::ClientWatch::On, move |r| {
        serving.clone().handle_request(r)
    }));
    for path in ["/s/silent", "/u/silent"] {
        let mut stream = TcpStream::connect(&address).await.expect("connected");
        let request = format!("POST {path} HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: {path}\r\nContent-Length: 0\r\n\r\n");
        stream.write_all(request.as_bytes()).await.expect("sent");
        while world.processors_of(path) == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        drop(stream);
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    assert_eq!(world.processors_of("/s/silent dropped"), 1, "the processor works on for nobody");
    assert_eq!(world.processors_of("/u/silent dropped"), 0, "what may not be repeated is broken off");
}
