//! State that all tasks of the daemon share for the lifetime of the process.

use std::{
    net::SocketAddr,
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering::Relaxed},
    },
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use error_stack::ResultExt;
use fulmarweir_base::TimerService;
use fulmarweir_bounds::MemoryBudget;
use fulmarweir_conf::{PolicySwitches, VmSettings};
use fulmarweir_fleet::{ConfigStamp, FleetSettings, FleetState, VmIdentity};
use fulmarweir_pool::PoolTable;
use fulmarweir_quorum::{
    ClientSettings, QuorumClient, VoterService, VoterSet, VoterSettings, VoterTransport,
};
use fulmarweir_route::{PolicySettings, ReplicaPolicy, RetryPolicy};
use fulmarweir_wire::{PeerClient, TrafficClass, TrafficMeter};
use futures::FutureExt;
use slog::Logger;
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::{
    active_config::ActiveConfig,
    admission::AdmissionTable,
    config_store::ConfigStore,
    error::{DaemonError, Result},
    lifecycle::Lifecycle,
    metrics::MetricSet,
    peer_message::{PeerReply, PeerRequest},
    views::ViewTable,
};

const VOTER_FOLDER: &str = "voter";
/// Memory of the bodies of all requests, in bytes; more if that is less than two of the largest ones.
const REQUESTS_MAX_BYTES: usize = 32 * 1024 * 1024;
/// Largest body that may use all of it, in bytes; larger ones leave a part free.
const SMALL_BODY_BYTES: usize = 16 * 1024;
/// Memory of all answers that were not written yet, in bytes.
const ANSWERS_MAX_BYTES: usize = 16 * 1024 * 1024;
/// Timeout of a call to a voter over the network, in milliseconds.
const VOTER_TIMEOUT_MS: u64 = 1000;

/// Client for calls to other daemons.
pub(crate) type DaemonPeers = PeerClient<PeerRequest, PeerReply>;

/// The shared state of one daemon.
pub(crate) struct NodeState {
    pub(crate) settings: VmSettings,
    /// Identifies this start of the process; a later start has a higher value.
    pub(crate) incarnation: u64,
    pub(crate) log: Logger,
    pub(crate) timer: TimerService,
    pub(crate) metrics: MetricSet,
    pub(crate) meter: Arc<TrafficMeter>,
    pub(crate) lifecycle: Lifecycle,
    /// Cancelled when requests in flight must be answered, as the process is about to exit.
    pub(crate) exiting: CancellationToken,
    pub(crate) config: ActiveConfig,
    pub(crate) config_store: ConfigStore,
    pub(crate) fleet: Mutex<FleetState>,
    pub(crate) views: ViewTable,
    /// Serializes the updates of views and pools.
    pub(crate) sync_lock: Mutex<()>,
    pub(crate) pools: PoolTable,
    pub(crate) admission_queues: AdmissionTable,
    /// Memory of the bodies of requests.
    pub(crate) request_memory: MemoryBudget,
    /// Memory of answers that were not written yet.
    pub(crate) answer_memory: MemoryBudget,
    /// What reads the rest of refused bodies.
    pub(crate) body_tasks: TaskTracker,
    pub(crate) peers: DaemonPeers,
    pub(crate) quorum: QuorumClient,
    /// The voter of this VM, if it has a data folder.
    pub(crate) voter: Option<Arc<VoterService>>,
    /// Running acts and the releases of their claims, which continue if the caller disconnects.
    pub(crate) act_tasks: TaskTracker,
    /// Outgoing fleet messages and fetches of configurations.
    pub(crate) fleet_tasks: TaskTracker,
    /// Cancels the background tasks at once.
    pub(crate) halt: CancellationToken,
    next_number: AtomicU64,
}

impl NodeState {
    pub(crate) fn new(settings: VmSettings, log: Logger, timer: TimerService) -> Result<Arc<Self>> {
        let incarnation = new_incarnation();
        let folder = settings.data_folder.as_deref();
        let (config_store, config) = ConfigStore::open(folder, incarnation, log.clone())?;
        let first_set = first_voters(&settings);
        let voter = open_voter(folder, &settings, &first_set, &timer, &log)?;
        let meter = Arc::new(TrafficMeter::default());
        let peers = PeerClient::new(Arc::clone(&meter));
        let transport = voter_transport(peers.clone(), voter.clone(), &settings);
        let quorum = QuorumClient::new(ClientSettings::new(first_set), transport, timer.clone());
        let stamp = ConfigStamp::of(config.version, &config.text);
        let fleet = FleetState::new(
            identity(&settings, incarnation),
            fleet_settings(&settings),
            stamp,
            rand::random(),
            timer.now(),
        );
        Ok(Arc::new(Self {
            incarnation,
            metrics: MetricSet::new(),
            meter,
            lifecycle: Lifecycle::new(),
            exiting: CancellationToken::new(),
            config: ActiveConfig::new(config),
            config_store,
            fleet: Mutex::new(fleet),
            views: ViewTable::default(),
            sync_lock: Mutex::default(),
            pools: PoolTable::new(timer.clone()),
            admission_queues: AdmissionTable::new(route_policy(&settings.policy)),
            request_memory: MemoryBudget::new(REQUESTS_MAX_BYTES, SMALL_BODY_BYTES),
            answer_memory: MemoryBudget::new(ANSWERS_MAX_BYTES, 0),
            body_tasks: TaskTracker::new(),
            peers,
            quorum,
            voter,
            act_tasks: TaskTracker::new(),
            fleet_tasks: TaskTracker::new(),
            halt: CancellationToken::new(),
            next_number: AtomicU64::new(0),
            settings,
            log,
            timer,
        }))
    }

