//! Voters and voter sets.

use std::{fmt, net::SocketAddr};

use fulmarweir_base::VmName;
use serde::{Deserialize, Serialize};

/// Identity of a voter's log. A voter that lost its log restarts with a different identity.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct VoterIdentity(pub u64);

impl VoterIdentity {
    /// Placeholder in the initial voter set, whose identities are not known yet.
    pub const UNKNOWN: Self = Self(0);
}

impl fmt::Display for VoterIdentity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// A member of a voter set.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct VoterMember {
    /// Name of the voter's VM.
    pub name: VmName,
    /// Identity of the voter's log.
    pub identity: VoterIdentity,
    /// Peer address of the voter's VM.
    pub address: SocketAddr,
}

/// The voters of one epoch.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct VoterSet {
    /// Number of the epoch, incremented by each change of the set. The set of epoch 0 comes from
    /// the settings and is only used to elect epoch 1.
    pub epoch: u64,
    /// The voters, ordered by name.
    pub members: Vec<VoterMember>,
}

impl VoterSet {
    /// Creates the voter set of epoch 0.
    #[must_use]
    pub fn from_settings(voters: impl IntoIterator<Item = (VmName, SocketAddr)>) -> Self {
        let unknown = |(name, address)| VoterMember {
            name,
            identity: VoterIdentity::UNKNOWN,
            address,
        };
        Self::new(0, voters.into_iter().map(unknown).collect())
    }

    /// Creates the voter set of `epoch`.
    #[must_use]
    pub fn new(epoch: u64, mut members: Vec<VoterMember>) -> Self {
        members.sort_unstable();
        members.dedup();
        Self { epoch, members }
    }

    /// Returns the number of voters that must agree.
    ///
    /// This is a majority. In epoch 0 it is all voters, because a lost log cannot be told apart
    /// from a new one while the identities are unknown; where it can, see
    /// [`crate::ClientSettings::first_majority_after`].
    #[must_use]
    pub fn quorum(&self) -> usize {
        if self.epoch == 0 {
            return self.members.len();
        }
        self.majority()
    }

    pub(crate) fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }

    /// Whether the voter with this identity belongs to the set.
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

/// The voter sets that a voter knows.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EpochState {
    /// The latest set that the voter has caught up to, i.e. for which it holds all registers.
    pub current: VoterSet,
    /// A later set that was decided. While it is known, the voter does not vote in `current`.
    pub next: Option<VoterSet>,
    /// The set just before `next`, from whose voters the registers for `next` are copied.
    pub previous: Option<VoterSet>,
}

impl EpochState {
    /// Creates the state of a voter that has caught up to `current` and knows no later set.
    #[must_use]
    pub const fn settled(current: VoterSet) -> Self {
        Self {
            current,
            next: None,
            previous: None,
        }
    }

    /// Returns the latest known set.
    #[must_use]
    pub fn latest(&self) -> &VoterSet {
        self.next.as_ref().unwrap_or(&self.current)
    }
}
