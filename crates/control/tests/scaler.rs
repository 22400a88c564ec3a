//! The scaler against a stand-in platform on loopback: answers that are lost, workers
//! without room, and a leader that ends in between.

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
    /// Processors by nonce, and in which worker each stands.
    started: HashMap<String, (String, String)>,
    stopped: Vec<String>,
    fences: Vec<u64>,
    calls: usize,
    /// So many answers to starts are lost after they were carried out.
    lose: usize,
}

fn answer(p: &Arc<Mutex<Platform>>, r: &http1::Request) -> Reply {
    let mut p = p.lock().unwrap();
    let said: serde_json::Value = serde_json::from_slice(&r.body).unwrap_or_default();
    let text = |f: &str| said[f].as_str().unwrap_or("").to_owned();
    match r.path.as_str() {
        // Small says that it has room, and refuses all the same.
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
            if p.lose > 0 {
                p.lose -= 1;
                return Reply { cut: true, ..Reply::new(200) };
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

struct World {
    platform: Arc<Mutex<Platform>>,
    settings: Settings,
    control: Arc<RpcClient>,
}

impl World {
    async fn new() -> World {
        let platform = Arc::new(Mutex::new(Platform::default()));
        let p = platform.clone();
        let address = loopback::platform(move |r| answer(&p, r)).await;
        let settings = loopback::settings("functions", &address, 50_000);
        let control = RpcClient::new(&format!("127.0.0.1:{}", settings.port_range[0]), WAIT);
        World { platform, settings, control }
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

    /// Asks until there is a processor, as a slot owner does.
    async fn started(&self, nonce: &str) -> String {
        let begun = Instant::now();
        loop {
            let a = self.start("f", nonce).await;
            if !a.processor.is_empty() {
                return a.processor;
            }
            assert!(begun.elapsed() < 3 * WAIT, "nothing started by {nonce}: {a:?}");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
}

#[tokio::test(flavor = "current_thread")]
async fn a_start_is_carried_out_once_whatever_is_lost() {
    let w = World::new().await;
    let (stop, running) = w.run();
    loopback::order(&w.settings, "/config/replace", CONFIG).await;
    // Two answers are lost after the platform did it; one worker refuses.
    w.platform.lock().unwrap().lose = 2;
    let a = w.started("n-1").await;
    assert_eq!(a, "i-1");
    assert_eq!(w.started("n-1").await, a, "asked again by the same nonce");
    assert_eq!(w.started("n-2").await, "i-2");
    // No worker is large enough: told at once, and nothing was called for it.
    let calls = w.platform.lock().unwrap().calls;
    let none = w.start("big", "n-3").await;
    assert!(none.full && none.processor.is_empty());
    assert!(w.start("unknown", "n-4").await.full);
    assert_eq!(w.platform.lock().unwrap().calls, calls);
    // The leader ends and another incarnation of it goes on: the list is the truth, the nonce
    // still comes to the same processor, and the fence is a higher one.
    let before = w.platform.lock().unwrap().fences.iter().copied().max().expect("some");
    let _ = stop.send(true);
    running.await.expect("no panic").expect("it ends well");
    let (stop, running) = w.run();
    w.platform.lock().unwrap().lose = 1;
    assert_eq!(w.started("n-2").await, "i-2");
    {
        let p = w.platform.lock().unwrap();
        assert_eq!(p.started.len(), 2, "none was started twice");
        assert!(*p.fences.last().expect("some") > before && before > 0);
    }
    // Stopped, and stopped again by one that did not hear of it.
    for _ in 0..2 {
        let stop = Body::Stop(StopProcessor { processor: "i-1".into() });
        assert!(matches!(w.control.call(stop, WAIT).await, Ok(Body::Ack(_))));
    }
    // A slot owner that is not known to the membership is told nothing that is another's.
    let ask = ProcessorsRequest { front: "front-9".into(), digest: 0 };
    match w.control.call(Body::ProcessorsRequest(ask), WAIT).await {
        Ok(Body::Processors(u)) => assert!(u.processors.is_empty()),
        other => panic!("{other:?}"),
    }
    let _ = stop.send(true);
    running.await.expect("no panic").expect("it ends well");
    let _ = std::fs::remove_dir_all(&w.settings.data_dir);
}