    /// Returns a number that is unique within this incarnation.
    pub(crate) fn new_number(&self) -> u64 {
        self.next_number.fetch_add(1, Relaxed)
    }

    /// Returns a request id that is unique across VMs and incarnations.
    pub(crate) fn new_request_id(&self) -> Arc<str> {
        self.unique_id("r")
    }

    /// Returns an attempt id that is unique across VMs and incarnations.
    pub(crate) fn new_attempt_id(&self) -> Arc<str> {
        self.unique_id("a")
    }

    fn unique_id(&self, prefix: &str) -> Arc<str> {
        let number = self.new_number();
        let vm = &self.settings.name;
        let incarnation = self.incarnation;
        format!("{prefix}-{vm}-{incarnation:x}-{number:x}").into()
    }
}

/// Returns the wall-clock time in microseconds, so that later starts have higher incarnations.
/// Nothing else depends on the wall clock.
fn new_incarnation() -> u64 {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(now.as_micros()).unwrap_or(u64::MAX)
}

fn identity(settings: &VmSettings, incarnation: u64) -> VmIdentity {
    VmIdentity {
        name: settings.name.clone(),
        centre: settings.centre.clone(),
        region: settings.region.clone(),
        boot: incarnation,
        peers: settings.peer_address(),
        targets: announce_address(settings),
    }
}

/// Returns the address that targets announce to. Targets cannot connect to a wildcard address, so
/// the IP of the peer address replaces it.
fn announce_address(settings: &VmSettings) -> SocketAddr {
    let listen = settings.listen.targets;
    if listen.ip().is_unspecified() {
        return SocketAddr::new(settings.peer_address().ip(), listen.port());
    }
    listen
}

fn fleet_settings(settings: &VmSettings) -> FleetSettings {
    let own = settings.peer_address();
    let seeds = settings.peers.seeds.iter().copied();
    let mut fleet = FleetSettings {
        seeds: seeds.filter(|seed| *seed != own).collect(),
        ..FleetSettings::default()
    };
    if let Some(most) = settings.policy.brokers_max {
        fleet.brokers_max = most;
    }
    fleet
}

fn route_policy(switches: &PolicySwitches) -> PolicySettings {
    let mut policy = PolicySettings {
        hedge: switches.hedge,
        ..PolicySettings::default()
    };
    if switches.naive_retry {
        policy.retry = RetryPolicy::Naive;
    }
    if switches.random_replica {
        policy.replica = ReplicaPolicy::Random;
    }
    policy
}

/// Returns the voters of the settings. If none are listed, a VM with a data folder is its own only
/// voter.
fn first_voters(settings: &VmSettings) -> VoterSet {
    let listed = settings.peers.voters.iter();
    let listed: Vec<_> = listed
        .map(|voter| (voter.name.clone(), voter.address))
        .collect();
    if !listed.is_empty() || settings.data_folder.is_none() {
        return VoterSet::from_settings(listed);
    }
    VoterSet::from_settings([(settings.name.clone(), settings.peer_address())])
}

fn open_voter(
    folder: Option<&Path>,
    settings: &VmSettings,
    first_set: &VoterSet,
    timer: &TimerService,
    log: &Logger,
) -> Result<Option<Arc<VoterService>>> {
    let Some(folder) = folder else {
        return Ok(None);
    };
    let folder = folder.join(VOTER_FOLDER);
    let voter = VoterSettings::new(settings.name.clone(), &folder, first_set.clone());
    let voter = VoterService::open(voter, timer.clone(), log.clone())
        .change_context(DaemonError::Storage)?;
    Ok(Some(voter))
}

/// Returns a transport that calls this VM's own voter within the process, and others over the
/// network.
fn voter_transport(
    peers: DaemonPeers,
    voter: Option<Arc<VoterService>>,
    settings: &VmSettings,
) -> VoterTransport {
    let own = settings.peer_address();
    Arc::new(move |member, request| {
        let peers = peers.clone();
        let voter = voter.clone().filter(|_| member.address == own);
        async move {
            if let Some(voter) = voter {
                return Some(voter.handle(request).await);
            }
            let request = PeerRequest::Voter(Box::new(request));
            let timeout = Duration::from_millis(VOTER_TIMEOUT_MS);
            let reply = peers
                .call(member.address, TrafficClass::Control, &request, timeout)
                .await;
            match reply {
                Ok(PeerReply::Voter(reply)) => reply.map(|reply| *reply),
                _ => None,
            }
        }
        .boxed()
    })
}
