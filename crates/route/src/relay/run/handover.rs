//! The groups of a request that brokers run, and what a broker returns of one.
//!
//! Load patterns: a broker is slow or lost while its search is in flight; a target of a broker
//! pauses for longer than a search waits.

use std::sync::Arc;

use fulmarweir_base::MonoTime;

use super::RelayRun;
use crate::{
    AttemptKind, RetryReason,
    relay::{
        message::{AnswerSource, GroupOutcome, RelayAction, UnclearSubRequest},
        selector::TargetSelector,
        sub_request::SubRequestState,
    },
};

impl RelayRun {
    /// Handles the outcome of a group that was handed over; a duplicate report changes nothing.
    ///
    /// Sub-requests that the broker did not answer are sent by this VM if the answer still needs
    /// them.
    pub fn on_group_end(
        &mut self,
        group: usize,
        outcome: &GroupOutcome,
        selector: &mut TargetSelector,
        now: MonoTime,
    ) -> Vec<RelayAction> {
        let mut actions = Vec::new();
        if self.finished {
            return actions;
        }
        self.record_group_crashes(outcome);
        self.was_taken |= outcome.accepted;
        let broker_retry_after = outcome.retry_after.unwrap_or_default();
        self.broker_retry_after = self.broker_retry_after.max(broker_retry_after);
        let mut unanswered = Vec::new();
        for (index, sub_request) in self.sub_requests.iter_mut().enumerate() {
            if !sub_request.awaits(group) || outcome.pending.contains(&index) {
                continue;
            }
            sub_request.awaited_group = None;
            if outcome.answered.contains(&index) {
                // The records of a group cannot be separated, so its answer replaces one that an
                // attempt of this VM has got meanwhile.
                self.answered += usize::from(!sub_request.is_answered());
                sub_request.state = SubRequestState::AnsweredByBroker(group);
                sub_request.next_attempt_at = None;
                continue;
            }
            if outcome.has_failure_reply {
                sub_request.failure_reply = Some(AnswerSource::Group(group));
            }
            let unclear = outcome.unclear.iter().find(|u| u.sub_request == index);
            let centre = &self.params.handover_groups[group].centre;
            if sub_request.state != SubRequestState::HandedOver(group) {
                if let Some(unclear) = unclear {
                    sub_request.record_unclear(&unclear.ran, centre);
                }
                if sub_request.is_open() && selector.links().are_unusable() {
                    unanswered.push(index);
                }
                continue;
            }
            sub_request.state = SubRequestState::Open;
            sub_request.counted_by_broker = outcome.accepted;
            if let Some(unclear) = unclear {
                sub_request.reopen_unclear(&unclear.ran, centre);
            } else if outcome.refused.contains(&index) {
                sub_request.reopen_refused();
            }
            unanswered.push(index);
        }
        if self.can_answer(now) {
            // No further attempt is needed.
        } else if selector.links().are_unusable() {
            self.hand_over_returned(&unanswered, outcome, selector, now, &mut actions);
        } else {
            for sub_request in unanswered {
                self.send_returned(sub_request, selector, now, &mut actions);
            }
        }
        self.resume_parked(selector, now, &mut actions);
        self.finish_or_wake(selector, now, &mut actions);
        actions
    }

    /// Handles the silence of the broker of a group. Its answer is still accepted.
    ///
    /// Load pattern: a broker is slow or was frozen for a moment. Its work is not lost, and sending
    /// all of it again would take the budget from requests that need it, so this VM sends what the
    /// budget allows and waits for the broker with the rest.
    pub fn on_group_silent(
        &mut self,
        group: usize,
        selector: &mut TargetSelector,
        now: MonoTime,
    ) -> Vec<RelayAction> {
        let mut actions = Vec::new();
        // Without links, or if it must not run twice, the broker is all that there is.
        if self.finished || !self.params.idempotent || selector.links().are_unusable() {
            return actions;
        }
        let centre = Arc::clone(&self.params.handover_groups[group].centre);
        for sub_request in 0..self.sub_requests.len() {
            if self.sub_requests[sub_request].state != SubRequestState::HandedOver(group) {
                continue;
            }
            self.sub_requests[sub_request].reopen_awaited(group, &centre);
            self.send_returned(sub_request, selector, now, &mut actions);
        }
        self.finish_or_wake(selector, now, &mut actions);
        actions
    }

