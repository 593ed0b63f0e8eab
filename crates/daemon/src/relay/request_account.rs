//! What the log and the counters tell of a request.

use std::{fmt, net::SocketAddr, sync::Arc, time::Duration};

use fulmarweir_base::{MonoTime, RunVerdict, lock};
use fulmarweir_conf::{RouteRule, RouteTable};
use http::{HeaderValue, StatusCode};

use super::{
    driver::RelayStats, entry::EntryNode, request_log::RequestLine, response::RelayResponse,
};

/// Times of one request.
#[derive(Clone, Copy, Debug)]
pub(super) struct RequestTimes {
    pub(super) arrived_at: MonoTime,
    pub(super) soft_deadline: MonoTime,
    pub(super) deadline: MonoTime,
    pub(super) objective: Duration,
}

/// A request that is answered before it is relayed.
#[derive(Clone, Copy)]
pub(super) struct EarlyRequest<'a> {
    pub(super) id: Option<&'a HeaderValue>,
    pub(super) arrived_at: MonoTime,
    pub(super) route: &'a str,
}

/// What a log line tells of the request itself.
pub(super) struct LineContext<'a> {
    pub(super) table: &'a RouteTable,
    pub(super) rule: &'a RouteRule,
    pub(super) request_id: &'a HeaderValue,
    pub(super) times: RequestTimes,
    pub(super) sub_requests: usize,
    /// Its first service, whose budget is told.
    pub(super) first_service: Option<&'a Arc<str>>,
    /// The VMs that share the request with this one.
    pub(super) other_vm: OtherVm<'a>,
}

/// The VMs that share a request with this one.
#[derive(Clone, Copy, Debug)]
pub(super) enum OtherVm<'a> {
    /// It was handed over by the VM of this name.
    From(&'a str),
    /// Parts of it were handed over to the brokers at these addresses.
    To(&'a [SocketAddr]),
}

impl fmt::Display for OtherVm<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::From(name) => write!(f, "from:{name}"),
            Self::To([]) => f.write_str("none"),
            Self::To(addresses) => {
                f.write_str("to")?;
                addresses.iter().try_for_each(|a| write!(f, ":{a}"))
            }
        }
    }
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
    let is_handover = matches!(context.other_vm, OtherVm::From(_));
    if is_handover {
        node.metrics.count_handover("run-for-others");
    } else {
        node.metrics.count_request(outcome);
    }
    if answer_status.is_success() && !is_handover {
        node.metrics.observe_latency(&context.rule.name, took);
    }
    let is_trouble = !answer_status.is_success() || stats.missing > 0;
    let detail = if is_trouble && node.request_log.has_room(now) {
        trouble_detail(node, stats, now)
    } else {
        String::new()
    };
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
        sub_requests: context.sub_requests,
        missing: stats.missing,
        attempts: stats.attempts,
        hedges: stats.hedges,
        other_vm: context.other_vm,
        extra_left: &|| {
            let first = context.first_service;
            first.map_or(0.0, |service| lock(&node.selector).extra_left(service, now))
        },
        detail: &detail,
    };
    if !node.request_log.write(&line, now) {
        node.metrics.log_lines_dropped.inc();
    }
}

/// How the targets of the services without an answer look from here.
fn trouble_detail(node: &EntryNode, stats: &RelayStats, now: MonoTime) -> String {
    use std::fmt::Write as _;
    /// Services that one line describes.
    const SERVICES_MAX: usize = 2;
    let mut detail = String::new();
    let missing = stats.missing_services.iter();
    if let Some(fault) = stats.last_fault {
        let _ = write!(detail, "fault={fault} ");
    }
    let selector = lock(&node.selector);
    for service in missing.take(SERVICES_MAX) {
        let _ = write!(detail, "{service}:");
        for sight in selector.target_snapshots(service, now) {
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
    early: &EarlyRequest<'_>,
    reason: &'static str,
    response: RelayResponse,
) -> Box<RelayResponse> {
    node.metrics.count_refusal(reason);
    node.metrics.count_request(reason);
    let now = node.timer.now();
    let detail = format!(
        "targets={} keepers={} loop_lag_ms={} up_ms={}",
        node.metrics.targets.get(),
        node.metrics.keepers.get(),
        lock(&node.lag).lag().as_millis(),
        node.up_time().as_millis()
    );
    let request = early.id.and_then(|id| id.to_str().ok());
    let line = RequestLine {
        request: request.unwrap_or("none"),
        route: early.route,
        config_version: node.config_version(),
        outcome: reason,
        status: response.status().as_u16(),
        verdict: RunVerdict::NotRun.as_str(),
        took: now.since(early.arrived_at),
        objective: Duration::ZERO,
        time_left: Duration::ZERO,
        sub_requests: 0,
        missing: 0,
        attempts: 0,
        hedges: 0,
        other_vm: OtherVm::To(&[]),
        extra_left: &|| 0.0,
        detail: &detail,
    };
    if !node.request_log.write(&line, now) {
        node.metrics.log_lines_dropped.inc();
    }
    Box::new(response)
}
