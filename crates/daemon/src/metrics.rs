//! Metrics of the daemon.

use std::sync::atomic::AtomicU64;

use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::Registry,
};

/// Reason for a refusal, a retry or a failure.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(crate) struct ReasonLabel {
    pub(crate) reason: &'static str,
}

/// Version of the protocol between VMs.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(crate) struct VersionLabel {
    pub(crate) version: &'static str,
}

/// Distance to a target.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(crate) struct DistanceLabel {
    pub(crate) distance: &'static str,
}

/// What the address of a target did when a connection was opened to it.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(crate) struct ProbeLabel {
    pub(crate) address: &'static str,
}

/// State of a request that was lost with targets.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(crate) struct StateLabel {
    pub(crate) state: &'static str,
}

/// Kind of an attempt: first, hedge or retry.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(crate) struct KindLabel {
    pub(crate) kind: &'static str,
}

/// How an attempt is charged to the budget of extra attempts.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(crate) struct ChargeLabel {
    pub(crate) charge: &'static str,
}

/// Outcome of a hedge.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(crate) struct OutcomeLabel {
    pub(crate) outcome: &'static str,
}

/// Kind of key of a rate over all VMs, and what became of the permits.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(crate) struct RateLabel {
    pub(crate) key: &'static str,
    pub(crate) outcome: &'static str,
}

/// Purpose of traffic between daemons.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(crate) struct ClassLabel {
    pub(crate) class: &'static str,
}

/// Service that a metric belongs to.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(crate) struct ServiceLabel {
    pub(crate) service: String,
}

/// Route that a metric belongs to. Several routes may have one name.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(crate) struct RouteLabel {
    /// Name of the route.
    pub(crate) service: String,
    pub(crate) host: String,
    pub(crate) prefix: String,
}

/// The metrics that `/metrics` exposes.
pub(crate) struct MetricSet {
    registry: Registry,
    pub(crate) refusals: Family<ReasonLabel, Counter>,
    pub(crate) retries: Family<ReasonLabel, Counter>,
    pub(crate) hedges: Family<OutcomeLabel, Counter>,
    pub(crate) attempts: Family<KindLabel, Counter>,
    pub(crate) attempt_failures: Family<ReasonLabel, Counter>,
    pub(crate) latency: Family<ServiceLabel, Histogram>,
    pub(crate) coverage: Family<ServiceLabel, Histogram>,
    pub(crate) announcements: Family<OutcomeLabel, Counter>,
    pub(crate) config_version: Gauge<u64, AtomicU64>,
    pub(crate) connections: Gauge<u64, AtomicU64>,
    pub(crate) members: Gauge<u64, AtomicU64>,
    pub(crate) targets: Gauge<u64, AtomicU64>,
    pub(crate) peer_bytes: Family<ClassLabel, Gauge<u64, AtomicU64>>,
    pub(crate) peer_calls: Family<ClassLabel, Gauge<u64, AtomicU64>>,
}

fn latency_histogram() -> Histogram {
    Histogram::new(exponential_buckets(0.000_5, 1.5, 24))
}

fn coverage_histogram() -> Histogram {
    Histogram::new([0.0, 0.5, 0.8, 0.9, 0.95, 0.98, 0.99, 0.999])
}

impl MetricSet {
    pub(crate) fn new() -> Self {
        let mut set = Self {
            registry: Registry::with_prefix("fulmarweir"),
            refusals: Family::default(),
            retries: Family::default(),
            hedges: Family::default(),
            attempts: Family::default(),
            attempt_failures: Family::default(),
            latency: Family::new_with_constructor(latency_histogram),
            coverage: Family::new_with_constructor(coverage_histogram),
            announcements: Family::default(),
            config_version: Gauge::default(),
            connections: Gauge::default(),
            members: Gauge::default(),
            targets: Gauge::default(),
            peer_bytes: Family::default(),
            peer_calls: Family::default(),
        };
        set.register_requests();
        set.register_process();
        set
    }

    fn register_requests(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "refusals",
            "Requests refused, by reason",
            self.refusals.clone(),
        );
        registry.register(
            "retries",
            "Attempts retried, by reason",
            self.retries.clone(),
        );
        registry.register("hedges", "Hedged attempts, by outcome", self.hedges.clone());
        registry.register(
            "attempts",
            "Attempts at targets, by kind",
            self.attempts.clone(),
        );
        registry.register(
            "attempt_failures",
            "Attempts without an answer, by reason",
            self.attempt_failures.clone(),
        );
        registry.register("latency_seconds", "Time to an answer", self.latency.clone());
        registry.register(
            "coverage",
            "Share of shards in an answer",
            self.coverage.clone(),
        );
    }

    fn register_process(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "announcements",
            "Announcements of targets, by outcome",
            self.announcements.clone(),
        );
        registry.register(
            "config_version",
            "Configuration version in force here",
            self.config_version.clone(),
        );
        registry.register(
            "target_connections",
            "Connections held to targets",
            self.connections.clone(),
        );
        registry.register("members", "VMs known to be alive", self.members.clone());
        registry.register("targets", "Targets in use", self.targets.clone());
        registry.register(
            "peer_bytes_total",
            "Bytes between daemons, by purpose",
            self.peer_bytes.clone(),
        );
        registry.register(
            "peer_calls_total",
            "Calls between daemons, by purpose",
            self.peer_calls.clone(),
        );
    }

    pub(crate) fn count_refusal(&self, reason: &'static str) {
        self.refusals.get_or_create(&ReasonLabel { reason }).inc();
    }

    /// Returns the body of `GET /metrics`.
    pub(crate) fn render(&self) -> String {
        render_registry(&self.registry)
    }
}

/// Renders the metrics of a registry in the text format.
pub(crate) fn render_registry(registry: &Registry) -> String {
    let mut text = String::new();
    // Writing to a string does not fail.
    let _ = encode(&mut text, registry);
    text
}
