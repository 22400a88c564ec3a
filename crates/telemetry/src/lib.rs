//! Counters and log lines. Frequent events are counted, not logged: a line is written only when a
//! state changes, and all counters are logged periodically in one line.

#![warn(missing_docs)]

mod containment;
mod invariant;
mod throttle;
pub use containment::{contained, end_process_on_panic};
pub use invariant::check_invariant;
pub use throttle::Throttle;

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU8, AtomicU64, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

/// Severity of a log line.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum Level {
    /// A fault that needs the attention of an operator.
    Error = 0,
    /// A state has changed.
    Change = 1,
    /// Detail for debugging.
    Debug = 2,
}

static LEVEL: AtomicU8 = AtomicU8::new(1);

/// Sets the log level: `error`, `change` (the default) or `debug`. Returns false for any other name.
pub fn set_level(name: &str) -> bool {
    let level = match name {
        "error" => Level::Error,
        "change" => Level::Change,
        "debug" => Level::Debug,
        _ => return false,
    };
    LEVEL.store(level as u8, Ordering::Relaxed);
    true
}

/// Whether lines of this level are written.
pub fn enabled(level: Level) -> bool {
    level as u8 <= LEVEL.load(Ordering::Relaxed)
}

/// The wall-clock time in milliseconds since the Unix epoch.
pub fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map(|d| d.as_millis() as u64).unwrap_or(0)
}

/// Writes a line to standard error if its level is enabled.
pub fn line(level: Level, message: std::fmt::Arguments<'_>) {
    if enabled(level) {
        let ms = wall_ms();
        eprintln!("{}.{:03} {:?} {}", ms / 1000, ms % 1000, level, message);
    }
}

/// Logs a change of state.
#[macro_export]
macro_rules! change { ($($a:tt)*) => { $crate::line($crate::Level::Change, format_args!($($a)*)) } }
/// Logs an error.
#[macro_export]
macro_rules! error { ($($a:tt)*) => { $crate::line($crate::Level::Error, format_args!($($a)*)) } }
/// Logs a debugging detail.
#[macro_export]
macro_rules! debug { ($($a:tt)*) => { $crate::line($crate::Level::Debug, format_args!($($a)*)) } }

static COUNTERS: Mutex<BTreeMap<&'static str, u64>> = Mutex::new(BTreeMap::new());
/// The sum of all values at the last report, by which a report tells whether any has changed.
static REPORTED_SUM: AtomicU64 = AtomicU64::new(0);

/// Adds to the counter of that name.
pub fn add(name: &'static str, n: u64) {
    *COUNTERS.lock().unwrap().entry(name).or_insert(0) += n;
}

/// Sets a gauge.
pub fn set(name: &'static str, n: u64) {
    COUNTERS.lock().unwrap().insert(name, n);
}

/// Adds one to the counter of that name.
pub fn count(name: &'static str) {
    add(name, 1);
}

/// The value of a counter or gauge; 0 if it was never set.
pub fn get(name: &str) -> u64 {
    COUNTERS.lock().unwrap().get(name).copied().unwrap_or(0)
}

/// All counters and gauges as `name=value` pairs, sorted by name.
pub fn render() -> String {
    let all = COUNTERS.lock().unwrap();
    all.iter().map(|(k, v)| format!("{k}={v}")).collect::<Vec<_>>().join(" ")
}

/// Logs the counters in one line and what `node` sent to others in a second one, if the sum of the
/// counters has changed since the last report.
pub fn report(node: &str, sent: &str) {
    let sum: u64 = COUNTERS.lock().unwrap().values().sum();
    if REPORTED_SUM.swap(sum, Ordering::Relaxed) != sum {
        change!("counters {node} {}", render());
        change!("sent {node} {sent}");
    }
}
