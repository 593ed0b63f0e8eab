//! The progress of one shard of a search.

use std::{sync::Arc, time::Duration};

use fulmarweir_base::{MonoTime, RunVerdict, TargetRecord};

use crate::{AttemptKind, AttemptOutcome, RetryReason};

/// The state of one shard of a search.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ShardState {
    /// The shard has no hits yet.
    Pending,
    /// The hits of the shard have arrived.
    Answered,
    /// No target in the view holds the shard in the pinned version.
    NoHolder,
    /// An attempt ended in a way that rules out a retry.
    Failed,
}

/// The progress of one shard of a search.
#[derive(Clone, Debug)]
pub(crate) struct ShardProgress {
    pub(crate) shard: u32,
    pub(crate) state: ShardState,
    pub(crate) in_flight: u32,
    pub(crate) hedges: u32,
    pub(crate) retries: u32,
    pub(crate) last_sent_at: MonoTime,
    /// Targets that the next attempt skips. Cleared once every holder has been tried.
    pub(crate) tried: Vec<Arc<TargetRecord>>,
    /// The next retry, if one is scheduled.
    pub(crate) retry: Option<PendingRetry>,
}

/// A retry that waits for its time or for the budget.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingRetry {
    pub(crate) at: MonoTime,
    pub(crate) reason: RetryReason,
    /// Whether the failed attempt did not run and was not shed, so that it cost its target nothing.
    pub(crate) costless: bool,
}

impl PendingRetry {
    /// Creates an immediate retry after a reply that the target no longer holds the version.
    pub(crate) fn version_gone(now: MonoTime) -> Self {
        Self {
            at: now,
            reason: RetryReason::VersionGone,
            costless: true,
        }
    }

    /// Creates an immediate retry after `outcome`.
    pub(crate) fn after(outcome: &AttemptOutcome, now: MonoTime) -> Self {
        let reason = outcome.retry_reason();
        let not_run = outcome.verdict() == RunVerdict::NotRun;
        Self {
            at: now,
            reason,
            costless: not_run && reason != RetryReason::Shed,
        }
    }

    /// Returns the same retry, due `pause_ms` after `now`.
    pub(crate) fn postponed(self, now: MonoTime, pause_ms: u64) -> Self {
        Self {
            at: now + Duration::from_millis(pause_ms),
            ..self
        }
    }
}

impl ShardProgress {
    pub(crate) fn new(shard: u32) -> Self {
        Self {
            shard,
            state: ShardState::Pending,
            in_flight: 0,
            hedges: 0,
            retries: 0,
            last_sent_at: MonoTime::ZERO,
            tried: Vec::new(),
            retry: None,
        }
    }

    pub(crate) fn attempt_sent(
        &mut self,
        target: &Arc<TargetRecord>,
        kind: AttemptKind,
        now: MonoTime,
    ) {
        self.in_flight += 1;
        self.last_sent_at = now;
        self.retry = None;
        self.tried.push(Arc::clone(target));
        match kind {
            AttemptKind::Hedge => self.hedges += 1,
            AttemptKind::Retry(_) => self.retries += 1,
            AttemptKind::First | AttemptKind::Restart => {}
        }
    }

    /// Whether the shard is pending with an attempt in flight.
    pub(crate) fn is_in_flight(&self) -> bool {
        self.state == ShardState::Pending && self.in_flight > 0
    }
}
