//! Frames: the length-prefixed encoding of envelopes on a connection, and the limits on their
//! length.
//!
//! Every process accepts frames of up to `FRAME_LIMIT` bytes. A longer frame is sent only to a
//! process that has stated in a `Hello` that it accepts it (docs/design/frames.md).

use crate::frame_stats::{kind_name, partition_of, record_sent};
use crate::messages::{Body, Envelope, Hello};
use bytes::{Buf, Bytes, BytesMut};
use prost::Message;
use prost::encoding::{WireType, decode_key, decode_varint};
use std::fmt;
use std::io;
use tokio::io::{AsyncRead, AsyncReadExt};

/// The longest frame, in bytes, that every process accepts, also one that states no limit.
pub const FRAME_LIMIT: usize = 4 << 20;

/// The lowest limit that a process states: processes without `Hello` send entries in batches of up
/// to 512 kB before a record of almost `FRAME_LIMIT`.
const MIN_STATED_LIMIT: usize = FRAME_LIMIT + (1 << 20);

/// The highest limit that a process states, whatever its memory.
const MAX_STATED_LIMIT: usize = 256 << 20;

/// The memory of a process divided by this is the longest frame that it accepts. An owner holds a
/// message of that length up to seven times while it is written: as read, as a record, as an
/// operation and a batch of the log on disk, and as a frame to each of two followers.
const MEMORY_DIVISOR: u64 = 24;

/// Bytes of a frame that are kept free for what accompanies a message on the longest of its ways:
/// names and addresses of nodes and processors, positions, and times.
pub const ENVELOPE_MARGIN: usize = 64 << 10;

/// A frame longer than the limit times this closes its connection. A shorter one is skipped, so
/// that other calls on the connection are answered.
const SKIP_FACTOR: usize = 16;

/// First bytes of a frame from which its call, its kind and its partition can be told.
const SUMMARY_BYTES: usize = 64;

/// Returns the longest frame, in bytes, that a process with this memory accepts.
pub fn max_frame_bytes(memory_mb: u64) -> usize {
    ((memory_mb << 20) / MEMORY_DIVISOR).clamp(MIN_STATED_LIMIT as u64, MAX_STATED_LIMIT as u64) as usize
}

/// Returns the longest record of a partition's log, in bytes, that fits every frame which may carry
/// it to a process that accepts frames of `frame_limit` bytes.
pub const fn max_record_bytes(frame_limit: usize) -> usize {
    frame_limit - ENVELOPE_MARGIN
}

/// Returns the longest message body, in bytes, that a process carries which accepts frames of
/// `frame_limit` bytes. The message's other fields take up to `ENVELOPE_MARGIN` bytes of its record;
/// where they take more, the body may be that much shorter.
pub const fn max_body_bytes(frame_limit: usize) -> usize {
    max_record_bytes(frame_limit) - ENVELOPE_MARGIN
}

/// Returns whether an envelope is sent only to a process that has stated its limit.
pub(crate) fn is_long(frame_len: usize) -> bool {
    frame_len > FRAME_LIMIT
}

/// Returns the envelope that states a process's limit.
pub(crate) fn hello(call: u64, reply: bool, max_frame_bytes: usize) -> Envelope {
    let hello = Hello { max_frame_bytes: max_frame_bytes as u64 };
    Envelope { call, reply, body: Some(Body::Hello(hello)) }
}

/// Appends one frame: the length as a big-endian `u32`, then the encoded envelope.
pub fn put_frame(out: &mut BytesMut, envelope: &Envelope) {
    put_measured_frame(out, envelope, envelope.encoded_len());
}

/// As `put_frame`, for an envelope whose encoded length is known.
pub(crate) fn put_measured_frame(out: &mut BytesMut, envelope: &Envelope, len: usize) {
    out.reserve(len + 4);
    out.extend_from_slice(&(len as u32).to_be_bytes());
    envelope.encode(out).expect("room was reserved");
    if let Some(body) = &envelope.body {
        record_sent(body, len + 4);
    }
}

/// Removes one complete frame from the front of the buffer, if there is one.
///
/// # Errors
/// Returns an error if the frame is longer than `FRAME_LIMIT` or cannot be decoded.
pub fn take_frame(buf: &mut BytesMut) -> Result<Option<Envelope>, FrameError> {
    match frame_len(buf) {
        Some(len) if len > FRAME_LIMIT => Err(FrameError::TooLong { len }),
        Some(len) => take_body(buf, len),
        None => Ok(None),
    }
}

/// The length of the frame at the front of the buffer, as its prefix states it.
fn frame_len(buf: &[u8]) -> Option<usize> {
    let prefix = buf.first_chunk::<4>()?;
    Some(u32::from_be_bytes(*prefix) as usize)
}

fn take_body(buf: &mut BytesMut, len: usize) -> Result<Option<Envelope>, FrameError> {
    if buf.len() < 4 + len {
        return Ok(None);
    }
    buf.advance(4);
    let frame: Bytes = buf.split_to(len).freeze();
    Envelope::decode(frame).map(Some).map_err(|_| FrameError::Malformed)
}

