//! The budget of extra attempts (hedges and retries) of one service on this VM.
//!
//! Load pattern: many targets of a service are slow or failing at once, so that every request would
//! send a second attempt and multiply the load. The budget limits extra attempts over a sliding
//! window.

use std::{sync::Arc, time::Duration};

use fulmarweir_base::MonoTime;
use fulmarweir_conf::ExtraAttemptLimits;

/// Number of buckets into which the sliding window is divided.
const BUCKETS: usize = 20;
/// Share of the granted budget that is used, so that clock differences and late arrivals do not
/// exceed the grant.
const USABLE_SHARE: f64 = 0.85;
/// The same in the first window of a process: what an earlier process of the VM has left unused.
const USABLE_SHARE_AT_START: f64 = 1.0 - USABLE_SHARE;

/// What the budgets of all services of this VM are granted at a moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct BudgetGrant {
    /// Whether an earlier process of this VM may have spent its grant within the window.
    pub(crate) is_starting: bool,
    /// This VM's part of the burst.
    pub(crate) burst_part: f64,
}

impl BudgetGrant {
    const fn usable_share(self) -> f64 {
        if self.is_starting {
            USABLE_SHARE_AT_START
        } else {
            USABLE_SHARE
        }
    }
}

/// How an attempt is charged to the budget of extra attempts of its service.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum AttemptCharge {
    /// Not charged: the first attempt of the sub-request.
    First,
    /// Charged as an extra attempt.
    Extra,
    /// Charged as an extra attempt to the VM that handed over the sub-request.
    Lent,
    /// Not charged: the attempt before was not sent.
    AfterUnreachable,
    /// Not charged: a broker counted the first attempt, but sent none.
    AfterHandover,
}

impl AttemptCharge {
    /// Returns the label of this charge in metrics; it never changes.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::First => "first",
            Self::Extra => "extra",
            Self::Lent => "lent",
            Self::AfterUnreachable => "after-unreachable",
            Self::AfterHandover => "after-handover",
        }
    }
}

/// How many attempts of a service there were, by their charge.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct AttemptCounts {
    /// Sub-requests that count towards the grant.
    pub first: u32,
    /// Attempts charged to the budget.
    pub extra: u32,
    /// Attempts charged as [`AttemptCharge::AfterUnreachable`].
    pub after_unreachable: u32,
    /// Attempts charged as [`AttemptCharge::AfterHandover`].
    pub after_handover: u32,
    /// Extra attempts that the budget did not allow.
    pub denied: u32,
}

impl AttemptCounts {
    fn add(&mut self, other: &Self) {
        self.first += other.first;
        self.extra += other.extra;
        self.after_unreachable += other.after_unreachable;
        self.after_handover += other.after_handover;
        self.denied += other.denied;
    }
}

/// The budget of extra attempts of a service on this VM, for logs.
#[derive(Clone, Debug, PartialEq)]
pub struct BudgetSnapshot {
    /// The service.
    pub service: Arc<str>,
    /// Attempts within the window.
    pub counts: AttemptCounts,
    /// Extra attempts that the budget still allows; negative if overdrawn.
    pub remaining: f64,
    /// This VM's part of the burst.
    pub burst_part: f64,
}

/// Attempts in one part of the sliding window.
#[derive(Clone, Copy, Debug, Default)]
struct CountBucket {
    number: u64,
    counts: AttemptCounts,
}

/// Counts of first and extra attempts within the sliding window.
#[derive(Clone, Debug, Default)]
pub(crate) struct ExtraAttemptBudget {
    buckets: [CountBucket; BUCKETS],
}

impl ExtraAttemptBudget {
    /// Counts the first attempt of a request.
    pub(crate) fn count_first_attempt(&mut self, limits: &ExtraAttemptLimits, now: MonoTime) {
        self.bucket(limits.window, now).first += 1;
    }

    /// Charges an extra attempt if the budget allows it, and returns whether it does.
    pub(crate) fn try_acquire_extra(
        &mut self,
        limits: &ExtraAttemptLimits,
        grant: BudgetGrant,
        now: MonoTime,
    ) -> bool {
        let is_charged = self.try_charge_extra(limits, grant, now);
        self.bucket(limits.window, now).denied += u32::from(!is_charged);
        is_charged
    }

