//! Handles requests of other processes: accepts, reports of attempts, look-ups and status.

use super::*;

/// Bytes of the record of an accept beside the message: time, delay and generations.
const ACCEPT_RECORD_OVERHEAD: usize = 128;

/// The answer to a message whose record is longer than `limit` bytes.
fn too_long(limit: usize) -> Body {
    let limit_bytes = limit.saturating_sub(rpc::ENVELOPE_MARGIN) as u64;
    Body::Accepted(Accepted { outcome: AcceptOutcome::TooLong as i32, limit_bytes, ..Accepted::default() })
}

impl StoreService {
    pub(super) fn handle(self: &Arc<Self>, body: Body, responder: Responder) {
        let mut guard = self.shared.lock().unwrap();
        let state = &mut *guard;
        match body {
            Body::Accept(request) => self.accept(state, request, responder, None),
            Body::Place(request) => self.place(state, request, responder),
            Body::Report(report) => self.report(state, report, responder),
            Body::Lookup(request) => {
                let found = self.lookup(state, &request);
                responder.send(Body::Found(found));
            }
            Body::Entries(entries) => {
                self.ensure_replica(state, entries.partition);
                self.step(state, entries.partition, |replica, now, effects| {
                    replica.handle_entries(entries, now, effects)
                });
            }
            Body::EntriesAck(ack) => {
                self.step(state, ack.partition, |replica, now, effects| replica.handle_entries_ack(ack, now, effects))
            }
            Body::Chunk(chunk) => {
                self.ensure_replica(state, chunk.partition);
                self.step(state, chunk.partition, |replica, now, effects| replica.handle_chunk(chunk, now, effects));
            }
            Body::Status(_) => responder.send(Body::StatusAck(StatusAck { json: self.status(state) })),
            _ => {}
        }
    }

    /// Accepts a message. `waited_until_ms` is set if it has waited for a token of its tenant's
    /// limit already: the time until which it may wait.
    pub(super) fn accept(
        self: &Arc<Self>,
        state: &mut StoreState,
        request: Accept,
        responder: Responder,
        waited_until_ms: Option<u64>,
    ) {
        let partition = request.partition;
        if let Some(owner) = self.other_owner(state, partition) {
            responder.send(accepted(AcceptOutcome::Elsewhere, 0, &owner));
            return;
        }
        if let Some(key) = state.uncommitted_accepts.find(partition, &request.item) {
            state.waiters.entry(key).or_default().push(Waiter::Accept(responder));
            return;
        }
        let at_ms = self.owner_time(state, partition);
        let replica = &state.replicas[&partition];
        if let Some(pos) = replica.state.find_duplicate(&request.item, at_ms) {
            telemetry::count("accepts_repeated");
            responder.send(accepted(AcceptOutcome::Taken, pos, ""));
            return;
        }
        if let Some(refusal) = replica.state.placement_refusal(&request.item, request.generations, at_ms) {
            responder.send(match refusal {
                PlacementRefusal::Operation(placement) => placed_elsewhere(&placement),
                PlacementRefusal::Order => accepted(AcceptOutcome::OrderPlacedElsewhere, 0, ""),
            });
            return;
        }
        if !self.knows_rules_for(&request.item) {
            telemetry::count("accepts_not_judged");
            responder.send(accepted(AcceptOutcome::Elsewhere, 0, ""));
            return;
        }
        if !self.may_keep(&request.item) {
            telemetry::count("refused_not_at_home");
            responder.send(accepted(AcceptOutcome::Elsewhere, 0, ""));
            return;
        }
        match replica.fit(request.item.encoded_len() + ACCEPT_RECORD_OVERHEAD) {
            RecordFit::Fits => {}
            RecordFit::TooLong { limit } => {
                telemetry::count("refused_too_long");
                responder.send(too_long(limit));
                return;
            }
            RecordFit::Unknown => {
                telemetry::count("accepts_of_unknown_fit");
                responder.send(accepted(AcceptOutcome::Elsewhere, 0, ""));
                return;
            }
        }
        if !replica.state.has_route(&request.item.route) {
            // If the partition's routes are at least as new as the front's, the route does not
            // exist; otherwise they may still be updated.
            let outcome = if replica.state.revision >= request.revision {
                AcceptOutcome::NoRoute
            } else {
                AcceptOutcome::Elsewhere
            };
            responder.send(accepted(outcome, 0, ""));
            return;
        }
        let rank = self
            .session
            .with_known(|known| known.configuration.route_named(&request.item.route).map_or(0, |route| route.rank));
        let is_follower_full = replica.full_replicas(self.now()).next().is_some();
        if is_follower_full {
            telemetry::count("refused_full_follower");
        }
        if is_follower_full || !self.has_room(state, rank, request.item.body.len()) {
            telemetry::count("refused_full");
            responder.send(accepted(AcceptOutcome::Full, 0, ""));
            return;
        }
        let Some((request, responder)) = self.admit_by_quota(state, request, responder, waited_until_ms) else {
            return;
        };
        let identity = AcceptIdentity::of(&request.item);
        let generations = (request.generations != PlacementGenerations::default()).then_some(request.generations);
        let accept = AcceptRecord { item: request.item, delay_ms: request.delay_ms, generations };
        let record = Record { at_ms, entry: Some(Entry::Accept(accept)) };
        let mut effects = Vec::new();
        match self.append(state, partition, &record, &mut effects) {
            Some(pos) => {
                state.uncommitted_accepts.insert((partition, pos), identity);
                state.waiters.entry((partition, pos)).or_default().push(Waiter::Accept(responder));
            }
            None => responder.send(accepted(AcceptOutcome::Elsewhere, 0, "")),
        }
        self.execute_effects(state, partition, effects);
    }

