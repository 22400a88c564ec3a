//! The shell: takes clients' requests, gets a slot for each, passes it on, and
//! gives the answer back unchanged.

use crate::retry_budget::RetryBudget;
use crate::slots::*;
use agent::{ClusterView, loopback};
use config::{Role, Route, Settings};
use http1::{Answer, Bounds, Call, Closing, ConnectionPool, Reply, Request, SendError};
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
    closing: watch::Sender<Closing>,
    shared: Mutex<GatewayState>,
    /// Fronts by which slot owners are chosen, as of the last membership.
    fronts: Mutex<Arc<Vec<rpc::Front>>>,
    /// The processors of what is kept here, as the leader told them last.
    processors: Mutex<Vec<Processor>>,
    start: Instant,
    slot_ids: AtomicU64,
    incarnation: u64,
}

fn fault(status: u16, why: &str) -> Reply {
    Reply::json(status, serde_json::json!({ "fault": why }).to_string())
}

fn busy(retry_ms: u64) -> Reply {
    let secs = (retry_ms as f64 / 1000.0).clamp(0.02, 5.0);
    fault(503, "no processor can take it now").with("Retry-After", format!("{secs:.2}"))
}

/// Whether a header concerns one connection only, or is written anew for the next.
pub fn hop_by_hop(name: &str, connection: &str) -> bool {
    const OWN: [&str; 9] = [
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
        "content-length",
    ];
    OWN.iter().any(|o| name.eq_ignore_ascii_case(o))
        || connection.split(',').any(|c| c.trim().eq_ignore_ascii_case(name))
}

/// A client's request on its way.
struct Passing<'a> {
    request: &'a Request,
    route: &'a Route,
    service: &'a str,
    id: &'a str,
    connection: &'a str,
    end: Instant,
    safe: bool,
    /// Connections to one processor.
    limit: usize,
}

/// What is to be done with what a processor said.
enum Heard {
    /// Its answer, whole: the client's.
    Whole(Answer),
    /// None; and what its slot owner is told of the slot.
    Missed(DeliveryFailure, SlotEnd),
}

impl FunctionGateway {
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

    /// The front that keeps a function, as far as this one can tell: its name and address.
    fn slot_owner(&self, service: &str) -> Option<(String, String)> {
        let dark = self.dark();
        self.slot_owner_but(service, &dark)
    }

    fn slot_owner_but(&self, service: &str, dark: &[String]) -> Option<(String, String)> {
        let fronts = self.fronts.lock().unwrap().clone();
        let but = |n: &str| dark.iter().any(|d| d == n);
        rpc::slot_owner_but(&fronts, service, but).map(|f| (f.1.clone(), f.2.clone()))
    }

    /// The fronts that did not answer of late.
    fn dark(&self) -> Vec<String> {
        let now = Instant::now();
        let mut i = self.shared.lock().unwrap();
        if i.dark.is_empty() {
            return Vec::new();
        }
        i.dark.retain(|_, d| d.until > now);
        let mut all: Vec<String> = i.dark.keys().cloned().collect();
        all.sort();
        all
    }

    /// A front does not answer: another one keeps its functions until its session is
    /// over, or it begins another incarnation, or half of `quietMs` is.
    fn shun(self: &Arc<Self>, name: &str) {
        let incarnation = self.known.borrow().node(name, "functions").map_or(0, |n| n.incarnation);
        let until = Instant::now() + self.ratio(2.0);
        if self.shared.lock().unwrap().dark.insert(name.to_owned(), Dark { until, incarnation }).is_none() {
            telemetry::change!("{name} does not answer");
            self.arrange();
        }
    }

    /// Whether anybody is there at a front.
    async fn answers(&self, inner: &str) -> bool {
        self.rpc_clients.to(inner).call(Body::Ack(Ack {}), self.ratio(16.0)).await.is_ok()
    }