/// Why a connection cannot be read any further.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The frame is so long that it is not even skipped.
    #[error("frame of {len} bytes is too long")]
    TooLong {
        /// Its length, as its prefix states it.
        len: usize,
    },
    /// The frame is no envelope.
    #[error("frame cannot be decoded")]
    Malformed,
}

impl From<FrameError> for io::Error {
    fn from(error: FrameError) -> io::Error {
        io::Error::other(error)
    }
}

/// What is known of a frame that exceeds a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FrameSummary {
    /// The call; 0 if no reply is expected.
    pub call: u64,
    /// Whether it is the reply to a call.
    pub reply: bool,
    /// The kind of message; empty if unknown.
    pub kind: &'static str,
    /// The partition that it concerns, if it concerns one.
    pub partition: Option<u32>,
    /// Its length in bytes.
    pub len: usize,
}

impl FrameSummary {
    /// Describes an envelope of the given encoded length.
    pub(crate) fn of(envelope: &Envelope, len: usize) -> FrameSummary {
        let body = envelope.body.as_ref();
        let (kind, partition) = (body.map_or("", kind_name), body.and_then(partition_of));
        FrameSummary { call: envelope.call, reply: envelope.reply, kind, partition, len }
    }

    /// Reads the first bytes of a frame.
    fn parse(mut start: &[u8], len: usize) -> FrameSummary {
        let mut summary = FrameSummary { call: 0, reply: false, kind: "", partition: None, len };
        while let Ok((tag, wire_type)) = decode_key(&mut start) {
            let Ok(value) = decode_varint(&mut start) else { break };
            match (tag, wire_type) {
                (1, WireType::Varint) => summary.call = value,
                (2, WireType::Varint) => summary.reply = value != 0,
                (tag, WireType::LengthDelimited) => {
                    summary.kind = crate::frame_stats::name_of_tag(tag);
                    if crate::frame_stats::has_partition(tag) {
                        summary.partition = leading_partition(start);
                    }
                    break;
                }
                _ => break,
            }
        }
        summary
    }
}

impl fmt::Display for FrameSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "frame of kind {:?} with {} bytes", self.kind, self.len)?;
        match self.partition {
            Some(partition) => write!(f, " for partition {partition}"),
            None => Ok(()),
        }
    }
}

/// The first field of a message that begins with its partition; absent for partition 0, which is
/// not written.
fn leading_partition(mut body: &[u8]) -> Option<u32> {
    match decode_key(&mut body) {
        Ok((1, WireType::Varint)) => decode_varint(&mut body).ok().map(|partition| partition as u32),
        _ => Some(0),
    }
}

/// A frame that was read.
#[derive(Debug)]
#[allow(clippy::large_enum_variant)] // Short-lived: handled as soon as it is read.
pub(crate) enum Incoming {
    Envelope(Envelope),
    /// A frame longer than the limit; its bytes are skipped.
    TooLong(FrameSummary),
}

/// Reads the frames of a connection.
pub(crate) struct FrameReader {
    buffer: BytesMut,
    limit: usize,
    /// Bytes of a frame longer than the limit that are still to come.
    to_skip: usize,
}

impl FrameReader {
    pub(crate) fn new(limit: usize) -> FrameReader {
        FrameReader { buffer: BytesMut::with_capacity(8 << 10), limit, to_skip: 0 }
    }

    /// Takes the next frame from what was read; `None` if it is incomplete.
    pub(crate) fn next(&mut self) -> Result<Option<Incoming>, FrameError> {
        self.skip();
        if self.to_skip > 0 {
            return Ok(None);
        }
        let Some(len) = frame_len(&self.buffer) else { return Ok(None) };
        if len <= self.limit {
            return Ok(take_body(&mut self.buffer, len)?.map(Incoming::Envelope));
        }
        if len > self.limit.saturating_mul(SKIP_FACTOR) {
            return Err(FrameError::TooLong { len });
        }
        let Some(start) = self.buffer.get(4..4 + SUMMARY_BYTES) else { return Ok(None) };
        let summary = FrameSummary::parse(start, len);
        self.to_skip = 4 + len;
        self.skip();
        Ok(Some(Incoming::TooLong(summary)))
    }

    /// Drops what was read of a frame that is skipped.
    fn skip(&mut self) {
        let skipped = self.to_skip.min(self.buffer.len());
        self.buffer.advance(skipped);
        self.to_skip -= skipped;
    }

    /// Reads more bytes; 0 at the end of the stream. Makes room for the whole of a frame whose length
    /// is known, so that the buffer does not grow by doubling.
    pub(crate) async fn fill(&mut self, stream: &mut (impl AsyncRead + Unpin)) -> io::Result<usize> {
        let known = frame_len(&self.buffer).filter(|len| *len <= self.limit).unwrap_or(0);
        let missing = (4 + known).saturating_sub(self.buffer.len());
        self.buffer.reserve(missing.max(4 << 10));
        stream.read_buf(&mut self.buffer).await
    }
}
