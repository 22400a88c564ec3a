//! The front's service: its view of the cluster and its listeners.

use crate::delivery::DeliveryWorker;
use crate::owner_calls::OwnerAddress;
use agent::{ClusterView, Follower};
use config::{Role, Settings};
use http1::{Bounds, ClientWatch, Closing, Reply, Request};
use rpc::messages::ViewUpdate;
use rpc::{PeerOptions, RpcClients};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// State shared by all requests of a front.
pub struct FrontService {
    pub settings: Settings,
    pub rpc_clients: Arc<RpcClients>,
    /// The newest view of the cluster that the local agent has sent.
    pub view: watch::Sender<ClusterView>,
    /// Phase of the shutdown.
    pub closing: watch::Sender<Closing>,
}

/// An error reply with a JSON body that states the reason.
pub(crate) fn fault(status: u16, why: &str) -> Reply {
    Reply::json(status, serde_json::json!({ "fault": why }).to_string())
}

/// The reply to a message that is longer than this system carries. `limit_bytes` is the longest body.
pub(crate) fn too_long(limit_bytes: u64) -> Reply {
    Reply::json(413, serde_json::json!({ "fault": "message too long", "limitBytes": limit_bytes }).to_string())
}

/// The reply while the configuration is not confirmed to be the newest.
pub(crate) fn stale() -> Reply {
    telemetry::count("refused_stale");
    fault(503, "the configuration is not known to be fresh").with("Retry-After", "1")
}

impl FrontService {
    pub fn new(settings: Settings) -> Arc<FrontService> {
        let silence_limit = Duration::from_millis((settings.constraints.quiet_ms / 4.0) as u64);
        Arc::new(FrontService {
            rpc_clients: RpcClients::new(PeerOptions::new(silence_limit, settings.limits.memory_mb)),
            view: watch::channel(ClusterView::default()).0,
            closing: watch::channel(Closing::Open).0,
            settings,
        })
    }

    /// `quietMs` divided by `divisor`.
    pub(crate) fn quiet_fraction(&self, divisor: f64) -> Duration {
        Duration::from_micros((self.settings.constraints.quiet_ms * 1000.0 / divisor) as u64)
    }

    /// The inner address of a partition's owner; `None` if it is unknown.
    pub fn owner_address(&self, partition: u32) -> Option<String> {
        OwnerAddress::of(&self.view.borrow(), partition).map(|owner| owner.inner)
    }

    /// The limits on clients' requests.
    pub(crate) fn bounds(&self) -> Bounds {
        let limits = &self.view.borrow().configuration.limits;
        let configured =
            Bounds::from_settings(limits.header_bytes, limits.body_bytes, limits.header_ms, limits.idle_ms);
        let carried = Bounds { body_bytes: configured.body_bytes.min(self.max_body_bytes()), ..configured };
        carried.with_memory(self.settings.limits.memory_mb)
    }

    /// The longest frame that this process accepts, in bytes.
    pub(crate) fn max_frame_bytes(&self) -> usize {
        rpc::max_frame_bytes(self.settings.limits.memory_mb)
    }

    /// The longest body that this process carries, in bytes, whatever the configuration allows.
    fn max_body_bytes(&self) -> usize {
        rpc::max_body_bytes(self.max_frame_bytes())
    }

    /// Logs that a configuration allows longer bodies than this process carries.
    fn check_body_limit(&self, view: &ClusterView) {
        let (allowed, carried) = (view.configuration.limits.body_bytes, self.max_body_bytes() as u64);
        if allowed > carried {
            telemetry::error!(
                "configuration {} allows bodies of {allowed} bytes; with {} MB of memory this process carries \
                 {carried} bytes and answers longer ones with 413",
                view.configuration.revision,
                self.settings.limits.memory_mb
            );
        }
    }

    /// Whether this front can serve clients; the result of the readiness probe.
    pub fn is_ready(&self) -> bool {
        let view = self.view.borrow();
        *self.closing.borrow() == Closing::Open
            && view.configuration.revision > 0
            && !view.assignments.partitions.is_empty()
            && view.membership.nodes.iter().any(|node| node.role == "store")
            && self.is_fresh(&view)
    }

