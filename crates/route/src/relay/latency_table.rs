//! How long attempts of a route take, and when a second one is worth sending.
//!
//! Load pattern: targets that pause for a moment, so that the slowest of many
//! shards decides when a search is answered.

use std::{collections::HashMap, sync::Arc, time::Duration};

/// Bounds of the histogram's buckets grow by this factor.
const BUCKET_RATIO: f64 = 1.12;
/// Lower bound of the second bucket, in milliseconds.
const BUCKET_FIRST_MS: f64 = 1.0;
const BUCKETS: usize = 96;
/// Weight at which all counts are halved, so that old samples fade.
const WEIGHT_MAX: f64 = 2000.0;
/// Share of attempts that are answered before a second one is sent.
const HEDGE_QUANTILE: f64 = 0.97;
/// Samples before the quantile is used.
const SAMPLES_MIN: f64 = 30.0;
/// Share of the time to the soft deadline that a first attempt may take, at most and without samples.
const SOFT_SHARE_MAX: f64 = 0.45;
/// Shortest pause before a second attempt, in milliseconds.
const HEDGE_MIN_MS: f64 = 5.0;

#[derive(Clone, Debug)]
struct PaceHistogram {
    weights: [f64; BUCKETS],
    total: f64,
    hedge_ms: Option<f64>,
    unread: u32,
}

impl Default for PaceHistogram {
    fn default() -> Self {
        Self {
            weights: [0.0; BUCKETS],
            total: 0.0,
            hedge_ms: None,
            unread: 0,
        }
    }
}

impl PaceHistogram {
    fn record(&mut self, latency_ms: f64) {
        self.weights[bucket_of(latency_ms)] += 1.0;
        self.total += 1.0;
        self.unread += 1;
        if self.total >= WEIGHT_MAX {
            self.weights.iter_mut().for_each(|weight| *weight /= 2.0);
            self.total /= 2.0;
        }
        // Reading the quantile costs a pass over all buckets.
        if self.unread >= 32 {
            self.unread = 0;
            self.hedge_ms = (self.total >= SAMPLES_MIN).then(|| self.quantile(HEDGE_QUANTILE));
        }
    }

    fn quantile(&self, share: f64) -> f64 {
        let mut rest = self.total * share;
        for (bucket, weight) in self.weights.iter().enumerate() {
            rest -= weight;
            if rest <= 0.0 {
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

/// Latencies of attempts by route.
#[derive(Debug, Default)]
pub struct LatencyTable {
    routes: HashMap<Arc<str>, PaceHistogram>,
}

impl LatencyTable {
    /// Takes in how long an attempt took, or how long an unanswered one has taken so far.
    pub fn record(&mut self, route: &Arc<str>, latency: Duration) {
        if !self.routes.contains_key(route) {
            self.routes
                .insert(Arc::clone(route), PaceHistogram::default());
        }
        if let Some(histogram) = self.routes.get_mut(route) {
            histogram.record(latency.as_secs_f64() * 1000.0);
        }
    }

    /// How long to wait for an attempt before a second one is sent.
    #[must_use]
    pub fn hedge_delay(&self, route: &str, soft: Duration) -> Duration {
        let longest = soft.as_secs_f64() * 1000.0 * SOFT_SHARE_MAX;
        let measured = self.routes.get(route).and_then(|known| known.hedge_ms);
        let delay_ms = measured.unwrap_or(longest).min(longest).max(HEDGE_MIN_MS);
        Duration::from_secs_f64(delay_ms / 1000.0)
    }

    /// Drops routes that `keep` does not name.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.routes.retain(|route, _| keep(route));
    }
}
