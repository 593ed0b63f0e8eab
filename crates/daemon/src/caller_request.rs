//! Parses callers' requests from path, query and headers.

use std::{convert::Infallible, sync::Arc, time::Duration};

use axum::{
    extract::{
        FromRequest, FromRequestParts, Path, Query, Request,
        rejection::{BytesRejection, PathRejection, QueryRejection},
    },
    http::{HeaderMap, StatusCode},
};
use bytes::Bytes;
use fulmarweir_base::{MonoTime, ServiceName};
use fulmarweir_conf::{ServiceConfig, ServiceKind};
use fulmarweir_pool::RequestKind;
use serde::Deserialize;

use crate::{
    caller_error::{CallerError, Result},
    lifecycle::LifecyclePhase,
    node::NodeState,
    run_driver::RunRequest,
};

/// Maximum length of a key, an idempotency key or a request id, in bytes.
const TOKEN_MAX_BYTES: usize = 256;

/// Header with the time that the caller waits, in milliseconds.
const DEADLINE_HEADER: &str = "fulmarweir-deadline-ms";

/// Query parameters of a request.
#[derive(Debug, Deserialize)]
pub(crate) struct QueryParams {
    key: Option<String>,
    limit: Option<usize>,
}

/// A request as received. Each of its parts may be malformed.
pub(crate) struct RawRequest {
    service: std::result::Result<Path<String>, PathRejection>,
    query: std::result::Result<Query<QueryParams>, QueryRejection>,
    headers: HeaderMap,
    body: std::result::Result<Bytes, BytesRejection>,
}

impl<S: Send + Sync> FromRequest<S> for RawRequest {
    type Rejection = Infallible;

    async fn from_request(
        request: Request,
        state: &S,
    ) -> std::result::Result<Self, Self::Rejection> {
        let (mut parts, body) = request.into_parts();
        let service = Path::from_request_parts(&mut parts, state).await;
        let query = Query::from_request_parts(&mut parts, state).await;
        let headers = parts.headers.clone();
        let request = Request::from_parts(parts, body);
        let body = Bytes::from_request(request, state).await;
        Ok(Self {
            service,
            query,
            headers,
            body,
        })
    }
}

/// A validated request of a caller.
pub(crate) struct CallerRequest {
    pub(crate) service_config: Arc<ServiceConfig>,
    pub(crate) key: Option<Arc<str>>,
    pub(crate) limit: Option<usize>,
    pub(crate) min_version: u64,
    pub(crate) deadline: Option<MonoTime>,
    pub(crate) idempotency_key: Option<Arc<str>>,
    /// Whether a target sent this request while serving another request.
    pub(crate) nested: bool,
    request_id: Option<Arc<str>>,
}

impl CallerRequest {
    /// Parses and validates a request for a service of `kind`, and returns it with its body.
    pub(crate) fn read(
        node: &NodeState,
        raw_request: RawRequest,
        kind: ServiceKind,
    ) -> Result<(Self, Bytes)> {
        let Path(service) = raw_request
            .service
            .map_err(|fault| CallerError::unreadable(fault.status(), fault.body_text()))?;
        let Query(query) = raw_request
            .query
            .map_err(|fault| CallerError::unreadable(fault.status(), fault.body_text()))?;
        let body = raw_request
            .body
            .map_err(|fault| CallerError::unreadable(fault.status(), fault.body_text()))?;
        let request = Self::check(node, &service, query, &raw_request.headers, kind)?;
        Ok((request, body))
    }

