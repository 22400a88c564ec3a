//! Tests of replication and ownership transfer between nodes with simulated disks and links.

mod common;

use bytes::Bytes;
use common::*;
use partition::*;
use prost::Message;
use rpc::Body;
use rpc::messages::*;

#[test]
fn a_planned_move_transfers_ownership_at_the_stop_marker_and_can_be_reversed() {
    let mut cluster = cluster_with_traffic(&["a", "b"]);
    let end = cluster.nodes["a"].end();
    let now = cluster.now;
    cluster.step("a", |replica, t, out| replica.start_move("b", false, now, t, out));
    cluster.run_until_idle();
    cluster.advance(700);
    assert_eq!(cluster.owner(), "b");
    assert_eq!(cluster.takeovers.last(), Some(&("b".into(), 2, false)), "taken at the granted term, not seized");
    assert!(cluster.nodes["b"].end() > end);
    assert_eq!(cluster.step_downs, vec!["a"]);
    for i in 0..20 {
        assert!(cluster.has_message("b", &format!("m{i}")));
    }
    assert!(cluster.append_message("after").is_some());
    cluster.advance(100);
    assert!(cluster.has_message("a", "after"), "the former owner follows");
    // Its state is compared again, so that ownership can be moved back.
    cluster.advance(1500);
    let now = cluster.now;
    cluster.step("b", |replica, t, out| replica.start_move("a", false, now, t, out));
    cluster.advance(700);
    assert_eq!(cluster.owner(), "a");
    assert_eq!(cluster.nodes["a"].state.digest(), cluster.nodes["b"].state.digest());
    assert_eq!(cluster.mismatches, 0);
}

#[test]
fn a_digest_mismatch_prevents_a_planned_move() {
    let mut cluster = cluster_with_traffic(&["a", "b"]);
    let at = cluster.nodes["a"].commit;
    cluster.append(Entry::Epoch(Epoch { position: at, digest: 1 }));
    cluster.append_message("next");
    cluster.advance(200);
    assert_eq!(cluster.mismatches, 1);
    assert!(cluster.nodes["a"].candidates().is_empty());
    let now = cluster.now;
    cluster.step("a", |replica, t, out| replica.start_move("b", false, now, t, out));
    cluster.advance(15_000);
    assert_eq!(cluster.owner(), "a", "no move to a replica whose state is not verified");
    assert!(!cluster.nodes["a"].is_moving(), "the move is abandoned eventually");
}

#[test]
fn a_planned_move_waits_for_digests_to_match_for_the_match_window() {
    let mut cluster = Cluster::new(&["a", "b"]);
    cluster.append_message("m");
    let now = cluster.now;
    cluster.step("a", |replica, t, out| replica.start_move("b", false, now, t, out));
    cluster.run_until_idle();
    cluster.advance(200);
    assert_eq!(cluster.owner(), "a");
    cluster.advance(600);
    assert_eq!(cluster.owner(), "b");
}

#[test]
fn an_owner_that_fails_before_the_stop_marker_is_succeeded_at_a_higher_term() {
    let mut cluster = cluster_with_traffic(&["a", "b"]);
    cluster.sync_blocked.insert("a".into());
    // The last entries are on b's disk and not on a's, so a cannot write the marker yet.
    cluster.append_message("last");
    let now = cluster.now;
    cluster.step("a", |replica, t, out| replica.start_move("b", true, now, t, out));
    cluster.run_until_idle();
    assert!(cluster.assignment.grant.is_some() || cluster.nodes["a"].is_moving());
    cluster.disconnected.insert("a".into());
    cluster.crash("a");
    cluster.seize_ownership("b");
    assert_eq!(cluster.owner(), "b");
    assert!(cluster.takeovers.last().is_some_and(|t| t.2 && t.1 >= 2));
    assert!(cluster.has_message("b", "last"), "entries held by the replica are kept");
}

