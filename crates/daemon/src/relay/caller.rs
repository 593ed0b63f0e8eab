//! Requests of callers: finds the route, runs the request, and writes the answer.

use std::{
    sync::{Arc, atomic::Ordering::Relaxed},
    time::Duration,
};

use bytes::Bytes;
use fulmarweir_base::{MonoTime, lock};
use fulmarweir_conf::{RouteDestination, RouteRule, RouteTable};
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, Uri, header};
use http_body_util::Full;
use hyper::body::{Body, Incoming};

use super::{
    answer::strip_hop_by_hop_headers,
    body::{BodyFault, read_body},
    driver::RelayMessage,
    entry::EntryNode,
    request_account::{EarlyRequest, RequestTimes, refuse_early},
    response::{RelayResponse, retry_later, text},
    routed::{RoutedRequest, answer_routed},
};

/// Time kept for the way to the caller and for writing the answer, in milliseconds.
const ANSWER_MARGIN_MS: u64 = 18;
/// Share of the objective that this margin may take.
const ANSWER_MARGIN_SHARE: u32 = 5;
/// Time before the caller's deadline at which a request is given up, in milliseconds.
const DEADLINE_MARGIN_MS: u64 = 15;
/// Longest time that a caller may state, in milliseconds.
const TIME_LEFT_MAX_MS: f64 = 86_400_000.0;
/// Part of the caller's time that a request may wait while this VM starts.
const START_WAIT_PART: u32 = 5;
/// Pause that a caller is told while no configuration is known, in milliseconds.
const NO_CONFIG_PAUSE_MS: u64 = 300;

/// An answer that is given before the request is relayed.
type EarlyAnswer = Box<RelayResponse>;

/// Answers one request of a caller.
pub(crate) async fn answer_caller(
    node: Arc<EntryNode>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let _guard = node.track_request();
    let taken = take_request(&node, request).await;
    let mut response = taken.unwrap_or_else(|early| *early);
    if node.is_stopping() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

async fn take_request(
    node: &Arc<EntryNode>,
    request: Request<Incoming>,
) -> Result<RelayResponse, EarlyAnswer> {
    let arrived_at = node.timer.now();
    let (head, body) = request.into_parts();
    let patience = time_left(node, &head.headers).unwrap_or_default() / START_WAIT_PART;
    node.wait_during_startup(patience, |node| node.table().is_some())
        .await;
    let names = &node.adapter.headers;
    let request_id = head.headers.get(&names.request_id).cloned();
    let unrouted = EarlyRequest {
        id: request_id.as_ref(),
        arrived_at,
        route: "none",
    };
    let early = |reason, response| refuse_early(node, &unrouted, reason, response);
    let Some(table) = node.table() else {
        let pause = Duration::from_millis(NO_CONFIG_PAUSE_MS);
        return Err(early(
            "no-config",
            retry_later("no configuration yet", pause),
        ));
    };
    let body = read_request_body(body, &head.headers, table.limits.body_max_bytes)
        .await
        .map_err(|response| early("bad-body", response))?;
    let Some(rule) = find_rule(&table, &head.uri, &head.headers) else {
        let response = text(StatusCode::NOT_FOUND, "no route for this host and path");
        return Err(early("no-route", response));
    };
    let Some(request_id) = request_id.clone() else {
        let response = text(StatusCode::BAD_REQUEST, "no request id");
        return Err(early("no-request-id", response));
    };
    let times = request_times(node, &rule, &head.headers, arrived_at);
    node.wait_during_startup(patience, |node| knows_enough(node, &rule))
        .await;
    let in_flight = node.in_flight.load(Relaxed);
    let refusal = lock(&node.lag).overload_pause(rule.rank, in_flight);
    if let Some(pause) = refusal {
        let response = retry_later("vm-overloaded", pause);
        let routed = EarlyRequest {
            route: &rule.name,
            ..unrouted
        };
        return Err(refuse_early(node, &routed, "vm-overloaded", response));
    }
    let mut headers = head.headers;
    strip_hop_by_hop_headers(&mut headers);
    let message = RelayMessage {
        method: head.method,
        uri: path_only(&head.uri),
        headers,
        body,
        request_id,
        route: Arc::clone(&rule.name),
        repeatable: rule.repeatable,
        deadline: times.deadline,
    };
    let routed = RoutedRequest {
        table,
        rule,
        message: Arc::new(message),
        times,
    };
    Ok(answer_routed(node, &routed).await)
}

/// Reads the body of a caller up to the limit, or not at all if its stated length is beyond it.
async fn read_request_body(
    body: Incoming,
    headers: &HeaderMap,
    limit: usize,
) -> Result<Bytes, RelayResponse> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let too_large = || text(StatusCode::PAYLOAD_TOO_LARGE, "request body too large");
    let stated = headers.get(header::CONTENT_LENGTH);
    let stated = stated.and_then(|value| value.to_str().ok()?.parse::<usize>().ok());
    if stated.is_some_and(|length| length > limit) {
        return Err(too_large());
    }
    read_body(body, limit).await.map_err(|fault| match fault {
        BodyFault::TooLarge => too_large(),
        BodyFault::Broken => text(StatusCode::BAD_REQUEST, "request body broke off"),
    })
}

fn find_rule(table: &RouteTable, uri: &Uri, headers: &HeaderMap) -> Option<Arc<RouteRule>> {
    let named = headers
        .get(header::HOST)
        .and_then(|host| host.to_str().ok());
    let host = named.or_else(|| uri.authority().map(http::uri::Authority::as_str))?;
    table.find(host, uri.path()).cloned()
}

fn request_times(
    node: &EntryNode,
    rule: &RouteRule,
    headers: &HeaderMap,
    arrived_at: MonoTime,
) -> RequestTimes {
    let left = time_left(node, headers).unwrap_or(rule.timeout);
    let margin = Duration::from_millis(DEADLINE_MARGIN_MS);
    let patience = left.min(rule.timeout).saturating_sub(margin);
    let deadline = arrived_at + patience;
    let margin = Duration::from_millis(ANSWER_MARGIN_MS).min(rule.objective / ANSWER_MARGIN_SHARE);
    let soft_deadline = arrived_at + rule.objective.saturating_sub(margin);
    RequestTimes {
        arrived_at,
        soft_deadline: soft_deadline.min(deadline),
        deadline,
        objective: rule.objective,
    }
}

/// The time that a caller says it will wait.
fn time_left(node: &EntryNode, headers: &HeaderMap) -> Option<Duration> {
    let stated = headers.get(&node.adapter.headers.time_left_ms)?;
    let millis: f64 = stated.to_str().ok()?.trim().parse().ok()?;
    let usable = millis.is_finite() && millis >= 0.0;
    usable.then(|| Duration::from_secs_f64(millis.min(TIME_LEFT_MAX_MS) / 1000.0))
}

/// Whether enough services of a route have targets.
fn knows_enough(node: &EntryNode, rule: &RouteRule) -> bool {
    let selector = lock(&node.selector);
    match &rule.destination {
        RouteDestination::Gather(gather) => {
            gather.shards.iter().all(|shard| selector.has_target(shard))
        }
        RouteDestination::Split(parts) => {
            parts.iter().any(|part| selector.has_target(&part.service))
        }
    }
}

fn path_only(uri: &Uri) -> Uri {
    if uri.authority().is_none() {
        return uri.clone();
    }
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    path.parse().unwrap_or_else(|_| uri.clone())
}
