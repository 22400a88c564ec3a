//! Orders of store machines on their partitions: granted by the majority's log.

use crate::assignment::{StoreMachine, replace_replica};
use crate::service::ControlService;
use crate::state::*;
use rpc::messages::*;

impl ControlService {
    /// The term at which this control node leads and a majority follows it. What was read
    /// while it is the same before and after was the last word: nobody else led.
    pub(crate) fn authority(&self) -> Option<u64> {
        let now = self.now();
        self.with(|f| f.has_authority(now).then_some(f.term))
    }

    pub(crate) fn partition(&self, id: u32) -> Option<Partition> {
        self.with(|f| f.control_state.assignments.partitions.iter().find(|p| p.id == id).cloned())
    }

    /// Another node in the place of one that the owner does not hear, in another zone, as what
    /// cuts the links of a pair of nodes as a rule cuts those of their zones. It stays in sync
    /// until the other one is, so that there is no copy less meanwhile. One at a time for each
    /// partition.
    fn replacement(&self, was: &Partition, o: &Order) -> OrderVerdict {
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
            let elsewhere: Vec<StoreMachine> = self.available_machines(f, now);
            let elsewhere: Vec<StoreMachine> = elsewhere
                .into_iter()
                .filter(|machine| Some(&machine.zone) != zone.as_ref() || was.replicas.contains(&machine.name))
                .collect();
            let all = &f.control_state.assignments.partitions;
            match replace_replica(was, &o.node, all, &elsewhere, replica_count, self.spread()) {
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
        // One comes into sync only in the incarnation that holds a lease, and with a disk
        // that keeps up where there are enough others.
        let fit = self.with(|f| {
            let is_current = f.leases.get(&o.node).is_some_and(|l| l.incarnation == o.incarnation);
            let retiring = Self::retiring(f);
            is_current && self.copy_assessor(f, self.now(), &retiring).may_join(&was, &o.node)
        });
        if o.kind == OrderKind::Join as i32 && o.seen != was.changed {
            // Asked before the last word on this partition: with that, it may ask anew.
            ack.partition = Some(was);
            return ack;
        }
        if o.kind == OrderKind::Join as i32 && !fit {
            // A refusal is logged as well: whoever hears it counts that node no longer,
            // so no earlier ask may be granted behind it.
            let put = CommandPayload::Partition(PutPartition { was: was.clone(), now: was });
            ack.refused = self.propose(put).await == Some(ApplyResult::Done);
            ack.partition = self.partition(o.partition);
            return ack;
        }
        let verdict = match OrderKind::try_from(o.kind) {
            Ok(OrderKind::Replace) => self.replacement(&was, &o),
            _ => evaluate_order(&was, &o),
        };
        match verdict {
            // By what was read here, and given only if that was the last word: this
            // process may have stood still in between.
            execution @ (OrderVerdict::Refused | OrderVerdict::AlreadyInForce) => {
                if self.authority() == Some(term) {
                    ack.refused = execution == OrderVerdict::Refused;
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
