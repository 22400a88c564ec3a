//! Carries out deliveries and callbacks. The outcome of a delivery is reported to the current owner
//! of its partition, and the delivery is held until that owner has the report on its disks.

use crate::callback::CallbackUrl;
use crate::ingest::FrontService;
use crate::outbox::*;
use http1::{Answer, Call, Closing, ConnectionPool, SendError};
use rpc::messages::*;
use rpc::{Body, Responder};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Runs the deliveries and callbacks that owners request from this node.
pub struct DeliveryWorker {
    front: Arc<FrontService>,
    pool: Arc<ConnectionPool>,
    outbox: Mutex<Outbox>,
    started: Instant,
}

/// Maps a processor's answer, or the failure to get one, to the outcome of the attempt and its result
/// tag.
pub fn classify_answer(result: &Result<Answer, SendError>) -> (Outcome, String) {
    match result {
        Ok(answer) => {
            let not_run = answer.status == 421 || answer.header("x-not-run").is_some();
            match (answer.status, answer.header("x-seal")) {
                (200..=299, Some(result_tag)) if !result_tag.is_empty() => (Outcome::Done, result_tag.to_owned()),
                (status, _) if status >= 400 && not_run => (Outcome::NotRun, String::new()),
                (500, _) => (Outcome::Failed, String::new()),
                (422, _) => (Outcome::Never, String::new()),
                _ => (Outcome::Unknown, String::new()),
            }
        }
        Err(SendError::NotSent) => (Outcome::NotRun, String::new()),
        Err(_) => (Outcome::Unknown, String::new()),
    }
}

/// Running and waiting requests as the processor states them in `X-Load`.
fn load_of(answer: &Answer) -> Option<(u32, u32)> {
    let mut parts = answer.header("x-load")?.split(',').map(|part| part.trim().parse::<u32>().ok());
    Some((parts.next()??, parts.next()??))
}

