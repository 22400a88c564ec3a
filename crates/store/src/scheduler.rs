//! The owner's schedule: what is ready, what is under way, and which processor
//! gets the next one. Nothing here is durable; it is made anew from the fold
//! whenever a partition is taken over.

mod choice;

use crate::queue::QueueId;
use balance::LeasedBuckets;
use config::{Homes, Route, Service};
use rpc::messages::{Assignments, Membership, Node, Outcome, Processor, Report, Sample, ZoneUse};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap, HashSet, VecDeque};
use std::sync::Arc;

/// A message: its partition and position.
pub type Key = (u32, u64);

#[derive(Clone, Debug)]
pub struct InFlight {
    pub service: String,
    pub route: String,
    /// The processor's id, or the service's name for an endpoint.
    pub processor: String,
    pub revision: String,
    pub front: String,
    pub until: u64,
    /// Which attempt it is: its term and number; 0 if not known.
    pub attempt: (u64, u64),
}

#[derive(Clone, Debug, Default)]
struct ProcessorState {
    in_flight: u32,
    /// What others had there when it last told its load.
    foreign: u32,
    told_at: u64,
    failures: u32,
    shut_until: u64,
}

struct Bucket {
    tokens: f64,
    at: u64,
}

/// Where a message is to be run.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// The service that the processor belongs to.
    pub service: String,
    /// The processor's id, or the service's name for an endpoint.
    pub processor: String,
    /// Empty for an endpoint.
    pub target: String,
    pub address: String,
    pub revision: String,
    pub front: String,
    pub front_inner: String,
}

/// What messages may fill of a machine, in bytes.
#[derive(Clone, Copy)]
pub struct Capacity {
    pub memory: usize,
    pub disk: usize,
}

impl Capacity {
    /// Whether a message of that rank is taken. The highest rank may use all of
    /// the room; each lower one a tenth less of the memory, down to a half, and a
    /// fiftieth less of the disk, most of which is the store's own journals.
    pub fn admits(&self, rank: u32, memory: usize, disk: usize) -> bool {
        let rank = rank.min(5) as usize;
        memory <= self.memory / 10 * (10 - rank) && (self.disk == 0 || disk <= self.disk / 50 * (50 - rank))
    }
}

#[derive(Clone, Copy)]
pub struct SchedulerTiming {
    /// How long told loads hold.
    pub load_ms: u64,
    /// The first pause after a failure; doubled up to the longest.
    pub pause_ms: u64,
    pub longest_ms: u64,
}

pub struct DeliveryScheduler {
    /// The owner's name: owners begin their search at different processors.
    me: String,
    zone: String,
    region: String,
    timing: SchedulerTiming,
    ready: HashMap<QueueId, BTreeSet<(u64, Key)>>,
    queued: HashMap<Key, (QueueId, u64)>,
    delayed: BinaryHeap<Reverse<(u64, Key)>>,
    pub in_flight: HashMap<Key, InFlight>,
    processors: HashMap<String, ProcessorState>,
    buckets: HashMap<String, Bucket>,
    /// The part of a metered service that this owner may use, where it is not the whole.
    shares: HashMap<String, f64>,
    coins: HashMap<String, f64>,
    pauses: HashMap<Key, u32>,
    turns: HashMap<String, u32>,
    samples: HashMap<(String, String, String), Sample>,
    pub membership: Arc<Membership>,
    by_service: HashMap<String, Vec<Processor>>,
    /// By service, in the order in which this owner looks at them.
    turns_at: HashMap<String, Vec<usize>>,
    /// Of the membership in use: delivery nodes by zone, and the zones of this region.
    fronts: HashMap<String, Vec<usize>>,
    near: HashSet<String>,
    /// The cold processors that this owner may send to, and how much.
    cold_buckets: LeasedBuckets,
    /// The region of each zone.
    regions: BTreeMap<String, String>,
    /// Zones that are not used as any other, for evacuations.
    zone_uses: HashMap<String, ZoneUse>,
    pub assignments: Arc<Assignments>,
    pub notices: VecDeque<(u64, Key)>,
    pub notices_in_flight: HashMap<String, u32>,
}

/// What a new owner knows of the delivery nodes that did not say what they hold.
#[derive(Clone, Copy, Debug, Default)]
pub struct Silence {
    /// One of them does not answer, and no stop marker ends the log; the one that the
    /// message was last given to does not.
    pub any: bool,
    pub last: bool,
}

impl Silence {
    /// Until when a pending message may be at work at a silent node, by the partition's time; 0:
    /// it is not. `sent`: when the log says that it was given out last; `taken`: when
    /// this owner took over. What the former owner gave out at the end may stand in no
    /// log that is left; that holds up only those whose order counts.
    pub fn until(self, sequenced: bool, sent: u64, taken: u64, longest: u64) -> u64 {
        match (self.last, self.any && sequenced) {
            (_, true) => sent.max(taken) + longest,
            (true, _) => sent + longest,
            _ => 0,
        }
    }
}

