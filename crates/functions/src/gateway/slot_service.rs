//! The server side of slots: grants the slots of the functions that this front owns.

use super::*;

impl FunctionGateway {
    pub(super) fn apply_effects(self: &Arc<Self>, state: &mut GatewayState, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Grant { holder, processor, address, zone, starting } => {
                    telemetry::count("slots_granted");
                    if let Some(waiter) = state.waiters.remove(&holder) {
                        let outcome = SlotOutcome::Granted as i32;
                        waiter.send(SlotGrant { outcome, processor, address, zone, starting, retry_ms: 0 });
                    }
                }
                Effect::Refuse { holder, retry_ms } => {
                    telemetry::count("slots_refused");
                    if let Some(waiter) = state.waiters.remove(&holder) {
                        // Without a retry time there is nothing to wait for here: another front owns the
                        // function by now.
                        let outcome = if retry_ms == 0 { SlotOutcome::Elsewhere } else { SlotOutcome::None } as i32;
                        waiter.send(SlotGrant { outcome, retry_ms: retry_ms as u32, ..SlotGrant::default() });
                    }
                }
                Effect::Start { service, nonce, zones } => {
                    telemetry::count("starts_asked");
                    let zone = self.settings.zone.clone();
                    tokio::spawn(self.clone().start_processor(Start { service, nonce, zone, zones }));
                }
                Effect::Stop { processor, .. } => {
                    telemetry::count("stops_asked");
                    tokio::spawn(self.clone().stop_processor(processor));
                }
            }
        }
    }

    /// Runs `update` on the slot table and carries out the effects.
    pub(super) fn update_slots(self: &Arc<Self>, update: impl FnOnce(&mut SlotTable, u64, &mut Vec<Effect>)) {
        let mut guard = self.state.lock().unwrap();
        let state = &mut *guard;
        let mut effects = Vec::new();
        update(&mut state.slot_table, self.now_ms(), &mut effects);
        self.apply_effects(state, effects);
    }

    /// Requests a processor from the leader, with the same nonce until the outcome is known or the
    /// time is over.
    pub(super) async fn start_processor(self: Arc<Self>, request: Start) {
        let Start { service, nonce, .. } = request.clone();
        let timeout = self.quiet_fraction(4.0);
        let deadline = Instant::now() + 4 * timeout;
        let (mut is_full, mut pause) = (false, self.quiet_fraction(100.0));
        while Instant::now() < deadline {
            let leader = self.view.borrow().leader.clone();
            let response = if leader.is_empty() {
                None
            } else {
                self.rpc_clients.to(&leader).call(Body::Start(request.clone()), timeout).await.ok()
            };
            if let Some(Body::StartAck(ack)) = response {
                if !ack.processor.is_empty() {
                    self.update_slots(|slot_table, now, effects| {
                        slot_table.processor_started(&service, &nonce, &ack, now, effects)
                    });
                    return;
                }
                if ack.full {
                    is_full = true;
                    break;
                }
                if !ack.leader.is_empty() && ack.leader != leader {
                    self.view.send_if_modified(|view| {
                        view.take(&ViewUpdate { leader: ack.leader, ..ViewUpdate::default() })
                    });
                }
            }
            // The pause grows: while there is no leader, hundreds of functions may be requested.
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(timeout / 2);
        }
        telemetry::count("starts_given_up");
        self.update_slots(|slot_table, now, effects| slot_table.start_failed(&service, &nonce, is_full, now, effects));
    }

    pub(super) async fn stop_processor(self: Arc<Self>, processor: String) {
        for _ in 0..4 {
            let leader = self.view.borrow().leader.clone();
            if !leader.is_empty()
                && let Ok(Body::Ack(_)) = self
                    .rpc_clients
                    .to(&leader)
                    .call(Body::Stop(StopProcessor { processor: processor.clone() }), self.quiet_fraction(4.0))
                    .await
            {
                return;
            }
            tokio::time::sleep(self.quiet_fraction(20.0)).await;
        }
        // The processor stays listed, and the slot owner of the function finds it idle again.
        telemetry::count("stops_given_up");
    }

    pub(super) fn handle_rpc(self: &Arc<Self>, body: Body, responder: Responder) {
        match body {
            Body::SlotRequest(request) => self.handle_slot_request(request, Waiter::Remote(responder)),
            Body::Ack(ack) => responder.send(Body::Ack(ack)),
            Body::SlotRelease(release) => {
                self.update_slots(|slot_table, now, effects| slot_table.release(&release, now, effects))
            }
            Body::SlotsHeld(report) => self.update_slots(|slot_table, now, _| {
                for held in &report.held {
                    slot_table.record_held(&report.front, held, now);
                }
            }),
            Body::Status(_) => {
                let versions = self.view.borrow().have();
                let state = self.state.lock().unwrap();
                let functions: Vec<serde_json::Value> = state
                    .slot_table
                    .usage()
                    .into_iter()
                    .filter(|usage| usage.1 + usage.2 + usage.3 > 0)
                    .map(|usage| {
                        serde_json::json!({"service": usage.0, "processors": usage.1, "held": usage.2,
                            "waiting": usage.3})
                    })
                    .collect();
                let json = serde_json::json!({"node": self.settings.node, "ready": self.is_ready(),
                    "configuration": versions.configuration, "membership": versions.membership,
                    "holds": state.held_slots.len(), "keeps": functions, "counters": telemetry::render()});
                drop(state);
                responder.send(Body::StatusAck(StatusAck { json: json.to_string() }));
            }
            _ => {}
        }
    }

    pub(super) fn handle_slot_request(self: &Arc<Self>, request: SlotRequest, waiter: Waiter) {
        let is_slot_owner = |excluded: &[String]| {
            self.slot_owner_excluding(&request.service, excluded).is_some_and(|owner| owner.0 == self.settings.node)
        };
        if is_slot_owner(&self.unresponsive_fronts()) {
            self.enqueue_slot_request(request, waiter);
        } else if is_slot_owner(&request.unresponsive_fronts) {
            tokio::spawn(self.clone().check_excluded_fronts(request, waiter));
        } else {
            let outcome = SlotOutcome::Elsewhere as i32;
            waiter.send(SlotGrant { outcome, ..SlotGrant::default() });
        }
    }

    pub(super) fn enqueue_slot_request(self: &Arc<Self>, request: SlotRequest, waiter: Waiter) {
        let mut guard = self.state.lock().unwrap();
        let state = &mut *guard;
        state.waiters.insert((request.front.clone(), request.slot_id), waiter);
        let mut effects = Vec::new();
        state.slot_table.request(&request, self.now_ms(), &mut effects);
        self.apply_effects(state, effects);
    }

    pub(super) fn has_slots_in_use(&self, service: &str) -> bool {
        self.state.lock().unwrap().slot_table.is_in_use(service)
    }

    /// Asks the leader periodically for the processors of the functions that this front owns, as
    /// the platform lists them.
    pub(super) async fn poll_processors(self: Arc<Self>) {
        let period = Duration::from_millis((self.settings.constraints.converge_ms / 5.0) as u64);
        let mut digest = 0;
        loop {
            // The first request is sent earlier: nothing is known yet of the processors that run
            // already.
            tokio::time::sleep(if digest == 0 { period / 8 } else { period }).await;
            let leader = self.view.borrow().leader.clone();
            if leader.is_empty() {
                continue;
            }
            let request = ProcessorsRequest { front: self.settings.node.clone(), digest };
            if let Ok(Body::Processors(update)) =
                self.rpc_clients.to(&leader).call(Body::ProcessorsRequest(request), period).await
                && update.known
                && update.digest != digest
            {
                digest = update.digest;
                *self.processors.lock().unwrap() = update.processors;
                self.reassign_functions();
            }
        }
    }

    /// Services that the current configuration does not name, although their processors are listed
    /// or the slot table has held slots or waiting requests of them.
    fn removed_services(&self, view: &ClusterView) -> HashSet<String> {
        if view.configuration.revision == 0 {
            return HashSet::new();
        }
        let mut services: HashSet<String> =
            self.processors.lock().unwrap().iter().map(|processor| processor.service.clone()).collect();
        services.extend(self.state.lock().unwrap().slot_table.services_in_use());
        services.retain(|service| view.configuration.service(service).is_none());
        services
    }

    /// Determines the functions that this front owns, after a change of the membership, the
    /// configuration, the unresponsive fronts or the listed processors, and reports the slots held
    /// here to the slot owners if those have changed.
    pub(super) fn reassign_functions(self: &Arc<Self>) {
        let view = self.view.borrow().clone();
        let fronts = rpc::fronts(&view.membership);
        let fronts_before = self.fronts.lock().unwrap().clone();
        // A front that has begun another incarnation may be asked at once.
        self.state.lock().unwrap().unresponsive.retain(|name, front| {
            view.node(name, "functions").is_some_and(|node| node.incarnation == front.incarnation)
        });
        let excluded = self.unresponsive_fronts();
        let excluded_before = std::mem::replace(&mut self.state.lock().unwrap().excluded_fronts, excluded.clone());
        let has_changed = *fronts_before != fronts || excluded != excluded_before;
        let present: HashSet<String> = view
            .membership
            .nodes
            .iter()
            .filter(|node| node.role == "functions")
            .map(|node| node.name.clone())
            .collect();
        *self.fronts.lock().unwrap() = Arc::new(fronts);
        let mut owned: HashMap<String, (Option<FunctionConfig>, Vec<ListedProcessor>)> = HashMap::new();
        for service in view.configuration.services.iter().filter(|service| service.is_function()) {
            let is_slot_owner = |excluded: &[String]| {
                self.slot_owner_excluding(&service.name, excluded).is_some_and(|owner| owner.0 == self.settings.node)
            };
            if is_slot_owner(&excluded) || is_slot_owner(&[]) || self.has_slots_in_use(&service.name) {
                let config = FunctionConfig {
                    slots_per_processor: service.max_inflight as usize,
                    boot_ms: service.boot_ms as u64,
                };
                owned.insert(service.name.clone(), (Some(config), Vec::new()));
            }
        }
        for service in self.removed_services(&view) {
            let is_slot_owner = |excluded: &[String]| {
                self.slot_owner_excluding(&service, excluded).is_some_and(|owner| owner.0 == self.settings.node)
            };
            if is_slot_owner(&excluded) || is_slot_owner(&[]) || self.has_slots_in_use(&service) {
                owned.insert(service, (None, Vec::new()));
            }
        }
        for processor in self.processors.lock().unwrap().iter() {
            if let Some(function) = owned.get_mut(&processor.service) {
                function.1.push(ListedProcessor {
                    id: processor.id.clone(),
                    address: processor.address.clone(),
                    zone: processor.zone.clone(),
                    draining: processor.draining,
                });
            }
        }
        let evacuated_zones = view.assignments.evacuated_zones(view.membership.version);
        self.update_slots(|slot_table, now, effects| {
            slot_table.set_evacuated_zones(evacuated_zones, now, effects);
            slot_table.set_functions(&owned, now, effects);
            if has_changed {
                slot_table.retain_fronts(&present, now, effects);
            }
        });
        // Reports the slots held here to their slot owners, by address.
        let mut reports: HashMap<String, Vec<SlotHeld>> = HashMap::new();
        {
            let state = self.state.lock().unwrap();
            for (held, until) in state.held_slots.values() {
                let owner = self.slot_owner_excluding(&held.service, &excluded);
                if let Some((name, address)) = &owner
                    && has_changed
                    && *name != self.settings.node
                {
                    let hold_ms = until.saturating_duration_since(Instant::now()).as_millis() as u32;
                    reports.entry(address.clone()).or_default().push(SlotHeld { hold_ms, ..held.clone() });
                }
            }
        }
        for (address, held) in reports {
            self.rpc_clients.to(&address).send(Body::SlotsHeld(SlotsHeld { front: self.settings.node.clone(), held }));
        }
    }
}
