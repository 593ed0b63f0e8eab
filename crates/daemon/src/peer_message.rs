//! What daemons say to each other.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use fulmarweir_base::{MonoTime, ServiceName, TargetName};
use fulmarweir_fleet::FleetMessage;
use fulmarweir_pool::{ReportedLoad, RequestKind, TargetError, TargetRequest};
use fulmarweir_quorum::{VoterReply, VoterRequest};
use serde::{Deserialize, Serialize};

/// A call from one daemon to another.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) enum PeerRequest {
    /// A message of the fleet protocols.
    Fleet {
        /// Peer address of the sender.
        from: SocketAddr,
        /// The message.
        message: Box<FleetMessage>,
    },
    /// An attempt at a target that the receiver is a broker of.
    SubQuery(Box<SubQuery>),
    /// Asks for the configuration in force.
    FetchConfig,
    /// A request to the receiver as a voter.
    Voter(Box<VoterRequest>),
}

/// The answer to a [`PeerRequest`].
#[derive(Debug, Deserialize, Serialize)]
pub(crate) enum PeerReply {
    /// The message was taken.
    Taken,
    /// How the attempt ended.
    SubQuery(Result<SubAnswer, TargetError>),
    /// The configuration in force.
    Config(ConfigCopy),
    /// The voter's answer; none when the receiver does not vote.
    Voter(Option<Box<VoterReply>>),
}

/// A configuration as it travels between daemons.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct ConfigCopy {
    /// Version number.
    pub(crate) version: u64,
    /// The operators' text.
    pub(crate) text: Arc<str>,
}

/// An attempt on its way to a broker.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct SubQuery {
    /// Target to ask; none lets the receiver choose among those of its data centre.
    pub(crate) target: Option<TargetName>,
    service: ServiceName,
    kind: RequestKind,
    request: Arc<str>,
    attempt: Arc<str>,
    version: u64,
    shard: u32,
    of: u32,
    /// Time left, since points of time do not carry over between processes.
    left: Duration,
    key: Option<Arc<str>>,
    body: Bytes,
}

/// A target's answer on its way back from a broker.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct SubAnswer {
    /// The body of the target.
    pub(crate) body: Bytes,
    /// Load that it reported.
    pub(crate) load: Option<ReportedLoad>,
}

impl SubQuery {
    pub(crate) fn new(target: Option<TargetName>, request: &TargetRequest, now: MonoTime) -> Self {
        Self {
            target,
            service: request.service.clone(),
            kind: request.kind,
            request: Arc::clone(&request.request),
            attempt: Arc::clone(&request.attempt),
            version: request.version,
            shard: request.shard,
            of: request.of,
            left: request.deadline.since(now),
            key: request.key.clone(),
            body: request.body.clone(),
        }
    }

    pub(crate) fn into_request(self, now: MonoTime) -> TargetRequest {
        TargetRequest {
            service: self.service,
            kind: self.kind,
            request: self.request,
            attempt: self.attempt,
            version: self.version,
            shard: self.shard,
            of: self.of,
            deadline: now + self.left,
            key: self.key,
            body: self.body,
        }
    }
}
