//! Snapshots of the known targets by service, in the form that requests use.

use std::{
    collections::{HashMap, HashSet},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering::Relaxed},
    },
    time::Duration,
};

use fulmarweir_base::{CentreName, MonoTime, ServiceName, TargetName, lock};
use fulmarweir_conf::ServiceConfig;
use fulmarweir_fleet::{FleetState, TargetEntry, TargetKey, TargetLimits, TargetTable, VmIdentity};
use fulmarweir_pool::TargetShare;
use fulmarweir_route::TargetView;
use tokio::sync::watch;

use crate::{
    lifecycle::LifecyclePhase,
    node::NodeState,
    remote_centre::{RemoteCentre, find_remote_centres, records_of_missing_shards},
};

/// Minimum time between two reports to the fleet state that a target answers, in milliseconds.
///
/// It is well below the lease duration for which an answer keeps a target usable, and limits
/// contention for the lock of the fleet state.
const ALIVE_REPORT_PERIOD_MS: u64 = 500;

/// The VMs that connect to a target, and when an answer of the target was last reported.
struct TargetBrokers {
    vms: Arc<[Arc<VmIdentity>]>,
    reported_at_micros: AtomicU64,
}

/// A snapshot of the targets of one service.
pub(crate) struct ServiceView {
    /// Shard holders; includes other data centres for shards that this data centre lacks.
    pub(crate) targets: Arc<TargetView>,
    /// Shard holders within this data centre.
    pub(crate) local: Arc<TargetView>,
    brokers: HashMap<TargetName, TargetBrokers>,
    remote_centres: Vec<RemoteCentre>,
    entries: Vec<TargetEntry>,
}

impl ServiceView {
    fn build(
        entries: &[TargetEntry],
        local: Arc<TargetView>,
        remote_centres: Vec<RemoteCentre>,
    ) -> Self {
        let usable = || entries.iter().filter(|entry| entry.usable);
        let brokers = usable()
            .map(|entry| {
                let brokers = TargetBrokers {
                    vms: Arc::clone(&entry.brokers),
                    reported_at_micros: AtomicU64::new(0),
                };
                (entry.record.name.clone(), brokers)
            })
            .collect();
        let remote_records = remote_centres
            .iter()
            .map(|centre| centre.record.clone())
            .collect();
        let targets = if local.newest_complete().is_some() {
            (*local).clone().with_remote_centres(remote_records)
        } else {
            let records = usable().map(|entry| (*entry.record).clone());
            let missing = records_of_missing_shards(&remote_centres, &local);
            TargetView::build(records.chain(missing).collect()).with_remote_centres(remote_records)
        };
        Self {
            targets: Arc::new(targets),
            local,
            brokers,
            remote_centres,
            entries: entries.to_vec(),
        }
    }

    /// Returns the VMs that hold connections to a target, the preferred one first.
    pub(crate) fn brokers_of(&self, target: &TargetName) -> &[Arc<VmIdentity>] {
        self.brokers.get(target).map_or(&[], |known| &*known.vms)
    }

    /// Records that a target answered, and returns whether to report this to the fleet state.
    pub(crate) fn record_answer(&self, target: &TargetName, now: MonoTime) -> bool {
        let Some(known) = self.brokers.get(target) else {
            return false;
        };
        let last = MonoTime::from_micros(known.reported_at_micros.load(Relaxed));
        if now.since(last) < Duration::from_millis(ALIVE_REPORT_PERIOD_MS) {
            return false;
        }
        known.reported_at_micros.store(now.as_micros(), Relaxed);
        true
    }

    /// Returns the data centre that `target` represents, if `target` is a synthetic record.
    pub(crate) fn remote_centre_of(&self, target: &TargetName) -> Option<&RemoteCentre> {
        let mut centres = self.remote_centres.iter();
        centres.find(|centre| centre.record.name == *target)
    }

    fn is_built_from(&self, entries: &[TargetEntry]) -> bool {
        self.entries.len() == entries.len()
            && self.entries.iter().zip(entries).all(|(known, entry)| {
                known.usable == entry.usable
                    && Arc::ptr_eq(&known.record, &entry.record)
                    && known.brokers == entry.brokers
            })
    }
}

