//! The slot table of a slot owner: grants, releases and expiry of slots, and starts and stops of
//! processors.

use functions::*;
use rpc::messages::*;
use std::collections::{BTreeMap, HashMap, HashSet};

const CONFIG: FunctionConfig = FunctionConfig { slots_per_processor: 2, boot_ms: 500 };
const SETTLE_MS: u64 = 100;

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

/// The slot table of the front `front-1` with its clock and the effects that were not yet taken.
struct Fixture {
    slot_table: SlotTable,
    now: u64,
    effects: Vec<Effect>,
    last_slot_id: u64,
}

impl Fixture {
    /// A slot owner of `f` after its settling time, with the processors that the platform lists.
    fn new(ids: &[&str]) -> Fixture {
        let mut fixture = Fixture {
            slot_table: SlotTable::new("front-1", 7, SETTLE_MS, 1000),
            now: 10_000,
            effects: vec![],
            last_slot_id: 0,
        };
        fixture.list(ids);
        fixture.advance(SETTLE_MS);
        fixture
    }

    fn list(&mut self, ids: &[&str]) {
        let owned = HashMap::from([("f".to_owned(), (Some(CONFIG), listed(ids)))]);
        self.slot_table.set_functions(&owned, self.now, &mut self.effects);
    }

    /// Sets the platform's list after the function was removed from the configuration.
    fn list_removed(&mut self, ids: &[&str]) {
        let owned = HashMap::from([("f".to_owned(), (None, listed(ids)))]);
        self.slot_table.set_functions(&owned, self.now, &mut self.effects);
    }

    fn advance(&mut self, ms: u64) {
        self.now += ms;
        self.slot_table.tick(self.now, &mut self.effects);
    }

    fn request(&mut self, max_wait_ms: u32) -> u64 {
        self.request_in(&[], max_wait_ms)
    }

    /// As `request`, for a request that may run only in these zones.
    fn request_in(&mut self, zones: &[&str], max_wait_ms: u32) -> u64 {
        self.last_slot_id += 1;
        let (service, front) = ("f".to_owned(), "a".to_owned());
        let request = SlotRequest {
            service,
            front,
            slot_id: self.last_slot_id,
            max_wait_ms,
            hold_ms: 3000,
            target_start_ms: 400,
            unresponsive_fronts: vec![],
            rank: 0,
            zones: zones.iter().map(|zone| zone.to_string()).collect(),
        };
        self.slot_table.request(&request, self.now, &mut self.effects);
        self.last_slot_id
    }

    fn release(&mut self, slot_id: u64, processor: &str, end: SlotEnd) {
        let (service, front, processor) = ("f".to_owned(), "a".to_owned(), processor.to_owned());
        let release = SlotRelease { service, front, slot_id, processor, end: end as i32, took_ms: 50 };
        self.slot_table.release(&release, self.now, &mut self.effects);
    }

    /// Takes the grants among the effects: slot id, processor, whether that is starting.
    fn take_grants(&mut self) -> Vec<(u64, String, bool)> {
        let all = std::mem::take(&mut self.effects);
        let (grants, rest): (Vec<Effect>, Vec<Effect>) =
            all.into_iter().partition(|e| matches!(e, Effect::Grant { .. }));
        self.effects = rest;
        let parts = |effect| match effect {
            Effect::Grant { holder, processor, starting, .. } => (holder.1, processor, starting),
            _ => unreachable!(),
        };
        grants.into_iter().map(parts).collect()
    }

    fn take_start_nonces(&mut self) -> Vec<String> {
        let all = std::mem::take(&mut self.effects);
        all.into_iter().filter_map(|e| if let Effect::Start { nonce, .. } = e { Some(nonce) } else { None }).collect()
    }
}

