//! The gateway of the front role: accepts clients' requests, acquires a slot for each, forwards it
//! and returns the answer unchanged.

mod forward;
mod slot_client;
mod slot_service;

use crate::slots::*;
use agent::{ClusterView, Follower};
use config::{Role, Route, Settings};
use http1::{Answer, Bounds, ClientWatch, Closing, ConnectionPool, Reply, Request};
use proxy::{ClientRequest, ConnectionRules, Failure, RetryBudget, SendOutcome, Target, hedged, send, unavailable};
use rpc::messages::*;
use rpc::{Body, DeliveryFailure, ExecutionOutcome, Responder, RetryOwner, RetrySafety, RpcClients};
use std::collections::{HashMap, HashSet};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::sync::{oneshot, watch};

/// Where the answer to a slot request goes: to another front, or to a request of this one.
enum Waiter {
    Remote(Responder),
    Local(oneshot::Sender<SlotGrant>),
}

impl Waiter {
    fn send(self, grant: SlotGrant) {
        match self {
            Waiter::Remote(responder) => responder.send(Body::SlotGrant(grant)),
            Waiter::Local(sender) => {
                let _ = sender.send(grant);
            }
        }
    }
}

/// A front that did not answer. It is excluded as a slot owner until `until`, or until it begins
/// another incarnation.
struct UnresponsiveFront {
    until: Instant,
    incarnation: u64,
}

struct GatewayState {
    slot_table: SlotTable,
    waiters: HashMap<Holder, Waiter>,
    unresponsive: HashMap<String, UnresponsiveFront>,
    /// The unresponsive fronts that were excluded when slot owners were last determined.
    excluded_fronts: Vec<String>,
    /// Moving average of the duration of runs, by function.
    mean_run_ms: HashMap<String, f64>,
    /// The slots that this front holds, by slot id, each with the time at which its hold expires.
    held_slots: HashMap<u64, (SlotHeld, Instant)>,
    retry_budget: RetryBudget,
}

pub struct FunctionGateway {
    settings: Settings,
    rpc_clients: Arc<RpcClients>,
    pool: Arc<ConnectionPool>,
    view: watch::Sender<ClusterView>,
    /// The stage of this process's shutdown.
    pub closing: watch::Sender<Closing>,
    state: Mutex<GatewayState>,
    /// The fronts of the current membership, among which slot owners are chosen.
    fronts: Mutex<Arc<Vec<rpc::Front>>>,
    /// The processors of the functions that this front owns, as the leader last reported them.
    processors: Mutex<Vec<Processor>>,
    started_at: Instant,
    next_slot_id: AtomicU64,
    incarnation: u64,
}

impl FunctionGateway {
    /// A gateway that has not yet received a cluster view.
    pub fn new(settings: Settings) -> Arc<FunctionGateway> {
        let constraints = &settings.constraints;
        let quiet_ms = constraints.quiet_ms;
        let silence = Duration::from_millis((quiet_ms / 4.0) as u64);
        let retry_window = Duration::from_secs_f64(constraints.retry_window_s.max(0.1));
        let incarnation = rpc::new_incarnation();
        Arc::new(FunctionGateway {
            rpc_clients: RpcClients::new(silence),
            pool: ConnectionPool::new(silence),
            view: watch::channel(ClusterView::default()).0,
            closing: watch::channel(Closing::Open).0,
            state: Mutex::new(GatewayState {
                slot_table: SlotTable::new(
                    &settings.node,
                    incarnation,
                    (quiet_ms / 40.0) as u64,
                    (quiet_ms / 4.0) as u64,
                ),
                waiters: HashMap::new(),
                unresponsive: HashMap::new(),
                excluded_fronts: Vec::new(),
                mean_run_ms: HashMap::new(),
                held_slots: HashMap::new(),
                retry_budget: RetryBudget::new(constraints.retry_ratio, retry_window, Instant::now()),
            }),
            fronts: Mutex::default(),
            processors: Mutex::default(),
            started_at: Instant::now(),
            next_slot_id: AtomicU64::new(incarnation),
            incarnation,
            settings,
        })
    }

    /// Applies the newer parts of a cluster view, and determines the slot owners again if there
    /// were any.
    pub fn apply_update(self: &Arc<Self>, update: &ViewUpdate) {
        if self.view.send_if_modified(|view| view.take(update)) {
            self.reassign_functions();
        }
    }

