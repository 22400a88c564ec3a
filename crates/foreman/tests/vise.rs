//! The majority log, with links and disks in the test's hands.

use bytes::Bytes;
use dovetail::msg::{ViseEntry, ViseMsg};
use foreman::*;
use prost::Message;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

const PACE: Pace = Pace { beat: 100, election: 400 };
const ALL: [&str; 3] = ["a", "b", "c"];

#[derive(Clone, Default)]
struct Disk {
    hard: Hard,
    log: BTreeMap<u64, ViseEntry>,
}

struct World {
    now: u64,
    nodes: BTreeMap<String, Vise>,
    disks: BTreeMap<String, Disk>,
    racks: BTreeMap<String, Rack>,
    applied: BTreeMap<String, Vec<(u64, Applied)>>,
    down: BTreeSet<String>,
    net: VecDeque<(String, ViseMsg)>,
}

impl World {
    fn new() -> World {
        let mut w = World {
            now: 1_000_000,
            nodes: BTreeMap::new(),
            disks: BTreeMap::new(),
            racks: BTreeMap::new(),
            applied: BTreeMap::new(),
            down: BTreeSet::new(),
            net: VecDeque::new(),
        };
        let voters: Vec<String> = ALL.iter().map(|s| s.to_string()).collect();
        for n in ALL {
            let hard = Hard { voters: voters.clone(), may_vote: true, ..Hard::default() };
            w.disks.insert(n.into(), Disk { hard, ..Disk::default() });
            w.start(n);
        }
        w
    }

    fn start(&mut self, n: &str) {
        let d = self.disks[n].clone();
        let seed = n.as_bytes()[0] as u64 * 7919;
        let v = Vise::new(n, d.hard, d.log.into_values().collect(), PACE, seed, self.now);
        self.nodes.insert(n.into(), v);
        self.racks.insert(n.into(), Rack::default());
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
                }
                Effect::Send(to, m) => self.net.push_back((to, m)),
                Effect::Apply(e) => {
                    let a = self.racks.get_mut(n).expect("a rack").apply(e.index, &e.data);
                    self.applied.get_mut(n).expect("a list").push((e.index, a));
                }
                Effect::Restore(_, s) => {
                    self.racks.insert(n.into(), Rack::decode(s).expect("whole state"));
                }
                _ => {}
            }
        }
    }

    fn pass(&mut self, ms: u64) {
        for _ in 0..ms / 10 {
            self.now += 10;
            for n in ALL {
                if !self.down.contains(n) {
                    self.step(n, Event::Tick);
                }
            }
            for _ in 0..self.net.len() {
                if let Some((to, m)) = self.net.pop_front()
                    && !self.down.contains(&to)
                    && !self.down.contains(&m.from)
                {
                    self.step(&to, Event::Message(m));
                }
            }
        }
    }

    fn chair(&self) -> Option<String> {
        let held: Vec<&String> = self
            .nodes
            .iter()
            .filter(|(n, v)| !self.down.contains(*n) && v.holds_chair(self.now))
            .map(|(n, _)| n)
            .collect();
        assert!(held.len() <= 1, "two chairs: {held:?}");
        held.first().map(|s| s.to_string())
    }

    fn put(&mut self, n: &str, base: u64, revision: u64) {
        let t = PutTemplate { base, revision, json: Bytes::from(format!("{revision}")), print: revision };
        let data = Command { word: Some(Word::Template(t)) }.encode_to_vec();
        self.step(n, Event::Propose(data.into()));
    }

    fn wipe(&mut self, n: &str) {
        let voters = ALL.iter().map(|s| s.to_string()).collect();
        self.disks.insert(n.into(), Disk { hard: Hard { voters, ..Hard::default() }, ..Disk::default() });
        self.start(n);
    }
}

#[test]
fn one_chair_and_what_it_acknowledged_survives_it() {
    let mut w = World::new();
    w.pass(2000);
    let first = w.chair().expect("a chair");
    w.put(&first, 0, 3);
    w.pass(200);
    assert!(w.racks.values().all(|r| r.revision == 3));
    w.down.insert(first.clone());
    w.pass(3000);
    let second = w.chair().expect("another chair");
    assert_ne!(first, second);
    assert_eq!(w.racks[&second].revision, 3);
    w.put(&second, 3, 5);
    w.pass(200);
    assert!(w.nodes[&second].serves(w.now));
    w.start(&first);
    w.pass(1000);
    assert_eq!(w.racks[&first].revision, 5, "it folds its disk and catches up");
}

