//! The shell of a foreman: runs the log, keeps sessions and leases, and does
//! the duties of the leader.

use crate::authority::turn;
use crate::bellows::Bellows;
use crate::disk::{self, Kept, save};
use crate::governor::Governor;
use crate::plumb::Plumb;
use crate::rack::*;
use crate::vise::*;
use bytes::Bytes;
use dovetail::msg::*;
use dovetail::{Bench, Peg, new_life};
use gauge::{Caliper, Pattern, Role, Template};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::atomic::{AtomicBool, AtomicU64};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::sync::{Notify as Bell, mpsc, oneshot, watch};

pub type Answered = oneshot::Sender<Option<Applied>>;

pub(crate) enum Input {
    Vise(ViseMsg),
    Propose(Bytes, Answered),
    /// This process is told to end.
    Leave,
    /// The foremen whose sessions stand.
    Foremen(Vec<Candidate>),
}

/// A foreman whose session stands, as one that may be given a vote.
pub(crate) struct Candidate {
    pub(crate) addr: String,
    pub(crate) zone: String,
    pub(crate) leaving: bool,
}

pub(crate) struct Session {
    pub(crate) node: Node,
    pub(crate) seen: u64,
}

pub(crate) struct Leased {
    pub(crate) life: u64,
    /// When it was last renewed.
    pub(crate) at: u64,
    /// The life in which its disk was empty: what it was in sync with before that
    /// does not count.
    pub(crate) born: u64,
    pub(crate) claims: Vec<Holding>,
    pub(crate) connection: u64,
    /// How its disk does: 0 well, 1 slow, 2 it does not answer.
    pub(crate) lag: u32,
}

/// State shared by the tasks of a foreman, behind a short lock.
pub struct Floor {
    pub rack: Rack,
    pub roster: Roster,
    pub(crate) sessions: BTreeMap<String, Session>,
    pub(crate) leases: HashMap<String, Leased>,
    /// Lives that were seen to end.
    pub(crate) ended: HashMap<String, u64>,
    pub leader: String,
    pub is_leader: bool,
    /// Until when this foreman may act for the majority; 0 when it may not.
    pub(crate) serves_until: u64,
    pub(crate) leader_since: u64,
    /// From when the roster of this leader is news: one that remembers none waits
    /// until the nodes have told it their sessions.
    pub(crate) publish_from: u64,
    pub(crate) voters: Vec<String>,
    /// Whether they are committed.
    pub(crate) voters_settled: bool,
    /// How far the other foremen are behind, as the leader knows it.
    pub(crate) behind: Vec<(String, u64)>,
    pub(crate) term: u64,
    pub(crate) roster_seq: u64,
    pub(crate) units: Vec<Unit>,
    pub(crate) listed: bool,
    pub(crate) plumbs: HashMap<String, Plumb>,
    pub(crate) first_lathe_at: u64,
    /// How many lathes there are, and since when.
    pub(crate) steady: (usize, u64),
    /// Owners from which partitions are being taken: they get no lease meanwhile, by
    /// which they would go on beside their successors.
    pub(crate) seizing: HashSet<String>,
    /// Since when nobody acts as a partition's owner.
    pub(crate) unclaimed: HashMap<u32, u64>,
    pub(crate) governor: Governor,
    /// A platform for functions.
    pub(crate) functions: bool,
    /// Since when the processors are as this leader itself listed them; 0: not yet.
    pub(crate) listed_at: u64,
    pub(crate) bellows: Bellows,
    /// The configuration in force, read once for a version.
    pub(crate) pattern: Arc<Pattern>,
    /// The same as a tree, for changes.
    pub(crate) tree: gauge::Tree,
    /// The processors that each front is told, made once for a listing and a roster.
    pub(crate) shares: (u64, u64, HashMap<String, Units>),
}

impl Floor {
    pub(crate) fn units(&self) -> &[Unit] {
        &self.units
    }

    pub(crate) fn listed_at(&self) -> u64 {
        self.listed_at
    }

    /// Whether this foreman knows what the platform lists now.
    pub(crate) fn tells_units(&self, now: u64) -> bool {
        self.holds(now) && self.listed_at > 0
    }

    /// The leader's term: fences what its holder has the platform do.
    pub(crate) fn term(&self) -> u64 {
        self.term
    }
}

pub struct Shop {
    pub caliper: Caliper,
    pub me: String,
    pub(crate) floor: Mutex<Floor>,
    pub(crate) news: Bell,
    /// What nodes told has changed what is to be published.
    pub(crate) stale: Bell,
    pub(crate) inputs: mpsc::UnboundedSender<Input>,
    pub(crate) bench: Arc<Bench>,
    pub(crate) start: Instant,
    pub(crate) life: AtomicU64,
    pub(crate) assigning: AtomicBool,
    /// Told to end.
    pub(crate) leaving: AtomicBool,
    pub(crate) settings: watch::Receiver<Caliper>,
    /// Connections for what the platform is to do.
    pub(crate) hose: Arc<spindle::Chuck>,
}

