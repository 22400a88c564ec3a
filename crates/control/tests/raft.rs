//! The majority log, with links and disks in the test's hands.

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

/// The identity of an order on a base.
fn word(base: u64, revision: u64) -> Bytes {
    digest("replace", "", base, revision, b"")
}

/// A larger message would end its connection, again and again.
fn within_a_frame(m: &RaftMessage) -> bool {
    assert!(m.encoded_len() < rpc::FRAME_LIMIT, "{} bytes in one message", m.encoded_len());
    true
}

struct World {
    now: u64,
    nodes: BTreeMap<String, RaftNode>,
    disks: BTreeMap<String, Disk>,
    control_states: BTreeMap<String, ControlState>,
    applied: BTreeMap<String, Vec<(u64, ApplyResult)>>,
    down: BTreeSet<String>,
    /// On the other side of a cut: they reach each other only.
    beyond: BTreeSet<String>,
    net: VecDeque<(String, RaftMessage)>,
}

impl World {
    /// A world in which one leads, and its name.
    fn led() -> (World, String) {
        let mut w = World::new();
        w.pass(2000);
        let leader = w.leader().expect("a leader");
        (w, leader)
    }

    fn new() -> World {
        World::of(&ALL)
    }

    fn of(names: &[&str]) -> World {
        let mut w = World {
            now: 1_000_000,
            nodes: BTreeMap::new(),
            disks: BTreeMap::new(),
            control_states: BTreeMap::new(),
            applied: BTreeMap::new(),
            down: BTreeSet::new(),
            beyond: BTreeSet::new(),
            net: VecDeque::new(),
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
        self.control_states.insert(n.into(), ControlState::decode(d.state).expect("whole state"));
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
                Effect::Send(to, m) => self.net.push_back((to, m)),
                Effect::Apply(e) => {
                    let a = self.control_states.get_mut(n).expect("a control state").apply(e.index, &e.data);
                    self.applied.get_mut(n).expect("a list").push((e.index, a));
                }
                Effect::Restore(s) => {
                    self.control_states.insert(n.into(), ControlState::decode(s).expect("whole state"));
                }
                _ => {}
            }
        }
    }

    /// Whoever is sent on by one node after the other comes to an end.
    fn redirects_end(&self) -> bool {
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

    fn pass(&mut self, ms: u64) {
        for _ in 0..ms / 10 {
            self.now += 10;
            assert!(self.redirects_end(), "callers are sent in a circle");
            for n in self.nodes.keys().cloned().collect::<Vec<_>>() {
                if !self.down.contains(&n) {
                    self.step(&n, Event::Tick);
                }
            }
            for _ in 0..self.net.len() {
                if let Some((to, m)) = self.net.pop_front()
                    && within_a_frame(&m)
                    && !self.down.contains(&to)
                    && !self.down.contains(&m.from)
                    && self.beyond.contains(&to) == self.beyond.contains(&m.from)
                {
                    self.step(&to, Event::Message(m));
                }
            }
        }
    }

    /// Hands over what is under way to one node, at this moment.
    fn deliver(&mut self, n: &str) {
        for _ in 0..self.net.len() {
            match self.net.pop_front() {
                Some((to, m)) if to == n => self.step(n, Event::Message(m)),
                other => self.net.extend(other),
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
            digest: word(base, revision),
            change: Bytes::new(),
        };
        let data = Command { word: Some(CommandPayload::Configuration(t)), at_ms: 0 }.encode_to_vec();
        self.step(n, Event::Propose(data.into()));
    }

    fn wipe(&mut self, n: &str) {
        let voters = ALL.iter().map(|s| s.to_string()).collect();
        self.disks.insert(n.into(), Disk { hard: HardState { voters, ..HardState::default() }, ..Disk::default() });
        self.start(n);
    }
}

#[test]
fn one_leader_and_what_it_acknowledged_survives_it() {
    let (mut w, first) = World::led();
    w.put(&first, 0, 3);
    w.pass(200);
    assert!(w.control_states.values().all(|r| r.revision == 3));
    w.down.insert(first.clone());
    w.pass(3000);
    let second = w.leader().expect("another leader");
    assert_ne!(first, second);
    assert_eq!(w.control_states[&second].revision, 3);
    w.put(&second, 3, 5);
    w.pass(200);
    assert!(w.nodes[&second].serves_until(w.now) > w.now);
    w.start(&first);
    w.pass(1000);
    assert_eq!(w.control_states[&first].revision, 5, "it folds its disk and catches up");
}

#[test]
fn two_configurations_on_one_base_and_one_wins() {
    let (mut w, leader) = World::led();
    w.put(&leader, 0, 3);
    w.put(&leader, 0, 4);
    w.pass(300);
    for n in ALL {
        let got: Vec<ApplyResult> = w.applied[n].iter().map(|a| a.1).collect();
        assert_eq!(got[got.len() - 2..], [ApplyResult::Done, ApplyResult::Beaten]);
        assert_eq!(w.control_states[n].revision, 3);
        assert!(w.control_states[n].took(&word(0, 3)) && !w.control_states[n].took(&word(0, 4)));
    }
}

#[test]
fn without_a_majority_nothing_is_taken() {
    let (mut w, leader) = World::led();
    let others: Vec<&str> = ALL.into_iter().filter(|n| *n != leader).collect();
    w.down.extend(others.iter().map(|s| s.to_string()));
    w.put(&leader, 0, 3);
    w.pass(3000);
    assert_eq!(w.leader(), None, "it knows that nobody follows");
    assert_eq!(w.control_states[&leader].revision, 0);
    for o in others {
        w.start(o);
    }
    w.pass(3000);
    assert!(w.leader().is_some());
}

#[test]
fn one_that_lost_its_disk_does_not_vote_until_readmitted() {
    let (mut w, leader) = World::led();
    w.put(&leader, 0, 3);
    w.pass(300);
    let others: Vec<&str> = ALL.into_iter().filter(|n| *n != leader).collect();
    let (lost, other) = (others[0], others[1]);
    // The other one is away, so nobody can vouch for what the lost one forgot.
    w.down.insert(other.into());
    w.wipe(lost);
    w.pass(1000);
    assert!(!w.nodes[lost].hard.may_vote);
    w.start(other);
    w.pass(1000);
    assert!(w.nodes[lost].hard.may_vote, "readmitted once it holds all and the others follow");
    assert_eq!(w.control_states[lost].revision, 3);
    w.down.insert(leader);
    w.pass(3000);
    assert!(w.leader().is_some(), "and its vote counts again");
}

#[test]
fn the_leader_names_its_successor() {
    let (mut w, leader) = World::led();
    w.step(&leader, Event::StepDown);
    w.pass(100);
    let next = w.leader().expect("named, without waiting for an election");
    assert_ne!(next, leader);
}

#[test]
fn a_log_that_was_cut_is_sent_as_a_whole_state() {
    let (mut w, leader) = World::led();
    let late = ALL.into_iter().find(|n| *n != leader).expect("another");
    w.down.insert(late.into());
    for r in 1..20 {
        w.put(&leader, r - 1, r);
        w.pass(50);
    }
    let state = w.control_states[&leader].encode_to_vec();
    let index = w.nodes[&leader].applied();
    w.step(&leader, Event::Snapshot { index, state: state.into() });
    w.start(late);
    w.pass(1000);
    assert_eq!(w.control_states[late].revision, 19);
    // And it starts again from that.
    let d = &w.disks[late];
    assert!(d.log.len() < 5 && d.hard.base >= index - 1);
}

#[test]
fn after_the_end_of_all_at_once_nothing_is_answered_before_the_log_is_applied() {
    let (mut w, leader) = World::led();
    w.put(&leader, 0, 3);
    w.pass(300);
    for n in ALL {
        w.start(n);
    }
    for _ in 0..300 {
        w.pass(10);
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

const AWAY: u64 = 2000;

impl World {
    /// A control node with an empty disk, at an address that nobody has heard of.
    fn newcomer(&mut self, n: &str) {
        self.disks.insert(n.into(), Disk::default());
        self.start(n);
    }

    /// What the duty of the leader does from time to time.
    fn tend(&mut self, ms: u64) {
        for _ in 0..ms / 50 {
            self.pass(50);
            let Some(c) = self.leader() else { continue };
            let up: Vec<String> = self.nodes.keys().filter(|n| !self.down.contains(*n)).cloned().collect();
            let zones: Vec<(String, String)> = up.iter().map(|n| (n.clone(), format!("zone-{n}"))).collect();
            match self.nodes[&c].next_voters(&zones, 3, AWAY, self.now) {
                Some(v) => self.step(&c, Event::SetVoters(v)),
                None => self.step(&c, Event::ControlNodes(up)),
            }
        }
    }
}

#[test]
fn a_lost_voter_is_replaced_by_a_newcomer_one_change_at_a_time() {
    let (mut w, c) = World::led();
    w.put(&c, 0, 3);
    w.pass(200);
    let lost = ALL.iter().find(|n| **n != c).expect("another").to_string();
    w.down.insert(lost.clone());
    w.newcomer("n");
    w.tend(500);
    assert_eq!(w.nodes["n"].voters().len(), 3, "told by the log who votes");
    assert!(w.nodes[&c].voters().contains(&lost), "silence shorter than the bound replaces nobody");
    w.tend(4000);
    let c = w.leader().expect("a leader");
    let mut now = w.nodes[&c].voters().to_vec();
    now.sort();
    assert!(now.contains(&"n".to_string()) && !now.contains(&lost) && now.len() == 3, "{now:?}");
    assert_eq!(w.control_states["n"].revision, 3);
    // The newcomer counts: with one more gone, it and the last one go on.
    w.down.insert(c.clone());
    w.pass(3000);
    let d = w.leader().expect("the newcomer is half of the majority");
    w.put(&d, 3, 5);
    w.pass(300);
    assert_eq!(w.control_states[&d].revision, 5);
    // The one that was replaced comes back, and cannot make a majority of its own.
    w.start(&lost);
    w.down.insert(d.clone());
    w.pass(5000);
    assert!(w.leader().is_none_or(|c| c != lost), "it was voted out");
}

#[test]
fn a_newcomer_without_the_log_is_not_made_a_voter() {
    let (mut w, c) = World::led();
    let lost = ALL.iter().find(|n| **n != c).expect("another").to_string();
    w.down.insert(lost);
    w.newcomer("n");
    w.down.insert("n".into());
    let up = vec![(c.clone(), "z".to_string()), ("n".into(), "y".into())];
    for _ in 0..100 {
        w.pass(50);
        let v = &w.nodes[&c];
        assert_eq!(v.next_voters(&up, 3, AWAY, w.now), None, "it never answered");
    }
}

#[test]
fn a_voter_that_just_came_back_waits_before_it_votes() {
    let (mut w, c) = World::led();
    let other = ALL.iter().find(|n| **n != c).expect("another").to_string();
    w.start(&other);
    let term = w.nodes[&c].hard.term + 1;
    let mut ask = RaftMessage {
        from: c.clone(),
        term,
        kind: rpc::messages::RaftMessageKind::RequestVote as i32,
        ..RaftMessage::default()
    };
    (ask.index, ask.log_term) = (1000, term);
    w.net.clear();
    w.step(&other, Event::Message(ask.clone()));
    assert!(w.net.iter().all(|(_, m)| !m.ok), "the old leader may still count on it");
    w.now += TIMING.election;
    w.step(&other, Event::Message(ask));
    assert!(w.net.iter().any(|(_, m)| m.ok));
}

#[test]
fn authority_runs_out_by_the_clock_without_a_step() {
    let (mut w, c) = World::led();
    let until = w.nodes[&c].serves_until(w.now);
    assert!(until > w.now && until <= w.now + TIMING.election * 7 / 8, "shorter than others wait, as clocks differ");
    // Frozen, or waiting for its disk, it steps nothing: what it computed last
    // still ends before anybody else can have been elected.
    w.down.insert(c.clone());
    for _ in 0..200 {
        w.pass(10);
        if w.nodes.iter().any(|(n, v)| *n != c && v.role == StateRole::Leader) {
            assert!(w.now >= until);
            return;
        }
    }
    panic!("nobody became the leader");
}

#[test]
fn frames_of_strangers_change_nothing() {
    let (mut w, c) = World::led();
    let before = w.nodes[&c].hard.term;
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
fn when_all_ended_at_once_there_is_a_leader_without_waiting_for_an_old_one() {
    let (mut w, c) = World::led();
    w.put(&c, 0, 3);
    w.pass(300);
    w.net.clear();
    for n in ALL {
        w.start(n);
    }
    w.pass(TIMING.election * 3 / 4);
    let c = w.leader().expect("a leader already");
    assert_eq!(w.control_states[&c].revision, 3);
    // One that stays alive is no such case: it still has its time.
    let alone: Vec<String> = ALL.iter().filter(|n| **n != c).map(|n| n.to_string()).collect();
    for n in &alone {
        w.start(n);
    }
    w.down.insert(c.clone());
    w.pass(TIMING.election - 20);
    assert!(alone.iter().all(|n| w.nodes[n].role != StateRole::Leader), "the old leader may still act");
    w.pass(3000);
    assert!(w.leader().is_some());
}

#[test]
fn of_two_changes_on_either_side_of_a_cut_one_is_confirmed() {
    let (mut w, old) = World::led();
    w.put(&old, 0, 3);
    w.pass(200);
    w.beyond.insert(old.clone());
    // Written down beyond the cut, while its authority has not run out yet.
    w.put(&old, 3, 5);
    let until = w.nodes[&old].serves_until(w.now);
    let mut new = None;
    for _ in 0..300 {
        w.pass(10);
        new = w.nodes.iter().find(|(n, v)| **n != old && v.role == StateRole::Leader).map(|(n, _)| n.clone());
        if new.is_some() {
            break;
        }
    }
    let new = new.expect("a leader on the side of the majority");
    assert!(w.now >= until && w.nodes[&old].serves_until(w.now) <= w.now, "never two at once");
    w.put(&new, 3, 7);
    w.pass(300);
    assert_eq!((w.control_states[&new].revision, w.control_states[&old].revision), (7, 3));
    w.beyond.clear();
    w.pass(3000);
    assert!(w.control_states.values().all(|r| r.revision == 7 && !r.took(&word(3, 5))), "the other one never counts");
}

#[test]
fn one_that_was_away_is_sent_large_configurations_in_pieces() {
    let mut w = World::new();
    w.pass(3000);
    let leader = w.leader().expect("a leader");
    let away = ALL.iter().find(|n| **n != leader).expect("another").to_string();
    w.down.insert(away.clone());
    for n in 0..30u64 {
        let json = Bytes::from(vec![b' '; 400 << 10]);
        let t = PutConfiguration { base: n, revision: n + 1, json, digest: word(n, n + 1), change: Bytes::new() };
        let data = Command { word: Some(CommandPayload::Configuration(t)), at_ms: 0 }.encode_to_vec();
        w.step(&leader, Event::Propose(data.into()));
        w.pass(50);
    }
    assert_eq!(w.control_states[&leader].revision, 30);
    assert!(w.nodes[&leader].applied_log_bytes() > 2 * rpc::FRAME_LIMIT);
    w.start(&away);
    w.pass(3000);
    assert_eq!(w.control_states[&away].revision, 30);
}

#[test]
fn one_that_lacks_the_log_is_sent_it_once_however_much_is_under_way() {
    for cut in [false, true] {
        let mut w = World::new();
        w.pass(3000);
        let leader = w.leader().expect("a leader");
        let away = ALL.iter().find(|n| **n != leader).expect("another").to_string();
        w.down.insert(away.clone());
        let put = |n: u64| {
            let t = PutConfiguration {
                base: n,
                revision: n + 1,
                json: vec![b' '; 20_000].into(),
                digest: word(n, n + 1),
                change: Bytes::new(),
            };
            Event::Propose(Command { word: Some(CommandPayload::Configuration(t)), at_ms: 0 }.encode_to_vec().into())
        };
        for n in 0..30 {
            w.step(&leader, put(n));
            w.pass(50);
        }
        if cut {
            let (index, state) = (w.nodes[&leader].applied(), w.control_states[&leader].encode_to_vec().into());
            w.step(&leader, Event::Snapshot { index, state });
        }
        w.start(&away);
        // Two hundred changes at one moment, as when all owners begin anew.
        for n in 30..230 {
            w.step(&leader, put(n));
        }
        let (mut sent, mut last) = (0, w.now);
        while w.control_states[&away].revision < 230 {
            sent += w.net.iter().filter(|(to, _)| *to == away).map(|(_, m)| m.encoded_len()).sum::<usize>();
            w.pass(10);
            assert!(w.now < last + 2000, "not there after {sent} bytes");
        }
        last = w.now;
        let whole = 230 * 20_000;
        assert!(sent < 2 * whole + 400_000, "{sent} bytes by {last} for a log of {whole}");
    }
}

#[test]
fn a_leader_that_has_cut_its_log_goes_on() {
    let (mut w, c) = World::led();
    w.put(&c, 0, 3);
    w.pass(300);
    let (index, state) = (w.nodes[&c].applied(), w.control_states[&c].encode_to_vec());
    w.step(&c, Event::Snapshot { index, state: state.into() });
    assert_eq!((w.nodes[&c].log_len(), w.nodes[&c].hard.base), (0, index));
    assert!(w.nodes[&c].serves_until(w.now) > w.now, "it led, and nothing has changed");
    w.pass(2000);
    assert!(w.nodes[&c].serves_until(w.now) > w.now);
    // One that begins with nothing but a snapshot has an entry of its own to apply first.
    for n in ALL {
        w.start(n);
    }
    w.pass(2000);
    let c = w.leader().expect("a leader");
    assert!(w.nodes[&c].serves_until(w.now) > w.now);
}

#[test]
fn leaving_is_a_matter_of_one_incarnation() {
    let names = ["a", "b", "c", "d", "e"];
    let mut w = World::of(&names);
    w.pass(2000);
    let old = w.leader().expect("a leader");
    w.put(&old, 0, 3);
    w.pass(300);
    let told: Vec<&str> = names.into_iter().filter(|n| *n != old).take(3).collect();
    for n in &told {
        w.step(n, Event::Leave);
    }
    w.step(&old, Event::Leave);
    // The next record about votes goes to their disks with whatever it holds.
    w.pass(3000);
    for n in names {
        w.start(n);
    }
    w.pass(4000);
    let l = w.leader().expect("a majority of those that came back has its vote");
    assert_eq!(w.control_states[&l].revision, 3);
}

#[test]
fn readmission_counts_the_voters_in_force() {
    let (mut w, c) = World::led();
    w.put(&c, 0, 3);
    let others: Vec<&str> = ALL.into_iter().filter(|n| *n != c).collect();
    // One is replaced by a newcomer for good; then the other one loses its disk.
    w.down.insert(others[0].into());
    w.newcomer("n");
    w.tend(6000);
    assert_eq!(w.leader().as_ref(), Some(&c));
    let in_force = w.nodes[&c].voters().to_vec();
    assert!(in_force.contains(&"n".to_string()) && !in_force.contains(&others[0].to_string()), "{in_force:?}");
    w.disks.insert(others[1].into(), Disk::default());
    w.start(others[1]);
    w.tend(4000);
    assert!(w.nodes[others[1]].hard.may_vote, "leader and newcomer are a majority that vouches");
    // One that was voted out vouches for nobody: the newcomer is away now.
    w.down.insert("n".into());
    w.start(others[0]);
    w.disks.insert(others[1].into(), Disk::default());
    w.start(others[1]);
    for _ in 0..40 {
        w.pass(50);
        if let Some(c) = w.leader() {
            // It stays known as a learner, as its session stands.
            w.step(&c, Event::ControlNodes(vec![others[0].into()]));
        }
    }
    assert!(!w.nodes[others[1]].hard.may_vote, "counted with one that has no vote");
}

#[test]
fn one_without_a_vote_is_readmitted_however_many_rounds_go_by() {
    let (mut w, c) = World::led();
    let others: Vec<&str> = ALL.into_iter().filter(|n| *n != c).collect();
    w.down.insert(others[1].into());
    w.wipe(others[0]);
    w.pass(500);
    // Many changes go by before the one that has to vouch is back.
    for r in 1..=300 {
        w.put(&c, r - 1, r);
        w.pass(10);
    }
    w.start(others[1]);
    w.pass(3000);
    assert!(w.nodes[others[0]].hard.may_vote);
}

/// What was sent to one of the kind that it says, as it stands on the way.
fn sent(w: &World, to: &str, kind: rpc::messages::RaftMessageKind) -> Vec<RaftMessage> {
    w.net.iter().filter(|(t, m)| t == to && m.kind == kind as i32).map(|(_, m)| m.clone()).collect()
}

#[test]
fn answers_to_an_earlier_campaign_count_for_nothing() {
    use rpc::messages::RaftMessageKind;
    let (mut w, c) = World::led();
    let others: Vec<&str> = ALL.into_iter().filter(|n| *n != c).collect();
    w.down.insert(c.clone());
    // One campaigns, and the votes for it stay on their way.
    let (a, b) = (others[0], others[1]);
    let mut held = Vec::new();
    for _ in 0..400 {
        w.now += 10;
        w.step(a, Event::Tick);
        w.deliver(b);
        let real = sent(&w, a, RaftMessageKind::Vote).into_iter().find(|m| m.ok && !m.pre_vote);
        if let Some(m) = real {
            held.push(m);
            break;
        }
        w.deliver(a);
    }
    let vote = held.pop().expect("a vote");
    w.net.clear();
    // Counted in time; but not once a voter that forgot it may have voted again.
    w.now += 2 * TIMING.election;
    w.step(a, Event::Message(vote.clone()));
    assert_ne!(w.nodes[a].role, StateRole::Leader, "a vote that came too late");
    // Nor by the next incarnation of the candidate, which asked nobody.
    w.start(a);
    w.step(a, Event::Message(vote));
    assert_ne!(w.nodes[a].role, StateRole::Leader);
}

#[test]
fn a_forgotten_vote_is_not_given_again_while_it_may_count() {
    let (mut w, c) = World::led();
    let lost = ALL.into_iter().find(|n| *n != c).expect("another");
    w.wipe(lost);
    let began = w.now;
    while !w.nodes[lost].hard.may_vote {
        w.pass(10);
        assert!(w.now < began + 10 * TIMING.election, "never readmitted");
    }
    assert!(w.now >= began + 3 * TIMING.election, "after {} ms", w.now - began);
}

#[test]
fn the_longest_log_wins_also_with_the_lowest_term() {
    // Two of five are lost. e led at term 1 and has an entry that it acknowledged; b and
    // c have seen a higher term since. Only e's log can be followed by all three.
    let names = ["a", "b", "c", "d", "e"];
    let voters: Vec<String> = names.iter().map(|s| s.to_string()).collect();
    let mut w = World::of(&names);
    w.down.extend(["a".to_string(), "d".to_string()]);
    for (n, term, entries) in [("b", 4, 1), ("c", 4, 1), ("e", 1, 2)] {
        let hard = HardState { term, voters: voters.clone(), may_vote: true, ..HardState::default() };
        let log = (1..=entries).map(|i| (i, RaftEntry { index: i, term: 1, ..RaftEntry::default() })).collect();
        w.disks.insert(n.into(), Disk { hard, log, ..Disk::default() });
        w.start(n);
    }
    w.pass(8 * TIMING.election);
    assert_eq!(w.leader().as_deref(), Some("e"));
}

#[test]
fn a_snapshot_takes_nothing_back_that_was_acknowledged_behind_it() {
    let (mut w, c) = World::led();
    let others: Vec<&str> = ALL.into_iter().filter(|n| *n != c).collect();
    let (holder, late) = (others[0].to_string(), others[1].to_string());
    w.put(&c, 0, 1);
    w.pass(300);
    w.down.insert(late.clone());
    // Taken by leader and holder; the holder's word for it arrives, but not what the
    // leader says next: the holder does not know that they are committed.
    for r in 2..6 {
        w.put(&c, r - 1, r);
    }
    w.deliver(&holder);
    w.deliver(&c);
    w.net.clear();
    assert_eq!(w.control_states[&c].revision, 5, "acknowledged");
    let held = w.disks[&holder].log.keys().max().copied();
    let (index, state) = (w.nodes[&c].applied() - 2, w.control_states[&c].encode_to_vec());
    w.step(&c, Event::Snapshot { index, state: state.into() });
    // One is lost on the way, the next finds a gap, and is answered by a snapshot.
    w.put(&c, 5, 6);
    w.net.clear();
    w.put(&c, 6, 7);
    for _ in 0..20 {
        w.deliver(&holder);
        let installed = w.disks[&holder].hard.base >= index;
        assert!(w.disks[&holder].log.keys().max().copied() >= held, "what it said that it held is gone");
        if installed {
            return;
        }
        w.deliver(&c);
    }
    panic!("no snapshot came");
}

/// A leader whose state is larger than any frame, and one that lacks all of it.
fn one_that_lacks_a_large_state(bytes: usize) -> (World, String, String) {
    let (mut w, c) = World::led();
    let away = ALL.into_iter().find(|n| *n != c).expect("another").to_string();
    w.down.insert(away.clone());
    w.put(&c, 0, 9);
    w.pass(300);
    // Grown beyond any one entry, as by many changes.
    let json: Vec<u8> = (0..bytes).map(|i| (i * 31 % 251) as u8).collect();
    w.control_states.get_mut(&c).expect("a control state").configuration = json.into();
    let (index, state) = (w.nodes[&c].applied(), w.control_states[&c].encode_to_vec());
    assert!(w.control_states[&c].revision == 9 && state.len() > bytes);
    w.step(&c, Event::Snapshot { index, state: state.into() });
    w.start(&away);
    (w, c, away)
}

#[test]
fn a_state_larger_than_a_frame_is_sent_in_pieces_and_gone_on_with() {
    let bytes = 3 * rpc::FRAME_LIMIT / 2;
    let (mut w, c, away) = one_that_lacks_a_large_state(bytes);
    let kind = rpc::messages::RaftMessageKind::InstallSnapshot as i32;
    let (mut moved, mut lost, mut largest, end) = (0, 0, 0, w.now + 20 * TIMING.heartbeat * 10);
    while w.control_states[&away].revision != 9 {
        // Every third piece is lost on its way, and once the leader as well.
        let mut n = 0;
        w.net.retain(|(to, m)| {
            let piece = *to == away && m.kind == kind && !m.state.is_empty();
            n += usize::from(piece);
            largest = largest.max(m.state.len());
            let drop = piece && (moved + n).is_multiple_of(3);
            lost += usize::from(drop);
            !drop
        });
        moved += n;
        w.pass(10);
        assert!(w.now < end, "not there after {moved} pieces");
    }
    assert!(lost > 1 && largest <= rpc::FRAME_LIMIT / 4, "{lost} lost, {largest} bytes in one");
    // Each piece goes once, and again when it was lost.
    assert!(moved <= 7 + lost + 1, "{moved} pieces, {lost} lost");
    w.pass(1000);
    assert_eq!(w.control_states[&away], w.control_states[&c]);
    let hard = &w.disks[&away].hard;
    assert!(hard.base > 0 && !hard.voters.is_empty());
    // From its disk alone it is as far.
    w.start(&away);
    assert_eq!(w.control_states[&away].revision, 9);
}

#[test]
fn one_that_is_killed_in_the_middle_of_a_snapshot_again_and_again_is_level_in_the_end() {
    let (mut w, c, away) = one_that_lacks_a_large_state(rpc::FRAME_LIMIT);
    for n in 0..6 {
        let before = w.disks[&away].hard.base;
        w.pass(10 * (n % 3 + 1) * 6);
        if w.disks[&away].hard.base > before {
            break;
        }
        // Nothing of what has come in part counts, nor is it on the disk.
        assert!(w.control_states[&away].revision == 0 && w.disks[&away].state.is_empty());
        w.start(&away);
    }
    // Its leader ends, and the next one goes on sending.
    w.down.insert(c.clone());
    w.pass(3000);
    let d = w.leader().expect("the two others are a majority");
    w.pass(1000);
    assert_eq!((w.control_states[&away].revision, w.control_states[&d].revision), (9, 9));
}

#[test]
fn a_snapshot_that_is_torn_stale_or_too_large_changes_nothing() {
    let (mut w, c, away) = one_that_lacks_a_large_state(1000);
    let kind = rpc::messages::RaftMessageKind::InstallSnapshot;
    while sent(&w, &away, kind).is_empty() {
        w.now += 10;
        w.step(&c, Event::Tick);
        w.deliver(&away);
        w.deliver(&c);
    }
    let piece = sent(&w, &away, kind).remove(0);
    w.net.clear();
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
    // An old one does not take back what came since.
    w.pass(1000);
    assert_eq!(w.control_states[&away].revision, 9);
    w.put(&c, 9, 11);
    w.pass(500);
    let term = w.nodes[&away].hard.term;
    w.step(&away, Event::Message(RaftMessage { term, ..piece }));
    assert_eq!(w.control_states[&away].revision, 11);
}

#[test]
fn what_an_emptied_disk_says_makes_no_majority() {
    let (mut w, old) = World::led();
    w.put(&old, 0, 3);
    w.pass(300);
    // Cut off; the two others go on without it.
    w.beyond.insert(old.clone());
    while w.leader().is_none_or(|l| l == old) {
        w.pass(10);
    }
    let new = w.leader().expect("another one");
    let last = ALL.into_iter().find(|n| *n != old && *n != new).expect("a third");
    w.put(&new, 3, 5);
    w.pass(50);
    assert_eq!((w.control_states[&new].revision, w.nodes[&old].role), (5, StateRole::Leader));
    // The third loses its disk, and with it the newer term; it is on the old one's side
    // now, which was in time to lead once more.
    w.wipe(last);
    w.beyond.insert(last.into());
    w.put(&old, 3, 7);
    for _ in 0..TIMING.election / 20 {
        w.pass(10);
        assert!(w.nodes[&old].serves_until(w.now) <= w.now, "two lead at one time");
    }
    assert_eq!(w.control_states[&old].revision, 3, "nothing is committed with one that may have forgotten");
}

#[test]
fn one_that_just_came_back_does_not_elect_itself_while_its_word_may_count() {
    let (mut w, old) = World::led();
    let others: Vec<&str> = ALL.into_iter().filter(|n| *n != old).collect();
    let (back, deaf) = (others[0], others[1]);
    // The deaf one has not heard the leader for an election time; the other one has
    // just answered it when it is killed, and is there again at once.
    for _ in 0..TIMING.election / 10 + 1 {
        w.net.retain(|(to, m)| !(to == deaf && m.from == old));
        w.now += 10;
        for n in [&old, back] {
            w.step(n, Event::Tick);
        }
        w.net.retain(|(to, m)| !(to == deaf && m.from == old));
        w.deliver(back);
        w.deliver(&old);
    }
    let until = w.nodes[&old].serves_until(w.now);
    assert!(until > w.now);
    w.start(back);
    w.net.clear();
    while w.now < until {
        w.now += 10;
        w.step(back, Event::Tick);
        w.net.retain(|(to, _)| *to != old);
        w.deliver(deaf);
        w.deliver(back);
        assert_ne!(w.nodes[back].role, StateRole::Leader, "the old one may still act, by this one's word");
    }
}

#[test]
fn messages_that_cannot_be_change_nothing() {
    use rpc::messages::RaftMessageKind;
    let (mut w, c) = World::led();
    let others: Vec<String> = ALL.iter().filter(|n| **n != c).map(|n| n.to_string()).collect();
    for r in 1..4 {
        w.put(&c, r - 1, r);
        w.pass(200);
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
        (&n, append(&c, u64::MAX, commit, vec![])),
        (&n, append(&c, term, u64::MAX, vec![entry(0, term)])),
        // A gap, a term that goes back, one above the sender's.
        (&n, append(&c, term, commit, vec![entry(commit + 2, term)])),
        (&n, append(&c, term, commit, vec![entry(commit + 1, term - 1)])),
        (&n, append(&c, term, commit, vec![entry(commit + 1, term + 1)])),
        (&n, append(&c, term, commit, vec![twice])),
        (&n, append(&c, term, commit, vec![nobody])),
        // What is committed is never another entry.
        (&n, append(&c, term + 1, commit - 1, vec![entry(commit, term + 1)])),
        // A second leader of the term.
        (&n, append(&from, term, commit, vec![entry(commit + 1, term)])),
        (&c, append(&from, term, commit, vec![entry(commit + 1, term)])),
        (&n, RaftMessage { kind: 77, ..append(&c, term, commit, vec![]) }),
        (&c, ack),
    ];
    for (i, (to, m)) in all.into_iter().enumerate() {
        let before = (w.nodes[to].hard.clone(), w.nodes[to].commit, w.nodes[to].role, w.disks[to].log.clone());
        w.net.clear();
        w.step(to, Event::Message(m));
        let v = &w.nodes[to];
        assert_eq!((v.hard.clone(), v.commit, v.role, w.disks[to].log.clone()), before, "message {i}");
    }
    w.pass(1000);
    w.put(&c, 3, 9);
    w.pass(300);
    assert!(w.control_states.values().all(|r| r.revision == 9), "and all goes on as before");
}
#[test]
fn a_voter_that_came_in_while_others_were_away_is_elected_by_its_log() {
    // f came in while c and d were away, and a and b are lost: f's log alone can be
    // followed by the four that are up.
    let before: Vec<String> = ["a", "b", "c", "d", "e"].iter().map(|s| s.to_string()).collect();
    let after: Vec<String> = before.iter().cloned().chain(["f".to_string()]).collect();
    let mut w = World::of(&["c", "d", "e", "f"]);
    for (n, entries) in [("c", 1), ("d", 1), ("e", 2), ("f", 3)] {
        let hard = HardState { term: 1, voters: before.clone(), may_vote: true, ..HardState::default() };
        let entry = |i: u64| {
            let voters = if i == 2 { after.clone() } else { vec![] };
            (i, RaftEntry { index: i, term: 1, voters, ..RaftEntry::default() })
        };
        w.disks.insert(n.into(), Disk { hard, log: (1..=entries).map(entry).collect(), ..Disk::default() });
        w.start(n);
    }
    w.pass(8 * TIMING.election);
    assert_eq!(w.leader().as_deref(), Some("f"));
}

#[test]
fn an_order_under_way_with_one_leader_and_sent_to_the_next_is_taken_once() {
    let (mut repeated, mut anew) = (0, 0);
    for ms in (0..300).step_by(10) {
        let mut w = World::new();
        w.pass(2000);
        let first = w.leader().expect("a leader");
        w.put(&first, 0, 3);
        w.pass(ms);
        w.down.insert(first.clone());
        w.pass(3000);
        let second = w.leader().expect("another leader");
        let from = w.applied[&second].len();
        let known = w.control_states[&second].took(&word(0, 3));
        w.put(&second, 0, 3);
        w.start(&first);
        w.pass(2000);
        // Orders that came in between are none of its business.
        let got: Vec<ApplyResult> = w.applied[&second][from..].iter().map(|a| a.1).collect();
        assert_eq!(got, [if known { ApplyResult::Repeated } else { ApplyResult::Done }], "after {ms} ms");
        repeated += u32::from(known);
        anew += u32::from(!known);
        assert!(w.control_states.values().all(|r| r.revision == 3 && r.taken.len() == 1));
    }
    assert!(repeated > 0 && anew > 0, "{repeated} {anew}");
}

#[test]
fn one_that_is_about_to_end_hands_its_vote_on_first() {
    let (mut w, c) = World::led();
    w.put(&c, 0, 3);
    let ending = ALL.into_iter().find(|n| *n != c).expect("another").to_string();
    let last = ALL.into_iter().find(|n| *n != c && *n != ending).expect("a third").to_string();
    let tell = |w: &mut World, departing: &[&str]| {
        let departing = departing.iter().map(|s| s.to_string()).collect();
        w.nodes.get_mut(&c).expect("the leader").set_departing(departing);
    };
    // Nobody is there to take it: it stays.
    tell(&mut w, &[&ending]);
    w.tend(500);
    assert!(w.nodes[&c].voters().contains(&ending));
    w.newcomer("n");
    w.tend(2000);
    let begun = w.now;
    let now = w.nodes[&c].voters().to_vec();
    assert!(now.contains(&"n".to_string()) && !now.contains(&ending) && now.len() == 3, "{now:?}");
    assert!(w.nodes[&c].voters_committed());
    // From here on it may go, and one more with it.
    w.down.extend([ending.clone(), last.clone()]);
    w.put(&c, 3, 5);
    w.pass(300);
    assert_eq!(w.control_states[&c].revision, 5, "{} ms after", w.now - begun);
    // One that is about to end is given none.
    tell(&mut w, &["n", &ending]);
    w.start(&ending);
    w.tend(1000);
    assert!(!w.nodes[&c].voters().contains(&ending));
}

#[test]
fn readmission_is_of_the_incarnation_that_asked_and_is_told_once_a_round() {
    use rpc::messages::RaftMessageKind;
    let (mut w, c) = World::led();
    let lost = ALL.into_iter().find(|n| *n != c).expect("another");
    w.wipe(lost);
    let began = w.now;
    let (mut told, mut kept) = (0, None);
    while !w.nodes[lost].hard.may_vote {
        let grants = sent(&w, lost, RaftMessageKind::Append).into_iter().filter(|m| m.readmit);
        for m in grants {
            told += 1;
            kept = Some(m);
        }
        w.pass(10);
    }
    let rounds = (w.now - began) / TIMING.heartbeat + 2;
    assert!(told <= rounds, "told {told} times in {rounds} rounds");
    // It loses its disk once more; what was said to the incarnation before comes late.
    w.wipe(lost);
    w.net.clear();
    w.now += 4 * TIMING.election;
    w.step(lost, Event::Message(kept.expect("one")));
    assert!(!w.nodes[lost].hard.may_vote, "it holds nothing of what it was readmitted for");
}

impl World {
    /// Lets time pass while every message to `deaf` is lost. Whether it sent a round that
    /// keeps others from electing.
    fn pass_with_deaf(&mut self, deaf: &str, ms: u64) -> bool {
        let append = rpc::messages::RaftMessageKind::Append as i32;
        let mut keeps_followers = false;
        for _ in 0..ms / 10 {
            self.now += 10;
            for n in ALL {
                self.step(n, Event::Tick);
            }
            keeps_followers |= self.net.iter().any(|(_, m)| m.from == deaf && m.kind == append && !m.probe);
            for n in ALL.into_iter().filter(|n| *n != deaf) {
                self.deliver(n);
            }
            self.net.retain(|(to, _)| to != deaf);
        }
        keeps_followers
    }
}

#[test]
fn a_leader_that_is_heard_but_hears_no_majority_lets_the_others_elect() {
    let (mut w, old) = World::led();
    let cut_at = w.now;
    let mut last_heartbeat = cut_at;
    loop {
        if w.pass_with_deaf(&old, 10) {
            last_heartbeat = w.now;
        }
        if w.leader().is_some_and(|l| l != old) {
            break;
        }
        assert!(w.now < cut_at + 8 * TIMING.election, "nobody succeeds it");
    }
    assert!(last_heartbeat <= cut_at + TIMING.election, "it kept followers waiting for {} ms", last_heartbeat - cut_at);
    println!("last heartbeat after {} ms, succeeded after {} ms", last_heartbeat - cut_at, w.now - cut_at);
    // The followers' own time-outs, from the last heartbeat on.
    assert!(w.now <= cut_at + 3 * TIMING.election + TIMING.heartbeat, "succeeded after {} ms", w.now - cut_at);
}

#[test]
fn a_leader_that_was_frozen_past_its_lease_leads_on_if_nobody_was_elected() {
    let (mut w, leader) = World::led();
    let term = w.nodes[&leader].hard.term;
    w.down.insert(leader.clone());
    w.pass(TIMING.election - TIMING.heartbeat / 2);
    w.down.remove(&leader);
    assert!(!w.nodes[&leader].holds_leadership(w.now), "its lease has run out");
    w.pass(3 * TIMING.heartbeat);
    assert_eq!(w.leader().as_deref(), Some(leader.as_str()));
    w.pass(4 * TIMING.election);
    assert!(ALL.iter().all(|n| w.nodes[*n].hard.term == term), "an election by mistake");
}

#[test]
fn an_answer_to_a_probe_extends_no_lease() {
    let (mut w, leader) = World::led();
    w.pass_with_deaf(&leader, TIMING.election);
    assert!(!w.nodes[&leader].holds_leadership(w.now));
    // Its probes are answered now; of its other rounds none arrives.
    let lease = w.nodes[&leader].serves_until(w.now);
    let mut answered = 0;
    for _ in 0..2 * TIMING.heartbeat / 10 {
        w.now += 10;
        for n in ALL {
            w.step(n, Event::Tick);
        }
        w.net.retain(|(_, m)| m.from != leader || m.probe);
        for n in ALL.into_iter().filter(|n| *n != leader) {
            w.deliver(n);
        }
        answered += w.net.iter().filter(|(to, m)| *to == leader && m.ok).count();
        w.deliver(&leader);
        assert_eq!(w.nodes[&leader].serves_until(w.now), lease, "followers promised nothing");
    }
    assert!(answered > 0, "no probe was answered");
    // With its rounds arriving again it leads on.
    w.pass(2 * TIMING.heartbeat);
    assert_eq!(w.leader(), Some(leader));
}
