//! The slot owner of functions: who holds which slot of which processor. A state
//! machine without I/O; its clock is in milliseconds.

use rpc::messages::{SlotEnd, SlotHeld, SlotRelease, SlotRequest, StartAck};
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};

/// A front and its slot id: names a slot that is held or waited for.
pub type Holder = (String, u64);

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
    /// `zones`: where it may be started; empty for anywhere.
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

/// What a configuration says of a function.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FunctionConfig {
    pub slots_per_processor: usize,
    pub boot_ms: u64,
}

/// A processor as the platform lists it.
#[derive(Clone, Debug)]
pub struct ListedProcessor {
    pub id: String,
    pub address: String,
    pub zone: String,
    pub draining: bool,
}

#[derive(Debug)]
struct Slots {
    address: String,
    /// Empty if it is not known.
    zone: String,
    /// Its zone is evacuated: it is granted to nobody.
    evacuated: bool,
    /// By whom, and until when at the most.
    held: BTreeMap<Holder, u64>,
    /// Somebody had an answer from it, or the platform lists it.
    up: bool,
    /// When its start was asked for.
    began: u64,
    /// Nothing is granted before that: it was silent, or fuller than was thought.
    shy: u64,
    draining: bool,
    listed: bool,
    /// Since when nobody holds a slot of it.
    idle: u64,
}

struct Wait {
    holder: Holder,
    until: u64,
    hold: u64,
    target_start: u64,
    /// Of its route; 0 is the most urgent.
    rank: u32,
    /// Where the request may run; empty for anywhere.
    zones: Vec<String>,
}

/// A start that was asked for.
struct Starting {
    since: u64,
    /// Where it may be; empty for anywhere.
    zones: Vec<String>,
}

/// One grant of so many goes to whoever has waited longest, whatever its rank: the more
/// urgent ones alone could fill all slots.
const GRANTS_TO_THE_OLDEST: u64 = 3;

#[derive(Default)]
struct FunctionSlots {
    /// What the configuration says, or said last.
    facts: Option<FunctionConfig>,
    /// Whether the configuration in force names it.
    is_configured: bool,
    processors: BTreeMap<String, Slots>,
    /// Starts that were asked for and not answered, by nonce.
    starts: BTreeMap<String, Starting>,
    waits: VecDeque<Wait>,
    /// How long a slot is held by a run, about.
    hold_ms: f64,
    /// From when slots are granted: others may hold some that are not told yet.
    open: u64,
    /// Slots granted so far.
    grants: u64,
    /// When there was no room for a start.
    full: u64,
    /// Given up before they were heard of, and until when that is remembered.
    over: HashMap<Holder, u64>,
}

#[derive(Clone, Copy)]
struct Gone {
    until: u64,
    /// If it is listed still by then, its stop was lost, or nobody asked for one.
    stop_again: u64,
}

/// All functions that this front keeps.
pub struct SlotTable {
    me: String,
    incarnation: u64,
    serial: u64,
    functions: HashMap<String, FunctionSlots>,
    /// Zones whose processors are granted to nobody.
    evacuated: HashSet<String>,
    /// Processors that are gone: the platform's list shows them for a while still.
    gone: HashMap<String, Gone>,
    /// How long a new slot owner waits for what the fronts hold, and what makes a silent
    /// processor worth another try.
    settle: u64,
    shy: u64,
}

impl FunctionSlots {
    fn is_in_use(&self) -> bool {
        !self.waits.is_empty() || self.processors.values().any(|processor| !processor.held.is_empty())
    }

    fn most(&self) -> usize {
        self.facts.map_or(1, |f| f.slots_per_processor.max(1))
    }

    fn boot(&self) -> u64 {
        self.facts.map_or(1000, |f| f.boot_ms.max(1))
    }

