//! What an adapter tells the relay about its surroundings' protocol.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use fulmarweir_conf::RouteTable;
use fulmarweir_fleet::TargetAnnouncement;
use fulmarweir_pool::RelayReply;
use fulmarweir_route::ReportedLoad;
use http::{HeaderName, Method};

/// Names of the headers that the relay reads or sets.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Identifies one attempt of a caller.
    pub request_id: HeaderName,
    /// Time left in milliseconds.
    pub time_left_ms: HeaderName,
    /// A target's signature under its answer.
    pub signature: HeaderName,
    /// The only target that may run the request.
    pub expected_target: HeaderName,
    /// Signatures of the parts of a merged answer.
    pub part_signatures: HeaderName,
    /// Number of parts left out of a merged answer.
    pub parts_missing: HeaderName,
}

/// What a target's answer means.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ReplyClass {
    /// A usable answer to this request.
    Answer {
        /// Load that came with it.
        load: Option<ReportedLoad>,
    },
    /// The target did not run the request.
    Refused {
        /// When it may be asked again.
        retry_after: Option<Duration>,
    },
    /// Another target listens there; the request did not run.
    Moved,
    /// The target's own failure, which may be passed on.
    Failure,
    /// Nothing that a target says to this request.
    Invalid,
}

/// A call of a target or an operator.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ControlCall {
    /// A target announces itself.
    Announce(Arc<str>),
    /// A target leaves.
    Withdraw(Arc<str>),
    /// An operator reads the configuration.
    ReadConfig,
    /// An operator submits a configuration.
    WriteConfig,
}

/// The protocol of the surroundings, as data and plain functions.
pub struct ProtocolAdapter {
    /// Header names.
    pub headers: HeaderNames,
    /// Path that the balancer asks for readiness.
    pub ready_path: &'static str,
    /// Judges the answer to the request with this id.
    pub classify: fn(&RelayReply, request_id: &[u8]) -> ReplyClass,
    /// Reads a configuration document; the error text goes to the operator.
    pub decode_config: fn(&[u8]) -> Result<RouteTable, String>,
    /// Recognises a control call.
    pub control_call: fn(&Method, path: &str) -> Option<ControlCall>,
    /// Reads the announcement of the target with this id.
    pub decode_announcement: fn(&Arc<str>, &[u8]) -> Result<TargetAnnouncement, String>,
    /// The answer to an announcement: where to announce from now on.
    pub announcement_reply: fn(Option<SocketAddr>) -> Bytes,
}
