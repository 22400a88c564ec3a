//! Dispatches queued messages to processors and sends due call-backs.

use super::*;

impl StoreService {
    /// Schedules a message that may run: queues it if it is due, else delays it until then.
    pub(super) fn schedule(&self, i: &mut StoreState, k: Key, now: u64) {
        let Some(m) = i.replicas.get(&k.0) else { return };
        let Some(w) = m.state.pieces.get(&k.1) else { return };
        if m.role != ReplicaRole::Owner
            || w.state != MessageState::Pending
            || !m.state.is_head(k.1, w)
            || i.uncommitted_reports.contains_key(&k)
        {
            return;
        }
        let Some(time) = m.time(now) else {
            // The time comes with the lease, and nothing is dispatched without one.
            i.scheduler.delay_until(k, now + self.quiet_fraction_ms(100.0));
            return;
        };
        let due = w.at_ms + surely_over(w.due_ms.saturating_sub(w.at_ms));
        if due > time {
            i.scheduler.delay_until(k, now + (due - time));
            return;
        }
        // When the message became due, on this process's steady clock.
        let due_since = now.saturating_sub(time.saturating_sub(w.due_ms));
        let queue = self.session.with_known(|known| QueueId::of(&known.configuration, &w.item));
        match queue {
            Some(queue) => i.scheduler.enqueue(k, queue, due_since),
            // Either the message is from a node with a newer configuration, which will arrive
            // here, or its route was removed, which a log record is about to say.
            None => {
                telemetry::count("routes_not_known_yet");
                i.scheduler.delay_until(k, now + self.quiet_fraction_ms(40.0));
            }
        }
    }

    /// Reassigns queued messages to queues after a configuration change: a route may have got
    /// other services, or a service may have been removed.
    fn reassign_queues(&self, i: &mut StoreState, configuration: &config::ConfigurationIndex, now: u64) {
        if i.queued_by_revision == configuration.revision {
            return;
        }
        i.queued_by_revision = configuration.revision;
        let is_elsewhere = |(key, queue): &(Key, &QueueId)| {
            let message = i.replicas.get(&key.0).and_then(|replica| replica.state.pieces.get(&key.1));
            message.and_then(|message| QueueId::of(configuration, &message.item)).as_ref() != Some(*queue)
        };
        let moved: Vec<Key> = i.scheduler.queued_messages().filter(is_elsewhere).map(|(key, _)| key).collect();
        telemetry::add("messages_queued_anew", moved.len() as u64);
        for key in moved {
            i.scheduler.remove_queued(key);
            self.schedule(i, key, now);
        }
    }

    /// The fraction of a rate-limited service's rate that this owner may use. Where attempts at
    /// one operation must reach the same partition, or messages are bound to regions, several
    /// partitions may keep messages for such a service. Each owner then gets the share of the
    /// partitions that it owns. An owner of none of them that still has messages, as of a route
    /// that was changed to another service, gets the share of one partition.
    fn metered_share(&self, i: &StoreState, known: &agent::ClusterView, service: &config::Service) -> f64 {
        let configuration = &known.configuration;
        let has_operations = self.settings.constraints.key_window_s > 0.0;
        let is_sequenced = || configuration.message_routes(&service.name).any(|route| route.sequenced);
        let is_spread = || has_operations || configuration.has_homes() || is_sequenced();
        if !configuration.is_metered(&service.name) || !is_spread() {
            return 1.0;
        }
        let partitions = agent::metered_partitions(known, configuration, &service.name, has_operations);
        if partitions.len() <= 1 {
            return 1.0;
        }
        let is_own = |partition: &&u32| i.replicas.get(partition).is_some_and(PartitionReplica::open);
        let own = partitions.iter().filter(is_own).count();
        own.max(1) as f64 / partitions.len() as f64
    }

