//! The log of segments and its index.

use crate::{KEY_LEN, Key, Op};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::fs::{File, OpenOptions};
use std::io::{Error, ErrorKind, Result, Write};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

/// Length, checksum, number.
const HEAD: usize = 16;
const PUT: u8 = 1;
const DEL: u8 = 2;
const DEL_RANGE: u8 = 3;

struct Segment {
    id: u64,
    bytes: u64,
    /// Bytes of values that the index still points to.
    live: u64,
}

#[derive(Clone, Copy, PartialEq, Eq)]
struct Place {
    segment: u64,
    at: u32,
    len: u32,
}

/// The segments of one folder, and where in them the newest value of each key lies.
pub struct SegmentLog {
    dir: PathBuf,
    segments: VecDeque<Segment>,
    index: BTreeMap<Key, Place>,
    file: File,
    /// The number of the next batch.
    next: u64,
    limit: u64,
    live: u64,
    /// A write or sync of the newest segment failed: nothing more goes there.
    spoilt: bool,
    /// What was to be written anew when that failed: it may stand on the disk under
    /// the next number, so that number is for nothing else.
    redo: Option<Vec<Op>>,
}

fn bad(why: impl Into<String>) -> Error {
    Error::new(ErrorKind::InvalidData, why.into())
}

fn path(dir: &Path, id: u64) -> PathBuf {
    dir.join(format!("{id:010}.log"))
}

fn check(number: u64, ops: &[u8]) -> u32 {
    let mut h = crc32fast::Hasher::new();
    h.update(&number.to_be_bytes());
    h.update(&(ops.len() as u32).to_be_bytes());
    h.update(ops);
    h.finalize()
}

/// The whole batch at the start of `data`: its number, and where its ops end.
fn batch(data: &[u8]) -> Option<(u64, usize)> {
    let head = data.get(..HEAD)?;
    let len = u32::from_be_bytes(head[..4].try_into().ok()?) as usize;
    let sum = u32::from_be_bytes(head[4..8].try_into().ok()?);
    let number = u64::from_be_bytes(head[8..16].try_into().ok()?);
    let ops = data.get(HEAD..HEAD.checked_add(len)?)?;
    (len > 0 && check(number, ops) == sum).then_some((number, HEAD + len))
}

enum Read {
    Put(Key, usize, usize),
    Del(Key, Key),
}

/// The next op of a batch, and where the one after it begins.
fn op(data: &[u8], at: usize) -> Result<(Read, usize)> {
    let short = || bad("a batch ends inside an op");
    let key =
        |at: usize| -> Result<Key> { data.get(at..at + KEY_LEN).and_then(|k| k.try_into().ok()).ok_or_else(short) };
    let k = key(at + 1)?;
    match data.get(at) {
        Some(&PUT) => {
            let from = at + 1 + KEY_LEN;
            let len = data.get(from..from + 4).ok_or_else(short)?;
            let len = u32::from_be_bytes([len[0], len[1], len[2], len[3]]) as usize;
            if data.len() < from + 4 + len {
                return Err(short());
            }
            Ok((Read::Put(k, from + 4, len), from + 4 + len))
        }
        Some(&DEL) => Ok((Read::Del(k, k), at + 1 + KEY_LEN)),
        Some(&DEL_RANGE) => Ok((Read::Del(k, key(at + 1 + KEY_LEN)?), at + 1 + 2 * KEY_LEN)),
        _ => Err(bad("a batch holds an unknown op")),
    }
}

