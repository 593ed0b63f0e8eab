//! The state machine of one relayed request: when attempts are sent.
//!
//! Load patterns: a replica pauses while others are idle, so a hedge is sent after the usual
//! latency of the route; targets refuse, so another one is tried at once and, after all have
//! refused, the request is retried with a growing delay.

mod finish;
mod handover;
mod lost_links;
mod trial;

use std::{sync::Arc, time::Duration};

use fulmarweir_base::{MonoTime, RunVerdict};
use fulmarweir_permits::{RequestRank, WaitTimes};

use self::trial::RequestTrial;
use super::{
    attempt_budget::AttemptCharge,
    crash::RunEnd,
    link_state::LinkEvidence,
    message::{
        AnswerSource, RelayAction, RelayAttempt, RelayAttemptOutcome, RelayParams, RequestOrigin,
    },
    permit_tables::AttemptPermits,
    selector::{PickCriteria, RelayTarget, TargetChoice, TargetPick, TargetSelector},
    sub_request::{OpenAttempt, SubRequest, SubRequestState},
    target_tracker::AttemptSignal,
};
use crate::{AttemptKind, RefusalReason, RetryReason};

/// Retry delay while all connections of this VM to the targets of a sub-request are in use.
const BUSY_PAUSE_MS: u64 = 4;
/// First and longest retry delay after every target of a sub-request refused; doubles per round.
const REFUSED_PAUSE_MS: u64 = 15;
const REFUSED_PAUSE_MAX_MS: u64 = 240;
/// Delay after which a request that waits for a permit of the best target uses it, or another one.
const PERMIT_PAUSE_MS: u64 = 4;
/// Retry delay while all targets have a limit and there is no permit.
const ALL_LIMITED_PAUSE_MS: u64 = 15;
/// Retry delay of a sub-request while the budget of extra attempts is exhausted.
const BUDGET_PAUSE_MS: u64 = 25;
/// Maximum number of attempts of one sub-request that may reach a target.
const REACHED_ATTEMPTS_MAX: u32 = 6;
/// Targets that may end under one sub-request before it is given up.
const CRASHES_MAX: u32 = 2;
/// Maximum number of attempts of one sub-request in flight.
const OPEN_ATTEMPTS_MAX: usize = 3;

/// The state machine of one relayed request. Returns no actions after [`RelayAction::Finish`].
#[derive(Debug)]
pub struct RelayRun {
    params: RelayParams,
    sub_requests: Vec<SubRequest>,
    started_at: MonoTime,
    next_attempt: u32,
    answered: usize,
    finished: bool,
    /// Whether this is a handover that has returned its outcome. Its origin sends what fails now: if
    /// the rest is lost, it must know all targets on which the request may have run.
    is_resumed: bool,
    wake_at: Option<MonoTime>,
    trial: RequestTrial,
    /// The rank among the requests that wait for permits.
    rank: RequestRank,
    /// Numbers of the hedges, and how many of them answered first.
    hedge_attempts: Vec<u32>,
    hedge_wins: u32,
    /// Time after which a broker wants the caller of a refused request to retry.
    broker_retry_after: Duration,
    /// Whether any VM has taken a group.
    was_taken: bool,
}

