//! One log line for each request, bounded in rate by kind.

use std::{sync::Mutex, time::Duration};

use fulmarweir_base::{MonoTime, lock};
use slog::{Logger, info, warn};

use super::request_account::OtherVm;

/// Lines of requests that went wrong: each second, and at once.
const TROUBLE_PER_S: f64 = 40.0;
const TROUBLE_BURST: f64 = 200.0;
/// Lines of requests that went well: each second, and at once.
const ORDINARY_PER_S: f64 = 1.0;
const ORDINARY_BURST: f64 = 20.0;
/// Time between two counts of left-out lines.
const REPORT_PERIOD_MS: u64 = 10_000;

/// What is told of a request.
pub(crate) struct RequestLine<'a> {
    pub(crate) request: &'a str,
    pub(crate) route: &'a str,
    pub(crate) config_version: u64,
    pub(crate) outcome: &'static str,
    pub(crate) status: u16,
    pub(crate) verdict: &'static str,
    pub(crate) took: Duration,
    pub(crate) objective: Duration,
    pub(crate) time_left: Duration,
    pub(crate) sub_requests: usize,
    pub(crate) missing: usize,
    pub(crate) attempts: u32,
    pub(crate) hedges: u32,
    pub(super) other_vm: OtherVm<'a>,
    /// Reads the budget of extra attempts; only asked for a line that is written.
    pub(crate) extra_left: &'a dyn Fn() -> f64,
    /// What went wrong, with the state of the targets concerned and its age.
    pub(crate) detail: &'a str,
}

impl RequestLine<'_> {
    fn is_trouble(&self) -> bool {
        self.status >= 400 || self.missing > 0 || self.took > self.objective
    }
}

#[derive(Debug)]
struct LineBucket {
    per_s: f64,
    burst: f64,
    tokens: f64,
    filled_at: MonoTime,
}

impl LineBucket {
    const fn new(per_s: f64, burst: f64) -> Self {
        Self {
            per_s,
            burst,
            tokens: burst,
            filled_at: MonoTime::ZERO,
        }
    }

    fn take(&mut self, now: MonoTime) -> bool {
        let gained = now.since(self.filled_at).as_secs_f64() * self.per_s;
        self.tokens = (self.tokens + gained).min(self.burst);
        self.filled_at = now;
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

#[derive(Debug)]
struct LogState {
    trouble: LineBucket,
    ordinary: LineBucket,
    dropped: u64,
    reported_at: MonoTime,
}

/// Writes request lines within the bounds. Troubled requests have a bound of their own, so
/// that a flood of ordinary ones does not push them out.
pub(crate) struct RequestLog {
    log: Logger,
    state: Mutex<LogState>,
}

impl RequestLog {
    pub(crate) fn new(log: Logger) -> Self {
        Self {
            log,
            state: Mutex::new(LogState {
                trouble: LineBucket::new(TROUBLE_PER_S, TROUBLE_BURST),
                ordinary: LineBucket::new(ORDINARY_PER_S, ORDINARY_BURST),
                dropped: 0,
                reported_at: MonoTime::ZERO,
            }),
        }
    }

    /// Writes a line, or counts it as left out; returns whether it was written.
    pub(crate) fn write(&self, line: &RequestLine<'_>, now: MonoTime) -> bool {
        let mut state = lock(&self.state);
        self.report_dropped(&mut state, now);
        let bucket = if line.is_trouble() {
            &mut state.trouble
        } else {
            &mut state.ordinary
        };
        if !bucket.take(now) {
            state.dropped += 1;
            return false;
        }
        drop(state);
        info!(self.log, "request"; "request" => line.request, "route" => line.route,
            "config_version" => line.config_version, "outcome" => line.outcome,
            "status" => line.status, "run" => line.verdict,
            "took_ms" => line.took.as_millis(), "objective_ms" => line.objective.as_millis(),
            "time_left_ms" => line.time_left.as_millis(),
            "lanes" => line.sub_requests, "missing" => line.missing, "attempts" => line.attempts,
            "hedges" => line.hedges, "extra_left" => format_args!("{:.1}", (line.extra_left)()),
            "other_vm" => %line.other_vm,
            "detail" => line.detail);
        true
    }

    /// Takes the room of a line about a troubled request, or counts it as left out.
    pub(crate) fn acquire_degraded_line(&self, now: MonoTime) -> bool {
        let mut state = lock(&self.state);
        let taken = state.trouble.take(now);
        state.dropped += u64::from(!taken);
        taken
    }

    /// Whether a line about a troubled request would be written now.
    pub(crate) fn has_room(&self, now: MonoTime) -> bool {
        let state = lock(&self.state);
        let gained = now.since(state.trouble.filled_at).as_secs_f64() * TROUBLE_PER_S;
        state.trouble.tokens + gained >= 1.0
    }

    fn report_dropped(&self, state: &mut LogState, now: MonoTime) {
        let period = Duration::from_millis(REPORT_PERIOD_MS);
        if state.dropped > 0 && now.since(state.reported_at) >= period {
            warn!(self.log, "request-lines-left-out"; "lines" => state.dropped);
            state.dropped = 0;
            state.reported_at = now;
        }
    }
}
