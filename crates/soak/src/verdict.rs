//! What is judged of a soak: the rules that clients and processors can see, and the alarms of
//! the processes themselves.

use crate::clients::{Message, Sent};
use crate::processor::Run;
use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::time::{Duration, Instant};

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// No message was accepted in time once all troubles were over.
    NotRecovered,
    /// An accepted message was not settled in time.
    NotSettled(String),
    /// An accepted message never ran, though it is settled.
    NeverRan(String),
    /// A processor ran a message that no client sent.
    UnknownRun(String),
    /// A message that was refused as not taken has run.
    RefusedAndRan(String),
    /// Two tries at one operation have both run.
    RanTwice {
        /// The operation's key.
        operation: String,
        /// The ids of the tries that ran.
        tries: Vec<String>,
    },
    /// A message began before an earlier one of its order had ended.
    OutOfOrder {
        /// The one accepted first.
        first: String,
        /// The one that began too early.
        second: String,
    },
    /// More of a tenant's messages were accepted in a window than its limit allows.
    OverLimit {
        /// How many.
        accepted: usize,
        /// How many were allowed.
        allowed: usize,
    },
    /// A process raised an alarm, as for an invariant.
    Alarm(String),
    /// A process ended by itself.
    Exited(String),
}

/// What came of a soak.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    /// The rules that were broken.
    pub violations: Vec<Violation>,
    /// Messages that were accepted.
    pub accepted: usize,
    /// Messages that were sent.
    pub sent: usize,
    /// Messages of the tenant with a limit that were refused for it.
    pub refused: usize,
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} of {} accepted, {} refused by a limit", self.accepted, self.sent, self.refused)?;
        self.violations.iter().try_for_each(|violation| write!(f, "\n  {violation:?}"))
    }
}

/// What tries at one message share: without an operation key each message is an operation of its own.
fn operation_of(message: &Message) -> &str {
    match message.operation_key.as_str() {
        "" => &message.id,
        key => key,
    }
}

/// Judges what ran against what was sent.
pub(crate) fn judge_runs(all: &[Sent], runs: &[Run], violations: &mut Vec<Violation>) {
    let mut first_runs: HashMap<&str, &Run> = HashMap::new();
    for run in runs {
        first_runs.entry(&run.id).or_insert(run);
    }
    let sent: HashMap<&str, &Sent> = all.iter().map(|sent| (sent.message.id.as_str(), sent)).collect();
    for id in first_runs.keys().filter(|id| !sent.contains_key(**id)) {
        violations.push(Violation::UnknownRun((*id).to_owned()));
    }
    let mut tries: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    for sent in all {
        let ran = first_runs.contains_key(sent.message.id.as_str());
        if matches!(sent.status, 429 | 503) && ran {
            violations.push(Violation::RefusedAndRan(sent.message.id.clone()));
        }
        if ran {
            tries.entry(operation_of(&sent.message)).or_default().push(&sent.message.id);
        }
    }
    for sent in all.iter().filter(|sent| sent.status == 202) {
        if !tries.contains_key(operation_of(&sent.message)) {
            violations.push(Violation::NeverRan(sent.message.id.clone()));
        }
    }
    for (operation, tries) in tries.into_iter().filter(|(_, tries)| tries.len() > 1) {
        let (operation, tries) = (operation.to_owned(), tries.into_iter().map(str::to_owned).collect());
        violations.push(Violation::RanTwice { operation, tries });
    }
    judge_order(all, runs, &first_runs, violations);
}

/// A message of an order began before another one, accepted before this one was sent, had ended
/// by an answer that its processor could write.
fn judge_order(all: &[Sent], runs: &[Run], first_runs: &HashMap<&str, &Run>, violations: &mut Vec<Violation>) {
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
            let began = first_runs.get(pair[1].message.id.as_str()).map(|run| run.started);
            let (Some(end), Some(began)) = (end, began) else { continue };
            if pair[0].answered <= pair[1].sent && began < *end {
                let (first, second) = (pair[0].message.id.clone(), pair[1].message.id.clone());
                violations.push(Violation::OutOfOrder { first, second });
            }
        }
    }
}

/// Judges the messages of the tenant with a limit.
pub(crate) fn judge_limit(all: &[Sent], window: Duration, allowed: usize, violations: &mut Vec<Violation>) {
    let accepted: Vec<&Sent> = all.iter().filter(|sent| sent.status == 202).collect();
    let within = |from: Instant| accepted.iter().filter(|s| s.sent >= from && s.answered <= from + window).count();
    let most = accepted.iter().map(|sent| within(sent.sent)).max().unwrap_or(0);
    if most > allowed {
        violations.push(Violation::OverLimit { accepted: most, allowed });
    }
}
