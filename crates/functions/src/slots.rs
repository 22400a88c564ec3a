//! Slot allocation for functions: which front holds which slot of which processor. A state
//! machine without I/O; the caller passes the current time in milliseconds.

use rpc::messages::{SlotEnd, SlotHeld, SlotRelease, SlotRequest, StartAck};
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};

/// The name of a front and its slot id; identifies a slot that is held or requested.
pub type Holder = (String, u64);

/// An action that the caller has to carry out after a call to [`SlotTable`].
#[derive(Debug, PartialEq, Clone)]
pub enum Effect {
    Grant {
        holder: Holder,
        processor: String,
        address: String,
        zone: String,
        starting: bool,
    },
    Refuse {
        holder: Holder,
        retry_ms: u64,
    },
    /// Starts a processor in one of `zones`, or in any zone if `zones` is empty.
    Start {
        service: String,
        nonce: String,
        zones: Vec<String>,
    },
    Stop {
        service: String,
        processor: String,
    },
}

/// The configured properties of a function.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FunctionConfig {
    pub slots_per_processor: usize,
    pub boot_ms: u64,
}

/// A processor in the platform's list.
#[derive(Clone, Debug)]
pub struct ListedProcessor {
    pub id: String,
    pub address: String,
    pub zone: String,
    pub draining: bool,
}

#[derive(Debug)]
struct ProcessorSlots {
    address: String,
    /// Empty if unknown.
    zone: String,
    /// Its zone is evacuated: none of its slots are granted.
    is_evacuated: bool,
    /// The holders of its slots, with the time at which each hold expires.
    holders: BTreeMap<Holder, u64>,
    /// A holder has reached it, or the platform lists it.
    is_up: bool,
    /// When its start was requested.
    start_requested_at: u64,
    /// No slot is granted before this time, because the processor did not answer.
    unavailable_until: u64,
    is_draining: bool,
    is_listed: bool,
    /// Since when none of its slots are held.
    idle_since: u64,
}

struct WaitingRequest {
    holder: Holder,
    deadline: u64,
    hold_ms: u64,
    target_start_ms: u64,
    /// The rank of the request's route; 0 is the most urgent.
    rank: u32,
    /// The zones in which the request may run; empty for any zone.
    zones: Vec<String>,
}

/// A start that was requested and not yet answered.
struct PendingStart {
    requested_at: u64,
    /// The zones in which the processor may be started; empty for any zone.
    zones: Vec<String>,
}

/// Every n-th grant goes to the request that has waited longest, whatever its rank. Otherwise the
/// most urgent requests alone could take all slots.
const OLDEST_GRANT_INTERVAL: u64 = 3;

#[derive(Default)]
struct FunctionSlots {
    /// The properties in the current configuration, or in the last one that named the function.
    config: Option<FunctionConfig>,
    /// Whether the current configuration names the function.
    is_configured: bool,
    processors: BTreeMap<String, ProcessorSlots>,
    /// Starts that were requested and not yet answered, by nonce.
    pending_starts: BTreeMap<String, PendingStart>,
    waiting: VecDeque<WaitingRequest>,
    /// Moving average of the time that a run holds a slot.
    mean_hold_ms: f64,
    /// No slot is granted before this time: fronts may hold slots that they have not reported yet.
    grants_from: u64,
    /// Number of slots granted so far.
    grant_count: u64,
    /// No start is requested before this time, because the platform had no room.
    no_starts_until: u64,
    /// Requests that were cancelled before they arrived, and until when each is remembered.
    cancelled: HashMap<Holder, u64>,
}

#[derive(Clone, Copy)]
struct RemovedProcessor {
    forget_at: u64,
    /// When to request the stop again if the processor is still listed: the earlier request was
    /// lost, or none was made.
    stop_again_at: u64,
}