impl RelayRun {
    /// Starts a request and sends the first attempt of each sub-request that is not handed over.
    ///
    /// If the returned actions finish the request, its groups must not be handed over.
    pub fn start(
        params: RelayParams,
        selector: &mut TargetSelector,
        now: MonoTime,
    ) -> (Self, Vec<RelayAction>) {
        let sub_requests = params
            .services
            .iter()
            .cloned()
            .map(SubRequest::new)
            .collect();
        let rank = RequestRank {
            priority: params.priority,
            deadline: params.deadline,
            ticket: selector.next_ticket(),
        };
        let mut run = Self {
            sub_requests,
            rank,
            started_at: now,
            next_attempt: 0,
            answered: 0,
            finished: false,
            is_resumed: false,
            wake_at: None,
            trial: RequestTrial::default(),
            hedge_attempts: Vec::new(),
            hedge_wins: 0,
            broker_retry_after: Duration::ZERO,
            was_taken: false,
            params,
        };
        for sub_request in &run.params.lent_extra {
            run.sub_requests[*sub_request].has_lent_extra = true;
        }
        if let RequestOrigin::OtherVm { repeats } = &run.params.origin {
            for repeated in repeats {
                run.sub_requests[repeated.sub_request].take_over(repeated);
            }
        }
        let mut actions = Vec::with_capacity(run.sub_requests.len() + 1);
        // No group has been handed over yet, so nothing may have run.
        if run.too_few_unblocked(selector, now) {
            run.refuse(RefusalReason::Quarantined, selector, now, &mut actions);
            return (run, actions);
        }
        if run.too_few_targets(selector, now) {
            run.refuse(RefusalReason::NoTargets, selector, now, &mut actions);
            return (run, actions);
        }
        if run.starts_elsewhere(selector) {
            run.hand_over_idle(selector, now, &mut actions);
            run.finish_or_wake(selector, now, &mut actions);
            return (run, actions);
        }
        if run.too_few_open(selector, now) {
            let reason = run.closed_reason(selector, now);
            run.refuse(reason, selector, now, &mut actions);
            return (run, actions);
        }
        for (index, group) in run.params.handover_groups.iter().enumerate() {
            for sub_request in &group.sub_requests {
                run.sub_requests[*sub_request].state = SubRequestState::HandedOver(index);
            }
        }
        for sub_request in 0..run.sub_requests.len() {
            if !run.sub_requests[sub_request].is_open() {
                continue;
            }
            if run.sub_requests[sub_request].reached_attempts > 0 {
                let kind = AttemptKind::Retry(RetryReason::Failed);
                run.try_send(sub_request, kind, selector, now, &mut actions);
            } else {
                run.send_first(sub_request, selector, now, &mut actions);
            }
        }
        run.finish_or_wake(selector, now, &mut actions);
        (run, actions)
    }

    /// Handles the end of an attempt; late and duplicate reports change nothing.
    pub fn on_attempt_end(
        &mut self,
        sub_request: usize,
        attempt: u32,
        outcome: RelayAttemptOutcome,
        selector: &mut TargetSelector,
        now: MonoTime,
    ) -> Vec<RelayAction> {
        let mut actions = Vec::new();
        let Some(open) = self.sub_requests[sub_request].close_attempt(attempt) else {
            return actions;
        };
        let evidence = outcome.link_evidence();
        selector.record_link_evidence(&open.target, open.sent_at, evidence, now);
        let is_during_loss =
            evidence != LinkEvidence::Reply && selector.links().overlaps_loss(open.sent_at, now);
        let (signal, run_end) = if is_during_loss {
            (AttemptSignal::Neutral, RunEnd::NotSent)
        } else {
            (outcome.signal(now.since(open.sent_at)), outcome.run_end())
        };
        selector.attempt_ended(&open.target, open.sent_at, signal, now);
        let run = (self.params.fingerprint, open.sent_at);
        selector.run_ended(&open.target, run, run_end, now);
        match open.charge {
            AttemptCharge::Extra if outcome.is_not_sent() => {
                selector.refund_extra(&open.target.service, open.sent_at);
            }
            AttemptCharge::Lent if outcome.is_not_sent() => {
                self.sub_requests[sub_request].has_lent_extra = true;
            }
            _ => {}
        }
        if outcome.is_not_sent() {
            selector.refund_permits(&open.target, open.permits);
        }
        if self.finished || !self.sub_requests[sub_request].is_open() {
            return actions;
        }
        self.apply_attempt_end(sub_request, &open, outcome, selector, now, &mut actions);
        self.resume_parked(selector, now, &mut actions);
        self.finish_or_wake(selector, now, &mut actions);
        actions
    }

    /// Handles a wake-up that was requested by [`RelayAction::Wake`].
    pub fn on_wake(&mut self, selector: &mut TargetSelector, now: MonoTime) -> Vec<RelayAction> {
        let mut actions = Vec::new();
        if self.finished {
            return actions;
        }
        self.wake_at = None;
        // The answer is returned now, so further attempts would be useless.
        if self.can_answer(now) {
            self.finish_or_wake(selector, now, &mut actions);
            return actions;
        }
        if selector.links().are_unusable() && !self.is_for_other_vm() {
            self.hand_over_idle(selector, now, &mut actions);
        }
        for sub_request in 0..self.sub_requests.len() {
            let is_due = self.sub_requests[sub_request]
                .next_attempt_at
                .is_some_and(|at| at <= now);
            if is_due && self.sub_requests[sub_request].is_open() {
                self.sub_requests[sub_request].next_attempt_at = None;
                self.send_next_attempt(sub_request, selector, now, &mut actions);
            }
        }
        self.finish_or_wake(selector, now, &mut actions);
        actions
    }

