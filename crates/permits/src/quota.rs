//! Tells callers over the quota of their tenant when to return.
//!
//! Load pattern: one tenant sends many times its quota, and its callers return when they are told.
//! If all of them were told when the next permit is expected, most of them would find none.

use std::{collections::HashMap, time::Duration};

use fulmarweir_base::MonoTime;

use crate::key::RateKey;

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
/// Time after which a tenant without requests is forgotten, in milliseconds.
const IDLE_TTL_MS: u64 = 20_000;

/// Returns for how long a request with this latency objective may be held while keepers are asked.
#[must_use]
pub fn hold_limit(latency_objective: Duration) -> Duration {
    Duration::from_millis(HOLD_MAX_MS).min(latency_objective / HOLD_OBJECTIVE_DIVISOR)
}

/// What a VM admits of a tenant, and when its callers were told to return.
#[derive(Clone, Copy, Debug, Default)]
struct TenantPace {
    admitted_per_s: f64,
    admitted_at: MonoTime,
    /// When the next permit is expected that no caller was told to return for.
    next_free_at: MonoTime,
    /// When the last refusal of keepers ends, and for how long it was.
    refused_until: MonoTime,
    refused_for: Duration,
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

    fn next_retry(
        &mut self,
        per_second: f64,
        refused_until: MonoTime,
        spread: f64,
        now: MonoTime,
    ) -> Duration {
        if refused_until != self.refused_until {
            self.refused_until = refused_until;
            self.refused_for = refused_until.since(now);
        }
        let seconds = |rate: f64| Duration::try_from_secs_f64(1.0 / rate);
        // Keepers state after which time a VM finds one permit, if this VM has got none lately.
        let refused_for = self.refused_for;
        let between = seconds(self.admitted_per_s(now)).map_or(refused_for, |b| b.min(refused_for));
        let between = between.max(seconds(per_second).unwrap_or_default());
        let retry_max = Duration::from_millis(RETRY_MAX_MS);
        let at = self.next_free_at.max(refused_until).min(now + retry_max);
        self.next_free_at = at + between;
        (at.since(now) + between.mul_f64(spread)).min(retry_max)
    }
}

/// When the refused callers of each tenant return, at one VM.
#[derive(Debug, Default)]
pub struct RetryPlanner {
    paces: HashMap<RateKey, TenantPace>,
}

impl RetryPlanner {
    /// Records that a request was admitted.
    pub fn record_admitted(&mut self, key: &RateKey, now: MonoTime) {
        self.pace(key, now).record_admitted(now);
    }

    /// Returns the time after which a refused caller may return, given when a keeper can be asked
    /// again. Each caller is told the time of another permit, at the rate at which this VM gets them,
    /// which is at most the quota of `per_second`. `spread` is a random number from 0 to 1, by which the callers of all VMs return at different
    /// times.
    pub fn retry_after(
        &mut self,
        key: &RateKey,
        per_second: f64,
        refused_until: MonoTime,
        spread: f64,
        now: MonoTime,
    ) -> Duration {
        let pace = self.pace(key, now);
        pace.next_retry(per_second, refused_until, spread, now)
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
