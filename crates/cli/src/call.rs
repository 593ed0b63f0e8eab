//! An HTTP request to a VM, its answer, and the run verdict that follows from the answer.

use bytes::Bytes;
use fulmarweir_base::RunVerdict;
use http::{HeaderMap, HeaderValue, Method, StatusCode, header::HeaderName};
use serde_json::Value;

use crate::{
    failure::{RequestFailure, Result, ToolError},
    report::printable,
};

const RUN_HEADER: &str = "fulmarweir-run";

/// The kind of a call, which decides whether the call may be sent again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CallKind {
    /// A read of the VM's own state, without any effect.
    Read,
    /// A search, which has no effect but runs at targets.
    Search,
    /// A change with an idempotency key or change ID. If it is sent again, the answer is the
    /// outcome of the first one.
    Keyed,
    /// A change without such a key, which may run again if it is sent again.
    Unkeyed,
}

/// A request that may be sent to any VM.
#[derive(Clone, Debug)]
pub(crate) struct VmCall {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) kind: CallKind,
    /// Whether a header tells the VM the time left until the deadline.
    pub(crate) sends_deadline: bool,
}

impl VmCall {
    /// Creates a `GET` request that only reads.
    pub(crate) fn get(path: &str) -> Self {
        Self::new(Method::GET, path.to_owned(), CallKind::Read)
    }

    /// Creates a request without headers and body.
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
    /// [`ToolError::BadUsage`] if `value` has characters that are not allowed in a header.
    pub(crate) fn header(mut self, name: HeaderName, value: &str) -> Result<Self> {
        let header = HeaderValue::from_str(value).map_err(|_| {
            let message = format!("{name} has characters that a header can't carry");
            ToolError::BadUsage(message)
        })?;
        self.headers.insert(name, header);
        Ok(self)
    }

    /// Whether the call may be sent again after its answer was lost.
    pub(crate) fn is_idempotent(&self) -> bool {
        self.kind != CallKind::Unkeyed
    }

    /// Returns the verdict if bytes were sent and no usable answer was received.
    pub(crate) fn verdict_without_answer(&self) -> RunVerdict {
        match self.kind {
            CallKind::Read => RunVerdict::NotRun,
            CallKind::Search | CallKind::Keyed | CallKind::Unkeyed => RunVerdict::MayHaveRun,
        }
    }
}

/// A complete HTTP response.
#[derive(Debug)]
pub(crate) struct VmReply {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl VmReply {
    /// Parses the body of an answer that accepted `call`.
    ///
    /// # Errors
    ///
    /// A failure if the body is not JSON. Unless `call` only reads, its verdict
    /// is that `call` ran, because the VM accepted it.
    pub(crate) fn json(&self, call: &VmCall) -> Result<Value> {
        let verdict = match call.kind {
            CallKind::Read => RunVerdict::NotRun,
            CallKind::Search | CallKind::Keyed | CallKind::Unkeyed => RunVerdict::Ran,
        };
        serde_json::from_slice(&self.body).map_err(|error| {
            let message = format!("the answer is not JSON: {error}");
            RequestFailure::without_answer(verdict, "bad-answer", message).into()
        })
    }

    /// Returns the reply if its status is a success.
    ///
    /// # Errors
    ///
    /// The refusal, with the verdict and the reason that the reply gives.
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

    /// Returns the verdict of a refusal: from its header, else from its body, else from its status.
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

/// Whether a status refuses the request itself, so that every VM would refuse it.
fn is_final(status: StatusCode) -> bool {
    let temporary = [StatusCode::REQUEST_TIMEOUT, StatusCode::TOO_MANY_REQUESTS];
    status.is_client_error() && !temporary.contains(&status)
}
