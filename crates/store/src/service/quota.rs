//! Limits of tenants: an accepted message takes one token of its tenant's, which the leader
//! grants to the owners of partitions; a message that finds none waits for an answer of the
//! leader, for a short while.

use super::*;
use balance::{PartitionSpending, QuotaAnswer, QuotaReport, QuotaStock, QuotaTake, QuotaTerms};

/// The part of `quietMs` after which shares are asked for and told at the latest.
const PERIOD_PART: f64 = 40.0;
/// The part of `quietMs` that a message waits for a token at the most.
const PATIENCE_PART: f64 = 50.0;
/// The part of `quietMs` that lies between two requests at the least.
const PAUSE_PART: f64 = 1200.0;
/// When a client may try again that was refused as nobody answered, in milliseconds.
const RETRY_MS: u64 = 1000;

/// A message that waits for a token.
struct WaitingAccept {
    accept: Accept,
    responder: Responder,
    until_ms: u64,
}

/// What this owner holds of tenants' limits.
pub(super) struct QuotaState {
    stock: QuotaStock,
    waiting: Vec<WaitingAccept>,
    sequence: u64,
    introduces: bool,
    /// The leader that was asked last, and when.
    asked: (String, u64),
    /// A partition was counted, or a request was not answered, since the last answer.
    is_owed: bool,
    /// By partition, the term at which its log was looked through for accepted messages.
    counted: HashMap<u32, u64>,
}

/// How quotas are counted by these settings; `None` where they are not.
pub(super) fn quota_state(settings: &Settings) -> Option<QuotaState> {
    let constraints = &settings.constraints;
    (constraints.quota_window_s > 0.0).then(|| QuotaState {
        stock: QuotaStock::new(QuotaTerms {
            window_ms: (constraints.quota_window_s * 1000.0) as u64,
            lease_ms: settings.quota_lease_ms(),
            overshoot: constraints.quota_overshoot,
            slack: constraints.quota_slack,
        }),
        waiting: Vec::new(),
        sequence: 0,
        introduces: true,
        asked: (String::new(), 0),
        is_owed: true,
        counted: HashMap::new(),
    })
}

impl StoreService {
    /// Whether a message may be taken by its tenant's limit. One that has to wait for that is
    /// kept, and one that is refused is answered; both are gone from the caller.
    pub(super) fn admit_by_quota(
        &self,
        i: &mut StoreState,
        accept: Accept,
        responder: Responder,
        waited_until_ms: Option<u64>,
    ) -> Option<(Accept, Responder)> {
        let tenant = &accept.item.tenant;
        if tenant.is_empty() || !self.session.with_known(|known| known.configuration.has_limit(tenant)) {
            return Some((accept, responder));
        }
        self.count_taken_over(i);
        let Some(quota) = &mut i.quota else { return Some((accept, responder)) };
        let now = self.now();
        let take = match quota.counted.contains_key(&accept.partition) {
            true => quota.stock.take(tenant, accept.partition, waited_until_ms.is_none(), now),
            // What was accepted before is not known yet.
            false => {
                quota.stock.wait(tenant);
                QuotaTake::Ask
            }
        };
        match take {
            QuotaTake::Taken => Some((accept, responder)),
            QuotaTake::Ask => {
                let until_ms = waited_until_ms.unwrap_or(now + self.ratio(PATIENCE_PART));
                if now >= until_ms {
                    quota.stock.give_up(tenant);
                    telemetry::count("quota_unanswered");
                    refuse(responder, RETRY_MS);
                    return None;
                }
                quota.waiting.push(WaitingAccept { accept, responder, until_ms });
                self.quota_wanted.notify_one();
                None
            }
            QuotaTake::Refused { retry_ms } => {
                telemetry::count("quota_refused");
                refuse(responder, retry_ms);
                None
            }
        }
    }

