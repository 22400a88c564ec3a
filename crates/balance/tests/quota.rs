//! Quotas over several holders: the messages accepted in any window stay within the bound, even if
//! requests are lost or duplicated and holders or ledgers are replaced, and no message is refused
//! below the limit.

use balance::{LocalQuota, QuotaAnswer, QuotaLedger, QuotaLimit, QuotaParameters, QuotaReport, QuotaTake};
use proptest::prelude::*;
use std::collections::{BTreeMap, HashSet};

const PARAMETERS: QuotaParameters = QuotaParameters { window_ms: 2000, lease_ms: 600, overshoot: 0.0, slack: 0.0 };
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

/// An owner of partitions, which has the number of its first partition.
struct Holder {
    quota: LocalQuota,
    incarnation: u64,
    sequence: u64,
    introduces: bool,
    /// Its partitions, with its term for each.
    owned: BTreeMap<usize, u64>,
}

impl Holder {
    fn new(incarnation: u64) -> Holder {
        let owned = BTreeMap::new();
        Holder { quota: LocalQuota::new(PARAMETERS), incarnation, sequence: 0, introduces: true, owned }
    }
}

#[derive(Clone, Debug)]
enum Event {
    Wait(u64),
    Messages {
        holder: usize,
        count: usize,
    },
    /// A holder sends a request and abandons its previous one. The request and its reply may be
    /// lost.
    Request {
        holder: usize,
        request_arrives: bool,
        reply_arrives: bool,
    },
    /// An earlier request is delivered again.
    Duplicate(usize),
    /// A holder crashes and restarts; another one takes over its partitions.
    Crash(usize),
    NewLedger,
}

struct Cluster {
    now: u64,
    holders: Vec<Holder>,
    ledger: QuotaLedger,
    /// By partition, the term of its owner.
    terms: Vec<u64>,
    sent_requests: Vec<(usize, Request)>,
    /// By partition, the times at which messages were accepted.
    accepted: Vec<Vec<u64>>,
}

impl Cluster {
    fn new() -> Cluster {
        let mut holders: Vec<Holder> = (0..HOLDERS).map(|_| Holder::new(1)).collect();
        for (partition, holder) in holders.iter_mut().enumerate() {
            holder.owned.insert(partition, 1);
            holder.quota.begin_partition(partition as u32, 1);
        }
        let ledger = QuotaLedger::new(PARAMETERS, 10_000);
        Cluster {
            now: 10_000,
            holders,
            ledger,
            terms: vec![1; HOLDERS],
            sent_requests: vec![],
            accepted: vec![vec![]; HOLDERS],
        }
    }

    fn messages(&mut self, holder: usize, count: usize) {
        let Some(partition) = self.holders[holder].owned.keys().next().copied() else { return };
        for _ in 0..count {
            if self.holders[holder].quota.take(TENANT, partition as u32, true, self.now) == QuotaTake::Taken {
                self.accepted[partition].push(self.now);
            }
        }
    }

    fn request_tokens(&mut self, number: usize, request_arrives: bool, reply_arrives: bool) {
        let now = self.now;
        let holder = &mut self.holders[number];
        holder.sequence += 1;
        let introduces = holder.introduces;
        let reports = holder.quota.reports(introduces, now);
        let request = Request {
            incarnation: holder.incarnation,
            sequence: holder.sequence,
            introduces,
            reports,
            counted: holder.owned.clone(),
            asked_ms: now,
        };
        self.sent_requests.push((number, request.clone()));
        if !request_arrives {
            return;
        }
        if let Some(answers) = self.deliver(number, &request)
            && reply_arrives
        {
            let holder = &mut self.holders[number];
            match answers {
                Some(answers) => {
                    holder.introduces = false;
                    holder.quota.apply_answers(&request.reports, &answers, request.asked_ms, now);
                }
                None => holder.introduces = true,
            }
        }
    }