    /// Slots that come with processors that are on their way up in these zones.
    fn coming(&self, zones: &[String]) -> usize {
        let most = self.most();
        let starting = self.processors.values().filter(|u| !u.up && u.is_open() && u.is_in(zones));
        let slots: usize = starting.map(|u| most - u.held.len().min(most)).sum();
        slots + self.starts.values().filter(|start| start.zones == zones).count() * most
    }

    /// Slots of the processors in these zones that are up.
    fn usable(&self, zones: &[String], now: u64) -> usize {
        let usable = |u: &&Slots| u.up && u.is_open() && u.is_in(zones) && u.shy <= now;
        self.processors.values().filter(usable).count() * self.most()
    }

    /// When the next slot will be there, about.
    fn ready_in(&self, now: u64) -> u64 {
        let begun = self.processors.values().filter(|u| !u.up && u.is_open()).map(|u| u.began);
        let begun = begun.chain(self.starts.values().map(|start| start.since)).min().unwrap_or(now);
        (begun + self.boot() * 3 / 2).saturating_sub(now)
    }

    /// The sets of zones that those who wait are bound to, each once.
    fn waited_zones(&self) -> Vec<Vec<String>> {
        let mut all: Vec<Vec<String>> = Vec::new();
        for wait in &self.waits {
            if !all.contains(&wait.zones) {
                all.push(wait.zones.clone());
            }
        }
        all
    }

    /// Takes out those whose time to wait is over.
    fn take_over(&mut self, now: u64) -> Vec<Wait> {
        let (over, left): (Vec<Wait>, Vec<Wait>) =
            std::mem::take(&mut self.waits).into_iter().partition(|w| w.until <= now);
        self.waits = left.into();
        over
    }

    /// Who gets the next slot, and of which processor: the oldest of the most urgent ones, or
    /// in its turn the oldest of all.
    fn next_grant(&mut self, now: u64) -> Option<(Wait, String)> {
        let free: Vec<(Vec<String>, String)> = self
            .waited_zones()
            .into_iter()
            .filter_map(|zones| Some((zones.clone(), self.free(&zones, now)?)))
            .collect();
        let free_for = |w: &Wait| free.iter().find(|(zones, _)| *zones == w.zones).map(|(_, id)| id.clone());
        let served = || self.waits.iter().enumerate().filter(|(_, w)| free_for(w).is_some());
        let is_turn_of_oldest = (self.grants + 1).is_multiple_of(GRANTS_TO_THE_OLDEST);
        let next = if is_turn_of_oldest { served().next() } else { served().min_by_key(|(_, w)| w.rank) };
        let (at, processor) = next.and_then(|(at, w)| Some((at, free_for(w)?)))?;
        self.grants += 1;
        Some((self.waits.remove(at)?, processor))
    }

    /// A free slot in these zones: of the fullest processor that has one, so that others fall
    /// idle. Of one that is starting only the first: whoever has it tells when it is up.
    fn free(&self, zones: &[String], now: u64) -> Option<String> {
        let most = self.most();
        let is_free = |u: &Slots| u.up && u.is_open() && u.is_in(zones) && u.shy <= now && u.held.len() < most;
        let up = self.processors.iter().filter(|(_, u)| is_free(u));
        let best = up.max_by_key(|(_, u)| u.held.len());
        let first = || {
            self.processors
                .iter()
                .filter(|(_, u)| !u.up && u.is_open() && u.is_in(zones) && u.held.is_empty())
                .min_by_key(|(_, u)| u.began)
        };
        best.or_else(first).map(|(id, _)| id.clone())
    }
}

impl SlotTable {
    pub fn new(me: &str, incarnation: u64, settle: u64, shy: u64) -> SlotTable {
        SlotTable {
            me: me.into(),
            incarnation,
            serial: 0,
            functions: HashMap::new(),
            evacuated: HashSet::new(),
            gone: HashMap::new(),
            settle,
            shy,
        }
    }

