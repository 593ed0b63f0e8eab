//! When a search is over, and what its caller gets.

use fulmarweir_base::{MonoTime, RunVerdict};

use super::{RunStep, SearchAction, SearchRun, ShardState};
use crate::{AttemptKind, RefusalReason, RouteAction, RouteRefusal, SearchHit, merge_hits};

/// What a run sent, for metrics.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RunStats {
    /// First attempts.
    pub first_attempts: u32,
    /// Hedges.
    pub hedges: u32,
    /// Hedges that answered before the attempt that they hedged.
    pub hedge_wins: u32,
    /// Retries.
    pub retries: u32,
    /// Times that the search started over on a newer version.
    pub restarts: u32,
}

impl RunStats {
    pub(crate) fn count(&mut self, kind: AttemptKind) {
        match kind {
            AttemptKind::First => self.first_attempts += 1,
            AttemptKind::Hedge => self.hedges += 1,
            AttemptKind::Retry(_) => self.retries += 1,
            AttemptKind::Restart => {}
        }
    }
}

/// The answer to a search: hits of one version only.
#[derive(Clone, Debug)]
pub struct SearchAnswer {
    /// Version that every hit is of.
    pub version: u64,
    /// Shards that the request asked for.
    pub shards: u32,
    /// Shards whose hits are included.
    pub answered: u32,
    /// Shards whose hits are not included.
    pub missing: Vec<u32>,
    /// Merged hits.
    pub hits: Vec<SearchHit>,
}

impl SearchAnswer {
    /// Whether every shard is included.
    #[must_use]
    pub fn is_whole(&self) -> bool {
        self.answered == self.shards
    }
}

/// How a search ended.
#[derive(Clone, Debug)]
pub struct SearchOutcome {
    /// The answer, or why there is none.
    pub answer: std::result::Result<SearchAnswer, RouteRefusal>,
    /// What the run sent.
    pub stats: RunStats,
}

fn count(shards: usize) -> u32 {
    u32::try_from(shards).unwrap_or(u32::MAX)
}

impl SearchRun {
    /// Ends the step: finishes if it is time, else sets the next wake-up.
    pub(crate) fn conclude(&mut self, mut step: RunStep<'_>) -> Vec<SearchAction> {
        if self.is_over(step.now) {
            self.finish(&mut step);
            return step.actions;
        }
        let wake_at = self.next_wake(step.now);
        if self.wake_at != Some(wake_at) {
            self.wake_at = Some(wake_at);
            step.actions.push(RouteAction::Wake(wake_at));
        }
        step.actions
    }

    fn is_over(&self, now: MonoTime) -> bool {
        if now >= self.deadline || self.replies.len() == self.shards.len() {
            return true;
        }
        if self.prefers_latency() && now >= self.soft_deadline && self.covers_enough() {
            return true;
        }
        if self.awaits_rollout(now) {
            return false;
        }
        // Nothing is in flight, and no target that could be asked is left.
        self.shards.iter().all(|one| one.state != ShardState::Open)
    }

    /// Whether to wait for a view that shows where a shard that has just moved is.
    fn awaits_rollout(&self, now: MonoTime) -> bool {
        self.rollout && !self.prefers_latency() && now < self.soft_deadline
    }

    /// When the answer is due at the latest, as it stands now.
    pub(crate) fn answer_due(&self, now: MonoTime) -> MonoTime {
        let soft = self.prefers_latency() && now < self.soft_deadline && self.covers_enough();
        if soft {
            self.soft_deadline
        } else {
            self.deadline
        }
    }

    /// Whether at least one shard and the service's minimum coverage are in.
    fn covers_enough(&self) -> bool {
        #[expect(clippy::cast_precision_loss, reason = "shard counts are small")]
        let coverage = self.replies.len() as f64 / self.shards.len().max(1) as f64;
        !self.replies.is_empty() && coverage >= self.plan.min_coverage
    }

    fn next_wake(&self, now: MonoTime) -> MonoTime {
        let mut wake_at = self.deadline;
        if self.soft_deadline > now && (self.prefers_latency() || self.rollout) {
            wake_at = wake_at.min(self.soft_deadline);
        }
        self.next_extra(now)
            .map_or(wake_at, |extra| wake_at.min(extra))
    }

    fn finish(&mut self, step: &mut RunStep<'_>) {
        self.finished = true;
        let verdict = self.attempts.verdict();
        self.cancel_in_flight(None, step.now, &mut step.actions);
        self.permit.mark_active(step.now);
        let answer = if self.covers_enough() {
            Ok(self.take_answer())
        } else {
            Err(self.refusal(verdict, step.now))
        };
        let stats = self.stats;
        let outcome = SearchOutcome { answer, stats };
        step.actions.push(RouteAction::Finish(outcome));
    }

    fn take_answer(&mut self) -> SearchAnswer {
        let replies = std::mem::take(&mut self.replies);
        let answered = count(replies.len());
        let is_missing = |one: &&super::ShardProgress| one.state != ShardState::Answered;
        let missing = self.shards.iter().filter(is_missing);
        SearchAnswer {
            version: self.version,
            shards: count(self.shards.len()),
            answered,
            missing: missing.map(|one| one.shard).collect(),
            hits: merge_hits(replies, self.params.limit),
        }
    }

    fn refusal(&self, verdict: RunVerdict, now: MonoTime) -> RouteRefusal {
        let reason = if !self.replies.is_empty() {
            RefusalReason::LowCoverage
        } else if verdict == RunVerdict::NotRun && self.stats.first_attempts > 0 {
            RefusalReason::TargetsRefused
        } else if now >= self.deadline {
            RefusalReason::Deadline
        } else {
            RefusalReason::NoTargets
        };
        RouteRefusal {
            reason,
            verdict,
            retry_after: Some(self.hedge_delay()),
        }
    }
}