fn rendezvous<'a>(key: &str, nodes: impl Iterator<Item = &'a Node>) -> Option<&'a Node> {
    nodes.max_by_key(|n| hash(key, &n.name))
}

fn hash(key: &str, name: &str) -> u64 {
    let bytes = key.bytes().chain(name.bytes());
    let h = bytes.fold(0xcbf29ce484222325u64, |h, b| (h ^ b as u64).wrapping_mul(0x100000001b3));
    (h ^ (h >> 32)).wrapping_mul(0x9e3779b97f4a7c15)
}

impl DeliveryScheduler {
    pub fn new(me: &str, zone: &str, region: &str, timing: SchedulerTiming) -> DeliveryScheduler {
        DeliveryScheduler {
            me: me.into(),
            zone: zone.into(),
            region: region.into(),
            timing,
            ready: HashMap::new(),
            queued: HashMap::new(),
            delayed: BinaryHeap::new(),
            in_flight: HashMap::new(),
            processors: HashMap::new(),
            buckets: HashMap::new(),
            shares: HashMap::new(),
            coins: HashMap::new(),
            pauses: HashMap::new(),
            turns: HashMap::new(),
            samples: HashMap::new(),
            membership: Arc::default(),
            by_service: HashMap::new(),
            turns_at: HashMap::new(),
            fronts: HashMap::new(),
            near: HashSet::new(),
            cold_buckets: LeasedBuckets::default(),
            regions: BTreeMap::new(),
            zone_uses: HashMap::new(),
            assignments: Arc::default(),
            notices: VecDeque::new(),
            notices_in_flight: HashMap::new(),
        }
    }

    /// Says which region each zone is in.
    pub fn set_regions(&mut self, regions: &BTreeMap<String, String>) {
        self.regions = regions.clone();
    }

    pub fn news(&mut self, membership: &Arc<Membership>, assignments: &Arc<Assignments>) {
        self.assignments = assignments.clone();
        self.zone_uses = assignments
            .evacuations
            .iter()
            .map(|e| (e.zone.clone(), assignments.zone_use(&e.zone, membership.version)))
            .collect();
        if Arc::ptr_eq(membership, &self.membership) {
            return;
        }
        self.membership = membership.clone();
        self.by_service.clear();
        for u in &membership.processors {
            self.by_service.entry(u.service.clone()).or_default().push(u.clone());
        }
        self.turns_at = self
            .by_service
            .iter()
            .map(|(service, processors)| {
                let mut order: Vec<usize> = (0..processors.len()).collect();
                order.sort_by_cached_key(|n| hash(&self.me, &processors[*n].id));
                (service.clone(), order)
            })
            .collect();
        self.fronts.clear();
        self.near.clear();
        for (at, n) in membership.nodes.iter().enumerate() {
            if n.role == "front" && !n.leaving {
                self.fronts.entry(n.zone.clone()).or_default().push(at);
            }
            if n.region == self.region {
                self.near.insert(n.zone.clone());
            }
        }
        let there: HashSet<&str> = membership.processors.iter().map(|u| u.id.as_str()).collect();
        self.processors.retain(|id, s| s.in_flight > 0 || s.failures > 0 || there.contains(id.as_str()));
    }

    /// Forgets a partition that is owned elsewhere now.
    pub fn drop_partition(&mut self, partition: u32) {
        for q in self.ready.values_mut() {
            q.retain(|(_, k)| k.0 != partition);
        }
        self.queued.retain(|k, _| k.0 != partition);
        self.delayed.retain(|Reverse((_, k))| k.0 != partition);
        self.pauses.retain(|k, _| k.0 != partition);
        self.notices.retain(|(_, k)| k.0 != partition);
        let gone: Vec<Key> = self.in_flight.keys().filter(|k| k.0 == partition).copied().collect();
        for k in gone {
            self.land(k);
        }
    }

    /// Queues a message by its age; once.
    pub fn ready(&mut self, key: Key, queue: QueueId, age: u64) {
        if self.in_flight.contains_key(&key) || self.queued.contains_key(&key) {
            return;
        }
        self.queued.insert(key, (queue.clone(), age));
        self.ready.entry(queue).or_default().insert((age, key));
    }

    pub fn later(&mut self, key: Key, at: u64) {
        self.delayed.push(Reverse((at, key)));
    }

    pub fn take_due(&mut self, now: u64) -> Option<Key> {
        let Reverse((at, key)) = self.delayed.peek()?;
        if *at > now {
            return None;
        }
        let key = *key;
        self.delayed.pop();
        Some(key)
    }

