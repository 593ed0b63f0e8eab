//! Pinning an index version, and restarting a search on a newer one.

use fulmarweir_base::{MonoTime, lock, shard_for_key};

use super::{RunStep, SearchParams, SearchRun, ShardProgress, ShardState};
use crate::{
    AttemptKind, HolderIndex, RefusalReason, RouteRefusal, TargetView, refusal::Result,
    replica::has_holder, search::progress::PendingRetry,
};

/// Maximum restarts of one search on a newer version.
const RESTARTS_MAX: u32 = 2;

/// Returns the version that a new search pins, or a refusal if there is none.
pub(crate) fn choose_version<'a>(
    view: &'a TargetView,
    params: &SearchParams,
    deadline: MonoTime,
    now: MonoTime,
) -> Result<&'a HolderIndex> {
    if deadline <= now {
        return Err(RouteRefusal::not_run(RefusalReason::TooLate, None));
    }
    if view.versions().is_empty() {
        return Err(RouteRefusal::not_run(RefusalReason::NoTargets, None));
    }
    view.pin(params.min_version)
        .ok_or(RouteRefusal::not_run(RefusalReason::MinVersion, None))
}

/// Returns the shards that a request needs: the shard of its key, or all shards.
pub(crate) fn requested_shards(pinned: &HolderIndex, key: Option<&str>) -> Vec<ShardProgress> {
    match key {
        Some(key) => vec![ShardProgress::new(shard_for_key(key, pinned.of))],
        None => (0..pinned.of).map(ShardProgress::new).collect(),
    }
}

impl SearchRun {
    /// Handles a reply that the target no longer holds the pinned version.
    pub(crate) fn handle_version_gone(&mut self, position: usize, step: &mut RunStep<'_>) {
        if self.shard_has_holder(position, step.now) {
            self.shards[position].retry = Some(PendingRetry::version_gone(step.now));
            self.send_due_retry(position, step);
            return;
        }
        if self.shards[position].in_flight > 0 {
            return;
        }
        self.shards[position].state = ShardState::NoHolder;
        self.rollout = true;
        self.restart_on_newer_version(step);
    }

    /// Retries the shards without a holder for which the new view has one.
    pub(crate) fn resume_shards_with_holders(&mut self, step: &mut RunStep<'_>) {
        for position in 0..self.shards.len() {
            if self.shards[position].state != ShardState::NoHolder {
                continue;
            }
            if self.shard_has_holder(position, step.now) {
                let progress = &mut self.shards[position];
                progress.state = ShardState::Pending;
                progress.retry = Some(PendingRetry::version_gone(step.now));
                self.send_due_retry(position, step);
            }
        }
        let any_without_holder = self
            .shards
            .iter()
            .any(|progress| progress.state == ShardState::NoHolder);
        if any_without_holder {
            self.restart_on_newer_version(step);
        }
    }

    /// Restarts the search on a newer version if that version is complete and there is time left.
    fn restart_on_newer_version(&mut self, step: &mut RunStep<'_>) {
        let now = step.now;
        let median = lock(&self.permit.state().latency).median();
        let in_time = now + median.unwrap_or_default() < self.deadline;
        if self.restarts >= RESTARTS_MAX || !in_time {
            return;
        }
        let Some(newer) = self.view.pin(self.version.saturating_add(1)) else {
            return;
        };
        if newer.version <= self.version || !newer.is_complete() {
            return;
        }
        let (version, of) = (newer.version, newer.of);
        let shards = requested_shards(newer, self.params.key.as_deref());
        self.cancel_in_flight(None, now, &mut step.actions);
        self.restarts += 1;
        self.stats.restarts += 1;
        self.version = version;
        self.of = of;
        self.permit.reacquire(shards.len());
        self.shards = shards;
        self.replies.clear();
        self.rollout = false;
        self.soft_deadline = self.deadline.min(now + self.service_config.soft_deadline);
        self.send_first_attempts(AttemptKind::Restart, step);
    }

    /// Whether any target in the view still holds the shard in the pinned version.
    pub(crate) fn shard_has_holder(&self, position: usize, now: MonoTime) -> bool {
        let Some(index) = self.view.version(self.version) else {
            return false;
        };
        let shard = self.shards[position].shard;
        let state = self.permit.state();
        has_holder(state, index.holders(shard), self.version, now)
            || has_holder(state, &index.remote_holders(shard), self.version, now)
    }
}
