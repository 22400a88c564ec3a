//! Forwarding of requests to processors: retries within the limits of the route, and hedging.

use super::*;

/// What became of one send to a processor.
enum ForwardOutcome {
    /// The processor's complete answer, to be returned to the client.
    Answered(Answer),
    /// No answer; `SlotEnd` is what the slot owner is told.
    Failed(DeliveryFailure, SlotEnd),
    /// Not sent: the request would have had more processors than its route has tries.
    TooManyProcessors,
}

/// A second request is sent once the first has taken this many times the mean duration of a run.
const HEDGE_FACTOR: f64 = 3.0;
/// No second request is sent before this fraction of the target latency has passed.
const HEDGE_TARGET_FRACTION: f64 = 0.6;

impl FunctionGateway {
    /// Serves one request of a client.
    pub async fn handle_request(self: Arc<Self>, request: Request) -> Reply {
        let received_at = Instant::now();
        let configuration = self.view.borrow().configuration.clone();
        if configuration.revision == 0 {
            return unavailable(500);
        }
        let client_request = match ClientRequest::read(&request, &configuration, &self.settings, received_at) {
            Ok(client_request) => client_request,
            Err(refusal) => return refusal,
        };
        self.state.lock().unwrap().retry_budget.record_request(received_at);
        let mut closing = self.closing.subscribe();
        let outcome = tokio::select! {
            // Shutdown is checked first: slots that other requests release as they end must not be
            // taken any more.
            biased;
            // The process is about to end, so the client is answered at once.
            _ = closing.wait_for(|c| *c == Closing::Ending) => Err(Failure::not_run()),
            // The client has gone: the slot is released and the processor drops the request.
            _ = client_request.request.client_connection.closed(), if client_request.is_safe => {
                telemetry::count("requests_abandoned");
                Err(Failure::not_run())
            }
            outcome = self.forward_hedged(&client_request) => outcome,
        };
        client_request.reply(outcome)
    }

    /// Forwards a request, and sends a second one in parallel if the first takes long and the
    /// request may run more than once.
    async fn forward_hedged(self: &Arc<Self>, request: &ClientRequest<'_>) -> Result<Answer, Failure> {
        let mean_run_ms = self.state.lock().unwrap().mean_run_ms.get(&request.service).copied();
        let Some(mean_run_ms) = mean_run_ms.filter(|_| request.is_safe) else {
            return self.forward_with_retries(request).await;
        };
        // An answer may be lost or a processor slow. If a request takes far longer than usual, a
        // second one is sent, and the client gets the first answer.
        let hedge_after_ms =
            (request.route.target_latency_ms.max(1.0) * HEDGE_TARGET_FRACTION).max(mean_run_ms * HEDGE_FACTOR);
        let hedge_after = Duration::from_micros((hedge_after_ms * 1000.0) as u64);
        let second = || {
            let may_hedge = request.attempts().has_room() && self.holds_slot_of(&request.service) && self.take_retry();
            may_hedge.then(|| self.forward_with_retries(request))
        };
        hedged(self.forward_with_retries(request), hedge_after, second).await
    }

    /// Takes one retry from this front's share of the retry budget; false if none is left.
    pub(super) fn take_retry(&self) -> bool {
        let fronts = self.fronts.lock().unwrap().len().max(1);
        let slack = self.settings.constraints.retry_slack / fronts as f64;
        self.state.lock().unwrap().retry_budget.take_retry(slack, Instant::now())
    }

    /// Forwards a request until there is an answer or a retry is not allowed.
    async fn forward_with_retries(self: &Arc<Self>, request: &ClientRequest<'_>) -> Result<Answer, Failure> {
        loop {
            if request.client_has_left() {
                return Err(Failure::not_run());
            }
            let max_wait = max_slot_wait(request.route, request.remaining());
            let (slot_id, grant) = self.acquire_slot(&request.service, request.route, &request.zones, max_wait).await?;
            let release = SlotRelease {
                service: request.service.clone(),
                front: self.settings.node.clone(),
                slot_id,
                processor: grant.processor.clone(),
                ..SlotRelease::default()
            };
            let sent_at = Instant::now();
            // Releases the slot if this future is dropped; the processor drops the request as well.
            let mut guard = SlotReleaseGuard { gateway: self, owner: None, release: Some(release.clone()) };
            let outcome = self.forward_to_slot(request, &grant, &release).await;
            guard.release = None;
            let elapsed_ms = sent_at.elapsed().as_millis().max(1) as u32;
            let (end, run_ms) = match &outcome {
                ForwardOutcome::Answered(_) => (SlotEnd::Done, if grant.starting { 0 } else { elapsed_ms }),
                ForwardOutcome::Failed(_, end) => (*end, 0),
                ForwardOutcome::TooManyProcessors => (SlotEnd::Done, 0),
            };
            if run_ms > 0 {
                let mut state = self.state.lock().unwrap();
                let mean = state.mean_run_ms.entry(request.service.clone()).or_insert(f64::from(run_ms));
                *mean = *mean * 0.9 + f64::from(run_ms) * 0.1;
            }
            self.report_slot(SlotRelease { end: end as i32, took_ms: run_ms, ..release });
            let delivery_failure = match outcome {
                ForwardOutcome::Answered(answer) => return Ok(answer),
                ForwardOutcome::Failed(delivery_failure, _) => delivery_failure,
                ForwardOutcome::TooManyProcessors => return Err(Failure::MayHaveRun),
            };
            let failure = match delivery_failure.execution() {
                ExecutionOutcome::NotRun => {
                    telemetry::count("sends_not_run");
                    Failure::not_run()
                }
                _ => {
                    telemetry::count("sends_unclear");
                    if delivery_failure == DeliveryFailure::Silent { Failure::TimedOut } else { Failure::MayHaveRun }
                }
            };
            let retry_owner =
                delivery_failure.retry_owner(if request.is_safe { RetrySafety::Safe } else { RetrySafety::Unsafe });
            let may_retry =
                matches!(retry_owner, RetryOwner::Front | RetryOwner::FrontTries) && request.attempts().has_room();
            if !may_retry || !self.take_retry() {
                return Err(failure);
            }
            telemetry::count("sent_again");
        }
    }

