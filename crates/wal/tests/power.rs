//! Power is lost at every moment of a write: nothing acknowledged goes, and
//! nothing is read that the next loss could take back.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use wal::{Key, Op, SegmentLog, key};

type Pairs = BTreeMap<Key, Vec<u8>>;

fn folder(name: &str) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("wal-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&dir);
    std::fs::create_dir_all(&dir).expect("a folder");
    dir
}

fn open(dir: &Path) -> Result<(SegmentLog, Pairs), String> {
    let mut all = Pairs::new();
    let mut read = |k: &[u8], v: &[u8]| {
        all.insert(k.try_into().expect("a key"), v.to_vec());
    };
    let s = SegmentLog::open(dir.to_str().expect("a path"), 0, 1 << 20, &mut read).map_err(|e| e.to_string())?;
    Ok((s, all))
}

fn files(dir: &Path) -> Vec<(PathBuf, Vec<u8>)> {
    let mut all: Vec<(PathBuf, Vec<u8>)> = std::fs::read_dir(dir)
        .expect("a folder")
        .map(|f| f.expect("an entry").path())
        .map(|p| (p.clone(), std::fs::read(&p).expect("a file")))
        .collect();
    all.sort();
    all
}

fn lay(dir: &Path, files: &[(PathBuf, Vec<u8>)]) {
    let _ = std::fs::remove_dir_all(dir);
    std::fs::create_dir_all(dir).expect("a folder");
    for (p, data) in files {
        std::fs::write(dir.join(p.file_name().expect("a name")), data).expect("a file");
    }
}

/// Batches like those of a partition's log: entries, a small record that is
/// written over, cuts from either end.
fn batches() -> Vec<Vec<Op>> {
    let mut all = Vec::new();
    for n in 0..14u64 {
        let mut ops = vec![
            Op::Put(key(b'l', 1, n), vec![n as u8; 20 + n as usize * 3].into()),
            Op::Put(key(b'm', 1, 0), n.to_be_bytes().to_vec().into()),
            Op::Put(key(b'm', 1, 0), (n + 100).to_be_bytes().to_vec().into()),
        ];
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
            Op::Del(k) => {
                model.remove(k);
            }
            Op::DelRange(a, b) => model.retain(|k, _| k < a || k > b),
        }
    }
}

#[test]
fn every_cut_and_tear_leaves_what_was_acknowledged() {
    let (dir, again) = (folder("cuts"), folder("cuts-again"));
    let (mut s, _) = open(&dir).expect("an empty folder");
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
                    // The length is there, a part of the bytes is not.
                    left[last].1[synced..cut].iter_mut().step_by(3).for_each(|b| *b = 0);
                } else {
                    left[last].1.truncate(cut);
                }
                lay(&again, &left);
                let (mut s, found) = open(&again).expect("it opens");
                assert!(found == old || found == model, "half a batch at {cut}");
                // What was read stays, whatever comes now.
                s.commit(&[Op::Put(key(b'x', 0, 0), vec![1].into())]).expect("written");
                drop(s);
                let (_, then) = open(&again).expect("it opens again");
                assert_eq!(then.len(), found.len() + 1);
            }
        }
    }
    let (_, found) = open(&dir).expect("it opens");
    assert_eq!(found, model);
}

#[test]
fn freed_segments_may_come_back_and_change_nothing() {
    let (dir, again) = (folder("freed"), folder("freed-again"));
    let (mut s, _) = open(&dir).expect("an empty folder");
    let mut model = Pairs::new();
    let mut lost: Option<Vec<(PathBuf, Vec<u8>)>> = None;
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
            lost = Some(before);
        }
        if let Some(b) = &lost {
            // The newest removal was not durable: the oldest segment is back.
            let mut left = after.clone();
            if let Some(old) = b.first().filter(|f| after.iter().all(|a| a.0 != f.0)) {
                left.insert(0, old.clone());
            }
            lay(&again, &left);
            assert_eq!(open(&again).expect("it opens").1, model);
        }
    }
    assert!(lost.is_some(), "something was freed");
    assert!(s.used_bytes() < 2 << 20, "{}", s.used_bytes());
    assert_eq!(open(&dir).expect("it opens").1, model);
}

