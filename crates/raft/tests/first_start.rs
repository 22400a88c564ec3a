//! The term of the first leader when all nodes of a new cluster start together.

use bytes::Bytes;
use raft::*;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rpc::messages::RaftMessage;
use std::collections::{BTreeMap, VecDeque};

const TIMING: Timing = Timing { heartbeat: 100, election: 400 };
const ALL: [&str; 3] = ["a", "b", "c"];
/// Tick interval of a node, in milliseconds.
const TICK: u64 = 36;

/// Starts nodes nearly at the same time, with random tick phases and link delays. Returns the
/// term of the first leader and the milliseconds until its election.
fn first_start(seed: u64) -> (u64, u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let voters: Vec<String> = ALL.iter().map(|n| n.to_string()).collect();
    let begin = 1_000_000;
    // In every other run all nodes start at the same time, as after a power failure.
    let spread = if seed.is_multiple_of(2) { 1 } else { 60 };
    let starts: Vec<u64> = ALL.iter().map(|_| begin + rng.random_range(0..spread)).collect();
    let mut nodes: Vec<RaftNode> = Vec::new();
    for (name, start) in ALL.iter().zip(&starts) {
        let hard = HardState { voters: voters.clone(), may_vote: true, ..HardState::default() };
        nodes.push(RaftNode::new(name, hard, Bytes::new(), vec![], TIMING, rng.random(), *start));
    }
    // Links preserve the order of messages.
    let mut links: BTreeMap<(usize, usize), VecDeque<(u64, RaftMessage)>> = BTreeMap::new();
    for now in begin..begin + 20 * TIMING.election {
        for n in 0..nodes.len() {
            let mut effects = Vec::new();
            if now >= starts[n] && (now - starts[n]).is_multiple_of(TICK) {
                effects.extend(nodes[n].step(now, Event::Tick));
            }
            for from in 0..nodes.len() {
                let Some(link) = links.get_mut(&(from, n)) else { continue };
                while now >= starts[n] && link.front().is_some_and(|(due, _)| *due <= now) {
                    let (_, m) = link.pop_front().expect("a message");
                    effects.extend(nodes[n].step(now, Event::Message(m)));
                }
            }
            let mut saving = 0;
            for e in effects {
                match e {
                    Effect::Save(_) => saving += rng.random_range(3..9),
                    Effect::Send(to, m) => {
                        let to = voters.iter().position(|v| *v == to).expect("a voter");
                        let link = links.entry((n, to)).or_default();
                        let due = (now + saving + rng.random_range(1..24)).max(link.back().map_or(0, |l| l.0));
                        link.push_back((due, m));
                    }
                    Effect::BecameLeader => return (nodes[n].hard.term, now - begin),
                    _ => {}
                }
            }
        }
    }
    panic!("no leader in {} ms", 20 * TIMING.election);
}

#[test]
fn the_first_election_succeeds_by_the_second_term_in_nine_of_ten_starts() {
    let starts: Vec<(u64, u64)> = (0..400).map(first_start).collect();
    let by_second_term = starts.iter().filter(|s| s.0 <= 2).count();
    let mut times: Vec<u64> = starts.iter().map(|s| s.1).collect();
    times.sort_unstable();
    let highest = starts.iter().map(|s| s.0).max();
    println!(
        "{by_second_term} of 400 by the second term, highest term {highest:?}, half within {} ms, all within {:?}",
        times[200],
        times.last()
    );
    assert!(by_second_term >= 360, "{by_second_term} of 400 by the second term");
    assert!(times[200] <= TIMING.election, "the median election took {} ms", times[200]);
}
