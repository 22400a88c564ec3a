//! The control node process: runs Raft, serves sessions and leases, and performs the leader's
//! duties.

use crate::cluster_clock::ClusterClock;
use crate::cold::ColdLeases;
use crate::instance_launcher::InstanceLauncher;
use crate::leadership::run_raft;
use crate::ownership_watch::OwnershipWatch;
use crate::quota::QuotaLeases;
use crate::rollout::RolloutMonitor;
use crate::state::*;
use crate::storage::{self, StoredState, save};
use crate::unidentified::UnidentifiedProcessors;
use bytes::Bytes;
use config::{Configuration, ConfigurationIndex, Freshness, Role, Settings};
use raft::*;
use rpc::messages::*;
use rpc::{MembershipUpdates, Responder, RpcClients, new_incarnation};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::atomic::{AtomicBool, AtomicU64};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::sync::{Notify as Notifier, mpsc, oneshot, watch};

/// Receives the result of a proposal; None if its entry was replaced by another one.
pub type ProposalReply = oneshot::Sender<Option<ApplyResult>>;

/// Inputs of the task that drives Raft.
pub(crate) enum Input {
    RaftNode(RaftMessage),
    Propose(Bytes, ProposalReply),
    /// This process is shutting down.
    Leave,
    /// The control nodes with a live session.
    ControlNodes(Vec<Candidate>),
}

/// A control node with a live session, which may be given a vote.
pub(crate) struct Candidate {
    pub(crate) addr: String,
    pub(crate) zone: String,
    pub(crate) leaving: bool,
}

pub(crate) struct Session {
    pub(crate) node: Node,
    /// When the node last reported.
    pub(crate) seen: u64,
}

pub(crate) struct StoreLease {
    pub(crate) incarnation: u64,
    /// When it was last renewed.
    pub(crate) at: u64,
    /// The incarnation that started with an empty disk: in-sync membership from before it does
    /// not count.
    pub(crate) born: u64,
    pub(crate) claims: Vec<Holding>,
    pub(crate) connection: u64,
    /// State of its disk: 0 healthy, 1 slow, 2 not responding.
    pub(crate) lag: u32,
    /// Since when the disk has not been healthy; meaningless while `lag` is 0.
    pub(crate) lagging_since: u64,
}