    /// Another front passes some over that are well as far as is known here: they are
    /// looked for from here too, before there are two slot owners of one function.
    async fn look_for(self: Arc<Self>, a: SlotRequest, w: Waiter) {
        let fronts = self.fronts.lock().unwrap().clone();
        let mine = self.dark();
        let asked: Vec<(String, String)> = fronts
            .iter()
            .filter(|f| a.dark.contains(&f.1) && !mine.contains(&f.1))
            .map(|f| (f.1.clone(), f.2.clone()))
            .collect();
        for (name, inner) in asked {
            if self.answers(&inner).await {
                let outcome = SlotOutcome::Elsewhere as i32;
                return w.send(SlotGrant { outcome, processor: name, ..SlotGrant::default() });
            }
            self.shun(&name);
        }
        self.taken(a, w);
    }

    fn carry_out(self: &Arc<Self>, i: &mut GatewayState, effects: Vec<Effect>) {
        for e in effects {
            match e {
                Effect::Grant { holder, processor, address, starting } => {
                    telemetry::count("slots_granted");
                    if let Some(w) = i.waiters.remove(&holder) {
                        let outcome = SlotOutcome::Granted as i32;
                        w.send(SlotGrant { outcome, processor, address, starting, retry_ms: 0 });
                    }
                }
                Effect::Refuse { holder, retry_ms } => {
                    telemetry::count("slots_refused");
                    if let Some(w) = i.waiters.remove(&holder) {
                        // Nothing to wait for: kept elsewhere by now.
                        let outcome = if retry_ms == 0 { SlotOutcome::Elsewhere } else { SlotOutcome::None } as i32;
                        w.send(SlotGrant { outcome, retry_ms: retry_ms as u32, ..SlotGrant::default() });
                    }
                }
                Effect::Start { service, nonce } => {
                    telemetry::count("starts_asked");
                    tokio::spawn(self.clone().start_processor(service, nonce));
                }
                Effect::Stop { processor, .. } => {
                    telemetry::count("stops_asked");
                    tokio::spawn(self.clone().stop_processor(processor));
                }
            }
        }
    }

    fn step(self: &Arc<Self>, f: impl FnOnce(&mut SlotTable, u64, &mut Vec<Effect>)) {
        let mut guard = self.shared.lock().unwrap();
        let i = &mut *guard;
        let mut out = Vec::new();
        f(&mut i.slot_table, self.now(), &mut out);
        self.carry_out(i, out);
    }

    /// Asks the leader for a processor, by one nonce until it is clear what came of it.
    async fn start_processor(self: Arc<Self>, service: String, nonce: String) {
        let wait = self.ratio(4.0);
        let end = Instant::now() + 4 * wait;
        let (mut full, mut pause) = (false, self.ratio(100.0));
        while Instant::now() < end {
            let leader = self.known.borrow().leader.clone();
            let ask = Start { service: service.clone(), nonce: nonce.clone(), zone: self.settings.zone.clone() };
            let asked = if leader.is_empty() {
                None
            } else {
                self.rpc_clients.to(&leader).call(Body::Start(ask), wait).await.ok()
            };
            if let Some(Body::StartAck(a)) = asked {
                if !a.processor.is_empty() {
                    self.step(|c, now, out| c.started(&service, &nonce, &a.processor, &a.address, now, out));
                    return;
                }
                if a.full {
                    full = true;
                    break;
                }
                if !a.leader.is_empty() && a.leader != leader {
                    self.known.send_if_modified(|k| k.take(&ViewUpdate { leader: a.leader, ..ViewUpdate::default() }));
                }
            }
            // Longer each time: hundreds of functions may be asked for while nobody is
            // leading.
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(wait / 2);
        }
        telemetry::count("starts_given_up");
        self.step(|c, now, out| c.not_started(&service, &nonce, full, now, out));
    }

    async fn stop_processor(self: Arc<Self>, processor: String) {
        for _ in 0..4 {
            let leader = self.known.borrow().leader.clone();
            if !leader.is_empty()
                && let Ok(Body::Ack(_)) = self
                    .rpc_clients
                    .to(&leader)
                    .call(Body::Stop(StopProcessor { processor: processor.clone() }), self.ratio(4.0))
                    .await
            {
                return;
            }
            tokio::time::sleep(self.ratio(20.0)).await;
        }
        // It is listed still, and found idle again by whoever keeps the function.
        telemetry::count("stops_given_up");
    }

