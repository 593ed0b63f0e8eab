//! Runs the daemons of several data centres as child processes.

mod change;
mod mesh;
mod process;
mod proxy;
mod settings;

use std::{
    fs,
    path::{Path, PathBuf},
    sync::atomic::{AtomicU32, Ordering},
    time::Duration,
};

use error_stack::{Report, ResultExt, bail};
use http::{Method, StatusCode};
use tokio::{
    sync::watch,
    time::{Instant, sleep},
};

use self::{
    mesh::LinkMesh,
    settings::{VmPlan, plan_vms, settings_text},
};
use crate::{
    client::{HttpCall, HttpClient},
    error::BenchError,
};

pub use self::{
    process::{DaemonProcess, ProcessUsage, own_usage},
    proxy::{LinkProxy, LinkState},
    settings::{CentrePlan, TierSettings},
};

type Result<T> = std::result::Result<T, Report<BenchError>>;

const DAEMON_PROGRAM: &str = "fulmarweird";
const BENCH_PROGRAM: &str = "fulmarweir-bench";
const READY_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

static NEXT_FOLDER: AtomicU32 = AtomicU32::new(0);

/// Returns the daemon program in the folder of the running program or in its parent folder.
///
/// If the daemon has not been built and the running program is `fulmarweir-bench`, returns the
/// running program, whose subcommand `daemon` runs the daemon.
///
/// # Errors
///
/// [`BenchError::Settings`] when neither program is found.
pub fn daemon_program() -> Result<PathBuf> {
    let own = std::env::current_exe().change_context(BenchError::Io)?;
    let folders = own.ancestors().skip(1).take(2);
    let mut programs = folders.map(|folder| folder.join(DAEMON_PROGRAM));
    match programs.find(|program| program.is_file()) {
        Some(program) => Ok(program),
        None if is_bench_program(&own) => Ok(own),
        None => Err(Report::new(BenchError::Settings))
            .attach("fulmarweird is not built: run `cargo build` for the whole workspace"),
    }
}

/// Whether `program` is `fulmarweir-bench`, which runs the daemon as a subcommand.
pub(crate) fn is_bench_program(program: &Path) -> bool {
    program
        .file_stem()
        .is_some_and(|stem| stem == BENCH_PROGRAM)
}

/// Running daemons with their settings and data in a temporary folder.
///
/// [`Tier::stop`] stops all daemons and removes the folder. Dropping the tier kills the daemons
/// without waiting and leaves the folder.
#[derive(Debug)]
pub struct Tier {
    daemons: Vec<DaemonProcess>,
    proxies: Vec<LinkProxy>,
    mesh: LinkMesh,
    client: HttpClient,
    folder: PathBuf,
}

impl Tier {
    /// Writes the settings, starts every daemon and waits until all are ready.
    ///
    /// # Errors
    ///
    /// [`BenchError::Daemon`] when a daemon does not start or become ready, with the end of its
    /// log.
    pub async fn start(settings: &TierSettings) -> Result<Self> {
        let tier = Self::launch(settings).await?;
        for index in 0..tier.daemons.len() {
            tier.wait_ready(index).await?;
        }
        Ok(tier)
    }

    /// Starts every daemon like [`Tier::start`], but does not wait until the daemons are ready.
    ///
    /// # Errors
    ///
    /// [`BenchError::Daemon`] or [`BenchError::Io`] when a daemon does not start.
    pub async fn launch(settings: &TierSettings) -> Result<Self> {
        let folder = new_folder()?;
        let plans = plan_vms(settings, &folder)?;
        let mut tier = Self {
            daemons: Vec::new(),
            proxies: Vec::new(),
            mesh: LinkMesh::default(),
            client: HttpClient::new(),
            folder,
        };
        for plan in &plans {
            let text = settings_text(plan, &plans, settings);
            fs::write(&plan.settings_file, text).change_context(BenchError::Io)?;
            if let Some(folder) = &plan.data_folder {
                fs::create_dir_all(folder).change_context(BenchError::Io)?;
            }
            if plan.proxied {
                let proxy = tier.start_proxy(plan).await?;
                tier.proxies.push(proxy);
            }
        }
        for plan in plans {
            let daemon = DaemonProcess::start(&settings.program, plan)?;
            tier.daemons.push(daemon);
            tier.register_pid(tier.daemons.len() - 1);
        }
        Ok(tier)
    }

    async fn start_proxy(&self, plan: &VmPlan) -> Result<LinkProxy> {
        let mesh = self.mesh.clone();
        let to = plan.name.clone();
        let select_link = Box::new(move |source| mesh.link_of(source, &to));
        let state = watch::Sender::default();
        LinkProxy::start_with(plan.advertised_peers(), plan.peers(), state, select_link).await
    }

    /// Returns all daemons in the order of their data centres.
    #[must_use]
    pub fn daemons(&self) -> &[DaemonProcess] {
        &self.daemons
    }

