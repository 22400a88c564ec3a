//! Tenant quotas: each accepted message takes one token of its tenant. The leader grants tokens to
//! partition owners. A message without a token waits for the leader's answer for a short time.

use super::*;
use balance::{LocalQuota, PartitionSpending, QuotaAnswer, QuotaParameters, QuotaReport, QuotaTake};

/// `quietMs` divided by this is the longest time between two checks whether a request to the leader
/// is due, and the time limit of a request.
const REQUEST_PERIOD_DIVISOR: f64 = 40.0;
/// `quietMs` divided by this is the longest time that a message waits for a token.
const TOKEN_WAIT_DIVISOR: f64 = 50.0;
/// `quietMs` divided by this is the shortest time between two requests.
const REQUEST_GAP_DIVISOR: f64 = 1200.0;
/// The retry delay for a client that was refused because the leader did not answer.
const UNANSWERED_RETRY_MS: u64 = 1000;

/// An accept that waits for a token.
struct WaitingAccept {
    accept: Accept,
    responder: Responder,
    until_ms: u64,
}

/// The tokens that this owner holds, and its exchange with the leader.
pub(super) struct QuotaState {
    stock: LocalQuota,
    waiting: Vec<WaitingAccept>,
    sequence: u64,
    introduces: bool,
    /// The leader that the last request was sent to, and when.
    last_request: (String, u64),
    /// Whether the leader is owed a request: since its last answer a partition was counted or a
    /// request was sent.
    is_request_due: bool,
    /// By partition, the term at which its recently accepted messages were counted.
    counted_terms: HashMap<u32, u64>,
}

/// The initial quota state; `None` if the settings disable quotas.
pub(super) fn quota_state(settings: &Settings) -> Option<QuotaState> {
    let constraints = &settings.constraints;
    (constraints.quota_window_s > 0.0).then(|| QuotaState {
        stock: LocalQuota::new(QuotaParameters {
            window_ms: (constraints.quota_window_s * 1000.0) as u64,
            lease_ms: settings.quota_lease_ms(),
            overshoot: constraints.quota_overshoot,
            slack: constraints.quota_slack,
        }),
        waiting: Vec::new(),
        sequence: 0,
        introduces: true,
        last_request: (String::new(), 0),
        is_request_due: true,
        counted_terms: HashMap::new(),
    })
}

impl StoreService {
    /// Checks a message against its tenant's quota and returns it if it is admitted. `None` if it
    /// was kept to wait for a token or was answered with a refusal.
    pub(super) fn admit_by_quota(
        &self,
        state: &mut StoreState,
        accept: Accept,
        responder: Responder,
        waited_until_ms: Option<u64>,
    ) -> Option<(Accept, Responder)> {
        let tenant = &accept.item.tenant;
        if tenant.is_empty() || !self.session.with_known(|known| known.configuration.has_limit(tenant)) {
            return Some((accept, responder));
        }
        self.count_recent_accepts(state);
        let Some(quota) = &mut state.quota else { return Some((accept, responder)) };
        let now = self.now();
        let take = match quota.counted_terms.contains_key(&accept.partition) {
            true => quota.stock.take(tenant, accept.partition, waited_until_ms.is_none(), now),
            // The messages accepted before the take-over are not counted yet.
            false => {
                quota.stock.add_waiting(tenant);
                QuotaTake::Ask
            }
        };
        match take {
            QuotaTake::Taken => Some((accept, responder)),
            QuotaTake::Ask => {
                let until_ms = waited_until_ms.unwrap_or(now + self.quiet_fraction_ms(TOKEN_WAIT_DIVISOR));
                if now >= until_ms {
                    quota.stock.remove_waiting(tenant);
                    telemetry::count("quota_unanswered");
                    refuse_over_quota(responder, UNANSWERED_RETRY_MS);
                    return None;
                }
                quota.waiting.push(WaitingAccept { accept, responder, until_ms });
                self.quota_wanted.notify_one();
                None
            }
            QuotaTake::Refused { retry_ms } => {
                telemetry::count("quota_refused");
                refuse_over_quota(responder, retry_ms);
                None
            }
        }
    }

    /// Exchanges reports and token grants with the leader while there is something to report or
    /// to ask for.
    pub(super) async fn keep_quota_leases(self: Arc<Self>) {
        let period = Duration::from_millis(self.quiet_fraction_ms(REQUEST_PERIOD_DIVISOR).max(1));
        let pause = Duration::from_millis(self.quiet_fraction_ms(REQUEST_GAP_DIVISOR).max(1));
        loop {
            let _ = tokio::time::timeout(period, self.quota_wanted.notified()).await;
            let leader = self.session.with_known(|known| known.leader.clone());
            if let Some((request, reports)) = self.quota_request(&leader) {
                self.ask_quota(&leader, request, &reports, period).await;
            }
            self.resume_waiting();
            tokio::time::sleep(pause).await;
        }
    }

