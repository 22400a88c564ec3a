//! Invariants that are checked while the program runs: each check is counted, and each violation
//! is counted by name and written as an alarm.

use crate::{Level, add, line};

/// The counter of all checks.
const CHECKS: &str = "invariant_checks";

/// Notes a check of the invariant that `counter` names, and how many things violate it. Says
/// whether it holds.
///
/// `counter` is the name under which violations are counted; `detail` describes them.
pub fn check_invariant(counter: &'static str, violations: u64, detail: std::fmt::Arguments<'_>) -> bool {
    add(CHECKS, 1);
    add(counter, violations);
    if violations > 0 {
        line(Level::Error, format_args!("ALARM invariant {counter}: {violations}: {detail}"));
    }
    violations == 0
}
