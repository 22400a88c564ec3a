//! The fleet's time: the middle of what many clocks say, carried on by the steady
//! clock of the leader. Clocks step; a middle of many does not.

use std::collections::HashMap;

/// A clock as it was heard: how far ahead of this process's steady clock, and when.
#[derive(Clone, Copy)]
struct Heard {
    ahead: i64,
    at: u64,
}

pub struct ClusterClock {
    heard: HashMap<String, Heard>,
    /// How far the fleet's time is ahead of the steady clock, once that is known.
    ahead: Option<i64>,
    /// Differences up to this are what clocks and links always have.
    slack: i64,
    /// What was not heard for so long does not count.
    keep: u64,
}

impl ClusterClock {
    pub fn new(slack: u64, keep: u64) -> ClusterClock {
        ClusterClock { heard: HashMap::new(), ahead: None, slack: slack as i64, keep }
    }

    /// Begins anew: what was heard is from before.
    pub fn forget(&mut self) {
        self.heard.clear();
        self.ahead = None;
    }

    pub fn hear(&mut self, name: &str, clock_ms: u64, now: u64) {
        if clock_ms > 0 && clock_ms < i64::MAX as u64 {
            let heard = Heard { ahead: clock_ms as i64 - now as i64, at: now };
            match self.heard.get_mut(name) {
                Some(h) => *h = heard,
                None => {
                    self.heard.insert(name.to_owned(), heard);
                }
            }
        }
    }

    /// Looks at what was heard. The time is set when `wanted` clocks are known, and
    /// set anew only when the middle has gone further from it than clocks differ.
    pub fn settle(&mut self, wanted: usize, now: u64) {
        let keep = self.keep;
        self.heard.retain(|_, h| now <= h.at + keep);
        if self.heard.len() < wanted.max(1) {
            return;
        }
        let mut all: Vec<i64> = self.heard.values().map(|h| h.ahead).collect();
        let at = (all.len() - 1) / 2;
        let middle = *all.select_nth_unstable(at).1;
        match self.ahead {
            Some(a) if (a - middle).abs() <= self.slack => {}
            Some(_) => {
                telemetry::change!("the fleet's time set anew by {} clocks", self.heard.len());
                self.ahead = Some(middle);
            }
            None => self.ahead = Some(middle),
        }
    }

    /// The fleet's time; None while it is not known.
    pub fn time(&self, now: u64) -> Option<u64> {
        self.ahead.map(|a| (now as i64 + a).max(1) as u64)
    }
}
