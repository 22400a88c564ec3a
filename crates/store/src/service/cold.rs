//! Leases on cold processors of services that limit the rate to them (`coldPerS`). The leader
//! grants each processor to one owner at a time.

use super::*;

impl StoreService {
    /// Renews the leases. Sends no requests while there is no such processor.
    pub(super) async fn keep_cold_leases(self: Arc<Self>) {
        let period = Duration::from_millis(self.settings.lease_ms() / 3);
        loop {
            tokio::time::sleep(period).await;
            if !self.has_metered_cold() {
                continue;
            }
            let leader = self.session.with_known(|known| known.leader.clone());
            let asked = self.now();
            let Some(lease) = agent::ask_cold_lease(&self.rpc_clients, &leader, self.session.me(), period).await else {
                continue;
            };
            let until = asked + u64::from(lease.ttl_ms);
            self.shared.lock().unwrap().scheduler.grant_cold(&lease.processors, self.now(), until);
            self.wake.notify_one();
        }
    }

    fn has_metered_cold(&self) -> bool {
        let configuration = self.session.with_known(|known| known.configuration.clone());
        if configuration.services.iter().all(|service| service.cold_per_s <= 0.0) {
            return false;
        }
        let is_metered = |service: &str| configuration.service(service).is_some_and(|s| s.cold_per_s > 0.0);
        self.shared.lock().unwrap().scheduler.has_metered_cold(is_metered)
    }
}
