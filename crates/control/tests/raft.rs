//! Raft with simulated links and disks, together with the real control state.

use bytes::Bytes;
use control::*;
use prost::Message;
use rpc::messages::{RaftEntry, RaftMessage};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

const TIMING: Timing = Timing { heartbeat: 100, election: 400 };
const ALL: [&str; 3] = ["a", "b", "c"];

#[derive(Clone, Default)]
struct Disk {
    hard: HardState,
    state: Bytes,
    log: BTreeMap<u64, RaftEntry>,
}

/// Identity of a request to replace the configuration at revision `base`.
fn request_digest(base: u64, revision: u64) -> Bytes {
    digest("replace", "", base, revision, b"")
}

/// A message above the frame limit would close its connection on every attempt to send it.
fn fits_in_frame(m: &RaftMessage) -> bool {
    assert!(m.encoded_len() < rpc::FRAME_LIMIT, "{} bytes in one message", m.encoded_len());
    true
}

struct Cluster {
    now: u64,
    nodes: BTreeMap<String, RaftNode>,
    disks: BTreeMap<String, Disk>,
    control_states: BTreeMap<String, ControlState>,
    applied: BTreeMap<String, Vec<(u64, ApplyResult)>>,
    down: BTreeSet<String>,
    /// Nodes on one side of a network partition, which reach only each other.
    isolated: BTreeSet<String>,
    in_flight: VecDeque<(String, RaftMessage)>,
}

impl Cluster {
    /// A cluster with a leader, and the leader's name.
    fn with_leader() -> (Cluster, String) {
        let mut w = Cluster::new();
        w.run_for(2000);
        let leader = w.leader().expect("a leader");
        (w, leader)
    }

    fn new() -> Cluster {
        Cluster::of(&ALL)
    }

    fn of(names: &[&str]) -> Cluster {
        let mut w = Cluster {
            now: 1_000_000,
            nodes: BTreeMap::new(),
            disks: BTreeMap::new(),
            control_states: BTreeMap::new(),
            applied: BTreeMap::new(),
            down: BTreeSet::new(),
            isolated: BTreeSet::new(),
            in_flight: VecDeque::new(),
        };
        let voters: Vec<String> = names.iter().map(|s| s.to_string()).collect();
        for n in names {
            let hard = HardState { voters: voters.clone(), may_vote: true, ..HardState::default() };
            w.disks.insert(n.to_string(), Disk { hard, ..Disk::default() });
            w.start(n);
        }
        w
    }

    fn start(&mut self, n: &str) {
        let d = self.disks[n].clone();
        let seed = n.as_bytes()[0] as u64 * 7919;
        let v = RaftNode::new(n, d.hard, d.state.clone(), d.log.into_values().collect(), TIMING, seed, self.now);
        self.nodes.insert(n.into(), v);
        self.control_states.insert(n.into(), ControlState::decode(d.state).expect("valid state"));
        self.applied.insert(n.into(), vec![]);
        self.down.remove(n);
    }

    fn step(&mut self, n: &str, e: Event) {
        let effects = self.nodes.get_mut(n).map(|v| v.step(self.now, e)).unwrap_or_default();
        for e in effects {
            match e {
                Effect::Save(s) => {
                    let d = self.disks.get_mut(n).expect("a disk");
                    if let Some((a, b)) = s.del {
                        d.log.retain(|i, _| *i < a || *i > b);
                    }
                    d.log.extend(s.put.into_iter().map(|e| (e.index, e)));
                    d.hard = s.hard.unwrap_or(d.hard.clone());
                    d.state = s.state.unwrap_or(d.state.clone());
                }
                Effect::Send(to, m) => self.in_flight.push_back((to, m)),
                Effect::Apply(e) => {
                    let a = self.control_states.get_mut(n).expect("a control state").apply(e.index, &e.data);
                    self.applied.get_mut(n).expect("a list").push((e.index, a));
                }
                Effect::Restore(s) => {
                    self.control_states.insert(n.into(), ControlState::decode(s).expect("valid state"));
                }
                _ => {}
            }
        }
    }

    /// Whether following the redirects to the leader from any node ends.
    fn redirects_terminate(&self) -> bool {
        self.nodes.keys().all(|n| {
            let mut at = n.as_str();
            for _ in 0..self.nodes.len() {
                match self.nodes.get(at).map(|v| v.known_leader(self.now)) {
                    Some(to) if !to.is_empty() && to != at => at = to,
                    _ => return true,
                }
            }
            false
        })
    }

    fn run_for(&mut self, ms: u64) {
        for _ in 0..ms / 10 {
            self.now += 10;
            assert!(self.redirects_terminate(), "clients are redirected in a circle");
            for n in self.nodes.keys().cloned().collect::<Vec<_>>() {
                if !self.down.contains(&n) {
                    self.step(&n, Event::Tick);
                }
            }
            for _ in 0..self.in_flight.len() {
                if let Some((to, m)) = self.in_flight.pop_front()
                    && fits_in_frame(&m)
                    && !self.down.contains(&to)
                    && !self.down.contains(&m.from)
                    && self.isolated.contains(&to) == self.isolated.contains(&m.from)
                {
                    self.step(&to, Event::Message(m));
                }
            }
        }
    }

    /// Delivers the messages in flight to one node, without time passing.
    fn deliver(&mut self, n: &str) {
        for _ in 0..self.in_flight.len() {
            match self.in_flight.pop_front() {
                Some((to, m)) if to == n => self.step(n, Event::Message(m)),
                other => self.in_flight.extend(other),
            }
        }
    }

    fn leader(&self) -> Option<String> {
        let held: Vec<&String> = self
            .nodes
            .iter()
            .filter(|(n, v)| !self.down.contains(*n) && v.holds_leadership(self.now))
            .map(|(n, _)| n)
            .collect();
        assert!(held.len() <= 1, "two leaders: {held:?}");
        held.first().map(|s| s.to_string())
    }

    fn put(&mut self, n: &str, base: u64, revision: u64) {
        let t = PutConfiguration {
            base,
            revision,
            json: Bytes::from(format!("{revision}")),
            digest: request_digest(base, revision),
            change: Bytes::new(),
        };
        let data = Command { payload: Some(CommandPayload::Configuration(t)), at_ms: 0 }.encode_to_vec();
        self.step(n, Event::Propose(data.into()));
    }

