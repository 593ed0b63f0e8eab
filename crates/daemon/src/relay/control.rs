//! Handles requests of targets and operators to a keeper.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use fulmarweir_bounds::TrackedConnection;
use fulmarweir_fleet::{AnnounceOutcome, AnnouncedState};
use fulmarweir_quorum::EvacuationOrder;
use http::{Request, StatusCode};
use hyper::body::Incoming;
use slog::{info, warn};

use super::{
    adapter::ControlCall,
    evacuations::{answer_order, confirm_before_config},
    keeper::KeeperNode,
    quarantine_api::{answer_quarantine_call, quarantine_call},
    response::{RelayResponse, json, text, unavailable},
};
use crate::{
    body::{BodyBounds, BodyFault, read_body},
    metrics::OutcomeLabel,
};

/// Largest configuration document, in bytes.
const DOCUMENT_MAX_BYTES: usize = 6 * 1024 * 1024;
/// Largest announcement, in bytes.
const ANNOUNCEMENT_MAX_BYTES: usize = 64 * 1024;
/// Time limit for the body of a call, in milliseconds.
const BODY_TIMEOUT_MS: u64 = 10_000;
/// Memory that is needed to decode a configuration and to send it to the voters, as a multiple of its length.
const DOCUMENT_WORK_FACTOR: usize = 3;
/// Time limit for the voters to decide a configuration, in milliseconds.
const SUBMIT_TIMEOUT_MS: u64 = 3_000;
/// Time limit for the voters to confirm the configuration for a read, in milliseconds.
const READ_TIMEOUT_MS: u64 = 900;
/// Why a call is refused while others use the memory for calls.
const NO_MEMORY: &str = "no memory for the body";
/// Why a departure or an order is not acknowledged yet.
pub(super) const NOT_REPLICATED: &str = "too few keepers have stored it";

/// Handles one request. A call that is still in flight when the process is about to exit is answered
/// 503, which leaves its outcome open: targets and operators repeat it at another keeper.
pub(crate) async fn handle_control(
    node: Arc<KeeperNode>,
    request: Request<Incoming>,
) -> RelayResponse {
    let exiting = node.exiting.clone();
    tokio::select! {
        biased;
        response = answer_control(node, request) => response,
        () = exiting.cancelled() => unavailable("the keeper stops"),
    }
}

async fn answer_control(node: Arc<KeeperNode>, request: Request<Incoming>) -> RelayResponse {
    let (head, body) = request.into_parts();
    if let Some(call) = quarantine_call(&head.method, &head.uri) {
        return answer_quarantine_call(&node, call).await;
    }
    let call = (node.adapter.control_call)(&head.method, head.uri.path());
    let limit = match call {
        Some(ControlCall::WriteConfig) => DOCUMENT_MAX_BYTES,
        _ => ANNOUNCEMENT_MAX_BYTES,
    };
    let bounds = BodyBounds {
        max_bytes: limit,
        timeout: Duration::from_millis(BODY_TIMEOUT_MS),
        memory: &node.call_memory,
        tasks: &node.copy_tasks,
    };
    let body = match read_body(body, &bounds).await {
        Ok(body) => body,
        Err(BodyFault::NoMemory) => return unavailable(NO_MEMORY),
        Err(BodyFault::TimedOut) => return text(StatusCode::REQUEST_TIMEOUT, "body too late"),
        Err(BodyFault::TooLarge | BodyFault::Broken) => {
            return text(StatusCode::PAYLOAD_TOO_LARGE, "body too large or cut short");
        }
    };
    let connection = head.extensions.get::<Arc<TrackedConnection>>();
    let _run = connection.map(TrackedConnection::begin_run);
    match call {
        Some(ControlCall::Announce(id)) => announce(&node, &id, &body).await,
        Some(ControlCall::Withdraw(id)) => {
            node.withdraw(&id);
            if node.replicate_departure(&id).await {
                json(StatusCode::OK, "{}")
            } else {
                unavailable(NOT_REPLICATED)
            }
        }
        Some(ControlCall::ReadConfig) => read_config(&node).await,
        Some(ControlCall::WriteConfig) => write_config(&node, &body).await,
        Some(ControlCall::BeginEvacuation(centre)) => {
            answer_order(&node, EvacuationOrder::Begin, &centre).await
        }
        Some(ControlCall::EndEvacuation(centre)) => {
            answer_order(&node, EvacuationOrder::End, &centre).await
        }
        None => text(StatusCode::NOT_FOUND, "no such call"),
    }
}

