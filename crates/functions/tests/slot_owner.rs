//! The slot owner of functions: slots granted, given back, lost; starts and stops.

use functions::*;
use rpc::messages::*;
use std::collections::{BTreeMap, HashMap, HashSet};

const FACTS: FunctionConfig = FunctionConfig { slots_per_processor: 2, boot_ms: 500 };
const SETTLE: u64 = 100;

fn listed(ids: &[&str]) -> Vec<ListedProcessor> {
    ids.iter()
        .map(|i| ListedProcessor {
            id: i.to_string(),
            address: format!("10.0.0.1:{i}"),
            zone: "z".into(),
            draining: false,
        })
        .collect()
}

fn ack(processor: &str, address: &str) -> StartAck {
    let (processor, address, zone) = (processor.into(), address.into(), "z".into());
    StartAck { processor, address, zone, ..StartAck::default() }
}

/// A slot owner with its clock, and what came of its steps.
struct World {
    slot_table: SlotTable,
    now: u64,
    out: Vec<Effect>,
    slot_ids: u64,
}

impl World {
    /// A slot owner of `f`, settled, with the processors that the platform lists.
    fn new(ids: &[&str]) -> World {
        let mut w =
            World { slot_table: SlotTable::new("front-1", 7, SETTLE, 1000), now: 10_000, out: vec![], slot_ids: 0 };
        w.list(ids);
        w.pass(SETTLE);
        w
    }

    fn list(&mut self, ids: &[&str]) {
        let kept = HashMap::from([("f".to_owned(), (Some(FACTS), listed(ids)))]);
        self.slot_table.set_functions(&kept, self.now, &mut self.out);
    }

    /// The platform's list after the function has left the configuration.
    fn list_removed(&mut self, ids: &[&str]) {
        let kept = HashMap::from([("f".to_owned(), (None, listed(ids)))]);
        self.slot_table.set_functions(&kept, self.now, &mut self.out);
    }

    fn pass(&mut self, ms: u64) {
        self.now += ms;
        self.slot_table.tick(self.now, &mut self.out);
    }

    fn ask(&mut self, patience_ms: u32) -> u64 {
        self.ask_in(&[], patience_ms)
    }

    /// As `ask`, for a request that may run in these zones only.
    fn ask_in(&mut self, zones: &[&str], patience_ms: u32) -> u64 {
        self.slot_ids += 1;
        let (service, front) = ("f".to_owned(), "a".to_owned());
        let a = SlotRequest {
            service,
            front,
            slot_id: self.slot_ids,
            patience_ms,
            hold_ms: 3000,
            target_start_ms: 400,
            dark: vec![],
            rank: 0,
            zones: zones.iter().map(|zone| zone.to_string()).collect(),
        };
        self.slot_table.request(&a, self.now, &mut self.out);
        self.slot_ids
    }

    fn back(&mut self, slot_id: u64, processor: &str, end: SlotEnd) {
        let (service, front, processor) = ("f".to_owned(), "a".to_owned(), processor.to_owned());
        let b = SlotRelease { service, front, slot_id, processor, end: end as i32, took_ms: 50 };
        self.slot_table.release(&b, self.now, &mut self.out);
    }

    /// What was granted since the last look: slot id, unit, whether it is starting.
    fn granted(&mut self) -> Vec<(u64, String, bool)> {
        let all = std::mem::take(&mut self.out);
        let (grants, rest): (Vec<Effect>, Vec<Effect>) =
            all.into_iter().partition(|e| matches!(e, Effect::Grant { .. }));
        self.out = rest;
        let one = |e| match e {
            Effect::Grant { holder, processor, starting, .. } => (holder.1, processor, starting),
            _ => unreachable!(),
        };
        grants.into_iter().map(one).collect()
    }

    fn starts(&mut self) -> Vec<String> {
        let all = std::mem::take(&mut self.out);
        all.into_iter().filter_map(|e| if let Effect::Start { nonce, .. } = e { Some(nonce) } else { None }).collect()
    }
}

