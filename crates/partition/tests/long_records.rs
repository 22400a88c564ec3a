//! Tests of records longer than `FRAME_LIMIT`, and of followers that acknowledge nothing.

mod common;

use bytes::Bytes;
use common::*;
use partition::*;
use prost::Message;
use rpc::messages::*;

/// The longest record that a node of this build receives in these tests.
const RECORD_LIMIT: usize = 5 << 20;

/// Node `a` owns the partition, `b` follows in sync, and `c` is at hand as a replacement.
fn cluster() -> Cluster {
    let mut cluster = Cluster::new(&["a", "b"]);
    for node in cluster.nodes.values_mut() {
        node.incarnation = 1;
        node.max_record_bytes = RECORD_LIMIT;
    }
    cluster.append_message("first").expect("written");
    cluster.advance(1000);
    cluster
}

fn accept_of(id: &str, body_bytes: usize) -> Entry {
    let item = Item { id: id.into(), route: "r".into(), body: vec![1; body_bytes].into(), ..Item::default() };
    Entry::Accept(AcceptRecord { item, delay_ms: 0, generations: None })
}

/// Restarts all nodes and makes `a` the owner again, at a new term.
fn restart_all(cluster: &mut Cluster) {
    for node in ["a", "b", "c"] {
        cluster.crash(node);
        let replica = cluster.nodes.get_mut(node).expect("a node");
        (replica.incarnation, replica.max_record_bytes) = (1, RECORD_LIMIT);
    }
    cluster.assignment.term += 1;
    cluster.assignment.joined = ["a", "b"].map(|node| Joined { node: node.into(), incarnation: 1 }).into();
    cluster.send_assignment();
    cluster.run_until_idle();
}

/// Adds an uncommitted record to the log on the disk of `a`, as a build does that does not check the length.
fn put_long_record_on_disk(cluster: &mut Cluster, id: &str) -> u64 {
    let record = Record { at_ms: cluster.now, entry: Some(accept_of(id, rpc::FRAME_LIMIT)) };
    let position = cluster.nodes["a"].end() + 1;
    let entry = LogEntry { term: cluster.assignment.term, record: record.encode_to_vec().into() };
    cluster.disks.get_mut("a").expect("a disk").log.insert(position, entry);
    position
}

/// Regression test: a record that fits no frame to the follower stopped all commits of its partition.
#[test]
fn a_record_of_any_length_up_to_the_limit_is_committed() {
    let mut cluster = cluster();
    for bytes in [rpc::FRAME_LIMIT - 64, rpc::FRAME_LIMIT, rpc::FRAME_LIMIT + 64, RECORD_LIMIT - 64] {
        let id = format!("long{bytes}");
        let position = cluster.append(accept_of(&id, bytes)).expect("written");
        cluster.append_message(&format!("behind{bytes}")).expect("written");
        assert!(cluster.nodes["a"].commit > position, "{bytes}");
        assert!(cluster.has_message("b", &id), "{bytes}");
    }
}

/// Regression test: a record that waited kept the whole frame that it came in, up to 512 kB.
#[test]
fn a_follower_keeps_a_record_and_not_its_frame() {
    let mut cluster = cluster();
    let record: Bytes = Record { at_ms: 1, entry: Some(accept_of("m", 100)) }.encode_to_vec().into();
    let frame: Bytes = [vec![0; 300_000], record.to_vec()].concat().into();
    let received = LogEntry { term: 1, record: frame.slice(300_000..) };
    let replica = &cluster.nodes["b"];
    let message = Entries {
        term: 1,
        owner: "a".into(),
        prev: replica.end(),
        prev_term: 1,
        entries: vec![received],
        ..Entries::default()
    };
    let mut effects = Vec::new();
    cluster.nodes.get_mut("b").expect("a node").handle_entries(message, 2000, &mut effects);
    let kept = effects.into_iter().find_map(|effect| match effect {
        Effect::Persist { put, .. } => put.into_iter().next(),
        _ => None,
    });
    let (_, kept) = kept.expect("the record is written");
    assert_eq!(kept.record, record);
    assert!(!frame.as_ptr_range().contains(&kept.record.as_ptr()));
}

