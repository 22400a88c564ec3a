//! A partition on three nodes with simulated disks and links.

// Each test file uses a part of it.
#![allow(dead_code)]

use bytes::Bytes;
use partition::*;
use prost::Message;
use rpc::Body;
use rpc::messages::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

pub const TIMING: Timing = Timing {
    epoch_interval_ms: 500,
    match_window_ms: 300,
    resend_ms: 250,
    status_ms: 100_000,
    operations_ms: 60_000,
    log_cache_bytes: 1 << 20,
};

#[derive(Default, Clone)]
pub struct Disk {
    pub meta: Meta,
    pub log: BTreeMap<u64, LogEntry>,
    pub snapshot: Option<Bytes>,
}

/// Three nodes with one partition, and a minimal simulation of the control nodes.
pub struct Cluster {
    pub now: u64,
    pub nodes: BTreeMap<String, PartitionReplica>,
    pub disks: BTreeMap<String, Disk>,
    /// Writes that have not been synced yet.
    pub unsynced: BTreeMap<String, VecDeque<(Disk, u64, u64)>>,
    pub sync_blocked: BTreeSet<String>,
    pub disconnected: BTreeSet<String>,
    pub network: VecDeque<(String, Body)>,
    pub assignment: Partition,
    pub takeovers: Vec<(String, u64, bool)>,
    pub step_downs: Vec<String>,
    pub mismatches: usize,
    /// Followers for which the owner requested a replacement.
    pub replace_requests: Vec<String>,
    /// Nodes of a build that states no limit: longer frames than `FRAME_LIMIT` do not reach them.
    pub old_builds: BTreeSet<String>,
    /// Orders are not answered.
    pub orders_blocked: bool,
}

impl Cluster {
    pub fn new(in_sync: &[&str]) -> Cluster {
        let names: Vec<String> = in_sync.iter().map(|s| s.to_string()).collect();
        let assignment = Partition {
            id: 0,
            term: 1,
            owner: names[0].clone(),
            in_sync: names.clone(),
            replicas: names.clone(),
            ..Partition::default()
        };
        let mut cluster = Cluster {
            now: 1000,
            nodes: ["a", "b", "c"].iter().map(|n| (n.to_string(), PartitionReplica::new(0, n, TIMING))).collect(),
            disks: BTreeMap::new(),
            unsynced: BTreeMap::new(),
            sync_blocked: BTreeSet::new(),
            disconnected: BTreeSet::new(),
            network: VecDeque::new(),
            assignment,
            takeovers: vec![],
            step_downs: vec![],
            mismatches: 0,
            replace_requests: vec![],
            old_builds: BTreeSet::new(),
            orders_blocked: false,
        };
        cluster.send_assignment();
        cluster.run_until_idle();
        let routes = RouteFacts { route: "r".into(), tries: 3, retain_ms: 0 };
        cluster.append(Entry::Routes(Routes { revision: 1, routes: vec![routes], ..Routes::default() }));
        cluster
    }

