//! Voters and voter sets.

use std::{fmt, net::SocketAddr};

use fulmarweir_base::VmName;
use serde::{Deserialize, Serialize};

/// Identity of a voter's log. A voter that lost its log comes back with another one.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct VoterIdentity(pub u64);

impl VoterIdentity {
    /// Stands for "whatever the log is" in the first set, whose identities are not known yet.
    pub const UNKNOWN: Self = Self(0);
}

impl fmt::Display for VoterIdentity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// One voter.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct VoterMember {
    /// Name of its VM.
    pub name: VmName,
    /// Identity of its log.
    pub identity: VoterIdentity,
    /// Peer address of its VM.
    pub address: SocketAddr,
}

/// The voters of one epoch.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct VoterSet {
    /// Grows by one with each change. Epoch 0 comes from the settings and only elects epoch 1.
    pub epoch: u64,
    /// The voters, ordered by name.
    pub members: Vec<VoterMember>,
}

impl VoterSet {
    /// The set of epoch 0.
    #[must_use]
    pub fn from_settings(voters: impl IntoIterator<Item = (VmName, SocketAddr)>) -> Self {
        let unknown = |(name, address)| VoterMember {
            name,
            identity: VoterIdentity::UNKNOWN,
            address,
        };
        Self::new(0, voters.into_iter().map(unknown).collect())
    }

    /// The set of `epoch`.
    #[must_use]
    pub fn new(epoch: u64, mut members: Vec<VoterMember>) -> Self {
        members.sort_unstable();
        members.dedup();
        Self { epoch, members }
    }

    /// Voters that must agree.
    ///
    /// A majority; in epoch 0 all, since a lost log cannot be told from a new one there.
    #[must_use]
    pub fn quorum(&self) -> usize {
        if self.epoch == 0 {
            return self.members.len();
        }
        self.members.len() / 2 + 1
    }

    /// Whether a voter belongs to the set.
    #[must_use]
    pub fn contains(&self, identity: VoterIdentity) -> bool {
        self.members
            .iter()
            .any(|member| member.identity == identity)
    }

    pub(crate) fn contains_name(&self, name: &VmName) -> bool {
        self.members.iter().any(|member| member.name == *name)
    }
}

/// What a voter knows of the voter sets.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EpochState {
    /// The set that the voter's registers are whole for.
    pub current: VoterSet,
    /// A later set. The voter no longer votes in the current one.
    pub next: Option<VoterSet>,
    /// The set just before `next`, which the registers for `next` are copied from.
    pub previous: Option<VoterSet>,
}

impl EpochState {
    /// A voter whole for `current` that knows no later set.
    #[must_use]
    pub const fn settled(current: VoterSet) -> Self {
        Self {
            current,
            next: None,
            previous: None,
        }
    }

    /// The latest known set.
    #[must_use]
    pub fn latest(&self) -> &VoterSet {
        self.next.as_ref().unwrap_or(&self.current)
    }
}
