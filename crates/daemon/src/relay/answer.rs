//! Builds the responses to callers from the replies of targets, or from the reason for refusal.

use bytes::Bytes;
use fulmarweir_base::RunVerdict;
use fulmarweir_conf::{RouteDestination, RouteRule};
use fulmarweir_pool::RelayReply;
use fulmarweir_route::{AnswerSource, RefusalReason, RelayOutcome, RelayRefusal, merge_records};
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode, header};

use super::{
    driver::RelayResult,
    entry::EntryNode,
    response::{RelayResponse, retry_later, text},
};

/// Hop-by-hop headers. `Keep-Alive` and `Proxy-Connection`, which have no constant, are removed by
/// name.
const HOP_BY_HOP_HEADERS: [HeaderName; 9] = [
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

/// Statuses by which callers are promised that a request has not run and never will.
const NOT_RUN_STATUSES: [StatusCode; 4] = [
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::MISDIRECTED_REQUEST,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
];

/// Builds the response to a finished request. A reply that is forwarded is moved out of `result`.
pub(super) fn build_response(
    node: &EntryNode,
    rule: &RouteRule,
    result: &mut RelayResult,
) -> RelayResponse {
    match &result.outcome {
        RelayOutcome::Answered(parts) => match &rule.destination {
            RouteDestination::Gather(gather) => merged_response(node, parts, result, gather.top_k),
            RouteDestination::Split(_) => {
                let source = parts.iter().flatten().next().copied();
                forward_reply(take_reply(result, source))
            }
        },
        RelayOutcome::TargetFailure(source) => {
            let source = Some(*source);
            forward_reply(take_reply(result, source))
        }
        RelayOutcome::Refused(refusal) => refusal_response(node, *refusal, result.stats.last_fault),
    }
}

pub(super) fn find_reply(replies: &[(u32, RelayReply)], attempt: u32) -> Option<&RelayReply> {
    let mut replies = replies.iter();
    let found = replies.find(|(number, _)| *number == attempt);
    found.map(|(_, reply)| reply)
}

/// Removes the reply of a target from the result of a request that is no search.
fn take_reply(result: &mut RelayResult, source: Option<AnswerSource>) -> Option<RelayReply> {
    match source? {
        AnswerSource::Attempt(attempt) => {
            let mut replies = result.replies.iter();
            let index = replies.position(|(number, _)| *number == attempt)?;
            Some(result.replies.swap_remove(index).1)
        }
        AnswerSource::Group(group) => {
            let mut replies = result.group_replies.iter_mut();
            let (_, reply) =
                replies.find(|(number, reply)| *number == group && reply.target_reply.is_some())?;
            reply.target_reply.take().map(|reply| *reply)
        }
    }
}

/// Whether a reply of a target with this status may be forwarded to a caller. Refusals of targets are never
/// forwarded, so the request of any other reply may have run, whatever its status promises.
pub(super) fn is_forwarded(status: StatusCode) -> bool {
    !NOT_RUN_STATUSES.contains(&status)
}

/// Returns the reply of a target without its hop-by-hop headers, or a response of this tier, without the
/// target's signature, in place of one that callers must not get.
fn forward_reply(reply: Option<RelayReply>) -> RelayResponse {
    let Some(reply) = reply else {
        return text(StatusCode::BAD_GATEWAY, "no answer");
    };
    if !is_forwarded(reply.status) {
        return text(StatusCode::BAD_GATEWAY, "target failure");
    }
    let mut response = Response::new(reply.body);
    *response.status_mut() = reply.status;
    *response.headers_mut() = reply.headers;
    strip_hop_by_hop_headers(response.headers_mut());
    response
}

/// Returns the response to a search: the greatest records of all parts that have arrived.
fn merged_response(
    node: &EntryNode,
    parts: &[Option<AnswerSource>],
    result: &RelayResult,
    top_k: usize,
) -> RelayResponse {
    let names = &node.adapter.headers;
    let missing = parts.iter().filter(|part| part.is_none()).count();
    let merged = merge_parts(node, parts, result, top_k);
    let signatures = merged.signatures.join(&b", "[..]);
    let mut response = Response::new(Bytes::from(merged.records));
    let headers = response.headers_mut();
    if let Ok(value) = HeaderValue::from_bytes(&signatures) {
        headers.insert(names.part_signatures.clone(), value);
    }
    let missing = HeaderValue::from(missing);
    headers.insert(names.parts_missing.clone(), missing);
    response
}

/// The greatest records of some parts of a search, and the signatures of these parts.
pub(super) struct MergedParts {
    pub(super) signatures: Vec<Vec<u8>>,
    pub(super) records: Vec<u8>,
}

/// Merges the replies of targets and brokers.
pub(super) fn merge_parts(
    node: &EntryNode,
    parts: &[Option<AnswerSource>],
    result: &RelayResult,
    top_k: usize,
) -> MergedParts {
    let mut signatures: Vec<Vec<u8>> = Vec::new();
    let mut bodies: Vec<&[u8]> = Vec::new();
    for part in parts.iter().flatten() {
        let AnswerSource::Attempt(attempt) = part else {
            continue;
        };
        let Some(reply) = find_reply(&result.replies, *attempt) else {
            continue;
        };
        let signature = reply.headers.get(&node.adapter.headers.signature);
        signatures.extend(signature.map(|signature| signature.as_bytes().to_vec()));
        bodies.push(&reply.body);
    }
    for (_, reply) in &result.group_replies {
        signatures.extend(reply.signatures.iter().cloned());
        bodies.push(&reply.records);
    }
    let records = merge_records(bodies, top_k);
    MergedParts {
        signatures,
        records,
    }
}

/// Returns the response to a refused request. Status 503 states that the request has not run and
/// never will, so only such a request gets it.
fn refusal_response(
    node: &EntryNode,
    refusal: RelayRefusal,
    fault: Option<&'static str>,
) -> RelayResponse {
    node.metrics.count_refusal(refusal.reason.as_str());
    let reason = refusal.reason.as_str();
    match refusal.verdict {
        RunVerdict::NotRun => retry_later(reason, refusal.retry_after.unwrap_or_default()),
        RunVerdict::MayHaveRun | RunVerdict::Ran => {
            let status = match refusal.reason {
                RefusalReason::Deadline => StatusCode::GATEWAY_TIMEOUT,
                _ => StatusCode::BAD_GATEWAY,
            };
            text(status, fault.unwrap_or(reason))
        }
    }
}

/// Removes hop-by-hop headers, including those that `Connection` lists.
pub(super) fn strip_hop_by_hop_headers(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in listed.iter().chain(&HOP_BY_HOP_HEADERS) {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.remove("proxy-connection");
}
