//! Hedges and retries of a search, within the retry budget of its service.

use std::{sync::Arc, time::Duration};

use fulmarweir_base::{MonoTime, RunVerdict, TargetRecord, lock};

use super::{RunStep, SearchRun, ShardState, progress::PendingRetry};
use crate::{
    AttemptKind, AttemptOutcome, RetryPolicy, RetryReason,
    replica::{AttemptPriority, choose_replica},
};

/// Maximum hedges per shard of a search.
const HEDGES_MAX: u32 = 2;
/// Interval from the first hedge of a shard to the second, as a share of the hedge delay.
const SECOND_HEDGE_INTERVAL_SHARE: f64 = 0.5;
/// Backoff per retry before the holders of a shard are tried again, once all have been tried.
const RETRY_BACKOFF_MS: u64 = 10;
/// Interval at which hedges and retries are attempted again while the budget is empty.
const BUDGET_RECHECK_MS: u64 = 2;
/// Maximum retries per shard with [`RetryPolicy::Naive`].
const NAIVE_RETRIES_MAX: u32 = 3;
/// Timeout of an attempt with [`RetryPolicy::Naive`], as a share of the deadline.
const NAIVE_TIMEOUT_SHARE: f64 = 0.1;
/// Hedge delay while latencies are unknown, as a share of the soft deadline.
const HEDGE_DELAY_SHARE: f64 = 0.5;

impl SearchRun {
    /// Retries a shard whose attempt ended without hits, or marks the shard as failed.
    pub(crate) fn attempt_failed(
        &mut self,
        position: usize,
        outcome: &AttemptOutcome,
        step: &mut RunStep<'_>,
    ) {
        let progress = &mut self.shards[position];
        if progress.state != ShardState::Pending || progress.in_flight > 0 {
            return;
        }
        if !self.may_retry(outcome) {
            self.shards[position].state = ShardState::Failed;
            return;
        }
        self.shards[position].retry = Some(PendingRetry::after(outcome, step.now));
        self.send_due_retry(position, step);
    }

    /// Whether a failed attempt may be retried.
    ///
    /// A nested search retries only attempts that have not run: its caller may be retried one
    /// level up, and retries must not multiply with each level.
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

    /// Sends the retries and hedges that are due.
    pub(crate) fn send_due(&mut self, step: &mut RunStep<'_>) {
        for position in 0..self.shards.len() {
            self.send_due_retry(position, step);
        }
        self.send_due_hedges(step);
    }

    /// Sends the retry of a shard if it is due and the budget allows it.
    pub(crate) fn send_due_retry(&mut self, position: usize, step: &mut RunStep<'_>) {
        let progress = &self.shards[position];
        let Some(retry) = progress.retry.filter(|retry| retry.at <= step.now) else {
            return;
        };
        if progress.state != ShardState::Pending || progress.in_flight > 0 {
            return;
        }
        let Some(target) = self.choose(position, false, step) else {
            self.retry_tried_holders(position, retry, step.now);
            return;
        };
        if !self.try_spend_for_retry(position, retry) {
            self.shards[position].retry = Some(retry.postponed(step.now, BUDGET_RECHECK_MS));
            return;
        }
        self.send(position, target, AttemptKind::Retry(retry.reason), step);
    }

    /// Schedules a retry on any holder after a backoff, once every holder has been tried.
    fn retry_tried_holders(&mut self, position: usize, retry: PendingRetry, now: MonoTime) {
        if !self.shard_has_holder(position, now) {
            self.shards[position].state = ShardState::NoHolder;
            return;
        }
        let progress = &mut self.shards[position];
        let pause = RETRY_BACKOFF_MS * u64::from(progress.retries + 1);
        progress.tried.clear();
        progress.retry = Some(retry.postponed(now, pause));
    }

