//! Requests to targets, their answers and errors.

use std::{fmt, sync::Arc, time::Duration};

use bytes::Bytes;
use fulmarweir_base::{MonoTime, RunVerdict, ServiceName};
use serde::{Deserialize, Serialize};

/// Whether a request may be repeated.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RequestKind {
    /// Idempotent.
    Search,
    /// Not idempotent.
    Act,
}

impl RequestKind {
    /// Returns the value of the `fulmarweir-kind` header.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Search => "search",
            Self::Act => "act",
        }
    }
}

/// One attempt to query one shard at a target.
#[derive(Clone, Debug)]
pub struct TargetRequest {
    /// Service that the target belongs to.
    pub service: ServiceName,
    /// Whether the request may be repeated.
    pub kind: RequestKind,
    /// ID of the caller's request, the same for all its attempts.
    pub request: Arc<str>,
    /// Unique ID of this attempt.
    pub attempt: Arc<str>,
    /// Index version that the answer must come from.
    pub version: u64,
    /// Index of the shard.
    pub shard: u32,
    /// Number of shards of the index version.
    pub of: u32,
    /// Time after which the answer is no longer needed.
    pub deadline: MonoTime,
    /// Key of a lookup or act.
    pub key: Option<Arc<str>>,
    /// Body of the caller's request.
    pub body: Bytes,
}

/// Load that a target reports about itself; it may be outdated or wrong.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReportedLoad {
    /// Requests that the target is running.
    pub in_flight: u32,
    /// Requests that the target can run concurrently.
    pub slots: u32,
    /// Requests in the target's queue.
    pub queued: u32,
}

impl ReportedLoad {
    /// Parses `in_flight/slots/queued`.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let mut parts = text.split('/').map(|part| part.trim().parse().ok());
        let load = Self {
            in_flight: parts.next()??,
            slots: parts.next()??,
            queued: parts.next()??,
        };
        parts.next().is_none().then_some(load)
    }
}

/// A successful reply that echoed its attempt, index version and shard.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetAnswer {
    /// Body of the reply.
    pub body: Bytes,
    /// Load that the target reported with the reply.
    pub load: Option<ReportedLoad>,
}

/// Why an attempt failed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum TargetFault {
    /// This VM has no share of the target, or the target is being removed.
    NoShare,
    /// The queue for the target is full.
    QueueFull,
    /// The deadline passed before a request slot was free.
    QueueTimeout,
    /// No connection could be made.
    Connect,
    /// The target refused the request and stated that it has not run.
    Shed,
    /// The target no longer has the index version.
    VersionGone,
    /// The connection broke or the reply was cut short.
    Broken,
    /// The reply does not echo the attempt's ID, index version and shard.
    BadEcho,
    /// The target replied with a status other than the above.
    BadStatus,
    /// The reply is larger than the limit.
    TooLarge,
    /// No reply came before the deadline.
    Timeout,
    /// The caller abandoned the attempt.
    Cancelled,
}

impl TargetFault {
    /// Returns the label of this fault in metrics; it never changes.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NoShare => "no-share",
            Self::QueueFull => "queue-full",
            Self::QueueTimeout => "queue-timeout",
            Self::Connect => "connect",
            Self::Shed => "shed",
            Self::VersionGone => "version-gone",
            Self::Broken => "broken",
            Self::BadEcho => "bad-echo",
            Self::BadStatus => "bad-status",
            Self::TooLarge => "too-large",
            Self::Timeout => "timeout",
            Self::Cancelled => "cancelled",
        }
    }
}

/// A failed attempt and whether the target may have run it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetError {
    /// Why the attempt failed.
    pub fault: TargetFault,
    /// Whether the target may have run the attempt.
    pub verdict: RunVerdict,
    /// Delay after which the target asked for a retry.
    pub retry_after: Option<Duration>,
}

impl TargetError {
    /// Creates the error of an attempt that has certainly not run.
    #[must_use]
    pub const fn not_run(fault: TargetFault) -> Self {
        Self {
            fault,
            verdict: RunVerdict::NotRun,
            retry_after: None,
        }
    }

    /// Creates the error of an attempt that may have run.
    #[must_use]
    pub const fn may_have_run(fault: TargetFault) -> Self {
        Self {
            fault,
            verdict: RunVerdict::MayHaveRun,
            retry_after: None,
        }
    }
}

impl fmt::Display for TargetError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}, {}", self.fault.as_str(), self.verdict)
    }
}

impl std::error::Error for TargetError {}

/// Result of one attempt.
pub(crate) type Result<T> = std::result::Result<T, TargetError>;