#[test]
fn cold_function_is_started_once_and_its_first_holder_reports_that_it_is_up() {
    let mut fixture = Fixture::new(&[]);
    let (a, b) = (fixture.request(2000), fixture.request(2000));
    assert!(fixture.take_grants().is_empty());
    let starts = fixture.take_start_nonces();
    assert_eq!(starts.len(), 1, "one start provides two slots");
    fixture.slot_table.processor_started("f", &starts[0], &ack("u1", "10.0.0.1:1"), fixture.now, &mut fixture.effects);
    assert_eq!(fixture.take_grants(), [(a, "u1".into(), true)], "the first holder connects until it is up");
    // A second answer to the same start request changes nothing.
    fixture.slot_table.processor_started("f", &starts[0], &ack("u1", "10.0.0.1:1"), fixture.now, &mut fixture.effects);
    fixture.advance(300);
    assert!(fixture.take_grants().is_empty());
    fixture.release(a, "u1", SlotEnd::Started);
    assert_eq!(fixture.take_grants(), [(b, "u1".into(), false)]);
    let c = fixture.request(2000);
    assert!(fixture.take_grants().is_empty(), "both slots are held");
    fixture.release(b, "u1", SlotEnd::Done);
    assert_eq!(fixture.take_grants(), [(c, "u1".into(), false)]);
}

#[test]
fn request_that_no_start_can_serve_in_time_is_refused_at_once() {
    let mut fixture = Fixture::new(&[]);
    fixture.request(300);
    assert!(
        fixture.effects.iter().any(|e| matches!(e, Effect::Refuse { retry_ms, .. } if *retry_ms > 0)),
        "{:?}",
        fixture.effects
    );
    assert_eq!(fixture.take_start_nonces().len(), 1, "a later request can use the processor");
}

#[test]
fn processor_of_a_lost_start_is_found_in_the_list_and_stopped_once_idle() {
    let mut fixture = Fixture::new(&[]);
    let a = fixture.request(2000);
    let starts = fixture.take_start_nonces();
    // The answer was lost, although the platform had started the processor.
    fixture.slot_table.start_failed("f", &starts[0], false, fixture.now, &mut fixture.effects);
    fixture.list(&["u1"]);
    assert_eq!(fixture.take_grants(), [(a, "u1".into(), false)]);
    fixture.effects.clear();
    fixture.release(a, "u1", SlotEnd::Done);
    fixture.advance(5 * CONFIG.boot_ms);
    assert!(
        fixture.effects.contains(&Effect::Stop { service: "f".into(), processor: "u1".into() }),
        "an idle processor is stopped: {:?}",
        fixture.effects
    );
    // The processor is listed for a while longer, but not used again.
    fixture.list(&["u1"]);
    fixture.request(2000);
    assert!(fixture.take_grants().is_empty());
}

#[test]
fn new_slot_owner_waits_for_reports_of_held_slots() {
    let mut fixture = Fixture {
        slot_table: SlotTable::new("front-1", 7, SETTLE_MS, 1000),
        now: 10_000,
        effects: vec![],
        last_slot_id: 0,
    };
    fixture.list(&["u1"]);
    let a = fixture.request(2000);
    assert!(fixture.take_grants().is_empty(), "nothing is granted before the other fronts could report their slots");
    // Another front holds both slots, granted by the former slot owner.
    for slot_id in [71, 72] {
        let (service, processor, address) = ("f".to_owned(), "u1".to_owned(), "10.0.0.1:u1".to_owned());
        fixture.slot_table.record_held(
            "b",
            &SlotHeld { service, slot_id, processor, address, hold_ms: 400, ..SlotHeld::default() },
            fixture.now,
        );
    }
    fixture.advance(SETTLE_MS);
    assert!(fixture.take_grants().is_empty(), "both are held");
    fixture.advance(400);
    assert_eq!(fixture.take_grants(), [(a, "u1".into(), false)], "the other front's holds have expired");
}

#[test]
fn slots_of_a_removed_front_are_freed_and_a_crashed_processor_is_not_used() {
    let mut fixture = Fixture::new(&["u1", "u2"]);
    let (a, b) = (fixture.request(2000), fixture.request(2000));
    assert_eq!(
        fixture.take_grants(),
        [(a, "u2".into(), false), (b, "u2".into(), false)],
        "the fullest processor is used, so that the other becomes idle"
    );
    fixture.release(a, "u2", SlotEnd::Gone);
    let c = fixture.request(2000);
    assert_eq!(fixture.take_grants(), [(c, "u1".into(), false)]);
    fixture.list(&["u1", "u2"]);
    let d = fixture.request(2000);
    assert_eq!(fixture.take_grants(), [(d, "u1".into(), false)], "the crashed processor is still listed, but not used");
    fixture.slot_table.retain_fronts(&HashSet::from(["b".to_owned()]), fixture.now, &mut fixture.effects);
    let e = fixture.request(2000);
    assert_eq!(fixture.take_grants(), [(e, "u1".into(), false)], "a's slots are free");
}

