//! Controls one daemon as a child process.

use std::{
    fs::{self, File},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{ExitStatus, Stdio},
    time::Duration,
};

use error_stack::{Report, ResultExt, bail};
use fulmarweir_base::{CentreName, VmName};
use rustix::process::{Pid, Signal, kill_process};
use tokio::{
    process::{Child, Command},
    time::timeout,
};

use super::settings::VmPlan;
use crate::{error::BenchError, tier::is_bench_program};

type Result<T> = std::result::Result<T, Report<BenchError>>;

/// Time limit for a daemon to exit after SIGTERM.
const EXIT_TIMEOUT: Duration = Duration::from_secs(15);

/// CPU time, memory and descriptors of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ProcessUsage {
    /// User and system time since the start of the process, in seconds.
    pub cpu_secs: f64,
    /// Resident memory in KiB.
    pub rss_kib: u64,
    /// Open file descriptors.
    pub descriptors: usize,
}

/// A daemon process, which may be running, frozen or exited.
#[derive(Debug)]
pub struct DaemonProcess {
    plan: VmPlan,
    program: PathBuf,
    child: Option<Child>,
}

impl DaemonProcess {
    pub(crate) fn start(program: &Path, plan: VmPlan) -> Result<Self> {
        let mut process = Self {
            plan,
            program: program.to_owned(),
            child: None,
        };
        process.spawn()?;
        Ok(process)
    }

    /// Returns the name of the VM.
    #[must_use]
    pub fn name(&self) -> &VmName {
        &self.plan.name
    }

    /// Returns the data centre of the VM.
    #[must_use]
    pub fn centre(&self) -> &CentreName {
        &self.plan.centre
    }

    /// Returns the address for callers.
    #[must_use]
    pub fn callers(&self) -> SocketAddr {
        self.plan.callers()
    }

    /// Returns the address for announcements of targets.
    #[must_use]
    pub fn targets(&self) -> SocketAddr {
        self.plan.targets()
    }

    /// Returns the address for operators.
    #[must_use]
    pub fn operators(&self) -> SocketAddr {
        self.plan.operators()
    }

    /// Returns the address for calls of other daemons.
    #[must_use]
    pub fn peers(&self) -> SocketAddr {
        self.plan.peers()
    }

    /// Whether the VM is a member of the initial voter set.
    #[must_use]
    pub fn votes(&self) -> bool {
        self.plan.votes
    }

    /// Returns the data folder, if any.
    #[must_use]
    pub fn data_folder(&self) -> Option<&Path> {
        self.plan.data_folder.as_deref()
    }

    /// Returns the settings file, which may be changed before a restart.
    #[must_use]
    pub fn settings_file(&self) -> &Path {
        &self.plan.settings_file
    }

    /// Returns the log since the first start.
    #[must_use]
    pub fn log(&self) -> String {
        let bytes = fs::read(&self.plan.log_file).unwrap_or_default();
        String::from_utf8_lossy(&bytes).into_owned()
    }

    /// Whether the daemon has been started, and neither [`DaemonProcess::kill`] nor
    /// [`DaemonProcess::wait`] has seen it exit since. A daemon that exits by itself still counts
    /// as running.
    #[must_use]
    pub fn is_running(&self) -> bool {
        self.child.is_some()
    }

    pub(crate) fn pid(&self) -> Option<u32> {
        self.child.as_ref()?.id()
    }

