//! Reads the bodies of requests to `fulmarweird` before their handlers run.

use std::{sync::Arc, time::Duration};

use axum::{
    Extension, Router,
    body::Body,
    extract::{Request, State},
    http::{HeaderMap, StatusCode, header},
    middleware::{Next, from_fn_with_state},
    response::{IntoResponse, Response},
};
use fulmarweir_bounds::TrackedConnection;
use hyper::body::Body as _;

use crate::{
    body::{BodyBounds, BodyFault, drop_rest, read_body},
    caller_error::CallerError,
    caller_request::stated_time_limit,
    node::NodeState,
};

/// Most memory of the bodies of requests, in bytes: two of the largest that the settings can allow.
const REQUESTS_CEILING_BYTES: usize = 128 * 1024 * 1024;
/// Time limit for a body whose request states none, in seconds.
const BODY_TIMEOUT_S: u64 = 60;
/// `Retry-After` of requests whose bodies find no memory, in seconds.
const NO_MEMORY_RETRY_S: u64 = 1;

#[derive(Clone)]
struct BodyReader {
    node: Arc<NodeState>,
    max_bytes: usize,
}

/// Has bodies of at most `max_bytes` read within the memory that they share, before handlers of `router` run.
pub(crate) fn with_bodies(
    router: Router<Arc<NodeState>>,
    node: &Arc<NodeState>,
    max_bytes: usize,
) -> Router<Arc<NodeState>> {
    node.request_memory
        .make_room_for(max_bytes, REQUESTS_CEILING_BYTES);
    let reader = BodyReader {
        node: Arc::clone(node),
        max_bytes,
    };
    router.layer(from_fn_with_state(reader, run_with_body))
}

async fn run_with_body(
    State(reader): State<BodyReader>,
    Extension(connection): Extension<Arc<TrackedConnection>>,
    request: Request,
    next: Next,
) -> Response {
    let (head, body) = request.into_parts();
    match reader.read(&head.headers, body).await {
        Ok(body) => {
            let _run = connection.begin_run();
            next.run(Request::from_parts(head, body)).await
        }
        Err(fault) => {
            let error = refusal(fault);
            reader.node.metrics.count_refusal(error.reason);
            error.into_response()
        }
    }
}

impl BodyReader {
    async fn read(&self, headers: &HeaderMap, body: Body) -> Result<Body, BodyFault> {
        if body.is_end_stream() {
            return Ok(Body::empty());
        }
        let node = &self.node;
        let max_bytes = u64::try_from(self.max_bytes).unwrap_or(u64::MAX);
        if body.size_hint().lower() > max_bytes {
            // A caller that waits for a leave to send the body gets the refusal instead.
            if !headers.contains_key(header::EXPECT) {
                drop_rest(body, &node.body_tasks);
            }
            return Err(BodyFault::TooLarge);
        }
        let bounds = BodyBounds {
            max_bytes: self.max_bytes,
            timeout: stated_time_limit(headers).unwrap_or(Duration::from_secs(BODY_TIMEOUT_S)),
            memory: &node.request_memory,
            tasks: &node.body_tasks,
        };
        read_body(body, &bounds).await.map(Body::from)
    }
}

fn refusal(fault: BodyFault) -> CallerError {
    match fault {
        BodyFault::TooLarge => CallerError::unreadable(
            StatusCode::PAYLOAD_TOO_LARGE,
            "the body is too large".to_owned(),
        ),
        BodyFault::Broken => CallerError::bad_request("the body broke off"),
        BodyFault::TimedOut => CallerError::refused(
            StatusCode::REQUEST_TIMEOUT,
            "late-body",
            "the body did not arrive in time",
        ),
        BodyFault::NoMemory => {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            let message = "no memory for the body";
            let mut error = CallerError::refused(status, "no-memory", message);
            error.retry_after = Some(Duration::from_secs(NO_MEMORY_RETRY_S));
            error
        }
    }
}
