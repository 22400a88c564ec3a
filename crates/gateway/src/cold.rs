//! Leases on cold processors, for services that limit the request rate to them (`coldPerS`).

use crate::service::GatewayService;
use rpc::messages::{Node, ZoneUse};
use std::sync::Arc;
use std::time::Duration;

impl GatewayService {
    /// Renews the leases periodically while there is a cold processor with a rate limit.
    pub(crate) async fn keep_cold_leases(self: Arc<Self>) {
        let period = Duration::from_millis(self.settings.lease_ms() / 3);
        loop {
            tokio::time::sleep(period).await;
            if !self.has_limited_cold_processor() {
                continue;
            }
            let leader = self.known.borrow().leader.clone();
            let asked_ms = self.now_ms();
            let Some(lease) = agent::ask_cold_lease(&self.rpc_clients, &leader, self.node(), period).await else {
                continue;
            };
            let (now_ms, until_ms) = (self.now_ms(), asked_ms + u64::from(lease.ttl_ms));
            self.with_state(|state| state.cold_buckets.grant(&lease.processors, now_ms, until_ms));
        }
    }

    fn node(&self) -> Node {
        Node {
            name: self.settings.node.clone(),
            role: self.settings.front_role().into(),
            zone: self.settings.zone.clone(),
            region: self.settings.region.clone(),
            incarnation: self.incarnation,
            ..Node::default()
        }
    }

    fn has_limited_cold_processor(&self) -> bool {
        let known = self.known.borrow();
        let is_limited = |service: &str| known.configuration.service(service).is_some_and(|s| s.cold_per_s > 0.0);
        if !known.configuration.services.iter().any(|service| service.cold_per_s > 0.0) {
            return false;
        }
        let returning = |zone: &str| known.assignments.zone_use(zone, known.membership.version) == ZoneUse::Returning;
        let mut processors = known.membership.processors.iter();
        processors.any(|p| !p.draining && (p.cold || returning(&p.zone)) && is_limited(&p.service))
    }
}
