//! The limits of targets, and the permits of requests, as parts of the selector's state.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use fulmarweir_base::MonoTime;
use fulmarweir_permits::{RateCall, RateGrant, RequestRank, WaitTimes};

use super::{RelayTarget, TargetSelector, is_usable};
use crate::relay::{
    attempt_budget::AttemptCharge,
    cold_table::WarmUpReport,
    limit::{LimitChange, LimitReport, LimitedLoad, StatedLimit},
    limit_table::PermitCall,
    permit_grantor::PermitGrant,
    permit_tables::AttemptPermits,
    target_tracker::TargetTracker,
};

/// Longest time over which callers that are refused because of limits return, in milliseconds.
const RETURN_SPAN_MAX_MS: u64 = 3_000;

impl TargetSelector {
    /// Returns a number that distinguishes the requests of this VM.
    pub(crate) fn next_ticket(&mut self) -> u64 {
        self.last_ticket += 1;
        self.last_ticket
    }

    /// Lets a request wait for a permit for `target`.
    pub(crate) fn wait_for_permit(
        &mut self,
        target: &RelayTarget,
        rank: RequestRank,
        times: WaitTimes,
        now: MonoTime,
    ) {
        self.permits.wait(target, rank, times, now);
    }

    /// Forgets a request that does not wait for permits any more.
    pub(crate) fn stop_waiting(&mut self, ticket: u64) {
        self.permits.stop_waiting(ticket);
    }

    /// Takes the permits to send a request of this rank to `target`, if that needs any.
    pub(crate) fn take_permits(
        &mut self,
        target: &RelayTarget,
        rank: RequestRank,
        now: MonoTime,
    ) -> AttemptPermits {
        self.permits.take_permits(target, rank, now)
    }

    /// Gives back the permits of an attempt that was not sent.
    pub(crate) fn refund_permits(&mut self, target: &RelayTarget, permits: AttemptPermits) {
        self.permits.refund_permits(target, permits);
    }

    /// Whether permits are needed at all.
    #[must_use]
    pub fn needs_permits(&self) -> bool {
        self.permits.limits.is_in_use()
    }

    /// Returns whether keepers should be asked for permits at once, and clears this mark.
    pub fn take_permit_urgency(&mut self) -> bool {
        let is_urgent = self.permits.limits.take_urgency();
        self.permits.cold.take_urgency() || is_urgent
    }

    /// Returns the calls for permits that are due. `keepers` is ordered by distance.
    ///
    /// Each call must be followed by [`Self::apply_grants`] or [`Self::record_failed_call`].
    pub fn due_permit_calls(&mut self, keepers: &[SocketAddr], now: MonoTime) -> Vec<PermitCall> {
        self.permits.limits.due_calls(keepers, now)
    }

    /// Applies the reply of a keeper, in the order of the asks of `call`.
    pub fn apply_grants(&mut self, call: &PermitCall, grants: &[PermitGrant], now: MonoTime) {
        self.permits.limits.apply_grants(call, grants, now);
    }

    /// Records that a keeper has not replied to `call`.
    pub fn record_failed_call(&mut self, call: &PermitCall, now: MonoTime) {
        self.permits.limits.record_failed_call(call, now);
    }

    /// Grants permits to this VM, which reaches no keeper, for the time `passed` since the last
    /// call. `random` returns a number from 0 to 1.
    pub fn grant_alone(&mut self, passed: Duration, random: impl FnMut() -> f64, now: MonoTime) {
        let vms = self.burst_share.latest_vm_count();
        self.permits.limits.grant_alone(vms, passed, random, now);
    }

    /// Returns the highest number of VMs that a keeper has lately reported, by which a VM without
    /// keepers determines its share of rates; `None` before the first report.
    #[must_use]
    pub fn highest_vm_count(&self) -> Option<u32> {
        self.burst_share.highest_vm_count()
    }

    /// Records what a keeper knows of the limit of a target; returns the change, if there is one.
    pub fn record_limit_report(
        &mut self,
        report: &LimitReport,
        now: MonoTime,
    ) -> Option<LimitChange> {
        self.permits.limits.record_report(report, now)
    }

    /// Puts the rates of cold targets of a configuration in force, by service.
    pub fn set_cold_rates(&mut self, version: u64, rates: HashMap<Arc<str>, f64>) {
        self.permits.cold.set_rates(version, rates);
    }

    /// Records what a target has told of its warm-up; returns until when it is cold, if that is news.
    pub fn record_warm_up(&mut self, report: &WarmUpReport, now: MonoTime) -> Option<MonoTime> {
        let cold_until = self.permits.cold.record(report, now)?;
        for state in self.services.values_mut() {
            let is_same = |tracker: &&mut TargetTracker| {
                tracker.target.id == report.target && tracker.target.born_ms == report.born_ms
            };
            if let Some(tracker) = state.trackers.iter_mut().find(is_same) {
                tracker.warm_up_until = cold_until;
            }
        }
        Some(cold_until)
    }

    /// Records whether no keeper tells which targets are cold.
    pub fn set_keepers_lost(&mut self, are_lost: bool) {
        self.permits.cold.set_keepers_lost(are_lost);
    }