    /// Returns the daemon at `index`, e.g. to freeze, kill or terminate it.
    ///
    /// # Panics
    ///
    /// If there is no such daemon.
    pub fn daemon_mut(&mut self, index: usize) -> &mut DaemonProcess {
        &mut self.daemons[index]
    }

    /// Returns the folder with settings, logs and data.
    #[must_use]
    pub fn folder(&self) -> &PathBuf {
        &self.folder
    }

    /// Restarts a daemon and waits until it is ready.
    ///
    /// # Errors
    ///
    /// [`BenchError::Daemon`] when the daemon does not start or become ready.
    pub async fn restart(&mut self, index: usize) -> Result<()> {
        self.daemons[index].kill().await?;
        self.daemons[index].spawn()?;
        self.register_pid(index);
        self.wait_ready(index).await
    }

    /// Registers the process ID of a daemon in the link mesh, which is required after
    /// [`DaemonProcess::spawn`].
    pub fn register_pid(&self, index: usize) {
        let daemon = &self.daemons[index];
        if let Some(pid) = daemon.pid() {
            self.mesh.set_pid(daemon.name(), pid);
        }
    }

    /// Sets the links between two daemons for connections opened by either of them.
    ///
    /// Only has an effect in tiers with [`TierSettings::proxy_peers`].
    pub fn set_link(&self, one: usize, other: usize, state: LinkState) {
        let (one, other) = (self.daemons[one].name(), self.daemons[other].name());
        self.mesh.set_state(one, other, state);
        self.mesh.set_state(other, one, state);
    }

    /// Sets the links between `group` and all other daemons.
    pub fn set_links_of_group(&self, group: &[usize], state: LinkState) {
        let others = (0..self.daemons.len()).filter(|index| !group.contains(index));
        for other in others {
            for member in group {
                self.set_link(*member, other, state);
            }
        }
    }

    /// Waits until `/readyz` of a daemon answers 200.
    ///
    /// # Errors
    ///
    /// [`BenchError::Daemon`] after 30 seconds, with the end of the log.
    pub async fn wait_ready(&self, index: usize) -> Result<()> {
        let daemon = &self.daemons[index];
        let deadline = Instant::now() + READY_TIMEOUT;
        while Instant::now() < deadline {
            let call = HttpCall::new(Method::GET, daemon.operators(), "/readyz", "");
            let reply = self.client.send(call).await;
            if reply.is_ok_and(|reply| reply.status == StatusCode::OK) {
                return Ok(());
            }
            sleep(POLL_INTERVAL).await;
        }
        Err(Report::new(BenchError::Daemon)).attach_with(|| {
            let log = daemon.log();
            format!(
                "{} is not ready; its log ends:\n{}",
                daemon.name(),
                log_tail(&log)
            )
        })
    }

    /// Returns the text of `/metrics` of a daemon, or an empty string if the daemon does not
    /// answer.
    pub async fn metrics(&self, daemon: &DaemonProcess) -> String {
        let call = HttpCall::new(Method::GET, daemon.operators(), "/metrics", "");
        let reply = self.client.send(call).await;
        reply.map(|reply| reply.text()).unwrap_or_default()
    }

    /// Shuts all daemons down gracefully, waits until they exit and removes the folder.
    ///
    /// # Errors
    ///
    /// [`BenchError::Daemon`] when a daemon has to be killed.
    pub async fn stop(mut self) -> Result<()> {
        for daemon in self.daemons.iter().filter(|daemon| daemon.is_running()) {
            // A frozen daemon handles the signal only after it continues.
            let _ = (daemon.request_shutdown(), daemon.thaw());
        }
        let mut result = Ok(());
        for daemon in &mut self.daemons {
            if !daemon.is_running() {
                continue;
            }
            if let Err(report) = daemon.wait().await {
                daemon.kill().await?;
                result = Err(report.attach(format!("{} was killed", daemon.name())));
            }
        }
        for proxy in self.proxies {
            proxy.stop().await;
        }
        fs::remove_dir_all(&self.folder).change_context(BenchError::Io)?;
        result
    }

    fn first_running(&self) -> Result<&DaemonProcess> {
        let mut daemons = self.daemons.iter();
        match daemons.find(|daemon| daemon.is_running()) {
            Some(daemon) => Ok(daemon),
            None => bail!(BenchError::Daemon),
        }
    }
}

fn new_folder() -> Result<PathBuf> {
    let number = NEXT_FOLDER.fetch_add(1, Ordering::Relaxed);
    let name = format!("fulmarweir-bench-{}-{number}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    fs::create_dir_all(&folder).change_context(BenchError::Io)?;
    Ok(folder)
}

const LOG_TAIL_LINES: usize = 12;

fn log_tail(log: &str) -> String {
    let lines: Vec<&str> = log.lines().collect();
    lines[lines.len().saturating_sub(LOG_TAIL_LINES)..].join("\n")
}
