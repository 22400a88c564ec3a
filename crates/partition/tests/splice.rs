//! Ownership passing between nodes, with their disks and links in the test's hands.

use bytes::Bytes;
use partition::*;
use prost::Message;
use rpc::Body;
use rpc::messages::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

const TIMING: Timing = Timing {
    epoch_interval_ms: 500,
    match_window_ms: 300,
    resend_ms: 250,
    status_ms: 100_000,
    operations_ms: 60_000,
    log_cache_bytes: 1 << 20,
};

#[derive(Default, Clone)]
struct Disk {
    meta: Meta,
    log: BTreeMap<u64, LogEntry>,
    snapshot: Option<Bytes>,
}

/// Three nodes with one partition, and a control node of few words.
struct World {
    now: u64,
    nodes: BTreeMap<String, PartitionReplica>,
    disks: BTreeMap<String, Disk>,
    /// Writes that are not synced yet.
    unsynced: BTreeMap<String, VecDeque<(Disk, u64, u64)>>,
    hold_sync: BTreeSet<String>,
    cut: BTreeSet<String>,
    net: VecDeque<(String, Body)>,
    chart: Partition,
    took: Vec<(String, u64, bool)>,
    stood: Vec<String>,
    mismatches: usize,
    /// Followers in whose place another one was asked for.
    unheard: Vec<String>,
    /// Orders are left unanswered.
    mute: bool,
}

impl World {
    fn new(in_sync: &[&str]) -> World {
        let names: Vec<String> = in_sync.iter().map(|s| s.to_string()).collect();
        let chart = Partition {
            id: 0,
            term: 1,
            owner: names[0].clone(),
            in_sync: names.clone(),
            replicas: names.clone(),
            ..Partition::default()
        };
        let mut w = World {
            now: 1000,
            nodes: ["a", "b", "c"].iter().map(|n| (n.to_string(), PartitionReplica::new(0, n, TIMING))).collect(),
            disks: BTreeMap::new(),
            unsynced: BTreeMap::new(),
            hold_sync: BTreeSet::new(),
            cut: BTreeSet::new(),
            net: VecDeque::new(),
            chart,
            took: vec![],
            stood: vec![],
            mismatches: 0,
            unheard: vec![],
            mute: false,
        };
        w.tell();
        w.settle();
        let routes = RouteFacts { route: "r".into(), tries: 3, retain_ms: 0 };
        w.append(Entry::Routes(Routes { revision: 1, routes: vec![routes], ..Routes::default() }));
        w
    }

    fn step(&mut self, node: &str, f: impl FnOnce(&mut PartitionReplica, u64, &mut Vec<Effect>)) {
        let mut out = Vec::new();
        if let Some(m) = self.nodes.get_mut(node) {
            f(m, self.now, &mut out);
        }
        for e in out {
            match e {
                Effect::Persist { del, put, meta, snapshot, term, end } => {
                    let q = self.unsynced.entry(node.into()).or_default();
                    let mut d = q
                        .back()
                        .map(|x| x.0.clone())
                        .unwrap_or_else(|| self.disks.entry(node.into()).or_default().clone());
                    if let Some((a, b)) = del {
                        d.log.retain(|p, _| *p < a || *p > b);
                    }
                    d.log.extend(put);
                    d.meta = meta;
                    d.snapshot = snapshot.or(d.snapshot);
                    q.push_back((d, term, end));
                }
                Effect::Send(to, body) => self.net.push_back((to, body)),
                Effect::BecameOwner { seized } => self.took.push((node.into(), self.nodes[node].term, seized)),
                Effect::SteppedDown(_) => self.stood.push(node.into()),
                Effect::SubmitOrder(o) => self.order(node, o),
                Effect::DigestMismatch(_) => self.mismatches += 1,
                Effect::Applied(_) => {}
            }
        }
    }

    /// Rules as the control nodes do, as far as these tests need it.
    fn order(&mut self, node: &str, o: Order) {
        if self.mute {
            return;
        }
        let mut ack = OrderAck { ok: true, ..OrderAck::default() };
        let c = &mut self.chart;
        match OrderKind::try_from(o.kind).expect("a kind") {
            OrderKind::Grant if o.term == c.term => {
                let in_sync = c.in_sync.iter().filter(|n| **n != o.leaving).cloned().collect();
                c.grant = Some(Grant { term: c.term + 1, candidate: o.node.clone(), in_sync });
            }
            OrderKind::Own => {
                if let Some(g) = c.grant.take() {
                    (c.term, c.owner, c.in_sync, c.seized) = (g.term, g.candidate, g.in_sync, false);
                }
            }
            OrderKind::Join if o.term == c.term && !c.in_sync.contains(&o.node) => c.in_sync.push(o.node.clone()),
            OrderKind::Drop => c.in_sync.retain(|n| *n != o.node),
            OrderKind::Replace => {
                self.unheard.push(o.node.clone());
                let other = ["a", "b", "c"].into_iter().find(|n| !c.replicas.iter().any(|r| r == n));
                c.replicas.retain(|n| *n != o.node);
                c.replicas.extend(other.map(str::to_owned));
            }
            _ => ack.refused = true,
        }
        ack.partition = Some(c.clone());
        let node = node.to_owned();
        self.step(&node, |m, now, out| m.handle_order_ack(&o, &ack, now, out));
    }

