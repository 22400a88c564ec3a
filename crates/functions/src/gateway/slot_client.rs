//! The client side of slots: finds the slot owner of a function, and acquires and reports slots
//! there.

use super::*;

impl FunctionGateway {
    /// The name and address of the front that owns the slots of a function, as far as this front
    /// can tell.
    pub(super) fn slot_owner(&self, service: &str) -> Option<(String, String)> {
        let unresponsive = self.unresponsive_fronts();
        self.slot_owner_excluding(service, &unresponsive)
    }

    pub(super) fn slot_owner_excluding(&self, service: &str, excluded: &[String]) -> Option<(String, String)> {
        let fronts = self.fronts.lock().unwrap().clone();
        let is_excluded = |name: &str| excluded.iter().any(|front| front == name);
        rpc::slot_owner_excluding(&fronts, service, is_excluded).map(|front| (front.1.clone(), front.2.clone()))
    }

    /// The fronts that recently did not answer, in order of name.
    pub(super) fn unresponsive_fronts(&self) -> Vec<String> {
        let now = Instant::now();
        let mut state = self.state.lock().unwrap();
        if state.unresponsive.is_empty() {
            return Vec::new();
        }
        state.unresponsive.retain(|_, front| front.until > now);
        let mut names: Vec<String> = state.unresponsive.keys().cloned().collect();
        names.sort();
        names
    }

    /// Excludes a front that did not answer, so that another one owns its functions. This ends with
    /// the front's session, when it begins another incarnation, or after half of `quietMs`.
    pub(super) fn mark_unresponsive(self: &Arc<Self>, name: &str) {
        let incarnation = self.view.borrow().node(name, "functions").map_or(0, |node| node.incarnation);
        let until = Instant::now() + self.quiet_fraction(2.0);
        if self
            .state
            .lock()
            .unwrap()
            .unresponsive
            .insert(name.to_owned(), UnresponsiveFront { until, incarnation })
            .is_none()
        {
            telemetry::change!("front {name} does not answer; excluding it as a slot owner");
            self.reassign_functions();
        }
    }

    /// Whether a front answers at this address.
    pub(super) async fn responds(&self, address: &str) -> bool {
        self.rpc_clients.to(address).call(Body::Ack(Ack {}), self.quiet_fraction(16.0)).await.is_ok()
    }

    /// Handles a slot request from a front that excludes fronts which this one considers
    /// responsive. They are probed from here before the request is accepted, so that a function
    /// does not get two slot owners.
    pub(super) async fn check_excluded_fronts(self: Arc<Self>, request: SlotRequest, waiter: Waiter) {
        let fronts = self.fronts.lock().unwrap().clone();
        let unresponsive = self.unresponsive_fronts();
        let to_probe: Vec<(String, String)> = fronts
            .iter()
            .filter(|front| request.unresponsive_fronts.contains(&front.1) && !unresponsive.contains(&front.1))
            .map(|front| (front.1.clone(), front.2.clone()))
            .collect();
        for (name, address) in to_probe {
            if self.responds(&address).await {
                let outcome = SlotOutcome::Elsewhere as i32;
                return waiter.send(SlotGrant { outcome, processor: name, ..SlotGrant::default() });
            }
            self.mark_unresponsive(&name);
        }
        self.enqueue_slot_request(request, waiter);
    }

