//! The state machine of one relayed request.
//!
//! Load patterns: a replica pauses while others are idle, so a hedge is sent after the usual
//! latency of the route; no replica of a shard accepts work, so the request is answered without the
//! shard or refused at once; targets refuse, so another one is tried at once and, after all have
//! refused, the request is retried with a growing delay.

use std::{sync::Arc, time::Duration};

use fulmarweir_base::{MonoTime, RunVerdict};

use super::{
    attempt_budget::AttemptCharge,
    selector::{PickCriteria, RelayTarget, TargetPick, TargetSelector},
    shard_group::ShardGroup,
    sub_request::{SubRequest, SubRequestState},
    target_tracker::AttemptSignal,
};
use crate::{AttemptKind, RefusalReason, ReportedLoad, RetryReason};

/// Retry delay while all connections of this VM to the targets of a sub-request are in use.
const BUSY_PAUSE_MS: u64 = 4;
/// First and longest retry delay after every target of a sub-request refused; doubles per round.
const REFUSED_PAUSE_MS: u64 = 15;
const REFUSED_PAUSE_MAX_MS: u64 = 240;
/// Retry delay of a sub-request while the budget of extra attempts is exhausted.
const BUDGET_PAUSE_MS: u64 = 25;
/// Maximum number of attempts of one sub-request that may reach a target.
const REACHED_ATTEMPTS_MAX: u32 = 6;
/// Maximum number of attempts of one sub-request in flight.
const OPEN_ATTEMPTS_MAX: usize = 3;
/// A request that no target has accepted is refused after the time to its soft deadline divided by
/// the first divisor, or its total time divided by the second one, whichever is later.
const ACCEPT_SOFT_DIVISOR: u32 = 4;
const ACCEPT_TOTAL_DIVISOR: u32 = 8;
/// Minimum time after which a refused caller is told to retry.
const RETRY_AFTER_MIN_MS: u64 = 50;
/// Refused callers are told to retry up to this part later than necessary, each by a random share.
const RETRY_SPREAD_DIVISOR: u32 = 4;

/// Parameters of one relayed request.
#[derive(Clone, Debug)]
pub struct RelayParams {
    /// Services that must answer, one sub-request each.
    pub services: Vec<Arc<str>>,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Maximum number of targets per service on which the request may run.
    pub targets_max: u32,
    /// Minimum share of the services that must answer.
    pub coverage_min: f64,
    /// Whether another VM handed over the request and assembles the answer. All available answers
    /// are then returned at the soft deadline, and no service is left out earlier.
    pub is_handover: bool,
    /// When an answer with sufficient coverage is returned, even if it is incomplete.
    pub soft_deadline: MonoTime,
    /// When the request is given up.
    pub deadline: MonoTime,
    /// How long to wait for an attempt before a hedge is sent.
    pub hedge_delay: Duration,
    /// Groups of services that are handed over to brokers. Their outcomes must be reported to
    /// [`RelayRun::on_group_end`].
    pub handover_groups: Vec<ShardGroup>,
    /// Services for each of which the VM that handed over the request pays for one extra attempt,
    /// by their index in `services`.
    pub lent_extra: Vec<usize>,
    /// A random number from 0 to 1, by which refused callers return at different times.
    pub retry_spread: f64,
}

/// The outcome of a handover of a group of services, by their index in [`RelayParams::services`].
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct GroupOutcome {
    /// Whether the broker accepted the group, so that it counted the first attempts.
    pub accepted: bool,
    /// Services with an answer.
    pub answered: Vec<usize>,
    /// Services without an answer that may have run.
    pub unclear: Vec<UnclearSubRequest>,
    /// Services without an answer that did not run, since the targets refused all attempts.
    pub refused: Vec<usize>,
    /// Services without an answer for which the broker still has attempts in flight, which are also
    /// in `unclear`. Another outcome of the group follows.
    pub pending: Vec<usize>,
    /// Services for which the broker did not use the lent extra attempt.
    pub unused_loans: Vec<usize>,
}

/// A sub-request without an answer that may have run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UnclearSubRequest {
    /// Index of the service in [`RelayParams::services`].
    pub sub_request: usize,
    /// Targets on which the sub-request may have run; empty if they are unknown.
    pub ran: Vec<Arc<str>>,
}

