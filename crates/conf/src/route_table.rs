//! The routes of opaque requests, which map the host and path of a request to services.
//!
//! Unlike a [`crate::CompiledConfig`], a table is not parsed from an INI text: a protocol adapter
//! decodes the operators' document into rules, and [`RouteTable::compile`] checks the rules
//! together.

use std::{
    collections::{HashMap, HashSet},
    fmt,
    sync::Arc,
    time::Duration,
};

use crate::tenant_table::{TenantRule, TenantTable};

/// Maximum number of faults that [`RouteTable::compile`] reports.
const ROUTE_FAULTS_MAX: usize = 100;

/// Result of compiling a table: the table, or its faults.
pub(crate) type Result<T, E = Vec<RouteFault>> = std::result::Result<T, E>;

/// A service that receives a share of the requests of a route.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: Arc<str>,
    /// Share of the service, relative to the weights of the route's other services.
    pub weight: f64,
}

/// A search over several services, each of which is one shard.
#[derive(Clone, Debug, PartialEq)]
pub struct GatherRule {
    /// Services that are the shards of the search.
    pub shards: Vec<Arc<str>>,
    /// Maximum number of records in the merged answer.
    pub top_k: usize,
    /// Share of the shards, from 0 to 1, below which the search gets no answer.
    pub coverage_min: f64,
}

/// Destination of the requests of a route.
#[derive(Clone, Debug, PartialEq)]
pub enum RouteDestination {
    /// Each request is sent to one target of every shard, and the replies are merged.
    Gather(GatherRule),
    /// Each request is sent to one target of one of these services, chosen by weight.
    Split(Vec<WeightedService>),
}

/// What tells a route apart from the others of its configuration. Several routes may have one name.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct RouteKey {
    /// Host of the requests, in lower case.
    pub host: Arc<str>,
    /// Path prefix of the requests, which begins and ends with a slash.
    pub prefix: Arc<str>,
}

/// Match criteria, limits and destination of a route.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteRule {
    /// Name of the route in logs and metrics, which other routes may have too.
    pub name: Arc<str>,
    /// Host of the requests, in lower case.
    pub host: Arc<str>,
    /// Path prefix of the requests, which begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Maximum time until a request is answered.
    pub timeout: Duration,
    /// Latency objective: time within which an answer is of full use to the caller.
    pub latency_objective: Duration,
    /// Priority under overload; 0 is the most urgent.
    pub priority: u32,
    /// Maximum number of targets of one service that a request may run on.
    pub targets_max: u32,
    /// Whether requests need no key of a tenant.
    pub anonymous: bool,
    /// Regions in which requests may run; empty for all regions.
    pub home_regions: Vec<Arc<str>>,
    /// Destination of the requests.
    pub destination: RouteDestination,
}

impl RouteRule {
    /// Returns what tells the route apart from the others of its configuration.
    #[must_use]
    pub fn key(&self) -> RouteKey {
        RouteKey {
            host: Arc::clone(&self.host),
            prefix: Arc::clone(&self.prefix),
        }
    }
}

/// The operators' configuration of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRule {
    /// Name of the service.
    pub name: Arc<str>,
    /// Maximum number of connections that each target accepts from all VMs together.
    pub connections_max: u32,
    /// Path at which each target says whether it is healthy.
    pub health_path: Arc<str>,
    /// The request rate that a cold target tolerates, if it is bounded.
    pub warm_up: Option<WarmUpRule>,
}

/// What a target of a service tolerates while it is cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmUpRule {
    /// Time for which a target is cold after its start.
    pub duration: Duration,
    /// Requests per second that a cold target tolerates from all VMs together.
    pub per_second: f64,
}

/// Limits on the requests and idle connections of callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Maximum length of a request head in bytes.
    pub head_max_bytes: usize,
    /// Maximum length of a request body in bytes.
    pub body_max_bytes: usize,
    /// Maximum time to receive a request head.
    pub head_timeout: Duration,
    /// Maximum time that a connection may stay idle.
    pub idle_timeout: Duration,
}

