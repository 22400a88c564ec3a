//! Quotas over several holders: whatever happens to messages, holders and ledgers, what is
//! accepted in any window stays inside the bound, and nothing is refused below the limit.

use balance::{LocalQuota, QuotaAnswer, QuotaLedger, QuotaLimit, QuotaParameters, QuotaReport, QuotaTake};
use proptest::prelude::*;
use std::collections::{BTreeMap, HashSet};

const TERMS: QuotaParameters = QuotaParameters { window_ms: 2000, lease_ms: 600, overshoot: 0.0, slack: 0.0 };
const LIMIT: QuotaLimit = QuotaLimit { flow_per_s: 20.0, surge: 10.0 };
const TENANT: &str = "t";
const HOLDERS: usize = 3;

#[derive(Clone, Debug)]
struct Request {
    incarnation: u64,
    sequence: u64,
    introduces: bool,
    reports: Vec<QuotaReport>,
    counted: BTreeMap<usize, u64>,
    asked_ms: u64,
}

/// One owner of partitions, numbered as its first partition.
struct Holder {
    stock: LocalQuota,
    incarnation: u64,
    sequence: u64,
    introduces: bool,
    /// Its partitions, with its term of each.
    owned: BTreeMap<usize, u64>,
}

impl Holder {
    fn new(incarnation: u64) -> Holder {
        let owned = BTreeMap::new();
        Holder { stock: LocalQuota::new(TERMS), incarnation, sequence: 0, introduces: true, owned }
    }
}

#[derive(Clone, Debug)]
enum Event {
    Wait(u64),
    Messages {
        holder: usize,
        count: usize,
    },
    /// A holder gives up its former request and sends one; `arrives`, `answered`: whether the
    /// network carries it and its answer.
    Ask {
        holder: usize,
        arrives: bool,
        answered: bool,
    },
    /// An old request arrives again.
    Stale(usize),
    /// A holder ends; another one takes its partitions, and it begins anew.
    Crash(usize),
    Leader,
}

struct World {
    now: u64,
    holders: Vec<Holder>,
    ledger: QuotaLedger,
    /// By partition, its owner's term.
    terms: Vec<u64>,
    old: Vec<(usize, Request)>,
    /// By partition: when each message was accepted.
    logs: Vec<Vec<u64>>,
}

impl World {
    fn new() -> World {
        let mut holders: Vec<Holder> = (0..HOLDERS).map(|_| Holder::new(1)).collect();
        for (partition, holder) in holders.iter_mut().enumerate() {
            holder.owned.insert(partition, 1);
            holder.stock.begin_partition(partition as u32, 1);
        }
        let ledger = QuotaLedger::new(TERMS, 10_000);
        World { now: 10_000, holders, ledger, terms: vec![1; HOLDERS], old: vec![], logs: vec![vec![]; HOLDERS] }
    }

    fn messages(&mut self, holder: usize, count: usize) {
        let Some(partition) = self.holders[holder].owned.keys().next().copied() else { return };
        for _ in 0..count {
            if self.holders[holder].stock.take(TENANT, partition as u32, true, self.now) == QuotaTake::Taken {
                self.logs[partition].push(self.now);
            }
        }
    }

    fn ask(&mut self, number: usize, arrives: bool, answered: bool) {
        let now = self.now;
        let holder = &mut self.holders[number];
        holder.sequence += 1;
        let introduces = holder.introduces;
        let reports = holder.stock.reports(introduces, now);
        let request = Request {
            incarnation: holder.incarnation,
            sequence: holder.sequence,
            introduces,
            reports,
            counted: holder.owned.clone(),
            asked_ms: now,
        };
        self.old.push((number, request.clone()));
        if !arrives {
            return;
        }
        if let Some(answers) = self.hear(number, &request)
            && answered
        {
            let holder = &mut self.holders[number];
            match answers {
                Some(answers) => {
                    holder.introduces = false;
                    holder.stock.apply_answers(&request.reports, &answers, request.asked_ms, now);
                }
                None => holder.introduces = true,
            }
        }
    }

