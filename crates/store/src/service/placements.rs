//! Where operations are kept: answers for those that this node's partitions keep or have placed
//! elsewhere, and places others where the asker wants them.
//!
//! Invariant (docs/design/tenants.md): the record that comes first in the log of an operation's
//! directory decides, so what is not folded yet is waited for and never guessed.

use super::*;

impl StoreService {
    /// Answers where an operation is kept, or places it.
    pub(super) fn place_operation(self: &Arc<Self>, i: &mut StoreState, request: PlaceOperation, responder: Responder) {
        let PlaceOperation { partition, operation, wanted, rank } = request;
        if let Some(owner) = self.other_owner(i, partition) {
            responder.send(accepted(AcceptOutcome::Elsewhere, 0, &owner));
            return;
        }
        if let Some(key) = i.fresh.find_operation(partition, operation) {
            i.waiters.entry(key).or_default().push(Waiter::Accept(responder));
            return;
        }
        let at_ms = self.owner_time(i, partition);
        let replica = &i.replicas[&partition];
        if let Some(position) = replica.state.find_operation(&operation, at_ms) {
            telemetry::count("accepts_repeated");
            responder.send(accepted(AcceptOutcome::Taken, position, ""));
            return;
        }
        let placement = replica.state.placement_of(&operation, at_ms);
        let settled = placement.filter(|p| wanted.is_none() || !replica.state.is_placement_due(p, at_ms));
        if let Some(placement) = settled {
            responder.send(placed_elsewhere(placement.partition));
            return;
        }
        let Some(wanted) = wanted else {
            // What a former owner wrote may not be folded yet.
            let outcome = if replica.caught_up() { AcceptOutcome::NotKnown } else { AcceptOutcome::Elsewhere };
            responder.send(accepted(outcome, 0, ""));
            return;
        };
        if !self.has_room(i, rank, 0) {
            telemetry::count("refused_full");
            responder.send(accepted(AcceptOutcome::Full, 0, ""));
            return;
        }
        let place = PlaceRecord { operation, partition: wanted };
        self.write_placement(i, partition, Record { at_ms, entry: Some(Entry::Place(place)) }, responder);
    }

    /// Writes a placement; whoever asked is answered by what the fold makes of it.
    fn write_placement(self: &Arc<Self>, i: &mut StoreState, partition: u32, record: Record, responder: Responder) {
        telemetry::count("operations_placed");
        let now = self.now();
        let mut effects = Vec::new();
        let position = i.replicas.get_mut(&partition).and_then(|replica| {
            let position = replica.append(&record, now, &mut effects);
            replica.flush(now, &mut effects);
            position
        });
        match position {
            Some(position) => i.waiters.entry((partition, position)).or_default().push(Waiter::Accept(responder)),
            None => responder.send(accepted(AcceptOutcome::Elsewhere, 0, "")),
        }
        self.carry_out(i, partition, effects);
    }
}
