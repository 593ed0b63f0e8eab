//! Targets that announced themselves to this VM.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use fulmarweir_base::{MonoTime, ServiceName, TargetName, TargetRecord, TargetState, lock};

/// Time that an announcement keeps a target in use.
pub(crate) const LEASE_MS: u64 = 3000;
/// Time between announcements.
pub(crate) const NEXT_MS: u64 = 1000;

struct LeasedTarget {
    record: Arc<TargetRecord>,
    expires: MonoTime,
}

/// Leases of targets.
#[derive(Default)]
pub(crate) struct TargetRegistry {
    targets: Mutex<HashMap<(ServiceName, TargetName), LeasedTarget>>,
}

impl TargetRegistry {
    /// Takes an announcement; false when a newer incarnation is known.
    pub(crate) fn announce(&self, record: TargetRecord, now: MonoTime) -> bool {
        let key = (record.service.clone(), record.name.clone());
        let mut targets = lock(&self.targets);
        let outdated = targets
            .get(&key)
            .is_some_and(|known| known.record.incarnation > record.incarnation);
        if outdated {
            return false;
        }
        let leased = LeasedTarget {
            record: Arc::new(record),
            expires: now + Duration::from_millis(LEASE_MS),
        };
        targets.insert(key, leased);
        true
    }

    /// Targets whose lease runs and that accept work.
    pub(crate) fn usable(&self, now: MonoTime) -> Vec<Arc<TargetRecord>> {
        let mut targets = lock(&self.targets);
        targets.retain(|_, target| target.expires > now);
        targets
            .values()
            .map(|target| Arc::clone(&target.record))
            .filter(|record| record.state == TargetState::Serving)
            .collect()
    }
}
