//! The settings of a VM, which the daemon reads once when it starts.

use std::{
    fs::File, io::Read, net::SocketAddr, path::Path, path::PathBuf, sync::Arc, time::Duration,
};

use fulmarweir_base::{CentreName, RegionName, VmName};

use crate::{
    fault::{ConfigFault, FaultList, FaultReason, Result},
    ini::{TEXT_MAX_BYTES, parse_sections},
    settings_parse::read_settings,
};

/// The content of a daemon's settings file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VmSettings {
    /// Name of the VM.
    pub name: VmName,
    /// Data centre of the VM.
    pub centre: CentreName,
    /// Region of the data centre.
    pub region: RegionName,
    /// Folder for durable state. A VM without one stores nothing durably and can't be a voter.
    pub data_folder: Option<PathBuf>,
    /// Addresses that the daemon listens on.
    pub listen: ListenSettings,
    /// Addresses of other daemons.
    pub peers: PeerSettings,
    /// Token that requests of operators must present; without one no token is required.
    pub operator_token: Option<Arc<str>>,
    /// Least severe level that is logged.
    pub log_level: slog::Level,
    /// Maximum length of a request body in bytes.
    pub body_max_bytes: usize,
    /// Durations of the phases of a graceful shutdown.
    pub shutdown: ShutdownSettings,
    /// Conditions for the replacement of voters.
    pub repair: VoterRepairSettings,
    /// Switches that turn off individual mechanisms, to compare policies.
    pub policy: PolicySwitches,
}

/// Addresses that the daemon listens on. With port 0 the operating system assigns a free port.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ListenSettings {
    /// Address for searches and acts of callers.
    pub callers: SocketAddr,
    /// Address for announcements of targets.
    pub targets: SocketAddr,
    /// Address for the operators' interface and for metrics.
    pub operators: SocketAddr,
    /// Address for calls of other daemons.
    pub peers: SocketAddr,
    /// Address that is advertised to other daemons for their calls, if it differs from `peers`.
    pub advertise_peers: Option<SocketAddr>,
}

/// How a daemon finds the other daemons and the initial voters.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PeerSettings {
    /// Peer addresses of daemons that this VM may join through.
    pub seeds: Vec<SocketAddr>,
    /// The initial voter set.
    pub voters: Vec<VoterAddress>,
}

/// A voter and its peer address.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VoterAddress {
    /// Name of the voter's VM.
    pub name: VmName,
    /// Peer address of the voter.
    pub address: SocketAddr,
}

/// Durations of the phases of a graceful shutdown.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ShutdownSettings {
    /// Time between the report of "not ready" and the closing of the listeners.
    pub settle: Duration,
    /// Maximum time that in-flight requests have to finish.
    pub drain_max: Duration,
}

/// Conditions for the replacement of voters.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct VoterRepairSettings {
    /// Time of absence after which a voter is replaced by a VM that has a data folder and is not a
    /// voter.
    pub replace_after: Duration,
}

/// Switches that turn off individual mechanisms, to compare policies.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PolicySwitches {
    /// Whether slow attempts of a search are hedged.
    pub hedge: bool,
    /// Whether every failed attempt is retried immediately, without a retry budget.
    pub naive_retry: bool,
    /// Whether replicas are chosen at random.
    pub random_replica: bool,
    /// Maximum number of brokers of one target, which are the VMs that connect to it; if absent,
    /// only the target's limits apply.
    pub brokers_max: Option<u32>,
}

impl Default for PolicySwitches {
    fn default() -> Self {
        Self {
            hedge: true,
            naive_retry: false,
            random_replica: false,
            brokers_max: None,
        }
    }
}

impl VmSettings {
    /// Reads and checks the settings file at `path`.
    ///
    /// # Errors
    ///
    /// Returns every fault of the text, or a single fault if the file can't be read.
    pub fn read(path: impl AsRef<Path>) -> Result<Self> {
        read_checked(path.as_ref(), Self::parse)
    }

    /// Parses and checks the settings in `text`, which was read from `file`.
    ///
    /// # Errors
    ///
    /// Returns every fault of the text.
    pub fn parse(file: &str, text: &str) -> Result<Self> {
        let mut faults = FaultList::for_file(file);
        let sections = parse_sections(text, &mut faults);
        let settings = read_settings(&sections, &mut faults);
        faults.into_result(settings)
    }

    /// Returns the address that is advertised to other daemons.
    ///
    /// If its port is 0, the daemon replaces it by the port that the operating system assigned.
    #[must_use]
    pub fn peer_address(&self) -> SocketAddr {
        self.listen.advertise_peers.unwrap_or(self.listen.peers)
    }

    /// Returns whether this VM is a member of the initial voter set.
    #[must_use]
    pub fn is_initial_voter(&self) -> bool {
        self.peers.voters.iter().any(|v| v.name == self.name)
    }
}

/// Reads a settings file and checks it with `parse`, which is called with the name and the text of
/// the file.
pub(crate) fn read_checked<T>(path: &Path, parse: fn(&str, &str) -> Result<T>) -> Result<T> {
    let file = path.to_string_lossy();
    match read_text(path) {
        Ok(text) => parse(&file, &text),
        Err(error) => {
            let mut faults = FaultList::for_file(&file);
            let fault = ConfigFault::new(FaultReason::Unreadable, "a readable UTF-8 file");
            faults.push(fault.found(&error.to_string()));
            Err(faults)
        }
    }
}

/// Reads at most one byte more than the limit, so that the parser can detect a text that is too
/// long.
fn read_text(path: &Path) -> std::io::Result<String> {
    let limit = u64::try_from(TEXT_MAX_BYTES).unwrap_or(u64::MAX);
    let mut text = String::new();
    File::open(path)?
        .take(limit.saturating_add(1))
        .read_to_string(&mut text)?;
    Ok(text)
}