#[test]
fn a_cold_function_is_started_once_and_its_first_holder_opens_it() {
    let mut w = World::new(&[]);
    let (a, b) = (w.ask(2000), w.ask(2000));
    assert!(w.granted().is_empty());
    let starts = w.starts();
    assert_eq!(starts.len(), 1, "two slots come with one start");
    w.slot_table.processor_started("f", &starts[0], &ack("u1", "10.0.0.1:1"), w.now, &mut w.out);
    assert_eq!(w.granted(), [(a, "u1".into(), true)], "the first one connects until it is up");
    // The answer of a start that was asked again by the same nonce changes nothing.
    w.slot_table.processor_started("f", &starts[0], &ack("u1", "10.0.0.1:1"), w.now, &mut w.out);
    w.pass(300);
    assert!(w.granted().is_empty());
    w.back(a, "u1", SlotEnd::Up);
    assert_eq!(w.granted(), [(b, "u1".into(), false)]);
    let c = w.ask(2000);
    assert!(w.granted().is_empty(), "both slots are held");
    w.back(b, "u1", SlotEnd::Done);
    assert_eq!(w.granted(), [(c, "u1".into(), false)]);
}

#[test]
fn what_no_start_can_serve_in_time_is_told_at_once() {
    let mut w = World::new(&[]);
    w.ask(300);
    assert!(w.out.iter().any(|e| matches!(e, Effect::Refuse { retry_ms, .. } if *retry_ms > 0)), "{:?}", w.out);
    assert_eq!(w.starts().len(), 1, "the next one will find it");
}

#[test]
fn a_lost_start_is_found_in_the_list_and_nothing_runs_for_nobody() {
    let mut w = World::new(&[]);
    let a = w.ask(2000);
    let starts = w.starts();
    // No answer came of it; the platform had done it all the same.
    w.slot_table.start_failed("f", &starts[0], false, w.now, &mut w.out);
    w.list(&["u1"]);
    assert_eq!(w.granted(), [(a, "u1".into(), false)]);
    w.out.clear();
    w.back(a, "u1", SlotEnd::Done);
    w.pass(5 * FACTS.boot_ms);
    assert!(
        w.out.contains(&Effect::Stop { service: "f".into(), processor: "u1".into() }),
        "idle, so stopped: {:?}",
        w.out
    );
    // The list shows it for a while still: it is not used again.
    w.list(&["u1"]);
    w.ask(2000);
    assert!(w.granted().is_empty());
}

#[test]
fn a_new_slot_owner_waits_for_what_the_fronts_hold() {
    let mut w = World { slot_table: SlotTable::new("front-1", 7, SETTLE, 1000), now: 10_000, out: vec![], slot_ids: 0 };
    w.list(&["u1"]);
    let a = w.ask(2000);
    assert!(w.granted().is_empty(), "not before the others could tell");
    // Another front holds both slots by the former slot owner's word.
    for slot_id in [71, 72] {
        let (service, processor, address) = ("f".to_owned(), "u1".to_owned(), "10.0.0.1:u1".to_owned());
        w.slot_table.record_held(
            "b",
            &SlotHeld { service, slot_id, processor, address, hold_ms: 400, ..SlotHeld::default() },
            w.now,
        );
    }
    w.pass(SETTLE);
    assert!(w.granted().is_empty(), "both are held");
    w.pass(400);
    assert_eq!(w.granted(), [(a, "u1".into(), false)], "theirs are over");
}

#[test]
fn slots_of_a_front_that_is_gone_are_free_and_a_crashed_processor_is_not_used() {
    let mut w = World::new(&["u1", "u2"]);
    let (a, b) = (w.ask(2000), w.ask(2000));
    assert_eq!(w.granted(), [(a, "u2".into(), false), (b, "u2".into(), false)], "packed, so that the other falls idle");
    w.back(a, "u2", SlotEnd::Gone);
    let c = w.ask(2000);
    assert_eq!(w.granted(), [(c, "u1".into(), false)]);
    w.list(&["u1", "u2"]);
    let d = w.ask(2000);
    assert_eq!(w.granted(), [(d, "u1".into(), false)], "listed still, and not used");
    w.slot_table.retain_fronts(&HashSet::from(["b".to_owned()]), w.now, &mut w.out);
    let e = w.ask(2000);
    assert_eq!(w.granted(), [(e, "u1".into(), false)], "a's slots are free");
}