    fn check(
        node: &NodeState,
        service: &str,
        query: QueryParams,
        headers: &HeaderMap,
        kind: ServiceKind,
    ) -> Result<Self> {
        let service_config = find_service_config(node, service)?;
        if service_config.kind != kind {
            let message = format!("{} is not a service of this kind", service_config.name);
            let status = StatusCode::BAD_REQUEST;
            return Err(CallerError::refused(status, "wrong-kind", message));
        }
        let time_limit = number_header(headers, DEADLINE_HEADER)?;
        let now = node.timer.now();
        Ok(Self {
            nested: check_dependency(node, &service_config, headers)?,
            key: query.key.map(|key| check_token("key", &key)).transpose()?,
            limit: query.limit,
            min_version: number_header(headers, "fulmarweir-min-version")?.unwrap_or_default(),
            deadline: time_limit.map(|millis| now + Duration::from_millis(millis)),
            idempotency_key: token_header(headers, "idempotency-key")?,
            request_id: token_header(headers, "fulmarweir-request")?,
            service_config,
        })
    }

    /// Returns the part of this request that all its attempts share.
    pub(crate) fn into_run_request(self, node: &NodeState, body: Bytes) -> RunRequest {
        let kind = match self.service_config.kind {
            ServiceKind::Search => RequestKind::Search,
            ServiceKind::Act => RequestKind::Act,
        };
        RunRequest {
            service: self.service_config.name.clone(),
            kind,
            request_id: self.request_id.unwrap_or_else(|| node.new_request_id()),
            key: self.key,
            body,
        }
    }
}

fn find_service_config(node: &NodeState, service: &str) -> Result<Arc<ServiceConfig>> {
    let name: ServiceName = service
        .parse()
        .map_err(|error| CallerError::bad_request(format!("{error}")))?;
    node.config
        .service_config(&name)
        .ok_or_else(|| missing_service(node, &name))
}

/// Returns the refusal for a service that the configuration in force does not contain. During
/// startup the service may be missing only because the configuration has not arrived yet.
fn missing_service(node: &NodeState, name: &ServiceName) -> CallerError {
    if node.lifecycle.phase() == LifecyclePhase::Starting {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        return CallerError::refused(status, "starting", "no configuration is held yet");
    }
    let status = StatusCode::NOT_FOUND;
    CallerError::refused(status, "unknown-service", format!("no service {name}"))
}

/// Returns whether the request is nested, or a refusal if the calling service does not declare the
/// dependency.
fn check_dependency(
    node: &NodeState,
    service_config: &ServiceConfig,
    headers: &HeaderMap,
) -> Result<bool> {
    let Some(from) = token_header(headers, "fulmarweir-from")? else {
        return Ok(false);
    };
    let from: ServiceName = from
        .parse()
        .map_err(|error| CallerError::bad_request(format!("fulmarweir-from: {error}")))?;
    let declared = node
        .config
        .service_config(&from)
        .is_some_and(|caller| caller.depends.contains(&service_config.name));
    if declared {
        return Ok(true);
    }
    let message = format!(
        "{from} does not declare that it depends on {}",
        service_config.name
    );
    let status = StatusCode::FORBIDDEN;
    Err(CallerError::refused(status, "not-declared", message))
}

fn number_header(headers: &HeaderMap, name: &'static str) -> Result<Option<u64>> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let number = value.to_str().ok().and_then(|text| text.parse().ok());
    let fault = || CallerError::bad_request(format!("{name}: expected a whole number"));
    number.map(Some).ok_or_else(fault)
}

/// Returns the time limit that a request states, if it is valid.
pub(crate) fn stated_time_limit(headers: &HeaderMap) -> Option<Duration> {
    let millis = number_header(headers, DEADLINE_HEADER).ok()??;
    Some(Duration::from_millis(millis))
}

fn token_header(headers: &HeaderMap, name: &'static str) -> Result<Option<Arc<str>>> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value.to_str().unwrap_or_default();
    check_token(name, text).map(Some)
}

/// Validates a key or an id. They are sent in headers, so they must be visible ASCII.
fn check_token(name: &'static str, text: &str) -> Result<Arc<str>> {
    let visible = text.bytes().all(|byte| byte.is_ascii_graphic());
    if visible && (1..=TOKEN_MAX_BYTES).contains(&text.len()) {
        return Ok(text.into());
    }
    Err(CallerError::bad_request(format!(
        "{name}: expected 1 to {TOKEN_MAX_BYTES} visible ASCII characters"
    )))
}