    /// `None` if this node owns the partition and can append to it now. Otherwise the owner to
    /// ask, which is empty if not known.
    pub(super) fn other_owner(&self, state: &StoreState, partition: u32) -> Option<String> {
        match state.replicas.get(&partition) {
            Some(replica) if replica.is_writable() && self.has_lease(state) => None,
            Some(replica) if replica.owner != self.settings.node => Some(replica.owner.clone()),
            _ => Some(String::new()),
        }
    }

    /// Whether the configuration known here has the tenant and the route of a message, and so the
    /// rules that apply to it. A process that has just started may own a partition before it has
    /// a configuration, and another route may have got the route's name.
    fn knows_rules_for(&self, item: &Item) -> bool {
        self.session.with_known(|known| {
            let configuration = &known.configuration;
            let knows_tenant = item.tenant.is_empty() || configuration.tenant_named(&item.tenant).is_some();
            knows_tenant && configuration.route_covering(&item.route, &item.host, &item.path).is_some()
        })
    }

    /// Whether a message may be kept in this region, by the configuration known here.
    fn may_keep(&self, item: &Item) -> bool {
        let homes = self.session.with_known(|known| known.configuration.homes_on(&item.route, &item.tenant));
        homes.is_none_or(|homes| homes.allows(&self.settings.region))
    }

