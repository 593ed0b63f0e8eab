//! The permits that one keeper grants, by key.
//!
//! Load pattern: each of a fixed number of keepers grants an equal part of each rate, whoever else is
//! up: no keeper needs to know of another one, so views that differ never add up to more than the
//! rate. VMs come and go without a share of their own.

use std::{collections::HashMap, time::Duration};

use fulmarweir_base::MonoTime;

use crate::{
    bucket::{GrantBucket, PermitAsker},
    key::{RateAsk, RateGrant, RateKey, RateLimit},
    policy::RatePolicy,
};

/// Time after which a bucket that is full and was not asked is forgotten, in milliseconds.
const IDLE_TTL_MS: u64 = 60_000;

/// A rate, as the newest ask states it, and this keeper's part of it.
#[derive(Debug)]
struct RateBucket {
    limit: RateLimit,
    bucket: GrantBucket,
}

impl RateBucket {
    /// Applies a newer rate. What was saved up under the earlier one counts only as far as both
    /// allow it.
    fn apply(&mut self, key: &RateKey, limit: RateLimit, grantors: usize, now: MonoTime) {
        if limit.version <= self.limit.version {
            return;
        }
        let before = RatePolicy::grantor_part(key, self.limit, grantors);
        self.bucket.refill(&before, now);
        self.limit = limit;
    }
}

/// Grants this keeper's part of all rates.
#[derive(Debug)]
pub struct RateGrantor {
    buckets: HashMap<RateKey, RateBucket>,
    started_at: MonoTime,
}

impl RateGrantor {
    /// Returns a grantor that has nothing to grant at `now`.
    ///
    /// A rate that is asked for the first time has saved up permits since then: earlier permits may
    /// have been granted by an earlier process of this keeper.
    #[must_use]
    pub fn new(now: MonoTime) -> Self {
        Self {
            buckets: HashMap::new(),
            started_at: now,
        }
    }

    /// Grants permits to a VM. `grantors` is the number of keepers that grant permits, `None` if
    /// this keeper is not one of them.
    pub fn ask(
        &mut self,
        asker: PermitAsker,
        ask: &RateAsk,
        grantors: Option<usize>,
        now: MonoTime,
    ) -> RateGrant {
        let Some(grantors) = grantors.filter(|_| ask.limit.is_valid()) else {
            return RateGrant::none();
        };
        let started_at = self.started_at;
        let entry = self.buckets.entry(ask.key.clone());
        let known = entry.or_insert_with(|| RateBucket {
            limit: ask.limit,
            bucket: GrantBucket::new(started_at),
        });
        known.apply(&ask.key, ask.limit, grantors, now);
        let part = RatePolicy::grantor_part(&ask.key, known.limit, grantors);
        known.bucket.refill(&part, now);
        known.bucket.credit(ask.returned, &part);
        known.bucket.grant(asker, ask.wanted, &part, now)
    }

    /// Returns the number of rates that were asked for lately.
    #[must_use]
    pub fn len(&self) -> usize {
        self.buckets.len()
    }

    /// Whether no rate was asked for lately.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.buckets.is_empty()
    }

    /// Forgets rates that nobody asks for. Their buckets are full, as those of new rates are.
    pub fn remove_expired(&mut self, now: MonoTime) {
        self.buckets.retain(|key, known| {
            let span = RatePolicy::of(key, known.limit).burst_span;
            now.since(known.bucket.refilled_at()) < Duration::from_millis(IDLE_TTL_MS) + span
        });
    }
}
