//! The interface between the relay and the HTTP protocol of the deployment it runs in.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use fulmarweir_conf::RouteTable;
use fulmarweir_fleet::TargetAnnouncement;
use fulmarweir_pool::RelayReply;
use fulmarweir_route::{ReportedLoad, StatedLimit};
use http::{HeaderName, Method};

/// Names of the headers that the relay reads or sets.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Identifies one request of a caller; when the caller retries, it sends another id.
    pub request_id: HeaderName,
    /// Time until the sender's deadline, in milliseconds.
    pub time_left_ms: HeaderName,
    /// The signature of a target over its reply.
    pub signature: HeaderName,
    /// The id of the only target that may run the request.
    pub expected_target: HeaderName,
    /// The signatures of the replies that were merged into a response.
    pub part_signatures: HeaderName,
    /// The number of shards missing from a merged response.
    pub parts_missing: HeaderName,
    /// The name of the tenant for which a request runs. Set by this tier, whatever the caller sent.
    pub tenant: HeaderName,
}

/// How the relay treats a target's reply.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ReplyClass {
    /// A valid answer to this request.
    Answer {
        /// The load that the target reported with its reply.
        load: Option<ReportedLoad>,
    },
    /// The target did not run the request.
    Refused,
    /// Another target listens at this address. The request did not run.
    Moved,
    /// A failure of the target itself, which may be forwarded to the caller.
    Failure,
    /// Malformed, or the reply to another request.
    Invalid,
}

/// What a reply says about its target, whatever became of the request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ReplyNotice {
    /// Whether the target leaves.
    pub leaving: bool,
    /// Time for which the target wants no requests of this VM.
    pub retry_after: Option<Duration>,
    /// The rate of requests that the target takes from all VMs together.
    pub limit: StatedLimit,
    /// Time for which the target is cold, if it says so.
    pub cold_for: Option<Duration>,
}

/// A control request of a target or an operator.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ControlCall {
    /// The target with this id announces itself.
    Announce(Arc<str>),
    /// The target with this id leaves.
    Withdraw(Arc<str>),
    /// An operator reads the configuration.
    ReadConfig,
    /// An operator submits a configuration.
    WriteConfig,
}

/// The HTTP protocol of the deployment, as data and plain functions.
pub struct ProtocolAdapter {
    /// Names of the headers.
    pub headers: HeaderNames,
    /// Path of the load balancer's readiness check.
    pub ready_path: &'static str,
    /// Classifies the reply to the request with this id.
    pub classify: fn(&RelayReply, request_id: &[u8]) -> ReplyClass,
    /// Reads what a reply says about its target.
    pub read_notice: fn(&RelayReply) -> ReplyNotice,
    /// Decodes a configuration document. The error text is sent to the operator.
    pub decode_config: fn(&[u8]) -> Result<RouteTable, String>,
    /// Recognises a control request by its method and path.
    pub control_call: fn(&Method, path: &str) -> Option<ControlCall>,
    /// Decodes the announcement of the target with this id. The error text is sent to the target.
    pub decode_announcement: fn(&Arc<str>, &[u8]) -> Result<TargetAnnouncement, String>,
    /// Encodes the response to an announcement, which names the keeper for further announcements.
    pub announcement_reply: fn(Option<SocketAddr>) -> Bytes,
}
