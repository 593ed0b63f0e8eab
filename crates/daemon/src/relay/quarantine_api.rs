//! The operators' view of requests that end targets: list them, block one, release one.

use std::{sync::Arc, time::Duration};

use fulmarweir_base::lock;
use fulmarweir_route::{QuarantineEntry, RequestFingerprint};
use http::{Method, StatusCode, Uri};
use serde_json::{Value, json};

use super::{
    control::NOT_REPLICATED,
    keeper::KeeperNode,
    response::{RelayResponse, json as json_response, text, unavailable},
};

const PATH: &str = "/v1/quarantine";
/// Time for which a request is blocked if the operator names none, and at most, in seconds.
const BLOCK_DEFAULT_S: u64 = 3_600;
const BLOCK_MAX_S: u64 = 30 * 86_400;

/// What an operator asks for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum QuarantineCall {
    List,
    Block(RequestFingerprint, Duration),
    Release(RequestFingerprint),
    /// Not a valid call, for this reason.
    Invalid(&'static str),
}

/// Returns the call of an operator, or `None` if the path is another one.
pub(super) fn quarantine_call(method: &Method, uri: &Uri) -> Option<QuarantineCall> {
    let rest = uri.path().strip_prefix(PATH)?;
    if rest.is_empty() {
        return Some(match *method {
            Method::GET => QuarantineCall::List,
            _ => QuarantineCall::Invalid("name a fingerprint"),
        });
    }
    let Ok(fingerprint) = rest.strip_prefix('/')?.parse() else {
        return Some(QuarantineCall::Invalid(
            "a fingerprint is 32 hexadecimal digits",
        ));
    };
    Some(match *method {
        Method::PUT => match block_seconds(uri.query()) {
            Some(seconds) => QuarantineCall::Block(fingerprint, Duration::from_secs(seconds)),
            None => QuarantineCall::Invalid("`seconds` is a number from 1 to 2592000"),
        },
        Method::DELETE => QuarantineCall::Release(fingerprint),
        _ => QuarantineCall::Invalid("use PUT to block a request and DELETE to release it"),
    })
}

fn block_seconds(query: Option<&str>) -> Option<u64> {
    let Some(query) = query else {
        return Some(BLOCK_DEFAULT_S);
    };
    let seconds: u64 = query.strip_prefix("seconds=")?.parse().ok()?;
    (1..=BLOCK_MAX_S).contains(&seconds).then_some(seconds)
}

/// Carries out the call of an operator. A change is in force on all VMs in touch within a poll, and is
/// acknowledged once enough keepers have stored it.
pub(super) async fn answer_quarantine_call(
    node: &Arc<KeeperNode>,
    call: QuarantineCall,
) -> RelayResponse {
    let now = node.timer.now();
    let (fingerprint, blocked_for) = match call {
        QuarantineCall::List => {
            let entries = lock(&node.tally).table().entries(now);
            let entries: Vec<Value> = entries.iter().map(entry_json).collect();
            let body = json!({"requests": entries}).to_string();
            return json_response(StatusCode::OK, body);
        }
        QuarantineCall::Invalid(reason) => return text(StatusCode::BAD_REQUEST, reason),
        QuarantineCall::Block(fingerprint, span) => (fingerprint, Some(span)),
        QuarantineCall::Release(fingerprint) => (fingerprint, None),
    };
    let entry = lock(&node.tally).set_by_operator(fingerprint, blocked_for, now);
    node.publish_quarantine(std::slice::from_ref(&entry), "operator");
    if !node.replicate_quarantine(&entry).await {
        return unavailable(NOT_REPLICATED);
    }
    json_response(StatusCode::OK, entry_json(&entry).to_string())
}

fn entry_json(entry: &QuarantineEntry) -> Value {
    json!({
        "fingerprint": entry.fingerprint.to_string(),
        "state": entry.state.as_str(),
        "crashes": entry.crashes,
        "blocks": entry.blocks,
        "by_operator": entry.by_operator,
        "spared": entry.spared,
        "age_ms": entry.age.as_millis(),
        "ends_after_ms": entry.ends_after.as_millis(),
    })
}
