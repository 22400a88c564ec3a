//! The quota ledger of the node that grants tokens.

use super::{QuotaLimit, QuotaParameters};
use std::collections::{HashMap, VecDeque};

/// The ratio of the lease duration at the ledger to that at the holder, so that a holder whose
/// clock is slow has stopped spending before its lease expires at the ledger.
const LEASE_MARGIN: f64 = 1.25;
/// A request is granted at most the free tokens divided by this, to leave some for other holders.
const GRANT_DIVISOR: u64 = 4;
/// The window divided by this is the retry delay of a holder that was granted less than it wanted.
const RETRY_DIVISOR: u64 = 50;
/// The number of sweeps for expired leases and tokens per slice of the window.
const SWEEPS_PER_SLICE: u64 = 5;

/// A node and its incarnation.
type Holder = (String, u64);

/// A holder's report on one tenant.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QuotaReport {
    /// The tenant's name.
    pub tenant: String,
    /// The number of tokens that it holds.
    pub held: u32,
    /// The number of tokens that it requests in addition.
    pub wanted: u32,
    /// The tokens that it has spent, by partition.
    pub spendings: Vec<PartitionSpending>,
}

/// Tokens that were spent on messages of one partition.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PartitionSpending {
    /// The partition's number.
    pub partition: u32,
    /// The owner's term.
    pub term: u64,
    /// The number of tokens that the holder has spent since the start of that term.
    pub spent_total: u64,
    /// If not empty, all tokens that were spent in the last window, also by previous owners, by
    /// slice of age.
    pub recent: Vec<u32>,
}

/// The ledger's answer to a report on one tenant.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QuotaAnswer {
    /// The number of new tokens.
    pub granted: u32,
    /// The number of tokens that the holder may keep of those that it reported as held.
    pub keep: u32,
    /// If fewer tokens were granted than wanted, the delay before the next request, in
    /// milliseconds.
    pub retry_ms: u32,
}

/// The tokens of one tenant that one holder may be spending.
#[derive(Default)]
struct HolderTokens {
    outstanding: u64,
    /// By partition, the spent total that it reported last.
    totals: HashMap<u32, u64>,
}

/// The state of a holder.
struct HolderState {
    sequence: u64,
    until_ms: u64,
}

/// Tokens that count as spent until a time. `partition` is `None` if it is not known whether they
/// were spent.
struct Spent {
    until_ms: u64,
    tokens: u64,
    partition: Option<u32>,
}

#[derive(Default)]
struct Account {
    tokens_by_holder: HashMap<Holder, HolderTokens>,
    /// Tokens that were or may have been spent, in the order of their expiry.
    spent: VecDeque<Spent>,
    spent_sum: u64,
    /// Until this time, tokens granted under a previous, higher limit may still count.
    lowered_limit_until_ms: u64,
    capacity: u64,
}

impl Account {
    fn count_spent(&mut self, tokens: u64, until_ms: u64, partition: Option<u32>) {
        if tokens == 0 {
            return;
        }
        self.spent_sum += tokens;
        let at = self.spent.partition_point(|spent| spent.until_ms <= until_ms);
        self.spent.insert(at, Spent { until_ms, tokens, partition });
    }

    fn drop_expired(&mut self, now_ms: u64) {
        while let Some(spent) = self.spent.pop_front_if(|spent| spent.until_ms <= now_ms) {
            self.spent_sum -= spent.tokens;
        }
    }

    fn remove_partition(&mut self, partition: u32) {
        self.spent.retain(|spent| spent.partition != Some(partition));
        self.spent_sum = self.spent.iter().map(|spent| spent.tokens).sum();
    }

    /// Counts the tokens that a holder reports as spent on messages of a partition.
    fn spend(&mut self, holder: &Holder, spending: &PartitionSpending, parameters: &QuotaParameters, now_ms: u64) {
        let (window_ms, slice_ms) = (parameters.window_ms, parameters.slice_ms());
        let (partition, total) = (spending.partition, spending.spent_total);
        let holder_tokens = self.tokens_by_holder.entry(holder.clone()).or_default();
        let previous = holder_tokens.totals.insert(partition, total).unwrap_or(0);
        if spending.recent.is_empty() {
            self.count_spent(total.saturating_sub(previous), now_ms + window_ms, Some(partition));
            return;
        }
        self.remove_partition(partition);
        for (tokens, slice) in spending.recent.iter().zip(0u64..) {
            // Tokens of the slice before the current one may have an age close to zero.
            let age_ms = slice.saturating_sub(1) * slice_ms;
            if age_ms < window_ms {
                self.count_spent(u64::from(*tokens), now_ms + window_ms - age_ms, Some(partition));
            }
        }
    }