/// Regression test: while the disk of a new follower was slow, its owner sent one snapshot after the other, and each stayed in
/// memory until it was written.
#[test]
fn a_follower_holds_one_snapshot_until_it_is_on_disk() {
    let mut cluster = cluster();
    cluster.append(accept_of("long", 100_000)).expect("written");
    let owner = &cluster.nodes["a"];
    let data = owner.state.encode_snapshot().concat();
    let chunk = |position| Chunk {
        term: owner.term,
        owner: "a".into(),
        position,
        position_term: owner.term,
        last: true,
        data: data.clone(),
        ..Chunk::default()
    };
    let position = owner.state.position;
    let chunks = [chunk(position), chunk(position + 1), chunk(position + 2)];
    let follower = cluster.nodes.get_mut("c").expect("a node");
    let snapshots_of = |follower: &mut PartitionReplica, chunk: &Chunk| {
        let mut effects = Vec::new();
        follower.handle_chunk(chunk.clone(), 2000, &mut effects);
        effects.iter().filter(|effect| matches!(effect, Effect::Persist { snapshot: Some(_), .. })).count()
    };
    assert_eq!(snapshots_of(follower, &chunks[0]), 1);
    assert_eq!(snapshots_of(follower, &chunks[1]), 0, "the first one is not on disk yet");
    follower.handle_synced(follower.term, position, 2100, &mut Vec::new());
    assert_eq!(snapshots_of(follower, &chunks[2]), 1);
}

#[test]
fn owners_learn_that_a_follower_has_no_room() {
    let mut cluster = cluster();
    assert_eq!(cluster.nodes["a"].full_replicas(cluster.now).count(), 0);
    cluster.nodes.get_mut("b").expect("a node").is_node_full = true;
    cluster.append_message("second").expect("written");
    assert_eq!(cluster.nodes["a"].full_replicas(cluster.now).collect::<Vec<_>>(), ["b"]);
    // An idle partition hears nothing more: the statement ends, or no message would ever be accepted again.
    assert_eq!(cluster.nodes["a"].full_replicas(cluster.now + 5 * TIMING.resend_ms).count(), 0);
    cluster.nodes.get_mut("b").expect("a node").is_node_full = false;
    cluster.append_message("third").expect("written");
    assert_eq!(cluster.nodes["a"].full_replicas(cluster.now).count(), 0);
}

#[test]
fn unapplied_bytes_are_those_behind_the_state() {
    let mut cluster = cluster();
    assert_eq!(cluster.nodes["a"].unapplied_bytes(), 0);
    cluster.sync_blocked.insert("b".into());
    cluster.append(accept_of("long", 10_000)).expect("written");
    cluster.append(accept_of("longer", 20_000)).expect("written");
    let waiting = cluster.nodes["a"].unapplied_bytes();
    assert!((30_000..31_000).contains(&waiting), "{waiting}");
    cluster.sync_blocked.clear();
    cluster.advance(100);
    assert_eq!((cluster.nodes["a"].unapplied_bytes(), cluster.nodes["b"].unapplied_bytes()), (0, 0));
}

#[test]
fn a_record_longer_than_a_replica_receives_is_refused_and_later_ones_are_committed() {
    let mut cluster = cluster();
    assert_eq!(cluster.append(accept_of("longest", RECORD_LIMIT)), None);
    let fit = cluster.nodes["a"].fit(RECORD_LIMIT + 1);
    assert_eq!(fit, RecordFit::TooLong { limit: RECORD_LIMIT });
    // The follower has less memory.
    cluster.nodes.get_mut("b").expect("a node").max_record_bytes = RECORD_LIMIT - 4096;
    cluster.append_message("second").expect("written");
    assert_eq!(cluster.nodes["a"].fit(RECORD_LIMIT), RecordFit::TooLong { limit: RECORD_LIMIT - 4096 });
    let position = cluster.append_message("third").expect("written");
    assert!(cluster.nodes["a"].commit >= position);
}

#[test]
fn nothing_long_is_appended_while_an_in_sync_replica_states_no_limit() {
    let mut cluster = cluster();
    cluster.old_builds.insert("b".into());
    cluster.append_message("second").expect("written");
    assert_eq!(cluster.nodes["a"].fit(rpc::FRAME_LIMIT), RecordFit::Unknown);
    assert_eq!(cluster.append(accept_of("long", rpc::FRAME_LIMIT)), None);
    let position = cluster.append_message("third").expect("written");
    assert!(cluster.nodes["a"].commit >= position);
    // Its machine gets the new build.
    cluster.old_builds.clear();
    cluster.append_message("fourth").expect("written");
    assert!(cluster.append(accept_of("long", rpc::FRAME_LIMIT)).is_some());
    cluster.advance(100);
    assert!(cluster.has_message("b", "long"));
}