impl SegmentLog {
    /// Reads what is there. Up to `keep` bytes of it are held while reading, so
    /// that they need not be read twice.
    pub fn open(dir: &str, limit: u64, keep: usize, read: &mut dyn FnMut(&[u8], &[u8])) -> Result<SegmentLog> {
        let dir = PathBuf::from(dir);
        std::fs::create_dir_all(&dir)?;
        let mut ids: Vec<u64> = Vec::new();
        for f in std::fs::read_dir(&dir)? {
            let name = f?.file_name();
            let name = name.to_string_lossy();
            match name.strip_suffix(".log").and_then(|n| n.parse().ok()) {
                Some(id) => ids.push(id),
                None => return Err(bad(format!("{name} is not this program's"))),
            }
        }
        ids.sort_unstable();
        let newest = ids.last().copied().unwrap_or(0);
        let first = newest + 1;
        let mut s = SegmentLog {
            segments: VecDeque::new(),
            index: BTreeMap::new(),
            file: OpenOptions::new().create(true).truncate(true).write(true).open(path(&dir, first))?,
            dir,
            next: 1,
            limit: limit.clamp(256 << 10, 16 << 20),
            live: 0,
            spoilt: false,
            redo: None,
        };
        let mut held: HashMap<u64, Vec<u8>> = HashMap::new();
        let (mut holding, mut last) = (0, None::<u64>);
        for id in &ids {
            let data = std::fs::read(path(&s.dir, *id))?;
            s.segments.push_back(Segment { id: *id, bytes: 0, live: 0 });
            let mut at = 0;
            while let Some((number, len)) = batch(&data[at..]) {
                match last {
                    // Written once more after a failure, to the letter.
                    Some(l) if number <= l => {}
                    Some(l) if number > l + 1 => {
                        return Err(bad(format!("segment {id}: batch {} is missing, {number} is there", l + 1)));
                    }
                    _ => {
                        s.learn(*id, &data[..at + len], at + HEAD)?;
                        last = Some(number);
                    }
                }
                at += len;
            }
            if at < data.len() {
                telemetry::change!("segment {id}: {} bytes of unfinished writes dropped", data.len() - at);
            }
            // What was read has to be there the next time too.
            let file = OpenOptions::new().write(true).open(path(&s.dir, *id))?;
            if at < data.len() {
                file.set_len(at as u64)?;
            }
            if at < data.len() || *id == newest {
                file.sync_all()?;
            }
            if let Some(seg) = s.segments.back_mut() {
                seg.bytes = at as u64;
            }
            if holding + data.len() <= keep {
                holding += data.len();
                held.insert(*id, data);
            }
        }
        for id in ids {
            let data = match held.remove(&id) {
                Some(d) => d,
                None => std::fs::read(path(&s.dir, id))?,
            };
            for (k, p) in s.index.iter().filter(|(_, p)| p.segment == id) {
                let from = p.at as usize;
                read(k, data.get(from..from + p.len as usize).ok_or_else(|| bad("a value is gone"))?);
            }
        }
        s.next = last.map_or(1, |l| l + 1);
        s.segments.push_back(Segment { id: first, bytes: 0, live: 0 });
        s.file.sync_all()?;
        Ok(s)
    }

    /// Takes the ops from `at` to the end of `data` into the index.
    fn learn(&mut self, segment: u64, data: &[u8], mut at: usize) -> Result<()> {
        while at < data.len() {
            let (found, next) = op(data, at)?;
            match found {
                Read::Put(k, from, len) => {
                    let place = Place { segment, at: from as u32, len: len as u32 };
                    if let Some(old) = self.index.insert(k, place) {
                        self.forget(old);
                    }
                    self.live += len as u64;
                    if let Some(s) = self.segments.iter_mut().rev().find(|s| s.id == segment) {
                        s.live += len as u64;
                    }
                }
                Read::Del(a, b) => {
                    let gone: Vec<Key> =
                        if a <= b { self.index.range(a..=b).map(|(k, _)| *k).collect() } else { Vec::new() };
                    for k in gone {
                        if let Some(old) = self.index.remove(&k) {
                            self.forget(old);
                        }
                    }
                }
            }
            at = next;
        }
        Ok(())
    }

    fn forget(&mut self, p: Place) {
        self.live -= u64::from(p.len);
        if let Some(s) = self.segments.iter_mut().find(|s| s.id == p.segment) {
            s.live -= u64::from(p.len);
        }
    }

