//! What a foreman keeps on its disk: the vote record, the snapshot, the log.

use crate::vise::*;
use drawer::{Drawer, Op};
use prost::Message;
use tokio::sync::oneshot;

pub(crate) fn key(kind: u8, index: u64) -> drawer::Key {
    drawer::key(kind, 0, index)
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
