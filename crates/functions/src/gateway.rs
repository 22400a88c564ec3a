//! The shell: takes clients' requests, gets a slot for each, passes it on, and
//! gives the answer back unchanged.

mod forward;
mod slot_client;
mod slot_service;

use crate::slots::*;
use agent::{ClusterView, Follower};
use config::{Role, Route, Settings};
use http1::{Answer, Bounds, ClientWatch, Closing, ConnectionPool, Reply, Request};
use proxy::{ClientRequest, ConnectionRules, Failure, RetryBudget, SendOutcome, Target, busy, hedged, send};
use rpc::messages::*;
use rpc::{Body, DeliveryFailure, ExecutionOutcome, Responder, RetryOwner, RetrySafety, RpcClients};
use std::collections::{HashMap, HashSet};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::sync::{oneshot, watch};

/// Where an ask for a slot is answered to.
enum Waiter {
    Remote(Responder),
    Local(oneshot::Sender<SlotGrant>),
}

impl Waiter {
    fn send(self, g: SlotGrant) {
        match self {
            Waiter::Remote(p) => p.send(Body::SlotGrant(g)),
            Waiter::Local(tx) => {
                let _ = tx.send(g);
            }
        }
    }
}

/// A front that does not answer: until when it is passed over, and in which incarnation.
struct UnresponsiveFront {
    until: Instant,
    incarnation: u64,
}

struct GatewayState {
    slot_table: SlotTable,
    waiters: HashMap<Holder, Waiter>,
    /// Fronts that do not answer, and until when they are left out.
    unresponsive: HashMap<String, UnresponsiveFront>,
    /// Those of them that were known when slot owners were worked out last.
    excluded_fronts: Vec<String>,
    /// How long runs take, by function, about.
    mean_run_ms: HashMap<String, f64>,
    /// What this front holds: by slot id, of which function, and until when.
    held_slots: HashMap<u64, (SlotHeld, Instant)>,
    retry_budget: RetryBudget,
}

pub struct FunctionGateway {
    settings: Settings,
    rpc_clients: Arc<RpcClients>,
    pool: Arc<ConnectionPool>,
    view: watch::Sender<ClusterView>,
    /// How far this process is on its way out.
    pub closing: watch::Sender<Closing>,
    state: Mutex<GatewayState>,
    /// Fronts by which slot owners are chosen, as of the last membership.
    fronts: Mutex<Arc<Vec<rpc::Front>>>,
    /// The processors of what is kept here, as the leader told them last.
    processors: Mutex<Vec<Processor>>,
    started_at: Instant,
    next_slot_id: AtomicU64,
    incarnation: u64,
}

impl FunctionGateway {
    /// A front that knows of nothing yet.
    pub fn new(settings: Settings) -> Arc<FunctionGateway> {
        let c = &settings.constraints;
        let quiet = c.quiet_ms;
        let silence = Duration::from_millis((quiet / 4.0) as u64);
        let window = Duration::from_secs_f64(c.retry_window_s.max(0.1));
        let incarnation = rpc::new_incarnation();
        Arc::new(FunctionGateway {
            rpc_clients: RpcClients::new(silence),
            pool: ConnectionPool::new(silence),
            view: watch::channel(ClusterView::default()).0,
            closing: watch::channel(Closing::Open).0,
            state: Mutex::new(GatewayState {
                slot_table: SlotTable::new(&settings.node, incarnation, (quiet / 40.0) as u64, (quiet / 4.0) as u64),
                waiters: HashMap::new(),
                unresponsive: HashMap::new(),
                excluded_fronts: Vec::new(),
                mean_run_ms: HashMap::new(),
                held_slots: HashMap::new(),
                retry_budget: RetryBudget::new(c.retry_ratio, window, Instant::now()),
            }),
            fronts: Mutex::default(),
            processors: Mutex::default(),
            started_at: Instant::now(),
            next_slot_id: AtomicU64::new(incarnation),
            incarnation,
            settings,
        })
    }

    /// Takes what is new of the system, and works out anew who keeps what.
    pub fn apply_update(self: &Arc<Self>, update: &ViewUpdate) {
        if self.view.send_if_modified(|k| k.take(update)) {
            self.reassign_functions();
        }
    }

