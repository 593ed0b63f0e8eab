//! The voter sets that a client knows.

use fulmarweir_base::MonoTime;

use crate::member::{EpochState, VoterSet};

/// The latest known voter set, and the previous one while the change between them may be
/// unfinished.
#[derive(Clone, Debug)]
pub(crate) struct VoterView {
    pub(crate) latest: VoterSet,
    pub(crate) previous: Option<VoterSet>,
    /// When the client first saw a voter that has not caught up to the latest set.
    pub(crate) unfinished_since: Option<MonoTime>,
}

impl VoterView {
    pub(crate) const fn new(latest: VoterSet) -> Self {
        Self {
            latest,
            previous: None,
            unfinished_since: None,
        }
    }

    /// Adopts the voter sets that a voter knows if they are later than the known ones.
    pub(crate) fn observe(&mut self, now: MonoTime, epoch: &EpochState) {
        let latest = epoch.latest();
        if epoch.current.epoch < self.latest.epoch.max(latest.epoch) {
            self.unfinished_since.get_or_insert(now);
        }
        if latest.epoch < self.latest.epoch || latest.members.is_empty() {
            return;
        }
        let precedes = epoch.current.epoch + 1 == latest.epoch;
        let current = precedes.then_some(&epoch.current);
        let previous = epoch.previous.as_ref().or(current);
        if latest.epoch > self.latest.epoch {
            self.latest = latest.clone();
            self.previous = None;
        }
        let previous = previous.filter(|previous| !previous.members.is_empty());
        if self.previous.is_none() {
            self.previous = previous.cloned();
        }
    }
}
