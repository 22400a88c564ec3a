use crate::callback::{CallbackError, CallbackUrl};
use crate::delivery::DeliveryWorker;
use crate::tenancy::{Refusal, operation_id, operation_key, tenant_if_any, tenant_name};
use agent::{ClusterView, Follower, PlacementKeys, partition_of};
use config::{ConfigurationIndex, Role, Settings};
use http1::{Bounds, ClientWatch, Closing, Reply, Request};
use rpc::messages::*;
use rpc::{Body, ExecutionOutcome, RpcClients};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// The part of `quietMs` after which an owner that answers nothing counts as silent. What
/// was written to it before that is unclear, so it is as short as a commit across regions
/// on a slow disk allows.
const OWNER_SILENCE_PART: f64 = 40.0;

pub struct FrontService {
    pub settings: Settings,
    pub rpc_clients: Arc<RpcClients>,
    pub known: watch::Sender<ClusterView>,
    pub closing: watch::Sender<Closing>,
}

fn fault(status: u16, why: &str) -> Reply {
    Reply::json(status, serde_json::json!({ "fault": why }).to_string())
}

fn stale() -> Reply {
    telemetry::count("refused_stale");
    fault(503, "the configuration is not known to be fresh").with("Retry-After", "1")
}

/// The tenant that asks for a message; empty for whoever shows no key.
fn asking_tenant<'a>(configuration: &'a ConfigurationIndex, r: &Request) -> Result<&'a str, Refusal> {
    if !configuration.has_tenants() {
        return Ok("");
    }
    Ok(tenant_if_any(configuration, r)?.map_or("", |tenant| &tenant.name))
}

fn owner_addr(k: &ClusterView, partition: u32) -> Option<(u64, String, String)> {
    let p = k.assignments.partitions.iter().find(|p| p.id == partition)?;
    let n = k.node(&p.owner, "store")?;
    Some((p.term, n.name.clone(), n.inner.clone()))
}

impl FrontService {
    pub fn new(settings: Settings) -> Arc<FrontService> {
        let silence = Duration::from_millis((settings.constraints.quiet_ms / 4.0) as u64);
        Arc::new(FrontService {
            rpc_clients: RpcClients::new(silence),
            known: watch::channel(ClusterView::default()).0,
            closing: watch::channel(Closing::Open).0,
            settings,
        })
    }

    fn ratio(&self, part: f64) -> Duration {
        Duration::from_micros((self.settings.constraints.quiet_ms * 1000.0 / part) as u64)
    }

    pub fn owner(&self, partition: u32) -> Option<String> {
        owner_addr(&self.known.borrow(), partition).map(|o| o.2)
    }

    fn bounds(&self) -> Bounds {
        let l = &self.known.borrow().configuration.limits;
        Bounds::told(l.header_bytes, l.body_bytes, l.header_ms, l.idle_ms)
    }

    pub fn is_ready(&self) -> bool {
        let k = self.known.borrow();
        *self.closing.borrow() == Closing::Open
            && k.configuration.revision > 0
            && !k.assignments.partitions.is_empty()
            && k.membership.nodes.iter().any(|n| n.role == "store")
            && self.is_fresh(&k)
    }

    /// Whether this front may act on its configuration: where machines have to show that
    /// theirs is the newest, it was shown a short while ago. Asked once a request is whole, so
    /// whatever passes was sent before that moment.
    fn is_fresh(&self, known: &ClusterView) -> bool {
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
        self.take(r).await
    }

    /// An owner that has answered nothing for so long is sent nothing new.
    fn owner_silence(&self) -> Duration {
        self.ratio(OWNER_SILENCE_PART)
    }

    /// Whether calls to each store node go unanswered.
    fn no_store_answers(&self, view: &ClusterView) -> bool {
        let mut stores = view.membership.nodes.iter().filter(|n| n.role == "store").peekable();
        stores.peek().is_some() && stores.all(|n| self.rpc_clients.to(&n.inner).stuck(self.owner_silence()))
    }