#[test]
fn no_processor_holds_more_than_its_slots_under_any_order() {
    for seed in 1..60u64 {
        let mut x = seed.wrapping_mul(0x9e3779b97f4a7c15);
        let mut chance = |n: u64| {
            x ^= x << 13;
            x ^= x >> 7;
            x ^= x << 17;
            x % n
        };
        let mut w = World::new(&[]);
        // What the fronts hold, and until when: a slot id runs out for them as well.
        let mut held: BTreeMap<u64, String> = BTreeMap::new();
        let mut until: HashMap<u64, u64> = HashMap::new();
        let (mut nonces, mut processors, mut served) = (Vec::new(), 0, 0);
        for _ in 0..400 {
            match chance(10) {
                0..=3 => {
                    w.ask(1500);
                }
                4..=6 => {
                    let at = chance(held.len().max(1) as u64) as usize;
                    if let Some((t, u)) = held.iter().nth(at).map(|(t, u)| (*t, u.clone())) {
                        held.remove(&t);
                        let end = [SlotEnd::Done, SlotEnd::Done, SlotEnd::Full, SlotEnd::Gone][chance(4) as usize];
                        if end == SlotEnd::Gone {
                            held.retain(|_, x| *x != u);
                        }
                        w.back(t, &u, end);
                        if chance(5) == 0 {
                            w.back(t, &u, end);
                        }
                    }
                }
                7 if !nonces.is_empty() => {
                    let n: String = nonces.swap_remove(chance(nonces.len() as u64) as usize);
                    if chance(4) == 0 {
                        w.slot_table.start_failed("f", &n, false, w.now, &mut w.out);
                    } else {
                        processors += 1;
                        w.slot_table.processor_started(
                            "f",
                            &n,
                            &ack(&format!("u{processors}"), "10.0.0.1:9"),
                            w.now,
                            &mut w.out,
                        );
                    }
                }
                _ => w.pass(chance(120)),
            }
            for e in std::mem::take(&mut w.out) {
                match e {
                    Effect::Grant { holder, processor, starting, .. } => {
                        served += 1;
                        held.insert(holder.1, processor.clone());
                        until.insert(holder.1, w.now + 3000);
                        if starting && chance(2) == 0 {
                            w.back(holder.1, &processor, SlotEnd::Up);
                        }
                    }
                    Effect::Start { nonce, .. } => nonces.push(nonce),
                    Effect::Stop { processor, .. } => held.retain(|_, u| *u != processor),
                    Effect::Refuse { .. } => {}
                }
            }
            held.retain(|t, _| until[t] > w.now);
            let mut count: HashMap<&str, usize> = HashMap::new();
            for u in held.values() {
                *count.entry(u).or_default() += 1;
            }
            assert!(count.values().all(|n| *n <= FACTS.slots_per_processor), "seed {seed}: {count:?}");
        }
        assert!(served > 20, "seed {seed}: {served} served");
    }
}

#[test]
fn a_processor_that_is_fuller_than_was_thought_is_given_less_for_a_while() {
    let mut w = World::new(&["u1"]);
    let a = w.ask(2000);
    w.granted();
    // Another slot owner's request is there: one slot less until that is over.
    w.back(a, "u1", SlotEnd::Full);
    let (b, c) = (w.ask(3000), w.ask(3000));
    assert_eq!(w.granted(), [(b, "u1".into(), false)]);
    w.pass(2 * FACTS.boot_ms);
    assert_eq!(w.granted(), [(c, "u1".into(), false)]);
}

#[test]
fn a_wait_that_is_given_up_takes_no_slot() {
    let mut w = World::new(&["u1"]);
    let (a, b) = (w.ask(2000), w.ask(2000));
    assert_eq!(w.granted().len(), 2);
    let c = w.ask(2000);
    let d = w.ask(2000);
    // c is given up while it waits, a after it was granted and before anybody knew.
    w.back(c, "", SlotEnd::Done);
    w.back(a, "", SlotEnd::Done);
    assert_eq!(w.granted(), [(d, "u1".into(), false)]);
    w.back(b, "u1", SlotEnd::Done);
    assert!(w.granted().is_empty());
}

#[test]
fn while_a_slot_owner_is_dark_the_next_one_keeps_its_functions_and_no_other_moves() {
    let node = |n: usize| Node { name: format!("front-{n}"), role: "functions".into(), ..Node::default() };
    let membership = Membership { nodes: (0..77).map(node).collect(), ..Membership::default() };
    let fronts = rpc::fronts(&membership);
    let services: Vec<String> = (0..1000).map(|n| format!("p{n}")).collect();
    let mut kept: HashMap<&str, usize> = HashMap::new();
    for p in &services {
        *kept.entry(&rpc::slot_owner(&fronts, p).expect("one").1).or_default() += 1;
    }
    assert!(kept.len() == 77 && kept.values().all(|n| *n < 40), "{kept:?}");
    for p in &services {
        let first = &rpc::slot_owner(&fronts, p).expect("one").1;
        let next = &rpc::slot_owner_but(&fronts, p, |n| n == "front-5").expect("one").1;
        assert_eq!(first != next, first == "front-5");
    }
}