/// The slots of all functions that this front owns.
pub struct SlotTable {
    node: String,
    incarnation: u64,
    last_start: u64,
    functions: HashMap<String, FunctionSlots>,
    /// Zones in which no slots are granted.
    evacuated_zones: HashSet<String>,
    /// Processors that have ended or were stopped; the platform lists them for a while longer.
    removed: HashMap<String, RemovedProcessor>,
    /// How long a new slot owner waits for the fronts to report the slots that they hold.
    settle_ms: u64,
    /// How long a processor that did not answer gets no requests.
    backoff_ms: u64,
}

impl FunctionSlots {
    fn is_in_use(&self) -> bool {
        !self.waiting.is_empty() || self.processors.values().any(|processor| !processor.holders.is_empty())
    }

    fn slots_per_processor(&self) -> usize {
        self.config.map_or(1, |config| config.slots_per_processor.max(1))
    }

    fn boot_ms(&self) -> u64 {
        self.config.map_or(1000, |config| config.boot_ms.max(1))
    }

    /// Free slots of processors in these zones that are starting, including starts that are not
    /// yet answered.
    fn starting_slots(&self, zones: &[String]) -> usize {
        let per_processor = self.slots_per_processor();
        let starting = self.processors.values().filter(|p| !p.is_up && p.is_open() && p.is_in(zones));
        let slots: usize = starting.map(|p| per_processor - p.holders.len().min(per_processor)).sum();
        slots + self.pending_starts.values().filter(|start| start.zones == zones).count() * per_processor
    }

    /// Slots, held or free, of the processors in these zones that are up.
    fn usable_slots(&self, zones: &[String], now: u64) -> usize {
        let is_usable = |p: &&ProcessorSlots| p.is_up && p.is_open() && p.is_in(zones) && p.unavailable_until <= now;
        self.processors.values().filter(is_usable).count() * self.slots_per_processor()
    }

    /// Estimated time until the earliest requested start is up.
    fn expected_wait_ms(&self, now: u64) -> u64 {
        let starting = self.processors.values().filter(|p| !p.is_up && p.is_open()).map(|p| p.start_requested_at);
        let requested_at =
            starting.chain(self.pending_starts.values().map(|start| start.requested_at)).min().unwrap_or(now);
        (requested_at + self.boot_ms() * 3 / 2).saturating_sub(now)
    }

    /// The distinct sets of zones to which waiting requests are restricted.
    fn waiting_zone_sets(&self) -> Vec<Vec<String>> {
        let mut sets: Vec<Vec<String>> = Vec::new();
        for request in &self.waiting {
            if !sets.contains(&request.zones) {
                sets.push(request.zones.clone());
            }
        }
        sets
    }

    /// Removes and returns the waiting requests whose deadline has passed.
    fn take_expired(&mut self, now: u64) -> Vec<WaitingRequest> {
        let (expired, remaining): (Vec<WaitingRequest>, Vec<WaitingRequest>) =
            std::mem::take(&mut self.waiting).into_iter().partition(|request| request.deadline <= now);
        self.waiting = remaining.into();
        expired
    }

    /// Removes the request that gets the next slot, and names the processor. It is the oldest of
    /// the most urgent requests, or the oldest of all every `OLDEST_GRANT_INTERVAL` grants.
    fn next_grant(&mut self, now: u64) -> Option<(WaitingRequest, String)> {
        let free: Vec<(Vec<String>, String)> = self
            .waiting_zone_sets()
            .into_iter()
            .filter_map(|zones| Some((zones.clone(), self.processor_with_free_slot(&zones, now)?)))
            .collect();
        let processor_for = |request: &WaitingRequest| {
            free.iter().find(|(zones, _)| *zones == request.zones).map(|(_, processor)| processor.clone())
        };
        let servable = || self.waiting.iter().enumerate().filter(|(_, request)| processor_for(request).is_some());
        let is_turn_of_oldest = (self.grant_count + 1).is_multiple_of(OLDEST_GRANT_INTERVAL);
        let next =
            if is_turn_of_oldest { servable().next() } else { servable().min_by_key(|(_, request)| request.rank) };
        let (index, processor) = next.and_then(|(index, request)| Some((index, processor_for(request)?)))?;
        self.grant_count += 1;
        Some((self.waiting.remove(index)?, processor))
    }

