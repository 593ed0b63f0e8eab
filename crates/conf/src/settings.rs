//! The settings of one VM, read once at start.

use std::{net::SocketAddr, path::PathBuf, sync::Arc};

use fulmarweir_base::{CentreName, RegionName, VmName};

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
