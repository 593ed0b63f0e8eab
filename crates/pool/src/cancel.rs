//! Cancels an attempt at a target.

use bytes::Bytes;
use http::{Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use serde::{Deserialize, Serialize};

use crate::connection::TargetConnection;

const CANCEL_REPLY_MAX_BYTES: usize = 4096;

#[derive(Serialize)]
struct CancelRequest<'a> {
    attempt: &'a str,
}

#[derive(Deserialize)]
struct CancelReply {
    ran: bool,
}

/// Asks the target to cancel `attempt`.
///
/// Returns true only if the target confirms that the attempt has not run and will not run.
pub(crate) async fn cancel_attempt(connection: &mut TargetConnection, attempt: &str) -> bool {
    let Ok(body) = serde_json::to_vec(&CancelRequest { attempt }) else {
        return false;
    };
    let message = Request::post("/cancel")
        .header(header::HOST, "target")
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body)));
    let Ok(message) = message else {
        return false;
    };
    let Ok(response) = connection.send(message).await else {
        return false;
    };
    if response.status() != StatusCode::OK {
        return false;
    }
    let body = Limited::new(response.into_body(), CANCEL_REPLY_MAX_BYTES);
    let Ok(body) = body.collect().await else {
        return false;
    };
    serde_json::from_slice(&body.to_bytes()).is_ok_and(|reply: CancelReply| !reply.ran)
}
