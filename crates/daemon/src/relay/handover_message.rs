//! Shards of searches and their answers as messages between VMs.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use fulmarweir_conf::RouteRule;
use fulmarweir_route::{AnswerSource, GroupOutcome, RelayOutcome, UnclearSubRequest};
use http::{HeaderMap, HeaderName, HeaderValue, Method};

use super::{
    answer::merge_parts,
    driver::{RelayMessage, RelayResult},
    entry::EntryNode,
    request_account::RequestTimes,
    routed::RoutedRequest,
    vm_message::{HandoverReply, HandoverRequest},
};

/// Time kept for the way back from a broker and for merging, in milliseconds.
const ANSWER_MARGIN_MS: u64 = 8;

/// What a broker brought.
pub(super) struct GroupReply {
    pub(super) signatures: Vec<Vec<u8>>,
    pub(super) records: Vec<u8>,
}

/// The message that hands `sub_requests` of a search over.
pub(super) fn encode_search(
    node: &EntryNode,
    routed: &RoutedRequest,
    sub_requests: &[usize],
) -> HandoverRequest {
    let now = node.timer.now();
    let message = &routed.message;
    let millis = |left: Duration| u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
    let margin = Duration::from_millis(ANSWER_MARGIN_MS);
    let answer_in = routed.times.soft_deadline.since(now).saturating_sub(margin);
    HandoverRequest {
        origin: Arc::clone(&node.settings.name),
        config_version: routed.table.version,
        route: Arc::clone(&routed.rule.name),
        sub_requests: encode_indexes(sub_requests),
        method: message.method.as_str().to_owned(),
        uri: message.uri.to_string(),
        headers: encode_headers(&message.headers),
        body: message.body.to_vec(),
        answer_in_ms: millis(answer_in),
        time_left_ms: millis(routed.times.deadline.since(now)),
    }
}

/// The request of a message; `None` if it cannot be read.
pub(super) fn decode_search(
    node: &EntryNode,
    search: &HandoverRequest,
    rule: &RouteRule,
) -> Option<(RelayMessage, RequestTimes)> {
    let now = node.timer.now();
    let headers = decode_headers(&search.headers)?;
    let request_id = headers.get(&node.adapter.headers.request_id)?.clone();
    let deadline = now + Duration::from_millis(search.time_left_ms);
    let message = RelayMessage {
        method: Method::from_bytes(search.method.as_bytes()).ok()?,
        uri: search.uri.parse().ok()?,
        headers,
        body: Bytes::copy_from_slice(&search.body),
        request_id,
        route: Arc::clone(&rule.name),
        repeatable: rule.repeatable,
        deadline,
    };
    let times = RequestTimes {
        arrived_at: now,
        soft_deadline: now + Duration::from_millis(search.answer_in_ms),
        deadline,
        objective: rule.objective,
    };
    Some((message, times))
}

/// The answer to a message about `sub_requests`.
pub(super) fn encode_result(
    node: &EntryNode,
    result: &RelayResult,
    sub_requests: &[u16],
    top: usize,
) -> HandoverReply {
    let parts: &[Option<AnswerSource>] = match &result.outcome {
        RelayOutcome::Answered(parts) => parts,
        RelayOutcome::TargetFailure(_) | RelayOutcome::Refused(_) => &[],
    };
    let answered = sub_requests
        .iter()
        .zip(parts)
        .filter(|(_, part)| part.is_some());
    let unclear = result.unclear.iter();
    let unclear = unclear.map(|unclear| (sub_requests[unclear.sub_request], unclear.ran.clone()));
    let merged = merge_parts(node, parts, result, top);
    HandoverReply {
        answered: answered.map(|(sub_request, _)| *sub_request).collect(),
        unclear: unclear.collect(),
        signatures: merged.signatures,
        records: merged.records,
    }
}

/// What a broker's answer says of the group, and what it brought.
pub(super) fn decode_reply(answer: HandoverReply) -> (GroupOutcome, Option<GroupReply>) {
    let unclear = answer.unclear.into_iter();
    let unclear = unclear.map(|(sub_request, ran)| UnclearSubRequest {
        sub_request: usize::from(sub_request),
        ran,
    });
    let end = GroupOutcome {
        answered: decode_indexes(&answer.answered),
        unclear: unclear.collect(),
    };
    let reply = GroupReply {
        signatures: answer.signatures,
        records: answer.records,
    };
    (end, Some(reply))
}

/// No route has more shards than this type can count: the document's limit is far below.
fn encode_indexes(places: &[usize]) -> Vec<u16> {
    let places = places.iter().map(|place| u16::try_from(*place));
    places.filter_map(std::result::Result::ok).collect()
}

pub(super) fn decode_indexes(places: &[u16]) -> Vec<usize> {
    places.iter().map(|place| usize::from(*place)).collect()
}

fn encode_headers(headers: &HeaderMap) -> Vec<(String, Vec<u8>)> {
    let pair = |(name, value): (&HeaderName, &HeaderValue)| {
        (name.as_str().to_owned(), value.as_bytes().to_vec())
    };
    headers.iter().map(pair).collect()
}

fn decode_headers(pairs: &[(String, Vec<u8>)]) -> Option<HeaderMap> {
    let mut headers = HeaderMap::with_capacity(pairs.len());
    for (name, value) in pairs {
        let name: HeaderName = name.parse().ok()?;
        headers.append(name, HeaderValue::from_bytes(value).ok()?);
    }
    Some(headers)
}