#[test]
fn a_missing_middle_is_refused() {
    let dir = folder("gap");
    let (mut s, _) = open(&dir).expect("an empty folder");
    for n in 0..12u64 {
        s.commit(&[Op::Put(key(b'l', 1, n), vec![0; 100 << 10].into())]).expect("written");
    }
    let all = files(&dir);
    assert!(all.len() > 2);
    let mut holed = all.clone();
    let at = holed[1].1.len() / 2;
    holed[1].1[at] ^= 0xff;
    lay(&dir, &holed);
    let why = open(&dir).err().expect("refused");
    assert!(why.contains("missing"), "{why}");
}

#[test]
fn a_refused_write_counts_once_it_is_taken() {
    let (dir, away) = (folder("refused"), folder("refused-away"));
    std::fs::remove_dir(&away).expect("removed");
    let (mut s, _) = open(&dir).expect("an empty folder");
    let mut model = Pairs::new();
    for n in 0..9u64 {
        let ops = vec![Op::Put(key(b'l', 1, n), vec![n as u8; 100 << 10].into())];
        // Where a new segment is due, the disk refuses it for a while.
        std::fs::rename(&dir, &away).expect("moved");
        let refused = s.commit(&ops).is_err();
        std::fs::rename(&away, &dir).expect("moved back");
        if refused {
            assert_eq!(open_copy(&dir).expect("it opens"), model, "nothing of it counts yet");
            s.commit(&ops).expect("taken now");
        }
        apply(&mut model, &ops);
        assert_eq!(open_copy(&dir).expect("it opens"), model);
    }
    assert!(files(&dir).len() > 2, "segments were begun");
}

/// What a process would find that started now.
fn open_copy(dir: &Path) -> Result<Pairs, String> {
    let copy = folder("copy");
    lay(&copy, &files(dir));
    Ok(open(&copy)?.1)
}

#[test]
fn a_rewrite_that_failed_comes_before_anything_else_and_loses_nothing() {
    let dir = folder("redo");
    let (mut s, _) = open(&dir).expect("a store");
    let kept = key(b'k', 1, 1);
    let mut model = Pairs::new();
    let mut put = |s: &mut SegmentLog, k: Key, v: Vec<u8>| {
        s.commit(&[Op::Put(k, v.clone().into())]).expect("written");
        model.insert(k, v);
    };
    put(&mut s, kept, vec![7; 90]);
    let newest = |dir: &Path| files(dir).last().map(|(p, d)| (p.clone(), d.len())).expect("a segment");
    let mut n = 0u8;
    // Old segments full of what was written over, and the newest one full as well.
    while s.used_bytes() < 1 << 20 || newest(&dir).1 < 256 << 10 {
        put(&mut s, key(b'x', 1, 1), vec![n; 50_000]);
        n = n.wrapping_add(1);
    }
    // The next segment cannot be begun.
    let name = newest(&dir).0;
    let id: u64 = name.file_stem().and_then(|n| n.to_str()).and_then(|n| n.parse().ok()).expect("a number");
    let blocked = dir.join(format!("{:010}.log", id + 1));
    std::fs::create_dir(&blocked).expect("a folder");
    assert!(s.compact().is_err(), "there was something to free");
    assert!(s.commit(&[Op::Put(key(b'y', 1, 1), vec![1].into())]).is_err(), "nothing counts before it");
    std::fs::remove_dir(&blocked).expect("removed");
    put(&mut s, key(b'y', 1, 1), vec![2]);
    s.compact().expect("freed");
    drop(s);
    let (_, read) = open(&dir).expect("whole");
    assert_eq!(read, model);
    let _ = std::fs::remove_dir_all(&dir);
}
