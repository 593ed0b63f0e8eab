//! The regions in which a request may run: the home regions of its route and of its tenant.
//!
//! Load pattern: the data of a tenant must stay in some regions, also while all of its targets there are
//! down, slow or refuse, and while targets and VMs of other regions have room.

use std::sync::Arc;

use fulmarweir_conf::{RouteRule, TenantRule};

/// The regions in which one request may run. Built once when the request is admitted, and kept until it
/// ends, whatever configuration comes into force meanwhile.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct PlacementRule {
    /// `None` for all regions. In order and without duplicates, so that equal rules compare equal.
    regions: Option<Arc<[Arc<str>]>>,
}

impl PlacementRule {
    /// Returns the rule for the requests of a tenant, if there is one, on a route. Where both have home
    /// regions, a request may run only in those that both have; there may be none.
    #[must_use]
    pub fn of(route: &RouteRule, tenant: Option<&TenantRule>) -> Self {
        let of_tenant = tenant.map_or(&[][..], |tenant| &tenant.home_regions);
        Self::within(&route.home_regions, of_tenant)
    }

    /// Returns the rule for a route and a tenant with these home regions, each empty for all regions.
    #[must_use]
    pub fn within(route: &[Arc<str>], tenant: &[Arc<str>]) -> Self {
        let mut regions: Vec<Arc<str>> = match (route, tenant) {
            ([], []) => return Self::default(),
            (homes, []) | ([], homes) => homes.to_vec(),
            (of_route, of_tenant) => {
                let both = of_route.iter().filter(|region| of_tenant.contains(region));
                both.cloned().collect()
            }
        };
        regions.sort_unstable();
        regions.dedup();
        Self {
            regions: Some(regions.into()),
        }
    }

    /// Whether a request may run in all regions.
    #[inline]
    #[must_use]
    pub const fn is_unrestricted(&self) -> bool {
        self.regions.is_none()
    }

    /// Whether a request may run in `region`.
    #[inline]
    #[must_use]
    pub fn allows(&self, region: &str) -> bool {
        self.is_unrestricted() || self.is_home(region)
    }

    fn is_home(&self, region: &str) -> bool {
        let mut homes = self.regions.iter().flat_map(|homes| homes.iter());
        homes.any(|home| **home == *region)
    }

    /// Whether a request may be sent to another VM in `region`. A VM that does not speak the newest
    /// protocol version does not know home regions, so it might send the request anywhere.
    #[must_use]
    pub fn allows_vm(&self, region: &str, speaks_newest: impl FnOnce() -> bool) -> bool {
        self.is_unrestricted() || (self.allows(region) && speaks_newest())
    }

    /// Returns the home regions for logs, separated by commas.
    #[must_use]
    pub fn label(&self) -> String {
        match &self.regions {
            None => "any".to_owned(),
            Some(homes) if homes.is_empty() => "none".to_owned(),
            Some(homes) => homes.join(","),
        }
    }
}
