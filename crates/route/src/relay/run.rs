//! The state machine of one relayed request.
//!
//! Load patterns: a replica that pauses while its siblings are idle (a second
//! attempt after the route's usual latency), a shard without a replica that
//! takes work (the answer goes out without it, or is refused at once), and
//! targets that refuse (another one at once, then a pause that grows).

use std::{sync::Arc, time::Duration};

use fulmarweir_base::{MonoTime, RunVerdict};

use super::{
    selector::{PickCriteria, RelayTarget, ShardGroup, TargetPick, TargetSelector},
    sub_request::{SubRequest, SubRequestState},
    target_tracker::AttemptSignal,
};
use crate::{AttemptKind, RefusalReason, ReportedLoad, RetryReason};

/// Pause of a lane whose targets are all taken up by this VM's own requests.
const ROOM_PAUSE_MS: u64 = 4;
/// First pause of a lane after every target refused; it doubles up to the longest one.
const REFUSED_PAUSE_MS: u64 = 15;
const REFUSED_PAUSE_MAX_MS: u64 = 240;
/// Pause of a lane that the budget of extra attempts keeps waiting.
const BUDGET_PAUSE_MS: u64 = 25;
/// Attempts for one lane that may reach a target at most.
const ARRIVALS_MAX: u32 = 6;
/// Attempts of one lane that may be open at once.
const OPEN_MAX: usize = 3;
/// A request that no target has taken is refused after this part of the time to its soft
/// deadline, or after the other part of all its time, whichever is later.
const UNTAKEN_SOFT_PART: u32 = 4;
const UNTAKEN_TIME_PART: u32 = 8;
/// Shortest pause that a refused caller is told.
const RETRY_AFTER_MIN_MS: u64 = 50;

/// What is asked for one request.
#[derive(Clone, Debug)]
pub struct RelayParams {
    /// Services that must answer, one lane each.
    pub services: Vec<Arc<str>>,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Targets of one service that it may run on at most.
    pub attempts_max: u32,
    /// Share of the services below which there is no answer.
    pub coverage_min: f64,
    /// Whether another VM puts the answer together: then all there is goes out at the soft
    /// deadline, and no service is left out before.
    pub is_handover: bool,
    /// When an answer with enough coverage goes out.
    pub soft_deadline: MonoTime,
    /// When the request is given up.
    pub deadline: MonoTime,
    /// How long an attempt is waited for before a second one is sent.
    pub hedge_delay: Duration,
    /// Services that brokers are asked to see to; report their ends by
    /// [`RelayRun::on_group_end`].
    pub handover_groups: Vec<ShardGroup>,
}

/// What a broker has done for a group of services, by their places in [`RelayParams::services`].
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct GroupOutcome {
    /// Those with an answer.
    pub answered: Vec<usize>,
    /// Those without one that may have run.
    pub unclear: Vec<UnclearSubRequest>,
}

/// A service without an answer that may have run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UnclearSubRequest {
    /// Its place in the list of services.
    pub sub_request: usize,
    /// The targets on which it may have run; empty if they are not known.
    pub ran: Vec<Arc<str>>,
}

/// Where the answer of one service is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerSource {
    /// With this attempt.
    Attempt(u32),
    /// Among those of this group, by its place in [`RelayParams::handover_groups`].
    Group(usize),
}

/// One attempt to send.
#[derive(Clone, Debug)]
pub struct RelayAttempt {
    /// Number within the run.
    pub attempt: u32,
    /// Index of the service in [`RelayParams::services`].
    pub sub_request: usize,
    /// Where to.
    pub target: Arc<RelayTarget>,
    /// Whether to use a new connection, since an earlier attempt there got no answer.
    pub new_connection: bool,
    /// How long the connection may be kept idle afterwards.
    pub idle_timeout: Duration,
    /// What it is to its lane.
    pub kind: AttemptKind,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RelayAttemptOutcome {
    /// A usable answer.
    Answered {
        /// Load that came with it.
        load: Option<ReportedLoad>,
    },
    /// The target's word that it did not run the request.
    Refused {
        /// When it may be asked again.
        retry_after: Option<Duration>,
    },
    /// Another target listens at the address; not run.
    Moved,
    /// The request never left this VM, since no connection could be made.
    Unreachable,
    /// The request never left this VM, since no connection was free.
    NoConnection,
    /// The target had too many connections, as far as can be told; it may have run.
    Rejected,
    /// The target answered with a failure of its own.
    FailureReply,
    /// The attempt broke off, or its answer was unusable; it may have run.
    Broken,
}

/// Why a request was refused or given up.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RelayRefusal {
    /// The reason.
    pub reason: RefusalReason,
    /// Whether it may have run.
    pub verdict: RunVerdict,
    /// When to come back.
    pub retry_after: Option<Duration>,
}

