//! The budget of extra attempts of one service on this VM, over a sliding window.
//!
//! Load pattern: many targets of a service slow or failing at once, when every
//! request wants a second attempt and would multiply the load.

use std::time::Duration;

use fulmarweir_base::MonoTime;
use fulmarweir_conf::ExtraAllowance;

/// Parts that the window is counted in.
const BUCKETS: usize = 20;
/// Share of the granted budget that is used, so that clocks and late arrivals do not exceed it.
const USED_SHARE: f64 = 0.85;

#[derive(Clone, Copy, Debug, Default)]
struct CountBucket {
    number: u64,
    firsts: u32,
    extras: u32,
}

/// First and extra attempts of the last window.
#[derive(Clone, Debug, Default)]
pub(crate) struct ExtraWindow {
    buckets: [CountBucket; BUCKETS],
}

impl ExtraWindow {
    /// Counts the first attempt of a request.
    pub(crate) fn count_first(&mut self, grant: &ExtraAllowance, now: MonoTime) {
        self.bucket(grant.window, now).firsts += 1;
    }

    /// Counts an extra attempt if the budget allows it.
    pub(crate) fn take_extra(&mut self, grant: &ExtraAllowance, vms: u32, now: MonoTime) -> bool {
        if self.left(grant, vms, now) < 1.0 {
            return false;
        }
        self.bucket(grant.window, now).extras += 1;
        true
    }

    /// Extra attempts that the budget still allows.
    pub(crate) fn left(&self, grant: &ExtraAllowance, vms: u32, now: MonoTime) -> f64 {
        let current = bucket_number(grant.window, now);
        let span = BUCKETS as u64;
        let live = self.buckets.iter().filter(|b| b.number + span > current);
        let (firsts, extras) = live.fold((0, 0), |(firsts, extras), bucket| {
            (firsts + bucket.firsts, extras + bucket.extras)
        });
        let granted = grant.share * f64::from(firsts) + grant.burst / f64::from(vms.max(1));
        granted * USED_SHARE - f64::from(extras)
    }

    fn bucket(&mut self, window: Duration, now: MonoTime) -> &mut CountBucket {
        let number = bucket_number(window, now);
        let place = usize::try_from(number % BUCKETS as u64).unwrap_or_default();
        let bucket = &mut self.buckets[place];
        if bucket.number != number {
            *bucket = CountBucket {
                number,
                ..CountBucket::default()
            };
        }
        bucket
    }
}

/// Numbers start at the length of the ring, so that an untouched bucket is never live.
fn bucket_number(window: Duration, now: MonoTime) -> u64 {
    let width = u64::try_from(window.as_micros()).unwrap_or(u64::MAX) / (BUCKETS as u64 - 1);
    now.as_micros() / width.max(1) + BUCKETS as u64
}
