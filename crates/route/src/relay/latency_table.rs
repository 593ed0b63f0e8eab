//! Latency histograms by route, from which the delay before a hedge is derived.
//!
//! Load pattern: targets pause for a moment, so that without hedges the slowest of many shards
//! determines the latency of a search.

use std::{collections::HashMap, time::Duration};

use fulmarweir_conf::RouteKey;

/// Ratio of the bounds of two adjacent histogram buckets.
const BUCKET_RATIO: f64 = 1.12;
/// Lower bound of the second bucket.
const BUCKET_FIRST_MS: f64 = 1.0;
const BUCKETS: usize = 96;
/// Total weight at which all bucket weights are halved, so that old samples decay.
const TOTAL_WEIGHT_MAX: f64 = 2000.0;
/// Quantile of the latencies after which a hedge is sent.
const HEDGE_QUANTILE: f64 = 0.97;
/// Minimum number of samples before the quantile is used.
const QUANTILE_SAMPLES_MIN: f64 = 30.0;
/// Upper bound of the hedge delay as a share of the time to the soft deadline; also the delay used
/// without enough samples.
const SOFT_DEADLINE_SHARE_MAX: f64 = 0.45;
/// Lower bound of the hedge delay.
const HEDGE_DELAY_MIN_MS: f64 = 5.0;

/// Exponentially spaced histogram of latencies with decaying weights.
#[derive(Clone, Debug)]
struct LatencyHistogram {
    weights: [f64; BUCKETS],
    total: f64,
    /// Latest value of the hedge quantile, once there are enough samples.
    hedge_delay_ms: Option<f64>,
    /// Samples since the quantile was last computed.
    new_samples: u32,
}

impl Default for LatencyHistogram {
    fn default() -> Self {
        Self {
            weights: [0.0; BUCKETS],
            total: 0.0,
            hedge_delay_ms: None,
            new_samples: 0,
        }
    }
}

impl LatencyHistogram {
    fn record(&mut self, latency_ms: f64) {
        self.weights[bucket_of(latency_ms)] += 1.0;
        self.total += 1.0;
        self.new_samples += 1;
        if self.total >= TOTAL_WEIGHT_MAX {
            self.weights.iter_mut().for_each(|weight| *weight /= 2.0);
            self.total /= 2.0;
        }
        // Computing the quantile requires a pass over all buckets, so it is not done per sample.
        if self.new_samples >= 32 {
            self.new_samples = 0;
            self.hedge_delay_ms =
                (self.total >= QUANTILE_SAMPLES_MIN).then(|| self.quantile(HEDGE_QUANTILE));
        }
    }

    fn quantile(&self, share: f64) -> f64 {
        let mut remaining = self.total * share;
        for (bucket, weight) in self.weights.iter().enumerate() {
            remaining -= weight;
            if remaining <= 0.0 {
                return upper_bound(bucket);
            }
        }
        upper_bound(BUCKETS - 1)
    }
}

fn bucket_of(latency_ms: f64) -> usize {
    let steps = (latency_ms / BUCKET_FIRST_MS).max(1.0).ln() / BUCKET_RATIO.ln();
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "bounded below by zero"
    )]
    let bucket = steps as usize;
    bucket.min(BUCKETS - 1)
}

fn upper_bound(bucket: usize) -> f64 {
    let exponent = i32::try_from(bucket).unwrap_or(i32::MAX).saturating_add(1);
    BUCKET_FIRST_MS * BUCKET_RATIO.powi(exponent)
}

/// Latency histograms of attempts by route.
#[derive(Debug, Default)]
pub struct LatencyTable {
    routes: HashMap<RouteKey, LatencyHistogram>,
}

impl LatencyTable {
    /// Records the latency of an answered attempt, or the age of one that was abandoned.
    pub fn record(&mut self, route: &RouteKey, latency: Duration) {
        if !self.routes.contains_key(route) {
            self.routes
                .insert(route.clone(), LatencyHistogram::default());
        }
        if let Some(histogram) = self.routes.get_mut(route) {
            histogram.record(latency.as_secs_f64() * 1000.0);
        }
    }

    /// Returns how long to wait for an attempt before a hedge is sent.
    ///
    /// `soft` is the time from the arrival of the request to its soft deadline.
    #[must_use]
    pub fn hedge_delay(&self, route: &RouteKey, soft: Duration) -> Duration {
        let delay_max_ms = soft.as_secs_f64() * 1000.0 * SOFT_DEADLINE_SHARE_MAX;
        let measured = self
            .routes
            .get(route)
            .and_then(|known| known.hedge_delay_ms);
        let delay_ms = measured
            .unwrap_or(delay_max_ms)
            .min(delay_max_ms)
            .max(HEDGE_DELAY_MIN_MS);
        Duration::from_secs_f64(delay_ms / 1000.0)
    }

    /// Removes the routes for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&RouteKey) -> bool) {
        self.routes.retain(|route, _| keep(route));
    }
}
