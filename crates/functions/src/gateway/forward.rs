//! Forwarding of requests: tries within the route, and what becomes of their answers.

use super::*;

/// What is to be done with what a processor said.
enum Heard {
    /// Its answer, whole: the client's.
    Whole(Answer),
    /// None; and what its slot owner is told of the slot.
    Missed(DeliveryFailure, SlotEnd),
    /// It was not sent there: that would be more processors than the route has tries.
    TooManyProcessors,
}

/// By how much a request may take longer than runs usually do before another is sent beside it.
const HEDGE_FACTOR: f64 = 3.0;
/// The part of its aim before which no request is sent beside another.
const HEDGE_PART: f64 = 0.6;

impl FunctionGateway {
    /// One request of a client.
    pub async fn answer(self: Arc<Self>, r: Request) -> Reply {
        let begun = Instant::now();
        let configuration = self.known.borrow().configuration.clone();
        if configuration.revision == 0 {
            return unavailable(500);
        }
        let ask = match ClientRequest::read(&r, &configuration, &self.settings, begun) {
            Ok(ask) => ask,
            Err(refusal) => return refusal,
        };
        self.shared.lock().unwrap().retry_budget.record_request(begun);
        let mut closing = self.closing.subscribe();
        let outcome = tokio::select! {
            // First: what others give back as they end is not to be taken any more.
            biased;
            // The process is about to end: what is known by now is the answer.
            _ = closing.wait_for(|c| *c == Closing::Ending) => Err(Failure::not_run()),
            // Nobody waits for it: the slot goes back and the processor drops it.
            _ = ask.request.departure.left(), if ask.is_safe => {
                telemetry::count("requests_abandoned");
                Err(Failure::not_run())
            }
            outcome = self.serve(&ask) => outcome,
        };
        ask.reply(outcome)
    }

    /// Sends a request, and beside the first send another one where that takes long.
    async fn serve(self: &Arc<Self>, ask: &ClientRequest<'_>) -> Result<Answer, Failure> {
        let usual = self.shared.lock().unwrap().took.get(&ask.service).copied();
        let Some(usual) = usual.filter(|_| ask.is_safe) else { return self.tries(ask).await };
        // An answer may be lost, or its processor slow: when it takes far longer than
        // runs do, another is asked as well, and the first answer is the client's.
        let patience_ms = (ask.route.target_latency_ms.max(1.0) * HEDGE_PART).max(usual * HEDGE_FACTOR);
        let patience = Duration::from_micros((patience_ms * 1000.0) as u64);
        let second = || {
            let is_worth_it = ask.attempts().has_room() && self.holds_any(&ask.service) && self.again();
            is_worth_it.then(|| self.tries(ask))
        };
        hedged(self.tries(ask), patience, second).await
    }

    /// Takes one of the repeats that are allowed to this front.
    pub(super) fn again(&self) -> bool {
        let fronts = self.fronts.lock().unwrap().len().max(1);
        let slack = self.settings.constraints.retry_slack / fronts as f64;
        self.shared.lock().unwrap().retry_budget.take_retry(slack, Instant::now())
    }

    /// Sends one request until there is an answer, or another try must not be.
    async fn tries(self: &Arc<Self>, ask: &ClientRequest<'_>) -> Result<Answer, Failure> {
        loop {
            if ask.client_has_left() {
                return Err(Failure::not_run());
            }
            let patience = wait_for_slot(ask.route, ask.remaining());
            let (slot_id, g) = self.slot(&ask.service, ask.route, &ask.zones, patience).await?;
            let back = SlotRelease {
                service: ask.service.clone(),
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
                Heard::TooManyProcessors => (SlotEnd::Done, 0),
            };
            if took > 0 {
                let mut i = self.shared.lock().unwrap();
                let t = i.took.entry(ask.service.clone()).or_insert(f64::from(took));
                *t = *t * 0.9 + f64::from(took) * 0.1;
            }
            self.tell(SlotRelease { end: ended as i32, took_ms: took, ..back });
            let gap = match heard {
                Heard::Whole(a) => return Ok(a),
                Heard::Missed(gap, _) => gap,
                Heard::TooManyProcessors => return Err(Failure::MayHaveRun),
            };
            let failure = match gap.execution() {
                ExecutionOutcome::NotRun => {
                    telemetry::count("sends_not_run");
                    Failure::not_run()
                }
                _ => {
                    telemetry::count("sends_unclear");
                    if gap == DeliveryFailure::Silent { Failure::TimedOut } else { Failure::MayHaveRun }
                }
            };
            let again = gap.again(if ask.is_safe { RetrySafety::Safe } else { RetrySafety::Unsafe });
            let more = matches!(again, RetryOwner::Front | RetryOwner::FrontTries) && ask.attempts().has_room();
            if !more || !self.again() {
                return Err(failure);
            }
            telemetry::count("sent_again");
        }
    }

