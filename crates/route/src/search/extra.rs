//! Hedges and retries of a search, within the budget of its service.

use std::{sync::Arc, time::Duration};

use fulmarweir_base::{MonoTime, RunVerdict, TargetRecord, lock};

use super::{RunStep, SearchRun, ShardState, progress::PendingRetry};
use crate::{
    AttemptKind, AttemptOutcome, RetryPolicy, RetryReason,
    replica::{AttemptPriority, choose_replica},
};

/// Hedges for one shard of one search.
const HEDGES_MAX: u32 = 2;
/// Time from the first hedge of a shard to the second, as a share of the hedge delay.
const SECOND_HEDGE_SHARE: f64 = 0.5;
/// Pause before targets that have all been asked are asked again, times the retries so far.
const RETRY_PAUSE_MS: u64 = 10;
/// Pause until an empty budget is asked again.
const BUDGET_RECHECK_MS: u64 = 2;
/// Retries of one shard in the baseline without a budget.
const NAIVE_RETRIES_MAX: u32 = 3;
/// Time-out of that baseline as a share of the deadline.
const NAIVE_TIMEOUT_SHARE: f64 = 0.1;
/// Hedge delay as a share of the soft deadline while latencies are unknown.
const HEDGE_DELAY_SHARE: f64 = 0.5;

impl SearchRun {
    /// Decides on a shard whose attempt ended without hits.
    pub(crate) fn attempt_failed(
        &mut self,
        place: usize,
        outcome: &AttemptOutcome,
        step: &mut RunStep<'_>,
    ) {
        let progress = &mut self.shards[place];
        if progress.state != ShardState::Open || progress.in_flight > 0 {
            return;
        }
        if !self.may_retry(outcome) {
            self.shards[place].state = ShardState::Failed;
            return;
        }
        self.shards[place].retry = Some(PendingRetry::after(outcome, step.now));
        self.send_due_retry(place, step);
    }

    /// A nested search repeats only what has not run: its caller's own attempt
    /// may be repeated a level above, and work must not multiply by level.
    fn may_retry(&self, outcome: &AttemptOutcome) -> bool {
        let retried_downstream = matches!(
            outcome,
            AttemptOutcome::Failed {
                retried_downstream: true,
                ..
            }
        );
        let not_run = outcome.verdict() == RunVerdict::NotRun;
        !retried_downstream && (not_run || !self.params.nested)
    }

    /// Sends the retries and hedges whose time has come.
    pub(crate) fn send_due(&mut self, step: &mut RunStep<'_>) {
        for place in 0..self.shards.len() {
            self.send_due_retry(place, step);
        }
        self.send_due_hedges(step);
    }

    /// Sends the retry of a shard if its time has come and the budget allows it.
    pub(crate) fn send_due_retry(&mut self, place: usize, step: &mut RunStep<'_>) {
        let progress = &self.shards[place];
        let Some(retry) = progress.retry.filter(|retry| retry.at <= step.now) else {
            return;
        };
        if progress.state != ShardState::Open || progress.in_flight > 0 {
            return;
        }
        let Some(target) = self.choose(place, false, step) else {
            self.ask_all_again(place, retry, step.now);
            return;
        };
        if !self.take_for_retry(place, retry) {
            self.shards[place].retry = Some(retry.postponed(step.now, BUDGET_RECHECK_MS));
            return;
        }
        self.send(place, target, AttemptKind::Retry(retry.reason), step);
    }

    /// Every holder has been asked: pauses, then starts with the first again.
    fn ask_all_again(&mut self, place: usize, retry: PendingRetry, now: MonoTime) {
        if !self.shard_has_holder(place, now) {
            self.shards[place].state = ShardState::Lost;
            return;
        }
        let progress = &mut self.shards[place];
        let pause = RETRY_PAUSE_MS * u64::from(progress.retries + 1);
        progress.tried.clear();
        progress.retry = Some(retry.postponed(now, pause));
    }

    fn take_for_retry(&self, place: usize, retry: PendingRetry) -> bool {
        let state = self.permit.state();
        if self.is_naive() {
            return self.shards[place].retries < NAIVE_RETRIES_MAX;
        }
        let mut budget = lock(&state.budget);
        if retry.reason == RetryReason::VersionGone {
            // Each target says so once and at no cost, and the answer depends on it.
            budget.charge(1);
            return true;
        }
        budget.try_spend(1) || (retry.free && budget.try_borrow())
    }

