//! The time of day as a store machine uses it: the fleet's, as the leader tells it
//! with every lease, carried on by the steady clock in between. The machine's own
//! clock is only told to the leader; it may be off, and it may step.

/// All in milliseconds; `now` is of the steady clock.
pub struct PartitionClock {
    ahead: Option<i64>,
    /// Differences up to this are not followed, so that the time goes on evenly.
    slack: i64,
}

impl PartitionClock {
    pub fn new(slack: u64) -> PartitionClock {
        PartitionClock { ahead: None, slack: slack as i64 }
    }

    /// The leader's time, in an answer to what was asked at `asked`; 0 if it has none.
    pub fn told(&mut self, time_ms: u64, asked: u64, now: u64) {
        if time_ms == 0 || time_ms > i64::MAX as u64 || now < asked {
            return;
        }
        let way = (now - asked) as i64;
        let ahead = time_ms as i64 + way / 2 - now as i64;
        match self.ahead {
            Some(a) if (a - ahead).abs() <= self.slack + way / 2 => {}
            Some(a) => {
                telemetry::count("times_set_anew");
                telemetry::change!("the fleet's time is {} ms off here: set anew", ahead - a);
                self.ahead = Some(ahead);
            }
            None => self.ahead = Some(ahead),
        }
    }

    pub fn known(&self) -> bool {
        self.ahead.is_some()
    }

    /// None before the leader has told it.
    pub fn time(&self, now: u64) -> Option<u64> {
        self.ahead.map(|a| (now as i64 + a).max(1) as u64)
    }
}
