//! Leadership: which control node leads, until when this one may act for the majority, and the
//! task that drives Raft and executes its effects.

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
    /// Whether this control node may act for the majority. To be checked at every use, as the
    /// authority expires by the clock alone.
    pub(crate) fn has_authority(&self, now: u64) -> bool {
        self.is_leader && now < self.serves_until
    }
}

impl ControlService {
    /// Whether this control node leads and a majority follows it.
    pub fn holds_leadership(&self) -> bool {
        let now = self.now();
        self.with(|f| f.has_authority(now))
    }

    /// Proposes a command and waits for its result; None if it is unknown whether the command
    /// was committed.
    pub async fn propose(&self, payload: CommandPayload) -> Option<ApplyResult> {
        let (tx, rx) = oneshot::channel();
        let data = Command { payload: Some(payload), at_ms: self.time().unwrap_or(0) }.encode_to_vec();
        self.inputs.send(Input::Propose(data.into(), tx)).ok()?;
        let wait = Duration::from_millis((self.settings.constraints.ack_ms * 0.8) as u64);
        tokio::time::timeout(wait, rx).await.ok()?.ok()?
    }

    /// The target number of voters.
    pub(crate) fn wanted_voters(&self) -> usize {
        (2 * self.settings.tolerance.machines as usize + 1).max(3)
    }

    /// Passes the control nodes with a live session to the Raft task, as candidates for a vote.
    pub(crate) fn update_vote_candidates(&self, f: &ControlShared) {
        let control_nodes = f.sessions.values().filter(|s| s.node.role == "control");
        let candidate =
            |s: &Session| Candidate { addr: s.node.inner.clone(), zone: s.node.zone.clone(), leaving: s.node.leaving };
        let _ = self.inputs.send(Input::ControlNodes(control_nodes.map(candidate).collect()));
    }