    fn wipe(&mut self, n: &str) {
        let voters = ALL.iter().map(|s| s.to_string()).collect();
        self.disks.insert(n.into(), Disk { hard: HardState { voters, ..HardState::default() }, ..Disk::default() });
        self.start(n);
    }
}

#[test]
fn acknowledged_entries_survive_the_loss_of_the_leader() {
    let (mut w, first) = Cluster::with_leader();
    w.put(&first, 0, 3);
    w.run_for(200);
    assert!(w.control_states.values().all(|r| r.revision == 3));
    w.down.insert(first.clone());
    w.run_for(3000);
    let second = w.leader().expect("another leader");
    assert_ne!(first, second);
    assert_eq!(w.control_states[&second].revision, 3);
    w.put(&second, 3, 5);
    w.run_for(200);
    assert!(w.nodes[&second].serves_until(w.now) > w.now);
    w.start(&first);
    w.run_for(1000);
    assert_eq!(w.control_states[&first].revision, 5, "it replays its log and catches up");
}

#[test]
fn of_two_configurations_on_one_base_one_is_accepted() {
    let (mut w, leader) = Cluster::with_leader();
    w.put(&leader, 0, 3);
    w.put(&leader, 0, 4);
    w.run_for(300);
    for n in ALL {
        let got: Vec<ApplyResult> = w.applied[n].iter().map(|a| a.1).collect();
        assert_eq!(got[got.len() - 2..], [ApplyResult::Done, ApplyResult::Conflict]);
        assert_eq!(w.control_states[n].revision, 3);
        assert!(
            w.control_states[n].knows_configuration(&request_digest(0, 3))
                && !w.control_states[n].knows_configuration(&request_digest(0, 4))
        );
    }
}

#[test]
fn without_a_majority_nothing_is_committed() {
    let (mut w, leader) = Cluster::with_leader();
    let others: Vec<&str> = ALL.into_iter().filter(|n| *n != leader).collect();
    w.down.extend(others.iter().map(|s| s.to_string()));
    w.put(&leader, 0, 3);
    w.run_for(3000);
    assert_eq!(w.leader(), None, "its lease has expired");
    assert_eq!(w.control_states[&leader].revision, 0);
    for o in others {
        w.start(o);
    }
    w.run_for(3000);
    assert!(w.leader().is_some());
}

#[test]
fn a_node_that_lost_its_disk_does_not_vote_until_readmitted() {
    let (mut w, leader) = Cluster::with_leader();
    w.put(&leader, 0, 3);
    w.run_for(300);
    let others: Vec<&str> = ALL.into_iter().filter(|n| *n != leader).collect();
    let (lost, other) = (others[0], others[1]);
    // The third node is down, so there is no majority without the node that lost its disk.
    w.down.insert(other.into());
    w.wipe(lost);
    w.run_for(1000);
    assert!(!w.nodes[lost].hard.may_vote);
    w.start(other);
    w.run_for(1000);
    assert!(w.nodes[lost].hard.may_vote, "readmitted once it has the whole log and the others follow");
    assert_eq!(w.control_states[lost].revision, 3);
    w.down.insert(leader);
    w.run_for(3000);
    assert!(w.leader().is_some(), "its vote counts again");
}

#[test]
fn the_leader_transfers_leadership() {
    let (mut w, leader) = Cluster::with_leader();
    w.step(&leader, Event::StepDown);
    w.run_for(100);
    let next = w.leader().expect("a successor without an election timeout");
    assert_ne!(next, leader);
}

#[test]
fn a_follower_behind_a_compacted_log_gets_a_snapshot() {
    let (mut w, leader) = Cluster::with_leader();
    let late = ALL.into_iter().find(|n| *n != leader).expect("another");
    w.down.insert(late.into());
    for r in 1..20 {
        w.put(&leader, r - 1, r);
        w.run_for(50);
    }
    let state = w.control_states[&leader].encode_to_vec();
    let index = w.nodes[&leader].applied();
    w.step(&leader, Event::Snapshot { index, state: state.into() });
    w.start(late);
    w.run_for(1000);
    assert_eq!(w.control_states[late].revision, 19);
    // The snapshot is on its disk.
    let d = &w.disks[late];
    assert!(d.log.len() < 5 && d.hard.base >= index - 1);
}

#[test]
fn after_a_restart_of_all_nodes_no_lease_is_valid_before_the_log_is_applied() {
    let (mut w, leader) = Cluster::with_leader();
    w.put(&leader, 0, 3);
    w.run_for(300);
    for n in ALL {
        w.start(n);
    }
    for _ in 0..300 {
        w.run_for(10);
        for n in ALL {
            let v = &w.nodes[n];
            assert!(
                v.serves_until(w.now) <= w.now || w.control_states[n].revision == 3,
                "{n} would answer from an empty state"
            );
        }
    }
    assert!(ALL.iter().any(|n| w.nodes[*n].serves_until(w.now) > w.now));
}

const VOTER_TIMEOUT: u64 = 2000;

impl Cluster {
    /// Adds a control node with an empty disk and an unknown address.
    fn add_empty_node(&mut self, n: &str) {
        self.disks.insert(n.into(), Disk::default());
        self.start(n);
    }

    /// Lets time pass, with the leader's periodic membership changes.
    fn run_duties(&mut self, ms: u64) {
        for _ in 0..ms / 50 {
            self.run_for(50);
            let Some(leader) = self.leader() else { continue };
            let up: Vec<String> = self.nodes.keys().filter(|n| !self.down.contains(*n)).cloned().collect();
            let zones: Vec<(String, String)> = up.iter().map(|n| (n.clone(), format!("zone-{n}"))).collect();
            match self.nodes[&leader].next_voters(&zones, 3, VOTER_TIMEOUT, self.now) {
                Some(v) => self.step(&leader, Event::SetVoters(v)),
                None => self.step(&leader, Event::ControlNodes(up)),
            }
        }
    }
}

