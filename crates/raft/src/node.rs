//! The control nodes' log, held by a majority. A state machine without I/O: the
//! shell carries out its effects in the order given.

mod election;
mod lease;
mod log;
mod membership;
mod message;
mod replication;
mod snapshot;

use bytes::Bytes;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rpc::messages::{RaftEntry, RaftMessage, RaftMessageKind};
use std::collections::{HashMap, HashSet};

/// Bytes of entries that go in one message, unless one alone is larger; also those
/// of one piece of a snapshot.
const MAX_APPEND_BYTES: usize = rpc::FRAME_LIMIT / 4;
/// No message is further than that many terms ahead of what is known here.
const MAX_TERM_JUMP: u64 = 1 << 32;
/// More voters than any settings ask for.
const MAX_VOTERS: usize = 63;

pub enum Event {
    Tick,
    Message(RaftMessage),
    /// Adds an entry; only while leading.
    Propose(Bytes),
    /// Name a successor and stop leading, as when the disk does not answer.
    StepDown,
    /// This process is told to end: it names a successor, and does not campaign again
    /// in this incarnation. It votes as long as it runs; nothing of it goes to the disk.
    Leave,
    /// The control nodes whose sessions stand: those without a vote are kept up to date.
    ControlNodes(Vec<String>),
    /// Add or remove one voter; only while leading, and one change at a time.
    SetVoters(Vec<String>),
    /// The shell's state as of `index`, to cut the log with.
    Snapshot {
        index: u64,
        state: Bytes,
    },
}

#[derive(Clone, Debug)]
pub enum Effect {
    /// Must be durable before any later effect is carried out.
    Save(Save),
    Send(String, RaftMessage),
    Apply(RaftEntry),
    /// Replace the whole state.
    Restore(Bytes),
    /// The proposal just made has this index and term.
    Proposed(u64, u64),
    BecameLeader,
    SteppedDown,
}

/// What the disk keeps about votes.
#[derive(Clone, PartialEq, prost::Message)]
pub struct HardState {
    #[prost(uint64, tag = "1")]
    pub term: u64,
    #[prost(string, tag = "2")]
    pub voted_for: String,
    #[prost(bool, tag = "3")]
    pub may_vote: bool,
    /// The voters as of `base`; later entries of the log may change them.
    #[prost(string, repeated, tag = "4")]
    pub voters: Vec<String>,
    #[prost(uint64, tag = "5")]
    pub base: u64,
    #[prost(uint64, tag = "6")]
    pub base_term: u64,
}

