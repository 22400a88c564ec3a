//! What a session tells of its node: the incarnation, and whether the node is about to leave.
//!
//! An agent speaks for the service process beside it, which starts and ends on its own. Invariant:
//! a node that leaves does so for the rest of an incarnation, and each start of the process that
//! it stands for is another incarnation, so that no start inherits what the former one has told.

use rpc::messages::Node;
use rpc::next_incarnation;

/// How far a node is on its way out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// It takes work.
    Serving,
    /// The service process beside this one is about to end; its next start serves again.
    ServiceLeaving,
    /// This process is about to end.
    Ending,
}

/// A node as its session tells of it.
#[derive(Clone, Debug)]
pub struct NodeIdentity {
    node: Node,
    phase: Phase,
    /// The incarnation of the service process beside this one; `None` before it has asked.
    service: Option<u64>,
}

impl NodeIdentity {
    /// A node that serves, in the incarnation that it names.
    pub fn new(node: Node) -> NodeIdentity {
        NodeIdentity { node, phase: Phase::Serving, service: None }
    }

    /// The node as it is told to others.
    pub fn node(&self) -> Node {
        Node { leaving: self.phase != Phase::Serving, ..self.node.clone() }
    }

    /// The service process beside this one tells its incarnation, and whether it is about to end.
    pub fn service_told(&mut self, incarnation: u64, is_leaving: bool) {
        if self.service.is_some_and(|former| former != incarnation) {
            self.node.incarnation = next_incarnation(self.node.incarnation);
            telemetry::count("service_restarts");
            telemetry::change!("the process beside this one was started again: incarnation {}", self.node.incarnation);
            if self.phase == Phase::ServiceLeaving {
                self.phase = Phase::Serving;
            }
        }
        self.service = Some(incarnation);
        if is_leaving && self.phase == Phase::Serving {
            self.phase = Phase::ServiceLeaving;
        }
    }

    /// This process is about to end.
    pub fn end(&mut self) {
        self.phase = Phase::Ending;
    }

    /// Begins an incarnation after one of this node that is known; `None` if its own comes later.
    pub fn begin_after(&mut self, known: u64) -> Option<u64> {
        if known < self.node.incarnation {
            return None;
        }
        self.node.incarnation = next_incarnation(known);
        Some(self.node.incarnation)
    }

    /// Its disk was found empty in that incarnation.
    pub fn set_born(&mut self, incarnation: u64) {
        self.node.born = incarnation;
    }
}