#[test]
fn a_lost_voter_is_replaced_by_a_newcomer_one_change_at_a_time() {
    let (mut w, leader) = Cluster::with_leader();
    w.put(&leader, 0, 3);
    w.run_for(200);
    let lost = ALL.iter().find(|n| **n != leader).expect("another").to_string();
    w.down.insert(lost.clone());
    w.add_empty_node("n");
    w.run_duties(500);
    assert_eq!(w.nodes["n"].voters().len(), 3, "it learns the voters from the log");
    assert!(w.nodes[&leader].voters().contains(&lost), "a voter silent for less than VOTER_TIMEOUT stays");
    w.run_duties(4000);
    let leader = w.leader().expect("a leader");
    let mut now = w.nodes[&leader].voters().to_vec();
    now.sort();
    assert!(now.contains(&"n".to_string()) && !now.contains(&lost) && now.len() == 3, "{now:?}");
    assert_eq!(w.control_states["n"].revision, 3);
    // The new voter counts: without the leader, it and the remaining voter are a majority.
    w.down.insert(leader.clone());
    w.run_for(3000);
    let d = w.leader().expect("the new voter completes the majority");
    w.put(&d, 3, 5);
    w.run_for(300);
    assert_eq!(w.control_states[&d].revision, 5);
    // The replaced voter comes back and must not become leader.
    w.start(&lost);
    w.down.insert(d.clone());
    w.run_for(5000);
    assert!(w.leader().is_none_or(|leader| leader != lost), "it is no voter any more");
}

#[test]
fn an_unresponsive_learner_is_not_made_a_voter() {
    let (mut w, leader) = Cluster::with_leader();
    let lost = ALL.iter().find(|n| **n != leader).expect("another").to_string();
    w.down.insert(lost);
    w.add_empty_node("n");
    w.down.insert("n".into());
    let up = vec![(leader.clone(), "z".to_string()), ("n".into(), "y".into())];
    for _ in 0..100 {
        w.run_for(50);
        let v = &w.nodes[&leader];
        assert_eq!(v.next_voters(&up, 3, VOTER_TIMEOUT, w.now), None, "it never responded");
    }
}

#[test]
fn a_restarted_voter_waits_before_it_votes() {
    let (mut w, leader) = Cluster::with_leader();
    let other = ALL.iter().find(|n| **n != leader).expect("another").to_string();
    w.start(&other);
    let term = w.nodes[&leader].hard.term + 1;
    let mut ask = RaftMessage {
        from: leader.clone(),
        term,
        kind: rpc::messages::RaftMessageKind::RequestVote as i32,
        ..RaftMessage::default()
    };
    (ask.index, ask.log_term) = (1000, term);
    w.in_flight.clear();
    w.step(&other, Event::Message(ask.clone()));
    assert!(w.in_flight.iter().all(|(_, m)| !m.ok), "the old leader's lease may still rest on its vote");
    w.now += TIMING.election;
    w.step(&other, Event::Message(ask));
    assert!(w.in_flight.iter().any(|(_, m)| m.ok));
}

#[test]
fn authority_runs_out_by_the_clock_without_a_step() {
    let (mut w, leader) = Cluster::with_leader();
    let until = w.nodes[&leader].serves_until(w.now);
    assert!(
        until > w.now && until <= w.now + TIMING.election * 7 / 8,
        "the lease is shorter than the election timeout, as clock rates differ"
    );
    // While frozen or waiting for its disk, the leader processes no events. The lease that it
    // computed last must end before another leader can be elected.
    w.down.insert(leader.clone());
    for _ in 0..200 {
        w.run_for(10);
        if w.nodes.iter().any(|(n, v)| *n != leader && v.role == StateRole::Leader) {
            assert!(w.now >= until);
            return;
        }
    }
    panic!("nobody became the leader");
}

#[test]
fn messages_of_unknown_nodes_are_ignored() {
    let (mut w, leader) = Cluster::with_leader();
    let before = w.nodes[&leader].hard.term;
    let ask = RaftMessage {
        from: "x".into(),
        term: before + 5,
        index: 99,
        log_term: 99,
        ok: true,
        kind: rpc::messages::RaftMessageKind::RequestVote as i32,
        ..RaftMessage::default()
    };
    for n in ALL {
        w.step(n, Event::Message(ask.clone()));
        assert_eq!(w.nodes[n].hard.term, before);
    }
}

#[test]
fn after_a_restart_of_all_nodes_the_election_does_not_wait_for_an_old_lease() {
    let (mut w, leader) = Cluster::with_leader();
    w.put(&leader, 0, 3);
    w.run_for(300);
    w.in_flight.clear();
    for n in ALL {
        w.start(n);
    }
    w.run_for(TIMING.election * 3 / 4);
    let leader = w.leader().expect("a leader already");
    assert_eq!(w.control_states[&leader].revision, 3);
    // If the old leader did not restart, the others wait for its lease to end.
    let alone: Vec<String> = ALL.iter().filter(|n| **n != leader).map(|n| n.to_string()).collect();
    for n in &alone {
        w.start(n);
    }
    w.down.insert(leader.clone());
    w.run_for(TIMING.election - 20);
    assert!(alone.iter().all(|n| w.nodes[n].role != StateRole::Leader), "the old leader's lease may still be valid");
    w.run_for(3000);
    assert!(w.leader().is_some());
}

#[test]
fn of_two_changes_on_either_side_of_a_cut_one_is_confirmed() {
    let (mut w, old) = Cluster::with_leader();
    w.put(&old, 0, 3);
    w.run_for(200);
    w.isolated.insert(old.clone());
    // Appended by the isolated leader while its lease is still valid.
    w.put(&old, 3, 5);
    let until = w.nodes[&old].serves_until(w.now);
    let mut new = None;
    for _ in 0..300 {
        w.run_for(10);
        new = w.nodes.iter().find(|(n, v)| **n != old && v.role == StateRole::Leader).map(|(n, _)| n.clone());
        if new.is_some() {
            break;
        }
    }
    let new = new.expect("a leader on the side of the majority");
    assert!(w.now >= until && w.nodes[&old].serves_until(w.now) <= w.now, "two leases are valid at the same time");
    w.put(&new, 3, 7);
    w.run_for(300);
    assert_eq!((w.control_states[&new].revision, w.control_states[&old].revision), (7, 3));
    w.isolated.clear();
    w.run_for(3000);
    assert!(
        w.control_states.values().all(|r| r.revision == 7 && !r.knows_configuration(&request_digest(3, 5))),
        "the isolated leader's entry must not be committed"
    );
}

