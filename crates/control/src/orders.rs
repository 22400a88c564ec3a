//! Partition orders from store machines, which are granted through the replicated log.

use crate::assignment::{StoreMachine, replace_replica};
use crate::service::ControlService;
use crate::state::*;
use rpc::messages::*;

impl ControlService {
    /// The term in which this control node leads and a majority follows it. State that was
    /// read between two calls with the same result was current: no other node led meanwhile.
    pub(crate) fn authority(&self) -> Option<u64> {
        let now = self.now();
        self.with(|f| f.has_authority(now).then_some(f.term))
    }

    pub(crate) fn partition(&self, id: u32) -> Option<Partition> {
        self.with(|f| f.control_state.assignments.partitions.iter().find(|p| p.id == id).cloned())
    }

    /// Replaces a replica that the owner cannot reach by a node in another zone, as a fault that
    /// cuts the link between two nodes usually cuts those between their zones. The old replica
    /// stays in sync until the new one is, so that no copy is lost meanwhile. A partition has at
    /// most one replacement under way.
    fn evaluate_replacement(&self, was: &Partition, o: &Order) -> OrderVerdict {
        let is_settled = was.grant.is_none()
            && was.replicas.iter().all(|replica| was.in_sync.contains(replica))
            && was.in_sync.len() == was.replicas.len();
        if o.term != was.term || o.node == was.owner || !was.replicas.contains(&o.node) || !is_settled {
            return OrderVerdict::Refused;
        }
        let now = self.now();
        let replica_count = self.settings.tolerance.machines as usize + 1;
        self.with(|f| {
            let zone = f.sessions.get(&o.node).map(|session| session.node.zone.clone());
            let spares: Vec<StoreMachine> = self.available_machines(f, now);
            let machines: Vec<StoreMachine> = spares
                .into_iter()
                .filter(|machine| Some(&machine.zone) != zone.as_ref() || was.replicas.contains(&machine.name))
                .collect();
            let all = &f.control_state.assignments.partitions;
            match replace_replica(was, &o.node, all, &machines, replica_count, self.spread()) {
                Some(put) if put.replicas.len() == was.replicas.len() => {
                    telemetry::change!(
                        "partition {}: {} is not heard by its owner, replicas {:?}",
                        was.id,
                        o.node,
                        put.replicas
                    );
                    OrderVerdict::Put(put)
                }
                _ => OrderVerdict::Refused,
            }
        })
    }

    pub(crate) async fn order(&self, o: Order) -> OrderAck {
        let mut ack = OrderAck { leader: self.leader(), ..OrderAck::default() };
        let Some(term) = self.authority() else { return ack };
        let Some(was) = self.partition(o.partition) else {
            ack.refused = self.authority() == Some(term);
            return ack;
        };
        // A node may join the in-sync set only in the incarnation that holds a lease. Where
        // there are enough other copies, its disk must also keep up.
        let may_join = self.with(|f| {
            let is_current = f.leases.get(&o.node).is_some_and(|l| l.incarnation == o.incarnation);
            let retiring = Self::retiring(f);
            is_current && self.copy_assessor(f, self.now(), &retiring).may_join(&was, &o.node)
        });
        if o.kind == OrderKind::Join as i32 && o.seen != was.changed {
            // The owner had not seen the latest change of this partition: it is returned, so that
            // the owner can ask again.
            ack.partition = Some(was);
            return ack;
        }
        if o.kind == OrderKind::Join as i32 && !may_join {
            // A refusal is logged as well: the owner that receives it no longer counts that node,
            // so no earlier request may be granted after it.
            let put = CommandPayload::Partition(PutPartition { was: was.clone(), now: was });
            ack.refused = self.propose(put).await == Some(ApplyResult::Done);
            ack.partition = self.partition(o.partition);
            return ack;
        }
        let verdict = match OrderKind::try_from(o.kind) {
            Ok(OrderKind::Replace) => self.evaluate_replacement(&was, &o),
            _ => evaluate_order(&was, &o),
        };
        match verdict {
            // The verdict depends on the state read above. This process may have been paused since,
            // so it is returned only if that state was still current.
            verdict @ (OrderVerdict::Refused | OrderVerdict::AlreadyInForce) => {
                if self.authority() == Some(term) {
                    ack.refused = verdict == OrderVerdict::Refused;
                    ack.ok = !ack.refused;
                    ack.partition = Some(was);
                }
            }
            OrderVerdict::Put(now) => {
                let put = CommandPayload::Partition(PutPartition { was, now });
                if self.propose(put).await == Some(ApplyResult::Done) {
                    telemetry::count("partition_orders");
                    ack.ok = true;
                    ack.partition = self.partition(o.partition);
                }
            }
        }
        ack
    }
}
