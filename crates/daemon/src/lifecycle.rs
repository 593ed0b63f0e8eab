//! The lifecycle of the daemon as a state machine.

use std::sync::atomic::{AtomicU8, Ordering::SeqCst};

use fulmarweir_base::lock;
use statig::prelude::*;

/// Phase of the daemon's lifecycle.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub(crate) enum LifecyclePhase {
    /// The newest configuration that this VM can learn of is not in force yet.
    Starting,
    /// Accepts requests and reports itself as ready.
    Ready,
    /// Still accepts requests, but reports itself as not ready to the load balancer.
    Settling,
    /// Finishes requests in flight and accepts no new ones.
    Draining,
}

impl LifecyclePhase {
    /// Returns the name of the phase in status reports and readiness checks.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Starting => "starting",
            Self::Ready => "ready",
            Self::Settling => "settling",
            Self::Draining => "draining",
        }
    }
}

/// An event that may change the phase.
#[derive(Debug)]
pub(crate) enum LifecycleEvent {
    /// The newest configuration that this VM can learn of is in force.
    ConfigCaughtUp,
    /// Another VM has this VM's name.
    NameLost,
    /// A graceful stop was requested.
    StopRequested,
    /// The load balancer has had time to stop sending requests.
    Settled,
}

#[derive(Debug, Default)]
struct LifecycleMachine;

#[state_machine(initial = "State::starting()")]
impl LifecycleMachine {
    #[state]
    fn starting(event: &LifecycleEvent) -> Outcome<State> {
        match event {
            LifecycleEvent::ConfigCaughtUp => Transition(State::ready()),
            LifecycleEvent::StopRequested => Transition(State::settling()),
            LifecycleEvent::NameLost | LifecycleEvent::Settled => Handled,
        }
    }

    #[state]
    fn ready(event: &LifecycleEvent) -> Outcome<State> {
        match event {
            LifecycleEvent::StopRequested => Transition(State::settling()),
            LifecycleEvent::NameLost => Transition(State::starting()),
            LifecycleEvent::ConfigCaughtUp | LifecycleEvent::Settled => Handled,
        }
    }

    #[state]
    fn settling(event: &LifecycleEvent) -> Outcome<State> {
        match event {
            LifecycleEvent::Settled => Transition(State::draining()),
            LifecycleEvent::ConfigCaughtUp
            | LifecycleEvent::NameLost
            | LifecycleEvent::StopRequested => Handled,
        }
    }

    #[state]
    fn draining(event: &LifecycleEvent) -> Outcome<State> {
        match event {
            LifecycleEvent::ConfigCaughtUp
            | LifecycleEvent::NameLost
            | LifecycleEvent::StopRequested
            | LifecycleEvent::Settled => Handled,
        }
    }
}

/// The state machine, with its current phase readable without a lock.
pub(crate) struct Lifecycle {
    machine: std::sync::Mutex<statig::blocking::StateMachine<LifecycleMachine>>,
    phase: AtomicU8,
}

impl Lifecycle {
    pub(crate) fn new() -> Self {
        Self {
            machine: std::sync::Mutex::new(LifecycleMachine.state_machine()),
            phase: AtomicU8::new(LifecyclePhase::Starting as u8),
        }
    }

    /// Handles `event` and returns the phase after it.
    pub(crate) fn handle(&self, event: &LifecycleEvent) -> LifecyclePhase {
        let mut machine = lock(&self.machine);
        machine.handle(event);
        let phase = match machine.state() {
            State::Starting {} => LifecyclePhase::Starting,
            State::Ready {} => LifecyclePhase::Ready,
            State::Settling {} => LifecyclePhase::Settling,
            State::Draining {} => LifecyclePhase::Draining,
        };
        self.phase.store(phase as u8, SeqCst);
        phase
    }

    /// Returns the current phase.
    pub(crate) fn phase(&self) -> LifecyclePhase {
        match self.phase.load(SeqCst) {
            0 => LifecyclePhase::Starting,
            1 => LifecyclePhase::Ready,
            2 => LifecyclePhase::Settling,
            _ => LifecyclePhase::Draining,
        }
    }
}
