//! The keeper of functions: who holds which slot of which processor. A state
//! machine without I/O; its clock is in milliseconds.

use dovetail::msg::{SlotAsk, SlotBack, SlotEnd, SlotHeld};
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};

/// A front and its ticket: names a slot that is held or waited for.
pub type Hand = (String, u64);

#[derive(Debug, PartialEq, Clone)]
pub enum Effect {
    Grant { hand: Hand, unit: String, address: String, starting: bool },
    Refuse { hand: Hand, retry_ms: u64 },
    Start { plant: String, nonce: String },
    Stop { plant: String, unit: String },
}

/// What a configuration says of a function.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Facts {
    pub most: usize,
    pub boot_ms: u64,
}

/// A processor as the platform lists it.
#[derive(Clone, Debug)]
pub struct Listed {
    pub id: String,
    pub address: String,
    pub draining: bool,
}

#[derive(Debug)]
struct Slots {
    address: String,
    /// By whom, and until when at the most.
    held: BTreeMap<Hand, u64>,
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
    hand: Hand,
    until: u64,
    hold: u64,
    aim: u64,
}

#[derive(Default)]
struct Cone {
    facts: Option<Facts>,
    units: BTreeMap<String, Slots>,
    /// Starts that were asked for and not answered, by nonce: since when.
    starts: BTreeMap<String, u64>,
    waits: VecDeque<Wait>,
    /// How long a slot is held by a run, about.
    hold_ms: f64,
    /// From when slots are granted: others may hold some that are not told yet.
    open: u64,
    /// When there was no room for a start.
    full: u64,
    /// Given up before they were heard of, and until when that is remembered.
    over: HashMap<Hand, u64>,
}

#[derive(Clone, Copy)]
struct Gone {
    until: u64,
    /// If it is listed still by then, its stop was lost, or nobody asked for one.
    stop_again: u64,
}

/// All functions that this front keeps.
pub struct Creel {
    me: String,
    life: u64,
    serial: u64,
    cones: HashMap<String, Cone>,
    /// Processors that are gone: the platform's list shows them for a while still.
    gone: HashMap<String, Gone>,
    /// How long a new keeper waits for what the fronts hold, and what makes a silent
    /// processor worth another try.
    settle: u64,
    shy: u64,
}

impl Cone {
    fn most(&self) -> usize {
        self.facts.map_or(1, |f| f.most.max(1))
    }

    fn boot(&self) -> u64 {
        self.facts.map_or(1000, |f| f.boot_ms.max(1))
    }

    /// Slots that come with processors that are on their way up.
    fn coming(&self) -> usize {
        let most = self.most();
        let starting: usize =
            self.units.values().filter(|u| !u.up && !u.draining).map(|u| most - u.held.len().min(most)).sum();
        starting + self.starts.len() * most
    }

    fn usable(&self, now: u64) -> usize {
        self.units.values().filter(|u| u.up && !u.draining && u.shy <= now).count() * self.most()
    }

    /// When the next slot will be there, about.
    fn ready_in(&self, now: u64) -> u64 {
        let begun = self.units.values().filter(|u| !u.up && !u.draining).map(|u| u.began);
        let begun = begun.chain(self.starts.values().copied()).min().unwrap_or(now);
        (begun + self.boot() * 3 / 2).saturating_sub(now)
    }

    /// A free slot: of the fullest processor that has one, so that others fall idle.
    /// Of one that is starting only the first: whoever has it tells when it is up.
    fn free(&self, now: u64) -> Option<String> {
        let most = self.most();
        let up = self.units.iter().filter(|(_, u)| u.up && !u.draining && u.shy <= now && u.held.len() < most);
        let best = up.max_by_key(|(_, u)| u.held.len());
        let first = || {
            self.units.iter().filter(|(_, u)| !u.up && !u.draining && u.held.is_empty()).min_by_key(|(_, u)| u.began)
        };
        best.or_else(first).map(|(id, _)| id.clone())
    }
}

impl Creel {
    pub fn new(me: &str, life: u64, settle: u64, shy: u64) -> Creel {
        Creel { me: me.into(), life, serial: 0, cones: HashMap::new(), gone: HashMap::new(), settle, shy }
    }