#[test]
fn no_processor_exceeds_its_slots_in_random_orders_of_events() {
    for seed in 1..60u64 {
        let mut state = seed.wrapping_mul(0x9e3779b97f4a7c15);
        let mut random_below = |n: u64| {
            state ^= state << 13;
            state ^= state >> 7;
            state ^= state << 17;
            state % n
        };
        let mut fixture = Fixture::new(&[]);
        // The slots that the fronts hold, and when each expires: holds expire at the fronts as well.
        let mut held: BTreeMap<u64, String> = BTreeMap::new();
        let mut expires_at: HashMap<u64, u64> = HashMap::new();
        let (mut nonces, mut processors, mut served) = (Vec::new(), 0, 0);
        for _ in 0..400 {
            match random_below(10) {
                0..=3 => {
                    fixture.request(1500);
                }
                4..=6 => {
                    let index = random_below(held.len().max(1) as u64) as usize;
                    if let Some((slot_id, processor)) =
                        held.iter().nth(index).map(|(slot_id, processor)| (*slot_id, processor.clone()))
                    {
                        held.remove(&slot_id);
                        let end =
                            [SlotEnd::Done, SlotEnd::Done, SlotEnd::Full, SlotEnd::Gone][random_below(4) as usize];
                        if end == SlotEnd::Gone {
                            held.retain(|_, other| *other != processor);
                        }
                        fixture.release(slot_id, &processor, end);
                        if random_below(5) == 0 {
                            fixture.release(slot_id, &processor, end);
                        }
                    }
                }
                7 if !nonces.is_empty() => {
                    let nonce: String = nonces.swap_remove(random_below(nonces.len() as u64) as usize);
                    if random_below(4) == 0 {
                        fixture.slot_table.start_failed("f", &nonce, false, fixture.now, &mut fixture.effects);
                    } else {
                        processors += 1;
                        fixture.slot_table.processor_started(
                            "f",
                            &nonce,
                            &ack(&format!("u{processors}"), "10.0.0.1:9"),
                            fixture.now,
                            &mut fixture.effects,
                        );
                    }
                }
                _ => fixture.advance(random_below(120)),
            }
            for e in std::mem::take(&mut fixture.effects) {
                match e {
                    Effect::Grant { holder, processor, starting, .. } => {
                        served += 1;
                        held.insert(holder.1, processor.clone());
                        expires_at.insert(holder.1, fixture.now + 3000);
                        if starting && random_below(2) == 0 {
                            fixture.release(holder.1, &processor, SlotEnd::Started);
                        }
                    }
                    Effect::Start { nonce, .. } => nonces.push(nonce),
                    Effect::Stop { processor, .. } => held.retain(|_, other| *other != processor),
                    Effect::Refuse { .. } => {}
                }
            }
            held.retain(|slot_id, _| expires_at[slot_id] > fixture.now);
            let mut held_by_processor: HashMap<&str, usize> = HashMap::new();
            for processor in held.values() {
                *held_by_processor.entry(processor).or_default() += 1;
            }
            assert!(
                held_by_processor.values().all(|n| *n <= CONFIG.slots_per_processor),
                "seed {seed}: {held_by_processor:?}"
            );
        }
        assert!(served > 20, "seed {seed}: {served} served");
    }
}

#[test]
fn processor_that_reports_full_is_granted_one_slot_less_for_a_while() {
    let mut fixture = Fixture::new(&["u1"]);
    let a = fixture.request(2000);
    fixture.take_grants();
    // A request granted by another slot owner runs there: one slot less until it has ended.
    fixture.release(a, "u1", SlotEnd::Full);
    let (b, c) = (fixture.request(3000), fixture.request(3000));
    assert_eq!(fixture.take_grants(), [(b, "u1".into(), false)]);
    fixture.advance(2 * CONFIG.boot_ms);
    assert_eq!(fixture.take_grants(), [(c, "u1".into(), false)]);
}

