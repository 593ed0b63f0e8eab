//! What becomes of a request at a VM that has lost its links to targets: it is handed over to another
//! VM.
//!
//! Load pattern: a VM whose links to all targets are lost still gets requests from callers. Other VMs
//! reach the targets, so each request goes to one of them, what is in flight included.

use std::sync::Arc;

use fulmarweir_base::MonoTime;

use super::RelayRun;
use crate::{
    RefusalReason,
    relay::{
        link_state::LinkState,
        message::{GroupOutcome, GroupRemainder, RelayAction, RepeatedSubRequest, RequestOrigin},
        selector::TargetSelector,
        shard_group::ShardGroup,
        sub_request::{SubRequest, SubRequestState},
    },
};

/// Other VMs to which a sub-request is handed over, one after the other.
const HANDOVERS_MAX: u32 = 3;

impl RelayRun {
    /// Handles the loss of the links to targets: what has no answer yet is handed over, also if it is in
    /// flight, as its answer may never come.
    pub fn on_links_lost(
        &mut self,
        selector: &mut TargetSelector,
        now: MonoTime,
    ) -> Vec<RelayAction> {
        let mut actions = Vec::new();
        if self.finished || !selector.links().are_unusable() {
            return actions;
        }
        if self.is_for_other_vm() {
            self.return_to_origin();
        } else {
            self.hand_over_where(|_, _| true, selector, now, &mut actions);
        }
        self.finish_or_wake(selector, now, &mut actions);
        actions
    }

    /// Returns the sub-requests of a group that are not sent for the first time, with where they may
    /// have run.
    #[must_use]
    pub fn repeats_in(&self, group: usize) -> Vec<RepeatedSubRequest> {
        let members = self.params.handover_groups[group].sub_requests.iter();
        let repeated = members.filter(|index| self.sub_requests[**index].reached_attempts > 0);
        let repeats = repeated.map(|index| {
            let sub_request = &self.sub_requests[*index];
            RepeatedSubRequest {
                sub_request: *index,
                ran: sub_request.ran.clone(),
                only_fallback_in: sub_request.pinned_centre.clone(),
            }
        });
        repeats.collect()
    }

    /// Returns the services that must answer.
    #[must_use]
    pub fn services(&self) -> &[Arc<str>] {
        &self.params.services
    }

    /// Returns a group that was handed over.
    #[must_use]
    pub fn handover_group(&self, group: usize) -> &ShardGroup {
        &self.params.handover_groups[group]
    }

    /// Records in which data centre the VM is that runs a group.
    pub fn record_broker_centre(&mut self, group: usize, centre: &Arc<str>) {
        self.params.handover_groups[group].centre = Arc::clone(centre);
    }

    /// Whether another VM has handed over this request.
    pub(super) fn is_for_other_vm(&self) -> bool {
        matches!(self.params.origin, RequestOrigin::OtherVm { .. })
    }

    /// Whether this request is to be handed over from the start.
    pub(super) fn starts_elsewhere(&self, selector: &TargetSelector) -> bool {
        let hands_over = self.params.origin == RequestOrigin::Caller { hands_over: true };
        hands_over || (selector.links().are_unusable() && !self.is_for_other_vm())
    }

    /// Hands over the sub-requests that would be sent to targets now.
    pub(super) fn hand_over_idle(
        &mut self,
        selector: &TargetSelector,
        now: MonoTime,
        actions: &mut Vec<RelayAction>,
    ) {
        let is_idle = |_, sub_request: &SubRequest| sub_request.open_attempts.is_empty();
        self.hand_over_where(is_idle, selector, now, actions);
    }

