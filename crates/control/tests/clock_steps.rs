//! The time under any steps of any share of the clocks, with losses of the leader, of the
//! owner and of all power: nothing ends early, the time never goes back, and it is slewed
//! within its bound.

use control::ClusterClock;
use partition::{PartitionClock, with_slew_margin};
use proptest::prelude::*;
use rpc::{CarriedTime, PARTITION_SLEW_PPM};

const MACHINES: usize = 3;
const START_MS: i64 = 1_790_000_000_000;
const TICK_MS: u64 = 100;
const RETENTION_MS: u64 = 9_000;
const TOLERANCE_MS: u64 = 50;
const READINGS_KEPT_MS: u64 = 1_000;
/// Before a leader that heard nobody carry the time starts it from the logs.
const LEADER_WAIT_MS: u64 = 250;
/// An owner with messages that have not ended writes a record at least as often.
const RECORD_EVERY_MS: u64 = 1_000;
/// Four seconds a day are 46.
const DRIFT_PPM: i64 = 50;

#[derive(Clone, Debug)]
enum Event {
    Wait(u64),
    /// The clocks of the machines whose bits are set step by so much; bits 0 to 2 are the
    /// control machines, 3 to 5 the store machines.
    Step(u8, i64),
    Accept,
    /// The leader's process is lost and another control machine leads.
    LoseLeader,
    /// Another control machine leads; the process of the former one goes on.
    DeposeLeader,
    /// The owner's process is lost and another replica owns the partition.
    LoseOwner,
    /// By a planned move.
    PassOwnership,
    /// A replica's process begins anew.
    RestartFollower,
    /// All power is lost for so long.
    LosePower(u64),
}

fn event() -> impl Strategy<Value = Event> {
    let step = prop_oneof![-90_000_000..90_000_000i64, -5_000..5_000i64, Just(9_000), Just(90_000), Just(-90_000)];
    prop_oneof![
        6 => (1..4_000u64).prop_map(Event::Wait),
        4 => (0..64u8, step.clone()).prop_map(|(who, by)| Event::Step(who, by)),
        2 => step.prop_map(|by| Event::Step(63, by)),
        4 => Just(Event::Accept),
        1 => Just(Event::LoseLeader),
        1 => Just(Event::DeposeLeader),
        1 => Just(Event::LoseOwner),
        1 => Just(Event::PassOwnership),
        1 => Just(Event::RestartFollower),
        1 => (1..20_000u64).prop_map(Event::LosePower),
    ]
}

/// A machine's clocks: the steady one drifts, the time of day also steps.
#[derive(Clone, Copy)]
struct Machine {
    drift_ppm: i64,
    step_ms: i64,
}

impl Machine {
    fn steady(&self, at: u64) -> u64 {
        (1_000_000 + at as i64 + at as i64 * self.drift_ppm / 1_000_000) as u64
    }

    fn wall(&self, at: u64) -> u64 {
        (START_MS + self.steady(at) as i64 + self.step_ms) as u64
    }
}

struct Accepted {
    at: u64,
    record_ms: u64,
    given_up: Option<u64>,
}

struct World {
    at: u64,
    machines: Vec<Machine>,
    control: Vec<ClusterClock>,
    carried: Vec<CarriedTime>,
    partition: Vec<PartitionClock>,
    leader: usize,
    leads_since: u64,
    owner: usize,
    /// What the owner read first since it owns, by its time and its steady clock.
    first_read: Option<(u64, u64)>,
    last_record_ms: u64,
    logged_ms: u64,
    accepted: Vec<Accepted>,
    /// What a loss of power may make messages late by: the time without it, and the time
    /// since the last record.
    powerless_ms: u64,
}

impl World {
    fn new(drifts: &[i64]) -> World {
        World {
            at: 0,
            machines: drifts.iter().map(|d| Machine { drift_ppm: *d, step_ms: 0 }).collect(),
            control: (0..MACHINES).map(|_| new_clock()).collect(),
            carried: vec![CarriedTime::default(); MACHINES],
            partition: vec![PartitionClock::default(); MACHINES],
            leader: 0,
            leads_since: 0,
            owner: 0,
            first_read: None,
            last_record_ms: 0,
            logged_ms: 0,
            accepted: Vec::new(),
            powerless_ms: 0,
        }
    }

    fn store(&self, n: usize) -> Machine {
        self.machines[MACHINES + n]
    }

    fn apply(&mut self, event: &Event) {
        match event {
            Event::Wait(ms) => self.run(*ms),
            Event::Step(who, by) => {
                let stepped = self.machines.iter_mut().enumerate().filter(|(n, _)| who & (1 << n) != 0);
                stepped.for_each(|(_, m)| m.step_ms += by);
            }
            Event::Accept => self.accept(),
            Event::LoseLeader => {
                self.control[self.leader] = new_clock();
                self.lead((self.leader + 1) % MACHINES);
            }
            Event::DeposeLeader => self.lead((self.leader + 1) % MACHINES),
            Event::LoseOwner => {
                self.restart_store(self.owner);
                self.own((self.owner + 1) % MACHINES);
            }
            Event::PassOwnership => self.own((self.owner + 1) % MACHINES),
            Event::RestartFollower => self.restart_store((self.owner + 1) % MACHINES),
            Event::LosePower(ms) => {
                self.at += ms;
                self.powerless_ms += ms + RECORD_EVERY_MS + TICK_MS;
                for n in 0..MACHINES {
                    self.control[n] = new_clock();
                    self.restart_store(n);
                }
                self.lead(self.leader);
                self.own(self.owner);
            }
        }
    }

