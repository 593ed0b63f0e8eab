//! Starts, signals and stops the processes of the tier, each with its own loopback address.

use std::{
    fs,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::Stdio,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use fulmarweir_base::lock;
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use rustix::process::{Pid, Signal, kill_process};
use tokio::{
    process::{Child, Command},
    time::{sleep, timeout},
};
use tokio_util::task::TaskTracker;

use crate::{
    SoakSettings,
    proxy::{LinkMode, LinkProxy, ProxyListeners, VmCuts},
    targets::host_count,
};

pub(crate) const KEEPERS: u8 = 3;
const CALLERS_PORT: u16 = 7_801;
const READY_PORT: u16 = 7_802;
const CONTROL_PORT: u16 = 7_803;
const PEERS_PORT: u16 = 7_804;
const TARGET_PORT: u16 = 7_805;
const STOP_GRACE_S: u64 = 4;
/// Number of data centres. The last one has no target, so that its entry VM hands shards over to
/// a VM of another data centre.
const CENTRES: u8 = 3;
/// Time after a kill or pause in which an entry VM may leave requests unanswered.
const DISRUPTION_SPAN: Duration = Duration::from_millis(2_500);
/// Third octet of the addresses on which processes and targets listen.
const PROCESS_OCTET: u8 = 1;
/// Third octet of the addresses of the proxies in front of them.
const PROXY_OCTET: u8 = 2;
/// Third octet of the address that claims a second octet.
const CLAIM_OCTET: u8 = 3;
/// Number of second octets, from 64 on.
const SECOND_OCTETS: u32 = 128;
/// Distinguishes the draws of builds from all others of a seed.
const BUILD_SEED: u64 = 4_700;
/// Last octet of the first target's address.
const FIRST_TARGET_OCTET: u8 = 100;

/// What callers know of a VM.
#[derive(Clone, Debug)]
pub(crate) struct EntryVm {
    pub(crate) name: String,
    pub(crate) caller_address: SocketAddr,
    disrupted_at: Arc<Mutex<Option<Instant>>>,
}

impl EntryVm {
    /// Whether a kill or pause excuses a missing answer to a request sent at `started`.
    pub(crate) fn was_disrupted_since(&self, started: Instant) -> bool {
        lock(&self.disrupted_at).is_some_and(|at| at + DISRUPTION_SPAN >= started)
    }
}

/// One process of the tier and the proxy in front of its address for peers.
pub(crate) struct TierNode {
    pub(crate) name: String,
    pub(crate) is_keeper: bool,
    settings_file: PathBuf,
    data_folder: Option<PathBuf>,
    log_file: PathBuf,
    builds: BuildChoice,
    child: Option<Child>,
    pub(crate) proxy: LinkProxy,
    /// Used by callers only if the node is an entry VM.
    vm: EntryVm,
}

/// Chooses the build of each start of a process.
struct BuildChoice {
    programs: Vec<PathBuf>,
    /// Index of the build of the last start.
    current: Option<usize>,
    replaced: u64,
    /// Draws the builds of one VM, so that the other faults of a seed stay the same.
    generator: Pcg64Mcg,
}

impl BuildChoice {
    fn new(settings: &SoakSettings, number: u8) -> Self {
        let programs = settings.old_program.iter().chain([&settings.program]);
        let seed = settings.seed ^ (BUILD_SEED + u64::from(number));
        Self {
            programs: programs.cloned().collect(),
            current: None,
            replaced: 0,
            generator: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Returns the program of the next start.
    fn next_program(&mut self) -> &Path {
        let next = self.generator.random_range(0..self.programs.len());
        let is_other = self.current.is_some_and(|current| current != next);
        self.replaced += u64::from(is_other);
        self.current = Some(next);
        &self.programs[next]
    }
}

/// All processes of the tier and the links to the targets.
pub(crate) struct Tier {
    /// The keepers, which take the configuration and the announcements of targets, then the entry
    /// VMs, which serve callers.
    pub(crate) nodes: Vec<TierNode>,
    /// The address of each target, the address of the proxy in front of it, and the proxy.
    target_links: Vec<(SocketAddr, SocketAddr, LinkProxy)>,
    /// Cuts between entry VMs and all targets.
    pub(crate) cuts: VmCuts,
    listeners: ProxyListeners,
    folder: PathBuf,
    second_octet: u8,
    /// Held until the run ends, so that no other one on this machine takes the same addresses.
    _claim: TcpListener,
}

impl Tier {
    pub(crate) async fn start(settings: &SoakSettings, tasks: &TaskTracker) -> Self {
        let (second_octet, claim) = claim_second_octet();
        let name = format!("fulmarweir-soak-{}-{}", std::process::id(), settings.seed);
        let folder = std::env::temp_dir().join(name);
        fs::create_dir_all(&folder).expect("the folder of the run can be created");
        let listeners = ProxyListeners::default();
        let mut nodes = Vec::new();
        for number in 0..KEEPERS + settings.entries {
            let node =
                TierNode::prepare(settings, &folder, second_octet, number, &listeners, tasks);
            let node = node.await;
            nodes.push(node);
        }
        let cuts = VmCuts::default();
        let mut target_links = Vec::new();
        for index in 0..host_count() {
            let last_octet = FIRST_TARGET_OCTET + u8::try_from(index).unwrap_or_default();
            let listen = address(second_octet, PROCESS_OCTET, last_octet, TARGET_PORT);
            let advertised = address(second_octet, PROXY_OCTET, last_octet, TARGET_PORT);
            let proxy = LinkProxy::start(advertised, listen, &cuts, &listeners, tasks).await;
            target_links.push((listen, advertised, proxy));
        }
        for node in &mut nodes {
            node.spawn();
        }
        // From here on, every start of a process is a restart.
        sleep(Duration::from_millis(1_500)).await;
        for node in &nodes {
            let text =
                fs::read_to_string(&node.settings_file).expect("the settings file can be read");
            let text = text.replace("first-start = true", "first-start = false");
            fs::write(&node.settings_file, text).expect("the settings file can be written");
        }
        Self {
            nodes,
            target_links,
            cuts,
            listeners,
            folder,
            second_octet,
            _claim: claim,
        }
    }

    pub(crate) fn target_links(&self) -> &[(SocketAddr, SocketAddr, LinkProxy)] {
        &self.target_links
    }

    pub(crate) fn keeper_addresses(&self) -> Vec<SocketAddr> {
        let keepers = 0..KEEPERS;
        keepers
            .map(|number| address(self.second_octet, PROCESS_OCTET, 1 + number, CONTROL_PORT))
            .collect()
    }

    pub(crate) fn entry_vms(&self) -> Vec<EntryVm> {
        let entries = self.nodes.iter().filter(|node| !node.is_keeper);
        entries.map(|node| node.vm.clone()).collect()
    }

    /// Returns how many VMs were replaced by the other build.
    pub(crate) fn replaced_count(&self) -> u64 {
        self.nodes.iter().map(|node| node.builds.replaced).sum()
    }

    /// Undoes all faults: opens every link and makes sure that every process runs.
    pub(crate) async fn undo_faults(&mut self) {
        for (_, _, proxy) in &self.target_links {
            proxy.set(LinkMode::Open);
        }
        self.cuts.clear();
        for node in &mut self.nodes {
            node.proxy.set(LinkMode::Open);
            node.signal(Signal::CONT);
            node.ensure_running().await;
        }
    }

    /// Kills all processes and returns the folder with their logs.
    pub(crate) async fn stop(mut self) -> PathBuf {
        for node in &mut self.nodes {
            node.kill().await;
        }
        self.listeners.close().await;
        self.folder
    }
}

/// Claims a second octet for all addresses of a run.
fn claim_second_octet() -> (u8, TcpListener) {
    let first = std::process::id() % SECOND_OCTETS;
    let octets = (0..SECOND_OCTETS).map(|step| (first + step) % SECOND_OCTETS);
    let mut octets = octets.map(|octet| 64 + u8::try_from(octet).unwrap_or_default());
    let claim = octets.find_map(|octet| {
        let listener = TcpListener::bind(address(octet, CLAIM_OCTET, 1, PEERS_PORT)).ok()?;
        Some((octet, listener))
    });
    claim.expect("a second octet is free")
}

fn address(second_octet: u8, third_octet: u8, last_octet: u8, port: u16) -> SocketAddr {
    SocketAddr::new(
        IpAddr::V4(Ipv4Addr::new(127, second_octet, third_octet, last_octet)),
        port,
    )
}

impl TierNode {
    async fn prepare(
        settings: &SoakSettings,
        folder: &Path,
        second_octet: u8,
        number: u8,
        listeners: &ProxyListeners,
        tasks: &TaskTracker,
    ) -> Self {
        let is_keeper = number < KEEPERS;
        let last_octet = 1 + number;
        let kind = if is_keeper { "keeper" } else { "entry" };
        let name = format!("{kind}-{number}");
        let peers = address(second_octet, PROCESS_OCTET, last_octet, PEERS_PORT);
        let advertised = address(second_octet, PROXY_OCTET, last_octet, PEERS_PORT);
        let proxy = LinkProxy::start(advertised, peers, &VmCuts::default(), listeners, tasks).await;
        let caller_address = address(second_octet, PROCESS_OCTET, last_octet, CALLERS_PORT);
        let data_folder = is_keeper.then(|| folder.join(format!("{name}-data")));
        let settings_file = folder.join(format!("{name}.ini"));
        let seeds: Vec<String> = (0..KEEPERS)
            .map(|keeper| address(second_octet, PROXY_OCTET, 1 + keeper, PEERS_PORT).to_string())
            .collect();
        let data_folder_line = data_folder
            .as_ref()
            .map(|folder| format!("data-folder = {}", folder.display()));
        let listen = if is_keeper {
            format!(
                "control = {}",
                address(second_octet, PROCESS_OCTET, last_octet, CONTROL_PORT)
            )
        } else {
            let ready = address(second_octet, PROCESS_OCTET, last_octet, READY_PORT);
            let own = peers.ip();
            format!("callers = {caller_address}\nready = {ready}\nconnect-from = {own}")
        };
        let text = format!(
            "[vm]\nname = {name}\ndata-centre = centre-{}\nrole = {kind}\n{}\n\
             [listen]\npeers = {peers}\nadvertise-peers = {advertised}\n{listen}\n\
             [peers]\nseeds = {}\nfirst-start = true\nlosses-max = 1\n\
             [bounds]\nannounce-ms = 400\nstop-grace-s = {STOP_GRACE_S}\n\
             [extra]\nshare = 0.3\nburst = 100\n\
             [regions]\ncentre-0 = north\ncentre-1 = south\ncentre-2 = north\n",
            number % CENTRES,
            data_folder_line.unwrap_or_default(),
            seeds.join(", "),
        );
        fs::write(&settings_file, text).expect("the settings file can be written");
        Self {
            vm: EntryVm {
                name: name.clone(),
                caller_address,
                disrupted_at: Arc::default(),
            },
            log_file: folder.join(format!("{name}.log")),
            name,
            is_keeper,
            settings_file,
            data_folder,
            builds: BuildChoice::new(settings, number),
            child: None,
            proxy,
        }
    }

    fn spawn(&mut self) {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log_file);
        let log = log.expect("the log file can be opened");
        let error_log = log.try_clone().expect("the log file can be shared");
        let program = self.builds.next_program();
        let child = Command::new(program)
            .arg("--settings")
            .arg(&self.settings_file)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(error_log)
            .kill_on_drop(true)
            .spawn();
        self.child = Some(child.expect("the program under test starts"));
    }

    /// Sends a signal to the process, by the ID of the child that this soak started.
    pub(crate) fn signal(&self, signal: Signal) {
        let id = self.child.as_ref().and_then(Child::id);
        let id = id.and_then(|id| Pid::from_raw(i32::try_from(id).ok()?));
        if let Some(id) = id {
            // The process may have ended in the meantime.
            let _ = kill_process(id, signal);
        }
    }

    pub(crate) fn mark_disrupted(&self) {
        *lock(&self.vm.disrupted_at) = Some(Instant::now());
    }

    pub(crate) async fn kill(&mut self) {
        self.mark_disrupted();
        if let Some(child) = &mut self.child {
            let _ = child.kill().await;
        }
        self.child = None;
        self.mark_disrupted();
    }

    /// Sends SIGTERM and returns whether the process ended within its grace period; else kills it.
    pub(crate) async fn terminate(&mut self) -> bool {
        self.signal(Signal::TERM);
        // A paused process handles SIGTERM only once resumed; its grace period counts from then on.
        self.signal(Signal::CONT);
        let grace = Duration::from_secs(STOP_GRACE_S);
        let Some(child) = &mut self.child else {
            return true;
        };
        let has_exited = timeout(grace, child.wait()).await.is_ok();
        if !has_exited {
            self.kill().await;
        }
        self.child = None;
        has_exited
    }

    /// Starts the process unless it is running.
    pub(crate) async fn ensure_running(&mut self) {
        let has_exited = match &mut self.child {
            Some(child) => !matches!(child.try_wait(), Ok(None)),
            None => true,
        };
        if has_exited {
            self.mark_disrupted();
            self.spawn();
            sleep(Duration::from_millis(20)).await;
            self.mark_disrupted();
        }
    }

    /// Whether the process has ended without having been killed or terminated.
    pub(crate) fn exited_unexpectedly(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| !matches!(child.try_wait(), Ok(None)))
    }

    /// Removes the data of a process that is not running.
    pub(crate) fn wipe_disk(&self) {
        if let Some(folder) = &self.data_folder {
            // The folder itself is removed too, since an empty disk has none.
            let _ = fs::remove_dir_all(folder);
        }
    }

    /// Appends `garbage` to the newest log of a stopped process, as a torn write leaves it.
    pub(crate) fn append_torn_write(&self, garbage: &[u8]) {
        use std::io::Write as _;
        let Some(folder) = &self.data_folder else {
            return;
        };
        let Ok(files) = fs::read_dir(folder.join("voter")) else {
            return;
        };
        let logs = files.flatten().map(|file| file.path());
        let logs = logs.filter(|path| path.to_string_lossy().contains("log-"));
        if let Some(newest) = logs.max()
            && let Ok(mut file) = fs::OpenOptions::new().append(true).open(newest)
        {
            let _ = file.write_all(garbage);
        }
    }
}
