//! Runs what other VMs hand over: shards of searches, and all requests of VMs that have lost their links
//! to targets.

use std::{
    sync::{Arc, atomic::Ordering::Relaxed},
    time::Duration,
};

use fulmarweir_base::{MonoTime, lock};
use fulmarweir_conf::{RouteDestination, RouteRule};
use fulmarweir_route::{PlacementRule, RelayOutcome, RequestOrigin};
use http::StatusCode;
use tokio::sync::oneshot;

use super::{
    driver::{RelayDriver, RelayResult},
    entry::EntryNode,
    handover_message::{decode_head, decode_indexes, decode_repeats, decode_request, encode_reply},
    home_bound::log_misplaced,
    identify::{identify_handover, priority_of},
    request_account::{LogContext, OtherVm, log_request},
    routed::{RoutedRequest, find_rule, relay_params},
    vm_message::{HandoverReply, HandoverRequest, VmReply},
};

/// Why a VM that has lost its links to targets takes no requests of others.
pub(super) const LINKS_LOST: &str = "links-lost";
/// Why a VM outside of the home regions of a request does not run it.
const HOME_BOUND: &str = "home-bound";
/// Longest time until the next part of a rest is returned, in milliseconds.
const REST_PERIOD_MS: u64 = 100;

/// Runs a handover and returns its result, or the reason why it was rejected.
pub(super) async fn serve_handover(node: Arc<EntryNode>, request: HandoverRequest) -> VmReply {
    let routed = match admit_handover(&node, &request) {
        Ok(routed) => routed,
        Err(reason) => {
            node.metrics.count_handover("refused-for-others");
            return VmReply::NotTaken(reason.into());
        }
    };
    let Some(services) = handed_over_services(&routed.rule, &request) else {
        return VmReply::NotTaken("unreadable".into());
    };
    let routed = Arc::new(routed);
    let top_k = match &routed.rule.destination {
        RouteDestination::Gather(gather) => Some(gather.top_k),
        RouteDestination::Split(_) => None,
    };
    let _guard = node.track_request();
    let (sub_requests, first_service) = (services.len(), services.first().cloned());
    let mut params = relay_params(&node, &routed, services);
    params.origin = RequestOrigin::OtherVm {
        repeats: decode_repeats(&request),
    };
    // Another request than a search that is sent to one target at most, or must not run twice, goes to
    // no second VM.
    let may_repeat = routed.rule.idempotent && routed.rule.targets_max > 1;
    let may_go_elsewhere = top_k.is_some() || may_repeat;
    params.reserved_centre = may_go_elsewhere.then(|| Arc::clone(&node.settings.centre));
    if !request.repeats.is_empty() {
        // It is late already, so a second attempt at once would gain nothing.
        let objective = routed.rule.latency_objective;
        params.hedge_delay = lock(&node.latency_table).hedge_delay(&routed.rule.key(), objective);
    }
    let position = |index: &u16| request.sub_requests.iter().position(|i| i == index);
    params.lent_extra = request.lent_extra.iter().filter_map(position).collect();
    if top_k.is_some() {
        params.is_handover = true;
        // After the soft deadline, the origin can still query the missing shards itself.
        params.deadline = params.soft_deadline;
    }
    let own = Arc::clone(&routed);
    let (mut driver, actions) = RelayDriver::start(Arc::clone(&node), own, params, Vec::new());
    let outcome = driver.run_to_outcome(actions).await;
    let result = driver.take_result(outcome);
    log_handover(
        &node,
        &routed,
        &request.origin,
        sub_requests,
        first_service.as_ref(),
        &result,
    );
    let mut reply = encode_reply(&node, &result, &request.sub_requests, top_k);
    if reply.pending.is_empty() || top_k.is_none() {
        driver.release();
    } else {
        let (number, sender) = node.rests.add();
        reply.rest = Some(number);
        let rest = RunningRest {
            driver,
            number,
            sender,
            deadline: routed.times.deadline,
            shards: request.sub_requests,
            top_k,
        };
        let tasks = node.detached_tasks.clone();
        tasks.spawn(run_rest(Arc::clone(&node), rest));
    }
    VmReply::Search(Box::new(reply))
}

