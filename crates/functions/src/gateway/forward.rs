//! Forwarding of requests: tries within the route, and what becomes of their answers.

use super::*;

impl FunctionGateway {
    /// One request of a client.
    pub async fn answer(self: Arc<Self>, r: Request) -> Reply {
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
        // Nothing is held for longer than its route wants it held.
        let end = begun + Duration::from_micros((given.min(c.timeout_ms) * 1000.0) as u64);
        let service = c.service_for(rpc::fingerprint(id.as_bytes())).to_owned();
        let homes = configuration.homes(c, "");
        let zones = self.settings.zones_within(&homes);
        if homes.is_bound() && zones.is_empty() {
            return fault(403, "none of the regions that it may run in is known");
        }
        self.shared.lock().unwrap().retry_budget.sent(begun);
        let ask = Passing {
            connection: r.header("connection").unwrap_or(""),
            limit: configuration.service(&service).map_or(8, |p| p.conn_limit.max(1)) as usize,
            safe: c.mode == "safe",
            request: &r,
            route: c,
            service: &service,
            zones,
            id,
            end,
            attempts: Mutex::new(Attempts::new(c.tries)),
        };
        let mut closing = self.closing.subscribe();
        let outcome = tokio::select! {
            // First: what others give back as they end is not to be taken any more.
            biased;
            // The process is about to end: what is known by now is the answer.
            _ = closing.wait_for(|c| *c == Closing::Ending) => Err(Failure::not_run()),
            outcome = self.serve(&ask) => outcome,
        };
        match outcome {
            Ok(answer) => reply(answer),
            Err(Failure::NotRun { .. }) if ask.attempts.lock().unwrap().may_have_run() => Failure::MayHaveRun.reply(),
            Err(failure) => failure.reply(),
        }
    }

    /// Sends a request, and beside the first send another one where that takes long.
    async fn serve(self: &Arc<Self>, ask: &Passing<'_>) -> Result<Answer, Failure> {
        let first = self.tries(ask);
        if !ask.safe {
            return first.await;
        }
        // An answer may be lost, or its processor slow: when it takes far longer than
        // runs do, another is asked as well, and the first answer is the client's.
        tokio::pin!(first);
        let usual = self.shared.lock().unwrap().took.get(ask.service).copied();
        let patience = ask.route.target_latency_ms.max(1.0) * 0.6;
        let late = Duration::from_micros((usual.map_or(patience, |t| patience.max(3.0 * t)) * 1000.0) as u64);
        tokio::select! {
            outcome = &mut first => return outcome,
            _ = tokio::time::sleep(late), if usual.is_some() => {}
        }
        if !ask.attempts.lock().unwrap().has_room() || !self.holds_any(ask.service) || !self.again() {
            return first.await;
        }
        telemetry::count("sent_beside");
        let second = self.tries(ask);
        tokio::pin!(second);
        tokio::select! {
            outcome = &mut first => if is_good(&outcome) { outcome } else { better(outcome, second.await) },
            outcome = &mut second => if is_good(&outcome) { outcome } else { better(outcome, first.await) },
        }
    }

    /// Takes one of the repeats that are allowed to this front.
    pub(super) fn again(&self) -> bool {
        let fronts = self.fronts.lock().unwrap().len().max(1);
        let slack = self.settings.constraints.retry_slack / fronts as f64;
        self.shared.lock().unwrap().retry_budget.again(slack, Instant::now())
    }

