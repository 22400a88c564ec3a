//! The Raft state machine of one control node, without I/O: the caller carries out the
//! effects in the order in which they are returned.

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

/// Limit on the bytes of entries in one message, which a single larger entry may exceed,
/// and the size of a snapshot chunk.
const MAX_APPEND_BYTES: usize = rpc::FRAME_LIMIT / 4;
/// Messages whose term exceeds the local one by more than this are rejected.
const MAX_TERM_JUMP: u64 = 1 << 32;
/// Upper bound on the number of voters in a message; larger than any configured number.
const MAX_VOTERS: usize = 63;

pub enum Event {
    Tick,
    Message(RaftMessage),
    /// Appends an entry; ignored unless this node is the leader.
    Propose(Bytes),
    /// Hands leadership to a successor and steps down, for instance because the disk does
    /// not respond.
    StepDown,
    /// The process is shutting down: transfers leadership if it has it, and does not campaign
    /// again in this incarnation. It still votes until it exits. Nothing about this is stored.
    Leave,
    /// The control nodes with a live session. Those that are not voters become learners.
    ControlNodes(Vec<String>),
    /// Adds or removes one voter. Ignored unless this node is the leader and the previous
    /// change is committed.
    SetVoters(Vec<String>),
    /// The applied state as of `index`, up to which the log is compacted.
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
    /// Replaces the whole applied state.
    Restore(Bytes),
    /// Index and term assigned to the entry that was just appended.
    Proposed(u64, u64),
    BecameLeader,
    SteppedDown,
}

/// Durable state besides the log and the snapshot.
#[derive(Clone, PartialEq, prost::Message)]
pub struct HardState {
    #[prost(uint64, tag = "1")]
    pub term: u64,
    #[prost(string, tag = "2")]
    pub voted_for: String,
    #[prost(bool, tag = "3")]
    pub may_vote: bool,
    /// The voters as of `base`; later log entries may change them.
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
    /// The snapshot as of `hard.base`.
    pub state: Option<Bytes>,
    pub put: Vec<RaftEntry>,
    /// Inclusive range of entries to delete.
    pub del: Option<(u64, u64)>,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum StateRole {
    Follower,
    PreCandidate,
    Candidate,
    Leader,
}

/// Heartbeat interval and minimum election timeout, in milliseconds.
#[derive(Clone, Copy)]
pub struct Timing {
    pub heartbeat: u64,
    pub election: u64,
}

/// A snapshot transfer to one follower. It stays with the snapshot with which it began,
/// even if the leader has a newer one by now.
#[derive(Clone)]
struct OutgoingSnapshot {
    index: u64,
    term: u64,
    voters: Vec<String>,
    state: Bytes,
    digest: Bytes,
    /// Bytes that the follower has acknowledged.
    acked_bytes: u64,
    /// Round in which the chunk at `acked_bytes` was sent; 0 if it was not sent yet.
    sent_in_round: u64,
}

/// A partially received snapshot. It has no effect until it is complete.
#[derive(Clone)]
struct IncomingSnapshot {
    index: u64,
    term: u64,
    digest: Bytes,
    total: u64,
    state: Vec<u8>,
}

/// When the leader sent a round of appends, so that a response extends the lease from the
/// time of sending.
#[derive(Clone, Copy)]
struct SentRound {
    at: u64,
    probe: bool,
}

fn sha256(state: &[u8]) -> Bytes {
    use sha2::Digest;
    Bytes::copy_from_slice(&sha2::Sha256::digest(state))
}

#[derive(Clone)]
pub struct RaftNode {
    id: String,
    pub hard: HardState,
    state: Bytes,
    /// SHA-256 of the snapshot, computed when it is first sent.
    digest: Option<Bytes>,
    outgoing: HashMap<String, OutgoingSnapshot>,
    incoming: Option<IncomingSnapshot>,
    /// Largest snapshot accepted from a leader, in bytes.
    snapshot_limit: u64,
    /// Shutting down: does not campaign any more.
    leaving: bool,
    /// Control nodes that announced their shutdown.
    departing: HashSet<String>,
    log: Vec<RaftEntry>,
    /// The voters by the latest configuration entry, committed or not, and the index of that
    /// entry.
    voters: Vec<String>,
    voters_index: u64,
    /// Control nodes that receive the log but do not vote.
    learners: Vec<String>,
    /// Round in which `next_index` of a follower was last moved back after a rejection.
    /// Rejections of earlier rounds are ignored, as the entries are already sent again.
    rewound_in_round: HashMap<String, u64>,
    pub commit: u64,
    applied: u64,
    pub role: StateRole,
    pub leader: String,
    leader_heard_at: u64,
    election_deadline: u64,
    heartbeat_at: u64,
    votes: HashSet<String>,
    /// No leader has been known since this process started.
    leaderless_since_start: bool,
    /// When to start the next pre-vote while `leaderless_since_start` holds.
    startup_campaign_at: u64,
    /// Voters that answered a pre-vote and have known no leader since they started either,
    /// and whether they would vote for this node.
    startup_responses: HashMap<String, bool>,
    next_index: HashMap<String, u64>,
    match_index: HashMap<String, u64>,
    /// Per follower: when the latest round that it answered was sent, without probes. The
    /// lease is computed from these times.
    lease_acked_at: HashMap<String, u64>,
    /// As `lease_acked_at`, but with probes: shows who is reachable and extends no lease.
    reached_at: HashMap<String, u64>,
    sent_rounds: HashMap<u64, SentRound>,
    round: u64,
    /// Whether the current round is a probe, which does not reset election timeouts.
    probing: bool,
    /// Start of this process.
    started_at: u64,
    /// Identifies this incarnation in requests for readmission as a voter.
    readmission_id: u64,
    /// Identifies the current campaign, so that responses to earlier ones are recognised.
    campaign_id: u64,
    /// Nodes that lost their disk and are not readmitted as voters yet, with the time of
    /// their first request.
    awaiting_readmission: HashMap<String, u64>,
    /// Round in which each node was last sent its readmission.
    readmission_sent_in_round: HashMap<String, u64>,
    timing: Timing,
    /// Source of the random part of election timeouts.
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
            // The previous incarnation may have acknowledged a leader just before it ended,
            // and that leader's lease may rest on this voter for one election timeout.
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
            // If all nodes restarted at once, no lease is left to wait out.
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
            // Response to an earlier campaign, perhaps of a previous incarnation.
            telemetry::count("raft_late_votes");
            if m.term <= self.hard.term || m.pre_vote {
                return;
            }
        }
        if m.pre_vote {
            if self.role == StateRole::PreCandidate && m.term == self.hard.term + 1 {
                if !m.ok && m.log_term > self.hard.term {
                    // Adopt the higher term: this voter rejects any lower one, and this node
                    // may be the only one whose log is recent enough to win a majority.
                    self.hard.term = m.log_term;
                    self.hard.voted_for.clear();
                    out.push(Effect::Save(Save { hard: Some(self.hard.clone()), ..Save::default() }));
                    self.become_follower(now, out);
                    return;
                }
                if m.leaderless_since_start {
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
                    // Every voter, the last leader included, has restarted: no lease is
                    // left, so the election need not wait.
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
