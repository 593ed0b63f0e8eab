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
pub(crate) struct ReadyFacts {
    /// Whether a peer, a quorum or the lack of both settled which version is the newest.
    pub(crate) settled: bool,
    /// Configuration in force here.
    pub(crate) held: ConfigStamp,
    /// Newest configuration heard of.
    pub(crate) known: ConfigStamp,
}

impl ReadyFacts {
    fn behind(&self) -> bool {
        self.known.version > self.held.version
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
    fn learning(event: &ReadyFacts) -> Outcome<State> {
        match (event.settled, event.behind()) {
            (false, _) => Handled,
            (true, true) => Transition(State::fetching()),
            (true, false) => Transition(State::ready()),
        }
    }

    #[state]
    fn fetching(event: &ReadyFacts) -> Outcome<State> {
        if event.behind() {
            return Handled;
        }
        Transition(State::ready())
    }

    #[state]
    fn ready(event: &ReadyFacts) -> Outcome<State> {
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
