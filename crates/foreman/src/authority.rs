//! Authority: who leads, until when this foreman may act for the majority, and the
//! task that steps the log and carries out its effects.

use crate::disk::save;
use crate::rack::*;
use crate::shop::*;
use crate::vise::*;
use dovetail::msg::*;
use drawer::Drawer;
use prost::Message;
use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

impl Floor {
    /// Checked whenever authority is used: it runs out by the clock alone.
    pub(crate) fn holds(&self, now: u64) -> bool {
        self.is_leader && now < self.serves_until
    }
}

impl Shop {
    /// Whether this foreman leads and a majority still follows it.
    pub fn holds_leadership(&self) -> bool {
        let now = self.now();
        self.with(|f| f.holds(now))
    }

    /// Puts a command into the log; None when it is unclear whether it is in.
    pub async fn propose(&self, word: Word) -> Option<Applied> {
        let (tx, rx) = oneshot::channel();
        let data = Command { word: Some(word) }.encode_to_vec();
        self.inputs.send(Input::Propose(data.into(), tx)).ok()?;
        let wait = Duration::from_millis((self.caliper.constraints.ack_ms * 0.8) as u64);
        tokio::time::timeout(wait, rx).await.ok()?.ok()?
    }

    /// How many voters there are to be.
    pub(crate) fn wanted_voters(&self) -> usize {
        (2 * self.caliper.tolerance.machines as usize + 1).max(3)
    }

    /// Lets the log know whose sessions stand.
    pub(crate) fn tell_foremen(&self, f: &Floor) {
        let foremen = f.sessions.values().filter(|s| s.node.role == "foreman");
        let candidate =
            |s: &Session| Candidate { addr: s.node.inner.clone(), zone: s.node.zone.clone(), leaving: s.node.leaving };
        let _ = self.inputs.send(Input::Foremen(foremen.map(candidate).collect()));
    }

    /// Told to end: names a successor if it leads, and waits until its vote has passed
    /// on, where a foreman without one is there to take it; no longer than half of
    /// `graceS`. A vote that stays with it counts as lost until it is back.
    pub(crate) async fn leave(self: &Arc<Self>) {
        self.leaving.store(true, Ordering::Relaxed);
        let _ = self.inputs.send(Input::Leave);
        let end =
            tokio::time::Instant::now() + Duration::from_millis((self.caliper.constraints.grace_s * 500.0) as u64);
        let step = Duration::from_millis(self.ratio(100.0));
        let own = self.node();
        self.with(|f| {
            if let Some(s) = f.sessions.get_mut(&own.name) {
                s.node = own;
            }
        });
        // Whoever was there without a vote when it was told: the next leader's roster may
        // not name it yet.
        let mut free = HashSet::new();
        loop {
            let (votes, spare) = self.with(|f| {
                let votes = f.voters.contains(&self.me) || !f.voters_settled;
                let known = f.roster.nodes.iter().chain(f.sessions.values().map(|s| &s.node));
                let others = known.filter(|n| n.role == "foreman" && !n.leaving && n.inner != self.me);
                free.extend(others.filter(|n| !f.voters.contains(&n.inner)).map(|n| n.inner.clone()));
                // While one changes it may be this one's that passes on.
                let changing = !f.voters_settled || f.voters.len() > self.wanted_voters();
                (votes, changing || free.iter().any(|n| !f.voters.contains(n)))
            });
            if !votes {
                tally::change!("the vote has passed on");
                return;
            }
            if !spare {
                return;
            }
            if tokio::time::Instant::now() >= end {
                tally::count("votes_kept");
                tally::change!("ends with its vote: nobody took it in time");
                return;
            }
            let leader = self.leader();
            if !leader.is_empty() && leader != self.me {
                let w = Watch {
                    node: Some(self.node()),
                    have: Have { template: u64::MAX, charter: u64::MAX, roster: u64::MAX },
                    wait_ms: 1,
                    ..Watch::default()
                };
                let _ = self.bench.to(&leader).call(Body::Watch(w), step * 4).await;
            }
            tokio::time::sleep(step).await;
        }
    }

