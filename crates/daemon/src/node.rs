//! What lives as long as the process and is shared by all its parts.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering::Relaxed},
};

use fulmarweir_base::TimerService;
use fulmarweir_conf::{ConfigVersion, VmSettings};
use fulmarweir_pool::LinkTable;
use slog::Logger;
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::{
    config_keeper::ConfigKeeper, lifecycle::LifeCycle, metrics::MetricSet, registry::TargetRegistry,
};

/// The shared state of one daemon.
pub(crate) struct NodeState {
    pub(crate) settings: VmSettings,
    pub(crate) incarnation: u64,
    pub(crate) log: Logger,
    pub(crate) timer: TimerService,
    pub(crate) metrics: MetricSet,
    pub(crate) life: LifeCycle,
    pub(crate) config: ConfigKeeper,
    pub(crate) registry: TargetRegistry,
    pub(crate) links: LinkTable,
    /// Work that outlives its request, such as acts whose caller has left.
    pub(crate) tasks: TaskTracker,
    /// Ends everything at once.
    pub(crate) halt: CancellationToken,
    next_request: AtomicU64,
}

impl NodeState {
    pub(crate) fn new(settings: VmSettings, log: Logger, timer: TimerService) -> Arc<Self> {
        let links = LinkTable::new(timer.clone());
        Arc::new(Self {
            settings,
            incarnation: rand::random(),
            log,
            timer,
            metrics: MetricSet::new(),
            life: LifeCycle::new(),
            config: ConfigKeeper::new(ConfigVersion::empty()),
            registry: TargetRegistry::default(),
            links,
            tasks: TaskTracker::new(),
            halt: CancellationToken::new(),
            next_request: AtomicU64::new(0),
        })
    }

    /// A request id that no other VM or incarnation gives.
    pub(crate) fn new_request_id(&self) -> Arc<str> {
        let number = self.next_request.fetch_add(1, Relaxed);
        let vm = &self.settings.name;
        let incarnation = self.incarnation;
        format!("{vm}-{incarnation:x}-{number:x}").into()
    }
}
