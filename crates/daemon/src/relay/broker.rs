//! Runs searches over shards that other VMs hand over.

use std::sync::{Arc, atomic::Ordering::Relaxed};

use fulmarweir_base::lock;
use fulmarweir_conf::RouteDestination;
use fulmarweir_route::RelayOutcome;
use http::StatusCode;

use super::{
    driver::{RelayDriver, RelayResult},
    entry::EntryNode,
    handover_message::{decode_indexes, decode_request, encode_reply},
    request_account::{LogContext, OtherVm, log_request},
    routed::{RoutedRequest, relay_params},
    vm_message::{HandoverRequest, VmReply},
};

/// Runs a handover and returns its result, or the reason why it was rejected.
pub(super) async fn serve_handover(node: Arc<EntryNode>, request: HandoverRequest) -> VmReply {
    let routed = match admit_handover(&node, &request) {
        Ok(routed) => routed,
        Err(reason) => {
            node.metrics.count_handover("refused-for-others");
            return VmReply::NotTaken(reason.into());
        }
    };
    let RouteDestination::Gather(gather) = &routed.rule.destination else {
        return VmReply::NotTaken("no-search".into());
    };
    let indexes = decode_indexes(&request.sub_requests);
    if indexes.iter().any(|index| *index >= gather.shards.len()) {
        return VmReply::NotTaken("unreadable".into());
    }
    let _guard = node.track_request();
    let services = indexes
        .iter()
        .map(|index| Arc::clone(&gather.shards[*index]));
    let mut params = relay_params(&node, &routed.rule, routed.times, services.collect());
    params.is_handover = true;
    let position = |index: &u16| request.sub_requests.iter().position(|i| i == index);
    params.lent_extra = request.lent_extra.iter().filter_map(position).collect();
    // After the soft deadline, the origin can still query the missing shards itself.
    params.deadline = params.soft_deadline;
    let message = Arc::clone(&routed.message);
    let (driver, actions) = RelayDriver::start(Arc::clone(&node), message, params, Vec::new());
    let result = driver.run_to_end(actions).await;
    let first_service = indexes.first().map(|index| &gather.shards[*index]);
    let sub_requests = indexes.len();
    log_handover(
        &node,
        &routed,
        &request.origin,
        sub_requests,
        first_service,
        &result,
    );
    let reply = encode_reply(&node, &result, &request.sub_requests, gather.top_k);
    VmReply::Search(Box::new(reply))
}

fn admit_handover(
    node: &Arc<EntryNode>,
    request: &HandoverRequest,
) -> Result<RoutedRequest, &'static str> {
    if node.is_stopping() {
        return Err("stopping");
    }
    let table = node.table().ok_or("no-config")?;
    // With another configuration version, the answer could be older than one that the caller has
    // already received.
    if table.version != request.config_version {
        return Err("other-config-version");
    }
    let rule = table
        .routes()
        .find(|rule| rule.name == request.route)
        .cloned()
        .ok_or("no-route")?;
    let in_flight = node.in_flight.load(Relaxed);
    if !lock(&node.lag).accepts_handovers(in_flight) {
        return Err("vm-overloaded");
    }
    let (message, times) = decode_request(node, request, &rule).ok_or("unreadable")?;
    Ok(RoutedRequest {
        table,
        rule,
        message: Arc::new(message),
        times,
    })
}

fn log_handover(
    node: &EntryNode,
    routed: &RoutedRequest,
    origin: &str,
    sub_requests: usize,
    first_service: Option<&Arc<str>>,
    result: &RelayResult,
) {
    let status = match &result.outcome {
        RelayOutcome::Answered(_) => StatusCode::OK,
        RelayOutcome::TargetFailure(_) | RelayOutcome::Refused(_) => StatusCode::BAD_GATEWAY,
    };
    let context = LogContext {
        table: &routed.table,
        rule: &routed.rule,
        request_id: &routed.message.request_id,
        times: routed.times,
        sub_requests,
        first_service,
        other_vm: OtherVm::From(origin),
    };
    log_request(
        node,
        &context,
        result.outcome_label(true),
        status,
        &result.stats,
    );
}
