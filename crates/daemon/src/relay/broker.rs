//! Asking shards for other VMs.

use std::sync::{Arc, atomic::Ordering::Relaxed};

use fulmarweir_base::lock;
use fulmarweir_conf::RouteDestination;
use fulmarweir_route::RelayOutcome;
use http::StatusCode;

use super::{
    driver::{RelayDriver, RelayResult},
    entry::EntryNode,
    handover_message::{decode_indexes, decode_search, encode_result},
    request_account::{LineContext, OtherVm, log_request},
    routed::{RoutedRequest, relay_params},
    vm_message::{HandoverRequest, VmReply},
};

/// Asks shards for another VM, or says why it does not.
pub(super) async fn serve_handover(node: Arc<EntryNode>, search: HandoverRequest) -> VmReply {
    let routed = match admit_handover(&node, &search) {
        Ok(routed) => routed,
        Err(reason) => {
            node.metrics.count_handover("refused-for-others");
            return VmReply::NotTaken(reason.into());
        }
    };
    let RouteDestination::Gather(gather) = &routed.rule.destination else {
        return VmReply::NotTaken("no-search".into());
    };
    let places = decode_indexes(&search.sub_requests);
    if places.iter().any(|place| *place >= gather.shards.len()) {
        return VmReply::NotTaken("unreadable".into());
    }
    let _guard = node.track_request();
    let services = places
        .iter()
        .map(|place| Arc::clone(&gather.shards[*place]));
    let mut params = relay_params(&node, &routed.rule, routed.times, services.collect());
    params.is_handover = true;
    // What is missing then, the asker may ask for itself.
    params.deadline = params.soft_deadline;
    let message = Arc::clone(&routed.message);
    let (driver, actions) = RelayDriver::start(Arc::clone(&node), message, params, Vec::new());
    let result = driver.run_to_end(actions).await;
    let first_service = places.first().map(|place| &gather.shards[*place]);
    let sub_requests = places.len();
    log_handover(
        &node,
        &routed,
        &search.origin,
        sub_requests,
        first_service,
        &result,
    );
    let answer = encode_result(&node, &result, &search.sub_requests, gather.top);
    VmReply::Search(Box::new(answer))
}

fn admit_handover(
    node: &Arc<EntryNode>,
    search: &HandoverRequest,
) -> Result<RoutedRequest, &'static str> {
    if node.is_stopping() {
        return Err("stopping");
    }
    let table = node.table().ok_or("no-config")?;
    // An answer by another version could be older than what this caller has seen.
    if table.version != search.config_version {
        return Err("other-config-version");
    }
    let rule = table
        .routes()
        .find(|rule| rule.name == search.route)
        .cloned()
        .ok_or("no-route")?;
    let in_flight = node.in_flight.load(Relaxed);
    if lock(&node.lag)
        .overload_pause(rule.rank, in_flight)
        .is_some()
    {
        return Err("vm-overloaded");
    }
    let (message, times) = decode_search(node, search, &rule).ok_or("unreadable")?;
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
    let context = LineContext {
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