/// An ask by a slot id of one's own choice.
fn ask_by(w: &mut World, slot_id: u64, patience_ms: u32) {
    let (service, front) = ("f".to_owned(), "a".to_owned());
    let a = SlotRequest {
        service,
        front,
        slot_id,
        patience_ms,
        hold_ms: 3000,
        target_start_ms: 400,
        dark: vec![],
        rank: 0,
        zones: vec![],
    };
    w.slot_table.request(&a, w.now, &mut w.out);
}

#[test]
fn a_slot_that_is_asked_for_twice_by_one_slot_id_is_one() {
    let mut w = World::new(&["u1"]);
    ask_by(&mut w, 71, 2000);
    // The answer was lost, and it is asked again: the same slot.
    ask_by(&mut w, 71, 2000);
    assert_eq!(w.granted(), [(71, "u1".into(), false), (71, "u1".into(), false)]);
    assert_eq!(w.slot_table.usage(), [("f", 1, 1, 0)]);
    w.back(71, "u1", SlotEnd::Done);
    assert_eq!(w.slot_table.usage(), [("f", 1, 0, 0)]);
    // Twice while it waits: one wait.
    for t in [72, 73, 74, 74] {
        ask_by(&mut w, t, 2000);
    }
    assert_eq!(w.slot_table.usage(), [("f", 1, 2, 1)]);
}

#[test]
fn a_wait_that_was_given_up_before_it_came_takes_no_slot() {
    let mut w = World::new(&["u1"]);
    // By a connection that was replaced the ask comes behind the word that it is over.
    w.back(71, "", SlotEnd::Done);
    ask_by(&mut w, 71, 2000);
    assert!(w.granted().is_empty());
    assert_eq!(w.slot_table.usage(), [("f", 1, 0, 0)]);
    ask_by(&mut w, 72, 2000);
    assert_eq!(w.granted(), [(72, "u1".into(), false)]);
}

#[test]
fn a_processor_that_has_work_is_never_stopped() {
    let mut w = World::new(&[]);
    // A front holds a slot of one that this slot owner's list does not show yet.
    let (service, processor, address) = ("f".to_owned(), "u9".to_owned(), "10.0.0.1:9".to_owned());
    w.slot_table.record_held(
        "b",
        &SlotHeld { service, slot_id: 71, processor, address, hold_ms: 9000, ..SlotHeld::default() },
        w.now,
    );
    let stop = Effect::Stop { service: "f".into(), processor: "u9".into() };
    for _ in 0..8 {
        w.pass(FACTS.boot_ms);
        assert!(!w.out.contains(&stop), "it is at work");
    }
    w.pass(9000);
    assert!(w.out.contains(&stop), "its holder is gone, and nobody knows it");
}

#[test]
fn a_front_that_was_cut_off_and_came_back_gives_back_only_its_own() {
    let mut w = World::new(&["u1"]);
    let (a, b) = (w.ask(2000), w.ask(2000));
    assert_eq!(w.granted().len(), 2);
    w.slot_table.retain_fronts(&HashSet::from(["c".to_owned()]), w.now, &mut w.out);
    let of = |front: &str, slot_id| SlotRequest {
        service: "f".into(),
        front: front.into(),
        slot_id,
        patience_ms: 2000,
        hold_ms: 3000,
        ..SlotRequest::default()
    };
    for slot_id in [1, 2, 3] {
        w.slot_table.request(&of("c", slot_id), w.now, &mut w.out);
    }
    assert_eq!(w.granted().len(), 2, "its slots are others' now");
    // It says so of all it had, twice; the numbers are those of the others.
    for end in [SlotEnd::Done, SlotEnd::Dark, SlotEnd::Done] {
        w.back(a, "u1", end);
        w.back(b, "u1", end);
    }
    w.pass(1000);
    assert_eq!((w.granted().len(), w.slot_table.usage()), (0, vec![("f", 1, 2, 1)]));
}

