//! The adaptive limit on the sub-queries of one service that are in flight.

use std::time::Duration;

use fulmarweir_base::MonoTime;

const INITIAL_LIMIT: f64 = 256.0;
const UPDATE_PERIOD_MS: u64 = 100;
const UPDATE_MIN_SAMPLES: u32 = 50;
/// Share of shed or timed-out sub-queries above which the limit falls.
const OVERLOAD_SHARE_MAX: f64 = 0.02;
/// Mean latency above this multiple of the base latency counts as queueing at the targets.
const LATENCY_TOLERANCE: f64 = 2.0;
const DECREASE_FACTOR: f64 = 0.9;
const INCREASE_FACTOR: f64 = 1.05;
/// Share of the limit that must have been in demand since the last update for the limit to rise.
const INCREASE_MIN_UTILIZATION: f64 = 0.8;
/// Growth of the base latency per update, so that a lasting rise in latency becomes the new base.
const BASE_LATENCY_GROWTH: f64 = 1.002;

/// The outcome of one sub-query, as input to the limit.
#[derive(Clone, Copy, Debug)]
pub(crate) enum LimitSignal {
    /// The target answered after this time.
    Answered(Duration),
    /// The target shed the sub-query, or the sub-query timed out.
    Overloaded,
}

/// A limit that falls when targets queue, shed or time out, and rises while demand is close to it.
#[derive(Clone, Debug)]
pub(crate) struct ConcurrencyLimit {
    limit: f64,
    ceiling: f64,
    /// Sub-queries of the largest request seen; the limit never falls below this number.
    largest_request: f64,
    peak_demand: f64,
    base_latency: Option<f64>,
    answered: u32,
    answered_secs: f64,
    overloaded: u32,
    updated_at: MonoTime,
}

impl Default for ConcurrencyLimit {
    fn default() -> Self {
        Self {
            limit: INITIAL_LIMIT,
            ceiling: f64::INFINITY,
            largest_request: 1.0,
            peak_demand: 0.0,
            base_latency: None,
            answered: 0,
            answered_secs: 0.0,
            overloaded: 0,
            updated_at: MonoTime::ZERO,
        }
    }
}

impl ConcurrencyLimit {
    /// Returns how many sub-queries may be in flight.
    pub(crate) fn current(&self) -> f64 {
        self.limit.min(self.ceiling).max(self.largest_request)
    }

    /// Sets an upper bound on the limit, from the total slots of the targets.
    pub(crate) fn set_ceiling(&mut self, ceiling: f64) {
        self.ceiling = ceiling;
    }

    /// Records the demand for sub-queries, including a new request with `request` sub-queries.
    #[expect(clippy::cast_precision_loss, reason = "few sub-queries are in flight")]
    pub(crate) fn observe(&mut self, demand: usize, request: usize) {
        self.peak_demand = self.peak_demand.max(demand as f64);
        self.largest_request = self.largest_request.max(request as f64);
    }

    /// Records the outcome of a sub-query and updates the limit once enough have been collected.
    pub(crate) fn signal(&mut self, signal: LimitSignal, now: MonoTime) {
        match signal {
            LimitSignal::Answered(latency) => {
                self.answered += 1;
                self.answered_secs += latency.as_secs_f64();
            }
            LimitSignal::Overloaded => self.overloaded += 1,
        }
        let samples = self.answered + self.overloaded;
        let due = now.since(self.updated_at) >= Duration::from_millis(UPDATE_PERIOD_MS);
        if due && samples >= UPDATE_MIN_SAMPLES {
            self.update(now);
        }
    }

    fn update(&mut self, now: MonoTime) {
        if self.is_congested() {
            self.limit = (self.current() * DECREASE_FACTOR).max(self.largest_request);
        } else if self.peak_demand >= self.current() * INCREASE_MIN_UTILIZATION {
            self.limit = (self.current() * INCREASE_FACTOR).min(self.ceiling);
        }
        self.answered = 0;
        self.answered_secs = 0.0;
        self.overloaded = 0;
        self.peak_demand = 0.0;
        self.updated_at = now;
    }

    fn is_congested(&mut self) -> bool {
        let answered = f64::from(self.answered);
        let overloaded = f64::from(self.overloaded);
        let overload = overloaded / (answered + overloaded) > OVERLOAD_SHARE_MAX;
        if self.answered == 0 {
            return overload;
        }
        let mean = self.answered_secs / answered;
        let base = self
            .base_latency
            .map_or(mean, |base| (base * BASE_LATENCY_GROWTH).min(mean));
        self.base_latency = Some(base);
        overload || mean > base * LATENCY_TOLERANCE
    }
}