#[test]
fn cancelled_request_takes_no_slot() {
    let mut fixture = Fixture::new(&["u1"]);
    let (a, b) = (fixture.request(2000), fixture.request(2000));
    assert_eq!(fixture.take_grants().len(), 2);
    let c = fixture.request(2000);
    let d = fixture.request(2000);
    // c is cancelled while it waits, and a after the grant, which its front has not received yet.
    fixture.release(c, "", SlotEnd::Done);
    fixture.release(a, "", SlotEnd::Done);
    assert_eq!(fixture.take_grants(), [(d, "u1".into(), false)]);
    fixture.release(b, "u1", SlotEnd::Done);
    assert!(fixture.take_grants().is_empty());
}

#[test]
fn only_the_functions_of_an_unresponsive_slot_owner_move() {
    let node = |n: usize| Node { name: format!("front-{n}"), role: "functions".into(), ..Node::default() };
    let membership = Membership { nodes: (0..77).map(node).collect(), ..Membership::default() };
    let fronts = rpc::fronts(&membership);
    let services: Vec<String> = (0..1000).map(|n| format!("p{n}")).collect();
    let mut owned: HashMap<&str, usize> = HashMap::new();
    for service in &services {
        *owned.entry(&rpc::slot_owner(&fronts, service).expect("one").1).or_default() += 1;
    }
    assert!(owned.len() == 77 && owned.values().all(|n| *n < 40), "{owned:?}");
    for service in &services {
        let first = &rpc::slot_owner(&fronts, service).expect("one").1;
        let next = &rpc::slot_owner_excluding(&fronts, service, |n| n == "front-5").expect("one").1;
        assert_eq!(first != next, first == "front-5");
    }
}

/// Requests a slot with the given slot id.
fn request_with_id(fixture: &mut Fixture, slot_id: u64, max_wait_ms: u32) {
    let (service, front) = ("f".to_owned(), "a".to_owned());
    let request = SlotRequest {
        service,
        front,
        slot_id,
        max_wait_ms,
        hold_ms: 3000,
        target_start_ms: 400,
        unresponsive_fronts: vec![],
        rank: 0,
        zones: vec![],
    };
    fixture.slot_table.request(&request, fixture.now, &mut fixture.effects);
}

#[test]
fn repeated_request_with_the_same_slot_id_gets_one_slot() {
    let mut fixture = Fixture::new(&["u1"]);
    request_with_id(&mut fixture, 71, 2000);
    // The answer was lost, and the request is repeated: it gets the same slot.
    request_with_id(&mut fixture, 71, 2000);
    assert_eq!(fixture.take_grants(), [(71, "u1".into(), false), (71, "u1".into(), false)]);
    assert_eq!(fixture.slot_table.usage(), [("f", 1, 1, 0)]);
    fixture.release(71, "u1", SlotEnd::Done);
    assert_eq!(fixture.slot_table.usage(), [("f", 1, 0, 0)]);
    // A request that is repeated while it waits has one place in the queue.
    for slot_id in [72, 73, 74, 74] {
        request_with_id(&mut fixture, slot_id, 2000);
    }
    assert_eq!(fixture.slot_table.usage(), [("f", 1, 2, 1)]);
}

#[test]
fn request_that_arrives_after_its_cancellation_takes_no_slot() {
    let mut fixture = Fixture::new(&["u1"]);
    // The request was sent on a connection that was replaced, and arrives after its cancellation.
    fixture.release(71, "", SlotEnd::Done);
    request_with_id(&mut fixture, 71, 2000);
    assert!(fixture.take_grants().is_empty());
    assert_eq!(fixture.slot_table.usage(), [("f", 1, 0, 0)]);
    request_with_id(&mut fixture, 72, 2000);
    assert_eq!(fixture.take_grants(), [(72, "u1".into(), false)]);
}

