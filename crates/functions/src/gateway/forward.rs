//! Forwarding of requests: tries within the route, and what becomes of their answers.

use super::*;

impl FunctionGateway {
    /// One request of a client.
    pub(super) async fn answer(self: Arc<Self>, r: Request) -> Reply {
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

    /// Takes one of the repeats that are allowed to this front.
    pub(super) fn again(&self) -> bool {
        let fronts = self.fronts.lock().unwrap().len().max(1);
        let slack = self.settings.constraints.retry_slack / fronts as f64;
        self.shared.lock().unwrap().retry_budget.again(slack, Instant::now())
    }

    /// Sends one request until there is an answer, or another try must not be.
    pub(super) async fn tries(self: &Arc<Self>, ask: &Passing<'_>) -> Reply {
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

    pub(super) async fn pass(self: &Arc<Self>, ask: &Passing<'_>, g: &SlotGrant, back: &SlotRelease) -> Heard {
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
}

pub(super) fn reply(a: Answer) -> Reply {
    let connection = a.header("connection").unwrap_or("").to_owned();
    let passed = a.headers.into_iter().filter(|(n, _)| !hop_by_hop(n, &connection)).collect();
    Reply { body: a.body, passed, ..Reply::new(a.status) }
}
