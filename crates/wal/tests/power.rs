//! Power failures at every point of a write: no acknowledged data is lost, and no data is read that
//! a second power failure could remove again.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use wal::{Key, Op, SegmentLog, key};

type Pairs = BTreeMap<Key, Vec<u8>>;

fn new_dir(name: &str) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("wal-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&dir);
    std::fs::create_dir_all(&dir).expect("directory access");
    dir
}

fn open(dir: &Path) -> Result<(SegmentLog, Pairs), String> {
    let mut all = Pairs::new();
    let mut read = |k: &[u8], v: &[u8]| {
        all.insert(k.try_into().expect("valid key"), v.to_vec());
    };
    let s = SegmentLog::open(dir.to_str().expect("valid path"), 0, 1 << 20, &mut read).map_err(|e| e.to_string())?;
    Ok((s, all))
}

fn files(dir: &Path) -> Vec<(PathBuf, Vec<u8>)> {
    let mut all: Vec<(PathBuf, Vec<u8>)> = std::fs::read_dir(dir)
        .expect("directory access")
        .map(|f| f.expect("directory entry").path())
        .map(|p| (p.clone(), std::fs::read(&p).expect("file access")))
        .collect();
    all.sort();
    all
}

fn write_files(dir: &Path, files: &[(PathBuf, Vec<u8>)]) {
    let _ = std::fs::remove_dir_all(dir);
    std::fs::create_dir_all(dir).expect("directory access");
    for (p, data) in files {
        std::fs::write(dir.join(p.file_name().expect("valid name")), data).expect("file access");
    }
}

/// Batches like those of a partition's log: entries, a small record that is overwritten, and
/// truncations at either end.
fn batches() -> Vec<Vec<Op>> {
    let mut all = Vec::new();
    for n in 0..14u64 {
        let mut ops = vec![
            Op::Put(key(b'l', 1, n), vec![n as u8; 20 + n as usize * 3].into()),
            Op::Put(key(b'm', 1, 0), n.to_be_bytes().to_vec().into()),
            Op::Put(key(b'm', 1, 0), (n + 100).to_be_bytes().to_vec().into()),
        ];
        if n % 3 == 1 {
            let parts = [20, 0, 3].map(|len| vec![n as u8 + 1; len].into());
            ops.push(Op::PutParts(key(b's', 1, n % 2), parts.into()));
        }
        if n % 5 == 4 {
            ops.push(Op::DelRange(key(b'l', 1, 0), key(b'l', 1, n - 2)));
        }
        if n % 7 == 6 {
            ops.push(Op::Del(key(b'l', 1, n)));
        }
        all.push(ops);
    }
    all
}

fn apply(model: &mut Pairs, ops: &[Op]) {
    for o in ops {
        match o {
            Op::Put(k, v) => {
                model.insert(*k, v.to_vec());
            }
            Op::PutParts(k, parts) => {
                model.insert(*k, parts.concat());
            }
            Op::Del(k) => {
                model.remove(k);
            }
            Op::DelRange(a, b) => model.retain(|k, _| k < a || k > b),
        }
    }
}

#[test]
fn acknowledged_batches_survive_every_truncated_or_torn_write() {
    let (dir, again) = (new_dir("cuts"), new_dir("cuts-again"));
    let (mut s, _) = open(&dir).expect("log opens");
    let mut model = Pairs::new();
    for ops in batches() {
        let (before, old) = (files(&dir), model.clone());
        s.commit(&ops).expect("written");
        apply(&mut model, &ops);
        let after = files(&dir);
        let last = after.len() - 1;
        let synced = before.get(last).map_or(0, |f| f.1.len());
        for cut in synced..=after[last].1.len() {
            for torn in [false, true] {
                let mut left = after.clone();
                if torn {
                    // The file has its full length, but some of its bytes were not written.
                    left[last].1[synced..cut].iter_mut().step_by(3).for_each(|b| *b = 0);
                } else {
                    left[last].1.truncate(cut);
                }
                write_files(&again, &left);
                let (mut s, found) = open(&again).expect("log opens");
                assert!(found == old || found == model, "part of a batch at {cut}");
                // Data that was read is still there after another write.
                s.commit(&[Op::Put(key(b'x', 0, 0), vec![1].into())]).expect("written");
                drop(s);
                let (_, then) = open(&again).expect("log opens");
                assert_eq!(then.len(), found.len() + 1);
            }
        }
    }
    let (_, found) = open(&dir).expect("log opens");
    assert_eq!(found, model);
}

#[test]
fn removed_segments_that_reappear_change_nothing() {
    let (dir, again) = (new_dir("freed"), new_dir("freed-again"));
    let (mut s, _) = open(&dir).expect("log opens");
    let mut model = Pairs::new();
    let mut before_removal: Option<Vec<(PathBuf, Vec<u8>)>> = None;
    for n in 0..60u64 {
        let mut ops = vec![Op::Put(key(b'l', 1, n), vec![n as u8; 60 << 10].into())];
        if n >= 4 {
            ops.push(Op::Del(key(b'l', 1, n - 4)));
        }
        if n == 3 {
            ops.push(Op::Put(key(b's', 9, 0), vec![7; 999].into()));
        }
        s.commit(&ops).expect("written");
        apply(&mut model, &ops);
        let before = files(&dir);
        s.compact().expect("cleaned");
        let after = files(&dir);
        if after.len() < before.len() {
            before_removal = Some(before);
        }
        if let Some(b) = &before_removal {
            // The last removal was not durable: the oldest segment reappears.
            let mut left = after.clone();
            if let Some(old) = b.first().filter(|f| after.iter().all(|a| a.0 != f.0)) {
                left.insert(0, old.clone());
            }
            write_files(&again, &left);
            assert_eq!(open(&again).expect("log opens").1, model);
        }
    }
    assert!(before_removal.is_some(), "a segment was removed");
    assert!(s.used_bytes() < 2 << 20, "{}", s.used_bytes());
    assert_eq!(open(&dir).expect("log opens").1, model);
}

