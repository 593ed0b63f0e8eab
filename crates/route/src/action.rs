//! Messages between a run and its owner, which performs the attempts.

use std::{fmt, sync::Arc, time::Duration};

use bytes::Bytes;
use fulmarweir_base::{MonoTime, RunVerdict, TargetRecord};

use crate::SearchHit;

/// Number of an attempt within one run.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct AttemptId(u32);

impl AttemptId {
    pub(crate) const fn new(number: u32) -> Self {
        Self(number)
    }

    /// The number, counted from zero.
    #[must_use]
    pub const fn number(self) -> u32 {
        self.0
    }
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Why an attempt is retried.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum RetryReason {
    /// The target refused the attempt without running it.
    Refused,
    /// The target shed load.
    Shed,
    /// The target no longer holds the pinned version.
    VersionGone,
    /// The attempt failed and has not run.
    NotSent,
    /// The attempt failed and may have run.
    Failed,
    /// The reply belonged to another attempt.
    BadEcho,
    /// The attempt timed out.
    TimedOut,
}

impl RetryReason {
    /// Every reason, for metrics that export all labels from the start.
    pub const ALL: [Self; 7] = [
        Self::Refused,
        Self::Shed,
        Self::VersionGone,
        Self::NotSent,
        Self::Failed,
        Self::BadEcho,
        Self::TimedOut,
    ];

    /// Returns the label of this reason in metrics. Labels never change.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::Shed => "shed",
            Self::VersionGone => "version-gone",
            Self::NotSent => "not-sent",
            Self::Failed => "failed",
            Self::BadEcho => "bad-echo",
            Self::TimedOut => "timed-out",
        }
    }
}

/// Why an attempt is sent.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum AttemptKind {
    /// The first attempt for a shard.
    First,
    /// An additional attempt while a slow one is still in flight.
    Hedge,
    /// An attempt after one that ended without an answer.
    Retry(RetryReason),
    /// The first attempt for a shard after the search restarted on a newer version.
    Restart,
}

impl AttemptKind {
    /// Returns the label of this kind in metrics. Labels never change.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::First => "first",
            Self::Hedge => "hedge",
            Self::Retry(_) => "retry",
            Self::Restart => "restart",
        }
    }
}

/// The specification of one attempt to send.
#[derive(Clone, Debug)]
pub struct AttemptSpec {
    /// Number of the attempt within the run.
    pub attempt: AttemptId,
    /// Target to send the attempt to.
    pub target: Arc<TargetRecord>,
    /// Pinned index version.
    pub version: u64,
    /// Shard to query.
    pub shard: u32,
    /// Number of shards of the version.
    pub of: u32,
    /// Time after which a reply is no longer used.
    pub deadline: MonoTime,
    /// Why the attempt is sent.
    pub kind: AttemptKind,
}

/// An action that the owner of a run has to perform.
#[derive(Debug)]
pub enum RouteAction<O> {
    /// Send an attempt, and report its end by `on_reply`.
    Send(AttemptSpec),
    /// Cancel an attempt. Its end need not be reported.
    Cancel(AttemptId),
    /// Call `on_wake` at this time. Replaces an earlier wake-up of the run.
    Wake(MonoTime),
    /// Return this outcome to the caller. The last action of a run.
    Finish(O),
}

/// Load as a target reports it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ReportedLoad {
    /// Requests that the target is running.
    pub in_flight: u32,
    /// Requests that the target can run at the same time.
    pub slots: u32,
    /// Requests queued at the target.
    pub queued: u32,
}

/// How an attempt ended.
#[derive(Clone, Debug)]
pub enum AttemptOutcome {
    /// A search reply that echoes the attempt's ID, index version and shard.
    Hits {
        /// The hits of the shard.
        hits: Vec<SearchHit>,
        /// Load that the target reported with the reply.
        load: Option<ReportedLoad>,
    },
    /// An act's reply that echoes the attempt's ID, index version and shard.
    Done {
        /// The body as the target wrote it.
        body: Bytes,
        /// Load that the target reported with the reply.
        load: Option<ReportedLoad>,
    },
    /// The target confirmed that it has not run the attempt and will not run it.
    Refused {
        /// Whether the target refused in order to shed load.
        shedding: bool,
        /// Delay after which the target may be tried again.
        retry_after: Option<Duration>,
    },
    /// The target no longer holds the version and has not run the attempt.
    VersionGone,
    /// Any other failure.
    Failed {
        /// Whether the attempt may have run.
        verdict: RunVerdict,
        /// Whether a nested call downstream was already retried, so that this level must not retry.
        retried_downstream: bool,
    },
    /// The reply did not echo the attempt's ID, index version and shard, and was dropped.
    BadEcho,
    /// No reply by the attempt's deadline.
    TimedOut,
    /// The attempt was cancelled.
    Cancelled {
        /// False if the target confirmed that the attempt did not run, or if no byte was sent.
        may_have_run: bool,
    },
}

impl AttemptOutcome {
    /// Returns whether the attempt has run.
    #[must_use]
    pub const fn verdict(&self) -> RunVerdict {
        match self {
            Self::Hits { .. } | Self::Done { .. } => RunVerdict::Ran,
            Self::Refused { .. } | Self::VersionGone => RunVerdict::NotRun,
            Self::Failed { verdict, .. } => *verdict,
            Self::BadEcho | Self::TimedOut => RunVerdict::MayHaveRun,
            Self::Cancelled { may_have_run } => {
                if *may_have_run {
                    RunVerdict::MayHaveRun
                } else {
                    RunVerdict::NotRun
                }
            }
        }
    }

    pub(crate) const fn retry_reason(&self) -> RetryReason {
        match self {
            Self::Refused { shedding: true, .. } => RetryReason::Shed,
            Self::Refused { .. } | Self::Cancelled { .. } => RetryReason::Refused,
            Self::VersionGone => RetryReason::VersionGone,
            Self::BadEcho => RetryReason::BadEcho,
            Self::TimedOut => RetryReason::TimedOut,
            Self::Failed {
                verdict: RunVerdict::NotRun,
                ..
            } => RetryReason::NotSent,
            Self::Failed { .. } | Self::Hits { .. } | Self::Done { .. } => RetryReason::Failed,
        }
    }
}