    fn handle(self: &Arc<Self>, body: Body, responder: Responder) {
        match body {
            Body::SlotRequest(a) => self.asked(a, Waiter::Far(responder)),
            Body::Ack(a) => responder.send(Body::Ack(a)),
            Body::SlotRelease(b) => self.step(|c, now, out| c.back(&b, now, out)),
            Body::SlotsHeld(h) => self.step(|c, now, _| {
                for one in &h.held {
                    c.held(&h.front, one, now);
                }
            }),
            Body::Status(_) => {
                let k = self.known.borrow().have();
                let i = self.shared.lock().unwrap();
                let functions: Vec<serde_json::Value> = i
                    .slot_table
                    .tallies()
                    .into_iter()
                    .filter(|t| t.1 + t.2 + t.3 > 0)
                    .map(|t| serde_json::json!({"service": t.0, "processors": t.1, "held": t.2, "waiting": t.3}))
                    .collect();
                let json = serde_json::json!({"node": self.settings.node, "ready": self.is_ready(),
                    "configuration": k.configuration, "membership": k.membership, "holds": i.holds.len(), "keeps": functions,
                    "counters": telemetry::render()});
                drop(i);
                responder.send(Body::StatusAck(StatusAck { json: json.to_string() }));
            }
            _ => {}
        }
    }

    fn asked(self: &Arc<Self>, a: SlotRequest, w: Waiter) {
        let mine = |dark: &[String]| self.slot_owner_but(&a.service, dark).is_some_and(|k| k.0 == self.settings.node);
        if mine(&self.dark()) {
            self.taken(a, w);
        } else if mine(&a.dark) {
            tokio::spawn(self.clone().look_for(a, w));
        } else {
            let outcome = SlotOutcome::Elsewhere as i32;
            w.send(SlotGrant { outcome, ..SlotGrant::default() });
        }
    }

    fn taken(self: &Arc<Self>, a: SlotRequest, w: Waiter) {
        let mut guard = self.shared.lock().unwrap();
        let i = &mut *guard;
        i.waiters.insert((a.front.clone(), a.slot_id), w);
        let mut out = Vec::new();
        i.slot_table.ask(&a, self.now(), &mut out);
        self.carry_out(i, out);
    }

