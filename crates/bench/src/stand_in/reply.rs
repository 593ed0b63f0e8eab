//! Builds the HTTP replies of a stand-in target.

use bytes::Bytes;
use http::{Response, StatusCode};
use http_body_util::Full;
use serde::Serialize;

use super::{
    call::{TargetCall, header},
    settings::{HUGE_BODY_BYTES, ReplyFault},
    slots::SlotLoad,
};

pub(crate) type TargetResponse = Response<Full<Bytes>>;

/// Reply to an act.
#[derive(Debug, Serialize)]
pub(crate) struct ActDone<'a> {
    pub(crate) done: bool,
    pub(crate) key: Option<&'a str>,
    pub(crate) echo: &'a str,
}

/// Reply to `/cancel`.
#[derive(Debug, Serialize)]
pub(crate) struct CancelVerdict {
    pub(crate) ran: bool,
}

/// Reply to `/load`.
#[derive(Debug, Serialize)]
pub(crate) struct ReportedLoad {
    pub(crate) in_flight: u64,
    pub(crate) slots: u32,
    pub(crate) queued: usize,
}

impl From<SlotLoad> for ReportedLoad {
    fn from(load: SlotLoad) -> Self {
        Self {
            in_flight: load.running,
            slots: load.slots,
            queued: load.waiting,
        }
    }
}

impl ReportedLoad {
    pub(crate) fn header(&self) -> String {
        format!("{}/{}/{}", self.in_flight, self.slots, self.queued)
    }
}

pub(crate) fn json_reply<T: Serialize>(status: StatusCode, body: &T) -> TargetResponse {
    let body = serde_json::to_vec(body).unwrap_or_default();
    plain_reply(status, body)
}

pub(crate) fn plain_reply(status: StatusCode, body: impl Into<Bytes>) -> TargetResponse {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    response
}

/// Returns a refusal which guarantees that the request has not run and will not run.
pub(crate) fn not_run_reply(status: StatusCode, reason: &'static str) -> TargetResponse {
    let mut response = plain_reply(status, reason);
    let headers = response.headers_mut();
    headers.insert(header::NOT_RUN, http::HeaderValue::from_static("true"));
    response
}

/// Sets the headers that echo attempt, version and shard of the call.
pub(crate) fn set_echo_headers(response: &mut TargetResponse, call: &TargetCall) {
    let shard = format!("{}/{}", call.holding.shard, call.holding.of);
    set_header(response, header::ATTEMPT, &call.attempt);
    set_header(response, header::VERSION, &call.holding.version.to_string());
    set_header(response, header::SHARD, &shard);
}

pub(crate) fn set_header(response: &mut TargetResponse, name: &'static str, value: &str) {
    if let Ok(value) = value.parse() {
        response.headers_mut().insert(name, value);
    }
}

/// Replaces the body for faults that corrupt the body.
pub(crate) fn corrupt_body(response: &mut TargetResponse, fault: Option<ReplyFault>) {
    let body = match fault {
        Some(ReplyFault::BadJson) => Bytes::from_static(b"{\"hits\":[{\"id\":"),
        Some(ReplyFault::Huge) => Bytes::from(vec![b' '; HUGE_BODY_BYTES]),
        _ => return,
    };
    *response.body_mut() = Full::new(body);
}
