//! Handles requests of other processes: accepts, reports of attempts, look-ups and status.

use super::*;

impl StoreService {
    pub(super) fn handle(self: &Arc<Self>, body: Body, responder: Responder) {
        let mut guard = self.shared.lock().unwrap();
        let i = &mut *guard;
        match body {
            Body::Accept(a) => self.accept(i, a, responder, None),
            Body::Place(request) => self.place(i, request, responder),
            Body::Report(r) => self.report(i, r, responder),
            Body::Lookup(l) => {
                let found = self.lookup(i, &l);
                responder.send(Body::Found(found));
            }
            Body::Entries(e) => {
                self.ensure_replica(i, e.partition);
                self.step(i, e.partition, |m, now, out| m.entries(e, now, out));
            }
            Body::EntriesAck(a) => self.step(i, a.partition, |m, now, out| m.acked(a, now, out)),
            Body::Chunk(c) => {
                self.ensure_replica(i, c.partition);
                self.step(i, c.partition, |m, now, out| m.chunk(c, now, out));
            }
            Body::Status(_) => responder.send(Body::StatusAck(StatusAck { json: self.status(i) })),
            _ => {}
        }
    }

    /// Accepts a message. `waited_until_ms` is set if it has waited for a token of its tenant's
    /// limit already: the time until which it may wait.
    pub(super) fn accept(
        self: &Arc<Self>,
        i: &mut StoreState,
        a: Accept,
        responder: Responder,
        waited_until_ms: Option<u64>,
    ) {
        let p = a.partition;
        if let Some(owner) = self.other_owner(i, p) {
            responder.send(accepted(AcceptOutcome::Elsewhere, 0, &owner));
            return;
        }
        if let Some(k) = i.uncommitted_accepts.find(p, &a.item) {
            i.waiters.entry(k).or_default().push(Waiter::Accept(responder));
            return;
        }
        let at_ms = self.owner_time(i, p);
        let m = &i.replicas[&p];
        if let Some(pos) = m.state.find_repeat(&a.item, at_ms) {
            telemetry::count("accepts_repeated");
            responder.send(accepted(AcceptOutcome::Taken, pos, ""));
            return;
        }
        if let Some(refusal) = m.state.refusal_by_placement(&a.item, a.generations, at_ms) {
            responder.send(match refusal {
                PlacementRefusal::Operation(placement) => placed_elsewhere(&placement),
                PlacementRefusal::Order => accepted(AcceptOutcome::OrderPlacedElsewhere, 0, ""),
            });
            return;
        }
        if !self.can_judge(&a.item) {
            telemetry::count("accepts_not_judged");
            responder.send(accepted(AcceptOutcome::Elsewhere, 0, ""));
            return;
        }
        if !self.may_keep(&a.item) {
            telemetry::count("refused_not_at_home");
            responder.send(accepted(AcceptOutcome::Elsewhere, 0, ""));
            return;
        }
        if !m.state.has_route(&a.item.route) {
            // If the partition's routes are at least as new as the front's, the route does not
            // exist; otherwise they may still be updated.
            let outcome =
                if m.state.revision >= a.revision { AcceptOutcome::NoRoute } else { AcceptOutcome::Elsewhere };
            responder.send(accepted(outcome, 0, ""));
            return;
        }
        let rank = self.session.with_known(|k| k.configuration.route_named(&a.item.route).map_or(0, |c| c.rank));
        if !self.has_room(i, rank, a.item.body.len()) {
            telemetry::count("refused_full");
            responder.send(accepted(AcceptOutcome::Full, 0, ""));
            return;
        }
        let Some((a, responder)) = self.admit_by_quota(i, a, responder, waited_until_ms) else { return };
        let identity = AcceptIdentity::of(&a.item);
        let generations = (a.generations != PlacementGenerations::default()).then_some(a.generations);
        let accept = AcceptRecord { item: a.item, delay_ms: a.delay_ms, generations };
        let record = Record { at_ms, entry: Some(Entry::Accept(accept)) };
        let mut out = Vec::new();
        match self.append(i, p, &record, &mut out) {
            Some(pos) => {
                i.uncommitted_accepts.insert((p, pos), identity);
                i.waiters.entry((p, pos)).or_default().push(Waiter::Accept(responder));
            }
            None => responder.send(accepted(AcceptOutcome::Elsewhere, 0, "")),
        }
        self.execute_effects(i, p, out);
    }

