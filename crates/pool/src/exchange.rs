//! Sends one request on a connection and reads and validates its reply.

use std::time::Duration;

use bytes::Bytes;
use fulmarweir_base::{MonoTime, RunVerdict};
use http::{HeaderMap, Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::body::Incoming;

use crate::{
    bounded_reply::{BodyFault, read_reply_body},
    connection::TargetConnection,
    request::{ReportedLoad, Result, TargetAnswer, TargetError, TargetFault, TargetRequest},
};

const RETRY_AFTER_MAX_S: u64 = 60;

/// Sends `request` and reads its whole reply.
pub(crate) async fn run_exchange(
    connection: &mut TargetConnection,
    request: &TargetRequest,
    now: MonoTime,
) -> Result<TargetAnswer> {
    let message = build_request(request, now)?;
    let is_reused = connection.is_used();
    let response = match connection.send(message).await {
        Ok(response) => response,
        Err(mut error) => return Err(send_error(error.take_message().is_some())),
    };
    read_reply(request, response, is_reused).await
}

/// Returns the error of a failed send.
///
/// `is_unsent`: hyper handed the message back, which it does only if no byte of it was written.
fn send_error(is_unsent: bool) -> TargetError {
    if is_unsent {
        TargetError::not_run(TargetFault::Connect)
    } else {
        TargetError::may_have_run(TargetFault::Broken)
    }
}

fn build_request(request: &TargetRequest, now: MonoTime) -> Result<Request<Full<Bytes>>> {
    let left_ms = request.deadline.since(now).as_millis();
    let shard = format!("{}/{}", request.shard, request.of);
    let mut builder = Request::post("/query")
        .header(header::HOST, "target")
        .header(header::CONTENT_TYPE, "application/json")
        .header("fulmarweir-request", &*request.request)
        .header("fulmarweir-attempt", &*request.attempt)
        .header("fulmarweir-service", request.service.as_str())
        .header("fulmarweir-version", request.version)
        .header("fulmarweir-shard", shard)
        .header("fulmarweir-deadline-ms", left_ms.to_string())
        .header("fulmarweir-kind", request.kind.as_str());
    if let Some(key) = &request.key {
        builder = builder.header("fulmarweir-key", &**key);
    }
    builder
        .body(Full::new(request.body.clone()))
        .map_err(|_| TargetError::not_run(TargetFault::BadStatus))
}

async fn read_reply(
    request: &TargetRequest,
    response: Response<Incoming>,
    is_reused: bool,
) -> Result<TargetAnswer> {
    let (head, body) = response.into_parts();
    if !has_framing(&head.headers) {
        // A body without framing ends with its connection, so a truncated one would look complete.
        return Err(TargetError::may_have_run(TargetFault::Broken));
    }
    let body = read_reply_body(body).await.map_err(|fault| {
        TargetError::may_have_run(match fault {
            BodyFault::Broken => TargetFault::Broken,
            BodyFault::TooLarge => TargetFault::TooLarge,
        })
    })?;
    if head.status == StatusCode::OK {
        return validate_answer(request, &head.headers, body);
    }
    Err(refusal_error(
        request,
        head.status,
        &head.headers,
        is_reused,
    ))
}

/// Whether the headers delimit the body, by its length or by chunks.
fn has_framing(headers: &HeaderMap) -> bool {
    headers.contains_key(header::CONTENT_LENGTH) || headers.contains_key(header::TRANSFER_ENCODING)
}

fn validate_answer(
    request: &TargetRequest,
    headers: &HeaderMap,
    body: Bytes,
) -> Result<TargetAnswer> {
    if !echoes_attempt(request, headers) {
        return Err(TargetError::may_have_run(TargetFault::BadEcho));
    }
    let load = text_header(headers, "fulmarweir-load").and_then(ReportedLoad::parse);
    Ok(TargetAnswer { body, load })
}

fn echoes_attempt(request: &TargetRequest, headers: &HeaderMap) -> bool {
    let shard = format!("{}/{}", request.shard, request.of);
    let version = request.version.to_string();
    text_header(headers, "fulmarweir-attempt") == Some(&request.attempt)
        && text_header(headers, "fulmarweir-version") == Some(&version)
        && text_header(headers, "fulmarweir-shard") == Some(&shard)
}

/// Returns the error of a reply with a status other than 200.
///
/// A refusal that names another attempt says nothing about this one. One that names none may be the late
/// copy of an earlier refusal if the connection was reused. The verdict is not-run only
/// for a status 410, 429 or 503 whose headers state that the request has not run.
fn refusal_error(
    request: &TargetRequest,
    status: StatusCode,
    headers: &HeaderMap,
    is_reused: bool,
) -> TargetError {
    let named = text_header(headers, "fulmarweir-attempt");
    if named.is_some_and(|attempt| attempt != &*request.attempt) {
        return TargetError::may_have_run(TargetFault::BadEcho);
    }
    let is_own = named.is_some() || !is_reused;
    let is_marked_not_run = text_header(headers, "fulmarweir-not-run") == Some("true");
    let fault = match status {
        StatusCode::GONE => TargetFault::VersionGone,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => TargetFault::Shed,
        _ => TargetFault::BadStatus,
    };
    if !is_own || !is_marked_not_run || fault == TargetFault::BadStatus {
        return TargetError::may_have_run(TargetFault::BadStatus);
    }
    TargetError {
        fault,
        verdict: RunVerdict::NotRun,
        retry_after: retry_after(headers),
    }
}

fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let seconds: u64 = text_header(headers, "retry-after")?.parse().ok()?;
    Some(Duration::from_secs(seconds.min(RETRY_AFTER_MAX_S)))
}

fn text_header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
