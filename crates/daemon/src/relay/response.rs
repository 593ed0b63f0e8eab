//! Responses that the relay generates itself.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};

/// `Retry-After` of responses to targets and operators after a failure, in milliseconds.
const UNAVAILABLE_RETRY_MS: u64 = 200;

/// A response with a complete body.
pub(crate) type RelayResponse = Response<Bytes>;

/// Returns a response with a text body.
pub(crate) fn text(status: StatusCode, body: impl Into<Bytes>) -> RelayResponse {
    let mut response = Response::new(body.into());
    *response.status_mut() = status;
    response
}

/// Returns a response with a JSON body.
pub(crate) fn json(status: StatusCode, body: impl Into<Bytes>) -> RelayResponse {
    let mut response = text(status, body);
    let content_type = HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    response
}

/// Returns a 503 response to a request that has not run, with `pause` as `Retry-After` in seconds.
pub(crate) fn retry_later(reason: &'static str, pause: Duration) -> RelayResponse {
    retry_with_status(StatusCode::SERVICE_UNAVAILABLE, reason, pause)
}

/// Returns a 503 response to a target or an operator whose call failed, or whose outcome is open.
pub(crate) fn unavailable(reason: &'static str) -> RelayResponse {
    retry_later(reason, Duration::from_millis(UNAVAILABLE_RETRY_MS))
}

/// Returns a response to a request that has not run, with `pause` as `Retry-After` in seconds.
pub(crate) fn retry_with_status(
    status: StatusCode,
    reason: &'static str,
    pause: Duration,
) -> RelayResponse {
    let mut response = text(status, reason);
    let seconds = format!("{:.3}", pause.as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    response
}
