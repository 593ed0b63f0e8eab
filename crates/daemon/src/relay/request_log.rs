//! Writes one log line per request, with separate rate limits for degraded and ordinary requests.
//! A degraded request failed, was answered in part, or missed its objective.

use std::{sync::Mutex, time::Duration};

use fulmarweir_base::{MonoTime, lock};
use fulmarweir_conf::RouteRule;
use slog::{Logger, info, warn};

use super::request_account::OtherVm;

/// Rate limit of log lines about degraded requests: lines per second, and largest burst.
const DEGRADED_PER_S: f64 = 40.0;
const DEGRADED_BURST: f64 = 200.0;
/// Rate limit of log lines about ordinary requests: lines per second, and largest burst.
const ORDINARY_PER_S: f64 = 1.0;
const ORDINARY_BURST: f64 = 20.0;
/// Shortest time between two logged counts of dropped lines, in milliseconds.
const REPORT_PERIOD_MS: u64 = 10_000;

/// The content of the log line of a request.
pub(crate) struct RequestLine<'a> {
    pub(crate) request: &'a str,
    pub(crate) route: Option<&'a RouteRule>,
    /// Name of the tenant for which the request runs, `none` without one.
    pub(crate) tenant: &'a str,
    pub(crate) config_version: u64,
    pub(crate) outcome: &'static str,
    pub(crate) status: u16,
    pub(crate) verdict: &'static str,
    pub(crate) took: Duration,
    pub(crate) latency_objective: Duration,
    pub(crate) time_left: Duration,
    pub(crate) sub_requests: usize,
    pub(crate) missing: usize,
    pub(crate) attempts: u32,
    pub(crate) hedges: u32,
    pub(super) other_vm: OtherVm<'a>,
    /// Returns the budget of extra attempts; only called if the line is written.
    pub(crate) extra_left: &'a dyn Fn() -> f64,
    /// The last fault, and the state of the targets concerned or of this VM.
    pub(crate) detail: &'a str,
}

impl RequestLine<'_> {
    fn is_degraded(&self) -> bool {
        self.status >= 400 || self.missing > 0 || self.took > self.latency_objective
    }
}

#[derive(Debug)]
struct TokenBucket {
    rate_per_s: f64,
    burst: f64,
    tokens: f64,
    refilled_at: MonoTime,
}

impl TokenBucket {
    const fn new(rate_per_s: f64, burst: f64) -> Self {
        Self {
            rate_per_s,
            burst,
            tokens: burst,
            refilled_at: MonoTime::ZERO,
        }
    }

    fn try_acquire(&mut self, now: MonoTime) -> bool {
        let gained = now.since(self.refilled_at).as_secs_f64() * self.rate_per_s;
        self.tokens = (self.tokens + gained).min(self.burst);
        self.refilled_at = now;
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

#[derive(Debug)]
struct LogState {
    degraded: TokenBucket,
    ordinary: TokenBucket,
    dropped: u64,
    reported_at: MonoTime,
}

/// Writes request lines within the rate limits. Degraded requests have a limit of their own, so
/// that many ordinary requests do not displace them.
pub(crate) struct RequestLog {
    log: Logger,
    state: Mutex<LogState>,
}

impl RequestLog {
    pub(crate) fn new(log: Logger) -> Self {
        Self {
            log,
            state: Mutex::new(LogState {
                degraded: TokenBucket::new(DEGRADED_PER_S, DEGRADED_BURST),
                ordinary: TokenBucket::new(ORDINARY_PER_S, ORDINARY_BURST),
                dropped: 0,
                reported_at: MonoTime::ZERO,
            }),
        }
    }

    /// Writes a line, or counts it as dropped; returns whether it was written.
    pub(crate) fn write(&self, line: &RequestLine<'_>, now: MonoTime) -> bool {
        let mut state = lock(&self.state);
        self.report_dropped(&mut state, now);
        let bucket = if line.is_degraded() {
            &mut state.degraded
        } else {
            &mut state.ordinary
        };
        if !bucket.try_acquire(now) {
            state.dropped += 1;
            return false;
        }
        drop(state);
        let (route, host, prefix) = line.route.map_or(("none", "none", "none"), |route| {
            (&*route.name, &*route.host, &*route.prefix)
        });
        info!(self.log, "request"; "request" => line.request, "route" => route,
            "host" => host, "prefix" => prefix, "tenant" => line.tenant,
            "config_version" => line.config_version, "outcome" => line.outcome,
            "status" => line.status, "run" => line.verdict,
            "took_ms" => line.took.as_millis(), "objective_ms" => line.latency_objective.as_millis(),
            "time_left_ms" => line.time_left.as_millis(),
            "lanes" => line.sub_requests, "missing" => line.missing, "attempts" => line.attempts,
            "hedges" => line.hedges, "extra_left" => format_args!("{:.1}", (line.extra_left)()),
            "other_vm" => %line.other_vm,
            "detail" => line.detail);
        true
    }

    /// Reserves a line about a degraded request within the rate limit, or counts it as dropped;
    /// returns whether the calling code may write it.
    pub(crate) fn acquire_degraded_line(&self, now: MonoTime) -> bool {
        let mut state = lock(&self.state);
        let acquired = state.degraded.try_acquire(now);
        state.dropped += u64::from(!acquired);
        acquired
    }

    /// Whether a line about a degraded request would be written now.
    pub(crate) fn can_write_degraded_line(&self, now: MonoTime) -> bool {
        let state = lock(&self.state);
        let gained = now.since(state.degraded.refilled_at).as_secs_f64() * DEGRADED_PER_S;
        state.degraded.tokens + gained >= 1.0
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
