//! Error responses to callers and operators.

use std::time::Duration;

use axum::{
    Json,
    http::{HeaderValue, StatusCode, header},
    response::{IntoResponse, Response},
};
use fulmarweir_base::RunVerdict;
use serde::Serialize;

/// A refused or failed request, with its run verdict.
#[derive(Clone, Debug)]
pub(crate) struct CallerError {
    pub(crate) status: StatusCode,
    pub(crate) reason: &'static str,
    pub(crate) verdict: RunVerdict,
    pub(crate) message: String,
    pub(crate) retry_after: Option<Duration>,
}

/// Result of handling a request of a caller or an operator.
pub(crate) type Result<T> = std::result::Result<T, CallerError>;

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: ErrorDetail<'a>,
}

#[derive(Serialize)]
struct ErrorDetail<'a> {
    reason: &'a str,
    run: RunVerdict,
    message: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u128>,
}

impl CallerError {
    /// Returns the refusal of a request that has certainly not run.
    pub(crate) fn refused(
        status: StatusCode,
        reason: &'static str,
        message: impl Into<String>,
    ) -> Self {
        Self {
            status,
            reason,
            verdict: RunVerdict::NotRun,
            message: message.into(),
            retry_after: None,
        }
    }

    /// Returns the refusal of a request that the HTTP layer could not read.
    pub(crate) fn unreadable(status: StatusCode, message: String) -> Self {
        let reason = match status {
            StatusCode::PAYLOAD_TOO_LARGE => "too-large",
            _ => "bad-request",
        };
        Self::refused(status, reason, message)
    }

    pub(crate) fn bad_request(message: impl Into<String>) -> Self {
        Self::refused(StatusCode::BAD_REQUEST, "bad-request", message)
    }
}

impl IntoResponse for CallerError {
    fn into_response(self) -> Response {
        let body = ErrorBody {
            error: ErrorDetail {
                reason: self.reason,
                run: self.verdict,
                message: &self.message,
                retry_after_ms: self.retry_after.map(|delay| delay.as_millis()),
            },
        };
        let mut response = (self.status, Json(&body)).into_response();
        let headers = response.headers_mut();
        headers.insert(
            "fulmarweir-run",
            HeaderValue::from_static(self.verdict.as_str()),
        );
        if let Some(delay) = self.retry_after {
            let seconds = delay.as_secs_f64().ceil().max(1.0);
            if let Ok(value) = HeaderValue::from_str(&format!("{seconds:.0}")) {
                headers.insert(header::RETRY_AFTER, value);
            }
        }
        response
    }
}
