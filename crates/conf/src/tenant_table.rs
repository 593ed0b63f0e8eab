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
    /// Name of the tenant, which its targets are told, and which other tenants may have too.
    pub name: Arc<str>,
    /// Number of the tenant among those of its name, in the order of the configuration, from 0. Set by
    /// [`crate::RouteTable::compile`].
    pub ordinal: u32,
    /// Keys of the tenant's callers. They are secret.
    pub keys: Vec<Arc<str>>,
    /// Priority that replaces the one of the route, if there is one; 0 is the most urgent.
    pub priority: Option<u32>,
    /// Request rate over all VMs, if it is limited.
    pub quota: Option<TenantQuota>,
    /// Regions in which the tenant's requests may run; empty for all regions.
    pub home_regions: Vec<Arc<str>>,
}

impl TenantRule {
    /// Returns a text that tells the tenant apart from all others of its configuration: its name, unless
    /// an earlier one has it.
    #[must_use]
    pub fn id(&self) -> Arc<str> {
        if self.ordinal == 0 {
            return Arc::clone(&self.name);
        }
        // No name holds a control character, so this is the id of no other tenant.
        format!("{}\u{1f}{}", self.name, self.ordinal).into()
    }
}

impl fmt::Debug for TenantRule {
    /// Leaves out the keys, so that they appear in no log line.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("TenantRule")
            .field("name", &self.name)
            .field("ordinal", &self.ordinal)
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
    /// The tenants of each name, by their ordinals.
    by_name: HashMap<Arc<str>, Vec<Arc<TenantRule>>>,
}

impl TenantTable {
    pub(crate) fn compile(rules: Vec<TenantRule>, faults: &mut Vec<RouteFault>) -> Self {
        let mut by_key: HashMap<KeyDigest, Arc<TenantRule>> = HashMap::new();
        let mut by_name: HashMap<Arc<str>, Vec<Arc<TenantRule>>> = HashMap::new();
        for mut rule in rules {
            let named = by_name.entry(Arc::clone(&rule.name)).or_default();
            rule.ordinal = u32::try_from(named.len()).unwrap_or(u32::MAX);
            let rule = Arc::new(rule);
            named.push(Arc::clone(&rule));
            if !is_valid_name(&rule.name) {
                faults.push(RouteFault::InvalidTenantName {
                    tenant: Arc::clone(&rule.name),
                });
            }
            for key in &rule.keys {
                let earlier = by_key.insert(key_digest(key), Arc::clone(&rule));
                if let Some(earlier) = earlier.filter(|earlier| !Arc::ptr_eq(earlier, &rule)) {
                    faults.push(RouteFault::SharedKey {
                        first: Arc::clone(&earlier.name),
                        second: Arc::clone(&rule.name),
                    });
                }
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

    /// Returns the tenant with this name and this ordinal.
    #[must_use]
    pub fn named(&self, name: &str, ordinal: u32) -> Option<&Arc<TenantRule>> {
        let named = self.by_name.get(name)?;
        named.get(usize::try_from(ordinal).ok()?)
    }

    /// Returns all tenants in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<TenantRule>> {
        self.by_name.values().flatten()
    }
}

/// Whether a name arrives unchanged in a header.
fn is_valid_name(name: &str) -> bool {
    !name.is_empty() && name.trim() == name && !name.contains(char::is_control)
}

fn key_digest(key: &str) -> KeyDigest {
    Sha256::digest(key.as_bytes()).into()
}
