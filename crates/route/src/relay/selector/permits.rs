//! The limits of targets, and the permits of requests, as parts of the selector's state.

use std::{net::SocketAddr, time::Duration};

use fulmarweir_base::MonoTime;
use fulmarweir_permits::{RequestRank, SendPermit, WaitTimes};

use super::{RelayTarget, TargetSelector, is_usable};
use crate::relay::{
    attempt_budget::AttemptCharge,
    limit::{LimitChange, LimitReport, LimitedLoad, StatedLimit},
    limit_table::PermitCall,
    permit_grantor::PermitGrant,
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
        self.rate_limits.wait(target, rank, times, now);
    }

    /// Forgets a request that does not wait for permits any more.
    pub(crate) fn stop_waiting(&mut self, ticket: u64) {
        self.rate_limits.stop_waiting(ticket);
    }

    /// Takes a permit to send a request of this rank to `target`, if that has a limit.
    pub(crate) fn take_permit(
        &mut self,
        target: &RelayTarget,
        rank: RequestRank,
        now: MonoTime,
    ) -> Option<SendPermit> {
        self.rate_limits.take_permit(target, rank, now)
    }

    /// Gives back the permit of an attempt that was not sent.
    pub(crate) fn refund_permit(&mut self, target: &RelayTarget, permit: SendPermit) {
        self.rate_limits.refund_permit(target, permit);
    }

    /// Whether permits are needed at all.
    #[must_use]
    pub fn needs_permits(&self) -> bool {
        self.rate_limits.is_in_use()
    }

    /// Returns whether keepers should be asked for permits at once, and clears this mark.
    pub fn take_permit_urgency(&mut self) -> bool {
        self.rate_limits.take_urgency()
    }

    /// Returns the calls for permits that are due. `keepers` is ordered by distance.
    ///
    /// Each call must be followed by [`Self::apply_grants`] or [`Self::record_failed_call`].
    pub fn due_permit_calls(&mut self, keepers: &[SocketAddr], now: MonoTime) -> Vec<PermitCall> {
        self.rate_limits.due_calls(keepers, now)
    }

    /// Applies the reply of a keeper, in the order of the asks of `call`.
    pub fn apply_grants(&mut self, call: &PermitCall, grants: &[PermitGrant], now: MonoTime) {
        self.rate_limits.apply_grants(call, grants, now);
    }

    /// Records that a keeper has not replied to `call`.
    pub fn record_failed_call(&mut self, call: &PermitCall, now: MonoTime) {
        self.rate_limits.record_failed_call(call, now);
    }

    /// Grants permits to this VM, which reaches no keeper, for the time `passed` since the last
    /// call. `random` returns a number from 0 to 1.
    pub fn grant_alone(&mut self, passed: Duration, random: impl FnMut() -> f64, now: MonoTime) {
        let vms = self.burst_share.latest_vm_count();
        self.rate_limits.grant_alone(vms, passed, random, now);
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
        self.rate_limits.record_report(report, now)
    }

    /// Whether a target of `service` has a limit.
    #[must_use]
    pub fn has_limited_target(&self, service: &str, now: MonoTime) -> bool {
        let state = self.services.get(service);
        let is_limited = |tracker: &TargetTracker| {
            is_usable(tracker, now) && self.rate_limits.is_limited(&tracker.target)
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
        self.rate_limits.record(target, stated, sent_at, now)
    }

    /// Returns what this VM has sent to each target with a limit since the last call.
    pub fn take_limited_loads(&mut self, now: MonoTime) -> Vec<LimitedLoad> {
        self.rate_limits.take_loads(now)
    }

    /// Counts an attempt in the load of its target, if that has a limit.
    pub(crate) fn count_limited_attempt(&mut self, target: &RelayTarget, charge: AttemptCharge) {
        self.rate_limits.count_attempt(target, charge);
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
        let limits = &self.rate_limits;
        let rate: f64 = targets.map(|t| limits.permit_rate(t, vms, now)).sum();
        let longest = Duration::from_millis(RETURN_SPAN_MAX_MS);
        let period = Duration::try_from_secs_f64(1.0 / rate).unwrap_or(longest);
        let turn_at = earliest.max(state.next_return_at);
        let turn_at = turn_at.min(earliest + longest);
        state.next_return_at = turn_at + period.min(longest);
        turn_at
    }
}
