//! A partition's time: what its log says has passed, carried on by the steady clock of the
//! replica that owns it.
//!
//! It is never behind the partition's last record, and corrected towards the cluster's time
//! by slewing only. A follower keeps it too, from what the owner says with its entries, so a
//! successor goes on where the owner was. Only a replica whose process began since takes the
//! cluster's time over as it stands, once, before it writes anything. Pure; keeps invariant
//! 13 of docs/design.md.

use rpc::{PARTITION_SLEW_PPM, SlewedClock, is_plausible_time};

/// All times in milliseconds; `now` is of the steady clock.
#[derive(Clone, Debug)]
pub enum PartitionClock {
    /// Read from the log of an earlier process: how long ago that was is not known here.
    Stopped {
        /// The time of the last record.
        reached_ms: u64,
    },
    /// Goes on by the steady clock.
    Running(SlewedClock),
}

impl Default for PartitionClock {
    fn default() -> PartitionClock {
        PartitionClock::Stopped { reached_ms: 0 }
    }
}

impl PartitionClock {
    /// A record of this partition's log: its time has passed.
    pub fn observe_record(&mut self, at_ms: u64, now: u64) {
        match self {
            PartitionClock::Stopped { reached_ms } => *reached_ms = at_ms.max(*reached_ms),
            PartitionClock::Running(clock) => clock.raise_to(at_ms, now),
        }
    }

    /// The owner says its time; 0 if it is of a release that says none.
    pub fn observe_owner_time(&mut self, time_ms: u64, now: u64) {
        if !is_plausible_time(time_ms) {
            return;
        }
        self.observe_record(time_ms, now);
        if let PartitionClock::Stopped { reached_ms } = *self {
            *self = PartitionClock::Running(SlewedClock::start(reached_ms, now, PARTITION_SLEW_PPM));
        }
    }

    /// The time, for what the owner writes now; `cluster_ms` is the cluster's, if known.
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

    /// The time that runs here; None while it is stopped.
    pub fn running_time(&self, now: u64) -> Option<u64> {
        match self {
            PartitionClock::Stopped { .. } => None,
            PartitionClock::Running(clock) => Some(clock.time(now)),
        }
    }

    /// The latest time that the log, or the running clock, says has passed.
    pub fn latest_time(&self, now: u64) -> u64 {
        match self {
            PartitionClock::Stopped { reached_ms } => *reached_ms,
            PartitionClock::Running(clock) => clock.time(now),
        }
    }

    /// How far the time is from the cluster's, which it slews to.
    pub fn correction_ms(&self, now: u64) -> i64 {
        match self {
            PartitionClock::Stopped { .. } => 0,
            PartitionClock::Running(clock) => clock.correction_ms(now),
        }
    }
}

/// How much later than `span_ms` by a partition's time something is certain to be that long
/// ago by any steady clock: twice what slewing makes of it, as the cluster's time slews too.
pub fn with_slew_margin(span_ms: u64) -> u64 {
    span_ms + span_ms * 2 * PARTITION_SLEW_PPM / 1_000_000 + 1
}
