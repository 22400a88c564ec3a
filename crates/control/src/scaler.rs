//! The scaler: lists workers, and starts and stops processors through the platform's API.

use crate::instance_launcher::Worker;
use crate::service::{ControlService, ControlShared};
use config::Settings;
use http1::{Call, ConnectionPool};
use rpc::messages::*;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::watch;

impl ControlShared {
    /// Divides the processors among the fronts that own their slots, if the listing or the
    /// membership has changed since.
    fn update_shares(&mut self) {
        let version = (self.membership.version, self.listed_at());
        if (self.processor_shares.0, self.processor_shares.1) == version {
            return;
        }
        let fronts = rpc::fronts(&self.membership);
        let mut all: HashMap<String, Processors> = HashMap::new();
        for u in self.processors() {
            let Some(owner) = rpc::slot_owner(&fronts, &u.service) else { continue };
            let share =
                all.entry(owner.1.clone()).or_insert_with(|| Processors { known: true, processors: vec![], digest: 1 });
            let digest = (share.digest ^ rpc::fingerprint(u.id.as_bytes())).wrapping_mul(0x9e3779b97f4a7c15);
            share.digest = digest ^ u64::from(u.draining);
            share.processors.push(u.clone());
        }
        self.processor_shares = (version.0, version.1, all);
    }
}

impl ControlService {
    /// Keeps the list of workers up to date while this control node leads.
    pub(crate) async fn list_workers(self: Arc<Self>, settings_updates: watch::Receiver<Settings>) {
        #[derive(serde::Deserialize)]
        #[serde(rename_all = "camelCase", default)]
        #[derive(Default)]
        struct ListedWorker {
            name: String,
            zone: String,
            headroom_mb: f64,
            state: String,
        }
        #[derive(serde::Deserialize)]
        struct Page {
            #[serde(rename = "carriers")]
            workers: Vec<ListedWorker>,
        }
        let period = Duration::from_millis((self.settings.constraints.converge_ms / 4.0) as u64);
        let pool = ConnectionPool::new(period * 4);
        loop {
            let addr = settings_updates.borrow().platform.address.clone();
            if addr.is_empty() || !self.holds_leadership() {
                tokio::time::sleep(period / 8).await;
                continue;
            }
            let (headers, body, id) = (&[], &[], "");
            let call =
                Call { method: "GET", path: "/workers", host: &addr, headers, body, id, newest: None, connect: None };
            telemetry::count("platform_calls");
            let page = match pool.call(&addr, call, 2, period).await {
                Ok(a) if a.status == 200 => serde_json::from_slice::<Page>(&a.body).ok(),
                _ => None,
            };
            match page {
                Some(p) => {
                    let (listed, all) = (p.workers.len(), p.workers.into_iter());
                    let workers: Vec<Worker> = all
                        .filter(|c| !c.name.is_empty() && c.headroom_mb.is_finite() && c.headroom_mb >= 0.0)
                        .map(|c| Worker {
                            ready: c.state == "ready",
                            name: c.name,
                            zone: c.zone,
                            headroom_mb: c.headroom_mb,
                        })
                        .collect();
                    telemetry::add("platform_items_refused", (listed - workers.len()) as u64);
                    let now = self.now();
                    self.with(|shared| shared.launcher.update_workers(workers, now));
                    tokio::time::sleep(period).await;
                }
                None => {
                    telemetry::count("platform_misses");
                    tokio::time::sleep(period / 4).await;
                }
            }
        }
    }

    /// The processors of the functions whose slots a front owns, as the platform lists them.
    pub(crate) fn processors_of(&self, a: &ProcessorsRequest) -> Processors {
        let now = self.now();
        self.with(|shared| {
            if !shared.knows_processors(now) {
                return Processors::default();
            }
            shared.update_shares();
            match shared.processor_shares.2.get(&a.front) {
                Some(u) if u.digest == a.digest => Processors { processors: Vec::new(), ..u.clone() },
                Some(u) => u.clone(),
                None => Processors { known: true, processors: Vec::new(), digest: 1 },
            }
        })
    }