    /// Sends one request until there is an answer, or another try must not be.
    async fn tries(self: &Arc<Self>, ask: &Passing<'_>) -> Result<Answer, Failure> {
        let c = ask.route;
        loop {
            let left = ask.end.saturating_duration_since(Instant::now());
            let (slot_id, g) = self.slot(ask.service, c, &ask.zones, wait_for_slot(c, left)).await?;
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
                Heard::TooManyProcessors => (SlotEnd::Done, 0),
            };
            if took > 0 {
                let mut i = self.shared.lock().unwrap();
                let t = i.took.entry(ask.service.to_owned()).or_insert(f64::from(took));
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
                    if gap == DeliveryFailure::Silent { Failure::Silent } else { Failure::MayHaveRun }
                }
            };
            let again = gap.again(if ask.safe { RetrySafety::Safe } else { RetrySafety::Unsafe });
            let more =
                matches!(again, RetryOwner::Front | RetryOwner::FrontTries) && ask.attempts.lock().unwrap().has_room();
            if !more || !self.again() {
                return Err(failure);
            }
            telemetry::count("sent_again");
        }
    }

    /// Passes a request to the processor of a granted slot, once that is up.
    async fn pass(self: &Arc<Self>, ask: &Passing<'_>, g: &SlotGrant, back: &SlotRelease) -> Heard {
        if g.starting && !self.wait_until_up(ask, g, back).await {
            return Heard::Missed(DeliveryFailure::NotSent, SlotEnd::Dark);
        }
        if self.is_evacuated(&g.zone) {
            telemetry::count("sends_spared_evacuated");
            return Heard::Missed(DeliveryFailure::NotSent, SlotEnd::Done);
        }
        let within = ask.end.saturating_duration_since(Instant::now());
        if within < shortest_run(ask.route) {
            return Heard::Missed(DeliveryFailure::NotSent, SlotEnd::Done);
        }
        if !ask.attempts.lock().unwrap().begin(&g.processor) {
            return Heard::TooManyProcessors;
        }
        let heard = self.send(ask, g, within).await;
        if let Heard::Missed(gap, _) = &heard
            && gap.execution() == ExecutionOutcome::NotRun
        {
            ask.attempts.lock().unwrap().did_not_run(&g.processor);
        }
        heard
    }

    /// Whether the processors of a zone are sent nothing.
    fn is_evacuated(&self, zone: &str) -> bool {
        let known = self.known.borrow();
        known.assignments.zone_use(zone, known.membership.version) == ZoneUse::Evacuated
    }

    /// Connects to a processor that refuses until it has started, and tells its slot owner
    /// when it has; false if the time is over before that.
    async fn wait_until_up(self: &Arc<Self>, ask: &Passing<'_>, g: &SlotGrant, back: &SlotRelease) -> bool {
        let step = self.ratio(200.0);
        loop {
            let left = ask.end.saturating_duration_since(Instant::now());
            if left.is_zero() {
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

    /// One send of a request, and what its answer means.
    async fn send(&self, ask: &Passing<'_>, g: &SlotGrant, within: Duration) -> Heard {
        let r = ask.request;
        let late = Heard::Missed(DeliveryFailure::Silent, if g.starting { SlotEnd::Dark } else { SlotEnd::Done });
        let unclear = Heard::Missed(DeliveryFailure::Lost, SlotEnd::Done);
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
        let call =
            Call { method: &r.method, path: &r.path, host, headers: &headers, body: &r.body, id: ask.id, newest };
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
            // It is not said that it did not run, which is what the client would read.
            Ok(a) if promises_not_run(a.status) => {
                telemetry::count("promises_of_nobody");
                unclear
            }
            Ok(a) if a.whole => Heard::Whole(a),
            Ok(_) => unclear,
            // Only who refuses is gone: packets of one that is well are lost at times.
            Err(SendError::NotSent) if rpc::refuses(&g.address, self.ratio(200.0)).await => {
                Heard::Missed(DeliveryFailure::NotSent, SlotEnd::Gone)
            }
            Err(SendError::NotSent) => Heard::Missed(DeliveryFailure::NotSent, SlotEnd::Dark),
            Err(SendError::Lost) => unclear,
            Err(SendError::Silent) => late,
        }
    }
}

/// Whether a status tells a client that its request has not run and never will.
fn promises_not_run(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

/// The shortest deadline of a send: with less, no run is to be expected.
fn shortest_run(c: &Route) -> Duration {
    Duration::from_micros((c.target_latency_ms * 100.0) as u64).max(Duration::from_millis(2))
}

/// How long a request waits for a slot: what is left then must do for a run, for which a
/// quarter of the target latency is kept, or a tenth of the time if that is more.
fn wait_for_slot(c: &Route, left: Duration) -> Duration {
    let run = Duration::from_micros((c.target_latency_ms * 250.0) as u64);
    left - run.max(left / 10).min(left / 2)
}

fn is_good(outcome: &Result<Answer, Failure>) -> bool {
    outcome.as_ref().is_ok_and(|a| a.status < 500)
}

/// Of two sends of one request, neither of which came to a good answer: the later one's
/// answer, or the earlier one's, or what both say together.
fn better(earlier: Result<Answer, Failure>, later: Result<Answer, Failure>) -> Result<Answer, Failure> {
    match (earlier, later) {
        (_, Ok(answer)) | (Ok(answer), Err(_)) => Ok(answer),
        (Err(one), Err(other)) => Err(one.and(other)),
    }
}

fn reply(a: Answer) -> Reply {
    let connection = a.header("connection").unwrap_or("").to_owned();
    let passed = a.headers.into_iter().filter(|(n, _)| !hop_by_hop(n, &connection)).collect();
    Reply { body: a.body, passed, ..Reply::new(a.status) }
}
