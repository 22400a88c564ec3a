//! Deliveries and call-backs: carried out here, reported to whoever owns the
//! partition by then, and held until that owner has it on its disks.

use crate::callback::CallbackUrl;
use crate::ingest::FrontService;
use crate::outbox::*;
use http1::{Answer, Call, Closing, ConnectionPool, SendError};
use rpc::messages::*;
use rpc::{Body, Responder};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

pub struct DeliveryWorker {
    front: Arc<FrontService>,
    pool: Arc<ConnectionPool>,
    held: Mutex<Outbox>,
    start: Instant,
}

/// What an answer means for the message.
pub fn classify_answer(asked: &Result<Answer, SendError>) -> (Outcome, String) {
    match asked {
        Ok(a) => {
            let not_run = a.status == 421 || a.header("x-not-run").is_some();
            match (a.status, a.header("x-seal")) {
                (200..=299, Some(result_tag)) if !result_tag.is_empty() => (Outcome::Done, result_tag.to_owned()),
                (s, _) if s >= 400 && not_run => (Outcome::NotRun, String::new()),
                (500, _) => (Outcome::Failed, String::new()),
                (422, _) => (Outcome::Never, String::new()),
                _ => (Outcome::Unknown, String::new()),
            }
        }
        Err(SendError::NotSent) => (Outcome::NotRun, String::new()),
        Err(_) => (Outcome::Unknown, String::new()),
    }
}

fn load(a: &Answer) -> Option<(u32, u32)> {
    let mut parts = a.header("x-load")?.split(',').map(|p| p.trim().parse::<u32>().ok());
    Some((parts.next()??, parts.next()??))
}

/// The headers of a delivery: what this system says, and nothing else that the client did.
pub fn delivery_headers<'a>(run: &'a Run, deadline_ms: &'a str) -> Vec<(&'a str, &'a str)> {
    let mut headers = vec![("X-Attempt-Id", run.item.id.as_str()), ("X-Deadline-Ms", deadline_ms)];
    for (name, value) in [
        ("X-Target-Instance", &run.processor),
        ("X-Order-Key", &run.item.order_key),
        ("X-Tenant", &run.item.tenant),
        ("Content-Type", &run.item.content_type),
    ] {
        if !value.is_empty() {
            headers.push((name, value));
        }
    }
    headers
}

impl DeliveryWorker {
    pub fn new(front: Arc<FrontService>) -> Arc<DeliveryWorker> {
        let idle = Duration::from_millis(front.settings.constraints.quiet_ms as u64);
        let c = &front.settings.constraints;
        let held = Mutex::new(Outbox::new(c.quiet_ms as u64, (c.status_s * 1000.0) as u64));
        Arc::new(DeliveryWorker { front, pool: ConnectionPool::new(idle), held, start: Instant::now() })
    }

    pub fn idle(&self) -> bool {
        self.held.lock().unwrap().under_way() == 0
    }

    fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Called every fortieth of `quietMs`.
    pub fn beat(&self) {
        self.held.lock().unwrap().beat(self.now());
    }

    /// Processors whose answers do not name their request, by address.
    pub fn unidentified(&self) -> Vec<String> {
        self.pool.unidentified()
    }

    pub fn sweep(&self) {
        self.pool.sweep(|_| true);
    }

    pub fn handle(self: &Arc<Self>, body: Body, responder: Responder) {
        match body {
            Body::Run(run) => {
                let leaving = *self.front.closing.borrow() != Closing::Open;
                let term = {
                    let k = self.front.view.borrow();
                    let all = &k.assignments.partitions;
                    // Mostly they stand by their numbers.
                    let at = all.get(run.partition as usize).filter(|p| p.id == run.partition);
                    at.or_else(|| all.iter().find(|p| p.id == run.partition)).map(|p| p.term)
                };
                let word = self.held.lock().unwrap().run(&run, term, leaving, self.now());
                if word == RunDecision::Send {
                    tokio::spawn(self.clone().deliver(run));
                }
                responder.send(Body::RunAck(RunAck { taken: word != RunDecision::Refused }));
            }
            Body::Holding(q) => {
                let held = self.held.lock().unwrap().holding(&q);
                responder.send(Body::Held(held));
            }
            Body::Notify(n) => {
                let worker = self.clone();
                tokio::spawn(telemetry::contained(async move {
                    let status = worker.notify(n).await;
                    responder.send(Body::NotifyAck(NotifyAck { status }));
                }));
            }
            Body::Status(_) => {
                let k = self.front.view.borrow().have();
                let json = format!(
                    "{{\"node\":\"{}\",\"ready\":{},\"template\":{},\"assignments\":{},\"membership\":{},\"underWay\":{},\"counters\":\"{}\"}}",
                    self.front.settings.node,
                    self.front.is_ready(),
                    k.configuration,
                    k.assignments,
                    k.membership,
                    self.held.lock().unwrap().under_way(),
                    telemetry::render()
                );
                responder.send(Body::StatusAck(StatusAck { json }));
            }
            _ => {}
        }
    }