#[derive(Clone, Debug, Default)]
pub struct Save {
    pub hard: Option<HardState>,
    /// The whole state as of `hard.base`.
    pub state: Option<Bytes>,
    pub put: Vec<RaftEntry>,
    /// Remove all entries from here to there.
    pub del: Option<(u64, u64)>,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum StateRole {
    Follower,
    PreCandidate,
    Candidate,
    Leader,
}

/// Bounds of the state machine's clock, in milliseconds.
#[derive(Clone, Copy)]
pub struct Timing {
    pub beat: u64,
    pub election: u64,
}

/// A snapshot on its way to one that lacks it. It is the one with which the sending
/// began, also when the leader has a newer one by now.
#[derive(Clone)]
struct OutgoingSnapshot {
    index: u64,
    term: u64,
    voters: Vec<String>,
    state: Bytes,
    digest: Bytes,
    /// How many bytes the other side said that it holds.
    acked_bytes: u64,
    /// The round in which the piece from there was sent; 0: not yet.
    sent_in_round: u64,
}

/// A snapshot of which some pieces have come. It changes nothing before it is whole.
#[derive(Clone)]
struct IncomingSnapshot {
    index: u64,
    term: u64,
    digest: Bytes,
    total: u64,
    state: Vec<u8>,
}

/// A round of appends as its leader remembers it, to date the answers to it.
#[derive(Clone, Copy)]
struct SentRound {
    at: u64,
    probe: bool,
}

/// SHA-256 of a snapshot.
fn sha256(state: &[u8]) -> Bytes {
    use sha2::Digest;
    Bytes::copy_from_slice(&sha2::Sha256::digest(state))
}

#[derive(Clone)]
pub struct RaftNode {
    id: String,
    pub hard: HardState,
    state: Bytes,
    /// Of the snapshot, once somebody wanted it.
    digest: Option<Bytes>,
    outgoing: HashMap<String, OutgoingSnapshot>,
    incoming: Option<IncomingSnapshot>,
    /// The largest snapshot that is taken, in bytes.
    snapshot_limit: u64,
    /// Told to end: does not campaign any more.
    leaving: bool,
    /// Control nodes that said that they are about to end.
    departing: HashSet<String>,
    log: Vec<RaftEntry>,
    /// The voters that the newest entry about them names, committed or not, and
    /// that entry's index.
    voters: Vec<String>,
    voters_index: u64,
    /// Control nodes without a vote that are kept up to date.
    learners: Vec<String>,
    /// The round in which another one's log was last gone back for: refusals of what
    /// was sent before then are answered already.
    rewound_in_round: HashMap<String, u64>,
    pub commit: u64,
    applied: u64,
    pub role: StateRole,
    pub leader: String,
    leader_heard_at: u64,
    election_deadline: u64,
    heartbeat_at: u64,
    votes: HashSet<String>,
    /// Has heard of no leader since this process began.
    leaderless_since_start: bool,
    /// When it asks for votes next, while that holds.
    startup_campaign_at: u64,
    /// Voters that said the same in answer to a pre_vote, and whether they would
    /// elect this one.
    startup_responses: HashMap<String, bool>,
    next_index: HashMap<String, u64>,
    match_index: HashMap<String, u64>,
    /// When the round was sent that a voter has answered last.
    lease_acked_at: HashMap<String, u64>,
    /// As `answered`, probes included: says who is reached, and extends no lease.
    reached_at: HashMap<String, u64>,
    sent_rounds: HashMap<u64, SentRound>,
    round: u64,
    /// Whether the current round is a probe, which keeps no follower from electing.
    probing: bool,
    /// When this process began.
    started_at: u64,
    /// Names this incarnation where it asks to be readmitted.
    readmission_id: u64,
    /// Tells the answers to one campaign from those to another.
    campaign_id: u64,
    /// Who waits to be readmitted, and when that was first heard.
    awaiting_readmission: HashMap<String, u64>,
    /// The round in which each was last told that it is readmitted.
    readmission_sent_in_round: HashMap<String, u64>,
    timing: Timing,
    /// Draws the election times.
    rng: SmallRng,
}

impl RaftNode {
    pub fn new(
        id: &str,
        hard: HardState,
        state: Bytes,
        log: Vec<RaftEntry>,
        timing: Timing,
        seed: u64,
        now: u64,
    ) -> RaftNode {
        let base = hard.base;
        let mut v = RaftNode {
            id: id.into(),
            hard,
            state,
            digest: None,
            outgoing: HashMap::new(),
            incoming: None,
            snapshot_limit: 64 << 20,
            leaving: false,
            departing: HashSet::new(),
            log,
            voters: Vec::new(),
            voters_index: 0,
            learners: Vec::new(),
            rewound_in_round: HashMap::new(),
            commit: base,
            applied: base,
            role: StateRole::Follower,
            leader: String::new(),
            // It may have heard a leader just before it ended: that one may still
            // count on this voter for an election time.
            leader_heard_at: now,
            election_deadline: 0,
            heartbeat_at: 0,
            votes: HashSet::new(),
            leaderless_since_start: true,
            startup_campaign_at: now,
            startup_responses: HashMap::new(),
            next_index: HashMap::new(),
            match_index: HashMap::new(),
            lease_acked_at: HashMap::new(),
            reached_at: HashMap::new(),
            sent_rounds: HashMap::new(),
            round: 0,
            probing: false,
            started_at: now,
            readmission_id: (seed ^ now).max(1),
            campaign_id: seed ^ now,
            awaiting_readmission: HashMap::new(),
            readmission_sent_in_round: HashMap::new(),
            timing,
            rng: SmallRng::seed_from_u64(seed),
        };
        v.load_voters();
        v.reset_election_timeout(now);
        v.schedule_startup_campaign(now);
        v
    }

    pub fn step(&mut self, now: u64, event: Event) -> Vec<Effect> {
        let mut out = Vec::new();
        match event {
            Event::Tick => self.tick(now, &mut out),
            Event::Message(m) => self.receive(now, m, &mut out),
            Event::Propose(data) => {
                if self.role == StateRole::Leader {
                    self.append(now, data, &mut out);
                }
            }
            Event::StepDown => self.step_down(now, &mut out),
            Event::Leave => {
                self.leaving = true;
                self.step_down(now, &mut out);
            }
            Event::ControlNodes(all) => {
                let voters = &self.voters;
                self.learners = all.into_iter().filter(|f| *f != self.id && !voters.contains(f)).collect();
                let next = self.last_index_and_term().0 + 1;
                for l in &self.learners {
                    self.next_index.entry(l.clone()).or_insert(next);
                }
                let (voters, learners) = (&self.voters, &self.learners);
                self.outgoing.retain(|f, _| voters.contains(f) || learners.contains(f));
            }
            Event::SetVoters(voters) => {
                let added = voters.iter().filter(|v| !self.voters.contains(v)).count();
                let removed = self.voters.iter().filter(|v| !voters.contains(v)).count();
                if self.may_change_voters() && added + removed == 1 && voters.contains(&self.id) {
                    self.append_entry(now, Bytes::new(), voters, &mut out);
                }
            }
            Event::Snapshot { index, state } => self.compact(index, state, &mut out),
        }
        out
    }

