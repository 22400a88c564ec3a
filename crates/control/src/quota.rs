//! Limits of tenants: a duty of the leader.
//!
//! The number of messages that the owners of all partitions together accept from a tenant in a
//! window is bounded. The leader grants them shares of it as tokens; the ledger fences off an owner
//! that is lost. A new leader grants nothing until the owner of every partition has reported what
//! was accepted there in the last window; the partition's log records that across owners.

use crate::service::{ControlService, ControlShared};
use balance::{PartitionSpending, QuotaLedger, QuotaLimit, QuotaParameters, QuotaReport};
use config::Settings;
use rpc::messages::{PartitionUsage, QuotaRequest, QuotaResponse, TenantGrant, TenantUsage};

/// The ledger of one leadership term.
#[derive(Default)]
pub(crate) struct QuotaLeases {
    term: u64,
    ledger: Option<QuotaLedger>,
}

impl QuotaLeases {
    /// The tokens that each tenant with a limit has held and spent in this leader's term, for the
    /// status.
    pub(crate) fn status(&self) -> serde_json::Value {
        let usage = self.ledger.iter().flat_map(QuotaLedger::usage);
        usage.map(|(tenant, held, spent)| serde_json::json!({"tenant": tenant, "held": held, "spent": spent})).collect()
    }
}

/// The terms of quotas in these settings; `None` if quotas are off.
pub(crate) fn quota_terms(settings: &Settings) -> Option<QuotaParameters> {
    let constraints = &settings.constraints;
    (constraints.quota_window_s > 0.0).then(|| QuotaParameters {
        window_ms: (constraints.quota_window_s * 1000.0) as u64,
        lease_ms: settings.quota_lease_ms(),
        overshoot: constraints.quota_overshoot,
        slack: constraints.quota_slack,
    })
}

fn report_of(usage: TenantUsage) -> QuotaReport {
    let spending = |usage: PartitionUsage| {
        let PartitionUsage { partition, term, spent_total, recent } = usage;
        PartitionSpending { partition, term, spent_total, recent }
    };
    let TenantUsage { tenant, held, wanted, spendings } = usage;
    QuotaReport { tenant, held, wanted, spendings: spendings.into_iter().map(spending).collect() }
}

impl ControlService {
    /// Takes an owner's report of spent tokens, and grants it shares.
    pub(crate) fn lease_quota(&self, request: QuotaRequest) -> QuotaResponse {
        let Some(terms) = quota_terms(&self.settings) else { return QuotaResponse::default() };
        let now = self.now();
        self.with(|shared| {
            if !shared.has_authority(now) || shared.later_incarnation(&request.node) > 0 {
                return QuotaResponse::default();
            }
            shared.answer_quota(request, terms, now)
        })
    }
}

impl ControlShared {
    fn answer_quota(&mut self, request: QuotaRequest, terms: QuotaParameters, now: u64) -> QuotaResponse {
        let configuration = self.read_configuration();
        let term = self.term();
        let leases = &mut self.quota_leases;
        if leases.term != term {
            *leases = QuotaLeases { term, ledger: None };
        }
        let ledger = leases.ledger.get_or_insert_with(|| QuotaLedger::new(terms, now));
        let (node, incarnation) = (request.node.name.as_str(), request.node.incarnation);
        if !ledger.receive(node, incarnation, request.sequence, request.is_full_report, now) {
            return QuotaResponse { needs_full_report: true, ..QuotaResponse::default() };
        }
        for holding in &request.counted {
            ledger.count_partition(holding.partition, holding.term);
        }
        let reports: Vec<QuotaReport> = request.usages.into_iter().map(report_of).collect();
        for report in &reports {
            ledger.report(node, incarnation, report, now);
        }
        if !ledger.is_settled(now) {
            let partitions = &self.control_state.assignments.partitions;
            if !partitions.is_empty() && partitions.iter().all(|p| ledger.counted_term(p.id) >= p.term) {
                ledger.settle();
            }
        }
        let mut grants = Vec::with_capacity(reports.len());
        for report in &reports {
            let limited_tenant = configuration.tenant_named(&report.tenant).filter(|tenant| tenant.flow_per_s > 0.0);
            let Some(tenant) = limited_tenant else {
                grants.push(TenantGrant::default());
                continue;
            };
            let limit = QuotaLimit { flow_per_s: tenant.flow_per_s, surge: tenant.surge };
            let answer = ledger.grant(node, incarnation, report, limit, now);
            grants.push(TenantGrant { granted: answer.granted, keep: answer.keep, retry_ms: answer.retry_ms });
            telemetry::add("quota_tokens_granted", u64::from(answer.granted));
            check_spending(ledger, &report.tenant, limit, now);
        }
        QuotaResponse { taken: true, needs_full_report: false, grants }
    }
}

/// Invariant: the tokens known to be spent by a tenant in a window do not exceed its bound.
fn check_spending(ledger: &QuotaLedger, tenant: &str, limit: QuotaLimit, now: u64) {
    let Some((spent, bound)) = ledger.spent(tenant, limit, now) else { return };
    telemetry::check_invariant(
        "invariant_quota_overspent",
        spent.saturating_sub(bound),
        format_args!("tenant {tenant}: {spent} tokens spent in a window, {bound} allowed"),
    );
}
