//! The store service: executes the effects of its partitions' state machines, renews the owner
//! lease and hands deliveries to the delivery nodes.

mod audit;
mod cold;
mod dispatch;
mod duties;
mod effects;
mod lease;
mod membership;
mod memory;
mod placements;
mod quota;
mod recovery;
mod requests;

use crate::queue::QueueId;
use crate::scheduler::*;
use crate::uncommitted::{AcceptIdentity, UncommittedAccepts};
use agent::Session;
use bytes::Bytes;
use config::{Role, Settings};
use partition::*;
use prost::Message;
use rpc::messages::*;
use rpc::{
    Body, CarriedTime, DeliveryFailure, ExecutionOutcome, PeerOptions, Responder, RetryOwner, RetrySafety, RpcClients,
};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::sync::{Notify as Notifier, mpsc, watch};
use wal::{Op, Wal, key};

enum Waiter {
    /// Waits for an accept or for a placement.
    Accept(Responder),
    Report(Responder),
}

struct StoreState {
    replicas: BTreeMap<u32, PartitionReplica>,
    scheduler: DeliveryScheduler,
    /// Requests to answer once a log position is committed.
    waiters: HashMap<MessageKey, Vec<Waiter>>,
    uncommitted_accepts: UncommittedAccepts,
    /// By message, the report that is appended but not committed yet: its attempt and its log
    /// position.
    uncommitted_reports: HashMap<MessageKey, (u64, u64)>,
    /// Partitions taken over for which the query of the delivery nodes is not finished, with the
    /// end of the log at the take-over. Messages after it cannot have been dispatched by a previous
    /// owner.
    recovering: HashMap<u32, u64>,
    /// Present if tenants' limits are enforced.
    quota: Option<quota::QuotaState>,
    /// The configuration revision by which messages were last assigned to queues.
    queued_by_revision: u64,
    lease_until: u64,
    /// By partition, messages whose call-back was delivered and not recorded in the log yet.
    called_back: HashMap<u32, Vec<u64>>,
    leaving: bool,
    /// Store nodes whose disks are slow or do not answer, as reported by the leader.
    lagging_nodes: Vec<String>,
}

pub struct StoreService {
    settings: Settings,
    session: Arc<Session>,
    rpc_clients: Arc<RpcClients>,
    wal: Wal,
    /// The nodes of the membership that was on disk when this process started.
    previous_nodes: Vec<Node>,
    shared: Mutex<StoreState>,
    wake: Notifier,
    /// Signalled when a message starts to wait for a token of its tenant's limit.
    quota_wanted: Notifier,
    synced: mpsc::UnboundedSender<(u32, u64, u64)>,
    /// Snapshots that are being written.
    snapshots_in_progress: Arc<AtomicUsize>,
    start: Instant,
    /// The cluster time. It has its own lock because it is read while `shared` is locked.
    cluster_time: Mutex<CarriedTime>,
}

impl StoreService {
    /// Milliseconds on this process's steady clock. They start at an offset of 1,000,000.
    fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64 + 1_000_000
    }

    /// The cluster time; `None` until the leader has sent it.
    fn cluster_time(&self) -> Option<u64> {
        self.cluster_time.lock().unwrap().time(self.now())
    }

    /// The partition's time for a record that its owner appends now.
    fn owner_time(&self, state: &mut StoreState, partition: u32) -> u64 {
        let (cluster, now) = (self.cluster_time(), self.now());
        state.replicas.get_mut(&partition).map_or(0, |replica| replica.owner_time(cluster, now))
    }

    /// Whether an owner may append records with its time. False in a process that has not had a
    /// lease yet, as the cluster time comes with the lease.
    fn has_owner_time(&self, state: &StoreState, partition: u32) -> bool {
        let runs = state.replicas.get(&partition).is_some_and(|replica| replica.time(self.now()).is_some());
        runs || state.lease_until > 0 || self.cluster_time().is_some()
    }

    /// `quietMs` divided by `divisor`, in milliseconds.
    fn quiet_fraction_ms(&self, divisor: f64) -> u64 {
        (self.settings.constraints.quiet_ms / divisor) as u64
    }

    fn timing(&self) -> Timing {
        timing(&self.settings)
    }

    fn max_record_bytes(&self) -> usize {
        max_record_bytes(&self.settings)
    }
}

/// The longest record, in bytes, that a node with these settings receives.
fn max_record_bytes(settings: &Settings) -> usize {
    rpc::max_record_bytes(rpc::max_frame_bytes(settings.limits.memory_mb))
}

fn accepted(outcome: AcceptOutcome, position: u64, owner: &str) -> Body {
    Body::Accepted(Accepted { outcome: outcome as i32, position, owner: owner.into(), ..Accepted::default() })
}

