//! Placement of operations and order keys: answers requests for those that this node's partitions
//! keep or have placed in another partition, and places others where the request asks for.
//!
//! Invariant (docs/design/tenants.md): the log of a partition decides. Records that are not applied
//! yet are waited for; their outcome is never predicted.

use super::*;

impl StoreService {
    /// Answers in which partition a subject is kept, or places it.
    pub(super) fn place(self: &Arc<Self>, state: &mut StoreState, request: Place, responder: Responder) {
        let partition = request.partition;
        if let Some(owner) = self.other_owner(state, partition) {
            responder.send(accepted(AcceptOutcome::Elsewhere, 0, &owner));
            return;
        }
        let Some(subject) = &request.subject else {
            responder.send(accepted(AcceptOutcome::NotKnown, 0, ""));
            return;
        };
        if let PlacementSubject::Operation(operation) = subject
            && let Some(key) = state.uncommitted_accepts.find_operation(partition, *operation)
        {
            state.waiters.entry(key).or_default().push(Waiter::Accept(responder));
            return;
        }
        let at_ms = self.owner_time(state, partition);
        if let Some(answer) = answer_without_record(&state.replicas[&partition], &request, subject, at_ms) {
            responder.send(answer);
            return;
        }
        let Some(wanted) = request.wanted else { return };
        if !self.has_room(state, request.rank, 0) {
            telemetry::count("refused_full");
            responder.send(accepted(AcceptOutcome::Full, 0, ""));
            return;
        }
        let Place { subject, generation, hold_ms, .. } = request;
        let place = PlaceRecord { partition: wanted, subject, generation, hold_ms };
        self.append_placement(state, partition, Record { at_ms, entry: Some(Entry::Place(place)) }, responder);
    }

    /// Appends a placement. The request is answered once the record is applied.
    fn append_placement(
        self: &Arc<Self>,
        state: &mut StoreState,
        partition: u32,
        record: Record,
        responder: Responder,
    ) {
        telemetry::count("placements_written");
        let mut effects = Vec::new();
        match self.append(state, partition, &record, &mut effects) {
            Some(position) => state.waiters.entry((partition, position)).or_default().push(Waiter::Accept(responder)),
            None => responder.send(accepted(AcceptOutcome::Elsewhere, 0, "")),
        }
        self.execute_effects(state, partition, effects);
    }
}

/// The answer if it needs no new record; `None` if a placement has to be appended.
fn answer_without_record(
    replica: &PartitionReplica,
    request: &Place,
    subject: &PlacementSubject,
    at_ms: u64,
) -> Option<Body> {
    let state = &replica.state;
    let is_query = request.wanted.is_none();
    match state.locate(subject, request.generation, at_ms) {
        Some(SubjectLocation::Elsewhere(placement)) => {
            let is_settled = is_query || !state.is_placement_due(&placement, subject, request.hold_ms, at_ms);
            is_settled.then(|| placed_elsewhere(&placement))
        }
        Some(SubjectLocation::KeptHere(position)) => {
            telemetry::count("accepts_repeated");
            Some(accepted(AcceptOutcome::Taken, position, ""))
        }
        Some(SubjectLocation::InFlightHere) => Some(accepted(AcceptOutcome::StaysHere, 0, "")),
        // Records of a former owner may not be applied yet.
        None if is_query && !replica.is_caught_up() => Some(accepted(AcceptOutcome::Elsewhere, 0, "")),
        None => is_query.then(|| accepted(AcceptOutcome::NotKnown, 0, "")),
    }
}