    /// Functions kept here, and how their slots stand: units, held, waiting.
    pub fn tallies(&self) -> Vec<(&str, usize, usize, usize)> {
        let mut all: Vec<(&str, usize, usize, usize)> = self
            .cones
            .iter()
            .map(|(n, c)| (n.as_str(), c.units.len(), c.units.values().map(|u| u.held.len()).sum(), c.waits.len()))
            .collect();
        all.sort_unstable();
        all
    }

    /// Whether anything is held or waited for here, though another may keep it.
    pub fn keeps(&self, plant: &str) -> bool {
        self.cones.get(plant).is_some_and(|c| !c.waits.is_empty() || c.units.values().any(|u| !u.held.is_empty()))
    }

    fn cone(&mut self, plant: &str, now: u64) -> &mut Cone {
        let open = now + self.settle;
        self.cones.entry(plant.to_owned()).or_insert_with(|| Cone { open, ..Cone::default() })
    }

    /// The functions that this front keeps from now on, with what the platform lists
    /// of each. What others keep is dropped, and who waits for it is sent there.
    pub fn keep(&mut self, kept: &HashMap<String, (Facts, Vec<Listed>)>, now: u64, out: &mut Vec<Effect>) {
        let gone: Vec<String> = self.cones.keys().filter(|p| !kept.contains_key(*p)).cloned().collect();
        for p in gone {
            for w in self.cones.remove(&p).into_iter().flat_map(|c| c.waits) {
                out.push(Effect::Refuse { hand: w.hand, retry_ms: 0 });
            }
        }
        let shy = self.shy;
        self.gone.retain(|_, g| g.until > now);
        for (plant, (facts, listed)) in kept {
            let gone = &mut self.gone;
            for l in listed.iter().filter(|l| !l.draining) {
                // It takes room for as long as it stands there.
                if let Some(g) = gone.get_mut(&l.id).filter(|g| g.stop_again <= now) {
                    g.stop_again = now + 4 * shy;
                    tally::count("stops_again");
                    out.push(Effect::Stop { plant: plant.clone(), unit: l.id.clone() });
                }
            }
            let open = now + self.settle;
            if !self.cones.contains_key(plant) && listed.is_empty() {
                // Nothing runs and nobody asked: nothing to remember. But others may
                // hold slots of what is not listed yet.
                self.cones.insert(plant.clone(), Cone { open, facts: Some(*facts), ..Cone::default() });
                continue;
            }
            let c = self.cones.entry(plant.clone()).or_insert_with(|| Cone { open, ..Cone::default() });
            c.facts = Some(*facts);
            let ids: HashSet<&str> = listed.iter().map(|l| l.id.as_str()).collect();
            // Was listed and is not any more: it has ended. One that was never listed
            // may be starting still.
            c.units.retain(|id, u| ids.contains(id.as_str()) || !u.listed);
            for l in listed.iter().filter(|l| !gone.contains_key(&l.id)) {
                let u = c.units.entry(l.id.clone()).or_insert_with(|| Slots::new(&l.address, now));
                (u.up, u.listed, u.draining) = (true, true, l.draining);
            }
            self.serve(plant, now, out);
        }
    }

    /// A front wants a slot.
    pub fn ask(&mut self, a: &SlotAsk, now: u64, out: &mut Vec<Effect>) {
        let c = self.cone(&a.plant, now);
        let hand = (a.front.clone(), a.ticket);
        if c.over.contains_key(&hand) {
            out.push(Effect::Refuse { hand, retry_ms: 0 });
            return;
        }
        // Asked again, as its answer was lost: the same slot, and the same wait.
        if let Some((id, u)) = c.units.iter().find(|(_, u)| u.held.contains_key(&hand)) {
            out.push(Effect::Grant { hand, unit: id.clone(), address: u.address.clone(), starting: !u.up });
            return;
        }
        c.waits.retain(|w| w.hand != hand);
        c.waits.push_back(Wait {
            hand,
            until: now + u64::from(a.patience_ms),
            hold: u64::from(a.hold_ms),
            aim: u64::from(a.aim_ms),
        });
        self.serve(&a.plant, now, out);
    }