    fn tick(&mut self, now: u64, out: &mut Vec<Effect>) {
        if self.role == StateRole::Leader {
            if self.majority_contact(now) + 3 * self.timing.election < now {
                self.become_follower(now, out);
            } else if now >= self.heartbeat_at {
                self.broadcast_append(now, out);
            }
        } else if now >= self.election_deadline && self.is_voter() {
            self.reset_election_timeout(now);
            if self.hard.may_vote && !self.leaving {
                self.campaign(now, true, false, out);
            }
        } else if self.leaderless_since_start
            && now >= self.startup_campaign_at
            && self.is_voter()
            && self.hard.may_vote
            && !self.leaving
        {
            // All may have ended at once: then nobody counts on a leader, and there is
            // nothing to wait for.
            self.schedule_startup_campaign(now + self.timing.election / 4);
            self.campaign(now, true, false, out);
        }
    }

    fn receive(&mut self, now: u64, m: RaftMessage, out: &mut Vec<Effect>) {
        let kind = RaftMessageKind::try_from(m.kind).unwrap_or(RaftMessageKind::None);
        if !self.is_valid(kind, &m) {
            telemetry::count("raft_refused");
            return;
        }
        if kind == RaftMessageKind::RequestVote {
            self.handle_vote_request(now, m, out);
            return;
        }
        if kind == RaftMessageKind::Vote && m.round != self.campaign_id {
            // To an earlier campaign, perhaps of a former incarnation.
            telemetry::count("raft_late_votes");
            if m.term <= self.hard.term || m.pre_vote {
                return;
            }
        }
        if m.pre_vote {
            if self.role == StateRole::PreCandidate && m.term == self.hard.term + 1 {
                if !m.ok && m.log_term > self.hard.term {
                    // With the lower one it would be refused by this voter for ever, and
                    // may be the only one whose log a majority can follow.
                    self.hard.term = m.log_term;
                    self.hard.voted_for.clear();
                    out.push(Effect::Save(Save { hard: Some(self.hard.clone()), ..Save::default() }));
                    self.become_follower(now, out);
                    return;
                }
                if m.blank {
                    self.startup_responses.insert(m.from.clone(), m.index > 0);
                }
                if m.ok {
                    self.votes.insert(m.from);
                    self.tally_votes(now, out);
                }
                let others: Vec<&String> = self.voters.iter().filter(|v| **v != self.id).collect();
                let willing = others.iter().filter(|v| self.startup_responses.get(**v) == Some(&true)).count();
                if self.role == StateRole::PreCandidate
                    && self.leaderless_since_start
                    && others.iter().all(|v| self.startup_responses.contains_key(*v))
                    && willing + 1 >= self.majority()
                {
                    // Every voter is in a new incarnation, the last leader among them.
                    self.campaign(now, false, true, out);
                }
            }
            return;
        }
        if m.term > self.hard.term {
            self.hard.term = m.term;
            self.hard.voted_for.clear();
            out.push(Effect::Save(Save { hard: Some(self.hard.clone()), ..Save::default() }));
            self.become_follower(now, out);
        }
        match kind {
            RaftMessageKind::Vote
                if m.ok
                    && m.term == self.hard.term
                    && m.round == self.campaign_id
                    && now < self.election_deadline
                    && self.role == StateRole::Candidate =>
            {
                self.votes.insert(m.from);
                self.tally_votes(now, out);
            }
            RaftMessageKind::Append | RaftMessageKind::InstallSnapshot => self.handle_append(now, m, kind, out),
            RaftMessageKind::AppendAck => self.handle_append_response(now, m, out),
            RaftMessageKind::SnapshotAck => self.handle_snapshot_response(now, m, out),
            RaftMessageKind::TimeoutNow
                if m.term == self.hard.term && self.hard.may_vote && self.is_voter() && !self.leaving =>
            {
                self.campaign(now, false, true, out);
            }
            _ => {}
        }
    }
}
