//! The part of a request that one service must answer, with its attempts.

use std::sync::Arc;

use fulmarweir_base::MonoTime;

use super::{
    attempt_budget::AttemptCharge,
    message::{AnswerSource, RelayAttempt, RepeatedSubRequest},
    permit_tables::AttemptPermits,
    selector::RelayTarget,
};

/// The state of a sub-request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum SubRequestState {
    /// Waiting for an answer, or for the time of the next attempt.
    Open,
    /// Answered by the attempt with this number.
    Answered(u32),
    /// Handed over to a broker with the group of this index.
    HandedOver(usize),
    /// Answered by a broker with the group of this index.
    AnsweredByBroker(usize),
    /// Failed without an answer.
    Failed,
}

/// An attempt that has not ended.
#[derive(Debug)]
pub(crate) struct OpenAttempt {
    pub(crate) number: u32,
    pub(crate) target: Arc<RelayTarget>,
    pub(crate) sent_at: MonoTime,
    pub(crate) charge: AttemptCharge,
    pub(crate) permits: AttemptPermits,
    /// Whether the attempt shows if its request ends targets: others wait for it, or one before it
    /// was lost with its target.
    pub(crate) is_trial: bool,
}

/// The progress of one service towards its answer.
#[derive(Debug)]
pub(crate) struct SubRequest {
    pub(crate) service: Arc<str>,
    pub(crate) state: SubRequestState,
    pub(crate) open_attempts: Vec<OpenAttempt>,
    /// Targets tried since the last pause.
    pub(crate) tried: Vec<Arc<str>>,
    /// Targets on which the request may have run, or may still run.
    pub(crate) ran: Vec<Arc<str>>,
    /// Targets in `ran` with an ended attempt that may have run.
    unclear: Vec<Arc<str>>,
    /// Group whose broker is silent, but may still answer. This VM may send attempts meanwhile.
    pub(crate) awaited_group: Option<usize>,
    /// Whether a broker left the sub-request unanswered, but counted its first attempt.
    pub(crate) counted_by_broker: bool,
    /// Whether the VM that handed over the sub-request pays for one extra attempt.
    pub(crate) has_lent_extra: bool,
    /// Attempts that reached, or may have reached, a target.
    pub(crate) reached_attempts: u32,
    /// Whether a target was over its connection limit.
    pub(crate) over_limit: bool,
    /// Rounds through all targets in which none accepted the request.
    pub(crate) exhausted_rounds: u32,
    /// Failed attempts that may have run.
    pub(crate) failures: u32,
    /// Targets that ended while they ran the sub-request.
    pub(crate) crashes: u32,
    /// Since when the next attempt waits for a permit, if it does.
    pub(crate) awaits_permit_since: Option<MonoTime>,
    /// When the next attempt is due.
    pub(crate) next_attempt_at: Option<MonoTime>,
    /// Data centre of a broker that may have run the sub-request on unknown targets. Attempts are
    /// restricted to the fallback target there.
    pub(crate) pinned_centre: Option<Arc<str>>,
    /// Number of the latest attempt with a failure reply, to forward to the caller.
    pub(crate) failure_reply: Option<AnswerSource>,
    /// Other VMs that were given the sub-request, since this one has lost its links to targets.
    pub(crate) handovers: u32,
}

impl SubRequest {
    pub(crate) fn new(service: Arc<str>) -> Self {
        Self {
            service,
            state: SubRequestState::Open,
            open_attempts: Vec::new(),
            tried: Vec::new(),
            ran: Vec::new(),
            unclear: Vec::new(),
            awaited_group: None,
            counted_by_broker: false,
            has_lent_extra: false,
            reached_attempts: 0,
            over_limit: false,
            exhausted_rounds: 0,
            failures: 0,
            crashes: 0,
            awaits_permit_since: None,
            next_attempt_at: None,
            pinned_centre: None,
            failure_reply: None,
            handovers: 0,
        }
    }

    /// Whether this VM still waits for an answer from its own attempts.
    pub(crate) fn is_open(&self) -> bool {
        self.state == SubRequestState::Open
    }

    /// Whether this VM has attempts in flight that may still answer.
    pub(crate) fn is_in_flight(&self) -> bool {
        self.is_open() && !self.open_attempts.is_empty()
    }

    /// Whether an answer may still arrive.
    pub(crate) fn is_pending(&self) -> bool {
        let is_waiting = matches!(
            self.state,
            SubRequestState::Open | SubRequestState::HandedOver(_)
        );
        is_waiting || (self.awaited_group.is_some() && !self.is_answered())
    }

    /// Whether the outcome of this group is still expected.
    pub(crate) fn awaits(&self, group: usize) -> bool {
        self.state == SubRequestState::HandedOver(group) || self.awaited_group == Some(group)
    }

    pub(crate) fn is_answered(&self) -> bool {
        matches!(
            self.state,
            SubRequestState::Answered(_) | SubRequestState::AnsweredByBroker(_)
        )
    }

    /// Reopens a sub-request that a broker may have run on the targets in `ran`, besides those on
    /// which attempts of this VM may have run.
    ///
    /// All further attempts then count as extra attempts. If `ran` is empty, the targets are
    /// unknown and attempts are restricted to the fallback target in `centre`, which the broker
    /// counts as used, so that no shard runs on more targets than allowed.
    pub(crate) fn reopen_unclear(&mut self, ran: &[Arc<str>], centre: &Arc<str>) {
        self.state = SubRequestState::Open;
        let broker_attempts = u32::try_from(ran.len().max(1)).unwrap_or(u32::MAX);
        self.reached_attempts = self.reached_attempts.max(broker_attempts);
        self.record_unclear(ran, centre);
    }

