//! The segmented log and its index.

use crate::{KEY_LEN, Key, Op};
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

fn checksum(number: u64, ops: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&number.to_be_bytes());
    hasher.update(&(ops.len() as u32).to_be_bytes());
    hasher.update(ops);
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
    (len > 0 && checksum(number, ops) == sum).then_some((number, HEADER_LEN + len))
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
            match found {
                ParsedOp::Put(k, from, len) => {
                    let location = ValueLocation { segment, offset: from as u32, len: len as u32 };
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
            at = next;
        }
        Ok(())
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
        let mut last: HashMap<&Key, usize> = HashMap::new();
        for (n, o) in ops.iter().enumerate() {
            match o {
                Op::Put(k, _) => {
                    last.insert(k, n);
                }
                // Keeps the order of a removal and the puts before it.
                Op::Del(_) | Op::DelRange(..) => last.clear(),
            }
        }
        let mut out = vec![0; HEADER_LEN];
        for (n, o) in ops.iter().enumerate() {
            match o {
                Op::Put(k, v) => {
                    if last.get(k).is_some_and(|l| *l > n) {
                        continue;
                    }
                    out.push(PUT);
                    out.extend_from_slice(k);
                    out.extend_from_slice(&(v.len() as u32).to_be_bytes());
                    out.extend_from_slice(v);
                }
                Op::Del(k) => {
                    out.push(DEL);
                    out.extend_from_slice(k);
                }
                Op::DelRange(a, b) => {
                    out.push(DEL_RANGE);
                    out.extend_from_slice(a);
                    out.extend_from_slice(b);
                }
            }
        }
        if out.len() == HEADER_LEN {
            return Ok(());
        }
        let (len, sum) = ((out.len() - HEADER_LEN) as u32, checksum(self.next_number, &out[HEADER_LEN..]));
        out[..4].copy_from_slice(&len.to_be_bytes());
        out[4..8].copy_from_slice(&sum.to_be_bytes());
        out[8..16].copy_from_slice(&self.next_number.to_be_bytes());
        if self.has_failed || self.segments.back().is_none_or(|s| s.bytes >= self.segment_limit) {
            self.start_segment()?;
        }
        let written = self.file.write_all(&out).and_then(|()| self.file.sync_data());
        if let Err(e) = written {
            self.has_failed = true;
            return Err(e);
        }
        let (id, base) = self.segments.back().map_or((0, 0), |s| (s.id, s.bytes));
        self.next_number += 1;
        if let Some(s) = self.segments.back_mut() {
            s.bytes += out.len() as u64;
        }
        // `base` is the offset of the batch in the segment.
        let mut at = HEADER_LEN;
        while at < out.len() {
            let (found, next) = parse_op(&out, at)?;
            if let ParsedOp::Put(k, from, len) = found {
                let location = ValueLocation { segment: id, offset: (base as usize + from) as u32, len: len as u32 };
                if let Some(old) = self.index.insert(k, location) {
                    self.release(old);
                }
                self.live_bytes += len as u64;
                if let Some(s) = self.segments.back_mut() {
                    s.live_bytes += len as u64;
                }
            } else {
                self.apply_to_index(id, &out[..next], at)?;
            }
            at = next;
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
