//! Chooses the processor and the delivery node for the next message of a service.

use super::*;

impl DeliveryScheduler {
    /// The name and address of a delivery node for calls that have no processor zone to prefer.
    pub fn any_front(&self, key: &str, homes: &Homes) -> Option<(String, String)> {
        self.front(key, &self.zone, homes).map(|(n, i)| (n.to_owned(), i.to_owned()))
    }

    /// The target for the next message of a service with these homes, if one has spare capacity.
    pub fn choose(&mut self, service: &Service, homes: &Homes, now: u64) -> Option<Target> {
        if let Some(address) = &service.endpoint {
            let (load, state) = self.load(&service.name, now);
            // Only half of the connection limit is used: after a take-over, connections of
            // another delivery node may still be open.
            let half_limit = f64::from(service.conn_limit / 2) * self.share(&service.name);
            let room = if state.failures > 0 { 1 } else { (half_limit as u32).max(1) };
            if now < state.backoff_until || state.in_flight >= room || load >= service.conn_limit {
                return None;
            }
            let (front, inner) = self.front(&service.name, &self.zone, homes)?;
            return Some(Target {
                service: service.name.clone(),
                processor: service.name.clone(),
                target: String::new(),
                address: address.clone(),
                revision: String::new(),
                front: front.to_owned(),
                front_inner: inner.to_owned(),
            });
        }
        let rollout = self.assignments.rollouts.iter().find(|r| r.service == service.name);
        let (mut wants_new, mut target) = (None, "");
        if let Some(r) = rollout {
            target = &r.target;
            wants_new = match r.state.as_str() {
                "settled" => Some(true),
                "reverted" => Some(false),
                _ if r.share >= 1000 => Some(true),
                _ => {
                    let credit =
                        self.rollout_credits.get(&service.name).copied().unwrap_or(0.5) + f64::from(r.share) / 1000.0;
                    Some(credit >= 1.0)
                }
            };
        }
        let processors = self.processors_by_service.get(&service.name)?;
        let is_on_trial = rollout.is_some_and(|r| r.state == "running" && r.share < 1000);
        let mut found = if is_on_trial && wants_new == Some(true) {
            // During a rollout the few attempts at the new revision are concentrated on as few
            // processors as possible, so that faults which only appear under load are seen before
            // the share is raised.
            self.first_with_capacity(processors, now, |processor| {
                processor.revision == target && self.may_run(processor, homes)
            })
        } else {
            let is_wanted = |processor: &Processor| match (wants_new, rollout) {
                (Some(true), _) => processor.revision == target,
                (Some(false), Some(rollout)) => rollout.is_previous(&processor.revision),
                _ => true,
            };
            self.least_loaded(service, processors, now, |processor| {
                is_wanted(processor) && self.may_run(processor, homes)
            })
        };
        if found.is_none() && wants_new == Some(true) && is_on_trial {
            let is_previous_revision =
                |processor: &Processor| rollout.is_some_and(|rollout| rollout.is_previous(&processor.revision));
            found = self.least_loaded(service, processors, now, |processor| {
                is_previous_revision(processor) && self.may_run(processor, homes)
            });
        }
        let processor = found?.clone();
        if self.is_metered_cold(service, &processor) && !self.cold_buckets.take(&processor.id, service.cold_per_s, now)
        {
            return None;
        }
        if let Some(r) = rollout.filter(|r| r.state == "running") {
            let credit = self.rollout_credits.entry(service.name.clone()).or_insert(0.5);
            *credit = (*credit + f64::from(r.share) / 1000.0).min(2.0);
            if processor.revision == r.target {
                *credit -= 1.0;
            }
        }
        let (front, inner) = self.front(&processor.id, &processor.zone, homes)?;
        Some(Target {
            service: service.name.clone(),
            front: front.to_owned(),
            front_inner: inner.to_owned(),
            processor: processor.id.clone(),
            target: processor.id,
            address: processor.address,
            revision: processor.revision,
        })
    }

    fn zone_use(&self, zone: &str) -> ZoneUse {
        self.zone_uses.get(zone).copied().unwrap_or(ZoneUse::Open)
    }

