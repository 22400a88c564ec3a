//! Operations and order keys: whether they are kept here, placed elsewhere, or may be placed.

use super::{Change, PartitionState, scoped};
use crate::placements::Placement;
use crate::record::PlaceRecord;
use rpc::messages::{Item, PlacementGenerations, PlacementSubject};

/// What a partition knows of a subject that may be placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubjectLocation {
    /// It is placed in another partition.
    Elsewhere(Placement),
    /// The operation is kept here, by the message at this position.
    KeptHere(u64),
    /// Messages of the order key are under way here.
    InFlightHere,
}

/// Why a message is not to be kept by a partition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementRefusal {
    /// Its operation is placed in another one.
    Operation(Placement),
    /// Its order key is.
    Order,
}

impl PartitionState {
    /// Where a subject is placed that another partition keeps, for one that came here by a
    /// placement of that generation.
    pub fn placement_of(&self, subject: &PlacementSubject, generation: u64, at_ms: u64) -> Option<Placement> {
        self.placements.get(subject, generation, at_ms)
    }

    /// What is known here of a subject that came by a placement of that generation; `None` if it
    /// may be placed anywhere.
    pub fn locate(&self, subject: &PlacementSubject, generation: u64, at_ms: u64) -> Option<SubjectLocation> {
        if let Some(placement) = self.placement_of(subject, generation, at_ms) {
            return Some(SubjectLocation::Elsewhere(placement));
        }
        match subject {
            PlacementSubject::Operation(operation) => {
                self.find_operation(operation, at_ms).map(SubjectLocation::KeptHere)
            }
            PlacementSubject::Order(order) => {
                let is_under_way = self.orders.contains_key(&scoped(&order.tenant, &order.key));
                is_under_way.then_some(SubjectLocation::InFlightHere)
            }
        }
    }

    /// Why a message that came by these placements is not to be kept here; `None` if it may be.
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

    /// Whether a placement is to be written anew when it is asked for, so that it outlasts what
    /// is taken by it: an eighth of its time has passed since it was. `hold_ms` as in the request.
    pub fn is_placement_due(
        &self,
        placement: &Placement,
        subject: &PlacementSubject,
        hold_ms: u64,
        at_ms: u64,
    ) -> bool {
        let time_ms = self.retention.placement_time(subject, hold_ms);
        at_ms + time_ms - time_ms / 10 > placement.until_ms
    }

    /// How many operations and order keys are placed in other partitions.
    pub fn placement_count(&self) -> usize {
        self.placements.len()
    }

    /// An accept that its placements let in has brought its operation and order key back here.
    pub(super) fn end_placements(&mut self, item: &Item) {
        let order = item.order().map(PlacementSubject::Order);
        for subject in item.operation.map(PlacementSubject::Operation).iter().chain(&order) {
            self.placements.remove(subject);
        }
    }

    /// Folds a record that places a subject.
    pub(super) fn place(&mut self, at: u64, record: &PlaceRecord, at_ms: u64) -> Option<Change> {
        let PlaceRecord { partition, subject, generation, hold_ms } = record;
        let subject = subject.as_ref()?;
        match self.locate(subject, *generation, at_ms) {
            Some(SubjectLocation::KeptHere(old)) => return Some(Change::Duplicate { at, original: old }),
            Some(SubjectLocation::InFlightHere) => return Some(Change::StaysHere { at }),
            Some(SubjectLocation::Elsewhere(_)) | None => {}
        }
        let until_ms = at_ms + self.retention.placement_time(subject, *hold_ms);
        let placement = self.placements.place(subject.clone(), *partition, *generation, at_ms, until_ms);
        Some(Change::PlacedElsewhere { at, placement })
    }
}