    /// Takes in one message; the answer says no more than is known.
    pub async fn take(&self, r: Request) -> Reply {
        let begun = Instant::now();
        let known = self.known.borrow().clone();
        if known.configuration.revision == 0 {
            return fault(503, "no configuration yet").with("Retry-After", "1");
        }
        if !self.is_fresh(&known) {
            return stale();
        }
        let host = r.header("host").unwrap_or("");
        let path = r.path.split('?').next().unwrap_or("");
        let Some(c) = known.configuration.route(host, path).filter(|c| c.mode == "deferred") else {
            return fault(404, "no such route");
        };
        let tenant = match tenant_name(&known.configuration, c.unkeyed, &r) {
            Ok(name) => name,
            Err(refusal) => return refusal.reply(),
        };
        if known.configuration.homes(c, tenant).is_nowhere() {
            telemetry::count("refused_no_home");
            return fault(403, "the route and the tenant have no region in common");
        }
        let operation = match self.operation_of(tenant, &r) {
            Ok(operation) => operation,
            Err(refusal) => return refusal.reply(),
        };
        let Some(id) = r.header("x-attempt-id").filter(|v| !v.is_empty() && v.len() <= 128) else {
            return fault(400, "X-Attempt-Id is missing");
        };
        let number = |name: &str| r.header(name).map(|v| v.parse::<f64>().ok().filter(|n| *n >= 0.0 && *n < 1e12));
        let deadline = match number("x-deadline-ms") {
            Some(None) => return fault(400, "X-Deadline-Ms is not a time"),
            given => given.flatten(),
        };
        let notify_url = match self.callback_of(c.notify, &known, &r) {
            Ok(url) => url,
            Err(why) => {
                telemetry::count("refused_callback");
                return fault(400, &why.to_string());
            }
        };
        let delay = match number("x-delay-ms") {
            Some(None) => return fault(400, "X-Delay-Ms is not a time"),
            Some(Some(d)) => d as u64,
            None => 0,
        };
        let setpoint =
            if c.target_latency_ms > 0.0 { c.target_latency_ms } else { self.settings.constraints.quiet_ms / 20.0 };
        // What is given up on is told at once: after five times the aim, or when
        // four fifths of the client's own time are over.
        let given = deadline.unwrap_or(f64::MAX) * 0.8;
        let budget = Duration::from_millis((setpoint * 5.0).min(given) as u64);
        // What may have been written is not given up on as early: a 504 ends it for
        // the client, and the next owner knows, or takes it, once there is one.
        let longest = Duration::from_millis((setpoint * 15.0).min(given) as u64);
        let order_key = r.header("x-order-key").unwrap_or("");
        let item = Item {
            id: id.to_owned(),
            route: c.name.clone(),
            method: r.method.clone(),
            host: host.to_owned(),
            path: r.path.clone(),
            order_key: if c.sequenced { order_key.to_owned() } else { String::new() },
            notify_url,
            content_type: r.header("content-type").unwrap_or("").to_owned(),
            body: r.body.clone(),
            tenant: tenant.to_owned(),
            operation,
        };
        let zone = &self.settings.zone;
        let keys = PlacementKeys { tenant, order_key, operation, id };
        let Some(mut partition) = partition_of(&known, &known.configuration, c, &keys, zone) else {
            return fault(503, "no owner of a partition for it yet").with("Retry-After", "1");
        };
        let fixed =
            operation.is_some() || c.sequenced && !order_key.is_empty() || known.configuration.has_metered_service(c);
        let (mut unclear, mut hint) = (false, None::<String>);
        let mut rx = self.known.subscribe();
        let mut closing = self.closing.subscribe();
        loop {
            let left = if unclear { longest } else { budget }.saturating_sub(begun.elapsed());
            // Also when the process is about to end: what is known by now is the answer.
            if left.is_zero() || *closing.borrow_and_update() == Closing::Ending {
                break;
            }
            let now = rx.borrow_and_update().clone();
            if !unclear && !fixed && hint.is_none() {
                // Nothing was written: another owner near by may do as well.
                partition = partition_of(&now, &known.configuration, c, &keys, zone).unwrap_or(partition);
            }
            let place = owner_addr(&now, partition);
            let addr = hint
                .take()
                .and_then(|h| now.node(&h, "store").map(|n| n.inner.clone()))
                .or_else(|| place.as_ref().map(|p| p.2.clone()));
            let mut outcome = AcceptOutcome::Elsewhere;
            if let Some(addr) = addr {
                let spent = begun.elapsed().as_millis() as u64;
                let accept = Accept {
                    partition,
                    item: item.clone(),
                    revision: known.configuration.revision,
                    delay_ms: delay.saturating_sub(spent),
                };
                let end = self.rpc_clients.to(&addr);
                let moved = rx.wait_for(|k| owner_addr(k, partition) != place);
                // Nothing is sent to where nothing is answered: it would be unclear
                // whether it was taken.
                // An owner that is well answers within that.
                let ending = async {
                    let _ = closing.wait_for(|c| *c == Closing::Ending).await;
                    tokio::time::sleep(self.ratio(100.0)).await;
                };
                let dark = end.stuck(self.owner_silence());
                if dark && !unclear && self.no_store_answers(&now) {
                    // Nobody is there to take over: a wait would only end in this answer.
                    telemetry::count("refused_no_store");
                    break;
                }
                let asked = tokio::select! {
                    a = end.call(Body::Accept(accept), left), if !dark => a,
                    _ = moved, if !dark => Err(ExecutionOutcome::MayHaveRun),
                    _ = ending, if !dark => Err(ExecutionOutcome::MayHaveRun),
                    _ = tokio::time::sleep(self.ratio(100.0)), if dark => Err(ExecutionOutcome::NotRun),
                };
                match asked {
                    Ok(Body::Accepted(a)) => {
                        outcome = AcceptOutcome::try_from(a.outcome).unwrap_or(AcceptOutcome::Unclear);
                        match outcome {
                            AcceptOutcome::Taken => {
                                return Reply::new(202).with("X-Message-Name", format!("{partition}-{}", a.position));
                            }
                            AcceptOutcome::Full if !unclear => {
                                telemetry::count("refused_full");
                                return fault(503, "no room").with("Retry-After", "1");
                            }
                            AcceptOutcome::OverQuota if !unclear => {
                                telemetry::count("refused_quota");
                                let retry_s = u64::from(a.retry_ms).div_ceil(1000).max(1);
                                let refusal = fault(429, "the tenant has no more of its limit now");
                                return refusal.with("Retry-After", retry_s.to_string());
                            }
                            AcceptOutcome::NoRoute if !unclear => return fault(404, "no such route"),
                            AcceptOutcome::Elsewhere if !a.owner.is_empty() => hint = Some(a.owner),
                            _ => {}
                        }
                    }
                    Err(ExecutionOutcome::NotRun) => {}
                    _ => outcome = AcceptOutcome::Unclear,
                }
            }
            if outcome == AcceptOutcome::Unclear {
                unclear = true;
            }
            telemetry::count("accepts_again");
            let pause = self.ratio(400.0).min(left);
            tokio::time::sleep(pause).await;
        }
        if unclear {
            telemetry::count("answers_504");
            fault(504, "it may have been taken")
        } else {
            telemetry::count("answers_503");
            fault(503, "no owner can take it now").with("Retry-After", "1")
        }
    }