    /// Continues a handover that has returned its outcome, for the services that were pending then.
    ///
    /// Load pattern: a target pauses for longer than a search waits for an answer. Its answer makes
    /// a search complete that could not be answered without it, and costs nothing more.
    pub fn resume(
        &mut self,
        soft_deadline: MonoTime,
        deadline: MonoTime,
        selector: &mut TargetSelector,
        now: MonoTime,
    ) -> Vec<RelayAction> {
        self.params.soft_deadline = soft_deadline.min(deadline);
        self.params.deadline = deadline;
        self.finished = false;
        self.is_resumed = true;
        for sub_request in &mut self.sub_requests {
            sub_request.has_lent_extra = false;
            // Only what is in flight goes on; the origin sends the others.
            sub_request.next_attempt_at = None;
            let is_over = now >= deadline || !sub_request.is_in_flight();
            if sub_request.is_open() && is_over {
                sub_request.state = SubRequestState::Failed;
            }
        }
        self.wake_at = None;
        let mut actions = Vec::new();
        self.finish_or_wake(selector, now, &mut actions);
        actions
    }

    /// Returns what the VM that handed over this request must know of its services.
    #[must_use]
    pub fn group_outcome(&self) -> GroupOutcome {
        let mut outcome = GroupOutcome {
            accepted: true,
            ..GroupOutcome::default()
        };
        for (index, sub_request) in self.sub_requests.iter().enumerate() {
            if sub_request.has_lent_extra {
                outcome.unused_loans.push(index);
            }
            if sub_request.crashes > 0 {
                outcome.crashes.push((index, sub_request.crashes));
            }
            if sub_request.is_in_flight() {
                outcome.pending.push(index);
            }
            if sub_request.is_answered() {
                outcome.answered.push(index);
            } else if sub_request.may_have_run() {
                outcome.unclear.push(UnclearSubRequest {
                    sub_request: index,
                    ran: sub_request.ran.clone(),
                });
            } else if sub_request.reached_attempts > 0 {
                outcome.refused.push(index);
            }
        }
        outcome
    }

    /// Records the targets that have ended at a broker.
    fn record_group_crashes(&mut self, outcome: &GroupOutcome) {
        if !outcome.answered.is_empty() {
            self.trial.record_answer();
        }
        let mut any_again = false;
        for (index, crashes) in &outcome.crashes {
            if let Some(sub_request) = self.sub_requests.get_mut(*index) {
                any_again |= *crashes > 1 && *crashes > sub_request.crashes;
                sub_request.crashes = sub_request.crashes.max(*crashes);
            }
        }
        if !outcome.crashes.is_empty() {
            self.record_crash(any_again);
        }
    }

    /// Sends a sub-request that a broker left unanswered.
    fn send_returned(
        &mut self,
        sub_request: usize,
        selector: &mut TargetSelector,
        now: MonoTime,
        actions: &mut Vec<RelayAction>,
    ) {
        let progress = &mut self.sub_requests[sub_request];
        if !self.params.idempotent && progress.may_have_run() {
            progress.state = SubRequestState::Failed;
            return;
        }
        let kind = match (progress.reached_attempts, progress.may_have_run()) {
            (0, _) if !progress.counted_by_broker => {
                return self.send_first(sub_request, selector, now, actions);
            }
            (0, _) => AttemptKind::First,
            (_, false) => AttemptKind::Retry(RetryReason::Refused),
            (_, true) => AttemptKind::Retry(RetryReason::Failed),
        };
        self.try_send(sub_request, kind, selector, now, actions);
    }

    /// Whether a sub-request belongs to a group that is handed over.
    pub(super) fn is_handed_over(&self, sub_request: usize) -> bool {
        let mut groups = self.params.handover_groups.iter();
        groups.any(|group| group.sub_requests.contains(&sub_request))
    }
}
