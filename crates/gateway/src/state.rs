//! What a gateway knows and counts, behind one short lock.

use agent::ClusterView;
use balance::{Balancer, EjectionBackoff, LeasedBuckets, Processor, SendResult};
use config::Settings;
use proxy::{ClientRequest, RetryBudget, Target};
use rpc::messages::ZoneUse;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// The part of `quietMs` for which a processor is first left out, and the longest one.
const FIRST_PAUSE_PART: f64 = 10.0;
const LONGEST_PAUSE_PART: f64 = 1.5;

/// The counts of one gateway.
pub(crate) struct GatewayState {
    pub(crate) balancer: Balancer,
    pub(crate) retry_budget: RetryBudget,
    /// The cold processors that this gateway may send to, and how much.
    pub(crate) cold_buckets: LeasedBuckets,
    /// Gateways that share the retry budget, as far as is known.
    gateways: usize,
    /// The membership that the balancer was told last.
    told_membership: u64,
}

impl GatewayState {
    pub(crate) fn new(settings: &Settings) -> GatewayState {
        let constraints = &settings.constraints;
        let backoff = EjectionBackoff {
            initial_ms: (constraints.quiet_ms / FIRST_PAUSE_PART) as u64,
            max_ms: (constraints.quiet_ms / LONGEST_PAUSE_PART) as u64,
        };
        let window = Duration::from_secs_f64(constraints.retry_window_s.max(0.1));
        GatewayState {
            balancer: Balancer::new(&settings.zone, backoff),
            retry_budget: RetryBudget::new(constraints.retry_ratio, window, Instant::now()),
            cold_buckets: LeasedBuckets::default(),
            gateways: 1,
            told_membership: 0,
        }
    }

    /// Takes the members and processors of a view, if they are news.
    pub(crate) fn learn(&mut self, view: &ClusterView, settings: &Settings) {
        let membership = &view.membership;
        if membership.version == self.told_membership {
            return;
        }
        self.told_membership = membership.version;
        let gateways = || membership.nodes.iter().filter(|node| node.role == settings.front_role() && !node.leaving);
        self.gateways = gateways().count().max(1);
        let in_zone: Vec<&str> =
            gateways().filter(|node| node.zone == settings.zone).map(|node| node.name.as_str()).collect();
        let index = in_zone.iter().position(|name| *name == settings.node).unwrap_or(0);
        self.balancer.set_position(index, in_zone.len());
        let mut processors: HashMap<String, Vec<Processor>> = HashMap::new();
        for listed in membership.processors.iter().filter(|processor| !processor.draining) {
            processors.entry(listed.service.clone()).or_default().push(Processor {
                id: listed.id.clone(),
                address: listed.address.clone(),
                zone: listed.zone.clone(),
                capacity: listed.capacity,
                is_cold: listed.cold,
            });
        }
        self.balancer.set_processors(processors);
    }

    /// Chooses a processor for a request and counts it as sent there. Those that had it before
    /// are chosen last.
    pub(crate) fn begin(&mut self, view: &ClusterView, ask: &ClientRequest<'_>, now_ms: u64) -> Option<Target> {
        let cold_per_s = view.configuration.service(&ask.service).map_or(0.0, |service| service.cold_per_s);
        let may_be_cold = |processor: &Processor| {
            processor.is_cold
                || view.assignments.zone_use(&processor.zone, view.membership.version) == ZoneUse::Returning
        };
        let has_token = |processor: &Processor| self.cold_buckets.has_token(&processor.id, cold_per_s, now_ms);
        let is_allowed = |processor: &Processor| {
            (ask.zones.is_empty() || ask.zones.contains(&processor.zone))
                && view.assignments.zone_use(&processor.zone, view.membership.version) != ZoneUse::Evacuated
                && (cold_per_s <= 0.0 || !may_be_cold(processor) || has_token(processor))
        };
        let is_new = |processor: &Processor| is_allowed(processor) && !ask.attempts().may_have_run_on(&processor.id);
        let chosen = self.balancer.choose(&ask.service, now_ms, is_new);
        let chosen = chosen.or_else(|| self.balancer.choose(&ask.service, now_ms, is_allowed))?;
        let target = Target { processor: chosen.id.clone(), address: chosen.address.clone() };
        if cold_per_s > 0.0 && may_be_cold(chosen) {
            self.cold_buckets.take(&target.processor, cold_per_s, now_ms);
        }
        self.balancer.begin(&ask.service, &target.processor);
        Some(target)
    }

    /// A send has ended.
    pub(crate) fn end(&mut self, service: &str, processor: &str, end: SendResult, now_ms: u64) {
        self.balancer.end(service, processor, end, now_ms);
    }

    /// Takes one of the repeats that are allowed to this gateway.
    pub(crate) fn take_retry(&mut self, slack: f64) -> bool {
        let own_slack = slack / self.gateways as f64;
        self.retry_budget.take_retry(own_slack, Instant::now())
    }
}
