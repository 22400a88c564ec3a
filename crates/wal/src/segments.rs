//! The segmented log and its index.

use crate::{KEY_LEN, Key, Op};
use bytes::Bytes;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::fs::{File, OpenOptions};
use std::io::{Error, ErrorKind, Result, Write};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

/// Size of the header of a batch: length (4 bytes), checksum (4) and batch number (8).
const HEADER_LEN: usize = 16;
const PUT: u8 = 1;
const DEL: u8 = 2;
const DEL_RANGE: u8 = 3;

struct Segment {
    id: u64,
    bytes: u64,
    /// Bytes of values that the index refers to.
    live_bytes: u64,
}

/// Where a value is stored.
#[derive(Clone, Copy, PartialEq, Eq)]
struct ValueLocation {
    segment: u64,
    offset: u32,
    len: u32,
}

/// The segments of a directory, and an index of the location of the newest value of each key.
pub struct SegmentLog {
    dir: PathBuf,
    segments: VecDeque<Segment>,
    index: BTreeMap<Key, ValueLocation>,
    file: File,
    next_number: u64,
    /// Size from which on a new segment is started.
    segment_limit: u64,
    live_bytes: u64,
    /// A write or sync of the newest segment failed; nothing more is appended to it.
    has_failed: bool,
    /// The batch of a compaction that failed. It may be on disk under the next number, so that
    /// number must not be used for any other batch.
    retry_batch: Option<Vec<Op>>,
}

fn invalid_data(reason: impl Into<String>) -> Error {
    Error::new(ErrorKind::InvalidData, reason.into())
}

fn segment_path(dir: &Path, id: u64) -> PathBuf {
    dir.join(format!("{id:010}.log"))
}

/// The checksum of a batch whose operations are encoded in these parts.
fn checksum<'a>(number: u64, len: usize, parts: impl Iterator<Item = &'a [u8]>) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&number.to_be_bytes());
    hasher.update(&(len as u32).to_be_bytes());
    parts.for_each(|part| hasher.update(part));
    hasher.finalize()
}

/// Checks the batch at the start of `data`; returns its number and length including the header, or
/// `None` if it is incomplete or its checksum does not match.
fn parse_batch(data: &[u8]) -> Option<(u64, usize)> {
    let head = data.get(..HEADER_LEN)?;
    let len = u32::from_be_bytes(head[..4].try_into().ok()?) as usize;
    let sum = u32::from_be_bytes(head[4..8].try_into().ok()?);
    let number = u64::from_be_bytes(head[8..16].try_into().ok()?);
    let ops = data.get(HEADER_LEN..HEADER_LEN.checked_add(len)?)?;
    (len > 0 && checksum(number, len, [ops].into_iter()) == sum).then_some((number, HEADER_LEN + len))
}

enum ParsedOp {
    /// The key, and the offset and length of the value.
    Put(Key, usize, usize),
    /// The first and the last key of the removed range.
    Del(Key, Key),
}

/// Parses the operation at an offset of a batch; returns it and the offset of the next one.
fn parse_op(data: &[u8], at: usize) -> Result<(ParsedOp, usize)> {
    let truncated = || invalid_data("batch ends within an operation");
    let key =
        |at: usize| -> Result<Key> { data.get(at..at + KEY_LEN).and_then(|k| k.try_into().ok()).ok_or_else(truncated) };
    let k = key(at + 1)?;
    match data.get(at) {
        Some(&PUT) => {
            let from = at + 1 + KEY_LEN;
            let len = data.get(from..from + 4).ok_or_else(truncated)?;
            let len = u32::from_be_bytes([len[0], len[1], len[2], len[3]]) as usize;
            if data.len() < from + 4 + len {
                return Err(truncated());
            }
            Ok((ParsedOp::Put(k, from + 4, len), from + 4 + len))
        }
        Some(&DEL) => Ok((ParsedOp::Del(k, k), at + 1 + KEY_LEN)),
        Some(&DEL_RANGE) => Ok((ParsedOp::Del(k, key(at + 1 + KEY_LEN)?), at + 1 + 2 * KEY_LEN)),
        _ => Err(invalid_data("batch contains an unknown operation")),
    }
}

