//! Routes of opaque requests: which services a host and path lead to.
//!
//! Unlike a [`crate::ConfigVersion`], a table is not written in the product's own
//! text: an adapter decodes its users' document into drafts, and
//! [`RouteTable::compile`] checks them together.

use std::{collections::HashMap, fmt, sync::Arc, time::Duration};

/// Most faults that a check reports.
const ROUTE_FAULTS_MAX: usize = 100;

/// Result of compiling a table: the table, or every fault in it.
pub(crate) type Result<T, E = Vec<RouteFault>> = std::result::Result<T, E>;

/// A service that gets a share of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: Arc<str>,
    /// Its share, relative to the others of the route.
    pub weight: f64,
}

/// A search over several services, each of which is one shard.
#[derive(Clone, Debug, PartialEq)]
pub struct GatherRule {
    /// The shards.
    pub shards: Vec<Arc<str>>,
    /// Records in the merged answer at most.
    pub top: usize,
    /// Share of the shards below which there is no answer, from 0 to 1.
    pub coverage_min: f64,
}

/// Where the requests of a route go.
#[derive(Clone, Debug, PartialEq)]
pub enum RouteDestination {
    /// To one target of every shard.
    Gather(GatherRule),
    /// To one target of one of these services.
    Split(Vec<WeightedService>),
}

/// One route.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteRule {
    /// Name, for logs and metrics.
    pub name: Arc<str>,
    /// Host that callers name, in lower case.
    pub host: Arc<str>,
    /// Start of the path, from slash to slash.
    pub prefix: Arc<str>,
    /// Whether a request may run more than once.
    pub repeatable: bool,
    /// Longest time that a request may be kept waiting.
    pub timeout: Duration,
    /// Time within which an answer is of full use to its caller.
    pub objective: Duration,
    /// Rank under overload; 0 is the most urgent.
    pub rank: u32,
    /// Targets of one service that one request may run on at most.
    pub attempts_max: u32,
    /// Where its requests go.
    pub destination: RouteDestination,
}

/// What operators say of a service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceRule {
    /// Name of the service.
    pub name: Arc<str>,
    /// Connections that each target accepts from all VMs together.
    pub connections_max: u32,
}

/// What callers may send, and how long they may stay idle.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Largest request head in bytes.
    pub head_max_bytes: usize,
    /// Largest request body in bytes.
    pub body_max_bytes: usize,
    /// Time that a request head may take.
    pub head_timeout: Duration,
    /// Time that a connection may stay idle.
    pub idle_timeout: Duration,
}

/// What is wrong with a table.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RouteFault {
    /// A route names a service that the table lacks.
    UnknownService {
        /// The route.
        route: Arc<str>,
        /// The service that it names.
        service: Arc<str>,
    },
    /// Two routes have the same host and prefix.
    SamePlace {
        /// One of the routes.
        first: Arc<str>,
        /// The other one.
        second: Arc<str>,
    },
    /// The weights of a route add up to nothing.
    NoWeight {
        /// The route.
        route: Arc<str>,
    },
    /// A route has a timeout of 0.
    NoTimeout {
        /// The route.
        route: Arc<str>,
    },
    /// A route leads nowhere.
    NoDestination {
        /// The route.
        route: Arc<str>,
    },
    /// A prefix does not begin and end with a slash.
    BadPrefix {
        /// The route.
        route: Arc<str>,
    },
}

impl fmt::Display for RouteFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownService { route, service } => {
                write!(f, "route {route}: unknown service {service}")
            }
            Self::SamePlace { first, second } => {
                write!(
                    f,
                    "routes {first} and {second} have the same host and prefix"
                )
            }
            Self::NoWeight { route } => write!(f, "route {route}: weights add up to 0"),
            Self::NoTimeout { route } => write!(f, "route {route}: timeout of 0"),
            Self::NoDestination { route } => write!(f, "route {route}: no service"),
            Self::BadPrefix { route } => {
                write!(f, "route {route}: expected a prefix from slash to slash")
            }
        }
    }
}

/// All routes of one configuration version; immutable.
#[derive(Clone, Debug)]
pub struct RouteTable {
    /// Version of the configuration.
    pub version: u64,
    /// Limits for callers.
    pub limits: CallerLimits,
    // Routes of a host, longest prefix first.
    hosts: HashMap<Arc<str>, Vec<Arc<RouteRule>>>,
    services: HashMap<Arc<str>, ServiceRule>,
}

impl RouteTable {
    /// Checks the routes against the services and indexes them.
    ///
    /// # Errors
    ///
    /// Every fault, up to a bound.
    pub fn compile(
        version: u64,
        routes: Vec<RouteRule>,
        services: Vec<ServiceRule>,
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
                    faults.push(RouteFault::SamePlace {
                        first: Arc::clone(&pair[0].name),
                        second: Arc::clone(&pair[1].name),
                    });
                }
            }
        }
        faults.truncate(ROUTE_FAULTS_MAX);
        if !faults.is_empty() {
            return Err(faults);
        }
        Ok(Self {
            version,
            limits,
            hosts,
            services,
        })
    }

    /// The route with the longest prefix that begins `path`, among those of `host`.
    ///
    /// `host` may carry a port, which does not count.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<RouteRule>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let rules = match self.hosts.get(host) {
            Some(rules) => rules,
            None => self.hosts.get(host.to_ascii_lowercase().as_str())?,
        };
        rules.iter().find(|rule| path.starts_with(&*rule.prefix))
    }

    /// Connections that each target of `service` accepts from all VMs together.
    #[must_use]
    pub fn connections_max(&self, service: &str) -> Option<u32> {
        self.services.get(service).map(|rule| rule.connections_max)
    }

    /// Every route.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<RouteRule>> {
        self.hosts.values().flatten()
    }
}

fn check_route(
    route: &RouteRule,
    services: &HashMap<Arc<str>, ServiceRule>,
    faults: &mut Vec<RouteFault>,
) {
    let name = || Arc::clone(&route.name);
    if route.timeout.is_zero() {
        faults.push(RouteFault::NoTimeout { route: name() });
    }
    if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
        faults.push(RouteFault::BadPrefix { route: name() });
    }
    let named: Vec<&Arc<str>> = match &route.destination {
        RouteDestination::Gather(gather) => gather.shards.iter().collect(),
        RouteDestination::Split(parts) => {
            let total: f64 = parts.iter().map(|part| part.weight).sum();
            if !parts.is_empty() && total <= 0.0 {
                faults.push(RouteFault::NoWeight { route: name() });
            }
            parts.iter().map(|part| &part.service).collect()
        }
    };
    if named.is_empty() {
        faults.push(RouteFault::NoDestination { route: name() });
    }
    for service in named {
        if !services.contains_key(service) {
            faults.push(RouteFault::UnknownService {
                route: name(),
                service: Arc::clone(service),
            });
        }
    }
}
