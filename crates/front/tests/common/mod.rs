//! Fixtures shared by the front's tests.

use agent::ClusterView;
use rpc::messages::*;

/// A view with six partitions. Their owners, `s1` in zone `x` and `s2` in zone `y`, share one address.
pub fn view(address: &str, config: &str) -> ClusterView {
    let node = |name: &str, zone: &str| Node {
        name: name.into(),
        role: "store".into(),
        zone: zone.into(),
        inner: address.into(),
        ..Node::default()
    };
    let partitions = (0..6).map(|id| Partition {
        id,
        term: 1,
        owner: if id % 2 == 0 { "s1" } else { "s2" }.into(),
        ..Partition::default()
    });
    let mut view = ClusterView::default();
    view.take(&ViewUpdate {
        configuration: Some(config.to_owned().into()),
        assignments: Some(Assignments { version: 1, partitions: partitions.collect(), ..Assignments::default() }),
        membership: Some(Membership {
            version: 1,
            nodes: vec![node("s1", "x"), node("s2", "y")],
            ..Membership::default()
        }),
        ..ViewUpdate::default()
    });
    view
}
