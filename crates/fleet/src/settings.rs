//! Settings of the fleet protocols.

use std::{net::SocketAddr, time::Duration};

/// Interval between two calls of `FleetState::on_tick`, in milliseconds.
pub const TICK_PERIOD_MS: u64 = 50;

const PROBE_PERIOD_MIN_MS: u64 = 200;
const PROBE_PERIOD_MAX_MS: u64 = 1_000;
const PROBE_PERIOD_PER_VM_MS: u64 = 20;

/// Timeouts, intervals and limits of the fleet protocols.
#[derive(Clone, Debug)]
pub struct FleetSettings {
    /// Peer addresses that joins are sent to.
    pub seeds: Vec<SocketAddr>,
    /// Time without an answer to a probe after which other VMs are asked to probe.
    pub probe_timeout: Duration,
    /// Number of VMs asked for an indirect probe.
    pub indirect_probes: usize,
    /// Time after which a suspect that has not refuted the suspicion is marked dead.
    pub suspicion_timeout: Duration,
    /// Interval between join attempts to seeds and dead members.
    pub rejoin_period: Duration,
    /// Time for which a dead member is remembered, for attempts to reach it again.
    pub dead_member_retention: Duration,
    /// Number of children of one VM in the spread tree.
    pub spread_fan_out: usize,
    /// Minimum interval between two repairs that this VM starts.
    pub repair_period: Duration,
    /// Duration of the lease that an announcement renews.
    pub lease: Duration,
    /// Interval at which a target should announce itself.
    pub announce_period: Duration,
    /// Time for which a target stays usable after its lease holder stopped being alive.
    pub holder_grace: Duration,
    /// Time after which a target without a live lease holder is forgotten.
    pub orphan_retention: Duration,
    /// Maximum number of index shards in one announcement.
    pub holdings_max: usize,
    /// Minimum number of connections per broker; limits the number of brokers.
    pub connections_per_broker_min: u32,
    /// Maximum number of brokers of one target.
    pub brokers_max: u32,
    /// Time without a majority after which a VM falls back to its reserve of connections.
    pub majority_loss_timeout: Duration,
    /// Time for which a VM must have been a broker before it opens its full share.
    pub handover_delay: Duration,
    /// Time for which all other VMs must have confirmed a joining VM before it opens its full
    /// share early.
    pub confirm_period: Duration,
    /// Time for which a majority must have considered a VM dead before its share is released.
    pub dead_share_retention: Duration,
    /// Minimum interval between two fetches of the same configuration.
    pub config_retry_period: Duration,
    /// Number of VMs that are notified at once of a newly applied configuration.
    pub config_fan_out: usize,
    /// Time to wait for a peer's configuration before a VM serves the one on its disk.
    pub learning_timeout: Duration,
    /// Number of VMs of a data centre that communicate with other data centres.
    pub contacts_per_centre: usize,
    /// Interval between two probes of other data centres by one contact.
    pub centre_probe_period: Duration,
    /// Minimum silence after which another data centre counts as unreachable.
    pub centre_timeout: Duration,
}

impl Default for FleetSettings {
    fn default() -> Self {
        Self {
            seeds: Vec::new(),
            probe_timeout: Duration::from_millis(300),
            indirect_probes: 3,
            suspicion_timeout: Duration::from_millis(1_500),
            rejoin_period: Duration::from_secs(1),
            dead_member_retention: Duration::from_hours(1),
            spread_fan_out: 16,
            repair_period: Duration::from_secs(1),
            lease: Duration::from_secs(3),
            announce_period: Duration::from_secs(1),
            holder_grace: Duration::from_secs(3),
            orphan_retention: Duration::from_secs(10),
            holdings_max: 256,
            connections_per_broker_min: 4,
            brokers_max: 16,
            majority_loss_timeout: Duration::from_secs(6),
            handover_delay: Duration::from_secs(20),
            confirm_period: Duration::from_secs(1),
            dead_share_retention: Duration::from_mins(1),
            config_retry_period: Duration::from_millis(500),
            config_fan_out: 8,
            learning_timeout: Duration::from_secs(5),
            contacts_per_centre: 3,
            centre_probe_period: Duration::from_secs(1),
            centre_timeout: Duration::from_secs(5),
        }
    }
}

impl FleetSettings {
    /// Returns the interval between two probes, given the number of live VMs of the data centre.
    ///
    /// A small data centre probes faster, because the cost is low there and few VMs share the
    /// detection of a failure.
    #[must_use]
    pub fn probe_period(&self, live_vms: usize) -> Duration {
        let live = u64::try_from(live_vms).unwrap_or(u64::MAX);
        let period = live.saturating_mul(PROBE_PERIOD_PER_VM_MS);
        Duration::from_millis(period.clamp(PROBE_PERIOD_MIN_MS, PROBE_PERIOD_MAX_MS))
    }
}