    /// Abandons the attempts in flight because the caller disconnected or was answered.
    ///
    /// Returns the send times of these attempts, without those that lost links have held up.
    pub fn abandon(&mut self, selector: &mut TargetSelector, now: MonoTime) -> Vec<MonoTime> {
        self.finished = true;
        let fingerprint = self.params.fingerprint;
        let open = self
            .sub_requests
            .iter_mut()
            .flat_map(|sub_request| sub_request.open_attempts.drain(..));
        let abandoned = open.filter_map(|open| {
            let sent_at = open.sent_at;
            selector.record_link_evidence(&open.target, sent_at, LinkEvidence::GivenUp, now);
            let is_during_loss = selector.links().overlaps_loss(sent_at, now);
            let (signal, run_end) = if is_during_loss {
                (AttemptSignal::Neutral, RunEnd::NotSent)
            } else {
                (AttemptSignal::Abandoned, RunEnd::GivenUp)
            };
            selector.attempt_ended(&open.target, sent_at, signal, now);
            selector.run_ended(&open.target, (fingerprint, sent_at), run_end, now);
            (!is_during_loss).then_some(sent_at)
        });
        abandoned.collect()
    }

    /// Returns the number of hedges sent, and how many of them answered first.
    #[must_use]
    pub fn hedges(&self) -> (u32, u32) {
        let sent = u32::try_from(self.hedge_attempts.len()).unwrap_or(u32::MAX);
        (sent, self.hedge_wins)
    }

    /// Whether the request has its outcome.
    #[must_use]
    pub const fn is_finished(&self) -> bool {
        self.finished
    }

    /// Returns the number of attempts sent.
    #[must_use]
    pub const fn attempts(&self) -> u32 {
        self.next_attempt
    }

    /// Returns the number of sub-requests without an answer.
    #[must_use]
    pub fn missing(&self) -> usize {
        self.sub_requests.len() - self.answered
    }

    /// Returns the names of the services without an answer, for logs.
    pub fn missing_services(&self) -> impl Iterator<Item = &Arc<str>> {
        let missing = |sub_request: &&SubRequest| !sub_request.is_answered();
        self.sub_requests
            .iter()
            .filter(missing)
            .map(|sub_request| &sub_request.service)
    }

    /// Returns whether any attempt may have run, or may still run.
    #[must_use]
    pub fn verdict(&self) -> RunVerdict {
        if self.sub_requests.iter().any(SubRequest::may_have_run) {
            RunVerdict::MayHaveRun
        } else {
            RunVerdict::NotRun
        }
    }

    fn apply_attempt_end(
        &mut self,
        sub_request: usize,
        ended: &OpenAttempt,
        outcome: RelayAttemptOutcome,
        selector: &mut TargetSelector,
        now: MonoTime,
        actions: &mut Vec<RelayAction>,
    ) {
        let (attempt, target) = (ended.number, &ended.target);
        let progress = &mut self.sub_requests[sub_request];
        match outcome {
            RelayAttemptOutcome::Answered { .. } => {
                self.trial.record_answer();
                progress.state = SubRequestState::Answered(attempt);
                progress.next_attempt_at = None;
                self.answered += 1;
                if self.hedge_attempts.contains(&attempt) {
                    self.hedge_wins += 1;
                }
                return;
            }
            RelayAttemptOutcome::Refused | RelayAttemptOutcome::Moved => {
                progress.record_not_run(target);
            }
            RelayAttemptOutcome::Unreachable
            | RelayAttemptOutcome::NoConnection
            | RelayAttemptOutcome::Withheld => {
                progress.record_not_sent(target);
            }
            RelayAttemptOutcome::OverLimit => {
                progress.record_not_sent(target);
                progress.over_limit = true;
            }
            RelayAttemptOutcome::FailureReply => {
                progress.record_may_have_run(target);
                progress.failures += 1;
                progress.failure_reply = Some(AnswerSource::Attempt(attempt));
            }
            RelayAttemptOutcome::Rejected | RelayAttemptOutcome::Broken => {
                progress.record_may_have_run(target);
                progress.failures += 1;
            }
            RelayAttemptOutcome::Crashed => {
                progress.record_may_have_run(target);
                progress.failures += 1;
                progress.crashes += 1;
                self.record_crash(ended.is_trial);
            }
        }
        if self.sub_requests[sub_request].open_attempts.is_empty() {
            self.sub_requests[sub_request].next_attempt_at = None;
            self.send_next_attempt(sub_request, selector, now, actions);
        }
    }