#[test]
fn large_entries_are_sent_in_several_messages_to_a_lagging_node() {
    let mut w = Cluster::new();
    w.run_for(3000);
    let leader = w.leader().expect("a leader");
    let away = ALL.iter().find(|n| **n != leader).expect("another").to_string();
    w.down.insert(away.clone());
    for n in 0..30u64 {
        let json = Bytes::from(vec![b' '; 400 << 10]);
        let t =
            PutConfiguration { base: n, revision: n + 1, json, digest: request_digest(n, n + 1), change: Bytes::new() };
        let data = Command { payload: Some(CommandPayload::Configuration(t)), at_ms: 0 }.encode_to_vec();
        w.step(&leader, Event::Propose(data.into()));
        w.run_for(50);
    }
    assert_eq!(w.control_states[&leader].revision, 30);
    assert!(w.nodes[&leader].applied_log_bytes() > 2 * rpc::FRAME_LIMIT);
    w.start(&away);
    w.run_for(3000);
    assert_eq!(w.control_states[&away].revision, 30);
}

#[test]
fn one_that_lacks_the_log_is_sent_it_once_however_much_is_under_way() {
    for cut in [false, true] {
        let mut w = Cluster::new();
        w.run_for(3000);
        let leader = w.leader().expect("a leader");
        let away = ALL.iter().find(|n| **n != leader).expect("another").to_string();
        w.down.insert(away.clone());
        let put = |n: u64| {
            let t = PutConfiguration {
                base: n,
                revision: n + 1,
                json: vec![b' '; 20_000].into(),
                digest: request_digest(n, n + 1),
                change: Bytes::new(),
            };
            Event::Propose(Command { payload: Some(CommandPayload::Configuration(t)), at_ms: 0 }.encode_to_vec().into())
        };
        for n in 0..30 {
            w.step(&leader, put(n));
            w.run_for(50);
        }
        if cut {
            let (index, state) = (w.nodes[&leader].applied(), w.control_states[&leader].encode_to_vec().into());
            w.step(&leader, Event::Snapshot { index, state });
        }
        w.start(&away);
        // Two hundred changes at the same time, as when all partition owners restart.
        for n in 30..230 {
            w.step(&leader, put(n));
        }
        let (mut sent, mut last) = (0, w.now);
        while w.control_states[&away].revision < 230 {
            sent += w.in_flight.iter().filter(|(to, _)| *to == away).map(|(_, m)| m.encoded_len()).sum::<usize>();
            w.run_for(10);
            assert!(w.now < last + 2000, "has not caught up after {sent} bytes");
        }
        last = w.now;
        let whole = 230 * 20_000;
        assert!(sent < 2 * whole + 400_000, "{sent} bytes by {last} for a log of {whole}");
    }
}

#[test]
fn a_leader_that_has_cut_its_log_goes_on() {
    let (mut w, leader) = Cluster::with_leader();
    w.put(&leader, 0, 3);
    w.run_for(300);
    let (index, state) = (w.nodes[&leader].applied(), w.control_states[&leader].encode_to_vec());
    w.step(&leader, Event::Snapshot { index, state: state.into() });
    assert_eq!((w.nodes[&leader].log_len(), w.nodes[&leader].hard.base), (0, index));
    assert!(w.nodes[&leader].serves_until(w.now) > w.now, "compaction must not end the lease");
    w.run_for(2000);
    assert!(w.nodes[&leader].serves_until(w.now) > w.now);
    // A leader that starts with only a snapshot first applies an entry of its own term.
    for n in ALL {
        w.start(n);
    }
    w.run_for(2000);
    let leader = w.leader().expect("a leader");
    assert!(w.nodes[&leader].serves_until(w.now) > w.now);
}

#[test]
fn leaving_is_a_matter_of_one_incarnation() {
    let names = ["a", "b", "c", "d", "e"];
    let mut w = Cluster::of(&names);
    w.run_for(2000);
    let old = w.leader().expect("a leader");
    w.put(&old, 0, 3);
    w.run_for(300);
    let told: Vec<&str> = names.into_iter().filter(|n| *n != old).take(3).collect();
    for n in &told {
        w.step(n, Event::Leave);
    }
    w.step(&old, Event::Leave);
    // A hard state is saved meanwhile; it must not contain that the nodes are leaving.
    w.run_for(3000);
    for n in names {
        w.start(n);
    }
    w.run_for(4000);
    let l = w.leader().expect("the restarted voters can campaign again");
    assert_eq!(w.control_states[&l].revision, 3);
}

#[test]
fn readmission_counts_the_voters_in_force() {
    let (mut w, leader) = Cluster::with_leader();
    w.put(&leader, 0, 3);
    let others: Vec<&str> = ALL.into_iter().filter(|n| *n != leader).collect();
    // One voter is replaced by a new node; then the other voter loses its disk.
    w.down.insert(others[0].into());
    w.add_empty_node("n");
    w.run_duties(6000);
    assert_eq!(w.leader().as_ref(), Some(&leader));
    let in_force = w.nodes[&leader].voters().to_vec();
    assert!(in_force.contains(&"n".to_string()) && !in_force.contains(&others[0].to_string()), "{in_force:?}");
    w.disks.insert(others[1].into(), Disk::default());
    w.start(others[1]);
    w.run_duties(4000);
    assert!(w.nodes[others[1]].hard.may_vote, "the leader and the new voter are a majority without it");
    // The removed voter must not count towards that majority. The new voter is down now.
    w.down.insert("n".into());
    w.start(others[0]);
    w.disks.insert(others[1].into(), Disk::default());
    w.start(others[1]);
    for _ in 0..40 {
        w.run_for(50);
        if let Some(leader) = w.leader() {
            // The removed voter has a live session, so it stays a learner.
            w.step(&leader, Event::ControlNodes(vec![others[0].into()]));
        }
    }
    assert!(!w.nodes[others[1]].hard.may_vote, "a node that is not a voter was counted");
}