    /// Starts the daemon again after it has exited, with the same settings and data folder.
    ///
    /// # Errors
    ///
    /// [`BenchError::Daemon`] when the program cannot be started.
    pub fn spawn(&mut self) -> Result<()> {
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.plan.log_file)
            .change_context(BenchError::Io)?;
        let subcommand = is_bench_program(&self.program).then_some("daemon");
        let child = Command::new(&self.program)
            .args(subcommand)
            .arg("--settings")
            .arg(&self.plan.settings_file)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .kill_on_drop(true)
            .spawn()
            .change_context(BenchError::Daemon)
            .attach_with(|| format!("program: {}", self.program.display()))?;
        self.child = Some(child);
        Ok(())
    }

    /// Kills the daemon with SIGKILL and waits until it exits.
    ///
    /// # Errors
    ///
    /// [`BenchError::Daemon`] when the daemon cannot be killed.
    pub async fn kill(&mut self) -> Result<()> {
        if let Some(mut child) = self.child.take() {
            child.kill().await.change_context(BenchError::Daemon)?;
        }
        Ok(())
    }

    /// Kills the daemon with SIGKILL without waiting until it exits.
    ///
    /// # Errors
    ///
    /// [`BenchError::Daemon`] when the daemon is not running.
    pub fn crash(&self) -> Result<()> {
        self.signal(Signal::KILL)
    }

    /// Requests a graceful shutdown with SIGTERM and waits until the daemon exits.
    ///
    /// # Errors
    ///
    /// [`BenchError::Daemon`] when the daemon is not running or does not exit in time.
    pub async fn terminate(&mut self) -> Result<ExitStatus> {
        self.signal(Signal::TERM)?;
        self.wait().await
    }

    /// Waits until the daemon exits, by itself or after a signal.
    ///
    /// # Errors
    ///
    /// [`BenchError::Daemon`] when the daemon is not running or does not exit in time.
    pub async fn wait(&mut self) -> Result<ExitStatus> {
        let Some(child) = self.child.as_mut() else {
            bail!(BenchError::Daemon);
        };
        let waited = timeout(EXIT_TIMEOUT, child.wait()).await;
        let status = waited
            .change_context(BenchError::Daemon)
            .attach("the daemon did not exit in time")?
            .change_context(BenchError::Daemon)?;
        self.child = None;
        Ok(status)
    }

    /// Requests a graceful shutdown with SIGTERM without waiting until the daemon exits.
    ///
    /// # Errors
    ///
    /// [`BenchError::Daemon`] when the daemon is not running.
    pub fn request_shutdown(&self) -> Result<()> {
        self.signal(Signal::TERM)
    }

    /// Pauses the daemon with SIGSTOP; its connections stay open but silent.
    ///
    /// # Errors
    ///
    /// [`BenchError::Daemon`] when the daemon is not running.
    pub fn freeze(&self) -> Result<()> {
        self.signal(Signal::STOP)
    }

    /// Resumes the daemon with SIGCONT after [`DaemonProcess::freeze`].
    ///
    /// # Errors
    ///
    /// [`BenchError::Daemon`] when the daemon is not running.
    pub fn thaw(&self) -> Result<()> {
        self.signal(Signal::CONT)
    }

    /// Returns CPU time and memory, which are zero when the daemon is not running.
    #[must_use]
    pub fn usage(&self) -> ProcessUsage {
        let usage = self.pid().and_then(|pid| read_usage(&pid.to_string()));
        usage.unwrap_or_default()
    }

    fn signal(&self, signal: Signal) -> Result<()> {
        let pid = self.pid().and_then(|pid| i32::try_from(pid).ok());
        let Some(pid) = pid.and_then(Pid::from_raw) else {
            bail!(BenchError::Daemon);
        };
        kill_process(pid, signal).change_context(BenchError::Daemon)
    }
}

/// Returns CPU time and memory of the current process, for loads that run without a daemon.
#[must_use]
pub fn own_usage() -> ProcessUsage {
    read_usage("self").unwrap_or_default()
}

/// Fields of `/proc/PID/stat` after the program name, counted from zero.
const STAT_UTIME: usize = 11;
const STAT_STIME: usize = 12;

fn read_usage(process: &str) -> Option<ProcessUsage> {
    let stat = fs::read_to_string(format!("/proc/{process}/stat")).ok()?;
    let (_, fields) = stat.rsplit_once(") ")?;
    let fields: Vec<&str> = fields.split(' ').collect();
    let ticks = |index: usize| fields.get(index)?.parse::<f64>().ok();
    let status = fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let rss = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))?;
    let ticks_per_sec = rustix::param::clock_ticks_per_second();
    #[expect(clippy::cast_precision_loss, reason = "about a hundred")]
    let ticks_per_sec = ticks_per_sec as f64;
    Some(ProcessUsage {
        cpu_secs: (ticks(STAT_UTIME)? + ticks(STAT_STIME)?) / ticks_per_sec,
        rss_kib: rss.trim().strip_suffix(" kB")?.parse().ok()?,
        descriptors: fs::read_dir(format!("/proc/{process}/fd")).ok()?.count(),
    })
}