    /// A slot for one request; None if none can be had in time, with the time after
    /// which one may.
    async fn slot(self: &Arc<Self>, service: &str, c: &Route, left: Duration) -> Result<(u64, SlotGrant), u64> {
        let end = Instant::now() + left;
        let mut said = 0;
        while Instant::now() < end {
            let Some((name, inner)) = self.slot_owner(service) else { break };
            let patience = end.saturating_duration_since(Instant::now());
            // One for each ask: what became of an earlier one is nothing to this one.
            let slot_id = self.slot_ids.fetch_add(1, Ordering::Relaxed);
            let ask = SlotRequest {
                service: service.to_owned(),
                front: self.settings.node.clone(),
                slot_id,
                patience_ms: patience.as_millis() as u32,
                hold_ms: (c.timeout_ms as u32).saturating_add(patience.as_millis() as u32),
                target_start_ms: c.target_latency_ms as u32,
                dark: self.dark(),
            };
            // Dropped before there is an answer: the slot owner is told, whether it granted
            // one by then or not.
            let empty = SlotRelease {
                service: service.to_owned(),
                front: self.settings.node.clone(),
                slot_id,
                ..SlotRelease::default()
            };
            let to = Some((name.clone(), inner.clone()));
            let mut given_up = Back { functions: self, to, back: Some(empty) };
            let granted = if name == self.settings.node {
                let (tx, rx) = oneshot::channel();
                self.asked(ask, Waiter::Near(tx));
                rx.await.ok()
            } else {
                let mut rx = self.known.subscribe();
                rx.mark_unchanged();
                let end = self.rpc_clients.to(&inner);
                // A slot owner that is gone from the membership answers nothing any more.
                let gone = async {
                    loop {
                        let _ = rx.changed().await;
                        if self.slot_owner(service).is_none_or(|k| k.0 != name) {
                            return;
                        }
                    }
                };
                // A wait may be long; whether there is anybody at all is asked apart.
                let there = async {
                    loop {
                        tokio::time::sleep(self.ratio(16.0)).await;
                        if !self.answers(&inner).await {
                            return;
                        }
                    }
                };
                let asked = tokio::select! {
                    // First: the next slot owner is not told of a slot that is granted by
                    // the former one from now on.
                    biased;
                    _ = gone => Ok(Body::Ack(Ack {})),
                    a = end.call(Body::SlotRequest(ask), patience) => a.map_err(|_| ()),
                    _ = there => Err(()),
                };
                match asked {
                    Ok(Body::SlotGrant(g)) => Some(g),
                    Ok(_) => None,
                    Err(()) => {
                        self.shun(&name);
                        None
                    }
                }
            };
            if granted.is_some() {
                given_up.back = None;
            }
            drop(given_up);
            match granted {
                Some(g) if g.outcome == SlotOutcome::Granted as i32 => {
                    let held = SlotHeld {
                        service: service.to_owned(),
                        slot_id,
                        processor: g.processor.clone(),
                        address: g.address.clone(),
                        hold_ms: 0,
                    };
                    let until = Instant::now() + patience + Duration::from_millis(c.timeout_ms as u64);
                    self.shared.lock().unwrap().holds.insert(slot_id, (held, until));
                    return Ok((slot_id, g));
                }
                Some(g) if g.outcome == SlotOutcome::None as i32 => return Err(u64::from(g.retry_ms)),
                Some(g) if !g.processor.is_empty() => {
                    // That one does answer others: it is asked again.
                    self.shared.lock().unwrap().dark.remove(&g.processor);
                }
                _ => {}
            }
            said = 100;
            tokio::time::sleep(self.ratio(400.0).min(end.saturating_duration_since(Instant::now()))).await;
        }
        Err(said.max(50))
    }

    /// Tells the slot owner, whoever that is by now.
    fn tell(self: &Arc<Self>, b: SlotRelease) {
        let to = self.slot_owner(&b.service);
        self.tell_to(to, b);
    }

    fn tell_to(self: &Arc<Self>, to: Option<(String, String)>, b: SlotRelease) {
        if b.end != SlotEnd::Up as i32 {
            self.shared.lock().unwrap().holds.remove(&b.slot_id);
        }
        let Some((name, inner)) = to else { return };
        if name == self.settings.node {
            self.step(|c, now, out| c.back(&b, now, out));
        } else {
            self.rpc_clients.to(&inner).send(Body::SlotRelease(b));
        }
    }

    /// One request of a client.
    async fn answer(self: Arc<Self>, r: Request) -> Reply {
        let begun = Instant::now();
        let configuration = self.known.borrow().configuration.clone();
        if configuration.revision == 0 {
            return busy(500);
        }
        let host = r.header("host").unwrap_or("");
        let path = r.path.split('?').next().unwrap_or("");
        let Some(c) = configuration.route(host, path) else { return fault(404, "no such route") };
        let Some(id) = r.header("x-attempt-id").filter(|v| !v.is_empty() && v.len() <= 128) else {
            return fault(400, "X-Attempt-Id is missing");
        };
        let given = match r.header("x-deadline-ms").map(|v| v.parse::<f64>()) {
            Some(Ok(d)) if (0.0..1e9).contains(&d) => d,
            Some(_) => return fault(400, "X-Deadline-Ms is not a time"),
            None => c.timeout_ms,
        };
        let end = begun + Duration::from_micros((given * 1000.0) as u64);
        let service = c.service_for(rpc::fingerprint(id.as_bytes())).to_owned();
        self.shared.lock().unwrap().retry_budget.sent(begun);
        let ask = Passing {
            connection: r.header("connection").unwrap_or(""),
            limit: configuration.service(&service).map_or(8, |p| p.conn_limit.max(1)) as usize,
            safe: c.mode == "safe",
            request: &r,
            route: c,
            service: &service,
            id,
            end,
        };
        let first = self.tries(&ask);
        if !ask.safe {
            return first.await;
        }
        // An answer may be lost, or its processor slow: when it takes far longer than
        // runs do, another is asked as well, and the first answer is the client's.
        tokio::pin!(first);
        let usual = self.shared.lock().unwrap().took.get(&service).copied();
        let patience = c.target_latency_ms.max(1.0) * 0.6;
        let late = Duration::from_micros((usual.map_or(patience, |t| patience.max(3.0 * t)) * 1000.0) as u64);
        tokio::select! {
            reply = &mut first => return reply,
            _ = tokio::time::sleep(late), if usual.is_some() => {}
        }
        if !self.holds_any(&service) || !self.again() {
            return first.await;
        }
        telemetry::count("sent_beside");
        let second = self.tries(&ask);
        tokio::pin!(second);
        tokio::select! {
            a = &mut first => if a.status < 500 { a } else { second.await },
            b = &mut second => if b.status < 500 { b } else { first.await },
        }
    }