    fn tell(&mut self) {
        let c = self.chart.clone();
        for n in ["a", "b", "c"] {
            self.step(n, |m, now, out| m.handle_assignment(&c, now, out));
        }
    }

    /// Disks and links work until nothing is left to do.
    fn settle(&mut self) {
        loop {
            let mut moved = false;
            for n in ["a", "b", "c"] {
                while !self.hold_sync.contains(n) && self.unsynced.get(n).is_some_and(|q| !q.is_empty()) {
                    let (d, term, end) = self.unsynced.get_mut(n).and_then(|q| q.pop_front()).expect("one is there");
                    self.disks.insert(n.into(), d);
                    self.step(n, |m, now, out| m.handle_synced(term, end, now, out));
                    moved = true;
                }
            }
            while let Some((to, body)) = self.net.pop_front() {
                moved = true;
                if self.cut.contains(&to) {
                    continue;
                }
                self.step(&to, |m, now, out| match body {
                    Body::Entries(e) => m.handle_entries(e, now, out),
                    Body::EntriesAck(a) => m.handle_entries_ack(a, now, out),
                    Body::Chunk(c) => m.handle_chunk(c, now, out),
                    _ => {}
                });
            }
            if !moved {
                return;
            }
        }
    }

    fn pass(&mut self, ms: u64) {
        for _ in 0..ms / 50 {
            self.now += 50;
            for n in ["a", "b", "c"] {
                let at = self.now;
                self.step(n, |m, now, out| m.tick(now, at, out));
            }
            self.settle();
        }
    }

    fn owner(&self) -> String {
        let all: Vec<&String> = self.nodes.iter().filter(|(_, m)| m.is_writable()).map(|(n, _)| n).collect();
        assert!(all.len() <= 1, "two writers: {all:?}");
        all.first().map(|s| s.to_string()).unwrap_or_default()
    }

    fn append(&mut self, e: Entry) -> Option<u64> {
        let (owner, at_ms) = (self.owner(), self.now);
        let mut pos = None;
        self.step(&owner, |m, now, out| {
            pos = m.append(&Record { at_ms, entry: Some(e) }, now, out);
            m.flush(now, out);
        });
        self.settle();
        pos
    }

    fn message(&mut self, id: &str) -> Option<u64> {
        let item = Item { id: id.into(), route: "r".into(), body: vec![1; 100].into(), ..Item::default() };
        self.append(Entry::Accept(AcceptRecord { item, delay_ms: 0, generations: None }))
    }

    /// The node loses its memory and whatever was not synced.
    fn crash(&mut self, n: &str) {
        self.unsynced.remove(n);
        self.hold_sync.remove(n);
        let d = self.disks.get(n).cloned().unwrap_or_default();
        let m = PartitionReplica::reload(0, n, TIMING, &d.meta, d.snapshot, d.log.into_iter().collect())
            .expect("a whole disk");
        self.nodes.insert(n.into(), m);
    }

    /// The control nodes give a dead owner's partition to `n`.
    fn seize(&mut self, n: &str) {
        let term = self.chart.grant.take().map_or(self.chart.term, |g| g.term) + 1;
        self.chart = Partition { term, owner: n.into(), in_sync: vec![n.into()], seized: true, ..self.chart.clone() };
        self.tell();
        self.settle();
    }

    fn known(&self, n: &str, id: &str) -> bool {
        self.nodes[n].state.find("", id).is_some()
    }
}

fn with_traffic(in_sync: &[&str]) -> World {
    let mut w = World::new(in_sync);
    for i in 0..20 {
        w.message(&format!("m{i}"));
        w.pass(100);
    }
    w
}

#[test]
fn a_planned_move_passes_at_the_marker_and_back_again() {
    let mut w = with_traffic(&["a", "b"]);
    let end = w.nodes["a"].end();
    let now = w.now;
    w.step("a", |m, t, out| m.start_move("b", false, now, t, out));
    w.settle();
    w.pass(700);
    assert_eq!(w.owner(), "b");
    assert_eq!(w.took.last(), Some(&("b".into(), 2, false)), "taken at the granted term, not seized");
    assert!(w.nodes["b"].end() > end);
    assert_eq!(w.stood, vec!["a"]);
    for i in 0..20 {
        assert!(w.known("b", &format!("m{i}")));
    }
    assert!(w.message("after").is_some());
    w.pass(100);
    assert!(w.known("a", "after"), "the former owner follows");
    // Its shadow state is compared on, so that it can be moved back to.
    w.pass(1500);
    let now = w.now;
    w.step("b", |m, t, out| m.start_move("a", false, now, t, out));
    w.pass(700);
    assert_eq!(w.owner(), "a");
    assert_eq!(w.nodes["a"].state.digest(), w.nodes["b"].state.digest());
    assert_eq!(w.mismatches, 0);
}

