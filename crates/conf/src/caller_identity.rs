//! Tells from the key that a request carries for which tenant it runs.
//!
//! Load pattern: callers with withdrawn, mistyped or guessed keys beside callers with valid ones. A
//! decision costs one digest and one look-up, whatever the number of tenants.

use std::sync::Arc;

use crate::{
    route_table::{RouteRule, RouteTable},
    tenant_table::TenantRule,
};

/// Authentication scheme of the header that carries the key.
const KEY_SCHEME: &str = "Bearer";

/// For whom a request runs.
#[derive(Clone, Debug, PartialEq)]
pub enum CallerIdentity {
    /// The configuration has no tenants, so requests are forwarded with the headers of their callers.
    Unchecked,
    /// The route needs no key.
    Anonymous,
    /// The tenant that holds the key of the request.
    Tenant(Arc<TenantRule>),
}

impl CallerIdentity {
    /// Returns the tenant, if the request runs for one.
    #[must_use]
    pub const fn tenant(&self) -> Option<&Arc<TenantRule>> {
        match self {
            Self::Tenant(tenant) => Some(tenant),
            Self::Unchecked | Self::Anonymous => None,
        }
    }
}

/// Why the tenant of a request is unknown.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum KeyFault {
    /// The request carries no key, or not exactly one in the expected form.
    Missing,
    /// No tenant holds the key.
    Unknown,
}

impl KeyFault {
    /// Returns the name of the fault in answers, logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Missing => "missing-key",
            Self::Unknown => "unknown-key",
        }
    }
}

impl RouteTable {
    /// Returns for whom a request on `route` runs, given the values of its `Authorization` headers.
    ///
    /// # Errors
    ///
    /// Returns why the tenant is unknown, if the route needs a key.
    pub fn identify<'a>(
        &self,
        route: &RouteRule,
        authorization: impl IntoIterator<Item = &'a [u8]>,
    ) -> Result<CallerIdentity, KeyFault> {
        let Some(tenants) = self.tenants() else {
            return Ok(CallerIdentity::Unchecked);
        };
        if route.anonymous {
            return Ok(CallerIdentity::Anonymous);
        }
        let mut values = authorization.into_iter();
        // With several headers, this tier and a VM or target behind it could disagree on which counts.
        let (Some(value), None) = (values.next(), values.next()) else {
            return Err(KeyFault::Missing);
        };
        let key = bearer_key(value).ok_or(KeyFault::Missing)?;
        let tenant = tenants.of_key(key).ok_or(KeyFault::Unknown)?;
        Ok(CallerIdentity::Tenant(Arc::clone(tenant)))
    }

    /// Returns for whom a request on `route` runs that another VM has identified, given the values of
    /// the headers with the tenant's name, and its ordinal among the tenants of that name. Returns `None` if
    /// the route needs a tenant and the request does not name exactly one of this table.
    pub fn resolve<'a>(
        &self,
        route: &RouteRule,
        names: impl IntoIterator<Item = &'a [u8]>,
        ordinal: u32,
    ) -> Option<CallerIdentity> {
        let Some(tenants) = self.tenants() else {
            return Some(CallerIdentity::Unchecked);
        };
        if route.anonymous {
            return Some(CallerIdentity::Anonymous);
        }
        let mut names = names.into_iter();
        let (Some(name), None) = (names.next(), names.next()) else {
            return None;
        };
        let tenant = tenants.named(std::str::from_utf8(name).ok()?, ordinal)?;
        Some(CallerIdentity::Tenant(Arc::clone(tenant)))
    }
}

/// Returns the key in the value of an `Authorization` header, or `None` if it has another form.
fn bearer_key(value: &[u8]) -> Option<&str> {
    let value = std::str::from_utf8(value).ok()?.trim_matches([' ', '\t']);
    let (scheme, key) = value.split_once(' ')?;
    let key = key.trim_start_matches(' ');
    let is_single = !key.is_empty() && !key.contains(char::is_whitespace);
    (scheme.eq_ignore_ascii_case(KEY_SCHEME) && is_single).then_some(key)
}
