//! Evacuations of zones in the control state: the operator's orders, and the membership version
//! from which on the listing marks the cold processors of a zone whose evacuation has finished.
//!
//! Pure. An order names a wanted state, not an event: repeating it, through whichever leader,
//! changes nothing.

use rpc::messages::Evacuation;

/// The operator's order to start or to finish the evacuation of a zone.
#[derive(Clone, PartialEq, prost::Message)]
pub struct EvacuateZone {
    /// The zone's name, as in the settings.
    #[prost(string, tag = "1")]
    pub zone: String,
    /// Whether the evacuation is finished: the zone is used again.
    #[prost(bool, tag = "2")]
    pub finished: bool,
}

/// Records the membership version from which on the listing marks the cold processors of a zone
/// whose evacuation has finished.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ColdKnown {
    /// The zone's name.
    #[prost(string, tag = "1")]
    pub zone: String,
    /// The log index of the order that finished the evacuation.
    #[prost(uint64, tag = "2")]
    pub ordered: u64,
    /// The membership version.
    #[prost(uint64, tag = "3")]
    pub membership: u64,
}

impl EvacuateZone {
    /// Applies the order, which has that index in the log; returns whether it changed anything.
    pub(crate) fn apply(self, evacuations: &mut Vec<Evacuation>, index: u64) -> bool {
        let EvacuateZone { zone, finished } = self;
        let is_evacuated = evacuations.iter().any(|e| e.zone == zone && !e.finished);
        if is_evacuated != finished {
            return false;
        }
        evacuations.retain(|e| e.zone != zone);
        evacuations.push(Evacuation { zone, finished, ordered: index, cold_known_from: 0 });
        true
    }
}

impl ColdKnown {
    /// Applies the record unless a later order for the zone came first; returns whether it did.
    pub(crate) fn apply(self, evacuations: &mut [Evacuation]) -> bool {
        let is_same = |e: &&mut Evacuation| e.zone == self.zone && e.ordered == self.ordered && e.finished;
        let Some(evacuation) = evacuations.iter_mut().find(is_same) else { return false };
        evacuation.cold_known_from = self.membership;
        true
    }
}
