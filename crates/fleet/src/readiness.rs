//! Decides when a started VM may serve: once it has applied the newest configuration that it
//! can learn of.

use statig::prelude::*;

use crate::ConfigStamp;

/// Phase of a VM since its start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadyPhase {
    /// The newest configuration version is not known yet.
    Learning,
    /// A newer configuration is known, but not applied yet.
    Fetching,
    /// The VM has applied the newest configuration that it could learn of.
    Ready,
}

/// Inputs of a phase update.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReadyInputs {
    /// Whether a peer or a quorum has reported its version, or this VM need not wait for either.
    pub(crate) learning_done: bool,
    /// Configuration applied here.
    pub(crate) applied: ConfigStamp,
    /// Newest configuration known here.
    pub(crate) newest_known: ConfigStamp,
}

impl ReadyInputs {
    fn is_outdated(&self) -> bool {
        self.newest_known.version > self.applied.version
    }
}

/// The state machine behind [`ReadyPhase`]; it has no data of its own.
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
        // A VM whose configuration becomes outdated stays ready; it fetches the newer one.
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
