use crate::identity::NodeIdentity;
use bytes::Bytes;
use config::{Configuration, ConfigurationDocument, ConfigurationIndex, Freshness, Role, Settings, placement_hash};
use rpc::messages::*;
use rpc::{Body, CarriedTime, RpcClients, is_valid_incarnation};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// A process's view of the cluster. Only newer versions replace parts of it.
#[derive(Clone, Default)]
pub struct ClusterView {
    pub json: Bytes,
    /// The latest configuration changes that were applied, kept to forward them.
    pub steps: Vec<ConfigurationStep>,
    pub configuration: Arc<ConfigurationIndex>,
    pub assignments: Arc<Assignments>,
    pub membership: Arc<Membership>,
    pub leader: String,
    /// A change could not be applied, so the complete configuration is requested.
    needs_full_configuration: bool,
    /// When the configuration was last confirmed to be the latest.
    pub freshness: Freshness,
}

impl ClusterView {
    pub fn have(&self) -> ViewVersions {
        let configuration = if self.needs_full_configuration { 0 } else { self.configuration.revision };
        ViewVersions { configuration, assignments: self.assignments.version, membership: self.membership.version }
    }

    /// Applies whatever is newer; returns whether anything changed.
    pub fn take(&mut self, news: &ViewUpdate) -> bool {
        let mut moved = false;
        if let Some(json) = news.decoded_configuration()
            && let Ok(t) = Configuration::read(&json)
            && (t.revision > self.configuration.revision
                || (self.needs_full_configuration && t.revision == self.configuration.revision))
        {
            self.configuration = Arc::new(t.into());
            self.json = json;
            self.steps.clear();
            self.needs_full_configuration = false;
            moved = true;
        }
        moved |= self.take_steps(&news.steps);
        if let Some(c) = &news.assignments
            && c.version > self.assignments.version
        {
            moved |= Arc::make_mut(&mut self.assignments).apply(c);
        }
        if let Some(r) = news.decoded_membership()
            && r.version > self.membership.version
        {
            moved |= Arc::make_mut(&mut self.membership).apply(&r);
        }
        if !news.leader.is_empty() && news.leader != self.leader {
            self.leader = news.leader.clone();
            moved = true;
        }
        self.freshness.moved_to(self.configuration.revision);
        moved
    }

    /// As `take`, for the response to a request sent at `asked_at`. The response may confirm that a
    /// configuration was the latest at that time.
    pub fn take_answer(&mut self, news: &ViewUpdate, asked_at: Instant) -> bool {
        let moved = self.take(news);
        let age = news.configuration_age_ms.map(Duration::from_millis);
        if let Some(shown_at) = age.and_then(|age| asked_at.checked_sub(age)) {
            self.freshness.shown(news.have.configuration, shown_at, self.configuration.revision);
        }
        moved
    }

    /// As `news_for`, with the age of the configuration's confirmation at the time of the request.
    pub fn proven_news_for(&self, have: &ViewVersions, asked_at: Instant) -> ViewUpdate {
        let configuration_age_ms = self.freshness.age_ms(asked_at);
        ViewUpdate { configuration_age_ms, ..self.news_for(have) }
    }

    /// Applies configuration changes, each to the revision it was made for.
    fn take_steps(&mut self, steps: &[ConfigurationStep]) -> bool {
        let new: Vec<&ConfigurationStep> = steps.iter().filter(|s| s.revision > self.configuration.revision).collect();
        let Some(last) = new.last() else { return false };
        // The changes are applied in turn to one document; the fingerprint of the last change is
        // that of the resulting configuration.
        let made = ConfigurationDocument::read(self.configuration.revision, &self.json).and_then(|mut document| {
            for s in &new {
                if s.since != document.revision {
                    return Err("a change is missing".to_owned());
                }
                document.adjust(&s.change)?;
            }
            document.text()
        });
        let read = made.and_then(|j| match rpc::fingerprint(&j) == last.fingerprint {
            true => Configuration::read(&j).map(|t| (Bytes::from(j), t)),
            false => Err("the fingerprint does not match".into()),
        });
        let (json, t) = match read {
            Ok(r) => r,
            Err(e) => {
                // The complete configuration is requested instead.
                telemetry::debug!("configuration changes refused, requesting the complete configuration: {e}");
                telemetry::count("steps_refused");
                self.needs_full_configuration = true;
                return false;
            }
        };
        let limit = json.len() / 2;
        self.steps.extend(steps.iter().filter(|s| s.revision > self.configuration.revision).cloned());
        while self.steps.iter().map(|s| s.change.len()).sum::<usize>() > limit {
            self.steps.remove(0);
        }
        (self.json, self.configuration) = (json, Arc::new(t.into()));
        true
    }

