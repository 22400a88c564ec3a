//! Asking the leader for cold processors.

use rpc::messages::{ColdLease, ColdLeaseAck, Node};
use rpc::{Body, RpcClients};
use std::time::Duration;

/// Asks for the cold processors that a node may send to; `None` if nobody answers, or nobody
/// leads as far as is known.
pub async fn ask_cold_lease(
    rpc_clients: &RpcClients,
    leader: &str,
    node: Node,
    within: Duration,
) -> Option<ColdLeaseAck> {
    if leader.is_empty() {
        return None;
    }
    match rpc_clients.to(leader).call(Body::ColdLease(ColdLease { node }), within).await {
        Ok(Body::ColdLeaseAck(ack)) => Some(ack),
        _ => None,
    }
}
