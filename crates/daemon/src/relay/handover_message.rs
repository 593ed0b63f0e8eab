//! Conversion of searches and their results to and from handover messages.

use std::{sync::Arc, time::Duration};

use fulmarweir_base::lock;
use fulmarweir_conf::{RouteDestination, RouteRule};
use fulmarweir_pool::{RelayReply, is_final_status};
use fulmarweir_route::{
    AnswerSource, GroupOutcome, GroupRemainder, Locality, PlacementRule, RelayOutcome,
    RepeatedSubRequest, UnclearSubRequest,
};
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, Uri};

use super::{
    answer::{find_reply, is_forwarded, merge_parts},
    driver::{RelayMessage, RelayResult},
    entry::EntryNode,
    request_account::RequestTimes,
    routed::RoutedRequest,
    target_notices::encode_notice,
    vm_message::{HandoverReply, HandoverRequest, RepeatMessage, TargetReplyMessage},
};

/// Time reserved for the broker's reply to travel back and be merged, in milliseconds.
const REPLY_MARGIN_MS: u64 = 8;
/// The same for a broker in another region.
const FAR_REPLY_MARGIN_MS: u64 = 28;

/// The signatures and records in the reply of a broker, or the reply of a target that it passes on.
pub(super) struct GroupReply {
    pub(super) signatures: Vec<Vec<u8>>,
    pub(super) records: Vec<u8>,
    pub(super) target_reply: Option<Box<RelayReply>>,
}

/// Encodes a search as a handover of the shards with the indexes `sub_requests`, some of them with
/// an extra attempt that this VM has charged.
pub(super) fn encode_request(
    node: &EntryNode,
    routed: &RoutedRequest,
    services: &[Arc<str>],
    sub_requests: &[usize],
    lent_extra: &[usize],
    repeats: &[RepeatedSubRequest],
) -> HandoverRequest {
    let now = node.timer.now();
    let message = &routed.message;
    let millis = |left: Duration| u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
    let service = match &routed.rule.destination {
        RouteDestination::Gather(_) => None,
        RouteDestination::Split(_) => services.first().cloned(),
    };
    let margin = Duration::from_millis(REPLY_MARGIN_MS);
    let answer_in = routed.times.soft_deadline.since(now).saturating_sub(margin);
    HandoverRequest {
        origin: Arc::clone(&node.settings.name),
        config_version: routed.table.version,
        route: Arc::clone(routed.table.unshared_name(&routed.rule)),
        sub_requests: encode_indexes(sub_requests),
        lent_extra: encode_indexes(lent_extra),
        service,
        repeats: repeats.iter().filter_map(encode_repeat).collect(),
        is_last_resort: false,
        fingerprint: message.fingerprint,
        method: message.method.as_str().to_owned(),
        uri: message.uri.to_string(),
        headers: encode_headers(&message.headers),
        body: message.body.clone(),
        answer_in_ms: millis(answer_in),
        time_left_ms: millis(routed.times.deadline.since(now)),
        has_homes: !message.placement.is_unrestricted(),
        tenant_ordinal: routed.tenant.as_ref().map_or(0, |tenant| tenant.ordinal),
    }
}

/// Lets the broker of a request reply sooner if it is in another region.
pub(super) fn reserve_travel_time(request: &mut HandoverRequest, locality: Locality) {
    if locality == Locality::Far {
        let more_ms = FAR_REPLY_MARGIN_MS - REPLY_MARGIN_MS;
        request.answer_in_ms = request.answer_in_ms.saturating_sub(more_ms);
    }
}

fn encode_repeat(repeated: &RepeatedSubRequest) -> Option<RepeatMessage> {
    Some(RepeatMessage {
        sub_request: u16::try_from(repeated.sub_request).ok()?,
        ran: repeated.ran.clone(),
        only_fallback_in: repeated.only_fallback_in.clone(),
    })
}

/// Decodes what was sent before of the sub-requests with the indexes `sub_requests`.
pub(super) fn decode_repeats(request: &HandoverRequest) -> Vec<RepeatedSubRequest> {
    let decode = |repeat: &RepeatMessage| {
        let mut indexes = request.sub_requests.iter();
        Some(RepeatedSubRequest {
            sub_request: indexes.position(|index| *index == repeat.sub_request)?,
            ran: repeat.ran.clone(),
            only_fallback_in: repeat.only_fallback_in.clone(),
        })
    };
    request.repeats.iter().filter_map(decode).collect()
}

/// Decodes the URI and the headers of a handover. Returns `None` if they are malformed.
pub(super) fn decode_head(request: &HandoverRequest) -> Option<(Uri, HeaderMap)> {
    let uri = request.uri.parse().ok()?;
    Some((uri, decode_headers(&request.headers)?))
}

