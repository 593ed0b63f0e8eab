//! Sheds load when this VM is overloaded.
//!
//! Load pattern: more requests than this VM has CPU time for. The event loop then lags, every
//! response is late, and the requests that have waited longest benefit least from theirs.

use std::time::Duration;

/// Lag of the event loop above which requests of the lowest priority are refused, in
/// milliseconds.
const SHED_LAG_MIN_MS: f64 = 60.0;
/// Increase of this limit for each priority that is more urgent.
const SHED_LAG_STEP_MS: f64 = 60.0;
/// Lag above which this VM runs no searches for others, which can choose another broker, in
/// milliseconds.
const HANDOVER_LAG_MAX_MS: f64 = 20.0;
/// Weight of the latest sample in the moving average of the lag.
const LAG_SMOOTHING: f64 = 0.3;
/// Most requests in flight, to limit the memory use of this VM.
const IN_FLIGHT_MAX: u64 = 600;
/// The least urgent priority; higher numbers are treated like this one.
const PRIORITY_LOWEST: u32 = 3;

/// Moving average of the event loop's lag.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LoopLag {
    lag_ms: f64,
}

impl LoopLag {
    /// Adds a sample: how much later than requested a timer fired.
    pub(crate) fn record(&mut self, delay: Duration) {
        let delay_ms = delay.as_secs_f64() * 1000.0;
        self.lag_ms += LAG_SMOOTHING * (delay_ms - self.lag_ms);
    }

    /// Returns the average lag.
    pub(crate) fn lag(self) -> Duration {
        Duration::from_secs_f64(self.lag_ms.max(0.0) / 1000.0)
    }

    /// Whether this VM has processor time for searches of other VMs.
    ///
    /// Load pattern: one of many VMs is slow for some seconds. Every search that has a part there
    /// waits for it.
    pub(crate) fn accepts_handovers(self, in_flight: u64) -> bool {
        self.lag_ms <= HANDOVER_LAG_MAX_MS && in_flight < IN_FLIGHT_MAX
    }

    /// Returns the time after which to retry a request of `priority` if it must be refused, or else
    /// `None`.
    pub(crate) fn overload_pause(self, priority: u32, in_flight: u64) -> Option<Duration> {
        let urgency = f64::from(PRIORITY_LOWEST.saturating_sub(priority));
        let is_lagging = self.lag_ms > SHED_LAG_MIN_MS + SHED_LAG_STEP_MS * urgency;
        (is_lagging || in_flight >= IN_FLIGHT_MAX)
            .then(|| self.lag() * 2 + Duration::from_millis(50))
    }
}