/// State shared by the tasks of a control node; the lock on it is held only briefly.
pub struct ControlShared {
    pub control_state: ControlState,
    pub membership: Membership,
    /// Updates from older versions of the membership, computed once per version.
    pub(crate) membership_updates: MembershipUpdates,
    pub(crate) sessions: BTreeMap<String, Session>,
    pub(crate) leases: HashMap<String, StoreLease>,
    /// The last incarnation of each node that is known to have ended.
    pub(crate) ended: HashMap<String, u64>,
    pub leader: String,
    pub is_leader: bool,
    /// Until when this control node may act for the majority; 0 if it may not.
    pub(crate) serves_until: u64,
    pub(crate) leader_since: u64,
    /// When this process last resumed after a pause: renewals that arrived meanwhile were not read,
    /// so leases must not count as expired because of it.
    pub(crate) resumed_at: u64,
    /// When this leader may first publish the membership: a leader that knows none waits until
    /// the nodes have reported their sessions.
    pub(crate) publish_from: u64,
    pub(crate) voters: Vec<String>,
    /// Whether `voters` are committed.
    pub(crate) voters_settled: bool,
    /// How many entries the other control nodes lag behind, as the leader knows it.
    pub(crate) behind: Vec<(String, u64)>,
    pub(crate) term: u64,
    pub(crate) membership_seq: u64,
    pub(crate) processors: Vec<Processor>,
    pub(crate) listed: bool,
    pub(crate) rollout_monitors: HashMap<String, RolloutMonitor>,
    pub(crate) first_store_at: u64,
    /// The number of store nodes, and since when it has been the same.
    pub(crate) store_count_since: (usize, u64),
    /// Owners whose partitions are being seized: they get no lease meanwhile, as it would let them
    /// act beside their successors.
    pub(crate) seizing: HashSet<String>,
    /// Since when no node has acted as the owner of a partition.
    pub(crate) unclaimed_since: HashMap<u32, u64>,
    pub(crate) ownership_watch: OwnershipWatch,
    pub(crate) cluster_clock: ClusterClock,
    pub(crate) unidentified: UnidentifiedProcessors,
    /// Freshness of the configuration here, while another control node leads.
    pub(crate) freshness: Freshness,
    /// Whether the platform runs functions.
    pub(crate) functions: bool,
    /// When this leader first listed the processors itself; 0 if it has not yet.
    pub(crate) listed_at: u64,
    pub(crate) launcher: InstanceLauncher,
    /// The configuration in force, parsed once per revision.
    pub(crate) configuration_index: Arc<ConfigurationIndex>,
    /// A revision, and whether the text of its configuration contains a field `domains`.
    pub(crate) mentions_domains: (u64, bool),
    /// The configuration in force as a tree, to which changes are applied.
    pub(crate) document: config::ConfigurationDocument,
    /// Leases of this leader for sending to cold processors.
    pub(crate) cold_leases: ColdLeases,
    /// Leases of this leader on shares of tenants' limits.
    pub(crate) quota_leases: QuotaLeases,
    /// Since when this leader knows that an evacuation was finished, by the index of that order.
    pub(crate) returning_since: HashMap<u64, u64>,
    /// The processors sent to each front, computed once per listing and membership version.
    pub(crate) processor_shares: (u64, u64, HashMap<String, Processors>),
}

impl ControlShared {
    /// The configuration in force, with its indexes; parsed once per revision.
    pub(crate) fn read_configuration(&mut self) -> Arc<ConfigurationIndex> {
        if self.configuration_index.revision != self.control_state.revision
            && let Ok(read) = Configuration::read(&self.control_state.configuration)
        {
            self.configuration_index = Arc::new(read.into());
        }
        self.configuration_index.clone()
    }

    /// As `read_configuration`, but None if the configuration binds nothing to regions. Its text is
    /// searched once per revision first, which costs far less than parsing it.
    pub(crate) fn read_configuration_with_homes(&mut self) -> Option<Arc<ConfigurationIndex>> {
        const FIELD: &[u8] = b"\"domains\"";
        let revision = self.control_state.revision;
        if self.mentions_domains.0 != revision {
            let text = &self.control_state.configuration;
            self.mentions_domains = (revision, text.windows(FIELD.len()).any(|part| part == FIELD));
        }
        let mentions_domains = self.mentions_domains.1;
        mentions_domains.then(|| self.read_configuration()).filter(|configuration| configuration.has_homes())
    }

    pub(crate) fn processors(&self) -> &[Processor] {
        &self.processors
    }

    pub(crate) fn listed_at(&self) -> u64 {
        self.listed_at
    }

    /// Whether this control node knows what the platform lists now.
    pub(crate) fn knows_processors(&self, now: u64) -> bool {
        self.has_authority(now) && self.listed_at > 0
    }

    /// The leader's term, which fences its calls to the platform.
    pub(crate) fn term(&self) -> u64 {
        self.term
    }
}

pub struct ControlService {
    pub settings: Settings,
    pub me: String,
    pub(crate) shared: Mutex<ControlShared>,
    pub(crate) view_changed: Notifier,
    /// Sessions have changed, so that the membership has to be published again.
    pub(crate) membership_stale: Notifier,
    /// Wakes the assignment of partitions early: a store node has its first lease from this leader
    /// or in a new incarnation, and its partitions may have no owner.
    pub(crate) assign_soon: Notifier,
    pub(crate) inputs: mpsc::UnboundedSender<Input>,
    pub(crate) rpc_clients: Arc<RpcClients>,
    pub(crate) start: Instant,
    pub(crate) incarnation: AtomicU64,
    pub(crate) assigning: AtomicBool,
    /// This process is shutting down.
    pub(crate) leaving: AtomicBool,
    pub(crate) settings_updates: watch::Receiver<Settings>,
    /// Connections for calls to the platform.
    pub(crate) platform_pool: Arc<http1::ConnectionPool>,
}