#[test]
fn an_uncommitted_long_record_of_an_older_build_is_committed_after_the_upgrade() {
    let mut cluster = cluster();
    let position = put_long_record_on_disk(&mut cluster, "long");
    restart_all(&mut cluster);
    let next = cluster.append_message("next").expect("written");
    cluster.advance(500);
    assert!(cluster.nodes["a"].commit >= next && next > position);
    assert!(cluster.has_message("b", "long") && cluster.has_message("b", "next"));
}

#[test]
fn a_replica_that_cannot_receive_a_record_is_named_with_the_reason_and_replaced() {
    let mut cluster = cluster();
    let position = put_long_record_on_disk(&mut cluster, "long");
    cluster.old_builds.insert("b".into());
    cluster.orders_blocked = true;
    restart_all(&mut cluster);
    let next = cluster.append_message("next").expect("written");
    cluster.advance(5000);
    assert!(cluster.nodes["a"].commit < position);
    let stalled = cluster.nodes["a"].stalled_replicas(cluster.now);
    assert_eq!(stalled.iter().map(|s| (s.node.as_str(), s.position)).collect::<Vec<_>>(), [("b", position)]);
    assert!(matches!(stalled[0].reason, StallReason::RecordTooLong { bytes, limit } if bytes > limit));
    cluster.orders_blocked = false;
    for _ in 0..40 {
        cluster.advance(50);
        cluster.send_assignment();
        cluster.run_until_idle();
    }
    assert_eq!(cluster.assignment.in_sync, ["a", "c"]);
    assert!(cluster.nodes["a"].commit >= next && cluster.has_message("c", "long"));
    assert_eq!(cluster.nodes["a"].stalled_replicas(cluster.now), []);
}

#[test]
fn an_older_replica_outside_the_in_sync_set_gets_a_long_record_in_a_snapshot() {
    let mut cluster = cluster();
    cluster.append(accept_of("long", rpc::FRAME_LIMIT)).expect("written");
    cluster.old_builds.insert("c".into());
    cluster.assignment.replicas.push("c".into());
    cluster.send_assignment();
    cluster.advance(3000);
    assert!(cluster.has_message("c", "long"));
    assert_eq!(cluster.assignment.in_sync, ["a", "b", "c"]);
}

/// Regression test: a follower that answered without ever acknowledging an entry stayed in the in-sync set for good.
#[test]
fn a_follower_that_answers_without_progress_is_replaced() {
    let mut cluster = cluster();
    cluster.sync_blocked.insert("b".into());
    let position = cluster.append_message("second").expect("written");
    cluster.advance(3500);
    assert!(cluster.replace_requests.is_empty(), "it may still write");
    let mut least = usize::MAX;
    for _ in 0..60 {
        cluster.advance(50);
        cluster.send_assignment();
        cluster.run_until_idle();
        least = least.min(cluster.assignment.in_sync.len());
    }
    assert_eq!(cluster.replace_requests, ["b"]);
    assert_eq!((cluster.assignment.in_sync.clone(), least), (vec!["a".to_owned(), "c".to_owned()], 2));
    assert!(cluster.nodes["a"].commit >= position && cluster.nodes["c"].durable >= position);
}

#[test]
fn a_follower_that_was_never_heard_in_a_term_is_replaced() {
    let mut cluster = cluster();
    cluster.disconnected.insert("b".into());
    restart_all(&mut cluster);
    let position = cluster.append_message("second").expect("written");
    cluster.advance(3500);
    assert!(cluster.replace_requests.is_empty(), "it may still start");
    for _ in 0..60 {
        cluster.advance(50);
        cluster.send_assignment();
        cluster.run_until_idle();
    }
    assert_eq!(cluster.assignment.in_sync, ["a", "c"]);
    assert!(cluster.nodes["a"].commit >= position);
}

#[test]
fn a_slow_follower_that_makes_progress_is_not_replaced() {
    let mut cluster = cluster();
    for round in 0..20 {
        cluster.sync_blocked.insert("b".into());
        cluster.append_message(&format!("m{round}")).expect("written");
        cluster.advance(1500);
        cluster.sync_blocked.clear();
        cluster.advance(50);
    }
    assert!(cluster.replace_requests.is_empty());
}