#[test]
fn a_stop_marker_has_no_effect_before_it_is_known_to_be_committed() {
    let mut cluster = cluster_with_traffic(&["a", "b"]);
    let now = cluster.now;
    // b receives all entries but never syncs them, so the marker is not committed.
    cluster.step("a", |replica, t, out| replica.start_move("b", false, now, t, out));
    cluster.sync_blocked.insert("b".into());
    cluster.run_until_idle();
    cluster.advance(100);
    assert_ne!(cluster.owner(), "b");
    // The owner fails after writing the marker, before the candidate takes over.
    cluster.sync_blocked.remove("b");
    cluster.disconnected.insert("a".into());
    cluster.run_until_idle();
    cluster.seize_ownership("b");
    assert_eq!(cluster.owner(), "b");
    // It comes back: its messages are ignored, and it learns that it is no longer the owner.
    cluster.disconnected.clear();
    cluster.advance(600);
    assert_eq!(cluster.owner(), "b");
    assert!(!cluster.nodes["a"].is_writable());
    assert!(cluster.append_message("later").is_some() && cluster.has_message("b", "later"));
}

#[test]
fn a_candidate_that_fails_during_verification_does_not_interrupt_the_owner() {
    let mut cluster = cluster_with_traffic(&["a", "b"]);
    cluster.orders_blocked = true;
    let now = cluster.now;
    cluster.step("a", |replica, t, out| replica.start_move("b", false, now, t, out));
    cluster.run_until_idle();
    cluster.disconnected.insert("b".into());
    cluster.crash("b");
    cluster.orders_blocked = false;
    cluster.assignment.in_sync = vec!["a".into()];
    cluster.send_assignment();
    cluster.run_until_idle();
    assert_eq!(cluster.owner(), "a");
    assert!(cluster.append_message("on").is_some());
    cluster.disconnected.clear();
    cluster.advance(1000);
    assert!(cluster.has_message("b", "on"), "the candidate catches up");
    assert_eq!(cluster.assignment.in_sync, vec!["a", "b"], "the candidate is in sync again");
}

#[test]
fn a_partial_write_is_recovered_consistently() {
    // Synced nowhere; on the owner only; on both, but not known to be committed on the follower.
    for state in 0..3 {
        let mut cluster = cluster_with_traffic(&["a", "b"]);
        if state < 2 {
            cluster.sync_blocked.insert("b".into());
        }
        if state < 1 {
            cluster.sync_blocked.insert("a".into());
        }
        let commit = cluster.nodes["a"].commit;
        cluster.append_message("x");
        if state < 2 {
            assert_eq!(cluster.nodes["a"].commit, commit, "state {state}: not committed, so not acknowledged");
        } else {
            assert!(cluster.nodes["a"].commit > commit);
        }
        cluster.disconnected.insert("a".into());
        cluster.crash("a");
        cluster.crash("b");
        cluster.seize_ownership("b");
        assert_eq!(cluster.has_message("b", "x"), state == 2, "state {state}");
        // The former owner comes back; entries that only it held are truncated.
        cluster.disconnected.clear();
        cluster.append_message("y");
        cluster.advance(1500);
        assert_eq!(cluster.has_message("a", "x"), state == 2, "state {state}");
        assert!(cluster.has_message("a", "y"));
        assert_eq!(cluster.nodes["a"].state.digest(), cluster.nodes["b"].state.digest());
        assert_eq!(cluster.assignment.in_sync, vec!["b", "a"]);
    }
}

#[test]
fn an_owner_that_resumes_after_a_pause_is_fenced() {
    let mut cluster = cluster_with_traffic(&["a", "b"]);
    cluster.disconnected.insert("a".into());
    cluster.assignment =
        Partition { term: 5, owner: "b".into(), in_sync: vec!["b".into()], seized: true, ..cluster.assignment.clone() };
    let c = cluster.assignment.clone();
    cluster.step("b", |replica, now, out| replica.handle_assignment(&c, now, out));
    cluster.run_until_idle();
    cluster.append_message_at("a", "stale");
    let before = cluster.nodes["a"].commit;
    cluster.disconnected.clear();
    cluster.append_message_at("a", "staler");
    cluster.advance(500);
    assert_eq!(cluster.owner(), "b");
    assert!(
        !cluster.has_message("a", "stale") && !cluster.has_message("b", "stale"),
        "records of the fenced owner are not committed"
    );
    assert!(cluster.nodes["a"].commit >= before);
    assert!(cluster.step_downs.contains(&"a".to_string()));
}

impl Cluster {
    fn append_message_at(&mut self, node: &str, id: &str) {
        let item = Item { id: id.into(), route: "r".into(), ..Item::default() };
        let e = Entry::Accept(AcceptRecord { item, delay_ms: 0, generations: None });
        let at_ms = self.now;
        self.step(node, |replica, now, out| {
            replica.append(&Record { at_ms, entry: Some(e) }, now, out);
            replica.flush(now, out);
        });
        self.run_until_idle();
    }
}

