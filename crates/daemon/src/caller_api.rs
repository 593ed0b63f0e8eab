//! The callers' interface: searches and acts.

use std::{sync::Arc, time::Duration};

use axum::{
    Json, Router,
    body::Bytes,
    extract::{DefaultBodyLimit, Path, Query, State},
    http::{HeaderMap, HeaderValue, StatusCode},
    response::{IntoResponse, Response},
    routing::post,
};
use fulmarweir_base::ServiceName;
use fulmarweir_conf::ServicePlan;
use serde::Deserialize;
use serde_json::json;

use crate::{
    caller_error::{CallerError, Result},
    node::NodeState,
    search::{SearchAnswer, run_search},
};

#[derive(Deserialize)]
pub(crate) struct AskQuery {
    pub(crate) limit: Option<usize>,
}

/// Routes of the callers' listener.
pub(crate) fn caller_router(node: Arc<NodeState>) -> Router {
    Router::new()
        .route("/v1/search/{*service}", post(handle_search))
        .layer(DefaultBodyLimit::max(node.settings.body_max_bytes))
        .with_state(node)
}

async fn handle_search(
    State(node): State<Arc<NodeState>>,
    Path(service): Path<String>,
    Query(ask): Query<AskQuery>,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    match search_service(&node, &service, &ask, &headers, body).await {
        Ok(answer) => answer_response(&answer),
        Err(error) => {
            node.metrics.count_refusal(error.reason);
            error.into_response()
        }
    }
}

async fn search_service(
    node: &NodeState,
    service: &str,
    ask: &AskQuery,
    headers: &HeaderMap,
    body: Bytes,
) -> Result<SearchAnswer> {
    let plan = find_plan(node, service)?;
    let patience = caller_patience(headers, &plan)?;
    let deadline = node.timer.now() + patience;
    let Some(mut answer) = run_search(node, &plan, body, deadline).await else {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        return Err(CallerError::refused(
            status,
            "no-target",
            "no target of the service is in use",
        ));
    };
    answer.hits.truncate(ask.limit.unwrap_or(usize::MAX));
    Ok(answer)
}

fn find_plan(node: &NodeState, service: &str) -> Result<Arc<ServicePlan>> {
    let name: ServiceName = service
        .parse()
        .map_err(|error| CallerError::bad_request(format!("{error}")))?;
    let status = StatusCode::NOT_FOUND;
    node.config.plan(&name).ok_or_else(|| {
        CallerError::refused(status, "unknown-service", format!("no service {name}"))
    })
}

fn caller_patience(headers: &HeaderMap, plan: &ServicePlan) -> Result<Duration> {
    let Some(value) = headers.get("fulmarweir-deadline-ms") else {
        return Ok(plan.deadline);
    };
    let millis = value.to_str().ok().and_then(|text| text.parse().ok());
    let millis = millis.ok_or_else(|| {
        CallerError::bad_request("fulmarweir-deadline-ms: expected whole milliseconds")
    })?;
    Ok(plan.deadline.min(Duration::from_millis(millis)))
}

fn answer_response(answer: &SearchAnswer) -> Response {
    let answered = answer.shards - u32::try_from(answer.missing.len()).unwrap_or_default();
    let body = json!({
        "version": answer.version,
        "coverage": {
            "shards": answer.shards,
            "answered": answered,
            "missing": answer.missing,
        },
        "hits": answer.hits,
    });
    let mut response = Json(body).into_response();
    let headers = response.headers_mut();
    let coverage = format!("{answered}/{}", answer.shards);
    if let Ok(coverage) = HeaderValue::from_str(&coverage) {
        headers.insert("fulmarweir-coverage", coverage);
    }
    headers.insert("fulmarweir-version", HeaderValue::from(answer.version));
    response
}
