//! Finds the tenant for which a request runs, by its key or by what another VM has found, and sets
//! the headers that tell targets.
//!
//! The stage runs before admission, anew for each request. Its only state is the route table in
//! force, so a withdrawn key is rejected on connections that stay open.

use std::{sync::Arc, time::Duration};

use fulmarweir_conf::{CallerIdentity, RouteRule, RouteTable, TenantRule};
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode, header};

use super::{
    entry::EntryNode,
    response::{RelayResponse, retry_later, text},
};

/// `Retry-After` of responses while this VM is not sure of its configuration, in milliseconds: a
/// VM that keepers tell of a new version has it within this time.
const UNSURE_RETRY_MS: u64 = 400;
/// The authentication scheme that callers are told to use.
const CHALLENGE: HeaderValue = HeaderValue::from_static("Bearer");
/// Reason of a rejection because a newer configuration may contain the key.
const UNSURE: &str = "config-unconfirmed";

/// Returns for whom a caller's request runs, or the reason why it is rejected.
pub(super) fn identify_caller(
    node: &EntryNode,
    table: &RouteTable,
    rule: &RouteRule,
    headers: &HeaderMap,
) -> Result<CallerIdentity, &'static str> {
    let values = headers.get_all(header::AUTHORIZATION).iter();
    let identified = table.identify(rule, values.map(HeaderValue::as_bytes));
    let outcome = match &identified {
        Ok(CallerIdentity::Unchecked) => return Ok(CallerIdentity::Unchecked),
        Ok(CallerIdentity::Anonymous) => "anonymous",
        Ok(CallerIdentity::Tenant(_)) => "known",
        Err(_) if !node.is_sure_of(table.version) => UNSURE,
        Err(fault) => fault.as_str(),
    };
    node.metrics.count_identification(outcome);
    identified.map_err(|_| outcome)
}

/// Returns the response to a request that [`identify_caller`] has rejected for `reason`.
pub(super) fn identity_refusal(reason: &'static str) -> RelayResponse {
    if reason == UNSURE {
        return retry_later(reason, Duration::from_millis(UNSURE_RETRY_MS));
    }
    let mut response = text(StatusCode::UNAUTHORIZED, reason);
    let headers = response.headers_mut();
    headers.insert(header::WWW_AUTHENTICATE, CHALLENGE);
    response
}

/// Replaces the headers by which a caller has identified itself with the one that targets are told
/// its tenant by. Other VMs to which the request is handed over get the same headers.
pub(super) fn set_tenant_headers(
    node: &EntryNode,
    identity: &CallerIdentity,
    headers: &mut HeaderMap,
) {
    if *identity == CallerIdentity::Unchecked {
        return;
    }
    let name = &node.adapter.headers.tenant;
    headers.remove(header::AUTHORIZATION);
    headers.remove(name);
    let tenant = identity.tenant();
    // Names that can't be sent in a header make a configuration invalid.
    let value = tenant.and_then(|tenant| HeaderValue::from_bytes(tenant.name.as_bytes()).ok());
    if let Some(value) = value {
        headers.insert(name, value);
    }
}

/// Returns the tenant of a request that another VM has handed over, or the reason why it is not
/// taken.
pub(super) fn identify_handover(
    node: &EntryNode,
    table: &RouteTable,
    rule: &RouteRule,
    headers: &[(String, Vec<u8>)],
) -> Result<Option<Arc<TenantRule>>, &'static str> {
    let values = |name: HeaderName| {
        let named = headers.iter();
        let named = named.filter(move |(other, _)| other.eq_ignore_ascii_case(name.as_str()));
        named.map(|(_, value)| value.as_slice())
    };
    // A build that knows no tenants forwards what its callers have sent.
    if table.tenants().is_some() && values(header::AUTHORIZATION).next().is_some() {
        return Err("not-identified");
    }
    let names = values(node.adapter.headers.tenant.clone());
    let identity = table.resolve(rule, names).ok_or("no-tenant")?;
    Ok(identity.tenant().cloned())
}

/// Returns the priority of a request under overload; 0 is the most urgent.
pub(super) fn priority_of(rule: &RouteRule, tenant: Option<&TenantRule>) -> u32 {
    let own = tenant.and_then(|tenant| tenant.priority);
    own.unwrap_or(rule.priority)
}
