//! Learns which targets are cold: from keepers, from replies of targets, and by asking targets while
//! no keeper tells.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use fulmarweir_base::lock;
use fulmarweir_fleet::TargetAnnouncement;
use fulmarweir_route::{LinkTarget, RelayTarget, WarmUpReport};
use slog::info;

use super::{entry::EntryNode, links::health_request, target_notices::NoticeSource};

/// Records the warm-up of targets in the changes of a keeper.
pub(super) fn record_warm_ups(
    node: &EntryNode,
    keeper: SocketAddr,
    announcements: &[TargetAnnouncement],
) {
    for announcement in announcements {
        let report = WarmUpReport {
            target: Arc::clone(&announcement.id),
            born_ms: announcement.born_ms,
            sequence: Some(announcement.sequence),
            cold_for: Duration::from_millis(announcement.warm_up_ms.into()),
        };
        apply_report(node, &report, NoticeSource::Keeper(keeper));
    }
}

/// Records what a reply of a target says about its warm-up.
pub(super) fn record_cold_reply(node: &EntryNode, target: &RelayTarget, cold_for: Duration) {
    let report = WarmUpReport {
        target: Arc::clone(&target.id),
        born_ms: target.born_ms,
        sequence: None,
        cold_for,
    };
    apply_report(node, &report, NoticeSource::Reply);
}

/// Asks targets that requests need whether they are cold, if no keeper tells.
pub(super) fn check_cold_targets(node: &Arc<EntryNode>) {
    let now = node.timer.now();
    let due = lock(&node.selector).due_cold_checks(rand::random, now);
    for target in due {
        let task_node = Arc::clone(node);
        node.detached_tasks
            .spawn(async move { check_cold_target(&task_node, &target).await });
    }
}

async fn check_cold_target(node: &EntryNode, target: &RelayTarget) {
    let link_target = LinkTarget {
        address: target.address,
        service: Arc::clone(&target.service),
    };
    let Some(request) = health_request(node, &link_target) else {
        return;
    };
    let Ok(reply) = node.pool.request_head(target.address, request).await else {
        return;
    };
    let cold_for = (node.adapter.read_notice)(&reply).cold_for;
    // A target that is healthy and does not say that it is cold is warm.
    if cold_for.is_some() || reply.status.is_success() {
        record_cold_reply(node, target, cold_for.unwrap_or_default());
    }
}

fn apply_report(node: &EntryNode, report: &WarmUpReport, source: NoticeSource) {
    let now = node.timer.now();
    let Some(cold_until) = lock(&node.selector).record_warm_up(report, now) else {
        return;
    };
    let cold_ms = cold_until.since(now).as_millis();
    let kind = if cold_ms > 0 { "cold" } else { "warm" };
    node.metrics.count_target_notice(kind);
    if node.request_log.acquire_degraded_line(now) {
        info!(node.log, "target-cold"; "target" => &*report.target, "born_ms" => report.born_ms,
            "cold_ms" => cold_ms, "source" => source.label());
    } else {
        node.metrics.log_lines_dropped.inc();
    }
}
