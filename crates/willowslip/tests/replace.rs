//! A store machine is replaced as planned, and another one is lost right after.

mod common;
use common::*;

#[test]
fn a_store_machine_that_is_replaced_hands_its_copies_on_before_it_ends() {
    let mut s = System::new();
    for m in 2..5 {
        s.start("control", m, true);
    }
    for m in 5..8 {
        s.start("store", m, true);
    }
    until("whole", || s.whole());
    // The new one first; then the old one is told to end.
    s.start("store", 8, false);
    let idle = || s.ctl(&["status"]).is_some_and(|st| st["nodes"].to_string().contains("store-8"));
    until("the new one is known", idle);
    std::thread::sleep(std::time::Duration::from_millis(500));
    s.end("store-5", "-TERM");
    let log = s.log("store-5");
    assert!(log.contains("left after") && !log.contains("ends with"), "{log}");
    let st = s.ctl(&["status"]).expect("a status");
    for p in st["partitions"].as_array().expect("partitions") {
        let in_sync: Vec<&str> = p["inSync"].as_array().expect("a set").iter().filter_map(|n| n.as_str()).collect();
        assert!(in_sync.len() == 2 && !in_sync.contains(&"store-5"), "{p}");
    }
    // So a second one may go: everything has an owner that holds it.
    s.end("store-6", "-KILL");
    until("owned by what is left", || {
        let Some(st) = s.ctl(&["status"]) else { return false };
        st["partitions"]
            .as_array()
            .is_some_and(|ps| ps.iter().all(|p| ["store-7", "store-8"].contains(&p["owner"].as_str().unwrap_or(""))))
    });
}