    /// Runs the periodic work for as long as the process runs.
    pub async fn run_timers(self: Arc<Self>) {
        let mut rounds = 0u64;
        loop {
            tokio::time::sleep(self.quiet_fraction(50.0)).await;
            rounds += 1;
            self.update_slots(|slot_table, now, effects| slot_table.tick(now, effects));
            if self.unresponsive_fronts() != self.state.lock().unwrap().excluded_fronts {
                self.reassign_functions();
            }
            if rounds.is_multiple_of(50) {
                self.pool.sweep(|_| true);
            }
            if rounds.is_multiple_of(400) {
                telemetry::report(&self.settings.node, &rpc::sent_frame_stats());
            }
        }
    }

    /// The clock of the slot table. It starts at 1 000 000.
    fn now_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64 + 1_000_000
    }

    /// `quietMs` divided by `divisor`.
    fn quiet_fraction(&self, divisor: f64) -> Duration {
        Duration::from_micros((self.settings.constraints.quiet_ms * 1000.0 / divisor) as u64)
    }

    fn is_ready(&self) -> bool {
        let view = self.view.borrow();
        *self.closing.borrow() == Closing::Open
            && view.configuration.revision > 0
            && !self.fronts.lock().unwrap().is_empty()
    }

    fn request_bounds(&self) -> Bounds {
        let limits = &self.view.borrow().configuration.limits;
        Bounds::from_settings(limits.header_bytes, limits.body_bytes, limits.header_ms, limits.idle_ms)
            .with_memory(self.settings.limits.memory_mb)
    }

    /// Follows the local agent, and applies the cluster views that it sends.
    async fn follow_agent(self: Arc<Self>) {
        let follower = Follower::new(&self.settings, self.rpc_clients.clone(), self.incarnation);
        let have = || self.view.borrow().have();
        let is_leaving = |closing: &Closing| *closing != Closing::Open;
        let apply = |update: &ViewUpdate, _| self.apply_update(update);
        follower.run(self.closing.subscribe(), is_leaving, have, || self.pool.unidentified(), apply).await;
    }
}

/// Releases a slot when it is dropped with `release` still set, as its request was cancelled.
struct SlotReleaseGuard<'a> {
    gateway: &'a Arc<FunctionGateway>,
    /// The name and address of the slot owner that was asked; `None` for the slot owner at the
    /// time of the release.
    owner: Option<(String, String)>,
    release: Option<SlotRelease>,
}

impl Drop for SlotReleaseGuard<'_> {
    fn drop(&mut self) {
        if let Some(release) = self.release.take() {
            match self.owner.take() {
                Some(owner) => self.gateway.report_slot_to(Some(owner), release),
                None => self.gateway.report_slot(release),
            }
        }
    }
}

/// Runs a function gateway until `stop` becomes true.
pub async fn run(settings: Settings, mut stop: watch::Receiver<bool>) -> Result<(), String> {
    let silence = Duration::from_millis((settings.constraints.quiet_ms / 4.0) as u64);
    let gateway = FunctionGateway::new(settings.clone());
    let bind =
        async |address: String| tokio::net::TcpListener::bind(&address).await.map_err(|e| format!("{address}: {e}"));
    let inner = bind(settings.inner_addr(Role::Front)).await?;
    let rpc_gateway = gateway.clone();
    tokio::spawn(rpc::serve(inner, silence, move |body, responder| rpc_gateway.handle_rpc(body, responder)));
    tokio::spawn(gateway.clone().follow_agent());
    tokio::spawn(gateway.clone().poll_processors());
    let ready_gateway = gateway.clone();
    let ready = bind(settings.listen.ready.clone()).await?;
    let open = watch::channel(Closing::Open);
    tokio::spawn(http1::listen(ready, Bounds::default, open.1, ClientWatch::Off, move |_| {
        let is_ready = ready_gateway.is_ready();
        async move { if is_ready { Reply::new(200) } else { Reply::new(503) } }
    }));
    let clients = bind(settings.listen.front.clone()).await?;
    let (request_gateway, bounds_gateway) = (gateway.clone(), gateway.clone());
    tokio::spawn(http1::listen(
        clients,
        move || bounds_gateway.request_bounds(),
        gateway.closing.subscribe(),
        ClientWatch::On,
        move |request| request_gateway.clone().handle_request(request),
    ));
    tokio::spawn(gateway.clone().run_timers());
    let _ = stop.wait_for(|is_stopping| *is_stopping).await;
    telemetry::change!("draining");
    let grace = Duration::from_millis((settings.constraints.grace_s * 1000.0) as u64);
    http1::shut_down_gracefully(&gateway.closing, grace, silence / 10, || true).await;
    telemetry::report(&settings.node, &rpc::sent_frame_stats());
    Ok(())
}
