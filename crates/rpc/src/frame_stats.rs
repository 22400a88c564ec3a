//! Counts of the frames that this process has sent, by the kind of message, and what a log line says
//! of a message.

use crate::messages::Body;
use std::sync::atomic::{AtomicU64, Ordering};

/// The tag of the first kind of message in an envelope; the others follow in the order of
/// `KIND_NAMES`.
const FIRST_KIND_TAG: u32 = 10;

const KIND_COUNT: usize = 41;

/// Names of the kinds in log lines and in the status.
const KIND_NAMES: [&str; KIND_COUNT] = [
    "watch",
    "news",
    "lease",
    "lease_ack",
    "order",
    "order_ack",
    "raft",
    "accept",
    "accepted",
    "lookup",
    "found",
    "run",
    "run_ack",
    "report",
    "report_ack",
    "holding",
    "held",
    "notify",
    "notify_ack",
    "entries",
    "entries_ack",
    "chunk",
    "status",
    "status_ack",
    "gossip",
    "ack",
    "slot_ask",
    "slot_grant",
    "slot_back",
    "slots_held",
    "start",
    "start_ack",
    "stop",
    "units_ask",
    "units",
    "cold_lease",
    "cold_lease_ack",
    "quota_request",
    "quota_response",
    "place",
    "hello",
];

/// Frames and bytes sent by this process, by message kind.
static SENT_BY_KIND: [(AtomicU64, AtomicU64); KIND_COUNT] =
    [const { (AtomicU64::new(0), AtomicU64::new(0)) }; KIND_COUNT];

fn message_kind(body: &Body) -> usize {
    match body {
        Body::WatchRequest(_) => 0,
        Body::ViewUpdate(_) => 1,
        Body::Lease(_) => 2,
        Body::LeaseAck(_) => 3,
        Body::Order(_) => 4,
        Body::OrderAck(_) => 5,
        Body::RaftNode(_) => 6,
        Body::Accept(_) => 7,
        Body::Accepted(_) => 8,
        Body::Lookup(_) => 9,
        Body::Found(_) => 10,
        Body::Run(_) => 11,
        Body::RunAck(_) => 12,
        Body::Report(_) => 13,
        Body::ReportAck(_) => 14,
        Body::Holding(_) => 15,
        Body::Held(_) => 16,
        Body::Notify(_) => 17,
        Body::NotifyAck(_) => 18,
        Body::Entries(_) => 19,
        Body::EntriesAck(_) => 20,
        Body::Chunk(_) => 21,
        Body::Status(_) => 22,
        Body::StatusAck(_) => 23,
        Body::Gossip(_) => 24,
        Body::Ack(_) => 25,
        Body::SlotRequest(_) => 26,
        Body::SlotGrant(_) => 27,
        Body::SlotRelease(_) => 28,
        Body::SlotsHeld(_) => 29,
        Body::Start(_) => 30,
        Body::StartAck(_) => 31,
        Body::Stop(_) => 32,
        Body::ProcessorsRequest(_) => 33,
        Body::Processors(_) => 34,
        Body::ColdLease(_) => 35,
        Body::ColdLeaseAck(_) => 36,
        Body::QuotaRequest(_) => 37,
        Body::QuotaResponse(_) => 38,
        Body::Place(_) => 39,
        Body::Hello(_) => 40,
    }
}

/// Counts a frame of `bytes` bytes as sent.
pub(crate) fn record_sent(body: &Body, bytes: usize) {
    let (frames, sent_bytes) = &SENT_BY_KIND[message_kind(body)];
    frames.fetch_add(1, Ordering::Relaxed);
    sent_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
}

/// The name of a message's kind.
pub(crate) fn kind_name(body: &Body) -> &'static str {
    KIND_NAMES[message_kind(body)]
}

/// The name of the kind with this tag in an envelope; empty if unknown.
pub(crate) fn name_of_tag(tag: u32) -> &'static str {
    let kind = tag.checked_sub(FIRST_KIND_TAG).map_or(KIND_COUNT, |kind| kind as usize);
    KIND_NAMES.get(kind).copied().unwrap_or("")
}

/// Whether a message of the kind with this tag begins with the partition that it concerns.
pub(crate) fn has_partition(tag: u32) -> bool {
    matches!(
        name_of_tag(tag),
        "accept" | "lookup" | "run" | "report" | "holding" | "entries" | "entries_ack" | "chunk" | "place"
    )
}

/// The partition that a message concerns, if it concerns one.
pub(crate) fn partition_of(body: &Body) -> Option<u32> {
    match body {
        Body::Accept(accept) => Some(accept.partition),
        Body::Lookup(lookup) => Some(lookup.partition),
        Body::Run(run) => Some(run.partition),
        Body::Report(report) => Some(report.partition),
        Body::Holding(holding) => Some(holding.partition),
        Body::Entries(entries) => Some(entries.partition),
        Body::EntriesAck(ack) => Some(ack.partition),
        Body::Chunk(chunk) => Some(chunk.partition),
        Body::Place(place) => Some(place.partition),
        _ => None,
    }
}

/// Returns what this process has sent so far, formatted as `kind=frames/bytes`, in descending order
/// of bytes.
pub fn sent_frame_stats() -> String {
    let bytes_and_frames =
        |n: usize| (SENT_BY_KIND[n].1.load(Ordering::Relaxed), SENT_BY_KIND[n].0.load(Ordering::Relaxed));
    let entry = |(n, name): (usize, &&'static str)| {
        let (bytes, frames) = bytes_and_frames(n);
        (bytes, frames, *name)
    };
    let mut kinds: Vec<(u64, u64, &str)> = KIND_NAMES.iter().enumerate().map(entry).filter(|s| s.1 > 0).collect();
    kinds.sort_unstable_by(|a, b| b.cmp(a));
    kinds.iter().map(|(bytes, frames, name)| format!("{name}={frames}/{bytes}")).collect::<Vec<_>>().join(" ")
}
