//! Admission state of one request class: work in flight, the queue, and completion statistics.

use std::{collections::BTreeMap, time::Duration};

use fulmarweir_base::MonoTime;

use crate::{AdmissionParams, QueueTicket};

/// Weight of the latest run in the moving averages of the run time and its deviation.
const RUN_TIME_WEIGHT: f64 = 0.05;
/// Mean deviations above the mean run time by which a run is expected to have ended.
const DEVIATION_FACTOR: f64 = 3.0;
const RATE_WINDOW_MS: u64 = 200;
const RETRY_AFTER_MIN_MS: u64 = 20;
const RETRY_AFTER_MAX_MS: u64 = 5_000;

/// The requests of one class that are in flight or queued.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClassQueue {
    pub(crate) in_flight: usize,
    pub(crate) waiting: BTreeMap<QueueTicket, AdmissionParams>,
    waiting_sub_queries: usize,
    /// Moving average of the run time, in seconds.
    run_time: f64,
    /// Moving average of the deviation from `run_time`, in seconds.
    run_time_deviation: f64,
    window_start: MonoTime,
    /// Sub-queries that have ended in the current window.
    window_completions: usize,
    /// Sub-queries that end per second.
    completion_rate: Option<f64>,
}

impl ClassQueue {
    /// Returns the time by which a run that starts at `now` has most likely ended.
    ///
    /// Returns `now` while nothing is in flight, so that averages from a past overload cannot
    /// keep causing every request to be refused.
    pub(crate) fn expected_end(&self, now: MonoTime) -> MonoTime {
        if self.in_flight == 0 {
            return now;
        }
        let secs = self.run_time + DEVIATION_FACTOR * self.run_time_deviation;
        now + Duration::from_secs_f64(secs)
    }

    /// Returns the expected queueing time of a new request, or `None` while the completion rate is
    /// unknown.
    pub(crate) fn expected_wait(&self, sub_queries: usize) -> Option<Duration> {
        let rate = self.completion_rate.filter(|rate| *rate > 0.0)?;
        #[expect(clippy::cast_precision_loss, reason = "queues are short")]
        let ahead = (self.waiting_sub_queries + sub_queries) as f64;
        Some(Duration::from_secs_f64((ahead / rate).min(60.0)))
    }

    /// Returns the delay after which a refused request should be retried.
    pub(crate) fn retry_after(&self, sub_queries: usize) -> Duration {
        let wait = self.expected_wait(sub_queries).unwrap_or_default();
        wait.clamp(
            Duration::from_millis(RETRY_AFTER_MIN_MS),
            Duration::from_millis(RETRY_AFTER_MAX_MS),
        )
    }

    /// Records that `sub_queries` sub-queries are no longer in flight.
    pub(crate) fn sub_queries_ended(&mut self, sub_queries: usize, now: MonoTime) {
        self.in_flight = self.in_flight.saturating_sub(sub_queries);
        self.window_completions += sub_queries;
        let elapsed = now.since(self.window_start);
        if elapsed < Duration::from_millis(RATE_WINDOW_MS) {
            return;
        }
        #[expect(clippy::cast_precision_loss, reason = "a window holds few sub-queries")]
        let latest = self.window_completions as f64 / elapsed.as_secs_f64();
        self.completion_rate = Some(
            self.completion_rate
                .map_or(latest, |rate| rate.midpoint(latest)),
        );
        self.window_start = now;
        self.window_completions = 0;
    }

    /// Updates the averages of the run time and its deviation.
    pub(crate) fn run_ended(&mut self, run_time: Duration) {
        let error = run_time.as_secs_f64() - self.run_time;
        self.run_time += RUN_TIME_WEIGHT * error;
        self.run_time_deviation += RUN_TIME_WEIGHT * (error.abs() - self.run_time_deviation);
    }

    pub(crate) fn insert(&mut self, ticket: QueueTicket, params: AdmissionParams) {
        self.waiting.insert(ticket, params);
        self.waiting_sub_queries += params.sub_queries;
    }

    /// Removes a queued request; returns false if it is not queued.
    pub(crate) fn remove(&mut self, ticket: QueueTicket) -> bool {
        let Some(params) = self.waiting.remove(&ticket) else {
            return false;
        };
        self.waiting_sub_queries -= params.sub_queries;
        true
    }
}
