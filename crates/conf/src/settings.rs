//! The settings of one VM, read once at start.

use std::{
    fs::File, io::Read, net::SocketAddr, path::Path, path::PathBuf, sync::Arc, time::Duration,
};

use fulmarweir_base::{CentreName, RegionName, VmName};

use crate::{
    fault::{ConfigFault, FaultList, FaultReason, Result},
    ini::{TEXT_MAX_BYTES, parse_sections},
    settings_parse::read_settings,
};

/// Everything that a daemon learns from its settings file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VmSettings {
    /// Name of this VM.
    pub name: VmName,
    /// Data centre that it stands in.
    pub centre: CentreName,
    /// Region of the data centre.
    pub region: RegionName,
    /// Folder of durable state; without one this VM keeps nothing and never votes.
    pub data_folder: Option<PathBuf>,
    /// Addresses to listen on.
    pub listen: ListenSettings,
    /// Other daemons.
    pub peers: PeerSettings,
    /// Token that operators must present, if any.
    pub operator_token: Option<Arc<str>>,
    /// Least severe level that is logged.
    pub log_level: slog::Level,
    /// Largest accepted request body in bytes.
    pub body_max_bytes: usize,
    /// Time limits of a graceful shutdown.
    pub shutdown: ShutdownSettings,
    /// When voters are replaced.
    pub repair: RepairSettings,
    /// Switches that turn single decisions off, to compare policies.
    pub policy: PolicySettings,
}

/// Listening addresses. Port 0 picks a free port.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ListenSettings {
    /// Searches and acts.
    pub callers: SocketAddr,
    /// Announcements of targets.
    pub targets: SocketAddr,
    /// Operators' interface and metrics.
    pub operators: SocketAddr,
    /// Other daemons.
    pub peers: SocketAddr,
    /// Peer address that other daemons are told, where it differs from `peers`.
    pub advertise_peers: Option<SocketAddr>,
}

/// How to find other daemons.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PeerSettings {
    /// Peer addresses to join through.
    pub seeds: Vec<SocketAddr>,
    /// The first voter set.
    pub voters: Vec<VoterAddress>,
}

/// A voter and its peer address.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VoterAddress {
    /// Name of the VM that votes.
    pub name: VmName,
    /// Its peer address.
    pub address: SocketAddr,
}

/// Time limits of a graceful shutdown.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ShutdownSettings {
    /// Time from "not ready" to the closing of the listeners.
    pub settle: Duration,
    /// Longest time that requests in flight may take to finish.
    pub drain_max: Duration,
}

/// When voters are replaced.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RepairSettings {
    /// Absence after which a voter is replaced by a VM with a data folder that does not vote.
    pub gone: Duration,
}

/// Switches that turn single decisions off, to compare policies.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PolicySettings {
    /// Whether slow attempts of a search are hedged.
    pub hedge: bool,
    /// Whether every failed attempt is retried at once, without a budget.
    pub naive_retry: bool,
    /// Whether replicas are chosen at random.
    pub random_replica: bool,
    /// Most brokers of one target; as many as its limits allow if absent.
    pub brokers_max: Option<u32>,
}

impl Default for PolicySettings {
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
    /// Every fault of the text, or one fault if the file can't be read.
    pub fn read(path: impl AsRef<Path>) -> Result<Self> {
        read_checked(path.as_ref(), Self::parse)
    }

    /// Checks the settings in `text`, which was read from `file`.
    ///
    /// # Errors
    ///
    /// Every fault of the text.
    pub fn parse(file: &str, text: &str) -> Result<Self> {
        let mut faults = FaultList::for_file(file);
        let sections = parse_sections(text, &mut faults);
        let settings = read_settings(&sections, &mut faults);
        faults.into_result(settings)
    }

    /// The peer address that other daemons are told.
    ///
    /// With port 0 the daemon replaces the port by the one it was given.
    #[must_use]
    pub fn peer_address(&self) -> SocketAddr {
        self.listen.advertise_peers.unwrap_or(self.listen.peers)
    }

    /// Whether this VM is a member of the first voter set.
    #[must_use]
    pub fn is_first_voter(&self) -> bool {
        self.peers.voters.iter().any(|v| v.name == self.name)
    }
}

/// Reads a settings file and checks it by `parse`, which gets its name and its text.
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

/// Reads one byte beyond the limit, so that the parser sees a text that is too large.
fn read_text(path: &Path) -> std::io::Result<String> {
    let limit = u64::try_from(TEXT_MAX_BYTES).unwrap_or(u64::MAX);
    let mut text = String::new();
    File::open(path)?
        .take(limit.saturating_add(1))
        .read_to_string(&mut text)?;
    Ok(text)
}