    /// Whether a slot of this function is held here; if none is, whoever waits waits
    /// for a start, and another ask would only wait beside it.
    fn holds_any(&self, service: &str) -> bool {
        self.shared.lock().unwrap().holds.values().any(|h| h.0.service == service)
    }

    /// Takes one of the repeats that are allowed to this front.
    fn again(&self) -> bool {
        let fronts = self.fronts.lock().unwrap().len().max(1);
        let slack = self.settings.constraints.retry_slack / fronts as f64;
        self.shared.lock().unwrap().retry_budget.again(slack, Instant::now())
    }

    /// Sends one request until there is an answer, or another try must not be.
    async fn tries(self: &Arc<Self>, ask: &Passing<'_>) -> Reply {
        let c = ask.route;
        let (mut tries, mut unclear) = (0, false);
        loop {
            let left = ask.end.saturating_duration_since(Instant::now());
            // What is left must do for a run; nine tenths of it may go into waiting.
            let (slot_id, g) = match self.slot(ask.service, c, left * 9 / 10).await {
                Ok(g) => g,
                Err(_) if unclear => return fault(502, "it may have run"),
                Err(retry) => {
                    telemetry::count("answers_503");
                    return busy(retry);
                }
            };
            let back = SlotRelease {
                service: ask.service.to_owned(),
                front: self.settings.node.clone(),
                slot_id,
                processor: g.processor.clone(),
                ..SlotRelease::default()
            };
            let sent = Instant::now();
            // If nobody waits for this try any more, the processor drops it as well.
            let mut guard = Back { functions: self, to: None, back: Some(back.clone()) };
            let heard = self.pass(ask, &g, &back).await;
            guard.back = None;
            let took = sent.elapsed().as_millis().max(1) as u32;
            let (ended, took) = match &heard {
                Heard::Whole(_) => (SlotEnd::Done, if g.starting { 0 } else { took }),
                Heard::Missed(_, end) => (*end, 0),
            };
            if took > 0 {
                let mut i = self.shared.lock().unwrap();
                let t = i.took.entry(ask.service.to_owned()).or_insert(f64::from(took));
                *t = *t * 0.9 + f64::from(took) * 0.1;
            }
            self.tell(SlotRelease { end: ended as i32, took_ms: took, ..back });
            tries += 1;
            let gap = match heard {
                Heard::Whole(a) => return reply(a),
                Heard::Missed(gap, _) => gap,
            };
            match gap.execution() {
                ExecutionOutcome::NotRun => telemetry::count("sends_not_run"),
                _ => telemetry::count("sends_unclear"),
            }
            unclear |= gap.execution() == ExecutionOutcome::MayHaveRun;
            match gap.again(if ask.safe { RetrySafety::Safe } else { RetrySafety::Unsafe }) {
                RetryOwner::Front => {}
                RetryOwner::FrontTries if tries < c.tries.max(1) => {}
                _ if gap == DeliveryFailure::Silent => {
                    telemetry::count("answers_504");
                    return fault(504, "no answer in time");
                }
                _ => return fault(502, "it may have run"),
            }
            if !self.again() {
                return if unclear { fault(502, "it may have run") } else { busy(100) };
            }
            telemetry::count("sent_again");
        }
    }

