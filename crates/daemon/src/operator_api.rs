//! HTTP interface for operators: configuration, status and metrics.

use std::sync::Arc;

use axum::{
    Json, Router,
    extract::{DefaultBodyLimit, Request, State, rejection::StringRejection},
    http::{HeaderMap, HeaderValue, StatusCode, header},
    middleware::{self, Next},
    response::{IntoResponse, Response},
    routing::get,
};
use fulmarweir_base::RunVerdict;
use fulmarweir_conf::TEXT_MAX_BYTES;
use serde_json::json;

use crate::{
    caller_error::{CallerError, Result},
    config_change::{ChangeRequest, ConfigChangeOutcome, read_changes, submit_change},
    lifecycle::LifecyclePhase,
    node::NodeState,
    request_body::with_bodies,
    status::{status_report, target_report, update_gauges},
};

/// Maximum length of a change id, in bytes.
const CHANGE_ID_MAX_BYTES: usize = 128;

/// Returns the router of the operators' listener.
pub(crate) fn operator_router(node: Arc<NodeState>) -> Router {
    let protected = Router::new()
        .route("/v1/config", get(show_config).put(handle_change))
        .route("/v1/config/history", get(show_history))
        .route("/v1/status", get(show_status))
        .route("/v1/targets", get(show_targets));
    let protected = with_bodies(protected, &node, TEXT_MAX_BYTES + 1).layer(
        middleware::from_fn_with_state(Arc::clone(&node), check_bearer_token),
    );
    Router::new()
        .merge(protected)
        .route("/metrics", get(show_metrics))
        .route("/healthz", get(async || "ok\n"))
        .route("/readyz", get(show_readiness))
        .layer(DefaultBodyLimit::disable())
        .with_state(node)
}

async fn check_bearer_token(
    State(node): State<Arc<NodeState>>,
    request: Request,
    next: Next,
) -> Response {
    let Some(token) = &node.settings.operator_token else {
        return next.run(request).await;
    };
    let given = request.headers().get(header::AUTHORIZATION);
    let expected = format!("Bearer {token}");
    if given.is_some_and(|given| constant_time_eq(given.as_bytes(), expected.as_bytes())) {
        return next.run(request).await;
    }
    let status = StatusCode::UNAUTHORIZED;
    CallerError::refused(status, "no-token", "expected the operators' bearer token").into_response()
}

/// Compares without early exit, so that the time taken does not reveal how many bytes match.
fn constant_time_eq(a: &[u8], b: &[u8]) -> bool {
    let differing = a.iter().zip(b).fold(0, |sum, (x, y)| sum | (x ^ y));
    a.len() == b.len() && differing == 0
}

async fn show_config(State(node): State<Arc<NodeState>>) -> Response {
    let current = node.config.current();
    let mut response = current.text.to_string().into_response();
    let etag = format!("\"{}\"", current.version);
    if let Ok(etag) = HeaderValue::from_str(&etag) {
        response.headers_mut().insert(header::ETAG, etag);
    }
    response
}

async fn handle_change(
    State(node): State<Arc<NodeState>>,
    headers: HeaderMap,
    text: std::result::Result<String, StringRejection>,
) -> Response {
    let text = text.map_err(|fault| CallerError::unreadable(fault.status(), fault.body_text()));
    let request = match text.and_then(|text| read_change(&headers, text)) {
        Ok(request) => request,
        Err(error) => return error.into_response(),
    };
    match submit_change(&node, request).await {
        ConfigChangeOutcome::Accepted { version } => {
            Json(json!({"version": version})).into_response()
        }
        ConfigChangeOutcome::Conflict { current } => {
            let body = Json(json!({"version": current}));
            not_run_response(StatusCode::CONFLICT, body)
        }
        ConfigChangeOutcome::Faulty(faults) => {
            let body = Json(json!({"faults": faults.faults(), "omitted": faults.omitted()}));
            not_run_response(StatusCode::UNPROCESSABLE_ENTITY, body)
        }
        ConfigChangeOutcome::NoQuorum(verdict) => {
            let mut error = CallerError::refused(
                StatusCode::SERVICE_UNAVAILABLE,
                "no-quorum",
                "no majority of voters answered in time; resend with the same change id",
            );
            error.verdict = verdict;
            error.into_response()
        }
    }
}

/// Returns the response to a change that was not made, with a machine-readable body.
fn not_run_response(status: StatusCode, body: Json<serde_json::Value>) -> Response {
    let verdict = HeaderValue::from_static(RunVerdict::NotRun.as_str());
    (status, [("fulmarweir-run", verdict)], body).into_response()
}

fn read_change(headers: &HeaderMap, text: String) -> Result<ChangeRequest> {
    let expected_version = headers
        .get(header::IF_MATCH)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.trim_matches('"').parse().ok())
        .filter(|version| *version < u64::MAX)
        .ok_or_else(|| CallerError::bad_request("if-match: expected \"VERSION\""))?;
    let change_id = headers
        .get("change-id")
        .and_then(|value| value.to_str().ok())
        .filter(|id| (1..=CHANGE_ID_MAX_BYTES).contains(&id.len()))
        .ok_or_else(|| CallerError::bad_request("change-id: expected 1 to 128 characters"))?;
    Ok(ChangeRequest {
        expected_version,
        change_id: change_id.into(),
        text: text.into(),
    })
}

async fn show_history(State(node): State<Arc<NodeState>>) -> Response {
    match read_changes(&node).await {
        Some(changes) => Json(json!({"changes": changes})).into_response(),
        None => CallerError::refused(
            StatusCode::SERVICE_UNAVAILABLE,
            "no-quorum",
            "no majority of voters answered in time",
        )
        .into_response(),
    }
}

async fn show_status(State(node): State<Arc<NodeState>>) -> Response {
    Json(status_report(&node).await).into_response()
}

async fn show_targets(State(node): State<Arc<NodeState>>) -> Response {
    Json(target_report(&node)).into_response()
}

async fn show_metrics(State(node): State<Arc<NodeState>>) -> String {
    update_gauges(&node);
    node.metrics.render()
}

async fn show_readiness(State(node): State<Arc<NodeState>>) -> Response {
    let phase = node.lifecycle.phase();
    let status = match phase {
        LifecyclePhase::Ready => StatusCode::OK,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    };
    (status, format!("{}\n", phase.as_str())).into_response()
}