#[test]
fn one_without_a_vote_is_readmitted_however_many_rounds_go_by() {
    let (mut w, leader) = Cluster::with_leader();
    let others: Vec<&str> = ALL.into_iter().filter(|n| *n != leader).collect();
    w.down.insert(others[1].into());
    w.wipe(others[0]);
    w.run_for(500);
    // Many rounds pass before the voter that is needed for the majority is back.
    for r in 1..=300 {
        w.put(&leader, r - 1, r);
        w.run_for(10);
    }
    w.start(others[1]);
    w.run_for(3000);
    assert!(w.nodes[others[0]].hard.may_vote);
}

/// The messages of one kind that are in flight to a node.
fn sent_to(w: &Cluster, to: &str, kind: rpc::messages::RaftMessageKind) -> Vec<RaftMessage> {
    w.in_flight.iter().filter(|(t, m)| t == to && m.kind == kind as i32).map(|(_, m)| m.clone()).collect()
}

#[test]
fn votes_for_an_earlier_campaign_are_not_counted() {
    use rpc::messages::RaftMessageKind;
    let (mut w, leader) = Cluster::with_leader();
    let others: Vec<&str> = ALL.into_iter().filter(|n| *n != leader).collect();
    w.down.insert(leader.clone());
    // A node campaigns, and the votes for it stay in flight.
    let (a, b) = (others[0], others[1]);
    let mut held = Vec::new();
    for _ in 0..400 {
        w.now += 10;
        w.step(a, Event::Tick);
        w.deliver(b);
        let real = sent_to(&w, a, RaftMessageKind::Vote).into_iter().find(|m| m.ok && !m.pre_vote);
        if let Some(m) = real {
            held.push(m);
            break;
        }
        w.deliver(a);
    }
    let vote = held.pop().expect("a vote");
    w.in_flight.clear();
    // A late vote must not count, as the voter may have lost its disk and voted again.
    w.now += 2 * TIMING.election;
    w.step(a, Event::Message(vote.clone()));
    assert_ne!(w.nodes[a].role, StateRole::Leader, "a vote that came too late");
    // Nor must it count in the candidate's next incarnation, which has not campaigned.
    w.start(a);
    w.step(a, Event::Message(vote));
    assert_ne!(w.nodes[a].role, StateRole::Leader);
}

#[test]
fn a_forgotten_vote_is_not_given_again_while_it_may_count() {
    let (mut w, leader) = Cluster::with_leader();
    let lost = ALL.into_iter().find(|n| *n != leader).expect("another");
    w.wipe(lost);
    let began = w.now;
    while !w.nodes[lost].hard.may_vote {
        w.run_for(10);
        assert!(w.now < began + 10 * TIMING.election, "never readmitted");
    }
    assert!(w.now >= began + 3 * TIMING.election, "after {} ms", w.now - began);
}

#[test]
fn the_longest_log_wins_also_with_the_lowest_term() {
    // Two of five nodes are lost. e led at term 1 and acknowledged an entry; b and c have seen a
    // higher term since. Of the three, only e has a log recent enough to win an election.
    let names = ["a", "b", "c", "d", "e"];
    let voters: Vec<String> = names.iter().map(|s| s.to_string()).collect();
    let mut w = Cluster::of(&names);
    w.down.extend(["a".to_string(), "d".to_string()]);
    for (n, term, entries) in [("b", 4, 1), ("c", 4, 1), ("e", 1, 2)] {
        let hard = HardState { term, voters: voters.clone(), may_vote: true, ..HardState::default() };
        let log = (1..=entries).map(|i| (i, RaftEntry { index: i, term: 1, ..RaftEntry::default() })).collect();
        w.disks.insert(n.into(), Disk { hard, log, ..Disk::default() });
        w.start(n);
    }
    w.run_for(8 * TIMING.election);
    assert_eq!(w.leader().as_deref(), Some("e"));
}

#[test]
fn a_snapshot_takes_nothing_back_that_was_acknowledged_behind_it() {
    let (mut w, leader) = Cluster::with_leader();
    let others: Vec<&str> = ALL.into_iter().filter(|n| *n != leader).collect();
    let (holder, late) = (others[0].to_string(), others[1].to_string());
    w.put(&leader, 0, 1);
    w.run_for(300);
    w.down.insert(late.clone());
    // The entries reach the leader and one follower. Its acknowledgement arrives, but the next
    // commit index does not, so the follower does not know that they are committed.
    for r in 2..6 {
        w.put(&leader, r - 1, r);
    }
    w.deliver(&holder);
    w.deliver(&leader);
    w.in_flight.clear();
    assert_eq!(w.control_states[&leader].revision, 5, "acknowledged");
    let held = w.disks[&holder].log.keys().max().copied();
    let (index, state) = (w.nodes[&leader].applied() - 2, w.control_states[&leader].encode_to_vec());
    w.step(&leader, Event::Snapshot { index, state: state.into() });
    // One append is lost; the next one is rejected because of the gap, and the leader sends a
    // snapshot.
    w.put(&leader, 5, 6);
    w.in_flight.clear();
    w.put(&leader, 6, 7);
    for _ in 0..20 {
        w.deliver(&holder);
        let installed = w.disks[&holder].hard.base >= index;
        assert!(w.disks[&holder].log.keys().max().copied() >= held, "entries that it acknowledged are lost");
        if installed {
            return;
        }
        w.deliver(&leader);
    }
    panic!("no snapshot was installed");
}

/// A leader with a state of more than `bytes`, and a restarted node that lacks all of it.
fn cluster_with_lagging_node(bytes: usize) -> (Cluster, String, String) {
    let (mut w, leader) = Cluster::with_leader();
    let away = ALL.into_iter().find(|n| *n != leader).expect("another").to_string();
    w.down.insert(away.clone());
    w.put(&leader, 0, 9);
    w.run_for(300);
    // Larger than any single entry, as after many changes.
    let json: Vec<u8> = (0..bytes).map(|i| (i * 31 % 251) as u8).collect();
    w.control_states.get_mut(&leader).expect("a control state").configuration = json.into();
    let (index, state) = (w.nodes[&leader].applied(), w.control_states[&leader].encode_to_vec());
    assert!(w.control_states[&leader].revision == 9 && state.len() > bytes);
    w.step(&leader, Event::Snapshot { index, state: state.into() });
    w.start(&away);
    (w, leader, away)
}

