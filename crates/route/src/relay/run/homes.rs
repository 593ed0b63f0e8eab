//! What becomes of a request whose home regions have no target that can be reached.
//!
//! Load pattern: all targets of a home region are down, or are not announced, while targets elsewhere
//! are idle. The request is refused at once, and a search leaves out the shards without a target.

use std::{sync::Arc, time::Duration};

use fulmarweir_base::{MonoTime, RunVerdict};

use super::RelayRun;
use crate::{
    RefusalReason,
    relay::{
        placement::PlacementRule,
        selector::TargetSelector,
        sub_request::{SubRequest, SubRequestState},
    },
};

/// Time after which the caller of a request retries that nothing in its home regions could run. Targets
/// announce themselves about every 1.2 s, and one that was down is tried again after 2 s at most.
const HOME_BOUND_RETRY_MS: u64 = 1_000;
/// Delay after which a sub-request without a target in reach checks again whether others have ended.
const OUT_OF_REACH_PAUSE_MS: u64 = 4;

impl RelayRun {
    /// Returns the regions in which the request may run.
    #[must_use]
    pub const fn placement(&self) -> &PlacementRule {
        &self.params.placement
    }

    /// Returns the services that were left out since nothing in the home regions could be reached.
    pub fn home_bound_services(&self) -> impl Iterator<Item = &Arc<str>> {
        let left_out = self.home_bound.iter();
        left_out
            .map(|index| &self.sub_requests[*index])
            .filter(|sub_request| !sub_request.is_answered())
            .map(|sub_request| &sub_request.service)
    }

    /// Returns why a request is refused for which too few services have a target.
    pub(super) const fn no_targets_reason(&self) -> RefusalReason {
        if self.params.placement.is_unrestricted() {
            RefusalReason::NoTargets
        } else {
            RefusalReason::HomeBound
        }
    }

    /// Returns the time after which the caller of a home-bound request may retry.
    pub(super) const fn home_bound_retry() -> Duration {
        Duration::from_millis(HOME_BOUND_RETRY_MS)
    }

    /// Whether too few services have a target in the home regions that this VM may reach, or a broker to
    /// which their group is to be handed over.
    pub(super) fn starts_out_of_reach(&self, selector: &TargetSelector, now: MonoTime) -> bool {
        self.too_few_in_reach(|index| self.is_handed_over(index), selector, now)
    }

    /// The same, given which services another VM runs.
    fn too_few_in_reach(
        &self,
        is_elsewhere: impl Fn(usize) -> bool,
        selector: &TargetSelector,
        now: MonoTime,
    ) -> bool {
        let placement = &self.params.placement;
        if placement.is_unrestricted() {
            return false;
        }
        let in_reach = self.sub_requests.iter().enumerate().filter(|(index, s)| {
            s.reached_attempts > 0
                || s.may_have_run()
                || !selector.is_out_of_reach(&s.service, placement, now)
                // A broker opens connections of its own, but to the same targets only.
                || (is_elsewhere(*index) && selector.has_target(&s.service, placement, now))
        });
        !self.has_coverage(in_reach.count())
    }

    /// Marks the services without a target in reach as home-bound, for logs.
    pub(super) fn record_without_home(&mut self, selector: &TargetSelector, now: MonoTime) {
        let placement = &self.params.placement;
        if placement.is_unrestricted() {
            return;
        }
        for (index, sub_request) in self.sub_requests.iter().enumerate() {
            if selector.is_out_of_reach(&sub_request.service, placement, now) {
                self.home_bound.insert(index);
            }
        }
    }

    /// Gives up a sub-request that has reached no target, if none in the home regions can be reached, or
    /// if the request has not run and cannot be answered for this reason; returns whether that is so.
    ///
    /// Load pattern: the targets of all shards of a search go down. The first shard that finds out would
    /// end the search while the attempts of the others wait for connections, so that the caller would be
    /// told that it may have run. They end soon, so it waits for them, but not until the deadline.
    pub(super) fn fails_out_of_reach(
        &mut self,
        sub_request: usize,
        selector: &TargetSelector,
        now: MonoTime,
    ) -> bool {
        let placement = &self.params.placement;
        if placement.is_unrestricted() {
            return false;
        }
        let progress = &self.sub_requests[sub_request];
        // One that may have run is worth waiting for, as its caller must not repeat it.
        if progress.reached_attempts > 0 || progress.may_have_run() {
            return false;
        }
        if selector.is_out_of_reach(&progress.service, placement, now) {
            self.home_bound.insert(sub_request);
        } else if self.verdict() != RunVerdict::NotRun
            || !self.too_few_in_reach(|_| false, selector, now)
        {
            return false;
        }
        if self.awaits_others(sub_request) && now < self.accept_deadline() {
            self.pause(sub_request, OUT_OF_REACH_PAUSE_MS, now);
        } else {
            self.sub_requests[sub_request].state = SubRequestState::Failed;
        }
        true
    }

    /// Whether the request cannot be answered without a sub-request, and others may be running.
    fn awaits_others(&self, sub_request: usize) -> bool {
        let others = || {
            let all = self.sub_requests.iter().enumerate();
            all.filter(|(index, _)| *index != sub_request)
                .map(|(_, other)| other)
        };
        let is_running = |other: &SubRequest| {
            other.is_in_flight() || matches!(other.state, SubRequestState::HandedOver(_))
        };
        let not_failed = others().filter(|other| other.state != SubRequestState::Failed);
        !self.has_coverage(not_failed.count()) && others().any(is_running)
    }

    /// Whether a request that has not run is refused as home-bound.
    pub(super) fn is_home_bound(&self, selector: &TargetSelector, now: MonoTime) -> bool {
        if self.params.placement.is_unrestricted() {
            return false;
        }
        let in_reach = self.sub_requests.len() - self.home_bound.len();
        !self.has_coverage(in_reach) || self.too_few_in_reach(|_| false, selector, now)
    }
}