    /// Sends a message to its processor.
    async fn send(self: Arc<Self>, run: Arc<Run>) -> Result<Answer, SendError> {
        let deadline = run.timeout_ms.to_string();
        let headers = delivery_headers(&run, &deadline);
        let call = Call {
            method: &run.item.method,
            path: &run.item.path,
            host: &run.item.host,
            headers: &headers,
            body: &run.item.body,
            id: &run.item.id,
            newest: None,
            connect: None,
        };
        // The processor ends its work at the cutoff and says so; a little longer for that to arrive.
        let within = Duration::from_millis(run.timeout_ms as u64) * 21 / 20;
        self.pool.call(&run.address, call, run.conn_limit.max(1) as usize, within).await
    }

    async fn deliver(self: Arc<Self>, run: Run) {
        let begun = Instant::now();
        let run = Arc::new(run);
        // Whatever a processor answers, the report of its run is owed.
        let sending = tokio::spawn(telemetry::contained(self.clone().send(run.clone())));
        let asked = sending.await.unwrap_or(Err(SendError::Lost));
        let (outcome, result_tag) = classify_answer(&asked);
        let told = asked.as_ref().ok().and_then(load);
        let report = Report {
            partition: run.partition,
            position: run.position,
            outcome: outcome as i32,
            result_tag,
            status: asked.as_ref().map_or(0, |a| a.status as u32),
            running: told.map_or(0, |t| t.0),
            waiting: told.map_or(0, |t| t.1),
            loaded: told.is_some(),
            attempt: run.attempt,
            term: run.term,
            took_ms: begun.elapsed().as_millis() as u32,
        };
        telemetry::count("deliveries");
        if let Err(m) = &asked {
            telemetry::count(match m {
                SendError::NotSent => "deliveries_not_sent",
                SendError::Lost => "deliveries_lost",
                SendError::Silent => "deliveries_silent",
            });
        }
        self.report(report).await;
        self.held.lock().unwrap().over(run.partition, run.position);
    }

    /// Tells the owner, whoever that is by now, until it has it.
    async fn report(&self, report: Report) {
        let c = &self.front.settings.constraints;
        let wait = Duration::from_millis((c.quiet_ms / 4.0) as u64);
        let pause = Duration::from_millis((c.quiet_ms / 250.0) as u64);
        let end = Instant::now() + Duration::from_secs_f64(c.status_s);
        while Instant::now() < end {
            if let Some(addr) = self.front.owner_address(report.partition) {
                let mut rx = self.front.view.subscribe();
                rx.mark_unchanged();
                let owner = Some(addr.clone());
                let moved = rx.wait_for(|k| {
                    let p = k.assignments.partitions.iter().find(|p| p.id == report.partition);
                    p.and_then(|p| k.node(&p.owner, "store")).map(|n| n.inner.clone()) != owner
                });
                let rpc_client = self.front.rpc_clients.to(&addr);
                let asked = tokio::select! {
                    a = rpc_client.call(Body::Report(report.clone()), wait) => a.ok(),
                    _ = moved => None,
                };
                if let Some(Body::ReportAck(a)) = asked
                    && a.kept
                {
                    return;
                }
            }
            telemetry::count("reports_again");
            tokio::time::sleep(pause).await;
        }
        telemetry::count("reports_dropped");
    }

    async fn notify(&self, n: Notify) -> u32 {
        let Ok(url) = n.url.parse::<CallbackUrl>() else { return 400 };
        let membership = self.front.view.borrow().membership.clone();
        let addr = match url.resolve(&self.front.settings, &membership).await {
            Ok(addr) => addr,
            Err(why) => {
                // The machine may have joined since the message was accepted.
                telemetry::count("call_backs_not_sent");
                telemetry::debug!("call-back of {}: {why}", n.id);
                return 0;
            }
        };
        let body = if n.result_tag.is_empty() {
            serde_json::json!({"id": n.id, "state": n.state})
        } else {
            serde_json::json!({"id": n.id, "state": n.state, "seal": n.result_tag})
        }
        .to_string();
        let headers = [("Content-Type", "application/json")];
        let call = Call {
            method: "POST",
            path: &url.target,
            host: &url.authority,
            headers: &headers,
            body: body.as_bytes(),
            id: "",
            newest: None,
            connect: None,
        };
        let within = Duration::from_millis((self.front.settings.constraints.notify_s * 300.0) as u64);
        // Receivers take few connections, and there is a delivery node for them in
        // each zone.
        let limit = (48 / self.front.settings.zones.len().max(1)).max(2);
        match self.pool.call(&addr, call, limit, within).await {
            Ok(a) => a.status as u32,
            Err(_) => 0,
        }
    }
}