    /// `None` if this node owns the partition and can append to it now. Otherwise the owner to
    /// ask, which is empty if not known.
    pub(super) fn other_owner(&self, i: &StoreState, partition: u32) -> Option<String> {
        match i.replicas.get(&partition) {
            Some(replica) if replica.open() && self.has_lease(i) => None,
            Some(replica) if replica.owner != self.settings.node => Some(replica.owner.clone()),
            _ => Some(String::new()),
        }
    }

    /// Whether there is room for `bytes` more of messages of the given rank.
    pub(super) fn has_room(&self, i: &StoreState, rank: u32, bytes: usize) -> bool {
        let held: usize = i.replicas.values().map(|replica| replica.state.weight()).sum();
        let disk = (self.settings.limits.disk_mb << 20) as usize;
        let room = Capacity { memory: i.memory_limit, disk: disk * 9 / 10 };
        room.admits(rank, held + bytes, self.wal.used_bytes() as usize)
    }

    /// Whether the configuration known here has the tenant and the route of a message, and so the
    /// rules that apply to it. A process that has just started may own a partition before it has
    /// a configuration, and another route may have got the route's name.
    fn can_judge(&self, item: &Item) -> bool {
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

    pub(super) fn report(self: &Arc<Self>, i: &mut StoreState, r: Report, responder: Responder) {
        let k = (r.partition, r.position);
        let now = self.now();
        if i.replicas.get(&k.0).is_none_or(|m| !m.takes_reports()) || !self.is_timed(i, k.0) {
            responder.send(Body::ReportAck(ReportAck { kept: false }));
            return;
        }
        // A report of an attempt that was given up. It says nothing about the attempt that is in
        // flight now.
        let outdated = i.scheduler.is_outdated(k, r.term, r.attempt);
        if outdated {
            telemetry::count("reports_outdated");
        } else if let Some(f) = i.scheduler.end_attempt(k) {
            i.scheduler.record_report(&f, &r, now);
        }
        let m = &i.replicas[&k.0];
        let piece = m.state.pieces.get(&k.1);
        let pending = piece.is_some_and(|w| w.state == MessageState::Pending);
        if r.outcome == Outcome::Done as i32
            && piece.is_some_and(|w| w.state == MessageState::Settled && w.result_tag != r.result_tag)
        {
            telemetry::count("repeats_after_success");
        }
        let outcome = Outcome::try_from(r.outcome).unwrap_or(Outcome::Unknown);
        telemetry::count(match outcome {
            Outcome::Done => "runs_done",
            Outcome::Failed => "runs_failed",
            Outcome::Never => "runs_never",
            Outcome::NotRun => "runs_not_run",
            _ => "runs_unknown",
        });
        if !pending {
            responder.send(Body::ReportAck(ReportAck { kept: true }));
            self.wake.notify_one();
            return;
        }
        match outcome {
            // Reported to a former owner already. Another record of it would change nothing, and
            // the message would wait forever for an effect.
            Outcome::Failed if m.state.is_failure_counted(k.1, r.attempt) => {
                telemetry::count("failures_told_again");
                responder.send(Body::ReportAck(ReportAck { kept: true }));
                if !outdated {
                    let backoff = i.scheduler.next_backoff(k);
                    i.scheduler.delay_until(k, now + backoff);
                }
            }
            Outcome::Done | Outcome::Failed | Outcome::Never => {
                if let Some((attempt, at)) = i.uncommitted_reports.get(&k).copied()
                    && attempt == r.attempt
                {
                    // A repeated report whose record is not committed yet.
                    i.waiters.entry((k.0, at)).or_default().push(Waiter::Report(responder));
                    return;
                }
                let answer =
                    AnswerRecord { position: k.1, outcome: r.outcome, result_tag: r.result_tag, attempt: r.attempt };
                let record = Record { at_ms: self.owner_time(i, k.0), entry: Some(Entry::Answer(answer)) };
                let mut out = Vec::new();
                match self.append(i, k.0, &record, &mut out) {
                    Some(pos) => {
                        i.uncommitted_reports.insert(k, (r.attempt, pos));
                        i.waiters.entry((k.0, pos)).or_default().push(Waiter::Report(responder));
                    }
                    // The delivery node reports it again; until then the message stays scheduled.
                    None => {
                        responder.send(Body::ReportAck(ReportAck { kept: false }));
                        let backoff = i.scheduler.next_backoff(k);
                        i.scheduler.delay_until(k, now + backoff);
                    }
                }
                self.execute_effects(i, k.0, out);
            }
            _ if outdated => responder.send(Body::ReportAck(ReportAck { kept: true })),
            _ => {
                responder.send(Body::ReportAck(ReportAck { kept: true }));
                match delivery_failure(outcome, r.status).again(self.retry_safety(i, k)) {
                    RetryOwner::Owner => self.schedule(i, k, now),
                    _ => {
                        let backoff = i.scheduler.next_backoff(k);
                        i.scheduler.delay_until(k, now + backoff);
                    }
                }
            }
        }
        self.wake.notify_one();
    }

    /// Whether and how a message may be sent again.
    pub(super) fn retry_safety(&self, i: &StoreState, k: Key) -> RetrySafety {
        let Some(w) = i.replicas.get(&k.0).and_then(|m| m.state.pieces.get(&k.1)) else { return RetrySafety::Message };
        let dedupes = self.session.with_known(|s| {
            let route = s.configuration.route_named(&w.item.route);
            let service = route.and_then(|c| s.configuration.service(agent::service_of(c, &w.item.id)));
            service.is_some_and(|p| p.dedupes)
        });
        match (dedupes, w.item.order_key.is_empty()) {
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
    pub(super) fn lookup(&self, i: &StoreState, l: &Lookup) -> Found {
        let Some(replica) = i.replicas.get(&l.partition) else { return Found::default() };
        let speaks = replica.role == ReplicaRole::Owner && self.has_lease(i);
        let by_id = || replica.state.find(&l.tenant, &l.id).or_else(|| replica.state.find("", &l.id));
        let position = if l.id.is_empty() { Some(l.position) } else { by_id() };
        match position.and_then(|position| replica.state.pieces.get(&position)) {
            Some(message) if speaks || l.body => self.found(message, l, speaks),
            None if speaks && replica.caught_up() => Found { owner: true, ..Found::default() },
            _ => Found::default(),
        }
    }

    fn found(&self, message: &partition::Message, l: &Lookup, speaks: bool) -> Found {
        let withheld = l.body && !message.item.body.is_empty() && !self.may_be_sent_to(l, &message.item);
        Found {
            owner: speaks,
            known: true,
            state: message.state.word().into(),
            result_tag: message.result_tag.clone(),
            body: if l.body && !withheld { message.item.body.clone() } else { Bytes::new() },
            host: message.item.host.clone(),
            tenant: message.item.tenant.clone(),
            withheld,
        }
    }

    pub(super) fn status(&self, i: &StoreState) -> String {
        use std::fmt::Write;
        let mut s = String::from("{\"partitions\":[");
        for (n, m) in i.replicas.values().enumerate() {
            let _ = write!(
                s,
                "{}{{\"id\":{},\"seat\":\"{}\",\"term\":{},\"end\":{},\"commit\":{},\"durable\":{},\"verified\":{},\"mismatch\":{},\"digest\":\"{:016x}\",\"pending\":{},\"kept\":{},\"moving\":{},\"waitsFor\":{:?}}}",
                if n > 0 { "," } else { "" },
                m.id,
                if m.role == ReplicaRole::Owner { "owner" } else { "follower" },
                m.term,
                m.end(),
                m.commit,
                m.durable,
                m.verified,
                m.mismatch,
                m.state.digest(),
                m.state.pending.len(),
                m.state.pieces.len(),
                m.is_moving(),
                if m.role == ReplicaRole::Owner { m.awaited() } else { Vec::new() }
            );
        }
        let _ = write!(
            s,
            "],\"node\":\"{}\",\"leased\":{},\"queued\":{},\"underWay\":{},\"counters\":\"{}\"}}",
            self.settings.node,
            self.has_lease(i),
            i.scheduler.queued_count(),
            i.scheduler.in_flight.len(),
            telemetry::render()
        );
        s
    }
}