    fn total(&self) -> u64 {
        self.spent_sum + self.tokens_by_holder.values().map(|holder_tokens| holder_tokens.outstanding).sum::<u64>()
    }
}

/// The tokens that are held and were spent, by tenant. Times are in milliseconds of the monotonic
/// clock of the node that keeps the ledger.
pub struct QuotaLedger {
    parameters: QuotaParameters,
    /// From this time on, tokens that a previous ledger granted do not count any more.
    grants_from_ms: u64,
    is_settled: bool,
    swept_at_ms: u64,
    holders: HashMap<Holder, HolderState>,
    accounts: HashMap<String, Account>,
    /// By partition, the highest term of an owner that reported the tokens spent there.
    partition_terms: HashMap<u32, u64>,
}

impl QuotaLedger {
    /// A ledger that begins at `now_ms`. It grants nothing until it is settled.
    pub fn new(parameters: QuotaParameters, now_ms: u64) -> QuotaLedger {
        let grants_from_ms = now_ms + parameters.window_ms + lease_fence_ms(&parameters);
        QuotaLedger {
            parameters,
            grants_from_ms,
            is_settled: false,
            swept_at_ms: 0,
            holders: HashMap::new(),
            accounts: HashMap::new(),
            partition_terms: HashMap::new(),
        }
    }

    /// Marks the ledger as settled: all tokens that were spent in the last window are known, as
    /// every holder that may have spent any has introduced itself.
    pub fn settle(&mut self) {
        self.is_settled = true;
    }

    /// Whether it grants tokens: those spent under previous ledgers are known or have expired.
    pub fn is_settled(&self, now_ms: u64) -> bool {
        self.is_settled || now_ms >= self.grants_from_ms
    }

    /// Registers a holder's request and renews its lease. Returns false if the holder must
    /// introduce itself with what it spent in the last window for every tenant, or if a later
    /// request of it was received before.
    pub fn receive(&mut self, node: &str, incarnation: u64, sequence: u64, introduces: bool, now_ms: u64) -> bool {
        if now_ms >= self.swept_at_ms + self.parameters.slice_ms() / SWEEPS_PER_SLICE {
            self.swept_at_ms = now_ms;
            self.sweep(now_ms);
        }
        let holder = (node.to_owned(), incarnation);
        let until_ms = now_ms + lease_fence_ms(&self.parameters);
        match self.holders.get_mut(&holder) {
            Some(state) if sequence <= state.sequence => false,
            Some(state) => {
                *state = HolderState { sequence, until_ms };
                true
            }
            None if !introduces => false,
            None => {
                self.holders.insert(holder, HolderState { sequence, until_ms });
                true
            }
        }
    }

    /// Records that the reports that follow contain all tokens spent on a partition in the last
    /// window, by its owner at a term. They replace the reports of previous owners.
    pub fn count_partition(&mut self, partition: u32, term: u64) {
        let known = self.partition_terms.entry(partition).or_insert(0);
        if term > *known {
            *known = term;
            self.accounts.values_mut().for_each(|account| account.remove_partition(partition));
        }
    }

    /// The highest term at which an owner reported the tokens spent on a partition; 0 if none did.
    pub fn counted_term(&self, partition: u32) -> u64 {
        self.partition_terms.get(&partition).copied().unwrap_or(0)
    }

    /// Applies a report on a tenant from a holder whose request was received. Tokens spent at an
    /// older term of a partition are ignored: their messages are in the partition's log and thus
    /// in the report of a later owner, or were never accepted.
    pub fn report(&mut self, node: &str, incarnation: u64, report: &QuotaReport, now_ms: u64) {
        let holder = (node.to_owned(), incarnation);
        let account = self.accounts.entry(report.tenant.clone()).or_default();
        for spending in &report.spendings {
            if self.partition_terms.get(&spending.partition).is_none_or(|term| spending.term >= *term) {
                account.spend(&holder, spending, &self.parameters, now_ms);
            }
        }
        account.tokens_by_holder.entry(holder).or_default().outstanding = u64::from(report.held);
    }