    /// A processor in these zones with a free slot: the fullest one, so that the others become idle
    /// and can be stopped. If no processor that is up has a free slot, the oldest one that is
    /// starting and has no holder yet: its first holder reports when it is up.
    fn processor_with_free_slot(&self, zones: &[String], now: u64) -> Option<String> {
        let per_processor = self.slots_per_processor();
        let has_free_slot = |p: &ProcessorSlots| {
            p.is_up && p.is_open() && p.is_in(zones) && p.unavailable_until <= now && p.holders.len() < per_processor
        };
        let up = self.processors.iter().filter(|(_, p)| has_free_slot(p));
        let fullest = up.max_by_key(|(_, p)| p.holders.len());
        let oldest_starting = || {
            self.processors
                .iter()
                .filter(|(_, p)| !p.is_up && p.is_open() && p.is_in(zones) && p.holders.is_empty())
                .min_by_key(|(_, p)| p.start_requested_at)
        };
        fullest.or_else(oldest_starting).map(|(id, _)| id.clone())
    }
}

impl SlotTable {
    /// An empty table of the front `node`. `settle_ms` is how long a new slot owner waits for the
    /// fronts to report the slots that they hold, and `backoff_ms` how long a processor that did
    /// not answer gets no requests.
    pub fn new(node: &str, incarnation: u64, settle_ms: u64, backoff_ms: u64) -> SlotTable {
        SlotTable {
            node: node.into(),
            incarnation,
            last_start: 0,
            functions: HashMap::new(),
            evacuated_zones: HashSet::new(),
            removed: HashMap::new(),
            settle_ms,
            backoff_ms,
        }
    }

    /// Replaces the set of evacuated zones. Slots of their processors are not granted, and the
    /// processors are stopped once they are idle.
    pub fn set_evacuated_zones(&mut self, zones: HashSet<String>, now: u64, effects: &mut Vec<Effect>) {
        if zones == self.evacuated_zones {
            return;
        }
        for processor in self.functions.values_mut().flat_map(|function| function.processors.values_mut()) {
            processor.is_evacuated = zones.contains(&processor.zone);
        }
        self.evacuated_zones = zones;
        let services: Vec<String> = self.functions.keys().cloned().collect();
        for service in services {
            self.schedule(&service, now, effects);
        }
    }

    /// For each function in this table its name, and how many processors, held slots and waiting
    /// requests it has.
    pub fn usage(&self) -> Vec<(&str, usize, usize, usize)> {
        let mut usage: Vec<(&str, usize, usize, usize)> = self
            .functions
            .iter()
            .map(|(service, function)| {
                (
                    service.as_str(),
                    function.processors.len(),
                    function.processors.values().map(|processor| processor.holders.len()).sum(),
                    function.waiting.len(),
                )
            })
            .collect();
        usage.sort_unstable();
        usage
    }

    /// Whether this table has a held slot or a waiting request of the service, even if another
    /// front owns the service by now.
    pub fn is_in_use(&self, service: &str) -> bool {
        self.functions.get(service).is_some_and(FunctionSlots::is_in_use)
    }

    /// The services of which this table has held slots or waiting requests.
    pub fn services_in_use(&self) -> impl Iterator<Item = String> {
        self.functions.iter().filter(|(_, function)| function.is_in_use()).map(|(service, _)| service.clone())
    }

    fn function(&mut self, service: &str, now: u64) -> &mut FunctionSlots {
        let grants_from = now + self.settle_ms;
        self.functions
            .entry(service.to_owned())
            .or_insert_with(|| FunctionSlots { grants_from, ..FunctionSlots::default() })
    }