    /// The update for a process at revision `have`: the changes since then, or the complete
    /// configuration.
    fn configuration_since(&self, have: u64) -> (Option<Bytes>, Vec<ConfigurationStep>) {
        if self.configuration.revision <= have {
            return (None, Vec::new());
        }
        match self.steps.iter().position(|s| s.since == have) {
            Some(at) => (None, self.steps[at..].to_vec()),
            None => (Some(self.json.clone()), Vec::new()),
        }
    }

    /// Everything newer than the versions in `have`.
    pub fn news_for(&self, have: &ViewVersions) -> ViewUpdate {
        let mine = ViewVersions { configuration: self.configuration.revision, ..self.have() };
        let (configuration, steps) = self.configuration_since(have.configuration);
        let mut news = ViewUpdate {
            have: mine,
            steps,
            assignments: (mine.assignments > have.assignments).then(|| self.assignments.delta_since(have.assignments)),
            leader: self.leader.clone(),
            ..ViewUpdate::default()
        };
        if mine.membership > have.membership {
            news.put_membership(self.membership.delta_since(have.membership));
        }
        if let Some(json) = configuration {
            news.put_configuration(json);
        }
        news
    }

    pub fn node(&self, name: &str, role: &str) -> Option<&Node> {
        // The nodes of a membership are sorted by name.
        let at = self.membership.nodes.binary_search_by(|n| n.name.as_str().cmp(name)).ok()?;
        self.membership.nodes.get(at).filter(|n| n.role == role)
    }
}

/// The session of a process with the control plane: its view and the control nodes' addresses.
pub struct Session {
    pub settings: Settings,
    pub rpc_clients: Arc<RpcClients>,
    known: watch::Sender<ClusterView>,
    identity: Mutex<NodeIdentity>,
    control_nodes: Mutex<Vec<String>>,
    /// The cluster time, also maintained here so that it survives the loss of all store and control
    /// machines.
    time: Mutex<CarriedTime>,
    start: Instant,
    /// Processors whose responses do not name their request, as reported by the local front.
    unidentified: Mutex<Vec<String>>,
}

impl Session {
    pub fn new(settings: Settings, node: Node, rpc_clients: Arc<RpcClients>) -> Arc<Session> {
        let control_nodes = settings.seed_control_nodes();
        Arc::new(Session {
            time: Mutex::new(CarriedTime::default()),
            start: Instant::now(),
            known: watch::channel(ClusterView::default()).0,
            identity: Mutex::new(NodeIdentity::new(node)),
            control_nodes: Mutex::new(control_nodes),
            unidentified: Mutex::default(),
            rpc_clients,
            settings,
        })
    }

    pub fn known(&self) -> ClusterView {
        self.known.borrow().clone()
    }

    pub fn with_known<T>(&self, f: impl FnOnce(&ClusterView) -> T) -> T {
        f(&self.known.borrow())
    }

    pub fn subscribe(&self) -> watch::Receiver<ClusterView> {
        self.known.subscribe()
    }

    pub fn take(&self, news: &ViewUpdate) -> bool {
        self.known.send_if_modified(|k| k.take(news))
    }

    /// Starts from the membership of a previous incarnation, for its addresses. The first membership
    /// from a leader replaces it, whatever its version.
    pub fn begin_with(&self, previous: Membership) {
        self.known.send_modify(|k| k.membership = Arc::new(Membership { version: 0, ..previous }));
    }

    fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// The cluster time as maintained here; 0 if none was received.
    fn carried_ms(&self) -> u64 {
        self.time.lock().unwrap().time(self.now()).unwrap_or(0)
    }

    /// Applies the response to a request sent at `asked_at`.
    fn take_answer(&self, news: &ViewUpdate, asked_at: Instant) -> bool {
        self.known.send_if_modified(|k| k.take_answer(news, asked_at))
    }

    /// Whether the confirmation in a response is so old that another control node should be asked:
    /// older than half of the freshness bound, or missing.
    fn needs_confirmation(&self, news: &ViewUpdate) -> bool {
        let bound = self.settings.constraints.freshness_bound();
        let age = news.configuration_age_ms.map(Duration::from_millis);
        bound.is_some_and(|bound| age.is_none_or(|age| age > bound / 2))
    }

    pub fn me(&self) -> Node {
        self.identity.lock().unwrap().node()
    }

    /// Begins a new incarnation if `newer_incarnation` is not before the current one.
    pub fn relive(&self, newer_incarnation: u64) -> Option<u64> {
        if !is_valid_incarnation(newer_incarnation) {
            return None;
        }
        let incarnation = self.identity.lock().unwrap().begin_after(newer_incarnation)?;
        telemetry::change!("a later incarnation of this node is known; incarnation is now {incarnation}");
        Some(incarnation)
    }

    /// Records the incarnation since which this node has a different disk.
    pub fn reborn(&self, incarnation: u64) {
        self.identity.lock().unwrap().set_born(incarnation);
    }

    /// Records the processors whose responses do not name their request, as reported by the front.
    /// The next watch request reports them to the control nodes.
    pub fn set_unidentified(&self, addresses: &[String]) {
        *self.unidentified.lock().unwrap() = addresses.to_vec();
    }