    /// Carries out what comes with time, as long as the process runs.
    pub async fn run_timers(self: Arc<Self>) {
        let mut rounds = 0u64;
        loop {
            tokio::time::sleep(self.quiet_fraction(50.0)).await;
            rounds += 1;
            self.update_slots(|c, now, out| c.tick(now, out));
            if self.unresponsive_fronts() != self.state.lock().unwrap().excluded_fronts {
                self.reassign_functions();
            }
            if rounds.is_multiple_of(50) {
                self.pool.sweep(|_| true);
            }
            if rounds.is_multiple_of(400) {
                telemetry::report(&self.settings.node, &rpc::sent());
            }
        }
    }

    fn now_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64 + 1_000_000
    }

    fn quiet_fraction(&self, part: f64) -> Duration {
        Duration::from_micros((self.settings.constraints.quiet_ms * 1000.0 / part) as u64)
    }

    fn is_ready(&self) -> bool {
        let k = self.view.borrow();
        *self.closing.borrow() == Closing::Open
            && k.configuration.revision > 0
            && !self.fronts.lock().unwrap().is_empty()
    }

    fn bounds(&self) -> Bounds {
        let l = &self.view.borrow().configuration.limits;
        Bounds::told(l.header_bytes, l.body_bytes, l.header_ms, l.idle_ms)
    }

    /// Follows the agent beside it; keeps what it is to keep.
    async fn follow_agent(self: Arc<Self>) {
        let follower = Follower::new(&self.settings, self.rpc_clients.clone(), self.incarnation);
        let have = || self.view.borrow().have();
        let is_leaving = |closing: &Closing| *closing != Closing::Open;
        let learn = |news: &ViewUpdate, _| self.apply_update(news);
        follower.run(self.closing.subscribe(), is_leaving, have, || self.pool.unidentified(), learn).await;
    }
}

/// Gives the slot back when nobody waits for it any more.
struct SlotReleaseGuard<'a> {
    gateway: &'a Arc<FunctionGateway>,
    /// The slot owner that was asked; None: whoever it is by then.
    owner: Option<(String, String)>,
    release: Option<SlotRelease>,
}

impl Drop for SlotReleaseGuard<'_> {
    fn drop(&mut self) {
        if let Some(b) = self.release.take() {
            match self.owner.take() {
                Some(to) => self.gateway.report_slot_to(Some(to), b),
                None => self.gateway.report_slot(b),
            }
        }
    }
}

/// Runs a function gateway until it is told to stop.
pub async fn run(settings: Settings, mut stop: watch::Receiver<bool>) -> Result<(), String> {
    let silence = Duration::from_millis((settings.constraints.quiet_ms / 4.0) as u64);
    let functions = FunctionGateway::new(settings.clone());
    let bind = async |addr: String| tokio::net::TcpListener::bind(&addr).await.map_err(|e| format!("{addr}: {e}"));
    let inner = bind(settings.inner_addr(Role::Front)).await?;
    let s = functions.clone();
    tokio::spawn(rpc::serve(inner, silence, move |body, responder| s.handle_rpc(body, responder)));
    tokio::spawn(functions.clone().follow_agent());
    tokio::spawn(functions.clone().poll_processors());
    let s = functions.clone();
    let ready = bind(settings.listen.ready.clone()).await?;
    let open = watch::channel(Closing::Open);
    tokio::spawn(http1::listen(ready, Bounds::default, open.1, ClientWatch::Off, move |_| {
        let ok = s.is_ready();
        async move { if ok { Reply::new(200) } else { Reply::new(503) } }
    }));
    let clients = bind(settings.listen.front.clone()).await?;
    let (s, sb) = (functions.clone(), functions.clone());
    tokio::spawn(http1::listen(
        clients,
        move || sb.bounds(),
        functions.closing.subscribe(),
        ClientWatch::On,
        move |r| s.clone().handle_request(r),
    ));
    tokio::spawn(functions.clone().run_timers());
    let _ = stop.wait_for(|s| *s).await;
    telemetry::change!("draining");
    let grace = Duration::from_millis((settings.constraints.grace_s * 1000.0) as u64);
    http1::end_in_order(&functions.closing, grace, silence / 10, || true).await;
    telemetry::report(&settings.node, &rpc::sent());
    Ok(())
}