    /// Hedges the slow attempts, all or none: hedging some of the missing shards
    /// does not end the search, so the budget goes to searches that miss few.
    fn send_due_hedges(&mut self, step: &mut RunStep<'_>) {
        let state = self.permit.state();
        if !state.settings.hedge {
            return;
        }
        let due = self.hedge_candidates(step.now);
        if due.is_empty() {
            return;
        }
        if !self.is_naive() && !lock(&state.budget).try_spend(due.len()) {
            return;
        }
        let mut unsent = 0;
        for place in due {
            match self.choose(place, !self.is_naive(), step) {
                Some(target) => self.send(place, target, AttemptKind::Hedge, step),
                None => unsent += 1,
            }
        }
        lock(&self.permit.state().budget).refund(unsent);
    }

    fn is_naive(&self) -> bool {
        self.permit.state().settings.retry == RetryPolicy::Naive
    }

    fn hedge_candidates(&self, now: MonoTime) -> Vec<usize> {
        let delay = self.hedge_delay();
        // The burst that a new service may use is no licence for one that allows no extra load.
        let allowed = self.plan.extra_load > 0.0 || self.is_naive();
        if !allowed || self.is_too_late_to_hedge(now) {
            return Vec::new();
        }
        let is_due = |place: &usize| {
            let progress = &self.shards[*place];
            progress.is_waiting()
                && progress.hedges < HEDGES_MAX
                && now.since(progress.sent_at) >= Self::hedge_pause(progress.hedges, delay)
        };
        (0..self.shards.len()).filter(is_due).collect()
    }

    /// Whether a hedge sent now would most likely come after the answer.
    fn is_too_late_to_hedge(&self, now: MonoTime) -> bool {
        let typical = lock(&self.permit.state().latency).median();
        now + typical.unwrap_or_default() >= self.answer_due(now)
    }

    /// Time after which an attempt is hedged: the service's high quantile, and up
    /// to twice that as the budget is used up, so that it goes to the slowest.
    pub(crate) fn hedge_delay(&self) -> Duration {
        if self.is_naive() {
            return self.plan.deadline.mul_f64(NAIVE_TIMEOUT_SHARE);
        }
        let state = self.permit.state();
        let measured = lock(&state.latency).hedge_delay();
        let delay = measured.unwrap_or_else(|| self.plan.soft_deadline.mul_f64(HEDGE_DELAY_SHARE));
        let utilization = lock(&state.budget).utilization();
        delay.mul_f64(1.0 + utilization)
    }

    /// Time from the last attempt of a shard to its next hedge.
    fn hedge_pause(hedges: u32, delay: Duration) -> Duration {
        if hedges == 0 {
            return delay;
        }
        delay.mul_f64(SECOND_HEDGE_SHARE)
    }

    /// The next time at which a hedge or retry may be due.
    pub(crate) fn next_extra(&self, now: MonoTime) -> Option<MonoTime> {
        let recheck = now + Duration::from_millis(BUDGET_RECHECK_MS);
        let hedges = self.permit.state().settings.hedge;
        let delay = self.hedge_delay();
        let next_of = |progress: &super::ShardProgress| {
            if progress.state != ShardState::Open {
                return None;
            }
            if let Some(retry) = progress.retry {
                return Some(retry.at);
            }
            let hedgeable = hedges && progress.in_flight > 0 && progress.hedges < HEDGES_MAX;
            hedgeable.then(|| progress.sent_at + Self::hedge_pause(progress.hedges, delay))
        };
        let next = self.shards.iter().filter_map(next_of).min()?;
        Some(if next <= now { recheck } else { next })
    }

    /// Chooses a replica for a shard, from those not asked yet.
    pub(crate) fn choose(
        &self,
        place: usize,
        optional: bool,
        step: &mut RunStep<'_>,
    ) -> Option<Arc<TargetRecord>> {
        let progress = &self.shards[place];
        let index = self.view.version(self.version)?;
        let priority = if optional {
            AttemptPriority::Optional
        } else {
            AttemptPriority::Required
        };
        let mut choose_among = |holders: &[Arc<TargetRecord>], priority| {
            choose_replica(
                self.permit.state(),
                holders,
                &progress.tried,
                self.version,
                priority,
                step.now,
                step.rng,
            )
        };
        // Another data centre is always slower than the median, so it need not be as fast as a spare.
        choose_among(index.holders(progress.shard), priority).or_else(|| {
            let remote = index.remote_holders(progress.shard);
            choose_among(&remote, AttemptPriority::Required)
        })
    }
}
