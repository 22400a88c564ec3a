//! In-memory delivery scheduler of a partition owner: the ready queues, the attempts in flight,
//! and the choice of a processor for each attempt. Nothing here is durable; it is rebuilt from the
//! partition's applied state whenever a partition is taken over.

mod choice;

use crate::queue::QueueId;
use balance::LeasedBuckets;
use config::{Homes, Route, Service};
use rpc::messages::{Assignments, Membership, Node, Outcome, Processor, Report, Sample, ZoneUse};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap, HashSet, VecDeque};
use std::sync::Arc;

/// Identifies a message by its partition and its position in that partition's log.
pub type MessageKey = (u32, u64);

#[derive(Clone, Debug)]
pub struct InFlight {
    pub service: String,
    pub route: String,
    /// The processor's id, or the service's name for an endpoint.
    pub processor: String,
    pub revision: String,
    pub front: String,
    /// When the attempt counts as overdue.
    pub deadline: u64,
    /// The term and number of the attempt; 0 where not known.
    pub attempt: (u64, u64),
}

#[derive(Clone, Debug, Default)]
struct ProcessorState {
    in_flight: u32,
    /// Requests of other senders at the processor, as of its last load report.
    other_load: u32,
    load_reported_at: u64,
    failures: u32,
    backoff_until: u64,
}

struct TokenBucket {
    tokens: f64,
    refilled_at: u64,
}

/// The processor chosen for an attempt, and the delivery node that sends it.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// The service that the processor belongs to.
    pub service: String,
    /// The processor's id, or the service's name for an endpoint.
    pub processor: String,
    /// The processor id that the delivery node is given; empty for an endpoint.
    pub target: String,
    pub address: String,
    pub revision: String,
    pub front: String,
    pub front_inner: String,
}

/// Limits on the memory and disk space used by messages, in bytes.
#[derive(Clone, Copy)]
pub struct Capacity {
    pub memory: usize,
    pub disk: usize,
}

impl Capacity {
    /// Whether a message of the given rank is admitted at this memory and disk usage. Rank 0 may
    /// use all of it. Each lower priority (rank 1 to 5) may use a tenth less of the memory, down
    /// to a half, and a fiftieth less of the disk: most of the disk is taken by the store's own
    /// logs.
    pub fn admits(&self, rank: u32, memory: usize, disk: usize) -> bool {
        let rank = rank.min(5) as usize;
        memory <= self.memory / 10 * (10 - rank) && (self.disk == 0 || disk <= self.disk / 50 * (50 - rank))
    }
}

#[derive(Clone, Copy)]
pub struct SchedulerTiming {
    /// How long a load report is taken into account.
    pub load_report_ttl_ms: u64,
    /// The first back-off after a failure; it doubles up to the maximum.
    pub initial_backoff_ms: u64,
    /// The maximum back-off.
    pub max_backoff_ms: u64,
}

pub struct DeliveryScheduler {
    /// The name of this node. It seeds the order in which processors are searched, so that owners
    /// start at different ones.
    node_name: String,
    zone: String,
    region: String,
    timing: SchedulerTiming,
    ready: HashMap<QueueId, BTreeSet<(u64, MessageKey)>>,
    queued: HashMap<MessageKey, (QueueId, u64)>,
    delayed: BinaryHeap<Reverse<(u64, MessageKey)>>,
    pub in_flight: HashMap<MessageKey, InFlight>,
    processors: HashMap<String, ProcessorState>,
    buckets: HashMap<String, TokenBucket>,
    /// The fraction of a rate-limited service that this owner may use, where it is below 1.
    shares: HashMap<String, f64>,
    /// By service, the accumulated rollout share; 1 pays for one attempt at the new revision.
    rollout_credits: HashMap<String, f64>,
    /// By message, the number of back-offs so far.
    backoffs: HashMap<MessageKey, u32>,
    /// By service, the number of attempts started.
    attempts_started: HashMap<String, u32>,
    samples: HashMap<(String, String, String), Sample>,
    pub membership: Arc<Membership>,
    processors_by_service: HashMap<String, Vec<Processor>>,
    /// By service, the indexes into `processors_by_service` in this owner's search order.
    search_order: HashMap<String, Vec<usize>>,
    /// Indexes of the delivery nodes in the current membership, by zone.
    fronts_by_zone: HashMap<String, Vec<usize>>,
    /// The zones of this node's region.
    region_zones: HashSet<String>,
    /// Token buckets of the cold processors on which this owner holds a lease.
    cold_buckets: LeasedBuckets,
    /// The region of each zone.
    regions: BTreeMap<String, String>,
    /// The zones under an evacuation or returning from one.
    zone_uses: HashMap<String, ZoneUse>,
    pub assignments: Arc<Assignments>,
    /// Call-backs to send, each with the earliest time to send it.
    pub callbacks: VecDeque<(u64, MessageKey)>,
    /// The number of call-backs in flight, by host.
    pub callbacks_in_flight: HashMap<String, u32>,
}