fn placed_elsewhere(placement: &partition::Placement) -> Body {
    let outcome = AcceptOutcome::PlacedElsewhere as i32;
    let partition::Placement { partition, generation, .. } = *placement;
    Body::Accepted(Accepted { outcome, partition, generation, ..Accepted::default() })
}

fn timing(settings: &Settings) -> Timing {
    Timing {
        epoch_interval_ms: (settings.constraints.quiet_ms / 8.0) as u64,
        match_window_ms: (settings.constraints.grace_s * 1000.0 / 20.0) as u64,
        resend_ms: (settings.constraints.quiet_ms / 16.0) as u64,
        status_ms: (settings.constraints.status_s * 1000.0) as u64,
        operations_ms: (settings.constraints.key_window_s * 1000.0) as u64,
        log_cache_bytes: (settings.limits.memory_mb << 20) as usize / 128,
    }
}

fn routes(configuration: &config::Configuration) -> Routes {
    let mut routes: Vec<RouteFacts> = configuration
        .routes
        .iter()
        .filter(|route| route.mode == "deferred")
        .map(|route| RouteFacts {
            route: route.name.clone(),
            tries: route.tries,
            retain_ms: (route.retain_s * 1000.0) as u64,
        })
        .collect();
    routes.sort_by(|a, b| a.route.cmp(&b.route));
    Routes { revision: configuration.revision, routes, ..Routes::default() }
}

