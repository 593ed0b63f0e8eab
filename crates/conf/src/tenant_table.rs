//! The tenants of a configuration version, and the keys by which their requests are told apart.

use std::{collections::HashMap, fmt, sync::Arc};

use sha2::{Digest as _, Sha256};

use crate::route_table::RouteFault;

/// Digest of a key, by which keys are looked up.
type KeyDigest = [u8; 32];

/// The request rate that a tenant may use, over all VMs together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TenantQuota {
    /// Requests per second.
    pub per_second: f64,
    /// Requests beyond the rate that may come at once.
    pub burst: f64,
}

/// The operators' configuration of a tenant.
#[derive(Clone, PartialEq)]
pub struct TenantRule {
    /// Name of the tenant, which its targets are told.
    pub name: Arc<str>,
    /// Keys of the tenant's callers. They are secret.
    pub keys: Vec<Arc<str>>,
    /// Priority that replaces the one of the route, if there is one; 0 is the most urgent.
    pub priority: Option<u32>,
    /// Request rate over all VMs, if it is limited.
    pub quota: Option<TenantQuota>,
    /// Regions in which the tenant's requests may run; empty for all regions.
    pub home_regions: Vec<Arc<str>>,
}

impl fmt::Debug for TenantRule {
    /// Leaves out the keys, so that they appear in no log line.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("TenantRule")
            .field("name", &self.name)
            .field("keys", &self.keys.len())
            .field("priority", &self.priority)
            .field("quota", &self.quota)
            .field("home_regions", &self.home_regions)
            .finish()
    }
}

/// The tenants of one configuration version, indexed by name and by key.
#[derive(Clone, Debug)]
pub struct TenantTable {
    by_key: HashMap<KeyDigest, Arc<TenantRule>>,
    by_name: HashMap<Arc<str>, Arc<TenantRule>>,
}

impl TenantTable {
    pub(crate) fn compile(rules: Vec<TenantRule>, faults: &mut Vec<RouteFault>) -> Self {
        let mut by_key: HashMap<KeyDigest, Arc<TenantRule>> = HashMap::new();
        let mut by_name: HashMap<Arc<str>, Arc<TenantRule>> = HashMap::new();
        for rule in rules {
            let rule = Arc::new(rule);
            if !is_valid_name(&rule.name) {
                faults.push(RouteFault::InvalidTenantName {
                    tenant: Arc::clone(&rule.name),
                });
            }
            for key in &rule.keys {
                let earlier = by_key.insert(key_digest(key), Arc::clone(&rule));
                if let Some(earlier) = earlier.filter(|earlier| earlier.name != rule.name) {
                    faults.push(RouteFault::SharedKey {
                        first: Arc::clone(&earlier.name),
                        second: Arc::clone(&rule.name),
                    });
                }
            }
            let name = Arc::clone(&rule.name);
            if by_name.insert(Arc::clone(&name), rule).is_some() {
                faults.push(RouteFault::DuplicateTenant { tenant: name });
            }
        }
        Self { by_key, by_name }
    }

    /// Returns the tenant that holds `key`.
    ///
    /// The look-up compares digests, so its time says nothing about how much of a key is right.
    #[must_use]
    pub fn of_key(&self, key: &str) -> Option<&Arc<TenantRule>> {
        self.by_key.get(&key_digest(key))
    }

    /// Returns the tenant with this name.
    #[must_use]
    pub fn named(&self, name: &str) -> Option<&Arc<TenantRule>> {
        self.by_name.get(name)
    }

    /// Returns all tenants in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<TenantRule>> {
        self.by_name.values()
    }
}

/// Whether a name arrives unchanged in a header.
fn is_valid_name(name: &str) -> bool {
    !name.is_empty() && name.trim() == name && !name.contains(char::is_control)
}

fn key_digest(key: &str) -> KeyDigest {
    Sha256::digest(key.as_bytes()).into()
}
