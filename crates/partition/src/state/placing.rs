//! Location of operations and order keys: stored here, placed in another partition, or unknown and
//! free to be placed.

use super::{Change, PartitionState, tenant_key};
use crate::placements::Placement;
use crate::record::PlaceRecord;
use rpc::messages::{Item, PlacementGenerations, PlacementSubject};

/// The location of a subject, as known to a partition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubjectLocation {
    /// Placed in another partition.
    Elsewhere(Placement),
    /// The operation is stored here, with the message at this position.
    KeptHere(u64),
    /// The order key has messages in flight here.
    InFlightHere,
}

/// Why a partition must not accept a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementRefusal {
    /// Its operation is placed in another partition.
    Operation(Placement),
    /// Its order key is placed in another partition.
    Order,
}

impl PartitionState {
    /// The placement of a subject in another partition that is valid at `at_ms` and newer than
    /// `generation`, the generation of the placement that routed the subject here.
    pub fn placement_of(&self, subject: &PlacementSubject, generation: u64, at_ms: u64) -> Option<Placement> {
        self.placements.get(subject, generation, at_ms)
    }

    /// The location of a subject that was routed here by a placement of `generation`; `None` if it
    /// may be placed in any partition.
    pub fn locate(&self, subject: &PlacementSubject, generation: u64, at_ms: u64) -> Option<SubjectLocation> {
        if let Some(placement) = self.placement_of(subject, generation, at_ms) {
            return Some(SubjectLocation::Elsewhere(placement));
        }
        match subject {
            PlacementSubject::Operation(operation) => {
                self.find_operation(operation, at_ms).map(SubjectLocation::KeptHere)
            }
            PlacementSubject::Order(order) => {
                let is_in_flight = self.orders.contains_key(&tenant_key(&order.tenant, &order.key));
                is_in_flight.then_some(SubjectLocation::InFlightHere)
            }
        }
    }

    /// Why a message that was routed here by placements of `generations` must not be accepted;
    /// `None` if it may be.
    pub fn placement_refusal(
        &self,
        item: &Item,
        generations: PlacementGenerations,
        at_ms: u64,
    ) -> Option<PlacementRefusal> {
        let placed = |subject: PlacementSubject, generation| self.placement_of(&subject, generation, at_ms);
        let operation = item.operation.map(PlacementSubject::Operation);
        if let Some(placement) = operation.and_then(|subject| placed(subject, generations.operation)) {
            return Some(PlacementRefusal::Operation(placement));
        }
        let order = item.order().map(PlacementSubject::Order);
        order.and_then(|subject| placed(subject, generations.order)).map(|_| PlacementRefusal::Order)
    }

    /// Whether a requested placement has to be renewed so that it outlasts the messages accepted
    /// through it: more than a tenth of its validity has passed. `hold_ms` is taken from the request.
    pub fn is_placement_due(
        &self,
        placement: &Placement,
        subject: &PlacementSubject,
        hold_ms: u64,
        at_ms: u64,
    ) -> bool {
        let validity_ms = self.retention.placement_validity(subject, hold_ms);
        at_ms + validity_ms - validity_ms / 10 > placement.until_ms
    }

    /// Number of operations and order keys placed in other partitions.
    pub fn placement_count(&self) -> usize {
        self.placements.len()
    }

    /// Removes the placements of the operation and order key of an accepted message, which are now
    /// stored here.
    pub(super) fn remove_placements(&mut self, item: &Item) {
        let order = item.order().map(PlacementSubject::Order);
        for subject in item.operation.map(PlacementSubject::Operation).iter().chain(&order) {
            self.placements.remove(subject);
        }
    }

    /// Applies a place record.
    pub(super) fn place(&mut self, at: u64, record: &PlaceRecord, at_ms: u64) -> Option<Change> {
        let PlaceRecord { partition, subject, generation, hold_ms } = record;
        let subject = subject.as_ref()?;
        match self.locate(subject, *generation, at_ms) {
            Some(SubjectLocation::KeptHere(original)) => return Some(Change::Duplicate { at, original }),
            Some(SubjectLocation::InFlightHere) => return Some(Change::StaysHere { at }),
            Some(SubjectLocation::Elsewhere(_)) | None => {}
        }
        let until_ms = at_ms + self.retention.placement_validity(subject, *hold_ms);
        let placement = self.placements.place(subject.clone(), *partition, *generation, at_ms, until_ms);
        Some(Change::PlacedElsewhere { at, placement })
    }
}
