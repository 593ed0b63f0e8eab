//! Ejection of targets whose behaviour contradicts their reports.

use std::time::Duration;

use fulmarweir_base::MonoTime;
use statig::prelude::*;

/// Weight of the latest attempt in the failure rate.
const FAILURE_WEIGHT: f64 = 0.2;
const EJECT_FAILURE_RATE: f64 = 0.5;
const EJECTION_BASE_MS: u64 = 1_000;
const EJECTION_MAX_MS: u64 = 30_000;
/// Successful probes in a row that end an ejection.
const PROBE_SUCCESSES: u32 = 3;
/// Successes in a row after which earlier ejections are forgotten.
const FORGIVE_SUCCESSES: u32 = 200;

/// What the machine of one target is told.
#[derive(Clone, Copy, Debug)]
pub(crate) enum EjectionEvent {
    /// An attempt was answered.
    Success(MonoTime),
    /// An attempt failed in a way that a healthy target does not.
    Failure(MonoTime),
    /// Time has passed.
    Tick(MonoTime),
}

/// The failure record of one target.
#[derive(Clone, Debug, Default)]
pub(crate) struct EjectionMachine {
    failure_rate: f64,
    strikes: u32,
    successes: u32,
    restored: Option<MonoTime>,
}

impl EjectionMachine {
    /// When the last ejection ended.
    pub(crate) fn restored(&self) -> Option<MonoTime> {
        self.restored
    }

    fn ejected_until(&mut self, now: MonoTime) -> MonoTime {
        let doublings = self.strikes.min(8);
        let millis = (EJECTION_BASE_MS << doublings).min(EJECTION_MAX_MS);
        self.strikes += 1;
        self.failure_rate = 0.0;
        now + Duration::from_millis(millis)
    }

    fn count_success(&mut self) {
        self.failure_rate *= 1.0 - FAILURE_WEIGHT;
        self.successes += 1;
        if self.successes >= FORGIVE_SUCCESSES {
            self.strikes = 0;
        }
    }

    fn count_failure(&mut self) {
        self.failure_rate += FAILURE_WEIGHT * (1.0 - self.failure_rate);
        self.successes = 0;
    }
}

#[state_machine(
    initial = "State::serving()",
    state(derive(Clone, Debug)),
    visibility = "pub(crate)"
)]
impl EjectionMachine {
    /// Used like any other target.
    #[state]
    fn serving(&mut self, event: &EjectionEvent) -> Outcome<State> {
        match *event {
            EjectionEvent::Success(_) => {
                self.count_success();
                Handled
            }
            EjectionEvent::Failure(now) => {
                self.count_failure();
                if self.failure_rate < EJECT_FAILURE_RATE {
                    return Handled;
                }
                Transition(State::ejected(self.ejected_until(now)))
            }
            EjectionEvent::Tick(_) => Handled,
        }
    }

    /// Avoided until a time; replies of earlier attempts change nothing.
    #[state]
    #[expect(
        clippy::trivially_copy_pass_by_ref,
        reason = "the macro lends state-local storage by reference"
    )]
    fn ejected(until: &MonoTime, event: &EjectionEvent) -> Outcome<State> {
        match event {
            EjectionEvent::Tick(now) if now >= until => Transition(State::probing(0)),
            _ => Handled,
        }
    }

    /// Given one attempt at a time.
    #[state]
    fn probing(&mut self, passed: &mut u32, event: &EjectionEvent) -> Outcome<State> {
        match *event {
            EjectionEvent::Success(now) => {
                *passed += 1;
                if *passed < PROBE_SUCCESSES {
                    return Handled;
                }
                self.restored = Some(now);
                Transition(State::serving())
            }
            EjectionEvent::Failure(now) => Transition(State::ejected(self.ejected_until(now))),
            EjectionEvent::Tick(_) => Handled,
        }
    }
}
