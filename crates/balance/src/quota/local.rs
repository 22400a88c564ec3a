//! The quota tokens of one holder.

use super::ledger::{PartitionSpending, QuotaAnswer, QuotaReport};
use super::{QuotaParameters, WINDOW_SLICES};
use std::collections::{BTreeMap, HashMap, VecDeque};

/// A holder keeps tokens for this many seconds of its demand.
const TARGET_SUPPLY_S: f64 = 0.6;
/// The number of slices of the window over which the demand is measured.
const DEMAND_SLICES: u64 = 2;

/// The result of taking a token for a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaTake {
    /// A token was taken.
    Taken,
    /// The holder has no token and must request some from the ledger.
    Ask,
    /// The ledger had no tokens at the last request.
    Refused {
        /// The time until the ledger may have tokens again, in milliseconds.
        retry_ms: u64,
    },
}

/// Counts by slice of the window, the latest last.
#[derive(Default)]
struct SlicedCounts {
    counts: VecDeque<(u64, u32)>,
}

impl SlicedCounts {
    fn add(&mut self, slice: u64, count: u32) {
        let at = self.counts.partition_point(|(other, _)| *other < slice);
        match self.counts.get_mut(at) {
            Some((other, sum)) if *other == slice => *sum += count,
            _ => self.counts.insert(at, (slice, count)),
        }
    }

    /// Removes all counts before a slice.
    fn drop_before(&mut self, before: u64) {
        while self.counts.front().is_some_and(|(slice, _)| *slice < before) {
            self.counts.pop_front();
        }
    }

    /// The counts by age in slices.
    fn by_age(&self, now_slice: u64) -> Vec<u32> {
        let mut by_age = vec![0; WINDOW_SLICES as usize + 1];
        for (slice, count) in &self.counts {
            if let Some(sum) = by_age.get_mut(now_slice.saturating_sub(*slice) as usize) {
                *sum += count;
            }
        }
        by_age
    }

    fn since(&self, slice: u64) -> u32 {
        self.counts.iter().filter(|(other, _)| *other >= slice).map(|(_, count)| count).sum()
    }
}

/// The tokens spent on messages of one partition.
#[derive(Default)]
struct Spending {
    term: u64,
    /// Spent by this holder since the start of that term.
    total: u64,
    /// Spent in the last window, also by previous owners.
    spent: SlicedCounts,
    /// Whether the ledger knows what was spent in the last window.
    is_reported: bool,
    /// The total that the ledger acknowledged last.
    reported_total: u64,
}

#[derive(Default)]
struct TenantTokens {
    held: u32,
    spendings: BTreeMap<u32, Spending>,
    /// Tokens spent since the last report.
    spent_since_report: u32,
    demand: SlicedCounts,
    /// The number of messages that wait for a token.
    waiting: u32,
    /// Until this time, requests are refused as the ledger had no tokens.
    exhausted_until_ms: u64,
    /// Whether something has changed since the last report that was answered.
    is_dirty: bool,
}

impl TenantTokens {
    /// The spendings to report: of partitions with unreported changes, or of all.
    fn spendings_to_report(&self, report_all: bool, slice: u64) -> Vec<PartitionSpending> {
        let is_due =
            |spending: &&Spending| report_all || !spending.is_reported || spending.total != spending.reported_total;
        let due = self.spendings.iter().filter(|(_, spending)| is_due(spending));
        let reports = due.map(|(partition, spending)| PartitionSpending {
            partition: *partition,
            term: spending.term,
            spent_total: spending.total,
            recent: if report_all || !spending.is_reported { spending.spent.by_age(slice) } else { Vec::new() },
        });
        reports.collect()
    }
}

/// The tokens of a holder, by tenant. Times are in milliseconds of its monotonic clock.
pub struct LocalQuota {
    parameters: QuotaParameters,
    /// Until this time, held tokens may be spent.
    lease_until_ms: u64,
    /// Each tenant of which this holder has had a message.
    tenants: HashMap<String, TenantTokens>,
    /// By partition, the term at which this holder owns it or owned it last.
    partition_terms: HashMap<u32, u64>,
}

impl LocalQuota {
    /// A holder without tokens.
    pub fn new(parameters: QuotaParameters) -> LocalQuota {
        LocalQuota { parameters, lease_until_ms: 0, tenants: HashMap::new(), partition_terms: HashMap::new() }
    }

    fn slice(&self, now_ms: u64) -> u64 {
        now_ms / self.parameters.slice_ms()
    }

    /// Takes a token for one message of a tenant for a partition. `is_first` is false for a
    /// message that waited for a token before, as the demand includes it already.
    pub fn take(&mut self, tenant: &str, partition: u32, is_first: bool, now_ms: u64) -> QuotaTake {
        let slice = self.slice(now_ms);
        let is_leased = now_ms < self.lease_until_ms;
        if !self.tenants.contains_key(tenant) {
            self.tenants.insert(tenant.to_owned(), TenantTokens::default());
        }
        let Some(tokens) = self.tenants.get_mut(tenant) else { return QuotaTake::Ask };
        if is_first {
            tokens.demand.add(slice, 1);
        }
        if is_leased && tokens.held > 0 {
            tokens.held -= 1;
            tokens.spent_since_report += 1;
            let term = self.partition_terms.get(&partition).copied().unwrap_or(0);
            let new = || Spending { term, ..Spending::default() };
            let spending = tokens.spendings.entry(partition).or_insert_with(new);
            spending.total += 1;
            spending.spent.add(slice, 1);
            tokens.is_dirty = true;
            return QuotaTake::Taken;
        }
        if now_ms < tokens.exhausted_until_ms {
            return QuotaTake::Refused { retry_ms: tokens.exhausted_until_ms - now_ms };
        }
        tokens.waiting += 1;
        tokens.is_dirty = true;
        QuotaTake::Ask
    }

