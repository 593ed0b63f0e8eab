//! Immutable snapshots of the targets of a data centre.

use std::{collections::BTreeMap, sync::Arc};

use fulmarweir_base::{ServiceName, TargetRecord};

use crate::VmIdentity;

/// An immutable snapshot of the targets, for use without a lock.
#[derive(Clone, Debug, Default)]
pub struct TargetTable {
    services: BTreeMap<ServiceName, Arc<[TargetEntry]>>,
}

/// A target and the VMs that connect to it.
#[derive(Clone, Debug)]
pub struct TargetEntry {
    /// Last announcement of the target.
    pub record: Arc<TargetRecord>,
    /// VMs that hold connections to the target, the preferred one first.
    pub brokers: Arc<[Arc<VmIdentity>]>,
    /// Whether new requests may be sent to the target.
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

    /// Returns the targets of `service` in the order of their names.
    #[must_use]
    pub fn of_service(&self, service: &ServiceName) -> &[TargetEntry] {
        self.services.get(service).map_or(&[], |entries| entries)
    }

    /// Returns all targets, by service.
    pub fn iter(&self) -> impl Iterator<Item = &TargetEntry> {
        self.services.values().flat_map(|entries| entries.iter())
    }
}