impl Shop {
    pub fn now(&self) -> u64 {
        // Starts above 0, so that "never" lies in the past.
        self.start.elapsed().as_millis() as u64 + 1_000_000
    }

    pub fn with<T>(&self, f: impl FnOnce(&mut Floor) -> T) -> T {
        f(&mut self.floor.lock().unwrap())
    }

    pub(crate) fn ratio(&self, part: f64) -> u64 {
        (self.caliper.constraints.quiet_ms / part) as u64
    }

    /// The configuration in force, with its indexes.
    pub fn pattern(&self) -> Arc<Pattern> {
        self.with(|f| {
            if f.pattern.revision != f.rack.revision
                && let Ok(t) = Template::read(&f.rack.template)
            {
                f.pattern = Arc::new(t.into());
            }
            f.pattern.clone()
        })
    }

    /// The fleet's time; None while the leader does not know it.
    pub fn time(&self) -> Option<u64> {
        let now = self.now();
        self.with(|f| f.governor.time(now))
    }

    pub(crate) fn have(f: &Floor) -> Have {
        Have { template: f.rack.revision, charter: f.rack.charter.version, roster: f.roster.version }
    }

    fn handle(self: &Arc<Self>, body: Body, peg: Peg) {
        match body {
            Body::Vise(m) => {
                let _ = self.inputs.send(Input::Vise(m));
            }
            Body::Lease(l) => {
                let ack = self.lease(l, peg.connection());
                peg.send(Body::LeaseAck(ack));
            }
            Body::Watch(w) => {
                let shop = self.clone();
                tokio::spawn(async move {
                    let news = shop.watch(w).await;
                    peg.send(Body::News(news));
                });
            }
            Body::Order(o) => {
                let shop = self.clone();
                tokio::spawn(async move {
                    let ack = shop.order(o).await;
                    peg.send(Body::OrderAck(ack));
                });
            }
            Body::UnitsAsk(a) => peg.send(Body::Units(self.units_of(&a))),
            Body::Start(s) => {
                let shop = self.clone();
                tokio::spawn(async move {
                    let platform = shop.settings.borrow().platform.address.clone();
                    let ack = shop.start_unit(s, &platform).await;
                    peg.send(Body::StartAck(ack));
                });
            }
            Body::Stop(s) => {
                let shop = self.clone();
                tokio::spawn(async move {
                    let platform = shop.settings.borrow().platform.address.clone();
                    if shop.stop_unit(&s.unit, &platform).await {
                        peg.send(Body::Ack(Ack {}));
                    }
                });
            }
            Body::Status(_) => peg.send(Body::StatusAck(StatusAck { json: self.status() })),
            _ => {}
        }
    }

    pub fn status(&self) -> String {
        self.with(|f| {
            let parts: Vec<serde_json::Value> = f
                .rack
                .charter
                .partitions
                .iter()
                .map(|p| {
                    serde_json::json!({"id": p.id, "term": p.term, "owner": p.owner, "insync": p.insync,
                        "homes": p.homes, "candidate": p.grant.as_ref().map(|g| g.candidate.clone())})
                })
                .collect();
            let nodes: Vec<serde_json::Value> = f
                .roster
                .nodes
                .iter()
                .map(|n| serde_json::json!({"name": n.name, "role": n.role, "zone": n.zone, "inner": n.inner, "leaving": n.leaving}))
                .collect();
            let behind: BTreeMap<&String, u64> = f.behind.iter().map(|(n, b)| (n, *b)).collect();
            // Store machines whose disks do not keep up.
            let disks: BTreeMap<&String, &str> = f
                .leases
                .iter()
                .filter(|(_, l)| l.lag > 0)
                .map(|(n, l)| (n, if l.lag == 1 { "slow" } else { "does not answer" }))
                .collect();
            serde_json::json!({"node": self.caliper.node, "leader": f.leader, "isLeader": f.is_leader,
                "duties": if f.is_leader { vec!["lister", "judge", "assigner"] } else { vec![] },
                "voters": f.voters, "behind": behind, "disks": disks, "revision": f.rack.revision, "charter": f.rack.charter.version, "roster": f.roster.version,
                "units": f.roster.units.len(), "partitions": parts, "nodes": nodes, "counters": tally::render()})
            .to_string()
        })
    }
}

