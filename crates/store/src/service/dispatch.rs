//! Dispatches queued messages to processors and sends due call-backs.

use super::*;

impl StoreService {
    /// Schedules a message that may run: queues it if it is due, else delays it until then.
    pub(super) fn schedule(&self, state: &mut StoreState, key: MessageKey, now: u64) {
        let Some(replica) = state.replicas.get(&key.0) else { return };
        let Some(message) = replica.state.messages.get(&key.1) else { return };
        if replica.role != ReplicaRole::Owner
            || message.state != MessageState::Pending
            || !replica.state.is_head(key.1, message)
            || state.uncommitted_reports.contains_key(&key)
        {
            return;
        }
        let Some(time) = replica.time(now) else {
            // The time comes with the lease, and nothing is dispatched without one.
            state.scheduler.delay_until(key, now + self.quiet_fraction_ms(100.0));
            return;
        };
        let due = message.at_ms + with_slew_margin(message.due_ms.saturating_sub(message.at_ms));
        if due > time {
            state.scheduler.delay_until(key, now + (due - time));
            return;
        }
        // When the message became due, on this process's steady clock.
        let due_since = now.saturating_sub(time.saturating_sub(message.due_ms));
        let queue = self.session.with_known(|known| QueueId::of(&known.configuration, &message.item));
        match queue {
            Some(queue) => state.scheduler.enqueue(key, queue, due_since),
            // Either the message is from a node with a newer configuration, which will arrive
            // here, or its route was removed, which a log record is about to say.
            None => {
                telemetry::count("routes_not_known_yet");
                state.scheduler.delay_until(key, now + self.quiet_fraction_ms(40.0));
            }
        }
    }

    /// Reassigns queued messages to queues after a configuration change: a route may have got
    /// other services, or a service may have been removed.
    fn reassign_queues(&self, state: &mut StoreState, configuration: &config::ConfigurationIndex, now: u64) {
        if state.queued_by_revision == configuration.revision {
            return;
        }
        state.queued_by_revision = configuration.revision;
        let is_elsewhere = |(key, queue): &(MessageKey, &QueueId)| {
            let message = state.replicas.get(&key.0).and_then(|replica| replica.state.messages.get(&key.1));
            message.and_then(|message| QueueId::of(configuration, &message.item)).as_ref() != Some(*queue)
        };
        let moved: Vec<MessageKey> =
            state.scheduler.queued_messages().filter(is_elsewhere).map(|(key, _)| key).collect();
        telemetry::add("messages_queued_anew", moved.len() as u64);
        for key in moved {
            state.scheduler.remove_queued(key);
            self.schedule(state, key, now);
        }
    }

    /// The fraction of a rate-limited service's rate that this owner may use. Where attempts at
    /// one operation must reach the same partition, or messages are bound to regions, several
    /// partitions may keep messages for such a service. Each owner then gets the share of the
    /// partitions that it owns. An owner of none of them that still has messages, as of a route
    /// that was changed to another service, gets the share of one partition.
    fn metered_share(&self, state: &StoreState, known: &agent::ClusterView, service: &config::Service) -> f64 {
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
        let is_own = |partition: &&u32| state.replicas.get(partition).is_some_and(PartitionReplica::is_writable);
        let own = partitions.iter().filter(is_own).count();
        own.max(1) as f64 / partitions.len() as f64
    }

