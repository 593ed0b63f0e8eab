//! Messages between a run and the code that carries its attempts.

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

/// Why an attempt is repeated.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum RetryReason {
    /// The target refused without running.
    Refused,
    /// The target shed load.
    Shed,
    /// The target no longer holds the version.
    VersionGone,
    /// The attempt failed and has not run.
    NotSent,
    /// The attempt failed and may have run.
    Failed,
    /// The reply belonged to something else.
    BadEcho,
    /// The attempt timed out.
    TimedOut,
}

impl RetryReason {
    /// Every reason, for metrics that list all labels from the start.
    pub const ALL: [Self; 7] = [
        Self::Refused,
        Self::Shed,
        Self::VersionGone,
        Self::NotSent,
        Self::Failed,
        Self::BadEcho,
        Self::TimedOut,
    ];

    /// The label of this reason in metrics; it never changes.
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

/// What an attempt is to its shard.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum AttemptKind {
    /// The first attempt for a shard.
    First,
    /// A second attempt while a slow one is still in flight.
    Hedge,
    /// An attempt after one that ended without an answer.
    Retry(RetryReason),
    /// An attempt of a search that started over on a newer version.
    Restart,
}

impl AttemptKind {
    /// The label of this kind in metrics; it never changes.
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

/// One attempt to send.
#[derive(Clone, Debug)]
pub struct AttemptSpec {
    /// Number within the run.
    pub attempt: AttemptId,
    /// Where to.
    pub target: Arc<TargetRecord>,
    /// Pinned version.
    pub version: u64,
    /// Shard asked.
    pub shard: u32,
    /// Shards that the version has.
    pub of: u32,
    /// When the attempt is of no more use.
    pub deadline: MonoTime,
    /// What it is to its shard.
    pub kind: AttemptKind,
}

/// What the carrying code has to do for a run.
#[derive(Debug)]
pub enum RouteAction<O> {
    /// Send an attempt; report its end by `on_reply`.
    Send(AttemptSpec),
    /// Cancel an attempt, whose report is no longer needed.
    Cancel(AttemptId),
    /// Call `on_wake` at this time; replaces an earlier wake-up of the run.
    Wake(MonoTime),
    /// Answer the caller; the run's last action.
    Finish(O),
}

/// Load as a target reports it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ReportedLoad {
    /// Requests that it runs.
    pub in_flight: u32,
    /// Requests that it can run at once.
    pub slots: u32,
    /// Requests that wait.
    pub queued: u32,
}

/// How an attempt ended.
#[derive(Clone, Debug)]
pub enum AttemptOutcome {
    /// A search reply with a matching echo.
    Hits {
        /// The hits.
        hits: Vec<SearchHit>,
        /// Load that came with the reply.
        load: Option<ReportedLoad>,
    },
    /// An act's reply with a matching echo.
    Done {
        /// The body as the target wrote it.
        body: Bytes,
        /// Load that came with the reply.
        load: Option<ReportedLoad>,
    },
    /// The target's word that it has not run the attempt and will not.
    Refused {
        /// Whether it did so to shed load.
        shedding: bool,
        /// When it may be asked again.
        retry_after: Option<Duration>,
    },
    /// Refused, not run: the target no longer holds the version.
    VersionGone,
    /// Any other failure.
    Failed {
        /// Whether the attempt may have run.
        verdict: RunVerdict,
        /// Whether a nested call below it was already retried, so that this level does not.
        retried_downstream: bool,
    },
    /// The reply did not echo this attempt and was dropped.
    BadEcho,
    /// No reply by the attempt's deadline.
    TimedOut,
    /// The attempt was cancelled.
    Cancelled {
        /// False on the target's word, or when no byte was sent.
        may_have_run: bool,
    },
}

impl AttemptOutcome {
    /// Whether the attempt has run.
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