    /// A slot comes back, or its holder says that the processor is up.
    pub fn back(&mut self, b: &SlotBack, now: u64, out: &mut Vec<Effect>) {
        let shy = self.shy;
        let Some(c) = self.cones.get_mut(&b.plant) else { return };
        let boot = c.boot();
        let hand = (b.front.clone(), b.ticket);
        let end = SlotEnd::try_from(b.end).unwrap_or(SlotEnd::Done);
        if b.took_ms > 0 {
            let took = f64::from(b.took_ms);
            c.hold_ms = if c.hold_ms == 0.0 { took } else { c.hold_ms * 0.9 + took * 0.1 };
        }
        if b.unit.is_empty() {
            // Given up by one that does not know whether it was granted.
            let waiting = c.waits.len();
            c.waits.retain(|w| w.hand != hand);
            let mut known = c.waits.len() < waiting;
            for u in c.units.values_mut() {
                if u.held.remove(&hand).is_some() {
                    known = true;
                    if u.held.is_empty() {
                        u.idle = now;
                    }
                }
            }
            if !known {
                // By a connection that was replaced the ask may come yet.
                c.over.insert(hand.clone(), now + 4 * shy);
            }
        }
        if let Some(u) = c.units.get_mut(&b.unit) {
            if end != SlotEnd::Up {
                u.held.remove(&hand);
                if u.held.is_empty() {
                    u.idle = now;
                }
            }
            match end {
                SlotEnd::Done | SlotEnd::Up => u.up = true,
                // Somebody holds a slot that was not granted here, as by another
                // keeper: one less is granted until that is over.
                SlotEnd::Full => {
                    u.held.insert((String::new(), b.ticket), now + (2 * boot).max(shy / 2));
                }
                SlotEnd::Dark => u.shy = now + shy,
                SlotEnd::Gone => {
                    c.units.remove(&b.unit);
                    self.gone.insert(b.unit.clone(), Gone { until: now + 40 * shy, stop_again: now + 4 * shy });
                }
            }
        }
        self.serve(&b.plant, now, out);
    }

    /// What a front holds, told because this one is the keeper now.
    pub fn held(&mut self, front: &str, h: &SlotHeld, now: u64) {
        if self.gone.contains_key(&h.unit) {
            return;
        }
        let c = self.cone(&h.plant, now);
        let u = c.units.entry(h.unit.clone()).or_insert_with(|| Slots::new(&h.address, now));
        u.held.insert((front.to_owned(), h.ticket), now + u64::from(h.hold_ms));
    }

    /// The platform has a processor on its way.
    pub fn started(&mut self, plant: &str, nonce: &str, unit: &str, address: &str, now: u64, out: &mut Vec<Effect>) {
        let Some(c) = self.cones.get_mut(plant) else { return };
        let began = c.starts.remove(nonce).unwrap_or(now);
        if !self.gone.contains_key(unit) {
            c.units.entry(unit.to_owned()).or_insert_with(|| Slots { began, ..Slots::new(address, now) });
        }
        self.serve(plant, now, out);
    }

    /// The platform would not, or nobody can say.
    pub fn not_started(&mut self, plant: &str, nonce: &str, full: bool, now: u64, out: &mut Vec<Effect>) {
        let shy = self.shy;
        let Some(c) = self.cones.get_mut(plant) else { return };
        c.starts.remove(nonce);
        if full {
            c.full = now + shy;
        }
        self.serve(plant, now, out);
    }

    /// Fronts that are no longer there give back what they held.
    pub fn fronts(&mut self, there: &HashSet<String>, now: u64, out: &mut Vec<Effect>) {
        let plants: Vec<String> = self.cones.keys().cloned().collect();
        for p in plants {
            if let Some(c) = self.cones.get_mut(&p) {
                for u in c.units.values_mut() {
                    u.held.retain(|h, _| h.0.is_empty() || there.contains(&h.0));
                }
                c.waits.retain(|w| there.contains(&w.hand.0));
            }
            self.serve(&p, now, out);
        }
    }