    /// Who leads, as far as is known: nobody, once this foreman's own
    /// authority has run out.
    pub(crate) fn leader(&self) -> String {
        let now = self.now();
        self.with(|f| if f.leader == self.me && !f.holds(now) { String::new() } else { f.leader.clone() })
    }

    /// The control address of the leader, if it is another one.
    pub fn leader_control(&self) -> Option<String> {
        let leader = self.leader();
        if leader.is_empty() || leader == self.me {
            return None;
        }
        let ip = leader.rsplit_once(':')?.0.to_owned();
        let port = self.caliper.listen.control.rsplit_once(':')?.1;
        Some(format!("{ip}:{port}"))
    }
}

/// The one task that steps the log.
pub(crate) async fn turn(shop: Arc<Shop>, vise: Vise, drawer: Drawer, mut rx: mpsc::UnboundedReceiver<Input>) {
    let mut ticks = tokio::time::interval(Duration::from_millis(shop.ratio(100.0)));
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let wanted = shop.wanted_voters();
    // Large configurations fill the log long before it is long.
    let heavy = (shop.caliper.limits.memory_mb as usize) << 20 >> 6;
    let away = (shop.caliper.constraints.settle_s * 500.0) as u64;
    let mut hand =
        Hand { shop, vise, drawer, waiting: HashMap::new(), answer: None, foremen: Vec::new(), wanted, away };
    loop {
        let event = tokio::select! {
            i = rx.recv() => match i {
                Some(Input::Vise(m)) => Event::Message(m),
                Some(Input::Propose(d, a)) => { hand.answer = Some(a); Event::Propose(d) }
                Some(Input::Leave) => Event::Leave,
                Some(Input::Foremen(all)) => {
                    hand.vise.set_departing(all.iter().filter(|f| f.leaving).map(|f| f.addr.clone()).collect());
                    hand.foremen = all;
                    hand.tend_voters().await;
                    Event::Foremen(hand.foremen.iter().map(|f| f.addr.clone()).collect())
                }
                None => return,
            },
            _ = ticks.tick() => Event::Tick,
        };
        let ticked = matches!(event, Event::Tick);
        hand.step(event).await;
        hand.answer = None;
        if hand.vise.voters().len() > wanted {
            // One too many, perhaps a lost one among them: not a moment longer than needed.
            hand.tend_voters().await;
        }
        // Not behind the back of one that is being sent the last cut, unless it takes long.
        let room = if hand.vise.sends_snapshot() { 2 } else { 1 };
        if hand.vise.length() > 512 * room || hand.vise.weight() > heavy * room {
            hand.cut().await;
        }
        hand.tell(ticked);
    }
}

/// Carries out what the log asks for, in its order.
struct Hand {
    shop: Arc<Shop>,
    vise: Vise,
    drawer: Drawer,
    /// Who waits for which entry, and its term.
    waiting: HashMap<u64, (u64, Answered)>,
    /// Who waits for the proposal that is being made.
    answer: Option<Answered>,
    /// The foremen whose sessions stood when that was told last.
    foremen: Vec<Candidate>,
    /// How many voters there are to be, and after how long a silence, in
    /// milliseconds, one is replaced.
    wanted: usize,
    away: u64,
}

impl Hand {
    /// What is to become of the voters, as things stand.
    async fn tend_voters(&mut self) {
        let now = self.shop.now();
        let all: Vec<(String, String)> = self.foremen.iter().map(|f| (f.addr.clone(), f.zone.clone())).collect();
        if let Some(v) = self.vise.next_voters(&all, self.wanted, self.away, now) {
            tally::change!("voters {v:?}");
            self.step(Event::SetVoters(v)).await;
        }
    }

    async fn step(&mut self, event: Event) {
        let now = self.shop.now();
        for e in self.vise.step(now, event) {
            self.carry_out(e).await;
        }
    }

