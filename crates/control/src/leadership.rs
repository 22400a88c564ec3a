//! Authority: who leads, until when this control node may act for the majority, and the
//! task that steps the log and carries out its effects.

use crate::service::*;
use crate::state::*;
use crate::storage::save;
use prost::Message;
use raft::*;
use rpc::messages::*;
use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use wal::Wal;

impl ControlShared {
    /// Checked whenever authority is used: it runs out by the clock alone.
    pub(crate) fn has_authority(&self, now: u64) -> bool {
        self.is_leader && now < self.serves_until
    }
}

impl ControlService {
    /// Whether this control node leads and a majority still follows it.
    pub fn holds_leadership(&self) -> bool {
        let now = self.now();
        self.with(|f| f.has_authority(now))
    }

    /// Puts a command into the log; None when it is unclear whether it is in.
    pub async fn propose(&self, word: CommandPayload) -> Option<ApplyResult> {
        let (tx, rx) = oneshot::channel();
        let data = Command { payload: Some(word), at_ms: self.time().unwrap_or(0) }.encode_to_vec();
        self.inputs.send(Input::Propose(data.into(), tx)).ok()?;
        let wait = Duration::from_millis((self.settings.constraints.ack_ms * 0.8) as u64);
        tokio::time::timeout(wait, rx).await.ok()?.ok()?
    }

    /// How many voters there are to be.
    pub(crate) fn wanted_voters(&self) -> usize {
        (2 * self.settings.tolerance.machines as usize + 1).max(3)
    }

    /// Lets the log know whose sessions stand.
    pub(crate) fn update_vote_candidates(&self, f: &ControlShared) {
        let control_nodes = f.sessions.values().filter(|s| s.node.role == "control");
        let candidate =
            |s: &Session| Candidate { addr: s.node.inner.clone(), zone: s.node.zone.clone(), leaving: s.node.leaving };
        let _ = self.inputs.send(Input::ControlNodes(control_nodes.map(candidate).collect()));
    }

    /// Told to end: names a successor if it leads, and waits until its vote has passed
    /// on, where a control node without one is there to take it; no longer than half of
    /// `graceS`. A vote that stays with it counts as lost until it is back.
    pub(crate) async fn leave(self: &Arc<Self>) {
        self.leaving.store(true, Ordering::Relaxed);
        let _ = self.inputs.send(Input::Leave);
        let end =
            tokio::time::Instant::now() + Duration::from_millis((self.settings.constraints.grace_s * 500.0) as u64);
        let step = Duration::from_millis(self.ratio(100.0));
        let own = self.node();
        self.with(|f| {
            if let Some(s) = f.sessions.get_mut(&own.name) {
                s.node = own;
            }
        });
        // Whoever was there without a vote when it was told: the next leader's membership may
        // not name it yet.
        let mut free = HashSet::new();
        loop {
            let (votes, spare) = self.with(|f| {
                let votes = f.voters.contains(&self.me) || !f.voters_settled;
                let known = f.membership.nodes.iter().chain(f.sessions.values().map(|s| &s.node));
                let others = known.filter(|n| n.role == "control" && !n.leaving && n.inner != self.me);
                free.extend(others.filter(|n| !f.voters.contains(&n.inner)).map(|n| n.inner.clone()));
                // While one changes it may be this one's that passes on.
                let changing = !f.voters_settled || f.voters.len() > self.wanted_voters();
                (votes, changing || free.iter().any(|n| !f.voters.contains(n)))
            });
            if !votes {
                telemetry::change!("the vote has passed on");
                return;
            }
            if !spare {
                return;
            }
            if tokio::time::Instant::now() >= end {
                telemetry::count("votes_kept");
                telemetry::change!("ends with its vote: nobody took it in time");
                return;
            }
            let leader = self.leader();
            if !leader.is_empty() && leader != self.me {
                let w = WatchRequest {
                    node: Some(self.node()),
                    have: ViewVersions { configuration: u64::MAX, assignments: u64::MAX, membership: u64::MAX },
                    wait_ms: 1,
                    ..WatchRequest::default()
                };
                let _ = self.rpc_clients.to(&leader).call(Body::WatchRequest(w), step * 4).await;
            }
            tokio::time::sleep(step).await;
        }
    }

