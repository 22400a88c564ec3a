//! Messages of the inner protocol. Field numbers are never used again.

use bytes::Bytes;

#[derive(Clone, PartialEq, prost::Message)]
pub struct Envelope {
    /// 0: no reply is wanted.
    #[prost(uint64, tag = "1")]
    pub call: u64,
    #[prost(bool, tag = "2")]
    pub reply: bool,
    #[prost(
        oneof = "Body",
        tags = "10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24, 25, 26, 27, 28, 29, 30, 31, 32, 33, 34, 35, 36, 37, 38, 39, 40, 41, 42, 43, 44"
    )]
    pub body: Option<Body>,
}

#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    #[prost(message, tag = "10")]
    WatchRequest(WatchRequest),
    #[prost(message, tag = "11")]
    ViewUpdate(ViewUpdate),
    #[prost(message, tag = "12")]
    Lease(Lease),
    #[prost(message, tag = "13")]
    LeaseAck(LeaseAck),
    #[prost(message, tag = "14")]
    Order(Order),
    #[prost(message, tag = "15")]
    OrderAck(OrderAck),
    #[prost(message, tag = "16")]
    RaftNode(RaftMessage),
    #[prost(message, tag = "17")]
    Accept(Accept),
    #[prost(message, tag = "18")]
    Accepted(Accepted),
    #[prost(message, tag = "19")]
    Lookup(Lookup),
    #[prost(message, tag = "20")]
    Found(Found),
    #[prost(message, tag = "21")]
    Run(Run),
    #[prost(message, tag = "22")]
    RunAck(RunAck),
    #[prost(message, tag = "23")]
    Report(Report),
    #[prost(message, tag = "24")]
    ReportAck(ReportAck),
    #[prost(message, tag = "25")]
    Holding(Holding),
    #[prost(message, tag = "26")]
    Held(Held),
    #[prost(message, tag = "27")]
    Notify(Notify),
    #[prost(message, tag = "28")]
    NotifyAck(NotifyAck),
    #[prost(message, tag = "29")]
    Entries(Entries),
    #[prost(message, tag = "30")]
    EntriesAck(EntriesAck),
    #[prost(message, tag = "31")]
    Chunk(Chunk),
    #[prost(message, tag = "32")]
    Status(Status),
    #[prost(message, tag = "33")]
    StatusAck(StatusAck),
    #[prost(message, tag = "34")]
    Gossip(Gossip),
    #[prost(message, tag = "35")]
    Ack(Ack),
    #[prost(message, tag = "36")]
    SlotRequest(SlotRequest),
    #[prost(message, tag = "37")]
    SlotGrant(SlotGrant),
    #[prost(message, tag = "38")]
    SlotRelease(SlotRelease),
    #[prost(message, tag = "39")]
    SlotsHeld(SlotsHeld),
    #[prost(message, tag = "40")]
    Start(Start),
    #[prost(message, tag = "41")]
    StartAck(StartAck),
    #[prost(message, tag = "42")]
    Stop(StopProcessor),
    #[prost(message, tag = "43")]
    ProcessorsRequest(ProcessorsRequest),
    #[prost(message, tag = "44")]
    Processors(Processors),
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct Ack {}

// ---- sessions and news ----

/// A node of the system, as it tells of itself.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Node {
    #[prost(string, tag = "1")]
    pub name: String,
    /// `front`, `store` or `control`.
    #[prost(string, tag = "2")]
    pub role: String,
    #[prost(string, tag = "3")]
    pub zone: String,
    #[prost(string, tag = "4")]
    pub region: String,
    /// Where it takes inner connections.
    #[prost(string, tag = "5")]
    pub inner: String,
    /// Changes with every start of the process.
    #[prost(uint64, tag = "6")]
    pub incarnation: u64,
    #[prost(bool, tag = "7")]
    pub leaving: bool,
    /// In a membership: the version in which this was news.
    #[prost(uint64, tag = "9")]
    pub changed: u64,
    /// The incarnation in which its disk was empty; 0: at the system's first start. What it
    /// joined before that it does not hold.
    #[prost(uint64, tag = "10")]
    pub born: u64,
}

