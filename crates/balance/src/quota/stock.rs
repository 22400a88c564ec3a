//! The tokens of one holder.

use super::ledger::{QuotaAnswer, QuotaReport};
use super::{QuotaTerms, WINDOW_PARTS};
use std::collections::{HashMap, VecDeque};

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

    /// Takes all that another one has, which is empty then.
    fn take_from(&mut self, other: &mut Parts) {
        for (part, count) in other.counts.drain(..) {
            self.add(part, count);
        }
    }

    /// Adds what it has to a list by age, in parts.
    fn count_by_age(&self, now_part: u64, by_age: &mut [u32]) {
        for (part, count) in &self.counts {
            if let Some(sum) = by_age.get_mut(now_part.saturating_sub(*part) as usize) {
                *sum += count;
            }
        }
    }

    fn since(&self, part: u64) -> u32 {
        self.counts.iter().filter(|(other, _)| *other >= part).map(|(_, count)| count).sum()
    }
}

#[derive(Default)]
struct Stock {
    held: u32,
    spent_total: u64,
    spent: Parts,
    /// Spent by whoever had this holder's work before, and not told yet; and told, but not
    /// answered yet.
    inherited: Parts,
    inherited_told: Parts,
    demand: Parts,
    /// Messages that wait for a token.
    missing: u32,
    /// Until then the ledger has none.
    dry_until_ms: u64,
    /// Something has changed since the last report that was answered.
    is_news: bool,
}

/// What a holder may spend, tenant by tenant. Times are in milliseconds of its steady clock.
pub struct QuotaStock {
    terms: QuotaTerms,
    /// Until when what is held may be spent.
    until_ms: u64,
    /// One for each tenant that it has had a message of: their totals may not begin anew.
    stocks: HashMap<String, Stock>,
}

impl QuotaStock {
    /// A holder that holds nothing.
    pub fn new(terms: QuotaTerms) -> QuotaStock {
        QuotaStock { terms, until_ms: 0, stocks: HashMap::new() }
    }

    fn part(&self, now_ms: u64) -> u64 {
        now_ms / self.terms.part_ms()
    }

    /// Takes a token for one message of a tenant. `is_first`: it was not told to ask before,
    /// and so is not counted as demand yet.
    pub fn take(&mut self, tenant: &str, is_first: bool, now_ms: u64) -> QuotaTake {
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
            stock.spent_total += 1;
            stock.spent.add(part, 1);
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

    /// A message that was told to ask waits no longer.
    pub fn give_up(&mut self, tenant: &str) {
        if let Some(stock) = self.stocks.get_mut(tenant) {
            stock.missing = stock.missing.saturating_sub(1);
        }
    }

    /// Counts messages of a tenant that were accepted `age_ms` ago by whoever had this holder's
    /// work before.
    pub fn count_accepted(&mut self, tenant: &str, age_ms: u64, now_ms: u64) {
        let part = self.part(now_ms.saturating_sub(age_ms));
        let stock = self.stocks.entry(tenant.to_owned()).or_default();
        stock.inherited.add(part, 1);
        stock.is_news = true;
    }

    /// What to report, and what is wanted; with an introduction of every tenant.
    pub fn reports(&mut self, introduces: bool, now_ms: u64) -> Vec<QuotaReport> {
        let part = self.part(now_ms);
        let (window_s, is_leased) = (self.terms.window_ms as f64 / 1000.0, now_ms < self.until_ms);
        let demand_s = window_s * DEMAND_PARTS as f64 / WINDOW_PARTS as f64;
        let mut reports = Vec::new();
        for (tenant, stock) in &mut self.stocks {
            stock.spent.forget((part + 1).saturating_sub(WINDOW_PARTS + 1));
            stock.demand.forget((part + 1).saturating_sub(DEMAND_PARTS + 1));
            let demand_per_s = f64::from(stock.demand.since((part + 1).saturating_sub(DEMAND_PARTS))) / demand_s;
            let target = (demand_per_s * STOCK_S).ceil() as u32;
            let surplus = if is_leased { stock.held.saturating_sub(target * 2) } else { stock.held };
            stock.held -= surplus;
            let wanted = (target + stock.missing).saturating_sub(stock.held);
            if !introduces && !stock.is_news && surplus == 0 && wanted <= target / 2 {
                continue;
            }
            stock.is_news = true;
            let mut inherited = std::mem::take(&mut stock.inherited);
            stock.inherited_told.take_from(&mut inherited);
            let mut recent = vec![0; WINDOW_PARTS as usize + 1];
            stock.inherited_told.count_by_age(part, &mut recent);
            if introduces {
                stock.spent.count_by_age(part, &mut recent);
            }
            if recent.iter().all(|count| *count == 0) {
                recent.clear();
            }
            let (held, spent_total) = (stock.held, stock.spent_total);
            reports.push(QuotaReport { tenant: tenant.clone(), held, spent_total, wanted, recent });
        }
        reports
    }

    /// The answer to reports that were made at `asked_ms`.
    pub fn answered(&mut self, reports: &[QuotaReport], answers: &[QuotaAnswer], asked_ms: u64, now_ms: u64) {
        self.until_ms = self.until_ms.max(asked_ms + self.terms.lease_ms);
        for (report, answer) in reports.iter().zip(answers) {
            let Some(stock) = self.stocks.get_mut(&report.tenant) else { continue };
            let mut told = std::mem::take(&mut stock.inherited_told);
            stock.spent.take_from(&mut told);
            stock.is_news = !stock.inherited.counts.is_empty() || stock.spent_total != report.spent_total;
            let spent_since = (stock.spent_total - report.spent_total) as u32;
            // Of what it held it has spent some meanwhile; those count as the first ones kept.
            stock.held = answer.keep.saturating_sub(spent_since).min(stock.held) + answer.granted;
            stock.dry_until_ms = match answer.granted {
                0 if report.wanted > 0 => now_ms + u64::from(answer.retry_ms),
                _ => 0,
            };
        }
    }

    /// Whether any tenant has something to report or to want.
    pub fn has_news(&self) -> bool {
        self.stocks.values().any(|stock| stock.is_news || stock.held > 0 || stock.missing > 0)
    }

    /// Whether any message waits for a token.
    pub fn is_missing(&self) -> bool {
        self.stocks.values().any(|stock| stock.missing > 0)
    }
}