    /// The URL that is owed a call-back; empty where none is.
    fn callback_of(&self, notifies: bool, known: &ClusterView, r: &Request) -> Result<String, CallbackError> {
        let Some(text) = r.header("x-notify-url").filter(|text| notifies && !text.is_empty()) else {
            return Ok(String::new());
        };
        let url: CallbackUrl = text.parse()?;
        url.check_foreign(&self.settings, &known.membership)?;
        Ok(text.to_owned())
    }

    /// The operation that a request is a try at; `None` where operations have no keys.
    fn operation_of(&self, tenant: &str, r: &Request) -> Result<Option<OperationId>, Refusal> {
        if self.settings.constraints.key_window_s <= 0.0 {
            return Ok(None);
        }
        operation_key(r).map(|key| Some(operation_id(tenant, key)))
    }

    async fn look_up(&self, name: &str, r: &Request, body: bool) -> Reply {
        let begun = Instant::now();
        let known = self.known.borrow().clone();
        if !self.is_fresh(&known) {
            return stale();
        }
        let host = r.header("host").unwrap_or("");
        let asker = match asking_tenant(&known.configuration, r) {
            Ok(name) => name,
            Err(refusal) => return refusal.reply(),
        };
        // Whoever shows no key learns nothing of what tenants have sent.
        let unknown = || match known.configuration.has_tenants() && asker.is_empty() {
            true => Refusal::KeyMissing.reply(),
            false => fault(404, "no such message"),
        };
        let parsed = name.split_once('-').and_then(|(p, n)| Some((p.parse::<u32>().ok()?, n.parse::<u64>().ok()?)));
        // Askers wait about as long as half the call-back bound; answer inside that.
        let limit = Duration::from_millis((self.settings.constraints.notify_s * 350.0) as u64);
        let mut wanted: Vec<u32> = match parsed {
            Some((p, _)) => vec![p],
            None => self.known.borrow().assignments.partitions.iter().map(|p| p.id).collect(),
        };
        while begun.elapsed() < limit && *self.closing.borrow() != Closing::Ending {
            let mut open = Vec::new();
            for p in wanted {
                let lookup = Lookup {
                    partition: p,
                    position: parsed.map_or(0, |n| n.1),
                    body,
                    id: if parsed.is_some() { String::new() } else { name.to_owned() },
                    tenant: asker.to_owned(),
                    region: self.settings.region.clone(),
                };
                let addr = self.owner(p);
                let found = match addr {
                    Some(a) => self.rpc_clients.to(&a).call(Body::Lookup(lookup), limit / 4).await,
                    None => Err(ExecutionOutcome::NotRun),
                };
                match found {
                    Ok(Body::Found(f)) if f.owner && f.known => {
                        let same = |h: &str| h.split(':').next().unwrap_or("").to_ascii_lowercase();
                        let visible = f.tenant.is_empty() || f.tenant == asker;
                        if !visible || same(&f.host) != same(host) {
                            return unknown();
                        }
                        if f.withheld {
                            telemetry::count("bodies_withheld");
                            return fault(503, "its body does not leave its regions: ask a front there")
                                .with("Retry-After", "1");
                        }
                        if body {
                            return if f.state == "settled" {
                                fault(404, "the message is settled")
                            } else {
                                Reply { body: f.body, content_type: "application/octet-stream", ..Reply::new(200) }
                            };
                        }
                        let text = if f.result_tag.is_empty() {
                            serde_json::json!({ "state": f.state })
                        } else {
                            serde_json::json!({ "state": f.state, "seal": f.result_tag })
                        };
                        return Reply::json(200, text.to_string());
                    }
                    Ok(Body::Found(f)) if f.owner => {}
                    _ => open.push(p),
                }
            }
            if open.is_empty() {
                return unknown();
            }
            wanted = open;
            tokio::time::sleep(self.ratio(200.0)).await;
        }
        fault(503, "its owner is not known now").with("Retry-After", "1")
    }

    /// Takes the news from the agent beside it.
    async fn follow(self: Arc<Self>, worker: Arc<DeliveryWorker>) {
        let follower = Follower::new(&self.settings, self.rpc_clients.clone(), rpc::new_incarnation());
        let have = || self.known.borrow().have();
        let learn = |news: &ViewUpdate, asked_at| {
            self.known.send_if_modified(|known| known.take_answer(news, asked_at));
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
