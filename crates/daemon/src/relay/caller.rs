//! Requests of callers: finds the route, runs the request, and writes the answer.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering::Relaxed},
    },
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use fulmarweir_base::{MonoTime, RunVerdict, lock};
use fulmarweir_conf::{RouteDestination, RouteRule, RouteTable, WeightedService};
use fulmarweir_pool::RelayReply;
use fulmarweir_route::{RelayAsk, RelayEnd, RelayRefusal, merge_records};
use http::{HeaderMap, HeaderName, HeaderValue, Request, Response, StatusCode, Uri, header};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};

use super::{
    carrier::{RelayCarrier, RelayMessage, RelayResult, RelayStats},
    entry::EntryNode,
    request_account::{LineContext, RequestTimes, log_request, refuse_early},
    response::{RelayResponse, come_back, text},
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

/// Headers that concern one connection only.
const HOP_HEADERS: [HeaderName; 9] = [
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::EXPECT,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// An answer that is given before the request is relayed.
type EarlyAnswer = Box<RelayResponse>;

/// Counts a request while it is open.
struct OpenGuard<'a>(&'a AtomicU64);

impl<'a> OpenGuard<'a> {
    fn new(open: &'a AtomicU64) -> Self {
        open.fetch_add(1, Relaxed);
        Self(open)
    }
}

impl Drop for OpenGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Relaxed);
    }
}

/// Answers one request of a caller.
pub(crate) async fn answer_caller(
    node: Arc<EntryNode>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let _open = OpenGuard::new(&node.open);
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
    node.wait_while_starting(patience, |node| node.table().is_some())
        .await;
    let names = &node.dialect.headers;
    let request_id = head.headers.get(&names.request_id).cloned();
    let early =
        |reason, response| refuse_early(node, request_id.as_ref(), arrived_at, reason, response);
    let Some(table) = node.table() else {
        let pause = Duration::from_millis(NO_CONFIG_PAUSE_MS);
        return Err(early("no-config", come_back("no configuration yet", pause)));
    };
    let body = read_body(body, &head.headers, table.limits.body_max_bytes)
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
    node.wait_while_starting(patience, |node| knows_enough(node, &rule))
        .await;
    let open = node.open.load(Relaxed);
    let refusal = lock(&node.lag).refuse_for(rule.rank, open);
    if let Some(pause) = refusal {
        let refused = refuse_overloaded(node, &table, &rule, &request_id, times, pause);
        return Err(Box::new(refused));
    }
    let ask = relay_ask(node, &rule, times);
    let mut headers = head.headers;
    strip_hop_headers(&mut headers);
    let message = RelayMessage {
        method: head.method,
        uri: path_only(&head.uri),
        headers,
        body,
        request_id: request_id.clone(),
        route: Arc::clone(&rule.name),
        repeatable: rule.repeatable,
        deadline: times.deadline,
    };
    let lanes = ask.services.len();
    let services = ask.services.clone();
    let (carrier, actions) = RelayCarrier::start(Arc::clone(node), message, ask);
    let result = carrier.finish(actions).await;
    let RelayResult {
        end,
        replies,
        stats,
    } = result;
    let (outcome, response) = write_answer(node, &rule, end, replies, &stats);
    let context = LineContext {
        table: &table,
        rule: &rule,
        request_id: &request_id,
        times,
        lanes,
        services: &services,
    };
    log_request(node, &context, outcome, response.status(), &stats);
    Ok(response)
}

/// Reads a body up to the limit.
async fn read_body(
    mut body: Incoming,
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
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return Err(text(StatusCode::BAD_REQUEST, "request body broke off"));
        };
        if let Ok(data) = frame.into_data() {
            if bytes.len() + data.len() > limit {
                return Err(too_large());
            }
            bytes.extend_from_slice(&data);
        }
    }
    Ok(bytes.freeze())
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
    let stated = headers.get(&node.dialect.headers.time_left_ms)?;
    let millis: f64 = stated.to_str().ok()?.trim().parse().ok()?;
    let usable = millis.is_finite() && millis >= 0.0;
    usable.then(|| Duration::from_secs_f64(millis.min(TIME_LEFT_MAX_MS) / 1000.0))
}

/// Whether enough services of a route have targets.
fn knows_enough(node: &EntryNode, rule: &RouteRule) -> bool {
    let book = lock(&node.book);
    match &rule.destination {
        RouteDestination::Gather(gather) => gather.shards.iter().all(|shard| book.knows(shard)),
        RouteDestination::Split(parts) => parts.iter().any(|part| book.knows(&part.service)),
    }
}

fn relay_ask(node: &EntryNode, rule: &RouteRule, times: RequestTimes) -> RelayAsk {
    let (services, coverage_min) = match &rule.destination {
        RouteDestination::Gather(gather) => (gather.shards.clone(), gather.coverage_min),
        RouteDestination::Split(parts) => (choose_service(parts).into_iter().collect(), 1.0),
    };
    let soft = times.soft_deadline.since(times.arrived_at);
    RelayAsk {
        services,
        repeatable: rule.repeatable,
        attempts_max: rule.attempts_max,
        coverage_min,
        soft_deadline: times.soft_deadline,
        deadline: times.deadline,
        hedge_delay: lock(&node.pace).hedge_delay(&rule.name, soft),
    }
}