#[test]
fn processor_with_a_held_slot_is_not_stopped() {
    let mut fixture = Fixture::new(&[]);
    // A front holds a slot of a processor that the platform does not list yet.
    let (service, processor, address) = ("f".to_owned(), "u9".to_owned(), "10.0.0.1:9".to_owned());
    fixture.slot_table.record_held(
        "b",
        &SlotHeld { service, slot_id: 71, processor, address, hold_ms: 9000, ..SlotHeld::default() },
        fixture.now,
    );
    let stop = Effect::Stop { service: "f".into(), processor: "u9".into() };
    for _ in 0..8 {
        fixture.advance(CONFIG.boot_ms);
        assert!(!fixture.effects.contains(&stop), "a processor with a held slot was stopped");
    }
    fixture.advance(9000);
    assert!(fixture.effects.contains(&stop), "a processor whose only hold has expired is not stopped");
}

#[test]
fn front_that_returns_after_a_network_partition_releases_only_its_own_slots() {
    let mut fixture = Fixture::new(&["u1"]);
    let (a, b) = (fixture.request(2000), fixture.request(2000));
    assert_eq!(fixture.take_grants().len(), 2);
    fixture.slot_table.retain_fronts(&HashSet::from(["c".to_owned()]), fixture.now, &mut fixture.effects);
    let request_from = |front: &str, slot_id| SlotRequest {
        service: "f".into(),
        front: front.into(),
        slot_id,
        max_wait_ms: 2000,
        hold_ms: 3000,
        ..SlotRequest::default()
    };
    for slot_id in [1, 2, 3] {
        fixture.slot_table.request(&request_from("c", slot_id), fixture.now, &mut fixture.effects);
    }
    assert_eq!(fixture.take_grants().len(), 2, "its slots are granted to another front");
    // It releases all of its slots repeatedly, with the slot ids that the other front uses.
    for end in [SlotEnd::Done, SlotEnd::Unresponsive, SlotEnd::Done] {
        fixture.release(a, "u1", end);
        fixture.release(b, "u1", end);
    }
    fixture.advance(1000);
    assert_eq!((fixture.take_grants().len(), fixture.slot_table.usage()), (0, vec![("f", 1, 2, 1)]));
}

#[test]
fn removed_processor_that_is_still_listed_is_stopped_again() {
    let mut fixture = Fixture::new(&["u1", "u2"]);
    let slot_id = fixture.request(1000);
    let (_, processor, _) = fixture.take_grants().remove(0);
    fixture.release(slot_id, &processor, SlotEnd::Gone);
    fixture.effects.clear();
    let stops = |fixture: &mut Fixture| {
        let all = std::mem::take(&mut fixture.effects);
        all.into_iter().filter(|e| matches!(e, Effect::Stop { processor: u, .. } if *u == processor)).count()
    };
    // The list may lag behind, so at first no stop is requested.
    fixture.list(&["u1", "u2"]);
    assert_eq!(stops(&mut fixture), 0);
    // It is still listed and takes up room. The next stop may be lost as well.
    for _ in 0..2 {
        fixture.advance(4000);
        fixture.list(&["u1", "u2"]);
        fixture.list(&["u1", "u2"]);
        assert_eq!(stops(&mut fixture), 1, "the stop is requested once per interval");
    }
    // Its slots are not granted meanwhile.
    fixture.request(1000);
    assert!(fixture.take_grants().iter().all(|g| g.1 != processor));
}

#[test]
fn processor_of_a_removed_service_is_stopped_once_idle() {
    // The table's `backoff_ms` is 1000: a processor of a removed service is stopped after four
    // times that.
    const STOP_AFTER: u64 = 4 * 1000;
    let stop = |id: &str| Effect::Stop { service: "f".into(), processor: id.into() };
    let mut fixture = Fixture::new(&["u1", "u2"]);
    let a = fixture.request(2000);
    assert_eq!(fixture.take_grants(), [(a, "u2".into(), false)]);
    fixture.list_removed(&["u1", "u2"]);
    fixture.advance(2900);
    assert!(
        fixture.effects.is_empty(),
        "fronts that have not received the change may still use it: {:?}",
        fixture.effects
    );
    fixture.release(a, "u2", SlotEnd::Done);
    fixture.advance(STOP_AFTER - 2900 + 1);
    assert_eq!(fixture.effects, [stop("u1")], "only the processor that was idle for long enough is stopped");
    fixture.advance(2900);
    assert_eq!(fixture.effects, [stop("u1"), stop("u2")]);
    // It is still listed after a while: the stop was lost.
    fixture.effects.clear();
    fixture.advance(STOP_AFTER);
    fixture.list_removed(&["u1"]);
    assert_eq!(fixture.effects, [stop("u1")]);
}

