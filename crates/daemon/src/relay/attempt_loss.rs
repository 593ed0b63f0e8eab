//! Finds out what became of the target of an attempt without an answer.
//!
//! A connection ends with its target, but also when a link is reset or a target breaks off an
//! answer. Only if nothing listens at the address any more, what ran there may be to blame.

use std::{sync::Arc, time::Duration};

use fulmarweir_base::{MonoTime, lock};
use fulmarweir_pool::{AddressProbe, RelayFault};
use fulmarweir_route::{RelayAttempt, RelayAttemptOutcome, RelayTarget};
use slog::info;

use super::{driver::RelayMessage, entry::EntryNode};

/// Delay of the second probe of a target whose first one did not tell, in milliseconds: it may have
/// been ending.
const SECOND_PROBE_DELAY_MS: u64 = 150;

/// What the log and the metrics name instead of a result where no probe was sent.
const NOT_PROBED: &str = "not-probed";

/// Returns the outcome of an attempt whose connection ended without an answer; logs and counts it.
pub(super) async fn examine_loss(
    node: &Arc<EntryNode>,
    message: &RelayMessage,
    attempt: &RelayAttempt,
    fault: RelayFault,
    sent_at: MonoTime,
) -> RelayAttemptOutcome {
    let target = &attempt.target;
    let ran_for = node.timer.now().since(sent_at);
    let probe = probe_target(node, target).await;
    let now = node.timer.now();
    let has_ended = probe == Some(AddressProbe::Refusing);
    let (may_be_links, is_in_service) = {
        let selector = lock(&node.selector);
        (
            selector.links().are_doubtful(),
            selector.is_in_service(target, now),
        )
    };
    let has_crashed = has_ended && !may_be_links && is_in_service;
    let address = probe.map_or(NOT_PROBED, AddressProbe::as_str);
    node.metrics.count_attempt_loss(address);
    if node.request_log.acquire_degraded_line(now) {
        info!(node.log, "attempt-lost";
            "request" => message.request_id.to_str().unwrap_or("unreadable"),
            "fingerprint" => %message.fingerprint, "target" => &*target.id,
            "service" => &*target.service, "born_ms" => target.born_ms,
            "fault" => fault.as_str(), "ran_ms" => ran_for.as_millis(),
            "address" => address, "crashed" => has_crashed);
    } else {
        node.metrics.log_lines_dropped.inc();
    }
    if has_crashed {
        return RelayAttemptOutcome::Crashed;
    }
    let is_unclear = matches!(probe, Some(AddressProbe::Closing | AddressProbe::Silent));
    if is_unclear || (has_ended && may_be_links) {
        probe_again(node, target);
    }
    match fault {
        RelayFault::Rejected => RelayAttemptOutcome::Rejected,
        _ => RelayAttemptOutcome::Broken,
    }
}

/// Probes the address of a target, unless its data centre is evacuated.
async fn probe_target(node: &EntryNode, target: &RelayTarget) -> Option<AddressProbe> {
    if lock(&node.selector).is_evacuated(target) {
        return None;
    }
    Some(node.pool.probe(target.address).await)
}

/// Records that nothing listens at the address of `target`, if a request has left it without an
/// answer before.
pub(super) fn record_refused_connection(node: &EntryNode, target: &RelayTarget) {
    let now = node.timer.now();
    node.with_selector(|selector| {
        if selector.has_unanswered(target) {
            selector.record_target_end(target, now);
        }
    });
}

/// Probes a target once more a little later, unless that is due already.
fn probe_again(node: &Arc<EntryNode>, target: &Arc<RelayTarget>) {
    if !lock(&node.probed_again).insert(target.address) {
        return;
    }
    let (task_node, target) = (Arc::clone(node), Arc::clone(target));
    node.detached_tasks.spawn(async move {
        let delay = Duration::from_millis(SECOND_PROBE_DELAY_MS);
        task_node
            .timer
            .sleep_until(task_node.timer.now() + delay)
            .await;
        let is_open = lock(&task_node.selector).has_unanswered(&target);
        if is_open && probe_target(&task_node, &target).await == Some(AddressProbe::Refusing) {
            record_refused_connection(&task_node, &target);
        }
        lock(&task_node.probed_again).remove(&target.address);
    });
}
