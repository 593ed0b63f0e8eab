//! The adaptive limit on sub-queries in flight.

use std::time::Duration;

use fulmarweir_base::MonoTime;

const INITIAL_UNITS: f64 = 256.0;
const UPDATE_PERIOD_MS: u64 = 100;
const UPDATE_MIN_SAMPLES: u32 = 50;
/// Share of refused or timed-out sub-queries above which the limit falls.
const FAILURE_SHARE_MAX: f64 = 0.02;
/// Latency above this multiple of the base is taken for queueing at targets.
const LATENCY_TOLERANCE: f64 = 2.0;
const DECREASE_FACTOR: f64 = 0.9;
const INCREASE_FACTOR: f64 = 1.05;
/// Use of the limit above which it may rise.
const USE_TO_INCREASE: f64 = 0.8;
/// Growth of the base in each update, so that lasting changes are adopted.
const BASE_DRIFT: f64 = 1.002;

/// What a sub-query's end says about the targets' room.
#[derive(Clone, Copy, Debug)]
pub(crate) enum LimitSignal {
    Answered(Duration),
    /// Refused to shed load, or timed out.
    Overloaded,
}

/// A limit that falls when targets queue, shed or time out, and rises while it is used in full.
#[derive(Clone, Debug)]
pub(crate) struct SearchLimit {
    units: f64,
    ceiling: f64,
    /// The largest request seen, which must always fit.
    largest: f64,
    high_water: f64,
    base: Option<f64>,
    answered: u32,
    answered_secs: f64,
    overloaded: u32,
    updated: MonoTime,
}

impl Default for SearchLimit {
    fn default() -> Self {
        Self {
            units: INITIAL_UNITS,
            ceiling: f64::INFINITY,
            largest: 1.0,
            high_water: 0.0,
            base: None,
            answered: 0,
            answered_secs: 0.0,
            overloaded: 0,
            updated: MonoTime::ZERO,
        }
    }
}

impl SearchLimit {
    pub(crate) fn units(&self) -> f64 {
        self.units.min(self.ceiling).max(self.largest)
    }

    /// Bounds the limit by what the targets can hold at most.
    pub(crate) fn set_ceiling(&mut self, units: f64) {
        self.ceiling = units;
    }

    /// Notes `in_flight` units wanted, of which one request has `units`.
    #[expect(clippy::cast_precision_loss, reason = "units in flight are few")]
    pub(crate) fn observe(&mut self, in_flight: usize, units: usize) {
        self.high_water = self.high_water.max(in_flight as f64);
        self.largest = self.largest.max(units as f64);
    }

    pub(crate) fn signal(&mut self, signal: LimitSignal, now: MonoTime) {
        match signal {
            LimitSignal::Answered(latency) => {
                self.answered += 1;
                self.answered_secs += latency.as_secs_f64();
            }
            LimitSignal::Overloaded => self.overloaded += 1,
        }
        let samples = self.answered + self.overloaded;
        let due = now.since(self.updated) >= Duration::from_millis(UPDATE_PERIOD_MS);
        if due && samples >= UPDATE_MIN_SAMPLES {
            self.update(now);
        }
    }

    fn update(&mut self, now: MonoTime) {
        if self.is_congested() {
            self.units = (self.units() * DECREASE_FACTOR).max(self.largest);
        } else if self.high_water >= self.units() * USE_TO_INCREASE {
            self.units = (self.units() * INCREASE_FACTOR).min(self.ceiling);
        }
        self.answered = 0;
        self.answered_secs = 0.0;
        self.overloaded = 0;
        self.high_water = 0.0;
        self.updated = now;
    }

    fn is_congested(&mut self) -> bool {
        let answered = f64::from(self.answered);
        let overloaded = f64::from(self.overloaded);
        let shed = overloaded / (answered + overloaded) > FAILURE_SHARE_MAX;
        if self.answered == 0 {
            return shed;
        }
        let mean = self.answered_secs / answered;
        let base = self.base.map_or(mean, |base| (base * BASE_DRIFT).min(mean));
        self.base = Some(base);
        shed || mean > base * LATENCY_TOLERANCE
    }
}