/// The versions of the three things that are passed on.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct ViewVersions {
    #[prost(uint64, tag = "1")]
    pub configuration: u64,
    #[prost(uint64, tag = "2")]
    pub assignments: u64,
    #[prost(uint64, tag = "3")]
    pub membership: u64,
}

/// Keeps a session and asks for news; answered when there is some, or after `wait_ms`.
#[derive(Clone, PartialEq, prost::Message)]
pub struct WatchRequest {
    #[prost(message, optional, tag = "1")]
    pub node: Option<Node>,
    #[prost(message, required, tag = "2")]
    pub have: ViewVersions,
    #[prost(uint32, tag = "3")]
    pub wait_ms: u32,
    /// Sessions that a control node holds, told to the leader.
    #[prost(message, repeated, tag = "4")]
    pub sessions: Vec<Node>,
    /// From a control node: its time of day.
    #[prost(uint64, tag = "5")]
    pub clock_ms: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct ViewUpdate {
    #[prost(message, required, tag = "1")]
    pub have: ViewVersions,
    #[prost(bytes = "bytes", optional, tag = "2")]
    pub configuration: Option<Bytes>,
    #[prost(message, optional, tag = "3")]
    pub assignments: Option<Assignments>,
    #[prost(message, optional, tag = "4")]
    pub membership: Option<Membership>,
    /// Inner address of the leader, if known.
    #[prost(string, tag = "5")]
    pub leader: String,
    /// Inner addresses of control nodes.
    #[prost(string, repeated, tag = "6")]
    pub control_nodes: Vec<String>,
    /// An incarnation of the asker's that is known and comes after the one it told: it is
    /// to begin another after that.
    #[prost(uint64, tag = "7")]
    pub newer_incarnation: u64,
    /// The whole configuration, packed; a large one takes a slow link for seconds else.
    #[prost(bytes = "bytes", tag = "9")]
    pub packed: Bytes,
    /// Instead of the whole configuration: the changes since the asker's, in order.
    #[prost(message, repeated, tag = "8")]
    pub steps: Vec<ConfigurationStep>,
}

/// What changed from one configuration to the next.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ConfigurationStep {
    #[prost(uint64, tag = "1")]
    pub since: u64,
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// As operators write it.
    #[prost(bytes = "bytes", tag = "3")]
    pub change: Bytes,
    /// Of the whole that comes of it: one that differs is fetched whole.
    #[prost(fixed64, tag = "4")]
    pub fingerprint: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct Gossip {
    #[prost(message, required, tag = "1")]
    pub have: ViewVersions,
    #[prost(bool, tag = "2")]
    pub pull: bool,
}

/// What came of the runs on one version of a service since the last report.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Sample {
    #[prost(string, tag = "1")]
    pub service: String,
    #[prost(string, tag = "2")]
    pub revision: String,
    #[prost(string, tag = "3")]
    pub route: String,
    #[prost(uint32, tag = "4")]
    pub good: u32,
    #[prost(uint32, tag = "5")]
    pub bad: u32,
    /// Sum of the good runs' milliseconds, and of their squares.
    #[prost(double, tag = "6")]
    pub ms_sum: f64,
    #[prost(uint32, tag = "7")]
    pub sent: u32,
}

