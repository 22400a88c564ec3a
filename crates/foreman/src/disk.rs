//! What a foreman keeps on its disk: the vote record, the snapshot, the log.

use crate::rack::Rack;
use crate::vise::*;
use bytes::Bytes;
use dovetail::msg::ViseEntry;
use drawer::{Drawer, Op};
use gauge::Caliper;
use prost::Message;
use tokio::sync::oneshot;

pub(crate) fn key(kind: u8, index: u64) -> drawer::Key {
    drawer::key(kind, 0, index)
}

/// What was found on the disk.
pub struct Kept {
    pub hard: HardState,
    /// The snapshot as of `hard.base`, as it was written.
    pub state: Bytes,
    /// The entries behind it, without a gap.
    pub log: Vec<ViseEntry>,
    /// The snapshot, read.
    pub rack: Rack,
    /// Nothing was there.
    pub fresh: bool,
}

/// Opens the disk and reads what it holds. Records that contradict each other are
/// never made the best of: the error says what is wrong and what to do.
pub(crate) fn load(caliper: &Caliper) -> Result<(Drawer, Kept), String> {
    let (mut hard, mut state, mut log) = (None::<HardState>, Bytes::new(), Vec::new());
    let mut broken = None;
    let drawer =
        Drawer::open(&caliper.data_dir, caliper.limits.disk_mb, caliper.limits.memory_mb, |k, v| match k[0] {
            b'h' => match HardState::decode(v) {
                Ok(h) => hard = Some(h),
                Err(e) => broken = Some(format!("the vote record: {e}")),
            },
            b'b' => state = Bytes::copy_from_slice(v),
            b'e' => match ViseEntry::decode(v) {
                Ok(e) => log.push(e),
                Err(e) => broken = Some(format!("a log entry: {e}")),
            },
            _ => {}
        })?;
    let advice = |what: String| format!("{}: {what}; empty this disk and the others will fill it", caliper.data_dir);
    if let Some(b) = broken {
        return Err(advice(b));
    }
    let fresh = hard.is_none();
    if fresh && (!log.is_empty() || !state.is_empty()) {
        return Err(advice("the vote record is missing".into()));
    }
    // Only the first start of all takes the voters from the seeds; any later
    // newcomer is told them by the log.
    let hard = hard.unwrap_or_else(|| HardState {
        voters: if caliper.initial_start { caliper.seed_foremen() } else { Vec::new() },
        may_vote: caliper.initial_start,
        ..HardState::default()
    });
    Kept::check(hard, state, log, fresh).map(|kept| (drawer, kept)).map_err(advice)
}

impl Kept {
    /// Whether the records agree with each other. Entries come in any order.
    pub fn check(hard: HardState, state: Bytes, mut log: Vec<ViseEntry>, fresh: bool) -> Result<Kept, String> {
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
            return Err(format!("the log has term {term}, the vote record only {}", hard.term));
        }
        if hard.base > 0 && hard.voters.is_empty() {
            return Err(format!("no voters as of entry {}", hard.base));
        }
        let mut rack = match (hard.base, Rack::decode(state.clone())) {
            (0, _) => Rack::default(),
            (_, Ok(r)) if !state.is_empty() => r,
            (at, _) => return Err(format!("the state as of entry {at} cannot be read")),
        };
        // A state that does not say through which entry it is comes from an earlier release.
        if rack.applied != 0 && rack.applied != hard.base {
            return Err(format!("the state is as of entry {}, the vote record says {}", rack.applied, hard.base));
        }
        rack.applied = hard.base;
        Ok(Kept { hard, state, log, rack, fresh })
    }
}

pub(crate) async fn save(drawer: &Drawer, s: Save) {
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
    drawer.write(ops, move || {
        let _ = tx.send(());
    });
    let _ = rx.await;
}
