//! One HTTP request to a VM, and what its answer says about whether it ran.

use bytes::Bytes;
use fulmarweir_base::RunVerdict;
use http::{HeaderMap, HeaderValue, Method, StatusCode, header::HeaderName};
use serde_json::Value;

use crate::{
    failure::{RequestFailure, Result, ToolError},
    report::printable,
};

const RUN_HEADER: &str = "fulmarweir-run";

/// What sending a request twice does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CallKind {
    /// Nothing, and the VM answers by itself.
    Read,
    /// Nothing, but targets work for it.
    Search,
    /// The second one is answered with the outcome of the first.
    Keyed,
    /// It may run twice.
    Unkeyed,
}

/// A request that any VM may answer.
#[derive(Clone, Debug)]
pub(crate) struct VmCall {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) kind: CallKind,
    /// Whether the VM is told the time left.
    pub(crate) sends_deadline: bool,
}

impl VmCall {
    /// A request that only reads.
    pub(crate) fn get(path: &str) -> Self {
        Self::new(Method::GET, path.to_owned(), CallKind::Read)
    }

    /// A request without headers and body.
    pub(crate) fn new(method: Method, path: String, kind: CallKind) -> Self {
        Self {
            method,
            path,
            headers: HeaderMap::new(),
            body: Bytes::new(),
            kind,
            sends_deadline: false,
        }
    }

    /// Adds a header.
    ///
    /// # Errors
    ///
    /// Bad usage if the value has characters that headers can't carry.
    pub(crate) fn header(mut self, name: HeaderName, value: &str) -> Result<Self> {
        let header = HeaderValue::from_str(value).map_err(|_| {
            let message = format!("{name} has characters that a header can't carry");
            ToolError::BadUsage(message)
        })?;
        self.headers.insert(name, header);
        Ok(self)
    }

    /// Whether it may be sent again after its answer was lost.
    pub(crate) fn is_idempotent(&self) -> bool {
        self.kind != CallKind::Unkeyed
    }

    /// The verdict after bytes were sent and no usable answer came back.
    pub(crate) fn verdict_without_answer(&self) -> RunVerdict {
        match self.kind {
            CallKind::Read => RunVerdict::NotRun,
            CallKind::Search | CallKind::Keyed | CallKind::Unkeyed => RunVerdict::MayHaveRun,
        }
    }
}

/// A complete HTTP answer.
#[derive(Debug)]
pub(crate) struct VmReply {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl VmReply {
    /// The body as JSON.
    ///
    /// # Errors
    ///
    /// A failure that says that `call` ran: the VM accepted it, but what it
    /// said can't be read.
    pub(crate) fn json(&self, call: &VmCall) -> Result<Value> {
        let verdict = match call.kind {
            CallKind::Read => RunVerdict::NotRun,
            CallKind::Search | CallKind::Keyed | CallKind::Unkeyed => RunVerdict::Ran,
        };
        serde_json::from_slice(&self.body).map_err(|error| {
            let message = format!("the answer is not JSON: {error}");
            RequestFailure::of_transport(verdict, "bad-answer", message).into()
        })
    }

    /// Splits answers into those that accept the request and refusals.
    pub(crate) fn error_for_status(self, call: &VmCall) -> Result<Self, RequestFailure> {
        if self.status.is_success() {
            return Ok(self);
        }
        let body: Option<Value> = serde_json::from_slice(&self.body).ok();
        let error = body.as_ref().and_then(|body| body.get("error"));
        let field = |name| error.and_then(|e| e.get(name)).and_then(Value::as_str);
        let status_text = self.status.canonical_reason().unwrap_or("unknown status");
        let status_label = status_text.to_lowercase().replace(' ', "-");
        let reason = printable(field("reason").unwrap_or(&status_label));
        let message = printable(field("message").unwrap_or(status_text));
        Err(RequestFailure {
            verdict: self.verdict(call, field("run")),
            reason,
            message,
            is_final: is_final(self.status),
            is_conflict: self.status == StatusCode::CONFLICT,
            body,
        })
    }

    /// The verdict of a refusal: its header, else its body, else what its status implies.
    fn verdict(&self, call: &VmCall, body_verdict: Option<&str>) -> RunVerdict {
        let header = self.headers.get(RUN_HEADER).and_then(|h| h.to_str().ok());
        match header.or(body_verdict) {
            Some("not-run") => RunVerdict::NotRun,
            Some("ran") => RunVerdict::Ran,
            Some(_) => RunVerdict::MayHaveRun,
            None if is_final(self.status) => RunVerdict::NotRun,
            None => call.verdict_without_answer(),
        }
    }
}

/// Refusals of the request as such, which every VM would repeat.
fn is_final(status: StatusCode) -> bool {
    let may_pass = [StatusCode::REQUEST_TIMEOUT, StatusCode::TOO_MANY_REQUESTS];
    status.is_client_error() && !may_pass.contains(&status)
}
