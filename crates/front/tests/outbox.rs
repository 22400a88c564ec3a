//! Which runs a delivery node accepts: never one that is fenced, revoked, or concurrent with another run
//! of the same message.

use front::{Outbox, RunDecision};
use proptest::prelude::*;
use rpc::messages::{Holding, Run};
use std::collections::{HashMap, HashSet};

const QUIET_MS: u64 = 4000;

fn run(term: u64, position: u64, attempt: u64) -> Run {
    Run { partition: 3, term, position, attempt, ..Run::default() }
}

fn revoked(term: u64, position: u64, attempt: u64) -> Run {
    Run { revoked: true, ..run(term, position, attempt) }
}

fn new_outbox() -> Outbox {
    Outbox::new(QUIET_MS, 60_000)
}

#[test]
fn a_run_of_an_older_term_is_fenced_also_on_a_node_new_to_its_partition() {
    let mut outbox = new_outbox();
    assert_eq!(outbox.request_run(&run(1, 5, 9), None, false, 0), RunDecision::Refused, "no term is known yet");
    assert_eq!(
        outbox.request_run(&run(1, 5, 9), Some(2), false, 0),
        RunDecision::Refused,
        "the assignments have a later term"
    );
    assert_eq!(outbox.request_run(&run(2, 5, 10), Some(2), false, 0), RunDecision::Send);
    // An owner of a later term than in this node's assignments.
    assert_eq!(outbox.request_run(&run(3, 6, 11), Some(2), false, 0), RunDecision::Send);
    assert_eq!(outbox.request_run(&run(2, 7, 12), Some(2), false, 0), RunDecision::Refused);
    outbox.held_deliveries(&Holding { partition: 3, term: 4 });
    assert_eq!(outbox.request_run(&run(3, 8, 13), Some(2), false, 0), RunDecision::Refused);
}

#[test]
fn a_run_revoked_before_it_arrives_is_never_sent() {
    let mut outbox = new_outbox();
    assert_eq!(outbox.request_run(&revoked(1, 5, 9), Some(1), false, 0), RunDecision::Refused);
    assert_eq!(outbox.request_run(&run(1, 5, 9), Some(1), false, 0), RunDecision::Refused);
    assert_eq!(outbox.request_run(&run(1, 5, 10), Some(1), false, 0), RunDecision::Send, "the next attempt is sent");
    // An accepted run stays held when it is revoked or requested again.
    assert_eq!(outbox.request_run(&revoked(1, 5, 10), Some(1), false, 0), RunDecision::Held);
    assert_eq!(outbox.request_run(&run(1, 5, 10), Some(1), false, 0), RunDecision::Held);
    // A revocation is also kept while another attempt of the message is held.
    assert_eq!(outbox.request_run(&revoked(1, 5, 12), Some(1), false, 0), RunDecision::Refused);
    outbox.release(3, 5);
    assert_eq!(outbox.request_run(&run(1, 5, 12), Some(1), false, 0), RunDecision::Refused);
}

#[test]
fn a_message_is_sent_once_at_a_time_even_if_an_attempt_number_is_reused() {
    let mut outbox = new_outbox();
    assert_eq!(outbox.request_run(&run(1, 5, 9), Some(1), false, 0), RunDecision::Send);
    // A crash may shorten the log, so that the next term uses the same attempt number again.
    assert_eq!(outbox.request_run(&run(2, 5, 9), Some(2), false, 0), RunDecision::Refused);
    let held = outbox.held_deliveries(&Holding { partition: 3, term: 2 });
    assert_eq!((held.positions, held.attempts, held.terms), (vec![5], vec![9], vec![1]));
    outbox.release(3, 5);
    assert_eq!(outbox.request_run(&run(2, 5, 9), Some(2), false, 0), RunDecision::Send);
}