    /// The zones that are evacuated now: their processors are granted to nobody, and end once
    /// they are idle.
    pub fn set_evacuated_zones(&mut self, zones: HashSet<String>, now: u64, out: &mut Vec<Effect>) {
        if zones == self.evacuated {
            return;
        }
        for processor in self.functions.values_mut().flat_map(|f| f.processors.values_mut()) {
            processor.evacuated = zones.contains(&processor.zone);
        }
        self.evacuated = zones;
        let services: Vec<String> = self.functions.keys().cloned().collect();
        for service in services {
            self.serve(&service, now, out);
        }
    }

    /// Functions kept here, and how their slots stand: units, held, waiting.
    pub fn usage(&self) -> Vec<(&str, usize, usize, usize)> {
        let mut all: Vec<(&str, usize, usize, usize)> = self
            .functions
            .iter()
            .map(|(n, c)| {
                (n.as_str(), c.processors.len(), c.processors.values().map(|u| u.held.len()).sum(), c.waits.len())
            })
            .collect();
        all.sort_unstable();
        all
    }

    /// Whether anything is held or waited for here, though another may keep it.
    pub fn is_in_use(&self, service: &str) -> bool {
        self.functions.get(service).is_some_and(FunctionSlots::is_in_use)
    }

    /// The services of which anything is held or waited for here.
    pub fn services_in_use(&self) -> impl Iterator<Item = String> {
        self.functions.iter().filter(|(_, function)| function.is_in_use()).map(|(service, _)| service.clone())
    }

    fn function(&mut self, service: &str, now: u64) -> &mut FunctionSlots {
        let open = now + self.settle;
        self.functions.entry(service.to_owned()).or_insert_with(|| FunctionSlots { open, ..FunctionSlots::default() })
    }

    /// The functions that this front keeps from now on, with what the platform lists
    /// of each. What others keep is dropped, and who waits for it is sent there.
    /// A service without facts has left the configuration: its processors serve what is
    /// under way, and are stopped.
    pub fn set_functions(
        &mut self,
        kept: &HashMap<String, (Option<FunctionConfig>, Vec<ListedProcessor>)>,
        now: u64,
        out: &mut Vec<Effect>,
    ) {
        let gone: Vec<String> = self.functions.keys().filter(|p| !kept.contains_key(*p)).cloned().collect();
        for p in gone {
            for w in self.functions.remove(&p).into_iter().flat_map(|c| c.waits) {
                out.push(Effect::Refuse { holder: w.holder, retry_ms: 0 });
            }
        }
        let shy = self.shy;
        self.gone.retain(|_, g| g.until > now);
        for (service, (facts, listed)) in kept {
            let gone = &mut self.gone;
            for l in listed.iter().filter(|l| !l.draining) {
                // It takes room for as long as it stands there.
                if let Some(g) = gone.get_mut(&l.id).filter(|g| g.stop_again <= now) {
                    g.stop_again = now + 4 * shy;
                    telemetry::count("stops_again");
                    out.push(Effect::Stop { service: service.clone(), processor: l.id.clone() });
                }
            }
            let open = now + self.settle;
            if !self.functions.contains_key(service) && listed.is_empty() {
                // Nothing runs and nobody asked: nothing to remember. But others may
                // hold slots of what is not listed yet.
                let function =
                    FunctionSlots { open, facts: *facts, is_configured: facts.is_some(), ..FunctionSlots::default() };
                self.functions.insert(service.clone(), function);
                continue;
            }
            let c = self
                .functions
                .entry(service.clone())
                .or_insert_with(|| FunctionSlots { open, ..FunctionSlots::default() });
            c.facts = facts.or(c.facts);
            c.is_configured = facts.is_some();
            let ids: HashSet<&str> = listed.iter().map(|l| l.id.as_str()).collect();
            // Was listed and is not any more: it has ended. One that was never listed
            // may be starting still.
            c.processors.retain(|id, u| ids.contains(id.as_str()) || !u.listed);
            for l in listed.iter().filter(|l| !gone.contains_key(&l.id)) {
                let u = c.processors.entry(l.id.clone()).or_insert_with(|| Slots::new(&l.address, now));
                (u.up, u.listed, u.draining) = (true, true, l.draining);
                u.evacuated = self.evacuated.contains(&l.zone);
                u.zone.clone_from(&l.zone);
            }
            self.serve(service, now, out);
        }
    }

