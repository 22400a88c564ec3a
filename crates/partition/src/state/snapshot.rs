//! Snapshots of a partition's state, and the state that one holds.

use super::{Message, MessageState, PartitionState, Retention};
use crate::placements::{Placements, SnapshotPlacement};
use crate::record::RouteFacts;
use rpc::messages::Item;
use std::collections::BTreeSet;

impl PartitionState {
    /// The state as a snapshot holds it.
    pub fn snapshot(&self) -> Snapshot {
        let mut routes: Vec<RouteFacts> = self.routes.values().cloned().collect();
        routes.sort_by(|a, b| a.route.cmp(&b.route));
        Snapshot {
            position: self.position,
            revision: self.revision,
            routes,
            messages: self
                .messages
                .iter()
                .map(|(p, w)| SnapshotMessage {
                    position: *p,
                    item: w.item.clone(),
                    at_ms: w.at_ms,
                    due_ms: w.due_ms,
                    state: w.state as u32,
                    failed: w.failed.clone(),
                    result_tag: w.result_tag.clone(),
                    ended_ms: w.ended_ms,
                    notified: w.notified,
                    sent_ms: w.sent_ms,
                    processor: w.processor.clone(),
                    node: w.node.clone(),
                    fingerprint: w.fingerprint,
                })
                .collect(),
            digest: self.digest(),
            reached_ms: self.reached_ms,
            placements: self.placements.snapshot(),
        }
    }

    /// The state that a snapshot holds; an error if it is not what was taken.
    pub fn restore(s: &Snapshot, retention: impl Into<Retention>) -> Result<PartitionState, String> {
        let mut j = PartitionState::new(retention);
        j.position = s.position;
        j.revision = s.revision;
        j.routes = s.routes.iter().map(|f| (f.route.clone(), f.clone())).collect();
        let mut ended = BTreeSet::new();
        for p in &s.messages {
            let state = match p.state {
                0 => MessageState::Pending,
                1 => MessageState::Settled,
                _ => MessageState::Dead,
            };
            let w = Message {
                item: p.item.clone(),
                at_ms: p.at_ms,
                due_ms: p.due_ms,
                state,
                failed: p.failed.clone(),
                result_tag: p.result_tag.clone(),
                ended_ms: p.ended_ms,
                notified: p.notified,
                sent_ms: p.sent_ms,
                processor: p.processor.clone(),
                node: p.node.clone(),
                fingerprint: p.fingerprint,
            };
            if state != MessageState::Pending {
                ended.insert((j.retention.end(&w), p.position));
            }
            j.insert(p.position, w);
        }
        j.ended = ended;
        j.placements = Placements::restore(&s.placements);
        // A snapshot of an earlier release says it by its messages alone.
        let latest = j.messages.values().map(|w| w.at_ms.max(w.sent_ms).max(w.ended_ms)).max();
        j.reached_ms = s.reached_ms.max(latest.unwrap_or(0));
        if j.digest() != s.digest {
            return Err("snapshot does not match its digest".into());
        }
        Ok(j)
    }
}

/// The state of a partition at a position of its log.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Snapshot {
    #[prost(uint64, tag = "1")]
    pub position: u64,
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    #[prost(message, repeated, tag = "3")]
    pub routes: Vec<RouteFacts>,
    #[prost(message, repeated, tag = "4")]
    pub messages: Vec<SnapshotMessage>,
    #[prost(fixed64, tag = "5")]
    pub digest: u64,
    /// The latest time that a record has.
    #[prost(uint64, tag = "15")]
    pub reached_ms: u64,
    #[prost(message, repeated, tag = "16")]
    pub placements: Vec<SnapshotPlacement>,
}

/// One message, as a snapshot holds it.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SnapshotMessage {
    #[prost(uint64, tag = "1")]
    pub position: u64,
    #[prost(message, required, tag = "2")]
    pub item: Item,
    #[prost(uint64, tag = "3")]
    pub at_ms: u64,
    #[prost(uint64, tag = "4")]
    pub due_ms: u64,
    #[prost(uint32, tag = "5")]
    pub state: u32,
    #[prost(uint64, repeated, tag = "6")]
    pub failed: Vec<u64>,
    #[prost(string, tag = "7")]
    pub result_tag: String,
    #[prost(uint64, tag = "8")]
    pub ended_ms: u64,
    #[prost(bool, tag = "9")]
    pub notified: bool,
    #[prost(uint64, tag = "10")]
    pub sent_ms: u64,
    #[prost(string, tag = "11")]
    pub processor: String,
    #[prost(string, tag = "12")]
    pub node: String,
    #[prost(fixed64, tag = "13")]
    pub fingerprint: u64,
}
