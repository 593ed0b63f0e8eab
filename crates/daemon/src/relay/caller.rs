//! Handles requests of callers: reads the request, finds its route and checks for overload.

use std::{
    sync::{Arc, atomic::Ordering::Relaxed},
    time::Duration,
};

use bytes::Bytes;
use fulmarweir_base::{MonoTime, lock};
use fulmarweir_bounds::TrackedConnection;
use fulmarweir_conf::{RouteDestination, RouteRule, RouteTable, TenantRule};
use fulmarweir_route::PlacementRule;
use http::{HeaderMap, HeaderValue, Request, StatusCode, Uri, header, request};
use hyper::body::{Body, Incoming};

use super::{
    answer::strip_hop_by_hop_headers,
    driver::RelayMessage,
    entry::EntryNode,
    identify::{identify_caller, identity_refusal, priority_of, set_tenant_headers},
    quota::admit_within_quota,
    request_account::{EarlyRequest, RequestTimes, refuse_early, refuse_for_quota},
    response::{RelayResponse, retry_later, retry_with_status, text},
    routed::{RoutedRequest, find_rule, run_routed},
};
use crate::body::{BodyBounds, BodyFault, drop_rest, read_body};

/// Time reserved for building the response and sending it to the caller, in milliseconds.
const RESPONSE_MARGIN_MS: u64 = 18;
/// `RESPONSE_MARGIN_MS` is limited to the route's objective divided by this number.
const RESPONSE_MARGIN_DIVISOR: u32 = 5;
/// Time before the caller's deadline at which a request fails with a timeout, in milliseconds.
const DEADLINE_MARGIN_MS: u64 = 15;
/// Upper limit of the remaining time that a caller can state, in milliseconds.
const STATED_TIME_MAX_MS: f64 = 86_400_000.0;
/// During startup, a request waits for at most its remaining time divided by this number.
const STARTUP_WAIT_DIVISOR: u32 = 5;
/// `Retry-After` of responses while this VM has no configuration, in milliseconds.
const NO_CONFIG_RETRY_MS: u64 = 300;

/// `Retry-After` of responses while there is no memory for a body, in milliseconds.
const NO_MEMORY_RETRY_MS: u64 = 100;
/// The most urgent priority.
const PRIORITY_HIGHEST: u32 = 0;

