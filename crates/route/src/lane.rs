//! Requests of one breadth: those in flight, those that wait, and how fast they end.

use std::{collections::BTreeMap, time::Duration};

use fulmarweir_base::MonoTime;

use crate::{AdmissionParams, QueueTicket};

/// Weight of the latest run in the mean run time.
const RUN_TIME_WEIGHT: f64 = 0.05;
/// Mean deviations above the mean run time that must be left at the start of a run.
const RUN_TIME_DEVIATIONS: f64 = 3.0;
const RATE_WINDOW_MS: u64 = 200;
const RETRY_AFTER_MIN_MS: u64 = 20;
const RETRY_AFTER_MAX_MS: u64 = 5_000;

/// Requests of one breadth.
#[derive(Clone, Debug, Default)]
pub(crate) struct BreadthLane {
    pub(crate) in_flight: usize,
    pub(crate) waiting: BTreeMap<QueueTicket, AdmissionParams>,
    waiting_units: usize,
    run_time: f64,
    run_deviation: f64,
    window_start: MonoTime,
    window_units: usize,
    /// Units that end in a second.
    rate: Option<f64>,
}

impl BreadthLane {
    /// When a run that starts now will most likely have ended.
    ///
    /// An idle lane says `now`, so that estimates from an overload that is over
    /// cannot refuse everyone.
    pub(crate) fn ends_by(&self, now: MonoTime) -> MonoTime {
        if self.in_flight == 0 {
            return now;
        }
        let secs = self.run_time + RUN_TIME_DEVIATIONS * self.run_deviation;
        now + Duration::from_secs_f64(secs)
    }

    pub(crate) fn expected_wait(&self, units: usize) -> Option<Duration> {
        let rate = self.rate.filter(|rate| *rate > 0.0)?;
        #[expect(clippy::cast_precision_loss, reason = "queues are short")]
        let ahead = (self.waiting_units + units) as f64;
        Some(Duration::from_secs_f64((ahead / rate).min(60.0)))
    }

    pub(crate) fn retry_after(&self, units: usize) -> Duration {
        let wait = self.expected_wait(units).unwrap_or_default();
        wait.clamp(
            Duration::from_millis(RETRY_AFTER_MIN_MS),
            Duration::from_millis(RETRY_AFTER_MAX_MS),
        )
    }

    /// Counts `units` sub-queries that no longer are in flight.
    pub(crate) fn units_ended(&mut self, units: usize, now: MonoTime) {
        self.in_flight = self.in_flight.saturating_sub(units);
        self.window_units += units;
        let elapsed = now.since(self.window_start);
        if elapsed < Duration::from_millis(RATE_WINDOW_MS) {
            return;
        }
        #[expect(clippy::cast_precision_loss, reason = "a window holds few units")]
        let latest = self.window_units as f64 / elapsed.as_secs_f64();
        self.rate = Some(self.rate.map_or(latest, |rate| rate.midpoint(latest)));
        self.window_start = now;
        self.window_units = 0;
    }

    /// Learns how long runs take.
    pub(crate) fn run_ended(&mut self, run_time: Duration) {
        let error = run_time.as_secs_f64() - self.run_time;
        self.run_time += RUN_TIME_WEIGHT * error;
        self.run_deviation += RUN_TIME_WEIGHT * (error.abs() - self.run_deviation);
    }

    pub(crate) fn insert(&mut self, ticket: QueueTicket, params: AdmissionParams) {
        self.waiting.insert(ticket, params);
        self.waiting_units += params.units;
    }

    pub(crate) fn remove(&mut self, ticket: QueueTicket) -> bool {
        let Some(params) = self.waiting.remove(&ticket) else {
            return false;
        };
        self.waiting_units -= params.units;
        true
    }
}
