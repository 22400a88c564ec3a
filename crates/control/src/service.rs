//! The shell of a control node: runs the log, keeps sessions and leases, and does
//! the duties of the leader.

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

pub type Answered = oneshot::Sender<Option<ApplyResult>>;

pub(crate) enum Input {
    RaftNode(RaftMessage),
    Propose(Bytes, Answered),
    /// This process is told to end.
    Leave,
    /// The control nodes whose sessions stand.
    ControlNodes(Vec<Candidate>),
}

/// A control node whose session stands, as one that may be given a vote.
pub(crate) struct Candidate {
    pub(crate) addr: String,
    pub(crate) zone: String,
    pub(crate) leaving: bool,
}

pub(crate) struct Session {
    pub(crate) node: Node,
    pub(crate) seen: u64,
}

pub(crate) struct StoreLease {
    pub(crate) incarnation: u64,
    /// When it was last renewed.
    pub(crate) at: u64,
    /// The incarnation in which its disk was empty: what it was in sync with before that
    /// does not count.
    pub(crate) born: u64,
    pub(crate) claims: Vec<Holding>,
    pub(crate) connection: u64,
    /// How its disk does: 0 well, 1 slow, 2 it does not answer.
    pub(crate) lag: u32,
    /// Since when it does not do well; of no meaning while it does.
    pub(crate) lagging_since: u64,
}

/// State shared by the tasks of a control node, behind a short lock.
pub struct ControlShared {
    pub control_state: ControlState,
    pub membership: Membership,
    /// What others lack of it.
    pub(crate) membership_updates: MembershipUpdates,
    pub(crate) sessions: BTreeMap<String, Session>,
    pub(crate) leases: HashMap<String, StoreLease>,
    /// Incarnations that were seen to end.
    pub(crate) ended: HashMap<String, u64>,
    pub leader: String,
    pub is_leader: bool,
    /// Until when this control node may act for the majority; 0 when it may not.
    pub(crate) serves_until: u64,
    pub(crate) leader_since: u64,
    /// When this process last went on after it had stood still: what nodes sent meanwhile was not
    /// read, so no lease has run out for that.
    pub(crate) resumed_at: u64,
    /// From when the membership of this leader is news: one that remembers none waits
    /// until the nodes have told it their sessions.
    pub(crate) publish_from: u64,
    pub(crate) voters: Vec<String>,
    /// Whether they are committed.
    pub(crate) voters_settled: bool,
    /// How far the other control nodes are behind, as the leader knows it.
    pub(crate) behind: Vec<(String, u64)>,
    pub(crate) term: u64,
    pub(crate) membership_seq: u64,
    pub(crate) processors: Vec<Processor>,
    pub(crate) listed: bool,
    pub(crate) rollout_monitors: HashMap<String, RolloutMonitor>,
    pub(crate) first_store_at: u64,
    /// How many store nodes there are, and since when.
    pub(crate) store_count_since: (usize, u64),
    /// Owners from which partitions are being taken: they get no lease meanwhile, by
    /// which they would go on beside their successors.
    pub(crate) seizing: HashSet<String>,
    /// Since when nobody acts as a partition's owner.
    pub(crate) unclaimed_since: HashMap<u32, u64>,
    pub(crate) ownership_watch: OwnershipWatch,
    pub(crate) cluster_clock: ClusterClock,
    pub(crate) unidentified: UnidentifiedProcessors,
    /// Of the configuration here, while another control node leads.
    pub(crate) freshness: Freshness,
    /// A platform for functions.
    pub(crate) functions: bool,
    /// Since when the processors are as this leader itself listed them; 0: not yet.
    pub(crate) listed_at: u64,
    pub(crate) launcher: InstanceLauncher,
    /// The configuration in force, read once for a version.
    pub(crate) configuration_index: Arc<ConfigurationIndex>,
    /// Whether the configuration of a revision has a field `domains`.
    pub(crate) names_domains: (u64, bool),
    /// The same as a tree, for changes.
    pub(crate) document: config::ConfigurationDocument,
    /// Who may send to which cold processor, by this leader's word.
    pub(crate) cold_leases: ColdLeases,
    /// Who holds which share of tenants' limits, by this leader's word.
    pub(crate) quota_leases: QuotaLeases,
    /// Zones that were taken back, by the index of that order: since when this leader knows.
    pub(crate) returning_since: HashMap<u64, u64>,
    /// The processors that each front is told, made once for a listing and a membership.
    pub(crate) processor_shares: (u64, u64, HashMap<String, Processors>),
}

impl ControlShared {
    /// The configuration in force, with its indexes; read once for a revision.
    pub(crate) fn read_configuration(&mut self) -> Arc<ConfigurationIndex> {
        if self.configuration_index.revision != self.control_state.revision
            && let Ok(read) = Configuration::read(&self.control_state.configuration)
        {
            self.configuration_index = Arc::new(read.into());
        }
        self.configuration_index.clone()
    }