    /// Acquires a slot for one request within `left`.
    pub(super) async fn acquire_slot(
        self: &Arc<Self>,
        service: &str,
        route: &Route,
        zones: &[String],
        left: Duration,
    ) -> Result<(u64, SlotGrant), Failure> {
        let deadline = Instant::now() + left;
        let mut retry_ms = 0;
        while Instant::now() < deadline {
            let Some((name, address)) = self.slot_owner(service) else { break };
            let max_wait = deadline.saturating_duration_since(Instant::now());
            // Each attempt has its own slot id, so that the outcome of an earlier one has no effect
            // on it.
            let slot_id = self.next_slot_id.fetch_add(1, Ordering::Relaxed);
            let request = SlotRequest {
                service: service.to_owned(),
                front: self.settings.node.clone(),
                slot_id,
                max_wait_ms: max_wait.as_millis() as u32,
                hold_ms: (route.timeout_ms as u32).saturating_add(max_wait.as_millis() as u32),
                target_start_ms: route.target_latency_ms as u32,
                unresponsive_fronts: self.unresponsive_fronts(),
                rank: route.rank,
                zones: zones.to_vec(),
            };
            // If this future is dropped before there is an answer, the slot owner is told, whether
            // or not it has granted a slot by then.
            let cancellation = SlotRelease {
                service: service.to_owned(),
                front: self.settings.node.clone(),
                slot_id,
                ..SlotRelease::default()
            };
            let owner = Some((name.clone(), address.clone()));
            let mut guard = SlotReleaseGuard { gateway: self, owner, release: Some(cancellation) };
            let answer = if name == self.settings.node {
                let (sender, receiver) = oneshot::channel();
                self.handle_slot_request(request, Waiter::Local(sender));
                receiver.await.ok()
            } else {
                let mut view_changes = self.view.subscribe();
                view_changes.mark_unchanged();
                let client = self.rpc_clients.to(&address);
                // A slot owner that has left the membership does not answer any more.
                let owner_replaced = async {
                    loop {
                        let _ = view_changes.changed().await;
                        if self.slot_owner(service).is_none_or(|owner| owner.0 != name) {
                            return;
                        }
                    }
                };
                // The wait for a slot may be long, so whether the slot owner answers at all is
                // probed separately.
                let owner_unresponsive = async {
                    loop {
                        tokio::time::sleep(self.quiet_fraction(16.0)).await;
                        if !self.responds(&address).await {
                            return;
                        }
                    }
                };
                let response = tokio::select! {
                    // The change of owner is checked first: the next slot owner is not told of a
                    // slot that the former one grants from now on.
                    biased;
                    _ = owner_replaced => Ok(Body::Ack(Ack {})),
                    response = client.call(Body::SlotRequest(request), max_wait) => response.map_err(|_| ()),
                    _ = owner_unresponsive => Err(()),
                };
                match response {
                    Ok(Body::SlotGrant(grant)) => Some(grant),
                    Ok(_) => None,
                    Err(()) => {
                        self.mark_unresponsive(&name);
                        None
                    }
                }
            };
            if answer.is_some() {
                guard.release = None;
            }
            drop(guard);
            match answer {
                Some(grant) if grant.outcome == SlotOutcome::Granted as i32 => {
                    let held = SlotHeld {
                        service: service.to_owned(),
                        slot_id,
                        processor: grant.processor.clone(),
                        address: grant.address.clone(),
                        hold_ms: 0,
                        zone: grant.zone.clone(),
                    };
                    let until = Instant::now() + max_wait + Duration::from_millis(route.timeout_ms as u64);
                    self.state.lock().unwrap().held_slots.insert(slot_id, (held, until));
                    return Ok((slot_id, grant));
                }
                Some(grant) if grant.outcome == SlotOutcome::None as i32 => {
                    return Err(Failure::NotRun { retry_ms: u64::from(grant.retry_ms) });
                }
                Some(grant) if !grant.processor.is_empty() => {
                    // `processor` names an excluded front that answers other fronts. It may be a
                    // slot owner again.
                    self.state.lock().unwrap().unresponsive.remove(&grant.processor);
                }
                _ => {}
            }
            retry_ms = 100;
            tokio::time::sleep(self.quiet_fraction(400.0).min(deadline.saturating_duration_since(Instant::now())))
                .await;
        }
        Err(Failure::NotRun { retry_ms: retry_ms.max(50) })
    }

    /// Sends a report on a slot to the current slot owner.
    pub(super) fn report_slot(self: &Arc<Self>, release: SlotRelease) {
        let owner = self.slot_owner(&release.service);
        self.report_slot_to(owner, release);
    }

    pub(super) fn report_slot_to(self: &Arc<Self>, owner: Option<(String, String)>, release: SlotRelease) {
        if release.end != SlotEnd::Started as i32 {
            self.state.lock().unwrap().held_slots.remove(&release.slot_id);
        }
        let Some((name, address)) = owner else { return };
        if name == self.settings.node {
            self.update_slots(|slot_table, now, effects| slot_table.release(&release, now, effects));
        } else {
            self.rpc_clients.to(&address).send(Body::SlotRelease(release));
        }
    }

    /// Whether this front holds a slot of the function. If not, its requests wait for a start, and
    /// a second request would only wait beside the first.
    pub(super) fn holds_slot_of(&self, service: &str) -> bool {
        self.state.lock().unwrap().held_slots.values().any(|held| held.0.service == service)
    }
}
