//! Queries on the state of the fleet as one VM knows it.

use std::sync::Arc;

use fulmarweir_base::{CentreName, MonoTime, ServiceName};

use crate::{
    BrokerShare, CentreRecord, ConfigStamp, FleetState, MemberStatus, ReadyPhase, ServiceShards,
    TargetKey, TargetLimits, TargetTable, VmIdentity, broker::concurrency_share,
    state::Participation,
};

/// A member as this VM sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberView {
    /// Identity of the member.
    pub identity: Arc<VmIdentity>,
    /// Status of the member.
    pub status: MemberStatus,
    /// Configuration that the member reported last.
    pub config: ConfigStamp,
    /// Time of the last change.
    pub changed_at: MonoTime,
}

impl FleetState {
    /// Returns an immutable snapshot of the targets of this data centre.
    #[must_use]
    pub fn targets(&self) -> Arc<TargetTable> {
        Arc::clone(&self.targets)
    }

    /// Returns this VM's share of the target's limits, or `None` if this VM is not one of the
    /// brokers of the target.
    ///
    /// `limits` may be lower than announced. Zero connections mean that this VM is a broker but
    /// may not connect yet.
    #[must_use]
    pub fn broker_share(
        &self,
        key: &TargetKey,
        limits: TargetLimits,
        now: MonoTime,
    ) -> Option<BrokerShare> {
        let entry = self.leases.get(key)?;
        let record = &entry.change.record;
        let brokers = self.brokers_of(key)?;
        let own = &self.identity.name;
        if !brokers.iter().any(|broker| broker.name == *own) {
            return None;
        }
        let limits = limits.lower(TargetLimits::of(record));
        let previous = entry.previous_limits(self.settings.handover_delay, now);
        let connections = self
            .plan
            .connections(own, record, previous, limits, &self.settings, now);
        let concurrency = concurrency_share(&brokers, own, limits.slots);
        Some(BrokerShare {
            connections,
            concurrency: concurrency.min(connections),
        })
    }

    /// Returns the readiness phase of this VM.
    #[must_use]
    pub fn phase(&self) -> ReadyPhase {
        match self.participation {
            Participation::Active => self.config.phase(),
            Participation::Refused(_) | Participation::Left => ReadyPhase::Learning,
        }
    }

    /// Returns the configuration that this VM has applied.
    #[must_use]
    pub fn applied_config(&self) -> ConfigStamp {
        self.config.applied()
    }

    /// Returns the newest configuration that this VM knows of.
    #[must_use]
    pub fn newest_known_config(&self) -> ConfigStamp {
        self.config.newest_known()
    }

    /// Returns all known VMs of this data centre, including this one, and dead and left VMs until
    /// they are forgotten.
    #[must_use]
    pub fn members(&self) -> Vec<MemberView> {
        let own = self.config.applied();
        let view = |entry: &crate::member::MemberEntry| MemberView {
            identity: Arc::clone(&entry.update.identity),
            status: entry.update.status,
            config: if entry.update.identity == self.identity {
                own
            } else {
                entry.config
            },
            changed_at: entry.changed_at,
        };
        self.members.entries().map(view).collect()
    }

    /// Returns the summaries of all known data centres, including that of this VM.
    pub fn centres(&self) -> impl Iterator<Item = &CentreRecord> {
        self.centres.records()
    }

    /// Returns the shards of `service` that the data centre `centre` holds.
    #[must_use]
    pub fn centre_shards(
        &self,
        centre: &CentreName,
        service: &ServiceName,
    ) -> Option<&ServiceShards> {
        self.centres.holding(centre, service)
    }

    /// Returns the VM that has the name of this VM, if this VM was refused for that reason.
    #[must_use]
    pub fn name_holder(&self) -> Option<&Arc<VmIdentity>> {
        match &self.participation {
            Participation::Refused(holder) => Some(holder),
            Participation::Active | Participation::Left => None,
        }
    }
}
