//! The operators' interface: configuration, status and metrics.

use std::sync::Arc;

use axum::{
    Json, Router,
    extract::{DefaultBodyLimit, State},
    http::{HeaderMap, HeaderValue, StatusCode, header},
    response::{IntoResponse, Response},
    routing::get,
};
use fulmarweir_conf::{ConfigVersion, TEXT_MAX_BYTES};
use serde_json::json;

use crate::{
    caller_error::{CallerError, Result},
    lifecycle::LifePhase,
    node::NodeState,
};

/// Routes of the operators' listener.
pub(crate) fn operator_router(node: Arc<NodeState>) -> Router {
    Router::new()
        .route("/v1/config", get(show_config).put(submit_config))
        .route("/metrics", get(show_metrics))
        .route("/healthz", get(async || "ok\n"))
        .route("/readyz", get(show_readiness))
        .layer(DefaultBodyLimit::max(TEXT_MAX_BYTES))
        .with_state(node)
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

async fn submit_config(
    State(node): State<Arc<NodeState>>,
    headers: HeaderMap,
    text: String,
) -> Response {
    match apply_change(&node, &headers, &text) {
        Ok(response) => response,
        Err(error) => error.into_response(),
    }
}

fn apply_change(node: &NodeState, headers: &HeaderMap, text: &str) -> Result<Response> {
    let at = expected_version(headers)?;
    let current = node.config.current().version;
    if at != current {
        let body = Json(json!({"version": current}));
        return Ok((StatusCode::CONFLICT, body).into_response());
    }
    match ConfigVersion::compile(at + 1, text) {
        Ok(version) => {
            node.config.apply(version);
            Ok(Json(json!({"version": at + 1})).into_response())
        }
        Err(faults) => {
            let body = Json(json!({"faults": faults.faults()}));
            Ok((StatusCode::UNPROCESSABLE_ENTITY, body).into_response())
        }
    }
}

fn expected_version(headers: &HeaderMap) -> Result<u64> {
    let text = headers.get(header::IF_MATCH).and_then(|v| v.to_str().ok());
    text.and_then(|text| text.trim_matches('"').parse().ok())
        .ok_or_else(|| CallerError::bad_request("if-match: expected \"VERSION\""))
}

async fn show_metrics(State(node): State<Arc<NodeState>>) -> String {
    node.metrics
        .config_version
        .set(node.config.current().version);
    node.metrics
        .connections
        .set(u64::from(node.links.usage().connections));
    node.metrics.render()
}

async fn show_readiness(State(node): State<Arc<NodeState>>) -> Response {
    let phase = node.life.phase();
    let status = match phase {
        LifePhase::Ready => StatusCode::OK,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    };
    (status, format!("{}\n", phase.as_str())).into_response()
}
