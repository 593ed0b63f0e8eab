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

/// The budget of extra attempts of a service on this VM, for logs.
#[derive(Clone, Debug, PartialEq)]
pub struct BudgetSnapshot {
    /// The service.
    pub service: Arc<str>,
    /// Sub-requests that count towards the grant, within the window.
    pub first_attempts: u32,
    /// Charged attempts within the window.
    pub extra_attempts: u32,
    /// Attempts within the window charged as [`AttemptCharge::AfterUnreachable`].
    pub after_unreachable: u32,
    /// Attempts within the window charged as [`AttemptCharge::AfterHandover`].
    pub after_handover: u32,
    /// Extra attempts within the window that the budget did not allow.
    pub denied: u32,
    /// Extra attempts that the budget still allows; negative if overdrawn.
    pub remaining: f64,
    /// This VM's part of the burst.
    pub burst_part: f64,
}

/// Attempts in one part of the sliding window.
#[derive(Clone, Copy, Debug, Default)]
struct CountBucket {
    number: u64,
    first_attempts: u32,
    extra_attempts: u32,
    after_unreachable: u32,
    after_handover: u32,
    denied: u32,
}

/// Counts of first and extra attempts within the sliding window.
#[derive(Clone, Debug, Default)]
pub(crate) struct ExtraAttemptBudget {
    buckets: [CountBucket; BUCKETS],
}

impl ExtraAttemptBudget {
    /// Counts the first attempt of a request.
    pub(crate) fn count_first_attempt(&mut self, limits: &ExtraAttemptLimits, now: MonoTime) {
        self.bucket(limits.window, now).first_attempts += 1;
    }

    /// Counts an extra attempt and returns true if the budget allows it.
    pub(crate) fn try_acquire_extra(
        &mut self,
        limits: &ExtraAttemptLimits,
        burst_part: f64,
        now: MonoTime,
    ) -> bool {
        if self.try_lend_extra(limits, burst_part, now) {
            return true;
        }
        self.bucket(limits.window, now).denied += 1;
        false
    }

    /// Counts an extra attempt that another VM may send, and returns true if the budget allows it.
    pub(crate) fn try_lend_extra(
        &mut self,
        limits: &ExtraAttemptLimits,
        burst_part: f64,
        now: MonoTime,
    ) -> bool {
        let is_allowed = self.remaining(limits, burst_part, now) >= 1.0;
        self.bucket(limits.window, now).extra_attempts += u32::from(is_allowed);
        is_allowed
    }

    /// Takes back an extra attempt that was acquired at `acquired_at` and not sent.
    pub(crate) fn refund_extra(&mut self, limits: &ExtraAttemptLimits, acquired_at: MonoTime) {
        let number = bucket_number(limits.window, acquired_at);
        if let Some(bucket) = self.buckets.iter_mut().find(|b| b.number == number) {
            bucket.extra_attempts = bucket.extra_attempts.saturating_sub(1);
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
        let bucket = self.bucket(limits.window, now);
        match charge {
            AttemptCharge::First | AttemptCharge::Extra | AttemptCharge::Lent => {}
            AttemptCharge::AfterUnreachable => bucket.after_unreachable += 1,
            AttemptCharge::AfterHandover => bucket.after_handover += 1,
        }
    }

    /// Returns the number of extra attempts that the budget still allows; negative if overdrawn.
    ///
    /// `burst_part` is this VM's part of the burst.
    pub(crate) fn remaining(
        &self,
        limits: &ExtraAttemptLimits,
        burst_part: f64,
        now: MonoTime,
    ) -> f64 {
        let totals = self.totals(limits.window, now);
        let granted = limits.share * f64::from(totals.first_attempts) + burst_part;
        granted * USABLE_SHARE - f64::from(totals.extra_attempts)
    }

    pub(crate) fn snapshot(
        &self,
        service: &Arc<str>,
        limits: &ExtraAttemptLimits,
        burst_part: f64,
        now: MonoTime,
    ) -> BudgetSnapshot {
        let totals = self.totals(limits.window, now);
        BudgetSnapshot {
            service: Arc::clone(service),
            first_attempts: totals.first_attempts,
            extra_attempts: totals.extra_attempts,
            after_unreachable: totals.after_unreachable,
            after_handover: totals.after_handover,
            denied: totals.denied,
            remaining: self.remaining(limits, burst_part, now),
            burst_part,
        }
    }

    /// Returns the counts of the whole window.
    fn totals(&self, window: Duration, now: MonoTime) -> CountBucket {
        let current = bucket_number(window, now);
        let span = BUCKETS as u64;
        let in_window = self.buckets.iter().filter(|b| b.number + span > current);
        let mut totals = CountBucket::default();
        for bucket in in_window {
            totals.first_attempts += bucket.first_attempts;
            totals.extra_attempts += bucket.extra_attempts;
            totals.after_unreachable += bucket.after_unreachable;
            totals.after_handover += bucket.after_handover;
            totals.denied += bucket.denied;
        }
        totals
    }

    /// Returns the bucket for `now`, cleared if its counts are from an earlier window.
    fn bucket(&mut self, window: Duration, now: MonoTime) -> &mut CountBucket {
        let number = bucket_number(window, now);
        let index = usize::try_from(number % BUCKETS as u64).unwrap_or_default();
        let bucket = &mut self.buckets[index];
        if bucket.number != number {
            *bucket = CountBucket {
                number,
                ..CountBucket::default()
            };
        }
        bucket
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
