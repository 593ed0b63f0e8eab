//! What a state asks its carrier to do or to log.

use std::{net::SocketAddr, sync::Arc};

use fulmarweir_base::VmName;

use crate::{AnnounceError, ConfigStamp, FleetMessage, MemberStatus, ReadyPhase, VmIdentity};

/// One thing to do or to report.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FleetAction {
    /// Send `message` to the peer address `to`; loss is tolerated.
    Send {
        /// Peer address.
        to: SocketAddr,
        /// What to send.
        message: FleetMessage,
    },
    /// What is believed of a VM changed.
    MemberChanged {
        /// The VM.
        identity: Arc<VmIdentity>,
        /// What is believed now.
        status: MemberStatus,
    },
    /// The table of targets was rebuilt.
    TargetsChanged,
    /// This VM is behind: fetch the configuration `stamp` from `peer`, then call `on_config_applied`.
    ConfigOutdated {
        /// Peer address of a VM that has it in force.
        peer: SocketAddr,
        /// What to fetch.
        stamp: ConfigStamp,
    },
    /// A peer has another text under the same version number: report it.
    ConfigConflict {
        /// Peer address.
        peer: SocketAddr,
        /// Its stamp.
        stamp: ConfigStamp,
    },
    /// Another live VM has the name of this one or of a member.
    DuplicateName {
        /// The name.
        name: VmName,
        /// Peer address of the one that was there first.
        holder: SocketAddr,
        /// Peer address of the later one.
        joiner: SocketAddr,
    },
    /// This VM is the later one of two with its name; it must not serve.
    NameRefused {
        /// The VM that has the name.
        holder: Arc<VmIdentity>,
    },
    /// The readiness of this VM changed.
    PhaseChanged(ReadyPhase),
    /// A change of a target from a peer was refused.
    TargetChangeRefused(AnnounceError),
}
