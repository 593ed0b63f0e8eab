//! The attempts of one run, and what their ends contribute to the state of the service.

use std::{sync::Arc, time::Duration};

use fulmarweir_base::{MonoTime, RunVerdict, TargetRecord, lock};

use crate::{
    AttemptId, AttemptKind, AttemptOutcome, AttemptSpec, ServiceState, limit::LimitSignal,
    load::TargetSignal,
};

/// An attempt in flight.
#[derive(Clone, Debug)]
pub(crate) struct InFlightAttempt {
    pub(crate) target: Arc<TargetRecord>,
    pub(crate) version: u64,
    pub(crate) shard: u32,
    pub(crate) kind: AttemptKind,
    sent_at: MonoTime,
}

/// All attempts of a run, indexed by number; the entry of an ended attempt is `None`.
#[derive(Debug, Default)]
pub(crate) struct AttemptTable {
    attempts: Vec<Option<InFlightAttempt>>,
    in_flight: usize,
    verdict: Option<RunVerdict>,
}

impl AttemptTable {
    pub(crate) fn in_flight_count(&self) -> usize {
        self.in_flight
    }

    /// Returns whether any attempt has run or may have run. Attempts in flight may have run.
    pub(crate) fn verdict(&self) -> RunVerdict {
        let ended = self.verdict.unwrap_or(RunVerdict::NotRun);
        if self.in_flight == 0 {
            return ended;
        }
        ended.combine(RunVerdict::MayHaveRun)
    }

    /// Adds an attempt and assigns its number.
    pub(crate) fn send(&mut self, spec: &mut AttemptSpec, state: &ServiceState, now: MonoTime) {
        let number = u32::try_from(self.attempts.len()).unwrap_or(u32::MAX);
        spec.attempt = AttemptId::new(number);
        state.table.attempt_sent(&spec.target, now);
        self.attempts.push(Some(InFlightAttempt {
            target: Arc::clone(&spec.target),
            version: spec.version,
            shard: spec.shard,
            kind: spec.kind,
            sent_at: now,
        }));
        self.in_flight += 1;
    }

    /// Ends an attempt. Returns `None` if it has ended before, as with a duplicate or late reply.
    pub(crate) fn end(
        &mut self,
        id: AttemptId,
        outcome: &AttemptOutcome,
        state: &ServiceState,
        now: MonoTime,
    ) -> Option<InFlightAttempt> {
        let attempt = self.remove(id)?;
        self.record_verdict(outcome.verdict());
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

    /// Ends an attempt whose outcome no longer matters; returns false if it has ended before.
    pub(crate) fn abandon(&mut self, id: AttemptId, state: &ServiceState, now: MonoTime) -> bool {
        let Some(attempt) = self.remove(id) else {
            return false;
        };
        self.record_verdict(RunVerdict::MayHaveRun);
        let elapsed = now.since(attempt.sent_at);
        lock(&state.latency).record_unfinished(now, elapsed);
        let signal = TargetSignal::Abandoned { elapsed };
        state.table.attempt_ended(&attempt.target, signal, now);
        true
    }

    /// Ends all attempts in flight of a run that is dropped.
    pub(crate) fn abandon_all(&mut self, state: &ServiceState, now: MonoTime) {
        if self.in_flight == 0 {
            return;
        }
        for id in self.in_flight_ids(None) {
            self.abandon(id, state, now);
        }
    }

    /// Returns the attempts in flight, of one shard or of all.
    pub(crate) fn in_flight_ids(&self, shard: Option<u32>) -> Vec<AttemptId> {
        let wanted = |attempt: &InFlightAttempt| shard.is_none_or(|shard| attempt.shard == shard);
        (0..)
            .zip(&self.attempts)
            .filter(|(_, attempt)| attempt.as_ref().is_some_and(wanted))
            .map(|(number, _)| AttemptId::new(number))
            .collect()
    }

    fn remove(&mut self, id: AttemptId) -> Option<InFlightAttempt> {
        let entry = self.attempts.get_mut(id.number() as usize)?;
        let attempt = entry.take()?;
        self.in_flight -= 1;
        Some(attempt)
    }

    fn record_verdict(&mut self, verdict: RunVerdict) {
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
