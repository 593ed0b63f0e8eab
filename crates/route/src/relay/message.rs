//! What goes into the state machine of a relayed request and what comes out of it.

use std::{sync::Arc, time::Duration};

use fulmarweir_base::{MonoTime, RunVerdict};

use super::{
    attempt_budget::AttemptCharge,
    crash::{RequestFingerprint, RunEnd},
    link_state::LinkEvidence,
    permit_tables::AttemptPermits,
    selector::RelayTarget,
    shard_group::ShardGroup,
    target_tracker::AttemptSignal,
};
use crate::{AttemptKind, RefusalReason, ReportedLoad};

/// Who sent a request to this VM.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RequestOrigin {
    /// A caller.
    Caller {
        /// Whether the request is handed over to other VMs, since this one has lost its links to
        /// targets, or has just regained them.
        hands_over: bool,
    },
    /// Another VM that has handed it over, so that it is not handed over once more.
    OtherVm {
        /// The sub-requests that were sent before.
        repeats: Vec<RepeatedSubRequest>,
    },
}

impl Default for RequestOrigin {
    fn default() -> Self {
        Self::Caller { hands_over: false }
    }
}

/// A sub-request that another VM has sent before.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RepeatedSubRequest {
    /// Index of the service in [`RelayParams::services`].
    pub sub_request: usize,
    /// Targets on which it may have run.
    pub ran: Vec<Arc<str>>,
    /// If these targets are not known: the data centre to whose fallback target it is restricted.
    pub only_fallback_in: Option<Arc<str>>,
}

/// Parameters of one relayed request.
#[derive(Clone, Debug)]
pub struct RelayParams {
    /// What makes the request the same as others, whatever its id.
    pub fingerprint: RequestFingerprint,
    /// Services that must answer, one sub-request each.
    pub services: Vec<Arc<str>>,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Maximum number of targets per service on which the request may run.
    pub targets_max: u32,
    /// Priority of the route; 0 is the highest.
    pub priority: u32,
    /// Minimum share of the services that must answer.
    pub coverage_min: f64,
    /// Who sent the request to this VM.
    pub origin: RequestOrigin,
    /// Whether another VM handed over the request and assembles the answer. All available answers
    /// are then returned at the soft deadline, and no service is left out earlier.
    pub is_handover: bool,
    /// When an answer with sufficient coverage is returned, even if it is incomplete.
    pub soft_deadline: MonoTime,
    /// When the request is given up.
    pub deadline: MonoTime,
    /// How long to wait for an attempt before a hedge is sent.
    pub hedge_delay: Duration,
    /// Groups of services that are handed over to brokers. Their outcomes must be reported to
    /// [`crate::RelayRun::on_group_end`].
    pub handover_groups: Vec<ShardGroup>,
    /// Services for each of which the VM that handed over the request pays for one extra attempt,
    /// by their index in `services`.
    pub lent_extra: Vec<usize>,
    /// Data centre of a broker that runs the request for another VM, which uses only the fallback
    /// targets there while the broker is silent. They count as used by this request.
    pub reserved_centre: Option<Arc<str>>,
    /// A random number from 0 to 1, by which refused callers return at different times.
    pub retry_spread: f64,
}

/// What is left to do of the services of a group that have no answer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum GroupRemainder {
    /// The broker stopped at the soft deadline; they may be sent again.
    #[default]
    Open,
    /// Nothing: the broker has done what it does for its own callers.
    Done,
    /// The broker has lost its links to targets, so another VM must do all of it.
    LinksLost,
}

/// The outcome of a handover of a group of services, by their index in [`RelayParams::services`].
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct GroupOutcome {
    /// Whether the broker accepted the group, so that it counted the first attempts.
    pub accepted: bool,
    /// Services with an answer.
    pub answered: Vec<usize>,
    /// Services without an answer that may have run.
    pub unclear: Vec<UnclearSubRequest>,
    /// Services without an answer that did not run, since the targets refused all attempts.
    pub refused: Vec<usize>,
    /// Services without an answer for which the broker still has attempts in flight, which are also
    /// in `unclear`. Another outcome of the group follows.
    pub pending: Vec<usize>,
    /// Services for which the broker did not use the lent extra attempt.
    pub unused_loans: Vec<usize>,
    /// Services whose targets ended while they ran the request, with how many did.
    pub crashes: Vec<(usize, u32)>,
    /// What is left to do.
    pub remainder: GroupRemainder,
    /// Whether the broker returned a failure reply of a target, to be forwarded to the caller.
    pub has_failure_reply: bool,
    /// Time after which the caller of a refused request may retry.
    pub retry_after: Option<Duration>,
}

/// A sub-request without an answer that may have run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UnclearSubRequest {
    /// Index of the service in [`RelayParams::services`].
    pub sub_request: usize,
    /// Targets on which the sub-request may have run; empty if they are unknown.
    pub ran: Vec<Arc<str>>,
}

/// The source of the answer of one service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerSource {
    /// The attempt with this number.
    Attempt(u32),
    /// The broker of the group with this index in [`RelayParams::handover_groups`].
    Group(usize),
}

