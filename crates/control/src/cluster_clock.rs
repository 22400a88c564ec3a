//! The cluster time, which the leader sends with every lease.
//!
//! It advances by monotonic clocks alone. Followers, store machines and fronts carry it on,
//! so that a new leader continues from its own copy or from theirs. If all of them lost power,
//! it restarts at the latest time recorded in a log: time without power does not count, as it
//! cannot be told from a step of every clock. The wall clocks of the machines serve only to
//! correct it, by slewing, towards the median of a quorum of them. Does no I/O; maintains
//! invariant 13 of docs/design.md.

use rpc::{CLUSTER_SLEW_PPM, SlewedClock, is_plausible_time};
use std::collections::HashMap;

/// A reading of a machine's wall clock.
#[derive(Clone, Copy, Debug)]
struct Reading {
    /// How far it is ahead of this process's monotonic clock.
    ahead_ms: i64,
    received_at: u64,
}

/// A machine whose wall clock differs from the cluster time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClockOff {
    pub node: String,
    /// How far its clock is ahead of the cluster time; negative if it is behind.
    pub ahead_ms: i64,
}

/// All times are in milliseconds; `now` is read from the monotonic clock.
pub struct ClusterClock {
    clock: Option<SlewedClock>,
    readings: HashMap<String, Reading>,
    /// The latest time recorded in a partition's log, as store machines report it.
    logged_ms: u64,
    /// Differences up to this are normal for clocks and network delays.
    tolerance_ms: u64,
    /// Older readings are ignored.
    max_reading_age_ms: u64,
}

impl ClusterClock {
    /// A clock that does not know the time yet.
    pub fn new(tolerance_ms: u64, max_reading_age_ms: u64) -> ClusterClock {
        ClusterClock { clock: None, readings: HashMap::new(), logged_ms: 0, tolerance_ms, max_reading_age_ms }
    }

    /// This process becomes the leader: earlier readings are discarded, while the time that
    /// it carries continues.
    pub fn begin_term(&mut self) {
        self.readings.clear();
    }

    /// Adopts the time that another process carries if none is known here.
    pub fn adopt_carried(&mut self, time_ms: u64, now: u64) {
        if self.clock.is_none() && is_plausible_time(time_ms) {
            self.start(time_ms, now);
        }
    }

    /// Adopts the leader's time on a follower, unless the time here already agrees with it
    /// within the round trip from `requested_at` to `now`.
    pub fn follow(&mut self, time_ms: u64, requested_at: u64, now: u64) {
        if !is_plausible_time(time_ms) || now < requested_at {
            return;
        }
        let agrees = self.time(now).is_some_and(|t| time_ms <= t && t <= time_ms + (now - requested_at));
        if !agrees {
            self.start(time_ms, now);
        }
    }

    /// Records a machine's wall clock.
    pub fn record_reading(&mut self, node: &str, clock_ms: u64, now: u64) {
        if is_plausible_time(clock_ms) {
            let reading = Reading { ahead_ms: clock_ms as i64 - now as i64, received_at: now };
            self.readings.insert(node.to_owned(), reading);
        }
    }

    /// Records the latest time in a store machine's partition logs.
    pub fn record_logged(&mut self, logged_ms: u64) {
        if is_plausible_time(logged_ms) {
            self.logged_ms = self.logged_ms.max(logged_ms);
        }
    }

    /// Starts the time if no process has supplied a carried one: at the latest time in the
    /// logs, where `control_log_ms` is that of the control log. If no log holds a time, as at
    /// the first start, it is the median of the clocks, once `quorum` of them are known.
    pub fn start_from_logs(&mut self, control_log_ms: u64, quorum: usize, now: u64) {
        if self.clock.is_some() {
            return;
        }
        let logged_ms = control_log_ms.max(self.logged_ms);
        if logged_ms > 0 {
            self.start(logged_ms, now);
        } else if let Some(ahead) = self.median_ahead_ms(quorum, now) {
            self.start((now as i64 + ahead).max(1) as u64, now);
        }
    }

    /// Slews the time towards the median of the clocks, if `quorum` of them are known.
    pub fn correct(&mut self, quorum: usize, now: u64) {
        let median = self.median_ahead_ms(quorum, now);
        let tolerance = self.tolerance_ms;
        let Some(clock) = &mut self.clock else { return };
        let Some(ahead) = median else { return };
        let target = (now as i64 + ahead).max(1) as u64;
        clock.correct(target.saturating_sub(tolerance), target + tolerance, now);
    }

    /// The cluster time; None while it is not known.
    pub fn time(&self, now: u64) -> Option<u64> {
        self.clock.as_ref().map(|c| c.time(now))
    }

    /// The correction that has yet to be slewed in.
    pub fn correction_ms(&self, now: u64) -> i64 {
        self.clock.as_ref().map_or(0, |c| c.correction_ms(now))
    }

    /// The machines whose clocks differ by more than the tolerance, sorted by name.
    pub fn clocks_off(&self, now: u64) -> Vec<ClockOff> {
        let Some(time) = self.time(now) else { return Vec::new() };
        let cluster_ahead = time as i64 - now as i64;
        let mut off: Vec<ClockOff> = self
            .readings
            .iter()
            .filter(|(_, r)| now <= r.received_at + self.max_reading_age_ms)
            .map(|(node, r)| ClockOff { node: node.clone(), ahead_ms: r.ahead_ms - cluster_ahead })
            .filter(|o| o.ahead_ms.unsigned_abs() > self.tolerance_ms)
            .collect();
        off.sort_by(|a, b| a.node.cmp(&b.node));
        off
    }

    fn start(&mut self, time_ms: u64, now: u64) {
        self.clock = Some(SlewedClock::start(time_ms, now, CLUSTER_SLEW_PPM));
    }

    /// The median of the recent readings, relative to the monotonic clock; None if fewer than
    /// `quorum` are known.
    fn median_ahead_ms(&mut self, quorum: usize, now: u64) -> Option<i64> {
        let max_age = self.max_reading_age_ms;
        self.readings.retain(|_, r| now <= r.received_at + max_age);
        if self.readings.len() < quorum.max(1) {
            return None;
        }
        let mut all: Vec<i64> = self.readings.values().map(|r| r.ahead_ms).collect();
        let middle = (all.len() - 1) / 2;
        Some(*all.select_nth_unstable(middle).1)
    }
}
