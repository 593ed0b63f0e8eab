//! Answers that the relay itself gives.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::Full;

/// Whole answer to a caller.
pub(crate) type RelayResponse = Response<Full<Bytes>>;

/// An answer with a short text.
pub(crate) fn text(status: StatusCode, body: impl Into<Bytes>) -> RelayResponse {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    response
}

/// An answer with a JSON body.
pub(crate) fn json(status: StatusCode, body: impl Into<Bytes>) -> RelayResponse {
    let mut response = text(status, body);
    let content_type = HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    response
}

/// A refusal of a request that has not run: the caller may come back after the pause.
pub(crate) fn retry_later(reason: &'static str, pause: Duration) -> RelayResponse {
    let mut response = text(StatusCode::SERVICE_UNAVAILABLE, reason);
    let seconds = format!("{:.3}", pause.as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    response
}
