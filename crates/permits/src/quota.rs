//! Decides which requests of a tenant run, given the permits that a VM holds and what keepers have
//! answered.
//!
//! Load pattern: one tenant sends many times its quota through all VMs, beside many tenants that
//! stay within theirs and send a request every few seconds each. What is over a quota must cost no
//! calls, and what is within it must not wait for long.

use std::{collections::HashMap, time::Duration};

use fulmarweir_base::MonoTime;

use crate::{
    key::{RateKey, RateLimit},
    ledger::{RateLedger, RateState},
    queue::{RequestRank, SendPermit, WaitTimes},
};

/// Longest time for which a request is held while keepers are asked, in milliseconds: a round trip
/// between regions, and some lag.
const HOLD_MAX_MS: u64 = 60;
/// A request is held for at most its latency objective divided by this number.
const HOLD_OBJECTIVE_DIVISOR: u32 = 2;
/// Time constant of the moving rate of admitted requests, in milliseconds.
const ADMITTED_TIME_CONSTANT_MS: f64 = 2_000.0;
/// Longest time after which a caller is told to return, in milliseconds. No keeper asks to be left
/// alone for longer than 4 s.
const RETRY_MAX_MS: u64 = 5_000;
/// Time after which a caller whose request no keeper has decided returns, in milliseconds, and how
/// much longer it may be, by chance.
const UNCONFIRMED_RETRY_MS: u64 = 200;
const UNCONFIRMED_SPREAD_MS: u64 = 200;
/// Time after which a tenant without requests is forgotten, in milliseconds.
const IDLE_TTL_MS: u64 = 20_000;

/// A request that counts against a quota.
#[derive(Clone, Copy, Debug)]
pub struct QuotaRequest<'a> {
    /// The tenant's key.
    pub key: &'a RateKey,
    /// The tenant's quota.
    pub limit: RateLimit,
    /// The order in which requests of the tenant get permits.
    pub rank: RequestRank,
    /// Until when the request may be held, as [`hold_limit`] states.
    pub hold_until: MonoTime,
}

/// What becomes of a request that counts against a quota.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuotaDecision {
    /// It runs. If it turns out not to, [`RateLedger::refund`] credits the permit.
    Admitted(SendPermit),
    /// Keepers must be asked. Decide again when permits have arrived, and at the end of the hold.
    Wait,
    /// All keepers that can be asked have refused a permit.
    OverQuota {
        /// Time after which a permit can be expected.
        retry_after: Duration,
    },
    /// No keeper has decided in time, so it is unknown whether the request is within the quota.
    Unconfirmed {
        /// Time after which the caller may try again.
        retry_after: Duration,
    },
}

/// Returns for how long a request with this latency objective may be held while keepers are asked.
#[must_use]
pub fn hold_limit(latency_objective: Duration) -> Duration {
    Duration::from_millis(HOLD_MAX_MS).min(latency_objective / HOLD_OBJECTIVE_DIVISOR)
}

/// What a VM admits of a tenant, and when callers were told to return.
#[derive(Clone, Copy, Debug, Default)]
struct TenantPace {
    admitted_per_s: f64,
    admitted_at: MonoTime,
    /// The next permit that no caller was told to return for is expected at this time.
    next_free_at: MonoTime,
    used_at: MonoTime,
}

impl TenantPace {
    fn admitted_per_s(&self, now: MonoTime) -> f64 {
        let age_ms = now.since(self.admitted_at).as_secs_f64() * 1000.0;
        self.admitted_per_s * (-age_ms / ADMITTED_TIME_CONSTANT_MS).exp()
    }

    fn record_admitted(&mut self, now: MonoTime) {
        let added = 1000.0 / ADMITTED_TIME_CONSTANT_MS;
        self.admitted_per_s = self.admitted_per_s(now) + added;
        self.admitted_at = now;
    }

    /// Returns the time after which a refused caller may return, given when the first keeper can be
    /// asked again. Each caller is told the time of another permit, at the rate at which this VM has
    /// got them. `spread` is from 0 to 1.
    fn next_retry(&mut self, refused_until: MonoTime, spread: f64, now: MonoTime) -> Duration {
        let window = refused_until.since(now);
        let between = Duration::try_from_secs_f64(1.0 / self.admitted_per_s(now));
        // Without an admitted request, keepers expect that a VM finds one permit when it asks again.
        let between = between.unwrap_or(window).min(window);
        let retry_max = Duration::from_millis(RETRY_MAX_MS);
        let at = self.next_free_at.max(refused_until).min(now + retry_max);
        self.next_free_at = at + between;
        (at.since(now) + between.mul_f64(spread)).min(retry_max)
    }
}

/// Admits the requests of tenants with a quota at one VM.
///
/// The permits themselves are in a [`RateLedger`].
#[derive(Debug, Default)]
pub struct QuotaGate {
    paces: HashMap<RateKey, TenantPace>,
}

impl QuotaGate {
    /// Records a request that is about to be decided for the first time.
    pub fn record_demand(
        &self,
        ledger: &mut RateLedger,
        request: &QuotaRequest<'_>,
        now: MonoTime,
    ) {
        ledger.set_limit(request.key, request.limit, now);
        ledger.record_demand(request.key, now);
    }

    /// Decides what becomes of a request. `spread` is a random number from 0 to 1, by which refused
    /// callers return at different times.
    ///
    /// After [`QuotaDecision::Wait`], the calls that the ledger has due must be made.
    pub fn decide(
        &mut self,
        ledger: &mut RateLedger,
        request: &QuotaRequest<'_>,
        spread: f64,
        now: MonoTime,
    ) -> QuotaDecision {
        let key = request.key;
        if ledger.has_permit(key, request.rank, now)
            && let Some(permit) = ledger.take(key, request.rank, now)
        {
            self.pace(key, now).record_admitted(now);
            return QuotaDecision::Admitted(permit);
        }
        let state = ledger.state(key, now);
        if state == RateState::Pending && now < request.hold_until {
            let times = WaitTimes {
                retry_at: request.hold_until,
                usable_until: request.hold_until,
            };
            ledger.wait(key, request.rank, times, now);
            return QuotaDecision::Wait;
        }
        ledger.stop_waiting(key, request.rank.ticket);
        if let RateState::Denied { until } = state {
            let retry_after = self.pace(key, now).next_retry(until, spread, now);
            return QuotaDecision::OverQuota { retry_after };
        }
        let more = Duration::from_millis(UNCONFIRMED_SPREAD_MS).mul_f64(spread);
        let retry_after = Duration::from_millis(UNCONFIRMED_RETRY_MS) + more;
        QuotaDecision::Unconfirmed { retry_after }
    }

    /// Forgets tenants that have sent nothing lately.
    pub fn remove_idle(&mut self, now: MonoTime) {
        let ttl = Duration::from_millis(IDLE_TTL_MS);
        self.paces.retain(|_, pace| now.since(pace.used_at) < ttl);
    }

    fn pace(&mut self, key: &RateKey, now: MonoTime) -> &mut TenantPace {
        let pace = self.paces.entry(key.clone()).or_default();
        pace.used_at = now;
        pace
    }
}
