//! Which data centres are evacuated, and which have returned.
//!
//! Load patterns: an operator takes a data centre out of service, and its share of the load moves to
//! the others; the order ends, and all VMs find the targets there idle in the same moment.

use std::{
    collections::{BTreeSet, HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use fulmarweir_base::{MonoTime, rendezvous_weight};

use super::{notice_table::TargetIncarnation, selector::RelayTarget};

/// Time over which the load of a data centre returns after its evacuation, in milliseconds.
///
/// All VMs learn of the end at about the same time and see idle targets there, whose load reports and
/// latency averages are out of date. A load report is used for 0.8 s, so over 4 s the reports follow the
/// load in several steps. Evacuations last for minutes, so the other data centres bear 4 s more.
const RETURN_RAMP_MS: u64 = 4_000;
/// Step of the random share by which requests are held back, as a part of one.
const SHARE_STEPS: u64 = 1_024;

/// Whether requests may be sent to the targets of a data centre.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum CentreState {
    /// They may.
    #[default]
    Open,
    /// They must not.
    Evacuated,
    /// An evacuation ended at this time.
    Returned(MonoTime),
}

impl CentreState {
    /// Whether a request with this ticket is rather sent elsewhere, since its data centre has only
    /// just returned.
    pub(crate) fn holds_back(self, ticket: u64, now: MonoTime) -> bool {
        let Self::Returned(at) = self else {
            return false;
        };
        let elapsed = u64::try_from(now.since(at).as_millis()).unwrap_or(u64::MAX);
        let ramp = Duration::from_millis(RETURN_RAMP_MS);
        now.since(at) < ramp
            && rendezvous_weight(ticket, at.as_micros()) % SHARE_STEPS * RETURN_RAMP_MS
                >= elapsed * SHARE_STEPS
    }
}

/// The data centres that have changed with a set of evacuations.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EvacuationChange {
    /// Data centres that are evacuated now and were not before.
    pub begun: Vec<Arc<str>>,
    /// Data centres whose evacuation has ended.
    pub ended: Vec<Arc<str>>,
}

/// The evacuated data centres as this VM knows them.
#[derive(Debug, Default)]
pub(crate) struct EvacuationGate {
    evacuated: BTreeSet<Arc<str>>,
    /// When the evacuation of each data centre ended.
    returned: HashMap<Arc<str>, MonoTime>,
    /// Targets of returned data centres that have been heard of since.
    heard: HashSet<TargetIncarnation>,
}

impl EvacuationGate {
    /// Replaces the evacuated data centres, and returns what has changed.
    pub(crate) fn replace(&mut self, centres: &[Arc<str>], now: MonoTime) -> EvacuationChange {
        let next: BTreeSet<Arc<str>> = centres.iter().cloned().collect();
        let change = EvacuationChange {
            begun: next.difference(&self.evacuated).cloned().collect(),
            ended: self.evacuated.difference(&next).cloned().collect(),
        };
        for centre in &change.begun {
            self.returned.remove(centre);
        }
        for centre in &change.ended {
            self.returned.insert(Arc::clone(centre), now);
        }
        if !change.ended.is_empty() {
            // What was heard before this end tells nothing about it. Targets that had returned
            // earlier count as unheard once more, which is the cautious side.
            self.heard.clear();
        }
        self.evacuated = next;
        change
    }

    /// Returns the state of a data centre.
    pub(crate) fn state_of(&self, centre: &str) -> CentreState {
        if self.evacuated.contains(centre) {
            return CentreState::Evacuated;
        }
        let returned = self.returned.get(centre);
        returned.map_or(CentreState::Open, |at| CentreState::Returned(*at))
    }

    /// Records that a target has announced itself or answered a health request.
    pub(crate) fn record_heard(&mut self, target: &RelayTarget) {
        if matches!(self.state_of(&target.centre), CentreState::Returned(_)) {
            self.heard.insert(TargetIncarnation::of(target));
        }
    }

    /// Returns when the evacuation of the target's data centre ended, unless the target has been heard
    /// of since.
    pub(crate) fn returned_at(&self, target: &RelayTarget) -> Option<MonoTime> {
        match self.state_of(&target.centre) {
            CentreState::Returned(at) if !self.heard.contains(&TargetIncarnation::of(target)) => {
                Some(at)
            }
            _ => None,
        }
    }

    /// Forgets targets that are no longer listed.
    pub(crate) fn remove_unlisted(&mut self, listed: &HashSet<TargetIncarnation>) {
        self.heard
            .retain(|incarnation| listed.contains(incarnation));
    }
}
