//! Ejection of targets that fail although they announce themselves as serving.

use std::time::Duration;

use fulmarweir_base::MonoTime;
use statig::prelude::*;

/// Weight of the latest attempt in the moving average of the failure rate.
const FAILURE_WEIGHT: f64 = 0.2;
const EJECT_FAILURE_RATE: f64 = 0.5;
const EJECTION_BASE_MS: u64 = 1_000;
const EJECTION_MAX_MS: u64 = 30_000;
/// Consecutive successful probes that end an ejection.
const PROBE_SUCCESSES: u32 = 3;
/// Consecutive successes after which earlier ejections no longer lengthen the next one.
const EJECTION_RESET_SUCCESSES: u32 = 200;

/// An input to the state machine of one target.
#[derive(Clone, Copy, Debug)]
pub(crate) enum EjectionEvent {
    /// An attempt was answered at this time.
    Success(MonoTime),
    /// An attempt failed at this time, in a way that does not occur with a healthy target.
    Failure(MonoTime),
    /// The current time, without an attempt.
    Tick(MonoTime),
}

/// The failure history and ejection state of one target.
#[derive(Clone, Debug, Default)]
pub(crate) struct EjectionMachine {
    failure_rate: f64,
    ejections: u32,
    success_streak: u32,
    restored_at: Option<MonoTime>,
}

impl EjectionMachine {
    /// Returns when the last ejection ended.
    pub(crate) fn restored_at(&self) -> Option<MonoTime> {
        self.restored_at
    }

    /// Starts an ejection and returns its end. The duration doubles with each ejection, up to a
    /// maximum.
    fn start_ejection(&mut self, now: MonoTime) -> MonoTime {
        let doublings = self.ejections.min(8);
        let millis = (EJECTION_BASE_MS << doublings).min(EJECTION_MAX_MS);
        self.ejections += 1;
        self.failure_rate = 0.0;
        now + Duration::from_millis(millis)
    }

    fn record_success(&mut self) {
        self.failure_rate *= 1.0 - FAILURE_WEIGHT;
        self.success_streak += 1;
        if self.success_streak >= EJECTION_RESET_SUCCESSES {
            self.ejections = 0;
        }
    }

    fn record_failure(&mut self) {
        self.failure_rate += FAILURE_WEIGHT * (1.0 - self.failure_rate);
        self.success_streak = 0;
    }
}

#[state_machine(
    initial = "State::serving()",
    state(derive(Clone, Debug)),
    visibility = "pub(crate)"
)]
impl EjectionMachine {
    /// Used normally, until the failure rate is too high.
    #[state]
    fn serving(&mut self, event: &EjectionEvent) -> Outcome<State> {
        match *event {
            EjectionEvent::Success(_) => {
                self.record_success();
                Handled
            }
            EjectionEvent::Failure(now) => {
                self.record_failure();
                if self.failure_rate < EJECT_FAILURE_RATE {
                    return Handled;
                }
                Transition(State::ejected(self.start_ejection(now)))
            }
            EjectionEvent::Tick(_) => Handled,
        }
    }

    /// Avoided until the given time; the ends of earlier attempts are ignored.
    #[state]
    #[expect(
        clippy::trivially_copy_pass_by_ref,
        reason = "the macro passes state-local storage by reference"
    )]
    fn ejected(until: &MonoTime, event: &EjectionEvent) -> Outcome<State> {
        match event {
            EjectionEvent::Tick(now) if now >= until => Transition(State::probing(0)),
            _ => Handled,
        }
    }

    /// Gets one attempt at a time, until enough probes have succeeded or one has failed.
    #[state]
    fn probing(&mut self, probe_successes: &mut u32, event: &EjectionEvent) -> Outcome<State> {
        match *event {
            EjectionEvent::Success(now) => {
                *probe_successes += 1;
                if *probe_successes < PROBE_SUCCESSES {
                    return Handled;
                }
                self.restored_at = Some(now);
                Transition(State::serving())
            }
            EjectionEvent::Failure(now) => Transition(State::ejected(self.start_ejection(now))),
            EjectionEvent::Tick(_) => Handled,
        }
    }
}
