//! The metrics of entry VMs and keepers.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::atomic::AtomicU64,
    time::{Duration, Instant},
};

use fulmarweir_conf::RouteRule;
use fulmarweir_route::{LinkChange, LinkState, QuarantineState};
use fulmarweir_wire::{PeerVersion, ServedVersions, TrafficClass, TrafficMeter};
use prometheus_client::{
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::Registry,
};

use crate::metrics::{
    ChargeLabel, DistanceLabel, KindLabel, OutcomeLabel, ProbeLabel, RateLabel, ReasonLabel,
    RouteLabel, StateLabel, VersionLabel, render_registry,
};

type CountGauge = Gauge<u64, AtomicU64>;

/// All metrics of a VM.
pub(crate) struct RelayMetrics {
    registry: Registry,
    started: Instant,
    pub(crate) requests: Family<OutcomeLabel, Counter>,
    pub(crate) refusals: Family<ReasonLabel, Counter>,
    pub(crate) identify: Family<OutcomeLabel, Counter>,
    pub(crate) quota: Family<OutcomeLabel, Counter>,
    pub(crate) attempts: Family<KindLabel, Counter>,
    pub(crate) attempt_charges: Family<ChargeLabel, Counter>,
    pub(crate) attempt_distances: Family<DistanceLabel, Counter>,
    pub(crate) attempt_failures: Family<ReasonLabel, Counter>,
    pub(crate) attempt_losses: Family<ProbeLabel, Counter>,
    pub(crate) quarantine_changes: Family<StateLabel, Counter>,
    pub(crate) link_changes: Family<StateLabel, Counter>,
    pub(crate) links_lost: CountGauge,
    pub(crate) requests_blocked: CountGauge,
    pub(crate) evacuated_centres: CountGauge,
    pub(crate) home_bound: Family<OutcomeLabel, Counter>,
    pub(crate) hedges: Family<OutcomeLabel, Counter>,
    pub(crate) handovers: Family<OutcomeLabel, Counter>,
    pub(crate) target_notices: Family<KindLabel, Counter>,
    pub(crate) permits: Family<OutcomeLabel, Counter>,
    pub(crate) rate_permits: Family<RateLabel, Counter>,
    pub(crate) latency: Family<RouteLabel, Histogram>,
    pub(crate) announcements: Family<OutcomeLabel, Counter>,
    pub(crate) config_changes: Family<OutcomeLabel, Counter>,
    pub(crate) evacuation_orders: Family<OutcomeLabel, Counter>,
    /// Departures and orders that were not acknowledged, since too few keepers had stored them.
    pub(crate) unreplicated: Counter,
    pub(crate) log_lines_dropped: Counter,
    pub(crate) config_version: CountGauge,
    pub(crate) targets: CountGauge,
    pub(crate) keepers: CountGauge,
    pub(crate) entries: CountGauge,
    pub(crate) brokers: CountGauge,
    pub(crate) requests_open: CountGauge,
    pub(crate) control_bytes: CountGauge,
    pub(crate) query_bytes: CountGauge,
    pub(crate) connections_idle: CountGauge,
    pub(crate) connections_opened: CountGauge,
    pub(crate) voter_epoch: CountGauge,
    pub(crate) voter_open: CountGauge,
    pub(crate) voters_newest: CountGauge,
    peer_versions: Family<VersionLabel, CountGauge>,
    peer_calls_served: Family<VersionLabel, CountGauge>,
    uptime: CountGauge,
}

fn latency_histogram() -> Histogram {
    Histogram::new(exponential_buckets(0.001, 1.5, 24))
}