    /// Returns the targets that this VM must ask whether they are cold, since no keeper tells.
    /// `random` returns a number from 0 to 1.
    pub fn due_cold_checks(
        &mut self,
        random: impl FnMut() -> f64,
        now: MonoTime,
    ) -> Vec<Arc<RelayTarget>> {
        let trackers = self.services.values().flat_map(|state| &state.trackers);
        let usable = trackers.filter(|tracker| is_usable(tracker, now));
        let targets = usable.map(|tracker| &tracker.target);
        self.permits.cold.due_checks(targets, random, now)
    }

    /// Records that the targets of a data centre, or all of them, may be reached again after an
    /// outage. They count as cold until keepers have had time to tell.
    pub fn record_return(&mut self, centre: Option<&str>, now: MonoTime) {
        let trackers = self.services.values().flat_map(|state| &state.trackers);
        let is_affected = |tracker: &&TargetTracker| {
            centre.is_none_or(|centre| *tracker.target.centre == *centre)
        };
        for tracker in trackers.filter(is_affected) {
            self.permits.cold.record_return(&tracker.target, now);
        }
    }

    /// Returns the calls for permits for cold targets that are due. `keepers` is ordered by distance.
    ///
    /// Each call must be followed by [`Self::apply_cold_reply`].
    pub fn due_cold_calls(&mut self, keepers: &[SocketAddr], now: MonoTime) -> Vec<RateCall> {
        self.permits.cold.due_calls(keepers, now)
    }

    /// Returns the time after which such calls may be due; `None` while no target is cold.
    #[must_use]
    pub fn cold_poll_after(&self) -> Option<Duration> {
        self.permits.cold.poll_after()
    }

    /// Applies the reply to a call for cold targets, `None` if there is none.
    pub fn apply_cold_reply(
        &mut self,
        call: &RateCall,
        grants: Option<&[RateGrant]>,
        now: MonoTime,
    ) {
        self.permits.cold.apply_reply(call, grants, now);
    }

    /// Grants permits for cold targets to this VM for the time `passed`, if it reaches no keeper.
    /// `random` returns a number from 0 to 1.
    pub fn grant_cold_alone(
        &mut self,
        passed: Duration,
        random: impl FnMut() -> f64,
        now: MonoTime,
    ) {
        if let Some(vms) = self.burst_share.highest_vm_count() {
            self.permits.cold.grant_alone(vms, passed, random, now);
        }
    }

    /// Whether a target of `service` is cold and attempts need permits for that.
    #[must_use]
    pub fn has_cold_target(&self, service: &str, now: MonoTime) -> bool {
        let state = self.services.get(service);
        let is_cold = |tracker: &TargetTracker| {
            is_usable(tracker, now) && self.permits.cold.is_cold(&tracker.target, now)
        };
        state.is_some_and(|state| state.trackers.iter().any(is_cold))
    }

    /// Whether a target of `service` has a limit.
    #[must_use]
    pub fn has_limited_target(&self, service: &str, now: MonoTime) -> bool {
        let state = self.services.get(service);
        let is_limited = |tracker: &TargetTracker| {
            is_usable(tracker, now) && self.permits.limits.is_limited(&tracker.target)
        };
        state.is_some_and(|state| state.trackers.iter().any(is_limited))
    }

    /// Records what a reply of `target` says about the rate of requests that it takes from all VMs,
    /// and returns what changes. `sent_at` is when the attempt was sent.
    pub fn record_limit(
        &mut self,
        target: &RelayTarget,
        stated: StatedLimit,
        sent_at: MonoTime,
        now: MonoTime,
    ) -> Option<LimitChange> {
        self.permits.limits.record(target, stated, sent_at, now)
    }

    /// Returns what this VM has sent to each target with a limit since the last call.
    pub fn take_limited_loads(&mut self, now: MonoTime) -> Vec<LimitedLoad> {
        self.permits.limits.take_loads(now)
    }

    /// Counts an attempt in the load of its target, if that has a limit.
    pub(crate) fn count_limited_attempt(&mut self, target: &RelayTarget, charge: AttemptCharge) {
        self.permits.limits.count_attempt(target, charge);
    }

    /// Returns when a refused caller should return to `service`, whose targets have limits, at
    /// `earliest` or later. Callers get turns as far apart as the permits of this VM.
    pub(crate) fn reserve_return(
        &mut self,
        service: &str,
        earliest: MonoTime,
        now: MonoTime,
    ) -> MonoTime {
        let vms = self.burst_share.latest_vm_count();
        let Some(state) = self.services.get_mut(service) else {
            return earliest;
        };
        let targets = state.trackers.iter().map(|tracker| &tracker.target);
        let permits = &self.permits;
        let rate: f64 = targets.map(|t| permits.permit_rate(t, vms, now)).sum();
        let longest = Duration::from_millis(RETURN_SPAN_MAX_MS);
        let period = Duration::try_from_secs_f64(1.0 / rate).unwrap_or(longest);
        let turn_at = earliest.max(state.next_return_at);
        let turn_at = turn_at.min(earliest + longest);
        state.next_return_at = turn_at + period.min(longest);
        turn_at
    }
}