/// Decodes a handover into the message for targets and its times. Returns `None` if the handover
/// is malformed.
pub(super) fn decode_request(
    node: &EntryNode,
    request: &HandoverRequest,
    (uri, headers): (Uri, HeaderMap),
    rule: &RouteRule,
    placement: PlacementRule,
) -> Option<(RelayMessage, RequestTimes)> {
    let now = node.timer.now();
    let request_id = headers.get(&node.adapter.headers.request_id)?.clone();
    let deadline = now + Duration::from_millis(request.time_left_ms);
    let message = RelayMessage {
        fingerprint: request.fingerprint,
        placement,
        method: Method::from_bytes(request.method.as_bytes()).ok()?,
        uri,
        headers,
        body: request.body.clone(),
        request_id,
        route: rule.key(),
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
    top_k: Option<usize>,
) -> HandoverReply {
    let is_search = top_k.is_some();
    let parts: &[Option<AnswerSource>] = match &result.outcome {
        RelayOutcome::Answered(parts) if is_search => parts,
        RelayOutcome::Answered(_) | RelayOutcome::TargetFailure(_) | RelayOutcome::Refused(_) => {
            &[]
        }
    };
    let outcome = &result.group_outcome;
    let outer_indexes = |inner: &[usize]| inner.iter().map(|index| sub_requests[*index]).collect();
    let unclear = outcome.unclear.iter();
    let unclear = unclear.map(|unclear| (sub_requests[unclear.sub_request], unclear.ran.clone()));
    let merged = merge_parts(node, parts, result, top_k.unwrap_or_default());
    let crashes = outcome.crashes.iter();
    let (links_lost, quarantine) = {
        let selector = lock(&node.selector);
        let quarantine = selector.quarantine_of(result.stats.fingerprint, node.timer.now());
        (selector.links().are_unusable(), quarantine)
    };
    HandoverReply {
        answered: outer_indexes(&outcome.answered),
        unclear: unclear.collect(),
        refused: outer_indexes(&outcome.refused),
        pending: outer_indexes(&outcome.pending),
        rest: None,
        unused_loans: outer_indexes(&outcome.unused_loans),
        reply: if is_search {
            None
        } else {
            encode_target_reply(result)
        },
        links_lost,
        retry_after_ms: retry_after_ms(result),
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
        quarantine,
    }
}

/// Encodes the reply of the target that answers a request which is no search.
fn encode_target_reply(result: &RelayResult) -> Option<TargetReplyMessage> {
    let (source, is_failure) = match &result.outcome {
        RelayOutcome::Answered(parts) => (parts.iter().flatten().next()?, false),
        RelayOutcome::TargetFailure(source) => (source, true),
        RelayOutcome::Refused(_) => return None,
    };
    let AnswerSource::Attempt(attempt) = source else {
        return None;
    };
    let reply = find_reply(&result.replies, *attempt)?;
    // An origin of a build up to 93e5007 forwards whatever it gets.
    is_forwarded(reply.status).then(|| TargetReplyMessage {
        status: reply.status.as_u16(),
        headers: encode_headers(&reply.headers),
        body: reply.body.clone(),
        is_failure,
    })
}

fn decode_target_reply(message: TargetReplyMessage) -> Option<RelayReply> {
    let status = StatusCode::from_u16(message.status).ok();
    Some(RelayReply {
        // A VM of a build before may have taken any status for a reply.
        status: status.filter(|status| is_final_status(*status))?,
        headers: decode_headers(&message.headers)?,
        body: message.body,
        on_reused_connection: false,
    })
}

fn retry_after_ms(result: &RelayResult) -> Option<u64> {
    let RelayOutcome::Refused(refusal) = &result.outcome else {
        return None;
    };
    let millis = refusal.retry_after?.as_millis();
    Some(u64::try_from(millis).unwrap_or(u64::MAX))
}

/// Decodes the reply of a broker into the outcome of the group, and its signatures and records.
///
/// `is_final` tells whether the broker ran the request as it does for its own callers.
pub(super) fn decode_reply(
    reply: HandoverReply,
    is_final: bool,
) -> (GroupOutcome, Option<GroupReply>) {
    let unclear = reply.unclear.into_iter();
    let unclear = unclear.map(|(sub_request, ran)| UnclearSubRequest {
        sub_request: usize::from(sub_request),
        ran,
    });
    let crashes = reply.crashes.iter();
    let has_failure_reply = reply.reply.as_ref().is_some_and(|reply| reply.is_failure);
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
        remainder: match (reply.links_lost, is_final) {
            (true, _) => GroupRemainder::LinksLost,
            (false, true) => GroupRemainder::Done,
            (false, false) => GroupRemainder::Open,
        },
        has_failure_reply,
        retry_after: reply.retry_after_ms.map(Duration::from_millis),
    };
    let group_reply = GroupReply {
        signatures: reply.signatures,
        records: reply.records,
        target_reply: reply.reply.and_then(decode_target_reply).map(Box::new),
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
