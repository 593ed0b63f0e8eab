//! The part of a rate that one keeper grants.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use fulmarweir_base::MonoTime;

use crate::{key::RateGrant, policy::RatePolicy};

/// Shortest and longest time after which a VM that did not get enough asks again, in milliseconds.
const ASK_AGAIN_MIN_MS: u64 = 20;
const ASK_AGAIN_MAX_MS: u64 = 4_000;
/// VMs ask again after this share of the time in which each of them would find a permit, or later.
const ASK_AGAIN_SHARE_MIN: f64 = 0.4;

/// Who asks for permits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PermitAsker {
    /// Address of the VM.
    pub vm: SocketAddr,
    /// A random number from 0 to 1, by which VMs ask again at different times.
    pub spread: f64,
}

impl RateGrant {
    /// Nothing is granted, and need not be asked for soon.
    #[must_use]
    pub const fn none() -> Self {
        Self {
            granted: 0,
            ask_again_after: Duration::from_millis(ASK_AGAIN_MAX_MS),
        }
    }
}

/// A token bucket, and the VMs that did not get all that they asked of it.
#[derive(Debug)]
pub struct GrantBucket {
    tokens: f64,
    refilled_at: MonoTime,
    /// VMs that lately did not get all that they asked for, and when they asked.
    askers: HashMap<SocketAddr, MonoTime>,
}

impl GrantBucket {
    /// Returns a bucket that is empty at `now`.
    #[must_use]
    pub fn new(now: MonoTime) -> Self {
        Self {
            tokens: 0.0,
            refilled_at: now,
            askers: HashMap::new(),
        }
    }

    /// Adds the tokens of the time since the last refill. `part` is the part of this keeper.
    pub fn refill(&mut self, part: &RatePolicy, now: MonoTime) {
        let gained = part.per_second * now.since(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + gained).min(part.bucket_size());
        self.refilled_at = now;
    }

    /// Credits permits that a VM gives back unused, as far as they fit.
    pub fn credit(&mut self, returned: u32, part: &RatePolicy) {
        self.tokens = (self.tokens + f64::from(returned)).min(part.bucket_size());
    }

    /// Grants permits to a VM. `part` is the part of the rate of this keeper.
    pub fn grant(
        &mut self,
        asker: PermitAsker,
        wanted: u32,
        part: &RatePolicy,
        now: MonoTime,
    ) -> RateGrant {
        self.refill(part, now);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "tokens are not negative and bounded by the highest rate"
        )]
        let granted = wanted.min(self.tokens as u32);
        self.tokens -= f64::from(granted);
        let ttl = part.asker_ttl;
        self.askers.retain(|_, asked_at| now.since(*asked_at) < ttl);
        let ask_again_after = if granted == wanted {
            self.askers.remove(&asker.vm);
            Duration::ZERO
        } else {
            self.askers.insert(asker.vm, now);
            self.ask_again_after(part.per_second, asker.spread)
        };
        RateGrant {
            granted,
            ask_again_after,
        }
    }

    /// Returns when the bucket was last asked.
    pub(crate) const fn refilled_at(&self) -> MonoTime {
        self.refilled_at
    }

    /// Returns after which time a VM should ask again, so that the VMs that ask now find a permit
    /// each, at different times.
    fn ask_again_after(&self, rate: f64, spread: f64) -> Duration {
        #[expect(clippy::cast_precision_loss, reason = "a small count")]
        let seconds = self.askers.len() as f64 / rate;
        let after = Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX);
        let after = after.min(Duration::from_millis(ASK_AGAIN_MAX_MS));
        let share = ASK_AGAIN_SHARE_MIN + spread * (1.0 - ASK_AGAIN_SHARE_MIN);
        after
            .mul_f64(share)
            .max(Duration::from_millis(ASK_AGAIN_MIN_MS))
    }
}
