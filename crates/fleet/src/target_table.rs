//! The snapshot of targets that is handed out.

use std::{collections::BTreeMap, sync::Arc};

use fulmarweir_base::{ServiceName, TargetRecord};

use crate::VmIdentity;

/// An immutable copy of the table, for use without a lock.
#[derive(Clone, Debug, Default)]
pub struct TargetTable {
    services: BTreeMap<ServiceName, Arc<[TargetEntry]>>,
}

/// One target and the VMs that connect to it.
#[derive(Clone, Debug)]
pub struct TargetEntry {
    /// Its last announcement.
    pub record: Arc<TargetRecord>,
    /// VMs that hold connections to it, the preferred one first.
    pub brokers: Arc<[Arc<VmIdentity>]>,
    /// Whether new work may go to it.
    pub usable: bool,
}

impl TargetTable {
    pub(crate) fn new(entries: impl Iterator<Item = TargetEntry>) -> Self {
        let mut services: BTreeMap<ServiceName, Vec<TargetEntry>> = BTreeMap::new();
        for entry in entries {
            services
                .entry(entry.record.service.clone())
                .or_default()
                .push(entry);
        }
        let services = services
            .into_iter()
            .map(|(name, list)| (name, list.into()))
            .collect();
        Self { services }
    }

    /// Targets of `service` in the order of their names.
    #[must_use]
    pub fn of_service(&self, service: &ServiceName) -> &[TargetEntry] {
        self.services.get(service).map_or(&[], |entries| entries)
    }

    /// All targets, by service.
    pub fn iter(&self) -> impl Iterator<Item = &TargetEntry> {
        self.services.values().flat_map(|entries| entries.iter())
    }
}