    fn begin_segment(&mut self) -> Result<()> {
        let newest = self.segments.back().map_or(0, |s| s.id);
        if self.spoilt {
            // Best effort: the space of what did not become durable.
            let _ = self.file.set_len(self.segments.back().map_or(0, |s| s.bytes));
        }
        let file = OpenOptions::new().create(true).truncate(true).write(true).open(path(&self.dir, newest + 1))?;
        self.file = file;
        self.segments.push_back(Segment { id: newest + 1, bytes: 0, live: 0 });
        self.spoilt = false;
        Ok(())
    }

    /// Writes one batch and syncs it. After an error nothing of it counts, and
    /// the same batch may be given again.
    pub fn commit(&mut self, ops: &[Op]) -> Result<()> {
        if let Some(first) = self.redo.take()
            && let Err(e) = self.put(&first)
        {
            self.redo = Some(first);
            return Err(e);
        }
        self.put(ops)
    }

    fn put(&mut self, ops: &[Op]) -> Result<()> {
        let mut last: HashMap<&Key, usize> = HashMap::new();
        for (n, o) in ops.iter().enumerate() {
            match o {
                Op::Put(k, _) => {
                    last.insert(k, n);
                }
                // Puts before a removal keep their order with it.
                Op::Del(_) | Op::DelRange(..) => last.clear(),
            }
        }
        let mut out = vec![0; HEAD];
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
        if out.len() == HEAD {
            return Ok(());
        }
        let (len, sum) = ((out.len() - HEAD) as u32, check(self.next, &out[HEAD..]));
        out[..4].copy_from_slice(&len.to_be_bytes());
        out[4..8].copy_from_slice(&sum.to_be_bytes());
        out[8..16].copy_from_slice(&self.next.to_be_bytes());
        if self.spoilt || self.segments.back().is_none_or(|s| s.bytes >= self.limit) {
            self.begin_segment()?;
        }
        let written = self.file.write_all(&out).and_then(|()| self.file.sync_data());
        if let Err(e) = written {
            self.spoilt = true;
            return Err(e);
        }
        let (id, base) = self.segments.back().map_or((0, 0), |s| (s.id, s.bytes));
        self.next += 1;
        if let Some(s) = self.segments.back_mut() {
            s.bytes += out.len() as u64;
        }
        // Positions in the segment: the batch begins at `base`.
        let mut at = HEAD;
        while at < out.len() {
            let (found, next) = op(&out, at)?;
            if let Read::Put(k, from, len) = found {
                let place = Place { segment: id, at: (base as usize + from) as u32, len: len as u32 };
                if let Some(old) = self.index.insert(k, place) {
                    self.forget(old);
                }
                self.live += len as u64;
                if let Some(s) = self.segments.back_mut() {
                    s.live += len as u64;
                }
            } else {
                self.learn(id, &out[..next], at)?;
            }
            at = next;
        }
        Ok(())
    }

    /// Frees the oldest segment when more is dead than alive: what still counts
    /// there is written anew, then the file goes.
    pub fn compact(&mut self) -> Result<()> {
        while self.segments.len() > 2 && self.used_bytes() > 2 * self.live + 2 * self.limit {
            let Some(oldest) = self.segments.front().map(|s| s.id) else { break };
            let file = File::open(path(&self.dir, oldest))?;
            let mut ops = Vec::new();
            for (k, p) in self.index.iter().filter(|(_, p)| p.segment == oldest) {
                let mut v = vec![0; p.len as usize];
                file.read_exact_at(&mut v, u64::from(p.at))?;
                ops.push(Op::Put(*k, v.into()));
            }
            if let Err(e) = self.commit(&ops) {
                self.redo = self.redo.take().or(Some(ops));
                return Err(e);
            }
            std::fs::remove_file(path(&self.dir, oldest))?;
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
