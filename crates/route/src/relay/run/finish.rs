//! When a request is answered, refused or given up.
//!
//! Load patterns: a shard does not answer, so the answer goes out without it; no target accepts the
//! request, or all have asked for time, so it is refused at once; callers that were refused come
//! back.

use std::{sync::Arc, time::Duration};

use fulmarweir_base::{MonoTime, RunVerdict};

use super::RelayRun;
use crate::{
    RefusalReason,
    relay::{
        message::{AnswerSource, RelayAction, RelayOutcome, RelayRefusal},
        selector::TargetSelector,
        sub_request::{SubRequest, SubRequestState},
    },
};

/// A request that no target has accepted is refused after the time to its soft deadline divided by
/// the first divisor, or its total time divided by the second one, whichever is later.
const ACCEPT_SOFT_DIVISOR: u32 = 4;
const ACCEPT_TOTAL_DIVISOR: u32 = 8;
/// Minimum time after which a refused caller is told to retry.
const RETRY_AFTER_MIN_MS: u64 = 50;
/// Minimum time after which a caller is told to retry while all targets are evacuated. Evacuations last
/// for minutes, but the order that ends one takes effect within a second.
const EVACUATED_RETRY_MS: u64 = 1_000;
/// Refused callers are told to retry up to this part later than necessary, each by a random share.
const RETRY_SPREAD_DIVISOR: u32 = 4;

impl RelayRun {
    /// Whether too few services have a target for the request to be answered.
    pub(super) fn too_few_targets(&self, selector: &TargetSelector, now: MonoTime) -> bool {
        let with_target = self.sub_requests.iter().filter(|sub_request| {
            selector.has_target(&sub_request.service, &self.params.placement, now)
        });
        !self.has_coverage(with_target.count())
    }

    /// Returns why too few services have a target: an evacuation, if there would be enough without it.
    pub(super) fn targets_reason(&self, selector: &TargetSelector, now: MonoTime) -> RefusalReason {
        let is_present = |sub_request: &&SubRequest| {
            let placement = &self.params.placement;
            selector.has_present_target(&sub_request.service, placement, now)
        };
        let present = self.sub_requests.iter().filter(is_present).count();
        if self.has_coverage(present) {
            RefusalReason::Evacuated
        } else {
            self.no_targets_reason()
        }
    }

    /// Whether too few services have a target that accepts requests soon enough.
    ///
    /// Load pattern: the targets of some shards are so full that they have asked for seconds of
    /// rest. A search that cannot do without these shards is refused before it costs the other
    /// targets anything, and its caller learns when to come back.
    pub(super) fn too_few_open(&self, selector: &TargetSelector, now: MonoTime) -> bool {
        let is_open = |(index, sub_request): &(usize, &SubRequest)| {
            let closed_until = self.closed_until(&sub_request.service, selector, now);
            closed_until.is_none_or(|until| until <= self.reopening_awaited_until(*index))
                // Targets tell each VM separately, so a broker may still use them.
                || self.is_handed_over(*index)
        };
        let open = self.sub_requests.iter().enumerate().filter(is_open);
        !self.has_coverage(open.count())
    }

    /// Returns when the first target of a service accepts the request again, if none does now.
    fn closed_until(
        &self,
        service: &str,
        selector: &TargetSelector,
        now: MonoTime,
    ) -> Option<MonoTime> {
        selector.closed_until(service, &self.params.placement, self.rank, now)
    }

    /// Returns why too few services have a target that accepts requests.
    pub(super) fn closed_reason(&self, selector: &TargetSelector, now: MonoTime) -> RefusalReason {
        let is_closed = |sub_request: &&SubRequest| {
            let service = &sub_request.service;
            self.closed_until(service, selector, now).is_some()
        };
        let placement = &self.params.placement;
        let mut closed = self.sub_requests.iter().filter(is_closed);
        if closed
            .clone()
            .any(|sub_request| selector.has_limited_target(&sub_request.service, placement, now))
        {
            RefusalReason::TargetsLimited
        } else if closed
            .any(|sub_request| selector.has_cold_target(&sub_request.service, placement, now))
        {
            RefusalReason::ColdRate
        } else {
            RefusalReason::TargetsClosed
        }
    }

    /// Returns until when a sub-request waits for a target that has asked for time.
    pub(super) fn reopening_awaited_until(&self, sub_request: usize) -> MonoTime {
        if self.sub_requests[sub_request].reached_attempts > 0 {
            self.params.soft_deadline
        } else {
            self.accept_deadline()
        }
    }

    /// Whether one more sub-request may fail without failing the request.
    ///
    /// Load pattern: all replicas of one shard are overloaded. Searches that leave it out are
    /// answered in time, and its queue drains for later ones.
    pub(super) fn tolerates_another_failure(&self) -> bool {
        let not_failed = self
            .sub_requests
            .iter()
            .filter(|sub_request| sub_request.state != SubRequestState::Failed);
        !self.params.is_handover
            && self.sub_requests.len() > 1
            && self.has_coverage(not_failed.count().saturating_sub(1))
    }