#[test]
fn a_state_larger_than_a_frame_is_sent_in_pieces_and_gone_on_with() {
    let bytes = 3 * rpc::FRAME_LIMIT / 2;
    let (mut w, leader, away) = cluster_with_lagging_node(bytes);
    let kind = rpc::messages::RaftMessageKind::InstallSnapshot as i32;
    let (mut moved, mut lost, mut largest, end) = (0, 0, 0, w.now + 20 * TIMING.heartbeat * 10);
    while w.control_states[&away].revision != 9 {
        // Every third chunk is lost.
        let mut n = 0;
        w.in_flight.retain(|(to, m)| {
            let piece = *to == away && m.kind == kind && !m.state.is_empty();
            n += usize::from(piece);
            largest = largest.max(m.state.len());
            let drop = piece && (moved + n).is_multiple_of(3);
            lost += usize::from(drop);
            !drop
        });
        moved += n;
        w.run_for(10);
        assert!(w.now < end, "has not caught up after {moved} chunks");
    }
    assert!(lost > 1 && largest <= rpc::FRAME_LIMIT / 4, "{lost} lost, the largest chunk has {largest} bytes");
    // Each chunk is sent once, and again if it was lost.
    assert!(moved <= 7 + lost + 1, "{moved} chunks, {lost} lost");
    w.run_for(1000);
    assert_eq!(w.control_states[&away], w.control_states[&leader]);
    let hard = &w.disks[&away].hard;
    assert!(hard.base > 0 && !hard.voters.is_empty());
    // The snapshot is durable.
    w.start(&away);
    assert_eq!(w.control_states[&away].revision, 9);
}

#[test]
fn one_that_is_killed_in_the_middle_of_a_snapshot_again_and_again_is_level_in_the_end() {
    let (mut w, leader, away) = cluster_with_lagging_node(rpc::FRAME_LIMIT);
    for n in 0..6 {
        let before = w.disks[&away].hard.base;
        w.run_for(10 * (n % 3 + 1) * 6);
        if w.disks[&away].hard.base > before {
            break;
        }
        // A partial snapshot is neither applied nor on the disk.
        assert!(w.control_states[&away].revision == 0 && w.disks[&away].state.is_empty());
        w.start(&away);
    }
    // The leader is lost, and the next one sends the rest.
    w.down.insert(leader.clone());
    w.run_for(3000);
    let d = w.leader().expect("the two other nodes are a majority");
    w.run_for(1000);
    assert_eq!((w.control_states[&away].revision, w.control_states[&d].revision), (9, 9));
}

#[test]
fn a_snapshot_that_is_torn_stale_or_too_large_changes_nothing() {
    let (mut w, leader, away) = cluster_with_lagging_node(1000);
    let kind = rpc::messages::RaftMessageKind::InstallSnapshot;
    while sent_to(&w, &away, kind).is_empty() {
        w.now += 10;
        w.step(&leader, Event::Tick);
        w.deliver(&away);
        w.deliver(&leader);
    }
    let piece = sent_to(&w, &away, kind).remove(0);
    w.in_flight.clear();
    let before = (w.nodes[&away].hard.clone(), w.nodes[&away].commit);
    let mut torn = piece.clone();
    let mut bytes = torn.state.to_vec();
    bytes[500] ^= 1;
    torn.state = bytes.into();
    let short = RaftMessage { state: piece.state.slice(..500), total: 500, ..piece.clone() };
    let huge = RaftMessage { total: 1 << 40, ..piece.clone() };
    let past = RaftMessage { offset: u64::MAX - 3, ..piece.clone() };
    let unnamed = RaftMessage { digest: Bytes::new(), ..piece.clone() };
    for m in [torn, short, huge, past, unnamed] {
        w.step(&away, Event::Message(m));
        let after = &w.nodes[&away];
        assert_eq!((after.hard.base, after.commit), (before.0.base, before.1));
        assert_eq!(w.control_states[&away].revision, 0);
        assert!(w.disks[&away].state.is_empty());
    }
    // A stale snapshot does not undo later entries.
    w.run_for(1000);
    assert_eq!(w.control_states[&away].revision, 9);
    w.put(&leader, 9, 11);
    w.run_for(500);
    let term = w.nodes[&away].hard.term;
    w.step(&away, Event::Message(RaftMessage { term, ..piece }));
    assert_eq!(w.control_states[&away].revision, 11);
}

#[test]
fn what_an_emptied_disk_says_makes_no_majority() {
    let (mut w, old) = Cluster::with_leader();
    w.put(&old, 0, 3);
    w.run_for(300);
    // The leader is isolated, and the two other nodes elect another.
    w.isolated.insert(old.clone());
    while w.leader().is_none_or(|l| l == old) {
        w.run_for(10);
    }
    let new = w.leader().expect("another one");
    let last = ALL.into_iter().find(|n| *n != old && *n != new).expect("a third");
    w.put(&new, 3, 5);
    w.run_for(50);
    assert_eq!((w.control_states[&new].revision, w.nodes[&old].role), (5, StateRole::Leader));
    // The third node loses its disk and with it the newer term, and moves to the side of the
    // old leader, which has not stepped down yet.
    w.wipe(last);
    w.isolated.insert(last.into());
    w.put(&old, 3, 7);
    for _ in 0..TIMING.election / 20 {
        w.run_for(10);
        assert!(w.nodes[&old].serves_until(w.now) <= w.now, "two leases are valid at the same time");
    }
    assert_eq!(w.control_states[&old].revision, 3, "committed with a node that lost its disk");
}

#[test]
fn one_that_just_came_back_does_not_elect_itself_while_its_word_may_count() {
    let (mut w, old) = Cluster::with_leader();
    let others: Vec<&str> = ALL.into_iter().filter(|n| *n != old).collect();
    let (back, deaf) = (others[0], others[1]);
    // One follower has not heard the leader for an election timeout. The other one is killed
    // right after it acknowledged the leader, and restarts at once.
    for _ in 0..TIMING.election / 10 + 1 {
        w.in_flight.retain(|(to, m)| !(to == deaf && m.from == old));
        w.now += 10;
        for n in [&old, back] {
            w.step(n, Event::Tick);
        }
        w.in_flight.retain(|(to, m)| !(to == deaf && m.from == old));
        w.deliver(back);
        w.deliver(&old);
    }
    let until = w.nodes[&old].serves_until(w.now);
    assert!(until > w.now);
    w.start(back);
    w.in_flight.clear();
    while w.now < until {
        w.now += 10;
        w.step(back, Event::Tick);
        w.in_flight.retain(|(to, _)| *to != old);
        w.deliver(deaf);
        w.deliver(back);
        assert_ne!(w.nodes[back].role, StateRole::Leader, "the old leader's lease still rests on its acknowledgement");
    }
}

