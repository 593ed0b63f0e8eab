//! The budget of extra attempts (hedges and retries) of one service on this VM.
//!
//! Load pattern: many targets of a service are slow or failing at once, so that every request would
//! send a second attempt and multiply the load. The budget limits extra attempts over a sliding
//! window.

use std::time::Duration;

use fulmarweir_base::MonoTime;
use fulmarweir_conf::ExtraAttemptLimits;

/// Number of buckets into which the sliding window is divided.
const BUCKETS: usize = 20;
/// Share of the granted budget that is used, so that clock differences and late arrivals do not
/// exceed the grant.
const USABLE_SHARE: f64 = 0.85;

/// Attempts in one part of the sliding window.
#[derive(Clone, Copy, Debug, Default)]
struct CountBucket {
    number: u64,
    first_attempts: u32,
    extra_attempts: u32,
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
        vms: u32,
        now: MonoTime,
    ) -> bool {
        if self.remaining(limits, vms, now) < 1.0 {
            return false;
        }
        self.bucket(limits.window, now).extra_attempts += 1;
        true
    }

    /// Returns the number of extra attempts that the budget still allows; negative if overdrawn.
    pub(crate) fn remaining(&self, limits: &ExtraAttemptLimits, vms: u32, now: MonoTime) -> f64 {
        let current = bucket_number(limits.window, now);
        let span = BUCKETS as u64;
        let in_window = self.buckets.iter().filter(|b| b.number + span > current);
        let (first, extra) = in_window.fold((0, 0), |(first, extra), bucket| {
            (first + bucket.first_attempts, extra + bucket.extra_attempts)
        });
        let granted = limits.share * f64::from(first) + limits.burst / f64::from(vms.max(1));
        granted * USABLE_SHARE - f64::from(extra)
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