    /// Dispatches all messages that can be sent now. Returns when to run again at the latest.
    pub(super) fn dispatch_ready(self: &Arc<Self>) -> u64 {
        let now = self.now();
        let known = self.session.known();
        let mut guard = self.shared.lock().unwrap();
        let state = &mut *guard;
        let mut next_run = now + self.quiet_fraction_ms(20.0);
        if !self.has_lease(state) {
            return next_run;
        }
        state.scheduler.update_view(&known.membership, &known.assignments);
        let owned: Vec<u32> = state
            .replicas
            .values()
            .filter(|replica| replica.role == ReplicaRole::Owner)
            .map(|replica| replica.id)
            .collect();
        for partition in owned {
            self.owner_time(state, partition);
        }
        while let Some(key) = state.scheduler.pop_due(now) {
            self.schedule(state, key, now);
        }
        self.reassign_queues(state, &known.configuration, now);
        for key in state.scheduler.overdue(now) {
            // The delivery node did not report in time: the outcome is unknown, and no failed
            // attempt is counted.
            telemetry::count("runs_overdue");
            state.scheduler.end_attempt(key);
            let backoff = state.scheduler.next_backoff(key);
            state.scheduler.delay_until(key, now + backoff);
        }
        let mut dispatched_partitions = HashSet::new();
        for queue in state.scheduler.ready_queues() {
            let name = &queue.service;
            let Some(service) = known.configuration.service(name) else { continue };
            let share = self.metered_share(state, &known, service);
            state.scheduler.set_share(name, share);
            let target_start = known.configuration.target_start_ms(name) as u64;
            while let Some(key) = state.scheduler.next_ready(&queue, now, target_start) {
                let is_recovering = state.recovering.get(&key.0).is_some_and(|end| key.1 <= *end);
                if is_recovering || state.replicas.get(&key.0).is_none_or(|replica| !replica.is_writable()) {
                    // The partition was just taken over, or it is moving: retried later.
                    state.scheduler.remove_queued(key);
                    state.scheduler.delay_until(key, now + self.quiet_fraction_ms(100.0));
                    continue;
                }
                let item = state
                    .replicas
                    .get(&key.0)
                    .and_then(|replica| replica.state.messages.get(&key.1))
                    .map(|message| &message.item);
                if item.and_then(|item| QueueId::of(&known.configuration, item)).is_none_or(|current| current != queue)
                {
                    // Its route was changed or removed since it was queued: rescheduled.
                    state.scheduler.remove_queued(key);
                    state.scheduler.delay_until(key, now + self.quiet_fraction_ms(400.0));
                    continue;
                }
                let Some(target) = state.scheduler.choose(service, &queue.homes, now) else { break };
                if let Err(at) = state.scheduler.take_token(service, now) {
                    next_run = next_run.min(at);
                    break;
                }
                if !self.dispatch(state, &known, key, service, target, now) {
                    state.scheduler.remove_queued(key);
                    state.scheduler.delay_until(key, now + self.quiet_fraction_ms(100.0));
                }
                dispatched_partitions.insert(key.0);
            }
        }
        for partition in dispatched_partitions {
            self.step(state, partition, |replica, now, effects| replica.flush(now, effects));
        }
        self.send_callbacks(state, now);
        if let Some(due) = state.scheduler.next_due() {
            next_run = next_run.min(due.max(now + 1));
        }
        next_run
    }

    /// Appends the dispatch record of a message and sends the attempt to the delivery node.
    /// False if the message cannot be dispatched now.
    #[allow(clippy::too_many_arguments)]
    pub(super) fn dispatch(
        self: &Arc<Self>,
        state: &mut StoreState,
        known: &agent::ClusterView,
        key: MessageKey,
        service: &config::Service,
        target: Target,
        now: u64,
    ) -> bool {
        let at_ms = self.owner_time(state, key.0);
        let Some(replica) = state.replicas.get_mut(&key.0) else { return false };
        let Some(message) = replica.state.messages.get(&key.1).filter(|message| message.state == MessageState::Pending)
        else {
            return false;
        };
        let route = known.configuration.route_covering(&message.item.route, &message.item.host, &message.item.path);
        let Some(route) = route else { return false };
        let timeout = route.timeout_ms as u64;
        let mut item = message.item.clone();
        item.notify_url.clear();
        item.operation = None;
        let dispatch =
            DispatchRecord { position: key.1, processor: target.processor.clone(), node: target.front.clone() };
        let record = Record { at_ms, entry: Some(Entry::Dispatch(dispatch)) };
        let mut effects = Vec::new();
        let Some(attempt) = replica.append(&record, now, &mut effects) else { return false };
        let run = Run {
            partition: key.0,
            attempt,
            term: replica.term,
            position: key.1,
            address: target.address.clone(),
            processor: target.target.clone(),
            timeout_ms: timeout as u32,
            item,
            conn_limit: service.conn_limit,
            revoked: false,
        };
        // A delivery node waits 5 % longer than the route's time-out.
        state.scheduler.start_attempt(key, &target, route, now + timeout * 21 / 20 + self.quiet_fraction_ms(8.0));
        state.scheduler.set_attempt_number(key, run.term, attempt);
        self.execute_effects(state, key.0, effects);
        telemetry::count("dispatched");
        let this = self.clone();
        tokio::spawn(async move { this.send_attempt(run, target).await });
        true
    }

