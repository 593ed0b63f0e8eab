//! Runs a request whose route is known: chooses its services and brokers, and builds the response.

use std::sync::Arc;

use fulmarweir_base::lock;
use fulmarweir_conf::{RouteDestination, RouteRule, RouteTable, TenantRule, WeightedService};
use fulmarweir_route::{RelayParams, RequestOrigin};
use http::{HeaderMap, Uri, header, uri::Authority};

use super::{
    answer::build_response,
    driver::{RelayDriver, RelayMessage},
    entry::EntryNode,
    handover::plan_handovers,
    home_bound::log_home_bound,
    identify::priority_of,
    quota::{QuotaPermit, credit_quota},
    request_account::{LogContext, OtherVm, RequestTimes, log_request},
    response::RelayResponse,
};

/// A request whose route is known.
#[derive(Clone)]
pub(super) struct RoutedRequest {
    pub(super) table: Arc<RouteTable>,
    pub(super) rule: Arc<RouteRule>,
    /// The tenant for which the request was admitted, if it has one.
    pub(super) tenant: Option<Arc<TenantRule>>,
    pub(super) message: Arc<RelayMessage>,
    pub(super) times: RequestTimes,
}

/// Returns the route of a request, which its host and its path tell.
pub(super) fn find_rule(
    table: &RouteTable,
    uri: &Uri,
    headers: &HeaderMap,
) -> Option<Arc<RouteRule>> {
    let named = headers
        .get(header::HOST)
        .and_then(|host| host.to_str().ok());
    let host = named.or_else(|| uri.authority().map(Authority::as_str))?;
    table.find(host, uri.path()).cloned()
}

/// Relays a request of a caller and returns the response. `permit` is the one of the tenant's quota.
pub(super) async fn run_routed(
    node: &Arc<EntryNode>,
    routed: RoutedRequest,
    permit: Option<QuotaPermit>,
) -> RelayResponse {
    let routed = Arc::new(routed);
    let services = needed_services(node, &routed);
    let (sub_requests, first_service) = (services.len(), services.first().cloned());
    let mut params = relay_params(node, &routed, services);
    let now = node.timer.now();
    let hands_over = lock(&node.selector).links().hands_over(rand::random(), now);
    params.origin = RequestOrigin::Caller { hands_over };
    let handovers = if hands_over {
        Vec::new()
    } else {
        plan_handovers(node, &routed, &params.services)
    };
    params.handover_groups = handovers.iter().map(|h| h.group.clone()).collect();
    let request = Arc::clone(&routed);
    let (driver, actions) = RelayDriver::start(Arc::clone(node), request, params, handovers);
    let mut result = driver.run_to_end(actions).await;
    if let Some(permit) = &permit
        && result.has_not_run()
    {
        credit_quota(node, permit);
    }
    let response = build_response(node, &routed.rule, &mut result);
    let is_search = matches!(routed.rule.destination, RouteDestination::Gather(_));
    let context = LogContext {
        table: &routed.table,
        rule: &routed.rule,
        tenant: routed.tenant.as_deref(),
        request_id: &routed.message.request_id,
        times: routed.times,
        sub_requests,
        first_service: first_service.as_ref(),
        other_vm: OtherVm::To(&result.stats.brokers),
    };
    log_home_bound(node, &routed, &result);
    let outcome = result.outcome_label(is_search);
    log_request(node, &context, outcome, response.status(), &result.stats);
    response
}

/// Returns the services to which a request is sent. One with home regions goes to a service that has
/// targets there, if any has.
fn needed_services(node: &EntryNode, routed: &RoutedRequest) -> Vec<Arc<str>> {
    let services = match &routed.rule.destination {
        RouteDestination::Gather(gather) => return gather.shards.clone(),
        RouteDestination::Split(services) => services,
    };
    let placement = &routed.message.placement;
    let chosen = if placement.is_unrestricted() || services.len() == 1 {
        choose_service(services)
    } else {
        let now = node.timer.now();
        let selector = lock(&node.selector);
        let in_reach = services
            .iter()
            .filter(|part| !selector.is_out_of_reach(&part.service, placement, now));
        let in_reach: Vec<WeightedService> = in_reach.cloned().collect();
        choose_service(&in_reach).or_else(|| choose_service(services))
    };
    chosen.into_iter().collect()
}

/// Returns the parameters of a request to `services`.
pub(super) fn relay_params(
    node: &EntryNode,
    routed: &RoutedRequest,
    services: Vec<Arc<str>>,
) -> RelayParams {
    let (rule, times) = (&routed.rule, routed.times);
    let coverage_min = match &rule.destination {
        RouteDestination::Gather(gather) => gather.coverage_min,
        RouteDestination::Split(_) => 1.0,
    };
    let soft = times.soft_deadline.since(times.arrived_at);
    RelayParams {
        fingerprint: routed.message.fingerprint,
        placement: routed.message.placement.clone(),
        services,
        idempotent: rule.idempotent,
        targets_max: rule.targets_max,
        priority: priority_of(rule, routed.tenant.as_deref()),
        coverage_min,
        origin: RequestOrigin::default(),
        is_handover: false,
        soft_deadline: times.soft_deadline,
        deadline: times.deadline,
        hedge_delay: lock(&node.latency_table).hedge_delay(&rule.key(), soft),
        handover_groups: Vec::new(),
        lent_extra: Vec::new(),
        reserved_centre: None,
        retry_spread: rand::random(),
    }
}

/// Picks one of the services at random, by weight.
fn choose_service(services: &[WeightedService]) -> Option<Arc<str>> {
    if let [only] = services {
        return Some(Arc::clone(&only.service));
    }
    let total: f64 = services
        .iter()
        .map(|candidate| candidate.weight.max(0.0))
        .sum();
    let mut remaining = rand::random::<f64>() * total;
    for candidate in services {
        remaining -= candidate.weight.max(0.0);
        if remaining < 0.0 {
            return Some(Arc::clone(&candidate.service));
        }
    }
    let last = services
        .iter()
        .rev()
        .find(|candidate| candidate.weight > 0.0);
    last.map(|candidate| Arc::clone(&candidate.service))
}