    pub fn step(&mut self, node: &str, f: impl FnOnce(&mut PartitionReplica, u64, &mut Vec<Effect>)) {
        let mut out = Vec::new();
        if let Some(replica) = self.nodes.get_mut(node) {
            f(replica, self.now, &mut out);
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
                    d.snapshot = snapshot.map(|snapshot| snapshot.concat()).or(d.snapshot);
                    q.push_back((d, term, end));
                }
                Effect::Send(to, Body::EntriesAck(ack)) if self.old_builds.contains(node) => {
                    let ack = EntriesAck { max_record_bytes: 0, ..ack };
                    self.network.push_back((to, Body::EntriesAck(ack)));
                }
                Effect::Send(to, body) => self.network.push_back((to, body)),
                Effect::BecameOwner { seized } => self.takeovers.push((node.into(), self.nodes[node].term, seized)),
                Effect::SteppedDown(_) => self.step_downs.push(node.into()),
                Effect::SubmitOrder(o) => self.handle_order(node, o),
                Effect::DigestMismatch(_) => self.mismatches += 1,
                Effect::Applied(_) => {}
            }
        }
    }

    /// Decides on an order like the control nodes do, as far as these tests need it.
    pub fn handle_order(&mut self, node: &str, o: Order) {
        if self.orders_blocked {
            return;
        }
        let mut ack = OrderAck { ok: true, ..OrderAck::default() };
        let c = &mut self.assignment;
        match OrderKind::try_from(o.kind).expect("a known kind") {
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
                self.replace_requests.push(o.node.clone());
                let other = ["a", "b", "c"].into_iter().find(|n| !c.replicas.iter().any(|r| r == n));
                c.replicas.retain(|n| *n != o.node);
                c.replicas.extend(other.map(str::to_owned));
            }
            _ => ack.refused = true,
        }
        ack.partition = Some(c.clone());
        let node = node.to_owned();
        self.step(&node, |replica, now, out| replica.handle_order_ack(&o, &ack, now, out));
    }

    pub fn send_assignment(&mut self) {
        let c = self.assignment.clone();
        for n in ["a", "b", "c"] {
            self.step(n, |replica, now, out| replica.handle_assignment(&c, now, out));
        }
    }

    /// Completes writes and delivers messages until none are left.
    pub fn run_until_idle(&mut self) {
        loop {
            let mut moved = false;
            for n in ["a", "b", "c"] {
                while !self.sync_blocked.contains(n) && self.unsynced.get(n).is_some_and(|q| !q.is_empty()) {
                    let (d, term, end) =
                        self.unsynced.get_mut(n).and_then(|q| q.pop_front()).expect("an unsynced write");
                    self.disks.insert(n.into(), d);
                    self.step(n, |replica, now, out| replica.handle_synced(term, end, now, out));
                    moved = true;
                }
            }
            while let Some((to, body)) = self.network.pop_front() {
                moved = true;
                if self.disconnected.contains(&to) {
                    continue;
                }
                let envelope = Envelope { body: Some(body), ..Envelope::default() };
                if self.old_builds.contains(&to) && envelope.encoded_len() > rpc::FRAME_LIMIT {
                    continue;
                }
                let Some(body) = envelope.body else { continue };
                self.step(&to, |replica, now, out| match body {
                    Body::Entries(e) => replica.handle_entries(e, now, out),
                    Body::EntriesAck(a) => replica.handle_entries_ack(a, now, out),
                    Body::Chunk(c) => replica.handle_chunk(c, now, out),
                    _ => {}
                });
            }
            if !moved {
                return;
            }
        }
    }

    pub fn advance(&mut self, ms: u64) {
        for _ in 0..ms / 50 {
            self.now += 50;
            for n in ["a", "b", "c"] {
                let at = self.now;
                self.step(n, |replica, now, out| replica.tick(now, at, out));
            }
            self.run_until_idle();
        }
    }

    pub fn owner(&self) -> String {
        let all: Vec<&String> =
            self.nodes.iter().filter(|(_, replica)| replica.is_writable()).map(|(n, _)| n).collect();
        assert!(all.len() <= 1, "more than one writable replica: {all:?}");
        all.first().map(|s| s.to_string()).unwrap_or_default()
    }

    pub fn append(&mut self, e: Entry) -> Option<u64> {
        let (owner, at_ms) = (self.owner(), self.now);
        let mut pos = None;
        self.step(&owner, |replica, now, out| {
            pos = replica.append(&Record { at_ms, entry: Some(e) }, now, out);
            replica.flush(now, out);
        });
        self.run_until_idle();
        pos
    }

    pub fn append_message(&mut self, id: &str) -> Option<u64> {
        let item = Item { id: id.into(), route: "r".into(), body: vec![1; 100].into(), ..Item::default() };
        self.append(Entry::Accept(AcceptRecord { item, delay_ms: 0, generations: None }))
    }

    /// Restarts the node from its disk; writes that were not synced are lost.
    pub fn crash(&mut self, n: &str) {
        self.unsynced.remove(n);
        self.sync_blocked.remove(n);
        let d = self.disks.get(n).cloned().unwrap_or_default();
        let replica = PartitionReplica::reload(0, n, TIMING, &d.meta, d.snapshot, d.log.into_iter().collect())
            .expect("a consistent disk");
        self.nodes.insert(n.into(), replica);
    }

    /// Makes `n` the owner at a new term, like the control nodes do after the owner has failed.
    pub fn seize_ownership(&mut self, n: &str) {
        let term = self.assignment.grant.take().map_or(self.assignment.term, |g| g.term) + 1;
        self.assignment =
            Partition { term, owner: n.into(), in_sync: vec![n.into()], seized: true, ..self.assignment.clone() };
        self.send_assignment();
        self.run_until_idle();
    }

    pub fn has_message(&self, n: &str, id: &str) -> bool {
        self.nodes[n].state.find("", id).is_some()
    }
}

pub fn cluster_with_traffic(in_sync: &[&str]) -> Cluster {
    let mut cluster = Cluster::new(in_sync);
    for i in 0..20 {
        cluster.append_message(&format!("m{i}"));
        cluster.advance(100);
    }
    cluster
}