    /// Sends one attempt to the delivery node. If it is certain that the node does not have it,
    /// the message is scheduled again.
    pub(super) async fn send_attempt(self: Arc<Self>, run: Run, target: Target) {
        let key = (run.partition, run.position);
        let (term, attempt) = (run.term, run.attempt);
        let is_long = run.item.encoded_len() > rpc::max_record_bytes(rpc::FRAME_LIMIT);
        let wait = Duration::from_millis(self.quiet_fraction_ms(8.0));
        let client = self.rpc_clients.to(&target.front_inner);
        let (item, address, processor) = (Item::default(), String::new(), String::new());
        let revoke = Run { revoked: true, item, address, processor, ..run };
        match client.call(Body::Run(run), wait).await {
            Ok(Body::RunAck(ack)) if ack.taken => return,
            Ok(_) | Err(ExecutionOutcome::NotRun) => {}
            Err(_) => {
                // The node may have the attempt, or may still receive it over a connection that
                // was replaced. Revoking it tells whether the node has taken it.
                let mut is_revoked = false;
                for _ in 0..3 {
                    match client.call(Body::Run(revoke.clone()), wait).await {
                        Ok(Body::RunAck(ack)) if ack.taken => return,
                        Ok(_) => {
                            is_revoked = true;
                            break;
                        }
                        Err(ExecutionOutcome::NotRun) => tokio::time::sleep(wait / 8).await,
                        Err(_) => {}
                    }
                }
                if !is_revoked && !rpc::refuses_connections(&target.front_inner, wait).await {
                    // No answer still: the attempt becomes overdue once it must have ended.
                    return;
                }
            }
        }
        telemetry::count("runs_not_given");
        let mut state = self.shared.lock().unwrap();
        let state = &mut *state;
        if state.scheduler.in_flight.get(&key).is_some_and(|f| f.attempt == (term, attempt)) {
            state.scheduler.end_attempt(key);
            // Delivery nodes that do not receive its length refuse it at once.
            let pause = if is_long { state.scheduler.next_backoff(key) } else { self.quiet_fraction_ms(200.0) };
            state.scheduler.delay_until(key, self.now() + pause);
            self.wake.notify_one();
        }
    }

    /// Sends the call-backs that are due.
    pub(super) fn send_callbacks(self: &Arc<Self>, state: &mut StoreState, now: u64) {
        let mut remaining = std::collections::VecDeque::new();
        while let Some((at, key)) = state.scheduler.callbacks.pop_front() {
            let message = state
                .replicas
                .get(&key.0)
                .filter(|replica| replica.role == ReplicaRole::Owner)
                .and_then(|replica| replica.state.messages.get(&key.1));
            let Some(message) = message.filter(|message| message.needs_notification()) else { continue };
            let host = message.item.notify_url.trim_start_matches("http://").split('/').next().unwrap_or("").to_owned();
            let busy = state.scheduler.callbacks_in_flight.get(&host).copied().unwrap_or(0);
            let homes = self
                .session
                .with_known(|known| known.configuration.homes_on(&message.item.route, &message.item.tenant));
            let front = state.scheduler.any_front(&host, &homes.unwrap_or_default());
            let (Some((_, inner)), true, true) = (front, at <= now, busy < 8) else {
                remaining.push_back((at, key));
                continue;
            };
            let callback = Notify {
                url: message.item.notify_url.clone(),
                id: message.item.id.clone(),
                state: message.state.as_str().into(),
                result_tag: message.result_tag.clone(),
            };
            *state.scheduler.callbacks_in_flight.entry(host.clone()).or_insert(0) += 1;
            let this = self.clone();
            tokio::spawn(async move {
                let wait = Duration::from_millis((this.settings.constraints.notify_s * 400.0) as u64);
                let status = match this.rpc_clients.to(&inner).call(Body::Notify(callback), wait).await {
                    Ok(Body::NotifyAck(ack)) => ack.status,
                    _ => 0,
                };
                let mut state = this.shared.lock().unwrap();
                let state = &mut *state;
                if let Some(n) = state.scheduler.callbacks_in_flight.get_mut(&host) {
                    *n = n.saturating_sub(1);
                }
                if status == 200 {
                    telemetry::count("call_backs_taken");
                    state.called_back.entry(key.0).or_default().push(key.1);
                    if let Some(replica) = state.replicas.get_mut(&key.0)
                        && replica.role != ReplicaRole::Owner
                    {
                        state.called_back.remove(&key.0);
                    }
                } else {
                    telemetry::count("call_backs_missed");
                    let backoff = state.scheduler.next_backoff(key);
                    state.scheduler.callbacks.push_back((this.now() + backoff, key));
                }
                this.wake.notify_one();
            });
        }
        state.scheduler.callbacks = remaining;
    }
}