/// How a request ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RelayOutcome {
    /// Where the answer of each lane is, `None` for lanes left out.
    Answered(Vec<Option<AnswerSource>>),
    /// The failure that a target answered with is passed on.
    TargetFailure(u32),
    /// There is no answer.
    Refused(RelayRefusal),
}

/// What the carrying code has to do.
#[derive(Debug)]
pub enum RelayAction {
    /// Send an attempt; report its end by [`RelayRun::on_attempt_end`].
    Send(RelayAttempt),
    /// Call [`RelayRun::on_wake`] at this time; replaces an earlier wake-up.
    Wake(MonoTime),
    /// Answer the caller; the run's last action.
    Finish(RelayOutcome),
}

/// One relayed request. After `Finish` every call returns nothing.
#[derive(Debug)]
pub struct RelayRun {
    ask: RelayParams,
    sub_requests: Vec<SubRequest>,
    started_at: MonoTime,
    next_attempt: u32,
    answered: usize,
    finished: bool,
    wake_at: Option<MonoTime>,
    /// Second attempts by number, and how many of them answered first.
    hedge_numbers: Vec<u32>,
    hedge_wins: u32,
}

impl RelayRun {
    /// Starts a request: sends the first attempt of each lane that is not handed over.
    ///
    /// If the actions finish the request at once, no group may be handed over.
    pub fn start(
        ask: RelayParams,
        selector: &mut TargetSelector,
        now: MonoTime,
    ) -> (Self, Vec<RelayAction>) {
        let sub_requests = ask.services.iter().cloned().map(SubRequest::new).collect();
        let mut run = Self {
            sub_requests,
            started_at: now,
            next_attempt: 0,
            answered: 0,
            finished: false,
            wake_at: None,
            hedge_numbers: Vec::new(),
            hedge_wins: 0,
            ask,
        };
        let mut actions = Vec::with_capacity(run.sub_requests.len() + 1);
        if run.too_few_known(selector) {
            // Nothing has been handed over yet either.
            run.refuse(RefusalReason::NoTargets, selector, now, &mut actions);
            return (run, actions);
        }
        for (place, group) in run.ask.handover_groups.iter().enumerate() {
            for sub_request in &group.sub_requests {
                run.sub_requests[*sub_request].state = SubRequestState::HandedOver(place);
            }
        }
        for sub_request in 0..run.sub_requests.len() {
            if run.sub_requests[sub_request].is_open() {
                run.send_first(sub_request, selector, now, &mut actions);
            }
        }
        run.conclude(selector, now, &mut actions);
        (run, actions)
    }

    /// Takes in the end of an attempt; late and doubled reports change nothing.
    pub fn on_attempt_end(
        &mut self,
        sub_request: usize,
        attempt: u32,
        end: RelayAttemptOutcome,
        selector: &mut TargetSelector,
        now: MonoTime,
    ) -> Vec<RelayAction> {
        let mut actions = Vec::new();
        let Some(open) = self.sub_requests[sub_request].close(attempt) else {
            return actions;
        };
        let latency = now.since(open.sent_at);
        let signal = signal_of(end, latency);
        selector.attempt_ended(&open.target, open.sent_at, signal, now);
        if self.finished || !self.sub_requests[sub_request].is_open() {
            return actions;
        }
        self.take_end(
            sub_request,
            attempt,
            end,
            &open.target,
            selector,
            now,
            &mut actions,
        );
        self.conclude(selector, now, &mut actions);
        actions
    }

