//! What the log and the counters tell of a request.

use std::{sync::Arc, time::Duration};

use fulmarweir_base::{MonoTime, RunVerdict, lock};
use fulmarweir_conf::{RouteRule, RouteTable};
use http::{HeaderValue, StatusCode};

use super::{
    carrier::RelayStats, entry::EntryNode, request_log::RequestLine, response::RelayResponse,
};

/// Times of one request.
#[derive(Clone, Copy, Debug)]
pub(super) struct RequestTimes {
    pub(super) arrived_at: MonoTime,
    pub(super) soft_deadline: MonoTime,
    pub(super) deadline: MonoTime,
    pub(super) objective: Duration,
}

/// What a log line tells of the request itself.
pub(super) struct LineContext<'a> {
    pub(super) table: &'a RouteTable,
    pub(super) rule: &'a RouteRule,
    pub(super) request_id: &'a HeaderValue,
    pub(super) times: RequestTimes,
    pub(super) lanes: usize,
    pub(super) services: &'a [Arc<str>],
}

/// Counts a request that was relayed, or refused after its route was known, and logs it.
pub(super) fn log_request(
    node: &EntryNode,
    context: &LineContext<'_>,
    outcome: &'static str,
    answer_status: StatusCode,
    stats: &RelayStats,
) {
    let now = node.timer.now();
    let took = now.since(context.times.arrived_at);
    node.metrics.count_request(outcome);
    if answer_status.is_success() {
        node.metrics.observe_latency(&context.rule.name, took);
    }
    let is_trouble = !answer_status.is_success() || stats.missing > 0;
    let detail = if is_trouble && node.requests.has_room(now) {
        trouble_detail(node, context, stats, now)
    } else {
        String::new()
    };
    let first = context.services.first();
    let extra_left = first.map_or(0.0, |service| lock(&node.book).extra_left(service, now));
    let line = RequestLine {
        request: context.request_id.to_str().unwrap_or("unreadable"),
        route: &context.rule.name,
        config_version: context.table.version,
        outcome,
        status: answer_status.as_u16(),
        verdict: stats.verdict.as_str(),
        took,
        objective: context.times.objective,
        time_left: context.times.deadline.since(now),
        lanes: context.lanes,
        missing: stats.missing,
        attempts: stats.attempts,
        hedges: stats.hedges,
        extra_left,
        detail: &detail,
    };
    if !node.requests.write(&line, now) {
        node.metrics.log_lines_dropped.inc();
    }
}

/// How the targets of the services without an answer look from here.
fn trouble_detail(
    node: &EntryNode,
    context: &LineContext<'_>,
    stats: &RelayStats,
    now: MonoTime,
) -> String {
    use std::fmt::Write as _;
    /// Services that one line describes.
    const SERVICES_MAX: usize = 2;
    let mut detail = String::new();
    let missing = stats.missing_services.iter();
    if let Some(fault) = stats.last_fault {
        let _ = write!(detail, "fault={fault} ");
    }
    if context.lanes == 0 {
        let lag = lock(&node.lag).lag();
        let _ = write!(detail, "loop_lag_ms={} ", lag.as_millis());
    }
    let book = lock(&node.book);
    for service in missing.take(SERVICES_MAX) {
        let _ = write!(detail, "{service}:");
        for sight in book.sights(service, now) {
            // Writing to a string does not fail.
            let _ = write!(
                detail,
                " {}({:?} open={} load={:.1}/{} score_ms={:.0} failing={:.2})",
                sight.target.id,
                sight.target.locality,
                sight.in_flight,
                sight.load,
                sight.target.slots,
                sight.score_ms,
                sight.failure_rate
            );
        }
        detail.push(' ');
    }
    detail
}

/// Counts and logs a request that is answered before its route is known.
pub(super) fn refuse_early(
    node: &EntryNode,
    request_id: Option<&HeaderValue>,
    arrived_at: MonoTime,
    reason: &'static str,
    response: RelayResponse,
) -> Box<RelayResponse> {
    node.metrics.count_refusal(reason);
    node.metrics.count_request(reason);
    let now = node.timer.now();
    let detail = format!(
        "targets={} keepers={} up_ms={}",
        node.metrics.targets.get(),
        node.metrics.keepers.get(),
        node.up_time().as_millis()
    );
    let request = request_id.and_then(|id| id.to_str().ok());
    let line = RequestLine {
        request: request.unwrap_or("none"),
        route: "none",
        config_version: node.config_version(),
        outcome: reason,
        status: response.status().as_u16(),
        verdict: RunVerdict::NotRun.as_str(),
        took: now.since(arrived_at),
        objective: Duration::ZERO,
        time_left: Duration::ZERO,
        lanes: 0,
        missing: 0,
        attempts: 0,
        hedges: 0,
        extra_left: 0.0,
        detail: &detail,
    };
    if !node.requests.write(&line, now) {
        node.metrics.log_lines_dropped.inc();
    }
    Box::new(response)
}
