//! What a client knows of the voter sets.

use crate::member::{EpochState, VoterSet};

/// The latest voter set, and the one before while the change may be unfinished.
#[derive(Clone, Debug)]
pub(crate) struct VoterView {
    pub(crate) latest: VoterSet,
    pub(crate) previous: Option<VoterSet>,
}

impl VoterView {
    pub(crate) const fn new(latest: VoterSet) -> Self {
        Self {
            latest,
            previous: None,
        }
    }

    /// Adopts what a voter knows, if it is later.
    pub(crate) fn observe(&mut self, epoch: &EpochState) {
        let latest = epoch.latest();
        if latest.epoch < self.latest.epoch || latest.members.is_empty() {
            return;
        }
        let precedes = epoch.current.epoch + 1 == latest.epoch;
        if latest.epoch > self.latest.epoch {
            self.latest = latest.clone();
            self.previous = None;
        }
        if precedes && !epoch.current.members.is_empty() {
            self.previous = Some(epoch.current.clone());
        }
    }
}