/// Runs a foreman until it is told to stop.
pub async fn run(
    caliper: Caliper,
    mut stop: watch::Receiver<bool>,
    settings: watch::Receiver<Caliper>,
) -> Result<(), String> {
    let me = caliper.inner_addr(Role::Foreman);
    let quiet = caliper.constraints.quiet_ms;
    let (drawer, kept) = disk::load(&caliper)?;
    let Kept { hard, state, log, rack, fresh } = kept;
    if fresh && !caliper.initial_start {
        tally::change!("the disk is empty: no vote until readmitted");
    }
    let pace = Pace { beat: (quiet / 26.0) as u64, election: (quiet / 9.0) as u64 };
    let start = Instant::now();
    let seed = print(me.as_bytes()) ^ tally::wall_ms();
    let mut vise = Vise::new(&me, hard.clone(), state, log, pace, seed, 1_000_000);
    vise.limit_snapshots(caliper.limits.memory_mb << 20 >> 2);
    let (inputs, rx) = mpsc::unbounded_channel();
    let shop = Arc::new(Shop {
        me: me.clone(),
        floor: Mutex::new(Floor {
            rack,
            roster: Roster::default(),
            sessions: BTreeMap::new(),
            leases: HashMap::new(),
            ended: HashMap::new(),
            leader: String::new(),
            is_leader: false,
            serves_until: 0,
            leader_since: 0,
            publish_from: 0,
            voters: Vec::new(),
            voters_settled: false,
            behind: Vec::new(),
            term: 0,
            roster_seq: 0,
            units: Vec::new(),
            listed: false,
            plumbs: HashMap::new(),
            first_lathe_at: 0,
            steady: (0, 0),
            seizing: HashSet::new(),
            unclaimed: HashMap::new(),
            governor: Governor::new(
                (caliper.constraints.lead_ms / 2.0).max(quiet / 100.0) as u64,
                (quiet / 4.0) as u64,
            ),
            functions: caliper.runs_functions(),
            listed_at: 0,
            bellows: Bellows::new(
                caliper.platform.lag_ms as u64 + (caliper.constraints.converge_ms / 4.0) as u64,
                caliper.platform.duty_per_s,
            ),
            pattern: Arc::default(),
            tree: gauge::Tree::default(),
            shares: (0, 0, HashMap::new()),
        }),
        news: Bell::new(),
        stale: Bell::new(),
        inputs,
        bench: Bench::new(Duration::from_millis((quiet / 4.0) as u64)),
        start,
        life: AtomicU64::new(new_life()),
        assigning: AtomicBool::new(false),
        leaving: AtomicBool::new(false),
        settings: settings.clone(),
        hose: spindle::Chuck::new(Duration::from_millis(quiet as u64)),
        caliper: caliper.clone(),
    });
    let own = shop.node();
    shop.with(|f| f.sessions.insert(own.name.clone(), Session { node: own, seen: u64::MAX / 2 }));
    if fresh {
        save(&drawer, Save { hard: Some(hard), ..Save::default() }).await;
    }
    let silence = Duration::from_millis((quiet / 4.0) as u64);
    let listener = tokio::net::TcpListener::bind(&me).await.map_err(|e| format!("{me}: {e}"))?;
    let s = shop.clone();
    let e = shop.clone();
    let ended = move |connection| {
        let shop = e.clone();
        tokio::spawn(async move { shop.connection_ended(connection).await });
    };
    tokio::spawn(dovetail::serve_and_tell(listener, silence, move |b, p| s.handle(b, p), ended));
    tokio::spawn(shop.clone().publish());
    tokio::spawn(shop.clone().follow(settings.clone()));
    if caliper.runs_functions() {
        tokio::spawn(shop.clone().list_workers(settings.clone()));
    }
    let s = shop.clone();
    tokio::spawn(async move { s.list(settings).await });
    tokio::spawn(turn(shop.clone(), vise, drawer, rx));
    let s = shop.clone();
    let (close, closing) = watch::channel(spindle::Closing::Open);
    tokio::spawn(crate::operator::serve(s, closing));
    let s = shop.clone();
    tokio::spawn(async move {
        let period = Duration::from_millis(s.ratio(60.0));
        let mut rounds = 0u64;
        loop {
            tokio::time::sleep(period).await;
            rounds += 1;
            if s.holds_leadership() {
                s.assign().await;
                if rounds.is_multiple_of(3) {
                    s.judge().await;
                }
            }
            if rounds.is_multiple_of(300) {
                tally::report(&s.caliper.node, &dovetail::sent());
            }
        }
    });
    let _ = stop.wait_for(|s| *s).await;
    let _ = close.send(spindle::Closing::Draining);
    shop.leave().await;
    tokio::time::sleep(Duration::from_millis(shop.ratio(16.0))).await;
    tally::report(&caliper.node, &dovetail::sent());
    Ok(())
}