/// The source of the answer of one service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerSource {
    /// The attempt with this number.
    Attempt(u32),
    /// The broker of the group with this index in [`RelayParams::handover_groups`].
    Group(usize),
}

/// One attempt to send.
#[derive(Clone, Debug)]
pub struct RelayAttempt {
    /// Number of the attempt within the request.
    pub attempt: u32,
    /// Index of the service in [`RelayParams::services`].
    pub sub_request: usize,
    /// Target to which the attempt is sent.
    pub target: Arc<RelayTarget>,
    /// Whether to use a new connection, since an earlier attempt at the target got no answer.
    pub new_connection: bool,
    /// How long the connection may stay idle afterwards.
    pub idle_timeout: Duration,
    /// Whether this is the first attempt, a hedge or a retry of the sub-request.
    pub kind: AttemptKind,
    /// How the attempt is charged to the budget of extra attempts.
    pub charge: AttemptCharge,
}

/// How an attempt of a relayed request ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RelayAttemptOutcome {
    /// The target returned a usable answer.
    Answered {
        /// Load that the target reported with the answer.
        load: Option<ReportedLoad>,
    },
    /// The target reported that the request did not run.
    Refused,
    /// Another target now listens at the address; the request did not run.
    Moved,
    /// The request was not sent, since no connection could be established.
    Unreachable,
    /// The request was not sent, since no connection was free.
    NoConnection,
    /// The request was not sent, since the target closed the new connection, as one over its
    /// connection limit does.
    OverLimit,
    /// The request was not sent, since the target asked for time or left while the attempt waited
    /// for a connection.
    Withheld,
    /// The target reset a new connection soon after the request was sent; it may have run.
    Rejected,
    /// The target replied with a failure.
    FailureReply,
    /// The connection broke or the answer was unusable; the request may have run.
    Broken,
}

/// Why a request was refused or given up.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RelayRefusal {
    /// Reason of the refusal.
    pub reason: RefusalReason,
    /// Whether the request may have run.
    pub verdict: RunVerdict,
    /// Time after which the caller may retry.
    pub retry_after: Option<Duration>,
}

/// How a relayed request ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RelayOutcome {
    /// The source of the answer of each sub-request, `None` for those left out.
    Answered(Vec<Option<AnswerSource>>),
    /// The failure reply to the attempt with this number is forwarded to the caller.
    TargetFailure(u32),
    /// The request is refused without an answer.
    Refused(RelayRefusal),
}

/// An action that the owner of a [`RelayRun`] must perform.
#[derive(Debug)]
pub enum RelayAction {
    /// Send an attempt, and report its end to [`RelayRun::on_attempt_end`].
    Send(RelayAttempt),
    /// Call [`RelayRun::on_wake`] at this time; replaces the previously requested time.
    Wake(MonoTime),
    /// Answer the caller. This is the last action of a request.
    Finish(RelayOutcome),
}