#[test]
fn processor_of_a_removed_service_unknown_to_this_front_is_stopped() {
    let mut fixture = Fixture::new(&[]);
    fixture.list_removed(&["u1"]);
    fixture.advance(4000);
    assert!(fixture.effects.is_empty(), "{:?}", fixture.effects);
    fixture.advance(1);
    assert_eq!(fixture.effects, [Effect::Stop { service: "f".into(), processor: "u1".into() }]);
}

#[test]
fn service_that_is_configured_again_is_served_as_before() {
    let mut fixture = Fixture::new(&["u1"]);
    fixture.list_removed(&["u1"]);
    fixture.advance(1000);
    fixture.list(&["u1"]);
    let a = fixture.request(2000);
    assert_eq!(fixture.take_grants(), [(a, "u1".into(), false)]);
    fixture.release(a, "u1", SlotEnd::Done);
    fixture.advance(4 * CONFIG.boot_ms);
    assert!(fixture.effects.is_empty(), "{:?}", fixture.effects);
    fixture.advance(1);
    assert_eq!(
        fixture.effects,
        [Effect::Stop { service: "f".into(), processor: "u1".into() }],
        "an idle processor is stopped"
    );
}

/// The percentage of requests that get a slot: of the urgent ones, of the others, of all. One request
/// arrives every `every_ms`, and `urgent_in_ten` of ten are urgent. A run holds one of two slots for
/// 50 ms. Ranks are drawn from a seeded generator, so that none arrives at regular intervals.
fn served_by_rank(every_ms: u64, urgent_in_ten: u64) -> (u64, u64, u64) {
    let mut fixture = Fixture::new(&["u1"]);
    let (mut requested, mut served) = ([0, 0], [0, 0]);
    let mut ranks: HashMap<u64, usize> = HashMap::new();
    let mut ends: BTreeMap<u64, Vec<u64>> = BTreeMap::new();
    let mut random = 0x9e3779b97f4a7c15u64;
    for n in 0..6000u64 {
        random ^= random << 13;
        random ^= random >> 7;
        random ^= random << 17;
        let rank = usize::from(random % 10 >= urgent_in_ten);
        let (service, front) = ("f".to_owned(), "a".to_owned());
        let (max_wait_ms, hold_ms, target_start_ms, unresponsive_fronts) = (1000, 3000, 400, vec![]);
        let request = SlotRequest {
            service,
            front,
            slot_id: n,
            max_wait_ms,
            hold_ms,
            target_start_ms,
            unresponsive_fronts,
            rank: rank as u32,
            zones: vec![],
        };
        requested[rank] += 1;
        ranks.insert(n, rank);
        fixture.slot_table.request(&request, fixture.now, &mut fixture.effects);
        let next = fixture.now + every_ms;
        loop {
            for (slot_id, _, _) in fixture.take_grants() {
                served[ranks[&slot_id]] += 1;
                ends.entry(fixture.now + 50).or_default().push(slot_id);
            }
            let Some(first) = ends.first_entry().filter(|e| *e.key() <= next) else { break };
            fixture.now = *first.key();
            first.remove().into_iter().for_each(|slot_id| fixture.release(slot_id, "u1", SlotEnd::Done));
        }
        fixture.advance(next - fixture.now);
    }
    let percent = |n: u64, of: u64| n * 100 / of.max(1);
    (
        percent(served[0], requested[0]),
        percent(served[1], requested[1]),
        percent(served[0] + served[1], requested[0] + requested[1]),
    )
}