    /// Whether this front may act on its configuration. If machines must confirm that their
    /// configuration is the newest, the last confirmation has to be recent enough. This is checked
    /// after a request was read completely, so every request that passes was sent before the check.
    pub(crate) fn is_fresh(&self, view: &ClusterView) -> bool {
        let bound = self.settings.constraints.freshness_bound();
        bound.is_none_or(|bound| view.freshness.is_within(bound, Instant::now()))
    }

    /// Handles a client's request.
    pub async fn answer(self: Arc<Self>, request: Request) -> Reply {
        let path = request.path.split('?').next().unwrap_or("");
        if request.method == "GET" {
            if let Some(name) = path.strip_prefix("/message/") {
                return self.look_up(name, &request, false).await;
            }
            if let Some(name) = path.strip_prefix("/message-body/") {
                return self.look_up(name, &request, true).await;
            }
        }
        self.accept_message(request).await
    }

    /// Applies the view updates of the local agent until the process ends.
    async fn follow(self: Arc<Self>, worker: Arc<DeliveryWorker>) {
        let follower = Follower::new(&self.settings, self.rpc_clients.clone(), rpc::new_incarnation());
        let have = || self.view.borrow().have();
        let apply = |update: &ViewUpdate, asked_at| {
            self.view.send_if_modified(|view| {
                let revision = view.configuration.revision;
                let is_changed = view.take_answer(update, asked_at);
                if view.configuration.revision != revision {
                    self.check_body_limit(view);
                }
                is_changed
            });
        };
        let is_leaving = |closing: &Closing| *closing != Closing::Open;
        follower.run(self.closing.subscribe(), is_leaving, have, || worker.unidentified(), apply).await;
    }
}

/// Runs a front until `stop` is set, then drains it.
pub async fn run(settings: Settings, mut stop: watch::Receiver<bool>) -> Result<(), String> {
    let silence_limit = Duration::from_millis((settings.constraints.quiet_ms / 4.0) as u64);
    let front = FrontService::new(settings.clone());
    let worker = DeliveryWorker::new(front.clone());
    let bind = async |addr: String| tokio::net::TcpListener::bind(&addr).await.map_err(|e| format!("{addr}: {e}"));
    let inner = bind(settings.inner_addr(Role::Front)).await?;
    let handler = worker.clone();
    let peers = PeerOptions::new(silence_limit, settings.limits.memory_mb);
    tokio::spawn(rpc::serve(inner, peers, move |body, responder| handler.handle(body, responder)));
    tokio::spawn(front.clone().follow(worker.clone()));
    let probed = front.clone();
    let ready = bind(settings.listen.ready.clone()).await?;
    let (_open, always_open) = watch::channel(Closing::Open);
    tokio::spawn(http1::listen(ready, Bounds::default, always_open, ClientWatch::Off, move |_| {
        let is_ready = probed.is_ready();
        async move { if is_ready { Reply::new(200) } else { Reply::new(503) } }
    }));
    let clients = bind(settings.listen.front.clone()).await?;
    let (answering, limited) = (front.clone(), front.clone());
    tokio::spawn(http1::listen(
        clients,
        move || limited.bounds(),
        front.closing.subscribe(),
        ClientWatch::Off,
        move |request| answering.clone().answer(request),
    ));
    let (ticking, tick_interval) = (worker.clone(), silence_limit / 10);
    tokio::spawn(async move {
        loop {
            tokio::time::sleep(tick_interval).await;
            ticking.tick();
        }
    });
    let swept = worker.clone();
    let name = settings.node.clone();
    tokio::spawn(async move {
        let mut rounds = 0u64;
        loop {
            tokio::time::sleep(silence_limit).await;
            rounds += 1;
            swept.sweep();
            if rounds.is_multiple_of(30) {
                telemetry::report(&name, &rpc::sent_frame_stats());
            }
        }
    });
    let _ = stop.wait_for(|stopped| *stopped).await;
    telemetry::change!("draining");
    let grace = Duration::from_millis((settings.constraints.grace_s * 1000.0) as u64);
    http1::shut_down_gracefully(&front.closing, grace, silence_limit / 10, || worker.is_idle()).await;
    telemetry::report(&settings.node, &rpc::sent_frame_stats());
    Ok(())
}
