//! Counts and logs requests.

use std::{fmt, net::SocketAddr, sync::Arc, time::Duration};

use fulmarweir_base::{MonoTime, RunVerdict, lock};
use fulmarweir_conf::{RouteRule, RouteTable, TenantRule};
use http::{HeaderValue, StatusCode};

use super::{
    driver::RelayStats, entry::EntryNode, quota::QuotaRefusal, request_log::RequestLine,
    response::RelayResponse,
};

/// Arrival time, deadlines and latency objective of one request.
#[derive(Clone, Copy, Debug)]
pub(super) struct RequestTimes {
    pub(super) arrived_at: MonoTime,
    pub(super) soft_deadline: MonoTime,
    pub(super) deadline: MonoTime,
    pub(super) latency_objective: Duration,
}

/// A request that is answered without being relayed.
#[derive(Clone, Copy)]
pub(super) struct EarlyRequest<'a> {
    pub(super) id: Option<&'a HeaderValue>,
    pub(super) arrived_at: MonoTime,
    /// `None` if the route is not known.
    pub(super) route: Option<&'a RouteRule>,
    pub(super) tenant: Option<&'a TenantRule>,
}

/// The properties of a request that its log line shows.
pub(super) struct LogContext<'a> {
    pub(super) table: &'a RouteTable,
    pub(super) rule: &'a RouteRule,
    pub(super) tenant: Option<&'a TenantRule>,
    pub(super) request_id: &'a HeaderValue,
    pub(super) times: RequestTimes,
    pub(super) sub_requests: usize,
    /// The first service of the request. The log line shows its budget of extra attempts.
    pub(super) first_service: Option<&'a Arc<str>>,
    /// The other VMs that take part in the request.
    pub(super) other_vm: OtherVm<'a>,
}

/// The other VMs that take part in a request.
#[derive(Clone, Copy, Debug)]
pub(super) enum OtherVm<'a> {
    /// The request was handed over by the VM of this name.
    From(&'a str),
    /// Parts of the request were handed over to the brokers at these addresses.
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

/// Counts and logs a request that was relayed, or refused after its route was known.
pub(super) fn log_request(
    node: &EntryNode,
    context: &LogContext<'_>,
    outcome: &'static str,
    response_status: StatusCode,
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
    if response_status.is_success() && !is_handover {
        node.metrics.observe_latency(context.rule, took);
    }
    let is_incomplete = !response_status.is_success() || stats.missing > 0;
    let detail = if is_incomplete && node.request_log.can_write_degraded_line(now) {
        target_detail(node, stats, now)
    } else {
        String::new()
    };
    let line = RequestLine {
        request: context.request_id.to_str().unwrap_or("unreadable"),
        route: Some(context.rule),
        tenant: tenant_label(context.tenant),
        config_version: context.table.version,
        outcome,
        status: response_status.as_u16(),
        verdict: stats.verdict.as_str(),
        took,
        latency_objective: context.times.latency_objective,
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

/// Returns what log lines show for the tenant of a request.
fn tenant_label(tenant: Option<&TenantRule>) -> &str {
    tenant.map_or("none", |tenant| &tenant.name)
}

/// Describes the last fault, the request if it is held back, and the targets of unanswered services as seen by this VM.
fn target_detail(node: &EntryNode, stats: &RelayStats, now: MonoTime) -> String {
    use std::fmt::Write as _;
    /// Most services that one log line describes.
    const SERVICES_MAX: usize = 2;
    let mut detail = String::new();
    let missing = stats.missing_services.iter();
    if let Some(fault) = stats.last_fault {
        let _ = write!(detail, "fault={fault} ");
    }
    if let Some(status) = stats.failure_status {
        let _ = write!(detail, "target_status={} ", status.as_u16());
    }
    let selector = lock(&node.selector);
    if selector.is_held_back(stats.fingerprint, now) {
        let _ = write!(detail, "fingerprint={} ", stats.fingerprint);
    }
    for service in missing.take(SERVICES_MAX) {
        let _ = write!(detail, "{service}:");
        for snapshot in selector.target_snapshots(service, now) {
            // Writing to a string does not fail.
            let _ = write!(
                detail,
                " {}({:?} open={} load={:.1}/{} score_ms={:.0} failing={:.2})",
                snapshot.target.id,
                snapshot.target.locality,
                snapshot.in_flight,
                snapshot.load,
                snapshot.target.slots,
                snapshot.score_ms,
                snapshot.failure_rate
            );
        }
        detail.push(' ');
    }
    detail
}

/// Counts a request that is not admitted within the quota of its tenant, and logs it unless it is over
/// the quota: such refusals have a bounded log line for each tenant.
pub(super) fn refuse_for_quota(
    node: &EntryNode,
    early: &EarlyRequest<'_>,
    refusal: QuotaRefusal,
) -> Box<RelayResponse> {
    let (reason, response) = (refusal.reason(), refusal.response());
    if let QuotaRefusal::OverQuota { .. } = refusal {
        node.metrics.count_refusal(reason);
        node.metrics.count_request(reason);
        return Box::new(response);
    }
    refuse_early(node, early, reason, response)
}

/// Counts and logs a request that is answered without being relayed.
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
        tenant: tenant_label(early.tenant),
        config_version: node.config_version().unwrap_or_default(),
        outcome: reason,
        status: response.status().as_u16(),
        verdict: RunVerdict::NotRun.as_str(),
        took: now.since(early.arrived_at),
        latency_objective: Duration::ZERO,
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
