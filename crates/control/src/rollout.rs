//! The judge of new versions: holds the new one against the old.

use rpc::messages::{Rollout, Sample};
use std::collections::HashMap;

#[derive(Clone, Copy, Default, Debug)]
struct Tried {
    good: f64,
    bad: f64,
    ms: f64,
}

impl Tried {
    fn runs(&self) -> f64 {
        self.good + self.bad
    }
    fn bad_share(&self) -> f64 {
        if self.runs() > 0.0 { self.bad / self.runs() } else { 0.0 }
    }
    fn mean(&self) -> f64 {
        if self.good > 0.0 { self.ms / self.good } else { 0.0 }
    }
}

/// What has been seen of one roll-out.
#[derive(Default)]
pub struct RolloutMonitor {
    new: HashMap<String, Tried>,
    old: HashMap<String, Tried>,
    pub sent_new: u64,
    pub sent_all: u64,
    /// Runs of the new version since the share was last raised.
    since_raise: f64,
    raised_ms: u64,
    /// Which roll-out, by the index at which it began; 0: not known yet.
    began: u64,
}

#[derive(Debug, PartialEq)]
pub enum RolloutDecision {
    Wait,
    /// Give the new version this many thousandths.
    Share(u32),
    Settle,
    Revert(String),
}

/// Steps of the share, in thousandths, and the part of the time at which each may begin.
const STEPS: [(u32, f64); 3] = [(250, 0.40), (600, 0.50), (1000, 0.58)];
const SETTLE_FROM: f64 = 0.70;
/// A trial's runs are packed and may wait for one another; a bad version is
/// several times slower than that.
const SLOWER: f64 = 2.8;
/// Fewer failures than this on a route may be chance.
const LEAST_BAD: f64 = 5.0;

impl RolloutMonitor {
    /// Says which roll-out is judged: what was seen of an earlier one says nothing.
    /// Samples that come before the first call are of the one that is named then.
    pub fn track_rollout(&mut self, began: u64) {
        if self.began != 0 && self.began != began {
            *self = RolloutMonitor::default();
        }
        self.began = began;
    }

    pub fn add(&mut self, target: &str, s: &Sample) {
        let new = s.revision == target;
        self.sent_all += s.sent as u64;
        if new {
            self.sent_new += s.sent as u64;
            self.since_raise += (s.good + s.bad) as f64;
        }
        let side = if new { &mut self.new } else { &mut self.old };
        for route in [s.route.as_str(), ""] {
            let t = side.entry(route.to_owned()).or_default();
            t.good += s.good as f64;
            t.bad += s.bad as f64;
            t.ms += s.ms_sum;
        }
    }

    /// The first share: half of what a bad version may receive.
    pub fn first_share(exposure: f64) -> u32 {
        ((exposure * 600.0) as u32).clamp(5, 1000)
    }

    /// What is wrong, if anything. Differences of less than `least_ms` on the way
    /// are the network's, not a version's.
    fn fault(&self, least_ms: f64) -> Option<String> {
        for (route, n) in &self.new {
            let o = self.old.get(route).copied().unwrap_or_default();
            if n.bad >= LEAST_BAD && n.bad_share() > (3.0 * o.bad_share()).max(o.bad_share() + 0.15) {
                return Some(format!("{:.0}% failures against {:.0}%", n.bad_share() * 100.0, o.bad_share() * 100.0));
            }
            let slower = n.mean() > SLOWER * o.mean() && n.mean() > o.mean() + least_ms;
            if n.good >= 8.0 && o.good >= 8.0 && slower {
                return Some(format!("{:.0} ms against {:.0} ms", n.mean(), o.mean()));
            }
        }
        None
    }

    pub fn decide(&mut self, r: &Rollout, now_ms: u64, linger_ms: u64, least_ms: f64) -> RolloutDecision {
        if let Some(why) = self.fault(least_ms) {
            return RolloutDecision::Revert(why);
        }
        let part = now_ms.saturating_sub(r.began_ms) as f64 / r.within_ms.max(1) as f64;
        if r.share >= 1000 {
            let waited = now_ms.saturating_sub(self.raised_ms) >= linger_ms;
            return if part >= SETTLE_FROM && waited && self.since_raise >= 10.0 {
                RolloutDecision::Settle
            } else {
                RolloutDecision::Wait
            };
        }
        if let Some((share, from)) = STEPS.iter().find(|(s, _)| *s > r.share)
            && part >= *from
            && self.since_raise >= 10.0
        {
            self.since_raise = 0.0;
            self.raised_ms = now_ms;
            return RolloutDecision::Share(*share);
        }
        RolloutDecision::Wait
    }
}