impl ControlService {
    /// The monotonic clock, in milliseconds.
    pub fn now(&self) -> u64 {
        // Starts far above 0, so that 0 can stand for "never".
        self.start.elapsed().as_millis() as u64 + 1_000_000
    }

    /// Runs `f` on the shared state under its lock.
    pub fn with<T>(&self, f: impl FnOnce(&mut ControlShared) -> T) -> T {
        f(&mut self.shared.lock().unwrap())
    }

    /// `quietMs` divided by `divisor`, in whole milliseconds.
    pub(crate) fn ratio(&self, divisor: f64) -> u64 {
        (self.settings.constraints.quiet_ms / divisor) as u64
    }

    /// The configuration in force, with its indexes.
    pub fn configuration_index(&self) -> Arc<ConfigurationIndex> {
        self.with(ControlShared::read_configuration)
    }

    /// The cluster time; None while it is not known.
    pub fn time(&self) -> Option<u64> {
        let now = self.now();
        self.with(|f| f.cluster_clock.time(now))
    }

    /// The versions of what this control node holds.
    pub(crate) fn view_versions(f: &ControlShared) -> ViewVersions {
        ViewVersions {
            configuration: f.control_state.revision,
            assignments: f.control_state.assignments.version,
            membership: f.membership.version,
        }
    }

    fn handle(self: &Arc<Self>, body: Body, responder: Responder) {
        match body {
            Body::RaftNode(m) => {
                let _ = self.inputs.send(Input::RaftNode(m));
            }
            Body::Lease(l) => {
                let ack = self.lease(l, responder.connection_id());
                responder.send(Body::LeaseAck(ack));
            }
            Body::WatchRequest(w) => {
                let control = self.clone();
                tokio::spawn(async move {
                    let update = control.watch(w).await;
                    responder.send(Body::ViewUpdate(update));
                });
            }
            Body::Order(o) => {
                let control = self.clone();
                tokio::spawn(async move {
                    let ack = control.order(o).await;
                    responder.send(Body::OrderAck(ack));
                });
            }
            Body::ColdLease(request) => responder.send(Body::ColdLeaseAck(self.lease_cold(&request.node))),
            Body::QuotaRequest(request) => responder.send(Body::QuotaResponse(self.lease_quota(request))),
            Body::ProcessorsRequest(a) => responder.send(Body::Processors(self.processors_of(&a))),
            Body::Start(s) => {
                let control = self.clone();
                tokio::spawn(async move {
                    let platform = control.settings_updates.borrow().platform.address.clone();
                    let ack = control.start_processor(s, &platform).await;
                    responder.send(Body::StartAck(ack));
                });
            }
            Body::Stop(s) => {
                let control = self.clone();
                tokio::spawn(async move {
                    let platform = control.settings_updates.borrow().platform.address.clone();
                    if control.stop_processor(&s.processor, &platform).await {
                        responder.send(Body::Ack(Ack {}));
                    }
                });
            }
            Body::Status(_) => responder.send(Body::StatusAck(StatusAck { json: self.status() })),
            _ => {}
        }
    }

