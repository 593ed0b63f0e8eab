//! HTTP interface for callers: searches and acts.

use std::sync::Arc;

use axum::{
    Router,
    body::{Body, Bytes},
    extract::{DefaultBodyLimit, State},
    http::{HeaderValue, StatusCode, header},
    response::{IntoResponse, Response},
    routing::post,
};
use fulmarweir_conf::ServiceKind;
use fulmarweir_route::{
    ActParams, RefusalReason, RouteRefusal, SearchAnswer, SearchParams, write_hits,
};
use serde::Serialize;

use crate::{
    act::{ActRequest, ActRequestOutcome, UNDECIDED_REFUSAL, run_act},
    caller_error::{CallerError, Result},
    caller_request::{CallerRequest, RawRequest},
    node::NodeState,
    request_body::with_bodies,
    search::run_search,
};

/// Returns the router of the callers' listener.
pub(crate) fn caller_router(node: Arc<NodeState>) -> Router {
    let router = Router::new()
        .route("/v1/search/{*service}", post(handle_search))
        .route("/v1/act/{*service}", post(handle_act));
    with_bodies(router, &node, node.settings.body_max_bytes)
        .layer(DefaultBodyLimit::disable())
        .with_state(node)
}

async fn handle_search(State(node): State<Arc<NodeState>>, raw_request: RawRequest) -> Response {
    let result = answer_before_exit(&node, search_service(&node, raw_request)).await;
    respond(&node, result.map(|answer| answer_response(&answer)))
}

async fn handle_act(State(node): State<Arc<NodeState>>, raw_request: RawRequest) -> Response {
    let result = answer_before_exit(&node, act_service(&node, raw_request)).await;
    respond(&node, result)
}

/// Waits for the result of a request, or refuses it as undecided once the process is about to exit.
///
/// Load pattern: targets are still silent when the time for a planned stop is up.
async fn answer_before_exit<T>(
    node: &NodeState,
    result: impl Future<Output = Result<T>>,
) -> Result<T> {
    tokio::select! {
        biased;
        result = result => result,
        () = node.exiting.cancelled() => Err(refusal_error(&UNDECIDED_REFUSAL)),
    }
}

fn respond(node: &NodeState, result: Result<Response>) -> Response {
    result.unwrap_or_else(|error| {
        node.metrics.count_refusal(error.reason);
        error.into_response()
    })
}

async fn search_service(node: &NodeState, raw_request: RawRequest) -> Result<SearchAnswer> {
    let (request, body) = CallerRequest::read(node, raw_request, ServiceKind::Search)?;
    let params = SearchParams {
        key: request.key.clone(),
        min_version: request.min_version,
        deadline: request.deadline,
        limit: request.limit,
        nested: request.nested,
        repeated: false,
        arrived: None,
    };
    let service_config = Arc::clone(&request.service_config);
    let run_request = request.into_run_request(node, body);
    let answer = run_search(node, service_config, params, run_request).await;
    answer.map_err(|refusal| refusal_error(&refusal))
}

async fn act_service(node: &Arc<NodeState>, raw_request: RawRequest) -> Result<Response> {
    let (request, body) = CallerRequest::read(node, raw_request, ServiceKind::Act)?;
    let Some(key) = request.key.clone() else {
        return Err(CallerError::bad_request("an act needs ?key=K"));
    };
    let act = ActRequest {
        service_config: Arc::clone(&request.service_config),
        params: ActParams {
            key,
            deadline: request.deadline,
            repeated: false,
            arrived: None,
        },
        idempotency_key: request.idempotency_key.clone(),
        run_request: request.into_run_request(node, body),
    };
    // The act continues if its caller disconnects, so that its outcome is recorded.
    let task = node.act_tasks.spawn(run_act(Arc::clone(node), act));
    let outcome = task
        .await
        .unwrap_or(ActRequestOutcome::Refused(UNDECIDED_REFUSAL));
    act_response(outcome)
}

fn act_response(outcome: ActRequestOutcome) -> Result<Response> {
    match outcome {
        ActRequestOutcome::Ran { reply, replayed } => {
            let mut response = json_response(reply.body);
            let headers = response.headers_mut();
            headers.insert("fulmarweir-run", HeaderValue::from_static("ran"));
            if replayed {
                headers.insert("fulmarweir-replayed", HeaderValue::from_static("true"));
            } else {
                headers.insert("fulmarweir-version", HeaderValue::from(reply.version));
            }
            Ok(response)
        }
        ActRequestOutcome::Refused(refusal) => Err(refusal_error(&refusal)),
        ActRequestOutcome::OtherBody => Err(CallerError::refused(
            StatusCode::CONFLICT,
            "other-body",
            "the idempotency key was used with another key or body",
        )),
        ActRequestOutcome::NoClaim => Err(CallerError::refused(
            StatusCode::SERVICE_UNAVAILABLE,
            "no-claim",
            "no majority of voters took the claim; nothing was sent to a target",
        )),
    }
}

fn refusal_error(refusal: &RouteRefusal) -> CallerError {
    let status = match refusal.reason {
        RefusalReason::QueueFull => StatusCode::TOO_MANY_REQUESTS,
        RefusalReason::Deadline | RefusalReason::Undecided => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    };
    CallerError {
        status,
        reason: refusal.reason.as_str(),
        verdict: refusal.verdict,
        message: refusal.to_string(),
        retry_after: refusal.retry_after,
    }
}

#[derive(Serialize)]
struct CoverageBody<'a> {
    shards: u32,
    answered: u32,
    missing: &'a [u32],
}

fn answer_response(answer: &SearchAnswer) -> Response {
    let coverage = CoverageBody {
        shards: answer.shards,
        answered: answer.answered,
        missing: &answer.missing,
    };
    // A struct of numbers always serializes.
    let coverage = serde_json::to_string(&coverage).unwrap_or_default();
    let version = answer.version;
    let head = format!("{{\"version\":{version},\"coverage\":{coverage},\"hits\":");
    let mut body = head.into_bytes();
    write_hits(&answer.hits, &mut body);
    body.push(b'}');
    let mut response = json_response(body.into());
    let headers = response.headers_mut();
    let ratio = format!("{}/{}", answer.answered, answer.shards);
    if let Ok(ratio) = HeaderValue::from_str(&ratio) {
        headers.insert("fulmarweir-coverage", ratio);
    }
    headers.insert("fulmarweir-version", HeaderValue::from(version));
    response
}

fn json_response(body: Bytes) -> Response {
    let content_type = HeaderValue::from_static("application/json");
    ([(header::CONTENT_TYPE, content_type)], Body::from(body)).into_response()
}