#[test]
fn a_digest_that_differs_blocks_the_cutover() {
    let mut w = with_traffic(&["a", "b"]);
    let at = w.nodes["a"].commit;
    w.append(Entry::Epoch(Epoch { position: at, digest: 1 }));
    w.message("next");
    w.pass(200);
    assert_eq!(w.mismatches, 1);
    assert!(w.nodes["a"].candidates().is_empty());
    let now = w.now;
    w.step("a", |m, t, out| m.start_move("b", false, now, t, out));
    w.pass(15_000);
    assert_eq!(w.owner(), "a", "no cutover to a state that is not proven");
    assert!(!w.nodes["a"].is_moving(), "it is given up in the end");
}

#[test]
fn no_cutover_before_a_window_of_matches() {
    let mut w = World::new(&["a", "b"]);
    w.message("m");
    let now = w.now;
    w.step("a", |m, t, out| m.start_move("b", false, now, t, out));
    w.settle();
    w.pass(200);
    assert_eq!(w.owner(), "a");
    w.pass(600);
    assert_eq!(w.owner(), "b");
}

#[test]
fn an_incumbent_that_dies_before_the_marker_is_succeeded_by_a_higher_term() {
    let mut w = with_traffic(&["a", "b"]);
    w.hold_sync.insert("a".into());
    // The last entries are on b's disk and not on a's: the marker cannot come yet.
    w.message("last");
    let now = w.now;
    w.step("a", |m, t, out| m.start_move("b", true, now, t, out));
    w.settle();
    assert!(w.chart.grant.is_some() || w.nodes["a"].is_moving());
    w.cut.insert("a".into());
    w.crash("a");
    w.seize("b");
    assert_eq!(w.owner(), "b");
    assert!(w.took.last().is_some_and(|t| t.2 && t.1 >= 2));
    assert!(w.known("b", "last"), "what the replica has, counts");
}

#[test]
fn a_marker_that_is_not_told_as_committed_moves_nothing_until_it_is() {
    let mut w = with_traffic(&["a", "b"]);
    let now = w.now;
    // b gets all entries, but its answers are lost: the marker is never committed.
    w.step("a", |m, t, out| m.start_move("b", false, now, t, out));
    w.hold_sync.insert("b".into());
    w.settle();
    w.pass(100);
    assert_ne!(w.owner(), "b");
    // The incumbent dies after writing the marker, before the candidate resumed.
    w.hold_sync.remove("b");
    w.cut.insert("a".into());
    w.settle();
    w.seize("b");
    assert_eq!(w.owner(), "b");
    // And wakes: nothing it sends counts, and it learns that it is not the owner.
    w.cut.clear();
    w.pass(600);
    assert_eq!(w.owner(), "b");
    assert!(!w.nodes["a"].is_writable());
    assert!(w.message("later").is_some() && w.known("b", "later"));
}

#[test]
fn a_candidate_that_dies_in_the_shadow_costs_nothing() {
    let mut w = with_traffic(&["a", "b"]);
    w.mute = true;
    let now = w.now;
    w.step("a", |m, t, out| m.start_move("b", false, now, t, out));
    w.settle();
    w.cut.insert("b".into());
    w.crash("b");
    w.mute = false;
    w.chart.in_sync = vec!["a".into()];
    w.tell();
    w.settle();
    assert_eq!(w.owner(), "a");
    assert!(w.message("on").is_some());
    w.cut.clear();
    w.pass(1000);
    assert!(w.known("b", "on"), "it catches up");
    assert_eq!(w.chart.in_sync, vec!["a", "b"], "and is in sync again");
}

#[test]
fn the_partial_write_states_recover() {
    // Written nowhere; on the owner only; on both, and not told as committed.
    for state in 0..3 {
        let mut w = with_traffic(&["a", "b"]);
        if state < 2 {
            w.hold_sync.insert("b".into());
        }
        if state < 1 {
            w.hold_sync.insert("a".into());
        }
        let commit = w.nodes["a"].commit;
        w.message("x");
        if state < 2 {
            assert_eq!(w.nodes["a"].commit, commit, "state {state}: not committed, so not acknowledged");
        } else {
            assert!(w.nodes["a"].commit > commit);
        }
        w.cut.insert("a".into());
        w.crash("a");
        w.crash("b");
        w.seize("b");
        assert_eq!(w.known("b", "x"), state == 2, "state {state}");
        // The former owner comes back; whatever it had alone gives way.
        w.cut.clear();
        w.message("y");
        w.pass(1500);
        assert_eq!(w.known("a", "x"), state == 2, "state {state}");
        assert!(w.known("a", "y"));
        assert_eq!(w.nodes["a"].state.digest(), w.nodes["b"].state.digest());
        assert_eq!(w.chart.in_sync, vec!["b", "a"]);
    }
}