#[test]
fn entries_of_another_term_are_not_counted_as_acknowledged() {
    let mut cluster = cluster_with_traffic(&["a", "b"]);
    // a appends entries that b does not receive; b takes over with a shorter log.
    cluster.sync_blocked.insert("a".into());
    cluster.disconnected.insert("b".into());
    for i in 0..5 {
        cluster.append_message_at("a", &format!("alone{i}"));
    }
    cluster.sync_blocked.clear();
    cluster.disconnected.clear();
    cluster.disconnected.insert("a".into());
    cluster.network.clear();
    cluster.run_until_idle();
    cluster.assignment =
        Partition { term: 2, owner: "b".into(), in_sync: vec!["b".into(), "a".into()], ..cluster.assignment.clone() };
    let c = cluster.assignment.clone();
    cluster.step("b", |replica, now, out| replica.handle_assignment(&c, now, out));
    cluster.run_until_idle();
    let commit = cluster.nodes["b"].commit;
    cluster.append_message_at("b", "new");
    assert_eq!(cluster.nodes["b"].commit, commit, "a's longer log of an older term does not contain the new entry");
    cluster.disconnected.clear();
    cluster.advance(600);
    assert!(cluster.has_message("a", "new") && !cluster.has_message("a", "alone0"));
}

#[test]
fn a_new_replica_joins_by_snapshot_and_log() {
    let mut cluster = cluster_with_traffic(&["a", "b"]);
    cluster.step("a", |replica, _, out| replica.compact(0, out));
    cluster.run_until_idle();
    let d = cluster.disks["a"].clone();
    assert!(d.snapshot.is_some() && d.log.len() < 5, "the log up to the snapshot is deleted");
    cluster.crash("a");
    cluster.seize_ownership("a");
    cluster.assignment.replicas = vec!["a".into(), "c".into()];
    cluster.send_assignment();
    cluster.advance(1000);
    cluster.append_message("m");
    cluster.advance(1000);
    assert!(cluster.assignment.in_sync.contains(&"c".to_string()));
    assert_eq!(cluster.nodes["c"].state.digest(), cluster.nodes["a"].state.digest());
    cluster.crash("c");
    assert!(cluster.has_message("c", "m") && cluster.has_message("c", "m3"), "all of it is on its own disk");
}

#[test]
fn a_log_with_a_missing_entry_is_rejected() {
    let cluster = cluster_with_traffic(&["a", "b"]);
    let mut d = cluster.disks["a"].clone();
    d.log.remove(&5);
    let entries = d.log.into_iter().collect();
    assert!(PartitionReplica::reload(0, "a", TIMING, &d.meta, None, entries).is_err_and(|e| e.contains("entry 5")));
}

#[test]
fn a_follower_that_lost_its_disk_does_not_rejoin_by_earlier_acknowledgements() {
    let mut cluster = cluster_with_traffic(&["a", "b"]);
    cluster.disks.remove("b");
    cluster.crash("b");
    cluster.assignment.in_sync = vec!["a".into()];
    cluster.send_assignment();
    // Only commit positions are sent, no new entries that would reveal the gap.
    cluster.sync_blocked.insert("b".into());
    cluster.advance(1000);
    assert_eq!(cluster.assignment.in_sync, vec!["a"], "b holds nothing yet");
    cluster.sync_blocked.clear();
    cluster.advance(1000);
    assert_eq!(cluster.assignment.in_sync, vec!["a", "b"]);
    assert!(cluster.has_message("b", "m3") && cluster.disks["b"].log.len() + 1 >= cluster.nodes["a"].end() as usize);
}

