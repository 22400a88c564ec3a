//! The front's service: what it knows, and the listeners that it answers on.

use crate::delivery::DeliveryWorker;
use crate::owner_calls::OwnerAddress;
use agent::{ClusterView, Follower};
use config::{Role, Settings};
use http1::{Bounds, ClientWatch, Closing, Reply, Request};
use rpc::RpcClients;
use rpc::messages::ViewUpdate;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::watch;

pub struct FrontService {
    pub settings: Settings,
    pub rpc_clients: Arc<RpcClients>,
    pub view: watch::Sender<ClusterView>,
    pub closing: watch::Sender<Closing>,
}

pub(crate) fn fault(status: u16, why: &str) -> Reply {
    Reply::json(status, serde_json::json!({ "fault": why }).to_string())
}

pub(crate) fn stale() -> Reply {
    telemetry::count("refused_stale");
    fault(503, "the configuration is not known to be fresh").with("Retry-After", "1")
}

impl FrontService {
    pub fn new(settings: Settings) -> Arc<FrontService> {
        let silence = Duration::from_millis((settings.constraints.quiet_ms / 4.0) as u64);
        Arc::new(FrontService {
            rpc_clients: RpcClients::new(silence),
            view: watch::channel(ClusterView::default()).0,
            closing: watch::channel(Closing::Open).0,
            settings,
        })
    }

    pub(crate) fn quiet_fraction(&self, divisor: f64) -> Duration {
        Duration::from_micros((self.settings.constraints.quiet_ms * 1000.0 / divisor) as u64)
    }

    pub fn owner_address(&self, partition: u32) -> Option<String> {
        OwnerAddress::of(&self.view.borrow(), partition).map(|owner| owner.inner)
    }

    fn bounds(&self) -> Bounds {
        let l = &self.view.borrow().configuration.limits;
        Bounds::told(l.header_bytes, l.body_bytes, l.header_ms, l.idle_ms)
    }

    pub fn is_ready(&self) -> bool {
        let k = self.view.borrow();
        *self.closing.borrow() == Closing::Open
            && k.configuration.revision > 0
            && !k.assignments.partitions.is_empty()
            && k.membership.nodes.iter().any(|n| n.role == "store")
            && self.is_fresh(&k)
    }

    /// Whether this front may act on its configuration: where machines have to show that
    /// theirs is the newest, it was shown a short while ago. Asked once a request is whole, so
    /// whatever passes was sent before that moment.
    pub(crate) fn is_fresh(&self, known: &ClusterView) -> bool {
        let bound = self.settings.constraints.freshness_bound();
        bound.is_none_or(|bound| known.freshness.is_within(bound, Instant::now()))
    }

    /// Answers a client's request.
    pub async fn answer(self: Arc<Self>, r: Request) -> Reply {
        let path = r.path.split('?').next().unwrap_or("");
        if r.method == "GET" {
            if let Some(name) = path.strip_prefix("/message/") {
                return self.look_up(name, &r, false).await;
            }
            if let Some(name) = path.strip_prefix("/message-body/") {
                return self.look_up(name, &r, true).await;
            }
        }
        self.accept_message(r).await
    }

    /// Takes the news from the agent beside it.
    async fn follow(self: Arc<Self>, worker: Arc<DeliveryWorker>) {
        let follower = Follower::new(&self.settings, self.rpc_clients.clone(), rpc::new_incarnation());
        let have = || self.view.borrow().have();
        let learn = |news: &ViewUpdate, asked_at| {
            self.view.send_if_modified(|known| known.take_answer(news, asked_at));
        };
        let is_leaving = |closing: &Closing| *closing != Closing::Open;
        follower.run(self.closing.subscribe(), is_leaving, have, || worker.unidentified(), learn).await;
    }
}

/// Runs a front until it is told to stop.
pub async fn run(settings: Settings, mut stop: watch::Receiver<bool>) -> Result<(), String> {
    let silence = Duration::from_millis((settings.constraints.quiet_ms / 4.0) as u64);
    let front = FrontService::new(settings.clone());
    let worker = DeliveryWorker::new(front.clone());
    let bind = async |addr: String| tokio::net::TcpListener::bind(&addr).await.map_err(|e| format!("{addr}: {e}"));
    let inner = bind(settings.inner_addr(Role::Front)).await?;
    let b = worker.clone();
    tokio::spawn(rpc::serve(inner, silence, move |body, responder| b.handle(body, responder)));
    tokio::spawn(front.clone().follow(worker.clone()));
    let h = front.clone();
    let ready = bind(settings.listen.ready.clone()).await?;
    let open = watch::channel(Closing::Open);
    tokio::spawn(http1::listen(ready, Bounds::default, open.1, ClientWatch::Off, move |_| {
        let ok = h.is_ready();
        async move { if ok { Reply::new(200) } else { Reply::new(503) } }
    }));
    let clients = bind(settings.listen.front.clone()).await?;
    let (h, hb) = (front.clone(), front.clone());
    tokio::spawn(http1::listen(
        clients,
        move || hb.bounds(),
        front.closing.subscribe(),
        ClientWatch::Off,
        move |r| h.clone().answer(r),
    ));
    let (b, beat) = (worker.clone(), silence / 10);
    tokio::spawn(async move {
        loop {
            tokio::time::sleep(beat).await;
            b.beat();
        }
    });
    let b = worker.clone();
    let name = settings.node.clone();
    tokio::spawn(async move {
        let mut rounds = 0u64;
        loop {
            tokio::time::sleep(silence).await;
            rounds += 1;
            b.sweep();
            if rounds.is_multiple_of(30) {
                telemetry::report(&name, &rpc::sent());
            }
        }
    });
    let _ = stop.wait_for(|s| *s).await;
    telemetry::change!("draining");
    let grace = Duration::from_millis((settings.constraints.grace_s * 1000.0) as u64);
    http1::end_in_order(&front.closing, grace, silence / 10, || worker.idle()).await;
    telemetry::report(&settings.node, &rpc::sent());
    Ok(())
}
