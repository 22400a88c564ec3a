//! What an agent reports for its node while the local service process starts and stops independently.

use agent::NodeIdentity;
use rpc::messages::Node;

const FIRST: u64 = 10;

fn identity() -> NodeIdentity {
    NodeIdentity::new(Node { name: "front-1".into(), incarnation: FIRST, ..Node::default() })
}

fn reported(identity: &NodeIdentity) -> (u64, bool) {
    let node = identity.node();
    (node.incarnation, node.leaving)
}

/// Guards against LOST: a front that restarted beside a running agent was still
/// reported as leaving.
#[test]
fn a_restarted_service_serves_in_a_new_incarnation() {
    let mut identity = identity();
    identity.service_told(7, false);
    assert_eq!(reported(&identity), (FIRST, false));
    identity.service_told(7, true);
    assert_eq!(reported(&identity), (FIRST, true));
    identity.service_told(7, false);
    assert_eq!(reported(&identity), (FIRST, true), "leaving is not undone within one run");
    identity.service_told(8, false);
    assert_eq!(reported(&identity), (FIRST + 1, false));
    identity.service_told(8, true);
    identity.service_told(3, false);
    assert_eq!(reported(&identity), (FIRST + 2, false), "a restart is detected even if the clock went back");
}

#[test]
fn a_killed_service_also_restarts_in_a_new_incarnation() {
    let mut identity = identity();
    identity.service_told(7, false);
    identity.service_told(8, false);
    assert_eq!(reported(&identity), (FIRST + 1, false));
}

#[test]
fn a_stopping_agent_leaves_whatever_its_service_does() {
    let mut identity = identity();
    identity.service_told(7, true);
    identity.end();
    identity.service_told(8, false);
    assert!(identity.node().leaving);
}

#[test]
fn an_incarnation_known_to_others_is_followed_by_a_later_one() {
    let mut identity = identity();
    assert_eq!(identity.begin_after(FIRST - 1), None);
    assert_eq!(identity.begin_after(FIRST + 5), Some(FIRST + 6));
}