#[test]
fn a_lagging_follower_is_sent_missing_entries_once() {
    let mut cluster = cluster_with_traffic(&["a", "b"]);
    cluster.sync_blocked.insert("b".into());
    cluster.disconnected.insert("b".into());
    let behind = cluster.nodes["b"].end();
    for i in 0..200 {
        cluster.append_message_at("a", &format!("x{i}"));
    }
    cluster.disconnected.clear();
    cluster.network.clear();
    // Many entries are in flight when the gap is detected.
    let mut sent = 0;
    for i in 0..50 {
        let item = Item { id: format!("y{i}"), route: "r".into(), ..Item::default() };
        let e = Entry::Accept(AcceptRecord { item, delay_ms: 0, generations: None });
        cluster.step("a", |replica, now, out| {
            replica.append(&Record { at_ms: 0, entry: Some(e) }, now, out);
            replica.flush(now, out);
        });
    }
    cluster.sync_blocked.clear();
    while let Some((to, body)) = cluster.network.pop_front() {
        if let Body::Entries(e) = &body {
            sent += e.entries.len();
        }
        cluster.network.push_front((to, body));
        let (to, body) = cluster.network.pop_front().expect("the message pushed above");
        cluster.step(&to, |replica, now, out| match body {
            Body::Entries(e) => replica.handle_entries(e, now, out),
            Body::EntriesAck(a) => replica.handle_entries_ack(a, now, out),
            _ => {}
        });
    }
    cluster.run_until_idle();
    let missing = (cluster.nodes["a"].end() - behind) as usize;
    assert!(sent <= missing + 100, "{sent} entries sent for {missing} missing ones");
    assert_eq!(cluster.nodes["b"].end(), cluster.nodes["a"].end());
}

#[test]
fn a_restarted_follower_of_an_idle_partition_rejoins() {
    let mut cluster = cluster_with_traffic(&["a", "b"]);
    cluster.advance(1000);
    // b leaves the in-sync set with a complete log and restarts. Nothing is written meanwhile.
    cluster.assignment.in_sync = vec!["a".into()];
    cluster.send_assignment();
    cluster.crash("b");
    cluster.advance(1000);
    assert_eq!(cluster.assignment.in_sync, vec!["a", "b"]);
    let now = cluster.now;
    cluster.step("a", |replica, t, out| replica.start_move("b", false, now, t, out));
    cluster.advance(1500);
    assert_eq!(cluster.owner(), "b", "ownership can be moved to it");
}

#[test]
fn an_owner_that_lost_its_disk_ignores_the_assignment_of_its_former_incarnation() {
    let mut cluster = cluster_with_traffic(&["a", "b"]);
    cluster.disks.remove("a");
    cluster.crash("a");
    cluster.nodes.get_mut("a").expect("a").incarnation = 9;
    cluster.takeovers.clear();
    cluster.send_assignment();
    cluster.advance(1000);
    assert!(cluster.takeovers.is_empty(), "it would serve requests from an empty state");
    assert_eq!(cluster.nodes["a"].role, ReplicaRole::Follower);
    cluster.seize_ownership("b");
    assert!(cluster.has_message("b", "m3"));
    cluster.advance(3000);
    assert!(cluster.has_message("a", "m3"), "a is filled by the new owner");
}

#[test]
fn a_follower_with_a_longer_log_than_the_new_owner_is_truncated() {
    let mut cluster = cluster_with_traffic(&["a", "b"]);
    cluster.sync_blocked.insert("a".into());
    cluster.append_message("lost");
    cluster.append_message("lost2");
    assert!(cluster.nodes["b"].end() > cluster.disks["a"].log.keys().max().copied().unwrap_or(0));
    cluster.crash("a");
    cluster.seize_ownership("a");
    cluster.assignment.replicas = vec!["a".into(), "b".into()];
    cluster.send_assignment();
    cluster.advance(2000);
    cluster.append_message("kept");
    cluster.advance(1000);
    assert!(!cluster.has_message("b", "lost") && cluster.has_message("b", "kept") && cluster.has_message("a", "kept"));
    assert_eq!(cluster.nodes["a"].state.digest(), cluster.nodes["b"].state.digest());
}

#[test]
fn an_outdated_assignment_does_not_shrink_the_in_sync_set() {
    let mut cluster = cluster_with_traffic(&["a", "b"]);
    // c joins: the owner learns it from the leader before a lagging control node does.
    let older = Partition { changed: 7, ..cluster.assignment.clone() };
    cluster.assignment.replicas.push("c".into());
    cluster.assignment.in_sync.push("c".into());
    cluster.assignment.changed = 9;
    cluster.send_assignment();
    cluster.advance(600);
    cluster.step("a", |replica, now, out| replica.handle_assignment(&older, now, out));
    assert_eq!(cluster.nodes["a"].in_sync(), ["a", "b", "c"]);
    // Entries that c does not hold are not committed.
    cluster.sync_blocked.insert("c".into());
    let pos = cluster.append_message("held").expect("open");
    cluster.advance(300);
    assert!(cluster.nodes["a"].commit < pos);
    cluster.sync_blocked.remove("c");
    cluster.advance(300);
    assert!(cluster.nodes["a"].commit >= pos);
}