    /// A front wants a slot.
    pub fn request(&mut self, a: &SlotRequest, now: u64, out: &mut Vec<Effect>) {
        let c = self.function(&a.service, now);
        let holder = (a.front.clone(), a.slot_id);
        if c.over.contains_key(&holder) {
            out.push(Effect::Refuse { holder, retry_ms: 0 });
            return;
        }
        // Asked again, as its answer was lost: the same slot, and the same wait.
        if let Some((id, u)) = c.processors.iter().find(|(_, u)| u.held.contains_key(&holder)) {
            out.push(Effect::Grant {
                holder,
                processor: id.clone(),
                address: u.address.clone(),
                zone: u.zone.clone(),
                starting: !u.up,
            });
            return;
        }
        c.waits.retain(|w| w.holder != holder);
        c.waits.push_back(Wait {
            holder,
            until: now + u64::from(a.patience_ms),
            hold: u64::from(a.hold_ms),
            target_start: u64::from(a.target_start_ms),
            rank: a.rank,
            zones: a.zones.clone(),
        });
        self.serve(&a.service, now, out);
    }

    /// A slot comes back, or its holder says that the processor is up.
    pub fn release(&mut self, b: &SlotRelease, now: u64, out: &mut Vec<Effect>) {
        let shy = self.shy;
        let Some(c) = self.functions.get_mut(&b.service) else { return };
        let boot = c.boot();
        let holder = (b.front.clone(), b.slot_id);
        let end = SlotEnd::try_from(b.end).unwrap_or(SlotEnd::Done);
        if b.took_ms > 0 {
            let took = f64::from(b.took_ms);
            c.hold_ms = if c.hold_ms == 0.0 { took } else { c.hold_ms * 0.9 + took * 0.1 };
        }
        if b.processor.is_empty() {
            // Given up by one that does not know whether it was granted.
            let waiting = c.waits.len();
            c.waits.retain(|w| w.holder != holder);
            let mut known = c.waits.len() < waiting;
            for u in c.processors.values_mut() {
                if u.held.remove(&holder).is_some() {
                    known = true;
                    if u.held.is_empty() {
                        u.idle = now;
                    }
                }
            }
            if !known {
                // By a connection that was replaced the ask may come yet.
                c.over.insert(holder.clone(), now + 4 * shy);
            }
        }
        if let Some(u) = c.processors.get_mut(&b.processor) {
            if end != SlotEnd::Up {
                u.held.remove(&holder);
                if u.held.is_empty() {
                    u.idle = now;
                }
            }
            match end {
                SlotEnd::Done | SlotEnd::Up => u.up = true,
                // Somebody holds a slot that was not granted here, as by another
                // slot owner: one less is granted until that is over.
                SlotEnd::Full => {
                    u.held.insert((String::new(), b.slot_id), now + (2 * boot).max(shy / 2));
                }
                SlotEnd::Dark => u.shy = now + shy,
                SlotEnd::Gone => {
                    c.processors.remove(&b.processor);
                    self.gone.insert(b.processor.clone(), Gone { until: now + 40 * shy, stop_again: now + 4 * shy });
                }
            }
        }
        self.serve(&b.service, now, out);
    }