/// Which delivery nodes did not tell a new owner the attempts they hold, as far as that matters to
/// one message.
#[derive(Clone, Copy, Debug, Default)]
pub struct UnresponsiveNodes {
    /// At least one delivery node did not answer, and the log does not end with a stop marker.
    pub any: bool,
    /// The delivery node to which the message was last dispatched did not answer.
    pub last_recipient: bool,
}

impl UnresponsiveNodes {
    /// Until when, by the partition's time, an attempt at a pending message may still run at a
    /// node that did not answer; 0 if it cannot. `sent`: time of the last dispatch in the log;
    /// `taken_over`: when this owner took over; `longest`: the longest that an attempt may run.
    /// The former owner's last dispatches may be missing from every log that survived. Only
    /// sequenced messages are held back for that.
    pub fn hold_until(self, sequenced: bool, sent: u64, taken_over: u64, longest: u64) -> u64 {
        match (self.last_recipient, self.any && sequenced) {
            (_, true) => sent.max(taken_over) + longest,
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
    pub fn new(node_name: &str, zone: &str, region: &str, timing: SchedulerTiming) -> DeliveryScheduler {
        DeliveryScheduler {
            node_name: node_name.into(),
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
            rollout_credits: HashMap::new(),
            backoffs: HashMap::new(),
            attempts_started: HashMap::new(),
            samples: HashMap::new(),
            membership: Arc::default(),
            processors_by_service: HashMap::new(),
            search_order: HashMap::new(),
            fronts_by_zone: HashMap::new(),
            region_zones: HashSet::new(),
            cold_buckets: LeasedBuckets::default(),
            regions: BTreeMap::new(),
            zone_uses: HashMap::new(),
            assignments: Arc::default(),
            callbacks: VecDeque::new(),
            callbacks_in_flight: HashMap::new(),
        }
    }

    /// Sets the region of each zone.
    pub fn set_regions(&mut self, regions: &BTreeMap<String, String>) {
        self.regions = regions.clone();
    }

    /// Replaces the membership and the assignments that targets are chosen by.
    pub fn update_view(&mut self, membership: &Arc<Membership>, assignments: &Arc<Assignments>) {
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
        self.processors_by_service.clear();
        for processor in &membership.processors {
            self.processors_by_service.entry(processor.service.clone()).or_default().push(processor.clone());
        }
        self.search_order = self
            .processors_by_service
            .iter()
            .map(|(service, processors)| {
                let mut order: Vec<usize> = (0..processors.len()).collect();
                order.sort_by_cached_key(|n| hash(&self.node_name, &processors[*n].id));
                (service.clone(), order)
            })
            .collect();
        self.fronts_by_zone.clear();
        self.region_zones.clear();
        for (index, node) in membership.nodes.iter().enumerate() {
            if node.role == "front" && !node.leaving {
                self.fronts_by_zone.entry(node.zone.clone()).or_default().push(index);
            }
            if node.region == self.region {
                self.region_zones.insert(node.zone.clone());
            }
        }
        let listed: HashSet<&str> = membership.processors.iter().map(|processor| processor.id.as_str()).collect();
        self.processors.retain(|id, state| state.in_flight > 0 || state.failures > 0 || listed.contains(id.as_str()));
    }

    /// Removes all messages of a partition that this node no longer owns.
    pub fn remove_partition(&mut self, partition: u32) {
        for queue in self.ready.values_mut() {
            queue.retain(|(_, key)| key.0 != partition);
        }
        self.queued.retain(|key, _| key.0 != partition);
        self.delayed.retain(|Reverse((_, key))| key.0 != partition);
        self.backoffs.retain(|key, _| key.0 != partition);
        self.callbacks.retain(|(_, key)| key.0 != partition);
        let removed: Vec<MessageKey> = self.in_flight.keys().filter(|key| key.0 == partition).copied().collect();
        for key in removed {
            self.end_attempt(key);
        }
    }

    /// Adds a message to a ready queue, ordered by `due_since`, the time at which it became due.
    /// Does nothing if the message is queued or in flight already.
    pub fn enqueue(&mut self, key: MessageKey, queue: QueueId, due_since: u64) {
        if self.in_flight.contains_key(&key) || self.queued.contains_key(&key) {
            return;
        }
        self.queued.insert(key, (queue.clone(), due_since));
        self.ready.entry(queue).or_default().insert((due_since, key));
    }

    /// Delays a message until `at`.
    pub fn delay_until(&mut self, key: MessageKey, at: u64) {
        self.delayed.push(Reverse((at, key)));
    }

    /// Removes and returns the first delayed message whose time has come.
    pub fn pop_due(&mut self, now: u64) -> Option<MessageKey> {
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

    /// The messages in the ready queues, each with its queue.
    pub fn queued_messages(&self) -> impl Iterator<Item = (MessageKey, &QueueId)> {
        self.queued.iter().map(|(key, (queue, _))| (*key, queue))
    }

    pub fn ready_queues(&self) -> Vec<QueueId> {
        self.ready.iter().filter(|(_, messages)| !messages.is_empty()).map(|(queue, _)| queue.clone()).collect()
    }

    /// The next message of a queue to be sent: the oldest of those that can still start within
    /// the service's target start time. For a message that is late already, waiting longer does
    /// not change that it missed the target; such messages get every fourth attempt, and all
    /// capacity that the others leave.
    pub fn next_ready(&self, id: &QueueId, now: u64, target_start_ms: u64) -> Option<MessageKey> {
        let queue = self.ready.get(id)?;
        let oldest = queue.first()?;
        // A quarter of the target is reserved for the transfer: a message that is just in time
        // here starts too late at the processor, and under load that would apply to all of them.
        let earliest_in_time = now.saturating_sub(target_start_ms * 3 / 4);
        if oldest.0 >= earliest_in_time || self.attempts_started.get(&id.service).copied().unwrap_or(0) % 4 == 3 {
            return Some(oldest.1);
        }
        Some(queue.range((earliest_in_time, (0, 0))..).next().unwrap_or(oldest).1)
    }

    pub fn remove_queued(&mut self, key: MessageKey) {
        if let Some((queue, due_since)) = self.queued.remove(&key)
            && let Some(queue) = self.ready.get_mut(&queue)
        {
            queue.remove(&(due_since, key));
        }
    }

    /// The number of delayed messages.
    pub fn delayed_count(&self) -> usize {
        self.delayed.len()
    }

    /// All messages that are queued, delayed or in flight.
    pub fn scheduled(&self) -> HashSet<MessageKey> {
        let delayed = self.delayed.iter().map(|Reverse((_, key))| *key);
        self.queued.keys().chain(self.in_flight.keys()).copied().chain(delayed).collect()
    }

    pub fn queued_count(&self) -> usize {
        self.queued.len()
    }

    /// Removes a message that has ended or is kept elsewhere now.
    pub fn remove(&mut self, key: MessageKey) {
        self.remove_queued(key);
        self.backoffs.remove(&key);
        self.end_attempt(key);
    }

    /// Counts a fruitless attempt and returns how long to back off before the next one.
    pub fn next_backoff(&mut self, key: MessageKey) -> u64 {
        let n = self.backoffs.entry(key).or_insert(0);
        *n += 1;
        (self.timing.initial_backoff_ms << (*n - 1).min(6)).min(self.timing.max_backoff_ms)
    }

    /// Sets the fraction of a rate-limited service that this owner may use.
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

    /// Takes a token from a service's rate limit. If there is none, the error is the time at
    /// which there will be one.
    pub fn take_token(&mut self, service: &Service, now: u64) -> Result<(), u64> {
        if service.flow_per_s <= 0.0 {
            return Ok(());
        }
        let flow_per_s = service.flow_per_s * self.share(&service.name);
        // Starts empty: another owner may have spent the burst allowance just before.
        let bucket = self.buckets.entry(service.name.clone()).or_insert(TokenBucket { tokens: 0.0, refilled_at: now });
        let rate = flow_per_s / 1000.0;
        // The burst allowance is a tenth of a second's worth of tokens.
        bucket.tokens = (bucket.tokens + (now - bucket.refilled_at) as f64 * rate).min((flow_per_s / 10.0).max(1.0));
        bucket.refilled_at = now;
        if bucket.tokens >= 1.0 {
            bucket.tokens -= 1.0;
            Ok(())
        } else {
            Err(now + ((1.0 - bucket.tokens) / rate).ceil() as u64)
        }
    }

    /// The known load of a processor in requests, and its state.
    fn load(&self, id: &str, now: u64) -> (u32, &ProcessorState) {
        static NONE: ProcessorState =
            ProcessorState { in_flight: 0, other_load: 0, load_reported_at: 0, failures: 0, backoff_until: 0 };
        let state = self.processors.get(id).unwrap_or(&NONE);
        let other_load =
            if now < state.load_reported_at + self.timing.load_report_ttl_ms { state.other_load } else { 0 };
        (state.in_flight + other_load, state)
    }

    /// The name and address of a delivery node that may receive messages with these homes:
    /// preferably in `zone`, then in this node's zone, then in any zone.
    fn front(&self, key: &str, zone: &str, homes: &Homes) -> Option<(&str, &str)> {
        let allowed = |node: &&Node| homes.allows(&node.region);
        let of = |zone: &str| {
            let nodes = self.fronts_by_zone.get(zone).into_iter().flatten().map(|at| &self.membership.nodes[*at]);
            nodes.filter(allowed)
        };
        let found = rendezvous(key, of(zone))
            .or_else(|| rendezvous(key, of(&self.zone)))
            .or_else(|| rendezvous(key, self.fronts_by_zone.keys().flat_map(|z| of(z))))?;
        Some((&found.name, &found.inner))
    }

    /// Records that an attempt at a message has started.
    pub fn start_attempt(&mut self, key: MessageKey, choice: &Target, route: &Route, deadline: u64) {
        self.remove_queued(key);
        let started = self.attempts_started.entry(choice.service.clone()).or_insert(0);
        *started = started.wrapping_add(1);
        self.processors.entry(choice.processor.clone()).or_default().in_flight += 1;
        let in_flight = InFlight {
            service: choice.service.clone(),
            route: route.name.clone(),
            processor: choice.processor.clone(),
            revision: choice.revision.clone(),
            front: choice.front.clone(),
            deadline,
            attempt: (0, 0),
        };
        if let Some(sample) = self.sample(&in_flight) {
            sample.sent += 1;
        }
        self.in_flight.insert(key, in_flight);
    }

    /// Records an attempt that a former owner started and a delivery node still holds.
    pub fn adopt_attempt(
        &mut self,
        key: MessageKey,
        route: &Route,
        service: &str,
        processor: &str,
        front: &str,
        deadline: u64,
    ) {
        self.remove_queued(key);
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
            deadline,
            attempt: (0, 0),
        };
        self.in_flight.insert(key, in_flight);
    }

    /// Sets the term and number of the attempt in flight.
    pub fn set_attempt_number(&mut self, key: MessageKey, term: u64, attempt: u64) {
        if let Some(in_flight) = self.in_flight.get_mut(&key) {
            in_flight.attempt = (term, attempt);
        }
    }

    /// Whether the attempt in flight is a different one from the given one.
    pub fn is_outdated(&self, key: MessageKey, term: u64, attempt: u64) -> bool {
        let differs = |a: u64, b: u64| a != 0 && b != 0 && a != b;
        self.in_flight
            .get(&key)
            .is_some_and(|in_flight| differs(in_flight.attempt.0, term) || differs(in_flight.attempt.1, attempt))
    }

    /// Removes an attempt that has ended from those in flight.
    pub fn end_attempt(&mut self, key: MessageKey) -> Option<InFlight> {
        let attempt = self.in_flight.remove(&key)?;
        if let Some(state) = self.processors.get_mut(&attempt.processor) {
            state.in_flight = state.in_flight.saturating_sub(1);
        }
        Some(attempt)
    }

    /// The messages whose attempts should have been reported by now.
    pub fn overdue(&self, now: u64) -> Vec<MessageKey> {
        self.in_flight.iter().filter(|(_, attempt)| now >= attempt.deadline).map(|(k, _)| *k).collect()
    }

    /// The sample that an attempt counts towards, if a rollout of its service is running.
    fn sample(&mut self, attempt: &InFlight) -> Option<&mut Sample> {
        let running = self.assignments.rollouts.iter().any(|r| r.service == attempt.service && r.state == "running");
        if !running || attempt.revision.is_empty() {
            return None;
        }
        let key = (attempt.service.clone(), attempt.revision.clone(), attempt.route.clone());
        Some(self.samples.entry(key).or_insert_with(|| Sample {
            service: attempt.service.clone(),
            revision: attempt.revision.clone(),
            route: attempt.route.clone(),
            ..Sample::default()
        }))
    }

    /// Removes and returns the samples gathered since the last call.
    pub fn take_samples(&mut self) -> Vec<Sample> {
        self.samples.drain().map(|(_, sample)| sample).collect()
    }

    /// Updates the rollout samples and the processor's state from the report of an attempt.
    pub fn record_report(&mut self, attempt: &InFlight, report: &Report, now: u64) {
        let outcome = Outcome::try_from(report.outcome).unwrap_or(Outcome::Unknown);
        let timing = self.timing;
        if let Some(sample) = self.sample(attempt) {
            match outcome {
                Outcome::Done => {
                    sample.good += 1;
                    sample.ms_sum += f64::from(report.took_ms);
                }
                Outcome::Failed | Outcome::Unknown => sample.bad += 1,
                _ => {}
            }
        }
        let state = self.processors.entry(attempt.processor.clone()).or_default();
        if report.loaded {
            // The processor counts the request that it has just answered as running.
            state.other_load = (report.running + report.waiting).saturating_sub(state.in_flight + 1);
            state.load_reported_at = now;
        }
        match outcome {
            Outcome::Done | Outcome::Failed | Outcome::Never => state.failures = 0,
            Outcome::NotRun if report.status == 409 => {}
            Outcome::NotRun if report.status == 503 || report.status == 429 => {
                // The processor is full with the work of other senders.
                state.backoff_until = now + timing.initial_backoff_ms;
            }
            Outcome::NotRun if report.status == 421 => state.backoff_until = now + timing.max_backoff_ms * 4,
            _ => {
                state.failures += 1;
                state.backoff_until =
                    now + (timing.initial_backoff_ms << state.failures.min(6)).min(timing.max_backoff_ms);
            }
        }
    }
}