    async fn pass(self: &Arc<Self>, ask: &Passing<'_>, g: &SlotGrant, back: &SlotRelease) -> Heard {
        let (r, c, id, end) = (ask.request, ask.route, ask.id, ask.end);
        let step = self.ratio(200.0);
        if g.starting {
            // It refuses until it has started.
            loop {
                let left = end.saturating_duration_since(Instant::now());
                if left.is_zero() {
                    return Heard::Missed(DeliveryFailure::NotSent, SlotEnd::Dark);
                }
                match self.pool.open(&g.address, left.min(self.ratio(20.0))).await {
                    Ok(()) => break,
                    Err(_) => tokio::time::sleep(step.min(left)).await,
                }
            }
            self.tell(SlotRelease { end: SlotEnd::Up as i32, ..back.clone() });
        }
        let late = Heard::Missed(DeliveryFailure::Silent, if g.starting { SlotEnd::Dark } else { SlotEnd::Done });
        let unclear = Heard::Missed(DeliveryFailure::Lost, SlotEnd::Done);
        let left = end.saturating_duration_since(Instant::now());
        let within = left.min(Duration::from_micros((c.timeout_ms * 1000.0) as u64));
        if within < Duration::from_millis(2) {
            return late;
        }
        let deadline = within.as_millis().to_string();
        let mut headers: Vec<(&str, &str)> = Vec::with_capacity(r.headers.len() + 2);
        for (n, v) in &r.headers {
            let own = ["host", "x-deadline-ms", "x-target-instance"];
            if !hop_by_hop(n, ask.connection) && !own.iter().any(|o| n.eq_ignore_ascii_case(o)) {
                headers.push((n, v));
            }
        }
        headers.push(("X-Deadline-Ms", &deadline));
        headers.push(("X-Target-Instance", &g.processor));
        let host = r.header("host").unwrap_or("");
        // What must not run twice goes over a connection that was heard just now.
        let newest = (!ask.safe).then(|| self.ratio(20.0));
        let call = Call { method: &r.method, path: &r.path, host, headers: &headers, body: &r.body, id, newest };
        match self.pool.call(&g.address, call, ask.limit, within).await {
            Ok(a) if a.status == 421 => Heard::Missed(DeliveryFailure::Refused, SlotEnd::Gone),
            Ok(a) if a.header("x-not-run").is_some() && a.status >= 400 => {
                Heard::Missed(DeliveryFailure::Refused, SlotEnd::Full)
            }
            Ok(a) if (200..300).contains(&a.status) => {
                let sealed = a.header("x-seal").is_some_and(|s| !s.is_empty());
                if sealed && a.header("content-encoding").is_none() && a.whole {
                    Heard::Whole(a)
                } else {
                    telemetry::count("answers_not_whole");
                    unclear
                }
            }
            Ok(a) if a.status == 504 => late,
            Ok(a) if a.whole => Heard::Whole(a),
            Ok(_) => unclear,
            // Only who refuses is gone: packets of one that is well are lost at times.
            Err(SendError::NotSent) if rpc::refuses(&g.address, step).await => {
                Heard::Missed(DeliveryFailure::NotSent, SlotEnd::Gone)
            }
            Err(SendError::NotSent) => Heard::Missed(DeliveryFailure::NotSent, SlotEnd::Dark),
            Err(SendError::Lost) => unclear,
            Err(SendError::Silent) => late,
        }
    }