    /// Records that a broker may have run the sub-request on the targets in `ran`; if it is empty, on
    /// unknown ones, so that attempts are restricted to the fallback target in `centre` from now on.
    pub(crate) fn record_unclear(&mut self, ran: &[Arc<str>], centre: &Arc<str>) {
        self.record_broker_attempts(ran);
        if ran.is_empty() && self.pinned_centre.is_none() {
            self.pinned_centre = Some(Arc::clone(centre));
        }
    }

    /// Lets this VM send attempts of a sub-request whose broker is silent. They count as extra
    /// attempts and go to the fallback target in `centre`.
    pub(crate) fn reopen_awaited(&mut self, group: usize, centre: &Arc<str>) {
        self.reopen_unclear(&[], centre);
        self.awaited_group = Some(group);
        self.counted_by_broker = true;
    }

    /// Hands the sub-request over with a group. Attempts in flight go on, and the first answer counts.
    pub(crate) fn hand_over(&mut self, group: usize) {
        self.handovers += 1;
        self.next_attempt_at = None;
        if self.open_attempts.is_empty() {
            self.state = SubRequestState::HandedOver(group);
        } else {
            self.awaited_group = Some(group);
        }
    }

    /// Takes over a sub-request that another VM has sent before. All attempts count as extra ones.
    pub(crate) fn take_over(&mut self, repeated: &RepeatedSubRequest) {
        self.reached_attempts = 1;
        self.record_broker_attempts(&repeated.ran);
        self.pinned_centre.clone_from(&repeated.only_fallback_in);
    }

    /// Gives the sub-request up unless an attempt of this VM is in flight.
    pub(crate) fn fail_unless_in_flight(&mut self) {
        if self.is_open() && self.open_attempts.is_empty() {
            self.state = SubRequestState::Failed;
        }
    }

    /// Records on which targets another VM may have run the sub-request.
    fn record_broker_attempts(&mut self, ran: &[Arc<str>]) {
        for id in ran {
            for known in [&mut self.ran, &mut self.unclear] {
                if !known.contains(id) {
                    known.push(Arc::clone(id));
                }
            }
        }
    }

    /// Reopens a sub-request that targets refused at a broker. All further attempts count as extra
    /// attempts.
    pub(crate) fn reopen_refused(&mut self) {
        self.state = SubRequestState::Open;
        self.reached_attempts = 1;
    }

    /// Whether any attempt of the sub-request may have run, or may still run.
    pub(crate) fn may_have_run(&self) -> bool {
        !self.ran.is_empty()
            || self.pinned_centre.is_some()
            || matches!(
                self.state,
                SubRequestState::HandedOver(_) | SubRequestState::AnsweredByBroker(_)
            )
    }

    /// Returns how the next attempt is charged to the budget of extra attempts.
    pub(crate) fn next_charge(&self) -> AttemptCharge {
        if self.reached_attempts > 0 {
            AttemptCharge::Extra
        } else if !self.tried.is_empty() || self.exhausted_rounds > 0 {
            AttemptCharge::AfterUnreachable
        } else if self.counted_by_broker {
            AttemptCharge::AfterHandover
        } else {
            AttemptCharge::First
        }
    }

    /// Records an attempt that was sent.
    pub(crate) fn record_sent(&mut self, sent: &RelayAttempt, on_trial: bool, now: MonoTime) {
        let target = &sent.target;
        self.open_attempts.push(OpenAttempt {
            number: sent.attempt,
            target: Arc::clone(target),
            sent_at: now,
            charge: sent.charge,
            permits: sent.permits,
            is_trial: on_trial || self.crashes > 0,
        });
        self.reached_attempts += 1;
        if !self.tried.contains(&target.id) {
            self.tried.push(Arc::clone(&target.id));
        }
        if !self.ran.contains(&target.id) {
            self.ran.push(Arc::clone(&target.id));
        }
    }

    /// Removes and returns an attempt that has ended, or `None` if it was removed before.
    pub(crate) fn close_attempt(&mut self, number: u32) -> Option<OpenAttempt> {
        let index = self
            .open_attempts
            .iter()
            .position(|open| open.number == number)?;
        Some(self.open_attempts.swap_remove(index))
    }

    /// Records that an ended attempt may have run at `target`.
    pub(crate) fn record_may_have_run(&mut self, target: &RelayTarget) {
        self.unclear.push(Arc::clone(&target.id));
    }

    /// Records that an attempt did not reach `target`.
    pub(crate) fn record_not_sent(&mut self, target: &RelayTarget) {
        self.record_not_run(target);
        self.reached_attempts = self.reached_attempts.saturating_sub(1);
    }

    /// Records that an attempt did not run at `target`, where other attempts may have run.
    pub(crate) fn record_not_run(&mut self, target: &RelayTarget) {
        let is_open = self
            .open_attempts
            .iter()
            .any(|open| open.target.id == target.id);
        if !is_open && !self.unclear.contains(&target.id) {
            self.ran.retain(|id| *id != target.id);
        }
    }
}