#[test]
fn gap_in_the_batch_numbers_is_refused() {
    let dir = new_dir("gap");
    let (mut s, _) = open(&dir).expect("log opens");
    for n in 0..12u64 {
        s.commit(&[Op::Put(key(b'l', 1, n), vec![0; 100 << 10].into())]).expect("written");
    }
    let all = files(&dir);
    assert!(all.len() > 2);
    let mut damaged = all.clone();
    let at = damaged[1].1.len() / 2;
    damaged[1].1[at] ^= 0xff;
    write_files(&dir, &damaged);
    let why = open(&dir).err().expect("refused");
    assert!(why.contains("missing"), "{why}");
}

#[test]
fn failed_write_takes_effect_only_once_it_succeeds() {
    let (dir, away) = (new_dir("refused"), new_dir("refused-away"));
    std::fs::remove_dir(&away).expect("removed");
    let (mut s, _) = open(&dir).expect("log opens");
    let mut model = Pairs::new();
    for n in 0..9u64 {
        let ops = vec![Op::Put(key(b'l', 1, n), vec![n as u8; 100 << 10].into())];
        // The directory is moved away, so that a new segment cannot be created.
        std::fs::rename(&dir, &away).expect("moved");
        let has_failed = s.commit(&ops).is_err();
        std::fs::rename(&away, &dir).expect("moved back");
        if has_failed {
            assert_eq!(recover_copy(&dir).expect("log opens"), model, "no part of the batch takes effect");
            s.commit(&ops).expect("written");
        }
        apply(&mut model, &ops);
        assert_eq!(recover_copy(&dir).expect("log opens"), model);
    }
    assert!(files(&dir).len() > 2, "new segments were started");
}

/// The pairs that a process started now would recover.
fn recover_copy(dir: &Path) -> Result<Pairs, String> {
    let copy = new_dir("copy");
    write_files(&copy, &files(dir));
    Ok(open(&copy)?.1)
}

#[test]
fn failed_compaction_is_retried_before_any_other_batch_and_loses_nothing() {
    let dir = new_dir("redo");
    let (mut s, _) = open(&dir).expect("log opens");
    let kept = key(b'k', 1, 1);
    let mut model = Pairs::new();
    let mut put = |s: &mut SegmentLog, k: Key, v: Vec<u8>| {
        s.commit(&[Op::Put(k, v.clone().into())]).expect("written");
        model.insert(k, v);
    };
    put(&mut s, kept, vec![7; 90]);
    let newest = |dir: &Path| files(dir).last().map(|(p, d)| (p.clone(), d.len())).expect("valid segment");
    let mut n = 0u8;
    // Fills the old segments with overwritten values, and the newest one up to its limit.
    while s.used_bytes() < 1 << 20 || newest(&dir).1 < 256 << 10 {
        put(&mut s, key(b'x', 1, 1), vec![n; 50_000]);
        n = n.wrapping_add(1);
    }
    // A directory of its name keeps the next segment from being created.
    let name = newest(&dir).0;
    let id: u64 = name.file_stem().and_then(|n| n.to_str()).and_then(|n| n.parse().ok()).expect("valid number");
    let blocked = dir.join(format!("{:010}.log", id + 1));
    std::fs::create_dir(&blocked).expect("directory access");
    assert!(s.compact().is_err(), "compaction was due");
    assert!(s.commit(&[Op::Put(key(b'y', 1, 1), vec![1].into())]).is_err(), "nothing is written before the retry");
    std::fs::remove_dir(&blocked).expect("removed");
    put(&mut s, key(b'y', 1, 1), vec![2]);
    s.compact().expect("compacted");
    drop(s);
    let (_, read) = open(&dir).expect("recovered");
    assert_eq!(read, model);
    let _ = std::fs::remove_dir_all(&dir);
}

/// Long parts of a value are written apart from the rest of their batch; a batch that is cut within one is discarded.
#[test]
fn values_in_long_parts_are_recovered_whole_or_not_at_all() {
    let dir = new_dir("long-parts");
    let parts: Vec<bytes::Bytes> = [20, 65 << 10, 0, 3, 70 << 10].map(|len| vec![len as u8; len].into()).into();
    let first = vec![Op::Put(key(b'm', 1, 0), vec![1].into())];
    let second = vec![
        Op::Put(key(b'l', 1, 1), vec![5; 100 << 10].into()),
        Op::PutParts(key(b's', 1, 0), parts),
        Op::Put(key(b'm', 1, 0), vec![2].into()),
        Op::DelRange(key(b'l', 1, 0), key(b'l', 1, 0)),
        Op::PutParts(key(b's', 2, 0), Vec::new()),
    ];
    let mut model = Pairs::new();
    {
        let (mut log, _) = open(&dir).expect("an empty directory");
        log.commit(&first).expect("written");
        apply(&mut model, &first);
        let before = model.clone();
        log.commit(&second).expect("written");
        apply(&mut model, &second);
        drop(log);
        let written = files(&dir);
        let (segment, whole) = written.last().expect("a segment");
        for missing in [1, 70 << 10, (70 << 10) + 1, 140 << 10, 200 << 10] {
            write_files(&dir, &[(segment.clone(), whole[..whole.len() - missing].to_vec())]);
            assert_eq!(open(&dir).expect("readable").1, before, "{missing} bytes are missing");
        }
        write_files(&dir, &written);
    }
    assert_eq!(open(&dir).expect("readable").1, model);
}
