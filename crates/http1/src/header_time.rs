//! Times in headers, as other machines write them: whatever they hold, reading them is safe.

use std::time::Duration;

/// The most digits of a time in whole seconds.
const SECONDS_DIGITS: usize = 9;

/// A time in whole seconds; `None` for anything but a few digits.
pub fn whole_seconds(text: &str) -> Option<Duration> {
    let is_number = !text.is_empty() && text.len() <= SECONDS_DIGITS && text.bytes().all(|b| b.is_ascii_digit());
    is_number.then(|| text.parse().ok().map(Duration::from_secs)).flatten()
}

/// A time in milliseconds, with or without a fraction, below `limit_ms`; `None` for anything else,
/// as what is negative, infinite or no number.
pub fn milliseconds(text: &str, limit_ms: f64) -> Option<f64> {
    text.parse::<f64>().ok().filter(|time| (0.0..limit_ms).contains(time))
}

/// For how long a server keeps a connection by its `Keep-Alive`; `None` if it does not say so in
/// whole seconds, once.
pub fn keep_alive_timeout(value: &str) -> Option<Duration> {
    let parameter = |part: &'_ str| {
        let (name, time) = part.split_once('=')?;
        name.trim().eq_ignore_ascii_case("timeout").then(|| whole_seconds(time.trim()))
    };
    let mut times = value.split([',', ';']).filter_map(parameter);
    let time = times.next()??;
    times.next().is_none().then_some(time)
}