/// Runs a store node until `stop` becomes true.
pub async fn run(
    settings: Settings,
    mut stop: watch::Receiver<bool>,
    settings_updates: watch::Receiver<Settings>,
) -> Result<(), String> {
    let quiet = settings.constraints.quiet_ms;
    let silence_timeout = Duration::from_millis((quiet / 4.0) as u64);
    let mut metadata: BTreeMap<u32, Meta> = BTreeMap::new();
    let mut snapshots: HashMap<u32, Bytes> = HashMap::new();
    let mut logs: HashMap<u32, Vec<(u64, LogEntry)>> = HashMap::new();
    let (mut decode_error, mut disk_identity) = (None, None);
    let mut previous = Membership::default();
    let wal = Wal::open(&settings.data_dir, settings.limits.disk_mb, settings.limits.memory_mb, |k, v| {
        if k.len() != 13 {
            return;
        }
        let partition = u32::from_be_bytes([k[1], k[2], k[3], k[4]]);
        let position = u64::from_be_bytes(k[5..13].try_into().unwrap_or_default());
        match k[0] {
            b'm' => match Meta::decode(v) {
                Ok(m) => {
                    metadata.insert(partition, m);
                }
                Err(e) => decode_error = Some(format!("partition {partition}: cannot decode the stored metadata: {e}")),
            },
            b'd' => match DiskIdentity::decode(v) {
                Ok(identity) => disk_identity = Some(identity),
                Err(e) => decode_error = Some(format!("cannot decode the stored disk identity: {e}")),
            },
            b'r' => match Membership::decode(v) {
                Ok(m) => previous = m,
                Err(e) => decode_error = Some(format!("cannot decode the stored membership: {e}")),
            },
            b's' => {
                snapshots.insert(partition, Bytes::copy_from_slice(v));
            }
            b'l' => match LogEntry::decode(Bytes::copy_from_slice(v)) {
                Ok(e) => logs.entry(partition).or_default().push((position, e)),
                Err(e) => {
                    decode_error = Some(format!("partition {partition}: cannot decode log entry {position}: {e}"))
                }
            },
            _ => {}
        }
    })?;
    if let Some(e) = decode_error {
        return Err(e);
    }
    let mut disk_identity = disk_identity
        .unwrap_or(DiskIdentity { empty: metadata.is_empty() && !settings.initial_start, ..DiskIdentity::default() });
    let incarnation = disk_identity.begin_incarnation(rpc::new_incarnation());
    // The first write: an emptied disk must be recorded as such before any other data on it makes
    // it look like an intact one.
    wal.write(vec![Op::Put(key(b'd', 0, 0), disk_identity.encode_to_vec().into())], || ());
    let mut replicas = BTreeMap::new();
    for (partition, meta) in metadata {
        let mut entries = logs.remove(&partition).unwrap_or_default();
        entries.sort_by_key(|e| e.0);
        let mut replica = PartitionReplica::reload(
            partition,
            &settings.node,
            timing(&settings),
            &meta,
            snapshots.remove(&partition),
            entries,
        )?;
        replica.incarnation = incarnation;
        replica.max_record_bytes = max_record_bytes(&settings);
        replicas.insert(partition, replica);
    }
    let node = Node {
        name: settings.node.clone(),
        role: "store".into(),
        zone: settings.zone.clone(),
        region: settings.region.clone(),
        inner: settings.inner_addr(Role::Store),
        incarnation,
        leaving: false,
        born: disk_identity.first_incarnation,
        changed: 0,
    };
    let peers = PeerOptions::new(silence_timeout, settings.limits.memory_mb);
    let rpc_clients = RpcClients::new(peers);
    let session = Session::new(settings.clone(), node, rpc_clients.clone());
    let previous_nodes = previous.nodes.clone();
    session.begin_with(previous);
    let (synced, mut synced_rx) = mpsc::unbounded_channel();
    let scheduler_timing = SchedulerTiming {
        load_report_ttl_ms: (quiet / 16.0) as u64,
        initial_backoff_ms: (quiet / 64.0) as u64,
        max_backoff_ms: (quiet / 4.0) as u64,
    };
    let mut scheduler = DeliveryScheduler::new(&settings.node, &settings.zone, &settings.region, scheduler_timing);
    scheduler.set_regions(&settings.zones);
    let service = Arc::new(StoreService {
        shared: Mutex::new(StoreState {
            replicas,
            scheduler,
            waiters: HashMap::new(),
            uncommitted_accepts: UncommittedAccepts::default(),
            uncommitted_reports: HashMap::new(),
            recovering: HashMap::new(),
            quota: quota::quota_state(&settings),
            queued_by_revision: 0,
            lease_until: 0,
            called_back: HashMap::new(),
            leaving: false,
            lagging_nodes: Vec::new(),
        }),
        wake: Notifier::new(),
        quota_wanted: Notifier::new(),
        synced,
        snapshots_in_progress: Arc::default(),
        start: Instant::now(),
        cluster_time: Mutex::new(CarriedTime::default()),
        session: session.clone(),
        rpc_clients,
        wal,
        previous_nodes,
        settings: settings.clone(),
    });
    let addr = settings.inner_addr(Role::Store);
    let listener = tokio::net::TcpListener::bind(&addr).await.map_err(|e| format!("{addr}: {e}"))?;
    let worker = service.clone();
    tokio::spawn(rpc::serve(listener, peers, move |b, responder| worker.handle(b, responder)));
    tokio::spawn(session.clone().keep());
    tokio::spawn(session.clone().heed(settings_updates));
    tokio::spawn(service.clone().keep_lease());
    tokio::spawn(service.clone().keep_cold_leases());
    if settings.constraints.quota_window_s > 0.0 {
        tokio::spawn(service.clone().keep_quota_leases());
    }
    tokio::spawn(service.clone().store_membership());
    let worker = service.clone();
    tokio::spawn(async move {
        while let Some((partition, term, end)) = synced_rx.recv().await {
            let mut state = worker.shared.lock().unwrap();
            worker.step(&mut state, partition, |replica, now, effects| replica.handle_synced(term, end, now, effects));
            // One sync may have made several writes durable.
            while let Ok((partition, term, end)) = synced_rx.try_recv() {
                worker.step(&mut state, partition, |replica, now, effects| {
                    replica.handle_synced(term, end, now, effects)
                });
            }
        }
    });
    let worker = service.clone();
    let mut assignments_rx = session.subscribe();
    tokio::spawn(async move {
        let mut seen = 0;
        while assignments_rx.changed().await.is_ok() {
            let assignments = assignments_rx.borrow_and_update().assignments.clone();
            if assignments.version > seen {
                seen = assignments.version;
                let mut state = worker.shared.lock().unwrap();
                for assignment in &assignments.partitions {
                    let is_assigned = assignment.replicas.contains(&worker.settings.node)
                        || assignment.in_sync.contains(&worker.settings.node);
                    if is_assigned {
                        worker.ensure_replica(&mut state, assignment.id);
                    }
                    worker.step(&mut state, assignment.id, |replica, now, effects| {
                        replica.handle_assignment(assignment, now, effects)
                    });
                }
            }
            worker.wake.notify_one();
        }
    });
    let worker = service.clone();
    tokio::spawn(async move {
        loop {
            let wake = worker.dispatch_ready();
            let pause = wake.saturating_sub(worker.now()).max(1);
            tokio::select! {
                _ = worker.wake.notified() => {}
                _ = tokio::time::sleep(Duration::from_millis(pause)) => {}
            }
        }
    });
    let worker = service.clone();
    tokio::spawn(async move {
        let mut rounds = 0;
        loop {
            tokio::time::sleep(Duration::from_millis(worker.quiet_fraction_ms(64.0))).await;
            rounds += 1;
            worker.tick(rounds);
        }
    });
    let _ = stop.wait_for(|s| *s).await;
    service.clone().shut_down().await;
    telemetry::report(&settings.node, &rpc::sent_frame_stats());
    Ok(())
}

/// The kind of failure that the report of an attempt describes.
fn delivery_failure(outcome: Outcome, status: u32) -> DeliveryFailure {
    match (outcome, status) {
        (Outcome::NotRun, 0) => DeliveryFailure::NotSent,
        (Outcome::NotRun, 409 | 429) => DeliveryFailure::Busy,
        (Outcome::NotRun, _) => DeliveryFailure::Refused,
        _ => DeliveryFailure::Lost,
    }
}