    /// Passes a request to the processor of a granted slot, once that is up.
    async fn pass(self: &Arc<Self>, ask: &ClientRequest<'_>, g: &SlotGrant, back: &SlotRelease) -> Heard {
        if g.starting && !self.wait_until_up(ask, g, back).await {
            return Heard::Missed(DeliveryFailure::NotSent, SlotEnd::Dark);
        }
        if self.is_evacuated(&g.zone) {
            telemetry::count("sends_spared_evacuated");
            return Heard::Missed(DeliveryFailure::NotSent, SlotEnd::Done);
        }
        let within = ask.remaining();
        if ask.client_has_left() || within < ask.min_run_time() {
            return Heard::Missed(DeliveryFailure::NotSent, SlotEnd::Done);
        }
        if !ask.attempts().begin(&g.processor) {
            return Heard::TooManyProcessors;
        }
        let target = Target { processor: g.processor.clone(), address: g.address.clone() };
        let rules =
            ConnectionRules { max_idle: self.ratio(20.0), connect_timeout: None, probe_timeout: self.ratio(200.0) };
        let outcome = send(&self.pool, ask, &target, within, rules).await;
        if outcome.has_not_run() {
            ask.attempts().did_not_run(&g.processor);
        }
        match outcome {
            SendOutcome::Answered(answer) => Heard::Whole(answer),
            SendOutcome::OtherProcessor => Heard::Missed(DeliveryFailure::Refused, SlotEnd::Gone),
            SendOutcome::Refused => Heard::Missed(DeliveryFailure::Refused, SlotEnd::Full),
            SendOutcome::NotSent { is_gone: true } => Heard::Missed(DeliveryFailure::NotSent, SlotEnd::Gone),
            SendOutcome::NotSent { is_gone: false } => Heard::Missed(DeliveryFailure::NotSent, SlotEnd::Dark),
            SendOutcome::Lost => Heard::Missed(DeliveryFailure::Lost, SlotEnd::Done),
            SendOutcome::TimedOut if g.starting => Heard::Missed(DeliveryFailure::Silent, SlotEnd::Dark),
            SendOutcome::TimedOut => Heard::Missed(DeliveryFailure::Silent, SlotEnd::Done),
        }
    }

    /// Whether the processors of a zone are sent nothing.
    fn is_evacuated(&self, zone: &str) -> bool {
        let known = self.known.borrow();
        known.assignments.zone_use(zone, known.membership.version) == ZoneUse::Evacuated
    }

    /// Connects to a processor that refuses until it has started, and tells its slot owner
    /// when it has; false if the time is over before that.
    async fn wait_until_up(self: &Arc<Self>, ask: &ClientRequest<'_>, g: &SlotGrant, back: &SlotRelease) -> bool {
        let step = self.ratio(200.0);
        loop {
            let left = ask.remaining();
            if left.is_zero() || ask.client_has_left() {
                return false;
            }
            match self.pool.open(&g.address, left.min(self.ratio(20.0))).await {
                Ok(()) => break,
                Err(_) => tokio::time::sleep(step.min(left)).await,
            }
        }
        self.tell(SlotRelease { end: SlotEnd::Up as i32, ..back.clone() });
        true
    }
}

/// How long a request waits for a slot: what is left then must do for a run, for which a
/// quarter of the target latency is kept, or a tenth of the time if that is more.
fn wait_for_slot(c: &Route, left: Duration) -> Duration {
    let run = Duration::from_micros((c.target_latency_ms * 250.0) as u64);
    left - run.max(left / 10).min(left / 2)
}
