//! The evacuated data centres, as part of the selector's state.

use std::{net::SocketAddr, sync::Arc};

use fulmarweir_base::MonoTime;

use super::{RelayTarget, TargetSelector, is_present};
use crate::relay::{
    evacuation_gate::{CentreState, EvacuationChange},
    placement::PlacementRule,
};

impl TargetSelector {
    /// Replaces the evacuated data centres, and returns what has changed. Attempts in flight there go
    /// on.
    pub fn set_evacuated(&mut self, centres: &[Arc<str>], now: MonoTime) -> EvacuationChange {
        let change = self.evacuations.replace(centres, now);
        for state in self.services.values_mut() {
            for tracker in &mut state.trackers {
                tracker.centre_state = self.evacuations.state_of(&tracker.target.centre);
            }
        }
        change
    }

    /// Whether requests must not be sent to the target, as its data centre is evacuated.
    #[must_use]
    pub fn is_evacuated(&self, target: &RelayTarget) -> bool {
        self.evacuations.state_of(&target.centre) == CentreState::Evacuated
    }

    /// Whether `service` has a target in the regions of `placement` that has not left, be it in an evacuated
    /// data centre or not.
    #[must_use]
    pub fn has_present_target(
        &self,
        service: &str,
        placement: &PlacementRule,
        now: MonoTime,
    ) -> bool {
        let state = self.services.get(service);
        state.is_some_and(|state| {
            state
                .trackers
                .iter()
                .any(|t| is_present(t, now) && placement.allows(&t.target.region))
        })
    }

    /// Returns when the evacuation of the target's data centre ended, unless the target has announced
    /// itself again or answered a health request since.
    ///
    /// Such a target may have become cold just before the end, without a word to this VM. A caller
    /// that has a warm-up rule for the target's service treats it as cold for the duration of the
    /// rule.
    #[must_use]
    pub fn returned_at(&self, target: &RelayTarget) -> Option<MonoTime> {
        self.evacuations.returned_at(target)
    }

    /// Records that the target at `address` has answered a health request.
    pub fn record_health_reply(&mut self, address: SocketAddr) {
        let trackers = self.services.values().flat_map(|state| &state.trackers);
        for tracker in trackers.filter(|tracker| tracker.target.address == address) {
            self.evacuations.record_heard(&tracker.target);
        }
    }

    /// Records that a target has announced itself, whatever the announcement says.
    pub fn record_announced(&mut self, target: &RelayTarget) {
        self.evacuations.record_heard(target);
    }
}