    /// Sets the functions that this front owns from now on, each with the processors that the
    /// platform lists. All other functions are dropped, and their waiting requests are refused so
    /// that they go to the new slot owner. A function without a configuration was removed from it:
    /// its processors complete the requests under way, and are then stopped.
    pub fn set_functions(
        &mut self,
        owned: &HashMap<String, (Option<FunctionConfig>, Vec<ListedProcessor>)>,
        now: u64,
        effects: &mut Vec<Effect>,
    ) {
        let dropped: Vec<String> =
            self.functions.keys().filter(|service| !owned.contains_key(*service)).cloned().collect();
        for service in dropped {
            for request in self.functions.remove(&service).into_iter().flat_map(|function| function.waiting) {
                effects.push(Effect::Refuse { holder: request.holder, retry_ms: 0 });
            }
        }
        let backoff_ms = self.backoff_ms;
        self.removed.retain(|_, removed| removed.forget_at > now);
        for (service, (config, listed)) in owned {
            let removed = &mut self.removed;
            for processor in listed.iter().filter(|processor| !processor.draining) {
                // A processor that was removed here and is still listed takes up room.
                if let Some(removed) = removed.get_mut(&processor.id).filter(|removed| removed.stop_again_at <= now) {
                    removed.stop_again_at = now + 4 * backoff_ms;
                    telemetry::count("stops_again");
                    effects.push(Effect::Stop { service: service.clone(), processor: processor.id.clone() });
                }
            }
            let grants_from = now + self.settle_ms;
            if !self.functions.contains_key(service) && listed.is_empty() {
                // Nothing is listed and nothing was requested here. The settling time still
                // applies: other fronts may hold slots of processors that are not listed yet.
                let function = FunctionSlots {
                    grants_from,
                    config: *config,
                    is_configured: config.is_some(),
                    ..FunctionSlots::default()
                };
                self.functions.insert(service.clone(), function);
                continue;
            }
            let function = self
                .functions
                .entry(service.clone())
                .or_insert_with(|| FunctionSlots { grants_from, ..FunctionSlots::default() });
            function.config = config.or(function.config);
            function.is_configured = config.is_some();
            let ids: HashSet<&str> = listed.iter().map(|processor| processor.id.as_str()).collect();
            // A processor that was listed before and is not any more has ended. One that was never
            // listed may still be starting.
            function.processors.retain(|id, processor| ids.contains(id.as_str()) || !processor.is_listed);
            for listed in listed.iter().filter(|listed| !removed.contains_key(&listed.id)) {
                let processor = function
                    .processors
                    .entry(listed.id.clone())
                    .or_insert_with(|| ProcessorSlots::new(&listed.address, now));
                (processor.is_up, processor.is_listed, processor.is_draining) = (true, true, listed.draining);
                processor.is_evacuated = self.evacuated_zones.contains(&listed.zone);
                processor.zone.clone_from(&listed.zone);
            }
            self.schedule(service, now, effects);
        }
    }

    /// Handles a front's request for a slot.
    pub fn request(&mut self, request: &SlotRequest, now: u64, effects: &mut Vec<Effect>) {
        let function = self.function(&request.service, now);
        let holder = (request.front.clone(), request.slot_id);
        if function.cancelled.contains_key(&holder) {
            effects.push(Effect::Refuse { holder, retry_ms: 0 });
            return;
        }
        // A repeated request, whose answer was lost, gets the same slot or keeps a single place in
        // the queue.
        if let Some((id, processor)) =
            function.processors.iter().find(|(_, processor)| processor.holders.contains_key(&holder))
        {
            effects.push(Effect::Grant {
                holder,
                processor: id.clone(),
                address: processor.address.clone(),
                zone: processor.zone.clone(),
                starting: !processor.is_up,
            });
            return;
        }
        function.waiting.retain(|waiting| waiting.holder != holder);
        function.waiting.push_back(WaitingRequest {
            holder,
            deadline: now + u64::from(request.max_wait_ms),
            hold_ms: u64::from(request.hold_ms),
            target_start_ms: u64::from(request.target_start_ms),
            rank: request.rank,
            zones: request.zones.clone(),
        });
        self.schedule(&request.service, now, effects);
    }

