//! Stores the last membership received from a leader. The next process uses it until it receives
//! one itself.

use super::*;
use crate::takeover::stored_form;

impl StoreService {
    /// Stores each new membership, at most once every eighth of `quietMs`. After a power loss of
    /// the whole cluster, replicas, delivery nodes and processors are reachable with it long
    /// before the new leader can send the next one.
    pub(super) async fn store_membership(self: Arc<Self>) {
        let pause = Duration::from_millis(self.quiet_fraction_ms(8.0));
        let mut views = self.session.subscribe();
        let mut stored = 0;
        loop {
            let update = views.wait_for(|view| view.membership.version > stored).await;
            let Ok(membership) = update.map(|view| view.membership.clone()) else { return };
            stored = membership.version;
            let record = stored_form(&membership).encode_to_vec();
            self.wal.write(vec![Op::Put(key(b'r', 0, 0), record.into())], || ());
            tokio::time::sleep(pause).await;
        }
    }
}