/// A fault of a route table.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RouteFault {
    /// A route names a service that the table does not contain.
    UnknownService {
        /// Name of the route.
        route: Arc<str>,
        /// Name of the unknown service.
        service: Arc<str>,
    },
    /// Two routes have the same host and prefix.
    DuplicatePrefix {
        /// Name of the first route.
        first: Arc<str>,
        /// Name of the second route.
        second: Arc<str>,
    },
    /// The weights of a route add up to 0.
    ZeroWeight {
        /// Name of the route.
        route: Arc<str>,
    },
    /// The timeout of a route is 0.
    ZeroTimeout {
        /// Name of the route.
        route: Arc<str>,
    },
    /// A route names no service.
    NoDestination {
        /// Name of the route.
        route: Arc<str>,
    },
    /// The prefix of a route does not begin and end with a slash.
    InvalidPrefix {
        /// Name of the route.
        route: Arc<str>,
    },
    /// Two tenants share a key.
    SharedKey {
        /// Name of the first tenant.
        first: Arc<str>,
        /// Name of the second tenant.
        second: Arc<str>,
    },
    /// The name of a tenant is empty or can't be sent in a header.
    InvalidTenantName {
        /// The name.
        tenant: Arc<str>,
    },
}

impl fmt::Display for RouteFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownService { route, service } => {
                write!(f, "route {route}: unknown service {service}")
            }
            Self::DuplicatePrefix { first, second } => {
                write!(
                    f,
                    "routes {first} and {second} have the same host and prefix"
                )
            }
            Self::ZeroWeight { route } => write!(f, "route {route}: weights add up to 0"),
            Self::ZeroTimeout { route } => write!(f, "route {route}: timeout of 0"),
            Self::NoDestination { route } => write!(f, "route {route}: no service"),
            Self::InvalidPrefix { route } => {
                write!(f, "route {route}: expected a prefix from slash to slash")
            }
            Self::SharedKey { first, second } => {
                write!(f, "tenants {first} and {second} share a key")
            }
            Self::InvalidTenantName { tenant } => {
                write!(
                    f,
                    "tenant {tenant:?}: expected a name without control characters"
                )
            }
        }
    }
}

/// The routes and services of one configuration version, immutable and indexed by host and name.
#[derive(Clone, Debug)]
pub struct RouteTable {
    /// Version of the configuration.
    pub version: u64,
    /// Limits on requests and connections of callers.
    pub limits: CallerLimits,
    // The routes of each host, sorted by descending length of the prefix.
    hosts: HashMap<Arc<str>, Vec<Arc<RouteRule>>>,
    route_names: RouteNames,
    services: HashMap<Arc<str>, ServiceRule>,
    // `None` if requests need no keys.
    tenants: Option<TenantTable>,
}

impl RouteTable {
    /// Checks the routes, the services that they name and the tenants, and indexes them.
    ///
    /// `tenants` is `None` if requests need no keys.
    ///
    /// # Errors
    ///
    /// Returns the faults of the table, at most 100 of them.
    pub fn compile(
        version: u64,
        routes: Vec<RouteRule>,
        services: Vec<ServiceRule>,
        tenants: Option<Vec<TenantRule>>,
        limits: CallerLimits,
    ) -> Result<Self> {
        let services: HashMap<Arc<str>, ServiceRule> = services
            .into_iter()
            .map(|service| (Arc::clone(&service.name), service))
            .collect();
        let mut faults = Vec::new();
        let mut hosts: HashMap<Arc<str>, Vec<Arc<RouteRule>>> = HashMap::new();
        for route in routes {
            check_route(&route, &services, &mut faults);
            let host = hosts.entry(Arc::clone(&route.host)).or_default();
            host.push(Arc::new(route));
        }
        for rules in hosts.values_mut() {
            rules.sort_by(|a, b| {
                let longest = b.prefix.len().cmp(&a.prefix.len());
                longest.then_with(|| a.prefix.cmp(&b.prefix))
            });
            for pair in rules.windows(2) {
                if pair[0].prefix == pair[1].prefix {
                    faults.push(RouteFault::DuplicatePrefix {
                        first: Arc::clone(&pair[0].name),
                        second: Arc::clone(&pair[1].name),
                    });
                }
            }
        }
        let tenants = tenants.map(|rules| TenantTable::compile(rules, &mut faults));
        faults.truncate(ROUTE_FAULTS_MAX);
        if !faults.is_empty() {
            return Err(faults);
        }
        Ok(Self {
            version,
            limits,
            route_names: RouteNames::new(hosts.values().flatten()),
            hosts,
            services,
            tenants,
        })
    }

