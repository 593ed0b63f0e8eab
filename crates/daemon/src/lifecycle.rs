//! Life cycle of the daemon, as a state machine.

use std::sync::atomic::{AtomicU8, Ordering::SeqCst};

use fulmarweir_base::lock;
use statig::prelude::*;

/// Where the daemon is in its life.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub(crate) enum LifePhase {
    /// Not yet holding the newest configuration that it can learn of.
    Starting,
    /// Accepts requests and says so.
    Ready,
    /// Still accepts requests, but tells the balancer to send no more.
    Settling,
    /// Finishes requests in flight and accepts none.
    Draining,
}

impl LifePhase {
    /// The phase as it stands in status and logs.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Starting => "starting",
            Self::Ready => "ready",
            Self::Settling => "settling",
            Self::Draining => "draining",
        }
    }
}

/// What moves the daemon on.
#[derive(Debug)]
pub(crate) enum LifeEvent {
    /// The newest configuration that can be learned of is in force.
    ConfigHeld,
    /// Another VM has this one's name.
    NameLost,
    /// A graceful stop was asked for.
    StopAsked,
    /// The balancer has had time to notice.
    Settled,
}

#[derive(Debug, Default)]
struct LifeMachine;

#[state_machine(initial = "State::starting()")]
impl LifeMachine {
    #[state]
    fn starting(event: &LifeEvent) -> Outcome<State> {
        match event {
            LifeEvent::ConfigHeld => Transition(State::ready()),
            LifeEvent::StopAsked => Transition(State::settling()),
            LifeEvent::NameLost | LifeEvent::Settled => Handled,
        }
    }

    #[state]
    fn ready(event: &LifeEvent) -> Outcome<State> {
        match event {
            LifeEvent::StopAsked => Transition(State::settling()),
            LifeEvent::NameLost => Transition(State::starting()),
            LifeEvent::ConfigHeld | LifeEvent::Settled => Handled,
        }
    }

    #[state]
    fn settling(event: &LifeEvent) -> Outcome<State> {
        match event {
            LifeEvent::Settled => Transition(State::draining()),
            LifeEvent::ConfigHeld | LifeEvent::NameLost | LifeEvent::StopAsked => Handled,
        }
    }

    #[state]
    fn draining(event: &LifeEvent) -> Outcome<State> {
        match event {
            LifeEvent::ConfigHeld
            | LifeEvent::NameLost
            | LifeEvent::StopAsked
            | LifeEvent::Settled => Handled,
        }
    }
}

/// The life cycle that all parts of the process read.
pub(crate) struct LifeCycle {
    machine: std::sync::Mutex<statig::blocking::StateMachine<LifeMachine>>,
    phase: AtomicU8,
}

impl LifeCycle {
    pub(crate) fn new() -> Self {
        Self {
            machine: std::sync::Mutex::new(LifeMachine.state_machine()),
            phase: AtomicU8::new(LifePhase::Starting as u8),
        }
    }

    /// Handles `event` and returns the phase after it.
    pub(crate) fn handle(&self, event: &LifeEvent) -> LifePhase {
        let mut machine = lock(&self.machine);
        machine.handle(event);
        let phase = match machine.state() {
            State::Starting {} => LifePhase::Starting,
            State::Ready {} => LifePhase::Ready,
            State::Settling {} => LifePhase::Settling,
            State::Draining {} => LifePhase::Draining,
        };
        self.phase.store(phase as u8, SeqCst);
        phase
    }

    /// The present phase.
    pub(crate) fn phase(&self) -> LifePhase {
        match self.phase.load(SeqCst) {
            0 => LifePhase::Starting,
            1 => LifePhase::Ready,
            2 => LifePhase::Settling,
            _ => LifePhase::Draining,
        }
    }
}
