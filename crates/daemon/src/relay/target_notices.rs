//! Applies what targets say about themselves in their replies, heard by this VM or by a broker.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use fulmarweir_base::MonoTime;
use fulmarweir_base::lock;
use fulmarweir_route::{LimitChange, LimitReport, RelayTarget, StatedLimit, TargetNotice};
use http::HeaderValue;
use slog::info;

use super::{adapter::ReplyNotice, entry::EntryNode, vm_message::NoticeMessage};

/// Who heard a notice.
#[derive(Clone, Copy, Debug)]
pub(super) enum NoticeSource {
    /// This VM, in a reply of the target.
    Reply,
    /// The broker at this address.
    Broker(SocketAddr),
    /// Another VM, which has told the keeper at this address.
    Keeper(SocketAddr),
}

impl NoticeSource {
    pub(super) fn label(self) -> String {
        match self {
            Self::Reply => "reply".to_owned(),
            Self::Broker(address) => format!("broker:{address}"),
            Self::Keeper(address) => format!("keeper:{address}"),
        }
    }
}

/// Returns the notice in a reply, with the times that this deployment grants.
pub(super) fn notice_of(node: &EntryNode, reply: ReplyNotice) -> TargetNotice {
    TargetNotice {
        leaves_within: reply.leaving.then_some(node.settings.bounds.drain_max),
        closed_for: reply.retry_after,
    }
}

/// Puts a notice in force, and logs and counts what it changes.
pub(super) fn apply_notice(
    node: &EntryNode,
    request_id: &HeaderValue,
    target: &RelayTarget,
    notice: TargetNotice,
    source: NoticeSource,
) {
    if notice.is_empty() {
        return;
    }
    let now = node.timer.now();
    let spread = rand::random::<f64>();
    let change = lock(&node.selector).record_notice(target, notice, spread, now);
    let request = request_id.to_str().unwrap_or("unreadable");
    if change.leaving {
        node.metrics.count_target_notice("leaving");
        info!(node.log, "target-leaving"; "request" => request, "target" => &*target.id,
            "service" => &*target.service, "born_ms" => target.born_ms,
            "leaves_within_ms" => millis(notice.leaves_within), "source" => source.label());
    }
    if change.closed {
        node.metrics.count_target_notice("asked-for-time");
        // A target may ask for a short time again and again.
        if node.request_log.acquire_degraded_line(now) {
            info!(node.log, "target-asked-for-time"; "request" => request,
                "target" => &*target.id, "service" => &*target.service,
                "born_ms" => target.born_ms, "closed_for_ms" => millis(notice.closed_for),
                "source" => source.label());
        } else {
            node.metrics.log_lines_dropped.inc();
        }
    }
}

/// Records what a reply to the attempt that was sent at `sent_at` says about the rate of requests
/// that its target takes, and logs and counts what it changes.
pub(super) fn apply_limit(
    node: &EntryNode,
    request_id: &HeaderValue,
    target: &RelayTarget,
    stated: StatedLimit,
    sent_at: MonoTime,
) {
    let now = node.timer.now();
    let request = request_id.to_str().unwrap_or("unreadable");
    if stated == StatedLimit::Unreadable {
        node.metrics.count_target_notice("limit-unreadable");
        if node.request_log.acquire_degraded_line(now) {
            info!(node.log, "target-limit-unreadable"; "request" => request,
                "target" => &*target.id, "service" => &*target.service);
        } else {
            node.metrics.log_lines_dropped.inc();
        }
        return;
    }
    let change = node.with_selector(|s| s.record_limit(target, stated, sent_at, now));
    let Some(change) = change else { return };
    count_limit_change(node, change);
    if node.request_log.acquire_degraded_line(now) {
        info!(node.log, "target-limit"; "request" => request, "target" => &*target.id,
            "service" => &*target.service, "born_ms" => target.born_ms,
            "before" => limit_label(change.before), "after" => limit_label(change.after),
            "source" => NoticeSource::Reply.label(), "age_ms" => now.since(sent_at).as_millis());
    } else {
        node.metrics.log_lines_dropped.inc();
    }
}

/// Records what a keeper knows of the limit of a target, and logs and counts what it changes.
pub(super) fn apply_limit_report(node: &EntryNode, keeper: SocketAddr, report: &LimitReport) {
    let now = node.timer.now();
    let change = node.with_selector(|s| s.record_limit_report(report, now));
    let Some(change) = change else { return };
    count_limit_change(node, change);
    if node.request_log.acquire_degraded_line(now) {
        info!(node.log, "target-limit"; "target" => &*report.target,
            "born_ms" => report.born_ms, "before" => limit_label(change.before),
            "after" => limit_label(change.after),
            "source" => NoticeSource::Keeper(keeper).label(), "age_ms" => report.age.as_millis());
    } else {
        node.metrics.log_lines_dropped.inc();
    }
}

fn count_limit_change(node: &EntryNode, change: LimitChange) {
    let kind = match change.after {
        Some(_) => "limited",
        None => "limit-lifted",
    };
    node.metrics.count_target_notice(kind);
}

/// Formats a limit in requests per second for logs.
fn limit_label(limit: Option<f64>) -> String {
    limit.map_or_else(|| "none".to_owned(), |limit| format!("{limit:.2}"))
}

/// Puts the notices in force that a broker has heard during a search for this VM.
pub(super) fn apply_broker_notices(
    node: &EntryNode,
    request_id: &HeaderValue,
    broker: SocketAddr,
    notices: &[NoticeMessage],
) {
    for message in notices {
        let target =
            lock(&node.selector).find_target(&message.service, &message.target, message.born_ms);
        // An unknown target gets no requests; if it is announced later, its own replies tell.
        let Some(target) = target else { continue };
        let notice = TargetNotice {
            leaves_within: message.leaves_within_ms.map(Duration::from_millis),
            closed_for: message.closed_for_ms.map(Duration::from_millis),
        };
        let source = NoticeSource::Broker(broker);
        apply_notice(node, request_id, &target, notice, source);
    }
}

/// Encodes a notice for the VM that handed over the search.
pub(super) fn encode_notice(target: &RelayTarget, notice: TargetNotice) -> NoticeMessage {
    NoticeMessage {
        service: Arc::clone(&target.service),
        target: Arc::clone(&target.id),
        born_ms: target.born_ms,
        leaves_within_ms: notice.leaves_within.map(|left| millis(Some(left))),
        closed_for_ms: notice.closed_for.map(|left| millis(Some(left))),
    }
}

/// Returns a time in milliseconds, rounded up.
fn millis(time: Option<Duration>) -> u64 {
    let micros = time.unwrap_or_default().as_micros();
    u64::try_from(micros.div_ceil(1_000)).unwrap_or(u64::MAX)
}
