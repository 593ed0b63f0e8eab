//! How a rate is granted and how its permits are held.

use std::time::Duration;

use crate::key::{RateKey, RateLimit};

/// Most keepers that grant permits. Each may have saved up a few permits whatever the rate is, which
/// come on top of the burst.
pub const GRANTORS_MAX: usize = 5;
/// The same number, by which what is saved up whatever the rate is, is divided.
const GRANTORS: f64 = 5.0;
/// Lowest rate in requests per second, so that no time until the next permit is unbounded.
const RATE_MIN: f64 = 0.05;
/// Highest rate in requests per second, above which there is no limit in effect.
const RATE_MAX: f64 = 1e6;
/// Time for which a VM counts as one that asks, in milliseconds. VMs that were refused ask the other
/// keepers, so most of them have got a permit by then.
const ASKER_TTL_MS: u64 = 500;
/// Longest time for which permits are saved up, for tenants whose burst is large against the rate.
const BURST_SPAN_MAX: Duration = Duration::from_mins(10);

/// Time after which a permit for a tenant expires, in milliseconds. In a window of 5 s as many
/// requests run as permits were granted in that time and this one, and the bound leaves a tenth.
const TENANT_PERMIT_TTL_MS: u64 = 500;
/// Time for which permits for a tenant are asked for in advance, in milliseconds.
const TENANT_ADVANCE_MS: u64 = 250;
/// Permits that a keeper saves up for a tenant at least. With one permit each, two requests at once
/// in one data centre would need calls to other data centres.
const TENANT_BUCKET_MIN: f64 = 3.0;
/// Share of a tenant's rate, and requests per second beyond it, that all VMs without a keeper use
/// together. Both fit into what the bound of a tenant leaves above the rate.
const TENANT_ALONE_SHARE: f64 = 0.02;
const TENANT_ALONE_PER_S: f64 = 0.8;

/// Time after which a permit for a cold target expires, in milliseconds. In a second as many requests
/// are sent as permits were granted in that time and this one.
const COLD_PERMIT_TTL_MS: u64 = 200;
/// Time for which permits for a cold target are saved up beyond one at each grantor, in seconds. With
/// the share of VMs without a keeper, this keeps any second below 1.5 times the rate and 5 more.
const COLD_BURST_SPAN_S: f64 = 0.18;
/// Time for which permits for a cold target are asked for in advance, in milliseconds.
const COLD_ADVANCE_MS: u64 = 100;
/// Share of the rate of a cold target that all VMs without a keeper use together.
const COLD_ALONE_SHARE: f64 = 0.1;

/// How a rate is granted and how its permits are held.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RatePolicy {
    /// Requests per second, over all VMs.
    pub per_second: f64,
    /// Time for which permits that nobody asks for are saved up.
    pub burst_span: Duration,
    /// Number of permits that each grantor saves up at least, 1 or more.
    pub bucket_min: f64,
    /// Time after which a permit expires, counted from when it was asked for. Permits that a lost VM
    /// held are of no use for longer.
    pub permit_ttl: Duration,
    /// Time for which permits are asked for in advance.
    pub advance: Duration,
    /// Time for which a VM that did not get all that it asked for counts as one that asks again.
    pub asker_ttl: Duration,
    /// Requests per second that all VMs without a keeper send together.
    pub alone_per_second: f64,
}

impl RatePolicy {
    /// Returns how the rate of `key` is granted.
    #[must_use]
    pub fn of(key: &RateKey, limit: RateLimit) -> Self {
        let per_second = limit.per_second.clamp(RATE_MIN, RATE_MAX);
        match key {
            RateKey::Cold { .. } => Self {
                per_second,
                burst_span: Duration::ZERO,
                bucket_min: 1.0 + per_second * COLD_BURST_SPAN_S / GRANTORS,
                permit_ttl: Duration::from_millis(COLD_PERMIT_TTL_MS),
                advance: Duration::from_millis(COLD_ADVANCE_MS),
                asker_ttl: Duration::from_millis(ASKER_TTL_MS),
                alone_per_second: per_second * COLD_ALONE_SHARE,
            },
            RateKey::Tenant(_) => {
                let span = Duration::try_from_secs_f64(limit.burst / per_second);
                Self {
                    per_second,
                    burst_span: span.unwrap_or(BURST_SPAN_MAX).min(BURST_SPAN_MAX),
                    bucket_min: TENANT_BUCKET_MIN,
                    permit_ttl: Duration::from_millis(TENANT_PERMIT_TTL_MS),
                    advance: Duration::from_millis(TENANT_ADVANCE_MS),
                    asker_ttl: Duration::from_millis(ASKER_TTL_MS),
                    alone_per_second: per_second * TENANT_ALONE_SHARE + TENANT_ALONE_PER_S,
                }
            }
        }
    }

    /// Returns the part of this rate that each of `grantors` grants.
    #[must_use]
    pub fn part_of(self, grantors: usize) -> Self {
        #[expect(clippy::cast_precision_loss, reason = "a small count")]
        let per_second = self.per_second / grantors.max(1) as f64;
        Self { per_second, ..self }
    }

    /// Returns the part of the rate of `key` that each of `grantors` grants. Fewer grantors save up
    /// as many permits together.
    pub(crate) fn grantor_part(key: &RateKey, limit: RateLimit, grantors: usize) -> Self {
        let part = Self::of(key, limit).part_of(grantors);
        #[expect(clippy::cast_precision_loss, reason = "a small count")]
        let factor = GRANTORS / grantors.clamp(1, GRANTORS_MAX) as f64;
        Self {
            bucket_min: part.bucket_min * factor,
            ..part
        }
    }

    /// Returns the most permits that are saved up at a rate of [`Self::per_second`].
    pub(crate) fn bucket_size(&self) -> f64 {
        (self.per_second * self.burst_span.as_secs_f64()).max(self.bucket_min)
    }
}
