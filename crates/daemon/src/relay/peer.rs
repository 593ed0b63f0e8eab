//! Messages between the daemons of a relaying deployment.

use std::{net::SocketAddr, sync::Arc};

use fulmarweir_fleet::{RegistryMark, RegistryNews};
use fulmarweir_quorum::{VoterReply, VoterRequest, VoterSet};
use serde::{Deserialize, Serialize};

/// How to reach a keeper.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub(crate) struct KeeperContact {
    /// Where daemons call it.
    pub(crate) peers: SocketAddr,
    /// Where targets and operators call it.
    pub(crate) control: SocketAddr,
    /// Its data centre.
    pub(crate) centre: Arc<str>,
}

/// Who asks a keeper for news.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) enum PollSource {
    /// An entry VM, by its peer address.
    Entry(SocketAddr),
    /// Another keeper.
    Keeper(KeeperContact),
}

/// Asks a keeper for what is new; it answers when there is news or after a while.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct PollRequest {
    pub(crate) source: PollSource,
    /// Where the asker stands in the changes of targets; keepers do not ask for them.
    pub(crate) mark: Option<RegistryMark>,
    pub(crate) config_version: u64,
    pub(crate) voter_epoch: u64,
    /// Digest of the keepers that the asker was told of.
    pub(crate) contacts_digest: u64,
    /// Longest time until the answer, in milliseconds.
    pub(crate) wait_ms: u32,
}

/// What is new at a keeper.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct PollReply {
    /// Changes of targets, for entry VMs.
    pub(crate) news: Option<RegistryNews>,
    /// The highest version that the keeper knows to be decided.
    pub(crate) config_version: u64,
    /// The voters, if they have changed.
    pub(crate) voters: Option<VoterSet>,
    /// The keepers, if they have changed.
    pub(crate) contacts: Option<Vec<KeeperContact>>,
    pub(crate) contacts_digest: u64,
    /// Entry VMs that ask this keeper for news.
    pub(crate) entries: u32,
}

/// A call of another daemon.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) enum RelayCall {
    Poll(PollRequest),
    FetchConfig,
    Voter(Box<VoterRequest>),
}

/// The answer to a [`RelayCall`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) enum RelayAnswer {
    Poll(PollReply),
    /// Version and document.
    Config(u64, Arc<str>),
    Voter(Option<Box<VoterReply>>),
    /// This VM does not keep what was asked for.
    NotKept,
}
