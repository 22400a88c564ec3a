//! The tokens of one holder.

use super::ledger::{PartitionSpending, QuotaAnswer, QuotaReport};
use super::{QuotaParameters, WINDOW_SLICES};
use std::collections::{BTreeMap, HashMap, VecDeque};

/// For how much of the demand a holder keeps tokens, in seconds.
const STOCK_S: f64 = 0.6;
/// Over how long the demand is measured, in parts of the window.
const DEMAND_PARTS: u64 = 2;

/// What became of a message that wants a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaTake {
    /// It has one.
    Taken,
    /// There is none here: the ledger is to be asked.
    Ask,
    /// The ledger had none a moment ago: after so many milliseconds it may have.
    Refused {
        /// Milliseconds.
        retry_ms: u64,
    },
}

/// Counts by part of the window, the latest last.
#[derive(Default)]
struct Parts {
    counts: VecDeque<(u64, u32)>,
}

impl Parts {
    fn add(&mut self, part: u64, count: u32) {
        let at = self.counts.partition_point(|(other, _)| *other < part);
        match self.counts.get_mut(at) {
            Some((other, sum)) if *other == part => *sum += count,
            _ => self.counts.insert(at, (part, count)),
        }
    }

    /// Forgets all before a part.
    fn forget(&mut self, before: u64) {
        while self.counts.front().is_some_and(|(part, _)| *part < before) {
            self.counts.pop_front();
        }
    }

    /// What it has by age, in parts.
    fn by_age(&self, now_part: u64) -> Vec<u32> {
        let mut by_age = vec![0; WINDOW_SLICES as usize + 1];
        for (part, count) in &self.counts {
            if let Some(sum) = by_age.get_mut(now_part.saturating_sub(*part) as usize) {
                *sum += count;
            }
        }
        by_age
    }

    fn since(&self, part: u64) -> u32 {
        self.counts.iter().filter(|(other, _)| *other >= part).map(|(_, count)| count).sum()
    }
}

/// What was spent on messages of one partition.
#[derive(Default)]
struct Spending {
    term: u64,
    /// By this holder since it began with that term.
    total: u64,
    /// In the last window, by former owners too.
    spent: Parts,
    /// The ledger knows what was spent in the last window.
    is_told: bool,
    /// The total that was told last.
    told_total: u64,
}

#[derive(Default)]
struct Stock {
    held: u32,
    spendings: BTreeMap<u32, Spending>,
    /// Tokens spent since the last report.
    spent_since_report: u32,
    demand: Parts,
    /// Messages that wait for a token.
    missing: u32,
    /// Until then the ledger has none.
    dry_until_ms: u64,
    /// Something has changed since the last report that was answered.
    is_news: bool,
}

impl Stock {
    /// What to tell of the partitions of which there is news, or of all.
    fn told(&self, tells_all: bool, part: u64) -> Vec<PartitionSpending> {
        let is_news = |spending: &&Spending| tells_all || !spending.is_told || spending.total != spending.told_total;
        let told = self.spendings.iter().filter(|(_, spending)| is_news(spending));
        let told = told.map(|(partition, spending)| PartitionSpending {
            partition: *partition,
            term: spending.term,
            spent_total: spending.total,
            recent: if tells_all || !spending.is_told { spending.spent.by_age(part) } else { Vec::new() },
        });
        told.collect()
    }
}

/// What a holder may spend, tenant by tenant. Times are in milliseconds of its steady clock.
pub struct LocalQuota {
    terms: QuotaParameters,
    /// Until when what is held may be spent.
    until_ms: u64,
    /// One for each tenant that it has had a message of.
    stocks: HashMap<String, Stock>,
    /// By partition, the term at which this holder owns it, or owned it last.
    terms_of_partitions: HashMap<u32, u64>,
}

impl LocalQuota {
    /// A holder that holds nothing.
    pub fn new(terms: QuotaParameters) -> LocalQuota {
        LocalQuota { terms, until_ms: 0, stocks: HashMap::new(), terms_of_partitions: HashMap::new() }
    }

    fn part(&self, now_ms: u64) -> u64 {
        now_ms / self.terms.slice_ms()
    }

    /// Takes a token for one message of a tenant for a partition. `is_first`: it was not told to ask before,
    /// and so is not counted as demand yet.
    pub fn take(&mut self, tenant: &str, partition: u32, is_first: bool, now_ms: u64) -> QuotaTake {
        let part = self.part(now_ms);
        let is_leased = now_ms < self.until_ms;
        if !self.stocks.contains_key(tenant) {
            self.stocks.insert(tenant.to_owned(), Stock::default());
        }
        let Some(stock) = self.stocks.get_mut(tenant) else { return QuotaTake::Ask };
        if is_first {
            stock.demand.add(part, 1);
        }
        if is_leased && stock.held > 0 {
            stock.held -= 1;
            stock.spent_since_report += 1;
            let term = self.terms_of_partitions.get(&partition).copied().unwrap_or(0);
            let new = || Spending { term, ..Spending::default() };
            let spending = stock.spendings.entry(partition).or_insert_with(new);
            spending.total += 1;
            spending.spent.add(part, 1);
            stock.is_news = true;
            return QuotaTake::Taken;
        }
        if now_ms < stock.dry_until_ms {
            return QuotaTake::Refused { retry_ms: stock.dry_until_ms - now_ms };
        }
        stock.missing += 1;
        stock.is_news = true;
        QuotaTake::Ask
    }