#[test]
fn one_that_is_taken_for_gone_and_stands_there_still_is_stopped_in_the_end() {
    let mut w = World::new(&["u1", "u2"]);
    let t = w.ask(1000);
    let (_, processor, _) = w.granted().remove(0);
    w.back(t, &processor, SlotEnd::Gone);
    w.out.clear();
    let stops = |w: &mut World| {
        let all = std::mem::take(&mut w.out);
        all.into_iter().filter(|e| matches!(e, Effect::Stop { processor: u, .. } if *u == processor)).count()
    };
    // The list lags: at first it says nothing.
    w.list(&["u1", "u2"]);
    assert_eq!(stops(&mut w), 0);
    // It is listed still, and takes room that others need; its stop may be lost, too.
    for _ in 0..2 {
        w.pass(4000);
        w.list(&["u1", "u2"]);
        w.list(&["u1", "u2"]);
        assert_eq!(stops(&mut w), 1, "asked for once in a while");
    }
    // Nothing is granted of it meanwhile.
    w.ask(1000);
    assert!(w.granted().iter().all(|g| g.1 != processor));
}

#[test]
fn a_processor_of_a_removed_service_is_stopped_once_nobody_holds_it() {
    // The table's "silent for" is 1000 ms: four of them are the time of a removed one.
    const STOP_AFTER: u64 = 4 * 1000;
    let stop = |id: &str| Effect::Stop { service: "f".into(), processor: id.into() };
    let mut w = World::new(&["u1", "u2"]);
    let a = w.ask(2000);
    assert_eq!(w.granted(), [(a, "u2".into(), false)]);
    w.list_removed(&["u1", "u2"]);
    w.pass(2900);
    assert!(w.out.is_empty(), "used by fronts that do not know yet: {:?}", w.out);
    w.back(a, "u2", SlotEnd::Done);
    w.pass(STOP_AFTER - 2900 + 1);
    assert_eq!(w.out, [stop("u1")], "only what was idle for long enough");
    w.pass(2900);
    assert_eq!(w.out, [stop("u1"), stop("u2")]);
    // ListedProcessor still after a while: the stop was lost.
    w.out.clear();
    w.pass(STOP_AFTER);
    w.list_removed(&["u1"]);
    assert_eq!(w.out, [stop("u1")]);
}

#[test]
fn a_processor_of_a_service_that_was_never_known_here_is_stopped_too() {
    let mut w = World::new(&[]);
    w.list_removed(&["u1"]);
    w.pass(4000);
    assert!(w.out.is_empty(), "{:?}", w.out);
    w.pass(1);
    assert_eq!(w.out, [Effect::Stop { service: "f".into(), processor: "u1".into() }]);
}

#[test]
fn a_service_that_is_configured_again_is_served_as_before() {
    let mut w = World::new(&["u1"]);
    w.list_removed(&["u1"]);
    w.pass(1000);
    w.list(&["u1"]);
    let a = w.ask(2000);
    assert_eq!(w.granted(), [(a, "u1".into(), false)]);
    w.back(a, "u1", SlotEnd::Done);
    w.pass(4 * FACTS.boot_ms);
    assert!(w.out.is_empty(), "{:?}", w.out);
    w.pass(1);
    assert_eq!(w.out, [Effect::Stop { service: "f".into(), processor: "u1".into() }], "idle, as any other");
}

/// Of requests of two ranks, one each `every_ms` and the given share of them urgent, how
/// many in a hundred get a slot: the urgent ones, the others, all. A run takes 50 ms of
/// one of two slots. By seed, so that no rank comes at regular moments.
fn served_by_rank(every_ms: u64, urgent_in_ten: u64) -> (u64, u64, u64) {
    let mut w = World::new(&["u1"]);
    let (mut asked, mut served) = ([0, 0], [0, 0]);
    let mut ranks: HashMap<u64, usize> = HashMap::new();
    let mut ends: BTreeMap<u64, Vec<u64>> = BTreeMap::new();
    let mut random = 0x9e3779b97f4a7c15u64;
    for n in 0..6000u64 {
        random ^= random << 13;
        random ^= random >> 7;
        random ^= random << 17;
        let rank = usize::from(random % 10 >= urgent_in_ten);
        let (service, front) = ("f".to_owned(), "a".to_owned());
        let (patience_ms, hold_ms, target_start_ms, dark) = (1000, 3000, 400, vec![]);
        let ask = SlotRequest {
            service,
            front,
            slot_id: n,
            patience_ms,
            hold_ms,
            target_start_ms,
            dark,
            rank: rank as u32,
            zones: vec![],
        };
        asked[rank] += 1;
        ranks.insert(n, rank);
        w.slot_table.request(&ask, w.now, &mut w.out);
        let next = w.now + every_ms;
        loop {
            for (slot_id, _, _) in w.granted() {
                served[ranks[&slot_id]] += 1;
                ends.entry(w.now + 50).or_default().push(slot_id);
            }
            let Some(first) = ends.first_entry().filter(|e| *e.key() <= next) else { break };
            w.now = *first.key();
            first.remove().into_iter().for_each(|t| w.back(t, "u1", SlotEnd::Done));
        }
        w.pass(next - w.now);
    }
    let percent = |n: u64, of: u64| n * 100 / of.max(1);
    (percent(served[0], asked[0]), percent(served[1], asked[1]), percent(served[0] + served[1], asked[0] + asked[1]))
}