    /// Follows the agent beside it; keeps what it is to keep.
    async fn follow(self: Arc<Self>) {
        let wait = self.ratio(8.0);
        let addr = loopback(&self.settings);
        let mut told = false;
        loop {
            let leaving = *self.closing.borrow() != Closing::Open;
            let node = Node {
                name: self.settings.node.clone(),
                role: "functions".into(),
                inner: self.settings.inner_addr(Role::Front),
                incarnation: self.incarnation,
                leaving,
                ..Node::default()
            };
            let have = self.known.borrow().have();
            let wait_ms = if leaving && !told { 1 } else { wait.as_millis() as u32 };
            told = leaving;
            let w = WatchRequest { node: Some(node), have, wait_ms, ..WatchRequest::default() };
            let mut closing = self.closing.subscribe();
            let end = self.rpc_clients.to(&addr);
            let asked = tokio::select! {
                a = end.call(Body::WatchRequest(w), wait * 2) => a,
                _ = async { let _ = closing.wait_for(|c| *c != Closing::Open).await; }, if !leaving => continue,
            };
            match asked {
                Ok(Body::ViewUpdate(n)) => {
                    if self.known.send_if_modified(|k| k.take(&n)) {
                        self.arrange();
                    }
                }
                _ => tokio::time::sleep(wait / 16).await,
            }
        }
    }

    fn keeps(&self, service: &str) -> bool {
        self.shared.lock().unwrap().slot_table.keeps(service)
    }

    /// Asks the leader what the platform lists of what is kept here.
    async fn ask_processors(self: Arc<Self>) {
        let period = Duration::from_millis((self.settings.constraints.converge_ms / 5.0) as u64);
        let mut digest = 0;
        loop {
            // At the start nothing is known of what runs already.
            tokio::time::sleep(if digest == 0 { period / 8 } else { period }).await;
            let leader = self.known.borrow().leader.clone();
            if leader.is_empty() {
                continue;
            }
            let ask = ProcessorsRequest { front: self.settings.node.clone(), digest };
            if let Ok(Body::Processors(u)) =
                self.rpc_clients.to(&leader).call(Body::ProcessorsRequest(ask), period).await
                && u.known
                && u.digest != digest
            {
                digest = u.digest;
                *self.processors.lock().unwrap() = u.processors;
                self.arrange();
            }
        }
    }

