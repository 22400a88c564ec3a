//! Which runs a delivery node takes: never one that is fenced, given up, or beside
//! another of the same message.

use front::{Outbox, RunDecision};
use proptest::prelude::*;
use rpc::messages::{Holding, Run};
use std::collections::{HashMap, HashSet};

const QUIET: u64 = 4000;

fn run(term: u64, position: u64, attempt: u64) -> Run {
    Run { partition: 3, term, position, attempt, ..Run::default() }
}

fn revoked(term: u64, position: u64, attempt: u64) -> Run {
    Run { revoked: true, ..run(term, position, attempt) }
}

fn outbox() -> Outbox {
    Outbox::new(QUIET, 60_000)
}

#[test]
fn a_run_of_an_older_term_is_fenced_where_its_partition_was_never_heard_of() {
    let mut s = outbox();
    assert_eq!(s.request_run(&run(1, 5, 9), None, false, 0), RunDecision::Refused, "nothing is known here yet");
    assert_eq!(s.request_run(&run(1, 5, 9), Some(2), false, 0), RunDecision::Refused, "the majority is further");
    assert_eq!(s.request_run(&run(2, 5, 10), Some(2), false, 0), RunDecision::Send);
    // An owner that is ahead of this node's assignments.
    assert_eq!(s.request_run(&run(3, 6, 11), Some(2), false, 0), RunDecision::Send);
    assert_eq!(s.request_run(&run(2, 7, 12), Some(2), false, 0), RunDecision::Refused);
    s.held_deliveries(&Holding { partition: 3, term: 4 });
    assert_eq!(s.request_run(&run(3, 8, 13), Some(2), false, 0), RunDecision::Refused);
}

#[test]
fn a_run_that_was_given_up_before_it_came_is_never_sent() {
    let mut s = outbox();
    assert_eq!(s.request_run(&revoked(1, 5, 9), Some(1), false, 0), RunDecision::Refused);
    assert_eq!(s.request_run(&run(1, 5, 9), Some(1), false, 0), RunDecision::Refused);
    assert_eq!(s.request_run(&run(1, 5, 10), Some(1), false, 0), RunDecision::Send, "the next attempt is");
    // One that was taken says so, and stays.
    assert_eq!(s.request_run(&revoked(1, 5, 10), Some(1), false, 0), RunDecision::Held);
    assert_eq!(s.request_run(&run(1, 5, 10), Some(1), false, 0), RunDecision::Held);
    // Also when another attempt at the message is held.
    assert_eq!(s.request_run(&revoked(1, 5, 12), Some(1), false, 0), RunDecision::Refused);
    s.release(3, 5);
    assert_eq!(s.request_run(&run(1, 5, 12), Some(1), false, 0), RunDecision::Refused);
}

#[test]
fn one_message_is_sent_once_at_a_time_also_when_a_number_is_used_again() {
    let mut s = outbox();
    assert_eq!(s.request_run(&run(1, 5, 9), Some(1), false, 0), RunDecision::Send);
    // After a crash the log ends earlier, and the number comes again at the next term.
    assert_eq!(s.request_run(&run(2, 5, 9), Some(2), false, 0), RunDecision::Refused);
    let held = s.held_deliveries(&Holding { partition: 3, term: 2 });
    assert_eq!((held.positions, held.attempts, held.terms), (vec![5], vec![9], vec![1]));
    s.release(3, 5);
    assert_eq!(s.request_run(&run(2, 5, 9), Some(2), false, 0), RunDecision::Send);
}

#[test]
fn a_node_that_stood_still_takes_nothing_that_lay_here_meanwhile() {
    let mut s = outbox();
    let step = QUIET / 40;
    for n in 0..10 {
        s.tick(n * step);
        assert_eq!(s.request_run(&run(1, n, n), Some(1), false, n * step + 1), RunDecision::Send);
    }
    // Frozen for as long as an owner waits, and a frame is read before the beat.
    let woken = 9 * step + QUIET / 8;
    assert_eq!(s.request_run(&run(1, 20, 20), Some(1), false, woken), RunDecision::Refused);
    s.tick(woken + 1);
    assert_eq!(s.request_run(&run(1, 21, 21), Some(1), false, woken + 2), RunDecision::Refused);
    s.tick(woken + step);
    assert_eq!(s.request_run(&run(1, 22, 22), Some(1), false, woken + step), RunDecision::Send);
    assert_eq!(s.under_way(), 11);
}

