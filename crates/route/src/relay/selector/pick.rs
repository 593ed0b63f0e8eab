//! Which target gets an attempt.
//!
//! Load patterns: a replica pauses, is slow, is near its limit or has just gone, while other replicas
//! have capacity; a target takes a limited rate of requests, or is cold, so that an attempt needs a
//! permit; a data
//! centre is evacuated, or has just returned.

use std::{sync::Arc, time::Duration};

use fulmarweir_base::MonoTime;
use fulmarweir_permits::RequestRank;

use super::{RelayTarget, TargetSelector, may_get};
use crate::relay::{
    permit_tables::PermitTables,
    placement::PlacementRule,
    target_tracker::{Locality, TargetTracker},
};

/// A target is skipped only if its score exceeds the time limit by this factor, since scores are
/// rough estimates.
const TOO_SLOW_FACTOR: f64 = 1.5;

/// Connections per VM to a target below which they are scarce, so that idle ones are closed early.
///
/// The connections of VMs that lost power stay open at the target and use up its limit, so no idle
/// connection is kept for long.
const CONNECTIONS_SCARCE_BELOW: u32 = 3;
const IDLE_TIMEOUT_MS: u64 = 1_500;
const SCARCE_IDLE_TIMEOUT_NEAR_MS: u64 = 1_500;
const SCARCE_IDLE_TIMEOUT_FAR_MS: u64 = 500;

/// Which targets may be picked, given that another VM may run the same request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TargetChoice {
    /// No other VM runs the request.
    Any,
    /// Another VM may use this target, so it counts as one on which the request may run.
    Reserving(Arc<str>),
    /// Another VM may use all targets but this one, if there is one.
    Only(Option<Arc<str>>),
}

impl TargetChoice {
    fn allows(&self, id: &Arc<str>) -> bool {
        match self {
            Self::Any | Self::Reserving(_) => true,
            Self::Only(only) => only.as_ref() == Some(id),
        }
    }

    fn is_reserved(&self, id: &Arc<str>) -> bool {
        matches!(self, Self::Reserving(reserved) if reserved == id)
    }

    /// Returns the number of targets that another VM may use, besides those in `ran`.
    fn reserved_besides(&self, ran: &[Arc<str>]) -> usize {
        match self {
            Self::Reserving(reserved) => usize::from(!ran.contains(reserved)),
            Self::Any | Self::Only(_) => 0,
        }
    }
}

/// Constraints on the target of one attempt.
#[derive(Debug)]
pub struct PickCriteria<'a> {
    /// Service that must answer.
    pub service: &'a Arc<str>,
    /// Regions in which the request may run.
    pub placement: &'a PlacementRule,
    /// Targets tried since the last pause of the sub-request; they are skipped.
    pub tried: &'a [Arc<str>],
    /// Targets on which the request may have run.
    pub ran: &'a [Arc<str>],
    /// Maximum number of targets on which the request may run.
    pub targets_max: usize,
    /// Whether to skip targets that are down or overloaded, where a hedge is not worth sending.
    pub skip_overloaded: bool,
    /// Which targets another VM that runs the same request leaves to this one.
    pub choice: TargetChoice,
    /// The rank of the request among those that wait for permits.
    pub rank: RequestRank,
    /// Whether the attempt has not waited for a permit yet.
    pub is_new: bool,
    /// Time within which an answer is useful, if the request can be answered without this service.
    pub time_limit: Option<Duration>,
}

/// The result of the selection of a target for one attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TargetPick {
    /// Send the attempt to this target.
    Target {
        /// The target.
        target: Arc<RelayTarget>,
        /// Whether the request may have run at the target already.
        is_repeat: bool,
        /// How long a connection to the target may stay idle.
        idle_timeout: Duration,
    },
    /// Every target is expected to answer too late for the answer to be useful, judging by recent attempts.
    TooSlow,
    /// All connections of this VM to each remaining target are in use.
    AllBusy,
    /// All targets have asked for time; the first of them accepts requests again at this time.
    AllClosed(MonoTime),
    /// This target with a limit suits best and has no permit, but a keeper can be asked for one.
    /// Another target has room.
    AwaitPermit(Arc<RelayTarget>),
    /// All targets that are left have a limit and no permit.
    AllLimited {
        /// The best of them.
        target: Arc<RelayTarget>,
        /// When a permit for it can be expected.
        expected_at: MonoTime,
    },
    /// All targets were tried.
    AllTried,
    /// The service has no target that may get the request.
    NoTarget,
}