    /// The status as JSON, as `ctl status` shows it.
    pub fn status(&self) -> String {
        let now = self.now();
        self.with(|f| {
            let partitions: Vec<serde_json::Value> = f
                .control_state
                .assignments
                .partitions
                .iter()
                .map(|p| {
                    serde_json::json!({"id": p.id, "term": p.term, "owner": p.owner, "inSync": p.in_sync,
                        "replicas": p.replicas, "candidate": p.grant.as_ref().map(|g| g.candidate.clone()),
                        "unownedMs": f.ownership_watch.unowned_ms(p.id, now)})
                })
                .collect();
            let nodes: Vec<serde_json::Value> = f
                .membership
                .nodes
                .iter()
                .map(|n| serde_json::json!({"name": n.name, "role": n.role, "zone": n.zone, "inner": n.inner, "leaving": n.leaving}))
                .collect();
            let now = self.now();
            let clocks: BTreeMap<String, i64> =
                f.cluster_clock.clocks_off(now).into_iter().map(|c| (c.node, c.ahead_ms)).collect();
            let behind: BTreeMap<&String, u64> = f.behind.iter().map(|(n, b)| (n, *b)).collect();
            // Store nodes whose disks are not healthy.
            let disks: BTreeMap<&String, &str> = f
                .leases
                .iter()
                .filter(|(_, l)| l.lag > 0)
                .map(|(n, l)| (n, if l.lag == 1 { "slow" } else { "does not answer" }))
                .collect();
            let unidentified = match f.is_leader {
                true => f.unidentified.reported(&f.sessions),
                false => f.unidentified.leader_list().to_vec(),
            };
            serde_json::json!({"node": self.settings.node, "leader": f.leader, "isLeader": f.is_leader,
                "duties": if f.is_leader { vec!["lister", "judge", "assigner"] } else { vec![] },
                "voters": f.voters, "clocks": clocks,
                "clockCorrectionMs": f.cluster_clock.correction_ms(now), "behind": behind, "disks": disks,
                "quotas": if f.is_leader { f.quota_leases.status() } else { serde_json::json!([]) },
                "evacuations": crate::operator::evacuations_json(f)["evacuations"],
                "unidentified": unidentified, "revision": f.control_state.revision, "assignments": f.control_state.assignments.version, "membership": f.membership.version,
                "units": f.membership.processors.len(), "partitions": partitions, "nodes": nodes, "counters": telemetry::render()})
            .to_string()
        })
    }
}