    /// Who leads, as far as is known: nobody, once this control node's own
    /// authority has run out.
    pub(crate) fn leader(&self) -> String {
        let now = self.now();
        self.with(|f| if f.leader == self.me && !f.has_authority(now) { String::new() } else { f.leader.clone() })
    }

    /// The control address of the leader, if it is another one.
    pub fn leader_control(&self) -> Option<String> {
        let leader = self.leader();
        if leader.is_empty() || leader == self.me {
            return None;
        }
        let ip = leader.rsplit_once(':')?.0.to_owned();
        let port = self.settings.listen.control.rsplit_once(':')?.1;
        Some(format!("{ip}:{port}"))
    }
}

/// The one task that steps the log.
pub(crate) async fn turn(
    control: Arc<ControlService>,
    raft: RaftNode,
    wal: Wal,
    mut rx: mpsc::UnboundedReceiver<Input>,
) {
    let mut ticks = tokio::time::interval(Duration::from_millis(control.ratio(100.0)));
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let wanted = control.wanted_voters();
    // Large configurations fill the log long before it is long.
    let heavy = (control.settings.limits.memory_mb as usize) << 20 >> 6;
    let away = (control.settings.constraints.settle_s * 500.0) as u64;
    let mut hand = LeaderLoop {
        control,
        raft,
        wal,
        waiting: HashMap::new(),
        answer: None,
        control_nodes: Vec::new(),
        wanted,
        away,
    };
    loop {
        let event = tokio::select! {
            i = rx.recv() => match i {
                Some(Input::RaftNode(m)) => Event::Message(m),
                Some(Input::Propose(d, a)) => { hand.answer = Some(a); Event::Propose(d) }
                Some(Input::Leave) => Event::Leave,
                Some(Input::ControlNodes(all)) => {
                    hand.raft.set_departing(all.iter().filter(|f| f.leaving).map(|f| f.addr.clone()).collect());
                    hand.control_nodes = all;
                    hand.tend_voters().await;
                    Event::ControlNodes(hand.control_nodes.iter().map(|f| f.addr.clone()).collect())
                }
                None => return,
            },
            _ = ticks.tick() => Event::Tick,
        };
        let ticked = matches!(event, Event::Tick);
        hand.step(event).await;
        hand.answer = None;
        if hand.raft.voters().len() > wanted {
            // One too many, perhaps a lost one among them: not a moment longer than needed.
            hand.tend_voters().await;
        }
        // Not behind the back of one that is being sent the last cut, unless it takes long.
        let room = if hand.raft.is_sending_snapshot() { 2 } else { 1 };
        if hand.raft.log_len() > 512 * room || hand.raft.applied_log_bytes() > heavy * room {
            hand.cut().await;
        }
        hand.tell(ticked);
    }
}

/// Carries out what the log asks for, in its order.
struct LeaderLoop {
    control: Arc<ControlService>,
    raft: RaftNode,
    wal: Wal,
    /// Who waits for which entry, and its term.
    waiting: HashMap<u64, (u64, Answered)>,
    /// Who waits for the proposal that is being made.
    answer: Option<Answered>,
    /// The control nodes whose sessions stood when that was told last.
    control_nodes: Vec<Candidate>,
    /// How many voters there are to be, and after how long a silence, in
    /// milliseconds, one is replaced.
    wanted: usize,
    away: u64,
}

impl LeaderLoop {
    /// What is to become of the voters, as things stand.
    async fn tend_voters(&mut self) {
        let now = self.control.now();
        let all: Vec<(String, String)> = self.control_nodes.iter().map(|f| (f.addr.clone(), f.zone.clone())).collect();
        if let Some(v) = self.raft.next_voters(&all, self.wanted, self.away, now) {
            telemetry::change!("voters {v:?}");
            self.step(Event::SetVoters(v)).await;
        }
    }

    async fn step(&mut self, event: Event) {
        let now = self.control.now();
        for e in self.raft.step(now, event) {
            self.carry_out(e).await;
        }
    }