    /// What comes with time: tickets that are over, waits that are, idle processors.
    pub fn tick(&mut self, now: u64, out: &mut Vec<Effect>) {
        let plants: Vec<String> = self.cones.keys().cloned().collect();
        for p in plants {
            let Some(c) = self.cones.get_mut(&p) else { continue };
            let boot = c.boot();
            c.over.retain(|_, until| *until > now);
            for u in c.units.values_mut() {
                let before = u.held.len();
                u.held.retain(|_, until| *until > now);
                if u.held.len() < before {
                    tally::add("slots_overdue", (before - u.held.len()) as u64);
                }
                if u.held.is_empty() && before > 0 {
                    u.idle = now;
                }
            }
            // One that does not come up is given up, and stopped in case it does.
            let late = |u: &Slots| !u.up && u.held.is_empty() && now > u.began + 5 * boot;
            let late: Vec<String> = c.units.iter().filter(|(_, u)| late(u)).map(|(id, _)| id.clone()).collect();
            let mut stop = late;
            let idle = |u: &Slots| u.up && !u.draining && u.held.is_empty() && now > u.idle + 4 * boot;
            if c.waits.is_empty() {
                stop.extend(c.units.iter().filter(|(_, u)| idle(u)).map(|(id, _)| id.clone()));
            }
            for id in stop {
                c.units.remove(&id);
                let shy = self.shy;
                self.gone.insert(id.clone(), Gone { until: now + 40 * shy, stop_again: now + 4 * shy });
                out.push(Effect::Stop { plant: p.clone(), unit: id });
            }
            self.serve(&p, now, out);
        }
    }

    /// Grants what can be granted, refuses what has waited too long or cannot be
    /// served in time, and asks for starts.
    fn serve(&mut self, plant: &str, now: u64, out: &mut Vec<Effect>) {
        let Some(c) = self.cones.get_mut(plant) else { return };
        if c.waits.is_empty() {
            return;
        }
        let mut left = VecDeque::new();
        while let Some(w) = c.waits.pop_front() {
            if w.until <= now {
                out.push(Effect::Refuse { hand: w.hand, retry_ms: c.ready_in(now) });
                continue;
            }
            let unit = if c.open <= now { c.free(now) } else { None };
            let Some(id) = unit else {
                left.push_back(w);
                if c.open > now {
                    left.append(&mut c.waits);
                }
                continue;
            };
            if let Some(u) = c.units.get_mut(&id) {
                u.held.insert(w.hand.clone(), now + w.hold.max(w.until - now));
                out.push(Effect::Grant { hand: w.hand, unit: id, address: u.address.clone(), starting: !u.up });
            }
        }
        c.waits = left;
        if c.waits.is_empty() || c.open > now {
            return;
        }
        // How long the last of them would wait for the processors that are up, against
        // how long a start takes and what the aim allows.
        let (waiting, usable) = (c.waits.len(), c.usable(now));
        let boot = c.boot();
        let aim = c.waits.iter().map(|w| w.aim).min().unwrap_or(boot);
        let hold = if c.hold_ms > 0.0 { c.hold_ms } else { boot as f64 / 8.0 };
        let patience = (aim as f64 / 4.0).max(1.0);
        let wanted = if usable == 0 {
            waiting
        } else if waiting as f64 * hold / usable as f64 > patience {
            ((waiting as f64 * hold / patience) as usize).min(2 * usable).saturating_sub(usable)
        } else {
            0
        };
        let coming = c.coming();
        let most = c.most();
        if c.full <= now && wanted > coming {
            for _ in 0..(wanted - coming).div_ceil(most) {
                self.serial += 1;
                let nonce = format!("{}-{}-{:x}", self.me, self.serial, self.life);
                let nonce = nonce[nonce.len().saturating_sub(64)..].to_owned();
                c.starts.insert(nonce.clone(), now);
                out.push(Effect::Start { plant: plant.to_owned(), nonce });
            }
        }
        // What no start under way can serve in time is told at once.
        if usable == 0 {
            let ready = if c.coming() == 0 { u64::MAX } else { now + c.ready_in(now) };
            let (keep, over): (VecDeque<Wait>, VecDeque<Wait>) =
                std::mem::take(&mut c.waits).into_iter().partition(|w| w.until >= ready);
            c.waits = keep;
            let retry_ms = c.ready_in(now);
            out.extend(over.into_iter().map(|w| Effect::Refuse { hand: w.hand, retry_ms }));
        }
    }
}

impl Slots {
    fn new(address: &str, now: u64) -> Slots {
        Slots {
            address: address.to_owned(),
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
