//! What becomes of a request whose home regions have no target that can be reached.
//!
//! Load pattern: all targets of a home region are down, or are not announced, while targets elsewhere
//! are idle. The request is refused at once, and a search leaves out the shards without a target.

use std::{sync::Arc, time::Duration};

use fulmarweir_base::MonoTime;

use super::RelayRun;
use crate::{
    RefusalReason,
    relay::{placement::PlacementRule, selector::TargetSelector, sub_request::SubRequestState},
};

/// Time after which the caller of a request retries that nothing in its home regions could run. Targets
/// announce themselves about every 1.2 s, and one that was down is tried again after 2 s at most.
const HOME_BOUND_RETRY_MS: u64 = 1_000;

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

    /// Whether too few services have a target in the home regions that this VM or a broker may reach.
    pub(super) fn too_few_in_reach(&self, selector: &TargetSelector, now: MonoTime) -> bool {
        let placement = &self.params.placement;
        if placement.is_unrestricted() {
            return false;
        }
        let in_reach = self.sub_requests.iter().enumerate().filter(|(index, s)| {
            // A broker opens connections of its own, but to the same targets only.
            s.reached_attempts > 0
                || !selector.is_out_of_reach(&s.service, placement, now)
                || (self.is_handed_over(*index) && selector.has_target(&s.service, placement, now))
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

    /// Gives up a sub-request that has reached no target, if none in the home regions can be reached;
    /// returns whether it did. An attempt in flight or a silent broker may still answer.
    pub(super) fn fails_out_of_reach(
        &mut self,
        sub_request: usize,
        selector: &TargetSelector,
        now: MonoTime,
    ) -> bool {
        let placement = &self.params.placement;
        let progress = &mut self.sub_requests[sub_request];
        // One that may have run is worth waiting for, as its caller must not repeat it.
        if progress.reached_attempts > 0
            || progress.may_have_run()
            || !selector.is_out_of_reach(&progress.service, placement, now)
        {
            return false;
        }
        progress.state = SubRequestState::Failed;
        self.home_bound.insert(sub_request);
        true
    }

    /// Whether a request that has not run is refused as home-bound.
    pub(super) fn is_home_bound(&self, selector: &TargetSelector, now: MonoTime) -> bool {
        if self.params.placement.is_unrestricted() {
            return false;
        }
        let in_reach = self.sub_requests.len() - self.home_bound.len();
        !self.has_coverage(in_reach) || self.too_few_in_reach(selector, now)
    }
}
