//! Property test of the cluster time and of partition times: under arbitrary steps of any number
//! of wall clocks, with losses of the leader, of the owner and of all power, no message expires
//! early, the time never goes back, and its rate stays within the slew bound.

use control::ClusterClock;
use partition::{PartitionClock, with_slew_margin};
use proptest::prelude::*;
use rpc::{CarriedTime, PARTITION_SLEW_PPM};

const MACHINES: usize = 3;
const START_MS: i64 = 1_790_000_000_000;
const TICK_MS: u64 = 100;
const RETENTION_MS: u64 = 9_000;
const TOLERANCE_MS: u64 = 50;
const MAX_READING_AGE_MS: u64 = 1_000;
/// How long a new leader waits for a carried time before it starts the time from the logs.
const LEADER_LISTEN_MS: u64 = 250;
/// The longest interval between records of an owner that has unfinished messages.
const RECORD_INTERVAL_MS: u64 = 1_000;
/// Four seconds per day are 46 ppm.
const DRIFT_PPM: i64 = 50;

#[derive(Clone, Debug)]
enum Event {
    Wait(u64),
    /// The wall clocks of the machines whose bits are set step by this many milliseconds; bits 0 to
    /// 2 are the control machines, 3 to 5 the store machines.
    Step(u8, i64),
    Accept,
    /// The leader's process is lost, and another control machine becomes the leader.
    LoseLeader,
    /// Another control machine becomes the leader, while the former leader keeps running.
    ReplaceLeader,
    /// The owner's process is lost, and another replica becomes the owner.
    LoseOwner,
    /// A planned move to another replica.
    MoveOwnership,
    /// A replica's process restarts.
    RestartFollower,
    /// All power is lost for this many milliseconds.
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
        1 => Just(Event::ReplaceLeader),
        1 => Just(Event::LoseOwner),
        1 => Just(Event::MoveOwnership),
        1 => Just(Event::RestartFollower),
        1 => (1..20_000u64).prop_map(Event::LosePower),
    ]
}

/// A machine's clocks: the monotonic clock drifts, and the wall clock also steps.
#[derive(Clone, Copy)]
struct Machine {
    drift_ppm: i64,
    step_ms: i64,
}

impl Machine {
    fn monotonic(&self, at: u64) -> u64 {
        (1_000_000 + at as i64 + at as i64 * self.drift_ppm / 1_000_000) as u64
    }

    fn wall(&self, at: u64) -> u64 {
        (START_MS + self.monotonic(at) as i64 + self.step_ms) as u64
    }
}

struct Accepted {
    at: u64,
    record_ms: u64,
    expired_at: Option<u64>,
}

struct Simulation {
    at: u64,
    machines: Vec<Machine>,
    control: Vec<ClusterClock>,
    carried: Vec<CarriedTime>,
    partition: Vec<PartitionClock>,
    leader: usize,
    leader_since: u64,
    owner: usize,
    /// The owner's first reading since it became the owner: partition time and monotonic clock.
    first_reading: Option<(u64, u64)>,
    last_record_ms: u64,
    logged_ms: u64,
    accepted: Vec<Accepted>,
    /// How much later messages may expire because of losses of power: the time without power, and
    /// the time since the last record.
    power_loss_ms: u64,
}