    pub fn next_due(&self) -> Option<u64> {
        self.delayed.peek().map(|Reverse((at, _))| *at)
    }

    /// The messages that are queued, each with its queue.
    pub fn queued_messages(&self) -> impl Iterator<Item = (Key, &QueueId)> {
        self.queued.iter().map(|(key, (queue, _))| (*key, queue))
    }

    pub fn queues_ready(&self) -> Vec<QueueId> {
        self.ready.iter().filter(|(_, q)| !q.is_empty()).map(|(queue, _)| queue.clone()).collect()
    }

    /// The message of a queue that is to go next: the oldest of those that can
    /// still begin inside their aim. What is late already is late however long
    /// it waits; it gets every fourth turn, and all that the others leave.
    pub fn first_ready(&self, id: &QueueId, now: u64, target_start_ms: u64) -> Option<Key> {
        let queue = self.ready.get(id)?;
        let oldest = queue.first()?;
        // A quarter of the aim is left for the way: one that is only just in time
        // here begins too late there, and under load all would be such.
        let line = now.saturating_sub(target_start_ms * 3 / 4);
        if oldest.0 >= line || self.turns.get(&id.service).copied().unwrap_or(0) % 4 == 3 {
            return Some(oldest.1);
        }
        Some(queue.range((line, (0, 0))..).next().unwrap_or(oldest).1)
    }

    pub fn unqueue(&mut self, key: Key) {
        if let Some((queue, age)) = self.queued.remove(&key)
            && let Some(q) = self.ready.get_mut(&queue)
        {
            q.remove(&(age, key));
        }
    }

    /// How many messages wait for a time.
    pub fn delayed(&self) -> usize {
        self.delayed.len()
    }

    /// All messages that are queued, wait for a time or are under way.
    pub fn scheduled(&self) -> HashSet<Key> {
        let delayed = self.delayed.iter().map(|Reverse((_, key))| *key);
        self.queued.keys().chain(self.in_flight.keys()).copied().chain(delayed).collect()
    }

    pub fn queued(&self) -> usize {
        self.queued.len()
    }

    /// The message has ended, or moved away.
    pub fn forget(&mut self, key: Key) {
        self.unqueue(key);
        self.pauses.remove(&key);
        self.land(key);
    }

    /// How long to wait before the next attempt at a message that came to nothing.
    pub fn pause(&mut self, key: Key) -> u64 {
        let n = self.pauses.entry(key).or_insert(0);
        *n += 1;
        (self.timing.pause_ms << (*n - 1).min(6)).min(self.timing.longest_ms)
    }

    /// Says which part of a metered service this owner may use.
    pub fn set_share(&mut self, service: &str, share: f64) {
        if share < 1.0 {
            self.shares.insert(service.to_owned(), share);
        } else {
            self.shares.remove(service);
        }
    }

    fn share(&self, service: &str) -> f64 {
        self.shares.get(service).copied().unwrap_or(1.0)
    }

    /// One token of a service's ceiling, if there is one now; else when.
    pub fn token(&mut self, service: &Service, now: u64) -> Result<(), u64> {
        if service.flow_per_s <= 0.0 {
            return Ok(());
        }
        let flow_per_s = service.flow_per_s * self.share(&service.name);
        // Begins empty: another owner may just have spent what there was.
        let b = self.buckets.entry(service.name.clone()).or_insert(Bucket { tokens: 0.0, at: now });
        let rate = flow_per_s / 1000.0;
        // A tenth of a second's worth may be saved up.
        b.tokens = (b.tokens + (now - b.at) as f64 * rate).min((flow_per_s / 10.0).max(1.0));
        b.at = now;
        if b.tokens >= 1.0 {
            b.tokens -= 1.0;
            Ok(())
        } else {
            Err(now + ((1.0 - b.tokens) / rate).ceil() as u64)
        }
    }

    fn load(&self, id: &str, now: u64) -> (u32, &ProcessorState) {
        static NONE: ProcessorState =
            ProcessorState { in_flight: 0, foreign: 0, told_at: 0, failures: 0, shut_until: 0 };
        let s = self.processors.get(id).unwrap_or(&NONE);
        let foreign = if now < s.told_at + self.timing.load_ms { s.foreign } else { 0 };
        (s.in_flight + foreign, s)
    }

    /// A delivery node that may have messages with these homes, in that zone if there is one.
    fn front(&self, key: &str, zone: &str, homes: &Homes) -> Option<(&str, &str)> {
        let allowed = |node: &&Node| homes.allows(&node.region);
        let of = |zone: &str| {
            let nodes = self.fronts.get(zone).into_iter().flatten().map(|at| &self.membership.nodes[*at]);
            nodes.filter(allowed)
        };
        let found = rendezvous(key, of(zone))
            .or_else(|| rendezvous(key, of(&self.zone)))
            .or_else(|| rendezvous(key, self.fronts.keys().flat_map(|z| of(z))))?;
        Some((&found.name, &found.inner))
    }