#[test]
fn urgent_requests_get_slots_before_lesser_ones() {
    // Forty slots a second: enough for all, for three in four, for two in five.
    for (every_ms, urgent_in_ten) in [(30, 3), (19, 3), (10, 3), (10, 2), (10, 5), (10, 9), (5, 7)] {
        let (urgent, lesser, all) = served_by_rank(every_ms, urgent_in_ten);
        assert!(urgent + 5 >= lesser, "{urgent} of urgent and {lesser} of lesser ones");
        assert!(every_ms < 19 || urgent > 98, "{urgent} of urgent ones, {all} of all");
    }
}

#[test]
fn no_rank_is_shut_out_by_a_more_urgent_one() {
    for (every_ms, urgent_in_ten) in [(10, 9), (5, 9), (5, 7), (4, 5), (3, 9)] {
        let (urgent, lesser, all) = served_by_rank(every_ms, urgent_in_ten);
        assert!(lesser * 4 > all, "{urgent} of urgent, {lesser} of lesser, {all} of all");
    }
}

#[test]
fn the_processors_of_an_evacuated_zone_are_granted_to_nobody_and_end_once_they_are_idle() {
    let mut w = World::new(&["u1"]);
    let first = w.ask(2000);
    assert_eq!(w.granted(), [(first, "u1".into(), false)]);
    w.slot_table.set_evacuated_zones(HashSet::from(["z".to_owned()]), w.now, &mut w.out);
    w.ask(2000);
    assert!(w.granted().is_empty(), "a free slot of an evacuated zone was granted");
    let starts = w.starts();
    assert_eq!(starts.len(), 1, "one in another zone takes its place");
    let elsewhere = StartAck { zone: "y".into(), ..ack("u2", "10.0.0.2:1") };
    w.slot_table.processor_started("f", &starts[0], &elsewhere, w.now, &mut w.out);
    assert_eq!(w.granted().len(), 1);
    // What runs there ends by itself; then the processor is stopped.
    w.back(first, "u1", SlotEnd::Done);
    w.pass(100 * FACTS.boot_ms);
    let stopped = |e: &Effect| matches!(e, Effect::Stop { processor, .. } if processor == "u1");
    assert!(w.out.iter().any(stopped));
}

#[test]
fn a_start_that_was_on_its_way_when_its_zone_was_evacuated_is_granted_to_nobody() {
    let mut w = World::new(&[]);
    w.ask(2000);
    let starts = w.starts();
    w.slot_table.set_evacuated_zones(HashSet::from(["z".to_owned()]), w.now, &mut w.out);
    w.slot_table.processor_started("f", &starts[0], &ack("u1", "10.0.0.1:1"), w.now, &mut w.out);
    assert!(w.granted().is_empty());
    w.slot_table.set_evacuated_zones(HashSet::new(), w.now, &mut w.out);
    assert_eq!(w.granted().len(), 1, "taken back, it is used");
}

#[test]
fn a_request_that_is_bound_to_zones_gets_no_slot_elsewhere_and_holds_up_nobody() {
    let mut w = World::new(&["u1"]);
    let (bound, free) = (w.ask_in(&["y"], 2000), w.ask(2000));
    assert_eq!(w.granted(), [(free, "u1".into(), false)], "one in another zone was granted, or one behind waits");
    let all = std::mem::take(&mut w.out);
    let asked = all.iter().find_map(|e| match e {
        Effect::Start { nonce, zones, .. } => Some((nonce.clone(), zones.clone())),
        _ => None,
    });
    let (nonce, zones) = asked.expect("a start in its own zones, though others are up");
    assert_eq!(zones, ["y"]);
    w.slot_table.processor_started(
        "f",
        &nonce,
        &StartAck { zone: "y".into(), ..ack("u2", "10.0.0.2:1") },
        w.now,
        &mut w.out,
    );
    assert_eq!(w.granted(), [(bound, "u2".into(), true)]);
}