    /// Cuts the log. The snapshot is the state as it stands now, and says itself
    /// through which entry that is: all that the log asked for before is carried out.
    async fn cut(&mut self) {
        let (index, state) = self.control.with(|f| (f.control_state.applied, f.control_state.encode_to_vec()));
        telemetry::count("log_cuts");
        telemetry::debug!("log cut at {index}: {} bytes of state", state.len());
        self.step(Event::Snapshot { index, state: state.into() }).await;
    }

    /// Lets the other tasks know how things stand.
    fn tell(&self, ticked: bool) {
        let raft = &self.raft;
        let now = self.control.now();
        self.control.with(|f| {
            f.serves_until = raft.serves_until(now);
            raft.known_leader(now).clone_into(&mut f.leader);
            if ticked {
                f.behind = raft.replication_lag();
            }
            f.voters_settled = raft.voters_committed();
            if f.voters != raft.voters() {
                f.voters = raft.voters().to_vec();
            }
        });
    }

    async fn carry_out(&mut self, e: Effect) {
        let LeaderLoop { control, raft, wal, waiting, answer, .. } = self;
        match e {
            Effect::Save(s) => {
                let saving = save(wal, s);
                tokio::pin!(saving);
                let patience = Duration::from_millis(control.ratio(32.0));
                if tokio::time::timeout(patience, &mut saving).await.is_err() {
                    if raft.role == StateRole::Leader && raft.voters().len() > 1 {
                        // It cannot write, so it cannot lead: another one can at once.
                        telemetry::change!("the disk does not answer: naming a successor");
                        for e in raft.step(control.now(), Event::StepDown) {
                            if let Effect::Send(to, m) = e {
                                control.rpc_clients.to(&to).send(Body::RaftNode(m));
                            }
                        }
                        control.with(|f| {
                            f.is_leader = false;
                            f.serves_until = 0;
                            f.leader.clear();
                        });
                        waiting.clear();
                    }
                    saving.await;
                }
            }
            Effect::Send(to, m) => control.rpc_clients.to(&to).send(Body::RaftNode(m)),
            Effect::Proposed(index, term) => {
                if let Some(a) = answer.take() {
                    waiting.insert(index, (term, a));
                }
            }
            Effect::Apply(e) => {
                let applied = control.with(|f| f.control_state.apply_with(&mut f.document, e.index, &e.data));
                if let Some((term, a)) = waiting.remove(&e.index) {
                    let _ = a.send((term == e.term).then_some(applied));
                }
                control.view_changed.notify_waiters();
            }
            Effect::Restore(state) => {
                match ControlState::decode(state) {
                    Ok(mut control_state) => control.with(|f| {
                        // One that does not say so is of an earlier release.
                        control_state.applied = raft.hard.base;
                        f.control_state = control_state;
                        f.document = config::ConfigurationDocument::default();
                    }),
                    Err(e) => {
                        // Never go on with a blank one.
                        telemetry::error!("the state that the leader sent cannot be read, ending: {e}");
                        std::process::exit(3);
                    }
                }
                control.view_changed.notify_waiters();
            }
            Effect::BecameLeader => {
                telemetry::change!("leader at term {}", raft.hard.term);
                let now = control.now();
                control.with(|f| {
                    f.is_leader = true;
                    f.leader_since = now;
                    f.listed_at = 0;
                    f.term = raft.hard.term;
                    f.membership_seq = 0;
                    f.publish_from = if f.membership.version > 0 { 0 } else { now + control.ratio(16.0) };
                    f.rollout_monitors.clear();
                    f.leases.clear();
                    f.cluster_clock.begin_term();
                    f.unclaimed_since.clear();
                    f.ownership_watch.clear();
                    // Who told another control node is taken over, and must tell again.
                    for n in f.membership.nodes.clone() {
                        let node = Node { changed: 0, ..n };
                        f.sessions.entry(node.name.clone()).or_insert(Session { node, seen: now });
                    }
                });
            }
            Effect::SteppedDown => {
                telemetry::change!("no longer the leader");
                control.with(|f| f.is_leader = false);
                waiting.clear();
            }
        }
    }
}
