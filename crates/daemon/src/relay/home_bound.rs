//! Counts and logs requests for which nothing in their home regions could be reached.

use fulmarweir_conf::RouteRule;
use fulmarweir_route::{PlacementRule, RefusalReason, RelayOutcome};
use slog::{info, warn};

use super::{
    driver::RelayResult, entry::EntryNode, routed::RoutedRequest, vm_message::HandoverRequest,
};

/// Most services that one log line names.
const SERVICES_MAX: usize = 4;

/// Logs and counts a request of a caller that was refused, or answered without some services, as nothing
/// in its home regions could be reached.
pub(super) fn log_home_bound(node: &EntryNode, routed: &RoutedRequest, result: &RelayResult) {
    let left_out = &result.stats.home_bound_services;
    let outcome = match &result.outcome {
        RelayOutcome::Refused(refusal) if refusal.reason == RefusalReason::HomeBound => "refused",
        RelayOutcome::Answered(_) if !left_out.is_empty() => "shards-omitted",
        _ => return,
    };
    node.metrics.count_home_bound(outcome);
    if node.request_log.acquire_degraded_line(node.timer.now()) {
        let named = left_out.iter().take(SERVICES_MAX);
        let named: Vec<&str> = named.map(|service| &**service).collect();
        info!(node.log, "home-bound";
            "request" => routed.message.request_id.to_str().unwrap_or("unreadable"),
            "route" => &*routed.rule.name, "homes" => routed.message.placement.label(),
            "outcome" => outcome, "left_out" => left_out.len(), "services" => named.join(","),
            "config_version" => routed.table.version);
    } else {
        node.metrics.log_lines_dropped.inc();
    }
}

/// Logs and counts a request with home regions elsewhere, which another VM should not have sent here.
pub(super) fn log_misplaced(
    node: &EntryNode,
    request: &HandoverRequest,
    rule: &RouteRule,
    placement: &PlacementRule,
) {
    node.metrics.count_home_bound("misplaced");
    if node.request_log.acquire_degraded_line(node.timer.now()) {
        warn!(node.log, "handover-misplaced"; "origin" => &*request.origin,
            "route" => &*rule.name, "homes" => placement.label(),
            "config_version" => request.config_version);
    } else {
        node.metrics.log_lines_dropped.inc();
    }
}
