//! The ledger of the one node that grants tokens.

use super::{QuotaLimit, QuotaParameters};
use std::collections::{HashMap, VecDeque};

/// By how much longer the ledger takes a lease to last than its holder does.
const MARGIN: f64 = 1.25;
/// The part of what is free that one request gets at the most: others ask as well.
const GRANTED_PART: u64 = 4;
/// When a holder that got nothing asks again, as a part of the window.
const RETRY_PART: u64 = 50;

/// How often what is over is looked for, in a part of the window.
const EXPIRIES_IN_A_PART: u64 = 5;

/// A node and its incarnation.
type Holder = (String, u64);

/// What a holder tells of one tenant.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QuotaReport {
    /// The tenant's name.
    pub tenant: String,
    /// Tokens that it holds.
    pub held: u32,
    /// Tokens that it would like to have besides.
    pub wanted: u32,
    /// What it has spent, partition by partition.
    pub spendings: Vec<PartitionSpending>,
}

/// Tokens that were spent on messages of one partition.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PartitionSpending {
    /// The partition's number.
    pub partition: u32,
    /// The owner's term.
    pub term: u64,
    /// Tokens that the holder has spent since it began with that term.
    pub spent_total: u64,
    /// Not empty: all that was spent in the last window, by former owners too, in parts by age.
    pub recent: Vec<u32>,
}

/// What a holder is answered of one tenant.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QuotaAnswer {
    /// Tokens that it may add to what it holds.
    pub granted: u32,
    /// How many of those that it held it may keep.
    pub keep: u32,
    /// Where it got fewer than it wanted: after how many milliseconds it may ask again.
    pub retry_ms: u32,
}

/// What one holder may be spending of one tenant's tokens.
#[derive(Default)]
struct Share {
    outstanding: u64,
    /// By partition, what it said that it has spent.
    totals: HashMap<u32, u64>,
}

/// What is known of a holder.
struct HolderState {
    sequence: u64,
    until_ms: u64,
}

/// Tokens that count until a time; of no partition where it is not known that they were spent.
struct Spent {
    until_ms: u64,
    tokens: u64,
    partition: Option<u32>,
}

#[derive(Default)]
struct Account {
    shares: HashMap<Holder, Share>,
    /// Tokens that were spent, or may have been, in the order in which they cease to count.
    spent: VecDeque<Spent>,
    spent_sum: u64,
    /// Until when more may be spent than the limit in force says, as it was higher.
    lowered_until_ms: u64,
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

    fn forget_spent(&mut self, now_ms: u64) {
        while let Some(spent) = self.spent.pop_front_if(|spent| spent.until_ms <= now_ms) {
            self.spent_sum -= spent.tokens;
        }
    }

    fn forget_partition(&mut self, partition: u32) {
        self.spent.retain(|spent| spent.partition != Some(partition));
        self.spent_sum = self.spent.iter().map(|spent| spent.tokens).sum();
    }

    /// Takes what a holder says that it spent on messages of a partition.
    fn spend(&mut self, holder: &Holder, spending: &PartitionSpending, terms: &QuotaParameters, now_ms: u64) {
        let (window_ms, slice_ms) = (terms.window_ms, terms.slice_ms());
        let (partition, total) = (spending.partition, spending.spent_total);
        let share = self.shares.entry(holder.clone()).or_default();
        let former = share.totals.insert(partition, total).unwrap_or(0);
        if spending.recent.is_empty() {
            self.count_spent(total.saturating_sub(former), now_ms + window_ms, Some(partition));
            return;
        }
        self.forget_partition(partition);
        for (tokens, part) in spending.recent.iter().zip(0u64..) {
            // What is in the part before now's may be as young as nothing.
            let age_ms = part.saturating_sub(1) * slice_ms;
            if age_ms < window_ms {
                self.count_spent(u64::from(*tokens), now_ms + window_ms - age_ms, Some(partition));
            }
        }
    }

    fn total(&self) -> u64 {
        self.spent_sum + self.shares.values().map(|share| share.outstanding).sum::<u64>()
    }
}

/// Who holds which tokens, and what was spent. Times are in milliseconds of the steady clock of
/// the node that keeps it.
pub struct QuotaLedger {
    terms: QuotaParameters,
    /// From then on everything that a former ledger granted is over, and counts no more.
    opens_at_ms: u64,
    is_settled: bool,
    expired_at_ms: u64,
    holders: HashMap<Holder, HolderState>,
    accounts: HashMap<String, Account>,
    /// By partition, the highest term of an owner that has told what was spent there.
    partition_terms: HashMap<u32, u64>,
}

impl QuotaLedger {
    /// A ledger that begins at `now_ms`. Until it is settled it grants nothing.
    pub fn new(terms: QuotaParameters, now_ms: u64) -> QuotaLedger {
        let opens_at_ms = now_ms + terms.window_ms + fence_ms(&terms);
        QuotaLedger {
            terms,
            opens_at_ms,
            is_settled: false,
            expired_at_ms: 0,
            holders: HashMap::new(),
            accounts: HashMap::new(),
            partition_terms: HashMap::new(),
        }
    }

    /// Says that all that was spent in the last window is known, as every holder that may have
    /// spent any has introduced itself.
    pub fn settle(&mut self) {
        self.is_settled = true;
    }

    /// Whether it grants: it knows all that was spent, or all of that is over.
    pub fn is_settled(&self, now_ms: u64) -> bool {
        self.is_settled || now_ms >= self.opens_at_ms
    }