#[test]
fn a_paused_owner_that_wakes_is_refused() {
    let mut w = with_traffic(&["a", "b"]);
    w.cut.insert("a".into());
    w.chart = Partition { term: 5, owner: "b".into(), in_sync: vec!["b".into()], seized: true, ..w.chart.clone() };
    let c = w.chart.clone();
    w.step("b", |m, now, out| m.handle_assignment(&c, now, out));
    w.settle();
    w.message_at("a", "stale");
    let before = w.nodes["a"].commit;
    w.cut.clear();
    w.message_at("a", "staler");
    w.pass(500);
    assert_eq!(w.owner(), "b");
    assert!(!w.known("a", "stale") && !w.known("b", "stale"), "nothing of it was committed");
    assert!(w.nodes["a"].commit >= before);
    assert!(w.stood.contains(&"a".to_string()));
}

impl World {
    fn message_at(&mut self, node: &str, id: &str) {
        let item = Item { id: id.into(), route: "r".into(), ..Item::default() };
        let e = Entry::Accept(AcceptRecord { item, delay_ms: 0, generations: None });
        let at_ms = self.now;
        self.step(node, |m, now, out| {
            m.append(&Record { at_ms, entry: Some(e) }, now, out);
            m.flush(now, out);
        });
        self.settle();
    }
}

#[test]
fn entries_of_another_term_do_not_count_as_held() {
    let mut w = with_traffic(&["a", "b"]);
    // a writes on alone, for a while; b takes over with less.
    w.hold_sync.insert("a".into());
    w.cut.insert("b".into());
    for i in 0..5 {
        w.message_at("a", &format!("alone{i}"));
    }
    w.hold_sync.clear();
    w.cut.clear();
    w.cut.insert("a".into());
    w.net.clear();
    w.settle();
    w.chart = Partition { term: 2, owner: "b".into(), in_sync: vec!["b".into(), "a".into()], ..w.chart.clone() };
    let c = w.chart.clone();
    w.step("b", |m, now, out| m.handle_assignment(&c, now, out));
    w.settle();
    let commit = w.nodes["b"].commit;
    w.message_at("b", "new");
    assert_eq!(w.nodes["b"].commit, commit, "a's longer log of an older term holds nothing of this");
    w.cut.clear();
    w.pass(600);
    assert!(w.known("a", "new") && !w.known("a", "alone0"));
}

#[test]
fn a_new_replica_joins_by_snapshot_and_log() {
    let mut w = with_traffic(&["a", "b"]);
    w.step("a", |m, _, out| m.compact(0, out));
    w.settle();
    let d = w.disks["a"].clone();
    assert!(d.snapshot.is_some() && d.log.len() < 5, "the log is cut behind the snapshot");
    w.crash("a");
    w.seize("a");
    w.chart.replicas = vec!["a".into(), "c".into()];
    w.tell();
    w.pass(1000);
    w.message("m");
    w.pass(1000);
    assert!(w.chart.in_sync.contains(&"c".to_string()));
    assert_eq!(w.nodes["c"].state.digest(), w.nodes["a"].state.digest());
    w.crash("c");
    assert!(w.known("c", "m") && w.known("c", "m3"), "it has all of that on its own disk");
}

#[test]
fn a_log_with_a_hole_is_refused() {
    let w = with_traffic(&["a", "b"]);
    let mut d = w.disks["a"].clone();
    d.log.remove(&5);
    let entries = d.log.into_iter().collect();
    assert!(PartitionReplica::reload(0, "a", TIMING, &d.meta, None, entries).is_err_and(|e| e.contains("entry 5")));
}

#[test]
fn a_follower_that_lost_its_disk_is_not_in_sync_by_what_it_once_held() {
    let mut w = with_traffic(&["a", "b"]);
    w.disks.remove("b");
    w.crash("b");
    w.chart.in_sync = vec!["a".into()];
    w.tell();
    // Only commit notices go out: no new entries that would show the gap by themselves.
    w.hold_sync.insert("b".into());
    w.pass(1000);
    assert_eq!(w.chart.in_sync, vec!["a"], "it holds nothing yet");
    w.hold_sync.clear();
    w.pass(1000);
    assert_eq!(w.chart.in_sync, vec!["a", "b"]);
    assert!(w.known("b", "m3") && w.disks["b"].log.len() + 1 >= w.nodes["a"].end() as usize);
}

