//! The state of an entry VM, and how replies of keepers change it.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::{
        Arc, Mutex, OnceLock,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering::Relaxed},
    },
    time::Duration,
};

use fulmarweir_base::{MonoTime, TimerService, lock};
use fulmarweir_bounds::MemoryBudget;
use fulmarweir_conf::{RelaySettings, RouteKey, RouteRule, RouteTable};
use fulmarweir_fleet::{ConfigAssurance, MergedRegistry, TargetAnnouncement};
use fulmarweir_pool::RelayPool;
use fulmarweir_route::{
    BrokerEndpoint, BrokerSelector, LatencyTable, LinkState, Locality, PlacementRule, RelayTarget,
    ShardGroup, StopPlan, TargetSelector,
};
use fulmarweir_wire::PeerVersion;
use slog::{Logger, info, warn};
use tokio::sync::{Notify, watch};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use super::{
    adapter::ProtocolAdapter,
    broker_directory::BrokerDirectory,
    budget_log::BudgetLog,
    cold_targets::record_warm_ups,
    evacuations::EvacuationView,
    keeper_poll::{ConfigFetch, KeeperDirectory, RelayPeers},
    limit_log::LimitLog,
    metrics::{RelayMetrics, set_count},
    overload::LoopLag,
    quota::QuotaStage,
    rate_permits::RatePermits,
    request_log::RequestLog,
    rest_table::RestTable,
    target_notices::apply_limit_report,
    vm_message::PollReply,
};

/// Memory of the bodies of all requests, in bytes.
const REQUESTS_MAX_BYTES: usize = 16 * 1024 * 1024;
/// The same if the configuration allows bodies that would not fit twice.
const REQUESTS_CEILING_BYTES: usize = 48 * 1024 * 1024;
/// Largest body that may use all of it, in bytes; larger ones leave a part free.
const SMALL_BODY_BYTES: usize = 16 * 1024;

/// How long a keeper's count of entry VMs is used, in milliseconds.
const ENTRY_COUNT_TTL_MS: u64 = 6_000;
/// Time without an answer of any keeper after which `keepers-lost` is logged, in milliseconds.
const KEEPERS_LOST_MS: u64 = 3_000;

/// Time after the start of the process in which requests may wait for the first reply of a
/// keeper, in milliseconds.
const STARTUP_PERIOD_MS: u64 = 3_000;
/// Longest time that a request waits for the first reply of a keeper, in milliseconds.
const STARTUP_WAIT_MAX_MS: u64 = 500;

/// A route of one version of the configuration, and the home regions of those of its requests that are
/// handed over alike.
#[derive(Debug, Eq, Hash, PartialEq)]
struct GroupsKey {
    config_version: u64,
    route: RouteKey,
    placement: PlacementRule,
}

/// The number of entry VMs that poll a keeper.
#[derive(Clone, Copy, Debug)]
struct EntryCount {
    count: u32,
    heard_at: MonoTime,
}

/// Counts a request as in flight until dropped.
pub(crate) struct InFlightGuard<'a>(&'a AtomicU64);

impl<'a> InFlightGuard<'a> {
    fn new(in_flight: &'a AtomicU64) -> Self {
        in_flight.fetch_add(1, Relaxed);
        Self(in_flight)
    }
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Relaxed);
    }
}