    /// This process is about to stop; its node accepts no more work.
    pub fn set_leaving(&self) {
        self.identity.lock().unwrap().end();
    }

    /// Records the incarnation of the local service process and whether it is about to stop.
    pub fn service_told(&self, incarnation: u64, is_leaving: bool) {
        self.identity.lock().unwrap().service_told(incarnation, is_leaving);
    }

    /// Adds the control nodes named by changed settings.
    pub fn reseed(&self, seeds: &[String]) {
        let mut all = self.control_nodes.lock().unwrap();
        for s in seeds {
            if !all.contains(s) {
                telemetry::change!("control node {s} added from the settings");
                all.push(s.clone());
            }
        }
    }

    /// Adds new seeds whenever the settings change.
    pub async fn heed(self: Arc<Self>, mut settings_updates: watch::Receiver<Settings>) {
        while settings_updates.changed().await.is_ok() {
            let seeds = settings_updates.borrow_and_update().seed_control_nodes();
            self.reseed(&seeds);
        }
    }

    /// Control nodes in order of preference: this zone first, then this region.
    pub fn order_control_nodes(&self) -> Vec<String> {
        let mut all = self.control_nodes.lock().unwrap().clone();
        self.with_known(|k| {
            for n in k.membership.nodes.iter().filter(|n| n.role == "control") {
                if !all.contains(&n.inner) {
                    all.push(n.inner.clone());
                }
            }
            let near = |addr: &String| {
                let n = k.membership.nodes.iter().find(|n| n.role == "control" && n.inner == *addr);
                match n {
                    Some(n) if n.zone == self.settings.zone => 0,
                    Some(n) if n.region == self.settings.region => 1,
                    _ => 2,
                }
            };
            let mine = self.settings.inner_addr(Role::Control);
            // Spreads the nodes over control nodes of equal distance.
            let spread = |addr: &String| placement_hash(&format!("{addr} {}", self.settings.node));
            all.sort_by_cached_key(|a| (near(a), *a != mine, spread(a)));
        });
        all
    }

    /// Polls the control nodes for updates; never returns.
    pub async fn keep(self: Arc<Self>) {
        let quiet = self.settings.constraints.quiet_ms;
        let wait = self.settings.constraints.news_wait().as_millis() as u32;
        let (mut turn, mut failures) = (0usize, 0u32);
        loop {
            let control_nodes = self.order_control_nodes();
            let addr = control_nodes[turn % control_nodes.len()].clone();
            let mut node = self.me();
            if node.role == "store" {
                // A store node's session is its lease.
                node.name.clear();
            }
            let w = WatchRequest {
                node: (!node.name.is_empty()).then_some(node),
                have: self.with_known(|k| k.have()),
                wait_ms: wait,
                time_ms: self.carried_ms(),
                unidentified: self.unidentified.lock().unwrap().clone(),
                ..WatchRequest::default()
            };
            let asked_ms = self.now();
            // The first responses carry the complete state, possibly over a slow link.
            let times = if w.have.configuration == 0 || w.have.membership == 0 { 4 } else { 2 };
            let asked_at = Instant::now();
            let asked = self
                .rpc_clients
                .to(&addr)
                .call(Body::WatchRequest(w), Duration::from_millis(wait as u64 * times))
                .await;
            match asked {
                Ok(Body::ViewUpdate(n)) => {
                    failures = 0;
                    self.time.lock().unwrap().update(n.time_ms, asked_ms, self.now());
                    if !n.control_nodes.is_empty() {
                        let mut f = self.control_nodes.lock().unwrap();
                        for a in &n.control_nodes {
                            if !f.contains(a) {
                                f.push(a.clone());
                            }
                        }
                    }
                    self.take_answer(&n, asked_at);
                    if self.settings.runs_functions() && !n.steps.is_empty() {
                        // Parsing a large configuration is expensive on a small machine, so changes
                        // in quick succession are fetched together.
                        tokio::time::sleep(Duration::from_millis(
                            (self.settings.constraints.converge_ms / 16.0) as u64,
                        ))
                        .await;
                    }
                    if n.newer_incarnation > 0 && self.relive(n.newer_incarnation).is_some() {
                        continue;
                    }
                    if n.leader.is_empty() || self.needs_confirmation(&n) {
                        // The control node knows no leader or its confirmation is too old; another
                        // one may have newer information.
                        turn += 1;
                        tokio::time::sleep(Duration::from_millis((quiet / 80.0) as u64)).await;
                        continue;
                    }
                    if turn != 0 && self.order_control_nodes().first() != Some(&addr) {
                        // Returns to the nearest control node.
                        turn = 0;
                    }
                }
                _ => {
                    telemetry::count("session_misses");
                    turn += 1;
                    failures += 1;
                    let pause = (quiet / 80.0) * f64::from(1 << failures.min(2));
                    tokio::time::sleep(Duration::from_millis(pause as u64)).await;
                }
            }
        }
    }
}