/// Runs a control node until `stop` becomes true.
pub async fn run(
    settings: Settings,
    mut stop: watch::Receiver<bool>,
    settings_updates: watch::Receiver<Settings>,
) -> Result<(), String> {
    let me = settings.inner_addr(Role::Control);
    let quiet = settings.constraints.quiet_ms;
    let (wal, stored) = storage::load(&settings)?;
    let StoredState { hard, state, log, control_state, fresh } = stored;
    if fresh && !settings.initial_start {
        telemetry::change!("the disk is empty: no vote until readmitted");
    }
    let timing = Timing { heartbeat: (quiet / 26.0) as u64, election: (quiet / 9.0) as u64 };
    let start = Instant::now();
    let seed = fingerprint(me.as_bytes()) ^ telemetry::wall_ms();
    let mut raft = RaftNode::new(&me, hard.clone(), state, log, timing, seed, 1_000_000);
    raft.set_snapshot_limit(settings.limits.memory_mb << 20 >> 2);
    let (inputs, rx) = mpsc::unbounded_channel();
    let control = Arc::new(ControlService {
        me: me.clone(),
        shared: Mutex::new(ControlShared {
            control_state,
            membership: Membership::default(),
            membership_updates: MembershipUpdates::default(),
            sessions: BTreeMap::new(),
            leases: HashMap::new(),
            ended: HashMap::new(),
            leader: String::new(),
            is_leader: false,
            serves_until: 0,
            leader_since: 0,
            resumed_at: 0,
            publish_from: 0,
            voters: Vec::new(),
            voters_settled: false,
            behind: Vec::new(),
            term: 0,
            membership_seq: 0,
            processors: Vec::new(),
            listed: false,
            rollout_monitors: HashMap::new(),
            first_store_at: 0,
            store_count_since: (0, 0),
            seizing: HashSet::new(),
            unclaimed_since: HashMap::new(),
            ownership_watch: OwnershipWatch::default(),
            unidentified: UnidentifiedProcessors::default(),
            cluster_clock: ClusterClock::new(
                (settings.constraints.lead_ms / 2.0).max(quiet / 100.0) as u64,
                (quiet / 4.0) as u64,
            ),
            functions: settings.runs_functions(),
            listed_at: 0,
            freshness: Freshness::default(),
            launcher: InstanceLauncher::new(
                settings.platform.lag_ms as u64 + (settings.constraints.converge_ms / 4.0) as u64,
                settings.platform.duty_per_s,
            ),
            configuration_index: Arc::default(),
            mentions_domains: (0, false),
            document: config::ConfigurationDocument::default(),
            cold_leases: ColdLeases::default(),
            quota_leases: QuotaLeases::default(),
            returning_since: HashMap::new(),
            processor_shares: (0, 0, HashMap::new()),
        }),
        view_changed: Notifier::new(),
        membership_stale: Notifier::new(),
        assign_soon: Notifier::new(),
        inputs,
        rpc_clients: RpcClients::new(Duration::from_millis((quiet / 4.0) as u64)),
        start,
        incarnation: AtomicU64::new(new_incarnation()),
        assigning: AtomicBool::new(false),
        leaving: AtomicBool::new(false),
        settings_updates: settings_updates.clone(),
        platform_pool: http1::ConnectionPool::new(Duration::from_millis(quiet as u64)),
        settings: settings.clone(),
    });
    let own = control.node();
    control.with(|f| f.sessions.insert(own.name.clone(), Session { node: own, seen: u64::MAX / 2 }));
    if fresh {
        save(&wal, Save { hard: Some(hard), ..Save::default() }).await;
    }
    let silence = Duration::from_millis((quiet / 4.0) as u64);
    let listener = tokio::net::TcpListener::bind(&me).await.map_err(|e| format!("{me}: {e}"))?;
    let s = control.clone();
    let e = control.clone();
    let ended = move |connection| {
        let control = e.clone();
        tokio::spawn(async move { control.connection_ended(connection).await });
    };
    tokio::spawn(rpc::serve_with_disconnect_hook(listener, silence, move |b, p| s.handle(b, p), ended));
    tokio::spawn(control.clone().publish());
    tokio::spawn(control.clone().follow(settings_updates.clone()));
    if settings.runs_functions() {
        tokio::spawn(control.clone().list_workers(settings_updates.clone()));
    }
    let s = control.clone();
    tokio::spawn(async move { s.list_processors(settings_updates).await });
    tokio::spawn(run_raft(control.clone(), raft, wal, rx));
    tokio::spawn(control.clone().watch_for_pauses());
    let s = control.clone();
    let (close, closing) = watch::channel(http1::Closing::Open);
    tokio::spawn(crate::operator::serve(s, closing));
    let s = control.clone();
    tokio::spawn(async move {
        let period = Duration::from_millis(s.ratio(60.0));
        let mut rounds = 0u64;
        loop {
            tokio::select! {
                _ = tokio::time::sleep(period) => {}
                // The short delay batches nodes that came back at the same moment.
                _ = s.assign_soon.notified() => tokio::time::sleep(period / 8).await,
            }
            rounds += 1;
            if s.holds_leadership() {
                s.assign_partitions().await;
                if rounds.is_multiple_of(3) {
                    s.evaluate_rollouts().await;
                }
            }
            if rounds.is_multiple_of(300) {
                telemetry::report(&s.settings.node, &rpc::sent_frame_stats());
            }
        }
    });
    let _ = stop.wait_for(|s| *s).await;
    let _ = close.send(http1::Closing::Draining);
    control.leave().await;
    tokio::time::sleep(Duration::from_millis(control.ratio(16.0))).await;
    telemetry::report(&settings.node, &rpc::sent_frame_stats());
    Ok(())
}