    /// The ledger hears a request: its answers, or none if it wants an introduction.
    fn hear(&mut self, number: usize, request: &Request) -> Option<Option<Vec<QuotaAnswer>>> {
        let (name, now) = (number.to_string(), self.now);
        if !self.ledger.receive(&name, request.incarnation, request.sequence, request.introduces, now) {
            return Some(None);
        }
        for (partition, term) in &request.counted {
            self.ledger.count_partition(*partition as u32, *term);
        }
        for report in &request.reports {
            self.ledger.report(&name, request.incarnation, report, now);
        }
        let mut terms = self.terms.iter().zip(0u32..);
        if terms.all(|(term, partition)| self.ledger.counted_term(partition) >= *term) {
            self.ledger.settle();
        }
        let grant = |report| self.ledger.grant(&name, request.incarnation, report, LIMIT, now);
        Some(Some(request.reports.iter().map(grant).collect()))
    }

    fn crash(&mut self, number: usize) {
        let owned = std::mem::take(&mut self.holders[number].owned);
        self.holders[number] = Holder::new(self.holders[number].incarnation + 1);
        let heir = (number + 1) % HOLDERS;
        for partition in owned.into_keys() {
            self.terms[partition] += 1;
            let (term, now) = (self.terms[partition], self.now);
            self.holders[heir].stock.begin_partition(partition as u32, term);
            for at in self.logs[partition].iter().filter(|at| **at + TERMS.window_ms > now) {
                self.holders[heir].stock.count_accepted(TENANT, partition as u32, now - at, now);
            }
            self.holders[heir].owned.insert(partition, term);
        }
    }

    fn leader(&mut self) {
        self.ledger = QuotaLedger::new(TERMS, self.now);
        self.old.clear();
        for holder in &mut self.holders {
            holder.introduces = true;
        }
    }

    fn play(&mut self, event: &Event) {
        match *event {
            Event::Wait(ms) => self.now += ms,
            Event::Messages { holder, count } => self.messages(holder, count),
            Event::Ask { holder, arrives, answered } => self.ask(holder, arrives, answered),
            Event::Stale(at) => {
                if let Some((number, request)) = self.old.get(at % self.old.len().max(1)).cloned()
                    && (request.incarnation, request.sequence)
                        < (self.holders[number].incarnation, self.holders[number].sequence)
                {
                    self.hear(number, &request);
                }
            }
            Event::Crash(holder) => self.crash(holder),
            Event::Leader => self.leader(),
        }
    }

    /// The most that was accepted in any window.
    fn most(&self) -> usize {
        let mut all: Vec<u64> = self.logs.iter().flatten().copied().collect();
        all.sort_unstable();
        let within = |from: u64| all.iter().filter(|at| (from..from + TERMS.window_ms).contains(at)).count();
        all.iter().map(|from| within(*from)).max().unwrap_or(0)
    }
}