    /// The next request to the leader, if one is due. A leader that knows this owner gets one
    /// every half of the quota lease, also without anything new.
    fn quota_request(&self, leader: &str) -> Option<(QuotaRequest, Vec<QuotaReport>)> {
        let has_limits = |known: &agent::ClusterView| known.configuration.has_limits();
        if leader.is_empty() || !self.session.with_known(has_limits) {
            return None;
        }
        let now = self.now();
        let mut guard = self.shared.lock().unwrap();
        let state = &mut *guard;
        self.count_recent_accepts(state);
        let quota = state.quota.as_mut()?;
        let (last_leader, last_ms) = &quota.last_request;
        let is_renewal_due = last_leader != leader || now >= last_ms + self.settings.quota_lease_ms() / 2;
        if !is_renewal_due && !quota.is_request_due && !quota.stock.has_pending_report() {
            return None;
        }
        quota.introduces |= last_leader != leader;
        quota.last_request = (leader.to_owned(), now);
        quota.is_request_due = true;
        quota.sequence += 1;
        let reports = quota.stock.reports(quota.introduces, now);
        let counted =
            quota.counted_terms.iter().map(|(partition, term)| Holding { partition: *partition, term: *term });
        let request = QuotaRequest {
            node: self.session.me(),
            sequence: quota.sequence,
            is_full_report: quota.introduces,
            usages: reports.iter().map(usage_of).collect(),
            counted: counted.collect(),
        };
        Some((request, reports))
    }

    async fn ask_quota(&self, leader: &str, request: QuotaRequest, reports: &[QuotaReport], wait: Duration) {
        let sent_ms = self.now();
        let incarnation = request.node.incarnation;
        let answer = self.rpc_clients.to(leader).call(Body::QuotaRequest(request), wait).await;
        let mut state = self.shared.lock().unwrap();
        let Some(quota) = state.quota.as_mut() else { return };
        match answer {
            Ok(Body::QuotaResponse(response)) if response.taken && self.session.me().incarnation == incarnation => {
                (quota.introduces, quota.is_request_due) = (false, false);
                let answer = |grant: &TenantGrant| QuotaAnswer {
                    granted: grant.granted,
                    keep: grant.keep,
                    retry_ms: grant.retry_ms,
                };
                let answers: Vec<QuotaAnswer> = response.grants.iter().map(answer).collect();
                quota.stock.apply_answers(reports, &answers, sent_ms, self.now());
            }
            Ok(Body::QuotaResponse(response)) if response.needs_full_report => quota.introduces = true,
            _ => telemetry::count("quota_requests_missed"),
        }
    }

    /// Retries the accepts that wait for a token.
    fn resume_waiting(self: &Arc<Self>) {
        let mut guard = self.shared.lock().unwrap();
        let state = &mut *guard;
        let Some(quota) = state.quota.as_mut() else { return };
        let waiting = std::mem::take(&mut quota.waiting);
        for waiting in &waiting {
            quota.stock.remove_waiting(&waiting.accept.item.tenant);
        }
        for WaitingAccept { accept, responder, until_ms } in waiting {
            self.accept(state, accept, responder, Some(until_ms));
        }
    }

    /// Counts the messages of the last window in partitions that were taken over.
    fn count_recent_accepts(&self, state: &mut StoreState) {
        let window_ms = (self.settings.constraints.quota_window_s * 1000.0) as u64;
        let now = self.now();
        let Some(quota) = state.quota.as_mut() else { return };
        let owns = |partition: &u32, term: u64| {
            state
                .replicas
                .get(partition)
                .is_some_and(|replica| replica.role == ReplicaRole::Owner && replica.term == term)
        };
        quota.counted_terms.retain(|partition, term| owns(partition, *term));
        for replica in state.replicas.values() {
            let is_known = replica.role == ReplicaRole::Owner && replica.is_caught_up();
            if !is_known || quota.counted_terms.contains_key(&replica.id) {
                continue;
            }
            let Some(time) = replica.time(now) else { continue };
            quota.counted_terms.insert(replica.id, replica.term);
            quota.is_request_due = true;
            quota.stock.begin_partition(replica.id, replica.term);
            let is_recent = |message: &&partition::Message| message.at_ms + window_ms > time;
            for message in replica.state.messages.values().rev().take_while(is_recent) {
                if !message.item.tenant.is_empty() {
                    let age_ms = time.saturating_sub(message.at_ms);
                    quota.stock.count_accepted(&message.item.tenant, replica.id, age_ms, now);
                }
            }
        }
    }
}

fn usage_of(report: &QuotaReport) -> TenantUsage {
    let usage = |spending: &PartitionSpending| {
        let PartitionSpending { partition, term, spent_total, recent } = spending.clone();
        PartitionUsage { partition, term, spent_total, recent }
    };
    TenantUsage {
        tenant: report.tenant.clone(),
        held: report.held,
        wanted: report.wanted,
        spendings: report.spendings.iter().map(usage).collect(),
    }
}

/// Refuses a message for which its tenant has no token left.
fn refuse_over_quota(responder: Responder, retry_ms: u64) {
    let outcome = AcceptOutcome::OverQuota as i32;
    let retry_ms = retry_ms.min(u64::from(u32::MAX)) as u32;
    responder.send(Body::Accepted(Accepted { outcome, retry_ms, ..Accepted::default() }));
}
