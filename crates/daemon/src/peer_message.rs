//! Messages between daemons.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use fulmarweir_base::{MonoTime, ServiceName, TargetName};
use fulmarweir_fleet::FleetMessage;
use fulmarweir_pool::{ReportedLoad, RequestKind, TargetError, TargetRequest};
use fulmarweir_quorum::{VoterReply, VoterRequest};
use fulmarweir_wire::PeerMessage;
use serde::{Deserialize, Serialize};

/// A call from one daemon to another.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) enum PeerRequest {
    /// A message of the fleet protocols.
    Fleet {
        /// Peer address of the sender.
        from: SocketAddr,
        message: Box<FleetMessage>,
    },
    /// An attempt for the receiver to send to a target.
    SubQuery(Box<SubQuery>),
    /// Requests the configuration in force.
    FetchConfig,
    /// A request to the receiver as a voter.
    Voter(Box<VoterRequest>),
}

/// The reply to a [`PeerRequest`].
#[derive(Debug, Deserialize, Serialize)]
pub(crate) enum PeerReply {
    /// The message was received.
    Taken,
    /// The result of the attempt.
    SubQuery(Result<SubAnswer, TargetError>),
    /// The configuration in force.
    Config(ConfigCopy),
    /// The voter's reply, or `None` if the receiver has no voter.
    Voter(Option<Box<VoterReply>>),
}

impl PeerMessage for PeerRequest {}

impl PeerMessage for PeerReply {}

/// A configuration version in its encoded form.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct ConfigCopy {
    pub(crate) version: u64,
    /// The operators' text.
    pub(crate) text: Arc<str>,
}

/// An attempt in the form that is sent to another VM.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct SubQuery {
    /// Target of the attempt; if `None`, the receiver chooses a target of its data centre.
    pub(crate) target: Option<TargetName>,
    service: ServiceName,
    kind: RequestKind,
    request: Arc<str>,
    attempt: Arc<str>,
    version: u64,
    shard: u32,
    of: u32,
    /// Time until the deadline. It is relative because each process has its own monotonic clock.
    left: Duration,
    key: Option<Arc<str>>,
    body: Bytes,
}

/// A target's answer in the form that is sent back to the calling VM.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct SubAnswer {
    /// Body of the target's answer.
    pub(crate) body: Bytes,
    /// Load that the target reported.
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
