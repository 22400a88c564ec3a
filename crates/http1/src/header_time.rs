//! Parsers of times in headers. The input is untrusted: no value may cause a panic or an overflow.

use std::time::Duration;

/// Maximum number of digits of a time in whole seconds.
const MAX_SECONDS_DIGITS: usize = 9;

/// Parses a time in whole seconds; `None` for anything but one to nine digits.
pub fn whole_seconds(text: &str) -> Option<Duration> {
    let is_number = !text.is_empty() && text.len() <= MAX_SECONDS_DIGITS && text.bytes().all(|b| b.is_ascii_digit());
    is_number.then(|| text.parse().ok().map(Duration::from_secs)).flatten()
}

/// Parses a time in milliseconds, with or without a fraction, that is below `limit_ms`; `None` for
/// anything else, such as a value that is negative, infinite or not a number.
pub fn milliseconds(text: &str, limit_ms: f64) -> Option<f64> {
    text.parse::<f64>().ok().filter(|time| (0.0..limit_ms).contains(time))
}

/// The idle time-out of a connection by the `Keep-Alive` header of its server; `None` unless there
/// is exactly one `timeout` parameter, in whole seconds.
pub fn keep_alive_timeout(value: &str) -> Option<Duration> {
    let parameter = |part: &'_ str| {
        let (name, time) = part.split_once('=')?;
        name.trim().eq_ignore_ascii_case("timeout").then(|| whole_seconds(time.trim()))
    };
    let mut times = value.split([',', ';']).filter_map(parameter);
    let time = times.next()??;
    times.next().is_none().then_some(time)
}
