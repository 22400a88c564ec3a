//! Durable state of a control node: the vote record, the snapshot and the log.

use crate::state::ControlState;
use bytes::Bytes;
use config::Settings;
use prost::Message;
use raft::*;
use rpc::messages::RaftEntry;
use tokio::sync::oneshot;
use wal::{Op, Wal};

pub(crate) fn key(kind: u8, index: u64) -> wal::Key {
    wal::key(kind, 0, index)
}

/// What was read from the disk at the start.
pub struct StoredState {
    pub hard: HardState,
    /// The encoded snapshot as of entry `hard.base`.
    pub state: Bytes,
    /// The entries after the snapshot, without a gap.
    pub log: Vec<RaftEntry>,
    /// The decoded snapshot.
    pub control_state: ControlState,
    /// The disk held no vote record.
    pub fresh: bool,
}

/// Opens the disk and reads its records. Records that contradict each other are never
/// repaired or partly used: the error says what is wrong and what to do.
pub(crate) fn load(settings: &Settings) -> Result<(Wal, StoredState), String> {
    let (mut hard, mut state, mut log) = (None::<HardState>, Bytes::new(), Vec::new());
    let mut decode_error = None;
    let wal = Wal::open(&settings.data_dir, settings.limits.disk_mb, settings.limits.memory_mb, |k, v| match k[0] {
        b'h' => match HardState::decode(v) {
            Ok(h) => hard = Some(h),
            Err(e) => decode_error = Some(format!("the vote record: {e}")),
        },
        b'b' => state = Bytes::copy_from_slice(v),
        b'e' => match RaftEntry::decode(v) {
            Ok(e) => log.push(e),
            Err(e) => decode_error = Some(format!("a log entry: {e}")),
        },
        _ => {}
    })?;
    let with_remedy =
        |what: String| format!("{}: {what}; empty this disk and the others will fill it", settings.data_dir);
    if let Some(e) = decode_error {
        return Err(with_remedy(e));
    }
    let fresh = hard.is_none();
    if fresh && (!log.is_empty() || !state.is_empty()) {
        return Err(with_remedy("the vote record is missing".into()));
    }
    // Only the initial start of the cluster takes the voters from the seeds; a control node
    // that joins later learns them from the log.
    let hard = hard.unwrap_or_else(|| HardState {
        voters: if settings.initial_start { settings.seed_control_nodes() } else { Vec::new() },
        may_vote: settings.initial_start,
        ..HardState::default()
    });
    StoredState::check(hard, state, log, fresh).map(|stored| (wal, stored)).map_err(with_remedy)
}

impl StoredState {
    /// Checks that the records agree with each other. `log` may be in any order.
    pub fn check(hard: HardState, state: Bytes, mut log: Vec<RaftEntry>, fresh: bool) -> Result<StoredState, String> {
        log.retain(|e| e.index > hard.base);
        log.sort_by_key(|e| e.index);
        let mut term = hard.base_term;
        for (i, e) in log.iter().enumerate() {
            let index = hard.base + 1 + i as u64;
            if e.index != index {
                return Err(format!("entry {index} is missing from the log"));
            }
            if e.term < term {
                return Err(format!("entry {index} is of term {}, the one before of term {term}", e.term));
            }
            term = e.term;
        }
        if term > hard.term {
            return Err(format!("the log has term {term}, but the vote record has term {}", hard.term));
        }
        if hard.base > 0 && hard.voters.is_empty() {
            return Err(format!("no voters as of entry {}", hard.base));
        }
        let mut control_state = match (hard.base, ControlState::decode(state.clone())) {
            (0, _) => ControlState::default(),
            (_, Ok(decoded)) if !state.is_empty() => decoded,
            (base, _) => return Err(format!("the state as of entry {base} cannot be read")),
        };
        // Earlier releases wrote snapshots without the index of the last applied entry.
        if control_state.applied != 0 && control_state.applied != hard.base {
            return Err(format!(
                "the state is as of entry {}, but the vote record says {}",
                control_state.applied, hard.base
            ));
        }
        control_state.applied = hard.base;
        Ok(StoredState { hard, state, log, control_state, fresh })
    }
}

/// Writes the changes in one batch and waits until they are durable.
pub(crate) async fn save(wal: &Wal, s: Save) {
    let mut ops = Vec::new();
    if let Some((a, b)) = s.del {
        ops.push(Op::DelRange(key(b'e', a), key(b'e', b)));
    }
    if let Some(h) = &s.hard {
        ops.push(Op::Put(key(b'h', 0), h.encode_to_vec().into()));
    }
    if let Some(b) = s.state {
        ops.push(Op::Put(key(b'b', 0), b));
    }
    ops.extend(s.put.iter().map(|e| Op::Put(key(b'e', e.index), e.encode_to_vec().into())));
    let (tx, rx) = oneshot::channel();
    wal.write(ops, move || {
        let _ = tx.send(());
    });
    let _ = rx.await;
}