#[test]
fn a_snapshot_of_entries_already_held_does_not_truncate_the_log() {
    let mut cluster = cluster_with_traffic(&["a", "b"]);
    let (end, commit) = (cluster.nodes["b"].end(), cluster.nodes["b"].commit);
    let (position, data) = (commit - 3, Bytes::new());
    let c = Chunk { term: 1, owner: "a".into(), position, position_term: 1, last: true, data, ..Chunk::default() };
    cluster.step("b", |replica, now, out| replica.handle_chunk(c, now, out));
    assert_eq!((cluster.nodes["b"].end(), cluster.nodes["b"].commit), (end, commit));
    // The follower reports its log position, so that the owner continues from there.
    assert!(matches!(cluster.network.back(), Some((to, Body::EntriesAck(a))) if to == "a" && a.durable == end));
}

#[test]
fn a_disk_identity_records_the_incarnation_that_found_it_empty() {
    // Nothing can have been lost at the initial start.
    let mut first = DiskIdentity::default();
    assert_eq!((first.begin_incarnation(100), first.first_incarnation), (100, 0));
    assert_eq!(
        (first.begin_incarnation(90), first.first_incarnation),
        (101, 0),
        "the incarnation increases even if the clock is behind"
    );
    // The disk was emptied, and the process restarted twice before anyone heard from it. It does not
    // hold what it joined in incarnation 101, although the disk is no longer empty.
    let mut emptied = DiskIdentity { empty: true, ..DiskIdentity::default() };
    assert_eq!((emptied.begin_incarnation(200), emptied.first_incarnation), (200, 200));
    assert_eq!((emptied.begin_incarnation(300), emptied.first_incarnation), (300, 200));
}

#[test]
fn a_new_owner_is_not_caught_up_before_it_has_applied_its_whole_log() {
    let mut cluster = cluster_with_traffic(&["a", "b", "c"]);
    let pos = cluster.append_message("last").expect("open");
    // b holds the entry but does not know that it is committed; c is unreachable.
    cluster.disconnected.extend(["a".to_owned(), "c".to_owned()]);
    let term = cluster.assignment.term + 1;
    let in_sync = vec!["b".to_owned(), "c".to_owned()];
    cluster.assignment = Partition { term, owner: "b".into(), in_sync, seized: true, ..cluster.assignment.clone() };
    cluster.send_assignment();
    cluster.run_until_idle();
    assert!(cluster.nodes["b"].is_writable());
    assert!(cluster.nodes["b"].state.position < pos && !cluster.nodes["b"].is_caught_up());
    cluster.disconnected.clear();
    cluster.advance(600);
    assert!(cluster.nodes["b"].is_caught_up() && cluster.has_message("b", "last"));
}

#[test]
fn an_empty_partition_gets_its_copies_as_well() {
    let mut cluster = Cluster::new(&["a", "b"]);
    // Nothing has ever been written, as immediately after the initial layout.
    for n in ["a", "b", "c"] {
        cluster.nodes.insert(n.into(), PartitionReplica::new(0, n, TIMING));
        cluster.disks.remove(n);
        cluster.unsynced.remove(n);
    }
    cluster.network.clear();
    cluster.assignment.in_sync = vec!["a".into()];
    cluster.send_assignment();
    cluster.advance(1000);
    assert_eq!(cluster.assignment.in_sync, vec!["a", "b"], "otherwise its owner would remain the only replica");
}

/// Assigns the partition to b at a new term, with an in-sync member x that never answers, so that b
/// commits nothing; a is disconnected. Takes effect with the next assignment sent. Returns the end of
/// b's log.
fn assign_to_b_with_silent_member(cluster: &mut Cluster) -> u64 {
    cluster.sync_blocked.clear();
    cluster.disconnected.insert("a".into());
    let term = cluster.assignment.term + 1;
    cluster.assignment = Partition {
        term,
        owner: "b".into(),
        in_sync: vec!["b".into(), "x".into()],
        replicas: vec!["b".into(), "c".into()],
        seized: true,
        ..cluster.assignment.clone()
    };
    cluster.nodes["b"].end()
}

