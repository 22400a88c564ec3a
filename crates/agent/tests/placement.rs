//! Selection of the partition for messages that are restricted to regions.

use agent::*;
use config::{Configuration, ConfigurationIndex};
use rpc::messages::{Assignments, Membership, Node, Partition};
use std::collections::BTreeSet;
use std::sync::Arc;

const CONFIGURATION: &str = r#"{"revision": 1, "channels": [
  {"name": "free", "host": "h", "prefix": "/f/", "mode": "deferred", "cutoffMs": 100, "plant": "p", "domains": null},
  {"name": "bound", "host": "h", "prefix": "/b/", "mode": "deferred", "cutoffMs": 100, "plant": "p", "domains": ["r1", "r2"]},
  {"name": "keyed", "host": "h", "prefix": "/k/", "mode": "deferred", "cutoffMs": 100, "plant": "p", "sequenced": true, "domains": ["r1"]},
  {"name": "slow", "host": "h", "prefix": "/s/", "mode": "deferred", "cutoffMs": 100, "plant": "m", "domains": ["r1"]},
  {"name": "slow-too", "host": "h", "prefix": "/t/", "mode": "deferred", "cutoffMs": 100, "plant": "m"}],
  "plants": [{"name": "p"}, {"name": "m", "flowPerS": 9}], "limits": {},
  "tenants": [{"name": "t1", "keys": ["k1"], "domains": ["r1"]}, {"name": "t3", "keys": ["k3"], "domains": ["r3"]}]}"#;

/// Four partitions without a home region and two in each of three regions, each with a different owner.
fn view() -> ClusterView {
    let partition = |id: u32, home: &str| Partition {
        id,
        owner: format!("store-{id}"),
        home: home.to_owned(),
        ..Partition::default()
    };
    let homes = ["", "", "", "", "r1", "r1", "r2", "r2", "r3", "r3"];
    let partitions: Vec<Partition> = homes.iter().zip(0..).map(|(home, id)| partition(id, home)).collect();
    let mut nodes: Vec<Node> = partitions
        .iter()
        .map(|p| Node { name: p.owner.clone(), role: "store".into(), zone: format!("z{}", p.id), ..Node::default() })
        .collect();
    nodes.sort_by(|a, b| a.name.cmp(&b.name));
    let mut view = ClusterView::default();
    view.assignments = Arc::new(Assignments { partitions, version: 1, ..Assignments::default() });
    view.membership = Arc::new(Membership { nodes, version: 1, ..Membership::default() });
    view.configuration = Arc::new(configuration());
    view
}

fn configuration() -> ConfigurationIndex {
    Configuration::read(CONFIGURATION.as_bytes()).expect("a configuration").into()
}

/// The partitions selected for messages of a route and a tenant, over many ids and order keys.
fn partitions(view: &ClusterView, route: &str, tenant: &str, zone: &str) -> BTreeSet<u32> {
    let route = view.configuration.route_named(route).expect("a route");
    let place = |n: u32| {
        let (id, order) = (format!("id-{n}"), format!("order-{n}"));
        let keys = PlacementKeys { tenant, order_key: &order, id: &id, ..PlacementKeys::default() };
        partition_of(view, &view.configuration, route, &keys, zone)
    };
    (0..200).filter_map(place).collect()
}

#[test]
fn restricted_messages_are_placed_in_their_homes_and_others_in_unrestricted_partitions() {
    let view = view();
    assert_eq!(partitions(&view, "free", "", "elsewhere"), BTreeSet::from([0, 1, 2, 3]));
    assert_eq!(partitions(&view, "bound", "", "elsewhere"), BTreeSet::from([4, 5, 6, 7]));
    assert_eq!(partitions(&view, "bound", "", "z6"), BTreeSet::from([6]), "near the client, if its region is a home");
    assert_eq!(
        partitions(&view, "bound", "", "z8"),
        BTreeSet::from([4, 5, 6, 7]),
        "even if the owner of another partition is near"
    );
    assert_eq!(partitions(&view, "keyed", "", "z6"), BTreeSet::from([4, 5]));
}

#[test]
fn homes_of_route_and_tenant_are_intersected() {
    let view = view();
    assert_eq!(partitions(&view, "bound", "t1", "z6"), BTreeSet::from([4, 5]));
    assert_eq!(partitions(&view, "free", "t3", "z6"), BTreeSet::from([8, 9]));
    assert_eq!(partitions(&view, "bound", "t3", "z6"), BTreeSet::new(), "no region is allowed by both");
}

#[test]
fn an_order_key_keeps_its_partition_while_its_homes_are_unchanged() {
    let mut view = view();
    let route = view.configuration.route_named("keyed").expect("a route").clone();
    let keys = PlacementKeys { order_key: "k", id: "a", ..PlacementKeys::default() };
    let before = partition_of(&view, &view.configuration, &route, &keys, "z4");
    let assignments = Arc::make_mut(&mut view.assignments);
    assignments.partitions.push(Partition { id: 10, home: "r4".into(), ..Partition::default() });
    assignments.partitions[4].owner = "store-9".into();
    assert_eq!(partition_of(&view, &view.configuration, &route, &keys, "z9"), before);
}

#[test]
fn metered_partitions_are_all_partitions_that_may_store_messages_for_the_service() {
    let view = view();
    let partitions = metered_partitions(&view, &view.configuration, "m", false);
    let mut expected = BTreeSet::new();
    for route in ["slow", "slow-too"] {
        for tenant in ["", "t1", "t3"] {
            let route = view.configuration.route_named(route).expect("a route");
            let keys = PlacementKeys { tenant, id: "a", ..PlacementKeys::default() };
            expected.extend(partition_of(&view, &view.configuration, route, &keys, ""));
        }
    }
    assert_eq!(partitions, expected);
    assert!(partitions.len() > 1);
}
