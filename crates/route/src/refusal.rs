//! Refusals of requests, each with a reason, a run verdict and a retry delay.

use std::{fmt, time::Duration};

use fulmarweir_base::RunVerdict;

/// The result of an operation that may refuse a request.
pub(crate) type Result<T> = std::result::Result<T, RouteRefusal>;

/// Why a request is refused.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum RefusalReason {
    /// The admission queue of the service is full.
    QueueFull,
    /// The request cannot be answered in time.
    TooLate,
    /// No usable target holds the caller's minimum version or a newer one.
    MinVersion,
    /// No usable target holds any shard that the request needs.
    NoTargets,
    /// Fewer shards answered than the service's minimum coverage requires.
    LowCoverage,
    /// Targets refused the request without running it.
    TargetsRefused,
    /// Targets have asked for time and get no requests until it has passed.
    TargetsClosed,
    /// Targets take only a limited rate of requests, and others come first.
    TargetsLimited,
    /// Targets are cold and tolerate only a limited rate of requests, and others come first.
    ColdRate,
    /// The request has ended the targets that ran it, so none gets it for a time.
    Quarantined,
    /// This VM has lost its links to targets, and no other VM takes the request.
    LinksLost,
    /// The deadline passed before an answer was complete.
    Deadline,
    /// An attempt may have run, so the request is not retried.
    Undecided,
}

impl RefusalReason {
    /// Every reason, for metrics that export all labels from the start.
    pub const ALL: [Self; 13] = [
        Self::QueueFull,
        Self::TooLate,
        Self::MinVersion,
        Self::NoTargets,
        Self::LowCoverage,
        Self::TargetsRefused,
        Self::TargetsClosed,
        Self::TargetsLimited,
        Self::ColdRate,
        Self::Quarantined,
        Self::LinksLost,
        Self::Deadline,
        Self::Undecided,
    ];

    /// Returns the label of this reason in metrics and error bodies. Labels never change.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::QueueFull => "queue-full",
            Self::TooLate => "too-late",
            Self::MinVersion => "min-version",
            Self::NoTargets => "no-targets",
            Self::LowCoverage => "low-coverage",
            Self::TargetsRefused => "targets-refused",
            Self::TargetsClosed => "targets-closed",
            Self::TargetsLimited => "targets-limited",
            Self::ColdRate => "cold-rate",
            Self::Quarantined => "request-quarantined",
            Self::LinksLost => "links-lost",
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

/// The final refusal of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RouteRefusal {
    /// Why the request is refused.
    pub reason: RefusalReason,
    /// Whether the request may have run at a target.
    pub verdict: RunVerdict,
    /// Delay after which the caller may retry; `None` if a retry would be useless or unsafe.
    pub retry_after: Option<Duration>,
}

impl RouteRefusal {
    /// Creates the refusal of a request for which no attempt was sent.
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