    /// Grants tokens of a tenant to a holder whose request was received, after its report.
    pub fn grant(
        &mut self,
        node: &str,
        incarnation: u64,
        report: &QuotaReport,
        limit: QuotaLimit,
        now_ms: u64,
    ) -> QuotaAnswer {
        let is_settled = self.is_settled(now_ms);
        let capacity = self.parameters.capacity(limit);
        let retry_ms = (self.parameters.window_ms / RETRY_DIVISOR) as u32;
        let Some(account) = self.accounts.get_mut(&report.tenant) else { return QuotaAnswer::default() };
        if capacity < account.capacity {
            account.lowered_limit_until_ms = now_ms + self.parameters.window_ms + lease_fence_ms(&self.parameters);
        }
        account.capacity = capacity;
        let total = account.total();
        let free = capacity.saturating_sub(total);
        let keep = u64::from(report.held).saturating_sub(total.saturating_sub(capacity)) as u32;
        if !is_settled {
            return QuotaAnswer { granted: 0, keep, retry_ms };
        }
        let granted = u64::from(report.wanted).min((free / GRANT_DIVISOR).max(1)).min(free);
        if let Some(holder_tokens) = account.tokens_by_holder.get_mut(&(node.to_owned(), incarnation)) {
            holder_tokens.outstanding += granted;
        }
        let granted = granted as u32;
        QuotaAnswer { granted, keep, retry_ms: if granted < report.wanted { retry_ms } else { 0 } }
    }

    /// The number of a tenant's tokens known to be spent in the last window, and the bound on it;
    /// `None` while tokens granted under a higher limit may still count.
    pub fn spent(&self, tenant: &str, limit: QuotaLimit, now_ms: u64) -> Option<(u64, u64)> {
        let account = self.accounts.get(tenant).filter(|account| account.lowered_limit_until_ms <= now_ms)?;
        let known = account.spent.iter().filter(|spent| spent.partition.is_some());
        // Tokens that were reported by age count for up to two slices longer than the window.
        let window_ms = self.parameters.window_ms + 2 * self.parameters.slice_ms();
        let bound = QuotaParameters { window_ms, ..self.parameters }.bound(limit);
        Some((known.map(|spent| spent.tokens).sum(), bound))
    }

    /// The tenants in order of name, each with the tokens that are held and that count as spent.
    pub fn usage(&self) -> Vec<(&str, u64, u64)> {
        let held = |account: &Account| account.total() - account.spent_sum;
        let accounts = self.accounts.iter();
        let mut all: Vec<(&str, u64, u64)> =
            accounts.map(|(tenant, account)| (tenant.as_str(), held(account), account.spent_sum)).collect();
        all.sort_unstable();
        all
    }

    /// Counts the tokens of holders whose lease has expired as spent at its end, and removes
    /// expired tokens.
    fn sweep(&mut self, now_ms: u64) {
        let window_ms = self.parameters.window_ms;
        let ended: Vec<(Holder, u64)> = self
            .holders
            .iter()
            .filter(|(_, state)| state.until_ms <= now_ms)
            .map(|(holder, state)| (holder.clone(), state.until_ms))
            .collect();
        for (holder, until_ms) in ended {
            self.holders.remove(&holder);
            for account in self.accounts.values_mut() {
                if let Some(holder_tokens) = account.tokens_by_holder.remove(&holder) {
                    account.count_spent(holder_tokens.outstanding, until_ms + window_ms, None);
                }
            }
        }
        for account in self.accounts.values_mut() {
            account.drop_expired(now_ms);
        }
        self.accounts.retain(|_, account| !account.tokens_by_holder.is_empty() || account.spent_sum > 0);
    }
}

/// How long tokens may be spent after the ledger answered, in milliseconds.
fn lease_fence_ms(parameters: &QuotaParameters) -> u64 {
    (parameters.lease_ms as f64 * LEASE_MARGIN).ceil() as u64
}
