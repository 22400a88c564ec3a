//! The side that grants: the slots of the functions that this front owns.

use super::*;

impl FunctionGateway {
    pub(super) fn apply_effects(self: &Arc<Self>, i: &mut GatewayState, effects: Vec<Effect>) {
        for e in effects {
            match e {
                Effect::Grant { holder, processor, address, zone, starting } => {
                    telemetry::count("slots_granted");
                    if let Some(w) = i.waiters.remove(&holder) {
                        let outcome = SlotOutcome::Granted as i32;
                        w.send(SlotGrant { outcome, processor, address, zone, starting, retry_ms: 0 });
                    }
                }
                Effect::Refuse { holder, retry_ms } => {
                    telemetry::count("slots_refused");
                    if let Some(w) = i.waiters.remove(&holder) {
                        // Nothing to wait for: kept elsewhere by now.
                        let outcome = if retry_ms == 0 { SlotOutcome::Elsewhere } else { SlotOutcome::None } as i32;
                        w.send(SlotGrant { outcome, retry_ms: retry_ms as u32, ..SlotGrant::default() });
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

    pub(super) fn update_slots(self: &Arc<Self>, f: impl FnOnce(&mut SlotTable, u64, &mut Vec<Effect>)) {
        let mut guard = self.state.lock().unwrap();
        let i = &mut *guard;
        let mut out = Vec::new();
        f(&mut i.slot_table, self.now_ms(), &mut out);
        self.apply_effects(i, out);
    }

    /// Asks the leader for a processor, by one nonce until it is clear what came of it.
    pub(super) async fn start_processor(self: Arc<Self>, ask: Start) {
        let Start { service, nonce, .. } = ask.clone();
        let wait = self.quiet_fraction(4.0);
        let end = Instant::now() + 4 * wait;
        let (mut full, mut pause) = (false, self.quiet_fraction(100.0));
        while Instant::now() < end {
            let leader = self.view.borrow().leader.clone();
            let asked = if leader.is_empty() {
                None
            } else {
                self.rpc_clients.to(&leader).call(Body::Start(ask.clone()), wait).await.ok()
            };
            if let Some(Body::StartAck(a)) = asked {
                if !a.processor.is_empty() {
                    self.update_slots(|c, now, out| c.processor_started(&service, &nonce, &a, now, out));
                    return;
                }
                if a.full {
                    full = true;
                    break;
                }
                if !a.leader.is_empty() && a.leader != leader {
                    self.view.send_if_modified(|k| k.take(&ViewUpdate { leader: a.leader, ..ViewUpdate::default() }));
                }
            }
            // Longer each time: hundreds of functions may be asked for while nobody is
            // leading.
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(wait / 2);
        }
        telemetry::count("starts_given_up");
        self.update_slots(|c, now, out| c.start_failed(&service, &nonce, full, now, out));
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
        // It is listed still, and found idle again by whoever keeps the function.
        telemetry::count("stops_given_up");
    }

    pub(super) fn handle_rpc(self: &Arc<Self>, body: Body, responder: Responder) {
        match body {
            Body::SlotRequest(a) => self.handle_slot_request(a, Waiter::Remote(responder)),
            Body::Ack(a) => responder.send(Body::Ack(a)),
            Body::SlotRelease(b) => self.update_slots(|c, now, out| c.release(&b, now, out)),
            Body::SlotsHeld(h) => self.update_slots(|c, now, _| {
                for one in &h.held {
                    c.record_held(&h.front, one, now);
                }
            }),
            Body::Status(_) => {
                let k = self.view.borrow().have();
                let i = self.state.lock().unwrap();
                let functions: Vec<serde_json::Value> = i
                    .slot_table
                    .usage()
                    .into_iter()
                    .filter(|t| t.1 + t.2 + t.3 > 0)
                    .map(|t| serde_json::json!({"service": t.0, "processors": t.1, "held": t.2, "waiting": t.3}))
                    .collect();
                let json = serde_json::json!({"node": self.settings.node, "ready": self.is_ready(),
                    "configuration": k.configuration, "membership": k.membership, "holds": i.held_slots.len(), "keeps": functions,
                    "counters": telemetry::render()});
                drop(i);
                responder.send(Body::StatusAck(StatusAck { json: json.to_string() }));
            }
            _ => {}
        }
    }

    pub(super) fn handle_slot_request(self: &Arc<Self>, a: SlotRequest, w: Waiter) {
        let mine =
            |dark: &[String]| self.slot_owner_excluding(&a.service, dark).is_some_and(|k| k.0 == self.settings.node);
        if mine(&self.unresponsive_fronts()) {
            self.enqueue_slot_request(a, w);
        } else if mine(&a.dark) {
            tokio::spawn(self.clone().check_excluded_fronts(a, w));
        } else {
            let outcome = SlotOutcome::Elsewhere as i32;
            w.send(SlotGrant { outcome, ..SlotGrant::default() });
        }
    }

    pub(super) fn enqueue_slot_request(self: &Arc<Self>, a: SlotRequest, w: Waiter) {
        let mut guard = self.state.lock().unwrap();
        let i = &mut *guard;
        i.waiters.insert((a.front.clone(), a.slot_id), w);
        let mut out = Vec::new();
        i.slot_table.request(&a, self.now_ms(), &mut out);
        self.apply_effects(i, out);
    }

    pub(super) fn has_slots_in_use(&self, service: &str) -> bool {
        self.state.lock().unwrap().slot_table.is_in_use(service)
    }

    /// Asks the leader what the platform lists of what is kept here.
    pub(super) async fn poll_processors(self: Arc<Self>) {
        let period = Duration::from_millis((self.settings.constraints.converge_ms / 5.0) as u64);
        let mut digest = 0;
        loop {
            // At the start nothing is known of what runs already.
            tokio::time::sleep(if digest == 0 { period / 8 } else { period }).await;
            let leader = self.view.borrow().leader.clone();
            if leader.is_empty() {
                continue;
            }
            let ask = ProcessorsRequest { front: self.settings.node.clone(), digest };
            if let Ok(Body::Processors(u)) =
                self.rpc_clients.to(&leader).call(Body::ProcessorsRequest(ask), period).await
                && u.known
                && u.digest != digest
            {
                digest = u.digest;
                *self.processors.lock().unwrap() = u.processors;
                self.reassign_functions();
            }
        }
    }

    /// Services that the configuration in force does not name, and of which processors are
    /// listed or slots are held here.
    fn removed_services(&self, known: &ClusterView) -> HashSet<String> {
        if known.configuration.revision == 0 {
            return HashSet::new();
        }
        let mut services: HashSet<String> = self.processors.lock().unwrap().iter().map(|p| p.service.clone()).collect();
        services.extend(self.state.lock().unwrap().slot_table.services_in_use());
        services.retain(|service| known.configuration.service(service).is_none());
        services
    }

    /// The membership or the configuration has changed: who keeps what, and what is
    /// there of what is kept here.
    pub(super) fn reassign_functions(self: &Arc<Self>) {
        let known = self.view.borrow().clone();
        let fronts = rpc::fronts(&known.membership);
        let before = self.fronts.lock().unwrap().clone();
        // One that begins again may be asked at once.
        self.state
            .lock()
            .unwrap()
            .unresponsive
            .retain(|n, d| known.node(n, "functions").is_some_and(|x| x.incarnation == d.incarnation));
        let dark = self.unresponsive_fronts();
        let excluded_fronts = std::mem::replace(&mut self.state.lock().unwrap().excluded_fronts, dark.clone());
        let moved = *before != fronts || dark != excluded_fronts;
        let there: HashSet<String> =
            known.membership.nodes.iter().filter(|n| n.role == "functions").map(|n| n.name.clone()).collect();
        *self.fronts.lock().unwrap() = Arc::new(fronts);
        let mut kept: HashMap<String, (Option<FunctionConfig>, Vec<ListedProcessor>)> = HashMap::new();
        for p in known.configuration.services.iter().filter(|p| p.is_function()) {
            let mine =
                |dark: &[String]| self.slot_owner_excluding(&p.name, dark).is_some_and(|k| k.0 == self.settings.node);
            if mine(&dark) || mine(&[]) || self.has_slots_in_use(&p.name) {
                let facts = FunctionConfig { slots_per_processor: p.max_inflight as usize, boot_ms: p.boot_ms as u64 };
                kept.insert(p.name.clone(), (Some(facts), Vec::new()));
            }
        }
        for service in self.removed_services(&known) {
            let mine =
                |dark: &[String]| self.slot_owner_excluding(&service, dark).is_some_and(|k| k.0 == self.settings.node);
            if mine(&dark) || mine(&[]) || self.has_slots_in_use(&service) {
                kept.insert(service, (None, Vec::new()));
            }
        }
        for u in self.processors.lock().unwrap().iter() {
            if let Some(k) = kept.get_mut(&u.service) {
                k.1.push(ListedProcessor {
                    id: u.id.clone(),
                    address: u.address.clone(),
                    zone: u.zone.clone(),
                    draining: u.draining,
                });
            }
        }
        let evacuated = known.assignments.evacuated_zones(known.membership.version);
        self.update_slots(|c, now, out| {
            c.set_evacuated_zones(evacuated, now, out);
            c.set_functions(&kept, now, out);
            if moved {
                c.retain_fronts(&there, now, out);
            }
        });
        // Those that keep what is held here now are told of it.
        let mut news: HashMap<String, Vec<SlotHeld>> = HashMap::new();
        {
            let i = self.state.lock().unwrap();
            for (held, until) in i.held_slots.values() {
                let now = self.slot_owner_excluding(&held.service, &dark);
                if let Some((name, inner)) = &now
                    && moved
                    && *name != self.settings.node
                {
                    let hold_ms = until.saturating_duration_since(Instant::now()).as_millis() as u32;
                    news.entry(inner.clone()).or_default().push(SlotHeld { hold_ms, ..held.clone() });
                }
            }
        }
        for (inner, held) in news {
            self.rpc_clients.to(&inner).send(Body::SlotsHeld(SlotsHeld { front: self.settings.node.clone(), held }));
        }
    }
}
