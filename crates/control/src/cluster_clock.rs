//! The cluster's time, as the leader tells it with every lease.
//!
//! It goes on by steady clocks alone. Followers, store machines and fronts carry it on, so
//! a new leader takes it over from itself or from them. Where all of them lost power it
//! starts again at the latest time that a log says was reached: time without power does not
//! count, as nobody can tell it from a step of every clock. Clocks of the machines are heard
//! only to correct it, by slewing, towards the middle of what a quorum of them says. Pure;
//! keeps invariant 13 of docs/design.md.

use rpc::{CLUSTER_SLEW_PPM, SlewedClock, is_plausible_time};
use std::collections::HashMap;

/// A machine's clock as it was heard: how far ahead of this process's steady clock, in
/// milliseconds, and when.
#[derive(Clone, Copy, Debug)]
struct Reading {
    ahead_ms: i64,
    heard_at: u64,
}

/// A machine whose clock differs from the cluster's time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClockOff {
    /// The machine's name.
    pub node: String,
    /// How far its clock is ahead, in milliseconds.
    pub ahead_ms: i64,
}

/// All times in milliseconds; `now` is of the steady clock.
pub struct ClusterClock {
    clock: Option<SlewedClock>,
    readings: HashMap<String, Reading>,
    /// The latest time that a partition's log was said to have reached.
    reached_ms: u64,
    /// Differences up to this are what clocks and links always have.
    tolerance: u64,
    /// A reading older than this does not count.
    keep: u64,
}

impl ClusterClock {
    /// A clock that knows nothing yet.
    pub fn new(tolerance: u64, keep: u64) -> ClusterClock {
        ClusterClock { clock: None, readings: HashMap::new(), reached_ms: 0, tolerance, keep }
    }

    /// This process leads from now on: clocks that were heard before do not count. The
    /// time that it carries goes on.
    pub fn begin_term(&mut self) {
        self.readings.clear();
    }

    /// The time that another process carries; taken while none is known here.
    pub fn adopt_carried(&mut self, time_ms: u64, now: u64) {
        if self.clock.is_none() && is_plausible_time(time_ms) {
            self.start(time_ms, now);
        }
    }

    /// The time that the leader tells a follower: taken as it stands if it differs by more
    /// than the answer's way from `asked` to `now`.
    pub fn follow(&mut self, time_ms: u64, asked: u64, now: u64) {
        if !is_plausible_time(time_ms) || now < asked {
            return;
        }
        let fits = self.time(now).is_some_and(|t| time_ms <= t && t <= time_ms + (now - asked));
        if !fits {
            self.start(time_ms, now);
        }
    }

    /// A machine's own time of day.
    pub fn record_reading(&mut self, node: &str, clock_ms: u64, now: u64) {
        if is_plausible_time(clock_ms) {
            let reading = Reading { ahead_ms: clock_ms as i64 - now as i64, heard_at: now };
            self.readings.insert(node.to_owned(), reading);
        }
    }

    /// The latest time that a store machine's logs say has passed.
    pub fn record_logged(&mut self, reached_ms: u64) {
        if is_plausible_time(reached_ms) {
            self.reached_ms = self.reached_ms.max(reached_ms);
        }
    }

    /// Nobody who was heard carries the time: starts it where the logs end. `logged_ms` is
    /// what the control log says. Where no log says any, as at the first start, it is the
    /// middle of the clocks, once `quorum` of them are known.
    pub fn start_from_logs(&mut self, logged_ms: u64, quorum: usize, now: u64) {
        if self.clock.is_some() {
            return;
        }
        let reached = logged_ms.max(self.reached_ms);
        if reached > 0 {
            self.start(reached, now);
        } else if let Some(ahead) = self.agreed(quorum, now) {
            self.start((now as i64 + ahead).max(1) as u64, now);
        }
    }

    /// Corrects the time by slewing towards what `quorum` clocks agree on.
    pub fn correct(&mut self, quorum: usize, now: u64) {
        let agreed = self.agreed(quorum, now);
        let tolerance = self.tolerance;
        let Some(clock) = &mut self.clock else { return };
        let Some(ahead) = agreed else { return };
        let middle = (now as i64 + ahead).max(1) as u64;
        clock.correct(middle.saturating_sub(tolerance), middle + tolerance, now);
    }

    /// The cluster's time; None while it is not known.
    pub fn time(&self, now: u64) -> Option<u64> {
        self.clock.as_ref().map(|c| c.time(now))
    }

    /// How far the time still is from what the clocks agree on.
    pub fn correction_ms(&self, now: u64) -> i64 {
        self.clock.as_ref().map_or(0, |c| c.correction_ms(now))
    }

    /// The machines whose clocks differ by more than clocks always do, by name.
    pub fn clocks_off(&self, now: u64) -> Vec<ClockOff> {
        let Some(time) = self.time(now) else { return Vec::new() };
        let cluster_ahead = time as i64 - now as i64;
        let mut off: Vec<ClockOff> = self
            .readings
            .iter()
            .filter(|(_, r)| now <= r.heard_at + self.keep)
            .map(|(node, r)| ClockOff { node: node.clone(), ahead_ms: r.ahead_ms - cluster_ahead })
            .filter(|o| o.ahead_ms.unsigned_abs() > self.tolerance)
            .collect();
        off.sort_by(|a, b| a.node.cmp(&b.node));
        off
    }

    fn start(&mut self, time_ms: u64, now: u64) {
        self.clock = Some(SlewedClock::start(time_ms, now, CLUSTER_SLEW_PPM));
    }

    /// The middle of the clocks heard lately, if at least `quorum` of them are known.
    fn agreed(&mut self, quorum: usize, now: u64) -> Option<i64> {
        let keep = self.keep;
        self.readings.retain(|_, r| now <= r.heard_at + keep);
        if self.readings.len() < quorum.max(1) {
            return None;
        }
        let mut all: Vec<i64> = self.readings.values().map(|r| r.ahead_ms).collect();
        let middle = (all.len() - 1) / 2;
        Some(*all.select_nth_unstable(middle).1)
    }
}
