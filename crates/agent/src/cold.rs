//! Requests leases for cold processors from the leader.

use rpc::messages::{ColdLease, ColdLeaseAck, Node};
use rpc::{Body, RpcClients};
use std::time::Duration;

/// Requests the cold processors that a node may send to; `None` if no leader is known or it does
/// not answer within the timeout.
pub async fn ask_cold_lease(
    rpc_clients: &RpcClients,
    leader: &str,
    node: Node,
    timeout: Duration,
) -> Option<ColdLeaseAck> {
    if leader.is_empty() {
        return None;
    }
    match rpc_clients.to(leader).call(Body::ColdLease(ColdLease { node }), timeout).await {
        Ok(Body::ColdLeaseAck(ack)) => Some(ack),
        _ => None,
    }
}
