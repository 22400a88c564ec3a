//! Evacuations of zones in the control state: the operator's orders, and from when on the
//! listing tells which processors of a zone that was taken back are cold.
//!
//! Pure. An order is a state that is wanted, not an event: sent again, through whichever
//! leader, it changes nothing.

use rpc::messages::Evacuation;

/// The operator empties a zone, or takes it back.
#[derive(Clone, PartialEq, prost::Message)]
pub struct EvacuateZone {
    /// The zone's name, as in the settings.
    #[prost(string, tag = "1")]
    pub zone: String,
    /// Whether it is taken back.
    #[prost(bool, tag = "2")]
    pub finished: bool,
}

/// From a membership version on, the listing tells which processors of a zone that was taken
/// back are cold.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ColdKnown {
    /// The zone's name.
    #[prost(string, tag = "1")]
    pub zone: String,
    /// The index of the log at which it was taken back.
    #[prost(uint64, tag = "2")]
    pub ordered: u64,
    /// The membership version.
    #[prost(uint64, tag = "3")]
    pub membership: u64,
}

impl EvacuateZone {
    /// Applies the order that stands at an index of the log; tells whether it changed anything.
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
    /// Applies it, unless another order for the zone came first; tells whether it did.
    pub(crate) fn apply(self, evacuations: &mut [Evacuation]) -> bool {
        let is_same = |e: &&mut Evacuation| e.zone == self.zone && e.ordered == self.ordered && e.finished;
        let Some(evacuation) = evacuations.iter_mut().find(is_same) else { return false };
        evacuation.cold_known_from = self.membership;
        true
    }
}