#[test]
fn urgent_requests_get_slots_before_less_urgent_ones() {
    // Forty runs a second: enough for all requests, for three in four and for two in five.
    for (every_ms, urgent_in_ten) in [(30, 3), (19, 3), (10, 3), (10, 2), (10, 5), (10, 9), (5, 7)] {
        let (urgent, others, all) = served_by_rank(every_ms, urgent_in_ten);
        assert!(urgent + 5 >= others, "{urgent} % of urgent and {others} % of other requests");
        assert!(every_ms < 19 || urgent > 98, "{urgent} % of urgent, {all} % of all requests");
    }
}

#[test]
fn no_rank_is_starved_by_a_more_urgent_one() {
    for (every_ms, urgent_in_ten) in [(10, 9), (5, 9), (5, 7), (4, 5), (3, 9)] {
        let (urgent, others, all) = served_by_rank(every_ms, urgent_in_ten);
        assert!(others * 4 > all, "{urgent} % of urgent, {others} % of other, {all} % of all requests");
    }
}

#[test]
fn processors_of_an_evacuated_zone_are_not_granted_and_are_stopped_once_idle() {
    let mut fixture = Fixture::new(&["u1"]);
    let first = fixture.request(2000);
    assert_eq!(fixture.take_grants(), [(first, "u1".into(), false)]);
    fixture.slot_table.set_evacuated_zones(HashSet::from(["z".to_owned()]), fixture.now, &mut fixture.effects);
    fixture.request(2000);
    assert!(fixture.take_grants().is_empty(), "a free slot of an evacuated zone was granted");
    let starts = fixture.take_start_nonces();
    assert_eq!(starts.len(), 1, "a processor in another zone replaces it");
    let elsewhere = StartAck { zone: "y".into(), ..ack("u2", "10.0.0.2:1") };
    fixture.slot_table.processor_started("f", &starts[0], &elsewhere, fixture.now, &mut fixture.effects);
    assert_eq!(fixture.take_grants().len(), 1);
    // The run there completes; then the processor is stopped.
    fixture.release(first, "u1", SlotEnd::Done);
    fixture.advance(100 * CONFIG.boot_ms);
    let stopped = |e: &Effect| matches!(e, Effect::Stop { processor, .. } if processor == "u1");
    assert!(fixture.effects.iter().any(stopped));
}

#[test]
fn processor_that_starts_while_its_zone_is_evacuated_is_not_granted() {
    let mut fixture = Fixture::new(&[]);
    fixture.request(2000);
    let starts = fixture.take_start_nonces();
    fixture.slot_table.set_evacuated_zones(HashSet::from(["z".to_owned()]), fixture.now, &mut fixture.effects);
    fixture.slot_table.processor_started("f", &starts[0], &ack("u1", "10.0.0.1:1"), fixture.now, &mut fixture.effects);
    assert!(fixture.take_grants().is_empty());
    fixture.slot_table.set_evacuated_zones(HashSet::new(), fixture.now, &mut fixture.effects);
    assert_eq!(fixture.take_grants().len(), 1, "the processor is used after the end of the evacuation");
}

#[test]
fn request_restricted_to_zones_gets_no_slot_elsewhere_and_delays_no_other() {
    let mut fixture = Fixture::new(&["u1"]);
    let (restricted, unrestricted) = (fixture.request_in(&["y"], 2000), fixture.request(2000));
    assert_eq!(
        fixture.take_grants(),
        [(unrestricted, "u1".into(), false)],
        "a slot in another zone was granted, or a later request waits"
    );
    let all = std::mem::take(&mut fixture.effects);
    let start = all.iter().find_map(|e| match e {
        Effect::Start { nonce, zones, .. } => Some((nonce.clone(), zones.clone())),
        _ => None,
    });
    let (nonce, zones) = start.expect("a start in its zones, although processors are up elsewhere");
    assert_eq!(zones, ["y"]);
    fixture.slot_table.processor_started(
        "f",
        &nonce,
        &StartAck { zone: "y".into(), ..ack("u2", "10.0.0.2:1") },
        fixture.now,
        &mut fixture.effects,
    );
    assert_eq!(fixture.take_grants(), [(restricted, "u2".into(), true)]);
}