fn local_view(entries: &[TargetEntry]) -> Arc<TargetView> {
    let usable = entries.iter().filter(|entry| entry.usable);
    let records = usable.map(|entry| (*entry.record).clone()).collect();
    Arc::new(TargetView::build(records))
}

/// The views of all services.
#[derive(Default)]
pub(crate) struct ViewTable {
    views: Mutex<HashMap<ServiceName, Arc<ServiceView>>>,
    changes: watch::Sender<u64>,
}

impl ViewTable {
    /// Returns the view of a service, if there is one.
    pub(crate) fn get(&self, service: &ServiceName) -> Option<Arc<ServiceView>> {
        lock(&self.views).get(service).cloned()
    }

    /// Returns a receiver that is notified when any view changes; its value counts the changes.
    pub(crate) fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Rebuilds the views of the services whose targets or remote data centres changed.
    fn update(&self, fleet: &FleetState, own: &CentreName, services: &[Arc<ServiceConfig>]) {
        let table = fleet.targets();
        let known = lock(&self.views).clone();
        let mut views = HashMap::with_capacity(services.len());
        let mut changed = known.len() != services.len();
        for service_config in services {
            let entries = table.of_service(&service_config.name);
            let unchanged = known
                .get(&service_config.name)
                .filter(|view| view.is_built_from(entries));
            let local =
                unchanged.map_or_else(|| local_view(entries), |view| Arc::clone(&view.local));
            let remote_centres = find_remote_centres(fleet, own, &service_config.name);
            let view = match unchanged {
                Some(view) if view.remote_centres == remote_centres => Arc::clone(view),
                _ => {
                    changed = true;
                    Arc::new(ServiceView::build(entries, local, remote_centres))
                }
            };
            views.insert(service_config.name.clone(), view);
        }
        if changed {
            *lock(&self.views) = views;
            self.changes.send_modify(|count| *count += 1);
        }
    }
}

/// Updates views and pools to match the targets that the fleet state knows.
pub(crate) fn sync_targets(node: &NodeState) {
    let config = node.config.current();
    let service_configs: Vec<_> = config.services.values().cloned().collect();
    let now = node.timer.now();
    // Updates run one at a time, so that an older table never replaces a newer one.
    let _guard = lock(&node.sync_lock);
    let (table, shares) = {
        let fleet = lock(&node.fleet);
        let table = fleet.targets();
        let shares = broker_shares(&fleet, &table, &service_configs, now);
        node.views
            .update(&fleet, &node.settings.centre, &service_configs);
        (table, shares)
    };
    let usable = table.iter().filter(|entry| entry.usable).count();
    node.metrics.targets.set(usable as u64);
    if node.lifecycle.phase() == LifecyclePhase::Draining {
        // While draining, pools are only closed.
        return;
    }
    let kept: HashSet<_> = shares.iter().map(BrokeredTarget::pool_key).collect();
    node.pools.retain(&kept);
    for brokered in shares {
        let record = &brokered.entry.record;
        node.pools.set_share(
            &record.service,
            &record.name,
            record.address,
            brokered.share,
        );
    }
}

/// A target that this VM is a broker of.
struct BrokeredTarget {
    entry: TargetEntry,
    share: TargetShare,
}

impl BrokeredTarget {
    fn pool_key(&self) -> (ServiceName, TargetName) {
        let record = &self.entry.record;
        (record.service.clone(), record.name.clone())
    }
}

fn broker_shares(
    fleet: &FleetState,
    table: &TargetTable,
    service_configs: &[Arc<ServiceConfig>],
    now: MonoTime,
) -> Vec<BrokeredTarget> {
    let mut shares = Vec::new();
    for service_config in service_configs {
        let limits = TargetLimits {
            connections: service_config.connections,
            slots: service_config.slots,
        };
        for entry in table.of_service(&service_config.name) {
            if !entry.usable {
                continue;
            }
            let key = TargetKey {
                service: service_config.name.clone(),
                name: entry.record.name.clone(),
            };
            if let Some(share) = fleet.broker_share(&key, limits, now) {
                shares.push(BrokeredTarget {
                    entry: entry.clone(),
                    share: TargetShare {
                        connections: share.connections,
                        concurrency: share.concurrency,
                    },
                });
            }
        }
    }
    shares
}