fn event() -> impl Strategy<Value = Event> {
    let holder = 0..HOLDERS;
    prop_oneof![
        4 => (1u64..500).prop_map(Event::Wait),
        6 => (holder.clone(), 1usize..60).prop_map(|(holder, count)| Event::Messages { holder, count }),
        8 => (holder.clone(), prop::bool::weighted(0.85), prop::bool::weighted(0.85))
            .prop_map(|(holder, arrives, answered)| Event::Ask { holder, arrives, answered }),
        1 => (0usize..1000).prop_map(Event::Stale),
        1 => holder.prop_map(Event::Crash),
        1 => Just(Event::Leader),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 600,
        rng_algorithm: prop::test_runner::RngAlgorithm::ChaCha,
        rng_seed: prop::test_runner::RngSeed::Fixed(36),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_window_sees_more_than_the_bound(events in prop::collection::vec(event(), 1..200)) {
        let mut world = World::new();
        for event in &events {
            world.play(event);
        }
        let (most, bound) = (world.most() as u64, TERMS.bound(LIMIT));
        prop_assert!(most <= bound, "{most} accepted in a window, {bound} allowed");
    }
}

/// Sends at a steady rate, at the holders as `at` says, for some seconds; how many were refused.
fn refused_at(per_s: u64, at: impl Fn(u64) -> usize) -> usize {
    let mut world = World::new();
    for holder in 0..HOLDERS {
        world.ask(holder, true, true);
    }
    let (mut refused, mut waiting) = (0, Vec::new());
    for tick in 0..8000u64 {
        world.now += 1;
        if tick.is_multiple_of(1000 / per_s) {
            let holder = at(tick);
            match world.holders[holder].stock.take(TENANT, holder as u32, true, world.now) {
                QuotaTake::Taken => world.logs[0].push(world.now),
                QuotaTake::Refused { .. } => refused += 1,
                QuotaTake::Ask => waiting.push((holder, world.now)),
            }
        }
        if tick.is_multiple_of(20) {
            let asks: HashSet<usize> = waiting.iter().map(|(holder, _)| *holder).collect();
            for holder in (0..HOLDERS).filter(|holder| asks.contains(holder) || tick.is_multiple_of(100)) {
                world.ask(holder, true, true);
            }
            for (holder, _) in std::mem::take(&mut waiting) {
                let stock = &mut world.holders[holder].stock;
                stock.remove_waiting(TENANT);
                match stock.take(TENANT, holder as u32, false, world.now) {
                    QuotaTake::Taken => world.logs[0].push(world.now),
                    _ => refused += 1,
                }
            }
        }
    }
    refused
}

#[test]
fn nothing_is_refused_below_the_limit_wherever_it_comes() {
    assert_eq!(refused_at(20, |tick| (tick / 50) as usize % HOLDERS), 0, "at all holders in turn");
    assert_eq!(refused_at(20, |_| 1), 0, "at one holder");
    assert_eq!(refused_at(20, |tick| (tick / 1500) as usize % HOLDERS), 0, "now here, now there");
}

#[test]
fn a_new_ledger_grants_nothing_before_it_knows_what_was_spent() {
    let mut ledger = QuotaLedger::new(TERMS, 0);
    let report = QuotaReport { tenant: TENANT.into(), wanted: 5, ..QuotaReport::default() };
    assert!(!ledger.receive("a", 1, 1, false, 10), "it is to introduce itself");
    assert!(ledger.receive("a", 1, 2, true, 10));
    ledger.report("a", 1, &report, 10);
    assert_eq!(ledger.grant("a", 1, &report, LIMIT, 10).granted, 0);
    ledger.settle();
    assert_eq!(ledger.grant("a", 1, &report, LIMIT, 10).granted, 5);
}

#[test]
fn a_lowered_limit_takes_back_what_is_held() {
    let mut ledger = QuotaLedger::new(TERMS, 0);
    ledger.settle();
    let mut report = QuotaReport { tenant: TENANT.into(), wanted: 12, ..QuotaReport::default() };
    assert!(ledger.receive("a", 1, 1, true, 10));
    ledger.report("a", 1, &report, 10);
    let granted = ledger.grant("a", 1, &report, LIMIT, 10).granted;
    report.held = granted;
    assert!(ledger.receive("a", 1, 2, false, 20));
    ledger.report("a", 1, &report, 20);
    let lowered = QuotaLimit { flow_per_s: 1.0, surge: 0.0 };
    let answer = ledger.grant("a", 1, &report, lowered, 20);
    assert_eq!((answer.granted, u64::from(answer.keep)), (0, TERMS.capacity(lowered)));
    assert!(answer.retry_ms > 0);
}

#[test]
fn what_a_silent_holder_holds_counts_for_a_window_after_its_lease() {
    let mut ledger = QuotaLedger::new(TERMS, 0);
    ledger.settle();
    let report = QuotaReport { tenant: TENANT.into(), wanted: 12, ..QuotaReport::default() };
    assert!(ledger.receive("silent", 1, 1, true, 10));
    ledger.report("silent", 1, &report, 10);
    assert_eq!(ledger.grant("silent", 1, &report, LIMIT, 10).granted, 12);
    // It may spend all of it when its lease ends, after 600 ms.
    let mut other = QuotaReport { wanted: 100, ..report };
    for sequence in 1..=26 {
        let now = 10 + sequence * 100;
        assert!(ledger.receive("other", 1, sequence, sequence == 1, now));
        ledger.report("other", 1, &other, now);
        other.held += ledger.grant("other", 1, &other, LIMIT, now).granted;
    }
    assert_eq!(u64::from(other.held), TERMS.capacity(LIMIT) - 12);
}

#[test]
fn a_request_that_is_overtaken_by_a_later_one_changes_nothing() {
    let mut ledger = QuotaLedger::new(TERMS, 0);
    assert!(ledger.receive("a", 1, 2, true, 10));
    assert!(!ledger.receive("a", 1, 1, true, 11));
    assert!(!ledger.receive("a", 1, 2, false, 12), "nor one that comes twice");
}
