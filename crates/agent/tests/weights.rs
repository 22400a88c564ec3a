//! Selection of service and partition on a route that services share by weights.

use agent::*;
use config::{Configuration, ConfigurationIndex, Route};
use rpc::messages::{Assignments, OperationId, Partition};
use std::collections::BTreeMap;
use std::sync::Arc;

const CONFIGURATION: &str = r#"{"revision": 1, "channels": [
  {"name": "shared", "host": "h", "prefix": "/s/", "mode": "deferred", "cutoffMs": 100, "startSetpointMs": 50,
   "mix": [{"plant": "p", "gain": 3}, {"plant": "metered", "gain": 1}]},
  {"name": "own", "host": "h", "prefix": "/o/", "mode": "deferred", "cutoffMs": 100, "startSetpointMs": 90, "plant": "p"}],
  "plants": [{"name": "p"}, {"name": "metered", "flowPerS": 9}], "limits": {}}"#;

fn view() -> ClusterView {
    let partitions = (0..8).map(|id| Partition { id, ..Partition::default() }).collect();
    let mut view = ClusterView::default();
    view.assignments = Arc::new(Assignments { partitions, version: 1, ..Assignments::default() });
    view.configuration = Arc::new(Configuration::read(CONFIGURATION.as_bytes()).expect("a configuration").into());
    view
}

fn shared(configuration: &ConfigurationIndex) -> &Route {
    configuration.route_named("shared").expect("a route")
}

#[test]
fn message_ids_select_services_by_weight_and_deterministically() {
    let view = view();
    let route = shared(&view.configuration);
    let mut counts: BTreeMap<&str, u32> = BTreeMap::new();
    for number in 0..4000 {
        let id = format!("id-{number}");
        *counts.entry(service_of(route, &id)).or_default() += 1;
        assert_eq!(service_of(route, &id), service_of(&route.clone(), &id));
    }
    assert!((2850..3150).contains(&counts["p"]) && counts["p"] + counts["metered"] == 4000, "{counts:?}");
    let own = view.configuration.route_named("own").expect("a route");
    assert_eq!(service_of(own, "any"), "p");
}

#[test]
fn message_routes_include_shared_routes() {
    let view = view();
    let names = |service| -> Vec<&str> {
        view.configuration.message_routes(service).map(|route| route.name.as_str()).collect()
    };
    assert_eq!(names("p"), ["shared", "own"]);
    assert_eq!(names("metered"), ["shared"]);
    assert_eq!(names(""), Vec::<&str>::new());
    assert_eq!(view.configuration.target_start_ms("metered"), 50.0);
    assert!(view.configuration.has_metered_service(shared(&view.configuration)));
}

#[test]
fn metered_partitions_are_those_that_messages_of_the_service_are_placed_in() {
    let view = view();
    let route = shared(&view.configuration);
    let place = |id: &str, operation| {
        let keys = PlacementKeys { id, operation, ..PlacementKeys::default() };
        partition_of(&view, &view.configuration, route, &keys, "z")
    };
    let metered = metered_partitions(&view, &view.configuration, "metered", false);
    assert_eq!(metered.len(), 1);
    for number in 0..200 {
        let id = format!("id-{number}");
        let partition = place(&id, None).expect("a partition");
        assert!(service_of(route, &id) != "metered" || metered.contains(&partition));
    }
    // Attempts at one operation differ in id and so in service, but share a partition.
    let operation = Some(OperationId { high: 7, low: 7 });
    let partitions: std::collections::BTreeSet<_> = (0..50).map(|n| place(&format!("try-{n}"), operation)).collect();
    assert_eq!(partitions.len(), 1);
}