    /// What a front holds, told because this one is the slot owner now.
    pub fn record_held(&mut self, front: &str, h: &SlotHeld, now: u64) {
        if self.gone.contains_key(&h.processor) {
            return;
        }
        let is_evacuated = self.evacuated.contains(&h.zone);
        let c = self.function(&h.service, now);
        let u = c.processors.entry(h.processor.clone()).or_insert_with(|| Slots::new(&h.address, now));
        if u.zone.is_empty() {
            u.zone.clone_from(&h.zone);
            u.evacuated = is_evacuated;
        }
        u.held.insert((front.to_owned(), h.slot_id), now + u64::from(h.hold_ms));
    }

    /// The platform has a processor on its way: that of `ack`, which names one.
    pub fn processor_started(&mut self, service: &str, nonce: &str, ack: &StartAck, now: u64, out: &mut Vec<Effect>) {
        let Some(c) = self.functions.get_mut(service) else { return };
        let began = c.starts.remove(nonce).map_or(now, |start| start.since);
        if !self.gone.contains_key(&ack.processor) {
            let (zone, evacuated) = (ack.zone.clone(), self.evacuated.contains(&ack.zone));
            let starting = Slots { began, zone, evacuated, ..Slots::new(&ack.address, now) };
            c.processors.entry(ack.processor.clone()).or_insert(starting);
        }
        self.serve(service, now, out);
    }

    /// The platform would not, or nobody can say.
    pub fn start_failed(&mut self, service: &str, nonce: &str, full: bool, now: u64, out: &mut Vec<Effect>) {
        let shy = self.shy;
        let Some(c) = self.functions.get_mut(service) else { return };
        c.starts.remove(nonce);
        if full {
            c.full = now + shy;
        }
        self.serve(service, now, out);
    }

    /// Fronts that are no longer there give back what they held.
    pub fn retain_fronts(&mut self, there: &HashSet<String>, now: u64, out: &mut Vec<Effect>) {
        let services: Vec<String> = self.functions.keys().cloned().collect();
        for p in services {
            if let Some(c) = self.functions.get_mut(&p) {
                for u in c.processors.values_mut() {
                    u.held.retain(|h, _| h.0.is_empty() || there.contains(&h.0));
                }
                c.waits.retain(|w| there.contains(&w.holder.0));
            }
            self.serve(&p, now, out);
        }
    }

    /// What comes with time: slot ids that are over, waits that are, idle processors.
    pub fn tick(&mut self, now: u64, out: &mut Vec<Effect>) {
        let services: Vec<String> = self.functions.keys().cloned().collect();
        for p in services {
            let Some(c) = self.functions.get_mut(&p) else { continue };
            let boot = c.boot();
            c.over.retain(|_, until| *until > now);
            for u in c.processors.values_mut() {
                let before = u.held.len();
                u.held.retain(|_, until| *until > now);
                if u.held.len() < before {
                    telemetry::add("slots_overdue", (before - u.held.len()) as u64);
                }
                if u.held.is_empty() && before > 0 {
                    u.idle = now;
                }
            }
            // One that does not come up is given up, and stopped in case it does.
            let late = |u: &Slots| !u.up && u.held.is_empty() && now > u.began + 5 * boot;
            let late: Vec<String> = c.processors.iter().filter(|(_, u)| late(u)).map(|(id, _)| id.clone()).collect();
            let mut stop = late;
            // What left the configuration is not asked for again, but by fronts that do not
            // know of that yet.
            let stop_after = if c.is_configured { 4 * boot } else { 4 * self.shy };
            let idle = |u: &Slots| u.up && !u.draining && u.held.is_empty() && now > u.idle + stop_after;
            if c.waits.is_empty() {
                stop.extend(c.processors.iter().filter(|(_, u)| idle(u)).map(|(id, _)| id.clone()));
            }
            for id in stop {
                c.processors.remove(&id);
                let shy = self.shy;
                self.gone.insert(id.clone(), Gone { until: now + 40 * shy, stop_again: now + 4 * shy });
                out.push(Effect::Stop { service: p.clone(), processor: id });
            }
            self.serve(&p, now, out);
        }
    }