    /// A holder's request: false if it is to introduce itself, with what it spent in the last
    /// window of every tenant, or if a later one of its requests came before.
    pub fn receive(&mut self, node: &str, incarnation: u64, sequence: u64, introduces: bool, now_ms: u64) -> bool {
        if now_ms >= self.expired_at_ms + self.terms.slice_ms() / EXPIRIES_IN_A_PART {
            self.expired_at_ms = now_ms;
            self.expire(now_ms);
        }
        let holder = (node.to_owned(), incarnation);
        let until_ms = now_ms + fence_ms(&self.terms);
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

    /// The owner of a partition at a term tells all that was spent there in the last window,
    /// with the reports that follow: it takes the place of what former owners told.
    pub fn count_partition(&mut self, partition: u32, term: u64) {
        let known = self.partition_terms.entry(partition).or_insert(0);
        if term > *known {
            *known = term;
            self.accounts.values_mut().for_each(|account| account.forget_partition(partition));
        }
    }

    /// The highest term at which an owner told what was spent on a partition; 0: none did.
    pub fn counted_term(&self, partition: u32) -> u64 {
        self.partition_terms.get(&partition).copied().unwrap_or(0)
    }

    /// Takes what a holder that was heard reports of a tenant. What it spent at a former term of
    /// a partition stands in the log of that partition, which a later owner has told, or was
    /// never accepted.
    pub fn report(&mut self, node: &str, incarnation: u64, report: &QuotaReport, now_ms: u64) {
        let holder = (node.to_owned(), incarnation);
        let account = self.accounts.entry(report.tenant.clone()).or_default();
        for spending in &report.spendings {
            if self.partition_terms.get(&spending.partition).is_none_or(|term| spending.term >= *term) {
                account.spend(&holder, spending, &self.terms, now_ms);
            }
        }
        account.shares.entry(holder).or_default().outstanding = u64::from(report.held);
    }

    /// Grants a holder that was heard tokens of a tenant, after its report.
    pub fn grant(
        &mut self,
        node: &str,
        incarnation: u64,
        report: &QuotaReport,
        limit: QuotaLimit,
        now_ms: u64,
    ) -> QuotaAnswer {
        let is_settled = self.is_settled(now_ms);
        let capacity = self.terms.capacity(limit);
        let retry_ms = (self.terms.window_ms / RETRY_PART) as u32;
        let Some(account) = self.accounts.get_mut(&report.tenant) else { return QuotaAnswer::default() };
        if capacity < account.capacity {
            account.lowered_until_ms = now_ms + self.terms.window_ms + fence_ms(&self.terms);
        }
        account.capacity = capacity;
        let total = account.total();
        let free = capacity.saturating_sub(total);
        let keep = u64::from(report.held).saturating_sub(total.saturating_sub(capacity)) as u32;
        if !is_settled {
            return QuotaAnswer { granted: 0, keep, retry_ms };
        }
        let granted = u64::from(report.wanted).min((free / GRANTED_PART).max(1)).min(free);
        if let Some(share) = account.shares.get_mut(&(node.to_owned(), incarnation)) {
            share.outstanding += granted;
        }
        let granted = granted as u32;
        QuotaAnswer { granted, keep, retry_ms: if granted < report.wanted { retry_ms } else { 0 } }
    }

    /// Tokens of a tenant that are known to be spent in the last window, and the bound on them;
    /// `None` while a higher limit may still show.
    pub fn spent(&self, tenant: &str, limit: QuotaLimit, now_ms: u64) -> Option<(u64, u64)> {
        let account = self.accounts.get(tenant).filter(|account| account.lowered_until_ms <= now_ms)?;
        let known = account.spent.iter().filter(|spent| spent.partition.is_some());
        // What is told by age counts for up to two parts longer than it should.
        let window_ms = self.terms.window_ms + 2 * self.terms.slice_ms();
        let bound = QuotaParameters { window_ms, ..self.terms }.bound(limit);
        Some((known.map(|spent| spent.tokens).sum(), bound))
    }

    /// By tenant, in order of name: tokens that are held, and that count as spent.
    pub fn usage(&self) -> Vec<(&str, u64, u64)> {
        let held = |account: &Account| account.total() - account.spent_sum;
        let accounts = self.accounts.iter();
        let mut all: Vec<(&str, u64, u64)> =
            accounts.map(|(tenant, account)| (tenant.as_str(), held(account), account.spent_sum)).collect();
        all.sort_unstable();
        all
    }

    /// Counts what is held by holders whose lease is over as spent at its end, and forgets what
    /// counts no more.
    fn expire(&mut self, now_ms: u64) {
        let window_ms = self.terms.window_ms;
        let ended: Vec<(Holder, u64)> = self
            .holders
            .iter()
            .filter(|(_, state)| state.until_ms <= now_ms)
            .map(|(holder, state)| (holder.clone(), state.until_ms))
            .collect();
        for (holder, until_ms) in ended {
            self.holders.remove(&holder);
            for account in self.accounts.values_mut() {
                if let Some(share) = account.shares.remove(&holder) {
                    account.count_spent(share.outstanding, until_ms + window_ms, None);
                }
            }
        }
        for account in self.accounts.values_mut() {
            account.forget_spent(now_ms);
        }
        self.accounts.retain(|_, account| !account.shares.is_empty() || account.spent_sum > 0);
    }
}

/// How long what is held may be spent after the ledger answered, in milliseconds.
fn fence_ms(terms: &QuotaParameters) -> u64 {
    (terms.lease_ms as f64 * MARGIN).ceil() as u64
}
