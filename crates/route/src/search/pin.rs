//! Pinning a version, and starting over on a newer one.

use fulmarweir_base::{MonoTime, lock, shard_for_key};

use super::{RunStep, SearchParams, SearchRun, ShardProgress, ShardState};
use crate::{
    AttemptKind, HolderIndex, RefusalReason, RouteRefusal, TargetView, refusal::Result,
    replica::has_holder, search::progress::PendingRetry,
};

/// How often one search may start over.
const RESTARTS_MAX: u32 = 2;

/// Pins a version for a new search.
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

/// The shards that a request needs: the one of its key, or all.
pub(crate) fn asked_shards(pinned: &HolderIndex, key: Option<&str>) -> Vec<ShardProgress> {
    match key {
        Some(key) => vec![ShardProgress::new(shard_for_key(key, pinned.of))],
        None => (0..pinned.of).map(ShardProgress::new).collect(),
    }
}

impl SearchRun {
    /// A target said that it no longer holds the pinned version.
    pub(crate) fn version_gone(&mut self, place: usize, step: &mut RunStep<'_>) {
        if self.shard_has_holder(place, step.now) {
            self.shards[place].retry = Some(PendingRetry::version_gone(step.now));
            self.send_due_retry(place, step);
            return;
        }
        if self.shards[place].in_flight > 0 {
            return;
        }
        self.shards[place].state = ShardState::Lost;
        self.rollout = true;
        self.restart_if_better(step);
    }

    /// Asks again for shards whose holders have appeared in the view.
    pub(crate) fn revive_lost_shards(&mut self, step: &mut RunStep<'_>) {
        for place in 0..self.shards.len() {
            if self.shards[place].state != ShardState::Lost {
                continue;
            }
            if self.shard_has_holder(place, step.now) {
                let progress = &mut self.shards[place];
                progress.state = ShardState::Open;
                progress.retry = Some(PendingRetry::version_gone(step.now));
                self.send_due_retry(place, step);
            }
        }
        let any_lost = self.shards.iter().any(|one| one.state == ShardState::Lost);
        if any_lost {
            self.restart_if_better(step);
        }
    }

    /// Starts over on a newer version when that can cover more and time allows.
    fn restart_if_better(&mut self, step: &mut RunStep<'_>) {
        let now = step.now;
        let typical = lock(&self.permit.state().latency).median();
        let in_time = now + typical.unwrap_or_default() < self.deadline;
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
        let shards = asked_shards(newer, self.params.key.as_deref());
        self.cancel_in_flight(None, now, &mut step.actions);
        self.restarts += 1;
        self.stats.restarts += 1;
        self.version = version;
        self.of = of;
        self.permit.reacquire(shards.len());
        self.shards = shards;
        self.replies.clear();
        self.rollout = false;
        self.soft_deadline = self.deadline.min(now + self.plan.soft_deadline);
        self.send_first(AttemptKind::Restart, step);
    }

    /// Whether any target in the view still holds the shard in the pinned version.
    pub(crate) fn shard_has_holder(&self, place: usize, now: MonoTime) -> bool {
        let Some(index) = self.view.version(self.version) else {
            return false;
        };
        let shard = self.shards[place].shard;
        let state = self.permit.state();
        has_holder(state, index.holders(shard), self.version, now)
            || has_holder(state, &index.remote_holders(shard), self.version, now)
    }
}
