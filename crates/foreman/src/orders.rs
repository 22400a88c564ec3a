//! Orders of store machines on their partitions: granted by the majority's log.

use crate::rack::*;
use crate::shop::Shop;
use dovetail::msg::*;

impl Shop {
    pub(crate) fn partition(&self, id: u32) -> Option<Partition> {
        self.with(|f| f.rack.charter.partitions.iter().find(|p| p.id == id).cloned())
    }

    pub(crate) async fn order(&self, o: Order) -> OrderAck {
        let mut ack = OrderAck { leader: self.leader(), ..OrderAck::default() };
        if !self.holds_leadership() {
            return ack;
        }
        let Some(was) = self.partition(o.partition) else {
            ack.refused = true;
            return ack;
        };
        // One comes into sync only in the life that holds a lease, and with a disk
        // that keeps up.
        let fit = self.with(|f| f.leases.get(&o.node).is_some_and(|l| l.life == o.life && l.lag == 0));
        if o.kind == OrderKind::Join as i32 && o.seen != was.changed {
            // Asked before the last word on this partition: with that, it may ask anew.
            ack.partition = Some(was);
            return ack;
        }
        if o.kind == OrderKind::Join as i32 && !fit {
            // A refusal is logged as well: whoever hears it counts that node no longer,
            // so no earlier ask may be granted behind it.
            let put = Word::Partition(PutPartition { was: was.clone(), now: was });
            ack.refused = self.propose(put).await == Some(Applied::Done);
            ack.partition = self.partition(o.partition);
            return ack;
        }
        match rule(&was, &o) {
            Ruling::Refused => {
                ack.refused = true;
                ack.partition = Some(was);
            }
            Ruling::Stands => {
                ack.ok = true;
                ack.partition = Some(was);
            }
            Ruling::Put(now) => {
                let put = Word::Partition(PutPartition { was, now });
                if self.propose(put).await == Some(Applied::Done) {
                    tally::count("partition_orders");
                    ack.ok = true;
                    ack.partition = self.partition(o.partition);
                }
            }
        }
        ack
    }
}