    /// Sends the next attempt of a sub-request if the request may run again and the budget allows.
    fn send_next_attempt(
        &mut self,
        sub_request: usize,
        selector: &mut TargetSelector,
        now: MonoTime,
        actions: &mut Vec<RelayAction>,
    ) {
        let progress = &mut self.sub_requests[sub_request];
        let is_hedge = !progress.open_attempts.is_empty();
        let may_run_again = self.params.idempotent || !progress.may_have_run();
        let is_over = self.is_resumed
            || progress.reached_attempts >= REACHED_ATTEMPTS_MAX
            || progress.crashes >= CRASHES_MAX
            || self.trial.ends_targets();
        if !may_run_again || is_over {
            if progress.open_attempts.is_empty() {
                progress.state = SubRequestState::Failed;
            }
            return;
        }
        if is_hedge && progress.open_attempts.len() >= OPEN_ATTEMPTS_MAX {
            return;
        }
        let kind = match (is_hedge, progress.reached_attempts) {
            (true, _) => AttemptKind::Hedge,
            (false, 0) => AttemptKind::First,
            (false, _) if progress.failures > 0 => AttemptKind::Retry(RetryReason::Failed),
            (false, _) => AttemptKind::Retry(RetryReason::Refused),
        };
        self.try_send(sub_request, kind, selector, now, actions);
    }

    fn send_first(
        &mut self,
        sub_request: usize,
        selector: &mut TargetSelector,
        now: MonoTime,
        actions: &mut Vec<RelayAction>,
    ) {
        selector.count_first_attempt(&self.sub_requests[sub_request].service, now);
        self.try_send(sub_request, AttemptKind::First, selector, now, actions);
    }

    fn try_send(
        &mut self,
        sub_request: usize,
        kind: AttemptKind,
        selector: &mut TargetSelector,
        now: MonoTime,
        actions: &mut Vec<RelayAction>,
    ) {
        if selector.links().are_unusable() {
            return self.send_elsewhere(sub_request, now);
        }
        let is_hedge = kind == AttemptKind::Hedge;
        if !self.may_try(sub_request, is_hedge, selector, now) {
            return;
        }
        let targets_max = self.params.targets_max.max(1) as usize;
        let optional = kind == AttemptKind::First && self.tolerates_another_failure();
        let soft = self.params.soft_deadline.since(now);
        let progress = &self.sub_requests[sub_request];
        let criteria = PickCriteria {
            service: &progress.service,
            tried: &progress.tried,
            ran: &progress.ran,
            targets_max,
            skip_overloaded: is_hedge,
            choice: self.target_choice(progress, selector, now),
            rank: self.rank,
            is_new: progress.awaits_permit_since.is_none(),
            time_limit: optional.then_some(soft),
        };
        match selector.pick(&criteria, now) {
            TargetPick::Target {
                target,
                is_repeat,
                idle_timeout,
            } => {
                let progress = &mut self.sub_requests[sub_request];
                let Some(charge) = acquire_charge(progress, selector, now) else {
                    if let Some(group) = progress.awaited_group
                        && progress.open_attempts.is_empty()
                    {
                        progress.state = SubRequestState::HandedOver(group);
                    } else if self.fails_without_budget(sub_request, now) {
                        self.sub_requests[sub_request].state = SubRequestState::Failed;
                    } else {
                        self.pause(sub_request, BUDGET_PAUSE_MS, now);
                    }
                    return;
                };
                let send = RelayAttempt {
                    attempt: self.next_attempt,
                    sub_request,
                    target,
                    new_connection: is_repeat,
                    idle_timeout,
                    kind,
                    charge,
                    permits: AttemptPermits::default(),
                };
                self.send(send, selector, now, actions);
            }
            TargetPick::TooSlow => self.sub_requests[sub_request].state = SubRequestState::Failed,
            TargetPick::AllBusy => self.pause(sub_request, BUSY_PAUSE_MS, now),
            TargetPick::AllClosed(reopens_at) => {
                if is_hedge || reopens_at <= self.reopening_awaited_until(sub_request) {
                    self.sub_requests[sub_request].next_attempt_at = Some(reopens_at);
                } else {
                    self.sub_requests[sub_request].state = SubRequestState::Failed;
                }
            }
            TargetPick::AwaitPermit(target) => {
                let retry_at = now + Duration::from_millis(PERMIT_PAUSE_MS);
                let times = WaitTimes {
                    retry_at,
                    usable_until: retry_at,
                };
                self.wait_for_permit(sub_request, &target, times, selector, now);
            }
            TargetPick::AllLimited {
                target,
                expected_at,
            } => {
                let awaited_until = self.reopening_awaited_until(sub_request);
                if is_hedge || expected_at <= awaited_until {
                    let times = WaitTimes {
                        retry_at: now + Duration::from_millis(ALL_LIMITED_PAUSE_MS),
                        usable_until: awaited_until,
                    };
                    self.wait_for_permit(sub_request, &target, times, selector, now);
                } else {
                    selector.stop_waiting(self.rank.ticket);
                    self.sub_requests[sub_request].state = SubRequestState::Failed;
                }
            }
            TargetPick::AllTried => self.begin_next_round(sub_request, is_hedge, now),
            TargetPick::NoTarget => {
                if self.sub_requests[sub_request].open_attempts.is_empty() {
                    self.sub_requests[sub_request].state = SubRequestState::Failed;
                }
            }
        }
    }