#[test]
fn nobody_joins_without_what_may_have_been_committed_before_the_owner_took_over() {
    // Another member of the in-sync set, x, does not answer, so that b commits nothing for now.
    let mut cluster = cluster_with_traffic(&["a", "b"]);
    cluster.crash("c");
    let c = cluster.disks["b"].clone();
    let (held, all) = (cluster.nodes["b"].commit - 5, cluster.nodes["b"].end());
    // c holds most of the log from earlier.
    let log = c.log.iter().filter(|(p, _)| **p <= held).map(|(p, e)| (*p, e.clone())).collect();
    let meta = Meta { term: 1, commit: held - 3, ..c.meta.clone() };
    cluster.disks.insert("c".into(), Disk { meta, log, ..Disk::default() });
    cluster.crash("c");
    // The commit position known to b is behind the actual one.
    let mut known = cluster.disks["b"].clone();
    known.meta.commit = held - 3;
    cluster.disks.insert("b".into(), known);
    cluster.crash("b");
    assign_to_b_with_silent_member(&mut cluster);
    cluster.orders_blocked = true;
    cluster.send_assignment();
    // c acknowledges more than b knows to be committed, but less than the whole log.
    let ack = EntriesAck {
        partition: 0,
        term: cluster.assignment.term,
        node: "c".into(),
        durable: held,
        ..EntriesAck::default()
    };
    let mut out = Vec::new();
    let now = cluster.now;
    cluster.nodes.get_mut("b").expect("b").handle_entries_ack(ack.clone(), now, &mut out);
    let asks = |out: &[Effect]| out.iter().any(|e| matches!(e, Effect::SubmitOrder(o) if o.node == "c"));
    assert!(!asks(&out), "{held} of {all} is not all that may have been committed");
    cluster.nodes.get_mut("b").expect("b").handle_entries_ack(EntriesAck { durable: all, ..ack }, now, &mut out);
    assert!(asks(&out), "c holds the whole log");
}

#[test]
fn a_snapshot_takes_nothing_back_that_is_held_behind_it() {
    let mut cluster = cluster_with_traffic(&["a", "b"]);
    let end = cluster.nodes["b"].end();
    // The commit position known to b is behind the entries that it holds and has acknowledged.
    let mut d = cluster.disks["b"].clone();
    d.meta.commit = end - 10;
    cluster.disks.insert("b".into(), d.clone());
    cluster.crash("b");
    let position = end - 5;
    let data: Bytes = cluster.nodes["a"].state.snapshot().encode_to_vec().into();
    let term = cluster.nodes["b"].term;
    let position_term = d.log[&position].term;
    let c = Chunk { term, owner: "a".into(), position, position_term, last: true, data, ..Chunk::default() };
    cluster.step("b", |replica, now, out| replica.handle_chunk(c, now, out));
    cluster.run_until_idle();
    assert_eq!(cluster.nodes["b"].end(), end, "the owner relies on the entries that b acknowledged");
    assert!(cluster.disks["b"].log.contains_key(&end));
    assert!(cluster.nodes["b"].commit >= position);
}

#[test]
fn an_owner_takes_no_report_before_it_has_folded_what_it_took_over() {
    let mut cluster = cluster_with_traffic(&["a", "b"]);
    // b takes over; another member of the in-sync set does not answer, so nothing is committed yet.
    let mut known = cluster.disks["b"].clone();
    known.meta.commit -= 5;
    cluster.disks.insert("b".into(), known);
    cluster.crash("b");
    assign_to_b_with_silent_member(&mut cluster);
    cluster.orders_blocked = true;
    cluster.send_assignment();
    let b = &cluster.nodes["b"];
    assert!(b.is_writable() && !b.accepts_reports(), "a message that is not found may still be in its log");
    cluster.assignment.in_sync = vec!["b".into()];
    cluster.assignment.changed += 1;
    cluster.send_assignment();
    cluster.run_until_idle();
    assert!(cluster.nodes["b"].accepts_reports());
}

/// Reads the partition time of an owner like the store service does.
fn owner_time(cluster: &mut Cluster, node: &str, cluster_ms: u64) -> u64 {
    let now = cluster.now;
    cluster.nodes.get_mut(node).expect("a known node").owner_time(Some(cluster_ms), now)
}