impl Simulation {
    fn new(drifts: &[i64]) -> Simulation {
        Simulation {
            at: 0,
            machines: drifts.iter().map(|d| Machine { drift_ppm: *d, step_ms: 0 }).collect(),
            control: (0..MACHINES).map(|_| new_clock()).collect(),
            carried: vec![CarriedTime::default(); MACHINES],
            partition: vec![PartitionClock::default(); MACHINES],
            leader: 0,
            leader_since: 0,
            owner: 0,
            first_reading: None,
            last_record_ms: 0,
            logged_ms: 0,
            accepted: Vec::new(),
            power_loss_ms: 0,
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
            Event::ReplaceLeader => self.lead((self.leader + 1) % MACHINES),
            Event::LoseOwner => {
                self.restart_store(self.owner);
                self.own((self.owner + 1) % MACHINES);
            }
            Event::MoveOwnership => self.own((self.owner + 1) % MACHINES),
            Event::RestartFollower => self.restart_store((self.owner + 1) % MACHINES),
            Event::LosePower(ms) => {
                self.at += ms;
                self.power_loss_ms += ms + RECORD_INTERVAL_MS + TICK_MS;
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
        self.leader_since = self.at;
        self.control[n].begin_term();
    }

    fn own(&mut self, n: usize) {
        self.owner = n;
        self.first_reading = None;
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
        self.renew_leases();
        let Some(time) = self.owner_time() else { return };
        let at = self.at;
        for m in self.accepted.iter_mut().filter(|m| m.expired_at.is_none()) {
            if time > m.record_ms + with_slew_margin(RETENTION_MS) {
                m.expired_at = Some(at);
            }
        }
        if time >= self.last_record_ms + RECORD_INTERVAL_MS {
            self.write_record(time);
        }
        for n in (0..MACHINES).filter(|n| *n != self.owner) {
            let now = self.store(n).monotonic(at);
            self.partition[n].observe_owner_time(time, now);
        }
    }

    fn renew_leases(&mut self) {
        let (at, leader) = (self.at, self.leader);
        let now = self.machines[leader].monotonic(at);
        for (n, m) in self.machines.iter().enumerate() {
            self.control[leader].record_reading(&format!("machine-{n}"), m.wall(at), now);
        }
        for n in 0..MACHINES {
            if let Some(t) = self.control[n].time(self.machines[n].monotonic(at)) {
                self.control[leader].adopt_carried(t, now);
            }
            if let Some(t) = self.carried[n].time(self.store(n).monotonic(at)) {
                self.control[leader].adopt_carried(t, now);
            }
            let reached = self.partition[n].latest_time(self.store(n).monotonic(at));
            self.control[leader].record_logged(reached);
        }
        if at >= self.leader_since + LEADER_LISTEN_MS {
            self.control[leader].start_from_logs(self.logged_ms, MACHINES + 1, now);
        }
        self.control[leader].correct(MACHINES + 1, now);
        let Some(time) = self.control[leader].time(now) else { return };
        for n in 0..MACHINES {
            let (control, store) = (self.machines[n].monotonic(at), self.store(n).monotonic(at));
            if n != leader {
                self.control[n].follow(time, control, control);
            }
            self.carried[n].update(time, store, store);
        }
    }

    /// The partition time at its owner; None while its lease waits for the cluster time.
    fn owner_time(&mut self) -> Option<u64> {
        let now = self.store(self.owner).monotonic(self.at);
        let cluster = self.carried[self.owner].time(now)?;
        let time = self.partition[self.owner].owner_time(Some(cluster), now);
        assert!(time >= self.last_record_ms, "the time is earlier than the last record");
        let (read, read_at) = *self.first_reading.get_or_insert((time, now));
        let (passed, monotonic) = (time - read, now - read_at);
        let bound = monotonic * PARTITION_SLEW_PPM / 1_000_000 + 1;
        assert!(passed.abs_diff(monotonic) <= bound, "partition time advanced by {passed} ms in {monotonic} ms");
        Some(time)
    }

    fn accept(&mut self) {
        self.at += TICK_MS;
        self.renew_leases();
        let Some(record_ms) = self.owner_time() else { return };
        self.write_record(record_ms);
        self.logged_ms = self.logged_ms.max(self.leader_time());
        self.accepted.push(Accepted { at: self.at, record_ms, expired_at: None });
    }

    /// Writes a record, which all replicas hold before it takes effect.
    fn write_record(&mut self, record_ms: u64) {
        self.last_record_ms = record_ms;
        for n in 0..MACHINES {
            let now = self.store(n).monotonic(self.at);
            self.partition[n].observe_record(record_ms, now);
        }
    }

    fn leader_time(&self) -> u64 {
        self.control[self.leader].time(self.machines[self.leader].monotonic(self.at)).unwrap_or(0)
    }
}

fn new_clock() -> ClusterClock {
    ClusterClock::new(TOLERANCE_MS, MAX_READING_AGE_MS)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(256))]

    #[test]
    fn no_step_of_any_clocks_ends_a_message_early_or_moves_the_time_back(
        drifts in proptest::collection::vec(-DRIFT_PPM..DRIFT_PPM, 2 * MACHINES),
        events in proptest::collection::vec(event(), 1..60),
    ) {
        let mut simulation = Simulation::new(&drifts);
        simulation.run(1_000);
        for e in &events {
            simulation.apply(e);
        }
        let power_loss = simulation.power_loss_ms;
        simulation.run(2 * RETENTION_MS);
        for m in &simulation.accepted {
            let expired_at = m.expired_at.expect("a message past its retention expires");
            let after = expired_at - m.at;
            prop_assert!(after >= RETENTION_MS, "expired after {after} ms");
            // Each change of the owner may cost a tick, and each change of the leader its wait.
            let max_delay = power_loss + events.len() as u64 * (LEADER_LISTEN_MS + 2 * TICK_MS);
            prop_assert!(after <= with_slew_margin(with_slew_margin(RETENTION_MS)) + max_delay, "expired only after {after} ms");
        }
    }
}
