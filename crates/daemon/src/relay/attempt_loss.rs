//! Finds out what became of the target of an attempt whose connection ended without an answer.

use fulmarweir_base::MonoTime;
use fulmarweir_pool::{AddressProbe, RelayFault};
use fulmarweir_route::RelayAttempt;
use slog::info;

use super::{driver::RelayMessage, entry::EntryNode};

/// Probes the target of a lost attempt, and logs and counts the loss.
pub(super) async fn examine_loss(
    node: &EntryNode,
    message: &RelayMessage,
    attempt: &RelayAttempt,
    fault: RelayFault,
    sent_at: MonoTime,
) -> AddressProbe {
    let ran_for = node.timer.now().since(sent_at);
    let probe = node.pool.probe(attempt.target.address).await;
    node.metrics.count_attempt_loss(probe.as_str());
    if node.request_log.acquire_degraded_line(node.timer.now()) {
        info!(node.log, "attempt-lost";
            "request" => message.request_id.to_str().unwrap_or("unreadable"),
            "fingerprint" => %message.fingerprint, "target" => &*attempt.target.id,
            "service" => &*attempt.target.service, "born_ms" => attempt.target.born_ms,
            "fault" => fault.as_str(), "ran_ms" => ran_for.as_millis(),
            "address" => probe.as_str());
    } else {
        node.metrics.log_lines_dropped.inc();
    }
    probe
}
