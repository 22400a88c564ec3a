//! The side that asks: which front owns the slots of a function, and slots taken there.

use super::*;

impl FunctionGateway {
    /// The front that keeps a function, as far as this one can tell: its name and address.
    pub(super) fn slot_owner(&self, service: &str) -> Option<(String, String)> {
        let dark = self.unresponsive_fronts();
        self.slot_owner_excluding(service, &dark)
    }

    pub(super) fn slot_owner_excluding(&self, service: &str, dark: &[String]) -> Option<(String, String)> {
        let fronts = self.fronts.lock().unwrap().clone();
        let but = |n: &str| dark.iter().any(|d| d == n);
        rpc::slot_owner_but(&fronts, service, but).map(|f| (f.1.clone(), f.2.clone()))
    }

    /// The fronts that did not answer of late.
    pub(super) fn unresponsive_fronts(&self) -> Vec<String> {
        let now = Instant::now();
        let mut i = self.state.lock().unwrap();
        if i.unresponsive.is_empty() {
            return Vec::new();
        }
        i.unresponsive.retain(|_, d| d.until > now);
        let mut all: Vec<String> = i.unresponsive.keys().cloned().collect();
        all.sort();
        all
    }

    /// A front does not answer: another one keeps its functions until its session is
    /// over, or it begins another incarnation, or half of `quietMs` is.
    pub(super) fn mark_unresponsive(self: &Arc<Self>, name: &str) {
        let incarnation = self.view.borrow().node(name, "functions").map_or(0, |n| n.incarnation);
        let until = Instant::now() + self.quiet_fraction(2.0);
        if self
            .state
            .lock()
            .unwrap()
            .unresponsive
            .insert(name.to_owned(), UnresponsiveFront { until, incarnation })
            .is_none()
        {
            telemetry::change!("{name} does not answer");
            self.reassign_functions();
        }
    }

    /// Whether anybody is there at a front.
    pub(super) async fn responds(&self, inner: &str) -> bool {
        self.rpc_clients.to(inner).call(Body::Ack(Ack {}), self.quiet_fraction(16.0)).await.is_ok()
    }

    /// Another front passes some over that are well as far as is known here: they are
    /// looked for from here too, before there are two slot owners of one function.
    pub(super) async fn check_excluded_fronts(self: Arc<Self>, a: SlotRequest, w: Waiter) {
        let fronts = self.fronts.lock().unwrap().clone();
        let mine = self.unresponsive_fronts();
        let asked: Vec<(String, String)> = fronts
            .iter()
            .filter(|f| a.dark.contains(&f.1) && !mine.contains(&f.1))
            .map(|f| (f.1.clone(), f.2.clone()))
            .collect();
        for (name, inner) in asked {
            if self.responds(&inner).await {
                let outcome = SlotOutcome::Elsewhere as i32;
                return w.send(SlotGrant { outcome, processor: name, ..SlotGrant::default() });
            }
            self.mark_unresponsive(&name);
        }
        self.enqueue_slot_request(a, w);
    }

    /// A slot for one request, if one can be had in time.
    pub(super) async fn acquire_slot(
        self: &Arc<Self>,
        service: &str,
        c: &Route,
        zones: &[String],
        left: Duration,
    ) -> Result<(u64, SlotGrant), Failure> {
        let end = Instant::now() + left;
        let mut said = 0;
        while Instant::now() < end {
            let Some((name, inner)) = self.slot_owner(service) else { break };
            let patience = end.saturating_duration_since(Instant::now());
            // One for each ask: what became of an earlier one is nothing to this one.
            let slot_id = self.next_slot_id.fetch_add(1, Ordering::Relaxed);
            let ask = SlotRequest {
                service: service.to_owned(),
                front: self.settings.node.clone(),
                slot_id,
                patience_ms: patience.as_millis() as u32,
                hold_ms: (c.timeout_ms as u32).saturating_add(patience.as_millis() as u32),
                target_start_ms: c.target_latency_ms as u32,
                dark: self.unresponsive_fronts(),
                rank: c.rank,
                zones: zones.to_vec(),
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
            let mut given_up = SlotReleaseGuard { gateway: self, owner: to, release: Some(empty) };
            let granted = if name == self.settings.node {
                let (tx, rx) = oneshot::channel();
                self.handle_slot_request(ask, Waiter::Local(tx));
                rx.await.ok()
            } else {
                let mut rx = self.view.subscribe();
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
                        tokio::time::sleep(self.quiet_fraction(16.0)).await;
                        if !self.responds(&inner).await {
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
                        self.mark_unresponsive(&name);
                        None
                    }
                }
            };
            if granted.is_some() {
                given_up.release = None;
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
                        zone: g.zone.clone(),
                    };
                    let until = Instant::now() + patience + Duration::from_millis(c.timeout_ms as u64);
                    self.state.lock().unwrap().held_slots.insert(slot_id, (held, until));
                    return Ok((slot_id, g));
                }
                Some(g) if g.outcome == SlotOutcome::None as i32 => {
                    return Err(Failure::NotRun { retry_ms: u64::from(g.retry_ms) });
                }
                Some(g) if !g.processor.is_empty() => {
                    // That one does answer others: it is asked again.
                    self.state.lock().unwrap().unresponsive.remove(&g.processor);
                }
                _ => {}
            }
            said = 100;
            tokio::time::sleep(self.quiet_fraction(400.0).min(end.saturating_duration_since(Instant::now()))).await;
        }
        Err(Failure::NotRun { retry_ms: said.max(50) })
    }

    /// Tells the slot owner, whoever that is by now.
    pub(super) fn report_slot(self: &Arc<Self>, b: SlotRelease) {
        let to = self.slot_owner(&b.service);
        self.report_slot_to(to, b);
    }

    pub(super) fn report_slot_to(self: &Arc<Self>, to: Option<(String, String)>, b: SlotRelease) {
        if b.end != SlotEnd::Up as i32 {
            self.state.lock().unwrap().held_slots.remove(&b.slot_id);
        }
        let Some((name, inner)) = to else { return };
        if name == self.settings.node {
            self.update_slots(|c, now, out| c.release(&b, now, out));
        } else {
            self.rpc_clients.to(&inner).send(Body::SlotRelease(b));
        }
    }

    /// Whether a slot of this function is held here; if none is, whoever waits waits
    /// for a start, and another ask would only wait beside it.
    pub(super) fn holds_slot_of(&self, service: &str) -> bool {
        self.state.lock().unwrap().held_slots.values().any(|h| h.0.service == service)
    }
}