    /// Dispatches all messages that can be sent now. Returns when to run again at the latest.
    pub(super) fn pump(self: &Arc<Self>) -> u64 {
        let now = self.now();
        let known = self.session.known();
        let mut guard = self.shared.lock().unwrap();
        let i = &mut *guard;
        let mut wake = now + self.quiet_fraction_ms(20.0);
        if !self.has_lease(i) {
            return wake;
        }
        i.scheduler.update_view(&known.membership, &known.assignments);
        let owned: Vec<u32> = i.replicas.values().filter(|m| m.role == ReplicaRole::Owner).map(|m| m.id).collect();
        for p in owned {
            self.owner_time(i, p);
        }
        while let Some(k) = i.scheduler.pop_due(now) {
            self.schedule(i, k, now);
        }
        self.reassign_queues(i, &known.configuration, now);
        for k in i.scheduler.overdue(now) {
            // The delivery node did not report in time: the outcome is unknown, and no failed
            // attempt is counted.
            telemetry::count("runs_overdue");
            i.scheduler.end_attempt(k);
            let backoff = i.scheduler.next_backoff(k);
            i.scheduler.delay_until(k, now + backoff);
        }
        let mut touched = HashSet::new();
        for queue in i.scheduler.ready_queues() {
            let name = &queue.service;
            let Some(service) = known.configuration.service(name) else { continue };
            let share = self.metered_share(i, &known, service);
            i.scheduler.set_share(name, share);
            let target_start = known.configuration.target_start_ms(name) as u64;
            while let Some(k) = i.scheduler.next_ready(&queue, now, target_start) {
                let is_recovering = i.recovering.get(&k.0).is_some_and(|end| k.1 <= *end);
                if is_recovering || i.replicas.get(&k.0).is_none_or(|m| !m.open()) {
                    // The partition was just taken over, or it is moving: retried later.
                    i.scheduler.remove_queued(k);
                    i.scheduler.delay_until(k, now + self.quiet_fraction_ms(100.0));
                    continue;
                }
                let item = i.replicas.get(&k.0).and_then(|m| m.state.pieces.get(&k.1)).map(|w| &w.item);
                if item.and_then(|item| QueueId::of(&known.configuration, item)).is_none_or(|now| now != queue) {
                    // Its route was changed or removed since it was queued: rescheduled.
                    i.scheduler.remove_queued(k);
                    i.scheduler.delay_until(k, now + self.quiet_fraction_ms(400.0));
                    continue;
                }
                let Some(choice) = i.scheduler.choose(service, &queue.homes, now) else { break };
                if let Err(at) = i.scheduler.take_token(service, now) {
                    wake = wake.min(at);
                    break;
                }
                if !self.dispatch(i, &known, k, service, choice, now) {
                    i.scheduler.remove_queued(k);
                    i.scheduler.delay_until(k, now + self.quiet_fraction_ms(100.0));
                }
                touched.insert(k.0);
            }
        }
        for p in touched {
            self.step(i, p, |m, now, out| m.flush(now, out));
        }
        self.send_callbacks(i, now);
        if let Some(due) = i.scheduler.next_due() {
            wake = wake.min(due.max(now + 1));
        }
        wake
    }

    /// Appends the dispatch record of a message and sends the attempt to the delivery node.
    /// False if the message cannot be dispatched now.
    #[allow(clippy::too_many_arguments)]
    pub(super) fn dispatch(
        self: &Arc<Self>,
        i: &mut StoreState,
        known: &agent::ClusterView,
        k: Key,
        service: &config::Service,
        choice: Target,
        now: u64,
    ) -> bool {
        let at_ms = self.owner_time(i, k.0);
        let Some(m) = i.replicas.get_mut(&k.0) else { return false };
        let Some(w) = m.state.pieces.get(&k.1).filter(|w| w.state == MessageState::Pending) else { return false };
        let route = known.configuration.route_covering(&w.item.route, &w.item.host, &w.item.path);
        let Some(route) = route else { return false };
        let timeout = route.timeout_ms as u64;
        let mut item = w.item.clone();
        item.notify_url.clear();
        item.operation = None;
        let dispatch =
            DispatchRecord { position: k.1, processor: choice.processor.clone(), node: choice.front.clone() };
        let record = Record { at_ms, entry: Some(Entry::Dispatch(dispatch)) };
        let mut out = Vec::new();
        let Some(attempt) = m.append(&record, now, &mut out) else { return false };
        let run = Run {
            partition: k.0,
            attempt,
            term: m.term,
            position: k.1,
            address: choice.address.clone(),
            processor: choice.target.clone(),
            timeout_ms: timeout as u32,
            item,
            conn_limit: service.conn_limit,
            revoked: false,
        };
        // A delivery node waits 5 % longer than the route's time-out.
        i.scheduler.start_attempt(k, &choice, route, now + timeout * 21 / 20 + self.quiet_fraction_ms(8.0));
        i.scheduler.set_attempt_number(k, run.term, attempt);
        self.execute_effects(i, k.0, out);
        telemetry::count("dispatched");
        let post = self.clone();
        tokio::spawn(async move { post.send_attempt(run, choice).await });
        true
    }