/// Draws one of the services by weight.
fn choose_service(parts: &[WeightedService]) -> Option<Arc<str>> {
    if let [only] = parts {
        return Some(Arc::clone(&only.service));
    }
    let total: f64 = parts.iter().map(|part| part.weight.max(0.0)).sum();
    let mut place = rand::random::<f64>() * total;
    for part in parts {
        place -= part.weight.max(0.0);
        if place < 0.0 {
            return Some(Arc::clone(&part.service));
        }
    }
    let last = parts.iter().rev().find(|part| part.weight > 0.0);
    last.map(|part| Arc::clone(&part.service))
}

fn path_only(uri: &Uri) -> Uri {
    if uri.authority().is_none() {
        return uri.clone();
    }
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    path.parse().unwrap_or_else(|_| uri.clone())
}

fn strip_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_HEADERS) {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.remove("proxy-connection");
}

fn write_answer(
    node: &EntryNode,
    rule: &RouteRule,
    end: RelayEnd,
    replies: Vec<(u32, RelayReply)>,
    stats: &RelayStats,
) -> (&'static str, RelayResponse) {
    match end {
        RelayEnd::Answered(parts) => match &rule.destination {
            RouteDestination::Gather(gather) => {
                let response = merged_answer(node, &parts, &replies, gather.top);
                let outcome = if stats.missing == 0 {
                    "whole"
                } else {
                    "partial"
                };
                (outcome, response)
            }
            RouteDestination::Split(_) => {
                let attempt = parts.into_iter().flatten().next();
                ("answered", pass_reply(replies, attempt))
            }
        },
        RelayEnd::PassOn(attempt) => ("target-failure", pass_reply(replies, Some(attempt))),
        RelayEnd::Refused(refusal) => (
            refusal.reason.as_str(),
            refusal_answer(node, refusal, stats.last_fault),
        ),
    }
}

fn find_reply(replies: &[(u32, RelayReply)], attempt: u32) -> Option<&RelayReply> {
    let mut replies = replies.iter();
    let found = replies.find(|(number, _)| *number == attempt);
    found.map(|(_, reply)| reply)
}

/// The answer of one target, without the headers of its connection.
fn pass_reply(mut replies: Vec<(u32, RelayReply)>, attempt: Option<u32>) -> RelayResponse {
    let place = replies
        .iter()
        .position(|(number, _)| Some(*number) == attempt);
    let Some(place) = place else {
        return text(StatusCode::BAD_GATEWAY, "no answer");
    };
    let (_, reply) = replies.swap_remove(place);
    let mut response = Response::new(Full::new(reply.body));
    *response.status_mut() = reply.status;
    *response.headers_mut() = reply.headers;
    strip_hop_headers(response.headers_mut());
    response
}

/// The answer to a search: the greatest records of the parts that are in.
fn merged_answer(
    node: &EntryNode,
    parts: &[Option<u32>],
    replies: &[(u32, RelayReply)],
    top: usize,
) -> RelayResponse {
    let names = &node.dialect.headers;
    let included: Vec<&RelayReply> = parts
        .iter()
        .flatten()
        .filter_map(|attempt| find_reply(replies, *attempt))
        .collect();
    let mut signatures = Vec::new();
    for reply in &included {
        if let Some(signature) = reply.headers.get(&names.signature) {
            if !signatures.is_empty() {
                signatures.extend_from_slice(b", ");
            }
            signatures.extend_from_slice(signature.as_bytes());
        }
    }
    let body = merge_records(included.iter().map(|reply| &*reply.body), top);
    let mut response = Response::new(Full::new(Bytes::from(body)));
    let headers = response.headers_mut();
    if let Ok(value) = HeaderValue::from_bytes(&signatures) {
        headers.insert(names.part_signatures.clone(), value);
    }
    let missing = HeaderValue::from(parts.len() - included.len());
    headers.insert(names.parts_missing.clone(), missing);
    response
}

/// Only a request that has not run, and never will, gets a status that says so.
fn refusal_answer(
    node: &EntryNode,
    refusal: RelayRefusal,
    fault: Option<&'static str>,
) -> RelayResponse {
    node.metrics.count_refusal(refusal.reason.as_str());
    let reason = refusal.reason.as_str();
    match refusal.verdict {
        RunVerdict::NotRun => come_back(reason, refusal.retry_after.unwrap_or_default()),
        RunVerdict::MayHaveRun | RunVerdict::Ran => {
            let status = match refusal.reason {
                fulmarweir_route::RefusalReason::Deadline => StatusCode::GATEWAY_TIMEOUT,
                _ => StatusCode::BAD_GATEWAY,
            };
            text(status, fault.unwrap_or(reason))
        }
    }
}

fn refuse_overloaded(
    node: &EntryNode,
    table: &RouteTable,
    rule: &RouteRule,
    request_id: &HeaderValue,
    times: RequestTimes,
    pause: Duration,
) -> RelayResponse {
    node.metrics.count_refusal("vm-overloaded");
    let response = come_back("vm-overloaded", pause);
    let context = LineContext {
        table,
        rule,
        request_id,
        times,
        lanes: 0,
        services: &[],
    };
    let stats = RelayStats {
        attempts: 0,
        hedges: 0,
        missing: 0,
        verdict: RunVerdict::NotRun,
        missing_services: Vec::new(),
        last_fault: None,
    };
    log_request(node, &context, "vm-overloaded", response.status(), &stats);
    response
}