/// What happens next: frames come late, twice and in any order.
#[derive(Clone, Debug)]
enum Step {
    /// The owner gives a message out.
    Give(u64),
    /// The n-th frame that is under way arrives; it may come again.
    Arrive(usize, bool),
    /// The owner gives its last attempt at a message up, and asks.
    GiveUp(u64),
    /// Another owner, at the next term, that asks what is held or knows of it otherwise.
    TakeOver(bool),
    /// A delivery's report is taken.
    Over(u64),
    /// The delivery node's process ends, and another begins.
    Begin,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let one = prop_oneof![
        4 => (0..3u64).prop_map(Step::Give),
        6 => (0..8usize, any::<bool>()).prop_map(|(n, again)| Step::Arrive(n, again)),
        2 => (0..3u64).prop_map(Step::GiveUp),
        1 => any::<bool>().prop_map(Step::TakeOver),
        3 => (0..3u64).prop_map(Step::Over),
        1 => Just(Step::Begin),
    ];
    prop::collection::vec(one, 1..60)
}

fn play(steps: &[Step]) {
    let mut s = outbox();
    let (mut term, mut next, mut assignments) = (1, 0, 1);
    let mut frames: Vec<Run> = Vec::new();
    let mut last: HashMap<u64, Run> = HashMap::new();
    // At the stand-in processor: what runs now, how often each attempt was sent, and
    // what may not be any more.
    let mut running: HashSet<u64> = HashSet::new();
    let mut sent: HashMap<(u64, u64), usize> = HashMap::new();
    let mut dead: HashSet<(u64, u64)> = HashSet::new();
    for step in steps {
        match step {
            Step::Give(position) => {
                next += 1;
                let r = run(term, *position, next);
                last.insert(*position, r.clone());
                frames.push(r);
            }
            Step::Arrive(n, again) if *n < frames.len() => {
                let r = if *again { frames[*n].clone() } else { frames.remove(*n) };
                if s.request_run(&r, Some(assignments), false, 0) == RunDecision::Send {
                    let name = (r.term, r.attempt);
                    assert!(!dead.contains(&name), "sent after it was given up or fenced: {r:?}");
                    assert!(running.insert(r.position), "two at once: {r:?}");
                    *sent.entry(name).or_default() += 1;
                }
            }
            Step::GiveUp(position) => {
                if let Some(r) = last.remove(position)
                    && s.request_run(&Run { revoked: true, ..r.clone() }, Some(assignments), false, 0)
                        == RunDecision::Refused
                {
                    dead.insert((r.term, r.attempt));
                }
            }
            Step::TakeOver(asks) => {
                // The log may end earlier than what was given out: numbers come again.
                (term, next) = (term + 1, next.saturating_sub(2));
                dead.extend(frames.iter().chain(last.values()).map(|r| (r.term, r.attempt)));
                last.clear();
                if *asks {
                    s.held_deliveries(&Holding { partition: 3, term });
                } else {
                    assignments = term;
                }
            }
            Step::Over(position) => {
                s.release(3, *position);
                running.remove(position);
            }
            Step::Begin => {
                // All that it held ended with it; its assignments is read anew.
                s = outbox();
                assignments = term;
                running.clear();
                dead.extend(sent.keys());
                frames.clear();
            }
            Step::Arrive(..) => {}
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2000, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(21), ..ProptestConfig::default()
    })]

    #[test]
    fn frames_late_twice_and_in_any_order_never_make_two_sends_at_once(steps in steps()) {
        play(&steps);
    }
}