/// Headers of a delivery: those that this system sets. No other header of the client is forwarded.
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
        let constraints = &front.settings.constraints;
        let idle = Duration::from_millis(constraints.quiet_ms as u64);
        let outbox = Mutex::new(Outbox::new(constraints.quiet_ms as u64, (constraints.status_s * 1000.0) as u64));
        Arc::new(DeliveryWorker { front, pool: ConnectionPool::new(idle), outbox, started: Instant::now() })
    }

    /// Whether no delivery is in progress or waits for its report to be acknowledged.
    pub fn is_idle(&self) -> bool {
        self.outbox.lock().unwrap().held_count() == 0
    }

    /// Milliseconds since this worker was created.
    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Must be called every `quietMs` / 40; see [`Outbox::tick`].
    pub fn tick(&self) {
        self.outbox.lock().unwrap().tick(self.now_ms());
    }

    /// Addresses of the processors whose answers do not carry the id of their request.
    pub fn unidentified(&self) -> Vec<String> {
        self.pool.unidentified()
    }

    /// Closes pooled connections that have been idle for too long.
    pub fn sweep(&self) {
        self.pool.sweep(|_| true);
    }

    /// Handles a call of another node.
    pub fn handle(self: &Arc<Self>, body: Body, responder: Responder) {
        match body {
            Body::Run(run) => {
                let leaving = *self.front.closing.borrow() != Closing::Open;
                let term = {
                    let view = self.front.view.borrow();
                    let partitions = &view.assignments.partitions;
                    // Usually the index of a partition is its id.
                    let indexed = partitions.get(run.partition as usize).filter(|p| p.id == run.partition);
                    indexed.or_else(|| partitions.iter().find(|p| p.id == run.partition)).map(|p| p.term)
                };
                let decision = self.outbox.lock().unwrap().request_run(&run, term, leaving, self.now_ms());
                if decision == RunDecision::Send {
                    tokio::spawn(self.clone().deliver(run));
                }
                responder.send(Body::RunAck(RunAck { taken: decision != RunDecision::Refused }));
            }
            Body::Holding(query) => {
                let held = self.outbox.lock().unwrap().held_deliveries(&query);
                responder.send(Body::Held(held));
            }
            Body::Notify(notification) => {
                let worker = self.clone();
                tokio::spawn(telemetry::contained(async move {
                    let status = worker.notify(notification).await;
                    responder.send(Body::NotifyAck(NotifyAck { status }));
                }));
            }
            Body::Status(_) => {
                let versions = self.front.view.borrow().have();
                let json = format!(
                    "{{\"node\":\"{}\",\"ready\":{},\"template\":{},\"assignments\":{},\"membership\":{},\"underWay\":{},\"bodyLimit\":{},\"counters\":\"{}\"}}",
                    self.front.settings.node,
                    self.front.is_ready(),
                    versions.configuration,
                    versions.assignments,
                    versions.membership,
                    self.outbox.lock().unwrap().held_count(),
                    self.front.bounds().body_bytes,
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
        // The processor stops at the cutoff and answers so; a twentieth more lets that answer arrive.
        let timeout = Duration::from_millis(run.timeout_ms as u64) * 21 / 20;
        self.pool.call(&run.address, call, run.conn_limit.max(1) as usize, timeout).await
    }

    /// Delivers a message and reports the outcome.
    async fn deliver(self: Arc<Self>, run: Run) {
        let started = Instant::now();
        let run = Arc::new(run);
        // The send runs in a task of its own, so that the outcome is reported even if it panics.
        let sending = tokio::spawn(telemetry::contained(self.clone().send(run.clone())));
        let result = sending.await.unwrap_or(Err(SendError::Lost));
        let (outcome, result_tag) = classify_answer(&result);
        let load = result.as_ref().ok().and_then(load_of);
        let report = Report {
            partition: run.partition,
            position: run.position,
            outcome: outcome as i32,
            result_tag,
            status: result.as_ref().map_or(0, |answer| answer.status as u32),
            running: load.map_or(0, |(running, _)| running),
            waiting: load.map_or(0, |(_, waiting)| waiting),
            loaded: load.is_some(),
            attempt: run.attempt,
            term: run.term,
            took_ms: started.elapsed().as_millis() as u32,
        };
        telemetry::count("deliveries");
        if let Err(error) = &result {
            telemetry::count(match error {
                SendError::NotSent => "deliveries_not_sent",
                SendError::Lost => "deliveries_lost",
                SendError::Silent => "deliveries_silent",
            });
        }
        self.report(report).await;
        self.outbox.lock().unwrap().release(run.partition, run.position);
    }

    /// Sends a report to the current owner of the partition, and retries until an owner acknowledges it
    /// or `statusS` is over.
    async fn report(&self, report: Report) {
        let constraints = &self.front.settings.constraints;
        let timeout = Duration::from_millis((constraints.quiet_ms / 4.0) as u64);
        let retry_delay = Duration::from_millis((constraints.quiet_ms / 250.0) as u64);
        let deadline = Instant::now() + Duration::from_secs_f64(constraints.status_s);
        while Instant::now() < deadline {
            if let Some(address) = self.front.owner_address(report.partition) {
                let mut view = self.front.view.subscribe();
                view.mark_unchanged();
                let owner = Some(address.clone());
                let moved = view.wait_for(|view| {
                    let partition = view.assignments.partitions.iter().find(|p| p.id == report.partition);
                    partition.and_then(|p| view.node(&p.owner, "store")).map(|node| node.inner.clone()) != owner
                });
                let rpc_client = self.front.rpc_clients.to(&address);
                let answer = tokio::select! {
                    answer = rpc_client.call(Body::Report(report.clone()), timeout) => answer.ok(),
                    _ = moved => None,
                };
                if let Some(Body::ReportAck(ack)) = answer
                    && ack.kept
                {
                    return;
                }
            }
            telemetry::count("reports_again");
            tokio::time::sleep(retry_delay).await;
        }
        telemetry::count("reports_dropped");
    }

    /// Sends a callback and returns the status of the receiver's answer, 400 for an invalid URL, or 0 if
    /// nothing was sent or no answer arrived.
    async fn notify(&self, notification: Notify) -> u32 {
        let Ok(url) = notification.url.parse::<CallbackUrl>() else { return 400 };
        let membership = self.front.view.borrow().membership.clone();
        let address = match url.resolve(&self.front.settings, &membership).await {
            Ok(address) => address,
            Err(error) => {
                // The receiver's address may have become one of this system since the message was
                // accepted, when a machine joined.
                telemetry::count("call_backs_not_sent");
                telemetry::debug!("callback for message {} not sent: {error}", notification.id);
                return 0;
            }
        };
        let body = if notification.result_tag.is_empty() {
            serde_json::json!({"id": notification.id, "state": notification.state})
        } else {
            serde_json::json!({"id": notification.id, "state": notification.state, "seal": notification.result_tag})
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
        let timeout = Duration::from_millis((self.front.settings.constraints.notify_s * 300.0) as u64);
        // Receivers accept few connections, and each zone has a delivery node that calls them.
        let limit = (48 / self.front.settings.zones.len().max(1)).max(2);
        match self.pool.call(&address, call, limit, timeout).await {
            Ok(answer) => answer.status as u32,
            Err(_) => 0,
        }
    }
}
