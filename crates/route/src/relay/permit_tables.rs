//! What an attempt at a target needs permits for: a stated limit, a cold time, or both.

use fulmarweir_base::MonoTime;
use fulmarweir_permits::{RequestRank, SendPermit, WaitTimes};

use super::{cold_table::ColdTable, limit_table::LimitTable, selector::RelayTarget};

/// The permits of one attempt.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct AttemptPermits {
    /// For the limit that the target has stated, if it had one.
    pub limit: Option<SendPermit>,
    /// For the rate of a cold target, if it was cold.
    pub cold: Option<SendPermit>,
}

/// The stated limits and the cold times of all targets.
#[derive(Debug, Default)]
pub(crate) struct PermitTables {
    pub(crate) limits: LimitTable,
    pub(crate) cold: ColdTable,
}

impl PermitTables {
    /// Whether a request of this rank may be sent to `target` now.
    pub(crate) fn allows(&self, target: &RelayTarget, rank: RequestRank, now: MonoTime) -> bool {
        self.limits.allows(target, rank, now) && self.cold.allows(target, rank, now)
    }

    /// Whether keepers that may have the permits that are missing for `target` can be asked now.
    pub(crate) fn can_ask(&self, target: &RelayTarget, rank: RequestRank, now: MonoTime) -> bool {
        let has_limit_permit = self.limits.allows(target, rank, now);
        let has_cold_permit = self.cold.allows(target, rank, now);
        (has_limit_permit || self.limits.can_ask(target, now))
            && (has_cold_permit || self.cold.can_ask(target, now))
    }

    /// Returns when a request of this rank can expect all permits for `target`.
    pub(crate) fn permit_expected_at(
        &self,
        target: &RelayTarget,
        rank: RequestRank,
        vms: u32,
        now: MonoTime,
    ) -> MonoTime {
        let limit = self.limits.permit_expected_at(target, rank, vms, now);
        limit.max(self.cold.permit_expected_at(target, rank, vms, now))
    }

    /// Returns the requests per second that this VM can expect to send to `target`, 0 if that needs
    /// no permits.
    pub(crate) fn permit_rate(&self, target: &RelayTarget, vms: u32, now: MonoTime) -> f64 {
        let limit = self.limits.permit_rate(target, vms, now);
        match self.cold.permit_rate(target, vms, now) {
            Some(cold) if self.limits.is_limited(target) => cold.min(limit),
            Some(cold) => cold,
            None => limit,
        }
    }

    /// Records a request that `target` would suit best.
    pub(crate) fn record_demand(&mut self, target: &RelayTarget, now: MonoTime) {
        self.limits.record_demand(target, now);
        self.cold.record_demand(target, now);
    }

    /// Lets a request wait for the permits for `target`.
    pub(crate) fn wait(
        &mut self,
        target: &RelayTarget,
        rank: RequestRank,
        times: WaitTimes,
        now: MonoTime,
    ) {
        self.limits.wait(target, rank, times, now);
        self.cold.wait(target, rank, times, now);
    }

    /// Forgets a request that does not wait for permits any more.
    pub(crate) fn stop_waiting(&mut self, ticket: u64) {
        self.limits.stop_waiting(ticket);
        self.cold.stop_waiting(ticket);
    }

    /// Takes the permits for an attempt at `target`.
    pub(crate) fn take_permits(
        &mut self,
        target: &RelayTarget,
        rank: RequestRank,
        now: MonoTime,
    ) -> AttemptPermits {
        AttemptPermits {
            limit: self.limits.take_permit(target, rank, now),
            cold: self.cold.take_permit(target, rank, now),
        }
    }

    /// Gives back the permits of an attempt that was not sent.
    pub(crate) fn refund_permits(&mut self, target: &RelayTarget, permits: AttemptPermits) {
        if let Some(permit) = permits.limit {
            self.limits.refund_permit(target, permit);
        }
        if let Some(permit) = permits.cold {
            self.cold.refund_permit(target, permit);
        }
    }

    /// Whether an attempt may be sent to `target` now that a connection is open, given its permits.
    pub(crate) fn may_send(
        &mut self,
        target: &RelayTarget,
        permits: AttemptPermits,
        now: MonoTime,
    ) -> bool {
        self.cold.may_send(target, permits.cold, now)
            && self.limits.may_send(target, permits.limit, now)
    }
}
