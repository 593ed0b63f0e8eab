//! The permits that one keeper grants for targets with a limit.
//!
//! Load pattern: many VMs send to a target that takes a certain rate of requests from all of them
//! together. Each of a fixed number of keepers grants an equal part of that rate, whoever else is up:
//! no keeper needs to know of another one, so views that differ never add up to more than the limit.
//! VMs come and go without a share of their own, and ask for what they are about to send.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use fulmarweir_base::MonoTime;
use fulmarweir_permits::{GrantBucket, PermitAsker, RateGrant, RatePolicy};
use serde::{Deserialize, Serialize};

use super::{
    limit::{KnownLimit, LimitReport},
    notice_table::TargetIncarnation,
};

/// Lowest rate of permits for a target in requests per second, so that a target which takes nothing
/// is asked now and then whether that is over.
const RATE_MIN: f64 = 0.05;
/// Highest rate, above which a limit is none in effect.
const RATE_MAX: f64 = 1e6;
/// Time for which permits that nobody asks for are saved up, in milliseconds.
const SAVED_MS: u64 = 500;
/// Time after which a permit expires, in milliseconds, counted from when it was asked for. Permits
/// that a lost VM held are of no use for longer, and a window of requests at the target holds little
/// more than what was granted within it.
pub(crate) const PERMIT_TTL_MS: u64 = 750;
/// Time for which permits are asked for in advance, in milliseconds.
const ADVANCE_MS: u64 = 250;
/// Time for which a VM counts as one that asks, in milliseconds.
const ASKER_TTL_MS: u64 = 4_000;
/// Share of the limit that VMs without a keeper use together. The other VMs may still use all of it.
const ALONE_SHARE: f64 = 0.5;
/// Time for which it is remembered that a limit is over, in milliseconds.
const LIFTED_TTL_MS: u64 = 60_000;

/// Returns how the limit that a target states is granted.
pub(crate) fn limit_policy(limit: f64) -> RatePolicy {
    RatePolicy {
        per_second: limit,
        burst_span: Duration::from_millis(SAVED_MS),
        bucket_min: 1.0,
        permit_ttl: Duration::from_millis(PERMIT_TTL_MS),
        advance: Duration::from_millis(ADVANCE_MS),
        asker_ttl: Duration::from_millis(ASKER_TTL_MS),
        alone_per_second: limit * ALONE_SHARE,
    }
}

/// A VM's request for permits, with what it knows of the limit.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PermitAsk {
    /// What the VM knows of the target.
    pub known: LimitReport,
    /// Number of permits, 0 to tell only what is known.
    pub wanted: u32,
}

/// The reply to a [`PermitAsk`].
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PermitGrant {
    /// Number of permits.
    pub granted: u32,
    /// Time after which the VM may ask this keeper again.
    pub ask_again_after: Duration,
}

impl From<RateGrant> for PermitGrant {
    fn from(grant: RateGrant) -> Self {
        Self {
            granted: grant.granted,
            ask_again_after: grant.ask_again_after,
        }
    }
}

/// The limit of a target and the part of it that this keeper grants.
#[derive(Debug)]
struct LimitBucket {
    known: KnownLimit,
    bucket: GrantBucket,
}

impl LimitBucket {
    fn new(now: MonoTime) -> Self {
        Self {
            known: KnownLimit::default(),
            bucket: GrantBucket::new(now),
        }
    }
}

/// Grants this keeper's part of the limits of all targets, and knows these limits.
#[derive(Debug)]
pub struct PermitGrantor {
    buckets: HashMap<TargetIncarnation, LimitBucket>,
    revision: u64,
}

impl PermitGrantor {
    /// Returns a grantor without targets. Its revisions start at `first_revision`, which should
    /// differ between processes.
    #[must_use]
    pub fn new(first_revision: u64) -> Self {
        Self {
            buckets: HashMap::new(),
            revision: first_revision,
        }
    }

    /// Returns a number that changes with the limits in [`Self::reports`].
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Grants permits to a VM. `grantors` is the number of keepers that grant permits, `None` if
    /// this keeper is not one of them. Returns whether the limit of the target is another one now.
    pub fn ask(
        &mut self,
        asker: PermitAsker,
        ask: &PermitAsk,
        grantors: Option<usize>,
        now: MonoTime,
    ) -> (PermitGrant, bool) {
        let incarnation = TargetIncarnation {
            id: Arc::clone(&ask.known.target),
            born_ms: ask.known.born_ms,
        };
        if !ask.known.is_valid() {
            return (RateGrant::none().into(), false);
        }
        let bucket = self.buckets.entry(incarnation);
        let bucket = bucket.or_insert_with(|| LimitBucket::new(now));
        let known_at = now.earlier_by(ask.known.age);
        let is_changed = bucket.known.apply(ask.known.limit, known_at);
        self.revision = self.revision.wrapping_add(u64::from(is_changed));
        let Some(grantors) = grantors else {
            return (RateGrant::none().into(), is_changed);
        };
        let Some(limit) = bucket.known.limit else {
            let grant = PermitGrant {
                granted: ask.wanted,
                ask_again_after: Duration::ZERO,
            };
            return (grant, is_changed);
        };
        let part = limit_policy(limit.clamp(RATE_MIN, RATE_MAX)).part_of(grantors);
        let grant = bucket.bucket.grant(asker, ask.wanted, &part, now);
        (grant.into(), is_changed)
    }

    /// Returns what VMs have told this keeper of the limits of targets.
    #[must_use]
    pub fn reports(&self, now: MonoTime) -> Vec<LimitReport> {
        let mut reports: Vec<LimitReport> = self
            .buckets
            .iter()
            .map(|(incarnation, bucket)| LimitReport {
                target: Arc::clone(&incarnation.id),
                born_ms: incarnation.born_ms,
                limit: bucket.known.limit,
                age: bucket.known.age(now),
            })
            .collect();
        reports.sort_by(|a, b| (&a.target, a.born_ms).cmp(&(&b.target, b.born_ms)));
        reports
    }

    /// Forgets limits that are over, and targets that are not listed any more. `listed` holds the
    /// start of each listed target by its id.
    pub fn remove_expired(&mut self, listed: &BTreeMap<Arc<str>, u64>, now: MonoTime) {
        let ttl = Duration::from_millis(LIFTED_TTL_MS);
        self.buckets.retain(|incarnation, bucket| {
            let is_listed = listed.get(&incarnation.id) == Some(&incarnation.born_ms);
            let is_recent = bucket.known.age(now) < ttl;
            is_recent || (is_listed && bucket.known.limit.is_some())
        });
    }
}
