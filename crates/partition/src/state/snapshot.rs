//! Encoding a partition's state as a snapshot, and restoring it.

use super::{Message, MessageState, PartitionState, Retention};
use crate::placements::{Placements, SnapshotPlacement};
use crate::record::RouteFacts;
use bytes::{Bytes, BytesMut};
use prost::Message as _;
use prost::encoding::{WireType, encode_key, encode_varint, encoded_len_varint, key_len};
use rpc::messages::Item;
use std::collections::BTreeSet;

/// Bodies of at least this length are not copied into an encoded snapshot.
const MIN_SHARED_BODY_BYTES: usize = 16 << 10;
/// Tags of `Snapshot::messages`, `SnapshotMessage::item` and `Item::body`.
const MESSAGES_TAG: u32 = 4;
const ITEM_TAG: u32 = 2;
const BODY_TAG: u32 = 9;

/// An encoded `Snapshot`: the concatenation of its parts. Long bodies are parts that share their
/// memory with the state.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EncodedSnapshot {
    /// The parts in order.
    pub parts: Vec<Bytes>,
}

impl EncodedSnapshot {
    /// Its length in bytes.
    pub fn byte_len(&self) -> usize {
        self.parts.iter().map(Bytes::len).sum()
    }

    /// Splits it into chunks of at most `max_bytes`, at least one. Long bodies are not copied.
    pub fn into_chunks(self, max_bytes: usize) -> Vec<Bytes> {
        let mut chunks = Vec::new();
        let mut gathered = BytesMut::new();
        for mut part in self.parts {
            if part.len() < MIN_SHARED_BODY_BYTES && gathered.len() + part.len() <= max_bytes {
                gathered.extend_from_slice(&part);
                continue;
            }
            if !gathered.is_empty() {
                chunks.push(gathered.split().freeze());
            }
            while part.len() > max_bytes {
                chunks.push(part.split_to(max_bytes));
            }
            chunks.push(part);
        }
        if !gathered.is_empty() || chunks.is_empty() {
            chunks.push(gathered.freeze());
        }
        chunks
    }

    /// Returns it in one piece.
    pub fn concat(&self) -> Bytes {
        match self.parts.as_slice() {
            [whole] => whole.clone(),
            parts => parts.concat().into(),
        }
    }
}

impl From<Bytes> for EncodedSnapshot {
    fn from(whole: Bytes) -> EncodedSnapshot {
        EncodedSnapshot { parts: vec![whole] }
    }
}

/// Encodes a snapshot message by message, so that neither the whole `Snapshot` nor a copy of the
/// long bodies has to be in memory.
#[derive(Default)]
struct SnapshotEncoder {
    parts: Vec<Bytes>,
    buffer: BytesMut,
}

impl SnapshotEncoder {
    fn put_message(&mut self, mut message: SnapshotMessage) {
        if message.item.body.len() < MIN_SHARED_BODY_BYTES {
            self.put_field_head(MESSAGES_TAG, message.encoded_len());
            message.encode(&mut self.buffer).expect("the buffer grows");
            return;
        }
        // The body follows in a second occurrence of the item, which decoders merge with the first.
        let body = std::mem::take(&mut message.item.body);
        let item_len = key_len(BODY_TAG) + encoded_len_varint(body.len() as u64) + body.len();
        let item_field_len = key_len(ITEM_TAG) + encoded_len_varint(item_len as u64) + item_len;
        self.put_field_head(MESSAGES_TAG, message.encoded_len() + item_field_len);
        message.encode(&mut self.buffer).expect("the buffer grows");
        self.put_field_head(ITEM_TAG, item_len);
        self.put_field_head(BODY_TAG, body.len());
        self.parts.push(self.buffer.split().freeze());
        self.parts.push(body);
    }

    fn put_field_head(&mut self, tag: u32, len: usize) {
        encode_key(tag, WireType::LengthDelimited, &mut self.buffer);
        encode_varint(len as u64, &mut self.buffer);
    }

    fn finish(mut self) -> EncodedSnapshot {
        if !self.buffer.is_empty() {
            self.parts.push(self.buffer.freeze());
        }
        EncodedSnapshot { parts: self.parts }
    }
}

fn snapshot_message(position: u64, message: &Message) -> SnapshotMessage {
    SnapshotMessage {
        position,
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
    }
}

impl PartitionState {
    pub fn snapshot(&self) -> Snapshot {
        let messages = self.messages.iter().map(|(position, message)| snapshot_message(*position, message)).collect();
        Snapshot { messages, ..self.snapshot_without_messages() }
    }

    /// Encodes the snapshot; decoders read it like the encoding of `snapshot`.
    pub fn encode_snapshot(&self) -> EncodedSnapshot {
        let mut encoder = SnapshotEncoder::default();
        self.snapshot_without_messages().encode(&mut encoder.buffer).expect("the buffer grows");
        for (position, message) in &self.messages {
            encoder.put_message(snapshot_message(*position, message));
        }
        encoder.finish()
    }

    fn snapshot_without_messages(&self) -> Snapshot {
        let mut routes: Vec<RouteFacts> = self.routes.values().cloned().collect();
        routes.sort_by(|a, b| a.route.cmp(&b.route));
        Snapshot {
            position: self.position,
            revision: self.revision,
            routes,
            messages: Vec::new(),
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
            // A body that shared the memory of the snapshot would keep all of it.
            let body = Bytes::copy_from_slice(&p.item.body);
            let message = Message {
                item: Item { body, ..p.item.clone() },
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
