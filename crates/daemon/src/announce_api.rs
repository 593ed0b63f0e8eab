//! HTTP interface for targets: announcements.

use std::sync::Arc;

use axum::{
    Json, Router,
    body::Bytes,
    extract::{DefaultBodyLimit, State, rejection::BytesRejection},
    http::StatusCode,
    response::{IntoResponse, Response},
    routing::post,
};
use fulmarweir_base::TargetRecord;
use fulmarweir_fleet::{AnnounceError, AnnounceReply};
use serde_json::json;

use crate::{
    caller_error::{CallerError, Result},
    fleet_driver::apply_announcement,
    metrics::OutcomeLabel,
    node::NodeState,
    request_body::with_bodies,
};

/// Maximum size of an announcement, in bytes.
const ANNOUNCEMENT_MAX_BYTES: usize = 64 * 1024;

/// Returns the router of the targets' listener.
pub(crate) fn announce_router(node: Arc<NodeState>) -> Router {
    let router = Router::new().route("/v1/announce", post(handle_announcement));
    with_bodies(router, &node, ANNOUNCEMENT_MAX_BYTES)
        .layer(DefaultBodyLimit::disable())
        .with_state(node)
}

async fn handle_announcement(
    State(node): State<Arc<NodeState>>,
    body: std::result::Result<Bytes, BytesRejection>,
) -> Response {
    let body = body.map_err(|fault| CallerError::unreadable(fault.status(), fault.body_text()));
    let result = body.and_then(|body| announce(&node, &body));
    let outcome = match &result {
        Ok(_) => "accepted",
        Err(error) => error.reason,
    };
    let label = OutcomeLabel { outcome };
    node.metrics.announcements.get_or_create(&label).inc();
    match result {
        Ok(reply) => {
            let body = json!({
                "lease_ms": reply.lease_ms,
                "next_ms": reply.next_ms,
                "at": reply.at.to_string(),
            });
            Json(body).into_response()
        }
        Err(error) => error.into_response(),
    }
}

fn announce(node: &Arc<NodeState>, body: &[u8]) -> Result<AnnounceReply> {
    let record: TargetRecord = serde_json::from_slice(body)
        .map_err(|error| CallerError::bad_request(format!("announcement: {error}")))?;
    apply_announcement(node, record).map_err(|refusal| refusal_error(&refusal))
}

fn refusal_error(refusal: &AnnounceError) -> CallerError {
    let (status, reason) = match refusal {
        AnnounceError::StaleIncarnation(_) => (StatusCode::CONFLICT, "stale-incarnation"),
        AnnounceError::TooManyHoldings(_) => (StatusCode::BAD_REQUEST, "too-many-holdings"),
        AnnounceError::ShardOutOfRange { .. } => (StatusCode::BAD_REQUEST, "shard-out-of-range"),
        AnnounceError::NoCapacity => (StatusCode::BAD_REQUEST, "no-capacity"),
        AnnounceError::NotTakingPart => (StatusCode::SERVICE_UNAVAILABLE, "not-taking-part"),
    };
    CallerError::refused(status, reason, refusal.to_string())
}
