//! Whether this VM takes another request.
//!
//! Load pattern: more requests than this VM has processor time for. Its event loop then
//! falls behind, every answer is late, and the requests that wait have the least use of it.

use std::time::Duration;

/// Lag of the event loop from which on requests of the lowest rank are refused.
const SHED_LAG_MIN_MS: f64 = 60.0;
/// Lag added for each more urgent rank.
const SHED_LAG_STEP_MS: f64 = 60.0;
/// Weight of the latest lag sample.
const LAG_SMOOTHING: f64 = 0.3;
/// Requests in flight that bound the memory of this VM.
const IN_FLIGHT_MAX: u64 = 600;
/// Rank that counts as the lowest.
const RANK_LOWEST: u32 = 3;

/// How far the event loop is behind.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LoopLag {
    lag_ms: f64,
}

impl LoopLag {
    /// Takes in how much later than asked a timer fired.
    pub(crate) fn record(&mut self, delay: Duration) {
        let delay_ms = delay.as_secs_f64() * 1000.0;
        self.lag_ms += LAG_SMOOTHING * (delay_ms - self.lag_ms);
    }

    /// The present lag.
    pub(crate) fn lag(self) -> Duration {
        Duration::from_secs_f64(self.lag_ms.max(0.0) / 1000.0)
    }

    /// When a request of `rank` should come back, if it must be refused now.
    pub(crate) fn overload_pause(self, rank: u32, in_flight: u64) -> Option<Duration> {
        let urgency = f64::from(RANK_LOWEST.saturating_sub(rank));
        let is_lagging = self.lag_ms > SHED_LAG_MIN_MS + SHED_LAG_STEP_MS * urgency;
        (is_lagging || in_flight >= IN_FLIGHT_MAX)
            .then(|| self.lag() * 2 + Duration::from_millis(50))
    }
}