    /// Handles a front's report on a slot: it is released, its request is cancelled, or its
    /// processor is up.
    pub fn release(&mut self, release: &SlotRelease, now: u64, effects: &mut Vec<Effect>) {
        let backoff_ms = self.backoff_ms;
        let Some(function) = self.functions.get_mut(&release.service) else { return };
        let boot_ms = function.boot_ms();
        let holder = (release.front.clone(), release.slot_id);
        let end = SlotEnd::try_from(release.end).unwrap_or(SlotEnd::Done);
        if release.took_ms > 0 {
            let took_ms = f64::from(release.took_ms);
            function.mean_hold_ms =
                if function.mean_hold_ms == 0.0 { took_ms } else { function.mean_hold_ms * 0.9 + took_ms * 0.1 };
        }
        if release.processor.is_empty() {
            // The front cancels its request and does not know whether a slot was granted.
            let waiting = function.waiting.len();
            function.waiting.retain(|request| request.holder != holder);
            let mut is_known = function.waiting.len() < waiting;
            for processor in function.processors.values_mut() {
                if processor.holders.remove(&holder).is_some() {
                    is_known = true;
                    if processor.holders.is_empty() {
                        processor.idle_since = now;
                    }
                }
            }
            if !is_known {
                // The request was sent on a connection that was replaced, and may still arrive.
                function.cancelled.insert(holder.clone(), now + 4 * backoff_ms);
            }
        }
        if let Some(processor) = function.processors.get_mut(&release.processor) {
            if end != SlotEnd::Started {
                processor.holders.remove(&holder);
                if processor.holders.is_empty() {
                    processor.idle_since = now;
                }
            }
            match end {
                SlotEnd::Done | SlotEnd::Started => processor.is_up = true,
                // A front holds a slot that was not granted here but, for example, by another slot
                // owner. One slot less is granted until that request can be expected to have ended.
                SlotEnd::Full => {
                    processor.holders.insert((String::new(), release.slot_id), now + (2 * boot_ms).max(backoff_ms / 2));
                }
                SlotEnd::Unresponsive => processor.unavailable_until = now + backoff_ms,
                SlotEnd::Gone => {
                    function.processors.remove(&release.processor);
                    self.removed.insert(
                        release.processor.clone(),
                        RemovedProcessor { forget_at: now + 40 * backoff_ms, stop_again_at: now + 4 * backoff_ms },
                    );
                }
            }
        }
        self.schedule(&release.service, now, effects);
    }

    /// Records a slot that a front holds and reports because this front has become the slot owner.
    pub fn record_held(&mut self, front: &str, held: &SlotHeld, now: u64) {
        if self.removed.contains_key(&held.processor) {
            return;
        }
        let is_evacuated = self.evacuated_zones.contains(&held.zone);
        let function = self.function(&held.service, now);
        let processor = function
            .processors
            .entry(held.processor.clone())
            .or_insert_with(|| ProcessorSlots::new(&held.address, now));
        if processor.zone.is_empty() {
            processor.zone.clone_from(&held.zone);
            processor.is_evacuated = is_evacuated;
        }
        processor.holders.insert((front.to_owned(), held.slot_id), now + u64::from(held.hold_ms));
    }

    /// The platform is starting the processor that `ack` names, for the request `nonce`.
    pub fn processor_started(
        &mut self,
        service: &str,
        nonce: &str,
        ack: &StartAck,
        now: u64,
        effects: &mut Vec<Effect>,
    ) {
        let Some(function) = self.functions.get_mut(service) else { return };
        let start_requested_at = function.pending_starts.remove(nonce).map_or(now, |start| start.requested_at);
        if !self.removed.contains_key(&ack.processor) {
            let (zone, is_evacuated) = (ack.zone.clone(), self.evacuated_zones.contains(&ack.zone));
            let starting =
                ProcessorSlots { start_requested_at, zone, is_evacuated, ..ProcessorSlots::new(&ack.address, now) };
            function.processors.entry(ack.processor.clone()).or_insert(starting);
        }
        self.schedule(service, now, effects);
    }