/// A part of a value that is at least this long is written as it lies in memory; shorter ones are
/// gathered.
const MIN_SEPARATE_BYTES: usize = 64 << 10;

/// A batch as it is written.
struct EncodedBatch {
    /// The header and the operations, to be written in order.
    parts: Vec<Bytes>,
    len: usize,
    /// The operations, with the offsets of their values in the batch.
    ops: Vec<ParsedOp>,
}

/// Gathers the parts of a batch.
struct BatchEncoder {
    parts: Vec<Bytes>,
    /// What was added since the last separate part.
    gathered: Vec<u8>,
    len: usize,
}

impl BatchEncoder {
    fn put(&mut self, bytes: &[u8]) {
        self.gathered.extend_from_slice(bytes);
        self.len += bytes.len();
    }

    fn put_part(&mut self, part: &Bytes) {
        if part.len() < MIN_SEPARATE_BYTES {
            self.put(part);
            return;
        }
        self.parts.push(std::mem::take(&mut self.gathered).into());
        self.parts.push(part.clone());
        self.len += part.len();
    }
}

impl EncodedBatch {
    fn encode(number: u64, ops: &[Op]) -> EncodedBatch {
        let mut last: HashMap<&Key, usize> = HashMap::new();
        for (n, o) in ops.iter().enumerate() {
            match o {
                Op::Put(k, _) | Op::PutParts(k, _) => {
                    last.insert(k, n);
                }
                // Keeps the order of a removal and the puts before it.
                Op::Del(_) | Op::DelRange(..) => last.clear(),
            }
        }
        let mut encoder = BatchEncoder { parts: Vec::new(), gathered: vec![0; HEADER_LEN], len: HEADER_LEN };
        let mut parsed = Vec::new();
        for (n, o) in ops.iter().enumerate() {
            match o {
                Op::Put(k, _) | Op::PutParts(k, _) => {
                    if last.get(k).is_some_and(|l| *l > n) {
                        continue;
                    }
                    let value = o.value_parts();
                    let value_len: usize = value.iter().map(Bytes::len).sum();
                    encoder.put(&[PUT]);
                    encoder.put(k);
                    encoder.put(&(value_len as u32).to_be_bytes());
                    parsed.push(ParsedOp::Put(*k, encoder.len, value_len));
                    value.iter().for_each(|part| encoder.put_part(part));
                }
                Op::Del(k) => {
                    encoder.put(&[DEL]);
                    encoder.put(k);
                    parsed.push(ParsedOp::Del(*k, *k));
                }
                Op::DelRange(a, b) => {
                    encoder.put(&[DEL_RANGE]);
                    encoder.put(a);
                    encoder.put(b);
                    parsed.push(ParsedOp::Del(*a, *b));
                }
            }
        }
        EncodedBatch::with_header(number, encoder, parsed)
    }

    /// Fills in the header, whose room is at the start of the first part.
    fn with_header(number: u64, encoder: BatchEncoder, ops: Vec<ParsedOp>) -> EncodedBatch {
        let BatchEncoder { mut parts, mut gathered, len } = encoder;
        let ops_len = len - HEADER_LEN;
        let later_parts = parts.iter().skip(1).map(Bytes::as_ref);
        let sum = match parts.first() {
            None => checksum(number, ops_len, [&gathered[HEADER_LEN..]].into_iter()),
            Some(first) => {
                let all = [&first[HEADER_LEN..]].into_iter().chain(later_parts).chain([gathered.as_slice()]);
                checksum(number, ops_len, all)
            }
        };
        let mut header = Vec::with_capacity(HEADER_LEN);
        header.extend_from_slice(&(ops_len as u32).to_be_bytes());
        header.extend_from_slice(&sum.to_be_bytes());
        header.extend_from_slice(&number.to_be_bytes());
        if parts.is_empty() {
            gathered[..HEADER_LEN].copy_from_slice(&header);
        } else {
            let after_header = parts[0].slice(HEADER_LEN..);
            parts[0] = [header, after_header.to_vec()].concat().into();
        }
        parts.push(gathered.into());
        EncodedBatch { parts, len, ops }
    }

    fn write(&self, file: &mut File) -> Result<()> {
        self.parts.iter().filter(|part| !part.is_empty()).try_for_each(|part| file.write_all(part))
    }
}

