//! Messages between the daemons of a relaying deployment.

use std::{net::SocketAddr, sync::Arc};

use fulmarweir_fleet::{RegistryCursor, RegistryDelta};
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

/// How to reach an entry VM.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub(crate) struct EntryContact {
    /// Where daemons call it.
    pub(crate) peers: SocketAddr,
    /// Its data centre.
    pub(crate) centre: Arc<str>,
}

/// Who asks a keeper for news.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) enum PollSource {
    /// An entry VM.
    Entry(EntryContact),
    /// Another keeper.
    Keeper(KeeperContact),
}

/// Asks a keeper for what is new; it answers when there is news or after a while.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct PollRequest {
    pub(crate) source: PollSource,
    /// Where the asker stands in the changes of targets; keepers do not ask for them.
    pub(crate) cursor: Option<RegistryCursor>,
    pub(crate) config_version: u64,
    pub(crate) voter_epoch: u64,
    /// Digest of the keepers that the asker was told of.
    pub(crate) contacts_digest: u64,
    /// Digest of the brokers that an entry VM was told of; `None` if it asks others for them.
    pub(crate) brokers_digest: Option<u64>,
    /// Longest time until the answer, in milliseconds.
    pub(crate) wait_ms: u32,
}

/// What is new at a keeper.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct PollReply {
    /// Changes of targets, for entry VMs.
    pub(crate) delta: Option<RegistryDelta>,
    /// The highest version that the keeper knows to be decided.
    pub(crate) config_version: u64,
    /// The voters, if they have changed.
    pub(crate) voters: Option<VoterSet>,
    /// The keepers, if they have changed.
    pub(crate) contacts: Option<Vec<KeeperContact>>,
    pub(crate) contacts_digest: u64,
    /// Entry VMs that ask this keeper for news.
    pub(crate) entries: u32,
    /// Entry VMs that may run searches for the asker, if they have changed.
    pub(crate) brokers: Option<Vec<EntryContact>>,
}

/// Shards of a search that another VM hands over.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct HandoverRequest {
    /// Name of the VM that took it from the caller.
    pub(crate) origin: Arc<str>,
    /// The configuration by which it was taken; the broker must hold the same.
    pub(crate) config_version: u64,
    /// Name of its route.
    pub(crate) route: Arc<str>,
    /// Places of the shards in the route's list.
    pub(crate) sub_requests: Vec<u16>,
    pub(crate) method: String,
    pub(crate) uri: String,
    pub(crate) headers: Vec<(String, Vec<u8>)>,
    pub(crate) body: Vec<u8>,
    /// Time in which the broker answers with what it has, in milliseconds.
    pub(crate) answer_in_ms: u64,
    /// Time to the caller's deadline, in milliseconds.
    pub(crate) time_left_ms: u64,
}

/// What a broker brings of the shards that it was handed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct HandoverReply {
    /// Places of the shards with an answer.
    pub(crate) answered: Vec<u16>,
    /// Places of those without one that may have run, with the targets on which they may have.
    pub(crate) unclear: Vec<(u16, Vec<Arc<str>>)>,
    /// The targets' signatures under their answers.
    pub(crate) signatures: Vec<Vec<u8>>,
    /// The greatest records.
    pub(crate) records: Vec<u8>,
}

/// A call of another daemon.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) enum VmRequest {
    Poll(PollRequest),
    FetchConfig,
    Voter(Box<VoterRequest>),
    Search(Box<HandoverRequest>),
    /// Asks an entry VM whether it is alive.
    Probe,
}

/// The answer to a [`VmRequest`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) enum VmReply {
    Poll(PollReply),
    /// Version and document.
    Config(u64, Arc<str>),
    Voter(Option<Box<VoterReply>>),
    Search(Box<HandoverReply>),
    /// Nothing of the search was run, for this reason.
    NotTaken(Arc<str>),
    /// Whether this VM takes searches of others.
    Alive(bool),
    /// This VM does not keep what was asked for.
    NotKept,
}