    fn lead(&mut self, n: usize) {
        self.leader = n;
        self.leads_since = self.at;
        self.control[n].begin_term();
    }

    fn own(&mut self, n: usize) {
        self.owner = n;
        self.first_read = None;
    }

    fn restart_store(&mut self, n: usize) {
        self.carried[n] = CarriedTime::default();
        self.partition[n] = PartitionClock::Stopped { reached_ms: self.last_record_ms };
    }

    fn run(&mut self, ms: u64) {
        for _ in 0..ms.div_ceil(TICK_MS) {
            self.at += TICK_MS;
            self.tick();
        }
    }

    fn tick(&mut self) {
        self.leases();
        let Some(time) = self.owner_time() else { return };
        let at = self.at;
        for m in self.accepted.iter_mut().filter(|m| m.given_up.is_none()) {
            if time > m.record_ms + with_slew_margin(RETENTION_MS) {
                m.given_up = Some(at);
            }
        }
        if time >= self.last_record_ms + RECORD_EVERY_MS {
            self.write_record(time);
        }
        for n in (0..MACHINES).filter(|n| *n != self.owner) {
            let now = self.store(n).steady(at);
            self.partition[n].observe_owner_time(time, now);
        }
    }

    fn leases(&mut self) {
        let (at, leader) = (self.at, self.leader);
        let now = self.machines[leader].steady(at);
        for (n, m) in self.machines.iter().enumerate() {
            self.control[leader].record_reading(&format!("machine-{n}"), m.wall(at), now);
        }
        for n in 0..MACHINES {
            if let Some(t) = self.control[n].time(self.machines[n].steady(at)) {
                self.control[leader].adopt_carried(t, now);
            }
            if let Some(t) = self.carried[n].time(self.store(n).steady(at)) {
                self.control[leader].adopt_carried(t, now);
            }
            let reached = self.partition[n].latest_time(self.store(n).steady(at));
            self.control[leader].record_logged(reached);
        }
        if at >= self.leads_since + LEADER_WAIT_MS {
            self.control[leader].start_from_logs(self.logged_ms, MACHINES + 1, now);
        }
        self.control[leader].correct(MACHINES + 1, now);
        let Some(time) = self.control[leader].time(now) else { return };
        for n in 0..MACHINES {
            let (control, store) = (self.machines[n].steady(at), self.store(n).steady(at));
            if n != leader {
                self.control[n].follow(time, control, control);
            }
            self.carried[n].told(time, store, store);
        }
    }

    /// None while the owner's lease waits for the cluster's time.
    fn owner_time(&mut self) -> Option<u64> {
        let now = self.store(self.owner).steady(self.at);
        let cluster = self.carried[self.owner].time(now)?;
        let time = self.partition[self.owner].owner_time(Some(cluster), now);
        assert!(time >= self.last_record_ms, "the time went back behind a record");
        let (read, read_at) = *self.first_read.get_or_insert((time, now));
        let (passed, steady) = (time - read, now - read_at);
        let bound = steady * PARTITION_SLEW_PPM / 1_000_000 + 1;
        assert!(passed.abs_diff(steady) <= bound, "{passed} ms passed in {steady}");
        Some(time)
    }

    fn accept(&mut self) {
        self.at += TICK_MS;
        self.leases();
        let Some(record_ms) = self.owner_time() else { return };
        self.write_record(record_ms);
        self.logged_ms = self.logged_ms.max(self.carried_by_leader());
        self.accepted.push(Accepted { at: self.at, record_ms, given_up: None });
    }

    /// Every replica holds it when it counts.
    fn write_record(&mut self, record_ms: u64) {
        self.last_record_ms = record_ms;
        for n in 0..MACHINES {
            let now = self.store(n).steady(self.at);
            self.partition[n].observe_record(record_ms, now);
        }
    }

    fn carried_by_leader(&self) -> u64 {
        self.control[self.leader].time(self.machines[self.leader].steady(self.at)).unwrap_or(0)
    }
}

fn new_clock() -> ClusterClock {
    ClusterClock::new(TOLERANCE_MS, READINGS_KEPT_MS)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(256))]

    #[test]
    fn no_step_of_any_clocks_ends_a_message_early_or_moves_the_time_back(
        drifts in proptest::collection::vec(-DRIFT_PPM..DRIFT_PPM, 2 * MACHINES),
        events in proptest::collection::vec(event(), 1..60),
    ) {
        let mut world = World::new(&drifts);
        world.run(1_000);
        for e in &events {
            world.apply(e);
        }
        let powerless = world.powerless_ms;
        world.run(2 * RETENTION_MS);
        for m in &world.accepted {
            let given_up = m.given_up.expect("a message that is due is given up");
            let after = given_up - m.at;
            prop_assert!(after >= RETENTION_MS, "given up after {after} ms");
            // Each change of the owner may cost a tick, a change of the leader its wait.
            let late = powerless + events.len() as u64 * (LEADER_WAIT_MS + 2 * TICK_MS);
            prop_assert!(after <= with_slew_margin(with_slew_margin(RETENTION_MS)) + late, "given up only after {after} ms");
        }
    }
}