#[test]
fn a_node_that_was_stalled_refuses_runs_queued_during_the_stall() {
    let mut outbox = new_outbox();
    let interval = QUIET_MS / 40;
    for n in 0..10 {
        outbox.tick(n * interval);
        assert_eq!(outbox.request_run(&run(1, n, n), Some(1), false, n * interval + 1), RunDecision::Send);
    }
    // Stalled for as long as an owner waits, and a frame is read before the next tick.
    let resumed = 9 * interval + QUIET_MS / 8;
    assert_eq!(outbox.request_run(&run(1, 20, 20), Some(1), false, resumed), RunDecision::Refused);
    outbox.tick(resumed + 1);
    assert_eq!(outbox.request_run(&run(1, 21, 21), Some(1), false, resumed + 2), RunDecision::Refused);
    outbox.tick(resumed + interval);
    assert_eq!(outbox.request_run(&run(1, 22, 22), Some(1), false, resumed + interval), RunDecision::Send);
    assert_eq!(outbox.held_count(), 11);
}

/// One step of a generated test case. Frames arrive late, twice and in any order.
#[derive(Clone, Debug)]
enum Step {
    /// The owner dispatches a message.
    Dispatch(u64),
    /// The n-th frame in transit arrives; if the flag is set, it stays in transit and may arrive again.
    Arrive(usize, bool),
    /// The owner revokes its last attempt at a message, and reads the answer.
    Revoke(u64),
    /// A new owner takes over at the next term. It queries the held deliveries if the flag is set;
    /// otherwise the node learns the term from its assignments.
    TakeOver(bool),
    /// The report of a delivery is acknowledged.
    Release(u64),
    /// The delivery node's process restarts.
    Restart,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let one = prop_oneof![
        4 => (0..3u64).prop_map(Step::Dispatch),
        6 => (0..8usize, any::<bool>()).prop_map(|(n, again)| Step::Arrive(n, again)),
        2 => (0..3u64).prop_map(Step::Revoke),
        1 => any::<bool>().prop_map(Step::TakeOver),
        3 => (0..3u64).prop_map(Step::Release),
        1 => Just(Step::Restart),
    ];
    prop::collection::vec(one, 1..60)
}

fn run_steps(steps: &[Step]) {
    let mut outbox = new_outbox();
    let (mut term, mut last_attempt, mut assigned_term) = (1, 0, 1);
    let mut frames: Vec<Run> = Vec::new();
    let mut last: HashMap<u64, Run> = HashMap::new();
    // The mock processor: messages that run now, how often each attempt was sent, and the attempts that
    // may not be sent any more.
    let mut running: HashSet<u64> = HashSet::new();
    let mut sent: HashMap<(u64, u64), usize> = HashMap::new();
    let mut forbidden: HashSet<(u64, u64)> = HashSet::new();
    for step in steps {
        match step {
            Step::Dispatch(position) => {
                last_attempt += 1;
                let request = run(term, *position, last_attempt);
                last.insert(*position, request.clone());
                frames.push(request);
            }
            Step::Arrive(n, again) if *n < frames.len() => {
                let request = if *again { frames[*n].clone() } else { frames.remove(*n) };
                if outbox.request_run(&request, Some(assigned_term), false, 0) == RunDecision::Send {
                    let attempt = (request.term, request.attempt);
                    assert!(!forbidden.contains(&attempt), "sent after it was revoked or fenced: {request:?}");
                    assert!(running.insert(request.position), "two concurrent runs: {request:?}");
                    *sent.entry(attempt).or_default() += 1;
                }
            }
            Step::Revoke(position) => {
                if let Some(request) = last.remove(position)
                    && outbox.request_run(&Run { revoked: true, ..request.clone() }, Some(assigned_term), false, 0)
                        == RunDecision::Refused
                {
                    forbidden.insert((request.term, request.attempt));
                }
            }
            Step::TakeOver(queries_held) => {
                // The new owner's log may lack the last dispatches, so that attempt numbers are reused.
                (term, last_attempt) = (term + 1, last_attempt.saturating_sub(2));
                forbidden.extend(frames.iter().chain(last.values()).map(|request| (request.term, request.attempt)));
                last.clear();
                if *queries_held {
                    outbox.held_deliveries(&Holding { partition: 3, term });
                } else {
                    assigned_term = term;
                }
            }
            Step::Release(position) => {
                outbox.release(3, *position);
                running.remove(position);
            }
            Step::Restart => {
                // The held deliveries end with the process, and the assignments are read anew.
                outbox = new_outbox();
                assigned_term = term;
                running.clear();
                forbidden.extend(sent.keys());
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
        run_steps(&steps);
    }
}