#[test]
fn a_new_owner_continues_from_the_former_owners_time_whatever_cluster_time_is() {
    let mut cluster = Cluster::new(&["a", "b"]);
    let began = owner_time(&mut cluster, "a", 1_790_000_000_000);
    cluster.append_message("m");
    let (at, owner) = (cluster.now, owner_time(&mut cluster, "a", began));
    assert_eq!(cluster.nodes["b"].time(at), Some(owner), "the owner sends its time with its entries");
    cluster.now += 3_000;
    cluster.seize_ownership("b");
    let successor = owner_time(&mut cluster, "b", began + 90_000);
    assert_eq!(successor, owner + 3_000);
}

#[test]
fn a_restarted_replica_steps_to_cluster_time_but_not_behind_its_log() {
    let mut cluster = Cluster::new(&["a", "b"]);
    cluster.append_message("m");
    let written = cluster.now;
    cluster.crash("b");
    assert_eq!(cluster.nodes["b"].time(cluster.now), None);
    assert_eq!(cluster.nodes["b"].reached_ms(cluster.now), written);
    cluster.seize_ownership("b");
    assert_eq!(owner_time(&mut cluster, "b", 1), written, "entries that are not known to be committed count as well");
    let mut cluster = Cluster::new(&["a", "b"]);
    cluster.append_message("m");
    cluster.crash("b");
    cluster.seize_ownership("b");
    assert_eq!(owner_time(&mut cluster, "b", 1_790_000_000_000), 1_790_000_000_000);
}

#[test]
fn an_owner_with_pending_messages_records_the_passing_of_time() {
    let mut cluster = Cluster::new(&["a", "b"]);
    cluster.append_message("m");
    cluster.advance(10 * TIMING.epoch_interval_ms);
    let at = cluster.now;
    cluster.advance(9 * TIMING.epoch_interval_ms);
    assert!(cluster.nodes["b"].reached_ms(cluster.now) >= at, "time is recorded although nothing else is written");
    // Once all messages have ended, nothing more is written.
    let position = cluster.nodes["a"].state.find("", "m").expect("a known message");
    let done = AnswerRecord { position, outcome: Outcome::Done as i32, result_tag: "t".into(), attempt: position };
    cluster.append(Entry::Answer(done));
    cluster.advance(10 * TIMING.epoch_interval_ms);
    let end = cluster.nodes["a"].end();
    cluster.advance(20 * TIMING.epoch_interval_ms);
    assert_eq!(cluster.nodes["a"].end(), end);
}

fn operation(low: u64) -> Option<OperationId> {
    Some(OperationId { high: 1, low })
}

impl Cluster {
    /// Sends one request of an operation and returns the position that its client would be given.
    fn request_operation(&mut self, id: &str, low: u64) -> u64 {
        let item =
            Item { id: id.into(), route: "r".into(), tenant: "t".into(), operation: operation(low), ..Item::default() };
        let owner = self.owner();
        if let Some(known) = self.nodes[&owner].state.find_duplicate(&item, self.now) {
            return known;
        }
        let position =
            self.append(Entry::Accept(AcceptRecord { item, delay_ms: 0, generations: None })).expect("an owner");
        let again = Item { id: String::new(), tenant: "t".into(), operation: operation(low), ..Item::default() };
        self.nodes[&owner].state.find_duplicate(&again, self.now).unwrap_or(position)
    }
}

#[test]
fn operation_keys_survive_a_planned_move_and_a_takeover() {
    let mut cluster = cluster_with_traffic(&["a", "b"]);
    let first = cluster.request_operation("o1", 1);
    cluster.advance(1500);
    let now = cluster.now;
    cluster.step("a", |replica, t, out| replica.start_move("b", false, now, t, out));
    cluster.run_until_idle();
    cluster.advance(700);
    assert_eq!(cluster.owner(), "b");
    assert_eq!(cluster.request_operation("o1-again", 1), first);
    cluster.disconnected.insert("b".into());
    cluster.seize_ownership("a");
    assert_eq!(cluster.owner(), "a");
    assert_eq!(cluster.request_operation("o1-once-more", 1), first);
    assert_eq!(cluster.mismatches, 0);
}