#[test]
fn a_follower_far_behind_is_sent_what_it_lacks_once() {
    let mut w = with_traffic(&["a", "b"]);
    w.hold_sync.insert("b".into());
    w.cut.insert("b".into());
    let behind = w.nodes["b"].end();
    for i in 0..200 {
        w.message_at("a", &format!("x{i}"));
    }
    w.cut.clear();
    w.net.clear();
    // Many entries are under way when the gap shows.
    let mut sent = 0;
    for i in 0..50 {
        let item = Item { id: format!("y{i}"), route: "r".into(), ..Item::default() };
        let e = Entry::Accept(AcceptRecord { item, delay_ms: 0, generations: None });
        w.step("a", |m, now, out| {
            m.append(&Record { at_ms: 0, entry: Some(e) }, now, out);
            m.flush(now, out);
        });
    }
    w.hold_sync.clear();
    while let Some((to, body)) = w.net.pop_front() {
        if let Body::Entries(e) = &body {
            sent += e.entries.len();
        }
        w.net.push_front((to, body));
        let (to, body) = w.net.pop_front().expect("just put there");
        w.step(&to, |m, now, out| match body {
            Body::Entries(e) => m.handle_entries(e, now, out),
            Body::EntriesAck(a) => m.handle_entries_ack(a, now, out),
            _ => {}
        });
    }
    w.settle();
    let lacked = (w.nodes["a"].end() - behind) as usize;
    assert!(sent <= lacked + 100, "{sent} entries sent for {lacked} that were lacking");
    assert_eq!(w.nodes["b"].end(), w.nodes["a"].end());
}

#[test]
fn a_follower_of_an_idle_partition_joins_again() {
    let mut w = with_traffic(&["a", "b"]);
    w.pass(1000);
    // It leaves in order, holding everything, and starts again. Nothing is written meanwhile.
    w.chart.in_sync = vec!["a".into()];
    w.tell();
    w.crash("b");
    w.pass(1000);
    assert_eq!(w.chart.in_sync, vec!["a", "b"]);
    let now = w.now;
    w.step("a", |m, t, out| m.start_move("b", false, now, t, out));
    w.pass(1500);
    assert_eq!(w.owner(), "b", "and can be moved to");
}

#[test]
fn an_emptied_owner_does_not_own_by_what_is_said_of_its_former_incarnation() {
    let mut w = with_traffic(&["a", "b"]);
    w.disks.remove("a");
    w.crash("a");
    w.nodes.get_mut("a").expect("a").incarnation = 9;
    w.took.clear();
    w.tell();
    w.pass(1000);
    assert!(w.took.is_empty(), "it held nothing, and would have answered from that");
    assert_eq!(w.nodes["a"].role, ReplicaRole::Follower);
    w.seize("b");
    assert!(w.known("b", "m3"));
    w.pass(3000);
    assert!(w.known("a", "m3"), "filled by the one that has it");
}

#[test]
fn a_follower_with_a_longer_log_than_its_new_owner_is_cut_back() {
    let mut w = with_traffic(&["a", "b"]);
    w.hold_sync.insert("a".into());
    w.message("lost");
    w.message("lost2");
    assert!(w.nodes["b"].end() > w.disks["a"].log.keys().max().copied().unwrap_or(0));
    w.crash("a");
    w.seize("a");
    w.chart.replicas = vec!["a".into(), "b".into()];
    w.tell();
    w.pass(2000);
    w.message("kept");
    w.pass(1000);
    assert!(!w.known("b", "lost") && w.known("b", "kept") && w.known("a", "kept"));
    assert_eq!(w.nodes["a"].state.digest(), w.nodes["b"].state.digest());
}

#[test]
fn an_older_word_of_the_majority_takes_nobody_out_of_sync() {
    let mut w = with_traffic(&["a", "b"]);
    // c joins: the owner hears it from the leader, ahead of a control node that is behind.
    let older = Partition { changed: 7, ..w.chart.clone() };
    w.chart.replicas.push("c".into());
    w.chart.in_sync.push("c".into());
    w.chart.changed = 9;
    w.tell();
    w.pass(600);
    w.step("a", |m, now, out| m.handle_assignment(&older, now, out));
    assert_eq!(w.nodes["a"].in_sync(), ["a", "b", "c"]);
    // What c does not have is not committed.
    w.hold_sync.insert("c".into());
    let pos = w.message("held").expect("open");
    w.pass(300);
    assert!(w.nodes["a"].commit < pos);
    w.hold_sync.remove("c");
    w.pass(300);
    assert!(w.nodes["a"].commit >= pos);
}

