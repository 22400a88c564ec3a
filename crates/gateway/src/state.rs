//! The mutable state of a gateway, behind one lock that is held only briefly.

use agent::ClusterView;
use balance::{Balancer, EjectionBackoff, LeasedBuckets, Processor, SendResult};
use config::Settings;
use proxy::{ClientRequest, RetryBudget, Target};
use rpc::messages::ZoneUse;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// `quietMs` divided by this is the duration of the first ejection of a processor.
const INITIAL_EJECTION_DIVISOR: f64 = 10.0;
/// `quietMs` divided by this is the longest ejection of a processor.
const MAX_EJECTION_DIVISOR: f64 = 1.5;

/// The state of one gateway.
pub(crate) struct GatewayState {
    pub(crate) balancer: Balancer,
    pub(crate) retry_budget: RetryBudget,
    /// Token buckets of the cold processors that this gateway may send to.
    pub(crate) cold_buckets: LeasedBuckets,
    /// The known number of gateways that share the retry budget.
    gateways: usize,
    /// The version of the membership that was applied last.
    applied_membership: u64,
}

impl GatewayState {
    pub(crate) fn new(settings: &Settings) -> GatewayState {
        let constraints = &settings.constraints;
        let backoff = EjectionBackoff {
            initial_ms: (constraints.quiet_ms / INITIAL_EJECTION_DIVISOR) as u64,
            max_ms: (constraints.quiet_ms / MAX_EJECTION_DIVISOR) as u64,
        };
        let window = Duration::from_secs_f64(constraints.retry_window_s.max(0.1));
        GatewayState {
            balancer: Balancer::new(&settings.zone, backoff),
            retry_budget: RetryBudget::new(constraints.retry_ratio, window, Instant::now()),
            cold_buckets: LeasedBuckets::default(),
            gateways: 1,
            applied_membership: 0,
        }
    }

    /// Applies the nodes and processors of a view if its membership version has changed.
    pub(crate) fn apply_view(&mut self, view: &ClusterView, settings: &Settings) {
        let membership = &view.membership;
        if membership.version == self.applied_membership {
            return;
        }
        self.applied_membership = membership.version;
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

    /// Selects a processor for a request and records the send. Processors that may have run the
    /// request before are selected last.
    pub(crate) fn begin(&mut self, view: &ClusterView, request: &ClientRequest<'_>, now_ms: u64) -> Option<Target> {
        let cold_per_s = view.configuration.service(&request.service).map_or(0.0, |service| service.cold_per_s);
        let may_be_cold = |processor: &Processor| {
            processor.is_cold
                || view.assignments.zone_use(&processor.zone, view.membership.version) == ZoneUse::Returning
        };
        let has_token = |processor: &Processor| self.cold_buckets.has_token(&processor.id, cold_per_s, now_ms);
        let is_allowed = |processor: &Processor| {
            (request.zones.is_empty() || request.zones.contains(&processor.zone))
                && view.assignments.zone_use(&processor.zone, view.membership.version) != ZoneUse::Evacuated
                && (cold_per_s <= 0.0 || !may_be_cold(processor) || has_token(processor))
        };
        let is_untried =
            |processor: &Processor| is_allowed(processor) && !request.attempts().may_have_run_on(&processor.id);
        let chosen = self.balancer.choose(&request.service, now_ms, is_untried);
        let chosen = chosen.or_else(|| self.balancer.choose(&request.service, now_ms, is_allowed))?;
        let target = Target { processor: chosen.id.clone(), address: chosen.address.clone() };
        if cold_per_s > 0.0 && may_be_cold(chosen) {
            self.cold_buckets.take(&target.processor, cold_per_s, now_ms);
        }
        self.balancer.begin(&request.service, &target.processor);
        Some(target)
    }

    /// Records the result of a send.
    pub(crate) fn end(&mut self, service: &str, processor: &str, result: SendResult, now_ms: u64) {
        self.balancer.end(service, processor, result, now_ms);
    }

    /// Takes one retry from this gateway's share of the retry budget.
    pub(crate) fn take_retry(&mut self, slack: f64) -> bool {
        let slack_share = slack / self.gateways as f64;
        self.retry_budget.take_retry(slack_share, Instant::now())
    }
}
