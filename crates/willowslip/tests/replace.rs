//! A store machine is replaced by a planned procedure, and another store is lost right after.

mod common;
use common::*;

#[test]
fn replaced_store_hands_over_its_replicas_before_it_exits() {
    let mut cluster = TestCluster::new();
    for m in 2..5 {
        cluster.start("control", m, true);
    }
    for m in 5..8 {
        cluster.start("store", m, true);
    }
    wait_until("full replication", || cluster.is_fully_replicated());
    // The new store is started before the old one is terminated.
    cluster.start("store", 8, false);
    let is_listed = || cluster.ctl(&["status"]).is_some_and(|status| status["nodes"].to_string().contains("store-8"));
    wait_until("the new store is listed", is_listed);
    std::thread::sleep(std::time::Duration::from_millis(500));
    cluster.stop("store-5", "-TERM");
    let log = cluster.log("store-5");
    assert!(log.contains("left after") && !log.contains("ends with"), "{log}");
    let status = cluster.ctl(&["status"]).expect("status");
    for p in status["partitions"].as_array().expect("partitions") {
        let in_sync: Vec<&str> = p["inSync"].as_array().expect("inSync").iter().filter_map(|n| n.as_str()).collect();
        assert!(in_sync.len() == 2 && !in_sync.contains(&"store-5"), "{p}");
    }
    // Hence a second store may be lost: each partition still has an owner with its data.
    cluster.stop("store-6", "-KILL");
    wait_until("partitions owned by the remaining stores", || {
        let Some(status) = cluster.ctl(&["status"]) else { return false };
        status["partitions"]
            .as_array()
            .is_some_and(|ps| ps.iter().all(|p| ["store-7", "store-8"].contains(&p["owner"].as_str().unwrap_or(""))))
    });
}