/// Why a body was not read, and the response.
type BodyRefusal = (&'static str, EarlyResponse);

/// A response to a request that is not relayed.
type EarlyResponse = Box<RelayResponse>;

/// Handles one request of a caller.
pub(crate) async fn handle_caller(
    node: Arc<EntryNode>,
    request: Request<Incoming>,
) -> RelayResponse {
    let processed = process_request(&node, request).await;
    let mut response = processed.unwrap_or_else(|early| *early);
    if node.is_stopping() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

async fn process_request(
    node: &Arc<EntryNode>,
    request: Request<Incoming>,
) -> Result<RelayResponse, EarlyResponse> {
    let arrived_at = node.timer.now();
    let (head, body) = request.into_parts();
    let startup_wait = time_left(node, &head.headers).unwrap_or_default() / STARTUP_WAIT_DIVISOR;
    node.wait_during_startup(startup_wait, |node| node.table().is_some())
        .await;
    let names = &node.adapter.headers;
    let request_id = head.headers.get(&names.request_id).cloned();
    let unrouted = EarlyRequest {
        id: request_id.as_ref(),
        arrived_at,
        route: None,
        tenant: None,
    };
    let early = |reason, response| refuse_early(node, &unrouted, reason, response);
    let Some(table) = node.table() else {
        let pause = Duration::from_millis(NO_CONFIG_RETRY_MS);
        return Err(early(
            "no-config",
            retry_later("no configuration yet", pause),
        ));
    };
    let body = read_request_body(node, &table, &head, arrived_at, body)
        .await
        .map_err(|(reason, response)| early(reason, *response))?;
    // A request whose body has not arrived takes no place from others.
    let _in_flight = node.track_request();
    let connection = head.extensions.get::<Arc<TrackedConnection>>();
    let _run = connection.map(TrackedConnection::begin_run);
    // A slow body may have taken longer than a change of the configuration.
    let table = node.table().unwrap_or(table);
    let Some(rule) = find_rule(&table, &head.uri, &head.headers) else {
        return Err(early("no-route", no_route()));
    };
    let Some(request_id) = request_id.clone() else {
        let response = text(StatusCode::BAD_REQUEST, "no request id");
        return Err(early("no-request-id", response));
    };
    let identity = identify_caller(node, &table, &rule, &head.headers).map_err(|reason| {
        let routed = EarlyRequest {
            route: Some(&rule),
            ..unrouted
        };
        refuse_early(node, &routed, reason, identity_refusal(reason))
    })?;
    let tenant = identity.tenant().cloned();
    let times = request_times(node, &rule, &head.headers, arrived_at);
    let placement = PlacementRule::of(&rule, tenant.as_deref());
    node.wait_during_startup(startup_wait, |node| has_targets(node, &rule, &placement))
        .await;
    check_room(node, &rule, tenant.as_deref(), times).map_err(|(reason, pause)| {
        let routed = EarlyRequest {
            route: Some(&rule),
            tenant: tenant.as_deref(),
            ..unrouted
        };
        refuse_early(node, &routed, reason, retry_later(reason, pause))
    })?;
    let subject = (&request_id, rule.latency_objective);
    let admitted = admit_within_quota(node, &table, tenant.as_deref(), subject).await;
    let permit = admitted.map_err(|refusal| {
        let routed = EarlyRequest {
            route: Some(&rule),
            tenant: tenant.as_deref(),
            ..unrouted
        };
        refuse_for_quota(node, &routed, refusal)
    })?;
    let mut headers = forwarded_headers(&head.uri, head.headers);
    set_tenant_headers(&names.tenant, &identity, &mut headers);
    let fingerprint = RelayMessage::fingerprint_of(&head.method, &head.uri, &headers, &body);
    let message = RelayMessage {
        fingerprint,
        placement,
        method: head.method,
        uri: origin_form(&head.uri),
        headers,
        body,
        request_id,
        route: rule.key(),
        idempotent: rule.idempotent,
        deadline: times.deadline,
    };
    let routed = RoutedRequest {
        table,
        rule,
        tenant,
        message: Arc::new(message),
        times,
    };
    Ok(run_routed(node, routed, permit).await)
}

/// Checks whether this VM takes one more request. If not, returns the reason and when to retry.
fn check_room(
    node: &EntryNode,
    rule: &RouteRule,
    tenant: Option<&TenantRule>,
    times: RequestTimes,
) -> Result<(), (&'static str, Duration)> {
    if !node.stop_admits(times.deadline) {
        // Another VM can run it at once.
        return Err(("vm-stopping", Duration::ZERO));
    }
    let priority = priority_of(rule, tenant);
    let in_flight = node.in_flight.load(Relaxed);
    let pause = lock(&node.lag).overload_pause(priority, in_flight);
    pause.map_or(Ok(()), |pause| Err(("vm-overloaded", pause)))
}

/// Reads the body of a request. Returns the reason and the response if it is refused; it has not run then.
async fn read_request_body(
    node: &EntryNode,
    table: &RouteTable,
    head: &request::Parts,
    arrived_at: MonoTime,
    body: Incoming,
) -> Result<Bytes, BodyRefusal> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let bounds = match body_bounds(node, table, head, arrived_at) {
        Ok(bounds) => bounds,
        Err(refusal) => {
            // A caller that waits for a leave to send the body gets the refusal instead.
            if !head.headers.contains_key(header::EXPECT) {
                drop_rest(body, &node.detached_tasks);
            }
            return Err(refusal);
        }
    };
    read_body(body, &bounds)
        .await
        .map_err(|fault| body_refusal(node, fault))
}

/// Returns what bounds the body of a request, or a refusal that needs no body.
fn body_bounds<'a>(
    node: &'a EntryNode,
    table: &RouteTable,
    head: &request::Parts,
    arrived_at: MonoTime,
) -> Result<BodyBounds<'a>, BodyRefusal> {
    let max_bytes = table.limits.body_max_bytes;
    let stated = head.headers.get(header::CONTENT_LENGTH);
    let stated = stated.and_then(|value| value.to_str().ok()?.parse::<usize>().ok());
    if stated.is_some_and(|length| length > max_bytes) {
        return Err(body_refusal(node, BodyFault::TooLarge));
    }
    let Some(rule) = find_rule(table, &head.uri, &head.headers) else {
        return Err(("no-route", Box::new(no_route())));
    };
    let in_flight = node.in_flight.load(Relaxed);
    // The tenant may have the highest priority.
    if let Some(pause) = lock(&node.lag).overload_pause(PRIORITY_HIGHEST, in_flight) {
        let reason = "vm-overloaded";
        return Err((reason, Box::new(retry_later(reason, pause))));
    }
    let times = request_times(node, &rule, &head.headers, arrived_at);
    Ok(BodyBounds {
        max_bytes,
        timeout: times.deadline.since(node.timer.now()),
        memory: &node.request_memory,
        tasks: &node.detached_tasks,
    })
}