    /// Sends one attempt to the delivery node. If it is certain that the node does not have it,
    /// the message is scheduled again.
    pub(super) async fn send_attempt(self: Arc<Self>, run: Run, choice: Target) {
        let k = (run.partition, run.position);
        let (term, attempt) = (run.term, run.attempt);
        let wait = Duration::from_millis(self.quiet_fraction_ms(8.0));
        let end = self.rpc_clients.to(&choice.front_inner);
        let (item, address, processor) = (Item::default(), String::new(), String::new());
        let revoke = Run { revoked: true, item, address, processor, ..run };
        match end.call(Body::Run(run), wait).await {
            Ok(Body::RunAck(a)) if a.taken => return,
            Ok(_) | Err(ExecutionOutcome::NotRun) => {}
            Err(_) => {
                // The node may have the attempt, or may still receive it over a connection that
                // was replaced. Revoking it tells whether the node has taken it.
                let mut clear = false;
                for _ in 0..3 {
                    match end.call(Body::Run(revoke.clone()), wait).await {
                        Ok(Body::RunAck(a)) if a.taken => return,
                        Ok(_) => {
                            clear = true;
                            break;
                        }
                        Err(ExecutionOutcome::NotRun) => tokio::time::sleep(wait / 8).await,
                        Err(_) => {}
                    }
                }
                if !clear && !rpc::refuses(&choice.front_inner, wait).await {
                    // No answer still: the attempt becomes overdue once it must have ended.
                    return;
                }
            }
        }
        telemetry::count("runs_not_given");
        let mut i = self.shared.lock().unwrap();
        let i = &mut *i;
        if i.scheduler.in_flight.get(&k).is_some_and(|f| f.attempt == (term, attempt)) {
            i.scheduler.end_attempt(k);
            i.scheduler.delay_until(k, self.now() + self.quiet_fraction_ms(200.0));
            self.wake.notify_one();
        }
    }

    /// Sends the call-backs that are due.
    pub(super) fn send_callbacks(self: &Arc<Self>, i: &mut StoreState, now: u64) {
        let mut left = std::collections::VecDeque::new();
        while let Some((at, k)) = i.scheduler.callbacks.pop_front() {
            let piece =
                i.replicas.get(&k.0).filter(|m| m.role == ReplicaRole::Owner).and_then(|m| m.state.pieces.get(&k.1));
            let Some(w) = piece.filter(|w| w.owes_notice()) else { continue };
            let host = w.item.notify_url.trim_start_matches("http://").split('/').next().unwrap_or("").to_owned();
            let busy = i.scheduler.callbacks_in_flight.get(&host).copied().unwrap_or(0);
            let homes = self.session.with_known(|s| s.configuration.homes_on(&w.item.route, &w.item.tenant));
            let front = i.scheduler.any_front(&host, &homes.unwrap_or_default());
            let (Some((_, inner)), true, true) = (front, at <= now, busy < 8) else {
                left.push_back((at, k));
                continue;
            };
            let callback = Notify {
                url: w.item.notify_url.clone(),
                id: w.item.id.clone(),
                state: w.state.word().into(),
                result_tag: w.result_tag.clone(),
            };
            *i.scheduler.callbacks_in_flight.entry(host.clone()).or_insert(0) += 1;
            let post = self.clone();
            tokio::spawn(async move {
                let wait = Duration::from_millis((post.settings.constraints.notify_s * 400.0) as u64);
                let status = match post.rpc_clients.to(&inner).call(Body::Notify(callback), wait).await {
                    Ok(Body::NotifyAck(a)) => a.status,
                    _ => 0,
                };
                let mut i = post.shared.lock().unwrap();
                let i = &mut *i;
                if let Some(n) = i.scheduler.callbacks_in_flight.get_mut(&host) {
                    *n = n.saturating_sub(1);
                }
                if status == 200 {
                    telemetry::count("call_backs_taken");
                    i.called_back.entry(k.0).or_default().push(k.1);
                    if let Some(m) = i.replicas.get_mut(&k.0)
                        && m.role != ReplicaRole::Owner
                    {
                        i.called_back.remove(&k.0);
                    }
                } else {
                    telemetry::count("call_backs_missed");
                    let backoff = i.scheduler.next_backoff(k);
                    i.scheduler.callbacks.push_back((post.now() + backoff, k));
                }
                post.wake.notify_one();
            });
        }
        i.scheduler.callbacks = left;
    }
}
