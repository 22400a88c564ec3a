//! The scaler against a fake platform on loopback: lost answers, workers without headroom, and a
//! leader that ends in between.

#[path = "common/loopback.rs"]
mod loopback;

use config::Settings;
use http1::Reply;
use loopback::WAIT;
use rpc::messages::*;
use rpc::{Body, RpcClient};
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::sync::watch;

const CONFIG: &str = r#"{"revision":1,"channels":[{"name":"r","host":"h","prefix":"/a/","mode":"safe","cutoffMs":900,"plant":"f"}],
  "plants":[{"name":"f","probe":null,"memoryMb":100,"bootMs":50,"maxInflight":2},{"name":"big","memoryMb":5000,"bootMs":50,"maxInflight":2}],"limits":{}}"#;

#[derive(Default)]
struct Platform {
    /// Processors by the nonce of their start: id and worker.
    started: HashMap<String, (String, String)>,
    stopped: Vec<String>,
    fences: Vec<u64>,
    calls: usize,
    /// How many more answers to starts are lost after the platform has carried them out.
    answers_to_lose: usize,
}

fn answer(p: &Arc<Mutex<Platform>>, r: &http1::Request) -> Reply {
    let mut p = p.lock().unwrap();
    let body: serde_json::Value = serde_json::from_slice(&r.body).unwrap_or_default();
    let text = |field: &str| body[field].as_str().unwrap_or("").to_owned();
    match r.path.as_str() {
        // The worker "small" reports headroom but refuses starts.
        "/workers" => Reply::json(
            200,
            r#"{"carriers":[{"name":"small","zone":"z","memoryMb":900,"headroomMb":900,"state":"ready"},
              {"name":"large","zone":"y","memoryMb":900,"headroomMb":600,"state":"ready"},
              {"name":"leaving","zone":"z","memoryMb":9000,"headroomMb":9000,"state":"draining"},
              {"name":"","zone":"z","memoryMb":1,"headroomMb":-5,"state":"ready"}]}"#,
        ),
        "/start" => {
            p.calls += 1;
            p.fences.push(r.header("x-fence").and_then(|f| f.parse().ok()).unwrap_or(0));
            assert_eq!(r.header("x-duty-holder"), Some("core-1"));
            if text("carrier") != "large" {
                return Reply::new(409);
            }
            let n = p.started.len() + 1;
            let one = p.started.entry(text("nonce")).or_insert((format!("i-{n}"), text("carrier"))).clone();
            if p.answers_to_lose > 0 {
                p.answers_to_lose -= 1;
                return Reply { close_without_reply: true, ..Reply::new(200) };
            }
            Reply::json(200, serde_json::json!({"id": one.0, "address": "127.0.0.1:9"}).to_string())
        }
        "/stop" => {
            p.stopped.push(text("id"));
            Reply::new(if p.stopped.len() > 1 { 404 } else { 200 })
        }
        _ => {
            let all = p.started.values().map(|(id, _)| {
                serde_json::json!({"id": id, "plant": "f", "address": "127.0.0.1:9", "zone": "y", "revision": "v1", "capacity": 2, "state": "ready", "coldLeftMs": 0})
            });
            let processors: Vec<serde_json::Value> = all.collect();
            Reply::json(200, serde_json::json!({"units": processors, "nextToken": null}).to_string())
        }
    }
}

struct Fixture {
    platform: Arc<Mutex<Platform>>,
    settings: Settings,
    control: Arc<RpcClient>,
}

impl Fixture {
    async fn new() -> Fixture {
        let platform = Arc::new(Mutex::new(Platform::default()));
        let p = platform.clone();
        let address = loopback::platform(move |r| answer(&p, r)).await;
        let settings = loopback::settings("functions", &address, 50_000);
        let control = RpcClient::new(&format!("127.0.0.1:{}", settings.port_range[0]), WAIT);
        Fixture { platform, settings, control }
    }

    fn run(&self) -> (watch::Sender<bool>, tokio::task::JoinHandle<Result<(), String>>) {
        loopback::run(&self.settings)
    }

    async fn start(&self, service: &str, nonce: &str) -> StartAck {
        let s = Start { service: service.into(), nonce: nonce.into(), zone: "z".into(), zones: Vec::new() };
        match self.control.call(Body::Start(s), WAIT).await {
            Ok(Body::StartAck(a)) => a,
            _ => StartAck::default(),
        }
    }

    /// Repeats a start until there is a processor, as a slot owner does.
    async fn start_until_done(&self, nonce: &str) -> String {
        let begun = Instant::now();
        loop {
            let a = self.start("f", nonce).await;
            if !a.processor.is_empty() {
                return a.processor;
            }
            assert!(begun.elapsed() < 3 * WAIT, "no processor for nonce {nonce}: {a:?}");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
}

#[tokio::test(flavor = "current_thread")]
async fn a_start_is_carried_out_once_even_if_answers_are_lost() {
    let fixture = Fixture::new().await;
    let (stop, running) = fixture.run();
    loopback::order(&fixture.settings, "/config/replace", CONFIG).await;
    // Two answers are lost after the platform has carried out the start; one worker refuses.
    fixture.platform.lock().unwrap().answers_to_lose = 2;
    let a = fixture.start_until_done("n-1").await;
    assert_eq!(a, "i-1");
    assert_eq!(fixture.start_until_done("n-1").await, a, "a repeated nonce returns the same processor");
    assert_eq!(fixture.start_until_done("n-2").await, "i-2");
    // No worker has enough headroom: answered at once, without a call to the platform.
    let calls = fixture.platform.lock().unwrap().calls;
    let none = fixture.start("big", "n-3").await;
    assert!(none.full && none.processor.is_empty());
    assert!(fixture.start("unknown", "n-4").await.full);
    assert_eq!(fixture.platform.lock().unwrap().calls, calls);
    // The leader ends and another incarnation takes over: the platform's listing is authoritative,
    // the nonce still returns the same processor, and the fence is higher.
    let before = fixture.platform.lock().unwrap().fences.iter().copied().max().expect("some");
    let _ = stop.send(true);
    running.await.expect("no panic").expect("ends without an error");
    let (stop, running) = fixture.run();
    fixture.platform.lock().unwrap().answers_to_lose = 1;
    assert_eq!(fixture.start_until_done("n-2").await, "i-2");
    {
        let p = fixture.platform.lock().unwrap();
        assert_eq!(p.started.len(), 2, "no processor was started twice");
        assert!(*p.fences.last().expect("some") > before && before > 0);
    }
    // A stop, and its repeat by a caller that did not get the answer.
    for _ in 0..2 {
        let stop = Body::Stop(StopProcessor { processor: "i-1".into() });
        assert!(matches!(fixture.control.call(stop, WAIT).await, Ok(Body::Ack(_))));
    }
    // A slot owner that is not in the membership is given no processors of others.
    let ask = ProcessorsRequest { front: "front-9".into(), digest: 0 };
    match fixture.control.call(Body::ProcessorsRequest(ask), WAIT).await {
        Ok(Body::Processors(u)) => assert!(u.processors.is_empty()),
        other => panic!("{other:?}"),
    }
    let _ = stop.send(true);
    running.await.expect("no panic").expect("ends without an error");
    let _ = std::fs::remove_dir_all(&fixture.settings.data_dir);
}