/// The shared state of an entry VM.
pub(crate) struct EntryNode {
    pub(crate) settings: RelaySettings,
    pub(crate) adapter: ProtocolAdapter,
    pub(crate) log: Logger,
    pub(crate) timer: TimerService,
    pub(crate) metrics: RelayMetrics,
    pub(crate) request_log: RequestLog,
    pub(crate) pool: RelayPool,
    pub(crate) selector: Mutex<TargetSelector>,
    pub(crate) latency_table: Mutex<LatencyTable>,
    pub(crate) lag: Mutex<LoopLag>,
    pub(crate) directory: KeeperDirectory,
    pub(crate) peers: RelayPeers,
    pub(crate) brokers: Mutex<BrokerSelector>,
    pub(crate) rests: RestTable,
    pub(crate) evacuations: EvacuationView,
    /// Attempts that continue after their request was answered, and probes of brokers.
    pub(crate) detached_tasks: TaskTracker,
    pub(crate) in_flight: AtomicU64,
    /// Memory of the bodies of requests.
    pub(crate) request_memory: MemoryBudget,
    table: Mutex<Option<Arc<RouteTable>>>,
    config_assurance: Mutex<ConfigAssurance>,
    broker_directory: Mutex<BrokerDirectory>,
    /// Shards of each route in force that may be handed over to brokers, computed on its first search within
    /// each set of home regions.
    shard_groups: Mutex<HashMap<GroupsKey, Arc<[ShardGroup]>>>,
    merged_registry: Mutex<MergedRegistry>,
    entry_counts: Mutex<HashMap<SocketAddr, EntryCount>>,
    entry_vm_count: AtomicU32,
    /// The phases of a planned stop, once one was requested.
    stop_plan: OnceLock<StopPlan>,
    /// Cancelled when requests in flight must be answered, as the process is about to exit.
    pub(crate) exiting: CancellationToken,
    keepers_lost: AtomicBool,
    /// Whether a keeper that knows all targets has told them.
    knows_targets: AtomicBool,
    budget_log: Mutex<BudgetLog>,
    limit_log: Mutex<LimitLog>,
    /// Revision of the limits that each keeper has told.
    limits_revisions: Mutex<HashMap<SocketAddr, u64>>,
    /// Revision of the quarantine that each keeper has told.
    pub(super) quarantine_revisions: Mutex<HashMap<SocketAddr, u64>>,
    /// Addresses of targets that are probed a second time.
    pub(crate) probed_again: Mutex<HashSet<SocketAddr>>,
    /// Wakes the task that asks keepers for permits.
    pub(crate) permits_wanted: Arc<Notify>,
    pub(crate) quota: QuotaStage,
    /// Permits for rates over all VMs.
    pub(crate) rates: RatePermits,
    /// Wakes the task that tells keepers of lost requests.
    pub(crate) crash_news: Notify,
    /// Counts the losses of the links to targets, to tell the requests in flight.
    pub(crate) link_losses: watch::Sender<u64>,
    /// When keepers were last asked for VMs that may help this one.
    pub(crate) helpers_asked_at: Mutex<Option<MonoTime>>,
    logged_target_count: AtomicU64,
    started_at: MonoTime,
    /// Wakes requests that wait during startup when targets or the configuration change.
    state_changed: Notify,
}

impl EntryNode {
    pub(crate) fn new(
        settings: RelaySettings,
        adapter: ProtocolAdapter,
        log: Logger,
        timer: TimerService,
        peers: RelayPeers,
    ) -> Arc<Self> {
        let directory = KeeperDirectory::new(&settings.seeds);
        let started_at = timer.now();
        // By then, no extra attempt of an earlier process of this VM is in the window.
        let burst_from = started_at + settings.extra_attempts.window;
        let permits_wanted = Arc::new(Notify::new());
        Arc::new(Self {
            adapter,
            request_log: RequestLog::new(log.clone()),
            metrics: RelayMetrics::new(),
            pool: RelayPool::new(timer.clone()).connecting_from(settings.connect_from),
            selector: Mutex::new(TargetSelector::new(settings.extra_attempts, burst_from)),
            latency_table: Mutex::default(),
            lag: Mutex::default(),
            directory,
            peers,
            brokers: Mutex::default(),
            rests: RestTable::default(),
            evacuations: EvacuationView::default(),
            detached_tasks: TaskTracker::new(),
            in_flight: AtomicU64::new(0),
            request_memory: MemoryBudget::new(REQUESTS_MAX_BYTES, SMALL_BODY_BYTES),
            table: Mutex::default(),
            config_assurance: Mutex::default(),
            broker_directory: Mutex::default(),
            shard_groups: Mutex::default(),
            merged_registry: Mutex::default(),
            entry_counts: Mutex::default(),
            entry_vm_count: AtomicU32::new(1),
            stop_plan: OnceLock::new(),
            exiting: CancellationToken::new(),
            keepers_lost: AtomicBool::new(false),
            knows_targets: AtomicBool::new(false),
            budget_log: Mutex::default(),
            limit_log: Mutex::default(),
            limits_revisions: Mutex::default(),
            quarantine_revisions: Mutex::default(),
            probed_again: Mutex::default(),
            quota: QuotaStage::default(),
            rates: RatePermits::new(timer.clone(), Arc::clone(&permits_wanted)),
            permits_wanted,
            crash_news: Notify::new(),
            link_losses: watch::Sender::new(0),
            helpers_asked_at: Mutex::default(),
            logged_target_count: AtomicU64::new(0),
            started_at,
            state_changed: Notify::new(),
            settings,
            log,
            timer,
        })
    }

