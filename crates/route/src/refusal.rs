//! Final refusals, each with a reason, a run verdict and a time to come back.

use std::{fmt, time::Duration};

use fulmarweir_base::RunVerdict;

/// Result of a decision that may refuse a request.
pub(crate) type Result<T> = std::result::Result<T, RouteRefusal>;

/// Why a request is refused.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum RefusalReason {
    /// The admission queue of the service is full.
    QueueFull,
    /// The request cannot be answered before its deadline.
    TooLate,
    /// No live target holds a version that satisfies the caller's minimum.
    MinVersion,
    /// No live target holds any shard that the request needs.
    NoTargets,
    /// Fewer shards answered than the service's minimum coverage.
    LowCoverage,
    /// The targets refused the request without running it.
    TargetsRefused,
    /// The deadline passed before an answer was complete.
    Deadline,
    /// An attempt may have run, so the request is not sent again.
    Undecided,
}

impl RefusalReason {
    /// Every reason, for metrics that list all labels from the start.
    pub const ALL: [Self; 8] = [
        Self::QueueFull,
        Self::TooLate,
        Self::MinVersion,
        Self::NoTargets,
        Self::LowCoverage,
        Self::TargetsRefused,
        Self::Deadline,
        Self::Undecided,
    ];

    /// The label of this reason in metrics and error bodies; it never changes.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::QueueFull => "queue-full",
            Self::TooLate => "too-late",
            Self::MinVersion => "min-version",
            Self::NoTargets => "no-targets",
            Self::LowCoverage => "low-coverage",
            Self::TargetsRefused => "targets-refused",
            Self::Deadline => "deadline",
            Self::Undecided => "undecided",
        }
    }
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The caller's final answer when a request is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RouteRefusal {
    /// Why.
    pub reason: RefusalReason,
    /// Whether the request may have run at a target.
    pub verdict: RunVerdict,
    /// When the caller may try again; `None` when trying again is no use or not safe.
    pub retry_after: Option<Duration>,
}

impl RouteRefusal {
    /// A refusal of a request of which no attempt was sent.
    #[must_use]
    pub const fn not_run(reason: RefusalReason, retry_after: Option<Duration>) -> Self {
        Self {
            reason,
            verdict: RunVerdict::NotRun,
            retry_after,
        }
    }
}

impl fmt::Display for RouteRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "refused: {} ({})", self.reason, self.verdict)
    }
}

impl std::error::Error for RouteRefusal {}