impl SegmentLog {
    /// Recovers the log of a directory and passes every live pair to `read`. Up to `buffer_bytes` of
    /// segment data are held in memory meanwhile, so that they are not read from disk twice.
    pub fn open(
        dir: &str,
        segment_limit: u64,
        buffer_bytes: usize,
        read: &mut dyn FnMut(&[u8], &[u8]),
    ) -> Result<SegmentLog> {
        let dir = PathBuf::from(dir);
        std::fs::create_dir_all(&dir)?;
        let mut ids: Vec<u64> = Vec::new();
        for f in std::fs::read_dir(&dir)? {
            let name = f?.file_name();
            let name = name.to_string_lossy();
            match name.strip_suffix(".log").and_then(|n| n.parse().ok()) {
                Some(id) => ids.push(id),
                None => return Err(invalid_data(format!("unexpected file {name} in the directory"))),
            }
        }
        ids.sort_unstable();
        let newest = ids.last().copied().unwrap_or(0);
        let first = newest + 1;
        let mut log = SegmentLog {
            segments: VecDeque::new(),
            index: BTreeMap::new(),
            file: OpenOptions::new().create(true).truncate(true).write(true).open(segment_path(&dir, first))?,
            dir,
            next_number: 1,
            segment_limit: segment_limit.clamp(256 << 10, 16 << 20),
            live_bytes: 0,
            has_failed: false,
            retry_batch: None,
        };
        let mut buffered: HashMap<u64, Vec<u8>> = HashMap::new();
        let (mut buffered_bytes, mut last) = (0, None::<u64>);
        for id in &ids {
            let data = std::fs::read(segment_path(&log.dir, *id))?;
            log.segments.push_back(Segment { id: *id, bytes: 0, live_bytes: 0 });
            let mut at = 0;
            while let Some((number, len)) = parse_batch(&data[at..]) {
                match last {
                    // An identical copy of a batch that was written again after a failure.
                    Some(l) if number <= l => {}
                    Some(l) if number > l + 1 => {
                        return Err(invalid_data(format!(
                            "segment {id}: batch {} is missing, found batch {number}",
                            l + 1
                        )));
                    }
                    _ => {
                        log.apply_to_index(*id, &data[..at + len], at + HEADER_LEN)?;
                        last = Some(number);
                    }
                }
                at += len;
            }
            if at < data.len() {
                telemetry::change!("segment {id}: discarded {} bytes of incomplete writes", data.len() - at);
            }
            // Whatever is read now must also be found by the next recovery, so it is synced here.
            let file = OpenOptions::new().write(true).open(segment_path(&log.dir, *id))?;
            if at < data.len() {
                file.set_len(at as u64)?;
            }
            if at < data.len() || *id == newest {
                file.sync_all()?;
            }
            if let Some(seg) = log.segments.back_mut() {
                seg.bytes = at as u64;
            }
            if buffered_bytes + data.len() <= buffer_bytes {
                buffered_bytes += data.len();
                buffered.insert(*id, data);
            }
        }
        for id in ids {
            let data = match buffered.remove(&id) {
                Some(d) => d,
                None => std::fs::read(segment_path(&log.dir, id))?,
            };
            for (k, p) in log.index.iter().filter(|(_, p)| p.segment == id) {
                let from = p.offset as usize;
                read(
                    k,
                    data.get(from..from + p.len as usize)
                        .ok_or_else(|| invalid_data("value is outside of its segment"))?,
                );
            }
        }
        log.next_number = last.map_or(1, |l| l + 1);
        log.segments.push_back(Segment { id: first, bytes: 0, live_bytes: 0 });
        log.file.sync_all()?;
        Ok(log)
    }

    /// Applies the operations from `at` to the end of `data` to the index.
    fn apply_to_index(&mut self, segment: u64, data: &[u8], mut at: usize) -> Result<()> {
        while at < data.len() {
            let (found, next) = parse_op(data, at)?;
            self.apply_op(segment, 0, found);
            at = next;
        }
        Ok(())
    }

