//! Periods, bounds and sizes of the fleet protocols.

use std::{net::SocketAddr, time::Duration};

/// Time between two calls of `FleetState::on_tick`, in milliseconds.
pub const TICK_PERIOD_MS: u64 = 50;

const PROBE_PERIOD_MIN_MS: u64 = 200;
const PROBE_PERIOD_MAX_MS: u64 = 1_000;
const PROBE_PERIOD_PER_VM_MS: u64 = 20;

/// The tunable values of the fleet protocols.
#[derive(Clone, Debug)]
pub struct FleetSettings {
    /// Peer addresses to join through.
    pub seeds: Vec<SocketAddr>,
    /// Time that a probed VM has to answer before others are asked to probe it.
    pub probe_timeout: Duration,
    /// VMs asked for an indirect probe.
    pub indirect_probes: usize,
    /// Time from suspicion to removal.
    pub suspicion_timeout: Duration,
    /// Time between attempts to reach seeds and removed members.
    pub rejoin_period: Duration,
    /// Time for which a removed member is kept for attempts to reach it again.
    pub dead_member_retention: Duration,
    /// Children of one VM in the tree that spreads changes.
    pub spread_fan_out: usize,
    /// Least time between two repairs that this VM starts.
    pub repair_period: Duration,
    /// Lease of an announcement.
    pub lease: Duration,
    /// Time until a target should announce itself again.
    pub announce_period: Duration,
    /// Time for which a target stays in use once its lease holder is in doubt.
    pub holder_grace: Duration,
    /// Time until a target without a live lease holder is forgotten.
    pub orphan_retention: Duration,
    /// Index shards that one announcement may list.
    pub holdings_max: usize,
    /// Least connections that make another broker worthwhile.
    pub connections_per_broker_min: u32,
    /// Most brokers of one target.
    pub brokers_max: u32,
    /// Time without a majority after which a VM falls back to its reserve of connections.
    pub majority_loss_timeout: Duration,
    /// Time for which a VM must have been a broker before it opens its full share.
    pub handover_delay: Duration,
    /// Time for which all others must have confirmed a joining VM that opens its share early.
    pub confirm_period: Duration,
    /// Time for which a majority must have missed a VM before its share is given to others.
    pub dead_share_retention: Duration,
    /// Least time between two reports that this VM is behind the same configuration.
    pub config_retry_period: Duration,
    /// VMs that are told at once of a new configuration.
    pub config_fan_out: usize,
    /// Time to wait for word of peers before a VM serves what its disk holds.
    pub learning_timeout: Duration,
    /// VMs of a data centre that speak with other data centres.
    pub contacts_per_centre: usize,
    /// Time between two probes of other data centres by one contact.
    pub centre_probe_period: Duration,
    /// Silence after which another data centre counts as unreachable.
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
    /// Time between two probes, given the number of live VMs of the data centre.
    ///
    /// A small data centre probes faster: its cost is low, and few VMs share the search for a failed one.
    #[must_use]
    pub fn probe_period(&self, live_vms: usize) -> Duration {
        let live = u64::try_from(live_vms).unwrap_or(u64::MAX);
        let period = live.saturating_mul(PROBE_PERIOD_PER_VM_MS);
        Duration::from_millis(period.clamp(PROBE_PERIOD_MIN_MS, PROBE_PERIOD_MAX_MS))
    }
}
