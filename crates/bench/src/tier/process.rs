//! One daemon as a child process.

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

/// Longest wait for a daemon to end after SIGTERM.
const EXIT_TIMEOUT: Duration = Duration::from_secs(15);

/// Processor time and memory of a daemon.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ProcessUsage {
    /// User and system time since its start, in seconds.
    pub cpu_secs: f64,
    /// Resident memory in KiB.
    pub rss_kib: u64,
}

/// A daemon that may run, be frozen or have ended.
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

    /// Name of the VM.
    #[must_use]
    pub fn name(&self) -> &VmName {
        &self.plan.name
    }

    /// Its data centre.
    #[must_use]
    pub fn centre(&self) -> &CentreName {
        &self.plan.centre
    }

    /// Address for callers.
    #[must_use]
    pub fn callers(&self) -> SocketAddr {
        self.plan.callers()
    }

    /// Address for announcements of targets.
    #[must_use]
    pub fn targets(&self) -> SocketAddr {
        self.plan.targets()
    }

    /// Address for operators.
    #[must_use]
    pub fn operators(&self) -> SocketAddr {
        self.plan.operators()
    }

    /// Whether it is a member of the first voter set.
    #[must_use]
    pub fn votes(&self) -> bool {
        self.plan.votes
    }

    /// Its data folder, if it has one.
    #[must_use]
    pub fn data_folder(&self) -> Option<&Path> {
        self.plan.data_folder.as_deref()
    }

    /// Its settings file, which may be changed before a restart.
    #[must_use]
    pub fn settings_file(&self) -> &Path {
        &self.plan.settings_file
    }

    /// What it has logged since the first start.
    #[must_use]
    pub fn log(&self) -> String {
        let bytes = fs::read(&self.plan.log_file).unwrap_or_default();
        String::from_utf8_lossy(&bytes).into_owned()
    }

    /// Whether it has been started and not been ended since.
    #[must_use]
    pub fn is_running(&self) -> bool {
        self.child.is_some()
    }

    pub(crate) fn pid(&self) -> Option<u32> {
        self.child.as_ref()?.id()
    }

    /// Starts it again after it has ended, with the same settings and data folder.
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

    /// Ends it at once (SIGKILL) and waits for it.
    ///
    /// # Errors
    ///
    /// [`BenchError::Daemon`] when it cannot be ended.
    pub async fn kill(&mut self) -> Result<()> {
        if let Some(mut child) = self.child.take() {
            child.kill().await.change_context(BenchError::Daemon)?;
        }
        Ok(())
    }

    /// Ends it at once (SIGKILL) without waiting for it.
    ///
    /// # Errors
    ///
    /// [`BenchError::Daemon`] when it is not running.
    pub fn crash(&self) -> Result<()> {
        self.signal(Signal::KILL)
    }

    /// Asks it to shut down in good order (SIGTERM) and waits for it.
    ///
    /// # Errors
    ///
    /// [`BenchError::Daemon`] when it is not running or does not end in time.
    pub async fn terminate(&mut self) -> Result<ExitStatus> {
        self.signal(Signal::TERM)?;
        self.wait().await
    }

    /// Waits until it ends by itself or after a signal.
    ///
    /// # Errors
    ///
    /// [`BenchError::Daemon`] when it is not running or does not end in time.
    pub async fn wait(&mut self) -> Result<ExitStatus> {
        let Some(child) = self.child.as_mut() else {
            bail!(BenchError::Daemon);
        };
        let waited = timeout(EXIT_TIMEOUT, child.wait()).await;
        let status = waited
            .change_context(BenchError::Daemon)
            .attach("it did not end in time")?
            .change_context(BenchError::Daemon)?;
        self.child = None;
        Ok(status)
    }

    /// Asks it to shut down in good order without waiting.
    ///
    /// # Errors
    ///
    /// [`BenchError::Daemon`] when it is not running.
    pub fn request_shutdown(&self) -> Result<()> {
        self.signal(Signal::TERM)
    }

    /// Stops its execution (SIGSTOP); its connections stay open and silent.
    ///
    /// # Errors
    ///
    /// [`BenchError::Daemon`] when it is not running.
    pub fn freeze(&self) -> Result<()> {
        self.signal(Signal::STOP)
    }

    /// Lets it continue after [`DaemonProcess::freeze`].
    ///
    /// # Errors
    ///
    /// [`BenchError::Daemon`] when it is not running.
    pub fn thaw(&self) -> Result<()> {
        self.signal(Signal::CONT)
    }

    /// Processor time and memory; zero when it is not running.
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

/// Usage of this process, for a load that runs without a daemon.
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
    })
}
