//! Latency quantiles of the sub-queries of one service.

use std::time::Duration;

use fulmarweir_base::MonoTime;
use hdrhistogram::Histogram;

const WINDOW_MS: u64 = 5_000;
const WINDOW_MIN_SAMPLES: u64 = 50;
const LATENCY_MAX_MICROS: u64 = 60_000_000;
const SIGNIFICANT_DIGITS: u8 = 2;
/// Share of attempts that count as slow, as a multiple of the extra load.
///
/// May exceed 1, because the hedge delay grows as the retry budget is used up.
const SLOW_SHARE_FACTOR: f64 = 1.4;
/// Samples after which the quantiles are computed again.
const REFRESH_SAMPLES: u32 = 128;

/// Quantiles of the current window, or of the previous one while the current has few samples.
/// They are cached between refreshes.
#[derive(Clone, Debug)]
pub(crate) struct LatencyQuantiles {
    current: Histogram<u32>,
    previous: Histogram<u32>,
    rotated_at: MonoTime,
    samples_since_refresh: u32,
    slow_share: f64,
    median: Option<Duration>,
    hedge_delay: Option<Duration>,
}

impl Default for LatencyQuantiles {
    fn default() -> Self {
        let empty = Histogram::new_with_bounds(1, LATENCY_MAX_MICROS, SIGNIFICANT_DIGITS)
            .expect("constant bounds are valid");
        Self {
            current: empty.clone(),
            previous: empty,
            rotated_at: MonoTime::ZERO,
            samples_since_refresh: 0,
            slow_share: 0.0,
            median: None,
            hedge_delay: None,
        }
    }
}

impl LatencyQuantiles {
    /// Sets the service's share of extra attempts, which determines the share of attempts that
    /// count as slow.
    pub(crate) fn set_extra_load(&mut self, extra_load: f64) {
        self.slow_share = extra_load.clamp(0.0, 1.0) * SLOW_SHARE_FACTOR;
    }

    /// Records the latency of an answered attempt.
    pub(crate) fn record(&mut self, now: MonoTime, latency: Duration) {
        let micros = u64::try_from(latency.as_micros()).unwrap_or(LATENCY_MAX_MICROS);
        self.current.saturating_record(micros.max(1));
        self.samples_since_refresh += 1;
        if self.samples_since_refresh >= REFRESH_SAMPLES || self.median.is_none() {
            self.refresh();
        }
        self.rotate(now);
    }

    /// Records an attempt that was cancelled after `elapsed`, so that its latency is at least
    /// `elapsed`.
    ///
    /// From the hedge delay on, `elapsed` is recorded as the latency: quantiles up to the hedge
    /// delay stay correct. Attempts cancelled earlier are ignored.
    pub(crate) fn record_unfinished(&mut self, now: MonoTime, elapsed: Duration) {
        if self.hedge_delay.is_some_and(|delay| elapsed >= delay) {
            self.record(now, elapsed);
        }
    }

    /// Returns the median latency, once known.
    pub(crate) fn median(&self) -> Option<Duration> {
        self.median
    }

    /// Returns the time after which an attempt counts as slow, once known.
    pub(crate) fn hedge_delay(&self) -> Option<Duration> {
        self.hedge_delay
    }

    fn rotate(&mut self, now: MonoTime) {
        let full = self.current.len() >= WINDOW_MIN_SAMPLES;
        if !full || now.since(self.rotated_at) < Duration::from_millis(WINDOW_MS) {
            return;
        }
        std::mem::swap(&mut self.current, &mut self.previous);
        self.current.reset();
        self.rotated_at = now;
    }

    fn refresh(&mut self) {
        self.samples_since_refresh = 0;
        let source = if self.current.len() >= WINDOW_MIN_SAMPLES || self.previous.is_empty() {
            &self.current
        } else {
            &self.previous
        };
        let at = |quantile| Duration::from_micros(source.value_at_quantile(quantile));
        self.median = Some(at(0.5));
        let enough = source.len() >= WINDOW_MIN_SAMPLES;
        self.hedge_delay = enough.then(|| at(1.0 - self.slow_share));
    }
}