    /// Whether this number of answers is sufficient for an answer to the caller.
    pub(super) fn has_coverage(&self, answered: usize) -> bool {
        #[expect(
            clippy::cast_precision_loss,
            reason = "counts of sub-requests are small"
        )]
        let coverage = answered as f64 / self.sub_requests.len().max(1) as f64;
        answered > 0 && (self.params.is_handover || coverage >= self.params.coverage_min)
    }

    /// Finishes the request if it is decided or out of time, else requests the next wake-up.
    pub(super) fn finish_or_wake(
        &mut self,
        selector: &mut TargetSelector,
        now: MonoTime,
        actions: &mut Vec<RelayAction>,
    ) {
        if self.can_answer(now) {
            return self.answer(actions);
        }
        let pending = self
            .sub_requests
            .iter()
            .filter(|sub_request| sub_request.is_pending());
        let pending = pending.count();
        if pending == 0 && self.has_coverage(self.answered) {
            return self.answer(actions);
        }
        if !self.has_coverage(self.answered + pending) {
            return self.give_up(selector, now, actions);
        }
        if now >= self.params.deadline {
            return self.refuse(RefusalReason::Deadline, selector, now, actions);
        }
        if self.accept_timed_out(now) && !self.may_go_elsewhere(selector) {
            return self.refuse(RefusalReason::TargetsRefused, selector, now, actions);
        }
        let next = self.next_wake(now);
        if self.wake_at != Some(next) {
            self.wake_at = Some(next);
            actions.push(RelayAction::Wake(next));
        }
    }

    /// Ends the request now, as at its deadline, since this VM is about to exit.
    pub fn end(&mut self, selector: &mut TargetSelector, now: MonoTime) -> Vec<RelayAction> {
        let mut actions = Vec::new();
        if !self.finished {
            self.params.soft_deadline = self.params.soft_deadline.min(now);
            self.params.deadline = self.params.deadline.min(now);
            self.finish_or_wake(selector, now, &mut actions);
        }
        actions
    }

    /// Whether all services have answered, or enough of them by the soft deadline.
    pub(super) fn can_answer(&self, now: MonoTime) -> bool {
        let is_complete = self.answered == self.sub_requests.len();
        is_complete || (now >= self.params.soft_deadline && self.has_coverage(self.answered))
    }

    /// Whether no target has accepted the request by its accept deadline.
    ///
    /// Load pattern: all VMs restart, and targets are over their connection limits until they
    /// notice that the connections of the processes before are gone. Callers that are refused have
    /// few retries, and this passes soon, so such a request waits.
    fn accept_timed_out(&self, now: MonoTime) -> bool {
        now >= self.accept_deadline()
            && self.verdict() == RunVerdict::NotRun
            && !self
                .sub_requests
                .iter()
                .any(|sub_request| sub_request.over_limit)
    }

    /// Returns the time by which a target must have accepted the request.
    pub(super) fn accept_deadline(&self) -> MonoTime {
        let soft = self.params.soft_deadline.since(self.started_at) / ACCEPT_SOFT_DIVISOR;
        let total = self.params.deadline.since(self.started_at) / ACCEPT_TOTAL_DIVISOR;
        self.started_at + soft.max(total)
    }

    fn next_wake(&self, now: MonoTime) -> MonoTime {
        let mut wake_at = self.params.deadline;
        for at in [self.params.soft_deadline, self.accept_deadline()] {
            if at > now {
                wake_at = wake_at.min(at);
            }
        }
        let open = self
            .sub_requests
            .iter()
            .filter(|sub_request| sub_request.is_open());
        open.filter_map(|sub_request| sub_request.next_attempt_at)
            .fold(wake_at, MonoTime::min)
    }

    fn answer(&mut self, actions: &mut Vec<RelayAction>) {
        self.finished = true;
        let source = |sub_request: &SubRequest| match sub_request.state {
            SubRequestState::Answered(attempt) => Some(AnswerSource::Attempt(attempt)),
            SubRequestState::AnsweredByBroker(group) => Some(AnswerSource::Group(group)),
            SubRequestState::Open | SubRequestState::HandedOver(_) | SubRequestState::Failed => {
                None
            }
        };
        let sources = self.sub_requests.iter().map(source).collect();
        actions.push(RelayAction::Finish(RelayOutcome::Answered(sources)));
    }

    /// Finishes a request that can no longer get enough answers.
    fn give_up(
        &mut self,
        selector: &mut TargetSelector,
        now: MonoTime,
        actions: &mut Vec<RelayAction>,
    ) {
        if let [sub_request] = self.sub_requests.as_slice()
            && let Some(reply) = sub_request.failure_reply
        {
            self.finished = true;
            actions.push(RelayAction::Finish(RelayOutcome::TargetFailure(reply)));
            return;
        }
        let links_reason = self.links_reason(selector);
        let reason = match self.verdict() {
            RunVerdict::NotRun => {
                links_reason.unwrap_or_else(|| self.not_run_reason(selector, now))
            }
            _ if self.sub_requests.len() > 1 => RefusalReason::LowCoverage,
            _ => RefusalReason::Undecided,
        };
        self.refuse(reason, selector, now, actions);
    }

    /// Returns why a request that has not run is refused.
    fn not_run_reason(&self, selector: &TargetSelector, now: MonoTime) -> RefusalReason {
        if self.too_few_unblocked(selector, now) {
            RefusalReason::Quarantined
        } else if self.too_few_targets(selector, now) {
            self.targets_reason(selector, now)
        } else if self.is_home_bound(selector, now) {
            RefusalReason::HomeBound
        } else if self.too_few_open(selector, now) {
            self.closed_reason(selector, now)
        } else {
            RefusalReason::TargetsRefused
        }
    }

    pub(super) fn refuse(
        &mut self,
        reason: RefusalReason,
        selector: &mut TargetSelector,
        now: MonoTime,
        actions: &mut Vec<RelayAction>,
    ) {
        self.finished = true;
        let mut retry_after = self.retry_after(selector, now).max(self.broker_retry_after);
        if reason == RefusalReason::Evacuated {
            retry_after = retry_after.max(Duration::from_millis(EVACUATED_RETRY_MS));
        }
        let is_rate = matches!(
            reason,
            RefusalReason::TargetsLimited | RefusalReason::ColdRate
        );
        if is_rate {
            retry_after = self.turn_after(retry_after, selector, now);
        }
        if reason == RefusalReason::HomeBound {
            retry_after = self.with_spread(Self::home_bound_retry());
        }
        if reason == RefusalReason::Quarantined {
            retry_after = self.unblocked_after(selector, now);
        }
        let refusal = RelayRefusal {
            reason,
            verdict: self.verdict(),
            retry_after: Some(retry_after),
        };
        actions.push(RelayAction::Finish(RelayOutcome::Refused(refusal)));
    }

    /// Returns the time after which enough services are expected to accept the request, plus a
    /// random part.
    ///
    /// Load pattern: the callers that were refused while a target was closed return all at once
    /// when it opens, and close it again.
    fn retry_after(&self, selector: &TargetSelector, now: MonoTime) -> Duration {
        let wait = |sub_request: &SubRequest| {
            let service = &sub_request.service;
            // What failed for another reason says nothing about when it will not.
            let has_estimate =
                sub_request.is_open() || self.closed_until(service, selector, now).is_some();
            let wait = has_estimate
                .then(|| selector.estimated_wait(service, &self.params.placement, self.rank, now));
            wait.unwrap_or_default()
        };
        let unanswered = self.sub_requests.iter().filter(|s| !s.is_answered());
        let mut waits: Vec<Duration> = unanswered.map(wait).collect();
        waits.sort_unstable();
        let dispensable = (0..self.sub_requests.len()).take_while(|missing| {
            let answered = self.sub_requests.len() - missing - 1;
            self.has_coverage(answered)
        });
        let last_needed = waits.len().saturating_sub(dispensable.count() + 1);
        let wait = waits.get(last_needed).copied().unwrap_or_default();
        self.with_spread(wait.max(Duration::from_millis(RETRY_AFTER_MIN_MS)))
    }

    /// Returns a time after which a caller may retry, plus a random part.
    fn with_spread(&self, wait: Duration) -> Duration {
        let spread = self.params.retry_spread.clamp(0.0, 1.0);
        wait + (wait / RETRY_SPREAD_DIVISOR).mul_f64(spread)
    }

    /// Returns the time until no service is blocked for the request any more.
    fn unblocked_after(&self, selector: &TargetSelector, now: MonoTime) -> Duration {
        let services = self.params.services.iter();
        let blocked = services.filter_map(|service| {
            let until = selector.blocked_until(self.params.fingerprint, service, now)?;
            Some(until.since(now))
        });
        blocked.max().unwrap_or_default()
    }

    /// Returns the time until the turn of this caller at the service that is closed for longest.
    ///
    /// Load pattern: many callers are refused since a target takes few requests. If all of them
    /// return when it takes the next one, all but one are refused again.
    fn turn_after(
        &self,
        retry_after: Duration,
        selector: &mut TargetSelector,
        now: MonoTime,
    ) -> Duration {
        let unanswered = self.sub_requests.iter().filter(|s| !s.is_answered());
        let closed = unanswered.filter_map(|sub_request| {
            let service = &sub_request.service;
            let until = self.closed_until(service, selector, now)?;
            Some((until, Arc::clone(service)))
        });
        let Some((_, service)) = closed.max() else {
            return retry_after;
        };
        selector
            .reserve_return(&service, &self.params.placement, now + retry_after, now)
            .since(now)
    }

    /// Whether a sub-request for which the budget allows no attempt fails instead of waiting.
    ///
    /// Load pattern: many shards are slow at once and their budgets are empty. They recover only
    /// over seconds, while a caller that is refused at once can retry, which counts as a new
    /// request.
    pub(super) fn fails_without_budget(&self, sub_request: usize, now: MonoTime) -> bool {
        let progress = &self.sub_requests[sub_request];
        let is_late = self.params.idempotent && now >= self.params.soft_deadline;
        progress.open_attempts.is_empty() && (is_late || progress.pinned_centre.is_some())
    }
}
