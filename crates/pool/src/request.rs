//! What is sent to a target and what comes back.

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
    /// The kind as it stands in headers.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Search => "search",
            Self::Act => "act",
        }
    }
}

/// One attempt at one shard.
#[derive(Clone, Debug)]
pub struct TargetRequest {
    /// Service that the target belongs to.
    pub service: ServiceName,
    /// Whether the request may be repeated.
    pub kind: RequestKind,
    /// Identifies the caller's request over all attempts.
    pub request: Arc<str>,
    /// Identifies this attempt; unique.
    pub attempt: Arc<str>,
    /// Index version that the answer must come from.
    pub version: u64,
    /// Shard to search.
    pub shard: u32,
    /// Number of shards of the version.
    pub of: u32,
    /// Point after which an answer is of no use.
    pub deadline: MonoTime,
    /// Key of a lookup or act.
    pub key: Option<Arc<str>>,
    /// The caller's body.
    pub body: Bytes,
}

/// Load as a target reports it; a hint that may lag or lie.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReportedLoad {
    /// Requests that it runs.
    pub in_flight: u32,
    /// Requests that it can run at once.
    pub slots: u32,
    /// Requests that wait.
    pub queued: u32,
}

impl ReportedLoad {
    /// Reads `in_flight/slots/queued`.
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

/// A reply that belongs to its attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetAnswer {
    /// The body of the target.
    pub body: Bytes,
    /// Load that it reported.
    pub load: Option<ReportedLoad>,
}

/// Why an attempt brought no answer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum TargetFault {
    /// This VM holds no share of the target, or the target is leaving.
    NoShare,
    /// The queue for the target is full.
    QueueFull,
    /// The deadline passed before a slot was free.
    QueueTimeout,
    /// No connection could be made.
    Connect,
    /// The target refused with its word that the request has not run.
    Shed,
    /// The target no longer has the index version.
    VersionGone,
    /// The connection broke or the reply was cut short.
    Broken,
    /// The reply does not echo this attempt.
    BadEcho,
    /// The target answered with another status.
    BadStatus,
    /// The reply is larger than the limit.
    TooLarge,
    /// No reply came before the deadline.
    Timeout,
    /// The caller of the attempt gave it up.
    Cancelled,
}

impl TargetFault {
    /// A stable label for metrics.
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
    /// Why it failed.
    pub fault: TargetFault,
    /// Whether the target may have run it.
    pub verdict: RunVerdict,
    /// When the target asked to be tried again.
    pub retry_after: Option<Duration>,
}

impl TargetError {
    /// An error of an attempt that has surely not run.
    #[must_use]
    pub const fn not_run(fault: TargetFault) -> Self {
        Self {
            fault,
            verdict: RunVerdict::NotRun,
            retry_after: None,
        }
    }

    /// An error of an attempt that may have run.
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