    /// Hands over the sub-requests without an answer for which `is_wanted` returns true, as far as they
    /// may run again. Those that cannot be handed over fail, unless an attempt in flight may still answer.
    fn hand_over_where(
        &mut self,
        is_wanted: impl Fn(usize, &SubRequest) -> bool,
        selector: &TargetSelector,
        now: MonoTime,
        actions: &mut Vec<RelayAction>,
    ) {
        let is_held_back = selector.is_held_back(self.params.fingerprint, now);
        // No VM was found that reaches a target.
        let is_hopeless = selector.links().state() == LinkState::TargetsDown;
        let is_late = now >= self.params.deadline;
        let groups = if is_held_back || is_hopeless || is_late {
            Vec::new()
        } else {
            selector.helper_groups(&self.params.services, &self.params.placement, now)
        };
        for mut group in groups {
            group.sub_requests.retain(|index| {
                is_wanted(*index, &self.sub_requests[*index]) && self.may_hand_over(*index)
            });
            if group.sub_requests.is_empty() {
                continue;
            }
            let number = self.params.handover_groups.len();
            for index in &group.sub_requests {
                self.sub_requests[*index].hand_over(number);
            }
            self.params.handover_groups.push(group);
            actions.push(RelayAction::HandOver(number));
        }
        // A caller that may retry gains nothing by waiting for an attempt that hangs.
        let gives_up = self.params.idempotent && selector.links().are_silent();
        for sub_request in &mut self.sub_requests {
            if sub_request.is_open() && sub_request.awaited_group.is_none() {
                sub_request.next_attempt_at = None;
                if sub_request.open_attempts.is_empty() || gives_up {
                    sub_request.state = SubRequestState::Failed;
                }
            }
        }
    }

    /// Hands over again what another VM has left unanswered, unless it would gain nothing.
    pub(super) fn hand_over_returned(
        &mut self,
        returned: &[usize],
        outcome: &GroupOutcome,
        selector: &TargetSelector,
        now: MonoTime,
        actions: &mut Vec<RelayAction>,
    ) {
        let is_lost = !outcome.accepted && !outcome.unclear.is_empty();
        let is_incomplete = outcome.accepted && outcome.remainder != GroupRemainder::Done;
        if !is_lost && !is_incomplete {
            for index in returned {
                self.sub_requests[*index].fail_unless_in_flight();
            }
        }
        // An attempt in flight may still answer if targets reply on kept connections.
        let has_failed = is_lost
            || outcome.remainder == GroupRemainder::LinksLost
            || selector.links().are_silent();
        let is_wanted = |index: usize, sub_request: &SubRequest| {
            sub_request.open_attempts.is_empty() || (has_failed && returned.contains(&index))
        };
        self.hand_over_where(is_wanted, selector, now, actions);
    }

    /// Has one sub-request handed over that would be sent to a target otherwise.
    pub(super) fn send_elsewhere(&mut self, sub_request: usize, now: MonoTime) {
        let is_for_other_vm = self.is_for_other_vm();
        let progress = &mut self.sub_requests[sub_request];
        if let Some(group) = progress.awaited_group {
            if progress.open_attempts.is_empty() {
                progress.state = SubRequestState::HandedOver(group);
            }
        } else if is_for_other_vm {
            self.return_to_origin();
        } else {
            // Others may end at the same moment, and go with it.
            progress.next_attempt_at = Some(now);
        }
    }

    /// Leaves all that may run again to the VM that handed over this request.
    fn return_to_origin(&mut self) {
        for sub_request in &mut self.sub_requests {
            let may_run_again = self.params.idempotent || sub_request.open_attempts.is_empty();
            if sub_request.is_open() && may_run_again {
                sub_request.state = SubRequestState::Failed;
            }
        }
    }

    /// Whether any part of the request is still to be handed over.
    pub(super) fn may_go_elsewhere(&self, selector: &TargetSelector) -> bool {
        selector.links().state() == LinkState::Lost
            && !self.is_for_other_vm()
            && (0..self.sub_requests.len()).any(|index| self.may_hand_over(index))
    }

    fn may_hand_over(&self, sub_request: usize) -> bool {
        let progress = &self.sub_requests[sub_request];
        progress.is_open()
            && progress.awaited_group.is_none()
            && progress.handovers < HANDOVERS_MAX
            && (self.params.idempotent || !progress.may_have_run())
            // No target is reserved for the second of two VMs then.
            && (self.params.targets_max > 1 || progress.pinned_centre.is_none())
    }

    /// Returns the reason to refuse a request that has not run, if this VM has no links and no other one
    /// has taken the request. Only VMs in its home regions may take one that has any.
    pub(super) fn links_reason(&self, selector: &TargetSelector) -> Option<RefusalReason> {
        let is_stranded = selector.links().are_unusable() && !self.is_for_other_vm();
        let reason = if self.params.placement.is_unrestricted() {
            RefusalReason::LinksLost
        } else {
            RefusalReason::HomeBound
        };
        (is_stranded && !self.was_taken).then_some(reason)
    }
}