    /// Delivers a request to the ledger. Returns its answers; the inner `None` means that the ledger
    /// requires an introduction.
    fn deliver(&mut self, number: usize, request: &Request) -> Option<Option<Vec<QuotaAnswer>>> {
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
        let successor = (number + 1) % HOLDERS;
        for partition in owned.into_keys() {
            self.terms[partition] += 1;
            let (term, now) = (self.terms[partition], self.now);
            self.holders[successor].quota.begin_partition(partition as u32, term);
            for at in self.accepted[partition].iter().filter(|at| **at + PARAMETERS.window_ms > now) {
                self.holders[successor].quota.count_accepted(TENANT, partition as u32, now - at, now);
            }
            self.holders[successor].owned.insert(partition, term);
        }
    }

    fn replace_ledger(&mut self) {
        self.ledger = QuotaLedger::new(PARAMETERS, self.now);
        self.sent_requests.clear();
        for holder in &mut self.holders {
            holder.introduces = true;
        }
    }

    fn apply(&mut self, event: &Event) {
        match *event {
            Event::Wait(ms) => self.now += ms,
            Event::Messages { holder, count } => self.messages(holder, count),
            Event::Request { holder, request_arrives, reply_arrives } => {
                self.request_tokens(holder, request_arrives, reply_arrives)
            }
            Event::Duplicate(at) => {
                if let Some((number, request)) = self.sent_requests.get(at % self.sent_requests.len().max(1)).cloned()
                    && (request.incarnation, request.sequence)
                        < (self.holders[number].incarnation, self.holders[number].sequence)
                {
                    self.deliver(number, &request);
                }
            }
            Event::Crash(holder) => self.crash(holder),
            Event::NewLedger => self.replace_ledger(),
        }
    }

    /// The largest number of messages accepted in any window.
    fn max_in_window(&self) -> usize {
        let mut all: Vec<u64> = self.accepted.iter().flatten().copied().collect();
        all.sort_unstable();
        let within = |from: u64| all.iter().filter(|at| (from..from + PARAMETERS.window_ms).contains(at)).count();
        all.iter().map(|from| within(*from)).max().unwrap_or(0)
    }
}