/// What a majority of the control nodes has agreed on and the data plane needs.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Assignments {
    #[prost(uint64, tag = "1")]
    pub version: u64,
    #[prost(message, repeated, tag = "2")]
    pub partitions: Vec<Partition>,
    #[prost(message, repeated, tag = "3")]
    pub rollouts: Vec<Rollout>,
    #[prost(message, repeated, tag = "4")]
    pub retires: Vec<Retire>,
    /// Not 0: only what has changed since that version.
    #[prost(uint64, tag = "5")]
    pub since: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct Partition {
    #[prost(uint32, tag = "1")]
    pub id: u32,
    #[prost(uint64, tag = "2")]
    pub term: u64,
    #[prost(string, tag = "3")]
    pub owner: String,
    #[prost(string, repeated, tag = "4")]
    pub in_sync: Vec<String>,
    /// The nodes that are to hold it, the preferred owner first.
    #[prost(string, repeated, tag = "5")]
    pub replicas: Vec<String>,
    #[prost(message, optional, tag = "6")]
    pub grant: Option<Grant>,
    /// The term began without a stop marker: ask the delivery nodes first.
    #[prost(bool, tag = "7")]
    pub seized: bool,
    /// The incarnations in which nodes took part last: as owner, or when they joined.
    #[prost(message, repeated, tag = "8")]
    pub joined: Vec<Joined>,
    /// The assignments's version in which this was news.
    #[prost(uint64, tag = "9")]
    pub changed: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct Joined {
    #[prost(string, tag = "1")]
    pub node: String,
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
}

impl Partition {
    /// The incarnation in which a node took part last; 0 if that is not known.
    pub fn joined_incarnation(&self, node: &str) -> u64 {
        self.joined.iter().find(|j| j.node == node).map_or(0, |j| j.incarnation)
    }

    pub fn set_joined(&mut self, node: &str, incarnation: u64) {
        self.joined.retain(|j| j.node != node && (self.replicas.contains(&j.node) || self.in_sync.contains(&j.node)));
        self.joined.push(Joined { node: node.into(), incarnation });
    }
}

/// The next term, promised to a candidate before the incumbent stops.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Grant {
    #[prost(uint64, tag = "1")]
    pub term: u64,
    #[prost(string, tag = "2")]
    pub candidate: String,
    #[prost(string, repeated, tag = "3")]
    pub in_sync: Vec<String>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct Rollout {
    #[prost(string, tag = "1")]
    pub service: String,
    #[prost(string, tag = "2")]
    pub target: String,
    /// `running`, `settled` or `reverted`.
    #[prost(string, tag = "3")]
    pub state: String,
    /// Thousandths of the traffic that the target gets.
    #[prost(uint32, tag = "4")]
    pub share: u32,
    #[prost(uint64, tag = "5")]
    pub within_ms: u64,
    /// Versions that were in use before.
    #[prost(string, repeated, tag = "6")]
    pub old: Vec<String>,
    /// Runs sent to the target so far, as the judge has seen them.
    #[prost(uint64, tag = "7")]
    pub spent: u64,
    #[prost(uint64, tag = "8")]
    pub began_ms: u64,
    /// The index of the log at which it began: tells it from any other one.
    #[prost(uint64, tag = "9")]
    pub began: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct Retire {
    #[prost(string, tag = "1")]
    pub node: String,
    #[prost(bool, tag = "2")]
    pub done: bool,
    /// The index of the log at which it began.
    #[prost(uint64, tag = "3")]
    pub began: u64,
    /// Once done: the birth of the disk that was emptied. A machine of that name
    /// whose disk began later is another one.
    #[prost(uint64, tag = "4")]
    pub born: u64,
}

/// Soft state: who is a member, and which processors there are.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Membership {
    #[prost(uint64, tag = "1")]
    pub version: u64,
    #[prost(message, repeated, tag = "2")]
    pub nodes: Vec<Node>,
    #[prost(message, repeated, tag = "3")]
    pub processors: Vec<Processor>,
    #[prost(bool, tag = "4")]
    pub listed: bool,
    /// Not 0: only what has changed since that version.
    #[prost(uint64, tag = "5")]
    pub since: u64,
    /// What is no longer there.
    #[prost(message, repeated, tag = "6")]
    pub gone: Vec<Gone>,
    /// From which version on `gone` is complete.
    #[prost(uint64, tag = "7")]
    pub from: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct Gone {
    /// A node's name, or a processor's id.
    #[prost(string, tag = "1")]
    pub name: String,
    #[prost(bool, tag = "2")]
    pub processor: bool,
    #[prost(uint64, tag = "3")]
    pub version: u64,
}

/// A processor as the platform lists it.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Processor {
    #[prost(string, tag = "1")]
    pub id: String,
    #[prost(string, tag = "2")]
    pub service: String,
    #[prost(string, tag = "3")]
    pub address: String,
    #[prost(string, tag = "4")]
    pub zone: String,
    #[prost(string, tag = "5")]
    pub revision: String,
    #[prost(uint32, tag = "6")]
    pub capacity: u32,
    #[prost(bool, tag = "7")]
    pub draining: bool,
    #[prost(bool, tag = "8")]
    pub cold: bool,
    /// In a membership: the version in which this was news.
    #[prost(uint64, tag = "9")]
    pub changed: u64,
}

/// An owner's lease on its incarnation: renewed with the leader.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Lease {
    #[prost(message, required, tag = "1")]
    pub node: Node,
    #[prost(message, repeated, tag = "2")]
    pub samples: Vec<Sample>,
    /// The partitions that it acts as owner of.
    #[prost(message, repeated, tag = "3")]
    pub claims: Vec<Holding>,
    /// How the node's disk does: 0 well, 1 slow, 2 it does not answer. With 2 the
    /// node has stopped acting as owner before it says so.
    #[prost(uint32, tag = "4")]
    pub lag: u32,
    /// The node's time of day.
    #[prost(uint64, tag = "5")]
    pub clock_ms: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct LeaseAck {
    #[prost(bool, tag = "1")]
    pub granted: bool,
    /// Counted from the moment the request was sent.
    #[prost(uint32, tag = "2")]
    pub ttl_ms: u32,
    /// Where to ask instead.
    #[prost(string, tag = "3")]
    pub leader: String,
    /// Claimed partitions that are at a higher term by now.
    #[prost(message, repeated, tag = "4")]
    pub outdated: Vec<Partition>,
    /// Store machines whose disks are slow or do not answer.
    #[prost(string, repeated, tag = "5")]
    pub lagging: Vec<String>,
    /// As in `ViewUpdate`.
    #[prost(uint64, tag = "6")]
    pub newer_incarnation: u64,
    /// The fleet's time as the leader has it; 0 when it does not know enough clocks.
    #[prost(uint64, tag = "7")]
    pub time_ms: u64,
}

/// What a partition owner or replica asks of the majority.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Order {
    #[prost(uint32, tag = "1")]
    pub partition: u32,
    #[prost(uint64, tag = "2")]
    pub term: u64,
    #[prost(string, tag = "3")]
    pub node: String,
    #[prost(enumeration = "OrderKind", tag = "4")]
    pub kind: i32,
    /// With `Grant`: the node that is leaving, if the move is for that.
    #[prost(string, tag = "5")]
    pub leaving: String,
    /// With `Own` and `Join`: the node's incarnation.
    #[prost(uint64, tag = "6")]
    pub incarnation: u64,
    /// With `Join`: the entry of the majority's log that the asker goes by. What was
    /// asked before another entry concerned the partition is not granted behind it.
    #[prost(uint64, tag = "7")]
    pub seen: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum OrderKind {
    None = 0,
    /// Promise the next term to `node`.
    Grant = 1,
    /// `node` has resumed behind the stop marker.
    Own = 2,
    /// `node` holds all that is committed: count it in.
    Join = 3,
    /// `node` leaves the in-sync set.
    Drop = 4,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct OrderAck {
    #[prost(bool, tag = "1")]
    pub ok: bool,
    /// Refused for good at this term (otherwise: try again).
    #[prost(bool, tag = "2")]
    pub refused: bool,
    #[prost(string, tag = "3")]
    pub leader: String,
    #[prost(message, optional, tag = "4")]
    pub partition: Option<Partition>,
}

// ---- the control nodes' majority log ----

#[derive(Clone, PartialEq, prost::Message)]
pub struct RaftEntry {
    #[prost(uint64, tag = "1")]
    pub index: u64,
    #[prost(uint64, tag = "2")]
    pub term: u64,
    #[prost(bytes = "bytes", tag = "3")]
    pub data: Bytes,
    /// Who votes from this entry on; empty: as before.
    #[prost(string, repeated, tag = "4")]
    pub voters: Vec<String>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct RaftMessage {
    #[prost(string, tag = "1")]
    pub from: String,
    #[prost(uint64, tag = "2")]
    pub term: u64,
    #[prost(enumeration = "RaftMessageKind", tag = "3")]
    pub kind: i32,
    /// Ask: last entry of the asker. Append: entry before the first one sent.
    #[prost(uint64, tag = "4")]
    pub index: u64,
    /// Of the entry at `index`; in the answer to a pre-vote: the voter's own term.
    #[prost(uint64, tag = "5")]
    pub log_term: u64,
    #[prost(message, repeated, tag = "6")]
    pub entries: Vec<RaftEntry>,
    #[prost(uint64, tag = "7")]
    pub commit: u64,
    #[prost(bool, tag = "8")]
    pub ok: bool,
    /// With `InstallSnapshot`: the piece of the state from `offset` on.
    #[prost(bytes = "bytes", tag = "9")]
    pub state: Bytes,
    /// From one without a vote: wants to be readmitted. To it: it is.
    #[prost(bool, tag = "10")]
    pub readmit: bool,
    /// Only asks whether it would be elected.
    #[prost(bool, tag = "11")]
    pub pre_vote: bool,
    /// With `InstallSnapshot`: who voted as of that state.
    #[prost(string, repeated, tag = "12")]
    pub voters: Vec<String>,
    /// Numbers appends, to tell rounds apart; of a campaign: tells it from others.
    #[prost(uint64, tag = "13")]
    pub round: u64,
    /// Answer to a pre-vote: has heard of no leader since its process began.
    #[prost(bool, tag = "14")]
    pub blank: bool,
    /// With `InstallSnapshot`: bytes before this piece; with its answer: bytes held.
    /// With `readmit`: names the incarnation that asks.
    #[prost(uint64, tag = "15")]
    pub offset: u64,
    /// Bytes of the whole snapshot.
    #[prost(uint64, tag = "16")]
    pub total: u64,
    /// SHA-256 of the whole snapshot.
    #[prost(bytes = "bytes", tag = "17")]
    pub digest: Bytes,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum RaftMessageKind {
    None = 0,
    RequestVote = 1,
    Vote = 2,
    Append = 3,
    AppendAck = 4,
    InstallSnapshot = 5,
    /// The leader names its successor.
    TimeoutNow = 6,
    /// How much of a snapshot is held.
    SnapshotAck = 7,
}

// ---- messages on their way ----

#[derive(Clone, PartialEq, prost::Message)]
pub struct Accept {
    #[prost(uint32, tag = "1")]
    pub partition: u32,
    #[prost(message, required, tag = "2")]
    pub item: Item,
    #[prost(uint64, tag = "3")]
    pub revision: u64,
    /// Left until it is due.
    #[prost(uint64, tag = "4")]
    pub delay_ms: u64,
}

/// A message as it arrived.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Item {
    #[prost(string, tag = "1")]
    pub id: String,
    #[prost(string, tag = "2")]
    pub route: String,
    #[prost(string, tag = "3")]
    pub method: String,
    #[prost(string, tag = "4")]
    pub host: String,
    #[prost(string, tag = "5")]
    pub path: String,
    #[prost(string, tag = "6")]
    pub order_key: String,
    #[prost(string, tag = "7")]
    pub notify_url: String,
    #[prost(string, tag = "8")]
    pub content_type: String,
    #[prost(bytes = "bytes", tag = "9")]
    pub body: Bytes,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum AcceptOutcome {
    None = 0,
    /// On the disks of every in-sync replica.
    Taken = 1,
    /// Not here; `owner` may say where. Nothing was written.
    Elsewhere = 2,
    /// Not now; nothing was written.
    Full = 3,
    /// No such route here any more; nothing was written.
    NoRoute = 4,
    /// It may be written.
    Unclear = 5,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct Accepted {
    #[prost(enumeration = "AcceptOutcome", tag = "1")]
    pub outcome: i32,
    #[prost(uint64, tag = "2")]
    pub position: u64,
    #[prost(string, tag = "3")]
    pub owner: String,
    #[prost(uint32, tag = "4")]
    pub retry_ms: u32,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct Lookup {
    #[prost(uint32, tag = "1")]
    pub partition: u32,
    #[prost(uint64, tag = "2")]
    pub position: u64,
    #[prost(bool, tag = "3")]
    pub body: bool,
    /// Instead of the position: the request's id.
    #[prost(string, tag = "4")]
    pub id: String,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct Found {
    /// False: this node does not own the partition; ask again.
    #[prost(bool, tag = "1")]
    pub owner: bool,
    #[prost(bool, tag = "2")]
    pub known: bool,
    #[prost(string, tag = "3")]
    pub state: String,
    #[prost(string, tag = "4")]
    pub result_tag: String,
    #[prost(bytes = "bytes", tag = "5")]
    pub body: Bytes,
    #[prost(string, tag = "6")]
    pub host: String,
}

/// One delivery, given to a delivery node.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Run {
    #[prost(uint32, tag = "1")]
    pub partition: u32,
    #[prost(uint64, tag = "2")]
    pub term: u64,
    #[prost(uint64, tag = "3")]
    pub position: u64,
    #[prost(string, tag = "4")]
    pub address: String,
    /// Empty for single endpoints.
    #[prost(string, tag = "5")]
    pub processor: String,
    #[prost(uint32, tag = "6")]
    pub timeout_ms: u32,
    #[prost(message, required, tag = "7")]
    pub item: Item,
    #[prost(uint32, tag = "8")]
    pub conn_limit: u32,
    /// Position of the dispatch record: with the term it names this attempt.
    #[prost(uint64, tag = "9")]
    pub attempt: u64,
    /// Not to be run: this attempt is given up, and refused from then on, unless it
    /// was taken already.
    #[prost(bool, tag = "10")]
    pub revoked: bool,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct RunAck {
    /// False: it will not run here.
    #[prost(bool, tag = "1")]
    pub taken: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum Outcome {
    None = 0,
    /// 2xx with a seal, whole.
    Done = 1,
    /// 500: this attempt failed.
    Failed = 2,
    /// 422: it can never be done.
    Never = 3,
    /// The processor, or this side, says that it did not run.
    NotRun = 4,
    /// Silence, reset, broken answer: it may have run.
    Unknown = 5,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct Report {
    #[prost(uint32, tag = "1")]
    pub partition: u32,
    #[prost(uint64, tag = "2")]
    pub position: u64,
    #[prost(enumeration = "Outcome", tag = "3")]
    pub outcome: i32,
    #[prost(string, tag = "4")]
    pub result_tag: String,
    #[prost(uint32, tag = "5")]
    pub status: u32,
    /// Running and waiting at the processor, as it said; `loaded` says that it did.
    #[prost(uint32, tag = "6")]
    pub running: u32,
    #[prost(uint32, tag = "7")]
    pub waiting: u32,
    #[prost(bool, tag = "8")]
    pub loaded: bool,
    #[prost(uint32, tag = "9")]
    pub took_ms: u32,
    #[prost(uint64, tag = "10")]
    pub attempt: u64,
    /// At which the attempt was given out; 0 if not told.
    #[prost(uint64, tag = "11")]
    pub term: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct ReportAck {
    /// False: this node does not own the partition; find who does.
    #[prost(bool, tag = "1")]
    pub kept: bool,
}

/// A new owner asks a delivery node what it holds; older terms are refused from then on.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Holding {
    #[prost(uint32, tag = "1")]
    pub partition: u32,
    #[prost(uint64, tag = "2")]
    pub term: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct Held {
    #[prost(uint64, repeated, tag = "1")]
    pub positions: Vec<u64>,
    /// The attempt and the term of each, in the same order.
    #[prost(uint64, repeated, tag = "2")]
    pub attempts: Vec<u64>,
    #[prost(uint64, repeated, tag = "3")]
    pub terms: Vec<u64>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct Notify {
    #[prost(string, tag = "1")]
    pub url: String,
    #[prost(string, tag = "2")]
    pub id: String,
    #[prost(string, tag = "3")]
    pub state: String,
    #[prost(string, tag = "4")]
    pub result_tag: String,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct NotifyAck {
    #[prost(uint32, tag = "1")]
    pub status: u32,
}

// ---- replication of a partition's log ----

#[derive(Clone, PartialEq, prost::Message)]
pub struct LogEntry {
    #[prost(uint64, tag = "1")]
    pub term: u64,
    #[prost(bytes = "bytes", tag = "2")]
    pub record: Bytes,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct Entries {
    #[prost(uint32, tag = "1")]
    pub partition: u32,
    #[prost(uint64, tag = "2")]
    pub term: u64,
    #[prost(string, tag = "3")]
    pub owner: String,
    /// Position and term of the entry before the first one sent.
    #[prost(uint64, tag = "4")]
    pub prev: u64,
    #[prost(uint64, tag = "5")]
    pub prev_term: u64,
    #[prost(message, repeated, tag = "6")]
    pub entries: Vec<LogEntry>,
    #[prost(uint64, tag = "7")]
    pub commit: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct EntriesAck {
    #[prost(uint32, tag = "1")]
    pub partition: u32,
    #[prost(uint64, tag = "2")]
    pub term: u64,
    #[prost(string, tag = "3")]
    pub node: String,
    /// All up to here is on this node's disk.
    #[prost(uint64, tag = "4")]
    pub durable: u64,
    /// Does not join on: send from behind `durable`.
    #[prost(bool, tag = "5")]
    pub gap: bool,
    /// Position of the last epoch record whose digest the shadow state matched.
    #[prost(uint64, tag = "6")]
    pub verified: u64,
    /// A digest differed.
    #[prost(bool, tag = "7")]
    pub mismatch: bool,
    /// Position of the first epoch record of the unbroken run of matches.
    #[prost(uint64, tag = "8")]
    pub verified_from: u64,
    /// The node's incarnation: in another one it may have lost its disk.
    #[prost(uint64, tag = "9")]
    pub incarnation: u64,
}

/// A piece of a snapshot of a partition's state.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Chunk {
    #[prost(uint32, tag = "1")]
    pub partition: u32,
    #[prost(uint64, tag = "2")]
    pub term: u64,
    #[prost(string, tag = "3")]
    pub owner: String,
    /// The state is the fold of all up to here.
    #[prost(uint64, tag = "4")]
    pub position: u64,
    #[prost(uint64, tag = "5")]
    pub position_term: u64,
    #[prost(uint32, tag = "6")]
    pub part: u32,
    #[prost(bool, tag = "7")]
    pub last: bool,
    #[prost(bytes = "bytes", tag = "8")]
    pub data: Bytes,
}

// ---- slots of functions ----

/// A front asks a function's slot owner for a slot.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SlotRequest {
    #[prost(string, tag = "1")]
    pub service: String,
    #[prost(string, tag = "2")]
    pub front: String,
    /// Names the slot from now on, among those of this front.
    #[prost(uint64, tag = "3")]
    pub slot_id: u64,
    /// How long it is worth waiting for one.
    #[prost(uint32, tag = "4")]
    pub patience_ms: u32,
    /// How long it may be held, at the most.
    #[prost(uint32, tag = "5")]
    pub hold_ms: u32,
    /// The aim of the request.
    #[prost(uint32, tag = "6")]
    pub target_start_ms: u32,
    /// Fronts that come before the asked one and do not answer the asker.
    #[prost(string, repeated, tag = "7")]
    pub dark: Vec<String>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct SlotGrant {
    #[prost(enumeration = "SlotOutcome", tag = "1")]
    pub outcome: i32,
    #[prost(string, tag = "2")]
    pub processor: String,
    #[prost(string, tag = "3")]
    pub address: String,
    /// It has not answered anybody yet: connect until it does, and say so.
    #[prost(bool, tag = "4")]
    pub starting: bool,
    /// With `None`: after how long another try may do better.
    #[prost(uint32, tag = "5")]
    pub retry_ms: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum SlotOutcome {
    None = 0,
    Granted = 1,
    /// Another front keeps this function, as far as is known here.
    Elsewhere = 2,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum SlotEnd {
    /// Given back.
    Done = 0,
    /// Given back: the processor said that it was full.
    Full = 1,
    /// Given back: nobody listens there, or another processor does.
    Gone = 2,
    /// Given back: no answer to a connection, or none in time.
    Dark = 3,
    /// Still held: the processor has started.
    Up = 4,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct SlotRelease {
    #[prost(string, tag = "1")]
    pub service: String,
    #[prost(string, tag = "2")]
    pub front: String,
    #[prost(uint64, tag = "3")]
    pub slot_id: u64,
    #[prost(string, tag = "4")]
    pub processor: String,
    #[prost(enumeration = "SlotEnd", tag = "5")]
    pub end: i32,
    /// How long the request took at the processor; 0 if it did not run.
    #[prost(uint32, tag = "6")]
    pub took_ms: u32,
}

/// A front tells a new slot owner what it holds of its functions.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SlotsHeld {
    #[prost(string, tag = "1")]
    pub front: String,
    #[prost(message, repeated, tag = "2")]
    pub held: Vec<SlotHeld>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct SlotHeld {
    #[prost(string, tag = "1")]
    pub service: String,
    #[prost(uint64, tag = "2")]
    pub slot_id: u64,
    #[prost(string, tag = "3")]
    pub processor: String,
    #[prost(string, tag = "4")]
    pub address: String,
    /// For how much longer, at the most.
    #[prost(uint32, tag = "5")]
    pub hold_ms: u32,
}

/// A slot owner wants a processor of a function: asked of the leader.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Start {
    #[prost(string, tag = "1")]
    pub service: String,
    /// The same for every ask of one start, so that it is carried out once.
    #[prost(string, tag = "2")]
    pub nonce: String,
    #[prost(string, tag = "3")]
    pub zone: String,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct StartAck {
    /// Empty: not now.
    #[prost(string, tag = "1")]
    pub processor: String,
    #[prost(string, tag = "2")]
    pub address: String,
    /// Where to ask instead.
    #[prost(string, tag = "3")]
    pub leader: String,
    /// No worker has room: asking again at once is of no use.
    #[prost(bool, tag = "4")]
    pub full: bool,
}

/// A front asks for the processors of the functions that it keeps.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ProcessorsRequest {
    #[prost(string, tag = "1")]
    pub front: String,
    /// Of what it was told last.
    #[prost(fixed64, tag = "2")]
    pub digest: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct Processors {
    /// False: not known here, or not yet; what was told before stands.
    #[prost(bool, tag = "1")]
    pub known: bool,
    /// Empty if the digest is that of the ask.
    #[prost(message, repeated, tag = "2")]
    pub processors: Vec<Processor>,
    #[prost(fixed64, tag = "3")]
    pub digest: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct StopProcessor {
    #[prost(string, tag = "1")]
    pub processor: String,
}

// ---- operators ----

#[derive(Clone, PartialEq, prost::Message)]
pub struct Status {}

#[derive(Clone, PartialEq, prost::Message)]
pub struct StatusAck {
    #[prost(string, tag = "1")]
    pub json: String,
}