    fn try_spend_for_retry(&self, position: usize, retry: PendingRetry) -> bool {
        let state = self.permit.state();
        if self.is_naive() {
            return self.shards[position].retries < NAIVE_RETRIES_MAX;
        }
        let mut budget = lock(&state.budget);
        if retry.reason == RetryReason::VersionGone {
            // Not subject to the budget: each target sends this reply only once and at no cost, and
            // without the retry the shard would be missing from the answer.
            budget.charge(1);
            return true;
        }
        budget.try_spend(1) || (retry.costless && budget.try_borrow())
    }

    /// Hedges all slow attempts or none. Hedging only some of the missing shards would not complete
    /// the search, so the budget is left to searches that miss few shards.
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
        for position in due {
            match self.choose(position, !self.is_naive(), step) {
                Some(target) => self.send(position, target, AttemptKind::Hedge, step),
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
        // A new budget holds tokens, which a service without extra load must not spend on hedges.
        let allowed = self.service_config.extra_load > 0.0 || self.is_naive();
        if !allowed || self.is_too_late_to_hedge(now) {
            return Vec::new();
        }
        let is_due = |position: &usize| {
            let progress = &self.shards[*position];
            progress.is_in_flight()
                && progress.hedges < HEDGES_MAX
                && now.since(progress.last_sent_at) >= Self::hedge_interval(progress.hedges, delay)
        };
        (0..self.shards.len()).filter(is_due).collect()
    }

    /// Whether a hedge sent now would most likely be answered after the search is over.
    fn is_too_late_to_hedge(&self, now: MonoTime) -> bool {
        let median = lock(&self.permit.state().latency).median();
        now + median.unwrap_or_default() >= self.answer_deadline(now)
    }

    /// Returns the time after which an attempt is hedged: a high latency quantile of the service.
    /// It grows up to twofold as the budget is used up, so that only the slowest attempts are
    /// hedged.
    pub(crate) fn hedge_delay(&self) -> Duration {
        if self.is_naive() {
            return self.service_config.deadline.mul_f64(NAIVE_TIMEOUT_SHARE);
        }
        let state = self.permit.state();
        let measured = lock(&state.latency).hedge_delay();
        let delay = measured
            .unwrap_or_else(|| self.service_config.soft_deadline.mul_f64(HEDGE_DELAY_SHARE));
        let utilization = lock(&state.budget).utilization();
        delay.mul_f64(1.0 + utilization)
    }

    /// Returns the time from the latest attempt of a shard to its next hedge.
    fn hedge_interval(hedges: u32, delay: Duration) -> Duration {
        if hedges == 0 {
            return delay;
        }
        delay.mul_f64(SECOND_HEDGE_INTERVAL_SHARE)
    }

    /// Returns the next time at which a hedge or retry may be due.
    pub(crate) fn next_extra_attempt(&self, now: MonoTime) -> Option<MonoTime> {
        let recheck = now + Duration::from_millis(BUDGET_RECHECK_MS);
        let hedging = self.permit.state().settings.hedge;
        let delay = self.hedge_delay();
        let next_of = |progress: &super::ShardProgress| {
            if progress.state != ShardState::Pending {
                return None;
            }
            if let Some(retry) = progress.retry {
                return Some(retry.at);
            }
            let hedgeable = hedging && progress.in_flight > 0 && progress.hedges < HEDGES_MAX;
            hedgeable.then(|| progress.last_sent_at + Self::hedge_interval(progress.hedges, delay))
        };
        let next = self.shards.iter().filter_map(next_of).min()?;
        Some(if next <= now { recheck } else { next })
    }

    /// Chooses a replica for a shard, from those not tried yet. An `optional` attempt goes only to
    /// a healthy replica without a queue.
    pub(crate) fn choose(
        &self,
        position: usize,
        optional: bool,
        step: &mut RunStep<'_>,
    ) -> Option<Arc<TargetRecord>> {
        let progress = &self.shards[position];
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
        // Another data centre is always slower than the median, so it would never qualify for an
        // optional attempt.
        choose_among(index.holders(progress.shard), priority).or_else(|| {
            let remote = index.remote_holders(progress.shard);
            choose_among(&remote, AttemptPriority::Required)
        })
    }
}