    /// Counts a message that waits for a token, whether or not tokens are held.
    pub fn add_waiting(&mut self, tenant: &str) {
        self.tenants.entry(tenant.to_owned()).or_default().waiting += 1;
    }

    /// Removes a message that no longer waits, after `QuotaTake::Ask` or [`Self::add_waiting`].
    pub fn remove_waiting(&mut self, tenant: &str) {
        if let Some(tokens) = self.tenants.get_mut(tenant) {
            tokens.waiting = tokens.waiting.saturating_sub(1);
        }
    }

    /// Records that this holder owns a partition from a term on. The messages accepted there in the
    /// last window are then counted with [`Self::count_accepted`].
    pub fn begin_partition(&mut self, partition: u32, term: u64) {
        for tokens in self.tenants.values_mut() {
            // The partition's log may not contain messages of the tenant any more; zero is reported
            // then.
            if let Some(spending) = tokens.spendings.get_mut(&partition) {
                *spending = Spending { term, ..Spending::default() };
                tokens.is_dirty = true;
            }
        }
        self.partition_terms.insert(partition, term);
    }

    /// Counts a message of a tenant that a partition accepted `age_ms` ago according to its log.
    pub fn count_accepted(&mut self, tenant: &str, partition: u32, age_ms: u64, now_ms: u64) {
        let slice = self.slice(now_ms.saturating_sub(age_ms));
        let term = self.partition_terms.get(&partition).copied().unwrap_or(0);
        let tokens = self.tenants.entry(tenant.to_owned()).or_default();
        let spending = tokens.spendings.entry(partition).or_insert_with(|| Spending { term, ..Spending::default() });
        spending.spent.add(slice, 1);
        tokens.is_dirty = true;
    }

    /// The reports to send to the ledger, with the number of tokens wanted. If `introduces` is set,
    /// they cover every tenant and all that was spent in the last window.
    pub fn reports(&mut self, introduces: bool, now_ms: u64) -> Vec<QuotaReport> {
        let slice = self.slice(now_ms);
        let (window_s, is_leased) = (self.parameters.window_ms as f64 / 1000.0, now_ms < self.lease_until_ms);
        let demand_s = window_s * DEMAND_SLICES as f64 / WINDOW_SLICES as f64;
        let mut reports = Vec::new();
        for (tenant, tokens) in &mut self.tenants {
            for spending in tokens.spendings.values_mut() {
                spending.spent.drop_before(slice.saturating_sub(WINDOW_SLICES));
            }
            tokens.demand.drop_before(slice.saturating_sub(DEMAND_SLICES));
            let demand_per_s = f64::from(tokens.demand.since((slice + 1).saturating_sub(DEMAND_SLICES))) / demand_s;
            let target = (demand_per_s * TARGET_SUPPLY_S).ceil() as u32;
            let surplus = if is_leased { tokens.held.saturating_sub(target * 2) } else { tokens.held };
            tokens.held -= surplus;
            let wanted = (target + tokens.waiting).saturating_sub(tokens.held);
            if !introduces && !tokens.is_dirty && surplus == 0 && wanted <= target / 2 {
                continue;
            }
            tokens.is_dirty = true;
            tokens.spent_since_report = 0;
            let (held, spendings) = (tokens.held, tokens.spendings_to_report(introduces, slice));
            reports.push(QuotaReport { tenant: tenant.clone(), held, wanted, spendings });
        }
        reports
    }

    /// Applies the answers to reports that were created at `asked_ms`.
    pub fn apply_answers(&mut self, reports: &[QuotaReport], answers: &[QuotaAnswer], asked_ms: u64, now_ms: u64) {
        self.lease_until_ms = self.lease_until_ms.max(asked_ms + self.parameters.lease_ms);
        for (report, answer) in reports.iter().zip(answers) {
            let Some(tokens) = self.tenants.get_mut(&report.tenant) else { continue };
            for reported in &report.spendings {
                let spending = tokens.spendings.get_mut(&reported.partition);
                let Some(spending) = spending.filter(|spending| spending.term == reported.term) else { continue };
                spending.is_reported = true;
                spending.reported_total = reported.spent_total;
            }
            tokens.is_dirty = tokens.spendings.values().any(|s| !s.is_reported || s.total != s.reported_total);
            // Tokens spent since the report count as the first of those that may be kept.
            tokens.held = answer.keep.saturating_sub(tokens.spent_since_report).min(tokens.held) + answer.granted;
            tokens.exhausted_until_ms = match answer.granted {
                0 if report.wanted > 0 => now_ms + u64::from(answer.retry_ms),
                _ => 0,
            };
        }
    }

    /// Whether any tenant has unreported changes, held tokens, or messages that wait for a token.
    pub fn has_pending_report(&self) -> bool {
        self.tenants.values().any(|tokens| tokens.is_dirty || tokens.held > 0 || tokens.waiting > 0)
    }
}