impl TargetSelector {
    /// Selects the target with the lowest score, i.e. the one that is expected to answer first.
    #[must_use]
    pub fn pick(&mut self, criteria: &PickCriteria<'_>, now: MonoTime) -> TargetPick {
        let vms = self.burst_share.latest_vm_count();
        let Some(state) = self.services.get(criteria.service) else {
            return TargetPick::NoTarget;
        };
        let choice = &criteria.choice;
        let used = criteria.ran.len() + choice.reserved_besides(criteria.ran);
        let at_target_limit = used >= criteria.targets_max;
        let mut best: Option<PickCandidate<'_>> = None;
        // Targets with a limit, or cold ones, for which this VM has no permit.
        let mut without_permit: Vec<PickCandidate<'_>> = Vec::new();
        let mut has_allowed = false;
        let mut has_open = false;
        let mut has_busy = false;
        let mut reopens_at: Option<MonoTime> = None;
        let is_allowed = |tracker: &&TargetTracker| {
            may_get(tracker, criteria.placement, now) && choice.allows(&tracker.target.id)
        };
        for tracker in state.trackers.iter().filter(is_allowed) {
            has_allowed = true;
            let is_repeat = criteria.ran.contains(&tracker.target.id);
            let may_use_reserved =
                criteria.ran.len() < criteria.targets_max && choice.is_reserved(&tracker.target.id);
            if at_target_limit && !is_repeat && !may_use_reserved {
                continue;
            }
            if let Some(until) = tracker.notice.closed_until(now) {
                reopens_at = Some(reopens_at.map_or(until, |earliest| earliest.min(until)));
                continue;
            }
            has_open = true;
            if criteria.tried.contains(&tracker.target.id) {
                continue;
            }
            if !tracker.has_free_connection()
                || !tracker.accepts_requests(now)
                || (criteria.skip_overloaded
                    && (tracker.is_down(now) || tracker.is_overloaded(now)))
            {
                has_busy = true;
                continue;
            }
            let ticket = criteria.rank.ticket;
            let candidate = PickCandidate {
                tracker,
                is_held_back: tracker.centre_state.holds_back(ticket, now),
                score: tracker.score(state.latency_ms, now),
                is_repeat,
            };
            if !self.permits.allows(&tracker.target, criteria.rank, now) {
                without_permit.push(candidate);
            } else if best.as_ref().is_none_or(|best| candidate.is_better(best)) {
                best = Some(candidate);
            }
        }
        let permits = &mut self.permits;
        if best.is_none() && !has_busy && !without_permit.is_empty() {
            return pick_limited(permits, &without_permit, criteria, vms, now);
        }
        if criteria.is_new {
            without_permit.retain(|c| best.as_ref().is_none_or(|best| c.is_better(best)));
            if let Some(target) = permit_worth_asking(permits, &without_permit, criteria.rank, now)
            {
                return TargetPick::AwaitPermit(target);
            }
            if let Some(best) = &best {
                permits.record_demand(&best.tracker.target, now);
            }
        }
        let is_too_slow = |best: &PickCandidate<'_>| {
            let limit_ms = criteria
                .time_limit
                .map(|limit| limit.as_secs_f64() * 1000.0);
            limit_ms.is_some_and(|limit_ms| best.score > limit_ms * TOO_SLOW_FACTOR)
                && best.tracker.is_measured(now)
        };
        match (best, reopens_at) {
            (Some(best), _) if is_too_slow(&best) => TargetPick::TooSlow,
            (Some(best), _) => TargetPick::Target {
                target: Arc::clone(&best.tracker.target),
                is_repeat: best.is_repeat,
                idle_timeout: idle_timeout(best.tracker),
            },
            (None, _) if has_busy => TargetPick::AllBusy,
            (None, Some(reopens_at)) if !has_open => TargetPick::AllClosed(reopens_at),
            (None, _) if has_allowed => TargetPick::AllTried,
            (None, _) => TargetPick::NoTarget,
        }
    }
}

/// A target that an attempt may be sent to.
struct PickCandidate<'a> {
    tracker: &'a TargetTracker,
    score: f64,
    is_repeat: bool,
    /// Whether the target's data centre gets only a part of its load yet.
    is_held_back: bool,
}

impl PickCandidate<'_> {
    /// Whether this target is better than `other`. One that leaves, or whose data centre has only just
    /// returned, is used only if there is no other.
    fn is_better(&self, other: &Self) -> bool {
        let is_last = |c: &Self| c.is_held_back || c.tracker.notice.is_leaving();
        match (is_last(self), is_last(other)) {
            (false, true) => true,
            (true, false) => false,
            _ => self.score < other.score,
        }
    }
}

/// Picks one of the targets with a limit for which this VM has no permit, given that there is no
/// other target: the one for which a permit can be expected first.
fn pick_limited(
    permits: &mut PermitTables,
    candidates: &[PickCandidate<'_>],
    criteria: &PickCriteria<'_>,
    vms: u32,
    now: MonoTime,
) -> TargetPick {
    let expected = candidates.iter().map(|candidate| {
        let target = &candidate.tracker.target;
        let expected_at = permits.permit_expected_at(target, criteria.rank, vms, now);
        (expected_at, target)
    });
    let Some((expected_at, target)) = expected.min_by_key(|(expected_at, _)| *expected_at) else {
        return TargetPick::NoTarget;
    };
    if criteria.is_new {
        permits.record_demand(target, now);
    }
    TargetPick::AllLimited {
        target: Arc::clone(target),
        expected_at,
    }
}

/// Returns the best of the targets for which keepers can be asked for a permit now, all of which suit
/// a request better than those that it may be sent to.
fn permit_worth_asking(
    permits: &mut PermitTables,
    candidates: &[PickCandidate<'_>],
    rank: RequestRank,
    now: MonoTime,
) -> Option<Arc<RelayTarget>> {
    let by_score = |a: &&PickCandidate<'_>, b: &&PickCandidate<'_>| a.score.total_cmp(&b.score);
    let best = candidates.iter().min_by(by_score)?;
    permits.record_demand(&best.tracker.target, now);
    let askable = candidates
        .iter()
        .filter(|candidate| permits.can_ask(&candidate.tracker.target, rank, now));
    let asked = askable.min_by(by_score)?;
    Some(Arc::clone(&asked.tracker.target))
}

/// Returns how long a connection to a target may stay idle.
fn idle_timeout(tracker: &TargetTracker) -> Duration {
    let scarce = tracker.connection_share < CONNECTIONS_SCARCE_BELOW;
    Duration::from_millis(match (scarce, tracker.target.locality) {
        (false, _) => IDLE_TIMEOUT_MS,
        (true, Locality::Far) => SCARCE_IDLE_TIMEOUT_FAR_MS,
        (true, Locality::Centre | Locality::Region) => SCARCE_IDLE_TIMEOUT_NEAR_MS,
    })
}