    /// Prepares for shutdown: names a successor if this node leads, and waits until its vote has
    /// been transferred, if a control node without a vote can take it; at most half of `graceS`.
    /// A vote that is not transferred counts as lost until this node is back.
    pub(crate) async fn leave(self: &Arc<Self>) {
        self.leaving.store(true, Ordering::Relaxed);
        let _ = self.inputs.send(Input::Leave);
        let deadline =
            tokio::time::Instant::now() + Duration::from_millis((self.settings.constraints.grace_s * 500.0) as u64);
        let step = Duration::from_millis(self.ratio(100.0));
        let own = self.node();
        self.with(|f| {
            if let Some(s) = f.sessions.get_mut(&own.name) {
                s.node = own;
            }
        });
        // Collects the control nodes seen without a vote, as the membership of the next leader
        // may not list them yet.
        let mut free = HashSet::new();
        loop {
            let (votes, transferable) = self.with(|f| {
                let votes = f.voters.contains(&self.me) || !f.voters_settled;
                let known = f.membership.nodes.iter().chain(f.sessions.values().map(|s| &s.node));
                let others = known.filter(|n| n.role == "control" && !n.leaving && n.inner != self.me);
                free.extend(others.filter(|n| !f.voters.contains(&n.inner)).map(|n| n.inner.clone()));
                // A change of voters in progress may transfer this node's vote.
                let changing = !f.voters_settled || f.voters.len() > self.wanted_voters();
                (votes, changing || free.iter().any(|n| !f.voters.contains(n)))
            });
            if !votes {
                telemetry::change!("the vote has passed on");
                return;
            }
            if !transferable {
                return;
            }
            if tokio::time::Instant::now() >= deadline {
                telemetry::count("votes_kept");
                telemetry::change!("shutting down with its vote: no control node took it over in time");
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

    /// The address of the leader as far as it is known; empty if this control node led and its
    /// authority has expired.
    pub(crate) fn leader(&self) -> String {
        let now = self.now();
        self.with(|f| if f.leader == self.me && !f.has_authority(now) { String::new() } else { f.leader.clone() })
    }

    /// The operator API address of the leader, if another control node leads.
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

/// The only task that steps Raft.
pub(crate) async fn run_raft(
    control: Arc<ControlService>,
    raft: RaftNode,
    wal: Wal,
    mut rx: mpsc::UnboundedReceiver<Input>,
) {
    let mut ticker = tokio::time::interval(Duration::from_millis(control.ratio(100.0)));
    ticker.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let wanted_voters = control.wanted_voters();
    // Large configurations make the log large long before it has many entries.
    let max_log_bytes = (control.settings.limits.memory_mb as usize) << 20 >> 6;
    let replace_after_ms = (control.settings.constraints.settle_s * 500.0) as u64;
    let mut driver = RaftDriver {
        control,
        raft,
        wal,
        pending: HashMap::new(),
        proposer: None,
        control_nodes: Vec::new(),
        wanted_voters,
        replace_after_ms,
    };
    loop {
        let event = tokio::select! {
            i = rx.recv() => match i {
                Some(Input::RaftNode(m)) => Event::Message(m),
                Some(Input::Propose(d, a)) => { driver.proposer = Some(a); Event::Propose(d) }
                Some(Input::Leave) => Event::Leave,
                Some(Input::ControlNodes(all)) => {
                    driver.raft.set_departing(all.iter().filter(|f| f.leaving).map(|f| f.addr.clone()).collect());
                    driver.control_nodes = all;
                    driver.adjust_voters().await;
                    Event::ControlNodes(driver.control_nodes.iter().map(|f| f.addr.clone()).collect())
                }
                None => return,
            },
            _ = ticker.tick() => Event::Tick,
        };
        let ticked = matches!(event, Event::Tick);
        driver.step(event).await;
        driver.proposer = None;
        if driver.raft.voters().len() > wanted_voters {
            // With a surplus voter that may be lost, no further loss is tolerated: remove it at once.
            driver.adjust_voters().await;
        }
        // A newer snapshot would replace the one that is being sent to a follower, so the limits
        // are doubled meanwhile.
        let factor = if driver.raft.is_sending_snapshot() { 2 } else { 1 };
        if driver.raft.log_len() > 512 * factor || driver.raft.applied_log_bytes() > max_log_bytes * factor {
            driver.take_snapshot().await;
        }
        driver.publish_status(ticked);
    }
}

/// Steps Raft and executes its effects in order.
struct RaftDriver {
    control: Arc<ControlService>,
    raft: RaftNode,
    wal: Wal,
    /// Proposals that wait for their entry to be applied: its term and the reply, by index.
    pending: HashMap<u64, (u64, ProposalReply)>,
    /// The reply for the proposal that is being stepped.
    proposer: Option<ProposalReply>,
    /// The control nodes with a live session, as last received.
    control_nodes: Vec<Candidate>,
    wanted_voters: usize,
    /// A voter that is silent for this long is replaced.
    replace_after_ms: u64,
}

impl RaftDriver {
    /// Adds or removes a voter if a change is called for.
    async fn adjust_voters(&mut self) {
        let now = self.control.now();
        let all: Vec<(String, String)> = self.control_nodes.iter().map(|f| (f.addr.clone(), f.zone.clone())).collect();
        if let Some(v) = self.raft.next_voters(&all, self.wanted_voters, self.replace_after_ms, now) {
            telemetry::change!("changing the voters to {v:?}");
            self.step(Event::SetVoters(v)).await;
        }
    }

    async fn step(&mut self, event: Event) {
        let now = self.control.now();
        for e in self.raft.step(now, event) {
            self.execute(e).await;
        }
    }

    /// Takes a snapshot and truncates the log. The snapshot is the current state, which records
    /// its last applied entry: all earlier effects have been executed.
    async fn take_snapshot(&mut self) {
        let (index, state) = self.control.with(|f| (f.control_state.applied, f.control_state.encode_to_vec()));
        telemetry::count("log_cuts");
        telemetry::debug!("log truncated at entry {index}: snapshot of {} bytes", state.len());
        self.step(Event::Snapshot { index, state: state.into() }).await;
    }

    /// Publishes the Raft status to the other tasks.
    fn publish_status(&self, ticked: bool) {
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

    async fn execute(&mut self, e: Effect) {
        let RaftDriver { control, raft, wal, pending, proposer, .. } = self;
        match e {
            Effect::Save(s) => {
                let saving = save(wal, s);
                tokio::pin!(saving);
                let disk_timeout = Duration::from_millis(control.ratio(32.0));
                if tokio::time::timeout(disk_timeout, &mut saving).await.is_err() {
                    if raft.role == StateRole::Leader && raft.voters().len() > 1 {
                        // A leader that cannot write cannot commit; another node can lead at once.
                        telemetry::change!("the disk does not respond: naming a successor");
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
                        pending.clear();
                    }
                    saving.await;
                }
            }
            Effect::Send(to, m) => control.rpc_clients.to(&to).send(Body::RaftNode(m)),
            Effect::Proposed(index, term) => {
                if let Some(a) = proposer.take() {
                    pending.insert(index, (term, a));
                }
            }
            Effect::Apply(e) => {
                let applied = control.with(|f| f.control_state.apply_with(&mut f.document, e.index, &e.data));
                if let Some((term, a)) = pending.remove(&e.index) {
                    let _ = a.send((term == e.term).then_some(applied));
                }
                control.view_changed.notify_waiters();
            }
            Effect::Restore(state) => {
                match ControlState::decode(state) {
                    Ok(mut control_state) => control.with(|f| {
                        // Earlier releases wrote snapshots without this index.
                        control_state.applied = raft.hard.base;
                        f.control_state = control_state;
                        f.document = config::ConfigurationDocument::default();
                    }),
                    Err(e) => {
                        // Continuing would mean to run with an empty state.
                        telemetry::error!("cannot decode the snapshot that the leader sent, exiting: {e}");
                        std::process::exit(3);
                    }
                }
                control.view_changed.notify_waiters();
            }
            Effect::BecameLeader => {
                telemetry::change!("became leader in term {}", raft.hard.term);
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
                    // Sessions that nodes held with another control node are taken over; the nodes
                    // must report again.
                    for n in f.membership.nodes.clone() {
                        let node = Node { changed: 0, ..n };
                        f.sessions.entry(node.name.clone()).or_insert(Session { node, seen: now });
                    }
                });
            }
            Effect::SteppedDown => {
                telemetry::change!("no longer the leader");
                control.with(|f| f.is_leader = false);
                pending.clear();
            }
        }
    }
}