async fn announce(node: &Arc<KeeperNode>, id: &Arc<str>, body: &[u8]) -> RelayResponse {
    match (node.adapter.decode_announcement)(id, body) {
        Ok(announcement) => {
            let (outcome, keeper) = node.announce(&announcement);
            let is_departure = announcement.state != AnnouncedState::Serving;
            if is_departure && !node.replicate_departure(id).await {
                return unavailable(NOT_REPLICATED);
            }
            let keeper = (outcome != AnnounceOutcome::Stale).then_some(keeper);
            json(StatusCode::OK, (node.adapter.announcement_reply)(keeper))
        }
        Err(fault) => {
            let label = OutcomeLabel {
                outcome: "unreadable",
            };
            let counter = node.metrics.announcements.get_or_create(&label);
            // A target may send a malformed announcement repeatedly, so it is only logged when the
            // count is a power of two.
            if counter.inc().wrapping_add(1).is_power_of_two() {
                warn!(node.log, "announcement-unreadable"; "target" => &**id, "fault" => &fault);
            }
            text(StatusCode::BAD_REQUEST, fault)
        }
    }
}

/// Returns the newest configuration, confirmed by a majority of the voters.
async fn read_config(node: &KeeperNode) -> RelayResponse {
    let timeout = Duration::from_millis(READ_TIMEOUT_MS);
    match node.quorum.read_config(timeout).await {
        Ok(state) if state.submitted_version().is_some() => {
            if confirm_before_config(node).await {
                node.apply_decided_config(state.version, &state.text, "read");
            }
            json(
                StatusCode::OK,
                Bytes::copy_from_slice(state.text.as_bytes()),
            )
        }
        Ok(_) => unavailable("no configuration yet"),
        Err(report) => {
            warn!(node.log, "config-read-unconfirmed"; "fault" => %report.current_context(),
                "voter_epoch" => node.quorum.voters().epoch);
            unavailable("no majority of the voters answers")
        }
    }
}

async fn write_config(node: &KeeperNode, body: &[u8]) -> RelayResponse {
    let mut work = node.call_memory.lease();
    if work.grow_to(body.len() * DOCUMENT_WORK_FACTOR).is_err() {
        return unavailable(NO_MEMORY);
    }
    let table = match (node.adapter.decode_config)(body) {
        Ok(table) => table,
        Err(fault) => {
            count_config_change(node, "invalid");
            info!(node.log, "config-refused"; "bytes" => body.len(), "fault" => &fault);
            return text(StatusCode::BAD_REQUEST, fault);
        }
    };
    let version = table.version;
    if Some(version) <= node.config_version() {
        count_config_change(node, "known");
        return json(StatusCode::OK, "{}");
    }
    let Ok(document) = std::str::from_utf8(body) else {
        return text(StatusCode::BAD_REQUEST, "the document is not UTF-8");
    };
    let document: Arc<str> = document.into();
    let timeout = Duration::from_millis(SUBMIT_TIMEOUT_MS);
    let submitted = node
        .quorum
        .set_config_if_newer(version, Arc::clone(&document), timeout)
        .await;
    match submitted {
        Ok(held) => {
            // Another operator may have submitted other content under the same version.
            let is_own = held.version == version && held.text == document;
            count_config_change(node, if is_own { "decided" } else { "superseded" });
            info!(node.log, "config-decided"; "version" => version, "held" => held.version,
                "own_content" => is_own, "voter_epoch" => node.quorum.voters().epoch);
            if confirm_before_config(node).await {
                node.apply_decided_config(held.version, &held.text, "operator");
            }
            json(StatusCode::OK, "{}")
        }
        Err(report) => {
            count_config_change(node, "undecided");
            warn!(node.log, "config-undecided"; "version" => version,
                "fault" => %report.current_context(),
                "voter_epoch" => node.quorum.voters().epoch);
            unavailable("the voters did not decide in time")
        }
    }
}

fn count_config_change(node: &KeeperNode, outcome: &'static str) {
    let label = OutcomeLabel { outcome };
    node.metrics.config_changes.get_or_create(&label).inc();
}