    /// Charges an extra attempt if the budget allows it, and returns whether it does. Unlike
    /// [`Self::try_acquire_extra`], a refusal is not counted.
    pub(crate) fn try_charge_extra(
        &mut self,
        limits: &ExtraAttemptLimits,
        grant: BudgetGrant,
        now: MonoTime,
    ) -> bool {
        let is_allowed = self.remaining(limits, grant, now) >= 1.0;
        self.bucket(limits.window, now).extra += u32::from(is_allowed);
        is_allowed
    }

    /// Takes back an extra attempt that was acquired at `acquired_at` and not sent.
    pub(crate) fn refund_extra(&mut self, limits: &ExtraAttemptLimits, acquired_at: MonoTime) {
        let number = bucket_number(limits.window, acquired_at);
        if let Some(bucket) = self.buckets.iter_mut().find(|b| b.number == number) {
            bucket.counts.extra = bucket.counts.extra.saturating_sub(1);
        }
    }

    /// Counts an attempt that is not charged; first attempts are counted by
    /// [`Self::count_first_attempt`].
    pub(crate) fn count_uncharged(
        &mut self,
        charge: AttemptCharge,
        limits: &ExtraAttemptLimits,
        now: MonoTime,
    ) {
        let counts = self.bucket(limits.window, now);
        match charge {
            AttemptCharge::First | AttemptCharge::Extra | AttemptCharge::Lent => {}
            AttemptCharge::AfterUnreachable => counts.after_unreachable += 1,
            AttemptCharge::AfterHandover => counts.after_handover += 1,
        }
    }

    /// Returns the number of extra attempts that the budget still allows; negative if overdrawn.
    pub(crate) fn remaining(
        &self,
        limits: &ExtraAttemptLimits,
        grant: BudgetGrant,
        now: MonoTime,
    ) -> f64 {
        let counts = self.counts(limits.window, now);
        let granted = limits.share * f64::from(counts.first) + grant.burst_part;
        granted * grant.usable_share() - f64::from(counts.extra)
    }

    pub(crate) fn snapshot(
        &self,
        service: &Arc<str>,
        limits: &ExtraAttemptLimits,
        grant: BudgetGrant,
        now: MonoTime,
    ) -> BudgetSnapshot {
        BudgetSnapshot {
            service: Arc::clone(service),
            counts: self.counts(limits.window, now),
            remaining: self.remaining(limits, grant, now),
            burst_part: grant.burst_part,
        }
    }

    /// Returns the counts of the whole window.
    fn counts(&self, window: Duration, now: MonoTime) -> AttemptCounts {
        let current = bucket_number(window, now);
        let span = BUCKETS as u64;
        let in_window = self.buckets.iter().filter(|b| b.number + span > current);
        let mut counts = AttemptCounts::default();
        for bucket in in_window {
            counts.add(&bucket.counts);
        }
        counts
    }

    /// Returns the counts of the bucket for `now`, cleared if they are from an earlier window.
    fn bucket(&mut self, window: Duration, now: MonoTime) -> &mut AttemptCounts {
        let number = bucket_number(window, now);
        let index = usize::try_from(number % BUCKETS as u64).unwrap_or_default();
        let bucket = &mut self.buckets[index];
        if bucket.number != number {
            *bucket = CountBucket {
                number,
                ..CountBucket::default()
            };
        }
        &mut bucket.counts
    }
}

/// Returns the number of the bucket that `now` falls into.
///
/// Numbers start at [`BUCKETS`], so that a bucket that was never used (number 0) never counts
/// towards the window. The window is one bucket width shorter than all buckets together, since the
/// current bucket is only partly filled.
fn bucket_number(window: Duration, now: MonoTime) -> u64 {
    let width = u64::try_from(window.as_micros()).unwrap_or(u64::MAX) / (BUCKETS as u64 - 1);
    now.as_micros() / width.max(1) + BUCKETS as u64
}