    /// A start was refused, or its outcome is unknown. `is_full` says that the platform has no
    /// room.
    pub fn start_failed(&mut self, service: &str, nonce: &str, is_full: bool, now: u64, effects: &mut Vec<Effect>) {
        let backoff_ms = self.backoff_ms;
        let Some(function) = self.functions.get_mut(service) else { return };
        function.pending_starts.remove(nonce);
        if is_full {
            function.no_starts_until = now + backoff_ms;
        }
        self.schedule(service, now, effects);
    }

    /// Frees the slots and drops the requests of all fronts that are not in `present`.
    pub fn retain_fronts(&mut self, present: &HashSet<String>, now: u64, effects: &mut Vec<Effect>) {
        let services: Vec<String> = self.functions.keys().cloned().collect();
        for service in services {
            if let Some(function) = self.functions.get_mut(&service) {
                for processor in function.processors.values_mut() {
                    processor.holders.retain(|holder, _| holder.0.is_empty() || present.contains(&holder.0));
                }
                function.waiting.retain(|request| present.contains(&request.holder.0));
            }
            self.schedule(&service, now, effects);
        }
    }

    /// Expires holds and waiting requests, and stops processors that are idle or do not come up.
    pub fn tick(&mut self, now: u64, effects: &mut Vec<Effect>) {
        let services: Vec<String> = self.functions.keys().cloned().collect();
        for service in services {
            let Some(function) = self.functions.get_mut(&service) else { continue };
            let boot_ms = function.boot_ms();
            function.cancelled.retain(|_, until| *until > now);
            for processor in function.processors.values_mut() {
                let held = processor.holders.len();
                processor.holders.retain(|_, expires_at| *expires_at > now);
                if processor.holders.len() < held {
                    telemetry::add("slots_overdue", (held - processor.holders.len()) as u64);
                }
                if processor.holders.is_empty() && held > 0 {
                    processor.idle_since = now;
                }
            }
            // A processor that does not come up in time is removed, and stopped in case it comes up
            // later.
            let is_late =
                |p: &ProcessorSlots| !p.is_up && p.holders.is_empty() && now > p.start_requested_at + 5 * boot_ms;
            let late: Vec<String> =
                function.processors.iter().filter(|(_, p)| is_late(p)).map(|(id, _)| id.clone()).collect();
            let mut to_stop = late;
            // A function that was removed from the configuration is requested again only by fronts
            // that have not received the change yet.
            let stop_after_ms = if function.is_configured { 4 * boot_ms } else { 4 * self.backoff_ms };
            let is_idle = |p: &ProcessorSlots| {
                p.is_up && !p.is_draining && p.holders.is_empty() && now > p.idle_since + stop_after_ms
            };
            if function.waiting.is_empty() {
                to_stop.extend(function.processors.iter().filter(|(_, p)| is_idle(p)).map(|(id, _)| id.clone()));
            }
            for id in to_stop {
                function.processors.remove(&id);
                let backoff_ms = self.backoff_ms;
                self.removed.insert(
                    id.clone(),
                    RemovedProcessor { forget_at: now + 40 * backoff_ms, stop_again_at: now + 4 * backoff_ms },
                );
                effects.push(Effect::Stop { service: service.clone(), processor: id });
            }
            self.schedule(&service, now, effects);
        }
    }

    /// Grants the free slots, refuses the requests whose deadline has passed or that cannot be
    /// served in time, and requests starts.
    fn schedule(&mut self, service: &str, now: u64, effects: &mut Vec<Effect>) {
        let Some(function) = self.functions.get_mut(service) else { return };
        if function.waiting.is_empty() {
            return;
        }
        for request in function.take_expired(now) {
            effects.push(Effect::Refuse { holder: request.holder, retry_ms: function.expected_wait_ms(now) });
        }
        while function.grants_from <= now
            && let Some((request, id)) = function.next_grant(now)
        {
            if let Some(processor) = function.processors.get_mut(&id) {
                processor.holders.insert(request.holder.clone(), now + request.hold_ms.max(request.deadline - now));
                effects.push(Effect::Grant {
                    holder: request.holder,
                    processor: id,
                    address: processor.address.clone(),
                    zone: processor.zone.clone(),
                    starting: !processor.is_up,
                });
            }
        }
        if function.waiting.is_empty() || function.grants_from > now {
            return;
        }
        for zones in function.waiting_zone_sets() {
            self.request_starts(service, &zones, now, effects);
        }
    }