    /// Takes in what a broker has done for a group; a second report changes nothing.
    ///
    /// Services without an answer are asked from here, if the answer still needs them.
    pub fn on_group_end(
        &mut self,
        group: usize,
        end: &GroupOutcome,
        selector: &mut TargetSelector,
        now: MonoTime,
    ) -> Vec<RelayAction> {
        let mut actions = Vec::new();
        if self.finished {
            return actions;
        }
        let mut left = Vec::new();
        for (place, sub_request) in self.sub_requests.iter_mut().enumerate() {
            if sub_request.state != SubRequestState::HandedOver(group) {
                continue;
            }
            if end.answered.contains(&place) {
                sub_request.state = SubRequestState::AnsweredBy(group);
                self.answered += 1;
                continue;
            }
            sub_request.state = SubRequestState::Open;
            if let Some(unclear) = end.unclear.iter().find(|u| u.sub_request == place) {
                sub_request
                    .take_back_unclear(&unclear.ran, &self.ask.handover_groups[group].centre);
            }
            left.push(place);
        }
        if !self.can_answer(now) {
            for sub_request in left {
                if self.sub_requests[sub_request].may_have_run() {
                    let kind = AttemptKind::Retry(RetryReason::Failed);
                    self.try_send(sub_request, kind, selector, now, &mut actions);
                } else {
                    self.send_first(sub_request, selector, now, &mut actions);
                }
            }
        }
        self.conclude(selector, now, &mut actions);
        actions
    }

    /// Takes in a wake-up.
    pub fn on_wake(&mut self, selector: &mut TargetSelector, now: MonoTime) -> Vec<RelayAction> {
        let mut actions = Vec::new();
        if self.finished {
            return actions;
        }
        self.wake_at = None;
        // An attempt that starts when the answer goes out would be of no use.
        if self.can_answer(now) {
            self.conclude(selector, now, &mut actions);
            return actions;
        }
        for sub_request in 0..self.sub_requests.len() {
            let is_due = self.sub_requests[sub_request]
                .next_at
                .is_some_and(|at| at <= now);
            if is_due && self.sub_requests[sub_request].is_open() {
                self.sub_requests[sub_request].next_at = None;
                self.next_attempt_of(sub_request, selector, now, &mut actions);
            }
        }
        self.conclude(selector, now, &mut actions);
        actions
    }

    /// Gives up what is open because its caller has left or the answer is out.
    ///
    /// Returns when each attempt was sent that has not ended.
    pub fn abandon(&mut self, selector: &mut TargetSelector, now: MonoTime) -> Vec<MonoTime> {
        self.finished = true;
        let open = self
            .sub_requests
            .iter_mut()
            .flat_map(|sub_request| sub_request.open.drain(..));
        let given_up = open.map(|open| {
            selector.attempt_ended(&open.target, open.sent_at, AttemptSignal::Abandoned, now);
            open.sent_at
        });
        given_up.collect()
    }

    /// Second attempts sent, and how many of them answered first.
    #[must_use]
    pub fn hedges(&self) -> (u32, u32) {
        let sent = u32::try_from(self.hedge_numbers.len()).unwrap_or(u32::MAX);
        (sent, self.hedge_wins)
    }

    /// Attempts that were sent.
    #[must_use]
    pub const fn attempts(&self) -> u32 {
        self.next_attempt
    }

    /// Lanes without an answer.
    #[must_use]
    pub fn missing(&self) -> usize {
        self.sub_requests.len() - self.answered
    }

    /// The services without an answer that may have run.
    #[must_use]
    pub fn unclear_lanes(&self) -> Vec<UnclearSubRequest> {
        let sub_requests = self.sub_requests.iter().enumerate();
        let unclear = sub_requests
            .filter(|(_, sub_request)| !sub_request.is_answered() && sub_request.may_have_run());
        let unclear = unclear.map(|(place, sub_request)| UnclearSubRequest {
            sub_request: place,
            ran: sub_request.ran.clone(),
        });
        unclear.collect()
    }

