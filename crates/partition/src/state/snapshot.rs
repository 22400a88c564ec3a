//! Encoding a partition's state as a snapshot, and restoring it.

use super::{Message, MessageState, PartitionState, Retention};
use crate::placements::{Placements, SnapshotPlacement};
use crate::record::RouteFacts;
use rpc::messages::Item;
use std::collections::BTreeSet;

impl PartitionState {
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
                .map(|(p, message)| SnapshotMessage {
                    position: *p,
                    item: message.item.clone(),
                    at_ms: message.at_ms,
                    due_ms: message.due_ms,
                    state: message.state as u32,
                    failed: message.failed.clone(),
                    result_tag: message.result_tag.clone(),
                    ended_ms: message.ended_ms,
                    notified: message.notified,
                    sent_ms: message.sent_ms,
                    processor: message.processor.clone(),
                    node: message.node.clone(),
                    fingerprint: message.fingerprint,
                })
                .collect(),
            digest: self.digest(),
            reached_ms: self.reached_ms,
            placements: self.placements.snapshot(),
        }
    }

    /// Restores the state of a snapshot. Fails if the snapshot does not match its digest.
    pub fn restore(s: &Snapshot, retention: impl Into<Retention>) -> Result<PartitionState, String> {
        let mut restored = PartitionState::new(retention);
        restored.position = s.position;
        restored.revision = s.revision;
        restored.routes = s.routes.iter().map(|f| (f.route.clone(), f.clone())).collect();
        let mut ended = BTreeSet::new();
        for p in &s.messages {
            let state = match p.state {
                0 => MessageState::Pending,
                1 => MessageState::Settled,
                _ => MessageState::Dead,
            };
            let message = Message {
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
                ended.insert((restored.retention.removal_time(&message), p.position));
            }
            restored.insert(p.position, message);
        }
        restored.ended = ended;
        restored.placements = Placements::restore(&s.placements);
        // Snapshots of earlier releases lack `reached_ms`; it is derived from their messages.
        let latest =
            restored.messages.values().map(|message| message.at_ms.max(message.sent_ms).max(message.ended_ms)).max();
        restored.reached_ms = s.reached_ms.max(latest.unwrap_or(0));
        if restored.digest() != s.digest {
            return Err("snapshot does not match its digest".into());
        }
        Ok(restored)
    }
}

/// The state of a partition at a log position.
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
    /// The latest timestamp of an applied record.
    #[prost(uint64, tag = "15")]
    pub reached_ms: u64,
    #[prost(message, repeated, tag = "16")]
    pub placements: Vec<SnapshotPlacement>,
}

/// A message as encoded in a snapshot.
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