    /// Returns the tenants, or `None` if requests need no keys.
    #[must_use]
    pub const fn tenants(&self) -> Option<&TenantTable> {
        self.tenants.as_ref()
    }

    /// Whether requests may need permits of rates that hold for all VMs: those of tenants, or of cold
    /// targets.
    #[must_use]
    pub fn has_rates(&self) -> bool {
        let has_warm_up = |rule: &ServiceRule| rule.warm_up.is_some();
        self.tenants.is_some() || self.services.values().any(has_warm_up)
    }

    /// Returns what a cold target of `service` tolerates, or `None` without a bound.
    #[must_use]
    pub fn warm_up(&self, service: &str) -> Option<WarmUpRule> {
        self.services.get(service)?.warm_up
    }

    /// Returns the route of `host` with the longest prefix that `path` starts with.
    ///
    /// `host` may include a port, which is ignored, and its case does not matter.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<RouteRule>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let rules = match self.hosts.get(host) {
            Some(rules) => rules,
            None => self.hosts.get(host.to_ascii_lowercase().as_str())?,
        };
        rules.iter().find(|rule| path.starts_with(&*rule.prefix))
    }

    /// Returns the name of a route if no other route has it, or else a text that is the name of no route.
    #[must_use]
    pub fn unshared_name(&self, route: &RouteRule) -> &Arc<str> {
        let names = &self.route_names;
        let unshared = names.unshared.get(&route.name);
        unshared.unwrap_or(&names.unused)
    }

    /// Returns the path at which targets of `service` say whether they are healthy, or `None` if the
    /// table does not contain the service.
    #[must_use]
    pub fn health_path(&self, service: &str) -> Option<&Arc<str>> {
        self.services.get(service).map(|rule| &rule.health_path)
    }

    /// Returns the maximum number of connections that each target of `service` accepts from all VMs
    /// together, or `None` if the table does not contain the service.
    #[must_use]
    pub fn connections_max(&self, service: &str) -> Option<u32> {
        self.services.get(service).map(|rule| rule.connections_max)
    }

    /// Returns all routes in no particular order.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<RouteRule>> {
        self.hosts.values().flatten()
    }
}

/// The names of the routes of a table.
#[derive(Clone, Debug)]
struct RouteNames {
    /// Names that only one route has.
    unshared: HashSet<Arc<str>>,
    /// A text that is the name of no route.
    unused: Arc<str>,
}

impl RouteNames {
    fn new<'a>(routes: impl Iterator<Item = &'a Arc<RouteRule>>) -> Self {
        let mut counts: HashMap<Arc<str>, u32> = HashMap::new();
        for route in routes {
            *counts.entry(Arc::clone(&route.name)).or_default() += 1;
        }
        let mut unused = "-".to_owned();
        while counts.contains_key(unused.as_str()) {
            unused.push('-');
        }
        let unshared = counts.into_iter().filter(|(_, count)| *count == 1);
        Self {
            unshared: unshared.map(|(name, _)| name).collect(),
            unused: unused.into(),
        }
    }
}

fn check_route(
    route: &RouteRule,
    services: &HashMap<Arc<str>, ServiceRule>,
    faults: &mut Vec<RouteFault>,
) {
    let name = || Arc::clone(&route.name);
    if route.timeout.is_zero() {
        faults.push(RouteFault::ZeroTimeout { route: name() });
    }
    if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
        faults.push(RouteFault::InvalidPrefix { route: name() });
    }
    let referenced: Vec<&Arc<str>> = match &route.destination {
        RouteDestination::Gather(gather) => gather.shards.iter().collect(),
        RouteDestination::Split(parts) => {
            let total: f64 = parts.iter().map(|part| part.weight).sum();
            if !parts.is_empty() && total <= 0.0 {
                faults.push(RouteFault::ZeroWeight { route: name() });
            }
            parts.iter().map(|part| &part.service).collect()
        }
    };
    if referenced.is_empty() {
        faults.push(RouteFault::NoDestination { route: name() });
    }
    for service in referenced {
        if !services.contains_key(service) {
            faults.push(RouteFault::UnknownService {
                route: name(),
                service: Arc::clone(service),
            });
        }
    }
}