    /// Starts a processor; a repeated request with the same nonce returns the same processor.
    pub(crate) async fn start_processor(&self, s: Start, platform: &str) -> StartAck {
        let leader = self.leader();
        let end = Instant::now() + Duration::from_millis(self.ratio(5.0));
        let mut ack = StartAck { leader, ..StartAck::default() };
        if !self.holds_leadership() || s.nonce.is_empty() || s.nonce.len() > 64 {
            return ack;
        }
        let configuration_index = self.configuration_index();
        let Some(memory) = configuration_index.service(&s.service).filter(|p| p.is_function()).map(|p| p.memory_mb)
        else {
            telemetry::count("starts_unknown");
            ack.full = true;
            return ack;
        };
        while Instant::now() < end && self.holds_leadership() {
            let now = self.now();
            let (chosen, fence, has_workers) = self.with(|shared| {
                let evacuated = shared.control_state.assignments.evacuated_zones(shared.membership.version);
                let is_allowed =
                    |zone: &str| !evacuated.contains(zone) && (s.zones.is_empty() || s.zones.iter().any(|z| z == zone));
                (
                    shared.launcher.choose_worker(memory, &s.zone, is_allowed, now),
                    shared.term(),
                    shared.launcher.has_workers(),
                )
            });
            let Some(Worker { name: worker, zone, .. }) = chosen else {
                // Before the first listing it is not known whether the workers are full.
                ack.full = has_workers;
                if has_workers {
                    telemetry::count("starts_without_room");
                    return ack;
                }
                tokio::time::sleep(Duration::from_millis(self.ratio(200.0))).await;
                continue;
            };
            let body = serde_json::json!({"plant": s.service, "carrier": worker, "nonce": s.nonce}).to_string();
            match self.call_platform(platform, "/start", &body, fence, end).await {
                Some((200, answer)) => {
                    #[derive(serde::Deserialize)]
                    struct Started {
                        id: String,
                        address: String,
                    }
                    let Ok(a) = serde_json::from_slice::<Started>(&answer) else {
                        telemetry::count("platform_items_refused");
                        continue;
                    };
                    telemetry::count("starts");
                    (ack.processor, ack.address, ack.zone) = (a.id, a.address, zone);
                    return ack;
                }
                Some((409, _)) => {
                    telemetry::count("starts_refused");
                    let now = self.now();
                    self.with(|shared| shared.launcher.exclude(&worker, now));
                }
                Some((400, _)) => {
                    ack.full = true;
                    return ack;
                }
                // No answer, or a temporary refusal: the platform may have started the processor; the
                // nonce makes another try idempotent.
                _ => tokio::time::sleep(Duration::from_millis(self.ratio(100.0))).await,
            }
        }
        ack
    }

    /// Stops a processor; returns whether the platform confirmed that it is gone.
    pub(crate) async fn stop_processor(&self, processor: &str, platform: &str) -> bool {
        let end = Instant::now() + Duration::from_millis(self.ratio(5.0));
        let body = serde_json::json!({ "id": processor }).to_string();
        while Instant::now() < end && self.holds_leadership() {
            let fence = self.with(|shared| shared.term());
            if let Some((200 | 404, _)) = self.call_platform(platform, "/stop", &body, fence, end).await {
                telemetry::count("stops");
                return true;
            }
            tokio::time::sleep(Duration::from_millis(self.ratio(100.0))).await;
        }
        false
    }

    /// Sends one call that changes state at the platform, within the limit of calls per second.
    /// `None`: the limit allowed no call before `end`, or the platform did not answer.
    async fn call_platform(
        &self,
        platform: &str,
        path: &str,
        body: &str,
        fence: u64,
        end: Instant,
    ) -> Option<(u16, bytes::Bytes)> {
        loop {
            let now = self.now();
            match self.with(|shared| shared.launcher.take_token(now)) {
                Ok(()) => break,
                Err(_) if Instant::now() > end => return None,
                Err(ms) => tokio::time::sleep(Duration::from_millis(ms)).await,
            }
        }
        let fence = fence.to_string();
        let headers =
            [("X-Duty-Holder", self.settings.node.as_str()), ("X-Fence", &fence), ("Content-Type", "application/json")];
        let call = Call {
            method: "POST",
            path,
            host: platform,
            headers: &headers,
            body: body.as_bytes(),
            id: "",
            newest: None,
            connect: None,
        };
        telemetry::count("platform_calls");
        let a = self.platform_pool.call(platform, call, 32, Duration::from_millis(self.ratio(5.0))).await.ok()?;
        Some((a.status, a.body))
    }
}
