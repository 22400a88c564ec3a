//! A time of day that no step of any clock can move.
//!
//! It starts once, goes on by the steady clock of its process, and is corrected by
//! slewing only: while a correction is under way it runs faster or slower than the steady
//! clock by no more than a fixed ratio. So it never goes back, and no duration measured by
//! it is shorter or longer than by the steady clock by more than that ratio. Pure: callers
//! pass the reading of the steady clock. Keeps invariant 13 of docs/design.md.

/// Parts in a million by which a partition's time may run fast or slow while it is
/// corrected.
pub const PARTITION_SLEW_PPM: u64 = 1000;

/// The same for the cluster's time: less, so that partitions keep up with it, and still
/// ten times the drift of a clock that loses four seconds a day.
pub const CLUSTER_SLEW_PPM: u64 = 500;

const NANOS_PER_MILLI: u64 = 1_000_000;

/// No time of day comes after this (some two hundred years from now): what says so is wrong.
const LATEST_MS: u64 = 1 << 43;

/// Whether a time that another process tells can be one; 0 says that it knows none.
pub fn is_plausible_time(time_ms: u64) -> bool {
    (1..LATEST_MS).contains(&time_ms)
}

/// Times and readings of the steady clock are in milliseconds.
#[derive(Clone, Debug)]
pub struct SlewedClock {
    /// The time reached when the steady clock read `read_at`.
    reached_nanos: u64,
    read_at: u64,
    /// What was still to be corrected then.
    correction_nanos: i64,
    slew_ppm: u64,
}

impl SlewedClock {
    /// Starts at `time_ms` when the steady clock reads `now`.
    pub fn start(time_ms: u64, now: u64, slew_ppm: u64) -> SlewedClock {
        SlewedClock {
            reached_nanos: time_ms.saturating_mul(NANOS_PER_MILLI),
            read_at: now,
            correction_nanos: 0,
            slew_ppm,
        }
    }

    /// The time in milliseconds.
    pub fn time(&self, now: u64) -> u64 {
        self.nanos(now) / NANOS_PER_MILLI
    }

    /// How far the time still is from what it is corrected to, in milliseconds; positive
    /// while it runs fast.
    pub fn correction_ms(&self, now: u64) -> i64 {
        let left = self.correction_nanos - self.slewed_nanos(now);
        left / NANOS_PER_MILLI as i64
    }

    /// Corrects towards the range from `earliest_ms` to `latest_ms`: by slewing, from now
    /// on. Inside the range nothing is corrected.
    pub fn correct(&mut self, earliest_ms: u64, latest_ms: u64, now: u64) {
        let reached = self.nanos(now);
        let earliest = earliest_ms.saturating_mul(NANOS_PER_MILLI);
        let latest = latest_ms.max(earliest_ms).saturating_mul(NANOS_PER_MILLI);
        let target = reached.clamp(earliest, latest);
        self.correction_nanos = signed_difference(target, reached);
        self.reached_nanos = reached;
        self.read_at = self.read_at.max(now);
    }

    /// Never behind `time_ms`: for what a log already says has passed.
    pub fn raise_to(&mut self, time_ms: u64, now: u64) {
        if time_ms > self.time(now) {
            *self = SlewedClock::start(time_ms, self.read_at.max(now), self.slew_ppm);
        }
    }

    fn nanos(&self, now: u64) -> u64 {
        let steady = self.reached_nanos.saturating_add(self.elapsed(now).saturating_mul(NANOS_PER_MILLI));
        steady.saturating_add_signed(self.slewed_nanos(now))
    }

    /// What was corrected since `read_at`.
    fn slewed_nanos(&self, now: u64) -> i64 {
        // A millisecond is as many nanoseconds as there are parts in a million.
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

/// The cluster's time on a process that does not lead: what the leader told last, carried
/// on by the steady clock.
///
/// The leader's time never steps, so what it tells is taken as it stands; what the process
/// measures by it (a partition's time) follows by slewing only.
#[derive(Clone, Debug, Default)]
pub struct CarriedTime {
    told: Option<SlewedClock>,
}

impl CarriedTime {
    /// The leader's time, in an answer that came at `now` to what was asked at `asked`; 0
    /// if it has none. It was read in between: the latest of the two moments is assumed,
    /// so that what is carried is late by the way at most, and never early.
    pub fn told(&mut self, time_ms: u64, asked: u64, now: u64) {
        if !is_plausible_time(time_ms) || now < asked {
            return;
        }
        let way = now - asked;
        let fits = |carried: &SlewedClock| {
            let carried = carried.time(now);
            time_ms <= carried && carried <= time_ms + way
        };
        if !self.told.as_ref().is_some_and(fits) {
            self.told = Some(SlewedClock::start(time_ms, now, 0));
        }
    }

    /// None before it was told.
    pub fn time(&self, now: u64) -> Option<u64> {
        self.told.as_ref().map(|c| c.time(now))
    }
}
