//! What an agent tells of its node while the service process beside it starts and ends on its own.

use agent::NodeIdentity;
use rpc::messages::Node;

const FIRST: u64 = 10;

fn identity() -> NodeIdentity {
    NodeIdentity::new(Node { name: "front-1".into(), incarnation: FIRST, ..Node::default() })
}

fn told(identity: &NodeIdentity) -> (u64, bool) {
    let node = identity.node();
    (node.incarnation, node.leaving)
}

/// Guards against LOST: a front that was started again beside its agent stayed one that leaves.
#[test]
fn a_service_that_is_started_again_serves_in_a_new_incarnation() {
    let mut identity = identity();
    identity.service_told(7, false);
    assert_eq!(told(&identity), (FIRST, false));
    identity.service_told(7, true);
    assert_eq!(told(&identity), (FIRST, true));
    identity.service_told(7, false);
    assert_eq!(told(&identity), (FIRST, true), "leaving is not undone within a start");
    identity.service_told(8, false);
    assert_eq!(told(&identity), (FIRST + 1, false));
    identity.service_told(8, true);
    identity.service_told(3, false);
    assert_eq!(told(&identity), (FIRST + 2, false), "a clock that went back makes no start an old one");
}

#[test]
fn a_service_that_was_killed_is_another_incarnation_too() {
    let mut identity = identity();
    identity.service_told(7, false);
    identity.service_told(8, false);
    assert_eq!(told(&identity), (FIRST + 1, false));
}

#[test]
fn an_agent_that_ends_leaves_whatever_its_service_does() {
    let mut identity = identity();
    identity.service_told(7, true);
    identity.end();
    identity.service_told(8, false);
    assert!(identity.node().leaving);
}

#[test]
fn an_incarnation_that_others_know_is_followed_by_another() {
    let mut identity = identity();
    assert_eq!(identity.begin_after(FIRST - 1), None);
    assert_eq!(identity.begin_after(FIRST + 5), Some(FIRST + 6));
}