    /// Names of the services without an answer, for logs.
    pub fn missing_services(&self) -> impl Iterator<Item = &Arc<str>> {
        let missing = |sub_request: &&SubRequest| !sub_request.is_answered();
        self.sub_requests
            .iter()
            .filter(missing)
            .map(|sub_request| &sub_request.service)
    }

    /// Whether any attempt may have run, or may still run.
    #[must_use]
    pub fn verdict(&self) -> RunVerdict {
        if self.sub_requests.iter().any(SubRequest::may_have_run) {
            RunVerdict::MayHaveRun
        } else {
            RunVerdict::NotRun
        }
    }

    #[expect(clippy::too_many_arguments, reason = "one step with its context")]
    fn take_end(
        &mut self,
        sub_request: usize,
        attempt: u32,
        end: RelayAttemptOutcome,
        target: &Arc<RelayTarget>,
        selector: &mut TargetSelector,
        now: MonoTime,
        actions: &mut Vec<RelayAction>,
    ) {
        let progress = &mut self.sub_requests[sub_request];
        match end {
            RelayAttemptOutcome::Answered { .. } => {
                progress.state = SubRequestState::Answered(attempt);
                progress.next_at = None;
                self.answered += 1;
                if self.hedge_numbers.contains(&attempt) {
                    self.hedge_wins += 1;
                }
                return;
            }
            RelayAttemptOutcome::Refused { .. } | RelayAttemptOutcome::Moved => {
                progress.did_not_run(target)
            }
            RelayAttemptOutcome::Unreachable | RelayAttemptOutcome::NoConnection => {
                progress.did_not_run(target);
                progress.arrivals = progress.arrivals.saturating_sub(1);
            }
            RelayAttemptOutcome::FailureReply => {
                progress.may_have_run_at(target);
                progress.failures += 1;
                progress.failure_reply = Some(attempt);
            }
            RelayAttemptOutcome::Rejected => {
                // Not counted among the targets that it may run on, but no proof either.
                progress.did_not_run(target);
                progress.rejected += 1;
            }
            RelayAttemptOutcome::Broken => {
                progress.may_have_run_at(target);
                progress.failures += 1;
            }
        }
        if self.sub_requests[sub_request].open.is_empty() {
            self.sub_requests[sub_request].next_at = None;
            self.next_attempt_of(sub_request, selector, now, actions);
        }
    }