#[test]
fn invalid_messages_are_ignored() {
    use rpc::messages::RaftMessageKind;
    let (mut w, leader) = Cluster::with_leader();
    let others: Vec<String> = ALL.iter().filter(|n| **n != leader).map(|n| n.to_string()).collect();
    for r in 1..4 {
        w.put(&leader, r - 1, r);
        w.run_for(200);
    }
    let (n, from) = (others[0].clone(), others[1].clone());
    let term = w.nodes[&n].hard.term;
    let commit = w.nodes[&n].commit;
    let entry = |index: u64, term: u64| RaftEntry { index, term, ..RaftEntry::default() };
    let append = |from: &str, term: u64, index: u64, entries: Vec<RaftEntry>| RaftMessage {
        from: from.into(),
        term,
        kind: RaftMessageKind::Append as i32,
        index,
        log_term: term,
        entries,
        ..RaftMessage::default()
    };
    let twice = RaftEntry { voters: vec!["a".into(), "a".into()], ..entry(commit + 1, term) };
    let nobody = RaftEntry { voters: vec![String::new()], ..entry(commit + 1, term) };
    let mut ack = append(&from, term, 1 << 40, vec![]);
    (ack.kind, ack.ok) = (RaftMessageKind::AppendAck as i32, true);
    let mut ask = append(&from, u64::MAX, commit + 9, vec![]);
    ask.kind = RaftMessageKind::RequestVote as i32;
    let all = [
        (&n, ask.clone()),
        (&n, RaftMessage { term: 0, ..ask.clone() }),
        (&n, RaftMessage { term: term + 1, log_term: term + 7, ..ask.clone() }),
        (&n, append(&leader, u64::MAX, commit, vec![])),
        (&n, append(&leader, term, u64::MAX, vec![entry(0, term)])),
        // A gap, a decreasing term, a term above the sender's.
        (&n, append(&leader, term, commit, vec![entry(commit + 2, term)])),
        (&n, append(&leader, term, commit, vec![entry(commit + 1, term - 1)])),
        (&n, append(&leader, term, commit, vec![entry(commit + 1, term + 1)])),
        (&n, append(&leader, term, commit, vec![twice])),
        (&n, append(&leader, term, commit, vec![nobody])),
        // A different entry at a committed index.
        (&n, append(&leader, term + 1, commit - 1, vec![entry(commit, term + 1)])),
        // A second leader of the same term.
        (&n, append(&from, term, commit, vec![entry(commit + 1, term)])),
        (&leader, append(&from, term, commit, vec![entry(commit + 1, term)])),
        (&n, RaftMessage { kind: 77, ..append(&leader, term, commit, vec![]) }),
        (&leader, ack),
    ];
    for (i, (to, m)) in all.into_iter().enumerate() {
        let before = (w.nodes[to].hard.clone(), w.nodes[to].commit, w.nodes[to].role, w.disks[to].log.clone());
        w.in_flight.clear();
        w.step(to, Event::Message(m));
        let v = &w.nodes[to];
        assert_eq!((v.hard.clone(), v.commit, v.role, w.disks[to].log.clone()), before, "message {i}");
    }
    w.run_for(1000);
    w.put(&leader, 3, 9);
    w.run_for(300);
    assert!(w.control_states.values().all(|r| r.revision == 9), "the cluster still makes progress");
}
#[test]
fn a_voter_that_came_in_while_others_were_away_is_elected_by_its_log() {
    // f became a voter while c and d were down, and a and b are lost. Of the four nodes that
    // are up, only f has a log recent enough to win an election.
    let before: Vec<String> = ["a", "b", "c", "d", "e"].iter().map(|s| s.to_string()).collect();
    let after: Vec<String> = before.iter().cloned().chain(["f".to_string()]).collect();
    let mut w = Cluster::of(&["c", "d", "e", "f"]);
    for (n, entries) in [("c", 1), ("d", 1), ("e", 2), ("f", 3)] {
        let hard = HardState { term: 1, voters: before.clone(), may_vote: true, ..HardState::default() };
        let entry = |i: u64| {
            let voters = if i == 2 { after.clone() } else { vec![] };
            (i, RaftEntry { index: i, term: 1, voters, ..RaftEntry::default() })
        };
        w.disks.insert(n.into(), Disk { hard, log: (1..=entries).map(entry).collect(), ..Disk::default() });
        w.start(n);
    }
    w.run_for(8 * TIMING.election);
    assert_eq!(w.leader().as_deref(), Some("f"));
}

#[test]
fn an_order_under_way_with_one_leader_and_sent_to_the_next_is_taken_once() {
    let (mut repeated, mut anew) = (0, 0);
    for ms in (0..300).step_by(10) {
        let mut w = Cluster::new();
        w.run_for(2000);
        let first = w.leader().expect("a leader");
        w.put(&first, 0, 3);
        w.run_for(ms);
        w.down.insert(first.clone());
        w.run_for(3000);
        let second = w.leader().expect("another leader");
        let from = w.applied[&second].len();
        let known = w.control_states[&second].knows_configuration(&request_digest(0, 3));
        w.put(&second, 0, 3);
        w.start(&first);
        w.run_for(2000);
        // Only entries applied since then are compared.
        let got: Vec<ApplyResult> = w.applied[&second][from..].iter().map(|a| a.1).collect();
        assert_eq!(got, [if known { ApplyResult::Repeated } else { ApplyResult::Done }], "after {ms} ms");
        repeated += u32::from(known);
        anew += u32::from(!known);
        assert!(w.control_states.values().all(|r| r.revision == 3 && r.accepted.len() == 1));
    }
    assert!(repeated > 0 && anew > 0, "{repeated} {anew}");
}

