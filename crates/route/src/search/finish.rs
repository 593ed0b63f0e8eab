//! The end of a search: when it finishes, and with which answer or refusal.

use fulmarweir_base::{MonoTime, RunVerdict};

use super::{RunStep, SearchAction, SearchRun, ShardState};
use crate::{AttemptKind, RefusalReason, RouteAction, RouteRefusal, SearchHit, merge_hits};

/// Counts of the attempts that a run sent, for metrics.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RunStats {
    /// First attempts sent.
    pub first_attempts: u32,
    /// Hedges sent.
    pub hedges: u32,
    /// Hedges that were answered before the attempt that they hedged.
    pub hedge_wins: u32,
    /// Retries sent.
    pub retries: u32,
    /// Restarts of the search on a newer version.
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

/// The answer to a search. All its hits are from one index version.
#[derive(Clone, Debug)]
pub struct SearchAnswer {
    /// Index version of the hits.
    pub version: u64,
    /// Number of shards that the request needs.
    pub shards: u32,
    /// Number of shards whose hits are included.
    pub answered: u32,
    /// Shards whose hits are missing.
    pub missing: Vec<u32>,
    /// Hits of all included shards, merged.
    pub hits: Vec<SearchHit>,
}

impl SearchAnswer {
    /// Whether the hits of every shard are included.
    #[must_use]
    pub fn is_whole(&self) -> bool {
        self.answered == self.shards
    }
}

/// The result of a search.
#[derive(Clone, Debug)]
pub struct SearchOutcome {
    /// The answer, or the refusal of the request.
    pub answer: std::result::Result<SearchAnswer, RouteRefusal>,
    /// Counts of the attempts sent.
    pub stats: RunStats,
}

fn shard_count(shards: usize) -> u32 {
    u32::try_from(shards).unwrap_or(u32::MAX)
}

impl SearchRun {
    /// Ends a step: finishes the search if it is done, or else schedules the next wake-up.
    pub(crate) fn finish_step(&mut self, mut step: RunStep<'_>) -> Vec<SearchAction> {
        if self.is_done(step.now) {
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

    fn is_done(&self, now: MonoTime) -> bool {
        if now >= self.deadline || self.replies.len() == self.shards.len() {
            return true;
        }
        if self.prefers_latency() && now >= self.soft_deadline && self.meets_min_coverage() {
            return true;
        }
        if self.waits_for_rollout(now) {
            return false;
        }
        // Nothing is in flight, and no shard has a target left to try.
        self.shards
            .iter()
            .all(|progress| progress.state != ShardState::Pending)
    }

    /// Whether to wait for a view that contains the holders of a shard that has just moved.
    fn waits_for_rollout(&self, now: MonoTime) -> bool {
        self.rollout && !self.prefers_latency() && now < self.soft_deadline
    }

    /// Returns the time by which the search finishes at the latest, given the replies so far.
    pub(crate) fn answer_deadline(&self, now: MonoTime) -> MonoTime {
        let soft = self.prefers_latency() && now < self.soft_deadline && self.meets_min_coverage();
        if soft {
            self.soft_deadline
        } else {
            self.deadline
        }
    }

    /// Whether at least one shard has been answered and the service's minimum coverage is met.
    fn meets_min_coverage(&self) -> bool {
        #[expect(clippy::cast_precision_loss, reason = "shard counts are small")]
        let coverage = self.replies.len() as f64 / self.shards.len().max(1) as f64;
        !self.replies.is_empty() && coverage >= self.service_config.coverage_min
    }

    fn next_wake(&self, now: MonoTime) -> MonoTime {
        let mut wake_at = self.deadline;
        if self.soft_deadline > now && (self.prefers_latency() || self.rollout) {
            wake_at = wake_at.min(self.soft_deadline);
        }
        self.next_extra_attempt(now)
            .map_or(wake_at, |extra| wake_at.min(extra))
    }

    fn finish(&mut self, step: &mut RunStep<'_>) {
        self.finished = true;
        let verdict = self.attempts.verdict();
        self.cancel_in_flight(None, step.now, &mut step.actions);
        self.permit.mark_active(step.now);
        let answer = if self.meets_min_coverage() {
            Ok(self.build_answer())
        } else {
            Err(self.refusal(verdict, step.now))
        };
        let stats = self.stats;
        let outcome = SearchOutcome { answer, stats };
        step.actions.push(RouteAction::Finish(outcome));
    }

    fn build_answer(&mut self) -> SearchAnswer {
        let replies = std::mem::take(&mut self.replies);
        let answered = shard_count(replies.len());
        let is_missing = |progress: &&super::ShardProgress| progress.state != ShardState::Answered;
        let missing = self.shards.iter().filter(is_missing);
        SearchAnswer {
            version: self.version,
            shards: shard_count(self.shards.len()),
            answered,
            missing: missing.map(|progress| progress.shard).collect(),
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