    pub(super) fn report(self: &Arc<Self>, state: &mut StoreState, report: Report, responder: Responder) {
        let key = (report.partition, report.position);
        let now = self.now();
        if state.replicas.get(&key.0).is_none_or(|replica| !replica.accepts_reports())
            || !self.has_owner_time(state, key.0)
        {
            responder.send(Body::ReportAck(ReportAck { kept: false }));
            return;
        }
        // A report of an attempt that was given up. It says nothing about the attempt that is in
        // flight now.
        let is_outdated = state.scheduler.is_outdated(key, report.term, report.attempt);
        if is_outdated {
            telemetry::count("reports_outdated");
        } else if let Some(in_flight) = state.scheduler.end_attempt(key) {
            state.scheduler.record_report(&in_flight, &report, now);
        }
        let replica = &state.replicas[&key.0];
        let message = replica.state.messages.get(&key.1);
        let is_pending = message.is_some_and(|message| message.state == MessageState::Pending);
        if report.outcome == Outcome::Done as i32
            && message.is_some_and(|message| {
                message.state == MessageState::Settled && message.result_tag != report.result_tag
            })
        {
            telemetry::count("repeats_after_success");
        }
        let outcome = Outcome::try_from(report.outcome).unwrap_or(Outcome::Unknown);
        telemetry::count(match outcome {
            Outcome::Done => "runs_done",
            Outcome::Failed => "runs_failed",
            Outcome::Never => "runs_never",
            Outcome::NotRun => "runs_not_run",
            _ => "runs_unknown",
        });
        if !is_pending {
            responder.send(Body::ReportAck(ReportAck { kept: true }));
            self.wake.notify_one();
            return;
        }
        match outcome {
            // Reported to a former owner already. Another record of it would change nothing, and
            // the message would wait forever for an effect.
            Outcome::Failed if replica.state.is_failure_counted(key.1, report.attempt) => {
                telemetry::count("failures_told_again");
                responder.send(Body::ReportAck(ReportAck { kept: true }));
                if !is_outdated {
                    let backoff = state.scheduler.next_backoff(key);
                    state.scheduler.delay_until(key, now + backoff);
                }
            }
            Outcome::Done | Outcome::Failed | Outcome::Never => {
                if let Some((attempt, at)) = state.uncommitted_reports.get(&key).copied()
                    && attempt == report.attempt
                {
                    // A repeated report whose record is not committed yet.
                    state.waiters.entry((key.0, at)).or_default().push(Waiter::Report(responder));
                    return;
                }
                let answer = AnswerRecord {
                    position: key.1,
                    outcome: report.outcome,
                    result_tag: report.result_tag,
                    attempt: report.attempt,
                };
                let record = Record { at_ms: self.owner_time(state, key.0), entry: Some(Entry::Answer(answer)) };
                let mut effects = Vec::new();
                match self.append(state, key.0, &record, &mut effects) {
                    Some(pos) => {
                        state.uncommitted_reports.insert(key, (report.attempt, pos));
                        state.waiters.entry((key.0, pos)).or_default().push(Waiter::Report(responder));
                    }
                    // The delivery node reports it again; until then the message stays scheduled.
                    None => {
                        responder.send(Body::ReportAck(ReportAck { kept: false }));
                        let backoff = state.scheduler.next_backoff(key);
                        state.scheduler.delay_until(key, now + backoff);
                    }
                }
                self.execute_effects(state, key.0, effects);
            }
            _ if is_outdated => responder.send(Body::ReportAck(ReportAck { kept: true })),
            _ => {
                responder.send(Body::ReportAck(ReportAck { kept: true }));
                match delivery_failure(outcome, report.status).retry_owner(self.retry_safety(state, key)) {
                    RetryOwner::Owner => self.schedule(state, key, now),
                    _ => {
                        let backoff = state.scheduler.next_backoff(key);
                        state.scheduler.delay_until(key, now + backoff);
                    }
                }
            }
        }
        self.wake.notify_one();
    }

    /// Whether and how a message may be sent again.
    pub(super) fn retry_safety(&self, state: &StoreState, key: MessageKey) -> RetrySafety {
        let Some(message) = state.replicas.get(&key.0).and_then(|replica| replica.state.messages.get(&key.1)) else {
            return RetrySafety::Message;
        };
        let dedupes = self.session.with_known(|s| {
            let route = s.configuration.route_named(&message.item.route);
            let service = route.and_then(|c| s.configuration.service(agent::service_of(c, &message.item.id)));
            service.is_some_and(|service| service.dedupes)
        });
        match (dedupes, message.item.order_key.is_empty()) {
            (true, _) => RetrySafety::Dedupes,
            (false, false) => RetrySafety::Sequenced,
            (false, true) => RetrySafety::Message,
        }
    }

