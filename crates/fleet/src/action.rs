//! Actions that a [`FleetState`] returns to its caller.
//!
//! [`FleetState`]: crate::FleetState

use std::{net::SocketAddr, sync::Arc};

use fulmarweir_base::VmName;

use crate::{AnnounceError, ConfigStamp, FleetMessage, MemberStatus, ReadyPhase, VmIdentity};

/// An action to perform or an event to log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FleetAction {
    /// Send `message` to a peer; the protocols tolerate its loss.
    Send {
        /// Peer address of the receiver.
        to: SocketAddr,
        /// The message.
        message: FleetMessage,
    },
    /// The status or the identity of a member changed.
    MemberChanged {
        /// The member.
        identity: Arc<VmIdentity>,
        /// Its new status.
        status: MemberStatus,
    },
    /// The snapshot of the targets was rebuilt.
    TargetsChanged,
    /// The configuration applied here is outdated: fetch `stamp` from `peer`, then call
    /// [`FleetState::on_config_applied`](crate::FleetState::on_config_applied).
    ConfigOutdated {
        /// Peer address of a VM that has applied the configuration.
        peer: SocketAddr,
        /// Configuration to fetch.
        stamp: ConfigStamp,
    },
    /// A peer has applied a different text under the same version number.
    ConfigConflict {
        /// Peer address.
        peer: SocketAddr,
        /// Configuration that the peer has applied.
        stamp: ConfigStamp,
    },
    /// Two live VMs have the same name.
    DuplicateName {
        /// The duplicate name.
        name: VmName,
        /// Peer address of the first VM with the name.
        holder: SocketAddr,
        /// Peer address of the later VM with the name.
        joiner: SocketAddr,
    },
    /// This VM is the later of two VMs with its name, so it must not serve.
    NameRefused {
        /// The VM that has the name.
        holder: Arc<VmIdentity>,
    },
    /// The readiness phase of this VM changed.
    PhaseChanged(ReadyPhase),
    /// A target change from a peer was rejected as invalid.
    TargetChangeRefused(AnnounceError),
}