    /// Sends the next attempt of a lane, if the request may run again and the budget allows.
    fn next_attempt_of(
        &mut self,
        sub_request: usize,
        selector: &mut TargetSelector,
        now: MonoTime,
        actions: &mut Vec<RelayAction>,
    ) {
        let progress = &mut self.sub_requests[sub_request];
        let is_hedge = !progress.open.is_empty();
        let may_run_again = self.ask.repeatable || !progress.may_have_run();
        // A target over its limit costs nothing but the pause after all of them were tried.
        let arrived = progress.arrivals - progress.rejected.min(progress.arrivals);
        if !may_run_again || arrived >= ARRIVALS_MAX {
            if progress.open.is_empty() {
                progress.state = SubRequestState::Failed;
            }
            return;
        }
        if is_hedge && progress.open.len() >= OPEN_MAX {
            return;
        }
        let kind = match (is_hedge, progress.arrivals) {
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
        let is_hedge = kind == AttemptKind::Hedge;
        let targets_max = self.ask.attempts_max.max(1) as usize;
        let optional = kind == AttemptKind::First && self.can_do_without_one();
        let soft = self.ask.soft_deadline.since(now);
        let progress = &self.sub_requests[sub_request];
        let ask = PickCriteria {
            service: &progress.service,
            tried: &progress.tried,
            ran: &progress.ran,
            targets_max,
            skip_overloaded: is_hedge,
            only_centre: progress.again_in.as_ref(),
            time_limit: optional.then_some(soft),
        };
        match selector.pick(&ask, now) {
            TargetPick::Target {
                target,
                is_repeat,
                idle_timeout,
            } => {
                let progress = &self.sub_requests[sub_request];
                let is_extra = progress.arrivals > progress.rejected;
                if is_extra
                    && !selector.try_acquire_extra(&self.sub_requests[sub_request].service, now)
                {
                    if self.is_beyond_budget(sub_request, now) {
                        self.sub_requests[sub_request].state = SubRequestState::Failed;
                    } else {
                        self.pause(sub_request, BUDGET_PAUSE_MS, now);
                    }
                    return;
                }
                let send = RelayAttempt {
                    attempt: self.next_attempt,
                    sub_request,
                    target,
                    new_connection: is_repeat,
                    idle_timeout,
                    kind,
                };
                self.send(send, selector, now, actions);
            }
            TargetPick::TooSlow => self.sub_requests[sub_request].state = SubRequestState::Failed,
            TargetPick::AllBusy => self.pause(sub_request, ROOM_PAUSE_MS, now),
            TargetPick::AllTried => {
                let progress = &mut self.sub_requests[sub_request];
                progress.tried.clear();
                // A hedge of a lane whose targets were all asked goes to one of them again, later.
                let rounds = progress.rounds;
                progress.rounds += 1;
                let pause_ms = (REFUSED_PAUSE_MS << rounds.min(6)).min(REFUSED_PAUSE_MAX_MS);
                let delay_ms = u64::try_from(self.ask.hedge_delay.as_millis()).unwrap_or(u64::MAX);
                let pause_ms = if is_hedge {
                    pause_ms.max(delay_ms)
                } else {
                    pause_ms
                };
                self.pause(sub_request, pause_ms, now);
            }
            TargetPick::NoTarget => {
                if self.sub_requests[sub_request].open.is_empty() {
                    self.sub_requests[sub_request].state = SubRequestState::Failed;
                }
            }
        }
    }

    fn pause(&mut self, sub_request: usize, pause_ms: u64, now: MonoTime) {
        self.sub_requests[sub_request].next_at = Some(now + Duration::from_millis(pause_ms));
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
            self.hedge_numbers.push(send.attempt);
        }
        let progress = &mut self.sub_requests[send.sub_request];
        progress.sent(send.attempt, &send.target, now);
        if self.ask.repeatable {
            let turns = u32::try_from(progress.open.len()).unwrap_or(1);
            progress.next_at = Some(now + self.ask.hedge_delay * turns);
        }
        actions.push(RelayAction::Send(send));
    }

    /// Whether a lane that the budget refuses an attempt had better fail.
    ///
    /// Load pattern: many shards slow at once, and their budgets empty. The budget comes back
    /// over seconds, and a caller that is told at once can ask again, which is a new request.
    fn is_beyond_budget(&self, sub_request: usize, now: MonoTime) -> bool {
        let sub_request = &self.sub_requests[sub_request];
        let is_late = self.ask.repeatable && now >= self.ask.soft_deadline;
        sub_request.open.is_empty() && (is_late || sub_request.again_in.is_some())
    }

    /// Whether so many services have no target that there can be no answer.
    fn too_few_known(&self, selector: &TargetSelector) -> bool {
        let known = self
            .sub_requests
            .iter()
            .filter(|sub_request| selector.has_target(&sub_request.service));
        !self.covers(known.count())
    }

    /// Whether one more lane may fail without ending the request.
    ///
    /// Load pattern: all replicas of one shard far behind. Searches that leave it out are
    /// answered in time, and its queue drains for those that come after.
    fn can_do_without_one(&self) -> bool {
        let left = self
            .sub_requests
            .iter()
            .filter(|sub_request| sub_request.state != SubRequestState::Failed);
        !self.ask.is_handover
            && self.sub_requests.len() > 1
            && self.covers(left.count().saturating_sub(1))
    }

    fn covers(&self, answered: usize) -> bool {
        #[expect(clippy::cast_precision_loss, reason = "lane counts are small")]
        let coverage = answered as f64 / self.sub_requests.len().max(1) as f64;
        answered > 0 && (self.ask.is_handover || coverage >= self.ask.coverage_min)
    }

