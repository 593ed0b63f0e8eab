//! The attempts of one run, with their effect on the service's shared state.

use std::{sync::Arc, time::Duration};

use fulmarweir_base::{MonoTime, RunVerdict, TargetRecord, lock};

use crate::{
    AttemptId, AttemptKind, AttemptOutcome, AttemptSpec, ServiceState, limit::LimitSignal,
    load::TargetSignal,
};

/// An attempt that has not ended.
#[derive(Clone, Debug)]
pub(crate) struct OpenAttempt {
    pub(crate) target: Arc<TargetRecord>,
    pub(crate) version: u64,
    pub(crate) shard: u32,
    pub(crate) kind: AttemptKind,
    sent_at: MonoTime,
}

/// All attempts of a run by number; ended ones leave an empty place.
#[derive(Debug, Default)]
pub(crate) struct AttemptTable {
    attempts: Vec<Option<OpenAttempt>>,
    open: usize,
    verdict: Option<RunVerdict>,
}

impl AttemptTable {
    pub(crate) fn open_count(&self) -> usize {
        self.open
    }

    /// Whether any attempt may have run; open ones may.
    pub(crate) fn verdict(&self) -> RunVerdict {
        let ended = self.verdict.unwrap_or(RunVerdict::NotRun);
        if self.open == 0 {
            return ended;
        }
        ended.combine(RunVerdict::MayHaveRun)
    }

    pub(crate) fn send(&mut self, order: &mut AttemptSpec, state: &ServiceState, now: MonoTime) {
        let number = u32::try_from(self.attempts.len()).unwrap_or(u32::MAX);
        order.attempt = AttemptId::new(number);
        state.table.attempt_sent(&order.target, now);
        self.attempts.push(Some(OpenAttempt {
            target: Arc::clone(&order.target),
            version: order.version,
            shard: order.shard,
            kind: order.kind,
            sent_at: now,
        }));
        self.open += 1;
    }

    /// Ends an attempt; `None` when it has ended before, as with a doubled or late reply.
    pub(crate) fn end(
        &mut self,
        id: AttemptId,
        outcome: &AttemptOutcome,
        state: &ServiceState,
        now: MonoTime,
    ) -> Option<OpenAttempt> {
        let attempt = self.close(id)?;
        self.note_verdict(outcome.verdict());
        let latency = now.since(attempt.sent_at);
        if let Some(signal) = limit_signal(outcome, latency) {
            state.signal_limit(signal, now);
        }
        if let AttemptOutcome::Hits { .. } | AttemptOutcome::Done { .. } = outcome {
            lock(&state.latency).record(now, latency);
        }
        let signal = target_signal(outcome, attempt.version, latency);
        state.table.attempt_ended(&attempt.target, signal, now);
        Some(attempt)
    }

    /// Gives up an attempt whose outcome no longer matters.
    pub(crate) fn abandon(&mut self, id: AttemptId, state: &ServiceState, now: MonoTime) -> bool {
        let Some(attempt) = self.close(id) else {
            return false;
        };
        self.note_verdict(RunVerdict::MayHaveRun);
        let elapsed = now.since(attempt.sent_at);
        lock(&state.latency).record_unfinished(now, elapsed);
        let signal = TargetSignal::Abandoned { elapsed };
        state.table.attempt_ended(&attempt.target, signal, now);
        true
    }

    /// Gives up all open attempts of a run that is dropped.
    pub(crate) fn abandon_all(&mut self, state: &ServiceState, now: MonoTime) {
        if self.open == 0 {
            return;
        }
        for id in self.open_ids(None) {
            self.abandon(id, state, now);
        }
    }

    /// Numbers of the open attempts, of one shard or of all.
    pub(crate) fn open_ids(&self, shard: Option<u32>) -> Vec<AttemptId> {
        let wanted = |attempt: &OpenAttempt| shard.is_none_or(|shard| attempt.shard == shard);
        (0..)
            .zip(&self.attempts)
            .filter(|(_, attempt)| attempt.as_ref().is_some_and(wanted))
            .map(|(number, _)| AttemptId::new(number))
            .collect()
    }

    fn close(&mut self, id: AttemptId) -> Option<OpenAttempt> {
        let place = self.attempts.get_mut(id.number() as usize)?;
        let attempt = place.take()?;
        self.open -= 1;
        Some(attempt)
    }

    fn note_verdict(&mut self, verdict: RunVerdict) {
        self.verdict = Some(self.verdict.map_or(verdict, |known| known.combine(verdict)));
    }
}

fn limit_signal(outcome: &AttemptOutcome, latency: Duration) -> Option<LimitSignal> {
    match outcome {
        AttemptOutcome::Hits { .. } | AttemptOutcome::Done { .. } => {
            Some(LimitSignal::Answered(latency))
        }
        AttemptOutcome::Refused { shedding: true, .. } | AttemptOutcome::TimedOut => {
            Some(LimitSignal::Overloaded)
        }
        _ => None,
    }
}

fn target_signal(outcome: &AttemptOutcome, version: u64, latency: Duration) -> TargetSignal {
    match outcome {
        AttemptOutcome::Hits { load, .. } | AttemptOutcome::Done { load, .. } => {
            let load = *load;
            TargetSignal::Answered { latency, load }
        }
        AttemptOutcome::Refused { retry_after, .. } => TargetSignal::Refused {
            retry_after: *retry_after,
        },
        AttemptOutcome::VersionGone => TargetSignal::VersionGone { version },
        AttemptOutcome::Failed { .. } | AttemptOutcome::BadEcho | AttemptOutcome::TimedOut => {
            TargetSignal::Failed
        }
        AttemptOutcome::Cancelled { .. } => TargetSignal::Abandoned { elapsed: latency },
    }
}
