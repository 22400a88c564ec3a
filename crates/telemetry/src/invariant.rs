//! Run-time checks of invariants. Checks are counted together, violations are counted by invariant
//! and logged as alarms.

use crate::{Level, add, line};

/// Counter of the checks of all invariants.
const CHECKS: &str = "invariant_checks";

/// Records a check of an invariant and returns whether it holds.
///
/// `counter` names the invariant and counts its violations; `violations` is the number that this
/// check found, and `detail` describes them in the log.
pub fn check_invariant(counter: &'static str, violations: u64, detail: std::fmt::Arguments<'_>) -> bool {
    add(CHECKS, 1);
    add(counter, violations);
    if violations > 0 {
        line(Level::Error, format_args!("ALARM invariant {counter}: {violations}: {detail}"));
    }
    violations == 0
}