#[test]
fn a_snapshot_of_what_is_held_takes_nothing_back() {
    let mut w = with_traffic(&["a", "b"]);
    let (end, commit) = (w.nodes["b"].end(), w.nodes["b"].commit);
    let (position, data) = (commit - 3, Bytes::new());
    let c = Chunk { term: 1, owner: "a".into(), position, position_term: 1, last: true, data, ..Chunk::default() };
    w.step("b", |m, now, out| m.handle_chunk(c, now, out));
    assert_eq!((w.nodes["b"].end(), w.nodes["b"].commit), (end, commit));
    // The owner is told where it is, so that it goes on from there.
    assert!(matches!(w.net.back(), Some((to, Body::EntriesAck(a))) if to == "a" && a.durable == end));
}

#[test]
fn a_disk_knows_since_which_incarnation_it_holds_anything() {
    // At the very first start nothing can have been lost.
    let mut first = DiskIdentity::default();
    assert_eq!((first.begin_incarnation(100), first.first_incarnation), (100, 0));
    assert_eq!(
        (first.begin_incarnation(90), first.first_incarnation),
        (101, 0),
        "a clock that is behind: still a later incarnation"
    );
    // Emptied, and its process ended twice before anybody heard of it: what it
    // joined in incarnation 101 it does not hold, though the disk is not empty any more.
    let mut emptied = DiskIdentity { empty: true, ..DiskIdentity::default() };
    assert_eq!((emptied.begin_incarnation(200), emptied.first_incarnation), (200, 200));
    assert_eq!((emptied.begin_incarnation(300), emptied.first_incarnation), (300, 200));
}

#[test]
fn a_new_owner_does_not_say_that_it_knows_no_message_before_it_has_caught_up() {
    let mut w = with_traffic(&["a", "b", "c"]);
    let pos = w.message("last").expect("open");
    // b has it, and does not know yet that it is committed; c is dark.
    w.cut.extend(["a".to_owned(), "c".to_owned()]);
    let term = w.chart.term + 1;
    let in_sync = vec!["b".to_owned(), "c".to_owned()];
    w.chart = Partition { term, owner: "b".into(), in_sync, seized: true, ..w.chart.clone() };
    w.tell();
    w.settle();
    assert!(w.nodes["b"].is_writable());
    assert!(w.nodes["b"].state.position < pos && !w.nodes["b"].is_caught_up());
    w.cut.clear();
    w.pass(600);
    assert!(w.nodes["b"].is_caught_up() && w.known("b", "last"));
}

#[test]
fn an_empty_partition_gets_its_copies_as_well() {
    let mut w = World::new(&["a", "b"]);
    // Nothing has ever been written: as if the first layout had been a moment ago.
    for n in ["a", "b", "c"] {
        w.nodes.insert(n.into(), PartitionReplica::new(0, n, TIMING));
        w.disks.remove(n);
        w.unsynced.remove(n);
    }
    w.net.clear();
    w.chart.in_sync = vec!["a".into()];
    w.tell();
    w.pass(1000);
    assert_eq!(w.chart.in_sync, vec!["a", "b"], "its owner would be the only one that holds it for ever");
}

/// a owned and ended; b and c were in sync with it, and b takes over without knowing
/// how far a had come. `lacks` is what c has not got of that.
fn taken_over_without_the_last_commits(w: &mut World) -> u64 {
    w.hold_sync.clear();
    w.cut.insert("a".into());
    let term = w.chart.term + 1;
    w.chart = Partition {
        term,
        owner: "b".into(),
        in_sync: vec!["b".into(), "x".into()],
        replicas: vec!["b".into(), "c".into()],
        seized: true,
        ..w.chart.clone()
    };
    w.nodes["b"].end()
}

#[test]
fn nobody_joins_without_what_may_have_been_committed_before_the_owner_took_over() {
    // A third member of the set, x, is silent, so that b commits nothing for now.
    let mut w = with_traffic(&["a", "b"]);
    w.crash("c");
    let c = w.disks["b"].clone();
    let (held, all) = (w.nodes["b"].commit - 5, w.nodes["b"].end());
    // c has most of it from an earlier time.
    let log = c.log.iter().filter(|(p, _)| **p <= held).map(|(p, e)| (*p, e.clone())).collect();
    let meta = Meta { term: 1, commit: held - 3, ..c.meta.clone() };
    w.disks.insert("c".into(), Disk { meta, log, ..Disk::default() });
    w.crash("c");
    // b was told late: what it knows to be committed is less than what is.
    let mut known = w.disks["b"].clone();
    known.meta.commit = held - 3;
    w.disks.insert("b".into(), known);
    w.crash("b");
    taken_over_without_the_last_commits(&mut w);
    w.mute = true;
    w.tell();
    // c says that it holds more than b knows to be committed, and less than there is.
    let ack = EntriesAck { partition: 0, term: w.chart.term, node: "c".into(), durable: held, ..EntriesAck::default() };
    let mut out = Vec::new();
    let now = w.now;
    w.nodes.get_mut("b").expect("b").handle_entries_ack(ack.clone(), now, &mut out);
    let asks = |out: &[Effect]| out.iter().any(|e| matches!(e, Effect::SubmitOrder(o) if o.node == "c"));
    assert!(!asks(&out), "{held} of {all} is not all that may have been committed");
    w.nodes.get_mut("b").expect("b").handle_entries_ack(EntriesAck { durable: all, ..ack }, now, &mut out);
    assert!(asks(&out), "now it holds everything");
}