/// One attempt to send.
#[derive(Clone, Debug)]
pub struct RelayAttempt {
    /// Number of the attempt within the request.
    pub attempt: u32,
    /// Index of the service in [`RelayParams::services`].
    pub sub_request: usize,
    /// Target to which the attempt is sent.
    pub target: Arc<RelayTarget>,
    /// Whether to use a new connection, since an earlier attempt at the target got no answer.
    pub new_connection: bool,
    /// How long the connection may stay idle afterwards.
    pub idle_timeout: Duration,
    /// Whether this is the first attempt, a hedge or a retry of the sub-request.
    pub kind: AttemptKind,
    /// How the attempt is charged to the budget of extra attempts.
    pub charge: AttemptCharge,
    /// The permits to send the attempt, if its target needed any when it was chosen.
    pub permits: AttemptPermits,
}

/// How an attempt of a relayed request ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RelayAttemptOutcome {
    /// The target returned a usable answer.
    Answered {
        /// Load that the target reported with the answer.
        load: Option<ReportedLoad>,
    },
    /// The target reported that the request did not run.
    Refused,
    /// Another target now listens at the address; the request did not run.
    Moved,
    /// The request was not sent, since no connection could be established.
    Unreachable,
    /// The request was not sent, since no connection was free.
    NoConnection,
    /// The request was not sent, since the target closed the new connection, as one over its
    /// connection limit does.
    OverLimit,
    /// The request was not sent, since the target asked for time, left or named a limit while the
    /// attempt waited for a connection.
    Withheld,
    /// The target reset a new connection soon after the request was sent; it may have run.
    Rejected,
    /// The target replied with a failure.
    FailureReply,
    /// The connection broke or the answer was unusable; the request may have run.
    Broken,
    /// The connection broke, since the target ended; the request may have run.
    Crashed,
}

impl RelayAttemptOutcome {
    /// Whether the outcome proves that the attempt did not reach its target.
    pub(crate) const fn is_not_sent(self) -> bool {
        matches!(
            self,
            Self::Unreachable | Self::NoConnection | Self::OverLimit | Self::Withheld
        )
    }

    /// Returns what the outcome says about whether the target has ended.
    pub(crate) const fn run_end(self) -> RunEnd {
        match self {
            Self::Answered { .. } => RunEnd::Answered,
            Self::Crashed => RunEnd::Crashed,
            Self::Rejected | Self::Broken => RunEnd::Lost,
            // Another target replied, so this one is gone.
            Self::Moved
            | Self::Unreachable
            | Self::NoConnection
            | Self::OverLimit
            | Self::Withheld => RunEnd::NotSent,
            Self::Refused | Self::FailureReply => RunEnd::Survived,
        }
    }

    /// Returns what the outcome says about the link to the target.
    pub(crate) const fn link_evidence(self) -> LinkEvidence {
        match self {
            Self::Answered { .. } | Self::Refused | Self::Moved | Self::FailureReply => {
                LinkEvidence::Reply
            }
            Self::Unreachable => LinkEvidence::NoConnection,
            Self::OverLimit | Self::Rejected | Self::Broken | Self::Crashed => LinkEvidence::Broken,
            Self::NoConnection | Self::Withheld => LinkEvidence::None,
        }
    }

    /// Returns what the outcome says about the target, for an attempt that took `latency`.
    pub(crate) const fn signal(self, latency: Duration) -> AttemptSignal {
        match self {
            Self::Answered { load } => AttemptSignal::Answered { latency, load },
            Self::Refused | Self::OverLimit | Self::Rejected => AttemptSignal::Refused,
            Self::Moved => AttemptSignal::Moved,
            Self::Unreachable | Self::Crashed => AttemptSignal::Unreachable,
            Self::NoConnection | Self::Withheld => AttemptSignal::Neutral,
            Self::FailureReply | Self::Broken => AttemptSignal::Failed,
        }
    }
}

/// Why a request was refused or given up.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RelayRefusal {
    /// Reason of the refusal.
    pub reason: RefusalReason,
    /// Whether the request may have run.
    pub verdict: RunVerdict,
    /// Time after which the caller may retry.
    pub retry_after: Option<Duration>,
}

/// How a relayed request ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RelayOutcome {
    /// The source of the answer of each sub-request, `None` for those left out.
    Answered(Vec<Option<AnswerSource>>),
    /// The failure reply from this source is forwarded to the caller.
    TargetFailure(AnswerSource),
    /// The request is refused without an answer.
    Refused(RelayRefusal),
}

/// An action that the owner of a [`crate::RelayRun`] must perform.
#[derive(Debug)]
pub enum RelayAction {
    /// Send an attempt, and report its end to [`crate::RelayRun::on_attempt_end`].
    Send(RelayAttempt),
    /// Hand the group with this index over, and report its outcome to
    /// [`crate::RelayRun::on_group_end`].
    HandOver(usize),
    /// Call [`crate::RelayRun::on_wake`] at this time; replaces the previously requested time.
    Wake(MonoTime),
    /// Answer the caller. This is the last action of a request.
    Finish(RelayOutcome),
}