    /// Keeps the shares while any tenant with a limit sends; asks nothing else.
    pub(super) async fn keep_quota_leases(self: Arc<Self>) {
        let period = Duration::from_millis(self.ratio(PERIOD_PART).max(1));
        let pause = Duration::from_millis(self.ratio(PAUSE_PART).max(1));
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

    /// What to ask a leader, if there is anything to ask or tell it. One that knows this owner
    /// hears from it within a lease.
    fn quota_request(&self, leader: &str) -> Option<(QuotaRequest, Vec<QuotaReport>)> {
        let has_limits = |known: &agent::ClusterView| known.configuration.has_limits();
        if leader.is_empty() || !self.session.with_known(has_limits) {
            return None;
        }
        let now = self.now();
        let mut guard = self.shared.lock().unwrap();
        let i = &mut *guard;
        self.count_taken_over(i);
        let quota = i.quota.as_mut()?;
        let (asked, asked_ms) = &quota.asked;
        let is_due = asked != leader || now >= asked_ms + self.settings.quota_lease_ms() / 2;
        if !is_due && !quota.is_owed && !quota.stock.has_news() {
            return None;
        }
        quota.introduces |= asked != leader;
        quota.asked = (leader.to_owned(), now);
        quota.is_owed = true;
        quota.sequence += 1;
        let reports = quota.stock.reports(quota.introduces, now);
        let counted = quota.counted.iter().map(|(partition, term)| Holding { partition: *partition, term: *term });
        let request = QuotaRequest {
            node: self.session.me(),
            sequence: quota.sequence,
            introduces: quota.introduces,
            usages: reports.iter().map(usage_of).collect(),
            counted: counted.collect(),
        };
        Some((request, reports))
    }

    async fn ask_quota(&self, leader: &str, request: QuotaRequest, reports: &[QuotaReport], wait: Duration) {
        let asked_ms = self.now();
        let incarnation = request.node.incarnation;
        let answer = self.rpc_clients.to(leader).call(Body::QuotaRequest(request), wait).await;
        let mut i = self.shared.lock().unwrap();
        let Some(quota) = i.quota.as_mut() else { return };
        match answer {
            Ok(Body::QuotaResponse(response)) if response.taken && self.session.me().incarnation == incarnation => {
                (quota.introduces, quota.is_owed) = (false, false);
                let answer = |grant: &TenantGrant| QuotaAnswer {
                    granted: grant.granted,
                    keep: grant.keep,
                    retry_ms: grant.retry_ms,
                };
                let answers: Vec<QuotaAnswer> = response.grants.iter().map(answer).collect();
                quota.stock.answered(reports, &answers, asked_ms, self.now());
            }
            Ok(Body::QuotaResponse(response)) if response.introduce => quota.introduces = true,
            _ => telemetry::count("quota_requests_missed"),
        }
    }

    /// Looks again at the messages that wait for a token.
    fn resume_waiting(self: &Arc<Self>) {
        let mut guard = self.shared.lock().unwrap();
        let i = &mut *guard;
        let Some(quota) = i.quota.as_mut() else { return };
        let waiting = std::mem::take(&mut quota.waiting);
        for waiting in &waiting {
            quota.stock.give_up(&waiting.accept.item.tenant);
        }
        for WaitingAccept { accept, responder, until_ms } in waiting {
            self.accept(i, accept, responder, Some(until_ms));
        }
    }

    /// Counts what was accepted in the last window by partitions that were taken over since.
    fn count_taken_over(&self, i: &mut StoreState) {
        let window_ms = (self.settings.constraints.quota_window_s * 1000.0) as u64;
        let now = self.now();
        let Some(quota) = i.quota.as_mut() else { return };
        let owns = |partition: &u32, term: u64| {
            i.replicas.get(partition).is_some_and(|replica| replica.role == ReplicaRole::Owner && replica.term == term)
        };
        quota.counted.retain(|partition, term| owns(partition, *term));
        for replica in i.replicas.values() {
            let is_known = replica.role == ReplicaRole::Owner && replica.caught_up();
            if !is_known || quota.counted.contains_key(&replica.id) {
                continue;
            }
            let Some(time) = replica.time(now) else { continue };
            quota.counted.insert(replica.id, replica.term);
            quota.is_owed = true;
            quota.stock.begin_partition(replica.id, replica.term);
            let is_recent = |message: &&partition::Message| message.at_ms + window_ms > time;
            for message in replica.state.pieces.values().rev().take_while(is_recent) {
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

/// Refuses a message whose tenant has no more of its limit.
fn refuse(responder: Responder, retry_ms: u64) {
    let outcome = AcceptOutcome::OverQuota as i32;
    let retry_ms = retry_ms.min(u64::from(u32::MAX)) as u32;
    responder.send(Body::Accepted(Accepted { outcome, retry_ms, ..Accepted::default() }));
}