    /// Whether a processor accepts new requests: it does not drain and its zone is not evacuated.
    fn is_usable(&self, processor: &Processor) -> bool {
        !processor.draining && self.zone_use(&processor.zone) != ZoneUse::Evacuated
    }

    /// Whether a processor is cold, or is in a zone returning from an evacuation, where the
    /// membership may not list it as cold yet.
    fn may_be_cold(&self, processor: &Processor) -> bool {
        processor.cold || self.zone_use(&processor.zone) == ZoneUse::Returning
    }

    /// Whether a processor may be cold and its service limits the rate to cold processors.
    fn is_metered_cold(&self, service: &Service, processor: &Processor) -> bool {
        service.cold_per_s > 0.0 && self.may_be_cold(processor)
    }

    /// Whether the cold-processor rate limit, if it applies, allows another message now.
    fn has_cold_token(&self, service: &Service, processor: &Processor, now: u64) -> bool {
        !self.is_metered_cold(service, processor) || self.cold_buckets.has_token(&processor.id, service.cold_per_s, now)
    }

    /// Whether there is any possibly cold processor whose service limits the rate to cold
    /// processors, as told by `is_metered`.
    pub fn has_metered_cold(&self, is_metered: impl Fn(&str) -> bool) -> bool {
        self.membership
            .processors
            .iter()
            .any(|processor| self.may_be_cold(processor) && !processor.draining && is_metered(&processor.service))
    }

    /// Takes in a lease on cold processors that the leader has granted to this owner.
    pub fn grant_cold(&mut self, processors: &[String], now: u64, until: u64) {
        self.cold_buckets.grant(processors, now, until);
    }

    /// Whether the homes allow the processor's region.
    fn may_run(&self, processor: &Processor, homes: &Homes) -> bool {
        !homes.is_bound() || self.regions.get(&processor.zone).is_some_and(|region| homes.allows(region))
    }

    /// The first fitting processor, by id, that has spare capacity, so that all owners choose the
    /// same one.
    fn first_with_capacity<'a>(
        &self,
        processors: &'a [Processor],
        now: u64,
        fits: impl Fn(&Processor) -> bool,
    ) -> Option<&'a Processor> {
        // Cold processors are slow for a while, which would count against the new revision.
        let is_fitting =
            |processor: &&Processor| self.is_usable(processor) && !self.may_be_cold(processor) && fits(processor);
        processors.iter().filter(is_fitting).find(|processor| {
            let (load, state) = self.load(&processor.id, now);
            now >= state.backoff_until && load < if state.failures > 0 { 1 } else { processor.capacity.max(1) }
        })
    }

    /// The least loaded fitting processor, with nearer zones preferred. Ties are broken by this
    /// owner's own search order: owners know little of each other's attempts and would otherwise
    /// all choose the same processor.
    fn least_loaded<'a>(
        &self,
        service: &Service,
        processors: &'a [Processor],
        now: u64,
        fits: impl Fn(&Processor) -> bool,
    ) -> Option<&'a Processor> {
        let mut best: Option<(f64, &Processor)> = None;
        let order = self.search_order.get(&service.name)?.iter().map(|n| &processors[*n]);
        for processor in order.filter(|processor| {
            self.is_usable(processor) && fits(processor) && self.has_cold_token(service, processor, now)
        }) {
            let (load, state) = self.load(&processor.id, now);
            let capacity = processor.capacity.max(1);
            let room = if state.failures > 0 { 1 } else { capacity };
            if now < state.backoff_until || load >= room {
                continue;
            }
            let distance_penalty = if processor.zone == self.zone {
                0.0
            } else if self.region_zones.contains(&processor.zone) {
                0.5
            } else {
                1.0
            };
            let score = f64::from(load) / f64::from(capacity)
                + distance_penalty
                + if self.may_be_cold(processor) { 0.5 } else { 0.0 };
            if best.is_none_or(|(b, _)| score < b) {
                best = Some((score, processor));
            }
        }
        best.map(|(_, processor)| processor)
    }
}
