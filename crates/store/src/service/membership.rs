//! The stored membership: what a leader told last, for the time between the next start
//! of this process and the word of the leader of then.

use super::*;
use crate::takeover::stored_form;

impl StoreService {
    /// Stores each membership that a leader tells, at most every eighth of `quietMs`: after
    /// a loss of all power replicas, delivery nodes and processors are reached by it long
    /// before the new leader can tell the next one.
    pub(super) async fn store_membership(self: Arc<Self>) {
        let pause = Duration::from_millis(self.ratio(8.0));
        let mut views = self.session.subscribe();
        let mut stored = 0;
        loop {
            let told = views.wait_for(|view| view.membership.version > stored).await;
            let Ok(membership) = told.map(|view| view.membership.clone()) else { return };
            stored = membership.version;
            let record = stored_form(&membership).encode_to_vec();
            self.wal.write(vec![Op::Put(key(b'r', 0, 0), record.into())], || ());
            tokio::time::sleep(pause).await;
        }
    }
}