    /// Whether a message's body may be sent to the region of the requester. If the message's route
    /// was removed, the only home still known is the region of its partition.
    fn may_be_sent_to(&self, lookup: &Lookup, item: &Item) -> bool {
        let region = &lookup.region;
        self.session.with_known(|known| match known.configuration.homes_on(&item.route, &item.tenant) {
            Some(homes) => homes.allows(region),
            None => {
                let partitions = &known.assignments.partitions;
                let home = partitions.iter().find(|p| p.id == lookup.partition).map_or("", |p| &p.home);
                home.is_empty() || home == region
            }
        })
    }

    /// Looks a message up. Only the owner tells the state of a message, or that there is none.
    /// Bodies may come from any replica, as committed bytes are the same in each copy.
    pub(super) fn lookup(&self, state: &StoreState, request: &Lookup) -> Found {
        let Some(replica) = state.replicas.get(&request.partition) else { return Found::default() };
        let is_owner = replica.role == ReplicaRole::Owner && self.has_lease(state);
        let by_id = || replica.state.find(&request.tenant, &request.id).or_else(|| replica.state.find("", &request.id));
        let position = if request.id.is_empty() { Some(request.position) } else { by_id() };
        match position.and_then(|position| replica.state.messages.get(&position)) {
            Some(message) if is_owner || request.body => self.found(message, request, is_owner),
            None if is_owner && replica.is_caught_up() => Found { owner: true, ..Found::default() },
            _ => Found::default(),
        }
    }

    fn found(&self, message: &partition::Message, request: &Lookup, is_owner: bool) -> Found {
        let withheld = request.body && !message.item.body.is_empty() && !self.may_be_sent_to(request, &message.item);
        Found {
            owner: is_owner,
            known: true,
            state: message.state.as_str().into(),
            result_tag: message.result_tag.clone(),
            body: if request.body && !withheld { message.item.body.clone() } else { Bytes::new() },
            host: message.item.host.clone(),
            tenant: message.item.tenant.clone(),
            withheld,
        }
    }

    pub(super) fn status(&self, state: &StoreState) -> String {
        use std::fmt::Write;
        let mut s = String::from("{\"partitions\":[");
        let now = self.now();
        for (n, replica) in state.replicas.values().enumerate() {
            let stalled: Vec<serde_json::Value> = replica.stalled_replicas(now).iter().map(stalled_json).collect();
            let _ = write!(
                s,
                "{}{{\"id\":{},\"seat\":\"{}\",\"term\":{},\"end\":{},\"commit\":{},\"durable\":{},\"verified\":{},\"mismatch\":{},\"digest\":\"{:016x}\",\"pending\":{},\"kept\":{},\"moving\":{},\"waitsFor\":{:?},\"stalled\":{}}}",
                if n > 0 { "," } else { "" },
                replica.id,
                if replica.role == ReplicaRole::Owner { "owner" } else { "follower" },
                replica.term,
                replica.end(),
                replica.commit,
                replica.durable,
                replica.verified,
                replica.mismatch,
                replica.state.digest(),
                replica.state.pending.len(),
                replica.state.messages.len(),
                replica.is_moving(),
                if replica.role == ReplicaRole::Owner { replica.unacknowledged_replicas() } else { Vec::new() },
                serde_json::Value::from(stalled)
            );
        }
        let _ = write!(
            s,
            "],\"node\":\"{}\",\"leased\":{},\"queued\":{},\"underWay\":{},\"counters\":\"{}\"}}",
            self.settings.node,
            self.has_lease(state),
            state.scheduler.queued_count(),
            state.scheduler.in_flight.len(),
            telemetry::render()
        );
        s
    }
}

/// A follower that holds up commits, for the status.
fn stalled_json(stalled: &StalledReplica) -> serde_json::Value {
    serde_json::json!({
        "node": stalled.node,
        "position": stalled.position,
        "stalledMs": stalled.stalled_ms,
        "reason": stalled.reason.to_string(),
    })
}