    /// Cuts the log. The snapshot is the state as it stands now, and says itself
    /// through which entry that is: all that the log asked for before is carried out.
    async fn cut(&mut self) {
        let (index, state) = self.shop.with(|f| (f.rack.applied, f.rack.encode_to_vec()));
        tally::count("log_cuts");
        tally::debug!("log cut at {index}: {} bytes of state", state.len());
        self.step(Event::Snapshot { index, state: state.into() }).await;
    }

    /// Lets the other tasks know how things stand.
    fn tell(&self, ticked: bool) {
        let vise = &self.vise;
        let now = self.shop.now();
        self.shop.with(|f| {
            f.serves_until = vise.serves_until(now);
            vise.leader_at(now).clone_into(&mut f.leader);
            if ticked {
                f.behind = vise.behind();
            }
            f.voters_settled = vise.voters_settled();
            if f.voters != vise.voters() {
                f.voters = vise.voters().to_vec();
            }
        });
    }

    async fn carry_out(&mut self, e: Effect) {
        let Hand { shop, vise, drawer, waiting, answer, .. } = self;
        match e {
            Effect::Save(s) => {
                let saving = save(drawer, s);
                tokio::pin!(saving);
                let patience = Duration::from_millis(shop.ratio(32.0));
                if tokio::time::timeout(patience, &mut saving).await.is_err() {
                    if vise.role == StateRole::Leader && vise.voters().len() > 1 {
                        // It cannot write, so it cannot lead: another one can at once.
                        tally::change!("the disk does not answer: naming a successor");
                        for e in vise.step(shop.now(), Event::StepDown) {
                            if let Effect::Send(to, m) = e {
                                shop.bench.to(&to).send(Body::Vise(m));
                            }
                        }
                        shop.with(|f| {
                            f.is_leader = false;
                            f.serves_until = 0;
                            f.leader.clear();
                        });
                        waiting.clear();
                    }
                    saving.await;
                }
            }
            Effect::Send(to, m) => shop.bench.to(&to).send(Body::Vise(m)),
            Effect::Proposed(index, term) => {
                if let Some(a) = answer.take() {
                    waiting.insert(index, (term, a));
                }
            }
            Effect::Apply(e) => {
                let applied = shop.with(|f| f.rack.apply_with(&mut f.tree, e.index, &e.data));
                if let Some((term, a)) = waiting.remove(&e.index) {
                    let _ = a.send((term == e.term).then_some(applied));
                }
                shop.news.notify_waiters();
            }
            Effect::Restore(state) => {
                match Rack::decode(state) {
                    Ok(mut rack) => shop.with(|f| {
                        // One that does not say so is of an earlier release.
                        rack.applied = vise.hard.base;
                        f.rack = rack;
                        f.tree = gauge::Tree::default();
                    }),
                    Err(e) => {
                        // Never go on with a blank one.
                        tally::error!("the state that the leader sent cannot be read, ending: {e}");
                        std::process::exit(3);
                    }
                }
                shop.news.notify_waiters();
            }
            Effect::BecameLeader => {
                tally::change!("leader at term {}", vise.hard.term);
                let now = shop.now();
                shop.with(|f| {
                    f.is_leader = true;
                    f.leader_since = now;
                    f.listed_at = 0;
                    f.term = vise.hard.term;
                    f.roster_seq = 0;
                    f.publish_from = if f.roster.version > 0 { 0 } else { now + shop.ratio(16.0) };
                    f.plumbs.clear();
                    f.leases.clear();
                    f.governor.forget();
                    f.unclaimed.clear();
                    // Who told another foreman is taken over, and must tell again.
                    for n in f.roster.nodes.clone() {
                        let node = Node { changed: 0, ..n };
                        f.sessions.entry(node.name.clone()).or_insert(Session { node, seen: now });
                    }
                });
            }
            Effect::SteppedDown => {
                tally::change!("no longer the leader");
                shop.with(|f| f.is_leader = false);
                waiting.clear();
            }
        }
    }
}
