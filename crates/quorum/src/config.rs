//! The configuration register.

use std::{collections::VecDeque, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::value::{RegisterChange, RegisterValue};

/// Number of outcomes of changes that the register keeps.
pub const CONFIG_OUTCOMES_MAX: usize = 512;

/// The value of the configuration register.
///
/// Before the first change, the version is 0 and the text is empty. An operator who assigns versions may
/// give version 0 to a text too.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigState {
    /// Version number.
    pub version: u64,
    /// Text of the configuration as submitted by an operator.
    pub text: Arc<str>,
    /// Outcomes of the latest changes, oldest first.
    pub outcomes: VecDeque<ChangeRecord>,
}

/// A decided change of the configuration.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChangeRecord {
    /// ID that the operator gave to the change.
    pub change: Arc<str>,
    /// Outcome that was returned to the operator.
    pub outcome: SubmitOutcome,
}

/// The outcome of submitting a change of the configuration.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum SubmitOutcome {
    /// The change was accepted as a new version.
    Accepted {
        /// Version number that the change was given.
        version: u64,
    },
    /// The configuration is not at the expected version.
    Conflict {
        /// The current version number.
        current: u64,
    },
}

/// The reply to a submitted change of the configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SubmitReply {
    /// The outcome of the change.
    pub outcome: SubmitOutcome,
    /// The text under the accepted version, `None` if the register holds a later version by now.
    ///
    /// It is not the submitted text if an earlier change with the same ID had another text.
    pub text: Option<Arc<str>>,
}

/// A change of the configuration, conditional on its current version.
#[derive(Clone, Debug)]
pub(crate) struct ConfigChange {
    pub(crate) expected_version: u64,
    pub(crate) change_id: Arc<str>,
    pub(crate) text: Arc<str>,
}

impl ConfigChange {
    /// Applies the change to the register's value, or refuses it.
    ///
    /// A change that the register has already decided keeps its outcome.
    pub(crate) fn apply(&self, value: Option<&RegisterValue>) -> RegisterChange<SubmitReply> {
        let state = config_state(value);
        let known = state
            .outcomes
            .iter()
            .find(|known| known.change == self.change_id);
        if let Some(known) = known {
            return RegisterChange::Keep(state.reply(known.outcome));
        }
        let current = state.version;
        if self.expected_version == current {
            let version = current + 1;
            let outcome = SubmitOutcome::Accepted { version };
            let text = Arc::clone(&self.text);
            return self.write(state, version, text, outcome);
        }
        let outcome = SubmitOutcome::Conflict { current };
        if self.expected_version < current {
            // Versions only increase, so this change cannot be accepted later either, and its
            // outcome need not be recorded.
            return RegisterChange::Keep(state.reply(outcome));
        }
        let text = Arc::clone(&state.text);
        self.write(state, current, text, outcome)
    }

    fn write(
        &self,
        state: &ConfigState,
        version: u64,
        text: Arc<str>,
        outcome: SubmitOutcome,
    ) -> RegisterChange<SubmitReply> {
        let mut outcomes = state.outcomes.clone();
        while outcomes.len() >= CONFIG_OUTCOMES_MAX {
            outcomes.pop_front();
        }
        outcomes.push_back(ChangeRecord {
            change: Arc::clone(&self.change_id),
            outcome,
        });
        let state = ConfigState {
            version,
            text,
            outcomes,
        };
        let reply = state.reply(outcome);
        RegisterChange::Write(RegisterValue::Config(state), reply)
    }
}

impl ConfigState {
    /// Returns the version if a configuration was submitted by an operator who assigns versions.
    #[must_use]
    pub fn submitted_version(&self) -> Option<u64> {
        (!self.text.is_empty()).then_some(self.version)
    }

    /// Returns the reply to a change with this outcome.
    fn reply(&self, outcome: SubmitOutcome) -> SubmitReply {
        let is_held = outcome
            == SubmitOutcome::Accepted {
                version: self.version,
            };
        SubmitReply {
            outcome,
            text: is_held.then(|| Arc::clone(&self.text)),
        }
    }
}

fn config_state(value: Option<&RegisterValue>) -> &ConfigState {
    static EMPTY: std::sync::LazyLock<ConfigState> = std::sync::LazyLock::new(ConfigState::default);
    match value {
        Some(RegisterValue::Config(state)) => state,
        _ => &EMPTY,
    }
}

/// A configuration whose submitter assigned its version number; the highest version wins.
#[derive(Clone, Debug)]
pub(crate) struct VersionedConfig {
    pub(crate) version: u64,
    pub(crate) text: Arc<str>,
}

impl VersionedConfig {
    /// Writes the configuration unless the register holds one with the same or a higher version.
    ///
    /// The outcome is the state that the register holds afterwards.
    pub(crate) fn apply(&self, value: Option<&RegisterValue>) -> RegisterChange<ConfigState> {
        let held = config_state(value);
        if Some(self.version) <= held.submitted_version() {
            return RegisterChange::Keep(held.clone());
        }
        let state = ConfigState {
            version: self.version,
            text: Arc::clone(&self.text),
            outcomes: VecDeque::new(),
        };
        RegisterChange::Write(RegisterValue::Config(state.clone()), state)
    }
}

/// Reads the configuration without changing it.
pub(crate) fn read_config(value: Option<&RegisterValue>) -> RegisterChange<ConfigState> {
    RegisterChange::Keep(config_state(value).clone())
}