fn body_refusal(node: &EntryNode, fault: BodyFault) -> BodyRefusal {
    let (reason, response) = match fault {
        BodyFault::TooLarge => {
            let status = StatusCode::PAYLOAD_TOO_LARGE;
            ("bad-body", text(status, "request body too large"))
        }
        BodyFault::Broken => {
            let status = StatusCode::BAD_REQUEST;
            ("bad-body", text(status, "request body broke off"))
        }
        BodyFault::TimedOut => {
            let (status, pause) = (StatusCode::REQUEST_TIMEOUT, Duration::ZERO);
            let response = retry_with_status(status, "request body too late", pause);
            ("late-body", response)
        }
        BodyFault::NoMemory => {
            let pause = Duration::from_millis(NO_MEMORY_RETRY_MS) + lock(&node.lag).lag();
            ("no-memory", retry_later("no memory for the body", pause))
        }
    };
    (reason, Box::new(response))
}

fn no_route() -> RelayResponse {
    text(StatusCode::NOT_FOUND, "no route for this host and path")
}

fn request_times(
    node: &EntryNode,
    rule: &RouteRule,
    headers: &HeaderMap,
    arrived_at: MonoTime,
) -> RequestTimes {
    let left = time_left(node, headers).unwrap_or(rule.timeout);
    let margin = Duration::from_millis(DEADLINE_MARGIN_MS);
    let time_limit = left.min(rule.timeout).saturating_sub(margin);
    let deadline = arrived_at + time_limit;
    let margin = Duration::from_millis(RESPONSE_MARGIN_MS)
        .min(rule.latency_objective / RESPONSE_MARGIN_DIVISOR);
    let soft_deadline = arrived_at + rule.latency_objective.saturating_sub(margin);
    RequestTimes {
        arrived_at,
        soft_deadline: soft_deadline.min(deadline),
        deadline,
        latency_objective: rule.latency_objective,
    }
}

/// Returns the time until the caller's deadline, if the caller states it.
fn time_left(node: &EntryNode, headers: &HeaderMap) -> Option<Duration> {
    let stated = headers.get(&node.adapter.headers.time_left_ms)?;
    let millis: f64 = stated.to_str().ok()?.trim().parse().ok()?;
    let usable = millis.is_finite() && millis >= 0.0;
    usable.then(|| Duration::from_secs_f64(millis.min(STATED_TIME_MAX_MS) / 1000.0))
}

/// Whether a request need not wait for targets during startup: every shard of a search, or any service of a
/// weighted split, has a target in the regions of `placement`, or the request has home regions and all
/// targets are known. A target that only an evacuation keeps from being
/// used counts, since waiting for another one would gain nothing.
fn has_targets(node: &EntryNode, rule: &RouteRule, placement: &PlacementRule) -> bool {
    if !placement.is_unrestricted() && node.knows_targets() {
        return true;
    }
    let now = node.timer.now();
    let selector = lock(&node.selector);
    match &rule.destination {
        RouteDestination::Gather(gather) => gather
            .shards
            .iter()
            .all(|shard| selector.has_present_target(shard, placement, now)),
        RouteDestination::Split(parts) => parts
            .iter()
            .any(|part| selector.has_present_target(&part.service, placement, now)),
    }
}

/// Returns the headers of a request without its hop-by-hop headers. They name the host by which the route
/// was found, since the URI goes on without its authority.
fn forwarded_headers(uri: &Uri, mut headers: HeaderMap) -> HeaderMap {
    let named = headers.get(header::HOST).cloned();
    let host = named.or_else(|| HeaderValue::from_str(uri.authority()?.as_str()).ok());
    strip_hop_by_hop_headers(&mut headers);
    if let Some(host) = host {
        headers.entry(header::HOST).or_insert(host);
    }
    headers
}

/// Returns a request URI in origin form, without scheme and authority.
fn origin_form(uri: &Uri) -> Uri {
    if uri.authority().is_none() {
        return uri.clone();
    }
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    path.parse().unwrap_or_else(|_| uri.clone())
}