#[test]
fn a_snapshot_takes_nothing_back_that_is_held_behind_it() {
    let mut w = with_traffic(&["a", "b"]);
    let end = w.nodes["b"].end();
    // What b was told to be committed is less than what it holds, and has acknowledged.
    let mut d = w.disks["b"].clone();
    d.meta.commit = end - 10;
    w.disks.insert("b".into(), d.clone());
    w.crash("b");
    let position = end - 5;
    let data: Bytes = w.nodes["a"].state.snapshot().encode_to_vec().into();
    let term = w.nodes["b"].term;
    let position_term = d.log[&position].term;
    let c = Chunk { term, owner: "a".into(), position, position_term, last: true, data, ..Chunk::default() };
    w.step("b", |m, now, out| m.handle_chunk(c, now, out));
    w.settle();
    assert_eq!(w.nodes["b"].end(), end, "the owner counts on what it said that it holds");
    assert!(w.disks["b"].log.contains_key(&end));
    assert!(w.nodes["b"].commit >= position);
}

#[test]
fn an_owner_takes_no_report_before_it_has_folded_what_it_took_over() {
    let mut w = with_traffic(&["a", "b"]);
    // b takes over; another member of the set is silent, so nothing is committed yet.
    let mut known = w.disks["b"].clone();
    known.meta.commit -= 5;
    w.disks.insert("b".into(), known);
    w.crash("b");
    taken_over_without_the_last_commits(&mut w);
    w.mute = true;
    w.tell();
    let b = &w.nodes["b"];
    assert!(b.is_writable() && !b.accepts_reports(), "what it does not find may be in its log");
    w.chart.in_sync = vec!["b".into()];
    w.chart.changed += 1;
    w.tell();
    w.settle();
    assert!(w.nodes["b"].accepts_reports());
}

/// The owner's time as its service reads it.
fn owner_time(w: &mut World, node: &str, cluster_ms: u64) -> u64 {
    let now = w.now;
    w.nodes.get_mut(node).expect("a node").owner_time(Some(cluster_ms), now)
}

#[test]
fn a_successor_goes_on_with_the_owners_time_whatever_the_clusters_is() {
    let mut w = World::new(&["a", "b"]);
    let began = owner_time(&mut w, "a", 1_790_000_000_000);
    w.message("m");
    let (at, owner) = (w.now, owner_time(&mut w, "a", began));
    assert_eq!(w.nodes["b"].time(at), Some(owner), "the owner says it with its entries");
    w.now += 3_000;
    w.seize("b");
    let successor = owner_time(&mut w, "b", began + 90_000);
    assert_eq!(successor, owner + 3_000);
}

#[test]
fn a_replica_that_restarted_takes_the_clusters_time_but_never_goes_behind_its_log() {
    let mut w = World::new(&["a", "b"]);
    w.message("m");
    let written = w.now;
    w.crash("b");
    assert_eq!(w.nodes["b"].time(w.now), None);
    assert_eq!(w.nodes["b"].reached_ms(w.now), written);
    w.seize("b");
    assert_eq!(owner_time(&mut w, "b", 1), written, "also of what was not known to be committed");
    let mut w = World::new(&["a", "b"]);
    w.message("m");
    w.crash("b");
    w.seize("b");
    assert_eq!(owner_time(&mut w, "b", 1_790_000_000_000), 1_790_000_000_000);
}

#[test]
fn an_owner_with_messages_that_have_not_ended_writes_how_much_time_has_passed() {
    let mut w = World::new(&["a", "b"]);
    w.message("m");
    w.pass(10 * TIMING.epoch_interval_ms);
    let at = w.now;
    w.pass(9 * TIMING.epoch_interval_ms);
    assert!(w.nodes["b"].reached_ms(w.now) >= at, "also while nothing else is written");
    // Once all has ended the log rests.
    let position = w.nodes["a"].state.find("", "m").expect("it is there");
    let done = AnswerRecord { position, outcome: Outcome::Done as i32, result_tag: "t".into(), attempt: position };
    w.append(Entry::Answer(done));
    w.pass(10 * TIMING.epoch_interval_ms);
    let end = w.nodes["a"].end();
    w.pass(20 * TIMING.epoch_interval_ms);
    assert_eq!(w.nodes["a"].end(), end);
}

fn operation(low: u64) -> Option<OperationId> {
    Some(OperationId { high: 1, low })
}