    /// Applies an operation of a batch to the index. `base` is added to the offset of its value.
    fn apply_op(&mut self, segment: u64, base: usize, op: ParsedOp) {
        match op {
            ParsedOp::Put(k, from, len) => {
                let location = ValueLocation { segment, offset: (base + from) as u32, len: len as u32 };
                if let Some(old) = self.index.insert(k, location) {
                    self.release(old);
                }
                self.live_bytes += len as u64;
                if let Some(s) = self.segments.iter_mut().rev().find(|s| s.id == segment) {
                    s.live_bytes += len as u64;
                }
            }
            ParsedOp::Del(a, b) => {
                let removed: Vec<Key> =
                    if a <= b { self.index.range(a..=b).map(|(k, _)| *k).collect() } else { Vec::new() };
                for k in removed {
                    if let Some(old) = self.index.remove(&k) {
                        self.release(old);
                    }
                }
            }
        }
    }

    /// Subtracts a value that the index no longer refers to from the live bytes.
    fn release(&mut self, p: ValueLocation) {
        self.live_bytes -= u64::from(p.len);
        if let Some(s) = self.segments.iter_mut().find(|s| s.id == p.segment) {
            s.live_bytes -= u64::from(p.len);
        }
    }

    fn start_segment(&mut self) -> Result<()> {
        let newest = self.segments.back().map_or(0, |s| s.id);
        if self.has_failed {
            // Best effort: frees the space of the batch that did not become durable.
            let _ = self.file.set_len(self.segments.back().map_or(0, |s| s.bytes));
        }
        let file =
            OpenOptions::new().create(true).truncate(true).write(true).open(segment_path(&self.dir, newest + 1))?;
        self.file = file;
        self.segments.push_back(Segment { id: newest + 1, bytes: 0, live_bytes: 0 });
        self.has_failed = false;
        Ok(())
    }

    /// Writes a batch and syncs it. If it fails, no part of the batch takes effect, and the same batch
    /// may be committed again.
    pub fn commit(&mut self, ops: &[Op]) -> Result<()> {
        if let Some(batch) = self.retry_batch.take()
            && let Err(e) = self.append(&batch)
        {
            self.retry_batch = Some(batch);
            return Err(e);
        }
        self.append(ops)
    }

    /// Appends a batch to the newest segment and syncs it. Puts that a later put of the same key
    /// overrides are left out.
    fn append(&mut self, ops: &[Op]) -> Result<()> {
        let batch = EncodedBatch::encode(self.next_number, ops);
        if batch.ops.is_empty() {
            return Ok(());
        }
        if self.has_failed || self.segments.back().is_none_or(|s| s.bytes >= self.segment_limit) {
            self.start_segment()?;
        }
        if let Err(e) = batch.write(&mut self.file).and_then(|()| self.file.sync_data()) {
            self.has_failed = true;
            return Err(e);
        }
        let (id, base) = self.segments.back().map_or((0, 0), |s| (s.id, s.bytes));
        self.next_number += 1;
        if let Some(s) = self.segments.back_mut() {
            s.bytes += batch.len as u64;
        }
        for op in batch.ops {
            self.apply_op(id, base as usize, op);
        }
        Ok(())
    }

    /// Removes the oldest segments while the log uses more than twice its live bytes plus two segments.
    /// Live values of a segment are written again before its file is removed.
    pub fn compact(&mut self) -> Result<()> {
        while self.segments.len() > 2 && self.used_bytes() > 2 * self.live_bytes + 2 * self.segment_limit {
            let Some(oldest) = self.segments.front().map(|s| s.id) else { break };
            let file = File::open(segment_path(&self.dir, oldest))?;
            let mut ops = Vec::new();
            for (k, p) in self.index.iter().filter(|(_, p)| p.segment == oldest) {
                let mut v = vec![0; p.len as usize];
                file.read_exact_at(&mut v, u64::from(p.offset))?;
                ops.push(Op::Put(*k, v.into()));
            }
            if let Err(e) = self.commit(&ops) {
                self.retry_batch = self.retry_batch.take().or(Some(ops));
                return Err(e);
            }
            std::fs::remove_file(segment_path(&self.dir, oldest))?;
            File::open(&self.dir)?.sync_all()?;
            self.segments.pop_front();
        }
        Ok(())
    }

    /// Bytes that all segments take on disk.
    pub fn used_bytes(&self) -> u64 {
        self.segments.iter().map(|s| s.bytes).sum()
    }
}
