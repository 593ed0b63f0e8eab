//! How far one shard of a search has come.

use std::{sync::Arc, time::Duration};

use fulmarweir_base::{MonoTime, RunVerdict, TargetRecord};

use crate::{AttemptKind, AttemptOutcome, RetryReason};

/// Whether a shard's hits are in.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ShardState {
    /// Awaits hits.
    Open,
    /// Its hits are in the answer.
    Answered,
    /// No target in the view holds it in the pinned version.
    Lost,
    /// An attempt ended in a way that forbids another.
    Failed,
}

/// One shard of a search.
#[derive(Clone, Debug)]
pub(crate) struct ShardProgress {
    pub(crate) shard: u32,
    pub(crate) state: ShardState,
    pub(crate) in_flight: u32,
    pub(crate) hedges: u32,
    pub(crate) retries: u32,
    pub(crate) sent_at: MonoTime,
    /// Targets asked since the last time that all had been asked.
    pub(crate) tried: Vec<Arc<TargetRecord>>,
    /// The attempt that is to follow, and why.
    pub(crate) retry: Option<PendingRetry>,
}

/// An attempt that waits for its time or for the budget.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingRetry {
    pub(crate) at: MonoTime,
    pub(crate) reason: RetryReason,
    /// Whether the attempt before it cost its target nothing and was not shed.
    pub(crate) free: bool,
}

impl PendingRetry {
    /// A retry at once, after a target said that it no longer holds the version.
    pub(crate) fn version_gone(now: MonoTime) -> Self {
        Self {
            at: now,
            reason: RetryReason::VersionGone,
            free: true,
        }
    }

    /// A retry at once after `outcome`.
    pub(crate) fn after(outcome: &AttemptOutcome, now: MonoTime) -> Self {
        let reason = outcome.retry_reason();
        let not_run = outcome.verdict() == RunVerdict::NotRun;
        Self {
            at: now,
            reason,
            free: not_run && reason != RetryReason::Shed,
        }
    }

    /// The same retry, after a pause.
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
            state: ShardState::Open,
            in_flight: 0,
            hedges: 0,
            retries: 0,
            sent_at: MonoTime::ZERO,
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
        self.sent_at = now;
        self.retry = None;
        self.tried.push(Arc::clone(target));
        match kind {
            AttemptKind::Hedge => self.hedges += 1,
            AttemptKind::Retry(_) => self.retries += 1,
            AttemptKind::First | AttemptKind::Restart => {}
        }
    }

    /// Open with an attempt in flight.
    pub(crate) fn is_waiting(&self) -> bool {
        self.state == ShardState::Open && self.in_flight > 0
    }
}
