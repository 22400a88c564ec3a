//! Checks of a soak test: rules on what clients and processors observed, and the alarms that the
//! processes logged.

use crate::clients::{Message, Sent};
use crate::processor::Run;
use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::time::{Duration, Instant};

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// No message was accepted within the time limit after all faults had ended.
    NotRecovered,
    /// An accepted message was not settled within the time limit.
    NotSettled(String),
    /// No attempt at the operation of an accepted message was run.
    NeverRan(String),
    /// A processor ran a message that no client sent.
    UnknownRun(String),
    /// A message was run although it had been refused with 429 or 503.
    RefusedAndRan(String),
    /// More than one attempt at the same operation was run.
    RanTwice {
        /// The operation key.
        operation: String,
        /// The message ids of the attempts that ran.
        attempts: Vec<String>,
    },
    /// A message was started before an earlier one with the same order key had finished.
    OutOfOrder {
        /// The id of the message that was accepted first.
        first: String,
        /// The id of the message that was started too early.
        second: String,
    },
    /// More messages of a tenant were accepted within a quota window than its limit allows.
    OverLimit {
        /// The number of accepted messages.
        accepted: usize,
        /// The number of messages that the limit allows.
        allowed: usize,
    },
    /// A process logged an alarm, for example for a violated invariant.
    Alarm(String),
    /// A process exited by itself.
    Exited(String),
}

/// The result of a soak test.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    /// The violations that were found.
    pub violations: Vec<Violation>,
    /// The number of accepted messages.
    pub accepted: usize,
    /// The number of sent messages.
    pub sent: usize,
    /// The number of messages of the rate-limited tenant that were refused with 429.
    pub refused: usize,
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} of {} accepted, {} refused by a rate limit", self.accepted, self.sent, self.refused)?;
        self.violations.iter().try_for_each(|violation| write!(f, "\n  {violation:?}"))
    }
}

/// What the attempts at one operation have in common: the operation key, or the message id if there
/// is no key, as then each message is an operation of its own.
fn operation_id(message: &Message) -> &str {
    match message.operation_key.as_str() {
        "" => &message.id,
        key => key,
    }
}

/// Checks the runs against the sent messages.
pub(crate) fn check_runs(all: &[Sent], runs: &[Run], violations: &mut Vec<Violation>) {
    let mut first_runs: HashMap<&str, &Run> = HashMap::new();
    for run in runs {
        first_runs.entry(&run.id).or_insert(run);
    }
    let sent: HashMap<&str, &Sent> = all.iter().map(|sent| (sent.message.id.as_str(), sent)).collect();
    for id in first_runs.keys().filter(|id| !sent.contains_key(**id)) {
        violations.push(Violation::UnknownRun((*id).to_owned()));
    }
    let mut attempts: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    for sent in all {
        let ran = first_runs.contains_key(sent.message.id.as_str());
        if matches!(sent.status, 429 | 503) && ran {
            violations.push(Violation::RefusedAndRan(sent.message.id.clone()));
        }
        if ran {
            attempts.entry(operation_id(&sent.message)).or_default().push(&sent.message.id);
        }
    }
    for sent in all.iter().filter(|sent| sent.status == 202) {
        if !attempts.contains_key(operation_id(&sent.message)) {
            violations.push(Violation::NeverRan(sent.message.id.clone()));
        }
    }
    for (operation, attempts) in attempts.into_iter().filter(|(_, attempts)| attempts.len() > 1) {
        let (operation, attempts) = (operation.to_owned(), attempts.into_iter().map(str::to_owned).collect());
        violations.push(Violation::RanTwice { operation, attempts });
    }
    check_order(all, runs, &first_runs, violations);
}

/// Checks the messages of each order key: a message must not start before an earlier one, accepted
/// before this one was sent, has finished. A run counts as finished if its processor could write
/// the response.
fn check_order(all: &[Sent], runs: &[Run], first_runs: &HashMap<&str, &Run>, violations: &mut Vec<Violation>) {
    let mut ends: HashMap<&str, Instant> = HashMap::new();
    for (run, end) in runs.iter().filter_map(|run| Some((run, run.answered?))) {
        let first = ends.entry(&run.id).or_insert(end);
        *first = end.min(*first);
    }
    let mut orders: BTreeMap<&str, Vec<&Sent>> = BTreeMap::new();
    for sent in all.iter().filter(|sent| sent.status == 202 && !sent.message.order_key.is_empty()) {
        orders.entry(&sent.message.order_key).or_default().push(sent);
    }
    for mut order in orders.into_values() {
        order.retain(|sent| first_runs.contains_key(sent.message.id.as_str()));
        order.sort_by_key(|sent| sent.sent);
        for pair in order.windows(2) {
            let end = ends.get(pair[0].message.id.as_str());
            let started = first_runs.get(pair[1].message.id.as_str()).map(|run| run.started);
            let (Some(end), Some(started)) = (end, started) else { continue };
            if pair[0].answered <= pair[1].sent && started < *end {
                let (first, second) = (pair[0].message.id.clone(), pair[1].message.id.clone());
                violations.push(Violation::OutOfOrder { first, second });
            }
        }
    }
}

/// Checks that no window has more than `allowed` accepted messages of the rate-limited tenant.
pub(crate) fn check_rate_limit(all: &[Sent], window: Duration, allowed: usize, violations: &mut Vec<Violation>) {
    let accepted: Vec<&Sent> = all.iter().filter(|sent| sent.status == 202).collect();
    let accepted_from =
        |from: Instant| accepted.iter().filter(|s| s.sent >= from && s.answered <= from + window).count();
    let max_accepted = accepted.iter().map(|sent| accepted_from(sent.sent)).max().unwrap_or(0);
    if max_accepted > allowed {
        violations.push(Violation::OverLimit { accepted: max_accepted, allowed });
    }
}
