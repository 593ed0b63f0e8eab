//! The targets' interface: announcements.

use std::sync::Arc;

use axum::{
    Json, Router,
    extract::{DefaultBodyLimit, State},
    http::StatusCode,
    response::{IntoResponse, Response},
    routing::post,
};
use fulmarweir_base::TargetRecord;
use serde_json::json;

use crate::{
    caller_error::CallerError,
    node::NodeState,
    registry::{LEASE_MS, NEXT_MS},
};

/// Largest announcement in bytes.
const ANNOUNCEMENT_MAX_BYTES: usize = 64 * 1024;

/// Routes of the targets' listener.
pub(crate) fn announce_router(node: Arc<NodeState>) -> Router {
    Router::new()
        .route("/v1/announce", post(handle_announcement))
        .layer(DefaultBodyLimit::max(ANNOUNCEMENT_MAX_BYTES))
        .with_state(node)
}

async fn handle_announcement(
    State(node): State<Arc<NodeState>>,
    Json(record): Json<TargetRecord>,
) -> Response {
    if node.registry.announce(record, node.timer.now()) {
        let at = node.settings.listen.targets.to_string();
        return Json(json!({"lease_ms": LEASE_MS, "next_ms": NEXT_MS, "at": at})).into_response();
    }
    let status = StatusCode::CONFLICT;
    CallerError::refused(status, "old-incarnation", "a newer incarnation is known").into_response()
}
