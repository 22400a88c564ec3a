//! Partition time: a per-partition clock that starts from the timestamps in the log and advances
//! with the monotonic clock of the owning replica.
//!
//! It is never behind the last record and is adjusted to cluster time only by slewing. Followers
//! track it from the time that the owner sends with its entries, so a new owner continues from the
//! previous owner's time. Only a replica whose process has started since then steps to cluster
//! time, once, before it writes its first record. Performs no I/O; maintains invariant 13 of
//! docs/design.md.

use rpc::{PARTITION_SLEW_PPM, SlewedClock, is_plausible_time};

/// All times are in milliseconds; `now` is a reading of the monotonic clock.
#[derive(Clone, Debug)]
pub enum PartitionClock {
    /// Restored from the log of an earlier process; the time elapsed since then is unknown.
    Stopped {
        /// Timestamp of the last record.
        reached_ms: u64,
    },
    /// Advances with the monotonic clock.
    Running(SlewedClock),
}

impl Default for PartitionClock {
    fn default() -> PartitionClock {
        PartitionClock::Stopped { reached_ms: 0 }
    }
}

impl PartitionClock {
    /// Raises the time to the timestamp of a record of this partition's log.
    pub fn observe_record(&mut self, at_ms: u64, now: u64) {
        match self {
            PartitionClock::Stopped { reached_ms } => *reached_ms = at_ms.max(*reached_ms),
            PartitionClock::Running(clock) => clock.advance_to(at_ms, now),
        }
    }

    /// Handles the time that the owner sent; 0 if the owner runs a release that does not send it.
    pub fn observe_owner_time(&mut self, time_ms: u64, now: u64) {
        if !is_plausible_time(time_ms) {
            return;
        }
        self.observe_record(time_ms, now);
        if let PartitionClock::Stopped { reached_ms } = *self {
            *self = PartitionClock::Running(SlewedClock::start(reached_ms, now, PARTITION_SLEW_PPM));
        }
    }

    /// Timestamp for a record that the owner writes now; `cluster_ms` is the cluster time, if
    /// known. Starts the clock if it is stopped.
    pub fn owner_time(&mut self, cluster_ms: Option<u64>, now: u64) -> u64 {
        match self {
            PartitionClock::Stopped { reached_ms } => {
                let start = cluster_ms.map_or(*reached_ms, |c| c.max(*reached_ms));
                *self = PartitionClock::Running(SlewedClock::start(start, now, PARTITION_SLEW_PPM));
                start
            }
            PartitionClock::Running(clock) => {
                if let Some(cluster) = cluster_ms {
                    clock.correct(cluster, cluster, now);
                }
                clock.time(now)
            }
        }
    }

    /// The current time; `None` while the clock is stopped.
    pub fn running_time(&self, now: u64) -> Option<u64> {
        match self {
            PartitionClock::Stopped { .. } => None,
            PartitionClock::Running(clock) => Some(clock.time(now)),
        }
    }

    /// The current time, or the timestamp of the last record while the clock is stopped.
    pub fn latest_time(&self, now: u64) -> u64 {
        match self {
            PartitionClock::Stopped { reached_ms } => *reached_ms,
            PartitionClock::Running(clock) => clock.time(now),
        }
    }

    /// The remaining correction towards cluster time, applied by slewing.
    pub fn correction_ms(&self, now: u64) -> i64 {
        match self {
            PartitionClock::Stopped { .. } => 0,
            PartitionClock::Running(clock) => clock.correction_ms(now),
        }
    }
}

/// Adds a margin to `span_ms` so that, once the result has elapsed in partition time, `span_ms` has
/// elapsed on every monotonic clock. The margin is twice the slew rate because cluster time is
/// slewed as well.
pub fn with_slew_margin(span_ms: u64) -> u64 {
    span_ms + span_ms * 2 * PARTITION_SLEW_PPM / 1_000_000 + 1
}
