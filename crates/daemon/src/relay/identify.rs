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
/// its tenant by, `tenant_header`. Other VMs to which the request is handed over get the same headers.
pub(super) fn set_tenant_headers(
    tenant_header: &HeaderName,
    identity: &CallerIdentity,
    headers: &mut HeaderMap,
) {
    if *identity == CallerIdentity::Unchecked {
        return;
    }
    headers.remove(header::AUTHORIZATION);
    headers.remove(tenant_header);
    let tenant = identity.tenant();
    // Names that can't be sent in a header make a configuration invalid.
    let value = tenant.and_then(|tenant| HeaderValue::from_bytes(tenant.name.as_bytes()).ok());
    if let Some(value) = value {
        headers.insert(tenant_header, value);
    }
}

/// Returns the tenant of a request that another VM has handed over, or the reason why it is not
/// taken. `ordinal` tells the tenants of one name apart.
pub(super) fn identify_handover(
    tenant_header: &HeaderName,
    table: &RouteTable,
    rule: &RouteRule,
    (headers, ordinal): (&[(String, Vec<u8>)], u32),
) -> Result<Option<Arc<TenantRule>>, &'static str> {
    let values = |name: &HeaderName| {
        let name = name.clone();
        let named = headers.iter();
        let named = named.filter(move |(other, _)| other.eq_ignore_ascii_case(name.as_str()));
        named.map(|(_, value)| value.as_slice())
    };
    // A build that knows no tenants forwards what its callers have sent.
    if table.tenants().is_some() && values(&header::AUTHORIZATION).next().is_some() {
        return Err("not-identified");
    }
    let names = values(tenant_header);
    let identity = table.resolve(rule, names, ordinal).ok_or("no-tenant")?;
    Ok(identity.tenant().cloned())
}

/// Returns the priority of a request under overload; 0 is the most urgent.
pub(super) fn priority_of(rule: &RouteRule, tenant: Option<&TenantRule>) -> u32 {
    let own = tenant.and_then(|tenant| tenant.priority);
    own.unwrap_or(rule.priority)
}

#[cfg(test)]
mod tests {
    use fulmarweir_conf::{CallerLimits, RouteDestination, ServiceRule, WeightedService};
    use http::{Method, Uri};

    use super::*;
    use crate::relay::driver::RelayMessage;

    const TENANT: HeaderName = HeaderName::from_static("x-tenant");

    fn route(name: &str, anonymous: bool) -> RouteRule {
        RouteRule {
            name: name.into(),
            host: name.into(),
            prefix: "/".into(),
            idempotent: true,
            timeout: Duration::from_secs(2),
            latency_objective: Duration::from_millis(200),
            priority: 2,
            targets_max: 2,
            anonymous,
            home_regions: Vec::new(),
            destination: RouteDestination::Split(vec![WeightedService {
                service: "a".into(),
                weight: 1.0,
            }]),
        }
    }

    fn tenant(name: &str, priority: Option<u32>) -> TenantRule {
        TenantRule {
            name: name.into(),
            ordinal: 0,
            keys: vec![format!("key-{name}").into()],
            priority,
            quota: None,
            home_regions: Vec::new(),
        }
    }

    fn table(tenants: Option<Vec<TenantRule>>) -> RouteTable {
        let service = ServiceRule {
            name: "a".into(),
            connections_max: 30,
            health_path: "/".into(),
            warm_up: None,
        };
        let limits = CallerLimits {
            head_max_bytes: 16_384,
            body_max_bytes: 262_144,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        };
        let routes = vec![route("keyed", false), route("open", true)];
        RouteTable::compile(7, routes, vec![service], tenants, limits).unwrap()
    }

    fn with_tenants() -> RouteTable {
        table(Some(vec![tenant("ordu", None), tenant("kars", Some(0))]))
    }

    /// Guards against handovers that run without a tenant, for one that their origin has not found, or
    /// with a key.
    #[test]
    fn handovers_without_one_known_tenant_are_not_taken() {
        let run = |table: &RouteTable, host: &str, headers: &[(&str, &str)]| {
            let pair =
                |(name, value): &(&str, &str)| ((*name).to_owned(), value.as_bytes().to_vec());
            let headers: Vec<(String, Vec<u8>)> = headers.iter().map(pair).collect();
            let rule = table.find(host, "/").unwrap();
            let tenant = identify_handover(&TENANT, table, rule, (&headers, 0))?;
            Ok(tenant.map(|tenant| tenant.name.to_string()))
        };
        let keyed = with_tenants();
        let ordu = ("x-tenant", "ordu");
        let key = ("authorization", "Bearer key-ordu");
        assert_eq!(run(&keyed, "keyed", &[ordu]), Ok(Some("ordu".into())));
        for headers in [&[][..], &[("x-tenant", "nobody")], &[ordu, ordu]] {
            assert_eq!(
                run(&keyed, "keyed", headers),
                Err("no-tenant"),
                "{headers:?}"
            );
        }
        for host in ["keyed", "open"] {
            assert_eq!(run(&keyed, host, &[ordu, key]), Err("not-identified"));
        }
        assert_eq!(run(&keyed, "open", &[]), Ok(None));
        // Without tenants, a handover carries what the caller has sent.
        assert_eq!(run(&table(None), "keyed", &[key, ordu]), Ok(None));
    }

    /// Guards against a request that becomes another one for the quarantine when its key changes.
    #[test]
    fn keys_do_not_change_the_fingerprint_of_a_request() {
        let uri: Uri = "/a?b=c".parse().unwrap();
        let fingerprint = |key: Option<&'static str>| {
            let mut headers = HeaderMap::new();
            headers.insert(header::HOST, HeaderValue::from_static("keyed"));
            if let Some(key) = key {
                headers.insert(header::AUTHORIZATION, HeaderValue::from_static(key));
            }
            RelayMessage::fingerprint_of(&Method::GET, &uri, &headers, b"body")
        };
        let without = fingerprint(None);
        assert_eq!(fingerprint(Some("Bearer key-ordu")), without);
        assert_eq!(fingerprint(Some("Bearer key-kars")), without);
    }

    /// Guards against a route that outranks the priority of a tenant.
    #[test]
    fn the_priority_of_a_tenant_replaces_that_of_the_route() {
        let rule = route("keyed", false);
        assert_eq!(priority_of(&rule, None), 2);
        assert_eq!(priority_of(&rule, Some(&tenant("ordu", None))), 2);
        assert_eq!(priority_of(&rule, Some(&tenant("kars", Some(0)))), 0);
    }
}
