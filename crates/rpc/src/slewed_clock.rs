//! A wall clock that is immune to steps of the system clocks.
//!
//! It is set once, advances with the monotonic clock of its process, and is corrected by slewing
//! only: during a correction it runs faster or slower than the monotonic clock by at most a fixed
//! ratio. So it never runs backwards, and a duration measured by it differs from the monotonic
//! clock's by at most that ratio. The module does no I/O: callers pass the reading of the monotonic
//! clock. It maintains invariant 13 of docs/design.md.

/// Maximum slew rate of a partition's time, in parts per million.
pub const PARTITION_SLEW_PPM: u64 = 1000;

/// Maximum slew rate of the cluster's time. It is lower than the partitions' so that they can
/// follow it, and still ten times the drift of a clock that loses four seconds a day.
pub const CLUSTER_SLEW_PPM: u64 = 500;

const NANOS_PER_MILLI: u64 = 1_000_000;

/// Upper bound on valid times, some two hundred years from now; a later one is an error.
const LATEST_MS: u64 = 1 << 43;

/// Returns whether a time reported by another process is valid; 0 means that it has none.
pub fn is_plausible_time(time_ms: u64) -> bool {
    (1..LATEST_MS).contains(&time_ms)
}

/// Times and readings of the monotonic clock (`now`) are in milliseconds.
#[derive(Clone, Debug)]
pub struct SlewedClock {
    /// The time at monotonic reading `read_at`.
    reached_nanos: u64,
    read_at: u64,
    /// The outstanding correction at `read_at`.
    correction_nanos: i64,
    slew_ppm: u64,
}

impl SlewedClock {
    /// Starts at `time_ms` when the monotonic clock reads `now`.
    pub fn start(time_ms: u64, now: u64, slew_ppm: u64) -> SlewedClock {
        SlewedClock {
            reached_nanos: time_ms.saturating_mul(NANOS_PER_MILLI),
            read_at: now,
            correction_nanos: 0,
            slew_ppm,
        }
    }

    /// Returns the time in milliseconds.
    pub fn time(&self, now: u64) -> u64 {
        self.nanos(now) / NANOS_PER_MILLI
    }

    /// Returns the outstanding correction in milliseconds; positive while the clock runs fast.
    pub fn correction_ms(&self, now: u64) -> i64 {
        let left = self.correction_nanos - self.slewed_nanos(now);
        left / NANOS_PER_MILLI as i64
    }

    /// Slews from `now` on towards the range `earliest_ms..=latest_ms`; no correction is made if
    /// the time is within it.
    pub fn correct(&mut self, earliest_ms: u64, latest_ms: u64, now: u64) {
        let reached = self.nanos(now);
        let earliest = earliest_ms.saturating_mul(NANOS_PER_MILLI);
        let latest = latest_ms.max(earliest_ms).saturating_mul(NANOS_PER_MILLI);
        let target = reached.clamp(earliest, latest);
        self.correction_nanos = signed_difference(target, reached);
        self.reached_nanos = reached;
        self.read_at = self.read_at.max(now);
    }

    /// Steps forward to `time_ms` if the time is behind it. Used for times that a log already
    /// records as passed.
    pub fn advance_to(&mut self, time_ms: u64, now: u64) {
        if time_ms > self.time(now) {
            *self = SlewedClock::start(time_ms, self.read_at.max(now), self.slew_ppm);
        }
    }

    fn nanos(&self, now: u64) -> u64 {
        let unslewed = self.reached_nanos.saturating_add(self.elapsed(now).saturating_mul(NANOS_PER_MILLI));
        unslewed.saturating_add_signed(self.slewed_nanos(now))
    }

    /// The correction applied since `read_at`.
    fn slewed_nanos(&self, now: u64) -> i64 {
        // A millisecond has 10^6 nanoseconds, so ppm times milliseconds gives nanoseconds.
        let bound = i64::try_from(self.elapsed(now).saturating_mul(self.slew_ppm)).unwrap_or(i64::MAX);
        self.correction_nanos.clamp(-bound, bound)
    }

    fn elapsed(&self, now: u64) -> u64 {
        now.saturating_sub(self.read_at)
    }
}

fn signed_difference(a: u64, b: u64) -> i64 {
    let magnitude = i64::try_from(a.abs_diff(b)).unwrap_or(i64::MAX);
    if a >= b { magnitude } else { -magnitude }
}

/// The cluster's time on a process that is not the leader: the last time received from the leader,
/// advanced by the monotonic clock.
///
/// The leader's time never steps, so a received time is adopted without slewing; clocks derived from
/// it (a partition's time) follow by slewing only.
#[derive(Clone, Debug, Default)]
pub struct CarriedTime {
    received: Option<SlewedClock>,
}

impl CarriedTime {
    /// Takes over the leader's time from an answer received at `now` to a request sent at
    /// `asked`; 0 if the leader has none. The leader read it between the two moments. It is
    /// assumed to have been read at `now`, so the carried time is late by at most the round trip
    /// and never early.
    pub fn update(&mut self, time_ms: u64, asked: u64, now: u64) {
        if !is_plausible_time(time_ms) || now < asked {
            return;
        }
        let round_trip = now - asked;
        let fits = |carried: &SlewedClock| {
            let carried = carried.time(now);
            time_ms <= carried && carried <= time_ms + round_trip
        };
        if !self.received.as_ref().is_some_and(fits) {
            self.received = Some(SlewedClock::start(time_ms, now, 0));
        }
    }

    /// Returns `None` until a time was received.
    pub fn time(&self, now: u64) -> Option<u64> {
        self.received.as_ref().map(|c| c.time(now))
    }
}