    /// Ends the step: finishes if it is time, else sets the next wake-up.
    fn conclude(
        &mut self,
        selector: &TargetSelector,
        now: MonoTime,
        actions: &mut Vec<RelayAction>,
    ) {
        if self.can_answer(now) {
            return self.answer(actions);
        }
        let undecided = self
            .sub_requests
            .iter()
            .filter(|sub_request| sub_request.is_undecided());
        let undecided = undecided.count();
        if undecided == 0 && self.covers(self.answered) {
            return self.answer(actions);
        }
        if !self.covers(self.answered + undecided) {
            return self.give_up(selector, now, actions);
        }
        if now >= self.ask.deadline {
            return self.refuse(RefusalReason::Deadline, selector, now, actions);
        }
        if self.is_untaken(now) {
            return self.refuse(RefusalReason::TargetsRefused, selector, now, actions);
        }
        let next = self.next_wake(now);
        if self.wake_at != Some(next) {
            self.wake_at = Some(next);
            actions.push(RelayAction::Wake(next));
        }
    }

    /// Whether the answer is whole, or good enough for its time.
    fn can_answer(&self, now: MonoTime) -> bool {
        let is_whole = self.answered == self.sub_requests.len();
        is_whole || (now >= self.ask.soft_deadline && self.covers(self.answered))
    }

    /// Whether no target has taken the request although it has waited long enough.
    fn is_untaken(&self, now: MonoTime) -> bool {
        now >= self.untaken_at() && self.verdict() == RunVerdict::NotRun
    }

    fn untaken_at(&self) -> MonoTime {
        let soft = self.ask.soft_deadline.since(self.started_at) / UNTAKEN_SOFT_PART;
        let whole = self.ask.deadline.since(self.started_at) / UNTAKEN_TIME_PART;
        self.started_at + soft.max(whole)
    }

    fn next_wake(&self, now: MonoTime) -> MonoTime {
        let mut wake_at = self.ask.deadline;
        for at in [self.ask.soft_deadline, self.untaken_at()] {
            if at > now {
                wake_at = wake_at.min(at);
            }
        }
        let open = self
            .sub_requests
            .iter()
            .filter(|sub_request| sub_request.is_open());
        open.filter_map(|sub_request| sub_request.next_at)
            .fold(wake_at, MonoTime::min)
    }

    fn answer(&mut self, actions: &mut Vec<RelayAction>) {
        self.finished = true;
        let part = |sub_request: &SubRequest| match sub_request.state {
            SubRequestState::Answered(attempt) => Some(AnswerSource::Attempt(attempt)),
            SubRequestState::AnsweredBy(group) => Some(AnswerSource::Group(group)),
            SubRequestState::Open | SubRequestState::HandedOver(_) | SubRequestState::Failed => {
                None
            }
        };
        let parts = self.sub_requests.iter().map(part).collect();
        actions.push(RelayAction::Finish(RelayOutcome::Answered(parts)));
    }

    /// Ends a request that can no longer get enough answers.
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
            RunVerdict::NotRun if self.too_few_known(selector) => RefusalReason::NoTargets,
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
        let waits = self
            .sub_requests
            .iter()
            .filter(|sub_request| sub_request.is_open());
        let relief = waits
            .map(|sub_request| selector.estimated_wait(&sub_request.service, now))
            .max();
        let shortest = Duration::from_millis(RETRY_AFTER_MIN_MS);
        let refusal = RelayRefusal {
            reason,
            verdict: self.verdict(),
            retry_after: Some(relief.unwrap_or_default().max(shortest)),
        };
        actions.push(RelayAction::Finish(RelayOutcome::Refused(refusal)));
    }
}

fn signal_of(end: RelayAttemptOutcome, latency: Duration) -> AttemptSignal {
    match end {
        RelayAttemptOutcome::Answered { load } => AttemptSignal::Answered { latency, load },
        RelayAttemptOutcome::Refused { retry_after } => AttemptSignal::Refused { retry_after },
        RelayAttemptOutcome::Moved => AttemptSignal::Moved,
        RelayAttemptOutcome::Unreachable => AttemptSignal::Unreachable,
        RelayAttemptOutcome::NoConnection => AttemptSignal::Neutral,
        RelayAttemptOutcome::Rejected => AttemptSignal::Refused { retry_after: None },
        RelayAttemptOutcome::FailureReply | RelayAttemptOutcome::Broken => AttemptSignal::Failed,
    }
}