#[test]
fn an_operation_retried_after_its_answer_was_lost_has_one_message() {
    let mut cluster = cluster_with_traffic(&["a", "b"]);
    // The follower holds the entry, the owner's write is not synced: no answer was given.
    cluster.sync_blocked.insert("a".into());
    cluster.sync_blocked.insert("b".into());
    let written = cluster.append(accept_of("o1", 1)).expect("written");
    cluster.sync_blocked.remove("b");
    cluster.run_until_idle();
    assert!(cluster.nodes["b"].state.find_duplicate(&item_of("x", 1), cluster.now).is_none(), "not committed");
    cluster.crash("a");
    cluster.disconnected.insert("a".into());
    // The client retries before the new owner has applied the entries found at takeover.
    cluster.sync_blocked.insert("b".into());
    cluster.seize_ownership("b");
    let again = cluster.append(accept_of("o1-again", 1));
    cluster.sync_blocked.remove("b");
    cluster.run_until_idle();
    let known = cluster.nodes["b"].state.find_duplicate(&item_of("x", 1), cluster.now);
    assert_eq!(known, Some(written), "the retry at {again:?} is a duplicate of the first request");
    assert_eq!(cluster.nodes["b"].state.messages.values().filter(|replica| replica.item.tenant == "t").count(), 1);
}

#[test]
fn operation_keys_survive_a_restart_of_all_nodes() {
    let mut cluster = cluster_with_traffic(&["a", "b"]);
    let first = cluster.request_operation("o1", 1);
    cluster.step("a", |replica, _, out| replica.compact(0, out));
    let second = cluster.request_operation("o2", 2);
    cluster.advance(100);
    for n in ["a", "b"] {
        cluster.crash(n);
    }
    cluster.seize_ownership("b");
    assert_eq!((cluster.request_operation("o1-again", 1), cluster.request_operation("o2-again", 2)), (first, second));
    cluster.disconnected.insert("b".into());
    cluster.crash("a");
    cluster.seize_ownership("a");
    assert_eq!((cluster.request_operation("o1-third", 1), cluster.request_operation("o2-third", 2)), (first, second));
}

#[test]
fn a_replica_that_joins_by_snapshot_has_the_operation_keys() {
    let mut cluster = Cluster::new(&["a"]);
    cluster.assignment.replicas = vec!["a".into(), "c".into()];
    let first = cluster.request_operation("o1", 1);
    for n in 0..600 {
        cluster.append_message(&format!("m{n}"));
    }
    cluster.send_assignment();
    cluster.advance(3000);
    assert!(cluster.assignment.in_sync.contains(&"c".to_string()));
    cluster.disconnected.insert("a".into());
    cluster.seize_ownership("c");
    assert_eq!(cluster.request_operation("o1-again", 1), first);
}

fn item_of(id: &str, low: u64) -> Item {
    Item { id: id.into(), route: "r".into(), tenant: "t".into(), operation: operation(low), ..Item::default() }
}

fn accept_of(id: &str, low: u64) -> Entry {
    Entry::Accept(AcceptRecord { item: item_of(id, low), delay_ms: 0, generations: None })
}

#[test]
fn a_follower_that_the_owner_does_not_hear_is_replaced_and_no_copy_is_missing_meanwhile() {
    let mut cluster = Cluster::new(&["a", "b"]);
    for node in cluster.nodes.values_mut() {
        node.incarnation = 1;
    }
    cluster.advance(5000);
    cluster.append(Entry::Routes(Routes { revision: 2, ..Routes::default() })).expect("written");
    cluster.advance(5000);
    assert!(cluster.replace_requests.is_empty(), "b is heard from");
    // Only the link between a and b is broken: the control nodes hear from both and replace neither.
    cluster.disconnected.insert("b".into());
    cluster.advance(5000);
    assert!(cluster.replace_requests.is_empty(), "no acknowledgement was due");
    let second = cluster.append_message("m2").expect("written");
    cluster.advance(500);
    assert!(cluster.replace_requests.is_empty(), "the acknowledgement may still arrive");
    assert!(cluster.nodes["a"].commit < second, "committed without it");
    let mut least = usize::MAX;
    for _ in 0..100 {
        cluster.advance(50);
        cluster.send_assignment();
        cluster.run_until_idle();
        least = least.min(cluster.assignment.in_sync.len());
    }
    assert_eq!(cluster.replace_requests, ["b"]);
    assert_eq!((cluster.assignment.in_sync.clone(), least), (vec!["a".to_owned(), "c".to_owned()], 2));
    assert!(cluster.nodes["a"].commit >= second, "commits continue");
    assert!(cluster.nodes["c"].durable >= second, "on as many disks as before");
}