/// A handover that has returned a part of its answers.
struct RunningRest {
    driver: RelayDriver,
    /// Number in the table of rests.
    number: u64,
    sender: oneshot::Sender<HandoverReply>,
    deadline: MonoTime,
    /// Indexes of all shards of the handover.
    shards: Vec<u16>,
    top_k: Option<usize>,
}

/// Runs the rest of a handover, in parts, as long as its origin asks for them.
async fn run_rest(node: Arc<EntryNode>, mut rest: RunningRest) {
    loop {
        let part_end = node.timer.now() + Duration::from_millis(REST_PERIOD_MS);
        let actions = rest.driver.resume(part_end, rest.deadline);
        let outcome = tokio::select! {
            outcome = rest.driver.run_to_outcome(actions) => outcome,
            // Dropping the driver abandons the attempts of an origin that has left.
            () = rest.sender.closed() => return,
        };
        if node.rests.remove_unclaimed(rest.number) {
            return rest.driver.release();
        }
        let result = rest.driver.take_result(outcome);
        let mut reply = encode_reply(&node, &result, &rest.shards, rest.top_k);
        if reply.pending.is_empty() {
            // The origin may have left by now.
            let _ = rest.sender.send(reply);
            return rest.driver.release();
        }
        let (number, sender) = node.rests.add();
        reply.rest = Some(number);
        rest.number = number;
        let replied = std::mem::replace(&mut rest.sender, sender).send(reply);
        if replied.is_err() {
            node.rests.remove_unclaimed(number);
            return;
        }
    }
}

/// Returns the services of a handover, or `None` if the route has no such ones.
fn handed_over_services(rule: &RouteRule, request: &HandoverRequest) -> Option<Vec<Arc<str>>> {
    match (&rule.destination, &request.service) {
        (RouteDestination::Gather(gather), None) => {
            let indexes = decode_indexes(&request.sub_requests).into_iter();
            indexes
                .map(|index| gather.shards.get(index).cloned())
                .collect()
        }
        (RouteDestination::Split(services), Some(chosen)) => {
            let is_known = services.iter().any(|known| known.service == *chosen);
            (is_known && request.sub_requests == [0]).then(|| vec![Arc::clone(chosen)])
        }
        _ => None,
    }
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
    let (uri, headers) = decode_head(request).ok_or("unreadable")?;
    let rule = find_rule(&table, &uri, &headers).ok_or("no-route")?;
    let tenant_header = &node.adapter.headers.tenant;
    let named = (&*request.headers, request.tenant_ordinal);
    let tenant = identify_handover(tenant_header, &table, &rule, named)?;
    if lock(&node.selector).links().are_unusable() {
        return Err(LINKS_LOST);
    }
    let in_flight = node.in_flight.load(Relaxed);
    let lag = *lock(&node.lag);
    let has_room = lag.accepts_handovers(in_flight);
    // Without this VM the caller would be refused, so it counts as one of its own.
    let priority = priority_of(&rule, tenant.as_deref());
    let takes_last = request.is_last_resort && lag.overload_pause(priority, in_flight).is_none();
    if !has_room && !takes_last {
        return Err("vm-overloaded");
    }
    let placement = PlacementRule::of(&rule, tenant.as_deref());
    if !node.is_within(&placement) {
        log_misplaced(node, request, &rule, &placement);
        return Err(HOME_BOUND);
    }
    let (message, times) =
        decode_request(node, request, (uri, headers), &rule, placement).ok_or("unreadable")?;
    Ok(RoutedRequest {
        table,
        rule,
        tenant,
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
        tenant: routed.tenant.as_deref(),
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
