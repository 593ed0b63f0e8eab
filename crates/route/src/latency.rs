//! Latency of sub-queries of one service, by quantile.

use std::time::Duration;

use fulmarweir_base::MonoTime;
use hdrhistogram::Histogram;

const WINDOW_MS: u64 = 5_000;
const WINDOW_MIN_SAMPLES: u64 = 50;
const HIGHEST_MICROS: u64 = 60_000_000;
const SIGNIFICANT_DIGITS: u8 = 2;
/// Share of attempts that count as slow, as a multiple of the extra load. It may
/// exceed 1, because the hedge delay grows as the budget is used up.
const SLOW_SHARE_FACTOR: f64 = 1.4;
/// Samples between two computations of the quantiles.
const REFRESH_SAMPLES: u32 = 128;

/// Quantiles over the last one or two windows, cached between refreshes.
#[derive(Clone, Debug)]
pub(crate) struct LatencyEstimate {
    current: Histogram<u32>,
    previous: Histogram<u32>,
    rotated: MonoTime,
    unread: u32,
    slow_share: f64,
    median: Option<Duration>,
    hedge: Option<Duration>,
}

impl Default for LatencyEstimate {
    fn default() -> Self {
        let empty = Histogram::new_with_bounds(1, HIGHEST_MICROS, SIGNIFICANT_DIGITS)
            .expect("constant bounds are valid");
        Self {
            current: empty.clone(),
            previous: empty,
            rotated: MonoTime::ZERO,
            unread: 0,
            slow_share: 0.0,
            median: None,
            hedge: None,
        }
    }
}

impl LatencyEstimate {
    /// Sets the share of extra attempts, which bounds the share that may count as slow.
    pub(crate) fn set_extra_load(&mut self, extra_load: f64) {
        self.slow_share = extra_load.clamp(0.0, 1.0) * SLOW_SHARE_FACTOR;
    }

    /// Adds one sample.
    pub(crate) fn record(&mut self, now: MonoTime, latency: Duration) {
        let micros = u64::try_from(latency.as_micros()).unwrap_or(HIGHEST_MICROS);
        self.current.saturating_record(micros.max(1));
        self.unread += 1;
        if self.unread >= REFRESH_SAMPLES || self.median.is_none() {
            self.refresh();
        }
        self.rotate(now);
    }

    /// Adds an attempt that was given up after `elapsed`.
    ///
    /// Its latency is only known to be longer. Above the hedge delay that is
    /// enough to keep the quantiles up to there right; below, it says nothing.
    pub(crate) fn record_unfinished(&mut self, now: MonoTime, elapsed: Duration) {
        if self.hedge.is_some_and(|delay| elapsed >= delay) {
            self.record(now, elapsed);
        }
    }

    /// Half of the sub-queries take less.
    pub(crate) fn median(&self) -> Option<Duration> {
        self.median
    }

    /// The time after which an attempt counts as slow.
    pub(crate) fn hedge_delay(&self) -> Option<Duration> {
        self.hedge
    }

    fn rotate(&mut self, now: MonoTime) {
        let full = self.current.len() >= WINDOW_MIN_SAMPLES;
        if !full || now.since(self.rotated) < Duration::from_millis(WINDOW_MS) {
            return;
        }
        std::mem::swap(&mut self.current, &mut self.previous);
        self.current.reset();
        self.rotated = now;
    }

    fn refresh(&mut self) {
        self.unread = 0;
        let source = if self.current.len() >= WINDOW_MIN_SAMPLES || self.previous.is_empty() {
            &self.current
        } else {
            &self.previous
        };
        let at = |quantile| Duration::from_micros(source.value_at_quantile(quantile));
        self.median = Some(at(0.5));
        let enough = source.len() >= WINDOW_MIN_SAMPLES;
        self.hedge = enough.then(|| at(1.0 - self.slow_share));
    }
}