    /// Requests the starts that are needed by the waiting requests restricted to `zones`, and
    /// refuses those that no start under way can serve in time.
    fn request_starts(&mut self, service: &str, zones: &[String], now: u64, effects: &mut Vec<Effect>) {
        let Some(function) = self.functions.get_mut(service) else { return };
        // Compares how long the last waiting request would wait for the processors that are up with
        // a quarter of the shortest target. Until a run has been measured, an eighth of the time
        // that a start takes stands in for the hold time.
        let usable = function.usable_slots(zones, now);
        let boot_ms = function.boot_ms();
        let restricted = || function.waiting.iter().filter(|request| request.zones == zones);
        let waiting = restricted().count();
        let target_start_ms = restricted().map(|request| request.target_start_ms).min().unwrap_or(boot_ms);
        let hold_ms = if function.mean_hold_ms > 0.0 { function.mean_hold_ms } else { boot_ms as f64 / 8.0 };
        let acceptable_wait_ms = (target_start_ms as f64 / 4.0).max(1.0);
        let wanted = if usable == 0 {
            waiting
        } else if waiting as f64 * hold_ms / usable as f64 > acceptable_wait_ms {
            ((waiting as f64 * hold_ms / acceptable_wait_ms) as usize).min(2 * usable).saturating_sub(usable)
        } else {
            0
        };
        let starting = function.starting_slots(zones);
        let per_processor = function.slots_per_processor();
        if function.no_starts_until <= now && wanted > starting {
            for _ in 0..(wanted - starting).div_ceil(per_processor) {
                self.last_start += 1;
                let nonce = format!("{}-{}-{:x}", self.node, self.last_start, self.incarnation);
                let nonce = nonce[nonce.len().saturating_sub(64)..].to_owned();
                function
                    .pending_starts
                    .insert(nonce.clone(), PendingStart { requested_at: now, zones: zones.to_vec() });
                effects.push(Effect::Start { service: service.to_owned(), nonce, zones: zones.to_vec() });
            }
        }
        // Refuses at once what no start under way can serve before its deadline.
        if usable == 0 {
            let ready_at =
                if function.starting_slots(zones) == 0 { u64::MAX } else { now + function.expected_wait_ms(now) };
            let (remaining, refused): (VecDeque<WaitingRequest>, VecDeque<WaitingRequest>) =
                std::mem::take(&mut function.waiting)
                    .into_iter()
                    .partition(|request| request.zones != zones || request.deadline >= ready_at);
            function.waiting = remaining;
            let retry_ms = function.expected_wait_ms(now);
            effects.extend(refused.into_iter().map(|request| Effect::Refuse { holder: request.holder, retry_ms }));
        }
    }
}

impl ProcessorSlots {
    /// Whether its slots may be granted.
    fn is_open(&self) -> bool {
        !self.is_draining && !self.is_evacuated
    }

    /// Whether it is in one of these zones; an empty list means any zone.
    fn is_in(&self, zones: &[String]) -> bool {
        zones.is_empty() || zones.contains(&self.zone)
    }

    fn new(address: &str, now: u64) -> ProcessorSlots {
        ProcessorSlots {
            address: address.to_owned(),
            zone: String::new(),
            is_evacuated: false,
            holders: BTreeMap::new(),
            is_up: false,
            start_requested_at: now,
            unavailable_until: 0,
            is_draining: false,
            is_listed: false,
            idle_since: now,
        }
    }
}
