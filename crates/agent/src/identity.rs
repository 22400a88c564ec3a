//! The state that a session reports for its node: the incarnation, and whether the node is leaving.
//!
//! An agent reports on behalf of the local service process, which starts and stops independently.
//! Invariant: a leaving node stays so for the rest of its incarnation, and each start of the
//! service process begins a new incarnation, so that no start inherits the reports of an earlier one.

use rpc::messages::Node;
use rpc::next_incarnation;

/// The shutdown phase of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// The node accepts work.
    Serving,
    /// The local service process is about to stop; its next start serves again.
    ServiceLeaving,
    /// This process is about to stop.
    Ending,
}

/// The state of a node that its session reports.
#[derive(Clone, Debug)]
pub struct NodeIdentity {
    node: Node,
    phase: Phase,
    /// The incarnation of the local service process; `None` before its first request.
    service: Option<u64>,
}

impl NodeIdentity {
    /// Creates a serving node with the incarnation in `node`.
    pub fn new(node: Node) -> NodeIdentity {
        NodeIdentity { node, phase: Phase::Serving, service: None }
    }

    /// The node as reported to other processes.
    pub fn node(&self) -> Node {
        Node { leaving: self.phase != Phase::Serving, ..self.node.clone() }
    }

    /// Records the incarnation of the local service process and whether it is about to stop.
    pub fn service_told(&mut self, incarnation: u64, is_leaving: bool) {
        if self.service.is_some_and(|previous| previous != incarnation) {
            self.node.incarnation = next_incarnation(self.node.incarnation);
            telemetry::count("service_restarts");
            telemetry::change!("local service process restarted: incarnation is now {}", self.node.incarnation);
            if self.phase == Phase::ServiceLeaving {
                self.phase = Phase::Serving;
            }
        }
        self.service = Some(incarnation);
        if is_leaving && self.phase == Phase::Serving {
            self.phase = Phase::ServiceLeaving;
        }
    }

    /// This process is about to stop.
    pub fn end(&mut self) {
        self.phase = Phase::Ending;
    }

    /// Begins an incarnation after `known`; `None` if the current one is already later.
    pub fn begin_after(&mut self, known: u64) -> Option<u64> {
        if known < self.node.incarnation {
            return None;
        }
        self.node.incarnation = next_incarnation(known);
        Some(self.node.incarnation)
    }

    /// Records the incarnation in which the disk of this node was found empty.
    pub fn set_born(&mut self, incarnation: u64) {
        self.node.born = incarnation;
    }
}
