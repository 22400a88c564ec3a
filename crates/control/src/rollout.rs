//! Evaluation of roll-outs: compares the new version of a service with the old one.

use rpc::messages::{Rollout, Sample};
use std::collections::HashMap;

#[derive(Clone, Copy, Default, Debug)]
struct RunStats {
    good: f64,
    bad: f64,
    /// The sum of the durations of good runs, in milliseconds.
    ms: f64,
}

impl RunStats {
    fn runs(&self) -> f64 {
        self.good + self.bad
    }
    fn failure_ratio(&self) -> f64 {
        if self.runs() > 0.0 { self.bad / self.runs() } else { 0.0 }
    }
    fn mean_ms(&self) -> f64 {
        if self.good > 0.0 { self.ms / self.good } else { 0.0 }
    }
}

/// Statistics of one roll-out.
#[derive(Default)]
pub struct RolloutMonitor {
    /// By route, and under an empty name for all routes together.
    new: HashMap<String, RunStats>,
    old: HashMap<String, RunStats>,
    pub sent_new: u64,
    pub sent_all: u64,
    /// Runs of the new version since its share was last raised.
    runs_since_raise: f64,
    raised_ms: u64,
    /// The log index at which the roll-out began, which identifies it; 0: not known yet.
    began: u64,
}

#[derive(Debug, PartialEq)]
pub enum RolloutDecision {
    Wait,
    /// Raise the share of the new version to this many thousandths.
    Share(u32),
    Settle,
    Revert(String),
}

/// Steps of the share, in thousandths, and the fraction of the roll-out's time from which each may
/// begin.
const SHARE_STEPS: [(u32, f64); 3] = [(250, 0.40), (600, 0.50), (1000, 0.58)];
/// The fraction of the roll-out's time from which it may settle.
const SETTLE_FROM: f64 = 0.70;
/// The mean duration relative to the old version's above which the new version is reverted. The
/// runs of a new version are packed on as few processors as possible and may wait for one another;
/// a bad version is several times slower than that.
const MAX_SLOWDOWN: f64 = 2.8;
/// Fewer failures than this on a route may be chance.
const MIN_FAILURES: f64 = 5.0;

impl RolloutMonitor {
    /// Selects the roll-out that is evaluated and discards what was counted for an earlier one.
    /// Samples added before the first call count for the roll-out of that call.
    pub fn track_rollout(&mut self, began: u64) {
        if self.began != 0 && self.began != began {
            *self = RolloutMonitor::default();
        }
        self.began = began;
    }

    /// Counts a sample for a rollout. Runs of a rejected revision, whose processors may be listed for a
    /// while longer, say nothing about the revision that was in use.
    pub fn add_sample(&mut self, rollout: &Rollout, sample: &Sample) {
        if !rollout.is_rejected(&sample.revision) {
            self.add(&rollout.target, sample);
        }
    }

    pub fn add(&mut self, target: &str, s: &Sample) {
        let is_new = s.revision == target;
        self.sent_all += s.sent as u64;
        if is_new {
            self.sent_new += s.sent as u64;
            self.runs_since_raise += (s.good + s.bad) as f64;
        }
        let side = if is_new { &mut self.new } else { &mut self.old };
        for route in [s.route.as_str(), ""] {
            let stats = side.entry(route.to_owned()).or_default();
            stats.good += s.good as f64;
            stats.bad += s.bad as f64;
            stats.ms += s.ms_sum;
        }
    }

    /// The initial share, in thousandths: 0.6 of the `exposure` that a bad version may have.
    pub fn first_share(exposure: f64) -> u32 {
        ((exposure * 600.0) as u32).clamp(5, 1000)
    }

    /// Why the new version is to be reverted, if it is. A difference in duration of less than
    /// `min_difference_ms` is attributed to the network.
    fn regression(&self, min_difference_ms: f64) -> Option<String> {
        for (route, new) in &self.new {
            let old = self.old.get(route).copied().unwrap_or_default();
            let allowed = (3.0 * old.failure_ratio()).max(old.failure_ratio() + 0.15);
            if new.bad >= MIN_FAILURES && new.failure_ratio() > allowed {
                return Some(format!(
                    "failure rate of {:.0}%, {:.0}% in the old version",
                    new.failure_ratio() * 100.0,
                    old.failure_ratio() * 100.0
                ));
            }
            let is_slower =
                new.mean_ms() > MAX_SLOWDOWN * old.mean_ms() && new.mean_ms() > old.mean_ms() + min_difference_ms;
            if new.good >= 8.0 && old.good >= 8.0 && is_slower {
                return Some(format!(
                    "mean duration of {:.0} ms, {:.0} ms in the old version",
                    new.mean_ms(),
                    old.mean_ms()
                ));
            }
        }
        None
    }

    /// The next step of a roll-out. The full share must have been held for `full_share_ms` before
    /// the roll-out settles.
    pub fn decide(&mut self, r: &Rollout, now_ms: u64, full_share_ms: u64, min_difference_ms: f64) -> RolloutDecision {
        if let Some(why) = self.regression(min_difference_ms) {
            return RolloutDecision::Revert(why);
        }
        let elapsed_fraction = now_ms.saturating_sub(r.began_ms) as f64 / r.within_ms.max(1) as f64;
        if r.share >= 1000 {
            let is_held = now_ms.saturating_sub(self.raised_ms) >= full_share_ms;
            return if elapsed_fraction >= SETTLE_FROM && is_held && self.runs_since_raise >= 10.0 {
                RolloutDecision::Settle
            } else {
                RolloutDecision::Wait
            };
        }
        if let Some((share, from)) = SHARE_STEPS.iter().find(|(s, _)| *s > r.share)
            && elapsed_fraction >= *from
            && self.runs_since_raise >= 10.0
        {
            self.runs_since_raise = 0.0;
            self.raised_ms = now_ms;
            return RolloutDecision::Share(*share);
        }
        RolloutDecision::Wait
    }
}