    /// The membership or the configuration has changed: who keeps what, and what is
    /// there of what is kept here.
    fn arrange(self: &Arc<Self>) {
        let known = self.known.borrow().clone();
        let fronts = rpc::fronts(&known.membership);
        let before = self.fronts.lock().unwrap().clone();
        // One that begins again may be asked at once.
        self.shared
            .lock()
            .unwrap()
            .dark
            .retain(|n, d| known.node(n, "functions").is_some_and(|x| x.incarnation == d.incarnation));
        let dark = self.dark();
        let passed_over = std::mem::replace(&mut self.shared.lock().unwrap().passed_over, dark.clone());
        let moved = *before != fronts || dark != passed_over;
        let there: HashSet<String> =
            known.membership.nodes.iter().filter(|n| n.role == "functions").map(|n| n.name.clone()).collect();
        *self.fronts.lock().unwrap() = Arc::new(fronts);
        let mut kept: HashMap<String, (Facts, Vec<Listed>)> = HashMap::new();
        for p in known.configuration.services.iter().filter(|p| p.is_function()) {
            let mine = |dark: &[String]| self.slot_owner_but(&p.name, dark).is_some_and(|k| k.0 == self.settings.node);
            if mine(&dark) || mine(&[]) || self.keeps(&p.name) {
                let facts = Facts { most: p.max_inflight as usize, boot_ms: p.boot_ms as u64 };
                kept.insert(p.name.clone(), (facts, Vec::new()));
            }
        }
        for u in self.processors.lock().unwrap().iter() {
            if let Some(k) = kept.get_mut(&u.service) {
                k.1.push(Listed { id: u.id.clone(), address: u.address.clone(), draining: u.draining });
            }
        }
        self.step(|c, now, out| {
            c.keep(&kept, now, out);
            if moved {
                c.fronts(&there, now, out);
            }
        });
        // Those that keep what is held here now are told of it.
        let mut news: HashMap<String, Vec<SlotHeld>> = HashMap::new();
        {
            let i = self.shared.lock().unwrap();
            for (held, until) in i.holds.values() {
                let now = self.slot_owner_but(&held.service, &dark);
                if let Some((name, inner)) = &now
                    && moved
                    && *name != self.settings.node
                {
                    let hold_ms = until.saturating_duration_since(Instant::now()).as_millis() as u32;
                    news.entry(inner.clone()).or_default().push(SlotHeld { hold_ms, ..held.clone() });
                }
            }
        }
        for (inner, held) in news {
            self.rpc_clients.to(&inner).send(Body::SlotsHeld(SlotsHeld { front: self.settings.node.clone(), held }));
        }
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

fn reply(a: Answer) -> Reply {
    let connection = a.header("connection").unwrap_or("").to_owned();
    let passed = a.headers.into_iter().filter(|(n, _)| !hop_by_hop(n, &connection)).collect();
    Reply { body: a.body, passed, ..Reply::new(a.status) }
}

/// Runs a function gateway until it is told to stop.
pub async fn run(settings: Settings, mut stop: watch::Receiver<bool>) -> Result<(), String> {
    let quiet = settings.constraints.quiet_ms;
    let silence = Duration::from_millis((quiet / 4.0) as u64);
    let c = &settings.constraints;
    let window = Duration::from_secs_f64(c.retry_window_s.max(0.1));
    let incarnation = rpc::new_incarnation();
    let functions = Arc::new(FunctionGateway {
        rpc_clients: RpcClients::new(silence),
        pool: ConnectionPool::new(Duration::from_millis((quiet / 4.0) as u64)),
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
        settings: settings.clone(),
    });
    let bind = async |addr: String| tokio::net::TcpListener::bind(&addr).await.map_err(|e| format!("{addr}: {e}"));
    let inner = bind(settings.inner_addr(Role::Front)).await?;
    let s = functions.clone();
    tokio::spawn(rpc::serve(inner, silence, move |body, responder| s.handle(body, responder)));
    tokio::spawn(functions.clone().follow());
    tokio::spawn(functions.clone().ask_processors());
    let s = functions.clone();
    let ready = bind(settings.listen.ready.clone()).await?;
    let open = watch::channel(Closing::Open);
    tokio::spawn(http1::listen(ready, Bounds::default, open.1, move |_| {
        let ok = s.is_ready();
        async move { if ok { Reply::new(200) } else { Reply::new(503) } }
    }));
    let clients = bind(settings.listen.front.clone()).await?;
    let (s, sb) = (functions.clone(), functions.clone());
    tokio::spawn(http1::listen(
        clients,
        move || sb.bounds(),
        functions.closing.subscribe(),
        move |r| s.clone().answer(r),
    ));
    let s = functions.clone();
    tokio::spawn(async move {
        let mut rounds = 0u64;
        loop {
            tokio::time::sleep(s.ratio(50.0)).await;
            rounds += 1;
            s.step(|c, now, out| c.tick(now, out));
            if s.dark() != s.shared.lock().unwrap().passed_over {
                s.arrange();
            }
            if rounds.is_multiple_of(50) {
                s.pool.sweep(|_| true);
            }
            if rounds.is_multiple_of(400) {
                telemetry::report(&s.settings.node, &rpc::sent());
            }
        }
    });
    let _ = stop.wait_for(|s| *s).await;
    let begun = Instant::now();
    telemetry::change!("draining");
    let grace = Duration::from_millis((settings.constraints.grace_s * 1000.0) as u64);
    let _ = functions.closing.send(Closing::Draining);
    // The platform needs two misses and a little to send nobody here any more.
    tokio::time::sleep(grace * 2 / 5).await;
    let _ = functions.closing.send(Closing::Shut);
    while begun.elapsed() < grace * 4 / 5 {
        tokio::time::sleep(silence / 10).await;
        if http1::unanswered() == 0 && begun.elapsed() > grace / 2 {
            break;
        }
    }
    telemetry::report(&settings.node, &rpc::sent());
    Ok(())
}
