//! Conversion of searches and their results to and from handover messages.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use fulmarweir_base::lock;
use fulmarweir_conf::RouteRule;
use fulmarweir_route::{AnswerSource, GroupOutcome, RelayOutcome, UnclearSubRequest};
use http::{HeaderMap, HeaderName, HeaderValue, Method};

use super::{
    answer::merge_parts,
    driver::{RelayMessage, RelayResult},
    entry::EntryNode,
    request_account::RequestTimes,
    routed::RoutedRequest,
    target_notices::encode_notice,
    vm_message::{HandoverReply, HandoverRequest},
};

/// Time reserved for the broker's reply to travel back and be merged, in milliseconds.
const REPLY_MARGIN_MS: u64 = 8;

/// The signatures and records in the reply of a broker.
pub(super) struct GroupReply {
    pub(super) signatures: Vec<Vec<u8>>,
    pub(super) records: Vec<u8>,
}

/// Encodes a search as a handover of the shards with the indexes `sub_requests`, some of them with
/// an extra attempt that this VM has charged.
pub(super) fn encode_request(
    node: &EntryNode,
    routed: &RoutedRequest,
    sub_requests: &[usize],
    lent_extra: &[usize],
) -> HandoverRequest {
    let now = node.timer.now();
    let message = &routed.message;
    let millis = |left: Duration| u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
    let margin = Duration::from_millis(REPLY_MARGIN_MS);
    let answer_in = routed.times.soft_deadline.since(now).saturating_sub(margin);
    HandoverRequest {
        origin: Arc::clone(&node.settings.name),
        config_version: routed.table.version,
        route: Arc::clone(&routed.rule.name),
        sub_requests: encode_indexes(sub_requests),
        lent_extra: encode_indexes(lent_extra),
        fingerprint: message.fingerprint,
        method: message.method.as_str().to_owned(),
        uri: message.uri.to_string(),
        headers: encode_headers(&message.headers),
        body: message.body.to_vec(),
        answer_in_ms: millis(answer_in),
        time_left_ms: millis(routed.times.deadline.since(now)),
    }
}

/// Decodes a handover into the message for targets and its times. Returns `None` if the handover
/// is malformed.
pub(super) fn decode_request(
    node: &EntryNode,
    request: &HandoverRequest,
    rule: &RouteRule,
) -> Option<(RelayMessage, RequestTimes)> {
    let now = node.timer.now();
    let headers = decode_headers(&request.headers)?;
    let request_id = headers.get(&node.adapter.headers.request_id)?.clone();
    let deadline = now + Duration::from_millis(request.time_left_ms);
    let message = RelayMessage {
        fingerprint: request.fingerprint,
        method: Method::from_bytes(request.method.as_bytes()).ok()?,
        uri: request.uri.parse().ok()?,
        headers,
        body: Bytes::copy_from_slice(&request.body),
        request_id,
        route: Arc::clone(&rule.name),
        idempotent: rule.idempotent,
        deadline,
    };
    let times = RequestTimes {
        arrived_at: now,
        soft_deadline: now + Duration::from_millis(request.answer_in_ms),
        deadline,
        latency_objective: rule.latency_objective,
    };
    Some((message, times))
}

/// Encodes the result of a handover of the shards with the indexes `sub_requests`.
pub(super) fn encode_reply(
    node: &EntryNode,
    result: &RelayResult,
    sub_requests: &[u16],
    top_k: usize,
) -> HandoverReply {
    let parts: &[Option<AnswerSource>] = match &result.outcome {
        RelayOutcome::Answered(parts) => parts,
        RelayOutcome::TargetFailure(_) | RelayOutcome::Refused(_) => &[],
    };
    let outcome = &result.group_outcome;
    let outer_indexes = |inner: &[usize]| inner.iter().map(|index| sub_requests[*index]).collect();
    let unclear = outcome.unclear.iter();
    let unclear = unclear.map(|unclear| (sub_requests[unclear.sub_request], unclear.ran.clone()));
    let merged = merge_parts(node, parts, result, top_k);
    let crashes = outcome.crashes.iter();
    let now = node.timer.now();
    HandoverReply {
        answered: outer_indexes(&outcome.answered),
        unclear: unclear.collect(),
        refused: outer_indexes(&outcome.refused),
        pending: outer_indexes(&outcome.pending),
        rest: None,
        unused_loans: outer_indexes(&outcome.unused_loans),
        signatures: merged.signatures,
        records: merged.records,
        notices: result
            .notices
            .iter()
            .map(|(target, notice)| encode_notice(target, *notice))
            .collect(),
        crashes: crashes
            .map(|(index, count)| (sub_requests[*index], *count))
            .collect(),
        quarantine: lock(&node.selector).quarantine_of(result.stats.fingerprint, now),
    }
}

/// Decodes the reply of a broker into the outcome of the group, and its signatures and records.
pub(super) fn decode_reply(reply: HandoverReply) -> (GroupOutcome, Option<GroupReply>) {
    let unclear = reply.unclear.into_iter();
    let unclear = unclear.map(|(sub_request, ran)| UnclearSubRequest {
        sub_request: usize::from(sub_request),
        ran,
    });
    let crashes = reply.crashes.iter();
    let outcome = GroupOutcome {
        accepted: true,
        answered: decode_indexes(&reply.answered),
        unclear: unclear.collect(),
        refused: decode_indexes(&reply.refused),
        pending: decode_indexes(&reply.pending),
        unused_loans: decode_indexes(&reply.unused_loans),
        crashes: crashes
            .map(|(index, count)| (usize::from(*index), *count))
            .collect(),
    };
    let group_reply = GroupReply {
        signatures: reply.signatures,
        records: reply.records,
    };
    (outcome, Some(group_reply))
}

/// Encodes indexes of shards. The limit of shards in a configuration is far below that of `u16`.
fn encode_indexes(indexes: &[usize]) -> Vec<u16> {
    let indexes = indexes.iter().map(|index| u16::try_from(*index));
    indexes.filter_map(std::result::Result::ok).collect()
}

pub(super) fn decode_indexes(indexes: &[u16]) -> Vec<usize> {
    indexes.iter().map(|index| usize::from(*index)).collect()
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