    /// Grants what can be granted, refuses what has waited too long or cannot be
    /// served in time, and asks for starts.
    fn serve(&mut self, service: &str, now: u64, out: &mut Vec<Effect>) {
        let Some(c) = self.functions.get_mut(service) else { return };
        if c.waits.is_empty() {
            return;
        }
        for w in c.take_over(now) {
            out.push(Effect::Refuse { holder: w.holder, retry_ms: c.ready_in(now) });
        }
        while c.open <= now
            && let Some((w, id)) = c.next_grant(now)
        {
            if let Some(u) = c.processors.get_mut(&id) {
                u.held.insert(w.holder.clone(), now + w.hold.max(w.until - now));
                out.push(Effect::Grant {
                    holder: w.holder,
                    processor: id,
                    address: u.address.clone(),
                    zone: u.zone.clone(),
                    starting: !u.up,
                });
            }
        }
        if c.waits.is_empty() || c.open > now {
            return;
        }
        for zones in c.waited_zones() {
            self.ask_for_starts(service, &zones, now, out);
        }
    }

    /// Asks for as many starts as those need who wait for slots in these zones, and refuses
    /// what no start under way can serve in time.
    fn ask_for_starts(&mut self, service: &str, zones: &[String], now: u64, out: &mut Vec<Effect>) {
        let Some(c) = self.functions.get_mut(service) else { return };
        // How long the last of them would wait for the processors that are up, against
        // how long a start takes and what the aim allows.
        let usable = c.usable(zones, now);
        let boot = c.boot();
        let bound = || c.waits.iter().filter(|w| w.zones == zones);
        let waiting = bound().count();
        let target_start = bound().map(|w| w.target_start).min().unwrap_or(boot);
        let hold = if c.hold_ms > 0.0 { c.hold_ms } else { boot as f64 / 8.0 };
        let patience = (target_start as f64 / 4.0).max(1.0);
        let wanted = if usable == 0 {
            waiting
        } else if waiting as f64 * hold / usable as f64 > patience {
            ((waiting as f64 * hold / patience) as usize).min(2 * usable).saturating_sub(usable)
        } else {
            0
        };
        let coming = c.coming(zones);
        let most = c.most();
        if c.full <= now && wanted > coming {
            for _ in 0..(wanted - coming).div_ceil(most) {
                self.serial += 1;
                let nonce = format!("{}-{}-{:x}", self.me, self.serial, self.incarnation);
                let nonce = nonce[nonce.len().saturating_sub(64)..].to_owned();
                c.starts.insert(nonce.clone(), Starting { since: now, zones: zones.to_vec() });
                out.push(Effect::Start { service: service.to_owned(), nonce, zones: zones.to_vec() });
            }
        }
        // What no start under way can serve in time is told at once.
        if usable == 0 {
            let ready = if c.coming(zones) == 0 { u64::MAX } else { now + c.ready_in(now) };
            let (keep, over): (VecDeque<Wait>, VecDeque<Wait>) =
                std::mem::take(&mut c.waits).into_iter().partition(|w| w.zones != zones || w.until >= ready);
            c.waits = keep;
            let retry_ms = c.ready_in(now);
            out.extend(over.into_iter().map(|w| Effect::Refuse { holder: w.holder, retry_ms }));
        }
    }
}

impl Slots {
    /// Whether its slots may be granted.
    fn is_open(&self) -> bool {
        !self.draining && !self.evacuated
    }

    /// Whether it is in one of these zones, of which none means anywhere.
    fn is_in(&self, zones: &[String]) -> bool {
        zones.is_empty() || zones.contains(&self.zone)
    }

    fn new(address: &str, now: u64) -> Slots {
        Slots {
            address: address.to_owned(),
            zone: String::new(),
            evacuated: false,
            held: BTreeMap::new(),
            up: false,
            began: now,
            shy: 0,
            draining: false,
            listed: false,
            idle: now,
        }
    }
}