    /// A message waits for a token, whatever is held.
    pub fn add_waiting(&mut self, tenant: &str) {
        self.stocks.entry(tenant.to_owned()).or_default().missing += 1;
    }

    /// A message that was told to ask, or to wait, waits no longer.
    pub fn remove_waiting(&mut self, tenant: &str) {
        if let Some(stock) = self.stocks.get_mut(tenant) {
            stock.missing = stock.missing.saturating_sub(1);
        }
    }

    /// This holder owns a partition from a term on; what was accepted there in the last window
    /// is counted next.
    pub fn begin_partition(&mut self, partition: u32, term: u64) {
        for stock in self.stocks.values_mut() {
            // Of the tenant's messages its log may have none any more: that is told as well.
            if let Some(spending) = stock.spendings.get_mut(&partition) {
                *spending = Spending { term, ..Spending::default() };
                stock.is_news = true;
            }
        }
        self.terms_of_partitions.insert(partition, term);
    }

    /// Counts a message of a tenant that a partition accepted `age_ms` ago, by its log.
    pub fn count_accepted(&mut self, tenant: &str, partition: u32, age_ms: u64, now_ms: u64) {
        let part = self.part(now_ms.saturating_sub(age_ms));
        let term = self.terms_of_partitions.get(&partition).copied().unwrap_or(0);
        let stock = self.stocks.entry(tenant.to_owned()).or_default();
        let spending = stock.spendings.entry(partition).or_insert_with(|| Spending { term, ..Spending::default() });
        spending.spent.add(part, 1);
        stock.is_news = true;
    }

    /// What to report, and what is wanted; with an introduction of every tenant.
    pub fn reports(&mut self, introduces: bool, now_ms: u64) -> Vec<QuotaReport> {
        let part = self.part(now_ms);
        let (window_s, is_leased) = (self.terms.window_ms as f64 / 1000.0, now_ms < self.until_ms);
        let demand_s = window_s * DEMAND_PARTS as f64 / WINDOW_SLICES as f64;
        let mut reports = Vec::new();
        for (tenant, stock) in &mut self.stocks {
            for spending in stock.spendings.values_mut() {
                spending.spent.forget(part.saturating_sub(WINDOW_SLICES));
            }
            stock.demand.forget(part.saturating_sub(DEMAND_PARTS));
            let demand_per_s = f64::from(stock.demand.since((part + 1).saturating_sub(DEMAND_PARTS))) / demand_s;
            let target = (demand_per_s * STOCK_S).ceil() as u32;
            let surplus = if is_leased { stock.held.saturating_sub(target * 2) } else { stock.held };
            stock.held -= surplus;
            let wanted = (target + stock.missing).saturating_sub(stock.held);
            if !introduces && !stock.is_news && surplus == 0 && wanted <= target / 2 {
                continue;
            }
            stock.is_news = true;
            stock.spent_since_report = 0;
            let (held, spendings) = (stock.held, stock.told(introduces, part));
            reports.push(QuotaReport { tenant: tenant.clone(), held, wanted, spendings });
        }
        reports
    }

    /// The answer to reports that were made at `asked_ms`.
    pub fn apply_answers(&mut self, reports: &[QuotaReport], answers: &[QuotaAnswer], asked_ms: u64, now_ms: u64) {
        self.until_ms = self.until_ms.max(asked_ms + self.terms.lease_ms);
        for (report, answer) in reports.iter().zip(answers) {
            let Some(stock) = self.stocks.get_mut(&report.tenant) else { continue };
            for told in &report.spendings {
                let spending = stock.spendings.get_mut(&told.partition);
                let Some(spending) = spending.filter(|spending| spending.term == told.term) else { continue };
                spending.is_told = true;
                spending.told_total = told.spent_total;
            }
            stock.is_news = stock.spendings.values().any(|s| !s.is_told || s.total != s.told_total);
            // Of what it held it has spent some meanwhile; those count as the first ones kept.
            stock.held = answer.keep.saturating_sub(stock.spent_since_report).min(stock.held) + answer.granted;
            stock.dry_until_ms = match answer.granted {
                0 if report.wanted > 0 => now_ms + u64::from(answer.retry_ms),
                _ => 0,
            };
        }
    }

    /// Whether any tenant has something to report or to want.
    pub fn has_pending_report(&self) -> bool {
        self.stocks.values().any(|stock| stock.is_news || stock.held > 0 || stock.missing > 0)
    }
}
