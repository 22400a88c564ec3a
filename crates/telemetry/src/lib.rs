//! Counters and log lines. Counters come first: a line is written only when a
//! state changes, and the counters are printed from time to time as one line.

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

/// How important a log line is.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum Level {
    /// Something is wrong that an operator should see.
    Error = 0,
    /// A state has changed.
    Change = 1,
    /// Detail for the search of faults.
    Debug = 2,
}

static LEVEL: AtomicU8 = AtomicU8::new(1);

/// Sets how much is written: `error`, `change` (the default) or `debug`.
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

/// Whether lines of a level are written.
pub fn enabled(level: Level) -> bool {
    level as u8 <= LEVEL.load(Ordering::Relaxed)
}

/// Milliseconds since 1970 by the time of day.
pub fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map(|d| d.as_millis() as u64).unwrap_or(0)
}

/// Writes a line to standard error if its level is enabled.
pub fn line(level: Level, what: std::fmt::Arguments<'_>) {
    if enabled(level) {
        let ms = wall_ms();
        eprintln!("{}.{:03} {:?} {}", ms / 1000, ms % 1000, level, what);
    }
}

/// Logs a change of state.
#[macro_export]
macro_rules! change { ($($a:tt)*) => { $crate::line($crate::Level::Change, format_args!($($a)*)) } }
/// Logs an error.
#[macro_export]
macro_rules! error { ($($a:tt)*) => { $crate::line($crate::Level::Error, format_args!($($a)*)) } }
/// Logs a detail.
#[macro_export]
macro_rules! debug { ($($a:tt)*) => { $crate::line($crate::Level::Debug, format_args!($($a)*)) } }

static COUNTERS: Mutex<BTreeMap<&'static str, u64>> = Mutex::new(BTreeMap::new());
static SINCE: AtomicU64 = AtomicU64::new(0);

/// Adds to the counter of that name.
pub fn add(name: &'static str, n: u64) {
    *COUNTERS.lock().unwrap().entry(name).or_insert(0) += n;
}

/// Sets a value that is measured rather than counted.
pub fn set(name: &'static str, n: u64) {
    COUNTERS.lock().unwrap().insert(name, n);
}

/// Adds one to the counter of that name.
pub fn count(name: &'static str) {
    add(name, 1);
}

/// The value of a counter; 0 if it was never set.
pub fn get(name: &str) -> u64 {
    COUNTERS.lock().unwrap().get(name).copied().unwrap_or(0)
}

/// All counters as `name=value` pairs, in order of name.
pub fn render() -> String {
    let all = COUNTERS.lock().unwrap();
    all.iter().map(|(k, v)| format!("{k}={v}")).collect::<Vec<_>>().join(" ")
}

/// Writes the counters as one line if they moved since the last time, and what
/// was sent to others as a second one.
pub fn report(who: &str, sent: &str) {
    let sum: u64 = COUNTERS.lock().unwrap().values().sum();
    if SINCE.swap(sum, Ordering::Relaxed) != sum {
        change!("counters {who} {}", render());
        change!("sent {who} {sent}");
    }
}
