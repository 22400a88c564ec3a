//! The gateway service: its shared data, background tasks and listeners.

use crate::state::GatewayState;
use agent::{ClusterView, Follower};
use config::{Role, Settings};
use http1::{Bounds, ClientWatch, Closing, ConnectionPool, Reply};
use rpc::messages::{StatusAck, ViewUpdate};
use rpc::{Body, Responder, RpcClients};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// A gateway with its view of the cluster and its requests in flight.
pub struct GatewayService {
    pub(crate) settings: Settings,
    pub(crate) rpc_clients: Arc<RpcClients>,
    pub(crate) pool: Arc<ConnectionPool>,
    pub(crate) known: watch::Sender<ClusterView>,
    /// The shutdown phase of this process.
    pub closing: watch::Sender<Closing>,
    pub(crate) incarnation: u64,
    state: Mutex<GatewayState>,
    start: Instant,
}

impl GatewayService {
    /// A gateway without configuration or members.
    pub fn new(settings: Settings) -> Arc<GatewayService> {
        let silence = Duration::from_millis((settings.constraints.quiet_ms / 4.0) as u64);
        let idle = Duration::from_millis(settings.constraints.quiet_ms as u64);
        Arc::new(GatewayService {
            rpc_clients: RpcClients::new(silence),
            pool: ConnectionPool::new(idle),
            known: watch::channel(ClusterView::default()).0,
            closing: watch::channel(Closing::Open).0,
            incarnation: rpc::new_incarnation(),
            state: Mutex::new(GatewayState::new(&settings)),
            start: Instant::now(),
            settings,
        })
    }

    pub(crate) fn with_state<T>(&self, f: impl FnOnce(&mut GatewayState) -> T) -> T {
        f(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }

    pub(crate) fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// `quietMs` divided by `divisor`.
    pub(crate) fn quiet_fraction(&self, divisor: f64) -> Duration {
        Duration::from_micros((self.settings.constraints.quiet_ms * 1000.0 / divisor) as u64)
    }

    /// Applies an update of the cluster view.
    pub fn apply_update(&self, update: &ViewUpdate, asked_at: Instant) {
        if self.known.send_if_modified(|known| known.take_answer(update, asked_at)) {
            let view = self.known.borrow().clone();
            self.with_state(|state| state.apply_view(&view, &self.settings));
        }
    }

    /// Whether this gateway is ready for client requests.
    pub fn is_ready(&self) -> bool {
        let known = self.known.borrow();
        *self.closing.borrow() == Closing::Open && known.configuration.revision > 0 && known.membership.listed
    }

    fn bounds(&self) -> Bounds {
        let limits = &self.known.borrow().configuration.limits;
        Bounds::from_settings(limits.header_bytes, limits.body_bytes, limits.header_ms, limits.idle_ms)
            .with_memory(self.settings.limits.memory_mb)
    }

    async fn follow_cluster(self: Arc<Self>) {
        let follower = Follower::new(&self.settings, self.rpc_clients.clone(), self.incarnation);
        let have = || self.known.borrow().have();
        let is_leaving = |phase: &Closing| *phase != Closing::Open;
        let apply_update = |update: &ViewUpdate, asked_at| self.apply_update(update, asked_at);
        follower.run(self.closing.subscribe(), is_leaving, have, || self.pool.unidentified(), apply_update).await;
    }

    /// Closes connections that were idle for too long, and reports counters periodically.
    async fn sweep_and_report(self: Arc<Self>) {
        const REPORT_EVERY: u64 = 30;
        let period = self.quiet_fraction(4.0);
        let mut rounds = 0u64;
        loop {
            tokio::time::sleep(period).await;
            rounds += 1;
            self.pool.sweep(|_| true);
            if rounds.is_multiple_of(REPORT_EVERY) {
                telemetry::report(&self.settings.node, &rpc::sent_frame_stats());
            }
        }
    }

    fn handle(&self, body: Body, responder: Responder) {
        if matches!(body, Body::Status(_)) {
            let known = self.known.borrow();
            let have = known.have();
            let json = serde_json::json!({"node": self.settings.node, "ready": self.is_ready(),
                "configuration": have.configuration, "membership": have.membership,
                "processors": known.membership.processors.len(), "counters": telemetry::render()});
            responder.send(Body::StatusAck(StatusAck { json: json.to_string() }));
        }
    }
}

async fn bind(address: &str) -> Result<tokio::net::TcpListener, String> {
    tokio::net::TcpListener::bind(address).await.map_err(|e| format!("{address}: {e}"))
}

/// Runs a gateway until `stop` becomes true, then drains it.
pub async fn run(settings: Settings, mut stop: watch::Receiver<bool>) -> Result<(), String> {
    let silence = Duration::from_millis((settings.constraints.quiet_ms / 4.0) as u64);
    let gateway = GatewayService::new(settings.clone());
    let inner = bind(&settings.inner_addr(Role::Front)).await?;
    let ready = bind(&settings.listen.ready).await?;
    let clients = bind(&settings.listen.front).await?;
    let rpc_handler = gateway.clone();
    tokio::spawn(rpc::serve(inner, silence, move |body, responder| rpc_handler.handle(body, responder)));
    tokio::spawn(gateway.clone().follow_cluster());
    tokio::spawn(gateway.clone().keep_cold_leases());
    tokio::spawn(gateway.clone().sweep_and_report());
    let readiness_source = gateway.clone();
    // Readiness checks are answered until the process ends, also while the gateway drains.
    let (_keep_open, open) = watch::channel(Closing::Open);
    tokio::spawn(http1::listen(ready, Bounds::default, open, ClientWatch::Off, move |_| {
        let status = if readiness_source.is_ready() { 200 } else { 503 };
        async move { Reply::new(status) }
    }));
    let (bounds_source, request_handler) = (gateway.clone(), gateway.clone());
    let closing = gateway.closing.subscribe();
    tokio::spawn(http1::listen(
        clients,
        move || bounds_source.bounds(),
        closing,
        ClientWatch::On,
        move |request| request_handler.clone().answer(request),
    ));
    let _ = stop.wait_for(|stop| *stop).await;
    telemetry::change!("draining");
    let grace = Duration::from_millis((settings.constraints.grace_s * 1000.0) as u64);
    http1::shut_down_gracefully(&gateway.closing, grace, silence / 10, || true).await;
    telemetry::report(&settings.node, &rpc::sent_frame_stats());
    Ok(())
}