    pub fn launch(&mut self, key: Key, choice: &Target, route: &Route, until: u64) {
        self.unqueue(key);
        let turn = self.turns.entry(choice.service.clone()).or_insert(0);
        *turn = turn.wrapping_add(1);
        self.processors.entry(choice.processor.clone()).or_default().in_flight += 1;
        let in_flight = InFlight {
            service: choice.service.clone(),
            route: route.name.clone(),
            processor: choice.processor.clone(),
            revision: choice.revision.clone(),
            front: choice.front.clone(),
            until,
            attempt: (0, 0),
        };
        if let Some(s) = self.sample(&in_flight) {
            s.sent += 1;
        }
        self.in_flight.insert(key, in_flight);
    }

    /// Taken over while under way.
    pub fn adopt(&mut self, key: Key, route: &Route, service: &str, processor: &str, front: &str, until: u64) {
        self.unqueue(key);
        if self.in_flight.contains_key(&key) {
            return;
        }
        self.processors.entry(processor.to_owned()).or_default().in_flight += 1;
        let in_flight = InFlight {
            service: service.to_owned(),
            route: route.name.clone(),
            processor: processor.to_owned(),
            revision: String::new(),
            front: front.to_owned(),
            until,
            attempt: (0, 0),
        };
        self.in_flight.insert(key, in_flight);
    }

    /// Says which attempt is under way.
    pub fn name(&mut self, key: Key, term: u64, attempt: u64) {
        if let Some(f) = self.in_flight.get_mut(&key) {
            f.attempt = (term, attempt);
        }
    }

    /// Whether another attempt at that message is under way than the one told of.
    pub fn outdated(&self, key: Key, term: u64, attempt: u64) -> bool {
        let differs = |a: u64, b: u64| a != 0 && b != 0 && a != b;
        self.in_flight.get(&key).is_some_and(|f| differs(f.attempt.0, term) || differs(f.attempt.1, attempt))
    }

    pub fn land(&mut self, key: Key) -> Option<InFlight> {
        let f = self.in_flight.remove(&key)?;
        if let Some(s) = self.processors.get_mut(&f.processor) {
            s.in_flight = s.in_flight.saturating_sub(1);
        }
        Some(f)
    }

    pub fn overdue(&self, now: u64) -> Vec<Key> {
        self.in_flight.iter().filter(|(_, f)| now >= f.until).map(|(k, _)| *k).collect()
    }

    fn sample(&mut self, f: &InFlight) -> Option<&mut Sample> {
        let running = self.assignments.rollouts.iter().any(|r| r.service == f.service && r.state == "running");
        if !running || f.revision.is_empty() {
            return None;
        }
        let key = (f.service.clone(), f.revision.clone(), f.route.clone());
        Some(self.samples.entry(key).or_insert_with(|| Sample {
            service: f.service.clone(),
            revision: f.revision.clone(),
            route: f.route.clone(),
            ..Sample::default()
        }))
    }

    pub fn take_samples(&mut self) -> Vec<Sample> {
        self.samples.drain().map(|(_, s)| s).collect()
    }

    /// What a delivery says of the processor that had it.
    pub fn learn(&mut self, f: &InFlight, r: &Report, now: u64) {
        let outcome = Outcome::try_from(r.outcome).unwrap_or(Outcome::Unknown);
        let timing = self.timing;
        if let Some(s) = self.sample(f) {
            match outcome {
                Outcome::Done => {
                    s.good += 1;
                    s.ms_sum += f64::from(r.took_ms);
                }
                Outcome::Failed | Outcome::Unknown => s.bad += 1,
                _ => {}
            }
        }
        let s = self.processors.entry(f.processor.clone()).or_default();
        if r.loaded {
            // The one just answered still counts itself as running.
            s.foreign = (r.running + r.waiting).saturating_sub(s.in_flight + 1);
            s.told_at = now;
        }
        match outcome {
            Outcome::Done | Outcome::Failed | Outcome::Never => s.failures = 0,
            Outcome::NotRun if r.status == 409 => {}
            Outcome::NotRun if r.status == 503 || r.status == 429 => {
                // Full: others' work fills it.
                s.shut_until = now + timing.pause_ms;
            }
            Outcome::NotRun if r.status == 421 => s.shut_until = now + timing.longest_ms * 4,
            _ => {
                s.failures += 1;
                s.shut_until = now + (timing.pause_ms << s.failures.min(6)).min(timing.longest_ms);
            }
        }
    }
}