    /// Returns which targets another VM that runs a sub-request leaves to this one.
    fn target_choice(
        &self,
        sub_request: &SubRequest,
        selector: &TargetSelector,
        now: MonoTime,
    ) -> TargetChoice {
        let fallback = |centre: &Arc<str>| {
            let service = &sub_request.service;
            selector.fallback_target(service, centre, now)
        };
        if let Some(centre) = &sub_request.pinned_centre {
            return TargetChoice::Only(fallback(centre));
        }
        let reserved = self.params.reserved_centre.as_ref().and_then(fallback);
        reserved.map_or(TargetChoice::Any, TargetChoice::Reserving)
    }

    /// Lets all targets be tried again after a delay that grows with each round.
    fn begin_next_round(&mut self, sub_request: usize, is_hedge: bool, now: MonoTime) {
        let progress = &mut self.sub_requests[sub_request];
        progress.tried.clear();
        let rounds = progress.exhausted_rounds;
        progress.exhausted_rounds += 1;
        let pause_ms = (REFUSED_PAUSE_MS << rounds.min(6)).min(REFUSED_PAUSE_MAX_MS);
        let mut pause = Duration::from_millis(pause_ms);
        // Once all targets were tried, the hedge is sent to one of them again later.
        if is_hedge {
            pause = pause.max(self.params.hedge_delay);
        }
        progress.next_attempt_at = Some(now + pause);
    }

    fn wait_for_permit(
        &mut self,
        sub_request: usize,
        target: &RelayTarget,
        times: WaitTimes,
        selector: &mut TargetSelector,
        now: MonoTime,
    ) {
        selector.wait_for_permit(target, self.rank, times, now);
        self.sub_requests[sub_request]
            .awaits_permit_since
            .get_or_insert(now);
        self.sub_requests[sub_request].next_attempt_at = Some(times.retry_at);
    }

    fn pause(&mut self, sub_request: usize, pause_ms: u64, now: MonoTime) {
        self.sub_requests[sub_request].next_attempt_at =
            Some(now + Duration::from_millis(pause_ms));
    }

    fn send(
        &mut self,
        mut send: RelayAttempt,
        selector: &mut TargetSelector,
        now: MonoTime,
        actions: &mut Vec<RelayAction>,
    ) {
        self.next_attempt += 1;
        send.permits = selector.take_permits(&send.target, self.rank, now);
        selector.attempt_sent(&send.target, now);
        selector.run_started(&send.target, self.params.fingerprint, now);
        selector.count_limited_attempt(&send.target, send.charge);
        if send.kind == AttemptKind::Hedge {
            self.hedge_attempts.push(send.attempt);
        }
        let progress = &mut self.sub_requests[send.sub_request];
        progress.record_sent(&send, self.trial.is_on(), now);
        progress.awaits_permit_since = None;
        if self.params.idempotent {
            let open_count = u32::try_from(progress.open_attempts.len()).unwrap_or(1);
            progress.next_attempt_at = Some(now + self.params.hedge_delay * open_count);
        }
        actions.push(RelayAction::Send(send));
    }
}

/// Charges the next attempt of a sub-request, or returns `None` if no budget allows it.
fn acquire_charge(
    sub_request: &mut SubRequest,
    selector: &mut TargetSelector,
    now: MonoTime,
) -> Option<AttemptCharge> {
    let charge = sub_request.next_charge();
    if charge != AttemptCharge::Extra {
        selector.count_uncharged(&sub_request.service, charge, now);
        return Some(charge);
    }
    // The loan goes first, as its owner can hardly use it in time.
    if std::mem::take(&mut sub_request.has_lent_extra) {
        return Some(AttemptCharge::Lent);
    }
    let is_acquired = selector.try_acquire_extra(&sub_request.service, now);
    is_acquired.then_some(AttemptCharge::Extra)
}