#[test]
fn two_configurations_on_one_base_and_one_wins() {
    let mut w = World::new();
    w.pass(2000);
    let chair = w.chair().expect("a chair");
    w.put(&chair, 0, 3);
    w.put(&chair, 0, 4);
    w.pass(300);
    for n in ALL {
        let got: Vec<Applied> = w.applied[n].iter().map(|a| a.1).collect();
        assert_eq!(got[got.len() - 2..], [Applied::Done, Applied::Beaten]);
        assert_eq!(w.racks[n].revision, 3);
        assert!(w.racks[n].took(3, 0, 3) && !w.racks[n].took(4, 0, 4));
    }
}

#[test]
fn without_a_majority_nothing_is_taken() {
    let mut w = World::new();
    w.pass(2000);
    let chair = w.chair().expect("a chair");
    let others: Vec<&str> = ALL.into_iter().filter(|n| *n != chair).collect();
    w.down.extend(others.iter().map(|s| s.to_string()));
    w.put(&chair, 0, 3);
    w.pass(3000);
    assert_eq!(w.chair(), None, "it knows that nobody follows");
    assert_eq!(w.racks[&chair].revision, 0);
    for o in others {
        w.start(o);
    }
    w.pass(3000);
    assert!(w.chair().is_some());
}

#[test]
fn one_that_lost_its_disk_does_not_vote_until_readmitted() {
    let mut w = World::new();
    w.pass(2000);
    let chair = w.chair().expect("a chair");
    w.put(&chair, 0, 3);
    w.pass(300);
    let others: Vec<&str> = ALL.into_iter().filter(|n| *n != chair).collect();
    let (lost, other) = (others[0], others[1]);
    // The other one is away, so nobody can vouch for what the lost one forgot.
    w.down.insert(other.into());
    w.wipe(lost);
    w.pass(1000);
    assert!(!w.nodes[lost].hard.may_vote);
    w.start(other);
    w.pass(1000);
    assert!(w.nodes[lost].hard.may_vote, "readmitted once it holds all and the others follow");
    assert_eq!(w.racks[lost].revision, 3);
    w.down.insert(chair);
    w.pass(3000);
    assert!(w.chair().is_some(), "and its vote counts again");
}

#[test]
fn the_one_in_the_chair_names_its_successor() {
    let mut w = World::new();
    w.pass(2000);
    let chair = w.chair().expect("a chair");
    w.step(&chair, Event::StepDown);
    w.pass(100);
    let next = w.chair().expect("named, without waiting for an election");
    assert_ne!(next, chair);
}

#[test]
fn a_log_that_was_cut_is_sent_as_a_whole_state() {
    let mut w = World::new();
    w.pass(2000);
    let chair = w.chair().expect("a chair");
    let late = ALL.into_iter().find(|n| *n != chair).expect("another");
    w.down.insert(late.into());
    for r in 1..20 {
        w.put(&chair, r - 1, r);
        w.pass(50);
    }
    let state = w.racks[&chair].encode_to_vec();
    let index = w.nodes[&chair].applied();
    w.step(&chair, Event::Snapshot { index, state: state.into() });
    w.start(late);
    w.pass(1000);
    assert_eq!(w.racks[late].revision, 19);
    // And it starts again from that.
    let d = &w.disks[late];
    assert!(d.log.len() < 5 && d.hard.base >= index - 1);
}

#[test]
fn after_the_end_of_all_at_once_nothing_is_answered_before_the_log_is_applied() {
    let mut w = World::new();
    w.pass(2000);
    let chair = w.chair().expect("a chair");
    w.put(&chair, 0, 3);
    w.pass(300);
    for n in ALL {
        w.start(n);
    }
    for _ in 0..300 {
        w.pass(10);
        for n in ALL {
            let v = &w.nodes[n];
            assert!(!v.serves(w.now) || w.racks[n].revision == 3, "{n} would answer from an empty state");
        }
    }
    assert!(ALL.iter().any(|n| w.nodes[*n].serves(w.now)));
}