    /// Forwards a request to the processor of a granted slot, once that processor is up.
    async fn forward_to_slot(
        self: &Arc<Self>,
        request: &ClientRequest<'_>,
        grant: &SlotGrant,
        release: &SlotRelease,
    ) -> ForwardOutcome {
        if grant.starting && !self.wait_until_up(request, grant, release).await {
            return ForwardOutcome::Failed(DeliveryFailure::NotSent, SlotEnd::Unresponsive);
        }
        if self.is_zone_evacuated(&grant.zone) {
            telemetry::count("sends_spared_evacuated");
            return ForwardOutcome::Failed(DeliveryFailure::NotSent, SlotEnd::Done);
        }
        let within = request.remaining();
        if request.client_has_left() || within < request.min_run_time() {
            return ForwardOutcome::Failed(DeliveryFailure::NotSent, SlotEnd::Done);
        }
        if !request.attempts().begin(&grant.processor) {
            return ForwardOutcome::TooManyProcessors;
        }
        let target = Target { processor: grant.processor.clone(), address: grant.address.clone() };
        let rules = ConnectionRules {
            max_idle: self.quiet_fraction(20.0),
            connect_timeout: None,
            probe_timeout: self.quiet_fraction(200.0),
        };
        let outcome = send(&self.pool, request, &target, within, rules).await;
        if outcome.has_not_run() {
            request.attempts().did_not_run(&grant.processor);
        }
        match outcome {
            SendOutcome::Answered(answer) => ForwardOutcome::Answered(answer),
            SendOutcome::OtherProcessor => ForwardOutcome::Failed(DeliveryFailure::Refused, SlotEnd::Gone),
            SendOutcome::Refused => ForwardOutcome::Failed(DeliveryFailure::Refused, SlotEnd::Full),
            SendOutcome::NotSent { is_gone: true } => ForwardOutcome::Failed(DeliveryFailure::NotSent, SlotEnd::Gone),
            SendOutcome::NotSent { is_gone: false } => {
                ForwardOutcome::Failed(DeliveryFailure::NotSent, SlotEnd::Unresponsive)
            }
            SendOutcome::Lost => ForwardOutcome::Failed(DeliveryFailure::Lost, SlotEnd::Done),
            SendOutcome::TimedOut if grant.starting => {
                ForwardOutcome::Failed(DeliveryFailure::Silent, SlotEnd::Unresponsive)
            }
            SendOutcome::TimedOut => ForwardOutcome::Failed(DeliveryFailure::Silent, SlotEnd::Done),
        }
    }

    /// Whether the zone is evacuated, so that its processors get no requests.
    fn is_zone_evacuated(&self, zone: &str) -> bool {
        let view = self.view.borrow();
        view.assignments.zone_use(zone, view.membership.version) == ZoneUse::Evacuated
    }

    /// Connects repeatedly to a starting processor, which refuses connections until it is up, and
    /// then reports that to the slot owner. False if the request runs out of time before that.
    async fn wait_until_up(
        self: &Arc<Self>,
        request: &ClientRequest<'_>,
        grant: &SlotGrant,
        release: &SlotRelease,
    ) -> bool {
        let pause = self.quiet_fraction(200.0);
        loop {
            let left = request.remaining();
            if left.is_zero() || request.client_has_left() {
                return false;
            }
            match self.pool.open(&grant.address, left.min(self.quiet_fraction(20.0))).await {
                Ok(()) => break,
                Err(_) => tokio::time::sleep(pause.min(left)).await,
            }
        }
        self.report_slot(SlotRelease { end: SlotEnd::Started as i32, ..release.clone() });
        true
    }
}

/// How long a request may wait for a slot. A quarter of the target latency is reserved for the
/// run, or a tenth of the remaining time if that is more, but never more than half of it.
fn max_slot_wait(route: &Route, left: Duration) -> Duration {
    let run = Duration::from_micros((route.target_latency_ms * 250.0) as u64);
    left - run.max(left / 10).min(left / 2)
}