fn event() -> impl Strategy<Value = Event> {
    let holder = 0..HOLDERS;
    prop_oneof![
        4 => (1u64..500).prop_map(Event::Wait),
        6 => (holder.clone(), 1usize..60).prop_map(|(holder, count)| Event::Messages { holder, count }),
        8 => (holder.clone(), prop::bool::weighted(0.85), prop::bool::weighted(0.85))
            .prop_map(|(holder, request_arrives, reply_arrives)| {
                Event::Request { holder, request_arrives, reply_arrives }
            }),
        1 => (0usize..1000).prop_map(Event::Duplicate),
        1 => holder.prop_map(Event::Crash),
        1 => Just(Event::NewLedger),
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
    fn accepted_messages_stay_within_the_bound_in_every_window(events in prop::collection::vec(event(), 1..200)) {
        let mut cluster = Cluster::new();
        for event in &events {
            cluster.apply(event);
        }
        let (max_in_window, bound) = (cluster.max_in_window() as u64, PARAMETERS.bound(LIMIT));
        prop_assert!(max_in_window <= bound, "{max_in_window} messages accepted in a window, {bound} allowed");
    }
}

/// Sends messages at a steady rate for 8 s, each to the holder that `at` returns. Returns the
/// number of refused messages.
fn count_refused(per_s: u64, at: impl Fn(u64) -> usize) -> usize {
    let mut cluster = Cluster::new();
    for holder in 0..HOLDERS {
        cluster.request_tokens(holder, true, true);
    }
    let (mut refused, mut waiting) = (0, Vec::new());
    for tick in 0..8000u64 {
        cluster.now += 1;
        if tick.is_multiple_of(1000 / per_s) {
            let holder = at(tick);
            match cluster.holders[holder].quota.take(TENANT, holder as u32, true, cluster.now) {
                QuotaTake::Taken => cluster.accepted[0].push(cluster.now),
                QuotaTake::Refused { .. } => refused += 1,
                QuotaTake::Ask => waiting.push((holder, cluster.now)),
            }
        }
        if tick.is_multiple_of(20) {
            let requesting: HashSet<usize> = waiting.iter().map(|(holder, _)| *holder).collect();
            for holder in (0..HOLDERS).filter(|holder| requesting.contains(holder) || tick.is_multiple_of(100)) {
                cluster.request_tokens(holder, true, true);
            }
            for (holder, _) in std::mem::take(&mut waiting) {
                let quota = &mut cluster.holders[holder].quota;
                quota.remove_waiting(TENANT);
                match quota.take(TENANT, holder as u32, false, cluster.now) {
                    QuotaTake::Taken => cluster.accepted[0].push(cluster.now),
                    _ => refused += 1,
                }
            }
        }
    }
    refused
}

#[test]
fn no_message_is_refused_below_the_limit_at_any_holder() {
    assert_eq!(count_refused(20, |tick| (tick / 50) as usize % HOLDERS), 0, "round-robin over all holders");
    assert_eq!(count_refused(20, |_| 1), 0, "at a single holder");
    assert_eq!(
        count_refused(20, |tick| (tick / 1500) as usize % HOLDERS),
        0,
        "alternating between holders every 1.5 s"
    );
}

#[test]
fn a_new_ledger_grants_nothing_before_it_is_settled() {
    let mut ledger = QuotaLedger::new(PARAMETERS, 0);
    let report = QuotaReport { tenant: TENANT.into(), wanted: 5, ..QuotaReport::default() };
    assert!(!ledger.receive("a", 1, 1, false, 10), "the holder must introduce itself");
    assert!(ledger.receive("a", 1, 2, true, 10));
    ledger.report("a", 1, &report, 10);
    assert_eq!(ledger.grant("a", 1, &report, LIMIT, 10).granted, 0);
    ledger.settle();
    assert_eq!(ledger.grant("a", 1, &report, LIMIT, 10).granted, 5);
}

#[test]
fn a_lowered_limit_revokes_held_tokens() {
    let mut ledger = QuotaLedger::new(PARAMETERS, 0);
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
    assert_eq!((answer.granted, u64::from(answer.keep)), (0, PARAMETERS.capacity(lowered)));
    assert!(answer.retry_ms > 0);
}

#[test]
fn tokens_of_a_silent_holder_count_for_a_window_after_its_lease() {
    let mut ledger = QuotaLedger::new(PARAMETERS, 0);
    ledger.settle();
    let report = QuotaReport { tenant: TENANT.into(), wanted: 12, ..QuotaReport::default() };
    assert!(ledger.receive("silent", 1, 1, true, 10));
    ledger.report("silent", 1, &report, 10);
    assert_eq!(ledger.grant("silent", 1, &report, LIMIT, 10).granted, 12);
    // The silent holder may spend all its tokens just before its lease ends, after 600 ms.
    let mut other = QuotaReport { wanted: 100, ..report };
    for sequence in 1..=26 {
        let now = 10 + sequence * 100;
        assert!(ledger.receive("other", 1, sequence, sequence == 1, now));
        ledger.report("other", 1, &other, now);
        other.held += ledger.grant("other", 1, &other, LIMIT, now).granted;
    }
    assert_eq!(u64::from(other.held), PARAMETERS.capacity(LIMIT) - 12);
}

#[test]
fn an_outdated_or_repeated_request_is_rejected() {
    let mut ledger = QuotaLedger::new(PARAMETERS, 0);
    assert!(ledger.receive("a", 1, 2, true, 10));
    assert!(!ledger.receive("a", 1, 1, true, 11));
    assert!(!ledger.receive("a", 1, 2, false, 12), "a repeated request is rejected");
}
