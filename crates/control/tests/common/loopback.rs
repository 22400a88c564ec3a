//! Runs a control node on loopback, with a platform that the test simulates.

use config::Settings;
use http1::{Bounds, Call, ClientWatch, Closing, ConnectionPool, Reply, Request};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::watch;

pub const WAIT: Duration = Duration::from_secs(5);

/// Starts a simulated platform that answers each request by `answer`; returns its address.
pub async fn platform(answer: impl Fn(&Request) -> Reply + Send + Sync + 'static) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    let (keep_open, closing) = watch::channel(Closing::Open);
    std::mem::forget(keep_open);
    let answer = std::sync::Arc::new(answer);
    tokio::spawn(http1::listen(listener, Bounds::default, closing, ClientWatch::Off, move |request| {
        let answer = answer.clone();
        async move { answer(&request) }
    }));
    address
}

/// Settings of a control node for the deployment kind `rollout`, on free ports above `first_port`.
pub fn settings(rollout: &str, platform: &str, first_port: u16) -> Settings {
    let from = first_port + (std::process::id() % 400) as u16 * 20;
    let free = |b: &u16| (*b..*b + 6).all(|p| std::net::TcpListener::bind(("127.0.0.1", p)).is_ok());
    let base = (from..first_port + 10_000).step_by(20).find(free).expect("free ports") as u32;
    let data = std::env::temp_dir().join(format!("willowslip-control-{rollout}-{base}"));
    let mut settings = Settings {
        node: "core-1".into(),
        ip: "127.0.0.1".into(),
        zone: "z".into(),
        port_range: vec![base, base + 3],
        seeds: vec![format!("127.0.0.1:{}", base + 4)],
        initial_start: true,
        rollout: rollout.into(),
        data_dir: data.display().to_string(),
        ..Settings::default()
    };
    settings.listen.control = format!("127.0.0.1:{}", base + 4);
    (settings.limits.memory_mb, settings.limits.disk_mb) = (128, 128);
    let constraints = &mut settings.constraints;
    (constraints.quiet_ms, constraints.ack_ms, constraints.settle_s) = (2000.0, 5000.0, 4.0);
    constraints.converge_ms = 1000.0;
    let platform = platform.to_owned();
    (settings.platform.address, settings.platform.duty_per_s, settings.platform.lag_ms) = (platform, 200.0, 300.0);
    settings
}

/// Runs one incarnation of the control node in a runtime of its own, so that none of its tasks
/// outlives it.
pub fn run(settings: &Settings) -> (watch::Sender<bool>, tokio::task::JoinHandle<Result<(), String>>) {
    let (stop, stopped) = watch::channel(false);
    let settings = settings.clone();
    let incarnation = move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        let settings_updates = watch::channel(settings.clone()).1;
        runtime.block_on(control::run(settings, stopped, settings_updates))
    };
    (stop, tokio::task::spawn_blocking(incarnation))
}

/// Sends an operator order until it is acknowledged.
pub async fn order(settings: &Settings, path: &str, body: &str) {
    let pool = ConnectionPool::new(WAIT);
    let control = settings.listen.control.as_str();
    let headers = [("X-Base-Revision", "0")];
    let started = Instant::now();
    loop {
        let call = Call {
            method: "POST",
            path,
            host: control,
            headers: &headers,
            body: body.as_bytes(),
            id: "",
            newest: None,
            connect: None,
        };
        if pool.call(control, call, 2, WAIT).await.is_ok_and(|answer| answer.status == 200) {
            return;
        }
        assert!(started.elapsed() < 3 * WAIT, "order not acknowledged in time: {path}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}