#[test]
fn one_that_is_about_to_end_hands_its_vote_on_first() {
    let (mut w, leader) = Cluster::with_leader();
    w.put(&leader, 0, 3);
    let ending = ALL.into_iter().find(|n| *n != leader).expect("another").to_string();
    let last = ALL.into_iter().find(|n| *n != leader && *n != ending).expect("a third").to_string();
    let tell = |w: &mut Cluster, departing: &[&str]| {
        let departing = departing.iter().map(|s| s.to_string()).collect();
        w.nodes.get_mut(&leader).expect("the leader").set_departing(departing);
    };
    // Without a replacement it stays a voter.
    tell(&mut w, &[&ending]);
    w.run_duties(500);
    assert!(w.nodes[&leader].voters().contains(&ending));
    w.add_empty_node("n");
    w.run_duties(2000);
    let added_at = w.now;
    let now = w.nodes[&leader].voters().to_vec();
    assert!(now.contains(&"n".to_string()) && !now.contains(&ending) && now.len() == 3, "{now:?}");
    assert!(w.nodes[&leader].voters_committed());
    // Now the cluster tolerates its loss and that of one more node.
    w.down.extend([ending.clone(), last.clone()]);
    w.put(&leader, 3, 5);
    w.run_for(300);
    assert_eq!(w.control_states[&leader].revision, 5, "{} ms after", w.now - added_at);
    // A node that is shutting down is not made a voter.
    tell(&mut w, &["n", &ending]);
    w.start(&ending);
    w.run_duties(1000);
    assert!(!w.nodes[&leader].voters().contains(&ending));
}

#[test]
fn readmission_is_of_the_incarnation_that_asked_and_is_told_once_a_round() {
    use rpc::messages::RaftMessageKind;
    let (mut w, leader) = Cluster::with_leader();
    let lost = ALL.into_iter().find(|n| *n != leader).expect("another");
    w.wipe(lost);
    let began = w.now;
    let (mut told, mut kept) = (0, None);
    while !w.nodes[lost].hard.may_vote {
        let grants = sent_to(&w, lost, RaftMessageKind::Append).into_iter().filter(|m| m.readmit);
        for m in grants {
            told += 1;
            kept = Some(m);
        }
        w.run_for(10);
    }
    let rounds = (w.now - began) / TIMING.heartbeat + 2;
    assert!(told <= rounds, "sent {told} times in {rounds} rounds");
    // It loses its disk again; the readmission of the previous incarnation arrives late.
    w.wipe(lost);
    w.in_flight.clear();
    w.now += 4 * TIMING.election;
    w.step(lost, Event::Message(kept.expect("one")));
    assert!(!w.nodes[lost].hard.may_vote, "it does not have the log for which it was readmitted");
}

impl Cluster {
    /// Lets time pass while every message to `deaf` is lost. Returns whether `deaf` sent an
    /// ordinary round, which resets election timeouts.
    fn run_without_delivery_to(&mut self, deaf: &str, ms: u64) -> bool {
        let append = rpc::messages::RaftMessageKind::Append as i32;
        let mut keeps_followers = false;
        for _ in 0..ms / 10 {
            self.now += 10;
            for n in ALL {
                self.step(n, Event::Tick);
            }
            keeps_followers |= self.in_flight.iter().any(|(_, m)| m.from == deaf && m.kind == append && !m.probe);
            for n in ALL.into_iter().filter(|n| *n != deaf) {
                self.deliver(n);
            }
            self.in_flight.retain(|(to, _)| to != deaf);
        }
        keeps_followers
    }
}

#[test]
fn a_leader_that_is_heard_but_hears_no_majority_lets_the_others_elect() {
    let (mut w, old) = Cluster::with_leader();
    let cut_at = w.now;
    let mut last_heartbeat = cut_at;
    loop {
        if w.run_without_delivery_to(&old, 10) {
            last_heartbeat = w.now;
        }
        if w.leader().is_some_and(|l| l != old) {
            break;
        }
        assert!(w.now < cut_at + 8 * TIMING.election, "no new leader is elected");
    }
    assert!(last_heartbeat <= cut_at + TIMING.election, "it kept followers waiting for {} ms", last_heartbeat - cut_at);
    println!("last heartbeat after {} ms, succeeded after {} ms", last_heartbeat - cut_at, w.now - cut_at);
    // The followers' election timeouts, counted from the last heartbeat.
    assert!(w.now <= cut_at + 3 * TIMING.election + TIMING.heartbeat, "succeeded after {} ms", w.now - cut_at);
}

#[test]
fn a_leader_that_was_frozen_past_its_lease_leads_on_if_nobody_was_elected() {
    let (mut w, leader) = Cluster::with_leader();
    let term = w.nodes[&leader].hard.term;
    w.down.insert(leader.clone());
    w.run_for(TIMING.election - TIMING.heartbeat / 2);
    w.down.remove(&leader);
    assert!(!w.nodes[&leader].holds_leadership(w.now), "its lease has run out");
    w.run_for(3 * TIMING.heartbeat);
    assert_eq!(w.leader().as_deref(), Some(leader.as_str()));
    w.run_for(4 * TIMING.election);
    assert!(ALL.iter().all(|n| w.nodes[*n].hard.term == term), "an unnecessary election");
}

#[test]
fn an_answer_to_a_probe_extends_no_lease() {
    let (mut w, leader) = Cluster::with_leader();
    w.run_without_delivery_to(&leader, TIMING.election);
    assert!(!w.nodes[&leader].holds_leadership(w.now));
    // Its probes are answered now; ordinary rounds are lost.
    let lease = w.nodes[&leader].serves_until(w.now);
    let mut answered = 0;
    for _ in 0..2 * TIMING.heartbeat / 10 {
        w.now += 10;
        for n in ALL {
            w.step(n, Event::Tick);
        }
        w.in_flight.retain(|(_, m)| m.from != leader || m.probe);
        for n in ALL.into_iter().filter(|n| *n != leader) {
            w.deliver(n);
        }
        answered += w.in_flight.iter().filter(|(to, m)| *to == leader && m.ok).count();
        w.deliver(&leader);
        assert_eq!(w.nodes[&leader].serves_until(w.now), lease, "a response to a probe extended the lease");
    }
    assert!(answered > 0, "no probe was answered");
    // Once ordinary rounds arrive again, it holds the lease again.
    w.run_for(2 * TIMING.heartbeat);
    assert_eq!(w.leader(), Some(leader));
}