/// The state machine of one relayed request. Returns no actions after [`RelayAction::Finish`].
#[derive(Debug)]
pub struct RelayRun {
    params: RelayParams,
    sub_requests: Vec<SubRequest>,
    started_at: MonoTime,
    next_attempt: u32,
    answered: usize,
    finished: bool,
    wake_at: Option<MonoTime>,
    /// Numbers of the hedges, and how many of them answered first.
    hedge_attempts: Vec<u32>,
    hedge_wins: u32,
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
        let mut run = Self {
            sub_requests,
            started_at: now,
            next_attempt: 0,
            answered: 0,
            finished: false,
            wake_at: None,
            hedge_attempts: Vec::new(),
            hedge_wins: 0,
            params,
        };
        for sub_request in &run.params.lent_extra {
            run.sub_requests[*sub_request].has_lent_extra = true;
        }
        let mut actions = Vec::with_capacity(run.sub_requests.len() + 1);
        // No group has been handed over yet, so nothing may have run.
        if run.too_few_targets(selector, now) {
            run.refuse(RefusalReason::NoTargets, selector, now, &mut actions);
            return (run, actions);
        }
        if run.too_few_open(selector, now) {
            run.refuse(RefusalReason::TargetsClosed, selector, now, &mut actions);
            return (run, actions);
        }
        for (index, group) in run.params.handover_groups.iter().enumerate() {
            for sub_request in &group.sub_requests {
                run.sub_requests[*sub_request].state = SubRequestState::HandedOver(index);
            }
        }
        for sub_request in 0..run.sub_requests.len() {
            if run.sub_requests[sub_request].is_open() {
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
        let latency = now.since(open.sent_at);
        let signal = attempt_signal(outcome, latency);
        selector.attempt_ended(&open.target, open.sent_at, signal, now);
        match open.charge {
            AttemptCharge::Extra if is_not_sent(outcome) => {
                selector.refund_extra(&open.target.service, open.sent_at);
            }
            AttemptCharge::Lent if is_not_sent(outcome) => {
                self.sub_requests[sub_request].has_lent_extra = true;
            }
            _ => {}
        }
        if self.finished || !self.sub_requests[sub_request].is_open() {
            return actions;
        }
        self.apply_attempt_end(
            sub_request,
            attempt,
            outcome,
            &open.target,
            selector,
            now,
            &mut actions,
        );
        self.finish_or_wake(selector, now, &mut actions);
        actions
    }

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
            let unclear = outcome.unclear.iter().find(|u| u.sub_request == index);
            if sub_request.state != SubRequestState::HandedOver(group) {
                let ran = unclear.map_or(&[][..], |unclear| &unclear.ran);
                sub_request.record_broker_attempts(ran);
                continue;
            }
            sub_request.state = SubRequestState::Open;
            sub_request.counted_by_broker = outcome.accepted;
            if let Some(unclear) = unclear {
                sub_request
                    .reopen_unclear(&unclear.ran, &self.params.handover_groups[group].centre);
            } else if outcome.refused.contains(&index) {
                sub_request.reopen_refused();
            }
            unanswered.push(index);
        }
        if !self.can_answer(now) {
            for sub_request in unanswered {
                self.send_returned(sub_request, selector, now, &mut actions);
            }
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
        selector: &TargetSelector,
        now: MonoTime,
    ) -> Vec<RelayAction> {
        self.params.soft_deadline = soft_deadline.min(deadline);
        self.params.deadline = deadline;
        self.finished = false;
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
        if self.finished {
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
    /// Returns the send times of these attempts.
    pub fn abandon(&mut self, selector: &mut TargetSelector, now: MonoTime) -> Vec<MonoTime> {
        self.finished = true;
        let open = self
            .sub_requests
            .iter_mut()
            .flat_map(|sub_request| sub_request.open_attempts.drain(..));
        let abandoned = open.map(|open| {
            selector.attempt_ended(&open.target, open.sent_at, AttemptSignal::Abandoned, now);
            open.sent_at
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

    #[expect(clippy::too_many_arguments, reason = "one event with its context")]
    fn apply_attempt_end(
        &mut self,
        sub_request: usize,
        attempt: u32,
        outcome: RelayAttemptOutcome,
        target: &Arc<RelayTarget>,
        selector: &mut TargetSelector,
        now: MonoTime,
        actions: &mut Vec<RelayAction>,
    ) {
        let progress = &mut self.sub_requests[sub_request];
        match outcome {
            RelayAttemptOutcome::Answered { .. } => {
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
                progress.failure_reply = Some(attempt);
            }
            RelayAttemptOutcome::Rejected | RelayAttemptOutcome::Broken => {
                progress.record_may_have_run(target);
                progress.failures += 1;
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
        if !may_run_again || progress.reached_attempts >= REACHED_ATTEMPTS_MAX {
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

    /// Sends a sub-request that a broker left unanswered.
    fn send_returned(
        &mut self,
        sub_request: usize,
        selector: &mut TargetSelector,
        now: MonoTime,
        actions: &mut Vec<RelayAction>,
    ) {
        let progress = &self.sub_requests[sub_request];
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

    fn try_send(
        &mut self,
        sub_request: usize,
        kind: AttemptKind,
        selector: &mut TargetSelector,
        now: MonoTime,
        actions: &mut Vec<RelayAction>,
    ) {
        let is_hedge = kind == AttemptKind::Hedge;
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
            only_centre: progress.pinned_centre.as_ref(),
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
                };
                self.send(send, selector, now, actions);
            }
            TargetPick::TooSlow => self.sub_requests[sub_request].state = SubRequestState::Failed,
            TargetPick::AllBusy => self.pause(sub_request, BUSY_PAUSE_MS, now),
            TargetPick::AllClosed(reopens_at) => {
                let is_waiting =
                    is_hedge || reopens_at <= self.reopening_awaited_until(sub_request);
                let progress = &mut self.sub_requests[sub_request];
                if is_waiting {
                    progress.next_attempt_at = Some(reopens_at);
                } else {
                    progress.state = SubRequestState::Failed;
                }
            }
            TargetPick::AllTried => {
                let progress = &mut self.sub_requests[sub_request];
                progress.tried.clear();
                // Once all targets were tried, the hedge is sent to one of them again later.
                let rounds = progress.exhausted_rounds;
                progress.exhausted_rounds += 1;
                let pause_ms = (REFUSED_PAUSE_MS << rounds.min(6)).min(REFUSED_PAUSE_MAX_MS);
                let delay_ms =
                    u64::try_from(self.params.hedge_delay.as_millis()).unwrap_or(u64::MAX);
                let pause_ms = if is_hedge {
                    pause_ms.max(delay_ms)
                } else {
                    pause_ms
                };
                self.pause(sub_request, pause_ms, now);
            }
            TargetPick::NoTarget => {
                if self.sub_requests[sub_request].open_attempts.is_empty() {
                    self.sub_requests[sub_request].state = SubRequestState::Failed;
                }
            }
        }
    }

    fn pause(&mut self, sub_request: usize, pause_ms: u64, now: MonoTime) {
        self.sub_requests[sub_request].next_attempt_at =
            Some(now + Duration::from_millis(pause_ms));
    }

    fn send(
        &mut self,
        send: RelayAttempt,
        selector: &mut TargetSelector,
        now: MonoTime,
        actions: &mut Vec<RelayAction>,
    ) {
        self.next_attempt += 1;
        selector.attempt_sent(&send.target, now);
        if send.kind == AttemptKind::Hedge {
            self.hedge_attempts.push(send.attempt);
        }
        let progress = &mut self.sub_requests[send.sub_request];
        progress.record_sent(&send, now);
        if self.params.idempotent {
            let open_count = u32::try_from(progress.open_attempts.len()).unwrap_or(1);
            progress.next_attempt_at = Some(now + self.params.hedge_delay * open_count);
        }
        actions.push(RelayAction::Send(send));
    }

    /// Whether a sub-request for which the budget allows no attempt fails instead of waiting.
    ///
    /// Load pattern: many shards are slow at once and their budgets are empty. They recover only
    /// over seconds, while a caller that is refused at once can retry, which counts as a new
    /// request.
    fn fails_without_budget(&self, sub_request: usize, now: MonoTime) -> bool {
        let progress = &self.sub_requests[sub_request];
        let is_late = self.params.idempotent && now >= self.params.soft_deadline;
        progress.open_attempts.is_empty() && (is_late || progress.pinned_centre.is_some())
    }

    /// Whether too few services have a target for the request to be answered.
    fn too_few_targets(&self, selector: &TargetSelector, now: MonoTime) -> bool {
        let with_target = self
            .sub_requests
            .iter()
            .filter(|sub_request| selector.has_target(&sub_request.service, now));
        !self.has_coverage(with_target.count())
    }

    /// Whether too few services have a target that accepts requests soon enough.
    ///
    /// Load pattern: the targets of some shards are so full that they have asked for seconds of
    /// rest. A search that cannot do without these shards is refused before it costs the other
    /// targets anything, and its caller learns when to come back.
    fn too_few_open(&self, selector: &TargetSelector, now: MonoTime) -> bool {
        let is_open = |(index, sub_request): &(usize, &SubRequest)| {
            let closed_until = selector.closed_until(&sub_request.service, now);
            closed_until.is_none_or(|until| until <= self.reopening_awaited_until(*index))
                // Targets tell each VM separately, so a broker may still use them.
                || self.is_handed_over(*index)
        };
        let open = self.sub_requests.iter().enumerate().filter(is_open);
        !self.has_coverage(open.count())
    }

    /// Whether a sub-request belongs to a group that is handed over.
    fn is_handed_over(&self, sub_request: usize) -> bool {
        let mut groups = self.params.handover_groups.iter();
        groups.any(|group| group.sub_requests.contains(&sub_request))
    }

    /// Returns until when a sub-request waits for a target that has asked for time.
    fn reopening_awaited_until(&self, sub_request: usize) -> MonoTime {
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
    fn tolerates_another_failure(&self) -> bool {
        let not_failed = self
            .sub_requests
            .iter()
            .filter(|sub_request| sub_request.state != SubRequestState::Failed);
        !self.params.is_handover
            && self.sub_requests.len() > 1
            && self.has_coverage(not_failed.count().saturating_sub(1))
    }

    /// Whether this number of answers is sufficient for an answer to the caller.
    fn has_coverage(&self, answered: usize) -> bool {
        #[expect(
            clippy::cast_precision_loss,
            reason = "counts of sub-requests are small"
        )]
        let coverage = answered as f64 / self.sub_requests.len().max(1) as f64;
        answered > 0 && (self.params.is_handover || coverage >= self.params.coverage_min)
    }

    /// Finishes the request if it is decided or out of time, else requests the next wake-up.
    fn finish_or_wake(
        &mut self,
        selector: &TargetSelector,
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
        if self.accept_timed_out(now) {
            return self.refuse(RefusalReason::TargetsRefused, selector, now, actions);
        }
        let next = self.next_wake(now);
        if self.wake_at != Some(next) {
            self.wake_at = Some(next);
            actions.push(RelayAction::Wake(next));
        }
    }

    /// Whether all services have answered, or enough of them by the soft deadline.
    fn can_answer(&self, now: MonoTime) -> bool {
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
    fn accept_deadline(&self) -> MonoTime {
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
        selector: &TargetSelector,
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
        let reason = match self.verdict() {
            RunVerdict::NotRun if self.too_few_targets(selector, now) => RefusalReason::NoTargets,
            RunVerdict::NotRun if self.too_few_open(selector, now) => RefusalReason::TargetsClosed,
            RunVerdict::NotRun => RefusalReason::TargetsRefused,
            _ if self.sub_requests.len() > 1 => RefusalReason::LowCoverage,
            _ => RefusalReason::Undecided,
        };
        self.refuse(reason, selector, now, actions);
    }

    fn refuse(
        &mut self,
        reason: RefusalReason,
        selector: &TargetSelector,
        now: MonoTime,
        actions: &mut Vec<RelayAction>,
    ) {
        self.finished = true;
        let refusal = RelayRefusal {
            reason,
            verdict: self.verdict(),
            retry_after: Some(self.retry_after(selector, now)),
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
                sub_request.is_open() || selector.closed_until(service, now).is_some();
            let wait = has_estimate.then(|| selector.estimated_wait(service, now));
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
        let wait = wait.max(Duration::from_millis(RETRY_AFTER_MIN_MS));
        let spread = self.params.retry_spread.clamp(0.0, 1.0);
        wait + (wait / RETRY_SPREAD_DIVISOR).mul_f64(spread)
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

/// Whether an outcome proves that the attempt did not reach its target.
fn is_not_sent(outcome: RelayAttemptOutcome) -> bool {
    matches!(
        outcome,
        RelayAttemptOutcome::Unreachable
            | RelayAttemptOutcome::NoConnection
            | RelayAttemptOutcome::OverLimit
            | RelayAttemptOutcome::Withheld
    )
}

fn attempt_signal(outcome: RelayAttemptOutcome, latency: Duration) -> AttemptSignal {
    match outcome {
        RelayAttemptOutcome::Answered { load } => AttemptSignal::Answered { latency, load },
        RelayAttemptOutcome::Refused
        | RelayAttemptOutcome::OverLimit
        | RelayAttemptOutcome::Rejected => AttemptSignal::Refused,
        RelayAttemptOutcome::Moved => AttemptSignal::Moved,
        RelayAttemptOutcome::Unreachable => AttemptSignal::Unreachable,
        RelayAttemptOutcome::NoConnection | RelayAttemptOutcome::Withheld => AttemptSignal::Neutral,
        RelayAttemptOutcome::FailureReply | RelayAttemptOutcome::Broken => AttemptSignal::Failed,
    }
}
