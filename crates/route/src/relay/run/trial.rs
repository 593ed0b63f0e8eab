//! How a request that may end its targets is sent.
//!
//! Load pattern: a search goes to all shards at once and ends a target of each. Sent again at once,
//! it would end as many once more, so a single attempt shows first whether it does.

use std::{collections::BTreeSet, sync::Arc};

use fulmarweir_base::MonoTime;

use super::RelayRun;
use crate::relay::{
    crash::SendRule, message::RelayAction, selector::TargetSelector, sub_request::SubRequestState,
};

/// Services of one request that must have lost a target before the request is on trial.
const CRASHED_SERVICES_MIN: usize = 2;

/// What the attempts of a request have shown so far.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum TrialState {
    /// Nothing yet.
    #[default]
    Untried,
    /// It may end targets, so it is sent to one at a time.
    OnTrial,
    /// A target has answered, so it does not end all of them.
    Answered,
    /// It has ended one target after another.
    EndsTargets,
}

/// The trial of a request, and the sub-requests that wait for it.
#[derive(Debug, Default)]
pub(super) struct RequestTrial {
    state: TrialState,
    /// Sub-requests whose next attempt waits until the one on trial has ended.
    parked: BTreeSet<usize>,
}

impl RequestTrial {
    /// Whether the request is sent to one target at a time.
    pub(super) fn is_on(&self) -> bool {
        self.state == TrialState::OnTrial
    }

    /// Whether the request has ended one target after another.
    pub(super) fn ends_targets(&self) -> bool {
        self.state == TrialState::EndsTargets
    }

    /// Records that a target has answered.
    pub(super) fn record_answer(&mut self) {
        self.state = TrialState::Answered;
    }

    fn begin(&mut self) {
        if self.state == TrialState::Untried {
            self.state = TrialState::OnTrial;
        }
    }
}

impl RelayRun {
    /// Whether too few services may get the request for it to be answered.
    pub(super) fn too_few_unblocked(&self, selector: &TargetSelector, now: MonoTime) -> bool {
        let fingerprint = self.params.fingerprint;
        if !selector.is_held_back(fingerprint, now) {
            return false;
        }
        let is_unblocked = |service: &&Arc<str>| {
            let blocked_until = selector.blocked_until(fingerprint, service, now);
            blocked_until.is_none()
        };
        let services = self.params.services.iter();
        !self.has_coverage(services.filter(is_unblocked).count())
    }

    /// Whether an attempt of a sub-request may be sent now. Otherwise the sub-request waits for the
    /// attempt on trial, or fails.
    pub(super) fn may_try(
        &mut self,
        sub_request: usize,
        is_hedge: bool,
        selector: &TargetSelector,
        now: MonoTime,
    ) -> bool {
        let service = &self.sub_requests[sub_request].service;
        match selector.send_rule(self.params.fingerprint, service, now) {
            SendRule::Unrestricted => {}
            SendRule::OneAtATime => self.trial.begin(),
            SendRule::Blocked(_) => {
                self.fail_if_idle(sub_request);
                return false;
            }
        }
        if self.trial.ends_targets() {
            self.fail_if_idle(sub_request);
            return false;
        }
        if !self.trial.is_on() || !self.has_open_attempt() {
            return true;
        }
        // While the attempt on trial is in flight, a hedge would be a second one.
        if !is_hedge {
            self.trial.parked.insert(sub_request);
        }
        false
    }

    /// Records that a target ended while it ran an attempt.
    pub(super) fn record_crash(&mut self, was_trial: bool) {
        let crashed = self.sub_requests.iter().filter(|s| s.crashes > 0);
        let has_lost_several = crashed.count() >= CRASHED_SERVICES_MIN;
        let is_single = self.sub_requests.len() == 1;
        match self.trial.state {
            TrialState::Untried | TrialState::OnTrial
                if was_trial && (has_lost_several || self.trial.is_on() || is_single) =>
            {
                self.trial.state = TrialState::EndsTargets;
                for index in std::mem::take(&mut self.trial.parked) {
                    self.fail_if_idle(index);
                }
            }
            TrialState::Untried if has_lost_several => self.trial.begin(),
            _ => {}
        }
    }

    /// Sends the attempts that waited for the one on trial: all once a target has answered, else the
    /// next one.
    pub(super) fn resume_parked(
        &mut self,
        selector: &mut TargetSelector,
        now: MonoTime,
        actions: &mut Vec<RelayAction>,
    ) {
        for index in std::mem::take(&mut self.trial.parked) {
            if self.sub_requests[index].is_open() {
                self.send_next_attempt(index, selector, now, actions);
            }
        }
    }

    fn has_open_attempt(&self) -> bool {
        let mut sub_requests = self.sub_requests.iter();
        sub_requests.any(|sub_request| !sub_request.open_attempts.is_empty())
    }

    /// Gives a sub-request up that has no attempt in flight. A silent broker may still answer it.
    pub(super) fn fail_if_idle(&mut self, sub_request: usize) {
        let progress = &mut self.sub_requests[sub_request];
        if progress.is_open() && progress.open_attempts.is_empty() {
            progress.state = progress
                .awaited_group
                .map_or(SubRequestState::Failed, SubRequestState::HandedOver);
        }
    }
}
