//! What a VM can be asked about the fleet.

use std::sync::Arc;

use fulmarweir_base::{CentreName, MonoTime, ServiceName};

use crate::{
    BrokerShare, CentreRecord, ConfigStamp, FleetState, MemberStatus, ReadyPhase, ServiceShards,
    TargetKey, TargetLimits, TargetTable, VmIdentity, broker::concurrency_share,
    state::Participation,
};

/// One member as others see it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberView {
    /// The VM.
    pub identity: Arc<VmIdentity>,
    /// What is believed of it.
    pub status: MemberStatus,
    /// Configuration that it had in force when last heard.
    pub config: ConfigStamp,
    /// When the status last changed.
    pub changed_at: MonoTime,
}

impl FleetState {
    /// The targets of this data centre, as an immutable snapshot.
    #[must_use]
    pub fn targets(&self) -> Arc<TargetTable> {
        Arc::clone(&self.targets)
    }

    /// What this VM may use of the target, or `None` if it is not one of its brokers.
    ///
    /// `limits` may be lower than announced. Zero connections mean that this VM is a
    /// broker and may not connect yet.
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

    /// Phase of this VM since its start.
    #[must_use]
    pub fn phase(&self) -> ReadyPhase {
        match self.participation {
            Participation::Active => self.config.phase(),
            Participation::Refused(_) | Participation::Left => ReadyPhase::Learning,
        }
    }

    /// Configuration in force here.
    #[must_use]
    pub fn applied_config(&self) -> ConfigStamp {
        self.config.applied()
    }

    /// Newest configuration that this VM has heard of.
    #[must_use]
    pub fn newest_known_config(&self) -> ConfigStamp {
        self.config.newest_known()
    }

    /// All known VMs of this data centre, this one among them, with removed ones for a while.
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

    /// Summaries of all known data centres, the own one among them.
    pub fn centres(&self) -> impl Iterator<Item = &CentreRecord> {
        self.centres.records()
    }

    /// What the data centre `centre` holds of `service`.
    #[must_use]
    pub fn centre_shards(
        &self,
        centre: &CentreName,
        service: &ServiceName,
    ) -> Option<&ServiceShards> {
        self.centres.holding(centre, service)
    }

    /// The VM that has this VM's name, if this one was refused for it.
    #[must_use]
    pub fn name_holder(&self) -> Option<&Arc<VmIdentity>> {
        match &self.participation {
            Participation::Refused(holder) => Some(holder),
            Participation::Active | Participation::Left => None,
        }
    }
}