    /// As `read_configuration`, if the configuration in force may bind anything to regions: its
    /// text is looked through once for a revision, which costs far less than reading it.
    pub(crate) fn read_configuration_with_homes(&mut self) -> Option<Arc<ConfigurationIndex>> {
        const FIELD: &[u8] = b"\"domains\"";
        let revision = self.control_state.revision;
        if self.names_domains.0 != revision {
            let text = &self.control_state.configuration;
            self.names_domains = (revision, text.windows(FIELD.len()).any(|part| part == FIELD));
        }
        let names_domains = self.names_domains.1;
        names_domains.then(|| self.read_configuration()).filter(|configuration| configuration.has_homes())
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

    /// The leader's term: fences what its holder has the platform do.
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
    /// Told to end.
    pub(crate) leaving: AtomicBool,
    pub(crate) settings_updates: watch::Receiver<Settings>,
    /// Connections for what the platform is to do.
    pub(crate) platform_pool: Arc<http1::ConnectionPool>,
}

impl ControlService {
    pub fn now(&self) -> u64 {
        // Starts above 0, so that "never" lies in the past.
        self.start.elapsed().as_millis() as u64 + 1_000_000
    }

    pub fn with<T>(&self, f: impl FnOnce(&mut ControlShared) -> T) -> T {
        f(&mut self.shared.lock().unwrap())
    }

    pub(crate) fn ratio(&self, part: f64) -> u64 {
        (self.settings.constraints.quiet_ms / part) as u64
    }

    /// The configuration in force, with its indexes.
    pub fn configuration_index(&self) -> Arc<ConfigurationIndex> {
        self.with(ControlShared::read_configuration)
    }

    /// The fleet's time; None while the leader does not know it.
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
                let ack = self.lease(l, responder.connection());
                responder.send(Body::LeaseAck(ack));
            }
            Body::WatchRequest(w) => {
                let control = self.clone();
                tokio::spawn(async move {
                    let news = control.watch(w).await;
                    responder.send(Body::ViewUpdate(news));
                });
            }
            Body::Order(o) => {
                let control = self.clone();
                tokio::spawn(async move {
                    let ack = control.order(o).await;
                    responder.send(Body::OrderAck(ack));
                });
            }
            Body::ColdLease(ask) => responder.send(Body::ColdLeaseAck(self.lease_cold(&ask.node))),
            Body::QuotaRequest(ask) => responder.send(Body::QuotaResponse(self.lease_quota(ask))),
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

    pub fn status(&self) -> String {
        let looked_at = self.now();
        self.with(|f| {
            let parts: Vec<serde_json::Value> = f
                .control_state
                .assignments
                .partitions
                .iter()
                .map(|p| {
                    serde_json::json!({"id": p.id, "term": p.term, "owner": p.owner, "inSync": p.in_sync,
                        "replicas": p.replicas, "candidate": p.grant.as_ref().map(|g| g.candidate.clone()),
                        "unownedMs": f.ownership_watch.unowned_ms(p.id, looked_at)})
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
            // Store machines whose disks do not keep up.
            let disks: BTreeMap<&String, &str> = f
                .leases
                .iter()
                .filter(|(_, l)| l.lag > 0)
                .map(|(n, l)| (n, if l.lag == 1 { "slow" } else { "does not answer" }))
                .collect();
            let unidentified = match f.is_leader {
                true => f.unidentified.reported(&f.sessions),
                false => f.unidentified.from_leader().to_vec(),
            };
            serde_json::json!({"node": self.settings.node, "leader": f.leader, "isLeader": f.is_leader,
                "duties": if f.is_leader { vec!["lister", "judge", "assigner"] } else { vec![] },
                "voters": f.voters, "clocks": clocks,
                "clockCorrectionMs": f.cluster_clock.correction_ms(now), "behind": behind, "disks": disks,
                "quotas": if f.is_leader { f.quota_leases.status() } else { serde_json::json!([]) },
                "evacuations": crate::operator::evacuations_json(f)["evacuations"],
                "unidentified": unidentified, "revision": f.control_state.revision, "assignments": f.control_state.assignments.version, "membership": f.membership.version,
                "units": f.membership.processors.len(), "partitions": parts, "nodes": nodes, "counters": telemetry::render()})
            .to_string()
        })
    }
}

/// Runs a control node until it is told to stop.
pub async fn run(
    settings: Settings,
    mut stop: watch::Receiver<bool>,
    settings_updates: watch::Receiver<Settings>,
) -> Result<(), String> {
    let me = settings.inner_addr(Role::Control);
    let quiet = settings.constraints.quiet_ms;
    let (wal, kept) = storage::load(&settings)?;
    let StoredState { hard, state, log, control_state, fresh } = kept;
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
            names_domains: (0, false),
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
    tokio::spawn(rpc::serve_and_tell(listener, silence, move |b, p| s.handle(b, p), ended));
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
                // Others that came back at the same moment are taken along.
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
                telemetry::report(&s.settings.node, &rpc::sent());
            }
        }
    });
    let _ = stop.wait_for(|s| *s).await;
    let _ = close.send(http1::Closing::Draining);
    control.leave().await;
    tokio::time::sleep(Duration::from_millis(control.ratio(16.0))).await;
    telemetry::report(&settings.node, &rpc::sent());
    Ok(())
}