impl World {
    /// One try at an operation: the position that its client would be told.
    fn try_operation(&mut self, id: &str, low: u64) -> u64 {
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
fn a_key_is_known_after_a_planned_move_and_after_a_take_over() {
    let mut w = with_traffic(&["a", "b"]);
    let first = w.try_operation("o1", 1);
    w.pass(1500);
    let now = w.now;
    w.step("a", |m, t, out| m.start_move("b", false, now, t, out));
    w.settle();
    w.pass(700);
    assert_eq!(w.owner(), "b");
    assert_eq!(w.try_operation("o1-again", 1), first);
    w.cut.insert("b".into());
    w.seize("a");
    assert_eq!(w.owner(), "a");
    assert_eq!(w.try_operation("o1-once-more", 1), first);
    assert_eq!(w.mismatches, 0);
}

#[test]
fn a_key_whose_answer_was_lost_with_its_owner_has_one_message() {
    let mut w = with_traffic(&["a", "b"]);
    // The follower holds it, the owner's disk has not answered: nobody was told anything.
    w.hold_sync.insert("a".into());
    w.hold_sync.insert("b".into());
    let written = w.append(accept_of("o1", 1)).expect("written");
    w.hold_sync.remove("b");
    w.settle();
    assert!(w.nodes["b"].state.find_duplicate(&item_of("x", 1), w.now).is_none(), "not committed");
    w.crash("a");
    w.cut.insert("a".into());
    // Its client comes again before the new owner has folded what it took over.
    w.hold_sync.insert("b".into());
    w.seize("b");
    let again = w.append(accept_of("o1-again", 1));
    w.hold_sync.remove("b");
    w.settle();
    let known = w.nodes["b"].state.find_duplicate(&item_of("x", 1), w.now);
    assert_eq!(known, Some(written), "the repeat at {again:?} is the first one");
    assert_eq!(w.nodes["b"].state.messages.values().filter(|m| m.item.tenant == "t").count(), 1);
}

#[test]
fn keys_are_there_after_all_power_was_lost() {
    let mut w = with_traffic(&["a", "b"]);
    let first = w.try_operation("o1", 1);
    w.step("a", |m, _, out| m.compact(0, out));
    let second = w.try_operation("o2", 2);
    w.pass(100);
    for n in ["a", "b"] {
        w.crash(n);
    }
    w.seize("b");
    assert_eq!((w.try_operation("o1-again", 1), w.try_operation("o2-again", 2)), (first, second));
    w.cut.insert("b".into());
    w.crash("a");
    w.seize("a");
    assert_eq!((w.try_operation("o1-third", 1), w.try_operation("o2-third", 2)), (first, second));
}

#[test]
fn a_replica_that_joins_by_snapshot_knows_the_keys() {
    let mut w = World::new(&["a"]);
    w.chart.replicas = vec!["a".into(), "c".into()];
    let first = w.try_operation("o1", 1);
    for n in 0..600 {
        w.message(&format!("m{n}"));
    }
    w.tell();
    w.pass(3000);
    assert!(w.chart.in_sync.contains(&"c".to_string()));
    w.cut.insert("a".into());
    w.seize("c");
    assert_eq!(w.try_operation("o1-again", 1), first);
}

fn item_of(id: &str, low: u64) -> Item {
    Item { id: id.into(), route: "r".into(), tenant: "t".into(), operation: operation(low), ..Item::default() }
}

fn accept_of(id: &str, low: u64) -> Entry {
    Entry::Accept(AcceptRecord { item: item_of(id, low), delay_ms: 0, generations: None })
}

#[test]
fn a_follower_that_the_owner_does_not_hear_is_replaced_and_no_copy_is_missing_meanwhile() {
    let mut w = World::new(&["a", "b"]);
    for node in w.nodes.values_mut() {
        node.incarnation = 1;
    }
    w.pass(5000);
    w.append(Entry::Routes(Routes { revision: 2, ..Routes::default() })).expect("written");
    w.pass(5000);
    assert!(w.unheard.is_empty(), "it is heard");
    // The link of this pair only: the control nodes hear both, so nobody is given up.
    w.cut.insert("b".into());
    w.pass(5000);
    assert!(w.unheard.is_empty(), "nothing was owed");
    let second = w.message("m2").expect("written");
    w.pass(500);
    assert!(w.unheard.is_empty(), "it may come yet");
    assert!(w.nodes["a"].commit < second, "committed without it");
    let mut least = usize::MAX;
    for _ in 0..100 {
        w.pass(50);
        w.tell();
        w.settle();
        least = least.min(w.chart.in_sync.len());
    }
    assert_eq!(w.unheard, ["b"]);
    assert_eq!((w.chart.in_sync.clone(), least), (vec!["a".to_owned(), "c".to_owned()], 2));
    assert!(w.nodes["a"].commit >= second, "it goes on");
    assert!(w.nodes["c"].durable >= second, "on as many disks as before");
}
