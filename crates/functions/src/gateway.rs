//! The shell: takes clients' requests, gets a slot for each, passes it on, and
//! gives the answer back unchanged.

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

/// Where an ask for a slot is answered to.
enum Waiter {
    Far(Responder),
    Near(oneshot::Sender<SlotGrant>),
}

impl Waiter {
    fn send(self, g: SlotGrant) {
        match self {
            Waiter::Far(p) => p.send(Body::SlotGrant(g)),
            Waiter::Near(tx) => {
                let _ = tx.send(g);
            }
        }
    }
}

/// A front that does not answer: until when it is passed over, and in which incarnation.
struct Dark {
    until: Instant,
    incarnation: u64,
}

struct GatewayState {
    slot_table: SlotTable,
    waiters: HashMap<Holder, Waiter>,
    /// Fronts that do not answer, and until when they are left out.
    dark: HashMap<String, Dark>,
    /// Those of them that were known when slot owners were worked out last.
    passed_over: Vec<String>,
    /// How long runs take, by function, about.
    took: HashMap<String, f64>,
    /// What this front holds: by slot id, of which function, and until when.
    holds: HashMap<u64, (SlotHeld, Instant)>,
    retry_budget: RetryBudget,
}

pub struct FunctionGateway {
    settings: Settings,
    rpc_clients: Arc<RpcClients>,
    pool: Arc<ConnectionPool>,
    known: watch::Sender<ClusterView>,
    /// How far this process is on its way out.
    pub closing: watch::Sender<Closing>,
    shared: Mutex<GatewayState>,
    /// Fronts by which slot owners are chosen, as of the last membership.
    fronts: Mutex<Arc<Vec<rpc::Front>>>,
    /// The processors of what is kept here, as the leader told them last.
    processors: Mutex<Vec<Processor>>,
    start: Instant,
    slot_ids: AtomicU64,
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
            known: watch::channel(ClusterView::default()).0,
            closing: watch::channel(Closing::Open).0,
            shared: Mutex::new(GatewayState {
                slot_table: SlotTable::new(&settings.node, incarnation, (quiet / 40.0) as u64, (quiet / 4.0) as u64),
                waiters: HashMap::new(),
                dark: HashMap::new(),
                passed_over: Vec::new(),
                took: HashMap::new(),
                holds: HashMap::new(),
                retry_budget: RetryBudget::new(c.retry_ratio, window, Instant::now()),
            }),
            fronts: Mutex::default(),
            processors: Mutex::default(),
            start: Instant::now(),
            slot_ids: AtomicU64::new(incarnation),
            incarnation,
            settings,
        })
    }

    /// Takes what is new of the system, and works out anew who keeps what.
    pub fn learn(self: &Arc<Self>, update: &ViewUpdate) {
        if self.known.send_if_modified(|k| k.take(update)) {
            self.arrange();
        }
    }

    /// Carries out what comes with time, as long as the process runs.
    pub async fn keep_time(self: Arc<Self>) {
        let mut rounds = 0u64;
        loop {
            tokio::time::sleep(self.ratio(50.0)).await;
            rounds += 1;
            self.step(|c, now, out| c.tick(now, out));
            if self.dark() != self.shared.lock().unwrap().passed_over {
                self.arrange();
            }
            if rounds.is_multiple_of(50) {
                self.pool.sweep(|_| true);
            }
            if rounds.is_multiple_of(400) {
                telemetry::report(&self.settings.node, &rpc::sent());
            }
        }
    }

    fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64 + 1_000_000
    }

    fn ratio(&self, part: f64) -> Duration {
        Duration::from_micros((self.settings.constraints.quiet_ms * 1000.0 / part) as u64)
    }

    fn is_ready(&self) -> bool {
        let k = self.known.borrow();
        *self.closing.borrow() == Closing::Open
            && k.configuration.revision > 0
            && !self.fronts.lock().unwrap().is_empty()
    }

    fn bounds(&self) -> Bounds {
        let l = &self.known.borrow().configuration.limits;
        Bounds::told(l.header_bytes, l.body_bytes, l.header_ms, l.idle_ms)
    }

    /// Follows the agent beside it; keeps what it is to keep.
    async fn follow(self: Arc<Self>) {
        let follower = Follower::new(&self.settings, self.rpc_clients.clone(), self.incarnation);
        let have = || self.known.borrow().have();
        let is_leaving = |closing: &Closing| *closing != Closing::Open;
        let learn = |news: &ViewUpdate, _| self.learn(news);
        follower.run(self.closing.subscribe(), is_leaving, have, || self.pool.unidentified(), learn).await;
    }
}

/// Gives the slot back when nobody waits for it any more.
struct Back<'a> {
    functions: &'a Arc<FunctionGateway>,
    /// The slot owner that was asked; None: whoever it is by then.
    to: Option<(String, String)>,
    back: Option<SlotRelease>,
}

impl Drop for Back<'_> {
    fn drop(&mut self) {
        if let Some(b) = self.back.take() {
            match self.to.take() {
                Some(to) => self.functions.tell_to(Some(to), b),
                None => self.functions.tell(b),
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
    tokio::spawn(rpc::serve(inner, silence, move |body, responder| s.handle(body, responder)));
    tokio::spawn(functions.clone().follow());
    tokio::spawn(functions.clone().ask_processors());
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
        move |r| s.clone().answer(r),
    ));
    tokio::spawn(functions.clone().keep_time());
    let _ = stop.wait_for(|s| *s).await;
    telemetry::change!("draining");
    let grace = Duration::from_millis((settings.constraints.grace_s * 1000.0) as u64);
    http1::end_in_order(&functions.closing, grace, silence / 10, || true).await;
    telemetry::report(&settings.node, &rpc::sent());
    Ok(())
}
