//! When a started VM may serve: it must hold the newest configuration that it can learn of.

use statig::prelude::*;

use crate::ConfigStamp;

/// Phase of a VM since its start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadyPhase {
    /// No source has said yet which configuration is the newest.
    Learning,
    /// A newer configuration is known and not yet held.
    Fetching,
    /// Holds the newest configuration that it could learn of.
    Ready,
}

/// What is known when the phase is reviewed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReadyInputs {
    /// Whether a peer, a quorum or the lack of both settled which version is the newest.
    pub(crate) learning_done: bool,
    /// Configuration in force here.
    pub(crate) applied: ConfigStamp,
    /// Newest configuration heard of.
    pub(crate) newest_known: ConfigStamp,
}

impl ReadyInputs {
    fn is_outdated(&self) -> bool {
        self.newest_known.version > self.applied.version
    }
}

/// The machine behind [`ReadyPhase`]; its own data is none.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReadyMachine;

#[state_machine(
    initial = "State::learning()",
    state(derive(Clone, Copy, Debug, Eq, PartialEq))
)]
impl ReadyMachine {
    #[state]
    fn learning(event: &ReadyInputs) -> Outcome<State> {
        match (event.learning_done, event.is_outdated()) {
            (false, _) => Handled,
            (true, true) => Transition(State::fetching()),
            (true, false) => Transition(State::ready()),
        }
    }

    #[state]
    fn fetching(event: &ReadyInputs) -> Outcome<State> {
        if event.is_outdated() {
            return Handled;
        }
        Transition(State::ready())
    }

    #[state]
    fn ready(event: &ReadyInputs) -> Outcome<State> {
        // Falling behind later is mended by the spread; it does not end readiness.
        let _ = event;
        Handled
    }
}

impl From<&State> for ReadyPhase {
    fn from(state: &State) -> Self {
        match state {
            State::Learning {} => Self::Learning,
            State::Fetching {} => Self::Fetching,
            State::Ready {} => Self::Ready,
        }
    }
}