impl RelayMetrics {
    pub(crate) fn new() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("fulmarweir_relay"),
            started: Instant::now(),
            requests: Family::default(),
            refusals: Family::default(),
            identify: Family::default(),
            quota: Family::default(),
            attempts: Family::default(),
            attempt_charges: Family::default(),
            attempt_distances: Family::default(),
            attempt_failures: Family::default(),
            attempt_losses: Family::default(),
            quarantine_changes: Family::default(),
            link_changes: Family::default(),
            links_lost: Gauge::default(),
            requests_blocked: Gauge::default(),
            evacuated_centres: Gauge::default(),
            home_bound: Family::default(),
            hedges: Family::default(),
            handovers: Family::default(),
            target_notices: Family::default(),
            permits: Family::default(),
            rate_permits: Family::default(),
            latency: Family::new_with_constructor(latency_histogram),
            announcements: Family::default(),
            config_changes: Family::default(),
            evacuation_orders: Family::default(),
            unreplicated: Counter::default(),
            log_lines_dropped: Counter::default(),
            config_version: Gauge::default(),
            targets: Gauge::default(),
            keepers: Gauge::default(),
            entries: Gauge::default(),
            brokers: Gauge::default(),
            requests_open: Gauge::default(),
            control_bytes: Gauge::default(),
            query_bytes: Gauge::default(),
            connections_idle: Gauge::default(),
            connections_opened: Gauge::default(),
            voter_epoch: Gauge::default(),
            voter_open: Gauge::default(),
            voters_newest: Gauge::default(),
            peer_versions: Family::default(),
            peer_calls_served: Family::default(),
            uptime: Gauge::default(),
        };
        metrics.register_counters();
        metrics.register_control_counters();
        metrics.register_gauges();
        metrics
    }

    fn register_counters(&mut self) {
        let registry = &mut self.registry;
        registry.register("requests", "Requests by outcome", self.requests.clone());
        registry.register(
            "refusals",
            "Requests refused, by reason",
            self.refusals.clone(),
        );
        registry.register(
            "identify",
            "Requests of callers that need a key or need none on their route, by what their key told",
            self.identify.clone(),
        );
        registry.register(
            "quota",
            "Requests of tenants with a quota, by what became of them",
            self.quota.clone(),
        );
        registry.register(
            "attempts",
            "Attempts at targets, by kind",
            self.attempts.clone(),
        );
        registry.register(
            "attempt_charges",
            "Attempts at targets, by how they are charged to the budget of extra attempts",
            self.attempt_charges.clone(),
        );
        registry.register(
            "target_notices",
            "Targets that said that they leave, asked for time, or changed their limit",
            self.target_notices.clone(),
        );
        registry.register(
            "permits",
            "Permits to send to targets with a limit that keepers were asked for, by outcome",
            self.permits.clone(),
        );
        registry.register(
            "rate_permits",
            "Permits for rates over all VMs that keepers were asked for, by kind of key and outcome",
            self.rate_permits.clone(),
        );
        registry.register(
            "attempt_distances",
            "Attempts at targets, by how far these are",
            self.attempt_distances.clone(),
        );
        registry.register(
            "attempt_failures",
            "Attempts without a usable answer, by reason",
            self.attempt_failures.clone(),
        );
        registry.register(
            "attempt_losses",
            "Attempts whose connection ended without an answer, by what the target's address did next",
            self.attempt_losses.clone(),
        );
        registry.register(
            "quarantine_changes",
            "Changes of what is known of requests that were lost with their targets, by state",
            self.quarantine_changes.clone(),
        );
        registry.register(
            "target_link_examinations",
            "Examinations of the links to targets, by the state that they led to",
            self.link_changes.clone(),
        );
        registry.register(
            "home_bound",
            "Requests for which nothing in their home regions could be reached, by outcome",
            self.home_bound.clone(),
        );
        registry.register("hedges", "Second attempts, by outcome", self.hedges.clone());
        registry.register(
            "handovers",
            "Searches handed over to other VMs or run for them, by outcome",
            self.handovers.clone(),
        );
        registry.register(
            "latency_seconds",
            "Time to an answer, by route",
            self.latency.clone(),
        );
        registry.register(
            "log_lines_dropped",
            "Request lines left out of the log to bound it",
            self.log_lines_dropped.clone(),
        );
    }

    /// Registers what keepers count of targets and operators.
    fn register_control_counters(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "announcements",
            "Announcements of targets, by outcome",
            self.announcements.clone(),
        );
        registry.register(
            "config_changes",
            "Configurations submitted here, by outcome",
            self.config_changes.clone(),
        );
        registry.register(
            "evacuation_orders",
            "Orders to begin or end the evacuation of a data centre, by outcome",
            self.evacuation_orders.clone(),
        );
        registry.register(
            "unreplicated",
            "Departures and orders not acknowledged, as too few keepers had stored them",
            self.unreplicated.clone(),
        );
    }

    fn register_gauges(&mut self) {
        self.registry.register(
            "peer_versions",
            "Other VMs that this one has called, by the protocol version of their last reply",
            self.peer_versions.clone(),
        );
        self.registry.register(
            "peer_calls_served",
            "Calls of other VMs since the start, by protocol version; those in unknown versions were refused",
            self.peer_calls_served.clone(),
        );
        let gauges = [
            (
                "config_version",
                "Configuration in force here",
                &self.config_version,
            ),
            ("targets", "Targets in use", &self.targets),
            ("keepers", "Keepers that answer", &self.keepers),
            ("entries", "Entry VMs that share the targets", &self.entries),
            (
                "brokers",
                "VMs that searches can be handed to",
                &self.brokers,
            ),
            ("requests_open", "Requests in flight", &self.requests_open),
            (
                "control_bytes",
                "Bytes to and from other VMs for what is known of targets, VMs and configurations, since the start",
                &self.control_bytes,
            ),
            (
                "query_bytes",
                "Bytes to and from other VMs for searches, since the start",
                &self.query_bytes,
            ),
            (
                "connections_idle",
                "Idle connections to targets",
                &self.connections_idle,
            ),
            (
                "connections_opened",
                "Connections to targets opened since the start",
                &self.connections_opened,
            ),
            (
                "voter_epoch",
                "Epoch of the known voters",
                &self.voter_epoch,
            ),
            (
                "voter_open",
                "Whether the voter here takes part",
                &self.voter_open,
            ),
            (
                "voters_newest",
                "Whether all voters are known to speak the newest protocol version",
                &self.voters_newest,
            ),
            (
                "requests_blocked",
                "Requests that are not sent to targets, since they have ended several",
                &self.requests_blocked,
            ),
            (
                "evacuated_centres",
                "Data centres whose targets get no new requests",
                &self.evacuated_centres,
            ),
            (
                "target_links_lost",
                "Whether this VM has lost its links to targets",
                &self.links_lost,
            ),
            ("uptime_seconds", "Time since the start", &self.uptime),
        ];
        for (name, help, gauge) in gauges {
            self.registry.register(name, help, gauge.clone());
        }
    }

    /// Updates the gauges of traffic between VMs.
    pub(crate) fn update_traffic(&self, meter: &TrafficMeter) {
        let bytes = |class| meter.totals(class).bytes;
        self.control_bytes.set(bytes(TrafficClass::Control));
        self.query_bytes.set(bytes(TrafficClass::Query));
    }

    /// Updates the gauges of protocol versions.
    pub(crate) fn update_versions(
        &self,
        known: &BTreeMap<SocketAddr, PeerVersion>,
        served: &ServedVersions,
    ) {
        let set = |family: &Family<VersionLabel, CountGauge>, version, value| {
            family.get_or_create(&VersionLabel { version }).set(value);
        };
        for (version, label) in [(PeerVersion::V8, "8"), (PeerVersion::V9, "9")] {
            let peers = known.values().filter(|known| **known == version).count();
            set_count(
                &self
                    .peer_versions
                    .get_or_create(&VersionLabel { version: label }),
                peers,
            );
            set(&self.peer_calls_served, label, served.calls(version));
        }
        set(&self.peer_calls_served, "unknown", served.unknown().count);
    }

    /// Counts a request by its outcome.
    pub(crate) fn count_request(&self, outcome: &'static str) {
        self.requests.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    /// Counts a request by what its key told.
    pub(crate) fn count_identification(&self, outcome: &'static str) {
        self.identify.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    /// Counts a request of a tenant with a quota, or the credit for one.
    pub(crate) fn count_quota(&self, outcome: &'static str) {
        self.quota.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    /// Counts an attempt whose connection ended without an answer.
    pub(crate) fn count_attempt_loss(&self, address: &'static str) {
        let label = ProbeLabel { address };
        self.attempt_losses.get_or_create(&label).inc();
    }

    /// Counts a change of the state of a request that was lost with targets.
    pub(crate) fn count_quarantine_change(&self, state: QuarantineState) {
        let state = state.as_str();
        self.quarantine_changes
            .get_or_create(&StateLabel { state })
            .inc();
    }

    /// Counts an examination of the links to targets.
    pub(crate) fn count_link_examination(&self, change: Option<LinkChange>) {
        let state = change.map_or("unchanged", |change| change.after.as_str());
        self.link_changes.get_or_create(&StateLabel { state }).inc();
        if let Some(change) = change {
            let are_unusable = matches!(change.after, LinkState::Lost | LinkState::TargetsDown);
            self.links_lost.set(are_unusable.into());
        }
    }

    /// Counts something that a target has said about itself.
    pub(crate) fn count_target_notice(&self, kind: &'static str) {
        self.target_notices.get_or_create(&KindLabel { kind }).inc();
    }

    /// Counts permits that a keeper was asked for.
    pub(crate) fn count_permits(&self, outcome: &'static str, count: usize) {
        let label = OutcomeLabel { outcome };
        self.permits.get_or_create(&label).inc_by(count as u64);
    }

    /// Counts a request for which nothing in its home regions could be reached.
    pub(crate) fn count_home_bound(&self, outcome: &'static str) {
        let label = OutcomeLabel { outcome };
        self.home_bound.get_or_create(&label).inc();
    }

    /// Counts permits for a rate over all VMs that a keeper was asked for.
    pub(crate) fn count_rate_permits(&self, key: &'static str, outcome: &'static str, count: u32) {
        if count > 0 {
            let label = RateLabel { key, outcome };
            let permits = self.rate_permits.get_or_create(&label);
            permits.inc_by(count.into());
        }
    }

    /// Counts a handover by its outcome.
    pub(crate) fn count_handover(&self, outcome: &'static str) {
        let label = OutcomeLabel { outcome };
        self.handovers.get_or_create(&label).inc();
    }

    /// Counts an operator's order about an evacuation by its outcome.
    pub(crate) fn count_evacuation_order(&self, outcome: &'static str) {
        let label = OutcomeLabel { outcome };
        self.evacuation_orders.get_or_create(&label).inc();
    }

    /// Counts a refused request by its reason.
    pub(crate) fn count_refusal(&self, reason: &'static str) {
        self.refusals.get_or_create(&ReasonLabel { reason }).inc();
    }

    /// Records the time to a response on a route.
    pub(crate) fn observe_latency(&self, route: &RouteRule, latency: Duration) {
        let label = RouteLabel {
            service: route.name.to_string(),
            host: route.host.to_string(),
            prefix: route.prefix.to_string(),
        };
        let histogram = self.latency.get_or_create(&label);
        histogram.observe(latency.as_secs_f64());
    }

    /// Returns the metrics in the Prometheus text format.
    pub(crate) fn render(&self) -> String {
        self.uptime.set(self.started.elapsed().as_secs());
        render_registry(&self.registry)
    }
}

/// Sets a gauge to a count.
pub(crate) fn set_count(gauge: &CountGauge, count: usize) {
    gauge.set(u64::try_from(count).unwrap_or(u64::MAX));
}