    /// Counts a request as in flight until the returned guard is dropped.
    pub(crate) fn track_request(&self) -> InFlightGuard<'_> {
        InFlightGuard::new(&self.in_flight)
    }

    /// Returns the time since the start of the process.
    pub(crate) fn up_time(&self) -> Duration {
        self.timer.now().since(self.started_at)
    }

    /// Returns the route table in force.
    pub(crate) fn table(&self) -> Option<Arc<RouteTable>> {
        lock(&self.table).clone()
    }

    /// Waits until `condition` holds, up to `timeout` and only during startup.
    ///
    /// Load pattern: all VMs restart at once, and requests arrive before the first reply of a
    /// keeper. A short wait costs callers less than a rejected request.
    pub(crate) async fn wait_during_startup(
        &self,
        timeout: Duration,
        condition: impl Fn(&Self) -> bool,
    ) {
        let now = self.timer.now();
        let startup_end = self.started_at + Duration::from_millis(STARTUP_PERIOD_MS);
        let deadline =
            startup_end.min(now + timeout.min(Duration::from_millis(STARTUP_WAIT_MAX_MS)));
        loop {
            let state_changed = self.state_changed.notified();
            if condition(self) || self.timer.now() >= deadline {
                return;
            }
            tokio::select! {
                () = state_changed => {}
                () = self.timer.sleep_until(deadline) => {}
            }
        }
    }

    /// Whether the load balancer may send requests to this VM.
    ///
    /// A VM that has lost its links to targets serves its callers through others, as long as it knows
    /// one.
    pub(crate) fn is_ready(&self) -> bool {
        let links = lock(&self.selector).links().state();
        let can_serve = match links {
            LinkState::Up | LinkState::Suspected => true,
            LinkState::Lost => lock(&self.brokers).usable_count(self.timer.now()) > 0,
            LinkState::TargetsDown => false,
        };
        can_serve && !self.is_stopping() && self.table().is_some() && self.metrics.targets.get() > 0
    }

    /// Whether this VM runs searches for others.
    pub(crate) fn accepts_handovers(&self) -> bool {
        let in_flight = self.in_flight.load(Relaxed);
        let are_unusable = lock(&self.selector).links().are_unusable();
        !are_unusable && self.is_ready() && lock(&self.lag).accepts_handovers(in_flight)
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.stop_plan.get().is_some()
    }

    /// Makes the readiness check fail and closes connections of callers after their next response.
    /// Returns the phases of the stop.
    pub(crate) fn begin_shutdown(&self) -> StopPlan {
        let grace = self.settings.bounds.stop_grace;
        *self
            .stop_plan
            .get_or_init(|| StopPlan::new(self.timer.now(), grace))
    }

    /// Whether a request that arrives now and ends at `deadline` is taken, as far as a planned stop
    /// allows it.
    pub(crate) fn stop_admits(&self, deadline: MonoTime) -> bool {
        let plan = self.stop_plan.get();
        plan.is_none_or(|plan| plan.admits(self.timer.now(), deadline))
    }

    /// Returns this VM's position in the registry of a keeper.
    pub(crate) fn cursor(&self, keeper: SocketAddr) -> Option<fulmarweir_fleet::RegistryCursor> {
        lock(&self.merged_registry).cursor(keeper)
    }

    /// Applies a keeper's changes of targets, brokers and the number of entry VMs.
    pub(crate) fn apply_poll_reply(&self, keeper: SocketAddr, reply: &PollReply) {
        let now = self.timer.now();
        let settled = reply.delta.as_ref().is_some_and(|delta| delta.settled);
        lock(&self.config_assurance).record(reply.held_version(), now);
        let mut changed = false;
        // Before the targets, so that none of an evacuated data centre is in use for a moment.
        if let Some(evacuations) = &reply.evacuations {
            self.apply_evacuations(keeper, evacuations);
        }
        if let Some(delta) = &reply.delta {
            record_warm_ups(self, keeper, &delta.announcements);
            // Until the next tick, targets would count as cold.
            lock(&self.selector).set_keepers_lost(false);
            changed = lock(&self.merged_registry).apply_delta(keeper, delta.clone(), now);
        }
        let brokers = lock(&self.broker_directory).update(keeper, reply.brokers.as_deref(), now);
        if let Some(brokers) = brokers {
            info!(self.log, "brokers-changed"; "brokers" => brokers.len(), "source" => %keeper);
            lock(&self.brokers).sync(&brokers, now);
        }
        changed |= self.record_entry_count(keeper, reply.entries, settled, now);
        lock(&self.limits_revisions).insert(keeper, reply.limits_revision);
        for report in reply.limits.iter().flatten() {
            apply_limit_report(self, keeper, report);
        }
        self.apply_quarantine(keeper, &reply.quarantine);
        if changed {
            self.sync_targets();
        }
        if settled && !self.knows_targets.swap(true, Relaxed) {
            self.state_changed.notify_waiters();
        }
    }

    /// Whether a keeper that knows all targets has told them since the start.
    pub(crate) fn knows_targets(&self) -> bool {
        self.knows_targets.load(Relaxed)
    }

    /// Waits until the links to targets are lost while `is_sent` is false. Does not return otherwise.
    pub(crate) async fn links_lost_unless(&self, is_sent: &AtomicBool) {
        let mut link_losses = self.link_losses.subscribe();
        while link_losses.changed().await.is_ok() {
            if !is_sent.load(Relaxed) {
                return;
            }
        }
    }

    /// Returns the revision of the limits that a keeper has told, 0 for none.
    pub(crate) fn limits_revision(&self, keeper: SocketAddr) -> u64 {
        let revisions = lock(&self.limits_revisions);
        revisions.get(&keeper).copied().unwrap_or_default()
    }

    /// Changes the state of the targets, and has keepers asked for permits and told of lost requests if
    /// that is needed.
    pub(crate) fn with_selector<R>(&self, change: impl FnOnce(&mut TargetSelector) -> R) -> R {
        let mut selector = lock(&self.selector);
        let result = change(&mut selector);
        let wants_permits = selector.take_permit_urgency();
        let has_news = selector.take_crash_urgency();
        drop(selector);
        if wants_permits {
            self.permits_wanted.notify_one();
        }
        if has_news {
            self.crash_news.notify_one();
        }
        result
    }

    /// Returns the digest of the brokers that a keeper listed, or `None` if the keeper is not to
    /// list them: its data centre is unknown, or it is in another region while a keeper in this
    /// region is alive.
    ///
    /// Brokers are in this region, so keepers in this region know them best.
    pub(crate) fn brokers_digest(&self, keeper: SocketAddr) -> Option<u64> {
        let own = self.settings.region_of(&self.settings.centre);
        let is_near = |centre: &str| self.settings.region_of(centre) == own;
        let centre = self.directory.centre_of(keeper)?;
        let has_near_keeper = || {
            let alive = self.directory.alive(self.timer.now());
            alive.iter().any(|contact| is_near(&contact.centre))
        };
        if !is_near(&centre) && has_near_keeper() {
            return None;
        }
        Some(lock(&self.broker_directory).digest(keeper))
    }

    /// Returns the groups of shards of a route that are handed over to brokers, for requests that may run
    /// in the regions of `placement`. `shards` are those of the route in `config_version`, which may be older
    /// than the version in force: a request keeps the version that it was admitted with.
    pub(crate) fn shard_groups(
        &self,
        config_version: u64,
        route: &RouteRule,
        placement: &PlacementRule,
        shards: &[Arc<str>],
    ) -> Arc<[ShardGroup]> {
        let now = self.timer.now();
        let key = GroupsKey {
            config_version,
            route: route.key(),
            placement: placement.clone(),
        };
        let mut known_groups = lock(&self.shard_groups);
        if let Some(groups) = known_groups.get(&key) {
            return Arc::clone(groups);
        }
        let groups: Arc<[ShardGroup]> = lock(&self.selector)
            .shard_groups(shards, placement, now)
            .into();
        // The groups of an older version are of use to few requests, and would name data centres of brokers
        // that no search needs any more.
        if self.config_version() == Some(config_version) {
            known_groups.insert(key, Arc::clone(&groups));
        }
        groups
    }

    /// Has the groups of shards of all routes computed anew.
    pub(crate) fn forget_shard_groups(&self) {
        lock(&self.shard_groups).clear();
    }

    /// Whether a request that may run in the regions of `placement` may be sent to another VM.
    pub(crate) fn may_hand_to(&self, placement: &PlacementRule, vm: &BrokerEndpoint) -> bool {
        let region = self.settings.region_of(&vm.centre);
        placement.allows_vm(region, || self.speaks_newest(vm.address))
    }

    /// Whether the VM at `address` is known to speak the newest version of the protocol between VMs.
    pub(crate) fn speaks_newest(&self, address: SocketAddr) -> bool {
        self.peers.version_of(address) == Some(PeerVersion::NEWEST)
    }

    /// Whether a request that may run in the regions of `placement` may run at this VM for another one.
    pub(crate) fn is_within(&self, placement: &PlacementRule) -> bool {
        placement.allows(self.settings.region_of(&self.settings.centre))
    }

    /// Returns the data centres to which shards of any route are handed over.
    pub(crate) fn broker_centres(&self) -> Vec<Arc<str>> {
        let groups = lock(&self.shard_groups);
        let all = groups.values().flat_map(|groups| groups.iter());
        all.map(|group| Arc::clone(&group.centre)).collect()
    }

    /// Records a keeper's count of entry VMs; returns whether the number in use has changed.
    ///
    /// A keeper that has just started counts too few, so only a settled keeper lowers its count.
    fn record_entry_count(
        &self,
        keeper: SocketAddr,
        count: u32,
        settled: bool,
        now: MonoTime,
    ) -> bool {
        let mut counts = lock(&self.entry_counts);
        let latest = EntryCount {
            count,
            heard_at: now,
        };
        let known = counts.entry(keeper).or_insert(latest);
        if settled || count >= known.count {
            *known = latest;
        }
        let ttl = Duration::from_millis(ENTRY_COUNT_TTL_MS);
        let live = counts.values().filter(|c| now.since(c.heard_at) <= ttl);
        let entry_vm_count = live.map(|c| c.count).max().unwrap_or(1).max(1);
        self.metrics.entries.set(entry_vm_count.into());
        lock(&self.selector).record_vm_count(entry_vm_count, now);
        self.entry_vm_count.swap(entry_vm_count, Relaxed) != entry_vm_count
    }

    /// Puts a configuration in force if its version is higher than the current one.
    pub(crate) fn apply_table(&self, table: RouteTable) {
        let version = table.version;
        {
            let mut held = lock(&self.table);
            if held.as_ref().is_some_and(|held| held.version >= version) {
                return;
            }
            let before = held.as_ref().map_or(0, |held| held.version);
            info!(self.log, "config-in-force"; "version" => version, "before" => before,
                "routes" => table.routes().count());
            let routes: HashSet<RouteKey> = table.routes().map(|rule| rule.key()).collect();
            lock(&self.latency_table).retain(|route| routes.contains(route));
            let body_max = table.limits.body_max_bytes;
            let memory = &self.request_memory;
            memory.make_room_for(body_max, REQUESTS_CEILING_BYTES);
            *held = Some(Arc::new(table));
        }
        self.metrics.config_version.set(version);
        self.sync_targets();
        // The configuration may be the first with rates that hold for all VMs.
        self.permits_wanted.notify_one();
    }

    /// Decides whether to fetch a keeper's configuration, given its version.
    pub(crate) fn config_fetch(&self, keeper: SocketAddr, version: Option<u64>) -> ConfigFetch {
        let held = self.config_version();
        if version <= held {
            return ConfigFetch::No;
        }
        let region = |centre: &str| self.settings.region_of(centre).to_owned();
        let own = region(&self.settings.centre);
        let centre = self.directory.centre_of(keeper);
        let is_near = centre.is_some_and(|centre| region(&centre) == own);
        // Without a configuration this VM rejects all requests, so it does not wait.
        if is_near || held.is_none() {
            ConfigFetch::Now
        } else {
            ConfigFetch::Later
        }
    }

    /// Whether a table with this version is the one in force, as far as this VM can know.
    pub(crate) fn is_sure_of(&self, version: u64) -> bool {
        lock(&self.config_assurance).is_sure_of(version, self.timer.now())
    }

    /// Returns the configuration version in force, `None` if there is none.
    pub(crate) fn config_version(&self) -> Option<u64> {
        self.table().map(|table| table.version)
    }

    /// Periodic work: removes silent keepers, closes unusable connections and updates gauges.
    pub(crate) fn tick(&self) {
        let now = self.timer.now();
        let dropped = lock(&self.merged_registry).remove_silent_keepers(now);
        if dropped {
            self.sync_targets();
        }
        self.update_keeper_count(now);
        self.log_target_count();
        self.log_empty_budgets(now);
        self.log_limited_loads(now);
        self.quota.tick(&self.log, now);
        let blocked = {
            let mut selector = lock(&self.selector);
            selector.remove_expired_crashes(now);
            selector.blocked_count(now)
        };
        set_count(&self.metrics.requests_blocked, blocked);
        self.pool.close_expired();
        set_count(&self.metrics.connections_idle, self.pool.idle_count());
        self.metrics
            .connections_opened
            .set(self.pool.opened_count());
        self.metrics.requests_open.set(self.in_flight.load(Relaxed));
        let brokers = lock(&self.brokers).usable_count(now);
        set_count(&self.metrics.brokers, brokers);
    }

    fn update_keeper_count(&self, now: MonoTime) {
        let silence = Duration::from_millis(KEEPERS_LOST_MS);
        let heard = lock(&self.merged_registry).keepers_heard_within(silence, now);
        set_count(&self.metrics.keepers, heard);
        let lost = heard == 0;
        lock(&self.selector).set_keepers_lost(lost);
        if self.keepers_lost.swap(lost, Relaxed) == lost {
            return;
        }
        if lost {
            warn!(self.log, "keepers-lost"; "silence_ms" => silence.as_millis(),
                "config_version" => self.config_version().unwrap_or_default());
        } else {
            info!(self.log, "keepers-regained"; "keepers" => heard);
        }
    }

    fn sync_targets(&self) {
        let serving = lock(&self.merged_registry).serving();
        let table = self.table();
        let count = serving.len();
        let version = table.as_ref().map_or(0, |table| table.version);
        let cold_rate = |announcement: &TargetAnnouncement| {
            let rule = table.as_ref()?.warm_up(&announcement.service)?;
            Some((Arc::clone(&announcement.service), rule.per_second))
        };
        let cold_rates: HashMap<Arc<str>, f64> = serving.iter().filter_map(cold_rate).collect();
        let targets = serving
            .into_iter()
            .map(|announcement| self.relay_target(announcement))
            .collect();
        let limit = |service: &str| table.as_ref()?.connections_max(service);
        self.with_selector(|selector| {
            selector.set_cold_rates(version, cold_rates);
            selector.sync(targets, limit, self.timer.now());
        });
        self.forget_shard_groups();
        set_count(&self.metrics.targets, count);
        self.state_changed.notify_waiters();
    }

    /// Logs the number of targets if it has changed since the last tick. Single changes are not
    /// logged, as there can be many.
    fn log_target_count(&self) {
        let count = self.metrics.targets.get();
        let before = self.logged_target_count.swap(count, Relaxed);
        if before != count {
            info!(self.log, "targets-changed"; "targets" => count, "before" => before,
                "vms" => self.entry_vm_count.load(Relaxed));
        }
    }

    fn log_empty_budgets(&self, now: MonoTime) {
        let budgets = lock(&self.selector).denying_budgets(now);
        lock(&self.budget_log).write(&self.log, budgets, now);
    }

    fn log_limited_loads(&self, now: MonoTime) {
        let mut limit_log = lock(&self.limit_log);
        if limit_log.is_due(now) {
            let loads = lock(&self.selector).take_limited_loads(now);
            limit_log.write(&self.log, loads, now);
        }
    }

    /// Returns how far a data centre is from this VM.
    pub(crate) fn locality_of(&self, centre: &str) -> Locality {
        let own = &self.settings.centre;
        if *centre == **own {
            Locality::Centre
        } else if self.settings.region_of(centre) == self.settings.region_of(own) {
            Locality::Region
        } else {
            Locality::Far
        }
    }

    fn relay_target(&self, announcement: TargetAnnouncement) -> RelayTarget {
        let locality = self.locality_of(&announcement.centre);
        let region = self.settings.region_of(&announcement.centre).into();
        RelayTarget {
            id: announcement.id,
            service: announcement.service,
            address: announcement.address,
            centre: announcement.centre,
            region,
            locality,
            slots: announcement.slots,
            born_ms: announcement.born_ms,
            warm_up_ms: announcement.warm_up_ms,
        }
    }
}
